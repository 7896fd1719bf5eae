/* The nodes: controllers with their settings and clocks; they start, tick, answer and end. */
#include "simulator_int.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FIRST_TICK_S 0.01 /* nodes tick one after the other */
#define SEED_STEP 97
#define NODE_SEED_STEP 13
#define CLOCK_DRIFT 0.0002 /* clocks drift apart */
#define STEADY_START 1000
#define WALL_START 1e9
#define MAX_SETTINGS 16384

static tw_simulator_clock clock_of(const tw_simulator *sim, int node) {
    return (tw_simulator_clock){.steady = STEADY_START + sim->world.now * (1 + CLOCK_DRIFT * node),
                                .wall = WALL_START + sim->world.now};
}

tw_simulator_conn *tw_simulator_conn_new(tw_simulator *sim, int node, int kind) {
    tw_simulator_conn *c = tw_simulator_zeroed(sizeof *c);
    c->id = ++sim->last_conn;
    c->kind = kind;
    c->node = node;
    HASH_ADD(hh, sim->conns, id, sizeof c->id, c);
    return c;
}

/* ---- what a node does ---- */

static void answer(tw_simulator *sim, int node, tw_effect *f) {
    tw_simulator_conn *c;
    HASH_FIND(hh, sim->conns, &f->id, sizeof f->id, c);
    if (!c || c->replied) return;
    const char *body = f->body ? f->body : "";
    if (f->status >= TW_SIMULATOR_FAILURES && f->retry_after <= 0 &&
        c->kind != TW_SIMULATOR_CONN_REPORT)
        tw_simulator_fail(sim, "a refusal without Retry-After", body);
    if (c->kind == TW_SIMULATOR_CONN_PEER) {
        const char *zone = sim->world.node_zone[c->source];
        double seconds = tw_simulator_travel(sim, sim->world.node_zone[node], zone);
        if (seconds >= 0) {
            tw_simulator_respond(sim, c->source, c->source_generation, c->call, f->status, f->body,
                                 seconds);
            f->body = NULL;
        }
    } else if (c->kind == TW_SIMULATOR_CONN_REPORT) {
        tw_simulator_report_answered(sim, c, f);
    } else if (c->kind == TW_SIMULATOR_CONN_USER) {
        tw_simulator_user_answered(sim, c, f);
        return; /* it ends when the answer has arrived */
    } else if (f->status != c->wanted) {
        char text[TW_SIMULATOR_MESSAGE];
        snprintf(text, sizeof text, "got %d, wanted %d: %s -> %.120s", f->status, c->wanted,
                 c->what, body);
        tw_simulator_fail(sim, "raw", text);
    }
    HASH_DEL(sim->conns, c);
    free(c);
}

/* A heartbeat, or its answer, as the version before divided records sends it. */
static void in_old_format(char *body) {
    static const char field[] = ",\"recordFormat\":2";
    char *at = body ? strstr(body, field) : NULL;
    if (at) memmove(at, at + sizeof field - 1, strlen(at + sizeof field - 1) + 1);
}

static bool is_over(const tw_simulator *sim, int node, int generation) {
    return !sim->nodes[node].alive || sim->nodes[node].generation != generation;
}

/* An effect leaves the node. Takes it. */
static void send(tw_simulator *sim, int node, tw_effect *f) {
    if (f->kind == TW_EFFECT_REPLY)
        answer(sim, node, f);
    else
        tw_simulator_call(sim, node, f);
    tw_core_effect_free(f);
}

static void send_unsent(tw_simulator *sim, tw_simulator_event *e) {
    tw_simulator_node *n = &sim->nodes[e->node];
    if (is_over(sim, e->node, e->generation) || sim->world.now < n->sends_late_until) return;
    tw_effect *unsent = n->unsent;
    n->unsent = NULL;
    while (unsent) {
        tw_effect *f = unsent;
        unsent = f->next;
        send(sim, e->node, f);
    }
}

void tw_simulator_node_sends_late(tw_simulator *sim, int node) {
    tw_simulator_event *e = tw_simulator_at(sim, sim->nodes[node].sends_late_until, send_unsent);
    e->node = node;
    e->generation = sim->nodes[node].generation;
    sim->strokes[TW_SIMULATOR_LATE_SENDS]++;
}

static void keep_unsent(tw_simulator_node *n, tw_effect *f) {
    if (!n->unsent) n->last_unsent = &n->unsent;
    f->next = NULL;
    *n->last_unsent = f;
    n->last_unsent = &f->next;
}

static void drain(tw_simulator *sim, int node) {
    tw_simulator_controller *controller = sim->nodes[node].controller;
    tw_effect *f;
    while ((f = controller->methods->next(controller))) {
        if (sim->world.now < sim->nodes[node].old_format_until) in_old_format(f->body);
        if (sim->world.now < sim->nodes[node].sends_late_until)
            keep_unsent(&sim->nodes[node], f);
        else
            send(sim, node, f);
    }
    if (controller->failure)
        tw_simulator_break(&sim->world, "ended", "%s: %s", sim->world.nodes[node],
                           controller->failure);
}

static bool stands_still(const tw_simulator *sim, int node) {
    return sim->world.now < sim->nodes[node].still_until;
}

static void request_waited(tw_simulator *sim, tw_simulator_event *e) {
    if (is_over(sim, e->node, e->generation)) return;
    tw_simulator_node_request(sim, e->node, e->kind, e->id, e->method, e->path, e->body);
}

/* A node that stands still takes its messages in their order when it goes on. */
static void wait_for_node(tw_simulator *sim, int node, int port, uint64_t conn, const char *method,
                          const char *path, const char *body) {
    tw_simulator_event *e = tw_simulator_at(sim, sim->nodes[node].still_until, request_waited);
    e->node = node;
    e->generation = sim->nodes[node].generation;
    e->kind = port;
    e->id = conn;
    e->method = strcmp(method, "GET") ? "POST" : "GET"; /* outlives the caller's */
    e->path = tw_simulator_text(path);
    e->body = tw_simulator_text(body);
}

void tw_simulator_node_request(tw_simulator *sim, int node, int port, uint64_t conn,
                               const char *method, const char *path, const char *body) {
    if (stands_still(sim, node)) {
        wait_for_node(sim, node, port, conn, method, path, body);
        return;
    }
    tw_simulator_controller *controller = sim->nodes[node].controller;
    controller->methods->request(controller, clock_of(sim, node), port, conn, method, path, body);
    drain(sim, node);
}

void tw_simulator_node_response(tw_simulator *sim, tw_simulator_event *e) {
    if (is_over(sim, e->node, e->generation)) return;
    if (stands_still(sim, e->node)) {
        tw_simulator_again_at(sim, e, sim->nodes[e->node].still_until);
        return;
    }
    tw_simulator_controller *controller = sim->nodes[e->node].controller;
    controller->methods->response(controller, clock_of(sim, e->node), e->id, e->status,
                                  e->body ? e->body : "");
    drain(sim, e->node);
}

static void tick(tw_simulator *sim, tw_simulator_event *e) {
    if (is_over(sim, e->node, e->generation)) return;
    if (stands_still(sim, e->node)) {
        tw_simulator_again_at(sim, e, sim->nodes[e->node].still_until);
        return;
    }
    tw_simulator_controller *controller = sim->nodes[e->node].controller;
    controller->methods->tick(controller, clock_of(sim, e->node));
    drain(sim, e->node);
    tw_simulator_again(sim, e, controller->methods->tick_s(controller));
}

/* ---- start and end ---- */

static void settings_text(const tw_simulator *sim, int node, char *to, size_t size) {
    const tw_simulator_world *w = &sim->world;
    const tw_simulator_limits *limits = &w->state.told;
    int n = snprintf(to, size,
                     "host_name = \"%s\"\nlocation = \"%s\"\napi_addr = \"10.0.0.%d:8080\"\n"
                     "peer_bind = \"10.0.0.%d:8081\"\n",
                     w->nodes[node], w->node_zone[node], node + 1, node + 1);
    for (int i = 0; i < w->nnodes; i++)
        if (i != node)
            n += snprintf(to + n, size - (size_t)n,
                          "[[known]]\nhost_name = \"%s\"\nlocation = \"%s\"\n"
                          "endpoint = \"10.0.0.%d:8081\"\n",
                          w->nodes[i], w->node_zone[i], i + 1);
    snprintf(to + n, size - (size_t)n,
             "[external]\ncloud = \"10.2.0.2:1\"\nstate = \"10.2.0.1:1\"\n[settings]\n%s%s"
             "[settings.workers]\nreport_s = %g\nlease_s = %g\ncancel_s = %g\n"
             "gang_wait_s = %g\ngang_peer_s = %g\n"
             "[settings.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = %.1f\n"
             "txn_ops = %.0f\n%s"
             "[settings.cloud]\nrps = 5.0\nlist_lag_s = 4.0\n"
             "[settings.limits]\ncpu_share = 0.1\nmem_mb = 56.0\nsockets = 600\n",
             sim->teams ? sim->teams : "", sim->objectives ? sim->objectives : "", w->report_s,
             w->lease_s, w->cancel_s, tw_simulator_gang_wait_s(w), tw_simulator_gang_peer_s(w),
             sim->rps > 1e6 ? 60 : sim->rps, limits->write_rps, limits->value_kb, limits->txn_ops,
             sim->next_limits ? sim->next_limits : "");
}

static uint64_t node_seed(const tw_simulator *sim, int node, int generation) {
    return sim->world.seed * SEED_STEP + (unsigned)node * NODE_SEED_STEP + (unsigned)generation;
}

static tw_simulator_controller *new_controller(const tw_simulator *sim, bool old,
                                               const tw_simulator_controller_start *start,
                                               char *error, size_t error_size) {
    if (!old) return tw_simulator_controller_local(start, error, error_size);
    if (sim->earlier) return tw_simulator_controller_remote(sim->earlier, start, error, error_size);
    snprintf(error, error_size, "there is no program of the earlier version");
    return NULL;
}

int tw_simulator_node_start(tw_simulator *sim, int node, char *error, size_t error_size) {
    tw_simulator_node *n = &sim->nodes[node];
    char text[MAX_SETTINGS];
    settings_text(sim, node, text, sizeof text);
    const tw_simulator_controller_start start = {.settings = text,
                                                 .mem_mb = sim->world.mem_mb,
                                                 .seed = node_seed(sim, node, n->generation + 1),
                                                 .clock = clock_of(sim, node)};
    n->controller = new_controller(sim, n->old, &start, error, error_size);
    if (!n->controller) return -1;
    n->alive = 1;
    n->generation++;
    tw_simulator_event *e = tw_simulator_after(sim, FIRST_TICK_S * node, tick);
    e->node = node;
    e->generation = n->generation;
    return 0;
}

static void start(tw_simulator *sim, tw_simulator_event *e) {
    char error[TW_SIMULATOR_MESSAGE];
    if (sim->nodes[e->node].alive) return;
    if (tw_simulator_node_start(sim, e->node, error, sizeof error))
        tw_simulator_fail(sim, "settings", error);
}

void tw_simulator_node_start_after(tw_simulator *sim, int node, double seconds) {
    tw_simulator_after(sim, seconds, start)->node = node;
}

void tw_simulator_node_kill(tw_simulator *sim, int node) {
    tw_simulator_node *n = &sim->nodes[node];
    if (!n->alive) return;
    n->alive = 0;
    n->still_until = n->sends_late_until = 0;
    while (n->unsent) {
        tw_effect *f = n->unsent;
        n->unsent = f->next;
        tw_core_effect_free(f);
    }
    tw_simulator_conn *c, *next;
    HASH_ITER(hh, sim->conns, c, next) {
        bool open = c->kind == TW_SIMULATOR_CONN_USER && c->arrived && !c->replied;
        if (open && c->node == node) tw_simulator_user_unanswered(sim, c);
    }
    n->controller->methods->free(n->controller);
    n->controller = NULL;
}

int tw_simulator_leader(tw_simulator *sim) {
    const char *value = tw_simulator_state_value(&sim->world.state, "leader");
    for (int i = 0; value && i < sim->world.nnodes; i++) {
        char text[TW_SIMULATOR_NAME + 16];
        snprintf(text, sizeof text, "\"node\":\"%s\"", sim->world.nodes[i]);
        if (strstr(value, text)) return i;
    }
    return -1;
}

int tw_simulator_node_find(tw_simulator *sim, const char *name) {
    if (!strcmp(name, "leader")) return tw_simulator_leader(sim);
    for (int i = 0; i < sim->world.nnodes; i++)
        if (!strcmp(sim->world.nodes[i], name)) return i;
    return -1;
}
