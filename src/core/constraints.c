/* Constraints on the machines and zones for a task: the machine types, spot machines and zones
 * that its job allows, machines that its job avoids, its team's limit, and the cores and
 * memory that tasks without GPUs must leave for a machine's free GPUs. Only the last of these
 * depends on the machine's free capacity. */
#include "core/scheduler_int.h"
#include <stdbool.h>

/* Returns how many of the job's tasks are on machines whose zone is known by name only and is that
 * zone. */
static int count_unindexed_in_zone(tw_core *core, const tw_job *job, const char *zone) {
    int count = 0;
    const tw_placement *placed;
    if (!job->placed_in_zone[TW_ZONE_UNINDEXED]) return 0;
    DL_FOREACH2(job->placements, placed, job_next) {
        core->pass_steps++;
        count += tw_machine_zone_class(placed->machine) == TW_ZONE_UNINDEXED &&
                 !strcmp(placed->machine->zone, zone);
    }
    return count;
}

/* Returns how many of the job's tasks are on machines that are known to be in the zone. */
static int count_in_zone(tw_core *core, const tw_job *job, const char *zone) {
    for (int index = 0; index < core->zone_count; index++)
        if (!strcmp(core->zone_names[index], zone)) return job->placed_in_zone[index];
    return count_unindexed_in_zone(core, job, zone);
}

bool tw_constraints_allow_zone(tw_core *core, const tw_job *job, const char *zone) {
    if (*job->spec.zone && strcmp(job->spec.zone, zone) != 0) return false;
    if ((!job->spec.single_zone && !job->spec.spread) || !job->placed_count) return true;
    const int max_in_zone = (job->task_count + 1) / 2;
    const int count = count_in_zone(core, job, zone);
    if (job->spec.single_zone && count < job->placed_count) return false;
    /* A machine of an unknown zone may be in this one. */
    return !job->spec.spread || count + job->placed_in_zone[TW_ZONE_UNKNOWN] < max_in_zone;
}

bool tw_quota_allows_tasks(const tw_core *core, const tw_job *job, int tasks) {
    if (job->team < 0) return false;
    const tw_config_team *team = &core->context.config->teams[job->team];
    return (team->cpus_max <= 0 || core->team_cores_used[job->team] + tasks * job->spec.cores <=
                                       team->cpus_max + TW_CAPACITY_ROUNDING) &&
           (team->gpus_max <= 0 || core->team_gpus_used[job->team] + tasks * job->spec.gpus <=
                                       team->gpus_max + TW_CAPACITY_ROUNDING);
}

void tw_gpu_share_update(tw_core *core) {
    core->cores_per_gpu = core->memory_gb_per_gpu = 0;
    for (const tw_job_class *class = core->job_classes; class; class = class->hh.next) {
        const tw_wire_job *sample = &class->sample;
        if (!class->has_sample || sample->gpus <= 0) continue;
        core->cores_per_gpu = fmax(core->cores_per_gpu, sample->cores / sample->gpus);
        core->memory_gb_per_gpu = fmax(core->memory_gb_per_gpu, sample->memory_gb / sample->gpus);
    }
}

bool tw_constraints_capacity_leaves_gpus_usable(const tw_core *core,
                                                const tw_wire_machine_type *type,
                                                const tw_capacity *capacity,
                                                const tw_wire_job *spec, int tasks) {
    if (spec->gpus > 0 || type->gpus <= 0) return true;
    double cores_per_gpu = core->cores_per_gpu;
    double memory_gb_per_gpu = core->memory_gb_per_gpu;
    /* No samples of GPU tasks: each GPU keeps its proportional share of the machine. */
    if (cores_per_gpu <= 0) {
        cores_per_gpu = type->cores / type->gpus;
        memory_gb_per_gpu = type->memory_gb / type->gpus;
    }
    return capacity->cores - tasks * spec->cores + TW_CAPACITY_ROUNDING >=
               capacity->gpus * cores_per_gpu &&
           capacity->memory_gb - tasks * spec->memory_gb + TW_CAPACITY_ROUNDING >=
               capacity->gpus * memory_gb_per_gpu;
}

bool tw_constraints_leave_gpus_usable(const tw_core *core, const tw_machine *machine,
                                      const tw_job *job, int tasks) {
    const tw_wire_machine_type *type = &core->machine_types[machine->type_index].listed;
    const tw_capacity capacity = tw_machine_free_capacity(machine, type);
    return job->may_use_gpu_machines ||
           tw_constraints_capacity_leaves_gpus_usable(core, type, &capacity, &job->spec, tasks);
}

/* Returns the zones, as a bit mask, in which the job's next task may run. */
static uint32_t allowed_zones(tw_core *core, const tw_job *job) {
    uint32_t zones = 0;
    for (int zone = 0; zone < core->zone_count; zone++)
        if (tw_constraints_allow_zone(core, job, core->zone_names[zone])) zones |= 1U << zone;
    return zones;
}

tw_demand tw_demand_of(tw_core *core, tw_job *job) {
    return (tw_demand){.job = job,
                       .deadline_at = tw_job_deadline(job),
                       .start_deadline_at = tw_job_start_deadline(job),
                       .estimate_s = tw_job_run_estimate_s(job),
                       .zone_mask = allowed_zones(core, job),
                       .restriction = tw_mixed_version_restriction(core, job),
                       .prefers_first_incarnation =
                           tw_cluster_only_earlier_version_may_take_over(core->cluster)};
}

bool tw_demand_allows_machine(tw_core *core, const tw_demand *demand, const tw_machine *machine) {
    if (!tw_machine_restriction_allows(demand->restriction, demand->job, machine)) return false;
    if (machine->zone_index >= 0) return !!(demand->zone_mask & (1U << machine->zone_index));
    return tw_constraints_allow_zone(core, demand->job, machine->zone);
}

bool tw_constraints_allow_machine(const tw_core *core, const tw_job *job,
                                  const tw_machine *machine) {
    if (!(job->type_mask & (1U << machine->type_index)) || (machine->spot && !job->spec.spot))
        return false;
    if (!tw_quarantine_allows(machine) || tw_gang_has_vacated(job, machine)) return false;
    /* A launch must not be sent while a command to forget the same attempt may be in flight. */
    if (job->spec.gang && core->context.now < machine->gang_forgets_until) return false;
    if (!tw_gang_reservation_allows(core, job, machine)) return false;
    for (int i = 0; i < job->failed_machine_count; i++)
        if (job->failed_machines[i] == machine &&
            core->context.now < job->failed_machines_avoided_until)
            return false;
    return true;
}
