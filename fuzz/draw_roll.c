/* Generates a day whose faults occur during a rolling upgrade. All nodes start with the earlier
 * version. The first step precedes the first fault, and the last step follows the start of the
 * last fault. One or several nodes are upgraded at the same time. Some upgrades halt, are rolled
 * back, or are rolled back and then completed.
 *
 * Faults may outlast the last step; messages that they delay then arrive at upgraded nodes. */
#include "gang_lines.h"
#include "line.h"
#include "upgrade.h"
#include <limits.h>
#include <stdbool.h>
#include <string.h>

/* Percentages of days with these properties. */
enum { BY_LEADERSHIP = 60, LEADER_FIRST = 25 };
/* Times and durations in hundredths of a second. */
enum {
    FIRST_STEP_MIN =
        3 * TW_FUZZ_SECOND, /* the earliest start of an upgrade; a leader is elected by then */
    FIRST_FAULT_MIN = 8 * TW_FUZZ_SECOND, /* days with an earlier fault are delayed */
    LAST_STEP_DELAY_MIN = 10,             /* from the start of the last fault to the last step */
    LAST_STEP_DELAY_MAX = 12 * TW_FUZZ_SECOND,
    ROLLBACK_DELAY_MIN = 1 * TW_FUZZ_SECOND, /* from the last upgrade to the first downgrade, or
                                                from the last downgrade to the next upgrade */
    ROLLBACK_DELAY_MAX = 8 * TW_FUZZ_SECOND
};

typedef enum { COMPLETES, HALTS, ROLLS_BACK, ROLLS_BACK_THEN_COMPLETES, KINDS } roll_kind;
static const int kind_weights[KINDS] = {55, 15, 12, 18};

typedef struct {
    tw_fuzz_upgrade upgrade;
    tw_fuzz_upgrade_choice choice;
    int first_fault_at, last_fault_at; /* start times of the first and last fault of the day */
    int first_step_at, last_step_at;   /* times of the first and last step of the upgrade */
} roll_plan;

/* Returns whether a line injects a fault, that is, any event other than a user request. */
static bool is_fault(const char *line) {
    static const char *const users[] = {" submit ",     " cancel ",      " poll ",
                                        " closelooks ", " cancelatend ", " oddrequests "};
    if (!tw_fuzz_line_starts_with(line, "at ")) return false;
    const char *command = strchr(line + strlen("at "), ' ');
    for (size_t i = 0; i < sizeof users / sizeof *users; i++)
        if (tw_fuzz_line_starts_with(command, users[i])) return false;
    return true;
}

/* Finds the times of the first and last fault. For a day without faults, both are set to the middle
 * of the day. */
static void find_faults(roll_plan *roll) {
    const tw_fuzz_day *day = roll->upgrade.plan.day;
    roll->first_fault_at = INT_MAX;
    roll->last_fault_at = 0;
    for (size_t i = 0; i < day->count; i++) {
        if (!is_fault(day->lines[i])) continue;
        const int moment = tw_fuzz_line_moment(day->lines[i]);
        if (moment < roll->first_fault_at) roll->first_fault_at = moment;
        if (moment > roll->last_fault_at) roll->last_fault_at = moment;
    }
    if (roll->first_fault_at == INT_MAX)
        roll->first_fault_at = roll->last_fault_at = roll->upgrade.end / 2;
}

/* Delays all events so that a step of the upgrade fits before the first fault. */
static void delay_day(roll_plan *roll) {
    tw_fuzz_day *day = roll->upgrade.plan.day;
    const int delay = FIRST_FAULT_MIN - roll->first_fault_at;
    if (delay <= 0) return;
    for (size_t i = 0; i < day->count; i++)
        if (tw_fuzz_line_starts_with(day->lines[i], "at "))
            tw_fuzz_line_delay(&day->lines[i], delay);
    roll->first_fault_at += delay;
    roll->last_fault_at += delay;
    roll->upgrade.end += delay;
}

/* Adds `steps` steps: the first at `from`, the last at `until`, the others at random times between
 * them, one or several at the same time. A single step is at `from`. */
static void draw_steps(roll_plan *roll, const char *command, int steps, int from, int until) {
    tw_fuzz_rng *rng = &roll->upgrade.plan.rng;
    int batch_size = TW_FUZZ_ONE_OF(rng, 1, 1, 1, 2, 3);
    if (batch_size >= steps) batch_size = steps > 1 ? steps - 1 : 1;
    int when = from;
    for (int step = 0; step < steps; step++) {
        if (step && step % batch_size == 0)
            when = step + batch_size >= steps ? until : tw_fuzz_rng_range(rng, when, until);
        tw_fuzz_upgrade_draw_step(&roll->upgrade, command, when, step, &roll->choice);
    }
    roll->choice.leader_first = false; /* applies to the first step of a day only */
}

/* Adds upgrades of some nodes and then a downgrade for each of them. Returns the time by which the
 * last downgrade begins. */
static int draw_rollback(roll_plan *roll, int until) {
    tw_fuzz_rng *rng = &roll->upgrade.plan.rng;
    const int steps = tw_fuzz_rng_range(rng, 1, roll->upgrade.plan.node_count - 1);
    const int upgraded_at = tw_fuzz_rng_range(rng, roll->first_step_at, until);
    draw_steps(roll, "upgrade", steps, roll->first_step_at, upgraded_at);
    const int rollback_from =
        upgraded_at + tw_fuzz_rng_range(rng, ROLLBACK_DELAY_MIN, ROLLBACK_DELAY_MAX);
    const int rolled_back_at =
        tw_fuzz_rng_range(rng, rollback_from, rollback_from > until ? rollback_from : until);
    draw_steps(roll, "downgrade", steps, rollback_from, rolled_back_at);
    return rolled_back_at;
}

/* Adds the upgrades and downgrades of the day. Returns whether all nodes run this version at the
 * end. */
static bool draw_upgrades(roll_plan *roll) {
    tw_fuzz_rng *rng = &roll->upgrade.plan.rng;
    const int nodes = roll->upgrade.plan.node_count;
    const int middle = (roll->first_step_at + roll->last_step_at) / 2;
    /* The step that upgrades the leader has no effect if no node leads at that time. Then one node
     * is left, which an additional last step upgrades. */
    const bool step_may_be_left = roll->choice.by_leadership && roll->choice.leader_first;
    switch ((roll_kind)tw_fuzz_rng_weighted(rng, kind_weights, KINDS)) {
    case HALTS:
        draw_steps(roll, "upgrade", tw_fuzz_rng_range(rng, 1, nodes - 1), roll->first_step_at,
                   tw_fuzz_rng_range(rng, roll->first_step_at, roll->last_step_at));
        return false;
    case ROLLS_BACK:
        draw_rollback(roll, roll->last_step_at);
        return false;
    case ROLLS_BACK_THEN_COMPLETES: {
        const int upgrade_from = draw_rollback(roll, middle) +
                                 tw_fuzz_rng_range(rng, ROLLBACK_DELAY_MIN, ROLLBACK_DELAY_MAX);
        draw_steps(roll, "upgrade", nodes, upgrade_from,
                   upgrade_from > roll->last_step_at ? upgrade_from : roll->last_step_at);
        return true;
    }
    default:
        draw_steps(roll, "upgrade", nodes, roll->first_step_at, roll->last_step_at);
        if (step_may_be_left)
            tw_fuzz_upgrade_draw_step(&roll->upgrade, "upgrade", roll->last_step_at, nodes - 1,
                                      &roll->choice);
        return true;
    }
}

/* Returns the time of the last `at` line. */
static int read_last_moment(const tw_fuzz_day *day) {
    int last = 0;
    for (size_t i = 0; i < day->count; i++) {
        if (!tw_fuzz_line_starts_with(day->lines[i], "at ")) continue;
        const int moment = tw_fuzz_line_moment(day->lines[i]);
        if (moment > last) last = moment;
    }
    return last;
}

/* Delays the end of the day by as much as its last `at` line now exceeds `last_before`. */
static void delay_end(roll_plan *roll, int last_before) {
    tw_fuzz_day *day = roll->upgrade.plan.day;
    const int delay = read_last_moment(day) - last_before;
    for (size_t i = 0; i < day->count; i++)
        if (tw_fuzz_line_starts_with(day->lines[i], "end ")) {
            tw_fuzz_line_replace(
                &day->lines[i], "end %s",
                tw_fuzz_format_seconds(roll->upgrade.end + (delay > 0 ? delay : 0)).text);
        }
}

void tw_fuzz_draw_roll(uint32_t seed, tw_fuzz_day *day) {
    roll_plan roll;
    tw_fuzz_upgrade_begin(&roll.upgrade, seed, TW_FUZZ_ROLL_STREAM, day);
    tw_fuzz_rng *rng = &roll.upgrade.plan.rng;
    for (int i = 0; i < roll.upgrade.plan.node_count; i++) tw_fuzz_day_add(day, "old tray-%d", i);
    find_faults(&roll);
    delay_day(&roll);
    const int last_line = read_last_moment(day);
    roll.choice.by_leadership = tw_fuzz_rng_percent(rng, BY_LEADERSHIP);
    roll.choice.leader_first = tw_fuzz_rng_percent(rng, LEADER_FIRST);
    roll.first_step_at = tw_fuzz_rng_range(rng, FIRST_STEP_MIN, roll.first_fault_at - 1);
    roll.last_step_at =
        roll.last_fault_at + tw_fuzz_rng_range(rng, LAST_STEP_DELAY_MIN, LAST_STEP_DELAY_MAX);
    roll.upgrade.plan.last_moment = 0;
    if (draw_upgrades(&roll))
        tw_fuzz_draw_gangs_after(&roll.upgrade, roll.upgrade.plan.last_moment);
    else
        tw_fuzz_drop_gangs(day);
    delay_end(&roll, last_line);
    tw_fuzz_upgrade_end(&roll.upgrade);
}
