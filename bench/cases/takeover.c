/* A new leader reads the records: of finished jobs, and of those that run. */
#include "fleet.h"

#define TASKS 8
#define LEAST_RECORDS 30000 /* read in all, in as many takeovers as that takes */

static const int usual_finished[] = {1000, 10000, 100000};
#define FINISHED_SIZES ((int)(sizeof usual_finished / sizeof *usual_finished))

static int take_over(const tw_bench_load *load, tw_bench_result *result) {
    tw_bench_meter meter = {.kinds = TW_BENCH_RECORDS};
    tw_bench_fleet *fleet = tw_bench_fleet_new(load);
    tw_bench_fleet_measure(fleet, &meter);
    const int failed = tw_bench_fleet_start(fleet);
    if (!failed) tw_bench_result_round(result, &meter, tw_bench_fleet_records(fleet));
    tw_bench_fleet_free(fleet);
    return failed;
}

int tw_bench_case_takeover(const tw_bench_sizes *sizes, tw_bench_results *results) {
    int finished;
    for (int i = 0;
         (finished = tw_bench_size_of(sizes->jobs, usual_finished, FINISHED_SIZES, i)) >= 0; i++) {
        const tw_bench_load load = {.machines = sizes->machines,
                                    .tasks = tw_bench_size(sizes->tasks, TASKS),
                                    .completed = finished};
        tw_bench_result result = tw_bench_result_of("takeover", "record");
        result.machines = load.machines;
        result.tasks = load.tasks;
        result.jobs = finished;
        do {
            if (take_over(&load, &result)) return -1;
        } while (result.count > 0 && result.count < LEAST_RECORDS);
        tw_bench_results_add(results, &result);
    }
    return 0;
}
