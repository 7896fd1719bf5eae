/* Gangs: jobs whose tasks run at the same time or not at all. The tasks that start together
 * recognize each other by their common attempt; they start when the last one has its image, and
 * complete together.
 *
 * States of an attempt, and the transitions between them:
 *
 *   - idle: no task may run. All tasks are placed under a new attempt -> gathering.
 *   - gathering: tasks are launched, fetch their image, and wait for each other. A task reports
 *     that it runs -> running. A task that terminates is replaced on another machine under the
 *     same attempt if capacity is found in time, otherwise -> stopping. A task whose exit shows
 *     that the gang had started (an error, or the termination of another task) -> stopping.
 *   - running: one task is done -> all are done, and the job has ended. One task terminates
 *     without being done -> stopping without a grace period: progress that was not saved is lost,
 *     and the other tasks would exit by themselves, but later.
 *   - stopping: all tasks are sent stop commands, directly and without delay, so that each
 *     receives its command before it notices that other tasks are missing. The last task
 *     terminates -> idle.
 *
 * Invariants:
 *   - all tasks that may run have the gang's attempt, or the gang is being stopped;
 *   - a new attempt begins only when no task of the previous one may be on a machine;
 *   - a task is replaced under the same attempt only when it has certainly terminated, and not on
 *     a machine where it was: a late command for the first launch would be indistinguishable from
 *     one for the second. (A new leader doesn't know on which machines a task was, but these
 *     machines refuse late commands of its predecessor once they have seen its fencing token.)
 *   - a stop with a grace period begins only if every machine of the gang has sent a recent
 *     heartbeat; otherwise tasks are stopped without one;
 *   - a task that reports that it runs proves only that the gang had started: it reports so until
 *     it notices that another task has terminated. */
#include "core/workers.h"
#include <stdbool.h>

/* Share of gang_wait_s, the time that a task waits for the others, by which a task may be ready
 * before the last one. Launches are delayed accordingly. */
#define LAUNCH_LEAD_RATIO 0.5

const char *tw_gang_state_name(const tw_job *job) {
    static const char *const names[] = {"idle", "gathering", "running", "stopping"};
    return names[job->gang.state];
}

static void enter_state(tw_core *core, tw_job *job, tw_gang_state state, const char *why) {
    job->gang.state = state;
    core->next_job_sweep_at = core->context.now;
    tw_log_debug("event=gang_state_changed id=%s attempt=%llu state=%s placed=%d tasks=%d why=%s",
                 job->id, (unsigned long long)job->gang.attempt, tw_gang_state_name(job),
                 job->placed_count, job->task_count, why);
}

/* Returns whether the job is a pending gang with tasks that may run. */
static bool is_active_gang(const tw_job *job) {
    return job->has_spec && job->spec.gang && job->state == TW_JOB_PENDING && job->placed_count > 0;
}

/* Returns the number of tasks that are neither placed nor done. */
static int count_missing_tasks(const tw_job *job) {
    return job->task_count - job->done_count - job->placed_count;
}

/* ---- start ---- */

/* Returns when a task that was just placed is expected to have its image. */
static double expected_ready_at(const tw_core *core, const tw_placement *placed) {
    const tw_machine *machine = placed->machine;
    const tw_image *image = tw_image_find(machine, placed->job);
    if (image) return fmax(core->context.now, image->ready_at);
    const double fetch_s_per_gb = machine->fetch_s_per_gb < 0
                                      ? core->machine_types[machine->type_index].fetch_s_per_gb
                                      : machine->fetch_s_per_gb;
    return core->context.now + fetch_s_per_gb * placed->job->spec.image_gb;
}

/* Delays the launches of tasks that would otherwise be ready so long before the last task that they
 * would give up waiting for it. */
static void stagger_launches(const tw_core *core, tw_job *job) {
    const double lead_s = LAUNCH_LEAD_RATIO * core->context.config->gang_wait_s;
    double last_ready_at = 0;
    tw_placement *task;
    DL_FOREACH2(job->placements, task, job_next) {
        last_ready_at = fmax(last_ready_at, expected_ready_at(core, task));
    }
    DL_FOREACH2(job->placements, task, job_next) {
        task->launch_after =
            last_ready_at - lead_s - (expected_ready_at(core, task) - core->context.now);
    }
}

void tw_gang_note_placed(tw_core *core, tw_job *job) {
    job->gang.missing_since = 0;
    if (job->gang.state != TW_GANG_IDLE) return; /* a task was replaced */
    job->gang = (tw_gang){.attempt = job->placements->attempt};
    stagger_launches(core, job);
    enter_state(core, job, TW_GANG_GATHERING, "placed");
}

void tw_gang_restore(tw_job *job) {
    job->gang = (tw_gang){.state = TW_GANG_IDLE};
    if (!job->placed_count) return;
    job->gang.attempt = job->placements->attempt;
    job->gang.state = TW_GANG_GATHERING; /* a heartbeat may show that it has started */
}

bool tw_gang_is_pending(const tw_job *job) {
    const tw_gang *gang = &job->gang;
    if (gang->state == TW_GANG_IDLE) return job->placed_count == 0;
    return gang->state == TW_GANG_GATHERING && count_missing_tasks(job) > 0 &&
           gang->vacated_machine_count < TW_GANG_MAX_REPLACEMENTS;
}

bool tw_gang_has_vacated(const tw_job *job, const tw_machine *machine) {
    for (int i = 0; i < job->gang.vacated_machine_count; i++)
        if (job->gang.vacated_machines[i] == machine) return true;
    return false;
}

/* ---- task reports from heartbeats, and terminated attempts ---- */

void tw_gang_note_task_report(tw_core *core, tw_placement *placed) {
    tw_job *job = placed->job;
    tw_gang *gang = &job->gang;
    if (!is_active_gang(job) || placed->attempt != gang->attempt ||
        gang->state != TW_GANG_GATHERING)
        return;
    if (placed->state == TW_TASK_WAITING && gang->waiting_since <= 0)
        gang->waiting_since = core->context.now;
    if (placed->state == TW_TASK_RUNNING || placed->state == TW_TASK_SAVING)
        enter_state(core, job, TW_GANG_RUNNING, "started");
}

/* Returns whether the way in which a task ended shows that its gang had started. */
static bool ended_after_start(const tw_placement *placed) {
    return placed->state == TW_TASK_EXITED &&
           (placed->cause == TW_CAUSE_ERROR || placed->cause == TW_CAUSE_GANG_BROKEN);
}

/* Records that a task terminated before the gang has started and is to be replaced on another
 * machine. */
static void note_vacated(tw_core *core, tw_job *job, const tw_placement *placed) {
    tw_gang *gang = &job->gang;
    const bool may_have_been_launched =
        placed->launch_sent || placed->direct_launches || placed->inherited;
    if (gang->missing_since <= 0) gang->missing_since = core->context.now;
    if (may_have_been_launched && gang->vacated_machine_count < TW_GANG_MAX_REPLACEMENTS)
        gang->vacated_machines[gang->vacated_machine_count++] = placed->machine;
}

void tw_gang_note_task_terminated(tw_core *core, tw_placement *placed) {
    tw_job *job = placed->job;
    tw_gang *gang = &job->gang;
    if (gang->state == TW_GANG_IDLE || job->state != TW_JOB_PENDING) return;
    const bool had_started = gang->state == TW_GANG_RUNNING || ended_after_start(placed);
    if (had_started) job->has_checkpoint |= job->spec.checkpoint_s > 0;
    if (!job->placed_count) {
        enter_state(core, job, TW_GANG_IDLE, "gone");
        gang->vacated_machine_count = 0;
    } else if (gang->state == TW_GANG_STOPPING) {
        if (!gang->saved)
            gang->grace_s = 0; /* the other tasks need not save: a gang saves only as a whole */
        core->next_job_sweep_at = core->context.now;
    } else if (had_started) {
        tw_gang_stop(core, job, 0);
    } else {
        note_vacated(core, job, placed);
    }
}

void tw_gang_complete(tw_core *core, tw_job *job) {
    memset(job->task_states, TW_ASSIGNMENT_DONE, (size_t)job->task_count);
    job->done_count = job->task_count;
    enter_state(core, job, TW_GANG_IDLE, "done");
}

/* ---- stop ---- */

/* Returns whether all machines of the gang have sent a recent heartbeat and take commands. */
static bool machines_take_commands(const tw_core *core, const tw_job *job) {
    const tw_placement *task;
    DL_FOREACH2(job->placements, task, job_next) {
        const tw_machine *machine = task->machine;
        if (!machine->confirmed || machine->lease_expired || machine->return_wanted ||
            machine->failed_sends ||
            core->context.now - machine->last_contact_at >
                TW_RECENT_CONTACT_HEARTBEATS * core->context.config->report_s)
            return false;
    }
    return true;
}

bool tw_gang_can_save(const tw_core *core, tw_job *job) {
    tw_gang *gang = &job->gang;
    if (job->spec.checkpoint_s <= 0 || count_missing_tasks(job) > 0) return false;
    if (gang->state != TW_GANG_RUNNING && gang->state != TW_GANG_STOPPING) return false;
    /* Asked for each task of the gang, so the machines are examined once per change. */
    if (gang->reach_checked_at != core->context.now ||
        gang->reach_version != core->machine_reach_version) {
        gang->can_reach_machines = machines_take_commands(core, job);
        gang->reach_checked_at = core->context.now;
        gang->reach_version = core->machine_reach_version;
    }
    return gang->can_reach_machines;
}

void tw_gang_stop(tw_core *core, tw_job *job, double grace_s) {
    tw_gang *gang = &job->gang;
    if (!is_active_gang(job)) return;
    if (gang->state == TW_GANG_STOPPING) {
        gang->grace_s = fmin(gang->grace_s, grace_s);
        return;
    }
    gang->grace_s = grace_s;
    gang->saved = false;
    enter_state(core, job, TW_GANG_STOPPING, grace_s > 0 ? "saves" : "at once");
}

static void stop_tasks(tw_core *core, tw_job *job) {
    tw_placement *task;
    tw_placement *next;
    DL_FOREACH_SAFE2(job->placements, task, next, job_next) {
        if (!task->stopping || task->grace_s > job->gang.grace_s)
            tw_placement_stop(core, task, job->gang.grace_s, task->preempted);
    }
}

/* ---- periodic work ---- */

/* Returns whether all tasks that may run belong to the gang's attempt, and none of them is being
 * stopped while the gang is not. */
static bool has_single_attempt(const tw_job *job) {
    const bool gang_is_stopping = job->gang.state == TW_GANG_STOPPING;
    const tw_placement *task;
    DL_FOREACH2(job->placements, task, job_next) {
        if (task->attempt != job->gang.attempt || (task->stopping && !gang_is_stopping))
            return false;
    }
    return true;
}

/* Returns whether a missing task can't be replaced before the others give up waiting for it. */
static bool cannot_replace_in_time(const tw_core *core, const tw_job *job) {
    const tw_gang *gang = &job->gang;
    if (gang->missing_since <= 0 || !count_missing_tasks(job)) return false;
    if (gang->vacated_machine_count >= TW_GANG_MAX_REPLACEMENTS) return true;
    if (gang->waiting_since <= 0)
        return core->context.now > gang->missing_since + core->context.config->gang_wait_s;
    /* While a task is missing, the waiting tasks occupy their machines without doing work. */
    return core->context.now > gang->missing_since + core->context.config->gang_peer_s ||
           core->context.now > gang->waiting_since + core->context.config->gang_wait_s;
}

/* Requests the sending of launches that were delayed and are due now. */
static void send_due_launches(tw_core *core, const tw_job *job) {
    const tw_placement *task;
    DL_FOREACH2(job->placements, task, job_next) {
        if (!task->launch_sent && !task->direct_launches &&
            core->context.now >= task->launch_after &&
            tw_store_is_durable(job->record, task->version))
            tw_machine_request_commands(core, task->machine);
    }
}

void tw_gang_tick(tw_core *core, tw_job *job) {
    tw_gang *gang = &job->gang;
    if (!is_active_gang(job) || job->cancelling) return;
    if (gang->state == TW_GANG_GATHERING) {
        send_due_launches(core, job);
        if (cannot_replace_in_time(core, job)) tw_gang_stop(core, job, 0);
    }
    if (!has_single_attempt(job)) tw_gang_stop(core, job, 0);
    if (gang->state == TW_GANG_RUNNING && count_missing_tasks(job) > 0) tw_gang_stop(core, job, 0);
    if (gang->state == TW_GANG_STOPPING) stop_tasks(core, job);
}
