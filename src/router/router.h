/* Router: a gateway's record of requests to replicas, from their arrival to their final answer.
 *
 * A state machine: inputs and the time go in, effects come out; it does no I/O, reads no clock and
 * has no global state.
 *
 * Invariants: each request that came in gets exactly one final answer; no request has two attempts
 * whose answer would be passed on; after a part of an answer was passed on, no other attempt is
 * made; a replica that drains, or whose machine has another epoch by now, gets nothing new.
 *
 * Replicas are picked as the service's design has it (docs/design.md, Placement): of those that
 * meet the deadline the slowest, else the one with the least overshoot. Each team has a queue; the
 * queues are served by the teams' weights. Times are in steady seconds. A name is at most
 * TW_ROUTER_NAME - 1 bytes long; a longer one is cut. Memory that can't be had ends the program. */
#ifndef TW_ROUTER_H
#define TW_ROUTER_H
#include <stddef.h>
#include <stdint.h>

/* Bytes of a name, with the zero at its end. */
#define TW_ROUTER_NAME 64

typedef struct {
    int most_waiting;     /* requests of a team that wait; a further one is answered 503 at once */
    int most_attempts;    /* of a request */
    double retry_ratio;   /* retries that each new request allows all requests together */
    double retry_burst;   /* and most that are saved up */
    double average_ratio; /* weight of a new sample in a replica's moving average */
} tw_router_settings;

/* The status of a final answer, as in HTTP. */
typedef enum {
    TW_ROUTER_OK = 200,
    TW_ROUTER_FAILED = 502, /* the last attempt failed, and no other may be made */
    TW_ROUTER_FULL = 503,   /* too many requests of the team wait */
    TW_ROUTER_LATE = 504    /* the deadline is over */
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

/* The end of an attempt. */
typedef enum {
    TW_ROUTER_DONE,    /* completely answered */
    TW_ROUTER_REFUSED, /* it was not begun: the replica has no room, or the epoch is old */
    TW_ROUTER_BROKEN,  /* it was begun and will not answer */
    TW_ROUTER_LOST     /* not known; an answer may still come, and is dropped */
} tw_router_result;

typedef struct tw_router tw_router;
/* Makes a router without replicas. The settings are copied. Free it with tw_router_free. */
tw_router *tw_router_new(const tw_router_settings *settings);
/* Frees the router, its requests and the effects that were not taken. NULL is allowed. */
void tw_router_free(tw_router *router);

/* Adds or changes a replica. epoch: of its machine; 0 while nothing new may go there, since it
 * drains or is gone. slots: requests that it runs at once. service_s: first estimate of how long a
 * request takes. */
void tw_router_set_replica(tw_router *router, double now, const char *name, uint64_t epoch,
                           int slots, double service_s);
/* Sets a team's weight in the turns, which is 1 where none was set. */
void tw_router_set_team_weight(tw_router *router, const char *name, double weight);
/* Takes a request, by a number that is used once. It gets its final answer by its deadline. */
void tw_router_add_request(tw_router *router, double now, uint64_t request, const char *team,
                           double deadline);
/* A part of the attempt's answer came. That of an earlier attempt is dropped. */
void tw_router_part_received(tw_router *router, double now, uint64_t request, int attempt);
/* The attempt has ended. The end of an earlier attempt is ignored. */
void tw_router_attempt_ended(tw_router *router, double now, uint64_t request, int attempt,
                             tw_router_result end);
/* Lets time pass: answers the requests whose deadline is over. */
void tw_router_tick(tw_router *router, double now);
/* The next effect, or NULL. The caller frees it with free. */
tw_router_effect *tw_router_next_effect(tw_router *router);

/* Number of requests that have no final answer yet. */
int tw_router_open_count(const tw_router *router);
/* Number of requests that wait for a replica. */
int tw_router_waiting_count(const tw_router *router);

#endif
