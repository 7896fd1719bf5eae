/* Types and functions shared by the server and the client. Internal to the net package. */
#ifndef TW_NET_INT_H
#define TW_NET_INT_H
#include "net/net.h"

/* Longest path of a request, in bytes. */
#define TW_NET_MAX_PATH 1024
/* Most bytes requested by one read from a socket. */
#define TW_NET_READ_SIZE 65536

struct tw_server_connection;
struct tw_server_listener;
struct tw_client_host;

/* State of the server: accepted connections and listeners. Private to server.c. */
typedef struct {
    struct tw_server_connection *connections; /* hash table by id */
    /* Idle connections without priority, longest idle first. */
    struct tw_server_connection *evictable;
    struct tw_server_listener *listeners;
    int count;
    uint64_t last_id;
} tw_net_server;

/* State of the client: connection pools by address. Private to client.c. */
typedef struct {
    struct tw_client_host *hosts; /* hash table by address */
    int count;                    /* number of connections to all hosts */
    /* Unused hosts are removed when the number of hosts exceeds this threshold. */
    unsigned host_sweep_threshold;
} tw_net_client;

struct tw_net {
    struct ev_loop *loop;
    tw_net_limits limits;
    tw_net_handler handler;
    void *context;
    tw_net_server server;
    tw_net_client client;
    /* TW_NET_READ_SIZE bytes, shared by all connections. The contents are valid only within one
     * event of the loop; a connection copies the bytes that it cannot process in that event. */
    char *read_buffer;
};

/* Closes the listeners and all connections of the server. */
void tw_net_server_free(tw_net *net);
/* Closes all connections of the client and discards pending calls. */
void tw_net_client_free(tw_net *net);
/* Allocates zeroed memory, which the caller frees. Aborts the process if the allocation fails. */
void *tw_net_alloc(size_t size);

#endif
