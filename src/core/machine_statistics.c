/* Moving averages over the starts and runs of tasks and the boots of machines. The averages of a
 * machine begin at those of its machine type (GoodServe, section 3.3). docs/design.md describes
 * which starts are used as samples. Called by the reconciliation of tasks and the upkeep of
 * machines. */
#include "core/workers.h"
#include "core/scheduler_int.h"

/* Weights of a sample, as shares of the weight in the settings (tune.ema): in the averages of a
 * type, in the average interference of fetches, in the averages of a job class's run time, and in
 * the average share of overdue boots. */
#define TYPE_WEIGHT 0.2
#define INTERFERENCE_WEIGHT 0.4
#define RUN_TIME_WEIGHT 0.3
#define BOOT_WEIGHT 0.1
/* Share of the fetch time at the type's rate below which a start is no sample of a fetch: the
 * machine had the image already. */
#define MIN_FETCH_TIME_SHARE 0.5
/* Bounds of a sample of the ratio of actual to estimated run time. */
#define MIN_RUN_TIME_RATIO 0.1
#define MAX_RUN_TIME_RATIO 10

/* Updates the average with a sample. An average below 0 has no sample yet and begins at the prior.
 */
static void update_average(double *average, double prior, double sample, double weight) {
    if (*average < 0) *average = prior;
    *average += weight * (sample - *average);
}

/* Updates the fetch averages with a fetch of a task's image that took fetch_s seconds. The
 * interference of concurrent fetches is estimated, too: with the assumption that they share the
 * rate equally, machines that were fetching were rated too slow, and machines that had fetched
 * concurrently were rated too fast. */
static void update_fetch_averages(tw_core *core, const tw_placement *placed, double fetch_s) {
    tw_machine *machine = placed->machine;
    tw_machine_type *type = &core->machine_types[machine->type_index];
    const double weight = core->context.config->tune.ema;
    double s_per_gb = fmax(0, fetch_s) / placed->job->spec.image_gb;
    /* The machine had the image already, which a new leader may not know. */
    if (s_per_gb * type->listed.fetch_gb_s < MIN_FETCH_TIME_SHARE) return;
    if (placed->concurrent_fetches) {
        const double interference =
            (s_per_gb / type->fetch_s_per_gb - 1) / placed->concurrent_fetches;
        update_average(&type->fetch_interference, type->fetch_interference,
                       fmin(1, fmax(0, interference)), weight * INTERFERENCE_WEIGHT);
        s_per_gb /= 1 + type->fetch_interference * placed->concurrent_fetches;
    }
    update_average(&type->fetch_deviation, type->fetch_deviation,
                   fmin(1, fabs(s_per_gb / type->fetch_s_per_gb - 1)), weight * TYPE_WEIGHT);
    update_average(&machine->fetch_s_per_gb, type->fetch_s_per_gb, s_per_gb, weight);
    update_average(&type->fetch_s_per_gb, type->fetch_s_per_gb, s_per_gb, weight * TYPE_WEIGHT);
}

void tw_statistics_note_start(tw_core *core, tw_placement *placed) {
    tw_machine *machine = placed->machine;
    if (machine->type_index < 0 || placed->inherited || !placed->launch_sent) return;
    tw_machine_type *type = &core->machine_types[machine->type_index];
    /* The deliberate delay of a gang's launch is not a delay of the machine. */
    const double delay_s = core->context.now - fmax(placed->placed_at, placed->launch_after);
    const double weight = core->context.config->tune.ema;
    const double queue_delay_s =
        machine->queue_delay_s < 0 ? type->queue_delay_s : machine->queue_delay_s;
    const double min_fetch_gb = type->listed.fetch_gb_s * 2 * core->context.config->report_s;
    if (placed->image_state == TW_IMAGE_CACHED) {
        update_average(&machine->queue_delay_s, type->queue_delay_s, delay_s, weight);
        update_average(&type->queue_delay_s, type->queue_delay_s, delay_s, weight * TYPE_WEIGHT);
    } else if (placed->image_state == TW_IMAGE_ABSENT &&
               placed->job->spec.image_gb > min_fetch_gb) {
        update_fetch_averages(core, placed, delay_s - queue_delay_s);
    }
}

/* Updates the class's averages with a sample of the ratio of actual to estimated run time,
 * corrected for the machine's slowness. */
static void update_run_time_averages(tw_job_class *class, double ratio, double weight) {
    const double bounded_ratio = fmin(MAX_RUN_TIME_RATIO, fmax(MIN_RUN_TIME_RATIO, ratio));
    class->run_time_deviation +=
        weight * RUN_TIME_WEIGHT *
        (fabs(bounded_ratio - class->run_time_ratio) - class->run_time_deviation);
    class->run_time_ratio += weight * RUN_TIME_WEIGHT * (bounded_ratio - class->run_time_ratio);
}

/* Returns the slowness of the slowest machine that has a task of the gang. finished is a task of
 * the gang that may no longer be in the job's list. */
static double gang_slowness(const tw_core *core, const tw_placement *finished) {
    double slowest = tw_machine_slowness(core, finished->machine);
    const tw_placement *task;
    DL_FOREACH2(finished->job->placements, task, job_next) {
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
    if (job->spec.gang) { /* a gang runs at the speed of its slowest machine */
        update_run_time_averages(class, ratio / gang_slowness(core, placed), weight);
        return;
    }
    const double slowness = tw_machine_slowness(core, machine);
    /* Users' estimates are often wrong by half, so a single run has little significance for the
     * machine. */
    update_average(
        &machine->slowness, prior,
        fmin(MAX_RUN_TIME_RATIO, fmax(MIN_RUN_TIME_RATIO, ratio / class->run_time_ratio)),
        weight * 0.5);
    update_run_time_averages(class, ratio / slowness, weight);
}

void tw_statistics_note_boot(tw_core *core, const tw_machine *machine) {
    double *overdue_share = &core->machine_types[machine->type_index].overdue_share;
    update_average(overdue_share, *overdue_share, machine->overdue,
                   BOOT_WEIGHT * core->context.config->tune.ema);
}
