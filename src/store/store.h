/* The store keeps the records of jobs in the state service, a consensus-backed key-value store. It
 * is a state machine over the context: inputs are changed records, responses and ticks; effects are
 * calls.
 *
 * It tracks which versions of a record are pending, in flight or durable, the mod revision last
 * seen of each record, the rate limits of writes and requests, and the chunks of records that don't
 * fit into one value. It commits pending records in groups. The owner of the store provides the
 * text of a record. Only this package reads the members of its types. The core and the modules for
 * jobs call it.
 *
 * Invariants:
 *   - a user is only sent what is durable: the store notifies its owner when a version becomes
 *     durable;
 *   - at most one write of a record is in flight; each write compares the mod revision of the
 *     previous write and includes the cluster's fence, so that neither a deposed leader nor a
 *     delayed copy of an older write can overwrite a newer one;
 *   - a write of unknown outcome is repeated under the same mod revision; if the compare fails, the
 *     record is read to learn its revision before it is written again;
 *   - a chunked record changes when the record that refers to the new chunk set is written; a set
 *     that a record no longer refers to can't be referred to again.
 * docs/design.md, "Why each rule holds" and "Two versions at once", has the argument. */
#ifndef TW_STORE_H
#define TW_STORE_H
#include "cluster/cluster.h"
#include "context/context.h"
#include "wire/wire.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Size of a buffer for the key of a job's record; prefix of the path of such a record, and size of
 * a buffer for the path. */
#define TW_JOB_KEY_SIZE (TW_WIRE_ID_SIZE + sizeof TW_JOB_KEY)
#define TW_JOB_PATH "/kv/" TW_JOB_KEY
#define TW_JOB_PATH_SIZE (TW_WIRE_ID_SIZE + sizeof TW_JOB_PATH)
/* Prefix of the key of a chunk, which the job's id, the chunk set's name and the chunk's number
 * follow; and size of a buffer for such a key. */
#define TW_CHUNK_KEY "part/"
#define TW_CHUNK_KEY_SIZE (sizeof TW_CHUNK_KEY + TW_WIRE_ID_SIZE + TW_WIRE_CHUNK_SET_SIZE + 16)

typedef struct tw_store tw_store;
/* The record of a job, and the state of its writes to the state service. */
typedef struct tw_store_record tw_store_record;

/* Summary of a job that its chunked record repeats outside the chunks. */
typedef struct {
    tw_wire_job_state state;
    int task_count, done_count, running_count;
} tw_store_summary;

/* Callbacks of the store. They are invoked from within functions of this package. owner is the
 * member below; job is the pointer that was passed to tw_store_record_new. */
typedef struct {
    void *owner;
    /* Returns the record of the job with this id; NULL if there is no such job. */
    tw_store_record *(*find)(void *owner, const char *id);
    /* Return the text of the record for the current state of the job, which the store frees; and
     * the summary of the job. */
    char *(*text)(void *job);
    tw_store_summary (*summary)(const void *job);
    /* Called when the latest record shows that the job has ended, in this state. The state of the
     * job never changes again. */
    void (*ended)(void *job, tw_wire_job_state state);
    /* Called when a write succeeded; and when a newer record than the known one was read. */
    void (*written)(void *owner, void *job);
    void (*newer_record_read)(void *owner, void *job);
    /* Called when a read finds a record of a job whose record was not known to exist: another node
     * may have admitted the job first with other fields, or the job may have ended before. Returns
     * true if the job has ended, so that its record is not written. */
    bool (*adopt_first_record)(void *owner, void *job, tw_wire_record *record);
    /* Called when the state service refused the record for its size. The owner rejects the requests
     * that wait for the record. */
    void (*refused)(void *owner, void *job);
    /* Called after a write succeeded or a newer record was read. The owner may free the job and its
     * record if the record is idle. */
    void (*settled)(void *owner, void *job);
    /* Called when a peer reports that it reads whole records only. The owner calls
     * tw_store_rewrite_whole for the records of all jobs that have not ended. */
    void (*peer_without_chunk_support_found)(void *owner);
} tw_store_owner;

/* Creates a store. context, cluster: not owned. *owner is copied. */
tw_store *tw_store_new(tw_context *context, tw_cluster *cluster, const tw_store_owner *owner);
void tw_store_free(tw_store *store);
/* Discards all pending and in-flight writes at the end of a term. The owner frees the records
 * before it calls this. */
void tw_store_reset(tw_store *store);

/* ---- inputs ---- */

/* Sends pending writes, as far as the rate limits allow. */
void tw_store_flush(tw_store *store);
/* Periodic work of a leader: reads records whose mod revision isn't known, and updates which record
 * formats the peers can read. */
void tw_store_tick(tw_store *store);
/* Processes the response of the state service to a call of this package. */
void tw_store_response(tw_store *store, tw_call *call, int status, const char *body, size_t len);

/* ---- records ---- */

/* Creates the record of a job that has no written version yet. id is not copied: it must live as
 * long as the record. job is passed to the callbacks. */
tw_store_record *tw_store_record_new(const char *id, void *job);
void tw_store_record_free(tw_store_record *record);
/* Marks the record as loaded from the state service at this mod revision, so that it is durable. */
void tw_store_record_loaded(tw_store_record *record, uint64_t mod_revision);
/* Sets the chunk set that the record in the state service refers to ("": the record is whole). A
 * different set that it referred to before is queued for removal. */
void tw_store_record_set_chunks(tw_store *store, tw_store_record *record, const char *chunk_set,
                                int chunk_count);
/* Increments the version of the record after a change of the job, and queues it for writing.
 * urgent: a request waits for the write, so it goes before records that are not urgent. */
void tw_store_mark_changed(tw_store *store, tw_store_record *record, bool urgent);
/* Processes the job's record as read from the state service. Does nothing if the record is not
 * newer than the known one. */
void tw_store_record_read(tw_store *store, tw_store_record *record, const tw_wire_entry *entry);
/* Queues a chunked record to be written whole, if it fits into one value. */
void tw_store_rewrite_whole(tw_store *store, tw_store_record *record);

/* Return the current version of the record, and the version after the next change of the job. */
uint64_t tw_store_version(const tw_store_record *record);
uint64_t tw_store_next_version(const tw_store_record *record);
/* Return whether this version is durable; and whether the current version is durable. */
bool tw_store_is_durable(const tw_store_record *record, uint64_t version);
bool tw_store_is_settled(const tw_store_record *record);
/* Returns whether any version of the record is known to exist in the state service. */
bool tw_store_exists(const tw_store_record *record);
/* Returns whether no write of the record is pending or in flight. */
bool tw_store_is_idle(const tw_store_record *record);
/* Returns whether a version in which the job has ended was sent to the state service. */
bool tw_store_end_was_sent(const tw_store_record *record);
/* Return whether the last write was refused for its size; and the seconds until the next write of
 * the record is allowed, which may be negative. */
bool tw_store_is_refused(const tw_store_record *record);
double tw_store_retry_s(const tw_store *store, const tw_store_record *record);

/* ---- limits ---- */

/* Acquire one write, or one request, from the leader's share of the state service's rate limits.
 * Return false if none is available now. */
bool tw_store_try_acquire_write(tw_store *store);
bool tw_store_try_acquire_request(tw_store *store);
/* Returns the time in seconds that a new write would wait for the pending writes of urgent records
 * and of new records. */
double tw_store_backlog_s(tw_store *store);
/* Return the maximum size in bytes of a value under the configured limit; and of a record that is
 * written whole, given which formats the peers can read. */
size_t tw_store_value_size(const tw_store *store);
size_t tw_store_whole_size(const tw_store *store);
/* Returns whether the first record of a new job can be written now, whole or chunked. */
bool tw_store_is_writable(const tw_store *store, const tw_wire_job *spec);

/* ---- loading of chunks by a new leader (chunk_loader.c) ---- */

/* Loads a page of chunks. Returns the number of keys on the page; -1 if the page can't be parsed.
 * Sets *more to whether further pages follow, and copies the last key to `last`, a buffer of `size`
 * bytes, unless the page is empty. */
int tw_store_load_chunks(tw_store *store, const char *body, size_t len, int *more, char *last,
                         size_t size);
/* Returns the text of a chunked record, joined from its chunks, which the caller frees; NULL if a
 * chunk is missing. */
char *tw_store_loaded_text(tw_store *store, const char *id, const tw_wire_record *record);
/* Ends the loading after all records are read: queues the chunk sets that no record refers to for
 * removal, and frees the loaded chunks. */
void tw_store_finish_loading(tw_store *store);

#endif
