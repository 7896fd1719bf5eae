/* Versions that the peers report, and rules for elections while nodes of two versions run.
 *
 * The failover rules of an earlier version may no longer be safe. While a node of an earlier
 * version could campaign, two followers of this version campaign without the usual pause when their
 * watches report the removal of the leader's key, and so usually win; and a key that names this
 * node itself is replaced instead of removed (election.c). If no watch is open when the key is
 * removed, no version has an advantage. Only the leader's key determines which node leads. */
#include "cluster/cluster_int.h"

/* Number of followers that campaign without a pause. With two of them, one may have just stopped;
 * if all followers did so, their requests could use up the state service's rate limit. */
#define FIRST_CANDIDATES 2

/* Returns whether the peer is of an earlier version: heartbeats of versions that read whole records
 * only don't report a record format. */
static bool is_of_earlier_version(const tw_peer *peer) {
    return peer->record_format == TW_RECORD_FORMAT_WHOLE;
}

static int count_earlier_peers(const tw_cluster *cluster) {
    int count = 0;
    for (size_t i = 0; i < cluster->peer_count; i++)
        count += is_of_earlier_version(&cluster->peers[i]);
    return count;
}

bool tw_cluster_all_peers_support_chunks(const tw_cluster *cluster) {
    for (size_t i = 0; i < cluster->peer_count; i++)
        if (cluster->peers[i].record_format < TW_RECORD_FORMAT_CHUNKED) return false;
    return true;
}

bool tw_cluster_any_peer_lacks_chunk_support(const tw_cluster *cluster) {
    return count_earlier_peers(cluster) > 0;
}

void tw_cluster_note_peer_format(tw_cluster *cluster, tw_peer *from, int record_format) {
    const bool was_earlier = is_of_earlier_version(from);
    const int earlier_before = count_earlier_peers(cluster);
    from->record_format = record_format;
    if (is_of_earlier_version(from) == was_earlier) return;
    const int earlier = count_earlier_peers(cluster);
    if (!earlier_before) {
        cluster->mixed_versions_since = cluster->context->now;
        tw_log_info("event=mixed_versions_began earlier_peers=%d", earlier);
    }
    tw_log_info("event=peer_version_changed peer=%s earlier=%d earlier_peers=%d", from->config.name,
                !was_earlier, earlier);
    if (!earlier)
        tw_log_info("event=mixed_versions_ended lasted_s=%.1f",
                    cluster->context->now - cluster->mixed_versions_since);
}

/* Returns whether the peer is a follower of this version whose name sorts before this node's, that
 * answers heartbeats and reaches the state service. The last known leader is not a follower, even
 * if its term has just ended. */
static bool precedes_this_node(const tw_cluster *cluster, const tw_peer *peer) {
    return peer->record_format >= TW_RECORD_FORMAT_CHUNKED &&
           strcmp(peer->config.name, cluster->context->config->host_name) < 0 &&
           strcmp(peer->config.name, cluster->leader_name) != 0 && peer->store_reachable &&
           tw_cluster_peer_answers(cluster, peer);
}

bool tw_cluster_only_earlier_version_may_take_over(const tw_cluster *cluster) {
    if (!count_earlier_peers(cluster)) return false;
    for (size_t i = 0; i < cluster->peer_count; i++) {
        const tw_peer *peer = &cluster->peers[i];
        if (peer->record_format >= TW_RECORD_FORMAT_CHUNKED &&
            tw_cluster_peer_answers(cluster, peer))
            return false;
    }
    return true;
}

bool tw_cluster_campaigns_first(const tw_cluster *cluster) {
    if (tw_cluster_all_peers_support_chunks(cluster)) return false;
    int preceding = 0;
    for (size_t i = 0; i < cluster->peer_count; i++)
        preceding += precedes_this_node(cluster, &cluster->peers[i]);
    return preceding < FIRST_CANDIDATES;
}
