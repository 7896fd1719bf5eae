/* Calls of clients and of other owners, and the effects that answer them. Authority is checked at
 * the time of each answer, since a process that was suspended may receive calls before its next
 * tick, when it is no longer the leader and its table is outdated. */
#include "daemon/daemon_int.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void fill_leader(tw_daemon_node *node, tw_rpc_answer *answer) {
    tw_standby_leader(node->standby, tw_daemon_steady_s(), answer->leader, &answer->retry_after_s);
}

void tw_daemon_answer_client(tw_daemon_node *node, const tw_shards_effect *effect) {
    tw_rpc_answer answer = {.verdict = effect->verdict,
                            .revision = effect->revision,
                            .minimum_epoch = effect->minimum_epoch,
                            .progress = effect->progress};
    if (effect->verdict == TW_SHARDS_NOT_LEADER) fill_leader(node, &answer);
    tw_rpc_answer_call(node->server, effect->id, &answer);
}

/* ---- calls of clients ---- */

static void answer_show(tw_daemon_node *node, const tw_rpc_call *call) {
    const bool ready = tw_standby_decides(node->standby, tw_daemon_steady_s());
    const int shard_count = ready ? tw_shards_shard_count(node->shards) : 0;
    const int machine_count =
        ready && call->show_machines ? tw_shards_machine_count(node->shards) : 0;
    tw_rpc_answer answer = {.verdict = ready ? TW_SHARDS_OK : TW_SHARDS_NOT_LEADER,
                            .revision = ready ? tw_shards_revision(node->shards) : 0};
    fill_leader(node, &answer);
    answer.shards = tw_daemon_alloc(sizeof *answer.shards * (size_t)shard_count);
    answer.notifications = tw_daemon_alloc(sizeof *answer.notifications * (size_t)machine_count);
    for (int i = 0; i < shard_count; i++)
        answer.shards[answer.shard_count++] = tw_shards_shard_at(node->shards, i);
    for (int i = 0; i < machine_count; i++) {
        const tw_shards_notification machine = tw_shards_machine_at(node->shards, i);
        if (machine.state != TW_SHARDS_ABSENT)
            answer.notifications[answer.notification_count++] = machine;
    }
    tw_rpc_answer_call(node->server, call->id, &answer);
    tw_rpc_answer_free(&answer);
}

static void handle_owner_report(tw_daemon_node *node, const tw_rpc_call *call) {
    const bool decides = tw_standby_decides(node->standby, tw_daemon_steady_s());
    tw_rpc_answer answer = {.verdict = decides ? TW_SHARDS_OK : TW_SHARDS_NOT_LEADER};
    tw_standby_update_follower(node->standby, tw_daemon_steady_s(), call->owner,
                               call->position.term, call->position.number);
    for (int i = 0; i < call->message_count && decides; i++) {
        const tw_rpc_message *message = &call->messages[i];
        if (message->kind == TW_SHARDS_OWNER_SYNC)
            tw_shards_send_owner_states(node->shards, call->owner);
        else if (message->kind == TW_SHARDS_OWNER_DRAINED)
            tw_shards_report_drained(node->shards, call->owner, message->machine, message->epoch);
        else
            tw_shards_report_opened(node->shards, call->owner, message->machine, message->epoch);
    }
    tw_daemon_process_effects(node);
    /* All queued notifications are of the present term, since the queues are freed at its end. */
    tw_daemon_owner_notifications *queued =
        decides ? tw_daemon_notifications_of(node, call->owner) : NULL;
    answer.notifications = queued ? queued->notifications : NULL;
    answer.notification_count = queued ? queued->count : 0;
    tw_rpc_answer_call(node->server, call->id, &answer);
    if (queued)
        queued->count = 0; /* if the answer is lost, the owner gets them again by its next SYNC */
}

static void answer_follower(tw_daemon_node *node, const tw_rpc_call *call) {
    tw_rpc_answer answer = {
        .message = tw_standby_build_message(node->standby, tw_daemon_steady_s(), &call->position)};
    tw_rpc_answer_call(node->server, call->id, &answer);
    tw_rpc_answer_free(&answer);
}

static void answer_standby(tw_daemon_node *node, const tw_rpc_call *call) {
    const double now = tw_daemon_steady_s();
    tw_rpc_answer answer = {.status = tw_standby_status_of(node->standby, now)};
    snprintf(answer.node, sizeof answer.node, "%s", node->settings->name);
    fill_leader(node, &answer);
    answer.followers = tw_standby_followers(node->standby, now, &answer.follower_count);
    tw_rpc_answer_call(node->server, call->id, &answer);
    tw_rpc_answer_free(&answer);
}

static void handle_call(tw_daemon_node *node, const tw_rpc_call *call) {
    const double now = tw_daemon_steady_s();
    switch (call->method) {
    case TW_RPC_SHOW:
        answer_show(node, call);
        break;
    case TW_RPC_CHANGE:
        tw_standby_handle_request(node->standby, now, &call->request);
        break;
    case TW_RPC_REPORT:
        handle_owner_report(node, call);
        break;
    case TW_RPC_FOLLOW:
        answer_follower(node, call);
        break;
    case TW_RPC_PROMOTE:
        tw_standby_promote(node->standby, now, call->id, call->owner);
        break;
    case TW_RPC_STANDBY:
        answer_standby(node, call);
        break;
    }
}

void tw_daemon_on_calls(struct ev_loop *loop, ev_async *watcher, int events) {
    tw_daemon_node *node = watcher->data;
    tw_rpc_call call;
    (void)loop;
    (void)events;
    while (tw_rpc_server_next_call(node->server, &call)) {
        handle_call(node, &call);
        tw_rpc_call_free(&call);
    }
    tw_daemon_process_effects(node);
}
