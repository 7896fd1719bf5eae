/* What all state machines of a controller work with: the settings, the time of the input in hand, a
 * source of random numbers, the effects to be carried out, and the calls that wait for responses.
 *
 * Owned by the core, which sets the time before it hands an input on; read by every package above.
 * Invariants: a request gets one reply; a call has one outcome, and what is known of it is freed
 * with that; the outcome of a call of an earlier term is ignored where it belongs to that term. */
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
    double now;              /* steady seconds, of the input in hand */
    double wall;             /* time of day in seconds */
    gsl_rng *random;
    uint64_t term; /* changes when this node begins or ends to lead; calls remember theirs */

    /* Owned by effects.c. */
    tw_effect *first_effect, *last_effect;
    tw_call *calls; /* that wait for their responses, by id */
    uint64_t last_call_id;
    unsigned calls_made[TW_CALL_KINDS], calls_refused; /* to the state service, since the log */
    double next_calls_log_at;
} tw_context;

/* Fills a zeroed context. seed: of the random numbers. */
void tw_context_init(tw_context *context, const tw_config *config, uint64_t seed, double now,
                     double wall);
/* Frees what the context owns, calls and effects that nobody took among it. */
void tw_context_free(tw_context *context);
/* Sets the time; a steady time that goes back is ignored. */
void tw_context_set_time(tw_context *context, double now, double wall);
/* A number drawn evenly between the two. */
double tw_context_random(tw_context *context, double least, double most);

/* ---- effects.c ---- */

/* Replies to the request of that connection; 0: nobody waits for it. body: taken. retry_after:
 * seconds, 0: none. */
void tw_reply(tw_context *context, uint64_t connection, int status, double retry_after, char *body);
/* The same with the body {"error":"<what>"}. */
void tw_reply_error(tw_context *context, uint64_t connection, int status, double retry_after,
                    const char *what);
/* Makes a call. body: taken. Returns what is known of the call until its response, to be filled in
 * by the caller. */
tw_call *tw_call_send(tw_context *context, tw_call_kind kind, tw_call_target to, const char *addr,
                      const char *method, const char *path, char *body, double timeout_s);
/* The call that a response with this status belongs to, to be freed by tw_call_free; NULL: none is
 * waited for. */
tw_call *tw_call_answered(tw_context *context, uint64_t id, int status);
void tw_call_free(tw_call *sent);
/* The next effect, or NULL; free it with tw_effect_free. */
tw_effect *tw_context_next_effect(tw_context *context);
void tw_effect_free(tw_effect *effect);
/* Logs now and then how often the state service was called: its limit is for all nodes together. */
void tw_calls_log_counts(tw_context *context);

#endif
