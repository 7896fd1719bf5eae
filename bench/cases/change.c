/* Cost of a heartbeat that reports a completed task: by itself (change), and together with the
 * scheduling pass that the freed capacity triggers, while the waiting jobs still don't fit
 * (pass). */
#include "cases/waiting.h"
#include "fleet.h"

#define ROUNDS 5
#define HEARTBEATS 20 /* number per round */
#define TASKS 8
#define PASS_INTERVAL_S 0.2 /* longer than the shortest interval between scheduling passes */

/* Sends and measures a heartbeat that reports a completed task. */
static void send_completion(tw_bench_fleet *fleet, int machine, tw_bench_meter *meter) {
    tw_bench_fleet_complete_task(fleet, machine);
    tw_bench_fleet_measure(fleet, meter);
    tw_bench_fleet_send_heartbeat(fleet, machine);
    tw_bench_fleet_measure(fleet, NULL);
}

static void wait_for_pass_interval(tw_bench_fleet *fleet) {
    tw_bench_fleet_advance(fleet, PASS_INTERVAL_S);
    tw_bench_fleet_deliver_answers(fleet);
}

/* Measures a completion without a scheduling pass. Two machines with tasks of different jobs send
 * heartbeats; the first, unmeasured one triggers the pass, so that none is due at the second. */
static void measure_completion(tw_bench_fleet *fleet, int pair, int machines,
                               tw_bench_meter *meter) {
    wait_for_pass_interval(fleet);
    send_completion(fleet, pair % machines, NULL);
    send_completion(fleet, (pair + machines / 2) % machines, meter);
}

int tw_bench_case_change(const tw_bench_sizes *sizes, tw_bench_results *results) {
    const tw_bench_load load = {.machines = sizes->machines,
                                .tasks = tw_bench_size_or_default(sizes->tasks, TASKS)};
    tw_bench_result result = tw_bench_result_init("change", "report");
    tw_bench_fleet *fleet = tw_bench_fleet_new_started(&load);
    if (!fleet) return -1;
    result.machines = load.machines;
    result.tasks = load.tasks;
    for (int i = 0; i < ROUNDS; i++) {
        tw_bench_meter meter = {.kinds = TW_BENCH_HEARTBEAT};
        for (int k = 0; k < HEARTBEATS; k++)
            measure_completion(fleet, i * HEARTBEATS + k, load.machines, &meter);
        tw_bench_result_add_round(&result, &meter, HEARTBEATS);
    }
    tw_bench_results_add(results, &result);
    tw_bench_fleet_free(fleet);
    return 0;
}

static int run_pass(const tw_bench_load *load, tw_bench_results *results) {
    tw_bench_result result = tw_bench_result_init("pass", "pass");
    tw_bench_fleet *fleet = tw_bench_fleet_new_started(load);
    if (!fleet) return -1;
    result.machines = load->machines;
    result.tasks = load->tasks;
    result.jobs = load->waiting;
    for (int i = 0; i < ROUNDS; i++) {
        tw_bench_meter meter = {.kinds = TW_BENCH_HEARTBEAT};
        for (int k = 0; k < HEARTBEATS; k++) {
            wait_for_pass_interval(fleet);
            send_completion(fleet, (i * HEARTBEATS + k) % load->machines, &meter);
        }
        tw_bench_result_add_round(&result, &meter, HEARTBEATS);
    }
    tw_bench_results_add(results, &result);
    tw_bench_fleet_free(fleet);
    return 0;
}

int tw_bench_case_pass(const tw_bench_sizes *sizes, tw_bench_results *results) {
    return tw_bench_run_waiting(sizes, run_pass, results);
}
