/* An owner of shards: tracks which of its machines may get requests and under which epoch, and
 * sends messages to the leader and to machines. It stores nothing durably; after a restart it
 * requests the states of its machines from the leader. */
#include "shards/shards_int.h"
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* Number of retry_s intervals for which a released machine is remembered, so that a late
 * notification does not restore it under its old epoch. Later notifications do no harm: the
 * machine's guard rejects the old epoch. */
#define RELEASED_RETENTION_RETRIES 100

typedef struct tw_shards_owned_machine {
    char name[TW_SHARDS_NAME];
    uint64_t epoch;
    uint64_t term; /* term of the last notification about the machine */
    tw_shards_state state;
    int running_requests;      /* requests under this epoch that may still run */
    bool all_requests_counted; /* every request since the machine was opened is counted */
    bool confirmed;            /* the machine has confirmed that it is open under this epoch */
    bool stop_sent;            /* a STOP was emitted for this epoch */
    double drain_until;
    double message_sent_at; /* time of the last message or change of state */
    UT_hash_handle hh;
} tw_shards_owned_machine;

struct tw_shards_owner {
    double retry_s, synced_at; /* synced_at: time of the last SYNC */
    uint64_t term;             /* latest term of all notifications */
    bool synced;               /* a SYNC was emitted */
    tw_shards_owned_machine *machines;
    tw_shards_owner_effect *effects, *last_effect;
};

tw_shards_owner *tw_shards_owner_new(double retry_s) {
    tw_shards_owner *owner = tw_shards_alloc(sizeof *owner);
    owner->retry_s = retry_s;
    return owner;
}

void tw_shards_owner_free(tw_shards_owner *owner) {
    tw_shards_owned_machine *each;
    tw_shards_owned_machine *next;
    tw_shards_owner_effect *effect;
    if (!owner) return;
    while ((effect = tw_shards_owner_next_effect(owner))) free(effect);
    HASH_ITER(hh, owner->machines, each, next) {
        HASH_DEL(owner->machines, each);
        free(each);
    }
    free(owner);
}

static void emit_effect(tw_shards_owner *owner, tw_shards_owner_effect_kind kind,
                        const tw_shards_owned_machine *machine) {
    tw_shards_owner_effect *effect = tw_shards_alloc(sizeof *effect);
    effect->kind = kind;
    if (machine) {
        tw_shards_copy_name(effect->machine, machine->name);
        effect->epoch = machine->epoch;
        effect->term = machine->term;
    }
    if (owner->last_effect)
        owner->last_effect->next = effect;
    else
        owner->effects = effect;
    owner->last_effect = effect;
}

tw_shards_owner_effect *tw_shards_owner_next_effect(tw_shards_owner *owner) {
    tw_shards_owner_effect *first = owner->effects;
    if (!first) return NULL;
    owner->effects = first->next;
    if (!owner->effects) owner->last_effect = NULL;
    first->next = NULL;
    return first;
}

static tw_shards_owned_machine *find_machine(const tw_shards_owner *owner, const char *name) {
    tw_shards_owned_machine *found;
    HASH_FIND_STR(owner->machines, name, found);
    return found;
}

/* Emits the message that the machine's state requires. The message is repeated until a
 * notification changes the state. */
static void send_message(tw_shards_owner *owner, double now, tw_shards_owned_machine *machine) {
    machine->message_sent_at = now;
    if (machine->state == TW_SHARDS_TAKEN)
        emit_effect(owner, machine->confirmed ? TW_SHARDS_OWNER_OPENED : TW_SHARDS_OWNER_OPEN,
                    machine);
    if (machine->state == TW_SHARDS_DRAINING && machine->all_requests_counted &&
        !machine->running_requests)
        emit_effect(owner, TW_SHARDS_OWNER_DRAINED, machine);
}

static void remove_machine(tw_shards_owner *owner, tw_shards_owned_machine *machine) {
    HASH_DEL(owner->machines, machine);
    free(machine);
}

static tw_shards_owned_machine *add_machine(tw_shards_owner *owner, const char *name) {
    tw_shards_owned_machine *added = tw_shards_alloc(sizeof *added);
    tw_shards_copy_name(added->name, name);
    HASH_ADD_STR(owner->machines, name, added);
    return added;
}

void tw_shards_owner_handle_notification(tw_shards_owner *owner, double now,
                                         const tw_shards_notification *notification) {
    tw_shards_owned_machine *machine = find_machine(owner, notification->machine);
    /* A deposed leader may still send states of its term. */
    if (notification->term < owner->term) return;
    owner->term = notification->term;
    if (machine &&
        (notification->epoch < machine->epoch ||
         (notification->epoch == machine->epoch && notification->state < machine->state)))
        return; /* the notification is late, or the table of its sender was outdated */
    if (!machine && notification->state == TW_SHARDS_RELEASED) return;
    if (!machine) machine = add_machine(owner, notification->machine);
    if (notification->epoch != machine->epoch) {
        machine->running_requests = 0;
        machine->confirmed = machine->stop_sent = false;
        machine->epoch = notification->epoch;
        /* The machine was open before the owner learned of it: a previous process of this owner
         * may have requests running there, which are not counted. */
        machine->all_requests_counted = notification->state == TW_SHARDS_TAKEN;
    }
    /* An unanswered command is sent again under the new leader's term, because the machine may
     * reject the earlier one. */
    const bool leader_changed =
        machine->term != notification->term && notification->state == TW_SHARDS_TAKEN;
    machine->term = notification->term;
    const bool changed = notification->state != machine->state || leader_changed;
    machine->state = notification->state;
    if (notification->state == TW_SHARDS_DRAINING)
        machine->drain_until = now + notification->drain_s;
    if (changed || machine->state == TW_SHARDS_DRAINING) send_message(owner, now, machine);
    if (changed) machine->message_sent_at = now;
}

void tw_shards_owner_confirm_open(tw_shards_owner *owner, const char *name, uint64_t epoch) {
    tw_shards_owned_machine *machine = find_machine(owner, name);
    if (!machine || machine->epoch != epoch) return;
    machine->confirmed = true;
    if (machine->state == TW_SHARDS_TAKEN) emit_effect(owner, TW_SHARDS_OWNER_OPENED, machine);
}

uint64_t tw_shards_owner_epoch(const tw_shards_owner *owner, const char *name) {
    const tw_shards_owned_machine *machine = find_machine(owner, name);
    return machine && machine->state == TW_SHARDS_OPEN ? machine->epoch : 0;
}

void tw_shards_owner_request_sent(tw_shards_owner *owner, const char *name, uint64_t epoch) {
    tw_shards_owned_machine *machine = find_machine(owner, name);
    if (machine && machine->epoch == epoch) machine->running_requests++;
}

void tw_shards_owner_request_refused(tw_shards_owner *owner, const char *name, uint64_t epoch) {
    tw_shards_owned_machine *machine = find_machine(owner, name);
    if (machine && machine->epoch == epoch) machine->state = TW_SHARDS_RELEASED;
}

void tw_shards_owner_request_ended(tw_shards_owner *owner, const char *name, uint64_t epoch) {
    tw_shards_owned_machine *machine = find_machine(owner, name);
    if (!machine || machine->epoch != epoch || !machine->running_requests) return;
    machine->running_requests--;
    if (machine->state == TW_SHARDS_DRAINING && machine->all_requests_counted &&
        !machine->running_requests)
        emit_effect(owner, TW_SHARDS_OWNER_DRAINED, machine);
}

void tw_shards_owner_tick(tw_shards_owner *owner, double now) {
    tw_shards_owned_machine *machine;
    tw_shards_owned_machine *next;
    if (!owner->synced || now >= owner->synced_at + owner->retry_s) {
        owner->synced = true;
        owner->synced_at = now;
        emit_effect(owner, TW_SHARDS_OWNER_SYNC, NULL);
    }
    HASH_ITER(hh, owner->machines, machine, next) {
        if (machine->state == TW_SHARDS_DRAINING && machine->running_requests &&
            !machine->stop_sent && now >= machine->drain_until) {
            machine->stop_sent = true;
            emit_effect(owner, TW_SHARDS_OWNER_STOP, machine);
        }
        if (machine->state == TW_SHARDS_RELEASED) {
            if (now >= machine->message_sent_at + RELEASED_RETENTION_RETRIES * owner->retry_s)
                remove_machine(owner, machine);
        } else if (now >= machine->message_sent_at + owner->retry_s) {
            send_message(owner, now, machine);
        }
    }
}
