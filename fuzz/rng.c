#include "rng.h"
#include <stdbool.h>
#include <stdlib.h>

void tw_fuzz_rng_init(tw_fuzz_rng *rng, uint32_t seed) {
    rng->generator = gsl_rng_alloc(gsl_rng_mt19937);
    if (!rng->generator) abort();
    gsl_rng_set(rng->generator, seed);
}

void tw_fuzz_rng_free(tw_fuzz_rng *rng) { gsl_rng_free(rng->generator); }

int tw_fuzz_rng_range(tw_fuzz_rng *rng, int min, int max) {
    if (max <= min) return min;
    const unsigned long count = (unsigned long)(max - min) + 1;
    return min + (int)gsl_rng_uniform_int(rng->generator, count);
}

bool tw_fuzz_rng_percent(tw_fuzz_rng *rng, int percent) {
    return tw_fuzz_rng_range(rng, 1, 100) <= percent;
}

bool tw_fuzz_rng_half(tw_fuzz_rng *rng) { return tw_fuzz_rng_range(rng, 0, 1) == 1; }

int tw_fuzz_rng_one_of(tw_fuzz_rng *rng, const int *numbers, size_t count) {
    return numbers[tw_fuzz_rng_range(rng, 0, (int)count - 1)];
}

size_t tw_fuzz_rng_weighted(tw_fuzz_rng *rng, const int *weights, size_t count) {
    int sum = 0;
    for (size_t i = 0; i < count; i++) sum += weights[i];
    int remaining = tw_fuzz_rng_range(rng, 1, sum);
    size_t index = 0;
    while (index + 1 < count && remaining > weights[index]) remaining -= weights[index++];
    return index;
}
