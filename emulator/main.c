/* tw_emulator: emulates a state service and machines over loopback, for the tests of the daemon.
 * One process serves the state service on [IP:]PORT and REPLICAS machine replicas on the following
 * ports. Each replica uses the machine guard of the shards package:
 *
 *   POST /check {"term":N}    raises the term of the guard and reads its state
 *   POST /start {"term":N,"life":N,"floor":N}  accepts only epochs above "floor" during boot "life"
 *   POST /open {"term":N,"epoch":N}    opens the epoch: 200, or 409 for an older epoch
 *   POST /stop {"term":N,"epoch":N}    stops the work of an epoch (a replica runs none)
 *   POST /run {"epoch":N}     a user request: 200, or 409 if this epoch is not the open one
 *   POST /restart {}          simulates a reboot: the replica gets a new boot id
 *   GET /seen                 the replica's own record: first and last epoch of accepted requests,
 *                             and whether an epoch or a command's term ever decreased
 *
 * Listens on IP only (default 127.0.0.1) and exits after SECONDS. */
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

#define MAX_REPLICAS 64
#define MAX_ADDRESS_SIZE 32
#define MAX_RESPONSE_SIZE 320
#define DECIMAL 10
#define DEFAULT_HOST "127.0.0.1"
enum { OK = 200, CONFLICT = 409, NOT_FOUND = 404, EXIT_USAGE = 64, ARGUMENT_COUNT = 4 };

typedef struct {
    tw_shards_guard guard;
    uint64_t first_epoch, last_epoch; /* epochs of the first and last accepted request; 0: none */
    uint64_t last_term;               /* term of the last accepted command */
    uint64_t last_opened_epoch;       /* epoch that the last accepted command opened */
    long commands, refused_commands;  /* numbers of accepted and refused commands */
    bool decreased;                   /* true if an epoch or a command's term ever decreased */
    long accepted_requests, refused_requests;
} replica;

static tw_net *net;
static tw_simulator_state state;
static replica replicas[MAX_REPLICAS];

static double now_s(void) {
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static uint64_t read_number(const char *body, const char *name) {
    cJSON *object = cJSON_Parse(body);
    const cJSON *item = cJSON_GetObjectItemCaseSensitive(object, name);
    const uint64_t number = cJSON_IsNumber(item) ? (uint64_t)item->valuedouble : 0;
    cJSON_Delete(object);
    return number;
}

/* Records an accepted or refused command independently of the guard's state, so that tests can
 * check the guard. Returns the HTTP status. */
static int record_command(replica *target, tw_shards_guard_verdict verdict, uint64_t term,
                          uint64_t epoch) {
    if (verdict != TW_SHARDS_GUARD_RAISED && verdict != TW_SHARDS_GUARD_REPEATED) {
        target->refused_commands++;
        return CONFLICT;
    }
    target->commands++;
    target->decreased |= term < target->last_term || (epoch && epoch < target->last_opened_epoch);
    target->last_term = term;
    if (epoch) target->last_opened_epoch = epoch;
    return OK;
}

static int execute_command(replica *target, const char *path, const char *body) {
    tw_shards_guard *guard = &target->guard;
    const uint64_t term = read_number(body, "term");
    const uint64_t epoch = read_number(body, "epoch");
    if (!strcmp(path, "/check"))
        return record_command(target, tw_shards_guard_check_term(guard, term), term, 0);
    if (!strcmp(path, "/open"))
        return record_command(target, tw_shards_guard_open_epoch(guard, term, epoch), term, epoch);
    if (!strcmp(path, "/stop"))
        return record_command(target, tw_shards_guard_check_stop(guard, term, epoch), term, 0);
    const uint64_t boot_id = read_number(body, "life");
    const uint64_t minimum_epoch = read_number(body, "floor");
    return record_command(
        target, tw_shards_guard_set_minimum_epoch(guard, term, boot_id, minimum_epoch), term, 0);
}

static bool is_command(const char *path) {
    static const char *const commands[] = {"/check", "/start", "/open", "/stop"};
    for (size_t i = 0; i < sizeof commands / sizeof *commands; i++)
        if (!strcmp(path, commands[i])) return true;
    return false;
}

/* Simulates a reboot of the machine with a new boot id. */
static void restart(replica *target) {
    const uint64_t boot_id = target->guard.boot_id + 1;
    tw_shards_guard_boot(&target->guard, boot_id);
    target->last_term = 0; /* a machine does not store terms across reboots */
}

static int run_request(replica *target, uint64_t epoch) {
    if (!tw_shards_guard_accepts(&target->guard, epoch)) {
        target->refused_requests++;
        return CONFLICT;
    }
    if (!target->first_epoch) target->first_epoch = epoch;
    target->decreased |= epoch < target->last_epoch;
    target->last_epoch = epoch;
    target->accepted_requests++;
    return OK;
}

static int handle_replica_request(replica *target, const char *path, const char *body,
                                  char *response_body) {
    const tw_shards_guard *guard = &target->guard;
    if (is_command(path)) {
        const int status = execute_command(target, path, body);
        snprintf(response_body, MAX_RESPONSE_SIZE,
                 "{\"term\":%lu,\"life\":%lu,\"floor\":%lu,\"open\":%lu,\"started\":%s,"
                 "\"running\":0}",
                 (unsigned long)guard->term, (unsigned long)guard->boot_id,
                 (unsigned long)guard->minimum_epoch, (unsigned long)guard->newest_epoch,
                 guard->started ? "true" : "false");
        return status;
    }
    snprintf(response_body, MAX_RESPONSE_SIZE, "{}");
    if (!strcmp(path, "/run")) return run_request(target, read_number(body, "epoch"));
    if (!strcmp(path, "/restart")) {
        restart(target);
        return OK;
    }
    if (strcmp(path, "/seen") != 0) return NOT_FOUND;
    snprintf(response_body, MAX_RESPONSE_SIZE,
             "{\"open\":%lu,\"first\":%lu,\"last\":%lu,\"fell\":%s,\"taken\":%ld,\"refused\":%ld,"
             "\"term\":%lu,\"orders\":%ld,\"refused_orders\":%ld}",
             (unsigned long)guard->newest_epoch, (unsigned long)target->first_epoch,
             (unsigned long)target->last_epoch, target->decreased ? "true" : "false",
             target->accepted_requests, target->refused_requests, (unsigned long)guard->term,
             target->commands, target->refused_commands);
    return OK;
}

/* Handles a request to the state service (port 0) or to the replica with index port - 1. */
static void on_request(void *context, int port, uint64_t connection, const char *method,
                       const char *path, const char *body, size_t length) {
    (void)context;
    (void)length;
    if (port) {
        char response_body[MAX_RESPONSE_SIZE];
        const int status =
            handle_replica_request(&replicas[port - 1], path, body ? body : "", response_body);
        tw_net_reply(net, connection, status, 0, response_body, strlen(response_body));
        return;
    }
    char *response_body = NULL;
    const int status =
        tw_simulator_state_request(&state, now_s(), method, path, body ? body : "", &response_body);
    tw_net_reply(net, connection, status, 0, response_body, strlen(response_body));
    free(response_body);
}

static void on_response(void *context, uint64_t call, int status, const char *body, size_t length) {
    (void)context;
    (void)call;
    (void)status;
    (void)body;
    (void)length;
}

static void on_time_limit(struct ev_loop *loop, ev_timer *timer, int events) {
    (void)timer;
    (void)events;
    ev_break(loop, EVBREAK_ALL);
}

/* Listens for the state service on `first` ("PORT" or "IP:PORT") and for the replicas on the
 * following ports. On failure, prints a message to standard error and returns -1. */
static int listen_on(const char *first, int replica_count) {
    char address[MAX_ADDRESS_SIZE];
    const char *separator = strchr(first, ':');
    const char *host = separator ? first : DEFAULT_HOST;
    const int host_length = separator ? (int)(separator - first) : (int)strlen(DEFAULT_HOST);
    const int port = (int)strtol(separator ? separator + 1 : first, NULL, DECIMAL);
    for (int i = 0; i <= replica_count; i++) {
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
    ev_timer time_limit;
    if (count != ARGUMENT_COUNT) {
        fprintf(stderr, "usage: tw_emulator [IP:]PORT REPLICAS SECONDS\n");
        return EXIT_USAGE;
    }
    const int replica_count = (int)strtol(arguments[2], NULL, DECIMAL);
    if (replica_count < 0 || replica_count > MAX_REPLICAS) return EXIT_USAGE;
    signal(SIGPIPE, SIG_IGN);
    struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
    tw_simulator_state_init(&state);
    for (int i = 0; i < replica_count; i++) tw_shards_guard_boot(&replicas[i].guard, 1);
    net = tw_net_new(loop, &limits, &handler, NULL);
    if (listen_on(arguments[1], replica_count)) return 1;
    ev_timer_init(&time_limit, on_time_limit, strtod(arguments[3], NULL), 0);
    ev_timer_start(loop, &time_limit);
    ev_run(loop, 0);
    tw_net_free(net);
    tw_simulator_state_free(&state);
    return 0;
}
