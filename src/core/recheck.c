/* The periodic recheck of GoodServe: a task that will miss its deadline is stopped, and starts
 * again where a full rerun makes it. */
#include "core/scheduler_int.h"
#include <stdbool.h>

#define MOST_RERUNS 4      /* in a recheck */
#define LEAST_REST 0.1     /* of its run time: a task that is past its estimate ends soon */
#define CLEARLY_FASTER 1.3 /* the other machine, for a rerun to be worth it */
#define FIRST_CAPACITY 16

/* When a task will end if it misses its deadline, else 0. */
static double late_end(const tw_core *core, const tw_placement *placed, double *slowness) {
    const tw_job *job = placed->job;
    const double estimate_s = tw_job_run_estimate_s(job);
    const double due = tw_job_deadline(core, job);
    const double ran_s = core->context.now - placed->running_since;
    if (!isfinite(due) || estimate_s <= 0) return 0;
    *slowness = fmax(tw_machine_slowness(core, placed->machine), ran_s / estimate_s);
    const double end = fmax(placed->running_since + estimate_s * *slowness,
                            core->context.now + LEAST_REST * estimate_s);
    return end <= due ? 0 : end;
}

/* Where a full rerun of one of a job's tasks would make the deadline. */
typedef struct {
    tw_machine *machine;
    double total_s;
} alternative;

typedef struct {
    alternative *items;
    int count, capacity;
} alternatives;

static void add(alternatives *found, tw_machine *machine, double total_s) {
    found->items =
        tw_grow(found->items, found->count, &found->capacity, FIRST_CAPACITY, sizeof *found->items);
    found->items[found->count++] = (alternative){machine, total_s};
}

static alternatives alternatives_of(tw_core *core, tw_job *job) {
    const tw_demand demand = tw_demand_of(core, job);
    alternatives found = {0};
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
        if (core->context.now + total_s <= demand.deadline_at) add(&found, machine, total_s);
    }
    return found;
}

/* Stops a late task if it would be in time elsewhere. 0: it would not. */
static bool rerun(tw_core *core, tw_placement *placed, double end, double slowness,
                  const alternatives *found) {
    const tw_job *job = placed->job;
    for (int i = 0; i < found->count; i++) {
        const alternative *other = &found->items[i];
        if (other->machine == placed->machine || core->context.now + other->total_s >= end ||
            tw_machine_slowness(core, other->machine) * CLEARLY_FASTER > slowness)
            continue;
        tw_log_info("event=task_rescheduled task=%s/%d from=%s to=%s late_s=%.1f", job->id,
                    placed->index, placed->machine->name, other->machine->name,
                    end - tw_job_deadline(core, job));
        tw_placement_stop(core, placed, job->spec.checkpoint_s > 0 ? job->spec.save_s : 0, false);
        return true;
    }
    return false;
}

/* The number of the job's tasks that were stopped, at most `most`. */
static int recheck_job(tw_core *core, tw_job *job, int most) {
    alternatives found = {0};
    bool looked = false; /* once a job, and only if some task of it is late */
    int stopped = 0;
    tw_placement *placed;
    tw_placement *next;
    DL_FOREACH_SAFE2(job->placements, placed, next, job_next) {
        double slowness = 0;
        if (stopped >= most) break;
        if (placed->stopping || placed->running_since <= 0 || placed->state != TW_TASK_RUNNING ||
            placed->machine->type_index < 0)
            continue;
        const double end = late_end(core, placed, &slowness);
        if (end <= 0) continue;
        if (!looked) found = alternatives_of(core, job);
        looked = true;
        if (!found.count) break;
        stopped += rerun(core, placed, end, slowness, &found);
    }
    free(found.items);
    return stopped;
}

void tw_scheduler_recheck(tw_core *core) {
    int left = MOST_RERUNS;
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
