/* Route: a gateway's ledger of requests to replicas. A state machine, inputs and time in, effects
 * out; no I/O, clock or global state.
 *
 * Invariants: each request that came in gets exactly one final answer; no request has two attempts
 * whose answer would be passed on; after a part of an answer was passed on, no other attempt is
 * made; a replica that drains, or whose machine has another epoch by now, gets nothing new.
 *
 * Replicas are picked as the service's design has it (docs/design.md, Placement): of those that
 * meet the deadline the slowest, else the one with the least overshoot. Teams wait in a queue each,
 * which are served by their shares. Times are steady seconds. */
#ifndef TW_ROUTER_H
#define TW_ROUTER_H
#include <stddef.h>
#include <stdint.h>

#define TW_ROUTER_NAME 64

typedef struct {
    int most_waiting;     /* of a team; beyond, 503 at once */
    int most_attempts;    /* of a request */
    double retry_ratio;   /* retries that each new request allows all requests together */
    double retry_burst;   /* and most that are saved up */
    double average_ratio; /* weight of a new sample in a replica's moving average */
} tw_router_settings;

typedef enum {
    TW_ROUTER_OK = 200,
    TW_ROUTER_FAILED = 502,
    TW_ROUTER_FULL = 503,
    TW_ROUTER_LATE = 504
} tw_router_status;

typedef enum {
    TW_ROUTER_SEND,   /* send the request to the replica, under this attempt and epoch */
    TW_ROUTER_CANCEL, /* the attempt's answer is of no use any more */
    TW_ROUTER_PART,   /* pass a part of the answer on */
    TW_ROUTER_ANSWER  /* the one final answer */
} tw_router_effect_kind;

typedef struct tw_router_effect {
    tw_router_effect_kind kind;
    uint64_t request;
    int attempt;                  /* SEND, CANCEL */
    char replica[TW_ROUTER_NAME]; /* SEND, CANCEL */
    uint64_t epoch;               /* SEND */
    tw_router_status status;      /* ANSWER */
    double retry_after_s;         /* ANSWER other than 200 */
    struct tw_router_effect *next;
} tw_router_effect;

/* How an attempt ended. */
typedef enum {
    TW_ROUTER_DONE,    /* completely answered */
    TW_ROUTER_REFUSED, /* it was not begun: no room, or an old epoch */
    TW_ROUTER_BROKEN,  /* it was begun and will not answer */
    TW_ROUTER_LOST     /* not known; an answer may still come, and is dropped */
} tw_router_end;

typedef struct tw_router tw_router;
tw_router *tw_router_new(const tw_router_settings *settings);
void tw_router_free(tw_router *router);

/* A replica, new or changed: the epoch of its machine, 0 while nothing new may go there (it drains
 * or is gone); how many requests it runs at once; how long one takes, as a first estimate. */
void tw_router_set_replica(tw_router *router, double now, const char *name, uint64_t epoch,
                           int slots, double service_s);
/* A team's weight in the turns, 1 where none was set. */
void tw_router_set_team_weight(tw_router *router, const char *name, double weight);
/* A request, by a number that is used once; it is over, one way or the other, by its deadline. */
void tw_router_add_request(tw_router *router, double now, uint64_t request, const char *team,
                           double deadline);
void tw_router_part_received(tw_router *router, double now, uint64_t request, int attempt);
void tw_router_attempt_ended(tw_router *router, double now, uint64_t request, int attempt,
                             tw_router_end end);
void tw_router_tick(tw_router *router, double now);
/* The next effect, or NULL; free it with free. */
tw_router_effect *tw_router_next(tw_router *router);

/* Requests that have no final answer yet; those of them that wait for a replica. */
int tw_router_open_count(const tw_router *router);
int tw_router_waiting_count(const tw_router *router);

#endif
