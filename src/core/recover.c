/* Taking over: every job is read from the state service before anything is decided. What the
 * records say may run is taken to run until its machine, its release or its lease says otherwise.
 */
#include "core/jobs.h"

#define LOAD_PAGE 100

void tw_recover_begin(tw_core *c) {
    c->phase = PH_LOADING;
    *c->load_after = 0;
    c->load_busy = 0;
    c->load_answered = 0;
    c->load_retry = c->now;
    c->dep_reading = c->dep_known = 0;
    c->dep_checked_at = c->lapse_decided_at = c->dep_next = 0;
    for (size_t i = 0; i < c->npeers; i++) c->peers[i].dep_stamp = 0;
    tw_deputies_read(c);
    tw_recover_tick(c);
}

void tw_recover_tick(tw_core *c) {
    if (c->load_busy || c->now < c->load_retry) return;
    char path[400];
    int n = snprintf(path, sizeof path, "/kv?starts=job/&most=%d", LOAD_PAGE);
    if (*c->load_after) snprintf(path + n, sizeof path - (size_t)n, "&since=%s", c->load_after);
    c->load_busy = 1;
    tw_call(c, K_LOAD, TW_TO_STATE, c->cf->state, "GET", path, NULL, 2);
}

static void active(tw_core *c) {
    c->phase = PH_ACTIVE;
    c->sched_dirty = 1;
    c->next_sched = c->now;
    c->next_list = c->now;
    const int any = c->jobs || tw_finished_count(c->finished);
    c->fresh = !any;
    c->opened_at = 0;
    /* Machines rented by a predecessor show in the list only after its lag. */
    c->rent_from = any ? c->now + 1.2 * c->cf->list_lag_s : c->now;
    tw_log_info("event=active jobs=%zu token=%llu load_s=%.3f",
                HASH_COUNT(c->jobs) + tw_finished_count(c->finished), (unsigned long long)c->token,
                c->now - c->acquired_at);
}

void tw_recover_page(tw_core *c, call *k, int status, const char *body, size_t len) {
    (void)k;
    c->load_busy = 0;
    tw_wire_listed *listed;
    int n, more;
    if (status != TW_HTTP_OK || tw_wire_records_parse(&listed, &n, &more, JOB_KEY, body, len)) {
        /* Retries at the limit would leave this term's own renewals no room. */
        c->load_retry = c->now + fmax(c->ttl * 0.05, tw_refused_wait_s(c, status));
        return;
    }
    c->state_ok_at = c->now;
    for (int i = 0; i < n; i++) {
        const char *id = listed[i].key + sizeof JOB_KEY - 1;
        if (!listed[i].readable)
            tw_log_error("event=bad_record key=%.32s", listed[i].key);
        else if (!tw_job_known(c, id))
            tw_adopt(c, id, &listed[i].record, listed[i].stamp);
    }
    if (n) snprintf(c->load_after, sizeof c->load_after, "%s", listed[n - 1].key);
    tw_wire_records_free(listed, n);
    if (more && n)
        tw_recover_tick(c);
    else
        active(c);
}

/* A job as its record has it, among the jobs or, if it is over and nothing of it may run, among the
 * finished ones. Takes what the job was submitted with out of the record. */
void tw_adopt(tw_core *c, const char *id, tw_wire_record *r, uint64_t stamp) {
    if (r->stage != TW_STAGE_PENDING && !r->nlive) {
        tw_job_ended(c, id, r->stage, r->ndone);
        return;
    }
    job *j = tw_job_new(c, id);
    j->created = 1;
    j->stamp = stamp;
    j->pieces = r->pieces;
    j->next_try = r->next_try;
    j->submitted_wall = r->submitted;
    j->submitted = c->now - (c->wall - r->submitted);
    if (j->submitted > c->now || r->submitted <= 0) j->submitted = c->now;
    j->pending_since = c->now;
    j->stage = j->durable_stage = r->stage;
    j->ver = j->durable_ver = 1;
    j->ndone = r->ndone;
    if (r->has_job) tw_job_spec(c, j, &r->job);
    if (r->stage == TW_STAGE_PENDING || r->nlive) {
        j->st = tw_zalloc((size_t)j->pieces);
        j->ndone = r->done_ranges ? tw_ranges_apply(j->st, j->pieces, r->done_ranges, T_DONE) : 0;
        for (int i = 0; i < r->nlive; i++) {
            tw_wire_live *l = &r->live[i];
            machine *m = tw_machine(c, l->tray);
            if (!m) m = tw_machine_new(c, l->tray);
            if (j->st[l->index] != T_FREE) continue;
            placement *p = tw_place(c, j, l->index, m, l->attempt);
            p->inherited = p->sent = 1;
            p->ver = 0;
            if (r->stage == TW_STAGE_ABORTED) p->kill = 1;
        }
        if (r->stage == TW_STAGE_ABORTED) tw_job_cancelled(c, j);
    }
    if (j->st) DL_APPEND(c->active, j);
    c->sched_dirty = 1;
}

/* Everything that belongs to a term is forgotten with it. */
void tw_term_clear(tw_core *c) {
    machine *m, *mt;
    job *j, *jt;
    HASH_ITER(hh, c->jobs, j, jt) {
        for (waiter *w = j->waiters, *n; w; w = n) {
            n = w->next;
            tw_reply_error(c, w->conn, 503, 1, "no leader");
            free(w);
        }
        j->waiters = NULL;
    }
    HASH_ITER(hh, c->machines, m, mt) {
        placement *p, *pt;
        DL_FOREACH_SAFE(m->pls, p, pt) tw_placement_free(c, p);
        tw_machine_drop(c, m, NULL);
    }
    HASH_ITER(hh, c->jobs, j, jt) tw_job_free(c, j);
    tw_finished_free(c->finished);
    c->finished = NULL;
    c->active = c->dirty = c->cancelled = NULL;
    c->nyards = 0;
    gone *g, *gt;
    HASH_ITER(hh, c->released, g, gt) {
        HASH_DEL(c->released, g);
        free(g);
    }
    wish *w, *wt;
    HASH_ITER(hh, c->wishes, w, wt) tw_wish_drop(c, w);
    ask *a, *at;
    DL_FOREACH_SAFE(c->asks, a, at) {
        DL_DELETE(c->asks, a);
        free(a);
    }
    HASH_ITER(hh, c->untaken, g, gt) {
        HASH_DEL(c->untaken, g);
        free(g);
    }
    c->nquiet = 0;
    c->news_busy = 0;
    c->news_since = 0;
    c->news_next = 0;
    c->ntxns = c->ndirty_new = 0;
    c->list_busy = c->release_busy = c->lists = c->load_busy = 0;
    *c->list_after = 0;
    c->next_ask = 0;
    memset(c->team_c, 0, (c->cf->nteams + 1) * sizeof(double));
    memset(c->team_g, 0, (c->cf->nteams + 1) * sizeof(double));
}
