/* Stand-in for the state service: keys in order, versions, transactions, leases, watches, limits.
 */
#include "world.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FIRST_REVISION 100
#define DECIMAL 10
#define NUMBER_SIZE 32
#define DEFAULT_LIST 100
#define NO_LIMIT 1e9
#define DEFAULT_WRITE_RPS 100 /* as the nodes are told, where there is no limit */
#define DEFAULT_VALUE_KB 8
#define DEFAULT_TXN_OPS 12
#define CONDITIONS_PER_OP 4
#define KB 1024
#define MOST_BYTES ((size_t)64 * KB) /* of a transaction */

void tw_simulator_state_init(tw_simulator_state *s) {
    memset(s, 0, sizeof *s);
    s->down_since = -1;
    s->revision = FIRST_REVISION;
    s->limits = (tw_simulator_limits){NO_LIMIT, DEFAULT_VALUE_KB, DEFAULT_TXN_OPS};
    s->told = (tw_simulator_limits){DEFAULT_WRITE_RPS, DEFAULT_VALUE_KB, DEFAULT_TXN_OPS};
}

void tw_simulator_state_free(tw_simulator_state *s) {
    for (size_t i = 0; i < s->nkeys; i++) {
        free(s->keys[i].key);
        free(s->keys[i].value);
    }
    free(s->keys);
    free(s->leases);
}

/* Place of the first key that isn't before this one. */
static size_t key_place(const tw_simulator_state *s, const char *key) {
    size_t low = 0, high = s->nkeys;
    while (low < high) {
        size_t mid = (low + high) / 2;
        if (strcmp(s->keys[mid].key, key) < 0)
            low = mid + 1;
        else
            high = mid;
    }
    return low;
}

static tw_simulator_key *key_find(const tw_simulator_state *s, const char *key) {
    size_t i = key_place(s, key);
    return i < s->nkeys && !strcmp(s->keys[i].key, key) ? &s->keys[i] : NULL;
}

const char *tw_simulator_state_value(const tw_simulator_state *s, const char *key) {
    const tw_simulator_key *k = key_find(s, key);
    return k ? k->value : NULL;
}

uint64_t tw_simulator_state_version(const tw_simulator_state *s, const char *key) {
    const tw_simulator_key *k = key_find(s, key);
    return k ? k->version : 0;
}

static void key_put(tw_simulator_state *s, const char *key, char *value, uint64_t lease) {
    size_t i = key_place(s, key);
    if (i == s->nkeys || strcmp(s->keys[i].key, key) != 0) {
        if (s->nkeys == s->keys_cap) {
            s->keys_cap = s->keys_cap ? 2 * s->keys_cap : 16;
            s->keys = realloc(s->keys, s->keys_cap * sizeof *s->keys);
            if (!s->keys) abort();
        }
        memmove(&s->keys[i + 1], &s->keys[i], (s->nkeys - i) * sizeof *s->keys);
        s->nkeys++;
        s->keys[i] = (tw_simulator_key){.key = tw_simulator_text(key)};
    }
    free(s->keys[i].value);
    s->keys[i].value = value;
    s->keys[i].version = s->revision;
    s->keys[i].lease = lease;
}

static void key_remove(tw_simulator_state *s, tw_simulator_key *k) {
    tw_simulator_removal *r = &s->removals[s->nremovals++ % TW_SIMULATOR_MAX_REMOVALS];
    snprintf(r->key, sizeof r->key, "%s", k->key);
    r->revision = s->revision;
    free(k->key);
    free(k->value);
    memmove(k, k + 1, (s->nkeys - (size_t)(k - s->keys) - 1) * sizeof *k);
    s->nkeys--;
}

static tw_simulator_lease *lease_find(const tw_simulator_state *s, uint64_t id) {
    for (int i = 0; i < s->nleases; i++)
        if (s->leases[i].id == id) return &s->leases[i];
    return NULL;
}

static void lease_end(tw_simulator_state *s, tw_simulator_lease *lease) {
    s->revision++;
    for (size_t i = s->nkeys; i-- > 0;)
        if (s->keys[i].lease == lease->id) key_remove(s, &s->keys[i]);
    *lease = s->leases[--s->nleases];
}

void tw_simulator_state_outage(tw_simulator_state *s, double now, bool on) {
    if (on) {
        s->down_since = now;
        return;
    }
    for (int i = 0; i < s->nleases; i++) s->leases[i].until = now + s->leases[i].ttl;
    s->down_since = -1;
}

static cJSON *entry(const tw_simulator_key *k) {
    cJSON *o = cJSON_CreateObject();
    cJSON_AddStringToObject(o, "k", k->key);
    cJSON_AddRawToObject(o, "data", k->value);
    cJSON_AddNumberToObject(o, "stamp", (double)k->version);
    if (k->lease) cJSON_AddNumberToObject(o, "hold", (double)k->lease);
    return o;
}

static char *revision_text(const tw_simulator_state *s) {
    char text[64];
    snprintf(text, sizeof text, "{\"ledger\":%llu}", (unsigned long long)s->revision);
    return tw_simulator_text(text);
}

/* ---- transactions ---- */

static int allows_writes(tw_simulator_state *s, double now, int n) {
    s->write_tokens += (now - s->write_at) * s->limits.write_rps;
    s->write_at = now;
    if (s->write_tokens > s->limits.write_rps) s->write_tokens = s->limits.write_rps;
    if (s->write_tokens < n) return 0;
    s->write_tokens -= n;
    return 1;
}

/* Keys whose version isn't as the transaction demands. */
static cJSON *failed_keys(const tw_simulator_state *s, const cJSON *conditions) {
    cJSON *failed = cJSON_CreateArray();
    const cJSON *c;
    cJSON_ArrayForEach(c, conditions) {
        const char *key = tw_simulator_json_text(c, "k");
        const tw_simulator_key *k = key_find(s, key);
        if ((k ? k->version : 0) != (uint64_t)tw_simulator_json_number(c, "stamp"))
            cJSON_AddItemToArray(failed, cJSON_CreateString(key));
    }
    return failed;
}

static int leases_live(const tw_simulator_state *s, const cJSON *changes) {
    const cJSON *c;
    cJSON_ArrayForEach(c, changes) {
        uint64_t lease = (uint64_t)tw_simulator_json_number(c, "hold");
        if (lease && !lease_find(s, lease)) return 0;
    }
    return 1;
}

static void apply(tw_simulator_state *s, const cJSON *changes) {
    const cJSON *c;
    s->revision++;
    cJSON_ArrayForEach(c, changes) {
        const char *removed = tw_simulator_json_text(c, "remove");
        tw_simulator_key *k = *removed ? key_find(s, removed) : NULL;
        if (k) key_remove(s, k);
        if (*removed) continue;
        key_put(s, tw_simulator_json_text(c, "write"),
                cJSON_PrintUnformatted(cJSON_GetObjectItemCaseSensitive(c, "data")),
                (uint64_t)tw_simulator_json_number(c, "hold"));
    }
}

/* Whether the transaction, or a value in it, is larger than the limits allow. */
static int too_large(const tw_simulator_state *s, const char *body, const cJSON *txn) {
    const cJSON *changes = cJSON_GetObjectItemCaseSensitive(txn, "apply");
    const cJSON *conditions = cJSON_GetObjectItemCaseSensitive(txn, "if");
    if (strlen(body) > MOST_BYTES || cJSON_GetArraySize(changes) > s->limits.txn_ops ||
        cJSON_GetArraySize(conditions) > CONDITIONS_PER_OP * s->limits.txn_ops)
        return 1;
    const cJSON *change;
    cJSON_ArrayForEach(change, changes) {
        const cJSON *data = cJSON_GetObjectItemCaseSensitive(change, "data");
        if (!data) continue;
        char *text = cJSON_PrintUnformatted(data);
        const size_t length = strlen(text);
        free(text);
        if ((double)length > s->limits.value_kb * KB) return 1;
    }
    return 0;
}

static int transaction(tw_simulator_state *s, double now, const char *body, char **out) {
    cJSON *txn = cJSON_Parse(body);
    const cJSON *changes = cJSON_GetObjectItemCaseSensitive(txn, "apply");
    int status = TW_SIMULATOR_OK;
    if (too_large(s, body, txn)) {
        s->too_large++;
        cJSON_Delete(txn);
        *out = tw_simulator_text("{\"error\":\"too large\"}");
        return TW_SIMULATOR_MALFORMED;
    }
    if (!allows_writes(s, now, cJSON_GetArraySize(changes))) {
        cJSON_Delete(txn);
        *out = tw_simulator_text("{}");
        return TW_SIMULATOR_TOO_MANY;
    }
    cJSON *failed = failed_keys(s, cJSON_GetObjectItemCaseSensitive(txn, "if"));
    if (!leases_live(s, changes)) {
        *out = tw_simulator_text("{\"error\":\"no such lease\"}");
        status = TW_SIMULATOR_MALFORMED;
    } else if (cJSON_GetArraySize(failed)) {
        cJSON *answer = cJSON_CreateObject();
        cJSON_AddItemToObject(answer, "failed", failed);
        cJSON_AddNumberToObject(answer, "ledger", (double)s->revision);
        *out = tw_simulator_json_print(answer);
        failed = NULL;
        status = TW_SIMULATOR_CONFLICT;
    } else {
        apply(s, changes);
        *out = revision_text(s);
    }
    cJSON_Delete(failed);
    cJSON_Delete(txn);
    return status;
}

/* ---- reads ---- */

/* The text of a query's field, or "". */
static void query(const char *path, const char *field, char *to, size_t size) {
    const char *at = strstr(path, field);
    *to = 0;
    if (!at) return;
    at += strlen(field);
    snprintf(to, size, "%.*s", (int)strcspn(at, "&"), at);
}

static int list(const tw_simulator_state *s, const char *path, char **out) {
    char starts[TW_SIMULATOR_KEY], since[TW_SIMULATOR_KEY], most_text[NUMBER_SIZE];
    query(path, "starts=", starts, sizeof starts);
    query(path, "since=", since, sizeof since);
    query(path, "most=", most_text, sizeof most_text);
    int most = *most_text ? tw_simulator_int(most_text) : DEFAULT_LIST, n = 0, more = 0;
    cJSON *answer = cJSON_CreateObject(), *entries = cJSON_AddArrayToObject(answer, "entries");
    for (size_t i = key_place(s, strcmp(since, starts) > 0 ? since : starts); i < s->nkeys; i++) {
        const tw_simulator_key *k = &s->keys[i];
        if (strncmp(k->key, starts, strlen(starts)) != 0) break;
        if (*since && strcmp(k->key, since) <= 0) continue;
        if (n++ >= most) {
            more = 1;
            break;
        }
        cJSON_AddItemToArray(entries, entry(k));
    }
    cJSON_AddBoolToObject(answer, "more", more);
    cJSON_AddNumberToObject(answer, "ledger", (double)s->revision);
    *out = tw_simulator_json_print(answer);
    return TW_SIMULATOR_OK;
}

/* value NULL: the key was removed. */
static void log_change(cJSON *log, const char *key, const char *value, uint64_t revision) {
    cJSON *change = cJSON_CreateObject();
    cJSON_AddStringToObject(change, value ? "write" : "remove", key);
    if (value) cJSON_AddRawToObject(change, "data", value);
    cJSON_AddNumberToObject(change, "stamp", (double)revision);
    cJSON_AddItemToArray(log, change);
}

/* Answers at once with what there is; whoever carries the request waits for more. */
static int follow(const tw_simulator_state *s, const char *path, char **out) {
    char starts[TW_SIMULATOR_KEY], since_text[NUMBER_SIZE];
    query(path, "starts=", starts, sizeof starts);
    query(path, "since=", since_text, sizeof since_text);
    uint64_t since = strtoull(since_text, NULL, DECIMAL);
    size_t prefix = strlen(starts);
    cJSON *answer = cJSON_CreateObject();
    cJSON_AddNumberToObject(answer, "ledger", (double)s->revision);
    cJSON *log = cJSON_AddArrayToObject(answer, "log");
    for (size_t i = key_place(s, starts); i < s->nkeys && s->revision > since; i++) {
        const tw_simulator_key *k = &s->keys[i];
        if (strncmp(k->key, starts, prefix) != 0) break;
        if (k->version > since) log_change(log, k->key, k->value, k->version);
    }
    for (int i = 0; i < s->nremovals && i < TW_SIMULATOR_MAX_REMOVALS; i++) {
        const tw_simulator_removal *r = &s->removals[i];
        if (!strncmp(r->key, starts, prefix) && r->revision > since)
            log_change(log, r->key, NULL, r->revision);
    }
    *out = tw_simulator_json_print(answer);
    return TW_SIMULATOR_OK;
}

/* ---- leases ---- */

static int lease_new(tw_simulator_state *s, double now, const char *body, char **out) {
    cJSON *o = cJSON_Parse(body);
    double ttl = tw_simulator_json_number(o, "lifeMs") / 1000;
    char text[64];
    cJSON_Delete(o);
    s->leases = tw_simulator_grow(s->leases, s->nleases, &s->leases_cap, sizeof *s->leases);
    s->leases[s->nleases++] = (tw_simulator_lease){++s->last_lease, ttl, now + ttl};
    snprintf(text, sizeof text, "{\"hold\":%llu}", (unsigned long long)s->last_lease);
    *out = tw_simulator_text(text);
    return TW_SIMULATOR_OK;
}

static int lease_change(tw_simulator_state *s, double now, const char *method, const char *path,
                        char **out) {
    const char *prefix = "/grants/";
    *out = tw_simulator_text("{}");
    if (strncmp(path, prefix, strlen(prefix)) != 0) return TW_SIMULATOR_MALFORMED;
    tw_simulator_lease *lease = lease_find(s, strtoull(path + strlen(prefix), NULL, DECIMAL));
    if (!lease) return TW_SIMULATOR_UNKNOWN;
    if (!strcmp(method, "DELETE"))
        lease_end(s, lease);
    else
        lease->until = now + lease->ttl;
    return TW_SIMULATOR_OK;
}

void tw_simulator_state_expire(tw_simulator_state *s, double now) {
    for (int i = 0; i < s->nleases; i++)
        if (now > s->leases[i].until) lease_end(s, &s->leases[i--]);
}

int tw_simulator_state_request(tw_simulator_state *s, double now, const char *method,
                               const char *path, const char *body, char **out) {
    *out = NULL;
    if (s->down_since >= 0) {
        *out = tw_simulator_text("{}");
        return TW_SIMULATOR_UNAVAILABLE;
    }
    tw_simulator_state_expire(s, now);
    if (!strcmp(path, "/txn")) return transaction(s, now, body, out);
    if (!strncmp(path, "/kv?", 4)) return list(s, path, out);
    if (!strncmp(path, "/follow?", 8)) return follow(s, path, out);
    if (!strncmp(path, "/kv/", 4)) {
        const tw_simulator_key *k = key_find(s, path + 4);
        *out = k ? tw_simulator_json_print(entry(k)) : tw_simulator_text("{\"ledger\":1}");
        return k ? TW_SIMULATOR_OK : TW_SIMULATOR_UNKNOWN;
    }
    if (!strcmp(path, "/grants")) return lease_new(s, now, body, out);
    return lease_change(s, now, method, path, out);
}
