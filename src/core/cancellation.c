/* Cancellations. Before a cancellation is confirmed, it must be known to all nodes that may answer
 * the job's machines: such a node renews their leases without the leader, and must stop the job's
 * tasks in its answers. Once it is confirmed, no task of the job may start any more. A task that
 * was launched may start until its machine has reported that it runs or has ended, whichever leader
 * launched it, and whether by a direct command or in an answer to a heartbeat: the launch may still
 * arrive, or the task may wait for its image.
 *
 * Invariants:
 *   - after the first request no task of the job is launched, so that the number of obstacles to
 *     the confirmation doesn't grow;
 *   - a user only waits while calls in flight may lead to the confirmation. */
#include "core/jobs.h"
#include "core/workers.h"

/* Reason why a cancellation can't be confirmed yet. */
typedef enum {
    OBSTACLE_NONE,
    OBSTACLE_PREDECESSOR, /* an earlier leader may still renew a machine's lease */
    OBSTACLE_LAUNCH,      /* a task that was launched may still start */
    OBSTACLE_PEER         /* a node that may renew leases doesn't know of the cancellation */
} obstacle_kind;

typedef struct {
    tw_cancellation_safety safety;
    obstacle_kind obstacle;
    const tw_machine *machine; /* machine that the obstacle concerns; NULL: there is no obstacle */
} cancellation_check;

static const char *const obstacle_names[] = {
    [OBSTACLE_NONE] = "none",
    [OBSTACLE_PREDECESSOR] = "predecessor",
    [OBSTACLE_LAUNCH] = "launch",
    [OBSTACLE_PEER] = "peer",
};

/* ---- confirmation check ---- */

/* Returns whether the task was launched and may start from now on. A task that waits for its gang
 * starts only with the gang's last task, for which this function returns true until then. */
static bool may_start(const tw_placement *task) {
    if (!tw_attempt_was_launched(task)) return false;
    return !task->reported || task->state == TW_TASK_FETCHING;
}

/* Returns whether a response that is due may show whether the task can still start: that to its
 * direct launch, or that to the command which stops it. Once such a response is overdue, the
 * outcome is unknown until the machine sends a heartbeat; a request in flight is then a later one.
 */
static bool response_is_due(const tw_core *core, const tw_placement *task) {
    const tw_machine *machine = task->machine;
    const double sent_after = core->context.now - TW_DIRECT_TIMEOUT_S;
    if (machine->command_in_flight && task->direct_launches && task->direct_launch_at > sent_after)
        return true;
    return tw_machine_takes_commands(core, machine) && task->stopped_at > sent_after;
}

/* Returns whether the task can't start any more, or whether that may be known shortly. */
static tw_cancellation_safety start_safety(const tw_core *core, const tw_placement *task) {
    if (!may_start(task)) return TW_CANCELLATION_SAFE;
    return response_is_due(core, task) ? TW_CANCELLATION_PENDING : TW_CANCELLATION_UNREACHABLE;
}

/* Returns whether an earlier leader may renew the machine's lease for longer than the time limit of
 * a cancellation allows, see tw_cluster_renewal_if_superseded_s. */
static bool predecessor_may_renew(const tw_core *core, const tw_machine *machine) {
    const double limit = core->context.now + tw_cluster_renewal_if_superseded_s(core->cluster);
    return !machine->confirmed && tw_cluster_predecessor_renewals_end(core->cluster) > limit;
}

/* Merges the result for one more machine of the job into the check. The least safe
 * result counts. */
static cancellation_check keep_least_safe(cancellation_check check, tw_cancellation_safety safety,
                                          obstacle_kind obstacle, const tw_machine *machine) {
    if (safety >= check.safety) return check;
    return (cancellation_check){safety, obstacle, machine};
}

/* Checks that no task of the job can start any more, and that all nodes that may answer its
 * machines without the leader, for longer than the time limit of a cancellation allows, know of the
 * cancellation. Nodes that don't know of it are notified. */
static cancellation_check check_cancellation(tw_core *core, const tw_job *job) {
    cancellation_check check = {TW_CANCELLATION_SAFE, OBSTACLE_NONE, NULL};
    const tw_placement *task;
    DL_FOREACH2(job->placements, task, job_next) {
        const tw_machine *machine = task->machine;
        if (!tw_attempt_was_launched(task)) continue;
        if (predecessor_may_renew(core, machine))
            return (cancellation_check){TW_CANCELLATION_UNREACHABLE, OBSTACLE_PREDECESSOR, machine};
        check = keep_least_safe(check, start_safety(core, task), OBSTACLE_LAUNCH, machine);
        check = keep_least_safe(check,
                                tw_cluster_cancellation_safety(core->cluster, machine->zone,
                                                               job->cancellation_sequence, true),
                                OBSTACLE_PEER, machine);
    }
    return check;
}

/* ---- requests ---- */

/* Stops the tasks that may still start, so that their machines report that they have ended. Where a
 * direct launch has no response, the machine is sent a launch and a stop, and refuses the delayed
 * launch afterwards. */
static void stop_tasks_that_may_start(tw_core *core, tw_job *job) {
    tw_placement *task, *next;
    DL_FOREACH_SAFE2(job->placements, task, next, job_next) {
        if (may_start(task) && !task->stopping) tw_placement_stop(core, task, 0, false);
    }
}

/* Rejects the request of a user whose cancellation can't be confirmed now. The cancellation is
 * still pending and is confirmed as soon as that is safe. */
static void defer_cancellation(tw_core *core, uint64_t connection, const tw_job *job,
                               const cancellation_check *check) {
    tw_log_debug("event=cancellation_deferred id=%s obstacle=%s worker=%s", job->id,
                 obstacle_names[check->obstacle], check->machine->name);
    tw_reply_error(&core->context, connection, TW_HTTP_UNAVAILABLE, 1,
                   "machines of it can't be reached");
}

void tw_cancellation_reject(tw_core *core, uint64_t connection, const char *id, double retry_s,
                            const char *why) {
    tw_log_debug("event=cancellation_rejected id=%s why=\"%s\"", id, why);
    tw_reply_error(&core->context, connection, TW_HTTP_UNAVAILABLE, retry_s, why);
}

void tw_job_cancel(tw_core *core, uint64_t connection, tw_job *job) {
    if (job->state != TW_JOB_PENDING) {
        tw_job_add_waiting_client(core, job, connection, true);
        return;
    }
    if (!job->cancelling) {
        job->cancelling = true;
        tw_job_note_cancelled(core, job);
        job->cancellation_sequence = tw_cluster_next_cancellation(core->cluster);
    }
    stop_tasks_that_may_start(core, job);
    const cancellation_check check = check_cancellation(core, job);
    if (check.safety == TW_CANCELLATION_UNREACHABLE) {
        defer_cancellation(core, connection, job, &check);
        return;
    }
    tw_job_add_waiting_client(core, job, connection, true);
    if (check.safety == TW_CANCELLATION_SAFE) tw_job_finish(core, job, TW_JOB_CANCELLED);
}

void tw_job_cancellation_tick(tw_core *core, tw_job *job) {
    if (!job->cancelling || job->state != TW_JOB_PENDING) return;
    stop_tasks_that_may_start(core, job);
    if (!tw_cluster_may(core->cluster, TW_PERMISSION_WRITE) || !tw_cluster_is_active(core->cluster))
        return;
    const cancellation_check check = check_cancellation(core, job);
    if (check.safety == TW_CANCELLATION_SAFE) {
        tw_job_finish(core, job, TW_JOB_CANCELLED);
    } else if (check.safety == TW_CANCELLATION_UNREACHABLE) {
        tw_waiting_client *client;
        while ((client = tw_job_take_waiting_cancellation(job))) {
            defer_cancellation(core, client->connection, job, &check);
            free(client);
        }
    }
}

int tw_jobs_list_cancelled(const tw_core *core, const char **ids, int max_ids) {
    const tw_job *job;
    int count = 0;
    DL_FOREACH2(core->cancelled_jobs, job, cancelled_next) {
        const bool is_cancelled = job->state == TW_JOB_CANCELLED || job->cancelling;
        if (!is_cancelled || !job->placements) continue;
        if (count < max_ids) ids[count] = job->id;
        count++;
    }
    return count;
}
