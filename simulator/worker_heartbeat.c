/* Workers in the simulation: they run twenty times a second, and their reports and the answers to
 * these travel over the network. */
#include "simulator_int.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP_S 0.05
#define JUDGE_LIVE_S 1.0
#define ANSWER_TIMEOUT_S 4.0
#define NEXT_NODE_S 1.0
#define KEPT_SPREAD_S 0.3 /* kept reports arrive within that time */
#define ANY_NODE (-1) /* a late copy: to a node of the worker's zone, or whoever leads by then */

static void report_arrives(tw_simulator *sim, tw_simulator_event *e) {
    if (e->node == ANY_NODE) {
        e->node = tw_simulator_leader(sim);
        const char *zone = sim->world.workers[e->target]->zone;
        for (int i = 0; i < sim->world.nnodes; i++)
            if (sim->nodes[i].alive && !strcmp(sim->world.node_zone[i], zone)) e->node = i;
        if (e->node < 0) return;
    }
    if (!sim->nodes[e->node].alive) return;
    tw_simulator_conn *c = tw_simulator_conn_new(sim, e->node, TW_SIMULATOR_CONN_REPORT);
    c->target = e->target;
    c->sent = e->time;
    c->session = e->session;
    c->call = e->id;
    tw_simulator_node_request(sim, e->node, TW_PORT_API, c->id, "POST", "/hello", e->body);
}

static void answer_arrives(tw_simulator *sim, tw_simulator_event *e) {
    tw_simulator_worker *x = sim->world.workers[e->target];
    if (!e->id || e->id != x->in_flight) return;
    x->in_flight = 0;
    if (sim->world.now < x->hung_until) return;
    if (sim->trace)
        printf("%.2f %s node %d: %d %s\n", sim->world.now, x->id, x->node, e->status,
               e->body ? e->body : "");
    tw_simulator_digest(sim, 'w', e->target, e->status, e->body);
    tw_simulator_worker_answer(&sim->world, x, e->time, e->session, e->status, e->body);
}

void tw_simulator_report_answered(tw_simulator *sim, const tw_simulator_conn *c,
                                  const tw_effect *f) {
    const tw_simulator_worker *x = sim->world.workers[c->target];
    double seconds = tw_simulator_travel(sim, sim->world.node_zone[c->node], x->zone);
    if (seconds < 0 || sim->world.now < x->deaf_until ||
        sim->world.now + seconds - c->sent >= ANSWER_TIMEOUT_S)
        return;
    tw_simulator_event *e = tw_simulator_after(sim, seconds, answer_arrives);
    e->target = c->target;
    e->status = f->status;
    e->id = c->call;
    e->time = c->sent;
    e->session = c->session;
    e->body = f->body ? tw_simulator_text(f->body) : NULL;
}

static void give_up(tw_simulator *sim, tw_simulator_event *e) {
    tw_simulator_worker *x = sim->world.workers[e->target];
    if (x->in_flight != e->id) return;
    x->in_flight = 0;
    x->node = (x->node + 1) % sim->world.nnodes;
    x->next_report = sim->world.now + NEXT_NODE_S;
}

/* flight: 0 if nobody waits for the answer. */
static void carry_report(tw_simulator *sim, int machine, int node, double seconds, const char *body,
                         uint64_t flight) {
    tw_simulator_event *e = tw_simulator_after(sim, seconds, report_arrives);
    e->target = machine;
    e->node = node;
    e->id = flight;
    e->time = sim->world.now;
    e->session = sim->world.workers[machine]->session;
    e->body = tw_simulator_text(body);
}

static void carry_kept(tw_simulator *sim, const tw_simulator_kept *k, int node) {
    double seconds = tw_simulator_draw(&sim->world, TW_SIMULATOR_DRAW_REPORTS, 0, KEPT_SPREAD_S);
    tw_simulator_event *e = tw_simulator_after(sim, seconds, report_arrives);
    e->target = k->machine;
    e->node = node;
    e->time = k->sent;
    e->session = k->session;
    e->body = tw_simulator_text(k->body);
}

void tw_simulator_reports_kept(tw_simulator *sim) {
    tw_simulator_troubles *t = &sim->trouble;
    uint64_t version = tw_simulator_state_version(&sim->world.state, "leader");
    if (!version || version == t->leader_version) return;
    t->leader_version = version;
    int still_kept = 0;
    for (int i = 0; i < t->nkept; i++) {
        if (--t->kept[i].leaders > 0) {
            t->kept[still_kept++] = t->kept[i];
            continue;
        }
        for (int n = 0; n < sim->world.nnodes; n++) carry_kept(sim, &t->kept[i], n);
        free(t->kept[i].body);
    }
    if (still_kept < t->nkept) tw_simulator_trouble_for(sim, KEPT_SPREAD_S);
    t->nkept = still_kept;
}

/* A copy of a report arrives again much later, at any node, or when a new leader begins. */
static void copy_report(tw_simulator *sim, int machine, const char *body) {
    tw_simulator_world *w = &sim->world;
    tw_simulator_troubles *t = &sim->trouble;
    if (!tw_simulator_strikes(sim, &t->late_reports, TW_SIMULATOR_LATE_REPORTS,
                              TW_SIMULATOR_DRAW_REPORTS))
        return;
    if (t->late_reports_kept) {
        t->kept = tw_simulator_grow(t->kept, t->nkept, &t->kept_cap, sizeof *t->kept);
        t->kept[t->nkept++] = (tw_simulator_kept){.machine = machine,
                                                  .leaders = t->late_reports_kept,
                                                  .session = w->workers[machine]->session,
                                                  .sent = w->now,
                                                  .body = tw_simulator_text(body)};
        return;
    }
    double seconds = tw_simulator_draw(w, TW_SIMULATOR_DRAW_REPORTS, TW_SIMULATOR_HELD_LEAST_S,
                                       TW_SIMULATOR_REPORT_HELD_MOST_LEASES * w->lease_s);
    int node = tw_simulator_draw_index(w, TW_SIMULATOR_DRAW_REPORTS, w->nnodes);
    carry_report(sim, machine, node, seconds, body, 0);
}

static void send_report(tw_simulator *sim, int machine) {
    tw_simulator_world *w = &sim->world;
    tw_simulator_worker *x = w->workers[machine];
    char *body = tw_simulator_worker_report(w, x);
    x->changed = false;
    x->in_flight = ++sim->last_flight;
    x->last_report = w->now;
    x->next_report = w->now + w->report_s;
    double seconds = tw_simulator_travel(sim, x->zone, w->node_zone[x->node]);
    if (w->now < sim->nodes[x->node].no_workers_until) seconds = -1;
    if (w->now < x->mute_until) {
        sim->strokes[TW_SIMULATOR_MUTE]++;
        seconds = -1;
    }
    if (x->hold_next_s > 0) {
        carry_report(sim, machine, x->node, x->hold_next_s, body, 0);
        x->hold_next_s = 0;
        seconds = -1;
    }
    if (seconds >= 0) carry_report(sim, machine, x->node, seconds, body, x->in_flight);
    copy_report(sim, machine, body);
    if (sim->trouble.copy_report_of == machine) {
        carry_report(sim, machine, ANY_NODE, sim->trouble.copy_report_s, body, 0);
        sim->trouble.copy_report_of = -1;
    }
    /* A dead node refuses at once; otherwise the worker waits. */
    bool refused = seconds >= 0 && !sim->nodes[x->node].alive;
    tw_simulator_event *e =
        tw_simulator_after(sim, refused ? 2 * TW_SIMULATOR_LATENCY : ANSWER_TIMEOUT_S, give_up);
    e->target = machine;
    e->id = x->in_flight;
    free(body);
}

static void step(tw_simulator *sim, tw_simulator_event *e) {
    tw_simulator_world *w = &sim->world;
    tw_simulator_gangs_tick(w);
    for (int i = 0; i < w->nworkers; i++) {
        tw_simulator_worker_tick(w, w->workers[i]);
        if (tw_simulator_worker_due(w, w->workers[i])) send_report(sim, i);
    }
    tw_simulator_judge_now(w);
    if (w->now >= e->time) {
        tw_simulator_judge_live(w);
        e->time = w->now + JUDGE_LIVE_S;
    }
    tw_simulator_again(sim, e, STEP_S);
}

void tw_simulator_workers_start(tw_simulator *sim) { tw_simulator_after(sim, 0, step); }
