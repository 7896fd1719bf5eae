/* Detects silent machines, certainly expired leases, and zones in which missing heartbeats are
 * probably caused by the network.
 *
 * Invariant: tw_lease_expires_at is no earlier than the end of the lease by the worker's own clock,
 * whichever node renewed the lease. The proof is in docs/design.md, "Why each rule holds". */
#include "core/workers.h"
#include <stdbool.h>

/* Time that workers need to find the new leader after a failover, in leases. */
#define FIND_LEADER_LEASES 0.3
/* Number of unanswered probes after which a machine that never sent a heartbeat is given no time to
 * find the leader. */
#define MAX_FAILED_PROBES 2
/* Bounds, in heartbeat intervals, of the age of the last heartbeat from which a machine counts as
 * silent in the statistics of its zone. The heartbeat of a worker that searches for another node is
 * late by half an interval. */
#define MIN_LATE_HEARTBEATS 1.5
#define MAX_LATE_HEARTBEATS 2.5
/* Number of heartbeat intervals for which a zone still counts as unreachable after it was last
 * found unreachable: its workers need time to find a node that answers. */
#define ZONE_RECOVERY_HEARTBEATS 3
/* Number of machines up to which a zone is too small to conclude anything from most of them being
 * silent. */
#define SMALL_ZONE_MACHINES 2

bool tw_machine_is_silent(const tw_core *core, const tw_machine *machine) {
    const bool probes_are_unanswered =
        !machine->last_contact_at && machine->failed_probes >= MAX_FAILED_PROBES;
    const double grace_leases = probes_are_unanswered ? -1 : FIND_LEADER_LEASES;
    const double found_leader_at =
        tw_cluster_term_began_at(core->cluster) + grace_leases * core->context.config->lease_s;
    const double last_heartbeat_at =
        fmax(fmax(machine->answered_at, machine->last_contact_at), found_leader_at);
    const double max_silence_s =
        core->context.config->tune.silent_ratio * core->context.config->lease_s;
    /* The delegates' renewals are looked up only if this node itself has received no heartbeat,
     * which saves time. */
    return core->context.now - last_heartbeat_at > max_silence_s &&
           core->context.now - tw_cluster_delegates_may_answer_until(core->cluster, machine->zone) >
               max_silence_s;
}

bool tw_machine_is_usable(const tw_core *core, const tw_machine *machine) {
    return machine->state == TW_MACHINE_UP && machine->confirmed && machine->type_index >= 0 &&
           !machine->cordoned && !machine->return_wanted && !machine->decommissioning &&
           !machine->lease_expired && !machine->failed && machine->preempted_at <= 0 &&
           core->context.now - machine->last_contact_at <
               TW_RECENT_CONTACT_HEARTBEATS * core->context.config->report_s;
}

double tw_lease_max_s(const tw_core *core) {
    const tw_config *config = core->context.config;
    return config->lease_s * (1 + 2 * config->tune.drift + config->tune.margin_ratio);
}

tw_lease_expiry tw_lease_expiry_compute(const tw_core *core, const tw_machine *machine) {
    tw_lease_expiry expiry = {
        .answered_at = fmax(machine->answered_at, machine->answered_older_at),
        .delegates_until = tw_cluster_delegates_may_answer_until(core->cluster, machine->zone)};
    /* An incarnation begins with a full lease, even if none of its heartbeats was answered: the
     * machine may be known only from responses to direct commands. */
    expiry.incarnation_at = machine->incarnation_learned_at;
    /* While this node loaded the records, it did not record which workers' leases it renewed. */
    expiry.loading_at = core->answered_while_loading_at;
    /* A worker that has seen this term's token refuses the answers of earlier leaders. Before that,
     * they may have renewed its lease. */
    expiry.predecessor_until = machine->confirmed
                                   ? machine->confirmed_at
                                   : tw_cluster_predecessor_renewals_end(core->cluster);
    double renewed_until = fmax(expiry.answered_at, expiry.delegates_until);
    renewed_until = fmax(renewed_until, expiry.incarnation_at);
    renewed_until = fmax(renewed_until, expiry.loading_at);
    renewed_until = fmax(renewed_until, expiry.predecessor_until);
    expiry.expires_at = tw_cluster_lease_expires_at(core->cluster, machine->zone, renewed_until,
                                                    tw_lease_max_s(core));
    return expiry;
}

double tw_lease_expires_at(const tw_core *core, const tw_machine *machine) {
    return tw_lease_expiry_compute(core, machine).expires_at;
}

/* The network is the probable cause if most machines of the zone are silent, or if this node can't
 * reach the zone's nodes or has reconnected to them only recently. */
bool tw_zone_is_unreachable(tw_core *core, const tw_machine *machine) {
    const double recovery_s = ZONE_RECOVERY_HEARTBEATS * core->context.config->report_s;
    if (tw_cluster_zone_is_partitioned(core->cluster, machine->zone, recovery_s)) return true;
    for (int zone = 0; zone < core->silent_zone_count; zone++)
        if (!strcmp(core->silent_zones[zone].zone, machine->zone))
            return core->context.now < core->silent_zones[zone].until;
    return false;
}

/* Returns the index of the zone in core->silent_zones and adds the zone if it is missing. Returns
 * TW_MAX_ZONES if there are too many zones. */
static int silent_zone_index(tw_core *core, const char *name) {
    int zone = 0;
    while (zone < core->silent_zone_count && strcmp(core->silent_zones[zone].zone, name) != 0)
        zone++;
    if (zone == TW_MAX_ZONES || zone < core->silent_zone_count) return zone;
    memset(&core->silent_zones[zone], 0, sizeof core->silent_zones[zone]);
    snprintf(core->silent_zones[core->silent_zone_count++].zone, TW_NAME_SIZE, "%s", name);
    return zone;
}

/* When the first machine of a partitioned zone has been silent for long enough to be returned, the
 * last heartbeats of the others may be up to an interval newer. For the statistics of a zone, a
 * machine therefore counts as silent an interval earlier, within MIN_LATE_HEARTBEATS and
 * MAX_LATE_HEARTBEATS. */
void tw_zone_silence_update(tw_core *core) {
    const double interval_s = core->context.config->report_s;
    const double silent_s = core->context.config->tune.silent_ratio * core->context.config->lease_s;
    const double min_silence_s =
        fmin(MAX_LATE_HEARTBEATS * interval_s,
             fmax(MIN_LATE_HEARTBEATS * interval_s, silent_s - interval_s));
    const double found_leader_at = tw_cluster_term_began_at(core->cluster) +
                                   FIND_LEADER_LEASES * core->context.config->lease_s;
    tw_machine *machine, *next;
    for (int i = 0; i < core->silent_zone_count; i++)
        core->silent_zones[i].all = core->silent_zones[i].silent = 0;
    HASH_ITER(hh, core->machines, machine, next) {
        if ((machine->state != TW_MACHINE_UP && !tw_machine_is_occupied(machine)) ||
            machine->failed)
            continue;
        const int zone = silent_zone_index(core, machine->zone);
        if (zone == TW_MAX_ZONES) continue;
        core->silent_zones[zone].all++;
        core->silent_zones[zone].silent +=
            core->context.now - fmax(machine->answered_at, found_leader_at) > min_silence_s;
    }
    for (int zone = 0; zone < core->silent_zone_count; zone++)
        if (core->silent_zones[zone].all > SMALL_ZONE_MACHINES &&
            core->silent_zones[zone].silent * 2 > core->silent_zones[zone].all)
            core->silent_zones[zone].until =
                core->context.now + ZONE_RECOVERY_HEARTBEATS * core->context.config->report_s;
}
