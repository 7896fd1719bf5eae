/* Calls one daemon, or finds and calls the leader among several, within a time limit. */
#ifndef TW_CTL_CLIENT_H
#define TW_CTL_CLIENT_H
#include "rpc/rpc.h"

#define MAX_SERVERS 16

typedef struct {
    char addresses[MAX_SERVERS][TW_RPC_ADDRESS_SIZE];
    int count;
    double timeout_s; /* time limit of a whole command */
} tw_ctl_servers;

/* Adds addresses from a comma-separated list. Returns 0, or -1 if an address is empty or too long,
 * or if there are more than MAX_SERVERS. */
int tw_ctl_add_servers(tw_ctl_servers *servers, const char *text);
/* Calls the daemon at this address. The caller frees what the answer owns with
 * tw_rpc_answer_free. */
tw_rpc_status tw_ctl_call_server(const tw_ctl_servers *servers, const char *address,
                                 const tw_rpc_call *call, tw_rpc_answer *answer);
/* Calls daemons until the leader has answered, all are unreachable, or the time limit has passed.
 * Returns the status of the last call and sets `server` to the address that was called last. */
tw_rpc_status tw_ctl_call_leader(const tw_ctl_servers *servers, const tw_rpc_call *call,
                                 tw_rpc_answer *answer, char server[TW_RPC_ADDRESS_SIZE]);

#endif
