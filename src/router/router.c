/* The ledger: requests from their coming to their one final answer. */
#include "router/router_int.h"
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

void *tw_router_alloc(size_t size) {
    void *memory = calloc(1, size);
    if (!memory) abort();
    return memory;
}

static void copy_name(char *to, const char *from) {
    const size_t length = strnlen(from, TW_ROUTER_NAME - 1);
    memcpy(to, from, length);
    to[length] = 0;
}

/* ---- effects ---- */

static tw_router_effect *emit(tw_router *route, tw_router_effect_kind kind, const request *about) {
    tw_router_effect *effect = tw_router_alloc(sizeof *effect);
    effect->kind = kind;
    effect->request = about->number;
    effect->attempt = about->attempt;
    LL_APPEND2(route->effects, effect, next);
    return effect;
}

tw_router_effect *tw_router_next(tw_router *route) {
    tw_router_effect *first = route->effects;
    if (!first) return NULL;
    route->effects = first->next;
    first->next = NULL;
    return first;
}

/* ---- begin and end ---- */

tw_router *tw_router_new(const tw_router_settings *settings) {
    tw_router *route = tw_router_alloc(sizeof *route);
    route->settings = *settings;
    route->retries = settings->retry_burst;
    return route;
}

void tw_router_free(tw_router *route) {
    request *each;
    request *after;
    replica *one;
    replica *next;
    team *of;
    team *other;
    tw_router_effect *effect;
    if (!route) return;
    HASH_ITER(hh, route->requests, each, after) {
        HASH_DEL(route->requests, each);
        free(each);
    }
    HASH_ITER(hh, route->replicas, one, next) {
        HASH_DEL(route->replicas, one);
        free(one);
    }
    HASH_ITER(hh, route->teams, of, other) {
        HASH_DEL(route->teams, of);
        free(of);
    }
    while ((effect = tw_router_next(route))) free(effect);
    free(route);
}

/* ---- teams ---- */

static team *team_named(tw_router *route, const char *name) {
    team *found;
    HASH_FIND_STR(route->teams, name, found);
    if (found) return found;
    found = tw_router_alloc(sizeof *found);
    copy_name(found->name, name);
    found->share = 1;
    HASH_ADD_STR(route->teams, name, found);
    return found;
}

void tw_router_team(tw_router *route, const char *name, double share) {
    team_named(route, name)->share = share;
}

/* The team whose turn it is: that has been served least for its share; NULL: nobody waits. A team
 * that had nothing waiting does not save up turns. */
static team *next_team(tw_router *route) {
    team *best = NULL;
    team *each;
    team *after;
    HASH_ITER(hh, route->teams, each, after) {
        if (each->waiting && (!best || each->served < best->served)) best = each;
    }
    return best;
}

static void enqueue(tw_router *route, request *waits, bool at_front) {
    team *of = waits->team;
    const team *least = next_team(route);
    if (!of->waiting && least) of->served = fmax(of->served, least->served);
    if (at_front)
        DL_PREPEND(of->waiting, waits);
    else
        DL_APPEND(of->waiting, waits);
    of->count++;
    waits->state = REQUEST_WAITING;
}

static void dequeue(request *waits) {
    DL_DELETE(waits->team->waiting, waits);
    waits->team->count--;
}

/* ---- one final answer ---- */

static double time_to_come_back(const tw_router *route) {
    const replica *each;
    const replica *after;
    double shortest = INFINITY;
    HASH_ITER(hh, route->replicas, each, after) {
        if (each->epoch) shortest = fmin(shortest, each->service_s);
    }
    return isfinite(shortest) ? fmax(1, ceil(shortest)) : 1;
}

static void leave_replica(tw_router *route, const request *left) {
    replica *at;
    HASH_FIND_STR(route->replicas, left->replica, at);
    if (at && at->running) at->running--;
}

/* Gives the final answer and forgets the request: what comes of it later is not known any more. */
static void answer(tw_router *route, request *over, tw_router_status status) {
    tw_router_effect *effect = emit(route, TW_ROUTER_ANSWER, over);
    effect->status = status;
    if (status != TW_ROUTER_OK) effect->retry_after_s = time_to_come_back(route);
    if (over->state == REQUEST_WAITING) dequeue(over);
    HASH_DEL(route->requests, over);
    free(over);
}

static void cancel(tw_router *route, const request *sent) {
    tw_router_effect *effect = emit(route, TW_ROUTER_CANCEL, sent);
    copy_name(effect->replica, sent->replica);
}

/* ---- sending ---- */

static void send_to(tw_router *route, request *sent, replica *to, double now) {
    dequeue(sent);
    sent->state = REQUEST_SENT;
    sent->attempt++;
    sent->sent_at = now;
    copy_name(sent->replica, to->name);
    to->running++;
    sent->team->served += 1 / sent->team->share;
    tw_router_effect *effect = emit(route, TW_ROUTER_SEND, sent);
    copy_name(effect->replica, to->name);
    effect->epoch = to->epoch;
}

/* As long as the team whose turn it is finds a replica. */
static void send_waiting(tw_router *route, double now) {
    team *turn;
    while ((turn = next_team(route))) {
        replica *to = tw_router_pick(route, turn->waiting, now);
        if (!to) return;
        send_to(route, turn->waiting, to, now);
    }
}

/* ---- inputs ---- */

void tw_router_replica(tw_router *route, double now, const char *name, uint64_t epoch, int slots,
                       double service_s) {
    replica *changed;
    HASH_FIND_STR(route->replicas, name, changed);
    if (!changed) {
        changed = tw_router_alloc(sizeof *changed);
        copy_name(changed->name, name);
        changed->service_s = service_s;
        HASH_ADD_STR(route->replicas, name, changed);
    }
    changed->epoch = epoch;
    changed->slots = slots;
    send_waiting(route, now);
}

void tw_router_request(tw_router *route, double now, uint64_t number, const char *team_name,
                       double deadline) {
    request *came = tw_router_alloc(sizeof *came);
    came->number = number;
    came->team = team_named(route, team_name);
    came->deadline = deadline;
    came->state = REQUEST_SENT; /* nowhere yet */
    HASH_ADD(hh, route->requests, number, sizeof came->number, came);
    route->retries =
        fmin(route->settings.retry_burst, route->retries + route->settings.retry_ratio);
    if (came->team->count >= route->settings.most_waiting) {
        answer(route, came, TW_ROUTER_FULL);
        return;
    }
    enqueue(route, came, false);
    send_waiting(route, now);
}

/* The request, if this is its present attempt. What earlier ones say is dropped. */
static request *current(const tw_router *route, uint64_t number, int attempt) {
    request *found;
    HASH_FIND(hh, route->requests, &number, sizeof number, found);
    if (!found || found->state != REQUEST_SENT || found->attempt != attempt) return NULL;
    return found;
}

void tw_router_part(tw_router *route, double now, uint64_t number, int attempt) {
    request *found = current(route, number, attempt);
    (void)now;
    if (!found) return;
    found->passed_on = 1;
    emit(route, TW_ROUTER_PART, found);
}

/* Whether another attempt may be made; it is then paid for. */
static bool may_retry(tw_router *route, const request *failed, double now) {
    if (failed->passed_on || failed->attempt >= route->settings.most_attempts) return false;
    if (now >= failed->deadline || route->retries < 1) return false;
    route->retries -= 1;
    return true;
}

static void learn(const tw_router *route, const request *done, double now) {
    replica *at;
    const double weight = route->settings.average_ratio;
    HASH_FIND_STR(route->replicas, done->replica, at);
    if (at) at->service_s += weight * (now - done->sent_at - at->service_s);
}

void tw_router_ended(tw_router *route, double now, uint64_t number, int attempt,
                     tw_router_end end) {
    request *found = current(route, number, attempt);
    if (!found) return;
    leave_replica(route, found);
    if (end == TW_ROUTER_DONE) {
        learn(route, found, now);
        answer(route, found, TW_ROUTER_OK);
    } else if (may_retry(route, found, now)) {
        if (end == TW_ROUTER_LOST) cancel(route, found);
        enqueue(route, found, true);
    } else {
        if (end == TW_ROUTER_LOST) cancel(route, found);
        answer(route, found, now >= found->deadline ? TW_ROUTER_LATE : TW_ROUTER_FAILED);
    }
    send_waiting(route, now);
}

void tw_router_tick(tw_router *route, double now) {
    request *each;
    request *after;
    HASH_ITER(hh, route->requests, each, after) {
        if (now < each->deadline) continue;
        if (each->state == REQUEST_SENT) {
            leave_replica(route, each);
            cancel(route, each);
        }
        answer(route, each, TW_ROUTER_LATE);
    }
    send_waiting(route, now);
}

int tw_router_open(const tw_router *route) { return (int)HASH_COUNT(route->requests); }

int tw_router_waiting(const tw_router *route) {
    const team *each;
    const team *after;
    int waiting = 0;
    HASH_ITER(hh, route->teams, each, after) { waiting += each->count; }
    return waiting;
}
