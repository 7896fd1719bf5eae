/* Placement while only nodes of an earlier version could succeed this leader.
 *
 * Such a successor may take a machine's later incarnation for a new one, and all that the record
 * names there for ended. What the machine's heartbeat lists it adopts in the same moment, if the
 * job's zones allow it. A machine that it has not heard from counts against that: for a job that
 * spreads it may be in the same zone, for one with a single zone in another one. A task that is not
 * adopted is started again while it runs.
 *
 * Invariant: the tasks of such a job that this leader places are few enough to be adopted whatever
 * the successor has heard, or all of them are on machines in their first incarnation, where none is
 * taken for ended. A job without tasks on machines is never kept from a machine by this. */
#include "core/core_int.h"
#include <stdbool.h>

#define FIRST_INCARNATION 1

/* How many tasks of the job are adopted whatever else is known; of a job with a single zone more
 * than one only if they are on the same machine. */
static int max_always_adopted(const tw_job *job) {
    return job->spec.single_zone ? 1 : (job->task_count + 1) / 2;
}

bool tw_machine_is_in_first_incarnation(const tw_machine *machine) {
    return machine->confirmed && machine->incarnation == FIRST_INCARNATION;
}

/* Where the job's tasks are. */
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
