/* The network between controllers, state service, cloud and machines: latency, cut connections, and
 * the delay and loss of the nodes' calls. */
#include "simulator_int.h"
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define CLOUD_LATENCY_S (10 * TW_SIMULATOR_LATENCY_S)
#define WATCH_POLL_S 0.05 /* interval in which an open watch checks for changes */

bool tw_simulator_zone_is_isolated(const tw_simulator *sim, const char *zone) {
    return sim->world.now < sim->faults.zone_isolated_until &&
           !strcmp(zone, sim->faults.isolated_zone);
}

static bool zones_are_cut(const tw_simulator *sim, const char *a, const char *b) {
    const tw_simulator_faults *faults = &sim->faults;
    if (sim->world.now >= faults->cut_until || !*a || !*b) return false;
    return (!strcmp(a, faults->cut_from) && !strcmp(b, faults->cut_to)) ||
           (!strcmp(b, faults->cut_from) && !strcmp(a, faults->cut_to));
}

double tw_simulator_travel_s(const tw_simulator *sim, const char *from, const char *to) {
    if (*from && *to &&
        tw_simulator_zone_is_isolated(sim, from) != tw_simulator_zone_is_isolated(sim, to))
        return -1;
    if (!zones_are_cut(sim, from, to)) return TW_SIMULATOR_LATENCY_S;
    if (!sim->faults.cut_delays_messages) return -1;
    return sim->faults.cut_until - sim->world.now + TW_SIMULATOR_LATENCY_S;
}

double tw_simulator_travel_to_worker_s(const tw_simulator *sim, int node,
                                       const tw_simulator_worker *worker) {
    const double seconds = tw_simulator_travel_s(sim, sim->world.node_zone[node], worker->zone);
    const double held_s = fmax(0, worker->messages_held_until - sim->world.now);
    return seconds < 0 ? seconds : seconds + held_s;
}

bool tw_simulator_state_reaches_node(const tw_simulator *sim, int node) {
    const tw_simulator_node *node_state = &sim->nodes[node];
    double now = sim->world.now;
    return now >= node_state->isolated_until && now >= node_state->state_unreachable_until &&
           !tw_simulator_zone_is_isolated(sim, sim->world.node_zone[node]);
}

/* ---- answers to calls of nodes ---- */

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

/* ---- delivery of calls ---- */

static const char *body_of(const tw_simulator_event *event) {
    return event->body ? event->body : "";
}

/* Answers a watch when a key changes or the hold time of the watch ends. The watch of a node that
 * the answers of the state service don't reach stays open for longer. */
static void deliver_watch(tw_simulator *sim, tw_simulator_event *event) {
    tw_simulator_state *state = &sim->world.state;
    bool up = state->down_since < 0, reached = tw_simulator_state_reaches_node(sim, event->node);
    bool open = sim->world.now < event->time;
    if (sim->nodes[event->node].generation != event->generation) return;
    if (!reached || sim->world.now < sim->nodes[event->node].state_unavailable_until) {
        tw_simulator_reschedule_after(sim, event, WATCH_POLL_S);
        return;
    }
    if (up) tw_simulator_state_expire(state, sim->world.now);
    if (open && (!up || state->revision == event->incarnation)) {
        tw_simulator_reschedule_after(sim, event, WATCH_POLL_S);
        return;
    }
    char *out;
    int status =
        tw_simulator_state_request(state, sim->world.now, event->method, event->path, "", &out);
    if (open && (status != TW_SIMULATOR_OK || strstr(out, "\"log\":[]"))) {
        free(out);
        /* No watched key has changed up to this revision. */
        event->incarnation = state->revision;
        tw_simulator_reschedule_after(sim, event, WATCH_POLL_S);
        return;
    }
    tw_simulator_schedule_response(sim, event->node, event->generation, event->id, status, out,
                                   TW_SIMULATOR_LATENCY_S);
}

static void deliver_to_state(tw_simulator *sim, tw_simulator_event *event) {
    char *out;
    int status = tw_simulator_state_request(&sim->world.state, sim->world.now, event->method,
                                            event->path, body_of(event), &out);
    bool lost = event->kind || !tw_simulator_state_reaches_node(sim, event->node);
    tw_simulator_deliver_held_heartbeats(sim);
    if (!strcmp(event->path, "/txn") && sim->faults.lost_txn_answers > 0 &&
        status == TW_SIMULATOR_OK) {
        sim->faults.lost_txn_answers--;
        lost = true;
    }
    if (lost)
        free(out);
    else
        tw_simulator_schedule_response(sim, event->node, event->generation, event->id, status, out,
                                       TW_SIMULATOR_LATENCY_S);
}

static void deliver_to_cloud(tw_simulator *sim, tw_simulator_event *event) {
    char *out;
    int status = TW_SIMULATOR_UNAVAILABLE;
    if (sim->world.now < sim->faults.cloud_unavailable_until)
        out = tw_simulator_copy_text("{\"error\":\"trouble\"}");
    else
        status = tw_simulator_cloud_request(&sim->world, event->method, event->path, body_of(event),
                                            &out);
    tw_simulator_schedule_response(sim, event->node, event->generation, event->id, status, out,
                                   TW_SIMULATOR_LATENCY_S);
}

static void deliver_command(tw_simulator *sim, tw_simulator_event *event) {
    tw_simulator_worker *worker = sim->world.workers[event->target];
    if (worker->removed || !worker->up) return;
    /* A machine that hangs executes the command afterwards. */
    if (sim->world.now < worker->hung_until) {
        tw_simulator_reschedule_at(sim, event, worker->hung_until);
        return;
    }
    char *out;
    int status = tw_simulator_worker_handle_request(&sim->world, worker, event->method, event->path,
                                                    body_of(event), &out);
    double back = tw_simulator_travel_s(sim, sim->world.node_zone[event->node], worker->zone);
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

/* ---- sending of calls ---- */

static tw_simulator_event *schedule_arrival(tw_simulator *sim, double seconds,
                                            void (*handler)(tw_simulator *, tw_simulator_event *),
                                            int node, tw_effect *effect) {
    tw_simulator_event *event = tw_simulator_schedule_after(sim, seconds, handler);
    event->node = node;
    event->generation = sim->nodes[node].generation;
    event->id = effect->id;
    event->method = effect->method;
    event->path = effect->path;
    event->body = effect->body;
    effect->path = effect->body = NULL;
    return event;
}

/* Takes a token of the rate limiter of requests to the state service. Returns false if there is
 * none. */
static bool take_request_token(tw_simulator *sim) {
    double now = sim->world.now;
    sim->request_tokens = fmin(sim->rps, sim->request_tokens + (now - sim->requests_at) * sim->rps);
    sim->requests_at = now;
    if (--sim->request_tokens >= 0) return true;
    sim->request_tokens = 0;
    return false;
}

/* Applies faults to a transaction, which may raise its latency. Returns whether its answer is lost.
 */
static bool apply_transaction_faults(tw_simulator *sim, double *latency) {
    tw_simulator_faults *faults = &sim->faults;
    if (faults->txn_delay_s > 0) {
        *latency = faults->txn_delay_s;
        faults->txn_delay_s = 0;
        return true;
    }
    if (tw_simulator_fault_applies(sim, &faults->late_writes, TW_SIMULATOR_LATE_WRITES,
                                   TW_SIMULATOR_DRAW_WRITES)) {
        *latency = tw_simulator_draw(&sim->world, TW_SIMULATOR_DRAW_WRITES,
                                     TW_SIMULATOR_MIN_DELAY_S, TW_SIMULATOR_MAX_WRITE_DELAY_S);
        return true;
    }
    return tw_simulator_fault_applies(sim, &faults->lost_writes, TW_SIMULATOR_LOST_WRITES,
                                      TW_SIMULATOR_DRAW_WRITES);
}

static void send_to_state(tw_simulator *sim, int node, tw_effect *effect) {
    const tw_simulator_node *node_state = &sim->nodes[node];
    double now = sim->world.now;
    int status = 0;
    if (now < node_state->state_unreachable_until) sim->fault_counts[TW_SIMULATOR_CUT_STATE]++;
    if (now < node_state->state_unreachable_until && node_state->state_refuses_connections) {
        tw_simulator_schedule_response(sim, node, node_state->generation, effect->id, 0, NULL,
                                       TW_SIMULATOR_LATENCY_S);
        return;
    }
    if (!tw_simulator_state_reaches_node(sim, node)) return;
    if (!take_request_token(sim))
        status = TW_SIMULATOR_TOO_MANY_REQUESTS;
    else if (now < node_state->state_unavailable_until)
        status = TW_SIMULATOR_UNAVAILABLE;
    if (status) {
        tw_simulator_schedule_response(sim, node, node_state->generation, effect->id, status,
                                       tw_simulator_copy_text("{}"), TW_SIMULATOR_LATENCY_S);
        return;
    }
    double latency =
        now < sim->faults.slow_state_until ? sim->faults.state_latency_s : TW_SIMULATOR_LATENCY_S;
    if (!strcmp(effect->path, "/txn")) {
        bool lost = apply_transaction_faults(sim, &latency);
        schedule_arrival(sim, latency, deliver_to_state, node, effect)->kind = lost;
        return;
    }
    const char *hold = strstr(effect->path, "holdMs=");
    double until = now + (hold ? tw_simulator_parse_number(hold + strlen("holdMs=")) / 1000 : 0);
    bool watches = !strncmp(effect->path, "/follow", strlen("/follow"));
    schedule_arrival(sim, latency, watches ? deliver_watch : deliver_to_state, node, effect)->time =
        until;
}

static void send_to_peer(tw_simulator *sim, int node, tw_effect *effect) {
    const tw_simulator_world *world = &sim->world;
    int to = tw_simulator_parse_int(effect->addr + strlen("10.0.0.")) - 1;
    if (world->now < sim->faults.peers_refused_until) {
        tw_simulator_schedule_response(sim, node, sim->nodes[node].generation, effect->id, 0, NULL,
                                       TW_SIMULATOR_LATENCY_S);
        return;
    }
    double seconds = tw_simulator_travel_s(sim, world->node_zone[node], world->node_zone[to]);
    bool isolated =
        world->now < sim->nodes[node].isolated_until || world->now < sim->nodes[to].isolated_until;
    if (isolated || seconds < 0) return;
    schedule_arrival(sim, seconds, deliver_to_peer, node, effect)->target = to;
}

/* Returns whether a fault delays a direct command, and sets *seconds to the delay. The node
 * receives no answer to a delayed command. */
static bool apply_command_delay(tw_simulator *sim, int machine, const tw_effect *effect,
                                double *seconds) {
    tw_simulator_faults *faults = &sim->faults;
    if (faults->delayed_command_machine == machine) {
        *seconds = faults->command_delay_s;
        faults->delayed_command_machine = -1;
        return true;
    }
    if (strcmp(effect->path, "/orders") != 0 ||
        !tw_simulator_fault_applies(sim, &faults->late_commands, TW_SIMULATOR_LATE_COMMANDS,
                                    TW_SIMULATOR_DRAW_COMMANDS))
        return false;
    *seconds = tw_simulator_draw(&sim->world, TW_SIMULATOR_DRAW_COMMANDS, TW_SIMULATOR_MIN_DELAY_S,
                                 TW_SIMULATOR_MAX_COMMAND_DELAY_S);
    return true;
}

/* Applies the fault that delivers a direct command a second time after a delay. The node receives
 * no answer to the second delivery. */
static void schedule_repeated_command(tw_simulator *sim, int node, int machine,
                                      const tw_effect *effect) {
    const tw_simulator_faults *faults = &sim->faults;
    if (strcmp(effect->path, "/orders") != 0 ||
        !tw_simulator_fault_applies(sim, &faults->repeated_commands, TW_SIMULATOR_REPEATED_COMMANDS,
                                    TW_SIMULATOR_DRAW_REPEATS))
        return;
    const double seconds =
        tw_simulator_draw(&sim->world, TW_SIMULATOR_DRAW_REPEATS, TW_SIMULATOR_MIN_DELAY_S,
                          TW_SIMULATOR_MAX_COMMAND_DELAY_S);
    tw_simulator_event *event = tw_simulator_schedule_after(sim, seconds, deliver_command);
    event->node = node;
    event->generation = sim->nodes[node].generation;
    event->target = machine;
    event->method = effect->method;
    event->path = tw_simulator_copy_text(effect->path);
    event->body = tw_simulator_copy_text(effect->body ? effect->body : "");
}

static void send_to_worker(tw_simulator *sim, int node, tw_effect *effect) {
    const tw_simulator_world *world = &sim->world;
    int to = tw_simulator_parse_int(effect->addr + strlen("10.1.0.")) - 1;
    if (to < 0 || to >= world->worker_count) return;
    const tw_simulator_worker *worker = world->workers[to];
    double seconds = tw_simulator_travel_to_worker_s(sim, node, worker);
    if (world->now < worker->unresponsive_until) sim->fault_counts[TW_SIMULATOR_UNRESPONSIVE]++;
    if (seconds < 0 || world->now < worker->unresponsive_until ||
        world->now < sim->nodes[node].workers_unreachable_until)
        return;
    if (world->now < worker->refuses_commands_until) {
        tw_simulator_schedule_response(sim, node, sim->nodes[node].generation, effect->id, 0, NULL,
                                       TW_SIMULATOR_LATENCY_S);
        return;
    }
    bool late = apply_command_delay(sim, to, effect, &seconds);
    if (!late) schedule_repeated_command(sim, node, to, effect);
    tw_simulator_event *event = schedule_arrival(sim, seconds, deliver_command, node, effect);
    event->target = to;
    if (late) event->id = 0;
}

void tw_simulator_send_call(tw_simulator *sim, int node, tw_effect *effect) {
    tw_simulator_schedule_response(sim, node, sim->nodes[node].generation, effect->id, 0, NULL,
                                   effect->timeout_s);
    bool leaves_region = effect->to == TW_TO_STATE || effect->to == TW_TO_CLOUD;
    if (leaves_region && tw_simulator_zone_is_isolated(sim, sim->world.node_zone[node])) return;
    if (effect->to == TW_TO_STATE)
        send_to_state(sim, node, effect);
    else if (effect->to == TW_TO_CLOUD)
        schedule_arrival(sim, CLOUD_LATENCY_S, deliver_to_cloud, node, effect);
    else if (effect->to == TW_TO_PEER)
        send_to_peer(sim, node, effect);
    else
        send_to_worker(sim, node, effect);
}
