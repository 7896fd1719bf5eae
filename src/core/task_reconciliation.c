/* Reconciles one task that a heartbeat lists with its placement, or with its job if it has no
 * placement. The task may be fetching its image, running, exited or unknown. Called for each task
 * of a heartbeat that is applied. */
#include "core/workers.h"
#include <stdbool.h>

/* Number of other machines with a failure of the job from which the job itself, and not a machine,
 * is considered faulty. */
#define JOB_FAULT_MACHINES 2
/* Pause before a task of the job is placed again. It is short while another machine may succeed;
 * otherwise it doubles with each error, up to a maximum. */
#define RETRY_ELSEWHERE_S 0.2
#define RETRY_FIRST_S 0.5
#define RETRY_DOUBLINGS 8
#define RETRY_MAX_LEASES 3
/* Pause after a machine has refused a task for lack of resources, in heartbeat intervals: the next
 * heartbeat shows which tasks use the resources. */
#define RETRY_REFUSED_HEARTBEATS 0.3

/* Returns the number of other machines on which the job has failed recently. */
static int count_failed_elsewhere(const tw_job *job, const tw_machine *machine) {
    int count = 0;
    for (int i = 0; i < job->failed_machine_count; i++)
        count += job->failed_machines[i] && job->failed_machines[i] != machine;
    return count;
}

/* Records that the job failed on the machine. If the list of failed machines is full, the entry
 * replaces an earlier one. */
static void note_failed_machine(tw_job *job, tw_machine *machine) {
    const int max_machines = (int)(sizeof job->failed_machines / sizeof job->failed_machines[0]);
    const int slot = job->failed_machine_count < max_machines
                         ? job->failed_machine_count++
                         : job->consecutive_errors % max_machines;
    job->failed_machines[slot] = machine;
}

static void note_task_failure(tw_core *core, tw_placement *placed, tw_wire_exit_cause cause) {
    tw_job *job = placed->job;
    job->consecutive_errors++;
    const int failed_elsewhere = count_failed_elsewhere(job, placed->machine);
    note_failed_machine(job, placed->machine);
    const double max_pause_s = core->context.config->lease_s * RETRY_MAX_LEASES;
    const int doublings =
        job->consecutive_errors > RETRY_DOUBLINGS ? RETRY_DOUBLINGS : job->consecutive_errors;
    const double pause_s = failed_elsewhere < JOB_FAULT_MACHINES
                               ? RETRY_ELSEWHERE_S
                               : fmin(max_pause_s, RETRY_FIRST_S * (double)(1 << doublings));
    /* The machine is avoided only for a limited time, because it may be the only one on which the
     * job fits, and a fault may be temporary. */
    job->failed_machines_avoided_until = core->context.now + max_pause_s;
    job->retry_at = core->context.now + pause_s;
    if (cause == TW_CAUSE_ERROR && failed_elsewhere < JOB_FAULT_MACHINES)
        tw_quarantine_note_failure(core, placed, failed_elsewhere);
}

/* Updates the state of the machine and the job from the cause of a task's exit. */
static void note_exit(tw_core *core, tw_placement *placed, const tw_wire_task *reported) {
    tw_job *job = placed->job;
    switch (reported->cause) {
    case TW_CAUSE_DONE:
        tw_statistics_note_run(core, placed);
        job->consecutive_errors = 0;
        if (placed->running_since > placed->machine->failed_at)
            tw_quarantine_clear(core, placed->machine);
        break;
    case TW_CAUSE_STOPPED:
        if (reported->saved) job->has_checkpoint = job->gang.saved = true;
        break;
    case TW_CAUSE_GANG_BROKEN: /* no fault of the machine, nor of the job */
    case TW_CAUSE_GANG_INCOMPLETE:
        break;
    case TW_CAUSE_ERROR:
    case TW_CAUSE_UNKNOWN_TASK:
        if (job->state == TW_JOB_PENDING) note_task_failure(core, placed, reported->cause);
        break;
    default:
        job->retry_at =
            core->context.now + RETRY_REFUSED_HEARTBEATS * core->context.config->report_s;
        break;
    }
}

static void reconcile_exited_task(tw_core *core, tw_placement *placed,
                                  const tw_wire_heartbeat *heartbeat,
                                  const tw_wire_task *reported) {
    tw_job *job = placed->job;
    const tw_attempt_termination termination = {
        .evidence = TW_EVIDENCE_EXITED, .heartbeat = heartbeat, .reported = reported};
    const bool job_is_over = job->state != TW_JOB_PENDING;
    if (placed->counted && !tw_attempt_exit_is_final(placed, reported)) {
        core->counters.kept[TW_EVIDENCE_EXITED]++;
        /* The exit is final once the machine has responded to a probe with this term's token. */
        return;
    }
    placed->state = TW_TASK_EXITED;
    placed->cause = reported->cause;
    if (!placed->counted) return;
    /* After the first completed task of a gang, the exits of the others give no new information. */
    if (job->state != TW_JOB_DONE) note_exit(core, placed, reported);
    tw_attempt_terminate(core, placed, &termination);
    if (reported->cause == TW_CAUSE_DONE && job->spec.gang && !job_is_over)
        tw_gang_complete(core, job);
    if (!job_is_over && job->done_count == job->task_count)
        tw_job_finish(core, job, TW_JOB_DONE);
    else
        tw_job_mark_changed(core, job, false);
    placed->version = tw_store_version(job->record);
}

static void note_task_started(tw_core *core, tw_placement *placed) {
    const tw_job *job = placed->job;
    /* A gang's task may have waited for the other tasks between two heartbeats, which is not a
     * delay of its machine. */
    if (!job->spec.gang) tw_statistics_note_start(core, placed);
    placed->running_since = core->context.now;
    tw_log_debug(
        "event=task_started task=%s/%d class=%s machine_type=%s start_s=%.2f waited_s=%.2f",
        job->id, placed->index, job->spec.job_class, placed->machine->type_name,
        core->context.now - placed->placed_at, core->context.now - job->submitted_at);
    tw_image_note_use(core, placed->machine, job, true);
}

/* Records when the image of a task has arrived and when the task has started. The task was reported
 * as fetching, waiting, running or saving. began_to_wait: this heartbeat is the first one that
 * reports the task as waiting for its gang. */
static void note_progress(tw_core *core, tw_placement *placed, bool began_to_wait) {
    const tw_job *job = placed->job;
    if (began_to_wait) { /* the task's image has been fetched */
        tw_statistics_note_start(core, placed);
        tw_image_note_use(core, placed->machine, job, true);
    }
    if (job->spec.gang) tw_gang_note_task_report(core, placed);
    if (placed->state == TW_TASK_RUNNING && placed->running_since <= 0)
        note_task_started(core, placed);
    else if (placed->state == TW_TASK_FETCHING && !tw_image_find(placed->machine, job))
        tw_image_note_use(core, placed->machine, job, false);
}

/* Updates the state of the job and the machine of a task that was reported as running. */
static void note_running(tw_core *core, const tw_placement *placed) {
    tw_job *job = placed->job;
    /* A task of a broken gang is reported as running until it exits, which doesn't show that the
     * job or the machine works. */
    if (placed->running_since <= 0 || (job->spec.gang && job->gang.state != TW_GANG_RUNNING))
        return;
    const double ran_s = core->context.now - placed->running_since;
    if (ran_s > 2 * core->context.config->lease_s) job->consecutive_errors = 0;
    tw_quarantine_note_running(core, placed);
    if (ran_s > core->context.config->lease_s) job->has_run = true;
}

void tw_reconcile_task(tw_core *core, tw_placement *placed, const tw_wire_heartbeat *heartbeat,
                       const tw_wire_task *reported) {
    if (!placed->reported) {
        placed->machine->lost_launches = 0;
        placed->lost_launches = 0;
    }
    placed->reported = placed->launch_sent = true;
    if (placed->state == TW_TASK_EXITED) return;
    if (reported->state == TW_TASK_EXITED) {
        reconcile_exited_task(core, placed, heartbeat, reported);
        return;
    }
    const bool began_to_wait =
        reported->state == TW_TASK_WAITING && placed->state != TW_TASK_WAITING;
    placed->state = reported->state;
    if (!placed->job->has_spec) return;
    note_progress(core, placed, began_to_wait);
    note_running(core, placed);
}

/* Adds a command to forget a task that exited before this node knew its placement. A later launch
 * of the same attempt of a gang on this machine must wait until the answer with this command can no
 * longer be executed. Otherwise the launch might arrive first, without effect, and its repetition
 * would start the task after the machine has forgotten it. */
static void forget_unknown_exit(tw_core *core, tw_machine *machine, const tw_wire_task *reported,
                                const tw_job *job, tw_command_list *commands) {
    if (job && job->spec.gang)
        machine->gang_forgets_until =
            core->context.now + TW_ANSWER_LIFETIME_S * (1 + 2 * core->context.config->tune.drift);
    tw_command_list_add(commands, TW_COMMAND_FORGET, reported);
}

/* Processes the exit of a task whose placement this node didn't know. job is the task's job, or
 * NULL if there is no such job or it no longer needs its tasks. */
static void reconcile_unknown_exit(tw_core *core, tw_machine *machine, const tw_wire_task *reported,
                                   tw_job *job, tw_command_list *commands) {
    const bool is_done = reported->cause == TW_CAUSE_DONE;
    if (job && is_done && job->task_states[reported->index] == TW_ASSIGNMENT_NONE) {
        job->task_states[reported->index] = TW_ASSIGNMENT_DONE;
        job->done_count++;
        if (job->spec.gang) tw_gang_complete(core, job);
        if (job->done_count == job->task_count)
            tw_job_finish(core, job, TW_JOB_DONE);
        else
            tw_job_mark_changed(core, job, false);
    }
    /* On a machine that has not seen this node's token, a launch of an earlier leader could start
     * the forgotten task again. Without authority there may be a later leader that uses the
     * attempt.
     */
    if (commands && tw_cluster_may(core->cluster, TW_PERMISSION_COMMAND) && machine->confirmed &&
        (!job || !is_done || tw_store_is_settled(job->record)))
        forget_unknown_exit(core, machine, reported, job, commands);
}

/* Returns the task's job, or NULL if there is no such job or it no longer needs its tasks. */
static tw_job *find_pending_job(tw_core *core, const tw_wire_task *reported) {
    tw_job *job = tw_job_find(core, reported->job);
    if (!job || !job->task_states || job->state != TW_JOB_PENDING) return NULL;
    return reported->index < job->task_count ? job : NULL;
}

/* Returns whether the task may continue on its machine, so that it needs no new attempt. */
static bool may_continue_in_place(tw_core *core, const tw_job *job, const tw_machine *machine,
                                  const tw_wire_task *reported) {
    return job->task_states[reported->index] == TW_ASSIGNMENT_NONE &&
           tw_constraints_allow_zone(core, job, machine->zone) &&
           tw_quota_allows_tasks(core, job, 1);
}

/* Creates a placement for a task that continues on its machine. */
static void restore_placement(tw_core *core, tw_job *job, tw_machine *machine,
                              const tw_wire_heartbeat *heartbeat, const tw_wire_task *reported) {
    tw_placement *placed = tw_placement_new(core, job, reported->index, machine, reported->attempt);
    if (!placed) return;
    placed->inherited = true;
    placed->mark = core->heartbeat_mark;
    if (job->spec.gang && job->placed_count == 1) tw_gang_restore(job);
    tw_reconcile_task(core, placed, heartbeat, reported);
    tw_job_mark_changed(core, job, false);
    tw_log_info("event=unknown_task_adopted task=%s/%d worker=%s", reported->job, reported->index,
                machine->name);
}

void tw_reconcile_unknown_task(tw_core *core, tw_machine *machine,
                               const tw_wire_heartbeat *heartbeat, const tw_wire_task *reported,
                               tw_command_list *commands) {
    tw_job *job = find_pending_job(core, reported);
    if (reported->state == TW_TASK_EXITED) {
        reconcile_unknown_exit(core, machine, reported, job, commands);
        return;
    }
    if (job && may_continue_in_place(core, job, machine, reported)) {
        restore_placement(core, job, machine, heartbeat, reported);
        return;
    }
    tw_log_info("event=unknown_task_stopped task=%s/%d attempt=%llu worker=%s", reported->job,
                reported->index, (unsigned long long)reported->attempt, machine->name);
    if (commands) tw_command_list_add(commands, TW_COMMAND_STOP, reported);
}
