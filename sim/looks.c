/* Users that look closely: they ask at every node within milliseconds after something happened to
 * a job; and users that cancel at the worst moment. */
#include "sim_int.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define CANCELS_SHARE 0.2 /* of close looks at unfinished jobs */
#define CANCEL_WITHIN_S 0.03
#define CANCEL_NOW_WITHIN_S 0.2
#define LONG_TO_GO_S 5.0
#define MOST_HUNG 8

static const double look_after_s[] = {0, 0.001, 0.003, 0.01, 0.03};
#define LOOKS (int)(sizeof look_after_s / sizeof *look_after_s)

static void look(tw_sim *sim, tw_sim_event *e) {
    if (!sim->nodes[e->node].alive) return;
    tw_sim_user_send_to(sim, e->target, e->kind, e->node);
}

static void look_after(tw_sim *sim, int job, int node, int kind, double seconds) {
    tw_sim_event *e = tw_sim_after(sim, seconds, look);
    e->target = job;
    e->node = node;
    e->kind = kind;
}

static void cancel(tw_sim *sim, tw_sim_event *e) { tw_sim_user_cancel(sim, e->target); }

static void cancel_within(tw_sim *sim, int job, int draw, double seconds) {
    tw_sim_after(sim, tw_sim_draw(&sim->world, draw, 0, seconds), cancel)->target = job;
}

void tw_sim_look_closely(tw_sim *sim, int job, int may_cancel) {
    tw_sim_world *w = &sim->world;
    if (w->now >= sim->trouble.close_looks_until) return;
    sim->strokes[TW_SIM_CLOSE_LOOKS]++;
    for (int i = 0; i < LOOKS; i++)
        for (int node = 0; node < w->nnodes; node++)
            look_after(sim, job, node, TW_SIM_POLL, look_after_s[i]);
    for (int node = 0; node < w->nnodes; node++) {
        int i = tw_sim_draw_index(w, TW_SIM_DRAW_LOOKS, LOOKS);
        look_after(sim, job, node, TW_SIM_SUBMIT, look_after_s[i]);
    }
    if (may_cancel && tw_sim_draw(w, TW_SIM_DRAW_LOOKS, 0, 1) < CANCELS_SHARE)
        cancel_within(sim, job, TW_SIM_DRAW_LOOKS, CANCEL_WITHIN_S);
}

void tw_sim_job_ended(void *context, tw_sim_job *job) {
    tw_sim *sim = context;
    if (!job->accepted || job->told_over) return;
    if (tw_sim_strikes(sim, &sim->trouble.cancel_at_end, TW_SIM_CANCEL_AT_END, TW_SIM_DRAW_CANCELS))
        tw_sim_user_cancel(sim, job->index);
    tw_sim_look_closely(sim, job->index, 1);
}

/* ---- cancelnow ---- */

/* The machine of a task that has long to go; -1: none of the job's does. */
static int long_running(const tw_sim_world *w, const tw_sim_job *job) {
    for (int i = 0; i < w->nworkers; i++) {
        const tw_sim_worker *x = w->workers[i];
        for (int k = 0; k < x->ntasks && !x->gone; k++) {
            const tw_sim_task *t = &x->tasks[k];
            if (t->job == job && t->stage == TW_TASK_RUNNING && t->end_at > w->now + LONG_TO_GO_S)
                return i;
        }
    }
    return -1;
}

/* `cancelnow N [HANG_S]` */
static void cancel_now(tw_sim *sim, const tw_sim_words *words) {
    tw_sim_world *w = &sim->world;
    int wanted = tw_sim_int(words->word[1]), hung = 0;
    double hang_s = words->n > 2 ? tw_sim_number(words->word[2]) : 0;
    int first = w->njobs ? tw_sim_draw_index(w, TW_SIM_DRAW_CANCELS, w->njobs) : 0;
    for (int i = 0; i < w->njobs && wanted > 0; i++) {
        tw_sim_job *job = w->jobs[(first + i) % w->njobs];
        int machine = long_running(w, job);
        if (!job->accepted || job->cancel_asked_at > 0 || machine < 0) continue;
        wanted--;
        sim->strokes[TW_SIM_CANCEL_NOW]++;
        cancel_within(sim, job->index, TW_SIM_DRAW_CANCELS, CANCEL_NOW_WITHIN_S);
        if (hang_s > 0 && hung++ < MOST_HUNG)
            w->workers[machine]->hung_until =
                fmax(w->workers[machine]->hung_until, w->now + hang_s);
    }
}

static void close_looks(tw_sim *sim, const tw_sim_words *w) {
    sim->trouble.close_looks_until = sim->world.now + tw_sim_number(w->word[1]);
}

static void cancel_at_end(tw_sim *sim, const tw_sim_words *w) {
    sim->trouble.cancel_at_end.share = tw_sim_number(w->word[1]);
    sim->trouble.cancel_at_end.until = sim->world.now + tw_sim_number(w->word[2]);
}

static void odd_requests(tw_sim *sim, const tw_sim_words *w) {
    int on = sim->world.now < sim->trouble.odd_requests_until;
    sim->trouble.odd_requests_until = sim->world.now + tw_sim_number(w->word[1]);
    if (!on) tw_sim_odd_start(sim);
}

const tw_sim_command tw_sim_habit_commands[] = {{"closelooks", 2, 1, close_looks},
                                                {"cancelatend", 3, 2, cancel_at_end},
                                                {"cancelnow", 2, 2, cancel_now},
                                                {"oddrequests", 2, 1, odd_requests},
                                                {NULL, 0, 0, NULL}};
