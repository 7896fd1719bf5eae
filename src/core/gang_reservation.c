/* Room held for a gang. Small jobs take each piece of room as it is given back, so that a gang,
 * which needs room for all its tasks at once, might never find it. So the one that has waited
 * longest for longer than RESERVE_AFTER_S gets the machines on which room for all of it is expected
 * soonest: work of its priority or a lower one, replicas apart, gets nothing new there until it is
 * placed; in its team only what leaves it its part of the team's limit. That lasts for
 * MAX_RESERVATION_S at most, and then as long pauses, so that others don't wait without end either.
 * Nothing is held where the running tasks are not expected to end in that time.
 */
#include "core/scheduler_int.h"
#include <stdbool.h>

#define RESERVE_AFTER_S (TW_MAX_START_DELAY_S / 8)
#define MAX_RESERVATION_S (TW_MAX_START_DELAY_S / 4)

typedef struct {
    tw_machine *machine;
    int task_count;      /* of the gang that it will hold */
    double available_at; /* when */
} expected_room;

/* Whether the gang has waited for so long, and does not pause after it held room in vain. */
static bool may_reserve(const tw_core *core, const tw_job *job) {
    if (!job->has_spec || !job->spec.gang || !tw_job_is_pending(core, job) || job->placed_count)
        return false;
    const double waited_s =
        core->context.now - fmax(job->submitted_at, job->pending_since) - RESERVE_AFTER_S;
    return waited_s >= 0 && fmod(waited_s, 2 * MAX_RESERVATION_S) < MAX_RESERVATION_S;
}

static tw_job *find_longest_waiting_gang(tw_core *core) {
    tw_job *best = NULL;
    tw_job *job;
    DL_FOREACH(core->active_jobs, job) {
        if (may_reserve(core, job) && (!best || job->submitted_at < best->submitted_at)) best = job;
    }
    return best;
}

/* When a task is expected to end; INFINITY: a replica's. */
static double expected_task_end(const tw_core *core, const tw_placement *placed) {
    if (placed->stopping) return core->context.now;
    if (placed->job->spec.service || !placed->job->has_spec) return INFINITY;
    const double run_s =
        tw_job_run_estimate_s(placed->job) * tw_machine_slowness(core, placed->machine);
    return fmax(core->context.now,
                (placed->running_since > 0 ? placed->running_since : core->context.now) + run_s);
}

/* How many tasks of the gang a machine should hold soon, and when. */
static expected_room expected_room_on(const tw_core *core, const tw_job *job, tw_machine *machine) {
    const tw_wire_machine_type *type = &core->machine_types[machine->type_index].listed;
    const double horizon = core->context.now + MAX_RESERVATION_S;
    tw_bin room = {.type_index = machine->type_index,
                   .cores = type->cores - machine->used_cores,
                   .gpus = type->gpus - machine->used_gpus,
                   .memory_gb = type->memory_gb - machine->used_memory_gb};
    expected_room result = {.machine = machine, .available_at = core->context.now};
    const tw_placement *placed;
    DL_FOREACH(machine->placements, placed) {
        const double end = placed->counted ? expected_task_end(core, placed) : INFINITY;
        if (end > horizon) continue;
        tw_bin_give(&room, &placed->job->spec);
        result.available_at = fmax(result.available_at, end);
    }
    while (result.task_count < job->task_count && tw_bin_fits(&room, &job->spec) &&
           tw_bin_leaves_gpus(core, &room, &job->spec, job->any_machine)) {
        tw_bin_take(&room, &job->spec);
        result.task_count++;
    }
    return result;
}

static int compare_by_time(const void *one, const void *other) {
    const expected_room *a = one;
    const expected_room *b = other;
    if (a->available_at != b->available_at) return a->available_at < b->available_at ? -1 : 1;
    return strcmp(a->machine->name, b->machine->name);
}

/* Holds the machines in the zone (-1: in all) where the room comes soonest. Returns when that is;
 * INFINITY: there is not enough. mark: else it is only looked at. */
static double reserve_in_zone(tw_core *core, tw_job *job, int zone, bool mark) {
    const tw_demand demand = tw_demand_of(core, job);
    expected_room *all = tw_alloc((size_t)core->candidate_count * sizeof *all);
    int count = 0;
    int tasks = 0;
    double at = INFINITY;
    for (int i = 0; i < core->candidate_count; i++) {
        tw_machine *machine = core->candidates[i].machine;
        core->pass_steps++;
        if ((zone >= 0 && machine->zone_index != zone) ||
            !tw_constraints_allow_machine(core, job, machine) ||
            !tw_constraints_allow_machine_zone(core, &demand, machine))
            continue;
        all[count] = expected_room_on(core, job, machine);
        if (all[count].task_count) count++;
    }
    qsort(all, (size_t)count, sizeof *all, compare_by_time);
    for (int i = 0; i < count && tasks < job->task_count; i++) {
        tasks += all[i].task_count;
        if (mark) all[i].machine->reserved_for_gang = true;
        if (tasks >= job->task_count) at = all[i].available_at;
    }
    free(all);
    return at;
}

void tw_gang_reservation_update(tw_core *core) {
    for (int i = 0; i < core->candidate_count; i++)
        core->candidates[i].machine->reserved_for_gang = false;
    core->reserving_gang = NULL;
    tw_job *job = find_longest_waiting_gang(core);
    if (!job) return;
    int best = -1;
    double soonest = job->spec.single_zone ? INFINITY : reserve_in_zone(core, job, -1, false);
    for (int zone = 0; job->spec.single_zone && zone < core->zone_count; zone++) {
        const double at = reserve_in_zone(core, job, zone, false);
        if (at >= soonest) continue;
        soonest = at;
        best = zone;
    }
    if (!isfinite(soonest)) return;
    reserve_in_zone(core, job, best, true);
    core->reserving_gang = job;
    tw_log_debug("event=gang_room_reserved id=%s zone=%d in_s=%.1f", job->id, best,
                 soonest - core->context.now);
}

bool tw_gang_reservation_allows(const tw_core *core, const tw_job *job, const tw_machine *machine) {
    const struct tw_job *gang = core->reserving_gang;
    if (!gang || !machine->reserved_for_gang || gang == job || job->spec.service) return true;
    return job->spec.priority > gang->spec.priority;
}

/* What is left of a limit after so many tasks; 0 as a limit: there is none. */
static bool limit_leaves_room(double limit, double used, double wanted, double reserved) {
    return limit <= 0 || used + wanted + reserved <= limit + TW_CAPACITY_ROUNDING;
}

bool tw_gang_reservation_allows_team(const tw_core *core, const tw_job *job) {
    const struct tw_job *gang = core->reserving_gang;
    if (!gang || gang == job || job->spec.service || job->team != gang->team ||
        job->spec.priority > gang->spec.priority || job->team < 0)
        return true;
    const tw_config_team *team = &core->context.config->teams[job->team];
    return limit_leaves_room(team->cpus_max, core->team_cores_used[job->team], job->spec.cores,
                             gang->spec.cores * gang->task_count) &&
           limit_leaves_room(team->gpus_max, core->team_gpus_used[job->team], job->spec.gpus,
                             gang->spec.gpus * gang->task_count);
}
