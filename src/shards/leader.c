/* The input functions of the leader, and the effects that they return. */
#include "shards/shards_int.h"
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* ---- effects ---- */

tw_shards_effect *tw_shards_emit_effect(tw_shards *shards, tw_shards_effect_kind kind) {
    tw_shards_effect *effect = tw_shards_alloc(sizeof *effect);
    effect->kind = kind;
    if (shards->last_effect)
        shards->last_effect->next = effect;
    else
        shards->effects = effect;
    shards->last_effect = effect;
    return effect;
}

tw_shards_effect *tw_shards_next_effect(tw_shards *shards) {
    tw_shards_effect *first = shards->effects;
    if (!first) return NULL;
    shards->effects = first->next;
    if (!shards->effects) shards->last_effect = NULL;
    first->next = NULL;
    return first;
}

void tw_shards_effect_free(tw_shards_effect *effect) {
    if (!effect) return;
    free(effect->text);
    free(effect);
}

static tw_shards_notification make_notification(const tw_shards *shards,
                                                const tw_shards_machine *machine) {
    tw_shards_notification notification = {.state = tw_shards_effective_state(shards, machine)};
    const tw_shards_shard *shard = &shards->header.shards[machine->cell.shard];
    const tw_shards_move *move = tw_shards_move_by_number(shards, machine->cell.move);
    tw_shards_copy_name(notification.owner, shard->owner);
    tw_shards_copy_name(notification.shard, shard->name);
    tw_shards_copy_name(notification.machine, machine->name);
    notification.epoch = tw_shards_effective_epoch(shards, machine);
    notification.term = shards->token;
    if (move) notification.drain_s = fmax(0, move->recorded.deadline - shards->wall);
    return notification;
}

void tw_shards_emit_notification(tw_shards *shards, tw_shards_machine *machine) {
    tw_shards_emit_effect(shards, TW_SHARDS_NOTIFY)->notification =
        make_notification(shards, machine);
    machine->notified_at = shards->now;
}

void tw_shards_answer_request(tw_shards *shards, const tw_shards_request *request,
                              tw_shards_verdict verdict) {
    tw_shards_effect *effect = tw_shards_emit_effect(shards, TW_SHARDS_ANSWER);
    const tw_shards_move *move =
        request->key[0] ? tw_shards_move_by_key(shards, request->key) : NULL;
    effect->id = request->id;
    effect->verdict = verdict;
    effect->revision = shards->header.revision;
    effect->minimum_epoch = shards->txn.minimum_epoch;
    if (move && verdict == TW_SHARDS_OK) effect->progress = tw_shards_move_progress(shards, move);
}

/* ---- creation, start and end of a term ---- */

tw_shards *tw_shards_new(const tw_shards_settings *settings) {
    tw_shards *shards = tw_shards_alloc(sizeof *shards);
    shards->settings = *settings;
    shards->write_budget = settings->txn_ops;
    shards->quarantined = roaring_bitmap_create();
    return shards;
}

void tw_shards_free(tw_shards *shards) {
    tw_shards_effect *effect;
    if (!shards) return;
    tw_shards_end_term(shards);
    while ((effect = tw_shards_next_effect(shards))) tw_shards_effect_free(effect);
    free(shards->txn.machines);
    free(shards->txn.record_kinds);
    roaring_bitmap_free(shards->quarantined);
    free(shards);
}

void tw_shards_begin_term(tw_shards *shards, double now, const char *leader_key, uint64_t token) {
    shards->now = shards->budget_updated_at = now;
    shards->token = token;
    shards->deciding = shards->quarantine_filled = false;
    strncpy(shards->leader_key, leader_key, TW_SHARDS_KEY_SIZE - 1);
    tw_shards_reload_table(shards);
}

void tw_shards_set_authority(tw_shards *shards, double until) { shards->authority_until = until; }

void tw_shards_end_term(tw_shards *shards) {
    tw_shards_refuse_all(shards, TW_SHARDS_NOT_LEADER);
    tw_shards_discard_transaction(shards);
    tw_shards_free_pages(shards);
    tw_shards_clear_table(shards);
    shards->in_flight = shards->reading = shards->loaded = false;
    shards->deciding = false;
    shards->token = 0;
    shards->authority_until = 0;
}

/* ---- quarantine of machines ---- */

bool tw_shards_is_confirmed(const tw_shards *shards, const tw_shards_machine *machine) {
    return !roaring_bitmap_contains(shards->quarantined, (uint32_t)machine->index);
}

bool tw_shards_any_quarantined(const tw_shards *shards, int shard_index) {
    return roaring_bitmap_intersect(shards->sets[shard_index].open, shards->quarantined);
}

bool tw_shards_is_deciding(const tw_shards *shards) { return shards->loaded && shards->deciding; }

int tw_shards_quarantined_count(const tw_shards *shards) {
    return (int)roaring_bitmap_get_cardinality(shards->quarantined);
}

/* ---- transactions, one at a time ---- */

static void refill_write_budget(tw_shards *shards) {
    const double limit = fmax(shards->settings.write_rps, shards->settings.txn_ops);
    const double refilled =
        fmax(0, shards->now - shards->budget_updated_at) * shards->settings.write_rps;
    shards->write_budget = fmin(limit, shards->write_budget + refilled);
    shards->budget_updated_at = shards->now;
}

/* Begins the next transaction. Requests and steps of moves take turns, so that neither delays the
 * other for long. */
static void begin_next_transaction(tw_shards *shards) {
    if (!tw_shards_is_deciding(shards) || shards->in_flight || shards->write_budget <= 0) return;
    shards->steps_first = !shards->steps_first;
    if (shards->steps_first && tw_shards_step_moves(shards)) return;
    if (tw_shards_serve_request(shards)) return;
    if (!shards->steps_first) tw_shards_step_moves(shards);
}

void tw_shards_allow_decisions(tw_shards *shards, double now) {
    shards->now = now;
    shards->deciding = true;
    begin_next_transaction(shards);
}

void tw_shards_confirm_machine(tw_shards *shards, double now, const char *name) {
    const tw_shards_machine *found = tw_shards_find_machine(shards, name);
    if (!found) return;
    shards->now = now;
    roaring_bitmap_remove(shards->quarantined, (uint32_t)found->index);
    begin_next_transaction(shards);
}

void tw_shards_handle_outcome(tw_shards *shards, double now, uint64_t id, tw_shards_outcome outcome,
                              uint64_t revision) {
    if (!shards->in_flight || id != shards->txn.id) return;
    shards->now = now;
    refill_write_budget(shards);
    if (outcome == TW_SHARDS_APPLIED) {
        tw_shards_apply_transaction(shards, revision);
        tw_shards_answer_applied(shards);
        begin_next_transaction(shards);
        return;
    }
    tw_shards_requeue_requests(shards);
    if (outcome == TW_SHARDS_NOT_EXECUTED) {
        tw_shards_discard_transaction(shards);
        shards->in_flight = false;
        shards->write_budget = -shards->settings.retry_s * shards->settings.write_rps;
        return;
    }
    /* Reading the table shows whether the transaction was executed. If it is executed after the
     * read, either it fails, or the next transaction on the same records fails and the table is
     * read again. */
    tw_shards_reload_table(shards);
}

static tw_shards_request copy_request(const tw_shards_request *request) {
    tw_shards_request copy = *request;
    if (!request->machine_count) {
        copy.machines = NULL;
        return copy;
    }
    const size_t size = sizeof *copy.machines * (size_t)request->machine_count;
    copy.machines = tw_shards_alloc(size);
    memcpy(copy.machines, request->machines, size);
    return copy;
}

void tw_shards_add_request(tw_shards *shards, double now, const tw_shards_request *request) {
    shards->now = now;
    const bool has_authority = shards->token && now < shards->authority_until;
    if (!has_authority || shards->request_count >= TW_SHARDS_MAX_WAITING) {
        tw_shards_answer_request(shards, request,
                                 has_authority ? TW_SHARDS_OVERLOADED : TW_SHARDS_NOT_LEADER);
        return;
    }
    tw_shards_waiting_request *added = tw_shards_alloc(sizeof *added);
    added->request = copy_request(request);
    DL_APPEND(shards->requests, added);
    shards->request_count++;
    refill_write_budget(shards);
    begin_next_transaction(shards);
}

/* ---- messages of owners ---- */

/* Returns the machine if the owner holds it under this epoch. Otherwise notifies the owner that
 * the machine is RELEASED and returns NULL. */
static tw_shards_machine *find_owned_machine(tw_shards *shards, const char *owner, const char *name,
                                             uint64_t epoch) {
    tw_shards_machine *found = shards->loaded ? tw_shards_find_machine(shards, name) : NULL;
    if (!shards->loaded) return NULL;
    if (found && !strcmp(shards->header.shards[found->cell.shard].owner, owner) &&
        tw_shards_effective_epoch(shards, found) == epoch)
        return found;
    tw_shards_notification *notification =
        &tw_shards_emit_effect(shards, TW_SHARDS_NOTIFY)->notification;
    tw_shards_copy_name(notification->owner, owner);
    tw_shards_copy_name(notification->machine, name);
    notification->state = TW_SHARDS_RELEASED;
    notification->epoch = epoch;
    notification->term = shards->token;
    return NULL;
}

void tw_shards_report_drained(tw_shards *shards, const char *owner, const char *name,
                              uint64_t epoch) {
    tw_shards_machine *found = find_owned_machine(shards, owner, name, epoch);
    if (found) found->drained_epoch = epoch;
    begin_next_transaction(shards);
}

void tw_shards_report_opened(tw_shards *shards, const char *owner, const char *name,
                             uint64_t epoch) {
    tw_shards_machine *found = find_owned_machine(shards, owner, name, epoch);
    if (found) found->opened_epoch = epoch;
    if (found && tw_shards_effective_state(shards, found) != TW_SHARDS_TAKEN)
        tw_shards_emit_notification(shards, found);
    begin_next_transaction(shards);
}

void tw_shards_send_owner_states(tw_shards *shards, const char *owner) {
    for (int i = 0; i < shards->machine_count; i++) {
        tw_shards_machine *each = shards->machines[i];
        if (each->cell.state == TW_SHARDS_ABSENT) continue;
        if (!strcmp(shards->header.shards[each->cell.shard].owner, owner))
            tw_shards_emit_notification(shards, each);
    }
}

void tw_shards_set_machine_load(tw_shards *shards, const char *name, int running) {
    tw_shards_machine *found = tw_shards_find_machine(shards, name);
    if (found) found->load = running;
}

void tw_shards_set_image_held(tw_shards *shards, const char *name, const char *image, int holds) {
    const tw_shards_machine *found = tw_shards_find_machine(shards, name);
    if (!found) return;
    tw_shards_named_set *set = holds ? tw_shards_find_or_add_image_set(shards, image)
                                     : tw_shards_find_image_set(shards, image);
    if (set && holds)
        roaring_bitmap_add(set->machines, (uint32_t)found->index);
    else if (set)
        roaring_bitmap_remove(set->machines, (uint32_t)found->index);
}

/* ---- tick ---- */

static void repeat_notifications(tw_shards *shards) {
    for (int i = 0; i < shards->machine_count; i++) {
        tw_shards_machine *each = shards->machines[i];
        if (each->cell.state == TW_SHARDS_ABSENT) continue;
        const tw_shards_state state = tw_shards_effective_state(shards, each);
        const uint64_t epoch = tw_shards_effective_epoch(shards, each);
        const bool awaits_owner = (state == TW_SHARDS_DRAINING && each->drained_epoch != epoch) ||
                                  (state == TW_SHARDS_TAKEN && each->opened_epoch != epoch);
        if (awaits_owner && shards->now >= each->notified_at + shards->settings.retry_s)
            tw_shards_emit_notification(shards, each);
    }
}

void tw_shards_tick(tw_shards *shards, double now, double wall) {
    shards->now = now;
    shards->wall = wall;
    refill_write_budget(shards);
    if (!shards->token) return;
    if (now >= shards->authority_until) tw_shards_refuse_waiting(shards, TW_SHARDS_NOT_LEADER);
    if (!shards->loaded && !shards->reading && now >= shards->next_read_at)
        tw_shards_read_next_page(shards, "");
    if (!shards->loaded) return;
    repeat_notifications(shards);
    begin_next_transaction(shards);
}

/* ---- access to the recorded table ---- */

bool tw_shards_is_ready(const tw_shards *shards) { return shards->token && shards->loaded; }
uint64_t tw_shards_revision(const tw_shards *shards) { return shards->header.revision; }
int tw_shards_shard_count(const tw_shards *shards) { return shards->header.shard_count; }

tw_shards_shard_view tw_shards_shard_at(const tw_shards *shards, int index) {
    const tw_shards_shard *shard = &shards->header.shards[index];
    const tw_shards_shard_sets *sets = &shards->sets[index];
    tw_shards_shard_view view = {.least = shard->least,
                                 .spread = shard->spread,
                                 .open = (int)roaring_bitmap_get_cardinality(sets->open),
                                 .taken = (int)roaring_bitmap_get_cardinality(sets->taken),
                                 .draining = (int)roaring_bitmap_get_cardinality(sets->draining)};
    tw_shards_copy_name(view.name, shard->name);
    tw_shards_copy_name(view.owner, shard->owner);
    return view;
}

int tw_shards_machine_count(const tw_shards *shards) { return shards->machine_count; }

tw_shards_notification tw_shards_machine_at(const tw_shards *shards, int index) {
    const tw_shards_machine *found = shards->machines[index];
    if (found->cell.state == TW_SHARDS_ABSENT)
        return (tw_shards_notification){.state = TW_SHARDS_ABSENT};
    return make_notification(shards, found);
}

tw_shards_notification tw_shards_machine_named(const tw_shards *shards, const char *name) {
    const tw_shards_machine *found = tw_shards_find_machine(shards, name);
    return found ? tw_shards_machine_at(shards, found->index)
                 : (tw_shards_notification){.state = TW_SHARDS_ABSENT};
}
