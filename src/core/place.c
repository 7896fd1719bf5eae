/* Placement after GoodServe: T = q + p * missing GB + slowness * expected run time. Of the machines
 * with room that meet the deadline the slowest is taken, else the least overshoot. */
#include "core/core_int.h"

#define MAX_PER_PASS 300

double tw_job_due(const tw_core *c, const job *j) {
    (void)c;
    if (!j->s.service && j->s.due_s >= 0) return j->submitted + j->s.due_s;
    /* A service's deadline is its class's start objective, counted anew after a loss. */
    if (j->lane && j->lane->within_s > 0)
        return fmax(j->submitted, j->pending_since) + j->lane->within_s;
    return INFINITY;
}

double tw_estimate(const job *j) {
    if (j->s.service) return 0;
    return j->s.expect_s * (j->lane ? j->lane->ratio : 1);
}

static double missing_gb(const tw_core *c, const job *j, const machine *m, const image *i) {
    if (!i) return j->s.image_gb;
    return i->ready_at <= 0 ? 0 : fmax(0, i->ready_at - c->now) * c->flavors[m->rack].f.fetch_gb_s;
}

double tw_predict(const tw_core *c, const job *j, const machine *m, double *run) {
    const flavor *f = &c->flavors[m->rack];
    double q = m->q < 0 ? f->q : m->q, p = m->p < 0 ? f->p : m->p;
    double slow = m->slowness < 0 ? f->slowness : m->slowness;
    const image *i = tw_image(m, j);
    double gb = missing_gb(c, j, m, i);
    *run = slow * tw_estimate(j);
    return q + p * gb * tw_fetch_slowed(c, m, i) + *run;
}

/* Whether that is in time. A service has no run time to make up in: a fetch that is expected to end
 * just before its start objective is late half of the time. */
static int in_time_there(const tw_core *c, const job *j, const machine *m, double T, double due) {
    const flavor *f = &c->flavors[m->rack];
    double margin =
        j->s.service ? 2 * f->p_dev * (m->p < 0 ? f->p : m->p) * missing_gb(c, j, m, tw_image(m, j))
                     : 0;
    return c->now + T + margin <= due;
}

int tw_zone_allows(const tw_core *c, const job *j, const char *yard) {
    (void)c;
    if (*j->s.yard && strcmp(j->s.yard, yard)) return 0;
    if (!j->s.same_place && !j->s.apart) return 1;
    int here = 0, max = (j->pieces + 1) / 2;
    const placement *p;
    DL_FOREACH2(j->live, p, jnext) {
        int unknown = !*p->m->yard; /* may be any zone */
        int same = unknown || !strcmp(p->m->yard, yard);
        if (j->s.same_place && (unknown || !same)) return 0;
        here += same;
    }
    return !j->s.apart || here < max;
}

int tw_quota_allows(const tw_core *c, const job *j) {
    if (j->team < 0) return 0;
    const tw_conf_team *t = &c->cf->teams[j->team];
    return (t->cpus_max <= 0 || c->team_c[j->team] + j->s.cores <= t->cpus_max + 1e-6) &&
           (t->gpus_max <= 0 || c->team_g[j->team] + j->s.gpus <= t->gpus_max + 1e-6);
}

/* Cores that a GPU's user takes along with it, at the most; the same for memory. */
void tw_per_gpu_note(tw_core *c) {
    const lane *l;
    c->gpu_cores = c->gpu_mem = 0;
    for (l = c->lanes; l; l = l->hh.next) {
        if (!l->has_sample || l->sample.gpus <= 0) continue;
        c->gpu_cores = fmax(c->gpu_cores, l->sample.cores / l->sample.gpus);
        c->gpu_mem = fmax(c->gpu_mem, l->sample.memory_gb / l->sample.gpus);
    }
}

/* Work without GPUs takes of a GPU machine only what its GPUs' users leave. */
static int leaves_gpus(const tw_core *c, const machine *m, const job *j) {
    const tw_wire_job *s = &j->s;
    const tw_wire_flavor *f = &c->flavors[m->rack].f;
    if (s->gpus > 0 || f->gpus <= 0 || j->any_machine) return 1;
    double cores = c->gpu_cores, mem = c->gpu_mem, free_g = f->gpus - m->used_g;
    if (cores <= 0) {
        cores = f->cores / f->gpus;
        mem = f->memory_gb / f->gpus;
    }
    return f->cores - m->used_c - s->cores + 1e-6 >= free_g * cores &&
           f->memory_gb - m->used_m - s->memory_gb + 1e-6 >= free_g * mem;
}

/* Zones that the job's next task may go to, as bits over c->yards: the same for all machines. */
static uint32_t zones_of(const tw_core *c, const job *j) {
    uint32_t zones = 0;
    for (int z = 0; z < c->nyards; z++)
        if (tw_zone_allows(c, j, c->yards[z])) zones |= 1u << z;
    return zones;
}

static int allowed(const tw_core *c, const job *j, const machine *m, uint32_t zones) {
    if (!(j->rackmask & (1u << m->rack)) || (m->loaner && !j->s.loaner)) return 0;
    if (m->zone >= 0 ? !(zones & (1u << m->zone)) : !tw_zone_allows(c, j, m->yard)) return 0;
    if (!tw_machine_usable(c, m) || !tw_sick_allows(m)) return 0;
    for (int i = 0; i < j->nbad; i++)
        if (j->bad[i] == m && c->now < j->bad_until) return 0;
    return 1;
}

static double bucket_of_slowness(const tw_core *c, const machine *m) {
    double s = m->slowness < 0 ? c->flavors[m->rack].slowness : m->slowness;
    return floor(log(fmax(s, 0.05)) / log(1.4) + 0.5);
}

static void note_zones(tw_core *c) {
    machine *m, *t;
    c->nzones = 0;
    HASH_ITER(hh, c->machines, m, t) {
        if (!tw_machine_usable(c, m) || m->loaner) continue;
        int z = 0;
        while (z < c->nzones && strcmp(c->zones[z].yard, m->yard)) z++;
        if (z == TW_MAX_ZONES) continue;
        if (z == c->nzones) {
            memset(&c->zones[z], 0, sizeof c->zones[z]);
            snprintf(c->zones[c->nzones++].yard, TW_NAME, "%s", m->yard);
        }
        c->zones[z].cores += c->flavors[m->rack].f.cores;
        c->zones[z].gpus += c->flavors[m->rack].f.gpus;
        c->zones[z].used_c += m->used_c;
        c->zones[z].used_g += m->used_g;
    }
}

/* The free share of a zone: what may go anywhere leaves the fuller zone to what must go there. */
static double zone_free(const tw_core *c, const job *j, const machine *m) {
    for (int z = 0; z < c->nzones; z++) {
        if (strcmp(c->zones[z].yard, m->yard)) continue;
        if (j->s.gpus > 0)
            return c->zones[z].gpus > 0 ? 1 - c->zones[z].used_g / c->zones[z].gpus : 0;
        return c->zones[z].cores > 0 ? 1 - c->zones[z].used_c / c->zones[z].cores : 0;
    }
    return 0;
}

/* Among machines that meet the deadline, larger is taken. */
static double preference(const tw_core *c, const job *j, const machine *m) {
    const tw_wire_flavor *f = &c->flavors[m->rack].f;
    double fit, v = 0;
    const image *i = tw_image(m, j);
    if (j->s.gpus > 0)
        fit = (m->used_g + j->s.gpus) / f->gpus;
    else
        fit = f->gpus > 0 ? 1 : (m->used_c + j->s.cores) / f->cores;
    if (j->s.service) {
        if (i) v += i->ready_at <= 0 ? 20 : 10;
        v += 30 * zone_free(c, j, m);
        /* In time or not, a replica is down while its image comes: no zone is worth a long fetch.
         */
        double fetch = (m->p < 0 ? c->flavors[m->rack].p : m->p) * missing_gb(c, j, m, i);
        if (j->lane && j->lane->within_s > 0) v -= 30 * fmin(1, fetch / j->lane->within_s);
    } else {
        v += 1000 * bucket_of_slowness(c, m); /* the slowest that is just enough */
        /* A slow machine leaves the fast ones to others; a fetch leaves nobody anything: what it
         * adds to the run counts against the machine, in the same steps. */
        const flavor *fl = &c->flavors[m->rack];
        double fetch = (m->p < 0 ? fl->p : m->p) * missing_gb(c, j, m, i);
        v -= 1500 * log(1 + fetch / fmax(tw_estimate(j), 1)) / log(1.4);
        if (m->loaner) v += 100;
        if (i) v += 20;
    }
    return v + 10 * fit;
}

/* ---- what a pass need not try again ---- */

/* Within a pass room only gets less, but for what is said below. So a shape that found none, by
 * itself or by stopping others, is not tried on the whole fleet again for the next of many jobs
 * alike: while hundreds wait, this is most of a pass. */
static tw_futile shape_of(const job *j, uint32_t zones) {
    return (tw_futile){.cores = j->s.cores,
                       .gpus = j->s.gpus,
                       .mem = j->s.memory_gb,
                       .racks = j->rackmask,
                       .zones = zones,
                       .loaner = j->s.loaner,
                       .rank = j->s.rank,
                       .service = j->s.service,
                       .any_machine = j->any_machine,
                       .whole = j->s.gang};
}

static int is_futile(const tw_core *c, const tw_futile *x) {
    for (int i = 0; i < c->nfutile; i++) {
        const tw_futile *f = &c->futile[i];
        if (f->cores == x->cores && f->gpus == x->gpus && f->mem == x->mem &&
            f->racks == x->racks && f->zones == x->zones && f->loaner == x->loaner &&
            f->rank == x->rank && f->service == x->service && f->any_machine == x->any_machine &&
            f->whole == x->whole)
            return 1;
    }
    return 0;
}

static void note_futile(tw_core *c, const tw_futile *x) {
    if (c->nfutile == c->futile_cap) {
        c->futile_cap = c->futile_cap ? 2 * c->futile_cap : 16;
        c->futile = realloc(c->futile, (size_t)c->futile_cap * sizeof *c->futile);
        if (!c->futile) abort();
    }
    c->futile[c->nfutile++] = *x;
}

/* A task with GPUs was placed: what may be taken beside them need not be less now. */
static void forget_futile_without_gpus(tw_core *c) {
    int n = 0;
    for (int i = 0; i < c->nfutile; i++)
        if (c->futile[i].gpus > 0) c->futile[n++] = c->futile[i];
    c->nfutile = n;
}

/* meets: whether the one taken is expected to meet the deadline; kept: some room was not given
 * since it is kept for others. */
static machine *choose(tw_core *c, job *j, uint32_t zones, int *meets, int *kept) {
    machine *m, *t, *best = NULL;
    double due = tw_job_due(c, j), bv = -INFINITY;
    int bok = 0;
    *meets = 0;
    HASH_ITER(hh, c->machines, m, t) {
        double run;
        c->steps++;
        if (m->rack < 0 || !tw_fits(m, &c->flavors[m->rack], &j->s) || !allowed(c, j, m, zones) ||
            !leaves_gpus(c, m, j))
            continue;
        if (!tw_reserve_allows(c, m, j)) {
            *kept = 1;
            continue;
        }
        double T = tw_predict(c, j, m, &run);
        int ok = in_time_there(c, j, m, T, due);
        double v = ok ? preference(c, j, m) : -T;
        if (ok > bok || (ok == bok && v > bv)) {
            best = m;
            bok = ok;
            bv = v;
        }
    }
    *meets = bok;
    return best;
}

static int next_free(job *j) {
    while (j->cursor < j->pieces && j->st[j->cursor] != T_FREE) j->cursor++;
    return j->cursor < j->pieces ? j->cursor : -1;
}

/* The record must stay under the state service's value limit. */
int tw_max_live(const tw_core *c) {
    double room = c->cf->state_value_kb * 1024 * 0.8 - 1500;
    return room < 80 ? 2 : (int)(room / 40);
}

/* ---- making room ---- */

static int victim_ok(const job *j, const placement *p) {
    return p->on_job && !p->kill && p->job->has_spec && p->job->s.rank < j->s.rank;
}

/* Work lost when p is stopped, in task seconds. */
static double victim_cost(const tw_core *c, const placement *p) {
    double ran = p->run_at > 0 ? c->now - p->run_at : 0;
    if (p->job->s.snapshot_s > 0) ran = fmin(ran, p->job->s.flush_s);
    /* Rather one that can start over and still make its deadline. */
    double est = tw_estimate(p->job), due = tw_job_due(c, p->job);
    if (isfinite(due) && c->now + 1.3 * est > due) ran += est;
    return ran + 1 + p->job->s.rank * 10;
}

/* Whether it may be enough at all, from sums alone. */
static int may_vacate(const tw_core *c, const machine *m, const job *j) {
    const tw_wire_flavor *f = &c->flavors[m->rack].f;
    const double e = 1e-3; /* sums drift */
    double fc = f->cores - m->used_c + m->kill_c, fg = f->gpus - m->used_g + m->kill_g,
           fm = f->memory_gb - m->used_m + m->kill_m;
    for (int r = 0; r < j->s.rank; r++) {
        fc += m->held[r].c;
        fg += m->held[r].g;
        fm += m->held[r].m;
    }
    return fc + e >= j->s.cores && fg + e >= j->s.gpus && fm + e >= j->s.memory_gb;
}

static void vacate(tw_core *c, job *j, machine *m, int apply, double *cost, int *enough) {
    const tw_wire_flavor *f = &c->flavors[m->rack].f;
    double fc = f->cores - m->used_c + m->kill_c, fg = f->gpus - m->used_g + m->kill_g,
           fm = f->memory_gb - m->used_m + m->kill_m;
    const double e = 1e-6;
    *cost = 0;
    for (;;) {
        if (fc + e >= j->s.cores && fg + e >= j->s.gpus && fm + e >= j->s.memory_gb) {
            *enough = 1;
            return;
        }
        placement *p, *best = NULL;
        double least = INFINITY;
        DL_FOREACH(m->pls, p) {
            if (!victim_ok(j, p) || p->mark == UINT64_MAX) continue;
            if (j->s.gpus > 0 && p->job->s.gpus <= 0 && fg + e < j->s.gpus) continue;
            double x = victim_cost(c, p);
            if (x < least) {
                least = x;
                best = p;
            }
        }
        if (!best) break;
        best->mark = UINT64_MAX;
        *cost += least;
        fc += best->job->s.cores;
        fg += best->job->s.gpus;
        fm += best->job->s.memory_gb;
        if (apply) {
            const tw_wire_job *s = &best->job->s;
            tw_log_debug("event=preempt piece=%s/%d for=%s tray=%s", s->id, best->index, j->id,
                         m->name);
            /* Saving takes flush_s: only where the one that needs the room can wait for it. */
            int saves = s->snapshot_s > 0 && c->now + s->flush_s < tw_job_due(c, j);
            tw_placement_kill(c, best, saves ? s->flush_s : 0, 1);
        }
    }
    *enough = 0;
}

static void unmark(machine *m) {
    placement *p;
    DL_FOREACH(m->pls, p) if (p->mark == UINT64_MAX) p->mark = 0;
}

/* A machine where stopping work of lower rank makes room, at the least loss. in_time: only one
 * where the deadline is met. */
static machine *preempt(tw_core *c, job *j, uint32_t zones, int in_time, int *kept) {
    machine *m, *t, *best = NULL;
    double bc = INFINITY, cost, run;
    int enough;
    if (j->s.rank <= TW_RANK_IDLE) return NULL;
    double due = tw_job_due(c, j);
    HASH_ITER(hh, c->machines, m, t) {
        c->steps++;
        if (m->rack < 0 || !may_vacate(c, m, j) || !allowed(c, j, m, zones) ||
            !leaves_gpus(c, m, j))
            continue;
        if (!tw_reserve_allows(c, m, j)) {
            *kept = 1;
            continue;
        }
        vacate(c, j, m, 0, &cost, &enough);
        unmark(m);
        if (!enough) continue;
        if (!in_time_there(c, j, m, tw_predict(c, j, m, &run), due)) {
            if (in_time) continue;
            cost += 60;
        }
        if (cost < bc) {
            bc = cost;
            best = m;
        }
    }
    if (best) {
        vacate(c, j, best, 1, &cost, &enough);
        unmark(best);
        c->nfutile = 0; /* more may have been stopped than it needs */
    }
    return best;
}

/* ---- passes ---- */

/* Places one task on the best machine of the zones given, as bits over c->yards. 0: no room, or not
 * for its team. */
static int place_task(tw_core *c, job *j, int index, uint64_t attempt, uint32_t among) {
    int meets;
    int kept = 0;
    if (!tw_quota_allows(c, j)) return 0;
    uint32_t zones = zones_of(c, j) & among;
    tw_futile shape = shape_of(j, zones);
    if (is_futile(c, &shape)) return 0;
    machine *m = choose(c, j, zones, &meets, &kept);
    if (!m && !j->s.gang) m = preempt(c, j, zones, 0, &kept);
    if (m && !meets && j->s.service && j->s.rank == TW_RANK_PROD) {
        /* Its start objective would be missed there: rather at a batch task's cost. */
        machine *x = preempt(c, j, zones, 1, &kept);
        if (x) m = x;
    }
    if (!m) {
        /* Not because of what is its own alone, or of holes, which come and go. */
        if (!kept && !j->nbad) note_futile(c, &shape);
        return 0;
    }
    if (j->s.gpus > 0) forget_futile_without_gpus(c);
    tw_reserve_take(c, m, j);
    const placement *p = tw_place(c, j, index, m, attempt);
    double run;
    tw_log_debug("event=place piece=%s/%d try=%llu tray=%s lane=%s rack=%s waited_s=%.2f "
                 "start_s=%.2f left_s=%.2f image=%s",
                 j->id, index, (unsigned long long)p->attempt, m->name, j->s.lane, m->rack_name,
                 c->now - j->submitted, tw_predict(c, j, m, &run) - run, tw_job_due(c, j) - c->now,
                 j->s.bundle);
    return 1;
}

/* Places up to limit tasks, each under an attempt of its own, or all under the one given. */
static int place_tasks(tw_core *c, job *j, int limit, uint64_t common_attempt, uint32_t among) {
    int cap = tw_max_live(c);
    int placed = 0;
    int index;
    while (placed < limit && j->nlive < cap && (index = next_free(j)) >= 0) {
        uint64_t attempt = common_attempt ? common_attempt : j->next_try;
        if (!place_task(c, j, index, attempt, among)) break;
        placed++;
    }
    return placed;
}

static void take_back(tw_core *c, job *j) {
    placement *p;
    placement *t;
    DL_FOREACH_SAFE2(j->live, p, t, jnext) tw_placement_free(c, p);
    c->nfutile = 0;
}

/* Places a gang whole or not at all; its tasks find each other by their common attempt. One that
 * must stand in one zone goes where its first task fits best. Where that zone has room for a part
 * of it only, the other zones are tried: else it would be placed there and taken back for ever. */
static int place_gang(tw_core *c, job *j) {
    uint32_t among = UINT32_MAX;
    if (j->nlive) return 0; /* until the rest of the last attempt is gone */
    for (;;) {
        int placed = place_tasks(c, j, tw_max_live(c), j->next_try, among);
        if (!placed || j->nlive + j->ndone == j->pieces) return placed;
        int zone = j->live->m->zone;
        take_back(c, j);
        if (!j->s.same_place || zone < 0) return 0;
        among &= ~(1u << zone);
    }
}

/* Places what it can of a job; the number of tasks placed. */
static int place_job(tw_core *c, job *j, int limit) {
    int placed = j->s.gang ? place_gang(c, j) : place_tasks(c, j, limit, 0, UINT32_MAX);
    if (!placed) return 0;
    tw_job_changed(c, j, j->s.rank >= TW_RANK_PROD);
    placement *p;
    DL_FOREACH2(j->live, p, jnext) if (p->ver > j->ver) p->ver = j->ver;
    return placed;
}

int tw_place_new(tw_core *c, job *j) {
    if (j->s.rank < TW_RANK_PROD || !tw_job_pending(c, j)) {
        c->sched_dirty = 1;
        c->next_sched = fmin(c->next_sched, c->now);
        return 0;
    }
    note_zones(c);
    tw_reserve_note(c);
    c->nfutile = 0;
    place_job(c, j, MAX_PER_PASS);
    return j->nlive + j->ndone == j->pieces;
}

void tw_schedule(tw_core *c) {
    c->sched_dirty = 0;
    c->next_sched = c->now + 0.1;
    note_zones(c);
    tw_reserve_note(c);
    c->nfutile = 0;
    tw_turns *t = tw_turns_new(c, 1);
    job *j;
    int left = MAX_PER_PASS;
    while (left > 0 && (j = tw_turns_next(c, t))) {
        int share = tw_turns_contended(t) ? 1 : left; /* a task a turn while others wait */
        int n = place_job(c, j, share);
        left -= n;
        tw_turns_placed(c, t, j, n);
        if (n && n == share && tw_job_pending(c, j)) tw_turns_again(t);
    }
    if (left <= 0) c->sched_dirty = 1;
    tw_turns_free(t);
}

/* ---- rerun elsewhere ---- */

static double slowness_of(const tw_core *c, const machine *m) {
    return m->slowness < 0 ? c->flavors[m->rack].slowness : m->slowness;
}

/* When a task will end if it misses its deadline, else 0. */
static double late_end(const tw_core *c, const placement *p, double *slow) {
    const job *j = p->job;
    double est = tw_estimate(j), due = tw_job_due(c, j), ran = c->now - p->run_at;
    if (!isfinite(due) || est <= 0) return 0;
    *slow = fmax(slowness_of(c, p->m), ran / est);
    double end = fmax(p->run_at + est * *slow, c->now + 0.1 * est);
    return end <= due ? 0 : end;
}

/* Where a full rerun of one of j's tasks would make the deadline, machines by their T. */
typedef struct {
    machine *m;
    double T;
} haven;

static int havens(tw_core *c, const job *j, haven **out) {
    machine *m, *t;
    int n = 0, cap = 0;
    double run, due = tw_job_due(c, j);
    uint32_t zones = zones_of(c, j);
    *out = NULL;
    HASH_ITER(hh, c->machines, m, t) {
        c->steps++;
        if (m->rack < 0 || !tw_fits(m, &c->flavors[m->rack], &j->s) || !allowed(c, j, m, zones))
            continue;
        double T = tw_predict(c, j, m, &run);
        if (c->now + T > due) continue;
        if (n == cap) {
            cap = cap ? 2 * cap : 16;
            *out = realloc(*out, (size_t)cap * sizeof **out);
            if (!*out) abort();
        }
        (*out)[n++] = (haven){m, T};
    }
    return n;
}

/* A task that will miss its deadline is started again elsewhere, if a full rerun there makes it. */
static int rerun(tw_core *c, placement *p, double end, double slow, const haven *h, int n) {
    job *j = p->job;
    for (int i = 0; i < n; i++) {
        const machine *m = h[i].m;
        if (m == p->m || c->now + h[i].T >= end || slowness_of(c, m) * 1.3 > slow) continue;
        tw_log_info("event=rerun piece=%s/%d from=%s to=%s late_s=%.1f", j->id, p->index,
                    p->m->name, m->name, end - tw_job_due(c, j));
        tw_placement_kill(c, p, j->s.snapshot_s > 0 ? j->s.flush_s : 0, 0);
        return 1;
    }
    return 0;
}

void tw_recheck(tw_core *c) {
    job *j;
    int left = 4;
    DL_FOREACH(c->active, j) {
        if (j->stage != TW_STAGE_PENDING || !j->has_spec || j->s.service || j->s.gang ||
            j->s.due_s < 0)
            continue;
        placement *p, *t;
        haven *h = NULL;
        int n = -1; /* looked for once a job, and only if some task of it is late */
        DL_FOREACH_SAFE2(j->live, p, t, jnext) {
            double slow, end;
            if (left <= 0) break;
            if (p->kill || p->run_at <= 0 || p->stage != TW_PIECE_RUNNING || p->m->rack < 0 ||
                (end = late_end(c, p, &slow)) <= 0)
                continue;
            if (n < 0) n = havens(c, j, &h);
            if (!n) break;
            left -= rerun(c, p, end, slow, h, n);
        }
        free(h);
        if (left <= 0) break;
    }
    c->sched_dirty = 1; /* waits may have ended, too */
}
