/* Where a worker goes when the node that it reports to ends while its zone is cut off.
 *
 * A worker that gets no answer tries the nodes in their order. Those of its own zone answer it;
 * each of another zone costs it a timeout while the zones can't reach each other. Where several of
 * these follow each other, the worker's lease ends before it is answered, and all its tasks with
 * it. So workers are named nodes after which another one of the zone comes soon enough. */
#include "core/core_int.h"

/* A worker's waits, by the protocol: for an answer, and until it tries the next node. */
#define ANSWER_WAIT_S 4.0
#define NEXT_NODE_S 1.0
/* Longest time between two reports, in report intervals: a quarter more than one. */
#define LONGEST_REPORT 1.25

typedef struct {
    const char *name;
    const char *zone;
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

/* All nodes in their order; returns where the named one stands. */
static size_t order_nodes(const tw_core *core, node *nodes, const char *name) {
    const size_t count = core->npeers + 1;
    size_t position = 0;
    for (size_t i = 0; i < core->npeers; i++)
        nodes[i] = (node){core->peers[i].cf.name, core->peers[i].cf.zone};
    nodes[core->npeers] = (node){core->cf->host_name, core->cf->location};
    qsort(nodes, count, sizeof *nodes, by_number);
    for (size_t i = 0; i < count; i++)
        if (!strcmp(nodes[i].name, name)) position = i;
    return position;
}

int tw_failover_in_time(const tw_core *core, const char *name) {
    const size_t count = core->npeers + 1;
    node nodes[count];
    const size_t position = order_nodes(core, nodes, name);
    double unanswered_s = LONGEST_REPORT * core->cf->report_s + NEXT_NODE_S;
    for (size_t step = 1; step < count; step++) {
        const node *next = &nodes[(position + step) % count];
        if (!strcmp(next->zone, nodes[position].zone)) return unanswered_s < core->cf->lease_s;
        unanswered_s += ANSWER_WAIT_S + NEXT_NODE_S;
    }
    return 0;
}
