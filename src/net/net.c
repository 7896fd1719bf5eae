#define _GNU_SOURCE
#include "net/net.h"
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <http_parser.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uthash.h>
#include <utlist.h>

#define MAX_PATH_LEN 1024
#define MAX_HEAD (16 * 1024)

typedef struct buf {
    char *p;
    size_t len, cap, off;
} buf;

static void buf_add(buf *b, const void *p, size_t n) {
    if (!n) return;
    if (b->len + n + 1 > b->cap) {
        size_t cap = b->cap ? b->cap : 512;
        while (cap < b->len + n + 1) cap *= 2;
        b->p = realloc(b->p, cap);
        if (!b->p) abort();
        b->cap = cap;
    }
    memcpy(b->p + b->len, p, n);
    b->len += n;
    b->p[b->len] = 0;
}
static void buf_free(buf *b) {
    free(b->p);
    memset(b, 0, sizeof *b);
}
static void buf_reset(buf *b) {
    if (b->cap > 16384) buf_free(b); /* don't keep a large message's memory */
    b->len = b->off = 0;
}

typedef struct sconn {
    tw_net *net;
    uint64_t id;
    int fd, port;
    ev_io rd, wr;
    ev_timer idle;
    http_parser parser;
    buf path, body, out, in;
    size_t head;
    char method[8];
    int waiting, bad, keep, closing;
    int yields;   /* in net->yielding */
    double since; /* there since */
    struct sconn *yprev, *ynext;
    UT_hash_handle hh;
} sconn;

typedef struct call {
    uint64_t id;
    char *data;
    size_t len;
    double deadline;
    struct call *prev, *next;
} call;

struct host;
typedef struct cconn {
    struct host *host;
    int fd, connected, reused;
    ev_io rd, wr;
    ev_timer timer;
    http_parser parser;
    buf body;
    size_t sent;
    call *cur;
    int done, keep;
    struct cconn *prev, *next;
} cconn;

typedef struct host {
    tw_net *net;
    char addr[64];
    struct sockaddr_in sa;
    int per_host, nconn;
    double used;
    cconn *conns;
    call *queue;
    ev_timer qtimer;
    UT_hash_handle hh;
} host;

typedef struct listener {
    tw_net *net;
    ev_io io;
    int fd, port;
    struct listener *next;
} listener;

struct tw_net {
    struct ev_loop *loop;
    tw_net_limits lim;
    tw_net_handler h;
    void *ctx;
    sconn *conns;
    sconn *yielding; /* idle ones that may be closed for others, the longest idle first */
    int nserver, nclient;
    uint64_t next_id;
    host *hosts;
    unsigned many_hosts; /* more than this are looked through for those not in use any more */
    listener *listeners;
};

static int parse_addr(const char *addr, struct sockaddr_in *sa) {
    char ip[64];
    const char *c = strrchr(addr, ':');
    if (!c || (size_t)(c - addr) >= sizeof ip) return -1;
    memcpy(ip, addr, (size_t)(c - addr));
    ip[c - addr] = 0;
    char *end;
    long port = strtol(c + 1, &end, 10);
    if (end == c + 1 || *end || port < 1 || port > 65535) return -1;
    memset(sa, 0, sizeof *sa);
    sa->sin_family = AF_INET;
    sa->sin_port = htons((uint16_t)port);
    return inet_pton(AF_INET, ip, &sa->sin_addr) == 1 ? 0 : -1;
}

static int nonblock_socket(void) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) return -1;
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return fd;
}

/* ---- server ---- */

/* A connection waits for its next request. Only those of callers that must be answered before all
 * others are kept then whatever comes. */
static void sconn_idles(sconn *c) {
    tw_net *n = c->net;
    if (n->lim.keeps && n->lim.keeps(c->port, c->path.len ? c->path.p : "")) {
        c->idle.repeat = n->lim.kept_idle_s;
        ev_timer_again(n->loop, &c->idle);
        return;
    }
    if (c->yields) return;
    c->yields = 1;
    c->since = ev_now(n->loop);
    DL_APPEND2(n->yielding, c, yprev, ynext);
}
static void sconn_busy(sconn *c) {
    if (!c->yields) return;
    c->yields = 0;
    DL_DELETE2(c->net->yielding, c, yprev, ynext);
}

static void sconn_close(sconn *c) {
    tw_net *n = c->net;
    sconn_busy(c);
    ev_io_stop(n->loop, &c->rd);
    ev_io_stop(n->loop, &c->wr);
    ev_timer_stop(n->loop, &c->idle);
    close(c->fd);
    HASH_DEL(n->conns, c);
    n->nserver--;
    buf_free(&c->path);
    buf_free(&c->body);
    buf_free(&c->out);
    buf_free(&c->in);
    free(c);
}

static void sconn_flush(sconn *c) {
    while (c->out.off < c->out.len) {
        ssize_t k = write(c->fd, c->out.p + c->out.off, c->out.len - c->out.off);
        if (k < 0) {
            if (errno == EINTR) continue;
            if (errno == EAGAIN || errno == EWOULDBLOCK) {
                ev_io_start(c->net->loop, &c->wr);
                return;
            }
            sconn_close(c);
            return;
        }
        c->out.off += (size_t)k;
    }
    ev_io_stop(c->net->loop, &c->wr);
    buf_reset(&c->out);
    if (c->closing)
        sconn_close(c);
    else if (!c->waiting)
        sconn_idles(c);
}

static const char *reason(int s) {
    switch (s) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 409:
        return "Conflict";
    case 421:
        return "Misdirected Request";
    case 422:
        return "Unprocessable Entity";
    case 429:
        return "Too Many Requests";
    case 503:
        return "Service Unavailable";
    default:
        return "Status";
    }
}

static void sconn_feed(sconn *c);

static void sconn_answer(sconn *c, int status, double retry_after, const char *body, size_t len) {
    char head[256], retry[48] = "";
    if (retry_after > 0)
        snprintf(retry, sizeof retry, "Retry-After: %d\r\n",
                 retry_after < 1 ? 1 : (int)(retry_after + 0.5));
    if (!c->keep) c->closing = 1;
    int k = snprintf(head, sizeof head,
                     "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: "
                     "%zu\r\n%s%s\r\n",
                     status, reason(status), len, retry, c->closing ? "Connection: close\r\n" : "");
    buf_add(&c->out, head, (size_t)k);
    buf_add(&c->out, body, len);
    c->waiting = 0;
}

void tw_net_reply(tw_net *n, uint64_t id, int status, double retry_after, const char *body,
                  size_t len) {
    sconn *c;
    HASH_FIND(hh, n->conns, &id, sizeof id, c);
    if (!c || !c->waiting) return; /* the asker is gone */
    sconn_answer(c, status, retry_after, body, len);
    sconn_flush(c);
    HASH_FIND(hh, n->conns, &id, sizeof id, c);
    if (c && c->in.len && !c->waiting) ev_feed_event(n->loop, &c->rd, EV_CUSTOM);
}

static int s_begin(http_parser *p) {
    sconn *c = p->data;
    buf_reset(&c->path);
    buf_reset(&c->body);
    c->bad = 0;
    return 0;
}
static int s_url(http_parser *p, const char *at, size_t n) {
    sconn *c = p->data;
    if (c->path.len + n > MAX_PATH_LEN) {
        c->bad = 1;
        return 0;
    }
    buf_add(&c->path, at, n);
    return 0;
}
static int s_body(http_parser *p, const char *at, size_t n) {
    sconn *c = p->data;
    if (c->body.len + n > TW_NET_MAX_BODY) {
        c->bad = 1;
        return 1; /* stop reading an oversized body */
    }
    buf_add(&c->body, at, n);
    return 0;
}
static int s_complete(http_parser *p) {
    sconn *c = p->data;
    c->keep = http_should_keep_alive(p);
    c->waiting = 1;
    snprintf(c->method, sizeof c->method, "%s", http_method_str(p->method));
    http_parser_pause(p, 1);
    return 0;
}
static const http_parser_settings s_settings = {
    .on_message_begin = s_begin,
    .on_url = s_url,
    .on_body = s_body,
    .on_message_complete = s_complete,
};

static void sconn_bad(sconn *c) {
    static const char msg[] = "{\"error\":\"malformed request\"}";
    c->keep = 0;
    c->waiting = 1;
    buf_reset(&c->in);
    sconn_answer(c, 400, 0, msg, sizeof msg - 1);
    sconn_flush(c);
}

/* Parses what has been read, one request at a time: the next one only after its answer. */
static void sconn_feed(sconn *c) {
    tw_net *n = c->net;
    uint64_t id = c->id;
    while (c && !c->waiting && !c->closing && c->in.off < c->in.len) {
        size_t avail = c->in.len - c->in.off;
        size_t used = http_parser_execute(&c->parser, &s_settings, c->in.p + c->in.off, avail);
        enum http_errno e = HTTP_PARSER_ERRNO(&c->parser);
        c->in.off += used;
        if (e == HPE_PAUSED) {
            http_parser_pause(&c->parser, 0);
        } else if (e != HPE_OK || c->parser.upgrade) {
            sconn_bad(c);
            return;
        }
        if (c->in.off >= c->in.len) buf_reset(&c->in);
        if (c->waiting) {
            sconn_busy(c);
            if (c->bad) {
                sconn_bad(c);
                return;
            }
            buf_add(&c->path, "", 0);
            n->h.request(n->ctx, c->port, id, c->method, c->path.p ? c->path.p : "",
                         c->body.p ? c->body.p : "", c->body.len);
            HASH_FIND(hh, n->conns, &id, sizeof id, c);
        }
    }
}

static void sconn_read(EV_P_ ev_io *w, int ev) {
    sconn *c = w->data;
    if (ev & EV_READ) {
        char tmp[8192];
        ssize_t k = read(c->fd, tmp, sizeof tmp);
        if (k == 0 || (k < 0 && errno != EAGAIN && errno != EINTR)) {
            sconn_close(c);
            return;
        }
        if (k > 0) {
            sconn_busy(c);
            if (c->in.len + (size_t)k > TW_NET_MAX_BODY + MAX_HEAD) {
                sconn_close(c); /* more pipelined than a request may hold */
                return;
            }
            buf_add(&c->in, tmp, (size_t)k);
            ev_timer_again(EV_A, &c->idle);
        }
    }
    if (!c->waiting) sconn_feed(c);
}
static void sconn_write(EV_P_ ev_io *w, int ev) {
    (void)ev;
    (void)loop;
    sconn_flush(w->data);
}
static void sconn_idle(EV_P_ ev_timer *w, int ev) {
    (void)ev;
    (void)loop;
    sconn_close(w->data);
}

static void on_accept(EV_P_ ev_io *w, int ev) {
    listener *l = w->data;
    tw_net *n = l->net;
    (void)ev;
    for (int i = 0; i < 16; i++) {
        int fd = accept4(l->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) return;
        if (n->nserver >= n->lim.max_server && n->yielding &&
            ev_now(EV_A) - n->yielding->since >= n->lim.yield_s)
            sconn_close(n->yielding);
        if (n->nserver >= n->lim.max_server) {
            close(fd); /* at once: the other side tries another node */
            continue;
        }
        int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        sconn *c = calloc(1, sizeof *c);
        if (!c) abort();
        c->net = n;
        c->id = ++n->next_id;
        c->fd = fd;
        c->port = l->port;
        http_parser_init(&c->parser, HTTP_REQUEST);
        c->parser.data = c;
        ev_io_init(&c->rd, sconn_read, fd, EV_READ);
        ev_io_init(&c->wr, sconn_write, fd, EV_WRITE);
        ev_timer_init(&c->idle, sconn_idle, 0., n->lim.idle_s);
        c->rd.data = c->wr.data = c->idle.data = c;
        ev_io_start(EV_A, &c->rd);
        ev_timer_again(EV_A, &c->idle);
        HASH_ADD(hh, n->conns, id, sizeof c->id, c);
        n->nserver++;
        sconn_idles(c);
    }
}

int tw_net_listen(tw_net *n, const char *addr, int port) {
    struct sockaddr_in sa;
    if (parse_addr(addr, &sa)) {
        errno = EINVAL;
        return -1;
    }
    int fd = nonblock_socket();
    if (fd < 0) return -1;
    int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (bind(fd, (struct sockaddr *)&sa, sizeof sa) || listen(fd, 256)) {
        int e = errno;
        close(fd);
        errno = e;
        return -1;
    }
    listener *l = calloc(1, sizeof *l);
    if (!l) abort();
    l->net = n;
    l->fd = fd;
    l->port = port;
    l->io.data = l;
    ev_io_init(&l->io, on_accept, fd, EV_READ);
    l->io.data = l;
    ev_io_start(n->loop, &l->io);
    l->next = n->listeners;
    n->listeners = l;
    return 0;
}

/* ---- client ---- */

static void host_pump(host *h);

static void call_free(call *c) {
    free(c->data);
    free(c);
}

static void cconn_drop(cconn *c) {
    host *h = c->host;
    ev_io_stop(h->net->loop, &c->rd);
    ev_io_stop(h->net->loop, &c->wr);
    ev_timer_stop(h->net->loop, &c->timer);
    close(c->fd);
    buf_free(&c->body);
    DL_DELETE(h->conns, c);
    h->nconn--;
    h->net->nclient--;
    free(c);
}

/* Ends the connection's call. The connection lives on when keep is set. */
static void cconn_finish(cconn *c, int status, int keep) {
    host *h = c->host;
    tw_net *n = h->net;
    call *cur = c->cur;
    c->cur = NULL;
    buf body = c->body;
    memset(&c->body, 0, sizeof c->body);
    ev_timer_stop(n->loop, &c->timer);
    if (!keep) {
        cconn_drop(c);
    } else {
        c->reused = 1;
        c->done = 0;
        http_parser_init(&c->parser, HTTP_RESPONSE);
        c->parser.data = c;
    }
    if (cur) {
        n->h.response(n->ctx, cur->id, status, body.p ? body.p : "", status ? body.len : 0);
        call_free(cur);
    }
    buf_free(&body);
    host_pump(h);
}

static int c_body(http_parser *p, const char *at, size_t k) {
    cconn *c = p->data;
    if (c->body.len + k > c->host->net->lim.max_response) return 1;
    buf_add(&c->body, at, k);
    return 0;
}
static int c_complete(http_parser *p) {
    cconn *c = p->data;
    c->done = 1;
    c->keep = http_should_keep_alive(p);
    return 0;
}
static const http_parser_settings c_settings = {.on_body = c_body,
                                                .on_message_complete = c_complete};

static void cconn_read(EV_P_ ev_io *w, int ev) {
    cconn *c = w->data;
    char tmp[16384];
    (void)loop;
    (void)ev;
    ssize_t k = read(c->fd, tmp, sizeof tmp);
    if (k < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (k < 0 || !c->cur) { /* reset, or bytes nobody asked for */
        cconn_finish(c, 0, 0);
        return;
    }
    size_t used = http_parser_execute(&c->parser, &c_settings, tmp, (size_t)k);
    if (c->done) {
        int status = (int)c->parser.status_code;
        cconn_finish(c, status, c->keep && used == (size_t)k);
        return;
    }
    if (k == 0 || HTTP_PARSER_ERRNO(&c->parser) != HPE_OK) cconn_finish(c, 0, 0);
}
static void cconn_write(EV_P_ ev_io *w, int ev) {
    cconn *c = w->data;
    (void)ev;
    if (!c->connected) {
        int err = 0;
        socklen_t l = sizeof err;
        getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &err, &l);
        if (err) {
            cconn_finish(c, 0, 0);
            return;
        }
        c->connected = 1;
    }
    while (c->cur && c->sent < c->cur->len) {
        ssize_t k = write(c->fd, c->cur->data + c->sent, c->cur->len - c->sent);
        if (k < 0) {
            if (errno == EAGAIN) return;
            if (errno == EINTR) continue;
            cconn_finish(c, 0, 0);
            return;
        }
        c->sent += (size_t)k;
    }
    ev_io_stop(EV_A, &c->wr);
}
static void cconn_timeout(EV_P_ ev_timer *w, int ev) {
    (void)loop;
    (void)ev;
    cconn_finish(w->data, 0, 0);
}

static void cconn_begin(cconn *c, call *k) {
    tw_net *n = c->host->net;
    double left = k->deadline - ev_now(n->loop);
    c->cur = k;
    c->sent = 0;
    ev_timer_stop(n->loop, &c->timer);
    ev_timer_set(&c->timer, left > 0.001 ? left : 0.001, 0.);
    ev_timer_start(n->loop, &c->timer);
    ev_io_start(n->loop, &c->wr);
}

static cconn *cconn_open(host *h) {
    tw_net *n = h->net;
    int fd = nonblock_socket();
    if (fd < 0) return NULL;
    if (connect(fd, (struct sockaddr *)&h->sa, sizeof h->sa) && errno != EINPROGRESS) {
        close(fd);
        return NULL;
    }
    cconn *c = calloc(1, sizeof *c);
    if (!c) abort();
    c->host = h;
    c->fd = fd;
    http_parser_init(&c->parser, HTTP_RESPONSE);
    c->parser.data = c;
    ev_io_init(&c->rd, cconn_read, fd, EV_READ);
    ev_io_init(&c->wr, cconn_write, fd, EV_WRITE);
    ev_timer_init(&c->timer, cconn_timeout, 0., 0.);
    c->rd.data = c->wr.data = c->timer.data = c;
    ev_io_start(n->loop, &c->rd);
    DL_APPEND(h->conns, c);
    h->nconn++;
    n->nclient++;
    return c;
}

/* Closes an idle connection somewhere so that another can be opened. */
static void evict_idle(tw_net *n) {
    host *h, *tmp, *best = NULL;
    cconn *c, *pick = NULL;
    HASH_ITER(hh, n->hosts, h, tmp) {
        if (best && h->used >= best->used) continue;
        DL_FOREACH(h->conns, c) if (!c->cur) {
            best = h;
            pick = c;
            break;
        }
    }
    if (pick) cconn_drop(pick);
}

static void host_pump(host *h) {
    tw_net *n = h->net;
    while (h->queue) {
        cconn *c, *idle = NULL;
        DL_FOREACH(h->conns, c) if (!c->cur) {
            idle = c;
            break;
        }
        if (!idle) {
            if (h->nconn >= h->per_host) break;
            if (n->nclient >= n->lim.max_client) evict_idle(n);
            if (n->nclient >= n->lim.max_client) break;
            idle = cconn_open(h);
            if (!idle) break;
        }
        call *k = h->queue;
        DL_DELETE(h->queue, k);
        cconn_begin(idle, k);
    }
    if (h->queue) {
        double left = h->queue->deadline - ev_now(n->loop);
        ev_timer_stop(n->loop, &h->qtimer);
        ev_timer_set(&h->qtimer, left > 0.01 ? left : 0.01, 0.);
        ev_timer_start(n->loop, &h->qtimer);
    } else {
        ev_timer_stop(n->loop, &h->qtimer);
    }
}

/* Calls that waited past their time without being sent: surely not carried out, but said as 0. */
static void host_qtimer(EV_P_ ev_timer *w, int ev) {
    host *h = w->data;
    tw_net *n = h->net;
    (void)ev;
    for (;;) {
        call *k, *hit = NULL;
        DL_FOREACH(h->queue, k) if (k->deadline <= ev_now(EV_A) + 0.001) {
            hit = k;
            break;
        }
        if (!hit) break;
        DL_DELETE(h->queue, hit);
        n->h.response(n->ctx, hit->id, 0, "", 0);
        call_free(hit);
    }
    host_pump(h);
}

/* Machines come and go, each under an address of its own: those not called for long are let go. */
static void forget_hosts(tw_net *n) {
    host *h, *t;
    if (HASH_COUNT(n->hosts) <= n->many_hosts) return;
    HASH_ITER(hh, n->hosts, h, t) {
        cconn *c, *next;
        if (h->queue || ev_now(n->loop) - h->used < n->lim.idle_s) continue;
        DL_FOREACH_SAFE(h->conns, c, next) if (!c->cur) cconn_drop(c);
        if (h->conns) continue;
        ev_timer_stop(n->loop, &h->qtimer);
        HASH_DEL(n->hosts, h);
        free(h);
    }
    n->many_hosts = 2 * HASH_COUNT(n->hosts) + 16;
}

void tw_net_call(tw_net *n, uint64_t id, const char *addr, int per_host, const char *method,
                 const char *path, const char *body, double timeout_s) {
    host *h;
    HASH_FIND_STR(n->hosts, addr, h);
    if (!h) {
        forget_hosts(n);
        struct sockaddr_in sa;
        if (strlen(addr) >= sizeof h->addr || parse_addr(addr, &sa)) {
            n->h.response(n->ctx, id, 0, "", 0);
            return;
        }
        h = calloc(1, sizeof *h);
        if (!h) abort();
        h->net = n;
        snprintf(h->addr, sizeof h->addr, "%s", addr);
        h->sa = sa;
        ev_timer_init(&h->qtimer, host_qtimer, 0., 0.);
        h->qtimer.data = h;
        HASH_ADD_STR(n->hosts, addr, h);
    }
    h->per_host = per_host;
    h->used = ev_now(n->loop);
    size_t blen = body ? strlen(body) : 0;
    call *k = calloc(1, sizeof *k);
    if (!k) abort();
    k->id = id;
    k->deadline = ev_now(n->loop) + timeout_s;
    char head[MAX_PATH_LEN + 256];
    int hl = snprintf(head, sizeof head,
                      "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: "
                      "application/json\r\nContent-Length: %zu\r\n\r\n",
                      method, path, addr, blen);
    if (hl >= (int)sizeof head) hl = (int)sizeof head - 1;
    k->data = malloc((size_t)hl + blen + 1);
    if (!k->data) abort();
    memcpy(k->data, head, (size_t)hl);
    if (blen) memcpy(k->data + hl, body, blen);
    k->len = (size_t)hl + blen;
    DL_APPEND(h->queue, k);
    host_pump(h);
}

tw_net *tw_net_new(struct ev_loop *loop, const tw_net_limits *lim, const tw_net_handler *h,
                   void *ctx) {
    tw_net *n = calloc(1, sizeof *n);
    if (!n) abort();
    n->loop = loop;
    n->lim = *lim;
    n->h = *h;
    n->ctx = ctx;
    return n;
}

void tw_net_free(tw_net *n) {
    sconn *c, *ct;
    HASH_ITER(hh, n->conns, c, ct) sconn_close(c);
    host *h, *ht;
    HASH_ITER(hh, n->hosts, h, ht) {
        cconn *cc, *cn;
        DL_FOREACH_SAFE(h->conns, cc, cn) {
            if (cc->cur) call_free(cc->cur);
            cconn_drop(cc);
        }
        call *k, *kn;
        DL_FOREACH_SAFE(h->queue, k, kn) {
            DL_DELETE(h->queue, k);
            call_free(k);
        }
        ev_timer_stop(n->loop, &h->qtimer);
        HASH_DEL(n->hosts, h);
        free(h);
    }
    listener *l = n->listeners;
    while (l) {
        listener *nx = l->next;
        ev_io_stop(n->loop, &l->io);
        close(l->fd);
        free(l);
        l = nx;
    }
    free(n);
}
