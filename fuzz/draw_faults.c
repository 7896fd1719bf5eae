/* Generates the faults of a day. Each is a fault that the simulator can inject; they are placed
 * close to each other, to elections and to user requests. */
#include "plan.h"
#include <stdbool.h>
#include <stdio.h>

/* Percentages of node faults that affect the current leader, instead of a random node. */
enum { LEADER_PERCENT = 70, NO_WORKERS_LEADER_PERCENT = 60 };
/* Percentage of partitions and hangs that delay messages instead of dropping them. */
enum { HELD_PERCENT = 40 };
/* Durations in hundredths of a second. */
enum {
    BRIEF_MIN = 5,
    BRIEF_MAX = 50,
    RESTART_MIN = 20,
    RESTART_MAX = 800,
    NOTICE_MIN = 50,
    NOTICE_MAX = 1000
};

/* Adds the lines of a fault that starts at `when`. */
typedef void draw_fault_function(tw_fuzz_plan *plan, int when);

/* Draws the duration of a fault: brief, about an election, about a lease, about the time limit of a
 * cancellation, or several leases. */
static int draw_duration(tw_fuzz_plan *plan) {
    static const int weights[] = {2, 4, 6, 3, 2};
    tw_fuzz_rng *rng = &plan->rng;
    switch (tw_fuzz_rng_weighted(rng, weights, sizeof weights / sizeof *weights)) {
    case 0:
        return tw_fuzz_rng_range(rng, BRIEF_MIN, BRIEF_MAX);
    case 1:
        return tw_fuzz_rng_range(rng, plan->election_time / 2, 4 * plan->election_time);
    case 2:
        return tw_fuzz_rng_range(rng, plan->lease / 2, plan->lease * 3 / 2);
    case 3:
        return tw_fuzz_rng_range(rng, plan->cancel * 4 / 5, plan->cancel * 3 / 2);
    default:
        return tw_fuzz_rng_range(rng, plan->lease * 3 / 2, plan->lease * 3);
    }
}

static void add_timed_line(tw_fuzz_plan *plan, int when, const char *command, int length) {
    tw_fuzz_add_event(plan, when, "%s %s", command, tw_fuzz_format_seconds(length).text);
    tw_fuzz_extend_day(plan, when + length);
}

/* Draws the node of a fault: "leader", which stands for the leader at the time of the fault, with
 * the given probability, or the name of a node. */
static tw_fuzz_word draw_node_name(tw_fuzz_plan *plan, int leader_percent) {
    tw_fuzz_word name = {"leader"};
    if (tw_fuzz_rng_percent(&plan->rng, leader_percent)) return name;
    snprintf(name.text, sizeof name.text, "tray-%d",
             tw_fuzz_rng_range(&plan->rng, 0, plan->node_count - 1));
    return name;
}

/* Draws the number of a machine, which may be one that is rented during the day. */
static int draw_machine(tw_fuzz_plan *plan) {
    return tw_fuzz_rng_range(&plan->rng, 0, plan->machine_count + 2);
}

static void add_node_line(tw_fuzz_plan *plan, int when, const char *command, int leader_percent) {
    const int length = draw_duration(plan);
    const tw_fuzz_word name = draw_node_name(plan, leader_percent);
    tw_fuzz_add_event(plan, when, "%s %s %s", command, name.text,
                      tw_fuzz_format_seconds(length).text);
    tw_fuzz_extend_day(plan, when + length);
}

static void add_machine_line(tw_fuzz_plan *plan, int when, const char *command, int length) {
    tw_fuzz_add_event(plan, when, "%s %d %s", command, draw_machine(plan),
                      tw_fuzz_format_seconds(length).text);
    tw_fuzz_extend_day(plan, when + length);
}

static void draw_node_kill(tw_fuzz_plan *plan, int when) {
    add_node_line(plan, when, "kill", LEADER_PERCENT);
}
static void draw_state_refusal(tw_fuzz_plan *plan, int when) {
    add_node_line(plan, when, "nostate", LEADER_PERCENT);
}
static void draw_isolated_node(tw_fuzz_plan *plan, int when) {
    add_node_line(plan, when, "isolate", LEADER_PERCENT);
}
static void draw_lost_workers(tw_fuzz_plan *plan, int when) {
    add_node_line(plan, when, "noworkers", NO_WORKERS_LEADER_PERCENT);
}
static void draw_outage(tw_fuzz_plan *plan, int when) {
    add_timed_line(plan, when, "outage", draw_duration(plan));
}
static void draw_refused_peers(tw_fuzz_plan *plan, int when) {
    add_timed_line(plan, when, "refusepeers", draw_duration(plan));
}
static void draw_late_transaction(tw_fuzz_plan *plan, int when) {
    add_timed_line(plan, when, "latetxn", draw_duration(plan));
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
    add_timed_line(plan, when, "kill all", draw_duration(plan));
}

/* Adds crashes of several successive leaders, at intervals of one to four election times. */
static void draw_leader_kills(tw_fuzz_plan *plan, int when) {
    const int count = tw_fuzz_rng_range(&plan->rng, 2, 5);
    for (int i = 0; i < count; i++) {
        tw_fuzz_add_event(
            plan, when, "kill leader %s",
            tw_fuzz_format_seconds(tw_fuzz_rng_range(&plan->rng, RESTART_MIN, RESTART_MAX)).text);
        when += tw_fuzz_rng_range(&plan->rng, plan->election_time, 4 * plan->election_time);
    }
}

static void draw_isolated_zone(tw_fuzz_plan *plan, int when) {
    const int length = draw_duration(plan);
    tw_fuzz_add_event(plan, when, "isolatezone %s %s", tw_fuzz_draw_zone(plan),
                      tw_fuzz_format_seconds(length).text);
    tw_fuzz_extend_day(plan, when + length);
}

static void draw_partition(tw_fuzz_plan *plan, int when) {
    const int length = draw_duration(plan);
    if (plan->zone_count == 1) {
        draw_refused_peers(plan, when);
        return;
    }
    const int first = tw_fuzz_rng_range(&plan->rng, 0, plan->zone_count - 1);
    const int second = (first + 1) % plan->zone_count;
    tw_fuzz_add_event(plan, when, "cut %s %s %s%s", tw_fuzz_zone_name(first),
                      tw_fuzz_zone_name(second), tw_fuzz_format_seconds(length).text,
                      tw_fuzz_rng_percent(&plan->rng, HELD_PERCENT) ? " hold" : "");
    tw_fuzz_extend_day(plan, when + length);
}

static void draw_slow_state(tw_fuzz_plan *plan, int when) {
    const int length = draw_duration(plan);
    const int delay = TW_FUZZ_ONE_OF(&plan->rng, 6, 20, 40, 70, 120);
    tw_fuzz_add_event(plan, when, "slowstate %s %s", tw_fuzz_format_seconds(delay).text,
                      tw_fuzz_format_seconds(length).text);
    tw_fuzz_extend_day(plan, when + length);
}

static void draw_lost_responses(tw_fuzz_plan *plan, int when) {
    tw_fuzz_add_event(plan, when, "losetxn %d", TW_FUZZ_ONE_OF(&plan->rng, 1, 1, 2, 3, 5, 8));
}

/* Adds simultaneous hangs of several machines. In some cases the heartbeats that these sent before
 * are delayed until the hang is over. */
static void draw_hangs(tw_fuzz_plan *plan, int when) {
    const int length = draw_duration(plan);
    const bool held = tw_fuzz_rng_percent(&plan->rng, HELD_PERCENT);
    const int count = tw_fuzz_rng_range(&plan->rng, 2, plan->machine_count + 2);
    for (int i = 0; i < count; i++) {
        if (held)
            tw_fuzz_add_event(plan, when - plan->heartbeat, "holdheartbeat %d %s", i,
                              tw_fuzz_format_seconds(length).text);
        tw_fuzz_add_event(plan, when, "hang %d %s", i, tw_fuzz_format_seconds(length).text);
    }
    tw_fuzz_extend_day(plan, when + length);
}

static void draw_preemption(tw_fuzz_plan *plan, int when) {
    if (tw_fuzz_rng_half(&plan->rng))
        tw_fuzz_add_event(plan, when, "take %d", draw_machine(plan));
    else
        add_machine_line(plan, when, "notice",
                         tw_fuzz_rng_range(&plan->rng, NOTICE_MIN, NOTICE_MAX));
}

static void draw_faulty(tw_fuzz_plan *plan, int when) {
    if (tw_fuzz_rng_half(&plan->rng))
        tw_fuzz_add_event(plan, when, "faulty %d", draw_machine(plan));
    else
        tw_fuzz_add_event(plan, when, "slow %d %d", draw_machine(plan),
                          TW_FUZZ_ONE_OF(&plan->rng, 2, 4));
}

static void draw_capacity(tw_fuzz_plan *plan, int when) {
    if (tw_fuzz_rng_half(&plan->rng)) {
        tw_fuzz_add_event(plan, when, "neverup %d", TW_FUZZ_ONE_OF(&plan->rng, 1, 2));
        return;
    }
    const int length = draw_duration(plan);
    tw_fuzz_add_event(plan, when, "refuse 1");
    tw_fuzz_add_event(plan, when + length, "refuse 0");
}

static tw_fuzz_word draw_fraction(tw_fuzz_plan *plan) {
    return tw_fuzz_format_seconds(TW_FUZZ_ONE_OF(&plan->rng, 5, 10, 20, 35, 60, 100));
}

static void add_fraction_line(tw_fuzz_plan *plan, int when, const char *command,
                              const char *options) {
    const int length = draw_duration(plan);
    const tw_fuzz_word part = draw_fraction(plan);
    tw_fuzz_add_event(plan, when, "%s %s %s%s", command, part.text,
                      tw_fuzz_format_seconds(length).text, options);
    tw_fuzz_extend_day(plan, when + length);
}

static void draw_late_writes(tw_fuzz_plan *plan, int when) {
    add_fraction_line(plan, when, "latewrites", "");
}
static void draw_lost_writes(tw_fuzz_plan *plan, int when) {
    add_fraction_line(plan, when, "lostwrites", "");
}
static void draw_late_commands(tw_fuzz_plan *plan, int when) {
    add_fraction_line(plan, when, "latecommands", "");
}
static void draw_late_heartbeats(tw_fuzz_plan *plan, int when) {
    add_fraction_line(plan, when, "lateheartbeats", tw_fuzz_rng_half(&plan->rng) ? " next" : "");
}
static void draw_lost_machine_messages(tw_fuzz_plan *plan, int when) {
    add_machine_line(plan, when, "mute", draw_duration(plan));
}
static void draw_slow_node(tw_fuzz_plan *plan, int when) {
    add_node_line(plan, when, "slownode", LEADER_PERCENT);
}
static void draw_fast_boots(tw_fuzz_plan *plan, int when) {
    add_timed_line(plan, when, "bootfast", draw_duration(plan));
}
static void draw_cloud_outage(tw_fuzz_plan *plan, int when) {
    add_timed_line(plan, when, "nocloud", draw_duration(plan));
}

static void draw_state_partition(tw_fuzz_plan *plan, int when) {
    const int length = draw_duration(plan);
    const tw_fuzz_word name = draw_node_name(plan, LEADER_PERCENT);
    tw_fuzz_add_event(plan, when, "cutstate %s %s %s", name.text,
                      tw_fuzz_format_seconds(length).text,
                      tw_fuzz_rng_half(&plan->rng) ? "hang" : "refuse");
    tw_fuzz_extend_day(plan, when + length);
}

/* Adds simultaneous cancellations of several jobs. In half of the cases machines that run these
 * jobs hang. */
static void draw_cancellations(tw_fuzz_plan *plan, int when) {
    const int count = tw_fuzz_rng_range(&plan->rng, 1, 6);
    if (tw_fuzz_rng_half(&plan->rng)) {
        tw_fuzz_add_event(plan, when, "cancelnow %d", count);
        return;
    }
    const int length = draw_duration(plan);
    tw_fuzz_add_event(plan, when, "cancelnow %d %s", count, tw_fuzz_format_seconds(length).text);
    tw_fuzz_extend_day(plan, when + length);
}

static const struct {
    int weight;
    draw_fault_function *draw;
} kinds[] = {
    {8, draw_node_kill},
    {2, draw_kill_all},
    {4, draw_leader_kills},
    {6, draw_outage},
    {5, draw_state_refusal},
    {6, draw_isolated_node},
    {6, draw_isolated_zone},
    {6, draw_lost_workers},
    {5, draw_refused_peers},
    {6, draw_partition},
    {5, draw_slow_state},
    {4, draw_lost_responses},
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
    {3, draw_lost_machine_messages},
    {4, draw_slow_node},
    {3, draw_fast_boots},
    {2, draw_cloud_outage},
    {5, draw_state_partition},
    {5, draw_cancellations},
};
enum { KINDS = sizeof kinds / sizeof *kinds };

void tw_fuzz_draw_faults(tw_fuzz_plan *plan, int count) {
    int weights[KINDS];
    for (size_t i = 0; i < KINDS; i++) weights[i] = kinds[i].weight;
    for (int i = 0; i < count; i++) {
        const size_t kind = tw_fuzz_rng_weighted(&plan->rng, weights, KINDS);
        const int when = tw_fuzz_draw_moment_near(plan, tw_fuzz_draw_anchor(plan));
        kinds[kind].draw(plan, when < TW_FUZZ_SECOND ? TW_FUZZ_SECOND : when);
    }
}
