/* Results: a list, and rounds taken together. */
#include "bench.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define MICRO 1e6

tw_bench_result tw_bench_result_of(const char *name, const char *per) {
    tw_bench_result result = {
        .time_us = NAN, .steps = NAN, .allocations = NAN, .instructions = NAN, .bytes = NAN};
    snprintf(result.name, sizeof result.name, "%s", name);
    snprintf(result.per, sizeof result.per, "%s", per);
    return result;
}

/* The average when a round of `weight` joins `before` of them. */
static double average(double old, double before, double sum, double weight) {
    return before > 0 ? (old * before + sum) / (before + weight) : sum / weight;
}

void tw_bench_result_round(tw_bench_result *result, const tw_bench_meter *meter, double count) {
    const double before = result->count;
    const double time_us = MICRO * meter->seconds / count;
    result->time_us = before > 0 ? fmin(result->time_us, time_us) : time_us;
    result->steps = average(result->steps, before, (double)meter->steps, count);
    result->allocations = average(result->allocations, before, (double)meter->allocations, count);
    if (tw_bench_counts_instructions())
        result->instructions =
            average(result->instructions, before, (double)meter->instructions, count);
    result->count = before + count;
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
                                             const tw_bench_result *like) {
    for (int i = 0; i < results->count; i++) {
        const tw_bench_result *item = &results->items[i];
        if (item->machines == like->machines && item->tasks == like->tasks &&
            item->jobs == like->jobs && !strcmp(item->name, like->name) &&
            !strcmp(item->per, like->per))
            return item;
    }
    return NULL;
}

void tw_bench_results_free(tw_bench_results *results) { free(results->items); }
