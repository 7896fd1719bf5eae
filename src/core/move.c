/* Which machines to give back: idle ones, and those whose replicas fit elsewhere. */
#include "core/core_int.h"

/* Tasks that ended stay in the list until the machine forgot them; those whose direct launch may
 * still come are never forgotten there, and don't keep the machine. */
static int holds_work(const machine *m) {
    const placement *p;
    DL_FOREACH(m->pls, p) if (p->on_job || !p->direct) return 1;
    return 0;
}

void tw_return_idle(tw_core *c) {
    machine *m, *t;
    HASH_ITER(hh, c->machines, m, t) {
        if (m->stage != M_UP || m->release || m->rack < 0) continue;
        if (holds_work(m) || m->keep) {
            m->idle_since = 0;
            continue;
        }
        if (m->idle_since <= 0) m->idle_since = c->now;
        double wait = c->cf->tune.idle_ratio * c->flavors[m->rack].f.startup_s;
        if (c->now - m->idle_since < wait) continue;
        m->release = m->cordon = 1;
        c->returns_due = 1;
        tw_log_info("event=release tray=%s why=idle held_s=%.0f", m->name, c->now - m->born);
    }
}

/* ---- moving replicas together ---- */

#define TRIES 4 /* machines looked at in a pass */

/* Whether its image is there, or comes so fast that a start objective would still be met. */
static int image_near(const tw_core *c, const placement *p, const machine *m) {
    const image *im = tw_image(m, p->job);
    if (im) return im->ready_at <= 0;
    double rate = m->p < 0 ? c->flavors[m->rack].p : m->p;
    return p->job->lane && rate * p->job->s.image_gb <= 0.5 * p->job->lane->within_s;
}

/* Room for a replica elsewhere, where it would start at once. */
static bin *new_home(tw_core *c, bins *bs, const placement *p) {
    const tw_wire_job *s = &p->job->s;
    for (int i = 0; i < bs->n; i++) {
        bin *b = &bs->v[i];
        if (!b->m || b->m == p->m || !b->busy || !tw_machine_usable(c, b->m)) continue;
        if (!tw_bin_allowed(b, s, p->job->rackmask) || !tw_bin_fits(b, s)) continue;
        if ((s->apart || s->same_place) && s->pieces > 1 && strcmp(b->yard, p->m->yard)) continue;
        if (!image_near(c, p, b->m)) continue;
        if (!tw_bin_leaves_gpus(c, b, &p->job->s, p->job->any_machine)) continue;
        return b;
    }
    return NULL;
}

/* Whether all that runs on m could go elsewhere; the room stays as it was. */
static int can_empty(tw_core *c, bins *bs, machine *m) {
    placement *p;
    int ok = 1, n = 0, cap = 0;
    DL_FOREACH(m->pls, p) cap++;
    struct {
        bin *b;
        const tw_wire_job *s;
    } *taken = tw_zalloc((size_t)cap * sizeof *taken);
    DL_FOREACH(m->pls, p) {
        if (!p->on_job || !ok) continue;
        if (!p->job->s.service) continue; /* ends by itself */
        bin *b = p->stage == TW_PIECE_RUNNING && !p->kill ? new_home(c, bs, p) : NULL;
        if (!b) {
            ok = 0;
            break;
        }
        tw_bin_take(b, &p->job->s);
        taken[n].b = b;
        taken[n++].s = &p->job->s;
    }
    for (int i = 0; i < n; i++) tw_bin_give(taken[i].b, taken[i].s);
    free(taken);
    return ok;
}

/* Whether some job waits that may use m once there is room: then m is not emptied, for where no
 * more can be rented nothing would replace it. */
static int waited_for(const tw_core *c, const machine *m) {
    const tw_wire_flavor *f = &c->flavors[m->rack].f;
    const job *j;
    DL_FOREACH(c->active, j) {
        if (!tw_job_pending(c, j) || !tw_quota_allows(c, j)) continue;
        const tw_wire_job *s = &j->s;
        const bin whole = {.rack = m->rack,
                           .loaner = m->loaner,
                           .yard = m->yard,
                           .c = f->cores,
                           .g = f->gpus,
                           .mem = f->memory_gb};
        if (tw_bin_allowed(&whole, s, j->rackmask) && tw_bin_fits(&whole, s) &&
            tw_zone_allows(c, j, m->yard) && (s->gpus > 0 || f->gpus <= 0 || j->any_machine))
            return 1;
    }
    return 0;
}

/* Machines that are being emptied are used again as soon as somebody waits for them. */
void tw_reopen(tw_core *c) {
    machine *m, *t;
    HASH_ITER(hh, c->machines, m, t) {
        if (!m->closing || m->release || m->rack < 0 || !waited_for(c, m)) continue;
        m->closing = 0;
        c->sched_dirty = 1;
        tw_log_info("event=reopened tray=%s", m->name);
    }
}

static double close_gain(const tw_core *c, const machine *m) {
    const placement *p;
    int n = 0, batch = 0;
    DL_FOREACH(m->pls, p) {
        n += p->on_job && p->job->s.service;
        batch += p->on_job && !p->job->s.service;
    }
    return c->flavors[m->rack].f.hourly / (1 + n + 2 * batch);
}

/* A batch task that saves its progress goes where it starts again at once; it ends where it is if
 * there is no such room. Stopped for nothing, it would wait, and a machine be rented for it. */
static void move_batch(tw_core *c, bins *bs, placement *p, int *moves) {
    if (p->job->s.snapshot_s <= 0 || p->stage != TW_PIECE_RUNNING) return;
    bin *b = new_home(c, bs, p);
    if (!b) return;
    tw_bin_take(b, &p->job->s);
    tw_placement_kill(c, p, p->job->s.flush_s, 0);
    (*moves)--;
}

/* Machines whose replicas fit elsewhere are emptied, one by one, and returned. */
void tw_consolidate(tw_core *c, bins *bs) {
    machine *m, *t, *best = NULL;
    job *j;
    /* Each move ends in a write or two: a quarter of what may be written. */
    double between = 0.3 * c->cf->report_s;
    int closing = 0, moves = (int)fmax(2, ceil(0.25 * c->cf->state_write_rps * between));
    double gain = 0;
    HASH_ITER(hh, c->machines, m, t) closing += m->closing && !m->release;
    if (c->now < c->next_move) return;
    c->next_move = c->now + between;
    for (int i = 0; i < bs->n; i++)
        if (!bs->v[i].m) return; /* asked for, not there yet */
    DL_FOREACH(c->active, j)
    if (j->has_spec && j->s.service && tw_job_pending(c, j)) return;
    /* Those on their way: a task at a time, so that its start elsewhere is not held up. */
    HASH_ITER(hh, c->machines, m, t) {
        placement *p, *n;
        if (!m->closing || m->release) continue;
        DL_FOREACH_SAFE(m->pls, p, n) {
            if (moves <= 0) return;
            if (!p->on_job || p->kill) continue;
            if (!p->job->s.service) {
                move_batch(c, bs, p, &moves);
                continue;
            }
            bin *b = new_home(c, bs, p);
            if (!b) {
                m->closing = 0; /* the room has gone */
                break;
            }
            tw_bin_take(b, &p->job->s);
            tw_log_debug("event=move piece=%s/%d from=%s", p->job->id, p->index, m->name);
            tw_placement_kill(c, p, 0, 0);
            moves--;
        }
    }
    if (closing >= 1 + (int)HASH_COUNT(c->machines) / 20) return;
    for (int k = 0; k < TRIES; k++) {
        best = NULL;
        gain = 0;
        HASH_ITER(hh, c->machines, m, t) {
            if (!tw_machine_usable(c, m) || m->loaner || !m->pls || c->now < m->no_close_until ||
                c->now - m->first_heard < fmax(c->flavors[m->rack].f.startup_s, 2 * c->cf->lease_s))
                continue;
            double g = close_gain(c, m);
            if (g > gain) {
                gain = g;
                best = m;
            }
        }
        if (!best) return;
        if (!waited_for(c, best) && can_empty(c, bs, best)) break;
        best->no_close_until = c->now + 3 * c->cf->report_s;
        best = NULL;
    }
    if (!best) return;
    best->closing = 1;
    tw_log_info("event=closing tray=%s rack=%s", best->name, best->rack_name);
}
