/* Cancellations, which have to be known to all nodes that may answer a job's machines: such a node
 * renews their leases without the leader, and has to stop the job's tasks with that. It can't stop
 * what a launch on its way starts later, so that none may be on its way. */
#include "core/jobs.h"

/* Whether a direct launch may still start the task. It may do so whenever it arrives: the machine's
 * incarnation, which it names, lasts for as long as another node renews the lease. */
static tw_cancellation_safety launch_safety(const tw_placement *task) {
    if (!task->direct_launches) return TW_CANCELLATION_SAFE;
    /* Once the response is overdue, nothing is known of the launch until the machine is heard. */
    return task->machine->command_in_flight ? TW_CANCELLATION_PENDING : TW_CANCELLATION_UNREACHABLE;
}

/* Whether an earlier leader may renew the machine's lease for longer than a cancellation leaves
 * time for. */
static bool predecessor_may_renew(const tw_core *core, const tw_machine *machine) {
    const double limit = core->context.now + tw_cluster_renewal_if_superseded_s(core->cluster);
    return !machine->confirmed && tw_cluster_predecessor_renewals_end(core->cluster) > limit;
}

static tw_cancellation_safety least_safe(tw_cancellation_safety a, tw_cancellation_safety b) {
    return a < b ? a : b;
}

tw_cancellation_safety tw_job_cancellation_safety(tw_core *core, const tw_job *job, bool tell) {
    tw_cancellation_safety safety = TW_CANCELLATION_SAFE;
    const tw_placement *task;
    DL_FOREACH2(job->placements, task, job_next) {
        const tw_machine *machine = task->machine;
        if (!tw_attempt_was_launched(task)) continue;
        if (predecessor_may_renew(core, machine)) return TW_CANCELLATION_UNREACHABLE;
        safety = least_safe(safety, launch_safety(task));
        safety =
            least_safe(safety, tw_cluster_cancellation_safety(core->cluster, machine->zone,
                                                              job->cancellation_sequence, tell));
    }
    return safety;
}

void tw_job_settle_launches(tw_core *core, tw_job *job) {
    tw_placement *task, *next;
    DL_FOREACH_SAFE2(job->placements, task, next, job_next) {
        if (task->direct_launches && !task->stopping) tw_placement_stop(core, task, 0, false);
    }
}

int tw_jobs_list_cancelled(const tw_core *core, const char **ids, int most) {
    const tw_job *job;
    int count = 0;
    DL_FOREACH2(core->cancelled_jobs, job, cancelled_next) {
        const bool is_cancelled = job->state == TW_JOB_CANCELLED || job->cancelling;
        if (!is_cancelled || !job->placements) continue;
        if (count < most) ids[count] = job->id;
        count++;
    }
    return count;
}
