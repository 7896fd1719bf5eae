/* Router of a gateway: sends requests to replicas and tracks them from their arrival to their
 * final answer.
 *
 * It is a state machine: it takes inputs together with the current time and returns effects; it
 * does no I/O, reads no clock and has no global state.
 *
 * Invariants: each request gets exactly one final answer; at most one attempt of a request can
 * have its answer passed on; once a part of an answer has been passed on, no other attempt is
 * made; a replica that drains, or whose machine has a different epoch, gets no new requests.
 *
 * Replicas are picked as docs/design.md (Placement) describes: the slowest of those that meet the
 * deadline, or else the one that misses it by least. Each team has a queue; the queues are served
 * in proportion to the teams' weights. Times are in seconds of the monotonic clock. A name has at
 * most TW_ROUTER_NAME - 1 bytes; a longer one is truncated. The process aborts if a memory
 * allocation fails. */
#ifndef TW_ROUTER_H
#define TW_ROUTER_H
#include <stddef.h>
#include <stdint.h>

/* Size of a name in bytes, including the terminating zero. */
#define TW_ROUTER_NAME 64

typedef struct {
    int max_waiting;      /* maximum waiting requests per team; further ones are answered 503 */
    int max_attempts;     /* maximum attempts per request */
    double retry_ratio;   /* retries added to the shared retry budget by each new request */
    double retry_burst;   /* maximum of the retry budget */
    double average_ratio; /* weight of a new sample in a replica's moving average */
} tw_router_settings;

/* The status of a final answer, as in HTTP. */
typedef enum {
    TW_ROUTER_OK = 200,
    TW_ROUTER_FAILED = 502, /* the last attempt failed, and no other may be made */
    TW_ROUTER_FULL = 503,   /* too many requests of the team wait */
    TW_ROUTER_LATE = 504    /* the deadline has passed */
} tw_router_status;

typedef enum {
    TW_ROUTER_SEND,   /* send the request to the replica, under this attempt and epoch */
    TW_ROUTER_CANCEL, /* cancel the attempt, whose answer is no longer needed */
    TW_ROUTER_PART,   /* pass on a part of the answer */
    TW_ROUTER_ANSWER  /* give the final answer */
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

/* The result of an attempt. */
typedef enum {
    TW_ROUTER_DONE,    /* completely answered */
    TW_ROUTER_REFUSED, /* not begun: the replica has no free slot, or the epoch is outdated */
    TW_ROUTER_BROKEN,  /* begun, but will not be answered */
    TW_ROUTER_LOST     /* the outcome is unknown; a later answer is dropped */
} tw_router_result;

typedef struct tw_router tw_router;
/* Creates a router without replicas. The settings are copied. Free it with tw_router_free. */
tw_router *tw_router_new(const tw_router_settings *settings);
/* Frees the router, its requests and all pending effects. NULL is allowed. */
void tw_router_free(tw_router *router);

/* Adds or changes a replica. epoch: epoch of its machine; 0 while it drains or is removed, so that
 * it gets no new requests. slots: number of requests that it runs concurrently. service_s: initial
 * estimate of the time that a request takes. */
void tw_router_set_replica(tw_router *router, double now, const char *name, uint64_t epoch,
                           int slots, double service_s);
/* Sets the weight of a team, which is 1 by default. */
void tw_router_set_team_weight(tw_router *router, const char *name, double weight);
/* Adds a request with a unique number. The request gets its final answer by its deadline. */
void tw_router_add_request(tw_router *router, double now, uint64_t request, const char *team,
                           double deadline);
/* Records that a part of the answer arrived. It is ignored if `attempt` is not the current
 * attempt. */
void tw_router_part_received(tw_router *router, double now, uint64_t request, int attempt);
/* Records the end of an attempt. It is ignored if `attempt` is not the current attempt. */
void tw_router_attempt_ended(tw_router *router, double now, uint64_t request, int attempt,
                             tw_router_result result);
/* Advances the time: answers the requests whose deadline has passed. */
void tw_router_tick(tw_router *router, double now);
/* Returns the next effect, or NULL. The caller frees it with free. */
tw_router_effect *tw_router_next_effect(tw_router *router);

/* Returns the number of requests without a final answer. */
int tw_router_open_count(const tw_router *router);
/* Returns the number of requests that wait for a replica. */
int tw_router_waiting_count(const tw_router *router);

#endif
