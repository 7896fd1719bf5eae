/* The judge: the rules of the protocol, looked at from outside the controllers. */
#include "world.h"
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#define EPSILON 1e-6

void tw_simulator_break(tw_simulator_world *w, const char *rule, const char *fmt, ...) {
    if (*w->rule) return;
    va_list args;
    snprintf(w->rule, sizeof w->rule, "%s", rule);
    int n = snprintf(w->detail, sizeof w->detail, "t=%.2f %s ", w->now, rule);
    va_start(args, fmt);
    vsnprintf(w->detail + n, sizeof w->detail - (size_t)n, fmt, args);
    va_end(args);
}

/* ---- starts ---- */

/* What runs at the moment of a start. */
typedef struct {
    double cpus, gpus;   /* of the task's team */
    int here, elsewhere; /* tasks of its job, by zone */
} usage;

static usage usage_now(tw_simulator_world *w, const tw_simulator_worker *x,
                       const tw_simulator_task *t) {
    usage u = {0};
    const char *team = t->job->spec.team;
    for (int i = 0; i < w->nworkers; i++) {
        const tw_simulator_worker *y = w->workers[i];
        for (int k = 0; k < y->ntasks && !y->gone; k++) {
            const tw_simulator_task *other = &y->tasks[k];
            if (!tw_simulator_task_active(other)) continue;
            if (other->job == t->job || !strcmp(other->job->spec.team, team)) {
                u.cpus += other->job->spec.cores;
                u.gpus += other->job->spec.gpus;
            }
            if (other->job != t->job) continue;
            if (other->index == t->index && other != t)
                tw_simulator_break(w, "ran_twice", "%s/%d on %s and %s", t->job_id, t->index, y->id,
                                   x->id);
            if (!strcmp(y->zone, x->zone))
                u.here++;
            else
                u.elsewhere++;
        }
    }
    return u;
}

static void judge_place(tw_simulator_world *w, const tw_simulator_worker *x,
                        const tw_simulator_task *t, const usage *u) {
    const tw_wire_job *spec = &t->job->spec;
    bool allowed = spec->machine_type_count < 0;
    for (int i = 0; i < spec->machine_type_count; i++)
        allowed |= !strcmp(spec->machine_types[i], x->type);
    if (!allowed || (x->spot && !spec->spot) || (*spec->zone && strcmp(spec->zone, x->zone) != 0))
        tw_simulator_break(w, "wrong_place", "%s/%d on %s", t->job_id, t->index, x->id);
    if (spec->spread && u->here > (spec->task_count + 1) / 2)
        tw_simulator_break(w, "wrong_place", "%d of %s in %s", u->here, t->job_id, x->zone);
    if (spec->single_zone && u->elsewhere)
        tw_simulator_break(w, "wrong_place", "%s in two zones", t->job_id);
}

static void judge_quota(tw_simulator_world *w, const char *team, const usage *u) {
    for (int i = 0; i < w->nteams; i++) {
        const tw_simulator_team *t = &w->teams[i];
        if (strcmp(t->name, team) != 0) continue;
        if ((t->gpus_max > 0 && u->gpus > t->gpus_max + EPSILON) ||
            (t->cpus_max > 0 && u->cpus > t->cpus_max + EPSILON))
            tw_simulator_break(w, "quota", "%s", team);
    }
}

static bool is_past_cancel(const tw_simulator_world *w, const tw_simulator_job *job) {
    return job->told_cancel_at > 0 && w->now > job->told_cancel_at + w->cancel_s;
}

void tw_simulator_judge_start(tw_simulator_world *w, const tw_simulator_worker *x,
                              const tw_simulator_task *t) {
    usage u = usage_now(w, x, t);
    judge_place(w, x, t, &u);
    if (is_past_cancel(w, t->job))
        tw_simulator_break(w, "ran_cancelled", "%s/%d starts", t->job_id, t->index);
    judge_quota(w, t->job->spec.team, &u);
}

void tw_simulator_judge_now(tw_simulator_world *w) {
    for (int i = 0; i < w->nworkers; i++) {
        const tw_simulator_worker *x = w->workers[i];
        for (int k = 0; k < x->ntasks && !x->gone; k++) {
            const tw_simulator_task *t = &x->tasks[k];
            if (tw_simulator_task_active(t) && is_past_cancel(w, t->job))
                tw_simulator_break(w, "ran_cancelled", "%s/%d on %s", t->job_id, t->index, x->id);
        }
    }
}

/* ---- answers to users ---- */

/* Whether an answer that contradicts what was told at `told` is older than it, or only crossed
 * it. */
static int is_older(tw_simulator_world *w, double sent, double told) {
    if (sent > told) return 1;
    w->crossings++;
    return 0;
}

/* A job that was accepted is refused or not known. */
static void judge_forgotten(tw_simulator_world *w, const tw_simulator_job *job, int kind,
                            double sent, int status) {
    bool refused = kind == TW_SIMULATOR_SUBMIT &&
                   (status == TW_SIMULATOR_MALFORMED || status == TW_SIMULATOR_IMPOSSIBLE);
    bool unknown = kind != TW_SIMULATOR_SUBMIT && status == TW_SIMULATOR_UNKNOWN;
    if (!job->accepted || (!refused && !unknown)) return;
    if (is_older(w, sent, job->accepted_at))
        tw_simulator_break(w, "forgotten", "%s is answered %d", job->spec.id, status);
}

void tw_simulator_judge_bad(tw_simulator_world *w, const char *id, int status) {
    if (status == TW_SIMULATOR_OK || status == TW_SIMULATOR_CREATED)
        tw_simulator_break(w, "took_bad", "%s can't run and is answered %d", id, status);
}

static void judge_end(tw_simulator_world *w, tw_simulator_job *job, int stage) {
    if (stage == TW_JOB_CANCELLED && job->cancel_asked_at <= 0)
        tw_simulator_break(w, "went_back", "%s is called aborted, nobody asked", job->spec.id);
    for (int i = 0; stage == TW_JOB_DONE && i < job->spec.task_count; i++)
        if (!job->done[i]) tw_simulator_break(w, "not_done", "%s/%d", job->spec.id, i);
    if (!job->told_over) job->told_over_at = w->now;
    job->told_over = stage;
    if (stage == TW_JOB_CANCELLED && job->told_cancel_at <= 0) job->told_cancel_at = w->now;
}

/* A job is done when all of its tasks are, whoever says so and however long it has been. */
static void judge_count(tw_simulator_world *w, const tw_simulator_job *job, const cJSON *answer) {
    const cJSON *done = cJSON_GetObjectItemCaseSensitive(answer, "done");
    if (cJSON_IsNumber(done) && done->valueint != job->spec.task_count)
        tw_simulator_break(w, "went_back", "%s is called done with %d tasks of %d", job->spec.id,
                           done->valueint, job->spec.task_count);
}

void tw_simulator_judge_told(tw_simulator_world *w, tw_simulator_job *job, const char *id, int kind,
                             double sent, int status, const char *body) {
    if (!job || !job->submitted) {
        if (status == TW_SIMULATOR_OK && kind != TW_SIMULATOR_SUBMIT)
            tw_simulator_break(w, "invented", "%s", id);
        return;
    }
    judge_forgotten(w, job, kind, sent, status);
    if (status != TW_SIMULATOR_OK && status != TW_SIMULATOR_CREATED) return;
    cJSON *o = cJSON_Parse(body);
    const char *said = tw_simulator_json_text(o, "stage");
    job->answered_at = w->now;
    if (!job->accepted) job->accepted_at = w->now;
    job->accepted = 1;
    int stage = !strcmp(said, "done")      ? TW_JOB_DONE
                : !strcmp(said, "aborted") ? TW_JOB_CANCELLED
                                           : 0;
    /* Two ends of one job contradict each other in whatever order they are told. */
    bool other_end = stage && job->told_over && stage != job->told_over;
    if (other_end || (!stage && job->told_over && is_older(w, sent, job->told_over_at)))
        tw_simulator_break(w, "went_back", "%s is called %s", id, said);
    if (stage) judge_end(w, job, stage);
    if (stage == TW_JOB_DONE) judge_count(w, job, o);
    cJSON_Delete(o);
}
