/* Machines that are not heard from: when one is silent, when its lease has surely ended, and
 * whether the network rather than the machines is at fault. */
#include "core/workers.h"
#include <stdbool.h>

/* After a change of leader, workers need a while to find us, in leases. */
#define FIND_LEADER_LEASES 0.3
/* One that was asked in vain so often since, and never answered, hangs or is gone. */
#define ASKED_IN_VAIN 2
/* Late by less than this is no silence: a worker that looks for another node is late by half. */
#define LATE_LEAST_REPORTS 1.5
#define LATE_MOST_REPORTS 2.5
/* A zone that comes back, or that is cut, needs so long to be heard again. */
#define BACK_REPORTS 3
/* Of fewer machines, most being silent says nothing. */
#define FEW_MACHINES 2

bool tw_machine_is_silent(const tw_core *core, const tw_machine *machine) {
    const bool unanswered = !machine->last_contact_at && machine->failed_probes >= ASKED_IN_VAIN;
    const double grace_leases = unanswered ? -1 : FIND_LEADER_LEASES;
    const double found_us =
        tw_cluster_term_began_at(core->cluster) + grace_leases * core->context.config->lease_s;
    const double heard = fmax(fmax(machine->answered_at, machine->last_contact_at), found_us);
    const double most_s = core->context.config->tune.silent_ratio * core->context.config->lease_s;
    /* Deputies are looked at only for a machine that we haven't heard of ourselves. */
    return core->context.now - heard > most_s &&
           core->context.now - tw_cluster_delegates_until(core->cluster, machine->zone) > most_s;
}

bool tw_machine_is_usable(const tw_core *core, const tw_machine *machine) {
    return machine->state == TW_MACHINE_UP && machine->confirmed && machine->type_index >= 0 &&
           !machine->cordoned && !machine->return_wanted && !machine->decommissioning &&
           !machine->lease_expired && !machine->failed && machine->preempted_at <= 0 &&
           core->context.now - machine->last_contact_at <
               TW_IN_TOUCH_HEARTBEATS * core->context.config->report_s;
}

double tw_lease_max_s(const tw_core *core) {
    const tw_config *config = core->context.config;
    return config->lease_s * (1 + 2 * config->tune.drift + config->tune.margin_ratio);
}

/* A worker that has not seen our token may still have been answered by a predecessor. */
tw_lease_expiry tw_lease_expiry_of(const tw_core *core, const tw_machine *machine) {
    tw_lease_expiry terms = {.answered_at = fmax(machine->answered_at, machine->answered_older_at),
                             .delegates_until =
                                 tw_cluster_delegates_until(core->cluster, machine->zone)};
    /* A session has a full lease from its beginning, also one that no report of was ever answered:
     * the machine may be known from direct orders only. */
    terms.incarnation_at = machine->incarnation_learned_at;
    /* Whose leases were renewed while the records were read was not noted. */
    terms.loading_at = core->answered_while_loading_at;
    /* Once it knows our token, a predecessor's answers no longer count; until then they may have.
     */
    terms.predecessor_until = machine->confirmed
                                  ? machine->confirmed_at
                                  : tw_cluster_predecessor_renewals_end(core->cluster);
    double from = fmax(terms.answered_at, terms.delegates_until);
    from = fmax(from, terms.incarnation_at);
    from = fmax(from, terms.loading_at);
    from = fmax(from, terms.predecessor_until);
    terms.expires_at =
        tw_cluster_lease_expires_at(core->cluster, machine->zone, from, tw_lease_max_s(core));
    return terms;
}

double tw_lease_expires_at(const tw_core *core, const tw_machine *machine) {
    return tw_lease_expiry_of(core, machine).expires_at;
}

/* Most machines of its zone silent as well, or we don't reach its nodes, or only just again: rather
 * the network than the machine. */
bool tw_zone_is_unreachable(tw_core *core, const tw_machine *machine) {
    const double back = BACK_REPORTS * core->context.config->report_s;
    if (tw_cluster_zone_is_cut(core->cluster, machine->zone, back)) return true;
    for (int zone = 0; zone < core->silent_zone_count; zone++)
        if (!strcmp(core->silent_zones[zone].zone, machine->zone))
            return core->context.now < core->silent_zones[zone].until;
    return false;
}

/* The zone's number among those counted, or TW_MAX_ZONES where there are too many. */
static int silent_zone_index(tw_core *core, const char *name) {
    int zone = 0;
    while (zone < core->silent_zone_count && strcmp(core->silent_zones[zone].zone, name) != 0)
        zone++;
    if (zone == TW_MAX_ZONES || zone < core->silent_zone_count) return zone;
    memset(&core->silent_zones[zone], 0, sizeof core->silent_zones[zone]);
    snprintf(core->silent_zones[core->silent_zone_count++].zone, TW_NAME_SIZE, "%s", name);
    return zone;
}

/* Zones most of whose machines are silent. When the first is silent for long enough to be given up,
 * those that are cut off with it were heard up to a report later: so much less counts as silent.
 * But one that looks for another node is late by half a report. After a cut they need a while to
 * find a node that answers. */
void tw_zone_silence_update(tw_core *core) {
    const double report = core->context.config->report_s;
    const double silent = core->context.config->tune.silent_ratio * core->context.config->lease_s;
    const double late =
        fmin(LATE_MOST_REPORTS * report, fmax(LATE_LEAST_REPORTS * report, silent - report));
    const double found_us = tw_cluster_term_began_at(core->cluster) +
                            FIND_LEADER_LEASES * core->context.config->lease_s;
    tw_machine *each, *next;
    for (int i = 0; i < core->silent_zone_count; i++)
        core->silent_zones[i].all = core->silent_zones[i].silent = 0;
    HASH_ITER(hh, core->machines, each, next) {
        if ((each->state != TW_MACHINE_UP && !tw_machine_is_occupied(each)) || each->failed)
            continue;
        const int zone = silent_zone_index(core, each->zone);
        if (zone == TW_MAX_ZONES) continue;
        core->silent_zones[zone].all++;
        core->silent_zones[zone].silent +=
            core->context.now - fmax(each->answered_at, found_us) > late;
    }
    for (int zone = 0; zone < core->silent_zone_count; zone++)
        if (core->silent_zones[zone].all > FEW_MACHINES &&
            core->silent_zones[zone].silent * 2 > core->silent_zones[zone].all)
            core->silent_zones[zone].until =
                core->context.now + BACK_REPORTS * core->context.config->report_s;
}
