/* Completed jobs. A generation is a hash table with open addressing and linear probing: an array of
 * keys and one of endings. It doubles as it fills, up to its share of the memory. */
#include "core/completed_jobs.h"
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define GENERATIONS 8
#define FIRST_SLOTS 16
/* A generation grows, or is full, at this load. */
#define LOAD_NUMERATOR 3
#define LOAD_DENOMINATOR 4
/* An id is "run-" and up to 16 digits. Its key is the number that the digits make, with the count
 * of digits above it, since "run-7" and "run-07" are two jobs. The count is never 0, and so is no
 * key: 0 marks an empty slot. */
#define PREFIX_LENGTH (sizeof "run-" - 1)
#define DIGITS_SHIFT 54
#define DECIMAL 10
/* An ending as it is stored: the number of tasks that were done, and this bit if the job was
 * cancelled. */
#define CANCELLED_BIT (1u << 31)
/* Multiplier of Fibonacci hashing: 2^64 over the golden ratio. */
#define HASH_MULTIPLIER 0x9E3779B97F4A7C15u
#define HASH_SHIFT 32

typedef struct {
    uint64_t *keys;
    uint32_t *endings;
    uint32_t slots;
    uint32_t count;
} generation;

struct tw_completed_jobs {
    uint32_t most_slots; /* of a generation */
    int newest;
    size_t count;
    uint64_t evictions;
    generation generations[GENERATIONS];
};

/* The key of a job's id; 0: it is not of the protocol's form, and no job can have it. */
static uint64_t key_of(const char *id) {
    if (!tw_wire_is_valid_job_id(id, strlen(id))) return 0;
    const char *digits = id + PREFIX_LENGTH;
    uint64_t number = 0;
    uint64_t length = 0;
    for (; digits[length]; length++) number = number * DECIMAL + (uint64_t)(digits[length] - '0');
    return length << DIGITS_SHIFT | number;
}

/* The slot that holds the key, or the empty one where it belongs. Some slot is always empty, see
 * generation_has_room, so that the search ends. */
static uint32_t slot_of(const generation *generation, uint64_t key) {
    const uint64_t hash = (key * HASH_MULTIPLIER) >> HASH_SHIFT;
    uint32_t slot = (uint32_t)((hash * generation->slots) >> HASH_SHIFT);
    while (generation->keys[slot] && generation->keys[slot] != key)
        if (++slot == generation->slots) slot = 0;
    return slot;
}

static void *alloc_array(size_t count, size_t size) {
    void *room = calloc(count, size);
    if (!room) abort();
    return room;
}

static void generation_free(generation *generation) {
    free(generation->keys);
    free(generation->endings);
    memset(generation, 0, sizeof *generation);
}

static void generation_put(generation *generation, uint64_t key, uint32_t ending) {
    uint32_t slot = slot_of(generation, key);
    generation->keys[slot] = key;
    generation->endings[slot] = ending;
    generation->count++;
}

/* Whether one more entry may be put into the slots. */
static bool generation_has_room(const generation *generation) {
    return (uint64_t)(generation->count + 1) * LOAD_DENOMINATOR <=
           (uint64_t)generation->slots * LOAD_NUMERATOR;
}

static void generation_grow(generation *old, uint32_t slots) {
    generation grown = {.slots = slots};
    grown.keys = alloc_array(slots, sizeof *grown.keys);
    grown.endings = alloc_array(slots, sizeof *grown.endings);
    for (uint32_t i = 0; i < old->slots; i++)
        if (old->keys[i]) generation_put(&grown, old->keys[i], old->endings[i]);
    generation_free(old);
    *old = grown;
}

tw_completed_jobs *tw_completed_jobs_new(size_t most_bytes) {
    tw_completed_jobs *table = alloc_array(1, sizeof *table);
    size_t slots = most_bytes / GENERATIONS / (sizeof(uint64_t) + sizeof(uint32_t));
    if (slots < FIRST_SLOTS) slots = FIRST_SLOTS;
    table->most_slots = slots > UINT32_MAX / 2 ? UINT32_MAX / 2 : (uint32_t)slots;
    return table;
}

void tw_completed_jobs_free(tw_completed_jobs *table) {
    if (!table) return;
    for (int i = 0; i < GENERATIONS; i++) generation_free(&table->generations[i]);
    free(table);
}

/* The generation that takes the next entry; the oldest is evicted for it if all are full. */
static generation *generation_with_room(tw_completed_jobs *table) {
    generation *newest = &table->generations[table->newest];
    if (generation_has_room(newest)) return newest;
    if (newest->slots < table->most_slots) {
        uint32_t slots = newest->slots ? newest->slots * 2 : FIRST_SLOTS;
        generation_grow(newest, slots < table->most_slots ? slots : table->most_slots);
        return newest;
    }
    table->newest = (table->newest + 1) % GENERATIONS;
    generation *oldest = &table->generations[table->newest];
    if (oldest->count) table->evictions++;
    table->count -= oldest->count;
    generation_free(oldest);
    generation_grow(oldest, FIRST_SLOTS);
    return oldest;
}

void tw_completed_jobs_add(tw_completed_jobs *table, const char *id, const tw_completion *ending) {
    if (tw_completed_jobs_find(table, id, NULL)) return;
    uint32_t packed = (uint32_t)ending->done_count;
    if (ending->state == TW_JOB_CANCELLED) packed |= CANCELLED_BIT;
    generation_put(generation_with_room(table), key_of(id), packed);
    table->count++;
}

bool tw_completed_jobs_find(const tw_completed_jobs *table, const char *id, tw_completion *ending) {
    if (!table || !table->count) return false;
    const uint64_t key = key_of(id);
    if (!key) return false;
    for (int i = 0; i < GENERATIONS; i++) {
        const generation *generation = &table->generations[i];
        if (!generation->count) continue;
        uint32_t slot = slot_of(generation, key);
        if (!generation->keys[slot]) continue;
        uint32_t packed = generation->endings[slot];
        if (ending) {
            ending->state = packed & CANCELLED_BIT ? TW_JOB_CANCELLED : TW_JOB_DONE;
            ending->done_count = (int)(packed & ~CANCELLED_BIT);
        }
        return true;
    }
    return false;
}

size_t tw_completed_jobs_count(const tw_completed_jobs *table) { return table ? table->count : 0; }

uint64_t tw_completed_jobs_evictions(const tw_completed_jobs *table) {
    return table ? table->evictions : 0;
}
