/* Which replica gets a request (GoodServe, section 3.4): of those that are expected to meet the
 * deadline the slowest, which saves the fast ones for urgent requests; where none is, the one that
 * misses it by least. Only replicas with a free slot count, so nothing waits at a replica. */
#include "router/router_int.h"
#include <stdbool.h>

/* Whether the first is to be preferred; expected: when each would end. */
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
    tw_router_replica *after;
    HASH_ITER(hh, router->replicas, each, after) {
        if (!each->epoch || each->running >= each->slots) continue;
        if (!best || is_better(each, best, request->deadline, now)) best = each;
    }
    return best;
}
