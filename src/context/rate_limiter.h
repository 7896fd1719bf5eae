/* Rate limiters: token buckets that keep the calls to a limited service within its rate. */
#ifndef TW_CONTEXT_RATE_LIMITER_H
#define TW_CONTEXT_RATE_LIMITER_H
#include <stdbool.h>

typedef struct {
    double tokens; /* calls that may be made at once, as of updated_at; below 0: owed */
    double rate;   /* tokens gained a second */
    double burst;  /* most tokens that it holds */
    double updated_at;
} tw_rate_limiter;

/* A limiter with a full bucket. now: steady seconds, here and below. */
tw_rate_limiter tw_rate_limiter_make(double rate, double burst, double now);
/* The calls that may be made now. */
double tw_rate_limiter_available(tw_rate_limiter *limiter, double now);
/* Takes so many tokens, or none and returns false if there are fewer. */
bool tw_rate_limiter_try_acquire(tw_rate_limiter *limiter, double now, double calls);
/* Gives tokens back that were taken for calls that were not made; below 0: for calls that were made
 * without asking. */
void tw_rate_limiter_refund(tw_rate_limiter *limiter, double calls);

#endif
