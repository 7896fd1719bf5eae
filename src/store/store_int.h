/* What the modules of the store share. Not for other packages.
 *
 * store.c          the store's life, its limits, questions about a record
 * group_commit.c   pending records, transactions of several, reads that settle a revision
 * chunk_writer.c   writing chunk sets, and removing those that no record names any more
 * chunk_loader.c   reading chunk sets when a term begins
 * record_format.c  whole or chunked: sizes, refusals, what the peers read */
#ifndef TW_STORE_INT_H
#define TW_STORE_INT_H
#include "log/log.h"
#include "store/store.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Transactions in flight, over disjoint records. */
#define TW_MAX_TRANSACTIONS 3
/* A transaction is given up after this share of the leader's lease, and not before the time. */
#define TW_TRANSACTION_TIMEOUT_RATIO 0.4
#define TW_LEAST_TRANSACTION_TIMEOUT_S 0.5

/* The text of a record's next version as a chunk set on its way into the state service. */
typedef struct tw_chunk_set {
    char name[TW_WIRE_CHUNK_SET_SIZE];
    char **texts; /* JSON values */
    int count, written;
    bool write_in_flight;     /* a transaction with some of them */
    bool record_sent;         /* the record that names the set was sent: its fate may be unknown */
    uint64_t version;         /* of the record, when the text was made, */
    tw_store_summary summary; /* and what it said */
} tw_chunk_set;

struct tw_store_record {
    const char *id; /* the job's, not owned */
    void *job;
    uint64_t version, durable_version;
    bool exists;           /* its key is known to exist */
    uint64_t mod_revision; /* that is known of it; 0: none */
    bool queued, in_flight;
    bool urgent;     /* somebody waits for the write */
    bool needs_read; /* its revision isn't known: it is read before it is written */
    bool read_in_flight;
    bool end_sent;                            /* a version that says that the job has ended */
    bool alone;                               /* to be written in a transaction of its own */
    double write_after;                       /* no write before it */
    int size_refusals;                        /* in a row */
    size_t refused_bytes;                     /* the smallest length that was refused; 0: none */
    char current_set[TW_WIRE_CHUNK_SET_SIZE]; /* that the record names as last known; "": whole */
    int current_chunks;
    tw_chunk_set *next_set;              /* of the next version, while it is written; NULL: none */
    struct tw_store_record *prev, *next; /* pending records */
};

struct tw_store {
    tw_context *context;
    tw_cluster *cluster;
    tw_store_owner owner;
    tw_rate_limiter write_limiter, request_limiter; /* of a leader */
    tw_store_record *pending;
    int transactions_in_flight;

    /* Chunk sets. */
    uint64_t last_set;                     /* numbers those that this process writes */
    struct tw_stale_chunk_set *stale_sets; /* that no record names: to be removed */
    bool removal_in_flight;
    double next_removal_at;
    struct tw_loaded_chunk_set *loaded_sets; /* while the records are read */

    /* As of the last look at the peers. */
    bool peers_read_chunks, a_peer_lacks_chunks;
};

/* ---- store.c ---- */
/* How long a transaction may take. */
double tw_store_transaction_timeout_s(const tw_store *store);

/* ---- group_commit.c ---- */
/* Puts the record among the pending ones, unless it is or nothing of it is to be written. */
void tw_store_requeue(tw_store *store, tw_store_record *record);

/* ---- record_format.c ---- */
/* Whether the record's next version, a text of that length, has to be chunked. */
bool tw_store_needs_chunks(const tw_store *store, const tw_store_record *record, size_t length);
/* A record, or a chunk of it (bytes 0), was refused for its size, alone in its transaction. It is
 * chunked if it may be; else it is tried again after growing pauses. */
void tw_store_note_refused(tw_store *store, tw_store_record *record, size_t bytes);
/* Looks whether the peers have changed in what they read. */
void tw_store_update_format(tw_store *store);

/* ---- chunk_writer.c ---- */
/* Begins to write the record's next version as a chunk set. */
void tw_store_begin_set(tw_store *store, tw_store_record *record, const char *text);
/* Whether all chunks of the record's next version are known to be written. */
bool tw_store_set_is_written(const tw_store_record *record);
/* The record that names the set; the caller frees it. */
char *tw_store_set_record_text(const tw_store_record *record);
/* Gives the record's next version up, before it was sent. */
void tw_store_drop_set(tw_store *store, tw_store_record *record);
/* Frees the record's next version as it stands in memory. */
void tw_store_free_set(tw_store_record *record);
/* Sends chunks that are due, at most so many in a transaction. */
void tw_store_flush_chunks(tw_store *store, int most);
/* Removes chunks that no record names, as far as the limits of writes have room. */
void tw_store_remove_stale(tw_store *store, int most);
/* A chunk set that no record names. */
void tw_store_add_stale(tw_store *store, const char *id, const char *set, int count);
/* Forgets which sets are to be removed: a successor finds them when it reads the chunks. */
void tw_store_forget_stale(tw_store *store);
/* The state service answered a removal. */
void tw_store_removal_response(tw_store *store, const tw_call *call, int status);

/* ---- chunk_loader.c ---- */
void tw_store_free_loaded(tw_store *store);

#endif
