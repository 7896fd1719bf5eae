/* Workers' reports, recognised by their text where nothing but the sequence number is new.
 *
 * A report that was read is kept with its text, in two parts: up to and with `"tick":`, and what
 * follows the number. A later text with the same two parts is the same report with another number,
 * and only that number is read (by the JSON library). Why this can't go wrong: the first part opens
 * the message's object and no other one, and holds no escape; so its end is a name of that object,
 * and the first such name, which is the one that counts. */
#define _GNU_SOURCE /* memmem */
#include "wire/json.h"
#include "wire/wire.h"
#include <ctype.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* Longer texts are read anew each time. A machine that runs many short tasks lists hundreds. */
#define LONGEST_KEPT_BYTES 131072
/* Texts up to this are kept of every machine. */
#define SHORT_BYTES 8192

static const char sequence_name[] = "\"tick\":";

/* A text as parts: [0, head) [head, tail) [tail, length); the middle is the number. */
typedef struct {
    const char *text;
    size_t head, tail, length;
} parts;

typedef struct kept {
    tw_wire_heartbeat report; /* its pieces are ours */
    size_t head, rest;        /* lengths of the text's parts */
    bool came;                /* since the last sweep */
    size_t long_bytes;        /* what counts against the most_long_bytes */
    UT_hash_handle hh;        /* by the first part */
    char text[];              /* both parts */
} kept;

struct tw_wire_heartbeat_cache {
    kept *kept;
    size_t long_bytes, most_long_bytes; /* of all texts that are not short, and their reports */
    tw_wire_heartbeat passing;          /* the last one, where it was not kept */
};

tw_wire_heartbeat_cache *tw_wire_heartbeat_cache_new(size_t most_long_bytes) {
    tw_wire_heartbeat_cache *cache = tw_json_alloc(sizeof *cache);
    cache->most_long_bytes = most_long_bytes;
    return cache;
}

static void let_go(tw_wire_heartbeat_cache *cache, kept *old) {
    HASH_DEL(cache->kept, old);
    cache->long_bytes -= old->long_bytes;
    tw_wire_heartbeat_free(&old->report);
    free(old);
}

void tw_wire_heartbeat_cache_free(tw_wire_heartbeat_cache *cache) {
    kept *each, *next;
    if (!cache) return;
    HASH_ITER(hh, cache->kept, each, next) { let_go(cache, each); }
    tw_wire_heartbeat_free(&cache->passing);
    free(cache);
}

size_t tw_wire_heartbeat_cache_count(const tw_wire_heartbeat_cache *cache) {
    return HASH_COUNT(cache->kept);
}

void tw_wire_heartbeat_cache_sweep(tw_wire_heartbeat_cache *cache) {
    kept *each, *next;
    HASH_ITER(hh, cache->kept, each, next) {
        const bool came = each->came;
        each->came = false;
        if (!came) let_go(cache, each);
    }
}

/* Where the number stands, and its value; 0: the text has not the form that is recognised. */
static bool split(parts *of, const char *text, size_t length, uint64_t *sequence) {
    static const tw_json_field field = {.type = TW_JSON_COUNT, .max = TW_JSON_LARGEST};
    const size_t name = sizeof sequence_name - 1;
    const char *found = length ? memmem(text, length, sequence_name, name) : NULL;
    if (!found || *text != '{' || length > LONGEST_KEPT_BYTES) return false;
    const size_t head = (size_t)(found - text) + name;
    if (memchr(text + 1, '{', head - 1) || memchr(text, '\\', head)) return false;
    if (head == length || !isdigit((unsigned char)text[head])) return false;
    const char *end = NULL;
    cJSON *number = cJSON_ParseWithLengthOpts(text + head, length - head, &end, 0);
    const bool wrong = !number || tw_json_read_value(&field, number, sequence);
    cJSON_Delete(number);
    *of = (parts){text, head, (size_t)(end - text), length};
    return !wrong;
}

static bool is_same(const kept *old, const parts *of) {
    const size_t rest = of->length - of->tail;
    return old->rest == rest && !memcmp(old->text + old->head, of->text + of->tail, rest);
}

/* What the text and its report count against the most_long_bytes; 0 for a short text. */
static size_t long_bytes_of(const parts *of, const tw_wire_heartbeat *heartbeat) {
    if (of->length <= SHORT_BYTES) return 0;
    return of->length + (size_t)heartbeat->task_count * sizeof *heartbeat->tasks;
}

/* Keeps the report, whose pieces pass to the set. */
static const tw_wire_heartbeat *keep(tw_wire_heartbeat_cache *cache, const parts *of,
                                     const tw_wire_heartbeat *heartbeat) {
    const size_t rest = of->length - of->tail;
    kept *added = tw_json_alloc(sizeof *added + of->head + rest);
    added->report = *heartbeat;
    added->head = of->head;
    added->rest = rest;
    added->came = true;
    added->long_bytes = long_bytes_of(of, heartbeat);
    cache->long_bytes += added->long_bytes;
    memcpy(added->text, of->text, of->head);
    memcpy(added->text + of->head, of->text + of->tail, rest);
    HASH_ADD_KEYPTR(hh, cache->kept, added->text, added->head, added);
    return &added->report;
}

const tw_wire_heartbeat *tw_wire_heartbeat_cache_read(tw_wire_heartbeat_cache *cache,
                                                      const char *text, size_t length) {
    parts of;
    uint64_t sequence = 0;
    kept *old = NULL;
    tw_wire_heartbeat heartbeat;
    tw_wire_heartbeat_free(&cache->passing);
    const bool recognisable = split(&of, text, length, &sequence);
    if (recognisable) HASH_FIND(hh, cache->kept, text, of.head, old);
    if (old && is_same(old, &of)) {
        old->came = true;
        old->report.sequence = sequence;
        return &old->report;
    }
    if (tw_wire_heartbeat_parse(&heartbeat, text, length)) return NULL;
    if (old) let_go(cache, old); /* the new report takes its place */
    if (recognisable &&
        cache->long_bytes + long_bytes_of(&of, &heartbeat) <= cache->most_long_bytes)
        return keep(cache, &of, &heartbeat);
    cache->passing = heartbeat;
    return &cache->passing;
}
