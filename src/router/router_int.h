/* Data structures shared by the files of the router. Not for other packages.
 *
 * A request is in the hash table of the router, and in the queue of its team while it waits. A
 * replica counts the attempts that run on it; replicas are never removed. */
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
    int attempt;                           /* number of the current or last attempt */
    bool answer_started;                   /* a part of the answer was passed on */
    char replica[TW_ROUTER_NAME];          /* replica of the current attempt */
    struct tw_router_request *prev, *next; /* links of the team's queue */
    UT_hash_handle hh;
} tw_router_request;

struct tw_router_team {
    char name[TW_ROUTER_NAME];
    double weight, served;      /* served: requests sent, divided by the weight */
    tw_router_request *waiting; /* queue of requests that wait for a replica */
    int count;                  /* length of that queue */
    UT_hash_handle hh;
};

typedef struct tw_router_replica {
    char name[TW_ROUTER_NAME];
    uint64_t epoch; /* 0: gets no new requests */
    int slots, running;
    double service_s; /* moving average of the time that a request takes */
    UT_hash_handle hh;
} tw_router_replica;

struct tw_router {
    tw_router_settings settings;
    double retry_budget; /* number of retries that may be made */
    tw_router_request *requests;
    tw_router_replica *replicas;
    tw_router_team *teams;
    tw_router_effect *effects;
};

/* Allocates zeroed memory; aborts if there is none. */
void *tw_router_alloc(size_t size);
/* Returns the replica for the request, or NULL if no replica has a free slot. (pick.c) */
tw_router_replica *tw_router_pick(const tw_router *router, const tw_router_request *request,
                                  double now);

#endif
