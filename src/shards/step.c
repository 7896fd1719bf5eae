/* The steps of moves. What is due follows from the records and from what owners have said since,
 * so a new leader goes on with a half-made move like the one that began it. */
#include "shards/shards_int.h"
#include <stdbool.h>
#include <stdlib.h>
#include <utlist.h>

/* Adds machines to a move whose record is in the transaction, as many as there is room for. */
void tw_shards_mark(tw_shards *shards, tw_shards_move *marked, tw_shards_machine **chosen,
                    int count) {
    for (int i = 0; i < count; i++) {
        if (!tw_shards_has_room(shards, chosen[i], TW_SHARDS_RECORD_CELLS, 3)) continue;
        tw_shards_cell to = chosen[i]->cell;
        to.state = TW_SHARDS_DRAINING;
        to.move = marked->next.number;
        tw_shards_change(shards, chosen[i], to);
        marked->next.marked++;
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
static void mark_more(tw_shards *shards, tw_shards_move *of) {
    const int missing = of->next.wanted - of->next.marked;
    const int spare = spare_machines(shards, of->now.from);
    tw_shards_machine **chosen;
    if (missing <= 0 || of->next.cancelled) return;
    const int count =
        tw_shards_choose(shards, &of->now, missing < spare ? missing : spare, &chosen);
    if (count)
        tw_shards_mark(shards, of, chosen, count);
    else if (!tw_shards_any_quarantined(shards, of->now.from))
        of->next.wanted = of->next.marked;
    free(chosen);
}

/* Whether the old owner is not to be waited for: it said that nothing runs there, or had its time.
 */
static bool drained(const tw_shards *shards, const tw_shards_move *of,
                    const tw_shards_machine *machine) {
    return machine->drained == tw_shards_epoch_of(shards, machine) ||
           shards->wall >= of->now.deadline + shards->settings.grace_s;
}

/* The cell after the machine's next step; returns 0 if none is due. */
static bool next_cell(tw_shards *shards, tw_shards_move *of, tw_shards_machine *machine,
                      tw_shards_cell *to) {
    const int back = of->now.cancelled;
    *to = machine->cell;
    switch (machine->cell.state) {
    case TW_SHARDS_DRAINING:
        if (!back && !drained(shards, of, machine)) return false;
        to->state = TW_SHARDS_RELEASED;
        return true;
    case TW_SHARDS_RELEASED:
        to->state = TW_SHARDS_TAKEN;
        to->shard = back ? of->now.from : of->now.to;
        return true;
    case TW_SHARDS_TAKEN:
        if (machine->opened != tw_shards_epoch_of(shards, machine)) return false;
        to->state = TW_SHARDS_OPEN;
        to->epoch = machine->opened;
        to->move = 0;
        if (to->shard == of->now.to)
            of->next.moved++;
        else
            of->next.returned++;
        return true;
    default:
        return false;
    }
}

static void step_machine(tw_shards *shards, tw_shards_move *of, tw_shards_machine *machine) {
    tw_shards_cell to;
    /* A machine that has not answered this leader may have taken later commands of an earlier one.
     */
    if (!tw_shards_is_confirmed(shards, machine)) return;
    if (machine->changing || !tw_shards_has_room(shards, machine, TW_SHARDS_RECORD_CELLS, 2))
        return;
    if (!next_cell(shards, of, machine, &to)) return;
    if (to.state == TW_SHARDS_TAKEN) {
        tw_shards_header *next = tw_shards_change_header(shards);
        if (next->epoch == shards->header.epoch) next->epoch++;
        to.epoch = next->epoch;
    }
    tw_shards_change(shards, machine, to);
}

static bool differs(const tw_shards_move *of) {
    return of->next.wanted != of->now.wanted || of->next.marked != of->now.marked;
}

static bool step_move(tw_shards *shards, tw_shards_move *of) {
    roaring_uint32_iterator_t each;
    tw_shards_begin(shards);
    tw_shards_change_move(shards, of);
    roaring_init_iterator(of->machines, &each);
    for (; each.has_value; roaring_advance_uint32_iterator(&each))
        step_machine(shards, of, shards->machines[each.current_value]);
    mark_more(shards, of);
    if ((shards->txn.machine_count || differs(of)) &&
        tw_shards_commit(shards) == TW_SHARDS_NO_ERROR)
        return true;
    tw_shards_abandon(shards);
    return false;
}

/* Machines that were opened without a move: new, restarted, or of a shard that changed hands. */
static bool step_opened(tw_shards *shards) {
    tw_shards_begin(shards);
    for (int i = 0; i < shards->machine_count; i++) {
        tw_shards_machine *each = shards->machines[i];
        if (each->cell.state == TW_SHARDS_ABSENT || each->cell.move || !each->opened) continue;
        if (tw_shards_state_of(shards, each) != TW_SHARDS_TAKEN) continue;
        if (each->opened != tw_shards_epoch_of(shards, each)) continue;
        if (!tw_shards_is_confirmed(shards, each)) continue;
        if (!tw_shards_has_room(shards, each, TW_SHARDS_RECORD_CELLS, 0)) continue;
        tw_shards_cell to = each->cell;
        to.state = TW_SHARDS_OPEN;
        to.epoch = each->opened;
        tw_shards_change(shards, each, to);
    }
    if (shards->txn.machine_count && tw_shards_commit(shards) == TW_SHARDS_NO_ERROR) return true;
    tw_shards_abandon(shards);
    return false;
}

/* Whether the move may have a step to make now. */
static bool may_step(const tw_shards_move *of) { return !of->now.done; }

bool tw_shards_step_moves(tw_shards *shards) {
    tw_shards_move *each;
    DL_FOREACH2(shards->moves, each, link) {
        if (may_step(each) && step_move(shards, each)) return true;
    }
    return step_opened(shards);
}
