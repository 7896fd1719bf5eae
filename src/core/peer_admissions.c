/* Peer admissions: jobs that a node admits while it can't reach the leader. The node writes the
 * job's record and a second key, the admission key, in one transaction. The leader watches these
 * keys and reads the records of the jobs; a leader of a later term finds the records when it reads
 * all records.
 *
 * Invariants:
 *   - a job is admitted only if it has no record;
 *   - the admission key is removed only after the leader knows the job. */
#include "core/jobs.h"

/* Prefix of the admission key, and buffer size for such a key. */
#define PEER_ADMISSION_KEY "new/"
#define PEER_ADMISSION_KEY_SIZE (TW_WIRE_ID_SIZE + sizeof PEER_ADMISSION_KEY)
/* Time-out of the transaction that admits a job. */
#define CREATE_TIMEOUT_S 1.5
/* Time until the read of a peer admission's record is repeated if the job is still unknown. */
#define LOOKUP_RETRY_S 1.0
/* Duration of a watch in leases, and the additional time allowed for its response. */
#define WATCH_LEASES 2
#define WATCH_RESPONSE_MARGIN_S 2
/* Time until a failed list or watch request is repeated, as a share of the leader's lease. */
#define RETRY_RATIO 0.25
#define PATH_SIZE 128

/* ---- admission by a node that can't reach the leader ---- */

void tw_peer_admission_create(tw_core *core, uint64_t connection, const tw_wire_job *spec) {
    if (tw_cluster_since_store_answer_s(core->cluster) > 2 * tw_cluster_lease_s(core->cluster) ||
        !tw_rate_limiter_try_acquire(&core->follower_create_limiter, core->context.now, 2)) {
        tw_admission_reject(core, connection, spec->id, 1, "no leader");
        return;
    }
    char key[TW_JOB_KEY_SIZE];
    snprintf(key, sizeof key, TW_JOB_KEY "%s", spec->id);
    tw_wire_record record = {.has_job = true,
                             .job = *spec,
                             .task_count = spec->task_count,
                             .submitted_at = core->context.wall,
                             .next_attempt = 1};
    char *text = tw_wire_record_text(&record);
    if (strlen(text) > tw_store_whole_size(core->store)) {
        tw_admission_reject(core, connection, spec->id, TW_TOO_LARGE_RETRY_S,
                            "too large without a leader");
        free(text);
        return;
    }
    char admission_key[PEER_ADMISSION_KEY_SIZE];
    snprintf(admission_key, sizeof admission_key, PEER_ADMISSION_KEY "%s", spec->id);
    tw_wire_compare compare = {key, 0};
    tw_wire_write writes[2] = {{key, text, 0}, {admission_key, "1", 0}};
    tw_call *call = tw_call_send(&core->context, TW_CALL_CREATE_RECORD, TW_TO_STATE,
                                 core->context.config->state, "POST", "/txn",
                                 tw_wire_txn_text(&compare, 1, writes, 2), CREATE_TIMEOUT_S);
    call->connection = connection;
    snprintf(call->name, sizeof call->name, "%s", spec->id);
    free(text);
}

/* Handles the response to the transaction that admits a job: the job was admitted, its record
 * existed before, or the outcome is unknown. */
static void handle_creation_response(tw_core *core, const tw_call *call, int status) {
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

/* ---- processing by the leader ---- */

/* Reads the record of a job that another node admitted or, once the job is known, requests the
 * removal of its admission key. The response to the read may be lost, so the job stays in
 * unprocessed_admissions until it is known. */
static void process_admission(tw_core *core, tw_expiring_name *admission) {
    char key[TW_NAME_SIZE + sizeof PEER_ADMISSION_KEY];
    if (!tw_job_is_known(core, admission->name)) {
        if (core->context.now < admission->at) return;
        admission->at = core->context.now + LOOKUP_RETRY_S;
        tw_job_look_up(core, 0, admission->name, TW_OPERATION_QUERY);
        return;
    }
    if (!tw_store_try_acquire_write(core->store)) return;
    snprintf(key, sizeof key, PEER_ADMISSION_KEY "%s", admission->name);
    tw_wire_compare compare = tw_cluster_leader_compare(core->cluster);
    tw_wire_write removal = {key, NULL, 0};
    tw_call_send(&core->context, TW_CALL_REMOVE_PEER_ADMISSION, TW_TO_STATE,
                 core->context.config->state, "POST", "/txn",
                 tw_wire_txn_text(&compare, 1, &removal, 1), 1);
    tw_expiring_names_remove(&core->unprocessed_admissions, admission);
}

/* Adds the job of a listed or watched admission key to unprocessed_admissions, and processes it. */
static void add_admission(tw_core *core, const char *key) {
    const char *id = key + sizeof PEER_ADMISSION_KEY - 1;
    if (strncmp(key, PEER_ADMISSION_KEY, sizeof PEER_ADMISSION_KEY - 1) != 0 ||
        !tw_wire_is_valid_job_id(id, strlen(id)))
        return;
    tw_expiring_name *admission = tw_expiring_names_find(core->unprocessed_admissions, id);
    if (!admission) admission = tw_expiring_names_add(&core->unprocessed_admissions, id, 0);
    process_admission(core, admission);
}

void tw_peer_admissions_response(tw_core *core, tw_call *call, int status, const char *body,
                                 size_t length) {
    tw_wire_entry *entries;
    int count;
    int more;
    uint64_t revision;
    if (call->kind == TW_CALL_REMOVE_PEER_ADMISSION) return;
    if (call->kind == TW_CALL_CREATE_RECORD) {
        handle_creation_response(core, call, status);
        return;
    }
    core->admission_watch_in_flight = false;
    const bool is_list = call->kind == TW_CALL_LIST_PEER_ADMISSIONS;
    if (status != TW_HTTP_OK || tw_wire_revision_parse(&revision, body, length) ||
        (is_list ? tw_wire_entries_parse(&entries, &count, &more, body, length)
                 : tw_wire_watch_keys_parse(&entries, &count, body, length))) {
        if (status == TW_HTTP_GONE) core->admission_watch_revision = 0;
        core->next_admission_watch_at =
            core->context.now + RETRY_RATIO * tw_cluster_lease_s(core->cluster);
        return;
    }
    core->admission_watch_revision = revision;
    for (int i = 0; i < count; i++) add_admission(core, entries[i].key);
    tw_wire_entries_free(entries, count);
}

void tw_peer_admissions_tick(tw_core *core) {
    tw_expiring_name *admission;
    tw_expiring_name *next;
    HASH_ITER(hh, core->unprocessed_admissions, admission, next) {
        process_admission(core, admission);
    }
    if (core->admission_watch_in_flight || core->context.now < core->next_admission_watch_at ||
        !tw_store_try_acquire_request(core->store))
        return;
    core->admission_watch_in_flight = true;
    if (!core->admission_watch_revision) {
        tw_call_send(&core->context, TW_CALL_LIST_PEER_ADMISSIONS, TW_TO_STATE,
                     core->context.config->state, "GET",
                     "/kv?starts=" PEER_ADMISSION_KEY "&most=100", NULL, 2);
        return;
    }
    char path[PATH_SIZE];
    const double hold_s = WATCH_LEASES * core->context.config->lease_s;
    snprintf(path, sizeof path, "/follow?starts=" PEER_ADMISSION_KEY "&since=%llu&holdMs=%d",
             (unsigned long long)core->admission_watch_revision, (int)(hold_s * 1000));
    tw_call_send(&core->context, TW_CALL_WATCH_PEER_ADMISSIONS, TW_TO_STATE,
                 core->context.config->state, "GET", path, NULL, hold_s + WATCH_RESPONSE_MARGIN_S);
}
