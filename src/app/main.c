/* traywall: the program. Turns events into the core's inputs and its effects into messages. */
#include "conf/conf.h"
#include "core/core.h"
#include "log/log.h"
#include "net/net.h"
#include <argp.h>
#include <errno.h>
#include <ev.h>
#include <gsl/gsl_histogram.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

const char *argp_program_version = "traywall " TW_VERSION;

enum { EXIT_SETTINGS = 2, EXIT_LISTEN = 3 };

typedef struct {
    const char *config, *options;
    int check;
} args;

typedef struct {
    tw_conf conf;
    tw_core *core;
    tw_net *net;
    struct ev_loop *loop;
    gsl_histogram *lag; /* how late ticks fire: shows a starved processor */
    double last_tick, next_stats;
    int draining;
} app;

static double steady(void) {
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}
static double wall(void) {
    struct timespec t;
    clock_gettime(CLOCK_REALTIME, &t);
    return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static void drain(app *a) {
    if (a->draining) return; /* a call may fail at once and bring us here again */
    a->draining = 1;
    tw_fx *f;
    while ((f = tw_core_next(a->core))) {
        static const int per_host[] = {
            [TW_TO_STATE] = 8, [TW_TO_CLOUD] = 2, [TW_TO_PEER] = 8, [TW_TO_WORKER] = 1};
        if (f->kind == TW_FX_REPLY)
            tw_net_reply(a->net, f->id, f->status, f->retry_after, f->body ? f->body : "",
                         f->body ? strlen(f->body) : 0);
        else
            tw_net_call(a->net, f->id, f->addr, per_host[f->to], f->method, f->path, f->body,
                        f->timeout_s);
        tw_core_fx_free(f);
    }
    a->draining = 0;
}

static void on_request(void *ctx, int port, uint64_t conn, const char *method, const char *path,
                       const char *body, size_t len) {
    app *a = ctx;
    tw_core_request(a->core, steady(), wall(), port, conn, method, path, body, len);
    drain(a);
}
static void on_response(void *ctx, uint64_t call, int status, const char *body, size_t len) {
    app *a = ctx;
    tw_core_response(a->core, steady(), wall(), call, status, body, len);
    drain(a);
}
static void on_tick(struct ev_loop *loop, ev_timer *w, int ev) {
    app *a = w->data;
    (void)loop;
    (void)ev;
    double now = steady();
    if (a->last_tick > 0)
        gsl_histogram_increment(a->lag, now - a->last_tick - tw_core_tick_s(a->core));
    a->last_tick = now;
    if (now >= a->next_stats && tw_log_on(TW_LOG_DEBUG)) {
        a->next_stats = now + 10;
        struct mallinfo2 mi = mallinfo2();
        tw_log_debug("event=stats tick_lag_mean_s=%.4f tick_lag_sd_s=%.4f heap_kb=%zu",
                     gsl_histogram_mean(a->lag), gsl_histogram_sigma(a->lag), mi.uordblks / 1024);
        gsl_histogram_reset(a->lag);
    }
    tw_core_tick(a->core, now, wall());
    drain(a);
}
static void on_signal(struct ev_loop *loop, ev_signal *w, int ev) {
    (void)w;
    (void)ev;
    ev_break(loop, EVBREAK_ALL);
}

/* Without an answer workers lose their leases, and peers the leader. */
static int keeps(int port, const char *path) {
    return port == TW_PORT_PEER || !strcmp(path, "/hello");
}

static error_t parse_opt(int key, char *arg, struct argp_state *st) {
    args *a = st->input;
    switch (key) {
    case 'c':
        a->config = arg;
        return 0;
    case 'o':
        a->options = arg;
        return 0;
    case 'k':
        a->check = 1;
        return 0;
    case ARGP_KEY_ARG:
        return ARGP_ERR_UNKNOWN;
    case ARGP_KEY_END:
        if (!a->config) argp_error(st, "--config FILE is needed");
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[] = {
    {"config", 'c', "FILE", 0, "The platform's settings (TOML)", 0},
    {"options", 'o', "FILE", 0, "The operators' own settings (YAML)", 0},
    {"check", 'k', 0, 0, "Check the settings and end", 0},
    {0}};

int main(int argc, char **argv) {
    args ar = {0};
    const struct argp ap = {options,
                            parse_opt,
                            NULL,
                            "A controller node of a fleet that serves language models.\v"
                            "Exit codes: 0 ended as asked, 2 settings, 3 an address can't be "
                            "listened on, 64 usage. LOG_LEVEL: error, info, debug.",
                            NULL,
                            NULL,
                            NULL};
    argp_parse(&ap, argc, argv, 0, NULL, &ar);
    static app a;
    char err[400] = "";
    if (tw_conf_load(&a.conf, ar.config, err, sizeof err) ||
        (ar.options && tw_conf_load_yaml(&a.conf, ar.options, err, sizeof err))) {
        fprintf(stderr, "traywall: %s\n", err);
        return EXIT_SETTINGS;
    }
    if (ar.check) {
        printf("traywall: settings of %s are good\n", a.conf.host_name);
        tw_conf_free(&a.conf);
        return 0;
    }
    signal(SIGPIPE, SIG_IGN);
    /* Give memory back early: the limit is small. */
    mallopt(M_ARENA_MAX, 1);
    mallopt(M_TRIM_THRESHOLD, 1 << 20);
    tw_log_init(getenv("LOG_LEVEL"), a.conf.host_name);
    a.loop = ev_default_loop(EVFLAG_AUTO);
    if (!a.loop) {
        fprintf(stderr, "traywall: no event loop\n");
        return 1;
    }
    a.lag = gsl_histogram_alloc(50);
    gsl_histogram_set_ranges_uniform(a.lag, -0.1, 1.0);
    const tw_net_limits lim = {.max_server = (int)(a.conf.sockets * 0.6),
                               .max_client = (int)(a.conf.sockets * 0.3),
                               .idle_s = 12 * a.conf.lease_s,
                               .keeps = keeps,
                               .yield_s = 0.25 * a.conf.report_s,
                               .kept_idle_s = 3 * a.conf.lease_s,
                               .max_response = 2 << 20};
    const tw_net_handler h = {on_request, on_response};
    a.net = tw_net_new(a.loop, &lim, &h, &a);
    uint64_t seed = (uint64_t)(wall() * 1e6);
    for (const char *p = a.conf.host_name; *p; p++) seed = seed * 131 + (unsigned char)*p;
    a.core = tw_core_new(&a.conf, seed, steady(), wall());
    if (tw_net_listen(a.net, a.conf.api_addr, TW_PORT_API)) {
        fprintf(stderr, "traywall: can't listen on api_addr %s: %s\n", a.conf.api_addr,
                strerror(errno));
        return EXIT_LISTEN;
    }
    if (tw_net_listen(a.net, a.conf.peer_bind, TW_PORT_PEER)) {
        fprintf(stderr, "traywall: can't listen on peer_bind %s: %s\n", a.conf.peer_bind,
                strerror(errno));
        return EXIT_LISTEN;
    }
    tw_log_info("event=start zone=%s", a.conf.location);
    ev_timer tick;
    ev_timer_init(&tick, on_tick, 0.001, tw_core_tick_s(a.core));
    tick.data = &a;
    ev_timer_start(a.loop, &tick);
    ev_signal term, intr;
    ev_signal_init(&term, on_signal, SIGTERM);
    ev_signal_init(&intr, on_signal, SIGINT);
    ev_signal_start(a.loop, &term);
    ev_signal_start(a.loop, &intr);
    ev_run(a.loop, 0);
    tw_log_info("event=end");
    tw_net_free(a.net);
    tw_core_free(a.core);
    tw_conf_free(&a.conf);
    gsl_histogram_free(a.lag);
    return 0;
}
