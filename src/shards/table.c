/* The recorded table: machines by index and name, sets of machines by shard, zone and image, and
 * moves. Every change of a cell goes through tw_shards_set_cell, which updates the sets. */
#include "shards/shards_int.h"
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* ---- names of states and verdicts ---- */

const char *tw_shards_state_name(tw_shards_state state) {
    static const char *const names[] = {"absent", "taken", "open", "draining", "released"};
    return names[state];
}

const char *tw_shards_verdict_name(tw_shards_verdict verdict) {
    static const char *const names[] = {"ok",
                                        "not_leader",
                                        "stale_revision",
                                        "unknown_share",
                                        "unknown_machine",
                                        "below_least",
                                        "busy",
                                        "no_fit",
                                        "key_reused",
                                        "unknown_move",
                                        "invalid",
                                        "too_large",
                                        "overloaded",
                                        "held_back",
                                        "unknown_node",
                                        "not_following",
                                        "behind"};
    return names[verdict];
}

/* ---- effective state of machines ---- */

uint64_t tw_shards_effective_epoch(const tw_shards *shards, const tw_shards_machine *machine) {
    const uint64_t of_shard = shards->header.shards[machine->cell.shard].epoch;
    return machine->cell.epoch > of_shard ? machine->cell.epoch : of_shard;
}

/* A change of a shard's owner writes only one record: the open machines of the shard count as
 * taken until the new owner has opened each of them. */
tw_shards_state tw_shards_effective_state(const tw_shards *shards,
                                          const tw_shards_machine *machine) {
    const tw_shards_cell *cell = &machine->cell;
    if (cell->state == TW_SHARDS_OPEN && cell->epoch < shards->header.shards[cell->shard].epoch)
        return TW_SHARDS_TAKEN;
    return cell->state;
}

/* Returns the set for the machine's effective state; NULL if the state has none. */
static roaring_bitmap_t *state_set(const tw_shards *shards, const tw_shards_machine *machine) {
    const tw_shards_state state = tw_shards_effective_state(shards, machine);
    const tw_shards_shard_sets *sets = &shards->sets[machine->cell.shard];
    switch (state) {
    case TW_SHARDS_OPEN:
        return sets->open;
    case TW_SHARDS_TAKEN:
        return sets->taken;
    case TW_SHARDS_DRAINING:
        return sets->draining;
    default:
        return NULL;
    }
}

static void remove_from_set(tw_shards *shards, const tw_shards_machine *machine) {
    if (machine->cell.state == TW_SHARDS_ABSENT) return;
    roaring_bitmap_t *set = state_set(shards, machine);
    if (set) roaring_bitmap_remove(set, (uint32_t)machine->index);
}

static void add_to_set(tw_shards *shards, const tw_shards_machine *machine) {
    if (machine->cell.state == TW_SHARDS_ABSENT) return;
    roaring_bitmap_t *set = state_set(shards, machine);
    if (set) roaring_bitmap_add(set, (uint32_t)machine->index);
}

void tw_shards_set_cell(tw_shards *shards, tw_shards_machine *machine, tw_shards_cell to) {
    const uint32_t index = (uint32_t)machine->index;
    if (machine->cell.move != to.move) {
        tw_shards_move *from_move = tw_shards_move_by_number(shards, machine->cell.move);
        tw_shards_move *to_move = tw_shards_move_by_number(shards, to.move);
        if (from_move) roaring_bitmap_remove(from_move->machines, index);
        if (to_move) roaring_bitmap_add(to_move->machines, index);
    }
    remove_from_set(shards, machine);
    machine->cell = to;
    add_to_set(shards, machine);
}

/* ---- machines ---- */

tw_shards_machine *tw_shards_find_machine(const tw_shards *shards, const char *name) {
    tw_shards_machine *found;
    HASH_FIND_STR(shards->machines_by_name, name, found);
    return found;
}

static void add_blocks(tw_shards *shards, int count) {
    const size_t size = sizeof(uint64_t) * (size_t)count;
    uint64_t *cells = realloc(shards->cell_mod_revisions, size);
    if (!cells) abort();
    uint64_t *names = realloc(shards->name_mod_revisions, size);
    if (!names) abort();
    for (int i = shards->block_count; i < count; i++) cells[i] = names[i] = 0;
    shards->cell_mod_revisions = cells;
    shards->name_mod_revisions = names;
    shards->block_count = count;
}

tw_shards_machine *tw_shards_get_slot(tw_shards *shards, int index) {
    while (shards->machine_count <= index) {
        shards->machines = tw_shards_grow(shards->machines, shards->machine_count,
                                          &shards->machine_capacity, sizeof(tw_shards_machine *));
        tw_shards_machine *slot = tw_shards_alloc(sizeof *slot);
        slot->index = shards->machine_count;
        shards->machines[shards->machine_count++] = slot;
    }
    if (index / TW_SHARDS_BLOCK_SIZE >= shards->block_count)
        add_blocks(shards, index / TW_SHARDS_BLOCK_SIZE + 1);
    return shards->machines[index];
}

void tw_shards_name_machine(tw_shards *shards, tw_shards_machine *machine, const char *name,
                            int zone) {
    tw_shards_copy_name(machine->name, name);
    machine->zone = zone;
    HASH_ADD_STR(shards->machines_by_name, name, machine);
    roaring_bitmap_add(shards->zones[zone].machines, (uint32_t)machine->index);
}

void tw_shards_unname_machine(tw_shards *shards, tw_shards_machine *machine) {
    const uint32_t index = (uint32_t)machine->index;
    HASH_DEL(shards->machines_by_name, machine);
    roaring_bitmap_remove(shards->zones[machine->zone].machines, index);
    for (int i = 0; i < shards->image_count; i++)
        roaring_bitmap_remove(shards->images[i].machines, index);
    roaring_bitmap_remove(shards->quarantined, index);
    machine->name[0] = 0;
    machine->load = 0;
    machine->drained_epoch = machine->opened_epoch = 0;
}

/* ---- named sets ---- */

static int find_set(const tw_shards_named_set *sets, int count, const char *name) {
    for (int i = 0; i < count; i++)
        if (!strcmp(sets[i].name, name)) return i;
    return -1;
}

static int add_set(tw_shards_named_set **sets, int *count, const char *name) {
    tw_shards_named_set *grown = realloc(*sets, sizeof *grown * (size_t)(*count + 1));
    if (!grown) abort();
    *sets = grown;
    tw_shards_copy_name(grown[*count].name, name);
    grown[*count].machines = roaring_bitmap_create();
    return (*count)++;
}

int tw_shards_find_or_add_zone(tw_shards *shards, const char *name) {
    const int found = find_set(shards->zones, shards->zone_count, name);
    return found >= 0 ? found : add_set(&shards->zones, &shards->zone_count, name);
}

tw_shards_named_set *tw_shards_find_image_set(const tw_shards *shards, const char *name) {
    const int found = find_set(shards->images, shards->image_count, name);
    return found < 0 ? NULL : &shards->images[found];
}

tw_shards_named_set *tw_shards_find_or_add_image_set(tw_shards *shards, const char *name) {
    tw_shards_named_set *found = tw_shards_find_image_set(shards, name);
    if (found) return found;
    const int added = add_set(&shards->images, &shards->image_count, name);
    return &shards->images[added];
}

/* ---- shards ---- */

int tw_shards_shard_index(const tw_shards *shards, const char *name) {
    for (int i = 0; i < shards->header.shard_count; i++)
        if (!strcmp(shards->header.shards[i].name, name)) return i;
    return -1;
}

void tw_shards_set_header(tw_shards *shards, const tw_shards_header *to) {
    const int old_count = shards->header.shard_count;
    for (int i = 0; i < shards->machine_count; i++) remove_from_set(shards, shards->machines[i]);
    if (shards->header.shards != to->shards) free(shards->header.shards);
    shards->header = *to;
    if (to->shard_count > old_count) {
        tw_shards_shard_sets *grown =
            realloc(shards->sets, sizeof *grown * (size_t)to->shard_count);
        if (!grown) abort();
        shards->sets = grown;
        for (int i = old_count; i < to->shard_count; i++)
            grown[i] = (tw_shards_shard_sets){roaring_bitmap_create(), roaring_bitmap_create(),
                                              roaring_bitmap_create()};
    }
    for (int i = 0; i < shards->machine_count; i++) add_to_set(shards, shards->machines[i]);
}

/* ---- moves ---- */

tw_shards_move *tw_shards_move_by_key(const tw_shards *shards, const char *key) {
    tw_shards_move *found;
    DL_FOREACH2(shards->moves, found, link) {
        if (!strcmp(found->recorded.key, key)) return found;
    }
    return NULL;
}

tw_shards_move *tw_shards_move_by_number(const tw_shards *shards, uint64_t number) {
    tw_shards_move *found;
    if (!number) return NULL;
    DL_FOREACH2(shards->moves, found, link) {
        if (found->recorded.number == number) return found;
    }
    return NULL;
}

static int compare_move_numbers(const tw_shards_move *first, const tw_shards_move *second) {
    return (first->recorded.number > second->recorded.number) -
           (first->recorded.number < second->recorded.number);
}

void tw_shards_sort_moves(tw_shards *shards) {
    DL_SORT2(shards->moves, compare_move_numbers, prev, link);
}

/* The machines that the move holds are added when their cells are set. */
tw_shards_move *tw_shards_add_move(tw_shards *shards, const tw_shards_move_record *record) {
    tw_shards_move *added = tw_shards_alloc(sizeof *added);
    added->recorded = *record;
    added->machines = roaring_bitmap_create();
    DL_APPEND2(shards->moves, added, prev, link);
    tw_shards_sort_moves(shards);
    return added;
}

void tw_shards_remove_move(tw_shards *shards, tw_shards_move *removed) {
    DL_DELETE2(shards->moves, removed, prev, link);
    roaring_bitmap_free(removed->machines);
    free(removed->recorded.only);
    free(removed);
}

tw_shards_progress tw_shards_move_progress(const tw_shards *shards, const tw_shards_move *move) {
    const tw_shards_move_record *record = &move->recorded;
    tw_shards_progress progress = {.done = record->done,
                                   .wanted = record->wanted,
                                   .moved = record->moved,
                                   .returned = record->returned,
                                   .lost = record->lost};
    roaring_uint32_iterator_t each;
    roaring_init_iterator(move->machines, &each);
    for (; each.has_value; roaring_advance_uint32_iterator(&each)) {
        const tw_shards_state state = shards->machines[each.current_value]->cell.state;
        progress.draining += state == TW_SHARDS_DRAINING;
        progress.released += state == TW_SHARDS_RELEASED;
        progress.taken += state == TW_SHARDS_TAKEN;
    }
    return progress;
}

/* ---- the whole table ---- */

static void clear_named(tw_shards_named_set **sets, int *count) {
    for (int i = 0; i < *count; i++) roaring_bitmap_free((*sets)[i].machines);
    free(*sets);
    *sets = NULL;
    *count = 0;
}

void tw_shards_clear_table(tw_shards *shards) {
    tw_shards_move *each;
    tw_shards_move *next;
    HASH_CLEAR(hh, shards->machines_by_name);
    for (int i = 0; i < shards->machine_count; i++) free(shards->machines[i]);
    free(shards->machines);
    shards->machines = NULL;
    shards->machine_count = shards->machine_capacity = 0;
    for (int i = 0; i < shards->header.shard_count; i++) {
        roaring_bitmap_free(shards->sets[i].open);
        roaring_bitmap_free(shards->sets[i].taken);
        roaring_bitmap_free(shards->sets[i].draining);
    }
    free(shards->sets);
    shards->sets = NULL;
    free(shards->header.shards);
    shards->header = (tw_shards_header){0};
    shards->header_mod_revision = 0;
    free(shards->cell_mod_revisions);
    free(shards->name_mod_revisions);
    shards->cell_mod_revisions = shards->name_mod_revisions = NULL;
    shards->block_count = 0;
    clear_named(&shards->zones, &shards->zone_count);
    clear_named(&shards->images, &shards->image_count);
    DL_FOREACH_SAFE2(shards->moves, each, next, link) { tw_shards_remove_move(shards, each); }
}
