/* The leader's lease in the state service: its renewal, and the end of the term when it can't be
 * renewed. The authority to command ends before the lease can expire: it is counted from the
 * sending of the last successful renewal and shortened by the clock drift and a margin. */
#include "cluster/cluster_int.h"

/* Times as shares of the leader's lease. */
#define AUTHORITY_MARGIN 0.05 /* time by which authority ends before the lease */
#define RENEWAL_INTERVAL 0.25
#define SECOND_RENEWAL_DELAY 0.2 /* until a renewal without a response is sent again */
#define RENEWAL_RETRY 0.1
#define RENEWAL_TIMEOUT 0.4

double tw_cluster_authority_end(const tw_cluster *cluster, double sent_at) {
    return sent_at + cluster->lease_s * (1 - 2 * cluster->context->config->tune.drift) -
           cluster->lease_s * AUTHORITY_MARGIN;
}

static void renew_lease(tw_cluster *cluster) {
    char path[TW_PATH_SIZE];
    snprintf(path, sizeof path, "/grants/%llu/renew", (unsigned long long)cluster->lease_id);
    cluster->renewals_in_flight++;
    cluster->renewal_sent_at = cluster->context->now;
    tw_call_send(cluster->context, TW_CALL_RENEW_LEASE, TW_TO_STATE,
                 cluster->context->config->state, "POST", path, strdup("{}"),
                 cluster->lease_s * RENEWAL_TIMEOUT);
}

void tw_cluster_renewal_response(tw_cluster *cluster, const tw_call *sent, int status) {
    if (sent->term != cluster->context->term || cluster->role != TW_ROLE_LEADER) return;
    if (cluster->renewals_in_flight) cluster->renewals_in_flight--;
    if (status == TW_HTTP_OK) {
        const double until = tw_cluster_authority_end(cluster, sent->sent_at);
        if (cluster->context->now >= cluster->authority_until)
            tw_log_info("event=authority_regained token=%llu", (unsigned long long)cluster->token);
        tw_log_debug("event=leader_lease_renewed token=%llu authority_s=%.3f",
                     (unsigned long long)cluster->token, until - cluster->context->now);
        if (until > cluster->authority_until) cluster->authority_until = until;
        cluster->next_renewal_at = sent->sent_at + cluster->lease_s * RENEWAL_INTERVAL;
        cluster->owner.lease_renewed(cluster->owner.owner);
    } else if (status == TW_HTTP_NOT_FOUND) {
        tw_cluster_step_down(cluster, "lease lost");
    } else {
        cluster->next_renewal_at =
            cluster->context->now +
            fmax(cluster->lease_s * RENEWAL_RETRY, tw_cluster_rate_limited_wait_s(cluster, status));
    }
}

void tw_cluster_leader_lease_tick(tw_cluster *cluster) {
    const bool due =
        !cluster->renewals_in_flight && cluster->context->now >= cluster->next_renewal_at;
    /* The state service is sometimes slow to respond, so a second renewal is sent while the first
     * is in flight. */
    const bool slow =
        cluster->renewals_in_flight == 1 &&
        cluster->context->now >= cluster->renewal_sent_at + cluster->lease_s * SECOND_RENEWAL_DELAY;
    if (due || slow) renew_lease(cluster);
    if (cluster->context->now >=
            cluster->authority_until + tw_cluster_renewal_without_authority_s(cluster) ||
        (cluster->phase == TW_PHASE_LOADING && cluster->context->now >= cluster->authority_until))
        tw_cluster_step_down(cluster, "no authority");
}
