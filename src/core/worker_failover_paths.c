/* Where a worker goes when the node that it reports to ends while its zone is cut off.
 *
 * A worker that gets no answer tries the nodes in their order. Those of its own zone answer it;
 * each of another zone costs it a timeout while the zones can't reach each other. Where several of
 * these follow each other, the worker's lease ends before it is answered, and all its tasks with
 * it. So workers are named nodes after which another one of the zone comes soon enough. */
#include "core/core_int.h"
#include <stdbool.h>

/* A worker's waits, by the protocol: for an answer, and until it tries the next node. */
#define ANSWER_WAIT_S 4.0
#define NEXT_NODE_S 1.0
/* Longest time between two reports, in report intervals: a quarter more than one. */
#define LONGEST_REPORT 1.25

typedef struct {
    const char *name;
    const char *zone;
    int *in_time; /* where the result is kept */
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
static bool is_in_time(const tw_core *core, const node *nodes, size_t position) {
    const size_t count = core->peer_count + 1;
    double unanswered_s = LONGEST_REPORT * core->context.config->report_s + NEXT_NODE_S;
    for (size_t step = 1; step < count; step++) {
        const node *next = &nodes[(position + step) % count];
        if (!strcmp(next->zone, nodes[position].zone))
            return unanswered_s < core->context.config->lease_s;
        unanswered_s += ANSWER_WAIT_S + NEXT_NODE_S;
    }
    return false;
}

void tw_worker_failover_init(tw_core *core) {
    const size_t count = core->peer_count + 1;
    node nodes[count];
    for (size_t i = 0; i < core->peer_count; i++)
        nodes[i] = (node){core->peers[i].config.name, core->peers[i].config.zone,
                          &core->peers[i].failover_in_time};
    nodes[core->peer_count] = (node){core->context.config->host_name,
                                     core->context.config->location, &core->failover_in_time};
    qsort(nodes, count, sizeof *nodes, by_number);
    for (size_t i = 0; i < count; i++) *nodes[i].in_time = is_in_time(core, nodes, i);
}
