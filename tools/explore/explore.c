/* tw_explore: generates days (see fuzz/fuzz.h) from seeds, runs them on all cores, shrinks those
 * that break a rule and writes the shrunk days as scenario files. Exit codes: 0 no rule was broken,
 * 1 a day broke a rule, 2 the days could not be run, 64 invalid command line. */
#include "options.h"
#include <errno.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

enum { RULES_MAX = 32, QUEUE_MAX = TW_EXPLORE_SHRINKS_MAX, WAIT_MS = 200 };
enum { DIRECTORY_SIZE = 512, DAY_SIZE = 32, DIRECTORY_MODE = 0777 };
enum { PROGRESS_TERMINAL_S = 1, PROGRESS_LOG_S = 30 };

typedef struct {
    char name[32];
    unsigned days_broken, shrunk;
} rule_count;

typedef struct {
    tw_explore_options options;
    tw_fuzz_pool *pool;
    uint64_t next_seed; /* seed of the next day */
    uint64_t days_run, days_broken;
    uint64_t broken_by_earlier_version; /* days on which only the earlier version had led at the
                                   first violation */
    uint64_t
        broken_by_this_version; /* days with a violation after a node of this version had led */
    rule_count rules[RULES_MAX];
    unsigned rule_count;
    uint32_t queue[QUEUE_MAX]; /* seeds of the days to shrink */
    unsigned queued;
    double started_at, progress_at;
    bool terminal;
} exploration;

static volatile sig_atomic_t stopped;

static void handle_signal(int signal_number) { stopped = signal_number; }

/* Makes SIGINT and SIGTERM end the search, after which the summary is still printed. */
static void catch_signals(void) {
    const struct sigaction action = {.sa_handler = handle_signal};
    sigaction(SIGINT, &action, NULL);
    sigaction(SIGTERM, &action, NULL);
    signal(SIGPIPE, SIG_IGN);
}

static double steady_s(void) {
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

/* ---- progress and summary ---- */

/* Clears the progress line on a terminal. */
static void clear_progress(const exploration *run) {
    if (run->terminal) fputs("\r\033[K", stderr);
}

static void print_progress(exploration *run, bool force) {
    const double now = steady_s(), duration_s = now - run->started_at;
    if (!force && now - run->progress_at < (run->terminal ? PROGRESS_TERMINAL_S : PROGRESS_LOG_S))
        return;
    run->progress_at = now;
    clear_progress(run);
    fprintf(stderr, "%llu days, %.1f a second, %llu broke a rule%s",
            (unsigned long long)run->days_run,
            duration_s > 0 ? (double)run->days_run / duration_s : 0,
            (unsigned long long)run->days_broken, run->terminal ? "" : "\n");
    fflush(stderr);
}

static void print_summary(exploration *run) {
    const double duration_s = steady_s() - run->started_at;
    clear_progress(run);
    if (stopped) printf("stopped by signal %d\n", (int)stopped);
    for (unsigned i = 0; i < run->rule_count; i++)
        printf("%s %u of %llu days\n", run->rules[i].name, run->rules[i].days_broken,
               (unsigned long long)run->days_run);
    if (run->broken_by_earlier_version)
        printf("in %llu of them only the earlier version had led\n"
               "in %llu of them this version contributed to a violation\n",
               (unsigned long long)run->broken_by_earlier_version,
               (unsigned long long)run->broken_by_this_version);
    printf("seeds %u to %llu, %.1f s, %.1f days a second\n", run->options.first_seed,
           (unsigned long long)run->next_seed - 1, duration_s,
           duration_s > 0 ? (double)run->days_run / duration_s : 0);
    printf("%llu passed, %llu failed\n", (unsigned long long)(run->days_run - run->days_broken),
           (unsigned long long)run->days_broken);
}

/* ---- running days in the worker pool ---- */

static rule_count *find_rule_count(exploration *run, const char *name) {
    for (unsigned i = 0; i < run->rule_count; i++)
        if (!strcmp(run->rules[i].name, name)) return &run->rules[i];
    rule_count *rule = &run->rules[run->rule_count < RULES_MAX ? run->rule_count++ : RULES_MAX - 1];
    snprintf(rule->name, sizeof rule->name, "%s", name);
    return rule;
}

/* Prints the violations of a day: the first one, the number of inherited violations, and the later
 * violation to which this version contributed. */
static void print_violations(const char *day, const char *rule,
                             const tw_simulator_verdict *verdict) {
    printf("BROKE %s: %s%s%s\n", day, rule, verdict->detail,
           verdict->only_earlier_version_led ? " (only the earlier version had led)" : "");
    if (verdict->inherited_violation_count)
        printf("%s: %u violations inherited from the earlier version, first %s\n", day,
               verdict->inherited_violation_count, verdict->inherited_violation.detail);
    if (*verdict->later_violation.rule)
        printf("BROKE %s again: %s\n", day, verdict->later_violation.detail);
}

static void record_violation(exploration *run, const tw_fuzz_result *result) {
    const tw_simulator_verdict *verdict = &result->verdict;
    const tw_simulator_violation violation = tw_fuzz_violation_to_shrink(verdict);
    char day[DAY_SIZE];
    rule_count *rule = find_rule_count(run, violation.rule);
    snprintf(day, sizeof day, "seed %u", result->seed);
    clear_progress(run);
    print_violations(day, "", verdict);
    fflush(stdout);
    run->days_broken++;
    run->broken_by_earlier_version += verdict->only_earlier_version_led;
    run->broken_by_this_version += *tw_fuzz_this_version_violation(verdict).rule != 0;
    if (strcmp(verdict->rule, violation.rule) != 0)
        find_rule_count(run, verdict->rule)->days_broken++;
    rule->days_broken++;
    if (run->options.rule && strcmp(run->options.rule, violation.rule) != 0) return;
    if (rule->shrunk >= run->options.shrinks_max || run->queued == QUEUE_MAX) return;
    rule->shrunk++;
    run->queue[run->queued++] = result->seed;
}

static void print_day_result(const exploration *run, const tw_fuzz_result *result) {
    const tw_simulator_verdict *verdict = &result->verdict;
    clear_progress(run);
    printf("day %u %016llx %s\n", result->seed, (unsigned long long)verdict->digest,
           verdict->failed ? verdict->rule : "-");
}

static void handle_result(exploration *run, const tw_fuzz_result *result) {
    if (!result->shrunk) {
        run->days_run++;
        if (run->options.print_each) print_day_result(run, result);
        if (result->verdict.failed) record_violation(run, result);
        return;
    }
    clear_progress(run);
    if (*result->path)
        printf("seed %u: %u lines after %u runs: %s\n", result->seed, result->lines, result->runs,
               result->path);
    else
        printf("seed %u: not shrunk or not written: %s\n", result->seed, result->verdict.detail);
    fflush(stdout);
}

/* Returns whether the limits on seeds, time and violations allow another day to start. */
static bool may_start_day(const exploration *run) {
    const tw_explore_options *options = &run->options;
    if (run->next_seed > options->last_seed || (options->stop_at_first && run->days_broken))
        return false;
    return options->seconds_max <= 0 || steady_s() - run->started_at < options->seconds_max;
}

static void assign_work(exploration *run) {
    while (tw_fuzz_pool_idle(run->pool)) {
        if (run->queued)
            tw_fuzz_pool_submit(run->pool, run->queue[--run->queued], true);
        else if (may_start_day(run))
            tw_fuzz_pool_submit(run->pool, (uint32_t)run->next_seed++, false);
        else
            return;
    }
}

static void explore(exploration *run) {
    tw_fuzz_result result;
    run->started_at = run->progress_at = steady_s();
    while (!stopped) {
        assign_work(run);
        if (!tw_fuzz_pool_busy(run->pool)) break;
        if (tw_fuzz_pool_wait(run->pool, WAIT_MS, &result)) handle_result(run, &result);
        print_progress(run, false);
    }
    print_summary(run);
}

/* ---- printing and running a single day ---- */

static int print_day(uint32_t seed, tw_fuzz_draw_function *draw) {
    tw_fuzz_day day = {0};
    draw(seed, &day);
    for (size_t i = 0; i < day.count; i++) puts(day.lines[i]);
    tw_fuzz_day_free(&day);
    return 0;
}

static int run_scenario_file(const char *path) {
    tw_fuzz_day day = {0};
    tw_simulator_verdict verdict;
    char rule[sizeof verdict.rule + 1];
    if (tw_fuzz_day_read(&day, path)) {
        fprintf(stderr, "%s: %s\n", path, strerror(errno));
        return 2;
    }
    tw_fuzz_run_day_in_child(&day, &verdict);
    if (verdict.failed) {
        snprintf(rule, sizeof rule, "%s ", verdict.rule);
        print_violations(path, rule, &verdict);
    }
    printf("%d passed, %d failed\n", !verdict.failed, verdict.failed != 0);
    tw_fuzz_day_free(&day);
    return verdict.failed != 0;
}

/* Creates the directory and its missing parents. Returns 0, or -1 with errno set. */
static int make_directories(const char *path) {
    char part[DIRECTORY_SIZE];
    snprintf(part, sizeof part, "%s", path);
    for (char *slash = strchr(part + 1, '/'); slash; slash = strchr(slash + 1, '/')) {
        *slash = 0;
        if (mkdir(part, DIRECTORY_MODE) && errno != EEXIST) return -1;
        *slash = '/';
    }
    return mkdir(part, DIRECTORY_MODE) && errno != EEXIST ? -1 : 0;
}

int main(int argc, char **argv) {
    exploration run = {0};
    tw_explore_parse_options(argc, argv, &run.options);
    tw_fuzz_draw_function *draw = run.options.draw;
    if (run.options.print_seed) return print_day(run.options.print_seed, draw);
    if (run.options.scenario_path) return run_scenario_file(run.options.scenario_path);
    if (draw != tw_fuzz_draw_day && !getenv("TW_EARLIER_CORE")) {
        fputs("TW_EARLIER_CORE is unset: no earlier version can be run\n", stderr);
        return 2;
    }
    if (run.options.shrinks_max && make_directories(run.options.directory)) {
        fprintf(stderr, "%s: %s\n", run.options.directory, strerror(errno));
        return 2;
    }
    catch_signals();
    run.next_seed = run.options.first_seed;
    run.terminal = isatty(STDERR_FILENO);
    run.pool =
        tw_fuzz_pool_new(run.options.jobs ? run.options.jobs : 1, draw, run.options.directory);
    if (!run.pool) {
        fprintf(stderr, "can't start a worker process: %s\n", strerror(errno));
        return 2;
    }
    explore(&run);
    tw_fuzz_pool_free(run.pool);
    return run.days_broken != 0;
}
