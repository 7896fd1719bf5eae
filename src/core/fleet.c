/* Machines and what runs on them, from reports, lists and leases. A task that may run somewhere
 * counts as running there until a newer report, its machine's release or a lapsed lease says
 * otherwise. */
#include "core/core_int.h"

#define MAX_ORDERS 500 /* keeps an answer under the protocol's 64 KiB; the rest in the next one */
#define MAX_IMAGES 64
#define MAX_ASKED 0.06 /* silent machines asked at once, as a share of the sockets */

int tw_rack_index(const tw_core *c, const char *label) {
    for (int i = 0; i < c->nflavors; i++)
        if (!strcmp(c->flavors[i].f.label, label)) return i;
    return -1;
}

machine *tw_machine(tw_core *c, const char *name) {
    machine *m;
    HASH_FIND_STR(c->machines, name, m);
    return m;
}

machine *tw_machine_new(tw_core *c, const char *name) {
    machine *m = tw_zalloc(sizeof *m);
    snprintf(m->name, sizeof m->name, "%s", name);
    m->rack = -1;
    m->born = c->now;
    m->slowness = m->q = m->p = -1; /* the type's prior */
    m->zone = -1;
    HASH_ADD_STR(c->machines, name, m);
    return m;
}

/* Zones by number, so that a pass over the fleet compares no names. */
void tw_machine_at(tw_core *c, machine *m, const char *yard) {
    if (m->zone >= 0 && !strcmp(m->yard, yard)) return;
    snprintf(m->yard, sizeof m->yard, "%s", yard);
    m->zone = -1;
    if (!*yard) return;
    int z = 0;
    while (z < c->nyards && strcmp(c->yards[z], m->yard)) z++;
    if (z == TW_MAX_ZONES) return;
    if (z == c->nyards) snprintf(c->yards[c->nyards++], TW_NAME, "%s", m->yard);
    m->zone = z;
}

/* ---- placements ---- */

/* Images on their way to m, without `but`. */
static int fetching(const tw_core *c, const machine *m, const image *but) {
    const image *i;
    int n = 0;
    DL_FOREACH(m->images, i) n += i->ready_at > c->now && i != but;
    return n;
}

/* How many times as long a fetch takes on m beside those under way. */
double tw_fetch_slowed(const tw_core *c, const machine *m, const image *but) {
    return 1 + (m->rack < 0 ? 0 : c->flavors[m->rack].share) * fetching(c, m, but);
}

static void account(tw_core *c, placement *p, double sign) {
    const tw_wire_job *s = &p->job->s;
    p->m->used_c += sign * s->cores;
    p->m->used_g += sign * s->gpus;
    p->m->used_m += sign * s->memory_gb;
    if (p->preempted) {
        p->m->kill_c += sign * s->cores;
        p->m->kill_g += sign * s->gpus;
        p->m->kill_m += sign * s->memory_gb;
    } else if (p->job->has_spec) {
        p->m->held[s->rank].c += sign * s->cores;
        p->m->held[s->rank].g += sign * s->gpus;
        p->m->held[s->rank].m += sign * s->memory_gb;
    }
    if (p->job->team >= 0) {
        c->team_c[p->job->team] += sign * s->cores;
        c->team_g[p->job->team] += sign * s->gpus;
    }
}

placement *tw_place(tw_core *c, job *j, int index, machine *m, uint64_t attempt) {
    placement *p = tw_zalloc(sizeof *p);
    p->job = j;
    p->m = m;
    p->index = index;
    p->attempt = attempt;
    p->ver = j->ver + 1; /* the caller marks the job changed */
    p->made_at = c->now;
    const image *i = tw_image(m, j);
    p->sharing = fetching(c, m, i);
    p->warmth = !i ? 0 : i->ready_at <= 0 ? 1 : -1;
    p->on_job = 1;
    DL_APPEND2(j->live, p, jprev, jnext);
    DL_APPEND(m->pls, p);
    j->st[index] = T_LIVE;
    j->nlive++;
    if (attempt >= j->next_try) j->next_try = attempt + 1;
    account(c, p, 1);
    m->idle_since = 0;
    return p;
}

/* The task no longer runs there; to: what it is now. */
static void leave_job(tw_core *c, placement *p, int to) {
    if (!p->on_job) return;
    job *j = p->job;
    account(c, p, -1);
    p->on_job = 0;
    DL_DELETE2(j->live, p, jprev, jnext);
    j->nlive--;
    if (j->st) j->st[p->index] = (uint8_t)to;
    if (to == T_DONE) j->ndone++;
    if (to == T_FREE) {
        if (p->index < j->cursor) j->cursor = p->index;
        j->pending_since = c->now;
    }
    c->sched_dirty = 1;
}

void tw_placement_free(tw_core *c, placement *p) {
    leave_job(c, p, T_FREE);
    DL_DELETE(p->m->pls, p);
    free(p);
}

void tw_placement_lost(tw_core *c, placement *p, const char *why) {
    job *j = p->job;
    int was = p->on_job;
    if (was)
        tw_log_debug("event=lost piece=%s/%d try=%llu tray=%s why=%s", j->id, p->index,
                     (unsigned long long)p->attempt, p->m->name, why);
    tw_placement_free(c, p);
    if (was) tw_job_changed(c, j, 0);
}

void tw_placement_kill(tw_core *c, placement *p, double mercy, int preempted) {
    if (!p->on_job) return;
    if (!p->sent && !p->direct) {
        tw_placement_lost(c, p, "not_sent");
        return;
    }
    if (!p->kill) p->kill_at = c->now;
    p->kill = 1;
    p->mercy_s = mercy;
    if (preempted && !p->preempted) {
        account(c, p, -1);
        p->preempted = 1;
        account(c, p, 1);
    }
    tw_want_direct(c, p->m);
}

/* ---- machines ---- */

void tw_machine_drop(tw_core *c, machine *m, const char *why) {
    placement *p, *t;
    image *i, *it;
    if (m->in_direct) DL_DELETE2(c->direct, m, dprev, dnext);
    c->ndirect -= m->direct_busy;
    m->in_direct = m->direct_busy = 0;
    if (why) tw_log_info("event=machine_gone tray=%s why=%s", m->name, why);
    DL_FOREACH_SAFE(m->pls, p, t) tw_placement_lost(c, p, why ? why : "term");
    DL_FOREACH_SAFE(m->images, i, it) {
        DL_DELETE(m->images, i);
        free(i);
    }
    job *j;
    DL_FOREACH(c->active, j)
    for (int k = 0; k < j->nbad; k++)
        if (j->bad[k] == m) j->bad[k] = NULL;
    HASH_DEL(c->machines, m);
    free(m);
}

uint32_t tw_sum(const char *name) {
    uint32_t h = 2166136261u; /* FNV-1a */
    for (; *name; name++) h = (h ^ (unsigned char)*name) * 16777619u;
    return h;
}

image *tw_image(const machine *m, const job *j) {
    image *i;
    DL_FOREACH(m->images, i) if (i->sum == j->bundle && !strcmp(i->name, j->s.bundle)) return i;
    return NULL;
}

static void note_image(tw_core *c, machine *m, const job *j, int ready) {
    const tw_wire_job *s = &j->s;
    image *i = tw_image(m, j), *x, *t;
    if (!i) {
        i = tw_zalloc(sizeof *i);
        snprintf(i->name, sizeof i->name, "%s", s->bundle);
        i->sum = j->bundle;
        i->gb = s->image_gb;
        double p = m->p > 0 ? m->p : m->rack >= 0 ? c->flavors[m->rack].p : 1;
        i->ready_at = c->now + s->image_gb * p * tw_fetch_slowed(c, m, NULL);
        DL_PREPEND(m->images, i);
    } else if (m->images != i) { /* most recently used first, as the machine keeps them */
        DL_DELETE(m->images, i);
        DL_PREPEND(m->images, i);
    }
    i->used = c->now;
    if (ready) i->ready_at = 0;
    double total = 0;
    int n = 0;
    DL_FOREACH_SAFE(m->images, x, t) {
        total += x->gb;
        n++;
        if (x != i &&
            ((m->rack >= 0 && total > c->flavors[m->rack].f.cache_gb) || n > MAX_IMAGES)) {
            DL_DELETE(m->images, x);
            free(x);
        }
    }
}

static double silence(const tw_core *c, const machine *m) {
    /* After a change of leader, workers need a while to find us; one that does not answer when
     * asked, twice, hangs or is gone. */
    double grace = !m->contact && m->probe_fails >= 2 ? -1 : 0.3;
    double from = fmax(fmax(m->heard, m->contact), c->acquired_at + grace * c->cf->lease_s);
    return c->now - fmax(from, tw_deputies_until(c, m->yard));
}

int tw_machine_silent(const tw_core *c, const machine *m) {
    return silence(c, m) > c->cf->tune.silent_ratio * c->cf->lease_s;
}

int tw_machine_usable(const tw_core *c, const machine *m) {
    return m->stage == M_UP && m->confirmed && m->rack >= 0 && !m->cordon && !m->release &&
           !m->closing && !m->lapsed && !m->failed && m->warned_until <= 0 &&
           c->now - m->contact < 2.5 * c->cf->report_s;
}

/* When the worker has surely ended its session, if we answer it no more. A worker that has not
 * seen our token may still have been answered by a predecessor. */
static double lapse_at(const tw_core *c, const machine *m) {
    const tw_conf *cf = c->cf;
    double from = fmax(fmax(m->heard, m->renewed), tw_deputies_until(c, m->yard));
    /* A session has a full lease from its beginning, also one that no report of was ever answered:
     * the machine may be known from direct orders only. */
    from = fmax(from, m->session_at);
    /* Whose leases were renewed while the records were read was not noted. */
    from = fmax(from, c->load_answered);
    /* Once it knows our token, a predecessor's answers no longer count; until then they may have.
     */
    from = fmax(from, m->confirmed ? m->confirmed_at : tw_predecessor_end(c));
    const double lease = cf->lease_s * (1 + 2 * cf->tune.drift + cf->tune.margin_ratio);
    double at = from + lease;
    /* Nodes of its zone that may have answered it while they could not reach us: either one said
     * later that it had not, or its grant is over. */
    for (size_t i = 0; i < c->npeers; i++) {
        const peer *p = &c->peers[i];
        if (p->grant_until <= 0 || (*m->yard && strcmp(m->yard, p->cf.zone))) continue;
        double said = fmax(from, p->dep_last) + lease;
        at = fmax(at, said < p->dep_asof ? said : fmax(from, p->grant_until) + lease);
    }
    return at;
}

/* ---- reports ---- */

static placement *find(machine *m, const tw_wire_piece *w) {
    placement *p;
    DL_FOREACH(m->pls, p)
    if (p->attempt == w->attempt && p->index == w->index && !strcmp(p->job->id, w->job)) return p;
    return NULL;
}

static void ema(double *v, double prior, double x, double w) {
    if (*v < 0) *v = prior;
    *v += w * (x - *v);
}

static void learn_start(tw_core *c, placement *p) {
    machine *m = p->m;
    if (m->rack < 0 || p->inherited || !p->sent) return;
    flavor *f = &c->flavors[m->rack];
    double delay = c->now - p->made_at, w = c->cf->tune.ema;
    double q = m->q < 0 ? f->q : m->q, gb = p->job->s.image_gb;
    if (p->warmth > 0) {
        ema(&m->q, f->q, delay, w);
        ema(&f->q, f->q, delay, w * 0.2);
    } else if (!p->warmth && gb > f->f.fetch_gb_s * 2 * c->cf->report_s) {
        /* One that found the image on its way waited for a part of the fetch only, and of a short
         * fetch a report tells mostly how long the report took. Whether fetches beside each other
         * share the rate is learned, too: taking it for granted made machines that fetch look slow,
         * and those that had fetched so look fast. */
        double x = fmax(0, delay - q) / gb;
        /* Twice as fast as the type's rate: the image was there, which a new leader can't know. */
        if (x * f->f.fetch_gb_s < 0.5) return;
        if (p->sharing) {
            double s = (x / f->p - 1) / p->sharing;
            ema(&f->share, f->share, fmin(1, fmax(0, s)), w * 0.4);
            x /= 1 + f->share * p->sharing;
        }
        ema(&f->p_dev, f->p_dev, fmin(1, fabs(x / f->p - 1)), w * 0.2);
        ema(&m->p, f->p, x, w);
        ema(&f->p, f->p, x, w * 0.2);
    }
}

static void learn_run(tw_core *c, placement *p) {
    machine *m = p->m;
    job *j = p->job;
    if (m->rack < 0 || p->run_at <= 0 || j->s.expect_s <= 0 || j->resumed || !j->lane) return;
    flavor *f = &c->flavors[m->rack];
    lane *l = j->lane;
    double w = c->cf->tune.ema, ratio = (c->now - p->run_at) / j->s.expect_s;
    double slow = m->slowness < 0 ? f->slowness : m->slowness;
    /* Estimates are often wrong by half: one run tells little of the machine. */
    ema(&m->slowness, f->slowness, fmin(10, fmax(0.1, ratio / l->ratio)), w * 0.5);
    double own = fmin(10, fmax(0.1, ratio / slow));
    l->dev += w * 0.3 * (fabs(own - l->ratio) - l->dev);
    l->ratio += w * 0.3 * (own - l->ratio);
}

static void note_error(tw_core *c, placement *p, int cause) {
    job *j = p->job;
    machine *m = p->m;
    j->errors++;
    /* Failing on several machines in a row, it is the job; then no machine is blamed for it. */
    int elsewhere = 0;
    for (int i = 0; i < j->nbad; i++) elsewhere += j->bad[i] && j->bad[i] != m;
    j->bad[j->nbad < 4 ? j->nbad++ : (int)(j->errors % 4)] = m;
    const double longest = c->cf->lease_s * 3;
    double back =
        elsewhere < 2 ? 0.2 : fmin(longest, 0.5 * (double)(1 << (j->errors > 8 ? 8 : j->errors)));
    /* It may be the only machine that fits, and a fault may pass. */
    j->bad_until = c->now + longest;
    j->retry_at = c->now + back;
    if (cause == TW_CAUSE_ERROR && elsewhere < 2) tw_sick_blame(c, p, elsewhere);
}

static void exited(tw_core *c, placement *p, const tw_wire_piece *w) {
    job *j = p->job;
    p->stage = TW_PIECE_EXITED;
    p->cause = w->cause;
    if (!p->on_job) return;
    int over = j->stage != TW_STAGE_PENDING;
    switch (w->cause) {
    case TW_CAUSE_DONE:
        learn_run(c, p);
        j->errors = 0;
        if (p->run_at > p->m->failed_at) tw_sick_well(c, p->m);
        leave_job(c, p, T_DONE);
        break;
    case TW_CAUSE_STOPPED:
        if (w->saved) j->resumed = 1;
        leave_job(c, p, T_FREE);
        break;
    case TW_CAUSE_ERROR:
    case TW_CAUSE_NO_SUCH:
        if (!over) note_error(c, p, w->cause);
        leave_job(c, p, T_FREE);
        break;
    default:
        j->retry_at = c->now + 0.3 * c->cf->report_s;
        leave_job(c, p, T_FREE);
        break;
    }
    tw_log_debug("event=exited piece=%s/%d tray=%s cause=%d", j->id, p->index, p->m->name,
                 w->cause);
    if (!over && j->ndone == j->pieces)
        tw_job_finish(c, j, TW_STAGE_DONE);
    else
        tw_job_changed(c, j, 0);
}

static void piece(tw_core *c, placement *p, const tw_wire_piece *w) {
    machine *m = p->m;
    if (!p->seen) {
        m->deaf = 0;
        p->misses = 0;
    }
    p->seen = p->sent = 1;
    if (p->stage == TW_PIECE_EXITED) return;
    if (w->stage == TW_PIECE_EXITED) {
        exited(c, p, w);
        return;
    }
    p->stage = w->stage;
    if (!p->job->has_spec) return;
    if (w->stage == TW_PIECE_RUNNING && p->run_at <= 0) {
        learn_start(c, p);
        p->run_at = c->now;
        tw_log_debug("event=running piece=%s/%d lane=%s rack=%s start_s=%.2f waited_s=%.2f",
                     p->job->id, p->index, p->job->s.lane, m->rack_name, c->now - p->made_at,
                     c->now - p->job->submitted);
        note_image(c, m, p->job, 1);
    } else if (w->stage == TW_PIECE_PULLING && !tw_image(m, p->job)) {
        note_image(c, m, p->job, 0);
    }
    if (p->run_at > 0 && c->now - p->run_at > 2 * c->cf->lease_s) p->job->errors = 0;
    if (p->run_at > 0) tw_sick_running(c, p);
    if (p->run_at > 0 && c->now - p->run_at > c->cf->lease_s) p->job->begun = 1;
}

typedef struct {
    tw_wire_order *v; /* the core's, room for MAX_ORDERS: an answer is put together at a time */
    int n;
} orders;

static orders orders_new(tw_core *c) {
    if (!c->order) c->order = tw_zalloc(MAX_ORDERS * sizeof *c->order);
    return (orders){c->order, 0};
}

static void add(orders *o, int verb, const char *id, int index, uint64_t attempt, double mercy) {
    if (o->n >= MAX_ORDERS) return;
    tw_wire_order *x = &o->v[o->n++];
    memset(x, 0, sizeof *x);
    x->verb = verb;
    x->index = index;
    x->attempt = attempt;
    x->mercy_s = mercy;
    snprintf(x->job, sizeof x->job, "%s", id);
}

/* A task in a report that we have no placement for. */
static void stranger(tw_core *c, machine *m, const tw_wire_piece *w, orders *o) {
    job *j = tw_job_find(c, w->job);
    int known = j && j->st && j->stage == TW_STAGE_PENDING && w->index < j->pieces;
    if (w->stage == TW_PIECE_EXITED) {
        if (known && w->cause == TW_CAUSE_DONE && j->st[w->index] == T_FREE) {
            j->st[w->index] = T_DONE;
            j->ndone++;
            if (j->ndone == j->pieces)
                tw_job_finish(c, j, TW_STAGE_DONE);
            else
                tw_job_changed(c, j, 0);
        }
        /* Only a machine that refuses older tokens can't be made to start it again. */
        if (o && m->confirmed && (!known || w->cause != TW_CAUSE_DONE || j->ver == j->durable_ver))
            add(o, TW_VERB_FORGET, w->job, w->index, w->attempt, 0);
        return;
    }
    if (known && j->st[w->index] == T_FREE && tw_zone_allows(c, j, m->yard) &&
        tw_quota_allows(c, j)) {
        placement *p = tw_place(c, j, w->index, m, w->attempt);
        p->inherited = 1;
        p->mark = c->mark;
        piece(c, p, w);
        tw_job_changed(c, j, 0);
        tw_log_info("event=adopted piece=%s/%d tray=%s", w->job, w->index, m->name);
        return;
    }
    tw_log_info("event=stray piece=%s/%d try=%llu tray=%s", w->job, w->index,
                (unsigned long long)w->attempt, m->name);
    if (o) add(o, TW_VERB_KILL, w->job, w->index, w->attempt, 0);
}

/* Many machines that seem not to hear us: then it is us, or the network. */
static int deaf_believable(tw_core *c) {
    if (c->now - c->deaf_since > c->cf->lease_s) {
        c->deaf_since = c->now;
        c->deaf_n = 0;
    }
    return ++c->deaf_n <= 1 + (int)HASH_COUNT(c->machines) / 15;
}

/* The session is over: the worker has killed and forgotten all. */
static void new_session(tw_core *c, machine *m, const tw_wire_report *r) {
    placement *p, *t;
    int had = 0;
    DL_FOREACH_SAFE(m->pls, p, t) {
        if (!p->sent && !p->inherited) continue;
        if (!p->inherited && p->shift >= r->shift) continue;
        had += p->on_job;
        tw_placement_lost(c, p, "session");
    }
    /* It reported, we answered, and still its lease lapsed: it does not hear us. */
    if (m->confirmed && c->now - m->heard < 0.5 * c->cf->lease_s && !m->lapsed &&
        deaf_believable(c)) {
        m->deaf += 3;
        tw_log_info("event=deaf tray=%s shift=%llu lost=%d", m->name, (unsigned long long)r->shift,
                    had);
    }
}

/* Takes a report in; 0 if it is older than what we know. */
static int take_report(tw_core *c, machine *m, const tw_wire_report *r, orders *o) {
    if (r->shift < m->shift || (r->shift == m->shift && r->tick <= m->tick)) return 0;
    /* Its lease has surely lapsed: of that session only late reports can come, held by a cut or
     * sent by a machine that goes on after it hung. Whatever they name runs no more. */
    if (m->lapsed && r->shift == m->shift) return 0;
    if (m->shift && r->shift > m->shift) new_session(c, m, r);
    if (r->shift != m->shift) m->session_at = c->now;
    m->shift = r->shift;
    m->tick = r->tick;
    m->stage = M_UP;
    m->contact = c->now;
    m->unreached = 0;
    m->lapsed = 0;
    m->loaner = r->loaner;
    snprintf(m->endpoint, sizeof m->endpoint, "%s", r->endpoint);
    tw_machine_at(c, m, r->yard);
    snprintf(m->rack_name, sizeof m->rack_name, "%s", r->rack);
    if (m->rack < 0) m->rack = tw_rack_index(c, r->rack);
    if (!m->confirmed && r->baton >= c->token) {
        m->confirmed = 1;
        m->confirmed_at = c->now;
        c->sched_dirty = 1;
    }
    if (r->warning_s >= 0 && m->warned_until <= 0) {
        m->warned_until = c->now + r->warning_s;
        tw_log_info("event=notice tray=%s s=%.1f", m->name, r->warning_s);
    }
    c->mark++;
    for (int i = 0; i < r->npieces; i++) {
        placement *p = find(m, &r->pieces[i]);
        if (p) {
            p->mark = c->mark;
            piece(c, p, &r->pieces[i]);
        } else {
            stranger(c, m, &r->pieces[i], o);
        }
    }
    placement *p, *t;
    DL_FOREACH_SAFE(m->pls, p, t) {
        if (p->mark == c->mark || (!p->sent && !p->inherited)) continue;
        if (p->stage == TW_PIECE_EXITED && p->seen) {
            tw_placement_free(c, p); /* forgotten, as told */
        } else if (p->inherited || p->seen) {
            /* Gone, and nothing on the way could still start it: older tokens are refused. */
            if (m->confirmed && !p->direct) tw_placement_lost(c, p, "absent");
        } else if (o && !p->direct && p->sent_tick < r->tick) {
            /* Only the next report proper tells: an answer to direct orders may have overtaken the
             * answer that holds the launch. */
            /* The answer that held the launch was lost, and is not executed late. */
            p->sent = 0;
            if (p->kill) {
                tw_placement_lost(c, p, "never_started");
            } else if (++p->misses >= 3 && m->deaf < 3 && deaf_believable(c)) {
                m->deaf = 3;
                tw_log_info("event=deaf tray=%s misses=%d", m->name, p->misses);
            }
        }
    }
    return 1;
}

static int may_launch(const placement *p) {
    /* A predecessor's is never launched again: whether it still comes is settled first, and then
     * the task gets a new attempt. */
    return !p->inherited && !p->seen && !p->kill && p->on_job &&
           p->job->stage == TW_STAGE_PENDING && !p->job->aborting && p->ver <= p->job->durable_ver;
}

/* Commands for a machine. From a report's answer (tick > 0) they are never executed late; direct
 * ones may be, as long as token and session match:
 * - a launch is of a durable placement, which counts as running until its fate is known;
 * - a kill names one attempt, which is never started again;
 * - a forget is not sent directly, nor for an attempt with a direct launch still under way. */
static void commands(tw_core *c, machine *m, orders *o, uint64_t tick) {
    placement *p;
    double dc = 0, dg = 0, dm = 0; /* held by tasks that are not yet launched or still saving */
    DL_FOREACH(m->pls, p) {
        if (p->on_job && p->kill) {
            int saves = p->mercy_s > 0 && p->job->s.snapshot_s > 0 && p->stage != TW_PIECE_PULLING;
            if (!p->seen && p->direct && tick &&
                (p->sent_tick ? p->sent_tick < tick : !m->direct_busy))
                /* A direct launch got no answer and may still come: started and stopped here, it
                 * can't start then. Without that a lost one would leave the task in between for
                 * ever: a kill of what the machine doesn't have tells nothing. */
                add(o, TW_VERB_LAUNCH, p->job->id, p->index, p->attempt, 0);
            if (p->stage != TW_PIECE_FLUSHING || p->mercy_s <= 0)
                add(o, TW_VERB_KILL, p->job->id, p->index, p->attempt, p->mercy_s);
            if (saves && p->preempted) {
                dc += p->job->s.cores;
                dg += p->job->s.gpus;
                dm += p->job->s.memory_gb;
            }
        }
    }
    if (!tw_authority(c) || m->rack < 0) return;
    const tw_wire_flavor *f = &c->flavors[m->rack].f;
    /* Free for launches: all room less what is there and was launched, less what still saves. */
    double fc = f->cores - dc, fg = f->gpus - dg, fm = f->memory_gb - dm;
    DL_FOREACH(m->pls, p) {
        if (!p->on_job || p->preempted) continue;
        if (may_launch(p) && !p->sent) continue;
        fc -= p->job->s.cores;
        fg -= p->job->s.gpus;
        fm -= p->job->s.memory_gb;
    }
    DL_FOREACH(m->pls, p) {
        if (!may_launch(p)) continue;
        int again = p->sent;
        if (again && !tick) continue; /* its first launch is on the way */
        if (!again) {
            const double e = 1e-6;
            if (fc + e < p->job->s.cores || fg + e < p->job->s.gpus || fm + e < p->job->s.memory_gb)
                continue;
            fc -= p->job->s.cores;
            fg -= p->job->s.gpus;
            fm -= p->job->s.memory_gb;
        }
        if (o->n >= MAX_ORDERS) break;
        add(o, TW_VERB_LAUNCH, p->job->id, p->index, p->attempt, 0);
        p->sent = 1;
        p->shift = m->shift;
        if (tick)
            p->sent_tick = tick;
        else
            p->direct++;
    }
    if (!tick) return;
    DL_FOREACH(m->pls, p) {
        if (p->stage != TW_PIECE_EXITED || !p->seen || p->direct) continue;
        if (p->cause == TW_CAUSE_DONE && p->job->durable_ver != p->job->ver &&
            p->job->durable_stage == TW_STAGE_PENDING)
            continue; /* not durable yet */
        add(o, TW_VERB_FORGET, p->job->id, p->index, p->attempt, 0);
    }
}

/* It came up, or is overdue: so many of its type do not come in time. */
static void boot_known(tw_core *c, const machine *m) {
    double *share = &c->flavors[m->rack].overdue;
    ema(share, *share, m->overdue, 0.1 * c->cf->tune.ema);
}

void tw_hello(tw_core *c, uint64_t conn, const char *body, size_t len, int from_peer) {
    tw_wire_report r;
    if (tw_wire_report_parse(&r, body, len)) {
        tw_reply_error(c, conn, 400, 0, "malformed report");
        return;
    }
    if (r.baton > c->seen_token) tw_saw_token(c, r.baton, NULL);
    if (c->role == R_LEADER && r.baton > c->token) tw_step_down(c, "a worker saw a later token");
    int full = tw_authority(c), hold = tw_holding(c);
    if (c->role != R_LEADER || (!full && !hold)) {
        if (from_peer)
            tw_reply_error(c, conn, 503, 1, "not the leader");
        else if (r.baton > c->leader_token) /* somebody we don't know leads by now */
            tw_reply(c, conn, 421, 0, tw_wire_foreman_text(NULL));
        else
            tw_relay_hello(c, conn, &r, body, len);
        tw_wire_report_free(&r);
        return;
    }
    if (!from_peer && strcmp(r.yard, c->cf->location) && tw_send_home(c, conn, &r)) {
        tw_wire_report_free(&r); /* there it is answered even if its zone is cut off from ours */
        return;
    }
    if (c->phase == PH_LOADING) {
        /* Renewed, nothing more: what should run there is not known yet. */
        c->load_answered = c->now;
        tw_reply(c, conn, 200, 0, tw_wire_orders_text(c->token, 0, NULL, 0));
        tw_wire_report_free(&r);
        return;
    }
    gone *g;
    HASH_FIND_STR(c->released, r.tray, g);
    machine *m = tw_machine(c, r.tray);
    if (g || (m && m->releasing)) { /* a late report of a machine we returned */
        tw_reply_error(c, conn, 503, 1, "returned");
        tw_wire_report_free(&r);
        return;
    }
    if (!m) {
        m = tw_machine_new(c, r.tray);
        tw_log_info("event=machine_new tray=%s rack=%s yard=%s", r.tray, r.rack, r.yard);
    }
    orders o = orders_new(c);
    if (!take_report(c, m, &r, &o)) {
        /* Overtaken by the answer to direct orders, or a late copy. The worker of the former must
         * not be turned away; the latter must not make a dead machine look alive. */
        if (r.shift == m->shift && !m->lapsed) {
            m->renewed = c->now;
            tw_reply(c, conn, 200, 0, tw_wire_orders_text(c->token, 0, NULL, 0));
        } else {
            tw_reply_error(c, conn, 503, 1, "older than known");
        }
    } else {
        m->heard = c->now;
        if (m->first_heard <= 0) {
            m->first_heard = c->now;
            if (m->rack >= 0 && !m->overdue) boot_known(c, m);
            tw_log_info("event=machine_up tray=%s rack=%s yard=%s loaner=%d after=%.1f", m->name,
                        r.rack, r.yard, r.loaner, c->now - m->born);
        }
        commands(c, m, &o, r.tick);
        m->want_probe = m->want_direct = 0;
        if (!m->confirmed) tw_want_probe(c, m);
        tw_reply(c, conn, 200, 0, tw_wire_orders_text(c->token, 0, o.v, (size_t)o.n));
    }
    tw_wire_report_free(&r);
}

/* ---- direct orders ---- */

static void look_at(tw_core *c, machine *m) {
    if (m->in_direct) return;
    m->in_direct = 1;
    DL_APPEND2(c->direct, m, dprev, dnext);
}

void tw_want_direct(tw_core *c, machine *m) {
    m->want_direct = 1;
    look_at(c, m);
}

void tw_want_probe(tw_core *c, machine *m) {
    m->want_probe = 1;
    look_at(c, m);
}

static void direct(tw_core *c, machine *m) {
    if (m->direct_busy || c->now < m->direct_after || (!m->want_direct && !m->want_probe)) return;
    /* Orders that order nothing make a machine know our token, and tell what is on it. */
    int probe = m->want_probe;
    m->want_direct = m->want_probe = 0;
    if (m->release || !*m->endpoint) return;
    if (!probe &&
        (m->stage != M_UP || !m->confirmed || c->now - m->contact > 2.5 * c->cf->report_s))
        return;
    if (!m->shift) { /* its session is not known yet */
        call *k = tw_call(c, K_ORDERS, TW_TO_WORKER, m->endpoint, "GET", "/inspect", NULL, 1.5);
        snprintf(k->name, sizeof k->name, "%s", m->name);
        m->direct_busy = 1;
        c->ndirect++;
        return;
    }
    orders o = orders_new(c);
    /* Commands only to one that answered lately: others might carry them out late. */
    if (m->confirmed && c->now - m->contact < 2.5 * c->cf->report_s) commands(c, m, &o, 0);
    if (!o.n && !probe) return;
    call *k = tw_call(c, K_ORDERS, TW_TO_WORKER, m->endpoint, "POST", "/orders",
                      tw_wire_orders_text(c->token, m->shift, o.v, (size_t)o.n), 1.5);
    snprintf(k->name, sizeof k->name, "%s", m->name);
    k->names = tw_zalloc((size_t)o.n * TW_NAME);
    k->vers = tw_zalloc((size_t)o.n * sizeof *k->vers);
    for (int i = 0; i < o.n; i++) {
        if (o.v[i].verb != TW_VERB_LAUNCH) continue;
        snprintf(k->names[k->n], TW_NAME, "%s/%d", o.v[i].job, o.v[i].index);
        k->vers[k->n++] = o.v[i].attempt;
    }
    m->direct_busy = 1;
    c->ndirect++;
}

/* Runs after every input, so it looks only at machines that something was wanted of; at all of them
 * once a tick. */
void tw_fleet_direct(tw_core *c) {
    machine *m, *t;
    /* Only with time left to spare: a launch should arrive under our authority. */
    if (c->now + 0.1 * c->ttl > c->auth_until) return;
    if (c->now >= c->next_direct) {
        c->next_direct = c->now + tw_core_tick_s(c);
        int asked = c->ndirect;
        HASH_ITER(hh, c->machines, m, t) {
            if (m->direct_busy || c->now < m->direct_after) continue;
            /* Its reports may reach a node that can't reach us, while we reach the machine. */
            if (m->stage == M_UP && c->now - m->contact > 1.5 * c->cf->report_s &&
                asked < (int)(MAX_ASKED * c->cf->sockets)) {
                m->want_probe = 1;
                asked++;
            }
            if (m->want_direct || m->want_probe) look_at(c, m);
        }
    }
    while ((m = c->direct)) {
        DL_DELETE2(c->direct, m, dprev, dnext);
        m->in_direct = 0;
        direct(c, m);
    }
}

void tw_fleet_response(tw_core *c, call *k, int status, const char *body, size_t len) {
    machine *m = tw_machine(c, k->name);
    if (!m) return;
    c->ndirect -= m->direct_busy;
    m->direct_busy = 0;
    if (m->want_direct || m->want_probe) look_at(c, m);
    if (status == 0) {
        m->unreached++;
        m->direct_after = c->now + (m->contact ? fmin(1 + m->unreached, 8) : 1) * c->cf->report_s;
        if (!m->contact && ++m->probe_fails < 4) tw_want_probe(c, m);
        return; /* may still arrive: the placements keep their mark */
    }
    placement *p;
    char name[TW_NAME];
    for (int i = 0; i < k->n; i++) {
        DL_FOREACH(m->pls, p) {
            snprintf(name, sizeof name, "%s/%d", p->job->id, p->index);
            if (p->attempt != k->vers[i] || strcmp(name, k->names[i])) continue;
            if (p->direct) p->direct--;
            if (status != 200 && !p->seen && !p->sent_tick && !p->direct) p->sent = 0;
            break;
        }
    }
    tw_wire_report r;
    if ((status != 200 && status != 409) || tw_wire_report_parse(&r, body, len)) return;
    if (r.baton > c->token) {
        tw_saw_token(c, r.baton, NULL);
    } else if (!strcmp(r.tray, m->name)) {
        take_report(c, m, &r, NULL);
        if (!m->confirmed && m->probed++ < 4) tw_want_probe(c, m);
    }
    tw_wire_report_free(&r);
}

/* ---- time ---- */

static void ask_release(tw_core *c, machine *m, const char *why) {
    if (m->release) return;
    m->release = m->cordon = 1;
    c->returns_due = 1;
    tw_log_info("event=release tray=%s why=%s held_s=%.0f", m->name, why, c->now - m->born);
    placement *p, *t;
    DL_FOREACH_SAFE(m->pls, p, t)
    if (!p->sent && !p->inherited) tw_placement_lost(c, p, "released");
}

/* Most machines of its zone silent as well: rather the network than the machine. */
static int zone_cut(tw_core *c, const machine *x) {
    for (size_t i = 0; i < c->npeers; i++) { /* nor do we reach its nodes, or only just again */
        const peer *p = &c->peers[i];
        if (!strcmp(p->cf.zone, x->yard) && strcmp(x->yard, c->cf->location) &&
            (!tw_zone_reached(c, x->yard) || c->now < p->back_at + 3 * c->cf->report_s))
            return 1;
    }
    for (int z = 0; z < c->nquiet; z++)
        if (!strcmp(c->quiet[z].yard, x->yard)) return c->now < c->quiet[z].until;
    return 0;
}

/* Zones most of whose machines are silent. When the first is silent for long enough to be given up,
 * those that are cut off with it were heard up to a report later: so much less counts as silent.
 * But one that looks for another node is late by half a report. After a cut they need a while to
 * find a node that answers. */
static void note_quiet(tw_core *c) {
    const double report = c->cf->report_s;
    const double late =
        fmin(2.5 * report, fmax(1.5 * report, c->cf->tune.silent_ratio * c->cf->lease_s - report));
    machine *m, *t;
    for (int z = 0; z < c->nquiet; z++) c->quiet[z].all = c->quiet[z].silent = 0;
    HASH_ITER(hh, c->machines, m, t) {
        if ((m->stage != M_UP && !m->pls) || m->failed) continue;
        int z = 0;
        while (z < c->nquiet && strcmp(c->quiet[z].yard, m->yard)) z++;
        if (z == TW_MAX_ZONES) continue;
        if (z == c->nquiet) {
            memset(&c->quiet[z], 0, sizeof c->quiet[z]);
            snprintf(c->quiet[c->nquiet++].yard, TW_NAME, "%s", m->yard);
        }
        c->quiet[z].all++;
        c->quiet[z].silent += c->now - fmax(m->heard, c->acquired_at + 0.3 * c->cf->lease_s) > late;
    }
    for (int z = 0; z < c->nquiet; z++)
        if (c->quiet[z].all > 2 && c->quiet[z].silent * 2 > c->quiet[z].all)
            c->quiet[z].until = c->now + 3 * c->cf->report_s;
}

static void on_notice(tw_core *c, machine *m) {
    placement *p, *t;
    double left = m->warned_until - c->now;
    DL_FOREACH_SAFE(m->pls, p, t) {
        if (!p->on_job || p->kill) continue;
        const tw_wire_job *s = &p->job->s;
        double est = tw_estimate(p->job) * (m->slowness > 0 ? m->slowness : 1);
        double rest = p->run_at > 0 ? est - (c->now - p->run_at) : est;
        if (!s->service && rest > 0 && rest < 0.5 * left) continue; /* will be done in time */
        tw_placement_kill(c, p, s->snapshot_s > 0 ? s->flush_s : 0, 0);
    }
}

static void machine_tick(tw_core *c, machine *m) {
    const tw_conf *cf = c->cf;
    double boot = m->rack >= 0 ? c->flavors[m->rack].f.startup_s : cf->lease_s * 4;
    placement *p, *t;
    int sent = 0;
    DL_FOREACH(m->pls, p) sent += p->on_job && (p->sent || p->inherited);
    if (m->stage == M_UP && !tw_machine_usable(c, m)) DL_FOREACH_SAFE(m->pls, p, t)
    if (!p->sent && !p->inherited && !p->direct) tw_placement_lost(c, p, "unusable");
    if (m->rack < 0 && *m->rack_name) m->rack = tw_rack_index(c, m->rack_name);
    if (sent && c->now > lapse_at(c, m) && c->dep_known &&
        c->dep_checked_at < c->now - 0.1 * cf->lease_s) {
        tw_deputies_read(c); /* first see whether a deputy renews it */
    } else if (sent && c->now > lapse_at(c, m) && c->dep_known) {
        c->lapse_decided_at = c->now;
        tw_log_info("event=lapsed tray=%s", m->name);
        m->lapsed = 1;
        DL_FOREACH_SAFE(m->pls, p, t) tw_placement_lost(c, p, "lapsed");
    }
    if (m->stage == M_BOOTING && !sent && !m->overdue && m->rack >= 0 &&
        c->now - m->born > 1.6 * boot + cf->report_s) {
        m->overdue = 1;
        boot_known(c, m);
    }
    if (m->release) return;
    if (m->failed) {
        ask_release(c, m, "failed");
    } else if (m->stage == M_BOOTING && !sent) {
        /* One with a predecessor's tasks is up: it is silent, below, if we don't hear of it. */
        if (c->now - m->born > 4 * boot + cf->list_lag_s && c->now - c->acquired_at > cf->lease_s)
            ask_release(c, m, "never_up");
    } else if (m->deaf >= 3) {
        ask_release(c, m, "deaf");
    } else if (tw_machine_silent(c, m) && c->now > tw_deputies_until(c, m->yard) &&
               !zone_cut(c, m)) {
        ask_release(c, m, "silent");
    } else if (c->now > fmax(lapse_at(c, m), m->contact) + cf->lease_s) {
        ask_release(c, m, "lost");
    } else if (m->warned_until > 0) {
        on_notice(c, m);
        int live = 0;
        DL_FOREACH(m->pls, p) live += p->on_job;
        if (!live) ask_release(c, m, "notice");
    } else if (m->cordon || m->closing) {
        int live = 0;
        DL_FOREACH(m->pls, p) live += p->on_job;
        if (!live) ask_release(c, m, m->closing ? "drained" : "sick");
        if (live) tw_sick_tick(c, m);
    }
}

void tw_fleet_tick(tw_core *c) {
    if (c->now < c->next_fleet) return;
    c->next_fleet = c->now + c->cf->report_s / 6;
    machine *m, *t;
    note_quiet(c);
    HASH_ITER(hh, c->machines, m, t) machine_tick(c, m);
    gone *g, *gt;
    HASH_ITER(hh, c->released, g, gt) {
        if (c->now - g->at < 600 + 20 * c->cf->list_lag_s) continue;
        HASH_DEL(c->released, g);
        free(g);
    }
}
