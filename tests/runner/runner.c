/* Runs a scenario file in the simulator. A scenario passes if no rule of the protocol is broken and
 * every `expect` line holds. It is run twice, and both runs must send the same messages to users
 * and workers. With --old-even or --old-odd the nodes of even or odd index run the earlier version.
 *
 * A file may have variants, each run like a file of its own: a line `with NAME ...` belongs to the
 * variant NAME only, a line `plain ...` only to the file without a variant, and all other lines
 * belong to all of them. */
#include "log/log.h"
#include "simulator.h"
#include <getopt.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_LINE 70000
/* Exit code: the scenario needs a program of the earlier version, and none is set. */
#define SKIPPED 77
/* Exit code: the scenario file is unreadable or malformed. */
#define CANNOT_RUN 2
#define MAX_VARIANTS 16
#define NAME_SIZE 40
#define TITLE_SIZE 200

typedef struct {
    const char *path;
    char name[TITLE_SIZE];  /* file name and variant, as printed */
    const char *variant;    /* NULL: none */
    const char *extra_line; /* a scenario line added to those of the file; NULL: none */
    int single_run;         /* nonzero: without the second run */
} scenario;

/* Returns the text after `key ` at the start of a line, or NULL if the line starts otherwise. */
static const char *text_after_key(const char *line, const char *key) {
    size_t size = strlen(key);
    return !strncmp(line, key, size) && line[size] == ' ' ? line + size + 1 : NULL;
}

/* Returns the part of a line that applies to a variant (NULL: to the file without one), or NULL if
 * the line does not belong to it. */
static const char *line_for_variant(const char *line, const char *variant) {
    const char *plain = text_after_key(line, "plain"), *with = text_after_key(line, "with");
    if (plain) return variant ? NULL : plain;
    if (!with) return line;
    return variant ? text_after_key(with, variant) : NULL;
}

/* Runs the scenario once and writes the verdict; a `failure_name` other than NULL is the name under
 * which the simulator prints failures. Returns 0, -1 if the file is unreadable or malformed, or
 * SKIPPED if it needs a program of the earlier version and none is set. */
static int run_scenario(const scenario *tested, const char *failure_name,
                        tw_simulator_verdict *verdict) {
    char line[MAX_LINE], error[500];
    FILE *file = fopen(tested->path, "r");
    if (!file) {
        printf("FAIL %s: cannot open the scenario file\n", tested->name);
        return -1;
    }
    tw_simulator *sim = tw_simulator_new(failure_name);
    int result = 0;
    while (!result && fgets(line, sizeof line, file)) {
        const char *text = line_for_variant(line, tested->variant);
        if (text) result = tw_simulator_add_line(sim, text, error, sizeof error);
        if (result) printf("FAIL %s: %s\n", tested->name, error);
    }
    fclose(file);
    if (!result && tested->extra_line)
        result = tw_simulator_add_line(sim, tested->extra_line, error, sizeof error);
    if (!result && tw_simulator_lacks_earlier_version(sim)) {
        printf("not run %s: TW_EARLIER_CORE names no program of the earlier version\n",
               tested->name);
        result = SKIPPED;
    }
    if (!result) tw_simulator_run(sim, verdict);
    tw_simulator_free(sim);
    return result;
}

/* Runs a scenario, twice unless `single_run` is set, and prints whether it passes. Returns 0 if it
 * passes, 1 if it fails, CANNOT_RUN or SKIPPED. */
static int check_scenario(const scenario *tested) {
    tw_simulator_verdict first, second;
    const char *name = tested->name;
    const int result = run_scenario(tested, name, &first);
    if (result) return result == SKIPPED ? SKIPPED : CANNOT_RUN;
    int failures = first.failed;
    if (first.end_s <= 0) {
        printf("FAIL %s: the run processed no event\n", name);
        failures++;
    }
    if (*first.rule) {
        printf("FAIL %s: rule broken: %s\n", name, first.detail);
        failures++;
    }
    if (!tested->single_run && run_scenario(tested, NULL, &second)) return CANNOT_RUN;
    if (!tested->single_run && first.digest != second.digest) {
        printf("FAIL %s: a second run differs: %016" PRIx64 " %016" PRIx64 "\n", name, first.digest,
               second.digest);
        failures++;
    }
    if (!failures) printf("ok %s\n", name);
    return failures != 0;
}

/* Reads the names of a file's variants, in order of first use. Returns their number. */
static int variants_of(const char *path, char names[MAX_VARIANTS][NAME_SIZE]) {
    char line[MAX_LINE];
    int count = 0;
    FILE *file = fopen(path, "r");
    while (file && fgets(line, sizeof line, file)) {
        const char *with = text_after_key(line, "with");
        size_t size = with ? strcspn(with, " \r\n") : 0;
        bool known = !size || size >= NAME_SIZE;
        for (int i = 0; i < count; i++)
            known |= strlen(names[i]) == size && text_after_key(with, names[i]);
        if (known || count == MAX_VARIANTS) continue;
        memcpy(names[count], with, size);
        names[count++][size] = 0;
    }
    if (file) fclose(file);
    return count;
}

static void set_title(scenario *tested) {
    const char *slash = strrchr(tested->path, '/');
    const char *file = slash ? slash + 1 : tested->path;
    const char *variant = tested->variant;
    snprintf(tested->name, sizeof tested->name, "%.100s%s%s", file, variant ? " with " : "",
             variant ? variant : "");
}

/* Checks the file without a variant, then each variant. Returns the highest exit code. */
static int check_variants(scenario *tested) {
    char names[MAX_VARIANTS][NAME_SIZE];
    const int count = variants_of(tested->path, names);
    int worst = 0;
    for (int i = -1; i < count; i++) {
        tested->variant = i < 0 ? NULL : names[i];
        set_title(tested);
        const int result = check_scenario(tested);
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
    return CANNOT_RUN;
}

int main(int argc, char **argv) {
    scenario tested = {0};
    for (int option; (option = getopt_long(argc, argv, "", options, NULL)) != -1;) {
        if (option == 'o')
            tested.single_run = 1;
        else if (option == 'e')
            tested.extra_line = "old even";
        else if (option == 'd')
            tested.extra_line = "old odd";
        else if (option == 'w')
            tested.variant = optarg;
        else
            return usage();
    }
    if (optind != argc - 1) return usage();
    tested.path = argv[argc - 1];
    set_title(&tested);
    const char *level = getenv("LOG_LEVEL");
    tw_log_init(level ? level : "error", tested.name);
    return tested.variant ? check_scenario(&tested) : check_variants(&tested);
}
