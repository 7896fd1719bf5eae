/* Queries that are answered by a job's record: a node that can't answer from memory reads the
 * record from the state service, after the query came, and answers by what it reads. A leader also
 * takes in what it reads.
 *
 * Invariant: a record that was read is taken in as a job that wasn't known only if no job can have
 * left the memory since the read began. */
#include "core/jobs.h"

/* Less than the 2 s that users wait for the answer to a query. */
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

/* Takes in a job that wasn't known. */
static void restore_record(tw_core *core, const char *id, const tw_wire_entry *entry) {
    tw_wire_record record;
    if (tw_wire_record_parse(&record, id, entry->value, strlen(entry->value))) {
        tw_log_error("event=record_unreadable id=%.32s", id);
        return;
    }
    /* The chunks of a chunked record are not at hand. Its job had ended and was evicted. */
    if (!*record.chunk_set) tw_job_restore(core, id, &record, entry->mod_revision);
    tw_wire_record_free(&record);
}

/* Takes in a record that was read by the leader. If the job isn't known, the record may be old: it
 * was if it was read before this term began, or before completed jobs were evicted, since the job
 * may have been among them. */
static void note_record(tw_core *core, const tw_call *call, const tw_wire_entry *entry) {
    tw_job *job = tw_job_find(core, call->name);
    if (job)
        tw_store_record_read(core->store, job->record, entry);
    else if (!tw_job_is_known(core, call->name) && call->term == core->context.term &&
             call->sequence == tw_completed_jobs_evictions(core->completed_jobs))
        restore_record(core, call->name, entry);
}

/* Answers by a record that was read after the query came. */
static void answer_by_record(tw_core *core, const tw_call *call, const tw_wire_entry *entry) {
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

/* Answers a cancellation of a job that has no record. Only the leader can tell that there is
 * nothing to cancel, since it knows of the submissions that are being written; the user of one of
 * these, and of any other node, is to ask again. */
static void answer_nothing_to_cancel(tw_core *core, const tw_call *call) {
    if (!tw_leader_may_answer(core))
        tw_reply_error(&core->context, call->connection, TW_HTTP_UNAVAILABLE, 1, "no leader");
    else if (tw_job_find(core, call->name))
        tw_reply_error(&core->context, call->connection, TW_HTTP_UNAVAILABLE, 1,
                       "not accepted yet");
    else
        tw_reply_error(&core->context, call->connection, TW_HTTP_NOT_FOUND, 0, "no such job");
}

/* Answers if there is no record of the job. */
static void answer_no_record(tw_core *core, const tw_call *call) {
    if (call->operation == TW_OPERATION_REFUSE)
        tw_reply_error(&core->context, call->connection, TW_HTTP_IMPOSSIBLE, 0, "can never run");
    else if (call->operation == TW_OPERATION_CANCEL)
        answer_nothing_to_cancel(core, call);
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
        note_record(core, call, &entry);
        answered = tw_job_tell_from_memory(core, call->connection, call->name, call->operation);
    }
    if (!answered) answer_by_record(core, call, &entry);
    free(entry.value);
}
