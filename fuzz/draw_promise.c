/* Days of one trouble that the service promises to bear: nothing is lost, started again or left
 * waiting, though it would be if nobody took care. The rules say nothing of that, so the day itself
 * says what must hold. */
#include "plan.h"

enum { SUBMITTED_AT = 500, TROUBLE_AT = 1500 }; /* hundredths of a second */
enum { SPARE = 500, TRIED_AGAIN = 2000 };
enum { IDLE_MOST = 700 }; /* before a machine is returned as idle: half its boot time, and some */
enum { NODES = 3, MACHINES_IN_ZONE_MAX = 4, CORES = 16 };
enum { MANY_IN_ZONE = 4 }; /* so many silent ones in a zone are taken for a cut */
enum { LEASE_LASTS_LEAST = 110, LEASE_LASTS_MOST = 170 }; /* percent of a lease */

static int past_a_lease(tw_fuzz_plan *plan) {
    return plan->lease * tw_fuzz_dice_range(&plan->dice, LEASE_LASTS_LEAST, LEASE_LASTS_MOST) / 100;
}

static int within_a_lease(tw_fuzz_plan *plan) {
    return tw_fuzz_dice_range(&plan->dice, plan->term, plan->lease / 2);
}

/* What runs before the trouble and must still run, under its first start, after it. A replica takes
 * most of a machine, so that none is moved to empty another machine. */
static void draw_running(tw_fuzz_plan *plan) {
    tw_fuzz_at(plan, SUBMITTED_AT,
               "submit run-000001 shape=service priority=prod tasks=%d cores=10%s", plan->machines,
               plan->zones == 2 ? " spread=1" : "");
    tw_fuzz_at(plan, SUBMITTED_AT, "submit run-000002 tasks=%d cores=1 expect=200 run=200",
               plan->machines);
}

static void expect_still_running(tw_fuzz_plan *plan, int when) {
    tw_fuzz_at(plan, when, "expect starts run-000001 %d %d", plan->machines, plan->machines);
    tw_fuzz_at(plan, when, "expect running run-000001 %d %d", plan->machines, plan->machines);
    tw_fuzz_at(plan, when, "expect starts run-000002 %d %d", plan->machines, plan->machines);
}

/* One trouble of these and so long; all that ran goes on. */
static void bear(tw_fuzz_plan *plan, const char *trouble, int length, const char *more) {
    draw_running(plan);
    tw_fuzz_at(plan, TROUBLE_AT, "%s %s%s", trouble, tw_fuzz_seconds_of(length).text, more);
    expect_still_running(plan, TROUBLE_AT + length + plan->lease);
}

static void bear_outage(tw_fuzz_plan *plan) { bear(plan, "outage", past_a_lease(plan), ""); }
static void bear_refusal(tw_fuzz_plan *plan) {
    bear(plan, "nostate leader", past_a_lease(plan), "");
}
static void bear_crash(tw_fuzz_plan *plan) { bear(plan, "kill leader", within_a_lease(plan), ""); }
static void bear_crashes(tw_fuzz_plan *plan) { bear(plan, "kill all", within_a_lease(plan), ""); }
static void bear_cut(tw_fuzz_plan *plan) { bear(plan, "cut a b", past_a_lease(plan), ""); }
static void bear_held_cut(tw_fuzz_plan *plan) {
    bear(plan, "cut a b", past_a_lease(plan), " hold");
}
static void bear_deaf_leader(tw_fuzz_plan *plan) {
    bear(plan, "noworkers leader", past_a_lease(plan), "");
}

/* The leader reaches the machines itself: what is submitted meanwhile runs at once. */
static void bear_refused_peers(tw_fuzz_plan *plan) {
    const int length = 3 * plan->lease, submitted = TROUBLE_AT + plan->lease * 3 / 2;
    draw_running(plan);
    tw_fuzz_at(plan, TROUBLE_AT, "refusepeers %s", tw_fuzz_seconds_of(length).text);
    for (int zone = 0; zone < plan->zones; zone++)
        tw_fuzz_at(plan, submitted,
                   "submit run-00000%d shape=service priority=prod zone=%s cores=1", 3 + zone,
                   tw_fuzz_zone(zone));
    for (int zone = 0; zone < plan->zones; zone++)
        tw_fuzz_at(plan, submitted + plan->lease / 2, "expect running run-00000%d 1 1", 3 + zone);
    expect_still_running(plan, TROUBLE_AT + length + plan->lease);
}

/* All machines hang past their leases, and what they had sent comes late: they are lost no more
 * than that. */
static void bear_hangs(tw_fuzz_plan *plan) {
    const int over = plan->lease * 8 / 10;
    const int length = plan->lease + (over < IDLE_MOST ? over : IDLE_MOST);
    draw_running(plan);
    tw_fuzz_at(plan, TROUBLE_AT, "refuse 1");
    for (int i = 0; i < plan->machines; i++) {
        tw_fuzz_at(plan, TROUBLE_AT - plan->report, "holdheartbeat %d %s", i,
                   tw_fuzz_seconds_of(length).text);
        tw_fuzz_at(plan, TROUBLE_AT, "hang %d %s", i, tw_fuzz_seconds_of(length).text);
    }
    tw_fuzz_at(plan, TROUBLE_AT + length + plan->lease, "expect machines %d %d", plan->machines,
               plan->machines);
}

/* A machine fails whatever it gets: a job's tasks are tried on another. */
static void bear_faulty_machine(tw_fuzz_plan *plan) {
    const int run = tw_fuzz_dice_range(&plan->dice, 300, 600);
    tw_fuzz_at(plan, 100, "faulty 0");
    for (int zone = 0; zone < plan->zones; zone++)
        tw_fuzz_at(plan, SUBMITTED_AT, "submit run-00000%d tasks=4 zone=%s expect=%s", 1 + zone,
                   tw_fuzz_zone(zone), tw_fuzz_seconds_of(run).text);
    for (int zone = 0; zone < plan->zones; zone++)
        tw_fuzz_at(plan, SUBMITTED_AT + 3 * run + TRIED_AGAIN, "expect done run-00000%d", 1 + zone);
}

/* More work than room: a team that comes late with little has its turn beside one that came first
 * with much. */
static void bear_overload(tw_fuzz_plan *plan) {
    const int at_once = plan->machines * CORES / 4;
    const int run = tw_fuzz_dice_range(&plan->dice, 300, 600);
    tw_fuzz_at(plan, 100, "refuse 1");
    tw_fuzz_at(plan, SUBMITTED_AT, "submit run-000001 team=crew tasks=%d cores=4 expect=%s",
               8 * at_once, tw_fuzz_seconds_of(run).text);
    tw_fuzz_at(plan, SUBMITTED_AT + 100, "submit run-000002 team=late tasks=%d cores=4 expect=%s",
               at_once, tw_fuzz_seconds_of(run).text);
    tw_fuzz_at(plan, SUBMITTED_AT + 5 * run + SPARE, "expect done run-000002");
}

/* A worker waits some seconds for an answer before it tries another node: next to these, a lease of
 * half a minute is long, and a trouble that costs each worker an unanswered report costs no
 * machine. */
enum { ANY_LEASE, LONG_LEASE };

static const struct {
    int weight, lease, machines; /* machines: at least so many in a zone */
    void (*draw)(tw_fuzz_plan *plan);
} kinds[] = {
    {2, ANY_LEASE, 1, bear_outage},
    {2, ANY_LEASE, 1, bear_refusal},
    {2, ANY_LEASE, 1, bear_crash},
    {1, ANY_LEASE, 1, bear_crashes},
    {2, ANY_LEASE, 1, bear_cut},
    {2, ANY_LEASE, 1, bear_held_cut},
    {3, LONG_LEASE, MANY_IN_ZONE, bear_deaf_leader},
    {2, ANY_LEASE, 1, bear_refused_peers},
    {2, ANY_LEASE, MANY_IN_ZONE, bear_hangs},
    {2, ANY_LEASE, 1, bear_faulty_machine},
    {2, ANY_LEASE, 1, bear_overload},
};
enum { KINDS = sizeof kinds / sizeof *kinds };

static void draw_long_lease(tw_fuzz_plan *plan) {
    tw_fuzz_dice *dice = &plan->dice;
    const int lease_s = tw_fuzz_dice_range(dice, 20, 26);
    plan->lease = lease_s * TW_FUZZ_SECOND;
    plan->report = plan->lease / 5;
    plan->cancel = 2 * plan->lease;
    tw_fuzz_settings(plan);
}

/* Nodes in turn over the zones, as many machines in each zone, and room for all that is submitted.
 */
static void draw_fleet(tw_fuzz_plan *plan, int lease, int machines) {
    tw_fuzz_dice *dice = &plan->dice;
    plan->zones = lease == LONG_LEASE ? NODES : TW_FUZZ_ONE_OF(dice, 2, 3);
    plan->nodes = NODES;
    const int machines_in_zone = tw_fuzz_dice_range(dice, machines, MACHINES_IN_ZONE_MAX);
    plan->machines = plan->zones * machines_in_zone;
    for (int i = 0; i < NODES; i++)
        tw_fuzz_day_add(plan->day, "node tray-%d %s", i, tw_fuzz_zone(i % plan->zones));
    tw_fuzz_day_add(plan->day, "team crew");
    tw_fuzz_day_add(plan->day, "team late");
    if (lease == LONG_LEASE)
        draw_long_lease(plan);
    else
        tw_fuzz_draw_leases(plan);
    tw_fuzz_day_add(plan->day, "machine_type cpu cores=%d mem=64 cap=%d boot=20", CORES,
                    2 * plan->machines);
    for (int i = 0; i < plan->machines; i++)
        tw_fuzz_day_add(plan->day, "machine cpu %s", tw_fuzz_zone(i / machines_in_zone));
}

void tw_fuzz_draw_promise(tw_fuzz_plan *plan) {
    int weights[KINDS];
    for (size_t i = 0; i < KINDS; i++) weights[i] = kinds[i].weight;
    const size_t kind = tw_fuzz_dice_weighted(&plan->dice, weights, KINDS);
    draw_fleet(plan, kinds[kind].lease, kinds[kind].machines);
    kinds[kind].draw(plan);
}
