/* Writing divided records, and removing slices that no record names any more.
 *
 * A set of slices is written once, under a name that holds the leader's token and a number, and in
 * as many transactions as it takes, each conditioned on the leader's key. Once all are known to be
 * written, job_store.c writes the record that names them like any other. Until the fate of that
 * write is known the set stays, and is named again by each repetition. A set that a record no
 * longer names can't be named again: whatever still comes late is conditioned on an older revision.
 */
#include "core/record_chunks.h"
#include <stdbool.h>

#define KB 1024
/* Slices in a transaction, and the bytes that they may have together: the state service takes
 * 64 KiB; room for the frame and for what stands around a slice. */
#define MAX_SLICES 60
#define MAX_TXN_BYTES ((size_t)60 * KB)
#define SLICE_FRAME_BYTES (TW_CHUNK_KEY_SIZE + 40)
/* Of a job's first record: everything but its names, with all numbers at their longest; what stands
 * around a machine type's name; and a byte of a name, escaped. */
#define SPEC_FRAME_BYTES 700
#define NAME_FRAME_BYTES 3
#define LONGEST_ESCAPED 6
/* A transaction is given up after this share of the leader's lease. */
#define TXN_TIMEOUT_RATIO 0.4
#define LEAST_TXN_TIMEOUT_S 0.5
/* Until a removal that failed is tried again. */
#define REMOVAL_RETRY_S 1.0

/* A set to be removed. */
typedef struct tw_stale_chunk_set {
    char id[TW_WIRE_ID_SIZE];
    char set[TW_WIRE_CHUNK_SET_SIZE];
    int next, count; /* slices before `next` are removed */
    struct tw_stale_chunk_set *prev, *next_set;
} tw_stale_chunk_set;

static void chunk_key(char *key, const char *id, const char *set, int number) {
    snprintf(key, TW_CHUNK_KEY_SIZE, TW_CHUNK_KEY "%s/%s/%d", id, set, number);
}

static double txn_timeout_s(const tw_core *core) {
    return fmax(LEAST_TXN_TIMEOUT_S, tw_cluster_lease_s(core->cluster) * TXN_TIMEOUT_RATIO);
}

/* ---- whether ---- */

/* Bytes that a record may have where an old node may have to read it. */
static size_t current_value_size(const tw_core *core) {
    return (size_t)(core->context.config->state_now.value_kb * KB);
}

size_t tw_record_whole_size(const tw_core *core) {
    return tw_cluster_all_read_chunks(core->cluster) ? tw_record_value_size(core)
                                                     : current_value_size(core);
}

bool tw_record_needs_chunks(const tw_core *core, const tw_job *job, size_t length) {
    const bool refused = job->refused_bytes && length >= job->refused_bytes;
    if (tw_cluster_all_read_chunks(core->cluster))
        return refused || length > tw_record_value_size(core);
    /* One that is divided can't be read by an old node as it is. */
    return *job->chunk_set && (refused || length > current_value_size(core));
}

/* Bytes of a job's first record at most, whatever its names hold. */
static size_t first_record_most(const tw_wire_job *spec) {
    size_t signs =
        strlen(spec->job_class) + strlen(spec->team) + strlen(spec->image) + strlen(spec->zone);
    for (int i = 0; i < spec->machine_type_count; i++)
        signs += strlen(spec->machine_types[i]) + NAME_FRAME_BYTES;
    return SPEC_FRAME_BYTES + LONGEST_ESCAPED * signs;
}

bool tw_record_is_writable(const tw_core *core, const tw_wire_job *spec) {
    if (tw_cluster_all_read_chunks(core->cluster) ||
        first_record_most(spec) <= current_value_size(core))
        return true;
    const tw_wire_record record = {.has_job = 1,
                                   .job = *spec,
                                   .task_count = spec->task_count,
                                   .submitted_at = core->context.wall,
                                   .next_attempt = 1};
    char *text = tw_wire_record_text(&record);
    const bool fits = strlen(text) <= current_value_size(core);
    free(text);
    return fits;
}

/* ---- a set on its way ---- */

void tw_chunks_begin(tw_core *core, tw_job *job, const char *text) {
    tw_record_chunks *parts = tw_alloc(sizeof *parts);
    const size_t length = strlen(text);
    const size_t room = tw_record_value_size(core);
    size_t most = 1; /* slices: of the smallest ones that there may be */
    for (size_t at = 0; at < length; most++) {
        size_t taken;
        free(tw_wire_chunk_text(text + at, room, &taken));
        at += taken;
    }
    parts->texts = tw_alloc(most * sizeof *parts->texts);
    for (size_t at = 0; at < length;) {
        size_t taken;
        parts->texts[parts->count++] = tw_wire_chunk_text(text + at, room, &taken);
        at += taken;
    }
    snprintf(parts->name, sizeof parts->name, "%llu-%llu",
             (unsigned long long)tw_cluster_token(core->cluster),
             (unsigned long long)++core->last_chunk_set);
    parts->version = job->version;
    parts->state = job->state;
    parts->done_count = job->done_count;
    parts->placed_count = job->placed_count;
    job->chunks = parts;
    tw_log_debug("event=record_chunked id=%s chunk_set=%s bytes=%zu chunks=%d", job->id,
                 parts->name, length, parts->count);
}

bool tw_chunks_all_written(const tw_job *job) { return job->chunks->written == job->chunks->count; }

char *tw_chunks_record_text(const tw_job *job) {
    const tw_record_chunks *parts = job->chunks;
    tw_wire_record record = {.state = parts->state,
                             .task_count = job->task_count,
                             .done_count = parts->done_count,
                             .chunk_count = parts->count,
                             .running_count = parts->placed_count};
    snprintf(record.chunk_set, sizeof record.chunk_set, "%s", parts->name);
    return tw_wire_chunked_record_text(&record);
}

void tw_chunks_free(tw_job *job) {
    tw_record_chunks *parts = job->chunks;
    if (!parts) return;
    for (int i = 0; i < parts->count; i++) free(parts->texts[i]);
    free(parts->texts);
    free(parts);
    job->chunks = NULL;
}

void tw_chunks_drop(tw_core *core, tw_job *job) {
    if (!job->chunks) return;
    tw_chunks_add_stale(core, job->id, job->chunks->name, job->chunks->count);
    tw_chunks_free(job);
}

void tw_chunks_set_current(tw_core *core, tw_job *job, const char *set, int slices) {
    if (strcmp(job->chunk_set, set) != 0) {
        if (*job->chunk_set) tw_chunks_add_stale(core, job->id, job->chunk_set, job->chunk_count);
        snprintf(job->chunk_set, sizeof job->chunk_set, "%s", set);
    }
    job->chunk_count = slices;
}

/* A transaction of these changes, conditioned on the leader's key alone: what a set holds never
 * changes. */
static tw_call *send_changes(tw_core *core, tw_call_kind kind, const tw_wire_write *changes,
                             int count) {
    tw_rate_limiter_try_acquire(&core->write_limiter, core->context.now, count);
    tw_rate_limiter_try_acquire(&core->request_limiter, core->context.now, 1);
    const tw_wire_compare compare = tw_cluster_leader_compare(core->cluster);
    tw_call *sent =
        tw_call_send(&core->context, kind, TW_TO_STATE, core->context.config->state, "POST", "/txn",
                     tw_wire_txn_text(&compare, 1, changes, (size_t)count), txn_timeout_s(core));
    sent->count = count;
    core->transactions_in_flight++;
    return sent;
}

static void send_chunks(tw_core *core, tw_job *job, int most) {
    tw_record_chunks *parts = job->chunks;
    char keys[MAX_SLICES][TW_CHUNK_KEY_SIZE];
    tw_wire_write writes[MAX_SLICES];
    size_t bytes = SLICE_FRAME_BYTES;
    int count = 0;
    while (count < most && count < MAX_SLICES && parts->written + count < parts->count) {
        const int number = parts->written + count;
        bytes += strlen(parts->texts[number]) + SLICE_FRAME_BYTES;
        if (bytes > MAX_TXN_BYTES && count) break;
        chunk_key(keys[count], job->id, parts->name, number);
        writes[count] = (tw_wire_write){keys[count], parts->texts[number], 0};
        count++;
    }
    tw_call *sent = send_changes(core, TW_CALL_WRITE_CHUNKS, writes, count);
    snprintf(sent->name, sizeof sent->name, "%s", job->id);
    sent->text = strdup(parts->name);
    parts->write_in_flight = true;
}

void tw_chunks_flush(tw_core *core, int most) {
    tw_job *job;
    DL_FOREACH2(core->pending_writes, job, write_next) {
        const int budget =
            (int)fmin(most, tw_rate_limiter_available(&core->write_limiter, core->context.now));
        if (core->transactions_in_flight >= TW_MAX_TRANSACTIONS || budget < 1 ||
            tw_rate_limiter_available(&core->request_limiter, core->context.now) < 1)
            return;
        if (!job->chunks) continue;
        /* The end of a job doesn't wait for what it was before. */
        if (!job->chunks->record_sent && job->chunks->state != job->state)
            tw_chunks_drop(core, job);
        if (!job->chunks || job->chunks->write_in_flight || tw_chunks_all_written(job)) continue;
        if (core->context.now >= job->write_after) send_chunks(core, job, budget);
    }
}

/* ---- removing ---- */

void tw_chunks_add_stale(tw_core *core, const char *id, const char *set, int slices) {
    tw_stale_chunk_set *stale = tw_alloc(sizeof *stale);
    snprintf(stale->id, sizeof stale->id, "%s", id);
    snprintf(stale->set, sizeof stale->set, "%s", set);
    stale->count = slices;
    DL_APPEND2(core->stale_chunk_sets, stale, prev, next_set);
}

void tw_chunks_forget_stale(tw_core *core) {
    tw_stale_chunk_set *stale, *next;
    DL_FOREACH_SAFE2(core->stale_chunk_sets, stale, next, next_set) {
        DL_DELETE2(core->stale_chunk_sets, stale, prev, next_set);
        free(stale);
    }
    core->chunk_removal_in_flight = false;
    core->next_chunk_removal_at = 0;
}

void tw_chunks_remove_stale(tw_core *core, int most) {
    tw_stale_chunk_set *stale = core->stale_chunk_sets;
    if (!stale || core->chunk_removal_in_flight ||
        core->context.now < core->next_chunk_removal_at ||
        core->transactions_in_flight >= TW_MAX_TRANSACTIONS ||
        tw_rate_limiter_available(&core->request_limiter, core->context.now) < 1)
        return;
    most = (int)fmin(
        most, fmin(MAX_SLICES, tw_rate_limiter_available(&core->write_limiter, core->context.now)));
    const int count = (int)fmin(most, stale->count - stale->next);
    if (count < 1) return;
    char keys[MAX_SLICES][TW_CHUNK_KEY_SIZE];
    tw_wire_write removals[MAX_SLICES];
    for (int i = 0; i < count; i++) {
        chunk_key(keys[i], stale->id, stale->set, stale->next + i);
        removals[i] = (tw_wire_write){keys[i], NULL, 0};
    }
    send_changes(core, TW_CALL_REMOVE_CHUNKS, removals, count);
    core->chunk_removal_in_flight = true;
}

void tw_chunks_removal_response(tw_core *core, const tw_call *call, int status) {
    tw_stale_chunk_set *stale = core->stale_chunk_sets;
    core->transactions_in_flight--;
    core->chunk_removal_in_flight = false;
    if (!stale) return;
    if (status != TW_HTTP_OK) {
        core->next_chunk_removal_at = core->context.now + REMOVAL_RETRY_S;
        return;
    }
    stale->next += call->count;
    if (stale->next < stale->count) return;
    DL_DELETE2(core->stale_chunk_sets, stale, prev, next_set);
    free(stale);
}
