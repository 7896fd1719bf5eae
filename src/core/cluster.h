/* What the modules of the cluster share: who leads (election.c), who may command and answer workers
 * until when (authority.c), heartbeats between nodes (peer_heartbeat.c). Not for other packages. */
#ifndef TW_CORE_CLUSTER_H
#define TW_CORE_CLUSTER_H
#include "core/core_int.h"

/* Room for the path of a request to the state service that holds a few numbers. */
#define TW_PATH_SIZE 160

/* For how long at most, after the end of its authority, a leader renews workers' leases. */
double tw_renewal_without_authority_s(const tw_core *core);
void tw_peer_heartbeat_response(tw_core *core, const tw_call *sent, int status, const char *body,
                                size_t len);
void tw_peer_heartbeat_tick(tw_core *core);

#endif
