/* Finds the daemon that leads among those that were named, within one time limit. */
#ifndef TW_CTL_CLIENT_H
#define TW_CTL_CLIENT_H
#include "rpc/rpc.h"

#define MAX_SERVERS 16

typedef struct {
    char addresses[MAX_SERVERS][TW_RPC_ADDRESS];
    int count;
    double timeout_s; /* of a whole command */
} tw_ctl_servers;

/* Adds addresses, several with commas between; -1: too many, or too long. */
int tw_ctl_add_servers(tw_ctl_servers *servers, const char *text);
/* Asks this daemon only. */
tw_rpc_status tw_ctl_call_server(const tw_ctl_servers *servers, const char *address,
                                 const tw_rpc_call *call, tw_rpc_answer *answer);
/* Asks until a daemon that leads has answered, or the time is over; *asked: who answered last. */
tw_rpc_status tw_ctl_call_leader(const tw_ctl_servers *servers, const tw_rpc_call *call,
                                 tw_rpc_answer *answer, char server[TW_RPC_ADDRESS]);

#endif
