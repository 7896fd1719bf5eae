/* Taking over: every job is read from the state service before anything is decided. What the
 * records say may run is taken to run until its machine, its release or its lease says otherwise.
 */
#include "core/record_parts.h"

/* Records a request, and how long it may take. */
#define PAGE_SIZE 100
#define PAGE_TIMEOUT_S 2.0
#define PATH_SIZE 400

/* Least wait until a refused page is asked for again, in leases of the leader. */
#define REFUSED_LEASES 0.05

/* Machines rented by a predecessor are surely in the list after so many times its lag. */
#define LIST_LAGS 1.2

void tw_recover_begin(tw_core *core) {
    core->phase = PH_LOADING;
    *core->load_after = 0;
    core->load_parts = 1;
    core->load_busy = 0;
    core->load_answered = 0;
    core->load_retry = core->now;
    core->deputies_reading = 0;
    core->deputies_known = 0;
    core->deputies_checked_at = 0;
    core->lapse_decided_at = 0;
    core->deputies_next = 0;
    for (size_t i = 0; i < core->npeers; i++) core->peers[i].dep_stamp = 0;
    tw_deputies_read(core);
    tw_recover_tick(core);
}

void tw_recover_tick(tw_core *core) {
    if (core->load_busy || core->now < core->load_retry) return;
    char path[PATH_SIZE];
    const int length = snprintf(path, sizeof path, "/kv?starts=%s&most=%d",
                                core->load_parts ? PART_KEY : JOB_KEY, PAGE_SIZE);
    if (*core->load_after)
        snprintf(path + length, sizeof path - (size_t)length, "&since=%s", core->load_after);
    core->load_busy = 1;
    tw_call(core, K_LOAD, TW_TO_STATE, core->cf->state, "GET", path, NULL, PAGE_TIMEOUT_S);
}

/* All records are read: decisions begin. */
static void begin_deciding(tw_core *core) {
    const size_t finished = tw_finished_count(core->finished);
    const int any = core->jobs || finished;
    core->phase = PH_ACTIVE;
    tw_loaded_end(core);
    core->sched_dirty = 1;
    core->next_sched = core->now;
    core->next_list = core->now;
    core->fresh = !any;
    core->opened_at = 0;
    /* Machines rented by a predecessor show in the list only after its lag. */
    core->rent_from = any ? core->now + LIST_LAGS * core->cf->list_lag_s : core->now;
    tw_log_info("event=active jobs=%zu token=%llu load_s=%.3f", HASH_COUNT(core->jobs) + finished,
                (unsigned long long)core->token, core->now - core->acquired_at);
}

/* A divided record; its text is in slices that were read before. */
static void adopt_divided(tw_core *core, const char *id, const tw_wire_record *head,
                          uint64_t stamp) {
    tw_wire_record record;
    char *text = tw_loaded_text(core, id, head);
    if (!text || tw_wire_record_parse(&record, id, text, strlen(text))) {
        tw_log_error("event=bad_record key=" JOB_KEY "%.32s set=%s", id, head->chunk_set);
        free(text);
        return;
    }
    free(text);
    tw_adopt(core, id, &record, stamp);
    tw_wire_record_free(&record);
    job *job = tw_job_find(core, id);
    if (job) tw_parts_named(core, job, head->chunk_set, head->chunk_count);
}

static void adopt_listed(tw_core *core, tw_wire_listed_record *listed) {
    const char *id = listed->key + sizeof JOB_KEY - 1;
    if (!listed->readable)
        tw_log_error("event=bad_record key=%.32s", listed->key);
    else if (tw_job_known(core, id))
        return;
    else if (*listed->record.chunk_set)
        adopt_divided(core, id, &listed->record, listed->mod_revision);
    else
        tw_adopt(core, id, &listed->record, listed->mod_revision);
}

/* -1: it can't be read. */
static int take_slices(tw_core *core, const char *body, size_t len) {
    int more;
    const int count =
        tw_loaded_page(core, body, len, &more, core->load_after, sizeof core->load_after);
    if (count < 0) return -1;
    if (more && count) return 0;
    core->load_parts = 0;
    *core->load_after = 0;
    return 0;
}

/* -1: it can't be read. */
static int take_records(tw_core *core, const char *body, size_t len) {
    tw_wire_listed_record *listed;
    int count, more;
    if (tw_wire_records_parse(&listed, &count, &more, JOB_KEY, body, len)) return -1;
    for (int i = 0; i < count; i++) adopt_listed(core, &listed[i]);
    if (count) snprintf(core->load_after, sizeof core->load_after, "%s", listed[count - 1].key);
    tw_wire_records_free(listed, count);
    if (!more || !count) begin_deciding(core);
    return 0;
}

void tw_recover_page(tw_core *core, int status, const char *body, size_t len) {
    core->load_busy = 0;
    const int slices = core->load_parts;
    if (status != TW_HTTP_OK ||
        (slices ? take_slices(core, body, len) : take_records(core, body, len))) {
        /* Retries at the limit would leave this term's own renewals no room. */
        core->load_retry =
            core->now + fmax(core->ttl * REFUSED_LEASES, tw_refused_wait_s(core, status));
        return;
    }
    core->state_ok_at = core->now;
    if (core->phase == PH_LOADING) tw_recover_tick(core);
}

/* The tasks that are done, and those that may run, as the record has them. */
static void adopt_tasks(tw_core *core, job *job, const tw_wire_record *record) {
    const int cancelled = record->state == TW_JOB_CANCELLED;
    job->st = tw_zalloc((size_t)job->pieces);
    job->ndone = record->done_ranges
                     ? tw_ranges_apply(job->st, job->pieces, record->done_ranges, T_DONE)
                     : 0;
    for (int i = 0; i < record->assignment_count; i++) {
        const tw_wire_assignment *live = &record->assignments[i];
        machine *machine = tw_machine(core, live->worker);
        if (!machine) machine = tw_machine_new(core, live->worker);
        if (job->st[live->index] != T_FREE) continue;
        placement *placed = tw_place(core, job, live->index, machine, live->attempt);
        if (!placed) continue;
        placed->inherited = 1;
        placed->sent = 1;
        placed->ver = 0;
        if (cancelled) placed->kill = 1;
    }
    if (job->s.gang) tw_gang_adopted(job);
    if (cancelled) tw_job_cancelled(core, job);
}

void tw_adopt(tw_core *core, const char *id, tw_wire_record *record, uint64_t stamp) {
    if (record->state != TW_JOB_PENDING && !record->assignment_count) {
        tw_job_ended(core, id, record->state, record->done_count);
        return;
    }
    job *job = tw_job_new(core, id);
    job->created = 1;
    job->stamp = stamp;
    job->pieces = record->task_count;
    job->next_try = record->next_attempt;
    job->submitted_wall = record->submitted_at;
    job->submitted = core->now - (core->wall - record->submitted_at);
    if (job->submitted > core->now || record->submitted_at <= 0) job->submitted = core->now;
    job->pending_since = core->now;
    job->stage = record->state;
    job->durable_stage = record->state;
    job->ver = 1;
    job->durable_ver = 1;
    if (record->has_job) tw_job_spec(core, job, &record->job);
    adopt_tasks(core, job, record);
    DL_APPEND(core->active, job);
    core->sched_dirty = 1;
}
