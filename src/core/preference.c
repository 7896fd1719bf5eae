/* The order of preference among the machines on which a task meets its deadline. A batch task
 * prefers the slowest machine (GoodServe, section 3.4), which leaves fast machines to tasks
 * that need them; among equally slow machines a spot machine, then one that has the image,
 * then the fullest one. A service has no run time. Its preference depends on the image, the
 * fetch time and the zone's free share, then on fullness. The points of all criteria are
 * added, weighted in this order; only differences between points matter. */
#include "core/scheduler_int.h"

#define SLOWNESS_STEP 1.4             /* machines within this factor count as equally slow */
#define MIN_SLOWNESS 0.05             /* lower bound of the slowness used */
#define POINTS_PER_SLOWNESS_STEP 1000 /* batch task: per step of slowness */
/* Batch task: subtracted for each step by which a fetch lengthens the run. */
#define POINTS_PER_FETCH_STEP 1500
#define POINTS_SPOT 100
/* Image cached; for a batch task also image being fetched. */
#define POINTS_IMAGE 20
#define POINTS_IMAGE_FETCHING 10 /* service: image being fetched */
#define POINTS_FREE_ZONE 30      /* service: if the whole zone were free */
/* Service: subtracted for a fetch as long as its start objective. */
#define POINTS_LONG_FETCH 30
#define POINTS_FULLNESS 10

/* Returns the logarithm of the machine's slowness to the base SLOWNESS_STEP, rounded. The
 * logarithm is expensive, so it is cached in the machine and recomputed only when the slowness
 * has changed. */
static double machine_slowness_step(const tw_core *core, tw_machine *machine) {
    const double slowness = fmax(tw_machine_slowness(core, machine), MIN_SLOWNESS);
    if (machine->slowness_step_input != slowness) {
        machine->slowness_step_input = slowness;
        machine->slowness_step = floor(log(slowness) / log(SLOWNESS_STEP) + 0.5);
    }
    return machine->slowness_step;
}

/* Returns the share of the machine that is in use once the task is placed there: of its GPUs
 * if the task uses any, otherwise of its cores. A machine with GPUs counts as full for a task
 * without GPUs. */
static double machine_fullness(const tw_core *core, const tw_job *job, const tw_machine *machine) {
    const tw_wire_machine_type *type = &core->machine_types[machine->type_index].listed;
    if (job->spec.gpus > 0) return (machine->used_gpus + job->spec.gpus) / type->gpus;
    return type->gpus > 0 ? 1 : (machine->used_cores + job->spec.cores) / type->cores;
}

/* Returns the points of a machine for a service's task. */
static double service_preference(const tw_core *core, const tw_job *job, const tw_machine *machine,
                                 const tw_prediction *prediction) {
    double points = 0;
    if (prediction->image)
        points += prediction->image->ready_at <= 0 ? POINTS_IMAGE : POINTS_IMAGE_FETCHING;
    points += POINTS_FREE_ZONE * tw_candidates_zone_free_share(core, machine, job->spec.gpus > 0);
    /* Even if it starts in time, a replica is unavailable while its image is fetched, so a free
     * zone does not outweigh a long fetch. */
    if (job->job_class && job->job_class->start_within_s > 0)
        points -= POINTS_LONG_FETCH * fmin(1, prediction->fetch_s / job->job_class->start_within_s);
    return points + POINTS_FULLNESS * machine_fullness(core, job, machine);
}

/* Returns the points of a machine for a batch task. */
static double batch_preference(const tw_core *core, const tw_demand *demand, tw_machine *machine,
                               const tw_prediction *prediction) {
    /* A machine that is slow but fast enough leaves the fast ones to other tasks. A long fetch
     * benefits no task, so the time that it adds to the run counts against the machine, in the
     * same steps. */
    double points = POINTS_PER_SLOWNESS_STEP * machine_slowness_step(core, machine);
    points -= POINTS_PER_FETCH_STEP * log(1 + prediction->fetch_s / fmax(demand->estimate_s, 1)) /
              log(SLOWNESS_STEP);
    if (machine->spot) points += POINTS_SPOT;
    if (prediction->image) points += POINTS_IMAGE;
    return points + POINTS_FULLNESS * machine_fullness(core, demand->job, machine);
}

double tw_preference_points(const tw_core *core, const tw_demand *demand, tw_machine *machine,
                            const tw_prediction *prediction) {
    if (demand->job->spec.service)
        return service_preference(core, demand->job, machine, prediction);
    return batch_preference(core, demand, machine, prediction);
}
