/* Randomized testing of the scheduler. A day is a generated scenario, a text in the scenario
 * language (tests/scenarios/README.md). Each seed determines one day; the simulator runs the day
 * and checks it against its rules; a day that breaks a rule is shrunk to a smaller one that breaks
 * the same rule. Days are generated with integer arithmetic only, so that a seed gives the same day
 * on every machine. This package neither prints nor reads a clock. */
#ifndef TW_FUZZ_H
#define TW_FUZZ_H
#include "simulator/simulator.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Rule names in verdicts on days whose process crashed, or exceeded its processor time. */
#define TW_FUZZ_CRASH "crash"
#define TW_FUZZ_TIMED_OUT "stuck"
/* Rule names in verdicts on days of which an `expect` line failed, or a line was rejected by the
 * simulator. */
#define TW_FUZZ_EXPECTATION_FAILED "expected"
#define TW_FUZZ_LINE_REJECTED "not_taken"
/* The greatest seed; the least one is 1. */
#define TW_FUZZ_SEED_MAX UINT32_MAX

/* The lines of a day in the order in which the simulator reads them. Owns the strings. */
typedef struct {
    char **lines;
    size_t count, capacity;
} tw_fuzz_day;

/* Formats a line and appends it to the day. */
void tw_fuzz_day_add(tw_fuzz_day *day, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void tw_fuzz_day_copy(tw_fuzz_day *to, const tw_fuzz_day *from);
void tw_fuzz_day_free(tw_fuzz_day *day);
/* Sorts the `at` lines by time, after the settings and before the `end` line. The sort is stable.
 */
void tw_fuzz_day_sort(tw_fuzz_day *day);
/* Writes `comment` and the day to a scenario file, which is replaced atomically. Returns 0, or -1
 * with errno set. */
int tw_fuzz_day_write(const tw_fuzz_day *day, const char *comment, const char *path);
/* Appends the lines of a scenario file to the day, without comments and empty lines. Returns 0, or
 * -1 with errno set. */
int tw_fuzz_day_read(tw_fuzz_day *day, const char *path);

/* Generates the day of a seed; `day` must be empty. */
typedef void tw_fuzz_draw_function(uint32_t seed, tw_fuzz_day *day);
tw_fuzz_draw_function tw_fuzz_draw_day;
/* Generates the day of tw_fuzz_draw_day with nodes of the earlier version that are upgraded one
 * after the other. */
tw_fuzz_draw_function tw_fuzz_draw_upgrade;
/* Generates the day of tw_fuzz_draw_day without its gangs, in which some nodes run the earlier
 * version and the others this version until the end, as in an upgrade that was halted. */
tw_fuzz_draw_function tw_fuzz_draw_mixed;
/* Generates the day of tw_fuzz_draw_day with its faults during an upgrade. All nodes start with the
 * earlier version. The first step of the upgrade precedes the first fault, and the last step
 * follows the start of the last fault. Some upgrades halt, are rolled back, or are rolled back and
 * then completed. Gangs are submitted after the last step, or not at all if nodes of the earlier
 * version remain. */
tw_fuzz_draw_function tw_fuzz_draw_roll;

/* Runs a day in this process. If the simulator rejects a line, the verdict is
 * TW_FUZZ_LINE_REJECTED. */
void tw_fuzz_run_day(const tw_fuzz_day *day, tw_simulator_verdict *verdict);
/* Runs a day in a child process. If the process crashes or exceeds its processor time, the verdict
 * is TW_FUZZ_CRASH or TW_FUZZ_TIMED_OUT. */
void tw_fuzz_run_day_in_child(const tw_fuzz_day *day, tw_simulator_verdict *verdict);

/* Returns the first violation that occurred after a node of this version had led: the second one if
 * only the earlier version had led at the first. The rule is "" if there is none. On days without
 * nodes of the earlier version this is the first violation. */
tw_simulator_violation tw_fuzz_this_version_violation(const tw_simulator_verdict *verdict);
/* Returns the violation that shrinking a day preserves: that of
 * tw_fuzz_this_version_violation, or the first one if there is none. */
tw_simulator_violation tw_fuzz_violation_to_shrink(const tw_simulator_verdict *verdict);

/* Replaces a day that breaks `rule` by a smaller one that breaks it too, and runs at most
 * `runs_max` candidates. With `by_this_version` the rule must be that of
 * tw_fuzz_this_version_violation. Stores the verdict of the resulting day and returns the number of
 * runs. */
unsigned tw_fuzz_shrink(tw_fuzz_day *day, const char *rule, bool by_this_version, unsigned runs_max,
                        tw_simulator_verdict *verdict);

/* ---- a pool of processes that run days in parallel ---- */

typedef struct tw_fuzz_pool tw_fuzz_pool;

typedef struct {
    uint32_t seed;
    bool shrunk;                  /* whether shrinking was requested */
    unsigned runs, lines;         /* runs that shrinking took; lines of the shrunk day */
    char path[1024];              /* file of the shrunk day; "" if it could not be written */
    tw_simulator_verdict verdict; /* if verdict.failed, the day broke verdict.rule */
} tw_fuzz_result;

/* Starts the worker processes. `draw` generates the days; shrunk days are written to `directory`.
 * Returns NULL if no process could be started. */
tw_fuzz_pool *tw_fuzz_pool_new(unsigned workers, tw_fuzz_draw_function *draw,
                               const char *directory);
/* Returns the number of workers without a request. */
unsigned tw_fuzz_pool_idle(const tw_fuzz_pool *pool);
unsigned tw_fuzz_pool_busy(const tw_fuzz_pool *pool);
/* Sends a seed to an idle worker, which runs the day and, with `shrink`, shrinks it. */
void tw_fuzz_pool_submit(tw_fuzz_pool *pool, uint32_t seed, bool shrink);
/* Waits for a result. Returns false if none arrived within the time, or after a signal. */
bool tw_fuzz_pool_wait(tw_fuzz_pool *pool, int milliseconds, tw_fuzz_result *result);
/* Kills the workers, also those that are running a day, and frees the pool. */
void tw_fuzz_pool_free(tw_fuzz_pool *pool);

#endif
