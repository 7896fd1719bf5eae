/* The steps of moves. What is due follows from the records and from what owners have said since,
 * so a new leader goes on with a half-made move like the one that began it. */
#include "shards/shards_int.h"
#include <stdbool.h>
#include <stdlib.h>
#include <utlist.h>

/* Adds machines to a move whose record is in the transaction, as many as there is room for. */
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

/* Machines that the shard can give without falling below its least size. */
static int spare_machines(const tw_shards *shards, int index) {
    const tw_shards_shard_sets *sets = &shards->sets[index];
    return (int)(roaring_bitmap_get_cardinality(sets->open) +
                 roaring_bitmap_get_cardinality(sets->taken)) -
           shards->header.shards[index].least;
}

/* Machines that didn't fit into the transaction that began the move, or are gone since. Where no
 * more can be had, the move is content with those it has. */
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

/* Whether the old owner is not to be waited for: it said that nothing runs there, or had its time.
 */
static bool is_drained(const tw_shards *shards, const tw_shards_move *move,
                       const tw_shards_machine *machine) {
    return machine->drained_epoch == tw_shards_effective_epoch(shards, machine) ||
           shards->wall >= move->recorded.deadline + shards->settings.grace_s;
}

/* The cell after the machine's next step; returns 0 if none is due. */
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
    /* A machine that has not answered this leader may have taken later commands of an earlier one.
     */
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

/* Machines that were opened without a move: new, restarted, or of a shard that changed hands. */
static bool step_opened(tw_shards *shards) {
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

/* Whether the move may have a step to make now. */
static bool is_unfinished(const tw_shards_move *move) { return !move->recorded.done; }

bool tw_shards_step_moves(tw_shards *shards) {
    tw_shards_move *each;
    DL_FOREACH2(shards->moves, each, link) {
        if (is_unfinished(each) && step_move(shards, each)) return true;
    }
    return step_opened(shards);
}
