/* What this node may do now, and until when another one may answer workers. Authority to command
 * ends before the leader's lease in the state service can. Renewing workers' leases without
 * authority goes on for a bounded time, which a successor waits out. docs/design.md has the
 * argument. */
#include "cluster/cluster_int.h"

/* Share of `margin_ratio` that is kept back where a cancellation must be over by `cancel_s`. */
#define CANCEL_MARGIN 0.4

bool tw_cluster_has_authority(const tw_cluster *cluster) {
    return cluster->role == TW_ROLE_LEADER && cluster->context->now < cluster->authority_until;
}

bool tw_cluster_may(const tw_cluster *cluster, tw_permission permission) {
    return tw_cluster_has_authority(cluster) ||
           (permission == TW_PERMISSION_RENEW && tw_cluster_renews_without_authority(cluster));
}

double tw_cluster_renewal_without_authority_s(const tw_cluster *cluster) {
    return cluster->context->config->tune.hold_ratio * cluster->context->config->lease_s;
}

/* The tasks of a job that is cancelled at another node must be gone cancel_s later, even where no
 * node can tell their machines: then by the expiry of the machines' leases. A node that can't
 * exclude that another one leads therefore answers workers for this long at most. */
double tw_cluster_renewal_if_superseded_s(const tw_cluster *cluster) {
    const tw_config *settings = cluster->context->config;
    const double lease_by_any_clock =
        settings->lease_s *
        (1 + CANCEL_MARGIN * settings->tune.margin_ratio + 2 * settings->tune.drift);
    return fmax(0, fmin(settings->cancel_s - lease_by_any_clock,
                        tw_cluster_renewal_without_authority_s(cluster)));
}

/* This is longer than tw_cluster_renewal_if_superseded_s. A cancellation is therefore confirmed
 * only once all nodes that may answer its machines for longer know of it
 * (tw_cluster_cancellation_safety). */
double tw_cluster_renewal_without_contact_s(const tw_cluster *cluster) {
    return fmin(tw_cluster_renewal_without_authority_s(cluster),
                tw_cluster_renewal_if_superseded_s(cluster) + cluster->context->config->lease_s);
}

/* Until when certainly no other node had led: when all peers last said that they know of no higher
 * token than this node's (note_vouching in peer_heartbeat.c). */
static double sole_leader_until(const tw_cluster *cluster) {
    double until = INFINITY;
    for (size_t i = 0; i < cluster->peer_count; i++)
        until = fmin(until, cluster->peers[i].vouched_at);
    return until;
}

/* Without the state service a leader can't tell an outage from being cut off alone. It goes on
 * renewing workers' leases under its token for a bounded time; a successor waits that time out
 * before it takes a silent machine's tasks for ended (tw_cluster_predecessor_renewals_end). */
bool tw_cluster_renews_without_authority(const tw_cluster *cluster) {
    if (cluster->role != TW_ROLE_LEADER || cluster->phase != TW_PHASE_ACTIVE ||
        cluster->context->now < cluster->authority_until)
        return false;
    return cluster->context->now <
               cluster->authority_until + tw_cluster_renewal_without_authority_s(cluster) &&
           cluster->context->now < fmax(cluster->authority_until, sole_leader_until(cluster)) +
                                       tw_cluster_renewal_without_contact_s(cluster);
}

double tw_cluster_predecessor_renewals_end(const tw_cluster *cluster) {
    if (cluster->peers_confirmed_at > 0) return cluster->peers_confirmed_at;
    /* Since this node acquired the key, an earlier leader can't hear from all nodes that none
     * leads.
     */
    return cluster->term_began_at + tw_cluster_renewal_without_contact_s(cluster) *
                                        (1 + 2 * cluster->context->config->tune.drift);
}

void tw_cluster_log_permissions(tw_cluster *cluster) {
    const bool commands = tw_cluster_may(cluster, TW_PERMISSION_COMMAND);
    const bool renews = tw_cluster_may(cluster, TW_PERMISSION_RENEW);
    const unsigned long long token = cluster->token;
    if (cluster->role == TW_ROLE_LEADER && cluster->could_command && !commands)
        tw_log_info("event=authority_expired token=%llu led_s=%.2f over_since_s=%.3f renews=%d",
                    token, cluster->context->now - cluster->term_began_at,
                    cluster->context->now - cluster->authority_until, renews);
    if (cluster->role == TW_ROLE_LEADER && cluster->could_renew && !renews)
        tw_log_info("event=lease_renewals_ended token=%llu without_authority_s=%.2f", token,
                    cluster->context->now - cluster->authority_until);
    cluster->could_command = commands;
    cluster->could_renew = renews;
}
