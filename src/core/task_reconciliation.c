/* What a report says of one task: it is fetched, runs, has ended, or is one that we don't know. */
#include "core/workers.h"
#include <stdbool.h>

/* A job that failed on so many other machines is at fault itself. */
#define ELSEWHERE_BLAMES_JOB 2
/* Pause before the task is tried again: elsewhere at once, nearly; else growing up to the longest.
 */
#define RETRY_ELSEWHERE_S 0.2
#define RETRY_FIRST_S 0.5
#define RETRY_DOUBLINGS 8
#define RETRY_LONGEST_LEASES 3
/* Refused for want of room: the report that shows why is near. */
#define RETRY_REFUSED_REPORTS 0.3

static void note_task_error(tw_core *core, tw_placement *placed, int cause) {
    tw_job *job = placed->job;
    const tw_machine *machine = placed->machine;
    job->consecutive_errors++;
    /* Failing on several machines in a row, it is the job; then no machine is blamed for it. */
    int elsewhere = 0;
    for (int i = 0; i < job->failed_machine_count; i++)
        elsewhere += job->failed_machines[i] && job->failed_machines[i] != machine;
    const int most = (int)(sizeof job->failed_machines / sizeof job->failed_machines[0]);
    const int slot = job->failed_machine_count < most ? job->failed_machine_count++
                                                      : job->consecutive_errors % most;
    job->failed_machines[slot] = placed->machine;
    const double longest = core->context.config->lease_s * RETRY_LONGEST_LEASES;
    const int doublings =
        job->consecutive_errors > RETRY_DOUBLINGS ? RETRY_DOUBLINGS : job->consecutive_errors;
    const double pause = elsewhere < ELSEWHERE_BLAMES_JOB
                             ? RETRY_ELSEWHERE_S
                             : fmin(longest, RETRY_FIRST_S * (double)(1 << doublings));
    /* It may be the only machine that fits, and a fault may pass. */
    job->failed_machines_until = core->context.now + longest;
    job->retry_at = core->context.now + pause;
    if (cause == TW_CAUSE_ERROR && elsewhere < ELSEWHERE_BLAMES_JOB)
        tw_quarantine_note_failure(core, placed, elsewhere);
}

static void reconcile_exited_task(tw_core *core, tw_placement *placed,
                                  const tw_wire_heartbeat *heartbeat,
                                  const tw_wire_task *reported) {
    tw_job *job = placed->job;
    const tw_attempt_termination end = {
        .evidence = TW_EVIDENCE_EXITED, .heartbeat = heartbeat, .reported = reported};
    placed->state = TW_TASK_EXITED;
    placed->cause = reported->cause;
    if (!placed->counted) return;
    const bool over = job->state != TW_JOB_PENDING;
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
        if (!over) note_task_error(core, placed, reported->cause);
        break;
    default:
        job->retry_at = core->context.now + RETRY_REFUSED_REPORTS * core->context.config->report_s;
        break;
    }
    tw_attempt_terminate(core, placed, &end);
    if (reported->cause == TW_CAUSE_DONE && job->spec.gang) tw_gang_done(core, job);
    if (!over && job->done_count == job->task_count)
        tw_job_finish(core, job, TW_JOB_DONE);
    else
        tw_job_mark_changed(core, job, false);
}

static void note_task_started(tw_core *core, tw_placement *placed) {
    const tw_job *job = placed->job;
    /* A gang's task that was not seen waiting may have waited for the others: that is no delay of
     * its machine. */
    if (!job->spec.gang) tw_statistics_note_start(core, placed);
    placed->running_since = core->context.now;
    tw_log_debug(
        "event=task_started task=%s/%d class=%s machine_type=%s start_s=%.2f waited_s=%.2f",
        job->id, placed->index, job->spec.job_class, placed->machine->type_name,
        core->context.now - placed->placed_at, core->context.now - job->submitted_at);
    tw_image_note_use(core, placed->machine, job, true);
}

void tw_reconcile_task(tw_core *core, tw_placement *placed, const tw_wire_heartbeat *heartbeat,
                       const tw_wire_task *reported) {
    tw_machine *machine = placed->machine;
    tw_job *job = placed->job;
    if (!placed->reported) {
        machine->lost_launches = 0;
        placed->lost_launches = 0;
    }
    placed->reported = placed->launch_sent = true;
    if (placed->state == TW_TASK_EXITED) return;
    if (reported->state == TW_TASK_EXITED) {
        reconcile_exited_task(core, placed, heartbeat, reported);
        return;
    }
    const bool waits = reported->state == TW_TASK_WAITING && placed->state != TW_TASK_WAITING;
    placed->state = reported->state;
    if (!job->has_spec) return;
    if (waits) { /* its image is there */
        tw_statistics_note_start(core, placed);
        tw_image_note_use(core, machine, job, true);
    }
    if (job->spec.gang) tw_gang_task_reported(core, placed);
    if (reported->state == TW_TASK_RUNNING && placed->running_since <= 0)
        note_task_started(core, placed);
    else if (reported->state == TW_TASK_FETCHING && !tw_image_find(machine, job))
        tw_image_note_use(core, machine, job, false);
    /* A task of a broken gang tells that it runs until it ends: that shows nothing. */
    if (placed->running_since <= 0 || (job->spec.gang && job->gang.state != TW_GANG_RUNNING))
        return;
    const double ran_s = core->context.now - placed->running_since;
    if (ran_s > 2 * core->context.config->lease_s) job->consecutive_errors = 0;
    tw_quarantine_note_running(core, placed);
    if (ran_s > core->context.config->lease_s) job->has_run = 1;
}

/* It ended before we knew of it; its job, unless NULL, still wants it. */
static void reconcile_unknown_exit(tw_core *core, const tw_machine *machine,
                                   const tw_wire_task *reported, tw_job *job,
                                   tw_command_list *commands) {
    const bool done = reported->cause == TW_CAUSE_DONE;
    if (job && done && job->task_states[reported->index] == TW_ASSIGNMENT_NONE) {
        job->task_states[reported->index] = TW_ASSIGNMENT_DONE;
        job->done_count++;
        if (job->spec.gang) tw_gang_done(core, job);
        if (job->done_count == job->task_count)
            tw_job_finish(core, job, TW_JOB_DONE);
        else
            tw_job_mark_changed(core, job, false);
    }
    /* Only a machine that refuses older tokens can't be made to start it again; and without
     * authority another leader may know of it. */
    if (commands && tw_cluster_may(core->cluster, TW_PERMISSION_COMMAND) && machine->confirmed &&
        (!job || !done || job->version == job->durable_version))
        tw_command_list_add(commands,
                            (tw_wire_command){.kind = TW_COMMAND_FORGET,
                                              .index = reported->index,
                                              .attempt = reported->attempt},
                            reported->job);
}

void tw_reconcile_unknown_task(tw_core *core, tw_machine *machine,
                               const tw_wire_heartbeat *heartbeat, const tw_wire_task *reported,
                               tw_command_list *commands) {
    tw_job *job = tw_job_find(core, reported->job);
    if (job &&
        (!job->task_states || job->state != TW_JOB_PENDING || reported->index >= job->task_count))
        job = NULL;
    if (reported->state == TW_TASK_EXITED) {
        reconcile_unknown_exit(core, machine, reported, job, commands);
        return;
    }
    if (job && job->task_states[reported->index] == TW_ASSIGNMENT_NONE &&
        tw_constraints_allow_zone(core, job, machine->zone) &&
        tw_quota_allows_tasks(core, job, 1)) {
        tw_placement *placed =
            tw_placement_new(core, job, reported->index, machine, reported->attempt);
        if (!placed) return;
        placed->inherited = 1;
        placed->mark = core->heartbeat_mark;
        if (job->spec.gang && job->placed_count == 1) tw_gang_restored(job);
        tw_reconcile_task(core, placed, heartbeat, reported);
        tw_job_mark_changed(core, job, false);
        tw_log_info("event=unknown_task_adopted task=%s/%d worker=%s", reported->job,
                    reported->index, machine->name);
        return;
    }
    tw_log_info("event=unknown_task_stopped task=%s/%d attempt=%llu worker=%s", reported->job,
                reported->index, (unsigned long long)reported->attempt, machine->name);
    if (commands)
        tw_command_list_add(commands,
                            (tw_wire_command){.kind = TW_COMMAND_STOP,
                                              .index = reported->index,
                                              .attempt = reported->attempt},
                            reported->job);
}
