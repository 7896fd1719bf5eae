/* What starts, runs and boots teach: moving averages by machine, with priors pooled by machine type
 * (GoodServe, section 3.3; see docs/design.md for what is learned from which starts). */
#include "core/workers.h"
#include "core/scheduler_int.h"

/* Weights, as shares of the setting's. */
#define TYPE_WEIGHT 0.2 /* a machine's sample in its type's average */
#define SHARE_WEIGHT 0.4
#define RUN_WEIGHT 0.3
#define BOOT_WEIGHT 0.1
/* A fetch at twice the type's rate or faster was none: the image was there. */
#define CACHED_RATIO 0.5
/* Actual over estimated run time is taken for at least and at most this. */
#define RATIO_LEAST 0.1
#define RATIO_MOST 10

/* Moves the average towards a sample; one below 0 begins at the prior. */
static void move_average(double *average, double prior, double sample, double weight) {
    if (*average < 0) *average = prior;
    *average += weight * (sample - *average);
}

/* One that found the image on its way waited for a part of the fetch only, and of a short fetch a
 * report tells mostly how long the report took. Whether fetches beside each other share the rate is
 * learned, too: taking it for granted made machines that fetch look slow, and those that had
 * fetched so look fast. */
static void learn_fetch(tw_core *core, const tw_placement *placed, double fetch_s) {
    tw_machine *machine = placed->machine;
    tw_machine_type *type = &core->machine_types[machine->type_index];
    const double weight = core->context.config->tune.ema;
    double s_per_gb = fmax(0, fetch_s) / placed->job->spec.image_gb;
    /* Which a new leader can't know. */
    if (s_per_gb * type->listed.fetch_gb_s < CACHED_RATIO) return;
    if (placed->concurrent_fetches) {
        const double share = (s_per_gb / type->fetch_s_per_gb - 1) / placed->concurrent_fetches;
        move_average(&type->fetch_interference, type->fetch_interference, fmin(1, fmax(0, share)),
                     weight * SHARE_WEIGHT);
        s_per_gb /= 1 + type->fetch_interference * placed->concurrent_fetches;
    }
    move_average(&type->fetch_deviation, type->fetch_deviation,
                 fmin(1, fabs(s_per_gb / type->fetch_s_per_gb - 1)), weight * TYPE_WEIGHT);
    move_average(&machine->fetch_s_per_gb, type->fetch_s_per_gb, s_per_gb, weight);
    move_average(&type->fetch_s_per_gb, type->fetch_s_per_gb, s_per_gb, weight * TYPE_WEIGHT);
}

void tw_statistics_note_start(tw_core *core, tw_placement *placed) {
    tw_machine *machine = placed->machine;
    if (machine->type_index < 0 || placed->inherited || !placed->launch_sent) return;
    tw_machine_type *type = &core->machine_types[machine->type_index];
    /* A launch that was put off is no delay of the machine. */
    const double delay = core->context.now - fmax(placed->placed_at, placed->launch_after);
    const double weight = core->context.config->tune.ema;
    const double start_s =
        machine->queue_delay_s < 0 ? type->queue_delay_s : machine->queue_delay_s;
    const double long_gb = type->listed.fetch_gb_s * 2 * core->context.config->report_s;
    if (placed->image_state == TW_IMAGE_CACHED) {
        move_average(&machine->queue_delay_s, type->queue_delay_s, delay, weight);
        move_average(&type->queue_delay_s, type->queue_delay_s, delay, weight * TYPE_WEIGHT);
    } else if (placed->image_state == TW_IMAGE_ABSENT && placed->job->spec.image_gb > long_gb) {
        learn_fetch(core, placed, delay - start_s);
    }
}

/* Actual over estimated run time of the class, with the machine's slowness taken out. */
static void learn_estimate(tw_job_class *class, double ratio, double weight) {
    const double own = fmin(RATIO_MOST, fmax(RATIO_LEAST, ratio));
    class->run_time_deviation +=
        weight * RUN_WEIGHT * (fabs(own - class->run_time_ratio) - class->run_time_deviation);
    class->run_time_ratio += weight * RUN_WEIGHT * (own - class->run_time_ratio);
}

/* Of the slowest machine that has a task of the gang; `done` has left its job's list. */
static double gang_slowness(const tw_core *core, const tw_placement *done) {
    double slowest = tw_machine_slowness(core, done->machine);
    const tw_placement *task;
    DL_FOREACH2(done->job->placements, task, job_next) {
        if (task->machine->type_index >= 0)
            slowest = fmax(slowest, tw_machine_slowness(core, task->machine));
    }
    return slowest;
}

void tw_statistics_note_run(tw_core *core, const tw_placement *placed) {
    tw_machine *machine = placed->machine;
    const tw_job *job = placed->job;
    tw_job_class *class = job->job_class;
    if (machine->type_index < 0 || placed->running_since <= 0 || job->spec.expected_run_s <= 0 ||
        job->has_checkpoint || !class)
        return;
    const double prior = core->machine_types[machine->type_index].slowness;
    const double weight = core->context.config->tune.ema;
    const double ratio = (core->context.now - placed->running_since) / job->spec.expected_run_s;
    if (job->spec.gang) { /* it ran at the speed of its slowest machine, whichever that was */
        learn_estimate(class, ratio / gang_slowness(core, placed), weight);
        return;
    }
    const double slow = tw_machine_slowness(core, machine);
    /* Estimates are often wrong by half: one run tells little of the machine. */
    move_average(&machine->slowness, prior,
                 fmin(RATIO_MOST, fmax(RATIO_LEAST, ratio / class->run_time_ratio)), weight * 0.5);
    learn_estimate(class, ratio / slow, weight);
}

/* It came up, or is overdue: so many of its type do not come in time. */
void tw_statistics_note_boot(tw_core *core, const tw_machine *machine) {
    double *share = &core->machine_types[machine->type_index].overdue_share;
    move_average(share, *share, machine->overdue, BOOT_WEIGHT * core->context.config->tune.ema);
}
