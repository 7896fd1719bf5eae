/* Delivers the workers' heartbeats to controllers, the answers to workers, and delayed copies of
 * heartbeats. */
#include "soak.h"
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define ANSWER_TIMEOUT_S 4.0
#define NODE_CHANGE_DELAY_S 1.0
#define MIN_COPY_DELAY_S 1.0
#define MAX_COPY_DELAY_LEASES 2.5
#define HELD_DELIVERY_SPREAD_S 0.3
#define MAX_LEADERS_UNTIL_DELIVERY 3
#define HOST_DIGITS 3

/* Heartbeat in flight to a controller. Owns its texts. */
typedef struct {
    int machine, node;
    uint64_t id, incarnation; /* id 0: a copy, whose answer is ignored */
    double sent_at;
    char *body;
    int status;
    char *answer;
} sent_heartbeat;

static void free_heartbeat(sent_heartbeat *heartbeat) {
    free(heartbeat->body);
    free(heartbeat->answer);
    free(heartbeat);
}

/* ---- answers to heartbeats ---- */

static void deliver_answer(tw_soak *run, void *data) {
    sent_heartbeat *heartbeat = data;
    tw_simulator_worker *worker = run->world.workers[heartbeat->machine];
    const bool awaited = heartbeat->id && worker->in_flight == heartbeat->id;
    if (awaited && run->world.now >= worker->hung_until) {
        worker->in_flight = 0;
        tw_simulator_worker_advance(&run->world, worker); /* processes lease expiry first */
        if (strstr(heartbeat->answer, "\"launch\""))
            tw_soak_handle_trigger(run, TW_SOAK_TRIGGER_LAUNCH);
        tw_simulator_worker_apply_answer(&run->world, worker, heartbeat->sent_at,
                                         heartbeat->incarnation, heartbeat->status,
                                         heartbeat->answer);
    }
    free_heartbeat(heartbeat);
}

static void handle_answer(tw_soak *run, void *data, int status, const char *body) {
    sent_heartbeat *heartbeat = data;
    const tw_simulator_worker *worker = run->world.workers[heartbeat->machine];
    const double seconds =
        tw_soak_message_delay_s(run, heartbeat->node, TW_SOAK_WORKERS + heartbeat->machine);
    const bool unresponsive = status && run->world.now < worker->unresponsive_until;
    const bool late = run->world.now + seconds >= heartbeat->sent_at + ANSWER_TIMEOUT_S;
    tw_soak_trace_message(
        run, "node", heartbeat->node, "worker", heartbeat->machine,
        seconds < 0 || unresponsive || late ? "heartbeat answer lost" : "heartbeat answer", body);
    if (seconds < 0 || unresponsive || late) {
        free_heartbeat(heartbeat);
        return;
    }
    heartbeat->status = status;
    heartbeat->answer = tw_simulator_copy_text(body);
    if (seconds > 0)
        tw_soak_schedule_action(run, seconds, deliver_answer, heartbeat);
    else
        deliver_answer(run, heartbeat);
}

static void time_out_heartbeat(tw_soak *run, void *data) {
    sent_heartbeat *heartbeat = data;
    tw_simulator_worker *worker = run->world.workers[heartbeat->machine];
    if (worker->in_flight == heartbeat->id) {
        worker->in_flight = 0;
        worker->node = (worker->node + 1) % run->world.node_count;
        worker->next_heartbeat = run->world.now + NODE_CHANGE_DELAY_S;
    }
    free_heartbeat(heartbeat);
}

/* ---- sending of heartbeats ---- */

static void deliver_heartbeat(tw_soak *run, void *data) {
    sent_heartbeat *heartbeat = data;
    tw_soak_trace_message(run, "worker", heartbeat->machine, "node", heartbeat->node,
                          heartbeat->id ? "heartbeat" : "copy of a heartbeat", heartbeat->body);
    tw_soak_call_node(run, heartbeat->node, TW_SOAK_API_PORT, "POST", "/hello", heartbeat->body,
                      ANSWER_TIMEOUT_S, handle_answer, heartbeat);
}

static sent_heartbeat *new_heartbeat(const tw_soak *run, int machine, int node, const char *body,
                                     uint64_t number) {
    sent_heartbeat *heartbeat = tw_simulator_allocate(sizeof *heartbeat);
    heartbeat->machine = machine;
    heartbeat->node = node;
    heartbeat->id = number;
    heartbeat->incarnation = run->world.workers[machine]->incarnation;
    heartbeat->sent_at = run->world.now;
    heartbeat->body = tw_simulator_copy_text(body);
    /* Rewrites the endpoint to the host at which this controller reaches the worker. */
    char host[TW_SOAK_TEXT_SIZE], digits[TW_SOAK_TEXT_SIZE];
    tw_soak_format_address(run, host, TW_SOAK_STAND_IN_HOST, 0);
    *(strrchr(host, '.') + 1) = 0;
    char *at = strstr(heartbeat->body, host);
    snprintf(digits, sizeof digits, "%d", TW_SOAK_STAND_IN_HOST + node);
    if (at) memcpy(at + strlen(host), digits, HOST_DIGITS);
    return heartbeat;
}

static void draw_heartbeat_copies(tw_soak *run, int machine, const char *body) {
    if (tw_soak_is_message_affected(run, &run->late_heartbeats)) {
        sent_heartbeat *copy =
            new_heartbeat(run, machine, tw_soak_draw_index(run, run->plan.nodes), body, 0);
        tw_soak_schedule_action(
            run, tw_soak_draw(run, MIN_COPY_DELAY_S, MAX_COPY_DELAY_LEASES * run->world.lease_s),
            deliver_heartbeat, copy);
    }
    if (tw_soak_is_message_affected(run, &run->held_heartbeat_share)) {
        run->held_heartbeats =
            tw_simulator_grow(run->held_heartbeats, run->held_heartbeat_count,
                              &run->held_heartbeat_capacity, sizeof *run->held_heartbeats);
        const int leader_count = 1 + tw_soak_draw_index(run, MAX_LEADERS_UNTIL_DELIVERY);
        run->held_heartbeats[run->held_heartbeat_count++] =
            (tw_soak_held_heartbeat){machine, leader_count, tw_simulator_copy_text(body)};
    }
}

void tw_soak_deliver_held_heartbeats(tw_soak *run) {
    int still_held = 0;
    for (int i = 0; i < run->held_heartbeat_count; i++) {
        if (--run->held_heartbeats[i].leaders_until_delivery > 0) {
            run->held_heartbeats[still_held++] = run->held_heartbeats[i];
            continue;
        }
        for (int node = 0; node < run->plan.nodes; node++) {
            sent_heartbeat *copy = new_heartbeat(run, run->held_heartbeats[i].machine, node,
                                                 run->held_heartbeats[i].body, 0);
            tw_soak_schedule_action(run, tw_soak_draw(run, 0, HELD_DELIVERY_SPREAD_S),
                                    deliver_heartbeat, copy);
        }
        free(run->held_heartbeats[i].body);
    }
    run->held_heartbeat_count = still_held;
}

static void send_heartbeat(tw_soak *run, int machine) {
    tw_simulator_world *world = &run->world;
    tw_simulator_worker *worker = world->workers[machine];
    char *body = tw_simulator_worker_next_heartbeat(world, worker);
    worker->has_unreported_change = false;
    worker->in_flight = ++run->last_heartbeat_id;
    worker->last_heartbeat = world->now;
    worker->next_heartbeat = world->now + world->heartbeat_s * tw_soak_draw(run, 0.75, 1.25);
    draw_heartbeat_copies(run, machine, body);
    double seconds = tw_soak_message_delay_s(run, TW_SOAK_WORKERS + machine, worker->node);
    if (world->now < worker->heartbeats_lost_until) seconds = -1;
    tw_soak_schedule_action(run, ANSWER_TIMEOUT_S, time_out_heartbeat,
                            new_heartbeat(run, machine, worker->node, "", worker->in_flight));
    if (seconds >= 0) {
        sent_heartbeat *heartbeat =
            new_heartbeat(run, machine, worker->node, body, worker->in_flight);
        if (seconds > 0)
            tw_soak_schedule_action(run, seconds, deliver_heartbeat, heartbeat);
        else
            deliver_heartbeat(run, heartbeat);
    }
    free(body);
}

void tw_soak_workers_tick(tw_soak *run) {
    tw_simulator_gangs_advance(&run->world);
    for (int i = 0; i < run->world.worker_count; i++) {
        tw_simulator_worker_advance(&run->world, run->world.workers[i]);
        if (tw_simulator_worker_heartbeat_is_due(&run->world, run->world.workers[i]))
            send_heartbeat(run, i);
    }
    tw_simulator_judge_cancelled_tasks(&run->world);
}
