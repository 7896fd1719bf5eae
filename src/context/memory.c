#include "context/memory.h"
#include <stdlib.h>

void *tw_alloc(size_t size) {
    void *zeroed = calloc(1, size ? size : 1);
    if (!zeroed) abort();
    return zeroed;
}

void *tw_grow(void *items, int count, int *capacity, int first, size_t size) {
    if (count < *capacity) return items;
    *capacity = *capacity ? 2 * *capacity : first;
    void *grown = realloc(items, (size_t)*capacity * size);
    if (!grown) abort();
    return grown;
}
