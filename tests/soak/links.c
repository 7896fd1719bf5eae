/* Links between the parties: decides which messages a cut drops or delays. */
#include "soak.h"
#include <stdbool.h>

int tw_soak_zone_index(const tw_soak *run, const char *zone) {
    (void)run;
    return *zone - 'a';
}

/* Returns the zone index of the party, or -1 for a service that is outside all zones. */
static int party_zone(const tw_soak *run, int party) {
    if (party >= TW_SOAK_WORKERS)
        return tw_soak_zone_index(run, run->world.workers[party - TW_SOAK_WORKERS]->zone);
    if (party < TW_LOOPBACK_MAX_NODES) return tw_soak_zone_index(run, run->world.node_zone[party]);
    return -1;
}

/* Returns whether the cut separates the two parties; near_party is on the side of the cut's node.
 */
static bool is_link_cut(const tw_soak *run, const tw_soak_cut *cut, int near_party, int far_party) {
    if (cut->node < 0) /* an isolated zone */
        return party_zone(run, near_party) == cut->zone && party_zone(run, far_party) != cut->zone;
    if (near_party != cut->node) return false;
    if (cut->other != TW_SOAK_WORKERS) return far_party == cut->other;
    return far_party >= TW_SOAK_WORKERS &&
           (cut->zone < 0 || party_zone(run, far_party) == cut->zone);
}

double tw_soak_message_delay_s(const tw_soak *run, int from, int to) {
    double seconds = 0;
    for (int i = 0; i < run->cut_count; i++) {
        const tw_soak_cut *cut = &run->cuts[i];
        const bool zones_are_cut = (cut->from && is_link_cut(run, cut, from, to)) ||
                                   (cut->to && is_link_cut(run, cut, to, from));
        if (!zones_are_cut) continue;
        if (!cut->held) return -1;
        if (cut->until - run->world.now > seconds) seconds = cut->until - run->world.now;
    }
    return seconds;
}

void tw_soak_add_cut(tw_soak *run, const tw_soak_cut *cut) {
    if (run->cut_count < TW_SOAK_MAX_CUTS) run->cuts[run->cut_count++] = *cut;
}

void tw_soak_cuts_tick(tw_soak *run) {
    for (int i = 0; i < run->cut_count; i++)
        if (run->world.now >= run->cuts[i].until) run->cuts[i--] = run->cuts[--run->cut_count];
}
