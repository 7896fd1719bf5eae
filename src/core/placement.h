/* Placements (placement.c). A placement stands for a task that runs, or may run, on a machine.
 *
 * Invariants:
 *   - a placement stays in its machine's list until the machine certainly doesn't run the task;
 *   - it is counted until its attempt is terminated (attempt_termination.h): it stays in its job's
 *     list, and its resources are in use;
 *   - no two placements of a job have the same attempt and index.
 * The machine's list owns a placement; only attempt_termination.c frees one. Times are steady
 * seconds. Private to this package. */
#ifndef TW_CORE_PLACEMENT_H
#define TW_CORE_PLACEMENT_H
#include "core/core.h"
#include "wire/wire.h"
#include <stdbool.h>

typedef struct tw_job tw_job;
typedef struct tw_machine tw_machine;

/* State of a task's image on the machine when the task was placed. */
typedef enum {
    TW_IMAGE_FETCHING = -1, /* the machine was fetching the image for another task */
    TW_IMAGE_ABSENT,
    TW_IMAGE_CACHED
} tw_image_state;

typedef struct tw_placement {
    struct tw_job *job;
    struct tw_machine *machine;
    int index; /* index of the task in its job */
    uint64_t attempt;
    /* First version of the job's record that contains the placement or, once the task has exited,
     * that exit. The task is launched, or the exited task forgotten, once it is durable. */
    uint64_t version;
    bool inherited; /* made by an earlier leader, or found on the machine */
    bool counted;   /* the attempt is not terminated, and the placement is in the job's list */
    double placed_at;

    /* Launch of the task. */
    double launch_after;         /* earliest launch of a gang's task, see gang.c */
    bool launch_sent;            /* a launch was sent and may have reached the machine */
    uint64_t launch_sequence;    /* last heartbeat that was answered with a launch; 0: none */
    uint64_t launch_incarnation; /* incarnation of the worker at the last launch */
    int direct_launches;         /* direct launches whose outcome is unknown */
    double direct_launch_at;     /* when the last direct launch was sent; 0: never */
    int lost_launches;           /* number of launches that were lost */

    /* State of the image when the task was placed, for the fetch statistics. */
    int concurrent_fetches; /* number of other images that the machine was fetching */
    tw_image_state image_state;

    /* State of the task according to the machine's heartbeats. */
    bool reported; /* at least one heartbeat has reported the task */
    tw_wire_task_state state;
    tw_wire_exit_cause cause; /* exit cause; valid in state TW_TASK_EXITED */
    double running_since;     /* when the task was first reported as running; 0: never */
    uint64_t mark; /* scratch: core->heartbeat_mark of the last heartbeat with the task */

    /* Stop of the task. */
    bool stopping; /* the task is to be stopped */
    double stopped_at;
    double grace_s; /* grace period for saving a checkpoint */
    bool preempted; /* stopped in favour of another task, to which its resources are promised */

    struct tw_placement *job_prev, *job_next; /* the job's list */
    struct tw_placement *prev, *next;         /* the machine's list */
} tw_placement;

/* Creates a placement of the task, whose resources count as used from now on. The caller marks the
 * job as changed. Returns NULL if the task is done or has an attempt that is not terminated, which
 * is an error of the caller. */
tw_placement *tw_placement_new(tw_core *core, tw_job *job, int index, tw_machine *machine,
                               uint64_t attempt);
/* Stops a task, and if it belongs to a gang, the whole gang. A task that was not launched is
 * terminated immediately, which frees the placement. grace_s is the time to save a checkpoint.
 * preempted: the task's resources are promised to another task. */
void tw_placement_stop(tw_core *core, tw_placement *placed, double grace_s, bool preempted);

#endif
