/* Plays a scenario file. A scenario passes when no rule of the protocol was broken and every
 * `expect` line holds; it is played twice, and both runs must tell users and workers the same. With
 * --old-even or --old-odd every other node is of the earlier version.
 *
 * A file may have variants, each played like a file of its own: a line `with NAME ...` belongs to
 * the variant NAME only, a line `plain ...` to none of them, and all other lines to each. */
#include "log/log.h"
#include "simulator.h"
#include <getopt.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_LINE 70000
#define NOT_RUN 77 /* exit code: it needs the earlier version, which is not at hand */
#define CANT_PLAY 2
#define MAX_VARIANTS 16
#define NAME_SIZE 40
#define TITLE_SIZE 200

typedef struct {
    const char *path;
    char name[TITLE_SIZE]; /* as told */
    const char *variant;   /* NULL: none */
    const char *more;      /* a line after those of the file; NULL: none */
    int once;              /* not played a second time */
} scenario;

/* The word after `key ` at the start of a line; NULL: the line starts otherwise. */
static const char *after(const char *line, const char *key) {
    size_t size = strlen(key);
    return !strncmp(line, key, size) && line[size] == ' ' ? line + size + 1 : NULL;
}

/* What a line says in this variant; NULL: it doesn't belong to it. */
static const char *line_in(const char *line, const char *variant) {
    const char *plain = after(line, "plain"), *with = after(line, "with");
    if (plain) return variant ? NULL : plain;
    if (!with) return line;
    return variant ? after(with, variant) : NULL;
}

/* Returns -1 for a file that can't be played, NOT_RUN for one that needs what isn't at hand. */
static int play(const scenario *played, const char *said_as, tw_simulator_verdict *verdict) {
    char line[MAX_LINE], error[500];
    FILE *file = fopen(played->path, "r");
    if (!file) {
        printf("FAIL %s: can't be read\n", played->name);
        return -1;
    }
    tw_simulator *sim = tw_simulator_new(said_as);
    int result = 0;
    while (!result && fgets(line, sizeof line, file)) {
        const char *text = line_in(line, played->variant);
        if (text) result = tw_simulator_add_line(sim, text, error, sizeof error);
        if (result) printf("FAIL %s: %s\n", played->name, error);
    }
    fclose(file);
    if (!result && played->more)
        result = tw_simulator_add_line(sim, played->more, error, sizeof error);
    if (!result && tw_simulator_lacks_earlier_version(sim)) {
        printf("not run %s: TW_EARLIER_CORE names no program of the earlier version\n",
               played->name);
        result = NOT_RUN;
    }
    if (!result) tw_simulator_run(sim, verdict);
    tw_simulator_free(sim);
    return result;
}

/* 0: it passes, 1: it doesn't, else it can't be played, or is not run. */
static int check(const scenario *played) {
    tw_simulator_verdict first, second;
    const char *name = played->name;
    const int result = play(played, name, &first);
    if (result) return result == NOT_RUN ? NOT_RUN : CANT_PLAY;
    int failures = first.failed;
    if (first.end_s <= 0) {
        printf("FAIL %s: nothing happened\n", name);
        failures++;
    }
    if (*first.rule) {
        printf("FAIL %s: rule broken: %s\n", name, first.detail);
        failures++;
    }
    if (!played->once && play(played, NULL, &second)) return CANT_PLAY;
    if (!played->once && first.digest != second.digest) {
        printf("FAIL %s: a second run differs: %016" PRIx64 " %016" PRIx64 "\n", name, first.digest,
               second.digest);
        failures++;
    }
    if (!failures) printf("ok %s\n", name);
    return failures != 0;
}

/* The names of a file's variants, in the order of their coming; how many. */
static int variants_of(const char *path, char names[MAX_VARIANTS][NAME_SIZE]) {
    char line[MAX_LINE];
    int count = 0;
    FILE *file = fopen(path, "r");
    while (file && fgets(line, sizeof line, file)) {
        const char *with = after(line, "with");
        size_t size = with ? strcspn(with, " \r\n") : 0;
        bool known = !size || size >= NAME_SIZE;
        for (int i = 0; i < count; i++) known |= strlen(names[i]) == size && after(with, names[i]);
        if (known || count == MAX_VARIANTS) continue;
        memcpy(names[count], with, size);
        names[count++][size] = 0;
    }
    if (file) fclose(file);
    return count;
}

static void name_it(scenario *played) {
    const char *slash = strrchr(played->path, '/');
    const char *file = slash ? slash + 1 : played->path;
    const char *variant = played->variant;
    snprintf(played->name, sizeof played->name, "%.100s%s%s", file, variant ? " with " : "",
             variant ? variant : "");
}

/* The file without its variants, then with each of them. The worst result. */
static int check_variants(scenario *played) {
    char names[MAX_VARIANTS][NAME_SIZE];
    const int count = variants_of(played->path, names);
    int worst = 0;
    for (int i = -1; i < count; i++) {
        played->variant = i < 0 ? NULL : names[i];
        name_it(played);
        const int result = check(played);
        if (result > worst) worst = result;
    }
    return worst;
}

static const struct option options[] = {{"once", no_argument, NULL, 'o'},
                                        {"old-even", no_argument, NULL, 'e'},
                                        {"old-odd", no_argument, NULL, 'd'},
                                        {"with", required_argument, NULL, 'w'},
                                        {0}};

static int usage(void) {
    fprintf(stderr, "usage: tw_runner [--once] [--old-even|--old-odd] [--with VARIANT] SCENARIO\n");
    return CANT_PLAY;
}

int main(int argc, char **argv) {
    scenario played = {0};
    for (int option; (option = getopt_long(argc, argv, "", options, NULL)) != -1;) {
        if (option == 'o')
            played.once = 1;
        else if (option == 'e')
            played.more = "old even";
        else if (option == 'd')
            played.more = "old odd";
        else if (option == 'w')
            played.variant = optarg;
        else
            return usage();
    }
    if (optind != argc - 1) return usage();
    played.path = argv[argc - 1];
    name_it(&played);
    const char *level = getenv("LOG_LEVEL");
    tw_log_init(level ? level : "error", played.name);
    return played.variant ? check(&played) : check_variants(&played);
}
