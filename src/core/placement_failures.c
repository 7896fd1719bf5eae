/* Kinds of tasks that the pass could not place. During a pass free capacity only decreases,
 * except in the cases in which the failures are cleared. So if neither free capacity nor
 * preemption made a placement possible, the next of many similar jobs does not search the
 * whole fleet again. While hundreds of jobs are pending, this saves most of the cost of a
 * pass. */
#include "core/scheduler_int.h"
#include <stdbool.h>

#define INITIAL_CAPACITY 16

tw_placement_failure tw_placement_failure_of(const tw_demand *demand) {
    const tw_job *job = demand->job;
    return (tw_placement_failure){.shape = tw_task_shape_of(job),
                                  .zone_mask = demand->zone_mask,
                                  .priority = job->spec.priority,
                                  .service = job->spec.service,
                                  .gang = job->spec.gang};
}

/* Returns whether both failures are for the same kind of task. */
static bool kinds_are_equal(const tw_placement_failure *one, const tw_placement_failure *other) {
    return tw_task_shapes_are_equal(&one->shape, &other->shape) &&
           one->zone_mask == other->zone_mask && one->priority == other->priority &&
           one->service == other->service && one->gang == other->gang;
}

bool tw_placement_failures_has(const tw_core *core, const tw_placement_failure *kind) {
    for (int i = 0; i < core->placement_failure_count; i++)
        if (kinds_are_equal(&core->placement_failures[i], kind)) return true;
    return false;
}

void tw_placement_failures_add(tw_core *core, const tw_placement_failure *kind) {
    core->placement_failures = tw_grow(core->placement_failures, core->placement_failure_count,
                                       &core->placement_failure_capacity, INITIAL_CAPACITY,
                                       sizeof *core->placement_failures);
    core->placement_failures[core->placement_failure_count++] = *kind;
}

void tw_placement_failures_clear_cpu_only(tw_core *core) {
    int kept = 0;
    for (int i = 0; i < core->placement_failure_count; i++)
        if (core->placement_failures[i].shape.gpus > 0)
            core->placement_failures[kept++] = core->placement_failures[i];
    core->placement_failure_count = kept;
}

void tw_placement_failures_clear(tw_core *core) { core->placement_failure_count = 0; }
