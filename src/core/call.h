/* Effects: replies to requests, and calls that wait for their responses (effects.c). Invariants: a
 * request gets one reply; a call has one outcome, and what is known of it is freed with that; the
 * outcome of a call of an earlier term is ignored. Not for other packages. */
#ifndef TW_CORE_CALL_H
#define TW_CORE_CALL_H
#include "core/core.h"
#include "wire/wire.h"
#include <uthash.h>

/* What a call is for: who gets its response follows from it. */
typedef enum {
    TW_CALL_READ_LEADER,
    TW_CALL_WATCH_LEADER,
    TW_CALL_GRANT_LEASE,
    TW_CALL_ACQUIRE_LEADERSHIP,
    TW_CALL_RENEW_LEASE,
    TW_CALL_REVOKE_LEASE,
    TW_CALL_WRITE_RECORDS,
    TW_CALL_WRITE_CHUNKS,  /* slices of a record */
    TW_CALL_REMOVE_CHUNKS, /* of sets that no record names any more */
    TW_CALL_READ_RECORD,   /* to settle a job's stamp */
    TW_CALL_LOOK_UP_JOB,   /* an unknown job, for a user */
    TW_CALL_CREATE_RECORD, /* a follower's own accept */
    TW_CALL_LOAD_RECORDS,
    TW_CALL_PEER_HEARTBEAT,
    TW_CALL_FORWARD_REQUEST,
    TW_CALL_SEND_COMMANDS,
    TW_CALL_LIST_MACHINE_TYPES,
    TW_CALL_LIST_MACHINES,
    TW_CALL_RENT_MACHINES,
    TW_CALL_RETURN_MACHINES,
    TW_CALL_FORWARD_HEARTBEAT,
    TW_CALL_WRITE_DELEGATE_KEY,
    TW_CALL_READ_DELEGATE_KEYS,
    TW_CALL_LIST_CANCELLED_JOBS,
    TW_CALL_LIST_PEER_ADMISSIONS,
    TW_CALL_WATCH_PEER_ADMISSIONS,
    TW_CALL_REMOVE_PEER_ADMISSION,
    TW_CALL_KINDS
} tw_call_kind;

/* A job's record as a transaction holds it. */
typedef struct tw_record_write {
    char id[TW_WIRE_ID_SIZE];
    uint64_t version;                       /* of the job, when the record's text was made */
    uint64_t mod_revision;                  /* that the write is conditioned on */
    int state;                              /* TW_JOB_* that the record holds */
    char chunk_set[TW_WIRE_CHUNK_SET_SIZE]; /* of a divided one */
    int chunk_count;
    size_t bytes; /* of its text */
} tw_record_write;

/* A call that was made and not answered yet. */
typedef struct tw_call {
    uint64_t id;
    tw_call_kind kind;
    double sent_at, until;
    uint64_t connection, term, sequence;
    int count, operation;
    char name[256];
    char *text;                  /* a request kept for a second way */
    char (*names)[TW_NAME_SIZE]; /* trays of a release */
    tw_record_write *records;    /* of a txn */
    uint64_t *tokens;
    UT_hash_handle hh;
} tw_call;

/* effects.c: replies to requests, and calls until their responses come. The body is taken. */
/* retry_after: seconds, 0: none. conn 0: nobody waits for the reply. */
void tw_reply(tw_core *core, uint64_t connection, int status, double retry_after, char *body);
void tw_reply_error(tw_core *core, uint64_t connection, int status, double retry_after,
                    const char *what);
/* Returns what is known of the call until its response, to be filled in. */
tw_call *tw_call_send(tw_core *core, tw_call_kind kind, tw_call_target to, const char *addr,
                      const char *method, const char *path, char *body, double timeout_s);
/* The call that a response with this status belongs to, to be freed by tw_call_free; NULL: none is
 * waited for. */
tw_call *tw_call_answered(tw_core *core, uint64_t id, int status);
void tw_call_free(tw_call *sent);
/* Logs now and then how often the state service was called: its limit is for all nodes together. */
void tw_calls_log_counts(tw_core *core);
/* Frees the calls and the effects that nobody took. */
void tw_effects_free(tw_core *core);

#endif
