/* Outstanding calls to the state service, the cloud, peers and workers. */
#ifndef TW_CONTEXT_CALL_H
#define TW_CONTEXT_CALL_H
#include "config/config.h"
#include <stdint.h>
#include <uthash.h>

/* Purpose of a call. It determines which module handles the response. */
typedef enum {
    TW_CALL_READ_LEADER,
    TW_CALL_WATCH_LEADER,
    TW_CALL_GRANT_LEASE,
    TW_CALL_ACQUIRE_LEADERSHIP,
    TW_CALL_RENEW_LEASE,
    TW_CALL_REVOKE_LEASE,
    TW_CALL_WRITE_RECORDS,
    TW_CALL_WRITE_CHUNKS,
    TW_CALL_REMOVE_CHUNKS, /* removes chunk sets that no record refers to any more */
    TW_CALL_READ_RECORD,   /* reads a job's record to learn its mod revision */
    TW_CALL_LOOK_UP_JOB,   /* reads the record of a job that a user asked for and memory lacks */
    TW_CALL_CREATE_RECORD, /* writes the record of a job that a follower admits (peer admission) */
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

/* An outstanding call. tw_call_send fills in the first group of members. The sending module uses
 * the second group as it needs; tw_call_free frees it. */
typedef struct tw_call {
    uint64_t id;
    tw_call_kind kind;
    double sent_at;
    uint64_t term; /* the context's term when the call was sent */

    uint64_t connection; /* connection of the user's or worker's request that waits; 0: none */
    double until;        /* time until which that request may wait, monotonic seconds */
    uint64_t sequence;
    int count, operation;
    char name[256];
    char *text;                  /* body of a request that may have to be sent by another path */
    char (*names)[TW_NAME_SIZE]; /* names of machines or tasks */
    uint64_t *tokens;            /* fencing tokens, or the attempt of each task in names */
    void *data;                  /* array that describes the items sent */
    UT_hash_handle hh;
} tw_call;

#endif
