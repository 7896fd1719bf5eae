/* Memory and names. Memory that can't be had ends the program. */
#include "shards/shards_int.h"
#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 16

void *tw_shards_alloc(size_t size) {
    void *memory = calloc(1, size ? size : 1);
    if (!memory) abort();
    return memory;
}

/* Room for one item more; new room is not zeroed. */
void *tw_shards_grow(void *items, int count, int *capacity, size_t size) {
    if (count < *capacity) return items;
    *capacity = *capacity ? *capacity * 2 : INITIAL_CAPACITY;
    void *grown = realloc(items, (size_t)*capacity * size);
    if (!grown) abort();
    return grown;
}

/* Cuts a name that is too long; requests are checked for that before. */
void tw_shards_copy_name(char *to, const char *from) {
    size_t length = strnlen(from, TW_SHARDS_NAME - 1);
    memmove(to, from, length);
    to[length] = 0;
}
