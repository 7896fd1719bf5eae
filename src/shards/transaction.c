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
    char (*keys)[TW_SHARDS_KEY_SIZE];
    int count, room;
    size_t bytes;
    bool too_large;
} body;

void tw_shards_begin(tw_shards *shards) {
    tw_shards_transaction *txn = &shards->txn;
    txn->ops = 0;
    txn->machine_count = 0;
    txn->block_ops = 0;
    if (txn->marks) memset(txn->marks, 0, (size_t)txn->mark_room);
    txn->header_changed = false;
    txn->removed_move = 0;
    txn->minimum_epoch = shards->header.epoch;
    txn->verdict = TW_SHARDS_OK;
}

/* ---- what it changes ---- */

/* Which records of a block it changes: CELLS, NAMES. */
static int marks_of(const tw_shards *shards, int block) {
    return block < shards->txn.mark_room ? shards->txn.marks[block] : 0;
}

static void mark_block(tw_shards_transaction *txn, int block, int marks) {
    if (block >= txn->mark_room) {
        const int room = block + TW_SHARDS_BLOCK_SIZE;
        unsigned char *grown = realloc(txn->marks, (size_t)room);
        if (!grown) abort();
        memset(grown + txn->mark_room, 0, (size_t)(room - txn->mark_room));
        txn->marks = grown;
        txn->mark_room = room;
    }
    const int added = marks & ~txn->marks[block];
    txn->block_ops +=
        ((added & TW_SHARDS_RECORD_CELLS) != 0) + ((added & TW_SHARDS_RECORD_NAMES) != 0);
    txn->marks[block] |= (unsigned char)marks;
}

bool tw_shards_has_room(const tw_shards *shards, const tw_shards_machine *machine,
                        tw_shards_record_kinds records, int others) {
    const int marks = marks_of(shards, machine->index / TW_SHARDS_BLOCK_SIZE);
    const int more = (records & TW_SHARDS_RECORD_CELLS && !(marks & TW_SHARDS_RECORD_CELLS)) +
                     (records & TW_SHARDS_RECORD_NAMES && !(marks & TW_SHARDS_RECORD_NAMES));
    return shards->txn.block_ops + more + others <= shards->settings.txn_ops;
}

void tw_shards_change(tw_shards *shards, tw_shards_machine *machine, tw_shards_cell to) {
    tw_shards_transaction *txn = &shards->txn;
    txn->machines = tw_shards_grow(txn->machines, txn->machine_count, &txn->machine_room,
                                   sizeof *txn->machines);
    txn->machines[txn->machine_count++] = machine->index;
    const bool named = machine->cell.state != TW_SHARDS_ABSENT;
    const bool stays_named = to.state != TW_SHARDS_ABSENT;
    machine->next = to;
    machine->changing = true;
    mark_block(txn, machine->index / TW_SHARDS_BLOCK_SIZE,
               TW_SHARDS_RECORD_CELLS | (named != stays_named ? TW_SHARDS_RECORD_NAMES : 0));
}

tw_shards_header *tw_shards_change_header(tw_shards *shards) {
    const tw_shards_header *now = &shards->header;
    tw_shards_header *next = &shards->next_header;
    if (shards->txn.header_changed) return next;
    *next = *now;
    next->shards = tw_shards_alloc(sizeof *next->shards * ((size_t)now->shard_count + 1));
    if (now->shard_count)
        memcpy(next->shards, now->shards, sizeof *next->shards * (size_t)now->shard_count);
    shards->txn.header_changed = true;
    return next;
}

tw_shards_move_record *tw_shards_change_move(tw_shards *shards, tw_shards_move *changed) {
    (void)shards;
    if (!changed->changing) changed->next = changed->now;
    changed->changing = true;
    return &changed->next;
}

/* ---- its text ---- */

static void add_write(const tw_shards *shards, body *to, const char *key, uint64_t mod_revision,
                      char *data) {
    const int i = to->count++;
    snprintf(to->keys[i], TW_SHARDS_KEY_SIZE, "%s%s", TW_SHARDS_PREFIX, key);
    to->conditions[i + 1] = (tw_wire_compare){to->keys[i], mod_revision};
    to->writes[i] = (tw_wire_write){to->keys[i], data, 0};
    if (!data) return;
    const size_t length = strlen(data);
    to->bytes += length + TW_SHARDS_KEY_SIZE;
    if (length > shards->settings.value_bytes || to->bytes > MOST_BODY) to->too_large = true;
}

static void add_blocks(const tw_shards *shards, body *to) {
    char key[TW_SHARDS_KEY_SIZE];
    for (int block = 0; block < shards->block_count; block++) {
        const int marks = marks_of(shards, block);
        if (marks & TW_SHARDS_RECORD_CELLS) {
            snprintf(key, sizeof key, "cells/%04d", block);
            add_write(shards, to, key, shards->cell_mod_revisions[block],
                      tw_shards_cells_text(shards, block));
        }
        if (marks & TW_SHARDS_RECORD_NAMES) {
            snprintf(key, sizeof key, "names/%04d", block);
            add_write(shards, to, key, shards->name_mod_revisions[block],
                      tw_shards_names_text(shards, block));
        }
    }
}

/* Whether the move is over once the transaction is applied. */
static bool over(const tw_shards *shards, const tw_shards_move *of) {
    const tw_shards_transaction *txn = &shards->txn;
    int held = (int)roaring_bitmap_get_cardinality(of->machines);
    for (int i = 0; i < txn->machine_count; i++) {
        const tw_shards_machine *each = shards->machines[txn->machines[i]];
        held += (each->next.move == of->next.number) - (each->cell.move == of->next.number);
    }
    return !held && (of->next.cancelled || of->next.marked >= of->next.wanted);
}

static void add_moves(tw_shards *shards, body *to) {
    char key[TW_SHARDS_KEY_SIZE];
    tw_shards_move *each;
    DL_FOREACH2(shards->moves, each, link) {
        if (!each->changing && each->now.number != shards->txn.removed_move) continue;
        char *text = NULL;
        if (each->changing) {
            each->next.done = over(shards, each);
            text = tw_shards_move_text(&each->next);
        }
        snprintf(key, sizeof key, "move/%s", each->changing ? each->next.key : each->now.key);
        add_write(shards, to, key, each->mod_revision, text);
    }
}

static void free_body(body *to) {
    for (int i = 0; i < to->count; i++) free((char *)to->writes[i].value);
    free(to->conditions);
    free(to->writes);
    free(to->keys);
}

static body body_of(tw_shards *shards) {
    body to = {.room = shards->settings.txn_ops + TW_SHARDS_MAX_FINISHED_MOVES +
                       2 * shards->block_count + 2};
    tw_shards_move *each;
    DL_FOREACH2(shards->moves, each, link) { to.room += each->changing; }
    const size_t room = (size_t)to.room;
    to.conditions = tw_shards_alloc(sizeof *to.conditions * (room + 1));
    to.writes = tw_shards_alloc(sizeof *to.writes * room);
    to.keys = tw_shards_alloc(sizeof *to.keys * room);
    to.conditions[0] = (tw_wire_compare){shards->leader_key, shards->token};
    if (shards->txn.header_changed)
        add_write(shards, &to, "table", shards->header_mod_revision,
                  tw_shards_header_text(&shards->next_header));
    add_moves(shards, &to);
    add_blocks(shards, &to);
    return to;
}

tw_shards_error tw_shards_commit(tw_shards *shards) {
    tw_shards_transaction *txn = &shards->txn;
    body to = body_of(shards);
    if (to.too_large || to.count > shards->settings.txn_ops) {
        free_body(&to);
        return TW_SHARDS_TXN_TOO_LARGE;
    }
    tw_shards_effect *effect = tw_shards_emit(shards, TW_SHARDS_WRITE);
    effect->text =
        tw_wire_txn_text(to.conditions, (size_t)to.count + 1, to.writes, (size_t)to.count);
    effect->ops = txn->ops = to.count;
    effect->id = txn->id = ++shards->next_call;
    shards->in_flight = true;
    shards->budget -= to.count;
    free_body(&to);
    return TW_SHARDS_NO_ERROR;
}

/* ---- its end ---- */

static void settle_machines(tw_shards *shards, uint64_t revision) {
    const tw_shards_transaction *txn = &shards->txn;
    for (int block = 0; block < shards->block_count; block++) {
        const int marks = marks_of(shards, block);
        if (marks & TW_SHARDS_RECORD_CELLS) shards->cell_mod_revisions[block] = revision;
        if (marks & TW_SHARDS_RECORD_NAMES) shards->name_mod_revisions[block] = revision;
    }
    for (int i = 0; i < txn->machine_count; i++) {
        tw_shards_machine *each = shards->machines[txn->machines[i]];
        each->changing = false;
        tw_shards_set_cell(shards, each, each->next);
        if (each->cell.state == TW_SHARDS_ABSENT)
            tw_shards_unname_machine(shards, each);
        else
            tw_shards_emit_notification(shards, each);
    }
}

static void settle_moves(tw_shards *shards, uint64_t revision) {
    tw_shards_move *each;
    tw_shards_move *after;
    DL_FOREACH_SAFE2(shards->moves, each, after, link) {
        if (each->now.number && each->now.number == shards->txn.removed_move) {
            tw_shards_drop_move(shards, each);
        } else if (each->changing) {
            each->now = each->next;
            each->changing = false;
            each->mod_revision = revision;
        }
    }
    tw_shards_sort_moves(shards);
}

/* Notifies the owners of shards that have just changed hands of all their machines. */
static void notify_new_owners(tw_shards *shards, const tw_shards_header *before) {
    for (int i = 0; i < shards->machine_count; i++) {
        tw_shards_machine *each = shards->machines[i];
        const int of = each->cell.shard;
        if (each->cell.state == TW_SHARDS_ABSENT || of >= before->shard_count) continue;
        if (shards->header.shards[of].epoch != before->shards[of].epoch)
            tw_shards_emit_notification(shards, each);
    }
}

void tw_shards_apply(tw_shards *shards, uint64_t revision) {
    settle_moves(shards, revision);
    if (shards->txn.header_changed) {
        tw_shards_header before = shards->header;
        before.shards = tw_shards_alloc(sizeof *before.shards * (size_t)before.shard_count);
        if (before.shard_count)
            memcpy(before.shards, shards->header.shards,
                   sizeof *before.shards * (size_t)before.shard_count);
        tw_shards_set_header(shards, &shards->next_header);
        shards->next_header = (tw_shards_header){0};
        shards->header_mod_revision = revision;
        notify_new_owners(shards, &before);
        free(before.shards);
    }
    settle_machines(shards, revision);
    shards->txn.machine_count = 0;
    shards->txn.header_changed = false;
    shards->in_flight = false;
}

/* Where nothing was sent: machines that were to be added lose their names again. */
void tw_shards_abandon(tw_shards *shards) {
    tw_shards_transaction *txn = &shards->txn;
    tw_shards_move *each;
    tw_shards_move *after;
    for (int i = 0; i < txn->machine_count; i++) {
        tw_shards_machine *changed = shards->machines[txn->machines[i]];
        changed->changing = false;
        if (changed->cell.state == TW_SHARDS_ABSENT) tw_shards_unname_machine(shards, changed);
    }
    txn->machine_count = 0;
    if (txn->header_changed) free(shards->next_header.shards);
    shards->next_header = (tw_shards_header){0};
    txn->header_changed = false;
    DL_FOREACH_SAFE2(shards->moves, each, after, link) {
        if (!each->changing) continue;
        each->changing = false;
        if (each->now.number) continue;
        free(each->next.only); /* of a move that was to begin */
        tw_shards_drop_move(shards, each);
    }
}
