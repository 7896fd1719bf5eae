/* Passes over the jobs that wait: each task is placed on the machine that suits it best, or on one
 * where work of lower rank is stopped for it. */
#include "core/scheduler_int.h"
#include <stdbool.h>

#define MAX_TASKS_PER_PASS 300 /* tasks; the rest in the next pass */
#define PASS_INTERVAL_S 0.1

static int find_next_unplaced(tw_job *job) {
    while (job->first_unplaced < job->task_count &&
           job->task_states[job->first_unplaced] != TW_ASSIGNMENT_NONE)
        job->first_unplaced++;
    return job->first_unplaced < job->task_count ? job->first_unplaced : -1;
}

static void log_placement(const tw_core *core, const tw_demand *demand,
                          const tw_placement *placed) {
    const tw_job *job = demand->job;
    const tw_machine *machine = placed->machine;
    if (!tw_log_on(TW_LOG_DEBUG)) return;
    const tw_prediction prediction = tw_predict(core, demand, machine);
    tw_log_debug("event=task_placed task=%s/%d attempt=%llu worker=%s class=%s machine_type=%s "
                 "waited_s=%.2f "
                 "start_s=%.2f left_s=%.2f image=%s",
                 job->id, placed->index, (unsigned long long)placed->attempt, machine->name,
                 job->spec.job_class, machine->type_name, core->context.now - job->submitted_at,
                 prediction.total_s - prediction.run_s, demand->deadline_at - core->context.now,
                 job->spec.image);
}

/* Places one task on the best machine of the zones given, as bits. 0: no room, or not for its
 * team. */
static bool place_task(tw_core *core, tw_job *job, int index, uint64_t attempt, uint32_t zones) {
    if (!tw_quota_allows_tasks(core, job, 1) || !tw_gang_reservation_allows_team(core, job))
        return false;
    tw_demand demand = tw_demand_of(core, job);
    demand.zone_mask &= zones;
    const tw_placement_failure kind = tw_placement_failure_of(&demand);
    if (tw_placement_failures_has(core, &kind)) return false;
    tw_choice choice = tw_scheduler_choose(core, &demand);
    if (choice.machine)
        core->candidates[choice.candidate].changes++; /* or none is placed there, to no harm */
    else
        choice.machine = tw_scheduler_preempt(core, &demand, false, &choice.room_is_reserved);
    if (choice.machine && !choice.meets_deadline && job->spec.service &&
        job->spec.priority == TW_PRIORITY_PROD) {
        /* Its start objective would be missed there: rather at a batch task's cost. */
        tw_machine *other = tw_scheduler_preempt(core, &demand, true, &choice.room_is_reserved);
        if (other) choice.machine = other;
    }
    if (!choice.machine) {
        /* Not because of what is its own alone, or of holes, which come and go. */
        if (!choice.room_is_reserved && !job->failed_machine_count)
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

/* Places up to limit tasks, each under an attempt of its own, or all under the one given. */
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

/* Undoes what was placed of a gang since its record last changed. */
static void undo_placements(tw_core *core, tw_job *job, uint64_t next_attempt) {
    tw_placement *placed;
    tw_placement *next;
    DL_FOREACH_SAFE2(job->placements, placed, next, job_next) {
        if (placed->version > job->version)
            tw_attempt_terminate_on(core, placed, TW_EVIDENCE_PLACEMENT_UNDONE);
    }
    job->next_attempt = next_attempt;
    tw_placement_failures_forget(core);
    tw_scores_forget(core);
}

/* Places a gang whole or not at all, or all that is missing of one that has not started. One that
 * must stand in one zone goes where its first task fits best, among the zones with room for all of
 * it. */
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
        /* Less room than the amounts had it: perhaps another zone. */
        const tw_placement *first = job->placements;
        while (first && first->version <= job->version) first = first->job_next;
        const int zone = first ? first->machine->zone_index : -1;
        undo_placements(core, job, next_attempt);
        if (!job->spec.single_zone || zone < 0) return 0;
        zones &= ~(1U << zone);
    }
    return 0;
}

/* Places what it can of a job; the number of tasks placed. */
static int place_job(tw_core *core, tw_job *job, int limit) {
    const int count =
        job->spec.gang ? place_gang(core, job) : place_tasks(core, job, limit, 0, UINT32_MAX);
    if (!count) return 0;
    tw_job_mark_changed(core, job, job->spec.priority >= TW_PRIORITY_PROD);
    tw_placement *placed;
    DL_FOREACH2(job->placements, placed, job_next) {
        if (placed->version > job->version) placed->version = job->version;
    }
    return count;
}

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
        if (!pass_begun)
            begin_pass(core); /* mostly nothing waits: then the fleet isn't looked at */
        pass_begun = true;
        /* A task a turn while others wait. */
        const int limit = tw_job_queue_is_contended(queue) ? 1 : remaining;
        const int count = place_job(core, job, limit);
        remaining -= count;
        tw_job_queue_note_placed(core, queue, job, count);
        if (count && count == limit && tw_job_is_pending(core, job)) tw_job_queue_requeue(queue);
    }
    if (remaining <= 0) core->scheduling_due = true;
    tw_job_queue_free(queue);
}
