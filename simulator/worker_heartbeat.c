/* Advances the simulated workers twenty times a second, and delivers their heartbeats and the
 * answers to them over the simulated network. */
#include "simulator_int.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ADVANCE_INTERVAL_S 0.05
#define JUDGE_LIVENESS_INTERVAL_S 1.0
#define ANSWER_TIMEOUT_S 4.0
#define NEXT_NODE_DELAY_S 1.0
#define MAX_DELIVERY_SPREAD_S 0.3          /* longest delay of a held heartbeat after its release */
#define MAX_BODY_BYTES ((size_t)64 * 1024) /* limit of a request's body in the protocol */
#define ANY_NODE                                                                                   \
    (-1) /* chosen at delivery: a live node of the worker's zone, otherwise the leader */

static void deliver_heartbeat(tw_simulator *sim, tw_simulator_event *event) {
    if (event->node == ANY_NODE) {
        event->node = tw_simulator_find_leader(sim);
        const char *zone = sim->world.workers[event->target]->zone;
        for (int i = 0; i < sim->world.node_count; i++)
            if (sim->nodes[i].alive && !strcmp(sim->world.node_zone[i], zone)) event->node = i;
        if (event->node < 0) return;
    }
    if (!sim->nodes[event->node].alive) return;
    tw_simulator_connection *connection =
        tw_simulator_connection_new(sim, event->node, TW_SIMULATOR_CONNECTION_HEARTBEAT);
    connection->target = event->target;
    connection->sent_at = event->time;
    connection->incarnation = event->incarnation;
    connection->call = event->id;
    tw_simulator_node_request(sim, event->node, TW_PORT_API, connection->id, "POST", "/hello",
                              event->body);
}

static void deliver_answer(tw_simulator *sim, tw_simulator_event *event) {
    tw_simulator_worker *worker = sim->world.workers[event->target];
    if (!event->id || event->id != worker->in_flight) return;
    worker->in_flight = 0;
    if (sim->world.now < worker->hung_until) return;
    if (sim->trace)
        printf("%.2f %s node %d: %d %s\n", sim->world.now, worker->id, worker->node, event->status,
               event->body ? event->body : "");
    tw_simulator_add_to_digest(sim, 'w', event->target, event->status, event->body);
    tw_simulator_worker_apply_answer(&sim->world, worker, event->time, event->incarnation,
                                     event->status, event->body);
}

void tw_simulator_send_heartbeat_answer(tw_simulator *sim,
                                        const tw_simulator_connection *connection,
                                        const tw_effect *effect) {
    const tw_simulator_worker *worker = sim->world.workers[connection->target];
    double seconds = tw_simulator_travel_to_worker_s(sim, connection->node, worker);
    if (seconds < 0 || sim->world.now < worker->unresponsive_until ||
        sim->world.now + seconds - connection->sent_at >= ANSWER_TIMEOUT_S)
        return;
    tw_simulator_event *event = tw_simulator_schedule_after(sim, seconds, deliver_answer);
    event->target = connection->target;
    event->status = effect->status;
    event->id = connection->call;
    event->time = connection->sent_at;
    event->incarnation = connection->incarnation;
    event->body = effect->body ? tw_simulator_copy_text(effect->body) : NULL;
}

static void time_out_heartbeat(tw_simulator *sim, tw_simulator_event *event) {
    tw_simulator_worker *worker = sim->world.workers[event->target];
    if (worker->in_flight != event->id) return;
    worker->in_flight = 0;
    worker->node = (worker->node + 1) % sim->world.node_count;
    worker->next_heartbeat = sim->world.now + NEXT_NODE_DELAY_S;
}

/* Schedules a heartbeat's arrival at a node after `seconds`. `heartbeat` is the number by which the
 * worker recognizes the answer; 0 if the worker waits for none. */
static void schedule_heartbeat(tw_simulator *sim, int machine, int node, double seconds,
                               const char *body, uint64_t heartbeat) {
    tw_simulator_event *event = tw_simulator_schedule_after(sim, seconds, deliver_heartbeat);
    event->target = machine;
    event->node = node;
    event->id = heartbeat;
    event->time = sim->world.now;
    event->incarnation = sim->world.workers[machine]->incarnation;
    event->body = tw_simulator_copy_text(body);
}

static void schedule_held_heartbeat(tw_simulator *sim, const tw_simulator_held_heartbeat *held,
                                    int node) {
    double seconds =
        tw_simulator_draw(&sim->world, TW_SIMULATOR_DRAW_HEARTBEATS, 0, MAX_DELIVERY_SPREAD_S);
    tw_simulator_event *event = tw_simulator_schedule_after(sim, seconds, deliver_heartbeat);
    event->target = held->machine;
    event->node = node;
    event->time = held->sent_at;
    event->incarnation = held->incarnation;
    event->body = tw_simulator_copy_text(held->body);
}

void tw_simulator_deliver_held_heartbeats(tw_simulator *sim) {
    tw_simulator_faults *faults = &sim->faults;
    uint64_t version = tw_simulator_state_version(&sim->world.state, "leader");
    if (!version || version == faults->leader_version) return;
    faults->leader_version = version;
    int remaining_count = 0;
    for (int i = 0; i < faults->held_heartbeat_count; i++) {
        if (--faults->held_heartbeats[i].leaders_until_delivery > 0) {
            faults->held_heartbeats[remaining_count++] = faults->held_heartbeats[i];
            continue;
        }
        for (int node = 0; node < sim->world.node_count; node++)
            schedule_held_heartbeat(sim, &faults->held_heartbeats[i], node);
        free(faults->held_heartbeats[i].body);
    }
    if (remaining_count < faults->held_heartbeat_count)
        tw_simulator_extend_faults(sim, MAX_DELIVERY_SPREAD_S);
    faults->held_heartbeat_count = remaining_count;
}

/* If the fault that duplicates heartbeats applies to this one, schedules a copy that arrives at a
 * random node much later, or holds a copy until the given number of new leaders has been elected.
 */
static void duplicate_heartbeat(tw_simulator *sim, int machine, const char *body) {
    tw_simulator_world *world = &sim->world;
    tw_simulator_faults *faults = &sim->faults;
    if (!tw_simulator_fault_applies(sim, &faults->late_heartbeats, TW_SIMULATOR_LATE_HEARTBEATS,
                                    TW_SIMULATOR_DRAW_HEARTBEATS))
        return;
    if (faults->held_heartbeat_leaders) {
        faults->held_heartbeats =
            tw_simulator_grow(faults->held_heartbeats, faults->held_heartbeat_count,
                              &faults->held_heartbeat_capacity, sizeof *faults->held_heartbeats);
        faults->held_heartbeats[faults->held_heartbeat_count++] =
            (tw_simulator_held_heartbeat){.machine = machine,
                                          .leaders_until_delivery = faults->held_heartbeat_leaders,
                                          .incarnation = world->workers[machine]->incarnation,
                                          .sent_at = world->now,
                                          .body = tw_simulator_copy_text(body)};
        return;
    }
    double seconds =
        tw_simulator_draw(world, TW_SIMULATOR_DRAW_HEARTBEATS, TW_SIMULATOR_MIN_DELAY_S,
                          TW_SIMULATOR_MAX_HEARTBEAT_DELAY_LEASES * world->lease_s);
    int node = tw_simulator_draw_index(world, TW_SIMULATOR_DRAW_HEARTBEATS, world->node_count);
    schedule_heartbeat(sim, machine, node, seconds, body, 0);
}

/* Checks that a heartbeat is longer than the protocol allows only if the machine has run that many
 * tasks at a time, and not because the controllers let it list tasks that ended long ago. */
static void check_length(tw_simulator *sim, const tw_simulator_worker *worker, size_t length) {
    if (length <= MAX_BODY_BYTES) return;
    const double length_of_active = (double)length * worker->most_active_tasks / worker->task_count;
    if (length_of_active <= (double)MAX_BODY_BYTES)
        tw_simulator_report_failure(sim, "heartbeat over 64 KiB", worker->id);
}

static void send_heartbeat(tw_simulator *sim, int machine) {
    tw_simulator_world *world = &sim->world;
    tw_simulator_worker *worker = world->workers[machine];
    char *body = tw_simulator_worker_next_heartbeat(world, worker);
    check_length(sim, worker, strlen(body));
    worker->has_unreported_change = false;
    worker->in_flight = ++sim->last_heartbeat;
    worker->last_heartbeat = world->now;
    worker->next_heartbeat = world->now + world->heartbeat_s;
    double seconds = tw_simulator_travel_s(sim, worker->zone, world->node_zone[worker->node]);
    if (world->now < sim->nodes[worker->node].workers_unreachable_until) seconds = -1;
    if (world->now < worker->heartbeats_lost_until) {
        sim->fault_counts[TW_SIMULATOR_LOST_HEARTBEATS]++;
        seconds = -1;
    }
    if (worker->delay_next_heartbeat_s > 0) {
        schedule_heartbeat(sim, machine, worker->node, worker->delay_next_heartbeat_s, body, 0);
        worker->delay_next_heartbeat_s = 0;
        seconds = -1;
    }
    if (seconds >= 0)
        schedule_heartbeat(sim, machine, worker->node, seconds, body, worker->in_flight);
    duplicate_heartbeat(sim, machine, body);
    if (sim->faults.duplicated_heartbeat_machine == machine) {
        schedule_heartbeat(sim, machine, ANY_NODE, sim->faults.duplicate_heartbeat_delay_s, body,
                           0);
        sim->faults.duplicated_heartbeat_machine = -1;
    }
    /* A node that is down refuses the connection after one round trip. In every other case the
     * worker waits for the answer until the timeout. */
    bool refused = seconds >= 0 && !sim->nodes[worker->node].alive;
    tw_simulator_event *event = tw_simulator_schedule_after(
        sim, refused ? 2 * TW_SIMULATOR_LATENCY_S : ANSWER_TIMEOUT_S, time_out_heartbeat);
    event->target = machine;
    event->id = worker->in_flight;
    free(body);
}

static void advance_world(tw_simulator *sim, tw_simulator_event *event) {
    tw_simulator_world *world = &sim->world;
    tw_simulator_gangs_advance(world);
    for (int i = 0; i < world->worker_count; i++) {
        tw_simulator_worker_advance(world, world->workers[i]);
        if (tw_simulator_worker_heartbeat_is_due(world, world->workers[i])) send_heartbeat(sim, i);
    }
    tw_simulator_judge_cancelled_tasks(world);
    if (world->now >= event->time) {
        tw_simulator_judge_liveness(world);
        event->time = world->now + JUDGE_LIVENESS_INTERVAL_S;
    }
    tw_simulator_reschedule_after(sim, event, ADVANCE_INTERVAL_S);
}

void tw_simulator_workers_start(tw_simulator *sim) {
    tw_simulator_schedule_after(sim, 0, advance_world);
}
