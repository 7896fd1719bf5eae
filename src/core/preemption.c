/* Preempts tasks of lower priority for a task, on the machine where that costs least.
 *
 * The cost of stopping a task is its unsaved run time in task seconds; for a task of a gang,
 * the sum over all its tasks, which stop with it. Fixed costs are added for the victim's
 * priority, for a deadline that the victim would then miss, and for a machine on which the new
 * task would still miss its deadline. */
#include "core/scheduler_int.h"
#include <stdbool.h>

#define SUM_TOLERANCE 1e-3           /* upper bound of the rounding error in sums over many tasks */
#define COST_PER_PRIORITY_S 10       /* per step of the victim's priority */
#define COST_OF_MISSED_DEADLINE_S 60 /* if the new task misses its deadline anyway */
/* Run time that a restarted victim needs, as a multiple of its estimate. */
#define RESTART_RUN_FACTOR 1.3

/* Returns whether stopping the task would lose unsaved work of a running gang. If not all
 * tasks of the gang can be commanded to save, the gang is not preempted until they can. */
static bool would_lose_gang_progress(const tw_core *core, const tw_placement *placed) {
    tw_job *job = placed->job;
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
    tw_job *job = placed->job;
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

/* A task on the machine that may be stopped. */
typedef struct {
    tw_placement *placed;
    double cost_s; /* of stopping it, if no other task of its gang is stopped */
    int position;  /* in the machine's list */
    int group;     /* position of the cheapest task of its gang on the machine; its own otherwise */
    double group_cost_s; /* cost of that task */
    bool is_victim;
} victim_candidate;

typedef struct {
    victim_candidate *items;
    int count;
} victim_candidates;

/* Comparison function for qsort: orders the tasks of each job by cost. */
static int compare_by_job(const void *left, const void *right) {
    const victim_candidate *a = left, *b = right;
    if (a->placed->job != b->placed->job)
        return (uintptr_t)a->placed->job < (uintptr_t)b->placed->job ? -1 : 1;
    if (a->cost_s != b->cost_s) return a->cost_s < b->cost_s ? -1 : 1;
    return a->position - b->position;
}

/* Comparison function for qsort: orders by cost. The tasks of a gang follow its cheapest one, since
 * stopping them costs nothing more. */
static int compare_by_cost(const void *left, const void *right) {
    const victim_candidate *a = left, *b = right;
    if (a->group_cost_s != b->group_cost_s) return a->group_cost_s < b->group_cost_s ? -1 : 1;
    if (a->group != b->group) return a->group - b->group;
    if ((a->position == a->group) != (b->position == b->group))
        return a->position == a->group ? -1 : 1;
    return a->position - b->position;
}

/* Sets the groups of the candidates, and sorts them into the order in which they are stopped. */
static void sort_victims(victim_candidates *candidates) {
    victim_candidate *items = candidates->items;
    qsort(items, (size_t)candidates->count, sizeof *items, compare_by_job);
    for (int i = 0; i < candidates->count; i++) {
        const bool follows = i && items[i].placed->job->spec.gang &&
                             items[i].placed->job == items[i - 1].placed->job;
        items[i].group = follows ? items[i - 1].group : items[i].position;
        items[i].group_cost_s = follows ? items[i - 1].group_cost_s : items[i].cost_s;
    }
    qsort(items, (size_t)candidates->count, sizeof *items, compare_by_cost);
}

/* Returns the tasks on the machine that may be preempted for the job, in the order in which they
 * are stopped. The caller frees the items. */
static victim_candidates list_victims(tw_core *core, const tw_job *job, tw_machine *machine) {
    victim_candidates candidates = {0};
    tw_placement *placed;
    int length = 0;
    DL_FOREACH(machine->placements, placed) { length++; }
    candidates.items = tw_alloc((size_t)length * sizeof *candidates.items);
    int position = 0;
    DL_FOREACH(machine->placements, placed) {
        if (tw_preemption_allowed(core, job, placed))
            candidates.items[candidates.count++] = (victim_candidate){
                .placed = placed, .cost_s = preemption_cost_s(core, placed), .position = position};
        position++;
    }
    sort_victims(&candidates);
    core->pass_steps += (uint64_t)length;
    return candidates;
}

/* Returns whether a task of the candidate's gang that precedes it is a victim, so that stopping
 * this one costs nothing more. */
static bool gang_is_victim(const victim_candidates *candidates, int index) {
    return index && candidates->items[index - 1].group == candidates->items[index].group &&
           candidates->items[index - 1].is_victim;
}

/* State of a selection of victims on a machine. */
typedef struct {
    const tw_job *job;
    tw_capacity available;
    const preemption_limit *limit; /* NULL: the victims are stopped */
    double cost_s;
    bool exceeds_limit;
} victim_selection;

static bool selection_is_over(const victim_selection *selection) {
    return selection->exceeds_limit ||
           tw_capacity_fits(&selection->available, &selection->job->spec, TW_CAPACITY_ROUNDING);
}

/* Selects candidates in their order until the job's task fits. gpus_only: only tasks that use GPUs,
 * until enough GPUs are free. of_gangs: only tasks of gangs of which another task was selected. */
static void select_in_order(tw_core *core, victim_candidates *candidates,
                            victim_selection *selection, bool gpus_only, bool of_gangs) {
    const tw_wire_job *spec = &selection->job->spec;
    for (int i = 0; i < candidates->count && !selection_is_over(selection); i++) {
        victim_candidate *victim = &candidates->items[i];
        const bool costs_nothing = gang_is_victim(candidates, i);
        if (gpus_only && selection->available.gpus + TW_CAPACITY_ROUNDING >= spec->gpus) return;
        if (victim->is_victim || (of_gangs && !costs_nothing)) continue;
        if (gpus_only && victim->placed->job->spec.gpus <= 0) continue;
        victim->is_victim = true;
        selection->cost_s += costs_nothing ? 0 : victim->cost_s;
        if (selection->limit &&
            selection->cost_s + selection->limit->penalty_s >= selection->limit->least_cost_s) {
            selection->exceeds_limit = true;
            return;
        }
        tw_capacity_add_task(&selection->available, &victim->placed->job->spec);
        if (!selection->limit) stop_victim(core, victim->placed, selection->job);
    }
}

/* Selects the cheapest tasks as victims until the job's task fits, and sets *cost_s to their
 * cost. While the task lacks GPUs, only tasks that use GPUs are selected. limit: stop when the cost
 * reaches the limit; NULL: there is no limit, and the victims are stopped. Returns whether the task
 * fits. */
static bool select_victims(tw_core *core, const tw_job *job, tw_machine *machine,
                           const preemption_limit *limit, double *cost_s) {
    const tw_wire_machine_type *type = &core->machine_types[machine->type_index].listed;
    victim_selection selection = {
        .job = job, .available = tw_machine_capacity_after_vacating(machine, type), .limit = limit};
    *cost_s = 0;
    if (selection_is_over(&selection)) return true;
    victim_candidates candidates = list_victims(core, job, machine);
    if (job->spec.gpus > 0) select_in_order(core, &candidates, &selection, true, false);
    select_in_order(core, &candidates, &selection, false, true);
    select_in_order(core, &candidates, &selection, false, false);
    free(candidates.items);
    *cost_s = selection.cost_s;
    return !selection.exceeds_limit && selection_is_over(&selection);
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
        if (!task_fits || cost_s + limit.penalty_s >= least_cost_s) continue;
        least_cost_s = cost_s + limit.penalty_s;
        best = machine;
    }
    if (!best) return NULL;
    select_victims(core, job, best, NULL, &cost_s);
    /* Preemption may free more capacity than the task needs, which other tasks can use. */
    tw_placement_failures_clear(core);
    tw_scores_clear(core);
    return best;
}
