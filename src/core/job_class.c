/* Classes of jobs: what was learned of each, for estimates (run_estimate.c) and for the room to
 * keep free (reserve.c). A class lives as long as the core, over all of this node's terms. */
#include "core/jobs.h"

/* Deviation of a run time's ratio to its estimate, until something was learned. */
#define PRIOR_DEVIATION 0.3
/* Time between a class's first job and the one before it, which is not known. */
#define FIRST_GAP_S 30
/* Time constant of the average rate of arrivals: the longer ago the job before, the more weight a
 * job has. */
#define RATE_TIME_S 60
/* Time between two jobs of a class is taken for no less, which bounds the rate. */
#define SHORTEST_GAP_S 0.05
/* Weight of a job's number of tasks in the mean. */
#define SIZE_WEIGHT 0.2
/* Jobs that were waiting for the service to come up arrive within so many leases. */
#define OPENING_LEASES 4

tw_job_class *tw_job_class_get(tw_core *core, const char *name) {
    tw_job_class *class;
    HASH_FIND_STR(core->job_classes, name, class);
    if (class) return class;
    class = tw_alloc(sizeof *class);
    snprintf(class->name, sizeof class->name, "%s", name);
    class->run_time_ratio = 1;
    class->run_time_deviation = PRIOR_DEVIATION;
    HASH_ADD_STR(core->job_classes, name, class);
    return class;
}

void tw_job_class_note_arrival(tw_core *core, tw_job_class *class, const tw_job *job) {
    /* Jobs that were waiting for the service to come up say nothing about the rate of arrivals. */
    const bool opening =
        core->term_began_without_jobs && core->context.now - core->first_admission_at <
                                             OPENING_LEASES * core->context.config->lease_s;
    double gap_s =
        class->last_arrival_at > 0 ? core->context.now - class->last_arrival_at : FIRST_GAP_S;
    const double weight = opening ? 0 : 1 - exp(-gap_s / RATE_TIME_S);
    const double tasks = job->task_count;
    if (gap_s < SHORTEST_GAP_S) gap_s = SHORTEST_GAP_S;
    class->task_rate += weight * (tasks / gap_s - class->task_rate);
    class->batch_tasks += SIZE_WEIGHT * (tasks - class->batch_tasks);
    if (job->spec.gang) class->largest_gang = fmax(class->largest_gang, tasks);
    class->last_arrival_at = core->context.now;
    class->sample = job->spec;
    class->sample.machine_types = NULL;
    class->sample_type_mask = job->type_mask;
    class->has_sample = true;
    tw_gpu_share_update(core);
}
