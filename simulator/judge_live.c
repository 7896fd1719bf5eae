/* Checks liveness once all faults have ended: polls are answered, no job waits while machines have
 * free capacity for it, and at the end at least half of the jobs of each class and team have been
 * served. */
#include "world.h"
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define UNANSWERED_TIMEOUT_S 75.0
#define STUCK_TIMEOUT_S 90.0
#define LARGE_JOB_START_TIMEOUT_S 240.0
#define MIN_SERVED_SHARE 0.5
#define LARGE_JOB_SIZE_RATIO                                                                       \
    0.9 /* a job counts as large from this share of its class's largest size on */
#define CORES_PER_GPU 10.0 /* a GPU counts as this many cores in a job's size */
#define EPSILON 1e-6

/* ---- rule `unanswered` ---- */

static void check_answers(tw_simulator_world *world, const tw_simulator_job *job) {
    double since = fmax(world->faults_end_at, fmax(job->accepted_at, job->answered_at));
    if (job->accepted && world->now > since + UNANSWERED_TIMEOUT_S)
        tw_simulator_report_violation(
            world, "unanswered", "%s: no poll has been answered since t=%.2f", job->spec.id, since);
}

/* ---- rule `stuck` ---- */

typedef struct {
    double cpus, gpus, memory;
} free_capacity;

static bool occupies_machine(const tw_simulator_task *task) {
    return task->job && task->stage != TW_TASK_EXITED;
}

static bool has_started(const tw_simulator_task *task) {
    return task->stage != TW_TASK_FETCHING && task->stage != TW_TASK_WAITING;
}

/* Returns the free capacity of each machine. The caller frees the array. `cpus` is below 0 where no
 * task may start. Also updates each job's count of tasks on machines. */
static free_capacity *free_capacities(tw_simulator_world *world) {
    free_capacity *capacities =
        tw_simulator_allocate((size_t)(world->worker_count + 1) * sizeof *capacities);
    for (int i = 0; i < world->job_count; i++)
        world->jobs[i]->tasks_on_machines = world->jobs[i]->tasks_before_gang_start = 0;
    for (int i = 0; i < world->worker_count; i++) {
        const tw_simulator_worker *worker = world->workers[i];
        const tw_wire_machine_type *type = &world->types[worker->type_index];
        capacities[i] = (free_capacity){type->cores, type->gpus, type->memory_gb};
        if (worker->removed || !worker->up || worker->faulty || worker->preempted_at >= 0 ||
            world->now < worker->hung_until)
            capacities[i].cpus = -1;
        for (int k = 0; k < worker->task_count && !worker->removed; k++) {
            tw_simulator_job *job = worker->tasks[k].job;
            if (!occupies_machine(&worker->tasks[k])) continue;
            job->tasks_on_machines++;
            job->tasks_before_gang_start += job->spec.gang && !has_started(&worker->tasks[k]);
            capacities[i].cpus -= job->spec.cores;
            capacities[i].gpus -= job->spec.gpus;
            capacities[i].memory -= job->spec.memory_gb;
        }
    }
    return capacities;
}

static bool is_allowed(const tw_simulator_worker *worker, const tw_wire_job *spec) {
    bool type = spec->machine_type_count < 0;
    for (int i = 0; i < spec->machine_type_count; i++)
        type |= !strcmp(spec->machine_types[i], worker->type);
    return type && (!worker->spot || spec->spot) &&
           (!*spec->zone || !strcmp(spec->zone, worker->zone));
}

/* Returns how many tasks of a job fit into a machine's free capacity, at most `wanted`. */
static int tasks_that_fit(const free_capacity *capacity, const tw_wire_job *spec, int wanted) {
    int count = 0;
    for (free_capacity remaining = *capacity; count < wanted; count++) {
        remaining.cpus -= spec->cores;
        remaining.gpus -= spec->gpus;
        remaining.memory -= spec->memory_gb;
        if (remaining.cpus < -EPSILON || remaining.gpus < -EPSILON || remaining.memory < -EPSILON)
            break;
    }
    return count;
}

/* Returns whether the machines of a zone (of all zones, if it is NULL) have free capacity for
 * `wanted` tasks of a job. */
static bool has_capacity(const tw_simulator_world *world, const free_capacity *capacities,
                         const tw_wire_job *spec, const char *zone, int wanted) {
    int count = 0;
    for (int i = 0; i < world->worker_count && count < wanted; i++) {
        const tw_simulator_worker *worker = world->workers[i];
        if (capacities[i].cpus < 0 || !is_allowed(worker, spec) ||
            (zone && strcmp(zone, worker->zone) != 0))
            continue;
        count += tasks_that_fit(&capacities[i], spec, wanted - count);
    }
    return count >= wanted;
}

/* Returns how many further tasks of the job need capacity at the same time; 1 if they start one by
 * one. Waiting tasks of a gang already hold their capacity and are subtracted, except for a
 * single-zone gang: they may wait in a zone in which the rest does not fit. */
static int tasks_started_together(const tw_simulator_job *job) {
    const tw_wire_job *spec = &job->spec;
    if (spec->gang && !spec->single_zone) return spec->task_count - job->tasks_before_gang_start;
    return spec->gang || (spec->service && spec->single_zone) ? spec->task_count : 1;
}

static bool is_placeable(const tw_simulator_world *world, const free_capacity *capacities,
                         const tw_simulator_job *job) {
    const tw_wire_job *spec = &job->spec;
    int wanted = tasks_started_together(job);
    if (wanted > 1 && spec->spread) return false; /* not judged: the search ignores spread */
    if (!spec->single_zone || wanted == 1)
        return has_capacity(world, capacities, spec, NULL, wanted);
    for (int i = 0; i < world->worker_count; i++)
        if (has_capacity(world, capacities, spec, world->workers[i]->zone, wanted)) return true;
    return false;
}

static bool is_within_team_limit(const tw_simulator_world *world, const tw_simulator_job *job) {
    const tw_wire_job *spec = &job->spec;
    int wanted = tasks_started_together(job), i = 0;
    while (i < world->team_count && strcmp(world->teams[i].name, spec->team) != 0) i++;
    if (i == world->team_count) return false;
    double cpus = wanted * spec->cores, gpus = wanted * spec->gpus;
    for (int k = 0; k < world->worker_count; k++) {
        const tw_simulator_worker *worker = world->workers[k];
        for (int t = 0; t < worker->task_count && !worker->removed; t++) {
            if (!occupies_machine(&worker->tasks[t])) continue;
            const tw_wire_job *other = &worker->tasks[t].job->spec;
            if (strcmp(other->team, spec->team) != 0) continue;
            cpus += other->cores;
            gpus += other->gpus;
        }
    }
    const tw_simulator_team *limits = &world->teams[i];
    return (limits->cpus_max <= 0 || cpus <= limits->cpus_max + EPSILON) &&
           (limits->gpus_max <= 0 || gpus <= limits->gpus_max + EPSILON);
}

/* Returns the number of the job's tasks on machines, without those of a gang that have not started
 * to run. */
static int progressing_tasks(const tw_simulator_job *job) {
    return job->tasks_on_machines - job->tasks_before_gang_start;
}

/* Returns whether an accepted job that is neither cancelled nor complete has no task on a machine,
 * or only tasks that wait for the rest of their gang. */
static bool is_unplaced(const tw_simulator_job *job) {
    return job->accepted && job->cancel_requested_at <= 0 && !job->fails && !job->reported_end &&
           job->done_count < job->spec.task_count && !progressing_tasks(job);
}

static void check_placement_wait(tw_simulator_world *world, tw_simulator_job *job,
                                 const free_capacity *capacities) {
    bool waits_for_placement = world->now >= world->faults_end_at && is_unplaced(job) &&
                               is_placeable(world, capacities, job) &&
                               is_within_team_limit(world, job);
    if (!waits_for_placement)
        job->placeable_since = 0;
    else if (job->placeable_since <= 0)
        job->placeable_since = world->now;
    else if (world->now > job->placeable_since + STUCK_TIMEOUT_S)
        tw_simulator_report_violation(world, "stuck",
                                      "%s unplaced since t=%.2f despite free capacity",
                                      job->spec.id, job->placeable_since);
}

void tw_simulator_judge_liveness(tw_simulator_world *world) {
    free_capacity *capacities = free_capacities(world);
    for (int i = 0; i < world->job_count; i++) {
        check_answers(world, world->jobs[i]);
        check_placement_wait(world, world->jobs[i], capacities);
    }
    free(capacities);
}

/* ---- rule `unserved` ---- */

static double job_size(const tw_wire_job *spec) {
    return spec->task_count * (spec->cores + CORES_PER_GPU * spec->gpus);
}

/* Returns whether the job is counted in the served share: it is older than the required age, and
 * it was not rejected as impossible, not cancelled, and does not fail by itself. */
static bool is_counted(const tw_simulator_world *world, const tw_simulator_job *job) {
    bool refused = job->last_status == TW_SIMULATOR_MALFORMED ||
                   job->last_status == TW_SIMULATOR_UNPROCESSABLE;
    return job->submitted && !refused && job->cancel_requested_at <= 0 && !job->fails &&
           world->now >= job->first_submitted_at + world->served_age_s;
}

/* Returns whether at least half of the job's tasks are done or on a machine. */
static bool is_served(const tw_simulator_job *job) {
    return job->done_count + progressing_tasks(job) >= MIN_SERVED_SHARE * job->spec.task_count;
}

static bool started_in_time(const tw_simulator_job *job) {
    return job->begun_at > 0 &&
           job->begun_at <= job->first_submitted_at + LARGE_JOB_START_TIMEOUT_S;
}

/* The jobs of one class or team, from a minimum size on. */
typedef struct {
    const char *class, *team; /* NULL matches any */
    double min_size;
} job_group;

static bool is_in_group(const job_group *group, const tw_wire_job *spec) {
    return (!group->class || !strcmp(group->class, spec->job_class)) &&
           (!group->team || !strcmp(group->team, spec->team)) && job_size(spec) >= group->min_size;
}

static void check_served_share(tw_simulator_world *world, const job_group *group,
                               const char *group_kind, const char *name) {
    int counted = 0, served = 0;
    for (int i = 0; i < world->job_count; i++) {
        const tw_simulator_job *job = world->jobs[i];
        if (!is_counted(world, job) || !is_in_group(group, &job->spec)) continue;
        counted++;
        served += is_served(job) && (group->min_size <= 0 || started_in_time(job));
    }
    if (served < MIN_SERVED_SHARE * counted)
        tw_simulator_report_violation(world, "unserved", "%s %s: only %d of %d jobs were served",
                                      group_kind, name, served, counted);
}

/* Returns whether the job is the first counted one of its team (`by_team`) or class. */
static bool is_first_of_group(const tw_simulator_world *world, const tw_simulator_job *job,
                              bool by_team) {
    for (int i = 0; i < job->index; i++) {
        const tw_wire_job *earlier = &world->jobs[i]->spec, *own = &job->spec;
        if (is_counted(world, world->jobs[i]) &&
            !strcmp(by_team ? earlier->team : earlier->job_class,
                    by_team ? own->team : own->job_class))
            return false;
    }
    return true;
}

static job_group largest_jobs_of_class(const tw_simulator_world *world, const char *class) {
    job_group group = {.class = class};
    for (int i = 0; i < world->job_count; i++) {
        const tw_simulator_job *job = world->jobs[i];
        if (is_counted(world, job) && !strcmp(job->spec.job_class, class))
            group.min_size = fmax(group.min_size, LARGE_JOB_SIZE_RATIO * job_size(&job->spec));
    }
    return group;
}

void tw_simulator_judge_served_jobs(tw_simulator_world *world) {
    free(free_capacities(world)); /* called to update the counts of tasks on machines */
    for (int i = 0; i < world->job_count; i++) {
        const tw_simulator_job *job = world->jobs[i];
        const char *class = job->spec.job_class, *team = job->spec.team;
        if (!is_counted(world, job)) continue;
        if (is_first_of_group(world, job, true))
            check_served_share(world, &(job_group){.team = team}, "team", team);
        if (!is_first_of_group(world, job, false)) continue;
        job_group largest = largest_jobs_of_class(world, class);
        check_served_share(world, &(job_group){.class = class}, "class", class);
        check_served_share(world, &largest, "largest of class", class);
    }
}
