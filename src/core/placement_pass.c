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
#define PASS_INTERVAL_S 0.1    /* minimum time between the starts of two passes */

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
 * to the result; its machine is NULL if no machine has capacity for the task. */
static void find_machine(tw_core *core, const tw_demand *demand, tw_choice *choice) {
    const tw_job *job = demand->job;
    *choice = tw_scheduler_choose_machine(core, demand);
    /* The count also increases if no task is placed in the end; this only causes a score to be
     * recomputed. */
    if (choice->machine)
        core->candidates[choice->candidate_index].placement_count++;
    else
        choice->machine = tw_scheduler_preempt(core, demand, false, &choice->capacity_is_reserved);
    if (!choice->machine || choice->meets_deadline) return;
    if (!job->spec.service || job->spec.priority != TW_PRIORITY_PROD) return;
    /* The service would miss its start objective on this machine. Preempting a batch task on
     * another machine is preferable. */
    tw_machine *other = tw_scheduler_preempt(core, demand, true, &choice->capacity_is_reserved);
    if (other) choice->machine = other;
}

/* Places one task in one of the zones (a bit mask). Returns false if there is no capacity or
 * the team is at its limit. */
static bool place_task(tw_core *core, tw_job *job, int index, uint64_t attempt, uint32_t zones) {
    if (!tw_quota_allows_tasks(core, job, 1) || !tw_gang_reservation_allows_team(core, job))
        return false;
    tw_demand demand = tw_demand_of(core, job);
    demand.zone_mask &= zones;
    const tw_placement_failure kind = tw_placement_failure_of(&demand);
    if (tw_placement_failures_has(core, &kind)) return false;
    tw_choice choice;
    find_machine(core, &demand, &choice);
    if (!choice.machine) {
        /* A failure does not apply to other tasks of this kind if it is due to machines that only
         * this job avoids, or to reserved capacity, which changes during the pass. */
        if (!choice.capacity_is_reserved && !job->failed_machine_count &&
            demand.restriction == TW_MACHINES_ANY)
            tw_placement_failures_add(core, &kind);
        return false;
    }
    if (job->spec.gpus > 0) tw_placement_failures_clear_cpu_only(core);
    tw_reserve_record_placement(core, choice.machine, job);
    const tw_placement *placed = tw_placement_new(core, job, index, choice.machine, attempt);
    if (!placed) return false;
    log_placement(core, &demand, placed);
    return true;
}

/* Places up to limit tasks of the job in the zones (a bit mask). All tasks get common_attempt
 * as their attempt, or each gets an attempt of its own if common_attempt is 0. Returns the
 * number of tasks placed. */
static int place_tasks(tw_core *core, tw_job *job, int limit, uint64_t common_attempt,
                       uint32_t zones) {
    const int max_running = tw_record_max_running(core, job);
    int placed = 0;
    int index;
    while (placed < limit && job->placed_count < max_running &&
           (index = find_next_unplaced(job)) >= 0) {
        const uint64_t attempt = common_attempt ? common_attempt : job->next_attempt;
        if (!place_task(core, job, index, attempt, zones)) break;
        placed++;
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
    uint32_t zones = tw_gang_candidate_zones(core, job, count);
    while (zones) {
        if (place_tasks(core, job, count, attempt, zones) == count) {
            tw_gang_note_placed(core, job);
            return count;
        }
        /* The zone has less usable capacity than the sums of free amounts indicated. Another zone
         * may have enough. */
        const int zone = zone_of_first_placement(job);
        undo_placements(core, job, next_attempt);
        if (!job->spec.single_zone || zone < 0) return 0;
        zones &= ~(1U << zone);
    }
    return 0;
}

/* Places up to limit tasks of the job, or a complete gang. Returns the number of tasks placed. */
static int place_job(tw_core *core, tw_job *job, int limit) {
    const int count =
        job->spec.gang ? place_gang(core, job) : place_tasks(core, job, limit, 0, UINT32_MAX);
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
