/* The words of a day's lines, as numbers. */
#ifndef TW_FUZZ_LINE_H
#define TW_FUZZ_LINE_H
#include <stdbool.h>

/* Whether a line begins with these characters. */
bool tw_fuzz_line_is(const char *line, const char *beginning);
/* Seconds written as a decimal number, in whole hundredths. */
long tw_fuzz_line_hundredths(const char *seconds);

#endif
