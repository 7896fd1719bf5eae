/* A growable byte buffer. Bytes are appended at the end and consumed from the front. A
 * zero-initialized buffer is empty. Internal to the net package. */
#ifndef TW_NET_BUFFER_H
#define TW_NET_BUFFER_H
#include <stddef.h>

typedef struct {
    char *bytes; /* NULL if nothing is allocated; otherwise NUL-terminated after the last byte */
    size_t length;
    size_t capacity;
    size_t consumed; /* number of leading bytes that the owner has already processed */
} tw_buffer;

/* Appends a copy of the bytes. */
void tw_buffer_append(tw_buffer *buffer, const void *bytes, size_t length);
/* Appends a copy of the string without its terminating NUL. */
void tw_buffer_append_text(tw_buffer *buffer, const char *text);
/* Appends the number as decimal digits. */
void tw_buffer_append_number(tw_buffer *buffer, size_t number);
/* Grows the capacity to hold exactly `length` more bytes, without the usual doubling. */
void tw_buffer_reserve(tw_buffer *buffer, size_t length);
/* Frees the memory and resets the buffer to empty. An empty buffer can be used again. */
void tw_buffer_free(tw_buffer *buffer);
/* Returns the bytes as a NUL-terminated string, "" if the buffer is empty. The pointer is valid
 * until the buffer changes. */
const char *tw_buffer_text(const tw_buffer *buffer);

#endif
