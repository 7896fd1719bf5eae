/* Placements: a task that runs, or may run, on a machine (placement.c). Invariants: a placement
 * stands in its machine's list until the machine surely doesn't run the task, and its amounts are
 * in use until then; it stands in its job's list until its attempt has ended (attempt_end.h); no
 * two of a job have the same attempt and index. Not for other packages. */
#ifndef TW_CORE_PLACEMENT_H
#define TW_CORE_PLACEMENT_H
#include "core/core.h"

typedef struct job job;
typedef struct machine machine;

typedef struct placement {
    struct job *job;
    struct machine *machine;
    int index;
    uint64_t attempt;
    uint64_t version;            /* job version that holds it: launchable once that is durable */
    int inherited;               /* written by a predecessor */
    int launch_sent;             /* a launch went out, and may have reached the machine */
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
    double launch_after;                   /* a gang's task: not launched before, see gang.c */
    uint64_t mark;                         /* scratch: seen in the report in hand */
    int counted;                           /* still in the job's list (not exited, not lost) */
    struct placement *job_prev, *job_next; /* job's list */
    struct placement *prev, *next;         /* machine's list */
} placement;

/* States of a job's task. */
enum { T_FREE, T_LIVE, T_DONE };

/* placement.c */
/* Places a task, whose amounts count from now on; the caller marks the job changed. NULL: an
 * attempt of the task has not ended (attempt_end.h), which is a fault of the caller. */
placement *tw_place(tw_core *core, job *job, int index, machine *machine, uint64_t attempt);
/* The task is to be stopped, a gang with all its tasks; preempted: its room is promised to others.
 */
void tw_placement_kill(tw_core *core, placement *placed, double grace_s, int preempted);

#endif
