/* The number of tasks that fit into a given capacity. */
#include "core/capacity.h"
#include <math.h>

/* result for tasks that request no resources */
#define UNLIMITED_COUNT 1e6

/* Returns how many times the amount is completely contained in the available amount. */
static double count_whole_multiples(double available, double amount) {
    return floor(available / amount + TW_CAPACITY_ROUNDING);
}

double tw_capacity_task_count(const tw_capacity *capacity, const tw_wire_job *spec) {
    double count = UNLIMITED_COUNT;
    if (spec->cores > 0) count = fmin(count, count_whole_multiples(capacity->cores, spec->cores));
    if (spec->gpus > 0) count = fmin(count, count_whole_multiples(capacity->gpus, spec->gpus));
    if (spec->memory_gb > 0)
        count = fmin(count, count_whole_multiples(capacity->memory_gb, spec->memory_gb));
    return count;
}
