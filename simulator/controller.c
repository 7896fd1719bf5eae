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

static tw_core *local_core(const tw_simulator_controller *controller) {
    return ((const local_controller *)controller)->core;
}

/* A broken invariant counts as a failure of the core, even if it violates no rule of the protocol.
 */
static void check_invariants(tw_simulator_controller *controller) {
    if (tw_core_broken_invariants(local_core(controller)))
        controller->failure = "the core broke an invariant, see event=invariant_broken";
}

static void handle_request(tw_simulator_controller *controller, tw_simulator_clock clock, int port,
                           uint64_t connection, const char *method, const char *path,
                           const char *body) {
    tw_core_request(local_core(controller), clock.steady, clock.wall, port, connection, method,
                    path, body, strlen(body));
    check_invariants(controller);
}

static void handle_response(tw_simulator_controller *controller, tw_simulator_clock clock,
                            uint64_t call, int status, const char *body) {
    tw_core_response(local_core(controller), clock.steady, clock.wall, call, status, body,
                     strlen(body));
    check_invariants(controller);
}

static void handle_tick(tw_simulator_controller *controller, tw_simulator_clock clock) {
    tw_core_tick(local_core(controller), clock.steady, clock.wall);
    check_invariants(controller);
}

static tw_effect *next_effect(tw_simulator_controller *controller) {
    return tw_core_next_effect(local_core(controller));
}

static uint64_t pass_steps(const tw_simulator_controller *controller) {
    return tw_core_pass_steps(local_core(controller));
}

static double tick_interval_s(const tw_simulator_controller *controller) {
    return tw_core_tick_s(local_core(controller));
}

static void free_controller(tw_simulator_controller *controller) {
    local_controller *local = (local_controller *)controller;
    tw_core_free(local->core);
    tw_config_free(&local->conf);
    free(local);
}

static const tw_simulator_controller_methods local_methods = {.request = handle_request,
                                                              .response = handle_response,
                                                              .tick = handle_tick,
                                                              .next = next_effect,
                                                              .steps = pass_steps,
                                                              .tick_s = tick_interval_s,
                                                              .free = free_controller};

tw_simulator_controller *
tw_simulator_new_local_controller(const tw_simulator_controller_options *options, char *error,
                                  size_t error_size) {
    local_controller *local = tw_simulator_allocate(sizeof *local);
    local->base.methods = &local_methods;
    if (tw_config_parse(&local->conf, options->settings, error, error_size)) {
        free(local);
        return NULL;
    }
    if (options->mem_mb > 0) local->conf.mem_mb = options->mem_mb;
    local->core =
        tw_core_new(&local->conf, options->seed, options->clock.steady, options->clock.wall);
    return &local->base;
}
