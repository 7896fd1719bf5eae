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
    K_LEADER_GET,
    K_LEADER_WATCH,
    K_GRANT,
    K_ACQUIRE,
    K_RENEW,
    K_GRANT_DEL,
    K_TXN,
    K_PARTS,        /* slices of a record */
    K_PARTS_REMOVE, /* of sets that no record names any more */
    K_JOB_READ,     /* to settle a job's stamp */
    K_LOOKUP,       /* an unknown job, for a user */
    K_CREATE,       /* a follower's own accept */
    K_LOAD,
    K_PING,
    K_PROXY,
    K_ORDERS,
    K_FLAVORS,
    K_LIST,
    K_RENT,
    K_RELEASE,
    K_RELAY,
    K_DEPUTY,
    K_DEPUTIES,
    K_DEP_JOBS,
    K_ACCEPTED_LIST,
    K_ACCEPTED,
    K_ACCEPTED_REMOVE,
    K_KINDS
} call_kind;

/* A job's record as a transaction holds it. */
typedef struct job_write {
    char id[TW_WIRE_ID_SIZE];
    uint64_t version;                       /* of the job, when the record's text was made */
    uint64_t mod_revision;                  /* that the write is conditioned on */
    int state;                              /* TW_JOB_* that the record holds */
    char chunk_set[TW_WIRE_CHUNK_SET_SIZE]; /* of a divided one */
    int chunk_count;
    size_t bytes; /* of its text */
} job_write;

/* A call that was made and not answered yet. */
typedef struct call {
    uint64_t id;
    call_kind kind;
    double sent_at, until;
    uint64_t connection, term, sequence;
    int count, operation;
    char name[256];
    char *text;                  /* a request kept for a second way */
    char (*names)[TW_NAME_SIZE]; /* trays of a release */
    job_write *records;          /* of a txn */
    uint64_t *tokens;
    UT_hash_handle hh;
} call;

/* effects.c: replies to requests, and calls until their responses come. The body is taken. */
/* retry_after: seconds, 0: none. conn 0: nobody waits for the reply. */
void tw_reply(tw_core *core, uint64_t conn, int status, double retry_after, char *body);
void tw_reply_error(tw_core *core, uint64_t conn, int status, double retry_after, const char *what);
/* Returns what is known of the call until its response, to be filled in. */
call *tw_call(tw_core *core, call_kind kind, tw_fx_target to, const char *addr, const char *method,
              const char *path, char *body, double timeout_s);
/* The call that a response with this status belongs to, to be freed by tw_call_free; NULL: none is
 * waited for. */
call *tw_call_answered(tw_core *core, uint64_t id, int status);
void tw_call_free(call *sent);
/* Logs now and then how often the state service was called: its limit is for all nodes together. */
void tw_calls_log(tw_core *core);
/* Frees the calls and the effects that nobody took. */
void tw_effects_free(tw_core *core);

#endif
