/* Life cycle of jobs: their creation from a submission or a record, the answers to waiting users,
 * and their end. The store writes the records (job_persistence.c, src/store); user_requests.c
 * handles the requests.
 *
 * A job ends in three irreversible steps: tw_job_finish sets its state; the store makes the state
 * durable; tw_job_release then frees what only an active job needs, and evict_when_unused replaces
 * the job by an entry in the table of completed jobs (completed_jobs.c). */
#include "core/jobs.h"

/* Interval between two passes over the active jobs. */
#define SWEEP_INTERVAL_S 0.25
/* Maximum share of the configured memory that completed jobs may use. */
#define COMPLETED_JOBS_MEMORY_SHARE 0.25
#define BYTES_PER_MIB (1024 * 1024)

tw_job *tw_job_find(tw_core *core, const char *id) {
    tw_job *job;
    HASH_FIND_STR(core->jobs, id, job);
    return job;
}

bool tw_job_is_known(tw_core *core, const char *id) {
    return tw_job_find(core, id) || tw_completed_jobs_find(core->completed_jobs, id, NULL);
}

tw_job *tw_job_new(tw_core *core, const char *id) {
    tw_job *job = tw_alloc(sizeof *job);
    snprintf(job->id, sizeof job->id, "%s", id);
    job->team = -1;
    job->next_attempt = 1;
    job->spec.machine_type_count = -1;
    job->record = tw_store_record_new(job->id, job);
    HASH_ADD_STR(core->jobs, id, job);
    return job;
}

/* Returns the index of the team with that name in the settings, or -1 if there is none. */
static int team_index(const tw_core *core, const char *name) {
    for (size_t i = 0; i < core->context.config->team_count; i++)
        if (!strcmp(core->context.config->teams[i].name, name)) return (int)i;
    return -1;
}

uint32_t tw_machine_type_mask(const tw_core *core, const tw_wire_job *spec) {
    uint32_t mask = 0;
    for (int i = 0; i < core->machine_type_count; i++) {
        bool allowed = spec->machine_type_count < 0;
        for (int k = 0; k < spec->machine_type_count; k++)
            allowed |= !strcmp(spec->machine_types[k], core->machine_types[i].listed.name);
        if (allowed) mask |= 1u << i;
    }
    return mask;
}

void tw_job_set_spec(tw_core *core, tw_job *job, tw_wire_job *spec) {
    job->spec = *spec;
    free(job->spec_text);
    job->spec_text = NULL;
    job->spec_bytes = 0;
    memset(spec, 0, sizeof *spec);
    spec->machine_type_count = -1;
    job->has_spec = true;
    job->task_count = job->spec.task_count;
    job->team = team_index(core, job->spec.team);
    job->job_class = tw_job_class_get(core, job->spec.job_class);
    job->type_mask = tw_machine_type_mask(core, &job->spec);
    job->image_hash = tw_image_hash(job->spec.image);
}

static void remove_from_cancelled(tw_core *core, tw_job *job) {
    if (!job->in_cancelled_list) return;
    job->in_cancelled_list = false;
    DL_DELETE2(core->cancelled_jobs, job, cancelled_prev, cancelled_next);
}

void tw_job_free(tw_core *core, tw_job *job) {
    HASH_DEL(core->jobs, job);
    if (core->reserving_gang == job) core->reserving_gang = NULL;
    remove_from_cancelled(core, job);
    tw_waiting_client *client;
    while ((client = tw_job_take_waiting_client(job))) free(client);
    tw_wire_job_free(&job->spec);
    free(job->spec_text);
    free(job->task_states);
    tw_store_record_free(job->record);
    free(job);
}

void tw_job_mark_changed(tw_core *core, tw_job *job, bool urgent) {
    tw_store_mark_changed(core->store, job->record, urgent);
}

/* Cancelled jobs have a list of their own because every heartbeat to a peer carries them. */
void tw_job_note_cancelled(tw_core *core, tw_job *job) {
    if (job->in_cancelled_list) return;
    job->in_cancelled_list = true;
    DL_APPEND2(core->cancelled_jobs, job, cancelled_prev, cancelled_next);
}

/* ---- waiting clients and status answers ---- */

void tw_job_add_waiting_client(tw_core *core, tw_job *job, uint64_t connection, bool cancels) {
    tw_waiting_client *client = tw_alloc(sizeof *client);
    client->connection = connection;
    client->cancels = cancels;
    client->reject_at = core->context.now + TW_ADMISSION_WAIT_S;
    client->next = job->waiting_clients;
    job->waiting_clients = client;
}

tw_waiting_client *tw_job_take_waiting_client(tw_job *job) {
    tw_waiting_client *client = job->waiting_clients;
    if (client) job->waiting_clients = client->next;
    return client;
}

tw_waiting_client *tw_job_take_waiting_cancellation(tw_job *job) {
    for (tw_waiting_client **at = &job->waiting_clients; *at; at = &(*at)->next) {
        tw_waiting_client *client = *at;
        if (!client->cancels) continue;
        *at = client->next;
        return client;
    }
    return NULL;
}

/* Returns the number of tasks that workers have reported as running. */
static int count_running(const tw_job *job) {
    int count = 0;
    tw_placement *task;
    DL_FOREACH2(job->placements, task, job_next) {
        if (task->reported && (task->state == TW_TASK_RUNNING || task->state == TW_TASK_SAVING))
            count++;
    }
    return count;
}

char *tw_job_status_text(const tw_job *job) {
    if (job->durable_state == TW_JOB_CANCELLED || job->durable_state == TW_JOB_DONE)
        return tw_wire_job_status_text(job->id, job->durable_state, job->done_count, 0);
    const int running_count = count_running(job);
    const tw_wire_job_state state = running_count ? TW_JOB_RUNNING : TW_JOB_PENDING;
    return tw_wire_job_status_text(job->id, state, job->done_count, running_count);
}

/* Returns whether the record in the state service may show that the job has ended while this node
 * doesn't know it, because the write is in flight or its outcome is unknown. Another node may have
 * read that record and reported the end to a user. A query can therefore only be answered by a read
 * that begins after the query arrived. */
static bool end_is_uncertain(const tw_job *job) {
    return tw_store_end_was_sent(job->record) && job->durable_state == TW_JOB_PENDING;
}

bool tw_job_is_answerable(const tw_job *job) {
    return tw_store_exists(job->record) && !end_is_uncertain(job);
}

void tw_job_answer_waiting_clients(tw_core *core, tw_job *job, int status) {
    for (tw_waiting_client **at = &job->waiting_clients; *at;) {
        tw_waiting_client *client = *at;
        const bool has_ended = job->durable_state != TW_JOB_PENDING;
        if (client->cancels ? has_ended : tw_store_exists(job->record)) {
            tw_reply(&core->context, client->connection, client->cancels ? TW_HTTP_OK : status, 0,
                     tw_wire_job_status_text(job->id, job->durable_state, -1, -1));
            *at = client->next;
            free(client);
        } else {
            at = &client->next;
        }
    }
}

/* ---- end ---- */

void tw_job_finish(tw_core *core, tw_job *job, tw_wire_job_state state) {
    tw_placement *task, *next;
    job->state = state;
    if (state == TW_JOB_CANCELLED) tw_job_note_cancelled(core, job);
    /* The tasks are stopped before the end is known to be durable: once the write of a cancellation
     * is sent, another node may read the record and report it to the user, and this node may never
     * learn of it. The results of the tasks are not needed from now on. In a gang that is done,
     * some tasks may not have ended; they count as placed until they have. */
    DL_FOREACH_SAFE2(job->placements, task, next, job_next) {
        tw_placement_stop(core, task, 0, false);
    }
    tw_log_debug("event=job_ended id=%s state=%d", job->id, state);
    tw_job_mark_changed(core, job, true);
}

void tw_job_note_completed(tw_core *core, const char *id, tw_wire_job_state state, int done) {
    if (!core->completed_jobs)
        core->completed_jobs = tw_completed_jobs_new(
            (size_t)(COMPLETED_JOBS_MEMORY_SHARE * core->context.config->mem_mb * BYTES_PER_MIB));
    const tw_completion completion = {state, done};
    tw_completed_jobs_add(core->completed_jobs, id, &completion);
}

/* Replaces a released job by an entry of the completed jobs, once no machine has to forget a task
 * of it. */
static void evict_when_unused(tw_core *core, tw_job *job) {
    if (job->task_states || job->placement_refs || !tw_store_is_idle(job->record)) return;
    tw_job_note_completed(core, job->id, job->durable_state, job->done_count);
    tw_job_free(core, job);
}

void tw_job_remove_placement_ref(tw_core *core, tw_job *job) {
    job->placement_refs--;
    if (job->durable_state != TW_JOB_PENDING) evict_when_unused(core, job);
}

void tw_job_release(tw_core *core, tw_job *job) {
    if (job->durable_state == TW_JOB_PENDING || job->placements || !job->task_states) return;
    if (!tw_store_is_idle(job->record) || !tw_store_is_settled(job->record)) return;
    DL_DELETE(core->active_jobs, job);
    remove_from_cancelled(core, job);
    free(job->task_states);
    job->task_states = NULL;
    job->job_class = NULL;
    job->has_spec = false;
    tw_wire_job_free(&job->spec);
    free(job->spec_text);
    job->spec_text = NULL;
    evict_when_unused(core, job);
}

/* ---- periodic work ---- */

static void reject_client(tw_core *core, const tw_job *job, const tw_waiting_client *client,
                          double retry_s, const char *why) {
    if (client->cancels)
        tw_cancellation_reject(core, client->connection, job->id, retry_s, why);
    else
        tw_admission_reject(core, client->connection, job->id, retry_s, why);
}

void tw_job_reject_waiting_clients(tw_core *core, tw_job *job) {
    tw_waiting_client *client;
    while ((client = tw_job_take_waiting_client(job))) {
        const double retry_s = ceil(tw_store_retry_s(core->store, job->record));
        reject_client(core, job, client, retry_s, "too large");
        free(client);
    }
}

/* Rejects clients whose waiting time has expired, and all clients once this node may not answer any
 * more. */
static void waiting_clients_tick(tw_core *core, tw_job *job) {
    for (tw_waiting_client **at = &job->waiting_clients; *at;) {
        tw_waiting_client *client = *at;
        if (core->context.now < client->reject_at &&
            tw_cluster_may(core->cluster, TW_PERMISSION_ANSWER)) {
            at = &client->next;
            continue;
        }
        reject_client(core, job, client, 1, "not durable in time");
        *at = client->next;
        free(client);
    }
}

void tw_jobs_tick(tw_core *core) {
    if (!tw_cluster_is_leader(core->cluster) || core->context.now < core->next_job_sweep_at) return;
    core->next_job_sweep_at = core->context.now + SWEEP_INTERVAL_S;
    tw_store_tick(core->store);
    tw_job *job, *next;
    DL_FOREACH_SAFE(core->active_jobs, job, next) {
        waiting_clients_tick(core, job);
        tw_job_cancellation_tick(core, job);
        tw_gang_tick(core, job);
        tw_job_release(core, job);
    }
}

/* ---- jobs that can never run ---- */

/* Returns whether a machine of the type has enough capacity for a task of the job and can be in the
 * zone that the job requires. */
static bool type_suits(const tw_wire_machine_type *type, const tw_wire_job *spec) {
    if (type->cores + TW_CAPACITY_ROUNDING < spec->cores ||
        type->gpus + TW_CAPACITY_ROUNDING < spec->gpus ||
        type->memory_gb + TW_CAPACITY_ROUNDING < spec->memory_gb)
        return false;
    if (!*spec->zone) return true;
    for (int i = 0; i < type->zone_count; i++)
        if (!strcmp(type->zones[i], spec->zone)) return true;
    return false;
}

bool tw_job_is_impossible(tw_core *core, const tw_wire_job *spec) {
    const int index = team_index(core, spec->team);
    if (index < 0) return true;
    const tw_config_team *team = &core->context.config->teams[index];
    /* Number of tasks that must run at the same time. */
    const double concurrent_tasks = spec->service || spec->gang ? spec->task_count : 1;
    if (team->cpus_max > 0 &&
        spec->cores * concurrent_tasks > team->cpus_max + TW_CAPACITY_ROUNDING)
        return true;
    if (team->gpus_max > 0 && spec->gpus * concurrent_tasks > team->gpus_max + TW_CAPACITY_ROUNDING)
        return true;
    const uint32_t mask = tw_machine_type_mask(core, spec);
    for (int i = 0; i < core->machine_type_count; i++)
        if ((mask & (1u << i)) && type_suits(&core->machine_types[i].listed, spec)) return false;
    return true;
}
