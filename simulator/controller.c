/* A controller that is a core in this process. */
#include "controller.h"
#include "world.h"
#include <stdlib.h>
#include <string.h>

typedef struct {
    tw_simulator_controller base;
    tw_config conf;
    tw_core *core;
} local_controller;

static tw_core *core_of(const tw_simulator_controller *controller) {
    return ((const local_controller *)controller)->core;
}

/* A broken invariant is a fault of the core, whether or not a rule breaks by it. */
static void check(tw_simulator_controller *controller) {
    if (tw_core_broken_invariants(core_of(controller)))
        controller->failure = "an invariant was broken, see event=invariant_broken";
}

static void request(tw_simulator_controller *controller, tw_simulator_clock clock, int port,
                    uint64_t connection, const char *method, const char *path, const char *body) {
    tw_core_request(core_of(controller), clock.steady, clock.wall, port, connection, method, path,
                    body, strlen(body));
    check(controller);
}

static void response(tw_simulator_controller *controller, tw_simulator_clock clock, uint64_t call,
                     int status, const char *body) {
    tw_core_response(core_of(controller), clock.steady, clock.wall, call, status, body,
                     strlen(body));
    check(controller);
}

static void tick(tw_simulator_controller *controller, tw_simulator_clock clock) {
    tw_core_tick(core_of(controller), clock.steady, clock.wall);
    check(controller);
}

static tw_effect *next(tw_simulator_controller *controller) {
    return tw_core_next_effect(core_of(controller));
}

static uint64_t steps(const tw_simulator_controller *controller) {
    return tw_core_pass_steps(core_of(controller));
}

static double tick_s(const tw_simulator_controller *controller) {
    return tw_core_tick_s(core_of(controller));
}

static void end(tw_simulator_controller *controller) {
    local_controller *local = (local_controller *)controller;
    tw_core_free(local->core);
    tw_config_free(&local->conf);
    free(local);
}

static const tw_simulator_controller_methods local_methods = {.request = request,
                                                              .response = response,
                                                              .tick = tick,
                                                              .next = next,
                                                              .steps = steps,
                                                              .tick_s = tick_s,
                                                              .free = end};

tw_simulator_controller *tw_simulator_controller_local(const tw_simulator_controller_start *start,
                                                       char *error, size_t error_size) {
    local_controller *local = tw_simulator_allocate(sizeof *local);
    local->base.methods = &local_methods;
    if (tw_config_parse(&local->conf, start->settings, error, error_size)) {
        free(local);
        return NULL;
    }
    if (start->mem_mb > 0) local->conf.mem_mb = start->mem_mb;
    local->core = tw_core_new(&local->conf, start->seed, start->clock.steady, start->clock.wall);
    return &local->base;
}
