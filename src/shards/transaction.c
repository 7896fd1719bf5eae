/* The one transaction in flight: what it changes, its text, and what holds once it is applied.
 *
 * Every transaction is conditioned on the leader's key, so that a deposed leader's fails, and on
 * the revision of each record that it writes, so that one which is carried out late fails as soon
 * as anything newer was written. */
#include "shards/shards_int.h"
#include "wire/wire.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Longest body of a transaction that the state service takes, less its frame. */
#define MOST_BODY ((size_t)60 * 1024)

typedef struct {
    tw_wire_compare *conditions;
    tw_wire_write *writes;
    char (*keys)[KEY_SIZE];
    int count, room;
    size_t bytes;
    int too_large;
} body;

void tw_shards_begin(tw_shards *shares) {
    transaction *txn = &shares->txn;
    txn->ops = 0;
    txn->nmachines = 0;
    txn->block_ops = 0;
    if (txn->marks) memset(txn->marks, 0, (size_t)txn->marks_room);
    txn->header_changed = false;
    txn->removed_move = 0;
    txn->floor = shares->header.epoch;
    txn->verdict = TW_SHARDS_OK;
}

/* ---- what it changes ---- */

/* Which records of a block it changes: CELLS, NAMES. */
static int marks_of(const tw_shards *shares, int block) {
    return block < shares->txn.marks_room ? shares->txn.marks[block] : 0;
}

static void mark_block(transaction *txn, int block, int marks) {
    if (block >= txn->marks_room) {
        const int room = block + BLOCK;
        unsigned char *grown = realloc(txn->marks, (size_t)room);
        if (!grown) abort();
        memset(grown + txn->marks_room, 0, (size_t)(room - txn->marks_room));
        txn->marks = grown;
        txn->marks_room = room;
    }
    const int added = marks & ~txn->marks[block];
    txn->block_ops += ((added & CELLS) != 0) + ((added & NAMES) != 0);
    txn->marks[block] |= (unsigned char)marks;
}

bool tw_shards_has_room(const tw_shards *shares, const machine *machine, record_kinds records,
                        int others) {
    const int marks = marks_of(shares, machine->index / BLOCK);
    const int more = (records & CELLS && !(marks & CELLS)) + (records & NAMES && !(marks & NAMES));
    return shares->txn.block_ops + more + others <= shares->settings.txn_ops;
}

void tw_shards_change(tw_shards *shares, machine *machine, cell to) {
    transaction *txn = &shares->txn;
    txn->machines =
        tw_shards_grow(txn->machines, txn->nmachines, &txn->machines_room, sizeof *txn->machines);
    txn->machines[txn->nmachines++] = machine->index;
    const bool named = machine->cell.state != TW_SHARDS_ABSENT;
    const bool stays_named = to.state != TW_SHARDS_ABSENT;
    machine->next = to;
    machine->changing = true;
    mark_block(txn, machine->index / BLOCK, CELLS | (named != stays_named ? NAMES : 0));
}

header *tw_shards_change_header(tw_shards *shares) {
    const header *now = &shares->header;
    header *next = &shares->next_header;
    if (shares->txn.header_changed) return next;
    *next = *now;
    next->shares = tw_shards_alloc(sizeof *next->shares * ((size_t)now->nshares + 1));
    if (now->nshares)
        memcpy(next->shares, now->shares, sizeof *next->shares * (size_t)now->nshares);
    shares->txn.header_changed = true;
    return next;
}

move_record *tw_shards_change_move(tw_shards *shares, move *changed) {
    (void)shares;
    if (!changed->changing) changed->next = changed->now;
    changed->changing = true;
    return &changed->next;
}

/* ---- its text ---- */

static void add_write(const tw_shards *shares, body *to, const char *key, uint64_t stamp,
                      char *data) {
    const int i = to->count++;
    snprintf(to->keys[i], KEY_SIZE, "%s%s", TW_SHARDS_PREFIX, key);
    to->conditions[i + 1] = (tw_wire_compare){to->keys[i], stamp};
    to->writes[i] = (tw_wire_write){to->keys[i], data, 0};
    if (!data) return;
    const size_t length = strlen(data);
    to->bytes += length + KEY_SIZE;
    if (length > shares->settings.value_bytes || to->bytes > MOST_BODY) to->too_large = 1;
}

static void add_blocks(const tw_shards *shares, body *to) {
    char key[KEY_SIZE];
    for (int block = 0; block < shares->nblocks; block++) {
        const int marks = marks_of(shares, block);
        if (marks & CELLS) {
            snprintf(key, sizeof key, "cells/%04d", block);
            add_write(shares, to, key, shares->cell_stamps[block],
                      tw_shards_cells_text(shares, block));
        }
        if (marks & NAMES) {
            snprintf(key, sizeof key, "names/%04d", block);
            add_write(shares, to, key, shares->name_stamps[block],
                      tw_shards_names_text(shares, block));
        }
    }
}

/* Whether the move is over once the transaction is applied. */
static bool over(const tw_shards *shares, const move *of) {
    const transaction *txn = &shares->txn;
    int held = (int)roaring_bitmap_get_cardinality(of->machines);
    for (int i = 0; i < txn->nmachines; i++) {
        const machine *each = shares->machines[txn->machines[i]];
        held += (each->next.move == of->next.number) - (each->cell.move == of->next.number);
    }
    return !held && (of->next.cancelled || of->next.marked >= of->next.wanted);
}

static void add_moves(tw_shards *shares, body *to) {
    char key[KEY_SIZE];
    move *each;
    DL_FOREACH2(shares->moves, each, link) {
        if (!each->changing && each->now.number != shares->txn.removed_move) continue;
        char *text = NULL;
        if (each->changing) {
            each->next.done = over(shares, each);
            text = tw_shards_move_text(&each->next);
        }
        snprintf(key, sizeof key, "move/%s", each->changing ? each->next.key : each->now.key);
        add_write(shares, to, key, each->stamp, text);
    }
}

static void free_body(body *to) {
    for (int i = 0; i < to->count; i++) free((char *)to->writes[i].value);
    free(to->conditions);
    free(to->writes);
    free(to->keys);
}

static body body_of(tw_shards *shares) {
    body to = {.room = shares->settings.txn_ops + FINISHED_KEPT + 2 * shares->nblocks + 2};
    move *each;
    DL_FOREACH2(shares->moves, each, link) { to.room += each->changing; }
    const size_t room = (size_t)to.room;
    to.conditions = tw_shards_alloc(sizeof *to.conditions * (room + 1));
    to.writes = tw_shards_alloc(sizeof *to.writes * room);
    to.keys = tw_shards_alloc(sizeof *to.keys * room);
    to.conditions[0] = (tw_wire_compare){shares->leader_key, shares->token};
    if (shares->txn.header_changed)
        add_write(shares, &to, "table", shares->header_stamp,
                  tw_shards_header_text(&shares->next_header));
    add_moves(shares, &to);
    add_blocks(shares, &to);
    return to;
}

int tw_shards_commit(tw_shards *shares) {
    transaction *txn = &shares->txn;
    body to = body_of(shares);
    if (to.too_large || to.count > shares->settings.txn_ops) {
        free_body(&to);
        return -1;
    }
    tw_shards_effect *effect = tw_shards_emit(shares, TW_SHARDS_WRITE);
    effect->text =
        tw_wire_txn_text(to.conditions, (size_t)to.count + 1, to.writes, (size_t)to.count);
    effect->ops = txn->ops = to.count;
    effect->id = txn->id = ++shares->next_call;
    shares->in_flight = true;
    shares->budget -= to.count;
    free_body(&to);
    return 0;
}

/* ---- its end ---- */

static void settle_machines(tw_shards *shares, uint64_t revision) {
    const transaction *txn = &shares->txn;
    for (int block = 0; block < shares->nblocks; block++) {
        const int marks = marks_of(shares, block);
        if (marks & CELLS) shares->cell_stamps[block] = revision;
        if (marks & NAMES) shares->name_stamps[block] = revision;
    }
    for (int i = 0; i < txn->nmachines; i++) {
        machine *each = shares->machines[txn->machines[i]];
        each->changing = false;
        tw_shards_set_cell(shares, each, each->next);
        if (each->cell.state == TW_SHARDS_ABSENT)
            tw_shards_unname_machine(shares, each);
        else
            tw_shards_emit_tell(shares, each);
    }
}

static void settle_moves(tw_shards *shares, uint64_t revision) {
    move *each;
    move *after;
    DL_FOREACH_SAFE2(shares->moves, each, after, link) {
        if (each->now.number && each->now.number == shares->txn.removed_move) {
            tw_shards_drop_move(shares, each);
        } else if (each->changing) {
            each->now = each->next;
            each->changing = false;
            each->stamp = revision;
        }
    }
    tw_shards_sort_moves(shares);
}

/* Owners of shares that have just changed hands are told of all machines. */
static void tell_new_owners(tw_shards *shares, const header *before) {
    for (int i = 0; i < shares->nmachines; i++) {
        machine *each = shares->machines[i];
        const int of = each->cell.share;
        if (each->cell.state == TW_SHARDS_ABSENT || of >= before->nshares) continue;
        if (shares->header.shares[of].epoch != before->shares[of].epoch)
            tw_shards_emit_tell(shares, each);
    }
}

void tw_shards_apply(tw_shards *shares, uint64_t revision) {
    settle_moves(shares, revision);
    if (shares->txn.header_changed) {
        header before = shares->header;
        before.shares = tw_shards_alloc(sizeof *before.shares * (size_t)before.nshares);
        if (before.nshares)
            memcpy(before.shares, shares->header.shares,
                   sizeof *before.shares * (size_t)before.nshares);
        tw_shards_set_header(shares, &shares->next_header);
        shares->next_header = (header){0};
        shares->header_stamp = revision;
        tell_new_owners(shares, &before);
        free(before.shares);
    }
    settle_machines(shares, revision);
    shares->txn.nmachines = 0;
    shares->txn.header_changed = false;
    shares->in_flight = false;
}

/* Where nothing was sent: machines that were to be added lose their names again. */
void tw_shards_abandon(tw_shards *shares) {
    transaction *txn = &shares->txn;
    move *each;
    move *after;
    for (int i = 0; i < txn->nmachines; i++) {
        machine *changed = shares->machines[txn->machines[i]];
        changed->changing = false;
        if (changed->cell.state == TW_SHARDS_ABSENT) tw_shards_unname_machine(shares, changed);
    }
    txn->nmachines = 0;
    if (txn->header_changed) free(shares->next_header.shares);
    shares->next_header = (header){0};
    txn->header_changed = false;
    DL_FOREACH_SAFE2(shares->moves, each, after, link) {
        if (!each->changing) continue;
        each->changing = false;
        if (each->now.number) continue;
        free(each->next.only); /* of a move that was to begin */
        tw_shards_drop_move(shares, each);
    }
}
