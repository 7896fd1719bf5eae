/* The links between the parties: which messages are lost or held by a cut. */
#include "soak.h"
#include <stdbool.h>

int tw_soak_zone_of(const tw_soak *run, const char *zone) {
    (void)run;
    return *zone - 'a';
}

/* The zone of a party; -1: it belongs to none. */
static int zone_of_party(const tw_soak *run, int party) {
    if (party >= TW_SOAK_WORKERS)
        return tw_soak_zone_of(run, run->world.workers[party - TW_SOAK_WORKERS]->zone);
    if (party < TW_LOOPBACK_NODES) return tw_soak_zone_of(run, run->world.node_zone[party]);
    return -1;
}

/* Whether the cut lies between the near party, on its node's side, and the far one. */
static bool lies_between(const tw_soak *run, const tw_soak_cut *cut, int near, int far) {
    if (cut->node < 0) /* an island */
        return zone_of_party(run, near) == cut->zone && zone_of_party(run, far) != cut->zone;
    if (near != cut->node) return false;
    if (cut->other != TW_SOAK_WORKERS) return far == cut->other;
    return far >= TW_SOAK_WORKERS && (cut->zone < 0 || zone_of_party(run, far) == cut->zone);
}

double tw_soak_travel(const tw_soak *run, int from, int to) {
    double seconds = 0;
    for (int i = 0; i < run->cut_count; i++) {
        const tw_soak_cut *cut = &run->cuts[i];
        const bool struck = (cut->from && lies_between(run, cut, from, to)) ||
                            (cut->to && lies_between(run, cut, to, from));
        if (!struck) continue;
        if (!cut->held) return -1;
        if (cut->until - run->world.now > seconds) seconds = cut->until - run->world.now;
    }
    return seconds;
}

void tw_soak_cut_add(tw_soak *run, const tw_soak_cut *cut) {
    if (run->cut_count < TW_SOAK_MOST_CUTS) run->cuts[run->cut_count++] = *cut;
}

void tw_soak_cuts_tick(tw_soak *run) {
    for (int i = 0; i < run->cut_count; i++)
        if (run->world.now >= run->cuts[i].until) run->cuts[i--] = run->cuts[--run->cut_count];
}
