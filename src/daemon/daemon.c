/* The daemon's loop: events of sockets, threads and timers go into the state machines, and their
 * effects out to the state service, the machines and whoever called. */
#include "daemon/daemon_int.h"
#include "log/log.h"
#include <signal.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define END_S 1.0 /* at most, for giving the lease back */
#define NS_PER_S 1e9
#define IDLE_S 60
#define MOST_CLIENT_SOCKETS 512
#define MOST_SERVER_SOCKETS 4 /* the daemon serves no HTTP */
#define LARGEST_RESPONSE ((size_t)2 << 20)

/* Ratios to the lease. */
#define REPORT_RATIO 0.25    /* how long a report may last */
#define HEARTBEAT_RATIO 0.03 /* between two heartbeats of the active controller */

static const double tick_s = 0.05;

static double wall_s(void) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / NS_PER_S;
}

double tw_daemon_steady_s(void) {
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / NS_PER_S;
}

void *tw_daemon_alloc(size_t size) {
    void *memory = calloc(1, size ? size : 1);
    if (!memory) abort();
    return memory;
}

/* ---- effects ---- */

static void carry_out(tw_daemon_node *node, const tw_standby_effect *effect) {
    switch (effect->kind) {
    case TW_STANDBY_CALL:
        tw_daemon_call_state(node, effect);
        break;
    case TW_STANDBY_CHECK:
        tw_daemon_check_machine(node, effect);
        break;
    case TW_STANDBY_START:
        tw_daemon_start_machine(node, effect);
        break;
    case TW_STANDBY_NOTIFY:
        if (!strcmp(effect->table->notification.owner, node->settings->name))
            tw_shards_owner_handle_notification(node->owner, tw_daemon_steady_s(),
                                                &effect->table->notification);
        else
            tw_daemon_keep_notification(node, &effect->table->notification);
        break;
    case TW_STANDBY_ANSWER:
        tw_daemon_answer(node, effect->table);
        break;
    case TW_STANDBY_LOG_LINE:
        tw_log_info("%s", effect->line);
        break;
    }
}

static bool take_effects(tw_daemon_node *node) {
    tw_standby_effect *effect;
    bool taken = false;
    while ((effect = tw_standby_next(node->standby))) {
        carry_out(node, effect);
        tw_standby_effect_free(effect);
        taken = true;
    }
    tw_daemon_take_owner_effects(node);
    return taken;
}

/* What the owner says to its own table may bring about more. */
void tw_daemon_settle(tw_daemon_node *node) {
    while (take_effects(node)) continue;
    const bool decides = tw_standby_decides(node->standby, tw_daemon_steady_s());
    if (node->decided && !decides) tw_daemon_free_notifications(node);
    node->decided = decides;
}

/* ---- events ---- */

static void on_fed(struct ev_loop *loop, ev_async *watcher, int events) {
    (void)loop;
    (void)events;
    tw_daemon_take_feed(watcher->data);
}

static void on_reported(struct ev_loop *loop, ev_async *watcher, int events) {
    (void)loop;
    (void)events;
    tw_daemon_take_report(watcher->data);
}

static void on_request(void *context, int port, uint64_t connection, const char *method,
                       const char *path, const char *body, size_t length) {
    (void)context; /* it listens for none */
    (void)port;
    (void)connection;
    (void)method;
    (void)path;
    (void)body;
    (void)length;
}

/* ---- time ---- */

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events) {
    tw_daemon_node *node = timer->data;
    const double now = tw_daemon_steady_s();
    (void)loop;
    (void)events;
    tw_standby_tick(node->standby, now, wall_s());
    tw_shards_owner_tick(node->owner, now);
    tw_daemon_settle(node);
    tw_daemon_follow(node);
    tw_daemon_report(node);
}

static void on_signal(struct ev_loop *loop, ev_signal *signal, int events) {
    (void)signal;
    (void)events;
    ev_break(loop, EVBREAK_ALL);
}

/* ---- begin and end ---- */

static void wake_called(void *context) {
    tw_daemon_node *node = context;
    ev_async_send(node->loop, &node->called);
}

static void wake_reported(void *context) {
    tw_daemon_node *node = context;
    ev_async_send(node->loop, &node->reported);
}

static void wake_fed(void *context) {
    tw_daemon_node *node = context;
    ev_async_send(node->loop, &node->fed);
}

static void start_watchers(tw_daemon_node *node) {
    ev_async_init(&node->called, tw_daemon_on_called);
    ev_async_init(&node->fed, on_fed);
    ev_async_init(&node->reported, on_reported);
    ev_timer_init(&node->tick, on_tick, 0, tick_s);
    ev_signal_init(&node->terminated, on_signal, SIGTERM);
    ev_signal_init(&node->interrupted, on_signal, SIGINT);
    node->called.data = node->reported.data = node->fed.data = node->tick.data = node;
    ev_async_start(node->loop, &node->fed);
    ev_async_start(node->loop, &node->called);
    ev_async_start(node->loop, &node->reported);
    ev_timer_start(node->loop, &node->tick);
    ev_signal_start(node->loop, &node->terminated);
    ev_signal_start(node->loop, &node->interrupted);
}

static void start_net(tw_daemon_node *node) {
    const tw_net_handler handler = {.request = on_request, .response = tw_daemon_on_response};
    const tw_net_limits limits = {.max_server = MOST_SERVER_SOCKETS,
                                  .max_client = MOST_CLIENT_SOCKETS,
                                  .idle_s = IDLE_S,
                                  .max_response = LARGEST_RESPONSE};
    node->net = tw_net_new(node->loop, &limits, &handler, node);
}

/* Gives the lease back, and waits for the answers to calls for a moment at most. */
static void release_lease(tw_daemon_node *node) {
    tw_standby_resign(node->standby, tw_daemon_steady_s());
    tw_daemon_settle(node);
    const double until = tw_daemon_steady_s() + END_S;
    ev_timer_stop(node->loop, &node->tick);
    while (HASH_COUNT(node->calls) && tw_daemon_steady_s() < until) ev_run(node->loop, EVRUN_ONCE);
}

static void free_node(tw_daemon_node *node) {
    tw_daemon_call *each;
    tw_daemon_call *after;
    tw_rpc_server_stop(node->server);
    tw_reporter_stop(node->reporter);
    tw_subscriber_stop(node->subscriber);
    tw_net_free(node->net);
    tw_standby_free(node->standby);
    tw_shards_free(node->shards);
    tw_shards_owner_free(node->owner);
    tw_daemon_free_notifications(node);
    HASH_ITER(hh, node->calls, each, after) {
        HASH_DEL(node->calls, each);
        free(each);
    }
    free(node->messages);
}

int tw_daemon_run(const tw_daemon_settings *settings) {
    tw_daemon_node node = {.settings = settings, .loop = ev_default_loop(EVFLAG_AUTO)};
    const tw_standby_settings standby = {
        .name = settings->name, .control = settings->control, .lease_s = settings->lease_s};
    signal(SIGPIPE, SIG_IGN);
    node.shards = tw_shards_new(&settings->shards);
    node.standby = tw_standby_new(&standby, node.shards, tw_daemon_steady_s());
    node.owner = tw_shards_owner_new(settings->shards.retry_s);
    node.messages = tw_daemon_alloc(sizeof *node.messages * TW_DAEMON_MOST_NOTIFICATIONS);
    start_net(&node);
    start_watchers(&node);
    node.reporter =
        tw_reporter_start(settings->name, settings->lease_s * REPORT_RATIO, wake_reported, &node);
    node.subscriber =
        tw_subscriber_start(settings->name, settings->lease_s * HEARTBEAT_RATIO, wake_fed, &node);
    node.server = tw_rpc_server_start(settings->control, wake_called, &node);
    const bool started = node.server != NULL;
    if (started) {
        tw_log_info("event=process_started control=%s", settings->control);
        ev_run(node.loop, 0);
        tw_log_info("event=process_stopped");
        release_lease(&node);
    }
    free_node(&node);
    return started ? 0 : -1;
}
