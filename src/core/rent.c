/* Dealing with the cloud: types and prices, the list of machines, renting and returning. */
#include "core/core_int.h"

/* ---- flavors ---- */

static void take_flavors(tw_core *c, const char *body, size_t len) {
    tw_wire_flavor *f;
    int n;
    if (tw_wire_flavors_parse(&f, &n, body, len) || !n) return;
    if (n > 31) {
        tw_log_error("event=too_many_racks used=31 of=%d", n);
        n = 31;
    }
    int fresh = !c->nflavors;
    if (fresh) {
        c->flavors = tw_zalloc((size_t)n * sizeof *c->flavors);
        c->nflavors = n;
        for (int i = 0; i < n; i++) {
            c->flavors[i].f = f[i];
            c->flavors[i].slowness = 1;
            c->flavors[i].q = 0.05 * c->cf->report_s;
            c->flavors[i].p = 1.1 / f[i].fetch_gb_s;
            c->flavors[i].p_dev = 0.1;
            c->flavors[i].overdue = 0.06;
            c->flavors[i].share = 0.5;
            c->noffers += 2 * f[i].nyards;
        }
        c->offers = tw_zalloc((size_t)c->noffers * sizeof *c->offers);
        int k = 0;
        for (int i = 0; i < n; i++)
            for (int y = 0; y < f[i].nyards; y++)
                for (int s = 0; s < 2; s++)
                    c->offers[k++] = (offer){.rack = i, .zone = y, .loaner = s};
        /* Records read before the types were known. */
        job *j;
        DL_FOREACH(c->active, j) if (j->has_spec) j->rackmask = tw_rack_mask(c, &j->s);
        tw_log_info("event=flavors n=%d", n);
    } else { /* only prices move; an index never changes its meaning */
        for (int i = 0; i < n; i++) {
            int r = tw_rack_index(c, f[i].label);
            if (r < 0) continue;
            c->flavors[r].f.hourly = f[i].hourly;
            c->flavors[r].f.low_price = f[i].low_price;
        }
    }
    free(f);
}

/* ---- the list ---- */

static void take_tray(tw_core *c, const tw_wire_tray *t) {
    gone *g;
    HASH_FIND_STR(c->released, t->id, g);
    if (g) return;
    machine *m = tw_machine(c, t->id);
    if (!m) {
        m = tw_machine_new(c, t->id);
        m->born = c->now - t->held_s;
    }
    m->listed = 1;
    m->missing = 0;
    m->loaner = t->loaner;
    if (!*m->yard) tw_machine_at(c, m, t->yard);
    snprintf(m->rack_name, sizeof m->rack_name, "%s", t->rack);
    if (m->rack < 0) m->rack = tw_rack_index(c, t->rack);
    if (!*m->endpoint && *t->endpoint) snprintf(m->endpoint, sizeof m->endpoint, "%s", t->endpoint);
    if (t->stage == 2) m->failed = 1;
    /* After a change of leader we need not wait until the worker has found us. */
    if (t->stage == 1 && !m->contact && !m->probed) {
        m->probed = 1;
        tw_want_probe(c, m);
    }
}

static void list_done(tw_core *c, int status, const char *body, size_t len) {
    tw_wire_tray *t;
    int n, more;
    c->list_busy = 0;
    if (status != 200 || tw_wire_trays_parse(&t, &n, &more, body, len)) {
        c->next_list = c->now + 1;
        return;
    }
    if (!*c->list_after) { /* first page */
        machine *m, *mt;
        HASH_ITER(hh, c->machines, m, mt) m->missing++;
    }
    for (int i = 0; i < n; i++) take_tray(c, &t[i]);
    if (more && n) {
        snprintf(c->list_after, sizeof c->list_after, "%s", t[n - 1].id);
        c->next_list = c->now;
    } else {
        *c->list_after = 0;
        c->lists++;
        c->next_list = c->now + fmax(1, 0.5 * c->cf->list_lag_s);
    }
    free(t);
}

static void list_machines(tw_core *c) {
    char path[200];
    int n = snprintf(path, sizeof path, "/rentals?most=500");
    if (*c->list_after) snprintf(path + n, sizeof path - (size_t)n, "&since=%s", c->list_after);
    c->list_busy = 1;
    tw_call(c, K_LIST, TW_TO_CLOUD, c->cf->cloud, "GET", path, NULL, 5);
}

/* ---- returning ---- */

static void send_releases(tw_core *c) {
    char names[100][TW_NAME];
    int n = 0;
    machine *m, *t;
    HASH_ITER(hh, c->machines, m, t) {
        if (!m->release || m->releasing || n >= 100) continue;
        snprintf(names[n++], TW_NAME, "%s", m->name);
    }
    if (!n || !tw_take(c, &c->cloud, 1)) return;
    for (int i = 0; i < n; i++) tw_machine(c, names[i])->releasing = 1;
    call *k = tw_call(c, K_RELEASE, TW_TO_CLOUD, c->cf->cloud, "POST", "/rentals/release",
                      tw_wire_names_text(names, n), 5);
    k->n = n;
    k->names = tw_zalloc((size_t)n * TW_NAME);
    memcpy(k->names, names, (size_t)n * TW_NAME);
    c->release_busy = 1;
}

static void release_done(tw_core *c, call *k, int status) {
    c->release_busy = 0;
    for (int i = 0; i < k->n; i++) {
        machine *m = tw_machine(c, k->names[i]);
        if (!m) continue;
        if (status != 200) {
            m->releasing = 0; /* asked again: releasing twice is harmless */
            c->release_retry = c->now + 1;
            continue;
        }
        gone *g = tw_zalloc(sizeof *g);
        snprintf(g->name, sizeof g->name, "%s", m->name);
        g->at = c->now;
        HASH_ADD_STR(c->released, name, g);
        tw_machine_drop(c, m, "released");
    }
}

/* ---- asking ---- */

const char *tw_offer_yard(const tw_core *c, const offer *o) {
    return c->flavors[o->rack].f.yards[o->zone];
}

static void send_ask(tw_core *c, ask *a) {
    offer o = {.rack = a->rack, .zone = a->zone, .loaner = a->loaner};
    a->busy = 1;
    call *k = tw_call(c, K_RENT, TW_TO_CLOUD, c->cf->cloud, "POST", "/rentals",
                      tw_wire_rent_text(a->name, c->flavors[a->rack].f.label, tw_offer_yard(c, &o),
                                        a->loaner, a->number),
                      5);
    snprintf(k->name, sizeof k->name, "%s", a->name);
}

/* The kind that most machines have been wanted of for longest. */
static offer *most_wanted(const tw_core *c) {
    offer *best = NULL;
    double bv = 0;
    for (int i = 0; i < c->noffers; i++) {
        offer *o = &c->offers[i];
        if (o->want <= 0 || c->now < o->refused_until) continue;
        double v = o->want * (c->now - o->wanted_since + 0.5);
        if (v <= bv) continue;
        bv = v;
        best = o;
    }
    return best;
}

static void ask_for(tw_core *c, offer *o) {
    ask *a = tw_zalloc(sizeof *a);
    /* The token makes the name unlike any of another leader's. */
    snprintf(a->name, sizeof a->name, "r-%llu-%llu", (unsigned long long)c->token,
             (unsigned long long)++c->next_ask);
    a->rack = o->rack;
    a->zone = o->zone;
    a->loaner = o->loaner;
    a->number = o->want > TW_RENT_NUMBER ? TW_RENT_NUMBER : o->want;
    o->want -= a->number;
    o->wanted_since = o->want ? c->now : 0;
    DL_APPEND(c->asks, a);
    send_ask(c, a);
}

static void rent_done(tw_core *c, call *k, int status, const char *body, size_t len) {
    ask *a;
    DL_FOREACH(c->asks, a) if (!strcmp(a->name, k->name)) break;
    if (!a) return;
    a->busy = 0;
    offer *o = NULL;
    for (int i = 0; i < c->noffers; i++)
        if (c->offers[i].rack == a->rack && c->offers[i].zone == a->zone &&
            c->offers[i].loaner == a->loaner)
            o = &c->offers[i];
    char(*names)[TW_WIRE_NAME];
    int n;
    if (status == 200 && !tw_wire_names_parse(&names, &n, body, len)) {
        for (int i = 0; i < n; i++) {
            gone *g;
            HASH_FIND_STR(c->released, names[i], g);
            if (g || tw_machine(c, names[i])) continue;
            machine *m = tw_machine_new(c, names[i]);
            m->rack = a->rack;
            m->loaner = a->loaner;
            m->born = k->sent;
            tw_machine_at(c, m, tw_offer_yard(c, o));
            snprintf(m->rack_name, sizeof m->rack_name, "%s", c->flavors[a->rack].f.label);
        }
        free(names);
        tw_log_info("event=rented ask=%s rack=%s yard=%s loaner=%d asked=%d got=%d", a->name,
                    c->flavors[a->rack].f.label, tw_offer_yard(c, o), a->loaner, a->number, n);
        o->refused = n < a->number ? o->refused + 1 : 0;
        if (n < a->number) o->refused_until = c->now + c->cf->list_lag_s * 2;
    } else if (status == 503 && strstr(body, "no capacity")) {
        o->refused++;
        o->refused_until = c->now + c->cf->list_lag_s * fmin(6, 1 + o->refused);
        tw_log_info("event=refused rack=%s yard=%s loaner=%d", c->flavors[a->rack].f.label,
                    tw_offer_yard(c, o), a->loaner);
    } else if (status == 400) {
        tw_log_error("event=rent_malformed ask=%s", a->name);
        o->refused_until = c->now + 60;
    } else { /* unknown: the same name again gets the same answer */
        a->next_try = c->now + 1;
        return;
    }
    DL_DELETE(c->asks, a);
    free(a);
    c->sched_dirty = 1;
}

/* What there is and how full it is, for the operators' eyes. */
static void log_fleet(tw_core *c) {
    for (int r = 0; r < c->nflavors; r++)
        for (int s = 0; s < 2; s++) {
            machine *m, *t;
            int up = 0, coming = 0, idle = 0;
            double cores = 0, gpus = 0, batch = 0;
            HASH_ITER(hh, c->machines, m, t) {
                if (m->rack != r || m->loaner != s) continue;
                if (m->stage == M_BOOTING) {
                    coming++;
                    continue;
                }
                up++;
                idle += !m->pls;
                cores += m->used_c;
                gpus += m->used_g;
                placement *p;
                DL_FOREACH(m->pls, p)
                if (p->on_job && !p->job->s.service) batch += p->job->s.gpus;
            }
            if (!up && !coming) continue;
            const tw_wire_flavor *f = &c->flavors[r].f;
            tw_log_info("event=fleet rack=%s loaner=%d up=%d idle=%d coming=%d cores=%.2f "
                        "gpus=%.2f batch_gpus=%.0f",
                        f->label, s, up, idle, coming, up ? cores / (up * f->cores) : 0,
                        up && f->gpus > 0 ? gpus / (up * f->gpus) : 0, batch);
        }
}

void tw_rent_tick(tw_core *c) {
    if (!c->flavors_busy && c->now >= c->next_flavors && tw_take(c, &c->cloud, 1)) {
        c->flavors_busy = 1;
        tw_call(c, K_FLAVORS, TW_TO_CLOUD, c->cf->cloud, "GET", "/flavors", NULL, 3);
    }
    if (c->role != R_LEADER || c->phase != PH_ACTIVE || !tw_authority(c) || !c->nflavors) return;
    if (c->now >= c->next_rent) {
        c->next_rent = c->now + 0.5;
        tw_plan(c);
    }
    if (c->now >= c->next_fleet_log) {
        c->next_fleet_log = c->now + 2 * c->cf->lease_s;
        log_fleet(c);
    }
    ask *a;
    DL_FOREACH(c->asks, a)
    if (!a->busy && c->now >= a->next_try && tw_take(c, &c->cloud, 1)) send_ask(c, a);
    /* Little may be asked of the cloud: what is wanted gathers until a request may go. */
    for (offer *o; (o = most_wanted(c)) && tw_take(c, &c->cloud, 1);) ask_for(c, o);
    if (!c->release_busy && c->now >= c->release_retry) send_releases(c);
    if (!c->list_busy && c->now >= c->next_list && tw_take(c, &c->cloud, 1)) list_machines(c);
}

void tw_rent_response(tw_core *c, call *k, int status, const char *body, size_t len) {
    switch (k->kind) {
    case K_FLAVORS:
        c->flavors_busy = 0;
        if (status == 200) take_flavors(c, body, len);
        c->next_flavors = c->now + (c->nflavors ? 60 : 0.5);
        break;
    case K_LIST:
        list_done(c, status, body, len);
        break;
    case K_RENT:
        rent_done(c, k, status, body, len);
        break;
    case K_RELEASE:
        release_done(c, k, status);
        break;
    default:
        break;
    }
}
