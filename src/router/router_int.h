/* The records that the files of the router have in common. Not for other packages.
 *
 * A request stands in the hash of the router, and in its team's queue while it waits. A replica
 * counts the attempts that run on it; it is never forgotten. */
#ifndef TW_ROUTER_INT_H
#define TW_ROUTER_INT_H
#include "router/router.h"
#include <stdbool.h>
#include <uthash.h>

typedef enum { TW_ROUTER_REQUEST_WAITING, TW_ROUTER_REQUEST_SENT } tw_router_request_state;

typedef struct tw_router_team tw_router_team;

typedef struct tw_router_request {
    uint64_t number;
    tw_router_request_state state;
    tw_router_team *team;
    double deadline, sent_at;
    int attempt;                           /* the present one, or the last */
    bool answer_started;                   /* a part of its answer */
    char replica[TW_ROUTER_NAME];          /* of the present attempt */
    struct tw_router_request *prev, *next; /* in its team's queue */
    UT_hash_handle hh;
} tw_router_request;

struct tw_router_team {
    char name[TW_ROUTER_NAME];
    double weight, served; /* requests sent, divided by the weight */
    tw_router_request *waiting;
    int count;
    UT_hash_handle hh;
};

typedef struct tw_router_replica {
    char name[TW_ROUTER_NAME];
    uint64_t epoch; /* 0: nothing new */
    int slots, running;
    double service_s; /* moving average */
    UT_hash_handle hh;
} tw_router_replica;

struct tw_router {
    tw_router_settings settings;
    double retry_budget; /* that may be made now */
    tw_router_request *requests;
    tw_router_replica *replicas;
    tw_router_team *teams;
    tw_router_effect *effects;
};

/* Zeroed memory; the program ends where there is none. */
void *tw_router_alloc(size_t size);
/* The replica for the request; NULL: none has room. (pick.c) */
tw_router_replica *tw_router_pick(const tw_router *router, const tw_router_request *of, double now);

#endif
