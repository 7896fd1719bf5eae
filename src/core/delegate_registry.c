/* Deputies as the leader knows them: by their keys in the state service.
 *
 * Every write of the leader is conditioned on these keys being as it knows them, so that it can't
 * act on a lapsed lease that a deputy has renewed unseen. */
#include "core/heartbeat_forwarder.h"
#include <stdbool.h>

/* Between two reads of the keys while some node may be a deputy, in leases. */
#define READ_LEASES 0.1

double tw_delegates_until(const tw_core *core, const char *zone) {
    double until = 0;
    for (size_t i = 0; i < core->peer_count; i++) {
        const tw_peer *node = &core->peers[i];
        if (node->delegate_until > until && (!*zone || !strcmp(zone, node->config.zone)))
            until = node->delegate_until;
    }
    return until;
}

int tw_delegates_compares(const tw_core *core, tw_wire_compare *compares,
                          char (*keys)[TW_DELEGATE_KEY_SIZE]) {
    int count = 0;
    for (size_t i = 0; i < core->peer_count; i++) {
        tw_delegate_key(keys[count], core->peers[i].config.name);
        compares[count] = (tw_wire_compare){keys[count], core->peers[i].delegate_revision};
        count++;
    }
    return count;
}

void tw_delegates_read(tw_core *core) {
    if (core->delegates_read_in_flight) return;
    core->delegates_read_in_flight = true;
    tw_call_send(&core->context, TW_CALL_READ_DELEGATE_KEYS, TW_TO_STATE,
                 core->context.config->state, "GET", "/kv?starts=" TW_DELEGATE_KEY "&most=100",
                 NULL, 1);
}

/* Takes in a deputy's key; returns whether it is a newer one than is known. */
static bool note_key(tw_core *core, const tw_wire_entry *entry) {
    const size_t prefix = sizeof TW_DELEGATE_KEY - 1;
    tw_peer *node = strlen(entry->key) > prefix ? tw_peer_find(core, entry->key + prefix) : NULL;
    if (!node || node->delegate_revision >= entry->mod_revision) return false;
    node->delegate_revision = entry->mod_revision;
    /* One of an earlier term is covered by tw_predecessor_renewals_end. */
    node->delegate_until =
        core->context.now + tw_delegate_lease_s(core) * (1 + 2 * core->context.config->tune.drift);
    return true;
}

void tw_delegates_page(tw_core *core, tw_call *sent, int status, const char *body, size_t len) {
    tw_wire_entry *entries;
    int count, more;
    bool any_newer = false;
    core->delegates_read_in_flight = false;
    if (status != TW_HTTP_OK || tw_wire_entries_parse(&entries, &count, &more, body, len)) return;
    for (int i = 0; i < count; i++) any_newer |= note_key(core, &entries[i]);
    tw_wire_entries_free(entries, count);
    if (any_newer && core->delegates_known &&
        core->expiry_decided_at > core->delegates_checked_at) {
        /* A lease was taken for lapsed while a deputy we did not know of may have renewed it. What
         * was decided since can't be told apart: the next term starts from the records. */
        tw_leader_step_down(core, "an unseen deputy");
        return;
    }
    core->delegates_checked_at = sent->sent_at;
    core->delegates_known = true;
}

void tw_delegates_tick(tw_core *core) {
    bool away = !core->delegates_known;
    for (size_t i = 0; i < core->peer_count; i++) {
        const tw_peer *node = &core->peers[i];
        away |= node->answered_at < core->context.now - 1 - 0.5 * core->leader_lease_s ||
                node->delegate_until > core->context.now;
    }
    if (!away || core->context.now < core->next_delegates_read_at) return;
    core->next_delegates_read_at = core->context.now + READ_LEASES * core->context.config->lease_s;
    tw_delegates_read(core);
}
