/* Prints the figures of this run as ratios to those of an earlier run. */
#include "bench.h"
#include <math.h>

#define WIDTH 12

static void print_ratio(FILE *out, double now, double earlier) {
    if (isnan(now) || isnan(earlier) || (earlier == 0 && now != 0))
        fprintf(out, " %*s", WIDTH, "-");
    else
        fprintf(out, " %*.3f", WIDTH, earlier == 0 ? 1 : now / earlier);
}

void tw_bench_print_ratios(FILE *out, const tw_bench_results *now,
                           const tw_bench_results *earlier) {
    fprintf(out, "\nratio to the earlier run\n%-10s %8s %5s %8s %-18s %12s %12s %12s %12s %12s\n",
            "case", "machines", "tasks", "jobs", "per", "time", "steps", "allocations",
            "instructions", "bytes");
    for (int i = 0; i < now->count; i++) {
        const tw_bench_result *result = &now->items[i];
        const tw_bench_result *previous = tw_bench_results_find(earlier, result);
        fprintf(out, "%-10s %8d %5d %8d %-18s", result->name, result->machines, result->tasks,
                result->jobs, result->per);
        if (!previous) {
            fputs(" not in the earlier run\n", out);
            continue;
        }
        print_ratio(out, result->time_us, previous->time_us);
        print_ratio(out, result->steps, previous->steps);
        print_ratio(out, result->allocations, previous->allocations);
        print_ratio(out, result->instructions, previous->instructions);
        print_ratio(out, result->bytes, previous->bytes);
        fputc('\n', out);
    }
}
