/* Job classes: statistics of the jobs of each class, used for run time estimates (run_estimate.c)
 * and for the capacity to keep free (reserve.c). A class lives as long as the core, across all of
 * this node's terms. */
#include "core/jobs.h"

/* Initial value of the average deviation of the run time ratio. */
#define INITIAL_DEVIATION 0.3
/* Assumed time between a class's first job and the one before it, which is not known. */
#define INITIAL_INTERARRIVAL_S 30
/* Time constant of the average arrival rate. A job's weight grows with the time since the job
 * before it. */
#define RATE_TIME_CONSTANT_S 60
/* Minimum time assumed between two jobs of a class; it bounds the rate. */
#define MIN_INTERARRIVAL_S 0.05
/* Weight of a new job in the average number of tasks per job. */
#define SIZE_WEIGHT 0.2
/* Time after the start of the service, in leases, during which jobs that were waiting for the start
 * arrive. */
#define STARTUP_BURST_LEASES 4

tw_job_class *tw_job_class_get(tw_core *core, const char *name) {
    tw_job_class *class;
    HASH_FIND_STR(core->job_classes, name, class);
    if (class) return class;
    class = tw_alloc(sizeof *class);
    snprintf(class->name, sizeof class->name, "%s", name);
    class->run_time_ratio = 1;
    class->run_time_deviation = INITIAL_DEVIATION;
    HASH_ADD_STR(core->job_classes, name, class);
    return class;
}

void tw_job_class_note_arrival(tw_core *core, tw_job_class *class, const tw_job *job) {
    /* The arrivals of jobs that were waiting for the start of the service don't reflect the arrival
     * rate. */
    const bool in_startup_burst =
        core->term_began_without_jobs && core->context.now - core->first_admission_at <
                                             STARTUP_BURST_LEASES * core->context.config->lease_s;
    double interarrival_s = class->last_arrival_at > 0 ? core->context.now - class->last_arrival_at
                                                       : INITIAL_INTERARRIVAL_S;
    const double weight = in_startup_burst ? 0 : 1 - exp(-interarrival_s / RATE_TIME_CONSTANT_S);
    const double tasks = job->task_count;
    if (interarrival_s < MIN_INTERARRIVAL_S) interarrival_s = MIN_INTERARRIVAL_S;
    class->task_rate += weight * (tasks / interarrival_s - class->task_rate);
    class->batch_tasks += SIZE_WEIGHT * (tasks - class->batch_tasks);
    if (job->spec.gang) class->largest_gang = fmax(class->largest_gang, tasks);
    class->last_arrival_at = core->context.now;
    class->sample = job->spec;
    class->sample.machine_types = NULL;
    class->sample_type_mask = job->type_mask;
    class->has_sample = true;
    tw_gpu_share_update(core);
}
