/* Simulates gangs: the tasks of one attempt of a job, which start, stop and complete together.
 *
 * Each attempt is in one of these states:
 *
 *   GATHERING  its tasks are launched on their machines and wait for each other
 *   RUNNING    all tasks run; the job progresses at the speed of the slowest machine
 *   STOPPING   a task has received a stop command and saves; the job makes no progress
 *   SAVED      all tasks received the stop command in time and one has exited with progress saved
 *   BROKEN     a task ended early or could not save; the others detect this one by one
 *   DONE       the job is complete
 *
 * GATHERING changes to RUNNING when every task waits on a machine that executes tasks; RUNNING
 * changes to STOPPING, BROKEN or DONE; STOPPING changes to SAVED or BROKEN. SAVED, BROKEN and DONE
 * are final. A task that joins an attempt after its start waits until it times out. Progress and
 * checkpoints are stored with the job, because they outlive attempts. */
#include "world.h"
#include <math.h>
#include <stdbool.h>
#include <string.h>

#define NEVER 1e18
#define FAILURE_DELAY_S                                                                            \
    0.3 /* how long a task runs before it fails on a faulty machine or in a failing job */
#define DEFAULT_WAIT_LEASES 1.5 /* the defaults apply to times that the scenario does not set */
#define DEFAULT_PEER_LEASES 0.25
#define EPSILON 1e-6

double tw_simulator_gang_wait_s(const tw_simulator_world *world) {
    return world->gang_wait_s > 0 ? world->gang_wait_s : DEFAULT_WAIT_LEASES * world->lease_s;
}

double tw_simulator_gang_peer_s(const tw_simulator_world *world) {
    return world->gang_peer_s > 0 ? world->gang_peer_s : DEFAULT_PEER_LEASES * world->lease_s;
}

static tw_simulator_gang *find_gang(tw_simulator_job *job, uint64_t attempt) {
    for (int i = job->gang_count; i-- > 0;)
        if (job->gangs[i].attempt == attempt) return &job->gangs[i];
    return NULL;
}

static tw_simulator_gang *find_or_create_gang(tw_simulator_job *job, uint64_t attempt) {
    tw_simulator_gang *gang = find_gang(job, attempt);
    if (gang) return gang;
    job->gangs =
        tw_simulator_grow(job->gangs, job->gang_count, &job->gang_capacity, sizeof *job->gangs);
    gang = &job->gangs[job->gang_count++];
    memset(gang, 0, sizeof *gang);
    gang->attempt = attempt;
    gang->state = TW_SIMULATOR_GANG_GATHERING;
    return gang;
}

static bool is_member(const tw_simulator_task *task) {
    return task->stage == TW_TASK_RUNNING || task->stage == TW_TASK_SAVING;
}

static bool machine_executes_tasks(const tw_simulator_world *world,
                                   const tw_simulator_worker *worker) {
    return !worker->removed && worker->up && world->now >= worker->hung_until;
}

/* ---- progress ---- */

static void save_progress(tw_simulator_job *job, double progress_s) {
    job->gang_saved_s = fmax(job->gang_saved_s, fmin(progress_s, job->run_s));
}

/* Advances a running gang's progress to the current time: saves the checkpoints that it has
 * passed, and completes the job when the run time is reached. */
static void advance_progress(tw_simulator_world *world, tw_simulator_job *job,
                             tw_simulator_gang *gang) {
    double interval_s = job->spec.checkpoint_s;
    if (gang->state != TW_SIMULATOR_GANG_RUNNING) return;
    gang->progress_s += (world->now - gang->advanced_at) / gang->slowdown;
    gang->advanced_at = world->now;
    if (interval_s > 0)
        save_progress(job, floor((fmin(gang->progress_s, job->run_s) + EPSILON) / interval_s) *
                               interval_s);
    if (gang->progress_s + EPSILON < job->run_s || job->fails) return;
    gang->state = TW_SIMULATOR_GANG_DONE;
    for (int i = 0; i < job->spec.task_count; i++) tw_simulator_complete_task(world, job, i);
}

static void break_gang(tw_simulator_gang *gang) {
    if (gang->state == TW_SIMULATOR_GANG_RUNNING || gang->state == TW_SIMULATOR_GANG_STOPPING)
        gang->state = TW_SIMULATOR_GANG_BROKEN;
}

/* ---- start ---- */

static void start_member(tw_simulator_world *world, tw_simulator_worker *worker,
                         tw_simulator_task *task) {
    bool fails = worker->faulty || task->job->fails;
    task->stage = TW_TASK_RUNNING;
    task->started_at = world->now;
    task->end_at = fails ? world->now + FAILURE_DELAY_S : NEVER;
    if (!fails) task->job->started++;
    worker->has_unreported_change = true;
    tw_simulator_judge_cancelled_start(world, task);
}

static void start_gang(tw_simulator_world *world, tw_simulator_job *job, tw_simulator_gang *gang) {
    gang->state = TW_SIMULATOR_GANG_RUNNING;
    gang->progress_s = fmin(job->gang_saved_s, job->run_s);
    gang->advanced_at = world->now;
    job->gang_starts++;
    if (job->begun_at <= 0) job->begun_at = world->now;
    for (int i = 0; i < world->worker_count; i++) {
        tw_simulator_worker *worker = world->workers[i];
        for (int k = 0; k < worker->task_count && machine_executes_tasks(world, worker); k++) {
            tw_simulator_task *task = &worker->tasks[k];
            if (task->job == job && task->attempt == gang->attempt &&
                task->stage == TW_TASK_WAITING)
                start_member(world, worker, task);
        }
    }
}

void tw_simulator_gang_image_fetched(tw_simulator_world *world, tw_simulator_worker *worker,
                                     tw_simulator_task *task) {
    task->stage = TW_TASK_WAITING;
    task->end_at = world->now + tw_simulator_gang_wait_s(world);
    worker->has_unreported_change = true;
    find_or_create_gang(task->job, task->attempt);
    tw_simulator_judge_task_start(world, worker, task);
    if (task->job->done_count == task->job->spec.task_count)
        tw_simulator_exit_task(worker, task, TW_CAUSE_DONE);
}

/* ---- stop ---- */

/* Returns whether a task that receives its stop command now can still save with the rest of its
 * gang. */
static bool is_within_stop_window(const tw_simulator_world *world, const tw_simulator_gang *gang) {
    return world->now <= gang->first_stop_at + tw_simulator_gang_peer_s(world);
}

/* Applies a stop command to a running task. The first stop command to a gang ends the progress of
 * all its tasks. */
static void stop_running(tw_simulator_world *world, tw_simulator_worker *worker,
                         tw_simulator_task *task, tw_simulator_gang *gang, double grace_s) {
    const tw_wire_job *spec = &task->job->spec;
    bool can_save = spec->checkpoint_s > 0 && grace_s >= spec->save_s;
    bool can_join_stop =
        gang->state == TW_SIMULATOR_GANG_RUNNING ||
        (gang->state == TW_SIMULATOR_GANG_STOPPING && is_within_stop_window(world, gang));
    if (!can_save || !can_join_stop) {
        tw_simulator_exit_task(worker, task, TW_CAUSE_STOPPED);
        break_gang(gang);
        return;
    }
    if (gang->state == TW_SIMULATOR_GANG_RUNNING) gang->first_stop_at = world->now;
    gang->state = TW_SIMULATOR_GANG_STOPPING;
    task->stage = TW_TASK_SAVING;
    task->end_at = world->now + spec->save_s;
    worker->has_unreported_change = true;
}

void tw_simulator_gang_stop_task(tw_simulator_world *world, tw_simulator_worker *worker,
                                 tw_simulator_task *task, double grace_s) {
    tw_simulator_gang *gang = find_or_create_gang(task->job, task->attempt);
    advance_progress(world, task->job, gang);
    if (!is_member(task)) {
        tw_simulator_exit_task(worker, task, TW_CAUSE_STOPPED);
    } else if (gang->state == TW_SIMULATOR_GANG_DONE) {
        tw_simulator_exit_task(worker, task, TW_CAUSE_DONE);
    } else if (task->stage == TW_TASK_RUNNING) {
        stop_running(world, worker, task, gang, grace_s);
    } else if (grace_s <= 0) {
        tw_simulator_exit_task(worker, task, TW_CAUSE_STOPPED);
        break_gang(gang);
    }
}

/* ---- passage of time ---- */

/* Adds a task to its gang's counters, and its machine's slowdown to the gang's greatest one. */
static void count_task(tw_simulator_world *world, const tw_simulator_worker *worker,
                       const tw_simulator_task *task) {
    tw_simulator_gang *gang = find_gang(task->job, task->attempt);
    if (!gang) return;
    gang->waiting_count += task->stage == TW_TASK_WAITING && machine_executes_tasks(world, worker);
    gang->member_count += is_member(task) && machine_executes_tasks(world, worker);
    gang->saving_count += task->stage == TW_TASK_SAVING && machine_executes_tasks(world, worker);
    bool is_gathering =
        gang->state == TW_SIMULATOR_GANG_GATHERING && task->stage == TW_TASK_WAITING;
    if (is_gathering || is_member(task))
        gang->greatest_slowdown = fmax(gang->greatest_slowdown, worker->slowdown);
}

static void count_tasks(tw_simulator_world *world) {
    for (int i = 0; i < world->job_count; i++)
        for (int k = 0; k < world->jobs[i]->gang_count; k++) {
            tw_simulator_gang *gang = &world->jobs[i]->gangs[k];
            gang->waiting_count = gang->member_count = gang->saving_count = 0;
            gang->greatest_slowdown = 0;
        }
    for (int i = 0; i < world->worker_count; i++) {
        const tw_simulator_worker *worker = world->workers[i];
        for (int k = 0; k < worker->task_count && !worker->removed; k++)
            if (worker->tasks[k].job && worker->tasks[k].job->spec.gang)
                count_task(world, worker, &worker->tasks[k]);
    }
}

static void advance_gang(tw_simulator_world *world, tw_simulator_job *job,
                         tw_simulator_gang *gang) {
    int task_count = job->spec.task_count;
    advance_progress(world, job, gang);
    if (gang->greatest_slowdown > 0) gang->slowdown = gang->greatest_slowdown;
    if (gang->state == TW_SIMULATOR_GANG_GATHERING && gang->waiting_count >= task_count) {
        start_gang(world, job, gang);
    } else if (gang->state == TW_SIMULATOR_GANG_RUNNING ||
               gang->state == TW_SIMULATOR_GANG_STOPPING) {
        bool stop_window_passed = gang->state == TW_SIMULATOR_GANG_STOPPING &&
                                  gang->saving_count < task_count &&
                                  !is_within_stop_window(world, gang);
        if (gang->member_count < task_count || stop_window_passed) break_gang(gang);
    }
}

void tw_simulator_gangs_advance(tw_simulator_world *world) {
    count_tasks(world);
    for (int i = 0; i < world->job_count; i++)
        for (int k = 0; k < world->jobs[i]->gang_count; k++)
            advance_gang(world, world->jobs[i], &world->jobs[i]->gangs[k]);
}

/* Advances a task whose gang is broken: the task saves nothing, and exits when it detects the
 * failure of its gang, after a random delay, or when the gang's stop window has passed. */
static void advance_broken_task(tw_simulator_world *world, tw_simulator_worker *worker,
                                tw_simulator_task *task, tw_simulator_gang *gang) {
    bool was_saving = task->stage == TW_TASK_SAVING;
    bool stop_window_passed = gang->first_stop_at > 0 && !is_within_stop_window(world, gang);
    if (task->gang_failure_known_at <= 0)
        task->gang_failure_known_at =
            world->now +
            tw_simulator_draw(world, TW_SIMULATOR_DRAW_GANGS, 0, tw_simulator_gang_peer_s(world));
    if (stop_window_passed || world->now >= task->gang_failure_known_at)
        tw_simulator_exit_task(worker, task,
                               was_saving && stop_window_passed ? TW_CAUSE_STOPPED
                                                                : TW_CAUSE_GANG_BROKEN);
}

static void advance_saving_task(tw_simulator_world *world, tw_simulator_worker *worker,
                                tw_simulator_task *task, tw_simulator_gang *gang) {
    bool all_saving =
        gang->state == TW_SIMULATOR_GANG_SAVED || gang->saving_count >= task->job->spec.task_count;
    if (!all_saving || world->now < task->end_at) return;
    gang->state = TW_SIMULATOR_GANG_SAVED;
    save_progress(task->job, gang->progress_s);
    task->saved = 1;
    tw_simulator_exit_task(worker, task, TW_CAUSE_STOPPED);
}

void tw_simulator_gang_task_advance(tw_simulator_world *world, tw_simulator_worker *worker,
                                    tw_simulator_task *task) {
    tw_simulator_gang *gang = find_or_create_gang(task->job, task->attempt);
    if (task->stage == TW_TASK_WAITING) {
        if (world->now >= task->end_at)
            tw_simulator_exit_task(worker, task, TW_CAUSE_GANG_INCOMPLETE);
    } else if (!is_member(task)) {
        return;
    } else if (task->stage == TW_TASK_RUNNING && world->now >= task->end_at) {
        tw_simulator_exit_task(worker, task, TW_CAUSE_ERROR);
        break_gang(gang);
    } else if (gang->state == TW_SIMULATOR_GANG_DONE) {
        tw_simulator_exit_task(worker, task, TW_CAUSE_DONE);
    } else if (gang->state == TW_SIMULATOR_GANG_BROKEN) {
        advance_broken_task(world, worker, task, gang);
    } else if (task->stage == TW_TASK_SAVING) {
        advance_saving_task(world, worker, task, gang);
    }
}
