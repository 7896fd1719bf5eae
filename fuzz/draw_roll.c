/* A day whose troubles come amid an upgrade: all nodes begin as ones of the version in production;
 * the first step comes before the first trouble, the last one after the last trouble has begun. One
 * or several nodes are upgraded at once. Some upgrades halt, go back, or go back and forward again.
 *
 * Troubles that last reach beyond the last step, and what was held up by them arrives there. */
#include "gang_lines.h"
#include "line.h"
#include "upgrade.h"
#include <limits.h>
#include <stdbool.h>
#include <string.h>

/* Shares in percent. */
enum { BY_LEADERSHIP = 60, LEADER_FIRST = 25 };
/* Hundredths of a second. */
enum {
    FIRST_STEP = 3 * TW_FUZZ_SECOND,    /* the first moment of an upgrade: a node leads by then */
    FIRST_TROUBLE = 8 * TW_FUZZ_SECOND, /* days whose troubles begin sooner begin later */
    LAST_AFTER_MIN = 10,                /* from the last trouble's begin to the last step */
    LAST_AFTER_MAX = 12 * TW_FUZZ_SECOND,
    TURN_MIN = 1 * TW_FUZZ_SECOND, /* from the last step one way to the first one back */
    TURN_MAX = 8 * TW_FUZZ_SECOND
};

typedef enum { STRAIGHT, HALTS, GOES_BACK, BACK_AND_FORTH, KINDS } roll_kind;
static const int kind_weights[KINDS] = {55, 15, 12, 18};

typedef struct {
    tw_fuzz_upgrade upgrade;
    tw_fuzz_upgrade_choice choice;
    int first_trouble, last_trouble; /* when they begin */
    int first, last;                 /* the upgrade goes on between these moments */
} drawn_roll;

/* Whether a line is a trouble: not what users do. */
static bool is_trouble(const char *line) {
    static const char *const users[] = {" submit ",     " cancel ",      " poll ",
                                        " closelooks ", " cancelatend ", " oddrequests "};
    if (!tw_fuzz_line_is(line, "at ")) return false;
    const char *command = strchr(line + strlen("at "), ' ');
    for (size_t i = 0; i < sizeof users / sizeof *users; i++)
        if (tw_fuzz_line_is(command, users[i])) return false;
    return true;
}

/* A day that has no trouble is one with a trouble in the middle. */
static void read_troubles(drawn_roll *roll) {
    const tw_fuzz_day *day = roll->upgrade.plan.day;
    roll->first_trouble = INT_MAX;
    roll->last_trouble = 0;
    for (size_t i = 0; i < day->count; i++) {
        if (!is_trouble(day->lines[i])) continue;
        const int moment = tw_fuzz_line_moment(day->lines[i]);
        if (moment < roll->first_trouble) roll->first_trouble = moment;
        if (moment > roll->last_trouble) roll->last_trouble = moment;
    }
    if (roll->first_trouble == INT_MAX)
        roll->first_trouble = roll->last_trouble = roll->upgrade.end / 2;
}

/* Moves the whole day so that there is time for a step before the first trouble. */
static void delay_day(drawn_roll *roll) {
    tw_fuzz_day *day = roll->upgrade.plan.day;
    const int later = FIRST_TROUBLE - roll->first_trouble;
    if (later <= 0) return;
    for (size_t i = 0; i < day->count; i++)
        if (tw_fuzz_line_is(day->lines[i], "at ")) tw_fuzz_line_delay(&day->lines[i], later);
    roll->first_trouble += later;
    roll->last_trouble += later;
    roll->upgrade.end += later;
}

/* So many steps: the first at `from`, the last at `until` unless all are taken at once, which only
 * a single one is; between them at any time, one or several at once. */
static void draw_steps(drawn_roll *roll, const char *command, int steps, int from, int until) {
    tw_fuzz_dice *dice = &roll->upgrade.plan.dice;
    int together = TW_FUZZ_ONE_OF(dice, 1, 1, 1, 2, 3);
    if (together >= steps) together = steps > 1 ? steps - 1 : 1;
    int when = from;
    for (int step = 0; step < steps; step++) {
        if (step && step % together == 0)
            when = step + together >= steps ? until : tw_fuzz_dice_range(dice, when, until);
        tw_fuzz_upgrade_draw_step(&roll->upgrade, command, when, step, &roll->choice);
    }
    roll->choice.leader_first = false; /* only the very first step of a day */
}

/* Some nodes are upgraded, and then they all go back; when the last one does. */
static int draw_way_back(drawn_roll *roll, int until) {
    tw_fuzz_dice *dice = &roll->upgrade.plan.dice;
    const int steps = tw_fuzz_dice_range(dice, 1, roll->upgrade.plan.node_count - 1);
    const int turn = tw_fuzz_dice_range(dice, roll->first, until);
    draw_steps(roll, "upgrade", steps, roll->first, turn);
    const int back = turn + tw_fuzz_dice_range(dice, TURN_MIN, TURN_MAX);
    const int backed = tw_fuzz_dice_range(dice, back, back > until ? back : until);
    draw_steps(roll, "downgrade", steps, back, backed);
    return backed;
}

/* Whether all nodes are of this version in the end. */
static bool draw_upgrades(drawn_roll *roll) {
    tw_fuzz_dice *dice = &roll->upgrade.plan.dice;
    const int nodes = roll->upgrade.plan.node_count;
    const int middle = (roll->first + roll->last) / 2;
    /* Nobody may lead when the leader's turn is: then one node is left for the last step. */
    const bool one_may_be_left = roll->choice.by_leadership && roll->choice.leader_first;
    switch ((roll_kind)tw_fuzz_dice_weighted(dice, kind_weights, KINDS)) {
    case HALTS:
        draw_steps(roll, "upgrade", tw_fuzz_dice_range(dice, 1, nodes - 1), roll->first,
                   tw_fuzz_dice_range(dice, roll->first, roll->last));
        return false;
    case GOES_BACK:
        draw_way_back(roll, roll->last);
        return false;
    case BACK_AND_FORTH: {
        const int again =
            draw_way_back(roll, middle) + tw_fuzz_dice_range(dice, TURN_MIN, TURN_MAX);
        draw_steps(roll, "upgrade", nodes, again, again > roll->last ? again : roll->last);
        return true;
    }
    default:
        draw_steps(roll, "upgrade", nodes, roll->first, roll->last);
        if (one_may_be_left)
            tw_fuzz_upgrade_draw_step(&roll->upgrade, "upgrade", roll->last, nodes - 1,
                                      &roll->choice);
        return true;
    }
}

/* The last moment of the day's lines. */
static int read_last_moment(const tw_fuzz_day *day) {
    int last = 0;
    for (size_t i = 0; i < day->count; i++) {
        if (!tw_fuzz_line_is(day->lines[i], "at ")) continue;
        const int moment = tw_fuzz_line_moment(day->lines[i]);
        if (moment > last) last = moment;
    }
    return last;
}

/* Puts the end off by as much as the last line comes later than in the day as drawn. */
static void delay_end(drawn_roll *roll, int last_before) {
    tw_fuzz_day *day = roll->upgrade.plan.day;
    const int later = read_last_moment(day) - last_before;
    for (size_t i = 0; i < day->count; i++)
        if (tw_fuzz_line_is(day->lines[i], "end ")) {
            tw_fuzz_line_set(&day->lines[i], "end %s",
                             tw_fuzz_seconds_of(roll->upgrade.end + (later > 0 ? later : 0)).text);
        }
}

void tw_fuzz_draw_roll(uint32_t seed, tw_fuzz_day *day) {
    drawn_roll roll;
    tw_fuzz_upgrade_begin(&roll.upgrade, seed, TW_FUZZ_ROLL_STREAM, day);
    tw_fuzz_dice *dice = &roll.upgrade.plan.dice;
    for (int i = 0; i < roll.upgrade.plan.node_count; i++) tw_fuzz_day_add(day, "old tray-%d", i);
    read_troubles(&roll);
    delay_day(&roll);
    const int last_line = read_last_moment(day);
    roll.choice.by_leadership = tw_fuzz_dice_percent(dice, BY_LEADERSHIP);
    roll.choice.leader_first = tw_fuzz_dice_percent(dice, LEADER_FIRST);
    roll.first = tw_fuzz_dice_range(dice, FIRST_STEP, roll.first_trouble - 1);
    roll.last = roll.last_trouble + tw_fuzz_dice_range(dice, LAST_AFTER_MIN, LAST_AFTER_MAX);
    roll.upgrade.plan.last_moment = 0;
    if (draw_upgrades(&roll))
        tw_fuzz_draw_gangs_after(&roll.upgrade, roll.upgrade.plan.last_moment);
    else
        tw_fuzz_drop_gangs(day);
    delay_end(&roll, last_line);
    tw_fuzz_upgrade_end(&roll.upgrade);
}
