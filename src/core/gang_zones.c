/* Computes in which zones a gang has capacity for all its tasks. The free capacity is first summed
 * up over the machines of each zone, so that a gang that doesn't fit is not placed task by task and
 * undone again in each pass. The sums are upper bounds: placement may find less. Called by
 * placement_pass.c. */
#include "core/scheduler_int.h"
#include <stdbool.h>

/* Number of tasks that fit into a zone. */
typedef struct {
    int free_count;       /* in free capacity */
    int preempting_count; /* if tasks of lower priority are stopped, too */
} zone_task_counts;

/* Counts by zone index; the last entry is for machines whose zone has no index. */
typedef zone_task_counts zone_table[TW_MAX_ZONES + 1];

/* Returns how many of the job's tasks fit into the capacity, from 0 to limit. */
static int count_tasks_in_capacity(const tw_capacity *capacity, const tw_wire_job *spec,
                                   int limit) {
    const double count = fmin(limit, tw_capacity_task_count(capacity, spec));
    return count > 0 ? (int)count : 0;
}

/* Returns how many tasks of the gang fit into the machine's free capacity, at most limit. */
static int count_free_tasks(const tw_core *core, const tw_machine *machine, const tw_job *job,
                            int limit) {
    const tw_wire_machine_type *type = &core->machine_types[machine->type_index].listed;
    const tw_capacity capacity = tw_machine_free_capacity(machine, type);
    int most = count_tasks_in_capacity(&capacity, &job->spec, limit);
    if (tw_constraints_leave_gpus_usable(core, machine, job, most)) return most;
    /* The more tasks are placed, the less is left for GPUs: fits tasks do fit, most do not. */
    int fits = 0;
    while (most - fits > 1) {
        const int middle = fits + (most - fits) / 2;
        if (tw_constraints_leave_gpus_usable(core, machine, job, middle))
            fits = middle;
        else
            most = middle;
    }
    return fits;
}

/* Returns whether stopping other tasks may free capacity for the job on the machine. On a machine
 * with GPUs it frees none for tasks without GPUs, because the cores that it frees are kept for the
 * freed GPUs. */
static bool preemption_frees_capacity(const tw_core *core, const tw_machine *machine,
                                      const tw_job *job) {
    return job->spec.gpus > 0 || job->may_use_gpu_machines ||
           core->machine_types[machine->type_index].listed.gpus <= 0;
}

/* Returns how many tasks of the gang fit onto the machine if all tasks that the gang may preempt
 * are stopped, at most limit. The capacity of tasks that are being stopped already is assigned to
 * other jobs. */
static int count_preempting_tasks(const tw_core *core, const tw_machine *machine, const tw_job *job,
                                  int limit) {
    const tw_wire_machine_type *type = &core->machine_types[machine->type_index].listed;
    tw_capacity capacity = tw_machine_capacity_after_vacating(machine, type);
    const tw_placement *placed;
    DL_FOREACH(machine->placements, placed) {
        if (!tw_preemption_allowed(core, job, placed)) continue;
        tw_capacity_add_task(&capacity, &placed->job->spec);
    }
    return count_tasks_in_capacity(&capacity, &job->spec, limit);
}

/* Adds the number of tasks that fit onto the machine to its zone's counts. */
static void add_machine_to_zone(tw_core *core, const tw_demand *demand, const tw_machine *machine,
                                int tasks, zone_task_counts *zone) {
    const tw_job *job = demand->job;
    core->pass_steps++;
    if (!tw_constraints_allow_machine(core, job, machine) ||
        !tw_demand_allows_machine(core, demand, machine))
        return;
    const int free_count = count_free_tasks(core, machine, job, tasks);
    zone->free_count += free_count;
    zone->preempting_count += preemption_frees_capacity(core, machine, job)
                                  ? count_preempting_tasks(core, machine, job, tasks)
                                  : free_count;
}

/* Returns how many tasks of the job may be in one zone: half of them, rounded up, if the job
 * spreads over zones. */
static int max_tasks_in_zone(const tw_job *job) {
    return job->spec.spread ? (job->task_count + 1) / 2 : job->task_count;
}

/* Returns the zones with capacity for that many tasks as a mask. */
static uint32_t zones_with_capacity(const tw_core *core, const zone_table counts, int tasks,
                                    bool with_preemption) {
    uint32_t zones = 0;
    for (int zone = 0; zone < core->zone_count; zone++)
        if ((with_preemption ? counts[zone].preempting_count : counts[zone].free_count) >= tasks)
            zones |= 1U << zone;
    return zones;
}

/* Returns how many tasks all zones together have capacity for if each zone gets at most
 * max_tasks_in_zone. The machines without a zone index count as one more zone. */
static int count_tasks_in_all_zones(const tw_core *core, const tw_job *job, const zone_table counts,
                                    bool with_preemption) {
    const int limit = max_tasks_in_zone(job);
    int total = 0;
    for (int zone = 0; zone <= TW_MAX_ZONES; zone++) {
        if (zone >= core->zone_count && zone < TW_MAX_ZONES) continue;
        const int count = with_preemption ? counts[zone].preempting_count : counts[zone].free_count;
        total += count < limit ? count : limit;
    }
    return total;
}

uint32_t tw_gang_candidate_zones(tw_core *core, tw_job *job, int tasks) {
    zone_table counts = {0};
    const tw_demand demand = tw_demand_of(core, job);
    for (int i = 0; i < core->candidate_count; i++) {
        const tw_machine *machine = core->candidates[i].machine;
        const int zone = machine->zone_index < 0 ? TW_MAX_ZONES : machine->zone_index;
        add_machine_to_zone(core, &demand, machine, tasks, &counts[zone]);
    }
    const bool may_preempt = job->spec.priority > TW_PRIORITY_IDLE;
    for (int step = 0; step <= may_preempt; step++) {
        const bool with_preemption = step > 0;
        const uint32_t zones = zones_with_capacity(core, counts, tasks, with_preemption);
        if (job->spec.single_zone && zones) return zones;
        if (!job->spec.single_zone &&
            count_tasks_in_all_zones(core, job, counts, with_preemption) >= tasks)
            return UINT32_MAX;
    }
    return 0;
}
