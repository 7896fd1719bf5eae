/* Stores, sorts, writes and reads the lines of a day. */
#include "line.h"
#include "fuzz.h"
#include "plan.h"
#include <errno.h>
#include <limits.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static void append_line(tw_fuzz_day *day, char *line) {
    if (day->count == day->capacity) {
        day->capacity = day->capacity ? 2 * day->capacity : 64;
        day->lines = realloc(day->lines, day->capacity * sizeof *day->lines);
        if (!day->lines) abort();
    }
    day->lines[day->count++] = line;
}

void tw_fuzz_day_add(tw_fuzz_day *day, const char *format, ...) {
    va_list arguments;
    char *line = NULL;
    va_start(arguments, format);
    if (vasprintf(&line, format, arguments) < 0) abort();
    va_end(arguments);
    append_line(day, line);
}

void tw_fuzz_day_copy(tw_fuzz_day *to, const tw_fuzz_day *from) {
    *to = (tw_fuzz_day){0};
    for (size_t i = 0; i < from->count; i++) tw_fuzz_day_add(to, "%s", from->lines[i]);
}

void tw_fuzz_day_free(tw_fuzz_day *day) {
    for (size_t i = 0; i < day->count; i++) free(day->lines[i]);
    free(day->lines);
    *day = (tw_fuzz_day){0};
}

bool tw_fuzz_line_starts_with(const char *line, const char *beginning) {
    return strncmp(line, beginning, strlen(beginning)) == 0;
}

long tw_fuzz_parse_hundredths(const char *seconds) {
    return (long)(strtod(seconds, NULL) * 100 + 0.5);
}

int tw_fuzz_line_moment(const char *line) {
    return (int)tw_fuzz_parse_hundredths(line + strlen("at "));
}

void tw_fuzz_line_replace(char **line, const char *format, ...) {
    va_list arguments;
    char *replacement = NULL;
    va_start(arguments, format);
    if (vasprintf(&replacement, format, arguments) < 0) abort();
    va_end(arguments);
    free(*line);
    *line = replacement;
}

void tw_fuzz_line_delay(char **line, int hundredths) {
    const int moment = tw_fuzz_line_moment(*line) + hundredths;
    const char *command = strchr(*line + strlen("at "), ' ');
    tw_fuzz_line_replace(line, "at %s%s", tw_fuzz_format_seconds(moment).text, command);
}

/* Returns the sort key of a line: settings precede the `at` lines, and the `end` line follows them.
 */
static long sort_key(const char *line) {
    if (tw_fuzz_line_starts_with(line, "at ")) return tw_fuzz_parse_hundredths(line + 3);
    return tw_fuzz_line_starts_with(line, "end ") ? LONG_MAX : -1;
}

void tw_fuzz_day_sort(tw_fuzz_day *day) {
    for (size_t i = 1; i < day->count; i++) {
        char *line = day->lines[i];
        const long key = sort_key(line);
        size_t k = i;
        for (; k && sort_key(day->lines[k - 1]) > key; k--) day->lines[k] = day->lines[k - 1];
        day->lines[k] = line;
    }
}

int tw_fuzz_day_write(const tw_fuzz_day *day, const char *comment, const char *path) {
    char temporary_path[PATH_MAX];
    snprintf(temporary_path, sizeof temporary_path, "%s.%ld", path, (long)getpid());
    FILE *file = fopen(temporary_path, "w");
    if (!file) return -1;
    fputs(comment, file);
    for (size_t i = 0; i < day->count; i++) fprintf(file, "%s\n", day->lines[i]);
    const int failed = ferror(file);
    if (fclose(file) || failed || rename(temporary_path, path)) {
        const int error = errno;
        unlink(temporary_path);
        errno = error;
        return -1;
    }
    return 0;
}

int tw_fuzz_day_read(tw_fuzz_day *day, const char *path) {
    char *line = NULL;
    size_t capacity = 0;
    FILE *file = fopen(path, "r");
    if (!file) return -1;
    while (getline(&line, &capacity, file) >= 0) {
        line[strcspn(line, "\n")] = 0;
        if (*line && *line != '#') tw_fuzz_day_add(day, "%s", line);
    }
    free(line);
    return fclose(file) ? -1 : 0;
}
