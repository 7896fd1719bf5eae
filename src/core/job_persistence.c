/* Jobs as the store sees them: the text of a job's record, and what follows for the job once its
 * record is written, read or refused. The functions below are called by the store only
 * (tw_store_owner in store/store.h). */
#include "core/jobs.h"
#include "core/workers.h"

/* The tasks that may run, *count of them; the caller frees the array. */
static tw_wire_assignment *assignments_of(const tw_job *job, int *count) {
    const tw_placement *task;
    *count = 0;
    DL_FOREACH2(job->placements, task, job_next) { ++*count; }
    tw_wire_assignment *tasks = tw_alloc((size_t)*count * sizeof *tasks);
    tw_wire_assignment *at = tasks;
    DL_FOREACH2(job->placements, task, job_next) {
        at->index = task->index;
        at->attempt = task->attempt;
        snprintf(at->worker, sizeof at->worker, "%s", task->machine->name);
        at++;
    }
    return tasks;
}

/* The text of the job's record; the caller frees it. */
static char *record_text(void *item) {
    tw_job *job = item;
    tw_wire_record record = {.state = job->state,
                             .task_count = job->task_count,
                             .done_count = job->done_count,
                             .submitted_at = job->submitted_wall_s,
                             .next_attempt = job->next_attempt};
    record.assignments = assignments_of(job, &record.assignment_count);
    /* While something may run, the next leader needs the job's amounts for the team's limits. */
    if (job->has_spec && (job->state == TW_JOB_PENDING || record.assignment_count)) {
        if (!job->spec_text) job->spec_text = tw_wire_job_text(&job->spec);
        record.has_job = true;
        record.job_text = job->spec_text;
    }
    /* The version in production takes the number of done tasks from their list, also where the job
     * is done and tasks of it may still run. */
    if (job->state == TW_JOB_PENDING || (job->state == TW_JOB_DONE && record.assignment_count))
        record.done_ranges =
            tw_task_ranges_text(job->task_states, job->task_count, TW_ASSIGNMENT_DONE);
    char *text = tw_wire_record_text(&record);
    free(record.assignments);
    free(record.done_ranges);
    return text;
}

/* ---- what the store asks and tells ---- */

static tw_store_record *find_record(void *owner, const char *id) {
    const tw_job *job = tw_job_find(owner, id);
    return job ? job->record : NULL;
}

static tw_store_summary record_summary(const void *item) {
    const tw_job *job = item;
    return (tw_store_summary){.state = job->state,
                              .task_count = job->task_count,
                              .done_count = job->done_count,
                              .running_count = job->placed_count};
}

static void on_ended(void *item, tw_wire_job_state state) {
    tw_job *job = item;
    job->state = job->durable_state = state;
}

/* Users who waited for the record are answered, and tasks whose placement is durable are launched.
 */
static void on_written(void *owner, void *item) {
    tw_core *core = owner;
    tw_job *job = item;
    tw_job_answer_waiting_clients(core, job, TW_HTTP_CREATED);
    const tw_placement *task;
    DL_FOREACH2(job->placements, task, job_next) {
        if (tw_store_is_durable(job->record, task->version) && !task->launch_sent &&
            !task->stopping)
            tw_machine_request_commands(core, task->machine);
    }
}

static void on_read(void *owner, void *job) {
    tw_job_answer_waiting_clients(owner, job, TW_HTTP_OK);
}

/* Ends the attempts that were placed under a record that was never written. */
static void terminate_unrecorded(tw_core *core, tw_job *job) {
    tw_placement *task, *next;
    DL_FOREACH_SAFE2(job->placements, task, next, job_next) {
        tw_attempt_terminate_on(core, task, TW_EVIDENCE_NOT_RECORDED);
    }
}

/* The text of a first record with these contents; the caller frees it. */
static char *spec_text(const tw_wire_job *spec) {
    const tw_wire_record record = {.has_job = true, .job = *spec, .task_count = spec->task_count};
    return tw_wire_record_text(&record);
}

/* Gives the job the record's contents in place of those that it was submitted with at this node. */
static void take_contents(tw_core *core, tw_job *job, tw_wire_record *record) {
    terminate_unrecorded(core, job);
    tw_wire_job_free(&job->spec);
    tw_job_set_spec(core, job, &record->job);
    free(job->task_states);
    job->task_states = tw_alloc((size_t)job->task_count);
    job->first_unplaced = 0;
    job->submitted_wall_s = record->submitted_at;
    tw_job_mark_changed(core, job, true);
    core->scheduling_due = true;
}

static bool on_first_record(void *owner, void *item, tw_wire_record *record) {
    tw_core *core = owner;
    tw_job *job = item;
    /* The job had ended, was evicted (completed_jobs.h) and submitted again. Nothing of the new
     * submission was durable; the end as the record has it holds. */
    if (record->state != TW_JOB_PENDING && !record->assignment_count) {
        terminate_unrecorded(core, job);
        job->done_count = record->done_count;
        return true;
    }
    char *ours = spec_text(&job->spec);
    char *theirs = spec_text(&record->job);
    if (record->has_job && strcmp(ours, theirs) != 0) take_contents(core, job, record);
    free(ours);
    free(theirs);
    return false;
}

static void on_refused(void *owner, void *job) { tw_job_reject_waiting_clients(owner, job); }

static void on_settled(void *owner, void *job) { tw_job_release(owner, job); }

static void on_peer_lacks_chunks(void *owner) {
    const tw_core *core = owner;
    const tw_job *job;
    DL_FOREACH(core->active_jobs, job) { tw_store_rewrite_whole(core->store, job->record); }
}

tw_store_owner tw_job_store_owner(tw_core *core) {
    return (tw_store_owner){.owner = core,
                            .find = find_record,
                            .text = record_text,
                            .summary = record_summary,
                            .ended = on_ended,
                            .written = on_written,
                            .was_read = on_read,
                            .take_first = on_first_record,
                            .refused = on_refused,
                            .settled = on_settled,
                            .peer_lacks_chunks = on_peer_lacks_chunks};
}
