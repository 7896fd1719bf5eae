/* Chooses the machines of a shard that a move takes: those with the fewest running requests first,
 * and among equals those that hold the wanted image. If the shard is spread, the last machine of
 * each zone stays. */
#include "shards/shards_int.h"
#include <stdbool.h>
#include <stdlib.h>

typedef struct {
    tw_shards_machine *machine;
    int holds_image;
} candidate;

static int compare_candidates(const void *first, const void *second) {
    const candidate *a = first;
    const candidate *b = second;
    if (a->machine->load != b->machine->load) return a->machine->load < b->machine->load ? -1 : 1;
    if (a->holds_image != b->holds_image) return b->holds_image - a->holds_image;
    return a->machine->index - b->machine->index;
}

/* Returns the number of open and taken machines of the shard in each zone; the caller frees the
 * array. */
static int *count_kept_by_zone(const tw_shards *shards, int shard_index) {
    const tw_shards_shard_sets *sets = &shards->sets[shard_index];
    int *counts = tw_shards_alloc(sizeof *counts * (size_t)shards->zone_count);
    for (int zone = 0; zone < shards->zone_count; zone++) {
        const roaring_bitmap_t *machines = shards->zones[zone].machines;
        counts[zone] = (int)(roaring_bitmap_and_cardinality(sets->open, machines) +
                             roaring_bitmap_and_cardinality(sets->taken, machines));
    }
    return counts;
}

/* Returns the set of open machines that the move may take; the caller frees it. */
static roaring_bitmap_t *movable_machines(const tw_shards *shards,
                                          const tw_shards_move_record *record) {
    const roaring_bitmap_t *open = shards->sets[record->from].open;
    roaring_bitmap_t *set =
        record->only ? tw_shards_ranges_parse(record->only) : roaring_bitmap_copy(open);
    if (!set) return roaring_bitmap_create();
    roaring_bitmap_and_inplace(set, open);
    roaring_bitmap_andnot_inplace(set, shards->quarantined);
    return set;
}

int tw_shards_choose_machines(const tw_shards *shards, const tw_shards_move_record *record,
                              int max_count, tw_shards_machine ***chosen) {
    roaring_bitmap_t *set = movable_machines(shards, record);
    const size_t capacity = (size_t)roaring_bitmap_get_cardinality(set);
    candidate *candidates = tw_shards_alloc(sizeof *candidates * capacity);
    const tw_shards_named_set *image =
        record->image[0] ? tw_shards_find_image_set(shards, record->image) : NULL;
    int count = 0;
    roaring_uint32_iterator_t each;
    roaring_init_iterator(set, &each);
    for (; each.has_value; roaring_advance_uint32_iterator(&each)) {
        const uint32_t index = each.current_value;
        const bool holds_image = image && roaring_bitmap_contains(image->machines, index);
        candidates[count++] = (candidate){shards->machines[index], holds_image};
    }
    qsort(candidates, (size_t)count, sizeof *candidates, compare_candidates);
    int *remaining = count_kept_by_zone(shards, record->from);
    const int spread = shards->header.shards[record->from].spread;
    int chosen_count = 0;
    *chosen = tw_shards_alloc(sizeof(tw_shards_machine *) * (size_t)count);
    for (int i = 0; i < count && chosen_count < max_count; i++) {
        tw_shards_machine *each_machine = candidates[i].machine;
        if (spread && remaining[each_machine->zone] <= 1) continue;
        remaining[each_machine->zone]--;
        (*chosen)[chosen_count++] = each_machine;
    }
    free(remaining);
    free(candidates);
    roaring_bitmap_free(set);
    return chosen_count;
}
