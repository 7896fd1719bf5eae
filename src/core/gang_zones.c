/* Where a gang has room for all its tasks. Sums over the machines of a zone, so that a gang that
 * doesn't fit is not placed task by task and taken back in each pass. */
#include "core/scheduler_int.h"
#include <stdbool.h>

/* How many tasks a zone has room for. */
typedef struct {
    int free;    /* without stopping anything */
    int vacated; /* if work of lower rank is stopped */
} zone_room;

typedef zone_room zone_rooms[TW_MAX_ZONES + 1]; /* the last one: machines of no known zone */

static int tasks_in(const tw_capacity *room, const tw_wire_job *spec, int most) {
    const double count = fmin(most, tw_capacity_task_count(room, spec));
    return count > 0 ? (int)count : 0;
}

static int free_on(const tw_core *core, const tw_machine *machine, const tw_job *job, int most) {
    const tw_wire_machine_type *type = &core->machine_types[machine->type_index].listed;
    const tw_capacity room = {type->cores - machine->used_cores, type->gpus - machine->used_gpus,
                              type->memory_gb - machine->used_memory_gb};
    int count = tasks_in(&room, &job->spec, most);
    while (count > 0 && !tw_constraints_leave_gpus(core, machine, job, count)) count--;
    return count;
}

/* Whether stopping others makes room there: GPUs that are given back need their cores again. */
static bool gains_by_stopping(const tw_core *core, const tw_machine *machine, const tw_job *job) {
    return job->spec.gpus > 0 || job->any_machine ||
           core->machine_types[machine->type_index].listed.gpus <= 0;
}

/* Room of tasks that are told to stop is promised to others already. */
static int vacated_on(const tw_core *core, const tw_machine *machine, const tw_job *job, int most) {
    const tw_wire_machine_type *type = &core->machine_types[machine->type_index].listed;
    tw_capacity room = {type->cores - machine->used_cores + machine->vacating_cores,
                        type->gpus - machine->used_gpus + machine->vacating_gpus,
                        type->memory_gb - machine->used_memory_gb + machine->vacating_memory_gb};
    const tw_placement *placed;
    DL_FOREACH(machine->placements, placed) {
        if (!tw_preemption_allowed(core, job, placed)) continue;
        room.cores += placed->job->spec.cores;
        room.gpus += placed->job->spec.gpus;
        room.memory_gb += placed->job->spec.memory_gb;
    }
    return tasks_in(&room, &job->spec, most);
}

static void add_machine(tw_core *core, const tw_demand *demand, const tw_machine *machine,
                        int tasks, zone_room *zone) {
    const tw_job *job = demand->job;
    core->pass_steps++;
    if (!tw_constraints_allow_machine(core, job, machine) ||
        !tw_constraints_allow_machine_zone(core, demand, machine))
        return;
    const int free = free_on(core, machine, job, tasks);
    zone->free += free;
    zone->vacated +=
        gains_by_stopping(core, machine, job) ? vacated_on(core, machine, job, tasks) : free;
}

/* How many tasks of a job that spreads over zones may stand in one; else there is no such limit. */
static int most_in_zone(const tw_job *job) {
    return job->spec.spread ? (job->task_count + 1) / 2 : job->task_count;
}

static uint32_t zones_with(const tw_core *core, const zone_rooms rooms, int tasks, int vacated) {
    uint32_t zones = 0;
    for (int zone = 0; zone < core->zone_count; zone++)
        if ((vacated ? rooms[zone].vacated : rooms[zone].free) >= tasks) zones |= 1U << zone;
    return zones;
}

/* Machines of no known zone count towards each: one of them may fill a zone. */
static int sum(const tw_core *core, const tw_job *job, const zone_rooms rooms, int vacated) {
    const int most = most_in_zone(job);
    int total = 0;
    for (int zone = 0; zone <= TW_MAX_ZONES; zone++) {
        if (zone >= core->zone_count && zone < TW_MAX_ZONES) continue;
        const int count = vacated ? rooms[zone].vacated : rooms[zone].free;
        total += count < most ? count : most;
    }
    return total;
}

uint32_t tw_gang_candidate_zones(tw_core *core, tw_job *job, int tasks) {
    zone_rooms rooms = {0};
    const tw_demand demand = tw_demand_of(core, job);
    for (int i = 0; i < core->candidate_count; i++) {
        const tw_machine *machine = core->candidates[i].machine;
        const int zone = machine->zone_index < 0 ? TW_MAX_ZONES : machine->zone_index;
        add_machine(core, &demand, machine, tasks, &rooms[zone]);
    }
    const bool may_vacate = job->spec.priority > TW_PRIORITY_IDLE;
    for (int vacated = 0; vacated <= may_vacate; vacated++) {
        const uint32_t zones = zones_with(core, rooms, tasks, vacated);
        if (job->spec.single_zone && zones) return zones;
        if (!job->spec.single_zone && sum(core, job, rooms, vacated) >= tasks) return UINT32_MAX;
    }
    return 0;
}
