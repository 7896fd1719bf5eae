/* What users ask: submissions, questions and cancellations. A node that does not lead hands them to
 * the leader, or answers by the state service (docs/design.md, "What users are told"). */
#include "core/jobs.h"
#include <stdbool.h>

/* The answer to a question that is read from the state service, or handed to the leader, comes
 * within these times; less than the 2 s that users wait. */
#define LOOKUP_TIMEOUT_S 0.9
#define PROXY_POLL_S 0.8
#define PROXY_SUBMIT_S 0.7
#define PROXY_CANCEL_S 2
#define CREATE_TIMEOUT_S 1.5
/* A leader that answered no ping for this long, beside half its lease, is not asked. */
#define LEADER_SILENT_S 0.6
/* A submission that would wait for longer than this share of what users wait is turned away, and
 * told to come back within this time. */
#define WAIT_RATIO 0.8
#define LONGEST_RETRY_S 30
/* One too large to be written until all nodes read divided records comes back after this. */
#define TOO_LARGE_RETRY_S 5
#define PATH_SIZE 64

/* At the leader, authority is what counts; see docs/design.md, "What users are told". */
static bool may_answer_as_leader(const tw_core *core) {
    return tw_cluster_is_active(core->cluster) &&
           tw_cluster_may(core->cluster, TW_PERMISSION_ANSWER);
}

/* ---- by the state service, or by the leader ---- */

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

/* Hands a request to the leader; 0 if there is none to hand it to. */
static bool forward_to_leader(tw_core *core, uint64_t connection, tw_user_operation operation,
                              const char *method, const char *path, const char *id, char *body,
                              double timeout_s) {
    const char *leader = tw_cluster_leader_addr(core->cluster);
    if (!leader || !tw_cluster_leader_answers(core->cluster, LEADER_SILENT_S)) return false;
    tw_call *call = tw_call_send(&core->context, TW_CALL_FORWARD_REQUEST, TW_TO_PEER, leader,
                                 method, path, body ? strdup(body) : NULL, timeout_s);
    call->connection = connection;
    call->operation = operation;
    call->text = body;
    snprintf(call->name, sizeof call->name, "%s", id);
    return true;
}

/* ---- at the leader ---- */

static void leader_cancel(tw_core *core, uint64_t connection, tw_job *job) {
    if (job->durable_state != TW_JOB_PENDING) {
        tw_reply(&core->context, connection, TW_HTTP_OK, 0,
                 tw_wire_job_status_text(job->id, job->durable_state, -1, -1));
        return;
    }
    if (job->state == TW_JOB_PENDING && !job->cancelling) {
        job->cancelling = true; /* nothing of it is started any more */
        tw_job_note_cancelled(core, job);
        job->cancellation_sequence = tw_cluster_next_cancellation(core->cluster);
    }
    const tw_cancellation_safety safety = job->state == TW_JOB_PENDING
                                              ? tw_job_cancellation_safety(core, job, true)
                                              : TW_CANCELLATION_SAFE;
    if (safety == TW_CANCELLATION_UNREACHABLE) {
        /* It goes on as soon as it can be promised; the user is not kept waiting for that. */
        tw_log_debug("event=cancellation_deferred id=%s", job->id);
        tw_reply_error(&core->context, connection, TW_HTTP_UNAVAILABLE, 1,
                       "machines of it can't be reached");
        return;
    }
    tw_job_add_waiting_client(core, job, connection, true);
    if (safety == TW_CANCELLATION_SAFE && job->state == TW_JOB_PENDING)
        tw_job_finish(core, job, TW_JOB_CANCELLED);
}

/* Tells what is in memory of the job; 0: nothing is. */
static bool tell_from_memory(tw_core *core, uint64_t connection, const char *id,
                             tw_user_operation operation) {
    tw_completion ending;
    tw_job *job = tw_job_find(core, id);
    if (job && operation == TW_OPERATION_CANCEL)
        leader_cancel(core, connection, job);
    else if (job)
        tw_reply(&core->context, connection, TW_HTTP_OK, 0, tw_job_status_text(job));
    else if (!tw_completed_jobs_find(core->completed_jobs, id, &ending))
        return false;
    else if (operation == TW_OPERATION_CANCEL)
        tw_reply(&core->context, connection, TW_HTTP_OK, 0,
                 tw_wire_job_status_text(id, ending.state, -1, -1));
    else
        tw_reply(&core->context, connection, TW_HTTP_OK, 0,
                 tw_wire_job_status_text(id, ending.state, ending.done_count, 0));
    return true;
}

/* The same, if it is as new as anything that any node has told of the job. */
static bool answer_from_memory(tw_core *core, uint64_t connection, const char *id,
                               tw_user_operation operation) {
    const tw_job *job = tw_job_find(core, id);
    if (job && !tw_job_is_answerable(job)) return false;
    return tell_from_memory(core, connection, id, operation);
}

/* A new job: it is told to be accepted once its first record is written. */
static void admit_job(tw_core *core, uint64_t connection, tw_wire_job *spec) {
    tw_rejected_admission *rejected;
    HASH_FIND_STR(core->rejected_admissions, spec->id, rejected);
    if (rejected) tw_rejected_admission_drop(core, rejected);
    tw_job *job = tw_job_new(core, spec->id);
    tw_job_set_spec(core, job, spec);
    job->task_states = tw_alloc((size_t)job->task_count);
    job->submitted_at = job->pending_since = core->context.now;
    job->submitted_wall_s = core->context.wall;
    DL_APPEND(core->active_jobs, job);
    if (core->began_without_jobs && core->first_admission_at <= 0)
        core->first_admission_at = core->context.now;
    tw_job_class_note_arrival(core, job->job_class, job);
    tw_job_add_waiting_client(core, job, connection, false);
    tw_job_mark_changed(core, job, true);
    tw_log_debug("event=job_submitted id=%s class=%s team=%d tasks=%d cores=%g gpus=%g mem=%g",
                 job->id, job->spec.job_class, job->team, job->task_count, job->spec.cores,
                 job->spec.gpus, job->spec.memory_gb);
    /* One write holds the acceptance and the first placements. */
    if (!tw_scheduler_place_now(core, job)) core->scheduling_due = true;
}

static void leader_submit(tw_core *core, uint64_t connection, tw_wire_job *spec) {
    if (answer_from_memory(core, connection, spec->id, TW_OPERATION_QUERY)) return;
    tw_job *job = tw_job_find(core, spec->id);
    if (job && tw_store_exists(job->record)) {
        tw_job_look_up(core, connection, spec->id, TW_OPERATION_QUERY);
        return;
    }
    if (job) {
        tw_job_add_waiting_client(core, job, connection, false);
        if (tw_store_is_refused(job->record)) tw_job_reject_waiting_clients(core, job);
        return;
    }
    if (!tw_store_is_writable(core->store, spec)) {
        tw_admission_reject(core, connection, spec->id, TOO_LARGE_RETRY_S, "too large for now");
        return;
    }
    double wait_s = tw_store_backlog_s(core->store);
    if (wait_s > TW_ADMISSION_WAIT_S * WAIT_RATIO) {
        const double retry_s = fmin(LONGEST_RETRY_S, ceil(wait_s));
        tw_admission_reject(core, connection, spec->id, retry_s, "too many submissions");
        tw_rejected_admission_note(core, spec, retry_s);
        return;
    }
    admit_job(core, connection, spec);
}

/* Accepts a job without the leader: its key must not exist. The leader learns of it from a second
 * key, a successor from its load. */
static void admit_without_leader(tw_core *core, uint64_t connection, tw_wire_job *spec) {
    if (tw_cluster_store_silent_s(core->cluster) > 2 * tw_cluster_lease_s(core->cluster) ||
        !tw_rate_limiter_try_acquire(&core->follower_create_limiter, core->context.now, 2)) {
        tw_admission_reject(core, connection, spec->id, 1, "no leader");
        return;
    }
    char key[TW_JOB_KEY_SIZE];
    snprintf(key, sizeof key, TW_JOB_KEY "%s", spec->id);
    tw_wire_record record = {.has_job = 1,
                             .job = *spec,
                             .task_count = spec->task_count,
                             .submitted_at = core->context.wall,
                             .next_attempt = 1};
    char *text = tw_wire_record_text(&record);
    if (strlen(text) > tw_store_whole_size(core->store)) {
        tw_admission_reject(core, connection, spec->id, TOO_LARGE_RETRY_S,
                            "too large without a leader");
        free(text);
        return;
    }
    char news[TW_PEER_ADMISSION_KEY_SIZE];
    snprintf(news, sizeof news, TW_PEER_ADMISSION_KEY "%s", spec->id);
    tw_wire_compare compare = {key, 0};
    tw_wire_write writes[2] = {{key, text, 0}, {news, "1", 0}};
    tw_call *call = tw_call_send(&core->context, TW_CALL_CREATE_RECORD, TW_TO_STATE,
                                 core->context.config->state, "POST", "/txn",
                                 tw_wire_txn_text(&compare, 1, writes, 2), CREATE_TIMEOUT_S);
    call->connection = connection;
    snprintf(call->name, sizeof call->name, "%s", spec->id);
    free(text);
}

void tw_user_submit(tw_core *core, uint64_t connection, const char *body, size_t length,
                    bool from_peer) {
    tw_wire_job spec;
    const char *why = "";
    if (tw_wire_job_parse(&spec, body, length, &why)) {
        tw_reply_error(&core->context, connection, TW_HTTP_BAD_REQUEST, 0, why);
        return;
    }
    if (!core->machine_type_count) {
        tw_reply_error(&core->context, connection, TW_HTTP_UNAVAILABLE, 1,
                       "machine types not known yet");
    } else if (tw_job_is_impossible(core, &spec)) {
        /* A job accepted once must not be refused later: only proof that it is new allows 422. */
        if (!may_answer_as_leader(core) ||
            !answer_from_memory(core, connection, spec.id, TW_OPERATION_QUERY))
            tw_job_look_up(core, connection, spec.id, TW_OPERATION_REFUSE);
    } else if (may_answer_as_leader(core)) {
        leader_submit(core, connection, &spec);
    } else if (from_peer) {
        tw_reply_error(&core->context, connection, TW_HTTP_UNAVAILABLE, 1, "not the leader");
    } else {
        char *copy = tw_alloc(length + 1);
        memcpy(copy, body, length);
        if (!forward_to_leader(core, connection, TW_OPERATION_SUBMIT, "POST", "/v1/jobs", spec.id,
                               copy, PROXY_SUBMIT_S)) {
            free(copy);
            admit_without_leader(core, connection, &spec);
        }
    }
    tw_wire_job_free(&spec);
}

void tw_user_query(tw_core *core, uint64_t connection, const char *id, bool from_peer) {
    if (!tw_wire_id_ok(id, strlen(id))) { /* no such id can have been accepted */
        tw_reply_error(&core->context, connection, TW_HTTP_NOT_FOUND, 0, "no such job");
        return;
    }
    if (may_answer_as_leader(core)) {
        if (!answer_from_memory(core, connection, id, TW_OPERATION_QUERY))
            tw_job_look_up(core, connection, id, TW_OPERATION_QUERY);
        return;
    }
    char path[PATH_SIZE];
    snprintf(path, sizeof path, "/v1/jobs/%s", id);
    if (from_peer || !forward_to_leader(core, connection, TW_OPERATION_QUERY, "GET", path, id, NULL,
                                        PROXY_POLL_S))
        tw_job_look_up(core, connection, id, TW_OPERATION_QUERY);
}

void tw_user_cancel(tw_core *core, uint64_t connection, const char *id, bool from_peer) {
    if (!tw_wire_id_ok(id, strlen(id))) {
        tw_reply_error(&core->context, connection, TW_HTTP_NOT_FOUND, 0, "no such job");
        return;
    }
    if (may_answer_as_leader(core)) {
        if (!answer_from_memory(core, connection, id, TW_OPERATION_CANCEL))
            tw_job_look_up(core, connection, id, TW_OPERATION_CANCEL);
        return;
    }
    char path[PATH_SIZE];
    snprintf(path, sizeof path, "/v1/jobs/%s/abort", id);
    char *body = strdup("{}");
    if (!from_peer && forward_to_leader(core, connection, TW_OPERATION_CANCEL, "POST", path, id,
                                        body, PROXY_CANCEL_S))
        return;
    free(body);
    /* Without the leader nothing can be cancelled, but what is over can be told. */
    tw_job_look_up(core, connection, id, TW_OPERATION_CANCEL);
}

static void restore_record(tw_core *core, const char *id, const tw_wire_entry *entry) {
    tw_wire_record record;
    if (tw_wire_record_parse(&record, id, entry->value, strlen(entry->value))) {
        tw_log_error("event=record_unreadable id=%.32s", id);
        return;
    }
    /* Of a divided one the slices are missing; it is one that was over and let go. */
    if (!*record.chunk_set) tw_job_restore(core, id, &record, entry->mod_revision);
    tw_wire_record_free(&record);
}

/* At the leader: takes in a record that was read. Of a job that isn't known, one read before this
 * term began may be old, and so may one that was read before finished jobs were let go: the job may
 * have been among them. */
static void note_record(tw_core *core, const tw_call *call, const tw_wire_entry *entry) {
    tw_job *job = tw_job_find(core, call->name);
    if (job)
        tw_store_record_read(core->store, job->record, entry);
    else if (!tw_job_is_known(core, call->name) && call->term == core->context.term &&
             call->sequence == tw_completed_jobs_evictions(core->completed_jobs))
        restore_record(core, call->name, entry);
}

/* An answer by a record that was read after the question came. */
static void answer_by_record(tw_core *core, const tw_call *call, const tw_wire_entry *entry) {
    tw_wire_record record;
    if (tw_wire_record_parse(&record, call->name, entry->value, strlen(entry->value))) {
        tw_reply_error(&core->context, call->connection, TW_HTTP_UNAVAILABLE, 1,
                       "record can't be read");
        return;
    }
    bool over = record.state != TW_JOB_PENDING;
    const int live = *record.chunk_set ? record.running_count : record.assignment_count;
    int state = over ? record.state : live ? TW_JOB_RUNNING : TW_JOB_PENDING;
    if (call->operation == TW_OPERATION_CANCEL && !over)
        tw_reply_error(&core->context, call->connection, TW_HTTP_UNAVAILABLE, 1, "no leader");
    else if (call->operation == TW_OPERATION_CANCEL)
        tw_reply(&core->context, call->connection, TW_HTTP_OK, 0,
                 tw_wire_job_status_text(call->name, state, -1, -1));
    else
        tw_reply(&core->context, call->connection, TW_HTTP_OK, 0,
                 tw_wire_job_status_text(call->name, state, record.done_count, over ? 0 : live));
    tw_wire_record_free(&record);
}

static void look_up_response(tw_core *core, tw_call *call, int status, const char *body,
                             size_t length) {
    if (status == TW_HTTP_OK || status == TW_HTTP_NOT_FOUND)
        tw_cluster_note_store_answer(core->cluster);
    if (status == TW_HTTP_NOT_FOUND) {
        if (call->operation == TW_OPERATION_REFUSE)
            tw_reply_error(&core->context, call->connection, TW_HTTP_IMPOSSIBLE, 0,
                           "can never run");
        else
            tw_reply_error(&core->context, call->connection, TW_HTTP_NOT_FOUND, 0, "no such job");
        return;
    }
    tw_wire_entry entry;
    if (status != TW_HTTP_OK || tw_wire_entry_parse(&entry, body, length)) {
        tw_reply_error(&core->context, call->connection, TW_HTTP_UNAVAILABLE, 1,
                       "state service does not answer");
        return;
    }
    bool known = false;
    if (may_answer_as_leader(core)) {
        note_record(core, call, &entry);
        known = tell_from_memory(core, call->connection, call->name, call->operation);
    }
    if (!known) answer_by_record(core, call, &entry);
    free(entry.value);
}

static void forward_response(tw_core *core, tw_call *call, int status, const char *body,
                             size_t length) {
    if (status >= TW_HTTP_OK && status != TW_HTTP_UNAVAILABLE) {
        char *copy = tw_alloc(length + 1);
        memcpy(copy, body, length);
        tw_reply(&core->context, call->connection, status, 0, copy);
        return;
    }
    if (!call->connection) return;
    if (call->operation == TW_OPERATION_QUERY ||
        (call->operation == TW_OPERATION_CANCEL && status == 0)) {
        tw_job_look_up(core, call->connection, call->name, call->operation);
        return;
    }
    /* A submission may go straight to the state service, even if the leader's write of it still
     * comes: the key's absence decides. */
    tw_wire_job spec;
    const char *why;
    if (call->operation == TW_OPERATION_SUBMIT && status == 0 && call->text &&
        !tw_wire_job_parse(&spec, call->text, strlen(call->text), &why)) {
        admit_without_leader(core, call->connection, &spec);
        tw_wire_job_free(&spec);
        return;
    }
    tw_admission_reject(core, call->connection, call->name, 1, "leader does not answer");
}

static void admission_response(tw_core *core, tw_call *call, int status) {
    if (status == TW_HTTP_OK) {
        tw_cluster_note_store_answer(core->cluster);
        tw_reply(&core->context, call->connection, TW_HTTP_CREATED, 0,
                 tw_wire_job_status_text(call->name, TW_JOB_PENDING, -1, -1));
    } else if (status == TW_HTTP_CONFLICT) {
        tw_job_look_up(core, call->connection, call->name, TW_OPERATION_QUERY);
    } else {
        tw_admission_reject(core, call->connection, call->name, 1, "state service does not answer");
    }
}

void tw_user_response(tw_core *core, tw_call *call, int status, const char *body, size_t length) {
    if (call->kind == TW_CALL_LOOK_UP_JOB)
        look_up_response(core, call, status, body, length);
    else if (call->kind == TW_CALL_FORWARD_REQUEST)
        forward_response(core, call, status, body, length);
    else
        admission_response(core, call, status);
}
