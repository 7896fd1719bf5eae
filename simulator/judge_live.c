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

static void judge_answers(tw_simulator_world *w, const tw_simulator_job *job) {
    double since = fmax(w->troubles_end, fmax(job->accepted_at, job->answered_at));
    if (job->accepted && w->now > since + UNANSWERED_S)
        tw_simulator_break(w, "unanswered", "%s: no question is answered since %.2f", job->spec.id,
                           since);
}

/* ---- stuck ---- */

typedef struct {
    double cpus, gpus, memory;
} room;

static bool is_on_machine(const tw_simulator_task *t) {
    return t->job && t->stage != TW_TASK_EXITED;
}

static bool has_begun(const tw_simulator_task *t) {
    return t->stage != TW_TASK_FETCHING && t->stage != TW_TASK_WAITING;
}

/* What each machine can still take (less than nothing: no task may start there). Counts each job's
 * tasks on machines. */
static room *free_rooms(tw_simulator_world *w) {
    room *rooms = tw_simulator_zeroed((size_t)(w->nworkers + 1) * sizeof *rooms);
    for (int i = 0; i < w->njobs; i++) w->jobs[i]->on_machine = w->jobs[i]->unstarted = 0;
    for (int i = 0; i < w->nworkers; i++) {
        const tw_simulator_worker *x = w->workers[i];
        const tw_wire_machine_type *f = &w->types[x->type_index];
        rooms[i] = (room){f->cores, f->gpus, f->memory_gb};
        if (x->gone || !x->up || x->faulty || x->warned_at >= 0 || w->now < x->hung_until)
            rooms[i].cpus = -1;
        for (int k = 0; k < x->ntasks && !x->gone; k++) {
            tw_simulator_job *job = x->tasks[k].job;
            if (!is_on_machine(&x->tasks[k])) continue;
            job->on_machine++;
            job->unstarted += job->spec.gang && !has_begun(&x->tasks[k]);
            rooms[i].cpus -= job->spec.cores;
            rooms[i].gpus -= job->spec.gpus;
            rooms[i].memory -= job->spec.memory_gb;
        }
    }
    return rooms;
}

static bool is_allowed(const tw_simulator_worker *x, const tw_wire_job *spec) {
    bool type = spec->machine_type_count < 0;
    for (int i = 0; i < spec->machine_type_count; i++)
        type |= !strcmp(spec->machine_types[i], x->type);
    return type && (!x->spot || spec->spot) && (!*spec->zone || !strcmp(spec->zone, x->zone));
}

/* How many tasks of a job a machine has room for. */
static int tasks_that_fit(const room *r, const tw_wire_job *spec, int wanted) {
    int n = 0;
    for (room left = *r; n < wanted; n++) {
        left.cpus -= spec->cores;
        left.gpus -= spec->gpus;
        left.memory -= spec->memory_gb;
        if (left.cpus < -EPSILON || left.gpus < -EPSILON || left.memory < -EPSILON) break;
    }
    return n;
}

/* Whether the machines of a zone (NULL: of all zones) have room for so many tasks. */
static bool has_room(const tw_simulator_world *w, const room *rooms, const tw_wire_job *spec,
                     const char *zone, int wanted) {
    int n = 0;
    for (int i = 0; i < w->nworkers && n < wanted; i++) {
        const tw_simulator_worker *x = w->workers[i];
        if (rooms[i].cpus < 0 || !is_allowed(x, spec) || (zone && strcmp(zone, x->zone) != 0))
            continue;
        n += tasks_that_fit(&rooms[i], spec, wanted - n);
    }
    return n >= wanted;
}

/* So many tasks must start together, or one. Those of a gang that wait already have their room; in
 * one zone they may be in the wrong one. */
static int tasks_at_once(const tw_simulator_job *job) {
    const tw_wire_job *spec = &job->spec;
    if (spec->gang && !spec->single_zone) return spec->task_count - job->unstarted;
    return spec->gang || (spec->service && spec->single_zone) ? spec->task_count : 1;
}

static bool could_start(const tw_simulator_world *w, const room *rooms,
                        const tw_simulator_job *job) {
    const tw_wire_job *spec = &job->spec;
    int wanted = tasks_at_once(job);
    if (wanted > 1 && spec->spread) return false; /* not judged */
    if (!spec->single_zone || wanted == 1) return has_room(w, rooms, spec, NULL, wanted);
    for (int i = 0; i < w->nworkers; i++)
        if (has_room(w, rooms, spec, w->workers[i]->zone, wanted)) return true;
    return false;
}

static bool is_under_limit(const tw_simulator_world *w, const tw_simulator_job *job) {
    const tw_wire_job *spec = &job->spec;
    int wanted = tasks_at_once(job), i = 0;
    while (i < w->nteams && strcmp(w->teams[i].name, spec->team) != 0) i++;
    if (i == w->nteams) return false;
    double cpus = wanted * spec->cores, gpus = wanted * spec->gpus;
    for (int k = 0; k < w->nworkers; k++) {
        const tw_simulator_worker *x = w->workers[k];
        for (int t = 0; t < x->ntasks && !x->gone; t++) {
            if (!is_on_machine(&x->tasks[t])) continue;
            const tw_wire_job *other = &x->tasks[t].job->spec;
            if (strcmp(other->team, spec->team) != 0) continue;
            cpus += other->cores;
            gpus += other->gpus;
        }
    }
    const tw_simulator_team *team = &w->teams[i];
    return (team->cpus_max <= 0 || cpus <= team->cpus_max + EPSILON) &&
           (team->gpus_max <= 0 || gpus <= team->gpus_max + EPSILON);
}

/* Tasks on machines that do something useful there, or will by themselves. */
static int useful(const tw_simulator_job *job) { return job->on_machine - job->unstarted; }

/* Accepted, not cancelled, not over, and no task of it is on a machine, or only such that wait for
 * the rest of their gang. */
static bool is_waiting(const tw_simulator_job *job) {
    return job->accepted && job->cancel_asked_at <= 0 && !job->fails && !job->told_over &&
           job->ndone < job->spec.task_count && !useful(job);
}

static void judge_waiting(tw_simulator_world *w, tw_simulator_job *job, const room *rooms) {
    bool waits = w->now >= w->troubles_end && is_waiting(job) && could_start(w, rooms, job) &&
                 is_under_limit(w, job);
    if (!waits)
        job->waits_since = 0;
    else if (job->waits_since <= 0)
        job->waits_since = w->now;
    else if (w->now > job->waits_since + STUCK_S)
        tw_simulator_break(w, "stuck", "%s waits since %.2f while a machine has room", job->spec.id,
                           job->waits_since);
}

void tw_simulator_judge_live(tw_simulator_world *w) {
    room *rooms = free_rooms(w);
    for (int i = 0; i < w->njobs; i++) {
        judge_answers(w, w->jobs[i]);
        judge_waiting(w, w->jobs[i], rooms);
    }
    free(rooms);
}

/* ---- unserved ---- */

static double size_of(const tw_wire_job *spec) {
    return spec->task_count * (spec->cores + GPU_WEIGHT * spec->gpus);
}

/* Jobs that count: old enough, not refused as impossible, not cancelled, without a mistake. */
static bool counts(const tw_simulator_world *w, const tw_simulator_job *job) {
    bool refused =
        job->last_status == TW_SIMULATOR_MALFORMED || job->last_status == TW_SIMULATOR_IMPOSSIBLE;
    return job->submitted && !refused && job->cancel_asked_at <= 0 && !job->fails &&
           w->now >= job->first_try + w->served_age_s;
}

/* At least half of its tasks are done or on a machine. */
static bool is_served(const tw_simulator_job *job) {
    return job->ndone + useful(job) >= LEAST_SERVED * job->spec.task_count;
}

static bool began_in_time(const tw_simulator_job *job) {
    return job->begun_at > 0 && job->begun_at <= job->first_try + LARGEST_BEGIN_S;
}

/* Jobs alike: of one class or team; only the largest of a class, if least_size is above 0. */
typedef struct {
    const char *class, *team; /* NULL: any */
    double least_size;
} kind;

static bool is_of(const kind *k, const tw_wire_job *spec) {
    return (!k->class || !strcmp(k->class, spec->job_class)) &&
           (!k->team || !strcmp(k->team, spec->team)) && size_of(spec) >= k->least_size;
}

static void judge_kind(tw_simulator_world *w, const kind *k, const char *what, const char *name) {
    int all = 0, served = 0;
    for (int i = 0; i < w->njobs; i++) {
        const tw_simulator_job *job = w->jobs[i];
        if (!counts(w, job) || !is_of(k, &job->spec)) continue;
        all++;
        served += is_served(job) && (k->least_size <= 0 || began_in_time(job));
    }
    if (served < LEAST_SERVED * all)
        tw_simulator_break(w, "unserved", "%s %s: %d of %d jobs", what, name, served, all);
}

/* The first that counts of its class or team. */
static int is_first(const tw_simulator_world *w, const tw_simulator_job *job, bool by_team) {
    for (int i = 0; i < job->index; i++) {
        const tw_wire_job *a = &w->jobs[i]->spec, *b = &job->spec;
        if (counts(w, w->jobs[i]) &&
            !strcmp(by_team ? a->team : a->job_class, by_team ? b->team : b->job_class))
            return 0;
    }
    return 1;
}

static kind largest_of(const tw_simulator_world *w, const char *class) {
    kind k = {.class = class};
    for (int i = 0; i < w->njobs; i++) {
        const tw_simulator_job *job = w->jobs[i];
        if (counts(w, job) && !strcmp(job->spec.job_class, class))
            k.least_size = fmax(k.least_size, LARGEST_SHARE * size_of(&job->spec));
    }
    return k;
}

void tw_simulator_judge_served(tw_simulator_world *w) {
    free(free_rooms(w)); /* counts tasks on machines */
    for (int i = 0; i < w->njobs; i++) {
        const tw_simulator_job *job = w->jobs[i];
        const char *class = job->spec.job_class, *team = job->spec.team;
        if (!counts(w, job)) continue;
        if (is_first(w, job, true)) judge_kind(w, &(kind){.team = team}, "team", team);
        if (!is_first(w, job, false)) continue;
        kind largest = largest_of(w, class);
        judge_kind(w, &(kind){.class = class}, "class", class);
        judge_kind(w, &largest, "largest of class", class);
    }
}
