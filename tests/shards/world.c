/* The event queue, nodes, clients and messages of the simulated world. */
#include "shards_world.h"
#include "log/log.h"
#include "wire/wire.h"
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_S 0.1
#define CLIENT_RETRY_S 1.0
#define MOVE_POLL_S 0.1 /* interval at which a client polls an accepted move */
#define PATH_SIZE 512
#define FIRST_MACHINE_ID                                                                           \
    ((uint64_t)1 << 40) /* ids of registrations start here; ids of client requests are lower */
#define AUTHORITY_S 0.5
#define ELECTION_S                                                                                 \
    0.7 /* longer than AUTHORITY_S, so the previous leader's authority has expired                 \
         */

double tw_world_draw_uniform(tw_world *world, double from, double to) {
    return from + (to - from) * gsl_rng_uniform(world->rng);
}

void tw_world_fail(tw_world *world, const char *format, ...) {
    va_list arguments;
    if (world->failure[0]) return;
    int length = snprintf(world->failure, sizeof world->failure, "t=%.2f ", world->now);
    va_start(arguments, format);
    vsnprintf(world->failure + length, sizeof world->failure - (size_t)length, format, arguments);
    va_end(arguments);
}

tw_world_event *tw_world_add_event(tw_world *world, double after, tw_world_event_kind kind) {
    tw_world_event *added = calloc(1, sizeof *added);
    if (!added) abort();
    added->at = world->now + after;
    added->order = ++world->order;
    added->kind = kind;
    tw_world_event **place = &world->events;
    while (*place && (*place)->at <= added->at) place = &(*place)->next;
    added->next = *place;
    *place = added;
    return added;
}

void tw_world_free_event(tw_world_event *freed) {
    free(freed->text);
    free(freed->path);
    if (freed->feed) tw_standby_message_free(freed->feed);
    free(freed->feed);
    free(freed);
}

tw_world_event *tw_world_send_message(tw_world *world, tw_world_event_kind kind) {
    double after =
        tw_world_draw_uniform(world, MESSAGE_DELAY_MIN_S, MESSAGE_DELAY_MAX_S) + world->slow_s;
    if (tw_world_draw_uniform(world, 0, 1) < world->loss) return NULL;
    if (tw_world_draw_uniform(world, 0, 1) < world->late_fraction)
        after += tw_world_draw_uniform(world, 0, world->late_s);
    return tw_world_add_event(world, after, kind);
}

char *tw_world_copy_text(const char *text) {
    char *copy = strdup(text ? text : "");
    if (!copy) abort();
    return copy;
}

/* ---- effects of a node ---- */

static void send_state_call(tw_world *world, int node_index, const tw_shards_effect *effect) {
    tw_world_event *call = tw_world_add_event(
        world, tw_world_draw_uniform(world, MESSAGE_DELAY_MIN_S, MESSAGE_DELAY_MAX_S),
        TW_WORLD_STATE_CALL);
    char path[PATH_SIZE];
    call->node = node_index;
    call->incarnation = world->nodes[node_index].incarnation;
    call->id = effect->id;
    call->flag = effect->kind == TW_SHARDS_WRITE;
    if (call->flag) {
        call->text = tw_world_copy_text(effect->text);
        return;
    }
    snprintf(path, sizeof path, "/kv?starts=%s%s%s&most=%d", TW_SHARDS_PREFIX,
             effect->text[0] ? "&since=" : "", effect->text, TW_SHARDS_PAGE);
    call->text = tw_world_copy_text(path);
}

void tw_world_handle_client_answer(tw_world *world, const tw_shards_effect *effect) {
    tw_log_debug("t=%.3f answer=%lu verdict=%s moved=%d", world->now, (unsigned long)effect->id,
                 tw_shards_verdict_name(effect->verdict), effect->progress.moved);
    tw_world_client *client = &world->clients[effect->id % TW_WORLD_MAX_CLIENT_REQUESTS];
    if (effect->id / TW_WORLD_MAX_CLIENT_REQUESTS != client->attempt) return;
    client->attempt_answered = true;
    if (world->lease_s > 0 && effect->verdict == TW_SHARDS_NOT_LEADER)
        tw_elections_redirect_client(world, client);
    if (effect->verdict == TW_SHARDS_NOT_LEADER || effect->verdict == TW_SHARDS_OVERLOADED ||
        effect->verdict == TW_SHARDS_QUARANTINED)
        return;
    if (effect->progress.done && !client->done_at) client->done_at = world->now;
    if (!client->answered) client->verdict = effect->verdict;
    if (client->answered && client->verdict != effect->verdict)
        tw_world_fail(world, "request %s was answered %s before, now %s", client->request.key,
                      tw_shards_verdict_name(client->verdict),
                      tw_shards_verdict_name(effect->verdict));
    client->answered = 1;
    client->progress = effect->progress;
    client->revision = effect->revision;
}

/* Handles the answer to a registration, after which owners may open the machine. */
static void handle_registration_answer(tw_world *world, const tw_shards_effect *effect) {
    const uint64_t id = effect->id - FIRST_MACHINE_ID;
    tw_world_machine *registered = &world->machines[id % TW_WORLD_MAX_MACHINES];
    if (effect->verdict != TW_SHARDS_OK || registered->registered) return;
    if (id / TW_WORLD_MAX_MACHINES != registered->boot_id)
        return; /* the answer is for an earlier start */
    registered->registered = true;
    tw_shards_guard_set_minimum_epoch(&registered->guard,
                                      world->nodes[world->leader_index].fencing_token,
                                      registered->guard.boot_id, effect->minimum_epoch);
}

void tw_world_notify_owner(tw_world *world, int from, const tw_shards_notification *notification) {
    for (int i = 0; i < world->node_count; i++) {
        if (strcmp(world->nodes[i].name, notification->owner) != 0) continue;
        if (i != from && tw_elections_is_cut(world, from, i)) return;
        tw_world_event *sent = tw_world_send_message(world, TW_WORLD_NOTIFY);
        if (!sent) return;
        sent->node = i;
        sent->notification = *notification;
    }
}

int tw_world_machine_index(const tw_world *world, const char *name) {
    for (int i = 0; i < world->machine_count; i++)
        if (!strcmp(world->machines[i].name, name)) return i;
    return -1;
}

int tw_world_node_index(const tw_world *world, const char *name) {
    for (int i = 0; i < world->node_count; i++)
        if (!strcmp(world->nodes[i].name, name)) return i;
    return -1;
}

static void send_machine_order(tw_world *world, int from, tw_world_event_kind kind,
                               const tw_shards_owner_effect *order) {
    tw_world_event *sent = tw_elections_is_cut(world, from, TW_WORLD_END_MACHINES)
                               ? NULL
                               : tw_world_send_message(world, kind);
    if (!sent) return;
    sent->node = from;
    sent->incarnation = world->nodes[from].incarnation;
    sent->machine = tw_world_machine_index(world, order->machine);
    sent->epoch = order->epoch;
    sent->term = order->term;
}

static void report_to_leader(tw_world *world, int from, tw_shards_owner_effect_kind kind,
                             const char *name, uint64_t epoch) {
    if (world->lease_s > 0) {
        tw_elections_send_report(world, from, kind, name, epoch);
        return;
    }
    tw_world_event *sent = tw_world_send_message(world, TW_WORLD_OWNER_REPORT);
    if (!sent) return;
    sent->number = (int)kind;
    sent->machine = from;
    sent->epoch = epoch;
    sent->text = tw_world_copy_text(name);
}

static void apply_owner_effects(tw_world *world, int node_index) {
    tw_shards_owner_effect *effect;
    while ((effect = tw_shards_owner_next_effect(world->nodes[node_index].owner))) {
        switch (effect->kind) {
        case TW_SHARDS_OWNER_OPEN:
            tw_judge_epoch_use(world, node_index, tw_world_machine_index(world, effect->machine),
                               effect->epoch);
            send_machine_order(world, node_index, TW_WORLD_OPEN, effect);
            break;
        case TW_SHARDS_OWNER_STOP:
            send_machine_order(world, node_index, TW_WORLD_STOP, effect);
            break;
        default:
            report_to_leader(world, node_index, effect->kind, effect->machine, effect->epoch);
        }
        free(effect);
    }
}

/* Lets a leader that the scenario names decide without checking the machines. */
static void confirm_all_machines(tw_world *world, int node_index) {
    tw_shards *leader = world->nodes[node_index].leader;
    if (!tw_shards_is_ready(leader) || tw_shards_is_deciding(leader)) return;
    for (int i = 0; i < tw_shards_machine_count(leader); i++)
        tw_shards_confirm_machine(leader, world->now, tw_shards_machine_at(leader, i).machine);
    tw_shards_allow_decisions(leader, world->now);
}

static void apply_leader_effects(tw_world *world, int node_index) {
    tw_shards_effect *effect;
    confirm_all_machines(world, node_index);
    while ((effect = tw_shards_next_effect(world->nodes[node_index].leader))) {
        switch (effect->kind) {
        case TW_SHARDS_READ:
        case TW_SHARDS_WRITE:
            send_state_call(world, node_index, effect);
            break;
        case TW_SHARDS_NOTIFY:
            tw_world_notify_owner(world, node_index, &effect->notification);
            break;
        case TW_SHARDS_ANSWER:
            if (effect->id >= FIRST_MACHINE_ID)
                handle_registration_answer(world, effect);
            else
                tw_world_handle_client_answer(world, effect);
            break;
        }
        tw_shards_effect_free(effect);
    }
}

void tw_world_apply_effects(tw_world *world, int node_index) {
    if (!world->nodes[node_index].incarnation) return;
    if (world->lease_s > 0)
        tw_elections_apply_effects(world, node_index);
    else
        apply_leader_effects(world, node_index);
    apply_owner_effects(world, node_index);
    tw_world_apply_router_effects(world, node_index);
}

/* ---- start and end of nodes, elections ---- */

static const tw_router_settings router_settings = {.max_waiting = 1000,
                                                   .max_attempts = 5,
                                                   .retry_ratio = 0.5,
                                                   .retry_burst = 50,
                                                   .average_ratio = 0.2};

void tw_world_start_node(tw_world *world, int node_index) {
    tw_world_node *started = &world->nodes[node_index];
    started->leader = tw_shards_new(&world->settings);
    started->owner = tw_shards_owner_new(world->settings.retry_s);
    started->router = tw_router_new(&router_settings);
    started->incarnation = ++world->next_incarnation;
    started->fencing_token = 0;
    started->hung_until = 0;
    if (world->lease_s > 0) tw_elections_start_node(world, node_index);
    tw_world_event *tick =
        tw_world_add_event(world, tw_world_draw_uniform(world, 0, TICK_S), TW_WORLD_TICK);
    tick->node = node_index;
    tick->incarnation = started->incarnation;
}

void tw_world_schedule_election(tw_world *world, int node_index) {
    char line[TEXT_SIZE];
    snprintf(line, sizeof line, "elected %s", world->nodes[node_index].name);
    world->election_pending = 1;
    tw_world_add_event(world, ELECTION_S, TW_WORLD_COMMAND)->text = tw_world_copy_text(line);
}

void tw_world_end_node(tw_world *world, int node_index, double back_after_s) {
    tw_world_node *ended = &world->nodes[node_index];
    if (!ended->incarnation) return;
    if (ended->standby) tw_elections_end_node(world, node_index);
    tw_shards_free(ended->leader);
    tw_shards_owner_free(ended->owner);
    tw_router_free(ended->router);
    ended->router = NULL;
    ended->leader = NULL;
    ended->owner = NULL;
    ended->incarnation = 0;
    if (back_after_s < 0) return;
    if (node_index == world->leader_index && world->lease_s <= 0)
        tw_world_schedule_election(world, (node_index + 1) % world->node_count);
    tw_world_event *back = tw_world_add_event(world, back_after_s, TW_WORLD_COMMAND);
    char line[TEXT_SIZE];
    snprintf(line, sizeof line, "start %s", ended->name);
    back->text = tw_world_copy_text(line);
}

/* Begins the node's term by writing the leader key, which gives it a new revision. The previous
 * leader is not notified. If the node is not running, another running node leads. */
void tw_world_elect_leader(tw_world *world, int node_index) {
    char *answer;
    char body[TEXT_SIZE];
    uint64_t token;
    for (int i = 0; i < world->node_count && !world->nodes[node_index].incarnation; i++)
        node_index = i;
    tw_world_node *leader = &world->nodes[node_index];
    if (!leader->incarnation) {
        tw_world_schedule_election(world, node_index);
        return;
    }
    snprintf(body, sizeof body, "{\"if\":[],\"apply\":[{\"write\":\"leader\",\"data\":\"%s\"}]}",
             leader->name);
    const int status =
        tw_simulator_state_request(&world->state, world->now, "POST", "/txn", body, &answer);
    const bool failed = status != HTTP_OK || tw_wire_revision_parse(&token, answer, strlen(answer));
    free(answer);
    if (failed) {
        tw_world_schedule_election(world, node_index);
        return;
    }
    world->leader_index = node_index;
    if (leader->fencing_token) tw_shards_end_term(leader->leader);
    leader->fencing_token = token;
    world->election_pending = 0;
    tw_shards_begin_term(leader->leader, world->now, "leader", token);
    tw_shards_set_authority(leader->leader, world->now + AUTHORITY_S);
    tw_world_apply_effects(world, node_index);
}

/* ---- owners and the leader ---- */

static void handle_report(tw_world *world, const tw_world_event *report) {
    tw_world_node *leader = &world->nodes[world->leader_index];
    const char *owner = world->nodes[report->machine].name;
    if (!leader->incarnation || leader->hung_until > world->now) return;
    if (report->number == TW_SHARDS_OWNER_SYNC)
        tw_shards_send_owner_states(leader->leader, owner);
    else if (report->number == TW_SHARDS_OWNER_DRAINED)
        tw_shards_report_drained(leader->leader, owner, report->text, report->epoch);
    else
        tw_shards_report_opened(leader->leader, owner, report->text, report->epoch);
    tw_world_apply_effects(world, world->leader_index);
}

static void handle_client(tw_world *world, const tw_world_event *due) {
    tw_world_client *client = &world->clients[due->number];
    if (world->lease_s > 0) {
        tw_elections_send_client_request(world, due->number);
        return;
    }
    tw_world_node *leader = &world->nodes[world->leader_index];
    if (client->answered && (!client->follow || client->verdict != TW_SHARDS_OK || client->done_at))
        return;
    const bool due_again =
        client->answered || !client->attempt || world->now >= client->attempted_at + CLIENT_RETRY_S;
    if (due_again && leader->incarnation && leader->hung_until <= world->now) {
        client->attempted_at = world->now;
        client->request.id =
            ++client->attempt * TW_WORLD_MAX_CLIENT_REQUESTS + (uint64_t)due->number;
        tw_shards_add_request(leader->leader, world->now, &client->request);
        tw_world_apply_effects(world, world->leader_index);
    }
    tw_world_add_event(world, MOVE_POLL_S, TW_WORLD_CLIENT_RETRY)->number = due->number;
}

tw_world_client *tw_world_add_client(tw_world *world, const tw_shards_request *request) {
    if (world->client_count == TW_WORLD_MAX_CLIENT_REQUESTS - 1) abort();
    tw_world_client *added = &world->clients[world->client_count++];
    added->request = *request;
    added->requested_at = world->now;
    tw_world_add_event(world, 0, TW_WORLD_CLIENT_RETRY)->number = world->client_count - 1;
    return added;
}

static void handle_machine(tw_world *world, const tw_world_event *due) {
    tw_world_machine *machine = &world->machines[due->machine];
    const tw_world_node *leader = &world->nodes[world->leader_index];
    tw_shards_request request = {.kind = machine->alive ? TW_SHARDS_ADD : TW_SHARDS_REMOVE,
                                 .id = FIRST_MACHINE_ID + machine->boot_id * TW_WORLD_MAX_MACHINES +
                                       (uint64_t)due->machine};
    if (due->incarnation != machine->boot_id || machine->accepted) return;
    if (machine->alive && machine->registered) return;
    snprintf(request.machine, sizeof request.machine, "%s", machine->name);
    snprintf(request.shard, sizeof request.shard, "%s", machine->shard);
    snprintf(request.zone, sizeof request.zone, "%s", machine->zone);
    if (world->lease_s > 0) {
        tw_elections_register_machine(world, &request);
    } else if (leader->incarnation && leader->hung_until <= world->now &&
               tw_shards_is_ready(leader->leader)) {
        tw_shards_add_request(leader->leader, world->now, &request);
        tw_world_apply_effects(world, world->leader_index);
    }
    tw_world_event *again =
        tw_world_add_event(world, 2 * CLIENT_RETRY_S, TW_WORLD_MACHINE_REGISTRATION);
    again->machine = due->machine;
    again->incarnation = due->incarnation;
}

/* ---- dispatch ---- */

static void handle_tick(tw_world *world, const tw_world_event *due) {
    tw_world_node *node = &world->nodes[due->node];
    tw_world_event *again = tw_world_add_event(world, TICK_S, TW_WORLD_TICK);
    again->node = due->node;
    again->incarnation = due->incarnation;
    const bool leads =
        node->fencing_token ||
        (node->standby &&
         tw_standby_decides(node->standby, tw_elections_steady_clock(world, due->node)));
    for (int i = 0; i < world->machine_count && leads; i++)
        if (world->machines[i].alive)
            tw_shards_set_machine_load(node->leader, world->machines[i].name,
                                       world->machines[i].running_count);
    /* The lease is renewed if the leader key is unchanged and no election is pending. */
    if (node->fencing_token && !world->election_pending && world->state.down_since < 0 &&
        tw_simulator_state_version(&world->state, "leader") == node->fencing_token)
        tw_shards_set_authority(node->leader, world->now + AUTHORITY_S);
    if (node->standby)
        tw_elections_tick(world, due->node);
    else
        tw_shards_tick(node->leader, world->now, world->now);
    tw_shards_owner_tick(node->owner, world->now);
    tw_router_tick(node->router, world->now);
}

/* Returns true if the event is for a node that has ended, or has been restarted since. */
static bool is_for_ended_node(const tw_world *world, const tw_world_event *event) {
    const uint64_t incarnation = event->node >= 0 ? world->nodes[event->node].incarnation : 0;
    switch (event->kind) {
    case TW_WORLD_TICK:
    case TW_WORLD_STATE_RESPONSE:
    case TW_WORLD_OPEN_CONFIRMED:
    case TW_WORLD_FEED_MESSAGE:
    case TW_WORLD_ORDER_RESPONSE:
        return incarnation != event->incarnation;
    case TW_WORLD_DISPATCH_RESULT:
        return !incarnation || (event->incarnation && incarnation != event->incarnation);
    case TW_WORLD_NOTIFY:
    case TW_WORLD_FEED_REQUEST:
    case TW_WORLD_ELECTED_LEADER_REPORT:
    case TW_WORLD_CLIENT_REQUEST:
    case TW_WORLD_PROMOTE:
        return !incarnation;
    default:
        return false;
    }
}

static bool is_for_node(const tw_world_event *event) {
    switch (event->kind) {
    case TW_WORLD_TICK:
    case TW_WORLD_STATE_RESPONSE:
    case TW_WORLD_NOTIFY:
    case TW_WORLD_OPEN_CONFIRMED:
    case TW_WORLD_DISPATCH_RESULT:
    case TW_WORLD_FEED_REQUEST:
    case TW_WORLD_FEED_MESSAGE:
    case TW_WORLD_ORDER_RESPONSE:
    case TW_WORLD_ELECTED_LEADER_REPORT:
    case TW_WORLD_CLIENT_REQUEST:
    case TW_WORLD_PROMOTE:
        return true;
    default:
        return false;
    }
}

/* Reschedules an event for a hung node to the end of the hang, in the original order. Returns 1 if
 * the event was rescheduled, else 0. */
static int postpone_if_hung(tw_world *world, tw_world_event *event) {
    const double until = is_for_node(event) ? world->nodes[event->node].hung_until : 0;
    if (until <= world->now) return 0;
    struct tw_world_event *later = tw_world_add_event(world, until - world->now, event->kind);
    struct tw_world_event *next = later->next;
    const uint64_t order = later->order;
    const double at = later->at;
    *later = *event;
    later->next = next;
    later->order = order;
    later->at = at;
    event->text = event->path = NULL; /* owned by the rescheduled event */
    event->feed = NULL;
    return 1;
}

void tw_world_handle(tw_world *world, tw_world_event *event) {
    if (is_for_ended_node(world, event) || postpone_if_hung(world, event)) return;
    switch (event->kind) {
    case TW_WORLD_COMMAND:
        tw_script_command(world, event->text);
        break;
    case TW_WORLD_TICK:
        handle_tick(world, event);
        break;
    case TW_WORLD_STATE_CALL:
        tw_world_handle_state_call(world, event);
        break;
    case TW_WORLD_STATE_RESPONSE:
        tw_world_handle_state_response(world, event);
        break;
    case TW_WORLD_NOTIFY:
        tw_shards_owner_handle_notification(world->nodes[event->node].owner, world->now,
                                            &event->notification);
        tw_world_refresh_replica(world, event->node, event->notification.machine);
        break;
    case TW_WORLD_OWNER_REPORT:
        handle_report(world, event);
        break;
    case TW_WORLD_OPEN:
        tw_world_handle_open(world, event);
        break;
    case TW_WORLD_OPEN_CONFIRMED:
        tw_shards_owner_confirm_open(world->nodes[event->node].owner, event->text, event->epoch);
        break;
    case TW_WORLD_DISPATCH:
        tw_world_handle_dispatch(world, event);
        break;
    case TW_WORLD_DISPATCH_RESULT:
        tw_world_handle_dispatch_result(world, event);
        break;
    case TW_WORLD_STOP:
        tw_world_handle_stop(world, event);
        break;
    case TW_WORLD_LOAD_ARRIVAL:
        tw_world_handle_arrival(world, event);
        break;
    case TW_WORLD_USER_REQUEST:
        tw_world_handle_user_request(world, event);
        break;
    case TW_WORLD_USER_RESPONSE:
        tw_world_handle_user_response(world, event);
        break;
    case TW_WORLD_REQUEST_FINISH:
        tw_world_handle_finish(world, event);
        break;
    case TW_WORLD_CLIENT_RETRY:
        handle_client(world, event);
        break;
    case TW_WORLD_MACHINE_REGISTRATION:
        handle_machine(world, event);
        break;
    default:
        tw_elections_handle(world, event);
    }
    if (is_for_node(event)) tw_world_apply_effects(world, event->node);
}
