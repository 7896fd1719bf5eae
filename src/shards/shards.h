/* Shares: named sets of machines, each with one owner, that change while work runs.
 *
 * Three state machines, inputs and time in, effects out; no I/O, clock or global state:
 *   leader (tw_shards_*)        keeps the table in the state service and alone changes it
 *   owner  (tw_shards_owner_*)  sends work to the machines of its shares, each under an epoch
 *   guard  (tw_shards_guard_*)  stands on a machine and refuses every epoch but the newest opened,
 *                               and orders of overtaken terms
 *
 * An epoch is a number that is drawn once for all shares, so that of two epochs of a machine the
 * later one is greater. A term is the revision of the leader's key: of two leaders the later one
 * has the greater term, and each order to a machine carries the term that it follows from.
 * Invariants: a machine's epoch never falls; an epoch of a machine belongs to one owner; only
 * recorded steps are told to owners. docs/shards.md has the protocol and the proof.
 * Names end within TW_SHARDS_NAME. Times are in seconds: `now` steady, `wall` the time of day. */
#ifndef TW_SHARDS_H
#define TW_SHARDS_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define TW_SHARDS_NAME 64

/* Where a machine stands between two owners. Within one epoch a machine goes down this list. */
typedef enum {
    TW_SHARDS_ABSENT,   /* no such machine */
    TW_SHARDS_TAKEN,    /* the owner has to open it under its epoch first */
    TW_SHARDS_OPEN,     /* takes requests of its owner */
    TW_SHARDS_DRAINING, /* nothing new; what runs ends, or is moved at the deadline */
    TW_SHARDS_RELEASED  /* nobody's, until it is taken under the next epoch */
} tw_shards_state;
const char *tw_shards_state_name(tw_shards_state state);

/* What became of a request to the leader. */
typedef enum {
    TW_SHARDS_OK,
    TW_SHARDS_NOT_LEADER,
    TW_SHARDS_STALE_REVISION, /* the table has changed since the client read it */
    TW_SHARDS_UNKNOWN_SHARD,
    TW_SHARDS_UNKNOWN_MACHINE, /* or it is not in the share that is to give it */
    TW_SHARDS_BELOW_LEAST,     /* the share would fall below its least size */
    TW_SHARDS_BUSY,            /* another move holds these machines */
    TW_SHARDS_NO_FIT,          /* too few machines may go */
    TW_SHARDS_KEY_REUSED,      /* the key came before with other contents */
    TW_SHARDS_UNKNOWN_MOVE,
    TW_SHARDS_INVALID,
    TW_SHARDS_TOO_LARGE,   /* its record would exceed the state service's limits */
    TW_SHARDS_OVERLOADED,  /* too many requests wait; to be repeated later */
    TW_SHARDS_QUARANTINED, /* machines that it needs have not answered this leader yet */
    /* of a promotion */
    TW_SHARDS_UNKNOWN_NODE,
    TW_SHARDS_NOT_FOLLOWING, /* it was not heard lately */
    TW_SHARDS_BEHIND         /* it lacks changes */
} tw_shards_verdict;
const char *tw_shards_verdict_name(tw_shards_verdict verdict);

typedef struct {
    double drain_s;     /* what runs on a machine that moves may go on for so long */
    double grace_s;     /* after that, a silent owner is not waited for any longer */
    double retry_s;     /* between repetitions of what was not answered */
    size_t value_bytes; /* largest value of the state service */
    int txn_ops;        /* most changes in a transaction, at least 4 */
    double write_rps;   /* changes a second that the table may take */
} tw_shards_settings;

/* ---- leader ---- */

typedef enum {
    TW_SHARDS_DEFINE, /* makes a share, or changes its owner, least size and spread */
    TW_SHARDS_ADD,    /* a machine comes into a share; one that is known is renewed */
    TW_SHARDS_REMOVE, /* a machine is gone */
    TW_SHARDS_RENEW,  /* a machine has restarted: it needs the next epoch */
    TW_SHARDS_MOVE,
    TW_SHARDS_CANCEL, /* machines of a move that aren't taken go back */
    TW_SHARDS_WATCH   /* how far a move is */
} tw_shards_request_kind;

typedef struct {
    tw_shards_request_kind kind;
    uint64_t id;                /* comes back with the answer */
    char shard[TW_SHARDS_NAME]; /* DEFINE, ADD; MOVE: the one that gives */
    char owner[TW_SHARDS_NAME]; /* DEFINE */
    int least;                  /* DEFINE: size that moves leave it */
    bool spread;                /* DEFINE: moves leave it a machine in each of its zones */
    char machine[TW_SHARDS_NAME], zone[TW_SHARDS_NAME]; /* ADD; REMOVE, RENEW: the machine */
    char key[TW_SHARDS_NAME];                           /* MOVE, CANCEL, WATCH */
    char to[TW_SHARDS_NAME];                            /* MOVE: the share that gets */
    char image[TW_SHARDS_NAME];                         /* MOVE: wanted on the machines, or "" */
    int count;                                          /* MOVE: machines, where none are named */
    char (*machines)[TW_SHARDS_NAME];                   /* MOVE: these, copied; NULL: any */
    int machine_count;
    uint64_t revision; /* MOVE: of the table that the client saw; 0: whatever it is */
} tw_shards_request;

/* How far a move is, in machines. */
typedef struct {
    int done;
    int wanted, draining, released, taken; /* of those wanted, where they stand */
    int moved, returned, lost;             /* open in the new share, given back, gone meanwhile */
} tw_shards_progress;

typedef enum {
    TW_SHARDS_READ,   /* list keys of TW_SHARDS_PREFIX after `after`; answer with tw_shards_page */
    TW_SHARDS_WRITE,  /* body of a transaction; answer with tw_shards_written */
    TW_SHARDS_NOTIFY, /* tell an owner where a machine stands */
    TW_SHARDS_ANSWER
} tw_shards_effect_kind;

/* Where a machine stands, as its owner is told. */
typedef struct {
    char owner[TW_SHARDS_NAME], shard[TW_SHARDS_NAME], machine[TW_SHARDS_NAME];
    tw_shards_state state;
    uint64_t epoch;
    uint64_t term;  /* of the leader that says so */
    double drain_s; /* DRAINING: time left */
} tw_shards_notification;

typedef struct tw_shards_effect {
    tw_shards_effect_kind kind;
    uint64_t id; /* WRITE, READ: of the call; ANSWER: of the request */
    char *text;  /* READ: key after which to list, ""; WRITE: the body */
    int ops;     /* WRITE: changes in it */
    tw_shards_notification notification;
    tw_shards_verdict verdict;   /* ANSWER */
    tw_shards_progress progress; /* ANSWER to MOVE, CANCEL, WATCH */
    uint64_t revision;           /* ANSWER: of the table */
    uint64_t minimum_epoch; /* ANSWER to ADD, RENEW: epoch before it, for the machine's guard */
    struct tw_shards_effect *next;
} tw_shards_effect;

#define TW_SHARDS_PREFIX "shares/"
#define TW_SHARDS_PAGE 500 /* keys asked for in a READ */

/* How a transaction ended. */
typedef enum {
    TW_SHARDS_APPLIED,
    TW_SHARDS_REFUSED, /* a condition failed, or the service refuses it */
    TW_SHARDS_PUT_OFF, /* not carried out, for want of the service's rate or in its outage */
    TW_SHARDS_UNKNOWN  /* no answer: it may have been carried out, or may be later */
} tw_shards_outcome;

typedef struct tw_shards tw_shards;
tw_shards *tw_shards_new(const tw_shards_settings *settings);
void tw_shards_free(tw_shards *shards);
/* This node leads since the leader's key has this revision: every write is conditioned on it. */
void tw_shards_lead(tw_shards *shards, double now, const char *leader_key, uint64_t token);
/* Until when no other node can lead. Refusals need no write that could fail, so a leader answers
 * requests only until then: a deposed one would refuse by a table that has changed. */
void tw_shards_authority(tw_shards *shards, double until);
/* A leader that has read the table decides nothing before tw_shards_decide, and after it nothing
 * about a machine that was in the table then until tw_shards_machine_confirmed is called for that
 * machine: a machine that has not answered under this term may still take orders of an earlier one.
 */
void tw_shards_decide(tw_shards *shards, double now);
void tw_shards_machine_confirmed(tw_shards *shards, double now, const char *machine);
bool tw_shards_deciding(const tw_shards *shards);
/* Machines that have not answered yet. */
int tw_shards_quarantined_count(const tw_shards *shards);
/* It leads no more: all requests that wait are answered NOT_LEADER. */
void tw_shards_resign(tw_shards *shards);
void tw_shards_request_in(tw_shards *shards, double now, const tw_shards_request *request);
/* The answer to a READ: a list of the state service as JSON text; NULL: none came. */
void tw_shards_page(tw_shards *shards, double now, uint64_t id, const char *text, size_t length);
/* revision: of the state service after an APPLIED transaction. */
void tw_shards_written(tw_shards *shards, double now, uint64_t id, tw_shards_outcome outcome,
                       uint64_t revision);
/* Messages of an owner: nothing of its runs on the machine any more; the machine has confirmed the
 * epoch; it asks where all of its machines stand. */
void tw_shards_drained(tw_shards *shards, const char *owner, const char *machine, uint64_t epoch);
void tw_shards_opened(tw_shards *shards, const char *owner, const char *machine, uint64_t epoch);
void tw_shards_sync(tw_shards *shards, const char *owner);
/* Hints for the choice of machines: requests that run there; whether it holds an image. */
void tw_shards_set_machine_load(tw_shards *shards, const char *machine, int running);
void tw_shards_set_image_held(tw_shards *shards, const char *machine, const char *image, int holds);
void tw_shards_tick(tw_shards *shards, double now, double wall);
/* The next effect, or NULL; free it with tw_shards_effect_free. */
tw_shards_effect *tw_shards_next(tw_shards *shards);
void tw_shards_effect_free(tw_shards_effect *effect);

/* What stands in the records, as this node knows it. */
bool tw_shards_ready(const tw_shards *shards); /* whether it leads and has read the table */
uint64_t tw_shards_revision(const tw_shards *shards);
int tw_shards_shard_count(const tw_shards *shards);
typedef struct {
    char name[TW_SHARDS_NAME], owner[TW_SHARDS_NAME];
    int least, spread;
    int open, taken, draining; /* machines */
} tw_shards_view;
tw_shards_view tw_shards_view_of(const tw_shards *shards, int shard);
/* Machines by index from 0 to tw_shards_machine_count - 1; an ABSENT one has no name. */
int tw_shards_machine_count(const tw_shards *shards);
tw_shards_notification tw_shards_machine_at(const tw_shards *shards, int index);
tw_shards_notification tw_shards_machine_named(const tw_shards *shards, const char *name);

/* ---- owner ---- */

typedef enum {
    TW_SHARDS_OWNER_SYNC,    /* to the leader: asks where its machines stand */
    TW_SHARDS_OWNER_DRAINED, /* to the leader */
    TW_SHARDS_OWNER_OPENED,  /* to the leader */
    TW_SHARDS_OWNER_OPEN,    /* to the machine: open under this epoch; tell when it confirms */
    TW_SHARDS_OWNER_STOP     /* to itself: end or move what it runs on the machine */
} tw_shards_owner_effect_kind;

typedef struct tw_shards_owner_effect {
    tw_shards_owner_effect_kind kind;
    char machine[TW_SHARDS_NAME];
    uint64_t epoch;
    uint64_t term; /* OPEN, STOP: of the leader whose word the order follows */
    struct tw_shards_owner_effect *next;
} tw_shards_owner_effect;

typedef struct tw_shards_owner tw_shards_owner;
/* retry_s: between repetitions of a message that changed nothing yet. */
tw_shards_owner *tw_shards_owner_new(double retry_s);
void tw_shards_owner_free(tw_shards_owner *owner);
/* A message of the leader. Older ones than the owner knows are ignored, and all of a leader whose
 * term is overtaken. */
void tw_shards_owner_notified(tw_shards_owner *owner, double now,
                              const tw_shards_notification *notification);
/* The machine confirmed that it is open under this epoch. */
void tw_shards_owner_confirmed(tw_shards_owner *owner, const char *machine, uint64_t epoch);
/* The epoch under which a new request may go to the machine; 0: none may. */
uint64_t tw_shards_owner_epoch(const tw_shards_owner *owner, const char *machine);
/* A request was sent there under that epoch; it has ended for certain. */
void tw_shards_owner_sent(tw_shards_owner *owner, const char *machine, uint64_t epoch);
void tw_shards_owner_ended(tw_shards_owner *owner, const char *machine, uint64_t epoch);
/* The machine refused a request under that epoch: it has been opened under a later one. */
void tw_shards_owner_refused(tw_shards_owner *owner, const char *machine, uint64_t epoch);
void tw_shards_owner_tick(tw_shards_owner *owner, double now);
tw_shards_owner_effect *tw_shards_owner_next(tw_shards_owner *owner);

/* ---- guard ---- */

typedef struct {
    uint64_t boot_id;       /* of the machine: another number after each of its starts */
    uint64_t term;          /* the newest that it has heard of in this life */
    int started;            /* whether it has been told the floor */
    uint64_t minimum_epoch; /* epochs up to it are of an earlier life of the machine */
    uint64_t newest;        /* opened last; 0: none */
} tw_shards_guard;

typedef enum {
    TW_SHARDS_GUARD_RAISED,   /* taken: what ran under earlier epochs must end */
    TW_SHARDS_GUARD_REPEATED, /* taken: nothing changes by it */
    TW_SHARDS_GUARD_OLD,      /* refused: a later epoch was opened, or it is not above the floor */
    TW_SHARDS_GUARD_OLD_TERM, /* refused: a later term was heard */
    TW_SHARDS_GUARD_OTHER_BOOT, /* refused: it is for an earlier life of the machine */
    TW_SHARDS_GUARD_NOT_STARTED /* refused: the machine waits for its floor */
} tw_shards_guard_verdict;
const char *tw_shards_guard_verdict_name(tw_shards_guard_verdict verdict);

/* The machine has started; it takes nothing until it is told its floor. */
void tw_shards_guard_boot(tw_shards_guard *guard, uint64_t boot_id);
/* A leader asks what the machine has open, and announces its term. */
tw_shards_guard_verdict tw_shards_guard_check(tw_shards_guard *guard, uint64_t term);
/* The floor of this life, from the answer to ADD or RENEW. */
tw_shards_guard_verdict tw_shards_guard_start(tw_shards_guard *guard, uint64_t term,
                                              uint64_t boot_id, uint64_t minimum_epoch);
tw_shards_guard_verdict tw_shards_guard_open(tw_shards_guard *guard, uint64_t term, uint64_t epoch);
/* Whether what runs under the epoch is to be ended: REPEATED. */
tw_shards_guard_verdict tw_shards_guard_stop(tw_shards_guard *guard, uint64_t term, uint64_t epoch);
/* Whether a request under this epoch may run. */
bool tw_shards_guard_accepts(const tw_shards_guard *guard, uint64_t epoch);

#endif
