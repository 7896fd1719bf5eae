/* Passes over the queue: each task that waits is placed on the machine that suits it best, or, if
 * no machine has free room, on one where tasks of lower priority are stopped for it. A pass is run
 * when something has changed (core->scheduling_due), and at once for a job of the highest priority.
 *
 * Invariants: a task is placed only within its team's limit; a gang is placed whole or not at all;
 * what a pass knows (candidates, scores, placement failures) is forgotten when room is given back
 * within it, since it holds only while room gets less. */
#include "core/scheduler_int.h"
#include <stdbool.h>

#define MAX_TASKS_PER_PASS 300 /* the rest is left to the next pass */
#define PASS_INTERVAL_S 0.1    /* between the starts of two passes, at least */

/* The index of the job's next task that is not placed. -1: there is none. */
static int find_next_unplaced(tw_job *job) {
    while (job->first_unplaced < job->task_count &&
           job->task_states[job->first_unplaced] != TW_ASSIGNMENT_NONE)
        job->first_unplaced++;
    return job->first_unplaced < job->task_count ? job->first_unplaced : -1;
}

/* Logs where a task was placed, and what was expected of it. */
static void log_placement(const tw_core *core, const tw_demand *demand,
                          const tw_placement *placed) {
    const tw_job *job = demand->job;
    const tw_machine *machine = placed->machine;
    if (!tw_log_is_enabled(TW_LOG_DEBUG)) return;
    const tw_prediction prediction = tw_predict(core, demand, machine);
    tw_log_debug("event=task_placed task=%s/%d attempt=%llu worker=%s class=%s machine_type=%s "
                 "waited_s=%.2f "
                 "start_s=%.2f left_s=%.2f image=%s",
                 job->id, placed->index, (unsigned long long)placed->attempt, machine->name,
                 job->spec.job_class, machine->type_name, core->context.now - job->submitted_at,
                 prediction.total_s - prediction.run_s, demand->deadline_at - core->context.now,
                 job->spec.image);
}

/* Chooses a machine for the demand's task, or stops other tasks to make room on one. *choice is
 * where it goes, with no machine if there is no room for it. */
static void find_machine(tw_core *core, const tw_demand *demand, tw_choice *choice) {
    const tw_job *job = demand->job;
    *choice = tw_scheduler_choose(core, demand);
    if (choice->machine)
        core->candidates[choice->candidate].changes++; /* harmless if no task is placed there */
    else
        choice->machine = tw_scheduler_preempt(core, demand, false, &choice->room_is_reserved);
    if (!choice->machine || choice->meets_deadline) return;
    if (!job->spec.service || job->spec.priority != TW_PRIORITY_PROD) return;
    /* The service would miss its start objective there: it is better to stop a batch task. */
    tw_machine *other = tw_scheduler_preempt(core, demand, true, &choice->room_is_reserved);
    if (other) choice->machine = other;
}

/* Places one task in one of the zones, given as bits. Returns whether it was placed: there may be
 * no room, or its team may be at its limit. */
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
        /* The failure says nothing about other tasks of this kind if it comes from machines that
         * only this job passes over, or from reserved room, which comes and goes. */
        if (!choice.room_is_reserved && !job->failed_machine_count &&
            demand.machines == TW_MACHINES_ANY)
            tw_placement_failures_add(core, &kind);
        return false;
    }
    if (job->spec.gpus > 0) tw_placement_failures_forget_cpu(core);
    tw_reserve_take(core, choice.machine, job);
    const tw_placement *placed = tw_placement_new(core, job, index, choice.machine, attempt);
    if (!placed) return false;
    log_placement(core, &demand, placed);
    return true;
}

/* Places up to limit tasks of the job in the zones, given as bits. Each task gets an attempt of its
 * own, or all get common_attempt if it isn't 0. Returns how many were placed. */
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

/* Undoes the placements that are newer than the gang's record, and the attempts that they used. */
static void undo_placements(tw_core *core, tw_job *job, uint64_t next_attempt) {
    tw_placement *placed;
    tw_placement *next;
    DL_FOREACH_SAFE2(job->placements, placed, next, job_next) {
        if (placed->version > tw_store_version(job->record))
            tw_attempt_terminate_on(core, placed, TW_EVIDENCE_PLACEMENT_UNDONE);
    }
    job->next_attempt = next_attempt;
    tw_placement_failures_forget(core);
    tw_scores_forget(core);
}

/* The zone to which the first of the newest placements of the gang went. -1: there is no such
 * placement, or its machine's zone has no number. */
static int zone_of_first_placement(const tw_job *job) {
    const tw_placement *first = job->placements;
    while (first && first->version <= tw_store_version(job->record)) first = first->job_next;
    return first ? first->machine->zone_index : -1;
}

/* Places a whole gang, or all that is missing of a gang that has not started, or nothing. A gang
 * that must stand in a single zone goes where its first task fits best, among the zones that have
 * room for all of it. Returns the number of tasks placed. */
static int place_gang(tw_core *core, tw_job *job) {
    const int count = job->task_count - job->done_count - job->placed_count;
    const uint64_t next_attempt = job->next_attempt;
    const uint64_t attempt = job->placed_count ? job->gang.attempt : next_attempt;
    if (!tw_gang_is_pending(job) || !tw_quota_allows_tasks(core, job, count)) return 0;
    uint32_t zones = tw_gang_candidate_zones(core, job, count);
    while (zones) {
        if (place_tasks(core, job, count, attempt, zones) == count) {
            tw_gang_placed(core, job);
            return count;
        }
        /* There is less room than the sums of free amounts said: another zone may have enough. */
        const int zone = zone_of_first_placement(job);
        undo_placements(core, job, next_attempt);
        if (!job->spec.single_zone || zone < 0) return 0;
        zones &= ~(1U << zone);
    }
    return 0;
}

/* Places what it can of a job, up to limit tasks or a whole gang. Returns the number of tasks
 * placed. */
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

/* Forgets the pass before and works out what holds for all of this one. */
static void begin_pass(tw_core *core) {
    tw_candidates_begin(core);
    tw_gang_reservation_update(core);
    tw_reserve_update(core);
    tw_placement_failures_forget(core);
    tw_scores_forget(core);
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

void tw_scheduler_run(tw_core *core) {
    core->scheduling_due = false;
    core->next_pass_at = core->context.now + PASS_INTERVAL_S;
    tw_job_queue *queue = tw_job_queue_new(core, true);
    int remaining = MAX_TASKS_PER_PASS;
    bool pass_begun = false;
    tw_job *job;
    while (remaining > 0 && (job = tw_job_queue_next(core, queue))) {
        /* Mostly no job waits, and then the fleet need not be looked at. */
        if (!pass_begun) begin_pass(core);
        pass_begun = true;
        /* While others compete, a job gets one task in its turn. */
        const int limit = tw_job_queue_is_contended(queue) ? 1 : remaining;
        const int count = place_job(core, job, limit);
        remaining -= count;
        tw_job_queue_note_placed(core, queue, job, count);
        if (count && count == limit && tw_job_is_pending(core, job)) tw_job_queue_requeue(queue);
    }
    if (remaining <= 0) core->scheduling_due = true;
    tw_job_queue_free(queue);
}
