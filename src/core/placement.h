/* Placements: a task that runs, or may run, on a machine (placement.c).
 *
 * Invariants:
 *   - a placement stays in its machine's list until the machine surely doesn't run the task;
 *   - it stays in its job's list, and its amounts are in use, until its attempt is terminated
 *     (attempt_termination.h): until then it counts;
 *   - no two placements of a job have the same attempt and index.
 * The machine's list owns a placement; only attempt_termination.c frees one. Times are steady
 * seconds. Not for other packages. */
#ifndef TW_CORE_PLACEMENT_H
#define TW_CORE_PLACEMENT_H
#include "core/core.h"
#include "wire/wire.h"
#include <stdbool.h>

typedef struct tw_job tw_job;
typedef struct tw_machine tw_machine;

/* Where a task's image was when the task was placed. */
typedef enum {
    TW_IMAGE_FETCHING = -1, /* on its way to the machine, for another task */
    TW_IMAGE_ABSENT,
    TW_IMAGE_CACHED
} tw_image_state;

typedef struct tw_placement {
    struct tw_job *job;
    struct tw_machine *machine;
    int index; /* of the task in its job */
    uint64_t attempt;
    uint64_t version; /* of the job's record that holds it: it is launched once that is durable */
    bool inherited;   /* made by an earlier leader, or found on the machine */
    bool counted;     /* its attempt is not terminated: it is in the job's list */
    double placed_at;

    /* Its launch. */
    double launch_after;         /* a gang's task is not launched before that, see gang.c */
    bool launch_sent;            /* a launch was sent, and may have reached the machine */
    uint64_t launch_sequence;    /* heartbeat that was answered with the last launch; 0: none */
    uint64_t launch_incarnation; /* the worker's incarnation when it was last launched */
    int direct_launches;         /* launches by direct commands whose fate is unknown */
    double direct_launch_at;     /* when one was last sent; 0: never */
    int lost_launches;           /* launches that were lost */

    /* What the statistics of fetches need, as of when it was placed. */
    int concurrent_fetches; /* other images that the machine fetched */
    tw_image_state image_state;

    /* What the machine's heartbeats say of it. */
    bool reported; /* some heartbeat has named it */
    tw_wire_task_state state;
    tw_wire_exit_cause cause; /* when it has exited */
    double running_since;     /* 0: it was not seen running */
    uint64_t mark;            /* scratch: named by the heartbeat in hand */

    /* Its stop. */
    bool stopping; /* it is to be stopped */
    double stopped_at;
    double grace_s; /* time that it gets to save a checkpoint */
    bool preempted; /* stopped for another task, which its room is promised to */

    struct tw_placement *job_prev, *job_next; /* the job's list */
    struct tw_placement *prev, *next;         /* the machine's list */
} tw_placement;

/* Places a task, whose amounts count from now on. The caller marks the job as changed. NULL: the
 * task has an attempt that is not terminated, or is done, which is a fault of the caller. */
tw_placement *tw_placement_new(tw_core *core, tw_job *job, int index, tw_machine *machine,
                               uint64_t attempt);
/* Has a task stopped, and with a gang's task all of the gang. A task that was not launched is
 * terminated at once, which frees the placement. grace_s: time to save a checkpoint. preempted: the
 * room is promised to another task. */
void tw_placement_stop(tw_core *core, tw_placement *placed, double grace_s, bool preempted);

#endif
