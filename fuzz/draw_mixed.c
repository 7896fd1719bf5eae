/* Generates a day during a halted upgrade: some nodes run the earlier version, the others this
 * version. Gangs may not be submitted in that state, so their lines are removed. */
#include "gang_lines.h"
#include "upgrade.h"

void tw_fuzz_draw_mixed(uint32_t seed, tw_fuzz_day *day) {
    tw_fuzz_upgrade mixed;
    tw_fuzz_upgrade_begin(&mixed, seed, TW_FUZZ_MIXED_STREAM, day);
    tw_fuzz_drop_gangs(day);
    /* The order is random, so all sets of the same number of nodes are equally likely. */
    const int old_count = tw_fuzz_rng_range(&mixed.plan.rng, 1, mixed.plan.node_count - 1);
    for (int i = 0; i < old_count; i++) tw_fuzz_day_add(day, "old tray-%d", mixed.order[i]);
    tw_fuzz_upgrade_end(&mixed);
}
