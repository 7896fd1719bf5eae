/* Simulates a worker: a machine's tasks, heartbeats and lease, and the commands that it executes.
 *
 * Invariants: a worker executes only commands that carry a fencing token at least as high as any
 * that it has received and that are addressed to its current incarnation. When its lease expires,
 * it ends all its tasks and begins a new incarnation. */
#include "world.h"
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NEVER 1e18
#define FAILURE_DELAY_S                                                                            \
    0.3 /* how long a task runs before it fails on a faulty machine or in a failing job */
#define REDIRECT_DELAY_S 0.1  /* time until a redirected worker sends its next heartbeat */
#define NEXT_NODE_DELAY_S 1.0 /* time until a worker tries the next node after an error answer */
#define MIN_HEARTBEAT_INTERVAL_S 0.5 /* applies to heartbeats that report a change */
#define EPSILON 1e-6

static const char *const stages[] = {"pulling", "running", "flushing", "exited", "waiting"};
const char *const tw_simulator_causes[TW_CAUSE_OTHER] = {
    "", "done", "stopped", "error", "no_room", "busy", "no_such", "peers", "alone"};

bool tw_simulator_task_is_active(const tw_simulator_task *task) {
    return task->stage == TW_TASK_RUNNING || task->stage == TW_TASK_SAVING ||
           task->stage == TW_TASK_WAITING;
}

static cJSON *task_json(const tw_simulator_task *task) {
    char name[TW_WIRE_ID_SIZE + 16];
    cJSON *object = cJSON_CreateObject();
    snprintf(name, sizeof name, "%s/%d", task->job_id, task->index);
    cJSON_AddStringToObject(object, "piece", name);
    cJSON_AddNumberToObject(object, "try", (double)task->attempt);
    cJSON_AddStringToObject(object, "stage", stages[task->stage]);
    if (task->stage == TW_TASK_EXITED)
        cJSON_AddStringToObject(object, "cause", tw_simulator_causes[task->cause]);
    if (task->saved) cJSON_AddBoolToObject(object, "saved", 1);
    return object;
}

char *tw_simulator_worker_next_heartbeat(const tw_simulator_world *world,
                                         tw_simulator_worker *worker) {
    cJSON *object = cJSON_CreateObject();
    cJSON_AddStringToObject(object, "tray", worker->id);
    cJSON_AddStringToObject(object, "endpoint", worker->endpoint);
    cJSON_AddStringToObject(object, "rack", worker->type);
    cJSON_AddStringToObject(object, "yard", worker->zone);
    cJSON_AddBoolToObject(object, "loaner", worker->spot);
    cJSON_AddNumberToObject(object, "shift", (double)worker->incarnation);
    cJSON_AddNumberToObject(object, "tick", (double)++worker->sequence);
    cJSON_AddNumberToObject(object, "baton", (double)worker->fencing_token);
    if (worker->preempted_at >= 0)
        cJSON_AddNumberToObject(
            object, "warningS",
            worker->preempted_at > world->now ? worker->preempted_at - world->now : 0);
    cJSON *tasks = cJSON_AddArrayToObject(object, "pieces");
    for (int i = 0; i < worker->task_count; i++)
        cJSON_AddItemToArray(tasks, task_json(&worker->tasks[i]));
    return tw_simulator_json_print(object);
}

bool tw_simulator_worker_heartbeat_is_due(const tw_simulator_world *world,
                                          const tw_simulator_worker *worker) {
    if (worker->removed || !worker->up || world->now < worker->hung_until || worker->in_flight)
        return false;
    return world->now >= worker->next_heartbeat ||
           (worker->has_unreported_change &&
            world->now >= worker->last_heartbeat + MIN_HEARTBEAT_INTERVAL_S);
}

/* ---- commands ---- */

/* Adds the task's resources to those in use on its machine (sign 1), or subtracts them (-1). */
static void account_task(tw_simulator_worker *worker, const tw_simulator_task *task, double sign) {
    worker->active_tasks += (int)sign;
    if (worker->active_tasks > worker->most_active_tasks)
        worker->most_active_tasks = worker->active_tasks;
    worker->used_cpus += sign * task->job->spec.cores;
    worker->used_gpus += sign * task->job->spec.gpus;
    worker->used_memory += sign * task->job->spec.memory_gb;
}

/* Returns whether the machine's list is long and the job's counts cover the task. */
static bool has_counts(const tw_simulator_worker *worker, const tw_simulator_job *job, int index) {
    return worker->task_count > TW_SIMULATOR_LONG_TASK_LIST && job && job->listed_counts &&
           index >= 0 && index < job->spec.task_count;
}

/* Counts a task that was added to the machine's list. */
static void count_listed_task(const tw_simulator_worker *worker, const tw_simulator_task *task) {
    tw_simulator_job *job = task->job;
    if (!job || task->index < 0 || task->index >= job->spec.task_count) return;
    if (!job->listed_counts) {
        job->listed_counts =
            tw_simulator_allocate((size_t)job->spec.task_count * sizeof *job->listed_counts);
        job->positions =
            tw_simulator_allocate((size_t)job->spec.task_count * sizeof *job->positions);
        snprintf(job->launch_zone, sizeof job->launch_zone, "%s", worker->zone);
    }
    job->listed_counts[task->index]++;
    job->positions[task->index] = (int)(task - worker->tasks);
    job->launched_in_several_zones |= strcmp(job->launch_zone, worker->zone) != 0;
}

static void uncount_listed_task(const tw_simulator_task *task) {
    tw_simulator_job *job = task->job;
    if (job && job->listed_counts && task->index >= 0 && task->index < job->spec.task_count &&
        job->listed_counts[task->index] > 0)
        job->listed_counts[task->index]--;
}

/* Removes an exited task from the machine's list. The last task of the list takes its position. */
static void forget_task(tw_simulator_worker *worker, tw_simulator_task *task) {
    uncount_listed_task(task);
    *task = worker->tasks[--worker->task_count];
    if (task->job && task->job->positions && task->index >= 0 &&
        task->index < task->job->spec.task_count)
        task->job->positions[task->index] = (int)(task - worker->tasks);
    worker->has_unreported_change = true;
}

/* Ends and forgets all tasks, when the lease expires. */
static void forget_all_tasks(tw_simulator_worker *worker) {
    for (int i = 0; i < worker->task_count; i++) uncount_listed_task(&worker->tasks[i]);
    worker->task_count = worker->active_tasks = 0;
    worker->used_cpus = worker->used_gpus = worker->used_memory = 0;
}

void tw_simulator_exit_task(tw_simulator_worker *worker, tw_simulator_task *task, int cause) {
    if (task->is_accounted) account_task(worker, task, -1);
    task->is_accounted = false;
    task->stage = TW_TASK_EXITED;
    task->cause = cause;
    if (task->job) task->job->exits[cause]++;
    worker->has_unreported_change = true;
}

/* Returns the task at the position that its job has noted, if it is that task, else NULL. */
static tw_simulator_task *task_at_noted_position(tw_simulator_worker *worker,
                                                 const tw_simulator_job *job, int index,
                                                 uint64_t attempt) {
    const int position = job->positions[index];
    if (position >= worker->task_count) return NULL;
    tw_simulator_task *task = &worker->tasks[position];
    return task->job == job && task->index == index && task->attempt == attempt ? task : NULL;
}

static tw_simulator_task *find_task(const tw_simulator_world *world, tw_simulator_worker *worker,
                                    const char *job_id, int index, uint64_t attempt) {
    if (worker->task_count > TW_SIMULATOR_LONG_TASK_LIST) {
        const tw_simulator_job *job = tw_simulator_job_find(world, job_id);
        if (has_counts(worker, job, index)) {
            if (!job->listed_counts[index]) return NULL;
            tw_simulator_task *task = task_at_noted_position(worker, job, index, attempt);
            if (task) return task;
        }
    }
    for (int i = 0; i < worker->task_count; i++) {
        tw_simulator_task *task = &worker->tasks[i];
        if (task->index == index && task->attempt == attempt && !strcmp(task->job_id, job_id))
            return task;
    }
    return NULL;
}

static bool has_image(const tw_simulator_worker *worker, const char *name) {
    for (int i = 0; i < worker->image_count; i++)
        if (!strcmp(worker->images[i], name)) return true;
    return false;
}

/* Returns the cause for which the machine rejects the launch of `task`, or TW_CAUSE_NONE if it
 * accepts the launch. */
static int find_refusal(const tw_simulator_world *world, const tw_simulator_worker *worker,
                        const tw_simulator_task *task) {
    if (!task->job || !task->job->submitted || task->index < 0 ||
        task->index >= task->job->spec.task_count)
        return TW_CAUSE_UNKNOWN_TASK;
    const tw_wire_machine_type *type = &world->types[worker->type_index];
    double cpus = task->job->spec.cores, gpus = task->job->spec.gpus,
           memory = task->job->spec.memory_gb;
    const bool uses_sums =
        has_counts(worker, task->job, task->index) && task->job->listed_counts[task->index] == 1;
    if (uses_sums) {
        cpus += worker->used_cpus;
        gpus += worker->used_gpus;
        memory += worker->used_memory;
    }
    for (int i = 0; i < worker->task_count && !uses_sums; i++) {
        const tw_simulator_task *other = &worker->tasks[i];
        if (other == task || other->stage == TW_TASK_EXITED) continue;
        if (other->job == task->job && other->index == task->index) return TW_CAUSE_BUSY;
        cpus += other->job->spec.cores;
        gpus += other->job->spec.gpus;
        memory += other->job->spec.memory_gb;
    }
    bool fits = cpus <= type->cores + EPSILON && gpus <= type->gpus + EPSILON &&
                memory <= type->memory_gb + EPSILON;
    return fits ? TW_CAUSE_NONE : TW_CAUSE_NO_CAPACITY;
}

static void launch_task(tw_simulator_world *world, tw_simulator_worker *worker, const char *job_id,
                        int index, uint64_t attempt, uint64_t fencing_token) {
    worker->tasks = tw_simulator_grow(worker->tasks, worker->task_count, &worker->task_capacity,
                                      sizeof *worker->tasks);
    tw_simulator_task *task = &worker->tasks[worker->task_count++];
    memset(task, 0, sizeof *task);
    snprintf(task->job_id, sizeof task->job_id, "%s", job_id);
    task->job = tw_simulator_job_find(world, job_id);
    task->index = index;
    task->attempt = attempt;
    count_listed_task(worker, task);
    tw_simulator_judge_launch(world, worker, task, fencing_token);
    worker->has_unreported_change = true;
    int cause = find_refusal(world, worker, task);
    if (cause != TW_CAUSE_NONE) {
        tw_simulator_exit_task(worker, task, cause);
        return;
    }
    account_task(worker, task, 1);
    task->is_accounted = true;
    double fetch_s = task->job->spec.image_gb / world->types[worker->type_index].fetch_gb_s;
    task->stage = TW_TASK_FETCHING;
    task->ready_at = world->now + (has_image(worker, task->job->spec.image) ? 0 : fetch_s);
}

/* Returns the run time, in seconds, that a running task has reached. */
static double task_progress_s(const tw_simulator_world *world, const tw_simulator_worker *worker,
                              const tw_simulator_task *task) {
    return task->resumed_from_s + (world->now - task->started_at) / worker->slowdown;
}

static void stop_task(tw_simulator_world *world, tw_simulator_worker *worker,
                      tw_simulator_task *task, double grace_s) {
    const tw_wire_job *spec = &task->job->spec;
    if (spec->gang) {
        tw_simulator_gang_stop_task(world, worker, task, grace_s);
    } else if (task->stage == TW_TASK_RUNNING && spec->checkpoint_s > 0 &&
               grace_s >= spec->save_s) {
        task->stage = TW_TASK_SAVING;
        task->stopped_at_s = task_progress_s(world, worker, task);
        task->end_at = world->now + spec->save_s;
    } else if (task->stage != TW_TASK_SAVING || grace_s <= 0) {
        tw_simulator_exit_task(worker, task, TW_CAUSE_STOPPED);
    }
}

static void execute_command(tw_simulator_world *world, tw_simulator_worker *worker,
                            const cJSON *object, uint64_t fencing_token) {
    char job_id[TW_WIRE_ID_SIZE];
    const char *name = tw_simulator_json_text(object, "piece"), *slash = strrchr(name, '/');
    if (!slash || (size_t)(slash - name) >= sizeof job_id) return;
    snprintf(job_id, sizeof job_id, "%.*s", (int)(slash - name), name);
    int index = tw_simulator_parse_int(slash + 1);
    uint64_t attempt = (uint64_t)tw_simulator_json_number(object, "try");
    const char *verb = tw_simulator_json_text(object, "verb");
    tw_simulator_task *task = find_task(world, worker, job_id, index, attempt);
    if (!strcmp(verb, "launch")) {
        if (!task) launch_task(world, worker, job_id, index, attempt, fencing_token);
    } else if (!strcmp(verb, "kill") && task && task->stage != TW_TASK_EXITED) {
        stop_task(world, worker, task, tw_simulator_json_number(object, "mercyS"));
    } else if (!strcmp(verb, "forget") && task && task->stage == TW_TASK_EXITED) {
        forget_task(worker, task);
    }
}

static void execute_commands(tw_simulator_world *world, tw_simulator_worker *worker,
                             const cJSON *body) {
    const cJSON *object;
    uint64_t fencing_token = (uint64_t)tw_simulator_json_number(body, "baton");
    if (fencing_token > worker->fencing_token) {
        worker->fencing_token = fencing_token;
        worker->has_unreported_change = true;
    }
    cJSON_ArrayForEach(object, cJSON_GetObjectItemCaseSensitive(body, "orders")) {
        execute_command(world, worker, object, fencing_token);
    }
}

void tw_simulator_worker_apply_answer(tw_simulator_world *world, tw_simulator_worker *worker,
                                      double sent, uint64_t incarnation, int status,
                                      const char *body) {
    if (worker->removed || incarnation != worker->incarnation) return;
    cJSON *object = cJSON_Parse(body ? body : "");
    const char *leader = tw_simulator_json_text(object, "foreman");
    double fencing_token = tw_simulator_json_number(object, "baton");
    if (status == TW_SIMULATOR_OK) {
        if (fencing_token > 0 && (uint64_t)fencing_token >= worker->fencing_token) {
            if (sent > worker->lease_started_at) worker->lease_started_at = sent;
            execute_commands(world, worker, object);
        }
    } else if (status == TW_SIMULATOR_REDIRECTED && *leader) {
        for (int i = 0; i < world->node_count; i++)
            if (!strcmp(world->nodes[i], leader)) worker->node = i;
        worker->next_heartbeat = world->now + REDIRECT_DELAY_S;
    } else {
        worker->node = (worker->node + 1) % world->node_count;
        worker->next_heartbeat = world->now + NEXT_NODE_DELAY_S;
    }
    cJSON_Delete(object);
}

int tw_simulator_worker_handle_request(tw_simulator_world *world, tw_simulator_worker *worker,
                                       const char *method, const char *path, const char *body,
                                       char **out) {
    int status = TW_SIMULATOR_OK;
    if (!strcmp(method, "POST") && !strcmp(path, "/orders")) {
        cJSON *object = cJSON_Parse(body);
        if ((uint64_t)tw_simulator_json_number(object, "baton") < worker->fencing_token ||
            (uint64_t)tw_simulator_json_number(object, "shift") != worker->incarnation)
            status = TW_SIMULATOR_CONFLICT;
        else
            execute_commands(world, worker, object);
        cJSON_Delete(object);
    }
    *out = tw_simulator_worker_next_heartbeat(world, worker);
    return status;
}

/* ---- passage of time ---- */

/* Stores a task's checkpoint with its job, so that it outlives the machine. */
static void save_progress(tw_simulator_job *job, int index, double reached_s) {
    if (!job->saved)
        job->saved = tw_simulator_allocate((size_t)job->spec.task_count * sizeof *job->saved);
    job->saved[index] = fmax(job->saved[index], reached_s);
}

/* Stores the last periodic checkpoint that a running batch task has passed. */
static void save_periodic_checkpoint(const tw_simulator_world *world,
                                     const tw_simulator_worker *worker,
                                     const tw_simulator_task *task) {
    const tw_wire_job *spec = &task->job->spec;
    if (spec->checkpoint_s <= 0 || spec->service) return;
    double intervals =
        floor((task_progress_s(world, worker, task) - task->resumed_from_s) / spec->checkpoint_s);
    if (intervals > 0)
        save_progress(task->job, task->index,
                      task->resumed_from_s + intervals * spec->checkpoint_s);
}

static void start_task(tw_simulator_world *world, tw_simulator_worker *worker,
                       tw_simulator_task *task) {
    tw_simulator_job *job = task->job;
    bool fails = worker->faulty || job->fails;
    task->stage = TW_TASK_RUNNING;
    worker->has_unreported_change = true;
    task->started_at = world->now;
    task->resumed_from_s = job->saved ? fmin(job->saved[task->index], job->run_s) : 0;
    task->end_at = job->spec.service
                       ? NEVER
                       : world->now + (job->run_s - task->resumed_from_s) * worker->slowdown;
    if (fails) task->end_at = world->now + FAILURE_DELAY_S;
    if (job->done[task->index]) task->end_at = world->now;
    if (!fails) job->started++;
    if (job->begun_at <= 0) job->begun_at = world->now;
    tw_simulator_judge_task_start(world, worker, task);
}

void tw_simulator_complete_task(tw_simulator_world *world, tw_simulator_job *job, int index) {
    if (job->done[index]) return;
    job->done[index] = 1;
    if (++job->done_count == job->spec.task_count && world->job_ended)
        world->job_ended(world->context, job);
}

static void advance_task(tw_simulator_world *world, tw_simulator_worker *worker,
                         tw_simulator_task *task) {
    tw_simulator_job *job = task->job;
    if (task->stage == TW_TASK_FETCHING && world->now >= task->ready_at) {
        if (!has_image(worker, job->spec.image) && worker->image_count < TW_SIMULATOR_MAX_IMAGES)
            snprintf(worker->images[worker->image_count++], TW_SIMULATOR_NAME_SIZE, "%s",
                     job->spec.image);
        if (job->spec.gang)
            tw_simulator_gang_image_fetched(world, worker, task);
        else
            start_task(world, worker, task);
    }
    if (job && job->spec.gang) {
        tw_simulator_gang_task_advance(world, worker, task);
        return;
    }
    if (task->stage == TW_TASK_RUNNING) save_periodic_checkpoint(world, worker, task);
    if (task->stage == TW_TASK_SAVING && world->now >= task->end_at) {
        task->saved = 1;
        save_progress(job, task->index, fmin(task->stopped_at_s, job->run_s));
        tw_simulator_exit_task(worker, task, TW_CAUSE_STOPPED);
    }
    if (task->stage == TW_TASK_RUNNING && world->now >= task->end_at) {
        bool fails = worker->faulty || job->fails;
        tw_simulator_exit_task(worker, task, fails ? TW_CAUSE_ERROR : TW_CAUSE_DONE);
        if (!fails) tw_simulator_complete_task(world, job, task->index);
    }
}

void tw_simulator_worker_advance(tw_simulator_world *world, tw_simulator_worker *worker) {
    if (worker->removed) return;
    if (!worker->up) {
        if (world->now < worker->up_at) return;
        worker->up = true;
        worker->lease_started_at = world->now;
        worker->next_heartbeat = world->now;
        worker->node = worker->endpoint[strlen("10.1.0.")] % world->node_count;
    }
    bool lease_expired = world->now > worker->lease_started_at + world->lease_s;
    if (world->now < worker->hung_until) {
        /* A hung machine's tasks, too, may run only while its lease is valid. */
        if (lease_expired) forget_all_tasks(worker);
        return;
    }
    if (lease_expired) {
        forget_all_tasks(worker);
        worker->incarnation++;
        worker->lease_started_at = world->now;
        worker->has_unreported_change = true;
    }
    for (int i = 0; i < worker->task_count; i++) advance_task(world, worker, &worker->tasks[i]);
}
