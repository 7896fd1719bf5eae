/* Stand-in for a worker: the tasks of a machine, its reports, leases and commands. */
#include "world.h"
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NEVER 1e18
#define FAILS_AFTER_S 0.3   /* a task on a faulty machine, or of a job with a mistake */
#define REDIRECT_S 0.1      /* until a worker reports to the node it was sent to */
#define NEXT_NODE_S 1.0     /* until it tries the next node */
#define CHANGE_REPORT_S 0.5 /* least time between reports */
#define EPSILON 1e-6

static const char *const stages[] = {"pulling", "running", "flushing", "exited", "waiting"};
const char *const tw_simulator_causes[TW_CAUSE_OTHER] = {
    "", "done", "stopped", "error", "no_room", "busy", "no_such", "peers", "alone"};

bool tw_simulator_task_active(const tw_simulator_task *t) {
    return t->stage == TW_TASK_RUNNING || t->stage == TW_TASK_SAVING || t->stage == TW_TASK_WAITING;
}

static cJSON *task_json(const tw_simulator_task *t) {
    char name[TW_WIRE_ID_SIZE + 16];
    cJSON *o = cJSON_CreateObject();
    snprintf(name, sizeof name, "%s/%d", t->job_id, t->index);
    cJSON_AddStringToObject(o, "piece", name);
    cJSON_AddNumberToObject(o, "try", (double)t->attempt);
    cJSON_AddStringToObject(o, "stage", stages[t->stage]);
    if (t->stage == TW_TASK_EXITED)
        cJSON_AddStringToObject(o, "cause", tw_simulator_causes[t->cause]);
    if (t->saved) cJSON_AddBoolToObject(o, "saved", 1);
    return o;
}

char *tw_simulator_worker_report(const tw_simulator_world *w, tw_simulator_worker *x) {
    cJSON *o = cJSON_CreateObject();
    cJSON_AddStringToObject(o, "tray", x->id);
    cJSON_AddStringToObject(o, "endpoint", x->endpoint);
    cJSON_AddStringToObject(o, "rack", x->type);
    cJSON_AddStringToObject(o, "yard", x->zone);
    cJSON_AddBoolToObject(o, "loaner", x->spot);
    cJSON_AddNumberToObject(o, "shift", (double)x->session);
    cJSON_AddNumberToObject(o, "tick", (double)++x->tick);
    cJSON_AddNumberToObject(o, "baton", (double)x->token);
    if (x->warned_at >= 0)
        cJSON_AddNumberToObject(o, "warningS", x->warned_at > w->now ? x->warned_at - w->now : 0);
    cJSON *tasks = cJSON_AddArrayToObject(o, "pieces");
    for (int i = 0; i < x->ntasks; i++) cJSON_AddItemToArray(tasks, task_json(&x->tasks[i]));
    return tw_simulator_json_print(o);
}

bool tw_simulator_worker_due(const tw_simulator_world *w, const tw_simulator_worker *x) {
    if (x->gone || !x->up || w->now < x->hung_until || x->in_flight) return false;
    return w->now >= x->next_report || (x->changed && w->now >= x->last_report + CHANGE_REPORT_S);
}

/* ---- commands ---- */

void tw_simulator_task_exit(tw_simulator_worker *x, tw_simulator_task *t, int cause) {
    t->stage = TW_TASK_EXITED;
    t->cause = cause;
    if (t->job) t->job->exits[cause]++;
    x->changed = true;
}

static tw_simulator_task *task_find(tw_simulator_worker *x, const char *job_id, int index,
                                    uint64_t attempt) {
    for (int i = 0; i < x->ntasks; i++) {
        tw_simulator_task *t = &x->tasks[i];
        if (t->index == index && t->attempt == attempt && !strcmp(t->job_id, job_id)) return t;
    }
    return NULL;
}

static int has_image(const tw_simulator_worker *x, const char *name) {
    for (int i = 0; i < x->nimages; i++)
        if (!strcmp(x->images[i], name)) return 1;
    return 0;
}

/* Why a machine refuses to start its newest task; TW_CAUSE_NONE: it doesn't. */
static int refusal(const tw_simulator_world *w, const tw_simulator_worker *x,
                   const tw_simulator_task *t) {
    if (!t->job || !t->job->submitted || t->index < 0 || t->index >= t->job->spec.task_count)
        return TW_CAUSE_UNKNOWN_TASK;
    const tw_wire_machine_type *f = &w->types[x->type_index];
    double cpus = t->job->spec.cores, gpus = t->job->spec.gpus, memory = t->job->spec.memory_gb;
    for (int i = 0; i < x->ntasks; i++) {
        const tw_simulator_task *other = &x->tasks[i];
        if (other == t || other->stage == TW_TASK_EXITED) continue;
        if (other->job == t->job && other->index == t->index) return TW_CAUSE_BUSY;
        cpus += other->job->spec.cores;
        gpus += other->job->spec.gpus;
        memory += other->job->spec.memory_gb;
    }
    bool fits =
        cpus <= f->cores + EPSILON && gpus <= f->gpus + EPSILON && memory <= f->memory_gb + EPSILON;
    return fits ? TW_CAUSE_NONE : TW_CAUSE_NO_ROOM;
}

static void launch(tw_simulator_world *w, tw_simulator_worker *x, const char *job_id, int index,
                   uint64_t attempt) {
    x->tasks = tw_simulator_grow(x->tasks, x->ntasks, &x->tasks_cap, sizeof *x->tasks);
    tw_simulator_task *t = &x->tasks[x->ntasks++];
    memset(t, 0, sizeof *t);
    snprintf(t->job_id, sizeof t->job_id, "%s", job_id);
    t->job = tw_simulator_job_find(w, job_id);
    t->index = index;
    t->attempt = attempt;
    x->changed = true;
    int cause = refusal(w, x, t);
    if (cause != TW_CAUSE_NONE) {
        tw_simulator_task_exit(x, t, cause);
        return;
    }
    double fetch_s = t->job->spec.image_gb / w->types[x->type_index].fetch_gb_s;
    t->stage = TW_TASK_FETCHING;
    t->ready_at = w->now + (has_image(x, t->job->spec.image) ? 0 : fetch_s);
}

/* Run time that a task has reached. */
static double progress(const tw_simulator_world *w, const tw_simulator_worker *x,
                       const tw_simulator_task *t) {
    return t->from_s + (w->now - t->started_at) / x->slow;
}

static void stop(tw_simulator_world *w, tw_simulator_worker *x, tw_simulator_task *t,
                 double grace_s) {
    const tw_wire_job *spec = &t->job->spec;
    if (spec->gang) {
        tw_simulator_gang_stop(w, x, t, grace_s);
    } else if (t->stage == TW_TASK_RUNNING && spec->checkpoint_s > 0 && grace_s >= spec->save_s) {
        t->stage = TW_TASK_SAVING;
        t->stopped_at_s = progress(w, x, t);
        t->end_at = w->now + spec->save_s;
    } else if (t->stage != TW_TASK_SAVING || grace_s <= 0) {
        tw_simulator_task_exit(x, t, TW_CAUSE_STOPPED);
    }
}

static void command(tw_simulator_world *w, tw_simulator_worker *x, const cJSON *o) {
    char job_id[TW_WIRE_ID_SIZE];
    const char *name = tw_simulator_json_text(o, "piece"), *slash = strrchr(name, '/');
    if (!slash || (size_t)(slash - name) >= sizeof job_id) return;
    snprintf(job_id, sizeof job_id, "%.*s", (int)(slash - name), name);
    int index = tw_simulator_int(slash + 1);
    uint64_t attempt = (uint64_t)tw_simulator_json_number(o, "try");
    const char *verb = tw_simulator_json_text(o, "verb");
    tw_simulator_task *t = task_find(x, job_id, index, attempt);
    if (!strcmp(verb, "launch")) {
        if (!t) launch(w, x, job_id, index, attempt);
    } else if (!strcmp(verb, "kill") && t && t->stage != TW_TASK_EXITED) {
        stop(w, x, t, tw_simulator_json_number(o, "mercyS"));
    } else if (!strcmp(verb, "forget") && t && t->stage == TW_TASK_EXITED) {
        *t = x->tasks[--x->ntasks];
        x->changed = true;
    }
}

static void commands(tw_simulator_world *w, tw_simulator_worker *x, const cJSON *body) {
    const cJSON *o;
    uint64_t token = (uint64_t)tw_simulator_json_number(body, "baton");
    if (token > x->token) {
        x->token = token;
        x->changed = true;
    }
    cJSON_ArrayForEach(o, cJSON_GetObjectItemCaseSensitive(body, "orders")) { command(w, x, o); }
}

void tw_simulator_worker_answer(tw_simulator_world *w, tw_simulator_worker *x, double sent,
                                uint64_t session, int status, const char *body) {
    if (x->gone || session != x->session) return;
    cJSON *o = cJSON_Parse(body ? body : "");
    const char *leader = tw_simulator_json_text(o, "foreman");
    double token = tw_simulator_json_number(o, "baton");
    if (status == TW_SIMULATOR_OK) {
        if (token > 0 && (uint64_t)token >= x->token) {
            if (sent > x->lease_from) x->lease_from = sent;
            commands(w, x, o);
        }
    } else if (status == TW_SIMULATOR_ELSEWHERE && *leader) {
        for (int i = 0; i < w->nnodes; i++)
            if (!strcmp(w->nodes[i], leader)) x->node = i;
        x->next_report = w->now + REDIRECT_S;
    } else {
        x->node = (x->node + 1) % w->nnodes;
        x->next_report = w->now + NEXT_NODE_S;
    }
    cJSON_Delete(o);
}

int tw_simulator_worker_request(tw_simulator_world *w, tw_simulator_worker *x, const char *method,
                                const char *path, const char *body, char **out) {
    int status = TW_SIMULATOR_OK;
    if (!strcmp(method, "POST") && !strcmp(path, "/orders")) {
        cJSON *o = cJSON_Parse(body);
        if ((uint64_t)tw_simulator_json_number(o, "baton") < x->token ||
            (uint64_t)tw_simulator_json_number(o, "shift") != x->session)
            status = TW_SIMULATOR_CONFLICT;
        else
            commands(w, x, o);
        cJSON_Delete(o);
    }
    *out = tw_simulator_worker_report(w, x);
    return status;
}

/* ---- time ---- */

/* Checkpoints outlive the machine. */
static void save(tw_simulator_job *job, int index, double reached_s) {
    if (!job->saved)
        job->saved = tw_simulator_zeroed((size_t)job->spec.task_count * sizeof *job->saved);
    job->saved[index] = fmax(job->saved[index], reached_s);
}

/* A running task saves after each interval of progress. */
static void save_by_itself(const tw_simulator_world *w, const tw_simulator_worker *x,
                           const tw_simulator_task *t) {
    const tw_wire_job *spec = &t->job->spec;
    if (spec->checkpoint_s <= 0 || spec->service) return;
    double intervals = floor((progress(w, x, t) - t->from_s) / spec->checkpoint_s);
    if (intervals > 0) save(t->job, t->index, t->from_s + intervals * spec->checkpoint_s);
}

static void task_start(tw_simulator_world *w, tw_simulator_worker *x, tw_simulator_task *t) {
    tw_simulator_job *job = t->job;
    bool fails = x->faulty || job->fails;
    t->stage = TW_TASK_RUNNING;
    x->changed = true;
    t->started_at = w->now;
    t->from_s = job->saved ? fmin(job->saved[t->index], job->run_s) : 0;
    t->end_at = job->spec.service ? NEVER : w->now + (job->run_s - t->from_s) * x->slow;
    if (fails) t->end_at = w->now + FAILS_AFTER_S;
    if (job->done[t->index]) t->end_at = w->now;
    if (!fails) job->started++;
    if (job->begun_at <= 0) job->begun_at = w->now;
    tw_simulator_judge_start(w, x, t);
}

void tw_simulator_task_done(tw_simulator_world *w, tw_simulator_job *job, int index) {
    if (job->done[index]) return;
    job->done[index] = 1;
    if (++job->ndone == job->spec.task_count && w->job_ended) w->job_ended(w->context, job);
}

static void task_tick(tw_simulator_world *w, tw_simulator_worker *x, tw_simulator_task *t) {
    tw_simulator_job *job = t->job;
    if (t->stage == TW_TASK_FETCHING && w->now >= t->ready_at) {
        if (!has_image(x, job->spec.image) && x->nimages < TW_SIMULATOR_MAX_IMAGES)
            snprintf(x->images[x->nimages++], TW_SIMULATOR_NAME, "%s", job->spec.image);
        if (job->spec.gang)
            tw_simulator_gang_image_there(w, x, t);
        else
            task_start(w, x, t);
    }
    if (job && job->spec.gang) {
        tw_simulator_gang_task_tick(w, x, t);
        return;
    }
    if (t->stage == TW_TASK_RUNNING) save_by_itself(w, x, t);
    if (t->stage == TW_TASK_SAVING && w->now >= t->end_at) {
        t->saved = 1;
        save(job, t->index, fmin(t->stopped_at_s, job->run_s));
        tw_simulator_task_exit(x, t, TW_CAUSE_STOPPED);
    }
    if (t->stage == TW_TASK_RUNNING && w->now >= t->end_at) {
        bool fails = x->faulty || job->fails;
        tw_simulator_task_exit(x, t, fails ? TW_CAUSE_ERROR : TW_CAUSE_DONE);
        if (!fails) tw_simulator_task_done(w, job, t->index);
    }
}

void tw_simulator_worker_tick(tw_simulator_world *w, tw_simulator_worker *x) {
    if (x->gone) return;
    if (!x->up) {
        if (w->now < x->up_at) return;
        x->up = 1;
        x->lease_from = w->now;
        x->next_report = w->now;
        x->node = x->endpoint[strlen("10.1.0.")] % w->nnodes;
    }
    bool lapsed = w->now > x->lease_from + w->lease_s;
    if (w->now < x->hung_until) {
        if (lapsed) x->ntasks = 0; /* it may go on with them only within its lease */
        return;
    }
    if (lapsed) {
        x->ntasks = 0;
        x->session++;
        x->lease_from = w->now;
        x->changed = true;
    }
    for (int i = 0; i < x->ntasks; i++) task_tick(w, x, &x->tasks[i]);
}
