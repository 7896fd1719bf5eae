/* Controllers that elect their leader: the standby's state machine in the world of tests/shards. A
 * controller's control address is its name. */
#include "shards_world.h"
#include "log/log.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define FIRST_MACHINE_ID ((uint64_t)1 << 40) /* of registrations; clients' are below */
#define TRY_S 1.0                            /* a client gives a controller so long to answer */
#define PAUSE_S 0.1                          /* between a client's tries, and its looks at a move */

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

double tw_elections_now(const tw_world *world, int at) {
    return world->now * world->nodes[at].rate;
}

double tw_elections_wall(const tw_world *world, int at) {
    return tw_elections_now(world, at) + world->nodes[at].wall_step_s;
}

/* ---- life ---- */

void tw_elections_start(tw_world *world, int at) {
    tw_world_node *started = &world->nodes[at];
    if (started->rate <= 0) started->rate = 1;
    const tw_standby_settings settings = {
        .name = started->name, .control = started->name, .lease_s = world->lease_s};
    started->standby = tw_standby_new(&settings, started->leader, tw_elections_now(world, at));
}

void tw_elections_end(tw_world *world, int at) {
    tw_standby_free(world->nodes[at].standby);
    world->nodes[at].standby = NULL;
}

/* ---- messages ---- */

/* To another controller; NULL: it is lost. */
static tw_world_event *to_node(tw_world *world, int from, int to, tw_world_event_kind kind) {
    if (to < 0 || (from != to && tw_elections_is_cut(world, from, to))) return NULL;
    tw_world_event *sent = tw_world_message(world, kind);
    if (!sent) return NULL;
    sent->node = to;
    sent->number = from;
    return sent;
}

static int active_of(const tw_world *world, int at) {
    return tw_world_node_index(world, tw_standby_active_address(world->nodes[at].standby));
}

static void ask_feed(tw_world *world, int at) {
    const int active = active_of(world, at);
    tw_world_event *asked = active == at ? NULL : to_node(world, at, active, TW_WORLD_FOLLOW);
    if (!asked) return;
    asked->id = world->nodes[at].incarnation;
    asked->position = tw_standby_position_of(world->nodes[at].standby);
}

static double processor_s(void) {
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

static void handle_follow(tw_world *world, const tw_world_event *asked) {
    const int from = asked->number;
    const double now = tw_elections_now(world, asked->node);
    tw_standby *active = world->nodes[asked->node].standby;
    tw_standby_update_follower(active, now, world->nodes[from].name, asked->position.term,
                               asked->position.number);
    const double began = processor_s();
    tw_standby_message message = tw_standby_build_message(active, now, &asked->position);
    count_feed(world, &message, processor_s() - began);
    tw_world_event *sent = to_node(world, asked->node, from, TW_WORLD_FEED);
    if (!sent) {
        tw_standby_message_free(&message);
        return;
    }
    sent->incarnation = asked->id;
    sent->feed = malloc(sizeof *sent->feed);
    if (!sent->feed) abort();
    *sent->feed = message;
}

/* A record of the change is missing, though its number is the next one. */
static void spoil(tw_world *world, tw_standby_message *message) {
    if (!world->spoil_changes || message->kind != TW_STANDBY_CHANGE || !message->count) return;
    world->spoil_changes--;
    free(message->entries[--message->count].value);
}

static void handle_feed(tw_world *world, const tw_world_event *came) {
    spoil(world, came->feed);
    tw_standby_apply_message(world->nodes[came->node].standby, tw_elections_now(world, came->node),
                             came->feed);
    if (came->feed->kind == TW_STANDBY_CHANGE || came->feed->kind == TW_STANDBY_SNAPSHOT)
        ask_feed(world, came->node);
}

void tw_elections_report(tw_world *world, int from, tw_shards_owner_effect_kind kind,
                         const char *machine, uint64_t epoch) {
    tw_world_event *sent = to_node(world, from, active_of(world, from), TW_WORLD_REPORTED);
    if (!sent) return;
    sent->machine = (int)kind;
    sent->epoch = epoch;
    sent->text = strdup(machine);
    if (!sent->text) abort();
}

static void handle_reported(tw_world *world, const tw_world_event *said) {
    const tw_world_node *to = &world->nodes[said->node];
    const char *owner = world->nodes[said->number].name;
    if (!tw_standby_decides(to->standby, tw_elections_now(world, said->node))) return;
    if (said->machine == TW_SHARDS_OWNER_SYNC)
        tw_shards_send_owner_states(to->leader, owner);
    else if (said->machine == TW_SHARDS_OWNER_DRAINED)
        tw_shards_report_drained(to->leader, owner, said->text, said->epoch);
    else
        tw_shards_report_opened(to->leader, owner, said->text, said->epoch);
}

/* ---- machines ---- */

static tw_standby_machine_status machine_says(const tw_world_machine *at) {
    return (tw_standby_machine_status){.term = at->guard.term,
                                       .boot_id = at->guard.boot_id,
                                       .minimum_epoch = at->guard.minimum_epoch,
                                       .newest_epoch = at->guard.newest_epoch,
                                       .started = at->guard.started,
                                       .running = at->running_count};
}

/* A planted fault: the controller takes it that the machine has answered, and has not asked it. */
static void skip_check(tw_world *world, int at, const tw_standby_effect *effect) {
    const int asked = tw_world_machine_index(world, effect->machine);
    tw_world_event *answer = tw_world_add_event(world, FASTEST_S, TW_WORLD_ORDERED);
    answer->node = at;
    answer->incarnation = world->nodes[at].incarnation;
    answer->machine = asked;
    answer->term = effect->term;
    answer->said = machine_says(&world->machines[asked]);
}

static void order_machine(tw_world *world, int at, const tw_standby_effect *effect) {
    if (world->plant_check && effect->kind == TW_STANDBY_CHECK) {
        skip_check(world, at, effect);
        return;
    }
    tw_world_event *sent = tw_elections_is_cut(world, at, TW_WORLD_END_MACHINES)
                               ? NULL
                               : tw_world_message(world, TW_WORLD_ORDER);
    if (!sent) return;
    sent->number = at;
    sent->incarnation = world->nodes[at].incarnation;
    sent->machine = tw_world_machine_index(world, effect->machine);
    sent->flag = effect->kind == TW_STANDBY_START;
    sent->term = effect->term;
    sent->id = effect->boot_id;
    sent->minimum_epoch = effect->minimum_epoch;
    if (sent->machine < 0) sent->machine = 0;
}

static void handle_order(tw_world *world, const tw_world_event *order) {
    tw_world_machine *at = &world->machines[order->machine];
    tw_shards_guard *guard = &at->guard;
    if (!at->alive) return;
    if (world->plant_term) guard->term = 0;
    const tw_shards_guard_verdict verdict =
        order->flag
            ? tw_shards_guard_set_minimum_epoch(guard, order->term, order->id, order->minimum_epoch)
            : tw_shards_guard_check_term(guard, order->term);
    const int taken = tw_world_order(world, order->machine, order->term, verdict);
    if (order->flag && taken && order->id != at->boot_id + 1)
        tw_world_fail(world, "other_life: %s takes a floor for life %lu in its life %lu", at->name,
                      (unsigned long)order->id, (unsigned long)at->boot_id + 1);
    if (order->flag && taken) at->registered = true;
    tw_world_event *answer = tw_elections_is_cut(world, order->number, TW_WORLD_END_MACHINES)
                                 ? NULL
                                 : tw_world_message(world, TW_WORLD_ORDERED);
    if (!answer) return;
    answer->node = order->number;
    answer->incarnation = order->incarnation;
    answer->machine = order->machine;
    answer->term = order->term;
    answer->said = machine_says(at);
}

void tw_elections_machine(tw_world *world, const tw_shards_request *request) {
    for (int i = 0; i < world->node_count; i++) {
        const tw_world_node *each = &world->nodes[i];
        if (!each->incarnation || each->hung_until > world->now) continue;
        if (!tw_standby_decides(each->standby, tw_elections_now(world, i))) continue;
        tw_standby_handle_request(each->standby, tw_elections_now(world, i), request);
        tw_world_effects(world, i);
        return;
    }
}

/* ---- clients ---- */

/* Asks one controller after the other, and goes where one of them sends it. */
void tw_elections_client(tw_world *world, int number) {
    tw_world_client *asks = &world->clients[number];
    if (asks->answered && (!asks->follow || asks->verdict != TW_SHARDS_OK || asks->done_at)) return;
    tw_world_add_event(world, PAUSE_S, TW_WORLD_CLIENT)->number = number;
    if (asks->attempt && !asks->heard && world->now < asks->tried_at + TRY_S) return;
    if (asks->attempt && !asks->heard) asks->server = (asks->server + 1) % world->node_count;
    asks->tried_at = world->now;
    asks->heard = false;
    asks->attempt++;
    tw_world_event *sent = tw_world_message(world, TW_WORLD_ASKED);
    if (!sent) return;
    sent->node = asks->server;
    sent->number = number;
    sent->id = asks->attempt * TW_WORLD_MOST_REQUESTS + (uint64_t)number;
}

static void handle_asked(tw_world *world, const tw_world_event *asked) {
    tw_shards_request request = world->clients[asked->number].request;
    request.id = asked->id;
    tw_standby_handle_request(world->nodes[asked->node].standby,
                              tw_elections_now(world, asked->node), &request);
}

/* It goes where it is sent, or to the next one. */
void tw_elections_refused(tw_world *world, tw_world_client *asked) {
    char leader[TW_STANDBY_ADDRESS_SIZE];
    double retry_after_s;
    tw_standby_leader(world->nodes[asked->server].standby, tw_elections_now(world, asked->server),
                      leader, &retry_after_s);
    const int named = tw_world_node_index(world, leader);
    asked->server = named >= 0 ? named : (asked->server + 1) % world->node_count;
}

static void handle_promote(tw_world *world, const tw_world_event *asked) {
    tw_standby_promote(world->nodes[asked->node].standby, tw_elections_now(world, asked->node),
                       FIRST_MACHINE_ID - 1, asked->text);
}

/* ---- effects ---- */

static void call_state(tw_world *world, int at, tw_standby_effect *effect) {
    tw_world_event *call =
        tw_world_add_event(world, tw_world_draw(world, FASTEST_S, SLOWEST_S), TW_WORLD_STATE);
    call->node = at;
    call->incarnation = world->nodes[at].incarnation;
    call->id = effect->id;
    call->method = effect->method;
    call->path = strdup(effect->path);
    if (!call->path) abort();
    call->text = effect->body;
    effect->body = NULL;
}

static void take_answer(tw_world *world, const tw_shards_effect *answer) {
    if (answer->id == FIRST_MACHINE_ID - 1) {
        world->promoted = answer->verdict;
        world->promotions++;
    } else if (answer->id < FIRST_MACHINE_ID) {
        tw_world_take_answer(world, answer);
    } else if (answer->verdict == TW_SHARDS_OK) {
        const uint64_t id = answer->id - FIRST_MACHINE_ID;
        tw_world_machine *registered = &world->machines[id % TW_WORLD_MOST_MACHINES];
        if (id / TW_WORLD_MOST_MACHINES == registered->boot_id) registered->accepted = true;
    }
}

void tw_elections_effects(tw_world *world, int at) {
    tw_standby_effect *effect;
    while ((effect = tw_standby_next_effect(world->nodes[at].standby))) {
        switch (effect->kind) {
        case TW_STANDBY_CALL:
            call_state(world, at, effect);
            break;
        case TW_STANDBY_CHECK:
        case TW_STANDBY_START:
            order_machine(world, at, effect);
            break;
        case TW_STANDBY_NOTIFY:
            tw_world_notify_owner(world, at, &effect->table->notification);
            break;
        case TW_STANDBY_ANSWER:
            take_answer(world, effect->table);
            break;
        case TW_STANDBY_LOG_LINE:
            tw_log_debug("t=%.3f node=%s %s", world->now, world->nodes[at].name, effect->line);
            if (strstr(effect->line, "event=decisions_started")) {
                world->decided_after_s = world->now - world->term_at;
                tw_judge_view(world, at);
            }
            break;
        }
        tw_standby_effect_free(effect);
    }
}

/* ---- events ---- */

void tw_elections_tick(tw_world *world, int at) {
    tw_standby_tick(world->nodes[at].standby, tw_elections_now(world, at),
                    tw_elections_wall(world, at));
    ask_feed(world, at);
    tw_judge_deciders(world);
}

void tw_elections_handle(tw_world *world, tw_world_event *event) {
    switch (event->kind) {
    case TW_WORLD_FOLLOW:
        handle_follow(world, event);
        break;
    case TW_WORLD_FEED:
        handle_feed(world, event);
        break;
    case TW_WORLD_ORDER:
        handle_order(world, event);
        break;
    case TW_WORLD_ORDERED:
        tw_standby_handle_machine_status(
            world->nodes[event->node].standby, tw_elections_now(world, event->node),
            world->machines[event->machine].name, event->term, &event->said);
        break;
    case TW_WORLD_REPORTED:
        handle_reported(world, event);
        break;
    case TW_WORLD_ASKED:
        handle_asked(world, event);
        break;
    case TW_WORLD_PROMOTE:
        handle_promote(world, event);
        break;
    default:
        break;
    }
}
