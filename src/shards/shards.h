/* Shards: named sets of machines, each with one owner. Machines move between shards while their
 * work runs.
 *
 * The package contains three state machines. Each takes inputs together with the current time and
 * returns effects; none of them does I/O, reads a clock or has global state.
 *
 *   leader (tw_shards_*)        keeps the table in the state service and is its only writer
 *   owner  (tw_shards_owner_*)  sends requests to the machines of its shards, under their epochs
 *   guard  (tw_shards_guard_*)  runs on a machine; rejects all epochs but the newest opened,
 *                               and commands of terms that have ended
 *
 * Epochs are assigned from one counter for all shards, so of two epochs of a machine the later one
 * is greater. A term is the mod revision of the leader's key: of two leaders the later one has the
 * greater term. Each command to a machine carries the term of the notification that caused it.
 *
 * Invariants: the epoch of a machine never decreases; an epoch of a machine belongs to one owner;
 * owners are notified only of recorded changes. docs/shards.md contains the protocol and the
 * proof.
 *
 * src/standby drives the leader and src/daemon drives the owner; guards run on the machines
 * (emulator/ contains a simulated machine). A name has at most TW_SHARDS_NAME - 1 bytes. Times are
 * in seconds: `now` is from the monotonic clock, `wall` is the time of day. The process aborts if
 * a memory allocation fails. */
#ifndef TW_SHARDS_H
#define TW_SHARDS_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Size of a name in bytes, including the terminating zero. */
#define TW_SHARDS_NAME 64

/* The state of a machine as it passes from one owner to the next. Within one epoch a machine only
 * moves to a later state of this list. */
typedef enum {
    TW_SHARDS_ABSENT,   /* the machine does not exist */
    TW_SHARDS_TAKEN,    /* assigned to an owner, which must open it under its epoch first */
    TW_SHARDS_OPEN,     /* accepts requests of its owner */
    TW_SHARDS_DRAINING, /* gets no new requests; running ones end, or are moved at the deadline */
    TW_SHARDS_RELEASED  /* has no owner until it is taken under the next epoch */
} tw_shards_state;
/* Returns the name of a state as written in records and answers. */
const char *tw_shards_state_name(tw_shards_state state);

/* The result of a request to the leader. */
typedef enum {
    TW_SHARDS_OK,
    TW_SHARDS_NOT_LEADER,
    TW_SHARDS_STALE_REVISION, /* the table has changed since the client read it */
    TW_SHARDS_UNKNOWN_SHARD,
    TW_SHARDS_UNKNOWN_MACHINE, /* the machine does not exist or is not in the source shard */
    TW_SHARDS_BELOW_LEAST,     /* the shard would have fewer machines than its minimum */
    TW_SHARDS_BUSY,            /* another move holds these machines, or they are not open yet */
    TW_SHARDS_NO_FIT,          /* too few machines of the shard may be moved */
    TW_SHARDS_KEY_REUSED,      /* the key was used before for a different move */
    TW_SHARDS_UNKNOWN_MOVE,
    TW_SHARDS_INVALID,
    TW_SHARDS_TOO_LARGE,   /* the record would exceed the limits of the state service */
    TW_SHARDS_OVERLOADED,  /* too many requests are queued; the client retries later */
    TW_SHARDS_QUARANTINED, /* machines that the move needs have not answered this leader yet */
    /* Verdicts on promotions: */
    TW_SHARDS_UNKNOWN_NODE,
    TW_SHARDS_NOT_FOLLOWING, /* the node has sent no report recently */
    TW_SHARDS_BEHIND         /* the node has not received all changes */
} tw_shards_verdict;
/* Returns the name of a verdict as written in answers. */
const char *tw_shards_verdict_name(tw_shards_verdict verdict);

typedef struct {
    double drain_s;     /* longest time that requests keep running on a machine being moved */
    double grace_s;     /* additional time to wait for an owner that does not report DRAINED */
    double retry_s;     /* interval between retries of unanswered messages and calls */
    size_t value_bytes; /* largest value that the state service accepts */
    int txn_ops;        /* maximum number of changes in one transaction, at least 4 */
    double write_rps;   /* maximum number of changes per second that the table may write */
} tw_shards_settings;

/* ---- leader ---- */

/* Kinds of requests to the leader. */
typedef enum {
    TW_SHARDS_DEFINE, /* creates a shard, or changes its owner, minimum size or spread */
    TW_SHARDS_ADD,    /* adds a machine to a shard; renews it if it is already known */
    TW_SHARDS_REMOVE, /* removes a machine */
    TW_SHARDS_RENEW,  /* assigns the next epoch to a machine that has restarted */
    TW_SHARDS_MOVE,   /* moves machines from one shard to another */
    TW_SHARDS_CANCEL, /* cancels a move; machines that are not taken yet are returned */
    TW_SHARDS_WATCH   /* requests the progress of a move */
} tw_shards_request_kind;

/* A request to the leader. The comments list the kinds of requests that use a member. */
typedef struct {
    tw_shards_request_kind kind;
    uint64_t id;                /* copied to the answer */
    char shard[TW_SHARDS_NAME]; /* DEFINE, ADD: the shard; MOVE: the source shard */
    char owner[TW_SHARDS_NAME]; /* DEFINE */
    int least;                  /* DEFINE: number of machines that moves leave in the shard */
    bool spread;                /* DEFINE: moves leave at least one machine in each of its zones */
    char machine[TW_SHARDS_NAME], zone[TW_SHARDS_NAME]; /* ADD: both; REMOVE, RENEW: the machine */
    char key[TW_SHARDS_NAME];                           /* MOVE, CANCEL, WATCH */
    char to[TW_SHARDS_NAME];                            /* MOVE: the target shard */
    char image[TW_SHARDS_NAME]; /* MOVE: prefer machines that hold this image; "": no preference */
    int count;                  /* MOVE: number of machines, if none are named */
    char (*machines)[TW_SHARDS_NAME]; /* MOVE: names of the machines to move; NULL: any */
    int machine_count;                /* number of names in `machines` */
    uint64_t revision;                /* MOVE: table revision that the client has read; 0: any */
} tw_shards_request;

/* The progress of a move, in numbers of machines. */
typedef struct {
    bool done;                             /* the move has ended */
    int wanted, draining, released, taken; /* machines requested; of these, by state */
    int moved, returned, lost;             /* opened in the target, returned, removed meanwhile */
} tw_shards_progress;

typedef enum {
    TW_SHARDS_READ,   /* list keys after `text`; answer: tw_shards_handle_page */
    TW_SHARDS_WRITE,  /* send the transaction `text`; answer: tw_shards_handle_outcome */
    TW_SHARDS_NOTIFY, /* send an owner the state of a machine */
    TW_SHARDS_ANSWER  /* send the answer to a request */
} tw_shards_effect_kind;

/* A notification to an owner: the state of one of its machines. */
typedef struct {
    char owner[TW_SHARDS_NAME], shard[TW_SHARDS_NAME], machine[TW_SHARDS_NAME];
    tw_shards_state state;
    uint64_t epoch;
    uint64_t term;  /* term of the leader that sends it */
    double drain_s; /* DRAINING: time left until the deadline */
} tw_shards_notification;

typedef struct tw_shards_effect {
    tw_shards_effect_kind kind;
    uint64_t id; /* WRITE, READ: id of the call; ANSWER: id of the request */
    char *text;  /* READ: key after which the list starts, "": the first key; WRITE: body */
    int ops;     /* WRITE: number of changes */
    tw_shards_notification notification; /* NOTIFY */
    tw_shards_verdict verdict;           /* ANSWER */
    tw_shards_progress progress;         /* ANSWER to MOVE, CANCEL, WATCH */
    uint64_t revision;                   /* ANSWER: revision of the table */
    /* ANSWER to ADD, RENEW: last epoch assigned before the transaction, which is the minimum epoch
     * of the machine's guard */
    uint64_t minimum_epoch;
    struct tw_shards_effect *next;
} tw_shards_effect;

/* Prefix of all keys of the table in the state service. */
#define TW_SHARDS_PREFIX "shares/"
/* Number of keys requested in one READ. */
#define TW_SHARDS_PAGE 500

/* The outcome of a transaction. */
typedef enum {
    TW_SHARDS_APPLIED,
    TW_SHARDS_REFUSED,      /* a compare failed, or the state service rejected the transaction */
    TW_SHARDS_NOT_EXECUTED, /* not executed: rate limit reached, or the state service failed */
    TW_SHARDS_UNKNOWN       /* no answer: the transaction may have been executed, or may be later */
} tw_shards_outcome;

typedef struct tw_shards tw_shards;

/* Creates a table for a node that does not lead yet. The settings are copied. Free it with
 * tw_shards_free. */
tw_shards *tw_shards_new(const tw_shards_settings *settings);
/* Frees the table and all pending effects. NULL is allowed. */
void tw_shards_free(tw_shards *shards);

/* Begins a term: this node holds the leader's key at mod revision `token`. Every write compares
 * the mod revision of that key. The table is read again. */
void tw_shards_begin_term(tw_shards *shards, double now, const char *leader_key, uint64_t token);
/* Sets the time until which no other node can lead. The leader answers requests only until then: a
 * rejection needs no write, so a deposed leader could otherwise reject a request because of an
 * outdated table. */
void tw_shards_set_authority(tw_shards *shards, double until);
/* Allows decisions; until this call the leader only reads the table. The machines of the table
 * start the term in quarantine, each until tw_shards_confirm_machine is called for it: a machine
 * that has not answered in this term may still accept commands of an earlier one. */
void tw_shards_allow_decisions(tw_shards *shards, double now);
/* Ends the quarantine of a machine after it has answered in this term. Unknown names are ignored.
 */
void tw_shards_confirm_machine(tw_shards *shards, double now, const char *machine);
/* Returns whether the table has been read and decisions are allowed. */
bool tw_shards_is_deciding(const tw_shards *shards);
/* Returns the number of machines in quarantine. */
int tw_shards_quarantined_count(const tw_shards *shards);
/* Ends the term: answers all pending requests with NOT_LEADER and clears the table. */
void tw_shards_end_term(tw_shards *shards);

/* Adds a request, which is copied. Each request gets exactly one ANSWER. */
void tw_shards_add_request(tw_shards *shards, double now, const tw_shards_request *request);
/* Handles the answer to the READ `id`: a list of the state service as JSON text of `length` bytes.
 * NULL: no answer; the READ is retried after retry_s. */
void tw_shards_handle_page(tw_shards *shards, double now, uint64_t id, const char *text,
                           size_t length);
/* Handles the outcome of the WRITE `id`. revision: store revision of an APPLIED transaction. */
void tw_shards_handle_outcome(tw_shards *shards, double now, uint64_t id, tw_shards_outcome outcome,
                              uint64_t revision);

/* Messages of an owner. If the owner does not hold the machine under this epoch, it is notified
 * that the machine is RELEASED. */

/* The owner reports that none of its requests runs on the machine any more. */
void tw_shards_report_drained(tw_shards *shards, const char *owner, const char *machine,
                              uint64_t epoch);
/* The owner reports that the machine has confirmed the epoch. */
void tw_shards_report_opened(tw_shards *shards, const char *owner, const char *machine,
                             uint64_t epoch);
/* Notifies the owner of the states of all its machines, as it requested. */
void tw_shards_send_owner_states(tw_shards *shards, const char *owner);

/* Hints for choosing machines. Unknown machines are ignored. */

/* Sets the number of requests that run on the machine. */
void tw_shards_set_machine_load(tw_shards *shards, const char *machine, int running);
/* Sets whether the machine holds an image. */
void tw_shards_set_image_held(tw_shards *shards, const char *machine, const char *image, int holds);

/* Advances the time: retries unanswered calls and notifications, and begins the steps that are
 * due. */
void tw_shards_tick(tw_shards *shards, double now, double wall);
/* Returns the next effect, or NULL. The caller frees it with tw_shards_effect_free. */
tw_shards_effect *tw_shards_next_effect(tw_shards *shards);
/* Frees an effect and its text. NULL is allowed. */
void tw_shards_effect_free(tw_shards_effect *effect);

/* The recorded table, as this node has read it. */

/* Returns whether this node leads and has read the table. */
bool tw_shards_is_ready(const tw_shards *shards);
/* Returns the revision of the table, which increases with each change to a shard and each new
 * move. */
uint64_t tw_shards_revision(const tw_shards *shards);
/* Returns the number of shards; their indexes begin at 0. */
int tw_shards_shard_count(const tw_shards *shards);

/* A shard as shown to operators. */
typedef struct {
    char name[TW_SHARDS_NAME], owner[TW_SHARDS_NAME];
    int least, spread;         /* minimum size and spread, as in a DEFINE request */
    int open, taken, draining; /* numbers of machines in these states */
} tw_shards_shard_view;
/* Returns the shard with an index from 0 to tw_shards_shard_count - 1. */
tw_shards_shard_view tw_shards_shard_at(const tw_shards *shards, int shard);

/* Returns the number of machine indexes, which begin at 0. A machine of an index may be ABSENT. */
int tw_shards_machine_count(const tw_shards *shards);
/* Returns the state of the machine with this index. An ABSENT machine has no name. */
tw_shards_notification tw_shards_machine_at(const tw_shards *shards, int index);
/* Returns the state of the machine with this name; ABSENT if there is none. */
tw_shards_notification tw_shards_machine_named(const tw_shards *shards, const char *name);

/* ---- owner ---- */

typedef enum {
    TW_SHARDS_OWNER_SYNC,    /* to the leader: request the states of all machines of the owner */
    TW_SHARDS_OWNER_DRAINED, /* to the leader: no request runs on the machine any more */
    TW_SHARDS_OWNER_OPENED,  /* to the leader: the machine has confirmed the epoch */
    TW_SHARDS_OWNER_OPEN,    /* to the machine: open; answer: tw_shards_owner_confirm_open */
    TW_SHARDS_OWNER_STOP     /* to the owner itself: end or move its requests on the machine */
} tw_shards_owner_effect_kind;

typedef struct tw_shards_owner_effect {
    tw_shards_owner_effect_kind kind;
    char machine[TW_SHARDS_NAME];
    uint64_t epoch;
    uint64_t term; /* OPEN, STOP: term of the notification that caused the command */
    struct tw_shards_owner_effect *next;
} tw_shards_owner_effect;

typedef struct tw_shards_owner tw_shards_owner;
/* Creates an owner without machines. retry_s: interval in seconds between retries of a message
 * until the state of the machine changes. Free it with tw_shards_owner_free. */
tw_shards_owner *tw_shards_owner_new(double retry_s);
/* Frees the owner and all pending effects. NULL is allowed. */
void tw_shards_owner_free(tw_shards_owner *owner);
/* Handles a notification of the leader. It is ignored if the owner knows a later state of the
 * machine or a later term. */
void tw_shards_owner_handle_notification(tw_shards_owner *owner, double now,
                                         const tw_shards_notification *notification);
/* Records that the machine has confirmed it is open under this epoch. */
void tw_shards_owner_confirm_open(tw_shards_owner *owner, const char *machine, uint64_t epoch);
/* Returns the epoch under which new requests may be sent to the machine; 0: none may be sent. */
uint64_t tw_shards_owner_epoch(const tw_shards_owner *owner, const char *machine);
/* Records that a request was sent to the machine under this epoch. */
void tw_shards_owner_request_sent(tw_shards_owner *owner, const char *machine, uint64_t epoch);
/* Records that a request sent under this epoch has ended. The caller must be certain of it. */
void tw_shards_owner_request_ended(tw_shards_owner *owner, const char *machine, uint64_t epoch);
/* Records that the machine refused a request under this epoch because it has been opened under a
 * later one. */
void tw_shards_owner_request_refused(tw_shards_owner *owner, const char *machine, uint64_t epoch);
/* Advances the time: retries messages and stops drains whose deadline has passed. */
void tw_shards_owner_tick(tw_shards_owner *owner, double now);
/* Returns the next effect, or NULL. The caller frees it with free. */
tw_shards_owner_effect *tw_shards_owner_next_effect(tw_shards_owner *owner);

/* ---- guard ---- */

/* The state of a machine's guard. It is lost when the machine restarts. */
typedef struct {
    uint64_t boot_id;       /* boot of the machine; a different number after each start */
    uint64_t term;          /* latest term of a command received since this boot */
    bool started;           /* the minimum epoch of this boot is set */
    uint64_t minimum_epoch; /* epochs up to this one belong to earlier boots of the machine */
    uint64_t newest_epoch;  /* the epoch opened last; 0: none */
} tw_shards_guard;

typedef enum {
    TW_SHARDS_GUARD_RAISED,   /* accepted: the epoch or the minimum epoch has increased; requests of
                                 earlier epochs must end */
    TW_SHARDS_GUARD_REPEATED, /* accepted: the epoch and the minimum epoch stay unchanged */
    TW_SHARDS_GUARD_OLD_EPOCH,  /* refused: not above the minimum epoch, or below the newest one */
    TW_SHARDS_GUARD_OLD_TERM,   /* refused: a command of a later term was received */
    TW_SHARDS_GUARD_OTHER_BOOT, /* refused: the command is for a different boot of the machine */
    TW_SHARDS_GUARD_NOT_STARTED /* refused: the minimum epoch of this boot is not set yet */
} tw_shards_guard_verdict;
/* Returns the name of a verdict as written in answers. */
const char *tw_shards_guard_verdict_name(tw_shards_guard_verdict verdict);

/* Initializes the guard after a start of the machine. No epoch can be opened until the minimum
 * epoch is set. */
void tw_shards_guard_boot(tw_shards_guard *guard, uint64_t boot_id);
/* Handles a status check by a leader, which announces its term. */
tw_shards_guard_verdict tw_shards_guard_check_term(tw_shards_guard *guard, uint64_t term);
/* Sets the minimum epoch of this boot, which the leader returns in the answer to ADD or RENEW. */
tw_shards_guard_verdict tw_shards_guard_set_minimum_epoch(tw_shards_guard *guard, uint64_t term,
                                                          uint64_t boot_id, uint64_t minimum_epoch);
/* Opens the machine under an epoch. */
tw_shards_guard_verdict tw_shards_guard_open_epoch(tw_shards_guard *guard, uint64_t term,
                                                   uint64_t epoch);
/* Checks a command to end the requests of an epoch. Returns REPEATED if the machine has to end
 * them. */
tw_shards_guard_verdict tw_shards_guard_check_stop(tw_shards_guard *guard, uint64_t term,
                                                   uint64_t epoch);
/* Returns whether a request under this epoch may run. */
bool tw_shards_guard_accepts(const tw_shards_guard *guard, uint64_t epoch);

#endif
