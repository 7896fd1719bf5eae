/* Benchmarks of the scheduler's core: cases drive src/core/core.h with simulated fleets (fleet.h)
 * and report the cost of the core alone. The cost of the simulated fleet is left out of every
 * figure.
 *
 * Counts (steps, allocations, instructions) are the same in each run of the same program; processor
 * time varies. A figure that was not measured is NAN. */
#ifndef TW_BENCH_H
#define TW_BENCH_H
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

struct tw_core;

/* ---- measure.c: counters of the process ---- */

/* Kinds of inputs to the core; a bit mask. */
typedef enum {
    TW_BENCH_HEARTBEAT = 1, /* a worker's heartbeat */
    TW_BENCH_USER = 2,      /* a user's request */
    TW_BENCH_PEER = 4,      /* another node's message */
    TW_BENCH_ANSWER = 8,    /* a response to a call of the core */
    TW_BENCH_RECORDS = 16,  /* a response that holds a page of job records */
    TW_BENCH_TICK = 32
} tw_bench_input_kind;

/* The cost of all measured inputs, summed. */
typedef struct {
    unsigned kinds; /* input kinds to measure: bits of tw_bench_input_kind */
    uint64_t inputs;
    uint64_t steps; /* tw_core_pass_steps */
    uint64_t allocations;
    uint64_t instructions; /* 0 on machines without a hardware instruction counter */
    double seconds;        /* processor time */
} tw_bench_meter;

/* A snapshot of the process's counters. */
typedef struct {
    uint64_t allocations;
    uint64_t instructions;
    double seconds;
} tw_bench_counters;

/* Returns whether this machine has a hardware instruction counter. */
bool tw_bench_counts_instructions(void);
tw_bench_counters tw_bench_counters_now(void);
/* Returns the bytes allocated on the heap, or NAN in builds with the address sanitizer, whose
 * allocator does not report them. */
double tw_bench_heap_bytes(void);

/* ---- results.c: results of the cases ---- */

typedef struct {
    char name[32]; /* name of the case */
    int machines;
    int tasks;    /* tasks on each machine */
    int jobs;     /* waiting, completed or submitted jobs, depending on the case */
    char per[32]; /* unit of the figures, for example "report": each figure is the cost of one */
    double count; /* units measured so far, over all rounds */
    double time_us;
    double steps;
    double allocations;
    double instructions;
    double bytes;
} tw_bench_result;

typedef struct {
    tw_bench_result *items;
    int count;
    int capacity;
} tw_bench_results;

/* Returns a result of the case `name` with the unit `per`, no sizes and all figures NAN. */
tw_bench_result tw_bench_result_init(const char *name, const char *per);
/* Adds a round in which `count` units were measured. Counts are averaged over all rounds; the time
 * is that of the fastest round. */
void tw_bench_result_add_round(tw_bench_result *result, const tw_bench_meter *meter, double count);
/* Appends a copy of the result. */
void tw_bench_results_add(tw_bench_results *results, const tw_bench_result *result);
/* Returns the result with the case, sizes and unit of `key`, or NULL if there is none. */
const tw_bench_result *tw_bench_results_find(const tw_bench_results *results,
                                             const tw_bench_result *key);
void tw_bench_results_free(tw_bench_results *results);

/* ---- report.c: output and input of results ---- */

void tw_bench_print_table(FILE *out, const tw_bench_results *results);
/* Writes each result as a JSON object on a line of its own. */
void tw_bench_write_lines(FILE *out, const tw_bench_results *results);
/* Reads lines written by tw_bench_write_lines and adds their results. Returns 0, or -1 with the
 * number of the first malformed line in `bad_line`. */
int tw_bench_read_lines(FILE *in, tw_bench_results *results, int *bad_line);

/* ---- compare.c: comparison with an earlier run ---- */

/* Prints the ratio of each figure to the same figure of the earlier run. */
void tw_bench_print_ratios(FILE *out, const tw_bench_results *now, const tw_bench_results *earlier);

/* ---- cases/: the benchmark cases ---- */

/* Sizes requested on the command line; -1 selects the case's default. */
typedef struct {
    int machines;
    int tasks;
    int jobs;
} tw_bench_sizes;

/* Returns the requested size, or the default if none was requested. */
int tw_bench_size_or_default(int requested, int default_size);
/* Returns the i-th size to run: of the `count` default sizes if none was requested, else the
 * requested size for i = 0. Returns -1 after the last size. */
int tw_bench_size_at(int requested, const int *default_sizes, int count, int i);

/* Runs a case and adds its results. Returns 0, or -1 if the fleet did not reach the state to be
 * measured. */
typedef int tw_bench_run(const tw_bench_sizes *sizes, tw_bench_results *results);
typedef struct {
    const char *name;
    const char *description;
    bool ignores_machines; /* its figures do not depend on the number of machines: run once */
    tw_bench_run *run;
} tw_bench_case;

tw_bench_run tw_bench_case_heartbeat;
tw_bench_run tw_bench_case_change;
tw_bench_run tw_bench_case_forwarding;
tw_bench_run tw_bench_case_placement;
tw_bench_run tw_bench_case_pass;
tw_bench_run tw_bench_case_plan;
tw_bench_run tw_bench_case_leader;
tw_bench_run tw_bench_case_follower;
tw_bench_run tw_bench_case_takeover;
tw_bench_run tw_bench_case_submission_burst;
tw_bench_run tw_bench_case_memory;

/* All cases, terminated by an entry whose name is NULL. */
extern const tw_bench_case tw_bench_cases[];

#endif
