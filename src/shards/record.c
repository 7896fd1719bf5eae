/* Formats and parses the records of the state service.
 *
 *   shares/table        revision, last epoch and last move number, all shards
 *   shares/cells/NNNN   states of the machines of a block; equal cells are combined as ranges
 *   shares/names/NNNN   names and zones of the machines of a block
 *   shares/move/KEY     a move
 *
 * A parser returns TW_SHARDS_BAD_RECORD for a malformed text. */
#include "shards/shards_int.h"
#include <cjson/cJSON.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_NUMBER 1e15
#define RANGE_SIZE 24
#define DECIMAL 10
#define MAX_INDEX 10000000

static char *print_and_delete(cJSON *object) {
    char *text = cJSON_PrintUnformatted(object);
    if (!text) abort();
    cJSON_Delete(object);
    return text;
}

/* ---- members of records ---- */

static tw_shards_error read_number(const cJSON *object, const char *name, double *to) {
    const cJSON *item = cJSON_GetObjectItemCaseSensitive(object, name);
    if (!cJSON_IsNumber(item)) return TW_SHARDS_BAD_RECORD;
    if (!(item->valuedouble >= 0 && item->valuedouble <= MAX_NUMBER)) return TW_SHARDS_BAD_RECORD;
    *to = item->valuedouble;
    return TW_SHARDS_NO_ERROR;
}

static tw_shards_error read_count(const cJSON *object, const char *name, uint64_t *to) {
    double number;
    if (read_number(object, name, &number)) return TW_SHARDS_BAD_RECORD;
    *to = (uint64_t)number;
    return TW_SHARDS_NO_ERROR;
}

static tw_shards_error read_int(const cJSON *object, const char *name, int *to) {
    double number;
    if (read_number(object, name, &number) || number > MAX_INDEX) return TW_SHARDS_BAD_RECORD;
    *to = (int)number;
    return TW_SHARDS_NO_ERROR;
}

static tw_shards_error read_name(const cJSON *object, const char *name, char *to) {
    const cJSON *item = cJSON_GetObjectItemCaseSensitive(object, name);
    if (!cJSON_IsString(item) || strlen(item->valuestring) >= TW_SHARDS_NAME)
        return TW_SHARDS_BAD_RECORD;
    tw_shards_copy_name(to, item->valuestring);
    return TW_SHARDS_NO_ERROR;
}

static void add_number(cJSON *object, const char *name, double number) {
    cJSON_AddNumberToObject(object, name, number);
}

/* ---- ranges ---- */

char *tw_shards_ranges_text(const roaring_bitmap_t *set) {
    size_t size = 1;
    char *text = tw_shards_alloc(size);
    roaring_uint32_iterator_t each;
    roaring_init_iterator(set, &each);
    while (each.has_value) {
        const uint32_t first = each.current_value;
        uint32_t last = first;
        while (roaring_advance_uint32_iterator(&each) && each.current_value == last + 1) last++;
        char range[RANGE_SIZE];
        const char *comma = size > 1 ? "," : "";
        int length = first == last ? snprintf(range, sizeof range, "%s%u", comma, first)
                                   : snprintf(range, sizeof range, "%s%u-%u", comma, first, last);
        char *longer = realloc(text, size + (size_t)length);
        if (!longer) abort();
        text = longer;
        memcpy(text + size - 1, range, (size_t)length + 1);
        size += (size_t)length;
    }
    return text;
}

static tw_shards_error read_index(const char **at, uint32_t *index) {
    char *end;
    if (**at < '0' || **at > '9') return TW_SHARDS_BAD_RECORD;
    const unsigned long number = strtoul(*at, &end, DECIMAL);
    if (number > MAX_INDEX) return TW_SHARDS_BAD_RECORD;
    *index = (uint32_t)number;
    *at = end;
    return TW_SHARDS_NO_ERROR;
}

roaring_bitmap_t *tw_shards_ranges_parse(const char *text) {
    roaring_bitmap_t *set = roaring_bitmap_create();
    const char *at = text;
    while (*at) {
        uint32_t first;
        uint32_t last;
        if (read_index(&at, &first)) break;
        last = first;
        if (*at == '-') {
            at++;
            if (read_index(&at, &last) || last < first) break;
        }
        roaring_bitmap_add_range(set, first, (uint64_t)last + 1);
        if (!*at) return set;
        if (*at++ != ',' || !*at) break;
    }
    if (at == text && !*text) return set;
    roaring_bitmap_free(set);
    return NULL;
}

/* ---- header ---- */

char *tw_shards_header_text(const tw_shards_header *header) {
    cJSON *object = cJSON_CreateObject();
    add_number(object, "revision", (double)header->revision);
    add_number(object, "epoch", (double)header->epoch);
    add_number(object, "move", (double)header->move);
    cJSON *list = cJSON_AddArrayToObject(object, "shares");
    for (int i = 0; i < header->shard_count; i++) {
        const tw_shards_shard *each = &header->shards[i];
        cJSON *item = cJSON_CreateObject();
        cJSON_AddStringToObject(item, "name", each->name);
        cJSON_AddStringToObject(item, "owner", each->owner);
        add_number(item, "epoch", (double)each->epoch);
        add_number(item, "least", each->least);
        add_number(item, "spread", each->spread);
        cJSON_AddItemToArray(list, item);
    }
    return print_and_delete(object);
}

static tw_shards_error read_shard(const cJSON *item, tw_shards_shard *to) {
    return read_name(item, "name", to->name) || read_name(item, "owner", to->owner) ||
                   read_count(item, "epoch", &to->epoch) || read_int(item, "least", &to->least) ||
                   read_int(item, "spread", &to->spread)
               ? TW_SHARDS_BAD_RECORD
               : TW_SHARDS_NO_ERROR;
}

tw_shards_error tw_shards_header_parse(tw_shards_header *header, const char *text) {
    cJSON *object = cJSON_Parse(text);
    const cJSON *list = cJSON_GetObjectItemCaseSensitive(object, "shares");
    const cJSON *item;
    bool failed = !cJSON_IsArray(list) || read_count(object, "revision", &header->revision) ||
                  read_count(object, "epoch", &header->epoch) ||
                  read_count(object, "move", &header->move);
    header->shards = NULL;
    header->shard_count = 0;
    if (!failed) {
        header->shards = tw_shards_alloc(sizeof *header->shards * (size_t)cJSON_GetArraySize(list));
        cJSON_ArrayForEach(item, list) {
            failed = failed || read_shard(item, &header->shards[header->shard_count++]);
        }
    }
    if (failed) {
        free(header->shards);
        header->shards = NULL;
        header->shard_count = 0;
    }
    cJSON_Delete(object);
    return failed ? TW_SHARDS_BAD_RECORD : TW_SHARDS_NO_ERROR;
}

/* ---- cells ---- */

/* Returns the cell of the machine once the transaction in flight is applied. */
static const tw_shards_cell *pending_cell(const tw_shards_machine *machine) {
    return machine->change_pending ? &machine->next : &machine->cell;
}

static bool cells_equal(const tw_shards_cell *first, const tw_shards_cell *second) {
    return first->shard == second->shard && first->state == second->state &&
           first->epoch == second->epoch && first->move == second->move;
}

static void add_cells(cJSON *list, const tw_shards_cell *cell, const roaring_bitmap_t *machines) {
    cJSON *item = cJSON_CreateObject();
    char *ranges = tw_shards_ranges_text(machines);
    add_number(item, "share", cell->shard);
    cJSON_AddStringToObject(item, "state", tw_shards_state_name(cell->state));
    add_number(item, "epoch", (double)cell->epoch);
    if (cell->move) add_number(item, "move", (double)cell->move);
    cJSON_AddStringToObject(item, "machines", ranges);
    cJSON_AddItemToArray(list, item);
    free(ranges);
}

char *tw_shards_cells_text(const tw_shards *shards, int block) {
    const int first = block * TW_SHARDS_BLOCK_SIZE;
    const int end = first + TW_SHARDS_BLOCK_SIZE < shards->machine_count
                        ? first + TW_SHARDS_BLOCK_SIZE
                        : shards->machine_count;
    cJSON *object = cJSON_CreateObject();
    cJSON *list = cJSON_AddArrayToObject(object, "cells");
    uint64_t listed = 0;
    for (int i = first; i < end; i++) {
        const tw_shards_cell *cell = pending_cell(shards->machines[i]);
        if (cell->state == TW_SHARDS_ABSENT || (listed >> (i - first) & 1)) continue;
        roaring_bitmap_t *equal = roaring_bitmap_create();
        for (int j = i; j < end; j++) {
            if (!cells_equal(cell, pending_cell(shards->machines[j]))) continue;
            listed |= (uint64_t)1 << (j - first);
            roaring_bitmap_add(equal, (uint32_t)j);
        }
        add_cells(list, cell, equal);
        roaring_bitmap_free(equal);
    }
    return print_and_delete(object);
}

static tw_shards_error read_state(const cJSON *item, tw_shards_state *state) {
    char name[TW_SHARDS_NAME];
    if (read_name(item, "state", name)) return TW_SHARDS_BAD_RECORD;
    for (int i = TW_SHARDS_TAKEN; i <= TW_SHARDS_RELEASED; i++) {
        *state = (tw_shards_state)i;
        if (!strcmp(name, tw_shards_state_name(*state))) return TW_SHARDS_NO_ERROR;
    }
    return TW_SHARDS_BAD_RECORD;
}

static tw_shards_error read_cell(const tw_shards *shards, const cJSON *item, tw_shards_cell *to) {
    *to = (tw_shards_cell){0};
    if (read_int(item, "share", &to->shard) || read_count(item, "epoch", &to->epoch))
        return TW_SHARDS_BAD_RECORD;
    if (to->shard >= shards->header.shard_count || read_state(item, &to->state))
        return TW_SHARDS_BAD_RECORD;
    if (cJSON_GetObjectItemCaseSensitive(item, "move") && read_count(item, "move", &to->move))
        return TW_SHARDS_BAD_RECORD;
    return TW_SHARDS_NO_ERROR;
}

/* Sets the cells of the block's machines, whose names must have been loaded before. */
tw_shards_error tw_shards_cells_parse(tw_shards *shards, int block, const char *text) {
    cJSON *object = cJSON_Parse(text);
    const cJSON *list = cJSON_GetObjectItemCaseSensitive(object, "cells");
    const cJSON *item;
    bool failed = !cJSON_IsArray(list);
    cJSON_ArrayForEach(item, list) {
        const cJSON *ranges = cJSON_GetObjectItemCaseSensitive(item, "machines");
        roaring_bitmap_t *set =
            cJSON_IsString(ranges) ? tw_shards_ranges_parse(ranges->valuestring) : NULL;
        tw_shards_cell to;
        failed = failed || !set || read_cell(shards, item, &to);
        if (!failed) {
            roaring_uint32_iterator_t each;
            roaring_init_iterator(set, &each);
            for (; each.has_value && !failed; roaring_advance_uint32_iterator(&each)) {
                const int index = (int)each.current_value;
                failed = index / TW_SHARDS_BLOCK_SIZE != block || index >= shards->machine_count ||
                         !shards->machines[index]->name[0];
                if (!failed) tw_shards_set_cell(shards, shards->machines[index], to);
            }
        }
        if (set) roaring_bitmap_free(set);
    }
    cJSON_Delete(object);
    return failed ? TW_SHARDS_BAD_RECORD : TW_SHARDS_NO_ERROR;
}

/* ---- names ---- */

char *tw_shards_names_text(const tw_shards *shards, int block) {
    const int first = block * TW_SHARDS_BLOCK_SIZE;
    const int end = first + TW_SHARDS_BLOCK_SIZE < shards->machine_count
                        ? first + TW_SHARDS_BLOCK_SIZE
                        : shards->machine_count;
    cJSON *object = cJSON_CreateObject();
    for (int i = first; i < end; i++) {
        const tw_shards_machine *each = shards->machines[i];
        if (pending_cell(each)->state == TW_SHARDS_ABSENT) continue;
        char index[RANGE_SIZE];
        snprintf(index, sizeof index, "%d", i);
        const char *const pair[] = {each->name, shards->zones[each->zone].name};
        cJSON_AddItemToObject(object, index, cJSON_CreateStringArray(pair, 2));
    }
    return print_and_delete(object);
}

static tw_shards_error read_machine_name(tw_shards *shards, int block, const cJSON *item) {
    const cJSON *name = cJSON_GetArrayItem(item, 0);
    const cJSON *zone = cJSON_GetArrayItem(item, 1);
    const char *at = item->string;
    uint32_t index;
    if (read_index(&at, &index) || *at || (int)index / TW_SHARDS_BLOCK_SIZE != block)
        return TW_SHARDS_BAD_RECORD;
    if (!cJSON_IsString(name) || strlen(name->valuestring) >= TW_SHARDS_NAME)
        return TW_SHARDS_BAD_RECORD;
    if (!cJSON_IsString(zone) || strlen(zone->valuestring) >= TW_SHARDS_NAME)
        return TW_SHARDS_BAD_RECORD;
    if (!name->valuestring[0] || tw_shards_find_machine(shards, name->valuestring))
        return TW_SHARDS_BAD_RECORD;
    tw_shards_machine *slot = tw_shards_get_slot(shards, (int)index);
    const int zone_index = tw_shards_find_or_add_zone(shards, zone->valuestring);
    tw_shards_name_machine(shards, slot, name->valuestring, zone_index);
    return TW_SHARDS_NO_ERROR;
}

tw_shards_error tw_shards_names_parse(tw_shards *shards, int block, const char *text) {
    cJSON *object = cJSON_Parse(text);
    const cJSON *item;
    bool failed = !cJSON_IsObject(object);
    cJSON_ArrayForEach(item, object) { failed = failed || read_machine_name(shards, block, item); }
    cJSON_Delete(object);
    return failed ? TW_SHARDS_BAD_RECORD : TW_SHARDS_NO_ERROR;
}

/* ---- moves ---- */

char *tw_shards_move_text(const tw_shards_move_record *record) {
    cJSON *object = cJSON_CreateObject();
    cJSON_AddStringToObject(object, "key", record->key);
    cJSON_AddStringToObject(object, "image", record->image);
    if (record->only) cJSON_AddStringToObject(object, "only", record->only);
    add_number(object, "number", (double)record->number);
    add_number(object, "from", record->from);
    add_number(object, "to", record->to);
    add_number(object, "wanted", record->wanted);
    add_number(object, "marked", record->marked);
    add_number(object, "moved", record->moved);
    add_number(object, "returned", record->returned);
    add_number(object, "lost", record->lost);
    add_number(object, "cancelled", record->cancelled);
    add_number(object, "done", record->done);
    add_number(object, "digest", (double)record->digest);
    add_number(object, "deadline", record->deadline);
    return print_and_delete(object);
}

tw_shards_error tw_shards_move_parse(tw_shards_move_record *record, const char *text) {
    cJSON *object = cJSON_Parse(text);
    const cJSON *only = cJSON_GetObjectItemCaseSensitive(object, "only");
    *record = (tw_shards_move_record){0};
    const bool failed =
        read_name(object, "key", record->key) || read_name(object, "image", record->image) ||
        read_count(object, "number", &record->number) || read_int(object, "from", &record->from) ||
        read_int(object, "to", &record->to) || read_int(object, "wanted", &record->wanted) ||
        read_int(object, "marked", &record->marked) || read_int(object, "moved", &record->moved) ||
        read_int(object, "returned", &record->returned) ||
        read_int(object, "lost", &record->lost) ||
        read_int(object, "cancelled", &record->cancelled) ||
        read_int(object, "done", &record->done) || read_count(object, "digest", &record->digest) ||
        read_number(object, "deadline", &record->deadline);
    if (!failed && cJSON_IsString(only)) {
        record->only = strdup(only->valuestring);
        if (!record->only) abort();
    }
    cJSON_Delete(object);
    return failed ? TW_SHARDS_BAD_RECORD : TW_SHARDS_NO_ERROR;
}
