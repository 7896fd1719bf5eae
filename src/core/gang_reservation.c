/* Reserves machines for a gang. Small jobs take each bit of room as it is given back, so that a
 * gang, which needs room for all its tasks at once, might never find it. So of the gangs that have
 * waited for longer than RESERVE_AFTER_S the one that was submitted first gets the machines on
 * which room for all its tasks is expected soonest. Until it is placed, work of its priority or a
 * lower one gets nothing new on those machines, replicas apart, and in its team only what leaves
 * the gang its part of the team's limit.
 *
 * A reservation lasts for MAX_RESERVATION_S at most, followed by a pause as long, so that others
 * don't wait without end either. Nothing is reserved if the running tasks are not expected to end
 * in that time. The reservation is decided anew as each pass begins; machine->reserved_for_gang and
 * core->reserving_gang are valid for that pass only. */
#include "core/scheduler_int.h"
#include <stdbool.h>

#define RESERVE_AFTER_S (TW_MAX_START_DELAY_S / 8)
#define MAX_RESERVATION_S (TW_MAX_START_DELAY_S / 4)

/* Room for tasks of the gang that a machine is expected to have. */
typedef struct {
    tw_machine *machine;
    int task_count;      /* tasks that it will have room for */
    double available_at; /* when the last of the running tasks that make this room has ended */
} expected_room;

/* Whether the job is a gang that has waited for long enough, and is not in the pause after a
 * reservation that was in vain. */
static bool may_reserve(const tw_core *core, const tw_job *job) {
    if (!job->has_spec || !job->spec.gang || !tw_job_is_pending(core, job) || job->placed_count)
        return false;
    const double eligible_s =
        core->context.now - fmax(job->submitted_at, job->pending_since) - RESERVE_AFTER_S;
    return eligible_s >= 0 && fmod(eligible_s, 2 * MAX_RESERVATION_S) < MAX_RESERVATION_S;
}

/* The gang that may reserve machines and was submitted first. NULL: there is none. */
static tw_job *find_longest_waiting_gang(tw_core *core) {
    tw_job *best = NULL;
    tw_job *job;
    DL_FOREACH(core->active_jobs, job) {
        if (may_reserve(core, job) && (!best || job->submitted_at < best->submitted_at)) best = job;
    }
    return best;
}

/* When a task is expected to end. INFINITY: a replica, which doesn't end by itself. */
static double expected_task_end(const tw_core *core, const tw_placement *placed) {
    if (placed->stopping) return core->context.now;
    if (placed->job->spec.service || !placed->job->has_spec) return INFINITY;
    const double run_s =
        tw_job_run_estimate_s(placed->job) * tw_machine_slowness(core, placed->machine);
    const double starts_at = placed->running_since > 0 ? placed->running_since : core->context.now;
    return fmax(core->context.now, starts_at + run_s);
}

/* How many tasks of the gang the machine is expected to have room for within MAX_RESERVATION_S, and
 * when. */
static expected_room expected_room_on(const tw_core *core, const tw_job *job, tw_machine *machine) {
    const tw_wire_machine_type *type = &core->machine_types[machine->type_index].listed;
    const double horizon = core->context.now + MAX_RESERVATION_S;
    tw_bin bin = {.type_index = machine->type_index,
                  .free_capacity = tw_machine_free_capacity(machine, type)};
    expected_room result = {.machine = machine, .available_at = core->context.now};
    const tw_placement *placed;
    DL_FOREACH(machine->placements, placed) {
        const double end = placed->counted ? expected_task_end(core, placed) : INFINITY;
        if (end > horizon) continue;
        tw_bin_remove_task(&bin, &placed->job->spec);
        result.available_at = fmax(result.available_at, end);
    }
    while (result.task_count < job->task_count && tw_bin_fits(&bin, &job->spec) &&
           tw_bin_leaves_gpus(core, &bin, &job->spec, job->any_machine)) {
        tw_bin_add_task(&bin, &job->spec);
        result.task_count++;
    }
    return result;
}

/* For qsort: the room that is available first, then by the machine's name. */
static int compare_by_time(const void *left, const void *right) {
    const expected_room *a = left;
    const expected_room *b = right;
    if (a->available_at != b->available_at) return a->available_at < b->available_at ? -1 : 1;
    return strcmp(a->machine->name, b->machine->name);
}

/* Lists the machines in the zone (-1: in all zones) that are expected to have room for tasks of the
 * gang, the earliest first. rooms: has a place for each candidate. Returns their number. */
static int list_expected_rooms(tw_core *core, tw_job *job, int zone, expected_room *rooms) {
    const tw_demand demand = tw_demand_of(core, job);
    int count = 0;
    for (int i = 0; i < core->candidate_count; i++) {
        tw_machine *machine = core->candidates[i].machine;
        core->pass_steps++;
        if ((zone >= 0 && machine->zone_index != zone) ||
            !tw_constraints_allow_machine(core, job, machine) ||
            !tw_demand_allows_machine(&demand, machine))
            continue;
        rooms[count] = expected_room_on(core, job, machine);
        if (rooms[count].task_count) count++;
    }
    qsort(rooms, (size_t)count, sizeof *rooms, compare_by_time);
    return count;
}

/* When all tasks of the gang are expected to have room in the zone (-1: in all zones together).
 * INFINITY: they won't within MAX_RESERVATION_S. */
static double expected_gang_start(tw_core *core, tw_job *job, int zone) {
    expected_room *rooms = tw_alloc((size_t)core->candidate_count * sizeof *rooms);
    const int count = list_expected_rooms(core, job, zone, rooms);
    int task_count = 0;
    double start_at = INFINITY;
    for (int i = 0; i < count && task_count < job->task_count; i++) {
        task_count += rooms[i].task_count;
        if (task_count >= job->task_count) start_at = rooms[i].available_at;
    }
    free(rooms);
    return start_at;
}

/* Reserves the machines in the zone (-1: in all zones) that have room for all tasks of the gang
 * first.
 */
static void reserve_machines(tw_core *core, tw_job *job, int zone) {
    expected_room *rooms = tw_alloc((size_t)core->candidate_count * sizeof *rooms);
    const int count = list_expected_rooms(core, job, zone, rooms);
    int task_count = 0;
    for (int i = 0; i < count && task_count < job->task_count; i++) {
        task_count += rooms[i].task_count;
        rooms[i].machine->reserved_for_gang = true;
    }
    free(rooms);
}

/* When the gang is expected to start if machines are reserved for it, and *zone: where (-1: in all
 * zones together). INFINITY: it isn't within MAX_RESERVATION_S. */
static double choose_zone(tw_core *core, tw_job *job, int *zone) {
    *zone = -1;
    if (!job->spec.single_zone) return expected_gang_start(core, job, -1);
    double soonest = INFINITY;
    for (int i = 0; i < core->zone_count; i++) {
        const double at = expected_gang_start(core, job, i);
        if (at >= soonest) continue;
        soonest = at;
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

/* Whether a team's limit leaves the reserved amount beside what is used and wanted. A limit of 0 or
 * less: there is none. */
static bool limit_leaves_room(double limit, double used, double wanted, double reserved) {
    return limit <= 0 || used + wanted + reserved <= limit + TW_CAPACITY_ROUNDING;
}

bool tw_gang_reservation_allows_team(const tw_core *core, const tw_job *job) {
    const struct tw_job *gang = core->reserving_gang;
    /* Only work that the reservation holds back, and that shares the gang's limit, is limited. */
    if (!gang || gang == job || job->spec.service || job->team != gang->team ||
        job->spec.priority > gang->spec.priority || job->team < 0)
        return true;
    const tw_config_team *team = &core->context.config->teams[job->team];
    return limit_leaves_room(team->cpus_max, core->team_cores_used[job->team], job->spec.cores,
                             gang->spec.cores * gang->task_count) &&
           limit_leaves_room(team->gpus_max, core->team_gpus_used[job->team], job->spec.gpus,
                             gang->spec.gpus * gang->task_count);
}
