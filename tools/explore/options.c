/* Parses the command line of tw_explore. */
#include "options.h"
#include <argp.h>
#include <errno.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

enum { EXIT_USAGE = 64 };
enum { DAYS_MAX = 1000000000, SECONDS_MAX = 100000000, JOBS_MAX = 1024 };
enum { SHRINKS_DEFAULT = 4, DAYS_DEFAULT = 1000 };

static const struct argp_option argp_options[] = {
    {"seeds", 's', "FROM-TO", 0, "run the days of these seeds", 0},
    {"days", 'd', "N", 0, "run N days, with seeds chosen from the current time (1000)", 0},
    {"jobs", 'j', "N", 0, "run N days in parallel (one for each core)", 0},
    {"out", 'o', "DIR", 0, "write shrunk days to DIR (target/explore/breaks)", 0},
    {"seconds", 't', "S", 0, "start no further day after S seconds", 0},
    {"print", 'p', "SEED", 0, "print the day of a seed and exit", 0},
    {"play", 'P', "FILE", 0, "run a scenario file, check the rules and exit", 0},
    {"shrinks", 'n', "N", 0, "shrink at most N days for each rule (4)", 0},
    {"no-shrink", 'N', 0, 0, "do not shrink days", 0},
    {"rule", 'r', "NAME", 0, "shrink only days that break this rule, but count all", 0},
    {"first", 'f', 0, 0, "start no further day after one broke a rule", 0},
    {"each", 'e', 0, 0,
     "print a line for each day: seed, digest of the answers to users and workers, broken rule", 0},
    {"upgrade", 'u', 0, 0,
     "nodes start with the earlier version (the program TW_EARLIER_CORE) and are upgraded", 0},
    {"roll", 'R', 0, 0, "as --upgrade, with the faults during the upgrade and gangs after it", 0},
    {"mixed", 'm', 0, 0, "some nodes run the earlier version until the end, no gangs", 0},
    {0}};

static uint32_t parse_seed(struct argp_state *state, const char *text, char **rest) {
    errno = 0;
    const unsigned long long value = strtoull(text, rest, 10);
    if (errno || *rest == text || value < 1 || value > TW_FUZZ_SEED_MAX)
        argp_error(state, "seed out of range 1 to %lu, or not a number: %s",
                   (unsigned long)TW_FUZZ_SEED_MAX, text);
    return (uint32_t)value;
}

static unsigned long parse_number(struct argp_state *state, const char *text, unsigned long max) {
    char *rest;
    errno = 0;
    const unsigned long value = strtoul(text, &rest, 10);
    if (errno || *rest || rest == text || *text == '-' || value > max)
        argp_error(state, "number out of range 0 to %lu, or not a number: %s", max, text);
    return value;
}

static void parse_seeds(struct argp_state *state, const char *text, tw_explore_options *options) {
    char *rest;
    options->first_seed = options->last_seed = parse_seed(state, text, &rest);
    if (*rest == '-') options->last_seed = parse_seed(state, rest + 1, &rest);
    if (*rest || options->last_seed < options->first_seed)
        argp_error(state, "invalid range of seeds: %s", text);
}

/* Chooses a range of seeds from the current time, so that it most likely contains new days. */
static void choose_fresh_seeds(unsigned long days, tw_explore_options *options) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    const uint64_t mixed =
        ((uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000) * 2654435761u;
    options->first_seed = 1 + (uint32_t)(mixed % (TW_FUZZ_SEED_MAX - days));
    options->last_seed = options->first_seed + (uint32_t)days - 1;
}

static error_t parse_option(int key, char *text, struct argp_state *state) {
    tw_explore_options *options = state->input;
    char *rest;
    switch (key) {
    case 's':
        parse_seeds(state, text, options);
        break;
    case 'd':
        choose_fresh_seeds(parse_number(state, text, DAYS_MAX), options);
        break;
    case 'j':
        options->jobs = (unsigned)parse_number(state, text, JOBS_MAX);
        break;
    case 'o':
        options->directory = text;
        break;
    case 't':
        options->seconds_max = (double)parse_number(state, text, SECONDS_MAX);
        break;
    case 'n':
        options->shrinks_max = (unsigned)parse_number(state, text, TW_EXPLORE_SHRINKS_MAX);
        break;
    case 'N':
        options->shrinks_max = 0;
        break;
    case 'r':
        options->rule = text;
        break;
    case 'P':
        options->scenario_path = text;
        break;
    case 'f':
        options->stop_at_first = true;
        break;
    case 'e':
        options->print_each = true;
        break;
    case 'u':
        options->draw = tw_fuzz_draw_upgrade;
        break;
    case 'R':
        options->draw = tw_fuzz_draw_roll;
        break;
    case 'm':
        options->draw = tw_fuzz_draw_mixed;
        break;
    case 'p':
        options->print_seed = parse_seed(state, text, &rest);
        if (*rest) argp_error(state, "invalid seed: %s", text);
        break;
    case ARGP_KEY_ARG:
        argp_error(state, "unexpected argument: %s", text);
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

void tw_explore_parse_options(int argc, char **argv, tw_explore_options *options) {
    const struct argp argp = {
        argp_options,
        parse_option,
        0,
        "Runs scenarios that are generated from seeds (days), and finds those that break a rule.",
        0,
        0,
        0};
    *options = (tw_explore_options){.shrinks_max = SHRINKS_DEFAULT,
                                    .directory = "target/explore/breaks",
                                    .draw = tw_fuzz_draw_day};
    options->jobs = (unsigned)sysconf(_SC_NPROCESSORS_ONLN);
    choose_fresh_seeds(DAYS_DEFAULT, options);
    argp_err_exit_status = EXIT_USAGE;
    argp_parse(&argp, argc, argv, 0, 0, options);
}
