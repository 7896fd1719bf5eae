/* Users that look closely: they ask at every node within milliseconds after something happened to
 * a job; and users that cancel at the worst moment. */
#include "simulator_int.h"
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define CANCELS_SHARE 0.2 /* of close looks at unfinished jobs */
#define CANCEL_WITHIN_S 0.03
#define CANCEL_NOW_WITHIN_S 0.2
#define LONG_TO_GO_S 5.0
#define MOST_HUNG 8

static const double look_after_s[] = {0, 0.001, 0.003, 0.01, 0.03};
#define LOOKS (int)(sizeof look_after_s / sizeof *look_after_s)

static void look(tw_simulator *sim, tw_simulator_event *e) {
    if (!sim->nodes[e->node].alive) return;
    tw_simulator_user_send_to(sim, e->target, e->kind, e->node);
}

static void look_after(tw_simulator *sim, int job, int node, int kind, double seconds) {
    tw_simulator_event *e = tw_simulator_after(sim, seconds, look);
    e->target = job;
    e->node = node;
    e->kind = kind;
}

static void cancel(tw_simulator *sim, tw_simulator_event *e) {
    tw_simulator_user_cancel(sim, e->target);
}

static void cancel_within(tw_simulator *sim, int job, int draw, double seconds) {
    tw_simulator_after(sim, tw_simulator_draw(&sim->world, draw, 0, seconds), cancel)->target = job;
}

void tw_simulator_look_closely(tw_simulator *sim, int job, bool may_cancel) {
    tw_simulator_world *w = &sim->world;
    if (w->now >= sim->trouble.close_looks_until) return;
    sim->strokes[TW_SIMULATOR_CLOSE_LOOKS]++;
    for (int i = 0; i < LOOKS; i++)
        for (int node = 0; node < w->nnodes; node++)
            look_after(sim, job, node, TW_SIMULATOR_POLL, look_after_s[i]);
    for (int node = 0; node < w->nnodes; node++) {
        int i = tw_simulator_draw_index(w, TW_SIMULATOR_DRAW_LOOKS, LOOKS);
        look_after(sim, job, node, TW_SIMULATOR_SUBMIT, look_after_s[i]);
    }
    if (may_cancel && tw_simulator_draw(w, TW_SIMULATOR_DRAW_LOOKS, 0, 1) < CANCELS_SHARE)
        cancel_within(sim, job, TW_SIMULATOR_DRAW_LOOKS, CANCEL_WITHIN_S);
}

void tw_simulator_job_ended(void *context, tw_simulator_job *job) {
    tw_simulator *sim = context;
    if (!job->accepted || job->told_over) return;
    if (tw_simulator_strikes(sim, &sim->trouble.cancel_at_end, TW_SIMULATOR_CANCEL_AT_END,
                             TW_SIMULATOR_DRAW_CANCELS))
        tw_simulator_user_cancel(sim, job->index);
    tw_simulator_look_closely(sim, job->index, true);
}

/* ---- cancelnow ---- */

/* The machine of a task that has long to go; -1: none of the job's does. */
static int long_running(const tw_simulator_world *w, const tw_simulator_job *job) {
    for (int i = 0; i < w->nworkers; i++) {
        const tw_simulator_worker *x = w->workers[i];
        for (int k = 0; k < x->ntasks && !x->gone; k++) {
            const tw_simulator_task *t = &x->tasks[k];
            if (t->job == job && t->stage == TW_TASK_RUNNING && t->end_at > w->now + LONG_TO_GO_S)
                return i;
        }
    }
    return -1;
}

/* `cancelnow N [HANG_S]` */
static void cancel_now(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_world *w = &sim->world;
    int wanted = tw_simulator_int(words->word[1]), hung = 0;
    double hang_s = words->n > 2 ? tw_simulator_number(words->word[2]) : 0;
    int first = w->njobs ? tw_simulator_draw_index(w, TW_SIMULATOR_DRAW_CANCELS, w->njobs) : 0;
    for (int i = 0; i < w->njobs && wanted > 0; i++) {
        tw_simulator_job *job = w->jobs[(first + i) % w->njobs];
        int machine = long_running(w, job);
        if (!job->accepted || job->cancel_asked_at > 0 || machine < 0) continue;
        wanted--;
        sim->strokes[TW_SIMULATOR_CANCEL_NOW]++;
        cancel_within(sim, job->index, TW_SIMULATOR_DRAW_CANCELS, CANCEL_NOW_WITHIN_S);
        if (hang_s > 0 && hung++ < MOST_HUNG)
            w->workers[machine]->hung_until =
                fmax(w->workers[machine]->hung_until, w->now + hang_s);
    }
}

static void close_looks(tw_simulator *sim, const tw_simulator_words *w) {
    sim->trouble.close_looks_until = sim->world.now + tw_simulator_number(w->word[1]);
}

static void cancel_at_end(tw_simulator *sim, const tw_simulator_words *w) {
    sim->trouble.cancel_at_end.share = tw_simulator_number(w->word[1]);
    sim->trouble.cancel_at_end.until = sim->world.now + tw_simulator_number(w->word[2]);
}

static void odd_requests(tw_simulator *sim, const tw_simulator_words *w) {
    bool on = sim->world.now < sim->trouble.odd_requests_until;
    sim->trouble.odd_requests_until = sim->world.now + tw_simulator_number(w->word[1]);
    if (!on) tw_simulator_odd_start(sim);
}

const tw_simulator_command tw_simulator_habit_commands[] = {{"closelooks", 2, 1, close_looks},
                                                            {"cancelatend", 3, 2, cancel_at_end},
                                                            {"cancelnow", 2, 2, cancel_now},
                                                            {"oddrequests", 2, 1, odd_requests},
                                                            {NULL, 0, 0, NULL}};
