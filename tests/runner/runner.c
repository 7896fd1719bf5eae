/* Plays a scenario file. A scenario passes when no rule of the protocol was broken and every
 * `expect` line holds; it is played twice, and both runs must tell users and workers the same. With
 * --old-even or --old-odd every other node is of the earlier version. */
#include "log/log.h"
#include "sim.h"
#include <getopt.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_LINE 70000
#define NOT_RUN 77 /* exit code: it needs the earlier version, which is not at hand */

/* Returns -1 for a file that can't be played, NOT_RUN for one that needs what isn't at hand. */
static int play(const char *path, const char *name, const char *said_as, const char *more,
                tw_sim_verdict *verdict) {
    char line[MAX_LINE], error[500];
    FILE *f = fopen(path, "r");
    if (!f) {
        printf("FAIL %s: can't be read\n", name);
        return -1;
    }
    tw_sim *sim = tw_sim_new(said_as);
    int result = 0;
    while (!result && fgets(line, sizeof line, f)) {
        result = tw_sim_line(sim, line, error, sizeof error);
        if (result) printf("FAIL %s: %s\n", name, error);
    }
    fclose(f);
    if (!result && more) result = tw_sim_line(sim, more, error, sizeof error);
    if (!result && tw_sim_lacks_earlier_version(sim)) {
        printf("not run %s: TW_EARLIER_CORE names no program of the earlier version\n", name);
        result = NOT_RUN;
    }
    if (!result) tw_sim_run(sim, verdict);
    tw_sim_free(sim);
    return result;
}

static const struct option options[] = {{"once", no_argument, NULL, 'o'},
                                        {"old-even", no_argument, NULL, 'e'},
                                        {"old-odd", no_argument, NULL, 'd'},
                                        {0}};

static int usage(void) {
    fprintf(stderr, "usage: tw_runner [--once] [--old-even|--old-odd] SCENARIO\n");
    return 2;
}

int main(int argc, char **argv) {
    int once = 0;
    const char *more = NULL; /* a line after those of the file */
    for (int option; (option = getopt_long(argc, argv, "", options, NULL)) != -1;) {
        if (option == 'o')
            once = 1;
        else if (option == 'e')
            more = "old even";
        else if (option == 'd')
            more = "old odd";
        else
            return usage();
    }
    if (optind != argc - 1) return usage();
    const char *path = argv[argc - 1], *slash = strrchr(path, '/');
    const char *name = slash ? slash + 1 : path, *level = getenv("LOG_LEVEL");
    tw_sim_verdict first, second;
    tw_log_init(level ? level : "error", name);
    const int result = play(path, name, name, more, &first);
    if (result) return result == NOT_RUN ? NOT_RUN : 2;
    int failures = first.failed;
    if (first.end_s <= 0) {
        printf("FAIL %s: nothing happened\n", name);
        failures++;
    }
    if (*first.rule) {
        printf("FAIL %s: rule broken: %s\n", name, first.detail);
        failures++;
    }
    if (!once && play(path, name, NULL, more, &second)) return 2;
    if (!once && first.digest != second.digest) {
        printf("FAIL %s: a second run differs: %016" PRIx64 " %016" PRIx64 "\n", name, first.digest,
               second.digest);
        failures++;
    }
    if (!failures) printf("ok %s\n", name);
    return failures != 0;
}
