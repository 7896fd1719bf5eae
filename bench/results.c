/* The list of results, and the accumulation of rounds into a result. */
#include "bench.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define MICRO 1e6

tw_bench_result tw_bench_result_init(const char *name, const char *per) {
    tw_bench_result result = {
        .time_us = NAN, .steps = NAN, .allocations = NAN, .instructions = NAN, .bytes = NAN};
    snprintf(result.name, sizeof result.name, "%s", name);
    snprintf(result.per, sizeof result.per, "%s", per);
    return result;
}

/* Returns the average per unit after a round of `weight` units with the total `sum` is added to
 * `previous_count` units with the average `old`. */
static double average(double old, double previous_count, double sum, double weight) {
    return previous_count > 0 ? (old * previous_count + sum) / (previous_count + weight)
                              : sum / weight;
}

void tw_bench_result_add_round(tw_bench_result *result, const tw_bench_meter *meter, double count) {
    const double previous_count = result->count;
    const double time_us = MICRO * meter->seconds / count;
    result->time_us = previous_count > 0 ? fmin(result->time_us, time_us) : time_us;
    result->steps = average(result->steps, previous_count, (double)meter->steps, count);
    result->allocations =
        average(result->allocations, previous_count, (double)meter->allocations, count);
    if (tw_bench_counts_instructions())
        result->instructions =
            average(result->instructions, previous_count, (double)meter->instructions, count);
    result->count = previous_count + count;
}

void tw_bench_results_add(tw_bench_results *results, const tw_bench_result *result) {
    if (results->count == results->capacity) {
        results->capacity = results->capacity ? 2 * results->capacity : 16;
        results->items =
            realloc(results->items, (size_t)results->capacity * sizeof *results->items);
        if (!results->items) abort();
    }
    results->items[results->count++] = *result;
}

const tw_bench_result *tw_bench_results_find(const tw_bench_results *results,
                                             const tw_bench_result *key) {
    for (int i = 0; i < results->count; i++) {
        const tw_bench_result *item = &results->items[i];
        if (item->machines == key->machines && item->tasks == key->tasks &&
            item->jobs == key->jobs && !strcmp(item->name, key->name) &&
            !strcmp(item->per, key->per))
            return item;
    }
    return NULL;
}

void tw_bench_results_free(tw_bench_results *results) { free(results->items); }
