/* The scheduler's interface for the rest of the core: passes over the queue of pending jobs,
 * deadlines, run time estimates, and team and zone limits. scheduler_int.h declares what only
 * the scheduler's modules share. Not for other packages.
 *
 * Invariants:
 *   - A pass counts a task's resources on its machine as soon as it places the task, so no two
 *     tasks get the same capacity.
 *   - A team's limit holds after every single placement.
 *
 * All times are seconds of the steady clock (core->context.now). Names ending in _at are
 * points in time; names ending in _s are durations in seconds. */
#ifndef TW_CORE_SCHEDULER_H
#define TW_CORE_SCHEDULER_H
#include "core/job.h"
#include "core/machine.h"
#include <stdbool.h>

/* The longest time that even the largest job may wait to start after faults have ended,
 * required by the protocol. */
#define TW_MAX_START_DELAY_S 240.0

/* The requirements that, besides zones and priorities, determine which machines can run a
 * task: its resource amounts and the machines that its job allows. Tasks of the same shape can
 * run on the same machines. */
typedef struct tw_task_shape {
    double cores, gpus, memory_gb;
    uint32_t type_mask; /* machine types that the job may use, as a bit mask */
    /* spot: the job may use spot machines. may_use_gpu_machines: it may also use the cores and
     * memory that are kept for a machine's free GPUs. */
    bool spot, may_use_gpu_machines;
} tw_task_shape;

/* Returns the shape of the job's tasks. */
static inline tw_task_shape tw_task_shape_of(const tw_job *job) {
    return (tw_task_shape){.cores = job->spec.cores,
                           .gpus = job->spec.gpus,
                           .memory_gb = job->spec.memory_gb,
                           .type_mask = job->type_mask,
                           .spot = job->spec.spot,
                           .may_use_gpu_machines = job->may_use_gpu_machines};
}

/* Returns whether the two shapes are equal. */
static inline bool tw_task_shapes_are_equal(const tw_task_shape *one, const tw_task_shape *other) {
    return one->cores == other->cores && one->gpus == other->gpus &&
           one->memory_gb == other->memory_gb && one->type_mask == other->type_mask &&
           one->spot == other->spot && one->may_use_gpu_machines == other->may_use_gpu_machines;
}

/* A kind of task that this pass could not place because no machine has capacity for it.
 * Another task of the same kind could not be placed either. */
typedef struct tw_placement_failure {
    tw_task_shape shape;
    uint32_t zone_mask; /* zones in which the task may run, as a bit mask */
    tw_wire_priority priority;
    bool service, gang;
} tw_placement_failure;

/* ---- constraints.c ---- */
/* Returns whether placing this number of tasks in the given free capacity of a machine of this
 * type leaves the machine's free GPUs the cores and memory that GPU tasks need. Always true
 * for tasks that use GPUs. */
bool tw_constraints_capacity_leaves_gpus_usable(const tw_core *core,
                                                const tw_wire_machine_type *type,
                                                const tw_capacity *capacity,
                                                const tw_wire_job *spec, int tasks);

/* Returns the capacity of the machine that no task uses. type: the machine's type. */
static inline tw_capacity tw_machine_free_capacity(const tw_machine *machine,
                                                   const tw_wire_machine_type *type) {
    return (tw_capacity){type->cores - machine->used_cores, type->gpus - machine->used_gpus,
                         type->memory_gb - machine->used_memory_gb};
}

/* Returns the machine's free capacity plus the capacity held by tasks that are being
 * preempted. That capacity is promised to the preempting tasks, whose amounts already count as
 * used. */
static inline tw_capacity tw_machine_capacity_after_vacating(const tw_machine *machine,
                                                             const tw_wire_machine_type *type) {
    const tw_capacity capacity = tw_machine_free_capacity(machine, type);
    return (tw_capacity){capacity.cores + machine->vacating_cores,
                         capacity.gpus + machine->vacating_gpus,
                         capacity.memory_gb + machine->vacating_memory_gb};
}

/* Returns the machine's free capacity if all tasks of lower priority were preempted. Some of
 * these tasks may not be preemptible. */
static inline tw_capacity tw_machine_capacity_after_preemption(const tw_machine *machine,
                                                               const tw_wire_machine_type *type,
                                                               tw_wire_priority priority) {
    tw_capacity capacity = tw_machine_capacity_after_vacating(machine, type);
    for (tw_wire_priority lower = TW_PRIORITY_IDLE; lower < priority; lower++) {
        capacity.cores += machine->used_by_priority[lower].cores;
        capacity.gpus += machine->used_by_priority[lower].gpus;
        capacity.memory_gb += machine->used_by_priority[lower].memory_gb;
    }
    return capacity;
}

/* ---- placement_pass.c ---- */
/* Runs a pass over the queue: places pending tasks, at most a few hundred, and sets
 * core->scheduling_due if some remain for the next pass. */
void tw_scheduler_run_pass(tw_core *core);
/* Places a job of the highest priority immediately instead of in the next pass. Returns
 * whether all its tasks are placed. Leaves a job that has a lower priority or isn't pending to
 * the next pass, which it schedules without further delay. */
bool tw_scheduler_place_now(tw_core *core, tw_job *job);

/* ---- recheck.c ---- */
/* Stops batch tasks that are expected to miss their deadline if a full rerun on another
 * machine is expected to meet it. */
void tw_scheduler_recheck_deadlines(tw_core *core);

/* ---- run_estimate.c ---- */
/* Returns the job's deadline: for a batch job the owner's deadline or, if there is none, the
 * start objective of its class; for a service the start objective; for a gang the earliest
 * deadline that applies. INFINITY: the job has none. */
double tw_job_deadline(const tw_job *job);
/* Returns the time after which a gang misses the start objective of its class. INFINITY: the
 * class has none, or the job is not a gang. */
double tw_job_start_deadline(const tw_job *job);
/* Returns the estimated run time, in seconds, of one of the job's tasks on a machine of
 * slowness 1. 0 for a service, which runs until it is stopped. */
double tw_job_run_estimate_s(const tw_job *job);
/* Returns the machine's image fetch time in seconds per GB: its own moving average, or the
 * average of its type while the machine has none. */
double tw_machine_fetch_s_per_gb(const tw_core *core, const tw_machine *machine);

/* ---- constraints.c ---- */
/* Returns whether the job's zone, spread and single-zone constraints allow one more task in
 * the named zone, given the tasks that are already placed. */
bool tw_constraints_allow_zone(tw_core *core, const tw_job *job, const char *zone);
/* Returns whether the limit of the job's team allows this number of additional tasks of the
 * job to run. */
bool tw_quota_allows_tasks(const tw_core *core, const tw_job *job, int tasks);
/* Updates core->cores_per_gpu and core->memory_gb_per_gpu, the largest amounts per GPU that
 * any job class's sample requests. */
void tw_gpu_share_update(tw_core *core);

/* ---- mixed_version_placement.c ---- */
/* Restricts the machines for a job's next task, in addition to the job's own constraints, so
 * that a leader of an earlier version would adopt the tasks that it finds running. */
typedef enum {
    TW_MACHINES_ANY,
    TW_MACHINES_IN_FIRST_INCARNATION,
    /* only the machine that runs all of the job's tasks */
    TW_MACHINES_IN_USE_BY_JOB,
    TW_MACHINES_NONE
} tw_machine_restriction;
/* Returns whether the machine has confirmed this term's fencing token and is still in its
 * first incarnation. */
bool tw_machine_is_in_first_incarnation(const tw_machine *machine);
tw_machine_restriction tw_mixed_version_restriction(const tw_core *core, const tw_job *job);
/* Returns whether the restriction allows a task of the job on the machine. */
bool tw_machine_restriction_allows(tw_machine_restriction restriction, const tw_job *job,
                                   const tw_machine *machine);

/* ---- job_queue.c ---- */
/* The pending jobs in the order in which they are served. */
typedef struct tw_job_queue tw_job_queue;
/* Creates a queue of the jobs that are pending now, which must outlive the queue.
 * with_overdue: jobs that have waited too long for their first task are served in alternation with
 * the others. The caller frees the queue with tw_job_queue_free. */
tw_job_queue *tw_job_queue_new(tw_core *core, bool with_overdue);
/* Removes and returns the next job to serve. NULL: the queue is empty. */
tw_job *tw_job_queue_next(tw_core *core, tw_job_queue *queue);
/* Records how many tasks of the job served last were placed, which may be 0. The count decides
 * whether an overdue job is served next. */
void tw_job_queue_note_placed(tw_core *core, const tw_job_queue *queue, const tw_job *job,
                              int count);
/* Reinserts the job served last at the head of its team's jobs, so that more of its tasks may be
 * placed at its team's next turn. Overdue jobs are not requeued. */
void tw_job_queue_requeue(tw_job_queue *queue);
/* Returns whether other jobs compete with the job served last: jobs of another team at the
 * same level, or an overdue job of the same priority. Always true for an overdue job. */
bool tw_job_queue_is_contended(const tw_job_queue *queue);
void tw_job_queue_free(tw_job_queue *queue);
/* Returns whether the job has tasks that may be placed now. */
bool tw_job_is_pending(const tw_core *core, const tw_job *job);
/* Returns whether some tasks of the job are neither placed nor done. Also true while the job
 * pauses after an error, and while a gang's attempt is being stopped. */
bool tw_job_has_unplaced_tasks(const tw_job *job);

#endif
