/* This node as an owner of shares, and what the leader has to tell other owners. */
#include "daemon/daemon_int.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- what owners are told ---- */

owner_tells *tw_daemon_tells_of(daemon_node *node, const char *owner) {
    owner_tells *found;
    HASH_FIND_STR(node->tells, owner, found);
    if (found) return found;
    found = tw_daemon_alloc(sizeof *found);
    snprintf(found->owner, sizeof found->owner, "%s", owner);
    found->tells = tw_daemon_alloc(sizeof *found->tells * MOST_TELLS);
    HASH_ADD_STR(node->tells, owner, found);
    return found;
}

void tw_daemon_keep_tell(daemon_node *node, const tw_shards_notification *tell) {
    owner_tells *of = tw_daemon_tells_of(node, tell->owner);
    for (int i = 0; i < of->count; i++) {
        if (strcmp(of->tells[i].machine, tell->machine) != 0) continue;
        of->tells[i] = *tell; /* the later one holds */
        return;
    }
    if (of->count < MOST_TELLS) of->tells[of->count++] = *tell;
}

void tw_daemon_free_tells(daemon_node *node) {
    owner_tells *each;
    owner_tells *after;
    HASH_ITER(hh, node->tells, each, after) {
        HASH_DEL(node->tells, each);
        free(each->tells);
        free(each);
    }
}

/* ---- effects of the owner ---- */

/* Tells the leader, which may be this node. */
static void say(daemon_node *node, const tw_shards_owner_effect *effect) {
    if (tw_standby_decides(node->standby, tw_daemon_steady_s())) {
        const char *owner = node->settings->name;
        if (effect->kind == TW_SHARDS_OWNER_SYNC)
            tw_shards_sync(node->shares, owner);
        else if (effect->kind == TW_SHARDS_OWNER_DRAINED)
            tw_shards_drained(node->shares, owner, effect->machine, effect->epoch);
        else
            tw_shards_opened(node->shares, owner, effect->machine, effect->epoch);
        return;
    }
    if (node->nmessages == MOST_TELLS) return; /* said again later */
    tw_rpc_message *message = &node->messages[node->nmessages++];
    message->kind = effect->kind;
    message->epoch = effect->epoch;
    snprintf(message->machine, sizeof message->machine, "%s", effect->machine);
}

void tw_daemon_take_owner_effects(daemon_node *node) {
    tw_shards_owner_effect *effect;
    while ((effect = tw_shards_owner_next(node->owner))) {
        switch (effect->kind) {
        case TW_SHARDS_OWNER_OPEN:
            tw_daemon_order_machine(node, CALL_OPEN, "/open", effect);
            break;
        case TW_SHARDS_OWNER_STOP:
            tw_daemon_order_machine(node, CALL_OTHER, "/stop", effect);
            break;
        default:
            say(node, effect);
        }
        free(effect);
    }
}

/* Sends what there is to say to another node that leads. */
void tw_daemon_report(daemon_node *node) {
    const char *leader = tw_standby_active(node->standby);
    const bool to_itself = !strcmp(leader, node->settings->control);
    if (to_itself || !leader[0] || !tw_reporter_idle(node->reporter)) return;
    tw_rpc_message *messages = tw_daemon_alloc(sizeof *messages * ((size_t)node->nmessages + 1));
    memcpy(messages, node->messages, sizeof *messages * (size_t)node->nmessages);
    const tw_standby_position position = tw_standby_position_of(node->standby);
    tw_reporter_send(node->reporter, leader, &position, messages, node->nmessages);
    node->nmessages = 0;
}

void tw_daemon_take_report(daemon_node *node) {
    tw_rpc_answer answer;
    if (!tw_reporter_answer(node->reporter, &answer)) return;
    for (int i = 0; i < answer.ntells; i++)
        tw_shards_owner_notified(node->owner, tw_daemon_steady_s(), &answer.tells[i]);
    tw_rpc_answer_free(&answer);
    tw_daemon_take_owner_effects(node);
}
