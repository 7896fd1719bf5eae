/* The context that all state machines of a controller share: the settings, the time of the current
 * input, a random number generator, the queue of effects, and the outstanding calls.
 *
 * The core owns the context and sets its time before it passes an input to a state machine.
 * Invariants: each request gets exactly one reply; each call has exactly one outcome, after which
 * its tw_call is freed; a module ignores the outcome of a call of an earlier term if the call
 * concerned that term only. */
#ifndef TW_CONTEXT_H
#define TW_CONTEXT_H
#include "config/config.h"
#include "context/call.h"
#include "context/effect.h"
#include "context/expiring_name.h"
#include "context/memory.h"
#include "context/rate_limiter.h"
#include "context/status.h"
#include <gsl/gsl_rng.h>
#include <stdint.h>

typedef struct tw_context {
    const tw_config *config; /* not owned */
    double now;              /* monotonic time of the current input in seconds */
    double wall;             /* time of day in seconds */
    gsl_rng *random;
    uint64_t term; /* incremented when this node starts or stops leading; copied into each call */

    /* Owned by effects.c. */
    tw_effect *first_effect, *last_effect;
    tw_call *calls; /* outstanding calls by id */
    uint64_t last_call_id;
    /* Calls to the state service, and rate-limited responses, since the counts were last logged. */
    unsigned calls_made[TW_CALL_KINDS], calls_rate_limited;
    double next_calls_log_at;
} tw_context;

/* Initializes a zeroed context. seed: seed of the random number generator. */
void tw_context_init(tw_context *context, const tw_config *config, uint64_t seed, double now,
                     double wall);
/* Frees everything that the context owns, including outstanding calls and queued effects. */
void tw_context_free(tw_context *context);
/* Sets the monotonic time and the time of day. A `now` before the current one is ignored. */
void tw_context_set_time(tw_context *context, double now, double wall);
/* Returns a uniformly distributed random number between min and max. */
double tw_context_random(tw_context *context, double min, double max);

/* ---- effects.c ---- */

/* Queues the reply to the request on the connection, or frees body if connection is 0 (no request
 * waits). Takes ownership of body. retry_after: value of the Retry-After header in seconds; 0: no
 * such header. */
void tw_reply(tw_context *context, uint64_t connection, int status, double retry_after, char *body);
/* Queues a reply as tw_reply does, with the body {"error":"<what>"}. */
void tw_reply_error(tw_context *context, uint64_t connection, int status, double retry_after,
                    const char *what);
/* Queues a call. Takes ownership of body. Returns the outstanding call, whose second group of
 * members the caller may fill in; the context owns it until the response arrives. */
tw_call *tw_call_send(tw_context *context, tw_call_kind kind, tw_call_target to, const char *addr,
                      const char *method, const char *path, char *body, double timeout_s);
/* Removes the outstanding call with this id, to which a response with this status arrived. Returns
 * the call, which the caller frees by tw_call_free; NULL if no such call is outstanding. */
tw_call *tw_call_match_response(tw_context *context, uint64_t id, int status);
void tw_call_free(tw_call *sent);
/* Removes and returns the oldest queued effect; NULL if there is none. The caller frees it by
 * tw_effect_free. */
tw_effect *tw_context_next_effect(tw_context *context);
void tw_effect_free(tw_effect *effect);
/* Logs the number of calls to the state service by purpose, once per worker lease. All nodes share
 * the state service's rate limit. */
void tw_calls_log_counts(tw_context *context);

#endif
