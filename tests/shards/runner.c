/* Runs each scenario file twice and prints the result. Both runs must end with the same result,
 * which shows that a run depends only on its seed. */
#include "shards_world.h"
#include "log/log.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static char *read_file(const char *path) {
    FILE *file = fopen(path, "r");
    if (!file) return NULL;
    fseek(file, 0, SEEK_END);
    const long size = ftell(file);
    rewind(file);
    char *text = calloc(1, (size_t)size + 1);
    if (text && fread(text, 1, (size_t)size, file) != (size_t)size) text[0] = 0;
    fclose(file);
    return text;
}

/* Returns the scenario with each line `include FILE` replaced by the content of FILE, which is in
 * the scenario's directory. The caller frees it. NULL: a file cannot be read. */
static char *read_scenario(const char *path) {
    static const char mark[] = "include ";
    char *text = read_file(path);
    char *line = text;
    while (line && (line = strstr(line, mark))) {
        char included[TEXT_SIZE];
        const char *name = line + sizeof mark - 1;
        const size_t length = strcspn(name, "\n");
        const char *slash = strrchr(path, '/');
        snprintf(included, sizeof included, "%.*s%.*s", slash ? (int)(slash + 1 - path) : 0, path,
                 (int)length, name);
        char *inner = read_file(included);
        if (!inner) return NULL;
        const size_t before = (size_t)(line - text);
        char *joined = malloc(strlen(text) + strlen(inner) + 1);
        if (!joined) abort();
        sprintf(joined, "%.*s%s%s", (int)before, text, inner, name + length);
        free(text);
        free(inner);
        text = joined;
        line = text + before;
    }
    return text;
}

/* Returns the failure that the scenario must produce, from its first line `# fails: TEXT`, or NULL
 * if the scenario must pass. The caller frees it. */
static char *expected_failure(const char *text) {
    static const char mark[] = "# fails: ";
    if (strncmp(text, mark, sizeof mark - 1) != 0) return NULL;
    const char *from = text + sizeof mark - 1;
    return strndup(from, strcspn(from, "\n"));
}

int main(int count, char **names) {
    int failed = 0;
    tw_log_init(getenv("LOG_LEVEL") ? getenv("LOG_LEVEL") : "error", "world");
    for (int i = 1; i < count; i++) {
        char reason[TEXT_SIZE];
        char second_reason[TEXT_SIZE];
        char *text = read_scenario(names[i]);
        if (!text) return 2;
        int broken = tw_shards_play(text, reason, sizeof reason);
        tw_shards_play(text, second_reason, sizeof second_reason);
        char *expected = expected_failure(text);
        if (expected) {
            broken = !strstr(reason, expected);
            if (broken) printf("the injected fault was not detected: expected \"%s\"\n", expected);
        }
        free(expected);
        if (strcmp(reason, second_reason) != 0) {
            printf("FAIL %s: the second run ended differently: %s | %s\n", names[i], reason,
                   second_reason);
            broken = 1;
        }
        printf("%s %s%s%s\n", broken ? "FAIL" : "ok", names[i], broken ? ": " : "", reason);
        failed += broken != 0;
        free(text);
    }
    return failed != 0;
}
