/* Group commit: each transaction writes several pending records. A record is read when its mod
 * revision has become unknown, after a write of unknown outcome.
 *
 * Each write compares the mod revision of its record and includes the cluster's fence. A retry
 * under the same revisions is therefore safe whether or not the first attempt succeeded: only one
 * of the two can succeed. */
#include "store/store_int.h"

/* Maximum number of records in a transaction, also if the state service allows more. */
#define MAX_RECORDS 60
/* Maximum size of a transaction's text, below the 64 KiB that the state service accepts; size of
 * the frame of the transaction; size of what is added for each record: its key (twice) and its mod
 * revision. */
#define MAX_TRANSACTION_BYTES ((size_t)60 * 1024)
#define FRAME_BYTES 256
#define RECORD_FRAME_BYTES 200
/* Number of compares that the state service allows for each change in a transaction. */
#define COMPARES_PER_CHANGE 4
/* Pause before a write of unknown outcome, or a failed read, is repeated. */
#define WRITE_RETRY_S 0.15
#define READ_RETRY_S 0.2
#define READ_TIMEOUT_S 1.0

/* The write of a record in a transaction in flight. */
typedef struct {
    char id[TW_WIRE_ID_SIZE];
    uint64_t version;      /* version of the record that is written */
    uint64_t mod_revision; /* mod revision that the write compares */
    tw_wire_job_state state;
    char chunk_set[TW_WIRE_CHUNK_SET_SIZE]; /* "": the record is written whole */
    int chunk_count;
    size_t bytes; /* size of the record's text */
} record_write;

/* Records that are written in one transaction. */
typedef struct {
    int count;
    size_t bytes; /* upper bound of the size of the transaction's text */
    tw_store_record *records[MAX_RECORDS];
    char keys[MAX_RECORDS][TW_JOB_KEY_SIZE];
    char *texts[MAX_RECORDS];
} write_batch;

/* ---- pending records ---- */

static void enqueue(tw_store *store, tw_store_record *record) {
    DL_APPEND(store->pending, record);
    record->queued = true;
}

static void dequeue(tw_store *store, tw_store_record *record) {
    DL_DELETE(store->pending, record);
    record->queued = false;
}

void tw_store_mark_changed(tw_store *store, tw_store_record *record, bool urgent) {
    record->version++;
    if (urgent) record->urgent = true;
    if (!record->queued && !record->in_flight) enqueue(store, record);
}

void tw_store_requeue(tw_store *store, tw_store_record *record) {
    if (record->queued || record->in_flight) return;
    if (record->version == record->durable_version && record->exists) return;
    enqueue(store, record);
}

/* ---- transactions ---- */

/* Returns the text to write under the record's key, which the caller frees; NULL if chunks of the
 * record have to be written first. */
static char *next_text(tw_store *store, tw_store_record *record) {
    if (record->next_set)
        return tw_store_set_is_written(record) ? tw_store_set_record_text(record) : NULL;
    char *text = store->owner.text(record->job);
    if (!tw_store_needs_chunks(store, record, strlen(text))) return text;
    tw_store_begin_set(store, record, text);
    free(text);
    return NULL;
}

/* Adds the record to the batch. Takes ownership of text. Returns false if the transaction would
 * become too large. */
static bool batch_add(write_batch *batch, tw_store_record *record, char *text) {
    const size_t bytes = strlen(text) + RECORD_FRAME_BYTES;
    if (batch->bytes + bytes > MAX_TRANSACTION_BYTES && batch->count) {
        free(text);
        return false;
    }
    batch->bytes += bytes;
    batch->texts[batch->count] = text;
    snprintf(batch->keys[batch->count], TW_JOB_KEY_SIZE, TW_JOB_KEY "%s", record->id);
    batch->records[batch->count++] = record;
    return true;
}

/* Moves pending records to the batch, either the urgent ones or the others, until the batch holds
 * `max_count` records. */
static void batch_fill(tw_store *store, write_batch *batch, bool urgent, int max_count) {
    const double now = store->context->now;
    tw_store_record *record, *next;
    DL_FOREACH_SAFE(store->pending, record, next) {
        if (batch->count >= max_count) return;
        if (batch->count + 1 > tw_rate_limiter_available(&store->write_limiter, now)) return;
        if (now < record->write_after || record->needs_read || urgent != record->urgent) continue;
        if (batch->count && (record->in_own_transaction || batch->records[0]->in_own_transaction))
            continue;
        char *text = next_text(store, record);
        if (!text) continue;
        if (!batch_add(batch, record, text)) return;
        dequeue(store, record);
    }
}

/* Describes the write of a record that refers to a chunk set: it writes the version from which the
 * set was made, which may be older than the current one. */
static void note_chunked(record_write *write, tw_chunk_set *set) {
    write->version = set->version;
    write->state = set->summary.state;
    write->chunk_count = set->count;
    snprintf(write->chunk_set, sizeof write->chunk_set, "%s", set->name);
    set->record_sent = true;
}

/* Stores a description of each record's write in the call, for the processing of the response, and
 * marks the records as in flight. */
static void note_writes(const tw_store *store, tw_call *call, const write_batch *batch) {
    call->count = batch->count;
    record_write *writes = tw_alloc((size_t)batch->count * sizeof *writes);
    call->data = writes;
    for (int i = 0; i < batch->count; i++) {
        tw_store_record *record = batch->records[i];
        record_write *write = &writes[i];
        *write = (record_write){.version = record->version,
                                .mod_revision = record->mod_revision,
                                .state = store->owner.summary(record->job).state};
        snprintf(write->id, sizeof write->id, "%s", record->id);
        if (record->next_set) note_chunked(write, record->next_set);
        write->bytes = strlen(batch->texts[i]);
        record->end_sent |= write->state != TW_JOB_PENDING;
        record->in_flight = true;
        record->urgent = false;
    }
}

static void batch_send(tw_store *store, const write_batch *batch) {
    const int count = batch->count;
    tw_rate_limiter_try_acquire(&store->write_limiter, store->context->now, count);
    tw_rate_limiter_try_acquire(&store->request_limiter, store->context->now, 1);
    const size_t fence_size = tw_cluster_fence_size(store->cluster);
    tw_wire_compare compares[MAX_RECORDS + fence_size];
    char fence_keys[fence_size][TW_DELEGATE_KEY_SIZE];
    tw_wire_write writes[MAX_RECORDS];
    for (int i = 0; i < count; i++) {
        compares[i] = (tw_wire_compare){batch->keys[i], batch->records[i]->mod_revision};
        writes[i] = (tw_wire_write){batch->keys[i], batch->texts[i], 0};
    }
    const size_t compare_count =
        (size_t)count + tw_cluster_fence(store->cluster, compares + count, fence_keys);
    tw_call *call = tw_call_send(store->context, TW_CALL_WRITE_RECORDS, TW_TO_STATE,
                                 store->context->config->state, "POST", "/txn",
                                 tw_wire_txn_text(compares, compare_count, writes, (size_t)count),
                                 tw_store_transaction_timeout_s(store));
    note_writes(store, call, batch);
    for (int i = 0; i < count; i++) free(batch->texts[i]);
    store->transactions_in_flight++;
}

/* Returns the maximum number of records in a transaction. The compares of the fence count against
 * the limit of compares. */
static int max_changes(const tw_store *store) {
    const int operations = store->context->config->state_txn_ops;
    const int by_compares =
        COMPARES_PER_CHANGE * operations - (int)tw_cluster_fence_size(store->cluster);
    const int allowed = (int)fmax(1, fmin(operations, by_compares));
    return allowed < MAX_RECORDS ? allowed : MAX_RECORDS;
}

/* Returns whether the limits allow another transaction now. */
static bool can_send_transaction(tw_store *store) {
    const double now = store->context->now;
    return store->transactions_in_flight < TW_MAX_TRANSACTIONS &&
           tw_rate_limiter_available(&store->write_limiter, now) >= 1 &&
           tw_rate_limiter_available(&store->request_limiter, now) >= 1;
}

void tw_store_flush(tw_store *store) {
    const int max_count = max_changes(store);
    if (!tw_cluster_delegates_known(store->cluster)) return;
    tw_store_flush_chunks(store, max_count);
    while (store->pending && can_send_transaction(store)) {
        write_batch batch = {.bytes = FRAME_BYTES};
        batch_fill(store, &batch, true, max_count);
        batch_fill(store, &batch, false, max_count);
        if (batch.count) batch_send(store, &batch);
        tw_store_flush_chunks(store, max_count);
        if (!batch.count) break;
    }
    tw_store_remove_stale_chunks(store, max_count);
}

/* ---- results of writes and reads ---- */

/* Updates the record after a write or read: its latest version has this mod revision and shows the
 * job in this state. */
static void note_latest(const tw_store *store, tw_store_record *record, tw_wire_job_state state,
                        uint64_t revision) {
    record->exists = true;
    record->needs_read = false;
    record->mod_revision = revision;
    /* The end of a job is final. The state in the written record decides, even if the job in memory
     * has changed since, for example because a task has ended. */
    if (state != TW_JOB_PENDING) store->owner.ended(record->job, state);
}

static void note_durable(tw_store *store, tw_store_record *record, const record_write *write,
                         uint64_t revision) {
    note_latest(store, record, write->state, revision);
    tw_store_record_set_chunks(store, record, write->chunk_set, write->chunk_count);
    /* The chunk set is the one that was written: no other version is written while chunks or a
     * chunked record are in flight. */
    if (*write->chunk_set) tw_store_free_set(record);
    record->in_own_transaction = false;
    record->size_refusals = 0;
    if (write->version > record->durable_version) record->durable_version = write->version;
    store->owner.written(store->owner.owner, record->job);
    tw_store_requeue(store, record);
    store->owner.settled(store->owner.owner, record->job);
}

/* Processes the first record that was read of a job whose record was not known to exist. If another
 * node admitted the job first with other fields, its fields replace those of this node. The
 * replacement is safe, since no version of this node was durable and so no task was launched. */
static void apply_first_record(tw_store *store, tw_store_record *record, const char *value) {
    tw_wire_record first;
    if (tw_wire_record_parse(&first, record->id, value, strlen(value))) return;
    /* Only a leader writes chunked records, so this is the record that this node wrote. */
    if (*first.chunk_set) return;
    tw_store_drop_set(store, record);
    if (store->owner.adopt_first_record(store->owner.owner, record->job, &first)) {
        record->durable_version = record->version;
        if (record->queued) dequeue(store, record);
    }
    tw_wire_record_free(&first);
}

/* Mod revisions increase, so a greater revision than the known one belongs to a newer record. That
 * record is the latest: only the leader overwrites existing records, and it has not sent a write
 * that compares this revision yet. Writes in flight compare an older revision and fail. */
void tw_store_record_read(tw_store *store, tw_store_record *record, const tw_wire_entry *entry) {
    if (entry->mod_revision <= record->mod_revision) return;
    tw_wire_record found;
    const size_t length = strlen(entry->value);
    const tw_wire_job_state state = tw_wire_record_state(entry->value, length);
    if (!tw_wire_record_parse(&found, record->id, entry->value, length)) {
        tw_store_record_set_chunks(store, record, found.chunk_set, found.chunk_count);
        tw_wire_record_free(&found);
    }
    if (!record->exists) apply_first_record(store, record, entry->value);
    note_latest(store, record, state == TW_JOB_UNKNOWN ? TW_JOB_PENDING : state,
                entry->mod_revision);
    store->owner.newer_record_read(store->owner.owner, record->job);
    tw_store_requeue(store, record);
    store->owner.settled(store->owner.owner, record->job);
}

/* ---- responses ---- */

static void read_record(tw_store *store, tw_store_record *record) {
    char path[TW_JOB_PATH_SIZE];
    record->read_in_flight = true;
    snprintf(path, sizeof path, TW_JOB_PATH "%s", record->id);
    tw_call *call = tw_call_send(store->context, TW_CALL_READ_RECORD, TW_TO_STATE,
                                 store->context->config->state, "GET", path, NULL, READ_TIMEOUT_S);
    snprintf(call->name, sizeof call->name, "%s", record->id);
}

void tw_store_tick(tw_store *store) {
    tw_store_record *record, *next;
    if (tw_cluster_is_active(store->cluster)) tw_store_update_format(store);
    DL_FOREACH_SAFE(store->pending, record, next) {
        if (record->needs_read && !record->read_in_flight &&
            store->context->now >= record->write_after)
            read_record(store, record);
    }
}

/* Keys whose compares failed, from the response to a transaction. */
typedef struct {
    char (*keys)[TW_WIRE_KEY_SIZE];
    int count;
} failed_compares;

/* Returns whether the compare of the record's mod revision failed. */
static bool compare_failed(const failed_compares *failed, const record_write *write) {
    const size_t prefix = sizeof TW_JOB_KEY - 1;
    for (int i = 0; i < failed->count; i++) {
        const char *key = failed->keys[i];
        if (strncmp(key, TW_JOB_KEY, prefix) != 0) continue;
        if (!strcmp(key + prefix, write->id)) return true;
    }
    return false;
}

/* Handles a write that failed or whose outcome is unknown. is_sole_write: it was the only write in
 * its transaction. */
static void note_not_written(tw_store *store, tw_store_record *record, const record_write *write,
                             int status, const failed_compares *failed, bool is_sole_write) {
    record->urgent = true;
    if (status == TW_HTTP_BAD_REQUEST && is_sole_write)
        tw_store_note_size_refusal(store, record, *write->chunk_set ? 0 : write->bytes);
    else if (status == TW_HTTP_BAD_REQUEST)
        record->in_own_transaction = true; /* to find out which record is refused */
    else if (status != TW_HTTP_CONFLICT)
        record->write_after = store->context->now + WRITE_RETRY_S;
    /* The revision may have been learned meanwhile by a read on behalf of a user. */
    if (write->mod_revision == record->mod_revision && compare_failed(failed, write))
        record->needs_read = true;
    tw_store_requeue(store, record);
    if (record->needs_read && !record->read_in_flight) read_record(store, record);
}

/* Returns false if the compare of the leader's key failed. Reads the delegates' keys if the compare
 * of one of them failed. */
static bool leader_key_is_kept(tw_store *store, const failed_compares *failed) {
    for (int i = 0; i < failed->count; i++) {
        if (!strncmp(failed->keys[i], TW_DELEGATE_KEY, sizeof TW_DELEGATE_KEY - 1))
            tw_cluster_read_delegates(store->cluster);
        if (!strcmp(failed->keys[i], TW_LEADER_KEY)) return false;
    }
    return true;
}

/* Processes the status and the failed compares of a response to a transaction of records or chunks.
 * Sets *failed to the failed compares; the caller frees its keys. Returns false, with *failed
 * freed, if the compare of the leader's key failed, which ends the term. */
static bool note_answer(tw_store *store, int status, const char *body, size_t len,
                        failed_compares *failed) {
    *failed = (failed_compares){NULL, 0};
    store->transactions_in_flight--;
    if (status == TW_HTTP_OK || status == TW_HTTP_CONFLICT)
        tw_cluster_note_store_answer(store->cluster);
    if (status == TW_HTTP_CONFLICT &&
        tw_wire_failed_compares_parse(&failed->keys, &failed->count, body, len))
        failed->count = 0;
    if (status == TW_HTTP_BAD_REQUEST)
        tw_log_error("event=transaction_refused body=\"%.200s\"", body);
    if (leader_key_is_kept(store, failed)) return true;
    free(failed->keys);
    tw_cluster_step_down(store->cluster, "leader key lost");
    return false;
}

static void chunks_response(tw_store *store, const tw_call *call, int status, const char *body,
                            size_t len) {
    failed_compares failed;
    if (!note_answer(store, status, body, len, &failed)) return;
    free(failed.keys);
    tw_store_record *record = store->owner.find(store->owner.owner, call->name);
    tw_chunk_set *set = record ? record->next_set : NULL;
    if (!set || strcmp(set->name, call->text) != 0) return; /* the set was discarded meanwhile */
    set->write_in_flight = false;
    if (status == TW_HTTP_OK)
        set->written += call->count;
    else if (status == TW_HTTP_BAD_REQUEST)
        tw_store_note_size_refusal(store, record, 0);
    else
        record->write_after = store->context->now + WRITE_RETRY_S;
}

static void records_response(tw_store *store, const tw_call *call, int status, const char *body,
                             size_t len) {
    uint64_t revision = 0;
    failed_compares failed;
    const bool written = status == TW_HTTP_OK && !tw_wire_revision_parse(&revision, body, len);
    if (!note_answer(store, status, body, len, &failed)) return;
    if (written) tw_cluster_delegates_confirmed(store->cluster, call->sent_at);
    const record_write *writes = call->data;
    for (int i = 0; i < call->count; i++) {
        const record_write *write = &writes[i];
        tw_store_record *record = store->owner.find(store->owner.owner, write->id);
        if (!record) continue;
        record->in_flight = false;
        if (written)
            note_durable(store, record, write, revision);
        else
            note_not_written(store, record, write, status, &failed, call->count == 1);
    }
    free(failed.keys);
}

/* Handles the response to a read of a record whose revision was unknown: a write without a response
 * may have succeeded, or another node may have admitted the job first. */
static void read_response(tw_store *store, const tw_call *call, int status, const char *body,
                          size_t len) {
    tw_store_record *record = store->owner.find(store->owner.owner, call->name);
    if (!record) return;
    record->read_in_flight = false;
    if (status == TW_HTTP_NOT_FOUND) {
        record->mod_revision = 0;
        record->needs_read = false;
        return;
    }
    tw_wire_entry entry;
    if (status != TW_HTTP_OK || tw_wire_entry_parse(&entry, body, len)) {
        record->write_after = store->context->now + READ_RETRY_S;
        return; /* tw_store_tick repeats the read */
    }
    tw_store_record_read(store, record, &entry);
    free(entry.value);
}

void tw_store_response(tw_store *store, tw_call *call, int status, const char *body, size_t len) {
    switch (call->kind) {
    case TW_CALL_WRITE_RECORDS:
        records_response(store, call, status, body, len);
        break;
    case TW_CALL_WRITE_CHUNKS:
        chunks_response(store, call, status, body, len);
        break;
    case TW_CALL_REMOVE_CHUNKS:
        tw_store_removal_response(store, call, status);
        break;
    default:
        read_response(store, call, status, body, len);
        break;
    }
}
