/* Counters of decisions and of broken invariants, and the only function that reports a broken
 * invariant (counters.c). Invariant: counters never decrease, not even when a term ends. Not for
 * other packages. */
#ifndef TW_CORE_COUNTERS_H
#define TW_CORE_COUNTERS_H
#include "core/attempt_termination.h"
#include <stdint.h>

/* Why a received message was rejected or due work was not done. */
typedef enum {
    /* The heartbeat is older than the newest one of its worker. */
    TW_REJECTED_OLDER_HEARTBEAT,
    /* The heartbeat belongs to an incarnation whose lease has certainly expired. */
    TW_REJECTED_EXPIRED_HEARTBEAT,
    /* The heartbeat comes from a machine that was returned. */
    TW_REJECTED_RETURNED_MACHINE,
    /* The heartbeat was forwarded to a node without permission to answer it. */
    TW_REJECTED_NO_PERMISSION,
    /* Launch and forget commands may be due, but the node lacks the permission to send them. */
    TW_REJECTED_COMMANDS,
    TW_REJECTIONS
} tw_rejection;

/* Conditions that hold regardless of input; a broken invariant is a bug in this program. */
typedef enum {
    /* no task is placed while it has an attempt or is done */
    TW_INVARIANT_PLACED_TWICE,
    /* a task is launched only for its one attempt, created in this term */
    TW_INVARIANT_LAUNCH,
    /* no command is sent without the permission for it */
    TW_INVARIANT_PERMISSION,
    /* no attempt is terminated on evidence that does not hold */
    TW_INVARIANT_TERMINATION,
    TW_INVARIANTS
} tw_invariant;

typedef struct tw_counters {
    /* attempts terminated, by kind of evidence */
    uint64_t terminated[TW_EVIDENCE_KINDS];
    /* attempts not terminated because the evidence did not hold, by kind of evidence */
    uint64_t kept[TW_EVIDENCE_KINDS];
    uint64_t rejected[TW_REJECTIONS];
    uint64_t broken[TW_INVARIANTS];
} tw_counters;

/* Counts a broken invariant and logs it as an error, with details in printf format. The caller
 * must refuse the action. */
void tw_invariant_broken(tw_core *core, tw_invariant which, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#endif
