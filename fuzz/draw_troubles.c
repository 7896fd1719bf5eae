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
static int draw_duration(tw_fuzz_plan *plan) {
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

static void add_line_for(tw_fuzz_plan *plan, int when, const char *what, int length) {
    tw_fuzz_add_at(plan, when, "%s %s", what, tw_fuzz_seconds_of(length).text);
    tw_fuzz_extend_until(plan, when + length);
}

/* A node, mostly the one that leads by then. */
static tw_fuzz_seconds draw_node_name(tw_fuzz_plan *plan, int leader_percent) {
    tw_fuzz_seconds name = {"leader"};
    if (tw_fuzz_dice_percent(&plan->dice, leader_percent)) return name;
    snprintf(name.text, sizeof name.text, "tray-%d",
             tw_fuzz_dice_range(&plan->dice, 0, plan->node_count - 1));
    return name;
}

/* A machine, also one that is rented during the day. */
static int draw_machine(tw_fuzz_plan *plan) {
    return tw_fuzz_dice_range(&plan->dice, 0, plan->machine_count + 2);
}

static void add_node_line(tw_fuzz_plan *plan, int when, const char *what, int leader_percent) {
    const int length = draw_duration(plan);
    const tw_fuzz_seconds name = draw_node_name(plan, leader_percent);
    tw_fuzz_add_at(plan, when, "%s %s %s", what, name.text, tw_fuzz_seconds_of(length).text);
    tw_fuzz_extend_until(plan, when + length);
}

static void add_machine_line(tw_fuzz_plan *plan, int when, const char *what, int length) {
    tw_fuzz_add_at(plan, when, "%s %d %s", what, draw_machine(plan),
                   tw_fuzz_seconds_of(length).text);
    tw_fuzz_extend_until(plan, when + length);
}

static void draw_kill(tw_fuzz_plan *plan, int when) {
    add_node_line(plan, when, "kill", OF_LEADER);
}
static void draw_state_refusal(tw_fuzz_plan *plan, int when) {
    add_node_line(plan, when, "nostate", OF_LEADER);
}
static void draw_isolated_node(tw_fuzz_plan *plan, int when) {
    add_node_line(plan, when, "isolate", OF_LEADER);
}
static void draw_lost_workers(tw_fuzz_plan *plan, int when) {
    add_node_line(plan, when, "noworkers", OF_WORKERS_LEADER);
}
static void draw_outage(tw_fuzz_plan *plan, int when) {
    add_line_for(plan, when, "outage", draw_duration(plan));
}
static void draw_refused_peers(tw_fuzz_plan *plan, int when) {
    add_line_for(plan, when, "refusepeers", draw_duration(plan));
}
static void draw_late_transaction(tw_fuzz_plan *plan, int when) {
    add_line_for(plan, when, "latetxn", draw_duration(plan));
}
static void draw_hang(tw_fuzz_plan *plan, int when) {
    add_machine_line(plan, when, "hang", draw_duration(plan));
}
static void draw_unresponsive(tw_fuzz_plan *plan, int when) {
    add_machine_line(plan, when, "unresponsive", draw_duration(plan));
}
static void draw_late_command(tw_fuzz_plan *plan, int when) {
    add_machine_line(plan, when, "latecommand", draw_duration(plan));
}
static void draw_copied_heartbeat(tw_fuzz_plan *plan, int when) {
    add_machine_line(plan, when, "dupheartbeat", draw_duration(plan));
}
static void draw_delayed_heartbeat(tw_fuzz_plan *plan, int when) {
    add_machine_line(plan, when, "holdheartbeat", draw_duration(plan));
}

static void draw_kill_all(tw_fuzz_plan *plan, int when) {
    add_line_for(plan, when, "kill all", draw_duration(plan));
}

/* One leader after the other ends, each about when the next has begun. */
static void draw_kills(tw_fuzz_plan *plan, int when) {
    const int count = tw_fuzz_dice_range(&plan->dice, 2, 5);
    for (int i = 0; i < count; i++) {
        tw_fuzz_add_at(
            plan, when, "kill leader %s",
            tw_fuzz_seconds_of(tw_fuzz_dice_range(&plan->dice, BACK_MIN, BACK_MAX)).text);
        when += tw_fuzz_dice_range(&plan->dice, plan->term, 4 * plan->term);
    }
}

static void draw_isolated_zone(tw_fuzz_plan *plan, int when) {
    const int length = draw_duration(plan);
    tw_fuzz_add_at(plan, when, "isolatezone %s %s", tw_fuzz_draw_zone(plan),
                   tw_fuzz_seconds_of(length).text);
    tw_fuzz_extend_until(plan, when + length);
}

static void draw_cut(tw_fuzz_plan *plan, int when) {
    const int length = draw_duration(plan);
    if (plan->zone_count == 1) {
        draw_refused_peers(plan, when);
        return;
    }
    const int first = tw_fuzz_dice_range(&plan->dice, 0, plan->zone_count - 1);
    const int second = (first + 1) % plan->zone_count;
    tw_fuzz_add_at(plan, when, "cut %s %s %s%s", tw_fuzz_zone_name(first),
                   tw_fuzz_zone_name(second), tw_fuzz_seconds_of(length).text,
                   tw_fuzz_dice_percent(&plan->dice, HELD) ? " hold" : "");
    tw_fuzz_extend_until(plan, when + length);
}

static void draw_slow_state(tw_fuzz_plan *plan, int when) {
    const int length = draw_duration(plan);
    const int delay = TW_FUZZ_ONE_OF(&plan->dice, 6, 20, 40, 70, 120);
    tw_fuzz_add_at(plan, when, "slowstate %s %s", tw_fuzz_seconds_of(delay).text,
                   tw_fuzz_seconds_of(length).text);
    tw_fuzz_extend_until(plan, when + length);
}

static void draw_lost_answers(tw_fuzz_plan *plan, int when) {
    tw_fuzz_add_at(plan, when, "losetxn %d", TW_FUZZ_ONE_OF(&plan->dice, 1, 1, 2, 3, 5, 8));
}

/* Some machines at once; with what they had sent before held back now and then. */
static void draw_hangs(tw_fuzz_plan *plan, int when) {
    const int length = draw_duration(plan);
    const bool held = tw_fuzz_dice_percent(&plan->dice, HELD);
    const int count = tw_fuzz_dice_range(&plan->dice, 2, plan->machine_count + 2);
    for (int i = 0; i < count; i++) {
        if (held)
            tw_fuzz_add_at(plan, when - plan->heartbeat, "holdheartbeat %d %s", i,
                           tw_fuzz_seconds_of(length).text);
        tw_fuzz_add_at(plan, when, "hang %d %s", i, tw_fuzz_seconds_of(length).text);
    }
    tw_fuzz_extend_until(plan, when + length);
}

static void draw_preemption(tw_fuzz_plan *plan, int when) {
    if (tw_fuzz_dice_half(&plan->dice))
        tw_fuzz_add_at(plan, when, "take %d", draw_machine(plan));
    else
        add_machine_line(plan, when, "notice",
                         tw_fuzz_dice_range(&plan->dice, NOTICE_MIN, NOTICE_MAX));
}

static void draw_faulty(tw_fuzz_plan *plan, int when) {
    if (tw_fuzz_dice_half(&plan->dice))
        tw_fuzz_add_at(plan, when, "faulty %d", draw_machine(plan));
    else
        tw_fuzz_add_at(plan, when, "slow %d %d", draw_machine(plan),
                       TW_FUZZ_ONE_OF(&plan->dice, 2, 4));
}

static void draw_capacity(tw_fuzz_plan *plan, int when) {
    if (tw_fuzz_dice_half(&plan->dice)) {
        tw_fuzz_add_at(plan, when, "neverup %d", TW_FUZZ_ONE_OF(&plan->dice, 1, 2));
        return;
    }
    const int length = draw_duration(plan);
    tw_fuzz_add_at(plan, when, "refuse 1");
    tw_fuzz_add_at(plan, when + length, "refuse 0");
}

static tw_fuzz_seconds draw_share(tw_fuzz_plan *plan) {
    return tw_fuzz_seconds_of(TW_FUZZ_ONE_OF(&plan->dice, 5, 10, 20, 35, 60, 100));
}

static void add_share_line(tw_fuzz_plan *plan, int when, const char *what, const char *more) {
    const int length = draw_duration(plan);
    const tw_fuzz_seconds part = draw_share(plan);
    tw_fuzz_add_at(plan, when, "%s %s %s%s", what, part.text, tw_fuzz_seconds_of(length).text,
                   more);
    tw_fuzz_extend_until(plan, when + length);
}

static void draw_late_writes(tw_fuzz_plan *plan, int when) {
    add_share_line(plan, when, "latewrites", "");
}
static void draw_lost_writes(tw_fuzz_plan *plan, int when) {
    add_share_line(plan, when, "lostwrites", "");
}
static void draw_late_commands(tw_fuzz_plan *plan, int when) {
    add_share_line(plan, when, "latecommands", "");
}
static void draw_late_heartbeats(tw_fuzz_plan *plan, int when) {
    add_share_line(plan, when, "lateheartbeats", tw_fuzz_dice_half(&plan->dice) ? " next" : "");
}
static void draw_mute(tw_fuzz_plan *plan, int when) {
    add_machine_line(plan, when, "mute", draw_duration(plan));
}
static void draw_slow_node(tw_fuzz_plan *plan, int when) {
    add_node_line(plan, when, "slownode", OF_LEADER);
}
static void draw_fast_boots(tw_fuzz_plan *plan, int when) {
    add_line_for(plan, when, "bootfast", draw_duration(plan));
}
static void draw_cloud_outage(tw_fuzz_plan *plan, int when) {
    add_line_for(plan, when, "nocloud", draw_duration(plan));
}

static void draw_cut_state(tw_fuzz_plan *plan, int when) {
    const int length = draw_duration(plan);
    const tw_fuzz_seconds name = draw_node_name(plan, OF_LEADER);
    tw_fuzz_add_at(plan, when, "cutstate %s %s %s", name.text, tw_fuzz_seconds_of(length).text,
                   tw_fuzz_dice_half(&plan->dice) ? "hang" : "refuse");
    tw_fuzz_extend_until(plan, when + length);
}

/* Users call off some jobs at once, and machines of theirs hang now and then. */
static void draw_cancellations(tw_fuzz_plan *plan, int when) {
    const int count = tw_fuzz_dice_range(&plan->dice, 1, 6);
    if (tw_fuzz_dice_half(&plan->dice)) {
        tw_fuzz_add_at(plan, when, "cancelnow %d", count);
        return;
    }
    const int length = draw_duration(plan);
    tw_fuzz_add_at(plan, when, "cancelnow %d %s", count, tw_fuzz_seconds_of(length).text);
    tw_fuzz_extend_until(plan, when + length);
}

static const struct {
    int weight;
    draw_function *draw;
} kinds[] = {
    {8, draw_kill},
    {2, draw_kill_all},
    {4, draw_kills},
    {6, draw_outage},
    {5, draw_state_refusal},
    {6, draw_isolated_node},
    {6, draw_isolated_zone},
    {6, draw_lost_workers},
    {5, draw_refused_peers},
    {6, draw_cut},
    {5, draw_slow_state},
    {4, draw_lost_answers},
    {4, draw_late_transaction},
    {5, draw_hang},
    {3, draw_hangs},
    {4, draw_unresponsive},
    {3, draw_late_command},
    {4, draw_copied_heartbeat},
    {4, draw_delayed_heartbeat},
    {4, draw_preemption},
    {2, draw_faulty},
    {2, draw_capacity},
    {5, draw_late_writes},
    {5, draw_lost_writes},
    {4, draw_late_commands},
    {5, draw_late_heartbeats},
    {3, draw_mute},
    {4, draw_slow_node},
    {3, draw_fast_boots},
    {2, draw_cloud_outage},
    {5, draw_cut_state},
    {5, draw_cancellations},
};
enum { KINDS = sizeof kinds / sizeof *kinds };

void tw_fuzz_draw_troubles(tw_fuzz_plan *plan, int count) {
    int weights[KINDS];
    for (size_t i = 0; i < KINDS; i++) weights[i] = kinds[i].weight;
    for (int i = 0; i < count; i++) {
        const size_t kind = tw_fuzz_dice_weighted(&plan->dice, weights, KINDS);
        const int when = tw_fuzz_draw_moment_near(plan, tw_fuzz_draw_anchor(plan));
        kinds[kind].draw(plan, when < TW_FUZZ_SECOND ? TW_FUZZ_SECOND : when);
    }
}
