/* Cost of an idle node: its ticks and messages, and the autoscaler's plan. */
#include "cases/waiting.h"
#include "fleet.h"

#define ROUNDS 3
#define TASKS 8
#define LEADER_ROUND_S 10
#define FOLLOWER_ROUND_S 60
#define PLANS 10 /* number per round */
#define PLAN_INTERVAL_S 0.5

/* Measures all inputs except heartbeats, in rounds of `seconds` simulated seconds, each of which
 * counts as `unit_count` units. */
static int run_idle(const tw_bench_load *load, int seconds, double unit_count,
                    tw_bench_result *result, tw_bench_results *results) {
    tw_bench_fleet *fleet = tw_bench_fleet_new_started(load);
    if (!fleet) return -1;
    result->machines = load->machines;
    result->tasks = load->tasks;
    for (int i = 0; i < ROUNDS; i++) {
        tw_bench_meter meter = {.kinds = TW_BENCH_TICK | TW_BENCH_ANSWER | TW_BENCH_PEER};
        tw_bench_fleet_measure(fleet, &meter);
        tw_bench_fleet_advance(fleet, seconds);
        tw_bench_fleet_measure(fleet, NULL);
        tw_bench_result_add_round(result, &meter, unit_count);
    }
    tw_bench_results_add(results, result);
    tw_bench_fleet_free(fleet);
    return 0;
}

int tw_bench_case_leader(const tw_bench_sizes *sizes, tw_bench_results *results) {
    const tw_bench_load load = {.machines = sizes->machines,
                                .tasks = tw_bench_size_or_default(sizes->tasks, TASKS)};
    tw_bench_result result = tw_bench_result_init("leader", "simulated s");
    return run_idle(&load, LEADER_ROUND_S, LEADER_ROUND_S, &result, results);
}

int tw_bench_case_follower(const tw_bench_sizes *sizes, tw_bench_results *results) {
    const tw_bench_load load = {.follower = 1};
    tw_bench_result result = tw_bench_result_init("follower", "simulated min");
    (void)sizes;
    return run_idle(&load, FOLLOWER_ROUND_S, 1, &result, results);
}

static int run_plan(const tw_bench_load *load, tw_bench_results *results) {
    tw_bench_result result = tw_bench_result_init("plan", "tick");
    tw_bench_fleet *fleet = tw_bench_fleet_new_started(load);
    if (!fleet) return -1;
    result.machines = load->machines;
    result.tasks = load->tasks;
    result.jobs = load->waiting;
    for (int i = 0; i < ROUNDS; i++) {
        tw_bench_meter meter = {.kinds = TW_BENCH_TICK};
        tw_bench_fleet_measure(fleet, &meter);
        for (int k = 0; k < PLANS; k++) tw_bench_fleet_tick_after(fleet, PLAN_INTERVAL_S);
        tw_bench_fleet_measure(fleet, NULL);
        tw_bench_result_add_round(&result, &meter, PLANS);
    }
    tw_bench_results_add(results, &result);
    tw_bench_fleet_free(fleet);
    return 0;
}

int tw_bench_case_plan(const tw_bench_sizes *sizes, tw_bench_results *results) {
    return tw_bench_run_waiting(sizes, run_plan, results);
}
