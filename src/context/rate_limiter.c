/* Token bucket rate limiters. */
#include "context/rate_limiter.h"

tw_rate_limiter tw_rate_limiter_make(double rate, double burst, double now) {
    return (tw_rate_limiter){.tokens = burst, .rate = rate, .burst = burst, .updated_at = now};
}

double tw_rate_limiter_available(tw_rate_limiter *limiter, double now) {
    limiter->tokens += (now - limiter->updated_at) * limiter->rate;
    if (limiter->tokens > limiter->burst) limiter->tokens = limiter->burst;
    limiter->updated_at = now;
    return limiter->tokens;
}

bool tw_rate_limiter_try_acquire(tw_rate_limiter *limiter, double now, double calls) {
    if (tw_rate_limiter_available(limiter, now) < calls) return false;
    limiter->tokens -= calls;
    return true;
}

void tw_rate_limiter_refund(tw_rate_limiter *limiter, double calls) { limiter->tokens += calls; }
