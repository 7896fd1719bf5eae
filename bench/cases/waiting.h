/* Cases whose cost depends on how many jobs wait: run once for each usual number of them. */
#ifndef TW_BENCH_WAITING_H
#define TW_BENCH_WAITING_H
#include "fleet.h"

/* Tasks on a machine, unless the sizes say how many. */
#define TW_BENCH_WAITING_TASKS 8

/* Runs a case with that load and adds its result. 0, or -1: the fleet did not come to that state.
 */
typedef int tw_bench_waiting_case(const tw_bench_load *load, tw_bench_results *results);

/* Runs it for 0, 100 and 1,000 waiting jobs, or for the number that the sizes give. */
int tw_bench_run_waiting(const tw_bench_sizes *sizes, tw_bench_waiting_case *run,
                         tw_bench_results *results);

#endif
