/* Room kept for classes that need scarce room. Where nothing more can be rented, many small tasks
 * that stand waiting would take every piece of room that is given back, and a larger one, or one
 * with GPUs, would never find a hole. So a service's task leaves enough holes for the arrivals that
 * are expected of the classes that need more GPUs than it does, until their start objective. */
#include "core/core_int.h"

#define WARM 3

/* How many tasks of a shape fit into this room. */
static int fit(double c, double g, double mem, const tw_wire_job *s) {
    const double e = 1e-6;
    double n = 1e6;
    if (s->cores > 0) n = fmin(n, floor(c / s->cores + e));
    if (s->gpus > 0) n = fmin(n, floor(g / s->gpus + e));
    if (s->memory_gb > 0) n = fmin(n, floor(mem / s->memory_gb + e));
    return n > 0 ? (int)n : 0;
}

/* What a service of the highest rank may have on m: free, or held by work of lower rank. */
static void room(const tw_core *c, const machine *m, double *cores, double *gpus, double *mem) {
    const tw_wire_flavor *f = &c->flavors[m->rack].f;
    *cores = f->cores - m->used_c + m->kill_c;
    *gpus = f->gpus - m->used_g + m->kill_g;
    *mem = f->memory_gb - m->used_m + m->kill_m;
    for (int r = 0; r < TW_RANK_PROD; r++) {
        *cores += m->held[r].c;
        *gpus += m->held[r].g;
        *mem += m->held[r].m;
    }
}

static int counts(const lane *l, const machine *m) {
    return l->reserve > 0 && (l->sample_racks & (1u << m->rack)) &&
           (!m->loaner || l->sample.loaner);
}

/* Whether a task can start in time only where its image is cached. */
static int needs_warm(const tw_core *c, const lane *l) {
    for (int i = 0; i < c->nflavors; i++) {
        const flavor *f = &c->flavors[i];
        double fetch = f->p * l->sample.image_gb;
        if ((l->sample_racks & (1u << i)) && f->q + fetch * (1 + 2 * f->p_dev) <= l->within_s)
            return 0;
    }
    return 1;
}

void tw_reserve_note(tw_core *c) {
    machine *m, *t;
    lane *l;
    int any = 0;
    for (l = c->lanes; l; l = l->hh.next) {
        l->holes = l->reserve = 0;
        if (!l->has_sample || !l->sample.service || l->sample.gpus <= 0 || l->within_s <= 0)
            continue;
        double x = l->rate * l->within_s, group = fmax(1, l->batch_tasks);
        x += sqrt(x * group);
        /* A hole is of use to few of the class's images. */
        if (needs_warm(c, l)) x *= WARM;
        l->reserve = (int)ceil(x - 0.3);
        any |= l->reserve > 0;
    }
    if (!any) return;
    HASH_ITER(hh, c->machines, m, t) {
        double cores, gpus, mem;
        if (!tw_machine_usable(c, m)) continue;
        room(c, m, &cores, &gpus, &mem);
        for (l = c->lanes; l; l = l->hh.next)
            if (counts(l, m)) l->holes += fit(cores, gpus, mem, &l->sample);
    }
}

/* How many holes of l are lost when j's task takes room on m. */
static int lost(const tw_core *c, const machine *m, const job *j, const lane *l) {
    double cores, gpus, mem;
    room(c, m, &cores, &gpus, &mem);
    return fit(cores, gpus, mem, &l->sample) -
           fit(cores - j->s.cores, gpus - j->s.gpus, mem - j->s.memory_gb, &l->sample);
}

int tw_reserve_allows(const tw_core *c, const machine *m, const job *j) {
    if (!j->cramped || !j->s.service) return 1;
    for (const lane *l = c->lanes; l; l = l->hh.next) {
        if (l == j->lane || l->sample.gpus <= j->s.gpus || !counts(l, m)) continue;
        int n = lost(c, m, j, l);
        if (n > 0 && l->holes - n < l->reserve) return 0;
    }
    return 1;
}

/* Before j's task is placed on m. */
void tw_reserve_take(tw_core *c, const machine *m, const job *j) {
    if (!j->s.service) return;
    for (lane *l = c->lanes; l; l = l->hh.next)
        if (counts(l, m)) l->holes -= lost(c, m, j, l);
}
