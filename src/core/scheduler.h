/* What the whole core may ask of the scheduler: passes over the queue of pending jobs, deadlines
 * and run time estimates, and the limits of teams and zones. What only the scheduler's own modules
 * share stands in scheduler_int.h. Not for other packages.
 *
 * Invariants: a pass counts a task's amounts on its machine as soon as it places the task, so that
 * no two tasks are given the same room; a team's limit holds after every single placement.
 *
 * All times are seconds of the steady clock (core->context.now); names that end in _at are points
 * in time, names that end in _s are durations in seconds. */
#ifndef TW_CORE_SCHEDULER_H
#define TW_CORE_SCHEDULER_H
#include "core/job.h"
#include "core/machine.h"
#include <stdbool.h>

/* The protocol requires that, once faults have ended, even the largest jobs start within this. */
#define TW_MAX_START_DELAY_S 240.0

/* What decides, apart from zones and priorities, which machines can take a task: its amounts and
 * the machines that its job allows. Tasks of the same shape find the same machines. */
typedef struct tw_task_shape {
    double cores, gpus, memory_gb;
    uint32_t type_mask;     /* machine types that the job may use, as bits */
    bool spot, any_machine; /* the job may use spot machines; and cores that are kept for GPUs */
} tw_task_shape;

/* The shape of each of a job's tasks. */
static inline tw_task_shape tw_task_shape_of(const tw_job *job) {
    return (tw_task_shape){.cores = job->spec.cores,
                           .gpus = job->spec.gpus,
                           .memory_gb = job->spec.memory_gb,
                           .type_mask = job->type_mask,
                           .spot = job->spec.spot,
                           .any_machine = job->any_machine};
}

/* Whether both shapes are the same. */
static inline bool tw_task_shapes_are_equal(const tw_task_shape *one, const tw_task_shape *other) {
    return one->cores == other->cores && one->gpus == other->gpus &&
           one->memory_gb == other->memory_gb && one->type_mask == other->type_mask &&
           one->spot == other->spot && one->any_machine == other->any_machine;
}

/* A kind of task for which this pass has found no room: another one of this kind would find none
 * either. */
typedef struct tw_placement_failure {
    tw_task_shape shape;
    uint32_t zone_mask; /* zones that the task could have gone to, as bits */
    tw_wire_priority priority;
    bool service, gang;
} tw_placement_failure;

/* constraints.c */
/* Whether so many tasks leave the free GPUs of the room, which is on a machine of this type, the
 * cores and memory that tasks with GPUs need. Always true for tasks with GPUs. */
bool tw_constraints_capacity_leaves_gpus_usable(const tw_core *core,
                                                const tw_wire_machine_type *type,
                                                const tw_capacity *capacity,
                                                const tw_wire_job *spec, int tasks);

/* What no task uses on the machine, which is of this type. */
static inline tw_capacity tw_machine_free_capacity(const tw_machine *machine,
                                                   const tw_wire_machine_type *type) {
    return (tw_capacity){type->cores - machine->used_cores, type->gpus - machine->used_gpus,
                         type->memory_gb - machine->used_memory_gb};
}

/* The same with the room of tasks that were told to stop. It is promised to the tasks for which
 * they stop, whose amounts count as used already. */
static inline tw_capacity tw_machine_vacating_capacity(const tw_machine *machine,
                                                       const tw_wire_machine_type *type) {
    const tw_capacity capacity = tw_machine_free_capacity(machine, type);
    return (tw_capacity){capacity.cores + machine->vacating_cores,
                         capacity.gpus + machine->vacating_gpus,
                         capacity.memory_gb + machine->vacating_memory_gb};
}

/* The same with the room of all tasks of a lower priority, of which some may not be stopped. */
static inline tw_capacity tw_machine_preemptible_capacity(const tw_machine *machine,
                                                          const tw_wire_machine_type *type,
                                                          tw_wire_priority priority) {
    tw_capacity capacity = tw_machine_vacating_capacity(machine, type);
    for (tw_wire_priority lower = TW_PRIORITY_IDLE; lower < priority; lower++) {
        capacity.cores += machine->used_by_priority[lower].cores;
        capacity.gpus += machine->used_by_priority[lower].gpus;
        capacity.memory_gb += machine->used_by_priority[lower].memory_gb;
    }
    return capacity;
}

/* placement_pass.c */
/* Runs a pass over the queue: places pending tasks, at most a few hundred, and sets
 * core->scheduling_due if some are left for the next pass. */
void tw_scheduler_run_pass(tw_core *core);
/* Places a job of the highest priority at once instead of waiting for the next pass. Returns
 * whether all its tasks are placed now. A job of a lower priority, or one that isn't pending, is
 * left to the next pass, which is brought forward. */
bool tw_scheduler_place_now(tw_core *core, tw_job *job);

/* recheck.c */
/* Stops batch tasks that are expected to miss their deadline, where a full rerun on another machine
 * is expected to make it. */
void tw_scheduler_recheck_deadlines(tw_core *core);

/* run_estimate.c */
/* When the job is late: a batch job has its owner's deadline, a service its class's start
 * objective, a gang the earliest of those that apply to it. INFINITY: there is none. */
double tw_job_deadline(const tw_job *job);
/* When a gang misses its class's start objective. INFINITY: there is none, or it is no gang. */
double tw_job_start_deadline(const tw_job *job);
/* The run time of one of the job's tasks on a machine of slowness 1, in seconds; 0 for a service,
 * which runs until it is stopped. */
double tw_job_run_estimate_s(const tw_job *job);
/* The time to fetch a GB of an image on the machine, in seconds: its own moving average, or its
 * type's until it has one. */
double tw_machine_fetch_s_per_gb(const tw_core *core, const tw_machine *machine);

/* constraints.c */
/* Whether the job's zone, its spread over zones and its single zone allow one more task in the zone
 * of this name, beside the tasks that are placed. */
bool tw_constraints_allow_zone(const tw_job *job, const char *zone);
/* Whether the limit of the job's team allows so many more of the job's tasks to run. */
bool tw_quota_allows_tasks(const tw_core *core, const tw_job *job, int tasks);
/* Works out core->cores_per_gpu and core->memory_gb_per_gpu: the most that a task with GPUs takes
 * for each GPU, over the samples of all job classes. */
void tw_gpu_share_update(tw_core *core);

/* mixed_version_placement.c */
/* The machines that a job's next task may use, beside its own constraints, so that a leader of an
 * earlier version would adopt what it finds running. */
typedef enum {
    TW_MACHINES_ANY,
    TW_MACHINES_IN_FIRST_INCARNATION,
    TW_MACHINES_IN_USE_BY_JOB, /* the one that has all of its tasks */
    TW_MACHINES_NONE
} tw_machine_restriction;
/* Whether the machine has told, since it knows this leader's token, that it never began anew. */
bool tw_machine_is_in_first_incarnation(const tw_machine *machine);
tw_machine_restriction tw_mixed_version_restriction(const tw_core *core, const tw_job *job);
/* Whether the restriction lets a task of the job use the machine. */
bool tw_machine_restriction_allows(tw_machine_restriction restriction, const tw_job *job,
                                   const tw_machine *machine);

/* job_queue.c */
/* The pending jobs, in the order in which they should be served. */
typedef struct tw_job_queue tw_job_queue;
/* Queues the jobs that are pending now; they have to outlive the queue. with_overdue: jobs that
 * have waited too long for their first task are served between the others. The caller frees the
 * queue with tw_job_queue_free. */
tw_job_queue *tw_job_queue_new(tw_core *core, bool with_overdue);
/* Removes and returns the next job to serve. NULL: all have been served. */
tw_job *tw_job_queue_next(tw_core *core, tw_job_queue *queue);
/* Notes how many tasks of the job that was served last were placed, 0 included: it decides whether
 * an overdue job is served next. */
void tw_job_queue_note_placed(tw_core *core, const tw_job_queue *queue, const tw_job *job,
                              int count);
/* Puts the job that was served last back at the head of its team's jobs, so that it may get more
 * when it is its team's turn again. Overdue jobs are not put back. */
void tw_job_queue_requeue(tw_job_queue *queue);
/* Whether others compete with the job that was served last: another team that waits at the same
 * level, or an overdue job of the same priority. Always true for an overdue job. */
bool tw_job_queue_is_contended(const tw_job_queue *queue);
void tw_job_queue_free(tw_job_queue *queue);
/* Whether the job has tasks that may be placed now. */
bool tw_job_is_pending(const tw_core *core, const tw_job *job);
/* Whether tasks of the job are neither placed nor done, also while it pauses after an error, or is
 * a gang whose attempt is being stopped. */
bool tw_job_has_unplaced_tasks(const tw_job *job);

#endif
