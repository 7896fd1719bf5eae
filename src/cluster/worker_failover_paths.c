/* Where a worker goes when the node that it reports to ends while its zone is cut off.
 *
 * A worker that gets no answer tries the nodes in their order. Those of its own zone answer it;
 * each of another zone costs it a timeout while the zones can't reach each other. Where several of
 * these follow each other, the worker's lease ends before it is answered, and all its tasks with
 * it. So workers are named nodes after which another one of the zone comes soon enough. */
#include "cluster/cluster_int.h"
#include <stdbool.h>

/* A worker's waits, by the protocol: for an answer, and until it tries the next node. */
#define ANSWER_WAIT_S 4.0
#define NEXT_NODE_S 1.0
/* Longest time between two reports, in report intervals: a quarter more than one. */
#define LONGEST_REPORT 1.25

typedef struct {
    const char *name;
    const char *zone;
    bool *in_time; /* where the result is kept */
} node;

/* Nodes are numbered, so that a longer name comes after a shorter one. */
static int by_number(const void *one, const void *other) {
    const char *first = ((const node *)one)->name;
    const char *second = ((const node *)other)->name;
    const size_t first_length = strlen(first);
    const size_t second_length = strlen(second);
    if (first_length != second_length) return first_length < second_length ? -1 : 1;
    return strcmp(first, second);
}

/* Whether a worker that reports to the node at this position is answered by another one of its zone
 * before its lease ends. */
static bool is_in_time(const tw_cluster *cluster, const node *nodes, size_t position) {
    const size_t count = cluster->peer_count + 1;
    double unanswered_s = LONGEST_REPORT * cluster->context->config->report_s + NEXT_NODE_S;
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
    qsort(nodes, count, sizeof *nodes, by_number);
    for (size_t i = 0; i < count; i++) *nodes[i].in_time = is_in_time(cluster, nodes, i);
}
