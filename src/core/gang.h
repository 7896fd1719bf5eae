/* Gangs: jobs whose tasks run together or not at all, and what a job notes of its current attempt.
 * gang.c has the states of an attempt and what leads from one to the next. Times are in seconds of
 * the steady clock. Not for other packages.
 *
 * Invariants:
 *   - all tasks that may run are of the gang's attempt, or the gang is being stopped;
 *   - a task that is gone before the gang has started is replaced under the same attempt, never on
 * a machine where a task of that attempt was;
 *   - after the start, the loss of a task stops all others. */
#ifndef TW_CORE_GANG_H
#define TW_CORE_GANG_H
#include "core/core.h"
#include <stdbool.h>

typedef struct tw_job tw_job;
typedef struct tw_machine tw_machine;
typedef struct tw_placement tw_placement;

/* How far an attempt of a gang has come; see gang.c. */
typedef enum {
    TW_GANG_IDLE,      /* no task of it may run */
    TW_GANG_GATHERING, /* placed as a whole; not known to have started */
    TW_GANG_RUNNING,   /* known to have started */
    TW_GANG_STOPPING   /* every task is told to stop */
} tw_gang_state;

/* How many tasks of one attempt are replaced on other machines before the attempt is given up. */
#define TW_GANG_MAX_REPLACED 4

typedef struct tw_gang {
    tw_gang_state state;
    uint64_t attempt;
    double grace_s;       /* grace period of its tasks while it is stopped */
    bool saved;           /* while it is stopped: a task has told that its progress is saved */
    double waiting_since; /* when a task was first seen to wait for the others; 0: none was */
    double missing_since; /* since when a task is to be replaced; 0: none is */
    /* Machines that a task of this attempt was on and is gone from; not owned. */
    struct tw_machine *vacated[TW_GANG_MAX_REPLACED];
    int vacated_count;
} tw_gang;

/* All tasks that are to run were placed under one attempt, or the missing ones were replaced. */
void tw_gang_placed(tw_core *core, tw_job *job);
/* The placements of an earlier leader were taken from the job's record. */
void tw_gang_restored(tw_job *job);
/* A worker heartbeat tells a task's state that was not known. */
void tw_gang_task_reported(tw_core *core, tw_placement *placed);
/* A task of the job is gone from its machine without being done. */
void tw_gang_task_gone(tw_core *core, tw_placement *placed);
/* A task is done. The tasks of a gang complete together, so all of them are: none needs a further
 * attempt. Attempts that may still run go on counting until they are terminated. */
void tw_gang_done(tw_core *core, tw_job *job);
/* Stops the whole gang. grace_s: grace period of its tasks, in which they save their progress; 0:
 * they are stopped at once. */
void tw_gang_stop(tw_core *core, tw_job *job, double grace_s);
/* Whether a stop with a grace period would reach every task in time, and keep its progress. */
bool tw_gang_can_save(const tw_core *core, const tw_job *job);
/* Whether the gang waits to be placed, or for the replacement of a task. */
bool tw_gang_is_pending(const tw_job *job);
/* Whether a task of this attempt was on the machine and is gone: none is placed there again. */
bool tw_gang_was_on(const tw_job *job, const tw_machine *machine);
/* Timed work on a job's attempt: sends launches that are due, and gives up an attempt that can't
 * start. */
void tw_gang_tick(tw_core *core, tw_job *job);
/* The state's name for log lines; a constant. */
const char *tw_gang_state_name(const tw_job *job);

#endif
