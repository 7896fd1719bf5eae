/* Model of the state service: a key-value store with mod revisions, transactions with compares,
 * leases, watches and limits.
 *
 * Invariants: `keys` is in ascending order of keys; each change increments the store revision,
 * which becomes the mod revision of the changed keys; the latest removals are kept for watches. */
#include "world.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FIRST_REVISION 100
#define DECIMAL 10
#define NUMBER_SIZE 32
#define DEFAULT_LIST_COUNT 100
#define NO_LIMIT 1e9
#define DEFAULT_WRITE_RPS 100 /* announced to the nodes if the scenario sets no limit */
#define DEFAULT_VALUE_KB 8
#define DEFAULT_TXN_OPS 12
#define COMPARES_PER_OP 4
#define KB 1024
#define MAX_TXN_BYTES ((size_t)64 * KB) /* largest body of a transaction */

void tw_simulator_state_init(tw_simulator_state *state) {
    memset(state, 0, sizeof *state);
    state->down_since = -1;
    state->revision = FIRST_REVISION;
    state->limits = (tw_simulator_limits){NO_LIMIT, DEFAULT_VALUE_KB, DEFAULT_TXN_OPS};
    state->announced_limits =
        (tw_simulator_limits){DEFAULT_WRITE_RPS, DEFAULT_VALUE_KB, DEFAULT_TXN_OPS};
}

void tw_simulator_state_free(tw_simulator_state *state) {
    for (size_t i = 0; i < state->key_count; i++) {
        free(state->keys[i].key);
        free(state->keys[i].value);
    }
    free(state->keys);
    free(state->leases);
}

/* Returns the index of the first key that is not less than `key`. */
static size_t find_key_position(const tw_simulator_state *state, const char *key) {
    size_t low = 0, high = state->key_count;
    while (low < high) {
        size_t mid = (low + high) / 2;
        if (strcmp(state->keys[mid].key, key) < 0)
            low = mid + 1;
        else
            high = mid;
    }
    return low;
}

static tw_simulator_key *find_key(const tw_simulator_state *state, const char *key) {
    size_t i = find_key_position(state, key);
    return i < state->key_count && !strcmp(state->keys[i].key, key) ? &state->keys[i] : NULL;
}

const char *tw_simulator_state_value(const tw_simulator_state *state, const char *key) {
    const tw_simulator_key *entry = find_key(state, key);
    return entry ? entry->value : NULL;
}

uint64_t tw_simulator_state_version(const tw_simulator_state *state, const char *key) {
    const tw_simulator_key *entry = find_key(state, key);
    return entry ? entry->version : 0;
}

static void put_key(tw_simulator_state *state, const char *key, char *value, uint64_t lease) {
    size_t i = find_key_position(state, key);
    if (i == state->key_count || strcmp(state->keys[i].key, key) != 0) {
        if (state->key_count == state->key_capacity) {
            state->key_capacity = state->key_capacity ? 2 * state->key_capacity : 16;
            state->keys = realloc(state->keys, state->key_capacity * sizeof *state->keys);
            if (!state->keys) abort();
        }
        memmove(&state->keys[i + 1], &state->keys[i], (state->key_count - i) * sizeof *state->keys);
        state->key_count++;
        state->keys[i] = (tw_simulator_key){.key = tw_simulator_copy_text(key)};
    }
    free(state->keys[i].value);
    state->keys[i].value = value;
    state->keys[i].version = state->revision;
    state->keys[i].lease = lease;
}

static void remove_key(tw_simulator_state *state, tw_simulator_key *entry) {
    tw_simulator_removal *removal =
        &state->removals[state->removal_count++ % TW_SIMULATOR_MAX_REMOVALS];
    snprintf(removal->key, sizeof removal->key, "%s", entry->key);
    removal->revision = state->revision;
    free(entry->key);
    free(entry->value);
    memmove(entry, entry + 1,
            (state->key_count - (size_t)(entry - state->keys) - 1) * sizeof *entry);
    state->key_count--;
}

static tw_simulator_lease *find_state_lease(const tw_simulator_state *state, uint64_t id) {
    for (int i = 0; i < state->lease_count; i++)
        if (state->leases[i].id == id) return &state->leases[i];
    return NULL;
}

static void end_state_lease(tw_simulator_state *state, tw_simulator_lease *lease) {
    state->revision++;
    for (size_t i = state->key_count; i-- > 0;)
        if (state->keys[i].lease == lease->id) remove_key(state, &state->keys[i]);
    *lease = state->leases[--state->lease_count];
}

void tw_simulator_state_outage(tw_simulator_state *state, double now, bool on) {
    if (on) {
        state->down_since = now;
        return;
    }
    for (int i = 0; i < state->lease_count; i++)
        state->leases[i].expires_at = now + state->leases[i].ttl_s;
    state->down_since = -1;
}

static cJSON *entry_json(const tw_simulator_key *entry) {
    cJSON *object = cJSON_CreateObject();
    cJSON_AddStringToObject(object, "k", entry->key);
    cJSON_AddRawToObject(object, "data", entry->value);
    cJSON_AddNumberToObject(object, "stamp", (double)entry->version);
    if (entry->lease) cJSON_AddNumberToObject(object, "hold", (double)entry->lease);
    return object;
}

static char *print_revision(const tw_simulator_state *state) {
    char text[64];
    snprintf(text, sizeof text, "{\"ledger\":%llu}", (unsigned long long)state->revision);
    return tw_simulator_copy_text(text);
}

/* ---- transactions ---- */

static bool take_write_tokens(tw_simulator_state *state, double now, int count) {
    state->write_tokens += (now - state->write_tokens_at) * state->limits.write_rps;
    state->write_tokens_at = now;
    if (state->write_tokens > state->limits.write_rps)
        state->write_tokens = state->limits.write_rps;
    if (state->write_tokens < count) return false;
    state->write_tokens -= count;
    return true;
}

/* Returns the keys whose mod revision differs from the one that the transaction compares with. */
static cJSON *list_failed_compares(const tw_simulator_state *state, const cJSON *conditions) {
    cJSON *failed = cJSON_CreateArray();
    const cJSON *change;
    cJSON_ArrayForEach(change, conditions) {
        const char *key = tw_simulator_json_text(change, "k");
        const tw_simulator_key *entry = find_key(state, key);
        if ((entry ? entry->version : 0) != (uint64_t)tw_simulator_json_number(change, "stamp"))
            cJSON_AddItemToArray(failed, cJSON_CreateString(key));
    }
    return failed;
}

static bool all_leases_exist(const tw_simulator_state *state, const cJSON *changes) {
    const cJSON *change;
    cJSON_ArrayForEach(change, changes) {
        uint64_t lease = (uint64_t)tw_simulator_json_number(change, "hold");
        if (lease && !find_state_lease(state, lease)) return false;
    }
    return true;
}

static void apply_changes(tw_simulator_state *state, const cJSON *changes) {
    const cJSON *change;
    state->revision++;
    cJSON_ArrayForEach(change, changes) {
        const char *removed = tw_simulator_json_text(change, "remove");
        tw_simulator_key *entry = *removed ? find_key(state, removed) : NULL;
        if (entry) remove_key(state, entry);
        if (*removed) continue;
        put_key(state, tw_simulator_json_text(change, "write"),
                cJSON_PrintUnformatted(cJSON_GetObjectItemCaseSensitive(change, "data")),
                (uint64_t)tw_simulator_json_number(change, "hold"));
    }
}

/* Returns whether the transaction or one of its values exceeds the size limits. */
static bool is_too_large(const tw_simulator_state *state, const char *body, const cJSON *txn) {
    const cJSON *changes = cJSON_GetObjectItemCaseSensitive(txn, "apply");
    const cJSON *conditions = cJSON_GetObjectItemCaseSensitive(txn, "if");
    if (strlen(body) > MAX_TXN_BYTES || cJSON_GetArraySize(changes) > state->limits.txn_ops ||
        cJSON_GetArraySize(conditions) > COMPARES_PER_OP * state->limits.txn_ops)
        return true;
    const cJSON *change;
    cJSON_ArrayForEach(change, changes) {
        const cJSON *data = cJSON_GetObjectItemCaseSensitive(change, "data");
        if (!data) continue;
        char *text = cJSON_PrintUnformatted(data);
        const size_t length = strlen(text);
        free(text);
        if ((double)length > state->limits.value_kb * KB) return true;
    }
    return false;
}

static int run_transaction(tw_simulator_state *state, double now, const char *body, char **out) {
    cJSON *txn = cJSON_Parse(body);
    const cJSON *changes = cJSON_GetObjectItemCaseSensitive(txn, "apply");
    int status = TW_SIMULATOR_OK;
    if (is_too_large(state, body, txn)) {
        state->too_large_count++;
        cJSON_Delete(txn);
        *out = tw_simulator_copy_text("{\"error\":\"too large\"}");
        return TW_SIMULATOR_MALFORMED;
    }
    if (!take_write_tokens(state, now, cJSON_GetArraySize(changes))) {
        cJSON_Delete(txn);
        *out = tw_simulator_copy_text("{}");
        return TW_SIMULATOR_TOO_MANY_REQUESTS;
    }
    cJSON *failed = list_failed_compares(state, cJSON_GetObjectItemCaseSensitive(txn, "if"));
    if (!all_leases_exist(state, changes)) {
        *out = tw_simulator_copy_text("{\"error\":\"no such lease\"}");
        status = TW_SIMULATOR_MALFORMED;
    } else if (cJSON_GetArraySize(failed)) {
        cJSON *answer = cJSON_CreateObject();
        cJSON_AddItemToObject(answer, "failed", failed);
        cJSON_AddNumberToObject(answer, "ledger", (double)state->revision);
        *out = tw_simulator_json_print(answer);
        failed = NULL;
        status = TW_SIMULATOR_CONFLICT;
    } else {
        apply_changes(state, changes);
        *out = print_revision(state);
    }
    cJSON_Delete(failed);
    cJSON_Delete(txn);
    return status;
}

/* ---- reads ---- */

/* Copies the value of a field of the query, or "" if the field is missing. */
static void read_query_field(const char *path, const char *field, char *to, size_t size) {
    const char *at = strstr(path, field);
    *to = 0;
    if (!at) return;
    at += strlen(field);
    snprintf(to, size, "%.*s", (int)strcspn(at, "&"), at);
}

static int list_keys(const tw_simulator_state *state, const char *path, char **out) {
    char starts[TW_SIMULATOR_KEY_SIZE], since[TW_SIMULATOR_KEY_SIZE], most_text[NUMBER_SIZE];
    read_query_field(path, "starts=", starts, sizeof starts);
    read_query_field(path, "since=", since, sizeof since);
    read_query_field(path, "most=", most_text, sizeof most_text);
    int most = *most_text ? tw_simulator_parse_int(most_text) : DEFAULT_LIST_COUNT, count = 0,
        more = 0;
    cJSON *answer = cJSON_CreateObject(), *entries = cJSON_AddArrayToObject(answer, "entries");
    for (size_t i = find_key_position(state, strcmp(since, starts) > 0 ? since : starts);
         i < state->key_count; i++) {
        const tw_simulator_key *entry = &state->keys[i];
        if (strncmp(entry->key, starts, strlen(starts)) != 0) break;
        if (*since && strcmp(entry->key, since) <= 0) continue;
        if (count++ >= most) {
            more = 1;
            break;
        }
        cJSON_AddItemToArray(entries, entry_json(entry));
    }
    cJSON_AddBoolToObject(answer, "more", more);
    cJSON_AddNumberToObject(answer, "ledger", (double)state->revision);
    *out = tw_simulator_json_print(answer);
    return TW_SIMULATOR_OK;
}

/* Appends a change of a key to `log`. A NULL value means that the key was removed. */
static void append_change(cJSON *log, const char *key, const char *value, uint64_t revision) {
    cJSON *change = cJSON_CreateObject();
    cJSON_AddStringToObject(change, value ? "write" : "remove", key);
    if (value) cJSON_AddRawToObject(change, "data", value);
    cJSON_AddNumberToObject(change, "stamp", (double)revision);
    cJSON_AddItemToArray(log, change);
}

/* Answers with the changes after `since`, without waiting. If there are none, the caller repeats
 * the request until there are (deliver_watch). */
static int follow_changes(const tw_simulator_state *state, const char *path, char **out) {
    char starts[TW_SIMULATOR_KEY_SIZE], since_text[NUMBER_SIZE];
    read_query_field(path, "starts=", starts, sizeof starts);
    read_query_field(path, "since=", since_text, sizeof since_text);
    uint64_t since = strtoull(since_text, NULL, DECIMAL);
    size_t prefix = strlen(starts);
    cJSON *answer = cJSON_CreateObject();
    cJSON_AddNumberToObject(answer, "ledger", (double)state->revision);
    cJSON *log = cJSON_AddArrayToObject(answer, "log");
    for (size_t i = find_key_position(state, starts);
         i < state->key_count && state->revision > since; i++) {
        const tw_simulator_key *entry = &state->keys[i];
        if (strncmp(entry->key, starts, prefix) != 0) break;
        if (entry->version > since) append_change(log, entry->key, entry->value, entry->version);
    }
    for (int i = 0; i < state->removal_count && i < TW_SIMULATOR_MAX_REMOVALS; i++) {
        const tw_simulator_removal *removal = &state->removals[i];
        if (!strncmp(removal->key, starts, prefix) && removal->revision > since)
            append_change(log, removal->key, NULL, removal->revision);
    }
    *out = tw_simulator_json_print(answer);
    return TW_SIMULATOR_OK;
}

/* ---- leases ---- */

static int create_state_lease(tw_simulator_state *state, double now, const char *body, char **out) {
    cJSON *object = cJSON_Parse(body);
    double ttl_s = tw_simulator_json_number(object, "lifeMs") / 1000;
    char text[64];
    cJSON_Delete(object);
    state->leases = tw_simulator_grow(state->leases, state->lease_count, &state->lease_capacity,
                                      sizeof *state->leases);
    state->leases[state->lease_count++] =
        (tw_simulator_lease){++state->last_lease, ttl_s, now + ttl_s};
    snprintf(text, sizeof text, "{\"hold\":%llu}", (unsigned long long)state->last_lease);
    *out = tw_simulator_copy_text(text);
    return TW_SIMULATOR_OK;
}

static int change_state_lease(tw_simulator_state *state, double now, const char *method,
                              const char *path, char **out) {
    const char *prefix = "/grants/";
    *out = tw_simulator_copy_text("{}");
    if (strncmp(path, prefix, strlen(prefix)) != 0) return TW_SIMULATOR_MALFORMED;
    tw_simulator_lease *lease =
        find_state_lease(state, strtoull(path + strlen(prefix), NULL, DECIMAL));
    if (!lease) return TW_SIMULATOR_NOT_FOUND;
    if (!strcmp(method, "DELETE"))
        end_state_lease(state, lease);
    else
        lease->expires_at = now + lease->ttl_s;
    return TW_SIMULATOR_OK;
}

void tw_simulator_state_expire(tw_simulator_state *state, double now) {
    for (int i = 0; i < state->lease_count; i++)
        if (now > state->leases[i].expires_at) end_state_lease(state, &state->leases[i--]);
}

int tw_simulator_state_request(tw_simulator_state *state, double now, const char *method,
                               const char *path, const char *body, char **out) {
    *out = NULL;
    if (state->down_since >= 0) {
        *out = tw_simulator_copy_text("{}");
        return TW_SIMULATOR_UNAVAILABLE;
    }
    tw_simulator_state_expire(state, now);
    if (!strcmp(path, "/txn")) return run_transaction(state, now, body, out);
    if (!strncmp(path, "/kv?", 4)) return list_keys(state, path, out);
    if (!strncmp(path, "/follow?", 8)) return follow_changes(state, path, out);
    if (!strncmp(path, "/kv/", 4)) {
        const tw_simulator_key *entry = find_key(state, path + 4);
        *out = entry ? tw_simulator_json_print(entry_json(entry))
                     : tw_simulator_copy_text("{\"ledger\":1}");
        return entry ? TW_SIMULATOR_OK : TW_SIMULATOR_NOT_FOUND;
    }
    if (!strcmp(path, "/grants")) return create_state_lease(state, now, body, out);
    return change_state_lease(state, now, method, path, out);
}
