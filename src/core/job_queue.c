/* Who is served next: by priority; then work within its team's guarantee; then the teams in turn,
 * the one with the least in use for its share first; within a team the earliest deadline first.
 *
 * Where more waits than there is room for, that order alone may keep a job waiting without end:
 * behind deadlines that are earlier each time, behind teams whose services take less, behind the
 * many tasks of arrays that have begun. So of the room that a priority is given at most every
 * second placement goes to the job that has waited longest for its first task, whosever turn it is.
 *
 * A group is the jobs of one level and one team. Levels: first the highest priority's jobs within
 * their team's guarantee, then the highest priority's other jobs, then the next priority's. */
#include "core/core_int.h"
#include <stdbool.h>

#define PRIORITIES (TW_PRIORITY_PROD + 1)
#define LEVELS (2 * PRIORITIES) /* within the guarantee or not, of each priority */
#define OVERDUE_AFTER_S                                                                            \
    (0.5 * TW_MAX_START_DELAY_S) /* a job that waits longer for its first task is overdue */
#define GPU_IN_CORES 16          /* what a GPU counts in a team's use */
#define SERVED_OVERDUE (-1)      /* instead of a group: an overdue job was served last */

/* The jobs of a group or a priority that are still to be served, as a range of an array. */
typedef struct {
    int start, end;
} range;

struct tw_job_queue {
    tw_job **jobs; /* by group, then by deadline */
    int count;
    int team_count;
    range *groups;                         /* in jobs; the index is level * team_count + team */
    int last;                              /* group served last, or SERVED_OVERDUE */
    tw_job **overdue;                      /* by priority, then the longest weighed wait first */
    range overdue_by_priority[PRIORITIES]; /* in overdue, by priority */
};

static bool is_empty(range of) { return of.start >= of.end; }

/* The level of jobs of this priority that are within their team's guarantee or not. */
static int level_of(tw_wire_priority priority, bool guaranteed) {
    return (TW_PRIORITY_PROD - (int)priority) * 2 + !guaranteed;
}

static tw_wire_priority priority_of(int level) { return TW_PRIORITY_PROD - level / 2; }

bool tw_job_is_pending(const tw_core *core, const tw_job *job) {
    return job->has_spec && job->task_states && job->state == TW_JOB_PENDING && !job->cancelling &&
           job->team >= 0 && job->done_count + job->placed_count < job->task_count &&
           core->context.now >= job->retry_at && (!job->spec.gang || tw_gang_is_pending(job));
}

/* ---- which jobs are within their team's guarantee ---- */

static int by_submission(const void *left, const void *right) {
    const tw_job *a = *(tw_job *const *)left, *b = *(tw_job *const *)right;
    if (a->team != b->team) return a->team < b->team ? -1 : 1;
    if (a->submitted_at != b->submitted_at) return a->submitted_at < b->submitted_at ? -1 : 1;
    return 0;
}

static bool submitted_together(const tw_job *a, const tw_job *b) {
    return a->team == b->team && a->submitted_at == b->submitted_at;
}

/* The unfinished jobs of teams that have a guarantee; none of the others is guaranteed. */
static int list_with_guarantee(const tw_core *core, tw_job **jobs) {
    int count = 0;
    tw_job *job;
    DL_FOREACH(core->active_jobs, job) {
        job->guaranteed = false;
        if (job->team < 0 || !job->has_spec || job->state != TW_JOB_PENDING) continue;
        const tw_config_team *team = &core->context.config->teams[job->team];
        if (team->gpus > 0 || team->cpus > 0) jobs[count++] = job;
    }
    return count;
}

/* Marks the jobs that fit into their team's guarantee together with the team's earlier ones, in the
 * order of their submission. Those of the same moment count for each other. */
static void mark_guaranteed(const tw_core *core, tw_job **jobs, int count) {
    double cpus = 0, gpus = 0;
    for (int from = 0, to; from < count; from = to) {
        const tw_config_team *team = &core->context.config->teams[jobs[from]->team];
        if (!from || jobs[from]->team != jobs[from - 1]->team) cpus = gpus = 0;
        for (to = from; to < count && submitted_together(jobs[to], jobs[from]); to++) {
            const int tasks = jobs[to]->task_count - jobs[to]->done_count;
            cpus += jobs[to]->spec.cores * tasks;
            gpus += jobs[to]->spec.gpus * tasks;
        }
        const bool fits = (team->gpus <= 0 || gpus <= team->gpus + TW_CAPACITY_ROUNDING) &&
                          (team->cpus <= 0 || cpus <= team->cpus + TW_CAPACITY_ROUNDING);
        for (int i = from; i < to; i++)
            jobs[i]->guaranteed =
                fits && (jobs[i]->spec.gpus > 0 ? team->gpus > 0 : team->cpus > 0);
    }
}

static void note_guaranteed(tw_core *core) {
    int capacity = 0;
    const tw_job *job;
    DL_FOREACH(core->active_jobs, job) { capacity++; }
    struct tw_job **jobs = tw_alloc((size_t)capacity * sizeof(struct tw_job *));
    const int count = list_with_guarantee(core, jobs);
    qsort(jobs, (size_t)count, sizeof(struct tw_job *), by_submission);
    mark_guaranteed(core, jobs, count);
    free(jobs);
}

/* ---- groups ---- */

typedef struct {
    tw_job *job;
    int group;
    double due;
} grouped_job;

static int by_group(const void *left, const void *right) {
    const grouped_job *a = left, *b = right;
    if (a->group != b->group) return a->group < b->group ? -1 : 1;
    if (a->due != b->due) return a->due < b->due ? -1 : 1;
    return strcmp(a->job->id, b->job->id);
}

static void group_jobs(const tw_core *core, tw_job_queue *turns, int capacity) {
    grouped_job *sorted = tw_alloc((size_t)capacity * sizeof *sorted);
    tw_job *job;
    DL_FOREACH(core->active_jobs, job) {
        if (!tw_job_is_pending(core, job)) continue;
        const int level = level_of(job->spec.priority, job->guaranteed);
        sorted[turns->count++] =
            (grouped_job){job, level * turns->team_count + job->team, tw_job_deadline(core, job)};
    }
    qsort(sorted, (size_t)turns->count, sizeof *sorted, by_group);
    for (int i = 0; i < turns->count; i++) {
        range *group = &turns->groups[sorted[i].group];
        turns->jobs[i] = sorted[i].job;
        if (!i || sorted[i].group != sorted[i - 1].group) group->start = i;
        group->end = i + 1;
    }
    free(sorted);
}

/* ---- overdue jobs ---- */

typedef struct {
    tw_job *job;
    double weight;
} waiting_job;

static int by_wait(const void *left, const void *right) {
    const waiting_job *a = left, *b = right;
    if (a->job->spec.priority != b->job->spec.priority)
        return a->job->spec.priority < b->job->spec.priority ? -1 : 1;
    if (a->weight != b->weight) return a->weight > b->weight ? -1 : 1;
    return strcmp(a->job->id, b->job->id);
}

/* More waits with a larger job: its time weighs more, by the root of its work. */
static double weighed_wait(const tw_core *core, const tw_job *job) {
    const double work =
        job->task_count * fmax(job->spec.expected_run_s, core->context.config->lease_s);
    return (core->context.now - job->submitted_at) * sqrt(work);
}

static bool is_overdue(const tw_core *core, const tw_job *job) {
    if (job->has_run || job->placed_count || job->done_count) return false;
    return core->context.now - job->submitted_at > OVERDUE_AFTER_S;
}

static void note_overdue(const tw_core *core, tw_job_queue *turns) {
    int count = 0;
    waiting_job *sorted = tw_alloc((size_t)turns->count * sizeof *sorted);
    turns->overdue = tw_alloc((size_t)turns->count * sizeof(tw_job *));
    for (int i = 0; i < turns->count; i++) {
        tw_job *job = turns->jobs[i];
        if (is_overdue(core, job)) sorted[count++] = (waiting_job){job, weighed_wait(core, job)};
    }
    qsort(sorted, (size_t)count, sizeof *sorted, by_wait);
    for (int i = 0; i < count; i++) {
        const tw_wire_priority priority = sorted[i].job->spec.priority;
        turns->overdue[i] = sorted[i].job;
        if (!i || sorted[i - 1].job->spec.priority != priority)
            turns->overdue_by_priority[priority].start = i;
        turns->overdue_by_priority[priority].end = i + 1;
    }
    free(sorted);
}

/* ---- turns ---- */

tw_job_queue *tw_job_queue_new(tw_core *core, bool with_overdue) {
    tw_job_queue *turns = tw_alloc(sizeof *turns);
    int capacity = 0;
    const tw_job *job;
    DL_FOREACH(core->active_jobs, job) { capacity += tw_job_is_pending(core, job); }
    if (capacity) note_guaranteed(core);
    turns->team_count = (int)core->context.config->team_count;
    turns->jobs = tw_alloc((size_t)capacity * sizeof(struct tw_job *));
    turns->groups = tw_alloc((size_t)(LEVELS * turns->team_count) * sizeof *turns->groups);
    group_jobs(core, turns, capacity);
    if (with_overdue) note_overdue(core, turns);
    return turns;
}

/* The next overdue job of a priority that may have room now; NULL: none. */
static tw_job *next_overdue(const tw_core *core, tw_job_queue *turns, tw_wire_priority priority) {
    range *left = &turns->overdue_by_priority[priority];
    if (core->overdue_credit[priority] <= 0 || is_empty(*left)) return NULL;
    turns->last = SERVED_OVERDUE;
    return turns->overdue[left->start++];
}

/* The group of a level whose team has the least in use for its share; -1: none of it waits. */
static int next_group(const tw_core *core, const tw_job_queue *turns, int level) {
    int best = -1;
    double least = INFINITY;
    for (int team = 0; team < turns->team_count; team++) {
        const int group = level * turns->team_count + team;
        if (is_empty(turns->groups[group])) continue;
        const double in_use =
            core->team_gpus_used[team] * GPU_IN_CORES + core->team_cores_used[team];
        const double use = in_use / core->context.config->teams[team].share;
        if (use < least) {
            least = use;
            best = group;
        }
    }
    return best;
}

tw_job *tw_job_queue_next(tw_core *core, tw_job_queue *turns) {
    for (int level = 0; level < LEVELS; level++) {
        /* Before the first level of each priority. */
        tw_job *overdue = level % 2 ? NULL : next_overdue(core, turns, priority_of(level));
        if (overdue) return overdue;
        const int group = next_group(core, turns, level);
        if (group < 0) continue;
        turns->last = group;
        return turns->jobs[turns->groups[group].start++];
    }
    return NULL;
}

void tw_job_queue_note_placed(tw_core *core, const tw_job_queue *turns, const tw_job *job,
                              int count) {
    int *credit = &core->overdue_credit[job->spec.priority];
    if (turns->last == SERVED_OVERDUE)
        *credit -= count > 0;
    else if (count > 0)
        *credit = 1;
}

void tw_job_queue_requeue(tw_job_queue *turns) {
    if (turns->last != SERVED_OVERDUE) turns->groups[turns->last].start--;
}

bool tw_job_queue_is_contended(const tw_job_queue *turns) {
    if (turns->last == SERVED_OVERDUE) return true;
    const int level = turns->last / turns->team_count;
    if (!is_empty(turns->overdue_by_priority[priority_of(level)])) return true;
    const int first = level * turns->team_count;
    for (int group = first; group < first + turns->team_count; group++)
        if (group != turns->last && !is_empty(turns->groups[group])) return true;
    return false;
}

void tw_job_queue_free(tw_job_queue *turns) {
    free(turns->jobs);
    free(turns->overdue);
    free(turns->groups);
    free(turns);
}
