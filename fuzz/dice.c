#include "dice.h"
#include <stdbool.h>
#include <stdlib.h>

void tw_fuzz_dice_init(tw_fuzz_dice *dice, uint32_t seed) {
    dice->generator = gsl_rng_alloc(gsl_rng_mt19937);
    if (!dice->generator) abort();
    gsl_rng_set(dice->generator, seed);
}

void tw_fuzz_dice_free(tw_fuzz_dice *dice) { gsl_rng_free(dice->generator); }

int tw_fuzz_dice_range(tw_fuzz_dice *dice, int least, int most) {
    if (most <= least) return least;
    const unsigned long count = (unsigned long)(most - least) + 1;
    return least + (int)gsl_rng_uniform_int(dice->generator, count);
}

bool tw_fuzz_dice_percent(tw_fuzz_dice *dice, int percent) {
    return tw_fuzz_dice_range(dice, 1, 100) <= percent;
}

bool tw_fuzz_dice_half(tw_fuzz_dice *dice) { return tw_fuzz_dice_range(dice, 0, 1) == 1; }

int tw_fuzz_dice_one_of(tw_fuzz_dice *dice, const int *numbers, size_t count) {
    return numbers[tw_fuzz_dice_range(dice, 0, (int)count - 1)];
}

size_t tw_fuzz_dice_weighted(tw_fuzz_dice *dice, const int *weights, size_t count) {
    int sum = 0;
    for (size_t i = 0; i < count; i++) sum += weights[i];
    int left = tw_fuzz_dice_range(dice, 1, sum);
    size_t index = 0;
    while (index + 1 < count && left > weights[index]) left -= weights[index++];
    return index;
}
