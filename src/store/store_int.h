/* Internal interface of the store, shared by its modules. Not for other packages.
 *
 * store.c          creation and freeing of the store, rate limits, queries about a record
 * group_commit.c   pending records, transactions over several records, reads of mod revisions
 * chunk_writer.c   writing of chunk sets, removal of those that no record refers to
 * chunk_loader.c   reading of chunk sets when a term begins
 * record_format.c  whole or chunked records: sizes, refusals, formats that the peers read */
#ifndef TW_STORE_INT_H
#define TW_STORE_INT_H
#include "log/log.h"
#include "store/store.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Maximum number of transactions in flight. No two of them write the same record. */
#define TW_MAX_TRANSACTIONS 3
/* Timeout of a transaction as a share of the leader's lease, and its minimum. */
#define TW_TRANSACTION_TIMEOUT_RATIO 0.4
#define TW_MIN_TRANSACTION_TIMEOUT_S 0.5

/* A chunk set that is being written: the text of the record's next version. */
typedef struct tw_chunk_set {
    char name[TW_WIRE_CHUNK_SET_SIZE];
    char **texts; /* JSON values */
    int count, written;
    bool write_in_flight;     /* a transaction with chunks of the set is in flight */
    bool record_sent;         /* the record that refers to the set was sent at least once */
    uint64_t version;         /* version of the record that the text holds */
    tw_store_summary summary; /* summary of the job in that version */
} tw_chunk_set;

struct tw_store_record {
    const char *id; /* id of the job; not owned */
    void *job;
    uint64_t version, durable_version;
    bool exists;           /* the key of the record is known to exist */
    uint64_t mod_revision; /* last known mod revision; 0: none */
    bool queued, in_flight;
    bool urgent;     /* a request waits for the write */
    bool needs_read; /* the mod revision is unknown: the record is read before it is written */
    bool read_in_flight;
    bool end_sent;           /* a version in which the job has ended was sent */
    bool in_own_transaction; /* the record is written in a transaction of its own */
    double write_after;      /* earliest time of the next write */
    int size_refusals;       /* number of consecutive refusals for size */
    size_t refused_bytes;    /* smallest size that was refused; 0: none was */
    /* Chunk set that the record refers to in the state service, as last known; "": it is whole. */
    char current_set[TW_WIRE_CHUNK_SET_SIZE];
    int current_chunks;
    tw_chunk_set *next_set;              /* chunk set that is being written; NULL: none */
    struct tw_store_record *prev, *next; /* links of the list of pending records */
};

struct tw_store {
    tw_context *context;
    tw_cluster *cluster;
    tw_store_owner owner;
    tw_rate_limiter write_limiter, request_limiter; /* this node's limits while it leads */
    tw_store_record *pending;
    int transactions_in_flight;

    /* Chunk sets. */
    uint64_t last_set;                     /* number of the chunk set that was last named */
    struct tw_stale_chunk_set *stale_sets; /* chunk sets to remove: no record refers to them */
    bool removal_in_flight;
    double next_removal_at;
    struct tw_loaded_chunk_set *loaded_sets; /* NULL except while a new leader reads the records */

    /* Formats that the peers can read, at the last tw_store_update_format. */
    bool all_peers_support_chunks, any_peer_lacks_chunk_support;
};

/* ---- store.c ---- */
/* Returns the timeout of a transaction in seconds. */
double tw_store_transaction_timeout_s(const tw_store *store);

/* ---- group_commit.c ---- */
/* Adds the record to the pending records, unless it is pending or in flight already or is up to
 * date in the state service. */
void tw_store_requeue(tw_store *store, tw_store_record *record);

/* ---- record_format.c ---- */
/* Returns whether the next version of the record, whose text has this length, must be chunked. */
bool tw_store_needs_chunks(const tw_store *store, const tw_store_record *record, size_t length);
/* Handles the refusal for size of a record that was alone in its transaction (bytes: its size) or
 * of chunks of the record (bytes: 0). The record is chunked if the peers can read chunks; otherwise
 * the write is repeated after increasing pauses. */
void tw_store_note_size_refusal(tw_store *store, tw_store_record *record, size_t bytes);
/* Updates which record formats the peers can read, and acts on a change. */
void tw_store_update_format(tw_store *store);

/* ---- chunk_writer.c ---- */
/* Splits the text of the record's next version into the chunks of a new chunk set, to be sent by
 * tw_store_flush_chunks. */
void tw_store_begin_set(tw_store *store, tw_store_record *record, const char *text);
/* Returns whether all chunks of the next version are known to be written. */
bool tw_store_set_is_written(const tw_store_record *record);
/* Returns the text of the record that refers to the chunk set of the next version. The caller frees
 * the text. */
char *tw_store_set_record_text(const tw_store_record *record);
/* Discards the chunk set of the next version, if there is one, and queues its chunks for removal.
 * Must not be called while a write of a record that refers to the set may still succeed. */
void tw_store_drop_set(tw_store *store, tw_store_record *record);
/* Frees the chunk set of the next version in memory. */
void tw_store_free_set(tw_store_record *record);
/* Sends chunks of pending records, at most `max_count` in each transaction, as far as the rate
 * limits allow. */
void tw_store_flush_chunks(tw_store *store, int max_count);
/* Removes at most `max_count` chunks that no record refers to, as far as the rate limits allow. */
void tw_store_remove_stale_chunks(tw_store *store, int max_count);
/* Queues a chunk set of `count` chunks that no record refers to for removal. */
void tw_store_add_stale_set(tw_store *store, const char *id, const char *set, int count);
/* Clears the queue of chunk sets to remove. The next leader finds them when it reads the chunks. */
void tw_store_clear_stale_sets(tw_store *store);
/* Processes the response of the state service to a removal of chunks. */
void tw_store_removal_response(tw_store *store, const tw_call *call, int status);

/* ---- chunk_loader.c ---- */
/* Frees the loaded chunks. */
void tw_store_free_loaded_sets(tw_store *store);

#endif
