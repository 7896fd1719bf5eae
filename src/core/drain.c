/* Room that running batch tasks are expected to give back: whether it is worth waiting for, or a
 * machine is to be rented. Only room counts that the job may use: of a machine's type, zone and
 * kind that it allows, and as much on one machine as its task takes. */
#include "core/core_int.h"

#define LEAST_REST 0.1 /* of its run time: a task that is past its estimate ends soon */

static int by_time(const void *a, const void *b) {
    const tw_release *x = a, *y = b;
    return x->at < y->at ? -1 : x->at > y->at;
}

/* What the end of p is expected to leave on its machine, beside what is free there already. */
static tw_release release_of(const tw_core *c, const placement *p) {
    const machine *m = p->m;
    const tw_wire_job *s = &p->job->s;
    const tw_wire_flavor *f = &c->flavors[m->rack].f;
    double est = tw_estimate(p->job) * (m->slowness > 0 ? m->slowness : 1);
    double from = p->run_at > 0 ? p->run_at : c->now + 1;
    return (tw_release){.at = fmax(from + est, c->now + LEAST_REST * est),
                        .room = {.rack = m->rack,
                                 .loaner = m->loaner,
                                 .yard = m->yard,
                                 .c = s->cores + fmax(0, f->cores - m->used_c),
                                 .g = s->gpus + fmax(0, f->gpus - m->used_g),
                                 .mem = s->memory_gb + fmax(0, f->memory_gb - m->used_m)}};
}

void tw_drain_init(tw_core *c, tw_drain *d) {
    job *j;
    int cap = 0;
    DL_FOREACH(c->active, j) if (j->has_spec && !j->s.service) cap += j->nlive;
    d->v = tw_zalloc((size_t)cap * sizeof *d->v);
    d->n = 0;
    DL_FOREACH(c->active, j) {
        if (!j->has_spec || j->s.service) continue;
        const placement *p;
        DL_FOREACH2(j->live, p, jnext)
        if (tw_machine_usable(c, p->m)) d->v[d->n++] = release_of(c, p);
    }
    qsort(d->v, (size_t)d->n, sizeof *d->v, by_time);
}

/* When a task of j would start if it waits its turn for room that is given back; INFINITY: none is
 * that it can use. *from: where to begin, the same for all jobs alike, for room only gets less. */
double tw_drain_start(tw_core *c, tw_drain *d, const job *j, int *from) {
    for (; *from < d->n; ++*from) {
        tw_release *r = &d->v[*from];
        c->steps++;
        if (!tw_bin_allowed(&r->room, &j->s, j->rackmask) || !tw_bin_fits(&r->room, &j->s))
            continue;
        /* What is given back beside GPUs that stay free is kept for them. */
        if (!tw_bin_leaves_gpus(c, &r->room, &j->s, j->any_machine)) continue;
        tw_bin_take(&r->room, &j->s);
        return fmax(c->now, r->at);
    }
    return INFINITY;
}

void tw_drain_free(tw_drain *d) { free(d->v); }
