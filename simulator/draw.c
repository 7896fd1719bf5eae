/* Draws random numbers from the scenario's seed. Each kind of draw has its own stream, so that
 * adding a fault to a scenario does not change the draws of the other kinds. */
#include "world.h"
#include <gsl/gsl_rng.h>
#include <stdlib.h>

#define SEEDS_PER_SCENARIO                                                                         \
    8 /* fixed: the number of streams here would reseed every stream when one is added */

double tw_simulator_draw(tw_simulator_world *world, int kind, double from, double to) {
    if (!world->draws[kind]) {
        world->draws[kind] = gsl_rng_alloc(gsl_rng_taus2);
        if (!world->draws[kind]) abort();
        gsl_rng_set(world->draws[kind],
                    (unsigned long)world->seed * SEEDS_PER_SCENARIO + (unsigned)kind + 1);
    }
    return from + (to - from) * gsl_rng_uniform(world->draws[kind]);
}

int tw_simulator_draw_index(tw_simulator_world *world, int kind, int count) {
    return (int)tw_simulator_draw(world, kind, 0, count);
}

void tw_simulator_draws_free(tw_simulator_world *world) {
    for (int i = 0; i < TW_SIMULATOR_DRAW_KINDS; i++) {
        if (world->draws[i]) gsl_rng_free(world->draws[i]);
        world->draws[i] = NULL;
    }
}
