/* The links between the parties: which messages are lost or held by a cut. */
#include "soak.h"
#include <stdbool.h>

int soak_zone_of(const soak *run, const char *zone) {
    (void)run;
    return *zone - 'a';
}

/* The zone of a party; -1: it belongs to none. */
static int zone_of_party(const soak *run, int party) {
    if (party >= SOAK_WORKERS)
        return soak_zone_of(run, run->world.workers[party - SOAK_WORKERS]->zone);
    if (party < TW_LOOPBACK_NODES) return soak_zone_of(run, run->world.node_zone[party]);
    return -1;
}

/* Whether the cut lies between the near party, on its node's side, and the far one. */
static bool lies_between(const soak *run, const soak_cut *cut, int near, int far) {
    if (cut->node < 0) /* an island */
        return zone_of_party(run, near) == cut->zone && zone_of_party(run, far) != cut->zone;
    if (near != cut->node) return false;
    if (cut->other != SOAK_WORKERS) return far == cut->other;
    return far >= SOAK_WORKERS && (cut->zone < 0 || zone_of_party(run, far) == cut->zone);
}

double soak_travel(const soak *run, int from, int to) {
    double seconds = 0;
    for (int i = 0; i < run->cut_count; i++) {
        const soak_cut *cut = &run->cuts[i];
        const bool struck = (cut->from && lies_between(run, cut, from, to)) ||
                            (cut->to && lies_between(run, cut, to, from));
        if (!struck) continue;
        if (!cut->held) return -1;
        if (cut->until - run->world.now > seconds) seconds = cut->until - run->world.now;
    }
    return seconds;
}

void soak_cut_add(soak *run, const soak_cut *cut) {
    if (run->cut_count < SOAK_MOST_CUTS) run->cuts[run->cut_count++] = *cut;
}

void soak_cuts_tick(soak *run) {
    for (int i = 0; i < run->cut_count; i++)
        if (run->world.now >= run->cuts[i].until) run->cuts[i--] = run->cuts[--run->cut_count];
}
