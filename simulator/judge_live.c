/* The judge of what must go on: once all troubles are over, questions are answered, no job waits
 * beside a machine that has room for it, and at the end most of every kind of work is served. */
#include "world.h"
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define UNANSWERED_S 75.0
#define STUCK_S 90.0
#define LARGEST_BEGIN_S 240.0
#define LEAST_SERVED 0.5
#define LARGEST_SHARE 0.9 /* of the size of a class's largest job */
#define GPU_WEIGHT 10.0   /* in sizes of jobs, against a core */
#define EPSILON 1e-6

/* ---- unanswered ---- */

static void judge_answers(tw_simulator_world *world, const tw_simulator_job *job) {
    double since = fmax(world->faults_end_at, fmax(job->accepted_at, job->answered_at));
    if (job->accepted && world->now > since + UNANSWERED_S)
        tw_simulator_rule_broken(world, "unanswered", "%s: no question is answered since %.2f",
                                 job->spec.id, since);
}

/* ---- stuck ---- */

typedef struct {
    double cpus, gpus, memory;
} free_capacity;

static bool is_on_machine(const tw_simulator_task *task) {
    return task->job && task->stage != TW_TASK_EXITED;
}

static bool has_begun(const tw_simulator_task *task) {
    return task->stage != TW_TASK_FETCHING && task->stage != TW_TASK_WAITING;
}

/* What each machine can still take (less than nothing: no task may start there). Counts each job's
 * tasks on machines. */
static free_capacity *free_capacities(tw_simulator_world *world) {
    free_capacity *rooms = tw_simulator_allocate((size_t)(world->worker_count + 1) * sizeof *rooms);
    for (int i = 0; i < world->job_count; i++)
        world->jobs[i]->tasks_on_machines = world->jobs[i]->tasks_before_gang_start = 0;
    for (int i = 0; i < world->worker_count; i++) {
        const tw_simulator_worker *worker = world->workers[i];
        const tw_wire_machine_type *type = &world->types[worker->type_index];
        rooms[i] = (free_capacity){type->cores, type->gpus, type->memory_gb};
        if (worker->gone || !worker->up || worker->faulty || worker->preempted_at >= 0 ||
            world->now < worker->hung_until)
            rooms[i].cpus = -1;
        for (int k = 0; k < worker->task_count && !worker->gone; k++) {
            tw_simulator_job *job = worker->tasks[k].job;
            if (!is_on_machine(&worker->tasks[k])) continue;
            job->tasks_on_machines++;
            job->tasks_before_gang_start += job->spec.gang && !has_begun(&worker->tasks[k]);
            rooms[i].cpus -= job->spec.cores;
            rooms[i].gpus -= job->spec.gpus;
            rooms[i].memory -= job->spec.memory_gb;
        }
    }
    return rooms;
}

static bool is_allowed(const tw_simulator_worker *worker, const tw_wire_job *spec) {
    bool type = spec->machine_type_count < 0;
    for (int i = 0; i < spec->machine_type_count; i++)
        type |= !strcmp(spec->machine_types[i], worker->type);
    return type && (!worker->spot || spec->spot) &&
           (!*spec->zone || !strcmp(spec->zone, worker->zone));
}

/* How many tasks of a job a machine has room for. */
static int tasks_that_fit(const free_capacity *capacity, const tw_wire_job *spec, int wanted) {
    int count = 0;
    for (free_capacity left = *capacity; count < wanted; count++) {
        left.cpus -= spec->cores;
        left.gpus -= spec->gpus;
        left.memory -= spec->memory_gb;
        if (left.cpus < -EPSILON || left.gpus < -EPSILON || left.memory < -EPSILON) break;
    }
    return count;
}

/* Whether the machines of a zone (NULL: of all zones) have room for so many tasks. */
static bool has_room(const tw_simulator_world *world, const free_capacity *rooms,
                     const tw_wire_job *spec, const char *zone, int wanted) {
    int count = 0;
    for (int i = 0; i < world->worker_count && count < wanted; i++) {
        const tw_simulator_worker *worker = world->workers[i];
        if (rooms[i].cpus < 0 || !is_allowed(worker, spec) ||
            (zone && strcmp(zone, worker->zone) != 0))
            continue;
        count += tasks_that_fit(&rooms[i], spec, wanted - count);
    }
    return count >= wanted;
}

/* So many tasks must start together, or one. Those of a gang that wait already have their room; in
 * one zone they may be in the wrong one. */
static int tasks_at_once(const tw_simulator_job *job) {
    const tw_wire_job *spec = &job->spec;
    if (spec->gang && !spec->single_zone) return spec->task_count - job->tasks_before_gang_start;
    return spec->gang || (spec->service && spec->single_zone) ? spec->task_count : 1;
}

static bool could_start(const tw_simulator_world *world, const free_capacity *rooms,
                        const tw_simulator_job *job) {
    const tw_wire_job *spec = &job->spec;
    int wanted = tasks_at_once(job);
    if (wanted > 1 && spec->spread) return false; /* not judged */
    if (!spec->single_zone || wanted == 1) return has_room(world, rooms, spec, NULL, wanted);
    for (int i = 0; i < world->worker_count; i++)
        if (has_room(world, rooms, spec, world->workers[i]->zone, wanted)) return true;
    return false;
}

static bool is_under_limit(const tw_simulator_world *world, const tw_simulator_job *job) {
    const tw_wire_job *spec = &job->spec;
    int wanted = tasks_at_once(job), i = 0;
    while (i < world->team_count && strcmp(world->teams[i].name, spec->team) != 0) i++;
    if (i == world->team_count) return false;
    double cpus = wanted * spec->cores, gpus = wanted * spec->gpus;
    for (int k = 0; k < world->worker_count; k++) {
        const tw_simulator_worker *worker = world->workers[k];
        for (int t = 0; t < worker->task_count && !worker->gone; t++) {
            if (!is_on_machine(&worker->tasks[t])) continue;
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

/* Tasks on machines that do something useful there, or will by themselves. */
static int useful_tasks(const tw_simulator_job *job) {
    return job->tasks_on_machines - job->tasks_before_gang_start;
}

/* Accepted, not cancelled, not over, and no task of it is on a machine, or only such that wait for
 * the rest of their gang. */
static bool is_waiting(const tw_simulator_job *job) {
    return job->accepted && job->cancel_requested_at <= 0 && !job->fails && !job->reported_end &&
           job->done_count < job->spec.task_count && !useful_tasks(job);
}

static void judge_waiting(tw_simulator_world *world, tw_simulator_job *job,
                          const free_capacity *rooms) {
    bool waits = world->now >= world->faults_end_at && is_waiting(job) &&
                 could_start(world, rooms, job) && is_under_limit(world, job);
    if (!waits)
        job->placeable_since = 0;
    else if (job->placeable_since <= 0)
        job->placeable_since = world->now;
    else if (world->now > job->placeable_since + STUCK_S)
        tw_simulator_rule_broken(world, "stuck", "%s waits since %.2f while a machine has room",
                                 job->spec.id, job->placeable_since);
}

void tw_simulator_judge_live(tw_simulator_world *world) {
    free_capacity *rooms = free_capacities(world);
    for (int i = 0; i < world->job_count; i++) {
        judge_answers(world, world->jobs[i]);
        judge_waiting(world, world->jobs[i], rooms);
    }
    free(rooms);
}

/* ---- unserved ---- */

static double size_of_job(const tw_wire_job *spec) {
    return spec->task_count * (spec->cores + GPU_WEIGHT * spec->gpus);
}

/* Jobs that count: old enough, not refused as impossible, not cancelled, without a mistake. */
static bool counts(const tw_simulator_world *world, const tw_simulator_job *job) {
    bool refused = job->last_status == TW_SIMULATOR_MALFORMED ||
                   job->last_status == TW_SIMULATOR_UNPROCESSABLE;
    return job->submitted && !refused && job->cancel_requested_at <= 0 && !job->fails &&
           world->now >= job->first_submitted_at + world->served_age_s;
}

/* At least half of its tasks are done or on a machine. */
static bool is_served(const tw_simulator_job *job) {
    return job->done_count + useful_tasks(job) >= LEAST_SERVED * job->spec.task_count;
}

static bool began_in_time(const tw_simulator_job *job) {
    return job->begun_at > 0 && job->begun_at <= job->first_submitted_at + LARGEST_BEGIN_S;
}

/* Jobs alike: of one class or team; only the largest of a class, if least_size is above 0. */
typedef struct {
    const char *class, *team; /* NULL: any */
    double least_size;
} job_group;

static bool is_of(const job_group *group, const tw_wire_job *spec) {
    return (!group->class || !strcmp(group->class, spec->job_class)) &&
           (!group->team || !strcmp(group->team, spec->team)) &&
           size_of_job(spec) >= group->least_size;
}

static void judge_kind(tw_simulator_world *world, const job_group *group, const char *what,
                       const char *name) {
    int all = 0, served = 0;
    for (int i = 0; i < world->job_count; i++) {
        const tw_simulator_job *job = world->jobs[i];
        if (!counts(world, job) || !is_of(group, &job->spec)) continue;
        all++;
        served += is_served(job) && (group->least_size <= 0 || began_in_time(job));
    }
    if (served < LEAST_SERVED * all)
        tw_simulator_rule_broken(world, "unserved", "%s %s: %d of %d jobs", what, name, served,
                                 all);
}

/* The first that counts of its class or team. */
static bool is_first(const tw_simulator_world *world, const tw_simulator_job *job, bool by_team) {
    for (int i = 0; i < job->index; i++) {
        const tw_wire_job *earlier = &world->jobs[i]->spec, *own = &job->spec;
        if (counts(world, world->jobs[i]) && !strcmp(by_team ? earlier->team : earlier->job_class,
                                                     by_team ? own->team : own->job_class))
            return false;
    }
    return true;
}

static job_group largest_of(const tw_simulator_world *world, const char *class) {
    job_group group = {.class = class};
    for (int i = 0; i < world->job_count; i++) {
        const tw_simulator_job *job = world->jobs[i];
        if (counts(world, job) && !strcmp(job->spec.job_class, class))
            group.least_size = fmax(group.least_size, LARGEST_SHARE * size_of_job(&job->spec));
    }
    return group;
}

void tw_simulator_judge_served(tw_simulator_world *world) {
    free(free_capacities(world)); /* counts tasks on machines */
    for (int i = 0; i < world->job_count; i++) {
        const tw_simulator_job *job = world->jobs[i];
        const char *class = job->spec.job_class, *team = job->spec.team;
        if (!counts(world, job)) continue;
        if (is_first(world, job, true)) judge_kind(world, &(job_group){.team = team}, "team", team);
        if (!is_first(world, job, false)) continue;
        job_group largest = largest_of(world, class);
        judge_kind(world, &(job_group){.class = class}, "class", class);
        judge_kind(world, &largest, "largest of class", class);
    }
}
