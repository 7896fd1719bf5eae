/* Workers' heartbeats at a node that does not lead: they are forwarded to the leader, answered by
 * this node as a lease delegate (delegate_reply.c), or held for a while (heartbeat_forwarder.c).
 * Invariant: a heartbeat is answered once, and a held one before its worker gives up. */
#ifndef TW_CORE_HEARTBEAT_FORWARDER_H
#define TW_CORE_HEARTBEAT_FORWARDER_H
#include "context/context.h"
#include "core/core.h"
#include "wire/wire.h"
#include <stdbool.h>

/* A worker's heartbeat that waits for a leader. */
typedef struct tw_held_heartbeat {
    uint64_t connection;
    char worker[TW_NAME_SIZE];
    char *body;   /* owned */
    double until; /* it is turned away after that */
    struct tw_held_heartbeat *prev, *next;
} tw_held_heartbeat;

/* heartbeat_forwarder.c */
/* A heartbeat at a node that does not lead. */
void tw_heartbeat_forward(tw_core *core, uint64_t connection, const tw_wire_heartbeat *heartbeat,
                          const char *body, size_t len);
/* The leader answered a heartbeat that was forwarded to it. */
void tw_heartbeat_forward_response(tw_core *core, tw_call *sent, int status, const char *body,
                                   size_t len);
/* Tries the held heartbeats again when that is due; at once. */
void tw_held_heartbeats_tick(tw_core *core);
void tw_held_heartbeats_retry(tw_core *core);
void tw_held_heartbeats_free(tw_core *core);

/* delegate_reply.c */
/* Answers a heartbeat in the leader's place, if this node is entitled to. false: it is not; where
 * the worker is of this node's zone, it asks to be. */
bool tw_delegate_answer_heartbeat(tw_core *core, uint64_t connection,
                                  const tw_wire_heartbeat *heartbeat);

#endif
