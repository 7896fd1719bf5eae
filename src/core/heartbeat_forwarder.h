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
    char *body;   /* owned; ends with a 0 */
    double until; /* steady seconds: it is rejected after that */
    struct tw_held_heartbeat *prev, *next;
} tw_held_heartbeat;

/* ---- heartbeat_forwarder.c ---- */

/* Takes in a heartbeat at a node that does not lead. heartbeat: the body, read; neither is owned.
 */
void tw_heartbeat_forward(tw_core *core, uint64_t connection, const tw_wire_heartbeat *heartbeat,
                          const char *body, size_t len);
/* The leader's response to a forwarded heartbeat. status: of HTTP; 0: none came. body: not owned.
 * The text of `sent` is taken. */
void tw_heartbeat_forward_response(tw_core *core, tw_call *sent, int status, const char *body,
                                   size_t len);
/* Tries the held heartbeats again when that is due. */
void tw_held_heartbeats_tick(tw_core *core);
/* Tries them again at once, since somebody may be able to answer them now. */
void tw_held_heartbeats_retry(tw_core *core);
/* Frees the held heartbeats without an answer. */
void tw_held_heartbeats_free(tw_core *core);

/* ---- delegate_reply.c ---- */

/* Answers a heartbeat in the leader's place. false: this node may not; if the worker is of this
 * node's zone, the node asks to be a delegate. */
bool tw_delegate_answer_heartbeat(tw_core *core, uint64_t connection,
                                  const tw_wire_heartbeat *heartbeat);

#endif
