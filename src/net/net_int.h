/* What the server and the client of the net package share. Not for other packages. */
#ifndef TW_NET_INT_H
#define TW_NET_INT_H
#include "net/net.h"

/* Longest path of a request. */
#define TW_NET_MAX_PATH 1024
/* Bytes read from a socket at once. */
#define TW_NET_READ_SIZE 65536

struct tw_server_connection;
struct tw_server_listener;
struct tw_client_host;

/* Owned by server.c: connections that others opened. */
typedef struct {
    struct tw_server_connection *connections; /* by id */
    struct tw_server_connection *evictable;   /* idle ones, the longest idle first */
    struct tw_server_listener *listeners;
    int count;
    uint64_t last_id;
} tw_net_server;

/* Owned by client.c: connections that this process opened, by address. */
typedef struct {
    struct tw_client_host *hosts;  /* by address */
    int count;                     /* connections to all of them */
    unsigned host_sweep_threshold; /* with more hosts, those that are not in use are looked for */
} tw_net_client;

struct tw_net {
    struct ev_loop *loop;
    tw_net_limits limits;
    tw_net_handler handler;
    void *context;
    tw_net_server server;
    tw_net_client client;
    /* Room for TW_NET_READ_SIZE bytes, used by whichever connection is read from within one event
     * of the loop. What it can't use at once it copies. */
    char *read_buffer;
};

/* Close all connections of the server, and of the client. */
void tw_net_server_free(tw_net *net);
void tw_net_client_free(tw_net *net);
/* Zeroed memory, which the caller frees; ends the program if there is none. */
void *tw_net_alloc(size_t size);

#endif
