#include "conversation.h"
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEADY_START_S 1000.0
#define WALL_START_S 1e9
#define LATENCY_S 0.002
#define SEED 7
#define MAX_LINE 70000

/* ---- the controller and the simulated services ---- */

static tw_simulator_clock clock_of(const tw_test_conversation *conversation) {
    return (tw_simulator_clock){.steady = STEADY_START_S + conversation->now,
                                .wall = WALL_START_S + conversation->now};
}

static double answer_delay_s(const tw_effect *effect) {
    const char *hold = strstr(effect->path, "holdMs=");
    return hold ? tw_simulator_parse_number(hold + strlen("holdMs=")) / 1000 : LATENCY_S;
}

/* Returns whether the call is printed. A peer heartbeat that differs from the last printed one only
 * in its times is not printed. */
static bool should_print(tw_test_conversation *conversation, const tw_effect *effect) {
    if (strcmp(effect->path, "/peer/ping") != 0) return true;
    const char *times = strstr(effect->body, "\"upS\"");
    const size_t length = times ? (size_t)(times - effect->body) : strlen(effect->body);
    if (strlen(conversation->last_printed_heartbeat) == length &&
        !strncmp(conversation->last_printed_heartbeat, effect->body, length))
        return false;
    snprintf(conversation->last_printed_heartbeat, sizeof conversation->last_printed_heartbeat,
             "%.*s", (int)length, effect->body);
    return true;
}

static void print_call(tw_test_conversation *conversation, const tw_effect *effect) {
    const char *body = effect->body ? effect->body : "";
    if (effect->to == TW_TO_STATE && !strcmp(effect->path, "/txn"))
        printf("write %s\n", body);
    else if (effect->to == TW_TO_PEER && should_print(conversation, effect))
        printf("peer %s %s %s\n", effect->addr, effect->path, body);
    else if (effect->to == TW_TO_WORKER)
        printf("worker %s %s %s\n", effect->addr, effect->path, body);
}

static void add_pending_call(tw_test_conversation *conversation, tw_effect *effect) {
    if (conversation->pending_call_count == TW_TEST_CONVERSATION_MAX_CALLS) abort();
    print_call(conversation, effect);
    conversation->pending_calls[conversation->pending_call_count++] =
        (tw_test_pending_call){.id = effect->id,
                               .answer_at = conversation->now + answer_delay_s(effect),
                               .to = effect->to,
                               .method = effect->method,
                               .path = effect->path,
                               .body = effect->body};
    effect->path = effect->body = NULL;
}

static void process_effects(tw_test_conversation *conversation) {
    const tw_simulator_controller_methods *methods = conversation->controller->methods;
    tw_effect *effect;
    while ((effect = methods->next(conversation->controller))) {
        if (effect->kind == TW_EFFECT_REPLY)
            printf("reply %llu %d %s\n", (unsigned long long)effect->id, effect->status,
                   effect->body ? effect->body : "");
        else
            add_pending_call(conversation, effect);
        tw_core_effect_free(effect);
    }
    if (!conversation->controller->failure) return;
    printf("%s\n", conversation->controller->failure);
    exit(1);
}

/* Returns the answer to a peer heartbeat of a peer that knows no leader. Free it. */
static char *peer_heartbeat_answer(void) {
    return tw_simulator_copy_text(
        "{\"name\":\"tray-1\",\"token\":0,\"stateOk\":true,\"leading\":false,"
        "\"upS\":500,\"deputyS\":500}");
}

static int execute_call(tw_test_conversation *conversation, const tw_test_pending_call *call,
                        char **body) {
    const char *sent = call->body ? call->body : "";
    if (call->to == TW_TO_STATE)
        return tw_simulator_state_request(&conversation->world.state, conversation->now,
                                          call->method, call->path, sent, body);
    if (call->to == TW_TO_CLOUD)
        return tw_simulator_cloud_request(&conversation->world, call->method, call->path, sent,
                                          body);
    const bool heartbeat = !strcmp(call->path, "/peer/ping");
    *body = heartbeat ? peer_heartbeat_answer() : tw_simulator_copy_text("{}");
    return TW_SIMULATOR_OK;
}

static void answer_call(tw_test_conversation *conversation, int i) {
    tw_test_pending_call call = conversation->pending_calls[i];
    char *body = NULL;
    conversation->pending_calls[i] =
        conversation->pending_calls[--conversation->pending_call_count];
    const int status = execute_call(conversation, &call, &body);
    conversation->controller->methods->response(conversation->controller, clock_of(conversation),
                                                call.id, status, body ? body : "");
    process_effects(conversation);
    free(body);
    free(call.path);
    free(call.body);
}

/* Returns the index of the call that is answered next, or -1 if there is none. */
static int first_pending_call(const tw_test_conversation *conversation) {
    int first = -1;
    for (int i = 0; i < conversation->pending_call_count; i++)
        if (first < 0 ||
            conversation->pending_calls[i].answer_at <
                conversation->pending_calls[first].answer_at ||
            (conversation->pending_calls[i].answer_at <=
                 conversation->pending_calls[first].answer_at &&
             conversation->pending_calls[i].id < conversation->pending_calls[first].id))
            first = i;
    return first;
}

void tw_test_conversation_advance_to(tw_test_conversation *conversation, double moment) {
    for (;;) {
        const int first = first_pending_call(conversation);
        const double at = first < 0 ? INFINITY : conversation->pending_calls[first].answer_at;
        if (fmin(at, conversation->next_tick) > moment) break;
        conversation->now = conversation->world.now = fmin(at, conversation->next_tick);
        if (at <= conversation->next_tick) {
            answer_call(conversation, first);
            continue;
        }
        conversation->controller->methods->tick(conversation->controller, clock_of(conversation));
        conversation->next_tick =
            conversation->now + conversation->controller->methods->tick_s(conversation->controller);
        process_effects(conversation);
    }
    conversation->now = conversation->world.now = moment;
}

void tw_test_conversation_request(tw_test_conversation *conversation, int port, const char *method,
                                  const char *path, const char *body) {
    printf("> %llu %s %s %s\n", (unsigned long long)++conversation->last_connection, method, path,
           body);
    conversation->controller->methods->request(conversation->controller, clock_of(conversation),
                                               port, conversation->last_connection, method, path,
                                               body);
    process_effects(conversation);
}

void tw_test_conversation_write_key(tw_test_conversation *conversation, const char *key,
                                    const char *value) {
    char body[MAX_LINE], *answer_body;
    snprintf(body, sizeof body, "{\"if\":[],\"apply\":[{\"write\":\"%s\",\"data\":%s}]}", key,
             value);
    if (tw_simulator_state_request(&conversation->world.state, conversation->now, "POST", "/txn",
                                   body, &answer_body) != TW_SIMULATOR_OK)
        abort();
    free(answer_body);
}

void tw_test_conversation_print_record(const tw_test_conversation *conversation, const char *key) {
    const char *value = tw_simulator_state_value(&conversation->world.state, key);
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

void tw_test_conversation_start_node(tw_test_conversation *conversation, const char *program) {
    char error[TW_SIMULATOR_MESSAGE_SIZE];
    const tw_simulator_controller_options start = {
        .settings = settings, .seed = SEED, .clock = clock_of(conversation)};
    conversation->controller =
        program ? tw_simulator_new_remote_controller(program, &start, error, sizeof error)
                : tw_simulator_new_local_controller(&start, error, sizeof error);
    if (conversation->controller) {
        process_effects(conversation);
        return;
    }
    printf("%s\n", error);
    exit(1);
}

void tw_test_conversation_init(tw_test_conversation *conversation) {
    tw_simulator_world *world = &conversation->world;
    tw_simulator_world_init(world);
    world->type_count = 1;
    world->types[0] = (tw_wire_machine_type){.name = "cpu",
                                             .cores = 16,
                                             .memory_gb = 64,
                                             .cache_gb = 200,
                                             .fetch_gb_s = 1,
                                             .on_demand_price = 1,
                                             .spot_price = 1,
                                             .startup_s = 20,
                                             .zone_count = 1,
                                             .zones = {"a"}};
    tw_simulator_worker *machine = tw_simulator_add_machine(world, 0, "a", 0, 0);
    machine->up = 1;
    world->is_out_of_capacity = 1;
    world->state.write_tokens = world->state.limits.write_rps;
}

void tw_test_conversation_free(tw_test_conversation *conversation) {
    conversation->controller->methods->free(conversation->controller);
    for (int i = 0; i < conversation->pending_call_count; i++) {
        free(conversation->pending_calls[i].path);
        free(conversation->pending_calls[i].body);
    }
    tw_simulator_world_free(&conversation->world);
}
