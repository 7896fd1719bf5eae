/* Tests of the randomized testing: a seed gives the same day on every machine, the simulator
 * accepts each generated line, shrinking preserves the violation, and a run in a child process
 * gives the same result as one in this process. */
#include "fuzz/fuzz.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Digests of the generated days. A change of the generators requires new values, which the test
 * prints. */
#define DRAWN_DIGEST 15753392031410744863u
#define UPGRADE_DIGEST 14624247613589295128u
#define MIXED_DIGEST 14742231730787171121u
#define ROLL_DIGEST 4221624261079804725u

#define HASH_START 14695981039346656037u
#define HASH_PRIME 1099511628211u

enum { SEEDS = 400, RUN_SEEDS = 3, SHRINK_RUNS = 500 };
enum { NOT_RUN = 77 }; /* exit code if the tests that need the earlier version were not run */

static int failures;

static void check(bool holds, const char *what) {
    if (holds) return;
    printf("FAIL search: %s\n", what);
    failures++;
}

static uint64_t digest_of(const tw_fuzz_day *day, uint64_t digest) {
    for (size_t i = 0; i < day->count; i++)
        for (const char *at = day->lines[i]; *at; at++)
            digest = (digest ^ (unsigned char)*at) * HASH_PRIME;
    return digest;
}

/* Checks that a seed gives equal days when it is used twice, and the days of the expected digest.
 */
static void check_digest(tw_fuzz_draw_function *draw, uint64_t expected, const char *kind) {
    uint64_t digest = HASH_START;
    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        tw_fuzz_day day = {0}, again = {0};
        draw(seed, &day);
        draw(seed, &again);
        check(digest_of(&day, HASH_START) == digest_of(&again, HASH_START),
              "a seed gives different days when it is used twice");
        digest = digest_of(&day, digest);
        tw_fuzz_day_free(&day);
        tw_fuzz_day_free(&again);
    }
    if (digest != expected) printf("%s digest %lluu\n", kind, (unsigned long long)digest);
    check(digest == expected, "the days of the seeds differ from the expected digest");
}

static void check_lines_are_accepted(const tw_fuzz_day *day) {
    char error[256];
    tw_simulator *sim = tw_simulator_new(NULL);
    for (size_t i = 0; i < day->count; i++)
        check(!tw_simulator_add_line(sim, day->lines[i], error, sizeof error), error);
    tw_simulator_free(sim);
}

static void test_draws(void) {
    uint64_t digest = HASH_START;
    char error[256];
    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        tw_fuzz_day day = {0};
        tw_fuzz_draw_day(seed, &day);
        digest = digest_of(&day, digest);
        tw_simulator *sim = tw_simulator_new(NULL);
        for (size_t i = 0; i < day.count; i++)
            check(!tw_simulator_add_line(sim, day.lines[i], error, sizeof error), error);
        tw_simulator_free(sim);
        tw_fuzz_day_free(&day);
    }
    if (digest != DRAWN_DIGEST) printf("drawn digest %lluu\n", (unsigned long long)digest);
    check(digest == DRAWN_DIGEST, "the days of the seeds differ from the expected digest");
}

/* The simulator accepts each line of days with two versions, each day has a node of the earlier
 * version, and most days have an upgrade. */
static void test_upgrade_draws(void) {
    char error[256];
    int upgrades = 0;
    check_digest(tw_fuzz_draw_upgrade, UPGRADE_DIGEST, "upgrade");
    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        tw_fuzz_day day = {0};
        bool old = false, upgraded = false;
        tw_fuzz_draw_upgrade(seed, &day);
        tw_simulator *sim = tw_simulator_new(NULL);
        for (size_t i = 0; i < day.count; i++) {
            check(!tw_simulator_add_line(sim, day.lines[i], error, sizeof error), error);
            old |= !strncmp(day.lines[i], "old ", strlen("old "));
            upgraded |= strstr(day.lines[i], " upgrade ") != NULL;
        }
        check(old, "a day with two versions has no node of the earlier version");
        upgrades += upgraded;
        tw_simulator_free(sim);
        tw_fuzz_day_free(&day);
    }
    check(upgrades > SEEDS * 3 / 4 && upgrades < SEEDS, "too few days have an upgrade, or all do");
}

/* Counts and times of the lines of a day with two versions. Times are in seconds; -1: none. */
typedef struct {
    int nodes, old;
    int upgrades, downgrades;
    double first_upgrade, last_change; /* last_change: of upgrades and downgrades */
    double first_fault, last_fault;
    int gangs;
    double first_gang;
} day_summary;

static bool is_one_of(const char *word, const char *const *words, size_t count) {
    for (size_t i = 0; i < count; i++)
        if (!strcmp(word, words[i])) return true;
    return false;
}

static void keep_latest(double *moment, double other) {
    if (other > *moment) *moment = other;
}

static void keep_earliest(double *moment, double other) {
    if (*moment < 0 || other < *moment) *moment = other;
}

static void count_event(day_summary *summary, const char *line, double when, const char *command) {
    static const char *const users[] = {"submit",     "cancel",      "poll",
                                        "closelooks", "cancelatend", "oddrequests"};
    const bool upgrade = !strcmp(command, "upgrade"), downgrade = !strcmp(command, "downgrade");
    summary->upgrades += upgrade;
    summary->downgrades += downgrade;
    if (upgrade) keep_earliest(&summary->first_upgrade, when);
    if (upgrade || downgrade) {
        keep_latest(&summary->last_change, when);
    } else if (!is_one_of(command, users, sizeof users / sizeof *users)) {
        keep_earliest(&summary->first_fault, when);
        keep_latest(&summary->last_fault, when);
    }
    if (!strstr(line, " shape=gang")) return;
    summary->gangs++;
    keep_earliest(&summary->first_gang, when);
}

static day_summary summarize_day(const tw_fuzz_day *day) {
    day_summary summary = {.first_upgrade = -1,
                           .last_change = -1,
                           .first_fault = -1,
                           .last_fault = -1,
                           .first_gang = -1};
    for (size_t i = 0; i < day->count; i++) {
        const char *line = day->lines[i];
        char moment[32], command[32];
        summary.nodes += !strncmp(line, "node ", strlen("node "));
        summary.old += !strncmp(line, "old ", strlen("old "));
        if (sscanf(line, "at %31s %31s", moment, command) == 2)
            count_event(&summary, line, strtod(moment, NULL), command);
    }
    return summary;
}

/* Mixed days have nodes of both versions, no upgrade or downgrade, and no gangs. */
static void test_mixed_draws(void) {
    check_digest(tw_fuzz_draw_mixed, MIXED_DIGEST, "mixed");
    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        tw_fuzz_day day = {0};
        tw_fuzz_draw_mixed(seed, &day);
        check_lines_are_accepted(&day);
        const day_summary summary = summarize_day(&day);
        check(summary.old >= 1 && summary.old < summary.nodes,
              "a mixed day has nodes of one version only");
        check(summary.upgrades + summary.downgrades == 0,
              "a mixed day upgrades or downgrades a node");
        check(!summary.gangs, "a mixed day submits a gang");
        tw_fuzz_day_free(&day);
    }
}

/* The faults start during the upgrade. No gang is submitted before its last step, or at all if
 * nodes of the earlier version remain. */
static void test_roll_draws(void) {
    int finished = 0, went_back = 0, with_gangs = 0;
    check_digest(tw_fuzz_draw_roll, ROLL_DIGEST, "roll");
    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        tw_fuzz_day day = {0};
        tw_fuzz_draw_roll(seed, &day);
        check_lines_are_accepted(&day);
        const day_summary summary = summarize_day(&day);
        const bool all_new = summary.upgrades - summary.downgrades >= summary.nodes;
        check(summary.old == summary.nodes, "a node does not start with the earlier version");
        check(summary.first_upgrade >= 0, "a day has no upgrade");
        check(summary.first_fault < 0 || summary.first_upgrade < summary.first_fault,
              "a fault starts before the first upgrade");
        check(!all_new || summary.last_change > summary.last_fault,
              "a fault starts after the last upgrade");
        check(!summary.gangs || (all_new && summary.first_gang >= summary.last_change),
              "a gang is submitted before the last upgrade, or while nodes of the earlier version "
              "remain");
        finished += all_new;
        went_back += summary.downgrades > 0;
        with_gangs += summary.gangs > 0;
        tw_fuzz_day_free(&day);
    }
    check(finished > SEEDS / 2 && finished < SEEDS * 9 / 10,
          "too many or too few upgrades are completed");
    check(went_back > SEEDS / 10 && went_back < SEEDS / 2,
          "too many or too few upgrades are rolled back");
    check(with_gangs > SEEDS / 4, "too few days submit gangs after the upgrade");
}

static void test_runs(void) {
    for (uint32_t seed = 1; seed <= RUN_SEEDS; seed++) {
        tw_fuzz_day day = {0};
        tw_simulator_verdict in_process, in_child;
        tw_fuzz_draw_day(seed, &day);
        tw_fuzz_run_day(&day, &in_process);
        tw_fuzz_run_day_in_child(&day, &in_child);
        check(in_process.digest == in_child.digest, "a day has another digest in a child process");
        tw_fuzz_day_free(&day);
    }
}

/* Adds a day that breaks a rule under any scheduler: the task of a cancelled job must end within a
 * second, but its machine hangs. */
static void add_impossible_lines(tw_fuzz_day *day) {
    static const char *const lines[] = {
        "node tray-0 a",
        "node tray-1 b",
        "node tray-2 a",
        "team crew",
        "team other",
        "set cancel 1.00",
        "machine_type cpu cores=16 mem=64 cap=8 boot=20",
        "machine_type g8 cores=32 gpus=8 mem=128 cap=4 price=10 boot=20",
        "machine cpu a",
        "machine cpu a",
        "machine cpu b",
        "at 5.00 submit run-000001 tasks=3 expect=60 run=60 cores=2",
        "at 6.00 submit run-000002 tasks=2 team=other expect=5",
        "at 9.00 kill leader 4.00",
        "at 15.00 slowstate 0.20 5.00",
        "at 20.10 hang 0 30.00",
        "at 20.15 hang 1 9.00",
        "at 20.15 hang 2 9.00",
        "at 20.20 poll run-000002",
        "at 20.30 cancel run-000001",
        "at 20.40 poll run-000001",
        "at 25.00 submit run-000002",
        "end 80.00"};
    for (size_t i = 0; i < sizeof lines / sizeof *lines; i++) tw_fuzz_day_add(day, "%s", lines[i]);
}

static void test_shrinks(void) {
    tw_fuzz_day day = {0}, read = {0};
    tw_simulator_verdict verdict;
    char path[] = "/tmp/tw_fuzz_test_XXXXXX";
    add_impossible_lines(&day);
    tw_fuzz_run_day(&day, &verdict);
    check(!strcmp(verdict.rule, "ran_cancelled"), "the day does not break ran_cancelled");
    const unsigned runs = tw_fuzz_shrink(&day, "ran_cancelled", true, SHRINK_RUNS, &verdict);
    check(runs > 10 && runs <= SHRINK_RUNS, "shrinking takes too few or too many runs");
    check(day.count <= 8, "the shrunk day has too many lines");
    check(!strcmp(verdict.rule, "ran_cancelled"), "the shrunk day does not break ran_cancelled");
    const int file = mkstemp(path);
    check(file >= 0 && !tw_fuzz_day_write(&day, "# a comment\n", path), "a day can't be written");
    check(!tw_fuzz_day_read(&read, path), "a day can't be read");
    tw_fuzz_run_day(&read, &verdict);
    check(!strcmp(verdict.rule, "ran_cancelled"),
          "the day read from the file does not break ran_cancelled");
    remove(path);
    tw_fuzz_day_free(&day);
    tw_fuzz_day_free(&read);
}

/* ---- days with the version in production ---- */

/* Adds a day on which nodes of the earlier version launch a task twice (scenario repeated_launch).
 * With `upgraded`, this version leads later on, and breaks a rule that no scheduler can meet: the
 * task of a cancelled job must end within a second, but its machine hangs. */
static void add_two_version_lines(tw_fuzz_day *day, bool upgraded) {
    static const char *const lines[] = {
        "node tray-0 a",
        "node tray-1 b",
        "node tray-2 a",
        "old tray-0 tray-1 tray-2",
        "team crew gpus_max=8",
        "set seed 6",
        "set cancel 1.00",
        "set boot 2",
        "machine_type cpu cores=16 mem=64 cap=4 boot=60",
        "machine cpu a",
        "machine cpu b",
        "at 3.00 repeatcommands 1 60",
        "at 5.00 submit run-000001 priority=idle tasks=2 cores=16 expect=40 run=40",
        "at 6.00 submit run-000002 priority=prod shape=service tasks=2 cores=16",
        "at 10.00 cancel run-000002"};
    static const char *const later_lines[] = {
        "at 130.00 upgrade all 1.00",
        "at 140.00 submit run-000003 tasks=2 cores=9 expect=60 run=60",
        "at 150.00 cancelnow 1 9.00"};
    for (size_t i = 0; i < sizeof lines / sizeof *lines; i++) tw_fuzz_day_add(day, "%s", lines[i]);
    for (size_t i = 0; upgraded && i < sizeof later_lines / sizeof *later_lines; i++)
        tw_fuzz_day_add(day, "%s", later_lines[i]);
    tw_fuzz_day_add(day, "end 170.00");
}

/* A day continues after a violation at which only the earlier version had led. */
static void test_judged_to_end(void) {
    tw_fuzz_day day = {0};
    tw_simulator_verdict verdict;
    add_two_version_lines(&day, false);
    tw_fuzz_run_day(&day, &verdict);
    check(verdict.failed && !strcmp(verdict.rule, "ran_twice") && verdict.only_earlier_version_led,
          "a violation by the earlier version is not reported");
    check(verdict.violated_at > 5 && verdict.violated_at < 70,
          "the first violation is at another time");
    check(verdict.end_s > 169, "the day does not run to its end");
    check(!*verdict.later_violation.rule && !*verdict.later_violation.detail &&
              !*tw_fuzz_this_version_violation(&verdict).rule,
          "a violation is attributed to this version, which never led");
    check(!strcmp(tw_fuzz_violation_to_shrink(&verdict).rule, "ran_twice"),
          "the day has no violation to shrink");
    tw_fuzz_day_free(&day);
}

/* A later violation, after this version had led, is attributed to this version, and shrinking
 * preserves that violation. */
static void test_own_break(void) {
    tw_fuzz_day day = {0};
    tw_simulator_verdict verdict;
    add_two_version_lines(&day, true);
    tw_fuzz_run_day_in_child(&day, &verdict);
    check(!strcmp(verdict.rule, "ran_twice") && verdict.only_earlier_version_led,
          "the first violation is not the one by the earlier version");
    const tw_simulator_violation own = tw_fuzz_this_version_violation(&verdict);
    check(!strcmp(own.rule, "ran_cancelled") && own.at > 151 && own.at < 160,
          "the violation of this version is not reported");
    check(strstr(own.detail, " ran_cancelled run-000003/") != NULL,
          "the violation of this version names another job");
    check(verdict.end_s == own.at, "the day continues after a violation of this version");
    check(!strcmp(tw_fuzz_violation_to_shrink(&verdict).rule, own.rule),
          "another violation is chosen for shrinking");
    tw_fuzz_shrink(&day, own.rule, true, SHRINK_RUNS, &verdict);
    check(!strcmp(tw_fuzz_this_version_violation(&verdict).rule, own.rule),
          "shrinking loses the violation of this version");
    check(day.count <= 10, "the shrunk day of two versions has too many lines");
    tw_fuzz_day_free(&day);
}

/* A day of one version ends at its first violation. */
static void test_day_of_one_version(void) {
    tw_fuzz_day day = {0};
    tw_simulator_verdict verdict;
    add_impossible_lines(&day);
    tw_fuzz_run_day(&day, &verdict);
    check(verdict.end_s < 40 && verdict.end_s == verdict.violated_at,
          "a day of one version continues after its violation");
    check(!verdict.only_earlier_version_led && !*verdict.later_violation.rule &&
              !verdict.inherited_violation_count,
          "a day of one version has a second violation");
    check(!strcmp(tw_fuzz_this_version_violation(&verdict).rule, "ran_cancelled"),
          "the violation of a day of one version is not attributed to this version");
    tw_fuzz_day_free(&day);
}

static void test_pool(void) {
    tw_fuzz_pool *pool = tw_fuzz_pool_new(2, tw_fuzz_draw_day, "/tmp");
    tw_fuzz_result result;
    unsigned got = 0;
    check(pool && tw_fuzz_pool_idle(pool) == 2, "the pool does not start two workers");
    if (!pool) return;
    for (uint32_t seed = 1; seed <= 2; seed++) tw_fuzz_pool_submit(pool, seed, false);
    while (tw_fuzz_pool_busy(pool))
        if (tw_fuzz_pool_wait(pool, 1000, &result)) got |= 1u << result.seed;
    check(got == (1u << 1 | 1u << 2), "the pool does not return all results");
    tw_fuzz_pool_free(pool);
}

int main(void) {
    const char *earlier = getenv("TW_EARLIER_CORE");
    const bool has_earlier = earlier && *earlier;
    test_draws();
    test_upgrade_draws();
    test_mixed_draws();
    test_roll_draws();
    test_runs();
    test_shrinks();
    test_day_of_one_version();
    if (has_earlier) {
        test_judged_to_end();
        test_own_break();
    } else {
        printf("not run search: days with the earlier version, TW_EARLIER_CORE names no program\n");
    }
    test_pool();
    if (failures) return 1;
    if (has_earlier) printf("ok fuzz\n");
    return has_earlier ? 0 : NOT_RUN;
}
