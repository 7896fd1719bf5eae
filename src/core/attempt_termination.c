/* Decides whether an attempt can no longer run, and updates the task, its job and its machine when
 * it is terminated. See attempt_termination.h for the invariant; docs/design.md, "Why each rule
 * holds", proves the rules of evidence_holds. */
#include "core/workers.h"
#include <stdbool.h>

/* Time, in leases, after which a direct launch can no longer be executed a second time. Until then
 * the machine must keep listing the attempt, however it ended: if the machine had forgotten even a
 * completed attempt, a repeated launch would start it again, and it would use resources of the
 * machine and the zone until its exit. */
#define LAUNCH_REPEAT_LEASES 12
/* Maximum number of terminations in one input that are logged at `info`. */
#define MAX_LOGGED_TERMINATIONS 1000

static const char *const evidence_names[TW_EVIDENCE_KINDS] = {
    [TW_EVIDENCE_EXITED] = "exited",
    [TW_EVIDENCE_ABSENT] = "absent",
    [TW_EVIDENCE_LAUNCH_LOST] = "launch_lost",
    [TW_EVIDENCE_NEW_INCARNATION] = "new_incarnation",
    [TW_EVIDENCE_LEASE_EXPIRED] = "lease_expired",
    [TW_EVIDENCE_MACHINE_RETURNED] = "machine_returned",
    [TW_EVIDENCE_NOT_LAUNCHED] = "not_launched",
    [TW_EVIDENCE_NOT_RECORDED] = "not_recorded",
    [TW_EVIDENCE_PLACEMENT_UNDONE] = "placement_undone",
    [TW_EVIDENCE_TERM_ENDED] = "term_ended",
};

const char *tw_termination_evidence_name(tw_termination_evidence evidence) {
    return evidence_names[evidence];
}

/* ---- evaluation of the evidence ---- */

/* Returns whether an attempt that the heartbeat doesn't list can never run again. This is certain
 * only for an attempt that a heartbeat has reported, or that an earlier leader recorded, and only
 * if no message in flight can still start it: the machine refuses older tokens, and no direct
 * launch of this leader is in flight. */
static bool is_provably_absent(const tw_placement *placed) {
    const bool known_on_machine = placed->inherited || placed->reported;
    return known_on_machine && placed->machine->confirmed && !placed->direct_launches;
}

/* A worker never executes an answer late, so a lost launch stays lost. Only the next ordinary
 * heartbeat proves the loss: a response to direct commands may have overtaken the answer with the
 * launch. */
bool tw_launch_was_lost(const tw_placement *placed, const tw_wire_heartbeat *heartbeat,
                        bool answers_command) {
    const bool known_on_machine = placed->inherited || placed->reported;
    return !known_on_machine && !answers_command && !placed->direct_launches &&
           placed->launch_sequence < heartbeat->sequence;
}

void tw_launch_note_response(tw_placement *placed, bool refused) {
    if (placed->direct_launches) placed->direct_launches--;
    /* No launch of the attempt is in flight any more. */
    if (refused && !placed->reported && !placed->launch_sequence && !placed->direct_launches)
        placed->launch_sent = false;
}

bool tw_launch_may_repeat(const tw_core *core, const tw_placement *placed) {
    if (placed->direct_launches) return true;
    if (placed->direct_launch_at <= 0) return false;
    const double repeat_s = LAUNCH_REPEAT_LEASES * core->context.config->lease_s;
    return core->context.now < placed->direct_launch_at + repeat_s;
}

bool tw_attempt_was_launched(const tw_placement *placed) {
    return placed->launch_sent || placed->direct_launches || placed->inherited;
}

/* Returns whether the attempt could run only in an incarnation before that of the heartbeat. When
 * an incarnation ends, the worker kills and forgets all its tasks. For its own launches this leader
 * knows the incarnation. An earlier leader may have launched the attempt in the new incarnation, or
 * by a message that is still in flight, unless the machine already refused that leader's token in
 * the old incarnation. The machine's `confirmed` still has its value from before this heartbeat; if
 * this heartbeat confirms the machine, the attempt is terminated as absent. */
static bool is_of_earlier_incarnation(const tw_placement *placed,
                                      const tw_wire_heartbeat *heartbeat) {
    if (placed->inherited) return placed->machine->confirmed;
    return placed->launch_sent && placed->launch_incarnation < heartbeat->incarnation;
}

/* When a task of a gang is placed again, it gets the same attempt number as the other tasks. An
 * earlier leader may therefore have launched the same attempt on the machine again after the
 * reported exit. This is excluded for a machine that refuses the commands of all earlier leaders,
 * and for an attempt that was launched in this term. */
bool tw_attempt_exit_is_final(const tw_placement *placed, const tw_wire_task *reported) {
    if (reported->state != TW_TASK_EXITED || reported->attempt != placed->attempt ||
        reported->index != placed->index)
        return false;
    return !placed->inherited || !placed->job->spec.gang || placed->machine->confirmed;
}

/* Returns whether the evidence proves that the attempt no longer runs and that no message in flight
 * can start it. */
static bool evidence_holds(const tw_core *core, const tw_placement *placed,
                           const tw_attempt_termination *termination) {
    const tw_machine *machine = placed->machine;
    switch (termination->evidence) {
    case TW_EVIDENCE_EXITED:
        return termination->reported && tw_attempt_exit_is_final(placed, termination->reported);
    case TW_EVIDENCE_ABSENT:
        return is_provably_absent(placed);
    case TW_EVIDENCE_LAUNCH_LOST:
        return tw_launch_was_lost(placed, termination->heartbeat, termination->answers_command);
    case TW_EVIDENCE_NEW_INCARNATION:
        return is_of_earlier_incarnation(placed, termination->heartbeat);
    case TW_EVIDENCE_LEASE_EXPIRED:
        return machine->lease_expired && core->context.now > tw_lease_expires_at(core, machine);
    case TW_EVIDENCE_MACHINE_RETURNED:
        return machine->return_in_flight;
    case TW_EVIDENCE_NOT_LAUNCHED:
        return !tw_attempt_was_launched(placed);
    case TW_EVIDENCE_NOT_RECORDED:
        return !tw_store_exists(placed->job->record) &&
               (placed->inherited || !tw_attempt_was_launched(placed));
    case TW_EVIDENCE_PLACEMENT_UNDONE:
        return placed->version > tw_store_version(placed->job->record) &&
               !tw_attempt_was_launched(placed);
    case TW_EVIDENCE_TERM_ENDED:
        break;
    }
    return !tw_cluster_is_leader(core->cluster);
}

/* Returns whether a caller may pass the evidence without knowing that it holds. For all other kinds
 * of evidence it is an error of the caller if the evidence doesn't hold. */
static bool may_be_refuted(tw_termination_evidence evidence) {
    return evidence == TW_EVIDENCE_ABSENT || evidence == TW_EVIDENCE_LAUNCH_LOST ||
           evidence == TW_EVIDENCE_NEW_INCARNATION;
}

/* ---- termination ---- */

/* Terminations of attempts that were never launched, and those at the end of the term, are logged
 * at `debug`. */
static bool is_logged_at_info(tw_termination_evidence evidence) {
    return evidence != TW_EVIDENCE_NOT_LAUNCHED && evidence != TW_EVIDENCE_NOT_RECORDED &&
           evidence != TW_EVIDENCE_PLACEMENT_UNDONE && evidence != TW_EVIDENCE_TERM_ENDED;
}

/* Returns the level at which the termination is logged. One input may end all tasks of a very large
 * job, and writing a line takes longer than all other work on a task. */
static int log_level_of(tw_core *core, tw_termination_evidence evidence) {
    if (!is_logged_at_info(evidence)) return TW_LOG_DEBUG;
    if (core->terminations_logged_at != core->context.now) core->terminations_logged = 0;
    core->terminations_logged_at = core->context.now;
    return ++core->terminations_logged > MAX_LOGGED_TERMINATIONS ? TW_LOG_DEBUG : TW_LOG_INFO;
}

static void log_termination(tw_core *core, const tw_placement *placed,
                            const tw_attempt_termination *termination) {
    const tw_machine *machine = placed->machine;
    const tw_wire_heartbeat *heartbeat = termination->heartbeat;
    if (!placed->counted) return;
    const int level = log_level_of(core, termination->evidence);
    if (!tw_log_is_enabled(level)) return;
    tw_log_write(level,
                 "event=attempt_terminated task=%s/%d attempt=%llu worker=%s evidence=%s cause=%d "
                 "token=%llu "
                 "inherited=%d launch_incarnation=%llu launch_sequence=%llu direct_launches=%d "
                 "incarnation=%llu sequence=%llu "
                 "heartbeat_token=%llu confirmed=%d age_s=%.2f",
                 placed->job->id, placed->index, (unsigned long long)placed->attempt, machine->name,
                 evidence_names[termination->evidence],
                 termination->reported ? termination->reported->cause : 0,
                 (unsigned long long)tw_cluster_token(core->cluster), placed->inherited,
                 (unsigned long long)placed->launch_incarnation,
                 (unsigned long long)placed->launch_sequence, placed->direct_launches,
                 (unsigned long long)(heartbeat ? heartbeat->incarnation : machine->incarnation),
                 (unsigned long long)(heartbeat ? heartbeat->sequence : machine->sequence),
                 (unsigned long long)(heartbeat ? heartbeat->fencing_token : 0), machine->confirmed,
                 core->context.now - placed->placed_at);
}

/* Subtracts the attempt's resources from those used on its machine and by its team, and removes the
 * placement from the job's list, from which the job's zone constraints are computed. */
static void release_attempt_amounts(tw_core *core, tw_placement *placed) {
    tw_job *job = placed->job;
    tw_placement_account(core, placed, -1);
    placed->counted = false;
    DL_DELETE2(job->placements, placed, job_prev, job_next);
    job->placed_in_zone[tw_machine_zone_class(placed->machine)]--;
    job->placed_count--;
    core->scheduling_due = true;
}

/* Updates the state of the task whose attempt is terminated. A gang's task may be done already:
 * when one task is done, the whole gang is, while the attempts of the others may still run. */
static void update_task_state(tw_core *core, tw_placement *placed, bool is_done) {
    tw_job *job = placed->job;
    if (job->task_states[placed->index] == TW_ASSIGNMENT_DONE) return;
    if (is_done) {
        job->task_states[placed->index] = TW_ASSIGNMENT_DONE;
        job->done_count++;
        return;
    }
    job->task_states[placed->index] = TW_ASSIGNMENT_NONE;
    if (placed->index < job->first_unplaced) job->first_unplaced = placed->index;
    job->pending_since = core->context.now;
    if (job->spec.gang) tw_gang_note_task_terminated(core, placed);
}

void tw_attempt_forget(tw_core *core, tw_placement *placed) {
    tw_job *job = placed->job;
    if (placed->counted) {
        tw_invariant_broken(core, TW_INVARIANT_TERMINATION, "task=%s/%d worker=%s evidence=none",
                            job->id, placed->index, placed->machine->name);
        return;
    }
    DL_DELETE(placed->machine->placements, placed);
    core->freed_placement_count++;
    free(placed);
    tw_job_remove_placement_ref(core, job);
}

bool tw_attempt_terminate(tw_core *core, tw_placement *placed,
                          const tw_attempt_termination *termination) {
    tw_job *job = placed->job;
    const tw_termination_evidence evidence = termination->evidence;
    if (!evidence_holds(core, placed, termination)) {
        core->counters.kept[evidence]++;
        if (!may_be_refuted(evidence))
            tw_invariant_broken(core, TW_INVARIANT_TERMINATION,
                                "task=%s/%d attempt=%llu worker=%s evidence=%s", job->id,
                                placed->index, (unsigned long long)placed->attempt,
                                placed->machine->name, evidence_names[evidence]);
        return false;
    }
    const bool was_counted = placed->counted;
    const bool has_exited = evidence == TW_EVIDENCE_EXITED;
    core->counters.terminated[evidence] += (uint64_t)was_counted;
    log_termination(core, placed, termination);
    if (was_counted) {
        release_attempt_amounts(core, placed);
        update_task_state(core, placed,
                          has_exited && termination->reported->cause == TW_CAUSE_DONE);
    }
    /* The machine may still list the attempt until it executes the command to forget it. */
    if (has_exited) return true;
    tw_attempt_forget(core, placed);
    /* An undone placement is not in the record yet, and after the end of its term this node must
     * not write the record. */
    if (was_counted && evidence != TW_EVIDENCE_PLACEMENT_UNDONE &&
        evidence != TW_EVIDENCE_TERM_ENDED)
        tw_job_mark_changed(core, job, false);
    return true;
}

bool tw_attempt_terminate_on(tw_core *core, tw_placement *placed,
                             tw_termination_evidence evidence) {
    const tw_attempt_termination termination = {.evidence = evidence};
    return tw_attempt_terminate(core, placed, &termination);
}
