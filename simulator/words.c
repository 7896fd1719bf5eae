#include "words.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DECIMAL 10
#define SPACE " \n"

/* Moves the reader to `end`, the end of a number. Marks the reader as failed if it is not at a
 * number or if no separator follows the number. */
static void end_number(tw_simulator_reader *reader, const char *end) {
    if (end == reader->at || !*end || !strchr(SPACE, *end)) reader->failed = true;
    reader->at = end;
}

tw_simulator_reader tw_simulator_read_line(const char *line, const char *first) {
    const size_t size = strlen(first);
    const bool same = !strncmp(line, first, size) && line[size] == ' ';
    return (tw_simulator_reader){.at = same ? line + size : "", .failed = !same};
}

double tw_simulator_read_number(tw_simulator_reader *reader) {
    char *end;
    const double value = strtod(reader->at, &end);
    end_number(reader, end);
    return value;
}

uint64_t tw_simulator_read_count(tw_simulator_reader *reader) {
    char *end;
    const uint64_t value = strtoull(reader->at, &end, DECIMAL);
    end_number(reader, end);
    return value;
}

long tw_simulator_read_int(tw_simulator_reader *reader) {
    char *end;
    const long value = strtol(reader->at, &end, DECIMAL);
    end_number(reader, end);
    return value;
}

void tw_simulator_read_word(tw_simulator_reader *reader, char *to, size_t size) {
    reader->at += strspn(reader->at, " ");
    const size_t length = strcspn(reader->at, SPACE);
    if (!length || length >= size) reader->failed = true;
    snprintf(to, size, "%.*s", (int)length, reader->at);
    reader->at += length;
}

bool tw_simulator_read_all(const tw_simulator_reader *reader) {
    return !reader->failed && !strcmp(reader->at, "\n");
}
