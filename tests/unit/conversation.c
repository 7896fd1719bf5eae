#include "conversation.h"
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEADY_START 1000.0
#define WALL_START 1e9
#define LATENCY 0.002
#define SEED 7
#define MAX_LINE 70000

/* ---- the controller and what is around it ---- */

static tw_simulator_clock clock_of(const conversation *c) {
    return (tw_simulator_clock){.steady = STEADY_START + c->now, .wall = WALL_START + c->now};
}

static double answered_after(const tw_effect *effect) {
    const char *hold = strstr(effect->path, "holdMs=");
    return hold ? tw_simulator_parse_number(hold + strlen("holdMs=")) / 1000 : LATENCY;
}

/* Heartbeats are many and differ in their times: those that say the same in a row are shown once.
 */
static int is_shown(conversation *c, const tw_effect *effect) {
    if (strcmp(effect->path, "/peer/ping") != 0) return 1;
    const char *times = strstr(effect->body, "\"upS\"");
    const size_t length = times ? (size_t)(times - effect->body) : strlen(effect->body);
    if (strlen(c->heartbeat) == length && !strncmp(c->heartbeat, effect->body, length)) return 0;
    snprintf(c->heartbeat, sizeof c->heartbeat, "%.*s", (int)length, effect->body);
    return 1;
}

static void show_call(conversation *c, const tw_effect *effect) {
    const char *body = effect->body ? effect->body : "";
    if (effect->to == TW_TO_STATE && !strcmp(effect->path, "/txn"))
        printf("write %s\n", body);
    else if (effect->to == TW_TO_PEER && is_shown(c, effect))
        printf("peer %s %s %s\n", effect->addr, effect->path, body);
    else if (effect->to == TW_TO_WORKER)
        printf("worker %s %s %s\n", effect->addr, effect->path, body);
}

static void take_call(conversation *c, tw_effect *effect) {
    if (c->count == CONVERSATION_MAX_WAITING) abort();
    show_call(c, effect);
    c->waiting[c->count++] = (waiting_call){.id = effect->id,
                                            .at = c->now + answered_after(effect),
                                            .to = effect->to,
                                            .method = effect->method,
                                            .path = effect->path,
                                            .body = effect->body};
    effect->path = effect->body = NULL;
}

static void take_effects(conversation *c) {
    const tw_simulator_controller_methods *methods = c->controller->methods;
    tw_effect *effect;
    while ((effect = methods->next(c->controller))) {
        if (effect->kind == TW_EFFECT_REPLY)
            printf("reply %llu %d %s\n", (unsigned long long)effect->id, effect->status,
                   effect->body ? effect->body : "");
        else
            take_call(c, effect);
        tw_core_effect_free(effect);
    }
    if (!c->controller->failure) return;
    printf("%s\n", c->controller->failure);
    exit(1);
}

/* What a node that knows nobody answers to a heartbeat. */
static char *heartbeat_answer(void) {
    return tw_simulator_copy_text(
        "{\"name\":\"tray-1\",\"token\":0,\"stateOk\":true,\"leading\":false,"
        "\"upS\":500,\"deputyS\":500}");
}

static int answer_to(conversation *c, const waiting_call *call, char **body) {
    const char *sent = call->body ? call->body : "";
    if (call->to == TW_TO_STATE)
        return tw_simulator_state_request(&c->world.state, c->now, call->method, call->path, sent,
                                          body);
    if (call->to == TW_TO_CLOUD)
        return tw_simulator_cloud_request(&c->world, call->method, call->path, sent, body);
    const bool heartbeat = !strcmp(call->path, "/peer/ping");
    *body = heartbeat ? heartbeat_answer() : tw_simulator_copy_text("{}");
    return TW_SIMULATOR_OK;
}

static void answer(conversation *c, int i) {
    waiting_call call = c->waiting[i];
    char *body = NULL;
    c->waiting[i] = c->waiting[--c->count];
    const int status = answer_to(c, &call, &body);
    c->controller->methods->response(c->controller, clock_of(c), call.id, status, body ? body : "");
    take_effects(c);
    free(body);
    free(call.path);
    free(call.body);
}

/* The call that is answered first, or -1. */
static int first_waiting(const conversation *c) {
    int first = -1;
    for (int i = 0; i < c->count; i++)
        if (first < 0 || c->waiting[i].at < c->waiting[first].at ||
            (c->waiting[i].at <= c->waiting[first].at && c->waiting[i].id < c->waiting[first].id))
            first = i;
    return first;
}

/* Lets time pass up to that moment. */
void conversation_until(conversation *c, double moment) {
    for (;;) {
        const int first = first_waiting(c);
        const double at = first < 0 ? INFINITY : c->waiting[first].at;
        if (fmin(at, c->next_tick) > moment) break;
        c->now = c->world.now = fmin(at, c->next_tick);
        if (at <= c->next_tick) {
            answer(c, first);
            continue;
        }
        c->controller->methods->tick(c->controller, clock_of(c));
        c->next_tick = c->now + c->controller->methods->tick_s(c->controller);
        take_effects(c);
    }
    c->now = c->world.now = moment;
}

void conversation_ask(conversation *c, int port, const char *method, const char *path,
                      const char *body) {
    printf("> %llu %s %s %s\n", (unsigned long long)++c->last_conn, method, path, body);
    c->controller->methods->request(c->controller, clock_of(c), port, c->last_conn, method, path,
                                    body);
    take_effects(c);
}

void conversation_put(conversation *c, const char *key, const char *value) {
    char body[MAX_LINE], *answer_body;
    snprintf(body, sizeof body, "{\"if\":[],\"apply\":[{\"write\":\"%s\",\"data\":%s}]}", key,
             value);
    if (tw_simulator_state_request(&c->world.state, c->now, "POST", "/txn", body, &answer_body) !=
        TW_SIMULATOR_OK)
        abort();
    free(answer_body);
}

void conversation_show_record(const conversation *c, const char *key) {
    const char *value = tw_simulator_state_value(&c->world.state, key);
    printf("record %s %s\n", key, value ? value : "-");
}

static const char settings[] =
    "host_name = \"tray-0\"\nlocation = \"a\"\napi_addr = \"10.0.0.1:8080\"\n"
    "peer_bind = \"10.0.0.1:8081\"\n"
    "[[known]]\nhost_name = \"tray-1\"\nlocation = \"a\"\nendpoint = \"10.0.0.2:8081\"\n"
    "[external]\ncloud = \"10.2.0.2:1\"\nstate = \"10.2.0.1:1\"\n[settings]\n"
    "[[settings.teams]]\nname = \"crew\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 8.0\n"
    "[settings.workers]\nreport_s = 1.5\nlease_s = 10.0\ncancel_s = 30.0\n"
    "[settings.state]\nrps = 60.0\nwrite_rps = 100.0\nvalue_kb = 8.0\ntxn_ops = 12\n"
    "[settings.cloud]\nrps = 5.0\nlist_lag_s = 4.0\n"
    "[settings.limits]\ncpu_share = 0.1\nmem_mb = 56.0\nsockets = 600\n";

/* A new state service, one machine up, and the node has just started. */
void conversation_begin(conversation *c, const char *program) {
    char error[TW_SIMULATOR_MESSAGE];
    const tw_simulator_controller_start start = {
        .settings = settings, .seed = SEED, .clock = clock_of(c)};
    c->controller = program ? tw_simulator_controller_remote(program, &start, error, sizeof error)
                            : tw_simulator_controller_local(&start, error, sizeof error);
    if (c->controller) {
        take_effects(c);
        return;
    }
    printf("%s\n", error);
    exit(1);
}

void conversation_around(conversation *c) {
    tw_simulator_world *w = &c->world;
    tw_simulator_world_init(w);
    w->type_count = 1;
    w->types[0] = (tw_wire_machine_type){.name = "cpu",
                                         .cores = 16,
                                         .memory_gb = 64,
                                         .cache_gb = 200,
                                         .fetch_gb_s = 1,
                                         .on_demand_price = 1,
                                         .spot_price = 1,
                                         .startup_s = 20,
                                         .zone_count = 1,
                                         .zones = {"a"}};
    tw_simulator_worker *machine = tw_simulator_add_machine(w, 0, "a", 0, 0);
    machine->up = 1;
    w->refuses_rentals = 1;
    w->state.write_tokens = w->state.limits.write_rps;
}

void conversation_end(conversation *c) {
    c->controller->methods->free(c->controller);
    for (int i = 0; i < c->count; i++) {
        free(c->waiting[i].path);
        free(c->waiting[i].body);
    }
    tw_simulator_world_free(&c->world);
}
