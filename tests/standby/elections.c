/* Controllers that elect their leader: runs the state machine of src/standby in the simulated world
 * of tests/shards. The control address of a controller is its name. */
#include "shards_world.h"
#include "log/log.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define FIRST_MACHINE_ID                                                                           \
    ((uint64_t)1 << 40)      /* ids of registrations start here; ids of client requests are lower */
#define CLIENT_TIMEOUT_S 1.0 /* time after which a client tries the next controller */
#define CLIENT_PAUSE_S                                                                             \
    0.1 /* pause between a client's attempts, and between its polls of a move                      \
         */

int tw_elections_is_cut(const tw_world *world, int one, int other) {
    for (int i = 0; i < world->cut_count; i++) {
        const tw_world_cut *each = &world->cuts[i];
        if (world->now >= each->until) continue;
        if ((each->one == one && each->other == other) ||
            (each->one == other && each->other == one))
            return 1;
    }
    return 0;
}

double tw_elections_steady_clock(const tw_world *world, int node_index) {
    return world->now * world->nodes[node_index].rate;
}

double tw_elections_wall_clock(const tw_world *world, int node_index) {
    return tw_elections_steady_clock(world, node_index) + world->nodes[node_index].wall_step_s;
}

/* ---- start and end of nodes ---- */

void tw_elections_start_node(tw_world *world, int node_index) {
    tw_world_node *started = &world->nodes[node_index];
    if (started->rate <= 0) started->rate = 1;
    const tw_standby_settings settings = {
        .name = started->name, .control = started->name, .lease_s = world->lease_s};
    started->standby =
        tw_standby_new(&settings, started->leader, tw_elections_steady_clock(world, node_index));
}

void tw_elections_end_node(tw_world *world, int node_index) {
    tw_standby_free(world->nodes[node_index].standby);
    world->nodes[node_index].standby = NULL;
}

/* ---- messages between controllers ---- */

/* Schedules a message to another controller. Returns its event, or NULL if the message is lost. */
static tw_world_event *send_to_node(tw_world *world, int from, int to, tw_world_event_kind kind) {
    if (to < 0 || (from != to && tw_elections_is_cut(world, from, to))) return NULL;
    tw_world_event *sent = tw_world_send_message(world, kind);
    if (!sent) return NULL;
    sent->node = to;
    sent->number = from;
    return sent;
}

/* Returns the index of the controller that the node knows as active, or -1. */
static int active_index(const tw_world *world, int node_index) {
    return tw_world_node_index(world, tw_standby_active_address(world->nodes[node_index].standby));
}

static void request_feed(tw_world *world, int node_index) {
    const int active = active_index(world, node_index);
    tw_world_event *request = active == node_index
                                  ? NULL
                                  : send_to_node(world, node_index, active, TW_WORLD_FEED_REQUEST);
    if (!request) return;
    request->id = world->nodes[node_index].incarnation;
    request->position = tw_standby_position_of(world->nodes[node_index].standby);
}

static double process_cpu_s(void) {
    struct timespec used;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return (double)used.tv_sec + (double)used.tv_nsec / 1e9;
}

static void count_feed(tw_world *world, const tw_standby_message *message, double cpu_s) {
    if (message->kind != TW_STANDBY_CHANGE) return;
    world->feed_messages++;
    world->feed_cpu_s += cpu_s;
    for (int i = 0; i < message->count; i++) {
        const tw_wire_entry *entry = &message->entries[i];
        world->feed_bytes += (long)(strlen(entry->key) + (entry->value ? strlen(entry->value) : 0));
    }
}

static void handle_follow(tw_world *world, const tw_world_event *request) {
    const int from = request->number;
    const double now = tw_elections_steady_clock(world, request->node);
    tw_standby *active = world->nodes[request->node].standby;
    tw_standby_update_follower(active, now, world->nodes[from].name, request->position.term,
                               request->position.number);
    const double began = process_cpu_s();
    tw_standby_message message = tw_standby_build_message(active, now, &request->position);
    count_feed(world, &message, process_cpu_s() - began);
    tw_world_event *sent = send_to_node(world, request->node, from, TW_WORLD_FEED_MESSAGE);
    if (!sent) {
        tw_standby_message_free(&message);
        return;
    }
    sent->incarnation = request->id;
    sent->feed = malloc(sizeof *sent->feed);
    if (!sent->feed) abort();
    *sent->feed = message;
}

/* Injected fault `spoil`: removes a record from a change whose number is the expected one. */
static void drop_last_record(tw_world *world, tw_standby_message *message) {
    if (!world->spoiled_changes_left || message->kind != TW_STANDBY_CHANGE || !message->count)
        return;
    world->spoiled_changes_left--;
    free(message->entries[--message->count].value);
}

static void handle_feed(tw_world *world, const tw_world_event *event) {
    drop_last_record(world, event->feed);
    tw_standby_apply_message(world->nodes[event->node].standby,
                             tw_elections_steady_clock(world, event->node), event->feed);
    if (event->feed->kind == TW_STANDBY_CHANGE || event->feed->kind == TW_STANDBY_SNAPSHOT)
        request_feed(world, event->node);
}

void tw_elections_send_report(tw_world *world, int from, tw_shards_owner_effect_kind kind,
                              const char *machine, uint64_t epoch) {
    tw_world_event *sent =
        send_to_node(world, from, active_index(world, from), TW_WORLD_ELECTED_LEADER_REPORT);
    if (!sent) return;
    sent->machine = (int)kind;
    sent->epoch = epoch;
    sent->text = strdup(machine);
    if (!sent->text) abort();
}

static void handle_elected_leader_report(tw_world *world, const tw_world_event *report) {
    const tw_world_node *leader = &world->nodes[report->node];
    const char *owner = world->nodes[report->number].name;
    if (!tw_standby_decides(leader->standby, tw_elections_steady_clock(world, report->node)))
        return;
    if (report->machine == TW_SHARDS_OWNER_SYNC)
        tw_shards_send_owner_states(leader->leader, owner);
    else if (report->machine == TW_SHARDS_OWNER_DRAINED)
        tw_shards_report_drained(leader->leader, owner, report->text, report->epoch);
    else
        tw_shards_report_opened(leader->leader, owner, report->text, report->epoch);
}

/* ---- machines ---- */

static tw_standby_machine_status machine_status_of(const tw_world_machine *machine) {
    return (tw_standby_machine_status){.term = machine->guard.term,
                                       .boot_id = machine->guard.boot_id,
                                       .minimum_epoch = machine->guard.minimum_epoch,
                                       .newest_epoch = machine->guard.newest_epoch,
                                       .started = machine->guard.started,
                                       .running = machine->running_count};
}

/* Injected fault `check`: forges the machine's status instead of sending the check order to it. */
static void forge_machine_status(tw_world *world, int node_index, const tw_standby_effect *effect) {
    const int machine_index = tw_world_machine_index(world, effect->machine);
    tw_world_event *answer =
        tw_world_add_event(world, MESSAGE_DELAY_MIN_S, TW_WORLD_ORDER_RESPONSE);
    answer->node = node_index;
    answer->incarnation = world->nodes[node_index].incarnation;
    answer->machine = machine_index;
    answer->term = effect->term;
    answer->machine_status = machine_status_of(&world->machines[machine_index]);
}

static void order_machine(tw_world *world, int node_index, const tw_standby_effect *effect) {
    if (world->plant_check && effect->kind == TW_STANDBY_CHECK) {
        forge_machine_status(world, node_index, effect);
        return;
    }
    tw_world_event *sent = tw_elections_is_cut(world, node_index, TW_WORLD_END_MACHINES)
                               ? NULL
                               : tw_world_send_message(world, TW_WORLD_ORDER);
    if (!sent) return;
    sent->number = node_index;
    sent->incarnation = world->nodes[node_index].incarnation;
    sent->machine = tw_world_machine_index(world, effect->machine);
    sent->flag = effect->kind == TW_STANDBY_START;
    sent->term = effect->term;
    sent->id = effect->boot_id;
    sent->minimum_epoch = effect->minimum_epoch;
    if (sent->machine < 0) sent->machine = 0;
}

static void handle_order(tw_world *world, const tw_world_event *order) {
    tw_world_machine *machine = &world->machines[order->machine];
    tw_shards_guard *guard = &machine->guard;
    if (!machine->alive) return;
    if (world->plant_term) guard->term = 0;
    const tw_shards_guard_verdict verdict =
        order->flag
            ? tw_shards_guard_set_minimum_epoch(guard, order->term, order->id, order->minimum_epoch)
            : tw_shards_guard_check_term(guard, order->term);
    const int accepted = tw_world_accept_order(world, order->machine, order->term, verdict);
    if (order->flag && accepted && order->id != machine->boot_id + 1)
        tw_world_fail(world,
                      "other_life: machine %s accepts a minimum epoch for boot %lu in its boot %lu",
                      machine->name, (unsigned long)order->id, (unsigned long)machine->boot_id + 1);
    if (order->flag && accepted) machine->registered = true;
    tw_world_event *answer = tw_elections_is_cut(world, order->number, TW_WORLD_END_MACHINES)
                                 ? NULL
                                 : tw_world_send_message(world, TW_WORLD_ORDER_RESPONSE);
    if (!answer) return;
    answer->node = order->number;
    answer->incarnation = order->incarnation;
    answer->machine = order->machine;
    answer->term = order->term;
    answer->machine_status = machine_status_of(machine);
}

void tw_elections_register_machine(tw_world *world, const tw_shards_request *request) {
    for (int i = 0; i < world->node_count; i++) {
        const tw_world_node *each = &world->nodes[i];
        if (!each->incarnation || each->hung_until > world->now) continue;
        if (!tw_standby_decides(each->standby, tw_elections_steady_clock(world, i))) continue;
        tw_standby_handle_request(each->standby, tw_elections_steady_clock(world, i), request);
        tw_world_apply_effects(world, i);
        return;
    }
}

/* ---- clients ---- */

/* Sends a client's request to a controller; after a time-out the next controller is tried. */
void tw_elections_send_client_request(tw_world *world, int number) {
    tw_world_client *client = &world->clients[number];
    if (client->answered && (!client->follow || client->verdict != TW_SHARDS_OK || client->done_at))
        return;
    tw_world_add_event(world, CLIENT_PAUSE_S, TW_WORLD_CLIENT_RETRY)->number = number;
    if (client->attempt && !client->attempt_answered &&
        world->now < client->attempted_at + CLIENT_TIMEOUT_S)
        return;
    if (client->attempt && !client->attempt_answered)
        client->server = (client->server + 1) % world->node_count;
    client->attempted_at = world->now;
    client->attempt_answered = false;
    client->attempt++;
    tw_world_event *sent = tw_world_send_message(world, TW_WORLD_CLIENT_REQUEST);
    if (!sent) return;
    sent->node = client->server;
    sent->number = number;
    sent->id = client->attempt * TW_WORLD_MAX_CLIENT_REQUESTS + (uint64_t)number;
}

static void handle_client_request(tw_world *world, const tw_world_event *event) {
    tw_shards_request request = world->clients[event->number].request;
    request.id = event->id;
    tw_standby_handle_request(world->nodes[event->node].standby,
                              tw_elections_steady_clock(world, event->node), &request);
}

/* Directs the client's next attempt to the leader that the controller names, or to the next
 * controller if it names none. */
void tw_elections_redirect_client(tw_world *world, tw_world_client *client) {
    char leader[TW_STANDBY_ADDRESS_SIZE];
    double retry_after_s;
    tw_standby_leader(world->nodes[client->server].standby,
                      tw_elections_steady_clock(world, client->server), leader, &retry_after_s);
    const int leader_index = tw_world_node_index(world, leader);
    client->server = leader_index >= 0 ? leader_index : (client->server + 1) % world->node_count;
}

static void handle_promote(tw_world *world, const tw_world_event *event) {
    tw_standby_promote(world->nodes[event->node].standby,
                       tw_elections_steady_clock(world, event->node), FIRST_MACHINE_ID - 1,
                       event->text);
}

/* ---- effects of the state machines ---- */

static void send_state_call(tw_world *world, int node_index, tw_standby_effect *effect) {
    tw_world_event *call = tw_world_add_event(
        world, tw_world_draw_uniform(world, MESSAGE_DELAY_MIN_S, MESSAGE_DELAY_MAX_S),
        TW_WORLD_STATE_CALL);
    call->node = node_index;
    call->incarnation = world->nodes[node_index].incarnation;
    call->id = effect->id;
    call->method = effect->method;
    call->path = strdup(effect->path);
    if (!call->path) abort();
    call->text = effect->body;
    effect->body = NULL;
}

static void handle_leader_answer(tw_world *world, const tw_shards_effect *answer) {
    if (answer->id == FIRST_MACHINE_ID - 1) {
        world->promotion_verdict = answer->verdict;
        world->promotions++;
    } else if (answer->id < FIRST_MACHINE_ID) {
        tw_world_handle_client_answer(world, answer);
    } else if (answer->verdict == TW_SHARDS_OK) {
        const uint64_t id = answer->id - FIRST_MACHINE_ID;
        tw_world_machine *registered = &world->machines[id % TW_WORLD_MAX_MACHINES];
        if (id / TW_WORLD_MAX_MACHINES == registered->boot_id) registered->accepted = true;
    }
}

void tw_elections_apply_effects(tw_world *world, int node_index) {
    tw_standby_effect *effect;
    while ((effect = tw_standby_next_effect(world->nodes[node_index].standby))) {
        switch (effect->kind) {
        case TW_STANDBY_CALL:
            send_state_call(world, node_index, effect);
            break;
        case TW_STANDBY_CHECK:
        case TW_STANDBY_START:
            order_machine(world, node_index, effect);
            break;
        case TW_STANDBY_NOTIFY:
            tw_world_notify_owner(world, node_index, &effect->table->notification);
            break;
        case TW_STANDBY_ANSWER:
            handle_leader_answer(world, effect->table);
            break;
        case TW_STANDBY_LOG_LINE:
            tw_log_debug("t=%.3f node=%s %s", world->now, world->nodes[node_index].name,
                         effect->line);
            if (strstr(effect->line, "event=decisions_started")) {
                world->decided_after_s = world->now - world->term_at;
                tw_judge_view(world, node_index);
            }
            break;
        }
        tw_standby_effect_free(effect);
    }
}

/* ---- dispatch of events ---- */

void tw_elections_tick(tw_world *world, int node_index) {
    tw_standby_tick(world->nodes[node_index].standby, tw_elections_steady_clock(world, node_index),
                    tw_elections_wall_clock(world, node_index));
    request_feed(world, node_index);
    tw_judge_deciders(world);
}

void tw_elections_handle(tw_world *world, tw_world_event *event) {
    switch (event->kind) {
    case TW_WORLD_FEED_REQUEST:
        handle_follow(world, event);
        break;
    case TW_WORLD_FEED_MESSAGE:
        handle_feed(world, event);
        break;
    case TW_WORLD_ORDER:
        handle_order(world, event);
        break;
    case TW_WORLD_ORDER_RESPONSE:
        tw_standby_handle_machine_status(
            world->nodes[event->node].standby, tw_elections_steady_clock(world, event->node),
            world->machines[event->machine].name, event->term, &event->machine_status);
        break;
    case TW_WORLD_ELECTED_LEADER_REPORT:
        handle_elected_leader_report(world, event);
        break;
    case TW_WORLD_CLIENT_REQUEST:
        handle_client_request(world, event);
        break;
    case TW_WORLD_PROMOTE:
        handle_promote(world, event);
        break;
    default:
        break;
    }
}
