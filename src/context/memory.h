/* Memory allocation. A failed allocation aborts the program, since a scheduler that lost part of
 * its state would make wrong decisions. */
#ifndef TW_CONTEXT_MEMORY_H
#define TW_CONTEXT_MEMORY_H
#include <stddef.h>

/* Returns zeroed memory, which the caller frees; never NULL, also for size 0. */
void *tw_alloc(size_t size);

/* Ensures that an array of count items, each of `size` bytes, has capacity for one more item.
 * Returns the array, which may have moved, and updates *capacity. The first allocation (items NULL,
 * *capacity 0) is for `first` items; each later one doubles the capacity. */
void *tw_grow(void *items, int count, int *capacity, int first, size_t size);

#endif
