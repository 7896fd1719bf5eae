/* The leader's entry points: inputs in, effects out. */
#include "shards/shards_int.h"
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* ---- effects ---- */

tw_shards_effect *tw_shards_emit(tw_shards *shares, tw_shards_effect_kind kind) {
    tw_shards_effect *effect = tw_shards_alloc(sizeof *effect);
    effect->kind = kind;
    if (shares->last_effect)
        shares->last_effect->next = effect;
    else
        shares->effects = effect;
    shares->last_effect = effect;
    return effect;
}

tw_shards_effect *tw_shards_next(tw_shards *shares) {
    tw_shards_effect *first = shares->effects;
    if (!first) return NULL;
    shares->effects = first->next;
    if (!shares->effects) shares->last_effect = NULL;
    first->next = NULL;
    return first;
}

void tw_shards_effect_free(tw_shards_effect *effect) {
    if (!effect) return;
    free(effect->text);
    free(effect);
}

static tw_shards_tell tell_of(const tw_shards *shares, const machine *machine) {
    tw_shards_tell tell = {.state = tw_shards_state_of(shares, machine)};
    const share *of = &shares->header.shares[machine->cell.share];
    const move *held_by = tw_shards_move_by_number(shares, machine->cell.move);
    tw_shards_copy_name(tell.owner, of->owner);
    tw_shards_copy_name(tell.share, of->name);
    tw_shards_copy_name(tell.machine, machine->name);
    tell.epoch = tw_shards_epoch_of(shares, machine);
    tell.term = shares->token;
    if (held_by) tell.drain_s = fmax(0, held_by->now.deadline - shares->wall);
    return tell;
}

void tw_shards_emit_tell(tw_shards *shares, machine *machine) {
    tw_shards_emit(shares, TW_SHARDS_TELL)->tell = tell_of(shares, machine);
    machine->told_at = shares->now;
}

void tw_shards_answer(tw_shards *shares, const tw_shards_request *request,
                      tw_shards_verdict verdict) {
    tw_shards_effect *effect = tw_shards_emit(shares, TW_SHARDS_ANSWER);
    const move *about = request->key[0] ? tw_shards_move_by_key(shares, request->key) : NULL;
    effect->id = request->id;
    effect->verdict = verdict;
    effect->revision = shares->header.revision;
    effect->floor = shares->txn.floor;
    if (about && verdict == TW_SHARDS_OK) effect->progress = tw_shards_progress_of(shares, about);
}

/* ---- begin and end ---- */

tw_shards *tw_shards_new(const tw_shards_settings *settings) {
    tw_shards *shares = tw_shards_alloc(sizeof *shares);
    shares->settings = *settings;
    shares->budget = settings->txn_ops;
    shares->unchecked = roaring_bitmap_create();
    return shares;
}

void tw_shards_free(tw_shards *shares) {
    tw_shards_effect *effect;
    if (!shares) return;
    tw_shards_resign(shares);
    while ((effect = tw_shards_next(shares))) tw_shards_effect_free(effect);
    free(shares->txn.machines);
    free(shares->txn.marks);
    roaring_bitmap_free(shares->unchecked);
    free(shares);
}

void tw_shards_lead(tw_shards *shares, double now, const char *leader_key, uint64_t token) {
    shares->now = shares->budget_at = now;
    shares->token = token;
    shares->deciding = shares->listed = false;
    strncpy(shares->leader_key, leader_key, KEY_SIZE - 1);
    tw_shards_reload(shares);
}

void tw_shards_authority(tw_shards *shares, double until) { shares->authority_until = until; }

void tw_shards_resign(tw_shards *shares) {
    tw_shards_refuse_all(shares, TW_SHARDS_NOT_LEADER);
    tw_shards_abandon(shares);
    tw_shards_forget_pages(shares);
    tw_shards_clear(shares);
    shares->in_flight = shares->reading = shares->loaded = false;
    shares->deciding = false;
    shares->token = 0;
    shares->authority_until = 0;
}

/* ---- machines are asked before the first decision ---- */

bool tw_shards_is_checked(const tw_shards *shares, const machine *machine) {
    return !roaring_bitmap_contains(shares->unchecked, (uint32_t)machine->index);
}

int tw_shards_any_held_back(const tw_shards *shares, int share_index) {
    return roaring_bitmap_intersect(shares->sets[share_index].open, shares->unchecked);
}

bool tw_shards_deciding(const tw_shards *shares) { return shares->loaded && shares->deciding; }

int tw_shards_unchecked(const tw_shards *shares) {
    return (int)roaring_bitmap_get_cardinality(shares->unchecked);
}

/* ---- one transaction after the other ---- */

static void refill(tw_shards *shares) {
    const double most = fmax(shares->settings.write_rps, shares->settings.txn_ops);
    const double gained = fmax(0, shares->now - shares->budget_at) * shares->settings.write_rps;
    shares->budget = fmin(most, shares->budget + gained);
    shares->budget_at = shares->now;
}

/* Requests and steps take turns, so that neither keeps the other waiting for long. */
static void advance(tw_shards *shares) {
    if (!tw_shards_deciding(shares) || shares->in_flight || shares->budget <= 0) return;
    shares->steps_first = !shares->steps_first;
    if (shares->steps_first && tw_shards_step_moves(shares)) return;
    if (tw_shards_serve_request(shares)) return;
    if (!shares->steps_first) tw_shards_step_moves(shares);
}

void tw_shards_decide(tw_shards *shares, double now) {
    shares->now = now;
    shares->deciding = true;
    advance(shares);
}

void tw_shards_checked(tw_shards *shares, double now, const char *name) {
    const machine *found = tw_shards_find(shares, name);
    if (!found) return;
    shares->now = now;
    roaring_bitmap_remove(shares->unchecked, (uint32_t)found->index);
    advance(shares);
}

void tw_shards_written(tw_shards *shares, double now, uint64_t id, tw_shards_outcome outcome,
                       uint64_t revision) {
    if (!shares->in_flight || id != shares->txn.id) return;
    shares->now = now;
    refill(shares);
    if (outcome == TW_SHARDS_APPLIED) {
        tw_shards_apply(shares, revision);
        tw_shards_answer_applied(shares);
        advance(shares);
        return;
    }
    tw_shards_requeue(shares);
    if (outcome == TW_SHARDS_PUT_OFF) {
        tw_shards_abandon(shares);
        shares->in_flight = false;
        shares->budget = -shares->settings.retry_s * shares->settings.write_rps;
        return;
    }
    /* Whether it was carried out is seen by reading. If it is carried out after that, it fails, or
     * the next transaction over the same records does, and all is read once more. */
    tw_shards_reload(shares);
}

static tw_shards_request copy_of(const tw_shards_request *request) {
    tw_shards_request copy = *request;
    if (!request->nmachines) {
        copy.machines = NULL;
        return copy;
    }
    const size_t size = sizeof *copy.machines * (size_t)request->nmachines;
    copy.machines = tw_shards_alloc(size);
    memcpy(copy.machines, request->machines, size);
    return copy;
}

void tw_shards_request_in(tw_shards *shares, double now, const tw_shards_request *request) {
    shares->now = now;
    const bool leads = shares->token && now < shares->authority_until;
    if (!leads || shares->nrequests >= MOST_WAITING) {
        tw_shards_answer(shares, request, leads ? TW_SHARDS_OVERLOADED : TW_SHARDS_NOT_LEADER);
        return;
    }
    waiting *added = tw_shards_alloc(sizeof *added);
    added->request = copy_of(request);
    DL_APPEND(shares->requests, added);
    shares->nrequests++;
    refill(shares);
    advance(shares);
}

/* ---- owners ---- */

/* The machine, if it is the owner's under this epoch; else the owner is told that it has lost it.
 */
static machine *owned(tw_shards *shares, const char *owner, const char *name, uint64_t epoch) {
    machine *found = shares->loaded ? tw_shards_find(shares, name) : NULL;
    if (!shares->loaded) return NULL;
    if (found && !strcmp(shares->header.shares[found->cell.share].owner, owner) &&
        tw_shards_epoch_of(shares, found) == epoch)
        return found;
    tw_shards_tell *tell = &tw_shards_emit(shares, TW_SHARDS_TELL)->tell;
    tw_shards_copy_name(tell->owner, owner);
    tw_shards_copy_name(tell->machine, name);
    tell->state = TW_SHARDS_RELEASED;
    tell->epoch = epoch;
    tell->term = shares->token;
    return NULL;
}

void tw_shards_drained(tw_shards *shares, const char *owner, const char *name, uint64_t epoch) {
    machine *found = owned(shares, owner, name, epoch);
    if (found) found->drained = epoch;
    advance(shares);
}

void tw_shards_opened(tw_shards *shares, const char *owner, const char *name, uint64_t epoch) {
    machine *found = owned(shares, owner, name, epoch);
    if (found) found->opened = epoch;
    if (found && tw_shards_state_of(shares, found) != TW_SHARDS_TAKEN)
        tw_shards_emit_tell(shares, found);
    advance(shares);
}

void tw_shards_sync(tw_shards *shares, const char *owner) {
    for (int i = 0; i < shares->nmachines; i++) {
        machine *each = shares->machines[i];
        if (each->cell.state == TW_SHARDS_ABSENT) continue;
        if (!strcmp(shares->header.shares[each->cell.share].owner, owner))
            tw_shards_emit_tell(shares, each);
    }
}

void tw_shards_load(tw_shards *shares, const char *name, int running) {
    machine *found = tw_shards_find(shares, name);
    if (found) found->load = running;
}

void tw_shards_holds(tw_shards *shares, const char *name, const char *image, int holds) {
    const machine *found = tw_shards_find(shares, name);
    if (!found) return;
    named_set *set =
        holds ? tw_shards_make_image(shares, image) : tw_shards_find_image(shares, image);
    if (set && holds)
        roaring_bitmap_add(set->machines, (uint32_t)found->index);
    else if (set)
        roaring_bitmap_remove(set->machines, (uint32_t)found->index);
}

/* ---- time ---- */

static void repeat_tells(tw_shards *shares) {
    for (int i = 0; i < shares->nmachines; i++) {
        machine *each = shares->machines[i];
        if (each->cell.state == TW_SHARDS_ABSENT) continue;
        const tw_shards_state state = tw_shards_state_of(shares, each);
        const uint64_t epoch = tw_shards_epoch_of(shares, each);
        const bool waited_for = (state == TW_SHARDS_DRAINING && each->drained != epoch) ||
                                (state == TW_SHARDS_TAKEN && each->opened != epoch);
        if (waited_for && shares->now >= each->told_at + shares->settings.retry_s)
            tw_shards_emit_tell(shares, each);
    }
}

void tw_shards_tick(tw_shards *shares, double now, double wall) {
    shares->now = now;
    shares->wall = wall;
    refill(shares);
    if (!shares->token) return;
    if (now >= shares->authority_until) tw_shards_refuse_waiting(shares, TW_SHARDS_NOT_LEADER);
    if (!shares->loaded && !shares->reading && now >= shares->read_after)
        tw_shards_read_next(shares, "");
    if (!shares->loaded) return;
    repeat_tells(shares);
    advance(shares);
}

/* ---- what is recorded ---- */

bool tw_shards_ready(const tw_shards *shares) { return shares->token && shares->loaded; }
uint64_t tw_shards_revision(const tw_shards *shares) { return shares->header.revision; }
int tw_shards_count(const tw_shards *shares) { return shares->header.nshares; }

tw_shards_view tw_shards_view_of(const tw_shards *shares, int index) {
    const share *of = &shares->header.shares[index];
    const share_sets *sets = &shares->sets[index];
    tw_shards_view view = {.least = of->least,
                           .spread = of->spread,
                           .open = (int)roaring_bitmap_get_cardinality(sets->open),
                           .taken = (int)roaring_bitmap_get_cardinality(sets->taken),
                           .draining = (int)roaring_bitmap_get_cardinality(sets->draining)};
    tw_shards_copy_name(view.name, of->name);
    tw_shards_copy_name(view.owner, of->owner);
    return view;
}

int tw_shards_machines(const tw_shards *shares) { return shares->nmachines; }

tw_shards_tell tw_shards_machine(const tw_shards *shares, int index) {
    const machine *found = shares->machines[index];
    if (found->cell.state == TW_SHARDS_ABSENT) return (tw_shards_tell){.state = TW_SHARDS_ABSENT};
    return tell_of(shares, found);
}

tw_shards_tell tw_shards_machine_named(const tw_shards *shares, const char *name) {
    const machine *found = tw_shards_find(shares, name);
    return found ? tw_shards_machine(shares, found->index)
                 : (tw_shards_tell){.state = TW_SHARDS_ABSENT};
}
