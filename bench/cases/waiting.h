/* Runs cases whose cost depends on the number of waiting jobs, once for each such number. */
#ifndef TW_BENCH_WAITING_H
#define TW_BENCH_WAITING_H
#include "fleet.h"

/* Default number of tasks on a machine. */
#define TW_BENCH_WAITING_TASKS 8

/* Runs a case with the load and adds its result. Returns 0, or -1 if the fleet did not reach the
 * state to be measured. */
typedef int tw_bench_waiting_case(const tw_bench_load *load, tw_bench_results *results);

/* Runs the case with 0, 100 and 1,000 waiting jobs, or with the number that `sizes` requests.
 * Returns 0, or -1 if a run failed. */
int tw_bench_run_waiting(const tw_bench_sizes *sizes, tw_bench_waiting_case *run,
                         tw_bench_results *results);

#endif
