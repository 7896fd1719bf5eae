/* The periodic recheck of GoodServe: stops a running batch task that is expected to miss its
 * deadline if a full rerun on another machine is expected to meet it. The next pass then
 * places the task there. Gangs and services are not rechecked. A recheck stops at most
 * MAX_RERUNS tasks. */
#include "core/scheduler_int.h"
#include <stdbool.h>

#define MAX_RERUNS 4 /* tasks stopped per recheck */
/* Remaining run time assumed for a task past its estimate, as a share of its estimated
 * run time. */
#define MIN_REMAINING_SHARE 0.1
/* A rerun requires a machine that is faster by at least this factor. */
#define MIN_SPEEDUP 1.3
#define INITIAL_CAPACITY 16

/* Returns the time at which a running task is expected to end if that is after its deadline.
 * 0: it meets its deadline or has none. Sets *slowness to the larger of the machine's slowness
 * and the slowness that the run so far shows. */
static double expected_late_end(const tw_core *core, const tw_placement *placed, double *slowness) {
    const tw_job *job = placed->job;
    const double estimate_s = tw_job_run_estimate_s(job);
    const double deadline_at = tw_job_deadline(job);
    const double ran_s = core->context.now - placed->running_since;
    if (!isfinite(deadline_at) || estimate_s <= 0) return 0;
    *slowness = fmax(tw_machine_slowness(core, placed->machine), ran_s / estimate_s);
    const double end_at = fmax(placed->running_since + estimate_s * *slowness,
                               core->context.now + MIN_REMAINING_SHARE * estimate_s);
    return end_at <= deadline_at ? 0 : end_at;
}

/* A machine on which a full rerun of one of a job's tasks meets the deadline, with the
 * predicted T. */
typedef struct {
    tw_machine *machine;
    double total_s;
} rerun_target;

typedef struct {
    rerun_target *items;
    int count, capacity;
} rerun_targets;

static void add_target(rerun_targets *targets, tw_machine *machine, double total_s) {
    targets->items = tw_grow(targets->items, targets->count, &targets->capacity, INITIAL_CAPACITY,
                             sizeof *targets->items);
    targets->items[targets->count++] = (rerun_target){machine, total_s};
}

/* Returns all machines on which a full rerun of one of the job's tasks meets the deadline. The
 * caller frees the items. */
static rerun_targets find_rerun_targets(tw_core *core, tw_job *job) {
    const tw_demand demand = tw_demand_of(core, job);
    rerun_targets targets = {0};
    tw_machine *machine;
    struct tw_machine *next;
    HASH_ITER(hh, core->machines, machine, next) {
        core->pass_steps++;
        if (machine->type_index < 0 ||
            !tw_machine_has_capacity(machine, &core->machine_types[machine->type_index],
                                     &job->spec) ||
            !tw_machine_is_usable(core, machine) ||
            !tw_constraints_allow_machine(core, job, machine) ||
            !tw_demand_allows_machine(core, &demand, machine))
            continue;
        const double total_s = tw_predict_duration(core, &demand, machine).total_s;
        if (core->context.now + total_s <= demand.deadline_at)
            add_target(&targets, machine, total_s);
    }
    return targets;
}

/* Stops a late task if a rerun on one of the targets would end earlier, on a machine that is
 * at least MIN_SPEEDUP times as fast. Returns whether the task was stopped. */
static bool stop_for_rerun(tw_core *core, tw_placement *placed, double end_at, double slowness,
                           const rerun_targets *targets) {
    const tw_job *job = placed->job;
    for (int i = 0; i < targets->count; i++) {
        const rerun_target *target = &targets->items[i];
        if (target->machine == placed->machine || core->context.now + target->total_s >= end_at ||
            tw_machine_slowness(core, target->machine) * MIN_SPEEDUP > slowness)
            continue;
        tw_log_info("event=task_rescheduled task=%s/%d from=%s to=%s late_s=%.1f", job->id,
                    placed->index, placed->machine->name, target->machine->name,
                    end_at - tw_job_deadline(job));
        tw_placement_stop(core, placed, job->spec.checkpoint_s > 0 ? job->spec.save_s : 0, false);
        return true;
    }
    return false;
}

/* Stops late tasks of the job, at most limit. Returns the number of tasks stopped. */
static int recheck_job(tw_core *core, tw_job *job, int limit) {
    rerun_targets targets = {0};
    /* The targets are computed once per job, when its first late task is found. */
    bool targets_known = false;
    int stopped = 0;
    tw_placement *placed;
    tw_placement *next;
    DL_FOREACH_SAFE2(job->placements, placed, next, job_next) {
        double slowness = 0;
        if (stopped >= limit) break;
        if (placed->stopping || placed->running_since <= 0 || placed->state != TW_TASK_RUNNING ||
            placed->machine->type_index < 0)
            continue;
        const double end_at = expected_late_end(core, placed, &slowness);
        if (end_at <= 0) continue;
        if (!targets_known) targets = find_rerun_targets(core, job);
        targets_known = true;
        if (!targets.count) break;
        stopped += stop_for_rerun(core, placed, end_at, slowness, &targets);
    }
    free(targets.items);
    return stopped;
}

void tw_scheduler_recheck_deadlines(tw_core *core) {
    int remaining_reruns = MAX_RERUNS;
    tw_job *job;
    DL_FOREACH(core->active_jobs, job) {
        if (job->state != TW_JOB_PENDING || !job->has_spec || job->spec.service || job->spec.gang ||
            job->spec.deadline_s < 0)
            continue;
        remaining_reruns -= recheck_job(core, job, remaining_reruns);
        if (remaining_reruns <= 0) break;
    }
    core->scheduling_due = true; /* the retry_at of some job may have passed */
}
