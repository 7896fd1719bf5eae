/* tw_explore: draws days from seeds, plays them on all cores, shrinks those that break a rule and
 * writes them as scenario files. Exit codes: 0 nothing broke, 1 something did, 2 it could not work,
 * 64 usage. */
#include "fuzz/fuzz.h"
#include <argp.h>
#include <errno.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

enum { RULES_MAX = 32, QUEUE_MAX = 256, WAIT_MS = 200, USAGE = 64 };
enum {
    DAYS_MAX = 1000000000,
    SECONDS_MAX = 100000000,
    DIRECTORY_SIZE = 512,
    DAY_SIZE = 32,
    ANYBODY = 0777
};
enum { PROGRESS_TERMINAL_S = 1, PROGRESS_ELSE_S = 30, SHRINKS_DEFAULT = 4, DAYS_DEFAULT = 1000 };

typedef struct {
    uint32_t first, last;
    unsigned jobs, shrinks; /* shrinks: how many days are shrunk for each rule */
    double seconds;         /* 0: until all days are played */
    const char *directory, *rule, *play;
    uint32_t print;
    bool until_first, each;
    tw_fuzz_draw_function *draw; /* which kind of days */
} explore_options;

typedef struct {
    char name[32];
    unsigned broken, shrunk;
} rule_count;

typedef struct {
    explore_options options;
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

/* ---- command line ---- */

static const struct argp_option argp_options[] = {
    {"seeds", 's', "FROM-TO", 0, "play the days of these seeds", 0},
    {"days", 'd', "N", 0, "play N days of fresh seeds (1000)", 0},
    {"jobs", 'j', "N", 0, "play so many days at once (one for each core)", 0},
    {"out", 'o', "DIR", 0, "write shrunk days there (target/explore/breaks)", 0},
    {"seconds", 't', "S", 0, "begin no further day after S seconds", 0},
    {"print", 'p', "SEED", 0, "print the day of a seed and end", 0},
    {"play", 'P', "FILE", 0, "play and judge a scenario file and end", 0},
    {"shrinks", 'n', "N", 0, "shrink at most N days for each rule (4)", 0},
    {"no-shrink", 'N', 0, 0, "shrink nothing", 0},
    {"rule", 'r', "NAME", 0, "shrink only days that break this rule; all are counted", 0},
    {"first", 'f', 0, 0, "begin no further day once one broke a rule", 0},
    {"each", 'e', 0, 0, "a line for each day: seed, digest of what was told, broken rule", 0},
    {"upgrade", 'u', 0, 0,
     "nodes begin as ones of the earlier version, which TW_EARLIER_CORE plays, and are upgraded",
     0},
    {"roll", 'R', 0, 0, "as --upgrade, with the troubles amid the upgrade and gangs after it", 0},
    {"mixed", 'm', 0, 0, "some nodes are of the earlier version all day long, no gangs", 0},
    {0}};

static uint32_t seed_of(struct argp_state *state, const char *text, char **rest) {
    errno = 0;
    const unsigned long long value = strtoull(text, rest, 10);
    if (errno || *rest == text || value < 1 || value > TW_FUZZ_SEED_MAX)
        argp_error(state, "not a seed from 1 to %lu: %s", (unsigned long)TW_FUZZ_SEED_MAX, text);
    return (uint32_t)value;
}

static unsigned long number_of(struct argp_state *state, const char *text, unsigned long most) {
    char *rest;
    errno = 0;
    const unsigned long value = strtoul(text, &rest, 10);
    if (errno || *rest || rest == text || *text == '-' || value > most)
        argp_error(state, "not a number up to %lu: %s", most, text);
    return value;
}

static void parse_seeds(struct argp_state *state, const char *text, explore_options *chosen) {
    char *rest;
    chosen->first = chosen->last = seed_of(state, text, &rest);
    if (*rest == '-') chosen->last = seed_of(state, rest + 1, &rest);
    if (*rest || chosen->last < chosen->first) argp_error(state, "not a range of seeds: %s", text);
}

/* Seeds that were most likely never played: from the time of day. */
static void fresh_seeds(unsigned long days, explore_options *chosen) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    const uint64_t mixed =
        ((uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000) * 2654435761u;
    chosen->first = 1 + (uint32_t)(mixed % (TW_FUZZ_SEED_MAX - days));
    chosen->last = chosen->first + (uint32_t)days - 1;
}

static error_t parse_option(int key, char *text, struct argp_state *state) {
    explore_options *chosen = state->input;
    char *rest;
    switch (key) {
    case 's':
        parse_seeds(state, text, chosen);
        break;
    case 'd':
        fresh_seeds(number_of(state, text, DAYS_MAX), chosen);
        break;
    case 'j':
        chosen->jobs = (unsigned)number_of(state, text, 1024);
        break;
    case 'o':
        chosen->directory = text;
        break;
    case 't':
        chosen->seconds = (double)number_of(state, text, SECONDS_MAX);
        break;
    case 'n':
        chosen->shrinks = (unsigned)number_of(state, text, QUEUE_MAX);
        break;
    case 'N':
        chosen->shrinks = 0;
        break;
    case 'r':
        chosen->rule = text;
        break;
    case 'P':
        chosen->play = text;
        break;
    case 'f':
        chosen->until_first = true;
        break;
    case 'e':
        chosen->each = true;
        break;
    case 'u':
        chosen->draw = tw_fuzz_draw_upgrade;
        break;
    case 'R':
        chosen->draw = tw_fuzz_draw_roll;
        break;
    case 'm':
        chosen->draw = tw_fuzz_draw_mixed;
        break;
    case 'p':
        chosen->print = seed_of(state, text, &rest);
        if (*rest) argp_error(state, "not a seed: %s", text);
        break;
    case ARGP_KEY_ARG:
        argp_error(state, "nothing is expected here: %s", text);
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
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
           verdict->only_earlier_led ? " (only the earlier version had led)" : "");
    if (verdict->aftermath_count)
        printf("%s: %u times more by what that left behind, first %s\n", day,
               verdict->aftermath_count, verdict->aftermath.detail);
    if (*verdict->again.rule) printf("BROKE %s again: %s\n", day, verdict->again.detail);
}

static void take_broken(exploration *run, const tw_fuzz_result *result) {
    const tw_simulator_verdict *verdict = &result->verdict;
    const tw_simulator_break broken = tw_fuzz_chosen_break(verdict);
    char day[DAY_SIZE];
    rule_count *rule = count_of(run, broken.rule);
    snprintf(day, sizeof day, "seed %u", result->seed);
    clear_progress(run);
    tell_breaks(day, "", verdict);
    fflush(stdout);
    run->broken++;
    run->broken_by_earlier += verdict->only_earlier_led;
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
    const explore_options *chosen = &run->options;
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
    const struct argp argp = {
        argp_options,
        parse_option,
        0,
        "Plays days that are drawn from seeds, and looks for one that breaks a rule.",
        0,
        0,
        0};
    exploration run = {.options = {.shrinks = SHRINKS_DEFAULT,
                                   .directory = "target/explore/breaks",
                                   .draw = tw_fuzz_draw}};
    run.options.jobs = (unsigned)sysconf(_SC_NPROCESSORS_ONLN);
    fresh_seeds(DAYS_DEFAULT, &run.options);
    argp_err_exit_status = USAGE;
    argp_parse(&argp, argc, argv, 0, 0, &run.options);
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
