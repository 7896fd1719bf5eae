/* Draws a day from a seed: a fleet, jobs and their users, and troubles close to each other. */
#include "plan.h"
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

/* Moments of a day, in seconds. */
enum { FIRST_ANCHOR_S = 8, LAST_ANCHOR_S = 40, ANCHORS_APART_S = 30 };
/* Shares of days, in percent. */
enum {
    GUARANTEE_DAYS = 10,
    FLOOD_DAYS = 8,
    LONG_DAYS = 15,
    REQUEST_LIMITS = 15,
    GANG_DAYS = 50,
    SUCCESSOR_DAYS = 25,
    REPEAT_DAYS = 25
};
enum { WORLD_SEED_MAX = 9999 };
enum { TROUBLES_MIN = 2, TROUBLES_MAX = 6 };
/* After the last trouble of a long day: more than a job may wait by the liveness rules. */
enum { CALM_S = 110 };

tw_fuzz_seconds tw_fuzz_seconds_of(int hundredths) {
    tw_fuzz_seconds seconds;
    snprintf(seconds.text, sizeof seconds.text, "%d.%02d", hundredths / TW_FUZZ_SECOND,
             hundredths % TW_FUZZ_SECOND);
    return seconds;
}

void tw_fuzz_add_at(tw_fuzz_plan *plan, int when, const char *format, ...) {
    va_list arguments;
    char *what = NULL;
    if (when < 0) when = 0;
    va_start(arguments, format);
    if (vasprintf(&what, format, arguments) < 0) abort();
    va_end(arguments);
    tw_fuzz_day_add(plan->day, "at %s %s", tw_fuzz_seconds_of(when).text, what);
    free(what);
    tw_fuzz_extend_until(plan, when);
}

void tw_fuzz_extend_until(tw_fuzz_plan *plan, int when) {
    if (when > plan->last_moment) plan->last_moment = when;
}

int tw_fuzz_draw_anchor(tw_fuzz_plan *plan) {
    return plan->anchors[tw_fuzz_dice_range(&plan->dice, 0, plan->anchor_count - 1)];
}

int tw_fuzz_draw_moment_near(tw_fuzz_plan *plan, int moment) {
    static const int weights[] = {1, 3, 4, 4, 2, 1};
    tw_fuzz_dice *dice = &plan->dice;
    switch (tw_fuzz_dice_weighted(dice, weights, sizeof weights / sizeof *weights)) {
    case 0:
        return moment;
    case 1:
        return moment + tw_fuzz_dice_range(dice, -10, 10);
    case 2:
        return moment + tw_fuzz_dice_range(dice, -TW_FUZZ_SECOND, TW_FUZZ_SECOND);
    case 3:
        return moment + tw_fuzz_dice_range(dice, 0, 4 * plan->term);
    case 4:
        return moment + tw_fuzz_dice_range(dice, 0, plan->lease + plan->lease / 2);
    default:
        return moment + tw_fuzz_dice_range(dice, -plan->lease / 2, plan->cancel);
    }
}

const char *tw_fuzz_zone_name(int zone) {
    static const char *const names[TW_FUZZ_ZONES_MAX] = {"a", "b", "c"};
    return names[zone];
}

const char *tw_fuzz_draw_zone(tw_fuzz_plan *plan) {
    return tw_fuzz_zone_name(tw_fuzz_dice_range(&plan->dice, 0, plan->zone_count - 1));
}

static void draw_anchors(tw_fuzz_plan *plan) {
    tw_fuzz_dice *dice = &plan->dice;
    static const int weights[] = {5, 3, 1};
    plan->anchor_count = 1 + (int)tw_fuzz_dice_weighted(dice, weights, TW_FUZZ_ANCHORS_MAX);
    int moment =
        tw_fuzz_dice_range(dice, FIRST_ANCHOR_S * TW_FUZZ_SECOND, LAST_ANCHOR_S * TW_FUZZ_SECOND);
    for (int i = 0; i < plan->anchor_count; i++) {
        plan->anchors[i] = moment;
        moment += tw_fuzz_dice_range(dice, plan->term, ANCHORS_APART_S * TW_FUZZ_SECOND);
    }
}

static void draw_troubled(tw_fuzz_plan *plan) {
    tw_fuzz_dice *dice = &plan->dice;
    tw_fuzz_draw_fleet(plan);
    tw_fuzz_day_add(plan->day, "set seed %d", tw_fuzz_dice_range(dice, 1, WORLD_SEED_MAX));
    draw_anchors(plan);
    if (tw_fuzz_dice_percent(dice, FLOOD_DAYS))
        tw_fuzz_draw_flood(plan);
    else
        tw_fuzz_draw_jobs(plan);
    tw_fuzz_draw_habits(plan);
    tw_fuzz_draw_troubles(plan, tw_fuzz_dice_range(dice, TROUBLES_MIN, TROUBLES_MAX));
    const int calm = tw_fuzz_dice_percent(dice, LONG_DAYS)
                         ? CALM_S * TW_FUZZ_SECOND
                         : plan->lease + plan->cancel + 5 * TW_FUZZ_SECOND;
    int last = plan->last_moment;
    tw_fuzz_extend_until(plan, last + calm);
    /* Drawn last: days without it stay as they were. */
    if (tw_fuzz_dice_percent(dice, REQUEST_LIMITS))
        tw_fuzz_day_add(plan->day, "set rps %d", TW_FUZZ_ONE_OF(dice, 10, 15, 20, 30));
    if (tw_fuzz_dice_percent(dice, GANG_DAYS)) {
        plan->last_moment = last;
        tw_fuzz_draw_gangs(plan);
        last = plan->last_moment;
        tw_fuzz_extend_until(plan, last + calm);
    }
    if (tw_fuzz_dice_percent(dice, SUCCESSOR_DAYS)) {
        plan->last_moment = last;
        tw_fuzz_draw_late_news(plan);
        last = plan->last_moment;
        tw_fuzz_extend_until(plan, last + calm);
    }
    if (!tw_fuzz_dice_percent(dice, REPEAT_DAYS)) return;
    plan->last_moment = last;
    tw_fuzz_draw_repeats(plan);
    tw_fuzz_extend_until(plan, plan->last_moment + calm);
}

void tw_fuzz_draw(uint32_t seed, tw_fuzz_day *day) {
    tw_fuzz_plan plan = {.day = day};
    tw_fuzz_dice_init(&plan.dice, seed);
    if (tw_fuzz_dice_percent(&plan.dice, GUARANTEE_DAYS))
        tw_fuzz_draw_guarantee(&plan);
    else
        draw_troubled(&plan);
    tw_fuzz_day_add(day, "end %s", tw_fuzz_seconds_of(plan.last_moment).text);
    tw_fuzz_day_sort(day);
    tw_fuzz_dice_free(&plan.dice);
}
