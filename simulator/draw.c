/* Draws from the scenario's seed. Each kind has a stream of its own, so that one more trouble
 * doesn't change what the others draw. */
#include "world.h"
#include <gsl/gsl_rng.h>
#include <stdlib.h>

#define SEED_STEP 8 /* not the number of streams: one more must not change the others */

double tw_simulator_draw(tw_simulator_world *w, int kind, double from, double to) {
    if (!w->draws[kind]) {
        w->draws[kind] = gsl_rng_alloc(gsl_rng_taus2);
        if (!w->draws[kind]) abort();
        gsl_rng_set(w->draws[kind], (unsigned long)w->seed * SEED_STEP + (unsigned)kind + 1);
    }
    return from + (to - from) * gsl_rng_uniform(w->draws[kind]);
}

int tw_simulator_draw_index(tw_simulator_world *w, int kind, int n) {
    return (int)tw_simulator_draw(w, kind, 0, n);
}

void tw_simulator_draws_free(tw_simulator_world *w) {
    for (int i = 0; i < TW_SIMULATOR_DRAWS; i++) {
        if (w->draws[i]) gsl_rng_free(w->draws[i]);
        w->draws[i] = NULL;
    }
}
