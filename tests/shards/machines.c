/* Machines: orders of owners, and users' requests that run there. */
#include "shards_world.h"
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* What a machine says of a request to the node that sent it; 0: the connection broke. */
static void answer_work(tw_world *world, const tw_world_served *about, int at, int status) {
    tw_world_event *sent =
        tw_world_add_event(world, tw_world_draw(world, FASTEST_S, SLOWEST_S), TW_WORLD_WORKED);
    sent->node = about->node;
    sent->incarnation = about->incarnation;
    sent->machine = at;
    sent->number = about->request;
    sent->attempt = about->attempt;
    sent->epoch = about->epoch;
    sent->status = status;
}

void tw_world_end_running(tw_world *world, int at, int status) {
    tw_world_machine *ends = &world->machines[at];
    for (int i = 0; i < ends->running_count; i++) answer_work(world, &ends->running[i], at, status);
    world->moved += ends->running_count;
    ends->running_count = 0;
    ends->incarnation++; /* their ends no longer count */
}

int tw_world_order(tw_world *world, int at, uint64_t term, tw_shards_guard_verdict verdict) {
    tw_world_machine *takes = &world->machines[at];
    if (verdict != TW_SHARDS_GUARD_RAISED && verdict != TW_SHARDS_GUARD_REPEATED) return 0;
    tw_judge_order(world, at, term);
    takes->judged_term = term;
    return 1;
}

/* A planted fault: the machine takes any term. */
static void forget_term(const tw_world *world, tw_world_machine *at) {
    if (world->plant_term) at->guard.term = 0;
}

void tw_world_handle_open(tw_world *world, const tw_world_event *order) {
    tw_world_machine *opened = &world->machines[order->machine];
    if (!opened->alive || !opened->registered) return;
    forget_term(world, opened);
    const tw_shards_guard_verdict verdict =
        tw_shards_guard_open_epoch(&opened->guard, order->term, order->epoch);
    if (!tw_world_order(world, order->machine, order->term, verdict)) return;
    if (verdict == TW_SHARDS_GUARD_RAISED) tw_world_end_running(world, order->machine, CONFLICT);
    if (order->epoch < opened->judged_epoch)
        tw_world_fail(world, "%s confirms epoch %lu after %lu", opened->name,
                      (unsigned long)order->epoch, (unsigned long)opened->judged_epoch);
    opened->judged_epoch = order->epoch;
    tw_world_event *sent = tw_world_message(world, TW_WORLD_OPENED);
    if (!sent) return;
    sent->node = order->node;
    sent->incarnation = order->incarnation;
    sent->epoch = order->epoch;
    sent->text = tw_world_copy_text(opened->name);
}

void tw_world_handle_work(tw_world *world, const tw_world_event *order) {
    tw_world_machine *at = &world->machines[order->machine];
    const tw_world_served work = {.request = order->number,
                                  .attempt = order->attempt,
                                  .node = order->node,
                                  .incarnation = order->incarnation,
                                  .epoch = order->epoch};
    const bool accepts = tw_shards_guard_accepts(&at->guard, order->epoch) || world->plant_old;
    if (!at->alive || !accepts) {
        world->refused += at->alive;
        answer_work(world, &work, order->machine, BAD);
        return;
    }
    tw_judge_work(world, order->node, order->machine, order->epoch);
    at->running = realloc(at->running, sizeof *at->running * (size_t)(at->running_count + 1));
    if (!at->running) abort();
    at->running[at->running_count++] = work;
    const double service_s = world->loads[world->requests[order->number].load].service_s;
    tw_world_event *finish = tw_world_add_event(world, service_s, TW_WORLD_FINISH);
    finish->machine = order->machine;
    finish->number = order->number;
    finish->attempt = order->attempt;
    finish->incarnation = at->incarnation;
}

void tw_world_handle_finish(tw_world *world, const tw_world_event *due) {
    tw_world_machine *at = &world->machines[due->machine];
    if (at->incarnation != due->incarnation) return;
    for (int i = 0; i < at->running_count; i++) {
        if (at->running[i].request != due->number || at->running[i].attempt != due->attempt)
            continue;
        world->completed++;
        world->requests[due->number].completions++;
        answer_work(world, &at->running[i], due->machine, OK);
        at->running[i] = at->running[--at->running_count];
        return;
    }
}

void tw_world_handle_stop(tw_world *world, const tw_world_event *order) {
    tw_world_machine *at = &world->machines[order->machine];
    forget_term(world, at);
    const tw_shards_guard_verdict verdict =
        tw_shards_guard_check_stop(&at->guard, order->term, order->epoch);
    if (!tw_world_order(world, order->machine, order->term, verdict)) return;
    if (at->running_count && at->running[0].epoch == order->epoch)
        tw_world_end_running(world, order->machine, CONFLICT);
}
