/* What is due over all machines with time: leases that end, and machines to be returned because
 * they failed, are silent, or were asked to be empty and are. */
#include "core/workers.h"
#include <stdbool.h>

#define TICKS_PER_REPORT 6
/* A boot that takes so many times as long as its type's counts as overdue, and as failed. */
#define BOOT_OVERDUE 1.6
#define BOOT_FAILED 4
/* Boot of a machine whose type is not known yet, in leases. */
#define BOOT_UNKNOWN_LEASES 4
/* Deputies' keys that were read so long ago are read again before a lease is taken for ended. */
#define DEPUTIES_AGE_LEASES 0.1
/* A batch task that needs less than this part of a notice is left to end by itself. */
#define DONE_WITHIN_NOTICE 0.5
/* Returned machines are remembered for so long, and in lags of the cloud's list: late reports of
 * them, and lists that still show them, are known for what they are. */
#define RETURNED_S 600
#define RETURNED_LIST_LAGS 20

static void request_return(tw_core *core, tw_machine *machine, const char *why) {
    tw_placement *each, *next;
    if (machine->return_wanted) return;
    machine->return_wanted = machine->cordoned = true;
    core->returns_due = true;
    tw_log_info("event=machine_return_requested worker=%s why=%s rented_s=%.0f", machine->name, why,
                core->context.now - machine->known_since);
    DL_FOREACH_SAFE(machine->placements, each, next) {
        if (!tw_attempt_was_launched(each))
            tw_attempt_terminate_on(core, each, TW_EVIDENCE_NOT_LAUNCHED);
    }
}

/* A gang's progress is lost if it is stopped while one of its machines can't be told: as long as
 * the notice leaves time for it, that is waited for. */
static bool waits_to_save(const tw_core *core, const tw_placement *placed, double left_s) {
    const tw_job *job = placed->job;
    return job->spec.gang && job->spec.checkpoint_s > 0 && job->gang.state == TW_GANG_RUNNING &&
           !tw_gang_can_save(core, job) &&
           left_s > job->spec.save_s + core->context.config->gang_peer_s;
}

/* A spot machine will be taken: tasks that won't be done by then save and go elsewhere. */
static void handle_preemption_notice(tw_core *core, tw_machine *machine) {
    tw_placement *each, *next;
    const double left_s = machine->preempted_at - core->context.now;
    DL_FOREACH_SAFE(machine->placements, each, next) {
        if (!each->counted || each->stopping) continue;
        const tw_wire_job *spec = &each->job->spec;
        const double slowness = machine->slowness > 0 ? machine->slowness : 1;
        const double run_s = tw_job_run_estimate_s(each->job) * slowness;
        const double rest_s =
            each->running_since > 0 ? run_s - (core->context.now - each->running_since) : run_s;
        if (!spec->service && rest_s > 0 && rest_s < DONE_WITHIN_NOTICE * left_s) continue;
        if (waits_to_save(core, each, left_s)) continue;
        tw_placement_stop(core, each, spec->checkpoint_s > 0 ? spec->save_s : 0, false);
    }
}

/* Tasks there that may have been launched. */
static int count_launched(const tw_machine *machine) {
    const tw_placement *each;
    int count = 0;
    DL_FOREACH(machine->placements, each) {
        count += each->counted && (each->launch_sent || each->inherited);
    }
    return count;
}

static void terminate_unlaunched(tw_core *core, tw_machine *machine) {
    tw_placement *each, *next;
    DL_FOREACH_SAFE(machine->placements, each, next) {
        if (!tw_attempt_was_launched(each))
            tw_attempt_terminate_on(core, each, TW_EVIDENCE_NOT_LAUNCHED);
    }
}

/* Ages of what the end of the lease rests on; one that never was is as old as the clock. */
static void log_lease_expiry(const tw_core *core, const tw_machine *machine) {
    const tw_lease_expiry terms = tw_lease_expiry_of(core, machine);
    const double now = core->context.now;
    tw_log_info(
        "event=lease_expired worker=%s token=%llu incarnation=%llu confirmed=%d over_s=%.2f "
        "answered_s=%.2f delegates_s=%.2f incarnation_s=%.2f loading_s=%.2f predecessor_s=%.2f "
        "delegates_read_s=%.2f",
        machine->name, (unsigned long long)tw_cluster_token(core->cluster),
        (unsigned long long)machine->incarnation, machine->confirmed, now - terms.expires_at,
        now - terms.answered_at, now - terms.delegates_until, now - terms.incarnation_at,
        now - terms.loading_at, now - terms.predecessor_until,
        now - tw_cluster_delegates_checked_at(core->cluster));
}

/* Its lease has surely ended: nothing runs there. */
static void expire_lease(tw_core *core, tw_machine *machine) {
    tw_placement *each, *next;
    if (tw_cluster_delegates_checked_at(core->cluster) <
        core->context.now - DEPUTIES_AGE_LEASES * core->context.config->lease_s) {
        tw_cluster_read_delegates(core->cluster); /* first see whether a deputy renews it */
        return;
    }
    tw_cluster_note_expiry(core->cluster);
    log_lease_expiry(core, machine);
    machine->lease_expired = true;
    DL_FOREACH_SAFE(machine->placements, each, next) {
        tw_attempt_terminate_on(core, each, TW_EVIDENCE_LEASE_EXPIRED);
    }
}

/* Why a machine is given up; NULL: it is not. */
static const char *reason_to_give_up(tw_core *core, const tw_machine *machine, double expires_at) {
    if (machine->lost_launches >= TW_UNRESPONSIVE_AT) return "deaf";
    if (tw_machine_is_silent(core, machine) &&
        core->context.now > tw_cluster_delegates_until(core->cluster, machine->zone) &&
        !tw_zone_is_unreachable(core, machine))
        return "silent";
    if (core->context.now >
        fmax(expires_at, machine->last_contact_at) + core->context.config->lease_s)
        return "lost";
    return NULL;
}

/* A machine that gets nothing new goes once it is empty. */
static void return_when_empty(tw_core *core, tw_machine *machine) {
    if (machine->preempted_at > 0) {
        handle_preemption_notice(core, machine);
        if (!tw_machine_is_occupied(machine)) request_return(core, machine, "notice");
    } else if (machine->cordoned || machine->decommissioning) {
        const bool live = tw_machine_is_occupied(machine);
        if (!live) request_return(core, machine, machine->decommissioning ? "drained" : "sick");
        if (live) tw_quarantine_tick(core, machine);
    }
}

static void machine_tick(tw_core *core, tw_machine *machine) {
    const tw_config *config = core->context.config;
    const double boot_s = machine->type_index >= 0
                              ? core->machine_types[machine->type_index].listed.startup_s
                              : config->lease_s * BOOT_UNKNOWN_LEASES;
    const double age_s = core->context.now - machine->known_since;
    const int sent = count_launched(machine);
    if (machine->state == TW_MACHINE_UP && !tw_machine_is_usable(core, machine))
        terminate_unlaunched(core, machine);
    if (machine->type_index < 0 && *machine->type_name)
        machine->type_index = tw_machine_type_index(core, machine->type_name);
    /* A lease does not end within its length of a report: few machines need a closer look. */
    const bool is_renewed = core->context.now <= machine->answered_at + tw_lease_max_s(core);
    const double expires_at = is_renewed ? INFINITY : tw_lease_expires_at(core, machine);
    if (sent && core->context.now > expires_at && tw_cluster_delegates_known(core->cluster))
        expire_lease(core, machine);
    /* One with a predecessor's tasks is up: it is silent, below, if we don't hear of it. */
    const bool boots = machine->state == TW_MACHINE_BOOTING && !sent;
    if (boots && !machine->overdue && machine->type_index >= 0 &&
        age_s > BOOT_OVERDUE * boot_s + config->report_s) {
        machine->overdue = 1;
        tw_statistics_note_boot(core, machine);
    }
    if (machine->return_wanted) return;
    if (machine->failed) {
        request_return(core, machine, "failed");
    } else if (boots) {
        if (age_s > BOOT_FAILED * boot_s + config->list_lag_s &&
            core->context.now - tw_cluster_term_began_at(core->cluster) > config->lease_s)
            request_return(core, machine, "never_up");
    } else {
        const char *why = reason_to_give_up(core, machine, expires_at);
        if (why)
            request_return(core, machine, why);
        else
            return_when_empty(core, machine);
    }
}

static void forget_returned(tw_core *core) {
    const double kept_s = RETURNED_S + RETURNED_LIST_LAGS * core->context.config->list_lag_s;
    tw_expiring_names_sweep(&core->returned_machines, core->context.now, kept_s);
}

void tw_machines_tick(tw_core *core) {
    tw_machine *each, *next;
    if (core->context.now < core->next_machine_scan_at) return;
    core->next_machine_scan_at =
        core->context.now + core->context.config->report_s / TICKS_PER_REPORT;
    tw_zone_silence_update(core);
    HASH_ITER(hh, core->machines, each, next) { machine_tick(core, each); }
    forget_returned(core);
}
