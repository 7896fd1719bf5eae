/* How many tasks fit into given amounts. */
#include "core/capacity.h"
#include <math.h>

#define UNLIMITED_COUNT 1e6 /* tasks that ask for no amounts */

/* How many whole times the amount is contained in what is available. */
static double count_whole(double available, double amount) {
    return floor(available / amount + TW_CAPACITY_ROUNDING);
}

double tw_capacity_task_count(const tw_capacity *capacity, const tw_wire_job *spec) {
    double count = UNLIMITED_COUNT;
    if (spec->cores > 0) count = fmin(count, count_whole(capacity->cores, spec->cores));
    if (spec->gpus > 0) count = fmin(count, count_whole(capacity->gpus, spec->gpus));
    if (spec->memory_gb > 0) count = fmin(count, count_whole(capacity->memory_gb, spec->memory_gb));
    return count;
}
