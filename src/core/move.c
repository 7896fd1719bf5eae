/* Which machines to give back: idle ones, and those whose replicas fit elsewhere. */
#include "core/core_int.h"

#define TRIES 4           /* machines looked at in a pass, to empty the next one */
#define RETRY_REPORTS 3   /* reports until one that could not be emptied is looked at again */
#define PASS_REPORTS 0.3  /* reports between passes that move tasks */
#define LEAST_MOVES 2     /* tasks that a pass may move anyway */
#define WRITE_SHARE 0.25  /* of the state service's changes, for moves */
#define CLOSING_PART 20   /* one machine is emptied at a time, and one more for so many */
#define LEAST_UP_LEASES 2 /* leases for which a machine is up before it is emptied */
#define NEAR_SHARE 0.5    /* of its start objective: how long a moved replica's fetch may take */

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

/* Whether its image is there, or comes so fast that a start objective would still be met. */
static int image_near(const tw_core *c, const placement *p, const machine *m) {
    const image *im = tw_image(m, p->job);
    if (im) return im->ready_at <= 0;
    double rate = m->p < 0 ? c->flavors[m->rack].p : m->p;
    return p->job->lane && rate * p->job->s.image_gb <= NEAR_SHARE * p->job->lane->within_s;
}

/* Room for a replica elsewhere, where it would start at once. */
static bin *new_home(tw_core *c, bins *bs, const placement *p) {
    const tw_wire_job *s = &p->job->s;
    for (int i = 0; i < bs->n; i++) {
        bin *b = &bs->v[i];
        if (!b->m || b->m == p->m || !b->busy || !tw_machine_usable(c, b->m)) continue;
        if (!tw_bin_allowed(b, s, p->job->rackmask) || !tw_bin_fits(b, s)) continue;
        if ((s->apart || s->same_place) && s->pieces > 1 && strcmp(b->yard, p->m->yard) != 0)
            continue;
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
        if (!tw_job_pending(c, j) || !tw_quota_allows(c, j, 1)) continue;
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
    if (p->job->s.gang) return; /* it would stop on all its machines */
    bin *b = new_home(c, bs, p);
    if (!b) return;
    tw_bin_take(b, &p->job->s);
    tw_placement_kill(c, p, p->job->s.flush_s, 0);
    (*moves)--;
}

/* Each move ends in a write or two: a share of what may be written in the time between passes. */
static int moves_allowed(const tw_core *c, double between_s) {
    return (int)fmax(LEAST_MOVES, ceil(WRITE_SHARE * c->cf->state_write_rps * between_s));
}

/* Whether a machine was asked for that is not there yet. */
static int awaits_machine(const bins *bs) {
    for (int i = 0; i < bs->n; i++)
        if (!bs->v[i].m) return 1;
    return 0;
}

static int service_waits(const tw_core *c) {
    const job *j;
    DL_FOREACH(c->active, j)
    if (j->has_spec && j->s.service && tw_job_pending(c, j)) return 1;
    return 0;
}

/* Moves what runs on a machine that is being emptied, a task at a time, so that its start elsewhere
 * is not held up. 0: no more may be moved in this pass. */
static int move_tasks(tw_core *c, bins *bs, machine *m, int *moves) {
    placement *p;
    placement *next;
    DL_FOREACH_SAFE(m->pls, p, next) {
        if (*moves <= 0) return 0;
        if (!p->on_job || p->kill) continue;
        if (!p->job->s.service) {
            move_batch(c, bs, p, moves);
            continue;
        }
        bin *room = new_home(c, bs, p);
        if (!room) {
            m->closing = 0; /* the room has gone */
            break;
        }
        tw_bin_take(room, &p->job->s);
        tw_log_debug("event=move piece=%s/%d from=%s", p->job->id, p->index, m->name);
        tw_placement_kill(c, p, 0, 0);
        (*moves)--;
    }
    return 1;
}

/* Whether it has been up for long enough, and is not one that was just looked at in vain. */
static int may_close(const tw_core *c, const machine *m) {
    if (!tw_machine_usable(c, m) || m->loaner || !m->pls || c->now < m->no_close_until) return 0;
    double least_up_s = fmax(c->flavors[m->rack].f.startup_s, LEAST_UP_LEASES * c->cf->lease_s);
    return c->now - m->first_heard >= least_up_s;
}

static machine *most_to_gain(const tw_core *c) {
    machine *m;
    machine *next;
    machine *best = NULL;
    double most = 0;
    HASH_ITER(hh, c->machines, m, next) {
        if (!may_close(c, m)) continue;
        double gain = close_gain(c, m);
        if (gain <= most) continue;
        most = gain;
        best = m;
    }
    return best;
}

/* The next machine to empty, of the few that are looked at in a pass; NULL: none. */
static machine *next_to_close(tw_core *c, bins *bs) {
    for (int k = 0; k < TRIES; k++) {
        machine *best = most_to_gain(c);
        if (!best) return NULL;
        if (!waited_for(c, best) && can_empty(c, bs, best)) return best;
        best->no_close_until = c->now + RETRY_REPORTS * c->cf->report_s;
    }
    return NULL;
}

/* Machines whose replicas fit elsewhere are emptied, one by one, and returned. */
void tw_consolidate(tw_core *c, bins *bs) {
    machine *m;
    machine *next;
    double between_s = PASS_REPORTS * c->cf->report_s;
    int moves = moves_allowed(c, between_s);
    int closing = 0;
    if (c->now < c->next_move) return;
    c->next_move = c->now + between_s;
    if (awaits_machine(bs) || service_waits(c)) return;
    HASH_ITER(hh, c->machines, m, next) closing += m->closing && !m->release;
    HASH_ITER(hh, c->machines, m, next) {
        if (m->closing && !m->release && !move_tasks(c, bs, m, &moves)) return;
    }
    if (closing >= 1 + (int)HASH_COUNT(c->machines) / CLOSING_PART) return;
    machine *best = next_to_close(c, bs);
    if (!best) return;
    best->closing = 1;
    tw_log_info("event=closing tray=%s rack=%s", best->name, best->rack_name);
}
