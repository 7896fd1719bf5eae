#include "net/buffer.h"
#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 64
#define MAX_DIGITS 20 /* decimal digits of the largest 64-bit size_t */

static void set_capacity(tw_buffer *buffer, size_t capacity) {
    buffer->bytes = realloc(buffer->bytes, capacity);
    if (!buffer->bytes) abort();
    buffer->capacity = capacity;
}

void tw_buffer_reserve(tw_buffer *buffer, size_t length) {
    const size_t needed = buffer->length + length + 1;
    if (length && needed > buffer->capacity) set_capacity(buffer, needed);
}

/* Doubles the capacity until it is at least `needed` bytes. */
static void ensure_capacity(tw_buffer *buffer, size_t needed) {
    if (needed <= buffer->capacity) return;
    size_t capacity = buffer->capacity ? buffer->capacity : INITIAL_CAPACITY;
    while (capacity < needed) capacity *= 2;
    set_capacity(buffer, capacity);
}

void tw_buffer_append(tw_buffer *buffer, const void *bytes, size_t length) {
    if (!length) return;
    ensure_capacity(buffer, buffer->length + length + 1);
    memcpy(buffer->bytes + buffer->length, bytes, length);
    buffer->length += length;
    buffer->bytes[buffer->length] = 0;
}

void tw_buffer_append_text(tw_buffer *buffer, const char *text) {
    tw_buffer_append(buffer, text, strlen(text));
}

void tw_buffer_append_number(tw_buffer *buffer, size_t number) {
    char digits[MAX_DIGITS];
    size_t first = sizeof digits;
    do {
        digits[--first] = (char)('0' + number % 10);
        number /= 10;
    } while (number);
    tw_buffer_append(buffer, digits + first, sizeof digits - first);
}

void tw_buffer_free(tw_buffer *buffer) {
    free(buffer->bytes);
    memset(buffer, 0, sizeof *buffer);
}

const char *tw_buffer_text(const tw_buffer *buffer) { return buffer->length ? buffer->bytes : ""; }
