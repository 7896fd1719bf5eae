/* Plays a scenario file. A scenario passes when no rule of the protocol was broken and every
 * `expect` line holds; it is played twice, and both runs must tell users and workers the same.
 *
 * A file may have variants, each played like a file of its own: a line `with NAME ...` belongs to
 * the variant NAME only, a line `plain ...` to none of them, and all other lines to each. */
#include "log/log.h"
#include "sim.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_LINE 70000
#define MAX_VARIANTS 16
#define NAME_SIZE 40
#define TITLE_SIZE 200

typedef struct {
    const char *path;
    char name[TITLE_SIZE]; /* as told */
    const char *variant;   /* NULL: none */
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

/* Returns -1 for a file that can't be played. */
static int play(const scenario *played, const char *said_as, tw_sim_verdict *verdict) {
    char line[MAX_LINE], error[500];
    FILE *f = fopen(played->path, "r");
    if (!f) {
        printf("FAIL %s: can't be read\n", played->name);
        return -1;
    }
    tw_sim *sim = tw_sim_new(said_as);
    int result = 0;
    while (!result && fgets(line, sizeof line, f)) {
        const char *text = line_in(line, played->variant);
        if (text) result = tw_sim_line(sim, text, error, sizeof error);
        if (result) printf("FAIL %s: %s\n", played->name, error);
    }
    fclose(f);
    if (!result) tw_sim_run(sim, verdict);
    tw_sim_free(sim);
    return result;
}

/* 0: it passes, 1: it doesn't, 2: it can't be played. */
static int check(const scenario *played, int once) {
    tw_sim_verdict first, second;
    const char *name = played->name;
    if (play(played, name, &first)) return 2;
    int failures = first.failed;
    if (first.end_s <= 0) {
        printf("FAIL %s: nothing happened\n", name);
        failures++;
    }
    if (*first.rule) {
        printf("FAIL %s: rule broken: %s\n", name, first.detail);
        failures++;
    }
    if (!once && play(played, NULL, &second)) return 2;
    if (!once && first.digest != second.digest) {
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
    int n = 0;
    FILE *f = fopen(path, "r");
    while (f && fgets(line, sizeof line, f)) {
        const char *with = after(line, "with");
        size_t size = with ? strcspn(with, " \r\n") : 0;
        int known = !size || size >= NAME_SIZE;
        for (int i = 0; i < n; i++) known |= strlen(names[i]) == size && after(with, names[i]);
        if (known || n == MAX_VARIANTS) continue;
        memcpy(names[n], with, size);
        names[n++][size] = 0;
    }
    if (f) fclose(f);
    return n;
}

static int check_variants(const char *path, const char *name, int once) {
    char names[MAX_VARIANTS][NAME_SIZE];
    int n = variants_of(path, names), worst = 0;
    for (int i = -1; i < n; i++) {
        scenario played = {.path = path, .variant = i < 0 ? NULL : names[i]};
        snprintf(played.name, sizeof played.name, "%.100s%s%s", name, i < 0 ? "" : " with ",
                 i < 0 ? "" : names[i]);
        int result = check(&played, once);
        if (result > worst) worst = result;
    }
    return worst;
}

int main(int argc, char **argv) {
    int once = argc > 2 && !strcmp(argv[1], "--once");
    const char *variant =
        argc > 3 + once && !strcmp(argv[1 + once], "--with") ? argv[2 + once] : NULL;
    if (argc != 2 + once + (variant ? 2 : 0)) {
        fprintf(stderr, "usage: tw_runner [--once] [--with VARIANT] SCENARIO\n");
        return 2;
    }
    const char *path = argv[argc - 1], *slash = strrchr(path, '/');
    const char *name = slash ? slash + 1 : path, *level = getenv("LOG_LEVEL");
    tw_log_init(level ? level : "error", name);
    if (!variant) return check_variants(path, name, once);
    scenario played = {.path = path, .variant = variant};
    snprintf(played.name, sizeof played.name, "%.100s with %s", name, variant);
    return check(&played, once);
}
