/* The words of a day's lines, as numbers. */
#ifndef TW_FUZZ_LINE_H
#define TW_FUZZ_LINE_H

/* Whether a line begins with these characters. */
int tw_fuzz_line_is(const char *line, const char *beginning);
/* Seconds written as a decimal number, in whole hundredths. */
long tw_fuzz_line_hundredths(const char *seconds);

#endif
