/* The network between controllers, state service, cloud and machines: latency, cuts, and what of
 * a node's calls arrives when. */
#include "simulator_int.h"
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define CLOUD_LATENCY (10 * TW_SIMULATOR_LATENCY)
#define WATCH_LOOK_S 0.05 /* an open watch looks for changes */

bool tw_simulator_cut_off(const tw_simulator *sim, const char *zone) {
    return sim->world.now < sim->trouble.island_until && !strcmp(zone, sim->trouble.island);
}

static bool is_cut(const tw_simulator *sim, const char *a, const char *b) {
    const tw_simulator_troubles *t = &sim->trouble;
    if (sim->world.now >= t->cut_until || !*a || !*b) return false;
    return (!strcmp(a, t->cut_from) && !strcmp(b, t->cut_to)) ||
           (!strcmp(b, t->cut_from) && !strcmp(a, t->cut_to));
}

double tw_simulator_travel(const tw_simulator *sim, const char *from, const char *to) {
    if (*from && *to && tw_simulator_cut_off(sim, from) != tw_simulator_cut_off(sim, to)) return -1;
    if (!is_cut(sim, from, to)) return TW_SIMULATOR_LATENCY;
    if (!sim->trouble.cut_holds) return -1;
    return sim->trouble.cut_until - sim->world.now + TW_SIMULATOR_LATENCY;
}

bool tw_simulator_reaches_state(const tw_simulator *sim, int node) {
    const tw_simulator_node *n = &sim->nodes[node];
    double now = sim->world.now;
    return now >= n->alone_until && now >= n->cut_state_until &&
           !tw_simulator_cut_off(sim, sim->world.node_zone[node]);
}

/* ---- answers ---- */

static void answer_arrives(tw_simulator *sim, tw_simulator_event *e) {
    tw_simulator_node_response(sim, e);
}

void tw_simulator_respond(tw_simulator *sim, int node, int generation, uint64_t call, int status,
                          char *body, double seconds) {
    tw_simulator_event *e = tw_simulator_after(sim, seconds, answer_arrives);
    e->node = node;
    e->generation = generation;
    e->id = call;
    e->status = status;
    e->body = body;
}

/* ---- arrivals ---- */

static const char *body_of(const tw_simulator_event *e) { return e->body ? e->body : ""; }

/* A watch stays open until something changes or its time is over, and longer for a node that the
 * state service's answers don't reach. */
static void follow_arrives(tw_simulator *sim, tw_simulator_event *e) {
    tw_simulator_state *state = &sim->world.state;
    bool up = state->down_since < 0, reached = tw_simulator_reaches_state(sim, e->node);
    bool open = sim->world.now < e->time;
    if (sim->nodes[e->node].generation != e->generation) return;
    if (!reached || sim->world.now < sim->nodes[e->node].no_state_until) {
        tw_simulator_again(sim, e, WATCH_LOOK_S);
        return;
    }
    if (up) tw_simulator_state_expire(state, sim->world.now);
    if (open && (!up || state->revision == e->session)) {
        tw_simulator_again(sim, e, WATCH_LOOK_S);
        return;
    }
    char *out;
    int status = tw_simulator_state_request(state, sim->world.now, e->method, e->path, "", &out);
    if (open && (status != TW_SIMULATOR_OK || strstr(out, "\"log\":[]"))) {
        free(out);
        e->session = state->revision; /* looked at up to here */
        tw_simulator_again(sim, e, WATCH_LOOK_S);
        return;
    }
    tw_simulator_respond(sim, e->node, e->generation, e->id, status, out, TW_SIMULATOR_LATENCY);
}

static void state_arrives(tw_simulator *sim, tw_simulator_event *e) {
    char *out;
    int status = tw_simulator_state_request(&sim->world.state, sim->world.now, e->method, e->path,
                                            body_of(e), &out);
    bool lost = e->kind || !tw_simulator_reaches_state(sim, e->node);
    tw_simulator_reports_kept(sim);
    if (!strcmp(e->path, "/txn") && sim->trouble.lose_txns > 0 && status == TW_SIMULATOR_OK) {
        sim->trouble.lose_txns--;
        lost = true;
    }
    if (lost)
        free(out);
    else
        tw_simulator_respond(sim, e->node, e->generation, e->id, status, out, TW_SIMULATOR_LATENCY);
}

static void cloud_arrives(tw_simulator *sim, tw_simulator_event *e) {
    char *out;
    int status = TW_SIMULATOR_UNAVAILABLE;
    if (sim->world.now < sim->trouble.no_cloud_until)
        out = tw_simulator_text("{\"error\":\"trouble\"}");
    else
        status = tw_simulator_cloud_request(&sim->world, e->method, e->path, body_of(e), &out);
    tw_simulator_respond(sim, e->node, e->generation, e->id, status, out, TW_SIMULATOR_LATENCY);
}

static void command_arrives(tw_simulator *sim, tw_simulator_event *e) {
    tw_simulator_worker *x = sim->world.workers[e->target];
    if (x->gone || !x->up) return;
    if (sim->world.now < x->hung_until) { /* executed when it goes on */
        tw_simulator_again_at(sim, e, x->hung_until);
        return;
    }
    char *out;
    int status = tw_simulator_worker_request(&sim->world, x, e->method, e->path, body_of(e), &out);
    double back = tw_simulator_travel(sim, sim->world.node_zone[e->node], x->zone);
    if (back < 0 || sim->world.now < x->deaf_until)
        free(out);
    else
        tw_simulator_respond(sim, e->node, e->generation, e->id, status, out, back);
}

static void peer_arrives(tw_simulator *sim, tw_simulator_event *e) {
    if (!sim->nodes[e->target].alive) return;
    tw_simulator_conn *c = tw_simulator_conn_new(sim, e->target, TW_SIMULATOR_CONN_PEER);
    c->source = e->node;
    c->source_generation = e->generation;
    c->call = e->id;
    tw_simulator_node_request(sim, e->target, TW_PORT_PEER, c->id, e->method, e->path, body_of(e));
}

/* ---- departures ---- */

static tw_simulator_event *carry(tw_simulator *sim, double seconds,
                                 void (*act)(tw_simulator *, tw_simulator_event *), int node,
                                 tw_effect *f) {
    tw_simulator_event *e = tw_simulator_after(sim, seconds, act);
    e->node = node;
    e->generation = sim->nodes[node].generation;
    e->id = f->id;
    e->method = f->method;
    e->path = f->path;
    e->body = f->body;
    f->path = f->body = NULL;
    return e;
}

/* Whether the state service's limit of requests allows one more. */
static int allows_request(tw_simulator *sim) {
    double now = sim->world.now;
    sim->request_tokens = fmin(sim->rps, sim->request_tokens + (now - sim->requests_at) * sim->rps);
    sim->requests_at = now;
    if (--sim->request_tokens >= 0) return 1;
    sim->request_tokens = 0;
    return 0;
}

/* Whether a transaction's answer gets lost; it may be carried out late, too. */
static int transaction_trouble(tw_simulator *sim, double *latency) {
    tw_simulator_troubles *t = &sim->trouble;
    if (t->late_txn_s > 0) {
        *latency = t->late_txn_s;
        t->late_txn_s = 0;
        return 1;
    }
    if (tw_simulator_strikes(sim, &t->late_writes, TW_SIMULATOR_LATE_WRITES,
                             TW_SIMULATOR_DRAW_WRITES)) {
        *latency = tw_simulator_draw(&sim->world, TW_SIMULATOR_DRAW_WRITES,
                                     TW_SIMULATOR_HELD_LEAST_S, TW_SIMULATOR_WRITE_HELD_MOST_S);
        return 1;
    }
    return tw_simulator_strikes(sim, &t->lost_writes, TW_SIMULATOR_LOST_WRITES,
                                TW_SIMULATOR_DRAW_WRITES);
}

static void call_state(tw_simulator *sim, int node, tw_effect *f) {
    const tw_simulator_node *n = &sim->nodes[node];
    double now = sim->world.now;
    int status = 0;
    if (now < n->cut_state_until) sim->strokes[TW_SIMULATOR_CUT_STATE]++;
    if (now < n->cut_state_until && n->cut_state_refuses) {
        tw_simulator_respond(sim, node, n->generation, f->id, 0, NULL, TW_SIMULATOR_LATENCY);
        return;
    }
    if (!tw_simulator_reaches_state(sim, node)) return;
    if (!allows_request(sim))
        status = TW_SIMULATOR_TOO_MANY;
    else if (now < n->no_state_until)
        status = TW_SIMULATOR_UNAVAILABLE;
    if (status) {
        tw_simulator_respond(sim, node, n->generation, f->id, status, tw_simulator_text("{}"),
                             TW_SIMULATOR_LATENCY);
        return;
    }
    double latency =
        now < sim->trouble.slow_state_until ? sim->trouble.slow_state_s : TW_SIMULATOR_LATENCY;
    if (!strcmp(f->path, "/txn")) {
        int lost = transaction_trouble(sim, &latency);
        carry(sim, latency, state_arrives, node, f)->kind = lost;
        return;
    }
    const char *hold = strstr(f->path, "holdMs=");
    double until = now + (hold ? tw_simulator_number(hold + strlen("holdMs=")) / 1000 : 0);
    bool watches = !strncmp(f->path, "/follow", strlen("/follow"));
    carry(sim, latency, watches ? follow_arrives : state_arrives, node, f)->time = until;
}

static void call_peer(tw_simulator *sim, int node, tw_effect *f) {
    const tw_simulator_world *w = &sim->world;
    int to = tw_simulator_int(f->addr + strlen("10.0.0.")) - 1;
    if (w->now < sim->trouble.refuse_peers_until) {
        tw_simulator_respond(sim, node, sim->nodes[node].generation, f->id, 0, NULL,
                             TW_SIMULATOR_LATENCY);
        return;
    }
    double seconds = tw_simulator_travel(sim, w->node_zone[node], w->node_zone[to]);
    bool alone = w->now < sim->nodes[node].alone_until || w->now < sim->nodes[to].alone_until;
    if (alone || seconds < 0) return;
    carry(sim, seconds, peer_arrives, node, f)->target = to;
}

/* Whether a direct command is held up: nobody waits for it any more when it is carried out. */
static int command_late(tw_simulator *sim, int machine, const tw_effect *f, double *seconds) {
    tw_simulator_troubles *t = &sim->trouble;
    if (t->late_commands_to == machine) {
        *seconds = t->late_commands_s;
        t->late_commands_to = -1;
        return 1;
    }
    if (strcmp(f->path, "/orders") != 0 ||
        !tw_simulator_strikes(sim, &t->late_commands, TW_SIMULATOR_LATE_COMMANDS,
                              TW_SIMULATOR_DRAW_COMMANDS))
        return 0;
    *seconds = tw_simulator_draw(&sim->world, TW_SIMULATOR_DRAW_COMMANDS, TW_SIMULATOR_HELD_LEAST_S,
                                 TW_SIMULATOR_COMMAND_HELD_MOST_S);
    return 1;
}

/* A direct command that is carried out comes once more later; nobody waits for that answer. */
static void repeat_command(tw_simulator *sim, int node, int machine, const tw_effect *f) {
    const tw_simulator_troubles *t = &sim->trouble;
    if (strcmp(f->path, "/orders") != 0 ||
        !tw_simulator_strikes(sim, &t->repeated_commands, TW_SIMULATOR_REPEATED_COMMANDS,
                              TW_SIMULATOR_DRAW_REPEATS))
        return;
    const double seconds =
        tw_simulator_draw(&sim->world, TW_SIMULATOR_DRAW_REPEATS, TW_SIMULATOR_HELD_LEAST_S,
                          TW_SIMULATOR_COMMAND_HELD_MOST_S);
    tw_simulator_event *e = tw_simulator_after(sim, seconds, command_arrives);
    e->node = node;
    e->generation = sim->nodes[node].generation;
    e->target = machine;
    e->method = f->method;
    e->path = tw_simulator_text(f->path);
    e->body = tw_simulator_text(f->body ? f->body : "");
}

static void call_worker(tw_simulator *sim, int node, tw_effect *f) {
    const tw_simulator_world *w = &sim->world;
    int to = tw_simulator_int(f->addr + strlen("10.1.0.")) - 1;
    if (to < 0 || to >= w->nworkers) return;
    const tw_simulator_worker *x = w->workers[to];
    double seconds = tw_simulator_travel(sim, w->node_zone[node], x->zone);
    if (w->now < x->deaf_until) sim->strokes[TW_SIMULATOR_DEAF]++;
    if (seconds < 0 || w->now < x->deaf_until || w->now < sim->nodes[node].no_workers_until) return;
    int late = command_late(sim, to, f, &seconds);
    if (!late) repeat_command(sim, node, to, f);
    tw_simulator_event *e = carry(sim, seconds, command_arrives, node, f);
    e->target = to;
    if (late) e->id = 0;
}

void tw_simulator_call(tw_simulator *sim, int node, tw_effect *f) {
    tw_simulator_respond(sim, node, sim->nodes[node].generation, f->id, 0, NULL, f->timeout_s);
    bool leaves_region = f->to == TW_TO_STATE || f->to == TW_TO_CLOUD;
    if (leaves_region && tw_simulator_cut_off(sim, sim->world.node_zone[node])) return;
    if (f->to == TW_TO_STATE)
        call_state(sim, node, f);
    else if (f->to == TW_TO_CLOUD)
        carry(sim, CLOUD_LATENCY, cloud_arrives, node, f);
    else if (f->to == TW_TO_PEER)
        call_peer(sim, node, f);
    else
        call_worker(sim, node, f);
}
