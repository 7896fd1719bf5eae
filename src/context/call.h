/* Calls to the state service, the cloud, peers and workers, from their sending to their response.
 */
#ifndef TW_CONTEXT_CALL_H
#define TW_CONTEXT_CALL_H
#include "config/config.h"
#include <stdint.h>
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
    TW_CALL_WRITE_CHUNKS,
    TW_CALL_REMOVE_CHUNKS, /* of sets that no record names any more */
    TW_CALL_READ_RECORD,   /* to learn the revision of a job's record */
    TW_CALL_LOOK_UP_JOB,   /* an unknown job, for a user */
    TW_CALL_CREATE_RECORD, /* a job that a follower admits by itself */
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

/* A call that was made and not answered yet. The first group is filled in by tw_call_send; what the
 * second holds is up to the module that sent it, and is freed with the call. */
typedef struct tw_call {
    uint64_t id;
    tw_call_kind kind;
    double sent_at;
    uint64_t term; /* in which it was sent */

    uint64_t connection; /* request of a user or worker that waits for it; 0: none */
    double until;        /* how long that request may wait */
    uint64_t sequence;
    int count, operation;
    char name[256];
    char *text;                  /* a request that is kept to be sent another way */
    char (*names)[TW_NAME_SIZE]; /* of machines or tasks */
    uint64_t *tokens;            /* fencing tokens, or attempts that go with the names */
    void *data;                  /* an array of what was sent */
    UT_hash_handle hh;
} tw_call;

#endif
