/* The order in which pending jobs are served: by priority; then jobs within their team's
 * guarantee first; then the teams in turn, starting with the team whose use is smallest relative to
 * its share; within a team the earliest deadline first.
 *
 * When demand exceeds capacity, this order alone could delay a job indefinitely: behind jobs
 * with ever earlier deadlines, behind teams whose services use less, or behind the many tasks
 * of jobs that have already started. Therefore, within each priority, at most every second
 * placement goes to an overdue job: the one that has waited longest for its first task,
 * regardless of whose turn it is (core->overdue_credit).
 *
 * A group is the jobs of one level and one team. The levels are, in order: the jobs of the
 * highest priority within their team's guarantee, the other jobs of the highest priority, the
 * same two for the next priority, and so on.
 *
 * Used by the scheduler for each pass and by the autoscaler for each plan. */
#include "core/core_int.h"
#include <stdbool.h>

#define PRIORITY_COUNT (TW_PRIORITY_PROD + 1)
/* Each priority has a level for jobs within their team's guarantee and one for the others. */
#define LEVEL_COUNT (2 * PRIORITY_COUNT)
/* A job that has waited longer than this for its first task is overdue. */
#define OVERDUE_AFTER_S (0.5 * TW_MAX_START_DELAY_S)
#define GPU_WEIGHT_IN_CORES 16 /* number of cores equivalent to a GPU in a team's use */
/* value of last_group: an overdue job was served last */
#define OVERDUE_JOB_SERVED (-1)

/* The jobs of a group or a priority that have not been served yet, as a range of an array. */
typedef struct {
    int start, end;
} job_range;

struct tw_job_queue {
    tw_job **jobs; /* by group, then by deadline */
    int count;
    int team_count;
    job_range *groups; /* ranges of jobs; the index is level * team_count + team */
    int last_group;    /* group served last, or OVERDUE_JOB_SERVED */
    tw_job **overdue;  /* by priority, then the longest weighted wait first */
    /* ranges of overdue, by priority */
    job_range overdue_by_priority[PRIORITY_COUNT];
};

/* Returns whether all jobs of the range have been served. */
static bool range_is_empty(job_range jobs) { return jobs.start >= jobs.end; }

/* Returns the level of jobs of the given priority. guaranteed: they are within their team's
 * guarantee. */
static int level_of(tw_wire_priority priority, bool guaranteed) {
    return (TW_PRIORITY_PROD - (int)priority) * 2 + !guaranteed;
}

/* Returns the priority of the level's jobs. */
static tw_wire_priority priority_of(int level) { return TW_PRIORITY_PROD - level / 2; }

bool tw_job_has_unplaced_tasks(const tw_job *job) {
    return job->has_spec && job->task_states && job->state == TW_JOB_PENDING && !job->cancelling &&
           job->team >= 0 && job->done_count + job->placed_count < job->task_count;
}

bool tw_job_is_pending(const tw_core *core, const tw_job *job) {
    return tw_job_has_unplaced_tasks(job) && core->context.now >= job->retry_at &&
           (!job->spec.gang || tw_gang_is_pending(job));
}

/* ---- team guarantees ---- */

/* Comparison function for qsort: orders by team, then by time of submission. */
static int compare_by_submission(const void *left, const void *right) {
    const tw_job *a = *(tw_job *const *)left, *b = *(tw_job *const *)right;
    if (a->team != b->team) return a->team < b->team ? -1 : 1;
    if (a->submitted_at != b->submitted_at) return a->submitted_at < b->submitted_at ? -1 : 1;
    return 0;
}

/* Returns whether both jobs belong to the same team and have the same time of submission. */
static bool submitted_together(const tw_job *a, const tw_job *b) {
    return a->team == b->team && a->submitted_at == b->submitted_at;
}

/* Lists the unfinished jobs of teams that have a guarantee, and clears job->guaranteed of all
 * active jobs. Returns the number of jobs listed. */
static int list_jobs_of_guaranteed_teams(const tw_core *core, tw_job **jobs) {
    int count = 0;
    tw_job *job;
    DL_FOREACH(core->active_jobs, job) {
        job->guaranteed = false;
        if (job->team < 0 || !job->has_spec || job->state != TW_JOB_PENDING) continue;
        const tw_config_team *team = &core->context.config->teams[job->team];
        if (team->gpus > 0 || team->cpus > 0) jobs[count++] = job;
    }
    return count;
}

/* Sets job->guaranteed for jobs that fit into their team's guarantee together with all of the
 * team's earlier jobs, in order of submission. Jobs submitted at the same time are treated as
 * one. */
static void mark_guaranteed(const tw_core *core, tw_job **jobs, int count) {
    double cpus = 0, gpus = 0; /* sums over the team's jobs so far */
    for (int first = 0, end; first < count; first = end) {
        const tw_config_team *team = &core->context.config->teams[jobs[first]->team];
        if (!first || jobs[first]->team != jobs[first - 1]->team) cpus = gpus = 0;
        for (end = first; end < count && submitted_together(jobs[end], jobs[first]); end++) {
            const int tasks = jobs[end]->task_count - jobs[end]->done_count;
            cpus += jobs[end]->spec.cores * tasks;
            gpus += jobs[end]->spec.gpus * tasks;
        }
        const bool fits = (team->gpus <= 0 || gpus <= team->gpus + TW_CAPACITY_ROUNDING) &&
                          (team->cpus <= 0 || cpus <= team->cpus + TW_CAPACITY_ROUNDING);
        for (int i = first; i < end; i++)
            jobs[i]->guaranteed =
                fits && (jobs[i]->spec.gpus > 0 ? team->gpus > 0 : team->cpus > 0);
    }
}

/* Updates job->guaranteed for all active jobs. */
static void update_guaranteed_jobs(tw_core *core) {
    int capacity = 0;
    const tw_job *job;
    DL_FOREACH(core->active_jobs, job) { capacity++; }
    struct tw_job **jobs = tw_alloc((size_t)capacity * sizeof(struct tw_job *));
    const int count = list_jobs_of_guaranteed_teams(core, jobs);
    qsort(jobs, (size_t)count, sizeof(struct tw_job *), compare_by_submission);
    mark_guaranteed(core, jobs, count);
    free(jobs);
}

/* ---- groups ---- */

/* A pending job with its sort keys. */
typedef struct {
    tw_job *job;
    int group;
    double deadline_at;
} grouped_job;

/* Comparison function for qsort: orders by group, then by deadline, then by id. */
static int compare_by_group(const void *left, const void *right) {
    const grouped_job *a = left, *b = right;
    if (a->group != b->group) return a->group < b->group ? -1 : 1;
    if (a->deadline_at != b->deadline_at) return a->deadline_at < b->deadline_at ? -1 : 1;
    return strcmp(a->job->id, b->job->id);
}

/* Fills queue->jobs with the pending jobs, at most capacity, and sets the range of each group. */
static void group_jobs(const tw_core *core, tw_job_queue *queue, int capacity) {
    grouped_job *sorted = tw_alloc((size_t)capacity * sizeof *sorted);
    tw_job *job;
    DL_FOREACH(core->active_jobs, job) {
        if (!tw_job_is_pending(core, job)) continue;
        const int level = level_of(job->spec.priority, job->guaranteed);
        sorted[queue->count++] =
            (grouped_job){job, level * queue->team_count + job->team, tw_job_deadline(job)};
    }
    qsort(sorted, (size_t)queue->count, sizeof *sorted, compare_by_group);
    for (int i = 0; i < queue->count; i++) {
        job_range *group = &queue->groups[sorted[i].group];
        queue->jobs[i] = sorted[i].job;
        if (!i || sorted[i].group != sorted[i - 1].group) group->start = i;
        group->end = i + 1;
    }
    free(sorted);
}

/* ---- overdue jobs ---- */

/* An overdue job with its sort key. */
typedef struct {
    tw_job *job;
    double weighted_wait;
} waiting_job;

/* Comparison function for qsort: orders by priority, then by weighted wait, the longest first, then
 * by id. */
static int compare_by_wait(const void *left, const void *right) {
    const waiting_job *a = left, *b = right;
    if (a->job->spec.priority != b->job->spec.priority)
        return a->job->spec.priority < b->job->spec.priority ? -1 : 1;
    if (a->weighted_wait != b->weighted_wait) return a->weighted_wait > b->weighted_wait ? -1 : 1;
    return strcmp(a->job->id, b->job->id);
}

/* Returns the job's waiting time multiplied by the square root of its work, because the delay
 * of a larger job costs more. */
static double weighted_wait(const tw_core *core, const tw_job *job) {
    const double work =
        job->task_count * fmax(job->spec.expected_run_s, core->context.config->lease_s);
    return (core->context.now - job->submitted_at) * sqrt(work);
}

/* Returns whether the job has waited too long for its first task. */
static bool is_overdue(const tw_core *core, const tw_job *job) {
    if (job->has_run || job->placed_count || job->done_count) return false;
    return core->context.now - job->submitted_at > OVERDUE_AFTER_S;
}

/* Fills queue->overdue and sets the range of each priority. */
static void list_overdue_jobs(const tw_core *core, tw_job_queue *queue) {
    int count = 0;
    waiting_job *sorted = tw_alloc((size_t)queue->count * sizeof *sorted);
    queue->overdue = tw_alloc((size_t)queue->count * sizeof(tw_job *));
    for (int i = 0; i < queue->count; i++) {
        tw_job *job = queue->jobs[i];
        if (is_overdue(core, job)) sorted[count++] = (waiting_job){job, weighted_wait(core, job)};
    }
    qsort(sorted, (size_t)count, sizeof *sorted, compare_by_wait);
    for (int i = 0; i < count; i++) {
        const tw_wire_priority priority = sorted[i].job->spec.priority;
        queue->overdue[i] = sorted[i].job;
        if (!i || sorted[i - 1].job->spec.priority != priority)
            queue->overdue_by_priority[priority].start = i;
        queue->overdue_by_priority[priority].end = i + 1;
    }
    free(sorted);
}

/* ---- serving jobs ---- */

tw_job_queue *tw_job_queue_new(tw_core *core, bool with_overdue) {
    tw_job_queue *queue = tw_alloc(sizeof *queue);
    int capacity = 0;
    const tw_job *job;
    DL_FOREACH(core->active_jobs, job) { capacity += tw_job_is_pending(core, job); }
    if (capacity) update_guaranteed_jobs(core);
    queue->team_count = (int)core->context.config->team_count;
    queue->jobs = tw_alloc((size_t)capacity * sizeof(struct tw_job *));
    queue->groups = tw_alloc((size_t)(LEVEL_COUNT * queue->team_count) * sizeof *queue->groups);
    group_jobs(core, queue, capacity);
    if (with_overdue) list_overdue_jobs(core, queue);
    return queue;
}

/* Removes and returns the next overdue job of the priority. NULL: there is none, or the next
 * placement goes to a team in turn. */
static tw_job *take_overdue_job(const tw_core *core, tw_job_queue *queue,
                                tw_wire_priority priority) {
    job_range *remaining = &queue->overdue_by_priority[priority];
    if (core->overdue_credit[priority] <= 0 || range_is_empty(*remaining)) return NULL;
    queue->last_group = OVERDUE_JOB_SERVED;
    return queue->overdue[remaining->start++];
}

/* Returns the non-empty group of the level whose team uses least relative to its share. -1: no
 * job of the level is pending. */
static int find_group_to_serve(const tw_core *core, const tw_job_queue *queue, int level) {
    int best = -1;
    double least = INFINITY;
    for (int team = 0; team < queue->team_count; team++) {
        const int group = level * queue->team_count + team;
        if (range_is_empty(queue->groups[group])) continue;
        const double in_use =
            core->team_gpus_used[team] * GPU_WEIGHT_IN_CORES + core->team_cores_used[team];
        const double used_share = in_use / core->context.config->teams[team].share;
        if (used_share < least) {
            least = used_share;
            best = group;
        }
    }
    return best;
}

tw_job *tw_job_queue_next(tw_core *core, tw_job_queue *queue) {
    for (int level = 0; level < LEVEL_COUNT; level++) {
        /* Overdue jobs are served before both levels of their priority. */
        tw_job *overdue = level % 2 ? NULL : take_overdue_job(core, queue, priority_of(level));
        if (overdue) return overdue;
        const int group = find_group_to_serve(core, queue, level);
        if (group < 0) continue;
        queue->last_group = group;
        return queue->jobs[queue->groups[group].start++];
    }
    return NULL;
}

void tw_job_queue_note_placed(tw_core *core, const tw_job_queue *queue, const tw_job *job,
                              int count) {
    int *credit = &core->overdue_credit[job->spec.priority];
    if (queue->last_group == OVERDUE_JOB_SERVED)
        *credit -= count > 0;
    else if (count > 0)
        *credit = 1;
}

void tw_job_queue_requeue(tw_job_queue *queue) {
    if (queue->last_group != OVERDUE_JOB_SERVED) queue->groups[queue->last_group].start--;
}

bool tw_job_queue_is_contended(const tw_job_queue *queue) {
    if (queue->last_group == OVERDUE_JOB_SERVED) return true;
    const int level = queue->last_group / queue->team_count;
    if (!range_is_empty(queue->overdue_by_priority[priority_of(level)])) return true;
    const int first = level * queue->team_count;
    for (int group = first; group < first + queue->team_count; group++)
        if (group != queue->last_group && !range_is_empty(queue->groups[group])) return true;
    return false;
}

void tw_job_queue_free(tw_job_queue *queue) {
    free(queue->jobs);
    free(queue->overdue);
    free(queue->groups);
    free(queue);
}
