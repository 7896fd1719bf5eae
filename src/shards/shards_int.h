/* What the leader's part of the package shares among its files. Not for other packages.
 *
 * Everything that stands in the state service is kept twice: as recorded, and as it will be when
 * the transaction in flight is applied (`next`). Only what is recorded is told or chosen from. */
#ifndef TW_SHARDS_INT_H
#define TW_SHARDS_INT_H
#include "shards/shards.h"
#include <roaring/roaring.h>
#include <stdbool.h>
#include <uthash.h>

/* Machines whose cells stand in one record. */
#define BLOCK 64
#define KEY_SIZE 128
/* Finished moves that are kept, so that their keys are known when they come again. */
#define FINISHED_KEPT 64
/* Requests that may wait. */
#define MOST_WAITING 8192

/* Who has a machine. */
typedef struct {
    int shard; /* index; DRAINING: that gives; RELEASED: had it last */
    tw_shards_state state;
    uint64_t epoch; /* under which it was taken */
    uint64_t move;  /* number of the move that holds it; 0: none */
} tw_shards_cell;

typedef struct tw_shards_machine {
    char name[TW_SHARDS_NAME];
    int index;
    int zone; /* index in shares->zones */
    tw_shards_cell cell, next;
    bool changing;            /* next is in the transaction in flight */
    uint64_t drained, opened; /* epochs for which the owner said so */
    double notified_at;       /* when its owner was last told */
    int load;
    UT_hash_handle hh;
} tw_shards_machine;

typedef struct {
    char name[TW_SHARDS_NAME], owner[TW_SHARDS_NAME];
    uint64_t epoch; /* owners changed with it: machines taken under earlier ones are to be opened */
    int least, spread;
} tw_shards_shard;

/* The record of all shares. */
typedef struct {
    uint64_t revision, epoch, move; /* last ones that were given */
    tw_shards_shard *shards;
    int shard_count;
} tw_shards_header;

/* What a record says of a move. */
typedef struct {
    char key[TW_SHARDS_NAME], image[TW_SHARDS_NAME];
    uint64_t number;
    int from, to;       /* shares */
    int wanted, marked; /* machines asked for, and chosen so far */
    int moved, returned, lost;
    int cancelled, done;
    double deadline; /* time of day until which drains may last */
    uint64_t digest; /* of the request, to know a repetition from another one */
    char *only;      /* indexes of the machines named, as ranges; NULL: any */
} tw_shards_move_record;

typedef struct tw_shards_move {
    tw_shards_move_record now, next;
    uint64_t mod_revision;
    bool changing;
    roaring_bitmap_t *machines;         /* that it holds, as recorded */
    struct tw_shards_move *prev, *link; /* in the order of their numbers */
} tw_shards_move;

/* Machines of a share by what is recorded. */
typedef struct {
    roaring_bitmap_t *open, *taken, *draining;
} tw_shards_shard_sets;

typedef struct {
    char name[TW_SHARDS_NAME];
    roaring_bitmap_t *machines;
} tw_shards_named_set;

typedef struct tw_shards_waiting_request {
    tw_shards_request request;
    struct tw_shards_waiting_request *prev, *next;
} tw_shards_waiting_request;

/* The transaction in flight. */
typedef struct {
    uint64_t id;
    int ops;
    int *machines; /* indexes of those that change */
    int machine_count, machine_room;
    unsigned char *marks; /* by block: which of its records change */
    int mark_room, block_ops;
    uint64_t minimum_epoch; /* last epoch before it */
    bool header_changed;
    uint64_t removed_move;
    tw_shards_waiting_request *answers; /* requests that it answers once applied */
    tw_shards_verdict verdict;
} tw_shards_transaction;

struct tw_shards {
    tw_shards_settings settings;
    double now, wall;
    char leader_key[KEY_SIZE];
    uint64_t token; /* 0: doesn't lead */
    double authority_until;
    bool loaded, reading;
    bool deciding;                     /* see tw_shards_decide */
    bool quarantine_listed;            /* `unchecked` was filled in this term */
    roaring_bitmap_t *quarantined;     /* machines that have not answered in this term, by index */
    struct tw_shards_kept_page *pages; /* read so far, see load.c */
    double read_after;                 /* no reading before it */
    uint64_t next_call, call;
    double budget, budget_at; /* changes that may be written now */
    tw_shards_header header, next_header;
    uint64_t header_mod_revision;
    tw_shards_machine **machines; /* by index */
    int machine_count, machine_room;
    tw_shards_machine *by_name;
    uint64_t *cell_mod_revisions, *name_mod_revisions; /* by block */
    int block_count;
    tw_shards_shard_sets *sets; /* by share */
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
void *tw_shards_alloc(size_t size);
void *tw_shards_grow(void *items, int count, int *room, size_t size);
void tw_shards_copy_name(char *to, const char *from);

/* table.c */
void tw_shards_clear(tw_shards *shards);
tw_shards_machine *tw_shards_find(const tw_shards *shards, const char *name);
tw_shards_machine *tw_shards_slot(tw_shards *shards, int index);
void tw_shards_name_machine(tw_shards *shards, tw_shards_machine *machine, const char *name,
                            int zone);
void tw_shards_unname_machine(tw_shards *shards, tw_shards_machine *machine);
int tw_shards_shard_index(const tw_shards *shards, const char *name);
int tw_shards_zone_index(tw_shards *shards, const char *name);
/* NULL: no machine was ever said to hold it. */
tw_shards_named_set *tw_shards_find_image(const tw_shards *shards, const char *name);
tw_shards_named_set *tw_shards_make_image(tw_shards *shards, const char *name);
void tw_shards_set_cell(tw_shards *shards, tw_shards_machine *machine, tw_shards_cell to);
void tw_shards_set_header(tw_shards *shards, const tw_shards_header *to);
tw_shards_move *tw_shards_move_by_key(const tw_shards *shards, const char *key);
tw_shards_move *tw_shards_move_by_number(const tw_shards *shards, uint64_t number);
void tw_shards_sort_moves(tw_shards *shards);
tw_shards_move *tw_shards_add_move(tw_shards *shards, const tw_shards_move_record *record);
void tw_shards_drop_move(tw_shards *shards, tw_shards_move *move);
/* The state and epoch that hold for a machine, its share's owner considered. */
tw_shards_state tw_shards_state_of(const tw_shards *shards, const tw_shards_machine *machine);
uint64_t tw_shards_epoch_of(const tw_shards *shards, const tw_shards_machine *machine);
tw_shards_progress tw_shards_progress_of(const tw_shards *shards, const tw_shards_move *move);

/* record.c: texts of records; the caller frees them */
char *tw_shards_header_text(const tw_shards_header *header);
int tw_shards_header_parse(tw_shards_header *header, const char *text);
char *tw_shards_cells_text(const tw_shards *shards, int block);
int tw_shards_cells_parse(tw_shards *shards, int block, const char *text);
char *tw_shards_names_text(const tw_shards *shards, int block);
int tw_shards_names_parse(tw_shards *shards, int block, const char *text);
char *tw_shards_move_text(const tw_shards_move_record *record);
int tw_shards_move_parse(tw_shards_move_record *record, const char *text);
char *tw_shards_ranges(const roaring_bitmap_t *set);
roaring_bitmap_t *tw_shards_ranges_parse(const char *text);

/* choose.c */
/* Machines of the move's giving share that may go, the best first, in *chosen, which the caller
 * frees; returns how many, at most `most`. */
int tw_shards_choose(const tw_shards *shards, const tw_shards_move_record *record, int most,
                     tw_shards_machine ***chosen);

/* transaction.c */
/* Which records of a machine's block a change concerns. */
typedef enum { TW_SHARDS_RECORD_CELLS = 1, TW_SHARDS_RECORD_NAMES = 2 } tw_shards_record_kinds;
void tw_shards_begin(tw_shards *shards);
/* Whether these records of the machine's block fit into the transaction beside `others` more. */
bool tw_shards_has_room(const tw_shards *shards, const tw_shards_machine *machine,
                        tw_shards_record_kinds records, int others);
void tw_shards_change(tw_shards *shards, tw_shards_machine *machine, tw_shards_cell to);
tw_shards_header *tw_shards_change_header(tw_shards *shards);
tw_shards_move_record *tw_shards_change_move(tw_shards *shards, tw_shards_move *move);
/* Sends it; -1: a value is too large, and nothing is changed. */
int tw_shards_commit(tw_shards *shards);
/* Forgets what was put into it. */
void tw_shards_abandon(tw_shards *shards);
void tw_shards_apply(tw_shards *shards, uint64_t revision);

/* load.c */
void tw_shards_reload(tw_shards *shards);
void tw_shards_read_next(tw_shards *shards, const char *after);
void tw_shards_forget_pages(tw_shards *shards);

void tw_shards_mark(tw_shards *shards, tw_shards_move *marked, tw_shards_machine **chosen,
                    int count);
void tw_shards_requeue(tw_shards *shards);
void tw_shards_answer_applied(tw_shards *shards);
void tw_shards_refuse_waiting(tw_shards *shards, tw_shards_verdict verdict);
void tw_shards_refuse_all(tw_shards *shards, tw_shards_verdict verdict);
/* request.c, step.c: each begins at most one transaction and says whether it did */
bool tw_shards_serve_request(tw_shards *shards);
bool tw_shards_step_moves(tw_shards *shards);

/* leader.c */
void tw_shards_emit_notification(tw_shards *shards, tw_shards_machine *machine);
void tw_shards_answer(tw_shards *shards, const tw_shards_request *request,
                      tw_shards_verdict verdict);
/* Whether the machine has answered under this term, so that its state may be changed. */
bool tw_shards_is_confirmed(const tw_shards *shards, const tw_shards_machine *machine);
/* Whether an open machine of the share waits for that. */
int tw_shards_any_quarantined(const tw_shards *shards, int shard_index);
tw_shards_effect *tw_shards_emit(tw_shards *shards, tw_shards_effect_kind kind);

#endif
