/* Rate budgets: token buckets that keep the calls to a limited service within its rate. Not for
 * other packages. */
#ifndef TW_CORE_BUDGET_H
#define TW_CORE_BUDGET_H
#include <stdbool.h>

struct tw_core;

typedef struct {
    double tokens; /* calls that may be made at once, as of updated_at; below 0: owed */
    double rate;   /* tokens gained a second */
    double burst;  /* most tokens that it holds */
    double updated_at;
} tw_rate_limiter;

/* A full budget. */
tw_rate_limiter tw_rate_limiter_make(double rate, double burst, double now);
/* The calls that may be made now. */
double tw_rate_limiter_available(struct tw_core *core, tw_rate_limiter *budget);
/* Takes so many calls out of the budget, or none and returns 0 if it holds fewer. */
bool tw_rate_limiter_try_acquire(struct tw_core *core, tw_rate_limiter *budget, double calls);
/* Gives calls back that were taken and not made; below 0: calls that were made without asking. */
void tw_rate_limiter_refund(tw_rate_limiter *budget, double calls);

/* Sets this node's parts of what the state service and the cloud take, by the settings. */
void tw_rate_limiters_init(struct tw_core *core);

#endif
