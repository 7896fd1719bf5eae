/* Generates days with a single fault that the service guarantees to tolerate: no task is lost,
 * restarted or left waiting, as it would be without the mechanism that handles the fault. The rules
 * of the simulator do not cover these guarantees, so the day states them in `expect` lines. */
#include "plan.h"

/* Times and durations in hundredths of a second. */
enum { SUBMITTED_AT = 500, FAULT_AT = 1500, COMPLETION_MARGIN = 500, RETRY_TIME = 2000 };
/* Longest time, in hundredths of a second, by which a hang exceeds the lease. It is shorter than
 * the time until an idle machine is returned, which exceeds half its boot time. */
enum { IDLE_MAX = 700 };
enum { NODES = 3, MACHINES_IN_ZONE_MAX = 4, CORES = 16 };
/* Smallest number of machines of a zone whose missing heartbeats count as a network partition, not
 * as lost machines. */
enum { PARTITION_MACHINES_MIN = 4 };
/* Range of the duration of long faults, in percent of a lease. */
enum { LONG_FAULT_PERCENT_MIN = 110, LONG_FAULT_PERCENT_MAX = 170 };

static int draw_longer_than_lease(tw_fuzz_plan *plan) {
    return plan->lease *
           tw_fuzz_rng_range(&plan->rng, LONG_FAULT_PERCENT_MIN, LONG_FAULT_PERCENT_MAX) / 100;
}

static int draw_shorter_than_lease(tw_fuzz_plan *plan) {
    return tw_fuzz_rng_range(&plan->rng, plan->election_time, plan->lease / 2);
}

/* Adds the jobs that run before the fault and must still run after it without a restart. A replica
 * takes most of a machine, so that no replica is moved to empty another machine. */
static void draw_workload(tw_fuzz_plan *plan) {
    tw_fuzz_add_event(plan, SUBMITTED_AT,
                      "submit run-000001 shape=service priority=prod tasks=%d cores=10%s",
                      plan->machine_count, plan->zone_count == 2 ? " spread=1" : "");
    tw_fuzz_add_event(plan, SUBMITTED_AT, "submit run-000002 tasks=%d cores=1 expect=200 run=200",
                      plan->machine_count);
}

static void expect_still_running(tw_fuzz_plan *plan, int when) {
    tw_fuzz_add_event(plan, when, "expect starts run-000001 %d %d", plan->machine_count,
                      plan->machine_count);
    tw_fuzz_add_event(plan, when, "expect running run-000001 %d %d", plan->machine_count,
                      plan->machine_count);
    tw_fuzz_add_event(plan, when, "expect starts run-000002 %d %d", plan->machine_count,
                      plan->machine_count);
}

/* Adds one fault of that duration (hundredths of a second), during which all tasks keep running. */
static void draw_tolerated_fault(tw_fuzz_plan *plan, const char *fault, int length,
                                 const char *options) {
    draw_workload(plan);
    tw_fuzz_add_event(plan, FAULT_AT, "%s %s%s", fault, tw_fuzz_format_seconds(length).text,
                      options);
    expect_still_running(plan, FAULT_AT + length + plan->lease);
}

static void draw_outage(tw_fuzz_plan *plan) {
    draw_tolerated_fault(plan, "outage", draw_longer_than_lease(plan), "");
}
static void draw_state_refusal(tw_fuzz_plan *plan) {
    draw_tolerated_fault(plan, "nostate leader", draw_longer_than_lease(plan), "");
}
static void draw_leader_crash(tw_fuzz_plan *plan) {
    draw_tolerated_fault(plan, "kill leader", draw_shorter_than_lease(plan), "");
}
static void draw_full_crash(tw_fuzz_plan *plan) {
    draw_tolerated_fault(plan, "kill all", draw_shorter_than_lease(plan), "");
}
static void draw_partition(tw_fuzz_plan *plan) {
    draw_tolerated_fault(plan, "cut a b", draw_longer_than_lease(plan), "");
}
static void draw_delaying_partition(tw_fuzz_plan *plan) {
    draw_tolerated_fault(plan, "cut a b", draw_longer_than_lease(plan), " hold");
}
static void draw_lost_worker_messages(tw_fuzz_plan *plan) {
    draw_tolerated_fault(plan, "noworkers leader", draw_longer_than_lease(plan), "");
}

/* Adds a fault in which the nodes cannot reach each other. The leader sends commands to the
 * machines directly, so jobs submitted during the fault start without delay. */
static void draw_refused_peers(tw_fuzz_plan *plan) {
    const int length = 3 * plan->lease, submitted = FAULT_AT + plan->lease * 3 / 2;
    draw_workload(plan);
    tw_fuzz_add_event(plan, FAULT_AT, "refusepeers %s", tw_fuzz_format_seconds(length).text);
    for (int zone = 0; zone < plan->zone_count; zone++)
        tw_fuzz_add_event(plan, submitted,
                          "submit run-00000%d shape=service priority=prod zone=%s cores=1",
                          3 + zone, tw_fuzz_zone_name(zone));
    for (int zone = 0; zone < plan->zone_count; zone++)
        tw_fuzz_add_event(plan, submitted + plan->lease / 2, "expect running run-00000%d 1 1",
                          3 + zone);
    expect_still_running(plan, FAULT_AT + length + plan->lease);
}

/* Adds hangs of all machines beyond their leases; the heartbeats that they sent before arrive late.
 * No machine may be lost. */
static void draw_hangs(tw_fuzz_plan *plan) {
    const int over_lease = plan->lease * 8 / 10;
    const int length = plan->lease + (over_lease < IDLE_MAX ? over_lease : IDLE_MAX);
    draw_workload(plan);
    tw_fuzz_add_event(plan, FAULT_AT, "refuse 1");
    for (int i = 0; i < plan->machine_count; i++) {
        tw_fuzz_add_event(plan, FAULT_AT - plan->heartbeat, "holdheartbeat %d %s", i,
                          tw_fuzz_format_seconds(length).text);
        tw_fuzz_add_event(plan, FAULT_AT, "hang %d %s", i, tw_fuzz_format_seconds(length).text);
    }
    tw_fuzz_add_event(plan, FAULT_AT + length + plan->lease, "expect machines %d %d",
                      plan->machine_count, plan->machine_count);
}

/* Adds a machine that fails every task that it runs. The tasks must be retried on other machines.
 */
static void draw_faulty_machine(tw_fuzz_plan *plan) {
    const int run = tw_fuzz_rng_range(&plan->rng, 300, 600);
    tw_fuzz_add_event(plan, 100, "faulty 0");
    for (int zone = 0; zone < plan->zone_count; zone++)
        tw_fuzz_add_event(plan, SUBMITTED_AT, "submit run-00000%d tasks=4 zone=%s expect=%s",
                          1 + zone, tw_fuzz_zone_name(zone), tw_fuzz_format_seconds(run).text);
    for (int zone = 0; zone < plan->zone_count; zone++)
        tw_fuzz_add_event(plan, SUBMITTED_AT + 3 * run + RETRY_TIME, "expect done run-00000%d",
                          1 + zone);
}

/* Adds more tasks than the machines can run. A team that submits a small job later must get its
 * share of the machines beside a team that submitted a large job first. */
static void draw_overload(tw_fuzz_plan *plan) {
    const int concurrent_tasks = plan->machine_count * CORES / 4;
    const int run = tw_fuzz_rng_range(&plan->rng, 300, 600);
    tw_fuzz_add_event(plan, 100, "refuse 1");
    tw_fuzz_add_event(plan, SUBMITTED_AT, "submit run-000001 team=crew tasks=%d cores=4 expect=%s",
                      8 * concurrent_tasks, tw_fuzz_format_seconds(run).text);
    tw_fuzz_add_event(plan, SUBMITTED_AT + 100,
                      "submit run-000002 team=late tasks=%d cores=4 expect=%s", concurrent_tasks,
                      tw_fuzz_format_seconds(run).text);
    tw_fuzz_add_event(plan, SUBMITTED_AT + 5 * run + COMPLETION_MARGIN, "expect done run-000002");
}

/* A worker waits some seconds for a response before it tries another node. A lease of about half a
 * minute is long in comparison, so a fault that leaves a heartbeat of each worker unanswered costs
 * no machine. */
enum { SHORT_LEASE, LONG_LEASE };

static const struct {
    int weight, lease, machines; /* machines: the minimum for each zone */
    void (*draw)(tw_fuzz_plan *plan);
} kinds[] = {
    {2, SHORT_LEASE, 1, draw_outage},
    {2, SHORT_LEASE, 1, draw_state_refusal},
    {2, SHORT_LEASE, 1, draw_leader_crash},
    {1, SHORT_LEASE, 1, draw_full_crash},
    {2, SHORT_LEASE, 1, draw_partition},
    {2, SHORT_LEASE, 1, draw_delaying_partition},
    {3, LONG_LEASE, PARTITION_MACHINES_MIN, draw_lost_worker_messages},
    {2, SHORT_LEASE, 1, draw_refused_peers},
    {2, SHORT_LEASE, PARTITION_MACHINES_MIN, draw_hangs},
    {2, SHORT_LEASE, 1, draw_faulty_machine},
    {2, SHORT_LEASE, 1, draw_overload},
};
enum { KINDS = sizeof kinds / sizeof *kinds };

static void draw_long_lease(tw_fuzz_plan *plan) {
    tw_fuzz_rng *rng = &plan->rng;
    const int lease_s = tw_fuzz_rng_range(rng, 20, 26);
    plan->lease = lease_s * TW_FUZZ_SECOND;
    plan->heartbeat = plan->lease / 5;
    plan->cancel = 2 * plan->lease;
    tw_fuzz_add_settings(plan);
}

/* Adds nodes, which are assigned to the zones in turn, the same number of machines in each zone,
 * and a machine type with enough capacity for all jobs. */
static void draw_fleet(tw_fuzz_plan *plan, int lease, int machines) {
    tw_fuzz_rng *rng = &plan->rng;
    plan->zone_count = lease == LONG_LEASE ? NODES : TW_FUZZ_ONE_OF(rng, 2, 3);
    plan->node_count = NODES;
    const int machines_in_zone = tw_fuzz_rng_range(rng, machines, MACHINES_IN_ZONE_MAX);
    plan->machine_count = plan->zone_count * machines_in_zone;
    for (int i = 0; i < NODES; i++)
        tw_fuzz_day_add(plan->day, "node tray-%d %s", i, tw_fuzz_zone_name(i % plan->zone_count));
    tw_fuzz_day_add(plan->day, "team crew");
    tw_fuzz_day_add(plan->day, "team late");
    if (lease == LONG_LEASE)
        draw_long_lease(plan);
    else
        tw_fuzz_draw_leases(plan);
    tw_fuzz_day_add(plan->day, "machine_type cpu cores=%d mem=64 cap=%d boot=20", CORES,
                    2 * plan->machine_count);
    for (int i = 0; i < plan->machine_count; i++)
        tw_fuzz_day_add(plan->day, "machine cpu %s", tw_fuzz_zone_name(i / machines_in_zone));
}

void tw_fuzz_draw_guarantee_day(tw_fuzz_plan *plan) {
    int weights[KINDS];
    for (size_t i = 0; i < KINDS; i++) weights[i] = kinds[i].weight;
    const size_t kind = tw_fuzz_rng_weighted(&plan->rng, weights, KINDS);
    draw_fleet(plan, kinds[kind].lease, kinds[kind].machines);
    kinds[kind].draw(plan);
}
