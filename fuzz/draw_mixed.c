/* A day on which an upgrade halts: some nodes are of the version in production all day, the others
 * of this one. Gangs aren't submitted then, so they are taken out. */
#include "gang_lines.h"
#include "upgrade.h"

void tw_fuzz_draw_mixed(uint32_t seed, tw_fuzz_day *day) {
    tw_fuzz_upgrade mixed;
    tw_fuzz_upgrade_begin(&mixed, seed, TW_FUZZ_MIXED_STREAM, day);
    tw_fuzz_drop_gangs(day);
    /* The order is drawn, so that each set of old nodes is as likely as any of its size. */
    const int old_count = tw_fuzz_rng_range(&mixed.plan.rng, 1, mixed.plan.node_count - 1);
    for (int i = 0; i < old_count; i++) tw_fuzz_day_add(day, "old tray-%d", mixed.order[i]);
    tw_fuzz_upgrade_end(&mixed);
}
