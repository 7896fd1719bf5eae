/* Counters of decisions and of broken invariants, and the one place that reports a broken one
 * (counters.c). Invariant: a counter only grows, over all terms of the process. Not for other
 * packages. */
#ifndef TW_CORE_COUNTERS_H
#define TW_CORE_COUNTERS_H
#include "core/attempt_termination.h"
#include <stdint.h>

/* Why something that came in, or was due, was not acted on. */
typedef enum {
    TW_REJECTED_OLDER_HEARTBEAT,   /* older than the newest of its worker */
    TW_REJECTED_EXPIRED_HEARTBEAT, /* of an incarnation whose lease has surely expired */
    TW_REJECTED_RETURNED_MACHINE,  /* of a machine that was returned */
    TW_REJECTED_NO_PERMISSION,     /* forwarded to a node that may not answer it */
    TW_REJECTED_COMMANDS, /* launches and forgets might be due, without permission to command */
    TW_REJECTIONS
} tw_rejection;

/* What must hold whatever arrives; a broken invariant is a fault of this program. */
typedef enum {
    TW_INVARIANT_PLACED_TWICE, /* no task is placed while it has an attempt or is done */
    TW_INVARIANT_LAUNCH,       /* only a task's one attempt, made in this term, is launched */
    TW_INVARIANT_PERMISSION,   /* no command is sent without the permission for it */
    TW_INVARIANT_TERMINATION,  /* no attempt is terminated on evidence that doesn't hold */
    TW_INVARIANTS
} tw_invariant;

typedef struct tw_counters {
    uint64_t terminated[TW_EVIDENCE_KINDS]; /* attempts, by evidence */
    uint64_t kept[TW_EVIDENCE_KINDS];       /* attempts for which the evidence did not hold */
    uint64_t rejected[TW_REJECTIONS];
    uint64_t broken[TW_INVARIANTS];
} tw_counters;

/* Counts a broken invariant and logs it as an error, with details by a printf format. The caller
 * refuses the action. */
void tw_invariant_broken(tw_core *core, tw_invariant which, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#endif
