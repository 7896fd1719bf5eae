/* Active and standby controllers: decides which one of several controllers manages the shard table.
 *
 * The package is a state machine around the one of the table (src/shards). Its inputs are events
 * and the current time, its outputs are effects; it does no I/O, reads no clock and has no global
 * state. The active controller holds the leader key of the state service by a lease and sends its
 * records to the standbys as numbered changes (the feed). A standby that receives no message
 * suspects that the active controller has failed and reads the key more often, but decides nothing
 * because of a suspicion. When the lease has expired at the state service, the standby writes the
 * key, whose revision is the new term (fencing), compares its view with the records and asks each
 * machine for its open epoch (checking), and only then decides.
 *
 * Invariants: at most one controller has authority at a time; a term has one controller; nothing is
 * decided before the end of checking, nor about a machine that has not answered in the term.
 * docs/standby.md compares the alternatives, proves the invariants and adds up the waiting times.
 *
 * src/daemon drives the state machine. Times are in seconds: `now` is monotonic time, `wall` the
 * time of day. The program aborts if memory can't be allocated. */
#ifndef TW_STANDBY_H
#define TW_STANDBY_H
#include "shards/shards.h"
#include "wire/wire.h"
#include <stdbool.h>

#define TW_STANDBY_ADDRESS_SIZE 64
#define TW_STANDBY_PATH_SIZE 160
#define TW_STANDBY_LOG_SIZE 200
/* The key of the state service that the active controller holds. */
#define TW_STANDBY_LEADER_KEY "traywalld/leader"

typedef enum {
    TW_STANDBY_BEHIND,     /* the view is missing or outdated; other standbys take over first */
    TW_STANDBY_FOLLOWING,  /* the view is up to date with the active controller */
    TW_STANDBY_SUSPECTING, /* the active controller is silent; its lease may still be valid */
    TW_STANDBY_FENCING,    /* the lease has expired: this node writes the key for the next term */
    TW_STANDBY_CHECKING,   /* active: this node compares its view and asks the machines */
    TW_STANDBY_DECIDING    /* active: this node decides */
} tw_standby_state;
/* Returns the name of a state as used in answers and log lines. */
const char *tw_standby_state_name(tw_standby_state state);

typedef struct {
    const char *name, *control; /* name and control address of this node; copied */
    double lease_s;             /* time to live of the leader's lease */
} tw_standby_settings;

typedef struct tw_standby tw_standby;
/* Creates a standby that drives the table. The table still belongs to the caller and must outlive
 * the standby. The caller frees the standby with tw_standby_free. */
tw_standby *tw_standby_new(const tw_standby_settings *settings, tw_shards *table, double now);
/* Frees the standby and its pending effects. NULL is allowed. */
void tw_standby_free(tw_standby *standby);

/* ---- effects ---- */

typedef enum {
    TW_STANDBY_CALL,   /* call the state service; answered by tw_standby_handle_response */
    TW_STANDBY_CHECK,  /* ask a machine for its open epoch and announce the term to it; answered by
                          tw_standby_handle_machine_status */
    TW_STANDBY_START,  /* send a machine its minimum epoch; answered by
                          tw_standby_handle_machine_status */
    TW_STANDBY_NOTIFY, /* deliver a notification of the table to an owner */
    TW_STANDBY_ANSWER, /* deliver an answer of the table to a client */
    TW_STANDBY_LOG_LINE
} tw_standby_effect_kind;

typedef struct tw_standby_effect {
    tw_standby_effect_kind kind;
    uint64_t id; /* CALL */
    const char *method;
    char path[TW_STANDBY_PATH_SIZE];
    char *body; /* CALL; NULL if the call has no body */
    char machine[TW_SHARDS_NAME];
    uint64_t term, boot_id, minimum_epoch; /* CHECK: only the term; START: all three */
    tw_shards_effect *table;               /* NOTIFY, ANSWER */
    char line[TW_STANDBY_LOG_SIZE];        /* LOG_LINE: key=value pairs */
    struct tw_standby_effect *next;
} tw_standby_effect;
/* Returns the next effect, or NULL. The caller frees it with tw_standby_effect_free. */
tw_standby_effect *tw_standby_next_effect(tw_standby *standby);
/* Frees an effect and what it owns. NULL is allowed. */
void tw_standby_effect_free(tw_standby_effect *effect);

/* ---- time, state service, clients ---- */

/* Advances the time and emits the calls and commands that are due. */
void tw_standby_tick(tw_standby *standby, double now, double wall);
/* Handles the response to the CALL `id`. status is the HTTP status, or 0 if the call got no
 * response. */
void tw_standby_handle_response(tw_standby *standby, double now, uint64_t id, int status,
                                const char *body, size_t length);
/* Passes a client's request to the table. The request is refused immediately if this node does not
 * decide. */
void tw_standby_handle_request(tw_standby *standby, double now, const tw_shards_request *request);
/* Hands leadership over to the standby `node`. The request `id` is answered OK once the lease is
 * released, or immediately with the reason if that standby can't take over. */
void tw_standby_promote(tw_standby *standby, double now, uint64_t id, const char *node);
/* Stops deciding and releases the lease, as in an orderly shutdown. */
void tw_standby_resign(tw_standby *standby, double now);
/* Returns whether this node has authority at that time and decides, so that it may answer for the
 * table. */
bool tw_standby_decides(tw_standby *standby, double now);
/* Begins or ends the term according to the authority at that time. Must be called with the current
 * time before anything is sent. */
void tw_standby_update_authority(tw_standby *standby, double now);

/* ---- machines ---- */

/* The state of a machine's guard, from its answer to a CHECK or START that it accepted or refused.
 */
typedef struct {
    uint64_t term, boot_id, minimum_epoch;
    uint64_t newest_epoch; /* newest epoch that the machine has opened */
    bool started;          /* whether the machine has its minimum epoch */
    int running;           /* requests that the machine is serving */
} tw_standby_machine_status;
/* Handles a machine's answer to the CHECK or START of that term. answer is NULL if the machine did
 * not answer. */
void tw_standby_handle_machine_status(tw_standby *standby, double now, const char *machine,
                                      uint64_t term, const tw_standby_machine_status *answer);

/* ---- the feed, from the active controller to the standbys ---- */

/* The position of a standby in the feed. */
typedef struct {
    uint64_t term, number;        /* of the last change received; 0 if none was received */
    char after[TW_WIRE_KEY_SIZE]; /* within a snapshot: the last key received; otherwise "" */
    uint64_t snapshot_number;     /* number of the change at which the snapshot began */
} tw_standby_position;

typedef enum {
    TW_STANDBY_DENIED,    /* the sender does not decide */
    TW_STANDBY_HEARTBEAT, /* there is no change after the position */
    TW_STANDBY_CHANGE,    /* the change after the position */
    TW_STANDBY_SNAPSHOT   /* the next part of a snapshot of all records */
} tw_standby_message_kind;

typedef struct {
    tw_standby_message_kind kind;
    uint64_t term;           /* term of the sender; DENIED: the newest term that it knows */
    uint64_t number;         /* CHANGE: number of this change; SNAPSHOT: number of the change at
                                which the snapshot began; HEARTBEAT: number of the newest change */
    uint64_t store_revision; /* revision of the state service that the view reflects */
    uint64_t digest;         /* HEARTBEAT, CHANGE: digest of all records after change `number` */
    tw_wire_entry *entries;  /* an entry without a value is removed */
    int count;
    bool more;                      /* SNAPSHOT: further parts follow */
    char after[TW_WIRE_KEY_SIZE];   /* SNAPSHOT: the part begins after this key */
    char successor[TW_SHARDS_NAME]; /* DENIED: node that is to take over; "" if any node may */
} tw_standby_message;
/* Frees the entries of a message. */
void tw_standby_message_free(tw_standby_message *message);

/* Returns the active controller's message for a follower at that position. The caller frees it with
 * tw_standby_message_free. */
tw_standby_message tw_standby_build_message(tw_standby *standby, double now,
                                            const tw_standby_position *position);
/* Records the last change that a follower reports to have. Only a report shows that the follower is
 * alive: its feed connection accepts messages even while its process is suspended. */
void tw_standby_update_follower(tw_standby *standby, double now, const char *follower,
                                uint64_t term, uint64_t number);
/* Moves the position past a message. */
void tw_standby_advance(tw_standby_position *position, const tw_standby_message *message);
/* Returns the position of this standby in the feed. */
tw_standby_position tw_standby_position_of(const tw_standby *standby);
/* Applies a message of the feed at a standby. Returns 0 if the message does not continue from the
 * standby's position; the feed must then be reopened at tw_standby_position_of. */
int tw_standby_apply_message(tw_standby *standby, double now, const tw_standby_message *message);

/* ---- status, for operators and tests ---- */

typedef struct {
    tw_standby_state state;
    uint64_t term, number, store_revision, digest;
    uint64_t lag;         /* changes of the active controller that this node lacks */
    int quarantined;      /* machines that have not answered */
    int records;          /* records in the view */
    long differences;     /* differences between view, records and machines at the last takeover */
    long snapshots, gaps; /* snapshots received and gaps found in the feed since the start */
} tw_standby_status;
/* Returns the status of this node at that time. */
tw_standby_status tw_standby_status_of(tw_standby *standby, double now);

typedef struct {
    char name[TW_SHARDS_NAME];
    uint64_t lag;    /* changes that the follower lacks */
    double silent_s; /* time since its last report */
} tw_standby_follower_status;
/* Returns an array of the active controller's followers and sets *count to their number. The caller
 * frees the array with free. */
tw_standby_follower_status *tw_standby_followers(const tw_standby *standby, double now, int *count);

/* Copies the control address of the active controller, or "" if it is unknown or silent, and sets
 * *retry_after_s to the time after which to ask again, or to 0 if the address is known. */
void tw_standby_leader(tw_standby *standby, double now, char control[TW_STANDBY_ADDRESS_SIZE],
                       double *retry_after_s);
/* Returns the control address of the holder of the key, whether or not it is suspected, or "" if
 * there is none. This node reads its feed and sends its reports there. The text belongs to the
 * standby. */
const char *tw_standby_active_address(const tw_standby *standby);

#endif
