/* tw_explore: draws days from seeds, plays them on all cores, shrinks those that break a rule and
 * writes them as scenario files. Exit codes: 0 nothing broke, 1 something did, 2 it could not work,
 * 64 usage. */
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
enum { DIRECTORY_SIZE = 512, DAY_SIZE = 32, ANYBODY = 0777 };
enum { PROGRESS_TERMINAL_S = 1, PROGRESS_ELSE_S = 30 };

typedef struct {
    char name[32];
    unsigned broken, shrunk;
} rule_count;

typedef struct {
    tw_explore_options options;
    tw_fuzz_pool *pool;
    uint64_t next; /* seed to be played next */
    uint64_t played, broken;
    uint64_t broken_by_earlier; /* of the broken ones: only the earlier version had led */
    uint64_t broken_by_own;     /* of the broken ones: this version had a part in a break */
    rule_count rules[RULES_MAX];
    unsigned rule_count;
    uint32_t queue[QUEUE_MAX]; /* seeds to be shrunk */
    unsigned queued;
    double began, told;
    bool terminal;
} exploration;

static volatile sig_atomic_t stopped;

static void handle_signal(int signal_number) { stopped = signal_number; }

/* SIGINT and SIGTERM end the search; what was found until then is still told. */
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

/* ---- what is told ---- */

/* Clears the line in which the progress is shown on a terminal. */
static void clear_progress(const exploration *run) {
    if (run->terminal) fputs("\r\033[K", stderr);
}

static void tell_progress(exploration *run, bool whole) {
    const double now = steady_s(), took = now - run->began;
    if (!whole && now - run->told < (run->terminal ? PROGRESS_TERMINAL_S : PROGRESS_ELSE_S)) return;
    run->told = now;
    clear_progress(run);
    fprintf(stderr, "%llu days, %.1f a second, %llu broke a rule%s",
            (unsigned long long)run->played, took > 0 ? (double)run->played / took : 0,
            (unsigned long long)run->broken, run->terminal ? "" : "\n");
    fflush(stderr);
}

static void tell_sum(exploration *run) {
    const double took = steady_s() - run->began;
    clear_progress(run);
    if (stopped) printf("stopped by signal %d\n", (int)stopped);
    for (unsigned i = 0; i < run->rule_count; i++)
        printf("%s %u of %llu days\n", run->rules[i].name, run->rules[i].broken,
               (unsigned long long)run->played);
    if (run->broken_by_earlier)
        printf("in %llu of them only the earlier version had led\n"
               "in %llu of them this version had a part in a break\n",
               (unsigned long long)run->broken_by_earlier, (unsigned long long)run->broken_by_own);
    printf("seeds %u to %llu, %.1f s, %.1f days a second\n", run->options.first,
           (unsigned long long)run->next - 1, took, took > 0 ? (double)run->played / took : 0);
    printf("%llu passed, %llu failed\n", (unsigned long long)(run->played - run->broken),
           (unsigned long long)run->broken);
}

/* ---- the search ---- */

static rule_count *count_of(exploration *run, const char *name) {
    for (unsigned i = 0; i < run->rule_count; i++)
        if (!strcmp(run->rules[i].name, name)) return &run->rules[i];
    rule_count *rule = &run->rules[run->rule_count < RULES_MAX ? run->rule_count++ : RULES_MAX - 1];
    snprintf(rule->name, sizeof rule->name, "%s", name);
    return rule;
}

/* Each break of a day, and what only goes on from one by the earlier version. */
static void tell_breaks(const char *day, const char *rule, const tw_simulator_verdict *verdict) {
    printf("BROKE %s: %s%s%s\n", day, rule, verdict->detail,
           verdict->only_earlier_version_led ? " (only the earlier version had led)" : "");
    if (verdict->inherited_violation_count)
        printf("%s: %u times more by what that left behind, first %s\n", day,
               verdict->inherited_violation_count, verdict->inherited_violation.detail);
    if (*verdict->again.rule) printf("BROKE %s again: %s\n", day, verdict->again.detail);
}

static void take_broken(exploration *run, const tw_fuzz_result *result) {
    const tw_simulator_verdict *verdict = &result->verdict;
    const tw_simulator_violation broken = tw_fuzz_chosen_break(verdict);
    char day[DAY_SIZE];
    rule_count *rule = count_of(run, broken.rule);
    snprintf(day, sizeof day, "seed %u", result->seed);
    clear_progress(run);
    tell_breaks(day, "", verdict);
    fflush(stdout);
    run->broken++;
    run->broken_by_earlier += verdict->only_earlier_version_led;
    run->broken_by_own += *tw_fuzz_own_break(verdict).rule != 0;
    if (strcmp(verdict->rule, broken.rule) != 0) count_of(run, verdict->rule)->broken++;
    rule->broken++;
    if (run->options.rule && strcmp(run->options.rule, broken.rule) != 0) return;
    if (rule->shrunk >= run->options.shrinks || run->queued == QUEUE_MAX) return;
    rule->shrunk++;
    run->queue[run->queued++] = result->seed;
}

static void tell_day(const exploration *run, const tw_fuzz_result *result) {
    const tw_simulator_verdict *verdict = &result->verdict;
    clear_progress(run);
    printf("day %u %016llx %s\n", result->seed, (unsigned long long)verdict->digest,
           verdict->failed ? verdict->rule : "-");
}

static void take_result(exploration *run, const tw_fuzz_result *result) {
    if (!result->shrunk) {
        run->played++;
        if (run->options.each) tell_day(run, result);
        if (result->verdict.failed) take_broken(run, result);
        return;
    }
    clear_progress(run);
    if (*result->path)
        printf("seed %u: %u lines after %u plays: %s\n", result->seed, result->lines, result->plays,
               result->path);
    else
        printf("seed %u: not shrunk or not written: %s\n", result->seed, result->verdict.detail);
    fflush(stdout);
}

/* Whether another day may be begun. */
static bool may_begin(const exploration *run) {
    const tw_explore_options *chosen = &run->options;
    if (run->next > chosen->last || (chosen->until_first && run->broken)) return false;
    return chosen->seconds <= 0 || steady_s() - run->began < chosen->seconds;
}

static void give_work(exploration *run) {
    while (tw_fuzz_pool_idle(run->pool)) {
        if (run->queued)
            tw_fuzz_pool_give(run->pool, run->queue[--run->queued], true);
        else if (may_begin(run))
            tw_fuzz_pool_give(run->pool, (uint32_t)run->next++, false);
        else
            return;
    }
}

static void explore(exploration *run) {
    tw_fuzz_result result;
    run->began = run->told = steady_s();
    while (!stopped) {
        give_work(run);
        if (!tw_fuzz_pool_busy(run->pool)) break;
        if (tw_fuzz_pool_wait(run->pool, WAIT_MS, &result)) take_result(run, &result);
        tell_progress(run, false);
    }
    tell_sum(run);
}

/* ---- single days ---- */

static int print_day(uint32_t seed, tw_fuzz_draw_function *draw) {
    tw_fuzz_day day = {0};
    draw(seed, &day);
    for (size_t i = 0; i < day.count; i++) puts(day.lines[i]);
    tw_fuzz_day_free(&day);
    return 0;
}

static int play_file(const char *path) {
    tw_fuzz_day day = {0};
    tw_simulator_verdict verdict;
    char rule[sizeof verdict.rule + 1];
    if (tw_fuzz_day_read(&day, path)) {
        fprintf(stderr, "%s: %s\n", path, strerror(errno));
        return 2;
    }
    tw_fuzz_play_apart(&day, &verdict);
    if (verdict.failed) {
        snprintf(rule, sizeof rule, "%s ", verdict.rule);
        tell_breaks(path, rule, &verdict);
    }
    printf("%d passed, %d failed\n", !verdict.failed, verdict.failed != 0);
    tw_fuzz_day_free(&day);
    return verdict.failed != 0;
}

/* The directory and those above it; 0, or -1 with errno. */
static int make_directories(const char *path) {
    char part[DIRECTORY_SIZE];
    snprintf(part, sizeof part, "%s", path);
    for (char *slash = strchr(part + 1, '/'); slash; slash = strchr(slash + 1, '/')) {
        *slash = 0;
        if (mkdir(part, ANYBODY) && errno != EEXIST) return -1;
        *slash = '/';
    }
    return mkdir(part, ANYBODY) && errno != EEXIST ? -1 : 0;
}

int main(int argc, char **argv) {
    exploration run = {0};
    tw_explore_parse_options(argc, argv, &run.options);
    tw_fuzz_draw_function *draw = run.options.draw;
    if (run.options.print) return print_day(run.options.print, draw);
    if (run.options.play) return play_file(run.options.play);
    if (draw != tw_fuzz_draw && !getenv("TW_EARLIER_CORE")) {
        fputs("TW_EARLIER_CORE names no program of the earlier version\n", stderr);
        return 2;
    }
    if (run.options.shrinks && make_directories(run.options.directory)) {
        fprintf(stderr, "%s: %s\n", run.options.directory, strerror(errno));
        return 2;
    }
    catch_signals();
    run.next = run.options.first;
    run.terminal = isatty(STDERR_FILENO);
    run.pool =
        tw_fuzz_pool_new(run.options.jobs ? run.options.jobs : 1, draw, run.options.directory);
    if (!run.pool) {
        fprintf(stderr, "no process could be started: %s\n", strerror(errno));
        return 2;
    }
    explore(&run);
    tw_fuzz_pool_free(run.pool);
    return run.broken != 0;
}
