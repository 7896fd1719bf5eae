/* Machines that are not heard from: when one is silent, when its lease has surely ended, and
 * whether the network rather than the machines is at fault. */
#include "core/fleet.h"

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

int tw_machine_silent(const tw_core *core, const machine *machine) {
    const int unanswered = !machine->contact && machine->probe_fails >= ASKED_IN_VAIN;
    const double grace_leases = unanswered ? -1 : FIND_LEADER_LEASES;
    const double found_us = core->acquired_at + grace_leases * core->cf->lease_s;
    const double heard = fmax(fmax(machine->heard, machine->contact), found_us);
    const double most_s = core->cf->tune.silent_ratio * core->cf->lease_s;
    /* Deputies are looked at only for a machine that we haven't heard of ourselves. */
    return core->now - heard > most_s &&
           core->now - tw_deputies_until(core, machine->yard) > most_s;
}

int tw_machine_usable(const tw_core *core, const machine *machine) {
    return machine->stage == M_UP && machine->confirmed && machine->rack >= 0 &&
           !machine->cordoned && !machine->release && !machine->closing && !machine->lapsed &&
           !machine->failed && machine->warned_until <= 0 &&
           core->now - machine->contact < TW_IN_TOUCH_REPORTS * core->cf->report_s;
}

double tw_lease_longest_s(const tw_core *core) {
    const tw_conf *cf = core->cf;
    return cf->lease_s * (1 + 2 * cf->tune.drift + cf->tune.margin_ratio);
}

/* A worker that has not seen our token may still have been answered by a predecessor. */
tw_lapse_terms tw_lapse_terms_of(const tw_core *core, const machine *machine) {
    tw_lapse_terms terms = {.answered = fmax(machine->heard, machine->renewed),
                            .deputies = tw_deputies_until(core, machine->yard)};
    /* A session has a full lease from its beginning, also one that no report of was ever answered:
     * the machine may be known from direct orders only. */
    terms.session = machine->session_at;
    /* Whose leases were renewed while the records were read was not noted. */
    terms.loading = core->load_answered;
    /* Once it knows our token, a predecessor's answers no longer count; until then they may have.
     */
    terms.predecessor = machine->confirmed ? machine->confirmed_at : tw_predecessor_end(core);
    double from = fmax(terms.answered, terms.deputies);
    from = fmax(from, terms.session);
    from = fmax(from, terms.loading);
    from = fmax(from, terms.predecessor);
    const double lease = tw_lease_longest_s(core);
    terms.at = from + lease;
    /* Nodes of its zone that may have answered it while they could not reach us: either one said
     * later that it had not, or its grant is over. */
    for (size_t i = 0; i < core->npeers; i++) {
        const peer *peer = &core->peers[i];
        if (peer->grant_until <= 0 || (*machine->yard && strcmp(machine->yard, peer->cf.zone) != 0))
            continue;
        const double said = fmax(from, peer->deputy_last) + lease;
        const double granted = fmax(from, peer->grant_until) + lease;
        terms.at = fmax(terms.at, said < peer->dep_asof ? said : granted);
    }
    return terms;
}

double tw_lapse_at(const tw_core *core, const machine *machine) {
    return tw_lapse_terms_of(core, machine).at;
}

/* Most machines of its zone silent as well, or we don't reach its nodes, or only just again: rather
 * the network than the machine. */
int tw_zone_cut(tw_core *core, const machine *machine) {
    const double back = BACK_REPORTS * core->cf->report_s;
    for (size_t i = 0; i < core->npeers; i++) {
        const peer *peer = &core->peers[i];
        if (!strcmp(peer->cf.zone, machine->yard) &&
            strcmp(machine->yard, core->cf->location) != 0 &&
            (!tw_zone_reached(core, machine->yard) || core->now < peer->back_at + back))
            return 1;
    }
    for (int zone = 0; zone < core->nquiet; zone++)
        if (!strcmp(core->quiet[zone].yard, machine->yard))
            return core->now < core->quiet[zone].until;
    return 0;
}

/* The zone's number among those counted, or TW_MAX_ZONES where there are too many. */
static int quiet_index(tw_core *core, const char *name) {
    int zone = 0;
    while (zone < core->nquiet && strcmp(core->quiet[zone].yard, name) != 0) zone++;
    if (zone == TW_MAX_ZONES || zone < core->nquiet) return zone;
    memset(&core->quiet[zone], 0, sizeof core->quiet[zone]);
    snprintf(core->quiet[core->nquiet++].yard, TW_NAME_SIZE, "%s", name);
    return zone;
}

/* Zones most of whose machines are silent. When the first is silent for long enough to be given up,
 * those that are cut off with it were heard up to a report later: so much less counts as silent.
 * But one that looks for another node is late by half a report. After a cut they need a while to
 * find a node that answers. */
void tw_quiet_note(tw_core *core) {
    const double report = core->cf->report_s;
    const double silent = core->cf->tune.silent_ratio * core->cf->lease_s;
    const double late =
        fmin(LATE_MOST_REPORTS * report, fmax(LATE_LEAST_REPORTS * report, silent - report));
    const double found_us = core->acquired_at + FIND_LEADER_LEASES * core->cf->lease_s;
    machine *each, *next;
    for (int i = 0; i < core->nquiet; i++) core->quiet[i].all = core->quiet[i].silent = 0;
    HASH_ITER(hh, core->machines, each, next) {
        if ((each->stage != M_UP && !tw_machine_works(each)) || each->failed) continue;
        const int zone = quiet_index(core, each->yard);
        if (zone == TW_MAX_ZONES) continue;
        core->quiet[zone].all++;
        core->quiet[zone].silent += core->now - fmax(each->heard, found_us) > late;
    }
    for (int zone = 0; zone < core->nquiet; zone++)
        if (core->quiet[zone].all > FEW_MACHINES &&
            core->quiet[zone].silent * 2 > core->quiet[zone].all)
            core->quiet[zone].until = core->now + BACK_REPORTS * core->cf->report_s;
}
