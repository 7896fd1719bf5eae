/* Tests the net package over loopback. At its connection limit a server closes the connection that
 * has been idle longest to accept a new one, but never closes connections that its `keeps` callback
 * protects (workers' heartbeats); if all are protected, it refuses the new one. Further tests:
 * requests that arrive split, pipelined, large or are answered late; calls that are large, answered
 * before they are fully sent, or made on a closed connection. Each step waits for the previous one;
 * no times are asserted. */
#include "net/net.h"
#include "own_host.h"
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    SERVER_LIMIT = 4,
    MAX_CLIENTS = 8,
    PORT = 8080,
    WAIT_LIMIT_MS = 5000,
    CALL_S = 1000,
    TEXT_SIZE = 512,
    LONG_LENGTH = 60000,
    LARGEST_RESPONSE = 400000,
    OVERSIZED_LENGTH = 70000,
    BURST_CONNECTIONS = 600,
    OK = 200
};

static tw_net *net;
static struct ev_loop *loop;
static int failed;

/* The last request to the server, and how the server answers it. */
static struct {
    int count;
    bool answer_later;    /* the test answers later with answer(); if false, on_request answers */
    size_t answer_length; /* length of the body; 0: the body is "{}" */
    uint64_t connection;
    size_t body_length;
    char path[TEXT_SIZE];
    char body[LONG_LENGTH + 1];
} last_request;

/* The result of the last call. */
static struct {
    int count;
    int status;
    size_t length;
} last_result;

static void check(bool ok, const char *what) {
    if (ok) return;
    failed = 1;
    printf("FAIL net: %s\n", what);
}

static void answer(uint64_t connection) {
    static char body[LARGEST_RESPONSE];
    size_t length = last_request.answer_length;
    memset(body, 'a', sizeof body);
    if (length)
        tw_net_reply(net, connection, OK, 0, body, length);
    else
        tw_net_reply(net, connection, OK, 0, "{}", 2);
}

static void on_request(void *context, int own_port, uint64_t connection, const char *method,
                       const char *path, const char *body, size_t length) {
    (void)context;
    (void)own_port;
    (void)method;
    last_request.count++;
    last_request.connection = connection;
    last_request.body_length = length;
    snprintf(last_request.path, sizeof last_request.path, "%s", path);
    if (length < sizeof last_request.body) memcpy(last_request.body, body, length + 1);
    if (!last_request.answer_later) answer(connection);
}

static void on_response(void *context, uint64_t call, int status, const char *body, size_t length) {
    (void)context;
    (void)call;
    (void)body;
    last_result.count++;
    last_result.status = status;
    last_result.length = length;
}

static bool is_priority_caller(int own_port, const char *path) {
    (void)own_port;
    return !strcmp(path, "/hello");
}

/* ---- client sockets of the test ---- */

static struct sockaddr_in loopback_address(int port) {
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    address.sin_addr = tw_loopback_own_host();
    return address;
}

/* Writes a port on this test's own address as IP:PORT. */
static void own_address(char text[TEXT_SIZE], int port) {
    char host[TW_LOOPBACK_HOST_SIZE];
    tw_loopback_own_host_text(host);
    snprintf(text, TEXT_SIZE, "%s:%d", host, port);
}

static int connect_to_server(void) {
    struct sockaddr_in address = loopback_address(PORT);
    int connection = socket(AF_INET, SOCK_STREAM, 0);
    if (connection < 0 || connect(connection, (struct sockaddr *)&address, sizeof address))
        return -1;
    return connection;
}

static bool is_readable(int socket, int wait_ms) {
    struct pollfd polled = {.fd = socket, .events = POLLIN};
    return poll(&polled, 1, wait_ms) > 0;
}

/* Runs the loop until the socket is readable and reads from it. Returns 1 if bytes were read, 0 if
 * the connection was closed, or -1 if neither happened in time. */
static int read_answer(int socket) {
    for (int i = 0; i < WAIT_LIMIT_MS; i++) {
        ev_run(loop, EVRUN_NOWAIT);
        if (!is_readable(socket, 1)) continue;
        char text[TEXT_SIZE];
        return read(socket, text, sizeof text) > 0;
    }
    return -1;
}

static bool send_text(int socket, const char *text) {
    size_t length = strlen(text);
    return send(socket, text, length, MSG_NOSIGNAL) == (ssize_t)length;
}

static int send_request(int socket, const char *path) {
    char text[TEXT_SIZE];
    snprintf(text, sizeof text, "GET %s HTTP/1.1\r\n\r\n", path);
    return send_text(socket, text) ? read_answer(socket) : 0;
}

/* Runs the loop until the counter reaches the wanted value or the time limit passes. Returns
 * whether the counter has exactly that value. */
static bool run_until_count(const int *count, int wanted) {
    for (int i = 0; i < WAIT_LIMIT_MS && *count < wanted; i++) {
        ev_run(loop, EVRUN_NOWAIT);
        if (*count < wanted) poll(NULL, 0, 1);
    }
    return *count == wanted;
}

/* Runs ten rounds of the loop, to process pending events or to show that none occur. */
static void run_idle_rounds(void) {
    for (int i = 0; i < 10; i++) {
        ev_run(loop, EVRUN_NOWAIT);
        poll(NULL, 0, 1);
    }
}

/* Runs the loop and reads from the socket until `wanted` bytes were read, the connection was closed
 * or the time limit passed. Returns the number of bytes read. */
static size_t read_bytes(int socket, size_t wanted) {
    size_t received = 0;
    char bytes[TEXT_SIZE];
    for (int i = 0; i < WAIT_LIMIT_MS && received < wanted; i++) {
        ev_run(loop, EVRUN_NOWAIT);
        while (is_readable(socket, 0)) {
            ssize_t count = read(socket, bytes, sizeof bytes);
            if (count <= 0) return received;
            received += (size_t)count;
        }
        poll(NULL, 0, received < wanted);
    }
    return received;
}

/* Reads and discards all bytes that arrive on the socket. */
static void discard_input(int socket) {
    char bytes[TEXT_SIZE];
    run_idle_rounds();
    while (is_readable(socket, 0) && read(socket, bytes, sizeof bytes) > 0)
        ev_run(loop, EVRUN_NOWAIT);
}

/* One path takes larger bodies than the others. */
static size_t max_request(void *owner, int port, const char *path) {
    (void)owner;
    (void)port;
    return strcmp(path, "/hello") ? TW_NET_MAX_BODY : 2 * (size_t)LONG_LENGTH;
}

static void start_server(int max_connections) {
    const tw_net_limits limits = {.max_server = max_connections,
                                  .max_client = MAX_CLIENTS,
                                  .idle_s = CALL_S,
                                  .is_priority_caller = is_priority_caller,
                                  .max_request = max_request,
                                  .priority_idle_s = CALL_S,
                                  .max_response = LARGEST_RESPONSE};
    const tw_net_handler handler = {on_request, on_response};
    net = tw_net_new(loop, &limits, &handler, NULL);
    memset(&last_request, 0, sizeof last_request);
    memset(&last_result, 0, sizeof last_result);
    char address[TEXT_SIZE];
    own_address(address, PORT);
    if (!tw_net_listen(net, address, 0)) return;
    printf("FAIL net: cannot listen on %s\n", address);
    exit(2);
}

/* ---- the server ---- */

static void server_at_limit(void) {
    int user[MAX_CLIENTS];
    int worker[MAX_CLIENTS];
    start_server(SERVER_LIMIT);
    worker[0] = connect_to_server();
    check(send_request(worker[0], "/hello") == 1, "the first worker is answered");
    for (int i = 0; i < 3; i++) {
        user[i] = connect_to_server();
        check(send_request(user[i], "/up") == 1, "users are answered below the connection limit");
    }
    check(send_request(user[0], "/up") == 1,
          "a second request of a user is answered and ends its idle time");
    for (int i = 1; i < 3; i++) {
        worker[i] = connect_to_server();
        check(send_request(worker[i], "/hello") == 1, "a worker is answered by a full server");
        check(read_answer(user[i]) == 0,
              "the user's connection that has been idle longest is closed for it");
    }
    user[3] = connect_to_server();
    check(send_request(user[3], "/up") == 1, "a new user is answered by a full server");
    check(read_answer(user[0]) == 0, "the idle user's connection is closed for it");
    worker[3] = connect_to_server();
    check(send_request(worker[3], "/hello") == 1, "a fourth worker is answered by a full server");
    for (int i = 0; i < 4; i++)
        check(send_request(worker[i], "/hello") == 1, "workers' connections stay open");
    user[4] = connect_to_server();
    check(send_request(user[4], "/up") == 0, "a user is refused if only workers are connected");
    worker[4] = connect_to_server();
    check(send_request(worker[4], "/hello") == 0, "a worker beyond the limit is refused");
    for (int i = 0; i < 4; i++)
        check(send_request(worker[i], "/hello") == 1,
              "workers' connections stay open after the refusals");
    tw_net_free(net);
}

static void request_byte_by_byte(void) {
    static const char request[] = "POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody";
    start_server(SERVER_LIMIT);
    int user = connect_to_server();
    for (const char *letter = request; *letter; letter++) {
        char byte[2] = {*letter, 0};
        check(send_text(user, byte), "a byte of a request is sent");
        ev_run(loop, EVRUN_NOWAIT);
    }
    check(read_answer(user) == 1, "a request that arrives byte by byte is answered");
    check(last_request.count == 1 && !strcmp(last_request.path, "/a"),
          "a request in single bytes is handed over once, with its path");
    check(last_request.body_length == 4 && !strcmp(last_request.body, "body"),
          "a request in single bytes is handed over with its body");
    close(user);
    tw_net_free(net);
}

static void pipelined_requests(void) {
    start_server(SERVER_LIMIT);
    last_request.answer_later = true;
    int user = connect_to_server();
    check(send_text(user, "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\nGET /c HT"),
          "two requests and a part of a third are sent");
    check(run_until_count(&last_request.count, 1), "the first request is handed over");
    run_idle_rounds();
    check(last_request.count == 1, "the second request waits for the first one's answer");
    check(send_text(user, "TP/1.1\r\n\r\n"), "the rest of the third request is sent");
    run_idle_rounds();
    answer(last_request.connection);
    check(run_until_count(&last_request.count, 2) && !strcmp(last_request.path, "/b"),
          "the second request is handed over after the first one's answer");
    last_request.answer_later = false;
    answer(last_request.connection);
    check(run_until_count(&last_request.count, 3) && !strcmp(last_request.path, "/c"),
          "the third request is handed over whole");
    answer(last_request.connection);
    run_idle_rounds();
    check(last_request.count == 3, "no request is handed over twice");
    check(send_request(user, "/d") == 1, "a later request on the connection is answered");
    close(user);
    tw_net_free(net);
}

static void long_messages(void) {
    static char body[LONG_LENGTH + 1];
    char head[TEXT_SIZE];
    start_server(SERVER_LIMIT);
    int user = connect_to_server();
    memset(body, 'b', LONG_LENGTH);
    snprintf(head, sizeof head, "POST /long HTTP/1.1\r\nContent-Length: %d\r\n\r\n", LONG_LENGTH);
    check(send_text(user, head) && send_text(user, body), "a long request is sent");
    check(read_answer(user) == 1 && last_request.body_length == LONG_LENGTH,
          "a long request is handed over whole");
    check(!strcmp(last_request.body, body), "a long request's body is handed over as sent");
    last_request.answer_length = LARGEST_RESPONSE;
    check(send_text(user, "GET /large HTTP/1.1\r\n\r\n"), "a request for a large answer is sent");
    run_idle_rounds();
    check(read_bytes(user, LARGEST_RESPONSE) >= LARGEST_RESPONSE, "a large answer arrives whole");
    last_request.answer_length = 0;
    run_idle_rounds();
    int other = connect_to_server();
    snprintf(head, sizeof head, "POST /over HTTP/1.1\r\nContent-Length: %d\r\n\r\n",
             OVERSIZED_LENGTH);
    check(send_text(other, head) && send_text(other, body),
          "a request with an oversized body is sent");
    check(send_text(other, body), "the rest of an oversized body is sent");
    check(read_answer(other) == 1, "an oversized request is refused");
    check(strcmp(last_request.path, "/over") != 0, "an oversized request is not handed over");
    int worker = connect_to_server();
    snprintf(head, sizeof head, "POST /hello HTTP/1.1\r\nContent-Length: %d\r\n\r\n",
             2 * LONG_LENGTH);
    check(send_text(worker, head) && send_text(worker, body) && send_text(worker, body),
          "a request to a path with a larger limit is sent");
    check(read_answer(worker) == 1 && last_request.body_length == 2 * (size_t)LONG_LENGTH,
          "a request within its path's limit is handed over whole");
    close(worker);
    close(user);
    close(other);
    tw_net_free(net);
}

/* ---- the client ---- */

static int peer; /* listening socket of the peer that receives the calls */

static void send_call(const char *body) {
    char address[TEXT_SIZE];
    struct sockaddr_in bound;
    socklen_t size = sizeof bound;
    getsockname(peer, (struct sockaddr *)&bound, &size);
    own_address(address, ntohs(bound.sin_port));
    tw_net_call(net, 1, address, 1, "POST", "/called", body, CALL_S);
}

static void start_peer(void) {
    struct sockaddr_in any = loopback_address(0);
    peer = socket(AF_INET, SOCK_STREAM, 0);
    check(!bind(peer, (struct sockaddr *)&any, sizeof any) && !listen(peer, 4), "a peer listens");
}

/* Runs the loop until a connection to the peer arrives. Returns its socket, or -1 if none does. */
static int accept_connection(void) {
    for (int i = 0; i < WAIT_LIMIT_MS; i++) {
        ev_run(loop, EVRUN_NOWAIT);
        if (is_readable(peer, 1)) return accept(peer, NULL, NULL);
    }
    return -1;
}

/* Reads a call at the peer and sends `text` in response. */
static void answer_call(int connection, const char *text) {
    check(read_answer(connection) == 1, "a call arrives at the peer");
    check(send_text(connection, text), "the peer's answer is sent");
}

static void calls_on_open_connection(void) {
    static const char ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    start_server(SERVER_LIMIT);
    start_peer();
    send_call("first");
    int connection = accept_connection();
    answer_call(connection, ok);
    check(run_until_count(&last_result.count, 1) && last_result.status == OK,
          "a call ends with its answer");
    send_call("second");
    check(is_readable(connection, WAIT_LIMIT_MS),
          "a call on an open connection is sent before the loop runs");
    check(send_text(connection, "HTTP/1.1 200 OK\r\nContent-Le"),
          "the first part of an answer is sent");
    run_idle_rounds();
    check(last_result.count == 1, "a call does not end with a partial answer");
    check(send_text(connection, "ngth: 4\r\n\r\n{  }"), "the rest of the answer is sent");
    check(run_until_count(&last_result.count, 2) && last_result.length == 4,
          "a call ends with an answer that arrives split");
    close(connection);
    run_idle_rounds();
    send_call("third");
    check(last_result.count == 2,
          "the close of an idle connection is not reported as a failed call");
    connection = accept_connection();
    answer_call(connection, ok);
    check(run_until_count(&last_result.count, 3) && last_result.status == OK,
          "the next call opens another connection");
    close(connection);
    send_call("fourth");
    check(last_result.count == 3, "tw_net_call does not report the call's end before it returns");
    check(run_until_count(&last_result.count, 4) && last_result.status == 0,
          "a call on a connection that was just closed ends without an answer");
    run_idle_rounds();
    check(last_result.count == 4, "a call on a closed connection ends only once");
    close(peer);
    tw_net_free(net);
}

/* Returns a body of that length, which the caller frees. */
static char *repeated_body(size_t length) {
    char *body = malloc(length + 1);
    if (!body) abort();
    memset(body, 'c', length);
    body[length] = 0;
    return body;
}

static void calls_larger_than_send_buffer(void) {
    static const char ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    const size_t length = (size_t)16 << 20;
    char *body = repeated_body(length);
    start_server(SERVER_LIMIT);
    start_peer();
    send_call("first");
    int connection = accept_connection();
    answer_call(connection, ok);
    check(run_until_count(&last_result.count, 1), "a connection is open");
    send_call(body);
    check(read_bytes(connection, length) >= length,
          "a call larger than the socket's send buffer arrives whole");
    discard_input(connection);
    check(send_text(connection, ok), "the large call's answer is sent");
    check(run_until_count(&last_result.count, 2) && last_result.status == OK,
          "the large call ends with its answer");
    send_call(body);
    check(read_answer(connection) == 1, "a second large call begins to arrive");
    check(send_text(connection, "HTTP/1.1 400 Bad Request\r\nContent-Length: 2\r\n\r\n{}"),
          "the second large call is answered before all of it was sent");
    check(run_until_count(&last_result.count, 3) && last_result.status == 400,
          "the second large call ends with the early answer");
    send_call("next");
    int other = accept_connection();
    check(other >= 0, "the next call uses another connection than the incomplete one");
    if (other >= 0) answer_call(other, ok);
    check(run_until_count(&last_result.count, 4) && last_result.status == OK,
          "the next call ends with its answer");
    close(connection);
    close(other);
    close(peer);
    free(body);
    tw_net_free(net);
}

static void response_too_large(void) {
    char head[TEXT_SIZE];
    char *body = repeated_body(LARGEST_RESPONSE);
    start_server(SERVER_LIMIT);
    start_peer();
    send_call("large");
    int connection = accept_connection();
    snprintf(head, sizeof head, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", LARGEST_RESPONSE);
    answer_call(connection, head);
    fcntl(connection, F_SETFL, O_NONBLOCK);
    for (size_t sent = 0; sent < LARGEST_RESPONSE;) {
        ssize_t count = send(connection, body + sent, LARGEST_RESPONSE - sent, MSG_NOSIGNAL);
        if (count > 0) sent += (size_t)count;
        ev_run(loop, EVRUN_NOWAIT);
    }
    check(run_until_count(&last_result.count, 1) && last_result.status == OK &&
              last_result.length == LARGEST_RESPONSE,
          "a response of the largest allowed size is accepted");
    send_call("too large");
    snprintf(head, sizeof head, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n",
             LARGEST_RESPONSE + 1);
    answer_call(connection, head);
    for (size_t sent = 0; sent <= LARGEST_RESPONSE && last_result.count < 2;) {
        ssize_t count = send(connection, body, LARGEST_RESPONSE, MSG_NOSIGNAL);
        if (count > 0) sent += (size_t)count;
        ev_run(loop, EVRUN_NOWAIT);
    }
    check(run_until_count(&last_result.count, 2) && last_result.status == 0,
          "a call ends without an answer if the response is larger than allowed");
    close(connection);
    close(peer);
    free(body);
    tw_net_free(net);
}

/* Begins to connect to the server without blocking. Returns the socket, or -1 on failure. */
static int begin_connect(void) {
    struct sockaddr_in address = loopback_address(PORT);
    int connection = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (connection < 0) return -1;
    if (!connect(connection, (struct sockaddr *)&address, sizeof address) || errno == EINPROGRESS)
        return connection;
    close(connection);
    return -1;
}

/* Guards against a short listen backlog: when a node ends, all its workers connect to another node
 * at the same moment, before that one accepts any connection. */
static void connection_burst(void) {
    struct pollfd connections[BURST_CONNECTIONS];
    int open = 0;
    start_server(SERVER_LIMIT);
    for (int i = 0; i < BURST_CONNECTIONS; i++)
        connections[i] = (struct pollfd){.fd = begin_connect(), .events = POLLOUT};
    poll(connections, BURST_CONNECTIONS, 0);
    for (int i = 0; i < BURST_CONNECTIONS; i++) {
        open += connections[i].fd >= 0 && (connections[i].revents & POLLOUT);
        if (connections[i].fd >= 0) close(connections[i].fd);
    }
    check(open == BURST_CONNECTIONS, "hundreds of connections may wait to be accepted");
    tw_net_free(net);
}

int main(void) {
    signal(SIGPIPE, SIG_IGN);
    loop = ev_default_loop(EVFLAG_AUTO);
    server_at_limit();
    request_byte_by_byte();
    pipelined_requests();
    long_messages();
    calls_on_open_connection();
    calls_larger_than_send_buffer();
    response_too_large();
    connection_burst();
    if (!failed) printf("ok net\n");
    return failed;
}
