/* The nodes: start, ticks, messages and end of the controllers, with their settings and clocks. */
#include "simulator_int.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FIRST_TICK_S 0.01 /* offset between the first ticks of consecutive nodes */
#define SEED_STEP 97
#define NODE_SEED_STEP 13
#define CLOCK_DRIFT 0.0002 /* relative drift between the steady clocks of consecutive nodes */
#define STEADY_START 1000
#define WALL_START 1e9
#define MAX_SETTINGS 16384

static tw_simulator_clock node_clock(const tw_simulator *sim, int node) {
    return (tw_simulator_clock){.steady = STEADY_START + sim->world.now * (1 + CLOCK_DRIFT * node),
                                .wall = WALL_START + sim->world.now};
}

tw_simulator_connection *tw_simulator_connection_new(tw_simulator *sim, int node, int kind) {
    tw_simulator_connection *connection = tw_simulator_allocate(sizeof *connection);
    connection->id = ++sim->last_connection;
    connection->kind = kind;
    connection->node = node;
    HASH_ADD(hh, sim->connections, id, sizeof connection->id, connection);
    return connection;
}

/* ---- effects of a node ---- */

static void route_reply(tw_simulator *sim, int node, tw_effect *effect) {
    tw_simulator_connection *connection;
    HASH_FIND(hh, sim->connections, &effect->id, sizeof effect->id, connection);
    if (!connection || connection->replied) return;
    const char *body = effect->body ? effect->body : "";
    if (effect->status >= TW_SIMULATOR_SERVER_ERRORS && effect->retry_after <= 0 &&
        connection->kind != TW_SIMULATOR_CONNECTION_HEARTBEAT)
        tw_simulator_report_failure(sim, "error response without Retry-After", body);
    if (connection->kind == TW_SIMULATOR_CONNECTION_PEER) {
        const char *zone = sim->world.node_zone[connection->source];
        double seconds = tw_simulator_travel_s(sim, sim->world.node_zone[node], zone);
        if (seconds >= 0) {
            tw_simulator_schedule_response(sim, connection->source, connection->source_generation,
                                           connection->call, effect->status, effect->body, seconds);
            effect->body = NULL;
        }
    } else if (connection->kind == TW_SIMULATOR_CONNECTION_HEARTBEAT) {
        tw_simulator_send_heartbeat_answer(sim, connection, effect);
    } else if (connection->kind == TW_SIMULATOR_CONNECTION_USER) {
        tw_simulator_user_receive_answer(sim, connection, effect);
        return; /* the connection ends when the answer reaches the user */
    } else if (effect->status != connection->expected_status) {
        char text[TW_SIMULATOR_MESSAGE_SIZE];
        snprintf(text, sizeof text, "got status %d, expected %d: %s -> %.120s", effect->status,
                 connection->expected_status, connection->what, body);
        tw_simulator_report_failure(sim, "raw request", text);
    }
    HASH_DEL(sim->connections, connection);
    free(connection);
}

/* Removes the record format from a peer heartbeat or its answer, as in a version that does not read
 * chunked records. */
static void remove_record_format(char *body) {
    static const char field[] = ",\"recordFormat\":2";
    char *at = body ? strstr(body, field) : NULL;
    if (at) memmove(at, at + sizeof field - 1, strlen(at + sizeof field - 1) + 1);
}

static bool generation_has_ended(const tw_simulator *sim, int node, int generation) {
    return !sim->nodes[node].alive || sim->nodes[node].generation != generation;
}

/* Delivers an effect of a node to its receiver, and frees it. */
static void send_effect(tw_simulator *sim, int node, tw_effect *effect) {
    if (effect->kind == TW_EFFECT_REPLY)
        route_reply(sim, node, effect);
    else
        tw_simulator_send_call(sim, node, effect);
    tw_core_effect_free(effect);
}

static void send_delayed_effects(tw_simulator *sim, tw_simulator_event *event) {
    tw_simulator_node *node_state = &sim->nodes[event->node];
    if (generation_has_ended(sim, event->node, event->generation) ||
        sim->world.now < node_state->effects_delayed_until)
        return;
    tw_effect *unsent = node_state->delayed_effects;
    node_state->delayed_effects = NULL;
    while (unsent) {
        tw_effect *effect = unsent;
        unsent = effect->next;
        send_effect(sim, event->node, effect);
    }
}

void tw_simulator_node_delay_messages(tw_simulator *sim, int node) {
    tw_simulator_event *event =
        tw_simulator_schedule_at(sim, sim->nodes[node].effects_delayed_until, send_delayed_effects);
    event->node = node;
    event->generation = sim->nodes[node].generation;
    sim->fault_counts[TW_SIMULATOR_DELAYED_EFFECTS]++;
}

static void delay_effect(tw_simulator_node *node_state, tw_effect *effect) {
    if (!node_state->delayed_effects)
        node_state->last_delayed_effect = &node_state->delayed_effects;
    effect->next = NULL;
    *node_state->last_delayed_effect = effect;
    node_state->last_delayed_effect = &effect->next;
}

static void send_effects(tw_simulator *sim, int node) {
    tw_simulator_controller *controller = sim->nodes[node].controller;
    tw_effect *effect;
    while ((effect = controller->methods->next(controller))) {
        if (sim->world.now < sim->nodes[node].old_format_until) remove_record_format(effect->body);
        if (sim->world.now < sim->nodes[node].effects_delayed_until)
            delay_effect(&sim->nodes[node], effect);
        else
            send_effect(sim, node, effect);
    }
    if (!controller->failure || controller->failure_reported) return;
    controller->failure_reported = true;
    tw_simulator_judge_process_end(&sim->world, sim->nodes[node].earlier_version,
                                   sim->world.nodes[node], controller->failure);
}

static bool is_paused(const tw_simulator *sim, int node) {
    return sim->world.now < sim->nodes[node].paused_until;
}

static void deliver_delayed_request(tw_simulator *sim, tw_simulator_event *event) {
    if (generation_has_ended(sim, event->node, event->generation)) return;
    tw_simulator_node_request(sim, event->node, event->kind, event->id, event->method, event->path,
                              event->body);
}

/* Delays a request until the node is no longer paused. Delayed requests keep their order. */
static void delay_request(tw_simulator *sim, int node, int port, uint64_t connection,
                          const char *method, const char *path, const char *body) {
    tw_simulator_event *event =
        tw_simulator_schedule_at(sim, sim->nodes[node].paused_until, deliver_delayed_request);
    event->node = node;
    event->generation = sim->nodes[node].generation;
    event->kind = port;
    event->id = connection;
    /* A static string, because the caller may free its own before the event. */
    event->method = strcmp(method, "GET") ? "POST" : "GET";
    event->path = tw_simulator_copy_text(path);
    event->body = tw_simulator_copy_text(body);
}

void tw_simulator_node_request(tw_simulator *sim, int node, int port, uint64_t connection,
                               const char *method, const char *path, const char *body) {
    if (is_paused(sim, node)) {
        delay_request(sim, node, port, connection, method, path, body);
        return;
    }
    tw_simulator_controller *controller = sim->nodes[node].controller;
    controller->methods->request(controller, node_clock(sim, node), port, connection, method, path,
                                 body);
    send_effects(sim, node);
}

void tw_simulator_node_response(tw_simulator *sim, tw_simulator_event *event) {
    if (generation_has_ended(sim, event->node, event->generation)) return;
    if (is_paused(sim, event->node)) {
        tw_simulator_reschedule_at(sim, event, sim->nodes[event->node].paused_until);
        return;
    }
    tw_simulator_controller *controller = sim->nodes[event->node].controller;
    controller->methods->response(controller, node_clock(sim, event->node), event->id,
                                  event->status, event->body ? event->body : "");
    send_effects(sim, event->node);
}

static void tick_node(tw_simulator *sim, tw_simulator_event *event) {
    if (generation_has_ended(sim, event->node, event->generation)) return;
    if (is_paused(sim, event->node)) {
        tw_simulator_reschedule_at(sim, event, sim->nodes[event->node].paused_until);
        return;
    }
    tw_simulator_controller *controller = sim->nodes[event->node].controller;
    controller->methods->tick(controller, node_clock(sim, event->node));
    send_effects(sim, event->node);
    tw_simulator_reschedule_after(sim, event, controller->methods->tick_s(controller));
}

/* ---- start and end ---- */

static void write_settings(const tw_simulator *sim, int node, char *to, size_t size) {
    const tw_simulator_world *world = &sim->world;
    const tw_simulator_limits *limits = &world->state.announced_limits;
    int count = snprintf(to, size,
                         "host_name = \"%s\"\nlocation = \"%s\"\napi_addr = \"10.0.0.%d:8080\"\n"
                         "peer_bind = \"10.0.0.%d:8081\"\n",
                         world->nodes[node], world->node_zone[node], node + 1, node + 1);
    for (int i = 0; i < world->node_count; i++)
        if (i != node)
            count += snprintf(to + count, size - (size_t)count,
                              "[[known]]\nhost_name = \"%s\"\nlocation = \"%s\"\n"
                              "endpoint = \"10.0.0.%d:8081\"\n",
                              world->nodes[i], world->node_zone[i], i + 1);
    snprintf(to + count, size - (size_t)count,
             "[external]\ncloud = \"10.2.0.2:1\"\nstate = \"10.2.0.1:1\"\n[settings]\n%s%s"
             "[settings.workers]\nreport_s = %g\nlease_s = %g\ncancel_s = %g\n"
             "gang_wait_s = %g\ngang_peer_s = %g\n"
             "[settings.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = %.1f\n"
             "txn_ops = %.0f\n%s"
             "[settings.cloud]\nrps = 5.0\nlist_lag_s = 4.0\n"
             "[settings.limits]\ncpu_share = 0.1\nmem_mb = 56.0\nsockets = 600\n",
             sim->teams ? sim->teams : "", sim->objectives ? sim->objectives : "",
             world->heartbeat_s, world->lease_s, world->cancel_s, tw_simulator_gang_wait_s(world),
             tw_simulator_gang_peer_s(world), sim->rps > 1e6 ? 60 : sim->rps, limits->write_rps,
             limits->value_kb, limits->txn_ops, sim->next_limits ? sim->next_limits : "");
}

static uint64_t node_seed(const tw_simulator *sim, int node, int generation) {
    return sim->world.seed * SEED_STEP + (unsigned)node * NODE_SEED_STEP + (unsigned)generation;
}

static tw_simulator_controller *new_controller(const tw_simulator *sim, bool earlier_version,
                                               const tw_simulator_controller_options *options,
                                               char *error, size_t error_size) {
    const char *program = earlier_version ? sim->earlier_program : sim->target_program;
    if (program) return tw_simulator_new_remote_controller(program, options, error, error_size);
    if (!earlier_version) return tw_simulator_new_local_controller(options, error, error_size);
    snprintf(error, error_size, "no program for the earlier version is set (TW_EARLIER_CORE)");
    return NULL;
}

int tw_simulator_node_start(tw_simulator *sim, int node, char *error, size_t error_size) {
    tw_simulator_node *node_state = &sim->nodes[node];
    char text[MAX_SETTINGS];
    write_settings(sim, node, text, sizeof text);
    const tw_simulator_controller_options options = {
        .settings = text,
        .mem_mb = sim->world.mem_mb,
        .seed = node_seed(sim, node, node_state->generation + 1),
        .clock = node_clock(sim, node)};
    node_state->controller =
        new_controller(sim, node_state->earlier_version, &options, error, error_size);
    if (!node_state->controller) return -1;
    node_state->alive = true;
    node_state->generation++;
    tw_simulator_event *event = tw_simulator_schedule_after(sim, FIRST_TICK_S * node, tick_node);
    event->node = node;
    event->generation = node_state->generation;
    return 0;
}

static void start_node(tw_simulator *sim, tw_simulator_event *event) {
    char error[TW_SIMULATOR_MESSAGE_SIZE];
    if (sim->nodes[event->node].alive) return;
    if (tw_simulator_node_start(sim, event->node, error, sizeof error))
        tw_simulator_report_failure(sim, "node can't start:", error);
}

void tw_simulator_node_start_after(tw_simulator *sim, int node, double seconds) {
    tw_simulator_schedule_after(sim, seconds, start_node)->node = node;
}

void tw_simulator_node_kill(tw_simulator *sim, int node) {
    tw_simulator_node *node_state = &sim->nodes[node];
    if (!node_state->alive) return;
    node_state->alive = false;
    node_state->paused_until = node_state->effects_delayed_until = 0;
    while (node_state->delayed_effects) {
        tw_effect *effect = node_state->delayed_effects;
        node_state->delayed_effects = effect->next;
        tw_core_effect_free(effect);
    }
    tw_simulator_connection *connection, *next;
    HASH_ITER(hh, sim->connections, connection, next) {
        bool open = connection->kind == TW_SIMULATOR_CONNECTION_USER && connection->arrived &&
                    !connection->replied;
        if (open && connection->node == node) tw_simulator_user_fail_request(sim, connection);
    }
    node_state->controller->methods->free(node_state->controller);
    node_state->controller = NULL;
}

int tw_simulator_find_leader(tw_simulator *sim) {
    const char *value = tw_simulator_state_value(&sim->world.state, "leader");
    for (int i = 0; value && i < sim->world.node_count; i++) {
        char text[TW_SIMULATOR_NAME_SIZE + 16];
        snprintf(text, sizeof text, "\"node\":\"%s\"", sim->world.nodes[i]);
        if (strstr(value, text)) return i;
    }
    return -1;
}

int tw_simulator_node_find(tw_simulator *sim, const char *name) {
    if (!strcmp(name, "leader")) return tw_simulator_find_leader(sim);
    for (int i = 0; i < sim->world.node_count; i++)
        if (!strcmp(sim->world.nodes[i], name)) return i;
    return -1;
}
