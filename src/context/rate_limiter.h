/* Rate limiters: token buckets that keep calls within the rate limit of a service. */
#ifndef TW_CONTEXT_RATE_LIMITER_H
#define TW_CONTEXT_RATE_LIMITER_H
#include <stdbool.h>

typedef struct {
    double tokens; /* calls allowed at updated_at; negative after calls made beyond the limit */
    double rate;   /* tokens added per second */
    double burst;  /* maximum number of tokens */
    double updated_at;
} tw_rate_limiter;

/* Returns a limiter with a full bucket. now: monotonic time in seconds, here and below. */
tw_rate_limiter tw_rate_limiter_make(double rate, double burst, double now);
/* Refills the bucket up to now and returns its tokens: the number of calls that may be made. */
double tw_rate_limiter_available(tw_rate_limiter *limiter, double now);
/* Takes one token for each call. Returns false, and takes none, if there are too few tokens. */
bool tw_rate_limiter_try_acquire(tw_rate_limiter *limiter, double now, double calls);
/* Returns tokens that were taken for calls that were not made. A negative number charges calls that
 * were made without acquiring tokens. */
void tw_rate_limiter_refund(tw_rate_limiter *limiter, double calls);

#endif
