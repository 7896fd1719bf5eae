/* Disruptions of a case beside those of tests/soak: what controllers send to machines is held, one
 * machine hangs, kept copies of reports arrive. */
#include "review.h"
#include <string.h>

#define SESSION_TEXT_SIZE 32
#define KEPT 1000 /* more leaders than any case has */

static void hold_network(const tw_review_action *action) {
    tw_soak *soak = &review.soak;
    tw_review_note("network: from controllers to machines held for %g s", action->run_s);
    for (int node = 0; node < soak->plan.nodes; node++) {
        const tw_soak_cut cut = {.node = node,
                                 .other = TW_SOAK_WORKERS,
                                 .zone = -1,
                                 .from = true,
                                 .held = 1,
                                 .until = soak->world.now + action->run_s};
        tw_soak_add_cut(soak, &cut);
    }
}

static void hang_machine(const tw_review_action *action) {
    tw_simulator_world *world = &review.soak.world;
    if (action->number < 0 || action->number >= world->worker_count) return;
    tw_simulator_worker *worker = world->workers[action->number];
    worker->hung_until = world->now + action->run_s;
    tw_review_note("machine %s hangs for %g s", worker->id, action->run_s);
}

/* The stand-ins of tests/soak deliver copies after so many elections: a copy that is due is set to
 * one, all others wait on. */
static void deliver_copies(const tw_review_action *action) {
    char session[SESSION_TEXT_SIZE];
    int count = 0;
    snprintf(session, sizeof session, "\"shift\":%d,", action->number);
    for (int i = 0; i < review.soak.held_heartbeat_count; i++) {
        tw_soak_held_heartbeat *copy = &review.soak.held_heartbeats[i];
        const bool due = strstr(copy->body, session) != NULL;
        copy->leaders_until_delivery = due ? 1 : KEPT;
        count += due;
    }
    tw_review_note("copies of %d reports of session %d arrive", count, action->number);
    tw_soak_deliver_held_heartbeats(&review.soak);
}

void tw_review_keep_copies(void) {
    for (int i = 0; i < review.soak.held_heartbeat_count; i++)
        review.soak.held_heartbeats[i].leaders_until_delivery = KEPT;
}

void tw_review_disrupt(const tw_review_action *action) {
    if (action->kind == TW_REVIEW_HOLD) hold_network(action);
    if (action->kind == TW_REVIEW_HANG) hang_machine(action);
    if (action->kind == TW_REVIEW_COPIES) deliver_copies(action);
}
