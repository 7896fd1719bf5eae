/* Processing of workers' heartbeats by a node that is not the leader. The node forwards a heartbeat
 * to the leader, answers it as a lease delegate (delegate_reply.c), or holds it for a short time
 * (heartbeat_forwarder.c). Invariant: each heartbeat is answered once, and a held heartbeat is
 * answered before its worker's request times out. */
#ifndef TW_CORE_HEARTBEAT_FORWARDER_H
#define TW_CORE_HEARTBEAT_FORWARDER_H
#include "context/context.h"
#include "core/core.h"
#include "wire/wire.h"
#include <stdbool.h>

/* A worker's heartbeat that is held until a leader or this node can answer it. */
typedef struct tw_held_heartbeat {
    uint64_t connection;
    char worker[TW_NAME_SIZE];
    char *body;        /* owned; terminated by 0 */
    double hold_until; /* when the heartbeat is rejected, in steady seconds */
    struct tw_held_heartbeat *prev, *next;
} tw_held_heartbeat;

/* ---- heartbeat_forwarder.c ---- */

/* Redirects, forwards, answers or holds a heartbeat at a node that is not the leader. heartbeat is
 * the parsed body; neither is owned. */
void tw_heartbeat_forward(tw_core *core, uint64_t connection, const tw_wire_heartbeat *heartbeat,
                          const char *body, size_t len);
/* Processes the leader's response to a forwarded heartbeat. status is the HTTP status, or 0 if the
 * leader did not respond. body is not owned. Takes ownership of the text of `call`. */
void tw_heartbeat_handle_forward_response(tw_core *core, tw_call *call, int status,
                                          const char *body, size_t len);
/* Retries the held heartbeats if the interval between two retries is over. */
void tw_held_heartbeats_tick(tw_core *core);
/* Retries the held heartbeats immediately, because the leader or this node may now be able to
 * answer them. */
void tw_held_heartbeats_retry(tw_core *core);
/* Frees the held heartbeats without answering them. */
void tw_held_heartbeats_free(tw_core *core);

/* ---- delegate_reply.c ---- */

/* Answers a heartbeat as a lease delegate. Returns false if this node has no delegation that allows
 * it; if the worker is in this node's zone, the node then requests a delegation. */
bool tw_delegate_answer_heartbeat(tw_core *core, uint64_t connection,
                                  const tw_wire_heartbeat *heartbeat);

#endif
