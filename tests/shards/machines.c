/* Machines: orders of owners, and users' requests that run there. */
#include "shards_world.h"
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

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

int tw_world_order(world *world, int at, uint64_t term, tw_shards_guard_verdict verdict) {
    machine *takes = &world->machines[at];
    if (verdict != TW_SHARDS_GUARD_RAISED && verdict != TW_SHARDS_GUARD_REPEATED) return 0;
    tw_judge_order(world, at, term);
    takes->judged_term = term;
    return 1;
}

/* A planted fault: the machine takes any term. */
static void forget_term(const world *world, machine *at) {
    if (world->plant_term) at->guard.term = 0;
}

void tw_world_handle_open(world *world, const event *order) {
    machine *opened = &world->machines[order->machine];
    if (!opened->alive || !opened->registered) return;
    forget_term(world, opened);
    const tw_shards_guard_verdict verdict =
        tw_shards_guard_open(&opened->guard, order->term, order->epoch);
    if (!tw_world_order(world, order->machine, order->term, verdict)) return;
    if (verdict == TW_SHARDS_GUARD_RAISED) tw_world_end_running(world, order->machine, CONFLICT);
    if (order->epoch < opened->judged_epoch)
        tw_world_fail(world, "%s confirms epoch %lu after %lu", opened->name,
                      (unsigned long)order->epoch, (unsigned long)opened->judged_epoch);
    opened->judged_epoch = order->epoch;
    event *sent = tw_world_message(world, EVENT_OPENED);
    if (!sent) return;
    sent->node = order->node;
    sent->life = order->life;
    sent->epoch = order->epoch;
    sent->text = tw_world_text(opened->name);
}

void tw_world_handle_work(world *world, const event *order) {
    machine *at = &world->machines[order->machine];
    const served work = {.request = order->number,
                         .attempt = order->attempt,
                         .node = order->node,
                         .life = order->life,
                         .epoch = order->epoch};
    const bool accepts = tw_shards_guard_accepts(&at->guard, order->epoch) || world->plant_old;
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

void tw_world_handle_finish(world *world, const event *due) {
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

void tw_world_handle_stop(world *world, const event *order) {
    machine *at = &world->machines[order->machine];
    forget_term(world, at);
    const tw_shards_guard_verdict verdict =
        tw_shards_guard_stop(&at->guard, order->term, order->epoch);
    if (!tw_world_order(world, order->machine, order->term, verdict)) return;
    if (at->nrunning && at->running[0].epoch == order->epoch)
        tw_world_end_running(world, order->machine, CONFLICT);
}
