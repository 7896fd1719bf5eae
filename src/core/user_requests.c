/* Requests of users: submissions, queries and cancellations. The leader answers them from memory; a
 * node that does not lead forwards them to the leader (request_forwarding.c). If neither is
 * possible, the job's record is read from the state service (job_lookup.c), or the job is admitted
 * without the leader (peer_admissions.c). docs/design.md, "What users are told", has the argument.
 *
 * Invariants:
 *   - answers to users only contain durable states;
 *   - an answer from memory is at least as recent as any answer that a node has given about the
 *     job;
 *   - a request that another node forwarded isn't forwarded again. */
#include "core/jobs.h"

/* Time-outs of requests that are forwarded to the leader. The rest of the time that users wait, 2 s
 * for the answer to a query, remains for an answer without the leader. */
#define FORWARD_QUERY_TIMEOUT_S 0.8
#define FORWARD_SUBMISSION_TIMEOUT_S 0.7
#define FORWARD_CANCELLATION_TIMEOUT_S 2
/* A submission is rejected if its record would wait for longer than this share of
 * TW_ADMISSION_WAIT_S; the answer contains a retry time of at most MAX_RETRY_S. */
#define MAX_WAIT_RATIO 0.8
#define MAX_RETRY_S 30
#define PATH_SIZE 64

bool tw_leader_may_answer(const tw_core *core) {
    return tw_cluster_is_active(core->cluster) &&
           tw_cluster_may(core->cluster, TW_PERMISSION_ANSWER);
}

/* ---- requests at the leader ---- */

static void cancel_job(tw_core *core, uint64_t connection, tw_job *job) {
    if (job->durable_state == TW_JOB_PENDING)
        tw_job_cancel(core, connection, job);
    else
        tw_reply(&core->context, connection, TW_HTTP_OK, 0,
                 tw_wire_job_status_text(job->id, job->durable_state, -1, -1));
}

bool tw_job_answer_from_memory(tw_core *core, uint64_t connection, const char *id,
                               tw_user_operation operation) {
    tw_completion completion;
    tw_job *job = tw_job_find(core, id);
    if (job && operation == TW_OPERATION_CANCEL)
        cancel_job(core, connection, job);
    else if (job)
        tw_reply(&core->context, connection, TW_HTTP_OK, 0, tw_job_status_text(job));
    else if (!tw_completed_jobs_find(core->completed_jobs, id, &completion))
        return false;
    else if (operation == TW_OPERATION_CANCEL)
        tw_reply(&core->context, connection, TW_HTTP_OK, 0,
                 tw_wire_job_status_text(id, completion.state, -1, -1));
    else
        tw_reply(&core->context, connection, TW_HTTP_OK, 0,
                 tw_wire_job_status_text(id, completion.state, completion.done_count, 0));
    return true;
}

/* Answers from memory if the state there is at least as recent as any answer that a node has given
 * about the job. Returns false if it has not answered the user. */
static bool answer_if_current(tw_core *core, uint64_t connection, const char *id,
                              tw_user_operation operation) {
    const tw_job *job = tw_job_find(core, id);
    if (job && !tw_job_is_answerable(job)) return false;
    return tw_job_answer_from_memory(core, connection, id, operation);
}

/* Admits a new job. Its user is answered when its first record is written. */
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
    if (core->term_began_without_jobs && core->first_admission_at <= 0)
        core->first_admission_at = core->context.now;
    tw_job_class_note_arrival(core, job->job_class, job);
    tw_job_add_waiting_client(core, job, connection, false);
    tw_job_mark_changed(core, job, true);
    tw_log_debug("event=job_submitted id=%s class=%s team=%d tasks=%d cores=%g gpus=%g mem=%g",
                 job->id, job->spec.job_class, job->team, job->task_count, job->spec.cores,
                 job->spec.gpus, job->spec.memory_gb);
    /* The job is placed immediately so that one write can hold the admission and the first
     * placements. */
    if (!tw_scheduler_place_now(core, job)) core->scheduling_due = true;
}

/* Answers a submission at the leader. Moves the contents out of spec if the job is admitted or
 * stored as a rejected admission. */
static void submit_at_leader(tw_core *core, uint64_t connection, tw_wire_job *spec) {
    if (answer_if_current(core, connection, spec->id, TW_OPERATION_QUERY)) return;
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
        tw_admission_reject(core, connection, spec->id, TW_TOO_LARGE_RETRY_S, "too large for now");
        return;
    }
    const double wait_s = tw_store_backlog_s(core->store);
    if (wait_s > TW_ADMISSION_WAIT_S * MAX_WAIT_RATIO) {
        const double retry_s = fmin(MAX_RETRY_S, ceil(wait_s));
        tw_admission_reject(core, connection, spec->id, retry_s, "too many submissions");
        tw_rejected_admission_note(core, spec, retry_s);
        return;
    }
    admit_job(core, connection, spec);
}

/* ---- requests at any node ---- */

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
        /* A job that was admitted must not be refused later: answering 422 requires proof that the
         * job is new. */
        if (!tw_leader_may_answer(core) ||
            !answer_if_current(core, connection, spec.id, TW_OPERATION_QUERY))
            tw_job_look_up(core, connection, spec.id, TW_OPERATION_REFUSE);
    } else if (tw_leader_may_answer(core)) {
        submit_at_leader(core, connection, &spec);
    } else if (from_peer) {
        tw_reply_error(&core->context, connection, TW_HTTP_UNAVAILABLE, 1, "not the leader");
    } else {
        char *copy = strndup(body, length);
        if (!tw_request_forward(core, connection, TW_OPERATION_SUBMIT, "POST", "/v1/jobs", spec.id,
                                copy, FORWARD_SUBMISSION_TIMEOUT_S))
            tw_peer_admission_create(core, connection, &spec);
    }
    tw_wire_job_free(&spec);
}

void tw_user_query(tw_core *core, uint64_t connection, const char *id, bool from_peer) {
    if (!tw_wire_is_valid_job_id(id,
                                 strlen(id))) { /* no job with such an id can have been admitted */
        tw_reply_error(&core->context, connection, TW_HTTP_NOT_FOUND, 0, "no such job");
        return;
    }
    if (tw_leader_may_answer(core)) {
        if (!answer_if_current(core, connection, id, TW_OPERATION_QUERY))
            tw_job_look_up(core, connection, id, TW_OPERATION_QUERY);
        return;
    }
    char path[PATH_SIZE];
    snprintf(path, sizeof path, "/v1/jobs/%s", id);
    if (from_peer || !tw_request_forward(core, connection, TW_OPERATION_QUERY, "GET", path, id,
                                         NULL, FORWARD_QUERY_TIMEOUT_S))
        tw_job_look_up(core, connection, id, TW_OPERATION_QUERY);
}

void tw_user_cancel(tw_core *core, uint64_t connection, const char *id, bool from_peer) {
    if (!tw_wire_is_valid_job_id(id, strlen(id))) {
        tw_reply_error(&core->context, connection, TW_HTTP_NOT_FOUND, 0, "no such job");
        return;
    }
    if (tw_leader_may_answer(core)) {
        if (!answer_if_current(core, connection, id, TW_OPERATION_CANCEL))
            tw_job_look_up(core, connection, id, TW_OPERATION_CANCEL);
        return;
    }
    char path[PATH_SIZE];
    snprintf(path, sizeof path, "/v1/jobs/%s/abort", id);
    if (!from_peer && tw_request_forward(core, connection, TW_OPERATION_CANCEL, "POST", path, id,
                                         strdup("{}"), FORWARD_CANCELLATION_TIMEOUT_S))
        return;
    /* Without the leader no job can be cancelled, but a job that has ended can be reported
     * as such. */
    tw_job_look_up(core, connection, id, TW_OPERATION_CANCEL);
}
