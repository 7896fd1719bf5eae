/* Redirection of workers to the node that should get their heartbeats.
 *
 * Workers send heartbeats to a node of their own zone (their home), so that a network partition
 * between zones expires no lease. A worker of another zone is redirected there, unless it has come
 * back from the node to which it was redirected: a node that answers other nodes may still not
 * answer its workers. If several workers come back from a node within a lease, the node is avoided
 * for one lease. */
#include "cluster/cluster_int.h"

/* Number of workers that come back from a node within a lease after which the node is avoided. */
#define AVOID_THRESHOLD 3

static bool is_live_in_zone(const tw_cluster *cluster, const tw_peer *peer, const char *zone) {
    return !strcmp(peer->config.zone, zone) && tw_cluster_peer_answers(cluster, peer);
}

bool tw_cluster_zone_has_live_peer(const tw_cluster *cluster, const char *zone) {
    for (size_t i = 0; i < cluster->peer_count; i++)
        if (is_live_in_zone(cluster, &cluster->peers[i], zone)) return true;
    return false;
}

bool tw_cluster_zone_is_partitioned(const tw_cluster *cluster, const char *zone,
                                    double min_reachable_s) {
    if (!strcmp(zone, cluster->context->config->location)) return false;
    for (size_t i = 0; i < cluster->peer_count; i++) {
        const tw_peer *peer = &cluster->peers[i];
        if (strcmp(peer->config.zone, zone) != 0) continue;
        if (!tw_cluster_zone_has_live_peer(cluster, zone)) return true;
        if (cluster->context->now < peer->reachable_since + min_reachable_s) return true;
    }
    return false;
}

/* Returns a live node of the zone that is not avoided, preferably one whose workers fail over in
 * time; NULL if there is none. */
static tw_peer *find_home(const tw_cluster *cluster, const char *zone) {
    tw_peer *any = NULL;
    for (size_t i = 0; i < cluster->peer_count; i++) {
        tw_peer *peer = &cluster->peers[i];
        if (!is_live_in_zone(cluster, peer, zone)) continue;
        if (cluster->context->now < peer->avoided_until) continue;
        if (peer->failover_in_time) return peer;
        if (!any) any = peer;
    }
    return any;
}

bool tw_cluster_zone_has_home(const tw_cluster *cluster, const char *zone) {
    return find_home(cluster, zone) != NULL;
}

/* ---- redirects ---- */

/* Counts a worker that came back from the peer. The peer is avoided when AVOID_THRESHOLD is
 * reached. */
static void note_returned_worker(const tw_cluster *cluster, tw_peer *peer) {
    const double now = cluster->context->now;
    const double lease_s = cluster->context->config->lease_s;
    if (now > peer->returns_counted_from + lease_s) {
        peer->returns_counted_from = now;
        peer->returned_workers = 0;
    }
    if (++peer->returned_workers < AVOID_THRESHOLD) return;
    if (now >= peer->avoided_until) tw_log_info("event=peer_avoided peer=%s", peer->config.name);
    peer->avoided_until = now + lease_s;
}

/* Removes redirects that are older than a lease. Does so at most once per lease. */
static void sweep_redirects(tw_cluster *cluster) {
    const double now = cluster->context->now;
    const double lease_s = cluster->context->config->lease_s;
    tw_worker_redirect *redirect, *next;
    if (now < cluster->next_redirect_sweep_at) return;
    cluster->next_redirect_sweep_at = now + lease_s;
    HASH_ITER(hh, cluster->worker_redirects, redirect, next) {
        if (now < redirect->at + lease_s) continue;
        HASH_DEL(cluster->worker_redirects, redirect);
        free(redirect);
    }
}

static void note_redirect(tw_cluster *cluster, const char *worker, const tw_peer *to) {
    tw_worker_redirect *redirect;
    sweep_redirects(cluster);
    HASH_FIND_STR(cluster->worker_redirects, worker, redirect);
    if (!redirect) {
        redirect = tw_alloc(sizeof *redirect);
        snprintf(redirect->name, sizeof redirect->name, "%s", worker);
        HASH_ADD_STR(cluster->worker_redirects, name, redirect);
    }
    redirect->target = to;
    redirect->at = cluster->context->now;
    redirect->has_come_back = false;
}

/* Redirects the worker to the peer, unless the worker has come back from it. Returns whether the
 * worker was redirected. */
static bool redirect_to(tw_cluster *cluster, uint64_t connection, const char *worker, tw_peer *to) {
    tw_worker_redirect *last;
    HASH_FIND_STR(cluster->worker_redirects, worker, last);
    /* A worker that two nodes keep redirecting to each other would lose its lease. */
    if (last && last->target == to &&
        cluster->context->now < last->at + cluster->context->config->lease_s) {
        if (!last->has_come_back) note_returned_worker(cluster, to);
        last->has_come_back = true;
        return false;
    }
    note_redirect(cluster, worker, to);
    tw_log_debug("event=worker_redirected worker=%s to=%s", worker, to->config.name);
    tw_reply(cluster->context, connection, TW_HTTP_MISDIRECTED, 0,
             tw_wire_redirect_text(to->config.name));
    return true;
}

bool tw_cluster_redirect_home(tw_cluster *cluster, uint64_t connection, const char *worker,
                              const char *zone) {
    tw_peer *home = find_home(cluster, zone);
    return home && redirect_to(cluster, connection, worker, home);
}

/* Returns whether all peers answer. Only then are workers of this node's own zone redirected. */
static bool all_peers_live(const tw_cluster *cluster) {
    for (size_t i = 0; i < cluster->peer_count; i++)
        if (!tw_cluster_peer_answers(cluster, &cluster->peers[i])) return false;
    return true;
}

bool tw_cluster_redirect_for_failover(tw_cluster *cluster, uint64_t connection, const char *worker,
                                      const char *zone) {
    if (cluster->failover_in_time || !all_peers_live(cluster)) return false;
    tw_peer *safer = find_home(cluster, zone);
    if (!safer || !safer->failover_in_time) return false;
    return redirect_to(cluster, connection, worker, safer);
}

bool tw_cluster_redirect_to_leader(tw_cluster *cluster, uint64_t connection, const char *worker) {
    tw_peer *leader = tw_cluster_find_peer(cluster, cluster->leader_name);
    if (!leader || cluster->context->now < leader->avoided_until) return false;
    return redirect_to(cluster, connection, worker, leader);
}

void tw_cluster_free_redirects(tw_cluster *cluster) {
    tw_worker_redirect *redirect, *next;
    HASH_ITER(hh, cluster->worker_redirects, redirect, next) {
        HASH_DEL(cluster->worker_redirects, redirect);
        free(redirect);
    }
}
