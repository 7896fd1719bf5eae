/* Creation and freeing of the cluster, dispatch of its inputs, and queries about its state. */
#include "cluster/cluster_int.h"

/* Initial value of the times of past events: earlier than any time that matters. */
#define LONG_AGO (-1e9)
#define MIN_LEASE_S 0.2

static void init_peers(tw_cluster *cluster) {
    const tw_config *config = cluster->context->config;
    cluster->peer_count = config->peer_count;
    cluster->peers = tw_alloc(config->peer_count * sizeof *cluster->peers);
    for (size_t i = 0; i < config->peer_count; i++) {
        tw_peer *peer = &cluster->peers[i];
        peer->config = config->peers[i];
        peer->answered_at = peer->not_leading_until = LONG_AGO;
    }
    tw_cluster_init_failover_paths(cluster);
}

tw_cluster *tw_cluster_new(tw_context *context, const tw_cluster_owner *owner) {
    tw_cluster *cluster = tw_alloc(sizeof *cluster);
    const tw_config *config = context->config;
    cluster->context = context;
    cluster->owner = *owner;
    cluster->started_at = context->now;
    cluster->store_answered_at = LONG_AGO;
    cluster->lease_s = fmax(MIN_LEASE_S, config->tune.election_ratio * config->lease_s);
    init_peers(cluster);
    tw_cluster_init_election(cluster);
    return cluster;
}

void tw_cluster_stop(tw_cluster *cluster) { cluster->role = TW_ROLE_FOLLOWER; }

void tw_cluster_free(tw_cluster *cluster) {
    tw_cluster_free_delegate(cluster);
    tw_cluster_free_redirects(cluster);
    free(cluster->peers);
    free(cluster);
}

/* ---- inputs ---- */

void tw_cluster_response(tw_cluster *cluster, tw_call *sent, int status, const char *body,
                         size_t len) {
    switch (sent->kind) {
    case TW_CALL_PEER_HEARTBEAT:
        tw_cluster_heartbeat_response(cluster, sent, status, body, len);
        break;
    case TW_CALL_WRITE_DELEGATE_KEY:
        tw_cluster_delegate_key_response(cluster, sent, status);
        break;
    case TW_CALL_LIST_CANCELLED_JOBS:
        tw_cluster_cancelled_page(cluster, status, body, len);
        break;
    case TW_CALL_READ_DELEGATE_KEYS:
        tw_cluster_registry_page(cluster, sent, status, body, len);
        break;
    default:
        tw_cluster_election_response(cluster, sent, status, body, len);
        break;
    }
}

void tw_cluster_tick(tw_cluster *cluster) {
    tw_cluster_log_permissions(cluster);
    tw_cluster_election_tick(cluster);
    tw_cluster_heartbeat_tick(cluster);
}

void tw_cluster_activate(tw_cluster *cluster) { cluster->phase = TW_PHASE_ACTIVE; }

void tw_cluster_note_store_answer(tw_cluster *cluster) {
    cluster->store_answered_at = cluster->context->now;
}

/* ---- queries ---- */

bool tw_cluster_is_leader(const tw_cluster *cluster) { return cluster->role == TW_ROLE_LEADER; }

bool tw_cluster_is_loading(const tw_cluster *cluster) {
    return tw_cluster_is_leader(cluster) && cluster->phase == TW_PHASE_LOADING;
}

bool tw_cluster_is_active(const tw_cluster *cluster) {
    return tw_cluster_is_leader(cluster) && cluster->phase == TW_PHASE_ACTIVE;
}

bool tw_cluster_authority_lasts(const tw_cluster *cluster, double seconds) {
    return cluster->context->now + seconds <= cluster->authority_until;
}

uint64_t tw_cluster_token(const tw_cluster *cluster) { return cluster->token; }

uint64_t tw_cluster_highest_token(const tw_cluster *cluster) { return cluster->highest_token; }

uint64_t tw_cluster_leader_token(const tw_cluster *cluster) { return cluster->leader_token; }

double tw_cluster_term_began_at(const tw_cluster *cluster) { return cluster->term_began_at; }

double tw_cluster_lease_s(const tw_cluster *cluster) { return cluster->lease_s; }

const char *tw_cluster_leader_addr(const tw_cluster *cluster) {
    const tw_peer *leader = tw_cluster_find_peer(cluster, cluster->leader_name);
    return leader ? leader->config.addr : NULL;
}

bool tw_cluster_leader_answers(const tw_cluster *cluster, double within_s) {
    const tw_peer *leader = tw_cluster_find_peer(cluster, cluster->leader_name);
    if (!leader) return false;
    return leader->answered_at >= cluster->context->now - 0.5 * cluster->lease_s - within_s;
}

double tw_cluster_since_store_answer_s(const tw_cluster *cluster) {
    return cluster->context->now - cluster->store_answered_at;
}
