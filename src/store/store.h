/* The store: records of jobs in the state service, a consensus-backed key-value store. A state
 * machine over the context: inputs are changed records, responses and ticks; effects are calls.
 *
 * It owns the records' writes: which are pending, in flight or durable, the revision last seen of
 * each record, the limits of writes and requests, and the chunks of records that don't fit into one
 * value. It commits pending records in groups. The text of a record is its owner's. Nothing outside
 * the package reads its members. Called by the modules of jobs and by the core.
 *
 * Invariants:
 *   - whatever a user is told is durable first: the owner is told when a version is;
 *   - at most one write of a record is in flight; each write is under the compare of the revision
 * of the one before, and under the cluster's fence, so that neither a deposed leader nor a late
 *     copy of an older write can undo a newer one;
 *   - a write of unknown outcome is settled by a read before the record is written again;
 *   - the write of the record that names a chunk set is the moment at which the record changes; a
 *     set that a record no longer names can't be named again.
 * docs/design.md, "Why each rule holds" and "Two versions at once", has the argument. */
#ifndef TW_STORE_H
#define TW_STORE_H
#include "cluster/cluster.h"
#include "context/context.h"
#include "wire/wire.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Room for the key of a job's record; path of such a record, and room for one. */
#define TW_JOB_KEY_SIZE (TW_WIRE_ID_SIZE + sizeof TW_JOB_KEY)
#define TW_JOB_PATH "/kv/" TW_JOB_KEY
#define TW_JOB_PATH_SIZE (TW_WIRE_ID_SIZE + sizeof TW_JOB_PATH)
/* Key of a chunk: this, the job's id, the chunk set and the chunk's number; and room for one. */
#define TW_CHUNK_KEY "part/"
#define TW_CHUNK_KEY_SIZE (sizeof TW_CHUNK_KEY + TW_WIRE_ID_SIZE + TW_WIRE_CHUNK_SET_SIZE + 16)

typedef struct tw_store tw_store;
/* A job's record and its way into the state service. */
typedef struct tw_store_record tw_store_record;

/* What a record says of its job now. */
typedef struct {
    tw_wire_job_state state;
    int task_count, done_count, running_count;
} tw_store_summary;

/* What the store asks and tells its owner. The functions are called from within the package's own.
 * owner and job are the pointers that tw_store_new and tw_store_record_new were given. */
typedef struct {
    void *owner;
    /* The record of the job of that id; NULL: there is no such job. */
    tw_store_record *(*find)(void *owner, const char *id);
    /* The text of the record as the job is now, which the store frees; and its summary. */
    char *(*text)(void *job);
    tw_store_summary (*summary)(const void *job);
    /* The record that is known to be the latest holds an end: it never changes again. */
    void (*ended)(void *job, tw_wire_job_state state);
    /* A write went through; or a record was read that is newer than what was known. */
    void (*written)(void *owner, void *job);
    void (*was_read)(void *owner, void *job);
    /* The first record that is known of the job is not the owner's: another node admitted the job
     * first, or it had ended before. Returns whether it has ended, so that nothing is written. */
    bool (*take_first)(void *owner, void *job, tw_wire_record *record);
    /* The record is refused for its size: nobody is to be left waiting for it. */
    void (*refused)(void *owner, void *job);
    /* Nothing more is known to be done for the record at the moment: the owner may free the job,
     * and the record with it. */
    void (*settled)(void *owner, void *job);
    /* A peer was heard that reads whole records only: tw_store_rewrite_whole is to be called for
     * the records of all jobs that have not ended. */
    void (*peer_lacks_chunks)(void *owner);
} tw_store_owner;

/* context, cluster: not owned. */
tw_store *tw_store_new(tw_context *context, tw_cluster *cluster, const tw_store_owner *owner);
void tw_store_free(tw_store *store);
/* A term ends: what is pending or in flight is forgotten. The owner frees the records before. */
void tw_store_reset(tw_store *store);

/* ---- inputs ---- */

/* Sends what is pending, as far as the limits have room. */
void tw_store_flush(tw_store *store);
/* Timed work of a leader: reads records whose revision isn't known, looks at what peers can read.
 */
void tw_store_tick(tw_store *store);
/* The state service answered a call of this package. */
void tw_store_response(tw_store *store, tw_call *call, int status, const char *body, size_t len);

/* ---- records ---- */

/* A record of a job whose first version is not written yet. id must live as long as the record. */
tw_store_record *tw_store_record_new(const char *id, void *job);
void tw_store_record_free(tw_store_record *record);
/* The record was loaded from the state service: it exists at that revision, and is durable. */
void tw_store_record_loaded(tw_store_record *record, uint64_t mod_revision);
/* The loaded record names that chunk set ("": it is whole). */
void tw_store_record_set_chunks(tw_store *store, tw_store_record *record, const char *chunk_set,
                                int chunk_count);
/* The job has changed: its record gets a new version, which is to be written. urgent: before those
 * that nobody waits for. */
void tw_store_mark_changed(tw_store *store, tw_store_record *record, bool urgent);
/* The job's record was read at the state service for another purpose. */
void tw_store_record_read(tw_store *store, tw_store_record *record, const tw_wire_entry *entry);
/* Writes a chunked record anew if it fits into one value by now. */
void tw_store_rewrite_whole(tw_store *store, tw_store_record *record);

/* Version of the record as the job is now, and of its next change. */
uint64_t tw_store_version(const tw_store_record *record);
uint64_t tw_store_next_version(const tw_store_record *record);
/* Whether that version is durable; whether the newest one is. */
bool tw_store_is_durable(const tw_store_record *record, uint64_t version);
bool tw_store_is_settled(const tw_store_record *record);
/* Whether some version of the record is known to exist. */
bool tw_store_exists(const tw_store_record *record);
/* Whether no write of it is pending or in flight. */
bool tw_store_is_idle(const tw_store_record *record);
/* Whether a version that says that the job has ended was sent. */
bool tw_store_end_was_sent(const tw_store_record *record);
/* Whether the last write was refused for its size; and when the next one is tried, in seconds from
 * now. */
bool tw_store_is_refused(const tw_store_record *record);
double tw_store_retry_s(const tw_store *store, const tw_store_record *record);

/* ---- limits ---- */

/* Takes a leader's write, or request, out of its part of the state service's limits; false: there
 * is none left now. */
bool tw_store_try_acquire_write(tw_store *store);
bool tw_store_try_acquire_request(tw_store *store);
/* How long a new write would wait behind the urgent ones that are pending, in seconds. */
double tw_store_backlog_s(tw_store *store);
/* Bytes that a record may have to be written as one value under the smaller limit; and to be
 * written whole as the peers are now. */
size_t tw_store_value_size(const tw_store *store);
size_t tw_store_whole_size(const tw_store *store);
/* Whether the first record of a new job can be written now, chunked or not. */
bool tw_store_is_writable(const tw_store *store, const tw_wire_job *spec);

/* ---- loading chunks, while a new leader reads all records (chunk_loader.c) ---- */

/* Takes in a page of chunks. Returns their number, or -1: it can't be read. *more: keys follow;
 * *last: the last key, with room for `size` bytes. */
int tw_store_load_chunks(tw_store *store, const char *body, size_t len, int *more, char *last,
                         size_t size);
/* The text of a chunked record, to be freed; NULL: its chunks are not all there. */
char *tw_store_loaded_text(tw_store *store, const char *id, const tw_wire_record *record);
/* All records are read: chunk sets that none of them names are to be removed. */
void tw_store_finish_loading(tw_store *store);

#endif
