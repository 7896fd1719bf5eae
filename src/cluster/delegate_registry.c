/* The lease delegates as known to the leader, from their keys in the state service.
 *
 * Each write of the leader compares the revisions of these keys with the known ones. It can
 * therefore not act on the expiry of a lease that an unknown delegate has renewed. */
#include "cluster/cluster_int.h"

/* Pause between two reads of the keys while some node may be a delegate, as a share of a worker's
 * lease. */
#define READ_PAUSE_LEASES 0.1
#define CALL_TIMEOUT_S 1.0

/* ---- the fence ---- */

tw_wire_compare tw_cluster_leader_compare(const tw_cluster *cluster) {
    return (tw_wire_compare){TW_LEADER_KEY, cluster->token};
}

size_t tw_cluster_fence_size(const tw_cluster *cluster) { return cluster->peer_count + 1; }

size_t tw_cluster_fence(const tw_cluster *cluster, tw_wire_compare *compares,
                        char (*keys)[TW_DELEGATE_KEY_SIZE]) {
    size_t count = 0;
    compares[count++] = tw_cluster_leader_compare(cluster);
    for (size_t i = 0; i < cluster->peer_count; i++) {
        const tw_peer *peer = &cluster->peers[i];
        tw_cluster_delegate_key(keys[i], peer->config.name);
        compares[count++] = (tw_wire_compare){keys[i], peer->delegate_revision};
    }
    return count;
}

/* ---- known keys, and expiry of leases ---- */

bool tw_cluster_delegates_known(const tw_cluster *cluster) { return cluster->delegates_known; }

double tw_cluster_delegates_checked_at(const tw_cluster *cluster) {
    return cluster->delegates_checked_at;
}

void tw_cluster_delegates_confirmed(tw_cluster *cluster, double sent_at) {
    if (sent_at > cluster->delegates_checked_at) cluster->delegates_checked_at = sent_at;
}

void tw_cluster_note_lease_expiry(tw_cluster *cluster) {
    cluster->expiry_decided_at = cluster->context->now;
}

double tw_cluster_delegates_may_answer_until(const tw_cluster *cluster, const char *zone) {
    double until = 0;
    for (size_t i = 0; i < cluster->peer_count; i++) {
        const tw_peer *peer = &cluster->peers[i];
        if (*zone && strcmp(zone, peer->config.zone) != 0) continue;
        if (peer->delegate_until > until) until = peer->delegate_until;
    }
    return until;
}

double tw_cluster_lease_expires_at(const tw_cluster *cluster, const char *zone, double renewed_at,
                                   double lease_s) {
    double expires_at = renewed_at + lease_s;
    /* A peer of the zone may have renewed the lease by delegation while it could not reach this
     * node. The peer reports when it last answered a worker, which bounds the renewals if the
     * report was made after a lease renewed at that time had expired. Otherwise the peer may have
     * renewed the lease until the end of its delegation. */
    for (size_t i = 0; i < cluster->peer_count; i++) {
        const tw_peer *peer = &cluster->peers[i];
        if (peer->delegation_until <= 0) continue;
        if (*zone && strcmp(zone, peer->config.zone) != 0) continue;
        const double reported_expiry = fmax(renewed_at, peer->delegate_answered_at) + lease_s;
        const double delegation_expiry = fmax(renewed_at, peer->delegation_until) + lease_s;
        const bool is_report_late_enough = reported_expiry < peer->delegate_answered_as_of;
        expires_at = fmax(expires_at, is_report_late_enough ? reported_expiry : delegation_expiry);
    }
    return expires_at;
}

/* ---- reading the keys ---- */

void tw_cluster_read_delegates(tw_cluster *cluster) {
    if (cluster->delegates_read_in_flight) return;
    cluster->delegates_read_in_flight = true;
    tw_call_send(cluster->context, TW_CALL_READ_DELEGATE_KEYS, TW_TO_STATE,
                 cluster->context->config->state, "GET", "/kv?starts=" TW_DELEGATE_KEY "&most=100",
                 NULL, CALL_TIMEOUT_S);
}

void tw_cluster_reset_registry(tw_cluster *cluster) {
    cluster->delegates_read_in_flight = false;
    cluster->delegates_known = false;
    cluster->delegates_checked_at = 0;
    cluster->expiry_decided_at = 0;
    cluster->next_delegates_read_at = 0;
    for (size_t i = 0; i < cluster->peer_count; i++) cluster->peers[i].delegate_revision = 0;
    tw_cluster_read_delegates(cluster);
}

/* Records the delegate key of a peer. Returns whether its revision is newer than the known one. */
static bool note_key(tw_cluster *cluster, const tw_wire_entry *entry) {
    const size_t prefix = sizeof TW_DELEGATE_KEY - 1;
    if (strlen(entry->key) <= prefix) return false;
    tw_peer *peer = tw_cluster_find_peer(cluster, entry->key + prefix);
    if (!peer || peer->delegate_revision >= entry->mod_revision) return false;
    peer->delegate_revision = entry->mod_revision;
    /* The permission lasts no longer than if the key had been written now. Delegations of earlier
     * terms are bounded by tw_cluster_predecessor_renewals_end. */
    peer->delegate_until =
        cluster->context->now +
        tw_cluster_delegate_lease_s(cluster) * (1 + 2 * cluster->context->config->tune.drift);
    return true;
}

void tw_cluster_registry_page(tw_cluster *cluster, const tw_call *sent, int status,
                              const char *body, size_t len) {
    tw_wire_entry *entries;
    int count, more;
    bool any_newer = false;
    cluster->delegates_read_in_flight = false;
    if (status != TW_HTTP_OK || tw_wire_entries_parse(&entries, &count, &more, body, len)) return;
    for (int i = 0; i < count; i++) any_newer |= note_key(cluster, &entries[i]);
    tw_wire_entries_free(entries, count);
    if (any_newer && cluster->delegates_known &&
        cluster->expiry_decided_at > cluster->delegates_checked_at) {
        /* A lease was considered expired although an unknown delegate may have renewed it.
         * The decisions that followed from it can't be identified, so the term ends, and the next
         * one starts from the records. */
        tw_cluster_step_down(cluster, "an unseen delegate");
        return;
    }
    cluster->delegates_checked_at = sent->sent_at;
    cluster->delegates_known = true;
}

/* Returns whether the peer may be answering workers without contact to this node. */
static bool may_be_delegate(const tw_cluster *cluster, const tw_peer *peer) {
    const double now = cluster->context->now;
    return peer->answered_at < now - 1 - 0.5 * cluster->lease_s || peer->delegate_until > now;
}

void tw_cluster_registry_tick(tw_cluster *cluster) {
    bool due = !cluster->delegates_known;
    for (size_t i = 0; i < cluster->peer_count; i++)
        due |= may_be_delegate(cluster, &cluster->peers[i]);
    if (!due || cluster->context->now < cluster->next_delegates_read_at) return;
    cluster->next_delegates_read_at =
        cluster->context->now + READ_PAUSE_LEASES * cluster->context->config->lease_s;
    tw_cluster_read_delegates(cluster);
}
