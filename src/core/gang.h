/* Gangs: jobs whose tasks run together or not at all (gang.c), and what a job notes of its current
 * attempt. Invariants: all tasks that may run are of the gang's attempt, or it is being stopped; a
 * task that is gone before the gang has started is replaced under that attempt, never on a machine
 * where one was; after the start, the loss of a task stops them all. Not for other packages. */
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
    TW_GANG_GATHERING, /* placed whole; not known to have started */
    TW_GANG_RUNNING,   /* has started */
    TW_GANG_STOPPING   /* every task is told to stop */
} tw_gang_state;

/* Machines that one attempt may lose before it starts, and be completed elsewhere. */
#define TW_GANG_MAX_REPLACED 4

typedef struct tw_gang {
    tw_gang_state state;
    uint64_t attempt;
    double grace_s;       /* that the tasks get when it is stopped */
    bool saved;           /* while it stops: a task has told that its progress is saved */
    double waiting_since; /* when a task was first seen to wait for the others; 0: none yet */
    double missing_since; /* since when a task is to be replaced; 0: none is */
    struct tw_machine
        *vacated[TW_GANG_MAX_REPLACED]; /* where tasks of this attempt were, and are gone */
    int vacated_count;
} tw_gang;

/* gang.c: jobs whose tasks run together or not at all */
/* All tasks that are to run were placed under one attempt, or the missing ones were replaced. */
void tw_gang_placed(tw_core *core, tw_job *job);
/* A predecessor's placements were taken from the job's record. */
void tw_gang_restored(tw_job *job);
/* A report tells a task's state that was not known. */
void tw_gang_task_reported(tw_core *core, tw_placement *placed);
/* A task is no longer on its machine, and not done. */
void tw_gang_task_gone(tw_core *core, tw_placement *placed);
/* One task is done: they complete together, so all are. */
void tw_gang_done(tw_core *core, tw_job *job);
/* The whole gang is to be stopped; its tasks save if they can all be told in time. */
void tw_gang_stop(tw_core *core, tw_job *job, double grace_s);
/* Whether an orderly stop would reach every task in time, and keep its progress. */
bool tw_gang_can_save(const tw_core *core, const tw_job *job);
/* Whether it waits to be placed, or for the replacement of a task. */
bool tw_gang_is_pending(const tw_job *job);
/* Whether a task of this attempt was on the machine and is gone: it is not started there again. */
bool tw_gang_was_on(const tw_job *job, const tw_machine *machine);
/* Timed work on a job's attempt: launches that are due, giving up one that can't start. */
void tw_gang_tick(tw_core *core, tw_job *job);
/* The state's name in log lines. */
const char *tw_gang_state_name(const tw_job *job);

#endif
