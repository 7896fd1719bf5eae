/* Calls of controllers to the simulated state service, their responses, and faults of both. */
#include "shards_world.h"
#include "log/log.h"
#include "wire/wire.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Runs the commands of the triggers whose text the transaction contains. */
static void fire_triggers(tw_world *world, const char *body) {
    for (int i = 0; i < world->trigger_count; i++) {
        tw_world_trigger *trigger = &world->triggers[i];
        if (trigger->used || world->now < trigger->from || !strstr(body, trigger->text)) continue;
        trigger->used = 1;
        tw_script_command(world, trigger->command);
    }
}

/* Returns 1 and decrements *left if the fault applies to the transaction, else 0. */
static int take_write_fault(int *left, const tw_world *world, const char *body) {
    if (!*left || !strstr(body, world->fault_text)) return 0;
    --*left;
    return 1;
}

static void answer_call(tw_world *world, const tw_world_event *call, int status, char *text) {
    double after = tw_world_draw_uniform(world, MESSAGE_DELAY_MIN_S, MESSAGE_DELAY_MAX_S);
    const bool cut =
        world->lease_s > 0 && tw_elections_is_cut(world, call->node, TW_WORLD_END_STATE);
    if (cut || (!status && world->lease_s > 0)) {
        after = world->lease_s / CALL_TIMEOUTS_PER_LEASE;
        status = 0;
        free(text);
        text = NULL;
    }
    tw_world_event *answer = tw_world_add_event(world, after, TW_WORLD_STATE_RESPONSE);
    answer->node = call->node;
    answer->incarnation = call->incarnation;
    answer->id = call->id;
    answer->flag = call->flag;
    answer->status = status;
    answer->text = text;
}

/* Applies the transaction late_write_s later, without a response. */
static void schedule_late_write(tw_world *world, const tw_world_event *call) {
    tw_world_event *late = tw_world_add_event(world, world->late_write_s, TW_WORLD_STATE_CALL);
    late->node = call->node;
    late->flag = 1;
    late->number = 1; /* the response is discarded */
    late->text = tw_world_copy_text(call->text);
    if (call->path) late->path = tw_world_copy_text(call->path);
}

static void handle_transaction(tw_world *world, const tw_world_event *call) {
    char *answer = NULL;
    if (!call->number && take_write_fault(&world->drop_writes, world, call->text)) {
        answer_call(world, call, 0, NULL);
        return;
    }
    if (!call->number && take_write_fault(&world->late_writes, world, call->text)) {
        schedule_late_write(world, call);
        answer_call(world, call, 0, NULL);
        return;
    }
    const bool lost = !call->number && take_write_fault(&world->lose_answers, world, call->text);
    const int status =
        tw_simulator_state_request(&world->state, world->now, "POST", "/txn", call->text, &answer);
    tw_log_debug("t=%.3f node=%s status=%d txn=%.600s", world->now, world->nodes[call->node].name,
                 status, call->text);
    /* A delayed write of the leader key is refused, since its lease has expired by then. */
    const bool of_lease = strstr(call->text, "\"write\":\"" TW_STANDBY_LEADER_KEY "\"") != NULL;
    if (status == HTTP_BAD_REQUEST && !of_lease)
        tw_world_fail(world, "the state service refuses the transaction: %.150s", call->text);
    if (status == HTTP_OK) {
        world->transactions++;
        world->last_change_s = world->now;
        for (const char *at = call->text; (at = strstr(at, "{\"write\"")); at++) world->changes++;
        tw_judge_records(world);
    }
    if (!call->number) answer_call(world, call, lost ? 0 : status, lost ? NULL : answer);
    if (call->number || lost) free(answer);
    if (status == HTTP_OK) fire_triggers(world, call->text);
}

/* Injected fault `fence`: a standby that reads the leader key gets "not found", and one that writes
 * it gets a success although nothing is written. Returns the status of the forged response, or 0 if
 * the fault does not apply to the call. */
static int forge_fence_response(const tw_world *world, const tw_world_event *call, char **answer) {
    const char *key = TW_STANDBY_LEADER_KEY;
    char text[TEXT_SIZE];
    const uint64_t recorded = tw_simulator_state_version(&world->state, key);
    const bool reads = !strcmp(call->path, "/kv/" TW_STANDBY_LEADER_KEY);
    const bool writes = !strcmp(call->path, "/txn") && strstr(call->text, "\"write\":\"traywalld/");
    const tw_standby *standby = world->nodes[call->node].standby;
    const bool active =
        standby && !strcmp(tw_standby_active_address(standby), world->nodes[call->node].name);
    if (!world->plant_fence || active || !recorded || (!reads && !writes)) return 0;
    snprintf(text, sizeof text, "{\"ledger\":%lu}", (unsigned long)recorded + 1);
    *answer = tw_world_copy_text(text);
    return reads ? HTTP_NOT_FOUND : HTTP_OK;
}

/* Handles a call under elections; its path selects the operation. */
static void handle_call(tw_world *world, const tw_world_event *call) {
    char *answer = NULL;
    const int late = call->number; /* a delayed write; its response is discarded */
    const int skipped = forge_fence_response(world, call, &answer);
    if (!late && tw_elections_is_cut(world, call->node, TW_WORLD_END_STATE)) {
        answer_call(world, call, 0, NULL);
        free(answer);
    } else if (skipped) {
        answer_call(world, call, skipped, answer);
    } else if (!strcmp(call->path, "/txn")) {
        handle_transaction(world, call);
        const uint64_t recorded = tw_simulator_state_version(&world->state, TW_STANDBY_LEADER_KEY);
        world->terms += recorded > world->newest_term;
        if (recorded > world->newest_term) world->term_at = world->now;
        if (recorded > world->newest_term) world->newest_term = recorded;
    } else {
        const int status =
            tw_simulator_state_request(&world->state, world->now, call->method, call->path,
                                       call->text ? call->text : "", &answer);
        tw_log_debug("t=%.3f node=%s %s %s status=%d", world->now, world->nodes[call->node].name,
                     call->method, call->path, status);
        world->state_calls++;
        world->state_bytes += (long)strlen(answer);
        answer_call(world, call, status, answer);
    }
}

void tw_world_handle_state_call(tw_world *world, const tw_world_event *call) {
    char *answer = NULL;
    if (call->path) {
        handle_call(world, call);
        return;
    }
    if (call->flag) {
        handle_transaction(world, call);
        return;
    }
    const int status =
        tw_simulator_state_request(&world->state, world->now, "GET", call->text, "", &answer);
    answer_call(world, call, status, answer);
}

static tw_shards_outcome outcome_of(int status) {
    if (status == HTTP_OK) return TW_SHARDS_APPLIED;
    if (status == HTTP_CONFLICT || status == HTTP_BAD_REQUEST) return TW_SHARDS_REFUSED;
    return status ? TW_SHARDS_NOT_EXECUTED : TW_SHARDS_UNKNOWN;
}

void tw_world_handle_state_response(tw_world *world, const tw_world_event *answer) {
    tw_world_node *node = &world->nodes[answer->node];
    const char *text = answer->text ? answer->text : "";
    uint64_t revision = 0;
    if (node->standby) {
        tw_standby_handle_response(node->standby, tw_elections_steady_clock(world, answer->node),
                                   answer->id, answer->status, text, strlen(text));
        return;
    }
    if (answer->flag) {
        const tw_shards_outcome outcome = outcome_of(answer->status);
        if (outcome == TW_SHARDS_APPLIED) tw_wire_revision_parse(&revision, text, strlen(text));
        /* A node that finds the leader key changed ends its term, as a real controller does. */
        if (outcome == TW_SHARDS_REFUSED &&
            tw_simulator_state_version(&world->state, "leader") != node->fencing_token) {
            node->fencing_token = 0;
            tw_shards_end_term(node->leader);
        }
        tw_shards_handle_outcome(node->leader, world->now, answer->id, outcome, revision);
    } else {
        const bool has = answer->status == HTTP_OK;
        tw_shards_handle_page(node->leader, world->now, answer->id, has ? text : NULL,
                              strlen(text));
    }
}
