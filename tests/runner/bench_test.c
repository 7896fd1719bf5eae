/* Tests the bounds on the steps and allocations of the benchmark cases on small fleets; processor
 * time is not checked. Also tests that a second run gives equal counts, and that result lines are
 * read back as they were written. */
#include "bench.h"
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SMALL 150
#define LARGE 1500

static int failures;

static void check_case(bool holds, const char *what, const char *case_name) {
    if (holds) return;
    printf("FAIL bench: %s: %s\n", case_name, what);
    failures++;
}

/* Runs a case at these sizes and returns its only result. */
static tw_bench_result run(const char *name, int machines, int tasks, int jobs) {
    const tw_bench_sizes sizes = {machines, tasks, jobs};
    const tw_bench_case *bench_case = tw_bench_cases;
    tw_bench_results results = {0};
    tw_bench_result result = tw_bench_result_init(name, "");
    while (bench_case->name && strcmp(bench_case->name, name) != 0) bench_case++;
    check_case(bench_case->name && !bench_case->run(&sizes, &results), "the case fails", name);
    check_case(results.count == 1, "the case does not give exactly one result", name);
    if (results.count == 1) result = results.items[0];
    tw_bench_results_free(&results);
    return result;
}

/* ---- counts that must not depend on a size ---- */

/* Returns whether two counts differ by no more than a share of the first. */
static bool differ_within(double first, double second, double share) {
    return fabs(second - first) <= share * fabs(first) + 1e-9;
}

static void test_heartbeats_cost_the_same_in_large_fleets(void) {
    static const char *const names[] = {"report", "relay"};
    for (size_t i = 0; i < sizeof names / sizeof *names; i++) {
        const tw_bench_result small = run(names[i], SMALL, 8, -1);
        const tw_bench_result large = run(names[i], LARGE, 8, -1);
        check_case(small.count > 0 && small.allocations > 0, "nothing is counted", names[i]);
        check_case(differ_within(small.steps, large.steps, 0), "steps grow with the fleet",
                   names[i]);
        check_case(differ_within(small.allocations, large.allocations, 0.01),
                   "allocations grow with the fleet", names[i]);
    }
}

static void test_takeover_is_linear(void) {
    const tw_bench_result few = run("takeover", SMALL, 0, 1000);
    const tw_bench_result many = run("takeover", SMALL, 0, 10000);
    check_case(few.allocations > 0, "nothing is counted", "takeover");
    check_case(differ_within(few.allocations, many.allocations, 0.02),
               "allocations grow with the records", "takeover");
    check_case(differ_within(few.steps, many.steps, 0), "steps grow with the records", "takeover");
}

/* ---- bounds ---- */

typedef struct {
    const char *name;
    int machines;
    int tasks;
    int jobs;
    double steps;       /* highest number allowed for one unit of the result */
    double allocations; /* highest number allowed for one unit of the result */
} figure_bound;

static void test_bounds(void) {
    /* A placement examines each machine once, and a pass each machine at most once for each task
     * shape. The bounds on allocations are whole numbers at most 5% above the counts. */
    static const figure_bound bounds[] = {
        {"report", SMALL, 0, -1, 0, 4},
        {"report", SMALL, 40, -1, 0, 4},
        {"relay", SMALL, 8, -1, 0, 9},
        {"change", SMALL, 8, -1, 0, 188},
        {"placement", SMALL, 8, -1, SMALL, 647},
        {"pass", SMALL, 8, 1000, 10 * SMALL, 197},
        {"plan", SMALL, 8, 1000, 60 * SMALL, 39},
        {"leader", SMALL, 8, -1, 0, 1747},
        {"follower", SMALL, 8, -1, 0, 13143},
        {"opening", SMALL, -1, 300, 1.1 * SMALL, 485},
        {"takeover", SMALL, 0, 1000, 0, 25},
    };
    for (size_t i = 0; i < sizeof bounds / sizeof *bounds; i++) {
        const figure_bound *bound = &bounds[i];
        const tw_bench_result result = run(bound->name, bound->machines, bound->tasks, bound->jobs);
        if (result.steps <= bound->steps && result.allocations <= bound->allocations) continue;
        printf("FAIL bench: %s machines=%d tasks=%d jobs=%d: %.2f steps of %.2f, %.2f allocations "
               "of %.2f\n",
               bound->name, bound->machines, bound->tasks, bound->jobs, result.steps, bound->steps,
               result.allocations, bound->allocations);
        failures++;
    }
}

/* ---- repeated runs and result lines ---- */

static void test_counts_repeat(void) {
    const tw_bench_result first = run("opening", SMALL, -1, 100);
    const tw_bench_result second = run("opening", SMALL, -1, 100);
    check_case(first.steps == second.steps && first.allocations == second.allocations,
               "a second run gives other counts", "opening");
    check_case(first.steps > 0, "no steps are counted", "opening");
}

static FILE *open_text(const char *text) {
    FILE *file = tmpfile();
    if (!file) abort();
    fputs(text, file);
    rewind(file);
    return file;
}

static void test_lines_are_read_as_written(void) {
    tw_bench_results written = {0};
    tw_bench_results read = {0};
    tw_bench_result result = tw_bench_result_init("report", "report");
    int bad_line;
    result.machines = SMALL;
    result.tasks = 8;
    result.steps = 3;
    result.allocations = 12.5;
    tw_bench_results_add(&written, &result);
    FILE *file = open_text("");
    tw_bench_write_lines(file, &written);
    rewind(file);
    check_case(!tw_bench_read_lines(file, &read, &bad_line), "a written line is not read", "lines");
    fclose(file);
    const tw_bench_result *found = tw_bench_results_find(&read, &result);
    check_case(found && found->steps == 3 && found->allocations == 12.5,
               "a result is not read back as written", "lines");
    check_case(found && isnan(found->bytes), "an unmeasured figure is not read back as NAN",
               "lines");
    result.tasks = 0;
    check_case(!tw_bench_results_find(&read, &result), "a result of another size is found",
               "lines");
    tw_bench_results_free(&written);
    tw_bench_results_free(&read);
}

static void test_other_lines_are_refused(void) {
    static const char *const texts[] = {"{}\n", "[1]\n", "case\n",
                                        "{\"case\":\"report\",\"per\":\"report\"}\n"};
    for (size_t i = 0; i < sizeof texts / sizeof *texts; i++) {
        tw_bench_results read = {0};
        int bad_line = 0;
        FILE *file = open_text(texts[i]);
        check_case(tw_bench_read_lines(file, &read, &bad_line) && bad_line == 1,
                   "a malformed line is accepted", texts[i]);
        fclose(file);
        tw_bench_results_free(&read);
    }
}

int main(void) {
    test_heartbeats_cost_the_same_in_large_fleets();
    test_takeover_is_linear();
    test_bounds();
    test_counts_repeat();
    test_lines_are_read_as_written();
    test_other_lines_are_refused();
    return failures != 0;
}
