/* A temporary index of a machine's placements by task, for a heartbeat that lists many tasks in
 * another order than the machine's list. An open hash table of pointers, which it doesn't own; it
 * is valid until a placement of the machine is freed. */
#include "core/workers.h"
#include <stdbool.h>

/* Number of slots for each placement, before rounding up to a power of two. */
#define SLOTS_PER_PLACEMENT 2
/* Multipliers that spread consecutive indices and attempts over the table. */
#define INDEX_FACTOR 0x9e3779b97f4a7c15U
#define ATTEMPT_FACTOR 0xc2b2ae3d27d4eb4fU
#define HASH_SHIFT 32

static size_t first_slot(const tw_placement_index *index, int task, uint64_t attempt) {
    const uint64_t hash = (uint64_t)task * INDEX_FACTOR + attempt * ATTEMPT_FACTOR;
    return (size_t)(hash >> HASH_SHIFT) & index->mask;
}

bool tw_placement_is_of(const tw_placement *placed, const tw_wire_task *reported) {
    return placed->attempt == reported->attempt && placed->index == reported->index &&
           !strcmp(placed->job->id, reported->job);
}

tw_placement_index tw_placement_index_new(const tw_machine *machine) {
    size_t count = 0;
    size_t slots = 1;
    tw_placement *placed;
    DL_FOREACH(machine->placements, placed) { count++; }
    while (slots <= SLOTS_PER_PLACEMENT * count) slots *= 2;
    tw_placement_index index = {tw_alloc(slots * sizeof(tw_placement *)), slots - 1};
    DL_FOREACH(machine->placements, placed) {
        size_t slot = first_slot(&index, placed->index, placed->attempt);
        while (index.slots[slot]) slot = (slot + 1) & index.mask;
        index.slots[slot] = placed;
    }
    return index;
}

tw_placement *tw_placement_index_find(const tw_placement_index *index,
                                      const tw_wire_task *reported) {
    size_t slot = first_slot(index, reported->index, reported->attempt);
    for (; index->slots[slot]; slot = (slot + 1) & index->mask)
        if (tw_placement_is_of(index->slots[slot], reported)) return index->slots[slot];
    return NULL;
}

void tw_placement_index_free(tw_placement_index *index) {
    free(index->slots);
    index->slots = NULL;
}
