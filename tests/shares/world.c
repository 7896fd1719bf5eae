/* The world's nodes, machines and messages. */
#include "shares_world.h"
#include "log/log.h"
#include "wire/wire.h"
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_S 0.1
#define FASTEST_S 0.001
#define SLOWEST_S 0.02
#define CLIENT_RETRY_S 1.0
#define FOLLOW_S 0.1 /* between a client's looks at a move that was accepted */
#define OK 200
#define SLOTS 8 /* requests that a machine runs at once */
#define FIRST_SERVICE_S 0.5
#define USER_LOOKS_S 0.25
#define CONFLICT 409
#define BAD 400
#define PATH_SIZE 512
#define CALLS_IN_LEASE 3.0 /* a call that is not answered lasts so much of the lease */
#define FIRST_MACHINE_ID ((uint64_t)1 << 40) /* of registrations; clients' are below */
#define AUTHORITY_S 0.5
#define ELECTION_S 0.7 /* the old leader's authority is over by then */

double tw_world_draw(world *world, double from, double to) {
    return from + (to - from) * gsl_rng_uniform(world->rng);
}

void tw_world_fail(world *world, const char *format, ...) {
    va_list arguments;
    if (world->failure[0]) return;
    int length = snprintf(world->failure, sizeof world->failure, "t=%.2f ", world->now);
    va_start(arguments, format);
    vsnprintf(world->failure + length, sizeof world->failure - (size_t)length, format, arguments);
    va_end(arguments);
}

event *tw_world_event(world *world, double after, event_kind kind) {
    event *added = calloc(1, sizeof *added);
    if (!added) abort();
    added->at = world->now + after;
    added->order = ++world->order;
    added->kind = kind;
    event **place = &world->events;
    while (*place && (*place)->at <= added->at) place = &(*place)->next;
    added->next = *place;
    *place = added;
    return added;
}

void tw_world_free_event(event *freed) {
    free(freed->text);
    free(freed->path);
    if (freed->feed) tw_standby_message_free(freed->feed);
    free(freed->feed);
    free(freed);
}

event *tw_world_message(world *world, event_kind kind) {
    double after = tw_world_draw(world, FASTEST_S, SLOWEST_S) + world->slow_s;
    if (tw_world_draw(world, 0, 1) < world->loss) return NULL;
    if (tw_world_draw(world, 0, 1) < world->late_share)
        after += tw_world_draw(world, 0, world->late_s);
    return tw_world_event(world, after, kind);
}

static char *text_of(const char *text) {
    char *copy = strdup(text ? text : "");
    if (!copy) abort();
    return copy;
}

/* ---- effects of a node ---- */

static void call_state(world *world, int at, const tw_shares_effect *effect) {
    event *call = tw_world_event(world, tw_world_draw(world, FASTEST_S, SLOWEST_S), EVENT_STATE);
    char path[PATH_SIZE];
    call->node = at;
    call->life = world->nodes[at].life;
    call->id = effect->id;
    call->flag = effect->kind == TW_SHARES_WRITE;
    if (call->flag) {
        call->text = text_of(effect->text);
        return;
    }
    snprintf(path, sizeof path, "/kv?starts=%s%s%s&most=%d", TW_SHARES_PREFIX,
             effect->text[0] ? "&since=" : "", effect->text, TW_SHARES_PAGE);
    call->text = text_of(path);
}

void tw_world_take_answer(world *world, const tw_shares_effect *effect) {
    tw_log_debug("t=%.3f answer=%lu verdict=%s moved=%d", world->now, (unsigned long)effect->id,
                 tw_shares_verdict_name(effect->verdict), effect->progress.moved);
    client *asked = &world->clients[effect->id % MOST_REQUESTS];
    if (effect->id / MOST_REQUESTS != asked->attempt) return;
    asked->heard = 1;
    if (world->lease_s > 0 && effect->verdict == TW_SHARES_NOT_LEADER)
        tw_elections_refused(world, asked);
    if (effect->verdict == TW_SHARES_NOT_LEADER || effect->verdict == TW_SHARES_OVERLOADED ||
        effect->verdict == TW_SHARES_HELD_BACK)
        return;
    if (effect->progress.done && !asked->done_at) asked->done_at = world->now;
    if (!asked->answered) asked->verdict = effect->verdict;
    if (asked->answered && asked->verdict != effect->verdict)
        tw_world_fail(world, "%s was told %s, now %s", asked->request.key,
                      tw_shares_verdict_name(asked->verdict),
                      tw_shares_verdict_name(effect->verdict));
    asked->answered = 1;
    asked->progress = effect->progress;
    asked->revision = effect->revision;
}

/* The answer to a machine that registers: it may be opened from now on. */
static void take_registration(world *world, const tw_shares_effect *effect) {
    const uint64_t id = effect->id - FIRST_MACHINE_ID;
    machine *registered = &world->machines[id % MOST_MACHINES];
    if (effect->verdict != TW_SHARES_OK || registered->registered) return;
    if (id / MOST_MACHINES != registered->boot) return; /* to an earlier start of it */
    registered->registered = 1;
    tw_shares_guard_start(&registered->guard, world->nodes[world->leading].token,
                          registered->guard.life, effect->floor);
}

void tw_world_tell_owner(world *world, int from, const tw_shares_tell *tell) {
    for (int i = 0; i < world->nnodes; i++) {
        if (strcmp(world->nodes[i].name, tell->owner) != 0) continue;
        if (i != from && tw_elections_is_cut(world, from, i)) return;
        event *sent = tw_world_message(world, EVENT_TELL);
        if (!sent) return;
        sent->node = i;
        sent->tell = *tell;
    }
}

int tw_world_machine_index(const world *world, const char *name) {
    for (int i = 0; i < world->nmachines; i++)
        if (!strcmp(world->machines[i].name, name)) return i;
    return -1;
}

int tw_world_node_index(const world *world, const char *name) {
    for (int i = 0; i < world->nnodes; i++)
        if (!strcmp(world->nodes[i].name, name)) return i;
    return -1;
}

static void to_machine(world *world, int from, event_kind kind,
                       const tw_shares_owner_effect *order) {
    event *sent =
        tw_elections_is_cut(world, from, END_MACHINES) ? NULL : tw_world_message(world, kind);
    if (!sent) return;
    sent->node = from;
    sent->life = world->nodes[from].life;
    sent->machine = tw_world_machine_index(world, order->machine);
    sent->epoch = order->epoch;
    sent->term = order->term;
}

static void report(world *world, int from, tw_shares_owner_effect_kind kind, const char *name,
                   uint64_t epoch) {
    if (world->lease_s > 0) {
        tw_elections_report(world, from, kind, name, epoch);
        return;
    }
    event *sent = tw_world_message(world, EVENT_REPORT);
    if (!sent) return;
    sent->number = (int)kind;
    sent->machine = from;
    sent->epoch = epoch;
    sent->text = text_of(name);
}

static void owner_effects(world *world, int at) {
    tw_shares_owner_effect *effect;
    while ((effect = tw_shares_owner_next(world->nodes[at].owner))) {
        switch (effect->kind) {
        case TW_SHARES_OWNER_OPEN:
            tw_judge_use(world, at, tw_world_machine_index(world, effect->machine), effect->epoch);
            to_machine(world, at, EVENT_OPEN, effect);
            break;
        case TW_SHARES_OWNER_STOP:
            to_machine(world, at, EVENT_STOP, effect);
            break;
        default:
            report(world, at, effect->kind, effect->machine, effect->epoch);
        }
        free(effect);
    }
}

static void route_effects(world *world, int at);

/* Where leaders are named by the scenario, machines need not be asked by them. */
static void decide_at_once(world *world, int at) {
    tw_shares *table = world->nodes[at].leader;
    if (!tw_shares_ready(table) || tw_shares_deciding(table)) return;
    for (int i = 0; i < tw_shares_machines(table); i++)
        tw_shares_checked(table, world->now, tw_shares_machine(table, i).machine);
    tw_shares_decide(table, world->now);
}

static void table_effects(world *world, int at) {
    tw_shares_effect *effect;
    decide_at_once(world, at);
    while ((effect = tw_shares_next(world->nodes[at].leader))) {
        switch (effect->kind) {
        case TW_SHARES_READ:
        case TW_SHARES_WRITE:
            call_state(world, at, effect);
            break;
        case TW_SHARES_TELL:
            tw_world_tell_owner(world, at, &effect->tell);
            break;
        case TW_SHARES_ANSWER:
            if (effect->id >= FIRST_MACHINE_ID)
                take_registration(world, effect);
            else
                tw_world_take_answer(world, effect);
            break;
        }
        tw_shares_effect_free(effect);
    }
}

void tw_world_effects(world *world, int at) {
    if (!world->nodes[at].life) return;
    if (world->lease_s > 0)
        tw_elections_effects(world, at);
    else
        table_effects(world, at);
    owner_effects(world, at);
    route_effects(world, at);
}

/* ---- life of nodes ---- */

static const tw_route_settings route_settings = {.most_waiting = 1000,
                                                 .most_attempts = 5,
                                                 .retry_ratio = 0.5,
                                                 .retry_burst = 50,
                                                 .average_ratio = 0.2};

void tw_world_start_node(world *world, int at) {
    node *started = &world->nodes[at];
    started->leader = tw_shares_new(&world->settings);
    started->owner = tw_shares_owner_new(world->settings.retry_s);
    started->route = tw_route_new(&route_settings);
    started->life = ++world->next_life;
    started->token = 0;
    started->hung_until = 0;
    if (world->lease_s > 0) tw_elections_start(world, at);
    event *tick = tw_world_event(world, tw_world_draw(world, 0, TICK_S), EVENT_TICK);
    tick->node = at;
    tick->life = started->life;
}

void tw_world_lead_later(world *world, int at) {
    char line[TEXT];
    snprintf(line, sizeof line, "elected %s", world->nodes[at].name);
    world->electing = 1;
    tw_world_event(world, ELECTION_S, EVENT_COMMAND)->text = text_of(line);
}

void tw_world_end_node(world *world, int at, double back_after_s) {
    node *ended = &world->nodes[at];
    if (!ended->life) return;
    if (ended->standby) tw_elections_end(world, at);
    tw_shares_free(ended->leader);
    tw_shares_owner_free(ended->owner);
    tw_route_free(ended->route);
    ended->route = NULL;
    ended->leader = NULL;
    ended->owner = NULL;
    ended->life = 0;
    if (back_after_s < 0) return;
    if (at == world->leading && world->lease_s <= 0)
        tw_world_lead_later(world, (at + 1) % world->nnodes);
    event *back = tw_world_event(world, back_after_s, EVENT_COMMAND);
    char line[TEXT];
    snprintf(line, sizeof line, "start %s", ended->name);
    back->text = text_of(line);
}

/* The node has won an election: the leader's key has a new revision. The one before isn't told. */
void tw_world_lead(world *world, int at) {
    char *answer;
    char body[TEXT];
    uint64_t token;
    for (int i = 0; i < world->nnodes && !world->nodes[at].life; i++) at = i;
    node *leader = &world->nodes[at];
    if (!leader->life) {
        tw_world_lead_later(world, at);
        return;
    }
    snprintf(body, sizeof body, "{\"if\":[],\"apply\":[{\"write\":\"leader\",\"data\":\"%s\"}]}",
             leader->name);
    const int status =
        tw_sim_state_request(&world->state, world->now, "POST", "/txn", body, &answer);
    const int failed = status != OK || tw_wire_ledger_parse(&token, answer, strlen(answer));
    free(answer);
    if (failed) {
        tw_world_lead_later(world, at);
        return;
    }
    world->leading = at;
    if (leader->token) tw_shares_resign(leader->leader);
    leader->token = token;
    world->electing = 0;
    tw_shares_lead(leader->leader, world->now, "leader", token);
    tw_shares_authority(leader->leader, world->now + AUTHORITY_S);
    tw_world_effects(world, at);
}

/* ---- the state service ---- */

static void strike(world *world, const char *body) {
    for (int i = 0; i < world->ntriggers; i++) {
        trigger *set = &world->triggers[i];
        if (set->used || world->now < set->from || !strstr(body, set->text)) continue;
        set->used = 1;
        tw_script_command(world, set->command);
    }
}

static int struck(int *left, const world *world, const char *body) {
    if (!*left || !strstr(body, world->strike_text)) return 0;
    --*left;
    return 1;
}

static void answer_call(world *world, const event *call, int status, char *text) {
    double after = tw_world_draw(world, FASTEST_S, SLOWEST_S);
    const int cut = world->lease_s > 0 && tw_elections_is_cut(world, call->node, END_STATE);
    if (cut || (!status && world->lease_s > 0)) {
        after = world->lease_s / CALLS_IN_LEASE;
        status = 0;
        free(text);
        text = NULL;
    }
    event *answer = tw_world_event(world, after, EVENT_ANSWER);
    answer->node = call->node;
    answer->life = call->life;
    answer->id = call->id;
    answer->flag = call->flag;
    answer->status = status;
    answer->text = text;
}

static void put_late(world *world, const event *call) {
    event *late = tw_world_event(world, world->late_write_s, EVENT_STATE);
    late->node = call->node;
    late->flag = 1;
    late->number = 1; /* nobody waits for the answer */
    late->text = text_of(call->text);
    if (call->path) late->path = text_of(call->path);
}

static void handle_transaction(world *world, const event *call) {
    char *answer = NULL;
    if (!call->number && struck(&world->drop_writes, world, call->text)) {
        answer_call(world, call, 0, NULL);
        return;
    }
    if (!call->number && struck(&world->late_writes, world, call->text)) {
        put_late(world, call);
        answer_call(world, call, 0, NULL);
        return;
    }
    const int lost = !call->number && struck(&world->lose_answers, world, call->text);
    const int status =
        tw_sim_state_request(&world->state, world->now, "POST", "/txn", call->text, &answer);
    tw_log_debug("t=%.3f node=%s status=%d txn=%.600s", world->now, world->nodes[call->node].name,
                 status, call->text);
    /* A leader's key that comes late is refused with its lease, which is over by then. */
    const int of_lease = strstr(call->text, "\"write\":\"" TW_STANDBY_KEY "\"") != NULL;
    if (status == BAD && !of_lease)
        tw_world_fail(world, "the state service refuses: %.150s", call->text);
    if (status == OK) {
        world->transactions++;
        world->last_change_s = world->now;
        for (const char *at = call->text; (at = strstr(at, "{\"write\"")); at++) world->changes++;
        tw_judge_records(world);
    }
    if (!call->number) answer_call(world, call, lost ? 0 : status, lost ? NULL : answer);
    if (call->number || lost) free(answer);
    if (status == OK) strike(world, call->text);
}

/* A call of a controller that elects: the path says what it is. */
static void handle_call(world *world, const event *call) {
    char *answer = NULL;
    const int late = call->number; /* it was sent long ago, and nobody waits for its answer */
    if (!late && tw_elections_is_cut(world, call->node, END_STATE)) {
        answer_call(world, call, 0, NULL);
    } else if (!strcmp(call->path, "/txn")) {
        handle_transaction(world, call);
        const uint64_t recorded = tw_sim_state_version(&world->state, TW_STANDBY_KEY);
        world->terms += recorded > world->newest_term;
        if (recorded > world->newest_term) world->term_at = world->now;
        if (recorded > world->newest_term) world->newest_term = recorded;
    } else {
        const int status = tw_sim_state_request(&world->state, world->now, call->method, call->path,
                                                call->text ? call->text : "", &answer);
        tw_log_debug("t=%.3f node=%s %s %s status=%d", world->now, world->nodes[call->node].name,
                     call->method, call->path, status);
        world->state_calls++;
        world->state_bytes += (long)strlen(answer);
        answer_call(world, call, status, answer);
    }
}

static void handle_state(world *world, const event *call) {
    char *answer = NULL;
    if (call->path) {
        handle_call(world, call);
        return;
    }
    if (call->flag) {
        handle_transaction(world, call);
        return;
    }
    const int status =
        tw_sim_state_request(&world->state, world->now, "GET", call->text, "", &answer);
    answer_call(world, call, status, answer);
}

static tw_shares_outcome outcome_of(int status) {
    if (status == OK) return TW_SHARES_APPLIED;
    if (status == CONFLICT || status == BAD) return TW_SHARES_REFUSED;
    return status ? TW_SHARES_PUT_OFF : TW_SHARES_UNKNOWN;
}

static void handle_answer(world *world, const event *answer) {
    node *at = &world->nodes[answer->node];
    const char *text = answer->text ? answer->text : "";
    uint64_t revision = 0;
    if (at->standby) {
        tw_standby_answered(at->standby, tw_elections_now(world, answer->node), answer->id,
                            answer->status, text, strlen(text));
        return;
    }
    if (answer->flag) {
        const tw_shares_outcome outcome = outcome_of(answer->status);
        if (outcome == TW_SHARES_APPLIED) tw_wire_ledger_parse(&revision, text, strlen(text));
        /* a node that finds the leader's key changed gives up, as the service's election does */
        if (outcome == TW_SHARES_REFUSED &&
            tw_sim_state_version(&world->state, "leader") != at->token) {
            at->token = 0;
            tw_shares_resign(at->leader);
        }
        tw_shares_written(at->leader, world->now, answer->id, outcome, revision);
    } else {
        const int has = answer->status == OK;
        tw_shares_page(at->leader, world->now, answer->id, has ? text : NULL, strlen(text));
    }
}

/* ---- owners and the leader ---- */

static void handle_report(world *world, const event *said) {
    node *leader = &world->nodes[world->leading];
    const char *owner = world->nodes[said->machine].name;
    if (!leader->life || leader->hung_until > world->now) return;
    if (said->number == TW_SHARES_OWNER_SYNC)
        tw_shares_sync(leader->leader, owner);
    else if (said->number == TW_SHARES_OWNER_DRAINED)
        tw_shares_drained(leader->leader, owner, said->text, said->epoch);
    else
        tw_shares_opened(leader->leader, owner, said->text, said->epoch);
    tw_world_effects(world, world->leading);
}

static void handle_client(world *world, const event *due) {
    client *asks = &world->clients[due->number];
    if (world->lease_s > 0) {
        tw_elections_client(world, due->number);
        return;
    }
    node *leader = &world->nodes[world->leading];
    if (asks->answered && (!asks->follow || asks->verdict != TW_SHARES_OK || asks->done_at)) return;
    const int due_again =
        asks->answered || !asks->attempt || world->now >= asks->tried_at + CLIENT_RETRY_S;
    if (due_again && leader->life && leader->hung_until <= world->now) {
        asks->tried_at = world->now;
        asks->request.id = ++asks->attempt * MOST_REQUESTS + (uint64_t)due->number;
        tw_shares_request_in(leader->leader, world->now, &asks->request);
        tw_world_effects(world, world->leading);
    }
    tw_world_event(world, FOLLOW_S, EVENT_CLIENT)->number = due->number;
}

client *tw_world_client(world *world, const tw_shares_request *request) {
    if (world->nclients == MOST_REQUESTS - 1) abort();
    client *added = &world->clients[world->nclients++];
    added->request = *request;
    added->asked_at = world->now;
    tw_world_event(world, 0, EVENT_CLIENT)->number = world->nclients - 1;
    return added;
}

static void handle_machine(world *world, const event *due) {
    machine *about = &world->machines[due->machine];
    const node *leader = &world->nodes[world->leading];
    tw_shares_request request = {.kind = about->alive ? TW_SHARES_ADD : TW_SHARES_REMOVE,
                                 .id = FIRST_MACHINE_ID + about->boot * MOST_MACHINES +
                                       (uint64_t)due->machine};
    if (due->life != about->boot || (about->alive && about->registered)) return;
    snprintf(request.machine, sizeof request.machine, "%s", about->name);
    snprintf(request.share, sizeof request.share, "%s", about->share);
    snprintf(request.zone, sizeof request.zone, "%s", about->zone);
    if (world->lease_s > 0) {
        tw_elections_machine(world, &request);
    } else if (leader->life && leader->hung_until <= world->now &&
               tw_shares_ready(leader->leader)) {
        tw_shares_request_in(leader->leader, world->now, &request);
        tw_world_effects(world, world->leading);
    }
    event *again = tw_world_event(world, 2 * CLIENT_RETRY_S, EVENT_MACHINE);
    again->machine = due->machine;
    again->life = due->life;
}

/* ---- machines ---- */

/* What a machine says of a request to the node that sent it; 0: the connection broke. */
static void answer_work(world *world, const served *about, int at, int status) {
    event *sent = tw_world_event(world, tw_world_draw(world, FASTEST_S, SLOWEST_S), EVENT_WORKED);
    sent->node = about->node;
    sent->life = about->life;
    sent->machine = at;
    sent->number = about->request;
    sent->attempt = about->attempt;
    sent->epoch = about->epoch;
    sent->status = status;
}

void tw_world_end_running(world *world, int at, int status) {
    machine *ends = &world->machines[at];
    for (int i = 0; i < ends->nrunning; i++) answer_work(world, &ends->running[i], at, status);
    world->moved += ends->nrunning;
    ends->nrunning = 0;
    ends->life++; /* their ends no longer count */
}

int tw_world_order(world *world, int at, uint64_t term, tw_shares_guard_verdict verdict) {
    machine *takes = &world->machines[at];
    if (verdict != TW_SHARES_GUARD_RAISED && verdict != TW_SHARES_GUARD_REPEATED) return 0;
    tw_judge_order(world, at, term);
    takes->judged_term = term;
    return 1;
}

/* A planted fault: the machine takes any term. */
static void forget_term(const world *world, machine *at) {
    if (world->plant_term) at->guard.term = 0;
}

static void handle_open(world *world, const event *order) {
    machine *opened = &world->machines[order->machine];
    if (!opened->alive || !opened->registered) return;
    forget_term(world, opened);
    const tw_shares_guard_verdict verdict =
        tw_shares_guard_open(&opened->guard, order->term, order->epoch);
    if (!tw_world_order(world, order->machine, order->term, verdict)) return;
    if (verdict == TW_SHARES_GUARD_RAISED) tw_world_end_running(world, order->machine, CONFLICT);
    if (order->epoch < opened->judged_epoch)
        tw_world_fail(world, "%s confirms epoch %lu after %lu", opened->name,
                      (unsigned long)order->epoch, (unsigned long)opened->judged_epoch);
    opened->judged_epoch = order->epoch;
    event *sent = tw_world_message(world, EVENT_OPENED);
    if (!sent) return;
    sent->node = order->node;
    sent->life = order->life;
    sent->epoch = order->epoch;
    sent->text = text_of(opened->name);
}

static void handle_work(world *world, const event *order) {
    machine *at = &world->machines[order->machine];
    const served work = {.request = order->number,
                         .attempt = order->attempt,
                         .node = order->node,
                         .life = order->life,
                         .epoch = order->epoch};
    const int accepts = tw_shares_guard_accepts(&at->guard, order->epoch) || world->plant_old;
    if (!at->alive || !accepts) {
        world->refused += at->alive;
        answer_work(world, &work, order->machine, BAD);
        return;
    }
    tw_judge_work(world, order->node, order->machine, order->epoch);
    at->running = realloc(at->running, sizeof *at->running * (size_t)(at->nrunning + 1));
    if (!at->running) abort();
    at->running[at->nrunning++] = work;
    const double service_s = world->loads[world->requests[order->number].load].service_s;
    event *finish = tw_world_event(world, service_s, EVENT_FINISH);
    finish->machine = order->machine;
    finish->number = order->number;
    finish->attempt = order->attempt;
    finish->life = at->life;
}

static void handle_finish(world *world, const event *due) {
    machine *at = &world->machines[due->machine];
    if (at->life != due->life) return;
    for (int i = 0; i < at->nrunning; i++) {
        if (at->running[i].request != due->number || at->running[i].attempt != due->attempt)
            continue;
        world->completed++;
        world->requests[due->number].completions++;
        answer_work(world, &at->running[i], due->machine, OK);
        at->running[i] = at->running[--at->nrunning];
        return;
    }
}

static void handle_stop(world *world, const event *order) {
    machine *at = &world->machines[order->machine];
    forget_term(world, at);
    const tw_shares_guard_verdict verdict =
        tw_shares_guard_stop(&at->guard, order->term, order->epoch);
    if (!tw_world_order(world, order->machine, order->term, verdict)) return;
    if (at->nrunning && at->running[0].epoch == order->epoch)
        tw_world_end_running(world, order->machine, CONFLICT);
}

/* ---- gateways: a controller routes the requests of its shares ---- */

/* Tells the route under which epoch the machine may get requests now. */
static void refresh_replica(world *world, int at, const char *name) {
    const uint64_t epoch = tw_shares_owner_epoch(world->nodes[at].owner, name);
    tw_route_replica(world->nodes[at].route, world->now, name, epoch, SLOTS, FIRST_SERVICE_S);
}

static void send_work(world *world, int at, const tw_route_effect *effect) {
    const int to = tw_world_machine_index(world, effect->replica);
    tw_judge_use(world, at, to, effect->epoch);
    tw_shares_owner_sent(world->nodes[at].owner, effect->replica, effect->epoch);
    const double after = tw_world_draw(world, FASTEST_S, SLOWEST_S) + world->slow_s;
    event *sent = tw_world_event(world, after, EVENT_WORK);
    sent->node = at;
    sent->life = world->nodes[at].life;
    sent->machine = to;
    sent->number = (int)effect->request;
    sent->attempt = effect->attempt;
    sent->epoch = effect->epoch;
}

static void reply_to_user(world *world, int at, const tw_route_effect *effect) {
    const int times = world->plant_double ? 2 : !world->plant_drop;
    for (int i = 0; i < times; i++) {
        const double after = tw_world_draw(world, FASTEST_S, SLOWEST_S);
        event *reply = tw_world_event(world, after, EVENT_REPLY);
        reply->number = (int)effect->request;
        reply->node = at;
        reply->life = world->nodes[at].life;
        reply->status = (int)effect->status;
    }
    world->plant_double = world->plant_drop = 0;
}

static void route_effects(world *world, int at) {
    tw_route_effect *effect;
    while ((effect = tw_route_next(world->nodes[at].route))) {
        if (effect->kind == TW_ROUTE_SEND) send_work(world, at, effect);
        if (effect->kind == TW_ROUTE_ANSWER) reply_to_user(world, at, effect);
        free(effect);
    }
}

static tw_route_end end_of(int status) {
    if (status == OK) return TW_ROUTE_DONE;
    if (status == BAD) return TW_ROUTE_REFUSED;
    return status ? TW_ROUTE_BROKEN : TW_ROUTE_LOST;
}

static void handle_worked(world *world, const event *answer) {
    const node *at = &world->nodes[answer->node];
    const char *name = world->machines[answer->machine].name;
    if (answer->status == BAD) {
        tw_shares_owner_refused(at->owner, name, answer->epoch);
        refresh_replica(world, answer->node, name);
    }
    tw_shares_owner_ended(at->owner, name, answer->epoch);
    tw_route_ended(at->route, world->now, (uint64_t)answer->number, answer->attempt,
                   end_of(answer->status));
}

/* ---- users ---- */

/* The node that owns the share by the records; -1: none. */
static int read_owner(world *world, const char *share) {
    tw_shares *reader = tw_judge_read(world);
    int owner = -1;
    for (int i = 0; i < tw_shares_count(reader); i++) {
        const tw_shares_view view = tw_shares_view_of(reader, i);
        for (int j = 0; j < world->nnodes; j++)
            if (!strcmp(view.name, share) && !strcmp(view.owner, world->nodes[j].name)) owner = j;
    }
    tw_shares_free(reader);
    return owner;
}

static int owner_of(world *world, load *of) {
    if (of->owner_known_at != world->transactions + 1) {
        of->owner = read_owner(world, of->share);
        of->owner_known_at = world->transactions + 1;
    }
    return of->owner;
}

static void handle_arrival(world *world, const event *due) {
    const load *of = &world->loads[due->number];
    if (world->now > of->until) return;
    tw_world_event(world, 1 / of->rate, EVENT_ARRIVAL)->number = due->number;
    if (world->nrequests == world->requests_room) {
        world->requests_room = world->requests_room ? 2 * world->requests_room : TEXT;
        world->requests =
            realloc(world->requests, sizeof *world->requests * (size_t)world->requests_room);
        if (!world->requests) abort();
    }
    world->requests[world->nrequests] = (user_request){.load = due->number};
    tw_world_event(world, 0, EVENT_REQUEST)->number = world->nrequests++;
}

/* Sends the request, and again where the connection broke or nothing came for longer than the
 * deadline. Only the last try's answer is heard, since its connection is the only open one. */
static void handle_request(world *world, const event *due) {
    user_request *asked = &world->requests[due->number];
    load *of = &world->loads[asked->load];
    if (asked->answers) return;
    tw_world_event(world, USER_LOOKS_S, EVENT_REQUEST)->number = due->number;
    const int open = asked->life && world->nodes[asked->node].life == asked->life;
    if (open) tw_judge_unanswered(world, due->number);
    if (open && world->now < asked->sent_at + 2 * USER_DEADLINE_S) return;
    const int to = owner_of(world, of);
    if (to < 0 || !world->nodes[to].life || world->nodes[to].hung_until > world->now) return;
    asked->node = to;
    asked->life = world->nodes[to].life;
    asked->sent_at = world->now;
    tw_route_request(world->nodes[to].route, world->now, (uint64_t)due->number, of->share,
                     world->now + USER_DEADLINE_S);
    route_effects(world, to);
}

static void handle_reply(world *world, const event *reply) {
    user_request *asked = &world->requests[reply->number];
    if (asked->node != reply->node || asked->life != reply->life) return;
    asked->answers++;
    asked->status = reply->status;
    world->failed += reply->status != OK;
}

/* ---- dispatch ---- */

static void handle_tick(world *world, const event *due) {
    node *at = &world->nodes[due->node];
    event *again = tw_world_event(world, TICK_S, EVENT_TICK);
    again->node = due->node;
    again->life = due->life;
    const int leads =
        at->token ||
        (at->standby && tw_standby_decides(at->standby, tw_elections_now(world, due->node)));
    for (int i = 0; i < world->nmachines && leads; i++)
        if (world->machines[i].alive)
            tw_shares_load(at->leader, world->machines[i].name, world->machines[i].nrunning);
    /* The lease is renewed: the key still stands, and nobody is being elected. */
    if (at->token && !world->electing && world->state.down_since < 0 &&
        tw_sim_state_version(&world->state, "leader") == at->token)
        tw_shares_authority(at->leader, world->now + AUTHORITY_S);
    if (at->standby)
        tw_elections_tick(world, due->node);
    else
        tw_shares_tick(at->leader, world->now, world->now);
    tw_shares_owner_tick(at->owner, world->now);
    tw_route_tick(at->route, world->now);
}

/* Whether the event is for a node that has ended, or was started anew since. */
static int outlived(const world *world, const event *event) {
    const uint64_t life = event->node >= 0 ? world->nodes[event->node].life : 0;
    switch (event->kind) {
    case EVENT_TICK:
    case EVENT_ANSWER:
    case EVENT_OPENED:
    case EVENT_FEED:
    case EVENT_ORDERED:
        return life != event->life;
    case EVENT_WORKED:
        return !life || (event->life && life != event->life);
    case EVENT_TELL:
    case EVENT_FOLLOW:
    case EVENT_REPORTED:
    case EVENT_ASKED:
    case EVENT_PROMOTE:
        return !life;
    default:
        return 0;
    }
}

static int is_for_node(const event *event) {
    switch (event->kind) {
    case EVENT_TICK:
    case EVENT_ANSWER:
    case EVENT_TELL:
    case EVENT_OPENED:
    case EVENT_WORKED:
    case EVENT_FOLLOW:
    case EVENT_FEED:
    case EVENT_ORDERED:
    case EVENT_REPORTED:
    case EVENT_ASKED:
    case EVENT_PROMOTE:
        return 1;
    default:
        return 0;
    }
}

/* What comes for a node that stands still waits, in its order. */
static int postponed(world *world, event *event) {
    const double until = is_for_node(event) ? world->nodes[event->node].hung_until : 0;
    if (until <= world->now) return 0;
    struct event *later = tw_world_event(world, until - world->now, event->kind);
    struct event *next = later->next;
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

void tw_world_handle(world *world, event *event) {
    if (outlived(world, event) || postponed(world, event)) return;
    switch (event->kind) {
    case EVENT_COMMAND:
        tw_script_command(world, event->text);
        break;
    case EVENT_TICK:
        handle_tick(world, event);
        break;
    case EVENT_STATE:
        handle_state(world, event);
        break;
    case EVENT_ANSWER:
        handle_answer(world, event);
        break;
    case EVENT_TELL:
        tw_shares_owner_told(world->nodes[event->node].owner, world->now, &event->tell);
        refresh_replica(world, event->node, event->tell.machine);
        break;
    case EVENT_REPORT:
        handle_report(world, event);
        break;
    case EVENT_OPEN:
        handle_open(world, event);
        break;
    case EVENT_OPENED:
        tw_shares_owner_confirmed(world->nodes[event->node].owner, event->text, event->epoch);
        break;
    case EVENT_WORK:
        handle_work(world, event);
        break;
    case EVENT_WORKED:
        handle_worked(world, event);
        break;
    case EVENT_STOP:
        handle_stop(world, event);
        break;
    case EVENT_ARRIVAL:
        handle_arrival(world, event);
        break;
    case EVENT_REQUEST:
        handle_request(world, event);
        break;
    case EVENT_REPLY:
        handle_reply(world, event);
        break;
    case EVENT_FINISH:
        handle_finish(world, event);
        break;
    case EVENT_CLIENT:
        handle_client(world, event);
        break;
    case EVENT_MACHINE:
        handle_machine(world, event);
        break;
    default:
        tw_elections_handle(world, event);
    }
    if (is_for_node(event)) tw_world_effects(world, event->node);
}
