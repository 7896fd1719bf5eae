/* Serves requests to the leader in the order of their arrival. Each request is checked against the
 * records while no transaction is in flight, so the verdict still holds when its transaction is
 * executed. */
#include "shards/shards_int.h"
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* 64-bit FNV-1a hash, of which 48 bits are kept because a JSON number represents them exactly. */
#define DIGEST_START 14695981039346656037ULL
#define DIGEST_FACTOR 1099511628211ULL
#define DIGEST_BITS 48

static uint64_t digest_add(uint64_t digest, const void *data, size_t size) {
    const unsigned char *bytes = data;
    for (size_t i = 0; i < size; i++) digest = (digest ^ bytes[i]) * DIGEST_FACTOR;
    return digest;
}

static uint64_t digest_text(uint64_t digest, const char *text) {
    return digest_add(digest, text, strlen(text) + 1);
}

/* Returns the digest of a move request. It uses names only, so that machines removed since then
 * don't change it. */
static uint64_t move_digest(const tw_shards_request *request) {
    uint64_t digest = digest_text(DIGEST_START, request->shard);
    digest = digest_text(digest, request->to);
    digest = digest_text(digest, request->image);
    if (!request->machine_count)
        digest = digest_add(digest, &request->count, sizeof request->count);
    for (int i = 0; i < request->machine_count; i++)
        digest = digest_text(digest, request->machines[i]);
    return digest >> (64 - DIGEST_BITS);
}

/* ---- queue of requests ---- */

static void remove_request(tw_shards *shards, tw_shards_waiting_request *removed) {
    DL_DELETE(shards->requests, removed);
    shards->request_count--;
    free(removed->request.machines);
    free(removed);
}

/* Gives repeated requests for the same move the same answer: a client whose move was rejected must
 * not see it begin because of a copy in the queue. */
static void answer_repeated_moves(tw_shards *shards, const tw_shards_request *answered,
                                  tw_shards_verdict verdict) {
    tw_shards_waiting_request *each;
    tw_shards_waiting_request *next;
    DL_FOREACH_SAFE(shards->requests, each, next) {
        if (each->request.kind != TW_SHARDS_MOVE || &each->request == answered) continue;
        if (strcmp(each->request.key, answered->key) != 0) continue;
        if (move_digest(&each->request) != move_digest(answered)) continue;
        tw_shards_answer_request(shards, &each->request, verdict);
        remove_request(shards, each);
    }
}

static void answer_first(tw_shards *shards, tw_shards_verdict verdict) {
    tw_shards_waiting_request *first = shards->requests;
    tw_shards_answer_request(shards, &first->request, verdict);
    if (first->request.kind == TW_SHARDS_MOVE)
        answer_repeated_moves(shards, &first->request, verdict);
    remove_request(shards, first);
}

/* Moves the first request from the queue to the requests that are answered once the transaction is
 * applied. */
static void defer_answer(tw_shards *shards) {
    tw_shards_waiting_request *first = shards->requests;
    DL_DELETE(shards->requests, first);
    shards->request_count--;
    DL_APPEND(shards->txn.answers, first);
}

/* Requests of a transaction that was not applied are retried first. */
void tw_shards_requeue_requests(tw_shards *shards) {
    DL_CONCAT(shards->txn.answers, shards->requests);
    shards->requests = shards->txn.answers;
    shards->txn.answers = NULL;
    tw_shards_waiting_request *each;
    shards->request_count = 0;
    DL_FOREACH(shards->requests, each) { shards->request_count++; }
}

void tw_shards_answer_applied(tw_shards *shards) {
    tw_shards_waiting_request *each;
    tw_shards_waiting_request *next;
    DL_FOREACH_SAFE(shards->txn.answers, each, next) {
        DL_DELETE(shards->txn.answers, each);
        tw_shards_answer_request(shards, &each->request, TW_SHARDS_OK);
        free(each->request.machines);
        free(each);
    }
}

void tw_shards_refuse_waiting(tw_shards *shards, tw_shards_verdict verdict) {
    while (shards->requests) answer_first(shards, verdict);
}

void tw_shards_refuse_all(tw_shards *shards, tw_shards_verdict verdict) {
    tw_shards_requeue_requests(shards);
    tw_shards_refuse_waiting(shards, verdict);
}

static void commit_or_refuse(tw_shards *shards) {
    if (tw_shards_commit_transaction(shards) == TW_SHARDS_NO_ERROR) {
        defer_answer(shards);
        return;
    }
    tw_shards_discard_transaction(shards);
    answer_first(shards, TW_SHARDS_TOO_LARGE);
}

/* ---- shards ---- */

static bool matches_definition(const tw_shards_shard *shard, const tw_shards_request *request) {
    return !strcmp(shard->owner, request->owner) && shard->least == request->least &&
           shard->spread == request->spread;
}

static bool serve_define(tw_shards *shards, const tw_shards_request *request) {
    if (!request->shard[0] || request->least < 0) {
        answer_first(shards, TW_SHARDS_INVALID);
        return false;
    }
    int index = tw_shards_shard_index(shards, request->shard);
    if (index >= 0 && matches_definition(&shards->header.shards[index], request)) {
        answer_first(shards, TW_SHARDS_OK);
        return false;
    }
    tw_shards_begin_transaction(shards);
    tw_shards_header *next = tw_shards_change_header(shards);
    if (index < 0) {
        index = next->shard_count++;
        next->shards[index] = (tw_shards_shard){0};
        tw_shards_copy_name(next->shards[index].name, request->shard);
    } else if (strcmp(next->shards[index].owner, request->owner) != 0) {
        next->shards[index].epoch = ++next->epoch;
    }
    tw_shards_copy_name(next->shards[index].owner, request->owner);
    next->shards[index].least = request->least;
    next->shards[index].spread = request->spread;
    next->revision++;
    commit_or_refuse(shards);
    return shards->in_flight;
}

/* ---- adding, removing and renewing machines, several in one transaction ---- */

/* Returns the first slot that is ABSENT and not used by this transaction; adds one if there is
 * none.
 */
static tw_shards_machine *free_slot(tw_shards *shards) {
    for (int i = 0; i < shards->machine_count; i++) {
        tw_shards_machine *each = shards->machines[i];
        if (each->cell.state == TW_SHARDS_ABSENT && !each->change_pending) return each;
    }
    return tw_shards_get_slot(shards, shards->machine_count);
}

/* Adds a machine and returns the verdict. Sets *full if the transaction can't hold the change. */
static tw_shards_verdict add_machine(tw_shards *shards, const tw_shards_request *request,
                                     bool *full) {
    const int index = tw_shards_shard_index(shards, request->shard);
    if (index < 0) return TW_SHARDS_UNKNOWN_SHARD;
    if (!request->machine[0] || !request->zone[0]) return TW_SHARDS_INVALID;
    tw_shards_machine *slot = free_slot(shards);
    *full = !tw_shards_transaction_fits(shards, slot,
                                        TW_SHARDS_RECORD_CELLS | TW_SHARDS_RECORD_NAMES, 1);
    if (*full) return TW_SHARDS_OK;
    tw_shards_header *next = tw_shards_change_header(shards);
    if (next->epoch == shards->header.epoch) next->epoch++;
    tw_shards_name_machine(shards, slot, request->machine,
                           tw_shards_find_or_add_zone(shards, request->zone));
    const tw_shards_cell to = {.shard = index, .state = TW_SHARDS_TAKEN, .epoch = next->epoch};
    tw_shards_change_machine(shards, slot, to);
    return TW_SHARDS_OK;
}

static tw_shards_verdict remove_machine(tw_shards *shards, tw_shards_machine *removed, bool *full) {
    tw_shards_move *held_by = tw_shards_move_by_number(shards, removed->cell.move);
    *full = !tw_shards_transaction_fits(
        shards, removed, TW_SHARDS_RECORD_CELLS | TW_SHARDS_RECORD_NAMES, held_by != NULL);
    if (*full) return TW_SHARDS_OK;
    tw_shards_change_machine(shards, removed, (tw_shards_cell){.state = TW_SHARDS_ABSENT});
    if (held_by) tw_shards_change_move(shards, held_by)->lost++;
    return TW_SHARDS_OK;
}

/* Handles the restart of a machine, which runs nothing afterwards: a draining machine is released
 * without waiting for its owner; any other machine is opened again under the next epoch, which
 * delayed commands for its earlier boot don't carry. */
static tw_shards_verdict renew_machine(tw_shards *shards, tw_shards_machine *renewed, bool *full) {
    tw_shards_cell to = renewed->cell;
    *full = !tw_shards_transaction_fits(shards, renewed, TW_SHARDS_RECORD_CELLS, 1);
    if (*full || to.state == TW_SHARDS_RELEASED) return TW_SHARDS_OK;
    tw_shards_header *next = tw_shards_change_header(shards);
    if (next->epoch == shards->header.epoch) next->epoch++;
    if (to.state == TW_SHARDS_DRAINING) {
        to.state = TW_SHARDS_RELEASED;
    } else {
        to.state = TW_SHARDS_TAKEN;
        to.epoch = next->epoch;
    }
    tw_shards_change_machine(shards, renewed, to);
    return TW_SHARDS_OK;
}

static tw_shards_verdict change_machine(tw_shards *shards, const tw_shards_request *request,
                                        bool *full) {
    tw_shards_machine *found = tw_shards_find_machine(shards, request->machine);
    if (!found && request->kind == TW_SHARDS_ADD) return add_machine(shards, request, full);
    if (!found && request->kind == TW_SHARDS_REMOVE) return TW_SHARDS_OK; /* already removed */
    if (!found) return TW_SHARDS_UNKNOWN_MACHINE;
    *full = found->change_pending; /* one transaction changes a machine at most once */
    if (*full) return TW_SHARDS_OK;
    if (request->kind == TW_SHARDS_REMOVE) return remove_machine(shards, found, full);
    return renew_machine(shards, found, full);
}

static bool is_machine_request(const tw_shards_waiting_request *each) {
    return each && (each->request.kind == TW_SHARDS_ADD || each->request.kind == TW_SHARDS_REMOVE ||
                    each->request.kind == TW_SHARDS_RENEW);
}

static bool serve_machine_changes(tw_shards *shards) {
    bool full = false;
    tw_shards_begin_transaction(shards);
    while (is_machine_request(shards->requests) && !full) {
        const tw_shards_verdict verdict = change_machine(shards, &shards->requests->request, &full);
        if (verdict != TW_SHARDS_OK)
            answer_first(shards, verdict);
        else if (!full)
            defer_answer(shards);
    }
    if (!shards->txn.machine_count) {
        tw_shards_discard_transaction(shards);
        tw_shards_answer_applied(shards); /* no change was needed */
        return false;
    }
    if (tw_shards_commit_transaction(shards) != TW_SHARDS_NO_ERROR) {
        tw_shards_discard_transaction(shards);
        tw_shards_requeue_requests(shards);
        answer_first(shards, TW_SHARDS_TOO_LARGE);
        return false;
    }
    return true;
}

/* ---- moves ---- */

/* Stores the machines that the request names in record->only, as ranges. */
static tw_shards_verdict read_named_machines(const tw_shards *shards,
                                             const tw_shards_request *request,
                                             tw_shards_move_record *record) {
    roaring_bitmap_t *named = roaring_bitmap_create();
    tw_shards_verdict verdict = TW_SHARDS_OK;
    for (int i = 0; i < request->machine_count && verdict == TW_SHARDS_OK; i++) {
        const tw_shards_machine *found = tw_shards_find_machine(shards, request->machines[i]);
        if (!found)
            verdict = TW_SHARDS_UNKNOWN_MACHINE;
        else
            roaring_bitmap_add(named, (uint32_t)found->index);
    }
    record->wanted = (int)roaring_bitmap_get_cardinality(named);
    record->only = tw_shards_ranges_text(named);
    roaring_bitmap_free(named);
    return verdict;
}

static tw_shards_verdict read_move(const tw_shards *shards, const tw_shards_request *request,
                                   tw_shards_move_record *record) {
    *record = (tw_shards_move_record){.from = tw_shards_shard_index(shards, request->shard),
                                      .to = tw_shards_shard_index(shards, request->to),
                                      .wanted = request->count,
                                      .digest = move_digest(request),
                                      .deadline = shards->wall + shards->settings.drain_s};
    tw_shards_copy_name(record->key, request->key);
    tw_shards_copy_name(record->image, request->image);
    if (!request->key[0] || strpbrk(request->key, " /%?#\"\\")) return TW_SHARDS_INVALID;
    if (record->from < 0 || record->to < 0) return TW_SHARDS_UNKNOWN_SHARD;
    if (request->machine_count) return read_named_machines(shards, request, record);
    return request->count > 0 ? TW_SHARDS_OK : TW_SHARDS_INVALID;
}

/* Checks that every named machine is open in the source shard. */
static tw_shards_verdict check_named_machines(const tw_shards *shards,
                                              const tw_shards_move_record *record) {
    roaring_bitmap_t *named = tw_shards_ranges_parse(record->only);
    tw_shards_verdict verdict = TW_SHARDS_OK;
    roaring_uint32_iterator_t each;
    roaring_init_iterator(named, &each);
    for (; each.has_value; roaring_advance_uint32_iterator(&each)) {
        const tw_shards_machine *found = shards->machines[each.current_value];
        if (found->cell.shard != record->from)
            verdict = found->cell.move ? TW_SHARDS_BUSY : TW_SHARDS_UNKNOWN_MACHINE;
        else if (tw_shards_effective_state(shards, found) != TW_SHARDS_OPEN)
            verdict = TW_SHARDS_BUSY;
        else if (!tw_shards_is_confirmed(shards, found))
            verdict = TW_SHARDS_QUARANTINED;
        if (verdict != TW_SHARDS_OK) break;
    }
    roaring_bitmap_free(named);
    return verdict;
}

/* Checks a new move and chooses the machines to begin it with. */
static tw_shards_verdict check_move(const tw_shards *shards, const tw_shards_move_record *record,
                                    tw_shards_machine ***chosen) {
    const tw_shards_shard_sets *sets = &shards->sets[record->from];
    const int open = (int)roaring_bitmap_get_cardinality(sets->open);
    const int taken = (int)roaring_bitmap_get_cardinality(sets->taken);
    *chosen = NULL;
    if (record->from == record->to) return TW_SHARDS_INVALID;
    if (record->only) {
        const tw_shards_verdict verdict = check_named_machines(shards, record);
        if (verdict != TW_SHARDS_OK) return verdict;
    }
    if (open + taken - record->wanted < shards->header.shards[record->from].least)
        return TW_SHARDS_BELOW_LEAST;
    const int count = tw_shards_choose_machines(shards, record, record->wanted, chosen);
    if (count == record->wanted) return TW_SHARDS_OK;
    if (tw_shards_any_quarantined(shards, record->from)) return TW_SHARDS_QUARANTINED;
    return taken && open < record->wanted ? TW_SHARDS_BUSY : TW_SHARDS_NO_FIT;
}

/* Returns the number of the oldest finished move if more than TW_SHARDS_MAX_FINISHED_MOVES are
 * kept, or 0. Each new move removes at most one. */
static uint64_t move_to_remove(const tw_shards *shards) {
    const tw_shards_move *each;
    const tw_shards_move *oldest = NULL;
    int finished = 0;
    DL_FOREACH2(shards->moves, each, link) {
        if (!each->recorded.done) continue;
        finished++;
        if (!oldest) oldest = each;
    }
    return finished > TW_SHARDS_MAX_FINISHED_MOVES ? oldest->recorded.number : 0;
}

/* Begins the move in one transaction, with as many machines as fit into it. */
static void begin_move(tw_shards *shards, tw_shards_move_record *record,
                       tw_shards_machine **chosen) {
    tw_shards_begin_transaction(shards);
    shards->txn.removed_move = move_to_remove(shards);
    tw_shards_header *next = tw_shards_change_header(shards);
    next->revision++;
    record->number = ++next->move;
    tw_shards_move *added = tw_shards_add_move(shards, &(tw_shards_move_record){0});
    added->next = *record;
    added->change_pending = true;
    tw_shards_mark_machines(shards, added, chosen, record->wanted);
    commit_or_refuse(shards);
}

static bool serve_move(tw_shards *shards, const tw_shards_request *request) {
    tw_shards_move_record record;
    tw_shards_machine **chosen = NULL;
    const tw_shards_move *known = tw_shards_move_by_key(shards, request->key);
    if (known) {
        const bool repeated = known->recorded.digest == move_digest(request);
        answer_first(shards, repeated ? TW_SHARDS_OK : TW_SHARDS_KEY_REUSED);
        return false;
    }
    tw_shards_verdict verdict = read_move(shards, request, &record);
    if (verdict == TW_SHARDS_OK && request->revision &&
        request->revision != shards->header.revision)
        verdict = TW_SHARDS_STALE_REVISION;
    if (verdict == TW_SHARDS_OK) verdict = check_move(shards, &record, &chosen);
    if (verdict == TW_SHARDS_OK) {
        begin_move(shards, &record, chosen);
    } else {
        answer_first(shards, verdict);
        free(record.only);
    }
    free(chosen);
    return shards->in_flight;
}

static bool serve_cancel(tw_shards *shards, const tw_shards_request *request) {
    tw_shards_move *found = tw_shards_move_by_key(shards, request->key);
    if (!found || found->recorded.done || found->recorded.cancelled) {
        answer_first(shards, found ? TW_SHARDS_OK : TW_SHARDS_UNKNOWN_MOVE);
        return false;
    }
    tw_shards_begin_transaction(shards);
    tw_shards_change_move(shards, found)->cancelled = 1;
    commit_or_refuse(shards);
    return shards->in_flight;
}

static bool serve_watch(tw_shards *shards, const tw_shards_request *request) {
    const tw_shards_move *found = tw_shards_move_by_key(shards, request->key);
    answer_first(shards, found ? TW_SHARDS_OK : TW_SHARDS_UNKNOWN_MOVE);
    return false;
}

bool tw_shards_serve_request(tw_shards *shards) {
    while (shards->requests && shards->now < shards->authority_until) {
        const tw_shards_request *request = &shards->requests->request;
        bool begun = false;
        switch (request->kind) {
        case TW_SHARDS_DEFINE:
            begun = serve_define(shards, request);
            break;
        case TW_SHARDS_MOVE:
            begun = serve_move(shards, request);
            break;
        case TW_SHARDS_CANCEL:
            begun = serve_cancel(shards, request);
            break;
        case TW_SHARDS_WATCH:
            begun = serve_watch(shards, request);
            break;
        default:
            begun = serve_machine_changes(shards);
        }
        if (begun) return true;
    }
    return false;
}
