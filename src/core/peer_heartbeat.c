/* Heartbeats between nodes: what each knows, what it vouches for, and with a leader's answer the
 * grant to renew leases in its zone and the cancelled jobs that may still run. */
#include "core/cluster.h"
#include <stdbool.h>

/* Pause between two heartbeats to a peer, in leader's leases. */
#define PAUSE_LEAST 0.2
#define PAUSE_MOST 0.3
/* A peer counts as answering while its last answered heartbeat is at most this old. */
#define ANSWERS_S 1.0
#define ANSWERS_LEASES 0.5
#define TIMEOUT_S 1.0
/* A node without news for that many leader's leases, and a second, is cut off. */
#define ISOLATED_LEASES 2.0
/* Most bytes of a request's body, and those of them that everything but the ids takes. */
#define BODY_MOST (64 * 1024)
#define BODY_REST 1024
/* Ids in a heartbeat: a request's body must hold them. With more of them no grant is given. */
#define MAX_ABORTED ((BODY_MOST - BODY_REST) / (TW_WIRE_ID_SIZE + 3))

tw_peer *tw_peer_find(tw_core *core, const char *name) {
    for (size_t i = 0; i < core->peer_count; i++)
        if (!strcmp(core->peers[i].config.name, name)) return &core->peers[i];
    return NULL;
}

bool tw_peers_all_read_chunks(const tw_core *core) {
    for (size_t i = 0; i < core->peer_count; i++)
        if (core->peers[i].record_format < TW_RECORD_FORMAT_CHUNKED) return false;
    return true;
}

bool tw_peers_any_lacks_chunks(const tw_core *core) {
    for (size_t i = 0; i < core->peer_count; i++)
        if (core->peers[i].record_format == TW_RECORD_FORMAT_WHOLE) return true;
    return false;
}

bool tw_node_is_isolated(const tw_core *core) {
    const double since = core->context.now - ISOLATED_LEASES * core->leader_lease_s - 1;
    if (core->store_answered_at > since) return false;
    for (size_t i = 0; i < core->peer_count; i++)
        if (core->peers[i].answered_at > since) return false;
    return true;
}

/* A heartbeat sent earlier than this, answered, says nothing of whether the peer answers now. */
static double answers_since(const tw_core *core) {
    return core->context.now - ANSWERS_S - ANSWERS_LEASES * core->leader_lease_s;
}

/* Cancelled jobs of which something may still run: whoever answers workers must stop it. Returns
 * how many there are; `ids` holds the first MAX_ABORTED of them. */
static int list_cancelled_running(const tw_core *core, const char **ids) {
    const tw_job *cancelled;
    int count = 0;
    DL_FOREACH2(core->cancelled_jobs, cancelled, cancelled_next) {
        if ((cancelled->state != TW_JOB_CANCELLED && !cancelled->cancelling) ||
            !cancelled->placements)
            continue;
        if (count < MAX_ABORTED) ids[count] = cancelled->id;
        count++;
    }
    return count;
}

/* What this node says of itself to another; aborted: room for the ids a leader sends along. */
static tw_wire_peer_heartbeat describe_self(const tw_core *core, const char **cancelled,
                                            int *count) {
    tw_wire_peer_heartbeat message = {
        .highest_token = core->highest_token_seen,
        .store_reachable = core->context.now - core->store_answered_at < 2 * core->leader_lease_s,
        .uptime_s = core->context.now - core->started_at,
        .since_delegate_answer_s =
            core->context.now - fmax(core->started_at, core->delegate_answered_at),
        .is_leader = tw_leader_may(core, TW_PERMISSION_COMMAND),
        .record_format = TW_RECORD_FORMAT_CHUNKED};
    snprintf(message.name, sizeof message.name, "%s", core->context.config->host_name);
    if (message.is_leader)
        snprintf(message.leader, sizeof message.leader, "%s", core->context.config->host_name);
    *count = message.is_leader ? list_cancelled_running(core, cancelled) : 0;
    return message;
}

static void send_heartbeat(tw_core *core, tw_peer *to) {
    const char *ids[MAX_ABORTED];
    int count;
    tw_wire_peer_heartbeat message = describe_self(core, ids, &count);
    const bool all_named = count <= MAX_ABORTED;
    to->heartbeats_in_flight++;
    tw_call *sent = tw_call_send(
        &core->context, TW_CALL_PEER_HEARTBEAT, TW_TO_PEER, to->config.addr, "POST", "/peer/ping",
        tw_wire_peer_heartbeat_text(&message, ids, all_named ? count : 0), TIMEOUT_S);
    snprintf(sent->name, sizeof sent->name, "%s", to->config.name);
    sent->sequence = all_named ? core->cancellation_sequence : 0;
}

/* ---- cancelling ---- */

/* Whether a peer that may answer a machine without us for longer than a cancellation leaves time
 * for does not know yet that the job is cancelled. */
static bool must_know_cancellation(const tw_peer *node, const tw_machine *where,
                                   const tw_job *cancelled, double limit) {
    return node->delegation_until > limit &&
           node->cancellations_known < cancelled->cancellation_sequence &&
           (!*where->zone || !strcmp(where->zone, node->config.zone));
}

/* Whether all that may answer the job's machines without us, for longer than a cancellation leaves
 * time for, know that it is cancelled. 0 asks them; -1: some can't be asked now. */
int tw_cancellation_safety(tw_core *core, const tw_job *cancelled, int rental_request) {
    const double limit = core->context.now + tw_renewal_if_superseded_s(core);
    const tw_placement *task;
    bool safe = true;
    DL_FOREACH2(cancelled->placements, task, job_next) {
        const tw_machine *where = task->machine;
        if (!task->launch_sent && !task->inherited && !task->direct_launches) continue;
        if (!where->confirmed && tw_predecessor_renewals_end(core) > limit) return -1;
        for (size_t i = 0; i < core->peer_count; i++) {
            tw_peer *node = &core->peers[i];
            if (!must_know_cancellation(node, where, cancelled, limit)) continue;
            safe = false;
            if (node->answered_at < answers_since(core)) return -1;
            if (!rental_request || node->cancellations_told >= cancelled->cancellation_sequence)
                continue;
            node->cancellations_told = cancelled->cancellation_sequence;
            send_heartbeat(core, node);
        }
    }
    return safe;
}

/* ---- hearing from a peer ---- */

static void note_peer(tw_core *core, tw_peer *from, const tw_wire_peer_heartbeat *message) {
    if (message->highest_token > from->highest_token) from->highest_token = message->highest_token;
    from->store_reachable = message->store_reachable;
    from->record_format = message->record_format;
    tw_leader_observe_token(core, message->highest_token,
                            message->is_leader ? message->name : NULL);
    if (core->role != TW_ROLE_LEADER || core->peers_confirmed_at > 0) return;
    for (size_t i = 0; i < core->peer_count; i++)
        if (core->peers[i].highest_token < core->fencing_token) return;
    core->peers_confirmed_at = core->context.now;
    tw_log_info("event=peers_confirmed token=%llu", (unsigned long long)core->fencing_token);
}

void tw_peer_heartbeat_receive(tw_core *core, uint64_t connection, const char *body, size_t len) {
    tw_wire_peer_heartbeat message;
    if (tw_wire_peer_heartbeat_parse(&message, body, len)) {
        tw_reply_error(&core->context, connection, TW_HTTP_BAD_REQUEST, 0, "malformed ping");
        return;
    }
    tw_peer *from = tw_peer_find(core, message.name);
    if (from) note_peer(core, from, &message);
    if (from && message.is_leader)
        tw_delegate_note_cancelled(core, message.highest_token, body, len);
    /* With this answer it may renew leases in its zone for a while, should it lose us. */
    const char *ids[MAX_ABORTED];
    int count;
    tw_wire_peer_heartbeat answer = describe_self(core, ids, &count);
    if (count > MAX_ABORTED) {
        tw_log_info("event=delegation_withheld cancelled=%d", count);
        answer.is_leader = false;
        count = 0;
    }
    if (from && answer.is_leader)
        from->delegation_until = core->context.now + tw_renewal_without_contact_s(core) *
                                                         (1 + 2 * core->context.config->tune.drift);
    tw_reply(&core->context, connection, TW_HTTP_OK, 0,
             tw_wire_peer_heartbeat_text(&answer, ids, count));
}

/* A peer answered a ping and knows of no token later than ours: it has not led until the ping was
 * sent, unless it started anew since it last vouched. Nobody else can lead while we have authority,
 * so a peer that was up before our authority ended counts as having vouched until then: a leader
 * that loses the state service early in its first term is vouched for, too. */
static void note_vouching(tw_core *core, tw_peer *from, const tw_call *sent,
                          const tw_wire_peer_heartbeat *answer) {
    double known = from->vouched_at;
    if (core->role == TW_ROLE_LEADER) known = fmax(known, core->authority_until);
    const double started_by =
        core->context.now - answer->uptime_s * (1 - 2 * core->context.config->tune.drift);
    if (tw_leader_has_authority(core) || started_by <= known)
        from->vouched_at = fmax(from->vouched_at, sent->sent_at);
}

void tw_peer_heartbeat_response(tw_core *core, const tw_call *sent, int status, const char *body,
                                size_t len) {
    tw_peer *from = tw_peer_find(core, sent->name);
    tw_wire_peer_heartbeat answer;
    if (!from) return;
    if (from->heartbeats_in_flight) from->heartbeats_in_flight--;
    if (status != TW_HTTP_OK || tw_wire_peer_heartbeat_parse(&answer, body, len)) return;
    note_vouching(core, from, sent, &answer);
    if (from->answered_at < sent->sent_at - ANSWERS_S - ANSWERS_LEASES * core->leader_lease_s)
        from->back_at = core->context.now;
    from->answered_at = sent->sent_at;
    /* Said after the ping was sent; a late copy of a request would not tell when. */
    from->delegate_answered_at = core->context.now - answer.since_delegate_answer_s;
    from->delegate_answered_as_of = sent->sent_at;
    note_peer(core, from, &answer);
    if (answer.highest_token == core->fencing_token && sent->term == core->context.term &&
        sent->sequence > from->cancellations_known) {
        from->cancellations_known = sent->sequence;
        core->next_job_sweep_at = core->context.now;
    }
    if (answer.is_leader) tw_delegate_granted(core, sent->sent_at, answer.highest_token, body, len);
}

void tw_peer_heartbeat_tick(tw_core *core) {
    for (size_t i = 0; i < core->peer_count; i++) {
        tw_peer *to = &core->peers[i];
        if (to->heartbeats_in_flight || core->context.now < to->next_heartbeat_at) continue;
        to->next_heartbeat_at =
            core->context.now +
            core->leader_lease_s * tw_context_random(&core->context, PAUSE_LEAST, PAUSE_MOST);
        send_heartbeat(core, to);
    }
}
