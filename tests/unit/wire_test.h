/* The parts of the test of the wire formats: texts of parsed messages, and printed messages. */
#ifndef TW_WIRE_TEST_H
#define TW_WIRE_TEST_H
#include <stdbool.h>
#include <stdio.h>

/* A kind of message: a text that is accepted, and a function that parses a text and writes what
 * came of it, in one line without its end: "refused", "refused: why", or every field. */
typedef struct {
    const char *name, *text;
    void (*parse)(FILE *out, const char *text, size_t length);
    bool reports_reason; /* a refusal names what is wrong */
} tw_test_message_kind;

extern const tw_test_message_kind tw_test_message_kinds[];
extern const size_t tw_test_message_kind_count;

/* Writes every kind of message that is printed, each with values at the edges of its fields. */
void tw_test_print_messages(FILE *out);

#endif
