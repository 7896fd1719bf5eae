/* The daemon's loop: passes events of sockets, threads and timers to the state machines, and their
 * effects to the state service, the machines and the callers. */
#include "daemon/daemon_int.h"
#include "log/log.h"
#include <signal.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define MAX_RELEASE_S 1.0 /* time limit for releasing the lease at shutdown */
#define NS_PER_S 1e9
#define IDLE_S 60
#define MAX_CLIENT_SOCKETS 512
#define MAX_SERVER_SOCKETS 4 /* the daemon serves no HTTP */
#define MAX_RESPONSE_BYTES ((size_t)2 << 20)

/* Times as fractions of the lease. */
#define REPORT_RATIO 0.25    /* time limit of a report */
#define HEARTBEAT_RATIO 0.03 /* interval between heartbeats of the active controller */

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

static void apply_effect(tw_daemon_node *node, const tw_standby_effect *effect) {
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
            tw_daemon_queue_notification(node, &effect->table->notification);
        break;
    case TW_STANDBY_ANSWER:
        tw_daemon_answer_client(node, effect->table);
        break;
    case TW_STANDBY_LOG_LINE:
        tw_log_info("%s", effect->line);
        break;
    }
}

static bool apply_effects(tw_daemon_node *node) {
    tw_standby_effect *effect;
    bool applied = false;
    while ((effect = tw_standby_next_effect(node->standby))) {
        apply_effect(node, effect);
        tw_standby_effect_free(effect);
        applied = true;
    }
    tw_daemon_process_owner_effects(node);
    return applied;
}

/* Effects are processed repeatedly, since this node's messages as an owner to its own table may
 * cause further effects. */
void tw_daemon_process_effects(tw_daemon_node *node) {
    while (apply_effects(node)) continue;
    const bool decides = tw_standby_decides(node->standby, tw_daemon_steady_s());
    if (node->was_deciding && !decides) tw_daemon_free_notifications(node);
    node->was_deciding = decides;
}

/* ---- events ---- */

static void on_feed(struct ev_loop *loop, ev_async *watcher, int events) {
    (void)loop;
    (void)events;
    tw_daemon_process_feed(watcher->data);
}

static void on_report_answer(struct ev_loop *loop, ev_async *watcher, int events) {
    (void)loop;
    (void)events;
    tw_daemon_handle_report_answer(watcher->data);
}

static void on_request(void *context, int port, uint64_t connection, const char *method,
                       const char *path, const char *body, size_t length) {
    (void)context; /* the daemon listens for no HTTP requests */
    (void)port;
    (void)connection;
    (void)method;
    (void)path;
    (void)body;
    (void)length;
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events) {
    tw_daemon_node *node = timer->data;
    const double now = tw_daemon_steady_s();
    (void)loop;
    (void)events;
    tw_standby_tick(node->standby, now, wall_s());
    tw_shards_owner_tick(node->owner, now);
    tw_daemon_process_effects(node);
    tw_daemon_update_feed(node);
    tw_daemon_send_report(node);
}

static void on_signal(struct ev_loop *loop, ev_signal *signal, int events) {
    (void)signal;
    (void)events;
    ev_break(loop, EVBREAK_ALL);
}

/* ---- startup and shutdown ---- */

static void wake_for_calls(void *context) {
    tw_daemon_node *node = context;
    ev_async_send(node->loop, &node->calls_wake);
}

static void wake_for_report(void *context) {
    tw_daemon_node *node = context;
    ev_async_send(node->loop, &node->report_wake);
}

static void wake_for_feed(void *context) {
    tw_daemon_node *node = context;
    ev_async_send(node->loop, &node->feed_wake);
}

static void start_watchers(tw_daemon_node *node) {
    ev_async_init(&node->calls_wake, tw_daemon_on_calls);
    ev_async_init(&node->feed_wake, on_feed);
    ev_async_init(&node->report_wake, on_report_answer);
    ev_timer_init(&node->tick, on_tick, 0, tick_s);
    ev_signal_init(&node->terminated, on_signal, SIGTERM);
    ev_signal_init(&node->interrupted, on_signal, SIGINT);
    node->calls_wake.data = node->report_wake.data = node->feed_wake.data = node->tick.data = node;
    ev_async_start(node->loop, &node->feed_wake);
    ev_async_start(node->loop, &node->calls_wake);
    ev_async_start(node->loop, &node->report_wake);
    ev_timer_start(node->loop, &node->tick);
    ev_signal_start(node->loop, &node->terminated);
    ev_signal_start(node->loop, &node->interrupted);
}

static void start_net(tw_daemon_node *node) {
    const tw_net_handler handler = {.request = on_request, .response = tw_daemon_on_response};
    const tw_net_limits limits = {.max_server = MAX_SERVER_SOCKETS,
                                  .max_client = MAX_CLIENT_SOCKETS,
                                  .idle_s = IDLE_S,
                                  .max_response = MAX_RESPONSE_BYTES};
    node->net = tw_net_new(node->loop, &limits, &handler, node);
}

/* Releases the lease, and waits at most MAX_RELEASE_S for the responses to calls. */
static void release_lease(tw_daemon_node *node) {
    tw_standby_resign(node->standby, tw_daemon_steady_s());
    tw_daemon_process_effects(node);
    const double until = tw_daemon_steady_s() + MAX_RELEASE_S;
    ev_timer_stop(node->loop, &node->tick);
    while (HASH_COUNT(node->calls) && tw_daemon_steady_s() < until) ev_run(node->loop, EVRUN_ONCE);
}

static void free_node(tw_daemon_node *node) {
    tw_daemon_call *each;
    tw_daemon_call *next;
    tw_rpc_server_stop(node->server);
    tw_reporter_stop(node->reporter);
    tw_subscriber_stop(node->subscriber);
    tw_net_free(node->net);
    tw_standby_free(node->standby);
    tw_shards_free(node->shards);
    tw_shards_owner_free(node->owner);
    tw_daemon_free_notifications(node);
    HASH_ITER(hh, node->calls, each, next) {
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
    node.messages = tw_daemon_alloc(sizeof *node.messages * TW_DAEMON_MAX_NOTIFICATIONS);
    start_net(&node);
    start_watchers(&node);
    node.reporter =
        tw_reporter_start(settings->name, settings->lease_s * REPORT_RATIO, wake_for_report, &node);
    node.subscriber = tw_subscriber_start(settings->name, settings->lease_s * HEARTBEAT_RATIO,
                                          wake_for_feed, &node);
    node.server = tw_rpc_server_start(settings->control, wake_for_calls, &node);
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
