/* The controller process: passes requests, responses, time and signals to the core as inputs, and
 * sends the messages that the core returns as effects. It runs in a single thread with one event
 * loop and is the only place that reads the clocks used by the core. */
#include "config/config.h"
#include "core/core.h"
#include "log/log.h"
#include "net/net.h"
#include <argp.h>
#include <errno.h>
#include <ev.h>
#include <gsl/gsl_histogram.h>
#include <malloc.h>
#include <math.h>
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
/* Number of bins and range of the histogram of tick lag. */
#define LAG_BINS 50
#define MIN_LAG_S (-0.1)
#define MAX_LAG_S 1.0
/* Fractions of the `sockets` setting used for accepted connections and for opened connections. */
#define SERVER_SHARE 0.6
#define CLIENT_SHARE 0.3
/* Idle timeouts as multiples of the lease duration: of connections without priority, and of those
 * of workers and peers. */
#define IDLE_LEASES 12
#define PRIORITY_IDLE_LEASES 3
/* Minimum idle time before a connection may be closed in favor of a new one, as a multiple of the
 * heartbeat interval. */
#define EVICTABLE_HEARTBEATS 0.25
#define MAX_RESPONSE_BYTES ((size_t)2 << 20)
/* Time from which the processing of an input is logged, in leases of workers. */
#define SLOW_INPUT_LEASES 0.02
/* Maximum size of a heartbeat as a share of the configured memory. */
#define MAX_HEARTBEAT_MEMORY_SHARE 0.15
#define BYTES_PER_MIB (1024 * 1024)
#define TRIM_BYTES (1 << 20)
#define HASH_FACTOR 131u

/* Maximum number of connections to one address, by the kind of server there. */
static const int max_connections_per_address[] = {
    [TW_TO_STATE] = 8, [TW_TO_CLOUD] = 2, [TW_TO_PEER] = 8, [TW_TO_WORKER] = 1};

/* ---- command line ---- */

typedef struct {
    const char *config;
    const char *options;
    bool check;
} arguments;

static error_t parse_argument(int key, char *value, struct argp_state *state) {
    arguments *parsed = state->input;
    switch (key) {
    case 'c':
        parsed->config = value;
        return 0;
    case 'o':
        parsed->options = value;
        return 0;
    case 'k':
        parsed->check = true;
        return 0;
    case ARGP_KEY_END:
        if (!parsed->config) argp_error(state, "--config FILE is required");
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static arguments parse_arguments(int argc, char **argv) {
    static const struct argp_option options[] = {
        {"config", 'c', "FILE", 0, "The platform's settings (TOML)", 0},
        {"options", 'o', "FILE", 0, "The operators' own settings (YAML)", 0},
        {"check", 'k', 0, 0, "Check the settings and exit", 0},
        {0}};
    static const char text[] = "A controller node of a fleet that serves language models.\v"
                               "Exit codes: 0 stopped by a signal or settings checked, "
                               "2 invalid settings, 3 an address can't be listened on, 64 usage "
                               "error. Environment: LOG_LEVEL (error, info or debug).";
    const struct argp parser = {.options = options, .parser = parse_argument, .doc = text};
    arguments parsed = {0};
    argp_parse(&parser, argc, argv, 0, NULL, &parsed);
    return parsed;
}

/* Loads the settings. If they are invalid, prints a message to standard error and returns false. */
static bool load_settings(tw_config *config, const arguments *parsed) {
    char message[MAX_MESSAGE] = "";
    tw_config_error error = tw_config_load(config, parsed->config, message, sizeof message);
    if (!error && parsed->options)
        error = tw_config_load_yaml(config, parsed->options, message, sizeof message);
    if (error) fprintf(stderr, "traywall: %s\n", message);
    return !error;
}

/* ---- the process ---- */

typedef struct {
    tw_config config;
    tw_core *core;
    tw_net *net;
    struct ev_loop *loop;
    gsl_histogram *tick_lag; /* delays of ticks; they grow when the CPU is overloaded */
    double last_tick_at;
    double next_statistics_at;
    bool draining; /* true while drain_effects is running */
    ev_timer tick;
    ev_signal terminate;
    ev_signal interrupt;
} controller;

static double read_clock_s(clockid_t clock) {
    struct timespec time;
    clock_gettime(clock, &time);
    return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

static double steady_time_s(void) { return read_clock_s(CLOCK_MONOTONIC); }

static double wall_time_s(void) { return read_clock_s(CLOCK_REALTIME); }

static void execute_effect(controller *process, const tw_effect *effect) {
    if (effect->kind == TW_EFFECT_REPLY)
        tw_net_reply(process->net, effect->id, effect->status, effect->retry_after,
                     effect->body ? effect->body : "", effect->body ? strlen(effect->body) : 0);
    else
        tw_net_call(process->net, effect->id, effect->addr, max_connections_per_address[effect->to],
                    effect->method, effect->path, effect->body, effect->timeout_s);
}

/* Executes all pending effects of the core. A call that fails immediately reports its response
 * before tw_net_call returns and so calls this function recursively; the outer loop then executes
 * the effects that were added. */
static void drain_effects(controller *process) {
    tw_effect *effect;
    if (process->draining) return;
    process->draining = true;
    while ((effect = tw_core_next_effect(process->core))) {
        execute_effect(process, effect);
        tw_core_effect_free(effect);
    }
    process->draining = false;
}

/* Logs an input whose processing took so long that the leader's lease was at risk: nothing else,
 * not even its renewal, happens meanwhile. what: the kind of the input. */
static void log_slow_input(const controller *process, const char *what, double began_at) {
    const double took_s = steady_time_s() - began_at;
    if (took_s > SLOW_INPUT_LEASES * process->config.lease_s)
        tw_log_info("event=input_slow input=%s s=%.3f", what, took_s);
}

static void on_request(void *context, int port, uint64_t connection, const char *method,
                       const char *path, const char *body, size_t length) {
    controller *process = context;
    const double now = steady_time_s();
    tw_core_request(process->core, now, wall_time_s(), port, connection, method, path, body,
                    length);
    drain_effects(process);
    log_slow_input(process, "request", now);
}

static void on_response(void *context, uint64_t call, int status, const char *body, size_t length) {
    controller *process = context;
    const double now = steady_time_s();
    tw_core_response(process->core, now, wall_time_s(), call, status, body, length);
    drain_effects(process);
    log_slow_input(process, "response", now);
}

static void log_statistics(controller *process, double now) {
    if (now < process->next_statistics_at || !tw_log_is_enabled(TW_LOG_DEBUG)) return;
    process->next_statistics_at = now + STATISTICS_S;
    tw_log_debug("event=statistics_sampled tick_lag_mean_s=%.4f tick_lag_sd_s=%.4f heap_kb=%zu",
                 gsl_histogram_mean(process->tick_lag), gsl_histogram_sigma(process->tick_lag),
                 mallinfo2().uordblks / 1024);
    gsl_histogram_reset(process->tick_lag);
    tw_core_log_counters(process->core);
}

static void on_tick(struct ev_loop *loop, ev_timer *watcher, int events) {
    controller *process = watcher->data;
    (void)loop;
    (void)events;
    const double now = steady_time_s();
    if (process->last_tick_at > 0)
        gsl_histogram_increment(process->tick_lag,
                                now - process->last_tick_at - tw_core_tick_s(process->core));
    process->last_tick_at = now;
    log_statistics(process, now);
    tw_core_tick(process->core, now, wall_time_s());
    drain_effects(process);
    log_slow_input(process, "tick", now);
}

static void on_signal(struct ev_loop *loop, ev_signal *watcher, int events) {
    (void)watcher;
    (void)events;
    ev_break(loop, EVBREAK_ALL);
}

/* Returns true for requests of workers and peers. These have priority because, without responses,
 * workers lose their leases and peers lose contact with the leader. */
static bool is_priority_request(int port, const char *path) {
    return port == TW_PORT_PEER || !strcmp(path, "/hello");
}

/* Workers' heartbeats, which peers forward, list all tasks of a machine and may be longer than
 * other requests. */
static size_t max_request_bytes(void *context, int port, const char *path) {
    const controller *process = context;
    const double max_bytes = MAX_HEARTBEAT_MEMORY_SHARE * process->config.mem_mb * BYTES_PER_MIB;
    const bool is_heartbeat = port == TW_PORT_PEER || !strcmp(path, "/hello");
    return is_heartbeat ? (size_t)fmax(TW_NET_MAX_BODY, max_bytes) : TW_NET_MAX_BODY;
}

/* Limits malloc to one arena and makes it return freed memory to the system early, because the
 * process has a small memory limit. */
static void limit_heap(void) {
    mallopt(M_ARENA_MAX, 1);
    mallopt(M_TRIM_THRESHOLD, TRIM_BYTES);
}

static void open_net(controller *process) {
    const tw_config *config = &process->config;
    const tw_net_limits limits = {.max_server = (int)(config->sockets * SERVER_SHARE),
                                  .max_client = (int)(config->sockets * CLIENT_SHARE),
                                  .idle_s = IDLE_LEASES * config->lease_s,
                                  .is_priority_caller = is_priority_request,
                                  .max_request = max_request_bytes,
                                  .evictable_after_s = EVICTABLE_HEARTBEATS * config->report_s,
                                  .priority_idle_s = PRIORITY_IDLE_LEASES * config->lease_s,
                                  .max_response = MAX_RESPONSE_BYTES};
    const tw_net_handler handler = {on_request, on_response};
    process->net = tw_net_new(process->loop, &limits, &handler, process);
}

/* Returns a seed for the core's random numbers that differs between nodes and between restarts of a
 * node. */
static uint64_t make_seed(const char *node) {
    uint64_t seed = (uint64_t)(wall_time_s() * 1e6);
    for (const char *letter = node; *letter; letter++)
        seed = seed * HASH_FACTOR + (unsigned char)*letter;
    return seed;
}

/* Listens on an address. On failure, prints a message to standard error and returns false. name:
 * the setting that holds the address, for the message. */
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

/* Runs the controller until SIGTERM or SIGINT. Returns the exit code of the process. */
static int run(controller *process) {
    const tw_config *config = &process->config;
    process->tick_lag = gsl_histogram_alloc(LAG_BINS);
    gsl_histogram_set_ranges_uniform(process->tick_lag, MIN_LAG_S, MAX_LAG_S);
    open_net(process);
    process->core =
        tw_core_new(config, make_seed(config->host_name), steady_time_s(), wall_time_s());
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
    gsl_histogram_free(process->tick_lag);
    return EXIT_SUCCESS;
}

int main(int argc, char **argv) {
    static controller process;
    const arguments parsed = parse_arguments(argc, argv);
    if (!load_settings(&process.config, &parsed)) return EXIT_SETTINGS;
    if (parsed.check) {
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
