/* Who leads. The leader holds a key under a lease of the state service; its token is the revision
 * of the transaction that wrote the key, so tokens grow strictly. Authority to command ends before
 * the lease can: it is counted from when the last good renewal was sent, less drift and margin. */
#include "core/cluster.h"
#include <cjson/cJSON.h>
#include <stdbool.h>

/* Shares of the leader's lease (ttl). */
#define AUTHORITY_MARGIN 0.05 /* authority ends that much earlier */
#define RENEW_EVERY 0.25
#define RENEW_SLOW 0.2 /* an answer that takes longer: a second renewal goes out */
#define RENEW_RETRY 0.1
#define RENEW_TIMEOUT 0.4
#define ELECTION_TIMEOUT 0.5
#define ACQUIRED_LATEST 0.9 /* after the lease was asked for: authority would end at once */
#define POLL_LEAST 0.15     /* between two readings of the key */
#define POLL_MOST 0.25
#define WATCH_RETRY_LEAST 0.1
#define WATCH_RETRY_MOST 0.2
#define CHANGED_SPREAD 0.08 /* followers that saw the key change don't all read it at once */
#define LOST_LEAST 0.05     /* after a lost election */
#define LOST_MOST 0.2
#define RESIGNED_LEAST 0.05
#define RESIGNED_MOST 0.25

#define OWN_KEY_GONE_S 0.05 /* from the end of our own old lease to the next reading */
#define WATCH_ANSWER_S 0.5  /* for a watch's answer to arrive, besides half a lease */
#define WATCH_MOST_S 60.0   /* by the protocol */
#define DROP_TIMEOUT_S 1.0
#define MS 1000

/* ---- the state service's limit of requests ---- */

/* Share of the limit with which all nodes together follow the leader's key and elect. What is left
 * is the leader's: renewals, reading the records, writes. */
#define FOLLOW_SHARE 0.4
/* Requests of a whole election: read, lease, acquisition, its end, read, watch. */
#define ELECTION_REQUESTS 6.0
/* Watches take at most so much of it, so that an election finds some left. */
#define WATCH_SHARE 0.8
/* Followers that saw the key go read it spread over at least so many rounds of a request a node:
 * the first one has often acquired it before the next one reads. */
#define SPREAD_ROUNDS 0.8
/* Refused requests of a follower in a row after which its waits grow no further. */
#define REFUSED_MOST 3
/* After a refusal the leader leaves the limit to others for so many requests. */
#define LEADER_WAIT_REQUESTS 4.0
#define WAIT_LEAST 0.5
#define WAIT_MOST 1.5

/* In which the limit allows a request to each node. */
static double request_round_s(const tw_core *core) {
    return (double)(core->peer_count + 1) / core->context.config->state_rps;
}

void tw_election_init(tw_core *core) {
    const double rate =
        core->context.config->tune.write_share * FOLLOW_SHARE / request_round_s(core);
    const double burst = fmax(ELECTION_REQUESTS, rate);
    core->election_limiter = tw_rate_limiter_make(rate, burst, core->context.now);
}

double tw_rate_limited_wait_s(tw_core *core, int status) {
    if (status != TW_HTTP_TOO_MANY) return 0;
    return LEADER_WAIT_REQUESTS / core->context.config->state_rps *
           tw_context_random(&core->context, WAIT_LEAST, WAIT_MOST);
}

/* A node whose requests are refused asks ever less often: a limit that all nodes exceed together,
 * each as often as it may, would let none of them through. */
static void note_rate_limit(tw_core *core, int status) {
    if (status != TW_HTTP_TOO_MANY) {
        if (status) core->election_refusals = 0;
        return;
    }
    const double wait = ldexp(request_round_s(core), core->election_refusals) *
                        tw_context_random(&core->context, WAIT_LEAST, WAIT_MOST);
    if (core->election_refusals < REFUSED_MOST) core->election_refusals++;
    core->next_leader_read_at = fmax(core->next_leader_read_at, core->context.now + wait);
}

/* A request of an election that has begun: it is not broken off for want of budget, which is paid
 * back before the next reading of the key. */
static void election_call(tw_core *core, tw_call_kind kind, const char *method, const char *path,
                          char *body /* owned */, double timeout_s) {
    tw_rate_limiter_refund(&core->election_limiter, -1);
    tw_call_send(&core->context, kind, TW_TO_STATE, core->context.config->state, method, path, body,
                 timeout_s);
}

/* ---- terms ---- */

void tw_leader_step_down(tw_core *core, const char *why) {
    if (core->role != TW_ROLE_LEADER) return;
    tw_log_info("event=leader_stepped_down token=%llu why=\"%s\" led_s=%.2f authority_left_s=%.3f",
                (unsigned long long)core->fencing_token, why, core->context.now - core->acquired_at,
                core->authority_until - core->context.now);
    core->role = TW_ROLE_FOLLOWER;
    core->context.term++;
    core->renewals_in_flight = 0;
    core->lease_id = 0;
    if (!strcmp(core->leader_name, core->context.config->host_name)) *core->leader_name = 0;
    tw_term_clear(core);
    core->watch_from_revision = 0;
    core->next_leader_read_at =
        core->context.now +
        core->leader_lease_s * tw_context_random(&core->context, RESIGNED_LEAST, RESIGNED_MOST);
}

/* Any sign of a later leader: from the state service, a peer or a worker. */
void tw_leader_observe_token(tw_core *core, uint64_t token, const char *leader) {
    if (token > core->highest_token_seen) core->highest_token_seen = token;
    if (leader && *leader && token >= core->leader_token) {
        core->leader_token = token;
        core->leader_seen_at = core->context.now;
        snprintf(core->leader_name, sizeof core->leader_name, "%s", leader);
    }
    if (core->role == TW_ROLE_LEADER && token > core->fencing_token)
        tw_leader_step_down(core, "a later leader exists");
}

/* Until when the lease, granted or renewed by a request sent then, gives authority. */
static double authority_end(const tw_core *core, double sent_at) {
    return sent_at + core->leader_lease_s * (1 - 2 * core->context.config->tune.drift) -
           core->leader_lease_s * AUTHORITY_MARGIN;
}

static void become_leader(tw_core *core, uint64_t token) {
    core->role = TW_ROLE_LEADER;
    core->context.term++;
    core->fencing_token = token;
    core->acquired_at = core->context.now;
    core->authority_until = authority_end(core, core->lease_requested_at);
    core->next_renewal_at = core->context.now;
    core->renewals_in_flight = 0;
    core->peers_confirmed_at = core->peer_count ? 0 : core->context.now;
    for (size_t i = 0; i < core->peer_count; i++) {
        core->peers[i].next_heartbeat_at = core->context.now;
        core->peers[i].cancellations_known = core->peers[i].cancellations_told = 0;
        core->peers[i].delegation_until =
            0; /* given by us in an earlier term: under an older token */
    }
    tw_leader_observe_token(core, token, core->context.config->host_name);
    tw_log_info("event=leader_elected token=%llu authority_s=%.3f renewal_limit_s=%.2f",
                (unsigned long long)token, core->authority_until - core->context.now,
                tw_renewal_without_authority_s(core));
    tw_failover_begin(core);
}

/* ---- following the leader's key ---- */

static void read_leader_key(tw_core *core) {
    core->leader_read_in_flight = true;
    tw_call_send(&core->context, TW_CALL_READ_LEADER, TW_TO_STATE, core->context.config->state,
                 "GET", "/kv/" TW_LEADER_KEY, NULL,
                 fmax(1, core->leader_lease_s * ELECTION_TIMEOUT));
}

/* A watch instead of many polls: the state service's limit is for all nodes together, and the end
 * of the leader's key is told at once. Held for no more than a term, since its answer also shows
 * that the state service is there; longer only where the limit allows no watch a term. */
static void watch_leader_key(tw_core *core) {
    const double most_often = WATCH_SHARE * core->election_limiter.rate;
    const double hold = fmin(fmax(core->leader_lease_s, 1 / most_often), WATCH_MOST_S);
    char path[TW_PATH_SIZE];
    core->leader_read_in_flight = true;
    snprintf(path, sizeof path, "/follow?starts=" TW_LEADER_KEY "&since=%llu&holdMs=%d",
             (unsigned long long)core->watch_from_revision, (int)(hold * MS));
    tw_call_send(&core->context, TW_CALL_WATCH_LEADER, TW_TO_STATE, core->context.config->state,
                 "GET", path, NULL, hold + core->leader_lease_s * 0.5 + WATCH_ANSWER_S);
}

static void on_watch(tw_core *core, int status, const char *body, size_t len) {
    uint64_t revision;
    core->leader_read_in_flight = false;
    core->watch_from_revision = 0;
    if (status != TW_HTTP_OK || tw_wire_revision_parse(&revision, body, len)) {
        core->next_leader_read_at =
            core->context.now + core->leader_lease_s * tw_context_random(&core->context,
                                                                         WATCH_RETRY_LEAST,
                                                                         WATCH_RETRY_MOST);
    } else if (tw_wire_watch_has_changes(body, len)) {
        /* Not all followers at the same moment. */
        const double spread =
            fmax(core->leader_lease_s * CHANGED_SPREAD, request_round_s(core) * SPREAD_ROUNDS);
        core->next_leader_read_at =
            core->context.now + tw_context_random(&core->context, 0, spread);
    } else {
        core->watch_from_revision = revision;
        core->next_leader_read_at = core->context.now;
    }
}

/* ---- elections ---- */

static void start_election(tw_core *core) {
    char body[64];
    core->election_in_flight = true;
    core->lease_requested_at = core->context.now;
    snprintf(body, sizeof body, "{\"lifeMs\":%d}", (int)(core->leader_lease_s * MS));
    election_call(core, TW_CALL_GRANT_LEASE, "POST", "/grants", strdup(body),
                  core->leader_lease_s * ELECTION_TIMEOUT);
}

static void revoke_lease(tw_core *core, uint64_t lease_id) {
    char path[TW_PATH_SIZE];
    if (!lease_id) return;
    snprintf(path, sizeof path, "/grants/%llu", (unsigned long long)lease_id);
    election_call(core, TW_CALL_REVOKE_LEASE, "DELETE", path, NULL, DROP_TIMEOUT_S);
}

/* The key names a leader, at its revision. */
static void note_leader_key(tw_core *core, const tw_wire_entry *entry, const char *leader) {
    tw_leader_observe_token(core, entry->mod_revision, leader);
    /* Our own name while we don't lead: an earlier life of this node, or an acquisition whose
     * answer was lost. Nobody acts on it any more, so its lease is ended at once. */
    if (core->role == TW_ROLE_FOLLOWER && !core->election_in_flight &&
        !strcmp(leader, core->context.config->host_name)) {
        revoke_lease(core, entry->lease_id);
        *core->leader_name = 0;
        core->watch_from_revision = 0;
        core->next_leader_read_at = core->context.now + OWN_KEY_GONE_S;
    }
}

static void on_leader_key(tw_core *core, int status, const char *body, size_t len) {
    core->leader_read_in_flight = false;
    if (status == TW_HTTP_NOT_FOUND) {
        *core->leader_name = 0;
        if (core->role == TW_ROLE_FOLLOWER && !core->election_in_flight) start_election(core);
        return;
    }
    tw_wire_entry entry;
    if (status != TW_HTTP_OK || tw_wire_entry_parse(&entry, body, len)) return;
    core->watch_from_revision = entry.mod_revision;
    if (core->role == TW_ROLE_FOLLOWER) core->next_leader_read_at = core->context.now;
    cJSON *data = cJSON_Parse(entry.value);
    const cJSON *node = cJSON_GetObjectItemCaseSensitive(data, "node");
    if (cJSON_IsString(node) && strlen(node->valuestring) < TW_NAME_SIZE)
        note_leader_key(core, &entry, node->valuestring);
    cJSON_Delete(data);
    free(entry.value);
}

static void on_grant(tw_core *core, int status, const char *body, size_t len) {
    uint64_t lease_id;
    if (status != TW_HTTP_OK || tw_wire_lease_id_parse(&lease_id, body, len)) {
        core->election_in_flight = false;
        return;
    }
    core->lease_id = lease_id;
    char data[128];
    snprintf(data, sizeof data, "{\"node\":\"%s\"}", core->context.config->host_name);
    tw_wire_compare absent = {TW_LEADER_KEY, 0};
    tw_wire_write key = {TW_LEADER_KEY, data, lease_id};
    election_call(core, TW_CALL_ACQUIRE_LEADERSHIP, "POST", "/txn",
                  tw_wire_txn_text(&absent, 1, &key, 1), core->leader_lease_s * ELECTION_TIMEOUT);
}

static void on_acquire(tw_core *core, int status, const char *body, size_t len) {
    uint64_t revision;
    core->election_in_flight = false;
    if (status == TW_HTTP_OK && !tw_wire_revision_parse(&revision, body, len) &&
        core->context.now < core->lease_requested_at + core->leader_lease_s * ACQUIRED_LATEST) {
        become_leader(core, revision);
        return;
    }
    /* Lost, or unknown: giving the lease back undoes an acquisition that went through. */
    revoke_lease(core, core->lease_id);
    core->lease_id = 0;
    core->watch_from_revision = 0;
    core->next_leader_read_at =
        core->context.now +
        core->leader_lease_s * tw_context_random(&core->context, LOST_LEAST, LOST_MOST);
}

/* ---- the leader's lease ---- */

static void renew_lease(tw_core *core) {
    char path[TW_PATH_SIZE];
    snprintf(path, sizeof path, "/grants/%llu/renew", (unsigned long long)core->lease_id);
    core->renewals_in_flight++;
    core->renewal_sent_at = core->context.now;
    tw_call_send(&core->context, TW_CALL_RENEW_LEASE, TW_TO_STATE, core->context.config->state,
                 "POST", path, strdup("{}"), core->leader_lease_s * RENEW_TIMEOUT);
}

static void on_renew(tw_core *core, const tw_call *sent, int status) {
    if (sent->term != core->context.term || core->role != TW_ROLE_LEADER) return;
    if (core->renewals_in_flight) core->renewals_in_flight--;
    if (status == TW_HTTP_OK) {
        const double until = authority_end(core, sent->sent_at);
        if (core->context.now >= core->authority_until)
            tw_log_info("event=authority_regained token=%llu",
                        (unsigned long long)core->fencing_token);
        tw_log_debug("event=leader_lease_renewed token=%llu authority_s=%.3f",
                     (unsigned long long)core->fencing_token, until - core->context.now);
        if (until > core->authority_until) core->authority_until = until;
        core->next_renewal_at = sent->sent_at + core->leader_lease_s * RENEW_EVERY;
        core->scheduling_due = true;
    } else if (status == TW_HTTP_NOT_FOUND) {
        tw_leader_step_down(core, "lease lost");
    } else {
        core->next_renewal_at = core->context.now + fmax(core->leader_lease_s * RENEW_RETRY,
                                                         tw_rate_limited_wait_s(core, status));
    }
}

/* ---- inputs ---- */

static void note_store_answer(tw_core *core, int status) {
    if (status == TW_HTTP_OK || status == TW_HTTP_NOT_FOUND || status == TW_HTTP_CONFLICT)
        core->store_answered_at = core->context.now;
}

void tw_election_response(tw_core *core, tw_call *sent, int status, const char *body, size_t len) {
    if (sent->kind == TW_CALL_PEER_HEARTBEAT) {
        tw_peer_heartbeat_response(core, sent, status, body, len);
        return;
    }
    note_store_answer(core, status);
    switch (sent->kind) {
    case TW_CALL_READ_LEADER:
        on_leader_key(core, status, body, len);
        break;
    case TW_CALL_WATCH_LEADER:
        on_watch(core, status, body, len);
        break;
    case TW_CALL_GRANT_LEASE:
        on_grant(core, status, body, len);
        break;
    case TW_CALL_ACQUIRE_LEADERSHIP:
        on_acquire(core, status, body, len);
        break;
    case TW_CALL_RENEW_LEASE:
        on_renew(core, sent, status);
        return;
    default:
        break;
    }
    note_rate_limit(core, status);
}

static void leader_tick(tw_core *core) {
    const bool due = !core->renewals_in_flight && core->context.now >= core->next_renewal_at;
    /* A second one when the first is slow: the state service now and then takes long. */
    const bool slow =
        core->renewals_in_flight == 1 &&
        core->context.now >= core->renewal_sent_at + core->leader_lease_s * RENEW_SLOW;
    if (due || slow) renew_lease(core);
    if (core->context.now >= core->authority_until + tw_renewal_without_authority_s(core) ||
        (core->phase == TW_PHASE_LOADING && core->context.now >= core->authority_until))
        tw_leader_step_down(core, "no authority");
}

/* Followers watch the key; a leader without authority looks whether it was replaced. */
static void follower_tick(tw_core *core) {
    if (core->leader_read_in_flight || core->election_in_flight ||
        core->context.now < core->next_leader_read_at)
        return;
    if (!tw_rate_limiter_try_acquire(&core->election_limiter, core->context.now, 1)) return;
    core->next_leader_read_at =
        core->context.now +
        core->leader_lease_s * tw_context_random(&core->context, POLL_LEAST, POLL_MOST);
    if (core->watch_from_revision && core->role == TW_ROLE_FOLLOWER)
        watch_leader_key(core);
    else
        read_leader_key(core);
}

void tw_election_tick(tw_core *core) {
    if (core->role == TW_ROLE_LEADER) leader_tick(core);
    if (core->role == TW_ROLE_FOLLOWER || !tw_leader_has_authority(core)) follower_tick(core);
    tw_peer_heartbeat_tick(core);
}
