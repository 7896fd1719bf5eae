/* Until when this node, or another one, may command and answer workers. Authority to command ends
 * before the leader's lease in the state service can; renewing workers' leases without it goes on
 * for a bounded time, which a successor waits out. The argument is in docs/design.md. */
#include "cluster/cluster_int.h"
#include <stdbool.h>

/* Share of `margin_ratio` that is kept back where a cancellation must be over by `cancel_s`. */
#define CANCEL_MARGIN 0.4

bool tw_cluster_has_authority(const tw_cluster *cluster) {
    return cluster->role == TW_ROLE_LEADER && cluster->context->now < cluster->authority_until;
}

bool tw_cluster_may(const tw_cluster *cluster, tw_permission right) {
    return tw_cluster_has_authority(cluster) ||
           (right == TW_PERMISSION_RENEW && tw_cluster_renews_without_authority(cluster));
}

double tw_cluster_renewal_without_authority_s(const tw_cluster *cluster) {
    return cluster->context->config->tune.hold_ratio * cluster->context->config->lease_s;
}

/* A job cancelled at another node must be gone cancel_s later, even where nobody can say so: by its
 * machine's lease. So whoever cannot exclude that another leads answers for this long at most. */
double tw_cluster_renewal_if_superseded_s(const tw_cluster *cluster) {
    const tw_config *settings = cluster->context->config;
    const double lease_by_any_clock =
        settings->lease_s *
        (1 + CANCEL_MARGIN * settings->tune.margin_ratio + 2 * settings->tune.drift);
    return fmax(0, fmin(settings->cancel_s - lease_by_any_clock,
                        tw_cluster_renewal_without_authority_s(cluster)));
}

/* How long a node may answer workers, by its own last authority or the leader's last grant, without
 * hearing more. Longer than tw_cluster_renewal_if_superseded_s: a cancellation is told only once
 * all who may answer without us for longer know of it (tw_cancellation_safety). */
double tw_cluster_renewal_without_contact_s(const tw_cluster *cluster) {
    return fmin(tw_cluster_renewal_without_authority_s(cluster),
                tw_cluster_renewal_if_superseded_s(cluster) + cluster->context->config->lease_s);
}

/* Until when surely no other node had led: when all of them last said that they know of no token
 * later than ours (see vouch). */
static double sole_leader_until(const tw_cluster *cluster) {
    double until = INFINITY;
    for (size_t i = 0; i < cluster->peer_count; i++)
        until = fmin(until, cluster->peers[i].vouched_at);
    return until;
}

/* Without the state service nobody can tell an outage from being cut off alone. Renewing the
 * workers' leases under the old token goes on for a bounded time; a successor waits that time out
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

/* Until when some earlier leader may have answered a worker that has not seen our token. */
double tw_cluster_predecessor_renewals_end(const tw_cluster *cluster) {
    if (cluster->peers_confirmed_at > 0) return cluster->peers_confirmed_at;
    /* From our acquisition on it can't hear from all nodes that none leads. */
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
