/* Cost of submissions: of a single one that is placed without waiting, and of a burst. */
#include "fleet.h"
#include <stdbool.h>

#define ROUNDS 5
#define SUBMISSIONS 20 /* number per round */
#define TASKS 8
#define PASS_INTERVAL_S 0.2
#define MAX_BURST_S 300.0
#define STEP_S 0.1

static const int default_bursts[] = {100, 1900};
#define DEFAULT_BURSTS ((int)(sizeof default_bursts / sizeof *default_bursts))

/* Measures one submission. Returns 0, or -1 if its task was not running when the node's calls were
 * answered. */
static int measure_placement(tw_bench_fleet *fleet, tw_bench_meter *meter) {
    tw_bench_fleet_advance(fleet, PASS_INTERVAL_S);
    tw_bench_fleet_deliver_answers(fleet);
    const int running = tw_bench_fleet_running_tasks(fleet);
    tw_bench_fleet_measure(fleet, meter);
    tw_bench_fleet_submit(fleet);
    tw_bench_fleet_deliver_answers(fleet);
    tw_bench_fleet_measure(fleet, NULL);
    return tw_bench_fleet_running_tasks(fleet) == running + 1 ? 0 : -1;
}

int tw_bench_case_placement(const tw_bench_sizes *sizes, tw_bench_results *results) {
    const tw_bench_load load = {.machines = sizes->machines,
                                .tasks = tw_bench_size_or_default(sizes->tasks, TASKS)};
    tw_bench_result result = tw_bench_result_init("placement", "job");
    tw_bench_fleet *fleet = tw_bench_fleet_new_started(&load);
    int failed = 0;
    if (!fleet) return -1;
    result.machines = load.machines;
    result.tasks = load.tasks;
    for (int i = 0; i < ROUNDS; i++) {
        tw_bench_meter meter = {.kinds = TW_BENCH_USER | TW_BENCH_ANSWER};
        for (int k = 0; k < SUBMISSIONS; k++) failed |= measure_placement(fleet, &meter);
        tw_bench_result_add_round(&result, &meter, SUBMISSIONS);
    }
    tw_bench_results_add(results, &result);
    tw_bench_fleet_free(fleet);
    return failed;
}

static int run_burst(int machines, int jobs, tw_bench_results *results) {
    const tw_bench_load load = {.machines = machines};
    tw_bench_meter meter = {.kinds =
                                TW_BENCH_USER | TW_BENCH_ANSWER | TW_BENCH_PEER | TW_BENCH_TICK};
    tw_bench_result result = tw_bench_result_init("opening", "job");
    tw_bench_fleet *fleet = tw_bench_fleet_new_started(&load);
    double waited_s = 0;
    if (!fleet) return -1;
    tw_bench_fleet_measure(fleet, &meter);
    for (int i = 0; i < jobs; i++) tw_bench_fleet_submit(fleet);
    while (tw_bench_fleet_running_tasks(fleet) < jobs && waited_s < MAX_BURST_S) {
        tw_bench_fleet_advance(fleet, STEP_S);
        waited_s += STEP_S;
    }
    const bool failed = tw_bench_fleet_running_tasks(fleet) < jobs;
    result.machines = machines;
    result.jobs = jobs;
    tw_bench_result_add_round(&result, &meter, jobs);
    tw_bench_results_add(results, &result);
    tw_bench_fleet_free(fleet);
    return failed ? -1 : 0;
}

int tw_bench_case_submission_burst(const tw_bench_sizes *sizes, tw_bench_results *results) {
    int jobs;
    for (int i = 0; (jobs = tw_bench_size_at(sizes->jobs, default_bursts, DEFAULT_BURSTS, i)) >= 0;
         i++)
        if (jobs > 0 && run_burst(sizes->machines, jobs, results)) return -1;
    return 0;
}
