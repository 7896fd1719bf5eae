/* The view, which is one controller's copy of the records, and the log of the latest changes.
 *
 * Invariant: the digest is the sum of the hashes of the records in the view. */
#include "standby/standby_int.h"
#include <cjson/cJSON.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Limits of the change log. A follower that needs an older change gets a snapshot. */
#define MAX_CHANGES 512
#define MAX_BYTES ((size_t)2 << 20)

/* Parameters of the 64-bit FNV-1a hash. */
#define HASH_BASIS 0xcbf29ce484222325ULL
#define HASH_PRIME 0x100000001b3ULL

static uint64_t add_bytes(uint64_t hash, const void *bytes, size_t size) {
    const unsigned char *each = bytes;
    for (size_t i = 0; i < size; i++) hash = (hash ^ each[i]) * HASH_PRIME;
    return hash;
}

static uint64_t hash_of(const char *key, uint64_t mod_revision, const char *data) {
    uint64_t hash = add_bytes(HASH_BASIS, key, strlen(key) + 1);
    hash = add_bytes(hash, &mod_revision, sizeof mod_revision);
    return add_bytes(hash, data, strlen(data));
}

static char *copy_text(const char *text) {
    char *copy = strdup(text);
    if (!copy) abort();
    return copy;
}

/* ---- records ---- */

static void remove_record(tw_standby_view *view, tw_standby_record *removed) {
    view->digest -= removed->hash;
    HASH_DEL(view->records, removed);
    free(removed->data);
    free(removed);
}

void tw_standby_view_clear(tw_standby_view *view) {
    tw_standby_record *each;
    tw_standby_record *next;
    HASH_ITER(hh, view->records, each, next) { remove_record(view, each); }
    *view = (tw_standby_view){0};
}

static void apply_entry(tw_standby_view *view, const tw_wire_entry *entry) {
    tw_standby_record *found;
    HASH_FIND_STR(view->records, entry->key, found);
    if (found && found->mod_revision >= entry->mod_revision) return;
    if (found) remove_record(view, found);
    if (!entry->value) return;
    tw_standby_record *added = tw_standby_alloc(sizeof *added);
    strcpy(added->key, entry->key);
    added->mod_revision = entry->mod_revision;
    added->data = copy_text(entry->value);
    added->hash = hash_of(added->key, added->mod_revision, added->data);
    view->digest += added->hash;
    HASH_ADD_STR(view->records, key, added);
}

void tw_standby_view_apply(tw_standby_view *view, const tw_wire_entry *entries, int count) {
    for (int i = 0; i < count; i++) apply_entry(view, &entries[i]);
}

static int compare_keys(const tw_standby_record *first, const tw_standby_record *second) {
    return strcmp(first->key, second->key);
}

void tw_standby_view_sort(tw_standby_view *view) { HASH_SORT(view->records, compare_keys); }

char *tw_standby_view_list(tw_standby_view *view) {
    const tw_standby_record *each;
    cJSON *object = cJSON_CreateObject();
    cJSON *entries = cJSON_AddArrayToObject(object, "entries");
    tw_standby_view_sort(view);
    for (each = view->records; each; each = each->hh.next) {
        cJSON *entry = cJSON_CreateObject();
        cJSON_AddStringToObject(entry, "k", each->key);
        cJSON_AddRawToObject(entry, "data", each->data);
        cJSON_AddNumberToObject(entry, "stamp", (double)each->mod_revision);
        cJSON_AddItemToArray(entries, entry);
    }
    cJSON_AddBoolToObject(object, "more", 0);
    cJSON_AddNumberToObject(object, "ledger", (double)view->store_revision);
    char *text = cJSON_PrintUnformatted(object);
    if (!text) abort();
    cJSON_Delete(object);
    return text;
}

/* ---- changes ---- */

tw_wire_entry *tw_standby_copy_entries(const tw_wire_entry *entries, int count) {
    tw_wire_entry *copies = tw_standby_alloc(sizeof *copies * (size_t)count);
    for (int i = 0; i < count; i++) {
        copies[i] = entries[i];
        copies[i].value = entries[i].value ? copy_text(entries[i].value) : NULL;
    }
    return copies;
}

static void remove_change(tw_standby_change_log *log, tw_standby_change *removed) {
    DL_DELETE(log->changes, removed);
    log->count--;
    log->bytes -= removed->bytes;
    tw_wire_entries_free(removed->entries, removed->count);
    free(removed);
}

/* The log is bounded: a slow follower gets a snapshot instead. */
void tw_standby_change_log_add(tw_standby_change_log *log, const tw_standby_view *view,
                               tw_wire_entry *entries, int count) {
    tw_standby_change *added = tw_standby_alloc(sizeof *added);
    added->number = view->number;
    added->store_revision = view->store_revision;
    added->digest = view->digest;
    added->entries = entries;
    added->count = count;
    added->bytes = sizeof *added;
    for (int i = 0; i < count; i++)
        added->bytes += sizeof *entries + (entries[i].value ? strlen(entries[i].value) : 0);
    DL_APPEND(log->changes, added);
    log->count++;
    log->bytes += added->bytes;
    while (log->count > MAX_CHANGES || (log->bytes > MAX_BYTES && log->count > 1))
        remove_change(log, log->changes);
}

void tw_standby_change_log_clear(tw_standby_change_log *log) {
    while (log->changes) remove_change(log, log->changes);
}
