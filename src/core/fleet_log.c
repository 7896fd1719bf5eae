/* Logs the size and the utilization of the fleet for operators. */
#include "core/autoscaler_int.h"
#include <stdbool.h>

/* The machines of a type with the same pricing, and their resources in use. */
typedef struct {
    int up, idle, booting;
    double cores, gpus, batch_gpus;
} fleet_count;

static void count_machine(fleet_count *count, const tw_machine *machine) {
    if (machine->state == TW_MACHINE_BOOTING) {
        count->booting++;
        return;
    }
    count->up++;
    count->idle += !tw_machine_is_occupied(machine);
    count->cores += machine->used_cores;
    count->gpus += machine->used_gpus;
    const tw_placement *placed;
    DL_FOREACH(machine->placements, placed) {
        if (placed->counted && !placed->job->spec.service)
            count->batch_gpus += placed->job->spec.gpus;
    }
}

void tw_fleet_log(const tw_core *core) {
    if (!tw_log_is_enabled(TW_LOG_INFO)) return;
    fleet_count(*counts)[2] = tw_alloc((size_t)core->machine_type_count * sizeof *counts);
    const tw_machine *machine;
    const struct tw_machine *next;
    HASH_ITER(hh, core->machines, machine, next) {
        if (machine->type_index >= 0)
            count_machine(&counts[machine->type_index][!!machine->spot], machine);
    }
    for (int i = 0; i < core->machine_type_count; i++)
        for (int spot = 0; spot < 2; spot++) {
            const tw_wire_machine_type *type = &core->machine_types[i].listed;
            const fleet_count *count = &counts[i][spot];
            if (!count->up && !count->booting) continue;
            tw_log_info(
                "event=fleet_counted machine_type=%s spot=%d up=%d idle=%d coming=%d cores=%.2f "
                "gpus=%.2f batch_gpus=%.0f",
                type->name, spot, count->up, count->idle, count->booting,
                count->up ? count->cores / (count->up * type->cores) : 0,
                count->up && type->gpus > 0 ? count->gpus / (count->up * type->gpus) : 0,
                count->batch_gpus);
        }
    free(counts);
}
