/* The troubles of a day, each of a kind that the stand-ins know, close to each other, to elections
 * and to what users do. */
#include "plan.h"
#include <stdbool.h>
#include <stdio.h>

/* Percent of the troubles of a node that strike the one that leads by then. */
enum { OF_LEADER = 70, OF_WORKERS_LEADER = 60 };
enum { HELD = 40 }; /* percent of cuts and hangs that hold messages */
/* Hundredths of a second. */
enum {
    BLINK_MIN = 5,
    BLINK_MAX = 50,
    BACK_MIN = 20,
    BACK_MAX = 800,
    NOTICE_MIN = 50,
    NOTICE_MAX = 1000
};

/* How a trouble is drawn: it begins at `when` and adds one line or a few. */
typedef void draw_function(tw_fuzz_plan *plan, int when);

/* A blink, an election, about a lease, about the time of a cancellation, long. */
static int duration(tw_fuzz_plan *plan) {
    static const int weights[] = {2, 4, 6, 3, 2};
    tw_fuzz_dice *dice = &plan->dice;
    switch (tw_fuzz_dice_weighted(dice, weights, sizeof weights / sizeof *weights)) {
    case 0:
        return tw_fuzz_dice_range(dice, BLINK_MIN, BLINK_MAX);
    case 1:
        return tw_fuzz_dice_range(dice, plan->term / 2, 4 * plan->term);
    case 2:
        return tw_fuzz_dice_range(dice, plan->lease / 2, plan->lease * 3 / 2);
    case 3:
        return tw_fuzz_dice_range(dice, plan->cancel * 4 / 5, plan->cancel * 3 / 2);
    default:
        return tw_fuzz_dice_range(dice, plan->lease * 3 / 2, plan->lease * 3);
    }
}

static void line_for(tw_fuzz_plan *plan, int when, const char *what, int length) {
    tw_fuzz_at(plan, when, "%s %s", what, tw_fuzz_seconds_of(length).text);
    tw_fuzz_until(plan, when + length);
}

/* A node, mostly the one that leads by then. */
static tw_fuzz_seconds node_name(tw_fuzz_plan *plan, int leader_percent) {
    tw_fuzz_seconds name = {"leader"};
    if (tw_fuzz_dice_percent(&plan->dice, leader_percent)) return name;
    snprintf(name.text, sizeof name.text, "tray-%d",
             tw_fuzz_dice_range(&plan->dice, 0, plan->nodes - 1));
    return name;
}

/* A machine, also one that is rented during the day. */
static int machine(tw_fuzz_plan *plan) {
    return tw_fuzz_dice_range(&plan->dice, 0, plan->machines + 2);
}

static void node_for(tw_fuzz_plan *plan, int when, const char *what, int leader_percent) {
    const int length = duration(plan);
    const tw_fuzz_seconds name = node_name(plan, leader_percent);
    tw_fuzz_at(plan, when, "%s %s %s", what, name.text, tw_fuzz_seconds_of(length).text);
    tw_fuzz_until(plan, when + length);
}

static void machine_for(tw_fuzz_plan *plan, int when, const char *what, int length) {
    tw_fuzz_at(plan, when, "%s %d %s", what, machine(plan), tw_fuzz_seconds_of(length).text);
    tw_fuzz_until(plan, when + length);
}

static void draw_kill(tw_fuzz_plan *plan, int when) { node_for(plan, when, "kill", OF_LEADER); }
static void draw_nostate(tw_fuzz_plan *plan, int when) {
    node_for(plan, when, "nostate", OF_LEADER);
}
static void draw_alone(tw_fuzz_plan *plan, int when) { node_for(plan, when, "isolate", OF_LEADER); }
static void draw_noworkers(tw_fuzz_plan *plan, int when) {
    node_for(plan, when, "noworkers", OF_WORKERS_LEADER);
}
static void draw_outage(tw_fuzz_plan *plan, int when) {
    line_for(plan, when, "outage", duration(plan));
}
static void draw_refusepeers(tw_fuzz_plan *plan, int when) {
    line_for(plan, when, "refusepeers", duration(plan));
}
static void draw_latetxn(tw_fuzz_plan *plan, int when) {
    line_for(plan, when, "latetxn", duration(plan));
}
static void draw_hang(tw_fuzz_plan *plan, int when) {
    machine_for(plan, when, "hang", duration(plan));
}
static void draw_deaf(tw_fuzz_plan *plan, int when) {
    machine_for(plan, when, "unresponsive", duration(plan));
}
static void draw_lateorders(tw_fuzz_plan *plan, int when) {
    machine_for(plan, when, "latecommand", duration(plan));
}
static void draw_dupreport(tw_fuzz_plan *plan, int when) {
    machine_for(plan, when, "dupheartbeat", duration(plan));
}
static void draw_holdreport(tw_fuzz_plan *plan, int when) {
    machine_for(plan, when, "holdheartbeat", duration(plan));
}

static void draw_kill_all(tw_fuzz_plan *plan, int when) {
    line_for(plan, when, "kill all", duration(plan));
}

/* One leader after the other ends, each about when the next has begun. */
static void draw_kills(tw_fuzz_plan *plan, int when) {
    const int count = tw_fuzz_dice_range(&plan->dice, 2, 5);
    for (int i = 0; i < count; i++) {
        tw_fuzz_at(plan, when, "kill leader %s",
                   tw_fuzz_seconds_of(tw_fuzz_dice_range(&plan->dice, BACK_MIN, BACK_MAX)).text);
        when += tw_fuzz_dice_range(&plan->dice, plan->term, 4 * plan->term);
    }
}

static void draw_island(tw_fuzz_plan *plan, int when) {
    const int length = duration(plan);
    tw_fuzz_at(plan, when, "isolatezone %s %s", tw_fuzz_any_zone(plan),
               tw_fuzz_seconds_of(length).text);
    tw_fuzz_until(plan, when + length);
}

static void draw_cut(tw_fuzz_plan *plan, int when) {
    const int length = duration(plan);
    if (plan->zones == 1) {
        draw_refusepeers(plan, when);
        return;
    }
    const int first = tw_fuzz_dice_range(&plan->dice, 0, plan->zones - 1);
    const int second = (first + 1) % plan->zones;
    tw_fuzz_at(plan, when, "cut %s %s %s%s", tw_fuzz_zone(first), tw_fuzz_zone(second),
               tw_fuzz_seconds_of(length).text,
               tw_fuzz_dice_percent(&plan->dice, HELD) ? " hold" : "");
    tw_fuzz_until(plan, when + length);
}

static void draw_slowstate(tw_fuzz_plan *plan, int when) {
    const int length = duration(plan);
    const int delay = TW_FUZZ_ONE_OF(&plan->dice, 6, 20, 40, 70, 120);
    tw_fuzz_at(plan, when, "slowstate %s %s", tw_fuzz_seconds_of(delay).text,
               tw_fuzz_seconds_of(length).text);
    tw_fuzz_until(plan, when + length);
}

static void draw_losetxn(tw_fuzz_plan *plan, int when) {
    tw_fuzz_at(plan, when, "losetxn %d", TW_FUZZ_ONE_OF(&plan->dice, 1, 1, 2, 3, 5, 8));
}

/* Some machines at once; with what they had sent before held back now and then. */
static void draw_hangs(tw_fuzz_plan *plan, int when) {
    const int length = duration(plan);
    const bool held = tw_fuzz_dice_percent(&plan->dice, HELD);
    const int count = tw_fuzz_dice_range(&plan->dice, 2, plan->machines + 2);
    for (int i = 0; i < count; i++) {
        if (held)
            tw_fuzz_at(plan, when - plan->report, "holdheartbeat %d %s", i,
                       tw_fuzz_seconds_of(length).text);
        tw_fuzz_at(plan, when, "hang %d %s", i, tw_fuzz_seconds_of(length).text);
    }
    tw_fuzz_until(plan, when + length);
}

static void draw_take(tw_fuzz_plan *plan, int when) {
    if (tw_fuzz_dice_half(&plan->dice))
        tw_fuzz_at(plan, when, "take %d", machine(plan));
    else
        machine_for(plan, when, "notice", tw_fuzz_dice_range(&plan->dice, NOTICE_MIN, NOTICE_MAX));
}

static void draw_sick(tw_fuzz_plan *plan, int when) {
    if (tw_fuzz_dice_half(&plan->dice))
        tw_fuzz_at(plan, when, "faulty %d", machine(plan));
    else
        tw_fuzz_at(plan, when, "slow %d %d", machine(plan), TW_FUZZ_ONE_OF(&plan->dice, 2, 4));
}

static void draw_capacity(tw_fuzz_plan *plan, int when) {
    if (tw_fuzz_dice_half(&plan->dice)) {
        tw_fuzz_at(plan, when, "neverup %d", TW_FUZZ_ONE_OF(&plan->dice, 1, 2));
        return;
    }
    const int length = duration(plan);
    tw_fuzz_at(plan, when, "refuse 1");
    tw_fuzz_at(plan, when + length, "refuse 0");
}

static tw_fuzz_seconds share(tw_fuzz_plan *plan) {
    return tw_fuzz_seconds_of(TW_FUZZ_ONE_OF(&plan->dice, 5, 10, 20, 35, 60, 100));
}

static void share_for(tw_fuzz_plan *plan, int when, const char *what, const char *more) {
    const int length = duration(plan);
    const tw_fuzz_seconds part = share(plan);
    tw_fuzz_at(plan, when, "%s %s %s%s", what, part.text, tw_fuzz_seconds_of(length).text, more);
    tw_fuzz_until(plan, when + length);
}

static void draw_latewrites(tw_fuzz_plan *plan, int when) {
    share_for(plan, when, "latewrites", "");
}
static void draw_lostwrites(tw_fuzz_plan *plan, int when) {
    share_for(plan, when, "lostwrites", "");
}
static void draw_latecommands(tw_fuzz_plan *plan, int when) {
    share_for(plan, when, "latecommands", "");
}
static void draw_latereports(tw_fuzz_plan *plan, int when) {
    share_for(plan, when, "lateheartbeats", tw_fuzz_dice_half(&plan->dice) ? " next" : "");
}
static void draw_mute(tw_fuzz_plan *plan, int when) {
    machine_for(plan, when, "mute", duration(plan));
}
static void draw_slownode(tw_fuzz_plan *plan, int when) {
    node_for(plan, when, "slownode", OF_LEADER);
}
static void draw_bootfast(tw_fuzz_plan *plan, int when) {
    line_for(plan, when, "bootfast", duration(plan));
}
static void draw_nocloud(tw_fuzz_plan *plan, int when) {
    line_for(plan, when, "nocloud", duration(plan));
}

static void draw_cutstate(tw_fuzz_plan *plan, int when) {
    const int length = duration(plan);
    const tw_fuzz_seconds name = node_name(plan, OF_LEADER);
    tw_fuzz_at(plan, when, "cutstate %s %s %s", name.text, tw_fuzz_seconds_of(length).text,
               tw_fuzz_dice_half(&plan->dice) ? "hang" : "refuse");
    tw_fuzz_until(plan, when + length);
}

/* Users call off some jobs at once, and machines of theirs hang now and then. */
static void draw_cancelnow(tw_fuzz_plan *plan, int when) {
    const int count = tw_fuzz_dice_range(&plan->dice, 1, 6);
    if (tw_fuzz_dice_half(&plan->dice)) {
        tw_fuzz_at(plan, when, "cancelnow %d", count);
        return;
    }
    const int length = duration(plan);
    tw_fuzz_at(plan, when, "cancelnow %d %s", count, tw_fuzz_seconds_of(length).text);
    tw_fuzz_until(plan, when + length);
}

static const struct {
    int weight;
    draw_function *draw;
} kinds[] = {
    {8, draw_kill},         {2, draw_kill_all},    {4, draw_kills},      {6, draw_outage},
    {5, draw_nostate},      {6, draw_alone},       {6, draw_island},     {6, draw_noworkers},
    {5, draw_refusepeers},  {6, draw_cut},         {5, draw_slowstate},  {4, draw_losetxn},
    {4, draw_latetxn},      {5, draw_hang},        {3, draw_hangs},      {4, draw_deaf},
    {3, draw_lateorders},   {4, draw_dupreport},   {4, draw_holdreport}, {4, draw_take},
    {2, draw_sick},         {2, draw_capacity},    {5, draw_latewrites}, {5, draw_lostwrites},
    {4, draw_latecommands}, {5, draw_latereports}, {3, draw_mute},       {4, draw_slownode},
    {3, draw_bootfast},     {2, draw_nocloud},     {5, draw_cutstate},   {5, draw_cancelnow},
};
enum { KINDS = sizeof kinds / sizeof *kinds };

void tw_fuzz_draw_troubles(tw_fuzz_plan *plan, int count) {
    int weights[KINDS];
    for (size_t i = 0; i < KINDS; i++) weights[i] = kinds[i].weight;
    for (int i = 0; i < count; i++) {
        const size_t kind = tw_fuzz_dice_weighted(&plan->dice, weights, KINDS);
        const int when = tw_fuzz_near(plan, tw_fuzz_anchor(plan));
        kinds[kind].draw(plan, when < TW_FUZZ_SECOND ? TW_FUZZ_SECOND : when);
    }
}
