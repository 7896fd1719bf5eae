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
    const tw_simulator_troubles *troubles = &sim->trouble;
    if (sim->world.now >= troubles->cut_until || !*a || !*b) return false;
    return (!strcmp(a, troubles->cut_from) && !strcmp(b, troubles->cut_to)) ||
           (!strcmp(b, troubles->cut_from) && !strcmp(a, troubles->cut_to));
}

double tw_simulator_travel(const tw_simulator *sim, const char *from, const char *to) {
    if (*from && *to && tw_simulator_cut_off(sim, from) != tw_simulator_cut_off(sim, to)) return -1;
    if (!is_cut(sim, from, to)) return TW_SIMULATOR_LATENCY;
    if (!sim->trouble.cut_holds) return -1;
    return sim->trouble.cut_until - sim->world.now + TW_SIMULATOR_LATENCY;
}

bool tw_simulator_reaches_state(const tw_simulator *sim, int node) {
    const tw_simulator_node *node_state = &sim->nodes[node];
    double now = sim->world.now;
    return now >= node_state->alone_until && now >= node_state->cut_state_until &&
           !tw_simulator_cut_off(sim, sim->world.node_zone[node]);
}

/* ---- answers ---- */

static void deliver_answer(tw_simulator *sim, tw_simulator_event *event) {
    tw_simulator_node_response(sim, event);
}

void tw_simulator_schedule_response(tw_simulator *sim, int node, int generation, uint64_t call,
                                    int status, char *body, double seconds) {
    tw_simulator_event *event = tw_simulator_schedule_after(sim, seconds, deliver_answer);
    event->node = node;
    event->generation = generation;
    event->id = call;
    event->status = status;
    event->body = body;
}

/* ---- arrivals ---- */

static const char *body_of(const tw_simulator_event *event) {
    return event->body ? event->body : "";
}

/* A watch stays open until something changes or its time is over, and longer for a node that the
 * state service's answers don't reach. */
static void deliver_follow(tw_simulator *sim, tw_simulator_event *event) {
    tw_simulator_state *state = &sim->world.state;
    bool up = state->down_since < 0, reached = tw_simulator_reaches_state(sim, event->node);
    bool open = sim->world.now < event->time;
    if (sim->nodes[event->node].generation != event->generation) return;
    if (!reached || sim->world.now < sim->nodes[event->node].no_state_until) {
        tw_simulator_reschedule_after(sim, event, WATCH_LOOK_S);
        return;
    }
    if (up) tw_simulator_state_expire(state, sim->world.now);
    if (open && (!up || state->revision == event->incarnation)) {
        tw_simulator_reschedule_after(sim, event, WATCH_LOOK_S);
        return;
    }
    char *out;
    int status =
        tw_simulator_state_request(state, sim->world.now, event->method, event->path, "", &out);
    if (open && (status != TW_SIMULATOR_OK || strstr(out, "\"log\":[]"))) {
        free(out);
        event->incarnation = state->revision; /* looked at up to here */
        tw_simulator_reschedule_after(sim, event, WATCH_LOOK_S);
        return;
    }
    tw_simulator_schedule_response(sim, event->node, event->generation, event->id, status, out,
                                   TW_SIMULATOR_LATENCY);
}

static void deliver_to_state(tw_simulator *sim, tw_simulator_event *event) {
    char *out;
    int status = tw_simulator_state_request(&sim->world.state, sim->world.now, event->method,
                                            event->path, body_of(event), &out);
    bool lost = event->kind || !tw_simulator_reaches_state(sim, event->node);
    tw_simulator_deliver_held_heartbeats(sim);
    if (!strcmp(event->path, "/txn") && sim->trouble.lose_txns > 0 && status == TW_SIMULATOR_OK) {
        sim->trouble.lose_txns--;
        lost = true;
    }
    if (lost)
        free(out);
    else
        tw_simulator_schedule_response(sim, event->node, event->generation, event->id, status, out,
                                       TW_SIMULATOR_LATENCY);
}

static void deliver_to_cloud(tw_simulator *sim, tw_simulator_event *event) {
    char *out;
    int status = TW_SIMULATOR_UNAVAILABLE;
    if (sim->world.now < sim->trouble.no_cloud_until)
        out = tw_simulator_copy_text("{\"error\":\"trouble\"}");
    else
        status = tw_simulator_cloud_request(&sim->world, event->method, event->path, body_of(event),
                                            &out);
    tw_simulator_schedule_response(sim, event->node, event->generation, event->id, status, out,
                                   TW_SIMULATOR_LATENCY);
}

static void deliver_command(tw_simulator *sim, tw_simulator_event *event) {
    tw_simulator_worker *worker = sim->world.workers[event->target];
    if (worker->gone || !worker->up) return;
    if (sim->world.now < worker->hung_until) { /* executed when it goes on */
        tw_simulator_reschedule_at(sim, event, worker->hung_until);
        return;
    }
    char *out;
    int status = tw_simulator_worker_handle_request(&sim->world, worker, event->method, event->path,
                                                    body_of(event), &out);
    double back = tw_simulator_travel(sim, sim->world.node_zone[event->node], worker->zone);
    if (back < 0 || sim->world.now < worker->unresponsive_until)
        free(out);
    else
        tw_simulator_schedule_response(sim, event->node, event->generation, event->id, status, out,
                                       back);
}

static void deliver_to_peer(tw_simulator *sim, tw_simulator_event *event) {
    if (!sim->nodes[event->target].alive) return;
    tw_simulator_connection *connection =
        tw_simulator_connection_new(sim, event->target, TW_SIMULATOR_CONNECTION_PEER);
    connection->source = event->node;
    connection->source_generation = event->generation;
    connection->call = event->id;
    tw_simulator_node_request(sim, event->target, TW_PORT_PEER, connection->id, event->method,
                              event->path, body_of(event));
}

/* ---- departures ---- */

static tw_simulator_event *schedule_arrival(tw_simulator *sim, double seconds,
                                            void (*act)(tw_simulator *, tw_simulator_event *),
                                            int node, tw_effect *effect) {
    tw_simulator_event *event = tw_simulator_schedule_after(sim, seconds, act);
    event->node = node;
    event->generation = sim->nodes[node].generation;
    event->id = effect->id;
    event->method = effect->method;
    event->path = effect->path;
    event->body = effect->body;
    effect->path = effect->body = NULL;
    return event;
}

/* Whether the state service's limit of requests allows one more. */
static bool allows_request(tw_simulator *sim) {
    double now = sim->world.now;
    sim->request_tokens = fmin(sim->rps, sim->request_tokens + (now - sim->requests_at) * sim->rps);
    sim->requests_at = now;
    if (--sim->request_tokens >= 0) return true;
    sim->request_tokens = 0;
    return false;
}

/* Whether a transaction's answer gets lost; it may be carried out late, too. */
static bool strike_transaction(tw_simulator *sim, double *latency) {
    tw_simulator_troubles *troubles = &sim->trouble;
    if (troubles->late_txn_s > 0) {
        *latency = troubles->late_txn_s;
        troubles->late_txn_s = 0;
        return true;
    }
    if (tw_simulator_fault_applies(sim, &troubles->late_writes, TW_SIMULATOR_LATE_WRITES,
                                   TW_SIMULATOR_DRAW_WRITES)) {
        *latency = tw_simulator_draw(&sim->world, TW_SIMULATOR_DRAW_WRITES,
                                     TW_SIMULATOR_HELD_LEAST_S, TW_SIMULATOR_WRITE_HELD_MOST_S);
        return true;
    }
    return tw_simulator_fault_applies(sim, &troubles->lost_writes, TW_SIMULATOR_LOST_WRITES,
                                      TW_SIMULATOR_DRAW_WRITES);
}

static void call_state(tw_simulator *sim, int node, tw_effect *effect) {
    const tw_simulator_node *node_state = &sim->nodes[node];
    double now = sim->world.now;
    int status = 0;
    if (now < node_state->cut_state_until) sim->strike_counts[TW_SIMULATOR_CUT_STATE]++;
    if (now < node_state->cut_state_until && node_state->cut_state_refuses) {
        tw_simulator_schedule_response(sim, node, node_state->generation, effect->id, 0, NULL,
                                       TW_SIMULATOR_LATENCY);
        return;
    }
    if (!tw_simulator_reaches_state(sim, node)) return;
    if (!allows_request(sim))
        status = TW_SIMULATOR_TOO_MANY;
    else if (now < node_state->no_state_until)
        status = TW_SIMULATOR_UNAVAILABLE;
    if (status) {
        tw_simulator_schedule_response(sim, node, node_state->generation, effect->id, status,
                                       tw_simulator_copy_text("{}"), TW_SIMULATOR_LATENCY);
        return;
    }
    double latency =
        now < sim->trouble.slow_state_until ? sim->trouble.slow_state_s : TW_SIMULATOR_LATENCY;
    if (!strcmp(effect->path, "/txn")) {
        bool lost = strike_transaction(sim, &latency);
        schedule_arrival(sim, latency, deliver_to_state, node, effect)->kind = lost;
        return;
    }
    const char *hold = strstr(effect->path, "holdMs=");
    double until = now + (hold ? tw_simulator_parse_number(hold + strlen("holdMs=")) / 1000 : 0);
    bool watches = !strncmp(effect->path, "/follow", strlen("/follow"));
    schedule_arrival(sim, latency, watches ? deliver_follow : deliver_to_state, node, effect)
        ->time = until;
}

static void call_peer(tw_simulator *sim, int node, tw_effect *effect) {
    const tw_simulator_world *world = &sim->world;
    int to = tw_simulator_parse_int(effect->addr + strlen("10.0.0.")) - 1;
    if (world->now < sim->trouble.refuse_peers_until) {
        tw_simulator_schedule_response(sim, node, sim->nodes[node].generation, effect->id, 0, NULL,
                                       TW_SIMULATOR_LATENCY);
        return;
    }
    double seconds = tw_simulator_travel(sim, world->node_zone[node], world->node_zone[to]);
    bool alone =
        world->now < sim->nodes[node].alone_until || world->now < sim->nodes[to].alone_until;
    if (alone || seconds < 0) return;
    schedule_arrival(sim, seconds, deliver_to_peer, node, effect)->target = to;
}

/* Whether a direct command is held up: nobody waits for it any more when it is carried out. */
static bool delay_command(tw_simulator *sim, int machine, const tw_effect *effect,
                          double *seconds) {
    tw_simulator_troubles *troubles = &sim->trouble;
    if (troubles->late_commands_to == machine) {
        *seconds = troubles->late_commands_s;
        troubles->late_commands_to = -1;
        return true;
    }
    if (strcmp(effect->path, "/orders") != 0 ||
        !tw_simulator_fault_applies(sim, &troubles->late_commands, TW_SIMULATOR_LATE_COMMANDS,
                                    TW_SIMULATOR_DRAW_COMMANDS))
        return false;
    *seconds = tw_simulator_draw(&sim->world, TW_SIMULATOR_DRAW_COMMANDS, TW_SIMULATOR_HELD_LEAST_S,
                                 TW_SIMULATOR_COMMAND_HELD_MOST_S);
    return true;
}

/* A direct command that is carried out comes once more later; nobody waits for that answer. */
static void repeat_command(tw_simulator *sim, int node, int machine, const tw_effect *effect) {
    const tw_simulator_troubles *troubles = &sim->trouble;
    if (strcmp(effect->path, "/orders") != 0 ||
        !tw_simulator_fault_applies(sim, &troubles->repeated_commands,
                                    TW_SIMULATOR_REPEATED_COMMANDS, TW_SIMULATOR_DRAW_REPEATS))
        return;
    const double seconds =
        tw_simulator_draw(&sim->world, TW_SIMULATOR_DRAW_REPEATS, TW_SIMULATOR_HELD_LEAST_S,
                          TW_SIMULATOR_COMMAND_HELD_MOST_S);
    tw_simulator_event *event = tw_simulator_schedule_after(sim, seconds, deliver_command);
    event->node = node;
    event->generation = sim->nodes[node].generation;
    event->target = machine;
    event->method = effect->method;
    event->path = tw_simulator_copy_text(effect->path);
    event->body = tw_simulator_copy_text(effect->body ? effect->body : "");
}

static void call_worker(tw_simulator *sim, int node, tw_effect *effect) {
    const tw_simulator_world *world = &sim->world;
    int to = tw_simulator_parse_int(effect->addr + strlen("10.1.0.")) - 1;
    if (to < 0 || to >= world->worker_count) return;
    const tw_simulator_worker *worker = world->workers[to];
    double seconds = tw_simulator_travel(sim, world->node_zone[node], worker->zone);
    if (world->now < worker->unresponsive_until) sim->strike_counts[TW_SIMULATOR_UNRESPONSIVE]++;
    if (seconds < 0 || world->now < worker->unresponsive_until ||
        world->now < sim->nodes[node].no_workers_until)
        return;
    if (world->now < worker->refuses_until) {
        tw_simulator_schedule_response(sim, node, sim->nodes[node].generation, effect->id, 0, NULL,
                                       TW_SIMULATOR_LATENCY);
        return;
    }
    bool late = delay_command(sim, to, effect, &seconds);
    if (!late) repeat_command(sim, node, to, effect);
    tw_simulator_event *event = schedule_arrival(sim, seconds, deliver_command, node, effect);
    event->target = to;
    if (late) event->id = 0;
}

void tw_simulator_send_call(tw_simulator *sim, int node, tw_effect *effect) {
    tw_simulator_schedule_response(sim, node, sim->nodes[node].generation, effect->id, 0, NULL,
                                   effect->timeout_s);
    bool leaves_region = effect->to == TW_TO_STATE || effect->to == TW_TO_CLOUD;
    if (leaves_region && tw_simulator_cut_off(sim, sim->world.node_zone[node])) return;
    if (effect->to == TW_TO_STATE)
        call_state(sim, node, effect);
    else if (effect->to == TW_TO_CLOUD)
        schedule_arrival(sim, CLOUD_LATENCY, deliver_to_cloud, node, effect);
    else if (effect->to == TW_TO_PEER)
        call_peer(sim, node, effect);
    else
        call_worker(sim, node, effect);
}
