/* The periodic recheck of GoodServe: a task that will miss its deadline is stopped, and starts
 * again where a full rerun makes it. */
#include "core/scheduler_int.h"
#include <stdbool.h>

#define MAX_RERUNS 4            /* in a recheck */
#define MIN_REMAINING_SHARE 0.1 /* of its run time: a task that is past its estimate ends soon */
#define MIN_SPEEDUP 1.3         /* the other machine, for a rerun to be worth it */
#define INITIAL_CAPACITY 16

/* When a task will end if it misses its deadline, else 0. */
static double expected_late_end(const tw_core *core, const tw_placement *placed, double *slowness) {
    const tw_job *job = placed->job;
    const double estimate_s = tw_job_run_estimate_s(job);
    const double deadline_at = tw_job_deadline(core, job);
    const double ran_s = core->context.now - placed->running_since;
    if (!isfinite(deadline_at) || estimate_s <= 0) return 0;
    *slowness = fmax(tw_machine_slowness(core, placed->machine), ran_s / estimate_s);
    const double end_at = fmax(placed->running_since + estimate_s * *slowness,
                               core->context.now + MIN_REMAINING_SHARE * estimate_s);
    return end_at <= deadline_at ? 0 : end_at;
}

/* Where a full rerun of one of a job's tasks would make the deadline. */
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

static rerun_targets find_rerun_targets(tw_core *core, tw_job *job) {
    const tw_demand demand = tw_demand_of(core, job);
    rerun_targets targets = {0};
    tw_machine *machine;
    struct tw_machine *next;
    HASH_ITER(hh, core->machines, machine, next) {
        core->pass_steps++;
        if (machine->type_index < 0 ||
            !tw_machine_has_room(machine, &core->machine_types[machine->type_index], &job->spec) ||
            !tw_machine_is_usable(core, machine) ||
            !tw_constraints_allow_machine(core, job, machine) ||
            !tw_constraints_allow_machine_zone(core, &demand, machine))
            continue;
        const double total_s = tw_predict(core, &demand, machine).total_s;
        if (core->context.now + total_s <= demand.deadline_at)
            add_target(&targets, machine, total_s);
    }
    return targets;
}

/* Stops a late task if it would be in time elsewhere. 0: it would not. */
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
                    end_at - tw_job_deadline(core, job));
        tw_placement_stop(core, placed, job->spec.checkpoint_s > 0 ? job->spec.save_s : 0, false);
        return true;
    }
    return false;
}

/* The number of the job's tasks that were stopped, at most `most`. */
static int recheck_job(tw_core *core, tw_job *job, int limit) {
    rerun_targets targets = {0};
    bool targets_known = false; /* once a job, and only if some task of it is late */
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

void tw_scheduler_recheck(tw_core *core) {
    int left = MAX_RERUNS;
    tw_job *job;
    DL_FOREACH(core->active_jobs, job) {
        if (job->state != TW_JOB_PENDING || !job->has_spec || job->spec.service || job->spec.gang ||
            job->spec.deadline_s < 0)
            continue;
        left -= recheck_job(core, job, left);
        if (left <= 0) break;
    }
    core->scheduling_due = true; /* waits may have ended, too */
}
