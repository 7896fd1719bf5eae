/* Choice between whole and chunked records: maximum sizes of a value, formats that the peers can
 * read, and refusals for size by the state service. Large records are chunked while all peers read
 * chunked records, and written whole again when a peer appears that does not. */
#include "store/store_int.h"

#define KB 1024
/* 1/16 of a value stays unused, in case the state service counts white space of its own. */
#define VALUE_RESERVE_DIVISOR 16
/* Maximum size of a value: its transaction, with frame, must fit into 64 KiB. */
#define MAX_VALUE_BYTES (56.0 * KB)
/* Maximum sizes in bytes within a job's first record: everything except the names, with each number
 * at its longest; the characters around the name of a machine type; one escaped byte of a name. */
#define SPEC_FRAME_BYTES 700
#define NAME_FRAME_BYTES 3
#define MAX_ESCAPED_BYTES 6
/* Pause before a refused record is written again: it doubles up to the longest pause. */
#define INITIAL_PAUSE_S 0.15
#define MAX_PAUSE_S 10.0
#define MAX_PAUSE_DOUBLINGS 8

/* ---- sizes ---- */

size_t tw_store_value_size(const tw_store *store) {
    const double bytes = store->context->config->state_value_kb * KB;
    return (size_t)fmin(MAX_VALUE_BYTES, bytes - bytes / VALUE_RESERVE_DIVISOR);
}

/* Returns the maximum size in bytes of a record while some peer may read whole records only. */
static size_t current_value_size(const tw_store *store) {
    return (size_t)(store->context->config->state_now.value_kb * KB);
}

size_t tw_store_whole_size(const tw_store *store) {
    return tw_cluster_all_peers_support_chunks(store->cluster) ? tw_store_value_size(store)
                                                               : current_value_size(store);
}

bool tw_store_needs_chunks(const tw_store *store, const tw_store_record *record, size_t length) {
    const bool refused = record->refused_bytes && length >= record->refused_bytes;
    if (tw_cluster_all_peers_support_chunks(store->cluster))
        return refused || length > tw_store_value_size(store);
    /* While a peer may read whole records only, no whole record becomes chunked, since that peer
     * could not read it. A record that is chunked already, which the peer can't read either way,
     * stays chunked if it is too large to be written whole. */
    return *record->current_set && (refused || length > current_value_size(store));
}

/* Returns an upper bound of the size in bytes of the job's first record. */
static size_t max_first_record(const tw_wire_job *spec) {
    size_t characters =
        strlen(spec->job_class) + strlen(spec->team) + strlen(spec->image) + strlen(spec->zone);
    for (int i = 0; i < spec->machine_type_count; i++)
        characters += strlen(spec->machine_types[i]) + NAME_FRAME_BYTES;
    return SPEC_FRAME_BYTES + MAX_ESCAPED_BYTES * characters;
}

bool tw_store_is_writable(const tw_store *store, const tw_wire_job *spec) {
    if (tw_cluster_all_peers_support_chunks(store->cluster)) return true;
    if (max_first_record(spec) <= current_value_size(store)) return true;
    const tw_wire_record record = {.has_job = true,
                                   .job = *spec,
                                   .task_count = spec->task_count,
                                   .submitted_at = store->context->wall,
                                   .next_attempt = 1};
    char *text = tw_wire_record_text(&record);
    const bool fits = strlen(text) <= current_value_size(store);
    free(text);
    return fits;
}

/* ---- refusals for size ---- */

void tw_store_note_size_refusal(tw_store *store, tw_store_record *record, size_t bytes) {
    if (bytes && (!record->refused_bytes || bytes < record->refused_bytes))
        record->refused_bytes = bytes;
    if (bytes && tw_store_needs_chunks(store, record, bytes)) return;
    const int doublings =
        record->size_refusals < MAX_PAUSE_DOUBLINGS ? record->size_refusals : MAX_PAUSE_DOUBLINGS;
    const double pause_s = fmin(MAX_PAUSE_S, INITIAL_PAUSE_S * (double)(1 << doublings));
    record->size_refusals++;
    record->write_after = store->context->now + pause_s;
    tw_log_error("event=record_refused id=%s bytes=%zu pause_s=%.2f", record->id, bytes, pause_s);
    store->owner.refused(store->owner.owner, record->job);
}

/* ---- changes of the peers' formats ---- */

void tw_store_rewrite_whole(tw_store *store, tw_store_record *record) {
    if (!*record->current_set) return;
    char *text = store->owner.text(record->job);
    if (!tw_store_needs_chunks(store, record, strlen(text)))
        tw_store_mark_changed(store, record, false);
    free(text);
}

/* Lifts the pauses of records that were refused for their size, after all peers have become able to
 * read chunked records. */
static void retry_refused(tw_store *store) {
    tw_store_record *record;
    DL_FOREACH(store->pending, record) {
        if (record->size_refusals) record->write_after = 0;
        record->size_refusals = 0;
    }
}

void tw_store_update_format(tw_store *store) {
    const bool all_support_chunks = tw_cluster_all_peers_support_chunks(store->cluster);
    const bool any_lacks_chunk_support = tw_cluster_any_peer_lacks_chunk_support(store->cluster);
    if (all_support_chunks != store->all_peers_support_chunks)
        tw_log_info("event=record_format_changed chunked=%d", all_support_chunks);
    if (all_support_chunks && !store->all_peers_support_chunks) retry_refused(store);
    if (any_lacks_chunk_support && !store->any_peer_lacks_chunk_support)
        store->owner.peer_without_chunk_support_found(store->owner.owner);
    store->all_peers_support_chunks = all_support_chunks;
    store->any_peer_lacks_chunk_support = any_lacks_chunk_support;
}
