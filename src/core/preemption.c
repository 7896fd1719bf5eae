/* Room made by stopping work of lower rank, where that loses least. */
#include "core/scheduler_int.h"
#include <stdbool.h>

#define SUM_DRIFT 1e-3    /* sums over many tasks may */
#define COST_OF_RANK 10   /* task seconds, for each step */
#define COST_OF_LATE 60   /* where the deadline is missed all the same */
#define RESTART_TIME 1.3  /* of the estimate, to be done in time if started over */
#define CHOSEN UINT64_MAX /* mark of a task that would be stopped */

static tw_capacity free_on(const tw_core *core, const tw_machine *machine) {
    const tw_wire_machine_type *type = &core->machine_types[machine->type_index].listed;
    return (tw_capacity){type->cores - machine->used_cores + machine->vacating_cores,
                         type->gpus - machine->used_gpus + machine->vacating_gpus,
                         type->memory_gb - machine->used_memory_gb + machine->vacating_memory_gb};
}

static bool is_enough(const tw_capacity *room, const tw_wire_job *spec, double tolerance) {
    return room->cores + tolerance >= spec->cores && room->gpus + tolerance >= spec->gpus &&
           room->memory_gb + tolerance >= spec->memory_gb;
}

/* A gang that can't be told as a whole would lose what it has done: it is left alone until then. */
static bool would_lose_gang(const tw_core *core, const tw_placement *placed) {
    const tw_job *job = placed->job;
    return job->spec.gang && job->spec.checkpoint_s > 0 && job->gang.state == TW_GANG_RUNNING &&
           placed->running_since > 0 &&
           (placed->inherited || core->context.now - placed->running_since > job->spec.save_s) &&
           !tw_gang_can_save(core, job);
}

bool tw_preemption_allowed(const tw_core *core, const struct tw_job *job,
                           const tw_placement *placed) {
    return placed->counted && !placed->stopping && placed->job->has_spec &&
           placed->job->spec.priority < job->spec.priority && !would_lose_gang(core, placed);
}

/* Run time of a task that is lost when it is stopped. */
static double unsaved_s(const tw_core *core, const tw_placement *placed) {
    const tw_job *job = placed->job;
    const double ran_s = placed->running_since > 0 ? core->context.now - placed->running_since : 0;
    if (job->spec.checkpoint_s <= 0) return ran_s;
    /* A gang that can't be told at once falls back to its last checkpoint. */
    if (job->spec.gang && !tw_gang_can_save(core, job)) return fmin(ran_s, job->spec.checkpoint_s);
    return fmin(ran_s, job->spec.save_s);
}

/* Work lost when it is stopped, in task seconds. One task of a gang takes all the others with it.
 */
static double cost_of(const tw_core *core, const tw_placement *placed) {
    const tw_job *job = placed->job;
    double ran_s = unsaved_s(core, placed) * (job->spec.gang ? job->placed_count : 1);
    /* Rather one that can start over and still make its deadline. */
    const double estimate_s = tw_job_run_estimate_s(job);
    const double due = tw_job_deadline(core, job);
    if (isfinite(due) && core->context.now + RESTART_TIME * estimate_s > due) ran_s += estimate_s;
    return ran_s + 1 + job->spec.priority * COST_OF_RANK;
}

/* Whether it may be enough at all, from sums alone. */
static bool may_vacate(const tw_core *core, const tw_machine *machine, const tw_job *job) {
    tw_capacity room = free_on(core, machine);
    for (tw_wire_priority lower = TW_PRIORITY_IDLE; lower < job->spec.priority; lower++) {
        room.cores += machine->used_by_priority[lower].cores;
        room.gpus += machine->used_by_priority[lower].gpus;
        room.memory_gb += machine->used_by_priority[lower].memory_gb;
    }
    return is_enough(&room, &job->spec, SUM_DRIFT);
}

/* Whether a task of the same gang is chosen on the machine: this one costs nothing more. */
static bool gang_is_chosen(const tw_machine *machine, const tw_placement *placed) {
    const tw_placement *other;
    if (!placed->job->spec.gang) return false;
    DL_FOREACH(machine->placements, other) {
        if (other->mark == CHOSEN && other->job == placed->job) return true;
    }
    return false;
}

/* The one that costs least of those not chosen yet; NULL: none is left. */
static tw_placement *cheapest(const tw_core *core, const tw_machine *machine, const tw_job *job,
                              const tw_capacity *room, double *least) {
    tw_placement *best = NULL;
    tw_placement *placed;
    *least = INFINITY;
    DL_FOREACH(machine->placements, placed) {
        if (!tw_preemption_allowed(core, job, placed) || placed->mark == CHOSEN) continue;
        if (job->spec.gpus > 0 && placed->job->spec.gpus <= 0 &&
            room->gpus + TW_CAPACITY_ROUNDING < job->spec.gpus)
            continue;
        const double cost = gang_is_chosen(machine, placed) ? 0 : cost_of(core, placed);
        if (cost < *least) {
            *least = cost;
            best = placed;
        }
    }
    return best;
}

static void stop(tw_core *core, tw_placement *victim, const tw_job *job) {
    const tw_wire_job *spec = &victim->job->spec;
    tw_log_debug("event=task_preempted task=%s/%d for=%s worker=%s", spec->id, victim->index,
                 job->id, victim->machine->name);
    /* Saving takes flush_s: only where the one that needs the room can wait for it. */
    const bool saves =
        spec->checkpoint_s > 0 && core->context.now + spec->save_s < tw_job_deadline(core, job);
    tw_placement_stop(core, victim, saves ? spec->save_s : 0, true);
}

/* What stopping tasks may cost to be worth it: with the penalty less than the least so far. */
typedef struct {
    double penalty, least;
} cost_limit;

/* Marks tasks to be stopped until there is room; without a limit stops them at once. 0: there is
 * not enough, or it costs too much. */
static bool vacate(tw_core *core, const tw_job *job, tw_machine *machine, const cost_limit *limit,
                   double *cost) {
    tw_capacity room = free_on(core, machine);
    *cost = 0;
    while (!is_enough(&room, &job->spec, TW_CAPACITY_ROUNDING)) {
        double least;
        tw_placement *victim = cheapest(core, machine, job, &room, &least);
        if (!victim) return false;
        victim->mark = CHOSEN;
        *cost += least;
        if (limit && *cost + limit->penalty >= limit->least) return false;
        room.cores += victim->job->spec.cores;
        room.gpus += victim->job->spec.gpus;
        room.memory_gb += victim->job->spec.memory_gb;
        if (!limit) stop(core, victim, job);
    }
    return true;
}

static void unmark(tw_machine *machine) {
    tw_placement *placed;
    DL_FOREACH(machine->placements, placed) {
        if (placed->mark == CHOSEN) placed->mark = 0;
    }
}

struct tw_machine *tw_scheduler_preempt(tw_core *core, const tw_demand *demand, bool in_time,
                                        int *kept) {
    const tw_job *job = demand->job;
    double least = INFINITY;
    double cost;
    tw_machine *best = NULL;
    if (job->spec.priority <= TW_PRIORITY_IDLE) return NULL;
    for (int i = 0; i < core->candidate_count; i++) {
        tw_machine *machine = core->candidates[i].machine;
        core->pass_steps++;
        if (!may_vacate(core, machine, job) || !tw_constraints_allow_machine(core, job, machine) ||
            !tw_constraints_allow_machine_zone(core, demand, machine) ||
            !tw_constraints_leave_gpus(core, machine, job, 1))
            continue;
        if (!tw_reserve_allows(core, machine, job)) {
            *kept = 1;
            continue;
        }
        const tw_prediction prediction = tw_predict(core, demand, machine);
        const bool late = !(tw_predict_end(core, demand, &prediction) <= demand->deadline_at);
        if (late && in_time) continue;
        const cost_limit limit = {late ? COST_OF_LATE : 0, least};
        const bool enough = vacate(core, job, machine, &limit, &cost);
        unmark(machine);
        if (!enough || cost + limit.penalty >= least) continue;
        least = cost + limit.penalty;
        best = machine;
    }
    if (!best) return NULL;
    vacate(core, job, best, NULL, &cost);
    unmark(best);
    /* More may have been stopped than it needs. */
    tw_placement_failures_forget(core);
    tw_scores_forget(core);
    return best;
}
