/* Permissions of this node, and bounds on how long other nodes may answer workers. The authority to
 * command ends before the leader's lease in the state service can expire. Renewal without authority
 * continues for a bounded time, for which the next leader waits. See docs/design.md. */
#include "cluster/cluster_int.h"

/* Share of the setting margin_ratio that the bound for cancellations (cancel_s) includes. */
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

/* The tasks of a job that is cancelled at another node must have ended cancel_s later. If no node
 * can send their machines a stop command, the expiry of the machines' leases ends them. A node that
 * can't exclude that another node leads therefore stops answering workers after this time. */
double tw_cluster_renewal_if_superseded_s(const tw_cluster *cluster) {
    const tw_config *settings = cluster->context->config;
    const double lease_by_any_clock =
        settings->lease_s *
        (1 + CANCEL_MARGIN * settings->tune.margin_ratio + 2 * settings->tune.drift);
    return fmax(0, fmin(settings->cancel_s - lease_by_any_clock,
                        tw_cluster_renewal_without_authority_s(cluster)));
}

/* The result may be greater than tw_cluster_renewal_if_superseded_s. A cancellation is therefore
 * confirmed only after every node that may answer its machines for longer than
 * tw_cluster_renewal_if_superseded_s knows of it (tw_cluster_cancellation_safety). */
double tw_cluster_renewal_without_contact_s(const tw_cluster *cluster) {
    return fmin(tw_cluster_renewal_without_authority_s(cluster),
                tw_cluster_renewal_if_superseded_s(cluster) + cluster->context->config->lease_s);
}

/* Returns the time until which no other node can have led, according to the answers of all peers
 * (note_not_leading in peer_heartbeat.c). */
static double sole_leader_until(const tw_cluster *cluster) {
    double until = INFINITY;
    for (size_t i = 0; i < cluster->peer_count; i++)
        until = fmin(until, cluster->peers[i].not_leading_until);
    return until;
}

/* A leader that can't reach the state service can't distinguish an outage of the service from its
 * own isolation. It continues to renew workers' leases under its token for a bounded time. The next
 * leader waits for that time before it considers the tasks of an unresponsive machine ended
 * (tw_cluster_predecessor_renewals_end). */
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
    /* An earlier leader renews leases for a limited time after all its peers last answered that
     * they had not led. This node has given no such answer since it acquired the key. */
    return cluster->term_began_at + tw_cluster_renewal_without_contact_s(cluster) *
                                        (1 + 2 * cluster->context->config->tune.drift);
}

void tw_cluster_log_permissions(tw_cluster *cluster) {
    const bool commands = tw_cluster_may(cluster, TW_PERMISSION_COMMAND);
    const bool renews = tw_cluster_may(cluster, TW_PERMISSION_RENEW);
    const unsigned long long token = cluster->token;
    if (cluster->role == TW_ROLE_LEADER && cluster->logged_may_command && !commands)
        tw_log_info("event=authority_expired token=%llu led_s=%.2f over_since_s=%.3f renews=%d",
                    token, cluster->context->now - cluster->term_began_at,
                    cluster->context->now - cluster->authority_until, renews);
    if (cluster->role == TW_ROLE_LEADER && cluster->logged_may_renew && !renews)
        tw_log_info("event=lease_renewals_ended token=%llu without_authority_s=%.2f", token,
                    cluster->context->now - cluster->authority_until);
    cluster->logged_may_command = commands;
    cluster->logged_may_renew = renews;
}
