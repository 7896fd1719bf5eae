/* Reconciliation of one task that a heartbeat names with its placement, or with its job if it has
 * no placement: the task is fetched, runs, has exited, or is not known. Called for each task of a
 * heartbeat that is taken in. */
#include "core/workers.h"
#include <stdbool.h>

/* A job that failed on so many other machines is at fault itself, and no machine is. */
#define JOB_FAULT_MACHINES 2
/* Pause before a task of the job is placed again: short while another machine may be the remedy;
 * else it doubles with each error, up to a maximum. */
#define RETRY_ELSEWHERE_S 0.2
#define RETRY_FIRST_S 0.5
#define RETRY_DOUBLINGS 8
#define RETRY_MAX_LEASES 3
/* Pause after a refusal for want of room, in heartbeats: the next one shows what takes the room. */
#define RETRY_REFUSED_HEARTBEATS 0.3

/* Number of other machines on which the job has failed lately. */
static int count_failed_elsewhere(const tw_job *job, const tw_machine *machine) {
    int count = 0;
    for (int i = 0; i < job->failed_machine_count; i++)
        count += job->failed_machines[i] && job->failed_machines[i] != machine;
    return count;
}

/* Notes that the job failed on the machine, in the place of an earlier one if there are too many.
 */
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
    /* The machine is avoided for a time only: no other one may fit, and a fault may pass. */
    job->failed_machines_until = core->context.now + max_pause_s;
    job->retry_at = core->context.now + pause_s;
    if (cause == TW_CAUSE_ERROR && failed_elsewhere < JOB_FAULT_MACHINES)
        tw_quarantine_note_failure(core, placed, failed_elsewhere);
}

/* What the exit tells of the machine and of the job. */
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
        return; /* the machine is asked for its state, and tells it under this term's token */
    }
    placed->state = TW_TASK_EXITED;
    placed->cause = reported->cause;
    if (!placed->counted) return;
    /* The first task of a gang that is done has told what the others' ends would tell. */
    if (job->state != TW_JOB_DONE) note_exit(core, placed, reported);
    tw_attempt_terminate(core, placed, &termination);
    if (reported->cause == TW_CAUSE_DONE && job->spec.gang && !job_is_over) tw_gang_done(core, job);
    if (!job_is_over && job->done_count == job->task_count)
        tw_job_finish(core, job, TW_JOB_DONE);
    else
        tw_job_mark_changed(core, job, false);
}

static void note_task_started(tw_core *core, tw_placement *placed) {
    const tw_job *job = placed->job;
    /* A gang's task may have waited for the others unseen, which is no delay of its machine. */
    if (!job->spec.gang) tw_statistics_note_start(core, placed);
    placed->running_since = core->context.now;
    tw_log_debug(
        "event=task_started task=%s/%d class=%s machine_type=%s start_s=%.2f waited_s=%.2f",
        job->id, placed->index, job->spec.job_class, placed->machine->type_name,
        core->context.now - placed->placed_at, core->context.now - job->submitted_at);
    tw_image_note_use(core, placed->machine, job, true);
}

/* The task was reported as fetching, waiting, running or saving: notes when its image arrived and
 * when it started. began_to_wait: it waits for its gang since this heartbeat. */
static void note_progress(tw_core *core, tw_placement *placed, bool began_to_wait) {
    const tw_job *job = placed->job;
    if (began_to_wait) { /* so it has its image */
        tw_statistics_note_start(core, placed);
        tw_image_note_use(core, placed->machine, job, true);
    }
    if (job->spec.gang) tw_gang_task_reported(core, placed);
    if (placed->state == TW_TASK_RUNNING && placed->running_since <= 0)
        note_task_started(core, placed);
    else if (placed->state == TW_TASK_FETCHING && !tw_image_find(placed->machine, job))
        tw_image_note_use(core, placed->machine, job, false);
}

/* What a task that was seen running shows of its job and of its machine. */
static void note_running(tw_core *core, const tw_placement *placed) {
    tw_job *job = placed->job;
    /* A task of a broken gang is reported as running until it exits, which shows nothing. */
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

/* Tells the machine to forget a task that exited before this node knew of its placement. A gang's
 * attempt that is under way may be launched there again: not while the answer with this command may
 * still be carried out. Else the launch may come first, without effect, and start the forgotten
 * task when it is repeated. */
static void forget_unknown_exit(tw_core *core, tw_machine *machine, const tw_wire_task *reported,
                                const tw_job *job, tw_command_list *commands) {
    if (job && job->spec.gang)
        machine->gang_forgets_until =
            core->context.now + TW_ANSWER_LIFETIME_S * (1 + 2 * core->context.config->tune.drift);
    tw_command_list_add(commands, TW_COMMAND_FORGET, reported);
}

/* The task exited before this node knew of its placement. job: still needs its tasks; NULL: none
 * does. */
static void reconcile_unknown_exit(tw_core *core, tw_machine *machine, const tw_wire_task *reported,
                                   tw_job *job, tw_command_list *commands) {
    const bool is_done = reported->cause == TW_CAUSE_DONE;
    if (job && is_done && job->task_states[reported->index] == TW_ASSIGNMENT_NONE) {
        job->task_states[reported->index] = TW_ASSIGNMENT_DONE;
        job->done_count++;
        if (job->spec.gang) tw_gang_done(core, job);
        if (job->done_count == job->task_count)
            tw_job_finish(core, job, TW_JOB_DONE);
        else
            tw_job_mark_changed(core, job, false);
    }
    /* A machine that has not seen this token may be made to start the task again by an earlier
     * leader's launch; and without authority a later leader may know of the attempt. */
    if (commands && tw_cluster_may(core->cluster, TW_PERMISSION_COMMAND) && machine->confirmed &&
        (!job || !is_done || tw_store_is_settled(job->record)))
        forget_unknown_exit(core, machine, reported, job, commands);
}

/* The job of the task, if it still needs tasks; NULL: there is none, or it doesn't. */
static tw_job *find_pending_job(tw_core *core, const tw_wire_task *reported) {
    tw_job *job = tw_job_find(core, reported->job);
    if (!job || !job->task_states || job->state != TW_JOB_PENDING) return NULL;
    return reported->index < job->task_count ? job : NULL;
}

/* Whether the task may go on where it is, so that it needs no new attempt. */
static bool may_continue_in_place(const tw_core *core, const tw_job *job, const tw_machine *machine,
                                  const tw_wire_task *reported) {
    return job->task_states[reported->index] == TW_ASSIGNMENT_NONE &&
           tw_constraints_allow_zone(job, machine->zone) && tw_quota_allows_tasks(core, job, 1);
}

/* Makes a placement for a task that goes on where it is. */
static void restore_placement(tw_core *core, tw_job *job, tw_machine *machine,
                              const tw_wire_heartbeat *heartbeat, const tw_wire_task *reported) {
    tw_placement *placed = tw_placement_new(core, job, reported->index, machine, reported->attempt);
    if (!placed) return;
    placed->inherited = true;
    placed->mark = core->heartbeat_mark;
    if (job->spec.gang && job->placed_count == 1) tw_gang_restored(job);
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
