/* Estimates of run times and of T = q + p * missing GB + slowness * estimate, after GoodServe
 * (docs/design.md): the time from the placement of a task on a machine to its end. q is the
 * machine's queue delay, p its image fetch time per GB, and slowness the ratio of its run
 * times to the estimates. All three are moving averages; while a machine has none of its own,
 * those of its type are used. */
#include "core/scheduler_int.h"

/* A service's margin before its deadline, as a multiple of the average deviation of the
 * image fetch time. */
#define MARGIN_DEVIATIONS 2

/* Returns the time after which the job misses the start objective of its class. The objective
 * starts anew when the job has lost its tasks. INFINITY: the class has no start objective. */
static double start_objective_at(const tw_job *job) {
    if (!job->job_class || job->job_class->start_within_s <= 0) return INFINITY;
    return fmax(job->submitted_at, job->pending_since) + job->job_class->start_within_s;
}

/* Returns the earlier of two deadlines: the owner's deadline or, if there is none, the class's
 * finish objective; and the start objective plus the estimated run time. INFINITY: none
 * applies. */
static double gang_deadline(const tw_job *job) {
    double deadline_at = start_objective_at(job) + tw_job_run_estimate_s(job);
    if (job->spec.deadline_s >= 0)
        deadline_at = fmin(deadline_at, job->submitted_at + job->spec.deadline_s);
    else if (job->job_class && job->job_class->finish_within_s > 0)
        deadline_at = fmin(deadline_at, job->submitted_at + job->job_class->finish_within_s);
    return deadline_at;
}

double tw_job_deadline(const tw_job *job) {
    if (job->spec.gang) return gang_deadline(job);
    if (!job->spec.service && job->spec.deadline_s >= 0)
        return job->submitted_at + job->spec.deadline_s;
    /* Services and batch jobs without an owner's deadline use the start objective. */
    return start_objective_at(job);
}

double tw_job_start_deadline(const tw_job *job) {
    return job->spec.gang ? start_objective_at(job) : INFINITY;
}

double tw_job_run_estimate_s(const tw_job *job) {
    if (job->spec.service) return 0;
    return job->spec.expected_run_s * (job->job_class ? job->job_class->run_time_ratio : 1);
}

double tw_machine_slowness(const tw_core *core, const tw_machine *machine) {
    return machine->slowness < 0 ? core->machine_types[machine->type_index].slowness
                                 : machine->slowness;
}

double tw_machine_fetch_s_per_gb(const tw_core *core, const tw_machine *machine) {
    return machine->fetch_s_per_gb < 0 ? core->machine_types[machine->type_index].fetch_s_per_gb
                                       : machine->fetch_s_per_gb;
}

/* Returns the part of the job's image, in GB, that the machine has yet to fetch. image: the
 * job's image on the machine; NULL: absent. */
static double missing_gb(const tw_core *core, const tw_job *job, const tw_machine *machine,
                         const tw_image *image) {
    if (!image) return job->spec.image_gb;
    if (image->ready_at <= 0) return 0;
    return fmax(0, image->ready_at - core->context.now) *
           core->machine_types[machine->type_index].listed.fetch_gb_s;
}

tw_prediction tw_predict_duration(const tw_core *core, const tw_demand *demand,
                                  const tw_machine *machine) {
    const tw_job *job = demand->job;
    const tw_machine_type *type = &core->machine_types[machine->type_index];
    const double queue_delay_s =
        machine->queue_delay_s < 0 ? type->queue_delay_s : machine->queue_delay_s;
    const double fetch_s_per_gb = tw_machine_fetch_s_per_gb(core, machine);
    tw_prediction result = {.image = tw_image_find(machine, job)};
    const double image_missing_gb = missing_gb(core, job, machine, result.image);
    result.fetch_s = fetch_s_per_gb * image_missing_gb;
    result.run_s = tw_machine_slowness(core, machine) * demand->estimate_s;
    result.total_s = queue_delay_s +
                     result.fetch_s * tw_image_fetch_slowdown(core, machine, result.image) +
                     result.run_s;
    if (job->spec.service)
        result.margin_s =
            MARGIN_DEVIATIONS * type->fetch_deviation * fetch_s_per_gb * image_missing_gb;
    return result;
}

/* Only services have a margin: a service has no run time in which to compensate for a slow
 * fetch, and half of the fetches that are expected to end just before the start objective end
 * after it. */
double tw_predict_end(const tw_core *core, const tw_demand *demand,
                      const tw_prediction *prediction) {
    const double end = core->context.now + prediction->total_s + prediction->margin_s;
    if (!demand->job->spec.gang || !isfinite(demand->start_deadline_at)) return end;
    /* A gang is considered as late at its end as it is for its start objective. */
    const double start = core->context.now + prediction->total_s - prediction->run_s;
    return fmax(end, start + demand->deadline_at - demand->start_deadline_at);
}
