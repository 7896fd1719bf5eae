/* Whole random numbers from a seed, the same on any machine. */
#ifndef TW_FUZZ_DICE_H
#define TW_FUZZ_DICE_H
#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
    gsl_rng *generator;
} tw_fuzz_dice;

void tw_fuzz_dice_init(tw_fuzz_dice *dice, uint32_t seed);
void tw_fuzz_dice_free(tw_fuzz_dice *dice);
/* One of least ... most, each as likely. */
int tw_fuzz_dice_range(tw_fuzz_dice *dice, int least, int most);
/* True in so many percent of cases. */
bool tw_fuzz_dice_percent(tw_fuzz_dice *dice, int percent);
/* True in half of the cases. */
bool tw_fuzz_dice_half(tw_fuzz_dice *dice);
/* One of the numbers. */
int tw_fuzz_dice_one_of(tw_fuzz_dice *dice, const int *numbers, size_t count);
/* An index, as likely as its weight. */
size_t tw_fuzz_dice_weighted(tw_fuzz_dice *dice, const int *weights, size_t count);

/* One of the numbers written out. */
#define TW_FUZZ_ONE_OF(dice, ...)                                                                  \
    tw_fuzz_dice_one_of((dice), (const int[]){__VA_ARGS__},                                        \
                        sizeof((const int[]){__VA_ARGS__}) / sizeof(int))

#endif
