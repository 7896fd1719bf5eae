/* See completed_jobs.h. A generation is a hash table with open addressing: two arrays, probed in
 * order. It doubles as it fills, up to its share of the memory. */
#include "core/completed_jobs.h"
#include "wire/wire.h"
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define GENERATIONS 8
#define FIRST_SLOTS 16
/* A generation grows, or is full, at this load. */
#define LOAD_NUMERATOR 3
#define LOAD_DENOMINATOR 4
/* An id is "run-" and up to 16 digits. They count as a number; how many there are stands above it,
 * since "run-7" and "run-07" are two jobs. No id's key is 0, which marks an empty slot. */
#define PREFIX_LENGTH (sizeof "run-" - 1)
#define DIGITS_SHIFT 54
#define DECIMAL 10
/* An ending: the tasks that were done, and above them whether the job was cancelled. */
#define ABORTED_BIT (1u << 31)
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
    uint64_t let_go;
    generation generations[GENERATIONS];
};

/* 0: no such job can exist. */
static uint64_t key_of(const char *id) {
    if (!tw_wire_id_ok(id, strlen(id))) return 0;
    const char *digits = id + PREFIX_LENGTH;
    uint64_t number = 0;
    uint64_t length = 0;
    for (; digits[length]; length++) number = number * DECIMAL + (uint64_t)(digits[length] - '0');
    return length << DIGITS_SHIFT | number;
}

/* The slot that holds the key, or the empty one where it belongs. */
static uint32_t slot_of(const generation *generation, uint64_t key) {
    const uint64_t hash = (key * HASH_MULTIPLIER) >> HASH_SHIFT;
    uint32_t slot = (uint32_t)((hash * generation->slots) >> HASH_SHIFT);
    while (generation->keys[slot] && generation->keys[slot] != key)
        if (++slot == generation->slots) slot = 0;
    return slot;
}

static void *allocate(size_t count, size_t size) {
    void *room = calloc(count, size);
    if (!room) abort();
    return room;
}

static void release(generation *generation) {
    free(generation->keys);
    free(generation->endings);
    memset(generation, 0, sizeof *generation);
}

static void put(generation *generation, uint64_t key, uint32_t ending) {
    uint32_t slot = slot_of(generation, key);
    generation->keys[slot] = key;
    generation->endings[slot] = ending;
    generation->count++;
}

/* Whether one more entry fits into the slots. */
static bool has_room(const generation *generation) {
    return (uint64_t)(generation->count + 1) * LOAD_DENOMINATOR <=
           (uint64_t)generation->slots * LOAD_NUMERATOR;
}

static void grow(generation *old, uint32_t slots) {
    generation grown = {.slots = slots};
    grown.keys = allocate(slots, sizeof *grown.keys);
    grown.endings = allocate(slots, sizeof *grown.endings);
    for (uint32_t i = 0; i < old->slots; i++)
        if (old->keys[i]) put(&grown, old->keys[i], old->endings[i]);
    release(old);
    *old = grown;
}

tw_completed_jobs *tw_completed_jobs_new(size_t most_bytes) {
    tw_completed_jobs *table = allocate(1, sizeof *table);
    size_t slots = most_bytes / GENERATIONS / (sizeof(uint64_t) + sizeof(uint32_t));
    if (slots < FIRST_SLOTS) slots = FIRST_SLOTS;
    table->most_slots = slots > UINT32_MAX / 2 ? UINT32_MAX / 2 : (uint32_t)slots;
    return table;
}

void tw_completed_jobs_free(tw_completed_jobs *table) {
    if (!table) return;
    for (int i = 0; i < GENERATIONS; i++) release(&table->generations[i]);
    free(table);
}

/* The generation that takes the next entry. */
static generation *with_room(tw_completed_jobs *table) {
    generation *newest = &table->generations[table->newest];
    if (has_room(newest)) return newest;
    if (newest->slots < table->most_slots) {
        uint32_t slots = newest->slots ? newest->slots * 2 : FIRST_SLOTS;
        grow(newest, slots < table->most_slots ? slots : table->most_slots);
        return newest;
    }
    table->newest = (table->newest + 1) % GENERATIONS;
    generation *oldest = &table->generations[table->newest];
    if (oldest->count) table->let_go++;
    table->count -= oldest->count;
    release(oldest);
    grow(oldest, FIRST_SLOTS);
    return oldest;
}

void tw_completed_jobs_add(tw_completed_jobs *table, const char *id, const tw_completion *ending) {
    if (tw_completed_jobs_find(table, id, NULL)) return;
    uint32_t packed = (uint32_t)ending->done;
    if (ending->stage == TW_JOB_CANCELLED) packed |= ABORTED_BIT;
    put(with_room(table), key_of(id), packed);
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
            ending->stage = packed & ABORTED_BIT ? TW_JOB_CANCELLED : TW_JOB_DONE;
            ending->done = (int)(packed & ~ABORTED_BIT);
        }
        return true;
    }
    return false;
}

size_t tw_completed_jobs_count(const tw_completed_jobs *table) { return table ? table->count : 0; }

uint64_t tw_completed_jobs_evictions(const tw_completed_jobs *table) {
    return table ? table->let_go : 0;
}
