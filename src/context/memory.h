/* Memory that can't be had ends the program: a scheduler that drops part of its state would go on
 * with wrong decisions. */
#ifndef TW_CONTEXT_MEMORY_H
#define TW_CONTEXT_MEMORY_H
#include <stddef.h>

/* Zeroed memory, to be freed by the caller; valid also for a size of 0. */
void *tw_alloc(size_t size);

/* Makes room for one item more in an array of count items of this size, and returns the array,
 * which may have moved. The first room, at items NULL and capacity 0, is for so many items. */
void *tw_grow(void *items, int count, int *capacity, int first, size_t size);

#endif
