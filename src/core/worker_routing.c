/* Which node a worker is told to report to.
 *
 * Workers report to a node of their own zone, so that a cut between zones costs no lease. One that
 * reports elsewhere is redirected, unless it comes back from the node that it was sent to: a node
 * that answers other nodes need not answer its workers. Where several come back within a lease, no
 * more are sent there for a while. */
#include "core/heartbeat_forwarder.h"
#include <stdbool.h>

/* Workers that came back from a node within a lease, from which on none is sent there. */
#define SHUN_AFTER 3

static bool is_live_in_zone(const tw_core *core, const tw_peer *node, const char *zone) {
    return !strcmp(node->config.zone, zone) &&
           node->answered_at > core->context.now - 1 - 0.5 * core->leader_lease_s;
}

bool tw_zone_has_live_peer(const tw_core *core, const char *zone) {
    for (size_t i = 0; i < core->peer_count; i++)
        if (is_live_in_zone(core, &core->peers[i], zone)) return true;
    return false;
}

tw_peer *tw_worker_home_find(tw_core *core, const char *zone) {
    tw_peer *any = NULL;
    for (size_t i = 0; i < core->peer_count; i++) {
        tw_peer *node = &core->peers[i];
        if (!is_live_in_zone(core, node, zone) || core->context.now < node->avoided_until) continue;
        if (node->failover_in_time) return node;
        if (!any) any = node;
    }
    return any;
}

/* A worker came back from the node. */
static void note_came_back(tw_core *core, tw_peer *node) {
    if (core->context.now > node->avoid_counted_from + core->context.config->lease_s) {
        node->avoid_counted_from = core->context.now;
        node->returned_workers = 0;
    }
    if (++node->returned_workers < SHUN_AFTER) return;
    if (core->context.now >= node->avoided_until)
        tw_log_info("event=peer_avoided peer=%s", node->config.name);
    node->avoided_until = core->context.now + core->context.config->lease_s;
}

/* Forgets redirects that are older than a lease, once a lease. */
static void sweep_redirects(tw_core *core) {
    tw_worker_redirect *known, *next;
    if (core->context.now < core->next_redirect_sweep_at) return;
    core->next_redirect_sweep_at = core->context.now + core->context.config->lease_s;
    HASH_ITER(hh, core->worker_redirects, known, next) {
        if (core->context.now < known->at + core->context.config->lease_s) continue;
        HASH_DEL(core->worker_redirects, known);
        free(known);
    }
}

bool tw_worker_redirect_to(tw_core *core, uint64_t connection, const char *worker, tw_peer *to) {
    tw_worker_redirect *last;
    HASH_FIND_STR(core->worker_redirects, worker, last);
    /* A worker that is sent between two nodes, each of which names the other, loses its lease. */
    if (last && last->target == to &&
        core->context.now < last->at + core->context.config->lease_s) {
        if (!last->came_back) note_came_back(core, to);
        last->came_back = true;
        return false;
    }
    sweep_redirects(core);
    HASH_FIND_STR(core->worker_redirects, worker, last);
    if (!last) {
        last = tw_alloc(sizeof *last);
        snprintf(last->name, sizeof last->name, "%s", worker);
        HASH_ADD_STR(core->worker_redirects, name, last);
    }
    last->target = to;
    last->at = core->context.now;
    last->came_back = false;
    tw_log_debug("event=worker_redirected worker=%s to=%s", worker, to->config.name);
    tw_reply(&core->context, connection, TW_HTTP_MISDIRECTED, 0,
             tw_wire_redirect_text(to->config.name));
    return true;
}

bool tw_worker_redirect_home(tw_core *core, uint64_t connection,
                             const tw_wire_heartbeat *heartbeat) {
    tw_peer *home = tw_worker_home_find(core, heartbeat->zone);
    return home && tw_worker_redirect_to(core, connection, heartbeat->worker, home);
}

/* Whether all other nodes answer: no time to redirect workers otherwise. */
static bool all_peers_live(const tw_core *core) {
    for (size_t i = 0; i < core->peer_count; i++)
        if (!is_live_in_zone(core, &core->peers[i], core->peers[i].config.zone)) return false;
    return true;
}

bool tw_worker_redirect_safer(tw_core *core, uint64_t connection,
                              const tw_wire_heartbeat *heartbeat) {
    if (core->failover_in_time || !all_peers_live(core)) return false;
    tw_peer *safer = tw_worker_home_find(core, heartbeat->zone);
    return safer && safer->failover_in_time &&
           tw_worker_redirect_to(core, connection, heartbeat->worker, safer);
}

void tw_worker_redirects_free(tw_core *core) {
    tw_worker_redirect *known, *next;
    HASH_ITER(hh, core->worker_redirects, known, next) {
        HASH_DEL(core->worker_redirects, known);
        free(known);
    }
}
