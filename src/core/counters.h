/* Counters of decisions and of broken invariants, and the one place that tells of a broken one
 * (counters.c). Invariant: they only grow, over all terms of the process. Not for other packages.
 */
#ifndef TW_CORE_COUNTERS_H
#define TW_CORE_COUNTERS_H
#include "core/attempt_termination.h"
#include <stdint.h>

/* Why something that came in was not acted on. */
typedef enum {
    TW_REJECTED_OLDER_HEARTBEAT,   /* a report that is older than what is known */
    TW_REJECTED_EXPIRED_HEARTBEAT, /* one of a session whose lease has surely ended */
    TW_REJECTED_RETURNED_MACHINE,  /* one of a machine that was returned */
    TW_REJECTED_NO_PERMISSION,     /* a report at a node that may not answer it */
    TW_REJECTED_COMMANDS,          /* commands were due, but the right to command had lapsed */
    TW_REJECTIONS
} tw_rejection;

/* What must hold whatever arrives; a broken one is a fault of this program. */
typedef enum {
    TW_INVARIANT_PLACED_TWICE, /* a task is placed while an attempt of it has not ended */
    TW_INVARIANT_LAUNCH, /* a launch of an attempt that is not the task's only one, or not ours */
    TW_INVARIANT_PERMISSION,  /* an order without the right to give it */
    TW_INVARIANT_TERMINATION, /* an attempt is to be ended on a ground that does not hold */
    TW_INVARIANTS
} tw_invariant;

typedef struct tw_counters {
    uint64_t terminated[TW_EVIDENCE_KINDS]; /* attempts, by ground */
    uint64_t kept[TW_EVIDENCE_KINDS];       /* attempts that the ground did not end */
    uint64_t rejected[TW_REJECTIONS];
    uint64_t broken[TW_INVARIANTS];
} tw_counters;

/* Counts a broken invariant and logs it as an error. The caller refuses the action. */
void tw_invariant_broken(tw_core *core, tw_invariant which, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#endif
