/* Periodic work over all machines: expires leases, and selects the machines to be returned because
 * they failed, are silent or unresponsive, or are empty and get no new tasks.
 *
 * The work is done TICKS_PER_HEARTBEAT times per heartbeat interval. This module only marks
 * machines as to be returned; machine_returns.c sends the requests to the cloud. */
#include "core/workers.h"
#include <stdbool.h>

#define TICKS_PER_HEARTBEAT 6
/* Multiples of the machine type's boot time from which a boot counts as overdue and as failed. */
#define BOOT_OVERDUE_FACTOR 1.6
#define BOOT_FAILED_FACTOR 4
/* Assumed boot time of a machine whose type is unknown, in leases. */
#define UNKNOWN_TYPE_BOOT_LEASES 4
/* Maximum age of the last read of the delegates' keys, in leases, at which a lease may be declared
 * expired; older keys are read again first. */
#define DELEGATES_MAX_AGE_LEASES 0.1
/* Share of the time until a preemption. A batch task that is expected to complete within it is not
 * stopped. */
#define COMPLETION_NOTICE_SHARE 0.5
/* Time for which the names of returned machines are kept, as a number of seconds plus a multiple of
 * the lag of the cloud's list. Meanwhile late heartbeats of these machines, and lists that still
 * contain them, are ignored. */
#define RETURNED_RETENTION_S 600
#define RETURNED_RETENTION_LIST_LAGS 20

/* Terminates the attempts on the machine that were not launched. */
static void terminate_unlaunched(tw_core *core, tw_machine *machine) {
    tw_placement *placed, *next;
    DL_FOREACH_SAFE(machine->placements, placed, next) {
        if (!tw_attempt_was_launched(placed))
            tw_attempt_terminate_on(core, placed, TW_EVIDENCE_NOT_LAUNCHED);
    }
}

static void request_return(tw_core *core, tw_machine *machine, const char *why) {
    if (machine->return_wanted) return;
    machine->return_wanted = machine->cordoned = true;
    core->machine_reach_version++;
    core->returns_due = true;
    tw_log_info("event=machine_return_requested worker=%s why=%s rented_s=%.0f", machine->name, why,
                core->context.now - machine->known_since);
    terminate_unlaunched(core, machine);
}

/* Returns whether the stop of a gang is delayed until all its machines can be sent the command. An
 * earlier stop would lose the gang's progress, since a gang saves a checkpoint only as a whole. The
 * delay ends when the remaining notice is just long enough to stop the gang and save. */
static bool must_delay_gang_stop(const tw_core *core, const tw_placement *placed,
                                 double notice_left_s) {
    tw_job *job = placed->job;
    return job->spec.gang && job->spec.checkpoint_s > 0 && job->gang.state == TW_GANG_RUNNING &&
           !tw_gang_can_save(core, job) &&
           notice_left_s > job->spec.save_s + core->context.config->gang_peer_s;
}

/* Handles the preemption notice of a spot machine: stops the tasks that won't complete in time, so
 * that they save a checkpoint and continue on other machines. */
static void handle_preemption_notice(tw_core *core, tw_machine *machine) {
    tw_placement *placed, *next;
    const double notice_left_s = machine->preempted_at - core->context.now;
    DL_FOREACH_SAFE(machine->placements, placed, next) {
        if (!placed->counted || placed->stopping) continue;
        const tw_wire_job *spec = &placed->job->spec;
        const double slowness = machine->slowness > 0 ? machine->slowness : 1;
        const double run_s = tw_job_run_estimate_s(placed->job) * slowness;
        const double remaining_s =
            placed->running_since > 0 ? run_s - (core->context.now - placed->running_since) : run_s;
        if (!spec->service && remaining_s > 0 &&
            remaining_s < COMPLETION_NOTICE_SHARE * notice_left_s)
            continue;
        if (must_delay_gang_stop(core, placed, notice_left_s)) continue;
        tw_placement_stop(core, placed, spec->checkpoint_s > 0 ? spec->save_s : 0, false);
    }
}

/* Returns the number of tasks on the machine that may have been launched. */
static int count_launched(const tw_machine *machine) {
    const tw_placement *placed;
    int count = 0;
    DL_FOREACH(machine->placements, placed) {
        count += placed->counted && (placed->launch_sent || placed->inherited);
    }
    return count;
}

/* Logs the expiry of the lease with the age, in seconds, of each time that it was computed from.
 * For an event that never happened, the logged age is the current time. */
static void log_lease_expiry(const tw_core *core, const tw_machine *machine) {
    const tw_lease_expiry expiry = tw_lease_expiry_compute(core, machine);
    const double now = core->context.now;
    tw_log_info(
        "event=lease_expired worker=%s token=%llu incarnation=%llu confirmed=%d over_s=%.2f "
        "answered_s=%.2f delegates_s=%.2f incarnation_s=%.2f loading_s=%.2f predecessor_s=%.2f "
        "delegates_read_s=%.2f",
        machine->name, (unsigned long long)tw_cluster_token(core->cluster),
        (unsigned long long)machine->incarnation, machine->confirmed, now - expiry.expires_at,
        now - expiry.answered_at, now - expiry.delegates_until, now - expiry.incarnation_at,
        now - expiry.loading_at, now - expiry.predecessor_until,
        now - tw_cluster_delegates_checked_at(core->cluster));
}

/* Terminates the attempts on a machine whose lease has expired. If this node has not read the
 * delegates' keys recently, it reads them first, because a delegate with a new key may have renewed
 * the lease. */
static void expire_lease(tw_core *core, tw_machine *machine) {
    tw_placement *placed, *next;
    if (tw_cluster_delegates_checked_at(core->cluster) <
        core->context.now - DELEGATES_MAX_AGE_LEASES * core->context.config->lease_s) {
        tw_cluster_read_delegates(core->cluster);
        return;
    }
    tw_cluster_note_lease_expiry(core->cluster);
    log_lease_expiry(core, machine);
    machine->lease_expired = true;
    core->machine_reach_version++;
    DL_FOREACH_SAFE(machine->placements, placed, next) {
        tw_attempt_terminate_on(core, placed, TW_EVIDENCE_LEASE_EXPIRED);
    }
}

/* Returns the reason to return a machine that is up, or NULL if there is none. */
static const char *return_reason(tw_core *core, const tw_machine *machine, double expires_at) {
    if (machine->lost_launches >= TW_MAX_LOST_LAUNCHES) return "unresponsive";
    if (tw_machine_is_silent(core, machine) &&
        core->context.now > tw_cluster_delegates_may_answer_until(core->cluster, machine->zone) &&
        !tw_zone_is_unreachable(core, machine))
        return "silent";
    if (core->context.now >
        fmax(expires_at, machine->last_contact_at) + core->context.config->lease_s)
        return "lost";
    return NULL;
}

/* Requests the return of a machine that gets no new tasks, once it is empty. */
static void return_when_empty(tw_core *core, tw_machine *machine) {
    if (machine->preempted_at > 0) {
        handle_preemption_notice(core, machine);
        if (!tw_machine_is_occupied(machine)) request_return(core, machine, "notice");
    } else if (machine->cordoned || machine->decommissioning) {
        if (tw_machine_is_occupied(machine)) {
            tw_quarantine_tick(core, machine);
            return;
        }
        /* A gang that is to be placed again may still need the machine. */
        if (!machine->cordoned && tw_scale_in_keep_for_gang(core, machine)) return;
        request_return(core, machine, machine->decommissioning ? "drained" : "quarantined");
    }
}

/* Returns the expected boot time of the machine, in seconds. */
static double expected_boot_s(const tw_core *core, const tw_machine *machine) {
    if (machine->type_index < 0) return core->context.config->lease_s * UNKNOWN_TYPE_BOOT_LEASES;
    return core->machine_types[machine->type_index].listed.startup_s;
}

/* Records, once for each machine, that a boot has failed or takes longer than is usual for the
 * machine's type. */
static void note_overdue_boot(tw_core *core, tw_machine *machine, double boot_s) {
    const double age_s = core->context.now - machine->known_since;
    if (machine->overdue || machine->type_index < 0) return;
    if (!machine->failed && age_s <= BOOT_OVERDUE_FACTOR * boot_s + core->context.config->report_s)
        return;
    machine->overdue = true;
    tw_statistics_note_boot(core, machine);
    tw_boot_records_note_failure(core, machine);
    tw_log_info("event=boot_overdue worker=%s machine_type=%s zone=%s rented_s=%.0f", machine->name,
                machine->type_name, machine->zone, age_s);
}

/* Returns whether a machine has been booting for so long that its boot has failed. A new leader
 * first waits for the duration of a lease, in which workers find it. */
static bool boot_has_failed(const tw_core *core, const tw_machine *machine, double boot_s) {
    const tw_config *config = core->context.config;
    const double age_s = core->context.now - machine->known_since;
    return age_s > BOOT_FAILED_FACTOR * boot_s + config->list_lag_s &&
           core->context.now - tw_cluster_term_began_at(core->cluster) > config->lease_s;
}

static void machine_tick(tw_core *core, tw_machine *machine) {
    const double boot_s = expected_boot_s(core, machine);
    const int launched = count_launched(machine);
    if (machine->state == TW_MACHINE_UP && !tw_machine_is_usable(core, machine))
        terminate_unlaunched(core, machine);
    if (machine->type_index < 0 && *machine->type_name)
        machine->type_index = tw_machine_type_index(core, machine->type_name);
    /* A lease doesn't expire within its maximum duration after an answer, so its expiry needs to be
     * computed for few machines only. */
    const bool is_renewed = core->context.now <= machine->answered_at + tw_lease_max_s(core);
    const double expires_at = is_renewed ? INFINITY : tw_lease_expires_at(core, machine);
    if (launched && core->context.now > expires_at && tw_cluster_delegates_known(core->cluster))
        expire_lease(core, machine);
    /* A machine with tasks of an earlier leader is up, even if this node has received no heartbeat
     * of it. */
    const bool is_booting = machine->state == TW_MACHINE_BOOTING && !launched;
    if (is_booting) note_overdue_boot(core, machine, boot_s);
    if (machine->return_wanted) return;
    const char *why = NULL;
    if (machine->failed)
        why = "failed";
    else if (is_booting)
        why = boot_has_failed(core, machine, boot_s) ? "never_up" : NULL;
    else
        why = return_reason(core, machine, expires_at);
    if (why)
        request_return(core, machine, why);
    else if (!is_booting)
        return_when_empty(core, machine);
}

static void forget_returned_machines(tw_core *core) {
    const double retention_s =
        RETURNED_RETENTION_S + RETURNED_RETENTION_LIST_LAGS * core->context.config->list_lag_s;
    tw_expiring_names_sweep(&core->returned_machines, core->context.now, retention_s);
}

void tw_machines_tick(tw_core *core) {
    tw_machine *machine, *next;
    if (core->context.now < core->next_machine_scan_at) return;
    core->next_machine_scan_at =
        core->context.now + core->context.config->report_s / TICKS_PER_HEARTBEAT;
    tw_zone_silence_update(core);
    HASH_ITER(hh, core->machines, machine, next) { machine_tick(core, machine); }
    forget_returned_machines(core);
}
