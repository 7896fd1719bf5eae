/* `expect` lines: what must hold at their time. */
#include "simulator_int.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct {
    tw_simulator *sim;
    tw_simulator_job *job; /* the first argument's, or NULL */
    const char *arg[4];
    char got[64];
} expectation;

static bool in_range(expectation *x, double value, const char *least, const char *most) {
    snprintf(x->got, sizeof x->got, "%.0f", value);
    return value >= tw_simulator_number(least) && (!*most || value <= tw_simulator_number(most));
}

static int is_done(expectation *x) { return x->job && x->job->told_over == TW_JOB_DONE; }
static int is_cancelled(expectation *x) { return x->job && x->job->told_over == TW_JOB_CANCELLED; }
static int is_accepted(expectation *x) { return x->job && x->job->accepted; }

static int is_refused(expectation *x) {
    int status = x->job ? x->job->last_status : -1;
    snprintf(x->got, sizeof x->got, "status %d", status);
    return x->job && !x->job->accepted && status == tw_simulator_int(x->arg[1]);
}

/* The last answer to a cancellation. */
static int cancel_answered(expectation *x) {
    int status = x->job ? x->job->cancel_status : -1;
    snprintf(x->got, sizeof x->got, "status %d", status);
    return status == tw_simulator_int(x->arg[1]);
}

static int starts(expectation *x) {
    return in_range(x, x->job ? x->job->started : -1, x->arg[1], x->arg[2]);
}

static int running(expectation *x) {
    return in_range(x, tw_simulator_job_running(&x->sim->world, x->arg[0]), x->arg[1], x->arg[2]);
}

/* Tasks of a gang that wait for the others. */
static int waiting(expectation *x) {
    return in_range(x, tw_simulator_job_in(&x->sim->world, x->arg[0], TW_TASK_WAITING), x->arg[1],
                    x->arg[2]);
}

/* How often all tasks of a gang began together, and under how many attempts some came. */
static int gang_starts(expectation *x) {
    return in_range(x, x->job ? x->job->gang_starts : -1, x->arg[1], x->arg[2]);
}
static int attempts(expectation *x) {
    return in_range(x, x->job ? x->job->ngangs : -1, x->arg[1], x->arg[2]);
}

/* A gang's progress that is safe, in seconds. */
static int saved(expectation *x) {
    return in_range(x, x->job ? x->job->gang_saved_s : -1, x->arg[1], x->arg[2]);
}

/* How many tasks of a job ended with a cause. */
static int exits(expectation *x) {
    int cause = TW_CAUSE_DONE;
    while (cause < TW_CAUSE_OTHER && strcmp(tw_simulator_causes[cause], x->arg[1]) != 0) cause++;
    if (!x->job || cause == TW_CAUSE_OTHER) return 0;
    return in_range(x, x->job->exits[cause], x->arg[2], x->arg[3]);
}

static int machines(expectation *x) {
    int n = 0;
    for (int i = 0; i < x->sim->world.nworkers; i++) n += !x->sim->world.workers[i]->gone;
    return in_range(x, n, x->arg[0], x->arg[1]);
}

static tw_simulator_worker *machine(expectation *x) {
    int i = tw_simulator_int(x->arg[0]);
    return i >= 0 && i < x->sim->world.nworkers ? x->sim->world.workers[i] : NULL;
}

static int is_gone(expectation *x) { return machine(x) && machine(x)->gone; }

static int in_session(expectation *x) {
    return in_range(x, machine(x) ? (double)machine(x)->session : -1, x->arg[1], x->arg[1]);
}

static int has_leader(expectation *x) { return tw_simulator_leader(x->sim) >= 0; }

/* Of the node that leads, since it started. */
static int steps(expectation *x) {
    int leader = tw_simulator_leader(x->sim);
    tw_simulator_controller *controller = leader < 0 ? NULL : x->sim->nodes[leader].controller;
    double taken = controller ? (double)controller->methods->steps(controller) : 0;
    return in_range(x, taken, "1", x->arg[0]);
}

/* How many nodes start with the earlier version. */
static int old_nodes(expectation *x) {
    int n = 0;
    for (int i = 0; i < x->sim->world.nnodes; i++) n += x->sim->nodes[i].old;
    return in_range(x, n, x->arg[0], x->arg[1]);
}

/* Whether the node that leads is of the `old` or of the `new` version. */
static int leader_version(expectation *x) {
    int leader = tw_simulator_leader(x->sim);
    if (leader < 0) return 0;
    snprintf(x->got, sizeof x->got, "%s", x->sim->nodes[leader].old ? "old" : "new");
    return !strcmp(x->got, x->arg[0]);
}

/* How often a trouble struck. */
static int struck(expectation *x) {
    static const char *const names[TW_SIMULATOR_STROKES] = {
        "latewrites",   "lostwrites",  "latereports", "mute",       "deaf",
        "latecommands", "cutstate",    "slownode",    "latesends",  "repeatcommands",
        "closelooks",   "cancelatend", "cancelnow",   "oddrequests"};
    for (int i = 0; i < TW_SIMULATOR_STROKES; i++)
        if (!strcmp(names[i], x->arg[0]))
            return in_range(x, x->sim->strokes[i], x->arg[1], x->arg[2]);
    return 0;
}

/* Transactions that the state service refused for their size. */
static int too_large(expectation *x) {
    return in_range(x, x->sim->world.state.too_large, x->arg[0], x->arg[1]);
}

/* Keys with this prefix in the state service. */
static int keys(expectation *x) {
    const tw_simulator_state *state = &x->sim->world.state;
    int count = 0;
    for (size_t i = 0; i < state->nkeys; i++)
        count += !strncmp(state->keys[i].key, x->arg[0], strlen(x->arg[0]));
    return in_range(x, count, x->arg[1], x->arg[2]);
}

static const struct {
    const char *name;
    int (*holds)(expectation *x);
} kinds[] = {{"done", is_done},
             {"aborted", is_cancelled},
             {"accepted", is_accepted},
             {"refused", is_refused},
             {"starts", starts},
             {"running", running},
             {"machines", machines},
             {"gone", is_gone},
             {"shift", in_session},
             {"leader", has_leader},
             {"steps", steps},
             {"struck", struck},
             {"cancel", cancel_answered},
             {"toolarge", too_large},
             {"keys", keys},
             {"waiting", waiting},
             {"gang_starts", gang_starts},
             {"attempts", attempts},
             {"saved", saved},
             {"exits", exits},
             {"old", old_nodes},
             {"led", leader_version}};

void tw_simulator_expect(tw_simulator *sim, const tw_simulator_words *w) {
    expectation x = {.sim = sim, .arg = {"", "", "", ""}};
    char text[TW_SIMULATOR_MESSAGE];
    int holds = 0;
    for (int i = 0; i < 4 && i + 2 < w->n; i++) x.arg[i] = w->word[i + 2];
    x.job = tw_simulator_job_find(&sim->world, x.arg[0]);
    for (size_t i = 0; i < sizeof kinds / sizeof *kinds; i++)
        if (!strcmp(w->word[1], kinds[i].name)) holds = kinds[i].holds(&x);
    if (holds) return;
    snprintf(text, sizeof text, "%s %s %s %s %s got %s", w->word[1], x.arg[0], x.arg[1], x.arg[2],
             x.arg[3], x.got);
    tw_simulator_fail(sim, "expected", text);
}
