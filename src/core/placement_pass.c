/* Passes over the queue. A pass places each pending task on the machine that suits it best or,
 * if no machine has free capacity, on one where tasks of lower priority are preempted for it.
 * A pass runs when something has changed (core->scheduling_due), and immediately for a job of
 * the highest priority.
 *
 * Invariants:
 *   - A task is placed only within its team's limit.
 *   - A gang is placed completely or not at all.
 *   - The candidates, scores and placement failures of a pass are valid only while free
 *     capacity decreases, and are cleared when capacity is released within the pass. */
#include "core/scheduler_int.h"
#include <stdbool.h>

#define MAX_TASKS_PER_PASS 300 /* the next pass places the others */
/* Maximum number of choices of a machine for the tasks of one gang, which has to be placed in one
 * pass. A larger gang gets several tasks with each choice. */
#define MAX_CHOICES_PER_GANG 300
#define PASS_INTERVAL_S 0.1 /* minimum time between the starts of two passes */

/* Returns the index of the job's next unplaced task, or -1 if there is none. */
static int find_next_unplaced(tw_job *job) {
    while (job->first_unplaced < job->task_count &&
           job->task_states[job->first_unplaced] != TW_ASSIGNMENT_NONE)
        job->first_unplaced++;
    return job->first_unplaced < job->task_count ? job->first_unplaced : -1;
}

/* Logs the machine on which a task was placed, and its predicted times. */
static void log_placement(const tw_core *core, const tw_demand *demand,
                          const tw_placement *placed) {
    const tw_job *job = demand->job;
    const tw_machine *machine = placed->machine;
    if (!tw_log_is_enabled(TW_LOG_DEBUG)) return;
    const tw_prediction prediction = tw_predict_duration(core, demand, machine);
    tw_log_debug("event=task_placed task=%s/%d attempt=%llu worker=%s class=%s machine_type=%s "
                 "waited_s=%.2f "
                 "start_s=%.2f left_s=%.2f image=%s",
                 job->id, placed->index, (unsigned long long)placed->attempt, machine->name,
                 job->spec.job_class, machine->type_name, core->context.now - job->submitted_at,
                 prediction.total_s - prediction.run_s, demand->deadline_at - core->context.now,
                 job->spec.image);
}

/* Chooses a machine for the demand's task, preempting tasks on it if necessary. Sets *choice
 * to the result; its machine is NULL if no machine has capacity for the task. Returns whether the
 * machine's capacity was free. */
static bool find_machine(tw_core *core, const tw_demand *demand, tw_choice *choice) {
    const tw_job *job = demand->job;
    *choice = tw_scheduler_choose_machine(core, demand);
    bool was_free = choice->machine != NULL;
    /* The count also increases if no task is placed in the end; this only causes a score to be
     * recomputed. */
    if (choice->machine)
        core->candidates[choice->candidate_index].placement_count++;
    else
        choice->machine = tw_scheduler_preempt(core, demand, false, &choice->capacity_is_reserved);
    if (!choice->machine || choice->meets_deadline) return was_free;
    if (!job->spec.service || job->spec.priority != TW_PRIORITY_PROD) return was_free;
    /* The service would miss its start objective on this machine. Preempting a batch task on
     * another machine is preferable. */
    tw_machine *other = tw_scheduler_preempt(core, demand, true, &choice->capacity_is_reserved);
    if (!other) return was_free;
    choice->machine = other;
    return false;
}

/* Places a task on the machine. Returns whether it was placed. */
static bool place_on_machine(tw_core *core, const tw_demand *demand, int index, uint64_t attempt,
                             tw_machine *machine) {
    tw_reserve_record_placement(core, machine, demand->job);
    const tw_placement *placed = tw_placement_new(core, demand->job, index, machine, attempt);
    if (!placed) return false;
    log_placement(core, demand, placed);
    return true;
}

/* Returns whether one more task of the job may be placed on the machine in its free capacity, after
 * a task of it was placed there in this pass. */
static bool machine_takes_another(tw_core *core, tw_job *job, const tw_machine *machine) {
    return tw_quota_allows_tasks(core, job, 1) && tw_gang_reservation_allows_team(core, job) &&
           tw_machine_has_capacity(machine, &core->machine_types[machine->type_index],
                                   &job->spec) &&
           tw_constraints_allow_machine(core, job, machine) &&
           tw_constraints_leave_gpus_usable(core, machine, job, 1) &&
           tw_constraints_allow_zone(core, job, machine->zone) &&
           tw_reserve_allows(core, machine, job);
}

/* Tasks of a job to be placed. */
typedef struct {
    uint64_t common_attempt; /* attempt of all tasks; 0: each gets one of its own */
    uint32_t zones;          /* zones in which they may be placed, as a bit mask */
    int tasks_per_choice;    /* maximum number of tasks for which a machine is chosen at once */
} placement_request;

static uint64_t next_attempt_of(const tw_job *job, const placement_request *request) {
    return request->common_attempt ? request->common_attempt : job->next_attempt;
}

/* Chooses a machine for the job's next unplaced task, with that index, and places the task there,
 * followed by further ones as far as the request and the machine allow, at most limit in all.
 * Returns the number of tasks placed; 0 if there is no capacity or the team is at its limit. */
static int place_on_best_machine(tw_core *core, tw_job *job, int index,
                                 const placement_request *request, int limit) {
    if (!tw_quota_allows_tasks(core, job, 1) || !tw_gang_reservation_allows_team(core, job))
        return 0;
    tw_demand demand = tw_demand_of(core, job);
    demand.zone_mask &= request->zones;
    const tw_placement_failure kind = tw_placement_failure_of(&demand);
    if (tw_placement_failures_has(core, &kind)) return 0;
    tw_choice choice;
    const bool was_free = find_machine(core, &demand, &choice);
    if (!choice.machine) {
        /* A failure does not apply to other tasks of this kind if it is due to machines that only
         * this job avoids, or to reserved capacity, which changes during the pass. */
        if (!choice.capacity_is_reserved && !job->failed_machine_count &&
            demand.restriction == TW_MACHINES_ANY)
            tw_placement_failures_add(core, &kind);
        return 0;
    }
    if (job->spec.gpus > 0) tw_placement_failures_clear_cpu_only(core);
    /* Capacity that preemption frees is promised to one task. */
    const int count = was_free ? request->tasks_per_choice : 1;
    int placed = 0;
    do {
        if (!place_on_machine(core, &demand, index, next_attempt_of(job, request), choice.machine))
            break;
        placed++;
    } while (placed < count && placed < limit && (index = find_next_unplaced(job)) >= 0 &&
             machine_takes_another(core, job, choice.machine));
    return placed;
}

/* Places up to limit tasks of the job. Returns the number of tasks placed. */
static int place_tasks(tw_core *core, tw_job *job, int limit, const placement_request *request) {
    const int max_running = tw_record_max_running(core, job);
    int placed = 0;
    int index;
    while (placed < limit && job->placed_count < max_running &&
           (index = find_next_unplaced(job)) >= 0) {
        const int room = max_running - job->placed_count;
        const int rest = limit - placed < room ? limit - placed : room;
        const int count = place_on_best_machine(core, job, index, request, rest);
        if (!count) break;
        placed += count;
    }
    return placed;
}

/* Removes the placements that are newer than the gang's record, and restores next_attempt so that
 * the attempt numbers of these placements can be used again. */
static void undo_placements(tw_core *core, tw_job *job, uint64_t next_attempt) {
    tw_placement *placed;
    tw_placement *next;
    DL_FOREACH_SAFE2(job->placements, placed, next, job_next) {
        if (placed->version > tw_store_version(job->record))
            tw_attempt_terminate_on(core, placed, TW_EVIDENCE_PLACEMENT_UNDONE);
    }
    job->next_attempt = next_attempt;
    tw_placement_failures_clear(core);
    tw_scores_clear(core);
}

/* Returns the index of the zone of the first placement that is newer than the gang's record,
 * or -1 if there is no such placement or its machine's zone has no index. */
static int zone_of_first_placement(const tw_job *job) {
    const tw_placement *first = job->placements;
    while (first && first->version <= tw_store_version(job->record)) first = first->job_next;
    return first ? first->machine->zone_index : -1;
}

/* Places a complete gang, or all missing tasks of a gang that has not started, or nothing. A
 * single-zone gang is placed in the zone where its first task fits best, among the zones with
 * capacity for all of its tasks. Returns the number of tasks placed. */
static int place_gang(tw_core *core, tw_job *job) {
    const int count = job->task_count - job->done_count - job->placed_count;
    const uint64_t next_attempt = job->next_attempt;
    const uint64_t attempt = job->placed_count ? job->gang.attempt : next_attempt;
    if (!tw_gang_is_pending(job) || !tw_quota_allows_tasks(core, job, count)) return 0;
    placement_request request = {.common_attempt = attempt,
                                 .zones = tw_gang_candidate_zones(core, job, count),
                                 .tasks_per_choice =
                                     (count + MAX_CHOICES_PER_GANG - 1) / MAX_CHOICES_PER_GANG};
    while (request.zones) {
        if (place_tasks(core, job, count, &request) == count) {
            tw_gang_note_placed(core, job);
            return count;
        }
        /* The zone has less usable capacity than the sums of free amounts indicated. Another zone
         * may have enough. */
        const int zone = zone_of_first_placement(job);
        undo_placements(core, job, next_attempt);
        if (!job->spec.single_zone || zone < 0) return 0;
        request.zones &= ~(1U << zone);
    }
    return 0;
}

/* Places up to limit tasks of the job, or a complete gang. Returns the number of tasks placed. */
static int place_job(tw_core *core, tw_job *job, int limit) {
    const placement_request request = {.zones = UINT32_MAX, .tasks_per_choice = 1};
    const int count =
        job->spec.gang ? place_gang(core, job) : place_tasks(core, job, limit, &request);
    if (!count) return 0;
    tw_job_mark_changed(core, job, job->spec.priority >= TW_PRIORITY_PROD);
    tw_placement *placed;
    DL_FOREACH2(job->placements, placed, job_next) {
        if (placed->version > tw_store_version(job->record))
            placed->version = tw_store_version(job->record);
    }
    return count;
}

/* Clears the state of the previous pass and computes what is common to all placements of this
 * one. */
static void begin_pass(tw_core *core) {
    tw_candidates_update(core);
    tw_gang_reservation_update(core);
    tw_reserve_update(core);
    tw_placement_failures_clear(core);
    tw_scores_clear(core);
}

bool tw_scheduler_place_now(tw_core *core, tw_job *job) {
    if (job->spec.priority < TW_PRIORITY_PROD || !tw_job_is_pending(core, job)) {
        core->scheduling_due = true;
        core->next_pass_at = fmin(core->next_pass_at, core->context.now);
        return false;
    }
    begin_pass(core);
    place_job(core, job, MAX_TASKS_PER_PASS);
    return job->placed_count + job->done_count == job->task_count;
}

void tw_scheduler_run_pass(tw_core *core) {
    core->scheduling_due = false;
    core->next_pass_at = core->context.now + PASS_INTERVAL_S;
    tw_job_queue *queue = tw_job_queue_new(core, true);
    int remaining = MAX_TASKS_PER_PASS;
    bool pass_begun = false;
    tw_job *job;
    while (remaining > 0 && (job = tw_job_queue_next(core, queue))) {
        /* Usually no job is pending, and examining the fleet would be wasted work. */
        if (!pass_begun) begin_pass(core);
        pass_begun = true;
        /* While other jobs compete, a job gets one task per turn. */
        const int limit = tw_job_queue_is_contended(queue) ? 1 : remaining;
        const int count = place_job(core, job, limit);
        remaining -= count;
        tw_job_queue_note_placed(core, queue, job, count);
        if (count && count == limit && tw_job_is_pending(core, job)) tw_job_queue_requeue(queue);
    }
    if (remaining <= 0) core->scheduling_due = true;
    tw_job_queue_free(queue);
}
