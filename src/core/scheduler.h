/* What the whole core may ask of placement: passes over the queue, what a job is expected to take,
 * what its team and zone allow; what the modules of placement share among themselves stands in
 * scheduler_int.h. Invariants: a pass counts a task's amounts on its machine as it places the task,
 * so that no two are given the same room; a team's limit holds at every step of a pass. Not for
 * other packages. */
#ifndef TW_CORE_SCHEDULER_H
#define TW_CORE_SCHEDULER_H
#include "core/job.h"
#include "core/machine.h"
#include <stdbool.h>

/* By the protocol, once troubles are over: the largest jobs begin within this, too. */
#define TW_MAX_START_DELAY_S 240.0

/* What makes room of use to a task. One of this shape found none. */
typedef struct tw_placement_failure {
    double cores, gpus, memory_gb;
    uint32_t type_mask, zone_mask;
    tw_wire_priority priority;
    bool spot, service, any_machine, gang;
} tw_placement_failure;

/* placement_pass.c */
/* A pass over the queue. */
void tw_scheduler_run(tw_core *core);
/* Places a job of the highest priority at once; returns whether all its tasks are placed. */
bool tw_scheduler_place_now(tw_core *core, tw_job *job);

/* recheck.c */
/* Stops tasks that will miss their deadline where a full rerun elsewhere makes it. */
void tw_scheduler_recheck(tw_core *core);

/* run_estimate.c */
double tw_job_deadline(const tw_core *core, const tw_job *job); /* steady time; INFINITY: none */
double
tw_job_start_deadline(const tw_job *job); /* of a gang: its start objective; INFINITY: none */
double tw_job_run_estimate_s(const tw_job *job); /* run time on a machine of slowness 1 */

/* constraints.c */
/* Whether the job's zone, spread and single zone allow one more task there. */
bool tw_constraints_allow_zone(const tw_core *core, const tw_job *job, const char *zone);
/* Whether the team's limit allows so many more tasks of the job. */
bool tw_quota_allows_tasks(const tw_core *core, const tw_job *job, int tasks);
/* Notes the cores and memory that a GPU's user takes along with it, at the most. */
void tw_gpu_share_update(tw_core *core);

/* job_queue.c: pending jobs, in the order in which they should be served */
typedef struct tw_job_queue tw_job_queue;
/* The jobs that are pending now, which have to outlive it. With overdue ones, the jobs that have
 * waited too long for their first task are served between the others. Free it with
 * tw_job_queue_free.
 */
tw_job_queue *tw_job_queue_new(tw_core *core, bool with_overdue);
/* The next job; NULL: all have been served. */
tw_job *tw_job_queue_next(tw_core *core, tw_job_queue *queue);
/* That so many tasks of the job that was served last were placed. */
void tw_job_queue_note_placed(tw_core *core, const tw_job_queue *queue, const tw_job *job,
                              int count);
/* Puts the last job back at its team's head: it may get more when its team's turn comes again. */
void tw_job_queue_requeue(tw_job_queue *queue);
/* Whether another team waits at the same level as the job served last, or an overdue job of its
 * priority, or the last one was overdue itself. */
bool tw_job_queue_is_contended(const tw_job_queue *queue);
void tw_job_queue_free(tw_job_queue *queue);
/* Whether a job has tasks that may be placed now. */
bool tw_job_is_pending(const tw_core *core, const tw_job *job);

#endif
