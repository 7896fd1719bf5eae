/* What the files of the leader have in common. Not for other packages.
 *
 * tw_shards owns everything in this header. It keeps the records of the state service twice: as
 * recorded, and as they will be when the transaction in flight is applied (`next`).
 *
 * Invariants: owners are notified of, and machines are chosen by, what is recorded only; at most
 * one transaction is in flight; a machine's index never changes while the table is loaded; each set
 * of machines agrees with the cells, since only tw_shards_set_cell changes a cell. */
#ifndef TW_SHARDS_INT_H
#define TW_SHARDS_INT_H
#include "shards/shards.h"
#include <roaring/roaring.h>
#include <stdbool.h>
#include <uthash.h>

/* Machines whose cells stand in one record. */
#define TW_SHARDS_BLOCK_SIZE 64
#define TW_SHARDS_KEY_SIZE 128
/* Finished moves that are kept, so that their keys are known when they come again. */
#define TW_SHARDS_MAX_FINISHED_MOVES 64
/* Requests that may wait. */
#define TW_SHARDS_MAX_WAITING 8192

/* The state of one machine in the table. */
typedef struct {
    int shard; /* index; DRAINING: that gives; RELEASED: had it last */
    tw_shards_state state;
    uint64_t epoch; /* under which it was taken */
    uint64_t move;  /* number of the move that holds it; 0: none */
} tw_shards_cell;

/* A place in the table. An ABSENT machine has no name, and its place may be given to another one.
 */
typedef struct tw_shards_machine {
    char name[TW_SHARDS_NAME];
    int index;
    int zone; /* index in shards->zones */
    tw_shards_cell cell, next;
    bool change_pending;                  /* next is in the transaction in flight */
    uint64_t drained_epoch, opened_epoch; /* epochs for which the owner reported it */
    double notified_at;                   /* when its owner was notified last */
    int load;
    UT_hash_handle hh;
} tw_shards_machine;

typedef struct {
    char name[TW_SHARDS_NAME], owner[TW_SHARDS_NAME];
    uint64_t epoch; /* owners changed with it: machines taken under earlier ones are to be opened */
    int least, spread;
} tw_shards_shard;

/* The record of all shards. */
typedef struct {
    uint64_t revision, epoch, move; /* last ones that were given */
    tw_shards_shard *shards;
    int shard_count;
} tw_shards_header;

/* The record of a move. */
typedef struct {
    char key[TW_SHARDS_NAME], image[TW_SHARDS_NAME];
    uint64_t number;
    int from, to;       /* shards */
    int wanted, marked; /* machines asked for, and chosen so far */
    int moved, returned, lost;
    int cancelled, done;
    double deadline; /* time of day until which drains may last */
    uint64_t digest; /* of the request, to know a repetition from another one */
    char *only;      /* indexes of the machines named, as ranges; NULL: any */
} tw_shards_move_record;

/* A move, and the machines that it holds. */
typedef struct tw_shards_move {
    tw_shards_move_record recorded, next;
    uint64_t mod_revision;
    bool change_pending;
    roaring_bitmap_t *machines;         /* that it holds, as recorded */
    struct tw_shards_move *prev, *link; /* in the order of their numbers */
} tw_shards_move;

/* Machines of a shard by what is recorded. */
typedef struct {
    roaring_bitmap_t *open, *taken, *draining;
} tw_shards_shard_sets;

/* The machines of a zone, or those that hold an image. */
typedef struct {
    char name[TW_SHARDS_NAME];
    roaring_bitmap_t *machines;
} tw_shards_named_set;

/* A request that has no answer yet. */
typedef struct tw_shards_waiting_request {
    tw_shards_request request;
    struct tw_shards_waiting_request *prev, *next;
} tw_shards_waiting_request;

/* The transaction in flight. */
typedef struct {
    uint64_t id;
    int ops;
    int *machines; /* indexes of those that change */
    int machine_count, machine_capacity;
    unsigned char *record_kinds; /* by block: which of its records change */
    int record_kinds_capacity, block_ops;
    uint64_t minimum_epoch; /* last epoch before it */
    bool header_changed;
    uint64_t removed_move;
    tw_shards_waiting_request *answers; /* requests that it answers once applied */
    tw_shards_verdict verdict;
} tw_shards_transaction;

struct tw_shards {
    tw_shards_settings settings;
    double now, wall;
    char leader_key[TW_SHARDS_KEY_SIZE];
    uint64_t token; /* 0: doesn't lead */
    double authority_until;
    bool loaded, reading;
    bool deciding;                     /* see tw_shards_allow_decisions */
    bool quarantine_filled;            /* `quarantined` was filled in this term */
    roaring_bitmap_t *quarantined;     /* machines that have not answered in this term, by index */
    struct tw_shards_read_page *pages; /* read so far, see load.c */
    double next_read_at;               /* no reading before it */
    uint64_t last_effect_id, read_id;
    double write_budget, budget_updated_at; /* changes that may be written now */
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
    bool in_flight;
    bool steps_first;
    tw_shards_effect *effects, *last_effect;
};

/* memory.c */
/* Zeroed memory; the program ends where there is none. */
void *tw_shards_alloc(size_t size);
/* Room for one item more than `count`; new room is not zeroed. Returns the items. */
void *tw_shards_grow(void *items, int count, int *capacity, size_t size);
/* Copies a name; one that is too long is cut. */
void tw_shards_copy_name(char *to, const char *from);

/* table.c */
/* Forgets everything that stands in records, and the hints. */
void tw_shards_clear_table(tw_shards *shards);
/* The machine of that name, or NULL. */
tw_shards_machine *tw_shards_find_machine(const tw_shards *shards, const char *name);
/* The machine of that index, made with all before it where it doesn't exist. */
tw_shards_machine *tw_shards_get_slot(tw_shards *shards, int index);
/* Gives an ABSENT machine a name and a zone, or takes them away. */
void tw_shards_name_machine(tw_shards *shards, tw_shards_machine *machine, const char *name,
                            int zone);
void tw_shards_unname_machine(tw_shards *shards, tw_shards_machine *machine);
/* The index of the shard of that name, or -1. */
int tw_shards_shard_index(const tw_shards *shards, const char *name);
/* The index of the zone of that name, made where it doesn't exist. */
int tw_shards_find_or_add_zone(tw_shards *shards, const char *name);
/* The machines that hold the image; NULL: none was ever said to hold it. */
tw_shards_named_set *tw_shards_find_image_set(const tw_shards *shards, const char *name);
tw_shards_named_set *tw_shards_find_or_add_image_set(tw_shards *shards, const char *name);
/* Changes a recorded cell, and the sets that the machine is in. */
void tw_shards_set_cell(tw_shards *shards, tw_shards_machine *machine, tw_shards_cell to);
/* Changes the recorded header. Its list of shards belongs to the table from now on. */
void tw_shards_set_header(tw_shards *shards, const tw_shards_header *to);
/* The move of that key or number, or NULL. */
tw_shards_move *tw_shards_move_by_key(const tw_shards *shards, const char *key);
tw_shards_move *tw_shards_move_by_number(const tw_shards *shards, uint64_t number);
/* Puts the moves into the order of their numbers. */
void tw_shards_sort_moves(tw_shards *shards);
/* Adds a recorded move. The record's text belongs to the table from now on. */
tw_shards_move *tw_shards_add_move(tw_shards *shards, const tw_shards_move_record *record);
void tw_shards_remove_move(tw_shards *shards, tw_shards_move *move);
/* The state and epoch that hold for a machine: a shard that has changed hands makes its open
 * machines TAKEN, under the shard's epoch. */
tw_shards_state tw_shards_effective_state(const tw_shards *shards,
                                          const tw_shards_machine *machine);
uint64_t tw_shards_effective_epoch(const tw_shards *shards, const tw_shards_machine *machine);
/* The progress of a move by what is recorded. */
tw_shards_progress tw_shards_move_progress(const tw_shards *shards, const tw_shards_move *move);

/* Why a record was not read, or a transaction not sent. */
typedef enum {
    TW_SHARDS_NO_ERROR = 0,
    TW_SHARDS_BAD_RECORD,   /* it is not JSON, or a member is missing or out of range */
    TW_SHARDS_TXN_TOO_LARGE /* it exceeds the limits of the state service */
} tw_shards_error;

/* record.c: texts of records, which the caller frees, and their parsers, which return
 * TW_SHARDS_NO_ERROR or TW_SHARDS_BAD_RECORD */
char *tw_shards_header_text(const tw_shards_header *header);
tw_shards_error tw_shards_header_parse(tw_shards_header *header, const char *text);
char *tw_shards_cells_text(const tw_shards *shards, int block);
tw_shards_error tw_shards_cells_parse(tw_shards *shards, int block, const char *text);
char *tw_shards_names_text(const tw_shards *shards, int block);
tw_shards_error tw_shards_names_parse(tw_shards *shards, int block, const char *text);
char *tw_shards_move_text(const tw_shards_move_record *record);
tw_shards_error tw_shards_move_parse(tw_shards_move_record *record, const char *text);
/* A set of indexes as ranges, as in "0-3,7", and back; NULL: the text is none. */
char *tw_shards_ranges_text(const roaring_bitmap_t *set);
roaring_bitmap_t *tw_shards_ranges_parse(const char *text);

/* choose.c */
/* Machines of the move's giving shard that may go, the best first, in *chosen, which the caller
 * frees; returns how many, at most `most`. */
int tw_shards_choose_machines(const tw_shards *shards, const tw_shards_move_record *record,
                              int most, tw_shards_machine ***chosen);

/* transaction.c */
/* Which records of a machine's block a change concerns. */
typedef enum { TW_SHARDS_RECORD_CELLS = 1, TW_SHARDS_RECORD_NAMES = 2 } tw_shards_record_kinds;
/* Begins a transaction that changes nothing yet. */
void tw_shards_begin_transaction(tw_shards *shards);
/* Whether these records of the machine's block fit into the transaction beside `others` more. */
bool tw_shards_transaction_fits(const tw_shards *shards, const tw_shards_machine *machine,
                                tw_shards_record_kinds records, int others);
/* Puts a machine's next cell into the transaction. */
void tw_shards_change_machine(tw_shards *shards, tw_shards_machine *machine, tw_shards_cell to);
/* The next header or move record of the transaction, to be changed by the caller. */
tw_shards_header *tw_shards_change_header(tw_shards *shards);
tw_shards_move_record *tw_shards_change_move(tw_shards *shards, tw_shards_move *move);
/* Sends it. TW_SHARDS_TXN_TOO_LARGE: a value or the transaction is too large, and nothing is
 * changed. */
tw_shards_error tw_shards_commit_transaction(tw_shards *shards);
/* Forgets what was put into the transaction. */
void tw_shards_discard_transaction(tw_shards *shards);
/* Makes what was put into the transaction what is recorded, as of that store revision. */
void tw_shards_apply_transaction(tw_shards *shards, uint64_t revision);

/* load.c */
/* Forgets the table and begins to read it. Requests that wait go on waiting. */
void tw_shards_reload_table(tw_shards *shards);
/* Asks for the page of keys after that one; "": the first page. */
void tw_shards_read_next_page(tw_shards *shards, const char *after);
/* Frees the pages read so far. */
void tw_shards_free_pages(tw_shards *shards);

/* step.c */
/* Adds machines to a move whose record is in the transaction, as many as there is room for. */
void tw_shards_mark_machines(tw_shards *shards, tw_shards_move *move, tw_shards_machine **chosen,
                             int count);

/* request.c */
/* Puts the requests of a transaction that was not applied back to the front of the queue. */
void tw_shards_requeue_requests(tw_shards *shards);
/* Answers the requests of the transaction OK. */
void tw_shards_answer_applied(tw_shards *shards);
/* Answers the requests that wait; refuse_all also those of the transaction. */
void tw_shards_refuse_waiting(tw_shards *shards, tw_shards_verdict verdict);
void tw_shards_refuse_all(tw_shards *shards, tw_shards_verdict verdict);
/* request.c, step.c: each begins at most one transaction and says whether it did */
bool tw_shards_serve_request(tw_shards *shards);
bool tw_shards_step_moves(tw_shards *shards);

/* leader.c */
/* Notifies the owner of a machine. */
void tw_shards_emit_notification(tw_shards *shards, tw_shards_machine *machine);
/* Answers a request. */
void tw_shards_answer_request(tw_shards *shards, const tw_shards_request *request,
                              tw_shards_verdict verdict);
/* Whether the machine has answered under this term, so that its state may be changed. */
bool tw_shards_is_confirmed(const tw_shards *shards, const tw_shards_machine *machine);
/* Whether an open machine of the shard is in quarantine. */
bool tw_shards_any_quarantined(const tw_shards *shards, int shard_index);
/* Adds an effect to those that tw_shards_next_effect gives out. */
tw_shards_effect *tw_shards_emit_effect(tw_shards *shards, tw_shards_effect_kind kind);

#endif
