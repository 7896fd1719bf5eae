/* Reads and changes single lines of a day. */
#ifndef TW_FUZZ_LINE_H
#define TW_FUZZ_LINE_H
#include <stdbool.h>

/* Returns whether the line starts with `beginning`. */
bool tw_fuzz_line_starts_with(const char *line, const char *beginning);
/* Parses a decimal number of seconds and returns it in hundredths of a second, rounded. */
long tw_fuzz_parse_hundredths(const char *seconds);
/* Returns the time of an `at` line in hundredths of a second. */
int tw_fuzz_line_moment(const char *line);
/* Replaces a line, which is freed, by a formatted one. */
void tw_fuzz_line_replace(char **line, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* Adds `hundredths` hundredths of a second to the time of an `at` line. */
void tw_fuzz_line_delay(char **line, int hundredths);

#endif
