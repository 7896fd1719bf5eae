/* Loading of chunks by a new leader. The leader reads all chunks before the records, so that the
 * chunk set of each chunked record is available; no other node can write chunks or existing records
 * at that time. Chunk sets that no record refers to are left over from an earlier leader and are
 * removed. */
#include "store/store_int.h"

#define DECIMAL 10

/* The chunks of a set that have been read. */
typedef struct tw_loaded_chunk_set {
    char name[TW_CHUNK_KEY_SIZE]; /* id of the job, a slash, name of the set */
    char **chunks;                /* texts by chunk number; NULL: not read */
    int capacity;                 /* highest chunk number plus one */
    bool referenced;              /* a record refers to the set */
    UT_hash_handle hh;
} tw_loaded_chunk_set;

/* Splits the key of a chunk. Writes the job's id, a slash and the set's name to `name`, a buffer of
 * `size` bytes. Returns the number of the chunk; -1 if the key is not a valid chunk key. */
static int split_key(const char *key, char *name, size_t size) {
    const size_t prefix = sizeof TW_CHUNK_KEY - 1;
    const char *slash = strrchr(key, '/');
    if (strncmp(key, TW_CHUNK_KEY, prefix) != 0 || slash < key + prefix) return -1;
    char *end;
    const long number = strtol(slash + 1, &end, DECIMAL);
    if (end == slash + 1 || *end || number < 0 || number >= TW_WIRE_MAX_TASKS) return -1;
    const int length =
        snprintf(name, size, "%.*s", (int)(slash - key - (long)prefix), key + prefix);
    return length < (int)size && strchr(name, '/') ? (int)number : -1;
}

/* Returns the loaded set of this name, created if necessary. */
static tw_loaded_chunk_set *get_set(tw_store *store, const char *name) {
    tw_loaded_chunk_set *set;
    HASH_FIND_STR(store->loaded_sets, name, set);
    if (set) return set;
    set = tw_alloc(sizeof *set);
    snprintf(set->name, sizeof set->name, "%s", name);
    HASH_ADD_STR(store->loaded_sets, name, set);
    return set;
}

/* Adds a chunk to the set. Takes ownership of text. */
static void add_chunk(tw_loaded_chunk_set *set, int number, char *text) {
    if (number >= set->capacity) {
        const int new_capacity = number + 1;
        char **chunks = realloc(set->chunks, (size_t)new_capacity * sizeof *chunks);
        if (!chunks) abort();
        memset(chunks + set->capacity, 0, (size_t)(new_capacity - set->capacity) * sizeof *chunks);
        set->chunks = chunks;
        set->capacity = new_capacity;
    }
    free(set->chunks[number]);
    set->chunks[number] = text;
}

int tw_store_load_chunks(tw_store *store, const char *body, size_t len, int *more, char *last,
                         size_t size) {
    tw_wire_entry *entries;
    int count;
    if (tw_wire_entries_parse(&entries, &count, more, body, len)) return -1;
    for (int i = 0; i < count; i++) {
        char name[TW_CHUNK_KEY_SIZE];
        const int number = split_key(entries[i].key, name, sizeof name);
        if (number < 0)
            tw_log_error("event=chunk_unreadable key=%.64s", entries[i].key);
        else
            add_chunk(get_set(store, name), number, tw_wire_chunk_parse(entries[i].value));
    }
    if (count) snprintf(last, size, "%s", entries[count - 1].key);
    tw_wire_entries_free(entries, count);
    return count;
}

char *tw_store_loaded_text(tw_store *store, const char *id, const tw_wire_record *record) {
    char name[TW_CHUNK_KEY_SIZE];
    snprintf(name, sizeof name, "%s/%s", id, record->chunk_set);
    tw_loaded_chunk_set *set;
    HASH_FIND_STR(store->loaded_sets, name, set);
    if (!set) return NULL;
    set->referenced = true;
    size_t length = 0;
    for (int i = 0; i < record->chunk_count; i++) {
        if (i >= set->capacity || !set->chunks[i]) return NULL;
        length += strlen(set->chunks[i]);
    }
    char *text = tw_alloc(length + 1);
    char *end = text;
    for (int i = 0; i < record->chunk_count; i++) end = stpcpy(end, set->chunks[i]);
    return text;
}

void tw_store_finish_loading(tw_store *store) {
    const tw_loaded_chunk_set *set;
    for (set = store->loaded_sets; set; set = set->hh.next) {
        const char *slash = strchr(set->name, '/');
        char id[TW_WIRE_ID_SIZE];
        if (set->referenced) continue;
        snprintf(id, sizeof id, "%.*s", (int)(slash - set->name), set->name);
        tw_store_add_stale_set(store, id, slash + 1, set->capacity);
    }
    tw_store_free_loaded_sets(store);
}

void tw_store_free_loaded_sets(tw_store *store) {
    tw_loaded_chunk_set *set, *next;
    HASH_ITER(hh, store->loaded_sets, set, next) {
        HASH_DEL(store->loaded_sets, set);
        for (int i = 0; i < set->capacity; i++) free(set->chunks[i]);
        free(set->chunks);
        free(set);
    }
}
