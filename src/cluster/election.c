/* Elections. The leader holds a key in the state service that is attached to a lease. The fencing
 * token is the store revision of the transaction that wrote the key, so tokens increase strictly.
 * Followers watch the key and campaign when it is removed. */
#include "cluster/cluster_int.h"
#include <cjson/cJSON.h>

/* Times as shares of the leader's lease. */
#define ELECTION_TIMEOUT 0.5
/* An acquisition that completes later is abandoned: its authority would end almost immediately. */
#define ACQUISITION_DEADLINE 0.9
#define READ_PAUSE_MIN 0.15 /* pause between two reads of the key */
#define READ_PAUSE_MAX 0.25
#define WATCH_RETRY_MIN 0.1
#define WATCH_RETRY_MAX 0.2
#define CHANGED_KEY_READ_SPREAD 0.08 /* time over which reads of a changed key are spread */
#define LOST_PAUSE_MIN 0.05          /* pause after a lost election */
#define LOST_PAUSE_MAX 0.2
#define STEP_DOWN_PAUSE_MIN 0.05 /* pause after the end of a term */
#define STEP_DOWN_PAUSE_MAX 0.25

/* Pause between the revocation of the lease of this node's old key and the next read of the key. */
#define OWN_KEY_REREAD_PAUSE_S 0.05
/* The timeout of a watch is its hold time plus half a lease of the leader plus this margin. */
#define WATCH_TIMEOUT_MARGIN_S 0.5
/* Maximum hold time of a watch in the protocol. */
#define MAX_WATCH_S 60.0
#define REVOKE_TIMEOUT_S 1.0
#define MS_PER_S 1000

/* ---- the rate limit of the state service ---- */

/* Share of the request limit that all nodes together use to watch the leader's key and to elect a
 * leader. The rest is for the leader: lease renewals, reads of the records, writes. */
#define ELECTION_RATE_SHARE 0.4
/* Requests of a complete election: read, lease, acquisition, revocation, read, watch. */
#define ELECTION_REQUESTS 6.0
/* Share of a node's election rate that watches may use. The rest is left for an election. */
#define WATCH_SHARE 0.8
/* Minimum time over which followers spread their reads of a changed key, in rounds of one request
 * per node. The first follower has then often acquired the key before the next one reads it. */
#define READ_SPREAD_ROUNDS 0.8
/* Number of consecutive rate-limited requests after which a follower's waits grow no further. */
#define MAX_BACKOFF_DOUBLINGS 3
/* Wait of a leader after a rate-limited request, as the number of requests that it leaves to other
 * nodes; and range of the random factor of all waits. */
#define LEADER_WAIT_REQUESTS 4.0
#define WAIT_FACTOR_MIN 0.5
#define WAIT_FACTOR_MAX 1.5

/* Returns the time in seconds in which the request limit allows one request per node. */
static double request_round_s(const tw_cluster *cluster) {
    return (double)(cluster->peer_count + 1) / cluster->context->config->state_rps;
}

void tw_cluster_init_election(tw_cluster *cluster) {
    const double rate =
        cluster->context->config->tune.write_share * ELECTION_RATE_SHARE / request_round_s(cluster);
    const double burst = fmax(ELECTION_REQUESTS, rate);
    cluster->election_limiter = tw_rate_limiter_make(rate, burst, cluster->context->now);
}

double tw_cluster_rate_limited_wait_s(tw_cluster *cluster, int status) {
    if (status != TW_HTTP_TOO_MANY) return 0;
    return LEADER_WAIT_REQUESTS / cluster->context->config->state_rps *
           tw_context_random(cluster->context, WAIT_FACTOR_MIN, WAIT_FACTOR_MAX);
}

/* Backs off exponentially after rate-limited requests. If all nodes continued at their full rate
 * and exceeded the limit together, none of their elections would complete. */
static void note_rate_limit(tw_cluster *cluster, int status) {
    if (status != TW_HTTP_TOO_MANY) {
        if (status) cluster->rate_limited_elections = 0;
        return;
    }
    const double wait_s = ldexp(request_round_s(cluster), cluster->rate_limited_elections) *
                          tw_context_random(cluster->context, WAIT_FACTOR_MIN, WAIT_FACTOR_MAX);
    if (cluster->rate_limited_elections < MAX_BACKOFF_DOUBLINGS) cluster->rate_limited_elections++;
    cluster->next_leader_read_at =
        fmax(cluster->next_leader_read_at, cluster->context->now + wait_s);
}

/* Sends a request of an election in progress, regardless of the rate limiter. A negative balance of
 * the limiter delays the next read of the key. */
static tw_call *election_call(tw_cluster *cluster, tw_call_kind kind, const char *method,
                              const char *path, char *body /* owned */, double timeout_s) {
    tw_rate_limiter_refund(&cluster->election_limiter, -1);
    return tw_call_send(cluster->context, kind, TW_TO_STATE, cluster->context->config->state,
                        method, path, body, timeout_s);
}

/* ---- terms ---- */

void tw_cluster_step_down(tw_cluster *cluster, const char *why) {
    if (cluster->role != TW_ROLE_LEADER) return;
    tw_log_info("event=leader_stepped_down token=%llu why=\"%s\" led_s=%.2f authority_left_s=%.3f",
                (unsigned long long)cluster->token, why,
                cluster->context->now - cluster->term_began_at,
                cluster->authority_until - cluster->context->now);
    cluster->role = TW_ROLE_FOLLOWER;
    cluster->context->term++;
    cluster->renewals_in_flight = 0;
    cluster->lease_id = 0;
    if (!strcmp(cluster->leader_name, cluster->context->config->host_name))
        *cluster->leader_name = 0;
    cluster->owner.term_ended(cluster->owner.owner);
    cluster->watch_from_revision = 0;
    cluster->next_leader_read_at =
        cluster->context->now + cluster->lease_s * tw_context_random(cluster->context,
                                                                     STEP_DOWN_PAUSE_MIN,
                                                                     STEP_DOWN_PAUSE_MAX);
}

void tw_cluster_observe_token(tw_cluster *cluster, uint64_t token, const char *leader) {
    if (token > cluster->highest_token) cluster->highest_token = token;
    if (leader && *leader && token >= cluster->leader_token) {
        cluster->leader_token = token;
        snprintf(cluster->leader_name, sizeof cluster->leader_name, "%s", leader);
    }
    if (cluster->role == TW_ROLE_LEADER && token > cluster->token)
        tw_cluster_step_down(cluster, "a later leader exists");
}

static void become_leader(tw_cluster *cluster, uint64_t token) {
    cluster->role = TW_ROLE_LEADER;
    cluster->context->term++;
    cluster->token = token;
    cluster->term_began_at = cluster->context->now;
    cluster->authority_until = tw_cluster_authority_end(cluster, cluster->lease_requested_at);
    cluster->next_renewal_at = cluster->context->now;
    cluster->renewals_in_flight = 0;
    cluster->peers_confirmed_at = cluster->peer_count ? 0 : cluster->context->now;
    for (size_t i = 0; i < cluster->peer_count; i++) {
        cluster->peers[i].next_heartbeat_at = cluster->context->now;
        cluster->peers[i].cancellations_acknowledged = cluster->peers[i].cancellations_sent = 0;
        /* Delegations of this node's earlier terms are bound to an older token. */
        cluster->peers[i].delegation_until = 0;
    }
    tw_cluster_observe_token(cluster, token, cluster->context->config->host_name);
    tw_log_info("event=leader_elected token=%llu authority_s=%.3f renewal_limit_s=%.2f",
                (unsigned long long)token, cluster->authority_until - cluster->context->now,
                tw_cluster_renewal_without_authority_s(cluster));
    cluster->phase = TW_PHASE_LOADING;
    tw_cluster_reset_registry(cluster);
    cluster->owner.term_began(cluster->owner.owner);
}

/* ---- reading and watching the leader's key ---- */

static void read_leader_key(tw_cluster *cluster) {
    cluster->leader_read_in_flight = true;
    tw_call_send(cluster->context, TW_CALL_READ_LEADER, TW_TO_STATE,
                 cluster->context->config->state, "GET", "/kv/" TW_LEADER_KEY, NULL,
                 fmax(1, cluster->lease_s * ELECTION_TIMEOUT));
}

/* Watches the leader's key. A watch replaces many reads, which matters since all nodes share the
 * request limit, and reports the removal of the key immediately. It is held for one lease of the
 * leader, since its response also shows that the state service is reachable; and for longer only if
 * the limit doesn't allow one watch per lease. */
static void watch_leader_key(tw_cluster *cluster) {
    const double max_watch_rate = WATCH_SHARE * cluster->election_limiter.rate;
    const double hold_s = fmin(fmax(cluster->lease_s, 1 / max_watch_rate), MAX_WATCH_S);
    char path[TW_PATH_SIZE];
    cluster->leader_read_in_flight = true;
    snprintf(path, sizeof path, "/follow?starts=" TW_LEADER_KEY "&since=%llu&holdMs=%d",
             (unsigned long long)cluster->watch_from_revision, (int)(hold_s * MS_PER_S));
    tw_call_send(cluster->context, TW_CALL_WATCH_LEADER, TW_TO_STATE,
                 cluster->context->config->state, "GET", path, NULL,
                 hold_s + cluster->lease_s * 0.5 + WATCH_TIMEOUT_MARGIN_S);
}

/* Starts an election by requesting a lease. replaced: this node's own old key, which the
 * acquisition replaces; NULL: the key is absent. */
static void start_election(tw_cluster *cluster, const tw_wire_entry *replaced) {
    char body[64];
    cluster->election_in_flight = true;
    cluster->replaced_revision = replaced ? replaced->mod_revision : 0;
    cluster->replaced_lease_id = replaced ? replaced->lease_id : 0;
    cluster->lease_requested_at = cluster->context->now;
    snprintf(body, sizeof body, "{\"lifeMs\":%d}", (int)(cluster->lease_s * MS_PER_S));
    election_call(cluster, TW_CALL_GRANT_LEASE, "POST", "/grants", strdup(body),
                  cluster->lease_s * ELECTION_TIMEOUT);
}

/* Returns whether the last change in the watch's response is the removal of the key. */
static bool ends_with_key_removal(const char *body, size_t len) {
    tw_wire_entry *changes;
    int count;
    if (tw_wire_changes_parse("log", &changes, &count, body, len)) return false;
    const bool is_key_removed = count > 0 && !changes[count - 1].value;
    tw_wire_entries_free(changes, count);
    return is_key_removed;
}

/* Handles a change of the leader's key. Followers read the key after random pauses, so that their
 * reads don't coincide. The followers that should win against nodes of an earlier version don't
 * pause; they don't read a removed key either, since the acquisition compares that it is absent. */
static void on_key_changed(tw_cluster *cluster, const char *body, size_t len) {
    const bool is_first = tw_cluster_campaigns_first(cluster);
    const double spread_s = fmax(cluster->lease_s * CHANGED_KEY_READ_SPREAD,
                                 request_round_s(cluster) * READ_SPREAD_ROUNDS);
    const double pause_s = is_first ? 0 : tw_context_random(cluster->context, 0, spread_s);
    cluster->next_leader_read_at = cluster->context->now + pause_s;
    if (!is_first || cluster->role != TW_ROLE_FOLLOWER || cluster->election_in_flight ||
        !ends_with_key_removal(body, len))
        return;
    start_election(cluster, NULL);
}

static void on_watch(tw_cluster *cluster, int status, const char *body, size_t len) {
    uint64_t revision;
    cluster->leader_read_in_flight = false;
    cluster->watch_from_revision = 0;
    if (status != TW_HTTP_OK || tw_wire_revision_parse(&revision, body, len)) {
        cluster->next_leader_read_at =
            cluster->context->now + cluster->lease_s * tw_context_random(cluster->context,
                                                                         WATCH_RETRY_MIN,
                                                                         WATCH_RETRY_MAX);
    } else if (tw_wire_watch_has_changes(body, len)) {
        on_key_changed(cluster, body, len);
    } else {
        cluster->watch_from_revision = revision;
        cluster->next_leader_read_at = cluster->context->now;
    }
}

/* ---- elections ---- */

/* Revokes a lease. token: token of the term that begins after the revocation; 0: none begins. */
static void revoke_lease(tw_cluster *cluster, uint64_t lease_id, uint64_t token) {
    char path[TW_PATH_SIZE];
    if (!lease_id) return;
    snprintf(path, sizeof path, "/grants/%llu", (unsigned long long)lease_id);
    tw_call *sent =
        election_call(cluster, TW_CALL_REVOKE_LEASE, "DELETE", path, NULL, REVOKE_TIMEOUT_S);
    sent->sequence = token;
}

/* Handles a key that names this node although it does not lead. An earlier process of this node
 * wrote the key, or an acquisition whose response was lost. No process leads by this key, so its
 * lease is revoked immediately. While a peer of an earlier version could take over, the key is
 * replaced instead, so that it is not absent until the next read. */
static void on_own_key(tw_cluster *cluster, const tw_wire_entry *entry) {
    *cluster->leader_name = 0;
    cluster->watch_from_revision = 0;
    cluster->next_leader_read_at = cluster->context->now + OWN_KEY_REREAD_PAUSE_S;
    tw_log_info("event=own_leader_key_found token=%llu replaced=%d",
                (unsigned long long)entry->mod_revision,
                tw_cluster_any_peer_lacks_chunk_support(cluster));
    if (tw_cluster_any_peer_lacks_chunk_support(cluster))
        start_election(cluster, entry);
    else
        revoke_lease(cluster, entry->lease_id, 0);
}

/* Processes the leader's key as read from the state service. */
static void note_leader_key(tw_cluster *cluster, const tw_wire_entry *entry, const char *leader) {
    tw_cluster_observe_token(cluster, entry->mod_revision, leader);
    if (cluster->role == TW_ROLE_FOLLOWER && !cluster->election_in_flight &&
        !strcmp(leader, cluster->context->config->host_name))
        on_own_key(cluster, entry);
}

static void on_leader_key(tw_cluster *cluster, int status, const char *body, size_t len) {
    cluster->leader_read_in_flight = false;
    if (status == TW_HTTP_NOT_FOUND) {
        *cluster->leader_name = 0;
        if (cluster->role == TW_ROLE_FOLLOWER && !cluster->election_in_flight)
            start_election(cluster, NULL);
        return;
    }
    tw_wire_entry entry;
    if (status != TW_HTTP_OK || tw_wire_entry_parse(&entry, body, len)) return;
    cluster->watch_from_revision = entry.mod_revision;
    if (cluster->role == TW_ROLE_FOLLOWER) cluster->next_leader_read_at = cluster->context->now;
    cJSON *data = cJSON_Parse(entry.value);
    const cJSON *node = cJSON_GetObjectItemCaseSensitive(data, "node");
    if (cJSON_IsString(node) && strlen(node->valuestring) < TW_NAME_SIZE)
        note_leader_key(cluster, &entry, node->valuestring);
    cJSON_Delete(data);
    free(entry.value);
}

static void on_grant(tw_cluster *cluster, int status, const char *body, size_t len) {
    uint64_t lease_id;
    if (status != TW_HTTP_OK || tw_wire_lease_id_parse(&lease_id, body, len)) {
        cluster->election_in_flight = false;
        return;
    }
    cluster->lease_id = lease_id;
    char data[128];
    snprintf(data, sizeof data, "{\"node\":\"%s\"}", cluster->context->config->host_name);
    tw_wire_compare unchanged = {TW_LEADER_KEY, cluster->replaced_revision};
    tw_wire_write key = {TW_LEADER_KEY, data, lease_id};
    election_call(cluster, TW_CALL_ACQUIRE_LEADERSHIP, "POST", "/txn",
                  tw_wire_txn_text(&unchanged, 1, &key, 1), cluster->lease_s * ELECTION_TIMEOUT);
}

/* Returns whether enough of the lease remains for a term that begins now. */
static bool enough_lease_remains(const tw_cluster *cluster) {
    return cluster->context->now <
           cluster->lease_requested_at + cluster->lease_s * ACQUISITION_DEADLINE;
}

/* Ends an election that was lost or whose outcome is unknown. Revoking the lease undoes an
 * acquisition that succeeded. may_hold_key: this node may hold the key. While a peer of an earlier
 * version could take over, the lease is then not revoked; the next read finds the key and replaces
 * it. */
static void abandon_election(tw_cluster *cluster, bool may_hold_key) {
    cluster->election_in_flight = false;
    if (!may_hold_key || !tw_cluster_any_peer_lacks_chunk_support(cluster))
        revoke_lease(cluster, cluster->lease_id, 0);
    cluster->lease_id = 0;
    cluster->watch_from_revision = 0;
    cluster->next_leader_read_at =
        cluster->context->now +
        cluster->lease_s * tw_context_random(cluster->context, LOST_PAUSE_MIN, LOST_PAUSE_MAX);
}

static void on_acquire(tw_cluster *cluster, int status, const char *body, size_t len) {
    uint64_t revision;
    if (status != TW_HTTP_OK || tw_wire_revision_parse(&revision, body, len) ||
        !enough_lease_remains(cluster)) {
        abandon_election(cluster, status == TW_HTTP_NO_RESPONSE);
    } else if (cluster->replaced_lease_id) {
        /* The key is no longer attached to the old lease, which an earlier process of this node may
         * still renew. */
        revoke_lease(cluster, cluster->replaced_lease_id, revision);
    } else {
        cluster->election_in_flight = false;
        become_leader(cluster, revision);
    }
}

/* Handles the response to the revocation of a lease. The term begins if the lease belonged to a
 * replaced key and has ended. */
static void on_revoke(tw_cluster *cluster, const tw_call *sent, int status) {
    const uint64_t token = sent->sequence;
    const bool has_ended = status == TW_HTTP_OK || status == TW_HTTP_NOT_FOUND;
    if (!token) return;
    if (!has_ended || !enough_lease_remains(cluster)) {
        abandon_election(cluster, !has_ended);
        return;
    }
    cluster->election_in_flight = false;
    become_leader(cluster, token);
}

/* ---- inputs ---- */

static void note_store_answer(tw_cluster *cluster, int status) {
    if (status == TW_HTTP_OK || status == TW_HTTP_NOT_FOUND || status == TW_HTTP_CONFLICT)
        cluster->store_answered_at = cluster->context->now;
}

void tw_cluster_election_response(tw_cluster *cluster, const tw_call *sent, int status,
                                  const char *body, size_t len) {
    note_store_answer(cluster, status);
    switch (sent->kind) {
    case TW_CALL_READ_LEADER:
        on_leader_key(cluster, status, body, len);
        break;
    case TW_CALL_WATCH_LEADER:
        on_watch(cluster, status, body, len);
        break;
    case TW_CALL_GRANT_LEASE:
        on_grant(cluster, status, body, len);
        break;
    case TW_CALL_ACQUIRE_LEADERSHIP:
        on_acquire(cluster, status, body, len);
        break;
    case TW_CALL_REVOKE_LEASE:
        on_revoke(cluster, sent, status);
        break;
    case TW_CALL_RENEW_LEASE:
        tw_cluster_renewal_response(cluster, sent, status);
        return;
    default:
        break;
    }
    note_rate_limit(cluster, status);
}

/* Watches or reads the leader's key when that is due. A follower watches the key; a leader without
 * authority reads the key to learn whether it was replaced. */
static void follower_tick(tw_cluster *cluster) {
    if (cluster->leader_read_in_flight || cluster->election_in_flight ||
        cluster->context->now < cluster->next_leader_read_at)
        return;
    if (!tw_rate_limiter_try_acquire(&cluster->election_limiter, cluster->context->now, 1)) return;
    cluster->next_leader_read_at =
        cluster->context->now +
        cluster->lease_s * tw_context_random(cluster->context, READ_PAUSE_MIN, READ_PAUSE_MAX);
    if (cluster->watch_from_revision && cluster->role == TW_ROLE_FOLLOWER)
        watch_leader_key(cluster);
    else
        read_leader_key(cluster);
}

void tw_cluster_election_tick(tw_cluster *cluster) {
    if (cluster->role == TW_ROLE_LEADER) tw_cluster_leader_lease_tick(cluster);
    if (cluster->role == TW_ROLE_FOLLOWER || !tw_cluster_has_authority(cluster))
        follower_tick(cluster);
}
