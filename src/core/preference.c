/* Which of the machines that meet the deadline a task prefers: the slowest (GoodServe,
 * section 3.4). Among machines alike, spot ones come before others, then the image counts, then the
 * fullest. */
#include "core/scheduler_int.h"

#define SLOWNESS_STEP 1.4 /* machines within a step count as equally slow */
#define MIN_SLOWNESS 0.05 /* what is below counts as that */
#define POINTS_PER_SLOWNESS_STEP                                                                   \
    1000                           /* points: for each step of slowness of a batch task's machine */
#define POINTS_PER_FETCH_STEP 1500 /* for each step that a fetch adds to its run */
#define POINTS_SPOT 100
#define POINTS_IMAGE 20        /* cached; for a batch task also on its way */
#define POINTS_IMAGE_COMING 10 /* for a service */
#define POINTS_FREE_ZONE 30    /* a service, for all of the zone free */
#define POINTS_LONG_FETCH 30   /* a service, for a fetch as long as its start objective */
#define POINTS_FULLNESS 10

/* In steps, rounded. */
static double machine_slowness_step(const tw_core *core, tw_machine *machine) {
    const double slowness = fmax(tw_machine_slowness(core, machine), MIN_SLOWNESS);
    if (machine->slowness_step_of !=
        slowness) { /* a logarithm is dear: only after it has changed */
        machine->slowness_step_of = slowness;
        machine->slowness_step = floor(log(slowness) / log(SLOWNESS_STEP) + 0.5);
    }
    return machine->slowness_step;
}

/* How full the machine would be, of what is scarce for the task. */
static double machine_fullness(const tw_core *core, const tw_job *job, const tw_machine *machine) {
    const tw_wire_machine_type *type = &core->machine_types[machine->type_index].listed;
    if (job->spec.gpus > 0) return (machine->used_gpus + job->spec.gpus) / type->gpus;
    return type->gpus > 0 ? 1 : (machine->used_cores + job->spec.cores) / type->cores;
}

static double service_preference(const tw_core *core, const tw_job *job, const tw_machine *machine,
                                 const tw_prediction *prediction) {
    double points = 0;
    if (prediction->image)
        points += prediction->image->ready_at <= 0 ? POINTS_IMAGE : POINTS_IMAGE_COMING;
    points += POINTS_FREE_ZONE * tw_candidates_zone_free(core, machine, job->spec.gpus > 0);
    /* In time or not, a replica is down while its image comes: no zone is worth a long fetch. */
    if (job->job_class && job->job_class->start_within_s > 0)
        points -= POINTS_LONG_FETCH * fmin(1, prediction->fetch_s / job->job_class->start_within_s);
    return points + POINTS_FULLNESS * machine_fullness(core, job, machine);
}

static double batch_preference(const tw_core *core, const tw_demand *demand, tw_machine *machine,
                               const tw_prediction *prediction) {
    /* The slowest that is just enough. A slow machine leaves the fast ones to others; a fetch
     * leaves nobody anything: what it adds to the run counts against the machine, in the same
     * steps. */
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
