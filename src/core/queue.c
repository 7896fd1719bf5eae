/* Who is served next: by rank; then work within its team's guarantee; then the teams in turn, the
 * one with the least in use for its share first; within a team the earliest deadline first.
 *
 * Where more waits than there is room for, that order alone may keep a job waiting without end:
 * behind deadlines that are earlier each time, behind teams whose services take less, behind the
 * many tasks of arrays that have begun. So of the room that a rank is given at most every second
 * piece goes to the job that has waited longest for its first task, whosever turn it is. */
#include "core/core_int.h"

#define OLD_AFTER (0.5 * TW_BEGIN_S) /* a job that waits longer for its first task is old */
#define ROUNDING 1e-6                /* of sums of cores and GPUs */

struct tw_turns {
    job **v;
    int n, nteams, ngroups;
    int last;         /* group served last; -1: it was one of the old */
    int *start, *end; /* of each group (rank, guaranteed, team) in v */
    job **old;        /* by rank, then the longest wait first */
    int old_start[TW_RANK_PROD + 1], old_end[TW_RANK_PROD + 1];
};

int tw_job_pending(const tw_core *c, const job *j) {
    return j->has_spec && j->st && j->stage == TW_STAGE_PENDING && !j->aborting && j->team >= 0 &&
           j->ndone + j->nlive < j->pieces && c->now >= j->retry_at &&
           (!j->s.gang || tw_gang_pending(j));
}

/* Whether a job fits into its team's guarantee together with the team's earlier ones: for all at
 * once, in the order of their submission. */
typedef struct {
    job *j;
    int team;
} asked;

static int by_submission(const void *a, const void *b) {
    const asked *x = a, *y = b;
    if (x->team != y->team) return x->team < y->team ? -1 : 1;
    if (x->j->submitted != y->j->submitted) return x->j->submitted < y->j->submitted ? -1 : 1;
    return 0;
}

static void note_guaranteed(tw_core *c) {
    job *j;
    int n = 0, cap = 0;
    DL_FOREACH(c->active, j) cap++;
    asked *v = tw_zalloc((size_t)cap * sizeof *v);
    DL_FOREACH(c->active, j) {
        j->guaranteed = 0;
        if (j->team < 0 || !j->has_spec || j->stage != TW_STAGE_PENDING) continue;
        const tw_conf_team *t = &c->cf->teams[j->team];
        if (t->gpus > 0 || t->cpus > 0) v[n++] = (asked){j, j->team};
    }
    qsort(v, (size_t)n, sizeof *v, by_submission);
    double cpus = 0, gpus = 0;
    for (int i = 0, k; i < n; i = k) {
        const tw_conf_team *t = &c->cf->teams[v[i].team];
        if (!i || v[i].team != v[i - 1].team) cpus = gpus = 0;
        /* Those of the same moment count for each other. */
        for (k = i; k < n && v[k].team == v[i].team && v[k].j->submitted == v[i].j->submitted;
             k++) {
            const job *x = v[k].j;
            cpus += x->s.cores * (x->pieces - x->ndone);
            gpus += x->s.gpus * (x->pieces - x->ndone);
        }
        int fits = (t->gpus <= 0 || gpus <= t->gpus + ROUNDING) &&
                   (t->cpus <= 0 || cpus <= t->cpus + ROUNDING);
        for (int l = i; l < k; l++)
            v[l].j->guaranteed = fits && (v[l].j->s.gpus > 0 ? t->gpus > 0 : t->cpus > 0);
    }
    free(v);
}

typedef struct {
    job *j;
    int group;
    double due;
} item;

static int by_group(const void *a, const void *b) {
    const item *x = a, *y = b;
    if (x->group != y->group) return x->group < y->group ? -1 : 1;
    if (x->due != y->due) return x->due < y->due ? -1 : 1;
    return strcmp(x->j->id, y->j->id);
}

typedef struct {
    job *j;
    double weight;
} waiting;

static int by_wait(const void *a, const void *b) {
    const waiting *x = a, *y = b;
    if (x->j->s.rank != y->j->s.rank) return x->j->s.rank < y->j->s.rank ? -1 : 1;
    if (x->weight != y->weight) return x->weight > y->weight ? -1 : 1;
    return strcmp(x->j->id, y->j->id);
}

/* More waits with a larger job: its time weighs more, by the root of its work. */
static double weighed_wait(const tw_core *c, const job *j) {
    return (c->now - j->submitted) * sqrt(j->pieces * fmax(j->s.expect_s, c->cf->lease_s));
}

static void note_old(const tw_core *c, tw_turns *t) {
    int n = 0;
    waiting *v = tw_zalloc((size_t)t->n * sizeof *v);
    t->old = tw_zalloc((size_t)t->n * sizeof(job *));
    for (int i = 0; i < t->n; i++) {
        job *j = t->v[i];
        if (j->begun || j->nlive || j->ndone) continue;
        if (c->now - j->submitted > OLD_AFTER) v[n++] = (waiting){j, weighed_wait(c, j)};
    }
    qsort(v, (size_t)n, sizeof *v, by_wait);
    for (int i = 0; i < n; i++) {
        int rank = v[i].j->s.rank;
        t->old[i] = v[i].j;
        if (!i || v[i - 1].j->s.rank != rank) t->old_start[rank] = i;
        t->old_end[rank] = i + 1;
    }
    free(v);
}

tw_turns *tw_turns_new(tw_core *c, int old_first) {
    tw_turns *t = tw_zalloc(sizeof *t);
    job *j;
    int cap = 0;
    DL_FOREACH(c->active, j) cap += tw_job_pending(c, j);
    item *v = tw_zalloc((size_t)cap * sizeof *v);
    int nt = (int)c->cf->nteams;
    if (cap) note_guaranteed(c);
    DL_FOREACH(c->active, j) {
        if (!tw_job_pending(c, j)) continue;
        int level = (TW_RANK_PROD - j->s.rank) * 2 + !j->guaranteed;
        v[t->n++] = (item){j, level * nt + j->team, tw_job_due(c, j)};
    }
    qsort(v, (size_t)t->n, sizeof *v, by_group);
    t->nteams = nt;
    t->ngroups = 8 * nt;
    t->v = tw_zalloc((size_t)t->n * sizeof(job *));
    t->start = tw_zalloc((size_t)t->ngroups * sizeof *t->start);
    t->end = tw_zalloc((size_t)t->ngroups * sizeof *t->end);
    for (int i = 0; i < t->n; i++) {
        t->v[i] = v[i].j;
        if (!i || v[i].group != v[i - 1].group) t->start[v[i].group] = i;
        t->end[v[i].group] = i + 1;
    }
    free(v);
    if (old_first) note_old(c, t);
    return t;
}

/* The next of the old of a rank that may have room now; NULL: none. */
static job *next_old(const tw_core *c, tw_turns *t, int rank) {
    if (c->old_credit[rank] <= 0 || t->old_start[rank] >= t->old_end[rank]) return NULL;
    t->last = -1;
    return t->old[t->old_start[rank]++];
}

/* That n tasks of the job that was served last were placed. */
void tw_turns_placed(tw_core *c, const tw_turns *t, const job *j, int n) {
    int *credit = &c->old_credit[j->s.rank];
    if (t->last < 0)
        *credit -= n > 0;
    else if (n > 0)
        *credit = 1;
}

job *tw_turns_next(tw_core *c, tw_turns *t) {
    for (int level = 0; level < 8; level++) {
        int best = -1;
        double least = INFINITY;
        job *old = level % 2 ? NULL : next_old(c, t, TW_RANK_PROD - level / 2);
        if (old) return old;
        for (int k = 0; k < t->nteams; k++) {
            int g = level * t->nteams + k;
            if (t->start[g] >= t->end[g]) continue;
            double use = (c->team_g[k] * 16 + c->team_c[k]) / c->cf->teams[k].share;
            if (use < least) {
                least = use;
                best = g;
            }
        }
        if (best >= 0) {
            t->last = best;
            return t->v[t->start[best]++];
        }
    }
    return NULL;
}

/* Puts the last one back at its team's head: it may get more when its team's turn comes again. */
void tw_turns_again(tw_turns *t) {
    if (t->last >= 0) t->start[t->last]--;
}

/* Whether another team waits at the same level as the one served last, or an old job of its rank.
 */
int tw_turns_contended(const tw_turns *t) {
    if (t->last < 0) return 1;
    int level = t->last / t->nteams, rank = TW_RANK_PROD - level / 2;
    if (t->old_start[rank] < t->old_end[rank]) return 1;
    for (int g = level * t->nteams; g < (level + 1) * t->nteams; g++)
        if (g != t->last && t->start[g] < t->end[g]) return 1;
    return 0;
}

void tw_turns_free(tw_turns *t) {
    free(t->v);
    free(t->old);
    free(t->start);
    free(t->end);
    free(t);
}
