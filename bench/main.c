/* tw_bench: runs the benchmark cases of the scheduler's core and prints the cost of each by size
 * (docs/performance.md). */
#include "bench.h"
#include <argp.h>
#include <errno.h>
#include <limits.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define DECIMAL 10
#define EXIT_CASE_FAILED 2 /* exit code: a fleet did not reach the state to be measured */

static const int default_machines[] = {150, 1500, 4000, 10000};
#define DEFAULT_MACHINE_COUNTS ((int)(sizeof default_machines / sizeof *default_machines))

typedef struct {
    const char *case_name; /* NULL: all cases */
    tw_bench_sizes sizes;
    const char *out;
    const char *compare;
} options;

enum { OPT_CASE = 'c', OPT_MACHINES = 'm', OPT_TASKS = 't', OPT_JOBS = 'j', OPT_OUT = 'o' };
enum { OPT_COMPARE = 'p', OPT_LIST = 'l' };

static const struct argp_option argp_options[] = {
    {"case", OPT_CASE, "NAME", 0, "only this case", 0},
    {"machines", OPT_MACHINES, "N", 0, "machines in the fleet (default: 150, 1500, 4000 and 10000)",
     0},
    {"tasks", OPT_TASKS, "N", 0, "tasks on each machine (default: by case)", 0},
    {"jobs", OPT_JOBS, "N", 0, "waiting, completed or submitted jobs (default: by case)", 0},
    {"out", OPT_OUT, "FILE", 0, "write each result to FILE as a line of JSON", 0},
    {"compare", OPT_COMPARE, "FILE", 0, "print ratios to the figures of an earlier run's FILE", 0},
    {"list", OPT_LIST, NULL, 0, "list the cases and exit", 0},
    {NULL, 0, NULL, 0, NULL, 0}};

static int parse_number(struct argp_state *state, const char *text, int minimum) {
    char *rest;
    errno = 0;
    long value = strtol(text, &rest, DECIMAL);
    if (*rest || rest == text || errno || value < minimum || value > INT_MAX)
        argp_error(state, "not an integer of at least %d: %s", minimum, text);
    return (int)value;
}

static void list_cases(void) {
    for (const tw_bench_case *bench_case = tw_bench_cases; bench_case->name; bench_case++)
        printf("%-10s %s\n", bench_case->name, bench_case->description);
}

static bool is_case(const char *name) {
    const tw_bench_case *bench_case = tw_bench_cases;
    while (bench_case->name && strcmp(bench_case->name, name) != 0) bench_case++;
    return bench_case->name != NULL;
}

static error_t parse_option(int key, char *text, struct argp_state *state) {
    options *selected = state->input;
    switch (key) {
    case OPT_CASE:
        if (!is_case(text)) argp_error(state, "unknown case: %s", text);
        selected->case_name = text;
        break;
    case OPT_MACHINES:
        selected->sizes.machines = parse_number(state, text, 2);
        break;
    case OPT_TASKS:
        selected->sizes.tasks = parse_number(state, text, 0);
        break;
    case OPT_JOBS:
        selected->sizes.jobs = parse_number(state, text, 0);
        break;
    case OPT_OUT:
        selected->out = text;
        break;
    case OPT_COMPARE:
        selected->compare = text;
        break;
    case OPT_LIST:
        list_cases();
        exit(0);
    case ARGP_KEY_ARG:
        argp_error(state, "unexpected argument: %s", text);
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

/* Runs a case at each requested or default number of machines. Returns 0, or -1 if a run failed. */
static int run_case(const tw_bench_case *bench_case, const tw_bench_sizes *requested,
                    tw_bench_results *results) {
    int machines;
    for (int i = 0; (machines = tw_bench_size_at(requested->machines, default_machines,
                                                 DEFAULT_MACHINE_COUNTS, i)) >= 0;
         i++) {
        tw_bench_sizes sizes = *requested;
        sizes.machines = machines;
        if (bench_case->run(&sizes, results)) {
            fprintf(stderr,
                    "tw_bench: %s: a fleet of %d machines did not reach the state to be measured\n",
                    bench_case->name, machines);
            return -1;
        }
        if (bench_case->ignores_machines) break;
    }
    return 0;
}

static int run_all(const options *selected, tw_bench_results *results) {
    int failed = 0;
    for (const tw_bench_case *bench_case = tw_bench_cases; bench_case->name; bench_case++) {
        if (selected->case_name && strcmp(selected->case_name, bench_case->name) != 0) continue;
        failed |= run_case(bench_case, &selected->sizes, results);
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
        fprintf(stderr, "tw_bench: %s:%d: malformed result line\n", path, bad_line);
        exit(EXIT_FAILURE);
    }
    fclose(in);
}

int main(int argc, char **argv) {
    static const struct argp argp = {
        argp_options, parse_option,
        NULL,         "Benchmarks the scheduler's core and prints the cost of each case.",
        NULL,         NULL,
        NULL};
    options selected = {.sizes = {-1, -1, -1}};
    tw_bench_results results = {0};
    tw_bench_results earlier = {0};
    argp_err_exit_status = EXIT_FAILURE;
    argp_parse(&argp, argc, argv, 0, NULL, &selected);
    if (selected.compare) read_earlier(selected.compare, &earlier);
    FILE *out = selected.out ? open_file(selected.out, "w") : NULL;
    const int failed = run_all(&selected, &results);
    tw_bench_print_table(stdout, &results);
    if (selected.compare) tw_bench_print_ratios(stdout, &results, &earlier);
    if (out) tw_bench_write_lines(out, &results);
    if (out && fclose(out)) {
        fprintf(stderr, "tw_bench: %s: %s\n", selected.out, strerror(errno));
        return EXIT_FAILURE;
    }
    tw_bench_results_free(&results);
    tw_bench_results_free(&earlier);
    return failed ? EXIT_CASE_FAILED : 0;
}
