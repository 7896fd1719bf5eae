/* Room that services leave for classes that need scarcer room. Where nothing more can be rented,
 * many small tasks that wait would take every bit of room that is given back, and a larger task,
 * or one with more GPUs, would never find room. So a service's task leaves enough holes for the
 * arrivals that are expected, until their start objective, of the classes that need more GPUs than
 * it does. A hole is room for one task of a class's sample on a machine.
 *
 * class->reserve is how many holes are to be kept, class->reserve_available how many there are:
 * both are worked out as a pass begins, and the latter follows each placement of a service. */
#include "core/core_int.h"
#include <stdbool.h>

#define CACHED_IMAGE_FACTOR                                                                        \
    3 /* times as many holes, where a task starts in time only beside its image */
#define ROUND_DOWN_SHARE 0.3 /* of a task: a fraction up to this is not rounded up */

/* How many tasks of a class's sample fit into this room. */
static int count_fitting_tasks(const tw_capacity *capacity, const tw_wire_job *spec) {
    const double count = tw_capacity_task_count(capacity, spec);
    return count > 0 ? (int)count : 0;
}

/* What a service of the highest priority may have on the machine: what is free and not promised,
 * and what tasks of lower priority use. */
static tw_capacity capacity_for_service(const tw_core *core, const tw_machine *machine) {
    const tw_wire_machine_type *type = &core->machine_types[machine->type_index].listed;
    return tw_machine_preemptible_capacity(machine, type, TW_PRIORITY_PROD);
}

/* Whether holes are kept for the class and may be on the machine. */
static bool machine_counts_for_class(const tw_job_class *class, const tw_machine *machine) {
    return class->reserve > 0 && (class->sample_type_mask & (1U << machine->type_index)) &&
           (!machine->spot || class->sample.spot);
}

/* Whether a task of the class starts in time only where its image is cached: no type of machine
 * that it may use is expected to fetch the image in time. */
static bool needs_cached_image(const tw_core *core, const tw_job_class *class) {
    for (int i = 0; i < core->machine_type_count; i++) {
        const tw_machine_type *type = &core->machine_types[i];
        const double fetch_s = type->fetch_s_per_gb * class->sample.image_gb;
        if ((class->sample_type_mask & (1U << i)) &&
            type->queue_delay_s + fetch_s * (1 + 2 * type->fetch_deviation) <=
                class->start_within_s)
            return false;
    }
    return true;
}

/* How many holes to keep for a class: those that its arrivals need until their start objective, and
 * the square root of that, by batches, for the chance that more arrive. */
static int count_slots_to_reserve(const tw_core *core, const tw_job_class *class) {
    if (!class->has_sample || !class->sample.service || class->sample.gpus <= 0 ||
        class->start_within_s <= 0)
        return 0;
    double tasks = class->task_rate * class->start_within_s;
    const double batch_tasks = fmax(1, class->batch_tasks);
    tasks += sqrt(tasks * batch_tasks);
    /* A hole is of use only to the tasks whose image is cached beside it. */
    if (needs_cached_image(core, class)) tasks *= CACHED_IMAGE_FACTOR;
    return (int)ceil(tasks - ROUND_DOWN_SHARE);
}

void tw_reserve_update(tw_core *core) {
    bool any_reserve = false;
    for (tw_job_class *class = core->job_classes; class; class = class->hh.next) {
        class->reserve_available = 0;
        class->reserve = count_slots_to_reserve(core, class);
        any_reserve |= class->reserve > 0;
    }
    if (!any_reserve) return;
    tw_machine *machine;
    struct tw_machine *next;
    HASH_ITER(hh, core->machines, machine, next) {
        if (!tw_machine_is_usable(core, machine)) continue;
        const tw_capacity capacity = capacity_for_service(core, machine);
        for (tw_job_class *class = core->job_classes; class; class = class->hh.next)
            if (machine_counts_for_class(class, machine))
                class->reserve_available += count_fitting_tasks(&capacity, &class->sample);
    }
}

/* How many holes of the class are lost when a task of the job takes room on the machine. */
static int count_lost_slots(const tw_core *core, const tw_machine *machine, const tw_job *job,
                            const tw_job_class *class) {
    const tw_capacity free_before = capacity_for_service(core, machine);
    tw_capacity free_after = free_before;
    tw_capacity_take_task(&free_after, &job->spec);
    return count_fitting_tasks(&free_before, &class->sample) -
           count_fitting_tasks(&free_after, &class->sample);
}

bool tw_reserve_allows(const tw_core *core, const tw_machine *machine, const tw_job *job) {
    if (!job->capacity_bound || !job->spec.service) return true;
    for (const tw_job_class *class = core->job_classes; class; class = class->hh.next) {
        if (class == job->job_class || class->sample.gpus <= job->spec.gpus ||
            !machine_counts_for_class(class, machine))
            continue;
        const int lost_slots = count_lost_slots(core, machine, job, class);
        if (lost_slots > 0 && class->reserve_available - lost_slots < class->reserve) return false;
    }
    return true;
}

void tw_reserve_record_placement(tw_core *core, const tw_machine *machine, const tw_job *job) {
    if (!job->spec.service) return;
    for (tw_job_class *class = core->job_classes; class; class = class->hh.next)
        if (machine_counts_for_class(class, machine))
            class->reserve_available -= count_lost_slots(core, machine, job, class);
}
