/* Capacity: amounts of cores, GPUs and memory that machines have and tasks request. Used by
 * the scheduler and the autoscaler. Not for other packages. */
#ifndef TW_CORE_CAPACITY_H
#define TW_CORE_CAPACITY_H
#include "wire/wire.h"
#include <stdbool.h>

/* Upper bound of the rounding error in sums of floating-point amounts. */
#define TW_CAPACITY_ROUNDING 1e-6

typedef struct {
    double cores, gpus, memory_gb;
} tw_capacity;

/* Returns whether one of the job's tasks fits into the capacity. tolerance: the rounding error
 * allowed for each amount, TW_CAPACITY_ROUNDING or more for sums over many tasks. */
static inline bool tw_capacity_fits(const tw_capacity *capacity, const tw_wire_job *spec,
                                    double tolerance) {
    return capacity->cores + tolerance >= spec->cores && capacity->gpus + tolerance >= spec->gpus &&
           capacity->memory_gb + tolerance >= spec->memory_gb;
}

/* Subtracts the amounts of one of the job's tasks from the capacity. */
static inline void tw_capacity_subtract_task(tw_capacity *capacity, const tw_wire_job *spec) {
    capacity->cores -= spec->cores;
    capacity->gpus -= spec->gpus;
    capacity->memory_gb -= spec->memory_gb;
}

/* Adds the amounts of one of the job's tasks to the capacity. */
static inline void tw_capacity_add_task(tw_capacity *capacity, const tw_wire_job *spec) {
    capacity->cores += spec->cores;
    capacity->gpus += spec->gpus;
    capacity->memory_gb += spec->memory_gb;
}

/* Returns how many of the job's tasks fit into the capacity: a whole number, negative if an
 * amount of the capacity is negative. */
double tw_capacity_task_count(const tw_capacity *capacity, const tw_wire_job *spec);

#endif
