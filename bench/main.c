/* tw_bench: prints what the scheduler's core costs, by case and size (docs/performance.md). */
#include "bench.h"
#include <argp.h>
#include <errno.h>
#include <limits.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define DECIMAL 10
#define FAILED 2 /* exit code: a fleet didn't come to the state that is to be measured */

static const int usual_machines[] = {150, 1500, 4000, 10000};
#define MACHINE_SIZES ((int)(sizeof usual_machines / sizeof *usual_machines))

typedef struct {
    const char *only; /* case, or NULL: all */
    tw_bench_sizes sizes;
    const char *out;
    const char *compare;
} options;

enum { OPT_CASE = 'c', OPT_MACHINES = 'm', OPT_TASKS = 't', OPT_JOBS = 'j', OPT_OUT = 'o' };
enum { OPT_COMPARE = 'p', OPT_LIST = 'l' };

static const struct argp_option argp_options[] = {
    {"case", OPT_CASE, "NAME", 0, "only this case", 0},
    {"machines", OPT_MACHINES, "N", 0, "size of the fleet (default: 150, 1500, 4000 and 10000)", 0},
    {"tasks", OPT_TASKS, "N", 0, "tasks on each machine (default: by case)", 0},
    {"jobs", OPT_JOBS, "N", 0, "jobs that wait, are done or come at once (default: by case)", 0},
    {"out", OPT_OUT, "FILE", 0, "write the figures there, a line of JSON each", 0},
    {"compare", OPT_COMPARE, "FILE", 0, "print ratios to an earlier run's figures", 0},
    {"list", OPT_LIST, NULL, 0, "print the cases and end", 0},
    {NULL, 0, NULL, 0, NULL, 0}};

static int number_of(struct argp_state *state, const char *text, int least) {
    char *rest;
    errno = 0;
    long value = strtol(text, &rest, DECIMAL);
    if (*rest || rest == text || errno || value < least || value > INT_MAX)
        argp_error(state, "not a number from %d: %s", least, text);
    return (int)value;
}

static void list_cases(void) {
    for (const tw_bench_case *bench_case = tw_bench_cases; bench_case->name; bench_case++)
        printf("%-10s %s\n", bench_case->name, bench_case->about);
}

static bool is_case(const char *name) {
    const tw_bench_case *bench_case = tw_bench_cases;
    while (bench_case->name && strcmp(bench_case->name, name) != 0) bench_case++;
    return bench_case->name != NULL;
}

static error_t parse(int key, char *text, struct argp_state *state) {
    options *chosen = state->input;
    switch (key) {
    case OPT_CASE:
        if (!is_case(text)) argp_error(state, "no such case: %s", text);
        chosen->only = text;
        break;
    case OPT_MACHINES:
        chosen->sizes.machines = number_of(state, text, 2);
        break;
    case OPT_TASKS:
        chosen->sizes.tasks = number_of(state, text, 0);
        break;
    case OPT_JOBS:
        chosen->sizes.jobs = number_of(state, text, 0);
        break;
    case OPT_OUT:
        chosen->out = text;
        break;
    case OPT_COMPARE:
        chosen->compare = text;
        break;
    case OPT_LIST:
        list_cases();
        exit(0);
    case ARGP_KEY_ARG:
        argp_error(state, "unexpected: %s", text);
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

/* 0, or -1 if a fleet failed. */
static int run_case(const tw_bench_case *bench_case, const tw_bench_sizes *asked,
                    tw_bench_results *results) {
    int machines;
    for (int i = 0;
         (machines = tw_bench_size_of(asked->machines, usual_machines, MACHINE_SIZES, i)) >= 0;
         i++) {
        tw_bench_sizes sizes = *asked;
        sizes.machines = machines;
        if (bench_case->run(&sizes, results)) {
            fprintf(stderr, "tw_bench: %s: no such fleet of %d machines\n", bench_case->name,
                    machines);
            return -1;
        }
        if (bench_case->once) break;
    }
    return 0;
}

static int run_all(const options *chosen, tw_bench_results *results) {
    int failed = 0;
    for (const tw_bench_case *bench_case = tw_bench_cases; bench_case->name; bench_case++) {
        if (chosen->only && strcmp(chosen->only, bench_case->name) != 0) continue;
        failed |= run_case(bench_case, &chosen->sizes, results);
    }
    return failed;
}

static FILE *open_file(const char *path, const char *mode) {
    FILE *file = fopen(path, mode);
    if (!file) {
        fprintf(stderr, "tw_bench: %s: %s\n", path, strerror(errno));
        exit(EXIT_FAILURE);
    }
    return file;
}

static void read_earlier(const char *path, tw_bench_results *earlier) {
    int bad_line;
    FILE *in = open_file(path, "r");
    if (tw_bench_read_lines(in, earlier, &bad_line)) {
        fprintf(stderr, "tw_bench: %s:%d: not a line of figures\n", path, bad_line);
        exit(EXIT_FAILURE);
    }
    fclose(in);
}

int main(int argc, char **argv) {
    static const struct argp argp = {
        argp_options, parse, NULL, "Prints what the scheduler's core costs.", NULL, NULL, NULL};
    options chosen = {.sizes = {-1, -1, -1}};
    tw_bench_results results = {0};
    tw_bench_results earlier = {0};
    argp_err_exit_status = EXIT_FAILURE;
    argp_parse(&argp, argc, argv, 0, NULL, &chosen);
    if (chosen.compare) read_earlier(chosen.compare, &earlier);
    FILE *out = chosen.out ? open_file(chosen.out, "w") : NULL;
    const int failed = run_all(&chosen, &results);
    tw_bench_print_table(stdout, &results);
    if (chosen.compare) tw_bench_print_ratios(stdout, &results, &earlier);
    if (out) tw_bench_write_lines(out, &results);
    if (out && fclose(out)) {
        fprintf(stderr, "tw_bench: %s: %s\n", chosen.out, strerror(errno));
        return EXIT_FAILURE;
    }
    tw_bench_results_free(&results);
    tw_bench_results_free(&earlier);
    return failed ? FAILED : 0;
}
