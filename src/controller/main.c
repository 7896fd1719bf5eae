/* The controller: turns what comes from sockets, clocks and signals into inputs of the core, and
 * the core's effects into messages. It is a single thread around one event loop, and the only place
 * where the core's clocks are read. */
#include "config/config.h"
#include "core/core.h"
#include "log/log.h"
#include "net/net.h"
#include <argp.h>
#include <errno.h>
#include <ev.h>
#include <gsl/gsl_histogram.h>
#include <malloc.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

const char *argp_program_version = "traywall " TW_VERSION;

enum { EXIT_SETTINGS = 2, EXIT_LISTEN = 3 };

#define MAX_MESSAGE 400
static const double first_tick_s = 0.001;
#define STATISTICS_S 10.0
/* The histogram of the ticks' lateness: its bins and its range. */
#define LAG_BINS 50
#define MIN_LAG_S (-0.1)
#define MAX_LAG_S 1.0
/* Shares of the sockets: connections that others open, and those that this process opens. */
#define SERVER_SHARE 0.6
#define CLIENT_SHARE 0.3
/* In leases: when a silent connection is closed, and when one of a worker or peer is. */
#define IDLE_LEASES 12
#define KEPT_IDLE_LEASES 3
/* In times between heartbeats: how long a connection is idle before it makes room for another. */
#define YIELD_HEARTBEATS 0.25
#define MAX_RESPONSE_BYTES ((size_t)2 << 20)
#define TRIM_BYTES (1 << 20)
#define HASH_FACTOR 131u

/* Most connections to one address, by the kind of what is called there. */
static const int connections_to[] = {
    [TW_TO_STATE] = 8, [TW_TO_CLOUD] = 2, [TW_TO_PEER] = 8, [TW_TO_WORKER] = 1};

/* ---- command line ---- */

typedef struct {
    const char *config;
    const char *options;
    bool check;
} arguments;

static error_t take_argument(int key, char *value, struct argp_state *state) {
    arguments *taken = state->input;
    switch (key) {
    case 'c':
        taken->config = value;
        return 0;
    case 'o':
        taken->options = value;
        return 0;
    case 'k':
        taken->check = true;
        return 0;
    case ARGP_KEY_END:
        if (!taken->config) argp_error(state, "--config FILE is needed");
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static arguments parse_arguments(int argc, char **argv) {
    static const struct argp_option options[] = {
        {"config", 'c', "FILE", 0, "The platform's settings (TOML)", 0},
        {"options", 'o', "FILE", 0, "The operators' own settings (YAML)", 0},
        {"check", 'k', 0, 0, "Check the settings and end", 0},
        {0}};
    static const char text[] = "A controller node of a fleet that serves language models.\v"
                               "Exit codes: 0 ended as asked, 2 settings, 3 an address can't be "
                               "listened on, 64 usage. LOG_LEVEL: error, info, debug.";
    const struct argp parser = {.options = options, .parser = take_argument, .doc = text};
    arguments taken = {0};
    argp_parse(&parser, argc, argv, 0, NULL, &taken);
    return taken;
}

/* Loads the settings; false: they are wrong, and standard error has a message. */
static bool load_settings(tw_config *config, const arguments *given) {
    char message[MAX_MESSAGE] = "";
    tw_config_error error = tw_config_load(config, given->config, message, sizeof message);
    if (!error && given->options)
        error = tw_config_load_yaml(config, given->options, message, sizeof message);
    if (error) fprintf(stderr, "traywall: %s\n", message);
    return !error;
}

/* ---- the process ---- */

typedef struct {
    tw_config config;
    tw_core *core;
    tw_net *net;
    struct ev_loop *loop;
    gsl_histogram *lag; /* how late ticks come, which shows a processor that is overloaded */
    double last_tick_at;
    double next_statistics_at;
    bool draining; /* effects are being carried out, see drain_effects */
    ev_timer tick;
    ev_signal terminate;
    ev_signal interrupt;
} controller;

static double seconds_of(clockid_t clock) {
    struct timespec time;
    clock_gettime(clock, &time);
    return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

static double steady_time(void) { return seconds_of(CLOCK_MONOTONIC); }

static double wall_time(void) { return seconds_of(CLOCK_REALTIME); }

static void carry_out(controller *process, const tw_effect *effect) {
    if (effect->kind == TW_EFFECT_REPLY)
        tw_net_reply(process->net, effect->id, effect->status, effect->retry_after,
                     effect->body ? effect->body : "", effect->body ? strlen(effect->body) : 0);
    else
        tw_net_call(process->net, effect->id, effect->addr, connections_to[effect->to],
                    effect->method, effect->path, effect->body, effect->timeout_s);
}

/* Carries out the core's effects. A call may fail at once, so that its response leads here again:
 * what that adds is carried out by the outer loop. */
static void drain_effects(controller *process) {
    tw_effect *effect;
    if (process->draining) return;
    process->draining = true;
    while ((effect = tw_core_next_effect(process->core))) {
        carry_out(process, effect);
        tw_core_effect_free(effect);
    }
    process->draining = false;
}

static void on_request(void *context, int port, uint64_t connection, const char *method,
                       const char *path, const char *body, size_t length) {
    controller *process = context;
    tw_core_request(process->core, steady_time(), wall_time(), port, connection, method, path, body,
                    length);
    drain_effects(process);
}

static void on_response(void *context, uint64_t call, int status, const char *body, size_t length) {
    controller *process = context;
    tw_core_response(process->core, steady_time(), wall_time(), call, status, body, length);
    drain_effects(process);
}

static void log_statistics(controller *process, double now) {
    if (now < process->next_statistics_at || !tw_log_is_enabled(TW_LOG_DEBUG)) return;
    process->next_statistics_at = now + STATISTICS_S;
    tw_log_debug("event=statistics_sampled tick_lag_mean_s=%.4f tick_lag_sd_s=%.4f heap_kb=%zu",
                 gsl_histogram_mean(process->lag), gsl_histogram_sigma(process->lag),
                 mallinfo2().uordblks / 1024);
    gsl_histogram_reset(process->lag);
    tw_core_log_counters(process->core);
}

static void on_tick(struct ev_loop *loop, ev_timer *watcher, int events) {
    controller *process = watcher->data;
    (void)loop;
    (void)events;
    const double now = steady_time();
    if (process->last_tick_at > 0)
        gsl_histogram_increment(process->lag,
                                now - process->last_tick_at - tw_core_tick_s(process->core));
    process->last_tick_at = now;
    log_statistics(process, now);
    tw_core_tick(process->core, now, wall_time());
    drain_effects(process);
}

static void on_signal(struct ev_loop *loop, ev_signal *watcher, int events) {
    (void)watcher;
    (void)events;
    ev_break(loop, EVBREAK_ALL);
}

/* Whether a caller must be answered before all others: without an answer workers lose their leases,
 * and peers the leader. */
static bool must_answer(int port, const char *path) {
    return port == TW_PORT_PEER || !strcmp(path, "/hello");
}

/* The process gets little memory: what is freed is given back to the system early. */
static void limit_heap(void) {
    mallopt(M_ARENA_MAX, 1);
    mallopt(M_TRIM_THRESHOLD, TRIM_BYTES);
}

static void open_net(controller *process) {
    const tw_config *config = &process->config;
    const tw_net_limits limits = {.max_server = (int)(config->sockets * SERVER_SHARE),
                                  .max_client = (int)(config->sockets * CLIENT_SHARE),
                                  .idle_s = IDLE_LEASES * config->lease_s,
                                  .keeps = must_answer,
                                  .yield_s = YIELD_HEARTBEATS * config->report_s,
                                  .kept_idle_s = KEPT_IDLE_LEASES * config->lease_s,
                                  .max_response = MAX_RESPONSE_BYTES};
    const tw_net_handler handler = {on_request, on_response};
    process->net = tw_net_new(process->loop, &limits, &handler, process);
}

/* A seed that differs between nodes, and from one start of a node to the next. */
static uint64_t make_seed(const char *node) {
    uint64_t seed = (uint64_t)(wall_time() * 1e6);
    for (const char *letter = node; *letter; letter++)
        seed = seed * HASH_FACTOR + (unsigned char)*letter;
    return seed;
}

/* name: of the setting with the address, for the message. false: the address can't be listened on.
 */
static bool listen_on(controller *process, const char *name, const char *address, int port) {
    if (!tw_net_listen(process->net, address, port)) return true;
    fprintf(stderr, "traywall: can't listen on %s %s: %s\n", name, address, strerror(errno));
    return false;
}

static void start_watchers(controller *process) {
    ev_timer_init(&process->tick, on_tick, first_tick_s, tw_core_tick_s(process->core));
    process->tick.data = process;
    ev_timer_start(process->loop, &process->tick);
    ev_signal_init(&process->terminate, on_signal, SIGTERM);
    ev_signal_init(&process->interrupt, on_signal, SIGINT);
    ev_signal_start(process->loop, &process->terminate);
    ev_signal_start(process->loop, &process->interrupt);
}

/* Serves until a signal comes. Returns the process's exit code. */
static int run(controller *process) {
    const tw_config *config = &process->config;
    process->lag = gsl_histogram_alloc(LAG_BINS);
    gsl_histogram_set_ranges_uniform(process->lag, MIN_LAG_S, MAX_LAG_S);
    open_net(process);
    process->core = tw_core_new(config, make_seed(config->host_name), steady_time(), wall_time());
    if (!listen_on(process, "api_addr", config->api_addr, TW_PORT_API) ||
        !listen_on(process, "peer_bind", config->peer_bind, TW_PORT_PEER))
        return EXIT_LISTEN;
    tw_log_info("event=process_started version=" TW_VERSION " zone=%s", config->location);
    start_watchers(process);
    ev_run(process->loop, 0);
    tw_log_info("event=process_stopped");
    tw_net_free(process->net);
    tw_core_free(process->core);
    tw_config_free(&process->config);
    gsl_histogram_free(process->lag);
    return EXIT_SUCCESS;
}

int main(int argc, char **argv) {
    static controller process;
    const arguments given = parse_arguments(argc, argv);
    if (!load_settings(&process.config, &given)) return EXIT_SETTINGS;
    if (given.check) {
        printf("traywall: settings of %s are good\n", process.config.host_name);
        tw_config_free(&process.config);
        return EXIT_SUCCESS;
    }
    signal(SIGPIPE, SIG_IGN);
    limit_heap();
    tw_log_init(getenv("LOG_LEVEL"), process.config.host_name);
    process.loop = ev_default_loop(EVFLAG_AUTO);
    if (!process.loop) {
        fprintf(stderr, "traywall: no event loop\n");
        return EXIT_FAILURE;
    }
    return run(&process);
}
