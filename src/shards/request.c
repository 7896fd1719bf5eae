/* Requests to the leader, one after the other in the order in which they came. Each is judged by
 * the records while no transaction is in flight, so what it is told holds when it is carried out.
 */
#include "shards/shards_int.h"
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* FNV-1a, 64 bits, of which a JSON number holds 48. */
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

/* Of what a move asks for; machines that are gone since don't change it. */
static uint64_t digest_of(const tw_shards_request *request) {
    uint64_t digest = digest_text(DIGEST_START, request->share);
    digest = digest_text(digest, request->to);
    digest = digest_text(digest, request->image);
    if (!request->nmachines) digest = digest_add(digest, &request->count, sizeof request->count);
    for (int i = 0; i < request->nmachines; i++) digest = digest_text(digest, request->machines[i]);
    return digest >> (64 - DIGEST_BITS);
}

/* ---- the queue ---- */

static void drop_waiting(tw_shards *shares, waiting *dropped) {
    DL_DELETE(shares->requests, dropped);
    shares->nrequests--;
    free(dropped->request.machines);
    free(dropped);
}

/* Copies of a move that its client repeated meanwhile get the same answer: a client that was
 * refused must not see its move begin after all. */
static void answer_copies(tw_shards *shares, const tw_shards_request *answered,
                          tw_shards_verdict verdict) {
    waiting *each;
    waiting *after;
    DL_FOREACH_SAFE(shares->requests, each, after) {
        if (each->request.kind != TW_SHARDS_MOVE || &each->request == answered) continue;
        if (strcmp(each->request.key, answered->key) != 0) continue;
        if (digest_of(&each->request) != digest_of(answered)) continue;
        tw_shards_answer(shares, &each->request, verdict);
        drop_waiting(shares, each);
    }
}

static void answer_first(tw_shards *shares, tw_shards_verdict verdict) {
    waiting *first = shares->requests;
    tw_shards_answer(shares, &first->request, verdict);
    if (first->request.kind == TW_SHARDS_MOVE) answer_copies(shares, &first->request, verdict);
    drop_waiting(shares, first);
}

/* The first request is answered once the transaction is applied. */
static void answer_later(tw_shards *shares) {
    waiting *first = shares->requests;
    DL_DELETE(shares->requests, first);
    shares->nrequests--;
    DL_APPEND(shares->txn.answers, first);
}

/* Those of a transaction that was not applied are tried again first. */
void tw_shards_requeue(tw_shards *shares) {
    DL_CONCAT(shares->txn.answers, shares->requests);
    shares->requests = shares->txn.answers;
    shares->txn.answers = NULL;
    waiting *each;
    shares->nrequests = 0;
    DL_FOREACH(shares->requests, each) { shares->nrequests++; }
}

void tw_shards_answer_applied(tw_shards *shares) {
    waiting *each;
    waiting *after;
    DL_FOREACH_SAFE(shares->txn.answers, each, after) {
        DL_DELETE(shares->txn.answers, each);
        tw_shards_answer(shares, &each->request, TW_SHARDS_OK);
        free(each->request.machines);
        free(each);
    }
}

void tw_shards_refuse_waiting(tw_shards *shares, tw_shards_verdict verdict) {
    while (shares->requests) answer_first(shares, verdict);
}

void tw_shards_refuse_all(tw_shards *shares, tw_shards_verdict verdict) {
    tw_shards_requeue(shares);
    tw_shards_refuse_waiting(shares, verdict);
}

static void commit_or_refuse(tw_shards *shares) {
    if (!tw_shards_commit(shares)) {
        answer_later(shares);
        return;
    }
    tw_shards_abandon(shares);
    answer_first(shares, TW_SHARDS_TOO_LARGE);
}

/* ---- shares ---- */

static bool is_defined_so(const share *of, const tw_shards_request *request) {
    return !strcmp(of->owner, request->owner) && of->least == request->least &&
           of->spread == request->spread;
}

static bool serve_define(tw_shards *shares, const tw_shards_request *request) {
    if (!request->share[0] || request->least < 0) {
        answer_first(shares, TW_SHARDS_INVALID);
        return false;
    }
    int index = tw_shards_share_index(shares, request->share);
    if (index >= 0 && is_defined_so(&shares->header.shares[index], request)) {
        answer_first(shares, TW_SHARDS_OK);
        return false;
    }
    tw_shards_begin(shares);
    header *next = tw_shards_change_header(shares);
    if (index < 0) {
        index = next->nshares++;
        next->shares[index] = (share){0};
        tw_shards_copy_name(next->shares[index].name, request->share);
    } else if (strcmp(next->shares[index].owner, request->owner) != 0) {
        next->shares[index].epoch = ++next->epoch;
    }
    tw_shards_copy_name(next->shares[index].owner, request->owner);
    next->shares[index].least = request->least;
    next->shares[index].spread = request->spread;
    next->revision++;
    commit_or_refuse(shares);
    return shares->in_flight;
}

/* ---- machines that come, go and restart: many in one transaction ---- */

/* The first machine slot that nobody has and that isn't given in this transaction. */
static machine *free_slot(tw_shards *shares) {
    for (int i = 0; i < shares->nmachines; i++) {
        machine *each = shares->machines[i];
        if (each->cell.state == TW_SHARDS_ABSENT && !each->changing) return each;
    }
    return tw_shards_slot(shares, shares->nmachines);
}

/* The verdict, or TW_SHARDS_OK and *full where the transaction has no room for it. */
static tw_shards_verdict add_machine(tw_shards *shares, const tw_shards_request *request,
                                     int *full) {
    const int index = tw_shards_share_index(shares, request->share);
    if (index < 0) return TW_SHARDS_UNKNOWN_SHARE;
    if (!request->machine[0] || !request->zone[0]) return TW_SHARDS_INVALID;
    machine *slot = free_slot(shares);
    *full = !tw_shards_has_room(shares, slot, CELLS | NAMES, 1);
    if (*full) return TW_SHARDS_OK;
    header *next = tw_shards_change_header(shares);
    if (next->epoch == shares->header.epoch) next->epoch++;
    tw_shards_name_machine(shares, slot, request->machine,
                           tw_shards_zone_index(shares, request->zone));
    const cell to = {.share = index, .state = TW_SHARDS_TAKEN, .epoch = next->epoch};
    tw_shards_change(shares, slot, to);
    return TW_SHARDS_OK;
}

static tw_shards_verdict remove_machine(tw_shards *shares, machine *gone, int *full) {
    move *held_by = tw_shards_move_by_number(shares, gone->cell.move);
    *full = !tw_shards_has_room(shares, gone, CELLS | NAMES, held_by != NULL);
    if (*full) return TW_SHARDS_OK;
    tw_shards_change(shares, gone, (cell){.state = TW_SHARDS_ABSENT});
    if (held_by) tw_shards_change_move(shares, held_by)->lost++;
    return TW_SHARDS_OK;
}

/* A machine that has restarted runs nothing: one that drained is released at once, any other one
 * is to be opened again under the next epoch, which no late command of its earlier life has. */
static tw_shards_verdict renew_machine(tw_shards *shares, machine *renewed, int *full) {
    cell to = renewed->cell;
    *full = !tw_shards_has_room(shares, renewed, CELLS, 1);
    if (*full || to.state == TW_SHARDS_RELEASED) return TW_SHARDS_OK;
    header *next = tw_shards_change_header(shares);
    if (next->epoch == shares->header.epoch) next->epoch++;
    if (to.state == TW_SHARDS_DRAINING) {
        to.state = TW_SHARDS_RELEASED;
    } else {
        to.state = TW_SHARDS_TAKEN;
        to.epoch = next->epoch;
    }
    tw_shards_change(shares, renewed, to);
    return TW_SHARDS_OK;
}

static tw_shards_verdict change_machine(tw_shards *shares, const tw_shards_request *request,
                                        int *full) {
    machine *found = tw_shards_find(shares, request->machine);
    if (!found && request->kind == TW_SHARDS_ADD) return add_machine(shares, request, full);
    if (!found && request->kind == TW_SHARDS_REMOVE) return TW_SHARDS_OK; /* it is gone already */
    if (!found) return TW_SHARDS_UNKNOWN_MACHINE;
    *full = found->changing; /* twice in one transaction */
    if (*full) return TW_SHARDS_OK;
    if (request->kind == TW_SHARDS_REMOVE) return remove_machine(shares, found, full);
    return renew_machine(shares, found, full);
}

static bool is_of_machine(const waiting *each) {
    return each && (each->request.kind == TW_SHARDS_ADD || each->request.kind == TW_SHARDS_REMOVE ||
                    each->request.kind == TW_SHARDS_RENEW);
}

static bool serve_machines(tw_shards *shares) {
    int full = 0;
    tw_shards_begin(shares);
    while (is_of_machine(shares->requests) && !full) {
        const tw_shards_verdict verdict = change_machine(shares, &shares->requests->request, &full);
        if (verdict != TW_SHARDS_OK)
            answer_first(shares, verdict);
        else if (!full)
            answer_later(shares);
    }
    if (!shares->txn.nmachines) {
        tw_shards_abandon(shares);
        tw_shards_answer_applied(shares); /* nothing had to be changed */
        return false;
    }
    if (tw_shards_commit(shares)) {
        tw_shards_abandon(shares);
        tw_shards_requeue(shares);
        answer_first(shares, TW_SHARDS_TOO_LARGE);
        return false;
    }
    return true;
}

/* ---- moves ---- */

/* The machines that the request names, as ranges in record->only. */
static tw_shards_verdict read_named(const tw_shards *shares, const tw_shards_request *request,
                                    move_record *record) {
    roaring_bitmap_t *named = roaring_bitmap_create();
    tw_shards_verdict verdict = TW_SHARDS_OK;
    for (int i = 0; i < request->nmachines && verdict == TW_SHARDS_OK; i++) {
        const machine *found = tw_shards_find(shares, request->machines[i]);
        if (!found)
            verdict = TW_SHARDS_UNKNOWN_MACHINE;
        else
            roaring_bitmap_add(named, (uint32_t)found->index);
    }
    record->wanted = (int)roaring_bitmap_get_cardinality(named);
    record->only = tw_shards_ranges(named);
    roaring_bitmap_free(named);
    return verdict;
}

static tw_shards_verdict read_move(const tw_shards *shares, const tw_shards_request *request,
                                   move_record *record) {
    *record = (move_record){.from = tw_shards_share_index(shares, request->share),
                            .to = tw_shards_share_index(shares, request->to),
                            .wanted = request->count,
                            .digest = digest_of(request),
                            .deadline = shares->wall + shares->settings.drain_s};
    tw_shards_copy_name(record->key, request->key);
    tw_shards_copy_name(record->image, request->image);
    if (!request->key[0] || strpbrk(request->key, " /%?#\"\\")) return TW_SHARDS_INVALID;
    if (record->from < 0 || record->to < 0) return TW_SHARDS_UNKNOWN_SHARE;
    if (request->nmachines) return read_named(shares, request, record);
    return request->count > 0 ? TW_SHARDS_OK : TW_SHARDS_INVALID;
}

/* Whether every machine named is open in the share that is to give it. */
static tw_shards_verdict judge_named(const tw_shards *shares, const move_record *record) {
    roaring_bitmap_t *named = tw_shards_ranges_parse(record->only);
    tw_shards_verdict verdict = TW_SHARDS_OK;
    roaring_uint32_iterator_t each;
    roaring_init_iterator(named, &each);
    for (; each.has_value; roaring_advance_uint32_iterator(&each)) {
        const machine *found = shares->machines[each.current_value];
        if (found->cell.share != record->from)
            verdict = found->cell.move ? TW_SHARDS_BUSY : TW_SHARDS_UNKNOWN_MACHINE;
        else if (tw_shards_state_of(shares, found) != TW_SHARDS_OPEN)
            verdict = TW_SHARDS_BUSY;
        else if (!tw_shards_is_checked(shares, found))
            verdict = TW_SHARDS_HELD_BACK;
        if (verdict != TW_SHARDS_OK) break;
    }
    roaring_bitmap_free(named);
    return verdict;
}

/* The verdict on a new move, and the machines that begin it. */
static tw_shards_verdict judge_move(const tw_shards *shares, const move_record *record,
                                    machine ***chosen) {
    const share_sets *sets = &shares->sets[record->from];
    const int open = (int)roaring_bitmap_get_cardinality(sets->open);
    const int taken = (int)roaring_bitmap_get_cardinality(sets->taken);
    *chosen = NULL;
    if (record->from == record->to) return TW_SHARDS_INVALID;
    if (record->only) {
        const tw_shards_verdict verdict = judge_named(shares, record);
        if (verdict != TW_SHARDS_OK) return verdict;
    }
    if (open + taken - record->wanted < shares->header.shares[record->from].least)
        return TW_SHARDS_BELOW_LEAST;
    const int count = tw_shards_choose(shares, record, record->wanted, chosen);
    if (count == record->wanted) return TW_SHARDS_OK;
    if (tw_shards_any_held_back(shares, record->from)) return TW_SHARDS_HELD_BACK;
    return taken && open < record->wanted ? TW_SHARDS_BUSY : TW_SHARDS_NO_FIT;
}

/* Finished moves beyond those that are kept go, the oldest first, one with each new move. */
static uint64_t move_to_remove(const tw_shards *shares) {
    const move *each;
    const move *oldest = NULL;
    int finished = 0;
    DL_FOREACH2(shares->moves, each, link) {
        if (!each->now.done) continue;
        finished++;
        if (!oldest) oldest = each;
    }
    return finished > FINISHED_KEPT ? oldest->now.number : 0;
}

/* Begins the move in one transaction, with as many machines as it takes. */
static void begin_move(tw_shards *shares, move_record *record, machine **chosen) {
    tw_shards_begin(shares);
    shares->txn.removed_move = move_to_remove(shares);
    header *next = tw_shards_change_header(shares);
    next->revision++;
    record->number = ++next->move;
    move *added = tw_shards_add_move(shares, &(move_record){0});
    added->next = *record;
    added->changing = true;
    tw_shards_mark(shares, added, chosen, record->wanted);
    commit_or_refuse(shares);
}

static bool serve_move(tw_shards *shares, const tw_shards_request *request) {
    move_record record;
    machine **chosen = NULL;
    const move *known = tw_shards_move_by_key(shares, request->key);
    if (known) {
        const bool repeated = known->now.digest == digest_of(request);
        answer_first(shares, repeated ? TW_SHARDS_OK : TW_SHARDS_KEY_REUSED);
        return false;
    }
    tw_shards_verdict verdict = read_move(shares, request, &record);
    if (verdict == TW_SHARDS_OK && request->revision &&
        request->revision != shares->header.revision)
        verdict = TW_SHARDS_STALE_REVISION;
    if (verdict == TW_SHARDS_OK) verdict = judge_move(shares, &record, &chosen);
    if (verdict == TW_SHARDS_OK) {
        begin_move(shares, &record, chosen);
    } else {
        answer_first(shares, verdict);
        free(record.only);
    }
    free(chosen);
    return shares->in_flight;
}

static bool serve_cancel(tw_shards *shares, const tw_shards_request *request) {
    move *found = tw_shards_move_by_key(shares, request->key);
    if (!found || found->now.done || found->now.cancelled) {
        answer_first(shares, found ? TW_SHARDS_OK : TW_SHARDS_UNKNOWN_MOVE);
        return false;
    }
    tw_shards_begin(shares);
    tw_shards_change_move(shares, found)->cancelled = 1;
    commit_or_refuse(shares);
    return shares->in_flight;
}

static int serve_watch(tw_shards *shares, const tw_shards_request *request) {
    const move *found = tw_shards_move_by_key(shares, request->key);
    answer_first(shares, found ? TW_SHARDS_OK : TW_SHARDS_UNKNOWN_MOVE);
    return 0;
}

bool tw_shards_serve_request(tw_shards *shares) {
    while (shares->requests && shares->now < shares->authority_until) {
        const tw_shards_request *request = &shares->requests->request;
        bool begun = false;
        switch (request->kind) {
        case TW_SHARDS_DEFINE:
            begun = serve_define(shares, request);
            break;
        case TW_SHARDS_MOVE:
            begun = serve_move(shares, request);
            break;
        case TW_SHARDS_CANCEL:
            begun = serve_cancel(shares, request);
            break;
        case TW_SHARDS_WATCH:
            begun = serve_watch(shares, request);
            break;
        default:
            begun = serve_machines(shares);
        }
        if (begun) return true;
    }
    return false;
}
