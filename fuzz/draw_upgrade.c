/* Generates a day with two versions: the day of the seed, in which nodes start with the earlier
 * version and are upgraded one after the other, in some cases several at the same time. Some
 * upgrades halt before all nodes are upgraded. */
#include "upgrade.h"
#include "line.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Percentages of days with these properties. */
enum { ALL_NODES_OLD = 70, BY_LEADERSHIP = 60, LEADER_FIRST = 25, HALTS = 15, DOWNGRADES = 20 };
enum {
    FIRST_STEP_MIN_S = 3,
    STEP_INTERVAL_MIN_S = 1,
    STEP_INTERVAL_MAX_S = 12,
    RESTART_MIN_S = 1,
    RESTART_MAX_S = 6
};

/* Counts the nodes of the day and reads the time of its `end` line. */
static void read_day(tw_fuzz_upgrade *upgrade, const tw_fuzz_day *day) {
    for (size_t i = 0; i < day->count; i++) {
        const char *line = day->lines[i];
        upgrade->plan.node_count += tw_fuzz_line_starts_with(line, "node ");
        if (tw_fuzz_line_starts_with(line, "end "))
            upgrade->end = (int)tw_fuzz_parse_hundredths(line + strlen("end "));
    }
    if (upgrade->plan.node_count > TW_FUZZ_NODES_MAX) abort();
}

/* Removes the lines that days with two versions do not support. `expect` lines hold only with the
 * faults that the day was generated with, unlike the rules of the simulator. Duplicate commands
 * break a rule with the earlier version (scenario repeated_launch). */
static void drop_unsupported_lines(tw_fuzz_day *day) {
    size_t kept = 0;
    for (size_t i = 0; i < day->count; i++) {
        if (strstr(day->lines[i], " expect ") || strstr(day->lines[i], " repeatcommands "))
            free(day->lines[i]);
        else
            day->lines[kept++] = day->lines[i];
    }
    day->count = kept;
}

static void draw_order(tw_fuzz_upgrade *upgrade) {
    for (int i = 0; i < upgrade->plan.node_count; i++) {
        const int k = tw_fuzz_rng_range(&upgrade->plan.rng, 0, i);
        upgrade->order[i] = upgrade->order[k];
        upgrade->order[k] = i;
    }
}

static void draw_old_nodes(tw_fuzz_upgrade *upgrade) {
    tw_fuzz_rng *rng = &upgrade->plan.rng;
    const bool all_old = tw_fuzz_rng_percent(rng, ALL_NODES_OLD);
    const int old_node = tw_fuzz_rng_range(rng, 0, upgrade->plan.node_count - 1);
    for (int i = 0; i < upgrade->plan.node_count; i++)
        if (all_old || i == old_node || tw_fuzz_rng_half(rng))
            tw_fuzz_day_add(upgrade->plan.day, "old tray-%d", i);
}

static int draw_moment(tw_fuzz_upgrade *upgrade) {
    const int first = FIRST_STEP_MIN_S * TW_FUZZ_SECOND;
    return tw_fuzz_rng_range(&upgrade->plan.rng, first,
                             upgrade->end > first ? upgrade->end : first);
}

void tw_fuzz_upgrade_draw_step(tw_fuzz_upgrade *upgrade, const char *command, int when, int step,
                               const tw_fuzz_upgrade_choice *choice) {
    const int restart_time = tw_fuzz_rng_range(&upgrade->plan.rng, RESTART_MIN_S * TW_FUZZ_SECOND,
                                               RESTART_MAX_S * TW_FUZZ_SECOND);
    const tw_fuzz_word restart_s = tw_fuzz_format_seconds(restart_time);
    if (!choice->by_leadership)
        tw_fuzz_add_event(&upgrade->plan, when, "%s tray-%d %s", command, upgrade->order[step],
                          restart_s.text);
    else if (choice->leader_first && step == 0)
        tw_fuzz_add_event(&upgrade->plan, when, "%s leader %s", command, restart_s.text);
    else
        tw_fuzz_add_event(&upgrade->plan, when, "%s next %s", command, restart_s.text);
}

static void draw_upgrades(tw_fuzz_upgrade *upgrade) {
    tw_fuzz_rng *rng = &upgrade->plan.rng;
    tw_fuzz_upgrade_choice choice;
    choice.by_leadership = tw_fuzz_rng_percent(rng, BY_LEADERSHIP);
    choice.leader_first = tw_fuzz_rng_percent(rng, LEADER_FIRST);
    const int steps = tw_fuzz_rng_percent(rng, HALTS)
                          ? tw_fuzz_rng_range(rng, 0, upgrade->plan.node_count - 1)
                          : upgrade->plan.node_count;
    const int batch_size = TW_FUZZ_ONE_OF(rng, 1, 1, 1, 2, 3);
    int when = tw_fuzz_rng_range(rng, FIRST_STEP_MIN_S * TW_FUZZ_SECOND,
                                 upgrade->end / 2 + FIRST_STEP_MIN_S * TW_FUZZ_SECOND);
    for (int step = 0; step < steps; step++) {
        tw_fuzz_upgrade_draw_step(upgrade, "upgrade", when, step, &choice);
        if ((step + 1) % batch_size == 0)
            when += tw_fuzz_rng_range(rng, STEP_INTERVAL_MIN_S * TW_FUZZ_SECOND,
                                      STEP_INTERVAL_MAX_S * TW_FUZZ_SECOND);
    }
    if (tw_fuzz_rng_percent(rng, DOWNGRADES))
        tw_fuzz_add_event(&upgrade->plan, draw_moment(upgrade), "downgrade tray-%d",
                          tw_fuzz_rng_range(rng, 0, upgrade->plan.node_count - 1));
}

void tw_fuzz_upgrade_begin(tw_fuzz_upgrade *upgrade, uint32_t seed, uint32_t stream,
                           tw_fuzz_day *day) {
    *upgrade = (tw_fuzz_upgrade){.plan = {.day = day}};
    tw_fuzz_draw_day(seed, day);
    drop_unsupported_lines(day);
    read_day(upgrade, day);
    tw_fuzz_rng_init(&upgrade->plan.rng, seed ^ stream);
    draw_order(upgrade);
}

void tw_fuzz_upgrade_end(tw_fuzz_upgrade *upgrade) {
    tw_fuzz_day_sort(upgrade->plan.day);
    tw_fuzz_rng_free(&upgrade->plan.rng);
}

void tw_fuzz_draw_upgrade(uint32_t seed, tw_fuzz_day *day) {
    tw_fuzz_upgrade upgrade;
    tw_fuzz_upgrade_begin(&upgrade, seed, TW_FUZZ_UPGRADE_STREAM, day);
    draw_old_nodes(&upgrade);
    draw_upgrades(&upgrade);
    tw_fuzz_upgrade_end(&upgrade);
}
