/* The world's nodes, machines and messages. */
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
#define FOLLOW_S 0.1 /* between a client's looks at a move that was accepted */
#define PATH_SIZE 512
#define FIRST_MACHINE_ID ((uint64_t)1 << 40) /* of registrations; clients' are below */
#define AUTHORITY_S 0.5
#define ELECTION_S 0.7 /* the old leader's authority is over by then */

double tw_world_draw(tw_world *world, double from, double to) {
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

tw_world_event *tw_world_message(tw_world *world, tw_world_event_kind kind) {
    double after = tw_world_draw(world, FASTEST_S, SLOWEST_S) + world->slow_s;
    if (tw_world_draw(world, 0, 1) < world->loss) return NULL;
    if (tw_world_draw(world, 0, 1) < world->late_fraction)
        after += tw_world_draw(world, 0, world->late_s);
    return tw_world_add_event(world, after, kind);
}

char *tw_world_copy_text(const char *text) {
    char *copy = strdup(text ? text : "");
    if (!copy) abort();
    return copy;
}

/* ---- effects of a node ---- */

static void call_state(tw_world *world, int at, const tw_shards_effect *effect) {
    tw_world_event *call =
        tw_world_add_event(world, tw_world_draw(world, FASTEST_S, SLOWEST_S), TW_WORLD_STATE);
    char path[PATH_SIZE];
    call->node = at;
    call->incarnation = world->nodes[at].incarnation;
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

void tw_world_take_answer(tw_world *world, const tw_shards_effect *effect) {
    tw_log_debug("t=%.3f answer=%lu verdict=%s moved=%d", world->now, (unsigned long)effect->id,
                 tw_shards_verdict_name(effect->verdict), effect->progress.moved);
    tw_world_client *asked = &world->clients[effect->id % TW_WORLD_MOST_REQUESTS];
    if (effect->id / TW_WORLD_MOST_REQUESTS != asked->attempt) return;
    asked->heard = true;
    if (world->lease_s > 0 && effect->verdict == TW_SHARDS_NOT_LEADER)
        tw_elections_refused(world, asked);
    if (effect->verdict == TW_SHARDS_NOT_LEADER || effect->verdict == TW_SHARDS_OVERLOADED ||
        effect->verdict == TW_SHARDS_QUARANTINED)
        return;
    if (effect->progress.done && !asked->done_at) asked->done_at = world->now;
    if (!asked->answered) asked->verdict = effect->verdict;
    if (asked->answered && asked->verdict != effect->verdict)
        tw_world_fail(world, "%s was told %s, now %s", asked->request.key,
                      tw_shards_verdict_name(asked->verdict),
                      tw_shards_verdict_name(effect->verdict));
    asked->answered = 1;
    asked->progress = effect->progress;
    asked->revision = effect->revision;
}

/* The answer to a machine that registers: it may be opened from now on. */
static void take_registration(tw_world *world, const tw_shards_effect *effect) {
    const uint64_t id = effect->id - FIRST_MACHINE_ID;
    tw_world_machine *registered = &world->machines[id % TW_WORLD_MOST_MACHINES];
    if (effect->verdict != TW_SHARDS_OK || registered->registered) return;
    if (id / TW_WORLD_MOST_MACHINES != registered->boot_id) return; /* to an earlier start of it */
    registered->registered = true;
    tw_shards_guard_set_minimum_epoch(&registered->guard,
                                      world->nodes[world->leading].fencing_token,
                                      registered->guard.boot_id, effect->minimum_epoch);
}

void tw_world_notify_owner(tw_world *world, int from, const tw_shards_notification *notification) {
    for (int i = 0; i < world->node_count; i++) {
        if (strcmp(world->nodes[i].name, notification->owner) != 0) continue;
        if (i != from && tw_elections_is_cut(world, from, i)) return;
        tw_world_event *sent = tw_world_message(world, TW_WORLD_NOTIFY);
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

static void to_machine(tw_world *world, int from, tw_world_event_kind kind,
                       const tw_shards_owner_effect *order) {
    tw_world_event *sent = tw_elections_is_cut(world, from, TW_WORLD_END_MACHINES)
                               ? NULL
                               : tw_world_message(world, kind);
    if (!sent) return;
    sent->node = from;
    sent->incarnation = world->nodes[from].incarnation;
    sent->machine = tw_world_machine_index(world, order->machine);
    sent->epoch = order->epoch;
    sent->term = order->term;
}

static void report(tw_world *world, int from, tw_shards_owner_effect_kind kind, const char *name,
                   uint64_t epoch) {
    if (world->lease_s > 0) {
        tw_elections_report(world, from, kind, name, epoch);
        return;
    }
    tw_world_event *sent = tw_world_message(world, TW_WORLD_REPORT);
    if (!sent) return;
    sent->number = (int)kind;
    sent->machine = from;
    sent->epoch = epoch;
    sent->text = tw_world_copy_text(name);
}

static void owner_effects(tw_world *world, int at) {
    tw_shards_owner_effect *effect;
    while ((effect = tw_shards_owner_next_effect(world->nodes[at].owner))) {
        switch (effect->kind) {
        case TW_SHARDS_OWNER_OPEN:
            tw_judge_use(world, at, tw_world_machine_index(world, effect->machine), effect->epoch);
            to_machine(world, at, TW_WORLD_OPEN, effect);
            break;
        case TW_SHARDS_OWNER_STOP:
            to_machine(world, at, TW_WORLD_STOP, effect);
            break;
        default:
            report(world, at, effect->kind, effect->machine, effect->epoch);
        }
        free(effect);
    }
}

/* Where leaders are named by the scenario, machines need not be asked by them. */
static void decide_at_once(tw_world *world, int at) {
    tw_shards *table = world->nodes[at].leader;
    if (!tw_shards_is_ready(table) || tw_shards_is_deciding(table)) return;
    for (int i = 0; i < tw_shards_machine_count(table); i++)
        tw_shards_confirm_machine(table, world->now, tw_shards_machine_at(table, i).machine);
    tw_shards_allow_decisions(table, world->now);
}

static void table_effects(tw_world *world, int at) {
    tw_shards_effect *effect;
    decide_at_once(world, at);
    while ((effect = tw_shards_next_effect(world->nodes[at].leader))) {
        switch (effect->kind) {
        case TW_SHARDS_READ:
        case TW_SHARDS_WRITE:
            call_state(world, at, effect);
            break;
        case TW_SHARDS_NOTIFY:
            tw_world_notify_owner(world, at, &effect->notification);
            break;
        case TW_SHARDS_ANSWER:
            if (effect->id >= FIRST_MACHINE_ID)
                take_registration(world, effect);
            else
                tw_world_take_answer(world, effect);
            break;
        }
        tw_shards_effect_free(effect);
    }
}

void tw_world_effects(tw_world *world, int at) {
    if (!world->nodes[at].incarnation) return;
    if (world->lease_s > 0)
        tw_elections_effects(world, at);
    else
        table_effects(world, at);
    owner_effects(world, at);
    tw_world_router_effects(world, at);
}

/* ---- life of nodes ---- */

static const tw_router_settings router_settings = {.max_waiting = 1000,
                                                   .max_attempts = 5,
                                                   .retry_ratio = 0.5,
                                                   .retry_burst = 50,
                                                   .average_ratio = 0.2};

void tw_world_start_node(tw_world *world, int at) {
    tw_world_node *started = &world->nodes[at];
    started->leader = tw_shards_new(&world->settings);
    started->owner = tw_shards_owner_new(world->settings.retry_s);
    started->router = tw_router_new(&router_settings);
    started->incarnation = ++world->next_incarnation;
    started->fencing_token = 0;
    started->hung_until = 0;
    if (world->lease_s > 0) tw_elections_start(world, at);
    tw_world_event *tick =
        tw_world_add_event(world, tw_world_draw(world, 0, TICK_S), TW_WORLD_TICK);
    tick->node = at;
    tick->incarnation = started->incarnation;
}

void tw_world_lead_later(tw_world *world, int at) {
    char line[TEXT];
    snprintf(line, sizeof line, "elected %s", world->nodes[at].name);
    world->electing = 1;
    tw_world_add_event(world, ELECTION_S, TW_WORLD_COMMAND)->text = tw_world_copy_text(line);
}

void tw_world_end_node(tw_world *world, int at, double back_after_s) {
    tw_world_node *ended = &world->nodes[at];
    if (!ended->incarnation) return;
    if (ended->standby) tw_elections_end(world, at);
    tw_shards_free(ended->leader);
    tw_shards_owner_free(ended->owner);
    tw_router_free(ended->router);
    ended->router = NULL;
    ended->leader = NULL;
    ended->owner = NULL;
    ended->incarnation = 0;
    if (back_after_s < 0) return;
    if (at == world->leading && world->lease_s <= 0)
        tw_world_lead_later(world, (at + 1) % world->node_count);
    tw_world_event *back = tw_world_add_event(world, back_after_s, TW_WORLD_COMMAND);
    char line[TEXT];
    snprintf(line, sizeof line, "start %s", ended->name);
    back->text = tw_world_copy_text(line);
}

/* The node has won an election: the leader's key has a new revision. The one before isn't told. */
void tw_world_lead(tw_world *world, int at) {
    char *answer;
    char body[TEXT];
    uint64_t token;
    for (int i = 0; i < world->node_count && !world->nodes[at].incarnation; i++) at = i;
    tw_world_node *leader = &world->nodes[at];
    if (!leader->incarnation) {
        tw_world_lead_later(world, at);
        return;
    }
    snprintf(body, sizeof body, "{\"if\":[],\"apply\":[{\"write\":\"leader\",\"data\":\"%s\"}]}",
             leader->name);
    const int status =
        tw_simulator_state_request(&world->state, world->now, "POST", "/txn", body, &answer);
    const bool failed = status != OK || tw_wire_revision_parse(&token, answer, strlen(answer));
    free(answer);
    if (failed) {
        tw_world_lead_later(world, at);
        return;
    }
    world->leading = at;
    if (leader->fencing_token) tw_shards_end_term(leader->leader);
    leader->fencing_token = token;
    world->electing = 0;
    tw_shards_begin_term(leader->leader, world->now, "leader", token);
    tw_shards_set_authority(leader->leader, world->now + AUTHORITY_S);
    tw_world_effects(world, at);
}

/* ---- owners and the leader ---- */

static void handle_report(tw_world *world, const tw_world_event *said) {
    tw_world_node *leader = &world->nodes[world->leading];
    const char *owner = world->nodes[said->machine].name;
    if (!leader->incarnation || leader->hung_until > world->now) return;
    if (said->number == TW_SHARDS_OWNER_SYNC)
        tw_shards_send_owner_states(leader->leader, owner);
    else if (said->number == TW_SHARDS_OWNER_DRAINED)
        tw_shards_report_drained(leader->leader, owner, said->text, said->epoch);
    else
        tw_shards_report_opened(leader->leader, owner, said->text, said->epoch);
    tw_world_effects(world, world->leading);
}

static void handle_client(tw_world *world, const tw_world_event *due) {
    tw_world_client *asks = &world->clients[due->number];
    if (world->lease_s > 0) {
        tw_elections_client(world, due->number);
        return;
    }
    tw_world_node *leader = &world->nodes[world->leading];
    if (asks->answered && (!asks->follow || asks->verdict != TW_SHARDS_OK || asks->done_at)) return;
    const bool due_again =
        asks->answered || !asks->attempt || world->now >= asks->tried_at + CLIENT_RETRY_S;
    if (due_again && leader->incarnation && leader->hung_until <= world->now) {
        asks->tried_at = world->now;
        asks->request.id = ++asks->attempt * TW_WORLD_MOST_REQUESTS + (uint64_t)due->number;
        tw_shards_add_request(leader->leader, world->now, &asks->request);
        tw_world_effects(world, world->leading);
    }
    tw_world_add_event(world, FOLLOW_S, TW_WORLD_CLIENT)->number = due->number;
}

tw_world_client *tw_world_add_client(tw_world *world, const tw_shards_request *request) {
    if (world->client_count == TW_WORLD_MOST_REQUESTS - 1) abort();
    tw_world_client *added = &world->clients[world->client_count++];
    added->request = *request;
    added->asked_at = world->now;
    tw_world_add_event(world, 0, TW_WORLD_CLIENT)->number = world->client_count - 1;
    return added;
}

static void handle_machine(tw_world *world, const tw_world_event *due) {
    tw_world_machine *about = &world->machines[due->machine];
    const tw_world_node *leader = &world->nodes[world->leading];
    tw_shards_request request = {.kind = about->alive ? TW_SHARDS_ADD : TW_SHARDS_REMOVE,
                                 .id = FIRST_MACHINE_ID + about->boot_id * TW_WORLD_MOST_MACHINES +
                                       (uint64_t)due->machine};
    if (due->incarnation != about->boot_id || about->accepted) return;
    if (about->alive && about->registered) return;
    snprintf(request.machine, sizeof request.machine, "%s", about->name);
    snprintf(request.shard, sizeof request.shard, "%s", about->shard);
    snprintf(request.zone, sizeof request.zone, "%s", about->zone);
    if (world->lease_s > 0) {
        tw_elections_machine(world, &request);
    } else if (leader->incarnation && leader->hung_until <= world->now &&
               tw_shards_is_ready(leader->leader)) {
        tw_shards_add_request(leader->leader, world->now, &request);
        tw_world_effects(world, world->leading);
    }
    tw_world_event *again = tw_world_add_event(world, 2 * CLIENT_RETRY_S, TW_WORLD_MACHINE);
    again->machine = due->machine;
    again->incarnation = due->incarnation;
}

/* ---- dispatch ---- */

static void handle_tick(tw_world *world, const tw_world_event *due) {
    tw_world_node *at = &world->nodes[due->node];
    tw_world_event *again = tw_world_add_event(world, TICK_S, TW_WORLD_TICK);
    again->node = due->node;
    again->incarnation = due->incarnation;
    const bool leads =
        at->fencing_token ||
        (at->standby && tw_standby_decides(at->standby, tw_elections_now(world, due->node)));
    for (int i = 0; i < world->machine_count && leads; i++)
        if (world->machines[i].alive)
            tw_shards_set_machine_load(at->leader, world->machines[i].name,
                                       world->machines[i].running_count);
    /* The lease is renewed: the key still stands, and nobody is being elected. */
    if (at->fencing_token && !world->electing && world->state.down_since < 0 &&
        tw_simulator_state_version(&world->state, "leader") == at->fencing_token)
        tw_shards_set_authority(at->leader, world->now + AUTHORITY_S);
    if (at->standby)
        tw_elections_tick(world, due->node);
    else
        tw_shards_tick(at->leader, world->now, world->now);
    tw_shards_owner_tick(at->owner, world->now);
    tw_router_tick(at->router, world->now);
}

/* Whether the event is for a node that has ended, or was started anew since. */
static bool outlived(const tw_world *world, const tw_world_event *event) {
    const uint64_t incarnation = event->node >= 0 ? world->nodes[event->node].incarnation : 0;
    switch (event->kind) {
    case TW_WORLD_TICK:
    case TW_WORLD_ANSWER:
    case TW_WORLD_OPENED:
    case TW_WORLD_FEED:
    case TW_WORLD_ORDERED:
        return incarnation != event->incarnation;
    case TW_WORLD_WORKED:
        return !incarnation || (event->incarnation && incarnation != event->incarnation);
    case TW_WORLD_NOTIFY:
    case TW_WORLD_FOLLOW:
    case TW_WORLD_REPORTED:
    case TW_WORLD_ASKED:
    case TW_WORLD_PROMOTE:
        return !incarnation;
    default:
        return false;
    }
}

static bool is_for_node(const tw_world_event *event) {
    switch (event->kind) {
    case TW_WORLD_TICK:
    case TW_WORLD_ANSWER:
    case TW_WORLD_NOTIFY:
    case TW_WORLD_OPENED:
    case TW_WORLD_WORKED:
    case TW_WORLD_FOLLOW:
    case TW_WORLD_FEED:
    case TW_WORLD_ORDERED:
    case TW_WORLD_REPORTED:
    case TW_WORLD_ASKED:
    case TW_WORLD_PROMOTE:
        return true;
    default:
        return false;
    }
}

/* What comes for a node that stands still waits, in its order. */
static int postponed(tw_world *world, tw_world_event *event) {
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
    event->text = event->path = NULL; /* they belong to the later one */
    event->feed = NULL;
    return 1;
}

void tw_world_handle(tw_world *world, tw_world_event *event) {
    if (outlived(world, event) || postponed(world, event)) return;
    switch (event->kind) {
    case TW_WORLD_COMMAND:
        tw_script_command(world, event->text);
        break;
    case TW_WORLD_TICK:
        handle_tick(world, event);
        break;
    case TW_WORLD_STATE:
        tw_world_handle_state(world, event);
        break;
    case TW_WORLD_ANSWER:
        tw_world_handle_answer(world, event);
        break;
    case TW_WORLD_NOTIFY:
        tw_shards_owner_handle_notification(world->nodes[event->node].owner, world->now,
                                            &event->notification);
        tw_world_refresh_replica(world, event->node, event->notification.machine);
        break;
    case TW_WORLD_REPORT:
        handle_report(world, event);
        break;
    case TW_WORLD_OPEN:
        tw_world_handle_open(world, event);
        break;
    case TW_WORLD_OPENED:
        tw_shards_owner_confirm_open(world->nodes[event->node].owner, event->text, event->epoch);
        break;
    case TW_WORLD_WORK:
        tw_world_handle_work(world, event);
        break;
    case TW_WORLD_WORKED:
        tw_world_handle_worked(world, event);
        break;
    case TW_WORLD_STOP:
        tw_world_handle_stop(world, event);
        break;
    case TW_WORLD_ARRIVAL:
        tw_world_handle_arrival(world, event);
        break;
    case TW_WORLD_REQUEST:
        tw_world_handle_request(world, event);
        break;
    case TW_WORLD_REPLY:
        tw_world_handle_reply(world, event);
        break;
    case TW_WORLD_FINISH:
        tw_world_handle_finish(world, event);
        break;
    case TW_WORLD_CLIENT:
        handle_client(world, event);
        break;
    case TW_WORLD_MACHINE:
        handle_machine(world, event);
        break;
    default:
        tw_elections_handle(world, event);
    }
    if (is_for_node(event)) tw_world_effects(world, event->node);
}
