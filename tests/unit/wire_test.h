/* Internal interfaces of the wire format test: parsed and printed messages. */
#ifndef TW_WIRE_TEST_H
#define TW_WIRE_TEST_H
#include <stdbool.h>
#include <stdio.h>

/* Kind of message: an accepted text, and a function that parses a text and writes the result as one
 * line without a line end: "refused", "refused: REASON", or all fields. */
typedef struct {
    const char *name, *text;
    void (*parse)(FILE *out, const char *text, size_t length);
    bool reports_reason; /* parse writes the reason of a refusal */
} tw_test_message_kind;

extern const tw_test_message_kind tw_test_message_kinds[];
extern const size_t tw_test_message_kind_count;

/* Writes each kind of message that the wire package formats, with boundary values in its fields. */
void tw_test_print_messages(FILE *out);

#endif
