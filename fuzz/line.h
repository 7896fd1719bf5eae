/* The words of a day's lines, as numbers, and lines that change. */
#ifndef TW_FUZZ_LINE_H
#define TW_FUZZ_LINE_H
#include <stdbool.h>

/* Whether a line begins with these characters. */
bool tw_fuzz_line_starts_with(const char *line, const char *beginning);
/* Seconds written as a decimal number, in whole hundredths. */
long tw_fuzz_parse_hundredths(const char *seconds);
/* When an `at` line happens, in hundredths of a second. */
int tw_fuzz_line_moment(const char *line);
/* Frees a line and puts another one, formatted, in its place. */
void tw_fuzz_line_replace(char **line, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* Lets an `at` line happen so many hundredths of a second later. */
void tw_fuzz_line_delay(char **line, int hundredths);

#endif
