/* Gangs: jobs whose tasks all run at the same time or not at all; and the state that a job keeps of
 * its gang's current attempt. gang.c describes the states of an attempt and their transitions.
 * Times are in seconds of the steady clock. Not for other packages.
 *
 * Invariants:
 *   - all tasks that may run belong to the gang's attempt, or the gang is being stopped;
 *   - a task that terminates before the gang has started is replaced under the same attempt, but
 *     never on a machine that had a task of that attempt;
 *   - after the start, the loss of a task stops all others. */
#ifndef TW_CORE_GANG_H
#define TW_CORE_GANG_H
#include "core/core.h"
#include <stdbool.h>

typedef struct tw_job tw_job;
typedef struct tw_machine tw_machine;
typedef struct tw_placement tw_placement;

/* State of a gang's attempt; see gang.c. */
typedef enum {
    TW_GANG_IDLE,      /* no task of the gang may run */
    TW_GANG_GATHERING, /* all tasks were placed; not known to have started */
    TW_GANG_RUNNING,   /* known to have started */
    TW_GANG_STOPPING   /* all tasks are being stopped */
} tw_gang_state;

/* Maximum number of tasks that are replaced on other machines in one attempt. */
#define TW_GANG_MAX_REPLACEMENTS 4

typedef struct tw_gang {
    tw_gang_state state;
    uint64_t attempt;
    double grace_s;       /* while stopping: grace period of its tasks */
    bool saved;           /* while stopping: a task has reported that its progress is saved */
    double waiting_since; /* time at which a task was first reported to wait for the others; 0: no
                             task was */
    double missing_since; /* time since which a task waits for its replacement; 0: no task does */
    /* Machines on which a task of this attempt terminated; not owned. */
    struct tw_machine *vacated_machines[TW_GANG_MAX_REPLACEMENTS];
    int vacated_machine_count;
    /* Whether commands reached all its machines at that time, in that version of their state. */
    bool can_reach_machines;
    double reach_checked_at;
    uint64_t reach_version;
} tw_gang;

/* Updates the gang after all its tasks were placed under one attempt, or all missing tasks were
 * replaced. */
void tw_gang_note_placed(tw_core *core, tw_job *job);
/* Initializes the gang's state from placements that were read from the job's record. */
void tw_gang_restore(tw_job *job);
/* Updates the gang with a new task state from a worker heartbeat. */
void tw_gang_note_task_report(tw_core *core, tw_placement *placed);
/* Updates the gang after an attempt of one of its tasks terminated on its machine without the task
 * being done. */
void tw_gang_note_task_terminated(tw_core *core, tw_placement *placed);
/* Marks all tasks of the gang as done when one of them is done, since the tasks of a gang complete
 * together: none needs a further attempt. Attempts that may still run count as placed until they
 * terminate. */
void tw_gang_complete(tw_core *core, tw_job *job);
/* Stops the whole gang. grace_s: grace period in which its tasks save their progress; 0: they are
 * stopped without one. */
void tw_gang_stop(tw_core *core, tw_job *job, double grace_s);
/* Returns whether a stop with a grace period would reach every task in time and save the gang's
 * progress. */
bool tw_gang_can_save(const tw_core *core, tw_job *job);
/* Returns whether the gang waits for its placement, or for the replacement of a task. */
bool tw_gang_is_pending(const tw_job *job);
/* Returns whether a task of the current attempt terminated on that machine. No task of the attempt
 * is placed there again. */
bool tw_gang_has_vacated(const tw_job *job, const tw_machine *machine);
/* Does the periodic work on the job's attempt: sends launches that are due, and stops an attempt
 * that can't start. */
void tw_gang_tick(tw_core *core, tw_job *job);
/* Returns the name of the gang's state for log lines; a constant. */
const char *tw_gang_state_name(const tw_job *job);

#endif
