/* Random integers generated from a seed. Equal seeds give equal sequences on every machine. */
#ifndef TW_FUZZ_RNG_H
#define TW_FUZZ_RNG_H
#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
    gsl_rng *generator;
} tw_fuzz_rng;

void tw_fuzz_rng_init(tw_fuzz_rng *rng, uint32_t seed);
void tw_fuzz_rng_free(tw_fuzz_rng *rng);
/* Returns a uniformly distributed integer of min..max, or min if max is less. */
int tw_fuzz_rng_range(tw_fuzz_rng *rng, int min, int max);
/* Returns true with the given probability in percent. */
bool tw_fuzz_rng_percent(tw_fuzz_rng *rng, int percent);
/* Returns true with a probability of one half. */
bool tw_fuzz_rng_half(tw_fuzz_rng *rng);
/* Returns an element of the array with equal probability. */
int tw_fuzz_rng_one_of(tw_fuzz_rng *rng, const int *numbers, size_t count);
/* Returns an index into `weights` with a probability proportional to its weight. */
size_t tw_fuzz_rng_weighted(tw_fuzz_rng *rng, const int *weights, size_t count);

/* Returns one of the integer arguments with equal probability. */
#define TW_FUZZ_ONE_OF(rng, ...)                                                                   \
    tw_fuzz_rng_one_of((rng), (const int[]){__VA_ARGS__},                                          \
                       sizeof((const int[]){__VA_ARGS__}) / sizeof(int))

#endif
