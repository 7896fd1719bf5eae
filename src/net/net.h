/* HTTP/1.1 over TCP on libev: a server, and a client with a connection pool per address.
 *
 * Invariants:
 *   - every call ends with exactly one response callback, within its timeout;
 *   - the numbers of server and of client connections stay within their limits;
 *   - a handler may call any function of this header except tw_net_free. */
#ifndef TW_NET_H
#define TW_NET_H
#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define TW_NET_MAX_BODY 65536 /* usual limit of a request's body, in bytes */

typedef struct tw_net tw_net;

/* Callbacks to the owner of a tw_net. String arguments are valid only during the callback. */
typedef struct {
    /* Called when a request has been received. port: the listener's number, see tw_net_listen. The
     * owner answers with tw_net_reply on the given connection, during the callback or later. */
    void (*request)(void *owner, int port, uint64_t connection, const char *method,
                    const char *path, const char *body, size_t length);
    /* Called when a call has ended. A status of 0 means that no response was received; the server
     * may or may not have processed the request. */
    void (*response)(void *owner, uint64_t call, int status, const char *body, size_t length);
} tw_net_handler;

typedef struct {
    int max_server; /* maximum number of connections accepted by the server */
    int max_client; /* maximum number of connections opened by the client, over all addresses */
    /* The server closes a connection that has sent nothing for this long. The client may close the
     * connections of an address that has not been called for this long. */
    double idle_s;
    /* Returns true if the requests of this path have priority. path: "" for a connection that has
     * not sent a request yet. When max_server connections are open, accepting a new one closes the
     * longest idle connection without priority, provided that it has been idle for
     * evictable_after_s; if there is none, the new connection is refused. NULL: no connection has
     * priority. */
    bool (*is_priority_caller)(int port, const char *path);
    /* Returns the largest body of a request to this path, in bytes. A request with a larger one is
     * refused as malformed. NULL: TW_NET_MAX_BODY for all requests. */
    size_t (*max_request)(void *owner, int port, const char *path);
    double evictable_after_s;
    double priority_idle_s; /* idle_s of connections with priority */
    size_t max_response;    /* largest body of a response, in bytes */
} tw_net_limits;

/* Creates a server and client without listeners. The caller frees it with tw_net_free. loop: not
 * owned; it must outlive the returned object. owner: passed as the first argument to the handler's
 * functions. */
tw_net *tw_net_new(struct ev_loop *loop, const tw_net_limits *limits, const tw_net_handler *handler,
                   void *owner);
/* Listens on an address of the form "IP:port". port: a number that is passed to the request
 * handler to identify the listener. Returns 0, or -1 with errno set. */
int tw_net_listen(tw_net *net, const char *address, int port);
/* Sends the response to the pending request of a connection. Does nothing if the connection is
 * closed or has no pending request. retry_after: value of the Retry-After header in seconds; 0: the
 * header is left out. */
void tw_net_reply(tw_net *net, uint64_t connection, int status, double retry_after,
                  const char *body, size_t length);
/* Sends an HTTP request. call: id that is passed to the response handler, which may be called
 * before tw_net_call returns. per_host: maximum number of connections to this address. body: NULL
 * for an empty body. */
void tw_net_call(tw_net *net, uint64_t call, const char *address, int per_host, const char *method,
                 const char *path, const char *body, double timeout_s);
/* Closes all connections and frees the object. The response handler is not called for calls that
 * are still pending. */
void tw_net_free(tw_net *net);

#endif
