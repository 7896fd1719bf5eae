/* Creation and freeing of the context, its time and its random numbers. */
#include "context/context.h"
#include <stdlib.h>

void tw_context_init(tw_context *context, const tw_config *config, uint64_t seed, double now,
                     double wall) {
    context->config = config;
    context->now = now;
    context->wall = wall;
    context->random = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(context->random, (unsigned long)seed);
}

void tw_context_free(tw_context *context) {
    tw_call *sent, *next;
    HASH_ITER(hh, context->calls, sent, next) {
        HASH_DEL(context->calls, sent);
        tw_call_free(sent);
    }
    tw_effect *effect;
    while ((effect = tw_context_next_effect(context))) tw_effect_free(effect);
    gsl_rng_free(context->random);
}

void tw_context_set_time(tw_context *context, double now, double wall) {
    if (now > context->now) context->now = now;
    context->wall = wall;
}

double tw_context_random(tw_context *context, double min, double max) {
    return min + (max - min) * gsl_rng_uniform(context->random);
}
