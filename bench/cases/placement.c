/* Submissions: one that is placed at once, and many at the same moment. */
#include "fleet.h"
#include <stdbool.h>

#define ROUNDS 5
#define SUBMISSIONS 20 /* in a round */
#define TASKS 8
#define PAUSE_S 0.2
#define LONGEST_OPENING_S 300.0
#define STEP_S 0.1

static const int usual_openings[] = {100, 1900};
#define OPENINGS ((int)(sizeof usual_openings / sizeof *usual_openings))

/* 0, or -1: it was not placed at once. */
static int place_one(tw_bench_fleet *fleet, tw_bench_meter *meter) {
    tw_bench_fleet_advance(fleet, PAUSE_S);
    tw_bench_fleet_settle(fleet);
    const int running = tw_bench_fleet_running(fleet);
    tw_bench_fleet_measure(fleet, meter);
    tw_bench_fleet_submit(fleet);
    tw_bench_fleet_settle(fleet);
    tw_bench_fleet_measure(fleet, NULL);
    return tw_bench_fleet_running(fleet) == running + 1 ? 0 : -1;
}

int tw_bench_case_placement(const tw_bench_sizes *sizes, tw_bench_results *results) {
    const tw_bench_load load = {.machines = sizes->machines,
                                .tasks = tw_bench_size(sizes->tasks, TASKS)};
    tw_bench_result result = tw_bench_result_of("placement", "job");
    tw_bench_fleet *fleet = tw_bench_fleet_ready(&load);
    int failed = 0;
    if (!fleet) return -1;
    result.machines = load.machines;
    result.tasks = load.tasks;
    for (int i = 0; i < ROUNDS; i++) {
        tw_bench_meter meter = {.kinds = TW_BENCH_USER | TW_BENCH_ANSWER};
        for (int k = 0; k < SUBMISSIONS; k++) failed |= place_one(fleet, &meter);
        tw_bench_result_round(&result, &meter, SUBMISSIONS);
    }
    tw_bench_results_add(results, &result);
    tw_bench_fleet_free(fleet);
    return failed;
}

static int open_fleet(int machines, int jobs, tw_bench_results *results) {
    const tw_bench_load load = {.machines = machines};
    tw_bench_meter meter = {.kinds =
                                TW_BENCH_USER | TW_BENCH_ANSWER | TW_BENCH_PEER | TW_BENCH_TICK};
    tw_bench_result result = tw_bench_result_of("opening", "job");
    tw_bench_fleet *fleet = tw_bench_fleet_ready(&load);
    double passed = 0;
    if (!fleet) return -1;
    tw_bench_fleet_measure(fleet, &meter);
    for (int i = 0; i < jobs; i++) tw_bench_fleet_submit(fleet);
    while (tw_bench_fleet_running(fleet) < jobs && passed < LONGEST_OPENING_S) {
        tw_bench_fleet_advance(fleet, STEP_S);
        passed += STEP_S;
    }
    const bool failed = tw_bench_fleet_running(fleet) < jobs;
    result.machines = machines;
    result.jobs = jobs;
    tw_bench_result_round(&result, &meter, jobs);
    tw_bench_results_add(results, &result);
    tw_bench_fleet_free(fleet);
    return failed ? -1 : 0;
}

int tw_bench_case_opening(const tw_bench_sizes *sizes, tw_bench_results *results) {
    int jobs;
    for (int i = 0; (jobs = tw_bench_size_of(sizes->jobs, usual_openings, OPENINGS, i)) >= 0; i++)
        if (jobs > 0 && open_fleet(sizes->machines, jobs, results)) return -1;
    return 0;
}
