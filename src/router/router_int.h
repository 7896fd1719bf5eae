/* What the files of the route share. Not for other packages. */
#ifndef TW_ROUTER_INT_H
#define TW_ROUTER_INT_H
#include "router/router.h"
#include <uthash.h>

typedef enum { REQUEST_WAITING, REQUEST_SENT } request_state;

typedef struct team team;

typedef struct request {
    uint64_t number;
    request_state state;
    team *team;
    double deadline, sent_at;
    int attempt;                  /* the present one, or the last */
    int passed_on;                /* a part of its answer */
    char replica[TW_ROUTER_NAME]; /* of the present attempt */
    struct request *prev, *next;  /* in its team's queue */
    UT_hash_handle hh;
} request;

struct team {
    char name[TW_ROUTER_NAME];
    double share, served; /* requests sent, divided by the share */
    request *waiting;
    int count;
    UT_hash_handle hh;
};

typedef struct replica {
    char name[TW_ROUTER_NAME];
    uint64_t epoch; /* 0: nothing new */
    int slots, running;
    double service_s; /* moving average */
    UT_hash_handle hh;
} replica;

struct tw_router {
    tw_router_settings settings;
    double retries; /* that may be made now */
    request *requests;
    replica *replicas;
    team *teams;
    tw_router_effect *effects;
};

void *tw_router_alloc(size_t size);
/* pick.c: the replica for the request; NULL: none has room. */
replica *tw_router_pick(const tw_router *route, const request *of, double now);

#endif
