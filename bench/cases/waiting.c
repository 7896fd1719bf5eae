#include "cases/waiting.h"

static const int default_waiting[] = {0, 100, 1000};
#define DEFAULT_WAITING_COUNTS ((int)(sizeof default_waiting / sizeof *default_waiting))

int tw_bench_run_waiting(const tw_bench_sizes *sizes, tw_bench_waiting_case *run,
                         tw_bench_results *results) {
    int waiting;
    for (int i = 0;
         (waiting = tw_bench_size_at(sizes->jobs, default_waiting, DEFAULT_WAITING_COUNTS, i)) >= 0;
         i++) {
        const tw_bench_load load = {
            .machines = sizes->machines,
            .tasks = tw_bench_size_or_default(sizes->tasks, TW_BENCH_WAITING_TASKS),
            .waiting = waiting};
        if (run(&load, results)) return -1;
    }
    return 0;
}
