/* Shards: named sets of machines, each with one owner, whose machines move while work runs.
 *
 * The package has three state machines. Inputs and the time go in, effects come out; none of them
 * does I/O, reads a clock or has global state.
 *   leader (tw_shards_*)        keeps the table in the state service and alone changes it
 *   owner  (tw_shards_owner_*)  sends work to the machines of its shards, each under an epoch
 *   guard  (tw_shards_guard_*)  runs on a machine and refuses every epoch but the newest opened,
 *                               and commands of terms that are over
 *
 * An epoch is a number that is drawn once for all shards, so that of two epochs of a machine the
 * later one is greater. A term is the revision of the leader's key: of two leaders the later one
 * has the greater term, and each command to a machine carries the term that it follows from.
 *
 * Invariants: a machine's epoch never falls; an epoch of a machine belongs to one owner; owners are
 * notified of recorded steps only. docs/shards.md has the protocol and the proof.
 *
 * src/standby drives the leader, src/daemon the owner; guards run on the machines (emulator/ has a
 * stand-in). A name is at most TW_SHARDS_NAME - 1 bytes long. Times are in seconds: `now` is
 * steady, `wall` the time of day. Memory that can't be had ends the program. */
#ifndef TW_SHARDS_H
#define TW_SHARDS_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Bytes of a name, with the zero at its end. */
#define TW_SHARDS_NAME 64

/* The state of a machine between two owners. Within one epoch a machine goes down this list. */
typedef enum {
    TW_SHARDS_ABSENT,   /* there is no such machine */
    TW_SHARDS_TAKEN,    /* the owner has to open it under its epoch first */
    TW_SHARDS_OPEN,     /* it takes requests of its owner */
    TW_SHARDS_DRAINING, /* it gets nothing new; what runs ends, or is moved at the deadline */
    TW_SHARDS_RELEASED  /* it is nobody's, until it is taken under the next epoch */
} tw_shards_state;
/* The word for a state, as it stands in records and answers. */
const char *tw_shards_state_name(tw_shards_state state);

/* The result of a request to the leader. */
typedef enum {
    TW_SHARDS_OK,
    TW_SHARDS_NOT_LEADER,
    TW_SHARDS_STALE_REVISION, /* the table has changed since the client read it */
    TW_SHARDS_UNKNOWN_SHARD,
    TW_SHARDS_UNKNOWN_MACHINE, /* or the machine is not in the shard that is to give it */
    TW_SHARDS_BELOW_LEAST,     /* the shard would fall below its least size */
    TW_SHARDS_BUSY,            /* another move holds these machines */
    TW_SHARDS_NO_FIT,          /* too few machines may go */
    TW_SHARDS_KEY_REUSED,      /* the key came before with other contents */
    TW_SHARDS_UNKNOWN_MOVE,
    TW_SHARDS_INVALID,
    TW_SHARDS_TOO_LARGE,   /* its record would exceed the state service's limits */
    TW_SHARDS_OVERLOADED,  /* too many requests wait; the client repeats it later */
    TW_SHARDS_QUARANTINED, /* machines that it needs have not answered this leader yet */
    /* Of a promotion: */
    TW_SHARDS_UNKNOWN_NODE,
    TW_SHARDS_NOT_FOLLOWING, /* the node was not heard lately */
    TW_SHARDS_BEHIND         /* the node lacks changes */
} tw_shards_verdict;
/* The word for a verdict, as it stands in answers. */
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
    TW_SHARDS_DEFINE, /* makes a shard, or changes its owner, least size and spread */
    TW_SHARDS_ADD,    /* adds a machine to a shard; a machine that is known is renewed */
    TW_SHARDS_REMOVE, /* a machine is gone */
    TW_SHARDS_RENEW,  /* a machine has restarted and needs the next epoch */
    TW_SHARDS_MOVE,   /* moves machines from one shard to another */
    TW_SHARDS_CANCEL, /* machines of a move that are not taken yet go back */
    TW_SHARDS_WATCH   /* asks for the progress of a move */
} tw_shards_request_kind;

/* A request to the leader. The comments name the kinds that use a member. */
typedef struct {
    tw_shards_request_kind kind;
    uint64_t id;                /* comes back with the answer */
    char shard[TW_SHARDS_NAME]; /* DEFINE, ADD; MOVE: the shard that gives */
    char owner[TW_SHARDS_NAME]; /* DEFINE */
    int least;                  /* DEFINE: machines that moves leave in the shard */
    bool spread;                /* DEFINE: moves leave it a machine in each of its zones */
    char machine[TW_SHARDS_NAME], zone[TW_SHARDS_NAME]; /* ADD; REMOVE, RENEW: the machine */
    char key[TW_SHARDS_NAME];                           /* MOVE, CANCEL, WATCH */
    char to[TW_SHARDS_NAME];                            /* MOVE: the shard that gets */
    char image[TW_SHARDS_NAME];                         /* MOVE: wanted on the machines, or "" */
    int count;                                          /* MOVE: machines, where none are named */
    char (*machines)[TW_SHARDS_NAME];                   /* MOVE: these, copied; NULL: any */
    int machine_count;                                  /* of `machines` */
    uint64_t revision; /* MOVE: of the table that the client saw; 0: any revision */
} tw_shards_request;

/* The progress of a move, in machines. */
typedef struct {
    bool done;                             /* the move is over */
    int wanted, draining, released, taken; /* of those wanted, by state */
    int moved, returned, lost;             /* open in the new shard, given back, gone meanwhile */
} tw_shards_progress;

typedef enum {
    TW_SHARDS_READ, /* list keys of TW_SHARDS_PREFIX after `text`; answer with tw_shards_handle_page
                     */
    TW_SHARDS_WRITE,  /* send the transaction in `text`; answer with tw_shards_handle_outcome */
    TW_SHARDS_NOTIFY, /* notify an owner of the state of a machine */
    TW_SHARDS_ANSWER  /* answer a request */
} tw_shards_effect_kind;

/* The state of a machine, as its owner is notified of it. */
typedef struct {
    char owner[TW_SHARDS_NAME], shard[TW_SHARDS_NAME], machine[TW_SHARDS_NAME];
    tw_shards_state state;
    uint64_t epoch;
    uint64_t term;  /* of the leader that sends it */
    double drain_s; /* DRAINING: time left */
} tw_shards_notification;

typedef struct tw_shards_effect {
    tw_shards_effect_kind kind;
    uint64_t id;                         /* WRITE, READ: of the call; ANSWER: of the request */
    char *text;                          /* READ: key after which to list, ""; WRITE: the body */
    int ops;                             /* WRITE: changes in it */
    tw_shards_notification notification; /* NOTIFY */
    tw_shards_verdict verdict;           /* ANSWER */
    tw_shards_progress progress;         /* ANSWER to MOVE, CANCEL, WATCH */
    uint64_t revision;                   /* ANSWER: of the table */
    uint64_t minimum_epoch; /* ANSWER to ADD, RENEW: last epoch before, for the machine's guard */
    struct tw_shards_effect *next;
} tw_shards_effect;

/* Prefix of all keys of the table in the state service. */
#define TW_SHARDS_PREFIX "shares/"
/* Keys asked for in a READ. */
#define TW_SHARDS_PAGE 500

/* The outcome of a transaction. */
typedef enum {
    TW_SHARDS_APPLIED,
    TW_SHARDS_REFUSED,      /* a compare failed, or the state service refuses it */
    TW_SHARDS_NOT_EXECUTED, /* not carried out: the service's rate is used up, or it is out of order
                             */
    TW_SHARDS_UNKNOWN       /* no answer came: it may have been carried out, or may be later */
} tw_shards_outcome;

typedef struct tw_shards tw_shards;

/* Makes a table that leads nothing yet. The settings are copied. Free it with tw_shards_free. */
tw_shards *tw_shards_new(const tw_shards_settings *settings);
/* Frees the table and the effects that were not taken. NULL is allowed. */
void tw_shards_free(tw_shards *shards);

/* Begins a term: this node leads since the leader's key has revision `token`. Every write compares
 * the key with it. The table is read anew. */
void tw_shards_begin_term(tw_shards *shards, double now, const char *leader_key, uint64_t token);
/* Says until when no other node can lead. A refusal needs no write that could fail, so the leader
 * answers requests only until then: a deposed one would refuse by a table that has changed. */
void tw_shards_set_authority(tw_shards *shards, double until);
/* Allows decisions. A leader that has read the table decides nothing before this call. After it,
 * each machine that was in the table then stays quarantined until tw_shards_confirm_machine is
 * called for it: a machine that has not answered under this term may still take commands of an
 * earlier one. */
void tw_shards_allow_decisions(tw_shards *shards, double now);
/* Ends the quarantine of a machine, which has answered under this term. An unknown name is ignored.
 */
void tw_shards_confirm_machine(tw_shards *shards, double now, const char *machine);
/* Whether the table is read and decisions are allowed. */
bool tw_shards_is_deciding(const tw_shards *shards);
/* Number of machines in quarantine. */
int tw_shards_quarantined_count(const tw_shards *shards);
/* Ends the term: all requests that wait are answered NOT_LEADER, and the table is forgotten. */
void tw_shards_end_term(tw_shards *shards);

/* Takes a request, which is copied. Each request is answered by one ANSWER. */
void tw_shards_add_request(tw_shards *shards, double now, const tw_shards_request *request);
/* Takes the answer to the READ `id`: a list of the state service as JSON text, of `length` bytes.
 * NULL: no answer came; the READ is repeated after retry_s. */
void tw_shards_handle_page(tw_shards *shards, double now, uint64_t id, const char *text,
                           size_t length);
/* Takes the outcome of the WRITE `id`. revision: of the state service after an APPLIED one. */
void tw_shards_handle_outcome(tw_shards *shards, double now, uint64_t id, tw_shards_outcome outcome,
                              uint64_t revision);

/* Messages of an owner. Where the machine is not the owner's under this epoch, the owner is
 * notified that it has lost it. */
/* Nothing of the owner runs on the machine any more. */
void tw_shards_report_drained(tw_shards *shards, const char *owner, const char *machine,
                              uint64_t epoch);
/* The machine has confirmed the epoch. */
void tw_shards_report_opened(tw_shards *shards, const char *owner, const char *machine,
                             uint64_t epoch);
/* The owner asks for the states of all of its machines. */
void tw_shards_send_owner_states(tw_shards *shards, const char *owner);

/* Hints for the choice of machines; both ignore unknown names. */
/* The number of requests that run on the machine. */
void tw_shards_set_machine_load(tw_shards *shards, const char *machine, int running);
/* Whether the machine holds an image. */
void tw_shards_set_image_held(tw_shards *shards, const char *machine, const char *image, int holds);

/* Lets time pass: repeats what was not answered and makes the steps that are due. */
void tw_shards_tick(tw_shards *shards, double now, double wall);
/* The next effect, or NULL. The caller frees it with tw_shards_effect_free. */
tw_shards_effect *tw_shards_next_effect(tw_shards *shards);
/* Frees an effect and its text. NULL is allowed. */
void tw_shards_effect_free(tw_shards_effect *effect);

/* The records as this node knows them. */

/* Whether this node leads and has read the table. */
bool tw_shards_is_ready(const tw_shards *shards);
/* The revision of the table, which grows with each change of a shard and each new move. */
uint64_t tw_shards_revision(const tw_shards *shards);
/* Number of shards; their indexes begin at 0. */
int tw_shards_shard_count(const tw_shards *shards);

/* A shard, as operators see it. */
typedef struct {
    char name[TW_SHARDS_NAME], owner[TW_SHARDS_NAME];
    int least, spread;
    int open, taken, draining; /* numbers of machines by state */
} tw_shards_shard_view;
/* The shard of that index, from 0 to tw_shards_shard_count - 1. */
tw_shards_shard_view tw_shards_shard_at(const tw_shards *shards, int shard);

/* Number of machine indexes, which begin at 0; some of them may be ABSENT. */
int tw_shards_machine_count(const tw_shards *shards);
/* The state of the machine of that index. An ABSENT one has no name. */
tw_shards_notification tw_shards_machine_at(const tw_shards *shards, int index);
/* The state of the machine of that name; ABSENT where there is none. */
tw_shards_notification tw_shards_machine_named(const tw_shards *shards, const char *name);

/* ---- owner ---- */

typedef enum {
    TW_SHARDS_OWNER_SYNC,    /* to the leader: asks for the states of its machines */
    TW_SHARDS_OWNER_DRAINED, /* to the leader */
    TW_SHARDS_OWNER_OPENED,  /* to the leader */
    TW_SHARDS_OWNER_OPEN, /* to the machine: open under this epoch; its confirmation is an input */
    TW_SHARDS_OWNER_STOP  /* to itself: end or move what it runs on the machine */
} tw_shards_owner_effect_kind;

typedef struct tw_shards_owner_effect {
    tw_shards_owner_effect_kind kind;
    char machine[TW_SHARDS_NAME];
    uint64_t epoch;
    uint64_t term; /* OPEN, STOP: of the leader whose notification the command follows */
    struct tw_shards_owner_effect *next;
} tw_shards_owner_effect;

typedef struct tw_shards_owner tw_shards_owner;
/* Makes an owner without machines. retry_s: seconds between repetitions of a message that has
 * changed nothing yet. Free it with tw_shards_owner_free. */
tw_shards_owner *tw_shards_owner_new(double retry_s);
/* Frees the owner and the effects that were not taken. NULL is allowed. */
void tw_shards_owner_free(tw_shards_owner *owner);
/* Takes a notification of the leader. It is ignored where the owner knows a later state, or a
 * leader of a later term. */
void tw_shards_owner_handle_notification(tw_shards_owner *owner, double now,
                                         const tw_shards_notification *notification);
/* The machine has confirmed that it is open under this epoch. */
void tw_shards_owner_confirm_open(tw_shards_owner *owner, const char *machine, uint64_t epoch);
/* The epoch under which a new request may go to the machine; 0: no request may. */
uint64_t tw_shards_owner_epoch(const tw_shards_owner *owner, const char *machine);
/* A request was sent to the machine under that epoch. */
void tw_shards_owner_request_sent(tw_shards_owner *owner, const char *machine, uint64_t epoch);
/* A request that was sent under that epoch has ended for certain. */
void tw_shards_owner_request_ended(tw_shards_owner *owner, const char *machine, uint64_t epoch);
/* The machine refused a request under that epoch: it has been opened under a later one. */
void tw_shards_owner_request_refused(tw_shards_owner *owner, const char *machine, uint64_t epoch);
/* Lets time pass: repeats messages and ends drains that are overdue. */
void tw_shards_owner_tick(tw_shards_owner *owner, double now);
/* The next effect, or NULL. The caller frees it with free. */
tw_shards_owner_effect *tw_shards_owner_next_effect(tw_shards_owner *owner);

/* ---- guard ---- */

/* What a machine keeps of its commands. It is lost when the machine restarts. */
typedef struct {
    uint64_t boot_id;       /* of the machine: another number after each of its starts */
    uint64_t term;          /* the newest that it has heard of since this boot */
    bool started;           /* whether it has its minimum epoch */
    uint64_t minimum_epoch; /* epochs up to this one are of an earlier boot of the machine */
    uint64_t newest_epoch;  /* the epoch opened last; 0: none */
} tw_shards_guard;

typedef enum {
    TW_SHARDS_GUARD_RAISED,     /* taken: what ran under earlier epochs must end */
    TW_SHARDS_GUARD_REPEATED,   /* taken: nothing changes by it */
    TW_SHARDS_GUARD_OLD_EPOCH,  /* refused: a later epoch was opened, or it is not above the minimum
                                 */
    TW_SHARDS_GUARD_OLD_TERM,   /* refused: a later term was heard */
    TW_SHARDS_GUARD_OTHER_BOOT, /* refused: it is for an earlier boot of the machine */
    TW_SHARDS_GUARD_NOT_STARTED /* refused: the machine waits for its minimum epoch */
} tw_shards_guard_verdict;
/* The word for a verdict, as it stands in answers. */
const char *tw_shards_guard_verdict_name(tw_shards_guard_verdict verdict);

/* The machine has started. It takes no epoch until it has its minimum epoch. */
void tw_shards_guard_boot(tw_shards_guard *guard, uint64_t boot_id);
/* A leader asks what the machine has open, and announces its term. */
tw_shards_guard_verdict tw_shards_guard_check_term(tw_shards_guard *guard, uint64_t term);
/* Sets the minimum epoch of this boot, from the answer to ADD or RENEW. */
tw_shards_guard_verdict tw_shards_guard_set_minimum_epoch(tw_shards_guard *guard, uint64_t term,
                                                          uint64_t boot_id, uint64_t minimum_epoch);
/* Opens the machine under the epoch. */
tw_shards_guard_verdict tw_shards_guard_open_epoch(tw_shards_guard *guard, uint64_t term,
                                                   uint64_t epoch);
/* Whether what runs under the epoch is to be ended: REPEATED. */
tw_shards_guard_verdict tw_shards_guard_check_stop(tw_shards_guard *guard, uint64_t term,
                                                   uint64_t epoch);
/* Whether a request under this epoch may run. */
bool tw_shards_guard_accepts(const tw_shards_guard *guard, uint64_t epoch);

#endif
