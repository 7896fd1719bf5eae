/* Reading the table: all records at the start of a term, and again whenever the fate of a
 * transaction is not known or one of its conditions failed. */
#include "shards/shards_int.h"
#include "wire/wire.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define DECIMAL 10

/* Forgets the table and begins to read it. Requests that wait go on waiting. */
void tw_shards_reload(tw_shards *shares) {
    tw_shards_abandon(shares);
    shares->in_flight = false;
    shares->loaded = false;
    tw_shards_clear(shares);
    shares->read_after = shares->now;
    tw_shards_read_next(shares, "");
}

void tw_shards_read_next(tw_shards *shares, const char *after) {
    tw_shards_effect *effect = tw_shards_emit(shares, TW_SHARDS_READ);
    effect->text = strdup(after);
    if (!effect->text) abort();
    effect->id = shares->call = ++shares->next_call;
    shares->reading = true;
}

/* The part of the key after the prefix; NULL: it has another one. */
static const char *rest_of(const char *key, const char *prefix) {
    const size_t length = strlen(prefix);
    return strncmp(key, prefix, length) ? NULL : key + length;
}

static int block_of(const char *digits) { return (int)strtol(digits, NULL, DECIMAL); }

/* A page comes in the order of keys: cells, moves, names, table. What is read needs the opposite
 * order, so texts are kept as they come and taken in when the last page is there. */
static int take_table(tw_shards *shares, const tw_wire_entry *entry) {
    header read;
    if (strcmp(entry->key, TW_SHARDS_PREFIX "table") != 0) return 0;
    if (tw_shards_header_parse(&read, entry->value)) return -1;
    shares->header_stamp = entry->mod_revision;
    tw_shards_set_header(shares, &read);
    return 0;
}

static int take_move(tw_shards *shares, const tw_wire_entry *entry) {
    move_record record;
    if (!rest_of(entry->key, TW_SHARDS_PREFIX "move/")) return 0;
    if (tw_shards_move_parse(&record, entry->value)) return -1;
    if (record.from >= shares->header.nshares || record.to >= shares->header.nshares) {
        free(record.only);
        return -1;
    }
    tw_shards_add_move(shares, &record)->stamp = entry->mod_revision;
    return 0;
}

static int take_names(tw_shards *shares, const tw_wire_entry *entry) {
    const char *digits = rest_of(entry->key, TW_SHARDS_PREFIX "names/");
    if (!digits) return 0;
    const int block = block_of(digits);
    tw_shards_slot(shares, block * BLOCK);
    shares->name_stamps[block] = entry->mod_revision;
    return tw_shards_names_parse(shares, block, entry->value);
}

static int take_cells(tw_shards *shares, const tw_wire_entry *entry) {
    const char *digits = rest_of(entry->key, TW_SHARDS_PREFIX "cells/");
    if (!digits) return 0;
    const int block = block_of(digits);
    tw_shards_slot(shares, block * BLOCK);
    shares->cell_stamps[block] = entry->mod_revision;
    return tw_shards_cells_parse(shares, block, entry->value);
}

/* Texts of the pages so far. */
struct kept_page {
    tw_wire_entry *entries;
    int count;
    struct kept_page *next;
};

static int take_all(tw_shards *shares, struct kept_page *pages) {
    static int (*const takes[])(tw_shards * shares, const tw_wire_entry *entry) = {
        take_table, take_move, take_names, take_cells};
    const struct kept_page *page;
    for (size_t i = 0; i < sizeof takes / sizeof *takes; i++) LL_FOREACH(pages, page) {
            for (int j = 0; j < page->count; j++)
                if (takes[i](shares, &page->entries[j])) return -1;
        }
    return 0;
}

static void free_pages(tw_shards *shares) {
    struct kept_page *page;
    struct kept_page *after;
    LL_FOREACH_SAFE(shares->pages, page, after) {
        tw_wire_entries_free(page->entries, page->count);
        free(page);
    }
    shares->pages = NULL;
}

static void read_later(tw_shards *shares) {
    free_pages(shares);
    shares->read_after = shares->now + shares->settings.retry_s;
}

static void tell_all(tw_shards *shares) {
    for (int i = 0; i < shares->nmachines; i++)
        if (shares->machines[i]->cell.state != TW_SHARDS_ABSENT)
            tw_shards_emit_tell(shares, shares->machines[i]);
}

/* Filled once in a term, since machines that come later are this leader's own; those that are gone
 * are left out each time. */
static void list_unchecked(tw_shards *shares) {
    roaring_bitmap_t *present = roaring_bitmap_create();
    for (int i = 0; i < shares->nmachines; i++)
        if (shares->machines[i]->cell.state != TW_SHARDS_ABSENT)
            roaring_bitmap_add(present, (uint32_t)i);
    if (shares->listed)
        roaring_bitmap_and_inplace(shares->unchecked, present);
    else
        roaring_bitmap_overwrite(shares->unchecked, present);
    shares->listed = true;
    roaring_bitmap_free(present);
}

void tw_shards_page(tw_shards *shares, double now, uint64_t id, const char *text, size_t length) {
    shares->now = now;
    if (!shares->token || !shares->reading || id != shares->call) return;
    shares->reading = false;
    struct kept_page *page = tw_shards_alloc(sizeof *page);
    int more = 0;
    if (!text || tw_wire_entries_parse(&page->entries, &page->count, &more, text, length)) {
        free(page);
        read_later(shares);
        return;
    }
    LL_APPEND(shares->pages, page);
    if (more && page->count) {
        tw_shards_read_next(shares, page->entries[page->count - 1].key);
        return;
    }
    const int failed = take_all(shares, shares->pages);
    free_pages(shares);
    if (failed) {
        tw_shards_clear(shares);
        read_later(shares);
        return;
    }
    shares->loaded = true;
    list_unchecked(shares);
    tell_all(shares);
}

void tw_shards_forget_pages(tw_shards *shares) { free_pages(shares); }
