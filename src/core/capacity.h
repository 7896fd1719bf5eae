/* Capacity: amounts of cores, GPUs and memory, as machines have them and tasks ask for them. Used
 * by the scheduler and the autoscaler. Not for other packages. */
#ifndef TW_CORE_CAPACITY_H
#define TW_CORE_CAPACITY_H
#include "wire/wire.h"

/* Amounts are sums of many floating-point numbers, which are off by less than this. */
#define TW_CAPACITY_ROUNDING 1e-6

typedef struct {
    double cores, gpus, memory_gb;
} tw_capacity;

/* How many of the job's tasks fit into the room: a whole number, below 0 where an amount of the
 * room is below 0. */
double tw_capacity_task_count(const tw_capacity *room, const tw_wire_job *spec);

#endif
