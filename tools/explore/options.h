/* The command-line options of tw_explore. */
#ifndef TW_EXPLORE_OPTIONS_H
#define TW_EXPLORE_OPTIONS_H
#include "fuzz/fuzz.h"
#include <stdbool.h>
#include <stdint.h>

/* The greatest value of the option --shrinks. */
enum { TW_EXPLORE_SHRINKS_MAX = 256 };

typedef struct {
    uint32_t first_seed, last_seed; /* range of the seeds to run */
    unsigned jobs;                  /* number of days that run in parallel */
    unsigned shrinks_max;           /* number of days that are shrunk for each rule */
    double seconds_max;             /* time after which no further day is started; 0: no limit */
    const char *directory;          /* where shrunk days are written */
    const char *rule;               /* rule whose days are shrunk; NULL: all rules */
    const char *scenario_path;      /* scenario file to run instead of days; NULL: none */
    uint32_t print_seed;            /* seed of a day to print instead of running days; 0: none */
    bool stop_at_first;             /* start no further day after one broke a rule */
    bool print_each;                /* print a line for each day */
    tw_fuzz_draw_function *draw;    /* generator of the kind of days to run */
} tw_explore_options;

/* Parses the command line. Without --seeds and --days the range is chosen from the current time.
 * Strings in `options` point into argv. Exits with code 64 if the command line is invalid, and with
 * 0 after `--help`. */
void tw_explore_parse_options(int argc, char **argv, tw_explore_options *options);

#endif
