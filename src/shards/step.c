/* The steps of moves. The next step follows from the records and from the messages of owners, so a
 * new leader continues a move that an earlier leader began. */
#include "shards/shards_int.h"
#include <stdbool.h>
#include <stdlib.h>
#include <utlist.h>

void tw_shards_mark_machines(tw_shards *shards, tw_shards_move *move, tw_shards_machine **chosen,
                             int count) {
    for (int i = 0; i < count; i++) {
        if (!tw_shards_transaction_fits(shards, chosen[i], TW_SHARDS_RECORD_CELLS, 3)) continue;
        tw_shards_cell to = chosen[i]->cell;
        to.state = TW_SHARDS_DRAINING;
        to.move = move->next.number;
        tw_shards_change_machine(shards, chosen[i], to);
        move->next.marked++;
    }
}

/* Returns the number of machines that can leave the shard without taking it below its minimum size.
 */
static int spare_machines(const tw_shards *shards, int index) {
    const tw_shards_shard_sets *sets = &shards->sets[index];
    return (int)(roaring_bitmap_get_cardinality(sets->open) +
                 roaring_bitmap_get_cardinality(sets->taken)) -
           shards->header.shards[index].least;
}

/* Adds the machines that did not fit into the transaction that began the move, or other machines if
 * some of them have been removed since. If no more machines can be chosen, the move continues with
 * fewer. */
static void mark_missing_machines(tw_shards *shards, tw_shards_move *move) {
    const int missing = move->next.wanted - move->next.marked;
    const int spare = spare_machines(shards, move->recorded.from);
    tw_shards_machine **chosen;
    if (missing <= 0 || move->next.cancelled) return;
    const int count = tw_shards_choose_machines(shards, &move->recorded,
                                                missing < spare ? missing : spare, &chosen);
    if (count)
        tw_shards_mark_machines(shards, move, chosen, count);
    else if (!tw_shards_any_quarantined(shards, move->recorded.from))
        move->next.wanted = move->next.marked;
    free(chosen);
}

/* Returns whether the machine may be released: its owner reported it drained, or the deadline and
 * the grace period have passed. */
static bool is_drained(const tw_shards *shards, const tw_shards_move *move,
                       const tw_shards_machine *machine) {
    return machine->drained_epoch == tw_shards_effective_epoch(shards, machine) ||
           shards->wall >= move->recorded.deadline + shards->settings.grace_s;
}

/* Stores the cell after the machine's next step in *to; returns false if no step is due. */
static bool next_cell(tw_shards *shards, tw_shards_move *move, tw_shards_machine *machine,
                      tw_shards_cell *to) {
    const int cancelled = move->recorded.cancelled;
    *to = machine->cell;
    switch (machine->cell.state) {
    case TW_SHARDS_DRAINING:
        if (!cancelled && !is_drained(shards, move, machine)) return false;
        to->state = TW_SHARDS_RELEASED;
        return true;
    case TW_SHARDS_RELEASED:
        to->state = TW_SHARDS_TAKEN;
        to->shard = cancelled ? move->recorded.from : move->recorded.to;
        return true;
    case TW_SHARDS_TAKEN:
        if (machine->opened_epoch != tw_shards_effective_epoch(shards, machine)) return false;
        to->state = TW_SHARDS_OPEN;
        to->epoch = machine->opened_epoch;
        to->move = 0;
        if (to->shard == move->recorded.to)
            move->next.moved++;
        else
            move->next.returned++;
        return true;
    default:
        return false;
    }
}

static void step_machine(tw_shards *shards, tw_shards_move *move, tw_shards_machine *machine) {
    tw_shards_cell to;
    /* A machine that has not answered this leader may have received later commands of an earlier
     * leader. */
    if (!tw_shards_is_confirmed(shards, machine)) return;
    if (machine->change_pending ||
        !tw_shards_transaction_fits(shards, machine, TW_SHARDS_RECORD_CELLS, 2))
        return;
    if (!next_cell(shards, move, machine, &to)) return;
    if (to.state == TW_SHARDS_TAKEN) {
        tw_shards_header *next = tw_shards_change_header(shards);
        if (next->epoch == shards->header.epoch) next->epoch++;
        to.epoch = next->epoch;
    }
    tw_shards_change_machine(shards, machine, to);
}

static bool counts_changed(const tw_shards_move *move) {
    return move->next.wanted != move->recorded.wanted || move->next.marked != move->recorded.marked;
}

static bool step_move(tw_shards *shards, tw_shards_move *move) {
    roaring_uint32_iterator_t each;
    tw_shards_begin_transaction(shards);
    tw_shards_change_move(shards, move);
    roaring_init_iterator(move->machines, &each);
    for (; each.has_value; roaring_advance_uint32_iterator(&each))
        step_machine(shards, move, shards->machines[each.current_value]);
    mark_missing_machines(shards, move);
    if ((shards->txn.machine_count || counts_changed(move)) &&
        tw_shards_commit_transaction(shards) == TW_SHARDS_NO_ERROR)
        return true;
    tw_shards_discard_transaction(shards);
    return false;
}

/* Sets machines OPEN that were opened outside a move: machines that are new, have restarted, or
 * whose shard changed its owner. */
static bool record_opened_machines(tw_shards *shards) {
    tw_shards_begin_transaction(shards);
    for (int i = 0; i < shards->machine_count; i++) {
        tw_shards_machine *each = shards->machines[i];
        if (each->cell.state == TW_SHARDS_ABSENT || each->cell.move || !each->opened_epoch)
            continue;
        if (tw_shards_effective_state(shards, each) != TW_SHARDS_TAKEN) continue;
        if (each->opened_epoch != tw_shards_effective_epoch(shards, each)) continue;
        if (!tw_shards_is_confirmed(shards, each)) continue;
        if (!tw_shards_transaction_fits(shards, each, TW_SHARDS_RECORD_CELLS, 0)) continue;
        tw_shards_cell to = each->cell;
        to.state = TW_SHARDS_OPEN;
        to.epoch = each->opened_epoch;
        tw_shards_change_machine(shards, each, to);
    }
    if (shards->txn.machine_count && tw_shards_commit_transaction(shards) == TW_SHARDS_NO_ERROR)
        return true;
    tw_shards_discard_transaction(shards);
    return false;
}

static bool is_unfinished(const tw_shards_move *move) { return !move->recorded.done; }

bool tw_shards_step_moves(tw_shards *shards) {
    tw_shards_move *each;
    DL_FOREACH2(shards->moves, each, link) {
        if (is_unfinished(each) && step_move(shards, each)) return true;
    }
    return record_opened_machines(shards);
}
