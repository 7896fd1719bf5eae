/* Failover of workers when the node that gets their heartbeats fails while its zone is partitioned.
 *
 * A worker that gets no answer tries the nodes in order. Nodes of its own zone answer; each node of
 * another zone costs a timeout while the zones can't reach each other. If several nodes of other
 * zones follow each other, the worker's lease expires before it gets an answer, and all its tasks
 * end. Workers are therefore redirected to nodes that are followed soon enough by another node of
 * the same zone. */
#include "cluster/cluster_int.h"

/* Times for which a worker waits by the protocol: for an answer of a node, and before it tries the
 * next node. */
#define ANSWER_WAIT_S 4.0
#define NEXT_NODE_S 1.0
/* Maximum time between two heartbeats of a worker, in heartbeat intervals. */
#define MAX_HEARTBEAT_INTERVALS 1.25

typedef struct {
    const char *name;
    const char *zone;
    bool *in_time; /* receives the result */
} node;

/* Compares the names of nodes, which are numbered: a shorter name sorts before a longer one. */
static int compare_node_names(const void *one, const void *other) {
    const char *first = ((const node *)one)->name;
    const char *second = ((const node *)other)->name;
    const size_t first_length = strlen(first);
    const size_t second_length = strlen(second);
    if (first_length != second_length) return first_length < second_length ? -1 : 1;
    return strcmp(first, second);
}

/* Returns whether a worker whose heartbeats go to the node at this position gets an answer from
 * another node of its zone before its lease expires, if that node fails. */
static bool reaches_next_node_in_time(const tw_cluster *cluster, const node *nodes,
                                      size_t position) {
    const size_t count = cluster->peer_count + 1;
    double unanswered_s =
        MAX_HEARTBEAT_INTERVALS * cluster->context->config->report_s + NEXT_NODE_S;
    for (size_t step = 1; step < count; step++) {
        const node *next = &nodes[(position + step) % count];
        if (!strcmp(next->zone, nodes[position].zone))
            return unanswered_s < cluster->context->config->lease_s;
        unanswered_s += ANSWER_WAIT_S + NEXT_NODE_S;
    }
    return false;
}

void tw_cluster_init_failover_paths(tw_cluster *cluster) {
    const size_t count = cluster->peer_count + 1;
    node nodes[count];
    for (size_t i = 0; i < cluster->peer_count; i++)
        nodes[i] = (node){cluster->peers[i].config.name, cluster->peers[i].config.zone,
                          &cluster->peers[i].failover_in_time};
    nodes[cluster->peer_count] =
        (node){cluster->context->config->host_name, cluster->context->config->location,
               &cluster->failover_in_time};
    qsort(nodes, count, sizeof *nodes, compare_node_names);
    for (size_t i = 0; i < count; i++)
        *nodes[i].in_time = reaches_next_node_in_time(cluster, nodes, i);
}
