/* Messages between nodes and the state service: entries, watches, transactions, leases. */
#include "wire/json.h"
#include "wire/wire.h"
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* ---- entries ---- */

/* Reads an entry. Its value may be any JSON value, including null. */
static tw_wire_error read_entry(const cJSON *value, void *item, size_t size) {
    static const tw_json_field fields[] = {
        {TW_JSON_NAME("k"), TW_JSON_TEXT_AT(tw_wire_entry, key)},
        {TW_JSON_NAME("stamp"), TW_JSON_UINT64_AT(tw_wire_entry, mod_revision)},
        {TW_JSON_NAME("hold"), TW_JSON_UINT64_AT(tw_wire_entry, lease_id),
         .rules = TW_JSON_LENIENT},
    };
    (void)size;
    tw_wire_entry *entry = item;
    const cJSON *data = cJSON_GetObjectItemCaseSensitive(value, "data");
    if (!data || tw_json_read_fields(value, fields, TW_JSON_FIELD_COUNT(fields), entry, NULL))
        return TW_WIRE_MALFORMED;
    entry->value = cJSON_PrintUnformatted(data);
    if (!entry->value) abort();
    return TW_WIRE_OK;
}

static void release_entry(void *item) {
    tw_wire_entry *entry = item;
    free(entry->value);
}

tw_wire_error tw_wire_entry_parse(tw_wire_entry *entry, const char *text, size_t len) {
    memset(entry, 0, sizeof *entry);
    cJSON *object = tw_json_parse(text, len);
    tw_wire_error result = object ? read_entry(object, entry, sizeof *entry) : TW_WIRE_MALFORMED;
    cJSON_Delete(object);
    return result;
}

tw_wire_error tw_wire_entries_parse(tw_wire_entry **entries, int *n, int *more, const char *text,
                                    size_t len) {
    static const tw_json_list list = {"entries", sizeof(tw_wire_entry), read_entry, release_entry};
    void *items;
    tw_wire_error result = tw_json_parse_list(&list, text, len, &items, n, more);
    *entries = items;
    return result;
}

void tw_wire_entries_free(tw_wire_entry *entries, int n) {
    for (int i = 0; i < n; i++) release_entry(&entries[i]);
    free(entries);
}

/* ---- watches ---- */

bool tw_wire_watch_has_changes(const char *text, size_t len) {
    cJSON *object = tw_json_parse(text, len);
    const cJSON *log = tw_json_get(object, "log");
    bool has_changes = cJSON_IsArray(log) && log->child;
    cJSON_Delete(object);
    return has_changes;
}

tw_wire_error tw_wire_watch_keys_parse(tw_wire_entry **entries, int *n, const char *text,
                                       size_t len) {
    static const tw_json_field fields[] = {
        {TW_JSON_NAME("write"), TW_JSON_TEXT_AT(tw_wire_entry, key)},
        {TW_JSON_NAME("stamp"), TW_JSON_UINT64_AT(tw_wire_entry, mod_revision)},
    };
    cJSON *object = tw_json_parse(text, len);
    const cJSON *log = tw_json_get(object, "log");
    const cJSON *change;
    *n = 0;
    *entries = NULL;
    if (!cJSON_IsArray(log)) {
        cJSON_Delete(object);
        return TW_WIRE_MALFORMED;
    }
    *entries = tw_json_alloc((size_t)cJSON_GetArraySize(log) * sizeof **entries);
    /* Removals have no field "write" and are skipped. */
    cJSON_ArrayForEach(change, log) {
        if (!tw_json_read_fields(change, fields, TW_JSON_FIELD_COUNT(fields), &(*entries)[*n],
                                 NULL))
            ++*n;
    }
    cJSON_Delete(object);
    return TW_WIRE_OK;
}

static tw_wire_error read_change(const cJSON *value, tw_wire_entry *change) {
    const cJSON *written = cJSON_GetObjectItemCaseSensitive(value, "write");
    const cJSON *removed = cJSON_GetObjectItemCaseSensitive(value, "remove");
    const cJSON *data = cJSON_GetObjectItemCaseSensitive(value, "data");
    const cJSON *revision = cJSON_GetObjectItemCaseSensitive(value, "stamp");
    const cJSON *key = written ? written : removed;
    if (!cJSON_IsString(key) || strlen(key->valuestring) >= sizeof change->key)
        return TW_WIRE_MALFORMED;
    if (written && !data) return TW_WIRE_MALFORMED;
    strcpy(change->key, key->valuestring);
    change->mod_revision = cJSON_IsNumber(revision) ? (uint64_t)revision->valuedouble : 0;
    if (!written) return TW_WIRE_OK;
    change->value = cJSON_PrintUnformatted(data);
    if (!change->value) abort();
    return TW_WIRE_OK;
}

tw_wire_error tw_wire_changes_parse(const char *list, tw_wire_entry **entries, int *n,
                                    const char *text, size_t len) {
    cJSON *object = tw_json_parse(text, len);
    const cJSON *array = tw_json_get(object, list);
    const cJSON *item;
    bool failed = !cJSON_IsArray(array);
    *n = 0;
    *entries = failed ? NULL : tw_json_alloc((size_t)cJSON_GetArraySize(array) * sizeof **entries);
    cJSON_ArrayForEach(item, array) {
        if (failed) break;
        failed = read_change(item, &(*entries)[*n]) != 0;
        if (!failed) ++*n;
    }
    cJSON_Delete(object);
    if (!failed) return TW_WIRE_OK;
    tw_wire_entries_free(*entries, *n);
    *entries = NULL;
    *n = 0;
    return TW_WIRE_MALFORMED;
}

/* ---- store revision and lease id ---- */

static tw_wire_error parse_uint64_field(const char *name, uint64_t *value, const char *text,
                                        size_t len) {
    const tw_json_field field = {.name = name, .type = TW_JSON_UINT64, .max = TW_JSON_MAX_NUMBER};
    cJSON *object = tw_json_parse(text, len);
    tw_wire_error result = tw_json_read_fields(object, &field, 1, value, NULL);
    cJSON_Delete(object);
    return result;
}

tw_wire_error tw_wire_revision_parse(uint64_t *revision, const char *text, size_t len) {
    return parse_uint64_field("ledger", revision, text, len);
}

tw_wire_error tw_wire_lease_id_parse(uint64_t *lease_id, const char *text, size_t len) {
    return parse_uint64_field("hold", lease_id, text, len);
}

/* ---- transactions ---- */

tw_wire_error tw_wire_failed_compares_parse(char (**keys)[TW_WIRE_KEY_SIZE], int *n,
                                            const char *text, size_t len) {
    void *texts;
    tw_wire_error result = tw_json_parse_strings("failed", TW_WIRE_KEY_SIZE, text, len, &texts, n);
    *keys = texts;
    return result;
}

static cJSON *write_compare(const tw_wire_compare *compare) {
    cJSON *object = cJSON_CreateObject();
    cJSON_AddItemToObjectCS(object, "k", cJSON_CreateString(compare->key));
    cJSON_AddItemToObjectCS(object, "stamp", cJSON_CreateNumber((double)compare->mod_revision));
    return object;
}

static cJSON *write_write(const tw_wire_write *write) {
    cJSON *object = cJSON_CreateObject();
    if (!write->value) {
        cJSON_AddItemToObjectCS(object, "remove", cJSON_CreateString(write->key));
        return object;
    }
    cJSON_AddItemToObjectCS(object, "write", cJSON_CreateString(write->key));
    cJSON_AddItemToObjectCS(object, "data", cJSON_CreateRaw(write->value));
    if (write->lease_id)
        cJSON_AddItemToObjectCS(object, "hold", cJSON_CreateNumber((double)write->lease_id));
    return object;
}

char *tw_wire_txn_text(const tw_wire_compare *compares, size_t compare_count,
                       const tw_wire_write *writes, size_t write_count) {
    cJSON *object = cJSON_CreateObject();
    cJSON *array = cJSON_AddArrayToObject(object, "if");
    for (size_t i = 0; i < compare_count; i++)
        cJSON_AddItemToArray(array, write_compare(&compares[i]));
    if (write_count) array = cJSON_AddArrayToObject(object, "apply");
    for (size_t i = 0; i < write_count; i++) cJSON_AddItemToArray(array, write_write(&writes[i]));
    return tw_json_print_and_delete(object);
}
