/* Jobs that a node admits while it can't ask the leader. With the record it writes a second key, in
 * one transaction. The leader watches these keys and reads the jobs' records; a leader of a later
 * term finds the records themselves when it reads all of them.
 *
 * Invariants:
 *   - a job is admitted only if it has no record;
 *   - the second key is removed only after the leader knows the job. */
#include "core/jobs.h"

/* Prefix of the second key, and room for such a key. */
#define PEER_ADMISSION_KEY "new/"
#define PEER_ADMISSION_KEY_SIZE (TW_WIRE_ID_SIZE + sizeof PEER_ADMISSION_KEY)
/* How long the transaction that admits a job may take. */
#define CREATE_TIMEOUT_S 1.5
/* Time until a read of such a job that told nothing is repeated. */
#define LOOKUP_RETRY_S 1.0
/* A watch is held for this many leases; its response may take this much longer. */
#define WATCH_LEASES 2
#define WATCH_SLACK_S 2
/* Time until a list or watch that failed is repeated, as a share of the leader's lease. */
#define RETRY_RATIO 0.25
#define PATH_SIZE 128

/* ---- at a node that can't ask the leader ---- */

void tw_peer_admission_create(tw_core *core, uint64_t connection, const tw_wire_job *spec) {
    if (tw_cluster_store_silent_s(core->cluster) > 2 * tw_cluster_lease_s(core->cluster) ||
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
    char news[PEER_ADMISSION_KEY_SIZE];
    snprintf(news, sizeof news, PEER_ADMISSION_KEY "%s", spec->id);
    tw_wire_compare compare = {key, 0};
    tw_wire_write writes[2] = {{key, text, 0}, {news, "1", 0}};
    tw_call *call = tw_call_send(&core->context, TW_CALL_CREATE_RECORD, TW_TO_STATE,
                                 core->context.config->state, "POST", "/txn",
                                 tw_wire_txn_text(&compare, 1, writes, 2), CREATE_TIMEOUT_S);
    call->connection = connection;
    snprintf(call->name, sizeof call->name, "%s", spec->id);
    free(text);
}

/* The job was admitted, or its record exists, or the outcome is unknown. */
static void creation_response(tw_core *core, const tw_call *call, int status) {
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

/* ---- at the leader ---- */

/* Reads a job that another node admitted or, once the job is known, asks for its key to be removed.
 * The response to the read may be lost, so the job stays among the untaken until then. */
static void take_admission(tw_core *core, tw_expiring_name *untaken) {
    char key[TW_NAME_SIZE + sizeof PEER_ADMISSION_KEY];
    if (!tw_job_is_known(core, untaken->name)) {
        if (core->context.now < untaken->at) return;
        untaken->at = core->context.now + LOOKUP_RETRY_S;
        tw_job_look_up(core, 0, untaken->name, TW_OPERATION_QUERY);
        return;
    }
    if (!tw_store_try_acquire_write(core->store)) return;
    snprintf(key, sizeof key, PEER_ADMISSION_KEY "%s", untaken->name);
    tw_wire_compare compare = tw_cluster_leader_compare(core->cluster);
    tw_wire_write removal = {key, NULL, 0};
    tw_call_send(&core->context, TW_CALL_REMOVE_PEER_ADMISSION, TW_TO_STATE,
                 core->context.config->state, "POST", "/txn",
                 tw_wire_txn_text(&compare, 1, &removal, 1), 1);
    tw_expiring_names_remove(&core->untaken_admissions, untaken);
}

/* Notes a key that was listed or watched. */
static void note_admission(tw_core *core, const char *key) {
    const char *id = key + sizeof PEER_ADMISSION_KEY - 1;
    if (strncmp(key, PEER_ADMISSION_KEY, sizeof PEER_ADMISSION_KEY - 1) != 0 ||
        !tw_wire_is_valid_job_id(id, strlen(id)))
        return;
    tw_expiring_name *untaken = tw_expiring_names_find(core->untaken_admissions, id);
    if (!untaken) untaken = tw_expiring_names_add(&core->untaken_admissions, id, 0);
    take_admission(core, untaken);
}

void tw_peer_admissions_response(tw_core *core, tw_call *call, int status, const char *body,
                                 size_t length) {
    tw_wire_entry *entries;
    int count;
    int more;
    uint64_t revision;
    if (call->kind == TW_CALL_REMOVE_PEER_ADMISSION) return;
    if (call->kind == TW_CALL_CREATE_RECORD) {
        creation_response(core, call, status);
        return;
    }
    core->admission_watch_in_flight = false;
    const bool list = call->kind == TW_CALL_LIST_PEER_ADMISSIONS;
    if (status != TW_HTTP_OK || tw_wire_revision_parse(&revision, body, length) ||
        (list ? tw_wire_entries_parse(&entries, &count, &more, body, length)
              : tw_wire_watch_keys_parse(&entries, &count, body, length))) {
        if (status == TW_HTTP_GONE) core->admission_watch_revision = 0;
        core->next_admission_watch_at =
            core->context.now + RETRY_RATIO * tw_cluster_lease_s(core->cluster);
        return;
    }
    core->admission_watch_revision = revision;
    for (int i = 0; i < count; i++) note_admission(core, entries[i].key);
    tw_wire_entries_free(entries, count);
}

void tw_peer_admissions_tick(tw_core *core) {
    tw_expiring_name *untaken;
    tw_expiring_name *next;
    HASH_ITER(hh, core->untaken_admissions, untaken, next) { take_admission(core, untaken); }
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
                 core->context.config->state, "GET", path, NULL, hold_s + WATCH_SLACK_S);
}
