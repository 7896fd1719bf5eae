/* Jobs that another node accepted while it could not ask the leader. That node writes a second key
 * with the record, which the leader watches; a successor finds the record itself when it loads. */
#include "core/jobs.h"
#include <stdbool.h>

/* Until a read of such a job that told nothing is repeated. */
#define LEARN_S 1.0
/* A watch is held for this many leases; its answer may take this much longer. */
#define WATCH_LEASES 2
#define WATCH_SLACK_S 2
/* Until a list or watch that failed is repeated, as a share of the leader's lease. */
#define RETRY_RATIO 0.25
#define PATH_SIZE 128

/* Reads a job that another node accepted; once it is known, its key has done its service. An answer
 * may be lost or refused: it stays among the untaken until the key was asked to be removed. */
static void take_admission(tw_core *core, tw_expiring_name *untaken) {
    char key[TW_NAME_SIZE + sizeof TW_PEER_ADMISSION_KEY];
    if (!tw_job_is_known(core, untaken->name)) {
        if (core->context.now < untaken->at) return;
        untaken->at = core->context.now + LEARN_S;
        tw_job_look_up(core, 0, untaken->name, TW_OPERATION_QUERY);
        return;
    }
    if (!tw_rate_limiter_try_acquire(&core->write_limiter, core->context.now, 1)) return;
    snprintf(key, sizeof key, TW_PEER_ADMISSION_KEY "%s", untaken->name);
    tw_wire_compare compare = tw_cluster_leader_compare(core->cluster);
    tw_wire_write removal = {key, NULL, 0};
    tw_call_send(&core->context, TW_CALL_REMOVE_PEER_ADMISSION, TW_TO_STATE,
                 core->context.config->state, "POST", "/txn",
                 tw_wire_txn_text(&compare, 1, &removal, 1), 1);
    tw_expiring_names_remove(&core->untaken_admissions, untaken);
}

static void note_admission(tw_core *core, const char *key) {
    const char *id = key + sizeof TW_PEER_ADMISSION_KEY - 1;
    if (strncmp(key, TW_PEER_ADMISSION_KEY, sizeof TW_PEER_ADMISSION_KEY - 1) != 0 ||
        !tw_wire_id_ok(id, strlen(id)))
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
    core->admission_watch_in_flight = false;
    bool list = call->kind == TW_CALL_LIST_PEER_ADMISSIONS;
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
        !tw_rate_limiter_try_acquire(&core->request_limiter, core->context.now, 1))
        return;
    core->admission_watch_in_flight = true;
    if (!core->admission_watch_revision) {
        tw_call_send(&core->context, TW_CALL_LIST_PEER_ADMISSIONS, TW_TO_STATE,
                     core->context.config->state, "GET",
                     "/kv?starts=" TW_PEER_ADMISSION_KEY "&most=100", NULL, 2);
        return;
    }
    char path[PATH_SIZE];
    double hold_s = WATCH_LEASES * core->context.config->lease_s;
    snprintf(path, sizeof path, "/follow?starts=" TW_PEER_ADMISSION_KEY "&since=%llu&holdMs=%d",
             (unsigned long long)core->admission_watch_revision, (int)(hold_s * 1000));
    tw_call_send(&core->context, TW_CALL_WATCH_PEER_ADMISSIONS, TW_TO_STATE,
                 core->context.config->state, "GET", path, NULL, hold_s + WATCH_SLACK_S);
}
