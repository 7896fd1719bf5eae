/* The decision that an attempt can no longer run, and what follows from it for the task, its job
 * and its machine. */
#include "core/workers.h"
#include <stdbool.h>

/* How long after a direct launch was sent it may still be carried out once more, in leases.
 * Meanwhile the machine must list the attempt. One that is done is kept for less: started again it
 * exits as soon as it has its image, and most attempts end so. */
#define REPEATED_LEASES 12
#define REPEATED_DONE_LEASES 2

static const char *const names[TW_EVIDENCE_KINDS] = {
    [TW_EVIDENCE_EXITED] = "exited",
    [TW_EVIDENCE_ABSENT] = "absent",
    [TW_EVIDENCE_LAUNCH_LOST] = "launch_lost",
    [TW_EVIDENCE_NEW_INCARNATION] = "new_incarnation",
    [TW_EVIDENCE_LEASE_EXPIRED] = "lease_expired",
    [TW_EVIDENCE_MACHINE_RETURNED] = "machine_returned",
    [TW_EVIDENCE_GANG_DONE] = "gang_done",
    [TW_EVIDENCE_NOT_LAUNCHED] = "not_launched",
    [TW_EVIDENCE_NOT_RECORDED] = "not_recorded",
    [TW_EVIDENCE_PLACEMENT_UNDONE] = "placement_undone",
    [TW_EVIDENCE_TERM_ENDED] = "term_ended",
};

const char *tw_termination_evidence_name(tw_termination_evidence evidence) {
    return names[evidence];
}

/* ---- the decision ---- */

/* A report without it. What is known to have been on the machine (reported, or written by a
 * predecessor) is gone if nothing on the way could still start it: the machine refuses older
 * tokens, and no direct launch of ours is under way. */
static bool is_certainly_absent(const tw_placement *placed) {
    const bool was_there = placed->inherited || placed->reported;
    return was_there && placed->machine->confirmed && !placed->direct_launches;
}

/* The answer that held the launch was lost, and is not executed late. Only the next report proper
 * tells: an answer to direct orders may have overtaken the answer that holds the launch. */
bool tw_launch_was_lost(const tw_placement *placed, const tw_wire_heartbeat *heartbeat,
                        bool answers_order) {
    const bool was_there = placed->inherited || placed->reported;
    return !was_there && !answers_order && !placed->direct_launches &&
           placed->launch_sequence < heartbeat->sequence;
}

void tw_launch_answered(tw_placement *placed, bool refused) {
    if (placed->direct_launches) placed->direct_launches--;
    /* Neither this launch nor another one is under way. */
    if (refused && !placed->reported && !placed->launch_sequence && !placed->direct_launches)
        placed->launch_sent = false;
}

bool tw_launch_may_repeat(const tw_core *core, const tw_placement *placed) {
    if (placed->direct_launch_at <= 0) return false;
    const bool is_done = placed->state == TW_TASK_EXITED && placed->cause == TW_CAUSE_DONE;
    const double kept = is_done ? REPEATED_DONE_LEASES : REPEATED_LEASES;
    return core->context.now < placed->direct_launch_at + kept * core->context.config->lease_s;
}

bool tw_attempt_was_launched(const tw_placement *placed) {
    return placed->launch_sent || placed->direct_launches || placed->inherited;
}

/* A worker kills and forgets all with its session. Ours was launched in a session that we know. In
 * which one a predecessor launched is not known: it may be the reported one, after this report or
 * by a message still on its way, unless the machine refused the predecessor in an earlier session
 * already. (`confirmed` is as of before this report; one that confirms ends it as absent.) */
static bool is_of_earlier_incarnation(const tw_placement *placed,
                                      const tw_wire_heartbeat *heartbeat) {
    if (placed->inherited) return placed->machine->confirmed;
    return placed->launch_sent && placed->launch_incarnation < heartbeat->incarnation;
}

/* Whether the attempt can't run any more, nor be started by what is still on its way. */
static bool evidence_holds(const tw_core *core, const tw_placement *placed,
                           const tw_attempt_termination *end) {
    const tw_machine *machine = placed->machine;
    switch (end->evidence) {
    case TW_EVIDENCE_EXITED:
        return end->reported && end->reported->state == TW_TASK_EXITED &&
               end->reported->attempt == placed->attempt && end->reported->index == placed->index;
    case TW_EVIDENCE_ABSENT:
        return is_certainly_absent(placed);
    case TW_EVIDENCE_LAUNCH_LOST:
        return tw_launch_was_lost(placed, end->heartbeat, end->answers_command);
    case TW_EVIDENCE_NEW_INCARNATION:
        return is_of_earlier_incarnation(placed, end->heartbeat);
    case TW_EVIDENCE_LEASE_EXPIRED:
        return machine->lease_expired && core->context.now > tw_lease_expires_at(core, machine);
    case TW_EVIDENCE_MACHINE_RETURNED:
        return machine->return_in_flight;
    case TW_EVIDENCE_GANG_DONE:
        return placed->job->spec.gang;
    case TW_EVIDENCE_NOT_LAUNCHED:
        return !tw_attempt_was_launched(placed);
    case TW_EVIDENCE_NOT_RECORDED:
        return !placed->job->record_exists &&
               (placed->inherited || !tw_attempt_was_launched(placed));
    case TW_EVIDENCE_PLACEMENT_UNDONE:
        return placed->version > placed->job->version && !tw_attempt_was_launched(placed);
    case TW_EVIDENCE_TERM_ENDED:
        break;
    }
    return !tw_cluster_is_leader(core->cluster);
}

/* Grounds that need not hold: the path that offers them asks just that. With the others the path is
 * wrong. */
static bool may_be_refuted(tw_termination_evidence evidence) {
    return evidence == TW_EVIDENCE_ABSENT || evidence == TW_EVIDENCE_LAUNCH_LOST ||
           evidence == TW_EVIDENCE_NEW_INCARNATION;
}

/* ---- what follows ---- */

/* Ends of attempts that never were on a machine, or that nobody decides about, are told at `debug`.
 */
static bool is_logged_at_info(tw_termination_evidence evidence) {
    return evidence != TW_EVIDENCE_NOT_LAUNCHED && evidence != TW_EVIDENCE_NOT_RECORDED &&
           evidence != TW_EVIDENCE_PLACEMENT_UNDONE && evidence != TW_EVIDENCE_TERM_ENDED;
}

static void log_termination(const tw_core *core, const tw_placement *placed,
                            const tw_attempt_termination *end) {
    const tw_machine *machine = placed->machine;
    const tw_wire_heartbeat *heartbeat = end->heartbeat;
    const int level = is_logged_at_info(end->evidence) ? TW_LOG_INFO : TW_LOG_DEBUG;
    if (!placed->counted || !tw_log_on(level)) return;
    tw_log_write(level,
                 "event=attempt_terminated task=%s/%d attempt=%llu worker=%s evidence=%s cause=%d "
                 "token=%llu "
                 "inherited=%d launch_incarnation=%llu launch_sequence=%llu direct_launches=%d "
                 "incarnation=%llu sequence=%llu "
                 "heartbeat_token=%llu confirmed=%d age_s=%.2f",
                 placed->job->id, placed->index, (unsigned long long)placed->attempt, machine->name,
                 names[end->evidence], end->reported ? end->reported->cause : 0,
                 (unsigned long long)tw_cluster_token(core->cluster), placed->inherited,
                 (unsigned long long)placed->launch_incarnation,
                 (unsigned long long)placed->launch_sequence, placed->direct_launches,
                 (unsigned long long)(heartbeat ? heartbeat->incarnation : machine->incarnation),
                 (unsigned long long)(heartbeat ? heartbeat->sequence : machine->sequence),
                 (unsigned long long)(heartbeat ? heartbeat->fencing_token : 0), machine->confirmed,
                 core->context.now - placed->placed_at);
}

/* The task no longer runs there; to: what it is now. */
static void stop_counting(tw_core *core, tw_placement *placed, int to) {
    if (!placed->counted) return;
    tw_job *job = placed->job;
    tw_placement_account(core, placed, -1);
    placed->counted = false;
    DL_DELETE2(job->placements, placed, job_prev, job_next);
    job->placed_count--;
    if (job->task_states) job->task_states[placed->index] = (uint8_t)to;
    if (to == TW_ASSIGNMENT_DONE) job->done_count++;
    if (to == TW_ASSIGNMENT_NONE) {
        if (placed->index < job->first_unplaced) job->first_unplaced = placed->index;
        job->pending_since = core->context.now;
        if (job->spec.gang) tw_gang_task_gone(core, placed);
    }
    core->scheduling_due = true;
}

void tw_attempt_forget(tw_core *core, tw_placement *placed) {
    tw_job *job = placed->job;
    if (placed->counted) {
        tw_invariant_broken(core, TW_INVARIANT_TERMINATION, "task=%s/%d worker=%s evidence=none",
                            job->id, placed->index, placed->machine->name);
        return;
    }
    DL_DELETE(placed->machine->placements, placed);
    free(placed);
    tw_job_placement_gone(core, job);
}

/* The machine may still tell of it, and is to forget it. */
static bool stays_on_machine(tw_termination_evidence evidence) {
    return evidence == TW_EVIDENCE_EXITED || evidence == TW_EVIDENCE_GANG_DONE;
}

bool tw_attempt_terminate(tw_core *core, tw_placement *placed, const tw_attempt_termination *end) {
    tw_job *job = placed->job;
    const tw_termination_evidence evidence = end->evidence;
    if (!evidence_holds(core, placed, end)) {
        core->counters.kept[evidence]++;
        if (!may_be_refuted(evidence))
            tw_invariant_broken(core, TW_INVARIANT_TERMINATION,
                                "task=%s/%d attempt=%llu worker=%s evidence=%s", job->id,
                                placed->index, (unsigned long long)placed->attempt,
                                placed->machine->name, names[evidence]);
        return false;
    }
    const bool was_on_job = placed->counted;
    const bool is_done = evidence == TW_EVIDENCE_GANG_DONE ||
                         (evidence == TW_EVIDENCE_EXITED && end->reported->cause == TW_CAUSE_DONE);
    core->counters.terminated[evidence] += (uint64_t)was_on_job;
    log_termination(core, placed, end);
    stop_counting(core, placed, is_done ? TW_ASSIGNMENT_DONE : TW_ASSIGNMENT_NONE);
    if (stays_on_machine(evidence)) return true;
    tw_attempt_forget(core, placed);
    /* The record of one that was taken back was not changed; one of an ended term is not ours. */
    if (was_on_job && evidence != TW_EVIDENCE_PLACEMENT_UNDONE &&
        evidence != TW_EVIDENCE_TERM_ENDED)
        tw_job_mark_changed(core, job, false);
    return true;
}

bool tw_attempt_terminate_on(tw_core *core, tw_placement *placed,
                             tw_termination_evidence evidence) {
    const tw_attempt_termination end = {.evidence = evidence};
    return tw_attempt_terminate(core, placed, &end);
}
