/* Capacity: amounts of cores, GPUs and memory, as machines have them and tasks ask for them. Used
 * by the scheduler and the autoscaler. Not for other packages. */
#ifndef TW_CORE_CAPACITY_H
#define TW_CORE_CAPACITY_H
#include "wire/wire.h"
#include <stdbool.h>

/* Amounts are sums of many floating-point numbers, which are off by less than this. */
#define TW_CAPACITY_ROUNDING 1e-6

typedef struct {
    double cores, gpus, memory_gb;
} tw_capacity;

/* Whether one of the job's tasks fits into the room, of which each amount may be off by less than
 * tolerance: TW_CAPACITY_ROUNDING, or more for sums over many tasks. */
static inline bool tw_capacity_fits(const tw_capacity *capacity, const tw_wire_job *spec,
                                    double tolerance) {
    return capacity->cores + tolerance >= spec->cores && capacity->gpus + tolerance >= spec->gpus &&
           capacity->memory_gb + tolerance >= spec->memory_gb;
}

/* Takes the amounts of one of the job's tasks from the room. */
static inline void tw_capacity_subtract_task(tw_capacity *capacity, const tw_wire_job *spec) {
    capacity->cores -= spec->cores;
    capacity->gpus -= spec->gpus;
    capacity->memory_gb -= spec->memory_gb;
}

/* Gives the amounts of one of the job's tasks back to the room. */
static inline void tw_capacity_add_task(tw_capacity *capacity, const tw_wire_job *spec) {
    capacity->cores += spec->cores;
    capacity->gpus += spec->gpus;
    capacity->memory_gb += spec->memory_gb;
}

/* How many of the job's tasks fit into the room: a whole number, below 0 where an amount of the
 * room is below 0. */
double tw_capacity_task_count(const tw_capacity *capacity, const tw_wire_job *spec);

#endif
