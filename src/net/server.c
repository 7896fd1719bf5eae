/* HTTP server. A connection has at most one pending request: later input is buffered and parsed
 * after that request has been answered. When the limit on connections is reached, an idle
 * connection without priority is closed to accept a new one. */
#define _GNU_SOURCE /* accept4 */
#include "net/address.h"
#include "net/buffer.h"
#include "net/net_int.h"
#include <errno.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uthash.h>
#include <utlist.h>

#define MAX_HEAD 16384
#define MAX_BUFFERED_INPUT (TW_NET_MAX_BODY + MAX_HEAD)
#define HEAD_RESERVE_BYTES 160 /* usual upper bound on the bytes of a response head */
/* Length of the accept queue. When a controller node fails, all workers of a fleet of 4,000
 * machines may reconnect to this node simultaneously, and TCP retries a connection that does not
 * fit into the queue only after a second. The kernel may limit the queue to a shorter length. */
#define BACKLOG 4096
#define MAX_ACCEPTS_PER_EVENT 16

enum { STATUS_MALFORMED = 400 };

typedef struct tw_server_connection {
    tw_net *net;
    uint64_t id;
    int socket;
    int port; /* the listener's number, see tw_net_listen */
    ev_io readable;
    ev_io writable;
    ev_timer idle_timer;
    http_parser parser;
    /* Each buffer is freed when it is not needed, so that idle connections use little memory. */
    tw_buffer path;
    tw_buffer body;
    tw_buffer input;      /* received bytes after the pending request, not parsed yet */
    tw_buffer output;     /* response bytes; `consumed` of them are written to the socket */
    size_t max_body;      /* largest body of the current request, in bytes */
    bool request_pending; /* a complete request has been received and not answered */
    bool oversized;       /* the path or body of the current request exceeds its limit */
    bool keep_alive;
    bool closing;      /* the connection is closed once the output has been sent */
    bool has_priority; /* the latest request has priority, see tw_net_limits */
    bool evictable;    /* the connection is in the server's `evictable` list */
    double idle_since; /* event loop time; valid while `evictable` is true */
    struct tw_server_connection *prev;
    struct tw_server_connection *next;
    UT_hash_handle hh;
} server_connection;

typedef struct tw_server_listener {
    tw_net *net;
    ev_io readable;
    int socket;
    int port;
    struct tw_server_listener *next;
} server_listener;

static server_connection *find_connection(tw_net *net, uint64_t id) {
    server_connection *found;
    HASH_FIND(hh, net->server.connections, &id, sizeof id, found);
    return found;
}

/* ---- idle connections ---- */

static bool has_priority_caller(const server_connection *connection, const char *path) {
    const tw_net_limits *limits = &connection->net->limits;
    return limits->is_priority_caller && limits->is_priority_caller(connection->port, path);
}

/* Records that the connection has no pending request. A connection without priority becomes
 * evictable; one with priority gets its own idle timeout. */
static void mark_idle(server_connection *connection) {
    tw_net *net = connection->net;
    if (connection->has_priority) {
        connection->idle_timer.repeat = net->limits.priority_idle_s;
        ev_timer_again(net->loop, &connection->idle_timer);
        return;
    }
    if (connection->evictable) return;
    connection->evictable = true;
    connection->idle_since = ev_now(net->loop);
    DL_APPEND(net->server.evictable, connection);
}

static void mark_busy(server_connection *connection) {
    if (!connection->evictable) return;
    connection->evictable = false;
    DL_DELETE(connection->net->server.evictable, connection);
}

static void close_connection(server_connection *connection) {
    tw_net *net = connection->net;
    mark_busy(connection);
    ev_io_stop(net->loop, &connection->readable);
    ev_io_stop(net->loop, &connection->writable);
    ev_timer_stop(net->loop, &connection->idle_timer);
    close(connection->socket);
    HASH_DEL(net->server.connections, connection);
    net->server.count--;
    tw_buffer_free(&connection->path);
    tw_buffer_free(&connection->body);
    tw_buffer_free(&connection->input);
    tw_buffer_free(&connection->output);
    free(connection);
}

/* ---- responses ---- */

/* Writes as much output as the socket accepts. The rest is sent when the socket becomes writable.
 * Closes the connection if the write fails, or if all is sent and `closing` is set. */
static void send_output(server_connection *connection) {
    tw_buffer *output = &connection->output;
    while (output->consumed < output->length) {
        ssize_t sent = write(connection->socket, output->bytes + output->consumed,
                             output->length - output->consumed);
        if (sent >= 0) {
            output->consumed += (size_t)sent;
        } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
            ev_io_start(connection->net->loop, &connection->writable);
            return;
        } else if (errno != EINTR) {
            close_connection(connection);
            return;
        }
    }
    ev_io_stop(connection->net->loop, &connection->writable);
    tw_buffer_free(output);
    if (connection->closing)
        close_connection(connection);
    else if (!connection->request_pending)
        mark_idle(connection);
}

static const char *reason_phrase(int status) {
    static const struct {
        int status;
        const char *reason;
    } reasons[] = {
        {200, "OK"},
        {201, "Created"},
        {400, "Bad Request"},
        {404, "Not Found"},
        {405, "Method Not Allowed"},
        {409, "Conflict"},
        {421, "Misdirected Request"},
        {422, "Unprocessable Entity"},
        {429, "Too Many Requests"},
        {503, "Service Unavailable"},
    };
    for (size_t i = 0; i < sizeof reasons / sizeof *reasons; i++)
        if (reasons[i].status == status) return reasons[i].reason;
    return "Status";
}

/* Appends the response to the pending request to the output. */
static void write_response(server_connection *connection, int status, double retry_after,
                           const char *body, size_t length) {
    tw_buffer *output = &connection->output;
    if (!connection->keep_alive) connection->closing = true;
    tw_buffer_reserve(output, HEAD_RESERVE_BYTES + length);
    tw_buffer_append_text(output, "HTTP/1.1 ");
    tw_buffer_append_number(output, (size_t)status);
    tw_buffer_append_text(output, " ");
    tw_buffer_append_text(output, reason_phrase(status));
    tw_buffer_append_text(output, "\r\nContent-Type: application/json\r\nContent-Length: ");
    tw_buffer_append_number(output, length);
    if (retry_after > 0) {
        tw_buffer_append_text(output, "\r\nRetry-After: ");
        tw_buffer_append_number(output, retry_after < 1 ? 1 : (size_t)(retry_after + 0.5));
    }
    if (connection->closing) tw_buffer_append_text(output, "\r\nConnection: close");
    tw_buffer_append_text(output, "\r\n\r\n");
    tw_buffer_append(output, body, length);
    connection->request_pending = false;
}

void tw_net_reply(tw_net *net, uint64_t conn, int status, double retry_after, const char *body,
                  size_t len) {
    server_connection *connection = find_connection(net, conn);
    if (!connection || !connection->request_pending) return; /* closed or answered */
    write_response(connection, status, retry_after, body, len);
    send_output(connection);
    connection = find_connection(net, conn);
    /* Input buffered in the meantime is parsed from the event loop, so that the request handler is
     * not called within tw_net_reply. */
    if (connection && connection->input.length && !connection->request_pending)
        ev_feed_event(net->loop, &connection->readable, EV_CUSTOM);
}

static void reject_malformed(server_connection *connection) {
    static const char message[] = "{\"error\":\"malformed request\"}";
    connection->keep_alive = false;
    connection->request_pending = true;
    tw_buffer_free(&connection->input);
    write_response(connection, STATUS_MALFORMED, 0, message, sizeof message - 1);
    send_output(connection);
}

/* ---- requests ---- */

static int on_message_begin(http_parser *parser) {
    server_connection *connection = parser->data;
    connection->oversized = false;
    return 0;
}

static int on_url(http_parser *parser, const char *bytes, size_t length) {
    server_connection *connection = parser->data;
    if (connection->path.length + length > TW_NET_MAX_PATH)
        connection->oversized = true;
    else
        tw_buffer_append(&connection->path, bytes, length);
    return 0;
}

/* Returns the largest body that the current request, whose path is known, may have. */
static size_t find_max_body(server_connection *connection) {
    const tw_net *net = connection->net;
    if (!net->limits.max_request || connection->oversized) return TW_NET_MAX_BODY;
    return net->limits.max_request(net->context, connection->port,
                                   tw_buffer_text(&connection->path));
}

/* Reserves memory for the whole body if the headers give its length. */
static int on_headers_complete(http_parser *parser) {
    server_connection *connection = parser->data;
    connection->max_body = find_max_body(connection);
    if (parser->content_length <= connection->max_body)
        tw_buffer_reserve(&connection->body, (size_t)parser->content_length);
    return 0;
}

static int on_body(http_parser *parser, const char *bytes, size_t length) {
    server_connection *connection = parser->data;
    if (connection->body.length + length > connection->max_body) {
        connection->oversized = true;
        return 1; /* stop parsing */
    }
    tw_buffer_append(&connection->body, bytes, length);
    return 0;
}

static int on_message_complete(http_parser *parser) {
    server_connection *connection = parser->data;
    connection->keep_alive = http_should_keep_alive(parser) != 0;
    connection->request_pending = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_message_begin,
    .on_url = on_url,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

/* Parses bytes up to the end of a request, or all bytes if the request is incomplete. Returns the
 * number of parsed bytes, or -1 if the input is not a valid HTTP request. */
static ssize_t parse(server_connection *connection, const char *bytes, size_t length) {
    size_t consumed = http_parser_execute(&connection->parser, &parser_settings, bytes, length);
    enum http_errno error = HTTP_PARSER_ERRNO(&connection->parser);
    if (error == HPE_PAUSED)
        http_parser_pause(&connection->parser, 0);
    else if (error != HPE_OK || connection->parser.upgrade)
        return -1;
    return (ssize_t)consumed;
}

/* Passes the pending request to the owner's handler, which may answer it immediately. Returns the
 * connection, or NULL if it was closed during the call. */
static server_connection *deliver_request(server_connection *connection) {
    tw_net *net = connection->net;
    const uint64_t id = connection->id;
    /* Moves the buffers out of the connection, since the handler may cause it to be closed. */
    tw_buffer path = connection->path;
    tw_buffer body = connection->body;
    memset(&connection->path, 0, sizeof path);
    memset(&connection->body, 0, sizeof body);
    connection->has_priority = has_priority_caller(connection, tw_buffer_text(&path));
    net->handler.request(net->context, connection->port, id,
                         http_method_str(connection->parser.method), tw_buffer_text(&path),
                         tw_buffer_text(&body), body.length);
    tw_buffer_free(&path);
    tw_buffer_free(&body);
    return find_connection(net, id);
}

/* Buffers input that can be parsed only after the pending request has been answered. Closes the
 * connection if the buffered input exceeds the maximum size of a request. */
static void buffer_input(server_connection *connection, const char *bytes, size_t length) {
    if (connection->input.length + length > MAX_BUFFERED_INPUT)
        close_connection(connection);
    else
        tw_buffer_append(&connection->input, bytes, length);
}

/* Parses and delivers the requests in the bytes, each after the previous one has been answered.
 * Input after a request that is not answered immediately is buffered. */
static void process_requests(server_connection *connection, const char *bytes, size_t length) {
    size_t consumed = 0;
    while (consumed < length && !connection->request_pending && !connection->closing) {
        ssize_t parsed = parse(connection, bytes + consumed, length - consumed);
        if (parsed < 0) {
            reject_malformed(connection);
            return;
        }
        consumed += (size_t)parsed;
        if (!connection->request_pending) continue;
        mark_busy(connection);
        if (connection->oversized) {
            reject_malformed(connection);
            return;
        }
        connection = deliver_request(connection);
        if (!connection) return;
    }
    if (consumed < length) buffer_input(connection, bytes + consumed, length - consumed);
}

static void process_buffered_input(server_connection *connection) {
    tw_buffer input = connection->input;
    memset(&connection->input, 0, sizeof input);
    process_requests(connection, tw_buffer_text(&input), input.length);
    tw_buffer_free(&input);
}

/* ---- event loop callbacks ---- */

static void read_input(server_connection *connection) {
    tw_net *net = connection->net;
    ssize_t count = read(connection->socket, net->read_buffer, TW_NET_READ_SIZE);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (count <= 0) {
        close_connection(connection);
        return;
    }
    mark_busy(connection);
    ev_timer_again(net->loop, &connection->idle_timer);
    if (connection->input.length)
        buffer_input(connection, net->read_buffer, (size_t)count);
    else
        process_requests(connection, net->read_buffer, (size_t)count);
}

/* Called when the socket is readable, and by tw_net_reply when buffered input can be parsed. */
static void on_readable(struct ev_loop *loop, ev_io *watcher, int events) {
    server_connection *connection = watcher->data;
    (void)loop;
    if (!connection->request_pending && !connection->closing && connection->input.length)
        process_buffered_input(connection);
    else if (events & EV_READ)
        read_input(connection);
}

static void on_writable(struct ev_loop *loop, ev_io *watcher, int events) {
    (void)loop;
    (void)events;
    send_output(watcher->data);
}

static void on_idle(struct ev_loop *loop, ev_timer *watcher, int events) {
    (void)loop;
    (void)events;
    close_connection(watcher->data);
}

/* ---- new connections ---- */

/* Returns true if one more connection can be accepted. If the limit is reached, first closes the
 * longest idle connection without priority, provided that it was idle for evictable_after_s. */
static bool ensure_connection_slot(tw_net *net) {
    server_connection *longest_idle = net->server.evictable;
    if (net->server.count < net->limits.max_server) return true;
    if (longest_idle &&
        ev_now(net->loop) - longest_idle->idle_since >= net->limits.evictable_after_s)
        close_connection(longest_idle);
    return net->server.count < net->limits.max_server;
}

static void add_connection(server_listener *listener, int socket) {
    tw_net *net = listener->net;
    server_connection *connection = tw_net_alloc(sizeof *connection);
    connection->net = net;
    connection->id = ++net->server.last_id;
    connection->socket = socket;
    connection->port = listener->port;
    http_parser_init(&connection->parser, HTTP_REQUEST);
    connection->parser.data = connection;
    ev_io_init(&connection->readable, on_readable, socket, EV_READ);
    ev_io_init(&connection->writable, on_writable, socket, EV_WRITE);
    ev_timer_init(&connection->idle_timer, on_idle, 0., net->limits.idle_s);
    connection->readable.data = connection;
    connection->writable.data = connection;
    connection->idle_timer.data = connection;
    ev_io_start(net->loop, &connection->readable);
    ev_timer_again(net->loop, &connection->idle_timer);
    HASH_ADD(hh, net->server.connections, id, sizeof connection->id, connection);
    net->server.count++;
    connection->has_priority = has_priority_caller(connection, "");
    mark_idle(connection);
}

static void on_acceptable(struct ev_loop *loop, ev_io *watcher, int events) {
    server_listener *listener = watcher->data;
    (void)loop;
    (void)events;
    for (int i = 0; i < MAX_ACCEPTS_PER_EVENT; i++) {
        int socket = accept4(listener->socket, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket < 0) return;
        if (!ensure_connection_slot(listener->net)) {
            close(socket); /* refused without delay, so that the caller tries another node */
            continue;
        }
        tw_socket_set_no_delay(socket);
        add_connection(listener, socket);
    }
}

/* Returns a socket that listens on the address, or -1 with errno set. */
static int open_listener(const char *address_text) {
    struct sockaddr_in address;
    int on = 1;
    if (!tw_address_parse(address_text, &address)) {
        errno = EINVAL;
        return -1;
    }
    int socket = tw_socket_open();
    if (socket < 0) return -1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (!bind(socket, (struct sockaddr *)&address, sizeof address) && !listen(socket, BACKLOG))
        return socket;
    int error = errno;
    close(socket);
    errno = error;
    return -1;
}

int tw_net_listen(tw_net *net, const char *addr, int port) {
    int socket = open_listener(addr);
    if (socket < 0) return -1;
    server_listener *listener = tw_net_alloc(sizeof *listener);
    listener->net = net;
    listener->socket = socket;
    listener->port = port;
    ev_io_init(&listener->readable, on_acceptable, socket, EV_READ);
    listener->readable.data = listener;
    ev_io_start(net->loop, &listener->readable);
    LL_PREPEND(net->server.listeners, listener);
    return 0;
}

void tw_net_server_free(tw_net *net) {
    server_connection *connection;
    server_connection *next;
    server_listener *listener;
    server_listener *next_listener;
    HASH_ITER(hh, net->server.connections, connection, next) { close_connection(connection); }
    LL_FOREACH_SAFE(net->server.listeners, listener, next_listener) {
        ev_io_stop(net->loop, &listener->readable);
        close(listener->socket);
        free(listener);
    }
}
