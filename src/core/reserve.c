/* Reserves capacity for job classes that need more GPUs per task. Where no machine can be rented,
 * many small pending tasks would occupy all capacity that is released, and a larger task, or one
 * with more GPUs, would never fit. A task of a service is therefore placed only if it leaves enough
 * slots for the arrivals that are expected, within their start objective, of the classes that need
 * more GPUs than it does. A slot is the capacity for one task of the class's sample on one machine.
 *
 * class->reserve is the number of slots to keep, class->reserve_available the number of free slots.
 * Both are computed at the start of a pass, and reserve_available is updated with each placement of
 * a service. */
#include "core/core_int.h"
#include <stdbool.h>

/* Factor for the number of slots of a class whose tasks start in time only with a cached image. */
#define CACHED_IMAGE_FACTOR 3
#define ROUND_DOWN_SHARE 0.3 /* a fraction of a task up to this value is rounded down */

/* Returns how many tasks of the class's sample fit into the capacity. */
static int count_fitting_tasks(const tw_capacity *capacity, const tw_wire_job *spec) {
    const double count = tw_capacity_task_count(capacity, spec);
    return count > 0 ? (int)count : 0;
}

/* Returns the capacity that a service of the highest priority can use on the machine: free
 * capacity, except what is reserved for tasks that are preempting others, and the capacity of tasks
 * of lower priority. */
static tw_capacity capacity_for_service(const tw_core *core, const tw_machine *machine) {
    const tw_wire_machine_type *type = &core->machine_types[machine->type_index].listed;
    return tw_machine_capacity_after_preemption(machine, type, TW_PRIORITY_PROD);
}

/* Returns whether slots are reserved for the class and the machine may hold them. */
static bool machine_counts_for_class(const tw_job_class *class, const tw_machine *machine) {
    return class->reserve > 0 && (class->sample_type_mask & (1U << machine->type_index)) &&
           (!machine->spot || class->sample.spot);
}

/* Returns whether a task of the class starts in time only where its image is cached, because it may
 * use no machine type that is expected to fetch the image in time. */
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

/* Returns how many slots to reserve for a class: the arrivals expected within its start objective,
 * plus the square root of that number times the batch size, because more may arrive. */
static int count_slots_to_reserve(const tw_core *core, const tw_job_class *class) {
    if (!class->has_sample || !class->sample.service || class->sample.gpus <= 0 ||
        class->start_within_s <= 0)
        return 0;
    double tasks = class->task_rate * class->start_within_s;
    const double batch_tasks = fmax(1, class->batch_tasks);
    tasks += sqrt(tasks * batch_tasks);
    /* A slot is usable only by tasks whose image is cached on its machine. */
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

/* Returns how many slots of the class a task of the job would use up on the machine. */
static int count_lost_slots(const tw_core *core, const tw_machine *machine, const tw_job *job,
                            const tw_job_class *class) {
    const tw_capacity free_before = capacity_for_service(core, machine);
    tw_capacity free_after = free_before;
    tw_capacity_subtract_task(&free_after, &job->spec);
    return count_fitting_tasks(&free_before, &class->sample) -
           count_fitting_tasks(&free_after, &class->sample);
}

bool tw_reserve_allows(const tw_core *core, const tw_machine *machine, const tw_job *job) {
    if (!job->no_capacity_offered || !job->spec.service) return true;
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
