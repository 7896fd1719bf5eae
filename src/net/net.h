/* HTTP/1.1 over TCP on libev: a server, and a client with a pool of connections per address.
 *
 * Invariants:
 *   - every call ends with exactly one response, within its timeout;
 *   - the number of connections of either kind stays within its limit;
 *   - a handler may call any function below but tw_net_free. */
#ifndef TW_NET_H
#define TW_NET_H
#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define TW_NET_MAX_BODY 65536 /* the protocol's largest request body */

typedef struct tw_net tw_net;

/* What the package tells its owner. The strings last as long as the call of the handler. */
typedef struct {
    /* A request came in at that port (see tw_net_listen). The owner answers it with tw_net_reply to
     * that connection, now or later. */
    void (*request)(void *owner, int port, uint64_t connection, const char *method,
                    const char *path, const char *body, size_t length);
    /* A call ended. status 0: no response came, and the call may have been carried out or not. */
    void (*response)(void *owner, uint64_t call, int status, const char *body, size_t length);
} tw_net_handler;

typedef struct {
    int max_server; /* connections that others have open to this process */
    int max_client; /* connections that this process has open, to all addresses */
    double idle_s;  /* a connection of another is closed after so long a silence */
    /* Whether the caller of a path must be answered before all others ("": has not asked yet). When
     * max_server are open, a new connection takes the place of another caller's that has been idle
     * for evictable_after_s, the longest first; where there is none it is refused. NULL: nobody. */
    bool (*is_priority_caller)(int port, const char *path);
    double evictable_after_s;
    double priority_idle_s; /* idle_s for the connections of callers that `keeps` names */
    size_t max_response;    /* largest body of a response, in bytes */
} tw_net_limits;

/* loop: not owned; it must outlive what is returned. owner: first argument of the handler's
 * functions. Freed with tw_net_free. */
tw_net *tw_net_new(struct ev_loop *loop, const tw_net_limits *limits, const tw_net_handler *handler,
                   void *owner);
/* Accepts connections at an address, "IP:port". port: a number of the owner's, for the handler.
 * Returns 0, or -1 with errno. */
int tw_net_listen(tw_net *net, const char *address, int port);
/* Answers the request that the connection waits with; nothing is done if the connection is closed.
 * retry_after: seconds, in a header of its own; 0: without it. */
void tw_net_reply(tw_net *net, uint64_t connection, int status, double retry_after,
                  const char *body, size_t length);
/* Makes a call. call: id for the response, which may come within this call. per_host: most
 * connections to that address. body: NULL: none. */
void tw_net_call(tw_net *net, uint64_t call, const char *address, int per_host, const char *method,
                 const char *path, const char *body, double timeout_s);
/* Closes all connections; no response comes to the calls under way. */
void tw_net_free(tw_net *net);

#endif
