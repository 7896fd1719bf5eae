/* The table as it is recorded: machines by index and name, their sets by share, zone and image,
 * and moves. Whatever changes a cell goes through tw_shards_set_cell, which keeps the sets. */
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

/* ---- what holds for a machine ---- */

uint64_t tw_shards_epoch_of(const tw_shards *shares, const machine *machine) {
    const uint64_t of_share = shares->header.shares[machine->cell.share].epoch;
    return machine->cell.epoch > of_share ? machine->cell.epoch : of_share;
}

/* A share that changes hands costs one record: its open machines count as taken until the new
 * owner has opened each of them. */
tw_shards_state tw_shards_state_of(const tw_shards *shares, const machine *machine) {
    const cell *has = &machine->cell;
    if (has->state == TW_SHARDS_OPEN && has->epoch < shares->header.shares[has->share].epoch)
        return TW_SHARDS_TAKEN;
    return has->state;
}

/* The set that the machine is in by its state; NULL: none. */
static roaring_bitmap_t *set_of(const tw_shards *shares, const machine *machine) {
    const tw_shards_state state = tw_shards_state_of(shares, machine);
    const share_sets *sets = &shares->sets[machine->cell.share];
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

static void leave_sets(tw_shards *shares, const machine *machine) {
    if (machine->cell.state == TW_SHARDS_ABSENT) return;
    roaring_bitmap_t *set = set_of(shares, machine);
    if (set) roaring_bitmap_remove(set, (uint32_t)machine->index);
}

static void enter_sets(tw_shards *shares, const machine *machine) {
    if (machine->cell.state == TW_SHARDS_ABSENT) return;
    roaring_bitmap_t *set = set_of(shares, machine);
    if (set) roaring_bitmap_add(set, (uint32_t)machine->index);
}

void tw_shards_set_cell(tw_shards *shares, machine *machine, cell to) {
    const uint32_t index = (uint32_t)machine->index;
    if (machine->cell.move != to.move) {
        move *from_move = tw_shards_move_by_number(shares, machine->cell.move);
        move *to_move = tw_shards_move_by_number(shares, to.move);
        if (from_move) roaring_bitmap_remove(from_move->machines, index);
        if (to_move) roaring_bitmap_add(to_move->machines, index);
    }
    leave_sets(shares, machine);
    machine->cell = to;
    enter_sets(shares, machine);
}

/* ---- machines ---- */

machine *tw_shards_find(const tw_shards *shares, const char *name) {
    machine *found;
    HASH_FIND_STR(shares->by_name, name, found);
    return found;
}

static void add_blocks(tw_shards *shares, int count) {
    const size_t size = sizeof(uint64_t) * (size_t)count;
    uint64_t *cells = realloc(shares->cell_stamps, size);
    if (!cells) abort();
    uint64_t *names = realloc(shares->name_stamps, size);
    if (!names) abort();
    for (int i = shares->nblocks; i < count; i++) cells[i] = names[i] = 0;
    shares->cell_stamps = cells;
    shares->name_stamps = names;
    shares->nblocks = count;
}

/* The machine of that index, made with all before it where it doesn't exist. */
machine *tw_shards_slot(tw_shards *shares, int index) {
    while (shares->nmachines <= index) {
        shares->machines = tw_shards_grow(shares->machines, shares->nmachines,
                                          &shares->machines_room, sizeof(machine *));
        machine *made = tw_shards_alloc(sizeof *made);
        made->index = shares->nmachines;
        shares->machines[shares->nmachines++] = made;
    }
    if (index / BLOCK >= shares->nblocks) add_blocks(shares, index / BLOCK + 1);
    return shares->machines[index];
}

void tw_shards_name_machine(tw_shards *shares, machine *machine, const char *name, int zone) {
    tw_shards_copy_name(machine->name, name);
    machine->zone = zone;
    HASH_ADD_STR(shares->by_name, name, machine);
    roaring_bitmap_add(shares->zones[zone].machines, (uint32_t)machine->index);
}

void tw_shards_unname_machine(tw_shards *shares, machine *machine) {
    const uint32_t index = (uint32_t)machine->index;
    HASH_DEL(shares->by_name, machine);
    roaring_bitmap_remove(shares->zones[machine->zone].machines, index);
    for (int i = 0; i < shares->nimages; i++)
        roaring_bitmap_remove(shares->images[i].machines, index);
    roaring_bitmap_remove(shares->unchecked, index);
    machine->name[0] = 0;
    machine->load = 0;
    machine->drained = machine->opened = 0;
}

/* ---- named sets ---- */

static int find_set(const named_set *sets, int count, const char *name) {
    for (int i = 0; i < count; i++)
        if (!strcmp(sets[i].name, name)) return i;
    return -1;
}

static int add_set(named_set **sets, int *count, const char *name) {
    named_set *grown = realloc(*sets, sizeof *grown * (size_t)(*count + 1));
    if (!grown) abort();
    *sets = grown;
    tw_shards_copy_name(grown[*count].name, name);
    grown[*count].machines = roaring_bitmap_create();
    return (*count)++;
}

int tw_shards_zone_index(tw_shards *shares, const char *name) {
    const int found = find_set(shares->zones, shares->nzones, name);
    return found >= 0 ? found : add_set(&shares->zones, &shares->nzones, name);
}

named_set *tw_shards_find_image(const tw_shards *shares, const char *name) {
    const int found = find_set(shares->images, shares->nimages, name);
    return found < 0 ? NULL : &shares->images[found];
}

named_set *tw_shards_make_image(tw_shards *shares, const char *name) {
    named_set *found = tw_shards_find_image(shares, name);
    if (found) return found;
    const int added = add_set(&shares->images, &shares->nimages, name);
    return &shares->images[added];
}

/* ---- shares ---- */

int tw_shards_share_index(const tw_shards *shares, const char *name) {
    for (int i = 0; i < shares->header.nshares; i++)
        if (!strcmp(shares->header.shares[i].name, name)) return i;
    return -1;
}

/* Takes over the other header's list of shares. */
void tw_shards_set_header(tw_shards *shares, const header *to) {
    const int before = shares->header.nshares;
    for (int i = 0; i < shares->nmachines; i++) leave_sets(shares, shares->machines[i]);
    if (shares->header.shares != to->shares) free(shares->header.shares);
    shares->header = *to;
    if (to->nshares > before) {
        share_sets *grown = realloc(shares->sets, sizeof *grown * (size_t)to->nshares);
        if (!grown) abort();
        shares->sets = grown;
        for (int i = before; i < to->nshares; i++)
            grown[i] = (share_sets){roaring_bitmap_create(), roaring_bitmap_create(),
                                    roaring_bitmap_create()};
    }
    for (int i = 0; i < shares->nmachines; i++) enter_sets(shares, shares->machines[i]);
}

/* ---- moves ---- */

move *tw_shards_move_by_key(const tw_shards *shares, const char *key) {
    move *found;
    DL_FOREACH2(shares->moves, found, link) {
        if (!strcmp(found->now.key, key)) return found;
    }
    return NULL;
}

move *tw_shards_move_by_number(const tw_shards *shares, uint64_t number) {
    move *found;
    if (!number) return NULL;
    DL_FOREACH2(shares->moves, found, link) {
        if (found->now.number == number) return found;
    }
    return NULL;
}

static int by_number(const move *first, const move *second) {
    return (first->now.number > second->now.number) - (first->now.number < second->now.number);
}

void tw_shards_sort_moves(tw_shards *shares) { DL_SORT2(shares->moves, by_number, prev, link); }

/* Takes over the record's text. Machines that it holds are added as their cells are set. */
move *tw_shards_add_move(tw_shards *shares, const move_record *record) {
    move *added = tw_shards_alloc(sizeof *added);
    added->now = *record;
    added->machines = roaring_bitmap_create();
    DL_APPEND2(shares->moves, added, prev, link);
    tw_shards_sort_moves(shares);
    return added;
}

void tw_shards_drop_move(tw_shards *shares, move *dropped) {
    DL_DELETE2(shares->moves, dropped, prev, link);
    roaring_bitmap_free(dropped->machines);
    free(dropped->now.only);
    free(dropped);
}

tw_shards_progress tw_shards_progress_of(const tw_shards *shares, const move *move) {
    const move_record *record = &move->now;
    tw_shards_progress progress = {.done = record->done,
                                   .wanted = record->wanted,
                                   .moved = record->moved,
                                   .returned = record->returned,
                                   .lost = record->lost};
    roaring_uint32_iterator_t each;
    roaring_init_iterator(move->machines, &each);
    for (; each.has_value; roaring_advance_uint32_iterator(&each)) {
        const tw_shards_state state = shares->machines[each.current_value]->cell.state;
        progress.draining += state == TW_SHARDS_DRAINING;
        progress.released += state == TW_SHARDS_RELEASED;
        progress.taken += state == TW_SHARDS_TAKEN;
    }
    return progress;
}

/* ---- all of it ---- */

static void clear_named(named_set **sets, int *count) {
    for (int i = 0; i < *count; i++) roaring_bitmap_free((*sets)[i].machines);
    free(*sets);
    *sets = NULL;
    *count = 0;
}

/* Forgets all that stands in records; hints of images and loads go with it. */
void tw_shards_clear(tw_shards *shares) {
    move *each;
    move *after;
    HASH_CLEAR(hh, shares->by_name);
    for (int i = 0; i < shares->nmachines; i++) free(shares->machines[i]);
    free(shares->machines);
    shares->machines = NULL;
    shares->nmachines = shares->machines_room = 0;
    for (int i = 0; i < shares->header.nshares; i++) {
        roaring_bitmap_free(shares->sets[i].open);
        roaring_bitmap_free(shares->sets[i].taken);
        roaring_bitmap_free(shares->sets[i].draining);
    }
    free(shares->sets);
    shares->sets = NULL;
    free(shares->header.shares);
    shares->header = (header){0};
    shares->header_stamp = 0;
    free(shares->cell_stamps);
    free(shares->name_stamps);
    shares->cell_stamps = shares->name_stamps = NULL;
    shares->nblocks = 0;
    clear_named(&shares->zones, &shares->nzones);
    clear_named(&shares->images, &shares->nimages);
    DL_FOREACH_SAFE2(shares->moves, each, after, link) { tw_shards_drop_move(shares, each); }
}
