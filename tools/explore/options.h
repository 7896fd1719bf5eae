/* What tw_explore is asked for on its command line. */
#ifndef TW_EXPLORE_OPTIONS_H
#define TW_EXPLORE_OPTIONS_H
#include "fuzz/fuzz.h"
#include <stdbool.h>
#include <stdint.h>

/* Most days that can be asked to be shrunk for a rule. */
enum { TW_EXPLORE_SHRINKS_MAX = 256 };

typedef struct {
    uint32_t first_seed, last_seed; /* seeds of the days to be played */
    unsigned jobs;                  /* days at once */
    unsigned shrinks_max;           /* how many days are shrunk for each rule */
    double seconds_max;    /* no further day is begun after that time; 0: until all are played */
    const char *directory; /* for shrunk days */
    const char *rule;      /* only days that break it are shrunk; NULL: all */
    const char *scenario_path;   /* a scenario file to be played instead; NULL: none */
    uint32_t print_seed;         /* seed of a day to be printed instead; 0: none */
    bool stop_at_first;          /* no further day is begun once one broke a rule */
    bool print_each;             /* a line for each day */
    tw_fuzz_draw_function *draw; /* which kind of days */
} tw_explore_options;

/* Reads the command line. Seeds are fresh ones if none are named. Texts stand in argv. Ends the
 * program with exit code 64 if the words are off, and with 0 after `--help`. */
void tw_explore_parse_options(int argc, char **argv, tw_explore_options *options);

#endif
