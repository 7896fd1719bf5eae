/* Counters of decisions and of broken invariants, and the one place that tells of a broken one
 * (counters.c). Invariant: they only grow, over all terms of the process. Not for other packages.
 */
#ifndef TW_CORE_COUNTERS_H
#define TW_CORE_COUNTERS_H
#include "core/attempt_end.h"
#include <stdint.h>

/* Why something that came in was not acted on. */
typedef enum {
    REFUSED_OLDER_REPORT,  /* a report that is older than what is known */
    REFUSED_LAPSED_REPORT, /* one of a session whose lease has surely ended */
    REFUSED_RETURNED,      /* one of a machine that was returned */
    REFUSED_NO_RIGHT,      /* a report at a node that may not answer it */
    REFUSED_COMMANDS,      /* commands were due, but the right to command had lapsed */
    REFUSALS
} refusal_check;

/* What must hold whatever arrives; a broken one is a fault of this program. */
typedef enum {
    INVARIANT_PLACED_TWICE, /* a task is placed while an attempt of it has not ended */
    INVARIANT_LAUNCH, /* a launch of an attempt that is not the task's only one, or not ours */
    INVARIANT_RIGHT,  /* an order without the right to give it */
    INVARIANT_END,    /* an attempt is to be ended on a ground that does not hold */
    INVARIANTS
} invariant;

typedef struct tw_counters {
    uint64_t terminated[END_GROUNDS]; /* attempts, by ground */
    uint64_t kept[END_GROUNDS];       /* attempts that the ground did not end */
    uint64_t rejected[REFUSALS];
    uint64_t broken[INVARIANTS];
} tw_counters;

/* Counts a broken invariant and logs it as an error. The caller refuses the action. */
void tw_invariant_broken(tw_core *core, invariant which, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#endif
