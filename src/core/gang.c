/* Gangs: jobs whose tasks run at the same time or not at all. The tasks of one start find each
 * other by their common attempt; they start when the last one has its image, and complete together.
 *
 * States of an attempt, and what leads from one to the next:
 *
 *   idle       no task may run. Placed whole under a new attempt -> gathering.
 *   gathering  tasks are launched, fetch their image, wait for each other. One tells that it runs
 *              -> running. One that is gone is replaced elsewhere under the same attempt, if room
 *              is found in time; else -> stopping. One whose end shows that the gang had begun (an
 *              error, or `peers`) -> stopping.
 *   running    one task is done -> all are, the job is over. One is gone without being done: what
 *              was not saved is lost, the others end by themselves -> stopping, without a grace
 *              period, since that is sooner.
 *   stopping   every task is told to stop, at once and directly, so that all hear it within the
 *              time in which they notice a missing one. The last one gone -> idle.
 *
 * Invariants: all tasks that may run have the attempt of the gang, or it is stopped. A new attempt
 * begins only when no task of the last one may be on a machine; a task is replaced under the same
 * attempt only when it is certainly gone, and not on a machine where it was: a late command for the
 * first launch could not be told from one for the second. (A new leader doesn't know these
 * machines; they refuse late commands by its token.) A stop with a grace period begins only if
 * every machine of the gang has sent a heartbeat lately; otherwise tasks are stopped without one. A
 * task that tells that it runs proves only that the gang had started: it goes on telling so until
 * it notices that another is gone. */
#include "core/workers.h"
#include <stdbool.h>

/* How long before the last task is ready the others are launched at the earliest, as a share of the
 * time that a task waits for the others. */
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

/* Whether the job is a gang with tasks that may run. */
static bool is_under_way(const tw_job *job) {
    return job->has_spec && job->spec.gang && job->state == TW_JOB_PENDING && job->placed_count > 0;
}

/* Tasks that are neither placed nor done. */
static int missing_tasks(const tw_job *job) {
    return job->task_count - job->done_count - job->placed_count;
}

/* ---- start ---- */

/* When a task that was just placed should have its image. */
static double ready_at(const tw_core *core, const tw_placement *placed) {
    const tw_machine *machine = placed->machine;
    const tw_image *image = tw_image_find(machine, placed->job);
    if (image) return fmax(core->context.now, image->ready_at);
    const double s_per_gb = machine->fetch_s_per_gb < 0
                                ? core->machine_types[machine->type_index].fetch_s_per_gb
                                : machine->fetch_s_per_gb;
    return core->context.now + s_per_gb * placed->job->spec.image_gb;
}

/* Tasks that would be ready so much sooner than the last one that they would give up waiting for it
 * are launched later. */
static void stagger_launches(const tw_core *core, tw_job *job) {
    const double lead_s = LAUNCH_LEAD_RATIO * core->context.config->gang_wait_s;
    double last_ready_at = 0;
    tw_placement *task;
    DL_FOREACH2(job->placements, task, job_next) {
        last_ready_at = fmax(last_ready_at, ready_at(core, task));
    }
    DL_FOREACH2(job->placements, task, job_next) {
        task->launch_after = last_ready_at - lead_s - (ready_at(core, task) - core->context.now);
    }
}

void tw_gang_placed(tw_core *core, tw_job *job) {
    job->gang.missing_since = 0;
    if (job->gang.state != TW_GANG_IDLE) return; /* a task was replaced */
    job->gang = (tw_gang){.attempt = job->placements->attempt};
    stagger_launches(core, job);
    enter_state(core, job, TW_GANG_GATHERING, "placed");
}

void tw_gang_restored(tw_job *job) {
    job->gang = (tw_gang){.state = TW_GANG_IDLE};
    if (!job->placed_count) return;
    job->gang.attempt = job->placements->attempt;
    job->gang.state = TW_GANG_GATHERING; /* a heartbeat may tell that it has started */
}

bool tw_gang_is_pending(const tw_job *job) {
    const tw_gang *gang = &job->gang;
    if (gang->state == TW_GANG_IDLE) return job->placed_count == 0;
    return gang->state == TW_GANG_GATHERING && missing_tasks(job) > 0 &&
           gang->vacated_count < TW_GANG_MAX_REPLACED;
}

bool tw_gang_was_on(const tw_job *job, const tw_machine *machine) {
    for (int i = 0; i < job->gang.vacated_count; i++)
        if (job->gang.vacated[i] == machine) return true;
    return false;
}

/* ---- what heartbeats tell ---- */

void tw_gang_task_reported(tw_core *core, tw_placement *placed) {
    tw_job *job = placed->job;
    tw_gang *gang = &job->gang;
    if (!is_under_way(job) || placed->attempt != gang->attempt || gang->state != TW_GANG_GATHERING)
        return;
    if (placed->state == TW_TASK_WAITING && gang->waiting_since <= 0)
        gang->waiting_since = core->context.now;
    if (placed->state == TW_TASK_RUNNING || placed->state == TW_TASK_SAVING)
        enter_state(core, job, TW_GANG_RUNNING, "started");
}

/* Whether the way in which a task ended shows that its gang had started. */
static bool ended_after_start(const tw_placement *placed) {
    return placed->state == TW_TASK_EXITED &&
           (placed->cause == TW_CAUSE_ERROR || placed->cause == TW_CAUSE_GANG_BROKEN);
}

/* A task is gone before the gang has started: it is to be replaced on another machine. */
static void note_vacated(tw_core *core, tw_job *job, const tw_placement *placed) {
    tw_gang *gang = &job->gang;
    const bool was_there = placed->launch_sent || placed->direct_launches || placed->inherited;
    if (gang->missing_since <= 0) gang->missing_since = core->context.now;
    if (was_there && gang->vacated_count < TW_GANG_MAX_REPLACED)
        gang->vacated[gang->vacated_count++] = placed->machine;
}

void tw_gang_task_gone(tw_core *core, tw_placement *placed) {
    tw_job *job = placed->job;
    tw_gang *gang = &job->gang;
    if (gang->state == TW_GANG_IDLE || job->state != TW_JOB_PENDING) return;
    const bool had_started = gang->state == TW_GANG_RUNNING || ended_after_start(placed);
    if (had_started) job->has_checkpoint |= job->spec.checkpoint_s > 0;
    if (!job->placed_count) {
        enter_state(core, job, TW_GANG_IDLE, "gone");
        gang->vacated_count = 0;
    } else if (gang->state == TW_GANG_STOPPING) {
        if (!gang->saved) gang->grace_s = 0; /* what the others still save is lost */
        core->next_job_sweep_at = core->context.now;
    } else if (had_started) {
        tw_gang_stop(core, job, 0);
    } else {
        note_vacated(core, job, placed);
    }
}

void tw_gang_done(tw_core *core, tw_job *job) {
    memset(job->task_states, TW_ASSIGNMENT_DONE, (size_t)job->task_count);
    job->done_count = job->task_count;
    enter_state(core, job, TW_GANG_IDLE, "done");
}

/* ---- stop ---- */

bool tw_gang_can_save(const tw_core *core, const tw_job *job) {
    const tw_placement *task;
    if (job->spec.checkpoint_s <= 0 || missing_tasks(job) > 0) return false;
    if (job->gang.state != TW_GANG_RUNNING && job->gang.state != TW_GANG_STOPPING) return false;
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

void tw_gang_stop(tw_core *core, tw_job *job, double grace_s) {
    tw_gang *gang = &job->gang;
    if (!is_under_way(job)) return;
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

/* ---- time ---- */

/* Whether all tasks that may run are of the gang's attempt, and none of them is stopped alone. */
static bool is_one_attempt(const tw_job *job) {
    const bool stops = job->gang.state == TW_GANG_STOPPING;
    const tw_placement *task;
    DL_FOREACH2(job->placements, task, job_next) {
        if (task->attempt != job->gang.attempt || (task->stopping && !stops)) return false;
    }
    return true;
}

/* Whether a task that is gone can't be replaced before the others give up waiting. */
static bool is_hopeless(const tw_core *core, const tw_job *job) {
    const tw_gang *gang = &job->gang;
    if (gang->missing_since <= 0 || !missing_tasks(job)) return false;
    if (gang->vacated_count >= TW_GANG_MAX_REPLACED) return true;
    if (gang->waiting_since <= 0)
        return core->context.now > gang->missing_since + core->context.config->gang_wait_s;
    /* Meanwhile the others hold their room for nothing. */
    return core->context.now > gang->missing_since + core->context.config->gang_peer_s ||
           core->context.now > gang->waiting_since + core->context.config->gang_wait_s;
}

/* Has the launches sent that were put off until now. */
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
    if (!is_under_way(job) || job->cancelling) return;
    if (gang->state == TW_GANG_GATHERING) {
        send_due_launches(core, job);
        if (is_hopeless(core, job)) tw_gang_stop(core, job, 0);
    }
    if (!is_one_attempt(job)) tw_gang_stop(core, job, 0);
    if (gang->state == TW_GANG_RUNNING && missing_tasks(job) > 0) tw_gang_stop(core, job, 0);
    if (gang->state == TW_GANG_STOPPING) stop_tasks(core, job);
}
