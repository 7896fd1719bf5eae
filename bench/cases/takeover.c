/* Cost of reading the records of completed and running jobs after an election. */
#include "fleet.h"

#define TASKS 8
#define MIN_RECORDS 30000 /* takeovers are repeated until this many were read in total */

static const int default_completed[] = {1000, 10000, 100000};
#define DEFAULT_COMPLETED_COUNTS ((int)(sizeof default_completed / sizeof *default_completed))

static int measure_takeover(const tw_bench_load *load, tw_bench_result *result) {
    tw_bench_meter meter = {.kinds = TW_BENCH_RECORDS};
    tw_bench_fleet *fleet = tw_bench_fleet_new(load);
    tw_bench_fleet_measure(fleet, &meter);
    const int failed = tw_bench_fleet_start(fleet);
    if (!failed) tw_bench_result_add_round(result, &meter, tw_bench_fleet_records_read(fleet));
    tw_bench_fleet_free(fleet);
    return failed;
}

int tw_bench_case_takeover(const tw_bench_sizes *sizes, tw_bench_results *results) {
    int finished;
    for (int i = 0; (finished = tw_bench_size_at(sizes->jobs, default_completed,
                                                 DEFAULT_COMPLETED_COUNTS, i)) >= 0;
         i++) {
        const tw_bench_load load = {.machines = sizes->machines,
                                    .tasks = tw_bench_size_or_default(sizes->tasks, TASKS),
                                    .completed = finished};
        tw_bench_result result = tw_bench_result_init("takeover", "record");
        result.machines = load.machines;
        result.tasks = load.tasks;
        result.jobs = finished;
        do {
            if (measure_takeover(&load, &result)) return -1;
        } while (result.count > 0 && result.count < MIN_RECORDS);
        tw_bench_results_add(results, &result);
    }
    return 0;
}
