/* Simulated machines: they handle the orders of owners and run user requests. */
#include "shards_world.h"
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* Sends the result of a request to the node that sent it; status 0: the connection broke. */
static void send_dispatch_result(tw_world *world, const tw_world_running_request *served,
                                 int machine_index, int status) {
    tw_world_event *sent = tw_world_add_event(
        world, tw_world_draw_uniform(world, MESSAGE_DELAY_MIN_S, MESSAGE_DELAY_MAX_S),
        TW_WORLD_DISPATCH_RESULT);
    sent->node = served->node;
    sent->incarnation = served->incarnation;
    sent->machine = machine_index;
    sent->number = served->request;
    sent->attempt = served->attempt;
    sent->epoch = served->epoch;
    sent->status = status;
}

void tw_world_end_running(tw_world *world, int machine_index, int status) {
    tw_world_machine *machine = &world->machines[machine_index];
    for (int i = 0; i < machine->running_count; i++)
        send_dispatch_result(world, &machine->running[i], machine_index, status);
    world->ended_early += machine->running_count;
    machine->running_count = 0;
    machine->incarnation++; /* invalidates the scheduled completions */
}

int tw_world_accept_order(tw_world *world, int machine_index, uint64_t term,
                          tw_shards_guard_verdict verdict) {
    tw_world_machine *machine = &world->machines[machine_index];
    if (verdict != TW_SHARDS_GUARD_RAISED && verdict != TW_SHARDS_GUARD_REPEATED) return 0;
    tw_judge_order(world, machine_index, term);
    machine->judged_term = term;
    return 1;
}

/* Injected fault `term`: the machine accepts orders of any term. */
static void apply_term_fault(const tw_world *world, tw_world_machine *machine) {
    if (world->plant_term) machine->guard.term = 0;
}

void tw_world_handle_open(tw_world *world, const tw_world_event *order) {
    tw_world_machine *machine = &world->machines[order->machine];
    if (!machine->alive || !machine->registered) return;
    apply_term_fault(world, machine);
    const tw_shards_guard_verdict verdict =
        tw_shards_guard_open_epoch(&machine->guard, order->term, order->epoch);
    if (!tw_world_accept_order(world, order->machine, order->term, verdict)) return;
    if (verdict == TW_SHARDS_GUARD_RAISED)
        tw_world_end_running(world, order->machine, HTTP_CONFLICT);
    if (order->epoch < machine->judged_epoch)
        tw_world_fail(world, "machine %s confirms epoch %lu after epoch %lu", machine->name,
                      (unsigned long)order->epoch, (unsigned long)machine->judged_epoch);
    machine->judged_epoch = order->epoch;
    tw_world_event *sent = tw_world_send_message(world, TW_WORLD_OPEN_CONFIRMED);
    if (!sent) return;
    sent->node = order->node;
    sent->incarnation = order->incarnation;
    sent->epoch = order->epoch;
    sent->text = tw_world_copy_text(machine->name);
}

void tw_world_handle_dispatch(tw_world *world, const tw_world_event *order) {
    tw_world_machine *machine = &world->machines[order->machine];
    const tw_world_running_request request = {.request = order->number,
                                              .attempt = order->attempt,
                                              .node = order->node,
                                              .incarnation = order->incarnation,
                                              .epoch = order->epoch};
    const bool accepts = tw_shards_guard_accepts(&machine->guard, order->epoch) || world->plant_old;
    if (!machine->alive || !accepts) {
        world->refused += machine->alive;
        send_dispatch_result(world, &request, order->machine, HTTP_BAD_REQUEST);
        return;
    }
    tw_judge_request_start(world, order->node, order->machine, order->epoch);
    machine->running =
        realloc(machine->running, sizeof *machine->running * (size_t)(machine->running_count + 1));
    if (!machine->running) abort();
    machine->running[machine->running_count++] = request;
    const double service_s = world->loads[world->requests[order->number].load].service_s;
    tw_world_event *finish = tw_world_add_event(world, service_s, TW_WORLD_REQUEST_FINISH);
    finish->machine = order->machine;
    finish->number = order->number;
    finish->attempt = order->attempt;
    finish->incarnation = machine->incarnation;
}

void tw_world_handle_finish(tw_world *world, const tw_world_event *due) {
    tw_world_machine *machine = &world->machines[due->machine];
    if (machine->incarnation != due->incarnation) return;
    for (int i = 0; i < machine->running_count; i++) {
        if (machine->running[i].request != due->number ||
            machine->running[i].attempt != due->attempt)
            continue;
        world->completed++;
        world->requests[due->number].completions++;
        send_dispatch_result(world, &machine->running[i], due->machine, HTTP_OK);
        machine->running[i] = machine->running[--machine->running_count];
        return;
    }
}

void tw_world_handle_stop(tw_world *world, const tw_world_event *order) {
    tw_world_machine *machine = &world->machines[order->machine];
    apply_term_fault(world, machine);
    const tw_shards_guard_verdict verdict =
        tw_shards_guard_check_stop(&machine->guard, order->term, order->epoch);
    if (!tw_world_accept_order(world, order->machine, order->term, verdict)) return;
    if (machine->running_count && machine->running[0].epoch == order->epoch)
        tw_world_end_running(world, order->machine, HTTP_CONFLICT);
}
