/* The net package over loopback. A full server: who must be answered first takes the place of those
 * idle for longest, and is never closed for others; where nobody can go, the next one is refused.
 * Requests in parts, together, long and answered late; calls that are long, answered early or on a
 * connection that was closed. Each step waits for the one before; no time is asserted. */
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
    ROOM = 4,
    MAX_CLIENTS = 8,
    PORT = 8080,
    LONG_ENOUGH_MS = 5000,
    CALL_S = 1000,
    TEXT = 512,
    LONG_BODY = 60000,
    LARGEST_RESPONSE = 400000,
    OVERSIZED_BODY = 70000,
    MANY_AT_ONCE = 600,
    OK = 200
};

static tw_net *net;
static struct ev_loop *loop;
static int failed;

/* What the server was asked last, and how it answers: at once unless it is told to wait. */
static struct {
    int count;
    bool wait;
    size_t answer_length; /* 0: "{}" */
    uint64_t connection;
    size_t body_length;
    char path[TEXT];
    char body[LONG_BODY + 1];
} asked;

/* How the last call ended. */
static struct {
    int count;
    int status;
    size_t length;
} ended;

static void check(bool ok, const char *what) {
    if (ok) return;
    failed = 1;
    printf("FAIL net: %s\n", what);
}

static void answer(uint64_t connection) {
    static char body[LARGEST_RESPONSE];
    size_t length = asked.answer_length;
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
    asked.count++;
    asked.connection = connection;
    asked.body_length = length;
    snprintf(asked.path, sizeof asked.path, "%s", path);
    if (length < sizeof asked.body) memcpy(asked.body, body, length + 1);
    if (!asked.wait) answer(connection);
}

static void on_response(void *context, uint64_t call, int status, const char *body, size_t length) {
    (void)context;
    (void)call;
    (void)body;
    ended.count++;
    ended.status = status;
    ended.length = length;
}

static bool is_priority_caller(int own_port, const char *path) {
    (void)own_port;
    return !strcmp(path, "/hello");
}

/* ---- sockets of the test's own ---- */

static struct sockaddr_in loopback(int at) {
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)at)};
    address.sin_addr = tw_loopback_own_host();
    return address;
}

/* IP:PORT of a listener of this test. */
static void own_address(char text[TEXT], int at) {
    char host[TW_LOOPBACK_HOST_SIZE];
    tw_loopback_own_host_text(host);
    snprintf(text, TEXT, "%s:%d", host, at);
}

static int dial(void) {
    struct sockaddr_in address = loopback(PORT);
    int dialled = socket(AF_INET, SOCK_STREAM, 0);
    if (dialled < 0 || connect(dialled, (struct sockaddr *)&address, sizeof address)) return -1;
    return dialled;
}

static bool is_readable(int socket, int wait_ms) {
    struct pollfd polled = {.fd = socket, .events = POLLIN};
    return poll(&polled, 1, wait_ms) > 0;
}

/* What comes on the socket while the loop runs: 1 an answer, 0 closed. */
static int hear(int socket) {
    for (int i = 0; i < LONG_ENOUGH_MS; i++) {
        ev_run(loop, EVRUN_NOWAIT);
        if (!is_readable(socket, 1)) continue;
        char text[TEXT];
        return read(socket, text, sizeof text) > 0;
    }
    return -1;
}

static bool send_text(int socket, const char *text) {
    size_t length = strlen(text);
    return send(socket, text, length, MSG_NOSIGNAL) == (ssize_t)length;
}

static int ask(int socket, const char *path) {
    char text[TEXT];
    snprintf(text, sizeof text, "GET %s HTTP/1.1\r\n\r\n", path);
    return send_text(socket, text) ? hear(socket) : 0;
}

/* Runs the loop until the count is reached, or for long enough. */
static bool reach(const int *count, int wanted) {
    for (int i = 0; i < LONG_ENOUGH_MS && *count < wanted; i++) {
        ev_run(loop, EVRUN_NOWAIT);
        if (*count < wanted) poll(NULL, 0, 1);
    }
    return *count == wanted;
}

/* Runs the loop while some rounds pass in which nothing more should happen. */
static void settle(void) {
    for (int i = 0; i < 10; i++) {
        ev_run(loop, EVRUN_NOWAIT);
        poll(NULL, 0, 1);
    }
}

/* Bytes read from the socket while the loop runs, until as many as wanted came or it was closed. */
static size_t hear_bytes(int socket, size_t wanted) {
    size_t heard = 0;
    char bytes[TEXT];
    for (int i = 0; i < LONG_ENOUGH_MS && heard < wanted; i++) {
        ev_run(loop, EVRUN_NOWAIT);
        while (is_readable(socket, 0)) {
            ssize_t count = read(socket, bytes, sizeof bytes);
            if (count <= 0) return heard;
            heard += (size_t)count;
        }
        poll(NULL, 0, heard < wanted);
    }
    return heard;
}

/* Reads away what has come and what still comes. */
static void drain(int socket) {
    char bytes[TEXT];
    settle();
    while (is_readable(socket, 0) && read(socket, bytes, sizeof bytes) > 0)
        ev_run(loop, EVRUN_NOWAIT);
}

static void start(int room) {
    const tw_net_limits limits = {.max_server = room,
                                  .max_client = MAX_CLIENTS,
                                  .idle_s = CALL_S,
                                  .is_priority_caller = is_priority_caller,
                                  .priority_idle_s = CALL_S,
                                  .max_response = LARGEST_RESPONSE};
    const tw_net_handler handler = {on_request, on_response};
    net = tw_net_new(loop, &limits, &handler, NULL);
    memset(&asked, 0, sizeof asked);
    memset(&ended, 0, sizeof ended);
    char address[TEXT];
    own_address(address, PORT);
    if (!tw_net_listen(net, address, 0)) return;
    printf("FAIL net: can't listen on %s\n", address);
    exit(2);
}

/* ---- the server ---- */

static void full_server(void) {
    int user[MAX_CLIENTS];
    int worker[MAX_CLIENTS];
    start(ROOM);
    worker[0] = dial();
    check(ask(worker[0], "/hello") == 1, "the first worker is answered");
    for (int i = 0; i < 3; i++) {
        user[i] = dial();
        check(ask(user[i], "/up") == 1, "users are answered while there is room");
    }
    check(ask(user[0], "/up") == 1, "a user that asks again is not the longest idle any more");
    for (int i = 1; i < 3; i++) {
        worker[i] = dial();
        check(ask(worker[i], "/hello") == 1, "a worker is answered by a full server");
        check(hear(user[i]) == 0, "a user's idle connection made room for it");
    }
    user[3] = dial();
    check(ask(user[3], "/up") == 1, "a user takes an idle user's place");
    check(hear(user[0]) == 0, "and that one is closed");
    worker[3] = dial();
    check(ask(worker[3], "/hello") == 1, "one more worker");
    for (int i = 0; i < 4; i++) check(ask(worker[i], "/hello") == 1, "workers stay");
    user[4] = dial();
    check(ask(user[4], "/up") == 0, "where only workers are left, a user is refused at once");
    worker[4] = dial();
    check(ask(worker[4], "/hello") == 0, "and a worker beyond the limit");
    for (int i = 0; i < 4; i++) check(ask(worker[i], "/hello") == 1, "workers stay after it");
    tw_net_free(net);
}

static void request_byte_by_byte(void) {
    static const char request[] = "POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody";
    start(ROOM);
    int user = dial();
    for (const char *letter = request; *letter; letter++) {
        char byte[2] = {*letter, 0};
        check(send_text(user, byte), "a byte is sent");
        ev_run(loop, EVRUN_NOWAIT);
    }
    check(hear(user) == 1, "a request that comes byte by byte is answered");
    check(asked.count == 1 && !strcmp(asked.path, "/a"), "once, with its path");
    check(asked.body_length == 4 && !strcmp(asked.body, "body"), "and with its body");
    close(user);
    tw_net_free(net);
}

static void requests_together(void) {
    start(ROOM);
    asked.wait = true;
    int user = dial();
    check(send_text(user, "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\nGET /c HT"),
          "two requests and a part of a third");
    check(reach(&asked.count, 1), "the first is handed over");
    settle();
    check(asked.count == 1, "the second waits for its answer");
    check(send_text(user, "TP/1.1\r\n\r\n"), "the rest of the third");
    settle();
    answer(asked.connection);
    check(reach(&asked.count, 2) && !strcmp(asked.path, "/b"), "then the second is handed over");
    asked.wait = false;
    answer(asked.connection);
    check(reach(&asked.count, 3) && !strcmp(asked.path, "/c"), "and the third, whole");
    answer(asked.connection);
    settle();
    check(asked.count == 3, "nothing is answered twice");
    check(ask(user, "/d") == 1, "the connection goes on");
    close(user);
    tw_net_free(net);
}

static void long_messages(void) {
    static char body[LONG_BODY + 1];
    char head[TEXT];
    start(ROOM);
    int user = dial();
    memset(body, 'b', LONG_BODY);
    snprintf(head, sizeof head, "POST /long HTTP/1.1\r\nContent-Length: %d\r\n\r\n", LONG_BODY);
    check(send_text(user, head) && send_text(user, body), "a long request is sent");
    check(hear(user) == 1 && asked.body_length == LONG_BODY, "it is taken whole");
    check(!strcmp(asked.body, body), "with the bytes that were sent");
    asked.answer_length = LARGEST_RESPONSE;
    check(send_text(user, "GET /large HTTP/1.1\r\n\r\n"), "a large answer is asked for");
    settle();
    check(hear_bytes(user, LARGEST_RESPONSE) >= LARGEST_RESPONSE, "all of it comes");
    asked.answer_length = 0;
    settle();
    int other = dial();
    snprintf(head, sizeof head, "POST /over HTTP/1.1\r\nContent-Length: %d\r\n\r\n",
             OVERSIZED_BODY);
    check(send_text(other, head) && send_text(other, body), "a request that is too long");
    check(send_text(other, body), "goes on");
    check(hear(other) == 1, "it is refused");
    check(strcmp(asked.path, "/over") != 0, "and not handed over");
    close(user);
    close(other);
    tw_net_free(net);
}

/* ---- the client ---- */

static int peer; /* the listening socket of whom we call */

static void call_peer(const char *body) {
    char address[TEXT];
    struct sockaddr_in bound;
    socklen_t size = sizeof bound;
    getsockname(peer, (struct sockaddr *)&bound, &size);
    own_address(address, ntohs(bound.sin_port));
    tw_net_call(net, 1, address, 1, "POST", "/called", body, CALL_S);
}

static void open_peer(void) {
    struct sockaddr_in any = loopback(0);
    peer = socket(AF_INET, SOCK_STREAM, 0);
    check(!bind(peer, (struct sockaddr *)&any, sizeof any) && !listen(peer, 4), "a peer listens");
}

/* The connection that was made to the peer. */
static int accept_call(void) {
    for (int i = 0; i < LONG_ENOUGH_MS; i++) {
        ev_run(loop, EVRUN_NOWAIT);
        if (is_readable(peer, 1)) return accept(peer, NULL, NULL);
    }
    return -1;
}

/* The peer takes what has come and answers. */
static void answer_call(int connection, const char *text) {
    check(hear(connection) == 1, "a call comes");
    check(send_text(connection, text), "and is answered");
}

static void calls_on_open_connection(void) {
    static const char ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    start(ROOM);
    open_peer();
    call_peer("first");
    int connection = accept_call();
    answer_call(connection, ok);
    check(reach(&ended.count, 1) && ended.status == OK, "a call ends with its answer");
    call_peer("second");
    check(is_readable(connection, LONG_ENOUGH_MS),
          "on an open connection a call is sent at once, without a turn of the loop");
    check(send_text(connection, "HTTP/1.1 200 OK\r\nContent-Le"), "an answer begins");
    settle();
    check(ended.count == 1, "and is waited for");
    check(send_text(connection, "ngth: 4\r\n\r\n{  }"), "and ends");
    check(reach(&ended.count, 2) && ended.length == 4, "an answer in pieces is taken whole");
    close(connection);
    settle();
    call_peer("third");
    check(ended.count == 2, "a closed connection is not told to have failed");
    connection = accept_call();
    answer_call(connection, ok);
    check(reach(&ended.count, 3) && ended.status == OK, "the next call opens another");
    close(connection);
    call_peer("fourth");
    check(ended.count == 3, "a call never ends within the call that began it");
    check(reach(&ended.count, 4) && ended.status == 0,
          "one on a connection just closed ends without an answer");
    settle();
    check(ended.count == 4, "and once");
    close(peer);
    tw_net_free(net);
}

/* A body that no socket takes at once. */
static char *endless_body(size_t length) {
    char *body = malloc(length + 1);
    if (!body) abort();
    memset(body, 'c', length);
    body[length] = 0;
    return body;
}

static void calls_longer_than_a_socket_takes(void) {
    static const char ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    const size_t length = (size_t)16 << 20;
    char *body = endless_body(length);
    start(ROOM);
    open_peer();
    call_peer("first");
    int connection = accept_call();
    answer_call(connection, ok);
    check(reach(&ended.count, 1), "a connection is open");
    call_peer(body);
    check(hear_bytes(connection, length) >= length,
          "a call longer than a socket takes comes whole");
    drain(connection);
    check(send_text(connection, ok), "its answer");
    check(reach(&ended.count, 2) && ended.status == OK, "ends it");
    call_peer(body);
    check(hear(connection) == 1, "another one begins");
    check(send_text(connection, "HTTP/1.1 400 Bad Request\r\nContent-Length: 2\r\n\r\n{}"),
          "and is answered before all of it was sent");
    check(reach(&ended.count, 3) && ended.status == 400, "it ends with that answer");
    call_peer("next");
    int other = accept_call();
    check(other >= 0, "the next call isn't sent after a part of another");
    if (other >= 0) answer_call(other, ok);
    check(reach(&ended.count, 4) && ended.status == OK, "and is answered");
    close(connection);
    close(other);
    close(peer);
    free(body);
    tw_net_free(net);
}

static void response_too_large(void) {
    char head[TEXT];
    char *body = endless_body(LARGEST_RESPONSE);
    start(ROOM);
    open_peer();
    call_peer("large");
    int connection = accept_call();
    snprintf(head, sizeof head, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", LARGEST_RESPONSE);
    answer_call(connection, head);
    fcntl(connection, F_SETFL, O_NONBLOCK);
    for (size_t sent = 0; sent < LARGEST_RESPONSE;) {
        ssize_t count = send(connection, body + sent, LARGEST_RESPONSE - sent, MSG_NOSIGNAL);
        if (count > 0) sent += (size_t)count;
        ev_run(loop, EVRUN_NOWAIT);
    }
    check(reach(&ended.count, 1) && ended.status == OK && ended.length == LARGEST_RESPONSE,
          "the largest response is taken");
    call_peer("too large");
    snprintf(head, sizeof head, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n",
             LARGEST_RESPONSE + 1);
    answer_call(connection, head);
    for (size_t sent = 0; sent <= LARGEST_RESPONSE && ended.count < 2;) {
        ssize_t count = send(connection, body, LARGEST_RESPONSE, MSG_NOSIGNAL);
        if (count > 0) sent += (size_t)count;
        ev_run(loop, EVRUN_NOWAIT);
    }
    check(reach(&ended.count, 2) && ended.status == 0, "a larger one is not");
    close(connection);
    close(peer);
    free(body);
    tw_net_free(net);
}

/* A connection that is being opened, without waiting for it; -1: failed. */
static int dial_without_waiting(void) {
    struct sockaddr_in address = loopback(PORT);
    int dialled = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (dialled < 0) return -1;
    if (!connect(dialled, (struct sockaddr *)&address, sizeof address) || errno == EINPROGRESS)
        return dialled;
    close(dialled);
    return -1;
}

/* Workers of a node that has ended come all at once, before the server accepts any. */
static void many_at_once(void) {
    struct pollfd dialled[MANY_AT_ONCE];
    int open = 0;
    start(ROOM);
    for (int i = 0; i < MANY_AT_ONCE; i++)
        dialled[i] = (struct pollfd){.fd = dial_without_waiting(), .events = POLLOUT};
    poll(dialled, MANY_AT_ONCE, 0);
    for (int i = 0; i < MANY_AT_ONCE; i++) {
        open += dialled[i].fd >= 0 && (dialled[i].revents & POLLOUT);
        if (dialled[i].fd >= 0) close(dialled[i].fd);
    }
    check(open == MANY_AT_ONCE, "hundreds of connections may wait to be accepted");
    tw_net_free(net);
}

int main(void) {
    signal(SIGPIPE, SIG_IGN);
    loop = ev_default_loop(EVFLAG_AUTO);
    full_server();
    request_byte_by_byte();
    requests_together();
    long_messages();
    calls_on_open_connection();
    calls_longer_than_a_socket_takes();
    response_too_large();
    many_at_once();
    if (!failed) printf("ok net\n");
    return failed;
}
