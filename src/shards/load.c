/* Reads the table: all records at the start of a term, and again whenever the outcome of a
 * transaction is unknown or one of its compares failed. */
#include "shards/shards_int.h"
#include "wire/wire.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define DECIMAL 10

void tw_shards_reload_table(tw_shards *shards) {
    tw_shards_discard_transaction(shards);
    shards->in_flight = false;
    shards->loaded = false;
    tw_shards_clear_table(shards);
    shards->next_read_at = shards->now;
    tw_shards_read_next_page(shards, "");
}

void tw_shards_read_next_page(tw_shards *shards, const char *after_key) {
    tw_shards_effect *effect = tw_shards_emit_effect(shards, TW_SHARDS_READ);
    effect->text = strdup(after_key);
    if (!effect->text) abort();
    effect->id = shards->read_id = ++shards->last_effect_id;
    shards->reading = true;
}

/* Returns the part of the key after the prefix; NULL if the key has a different prefix. */
static const char *key_after_prefix(const char *key, const char *prefix) {
    const size_t length = strlen(prefix);
    return strncmp(key, prefix, length) ? NULL : key + length;
}

static int parse_block(const char *digits) { return (int)strtol(digits, NULL, DECIMAL); }

/* Loads the header record. Ignores entries with other keys, as each of the load functions does. */
static tw_shards_error load_table(tw_shards *shards, const tw_wire_entry *entry) {
    tw_shards_header header;
    if (strcmp(entry->key, TW_SHARDS_PREFIX "table") != 0) return TW_SHARDS_NO_ERROR;
    if (tw_shards_header_parse(&header, entry->value)) return TW_SHARDS_BAD_RECORD;
    shards->header_mod_revision = entry->mod_revision;
    tw_shards_set_header(shards, &header);
    return TW_SHARDS_NO_ERROR;
}

static tw_shards_error load_move(tw_shards *shards, const tw_wire_entry *entry) {
    tw_shards_move_record record;
    if (!key_after_prefix(entry->key, TW_SHARDS_PREFIX "move/")) return TW_SHARDS_NO_ERROR;
    if (tw_shards_move_parse(&record, entry->value)) return TW_SHARDS_BAD_RECORD;
    if (record.from >= shards->header.shard_count || record.to >= shards->header.shard_count) {
        free(record.only);
        return TW_SHARDS_BAD_RECORD;
    }
    tw_shards_add_move(shards, &record)->mod_revision = entry->mod_revision;
    return TW_SHARDS_NO_ERROR;
}

static tw_shards_error load_names(tw_shards *shards, const tw_wire_entry *entry) {
    const char *digits = key_after_prefix(entry->key, TW_SHARDS_PREFIX "names/");
    if (!digits) return TW_SHARDS_NO_ERROR;
    const int block = parse_block(digits);
    tw_shards_get_slot(shards, block * TW_SHARDS_BLOCK_SIZE);
    shards->name_mod_revisions[block] = entry->mod_revision;
    return tw_shards_names_parse(shards, block, entry->value);
}

static tw_shards_error load_cells(tw_shards *shards, const tw_wire_entry *entry) {
    const char *digits = key_after_prefix(entry->key, TW_SHARDS_PREFIX "cells/");
    if (!digits) return TW_SHARDS_NO_ERROR;
    const int block = parse_block(digits);
    tw_shards_get_slot(shards, block * TW_SHARDS_BLOCK_SIZE);
    shards->cell_mod_revisions[block] = entry->mod_revision;
    return tw_shards_cells_parse(shards, block, entry->value);
}

/* A page that has been read, kept until all pages have been read. */
struct tw_shards_read_page {
    tw_wire_entry *entries;
    int count;
    struct tw_shards_read_page *next;
};

/* Loads the records of all pages, kind by kind: pages list the keys in the order cells, moves,
 * names, table, but a record depends on records of kinds that are listed later. */
static tw_shards_error load_records(tw_shards *shards, struct tw_shards_read_page *pages) {
    static tw_shards_error (*const takes[])(tw_shards * shards, const tw_wire_entry *entry) = {
        load_table, load_move, load_names, load_cells};
    const struct tw_shards_read_page *page;
    for (size_t i = 0; i < sizeof takes / sizeof *takes; i++) LL_FOREACH(pages, page) {
            for (int j = 0; j < page->count; j++)
                if (takes[i](shards, &page->entries[j])) return TW_SHARDS_BAD_RECORD;
        }
    return TW_SHARDS_NO_ERROR;
}

static void free_pages(tw_shards *shards) {
    struct tw_shards_read_page *page;
    struct tw_shards_read_page *next;
    LL_FOREACH_SAFE(shards->pages, page, next) {
        tw_wire_entries_free(page->entries, page->count);
        free(page);
    }
    shards->pages = NULL;
}

static void schedule_reread(tw_shards *shards) {
    free_pages(shards);
    shards->next_read_at = shards->now + shards->settings.retry_s;
}

static void notify_all(tw_shards *shards) {
    for (int i = 0; i < shards->machine_count; i++)
        if (shards->machines[i]->cell.state != TW_SHARDS_ABSENT)
            tw_shards_emit_notification(shards, shards->machines[i]);
}

/* Puts all machines into quarantine on the first read of a term. Later reads only end the
 * quarantine of removed machines, because machines added since were registered by this leader. */
static void quarantine_machines(tw_shards *shards) {
    roaring_bitmap_t *present = roaring_bitmap_create();
    for (int i = 0; i < shards->machine_count; i++)
        if (shards->machines[i]->cell.state != TW_SHARDS_ABSENT)
            roaring_bitmap_add(present, (uint32_t)i);
    if (shards->quarantine_filled)
        roaring_bitmap_and_inplace(shards->quarantined, present);
    else
        roaring_bitmap_overwrite(shards->quarantined, present);
    shards->quarantine_filled = true;
    roaring_bitmap_free(present);
}

void tw_shards_handle_page(tw_shards *shards, double now, uint64_t id, const char *text,
                           size_t length) {
    shards->now = now;
    if (!shards->token || !shards->reading || id != shards->read_id) return;
    shards->reading = false;
    struct tw_shards_read_page *page = tw_shards_alloc(sizeof *page);
    int more = 0;
    if (!text || tw_wire_entries_parse(&page->entries, &page->count, &more, text, length)) {
        free(page);
        schedule_reread(shards);
        return;
    }
    LL_APPEND(shards->pages, page);
    if (more && page->count) {
        tw_shards_read_next_page(shards, page->entries[page->count - 1].key);
        return;
    }
    const int failed = load_records(shards, shards->pages);
    free_pages(shards);
    if (failed) {
        tw_shards_clear_table(shards);
        schedule_reread(shards);
        return;
    }
    shards->loaded = true;
    quarantine_machines(shards);
    notify_all(shards);
}

void tw_shards_free_pages(tw_shards *shards) { free_pages(shards); }
