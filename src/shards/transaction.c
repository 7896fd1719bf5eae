/* The transaction in flight: its changes, its text, and the recorded state once it is applied.
 *
 * Every transaction compares the mod revision of the leader's key, so that a transaction of a
 * deposed leader fails, and the mod revision of each record that it writes, so that a transaction
 * that is executed late fails if any of its records was written since. */
#include "shards/shards_int.h"
#include "wire/wire.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Largest transaction body that the state service accepts, less the frame of the request. */
#define MAX_BODY_BYTES ((size_t)60 * 1024)

typedef struct {
    tw_wire_compare *compares;
    tw_wire_write *writes;
    char (*keys)[TW_SHARDS_KEY_SIZE];
    int count, capacity;
    size_t bytes;
    bool too_large;
} transaction_body;

void tw_shards_begin_transaction(tw_shards *shards) {
    tw_shards_transaction *txn = &shards->txn;
    txn->ops = 0;
    txn->machine_count = 0;
    txn->block_ops = 0;
    if (txn->record_kinds) memset(txn->record_kinds, 0, (size_t)txn->record_kinds_capacity);
    txn->header_changed = false;
    txn->removed_move = 0;
    txn->minimum_epoch = shards->header.epoch;
    txn->verdict = TW_SHARDS_OK;
}

/* ---- changes of the transaction ---- */

/* Returns the records of a block that the transaction changes. */
static int record_kinds_of(const tw_shards *shards, int block) {
    return block < shards->txn.record_kinds_capacity ? shards->txn.record_kinds[block] : 0;
}

static void add_record_kinds(tw_shards_transaction *txn, int block, int record_kinds) {
    if (block >= txn->record_kinds_capacity) {
        const int capacity = block + TW_SHARDS_BLOCK_SIZE;
        unsigned char *grown = realloc(txn->record_kinds, (size_t)capacity);
        if (!grown) abort();
        memset(grown + txn->record_kinds_capacity, 0,
               (size_t)(capacity - txn->record_kinds_capacity));
        txn->record_kinds = grown;
        txn->record_kinds_capacity = capacity;
    }
    const int added = record_kinds & ~txn->record_kinds[block];
    txn->block_ops +=
        ((added & TW_SHARDS_RECORD_CELLS) != 0) + ((added & TW_SHARDS_RECORD_NAMES) != 0);
    txn->record_kinds[block] |= (unsigned char)record_kinds;
}

bool tw_shards_transaction_fits(const tw_shards *shards, const tw_shards_machine *machine,
                                tw_shards_record_kinds records, int others) {
    const int record_kinds = record_kinds_of(shards, machine->index / TW_SHARDS_BLOCK_SIZE);
    const int more =
        (records & TW_SHARDS_RECORD_CELLS && !(record_kinds & TW_SHARDS_RECORD_CELLS)) +
        (records & TW_SHARDS_RECORD_NAMES && !(record_kinds & TW_SHARDS_RECORD_NAMES));
    return shards->txn.block_ops + more + others <= shards->settings.txn_ops;
}

void tw_shards_change_machine(tw_shards *shards, tw_shards_machine *machine, tw_shards_cell to) {
    tw_shards_transaction *txn = &shards->txn;
    txn->machines = tw_shards_grow(txn->machines, txn->machine_count, &txn->machine_capacity,
                                   sizeof *txn->machines);
    txn->machines[txn->machine_count++] = machine->index;
    const bool named = machine->cell.state != TW_SHARDS_ABSENT;
    const bool stays_named = to.state != TW_SHARDS_ABSENT;
    machine->next = to;
    machine->change_pending = true;
    add_record_kinds(txn, machine->index / TW_SHARDS_BLOCK_SIZE,
                     TW_SHARDS_RECORD_CELLS | (named != stays_named ? TW_SHARDS_RECORD_NAMES : 0));
}

tw_shards_header *tw_shards_change_header(tw_shards *shards) {
    const tw_shards_header *current = &shards->header;
    tw_shards_header *next = &shards->next_header;
    if (shards->txn.header_changed) return next;
    *next = *current;
    next->shards = tw_shards_alloc(sizeof *next->shards * ((size_t)current->shard_count + 1));
    if (current->shard_count)
        memcpy(next->shards, current->shards, sizeof *next->shards * (size_t)current->shard_count);
    shards->txn.header_changed = true;
    return next;
}

tw_shards_move_record *tw_shards_change_move(tw_shards *shards, tw_shards_move *changed) {
    (void)shards;
    if (!changed->change_pending) changed->next = changed->recorded;
    changed->change_pending = true;
    return &changed->next;
}

/* ---- text of the transaction ---- */

static void add_write(const tw_shards *shards, transaction_body *body, const char *key,
                      uint64_t mod_revision, char *data) {
    const int i = body->count++;
    snprintf(body->keys[i], TW_SHARDS_KEY_SIZE, "%s%s", TW_SHARDS_PREFIX, key);
    body->compares[i + 1] = (tw_wire_compare){body->keys[i], mod_revision};
    body->writes[i] = (tw_wire_write){body->keys[i], data, 0};
    if (!data) return;
    const size_t length = strlen(data);
    body->bytes += length + TW_SHARDS_KEY_SIZE;
    if (length > shards->settings.value_bytes || body->bytes > MAX_BODY_BYTES)
        body->too_large = true;
}

static void add_blocks(const tw_shards *shards, transaction_body *body) {
    char key[TW_SHARDS_KEY_SIZE];
    for (int block = 0; block < shards->block_count; block++) {
        const int record_kinds = record_kinds_of(shards, block);
        if (record_kinds & TW_SHARDS_RECORD_CELLS) {
            snprintf(key, sizeof key, "cells/%04d", block);
            add_write(shards, body, key, shards->cell_mod_revisions[block],
                      tw_shards_cells_text(shards, block));
        }
        if (record_kinds & TW_SHARDS_RECORD_NAMES) {
            snprintf(key, sizeof key, "names/%04d", block);
            add_write(shards, body, key, shards->name_mod_revisions[block],
                      tw_shards_names_text(shards, block));
        }
    }
}

/* Returns whether the move has ended once the transaction is applied. */
static bool is_finished(const tw_shards *shards, const tw_shards_move *move) {
    const tw_shards_transaction *txn = &shards->txn;
    int held = (int)roaring_bitmap_get_cardinality(move->machines);
    for (int i = 0; i < txn->machine_count; i++) {
        const tw_shards_machine *each = shards->machines[txn->machines[i]];
        held += (each->next.move == move->next.number) - (each->cell.move == move->next.number);
    }
    return !held && (move->next.cancelled || move->next.marked >= move->next.wanted);
}

static void add_moves(tw_shards *shards, transaction_body *body) {
    char key[TW_SHARDS_KEY_SIZE];
    tw_shards_move *each;
    DL_FOREACH2(shards->moves, each, link) {
        if (!each->change_pending && each->recorded.number != shards->txn.removed_move) continue;
        char *text = NULL;
        if (each->change_pending) {
            each->next.done = is_finished(shards, each);
            text = tw_shards_move_text(&each->next);
        }
        snprintf(key, sizeof key, "move/%s",
                 each->change_pending ? each->next.key : each->recorded.key);
        add_write(shards, body, key, each->mod_revision, text);
    }
}

static void free_body(transaction_body *body) {
    for (int i = 0; i < body->count; i++) free((char *)body->writes[i].value);
    free(body->compares);
    free(body->writes);
    free(body->keys);
}

static transaction_body build_body(tw_shards *shards) {
    transaction_body body = {.capacity = shards->settings.txn_ops + TW_SHARDS_MAX_FINISHED_MOVES +
                                         2 * shards->block_count + 2};
    tw_shards_move *each;
    DL_FOREACH2(shards->moves, each, link) { body.capacity += each->change_pending; }
    const size_t capacity = (size_t)body.capacity;
    body.compares = tw_shards_alloc(sizeof *body.compares * (capacity + 1));
    body.writes = tw_shards_alloc(sizeof *body.writes * capacity);
    body.keys = tw_shards_alloc(sizeof *body.keys * capacity);
    body.compares[0] = (tw_wire_compare){shards->leader_key, shards->token};
    if (shards->txn.header_changed)
        add_write(shards, &body, "table", shards->header_mod_revision,
                  tw_shards_header_text(&shards->next_header));
    add_moves(shards, &body);
    add_blocks(shards, &body);
    return body;
}

tw_shards_error tw_shards_commit_transaction(tw_shards *shards) {
    tw_shards_transaction *txn = &shards->txn;
    transaction_body body = build_body(shards);
    if (body.too_large || body.count > shards->settings.txn_ops) {
        free_body(&body);
        return TW_SHARDS_TXN_TOO_LARGE;
    }
    tw_shards_effect *effect = tw_shards_emit_effect(shards, TW_SHARDS_WRITE);
    effect->text =
        tw_wire_txn_text(body.compares, (size_t)body.count + 1, body.writes, (size_t)body.count);
    effect->ops = txn->ops = body.count;
    effect->id = txn->id = ++shards->last_effect_id;
    shards->in_flight = true;
    shards->write_budget -= body.count;
    free_body(&body);
    return TW_SHARDS_NO_ERROR;
}

/* ---- outcome of the transaction ---- */

static void apply_machines(tw_shards *shards, uint64_t revision) {
    const tw_shards_transaction *txn = &shards->txn;
    for (int block = 0; block < shards->block_count; block++) {
        const int record_kinds = record_kinds_of(shards, block);
        if (record_kinds & TW_SHARDS_RECORD_CELLS) shards->cell_mod_revisions[block] = revision;
        if (record_kinds & TW_SHARDS_RECORD_NAMES) shards->name_mod_revisions[block] = revision;
    }
    for (int i = 0; i < txn->machine_count; i++) {
        tw_shards_machine *each = shards->machines[txn->machines[i]];
        each->change_pending = false;
        tw_shards_set_cell(shards, each, each->next);
        if (each->cell.state == TW_SHARDS_ABSENT)
            tw_shards_unname_machine(shards, each);
        else
            tw_shards_emit_notification(shards, each);
    }
}

static void apply_moves(tw_shards *shards, uint64_t revision) {
    tw_shards_move *each;
    tw_shards_move *next;
    DL_FOREACH_SAFE2(shards->moves, each, next, link) {
        if (each->recorded.number && each->recorded.number == shards->txn.removed_move) {
            tw_shards_remove_move(shards, each);
        } else if (each->change_pending) {
            each->recorded = each->next;
            each->change_pending = false;
            each->mod_revision = revision;
        }
    }
    tw_shards_sort_moves(shards);
}

/* Notifies the new owners of shards whose owner has changed of all machines of these shards. */
static void notify_new_owners(tw_shards *shards, const tw_shards_header *old) {
    for (int i = 0; i < shards->machine_count; i++) {
        tw_shards_machine *each = shards->machines[i];
        const int shard = each->cell.shard;
        if (each->cell.state == TW_SHARDS_ABSENT || shard >= old->shard_count) continue;
        if (shards->header.shards[shard].epoch != old->shards[shard].epoch)
            tw_shards_emit_notification(shards, each);
    }
}

void tw_shards_apply_transaction(tw_shards *shards, uint64_t revision) {
    apply_moves(shards, revision);
    if (shards->txn.header_changed) {
        tw_shards_header old = shards->header;
        old.shards = tw_shards_alloc(sizeof *old.shards * (size_t)old.shard_count);
        if (old.shard_count)
            memcpy(old.shards, shards->header.shards, sizeof *old.shards * (size_t)old.shard_count);
        tw_shards_set_header(shards, &shards->next_header);
        shards->next_header = (tw_shards_header){0};
        shards->header_mod_revision = revision;
        notify_new_owners(shards, &old);
        free(old.shards);
    }
    apply_machines(shards, revision);
    shards->txn.machine_count = 0;
    shards->txn.header_changed = false;
    shards->in_flight = false;
}

/* Machines that the transaction would have added lose their names. */
void tw_shards_discard_transaction(tw_shards *shards) {
    tw_shards_transaction *txn = &shards->txn;
    tw_shards_move *each;
    tw_shards_move *next;
    for (int i = 0; i < txn->machine_count; i++) {
        tw_shards_machine *changed = shards->machines[txn->machines[i]];
        changed->change_pending = false;
        if (changed->cell.state == TW_SHARDS_ABSENT) tw_shards_unname_machine(shards, changed);
    }
    txn->machine_count = 0;
    if (txn->header_changed) free(shards->next_header.shards);
    shards->next_header = (tw_shards_header){0};
    txn->header_changed = false;
    DL_FOREACH_SAFE2(shards->moves, each, next, link) {
        if (!each->change_pending) continue;
        each->change_pending = false;
        if (each->recorded.number) continue;
        free(each->next.only); /* the move had not begun */
        tw_shards_remove_move(shards, each);
    }
}
