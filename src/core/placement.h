/* Placements: a task that runs, or may run, on a machine (placement.c). Invariants: a placement
 * stands in its machine's list until the machine surely doesn't run the task, and its amounts are
 * in use until then; it stands in its job's list until its attempt has ended
 * (attempt_termination.h); no two of a job have the same attempt and index. Not for other packages.
 */
#ifndef TW_CORE_PLACEMENT_H
#define TW_CORE_PLACEMENT_H
#include "core/core.h"
#include <stdbool.h>

typedef struct tw_job tw_job;
typedef struct tw_machine tw_machine;

typedef struct tw_placement {
    struct tw_job *job;
    struct tw_machine *machine;
    int index;
    uint64_t attempt;
    uint64_t version;            /* job version that holds it: launchable once that is durable */
    int inherited;               /* written by a predecessor */
    bool launch_sent;            /* a launch went out, and may have reached the machine */
    int direct_launches;         /* launches sent to /orders whose fate is unknown */
    double direct_launch_at;     /* when a launch was last sent to /orders; 0: never */
    uint64_t launch_sequence;    /* report to whose response the last launch was attached */
    uint64_t launch_incarnation; /* session it was sent in */
    int lost_launches;           /* launches that did not take */
    int concurrent_fetches;      /* other images the machine fetched when it was placed */
    int image_state;             /* then: its image was cached (1), absent (0) or on its way (-1) */
    int reported, state;         /* from reports: TW_TASK_* once seen */
    int cause;
    int stopping;  /* to be stopped */
    int preempted; /* counts as running until it is gone, but its room is promised */
    double grace_s;
    double placed_at, running_since, stopped_at; /* run_at 0: not yet */
    double launch_after;                      /* a gang's task: not launched before, see gang.c */
    uint64_t mark;                            /* scratch: seen in the report in hand */
    bool counted;                             /* still in the job's list (not exited, not lost) */
    struct tw_placement *job_prev, *job_next; /* job's list */
    struct tw_placement *prev, *next;         /* machine's list */
} tw_placement;

/* placement.c */
/* Places a task, whose amounts count from now on; the caller marks the job changed. NULL: an
 * attempt of the task has not ended (attempt_termination.h), which is a fault of the caller. */
tw_placement *tw_placement_new(tw_core *core, tw_job *job, int index, tw_machine *machine,
                               uint64_t attempt);
/* The task is to be stopped, a gang with all its tasks; preempted: its room is promised to others.
 */
void tw_placement_stop(tw_core *core, tw_placement *placed, double grace_s, bool preempted);

#endif
