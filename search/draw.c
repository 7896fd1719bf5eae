/* Draws a day from a seed: a fleet, jobs and their users, and troubles close to each other. */
#include "plan.h"
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

/* Moments of a day, in seconds. */
enum { FIRST_ANCHOR_S = 8, LAST_ANCHOR_S = 40, ANCHORS_APART_S = 30 };
/* Shares of days, in percent. */
enum {
    PROMISES = 10,
    FLOODS = 8,
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

tw_search_seconds tw_search_seconds_of(int hundredths) {
    tw_search_seconds seconds;
    snprintf(seconds.text, sizeof seconds.text, "%d.%02d", hundredths / TW_SEARCH_SECOND,
             hundredths % TW_SEARCH_SECOND);
    return seconds;
}

void tw_search_at(tw_search_plan *plan, int when, const char *format, ...) {
    va_list arguments;
    char *what = NULL;
    if (when < 0) when = 0;
    va_start(arguments, format);
    if (vasprintf(&what, format, arguments) < 0) abort();
    va_end(arguments);
    tw_search_day_add(plan->day, "at %s %s", tw_search_seconds_of(when).text, what);
    free(what);
    tw_search_until(plan, when);
}

void tw_search_until(tw_search_plan *plan, int when) {
    if (when > plan->last) plan->last = when;
}

int tw_search_anchor(tw_search_plan *plan) {
    return plan->anchor[tw_search_dice_range(&plan->dice, 0, plan->anchors - 1)];
}

int tw_search_near(tw_search_plan *plan, int moment) {
    static const int weights[] = {1, 3, 4, 4, 2, 1};
    tw_search_dice *dice = &plan->dice;
    switch (tw_search_dice_weighted(dice, weights, sizeof weights / sizeof *weights)) {
    case 0:
        return moment;
    case 1:
        return moment + tw_search_dice_range(dice, -10, 10);
    case 2:
        return moment + tw_search_dice_range(dice, -TW_SEARCH_SECOND, TW_SEARCH_SECOND);
    case 3:
        return moment + tw_search_dice_range(dice, 0, 4 * plan->term);
    case 4:
        return moment + tw_search_dice_range(dice, 0, plan->lease + plan->lease / 2);
    default:
        return moment + tw_search_dice_range(dice, -plan->lease / 2, plan->cancel);
    }
}

const char *tw_search_zone(int zone) {
    static const char *const names[TW_SEARCH_ZONES_MAX] = {"a", "b", "c"};
    return names[zone];
}

const char *tw_search_any_zone(tw_search_plan *plan) {
    return tw_search_zone(tw_search_dice_range(&plan->dice, 0, plan->zones - 1));
}

static void draw_anchors(tw_search_plan *plan) {
    tw_search_dice *dice = &plan->dice;
    static const int weights[] = {5, 3, 1};
    plan->anchors = 1 + (int)tw_search_dice_weighted(dice, weights, TW_SEARCH_ANCHORS_MAX);
    int moment = tw_search_dice_range(dice, FIRST_ANCHOR_S * TW_SEARCH_SECOND,
                                      LAST_ANCHOR_S * TW_SEARCH_SECOND);
    for (int i = 0; i < plan->anchors; i++) {
        plan->anchor[i] = moment;
        moment += tw_search_dice_range(dice, plan->term, ANCHORS_APART_S * TW_SEARCH_SECOND);
    }
}

static void draw_troubled(tw_search_plan *plan) {
    tw_search_dice *dice = &plan->dice;
    tw_search_draw_fleet(plan);
    tw_search_day_add(plan->day, "set seed %d", tw_search_dice_range(dice, 1, WORLD_SEED_MAX));
    draw_anchors(plan);
    if (tw_search_dice_percent(dice, FLOODS))
        tw_search_draw_flood(plan);
    else
        tw_search_draw_jobs(plan);
    tw_search_draw_habits(plan);
    tw_search_draw_troubles(plan, tw_search_dice_range(dice, TROUBLES_MIN, TROUBLES_MAX));
    const int calm = tw_search_dice_percent(dice, LONG_DAYS)
                         ? CALM_S * TW_SEARCH_SECOND
                         : plan->lease + plan->cancel + 5 * TW_SEARCH_SECOND;
    int last = plan->last;
    tw_search_until(plan, last + calm);
    /* Drawn last: days without it stay as they were. */
    if (tw_search_dice_percent(dice, REQUEST_LIMITS))
        tw_search_day_add(plan->day, "set rps %d", TW_SEARCH_ONE_OF(dice, 10, 15, 20, 30));
    if (tw_search_dice_percent(dice, GANG_DAYS)) {
        plan->last = last;
        tw_search_draw_gangs(plan);
        last = plan->last;
        tw_search_until(plan, last + calm);
    }
    if (tw_search_dice_percent(dice, SUCCESSOR_DAYS)) {
        plan->last = last;
        tw_search_draw_successors(plan);
        last = plan->last;
        tw_search_until(plan, last + calm);
    }
    if (!tw_search_dice_percent(dice, REPEAT_DAYS)) return;
    plan->last = last;
    tw_search_draw_repeats(plan);
    tw_search_until(plan, plan->last + calm);
}

void tw_search_draw(uint32_t seed, tw_search_day *day) {
    tw_search_plan plan = {.day = day};
    tw_search_dice_init(&plan.dice, seed);
    if (tw_search_dice_percent(&plan.dice, PROMISES))
        tw_search_draw_promise(&plan);
    else
        draw_troubled(&plan);
    tw_search_day_add(day, "end %s", tw_search_seconds_of(plan.last).text);
    tw_search_day_sort(day);
    tw_search_dice_free(&plan.dice);
}
