/* Callbacks of the store for jobs: they generate the text of a job's record, and update the job
 * after its record was written, read or refused. Only the store calls the functions below
 * (tw_store_owner in store/store.h). */
#include "core/jobs.h"
#include "core/workers.h"

/* Returns an array of the tasks that may run, which the caller frees, and sets *count to their
 * number. */
static tw_wire_assignment *list_assignments(const tw_job *job, int *count) {
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

/* Returns the text of the job's record; the caller frees it. */
static char *record_text(void *item) {
    tw_job *job = item;
    tw_wire_record record = {.state = job->state,
                             .task_count = job->task_count,
                             .done_count = job->done_count,
                             .submitted_at = job->submitted_wall_s,
                             .next_attempt = job->next_attempt};
    record.assignments = list_assignments(job, &record.assignment_count);
    /* While a task may run, the next leader needs the job's resource amounts for the
     * team's limits. */
    if (job->has_spec && (job->state == TW_JOB_PENDING || record.assignment_count)) {
        if (!job->spec_text) job->spec_text = tw_wire_job_text(&job->spec);
        record.has_job = true;
        record.job_text = job->spec_text;
    }
    /* Nodes of an earlier version derive the number of done tasks from their list, even if the job
     * is done and some of its tasks may still run. */
    if (job->state == TW_JOB_PENDING || (job->state == TW_JOB_DONE && record.assignment_count))
        record.done_ranges =
            tw_task_ranges_text(job->task_states, job->task_count, TW_ASSIGNMENT_DONE);
    char *text = tw_wire_record_text(&record);
    free(record.assignments);
    free(record.done_ranges);
    return text;
}

/* ---- callbacks of the store ---- */

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

/* Answers the clients that waited for the record, and requests the launch of the tasks whose
 * placements are durable now. */
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

/* Terminates attempts whose placements were in a record that was never written. */
static void terminate_unrecorded(tw_core *core, tw_job *job) {
    tw_placement *task, *next;
    DL_FOREACH_SAFE2(job->placements, task, next, job_next) {
        tw_attempt_terminate_on(core, task, TW_EVIDENCE_NOT_RECORDED);
    }
}

/* Returns the text of a first record with this specification; the caller frees it. */
static char *spec_text(const tw_wire_job *spec) {
    const tw_wire_record record = {.has_job = true, .job = *spec, .task_count = spec->task_count};
    return tw_wire_record_text(&record);
}

/* Replaces the specification that was submitted at this node by that of the record. */
static void replace_spec(tw_core *core, tw_job *job, tw_wire_record *record) {
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
    /* The job had ended, was evicted (completed_jobs.h) and was submitted again. Nothing of the new
     * submission was durable, so the outcome in the record applies. */
    if (record->state != TW_JOB_PENDING && !record->assignment_count) {
        terminate_unrecorded(core, job);
        job->done_count = record->done_count;
        return true;
    }
    char *submitted_text = spec_text(&job->spec);
    char *recorded_text = spec_text(&record->job);
    if (record->has_job && strcmp(submitted_text, recorded_text) != 0)
        replace_spec(core, job, record);
    free(submitted_text);
    free(recorded_text);
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
                            .newer_record_read = on_read,
                            .adopt_first_record = on_first_record,
                            .refused = on_refused,
                            .settled = on_settled,
                            .peer_without_chunk_support_found = on_peer_lacks_chunks};
}
