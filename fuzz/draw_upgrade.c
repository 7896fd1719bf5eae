/* A day with two versions: the day of the seed, in which nodes begin as ones of the earlier version
 * and are upgraded one after the other, now and then a few at once, or are never all upgraded. */
#include "line.h"
#include "plan.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Shares in percent. */
enum { ALL_OLD = 70, BY_LEADERSHIP = 60, LEADER_FIRST = 25, HALTS = 15, GOES_BACK = 20 };
enum { FIRST_S = 3, APART_MIN_S = 1, APART_MAX_S = 12, BACK_MIN_S = 1, BACK_MAX_S = 6 };
enum { SECOND_STREAM = 0x5bd1e995 }; /* apart from the seed's own draws */

typedef struct {
    tw_fuzz_plan plan;
    int end;                      /* of the day */
    int order[TW_FUZZ_NODES_MAX]; /* in which nodes are upgraded by name */
} roll;

/* How many nodes the day has, and when it ends. */
static void read_day(roll *roll, const tw_fuzz_day *day) {
    for (size_t i = 0; i < day->count; i++) {
        const char *line = day->lines[i];
        roll->plan.nodes += tw_fuzz_line_is(line, "node ");
        if (tw_fuzz_line_is(line, "end "))
            roll->end = (int)tw_fuzz_line_hundredths(line + strlen("end "));
    }
    if (roll->plan.nodes > TW_FUZZ_NODES_MAX) abort();
}

/* What a day expects holds with its own troubles; the rules hold with any. Commands that come once
 * more break a rule with the version in production (scenario repeated_launch). */
static void drop_unfit(tw_fuzz_day *day) {
    size_t kept = 0;
    for (size_t i = 0; i < day->count; i++) {
        if (strstr(day->lines[i], " expect ") || strstr(day->lines[i], " repeatcommands "))
            free(day->lines[i]);
        else
            day->lines[kept++] = day->lines[i];
    }
    day->count = kept;
}

static void draw_order(roll *roll) {
    for (int i = 0; i < roll->plan.nodes; i++) {
        const int k = tw_fuzz_dice_range(&roll->plan.dice, 0, i);
        roll->order[i] = roll->order[k];
        roll->order[k] = i;
    }
}

static void draw_old(roll *roll) {
    tw_fuzz_dice *dice = &roll->plan.dice;
    const bool all = tw_fuzz_dice_percent(dice, ALL_OLD);
    const int always = tw_fuzz_dice_range(dice, 0, roll->plan.nodes - 1);
    for (int i = 0; i < roll->plan.nodes; i++)
        if (all || i == always || tw_fuzz_dice_half(dice))
            tw_fuzz_day_add(roll->plan.day, "old tray-%d", i);
}

static int draw_moment(roll *roll) {
    const int first = FIRST_S * TW_FUZZ_SECOND;
    return tw_fuzz_dice_range(&roll->plan.dice, first, roll->end > first ? roll->end : first);
}

static void draw_step(roll *roll, int when, int step, bool by_leadership, bool leader_first) {
    const int back = tw_fuzz_dice_range(&roll->plan.dice, BACK_MIN_S * TW_FUZZ_SECOND,
                                        BACK_MAX_S * TW_FUZZ_SECOND);
    const tw_fuzz_seconds back_s = tw_fuzz_seconds_of(back);
    if (!by_leadership)
        tw_fuzz_at(&roll->plan, when, "upgrade tray-%d %s", roll->order[step], back_s.text);
    else if (leader_first && step == 0)
        tw_fuzz_at(&roll->plan, when, "upgrade leader %s", back_s.text);
    else
        tw_fuzz_at(&roll->plan, when, "upgrade next %s", back_s.text);
}

static void draw_roll(roll *roll) {
    tw_fuzz_dice *dice = &roll->plan.dice;
    const bool by_leadership = tw_fuzz_dice_percent(dice, BY_LEADERSHIP);
    const bool leader_first = tw_fuzz_dice_percent(dice, LEADER_FIRST);
    const int steps = tw_fuzz_dice_percent(dice, HALTS)
                          ? tw_fuzz_dice_range(dice, 0, roll->plan.nodes - 1)
                          : roll->plan.nodes;
    const int together = TW_FUZZ_ONE_OF(dice, 1, 1, 1, 2, 3);
    int when = tw_fuzz_dice_range(dice, FIRST_S * TW_FUZZ_SECOND,
                                  roll->end / 2 + FIRST_S * TW_FUZZ_SECOND);
    for (int step = 0; step < steps; step++) {
        draw_step(roll, when, step, by_leadership, leader_first);
        if ((step + 1) % together == 0)
            when += tw_fuzz_dice_range(dice, APART_MIN_S * TW_FUZZ_SECOND,
                                       APART_MAX_S * TW_FUZZ_SECOND);
    }
    if (tw_fuzz_dice_percent(dice, GOES_BACK))
        tw_fuzz_at(&roll->plan, draw_moment(roll), "downgrade tray-%d",
                   tw_fuzz_dice_range(dice, 0, roll->plan.nodes - 1));
}

void tw_fuzz_draw_upgrade(uint32_t seed, tw_fuzz_day *day) {
    roll roll = {.plan = {.day = day}};
    tw_fuzz_draw(seed, day);
    drop_unfit(day);
    read_day(&roll, day);
    tw_fuzz_dice_init(&roll.plan.dice, seed ^ SECOND_STREAM);
    draw_order(&roll);
    draw_old(&roll);
    draw_roll(&roll);
    tw_fuzz_day_sort(day);
    tw_fuzz_dice_free(&roll.plan.dice);
}
