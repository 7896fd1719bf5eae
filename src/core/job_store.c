/* Records of jobs in the state service: group commit, and reads that settle a record's revision;
 * their text is made in job_record.c. Whatever a user is told is durable first. Each write is
 * conditioned on the leader's key and on the job's own revision, so that neither a deposed leader
 * nor a late copy of an older write can undo a newer one. */
#include "core/record_chunks.h"
#include <stdbool.h>

/* Most records in a transaction, whatever the state service allows. */
#define MAX_RECORDS 60
/* A transaction's text stays under the 64 KiB that the state service takes: room for its frame, and
 * for what stands around a record, its key (twice) and revision. */
#define MAX_TXN_BYTES ((size_t)60 * 1024)
#define FRAME_BYTES 256
#define RECORD_FRAME_BYTES 200
/* Conditions that the state service allows for each change. */
#define CONDITIONS_PER_CHANGE 4
/* A transaction is given up after this share of the leader's lease. */
#define TXN_TIMEOUT_RATIO 0.4
#define LEAST_TXN_TIMEOUT_S 0.5
/* Until a write whose fate is unknown, or a read that failed, is repeated. */
#define WRITE_RETRY_S 0.15
#define READ_RETRY_S 0.2

/* A job's record as a transaction in flight holds it. */
typedef struct {
    char id[TW_WIRE_ID_SIZE];
    uint64_t version;      /* of the job, when the record's text was made */
    uint64_t mod_revision; /* that the write is conditioned on */
    tw_wire_job_state state;
    char chunk_set[TW_WIRE_CHUNK_SET_SIZE]; /* of a chunked one */
    int chunk_count;
    size_t bytes; /* of its text */
} record_write;

/* Records on their way into one transaction. */
typedef struct {
    int count;
    size_t bytes; /* of the transaction's text, at most */
    tw_job *jobs[MAX_RECORDS];
    char keys[MAX_RECORDS][TW_JOB_KEY_SIZE];
    char *texts[MAX_RECORDS];
} batch;

/* ---- group commit ---- */

static void enqueue(tw_core *core, tw_job *job) {
    DL_APPEND2(core->pending_writes, job, write_prev, write_next);
    job->write_queued = true;
}

static void dequeue(tw_core *core, tw_job *job) {
    DL_DELETE2(core->pending_writes, job, write_prev, write_next);
    job->write_queued = false;
}

static void requeue(tw_core *core, tw_job *job) {
    if (job->write_queued || job->write_in_flight) return;
    if (job->version == job->durable_version && job->record_exists) return;
    enqueue(core, job);
}

/* The text to write under the job's key; NULL: not yet, its slices are to be written first. */
static char *next_text(tw_core *core, tw_job *job) {
    if (job->chunks) return tw_chunks_all_written(job) ? tw_chunks_record_text(job) : NULL;
    char *text = tw_job_record_text(job);
    if (!tw_record_needs_chunks(core, job, strlen(text))) return text;
    tw_chunks_begin(core, job, text);
    free(text);
    return NULL;
}

/* Adds the job's record, taking the text; 0: there is no room for it. */
static bool batch_add(batch *batch, tw_job *job, char *text) {
    size_t bytes = strlen(text) + RECORD_FRAME_BYTES;
    if (batch->bytes + bytes > MAX_TXN_BYTES && batch->count) {
        free(text);
        return false;
    }
    batch->bytes += bytes;
    batch->texts[batch->count] = text;
    snprintf(batch->keys[batch->count], TW_JOB_KEY_SIZE, TW_JOB_KEY "%s", job->id);
    batch->jobs[batch->count++] = job;
    return true;
}

/* Takes queued records into the batch: those that somebody waits for, or the others. */
static void batch_fill(tw_core *core, batch *batch, bool urgent, int most) {
    tw_job *job, *next;
    DL_FOREACH_SAFE2(core->pending_writes, job, next, write_next) {
        if (batch->count >= most ||
            batch->count + 1 > tw_rate_limiter_available(&core->write_limiter, core->context.now))
            return;
        if (core->context.now < job->write_after || job->needs_read ||
            urgent != !!job->write_urgent)
            continue;
        if (batch->count && (job->write_alone || batch->jobs[0]->write_alone)) continue;
        char *text = next_text(core, job);
        if (!text) continue;
        if (!batch_add(batch, job, text)) return;
        dequeue(core, job);
    }
}

/* What a record says that names slices: what the job was when they were made. */
static void note_chunked(record_write *write, tw_record_chunks *parts) {
    write->version = parts->version;
    write->state = parts->state;
    write->chunk_count = parts->count;
    snprintf(write->chunk_set, sizeof write->chunk_set, "%s", parts->name);
    parts->record_sent = 1;
}

/* Notes with the call what each record said, for its answer. */
static void note_writes(tw_call *call, const batch *batch) {
    call->count = batch->count;
    record_write *writes = tw_alloc((size_t)batch->count * sizeof *writes);
    call->data = writes;
    for (int i = 0; i < batch->count; i++) {
        tw_job *job = batch->jobs[i];
        record_write *write = &writes[i];
        *write = (record_write){
            .version = job->version, .mod_revision = job->mod_revision, .state = job->state};
        snprintf(write->id, sizeof write->id, "%s", job->id);
        if (job->chunks) note_chunked(write, job->chunks);
        write->bytes = strlen(batch->texts[i]);
        job->final_state_sent |= write->state != TW_JOB_PENDING;
        job->write_in_flight = true;
        job->writing_version = write->version;
        job->write_urgent = false;
    }
}

static void batch_send(tw_core *core, const batch *batch) {
    const int count = batch->count;
    tw_rate_limiter_try_acquire(&core->write_limiter, core->context.now, count);
    tw_rate_limiter_try_acquire(&core->request_limiter, core->context.now, 1);
    const size_t fence_size = tw_cluster_fence_size(core->cluster);
    tw_wire_compare compares[MAX_RECORDS + fence_size];
    char fence_keys[fence_size][TW_DELEGATE_KEY_SIZE];
    tw_wire_write writes[MAX_RECORDS];
    for (int i = 0; i < count; i++) {
        compares[i] = (tw_wire_compare){batch->keys[i], batch->jobs[i]->mod_revision};
        writes[i] = (tw_wire_write){batch->keys[i], batch->texts[i], 0};
    }
    const size_t compare_count =
        (size_t)count + tw_cluster_fence(core->cluster, compares + count, fence_keys);
    tw_call *call = tw_call_send(
        &core->context, TW_CALL_WRITE_RECORDS, TW_TO_STATE, core->context.config->state, "POST",
        "/txn", tw_wire_txn_text(compares, compare_count, writes, (size_t)count),
        fmax(LEAST_TXN_TIMEOUT_S, tw_cluster_lease_s(core->cluster) * TXN_TIMEOUT_RATIO));
    note_writes(call, batch);
    for (int i = 0; i < count; i++) free(batch->texts[i]);
    core->transactions_in_flight++;
}

void tw_job_store_flush(tw_core *core) {
    /* One of the conditions is on our key and one on each deputy's. */
    const int max_compares = CONDITIONS_PER_CHANGE * core->context.config->state_txn_ops -
                             (int)tw_cluster_fence_size(core->cluster);
    const int allowed = (int)fmax(1, fmin(core->context.config->state_txn_ops, max_compares));
    const int most = allowed < MAX_RECORDS ? allowed : MAX_RECORDS;
    if (!tw_cluster_delegates_known(core->cluster)) return;
    tw_chunks_flush(core, most);
    while (core->pending_writes && core->transactions_in_flight < TW_MAX_TRANSACTIONS &&
           tw_rate_limiter_available(&core->write_limiter, core->context.now) >= 1 &&
           tw_rate_limiter_available(&core->request_limiter, core->context.now) >= 1) {
        batch batch = {.bytes = FRAME_BYTES};
        batch_fill(core, &batch, true, most);
        batch_fill(core, &batch, false, most);
        if (batch.count) batch_send(core, &batch);
        tw_chunks_flush(core, most);
        if (!batch.count) break;
    }
    tw_chunks_remove_stale(core, most);
}

/* ---- what is known to be written ---- */

/* The record under this stamp, the latest one, holds this stage. */
static void note_record(tw_job *job, int state, uint64_t revision) {
    job->record_exists = 1;
    job->needs_read = false;
    job->mod_revision = revision;
    /* A job that is over never becomes anything else. What counts is the record that was written,
     * not whether the job has changed since: a task may have ended meanwhile. */
    if (state != TW_JOB_PENDING) job->state = job->durable_state = state;
}

static void note_durable(tw_core *core, tw_job *job, const record_write *write, uint64_t revision) {
    note_record(job, write->state, revision);
    tw_chunks_set_current(core, job, write->chunk_set, write->chunk_count);
    if (*write->chunk_set) tw_chunks_free(job); /* nothing else is written while it is on its way */
    job->write_alone = false;
    job->size_refusals = 0;
    tw_job_answer_waiting_clients(core, job, TW_HTTP_CREATED);
    if (write->version > job->durable_version) job->durable_version = write->version;
    tw_placement *task;
    DL_FOREACH2(job->placements, task, job_next) {
        if (task->version <= job->durable_version && !task->launch_sent && !task->stopping)
            tw_machine_want_commands(core, task->machine);
    }
    requeue(core, job);
    tw_job_release(core, job);
}

static char *spec_text(const tw_wire_job *spec) {
    tw_wire_record record = {.has_job = 1, .job = *spec, .task_count = spec->task_count};
    return tw_wire_record_text(&record);
}

/* A job that was over and let go from memory (completed_jobs.h) was submitted again, and what we
 * took for its first record was refused. Nothing of ours was durable; the end holds as its record
 * has it. */
static void restore_completed(tw_core *core, tw_job *job, const tw_wire_record *record) {
    tw_placement *task, *next;
    DL_FOREACH_SAFE2(job->placements, task, next, job_next) {
        tw_attempt_terminate_on(core, task, TW_EVIDENCE_NOT_RECORDED);
    }
    job->done_count = record->done_count;
    job->durable_version = job->version;
    if (job->write_queued) dequeue(core, job);
}

/* The first record of a job that we were writing ourselves. If another node accepted the job before
 * us, with other fields, those hold; of ours nothing was durable, so that nothing was launched. */
static void take_first_record(tw_core *core, tw_job *job, const char *data) {
    tw_wire_record record;
    if (tw_wire_record_parse(&record, job->id, data, strlen(data))) return;
    if (*record.chunk_set) return; /* our own: only a leader divides records */
    tw_chunks_drop(core, job);
    if (record.state != TW_JOB_PENDING && !record.assignment_count) {
        restore_completed(core, job, &record);
        tw_wire_record_free(&record);
        return;
    }
    char *ours = spec_text(&job->spec), *theirs = spec_text(&record.job);
    if (record.has_job && strcmp(ours, theirs) != 0) {
        tw_placement *task, *next;
        DL_FOREACH_SAFE2(job->placements, task, next, job_next) {
            tw_attempt_terminate_on(core, task, TW_EVIDENCE_NOT_RECORDED);
        }
        tw_wire_job_free(&job->spec);
        tw_job_set_spec(core, job, &record.job);
        free(job->task_states);
        job->task_states = tw_alloc((size_t)job->task_count);
        job->first_unplaced = 0;
        job->submitted_wall_s = record.submitted_at;
        tw_job_mark_changed(core, job, true);
        core->scheduling_due = true;
    }
    free(ours);
    free(theirs);
    tw_wire_record_free(&record);
}

/* A job's record was read: another node accepted the job, or a write of ours went through whose
 * answer was lost. Stamps grow, so a greater one than ours is of a later record; it is the latest,
 * since only we write records that exist, and nothing of ours is conditioned on it yet. Writes that
 * are still on their way hold the older stamp, and fail. */
void tw_job_store_record_read(tw_core *core, tw_job *job, const tw_wire_entry *entry) {
    if (entry->mod_revision <= job->mod_revision) return;
    tw_wire_record record;
    int state = tw_wire_record_state(entry->value, strlen(entry->value));
    if (!tw_wire_record_parse(&record, job->id, entry->value, strlen(entry->value))) {
        tw_chunks_set_current(core, job, record.chunk_set, record.chunk_count);
        tw_wire_record_free(&record);
    }
    if (!job->record_exists) take_first_record(core, job, entry->value);
    note_record(job, state < 0 ? TW_JOB_PENDING : state, entry->mod_revision);
    tw_job_answer_waiting_clients(core, job, TW_HTTP_OK);
    requeue(core, job);
    tw_job_release(core, job);
}

/* ---- answers ---- */

static void read_record(tw_core *core, tw_job *job) {
    char path[TW_JOB_PATH_SIZE];
    job->read_in_flight = true;
    snprintf(path, sizeof path, TW_JOB_PATH "%s", job->id);
    tw_call *call = tw_call_send(&core->context, TW_CALL_READ_RECORD, TW_TO_STATE,
                                 core->context.config->state, "GET", path, NULL, 1);
    snprintf(call->name, sizeof call->name, "%s", job->id);
}

void tw_job_store_tick(tw_core *core) {
    tw_job *job, *next;
    if (tw_cluster_is_active(core->cluster)) tw_record_format_update(core);
    DL_FOREACH_SAFE2(core->pending_writes, job, next, write_next) {
        if (job->needs_read && !job->read_in_flight && core->context.now >= job->write_after)
            read_record(core, job);
    }
}

/* Keys whose conditions failed, of a transaction's answer. */
typedef struct refusal {
    char (*keys)[TW_WIRE_KEY_SIZE];
    int count;
} refusal;

/* Whether the job's record is not of the revision that the write was conditioned on. */
static bool compare_failed(const refusal *refusal, const record_write *write) {
    const size_t prefix = sizeof TW_JOB_KEY - 1;
    for (int i = 0; i < refusal->count; i++) {
        const char *key = refusal->keys[i];
        if (!strncmp(key, TW_JOB_KEY, prefix) && !strcmp(key + prefix, write->id)) return true;
    }
    return false;
}

/* Not carried out, or unknown. A retry under the same stamps is safe either way: if the first went
 * through, or still will, one of the two fails. */
static void note_not_written(tw_core *core, tw_job *job, const record_write *write, int status,
                             const refusal *refusal, bool alone) {
    job->write_urgent = true;
    if (status == TW_HTTP_BAD_REQUEST && alone)
        tw_record_refused(core, job, *write->chunk_set ? 0 : write->bytes);
    else if (status == TW_HTTP_BAD_REQUEST)
        job->write_alone = true; /* to find out which of them it is for */
    else if (status != TW_HTTP_CONFLICT)
        job->write_after = core->context.now + WRITE_RETRY_S;
    /* A read for a user may have told us the record's stamp since. */
    if (write->mod_revision == job->mod_revision && compare_failed(refusal, write))
        job->needs_read = true;
    requeue(core, job);
    if (job->needs_read && !job->read_in_flight) read_record(core, job);
}

/* Whether our key is still there, by what a transaction was refused for. */
static bool leader_key_is_kept(tw_core *core, const refusal *refusal) {
    for (int i = 0; i < refusal->count; i++) {
        if (!strncmp(refusal->keys[i], TW_DELEGATE_KEY, sizeof TW_DELEGATE_KEY - 1))
            tw_cluster_read_delegates(core->cluster);
        if (!strcmp(refusal->keys[i], TW_LEADER_KEY)) return false;
    }
    return true;
}

/* A transaction of records or slices was answered: the keys that it was refused for. 0: the
 * leader's key is among them, and the term is over. */
static bool note_answer(tw_core *core, int status, const char *body, size_t length,
                        refusal *refusal) {
    *refusal = (struct refusal){NULL, 0};
    core->transactions_in_flight--;
    if (status == TW_HTTP_OK || status == TW_HTTP_CONFLICT)
        tw_cluster_note_store_answer(core->cluster);
    if (status == TW_HTTP_CONFLICT &&
        tw_wire_failed_compares_parse(&refusal->keys, &refusal->count, body, length))
        refusal->count = 0;
    if (status == TW_HTTP_BAD_REQUEST)
        tw_log_error("event=transaction_refused body=\"%.200s\"", body);
    if (leader_key_is_kept(core, refusal)) return true;
    free(refusal->keys);
    tw_cluster_step_down(core->cluster, "leader key lost");
    return false;
}

static void chunks_response(tw_core *core, tw_call *call, int status, const char *body,
                            size_t length) {
    refusal refusal;
    if (!note_answer(core, status, body, length, &refusal)) return;
    free(refusal.keys);
    tw_job *job = tw_job_find(core, call->name);
    /* Or they were given up meanwhile. */
    if (!job || !job->chunks || strcmp(job->chunks->name, call->text) != 0) return;
    job->chunks->write_in_flight = false;
    if (status == TW_HTTP_OK)
        job->chunks->written += call->count;
    else if (status == TW_HTTP_BAD_REQUEST)
        tw_record_refused(core, job, 0);
    else
        job->write_after = core->context.now + WRITE_RETRY_S;
}

static void records_response(tw_core *core, tw_call *call, int status, const char *body,
                             size_t length) {
    uint64_t revision = 0;
    refusal refusal;
    bool ok = status == TW_HTTP_OK && !tw_wire_revision_parse(&revision, body, length);
    if (!note_answer(core, status, body, length, &refusal)) return;
    if (ok) tw_cluster_delegates_confirmed(core->cluster, call->sent_at);
    const record_write *writes = call->data;
    for (int i = 0; i < call->count; i++) {
        const record_write *write = &writes[i];
        tw_job *job = tw_job_find(core, write->id);
        if (!job) continue;
        job->write_in_flight = false;
        if (ok)
            note_durable(core, job, write, revision);
        else
            note_not_written(core, job, write, status, &refusal, call->count == 1);
    }
    free(refusal.keys);
}

/* A write of ours that was thought lost went through, or another node accepted the job first. */
static void read_response(tw_core *core, tw_call *call, int status, const char *body,
                          size_t length) {
    tw_job *job = tw_job_find(core, call->name);
    if (!job) return;
    job->read_in_flight = false;
    if (status == TW_HTTP_NOT_FOUND) {
        job->mod_revision = 0;
        job->needs_read = false;
        return;
    }
    tw_wire_entry entry;
    if (status != TW_HTTP_OK || tw_wire_entry_parse(&entry, body, length)) {
        job->write_after = core->context.now + READ_RETRY_S;
        return; /* tw_job_store_tick asks again */
    }
    tw_job_store_record_read(core, job, &entry);
    free(entry.value);
}

void tw_job_store_response(tw_core *core, tw_call *call, int status, const char *body,
                           size_t length) {
    if (call->kind == TW_CALL_WRITE_RECORDS)
        records_response(core, call, status, body, length);
    else if (call->kind == TW_CALL_WRITE_CHUNKS)
        chunks_response(core, call, status, body, length);
    else if (call->kind == TW_CALL_REMOVE_CHUNKS)
        tw_chunks_removal_response(core, call, status);
    else
        read_response(core, call, status, body, length);
}
