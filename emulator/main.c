/* tw_emulator: stand-ins over loopback for the daemon's tests. One process serves a state service
 * on [IP:]PORT, and COUNT replicas on the ports after it, each with the guard that a machine has:
 *
 *   POST /check {"term":N}    a leader asks what the machine has, and announces its term
 *   POST /start {"term":N,"life":N,"floor":N}  the last epoch before its own, for one life of it
 *   POST /open {"term":N,"epoch":N}    200 open under it, 409 an old one
 *   POST /stop {"term":N,"epoch":N}    what runs under it ends (it runs nothing by itself)
 *   POST /run {"epoch":N}     a request: 200, or 409 under another epoch than the one that is open
 *   POST /restart {}          it begins another life
 *   GET /seen                 its own record of what it took: first and last epoch of requests,
 *                             whether epochs or the terms of commands ever fell
 *
 * Listens on IP (127.0.0.1) only and ends by itself after SECONDS. */
#include "net/net.h"
#include "shards/shards.h"
#include "world.h"
#include <cjson/cJSON.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define MOST_REPLICAS 64
#define ADDRESS_SIZE 32
#define ANSWER_SIZE 320
#define DECIMAL 10
#define DEFAULT_HOST "127.0.0.1"
enum { OK = 200, CONFLICT = 409, ABSENT = 404, EXIT_USAGE = 64, ARGUMENTS = 4 };

typedef struct {
    tw_shards_guard guard;
    uint64_t first, last;            /* epochs of requests that were taken; 0: none */
    uint64_t last_term, last_opened; /* of commands that were taken */
    long commands, refused_commands;
    bool fell;
    long taken, refused;
} replica;

static tw_net *net;
static tw_simulator_state state;
static replica replicas[MOST_REPLICAS];

static double now_s(void) {
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static uint64_t number_in(const char *body, const char *name) {
    cJSON *object = cJSON_Parse(body);
    const cJSON *item = cJSON_GetObjectItemCaseSensitive(object, name);
    const uint64_t number = cJSON_IsNumber(item) ? (uint64_t)item->valuedouble : 0;
    cJSON_Delete(object);
    return number;
}

/* Keeps a record of the commands taken that does not rest on the guard. */
static int note_command(replica *at, tw_shards_guard_verdict verdict, uint64_t term,
                        uint64_t epoch) {
    if (verdict != TW_SHARDS_GUARD_RAISED && verdict != TW_SHARDS_GUARD_REPEATED) {
        at->refused_commands++;
        return CONFLICT;
    }
    at->commands++;
    at->fell |= term < at->last_term || (epoch && epoch < at->last_opened);
    at->last_term = term;
    if (epoch) at->last_opened = epoch;
    return OK;
}

static int take_order(replica *at, const char *path, const char *body) {
    tw_shards_guard *guard = &at->guard;
    const uint64_t term = number_in(body, "term");
    const uint64_t epoch = number_in(body, "epoch");
    if (!strcmp(path, "/check"))
        return note_command(at, tw_shards_guard_check_term(guard, term), term, 0);
    if (!strcmp(path, "/open"))
        return note_command(at, tw_shards_guard_open_epoch(guard, term, epoch), term, epoch);
    if (!strcmp(path, "/stop"))
        return note_command(at, tw_shards_guard_check_stop(guard, term, epoch), term, 0);
    const uint64_t boot_id = number_in(body, "life");
    const uint64_t minimum_epoch = number_in(body, "floor");
    return note_command(at, tw_shards_guard_set_minimum_epoch(guard, term, boot_id, minimum_epoch),
                        term, 0);
}

static bool is_command(const char *path) {
    static const char *const commands[] = {"/check", "/start", "/open", "/stop"};
    for (size_t i = 0; i < sizeof commands / sizeof *commands; i++)
        if (!strcmp(path, commands[i])) return true;
    return false;
}

/* A life is another number each time; the stand-in's own lives are far apart from one another. */
static void restart(replica *at) {
    const uint64_t boot_id = at->guard.boot_id + 1;
    tw_shards_guard_boot(&at->guard, boot_id);
    at->last_term = 0; /* what it has not heard of since this boot, it can't hold against anybody */
}

static int run_request(replica *at, uint64_t epoch) {
    if (!tw_shards_guard_accepts(&at->guard, epoch)) {
        at->refused++;
        return CONFLICT;
    }
    if (!at->first) at->first = epoch;
    at->fell |= epoch < at->last;
    at->last = epoch;
    at->taken++;
    return OK;
}

static int answer_replica(replica *at, const char *path, const char *body, char *answer) {
    const tw_shards_guard *guard = &at->guard;
    if (is_command(path)) {
        const int status = take_order(at, path, body);
        snprintf(answer, ANSWER_SIZE,
                 "{\"term\":%lu,\"life\":%lu,\"floor\":%lu,\"open\":%lu,\"started\":%s,"
                 "\"running\":0}",
                 (unsigned long)guard->term, (unsigned long)guard->boot_id,
                 (unsigned long)guard->minimum_epoch, (unsigned long)guard->newest_epoch,
                 guard->started ? "true" : "false");
        return status;
    }
    snprintf(answer, ANSWER_SIZE, "{}");
    if (!strcmp(path, "/run")) return run_request(at, number_in(body, "epoch"));
    if (!strcmp(path, "/restart")) {
        restart(at);
        return OK;
    }
    if (strcmp(path, "/seen") != 0) return ABSENT;
    snprintf(answer, ANSWER_SIZE,
             "{\"open\":%lu,\"first\":%lu,\"last\":%lu,\"fell\":%s,\"taken\":%ld,\"refused\":%ld,"
             "\"term\":%lu,\"orders\":%ld,\"refused_orders\":%ld}",
             (unsigned long)guard->newest_epoch, (unsigned long)at->first, (unsigned long)at->last,
             at->fell ? "true" : "false", at->taken, at->refused, (unsigned long)guard->term,
             at->commands, at->refused_commands);
    return OK;
}

/* port 0 is the state service, others the replica of that number less one. */
static void on_request(void *context, int port, uint64_t connection, const char *method,
                       const char *path, const char *body, size_t length) {
    (void)context;
    (void)length;
    if (port) {
        char answer[ANSWER_SIZE];
        const int status = answer_replica(&replicas[port - 1], path, body ? body : "", answer);
        tw_net_reply(net, connection, status, 0, answer, strlen(answer));
        return;
    }
    char *answer = NULL;
    const int status =
        tw_simulator_state_request(&state, now_s(), method, path, body ? body : "", &answer);
    tw_net_reply(net, connection, status, 0, answer, strlen(answer));
    free(answer);
}

static void on_response(void *context, uint64_t call, int status, const char *body, size_t length) {
    (void)context;
    (void)call;
    (void)status;
    (void)body;
    (void)length;
}

static void on_end(struct ev_loop *loop, ev_timer *timer, int events) {
    (void)timer;
    (void)events;
    ev_break(loop, EVBREAK_ALL);
}

/* first: PORT or IP:PORT of the state service. */
static int listen_on(const char *first, int replicas_count) {
    char address[ADDRESS_SIZE];
    const char *colon = strchr(first, ':');
    const char *host = colon ? first : DEFAULT_HOST;
    const int host_length = colon ? (int)(colon - first) : (int)strlen(DEFAULT_HOST);
    const int port = (int)strtol(colon ? colon + 1 : first, NULL, DECIMAL);
    for (int i = 0; i <= replicas_count; i++) {
        snprintf(address, sizeof address, "%.*s:%d", host_length, host, port + i);
        if (tw_net_listen(net, address, i)) {
            fprintf(stderr, "tw_emulator: can't listen on %s\n", address);
            return -1;
        }
    }
    return 0;
}

int main(int count, char **arguments) {
    const tw_net_handler handler = {.request = on_request, .response = on_response};
    const tw_net_limits limits = {
        .max_server = 1024, .max_client = 1, .idle_s = 600, .max_response = 1024};
    ev_timer end;
    if (count != ARGUMENTS) {
        fprintf(stderr, "usage: tw_emulator [IP:]PORT REPLICAS SECONDS\n");
        return EXIT_USAGE;
    }
    const int nreplicas = (int)strtol(arguments[2], NULL, DECIMAL);
    if (nreplicas < 0 || nreplicas > MOST_REPLICAS) return EXIT_USAGE;
    signal(SIGPIPE, SIG_IGN);
    struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
    tw_simulator_state_init(&state);
    for (int i = 0; i < nreplicas; i++) tw_shards_guard_boot(&replicas[i].guard, 1);
    net = tw_net_new(loop, &limits, &handler, NULL);
    if (listen_on(arguments[1], nreplicas)) return 1;
    ev_timer_init(&end, on_end, strtod(arguments[3], NULL), 0);
    ev_timer_start(loop, &end);
    ev_run(loop, 0);
    tw_net_free(net);
    tw_simulator_state_free(&state);
    return 0;
}
