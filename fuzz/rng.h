/* Whole random numbers from a seed, the same on any machine. */
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
/* One of least ... most, each as likely. */
int tw_fuzz_rng_range(tw_fuzz_rng *rng, int min, int max);
/* True in so many percent of cases. */
bool tw_fuzz_rng_percent(tw_fuzz_rng *rng, int percent);
/* True in half of the cases. */
bool tw_fuzz_rng_half(tw_fuzz_rng *rng);
/* One of the numbers. */
int tw_fuzz_rng_one_of(tw_fuzz_rng *rng, const int *numbers, size_t count);
/* An index, as likely as its weight. */
size_t tw_fuzz_rng_weighted(tw_fuzz_rng *rng, const int *weights, size_t count);

/* One of the numbers written out. */
#define TW_FUZZ_ONE_OF(rng, ...)                                                                   \
    tw_fuzz_rng_one_of((rng), (const int[]){__VA_ARGS__},                                          \
                       sizeof((const int[]){__VA_ARGS__}) / sizeof(int))

#endif
