/* Selects the machines to return: idle ones, and those whose replicas fit on other machines.
 *
 * A machine that has been idle for too long is cordoned and marked for return (return_wanted),
 * unless the plan needs it as headroom or for a gang. To consolidate the fleet, one machine at a
 * time, or a few in a large fleet, is decommissioned: its replicas are stopped one by one, each as
 * soon as another machine has capacity for it, and start there without waiting. A decommissioned
 * machine is returned once it is idle. The decommissioning is cancelled if a pending job may use
 * the machine. Called at the end of each plan. */
#include "core/core_int.h"
#include <stdbool.h>

#define MAX_CANDIDATES_PER_PASS 4 /* machines that a pass examines at most */
#define RETRY_HEARTBEATS 3        /* heartbeat intervals until a rejected machine is reexamined */
#define PASS_INTERVAL_HEARTBEATS 0.3 /* heartbeat intervals between passes that move tasks */
#define MIN_MOVES_PER_PASS 2         /* tasks that a pass may always move */
#define MOVE_WRITE_SHARE 0.25 /* share of the state service's write rate that moves may use */
/* Fleet size, in machines, for each concurrent decommission beyond the first. */
#define MACHINES_PER_DECOMMISSION 20
#define MIN_UP_LEASES 2 /* leases for which a machine is up before its decommissioning */
/* Longest image fetch of a moved replica, as a share of its start objective. */
#define MAX_FETCH_SHARE 0.5
#define BATCH_MOVE_WEIGHT 2 /* cost of moving a batch task, relative to a replica */

/* ---- idle machines ---- */

/* Returns whether a task keeps the machine from being idle: one that runs or may run, or one that
 * ended and that the machine will soon forget. A task whose launch may still arrive, or arrive a
 * second time, is forgotten only much later, so it does not count. */
static bool holds_work(const tw_core *core, const tw_machine *machine) {
    const tw_placement *placed;
    DL_FOREACH(machine->placements, placed) {
        if (placed->counted) return true;
        if (!tw_launch_may_repeat(core, placed)) return true;
    }
    return false;
}

/* Updates the time since which the machine has been idle. Returns whether it has been idle for too
 * long. */
static bool update_idle_since(const tw_core *core, tw_machine *machine) {
    if (holds_work(core, machine) || machine->needed_by_plan) {
        machine->idle_since = 0;
        return false;
    }
    if (machine->idle_since <= 0) machine->idle_since = core->context.now;
    const double startup_s = core->machine_types[machine->type_index].listed.startup_s;
    return core->context.now - machine->idle_since >=
           core->context.config->tune.idle_ratio * startup_s;
}

void tw_scale_in_return_idle_machines(tw_core *core) {
    tw_machine *machine;
    struct tw_machine *next;
    HASH_ITER(hh, core->machines, machine, next) {
        if (machine->state != TW_MACHINE_UP || machine->return_wanted || machine->type_index < 0)
            continue;
        if (!update_idle_since(core, machine)) continue;
        machine->return_wanted = machine->cordoned = true;
        core->machine_reach_version++;
        core->returns_due = true;
        tw_log_info("event=machine_return_requested worker=%s why=idle rented_s=%.0f",
                    machine->name, core->context.now - machine->known_since);
    }
}

/* ---- finding capacity on other machines ---- */

/* Returns whether the task's image is cached on the machine, or is fetched fast enough for the task
 * to meet its start objective. */
static bool image_is_available_in_time(const tw_core *core, const tw_placement *placed,
                                       const tw_machine *machine) {
    const tw_job *job = placed->job;
    const tw_image *image = tw_image_find(machine, job);
    if (image) return image->ready_at <= 0;
    const double fetch_s_per_gb = tw_machine_fetch_s_per_gb(core, machine);
    return job->job_class &&
           fetch_s_per_gb * job->spec.image_gb <= MAX_FETCH_SHARE * job->job_class->start_within_s;
}

/* Returns whether the job's tasks may only move within their zone. */
static bool is_bound_to_zone(const tw_wire_job *spec) {
    return (spec->spread || spec->single_zone) && spec->task_count > 1;
}

/* Returns whether a task that runs on another machine could start in the bin without waiting. */
static bool can_move_into_bin(const tw_core *core, const tw_bin *bin, const tw_placement *placed) {
    const tw_job *job = placed->job;
    if (!bin->machine || bin->machine == placed->machine || !bin->occupied) return false;
    if (!tw_machine_is_usable(core, bin->machine)) return false;
    if (!tw_bin_is_allowed(bin, &job->spec, job->type_mask) || !tw_bin_fits(bin, &job->spec))
        return false;
    if (is_bound_to_zone(&job->spec) && strcmp(bin->zone, placed->machine->zone) != 0) return false;
    if (!tw_machine_restriction_allows(tw_mixed_version_restriction(core, job), job, bin->machine))
        return false;
    return image_is_available_in_time(core, placed, bin->machine) &&
           tw_bin_leaves_gpus(core, bin, &job->spec, job->may_use_gpu_machines);
}

/* Returns a bin of another machine in which the task could start without waiting, or NULL. */
static tw_bin *find_destination(const tw_core *core, tw_bins *bins, const tw_placement *placed) {
    for (int i = 0; i < bins->count; i++)
        if (can_move_into_bin(core, &bins->items[i], placed)) return &bins->items[i];
    return NULL;
}

/* A task for which capacity is reserved in a bin. */
typedef struct {
    tw_bin *bin;
    const tw_wire_job *spec;
} planned_move;

/* Reserves capacity on other machines for all replicas of the machine, and appends them with their
 * bins to moves. Returns false if a replica fits nowhere or cannot move now. In that case, too, the
 * caller must release what was appended. */
static bool reserve_capacity_for_replicas(const tw_core *core, tw_bins *bins,
                                          const tw_machine *machine, planned_move *moves,
                                          int *count) {
    const tw_placement *placed;
    DL_FOREACH(machine->placements, placed) {
        const tw_wire_job *spec = &placed->job->spec;
        if (!placed->counted || !spec->service) continue; /* batch tasks end by themselves */
        if (placed->state != TW_TASK_RUNNING || placed->stopping) return false;
        tw_bin *destination = find_destination(core, bins, placed);
        if (!destination) return false;
        tw_bin_add_task(destination, spec);
        moves[(*count)++] = (planned_move){destination, spec};
    }
    return true;
}

/* Returns whether all replicas of the machine could move. The bins are not modified. */
static bool can_evict_all(const tw_core *core, tw_bins *bins, const tw_machine *machine) {
    const tw_placement *placed;
    int capacity = 0;
    int count = 0;
    DL_FOREACH(machine->placements, placed) { capacity++; }
    planned_move *moves = tw_alloc((size_t)capacity * sizeof *moves);
    const bool possible = reserve_capacity_for_replicas(core, bins, machine, moves, &count);
    for (int i = 0; i < count; i++) tw_bin_remove_task(moves[i].bin, moves[i].spec);
    free(moves);
    return possible;
}

/* ---- decommissioned machines ---- */

/* Returns a bin with the capacity that the machine has when no task runs on it. */
static tw_bin bin_of_empty_machine(const tw_core *core, const tw_machine *machine) {
    const tw_wire_machine_type *type = &core->machine_types[machine->type_index].listed;
    return (tw_bin){.type_index = machine->type_index,
                    .spot = machine->spot,
                    .zone = machine->zone,
                    .free_capacity = {type->cores, type->gpus, type->memory_gb}};
}

/* Returns whether a task of the job may run on the machine when it is empty. empty_bin: see
 * bin_of_empty_machine. */
static bool may_use_machine(tw_core *core, const tw_job *job, const tw_machine *machine,
                            const tw_bin *empty_bin) {
    return tw_bin_is_allowed(empty_bin, &job->spec, job->type_mask) &&
           tw_bin_fits(empty_bin, &job->spec) &&
           tw_constraints_allow_zone(core, job, machine->zone) &&
           (job->spec.gpus > 0 || empty_bin->free_capacity.gpus <= 0 || job->may_use_gpu_machines);
}

/* Returns whether a pending job may use the machine when it is empty. Such a machine is not
 * decommissioned, because no other could replace it while the cloud refuses rentals. */
static bool job_waits_for_machine(tw_core *core, const tw_machine *machine) {
    const tw_bin empty_bin = bin_of_empty_machine(core, machine);
    const tw_job *job;
    DL_FOREACH(core->active_jobs, job) {
        if (!tw_job_is_pending(core, job) || !tw_quota_allows_tasks(core, job, 1)) continue;
        if (may_use_machine(core, job, machine, &empty_bin)) return true;
    }
    return false;
}

/* Returns whether a gang needs the machine for its next attempt, including while tasks of the
 * previous attempt are being stopped and during the pause after an error. */
static bool gang_needs_machine(tw_core *core, const tw_machine *machine) {
    const tw_bin empty_bin = bin_of_empty_machine(core, machine);
    const tw_job *job;
    DL_FOREACH(core->active_jobs, job) {
        if (!tw_job_has_unplaced_tasks(job) || !job->spec.gang) continue;
        if (!job->placed_count && !tw_quota_allows_tasks(core, job, 1)) continue;
        if (may_use_machine(core, job, machine, &empty_bin)) return true;
    }
    return false;
}

/* Puts a machine that is being decommissioned back into use. */
static void cancel_decommission(tw_core *core, tw_machine *machine) {
    machine->decommissioning = false;
    core->scheduling_due = true;
    tw_log_info("event=decommission_cancelled worker=%s", machine->name);
}

bool tw_scale_in_keep_for_gang(tw_core *core, tw_machine *machine) {
    if (!machine->decommissioning || machine->type_index < 0) return false;
    if (!gang_needs_machine(core, machine)) return false;
    cancel_decommission(core, machine);
    return true;
}

void tw_scale_in_cancel_decommissions(tw_core *core) {
    tw_machine *machine;
    struct tw_machine *next;
    HASH_ITER(hh, core->machines, machine, next) {
        if (!machine->decommissioning || machine->return_wanted || machine->type_index < 0)
            continue;
        if (job_waits_for_machine(core, machine)) cancel_decommission(core, machine);
    }
}

/* Moves a batch task that saves its progress, if another machine can start it without waiting.
 * Otherwise the task continues to its end: if it were stopped, it would wait, and a machine would
 * be rented for it. */
static void evict_batch_task(tw_core *core, tw_bins *bins, tw_placement *placed, int *moves_left) {
    const tw_wire_job *spec = &placed->job->spec;
    if (spec->checkpoint_s <= 0 || placed->state != TW_TASK_RUNNING) return;
    if (spec->gang) return; /* stopping one task would stop the gang on all its machines */
    tw_bin *destination = find_destination(core, bins, placed);
    if (!destination) return;
    tw_bin_add_task(destination, spec);
    tw_placement_stop(core, placed, spec->save_s, false);
    (*moves_left)--;
}

/* Moves tasks of a machine that is being decommissioned, at most *moves_left of them, so that other
 * starts are not delayed. Returns false if the pass may move no more tasks. */
static bool evict_tasks(tw_core *core, tw_bins *bins, tw_machine *machine, int *moves_left) {
    tw_placement *placed;
    tw_placement *next;
    DL_FOREACH_SAFE(machine->placements, placed, next) {
        if (*moves_left <= 0) return false;
        if (!placed->counted || placed->stopping) continue;
        if (!placed->job->spec.service) {
            evict_batch_task(core, bins, placed, moves_left);
            continue;
        }
        tw_bin *destination = find_destination(core, bins, placed);
        if (!destination) {
            machine->decommissioning = false; /* other tasks use the capacity now */
            break;
        }
        tw_bin_add_task(destination, &placed->job->spec);
        tw_log_debug("event=task_evicted task=%s/%d from=%s", placed->job->id, placed->index,
                     machine->name);
        tw_placement_stop(core, placed, 0, false);
        (*moves_left)--;
    }
    return true;
}

/* ---- choosing the next machine to decommission ---- */

/* Returns whether the machine may be decommissioned: it is an on-demand machine in use, has been up
 * for long enough, and was not rejected recently. */
static bool may_decommission(const tw_core *core, const tw_machine *machine) {
    if (!tw_machine_is_usable(core, machine) || machine->spot) return false;
    if (!tw_machine_is_occupied(machine))
        return false; /* tw_scale_in_return_idle_machines returns it */
    if (core->context.now < machine->no_decommission_until) return false;
    const double startup_s = core->machine_types[machine->type_index].listed.startup_s;
    const double min_up_s = fmax(startup_s, MIN_UP_LEASES * core->context.config->lease_s);
    return core->context.now - machine->first_answered_at >= min_up_s;
}

/* Returns the savings from returning the machine, divided by the cost of moving its tasks. */
static double decommission_gain(const tw_core *core, const tw_machine *machine) {
    const tw_placement *placed;
    int replica_count = 0, batch_count = 0;
    DL_FOREACH(machine->placements, placed) {
        replica_count += placed->counted && placed->job->spec.service;
        batch_count += placed->counted && !placed->job->spec.service;
    }
    return core->machine_types[machine->type_index].listed.on_demand_price /
           (1 + replica_count + BATCH_MOVE_WEIGHT * batch_count);
}

/* Returns the machine with the largest gain of those that may be decommissioned, or NULL if there
 * is none. */
static tw_machine *find_machine_with_largest_gain(const tw_core *core) {
    tw_machine *machine;
    struct tw_machine *next;
    struct tw_machine *best = NULL;
    double largest_gain = 0;
    HASH_ITER(hh, core->machines, machine, next) {
        if (!may_decommission(core, machine)) continue;
        const double gain = decommission_gain(core, machine);
        if (gain <= largest_gain) continue;
        largest_gain = gain;
        best = machine;
    }
    return best;
}

/* Returns the next machine to decommission, or NULL if none of the examined ones is suitable. */
static tw_machine *choose_machine_to_decommission(tw_core *core, tw_bins *bins) {
    for (int i = 0; i < MAX_CANDIDATES_PER_PASS; i++) {
        tw_machine *best = find_machine_with_largest_gain(core);
        if (!best) return NULL;
        if (!job_waits_for_machine(core, best) && can_evict_all(core, bins, best)) return best;
        best->no_decommission_until =
            core->context.now + RETRY_HEARTBEATS * core->context.config->report_s;
    }
    return NULL;
}

/* ---- consolidation passes ---- */

/* Returns how many tasks a pass may move. Each move causes one or two writes, so moves get a share
 * of the writes that the state service accepts between two passes. */
static int max_moves_per_pass(const tw_core *core, double interval_s) {
    return (int)fmax(MIN_MOVES_PER_PASS,
                     ceil(MOVE_WRITE_SHARE * core->context.config->state_write_rps * interval_s));
}

/* Returns whether a requested or planned machine does not exist yet, which means that the fleet
 * needs more capacity, not less. */
static bool has_pending_machine(const tw_bins *bins) {
    for (int i = 0; i < bins->count; i++)
        if (!bins->items[i].machine) return true;
    return false;
}

/* Returns whether a task of a service is pending. */
static bool is_service_pending(const tw_core *core) {
    const tw_job *job;
    DL_FOREACH(core->active_jobs, job) {
        if (job->has_spec && job->spec.service && tw_job_is_pending(core, job)) return true;
    }
    return false;
}

/* Returns whether the machine is being decommissioned and is not yet marked for return. */
static bool is_being_decommissioned(const tw_machine *machine) {
    return machine->decommissioning && !machine->return_wanted;
}

void tw_scale_in_consolidate(tw_core *core, tw_bins *bins) {
    const double interval_s = PASS_INTERVAL_HEARTBEATS * core->context.config->report_s;
    if (core->context.now < core->next_consolidation_at) return;
    core->next_consolidation_at = core->context.now + interval_s;
    if (has_pending_machine(bins) || is_service_pending(core)) return;
    tw_machine *machine;
    struct tw_machine *next;
    int moves_left = max_moves_per_pass(core, interval_s);
    int decommission_count = 0;
    HASH_ITER(hh, core->machines, machine, next) {
        decommission_count += is_being_decommissioned(machine);
    }
    HASH_ITER(hh, core->machines, machine, next) {
        if (is_being_decommissioned(machine) && !evict_tasks(core, bins, machine, &moves_left))
            return;
    }
    if (decommission_count >= 1 + (int)HASH_COUNT(core->machines) / MACHINES_PER_DECOMMISSION)
        return;
    struct tw_machine *best = choose_machine_to_decommission(core, bins);
    if (!best) return;
    best->decommissioning = true;
    tw_log_info("event=decommission_started worker=%s machine_type=%s", best->name,
                best->type_name);
}
