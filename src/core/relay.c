/* Workers report to a node of their own zone, which hands the report to the leader and the answer
 * back. When that node can't reach the leader, it may renew the workers' leases as a deputy, under
 * the leader's token and without commands. It is entitled by a key in the state service, written
 * under the condition that the leader's key is still the one with this token, for a bounded time
 * from the write's sending. Every write of the leader is conditioned on the deputies' keys being as
 * it knows them, so that it can't act on a lapsed lease that a deputy has renewed unseen. */
#include "core/core_int.h"

#define RELAY_S 1.0 /* a worker waits 4 s: leaves time to become a deputy */
#define PARK_S 2.2
#define MAX_KILLS 500 /* in an answer, which stays under 64 KiB; the rest in the next one */
#define DEP_PAGE 500  /* records a request; the service may send fewer */

/* How long a deputy's entitlement lasts from the sending of its write. */
double tw_deputy_s(const tw_core *c) { return 0.5 * c->cf->lease_s; }

static void key_of(char *to, size_t cap, const char *node) { snprintf(to, cap, "dep/%s", node); }

static void hand_on(tw_core *c, uint64_t conn, const char *tray, char *body, double until);

/* ---- which node a worker reports to ---- */

#define SHUN_AFTER 3 /* workers that came back from a node within a lease */

static int live_in(const tw_core *c, const peer *p, const char *yard) {
    return !strcmp(p->cf.zone, yard) && p->ok_at > c->now - 1 - 0.5 * c->ttl;
}

/* Whether some node of that zone answers us. */
int tw_zone_reached(const tw_core *c, const char *yard) {
    for (size_t i = 0; i < c->npeers; i++)
        if (live_in(c, &c->peers[i], yard)) return 1;
    return 0;
}

/* A live node of that zone, for workers to report to, rather one whose end they survive; NULL: none
 * known. */
peer *tw_home_of(tw_core *c, const char *yard) {
    peer *any = NULL;
    for (size_t i = 0; i < c->npeers; i++) {
        peer *p = &c->peers[i];
        if (!live_in(c, p, yard) || c->now < p->shun_until) continue;
        if (tw_failover_in_time(c, p->cf.name)) return p;
        if (!any) any = p;
    }
    return any;
}

/* Names the node that a worker should report to, unless it comes back from there: 0, it is to be
 * answered here. A node that answers us need not answer its workers, and one that is sent between
 * the two would lose its lease. */
static int send_to(tw_core *c, uint64_t conn, const char *tray, peer *to) {
    sent *g, *t;
    HASH_FIND_STR(c->sent_off, tray, g);
    if (g && g->to == to && c->now < g->at + c->cf->lease_s) {
        if (g->back) return 0;
        g->back = 1;
        if (c->now > to->shun_from + c->cf->lease_s) {
            to->shun_from = c->now;
            to->came_back = 0;
        }
        if (++to->came_back >= SHUN_AFTER) {
            if (c->now >= to->shun_until) tw_log_info("event=shunned peer=%s", to->cf.name);
            to->shun_until = c->now + c->cf->lease_s;
        }
        return 0;
    }
    if (c->now >= c->sent_off_tidy) {
        c->sent_off_tidy = c->now + c->cf->lease_s;
        HASH_ITER(hh, c->sent_off, g, t) {
            if (c->now < g->at + c->cf->lease_s) continue;
            HASH_DEL(c->sent_off, g);
            free(g);
        }
        HASH_FIND_STR(c->sent_off, tray, g);
    }
    if (!g) {
        g = tw_zalloc(sizeof *g);
        snprintf(g->name, sizeof g->name, "%s", tray);
        HASH_ADD_STR(c->sent_off, name, g);
    }
    g->to = to;
    g->at = c->now;
    g->back = 0;
    tw_log_debug("event=sent_off tray=%s to=%s", tray, to->cf.name);
    tw_reply(c, conn, 421, 0, tw_wire_foreman_text(to->cf.name));
    return 1;
}

/* A worker of another zone: sent to a node of its own; 0: none, or none that answers it. */
int tw_send_home(tw_core *c, uint64_t conn, const tw_wire_report *r) {
    peer *home = tw_home_of(c, r->yard);
    return home && send_to(c, conn, r->tray, home);
}

/* Whether all other nodes answer: no time to send workers about otherwise. */
static int all_live(const tw_core *c) {
    for (size_t i = 0; i < c->npeers; i++)
        if (!live_in(c, &c->peers[i], c->peers[i].cf.zone)) return 0;
    return 1;
}

/* A worker of this node's zone, at a node whose end would cost it its lease if the zone is cut off:
 * sent to another one of the zone where that is not so; 0: there is none, or it is answered here.
 */
int tw_send_safer(tw_core *c, uint64_t conn, const tw_wire_report *r) {
    if (tw_failover_in_time(c, c->cf->host_name) || !all_live(c)) return 0;
    peer *safer = tw_home_of(c, r->yard);
    return safer && tw_failover_in_time(c, safer->cf.name) && send_to(c, conn, r->tray, safer);
}

/* ---- at a follower ---- */

/* The tasks of a job cancelled meanwhile must be gone cancel_s after its user was told, lapsing
 * included. So a deputy reads, as often as it can, which jobs are cancelled, and stops their tasks;
 * it answers a worker only for tw_blind_s after the leader last did through it, or after it
 * began such a reading. */

static int entitled(tw_core *c, const char *tray, const char *yard) {
    /* The leader counts on it that only nodes of its own zone renew a machine's lease without it.
     */
    if (c->role != R_FOLLOWER || strcmp(yard, c->cf->location)) return 0;
    if (c->grant_token && c->grant_token == c->seen_token && c->now < c->grant_until) return 1;
    gone *g;
    HASH_FIND_STR(c->relayed, tray, g);
    double known = fmax(g ? g->at : -INFINITY, c->dep_read_at > 0 ? c->dep_read_at : -INFINITY);
    return c->now < known + tw_blind_s(c) && c->dep_token && c->dep_token == c->seen_token &&
           c->now < c->dep_until;
}

static void forget(gone **set) {
    gone *g, *t;
    HASH_ITER(hh, *set, g, t) {
        HASH_DEL(*set, g);
        free(g);
    }
}

static void remember(gone **set, const char *name, double at) {
    gone *g;
    HASH_FIND_STR(*set, name, g);
    if (!g) {
        g = tw_zalloc(sizeof *g);
        snprintf(g->name, sizeof g->name, "%s", name);
        HASH_ADD_STR(*set, name, g);
    }
    g->at = at;
}

/* Cancelled jobs, as the leader says: their tasks are stopped by whoever answers their machines. An
 * id is kept for as long as a grant and a lease may last: an answer may be older than a ping that
 * came before it. */
void tw_aborted_note(tw_core *c, uint64_t token, const char *body, size_t len) {
    char(*ids)[TW_WIRE_ID];
    int n;
    gone *g, *t;
    if (token != c->seen_token || c->role != R_FOLLOWER) return;
    HASH_ITER(hh, c->grant_aborted, g, t) {
        if (c->now < g->at + tw_alone_s(c) + 2 * c->cf->lease_s) continue;
        HASH_DEL(c->grant_aborted, g);
        free(g);
    }
    if (tw_wire_aborted_parse(&ids, &n, body, len)) return;
    for (int i = 0; i < n; i++) remember(&c->grant_aborted, ids[i], c->now);
    free(ids);
}

/* The leader's answer to a ping: should we lose it, we may answer our zone's workers for a while.
 * With it come the cancelled jobs that may still run. */
void tw_deputy_granted(tw_core *c, double sent, uint64_t token, const char *body, size_t len) {
    if (token != c->seen_token || c->role != R_FOLLOWER) return;
    tw_aborted_note(c, token, body, len);
    c->grant_token = token;
    c->grant_until = sent + tw_alone_s(c) * (1 - 2 * c->cf->tune.drift);
}

static void note_relayed(tw_core *c, const char *tray, double at) {
    gone *g, *t;
    remember(&c->relayed, tray, at);
    if (c->now < c->relayed_tidy) return;
    c->relayed_tidy = c->now + c->cf->lease_s;
    HASH_ITER(hh, c->relayed, g, t) {
        if (c->now < g->at + tw_blind_s(c)) continue;
        HASH_DEL(c->relayed, g);
        free(g);
    }
}

static void answer_deputy(tw_core *c, uint64_t conn, const tw_wire_report *r) {
    if (c->now > c->dep_last + c->cf->lease_s)
        tw_log_info("event=deputising token=%llu", (unsigned long long)c->seen_token);
    c->dep_last = c->now;
    tw_wire_order *o = tw_zalloc((size_t)r->npieces * sizeof *o);
    int n = 0;
    for (int i = 0; i < r->npieces && n < MAX_KILLS; i++) {
        const tw_wire_piece *w = &r->pieces[i];
        gone *g, *named;
        HASH_FIND_STR(c->dep_aborted, w->job, g);
        HASH_FIND_STR(c->grant_aborted, w->job, named);
        if ((!g && !named) || w->stage == TW_PIECE_EXITED) continue;
        o[n] = (tw_wire_order){.verb = TW_VERB_KILL, .index = w->index, .attempt = w->attempt};
        snprintf(o[n++].job, sizeof o[0].job, "%s", w->job);
    }
    tw_reply(c, conn, 200, 0, tw_wire_orders_text(c->seen_token, 0, o, (size_t)n));
    free(o);
}

static void list_jobs(tw_core *c) {
    char path[400];
    int n = snprintf(path, sizeof path, "/kv?starts=job/&most=%d", DEP_PAGE);
    if (*c->dep_list_after)
        snprintf(path + n, sizeof path - (size_t)n, "&since=%s", c->dep_list_after);
    else
        c->dep_list_from = c->now;
    c->dep_listing = 1;
    tw_call(c, K_DEP_JOBS, TW_TO_STATE, c->cf->state, "GET", path, NULL, 1);
}

void tw_deputy_jobs(tw_core *c, call *k, int status, const char *body, size_t len) {
    tw_wire_entry *e;
    int n, more;
    (void)k;
    c->dep_listing = 0;
    if (status != 200 || tw_wire_entries_parse(&e, &n, &more, body, len)) {
        /* Goes on where it stopped: under load some request is always refused. */
        c->dep_list_next = c->now + 0.05 * c->cf->lease_s;
        return;
    }
    for (int i = 0; i < n; i++) {
        if (strlen(e[i].key) > 4 &&
            tw_wire_record_stage(e[i].data, strlen(e[i].data)) == TW_STAGE_ABORTED)
            remember(&c->dep_aborted, e[i].key + 4, c->now);
    }
    *c->dep_list_after = 0;
    if (more && n) {
        snprintf(c->dep_list_after, sizeof c->dep_list_after, "%s", e[n - 1].key);
        list_jobs(c);
    } else {
        c->dep_read_at = fmax(c->dep_read_at, c->dep_list_from);
    }
    tw_wire_entries_free(e, n);
}

void tw_deputy_end(tw_core *c) {
    parked *p, *n;
    DL_FOREACH_SAFE(c->parked, p, n) {
        free(p->body);
        free(p);
    }
    c->parked = NULL;
    c->nparked = 0;
    forget(&c->dep_aborted);
    forget(&c->grant_aborted);
    forget(&c->relayed);
    sent *g, *t;
    HASH_ITER(hh, c->sent_off, g, t) {
        HASH_DEL(c->sent_off, g);
        free(g);
    }
}

/* A report that waited, until a time told when it came: answered by us where we lead by now. */
static void take_up(tw_core *c, uint64_t conn, const char *tray, char *body /* owned */,
                    double until) {
    /* A leader without power to answer must not let a report wait anew: its worker waits 4 s. */
    if (!tw_authority(c) && !tw_holding(c)) {
        hand_on(c, conn, tray, body, until);
        return;
    }
    tw_hello(c, conn, body, strlen(body), 0);
    free(body);
}

void tw_deputy_tick(tw_core *c) {
    if (c->parked && c->now >= c->parked_next) {
        c->parked_next = c->now + 0.2;
        parked *list = c->parked, *p, *n;
        c->parked = NULL;
        c->nparked = 0;
        DL_FOREACH_SAFE(list, p, n) {
            take_up(c, p->conn, p->tray, p->body, p->until);
            free(p);
        }
    }
    if (c->role != R_FOLLOWER || c->now >= c->dep_until) {
        if (c->dep_aborted && !c->dep_listing) forget(&c->dep_aborted);
        return;
    }
    if (c->dep_listing || c->now < c->dep_list_next) return;
    c->dep_list_next = c->now + 0.4 * c->cf->lease_s;
    list_jobs(c);
}

static void become_deputy(tw_core *c) {
    /* Every report that waits asks for it: the state service's limit is shared with the leader. */
    if (c->dep_busy || c->now < c->dep_try || !c->leader_token ||
        c->leader_token != c->seen_token || c->role != R_FOLLOWER)
        return;
    char key[TW_NAME + 8], data[96];
    key_of(key, sizeof key, c->cf->host_name);
    snprintf(data, sizeof data, "{\"token\":%llu,\"n\":%llu}", (unsigned long long)c->leader_token,
             (unsigned long long)++c->dep_seq);
    tw_wire_cond cond = {TW_LEADER_KEY, c->leader_token};
    tw_wire_write w = {key, data, 0};
    call *k = tw_call(c, K_DEPUTY, TW_TO_STATE, c->cf->state, "POST", "/txn",
                      tw_wire_txn_text(&cond, 1, &w, 1), 1);
    k->vers = tw_zalloc(sizeof *k->vers);
    k->vers[0] = c->leader_token;
    c->dep_busy = 1;
    c->dep_try = c->now + 0.1 * c->cf->lease_s;
}

void tw_deputy_response(tw_core *c, call *k, int status) {
    c->dep_busy = 0;
    if (status == 200 || status == 409) c->state_ok_at = c->now;
    if (status == 200) {
        if (c->now >= c->dep_until)
            tw_log_info("event=deputy token=%llu", (unsigned long long)k->vers[0]);
        c->dep_token = k->vers[0];
        c->dep_until = k->sent + tw_deputy_s(c) * (1 - 2 * c->cf->tune.drift);
        c->parked_next = c->now;
        tw_deputy_tick(c);
    }
}

/* A worker that is turned away tries the other nodes; with its zone cut off that costs it 5 s each,
 * and its lease. So while the leader changes, a report waits here, well under the worker's 4 s. */
static void park(tw_core *c, uint64_t conn, const char *tray, char *body, double until) {
    parked *p = c->now < until ? tw_zalloc(sizeof *p) : NULL;
    if (!p || c->nparked >= c->cf->sockets / 2) {
        tw_log_debug("event=unheard tray=%s", tray);
        tw_reply_error(c, conn, 503, 1, "no leader answers");
        free(body);
        free(p);
        return;
    }
    p->conn = conn;
    snprintf(p->tray, sizeof p->tray, "%s", tray);
    p->body = body;
    p->until = until;
    DL_APPEND(c->parked, p);
    c->nparked++;
}

static void hand_on(tw_core *c, uint64_t conn, const char *tray, char *body /* owned */,
                    double until) {
    peer *l = *c->leader ? tw_peer_of(c, c->leader) : NULL;
    const tw_wire_report *r;
    if (!l) {
        park(c, conn, tray, body, until);
    } else if (c->now >= c->relay_bad_until) {
        call *k = tw_call(c, K_RELAY, TW_TO_PEER, l->cf.addr, "POST", "/peer/hello", strdup(body),
                          RELAY_S);
        k->conn = conn;
        k->text = body;
        k->until = until;
        snprintf(k->name, sizeof k->name, "%s", tray);
        /* Read when it came, so it is known by its text, unless it waited long. */
    } else if (!(r = tw_wire_reports_read(c->reports, body, strlen(body)))) {
        tw_reply_error(c, conn, 400, 0, "malformed report");
        free(body);
    } else {
        if (entitled(c, tray, r->yard)) {
            /* The grant ends; a key, where the state service can be reached, goes on. */
            if (c->now > c->dep_until - 0.5 * tw_deputy_s(c)) become_deputy(c);
            answer_deputy(c, conn, r);
            free(body);
        } else {
            if (!strcmp(r->yard, c->cf->location)) become_deputy(c);
            park(c, conn, tray, body, until);
        }
    }
}

/* A report at a node that does not lead. */
void tw_relay_hello(tw_core *c, uint64_t conn, const tw_wire_report *r, const char *body,
                    size_t len) {
    if (strcmp(r->yard, c->cf->location)) {
        if (tw_send_home(c, conn, r)) return;
        /* Where its zone has no node that answers it, the leader does; through us, if it comes back
         * from there as well. */
        peer *l = *c->leader ? tw_peer_of(c, c->leader) : NULL;
        if (!l) {
            tw_reply_error(c, conn, 503, 1, "no leader");
            return;
        }
        if (!tw_home_of(c, r->yard) && c->now >= l->shun_until && send_to(c, conn, r->tray, l))
            return;
    } else if (tw_send_safer(c, conn, r)) {
        return;
    }
    char *copy = tw_zalloc(len + 1);
    memcpy(copy, body, len);
    hand_on(c, conn, r->tray, copy, c->now + PARK_S);
}

void tw_relay_response(tw_core *c, call *k, int status, const char *body, size_t len) {
    char *report = k->text;
    k->text = NULL;
    if (status == 200 && c->role == R_FOLLOWER) {
        c->relay_bad_until = 0;
        note_relayed(c, k->name, k->sent);
        char *copy = tw_zalloc(len + 1);
        memcpy(copy, body, len);
        tw_reply(c, k->conn, 200, 0, copy);
        free(report);
        return;
    }
    if (c->role != R_FOLLOWER) { /* it is us by now */
        take_up(c, k->conn, k->name, report, k->until);
        return;
    }
    if (status == 0) c->relay_bad_until = c->now + RELAY_S;
    if (status == 0)
        hand_on(c, k->conn, k->name, report, k->until);
    else
        park(c, k->conn, k->name, report, k->until);
}

/* ---- at the leader ---- */

/* Until when some deputy may have answered workers. */
double tw_deputies_until(const tw_core *c, const char *yard) {
    double t = 0;
    for (size_t i = 0; i < c->npeers; i++) {
        const peer *p = &c->peers[i];
        if (p->dep_until > t && (!*yard || !strcmp(yard, p->cf.zone))) t = p->dep_until;
    }
    return t;
}

int tw_deputy_conds(const tw_core *c, tw_wire_cond *conds, char (*keys)[TW_NAME + 8]) {
    int n = 0;
    for (size_t i = 0; i < c->npeers; i++) {
        key_of(keys[n], TW_NAME + 8, c->peers[i].cf.name);
        conds[n] = (tw_wire_cond){keys[n], c->peers[i].dep_stamp};
        n++;
    }
    return n;
}

void tw_deputies_read(tw_core *c) {
    if (c->dep_reading) return;
    c->dep_reading = 1;
    tw_call(c, K_DEPUTIES, TW_TO_STATE, c->cf->state, "GET", "/kv?starts=dep/&most=100", NULL, 1);
}

void tw_deputies_page(tw_core *c, call *k, int status, const char *body, size_t len) {
    tw_wire_entry *e;
    int n, more, news = 0;
    c->dep_reading = 0;
    if (status != 200 || tw_wire_entries_parse(&e, &n, &more, body, len)) return;
    for (int i = 0; i < n; i++) {
        peer *p = strlen(e[i].key) > 4 ? tw_peer_of(c, e[i].key + 4) : NULL;
        if (!p || p->dep_stamp >= e[i].stamp) continue;
        p->dep_stamp = e[i].stamp;
        /* One of an earlier term is covered by tw_predecessor_end. */
        p->dep_until = c->now + tw_deputy_s(c) * (1 + 2 * c->cf->tune.drift);
        news = 1;
    }
    tw_wire_entries_free(e, n);
    if (news && c->dep_known && c->lapse_decided_at > c->dep_checked_at) {
        /* A lease was taken for lapsed while a deputy we did not know of may have renewed it. What
         * was decided since can't be told apart: the next term starts from the records. */
        tw_step_down(c, "an unseen deputy");
        return;
    }
    c->dep_checked_at = k->sent;
    c->dep_known = 1;
}

void tw_deputies_tick(tw_core *c) {
    int away = !c->dep_known;
    for (size_t i = 0; i < c->npeers; i++)
        away |= c->peers[i].ok_at < c->now - 1 - 0.5 * c->ttl || c->peers[i].dep_until > c->now;
    if (away && c->now >= c->dep_next) {
        c->dep_next = c->now + 0.1 * c->cf->lease_s;
        tw_deputies_read(c);
    }
}
