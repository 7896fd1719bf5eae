/* Allocation and names. The process aborts if an allocation fails. */
#include "shards/shards_int.h"
#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 16

void *tw_shards_alloc(size_t size) {
    void *memory = calloc(1, size ? size : 1);
    if (!memory) abort();
    return memory;
}

void *tw_shards_grow(void *items, int count, int *capacity, size_t size) {
    if (count < *capacity) return items;
    *capacity = *capacity ? *capacity * 2 : INITIAL_CAPACITY;
    void *grown = realloc(items, (size_t)*capacity * size);
    if (!grown) abort();
    return grown;
}

/* Truncates a name that is too long; the lengths of names in requests are checked before. */
void tw_shards_copy_name(char *to, const char *from) {
    size_t length = strnlen(from, TW_SHARDS_NAME - 1);
    memmove(to, from, length);
    to[length] = 0;
}
