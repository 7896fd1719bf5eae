/* Queries that are answered from a job's record: a node that can't answer from memory reads the
 * record from the state service after the query arrived, and answers from the result. A leader also
 * updates its memory from the record.
 *
 * Invariant: a record of an unknown job is only restored as a job if no job can have been removed
 * from memory since the read began. */
#include "core/jobs.h"

/* Time-out of the read. Users wait 2 s for the answer to a query. */
#define LOOKUP_TIMEOUT_S 0.9

void tw_job_look_up(tw_core *core, uint64_t connection, const char *id,
                    tw_user_operation operation) {
    const bool granted =
        tw_cluster_may(core->cluster, TW_PERMISSION_WRITE)
            ? tw_store_try_acquire_request(core->store)
            : tw_rate_limiter_try_acquire(&core->follower_read_limiter, core->context.now, 1);
    if (!granted) {
        tw_reply_error(&core->context, connection, TW_HTTP_UNAVAILABLE, 1, "busy");
        return;
    }
    char path[TW_JOB_PATH_SIZE];
    snprintf(path, sizeof path, TW_JOB_PATH "%s", id);
    tw_call *call = tw_call_send(&core->context, TW_CALL_LOOK_UP_JOB, TW_TO_STATE,
                                 core->context.config->state, "GET", path, NULL, LOOKUP_TIMEOUT_S);
    call->connection = connection;
    call->operation = operation;
    call->sequence = tw_completed_jobs_evictions(core->completed_jobs);
    snprintf(call->name, sizeof call->name, "%s", id);
}

/* Restores a job that was unknown to this node from its record. */
static void restore_record(tw_core *core, const char *id, const tw_wire_entry *entry) {
    tw_wire_record record;
    if (tw_wire_record_parse(&record, id, entry->value, strlen(entry->value))) {
        tw_log_error("event=record_unreadable id=%.32s", id);
        return;
    }
    /* The chunks of a chunked record were not read with it, so the job can't be restored here. Such
     * a job had ended and was evicted. */
    if (!*record.chunk_set) tw_job_restore(core, id, &record, entry->mod_revision);
    tw_wire_record_free(&record);
}

/* Updates or restores a job from a record that the leader read. The record of an unknown job may be
 * stale if it was read before this term began, or before completed jobs were evicted, since the job
 * may have been among them; such a record is ignored. */
static void apply_record(tw_core *core, const tw_call *call, const tw_wire_entry *entry) {
    tw_job *job = tw_job_find(core, call->name);
    if (job)
        tw_store_record_read(core->store, job->record, entry);
    else if (!tw_job_is_known(core, call->name) && call->term == core->context.term &&
             call->sequence == tw_completed_jobs_evictions(core->completed_jobs))
        restore_record(core, call->name, entry);
}

/* Answers a query or a cancellation from a record that was read after the request arrived. */
static void answer_from_record(tw_core *core, const tw_call *call, const tw_wire_entry *entry) {
    tw_wire_record record;
    if (tw_wire_record_parse(&record, call->name, entry->value, strlen(entry->value))) {
        tw_reply_error(&core->context, call->connection, TW_HTTP_UNAVAILABLE, 1,
                       "record can't be read");
        return;
    }
    const bool has_ended = record.state != TW_JOB_PENDING;
    const int running_count = *record.chunk_set ? record.running_count : record.assignment_count;
    const tw_wire_job_state live_state = running_count ? TW_JOB_RUNNING : TW_JOB_PENDING;
    const tw_wire_job_state state = has_ended ? record.state : live_state;
    if (call->operation == TW_OPERATION_CANCEL && !has_ended)
        tw_reply_error(&core->context, call->connection, TW_HTTP_UNAVAILABLE, 1, "no leader");
    else if (call->operation == TW_OPERATION_CANCEL)
        tw_reply(&core->context, call->connection, TW_HTTP_OK, 0,
                 tw_wire_job_status_text(call->name, state, -1, -1));
    else
        tw_reply(&core->context, call->connection, TW_HTTP_OK, 0,
                 tw_wire_job_status_text(call->name, state, record.done_count,
                                         has_ended ? 0 : running_count));
    tw_wire_record_free(&record);
}

/* Answers a cancellation of a job that has no record. Only the leader can state that there is no
 * such job, since it knows the submissions that are being written. Users who cancel such a
 * submission, or ask any other node, have to retry. */
static void answer_unrecorded_cancellation(tw_core *core, const tw_call *call) {
    if (!tw_leader_may_answer(core))
        tw_reply_error(&core->context, call->connection, TW_HTTP_UNAVAILABLE, 1, "no leader");
    else if (tw_job_find(core, call->name))
        tw_reply_error(&core->context, call->connection, TW_HTTP_UNAVAILABLE, 1,
                       "not accepted yet");
    else
        tw_reply_error(&core->context, call->connection, TW_HTTP_NOT_FOUND, 0, "no such job");
}

/* Answers a request about a job that has no record. */
static void answer_no_record(tw_core *core, const tw_call *call) {
    if (call->operation == TW_OPERATION_REFUSE)
        tw_reply_error(&core->context, call->connection, TW_HTTP_IMPOSSIBLE, 0, "can never run");
    else if (call->operation == TW_OPERATION_CANCEL)
        answer_unrecorded_cancellation(core, call);
    else
        tw_reply_error(&core->context, call->connection, TW_HTTP_NOT_FOUND, 0, "no such job");
}

void tw_job_look_up_response(tw_core *core, tw_call *call, int status, const char *body,
                             size_t length) {
    if (status == TW_HTTP_OK || status == TW_HTTP_NOT_FOUND)
        tw_cluster_note_store_answer(core->cluster);
    if (status == TW_HTTP_NOT_FOUND) {
        answer_no_record(core, call);
        return;
    }
    tw_wire_entry entry;
    if (status != TW_HTTP_OK || tw_wire_entry_parse(&entry, body, length)) {
        tw_reply_error(&core->context, call->connection, TW_HTTP_UNAVAILABLE, 1,
                       "state service does not answer");
        return;
    }
    bool answered = false;
    if (tw_leader_may_answer(core)) {
        apply_record(core, call, &entry);
        answered = tw_job_answer_from_memory(core, call->connection, call->name, call->operation);
    }
    if (!answered) answer_from_record(core, call, &entry);
    free(entry.value);
}
