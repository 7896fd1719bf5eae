/* Data and functions shared by the files of the leader. Not for other packages.
 *
 * tw_shards owns everything in this header. It keeps each record of the state service twice: as
 * recorded, and as it will be once the transaction in flight is applied (`next`).
 *
 * Invariants: notifications and the choice of machines use recorded state only; at most one
 * transaction is in flight; the index of a machine never changes while the table is loaded; each
 * set of machines agrees with the cells, because only tw_shards_set_cell changes a cell. */
#ifndef TW_SHARDS_INT_H
#define TW_SHARDS_INT_H
#include "shards/shards.h"
#include <roaring/roaring.h>
#include <stdbool.h>
#include <uthash.h>

/* Number of machines whose cells are stored in one record. */
#define TW_SHARDS_BLOCK_SIZE 64
#define TW_SHARDS_KEY_SIZE 128
/* Number of finished moves that are kept, so that repeated requests for them are recognized by
 * their keys. */
#define TW_SHARDS_MAX_FINISHED_MOVES 64
/* Maximum number of queued requests. */
#define TW_SHARDS_MAX_WAITING 8192

/* The state of one machine in the table. */
typedef struct {
    int shard; /* index; DRAINING: the source shard; RELEASED: the last shard */
    tw_shards_state state;
    uint64_t epoch; /* epoch under which the machine was taken */
    uint64_t move;  /* number of the move that holds it; 0: none */
} tw_shards_cell;

/* A slot of the table. An ABSENT machine has no name, and its slot may be assigned to another
 * machine. */
typedef struct tw_shards_machine {
    char name[TW_SHARDS_NAME];
    int index;
    int zone; /* index in shards->zones */
    tw_shards_cell cell, next;
    bool change_pending;                  /* `next` is part of the transaction in flight */
    uint64_t drained_epoch, opened_epoch; /* latest epochs of the owner's DRAINED and OPENED */
    double notified_at;                   /* time of the last notification to its owner */
    int load;                             /* number of requests that run on the machine */
    UT_hash_handle hh;
} tw_shards_machine;

typedef struct {
    char name[TW_SHARDS_NAME], owner[TW_SHARDS_NAME];
    uint64_t epoch;    /* of the last change of owner; machines of earlier epochs must be opened */
    int least, spread; /* minimum size and spread, as in a DEFINE request */
} tw_shards_shard;

/* The header record, which contains all shards. */
typedef struct {
    uint64_t revision, epoch, move; /* last numbers assigned */
    tw_shards_shard *shards;
    int shard_count;
} tw_shards_header;

typedef struct {
    char key[TW_SHARDS_NAME], image[TW_SHARDS_NAME];
    uint64_t number;
    int from, to;       /* indexes of the source and the target shard */
    int wanted, marked; /* machines requested, and chosen so far */
    int moved, returned, lost;
    int cancelled, done;
    double deadline; /* time of day at which drains must end */
    uint64_t digest; /* digest of the request, to recognize repeated requests */
    char *only;      /* indexes of the machines that the request names, as ranges; NULL: any */
} tw_shards_move_record;

/* A move, and the machines that it holds. */
typedef struct tw_shards_move {
    tw_shards_move_record recorded, next;
    uint64_t mod_revision;
    bool change_pending;
    roaring_bitmap_t *machines;         /* machines held by the move, as recorded */
    struct tw_shards_move *prev, *link; /* list ordered by move number */
} tw_shards_move;

/* The machines of a shard by recorded state. */
typedef struct {
    roaring_bitmap_t *open, *taken, *draining;
} tw_shards_shard_sets;

/* The machines of a zone, or the machines that hold an image. */
typedef struct {
    char name[TW_SHARDS_NAME];
    roaring_bitmap_t *machines;
} tw_shards_named_set;

/* A request that has not been answered yet. */
typedef struct tw_shards_waiting_request {
    tw_shards_request request;
    struct tw_shards_waiting_request *prev, *next;
} tw_shards_waiting_request;

/* The transaction in flight. */
typedef struct {
    uint64_t id;
    int ops;
    int *machines; /* indexes of the machines that change */
    int machine_count, machine_capacity;
    unsigned char *record_kinds; /* by block: tw_shards_record_kinds that change */
    int record_kinds_capacity;
    int block_ops;          /* number of cells and names records that change */
    uint64_t minimum_epoch; /* last epoch assigned before the transaction */
    bool header_changed;
    uint64_t removed_move;
    tw_shards_waiting_request *answers; /* requests answered once it is applied */
    tw_shards_verdict verdict;
} tw_shards_transaction;

struct tw_shards {
    tw_shards_settings settings;
    double now, wall;
    char leader_key[TW_SHARDS_KEY_SIZE];
    uint64_t token; /* 0: this node does not lead */
    double authority_until;
    bool loaded, reading;
    bool deciding;                     /* see tw_shards_allow_decisions */
    bool quarantine_filled;            /* `quarantined` was filled in this term */
    roaring_bitmap_t *quarantined;     /* machines that have not answered in this term, by index */
    struct tw_shards_read_page *pages; /* pages read so far; see load.c */
    double next_read_at;               /* earliest time of the next READ */
    uint64_t last_effect_id, read_id;
    double write_budget; /* number of changes that may be written, as of budget_updated_at */
    double budget_updated_at;
    tw_shards_header header, next_header;
    uint64_t header_mod_revision;
    tw_shards_machine **machines; /* by index */
    int machine_count, machine_capacity;
    tw_shards_machine *machines_by_name;
    uint64_t *cell_mod_revisions, *name_mod_revisions; /* by block */
    int block_count;
    tw_shards_shard_sets *sets; /* by shard */
    tw_shards_named_set *zones, *images;
    int zone_count, image_count;
    tw_shards_move *moves;
    tw_shards_waiting_request *requests;
    int request_count;
    tw_shards_transaction txn;
    bool in_flight;   /* `txn` was sent and its outcome is not known */
    bool steps_first; /* steps of moves were tried before requests for the last transaction */
    tw_shards_effect *effects, *last_effect;
};

/* memory.c */
/* Allocates zeroed memory; aborts if there is none. */
void *tw_shards_alloc(size_t size);
/* Grows the array for one more item than `count`; new memory is not zeroed. Returns the array. */
void *tw_shards_grow(void *items, int count, int *capacity, size_t size);
/* Copies a name, truncated to TW_SHARDS_NAME - 1 bytes. */
void tw_shards_copy_name(char *to, const char *from);

/* table.c */
/* Clears all records and hints. */
void tw_shards_clear_table(tw_shards *shards);
/* Returns the machine with this name, or NULL. */
tw_shards_machine *tw_shards_find_machine(const tw_shards *shards, const char *name);
/* Returns the slot with this index; creates it and all lower ones if needed. */
tw_shards_machine *tw_shards_get_slot(tw_shards *shards, int index);
/* Assign a name and a zone to an ABSENT machine; and remove them. */
void tw_shards_name_machine(tw_shards *shards, tw_shards_machine *machine, const char *name,
                            int zone);
void tw_shards_unname_machine(tw_shards *shards, tw_shards_machine *machine);
/* Returns the index of the shard with this name, or -1. */
int tw_shards_shard_index(const tw_shards *shards, const char *name);
/* Returns the index of the zone with this name, which is added if it doesn't exist. */
int tw_shards_find_or_add_zone(tw_shards *shards, const char *name);
/* Returns the set of machines that hold the image; NULL if no machine was ever reported to hold
 * it. */
tw_shards_named_set *tw_shards_find_image_set(const tw_shards *shards, const char *name);
tw_shards_named_set *tw_shards_find_or_add_image_set(tw_shards *shards, const char *name);
/* Changes the recorded cell of a machine, and updates the sets that contain the machine. */
void tw_shards_set_cell(tw_shards *shards, tw_shards_machine *machine, tw_shards_cell to);
/* Replaces the recorded header. The table takes ownership of its array of shards. */
void tw_shards_set_header(tw_shards *shards, const tw_shards_header *to);
/* Return the move with this key, or with this number; NULL if there is none. */
tw_shards_move *tw_shards_move_by_key(const tw_shards *shards, const char *key);
tw_shards_move *tw_shards_move_by_number(const tw_shards *shards, uint64_t number);
/* Sorts the moves by number. */
void tw_shards_sort_moves(tw_shards *shards);
/* Adds a recorded move. The table takes ownership of `record->only`. */
tw_shards_move *tw_shards_add_move(tw_shards *shards, const tw_shards_move_record *record);
void tw_shards_remove_move(tw_shards *shards, tw_shards_move *move);
/* Return the effective state and epoch of a machine: after a change of owner, the open machines of
 * a shard are TAKEN under the epoch of the shard. */
tw_shards_state tw_shards_effective_state(const tw_shards *shards,
                                          const tw_shards_machine *machine);
uint64_t tw_shards_effective_epoch(const tw_shards *shards, const tw_shards_machine *machine);
/* Returns the progress of a move according to the records. */
tw_shards_progress tw_shards_move_progress(const tw_shards *shards, const tw_shards_move *move);

/* Errors of reading a record or sending a transaction. */
typedef enum {
    TW_SHARDS_NO_ERROR = 0,
    TW_SHARDS_BAD_RECORD,   /* the record is not JSON, or a member is missing or out of range */
    TW_SHARDS_TXN_TOO_LARGE /* the transaction exceeds the limits of the state service */
} tw_shards_error;

/* record.c: functions that return the text of a record, which the caller frees, and parsers, which
 * return TW_SHARDS_NO_ERROR or TW_SHARDS_BAD_RECORD */
char *tw_shards_header_text(const tw_shards_header *header);
tw_shards_error tw_shards_header_parse(tw_shards_header *header, const char *text);
char *tw_shards_cells_text(const tw_shards *shards, int block);
tw_shards_error tw_shards_cells_parse(tw_shards *shards, int block, const char *text);
char *tw_shards_names_text(const tw_shards *shards, int block);
tw_shards_error tw_shards_names_parse(tw_shards *shards, int block, const char *text);
char *tw_shards_move_text(const tw_shards_move_record *record);
tw_shards_error tw_shards_move_parse(tw_shards_move_record *record, const char *text);
/* Convert a set of indexes to ranges such as "0-3,7", and back. The parser returns NULL for a
 * malformed text. */
char *tw_shards_ranges_text(const roaring_bitmap_t *set);
roaring_bitmap_t *tw_shards_ranges_parse(const char *text);

/* choose.c */
/* Stores the machines of the source shard that may be moved in *chosen, best first; the caller
 * frees the array. Returns their number, at most `most`. */
int tw_shards_choose_machines(const tw_shards *shards, const tw_shards_move_record *record,
                              int max_count, tw_shards_machine ***chosen);

/* transaction.c */
/* The records of a machine's block that a change affects. */
typedef enum { TW_SHARDS_RECORD_CELLS = 1, TW_SHARDS_RECORD_NAMES = 2 } tw_shards_record_kinds;
/* Begins an empty transaction. */
void tw_shards_begin_transaction(tw_shards *shards);
/* Returns whether the transaction can hold these records of the machine's block and `others` more
 * changes. */
bool tw_shards_transaction_fits(const tw_shards *shards, const tw_shards_machine *machine,
                                tw_shards_record_kinds records, int others);
/* Adds the next cell of a machine to the transaction. */
void tw_shards_change_machine(tw_shards *shards, tw_shards_machine *machine, tw_shards_cell to);
/* Add the header or the record of a move to the transaction and return its next version, which the
 * caller changes. */
tw_shards_header *tw_shards_change_header(tw_shards *shards);
tw_shards_move_record *tw_shards_change_move(tw_shards *shards, tw_shards_move *move);
/* Sends the transaction. TW_SHARDS_TXN_TOO_LARGE: a value or the transaction is too large; nothing
 * is sent. */
tw_shards_error tw_shards_commit_transaction(tw_shards *shards);
/* Discards all changes of the transaction. */
void tw_shards_discard_transaction(tw_shards *shards);
/* Applies the changes of the transaction to the recorded state. revision: store revision of the
 * transaction. */
void tw_shards_apply_transaction(tw_shards *shards, uint64_t revision);

/* load.c */
/* Clears the table and starts reading it again. Queued requests stay in the queue. */
void tw_shards_reload_table(tw_shards *shards);
/* Requests the page of keys after this key; "": the first page. */
void tw_shards_read_next_page(tw_shards *shards, const char *after_key);
/* Frees the pages that have been read. */
void tw_shards_free_pages(tw_shards *shards);

/* step.c */
/* Marks as many of the chosen machines for the move as fit into the transaction, which contains
 * the record of the move. */
void tw_shards_mark_machines(tw_shards *shards, tw_shards_move *move, tw_shards_machine **chosen,
                             int count);

/* request.c */
/* Puts the requests of a transaction that was not applied back at the front of the queue. */
void tw_shards_requeue_requests(tw_shards *shards);
/* Answers all requests of the transaction with OK. */
void tw_shards_answer_applied(tw_shards *shards);
/* Answer all queued requests with a verdict; refuse_all includes those of the transaction. */
void tw_shards_refuse_waiting(tw_shards *shards, tw_shards_verdict verdict);
void tw_shards_refuse_all(tw_shards *shards, tw_shards_verdict verdict);
/* Serves queued requests until one of them begins a transaction. Returns whether one began. */
bool tw_shards_serve_request(tw_shards *shards);
/* step.c */
/* Begins a transaction with the due steps of one move, or else with the machines that were opened
 * outside a move. Returns whether a transaction began. */
bool tw_shards_step_moves(tw_shards *shards);

/* leader.c */
/* Emits a NOTIFY effect with the machine's state, for its owner. */
void tw_shards_emit_notification(tw_shards *shards, tw_shards_machine *machine);
void tw_shards_answer_request(tw_shards *shards, const tw_shards_request *request,
                              tw_shards_verdict verdict);
/* Returns whether the machine has answered in this term, so that its state may be changed. */
bool tw_shards_is_confirmed(const tw_shards *shards, const tw_shards_machine *machine);
/* Returns whether an open machine of the shard is in quarantine. */
bool tw_shards_any_quarantined(const tw_shards *shards, int shard_index);
/* Appends an effect to the queue of tw_shards_next_effect. */
tw_shards_effect *tw_shards_emit_effect(tw_shards *shards, tw_shards_effect_kind kind);

#endif
