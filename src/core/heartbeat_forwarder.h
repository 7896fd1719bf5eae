/* What the modules of reports at a node that does not lead share: redirects (worker_routing.c),
 * deputies (lease_delegate.c), reports handed to the leader (heartbeat_forwarder.c), deputies as
 * the leader knows them (delegate_registry.c). Not for the rest of the core. */
#ifndef TW_CORE_RELAY_H
#define TW_CORE_RELAY_H
#include "core/core_int.h"
#include <stdbool.h>

/* worker_routing.c */
/* Names the node that a worker should report to, unless it comes back from there: 0, it is to be
 * answered here. */
bool tw_worker_redirect_to(tw_core *core, uint64_t connection, const char *worker, tw_peer *to);

/* lease_delegate.c */
/* Writes the key of the node as a deputy. */
void tw_delegate_key(char *key, const char *node);
/* The leader answered the worker through this node, to a report sent to it at that time. */
void tw_delegate_note_forwarded(tw_core *core, const char *worker, double at);
/* Whether this node may answer the worker in the leader's place. */
bool tw_delegate_is_entitled(tw_core *core, const char *worker, const char *zone);
/* Answers a report in the leader's place, if this node is entitled to; 0: it is not, and asks to be
 * where the worker is of its zone. */
bool tw_delegate_answer_heartbeat(tw_core *core, uint64_t connection,
                                  const tw_wire_heartbeat *heartbeat);

/* heartbeat_forwarder.c */
/* Tries all held reports again at once. */
void tw_held_heartbeats_retry(tw_core *core);

#endif
