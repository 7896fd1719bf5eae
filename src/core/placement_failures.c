/* What a pass need not try again. Within a pass room only gets less, but for what is said below. So
 * a kind of task that found none, by itself or by stopping others, is not tried on the whole fleet
 * again for the next of many jobs alike: while hundreds wait, this is most of a pass. */
#include "core/scheduler_int.h"
#include <stdbool.h>

#define INITIAL_CAPACITY 16

tw_placement_failure tw_placement_failure_of(const tw_demand *demand) {
    const tw_job *job = demand->job;
    return (tw_placement_failure){.cores = job->spec.cores,
                                  .gpus = job->spec.gpus,
                                  .memory_gb = job->spec.memory_gb,
                                  .type_mask = job->type_mask,
                                  .zone_mask = demand->zone_mask,
                                  .spot = job->spec.spot,
                                  .priority = job->spec.priority,
                                  .service = job->spec.service,
                                  .any_machine = job->any_machine,
                                  .gang = job->spec.gang};
}

static bool same_amounts(const tw_placement_failure *one, const tw_placement_failure *other) {
    return one->cores == other->cores && one->gpus == other->gpus &&
           one->memory_gb == other->memory_gb;
}

static bool same_machines(const tw_placement_failure *one, const tw_placement_failure *other) {
    return one->type_mask == other->type_mask && one->zone_mask == other->zone_mask &&
           one->spot == other->spot && one->any_machine == other->any_machine;
}

bool tw_placement_failures_has(const tw_core *core, const tw_placement_failure *kind) {
    for (int i = 0; i < core->placement_failure_count; i++) {
        const tw_placement_failure *known = &core->placement_failures[i];
        if (same_amounts(known, kind) && same_machines(known, kind) &&
            known->priority == kind->priority && known->service == kind->service &&
            known->gang == kind->gang)
            return true;
    }
    return false;
}

void tw_placement_failures_add(tw_core *core, const tw_placement_failure *kind) {
    core->placement_failures = tw_grow(core->placement_failures, core->placement_failure_count,
                                       &core->placement_failure_capacity, INITIAL_CAPACITY,
                                       sizeof *core->placement_failures);
    core->placement_failures[core->placement_failure_count++] = *kind;
}

/* A task with GPUs was placed: what may be taken beside them need not be less now. */
void tw_placement_failures_forget_cpu(tw_core *core) {
    int kept = 0;
    for (int i = 0; i < core->placement_failure_count; i++)
        if (core->placement_failures[i].gpus > 0)
            core->placement_failures[kept++] = core->placement_failures[i];
    core->placement_failure_count = kept;
}

/* Room was given back. */
void tw_placement_failures_forget(tw_core *core) { core->placement_failure_count = 0; }
