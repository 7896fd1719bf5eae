/* Picks the replica for a request (GoodServe, section 3.4): among the replicas expected to meet
 * the deadline, the slowest, which keeps the fast ones for urgent requests; if there is none, the
 * one that is expected to miss the deadline by least. Only replicas with a free slot count, so no
 * request waits at a replica. */
#include "router/router_int.h"
#include <stdbool.h>

/* Returns whether the first replica is preferred to the second. */
static bool is_better(const tw_router_replica *first, const tw_router_replica *second,
                      double deadline, double now) {
    const bool first_meets = now + first->service_s <= deadline;
    const bool second_meets = now + second->service_s <= deadline;
    if (first_meets != second_meets) return first_meets;
    if (first->service_s != second->service_s)
        return first_meets ? first->service_s > second->service_s
                           : first->service_s < second->service_s;
    return first->running < second->running;
}

tw_router_replica *tw_router_pick(const tw_router *router, const tw_router_request *request,
                                  double now) {
    tw_router_replica *best = NULL;
    tw_router_replica *each;
    tw_router_replica *next;
    HASH_ITER(hh, router->replicas, each, next) {
        if (!each->epoch || each->running >= each->slots) continue;
        if (!best || is_better(each, best, request->deadline, now)) best = each;
    }
    return best;
}
