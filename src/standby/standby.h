/* Active and standby controllers: which one of several keeps the table of shares.
 *
 * A state machine around the table's (src/shards), inputs and time in, effects out; no I/O, clock
 * or global state. The active controller holds the leader's key of the state service by a lease and
 * feeds its records to the standbys as numbered changes. A standby that hears nothing suspects the
 * active one and polls the key; it decides nothing on suspicion. Once the state service has let the
 * lease end, it records its own term (fencing), compares its view with the records and asks each
 * machine what it has open (checking), and only then decides.
 *
 * Invariants: at most one controller has authority at a time; a term has one controller; nothing is
 * decided before checking, nor about a machine that has not answered under the term.
 * docs/standby.md has the ways weighed, the proof and the sum of waits. Times are in seconds. */
#ifndef TW_STANDBY_H
#define TW_STANDBY_H
#include "shards/shards.h"
#include "wire/wire.h"
#include <stdbool.h>

#define TW_STANDBY_ADDRESS 64
#define TW_STANDBY_PATH 160
#define TW_STANDBY_LOG 200
#define TW_STANDBY_KEY "traywalld/leader"

typedef enum {
    TW_STANDBY_BEHIND,     /* its view is missing or old; others are preferred */
    TW_STANDBY_FOLLOWING,  /* its view is the active one's */
    TW_STANDBY_SUSPECTING, /* the active one is silent; its lease may last */
    TW_STANDBY_FENCING,    /* the lease is over: records the next term */
    TW_STANDBY_CHECKING,   /* active; compares its view and asks the machines */
    TW_STANDBY_DECIDING    /* active */
} tw_standby_state;
const char *tw_standby_state_name(tw_standby_state state);

typedef struct {
    const char *name, *control; /* of this node; copied */
    double lease_s;
} tw_standby_settings;

typedef struct tw_standby tw_standby;
/* The table is driven by the standby from now on; it still belongs to the caller. */
tw_standby *tw_standby_new(const tw_standby_settings *settings, tw_shards *table, double now);
void tw_standby_free(tw_standby *standby);

/* ---- effects ---- */

typedef enum {
    TW_STANDBY_CALL,   /* to the state service; answer with tw_standby_answered */
    TW_STANDBY_CHECK,  /* to a machine: asks what it has open, and announces the term */
    TW_STANDBY_START,  /* to a machine: its floor; answer both with tw_standby_machine_answered */
    TW_STANDBY_NOTIFY, /* to an owner, of the table */
    TW_STANDBY_ANSWER, /* to a client, of the table */
    TW_STANDBY_LOG_LINE
} tw_standby_effect_kind;

typedef struct tw_standby_effect {
    tw_standby_effect_kind kind;
    uint64_t id; /* CALL */
    const char *method;
    char path[TW_STANDBY_PATH];
    char *body; /* CALL; NULL: none */
    char machine[TW_SHARDS_NAME];
    uint64_t term, boot_id, minimum_epoch; /* CHECK: term; START */
    tw_shards_effect *table;               /* TELL, ANSWER */
    char line[TW_STANDBY_LOG];             /* LOG_LINE: key=value */
    struct tw_standby_effect *next;
} tw_standby_effect;
/* The next effect, or NULL; free it with tw_standby_effect_free. */
tw_standby_effect *tw_standby_next(tw_standby *standby);
void tw_standby_effect_free(tw_standby_effect *effect);

/* ---- time, state service, clients ---- */

void tw_standby_tick(tw_standby *standby, double now, double wall);
/* status 0: no answer. */
void tw_standby_answered(tw_standby *standby, double now, uint64_t id, int status, const char *body,
                         size_t length);
/* A client's request to the table. Refused at once where this node does not decide. */
void tw_standby_request(tw_standby *standby, double now, const tw_shards_request *request);
/* Hands over to a standby: OK is answered once the lease is given back. */
void tw_standby_promote(tw_standby *standby, double now, uint64_t id, const char *node);
/* Stops deciding and gives the lease back, as at an ordered end. */
void tw_standby_resign(tw_standby *standby, double now);
/* Judged by the time given: whether this node may answer for the table. */
bool tw_standby_decides(tw_standby *standby, double now);
/* Ends the term where authority is over; to be called with the time before anything is sent. */
void tw_standby_refresh(tw_standby *standby, double now);

/* ---- machines ---- */

/* What a machine has, by its answer to CHECK or START, taken or refused. */
typedef struct {
    uint64_t term, boot_id, minimum_epoch, newest;
    int started, running;
} tw_standby_machine_status;
/* answer NULL: none came. */
void tw_standby_machine_answered(tw_standby *standby, double now, const char *machine,
                                 uint64_t term, const tw_standby_machine_status *answer);

/* ---- the feed: active to standbys ---- */

/* What a standby has. */
typedef struct {
    uint64_t term, number;        /* of the last change it has; 0: nothing */
    char after[TW_WIRE_KEY_SIZE]; /* within a snapshot: the last key it has; else "" */
    uint64_t snapshot_number;     /* number at which the snapshot began */
} tw_standby_position;

typedef enum {
    TW_STANDBY_DENIED,    /* this node does not decide */
    TW_STANDBY_HEARTBEAT, /* there is no change after the position */
    TW_STANDBY_CHANGE,    /* the change after the position */
    TW_STANDBY_SNAPSHOT   /* the next part of all records */
} tw_standby_message_kind;

typedef struct {
    tw_standby_message_kind kind;
    uint64_t term;           /* of the sender; DENIED: the newest it knows */
    uint64_t number;         /* CHANGE: its own; SNAPSHOT: at which it began; else newest */
    uint64_t store_revision; /* revision of the state service that the view is of */
    uint64_t digest;         /* HEARTBEAT, CHANGE: of all records after it */
    tw_wire_entry *entries;  /* data NULL: removed */
    int count;
    bool more;                      /* SNAPSHOT: further parts follow */
    char after[TW_WIRE_KEY_SIZE];   /* SNAPSHOT: the part begins after this key */
    char successor[TW_SHARDS_NAME]; /* DENIED: who is to be active next; "": whoever comes first */
} tw_standby_message;
void tw_standby_message_free(tw_standby_message *message);

/* At the active one: the message for a follower at that position. */
tw_standby_message tw_standby_serve(tw_standby *standby, double now,
                                    const tw_standby_position *position);
/* A follower said itself what it has. That its feed is read is no sign of life: the connection
 * takes messages for a process that stands still. */
void tw_standby_heard(tw_standby *standby, double now, const char *follower, uint64_t term,
                      uint64_t number);
/* The position after a message was taken. */
void tw_standby_advance(tw_standby_position *position, const tw_standby_message *message);
/* At a standby: what it has, and a message that came. Returns 0 where the next message must be
 * asked for by tw_standby_position_of, since the one that came does not follow. */
tw_standby_position tw_standby_position_of(const tw_standby *standby);
int tw_standby_take(tw_standby *standby, double now, const tw_standby_message *message);

/* ---- for operators and tests ---- */

typedef struct {
    tw_standby_state state;
    uint64_t term, number, store_revision, digest;
    uint64_t lag;         /* changes that the active one has more */
    int quarantined;      /* machines that have not answered */
    int records;          /* in the view */
    long differences;     /* between view, records and machines, at the last takeover */
    long snapshots, gaps; /* taken, found in the feed, since the start */
} tw_standby_status;
tw_standby_status tw_standby_status_of(tw_standby *standby, double now);

typedef struct {
    char name[TW_SHARDS_NAME];
    uint64_t lag;
    double silent_s;
} tw_standby_follower_status;
/* The followers of this node, as active one; *count of them; the caller frees them. */
tw_standby_follower_status *tw_standby_followers(const tw_standby *standby, double now, int *count);

/* Control address of the active one; "": not known, or silent. *retry_after_s: when to ask again.
 */
void tw_standby_leader(tw_standby *standby, double now, char control[TW_STANDBY_ADDRESS],
                       double *retry_after_s);
/* Where to follow and report: the holder of the key, suspected or not; "": none. */
const char *tw_standby_active(const tw_standby *standby);

#endif
