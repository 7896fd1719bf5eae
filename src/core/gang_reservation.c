/* Reserves machines for a gang. Small jobs take capacity as soon as any is freed, so
 * that a gang, which needs capacity for all its tasks at the same time, might never find it.
 * Therefore, of the gangs that have waited for longer than RESERVE_AFTER_S, the one that was
 * submitted first gets the machines on which capacity for all its tasks is expected soonest. Until
 * it is placed, jobs of its priority or a lower one get no new tasks on those machines, except for
 * replicas, and jobs of its team only use what leaves the gang its part of the team's limit.
 *
 * A reservation lasts for at most MAX_RESERVATION_S and is followed by a pause of the same length,
 * so that other jobs aren't delayed indefinitely either. No machine is reserved if the running
 * tasks are not expected to end within that time. The reservation is decided anew at the start of
 * each pass; machine->reserved_for_gang and core->reserving_gang are valid for that pass only. */
#include "core/scheduler_int.h"
#include <stdbool.h>

#define RESERVE_AFTER_S (TW_MAX_START_DELAY_S / 8)
#define MAX_RESERVATION_S (TW_MAX_START_DELAY_S / 4)

/* Capacity for tasks of the gang that a machine is expected to have. */
typedef struct {
    tw_machine *machine;
    int task_count;      /* number of tasks that the capacity suffices for */
    double available_at; /* time at which the last running task that occupies the capacity ends */
} expected_capacity;

/* Returns whether the job is a gang that has waited for long enough, and is not in the pause after
 * an unsuccessful reservation. */
static bool may_reserve(const tw_core *core, const tw_job *job) {
    if (!job->has_spec || !job->spec.gang || !tw_job_is_pending(core, job) || job->placed_count)
        return false;
    const double eligible_s =
        core->context.now - fmax(job->submitted_at, job->pending_since) - RESERVE_AFTER_S;
    return eligible_s >= 0 && fmod(eligible_s, 2 * MAX_RESERVATION_S) < MAX_RESERVATION_S;
}

/* Returns the gang that was submitted first of those that may reserve machines, or NULL if there is
 * none. */
static tw_job *find_longest_waiting_gang(tw_core *core) {
    tw_job *first = NULL;
    tw_job *job;
    DL_FOREACH(core->active_jobs, job) {
        if (may_reserve(core, job) && (!first || job->submitted_at < first->submitted_at))
            first = job;
    }
    return first;
}

/* Returns when a task is expected to end. INFINITY: the task is a replica, which doesn't end by
 * itself, or its job's specification is unknown. */
static double expected_task_end(const tw_core *core, const tw_placement *placed) {
    if (placed->stopping) return core->context.now;
    if (placed->job->spec.service || !placed->job->has_spec) return INFINITY;
    const double run_s =
        tw_job_run_estimate_s(placed->job) * tw_machine_slowness(core, placed->machine);
    const double starts_at = placed->running_since > 0 ? placed->running_since : core->context.now;
    return fmax(core->context.now, starts_at + run_s);
}

/* Returns the capacity for tasks of the gang that the machine is expected to have within
 * MAX_RESERVATION_S. */
static expected_capacity expected_capacity_on(const tw_core *core, const tw_job *job,
                                              tw_machine *machine) {
    const tw_wire_machine_type *type = &core->machine_types[machine->type_index].listed;
    const double horizon = core->context.now + MAX_RESERVATION_S;
    tw_bin bin = {.type_index = machine->type_index,
                  .free_capacity = tw_machine_free_capacity(machine, type)};
    expected_capacity result = {.machine = machine, .available_at = core->context.now};
    const tw_placement *placed;
    DL_FOREACH(machine->placements, placed) {
        const double end = placed->counted ? expected_task_end(core, placed) : INFINITY;
        if (end > horizon) continue;
        tw_bin_remove_task(&bin, &placed->job->spec);
        result.available_at = fmax(result.available_at, end);
    }
    result.task_count =
        tw_bin_count_tasks(core, &bin, &job->spec, job->may_use_gpu_machines, job->task_count);
    return result;
}

/* Comparison function for qsort: orders by the time at which the capacity is available, then by the
 * machine's name. */
static int compare_by_time(const void *left, const void *right) {
    const expected_capacity *a = left;
    const expected_capacity *b = right;
    if (a->available_at != b->available_at) return a->available_at < b->available_at ? -1 : 1;
    return strcmp(a->machine->name, b->machine->name);
}

/* Fills capacities with the expected capacity for tasks of the gang of each machine in the zone
 * (-1: in all zones) that has any, the earliest available first. capacities must have one element
 * for each candidate. Returns the number of entries. */
static int list_expected_capacities(tw_core *core, tw_job *job, int zone,
                                    expected_capacity *capacities) {
    const tw_demand demand = tw_demand_of(core, job);
    int count = 0;
    for (int i = 0; i < core->candidate_count; i++) {
        tw_machine *machine = core->candidates[i].machine;
        core->pass_steps++;
        if ((zone >= 0 && machine->zone_index != zone) ||
            !tw_constraints_allow_machine(core, job, machine) ||
            !tw_demand_allows_machine(core, &demand, machine))
            continue;
        capacities[count] = expected_capacity_on(core, job, machine);
        if (capacities[count].task_count) count++;
    }
    qsort(capacities, (size_t)count, sizeof *capacities, compare_by_time);
    return count;
}

/* Returns when capacity for all tasks of the gang is expected in the zone (-1: in all zones
 * together). INFINITY: not within MAX_RESERVATION_S. */
static double expected_gang_start(tw_core *core, tw_job *job, int zone) {
    expected_capacity *capacities = tw_alloc((size_t)core->candidate_count * sizeof *capacities);
    const int count = list_expected_capacities(core, job, zone, capacities);
    int task_count = 0;
    double start_at = INFINITY;
    for (int i = 0; i < count && task_count < job->task_count; i++) {
        task_count += capacities[i].task_count;
        if (task_count >= job->task_count) start_at = capacities[i].available_at;
    }
    free(capacities);
    return start_at;
}

/* Reserves the machines in the zone (-1: in all zones) that are expected to have capacity for all
 * tasks of the gang first. */
static void reserve_machines(tw_core *core, tw_job *job, int zone) {
    expected_capacity *capacities = tw_alloc((size_t)core->candidate_count * sizeof *capacities);
    const int count = list_expected_capacities(core, job, zone, capacities);
    int task_count = 0;
    for (int i = 0; i < count && task_count < job->task_count; i++) {
        task_count += capacities[i].task_count;
        capacities[i].machine->reserved_for_gang = true;
    }
    free(capacities);
}

/* Returns when the gang is expected to start if machines are reserved for it, and sets *zone to the
 * zone for it (-1: all zones together). INFINITY: not within MAX_RESERVATION_S. */
static double choose_zone(tw_core *core, tw_job *job, int *zone) {
    *zone = -1;
    if (!job->spec.single_zone) return expected_gang_start(core, job, -1);
    double soonest = INFINITY;
    for (int i = 0; i < core->zone_count; i++) {
        const double start_at = expected_gang_start(core, job, i);
        if (start_at >= soonest) continue;
        soonest = start_at;
        *zone = i;
    }
    return soonest;
}

void tw_gang_reservation_update(tw_core *core) {
    for (int i = 0; i < core->candidate_count; i++)
        core->candidates[i].machine->reserved_for_gang = false;
    core->reserving_gang = NULL;
    tw_job *job = find_longest_waiting_gang(core);
    if (!job) return;
    int zone;
    const double start_at = choose_zone(core, job, &zone);
    if (!isfinite(start_at)) return;
    reserve_machines(core, job, zone);
    core->reserving_gang = job;
    tw_log_debug("event=gang_room_reserved id=%s zone=%d in_s=%.1f", job->id, zone,
                 start_at - core->context.now);
}

bool tw_gang_reservation_allows(const tw_core *core, const tw_job *job, const tw_machine *machine) {
    const struct tw_job *gang = core->reserving_gang;
    if (!gang || !machine->reserved_for_gang || gang == job || job->spec.service) return true;
    return job->spec.priority > gang->spec.priority;
}

/* Returns whether a team's limit covers the sum of the used, the wanted and the reserved amount. A
 * limit of 0 or less means no limit. */
static bool limit_leaves_amount(double limit, double used, double wanted, double reserved) {
    return limit <= 0 || used + wanted + reserved <= limit + TW_CAPACITY_ROUNDING;
}

bool tw_gang_reservation_allows_team(const tw_core *core, const tw_job *job) {
    const struct tw_job *gang = core->reserving_gang;
    /* The check applies only to jobs that are subject to the reservation and share the limit of the
     * gang's team. */
    if (!gang || gang == job || job->spec.service || job->team != gang->team ||
        job->spec.priority > gang->spec.priority || job->team < 0)
        return true;
    const tw_config_team *team = &core->context.config->teams[job->team];
    return limit_leaves_amount(team->cpus_max, core->team_cores_used[job->team], job->spec.cores,
                               gang->spec.cores * gang->task_count) &&
           limit_leaves_amount(team->gpus_max, core->team_gpus_used[job->team], job->spec.gpus,
                               gang->spec.gpus * gang->task_count);
}
