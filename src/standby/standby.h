/* Active and standby controllers: which one of several keeps the table of shards.
 *
 * A state machine around that of the table (src/shards). Inputs and the time go in, effects come
 * out; it does no I/O, reads no clock and has no global state. The active controller holds the
 * leader's key of the state service by a lease and feeds its records to the standbys as numbered
 * changes. A standby that hears nothing suspects the active one and polls the key; it decides
 * nothing on suspicion. Once the state service has let the lease end, it records its own term
 * (fencing), compares its view with the records and asks each machine what it has open (checking),
 * and only then decides.
 *
 * Invariants: at most one controller has authority at a time; a term has one controller; nothing is
 * decided before checking, nor about a machine that has not answered under the term.
 * docs/standby.md has the ways weighed, the proof and the sum of waits.
 *
 * src/daemon drives it. Times are in seconds: `now` is steady, `wall` the time of day. Memory that
 * can't be had ends the program. */
#ifndef TW_STANDBY_H
#define TW_STANDBY_H
#include "shards/shards.h"
#include "wire/wire.h"
#include <stdbool.h>

#define TW_STANDBY_ADDRESS_SIZE 64
#define TW_STANDBY_PATH_SIZE 160
#define TW_STANDBY_LOG_SIZE 200
/* The leader's key in the state service. */
#define TW_STANDBY_LEADER_KEY "traywalld/leader"

typedef enum {
    TW_STANDBY_BEHIND,     /* its view is missing or old; other standbys are preferred */
    TW_STANDBY_FOLLOWING,  /* its view is that of the active controller */
    TW_STANDBY_SUSPECTING, /* the active controller is silent; its lease may last */
    TW_STANDBY_FENCING,    /* the lease has expired: this node records the next term */
    TW_STANDBY_CHECKING,   /* active: it compares its view and asks the machines */
    TW_STANDBY_DECIDING    /* active: it decides */
} tw_standby_state;
/* The word for a state, as it stands in answers and log lines. */
const char *tw_standby_state_name(tw_standby_state state);

typedef struct {
    const char *name, *control; /* of this node: its name and control address; copied */
    double lease_s;             /* time to live of the leader's lease */
} tw_standby_settings;

typedef struct tw_standby tw_standby;
/* Makes a standby that drives the table from now on. The table still belongs to the caller and must
 * outlive the standby. Free it with tw_standby_free. */
tw_standby *tw_standby_new(const tw_standby_settings *settings, tw_shards *table, double now);
/* Frees the standby and the effects that were not taken. NULL is allowed. */
void tw_standby_free(tw_standby *standby);

/* ---- effects ---- */

typedef enum {
    TW_STANDBY_CALL,   /* to the state service; answer with tw_standby_handle_response */
    TW_STANDBY_CHECK,  /* to a machine: asks what it has open, and announces the term */
    TW_STANDBY_START,  /* to a machine: its minimum epoch; answer both with
                          tw_standby_handle_machine_status */
    TW_STANDBY_NOTIFY, /* to an owner, of the table */
    TW_STANDBY_ANSWER, /* to a client, of the table */
    TW_STANDBY_LOG_LINE
} tw_standby_effect_kind;

typedef struct tw_standby_effect {
    tw_standby_effect_kind kind;
    uint64_t id; /* CALL */
    const char *method;
    char path[TW_STANDBY_PATH_SIZE];
    char *body; /* CALL; NULL: none */
    char machine[TW_SHARDS_NAME];
    uint64_t term, boot_id, minimum_epoch; /* CHECK: term; START */
    tw_shards_effect *table;               /* TELL, ANSWER */
    char line[TW_STANDBY_LOG_SIZE];        /* LOG_LINE: key=value */
    struct tw_standby_effect *next;
} tw_standby_effect;
/* The next effect, or NULL. The caller frees it with tw_standby_effect_free. */
tw_standby_effect *tw_standby_next_effect(tw_standby *standby);
/* Frees an effect and what it holds. NULL is allowed. */
void tw_standby_effect_free(tw_standby_effect *effect);

/* ---- time, state service, clients ---- */

/* Lets time pass: makes the calls and commands that are due. */
void tw_standby_tick(tw_standby *standby, double now, double wall);
/* Takes the answer to the CALL `id`. status: of HTTP; 0: no answer came. */
void tw_standby_handle_response(tw_standby *standby, double now, uint64_t id, int status,
                                const char *body, size_t length);
/* Passes a client's request to the table. It is refused at once where this node does not decide. */
void tw_standby_handle_request(tw_standby *standby, double now, const tw_shards_request *request);
/* Hands leadership over to the standby `node`. The request `id` is answered OK once the lease is
 * given back, and with the reason at once where that standby can't take over. */
void tw_standby_promote(tw_standby *standby, double now, uint64_t id, const char *node);
/* Stops deciding and gives the lease back, as at an ordered end. */
void tw_standby_resign(tw_standby *standby, double now);
/* Whether this node may answer for the table, judged by the time given. */
bool tw_standby_decides(tw_standby *standby, double now);
/* Ends the term where authority is over. It is called with the time before anything is sent. */
void tw_standby_update_authority(tw_standby *standby, double now);

/* ---- machines ---- */

/* The guard of a machine, by its answer to CHECK or START, taken or refused. */
typedef struct {
    uint64_t term, boot_id, minimum_epoch, newest;
    bool started; /* whether it has its minimum epoch */
    int running;  /* requests that run there */
} tw_standby_machine_status;
/* Takes a machine's answer to the CHECK or START of that term. NULL: no answer came. */
void tw_standby_handle_machine_status(tw_standby *standby, double now, const char *machine,
                                      uint64_t term, const tw_standby_machine_status *answer);

/* ---- the feed: active to standbys ---- */

/* The place of a standby in the feed. */
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
/* Frees the entries of a message. */
void tw_standby_message_free(tw_standby_message *message);

/* At the active controller: the message for a follower at that position. The caller frees it with
 * tw_standby_message_free. */
tw_standby_message tw_standby_build_message(tw_standby *standby, double now,
                                            const tw_standby_position *position);
/* A follower reports the last change that it has. That its feed is read is no sign of life: the
 * connection takes messages for a process that stands still. */
void tw_standby_update_follower(tw_standby *standby, double now, const char *follower,
                                uint64_t term, uint64_t number);
/* The position after a message was taken. */
void tw_standby_advance(tw_standby_position *position, const tw_standby_message *message);
/* At a standby: its place in the feed. */
tw_standby_position tw_standby_position_of(const tw_standby *standby);
/* At a standby: takes a message of the feed. Returns 0 where the message does not follow on what
 * the standby has: the next one must then be asked for by tw_standby_position_of. */
int tw_standby_apply_message(tw_standby *standby, double now, const tw_standby_message *message);

/* ---- for operators and tests ---- */

typedef struct {
    tw_standby_state state;
    uint64_t term, number, store_revision, digest;
    uint64_t lag;         /* changes of the active controller that this node lacks */
    int quarantined;      /* machines that have not answered */
    int records;          /* in the view */
    long differences;     /* between view, records and machines, at the last takeover */
    long snapshots, gaps; /* taken, found in the feed, since the start */
} tw_standby_status;
/* The status of this node, judged by the time given. */
tw_standby_status tw_standby_status_of(tw_standby *standby, double now);

typedef struct {
    char name[TW_SHARDS_NAME];
    uint64_t lag;    /* changes that it lacks */
    double silent_s; /* since it reported last */
} tw_standby_follower_status;
/* The followers of this node as the active controller, *count of them. The caller frees the array
 * with free. */
tw_standby_follower_status *tw_standby_followers(const tw_standby *standby, double now, int *count);

/* Copies the control address of the active controller; "": it is not known, or silent.
 * *retry_after_s: seconds after which to ask again; 0 where the address is known. */
void tw_standby_leader(tw_standby *standby, double now, char control[TW_STANDBY_ADDRESS_SIZE],
                       double *retry_after_s);
/* The control address of the holder of the key, suspected or not, where this node follows and
 * reports; "": there is none. It belongs to the standby. */
const char *tw_standby_active_address(const tw_standby *standby);

#endif
