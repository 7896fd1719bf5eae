/* A cache of workers' heartbeats: avoids parsing a heartbeat that differs from the previous one
 * only in its sequence.
 *
 * Each cached heartbeat is stored with its text in two parts: the head, up to and including
 * `"tick":`, and the tail, which follows the sequence. A later text with the same head and tail is
 * the same heartbeat with another sequence, and only that sequence is parsed (by the JSON library).
 * This is safe because the head contains only one opening brace, that of the message's object, and
 * no backslash: the `"tick":` at its end is therefore a field of that object, and the first field
 * of that name, which is the one that the parser uses. */
#define _GNU_SOURCE /* memmem */
#include "wire/json.h"
#include "wire/wire.h"
#include <ctype.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* Texts up to this size are cached for every machine, without counting against max_long_bytes. */
#define MAX_SHORT_TEXT_BYTES 8192

static const char sequence_name[] = "\"tick\":";

/* A text in three parts: the head [0, head_end), the sequence [head_end, tail_start) and the tail
 * [tail_start, length). */
typedef struct {
    const char *text;
    size_t head_end, tail_start, length;
} text_parts;

typedef struct cache_entry {
    tw_wire_heartbeat heartbeat; /* the entry owns its tasks */
    size_t head_length, tail_length;
    bool used_since_sweep;
    size_t long_bytes; /* bytes that count against max_long_bytes */
    UT_hash_handle hh; /* key: the head */
    char text[];       /* the head, followed by the tail */
} cache_entry;

struct tw_wire_heartbeat_cache {
    cache_entry *entries;
    size_t long_bytes; /* total size of the long texts and their heartbeats */
    size_t max_long_bytes;
    tw_wire_heartbeat uncached; /* the heartbeat returned last, if it is not in the cache */
};

tw_wire_heartbeat_cache *tw_wire_heartbeat_cache_new(size_t max_long_bytes) {
    tw_wire_heartbeat_cache *cache = tw_json_alloc(sizeof *cache);
    cache->max_long_bytes = max_long_bytes;
    return cache;
}

static void evict_entry(tw_wire_heartbeat_cache *cache, cache_entry *entry) {
    HASH_DEL(cache->entries, entry);
    cache->long_bytes -= entry->long_bytes;
    tw_wire_heartbeat_free(&entry->heartbeat);
    free(entry);
}

void tw_wire_heartbeat_cache_free(tw_wire_heartbeat_cache *cache) {
    cache_entry *entry, *next;
    if (!cache) return;
    HASH_ITER(hh, cache->entries, entry, next) { evict_entry(cache, entry); }
    tw_wire_heartbeat_free(&cache->uncached);
    free(cache);
}

size_t tw_wire_heartbeat_cache_count(const tw_wire_heartbeat_cache *cache) {
    return HASH_COUNT(cache->entries);
}

void tw_wire_heartbeat_cache_sweep(tw_wire_heartbeat_cache *cache) {
    cache_entry *entry, *next;
    HASH_ITER(hh, cache->entries, entry, next) {
        const bool used = entry->used_since_sweep;
        entry->used_since_sweep = false;
        if (!used) evict_entry(cache, entry);
    }
}

/* Splits a text into head, sequence and tail, and parses the sequence. Returns false if the text
 * can't be cached. */
static bool split_text(text_parts *parts, const char *text, size_t length, uint64_t *sequence) {
    static const tw_json_field field = {.type = TW_JSON_UINT64, .max = TW_JSON_MAX_NUMBER};
    const size_t name_length = sizeof sequence_name - 1;
    const char *found = length ? memmem(text, length, sequence_name, name_length) : NULL;
    if (!found || *text != '{') return false;
    const size_t head_end = (size_t)(found - text) + name_length;
    if (memchr(text + 1, '{', head_end - 1) || memchr(text, '\\', head_end)) return false;
    if (head_end == length || !isdigit((unsigned char)text[head_end])) return false;
    const char *end = NULL;
    cJSON *number = cJSON_ParseWithLengthOpts(text + head_end, length - head_end, &end, 0);
    const bool invalid = !number || tw_json_read_value(&field, number, sequence);
    cJSON_Delete(number);
    *parts = (text_parts){text, head_end, (size_t)(end - text), length};
    return !invalid;
}

static bool has_same_parts(const cache_entry *entry, const text_parts *parts) {
    const size_t tail_length = parts->length - parts->tail_start;
    return entry->tail_length == tail_length &&
           !memcmp(entry->text + entry->head_length, parts->text + parts->tail_start, tail_length);
}

/* Returns the number of bytes of a text and its heartbeat that count against max_long_bytes; 0 if
 * the text is short. */
static size_t count_long_bytes(const text_parts *parts, const tw_wire_heartbeat *heartbeat) {
    if (parts->length <= MAX_SHORT_TEXT_BYTES) return 0;
    return parts->length + (size_t)heartbeat->task_count * sizeof *heartbeat->tasks;
}

/* Adds a heartbeat to the cache, which takes ownership of its tasks. */
static const tw_wire_heartbeat *add_entry(tw_wire_heartbeat_cache *cache, const text_parts *parts,
                                          const tw_wire_heartbeat *heartbeat) {
    const size_t tail_length = parts->length - parts->tail_start;
    cache_entry *entry = tw_json_alloc(sizeof *entry + parts->head_end + tail_length);
    entry->heartbeat = *heartbeat;
    entry->head_length = parts->head_end;
    entry->tail_length = tail_length;
    entry->used_since_sweep = true;
    entry->long_bytes = count_long_bytes(parts, heartbeat);
    cache->long_bytes += entry->long_bytes;
    memcpy(entry->text, parts->text, parts->head_end);
    memcpy(entry->text + parts->head_end, parts->text + parts->tail_start, tail_length);
    HASH_ADD_KEYPTR(hh, cache->entries, entry->text, entry->head_length, entry);
    return &entry->heartbeat;
}

const tw_wire_heartbeat *tw_wire_heartbeat_cache_read(tw_wire_heartbeat_cache *cache,
                                                      const char *text, size_t length) {
    text_parts parts;
    uint64_t sequence = 0;
    cache_entry *entry = NULL;
    tw_wire_heartbeat heartbeat;
    tw_wire_heartbeat_free(&cache->uncached);
    const bool cacheable = split_text(&parts, text, length, &sequence);
    if (cacheable) HASH_FIND(hh, cache->entries, text, parts.head_end, entry);
    if (entry && has_same_parts(entry, &parts)) {
        entry->used_since_sweep = true;
        entry->heartbeat.sequence = sequence;
        return &entry->heartbeat;
    }
    if (tw_wire_heartbeat_parse(&heartbeat, text, length)) return NULL;
    if (entry) evict_entry(cache, entry); /* the new heartbeat replaces it */
    if (cacheable &&
        cache->long_bytes + count_long_bytes(&parts, &heartbeat) <= cache->max_long_bytes)
        return add_entry(cache, &parts, &heartbeat);
    cache->uncached = heartbeat;
    return &cache->uncached;
}
