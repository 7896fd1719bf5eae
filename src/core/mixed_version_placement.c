/* Placement while only nodes of an earlier version could succeed this leader.
 *
 * Such a successor may mistake a later incarnation of a machine for a new machine, and then
 * considers all tasks that the record lists there ended. When it receives the machine's
 * heartbeat, it adopts the listed tasks if the zones allowed for the job permit that. A machine
 * from which it has not received a heartbeat may be in any zone, so the successor assumes the least
 * favorable one: the same zone for a job with spread, another zone for a single-zone job. A task
 * that is not adopted is started again while it is still running.
 *
 * Invariant: of a job with spread or a single zone, either so few tasks are placed that the
 * successor adopts them whichever heartbeats it has received, or all tasks are on machines in
 * their first incarnation, whose tasks it never considers ended. A job without placed tasks is
 * never restricted. */
#include "core/core_int.h"
#include <stdbool.h>

#define FIRST_INCARNATION 1

/* Returns how many of the job's tasks a successor of an earlier version adopts whichever heartbeats
 * it has received. The successor adopts more than one task of a single-zone job only if all are on
 * the same machine. */
static int max_always_adopted(const tw_job *job) {
    return job->spec.single_zone ? 1 : (job->task_count + 1) / 2;
}

bool tw_machine_is_in_first_incarnation(const tw_machine *machine) {
    return machine->confirmed && machine->incarnation == FIRST_INCARNATION;
}

/* Summary of the machines that the job's tasks are placed on. */
typedef struct {
    int count;
    bool all_in_first_incarnation;
    bool all_on_one_machine;
} placement_summary;

static placement_summary summarize_placements(const tw_job *job) {
    placement_summary summary = {.all_in_first_incarnation = true, .all_on_one_machine = true};
    const tw_placement *placed;
    DL_FOREACH2(job->placements, placed, job_next) {
        summary.count++;
        summary.all_in_first_incarnation &= tw_machine_is_in_first_incarnation(placed->machine);
        summary.all_on_one_machine &= placed->machine == job->placements->machine;
    }
    return summary;
}

tw_machine_restriction tw_mixed_version_restriction(const tw_core *core, const tw_job *job) {
    const bool depends_on_other_tasks = job->spec.spread || job->spec.single_zone;
    if (!depends_on_other_tasks || job->spec.gang || job->task_count < 2 ||
        !tw_cluster_only_earlier_version_may_take_over(core->cluster))
        return TW_MACHINES_ANY;
    const placement_summary summary = summarize_placements(job);
    if (summary.count < max_always_adopted(job)) return TW_MACHINES_ANY;
    if (summary.all_in_first_incarnation) return TW_MACHINES_IN_FIRST_INCARNATION;
    return job->spec.single_zone && summary.all_on_one_machine ? TW_MACHINES_IN_USE_BY_JOB
                                                               : TW_MACHINES_NONE;
}

bool tw_machine_restriction_allows(tw_machine_restriction restriction, const tw_job *job,
                                   const tw_machine *machine) {
    switch (restriction) {
    case TW_MACHINES_IN_FIRST_INCARNATION:
        return tw_machine_is_in_first_incarnation(machine);
    case TW_MACHINES_IN_USE_BY_JOB:
        return job->placements && job->placements->machine == machine;
    case TW_MACHINES_NONE:
        return false;
    case TW_MACHINES_ANY:
        break;
    }
    return true;
}
