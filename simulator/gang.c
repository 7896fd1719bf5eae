/* Stand-in for gangs: the tasks of one attempt of a job that start, stop and complete together.
 *
 * Each attempt is in one of these states:
 *
 *   GATHERING  its tasks come to their machines and wait for each other
 *   RUNNING    all tasks run; the job's progress grows at the speed of the slowest machine
 *   STOPPING   a task was told to save; progress stands still until all have been told
 *   SAVED      the first task has exited with its progress saved
 *   BROKEN     a task is gone or could not save; the others find out one by one
 *   DONE       the job is complete
 *
 * GATHERING -> RUNNING when each task waits on a machine that answers; RUNNING -> STOPPING, BROKEN
 * or DONE; STOPPING -> SAVED or BROKEN. The last three are final, and a task that comes to an
 * attempt that has started only waits. Progress and checkpoints belong to the job, so that they
 * outlive attempts. */
#include "world.h"
#include <math.h>
#include <stdbool.h>
#include <string.h>

#define NEVER 1e18
#define FAILS_AFTER_S 0.3 /* a task on a faulty machine, or of a job with a mistake */
#define WAIT_LEASES 1.5   /* unless the scenario sets the times */
#define PEER_LEASES 0.25
#define EPSILON 1e-6

double tw_simulator_gang_wait_s(const tw_simulator_world *w) {
    return w->gang_wait_s > 0 ? w->gang_wait_s : WAIT_LEASES * w->lease_s;
}

double tw_simulator_gang_peer_s(const tw_simulator_world *w) {
    return w->gang_peer_s > 0 ? w->gang_peer_s : PEER_LEASES * w->lease_s;
}

static tw_simulator_gang *find_gang(tw_simulator_job *job, uint64_t attempt) {
    for (int i = job->ngangs; i-- > 0;)
        if (job->gangs[i].attempt == attempt) return &job->gangs[i];
    return NULL;
}

static tw_simulator_gang *gang_of(tw_simulator_job *job, uint64_t attempt) {
    tw_simulator_gang *gang = find_gang(job, attempt);
    if (gang) return gang;
    job->gangs = tw_simulator_grow(job->gangs, job->ngangs, &job->gangs_cap, sizeof *job->gangs);
    gang = &job->gangs[job->ngangs++];
    memset(gang, 0, sizeof *gang);
    gang->attempt = attempt;
    gang->state = TW_SIMULATOR_GANG_GATHERING;
    return gang;
}

static bool is_member(const tw_simulator_task *t) {
    return t->stage == TW_TASK_RUNNING || t->stage == TW_TASK_SAVING;
}

static bool executes(const tw_simulator_world *w, const tw_simulator_worker *x) {
    return !x->gone && x->up && w->now >= x->hung_until;
}

/* ---- progress ---- */

static void save(tw_simulator_job *job, double progress_s) {
    job->gang_saved_s = fmax(job->gang_saved_s, fmin(progress_s, job->run_s));
}

/* The job's progress up to now, with the checkpoints that it has passed. */
static void advance(tw_simulator_world *w, tw_simulator_job *job, tw_simulator_gang *gang) {
    double interval_s = job->spec.checkpoint_s;
    if (gang->state != TW_SIMULATOR_GANG_RUNNING) return;
    gang->progress_s += (w->now - gang->advanced_at) / gang->slow;
    gang->advanced_at = w->now;
    if (interval_s > 0)
        save(job, floor((fmin(gang->progress_s, job->run_s) + EPSILON) / interval_s) * interval_s);
    if (gang->progress_s + EPSILON < job->run_s || job->fails) return;
    gang->state = TW_SIMULATOR_GANG_DONE;
    for (int i = 0; i < job->spec.task_count; i++) tw_simulator_task_done(w, job, i);
}

static void break_up(tw_simulator_gang *gang) {
    if (gang->state == TW_SIMULATOR_GANG_RUNNING || gang->state == TW_SIMULATOR_GANG_STOPPING)
        gang->state = TW_SIMULATOR_GANG_BROKEN;
}

/* ---- start ---- */

static void member_starts(tw_simulator_world *w, tw_simulator_worker *x, tw_simulator_task *t) {
    bool fails = x->faulty || t->job->fails;
    t->stage = TW_TASK_RUNNING;
    t->started_at = w->now;
    t->end_at = fails ? w->now + FAILS_AFTER_S : NEVER;
    if (!fails) t->job->started++;
    x->changed = true;
}

static void start(tw_simulator_world *w, tw_simulator_job *job, tw_simulator_gang *gang) {
    gang->state = TW_SIMULATOR_GANG_RUNNING;
    gang->progress_s = fmin(job->gang_saved_s, job->run_s);
    gang->advanced_at = w->now;
    job->gang_starts++;
    if (job->begun_at <= 0) job->begun_at = w->now;
    for (int i = 0; i < w->nworkers; i++) {
        tw_simulator_worker *x = w->workers[i];
        for (int k = 0; k < x->ntasks && executes(w, x); k++) {
            tw_simulator_task *t = &x->tasks[k];
            if (t->job == job && t->attempt == gang->attempt && t->stage == TW_TASK_WAITING)
                member_starts(w, x, t);
        }
    }
}

void tw_simulator_gang_image_there(tw_simulator_world *w, tw_simulator_worker *x,
                                   tw_simulator_task *t) {
    t->stage = TW_TASK_WAITING;
    t->end_at = w->now + tw_simulator_gang_wait_s(w);
    x->changed = true;
    gang_of(t->job, t->attempt);
    tw_simulator_judge_start(w, x, t);
    if (t->job->ndone == t->job->spec.task_count) tw_simulator_task_exit(x, t, TW_CAUSE_DONE);
}

/* ---- stop ---- */

/* Whether a task that is told to stop now can still save with the others. */
static bool is_in_time(const tw_simulator_world *w, const tw_simulator_gang *gang) {
    return w->now <= gang->first_stop_at + tw_simulator_gang_peer_s(w);
}

/* A running task is told to stop; the first one of its gang stops the progress of all. */
static void stop_running(tw_simulator_world *w, tw_simulator_worker *x, tw_simulator_task *t,
                         tw_simulator_gang *gang, double grace_s) {
    const tw_wire_job *spec = &t->job->spec;
    bool can_save = spec->checkpoint_s > 0 && grace_s >= spec->save_s;
    bool in_time = gang->state == TW_SIMULATOR_GANG_RUNNING ||
                   (gang->state == TW_SIMULATOR_GANG_STOPPING && is_in_time(w, gang));
    if (!can_save || !in_time) {
        tw_simulator_task_exit(x, t, TW_CAUSE_STOPPED);
        break_up(gang);
        return;
    }
    if (gang->state == TW_SIMULATOR_GANG_RUNNING) gang->first_stop_at = w->now;
    gang->state = TW_SIMULATOR_GANG_STOPPING;
    t->stage = TW_TASK_SAVING;
    t->end_at = w->now + spec->save_s;
    x->changed = true;
}

void tw_simulator_gang_stop(tw_simulator_world *w, tw_simulator_worker *x, tw_simulator_task *t,
                            double grace_s) {
    tw_simulator_gang *gang = gang_of(t->job, t->attempt);
    advance(w, t->job, gang);
    if (!is_member(t)) {
        tw_simulator_task_exit(x, t, TW_CAUSE_STOPPED);
    } else if (gang->state == TW_SIMULATOR_GANG_DONE) {
        tw_simulator_task_exit(x, t, TW_CAUSE_DONE);
    } else if (t->stage == TW_TASK_RUNNING) {
        stop_running(w, x, t, gang, grace_s);
    } else if (grace_s <= 0) {
        tw_simulator_task_exit(x, t, TW_CAUSE_STOPPED);
        break_up(gang);
    }
}

/* ---- time ---- */

/* What is known of a gang's tasks now. */
static void count_task(tw_simulator_world *w, const tw_simulator_worker *x,
                       const tw_simulator_task *t) {
    tw_simulator_gang *gang = find_gang(t->job, t->attempt);
    if (!gang) return;
    gang->nwaiting += t->stage == TW_TASK_WAITING && executes(w, x);
    gang->nmembers += is_member(t) && executes(w, x);
    gang->nsaving += t->stage == TW_TASK_SAVING && executes(w, x);
    bool awaited = gang->state == TW_SIMULATOR_GANG_GATHERING && t->stage == TW_TASK_WAITING;
    if (awaited || is_member(t)) gang->slowest = fmax(gang->slowest, x->slow);
}

static void count_tasks(tw_simulator_world *w) {
    for (int i = 0; i < w->njobs; i++)
        for (int k = 0; k < w->jobs[i]->ngangs; k++) {
            tw_simulator_gang *gang = &w->jobs[i]->gangs[k];
            gang->nwaiting = gang->nmembers = gang->nsaving = 0;
            gang->slowest = 0;
        }
    for (int i = 0; i < w->nworkers; i++) {
        const tw_simulator_worker *x = w->workers[i];
        for (int k = 0; k < x->ntasks && !x->gone; k++)
            if (x->tasks[k].job && x->tasks[k].job->spec.gang) count_task(w, x, &x->tasks[k]);
    }
}

static void gang_tick(tw_simulator_world *w, tw_simulator_job *job, tw_simulator_gang *gang) {
    int all = job->spec.task_count;
    advance(w, job, gang);
    if (gang->slowest > 0) gang->slow = gang->slowest;
    if (gang->state == TW_SIMULATOR_GANG_GATHERING && gang->nwaiting >= all) {
        start(w, job, gang);
    } else if (gang->state == TW_SIMULATOR_GANG_RUNNING ||
               gang->state == TW_SIMULATOR_GANG_STOPPING) {
        bool late = gang->state == TW_SIMULATOR_GANG_STOPPING && gang->nsaving < all &&
                    !is_in_time(w, gang);
        if (gang->nmembers < all || late) break_up(gang);
    }
}

void tw_simulator_gangs_tick(tw_simulator_world *w) {
    count_tasks(w);
    for (int i = 0; i < w->njobs; i++)
        for (int k = 0; k < w->jobs[i]->ngangs; k++)
            gang_tick(w, w->jobs[i], &w->jobs[i]->gangs[k]);
}

/* Its gang is broken: it saves nothing, and finds out that the others are gone. */
static void broken_tick(tw_simulator_world *w, tw_simulator_worker *x, tw_simulator_task *t,
                        tw_simulator_gang *gang) {
    bool told = t->stage == TW_TASK_SAVING;
    bool late = gang->first_stop_at > 0 && !is_in_time(w, gang);
    if (t->peers_at <= 0)
        t->peers_at =
            w->now + tw_simulator_draw(w, TW_SIMULATOR_DRAW_GANGS, 0, tw_simulator_gang_peer_s(w));
    if (late || w->now >= t->peers_at)
        tw_simulator_task_exit(x, t, told && late ? TW_CAUSE_STOPPED : TW_CAUSE_GANG_BROKEN);
}

static void saving_tick(tw_simulator_world *w, tw_simulator_worker *x, tw_simulator_task *t,
                        tw_simulator_gang *gang) {
    bool all_told =
        gang->state == TW_SIMULATOR_GANG_SAVED || gang->nsaving >= t->job->spec.task_count;
    if (!all_told || w->now < t->end_at) return;
    gang->state = TW_SIMULATOR_GANG_SAVED;
    save(t->job, gang->progress_s);
    t->saved = 1;
    tw_simulator_task_exit(x, t, TW_CAUSE_STOPPED);
}

void tw_simulator_gang_task_tick(tw_simulator_world *w, tw_simulator_worker *x,
                                 tw_simulator_task *t) {
    tw_simulator_gang *gang = gang_of(t->job, t->attempt);
    if (t->stage == TW_TASK_WAITING) {
        if (w->now >= t->end_at) tw_simulator_task_exit(x, t, TW_CAUSE_GANG_INCOMPLETE);
    } else if (!is_member(t)) {
        return;
    } else if (t->stage == TW_TASK_RUNNING && w->now >= t->end_at) {
        tw_simulator_task_exit(x, t, TW_CAUSE_ERROR);
        break_up(gang);
    } else if (gang->state == TW_SIMULATOR_GANG_DONE) {
        tw_simulator_task_exit(x, t, TW_CAUSE_DONE);
    } else if (gang->state == TW_SIMULATOR_GANG_BROKEN) {
        broken_tick(w, x, t, gang);
    } else if (t->stage == TW_TASK_SAVING) {
        saving_tick(w, x, t, gang);
    }
}
