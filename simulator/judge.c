/* The judge: it checks the rules of the protocol from outside the controllers, by what tasks run on
 * machines and what users are told. */
#include "world.h"
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#define EPSILON 1e-6

void tw_simulator_rule_broken(tw_simulator_world *world, const char *rule, const char *format,
                              ...) {
    if (*world->rule) return;
    va_list arguments;
    snprintf(world->rule, sizeof world->rule, "%s", rule);
    int count = snprintf(world->detail, sizeof world->detail, "t=%.2f %s ", world->now, rule);
    va_start(arguments, format);
    vsnprintf(world->detail + count, sizeof world->detail - (size_t)count, format, arguments);
    va_end(arguments);
}

/* ---- starts ---- */

/* What runs at the moment of a start. */
typedef struct {
    double cpus, gpus;          /* of the task's team */
    int same_zone, other_zones; /* tasks of its job, by zone */
} team_usage;

static team_usage measure_usage(tw_simulator_world *world, const tw_simulator_worker *worker,
                                const tw_simulator_task *task) {
    team_usage used = {0};
    const char *team = task->job->spec.team;
    for (int i = 0; i < world->worker_count; i++) {
        const tw_simulator_worker *other_worker = world->workers[i];
        for (int k = 0; k < other_worker->task_count && !other_worker->gone; k++) {
            const tw_simulator_task *other = &other_worker->tasks[k];
            if (!tw_simulator_task_active(other)) continue;
            if (other->job == task->job || !strcmp(other->job->spec.team, team)) {
                used.cpus += other->job->spec.cores;
                used.gpus += other->job->spec.gpus;
            }
            if (other->job != task->job) continue;
            if (other->index == task->index && other != task)
                tw_simulator_rule_broken(world, "ran_twice", "%s/%d on %s and %s", task->job_id,
                                         task->index, other_worker->id, worker->id);
            if (!strcmp(other_worker->zone, worker->zone))
                used.same_zone++;
            else
                used.other_zones++;
        }
    }
    return used;
}

static void judge_place(tw_simulator_world *world, const tw_simulator_worker *worker,
                        const tw_simulator_task *task, const team_usage *used) {
    const tw_wire_job *spec = &task->job->spec;
    bool allowed = spec->machine_type_count < 0;
    for (int i = 0; i < spec->machine_type_count; i++)
        allowed |= !strcmp(spec->machine_types[i], worker->type);
    if (!allowed || (worker->spot && !spec->spot) ||
        (*spec->zone && strcmp(spec->zone, worker->zone) != 0))
        tw_simulator_rule_broken(world, "wrong_place", "%s/%d on %s", task->job_id, task->index,
                                 worker->id);
    if (spec->spread && used->same_zone > (spec->task_count + 1) / 2)
        tw_simulator_rule_broken(world, "wrong_place", "%d of %s in %s", used->same_zone,
                                 task->job_id, worker->zone);
    if (spec->single_zone && used->other_zones)
        tw_simulator_rule_broken(world, "wrong_place", "%s in two zones", task->job_id);
}

static void judge_quota(tw_simulator_world *world, const char *team, const team_usage *used) {
    for (int i = 0; i < world->team_count; i++) {
        const tw_simulator_team *team_limits = &world->teams[i];
        if (strcmp(team_limits->name, team) != 0) continue;
        if ((team_limits->gpus_max > 0 && used->gpus > team_limits->gpus_max + EPSILON) ||
            (team_limits->cpus_max > 0 && used->cpus > team_limits->cpus_max + EPSILON))
            tw_simulator_rule_broken(world, "quota", "%s", team);
    }
}

static bool is_past_cancel(const tw_simulator_world *world, const tw_simulator_job *job) {
    return job->told_cancel_at > 0 && world->now > job->told_cancel_at + world->cancel_s;
}

void tw_simulator_judge_start(tw_simulator_world *world, const tw_simulator_worker *worker,
                              const tw_simulator_task *task) {
    team_usage used = measure_usage(world, worker, task);
    judge_place(world, worker, task, &used);
    if (is_past_cancel(world, task->job))
        tw_simulator_rule_broken(world, "ran_cancelled", "%s/%d starts", task->job_id, task->index);
    judge_quota(world, task->job->spec.team, &used);
}

void tw_simulator_judge_now(tw_simulator_world *world) {
    for (int i = 0; i < world->worker_count; i++) {
        const tw_simulator_worker *worker = world->workers[i];
        for (int k = 0; k < worker->task_count && !worker->gone; k++) {
            const tw_simulator_task *task = &worker->tasks[k];
            if (tw_simulator_task_active(task) && is_past_cancel(world, task->job))
                tw_simulator_rule_broken(world, "ran_cancelled", "%s/%d on %s", task->job_id,
                                         task->index, worker->id);
        }
    }
}

/* ---- answers to users ---- */

/* Whether an answer that contradicts what was told at `told` is older than it, or only crossed
 * it. */
static bool is_older(tw_simulator_world *world, double sent, double told) {
    if (sent > told) return true;
    world->crossings++;
    return false;
}

/* A job that was accepted is refused or not known. */
static void judge_forgotten(tw_simulator_world *world, const tw_simulator_job *job, int kind,
                            double sent, int status) {
    bool refused = kind == TW_SIMULATOR_SUBMIT &&
                   (status == TW_SIMULATOR_MALFORMED || status == TW_SIMULATOR_IMPOSSIBLE);
    bool unknown = kind != TW_SIMULATOR_SUBMIT && status == TW_SIMULATOR_UNKNOWN;
    if (!job->accepted || (!refused && !unknown)) return;
    if (is_older(world, sent, job->accepted_at))
        tw_simulator_rule_broken(world, "forgotten", "%s is answered %d", job->spec.id, status);
}

void tw_simulator_judge_impossible_job(tw_simulator_world *world, const char *id, int status) {
    if (status == TW_SIMULATOR_OK || status == TW_SIMULATOR_CREATED)
        tw_simulator_rule_broken(world, "took_bad", "%s can't run and is answered %d", id, status);
}

static void judge_final_state(tw_simulator_world *world, tw_simulator_job *job, int stage) {
    if (stage == TW_JOB_CANCELLED && job->cancel_asked_at <= 0)
        tw_simulator_rule_broken(world, "went_back", "%s is called aborted, nobody asked",
                                 job->spec.id);
    for (int i = 0; stage == TW_JOB_DONE && i < job->spec.task_count; i++)
        if (!job->done[i]) tw_simulator_rule_broken(world, "not_done", "%s/%d", job->spec.id, i);
    if (!job->told_over) job->told_over_at = world->now;
    job->told_over = stage;
    if (stage == TW_JOB_CANCELLED && job->told_cancel_at <= 0) job->told_cancel_at = world->now;
}

/* A job is done when all of its tasks are, whoever says so and however long it has been. */
static void judge_count(tw_simulator_world *world, const tw_simulator_job *job,
                        const cJSON *answer) {
    const cJSON *done = cJSON_GetObjectItemCaseSensitive(answer, "done");
    if (cJSON_IsNumber(done) && done->valueint != job->spec.task_count)
        tw_simulator_rule_broken(world, "went_back", "%s is called done with %d tasks of %d",
                                 job->spec.id, done->valueint, job->spec.task_count);
}

void tw_simulator_judge_told(tw_simulator_world *world, tw_simulator_job *job, const char *id,
                             int kind, double sent, int status, const char *body) {
    if (!job || !job->submitted) {
        if (status == TW_SIMULATOR_OK && kind != TW_SIMULATOR_SUBMIT)
            tw_simulator_rule_broken(world, "invented", "%s", id);
        return;
    }
    judge_forgotten(world, job, kind, sent, status);
    if (status != TW_SIMULATOR_OK && status != TW_SIMULATOR_CREATED) return;
    cJSON *answer = cJSON_Parse(body);
    const char *said = tw_simulator_json_text(answer, "stage");
    job->answered_at = world->now;
    if (!job->accepted) job->accepted_at = world->now;
    job->accepted = true;
    int stage = !strcmp(said, "done")      ? TW_JOB_DONE
                : !strcmp(said, "aborted") ? TW_JOB_CANCELLED
                                           : 0;
    /* Two final states of one job contradict each other, in whatever order they are told. */
    bool other_end = stage && job->told_over && stage != job->told_over;
    if (other_end || (!stage && job->told_over && is_older(world, sent, job->told_over_at)))
        tw_simulator_rule_broken(world, "went_back", "%s is called %s", id, said);
    if (stage) judge_final_state(world, job, stage);
    if (stage == TW_JOB_DONE) judge_count(world, job, answer);
    cJSON_Delete(answer);
}
