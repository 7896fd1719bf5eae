/* Dispatch: a request, a response or a tick goes to the file that handles it; then what follows
 * from it is decided, written and sent. Also the effects that all of them use. */
#include "core/scheduler_int.h"

#define LONG_AGO (-1e9)
#define SHORTEST_TTL_S 0.2
#define TEXT_SIZE 160
#define PATH_SIZE 512
/* Ticks: so many in a report's interval, within limits. */
#define TICKS_PER_REPORT 20
#define SHORTEST_TICK_S 0.05
#define LONGEST_TICK_S 0.1

void *tw_zalloc(size_t n) {
    void *p = calloc(1, n ? n : 1);
    if (!p) abort();
    return p;
}

/* ---- effects ---- */

static void push(tw_core *c, tw_fx *f) {
    f->next = NULL;
    if (c->fx_tail)
        c->fx_tail->next = f;
    else
        c->fx_head = f;
    c->fx_tail = f;
}

tw_fx *tw_core_next(tw_core *c) {
    tw_fx *f = c->fx_head;
    if (!f) return NULL;
    c->fx_head = f->next;
    if (!c->fx_head) c->fx_tail = NULL;
    return f;
}

void tw_core_fx_free(tw_fx *f) {
    free(f->path);
    free(f->body);
    free(f);
}

void tw_reply(tw_core *c, uint64_t conn, int status, double retry_after, char *body) {
    if (!conn) {
        free(body);
        return;
    }
    tw_fx *f = tw_zalloc(sizeof *f);
    f->kind = TW_FX_REPLY;
    f->id = conn;
    f->status = status;
    f->retry_after = retry_after;
    f->body = body;
    push(c, f);
}

void tw_reply_error(tw_core *c, uint64_t conn, int status, double retry_after, const char *what) {
    char text[TEXT_SIZE];
    snprintf(text, sizeof text, "{\"error\":\"%s\"}", what);
    tw_reply(c, conn, status, retry_after, strdup(text));
}

call *tw_call(tw_core *c, int kind, int to, const char *addr, const char *method, const char *path,
              char *body, double timeout_s) {
    call *k = tw_zalloc(sizeof *k);
    if (to == TW_TO_STATE) c->calls_made[kind]++;
    k->id = ++c->next_call;
    k->kind = kind;
    k->sent = c->now;
    k->gen = c->gen;
    HASH_ADD(hh, c->calls, id, sizeof k->id, k);
    tw_fx *f = tw_zalloc(sizeof *f);
    f->kind = TW_FX_CALL;
    f->id = k->id;
    f->to = to;
    snprintf(f->addr, sizeof f->addr, "%s", addr);
    f->method = method;
    f->path = strdup(path);
    f->body = body;
    f->timeout_s = timeout_s;
    push(c, f);
    return k;
}

static void call_free(call *k) {
    free(k->text);
    free(k->names);
    free(k->records);
    free(k->vers);
    free(k);
}

/* ---- construction ---- */

tw_core *tw_core_new(const tw_conf *cf, uint64_t seed, double now, double wall) {
    tw_core *c = tw_zalloc(sizeof *c);
    c->cf = cf;
    c->now = now;
    c->wall = wall;
    c->npeers = cf->npeers;
    c->rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(c->rng, (unsigned long)seed);
    c->started_at = now;
    c->state_ok_at = LONG_AGO;
    c->ttl = cf->tune.election_ratio * cf->lease_s;
    if (c->ttl < SHORTEST_TTL_S) c->ttl = SHORTEST_TTL_S;
    tw_election_init(c);
    tw_budgets_init(c);
    c->team_c = tw_zalloc((cf->nteams + 1) * sizeof(double));
    c->team_g = tw_zalloc((cf->nteams + 1) * sizeof(double));
    c->reports = tw_wire_reports_new();
    c->peers = tw_zalloc(cf->npeers * sizeof *c->peers);
    for (size_t i = 0; i < cf->npeers; i++) {
        c->peers[i].cf = cf->peers[i];
        c->peers[i].ok_at = c->peers[i].vouched_at = LONG_AGO;
    }
    tw_failover_init(c);
    for (size_t i = 0; i < cf->nobjectives; i++) {
        const tw_conf_objective *o = &cf->objectives[i];
        if (!*o->cls) continue;
        lane *l = tw_lane(c, o->cls);
        if (!strcmp(o->kind, "wait")) l->within_s = o->within_s;
        if (!strcmp(o->kind, "finished")) l->finish_s = o->within_s;
        if (!strcmp(o->kind, "deadline")) l->deadline = 1;
    }
    return c;
}

void tw_core_free(tw_core *c) {
    tw_term_clear(c);
    tw_relay_end(c);
    tw_deputy_end(c);
    tw_redirect_end(c);
    call *k, *kt;
    HASH_ITER(hh, c->calls, k, kt) {
        HASH_DEL(c->calls, k);
        call_free(k);
    }
    lane *l, *lt;
    HASH_ITER(hh, c->lanes, l, lt) {
        HASH_DEL(c->lanes, l);
        free(l);
    }
    tw_fx *f;
    while ((f = tw_core_next(c))) tw_core_fx_free(f);
    free(c->flavors);
    tw_wire_reports_free(c->reports);
    free(c->order);
    free(c->futile);
    free(c->candidates);
    tw_scores_free(c);
    free(c->offers);
    free(c->peers);
    free(c->team_c);
    free(c->team_g);
    gsl_rng_free(c->rng);
    free(c);
}

/* ---- inputs ---- */

static void at(tw_core *c, double now, double wall) {
    if (now > c->now) c->now = now;
    c->wall = wall;
}

/* What follows from any input: placing, writing, sending. */
static void settle(tw_core *c) {
    if (c->role == R_LEADER && c->phase == PH_ACTIVE && tw_authority(c)) {
        if (c->sched_dirty && c->now >= c->next_sched) tw_schedule(c);
        tw_jobs_flush(c);
        tw_fleet_direct(c);
    }
}

static void up(tw_core *c, uint64_t conn) {
    /* Useful requests can be served while the state service or another node answers us. */
    if (tw_isolated(c) && !tw_authority(c))
        tw_reply_error(c, conn, TW_HTTP_UNAVAILABLE, 1, "isolated");
    else
        tw_reply(c, conn, TW_HTTP_OK, 0, strdup("{\"up\":true}"));
}

void tw_core_request(tw_core *c, double now, double wall, int port, uint64_t conn,
                     const char *method, const char *path, const char *body, size_t len) {
    at(c, now, wall);
    int get = !strcmp(method, "GET"), post = !strcmp(method, "POST");
    int peer_port = port == TW_PORT_PEER;
    char p[PATH_SIZE];
    size_t n = strcspn(path, "?#");
    if (n >= sizeof p) n = sizeof p - 1;
    memcpy(p, path, n);
    p[n] = 0;
    static const char jobs[] = "/v1/jobs/";
    if (peer_port && post && !strcmp(p, "/peer/ping")) {
        tw_ping_request(c, conn, body, len);
    } else if (!peer_port && post && !strcmp(p, "/hello")) {
        tw_hello(c, conn, body, len, 0);
    } else if (peer_port && post && !strcmp(p, "/peer/hello")) {
        tw_hello(c, conn, body, len, 1);
    } else if (get && !strcmp(p, "/up")) {
        up(c, conn);
    } else if (post && !strcmp(p, "/v1/jobs")) {
        tw_submit(c, conn, body, len, peer_port);
    } else if (!strncmp(p, jobs, sizeof jobs - 1) && strlen(p) < 256) {
        char *id = p + sizeof jobs - 1, *slash = strchr(id, '/');
        if (get && !slash) {
            tw_poll(c, conn, id, peer_port);
        } else if (post && slash && !strcmp(slash, "/abort")) {
            *slash = 0;
            tw_abort_job(c, conn, id, peer_port);
        } else {
            tw_reply_error(c, conn, slash ? TW_HTTP_NOT_FOUND : TW_HTTP_METHOD_NOT_ALLOWED, 0,
                           "no such resource");
        }
    } else {
        tw_reply_error(c, conn, TW_HTTP_NOT_FOUND, 0, "no such resource");
    }
    settle(c);
}

void tw_core_response(tw_core *c, double now, double wall, uint64_t id, int status,
                      const char *body, size_t len) {
    at(c, now, wall);
    call *k;
    HASH_FIND(hh, c->calls, &id, sizeof id, k);
    if (!k) return;
    HASH_DEL(c->calls, k);
    if (status == TW_HTTP_TOO_MANY) c->calls_refused++;
    switch (k->kind) {
    case K_LEADER_GET:
    case K_LEADER_WATCH:
    case K_GRANT:
    case K_ACQUIRE:
    case K_RENEW:
    case K_GRANT_DEL:
    case K_PING:
        tw_election_response(c, k, status, body, len);
        break;
    case K_LOOKUP:
    case K_CREATE:
    case K_PROXY:
        tw_users_response(c, k, status, body, len);
        break;
    case K_RELAY:
        tw_relay_response(c, k, status, body, len);
        break;
    case K_DEP_JOBS:
        tw_deputy_jobs(c, status, body, len);
        break;
    case K_DEPUTY:
        tw_deputy_response(c, k, status);
        break;
    case K_FLAVORS:
        tw_rent_response(c, k, status, body, len);
        break;
    default:
        if (k->gen != c->gen) break; /* of a term that is over */
        if (k->kind == K_TXN || k->kind == K_JOB_READ || k->kind == K_PARTS ||
            k->kind == K_PARTS_REMOVE)
            tw_jobs_response(c, k, status, body, len);
        else if (k->kind == K_DEPUTIES)
            tw_deputies_page(c, k, status, body, len);
        else if (k->kind == K_NEWS_LIST || k->kind == K_NEWS || k->kind == K_NEWS_DEL)
            tw_news_response(c, k, status, body, len);
        else if (k->kind == K_LOAD)
            tw_recover_page(c, status, body, len);
        else if (k->kind == K_ORDERS)
            tw_fleet_response(c, k, status, body, len);
        else
            tw_rent_response(c, k, status, body, len);
    }
    call_free(k);
    settle(c);
}

uint64_t tw_core_steps(const tw_core *c) { return c->steps; }

double tw_core_tick_s(const tw_core *c) {
    const double interval_s = c->cf->report_s / TICKS_PER_REPORT;
    return fmin(LONGEST_TICK_S, fmax(SHORTEST_TICK_S, interval_s));
}

/* What the state service was asked for: its limit is for all nodes together. */
static void log_calls(tw_core *c) {
    if (c->now < c->next_calls_log) return;
    c->next_calls_log = c->now + c->cf->lease_s;
    const unsigned *n = c->calls_made;
    tw_log_debug(
        "event=state_calls s=%.0f key=%u watch=%u elect=%u renew=%u txn=%u read=%u load=%u "
        "deputy=%u deputies=%u list=%u news=%u refused=%u",
        c->cf->lease_s, n[K_LEADER_GET], n[K_LEADER_WATCH],
        n[K_GRANT] + n[K_ACQUIRE] + n[K_GRANT_DEL], n[K_RENEW],
        n[K_TXN] + n[K_CREATE] + n[K_PARTS] + n[K_PARTS_REMOVE], n[K_JOB_READ] + n[K_LOOKUP],
        n[K_LOAD], n[K_DEPUTY], n[K_DEPUTIES], n[K_DEP_JOBS],
        n[K_NEWS_LIST] + n[K_NEWS] + n[K_NEWS_DEL], c->calls_refused);
    memset(c->calls_made, 0, sizeof c->calls_made);
    c->calls_refused = 0;
}

void tw_core_tick(tw_core *c, double now, double wall) {
    at(c, now, wall);
    log_calls(c);
    tw_election_tick(c);
    tw_jobs_tick(c);
    tw_relay_tick(c);
    tw_deputy_tick(c);
    if (c->role == R_LEADER) {
        if (c->phase == PH_LOADING) tw_recover_tick(c);
        if (c->phase == PH_ACTIVE && tw_authority(c)) {
            tw_deputies_tick(c);
            tw_news_tick(c);
            tw_fleet_tick(c);
            if (c->now >= c->next_recheck) {
                c->next_recheck = c->now + c->cf->tune.recheck_ratio * c->cf->report_s;
                tw_recheck(c);
            }
        }
    }
    tw_rent_tick(c);
    settle(c);
}
