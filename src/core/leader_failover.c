/* Leader failover: a new leader reads every job from the state service before it makes
 * decisions. A task that may be running according to its record is assumed to run until its
 * machine's heartbeat, the return of the machine or the expiry of its lease proves otherwise.
 *
 * The records are read page by page in key order, one request at a time. Chunks are read
 * first, so that the text of a chunked record is complete when the record is read. */
#include "core/jobs.h"

/* Number of records per page, and timeout of a request for a page. */
#define PAGE_SIZE 100
#define PAGE_TIMEOUT_S 2.0
#define PATH_SIZE 400

/* Minimum delay before a failed page request is retried, as a share of the leader's lease. */
#define PAGE_RETRY_LEASE_SHARE 0.05

/* Machines rented by an earlier leader are certain to be in the cloud's list after this
 * multiple of its lag. */
#define LIST_LAG_FACTOR 1.2

void tw_failover_begin(tw_core *core) {
    *core->load_cursor = 0;
    core->loading_chunks = true;
    core->load_in_flight = false;
    core->answered_while_loading_at = 0;
    core->next_load_at = core->context.now;
    tw_failover_tick(core);
}

void tw_failover_tick(tw_core *core) {
    if (core->load_in_flight || core->context.now < core->next_load_at) return;
    char path[PATH_SIZE];
    const int length = snprintf(path, sizeof path, "/kv?starts=%s&most=%d",
                                core->loading_chunks ? TW_CHUNK_KEY : TW_JOB_KEY, PAGE_SIZE);
    if (*core->load_cursor)
        snprintf(path + length, sizeof path - (size_t)length, "&since=%s", core->load_cursor);
    core->load_in_flight = true;
    tw_call_send(&core->context, TW_CALL_LOAD_RECORDS, TW_TO_STATE, core->context.config->state,
                 "GET", path, NULL, PAGE_TIMEOUT_S);
}

/* Activates the leader after all records have been read. From now on it makes decisions. */
static void activate_leader(tw_core *core) {
    const size_t completed_count = tw_completed_jobs_count(core->completed_jobs);
    const bool has_jobs = core->jobs || completed_count;
    tw_cluster_activate(core->cluster);
    tw_store_finish_loading(core->store);
    core->scheduling_due = true;
    core->next_pass_at = core->context.now;
    core->next_machine_list_at = core->context.now;
    core->term_began_without_jobs = !has_jobs;
    core->first_admission_at = 0;
    /* Machines that an earlier leader rented appear in the cloud's list only after its lag. */
    core->no_scale_out_until =
        has_jobs ? core->context.now + LIST_LAG_FACTOR * core->context.config->list_lag_s
                 : core->context.now;
    tw_log_info("event=leader_activated jobs=%zu token=%llu load_s=%.3f",
                HASH_COUNT(core->jobs) + completed_count,
                (unsigned long long)tw_cluster_token(core->cluster),
                core->context.now - tw_cluster_term_began_at(core->cluster));
}

/* Restores a job with a chunked record, whose chunks have already been read. head: the job's
 * entry in the page, which names its chunk set. */
static void restore_chunked_job(tw_core *core, const char *id, const tw_wire_record *head,
                                uint64_t revision) {
    tw_wire_record record;
    char *text = tw_store_loaded_text(core->store, id, head);
    if (!text || tw_wire_record_parse(&record, id, text, strlen(text))) {
        tw_log_error("event=record_unreadable key=" TW_JOB_KEY "%.32s chunk_set=%s", id,
                     head->chunk_set);
        free(text);
        return;
    }
    free(text);
    tw_job_restore(core, id, &record, revision);
    tw_wire_record_free(&record);
    tw_job *job = tw_job_find(core, id);
    if (job)
        tw_store_record_set_chunks(core->store, job->record, head->chunk_set, head->chunk_count);
}

static void restore_listed_record(tw_core *core, tw_wire_listed_record *listed) {
    const char *id = listed->key + sizeof TW_JOB_KEY - 1;
    if (!listed->readable)
        tw_log_error("event=record_unreadable key=%.32s", listed->key);
    else if (tw_job_is_known(core, id))
        return;
    else if (*listed->record.chunk_set)
        restore_chunked_job(core, id, &listed->record, listed->mod_revision);
    else
        tw_job_restore(core, id, &listed->record, listed->mod_revision);
}

/* Loads a page of chunks. Returns false if the page cannot be parsed. */
static bool load_chunks(tw_core *core, const char *body, size_t length) {
    int more;
    const int count = tw_store_load_chunks(core->store, body, length, &more, core->load_cursor,
                                           sizeof core->load_cursor);
    if (count < 0) return false;
    if (more && count) return true;
    core->loading_chunks = false;
    *core->load_cursor = 0;
    return true;
}

/* Loads a page of records. Returns false if the page cannot be parsed. */
static bool load_records(tw_core *core, const char *body, size_t length) {
    tw_wire_listed_record *listed;
    int count, more;
    if (tw_wire_records_parse(&listed, &count, &more, TW_JOB_KEY, body, length)) return false;
    for (int i = 0; i < count; i++) restore_listed_record(core, &listed[i]);
    if (count) snprintf(core->load_cursor, sizeof core->load_cursor, "%s", listed[count - 1].key);
    tw_wire_records_free(listed, count);
    if (!more || !count) activate_leader(core);
    return true;
}

void tw_failover_handle_page(tw_core *core, int status, const char *body, size_t length) {
    core->load_in_flight = false;
    const bool is_read =
        status == TW_HTTP_OK &&
        (core->loading_chunks ? load_chunks(core, body, length) : load_records(core, body, length));
    if (!is_read) {
        /* Immediate retries would use up the state service's rate limits and leave no calls for the
         * renewal of this leader's own lease. */
        core->next_load_at =
            core->context.now + fmax(tw_cluster_lease_s(core->cluster) * PAGE_RETRY_LEASE_SHARE,
                                     tw_cluster_rate_limited_wait_s(core->cluster, status));
        return;
    }
    tw_cluster_note_store_answer(core->cluster);
    if (tw_cluster_is_loading(core->cluster)) tw_failover_tick(core);
}

/* Restores an attempt that may be running according to the record. */
static void restore_attempt(tw_core *core, tw_job *job, const tw_wire_assignment *recorded) {
    tw_machine *machine = tw_machine_find(core, recorded->worker);
    if (!machine) machine = tw_machine_new(core, recorded->worker);
    if (job->task_states[recorded->index] != TW_ASSIGNMENT_NONE) return;
    tw_placement *placed = tw_placement_new(core, job, recorded->index, machine, recorded->attempt);
    if (!placed) return;
    placed->inherited = true;
    placed->launch_sent = true;
    placed->version = 0;
    if (job->state != TW_JOB_PENDING) placed->stopping = true;
}

/* Restores the completed tasks and the attempts that may be running. In a pending job the
 * attempts belong to tasks that are not done; in a completed gang they belong to done tasks. */
static void restore_tasks(tw_core *core, tw_job *job, const tw_wire_record *record) {
    const bool is_over = job->state != TW_JOB_PENDING;
    job->task_states = tw_alloc((size_t)job->task_count);
    if (!is_over && record->done_ranges)
        job->done_count = tw_task_ranges_apply(job->task_states, job->task_count,
                                               record->done_ranges, TW_ASSIGNMENT_DONE);
    for (int i = 0; i < record->assignment_count; i++)
        restore_attempt(core, job, &record->assignments[i]);
    if (is_over) job->done_count = record->done_count;
    if (job->state == TW_JOB_DONE)
        memset(job->task_states, TW_ASSIGNMENT_DONE, (size_t)job->task_count);
    if (job->state == TW_JOB_CANCELLED) tw_job_note_cancelled(core, job);
    if (job->spec.gang) tw_gang_restore(job);
}

void tw_job_restore(tw_core *core, const char *id, tw_wire_record *record, uint64_t revision) {
    if (record->state != TW_JOB_PENDING && !record->assignment_count) {
        tw_job_note_completed(core, id, record->state, record->done_count);
        return;
    }
    tw_job *job = tw_job_new(core, id);
    tw_store_record_loaded(job->record, revision);
    job->task_count = record->task_count;
    job->next_attempt = record->next_attempt;
    job->submitted_wall_s = record->submitted_at;
    job->submitted_at = core->context.now - (core->context.wall - record->submitted_at);
    if (job->submitted_at > core->context.now || record->submitted_at <= 0)
        job->submitted_at = core->context.now;
    job->pending_since = core->context.now;
    job->state = record->state;
    job->durable_state = record->state;
    if (record->has_job) tw_job_set_spec(core, job, &record->job);
    restore_tasks(core, job, record);
    DL_APPEND(core->active_jobs, job);
    core->scheduling_due = true;
}
