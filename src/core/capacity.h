/* Room for tasks: amounts of what machines have and jobs ask for. Not for other packages. */
#ifndef TW_CORE_ROOM_H
#define TW_CORE_ROOM_H
#include "wire/wire.h"

/* Amounts are sums of many, which drift by less. */
#define TW_CAPACITY_ROUNDING 1e-6

typedef struct {
    double cores, gpus, memory_gb;
} tw_capacity;

/* How many of the job's tasks fit into this room, a whole number; below 0 if it is less than none.
 */
double tw_capacity_task_count(const tw_capacity *room, const tw_wire_job *spec);

#endif
