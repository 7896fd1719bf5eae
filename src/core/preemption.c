/* Preempts tasks of lower priority for a task, on the machine where that costs least.
 *
 * The cost of stopping a task is its unsaved run time in task seconds; for a task of a gang,
 * the sum over all its tasks, which stop with it. Fixed costs are added for the victim's
 * priority, for a deadline that the victim would then miss, and for a machine on which the new
 * task would still miss its deadline.
 *
 * Invariant: tasks are marked as victims (VICTIM_MARK) only while one machine is examined, so
 * no mark remains when tw_scheduler_preempt returns. */
#include "core/scheduler_int.h"
#include <stdbool.h>

#define SUM_TOLERANCE 1e-3           /* upper bound of the rounding error in sums over many tasks */
#define COST_PER_PRIORITY_S 10       /* per step of the victim's priority */
#define COST_OF_MISSED_DEADLINE_S 60 /* if the new task misses its deadline anyway */
/* Run time that a restarted victim needs, as a multiple of its estimate. */
#define RESTART_RUN_FACTOR 1.3
#define VICTIM_MARK UINT64_MAX /* marks a task selected to be stopped */

/* Returns whether stopping the task would lose unsaved work of a running gang. If not all
 * tasks of the gang can be commanded to save, the gang is not preempted until they can. */
static bool would_lose_gang_progress(const tw_core *core, const tw_placement *placed) {
    const tw_job *job = placed->job;
    return job->spec.gang && job->spec.checkpoint_s > 0 && job->gang.state == TW_GANG_RUNNING &&
           placed->running_since > 0 &&
           (placed->inherited || core->context.now - placed->running_since > job->spec.save_s) &&
           !tw_gang_can_save(core, job);
}

bool tw_preemption_allowed(const tw_core *core, const struct tw_job *job,
                           const tw_placement *placed) {
    return placed->counted && !placed->stopping && placed->job->has_spec &&
           placed->job->spec.priority < job->spec.priority &&
           !would_lose_gang_progress(core, placed);
}

/* Returns the run time, in seconds, that a task loses if it is stopped. */
static double unsaved_run_s(const tw_core *core, const tw_placement *placed) {
    const tw_job *job = placed->job;
    const double ran_s = placed->running_since > 0 ? core->context.now - placed->running_since : 0;
    if (job->spec.checkpoint_s <= 0) return ran_s;
    /* A gang whose tasks cannot all be commanded to save restarts from its last checkpoint. */
    if (job->spec.gang && !tw_gang_can_save(core, job)) return fmin(ran_s, job->spec.checkpoint_s);
    return fmin(ran_s, job->spec.save_s);
}

/* Returns the cost of stopping the task, in task seconds. The other tasks of a gang stop with
 * it. */
static double preemption_cost_s(const tw_core *core, const tw_placement *placed) {
    const tw_job *job = placed->job;
    double lost_s = unsaved_run_s(core, placed) * (job->spec.gang ? job->placed_count : 1);
    /* A victim that can restart and still meet its deadline is preferable. */
    const double estimate_s = tw_job_run_estimate_s(job);
    const double deadline_at = tw_job_deadline(job);
    if (isfinite(deadline_at) && core->context.now + RESTART_RUN_FACTOR * estimate_s > deadline_at)
        lost_s += estimate_s;
    return lost_s + 1 + job->spec.priority * COST_PER_PRIORITY_S;
}

/* Returns whether preempting all tasks of lower priority could free enough capacity, judged by
 * the machine's sums. This excludes most machines at low cost. */
static bool could_free_capacity(const tw_core *core, const tw_machine *machine, const tw_job *job) {
    const tw_wire_machine_type *type = &core->machine_types[machine->type_index].listed;
    const tw_capacity available =
        tw_machine_capacity_after_preemption(machine, type, job->spec.priority);
    return tw_capacity_fits(&available, &job->spec, SUM_TOLERANCE);
}

/* Returns whether another task of the same gang on the machine is already a victim. In that
 * case stopping this one costs nothing more. */
static bool gang_is_victim(const tw_machine *machine, const tw_placement *placed) {
    const tw_placement *other;
    if (!placed->job->spec.gang) return false;
    DL_FOREACH(machine->placements, other) {
        if (other->mark == VICTIM_MARK && other->job == placed->job) return true;
    }
    return false;
}

/* Returns the task on the machine that costs least to stop, other than those already marked as
 * victims, and sets *least_cost_s to its cost. NULL: there is none. While the new task still lacks
 * GPUs, only tasks that use GPUs are considered. */
static tw_placement *find_cheapest_victim(const tw_core *core, const tw_machine *machine,
                                          const tw_job *job, const tw_capacity *available,
                                          double *least_cost_s) {
    tw_placement *best = NULL;
    tw_placement *placed;
    *least_cost_s = INFINITY;
    DL_FOREACH(machine->placements, placed) {
        if (!tw_preemption_allowed(core, job, placed) || placed->mark == VICTIM_MARK) continue;
        if (job->spec.gpus > 0 && placed->job->spec.gpus <= 0 &&
            available->gpus + TW_CAPACITY_ROUNDING < job->spec.gpus)
            continue;
        const double cost_s = gang_is_victim(machine, placed) ? 0 : preemption_cost_s(core, placed);
        if (cost_s < *least_cost_s) {
            *least_cost_s = cost_s;
            best = placed;
        }
    }
    return best;
}

/* Stops the victim for the job. */
static void stop_victim(tw_core *core, tw_placement *victim, const tw_job *job) {
    const tw_wire_job *spec = &victim->job->spec;
    tw_log_debug("event=task_preempted task=%s/%d for=%s worker=%s", spec->id, victim->index,
                 job->id, victim->machine->name);
    /* Saving takes save_s. The victim saves only if the job can wait that long and still meet its
     * deadline. */
    const bool saves =
        spec->checkpoint_s > 0 && core->context.now + spec->save_s < tw_job_deadline(job);
    tw_placement_stop(core, victim, saves ? spec->save_s : 0, true);
}

/* Limit on the cost of preemption on a machine: preemption there is worthwhile only if its
 * cost plus the machine's penalty is less than the lowest cost found so far. */
typedef struct {
    double penalty_s; /* added to the cost if the new task would be late on the machine */
    /* lowest cost, including the penalty, of the machines examined so far */
    double least_cost_s;
} preemption_limit;

/* Marks the cheapest tasks as victims until the job's task fits, and sets *cost_s to their
 * cost. limit: stop when the cost reaches the limit; NULL: there is no limit, and the victims
 * are stopped. Returns whether the task fits. The caller clears the marks. */
static bool select_victims(tw_core *core, const tw_job *job, tw_machine *machine,
                           const preemption_limit *limit, double *cost_s) {
    const tw_wire_machine_type *type = &core->machine_types[machine->type_index].listed;
    tw_capacity available = tw_machine_capacity_after_vacating(machine, type);
    *cost_s = 0;
    while (!tw_capacity_fits(&available, &job->spec, TW_CAPACITY_ROUNDING)) {
        double least_cost_s;
        tw_placement *victim = find_cheapest_victim(core, machine, job, &available, &least_cost_s);
        if (!victim) return false;
        victim->mark = VICTIM_MARK;
        *cost_s += least_cost_s;
        if (limit && *cost_s + limit->penalty_s >= limit->least_cost_s) return false;
        tw_capacity_add_task(&available, &victim->job->spec);
        if (!limit) stop_victim(core, victim, job);
    }
    return true;
}

static void clear_victim_marks(tw_machine *machine) {
    tw_placement *placed;
    DL_FOREACH(machine->placements, placed) {
        if (placed->mark == VICTIM_MARK) placed->mark = 0;
    }
}

/* Returns whether the demand's task may run on the machine once enough capacity is free. */
static bool machine_is_allowed(tw_core *core, const tw_demand *demand, const tw_machine *machine) {
    return tw_constraints_allow_machine(core, demand->job, machine) &&
           tw_demand_allows_machine(core, demand, machine) &&
           tw_constraints_leave_gpus_usable(core, machine, demand->job, 1);
}

struct tw_machine *tw_scheduler_preempt(tw_core *core, const tw_demand *demand, bool in_time,
                                        bool *capacity_is_reserved) {
    const tw_job *job = demand->job;
    double least_cost_s = INFINITY;
    double cost_s;
    tw_machine *best = NULL;
    if (job->spec.priority <= TW_PRIORITY_IDLE) return NULL;
    for (int i = 0; i < core->candidate_count; i++) {
        tw_machine *machine = core->candidates[i].machine;
        core->pass_steps++;
        if (!could_free_capacity(core, machine, job)) continue;
        if (!machine_is_allowed(core, demand, machine)) continue;
        if (!tw_reserve_allows(core, machine, job)) {
            *capacity_is_reserved = true;
            continue;
        }
        const tw_prediction prediction = tw_predict_duration(core, demand, machine);
        const bool is_late = !(tw_predict_end(core, demand, &prediction) <= demand->deadline_at);
        if (is_late && in_time) continue;
        const preemption_limit limit = {is_late ? COST_OF_MISSED_DEADLINE_S : 0, least_cost_s};
        const bool task_fits = select_victims(core, job, machine, &limit, &cost_s);
        clear_victim_marks(machine);
        if (!task_fits || cost_s + limit.penalty_s >= least_cost_s) continue;
        least_cost_s = cost_s + limit.penalty_s;
        best = machine;
    }
    if (!best) return NULL;
    select_victims(core, job, best, NULL, &cost_s);
    clear_victim_marks(best);
    /* Preemption may free more capacity than the task needs, which other tasks can use. */
    tw_placement_failures_clear(core);
    tw_scores_clear(core);
    return best;
}
