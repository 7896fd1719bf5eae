/* Bytes that are appended at the end and taken from the front. A buffer with all members 0 is
 * empty. Not for other packages. */
#ifndef TW_NET_BUFFER_H
#define TW_NET_BUFFER_H
#include <stddef.h>

typedef struct {
    char *bytes; /* NULL while empty; else a 0 follows the last byte */
    size_t length;
    size_t capacity;
    size_t consumed; /* bytes at the front that the owner has used already */
} tw_buffer;

/* Appends a copy of the bytes, or of the text without its end. */
void tw_buffer_append(tw_buffer *buffer, const void *bytes, size_t length);
void tw_buffer_append_text(tw_buffer *buffer, const char *text);
/* Appends the number in decimal digits. */
void tw_buffer_append_number(tw_buffer *buffer, size_t number);
/* Makes room for so many bytes more, and not for any others. */
void tw_buffer_reserve(tw_buffer *buffer, size_t length);
/* Empties the buffer; an empty one takes no memory. */
void tw_buffer_free(tw_buffer *buffer);
/* The bytes as a string, "" if there are none; valid until the buffer changes. */
const char *tw_buffer_text(const tw_buffer *buffer);

#endif
