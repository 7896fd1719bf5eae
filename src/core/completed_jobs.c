/* Table of completed jobs. A generation is a hash table with open addressing and linear probing
 * that consists of an array of keys and one of outcomes. Its size doubles as it fills, up to its
 * share of the memory. */
#include "core/completed_jobs.h"
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define GENERATIONS 8
#define INITIAL_SLOTS 16
/* Load at which a generation grows or, at its maximum size, is full. */
#define LOAD_NUMERATOR 3
#define LOAD_DENOMINATOR 4
/* An id consists of "run-" and up to 16 digits. Its key is the number that the digits form, with
 * the count of digits in the bits above it, since "run-7" and "run-07" are different jobs. The
 * count and therefore the key are never 0; 0 marks an empty slot. */
#define PREFIX_LENGTH (sizeof "run-" - 1)
#define DIGITS_SHIFT 54
#define DECIMAL 10
/* A stored outcome consists of the number of done tasks and this bit, which is set if the job was
 * cancelled. */
#define CANCELLED_BIT (1u << 31)
/* Multiplier of Fibonacci hashing: 2^64 over the golden ratio. */
#define HASH_MULTIPLIER 0x9E3779B97F4A7C15u
#define HASH_SHIFT 32

typedef struct {
    uint64_t *keys;
    uint32_t *completions;
    uint32_t slots;
    uint32_t count;
} generation;

struct tw_completed_jobs {
    uint32_t max_slots; /* maximum size of a generation */
    int newest;
    size_t count;
    uint64_t evictions;
    generation generations[GENERATIONS];
};

/* Returns the key of a job's id, or 0 if the id is malformed, so that no job can have it. */
static uint64_t key_from_id(const char *id) {
    if (!tw_wire_is_valid_job_id(id, strlen(id))) return 0;
    const char *digits = id + PREFIX_LENGTH;
    uint64_t number = 0;
    uint64_t length = 0;
    for (; digits[length]; length++) number = number * DECIMAL + (uint64_t)(digits[length] - '0');
    return length << DIGITS_SHIFT | number;
}

/* Returns the slot that holds the key, or the empty slot to insert it into. The search ends because
 * some slot is always empty, see generation_can_insert. */
static uint32_t find_slot(const generation *generation, uint64_t key) {
    const uint64_t hash = (key * HASH_MULTIPLIER) >> HASH_SHIFT;
    uint32_t slot = (uint32_t)((hash * generation->slots) >> HASH_SHIFT);
    while (generation->keys[slot] && generation->keys[slot] != key)
        if (++slot == generation->slots) slot = 0;
    return slot;
}

static void *alloc_array(size_t count, size_t size) {
    void *array = calloc(count, size);
    if (!array) abort();
    return array;
}

static void generation_free(generation *generation) {
    free(generation->keys);
    free(generation->completions);
    memset(generation, 0, sizeof *generation);
}

static void generation_insert(generation *generation, uint64_t key, uint32_t completion) {
    uint32_t slot = find_slot(generation, key);
    generation->keys[slot] = key;
    generation->completions[slot] = completion;
    generation->count++;
}

/* Returns whether the generation can take one more entry at its present size. */
static bool generation_can_insert(const generation *generation) {
    return (uint64_t)(generation->count + 1) * LOAD_DENOMINATOR <=
           (uint64_t)generation->slots * LOAD_NUMERATOR;
}

static void generation_grow(generation *old, uint32_t slots) {
    generation grown = {.slots = slots};
    grown.keys = alloc_array(slots, sizeof *grown.keys);
    grown.completions = alloc_array(slots, sizeof *grown.completions);
    for (uint32_t i = 0; i < old->slots; i++)
        if (old->keys[i]) generation_insert(&grown, old->keys[i], old->completions[i]);
    generation_free(old);
    *old = grown;
}

tw_completed_jobs *tw_completed_jobs_new(size_t max_bytes) {
    tw_completed_jobs *table = alloc_array(1, sizeof *table);
    size_t slots = max_bytes / GENERATIONS / (sizeof(uint64_t) + sizeof(uint32_t));
    if (slots < INITIAL_SLOTS) slots = INITIAL_SLOTS;
    table->max_slots = slots > UINT32_MAX / 2 ? UINT32_MAX / 2 : (uint32_t)slots;
    return table;
}

void tw_completed_jobs_free(tw_completed_jobs *table) {
    if (!table) return;
    for (int i = 0; i < GENERATIONS; i++) generation_free(&table->generations[i]);
    free(table);
}

/* Returns the generation for the next entry. If all are full, evicts the oldest one for it. */
static generation *generation_for_insert(tw_completed_jobs *table) {
    generation *newest = &table->generations[table->newest];
    if (generation_can_insert(newest)) return newest;
    if (newest->slots < table->max_slots) {
        uint32_t slots = newest->slots ? newest->slots * 2 : INITIAL_SLOTS;
        generation_grow(newest, slots < table->max_slots ? slots : table->max_slots);
        return newest;
    }
    table->newest = (table->newest + 1) % GENERATIONS;
    generation *oldest = &table->generations[table->newest];
    if (oldest->count) table->evictions++;
    table->count -= oldest->count;
    generation_free(oldest);
    generation_grow(oldest, INITIAL_SLOTS);
    return oldest;
}

void tw_completed_jobs_add(tw_completed_jobs *table, const char *id,
                           const tw_completion *completion) {
    if (tw_completed_jobs_find(table, id, NULL)) return;
    uint32_t stored = (uint32_t)completion->done_count;
    if (completion->state == TW_JOB_CANCELLED) stored |= CANCELLED_BIT;
    generation_insert(generation_for_insert(table), key_from_id(id), stored);
    table->count++;
}

bool tw_completed_jobs_find(const tw_completed_jobs *table, const char *id,
                            tw_completion *completion) {
    if (!table || !table->count) return false;
    const uint64_t key = key_from_id(id);
    if (!key) return false;
    for (int i = 0; i < GENERATIONS; i++) {
        const generation *generation = &table->generations[i];
        if (!generation->count) continue;
        uint32_t slot = find_slot(generation, key);
        if (!generation->keys[slot]) continue;
        uint32_t stored = generation->completions[slot];
        if (completion) {
            completion->state = stored & CANCELLED_BIT ? TW_JOB_CANCELLED : TW_JOB_DONE;
            completion->done_count = (int)(stored & ~CANCELLED_BIT);
        }
        return true;
    }
    return false;
}

size_t tw_completed_jobs_count(const tw_completed_jobs *table) { return table ? table->count : 0; }

uint64_t tw_completed_jobs_evictions(const tw_completed_jobs *table) {
    return table ? table->evictions : 0;
}
