/* Looks for days that break a rule. A day is text in the scenario language
 * (tests/scenarios/README.md): one seed draws one day, the simulated world plays and judges it, and
 * a day that breaks a rule is shrunk while the same rule still breaks. Draws use whole numbers
 * only, so that a seed gives the same day on any machine. Nothing here prints or reads a clock. */
#ifndef TW_FUZZ_H
#define TW_FUZZ_H
#include "simulator/simulator.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What a day is said to have broken when the process that played it ended by a signal, or used up
 * its time. */
#define TW_FUZZ_CRASH "crash"
#define TW_FUZZ_TIMED_OUT "stuck"
/* A line that says what must hold did not; a line is not of the language. */
#define TW_FUZZ_EXPECTATION_FAILED "expected"
#define TW_FUZZ_LINE_REJECTED "not_taken"
/* Seeds are 1 to this. */
#define TW_FUZZ_SEED_MAX UINT32_MAX

/* The lines of a day, in the order in which they are played. */
typedef struct {
    char **lines;
    size_t count, capacity;
} tw_fuzz_day;

/* A copy of a line, formatted, at the end of the day. */
void tw_fuzz_day_add(tw_fuzz_day *day, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void tw_fuzz_day_copy(tw_fuzz_day *to, const tw_fuzz_day *from);
void tw_fuzz_day_free(tw_fuzz_day *day);
/* Orders the `at` lines by time and leaves the settings before them; lines of one time keep their
 * order. */
void tw_fuzz_day_sort(tw_fuzz_day *day);
/* Writes the day as a scenario file, after the lines of `comment`; the file appears whole or not at
 * all. 0, or -1 with errno. */
int tw_fuzz_day_write(const tw_fuzz_day *day, const char *comment, const char *path);
/* Reads a scenario file. 0, or -1 with errno. */
int tw_fuzz_day_read(tw_fuzz_day *day, const char *path);

/* Draws the day of a seed into an empty day. */
typedef void tw_fuzz_draw_function(uint32_t seed, tw_fuzz_day *day);
tw_fuzz_draw_function tw_fuzz_draw_day;
/* The same day, with nodes of the earlier version that are upgraded one after the other. */
tw_fuzz_draw_function tw_fuzz_draw_upgrade;
/* The same day without its gangs, with some nodes of the earlier version and some of this one all
 * day long: an upgrade that halts. */
tw_fuzz_draw_function tw_fuzz_draw_mixed;
/* The same day with its troubles amid an upgrade: all nodes begin as ones of the earlier version,
 * the first step comes before the first trouble, the last after the last one has begun; some
 * upgrades halt, go back, or go back and forward again. Gangs come after the last step, and not at
 * all if nodes of the earlier version are left. */
tw_fuzz_draw_function tw_fuzz_draw_roll;

/* Plays a day in this process. A line that the world does not take is a
 * verdict as well. */
void tw_fuzz_run_day(const tw_fuzz_day *day, tw_simulator_verdict *verdict);
/* Plays a day in a process of its own: what ends that process is a verdict as well. */
void tw_fuzz_run_day_in_child(const tw_fuzz_day *day, tw_simulator_verdict *verdict);

/* The break of a day in which this version had a part: the one after a break by the earlier version
 * alone, or the day's only one. rule "": there is none. */
tw_simulator_break tw_fuzz_this_version_violation(const tw_simulator_verdict *verdict);
/* The break that a day is shrunk by: the one in which this version had a part, or else the first
 * one. */
tw_simulator_break tw_fuzz_violation_to_shrink(const tw_simulator_verdict *verdict);

/* Makes a day that breaks `rule` smaller while it still breaks it, with at most `plays_max` plays;
 * own: it must be the rule of the break in which this version had a part. `verdict` is that of the
 * day that is left; returns how many plays it took. */
unsigned tw_fuzz_shrink(tw_fuzz_day *day, const char *rule, bool by_this_version, unsigned runs_max,
                        tw_simulator_verdict *verdict);

/* ---- days in parallel, in processes of their own ---- */

typedef struct tw_fuzz_pool tw_fuzz_pool;

typedef struct {
    uint32_t seed;
    bool shrunk;                  /* this is a day after shrinking, written to `path` */
    unsigned runs, lines;         /* of the shrinking */
    char path[1024];              /* "": the file could not be written */
    tw_simulator_verdict verdict; /* verdict.failed: the day broke verdict.rule */
} tw_fuzz_result;

/* `draw`: which days the seeds are; `directory`: where shrunk days are written. NULL if no process
 * could be started. */
tw_fuzz_pool *tw_fuzz_pool_new(unsigned workers, tw_fuzz_draw_function *draw,
                               const char *directory);
/* How many workers have nothing to do. */
unsigned tw_fuzz_pool_idle(const tw_fuzz_pool *pool);
unsigned tw_fuzz_pool_busy(const tw_fuzz_pool *pool);
/* Gives an idle worker a seed to play, or to play and shrink. */
void tw_fuzz_pool_submit(tw_fuzz_pool *pool, uint32_t seed, bool shrink);
/* Waits for a result for at most so long; false: there is none (also after a signal). */
bool tw_fuzz_pool_wait(tw_fuzz_pool *pool, int milliseconds, tw_fuzz_result *result);
/* Ends the workers, whatever they do. */
void tw_fuzz_pool_free(tw_fuzz_pool *pool);

#endif
