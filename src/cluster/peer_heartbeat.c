/* Heartbeats between nodes. A heartbeat and its answer carry the state of their senders. The answer
 * of a leader delegates the renewal of leases in a zone to the node that sent the heartbeat, for
 * the case that it can no longer reach the leader, and names the cancelled jobs that may still run.
 * An answer without a higher token shows that its sender has not led. */
#include "cluster/cluster_int.h"

/* Range of the pause between two heartbeats to a peer, as shares of the leader's lease. */
#define HEARTBEAT_PAUSE_MIN 0.2
#define HEARTBEAT_PAUSE_MAX 0.3
/* A peer counts as answering if the last heartbeat that it answered was sent at most this many
 * seconds plus this many leases of the leader ago. */
#define MAX_ANSWER_AGE_S 1.0
#define MAX_ANSWER_AGE_LEASES 0.5
#define TIMEOUT_S 1.0
/* A node is isolated if it gets no answer for this many leases of the leader plus one second. */
#define ISOLATED_LEASES 2.0
/* Maximum size of the body of a request, and of its part without the ids of cancelled jobs. */
#define MAX_HEARTBEAT_BODY_BYTES (64 * 1024)
#define BODY_FRAME_BYTES 1024
/* Maximum number of ids that fit into a heartbeat. A leader with more cancelled jobs does not
 * delegate. */
#define MAX_CANCELLED ((MAX_HEARTBEAT_BODY_BYTES - BODY_FRAME_BYTES) / (TW_WIRE_ID_SIZE + 3))

tw_peer *tw_cluster_find_peer(const tw_cluster *cluster, const char *name) {
    for (size_t i = 0; i < cluster->peer_count; i++)
        if (!strcmp(cluster->peers[i].config.name, name)) return &cluster->peers[i];
    return NULL;
}

bool tw_cluster_is_isolated(const tw_cluster *cluster) {
    const double since = cluster->context->now - ISOLATED_LEASES * cluster->lease_s - 1;
    if (cluster->store_answered_at > since) return false;
    for (size_t i = 0; i < cluster->peer_count; i++)
        if (cluster->peers[i].answered_at > since) return false;
    return true;
}

bool tw_cluster_peer_answers(const tw_cluster *cluster, const tw_peer *peer) {
    return peer->answered_at >=
           cluster->context->now - MAX_ANSWER_AGE_S - MAX_ANSWER_AGE_LEASES * cluster->lease_s;
}

/* Returns a heartbeat or an answer with the state of this node. If this node may command, fills in
 * the ids of cancelled jobs in `cancelled`, an array of MAX_CANCELLED; *count is the number of such
 * jobs, which may be greater than MAX_CANCELLED. */
static tw_wire_peer_heartbeat describe_self(const tw_cluster *cluster, const char **cancelled,
                                            int *count) {
    tw_wire_peer_heartbeat message = {
        .highest_token = cluster->highest_token,
        .store_reachable =
            cluster->context->now - cluster->store_answered_at < 2 * cluster->lease_s,
        .uptime_s = cluster->context->now - cluster->started_at,
        .since_delegate_answer_s =
            cluster->context->now - fmax(cluster->started_at, cluster->delegate_answered_at),
        .is_leader = tw_cluster_may(cluster, TW_PERMISSION_COMMAND),
        .record_format = TW_RECORD_FORMAT_CHUNKED};
    snprintf(message.name, sizeof message.name, "%s", cluster->context->config->host_name);
    if (message.is_leader)
        snprintf(message.leader, sizeof message.leader, "%s", cluster->context->config->host_name);
    *count = message.is_leader
                 ? cluster->owner.list_cancelled(cluster->owner.owner, cancelled, MAX_CANCELLED)
                 : 0;
    return message;
}

static void send_heartbeat(tw_cluster *cluster, tw_peer *to) {
    const char *ids[MAX_CANCELLED];
    int count;
    tw_wire_peer_heartbeat message = describe_self(cluster, ids, &count);
    const bool all_named = count <= MAX_CANCELLED;
    to->heartbeats_in_flight++;
    tw_call *sent = tw_call_send(
        cluster->context, TW_CALL_PEER_HEARTBEAT, TW_TO_PEER, to->config.addr, "POST", "/peer/ping",
        tw_wire_peer_heartbeat_text(&message, ids, all_named ? count : 0), TIMEOUT_S);
    snprintf(sent->name, sizeof sent->name, "%s", to->config.name);
    sent->sequence = all_named ? cluster->cancellation_sequence : 0;
}

/* ---- cancellations ---- */

/* Returns whether the peer has not acknowledged the cancellation, although it may answer workers of
 * the zone without the leader until after `limit`, for longer than a cancellation permits. */
static bool lacks_cancellation(const tw_peer *peer, const char *zone, uint64_t number,
                               double limit) {
    return peer->delegation_until > limit && peer->cancellations_acknowledged < number &&
           (!*zone || !strcmp(zone, peer->config.zone));
}

uint64_t tw_cluster_next_cancellation(tw_cluster *cluster) {
    return ++cluster->cancellation_sequence;
}

tw_cancellation_safety tw_cluster_cancellation_safety(tw_cluster *cluster, const char *zone,
                                                      uint64_t number, bool send_now) {
    const double limit = cluster->context->now + tw_cluster_renewal_if_superseded_s(cluster);
    tw_cancellation_safety safety = TW_CANCELLATION_SAFE;
    for (size_t i = 0; i < cluster->peer_count; i++) {
        tw_peer *peer = &cluster->peers[i];
        if (!lacks_cancellation(peer, zone, number, limit)) continue;
        safety = TW_CANCELLATION_PENDING;
        if (!tw_cluster_peer_answers(cluster, peer)) return TW_CANCELLATION_UNREACHABLE;
        if (!send_now || peer->cancellations_sent >= number) continue;
        peer->cancellations_sent = number;
        send_heartbeat(cluster, peer);
    }
    return safety;
}

/* ---- messages of peers ---- */

static void note_peer(tw_cluster *cluster, tw_peer *from, const tw_wire_peer_heartbeat *message) {
    if (message->highest_token > from->highest_token) from->highest_token = message->highest_token;
    from->store_reachable = message->store_reachable;
    tw_cluster_note_peer_format(cluster, from, message->record_format);
    tw_cluster_observe_token(cluster, message->highest_token,
                             message->is_leader ? message->name : NULL);
    if (cluster->role != TW_ROLE_LEADER || cluster->peers_confirmed_at > 0) return;
    for (size_t i = 0; i < cluster->peer_count; i++)
        if (cluster->peers[i].highest_token < cluster->token) return;
    cluster->peers_confirmed_at = cluster->context->now;
    tw_log_info("event=peers_confirmed token=%llu", (unsigned long long)cluster->token);
}

void tw_cluster_receive_heartbeat(tw_cluster *cluster, uint64_t connection, const char *body,
                                  size_t len) {
    tw_wire_peer_heartbeat message;
    if (tw_wire_peer_heartbeat_parse(&message, body, len)) {
        tw_reply_error(cluster->context, connection, TW_HTTP_BAD_REQUEST, 0, "malformed ping");
        return;
    }
    tw_peer *from = tw_cluster_find_peer(cluster, message.name);
    if (from) note_peer(cluster, from, &message);
    if (from && message.is_leader)
        tw_cluster_note_cancelled(cluster, message.highest_token, body, len);
    /* The answer of a leader permits the peer to renew leases in its zone for a limited time if it
     * can't reach this node any more. */
    const char *ids[MAX_CANCELLED];
    int count;
    tw_wire_peer_heartbeat answer = describe_self(cluster, ids, &count);
    if (count > MAX_CANCELLED) {
        tw_log_info("event=delegation_withheld cancelled=%d", count);
        answer.is_leader = false;
        count = 0;
    }
    if (from && answer.is_leader)
        from->delegation_until =
            cluster->context->now + tw_cluster_renewal_without_contact_s(cluster) *
                                        (1 + 2 * cluster->context->config->tune.drift);
    tw_reply(cluster->context, connection, TW_HTTP_OK, 0,
             tw_wire_peer_heartbeat_text(&answer, ids, count));
}

/* Updates not_leading_until of the peer by its answer to a heartbeat. A peer that knows of no
 * higher token than this node's had not led when the heartbeat was sent, unless its process started
 * after the last such answer: an earlier process of the peer may have led. No other node can lead
 * while this node has authority, so it suffices that the peer's process started before authority
 * ended. This covers a leader that loses the state service early in its first term. */
static void note_not_leading(tw_cluster *cluster, tw_peer *from, const tw_call *sent,
                             const tw_wire_peer_heartbeat *answer) {
    double known_until = from->not_leading_until;
    if (cluster->role == TW_ROLE_LEADER) known_until = fmax(known_until, cluster->authority_until);
    const double started_by =
        cluster->context->now - answer->uptime_s * (1 - 2 * cluster->context->config->tune.drift);
    if (tw_cluster_has_authority(cluster) || started_by <= known_until)
        from->not_leading_until = fmax(from->not_leading_until, sent->sent_at);
}

void tw_cluster_heartbeat_response(tw_cluster *cluster, const tw_call *sent, int status,
                                   const char *body, size_t len) {
    tw_peer *from = tw_cluster_find_peer(cluster, sent->name);
    tw_wire_peer_heartbeat answer;
    if (!from) return;
    if (from->heartbeats_in_flight) from->heartbeats_in_flight--;
    if (status != TW_HTTP_OK || tw_wire_peer_heartbeat_parse(&answer, body, len)) return;
    note_not_leading(cluster, from, sent, &answer);
    if (from->answered_at <
        sent->sent_at - MAX_ANSWER_AGE_S - MAX_ANSWER_AGE_LEASES * cluster->lease_s)
        from->reachable_since = cluster->context->now;
    from->answered_at = sent->sent_at;
    /* The peer made this report after the heartbeat was sent. A report in a heartbeat of the peer
     * itself gives no such bound, since the heartbeat may be delayed. */
    from->delegate_answered_at = cluster->context->now - answer.since_delegate_answer_s;
    from->delegate_answered_as_of = sent->sent_at;
    note_peer(cluster, from, &answer);
    if (answer.highest_token == cluster->token && sent->term == cluster->context->term &&
        sent->sequence > from->cancellations_acknowledged) {
        from->cancellations_acknowledged = sent->sequence;
        cluster->owner.cancellations_acknowledged(cluster->owner.owner);
    }
    if (answer.is_leader)
        tw_cluster_delegation_granted(cluster, sent->sent_at, answer.highest_token, body, len);
}

void tw_cluster_heartbeat_tick(tw_cluster *cluster) {
    for (size_t i = 0; i < cluster->peer_count; i++) {
        tw_peer *to = &cluster->peers[i];
        if (to->heartbeats_in_flight || cluster->context->now < to->next_heartbeat_at) continue;
        to->next_heartbeat_at =
            cluster->context->now + cluster->lease_s * tw_context_random(cluster->context,
                                                                         HEARTBEAT_PAUSE_MIN,
                                                                         HEARTBEAT_PAUSE_MAX);
        send_heartbeat(cluster, to);
    }
}
