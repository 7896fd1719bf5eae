/* Calls of clients and of other owners, and the effects that answer them. Authority is judged by
 * the time at which each answer is given: a process that stood still may be called before its next
 * tick, with a table that is no longer its own. */
#include "daemon/daemon_int.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void name_leader(tw_daemon_node *node, tw_rpc_answer *answer) {
    tw_standby_leader(node->standby, tw_daemon_steady_s(), answer->leader, &answer->retry_after_s);
}

void tw_daemon_answer(tw_daemon_node *node, const tw_shards_effect *effect) {
    tw_rpc_answer answer = {.verdict = effect->verdict,
                            .revision = effect->revision,
                            .minimum_epoch = effect->minimum_epoch,
                            .progress = effect->progress};
    if (effect->verdict == TW_SHARDS_NOT_LEADER) name_leader(node, &answer);
    tw_rpc_answer_call(node->server, effect->id, &answer);
}

/* ---- calls of clients ---- */

static void answer_show(tw_daemon_node *node, const tw_rpc_call *asked) {
    const bool ready = tw_standby_decides(node->standby, tw_daemon_steady_s());
    const int shard_count = ready ? tw_shards_shard_count(node->shards) : 0;
    const int machine_count =
        ready && asked->show_machines ? tw_shards_machine_count(node->shards) : 0;
    tw_rpc_answer answer = {.verdict = ready ? TW_SHARDS_OK : TW_SHARDS_NOT_LEADER,
                            .revision = ready ? tw_shards_revision(node->shards) : 0};
    name_leader(node, &answer);
    answer.shards = tw_daemon_alloc(sizeof *answer.shards * (size_t)shard_count);
    answer.notifications = tw_daemon_alloc(sizeof *answer.notifications * (size_t)machine_count);
    for (int i = 0; i < shard_count; i++)
        answer.shards[answer.shard_count++] = tw_shards_shard_at(node->shards, i);
    for (int i = 0; i < machine_count; i++) {
        const tw_shards_notification machine = tw_shards_machine_at(node->shards, i);
        if (machine.state != TW_SHARDS_ABSENT)
            answer.notifications[answer.notification_count++] = machine;
    }
    tw_rpc_answer_call(node->server, asked->id, &answer);
    tw_rpc_answer_free(&answer);
}

static void take_owner_report(tw_daemon_node *node, const tw_rpc_call *asked) {
    const bool decides = tw_standby_decides(node->standby, tw_daemon_steady_s());
    tw_rpc_answer answer = {.verdict = decides ? TW_SHARDS_OK : TW_SHARDS_NOT_LEADER};
    tw_standby_heard(node->standby, tw_daemon_steady_s(), asked->owner, asked->position.term,
                     asked->position.number);
    for (int i = 0; i < asked->message_count && decides; i++) {
        const tw_rpc_message *message = &asked->messages[i];
        if (message->kind == TW_SHARDS_OWNER_SYNC)
            tw_shards_send_owner_states(node->shards, asked->owner);
        else if (message->kind == TW_SHARDS_OWNER_DRAINED)
            tw_shards_report_drained(node->shards, asked->owner, message->machine, message->epoch);
        else
            tw_shards_report_opened(node->shards, asked->owner, message->machine, message->epoch);
    }
    tw_daemon_settle(node);
    /* What is kept is of the term at hand: it is dropped when the term ends. */
    tw_daemon_owner_notifications *of =
        decides ? tw_daemon_notifications_of(node, asked->owner) : NULL;
    answer.notifications = of ? of->notifications : NULL;
    answer.notification_count = of ? of->count : 0;
    tw_rpc_answer_call(node->server, asked->id, &answer);
    if (of) of->count = 0; /* if the answer is lost, the owner's next SYNC brings them again */
}

static void answer_follower(tw_daemon_node *node, const tw_rpc_call *asked) {
    tw_rpc_answer answer = {
        .message = tw_standby_serve(node->standby, tw_daemon_steady_s(), &asked->position)};
    tw_rpc_answer_call(node->server, asked->id, &answer);
    tw_rpc_answer_free(&answer);
}

static void answer_standby(tw_daemon_node *node, const tw_rpc_call *asked) {
    const double now = tw_daemon_steady_s();
    tw_rpc_answer answer = {.status = tw_standby_status_of(node->standby, now)};
    snprintf(answer.node, sizeof answer.node, "%s", node->settings->name);
    name_leader(node, &answer);
    answer.followers = tw_standby_followers(node->standby, now, &answer.follower_count);
    tw_rpc_answer_call(node->server, asked->id, &answer);
    tw_rpc_answer_free(&answer);
}

static void take_call(tw_daemon_node *node, const tw_rpc_call *asked) {
    const double now = tw_daemon_steady_s();
    switch (asked->method) {
    case TW_RPC_SHOW:
        answer_show(node, asked);
        break;
    case TW_RPC_CHANGE:
        tw_standby_request(node->standby, now, &asked->request);
        break;
    case TW_RPC_REPORT:
        take_owner_report(node, asked);
        break;
    case TW_RPC_FOLLOW:
        answer_follower(node, asked);
        break;
    case TW_RPC_PROMOTE:
        tw_standby_promote(node->standby, now, asked->id, asked->owner);
        break;
    case TW_RPC_STANDBY:
        answer_standby(node, asked);
        break;
    }
}

void tw_daemon_on_called(struct ev_loop *loop, ev_async *watcher, int events) {
    tw_daemon_node *node = watcher->data;
    tw_rpc_call asked;
    (void)loop;
    (void)events;
    while (tw_rpc_server_next(node->server, &asked)) {
        take_call(node, &asked);
        tw_rpc_call_free(&asked);
    }
    tw_daemon_settle(node);
}
