/* A full server over loopback: who must be answered first takes the place of those idle for
 * longest, and is never closed for others; where nobody can go, the next one is refused. Each step
 * waits for the one before; no time is asserted. */
#include "net/net.h"
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum { ROOM = 4, MAX = 8, PORTS = 40 };

static tw_net *net;
static struct ev_loop *loop;
static int port;

static void on_request(void *ctx, int p, uint64_t conn, const char *method, const char *path,
                       const char *body, size_t len) {
    (void)ctx, (void)p, (void)method, (void)path, (void)body, (void)len;
    tw_net_reply(net, conn, 200, 0, "{}", 2);
}
static void on_response(void *ctx, uint64_t call, int status, const char *body, size_t len) {
    (void)ctx, (void)call, (void)status, (void)body, (void)len;
}
static int keeps(int p, const char *path) {
    (void)p;
    return !strcmp(path, "/hello");
}

static int dial(void) {
    struct sockaddr_in sa = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (fd < 0 || connect(fd, (struct sockaddr *)&sa, sizeof sa)) return -1;
    return fd;
}

/* What comes on fd while the server runs: 1 an answer, 0 closed. */
static int hear(int fd) {
    for (int i = 0; i < 5000; i++) {
        ev_run(loop, EVRUN_NOWAIT);
        struct pollfd p = {.fd = fd, .events = POLLIN};
        if (poll(&p, 1, 1) <= 0) continue;
        char buf[512];
        return read(fd, buf, sizeof buf) > 0;
    }
    return -1;
}

static int ask(int fd, const char *path) {
    char text[64];
    int n = snprintf(text, sizeof text, "GET %s HTTP/1.1\r\n\r\n", path);
    if (send(fd, text, (size_t)n, MSG_NOSIGNAL) != n) return 0;
    return hear(fd);
}

static int failed;
static void check(int ok, const char *what) {
    if (ok) return;
    failed = 1;
    printf("FAIL net: %s\n", what);
}

int main(void) {
    loop = ev_default_loop(EVFLAG_AUTO);
    const tw_net_limits lim = {.max_server = ROOM,
                               .max_client = 1,
                               .idle_s = 1000,
                               .keeps = keeps,
                               .kept_idle_s = 1000,
                               .max_response = 1000};
    const tw_net_handler h = {on_request, on_response};
    net = tw_net_new(loop, &lim, &h, NULL);
    char addr[32];
    for (int i = 0; i < PORTS && !port; i++) {
        int p = 20000 + (getpid() + i * 97) % 20000;
        snprintf(addr, sizeof addr, "127.0.0.1:%d", p);
        if (!tw_net_listen(net, addr, 0)) port = p;
    }
    if (!port) return 2;
    int user[MAX], worker[MAX];
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
    if (!failed) printf("ok net\n");
    return failed;
}
