/* HTTP client. Calls to an address are queued and sent over a pool of persistent connections. Each
 * call ends exactly once: with a response, or with status 0 if it timed out or its connection
 * failed. With status 0 the server may or may not have processed the request. */
#include "net/address.h"
#include "net/buffer.h"
#include "net/net_int.h"
#include <errno.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uthash.h>
#include <utlist.h>

#define MAX_ADDRESS_SIZE 64
/* Maximum size of a request without its path, address and body. */
#define HEAD_RESERVE_BYTES 160
#define MIN_CALL_TIMER_S 0.001 /* shortest timeout of a call that is being sent */
#define MIN_QUEUE_TIMER_S 0.01 /* shortest time between two checks of a queue for expired calls */
#define TIMER_ERROR_S 0.001    /* libev timers may fire early by up to this time */
#define HOST_SWEEP_SLACK 16

typedef struct call {
    uint64_t id;
    tw_buffer request; /* complete HTTP request */
    double deadline;   /* event loop time */
    struct call *prev;
    struct call *next;
} client_call;

typedef struct connection {
    struct tw_client_host *host;
    int socket;
    bool connected; /* true once bytes have been written to the socket */
    ev_io readable;
    ev_io writable;
    ev_timer timer; /* timeout of the current call */
    http_parser parser;
    tw_buffer body;    /* body of the current response */
    client_call *call; /* current call; NULL while the connection is idle */
    size_t sent;       /* number of bytes of the call's request written to the socket */
    bool complete;     /* true if the current response has been received completely */
    bool keep_alive;   /* true if the response allows the connection to be reused */
    struct connection *prev;
    struct connection *next;
} client_connection;

typedef struct tw_client_host {
    tw_net *net;
    char name[MAX_ADDRESS_SIZE];
    struct sockaddr_in address;
    int limit;             /* maximum number of connections to this host */
    int count;             /* number of open connections to this host */
    double last_called_at; /* event loop time of the latest call to this host */
    client_connection *connections;
    client_call *queue;
    ev_timer timer; /* fires at the deadline of the first queued call */
    UT_hash_handle hh;
} client_host;

static void send_queued(client_host *host);

/* ---- calls ---- */

static void write_request(tw_buffer *request, const char *method, const char *path,
                          const char *address, const char *body) {
    const size_t length = body ? strlen(body) : 0;
    tw_buffer_reserve(request, HEAD_RESERVE_BYTES + strlen(path) + strlen(address) + length);
    tw_buffer_append_text(request, method);
    tw_buffer_append_text(request, " ");
    tw_buffer_append_text(request, path);
    tw_buffer_append_text(request, " HTTP/1.1\r\nHost: ");
    tw_buffer_append_text(request, address);
    tw_buffer_append_text(request, "\r\nContent-Type: application/json\r\nContent-Length: ");
    tw_buffer_append_number(request, length);
    tw_buffer_append_text(request, "\r\n\r\n");
    tw_buffer_append(request, body, length);
}

static void free_call(client_call *call) {
    tw_buffer_free(&call->request);
    free(call);
}

/* ---- connections ---- */

static void close_connection(client_connection *connection) {
    client_host *host = connection->host;
    ev_io_stop(host->net->loop, &connection->readable);
    ev_io_stop(host->net->loop, &connection->writable);
    ev_timer_stop(host->net->loop, &connection->timer);
    close(connection->socket);
    tw_buffer_free(&connection->body);
    DL_DELETE(host->connections, connection);
    host->count--;
    host->net->client.count--;
    free(connection);
}

static void reset_response_parser(client_connection *connection) {
    connection->complete = false;
    http_parser_init(&connection->parser, HTTP_RESPONSE);
    connection->parser.data = connection;
}

/* Ends the connection's current call, if any, with this status, and sends queued calls. Closes the
 * connection unless `keep` is true. */
static void end_call(client_connection *connection, int status, bool keep) {
    client_host *host = connection->host;
    tw_net *net = host->net;
    client_call *call = connection->call;
    tw_buffer body = connection->body;
    connection->call = NULL;
    memset(&connection->body, 0, sizeof connection->body);
    ev_timer_stop(net->loop, &connection->timer);
    if (keep)
        reset_response_parser(connection);
    else
        close_connection(connection);
    if (call) {
        net->handler.response(net->context, call->id, status, tw_buffer_text(&body),
                              status ? body.length : 0);
        free_call(call);
    }
    tw_buffer_free(&body);
    send_queued(host);
}

/* Reserves memory for the whole body if the headers give its length. */
static int on_headers_complete(http_parser *parser) {
    client_connection *connection = parser->data;
    if (parser->content_length <= connection->host->net->limits.max_response)
        tw_buffer_reserve(&connection->body, (size_t)parser->content_length);
    return 0;
}

static int on_body(http_parser *parser, const char *bytes, size_t length) {
    client_connection *connection = parser->data;
    if (connection->body.length + length > connection->host->net->limits.max_response) return 1;
    tw_buffer_append(&connection->body, bytes, length);
    return 0;
}

static int on_message_complete(http_parser *parser) {
    client_connection *connection = parser->data;
    connection->complete = true;
    connection->keep_alive = http_should_keep_alive(parser) != 0;
    return 0;
}

static const http_parser_settings parser_settings = {.on_headers_complete = on_headers_complete,
                                                     .on_body = on_body,
                                                     .on_message_complete = on_message_complete};

/* Returns true if the connection can be used for another call after the current response. It cannot
 * if the response arrived before the request was sent completely: the server would read the next
 * request as the remainder of this one. */
static bool is_reusable(const client_connection *connection) {
    return connection->keep_alive && connection->sent == connection->call->request.length;
}

/* Parses received bytes of the response. A count of 0 means that the server closed the connection.
 * Returns true if the response is still incomplete; otherwise the call has ended. */
static bool parse_response(client_connection *connection, const char *bytes, size_t count) {
    size_t used = http_parser_execute(&connection->parser, &parser_settings, bytes, count);
    if (connection->complete) {
        bool keep = is_reusable(connection) && used == count;
        end_call(connection, (int)connection->parser.status_code, keep);
        return false;
    }
    if (count && HTTP_PARSER_ERRNO(&connection->parser) == HPE_OK) return true;
    end_call(connection, 0, false);
    return false;
}

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events) {
    client_connection *connection = watcher->data;
    char *read_buffer = connection->host->net->read_buffer;
    ssize_t count;
    (void)loop;
    (void)events;
    do {
        count = read(connection->socket, read_buffer, TW_NET_READ_SIZE);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
        if (count < 0 || !connection->call) { /* read error, or data outside a call */
            end_call(connection, 0, false);
            return;
        }
    } while (parse_response(connection, read_buffer, (size_t)count) && count == TW_NET_READ_SIZE);
}

/* Writes as much of the request as the socket accepts. The rest is sent when the socket becomes
 * writable. Returns 0, or -1 with errno set if the write failed; the call has not ended then. */
static int send_call(client_connection *connection) {
    struct ev_loop *loop = connection->host->net->loop;
    while (connection->sent < connection->call->request.length) {
        ssize_t sent = write(connection->socket, connection->call->request.bytes + connection->sent,
                             connection->call->request.length - connection->sent);
        if (sent >= 0) {
            connection->sent += (size_t)sent;
            connection->connected = true;
        } else if (errno != EINTR) {
            ev_io_start(loop, &connection->writable);
            return errno == EAGAIN ? 0 : -1;
        }
    }
    ev_io_stop(loop, &connection->writable);
    return 0;
}

static void on_writable(struct ev_loop *loop, ev_io *watcher, int events) {
    client_connection *connection = watcher->data;
    (void)loop;
    (void)events;
    /* A failed connect() is also reported by the first write. */
    if (connection->call && send_call(connection)) end_call(connection, 0, false);
}

static void on_call_timeout(struct ev_loop *loop, ev_timer *watcher, int events) {
    (void)loop;
    (void)events;
    end_call(watcher->data, 0, false);
}

/* Restarts a timer so that it fires at the deadline, but after min_delay_s at the earliest. */
static void start_timer(tw_net *net, ev_timer *timer, double deadline, double min_delay_s) {
    double delay_s = deadline - ev_now(net->loop);
    ev_timer_stop(net->loop, timer);
    ev_timer_set(timer, delay_s > min_delay_s ? delay_s : min_delay_s, 0.);
    ev_timer_start(net->loop, timer);
}

static void start_call(client_connection *connection, client_call *call) {
    tw_net *net = connection->host->net;
    connection->call = call;
    connection->sent = 0;
    start_timer(net, &connection->timer, call->deadline, MIN_CALL_TIMER_S);
    /* On an established connection most requests can be written completely here, without waiting
     * for the event loop. A write error is ignored: the write is repeated from the event loop,
     * fails again and ends the call there, so that the caller's response handler does not run
     * within tw_net_call. */
    if (connection->connected)
        (void)send_call(connection);
    else
        ev_io_start(net->loop, &connection->writable);
}

/* Opens a new connection to the host. Returns NULL if no socket can be created or connect() fails
 * immediately. */
static client_connection *open_connection(client_host *host) {
    tw_net *net = host->net;
    int socket = tw_socket_open();
    if (socket < 0) return NULL;
    if (connect(socket, (struct sockaddr *)&host->address, sizeof host->address) &&
        errno != EINPROGRESS) {
        close(socket);
        return NULL;
    }
    client_connection *connection = tw_net_alloc(sizeof *connection);
    connection->host = host;
    connection->socket = socket;
    reset_response_parser(connection);
    ev_io_init(&connection->readable, on_readable, socket, EV_READ);
    ev_io_init(&connection->writable, on_writable, socket, EV_WRITE);
    ev_timer_init(&connection->timer, on_call_timeout, 0., 0.);
    connection->readable.data = connection;
    connection->writable.data = connection;
    connection->timer.data = connection;
    ev_io_start(net->loop, &connection->readable);
    DL_APPEND(host->connections, connection);
    host->count++;
    net->client.count++;
    return connection;
}

static client_connection *find_idle_connection(const client_host *host) {
    client_connection *connection;
    DL_FOREACH(host->connections, connection) {
        if (!connection->call) return connection;
    }
    return NULL;
}

/* Closes an idle connection of the least recently called host that has one. */
static void evict_idle_connection(tw_net *net) {
    client_host *host;
    client_host *next;
    client_host *oldest = NULL;
    client_connection *evicted = NULL;
    HASH_ITER(hh, net->client.hosts, host, next) {
        if (oldest && host->last_called_at >= oldest->last_called_at) continue;
        client_connection *idle = find_idle_connection(host);
        if (!idle) continue;
        oldest = host;
        evicted = idle;
    }
    if (evicted) close_connection(evicted);
}

/* ---- queues ---- */

/* Returns an idle connection to the host, or opens a new one. Returns NULL if the limits on
 * connections are reached or a new connection cannot be opened. */
static client_connection *acquire_connection(client_host *host) {
    tw_net *net = host->net;
    client_connection *idle = find_idle_connection(host);
    if (idle) return idle;
    if (host->count >= host->limit) return NULL;
    if (net->client.count >= net->limits.max_client) evict_idle_connection(net);
    if (net->client.count >= net->limits.max_client) return NULL;
    return open_connection(host);
}

/* Sends queued calls to the host while connections are available. */
static void send_queued(client_host *host) {
    while (host->queue) {
        client_connection *usable = acquire_connection(host);
        if (!usable) break;
        client_call *first = host->queue;
        DL_DELETE(host->queue, first);
        start_call(usable, first);
    }
    if (host->queue)
        start_timer(host->net, &host->timer, host->queue->deadline, MIN_QUEUE_TIMER_S);
    else
        ev_timer_stop(host->net->loop, &host->timer);
}

static client_call *find_overdue_call(const client_host *host) {
    const double now = ev_now(host->net->loop) + TIMER_ERROR_S;
    client_call *call;
    DL_FOREACH(host->queue, call) {
        if (call->deadline <= now) return call;
    }
    return NULL;
}

/* Ends queued calls whose deadline has passed. Such a call was never sent, so the server has not
 * processed it; it is nevertheless reported with status 0, as every failed call is. */
static void on_queue_timeout(struct ev_loop *loop, ev_timer *watcher, int events) {
    client_host *host = watcher->data;
    tw_net *net = host->net;
    client_call *overdue;
    (void)loop;
    (void)events;
    while ((overdue = find_overdue_call(host))) {
        DL_DELETE(host->queue, overdue);
        net->handler.response(net->context, overdue->id, 0, "", 0);
        free_call(overdue);
    }
    send_queued(host);
}

/* ---- hosts ---- */

static void free_host(client_host *host) {
    ev_timer_stop(host->net->loop, &host->timer);
    HASH_DEL(host->net->client.hosts, host);
    free(host);
}

static void close_idle_connections(client_host *host) {
    client_connection *connection;
    client_connection *next;
    DL_FOREACH_SAFE(host->connections, connection, next) {
        if (!connection->call) close_connection(connection);
    }
}

/* Removes hosts that have not been called for idle_s. Without this, the table would grow without
 * bound, because machines with new addresses are added to the fleet continually. */
static void remove_unused_hosts(tw_net *net) {
    client_host *host;
    client_host *next;
    if (HASH_COUNT(net->client.hosts) <= net->client.host_sweep_threshold) return;
    HASH_ITER(hh, net->client.hosts, host, next) {
        if (host->queue || ev_now(net->loop) - host->last_called_at < net->limits.idle_s) continue;
        close_idle_connections(host);
        if (!host->connections) free_host(host);
    }
    net->client.host_sweep_threshold = 2 * HASH_COUNT(net->client.hosts) + HOST_SWEEP_SLACK;
}

/* Returns the host of this address, adding it if needed. Returns NULL if the address is invalid. */
static client_host *find_or_add_host(tw_net *net, const char *name) {
    client_host *host;
    struct sockaddr_in address;
    HASH_FIND_STR(net->client.hosts, name, host);
    if (host) return host;
    remove_unused_hosts(net);
    if (strlen(name) >= sizeof host->name || !tw_address_parse(name, &address)) return NULL;
    host = tw_net_alloc(sizeof *host);
    host->net = net;
    snprintf(host->name, sizeof host->name, "%s", name);
    host->address = address;
    ev_timer_init(&host->timer, on_queue_timeout, 0., 0.);
    host->timer.data = host;
    HASH_ADD_STR(net->client.hosts, name, host);
    return host;
}

void tw_net_call(tw_net *net, uint64_t id, const char *addr, int per_host, const char *method,
                 const char *path, const char *body, double timeout_s) {
    client_host *host = find_or_add_host(net, addr);
    if (!host) {
        net->handler.response(net->context, id, 0, "", 0);
        return;
    }
    host->limit = per_host;
    host->last_called_at = ev_now(net->loop);
    client_call *queued = tw_net_alloc(sizeof *queued);
    queued->id = id;
    queued->deadline = ev_now(net->loop) + timeout_s;
    write_request(&queued->request, method, path, addr, body);
    DL_APPEND(host->queue, queued);
    send_queued(host);
}

static void close_host(client_host *host) {
    client_connection *open;
    client_connection *next;
    client_call *queued;
    client_call *next_queued;
    DL_FOREACH_SAFE(host->connections, open, next) {
        if (open->call) free_call(open->call);
        close_connection(open);
    }
    DL_FOREACH_SAFE(host->queue, queued, next_queued) {
        DL_DELETE(host->queue, queued);
        free_call(queued);
    }
    free_host(host);
}

void tw_net_client_free(tw_net *net) {
    client_host *host;
    client_host *next;
    HASH_ITER(hh, net->client.hosts, host, next) { close_host(host); }
}
