/* Which of the machines that meet the deadline a task prefers. For a batch task that is the slowest
 * one (GoodServe, section 3.4), so that fast machines are left to tasks that need them; among
 * equally slow ones a spot machine, then one that has the image, then the fullest. For a service,
 * which has no run time, image, fetch time and the zone's free share decide, then fullness. The
 * points add up in this order of weight; only their differences matter. */
#include "core/scheduler_int.h"

#define SLOWNESS_STEP 1.4             /* machines within a factor of this count as equally slow */
#define MIN_SLOWNESS 0.05             /* smaller values count as this one */
#define POINTS_PER_SLOWNESS_STEP 1000 /* batch task: for each step of slowness */
#define POINTS_PER_FETCH_STEP                                                                      \
    1500 /* batch task: lost for each step that a fetch adds to the run                            \
          */
#define POINTS_SPOT 100
#define POINTS_IMAGE 20        /* image cached; for a batch task also on its way */
#define POINTS_IMAGE_COMING 10 /* service: image on its way */
#define POINTS_FREE_ZONE 30    /* service: if all of the zone were free */
#define POINTS_LONG_FETCH 30   /* service: lost for a fetch as long as its start objective */
#define POINTS_FULLNESS 10

/* The machine's slowness in steps, rounded: the logarithm to the base SLOWNESS_STEP. It is costly,
 * so it is kept with the machine and worked out again only after the slowness has changed. */
static double machine_slowness_step(const tw_core *core, tw_machine *machine) {
    const double slowness = fmax(tw_machine_slowness(core, machine), MIN_SLOWNESS);
    if (machine->slowness_step_input != slowness) {
        machine->slowness_step_input = slowness;
        machine->slowness_step = floor(log(slowness) / log(SLOWNESS_STEP) + 0.5);
    }
    return machine->slowness_step;
}

/* The share of the machine in use with the task there, of GPUs if it needs any, else of cores. A
 * machine with GPUs counts as full for a task without. */
static double machine_fullness(const tw_core *core, const tw_job *job, const tw_machine *machine) {
    const tw_wire_machine_type *type = &core->machine_types[machine->type_index].listed;
    if (job->spec.gpus > 0) return (machine->used_gpus + job->spec.gpus) / type->gpus;
    return type->gpus > 0 ? 1 : (machine->used_cores + job->spec.cores) / type->cores;
}

/* The points of a machine for a service's task. */
static double service_preference(const tw_core *core, const tw_job *job, const tw_machine *machine,
                                 const tw_prediction *prediction) {
    double points = 0;
    if (prediction->image)
        points += prediction->image->ready_at <= 0 ? POINTS_IMAGE : POINTS_IMAGE_COMING;
    points += POINTS_FREE_ZONE * tw_candidates_zone_free(core, machine, job->spec.gpus > 0);
    /* Even if it starts in time, a replica is down while its image is fetched: a free zone is not
     * worth a long fetch. */
    if (job->job_class && job->job_class->start_within_s > 0)
        points -= POINTS_LONG_FETCH * fmin(1, prediction->fetch_s / job->job_class->start_within_s);
    return points + POINTS_FULLNESS * machine_fullness(core, job, machine);
}

/* The points of a machine for a batch task. */
static double batch_preference(const tw_core *core, const tw_demand *demand, tw_machine *machine,
                               const tw_prediction *prediction) {
    /* A slow machine that is fast enough leaves the fast ones to others. A long fetch helps nobody,
     * so what it adds to the run counts against the machine, in the same steps. */
    double points = POINTS_PER_SLOWNESS_STEP * machine_slowness_step(core, machine);
    points -= POINTS_PER_FETCH_STEP * log(1 + prediction->fetch_s / fmax(demand->estimate_s, 1)) /
              log(SLOWNESS_STEP);
    if (machine->spot) points += POINTS_SPOT;
    if (prediction->image) points += POINTS_IMAGE;
    return points + POINTS_FULLNESS * machine_fullness(core, demand->job, machine);
}

double tw_preference(const tw_core *core, const tw_demand *demand, tw_machine *machine,
                     const tw_prediction *prediction) {
    if (demand->job->spec.service)
        return service_preference(core, demand->job, machine, prediction);
    return batch_preference(core, demand, machine, prediction);
}
