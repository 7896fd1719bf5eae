/* Users: they submit, ask and cancel through a load balancer, and repeat what fails. Requests and
 * answers travel for a few milliseconds, and users wait only so long. */
#include "simulator_int.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_S 1.0
#define RETRY_TIME_S 60.0
#define POLL_TIMEOUT_S 2.0
#define ANSWER_TIMEOUT_S 5.0
#define TRAVEL_LEAST_S 0.0005
#define TRAVEL_MOST_S 0.004
#define PASSED_OVER_S 2.0 /* a node that stands still that long gets no new connections */

static double travel(tw_simulator *sim) {
    return tw_simulator_draw(&sim->world, TW_SIMULATOR_DRAW_TRAVEL, TRAVEL_LEAST_S, TRAVEL_MOST_S);
}

static bool takes_connections(const tw_simulator *sim, int node) {
    const tw_simulator_node *n = &sim->nodes[node];
    if (!n->alive || tw_simulator_cut_off(sim, sim->world.node_zone[node])) return false;
    return sim->world.now >= n->still_until || sim->world.now < n->still_from + PASSED_OVER_S;
}

int tw_simulator_pick_node(tw_simulator *sim) {
    for (int i = 0; i < sim->world.nnodes; i++) {
        int n = sim->next_node++ % sim->world.nnodes;
        if (takes_connections(sim, n)) return n;
    }
    return -1;
}

/* ---- what a user does with an answer ---- */

static void poll(tw_simulator *sim, tw_simulator_event *e) {
    if (sim->world.jobs[e->target]->accepted)
        tw_simulator_user_send(sim, e->target, TW_SIMULATOR_POLL);
    tw_simulator_again(sim, e, TW_SIMULATOR_POLL_S);
}

static void retry(tw_simulator *sim, tw_simulator_event *e) {
    if (e->kind == TW_SIMULATOR_CANCEL)
        tw_simulator_user_cancel(sim, e->target);
    else
        tw_simulator_user_send(sim, e->target, e->kind);
}

static void retry_later(tw_simulator *sim, const tw_simulator_job *job, int kind) {
    if (kind == TW_SIMULATOR_SUBMIT && sim->world.now - job->first_try >= RETRY_TIME_S) return;
    tw_simulator_event *e = tw_simulator_after(sim, RETRY_S, retry);
    e->target = job->index;
    e->kind = kind;
}

/* An odd request must get its refusal at once. */
static void told_odd(tw_simulator *sim, const tw_simulator_conn *c, int status) {
    char text[TW_SIMULATOR_MESSAGE];
    if (c->user_kind == TW_SIMULATOR_POLL)
        tw_simulator_judge_told(&sim->world, NULL, c->what, TW_SIMULATOR_POLL, c->sent, status, "");
    else
        tw_simulator_judge_bad(&sim->world, c->what, status);
    const tw_simulator_node *n = &sim->nodes[c->node];
    bool excused =
        !status && (!n->alive || c->sent < n->still_until || c->sent < n->sends_late_until ||
                    tw_simulator_cut_off(sim, sim->world.node_zone[c->node]));
    /* What depends on the machine types or on the state service may have to wait. */
    bool undecided =
        c->wanted != TW_SIMULATOR_MALFORMED &&
        (!status || status == TW_SIMULATOR_TOO_MANY || status == TW_SIMULATOR_UNAVAILABLE);
    if (status == c->wanted || excused || undecided) return;
    snprintf(text, sizeof text, "%s got %d, wanted %d", c->what, status, c->wanted);
    tw_simulator_fail(sim, "odd request", text);
}

/* status 0: there was no answer. Ends the connection. */
static void told(tw_simulator *sim, tw_simulator_conn *c, int status, const char *body) {
    HASH_DEL(sim->conns, c);
    tw_simulator_digest(sim, c->user_kind, c->target, status, body);
    if (c->target < 0) {
        told_odd(sim, c, status);
        free(c);
        return;
    }
    tw_simulator_job *job = sim->world.jobs[c->target];
    int kind = c->user_kind, once = c->once,
        ok = status == TW_SIMULATOR_OK || status == TW_SIMULATOR_CREATED;
    int was_accepted = job->accepted, was_over = job->told_over;
    if (kind == TW_SIMULATOR_SUBMIT && !once) job->last_status = status;
    if (kind == TW_SIMULATOR_CANCEL && !once) job->cancel_status = status;
    tw_simulator_judge_told(&sim->world, job, job->spec.id, kind, c->sent, status, body);
    free(c);
    if (job->accepted && !was_accepted) /* whichever answer said so first */
        tw_simulator_after(sim, TW_SIMULATOR_POLL_S, poll)->target = job->index;
    if (job->accepted != was_accepted || job->told_over != was_over)
        tw_simulator_look_closely(sim, job->index, !job->told_over);
    if (kind == TW_SIMULATOR_POLL || ok || status == TW_SIMULATOR_MALFORMED ||
        status == TW_SIMULATOR_IMPOSSIBLE || status == TW_SIMULATOR_UNKNOWN)
        return;
    if (!once) retry_later(sim, job, kind);
}

/* ---- connections ---- */

static tw_simulator_conn *conn_of(tw_simulator *sim, const tw_simulator_event *e) {
    tw_simulator_conn *c;
    HASH_FIND(hh, sim->conns, &e->id, sizeof e->id, c);
    return c;
}

static void give_up(tw_simulator *sim, tw_simulator_event *e) {
    tw_simulator_conn *c = conn_of(sim, e);
    if (c) told(sim, c, 0, "");
}

static void answer_arrives(tw_simulator *sim, tw_simulator_event *e) {
    tw_simulator_conn *c = conn_of(sim, e);
    if (c) told(sim, c, e->status, e->body ? e->body : "");
}

void tw_simulator_user_answered(tw_simulator *sim, tw_simulator_conn *c, tw_effect *f) {
    c->replied = 1;
    if (tw_simulator_cut_off(sim, sim->world.node_zone[c->node])) return;
    tw_simulator_event *e = tw_simulator_after(sim, travel(sim), answer_arrives);
    e->id = c->id;
    e->status = f->status;
    e->body = f->body;
    f->body = NULL;
}

void tw_simulator_user_unanswered(tw_simulator *sim, tw_simulator_conn *c) {
    c->replied = 1;
    tw_simulator_after(sim, TW_SIMULATOR_LATENCY, give_up)->id = c->id;
}

static void request_arrives(tw_simulator *sim, tw_simulator_event *e) {
    tw_simulator_conn *c = conn_of(sim, e);
    if (!c || tw_simulator_cut_off(sim, sim->world.node_zone[c->node])) return;
    if (!sim->nodes[c->node].alive) { /* refused: the load balancer tries another */
        int node = c->once ? -1 : tw_simulator_pick_node(sim);
        if (node < 0) {
            told(sim, c, 0, "");
            return;
        }
        c->node = node;
    }
    c->arrived = 1;
    tw_simulator_node_request(sim, c->node, TW_PORT_API, c->id, e->method, e->path,
                              e->body ? e->body : "");
}

char *tw_simulator_job_text(const tw_wire_job *spec) {
    tw_wire_record record = {.has_job = 1, .job = *spec, .task_count = spec->task_count};
    char *text = tw_wire_record_text(&record);
    cJSON *o = cJSON_Parse(text);
    char *job = cJSON_PrintUnformatted(cJSON_GetObjectItemCaseSensitive(o, "j"));
    cJSON_Delete(o);
    free(text);
    return job;
}

/* job: its index, or -1. Takes the body. */
static tw_simulator_conn *send(tw_simulator *sim, int job, const char *id, int kind, int node,
                               char *body) {
    char path[100];
    tw_simulator_conn *c = tw_simulator_conn_new(sim, node, TW_SIMULATOR_CONN_USER);
    c->sent = sim->world.now;
    c->target = job;
    c->user_kind = kind;
    snprintf(c->what, sizeof c->what, "%s", id);
    if (kind == TW_SIMULATOR_SUBMIT)
        snprintf(path, sizeof path, "/v1/jobs");
    else
        snprintf(path, sizeof path, "/v1/jobs/%s%s", id,
                 kind == TW_SIMULATOR_CANCEL ? "/abort" : "");
    tw_simulator_event *e = tw_simulator_after(sim, travel(sim), request_arrives);
    e->id = c->id;
    e->method = kind == TW_SIMULATOR_POLL ? "GET" : "POST";
    e->path = tw_simulator_text(path);
    e->body = body;
    double wait_s = kind == TW_SIMULATOR_POLL ? POLL_TIMEOUT_S : ANSWER_TIMEOUT_S;
    tw_simulator_after(sim, wait_s, give_up)->id = c->id;
    return c;
}

static tw_simulator_conn *send_job(tw_simulator *sim, int index, int kind, int node) {
    const tw_simulator_job *job = sim->world.jobs[index];
    char *body = kind == TW_SIMULATOR_SUBMIT ? tw_simulator_job_text(&job->spec) : NULL;
    return send(sim, index, job->spec.id, kind, node, body);
}

void tw_simulator_user_send(tw_simulator *sim, int index, int kind) {
    int node = tw_simulator_pick_node(sim);
    tw_simulator_conn *c = send_job(sim, index, kind, node < 0 ? 0 : node);
    if (node < 0) told(sim, c, 0, "");
}

void tw_simulator_user_send_to(tw_simulator *sim, int index, int kind, int node) {
    if (node < 0) node = tw_simulator_pick_node(sim);
    if (node >= 0) send_job(sim, index, kind, node)->once = 1;
}

void tw_simulator_user_cancel(tw_simulator *sim, int index) {
    sim->world.jobs[index]->cancel_asked_at = sim->world.now;
    tw_simulator_user_send(sim, index, TW_SIMULATOR_CANCEL);
}

void tw_simulator_user_submit_as(tw_simulator *sim, int index, const tw_wire_job *spec) {
    int node = tw_simulator_pick_node(sim);
    if (node < 0) return;
    send(sim, index, spec->id, TW_SIMULATOR_SUBMIT, node, tw_simulator_job_text(spec))->once = 1;
}

void tw_simulator_user_odd(tw_simulator *sim, const char *id, int kind, char *body, int wanted) {
    int node = tw_simulator_pick_node(sim);
    if (node < 0) {
        free(body);
        return;
    }
    tw_simulator_conn *c = send(sim, -1, id, kind, node, body);
    c->once = 1;
    c->wanted = wanted;
}
