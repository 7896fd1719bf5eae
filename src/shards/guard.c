/* The guard of a machine: accepts requests of the newest epoch and commands of the latest term
 * only. */
#include "shards/shards.h"
#include <stdbool.h>

const char *tw_shards_guard_verdict_name(tw_shards_guard_verdict verdict) {
    static const char *const names[] = {"raised",   "repeated",   "old_epoch",
                                        "old_term", "other_life", "not_started"};
    return names[verdict];
}

void tw_shards_guard_boot(tw_shards_guard *guard, uint64_t boot_id) {
    *guard = (tw_shards_guard){.boot_id = boot_id};
}

/* Records the term of a command. Returns false if a later term is known: a deposed leader may have
 * commands in flight, or send them when its suspended process resumes, and they must change
 * nothing after a command of the next leader has arrived. */
static bool accept_term(tw_shards_guard *guard, uint64_t term) {
    if (term < guard->term) return false;
    guard->term = term;
    return true;
}

tw_shards_guard_verdict tw_shards_guard_check_term(tw_shards_guard *guard, uint64_t term) {
    return accept_term(guard, term) ? TW_SHARDS_GUARD_REPEATED : TW_SHARDS_GUARD_OLD_TERM;
}

tw_shards_guard_verdict tw_shards_guard_set_minimum_epoch(tw_shards_guard *guard, uint64_t term,
                                                          uint64_t boot_id,
                                                          uint64_t minimum_epoch) {
    if (!accept_term(guard, term)) return TW_SHARDS_GUARD_OLD_TERM;
    /* A minimum epoch assigned for an earlier boot of the machine is too low: epochs of that boot
     * could be opened again. */
    if (boot_id != guard->boot_id) return TW_SHARDS_GUARD_OTHER_BOOT;
    if (guard->started) return TW_SHARDS_GUARD_REPEATED;
    guard->started = true;
    guard->minimum_epoch = minimum_epoch;
    return TW_SHARDS_GUARD_RAISED;
}

tw_shards_guard_verdict tw_shards_guard_open_epoch(tw_shards_guard *guard, uint64_t term,
                                                   uint64_t epoch) {
    if (!accept_term(guard, term)) return TW_SHARDS_GUARD_OLD_TERM;
    if (!guard->started) return TW_SHARDS_GUARD_NOT_STARTED;
    if (epoch <= guard->minimum_epoch || epoch < guard->newest_epoch)
        return TW_SHARDS_GUARD_OLD_EPOCH;
    if (epoch == guard->newest_epoch) return TW_SHARDS_GUARD_REPEATED;
    guard->newest_epoch = epoch;
    return TW_SHARDS_GUARD_RAISED;
}

tw_shards_guard_verdict tw_shards_guard_check_stop(tw_shards_guard *guard, uint64_t term,
                                                   uint64_t epoch) {
    if (!accept_term(guard, term)) return TW_SHARDS_GUARD_OLD_TERM;
    return epoch && epoch == guard->newest_epoch ? TW_SHARDS_GUARD_REPEATED
                                                 : TW_SHARDS_GUARD_OLD_EPOCH;
}

bool tw_shards_guard_accepts(const tw_shards_guard *guard, uint64_t epoch) {
    return epoch && epoch == guard->newest_epoch;
}
