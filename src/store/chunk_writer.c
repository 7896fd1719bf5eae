/* Writing of chunk sets, and removal of those that no record refers to any more.
 *
 * The content of a chunk set never changes. Its name consists of the leader's fencing token and a
 * number. Its chunks are written in as many transactions as necessary, each of which compares the
 * leader's key. When all chunks are known to be written, group_commit.c writes the record that
 * refers to the set as it writes any other record. Until the outcome of that write is known, the
 * set is kept, and each retry of the write refers to it. A set that a record no longer refers to
 * can't be referred to again, since a delayed write compares an older mod revision and fails. */
#include "store/store_int.h"

/* Maximum number of chunks in a transaction, and maximum size of its text: the state service
 * accepts 64 KiB. The frame size is counted once for the transaction and once for each chunk. */
#define MAX_CHUNKS 60
#define MAX_TRANSACTION_BYTES ((size_t)60 * 1024)
#define CHUNK_FRAME_BYTES (TW_CHUNK_KEY_SIZE + 40)
/* Pause before a failed removal is repeated. */
#define REMOVAL_RETRY_S 1.0

/* A chunk set to be removed. */
typedef struct tw_stale_chunk_set {
    char id[TW_WIRE_ID_SIZE];
    char name[TW_WIRE_CHUNK_SET_SIZE];
    int removed, count; /* the chunks with numbers below `removed` are removed already */
    struct tw_stale_chunk_set *prev, *next;
} tw_stale_chunk_set;

static void chunk_key(char *key, const char *id, const char *set, int number) {
    snprintf(key, TW_CHUNK_KEY_SIZE, TW_CHUNK_KEY "%s/%s/%d", id, set, number);
}

/* ---- writing chunk sets ---- */

void tw_store_begin_set(tw_store *store, tw_store_record *record, const char *text) {
    tw_chunk_set *set = tw_alloc(sizeof *set);
    const size_t length = strlen(text);
    const size_t max_bytes = tw_store_value_size(store);
    size_t max_chunks = 1;
    for (size_t offset = 0; offset < length; max_chunks++) {
        size_t consumed;
        free(tw_wire_chunk_text(text + offset, max_bytes, &consumed));
        offset += consumed;
    }
    set->texts = tw_alloc(max_chunks * sizeof *set->texts);
    for (size_t offset = 0; offset < length;) {
        size_t consumed;
        set->texts[set->count++] = tw_wire_chunk_text(text + offset, max_bytes, &consumed);
        offset += consumed;
    }
    snprintf(set->name, sizeof set->name, "%llu-%llu",
             (unsigned long long)tw_cluster_token(store->cluster),
             (unsigned long long)++store->last_set);
    set->version = record->version;
    set->summary = store->owner.summary(record->job);
    record->next_set = set;
    tw_log_debug("event=record_chunked id=%s chunk_set=%s bytes=%zu chunks=%d", record->id,
                 set->name, length, set->count);
}

bool tw_store_set_is_written(const tw_store_record *record) {
    return record->next_set->written == record->next_set->count;
}

char *tw_store_set_record_text(const tw_store_record *record) {
    const tw_chunk_set *set = record->next_set;
    tw_wire_record head = {.state = set->summary.state,
                           .task_count = set->summary.task_count,
                           .done_count = set->summary.done_count,
                           .chunk_count = set->count,
                           .running_count = set->summary.running_count};
    snprintf(head.chunk_set, sizeof head.chunk_set, "%s", set->name);
    return tw_wire_chunked_record_text(&head);
}

void tw_store_free_set(tw_store_record *record) {
    tw_chunk_set *set = record->next_set;
    if (!set) return;
    for (int i = 0; i < set->count; i++) free(set->texts[i]);
    free(set->texts);
    free(set);
    record->next_set = NULL;
}

void tw_store_drop_set(tw_store *store, tw_store_record *record) {
    if (!record->next_set) return;
    tw_store_add_stale_set(store, record->id, record->next_set->name, record->next_set->count);
    tw_store_free_set(record);
}

/* Sends a transaction with these changes to chunks. It compares only the leader's key, since the
 * content of a chunk set never changes. */
static tw_call *send_changes(tw_store *store, tw_call_kind kind, const tw_wire_write *changes,
                             int count) {
    tw_rate_limiter_try_acquire(&store->write_limiter, store->context->now, count);
    tw_rate_limiter_try_acquire(&store->request_limiter, store->context->now, 1);
    const tw_wire_compare compare = tw_cluster_leader_compare(store->cluster);
    tw_call *sent =
        tw_call_send(store->context, kind, TW_TO_STATE, store->context->config->state, "POST",
                     "/txn", tw_wire_txn_text(&compare, 1, changes, (size_t)count),
                     tw_store_transaction_timeout_s(store));
    sent->count = count;
    store->transactions_in_flight++;
    return sent;
}

static void send_chunks(tw_store *store, tw_store_record *record, int max_count) {
    tw_chunk_set *set = record->next_set;
    char keys[MAX_CHUNKS][TW_CHUNK_KEY_SIZE];
    tw_wire_write writes[MAX_CHUNKS];
    size_t bytes = CHUNK_FRAME_BYTES;
    int count = 0;
    while (count < max_count && count < MAX_CHUNKS && set->written + count < set->count) {
        const int number = set->written + count;
        bytes += strlen(set->texts[number]) + CHUNK_FRAME_BYTES;
        if (bytes > MAX_TRANSACTION_BYTES && count) break;
        chunk_key(keys[count], record->id, set->name, number);
        writes[count] = (tw_wire_write){keys[count], set->texts[number], 0};
        count++;
    }
    tw_call *sent = send_changes(store, TW_CALL_WRITE_CHUNKS, writes, count);
    snprintf(sent->name, sizeof sent->name, "%s", record->id);
    sent->text = strdup(set->name);
    set->write_in_flight = true;
}

void tw_store_flush_chunks(tw_store *store, int max_count) {
    const double now = store->context->now;
    tw_store_record *record;
    DL_FOREACH(store->pending, record) {
        const int writes =
            (int)fmin(max_count, tw_rate_limiter_available(&store->write_limiter, now));
        if (store->transactions_in_flight >= TW_MAX_TRANSACTIONS || writes < 1) return;
        if (tw_rate_limiter_available(&store->request_limiter, now) < 1) return;
        if (!record->next_set) continue;
        /* A set that holds an outdated state of the job is discarded, so that its chunks don't
         * delay the write of the job's end. */
        const tw_wire_job_state state = store->owner.summary(record->job).state;
        if (!record->next_set->record_sent && record->next_set->summary.state != state)
            tw_store_drop_set(store, record);
        if (!record->next_set || record->next_set->write_in_flight) continue;
        if (tw_store_set_is_written(record)) continue;
        if (now >= record->write_after) send_chunks(store, record, writes);
    }
}

/* ---- removing chunk sets ---- */

void tw_store_add_stale_set(tw_store *store, const char *id, const char *set, int count) {
    tw_stale_chunk_set *stale = tw_alloc(sizeof *stale);
    snprintf(stale->id, sizeof stale->id, "%s", id);
    snprintf(stale->name, sizeof stale->name, "%s", set);
    stale->count = count;
    DL_APPEND(store->stale_sets, stale);
}

void tw_store_clear_stale_sets(tw_store *store) {
    tw_stale_chunk_set *stale, *next;
    DL_FOREACH_SAFE(store->stale_sets, stale, next) {
        DL_DELETE(store->stale_sets, stale);
        free(stale);
    }
    store->removal_in_flight = false;
    store->next_removal_at = 0;
}

void tw_store_remove_stale_chunks(tw_store *store, int max_count) {
    const double now = store->context->now;
    tw_stale_chunk_set *stale = store->stale_sets;
    if (!stale || store->removal_in_flight || now < store->next_removal_at) return;
    if (store->transactions_in_flight >= TW_MAX_TRANSACTIONS) return;
    if (tw_rate_limiter_available(&store->request_limiter, now) < 1) return;
    const double writes = tw_rate_limiter_available(&store->write_limiter, now);
    max_count = (int)fmin(max_count, fmin(MAX_CHUNKS, writes));
    const int count = (int)fmin(max_count, stale->count - stale->removed);
    if (count < 1) return;
    char keys[MAX_CHUNKS][TW_CHUNK_KEY_SIZE];
    tw_wire_write removals[MAX_CHUNKS];
    for (int i = 0; i < count; i++) {
        chunk_key(keys[i], stale->id, stale->name, stale->removed + i);
        removals[i] = (tw_wire_write){keys[i], NULL, 0};
    }
    send_changes(store, TW_CALL_REMOVE_CHUNKS, removals, count);
    store->removal_in_flight = true;
}

void tw_store_removal_response(tw_store *store, const tw_call *call, int status) {
    tw_stale_chunk_set *stale = store->stale_sets;
    store->transactions_in_flight--;
    store->removal_in_flight = false;
    if (!stale) return;
    if (status != TW_HTTP_OK) {
        store->next_removal_at = store->context->now + REMOVAL_RETRY_S;
        return;
    }
    stale->removed += call->count;
    if (stale->removed < stale->count) return;
    DL_DELETE(store->stale_sets, stale);
    free(stale);
}
