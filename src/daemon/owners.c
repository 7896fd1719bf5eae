/* This node as an owner of shards, and the notifications that it queues for other owners while it
 * leads. */
#include "daemon/daemon_int.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- notifications for other owners ---- */

tw_daemon_owner_notifications *tw_daemon_notifications_of(tw_daemon_node *node, const char *owner) {
    tw_daemon_owner_notifications *found;
    HASH_FIND_STR(node->notifications, owner, found);
    if (found) return found;
    found = tw_daemon_alloc(sizeof *found);
    snprintf(found->owner, sizeof found->owner, "%s", owner);
    found->notifications =
        tw_daemon_alloc(sizeof *found->notifications * TW_DAEMON_MAX_NOTIFICATIONS);
    HASH_ADD_STR(node->notifications, owner, found);
    return found;
}

void tw_daemon_queue_notification(tw_daemon_node *node,
                                  const tw_shards_notification *notification) {
    tw_daemon_owner_notifications *queued = tw_daemon_notifications_of(node, notification->owner);
    for (int i = 0; i < queued->count; i++) {
        if (strcmp(queued->notifications[i].machine, notification->machine) != 0) continue;
        queued->notifications[i] = *notification; /* the later one replaces the earlier one */
        return;
    }
    if (queued->count < TW_DAEMON_MAX_NOTIFICATIONS)
        queued->notifications[queued->count++] = *notification;
}

void tw_daemon_free_notifications(tw_daemon_node *node) {
    tw_daemon_owner_notifications *each;
    tw_daemon_owner_notifications *next;
    HASH_ITER(hh, node->notifications, each, next) {
        HASH_DEL(node->notifications, each);
        free(each->notifications);
        free(each);
    }
}

/* ---- effects of the owner ---- */

/* Passes an owner's message to this node's own table if this node decides, and otherwise queues it
 * for the next report to the leader. */
static void send_to_leader(tw_daemon_node *node, const tw_shards_owner_effect *effect) {
    if (tw_standby_decides(node->standby, tw_daemon_steady_s())) {
        const char *owner = node->settings->name;
        if (effect->kind == TW_SHARDS_OWNER_SYNC)
            tw_shards_send_owner_states(node->shards, owner);
        else if (effect->kind == TW_SHARDS_OWNER_DRAINED)
            tw_shards_report_drained(node->shards, owner, effect->machine, effect->epoch);
        else
            tw_shards_report_opened(node->shards, owner, effect->machine, effect->epoch);
        return;
    }
    if (node->message_count == TW_DAEMON_MAX_NOTIFICATIONS)
        return; /* the queue is full: the owner repeats the message later */
    tw_rpc_message *message = &node->messages[node->message_count++];
    message->kind = effect->kind;
    message->epoch = effect->epoch;
    snprintf(message->machine, sizeof message->machine, "%s", effect->machine);
}

void tw_daemon_process_owner_effects(tw_daemon_node *node) {
    tw_shards_owner_effect *effect;
    while ((effect = tw_shards_owner_next_effect(node->owner))) {
        switch (effect->kind) {
        case TW_SHARDS_OWNER_OPEN:
            tw_daemon_send_command(node, TW_DAEMON_CALL_OPEN, "/open", effect);
            break;
        case TW_SHARDS_OWNER_STOP:
            tw_daemon_send_command(node, TW_DAEMON_CALL_OTHER, "/stop", effect);
            break;
        default:
            send_to_leader(node, effect);
        }
        free(effect);
    }
}

void tw_daemon_send_report(tw_daemon_node *node) {
    const char *leader = tw_standby_active_address(node->standby);
    const bool leads_itself = !strcmp(leader, node->settings->control);
    if (leads_itself || !leader[0] || !tw_reporter_is_idle(node->reporter)) return;
    tw_rpc_message *messages =
        tw_daemon_alloc(sizeof *messages * ((size_t)node->message_count + 1));
    memcpy(messages, node->messages, sizeof *messages * (size_t)node->message_count);
    const tw_standby_position position = tw_standby_position_of(node->standby);
    tw_reporter_send(node->reporter, leader, &position, messages, node->message_count);
    node->message_count = 0;
}

void tw_daemon_handle_report_answer(tw_daemon_node *node) {
    tw_rpc_answer answer;
    if (!tw_reporter_take_answer(node->reporter, &answer)) return;
    for (int i = 0; i < answer.notification_count; i++)
        tw_shards_owner_handle_notification(node->owner, tw_daemon_steady_s(),
                                            &answer.notifications[i]);
    tw_rpc_answer_free(&answer);
    tw_daemon_process_owner_effects(node);
}
