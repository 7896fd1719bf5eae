/* What the leader's part of the package shares among its files. Not for other packages.
 *
 * Everything that stands in the state service is kept twice: as recorded, and as it will be when
 * the transaction in flight is applied (`next`). Only what is recorded is told or chosen from. */
#ifndef TW_SHARES_INT_H
#define TW_SHARES_INT_H
#include "shares/shares.h"
#include <roaring/roaring.h>
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
    int share; /* index; DRAINING: that gives; RELEASED: had it last */
    tw_shares_state state;
    uint64_t epoch; /* under which it was taken */
    uint64_t move;  /* number of the move that holds it; 0: none */
} cell;

typedef struct machine {
    char name[TW_SHARES_NAME];
    int index;
    int zone; /* index in shares->zones */
    cell cell, next;
    int changing;             /* next is in the transaction in flight */
    uint64_t drained, opened; /* epochs for which the owner said so */
    double told_at;           /* when its owner was last told */
    int load;
    UT_hash_handle hh;
} machine;

typedef struct {
    char name[TW_SHARES_NAME], owner[TW_SHARES_NAME];
    uint64_t epoch; /* owners changed with it: machines taken under earlier ones are to be opened */
    int least, spread;
} share;

/* The record of all shares. */
typedef struct {
    uint64_t revision, epoch, move; /* last ones that were given */
    share *shares;
    int nshares;
} header;

/* What a record says of a move. */
typedef struct {
    char key[TW_SHARES_NAME], image[TW_SHARES_NAME];
    uint64_t number;
    int from, to;       /* shares */
    int wanted, marked; /* machines asked for, and chosen so far */
    int moved, returned, lost;
    int cancelled, done;
    double deadline; /* time of day until which drains may last */
    uint64_t digest; /* of the request, to know a repetition from another one */
    char *only;      /* indexes of the machines named, as ranges; NULL: any */
} move_record;

typedef struct move {
    move_record now, next;
    uint64_t stamp;
    int changing;
    roaring_bitmap_t *machines; /* that it holds, as recorded */
    struct move *prev, *link;   /* in the order of their numbers */
} move;

/* Machines of a share by what is recorded. */
typedef struct {
    roaring_bitmap_t *open, *taken, *draining;
} share_sets;

typedef struct {
    char name[TW_SHARES_NAME];
    roaring_bitmap_t *machines;
} named_set;

typedef struct waiting {
    tw_shares_request request;
    struct waiting *prev, *next;
} waiting;

/* The transaction in flight. */
typedef struct {
    uint64_t id;
    int ops;
    int *machines; /* indexes of those that change */
    int nmachines, machines_room;
    unsigned char *marks; /* by block: which of its records change */
    int marks_room, block_ops;
    uint64_t floor; /* last epoch before it */
    int header_changed;
    uint64_t removed_move;
    waiting *answers; /* requests that it answers once applied */
    tw_shares_verdict verdict;
} transaction;

struct tw_shares {
    tw_shares_settings settings;
    double now, wall;
    char leader_key[KEY_SIZE];
    uint64_t token; /* 0: doesn't lead */
    double authority_until;
    int loaded, reading;
    int deciding;                /* see tw_shares_decide */
    int listed;                  /* `unchecked` was filled in this term */
    roaring_bitmap_t *unchecked; /* machines that have not answered in this term, by index */
    struct kept_page *pages;     /* read so far, see load.c */
    double read_after;           /* no reading before it */
    uint64_t next_call, call;
    double budget, budget_at; /* changes that may be written now */
    header header, next_header;
    uint64_t header_stamp;
    machine **machines; /* by index */
    int nmachines, machines_room;
    machine *by_name;
    uint64_t *cell_stamps, *name_stamps; /* by block */
    int nblocks;
    share_sets *sets; /* by share */
    named_set *zones, *images;
    int nzones, nimages;
    move *moves;
    waiting *requests;
    int nrequests;
    transaction txn;
    int in_flight, steps_first;
    tw_shares_effect *effects, *last_effect;
};

/* memory.c */
void *tw_shares_alloc(size_t size);
void *tw_shares_grow(void *items, int count, int *room, size_t size);
void tw_shares_copy_name(char *to, const char *from);

/* table.c */
void tw_shares_clear(tw_shares *shares);
machine *tw_shares_find(const tw_shares *shares, const char *name);
machine *tw_shares_slot(tw_shares *shares, int index);
void tw_shares_name_machine(tw_shares *shares, machine *machine, const char *name, int zone);
void tw_shares_unname_machine(tw_shares *shares, machine *machine);
int tw_shares_share_index(const tw_shares *shares, const char *name);
int tw_shares_zone_index(tw_shares *shares, const char *name);
/* NULL: no machine was ever said to hold it. */
named_set *tw_shares_find_image(const tw_shares *shares, const char *name);
named_set *tw_shares_make_image(tw_shares *shares, const char *name);
void tw_shares_set_cell(tw_shares *shares, machine *machine, cell to);
void tw_shares_set_header(tw_shares *shares, const header *to);
move *tw_shares_move_by_key(const tw_shares *shares, const char *key);
move *tw_shares_move_by_number(const tw_shares *shares, uint64_t number);
void tw_shares_sort_moves(tw_shares *shares);
move *tw_shares_add_move(tw_shares *shares, const move_record *record);
void tw_shares_drop_move(tw_shares *shares, move *move);
/* The state and epoch that hold for a machine, its share's owner considered. */
tw_shares_state tw_shares_state_of(const tw_shares *shares, const machine *machine);
uint64_t tw_shares_epoch_of(const tw_shares *shares, const machine *machine);
tw_shares_progress tw_shares_progress_of(const tw_shares *shares, const move *move);

/* record.c: texts of records; the caller frees them */
char *tw_shares_header_text(const header *header);
int tw_shares_header_parse(header *header, const char *text);
char *tw_shares_cells_text(const tw_shares *shares, int block);
int tw_shares_cells_parse(tw_shares *shares, int block, const char *text);
char *tw_shares_names_text(const tw_shares *shares, int block);
int tw_shares_names_parse(tw_shares *shares, int block, const char *text);
char *tw_shares_move_text(const move_record *record);
int tw_shares_move_parse(move_record *record, const char *text);
char *tw_shares_ranges(const roaring_bitmap_t *set);
roaring_bitmap_t *tw_shares_ranges_parse(const char *text);

/* choose.c */
/* Machines of the move's giving share that may go, the best first, in *chosen, which the caller
 * frees; returns how many, at most `most`. */
int tw_shares_choose(const tw_shares *shares, const move_record *record, int most,
                     machine ***chosen);

/* transaction.c */
/* Which records of a machine's block a change concerns. */
typedef enum { CELLS = 1, NAMES = 2 } record_kinds;
void tw_shares_begin(tw_shares *shares);
/* Whether these records of the machine's block fit into the transaction beside `others` more. */
int tw_shares_has_room(const tw_shares *shares, const machine *machine, record_kinds records,
                       int others);
void tw_shares_change(tw_shares *shares, machine *machine, cell to);
header *tw_shares_change_header(tw_shares *shares);
move_record *tw_shares_change_move(tw_shares *shares, move *move);
/* Sends it; -1: a value is too large, and nothing is changed. */
int tw_shares_commit(tw_shares *shares);
/* Forgets what was put into it. */
void tw_shares_abandon(tw_shares *shares);
void tw_shares_apply(tw_shares *shares, uint64_t revision);

/* load.c */
void tw_shares_reload(tw_shares *shares);
void tw_shares_read_next(tw_shares *shares, const char *after);
void tw_shares_forget_pages(tw_shares *shares);

void tw_shares_mark(tw_shares *shares, move *marked, machine **chosen, int count);
void tw_shares_requeue(tw_shares *shares);
void tw_shares_answer_applied(tw_shares *shares);
void tw_shares_refuse_waiting(tw_shares *shares, tw_shares_verdict verdict);
void tw_shares_refuse_all(tw_shares *shares, tw_shares_verdict verdict);
/* request.c, step.c: each begins at most one transaction and says whether it did */
int tw_shares_serve_request(tw_shares *shares);
int tw_shares_step_moves(tw_shares *shares);

/* leader.c */
void tw_shares_emit_tell(tw_shares *shares, machine *machine);
void tw_shares_answer(tw_shares *shares, const tw_shares_request *request,
                      tw_shares_verdict verdict);
/* Whether the machine has answered under this term, so that its state may be changed. */
int tw_shares_is_checked(const tw_shares *shares, const machine *machine);
/* Whether an open machine of the share waits for that. */
int tw_shares_any_held_back(const tw_shares *shares, int share_index);
tw_shares_effect *tw_shares_emit(tw_shares *shares, tw_shares_effect_kind kind);

#endif
