/* What the scheduler's core costs: cases that drive src/core/core.h with made-up fleets, and the
 * figures that they give. The measured part is the core alone; what stands around it (fleet.h) is
 * left out of every figure.
 *
 * Counts (steps, allocations, instructions) are the same in each run of the same program; processor
 * time isn't. A figure that was not measured is NAN. */
#ifndef TW_BENCH_H
#define TW_BENCH_H
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

struct tw_core;

/* ---- measure.c: what a part of the run costs ---- */

/* Kinds of inputs to the core, as bits that can be combined. */
typedef enum {
    TW_BENCH_HEARTBEAT = 1, /* a worker's heartbeat */
    TW_BENCH_USER = 2,      /* a user's request */
    TW_BENCH_PEER = 4,      /* another node's message */
    TW_BENCH_ANSWER = 8,    /* an answer to one of the core's own calls */
    TW_BENCH_RECORDS = 16,  /* an answer that holds a page of job records */
    TW_BENCH_TICK = 32
} tw_bench_kind;

/* Sums over the inputs of some kinds. */
typedef struct {
    unsigned kinds; /* of tw_bench_kind */
    uint64_t inputs;
    uint64_t steps; /* tw_core_pass_steps */
    uint64_t allocations;
    uint64_t instructions; /* only where the machine has hardware counters */
    double seconds;        /* processor time */
} tw_bench_meter;

/* The counters at one moment. */
typedef struct {
    uint64_t allocations;
    uint64_t instructions;
    double seconds;
} tw_bench_counters;

/* Whether instructions are counted on this machine. */
bool tw_bench_counts_instructions(void);
tw_bench_counters tw_bench_counters_now(void);
/* Bytes allocated on the heap; NAN where that isn't known (sanitizers). */
double tw_bench_heap_bytes(void);

/* ---- results.c: figures ---- */

typedef struct {
    char name[32]; /* of the case */
    int machines;
    int tasks;    /* on each machine */
    int jobs;     /* what they are depends on the case */
    char per[32]; /* what the figures are for one of */
    double count; /* of these measured in a round */
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

/* A result without any figure. */
tw_bench_result tw_bench_result_of(const char *name, const char *per);
/* Takes in a round of `count` things: counts are averaged over the rounds, time is the best. */
void tw_bench_result_round(tw_bench_result *result, const tw_bench_meter *meter, double count);
void tw_bench_results_add(tw_bench_results *results, const tw_bench_result *result);
/* The result of the same case, sizes and unit; NULL: there is none. */
const tw_bench_result *tw_bench_results_find(const tw_bench_results *results,
                                             const tw_bench_result *like);
void tw_bench_results_free(tw_bench_results *results);

/* ---- report.c: results as text ---- */

void tw_bench_print_table(FILE *out, const tw_bench_results *results);
/* A JSON object a line. */
void tw_bench_write_lines(FILE *out, const tw_bench_results *results);
/* Reads such lines. 0, or -1 and the number of the first line that is none. */
int tw_bench_read_lines(FILE *in, tw_bench_results *results, int *bad_line);

/* ---- compare.c ---- */

/* Prints each figure as a ratio to the earlier run's. */
void tw_bench_print_ratios(FILE *out, const tw_bench_results *now, const tw_bench_results *earlier);

/* ---- cases/: a file each ---- */

/* Sizes that were asked for; -1: the case's own. */
typedef struct {
    int machines;
    int tasks;
    int jobs;
} tw_bench_sizes;

/* The size asked for, or the case's own. */
int tw_bench_size(int asked, int own);
/* The i-th of `count` own sizes, or only the size asked for; -1: there is none. */
int tw_bench_size_of(int asked, const int *own, int count, int i);

/* 0, or -1: the fleet didn't come to the state that is to be measured. */
typedef int tw_bench_run(const tw_bench_sizes *sizes, tw_bench_results *results);
typedef struct {
    const char *name;
    const char *about;
    bool once; /* its figures don't depend on the number of machines */
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
tw_bench_run tw_bench_case_opening;
tw_bench_run tw_bench_case_memory;

/* All cases; the last one's name is NULL. */
extern const tw_bench_case tw_bench_cases[];

#endif
