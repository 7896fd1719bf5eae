/* Forwards workers' heartbeats from a node that is not the leader to the leader, and the leader's
 * answers to the workers.
 *
 * If the leader can't be reached, this node answers as a lease delegate (delegate_reply.c). While
 * no leader is known, or this node is not a delegate yet, it holds the heartbeat for a short time.
 * A worker whose heartbeat is rejected tries the other nodes; if its zone is cut off from them,
 * each attempt takes 5 s, and its lease expires. A heartbeat is held for well under the 4 s for
 * which its worker waits for the answer. */
#include "core/workers.h"
#include <stdbool.h>

/* Timeout of a forwarded heartbeat, in seconds. It leaves this node time to become a delegate. */
#define FORWARD_TIMEOUT_S 1.0
/* Maximum total time for which a heartbeat is held, in seconds. */
#define MAX_HOLD_S 2.2
/* Interval between two retries of the held heartbeats, in seconds. */
#define RETRY_INTERVAL_S 0.2

/* Number of the node's sockets for each heartbeat that may be held. */
#define SOCKETS_PER_HELD_HEARTBEAT 2

/* Holds the heartbeat until the given time. Rejects it if that time has passed or too many
 * heartbeats are held. Takes ownership of body. */
static void hold_heartbeat(tw_core *core, uint64_t connection, const char *worker, char *body,
                           double hold_until) {
    if (core->context.now >= hold_until ||
        core->held_count >= core->context.config->sockets / SOCKETS_PER_HELD_HEARTBEAT) {
        tw_log_debug("event=heartbeat_rejected worker=%s", worker);
        tw_reply_error(&core->context, connection, TW_HTTP_UNAVAILABLE, 1, "no leader answers");
        free(body);
        return;
    }
    tw_held_heartbeat *held = tw_alloc(sizeof *held);
    held->connection = connection;
    snprintf(held->worker, sizeof held->worker, "%s", worker);
    held->body = body;
    held->hold_until = hold_until;
    DL_APPEND(core->held_heartbeats, held);
    core->held_count++;
}

/* Forwards the heartbeat to the leader. If that is not possible, answers it as a delegate or holds
 * it until the given time. Takes ownership of body. */
static void forward_or_hold(tw_core *core, uint64_t connection, const char *worker, char *body,
                            double hold_until) {
    const char *leader = tw_cluster_leader_addr(core->cluster);
    if (!leader) {
        hold_heartbeat(core, connection, worker, body, hold_until);
        return;
    }
    if (core->context.now >= core->forwarding_paused_until) {
        tw_call *call = tw_call_send(&core->context, TW_CALL_FORWARD_HEARTBEAT, TW_TO_PEER, leader,
                                     "POST", "/peer/hello", strdup(body), FORWARD_TIMEOUT_S);
        call->connection = connection;
        call->text = body;
        call->until = hold_until;
        snprintf(call->name, sizeof call->name, "%s", worker);
        return;
    }
    /* The heartbeat was parsed when it was received, so it is still in the cache unless it was held
     * for long. */
    const tw_wire_heartbeat *heartbeat =
        tw_wire_heartbeat_cache_read(core->heartbeat_cache, body, strlen(body));
    if (!heartbeat) {
        tw_reply_error(&core->context, connection, TW_HTTP_BAD_REQUEST, 0, "malformed report");
        free(body);
    } else if (tw_delegate_answer_heartbeat(core, connection, heartbeat)) {
        free(body);
    } else {
        hold_heartbeat(core, connection, worker, body, hold_until);
    }
}

/* Retries a heartbeat: answers it if this node may renew leases by now, and forwards or holds it
 * otherwise. Takes ownership of body. */
static void retry_heartbeat(tw_core *core, uint64_t connection, const char *worker, char *body,
                            double hold_until) {
    /* Without that permission tw_worker_heartbeat_receive would hold the heartbeat with a new time
     * limit, beyond the 4 s that the worker waits in total; forward_or_hold keeps the old limit. */
    if (!tw_cluster_may(core->cluster, TW_PERMISSION_RENEW)) {
        forward_or_hold(core, connection, worker, body, hold_until);
        return;
    }
    tw_worker_heartbeat_receive(core, connection, body, strlen(body), false);
    free(body);
}

void tw_held_heartbeats_tick(tw_core *core) {
    if (!core->held_heartbeats || core->context.now < core->next_held_retry_at) return;
    core->next_held_retry_at = core->context.now + RETRY_INTERVAL_S;
    tw_held_heartbeat *list = core->held_heartbeats, *held, *next;
    core->held_heartbeats = NULL;
    core->held_count = 0;
    DL_FOREACH_SAFE(list, held, next) {
        retry_heartbeat(core, held->connection, held->worker, held->body, held->hold_until);
        free(held);
    }
}

void tw_held_heartbeats_retry(tw_core *core) {
    core->next_held_retry_at = core->context.now;
    tw_held_heartbeats_tick(core);
}

/* Returns a copy of the text that is terminated by 0; the caller frees it. */
static char *copy_text(const char *text, size_t len) {
    char *copy = tw_alloc(len + 1);
    memcpy(copy, text, len);
    return copy;
}

/* Redirects the worker of a long heartbeat to the leader, if the leader answers. Returns false,
 * without an answer, if it was not redirected. */
static bool redirect_long_heartbeat(tw_core *core, uint64_t connection, const char *worker,
                                    size_t length) {
    return length > TW_LONG_HEARTBEAT_BYTES &&
           tw_cluster_leader_answers(core->cluster, FORWARD_TIMEOUT_S) &&
           tw_cluster_redirect_to_leader(core->cluster, connection, worker);
}

void tw_heartbeat_forward(tw_core *core, uint64_t connection, const tw_wire_heartbeat *heartbeat,
                          const char *body, size_t len) {
    if (redirect_long_heartbeat(core, connection, heartbeat->worker, len)) return;
    if (!strcmp(heartbeat->zone, core->context.config->location)) {
        if (tw_cluster_redirect_for_failover(core->cluster, connection, heartbeat->worker,
                                             heartbeat->zone))
            return;
    } else {
        if (tw_cluster_redirect_home(core->cluster, connection, heartbeat->worker, heartbeat->zone))
            return;
        /* If no node of the worker's zone can answer the heartbeat, the leader does: directly after
         * a redirect, or through this node if the worker returned here after such a redirect. */
        if (!tw_cluster_leader_addr(core->cluster)) {
            tw_reply_error(&core->context, connection, TW_HTTP_UNAVAILABLE, 1, "no leader");
            return;
        }
        if (!tw_cluster_zone_has_home(core->cluster, heartbeat->zone) &&
            tw_cluster_redirect_to_leader(core->cluster, connection, heartbeat->worker))
            return;
    }
    forward_or_hold(core, connection, heartbeat->worker, copy_text(body, len),
                    core->context.now + MAX_HOLD_S);
}

void tw_heartbeat_handle_forward_response(tw_core *core, tw_call *call, int status,
                                          const char *body, size_t len) {
    char *text = call->text;
    call->text = NULL;
    if (tw_cluster_is_leader(core->cluster)) { /* this node has become the leader */
        retry_heartbeat(core, call->connection, call->name, text, call->until);
    } else if (status == TW_HTTP_OK) {
        core->forwarding_paused_until = 0;
        tw_cluster_note_forwarded(core->cluster, call->name, call->sent_at);
        tw_reply(&core->context, call->connection, TW_HTTP_OK, 0, copy_text(body, len));
        free(text);
    } else if (status == TW_HTTP_NO_RESPONSE) {
        core->forwarding_paused_until = core->context.now + FORWARD_TIMEOUT_S;
        forward_or_hold(core, call->connection, call->name, text, call->until);
    } else {
        hold_heartbeat(core, call->connection, call->name, text, call->until);
    }
}

void tw_held_heartbeats_free(tw_core *core) {
    tw_held_heartbeat *held, *next;
    DL_FOREACH_SAFE(core->held_heartbeats, held, next) {
        free(held->body);
        free(held);
    }
    core->held_heartbeats = NULL;
    core->held_count = 0;
}
