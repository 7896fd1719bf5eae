/* Tracks requests from their arrival to their final answer. */
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

static tw_router_effect *emit_effect(tw_router *router, tw_router_effect_kind kind,
                                     const tw_router_request *request) {
    tw_router_effect *effect = tw_router_alloc(sizeof *effect);
    effect->kind = kind;
    effect->request = request->number;
    effect->attempt = request->attempt;
    LL_APPEND2(router->effects, effect, next);
    return effect;
}

tw_router_effect *tw_router_next_effect(tw_router *router) {
    tw_router_effect *first = router->effects;
    if (!first) return NULL;
    router->effects = first->next;
    first->next = NULL;
    return first;
}

/* ---- creation ---- */

tw_router *tw_router_new(const tw_router_settings *settings) {
    tw_router *router = tw_router_alloc(sizeof *router);
    router->settings = *settings;
    router->retry_budget = settings->retry_burst;
    return router;
}

void tw_router_free(tw_router *router) {
    tw_router_request *each;
    tw_router_request *next;
    tw_router_replica *replica;
    tw_router_replica *next_replica;
    tw_router_team *team;
    tw_router_team *following_team;
    tw_router_effect *effect;
    if (!router) return;
    HASH_ITER(hh, router->requests, each, next) {
        HASH_DEL(router->requests, each);
        free(each);
    }
    HASH_ITER(hh, router->replicas, replica, next_replica) {
        HASH_DEL(router->replicas, replica);
        free(replica);
    }
    HASH_ITER(hh, router->teams, team, following_team) {
        HASH_DEL(router->teams, team);
        free(team);
    }
    while ((effect = tw_router_next_effect(router))) free(effect);
    free(router);
}

/* ---- teams ---- */

static tw_router_team *team_named(tw_router *router, const char *name) {
    tw_router_team *found;
    HASH_FIND_STR(router->teams, name, found);
    if (found) return found;
    found = tw_router_alloc(sizeof *found);
    copy_name(found->name, name);
    found->weight = 1;
    HASH_ADD_STR(router->teams, name, found);
    return found;
}

void tw_router_set_team_weight(tw_router *router, const char *name, double weight) {
    team_named(router, name)->weight = weight;
}

/* Returns the team to serve next, which is the one with the least service relative to its weight;
 * NULL if no request waits. A team with no waiting requests does not accumulate turns. */
static tw_router_team *next_team(tw_router *router) {
    tw_router_team *best = NULL;
    tw_router_team *each;
    tw_router_team *next;
    HASH_ITER(hh, router->teams, each, next) {
        if (each->waiting && (!best || each->served < best->served)) best = each;
    }
    return best;
}

static void enqueue(tw_router *router, tw_router_request *request, bool at_front) {
    tw_router_team *team = request->team;
    const tw_router_team *least = next_team(router);
    if (!team->waiting && least) team->served = fmax(team->served, least->served);
    if (at_front)
        DL_PREPEND(team->waiting, request);
    else
        DL_APPEND(team->waiting, request);
    team->count++;
    request->state = TW_ROUTER_REQUEST_WAITING;
}

static void dequeue(tw_router_request *request) {
    DL_DELETE(request->team->waiting, request);
    request->team->count--;
}

/* ---- final answers ---- */

static double estimate_retry_after_s(const tw_router *router) {
    const tw_router_replica *each;
    const tw_router_replica *next;
    double shortest = INFINITY;
    HASH_ITER(hh, router->replicas, each, next) {
        if (each->epoch) shortest = fmin(shortest, each->service_s);
    }
    return isfinite(shortest) ? fmax(1, ceil(shortest)) : 1;
}

static void release_slot(tw_router *router, const tw_router_request *ended) {
    tw_router_replica *replica;
    HASH_FIND_STR(router->replicas, ended->replica, replica);
    if (replica && replica->running) replica->running--;
}

/* Emits the final answer and frees the request. Later events of its attempts are ignored. */
static void answer_request(tw_router *router, tw_router_request *request, tw_router_status status) {
    tw_router_effect *effect = emit_effect(router, TW_ROUTER_ANSWER, request);
    effect->status = status;
    if (status != TW_ROUTER_OK) effect->retry_after_s = estimate_retry_after_s(router);
    if (request->state == TW_ROUTER_REQUEST_WAITING) dequeue(request);
    HASH_DEL(router->requests, request);
    free(request);
}

static void cancel_attempt(tw_router *router, const tw_router_request *request) {
    tw_router_effect *effect = emit_effect(router, TW_ROUTER_CANCEL, request);
    copy_name(effect->replica, request->replica);
}

/* ---- sending ---- */

static void send_to(tw_router *router, tw_router_request *request, tw_router_replica *replica,
                    double now) {
    dequeue(request);
    request->state = TW_ROUTER_REQUEST_SENT;
    request->attempt++;
    request->sent_at = now;
    copy_name(request->replica, replica->name);
    replica->running++;
    request->team->served += 1 / request->team->weight;
    tw_router_effect *effect = emit_effect(router, TW_ROUTER_SEND, request);
    copy_name(effect->replica, replica->name);
    effect->epoch = replica->epoch;
}

/* Sends waiting requests until the next team finds no replica. */
static void send_waiting(tw_router *router, double now) {
    tw_router_team *team;
    while ((team = next_team(router))) {
        tw_router_replica *replica = tw_router_pick(router, team->waiting, now);
        if (!replica) return;
        send_to(router, team->waiting, replica, now);
    }
}

/* ---- inputs ---- */

void tw_router_set_replica(tw_router *router, double now, const char *name, uint64_t epoch,
                           int slots, double service_s) {
    tw_router_replica *replica;
    HASH_FIND_STR(router->replicas, name, replica);
    if (!replica) {
        replica = tw_router_alloc(sizeof *replica);
        copy_name(replica->name, name);
        replica->service_s = service_s;
        HASH_ADD_STR(router->replicas, name, replica);
    }
    replica->epoch = epoch;
    replica->slots = slots;
    send_waiting(router, now);
}

void tw_router_add_request(tw_router *router, double now, uint64_t number, const char *team_name,
                           double deadline) {
    tw_router_request *request = tw_router_alloc(sizeof *request);
    request->number = number;
    request->team = team_named(router, team_name);
    request->deadline = deadline;
    request->state = TW_ROUTER_REQUEST_SENT; /* not in a queue yet */
    HASH_ADD(hh, router->requests, number, sizeof request->number, request);
    router->retry_budget =
        fmin(router->settings.retry_burst, router->retry_budget + router->settings.retry_ratio);
    if (request->team->count >= router->settings.max_waiting) {
        answer_request(router, request, TW_ROUTER_FULL);
        return;
    }
    enqueue(router, request, false);
    send_waiting(router, now);
}

/* Returns the request if `attempt` is its current attempt and still runs, or NULL. Events of
 * earlier attempts are ignored. */
static tw_router_request *current_attempt(const tw_router *router, uint64_t number, int attempt) {
    tw_router_request *found;
    HASH_FIND(hh, router->requests, &number, sizeof number, found);
    if (!found || found->state != TW_ROUTER_REQUEST_SENT || found->attempt != attempt) return NULL;
    return found;
}

void tw_router_part_received(tw_router *router, double now, uint64_t number, int attempt) {
    tw_router_request *found = current_attempt(router, number, attempt);
    (void)now;
    if (!found) return;
    found->answer_started = true;
    emit_effect(router, TW_ROUTER_PART, found);
}

/* Returns whether another attempt may be made; if so, deducts it from the retry budget. */
static bool take_retry(tw_router *router, const tw_router_request *failed, double now) {
    if (failed->answer_started || failed->attempt >= router->settings.max_attempts) return false;
    if (now >= failed->deadline || router->retry_budget < 1) return false;
    router->retry_budget -= 1;
    return true;
}

static void update_service_average(const tw_router *router, const tw_router_request *done,
                                   double now) {
    tw_router_replica *replica;
    const double weight = router->settings.average_ratio;
    HASH_FIND_STR(router->replicas, done->replica, replica);
    if (replica) replica->service_s += weight * (now - done->sent_at - replica->service_s);
}

void tw_router_attempt_ended(tw_router *router, double now, uint64_t number, int attempt,
                             tw_router_result result) {
    tw_router_request *found = current_attempt(router, number, attempt);
    if (!found) return;
    release_slot(router, found);
    if (result == TW_ROUTER_DONE) {
        update_service_average(router, found, now);
        answer_request(router, found, TW_ROUTER_OK);
    } else if (take_retry(router, found, now)) {
        if (result == TW_ROUTER_LOST) cancel_attempt(router, found);
        enqueue(router, found, true);
    } else {
        if (result == TW_ROUTER_LOST) cancel_attempt(router, found);
        answer_request(router, found, now >= found->deadline ? TW_ROUTER_LATE : TW_ROUTER_FAILED);
    }
    send_waiting(router, now);
}

void tw_router_tick(tw_router *router, double now) {
    tw_router_request *each;
    tw_router_request *next;
    HASH_ITER(hh, router->requests, each, next) {
        if (now < each->deadline) continue;
        if (each->state == TW_ROUTER_REQUEST_SENT) {
            release_slot(router, each);
            cancel_attempt(router, each);
        }
        answer_request(router, each, TW_ROUTER_LATE);
    }
    send_waiting(router, now);
}

int tw_router_open_count(const tw_router *router) { return (int)HASH_COUNT(router->requests); }

int tw_router_waiting_count(const tw_router *router) {
    const tw_router_team *each;
    const tw_router_team *next;
    int waiting = 0;
    HASH_ITER(hh, router->teams, each, next) { waiting += each->count; }
    return waiting;
}
