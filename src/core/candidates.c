/* The machines that a pass may use, and the free share of each zone. Both are computed once,
 * when the pass starts: whether a machine is usable does not change during a pass, and the
 * free shares need not follow each placement. The core owns core->candidates, and each pass
 * reuses its memory. */
#include "core/scheduler_int.h"
#include <stdbool.h>

#define INITIAL_CAPACITY 64

/* Amounts of a zone's on-demand machines, in total and in use. */
typedef struct {
    double cores, used_cores, gpus, used_gpus;
} zone_usage;

static void add_candidate(tw_core *core, tw_machine *machine) {
    core->candidates = tw_grow(core->candidates, core->candidate_count, &core->candidate_capacity,
                               INITIAL_CAPACITY, sizeof *core->candidates);
    core->candidates[core->candidate_count++] = (tw_candidate){.machine = machine};
}

void tw_candidates_update(tw_core *core) {
    zone_usage usage[TW_MAX_ZONES + 1] = {0};
    tw_machine *machine;
    struct tw_machine *next;
    core->candidate_count = 0;
    HASH_ITER(hh, core->machines, machine, next) {
        if (!tw_machine_is_usable(core, machine)) continue;
        add_candidate(core, machine);
        if (machine->spot) continue;
        const tw_wire_machine_type *type = &core->machine_types[machine->type_index].listed;
        zone_usage *zone = &usage[machine->zone_index < 0 ? TW_MAX_ZONES : machine->zone_index];
        zone->cores += type->cores;
        zone->gpus += type->gpus;
        zone->used_cores += machine->used_cores;
        zone->used_gpus += machine->used_gpus;
    }
    for (int i = 0; i <= TW_MAX_ZONES; i++) {
        core->zones[i].free_cores =
            usage[i].cores > 0 ? 1 - usage[i].used_cores / usage[i].cores : 0;
        core->zones[i].free_gpus = usage[i].gpus > 0 ? 1 - usage[i].used_gpus / usage[i].gpus : 0;
    }
}

double tw_candidates_zone_free_share(const tw_core *core, const tw_machine *machine, bool gpus) {
    const int zone = machine->zone_index < 0 ? TW_MAX_ZONES : machine->zone_index;
    return gpus ? core->zones[zone].free_gpus : core->zones[zone].free_cores;
}
