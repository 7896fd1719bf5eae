/* Capacity that running batch tasks are expected to release. The autoscaler's plan compares
 * waiting for it with renting a machine. Capacity counts for a job only if the job may use the
 * machine and the capacity of that one machine is sufficient for a task: capacity of different
 * machines is never added up. */
#include "core/core_int.h"
#include <stdbool.h>

/* Remaining run time assumed for a task past its estimate, as a share of its estimated
 * run time. */
#define MIN_REMAINING_SHARE 0.1
/* Assumed delay until a placed task that is not running yet starts. */
#define START_DELAY_S 1

/* Comparison function for qsort: orders by time. */
static int compare_by_time(const void *left, const void *right) {
    const tw_expected_release *a = left, *b = right;
    return a->available_at < b->available_at ? -1 : a->available_at > b->available_at;
}

/* Returns the time at which a batch task is expected to end. */
static double expected_task_end(const tw_core *core, const tw_placement *placed) {
    const double slowness = placed->machine->slowness > 0 ? placed->machine->slowness : 1;
    const double run_s = tw_job_run_estimate_s(placed->job) * slowness;
    const double runs_from =
        placed->running_since > 0 ? placed->running_since : core->context.now + START_DELAY_S;
    return fmax(runs_from + run_s, core->context.now + MIN_REMAINING_SHARE * run_s);
}

/* Returns the capacity expected to be free on a task's machine when the task ends: the task's
 * own amounts and what is free already. */
static tw_expected_release release_of_task(const tw_core *core, const tw_placement *placed) {
    const tw_machine *machine = placed->machine;
    const tw_wire_job *spec = &placed->job->spec;
    const tw_wire_machine_type *type = &core->machine_types[machine->type_index].listed;
    return (tw_expected_release){
        .available_at = expected_task_end(core, placed),
        .bin = {.type_index = machine->type_index,
                .spot = machine->spot,
                .zone = machine->zone,
                .free_capacity = {spec->cores + fmax(0, type->cores - machine->used_cores),
                                  spec->gpus + fmax(0, type->gpus - machine->used_gpus),
                                  spec->memory_gb +
                                      fmax(0, type->memory_gb - machine->used_memory_gb)}}};
}

/* Returns whether the job's tasks end without being stopped. */
static bool will_release_capacity(const tw_job *job) { return job->has_spec && !job->spec.service; }

void tw_expected_releases_init(tw_core *core, tw_expected_releases *releases) {
    tw_job *job;
    int capacity = 0;
    DL_FOREACH(core->active_jobs, job) {
        if (will_release_capacity(job)) capacity += job->placed_count;
    }
    releases->items = tw_alloc((size_t)capacity * sizeof *releases->items);
    releases->count = 0;
    DL_FOREACH(core->active_jobs, job) {
        if (!will_release_capacity(job)) continue;
        const tw_placement *placed;
        DL_FOREACH2(job->placements, placed, job_next) {
            if (!tw_machine_is_usable(core, placed->machine)) continue;
            releases->items[releases->count++] = release_of_task(core, placed);
        }
    }
    qsort(releases->items, (size_t)releases->count, sizeof *releases->items, compare_by_time);
}

double tw_expected_releases_take(tw_core *core, tw_expected_releases *releases, const tw_job *job,
                                 int *first) {
    for (; *first < releases->count; ++*first) {
        tw_expected_release *release = &releases->items[*first];
        core->pass_steps++;
        if (!tw_bin_is_allowed(&release->bin, &job->spec, job->type_mask)) continue;
        if (!tw_bin_fits(&release->bin, &job->spec)) continue;
        /* Cores released on a machine with free GPUs are kept for those GPUs. */
        if (!tw_bin_leaves_gpus(core, &release->bin, &job->spec, job->may_use_gpu_machines))
            continue;
        tw_bin_add_task(&release->bin, &job->spec);
        return fmax(core->context.now, release->available_at);
    }
    return INFINITY;
}

void tw_expected_releases_free(tw_expected_releases *releases) { free(releases->items); }
