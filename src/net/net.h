/* HTTP/1.1 over TCP on libev: a server, and a client with a pool of connections per address. */
#ifndef TW_NET_H
#define TW_NET_H
#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define TW_NET_MAX_BODY 65536 /* the protocol's largest request body */

typedef struct tw_net tw_net;

typedef struct {
    /* A request came in; answer it with tw_net_reply(net, conn, ...), now or later. */
    void (*request)(void *ctx, int port, uint64_t conn, const char *method, const char *path,
                    const char *body, size_t len);
    /* A call ended; status 0: no response (it may or may not have been carried out). */
    void (*response)(void *ctx, uint64_t call, int status, const char *body, size_t len);
} tw_net_handler;

typedef struct {
    int max_server; /* open connections of others that we accept */
    int max_client; /* connections we open, over all addresses */
    double idle_s;  /* a silent server connection is closed after this */
    /* Whether the caller of a path must be answered before all others ("": has not asked yet). When
     * max_server are open, a new connection takes the place of another caller's that has been idle
     * for yield_s, the longest first; where there is none it is refused. NULL: nobody. */
    bool (*keeps)(int port, const char *path);
    double yield_s;
    double kept_idle_s;  /* idle_s for those that are kept */
    size_t max_response; /* largest response body taken */
} tw_net_limits;

tw_net *tw_net_new(struct ev_loop *loop, const tw_net_limits *lim, const tw_net_handler *h,
                   void *ctx);
/* 0, or -1 with errno. port is handed to the request handler. */
int tw_net_listen(tw_net *n, const char *addr, int port);
void tw_net_reply(tw_net *n, uint64_t conn, int status, double retry_after, const char *body,
                  size_t len);
/* per_host: most connections to that address. */
void tw_net_call(tw_net *n, uint64_t call, const char *addr, int per_host, const char *method,
                 const char *path, const char *body, double timeout_s);
void tw_net_free(tw_net *n);

#endif
