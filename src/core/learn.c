/* What starts, runs and boots teach: moving averages by machine, with priors pooled by machine type
 * (GoodServe, section 3.3; see docs/design.md for what is learned from which starts). */
#include "core/fleet.h"
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
static void learn_fetch(tw_core *core, const placement *placed, double fetch_s) {
    machine *machine = placed->m;
    flavor *type = &core->flavors[machine->rack];
    const double weight = core->cf->tune.ema;
    double s_per_gb = fmax(0, fetch_s) / placed->job->s.image_gb;
    /* Which a new leader can't know. */
    if (s_per_gb * type->f.fetch_gb_s < CACHED_RATIO) return;
    if (placed->sharing) {
        const double share = (s_per_gb / type->p - 1) / placed->sharing;
        move_average(&type->share, type->share, fmin(1, fmax(0, share)), weight * SHARE_WEIGHT);
        s_per_gb /= 1 + type->share * placed->sharing;
    }
    move_average(&type->p_dev, type->p_dev, fmin(1, fabs(s_per_gb / type->p - 1)),
                 weight * TYPE_WEIGHT);
    move_average(&machine->p, type->p, s_per_gb, weight);
    move_average(&type->p, type->p, s_per_gb, weight * TYPE_WEIGHT);
}

void tw_learn_start(tw_core *core, placement *placed) {
    machine *machine = placed->m;
    if (machine->rack < 0 || placed->inherited || !placed->sent) return;
    flavor *type = &core->flavors[machine->rack];
    /* A launch that was put off is no delay of the machine. */
    const double delay = core->now - fmax(placed->made_at, placed->launch_after);
    const double weight = core->cf->tune.ema;
    const double start_s = machine->q < 0 ? type->q : machine->q;
    const double long_gb = type->f.fetch_gb_s * 2 * core->cf->report_s;
    if (placed->warmth > 0) {
        move_average(&machine->q, type->q, delay, weight);
        move_average(&type->q, type->q, delay, weight * TYPE_WEIGHT);
    } else if (!placed->warmth && placed->job->s.image_gb > long_gb) {
        learn_fetch(core, placed, delay - start_s);
    }
}

/* Actual over estimated run time of the class, with the machine's slowness taken out. */
static void learn_estimate(lane *class, double ratio, double weight) {
    const double own = fmin(RATIO_MOST, fmax(RATIO_LEAST, ratio));
    class->dev += weight * RUN_WEIGHT * (fabs(own - class->ratio) - class->dev);
    class->ratio += weight * RUN_WEIGHT * (own - class->ratio);
}

/* Of the slowest machine that has a task of the gang; `done` has left its job's list. */
static double gang_slowness(const tw_core *core, const placement *done) {
    double slowest = tw_slowness(core, done->m);
    const placement *task;
    DL_FOREACH2(done->job->live, task, jnext)
    if (task->m->rack >= 0) slowest = fmax(slowest, tw_slowness(core, task->m));
    return slowest;
}

void tw_learn_run(tw_core *core, const placement *placed) {
    machine *machine = placed->m;
    const job *job = placed->job;
    lane *class = job->lane;
    if (machine->rack < 0 || placed->run_at <= 0 || job->s.expected_run_s <= 0 || job->resumed ||
        !class)
        return;
    const double prior = core->flavors[machine->rack].slowness;
    const double weight = core->cf->tune.ema;
    const double ratio = (core->now - placed->run_at) / job->s.expected_run_s;
    if (job->s.gang) { /* it ran at the speed of its slowest machine, whichever that was */
        learn_estimate(class, ratio / gang_slowness(core, placed), weight);
        return;
    }
    const double slow = tw_slowness(core, machine);
    /* Estimates are often wrong by half: one run tells little of the machine. */
    move_average(&machine->slowness, prior,
                 fmin(RATIO_MOST, fmax(RATIO_LEAST, ratio / class->ratio)), weight * 0.5);
    learn_estimate(class, ratio / slow, weight);
}

/* It came up, or is overdue: so many of its type do not come in time. */
void tw_learn_boot(tw_core *core, const machine *machine) {
    double *share = &core->flavors[machine->rack].overdue;
    move_average(share, *share, machine->overdue, BOOT_WEIGHT * core->cf->tune.ema);
}
