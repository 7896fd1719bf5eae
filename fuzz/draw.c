/* Generates a day from a seed: a fleet, jobs, user requests, and faults that are close in time. */
#include "plan.h"
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

/* Range of the first anchor, and the longest time between two anchors, in seconds. */
enum { FIRST_ANCHOR_S = 8, LAST_ANCHOR_S = 40, ANCHOR_INTERVAL_MAX_S = 30 };
/* Percentages of days with these properties. */
enum {
    GUARANTEE_PERCENT = 10,
    FLOOD_PERCENT = 8,
    LONG_RECOVERY_PERCENT = 15,
    REQUEST_LIMIT_PERCENT = 15,
    GANG_PERCENT = 50,
    STALE_MESSAGES_PERCENT = 25,
    REPEATED_COMMANDS_PERCENT = 25
};
enum { WORLD_SEED_MAX = 9999 };
enum { FAULTS_MIN = 2, FAULTS_MAX = 6 };
/* Time after the last fault of a long day; longer than the liveness rules allow a job to wait. */
enum { LONG_RECOVERY_S = 110 };

tw_fuzz_word tw_fuzz_format_seconds(int hundredths) {
    tw_fuzz_word seconds;
    snprintf(seconds.text, sizeof seconds.text, "%d.%02d", hundredths / TW_FUZZ_SECOND,
             hundredths % TW_FUZZ_SECOND);
    return seconds;
}

void tw_fuzz_add_event(tw_fuzz_plan *plan, int when, const char *format, ...) {
    va_list arguments;
    char *command = NULL;
    if (when < 0) when = 0;
    va_start(arguments, format);
    if (vasprintf(&command, format, arguments) < 0) abort();
    va_end(arguments);
    tw_fuzz_day_add(plan->day, "at %s %s", tw_fuzz_format_seconds(when).text, command);
    free(command);
    tw_fuzz_extend_day(plan, when);
}

void tw_fuzz_extend_day(tw_fuzz_plan *plan, int when) {
    if (when > plan->last_moment) plan->last_moment = when;
}

int tw_fuzz_draw_anchor(tw_fuzz_plan *plan) {
    return plan->anchors[tw_fuzz_rng_range(&plan->rng, 0, plan->anchor_count - 1)];
}

int tw_fuzz_draw_moment_near(tw_fuzz_plan *plan, int moment) {
    static const int weights[] = {1, 3, 4, 4, 2, 1};
    tw_fuzz_rng *rng = &plan->rng;
    switch (tw_fuzz_rng_weighted(rng, weights, sizeof weights / sizeof *weights)) {
    case 0:
        return moment;
    case 1:
        return moment + tw_fuzz_rng_range(rng, -10, 10);
    case 2:
        return moment + tw_fuzz_rng_range(rng, -TW_FUZZ_SECOND, TW_FUZZ_SECOND);
    case 3:
        return moment + tw_fuzz_rng_range(rng, 0, 4 * plan->election_time);
    case 4:
        return moment + tw_fuzz_rng_range(rng, 0, plan->lease + plan->lease / 2);
    default:
        return moment + tw_fuzz_rng_range(rng, -plan->lease / 2, plan->cancel);
    }
}

const char *tw_fuzz_zone_name(int zone) {
    static const char *const names[TW_FUZZ_ZONES_MAX] = {"a", "b", "c"};
    return names[zone];
}

const char *tw_fuzz_draw_zone(tw_fuzz_plan *plan) {
    return tw_fuzz_zone_name(tw_fuzz_rng_range(&plan->rng, 0, plan->zone_count - 1));
}

static void draw_anchors(tw_fuzz_plan *plan) {
    tw_fuzz_rng *rng = &plan->rng;
    static const int weights[] = {5, 3, 1};
    plan->anchor_count = 1 + (int)tw_fuzz_rng_weighted(rng, weights, TW_FUZZ_ANCHORS_MAX);
    int moment =
        tw_fuzz_rng_range(rng, FIRST_ANCHOR_S * TW_FUZZ_SECOND, LAST_ANCHOR_S * TW_FUZZ_SECOND);
    for (int i = 0; i < plan->anchor_count; i++) {
        plan->anchors[i] = moment;
        moment +=
            tw_fuzz_rng_range(rng, plan->election_time, ANCHOR_INTERVAL_MAX_S * TW_FUZZ_SECOND);
    }
}

static void draw_fault_day(tw_fuzz_plan *plan) {
    tw_fuzz_rng *rng = &plan->rng;
    tw_fuzz_draw_fleet(plan);
    tw_fuzz_day_add(plan->day, "set seed %d", tw_fuzz_rng_range(rng, 1, WORLD_SEED_MAX));
    draw_anchors(plan);
    if (tw_fuzz_rng_percent(rng, FLOOD_PERCENT))
        tw_fuzz_draw_flood(plan);
    else
        tw_fuzz_draw_jobs(plan);
    tw_fuzz_draw_user_behavior(plan);
    tw_fuzz_draw_faults(plan, tw_fuzz_rng_range(rng, FAULTS_MIN, FAULTS_MAX));
    const int recovery = tw_fuzz_rng_percent(rng, LONG_RECOVERY_PERCENT)
                             ? LONG_RECOVERY_S * TW_FUZZ_SECOND
                             : plan->lease + plan->cancel + 5 * TW_FUZZ_SECOND;
    int last = plan->last_moment;
    tw_fuzz_extend_day(plan, last + recovery);
    /* Later additions take their random numbers last, so that days without them do not change. */
    if (tw_fuzz_rng_percent(rng, REQUEST_LIMIT_PERCENT))
        tw_fuzz_day_add(plan->day, "set rps %d", TW_FUZZ_ONE_OF(rng, 10, 15, 20, 30));
    if (tw_fuzz_rng_percent(rng, GANG_PERCENT)) {
        plan->last_moment = last;
        tw_fuzz_draw_gangs(plan);
        last = plan->last_moment;
        tw_fuzz_extend_day(plan, last + recovery);
    }
    if (tw_fuzz_rng_percent(rng, STALE_MESSAGES_PERCENT)) {
        plan->last_moment = last;
        tw_fuzz_draw_stale_messages(plan);
        last = plan->last_moment;
        tw_fuzz_extend_day(plan, last + recovery);
    }
    if (!tw_fuzz_rng_percent(rng, REPEATED_COMMANDS_PERCENT)) return;
    plan->last_moment = last;
    tw_fuzz_draw_repeated_commands(plan);
    tw_fuzz_extend_day(plan, plan->last_moment + recovery);
}

void tw_fuzz_draw_day(uint32_t seed, tw_fuzz_day *day) {
    tw_fuzz_plan plan = {.day = day};
    tw_fuzz_rng_init(&plan.rng, seed);
    if (tw_fuzz_rng_percent(&plan.rng, GUARANTEE_PERCENT))
        tw_fuzz_draw_guarantee_day(&plan);
    else
        draw_fault_day(&plan);
    tw_fuzz_day_add(day, "end %s", tw_fuzz_format_seconds(plan.last_moment).text);
    tw_fuzz_day_sort(day);
    tw_fuzz_rng_free(&plan.rng);
}
