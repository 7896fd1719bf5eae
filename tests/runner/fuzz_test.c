/* The search for days that break a rule: a seed gives one day, on any machine; what it draws is of
 * the language; shrinking keeps the rule broken; a play in a process of its own is the same play.
 */
#include "fuzz/fuzz.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Change with every change of what is drawn: give them the numbers that the test prints. */
#define DRAWN_DIGEST 15753392031410744863u
#define UPGRADE_DIGEST 14624247613589295128u
#define MIXED_DIGEST 14742231730787171121u
#define ROLL_DIGEST 4221624261079804725u

#define HASH_START 14695981039346656037u
#define HASH_PRIME 1099511628211u

enum { SEEDS = 400, RUN_SEEDS = 3, SHRINK_RUNS = 500 };
enum { NOT_RUN = 77 }; /* exit code: some of it needs the earlier version, which is not at hand */

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

/* Equal seeds give equal days, now and with the next build. */
static void check_digest(tw_fuzz_draw_function *draw, uint64_t expected, const char *kind) {
    uint64_t digest = HASH_START;
    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        tw_fuzz_day day = {0}, again = {0};
        draw(seed, &day);
        draw(seed, &again);
        check(digest_of(&day, HASH_START) == digest_of(&again, HASH_START),
              "a seed draws another day when it draws again");
        digest = digest_of(&day, digest);
        tw_fuzz_day_free(&day);
        tw_fuzz_day_free(&again);
    }
    if (digest != expected) printf("%s digest %lluu\n", kind, (unsigned long long)digest);
    check(digest == expected, "the seeds draw other days than they did");
}

static void check_lines_are_accepted(const tw_fuzz_day *day) {
    char error[256];
    tw_simulator *sim = tw_simulator_new(NULL);
    for (size_t i = 0; i < day->count; i++)
        check(!tw_simulator_take_line(sim, day->lines[i], error, sizeof error), error);
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
            check(!tw_simulator_take_line(sim, day.lines[i], error, sizeof error), error);
        tw_simulator_free(sim);
        tw_fuzz_day_free(&day);
    }
    if (digest != DRAWN_DIGEST) printf("drawn digest %lluu\n", (unsigned long long)digest);
    check(digest == DRAWN_DIGEST, "the seeds draw other days than they did");
}

/* Days with two versions: the language takes them, each has a node of the earlier version, and the
 * most have an upgrade. */
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
            check(!tw_simulator_take_line(sim, day.lines[i], error, sizeof error), error);
            old |= !strncmp(day.lines[i], "old ", strlen("old "));
            upgraded |= strstr(day.lines[i], " upgrade ") != NULL;
        }
        check(old, "a day of two versions has no old node");
        upgrades += upgraded;
        tw_simulator_free(sim);
        tw_fuzz_day_free(&day);
    }
    check(upgrades > SEEDS * 3 / 4 && upgrades < SEEDS, "upgrades are too few or never stop");
}

/* What the lines of a day with two versions are. Moments in seconds; -1: there is none. */
typedef struct {
    int nodes, old;
    int upgrades, downgrades;
    double first_upgrade, last_change; /* of upgrades and downgrades */
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

/* Nodes of both versions serve all day, and no gang is submitted. */
static void test_mixed_draws(void) {
    check_digest(tw_fuzz_draw_mixed, MIXED_DIGEST, "mixed");
    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        tw_fuzz_day day = {0};
        tw_fuzz_draw_mixed(seed, &day);
        check_lines_are_accepted(&day);
        const day_summary summary = summarize_day(&day);
        check(summary.old >= 1 && summary.old < summary.nodes, "a mixed day lacks a version");
        check(summary.upgrades + summary.downgrades == 0, "a node of a mixed day is upgraded");
        check(!summary.gangs, "a gang while old nodes serve");
        tw_fuzz_day_free(&day);
    }
}

/* The troubles lie amid the upgrade, and no gang comes before its last step, nor at all if nodes of
 * the earlier version are left. */
static void test_roll_draws(void) {
    int finished = 0, went_back = 0, with_gangs = 0;
    check_digest(tw_fuzz_draw_roll, ROLL_DIGEST, "roll");
    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        tw_fuzz_day day = {0};
        tw_fuzz_draw_roll(seed, &day);
        check_lines_are_accepted(&day);
        const day_summary summary = summarize_day(&day);
        const bool all_new = summary.upgrades - summary.downgrades >= summary.nodes;
        check(summary.old == summary.nodes, "an upgrade doesn't begin with old nodes alone");
        check(summary.first_upgrade >= 0, "an upgrade has no step");
        check(summary.first_fault < 0 || summary.first_upgrade < summary.first_fault,
              "a trouble before the first step");
        check(!all_new || summary.last_change > summary.last_fault,
              "a trouble begins after the last step");
        check(!summary.gangs || (all_new && summary.first_gang >= summary.last_change),
              "a gang before the last step, or while old nodes are left");
        finished += all_new;
        went_back += summary.downgrades > 0;
        with_gangs += summary.gangs > 0;
        tw_fuzz_day_free(&day);
    }
    check(finished > SEEDS / 2 && finished < SEEDS * 9 / 10, "upgrades halt too often or never");
    check(went_back > SEEDS / 10 && went_back < SEEDS / 2, "upgrades go back too often or never");
    check(with_gangs > SEEDS / 4, "gangs after an upgrade are too few");
}

static void test_runs(void) {
    for (uint32_t seed = 1; seed <= RUN_SEEDS; seed++) {
        tw_fuzz_day day = {0};
        tw_simulator_verdict in_process, in_child;
        tw_fuzz_draw_day(seed, &day);
        tw_fuzz_run_day(&day, &in_process);
        tw_fuzz_run_day_in_child(&day, &in_child);
        check(in_process.digest == in_child.digest, "a day goes otherwise in a process of its own");
        tw_fuzz_day_free(&day);
    }
}

/* No scheduler can keep this: a task must be gone a second after its job was cancelled, and its
 * machine hangs. */
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
    check(!strcmp(verdict.rule, "ran_cancelled"), "the impossible day breaks no rule, or another");
    const unsigned runs = tw_fuzz_shrink(&day, "ran_cancelled", true, SHRINK_RUNS, &verdict);
    check(runs > 10 && runs <= SHRINK_RUNS, "shrinking takes no play or too many");
    check(day.count <= 8, "lines are left that do nothing");
    check(!strcmp(verdict.rule, "ran_cancelled"), "the day that is left breaks another rule");
    const int file = mkstemp(path);
    check(file >= 0 && !tw_fuzz_day_write(&day, "# a comment\n", path), "a day can't be written");
    check(!tw_fuzz_day_read(&read, path), "a day can't be read");
    tw_fuzz_run_day(&read, &verdict);
    check(!strcmp(verdict.rule, "ran_cancelled"), "the day that was written breaks another rule");
    remove(path);
    tw_fuzz_day_free(&day);
    tw_fuzz_day_free(&read);
}

/* ---- days with the version in production ---- */

/* Its nodes launch a task a second time (scenario repeated_launch). upgraded: this version leads
 * from then on, and no scheduler can keep that a job's task is gone a second after it was
 * cancelled, if its machine hangs. */
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

/* A day goes on after a break by the earlier version alone. */
static void test_judged_to_end(void) {
    tw_fuzz_day day = {0};
    tw_simulator_verdict verdict;
    add_two_version_lines(&day, false);
    tw_fuzz_run_day(&day, &verdict);
    check(verdict.failed && !strcmp(verdict.rule, "ran_twice") && verdict.only_earlier_led,
          "a break by the earlier version alone does not count");
    check(verdict.broken_at > 5 && verdict.broken_at < 70, "the first break has another moment");
    check(verdict.end_s > 169, "the day is not judged to its end");
    check(!*verdict.again.rule && !*verdict.again.detail &&
              !*tw_fuzz_this_version_violation(&verdict).rule,
          "this version is blamed for a day on which it never led");
    check(!strcmp(tw_fuzz_violation_to_shrink(&verdict).rule, "ran_twice"),
          "no break to shrink by");
    tw_fuzz_day_free(&day);
}

/* A later break with a part of this version is one of its own, and the day is shrunk by it. */
static void test_own_break(void) {
    tw_fuzz_day day = {0};
    tw_simulator_verdict verdict;
    add_two_version_lines(&day, true);
    tw_fuzz_run_day_in_child(&day, &verdict);
    check(!strcmp(verdict.rule, "ran_twice") && verdict.only_earlier_led,
          "the break by the earlier version alone is not the first one");
    const tw_simulator_break own = tw_fuzz_this_version_violation(&verdict);
    check(!strcmp(own.rule, "ran_cancelled") && own.at > 151 && own.at < 160,
          "the break of this version is not told apart");
    check(strstr(own.detail, " ran_cancelled run-000003/") != NULL, "it names another job");
    check(verdict.end_s == own.at, "the day goes on after a break of this version");
    check(!strcmp(tw_fuzz_violation_to_shrink(&verdict).rule, own.rule), "shrunk by another break");
    tw_fuzz_shrink(&day, own.rule, true, SHRINK_RUNS, &verdict);
    check(!strcmp(tw_fuzz_this_version_violation(&verdict).rule, own.rule),
          "shrinking loses the break");
    check(day.count <= 10, "lines are left that have no part in the break of this version");
    tw_fuzz_day_free(&day);
}

/* A day of one version ends at its first break, as ever. */
static void test_day_of_one_version(void) {
    tw_fuzz_day day = {0};
    tw_simulator_verdict verdict;
    add_impossible_lines(&day);
    tw_fuzz_run_day(&day, &verdict);
    check(verdict.end_s < 40 && verdict.end_s == verdict.broken_at,
          "a day of one version goes on after its break");
    check(!verdict.only_earlier_led && !*verdict.again.rule && !verdict.aftermath_count,
          "a day of one version has a second break");
    check(!strcmp(tw_fuzz_this_version_violation(&verdict).rule, "ran_cancelled"),
          "the break of a day of one version is not its own");
    tw_fuzz_day_free(&day);
}

static void test_pool(void) {
    tw_fuzz_pool *pool = tw_fuzz_pool_new(2, tw_fuzz_draw_day, "/tmp");
    tw_fuzz_result result;
    unsigned got = 0;
    check(pool && tw_fuzz_pool_idle(pool) == 2, "no workers");
    if (!pool) return;
    for (uint32_t seed = 1; seed <= 2; seed++) tw_fuzz_pool_submit(pool, seed, false);
    while (tw_fuzz_pool_busy(pool))
        if (tw_fuzz_pool_wait(pool, 1000, &result)) got |= 1u << result.seed;
    check(got == (1u << 1 | 1u << 2), "a result is missing");
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
