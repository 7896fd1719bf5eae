/* Dispatch of requests, responses and ticks to the modules that handle them. After each input,
 * pending work is done: tasks are placed, records written and commands sent.
 *
 * Invariants:
 *   - The time is set before an input is handled.
 *   - The response to a call of an earlier term is dropped if only that term could use it.
 *   - Tasks are placed, records written and commands sent only after the input was handled,
 *     and only by a leader that has read all records. */
#include "core/jobs.h"
#include "core/scheduler_int.h"
#include <stdbool.h>

/* Share of the memory limit that cached heartbeats with long lists may use. */
#define HEARTBEAT_CACHE_MEMORY_SHARE 0.1
#define BYTES_PER_MIB (1024 * 1024)
#define PATH_SIZE 512
#define JOB_PATH_LIMIT 256 /* longer paths do not name a job */
/* Number of ticks per heartbeat interval of the workers, subject to the limits below. */
#define TICKS_PER_HEARTBEAT 20
#define SHORTEST_TICK_S 0.05
#define LONGEST_TICK_S 0.1

/* Sets the objectives of the job classes from the settings. */
static void init_objectives(tw_core *core) {
    for (size_t i = 0; i < core->context.config->objective_count; i++) {
        const tw_config_objective *objective = &core->context.config->objectives[i];
        if (!*objective->cls) continue;
        tw_job_class *class = tw_job_class_get(core, objective->cls);
        if (strcmp(objective->kind, "wait") == 0) class->start_within_s = objective->within_s;
        if (strcmp(objective->kind, "finished") == 0) class->finish_within_s = objective->within_s;
        if (strcmp(objective->kind, "deadline") == 0) class->has_deadline = true;
    }
}

/* ---- cluster callbacks (cluster.h, tw_cluster_owner) ---- */

static void on_term_began(void *owner) { tw_failover_begin(owner); }

static void on_term_ended(void *owner) { tw_term_clear(owner); }

static void on_lease_renewed(void *owner) {
    tw_core *core = owner;
    core->scheduling_due = true;
}

static void on_cancellations_known(void *owner) {
    tw_core *core = owner;
    core->next_job_sweep_at = core->context.now;
}

static void on_delegate_ready(void *owner) { tw_held_heartbeats_retry(owner); }

static int on_list_cancelled(void *owner, const char **ids, int max_ids) {
    return tw_jobs_list_cancelled(owner, ids, max_ids);
}

/* ---- construction and destruction ---- */

tw_core *tw_core_new(const tw_config *config, uint64_t seed, double now, double wall) {
    tw_core *core = tw_alloc(sizeof *core);
    tw_context_init(&core->context, config, seed, now, wall);
    const tw_cluster_owner owner = {.owner = core,
                                    .term_began = on_term_began,
                                    .term_ended = on_term_ended,
                                    .lease_renewed = on_lease_renewed,
                                    .cancellations_acknowledged = on_cancellations_known,
                                    .delegate_ready = on_delegate_ready,
                                    .list_cancelled = on_list_cancelled};
    core->cluster = tw_cluster_new(&core->context, &owner);
    const tw_store_owner job_owner = tw_job_store_owner(core);
    core->store = tw_store_new(&core->context, core->cluster, &job_owner);
    tw_rate_limiters_init(core);
    core->team_cores_used = tw_alloc((config->team_count + 1) * sizeof(double));
    core->team_gpus_used = tw_alloc((config->team_count + 1) * sizeof(double));
    core->heartbeat_cache = tw_wire_heartbeat_cache_new(
        (size_t)(HEARTBEAT_CACHE_MEMORY_SHARE * config->mem_mb * BYTES_PER_MIB));
    init_objectives(core);
    return core;
}

static void free_job_classes(tw_core *core) {
    tw_job_class *class, *next;
    HASH_ITER(hh, core->job_classes, class, next) {
        HASH_DEL(core->job_classes, class);
        free(class);
    }
}

void tw_core_free(tw_core *core) {
    tw_cluster_stop(core->cluster);
    tw_term_clear(core);
    tw_held_heartbeats_free(core);
    tw_store_free(core->store);
    tw_cluster_free(core->cluster);
    free_job_classes(core);
    free(core->machine_types);
    tw_wire_heartbeat_cache_free(core->heartbeat_cache);
    free(core->command_scratch);
    free(core->placement_failures);
    free(core->candidates);
    tw_scores_free(core);
    free(core->capacity_offers);
    free(core->team_cores_used);
    free(core->team_gpus_used);
    tw_context_free(&core->context);
    free(core);
}

/* ---- inputs ---- */

/* Returns whether this node leads, has read the records of its term and has the permission to
 * write. */
static bool is_authorized_leader(const tw_core *core) {
    return tw_cluster_is_active(core->cluster) &&
           tw_cluster_may(core->cluster, TW_PERMISSION_WRITE);
}

/* Does the work that any input may make due: places tasks, flushes records and sends direct
 * commands. */
static void run_pending_work(tw_core *core) {
    if (!is_authorized_leader(core)) return;
    if (core->scheduling_due && core->context.now >= core->next_pass_at)
        tw_scheduler_run_pass(core);
    tw_store_flush(core->store);
    tw_commands_send_direct(core);
}

/* ---- requests ---- */

typedef struct {
    uint64_t connection;
    bool from_peer;
    const char *method;
    const char *path; /* without query and fragment */
    const char *body;
    size_t length;
} request;

typedef void request_handler(tw_core *core, const request *request);

static void on_peer_heartbeat(tw_core *core, const request *request) {
    tw_cluster_receive_heartbeat(core->cluster, request->connection, request->body,
                                 request->length);
}

static void on_worker_heartbeat(tw_core *core, const request *request) {
    tw_worker_heartbeat_receive(core, request->connection, request->body, request->length,
                                request->from_peer);
}

/* A node is healthy while the state service or another node responds to it. */
static void on_health(tw_core *core, const request *request) {
    if (tw_cluster_is_isolated(core->cluster) &&
        !tw_cluster_may(core->cluster, TW_PERMISSION_ANSWER))
        tw_reply_error(&core->context, request->connection, TW_HTTP_UNAVAILABLE, 1, "isolated");
    else
        tw_reply(&core->context, request->connection, TW_HTTP_OK, 0, strdup("{\"up\":true}"));
}

static void on_submission(tw_core *core, const request *request) {
    tw_user_submit(core, request->connection, request->body, request->length, request->from_peer);
}

enum { API_PORT = 1 << TW_PORT_API, PEER_PORT = 1 << TW_PORT_PEER };

static const struct route {
    int ports; /* ports that serve the route, as a bit mask */
    const char *method, *path;
    request_handler *handle;
} routes[] = {
    {API_PORT, "POST", "/hello", on_worker_heartbeat},
    {PEER_PORT, "POST", "/peer/hello", on_worker_heartbeat},
    {PEER_PORT, "POST", "/peer/ping", on_peer_heartbeat},
    {API_PORT | PEER_PORT, "GET", "/up", on_health},
    {API_PORT | PEER_PORT, "POST", "/v1/jobs", on_submission},
};

/* Returns the route for the request's port, method and path. NULL: there is none. */
static const struct route *route_of(const request *request) {
    const int port = request->from_peer ? PEER_PORT : API_PORT;
    for (size_t i = 0; i < sizeof routes / sizeof *routes; i++) {
        const struct route *route = &routes[i];
        if (!(route->ports & port)) continue;
        if (strcmp(request->method, route->method) != 0) continue;
        if (strcmp(request->path, route->path) == 0) return route;
    }
    return NULL;
}

/* Path prefix of requests about a single job. The job's id follows and, for a cancellation,
 * "/abort". */
static const char job_prefix[] = "/v1/jobs/";

static bool is_about_job(const request *request) {
    return strncmp(request->path, job_prefix, sizeof job_prefix - 1) == 0 &&
           strlen(request->path) < JOB_PATH_LIMIT;
}

static void on_job_request(tw_core *core, const request *request) {
    char id[PATH_SIZE];
    snprintf(id, sizeof id, "%s", request->path + sizeof job_prefix - 1);
    char *verb = strchr(id, '/');
    if (!verb && strcmp(request->method, "GET") == 0) {
        tw_user_query(core, request->connection, id, request->from_peer);
    } else if (verb && strcmp(request->method, "POST") == 0 && strcmp(verb, "/abort") == 0) {
        *verb = 0;
        tw_user_cancel(core, request->connection, id, request->from_peer);
    } else {
        tw_reply_error(&core->context, request->connection,
                       verb ? TW_HTTP_NOT_FOUND : TW_HTTP_METHOD_NOT_ALLOWED, 0,
                       "no such resource");
    }
}

void tw_core_request(tw_core *core, double now, double wall, tw_port port, uint64_t connection,
                     const char *method, const char *path, const char *body, size_t length) {
    tw_context_set_time(&core->context, now, wall);
    char path_only[PATH_SIZE];
    snprintf(path_only, sizeof path_only, "%.*s", (int)strcspn(path, "?#"), path);
    const request request = {.connection = connection,
                             .from_peer = port == TW_PORT_PEER,
                             .method = method,
                             .path = path_only,
                             .body = body,
                             .length = length};
    const struct route *route = route_of(&request);
    if (route)
        route->handle(core, &request);
    else if (is_about_job(&request))
        on_job_request(core, &request);
    else
        tw_reply_error(&core->context, connection, TW_HTTP_NOT_FOUND, 0, "no such resource");
    run_pending_work(core);
}

/* ---- responses ---- */

typedef void response_handler(tw_core *core, tw_call *sent, int status, const char *body,
                              size_t length);

static void on_cluster_response(tw_core *core, tw_call *sent, int status, const char *body,
                                size_t length) {
    tw_cluster_response(core->cluster, sent, status, body, length);
}

static void on_store_response(tw_core *core, tw_call *sent, int status, const char *body,
                              size_t length) {
    tw_store_response(core->store, sent, status, body, length);
}

static void on_records(tw_core *core, tw_call *sent, int status, const char *body, size_t length) {
    (void)sent;
    tw_failover_handle_page(core, status, body, length);
}

/* The handling of the response to each kind of call. Every kind has an entry. */
static const struct {
    response_handler *handle;
    /* The response is useless once the term in which the call was sent has ended. */
    bool term_scoped;
    /* What the call reads from the state service, for the log; NULL: nothing. */
    const char *read_target;
} responses[TW_CALL_KINDS] = {
    [TW_CALL_READ_LEADER] = {on_cluster_response, false, "leader"},
    [TW_CALL_WATCH_LEADER] = {on_cluster_response, false},
    [TW_CALL_GRANT_LEASE] = {on_cluster_response, false},
    [TW_CALL_ACQUIRE_LEADERSHIP] = {on_cluster_response, false},
    [TW_CALL_RENEW_LEASE] = {on_cluster_response, false},
    [TW_CALL_REVOKE_LEASE] = {on_cluster_response, false},
    [TW_CALL_PEER_HEARTBEAT] = {on_cluster_response, false},
    [TW_CALL_LOOK_UP_JOB] = {tw_job_look_up_response, false, "job"},
    [TW_CALL_CREATE_RECORD] = {tw_peer_admissions_response, false},
    [TW_CALL_FORWARD_REQUEST] = {tw_request_forward_response, false},
    [TW_CALL_FORWARD_HEARTBEAT] = {tw_heartbeat_handle_forward_response, false},
    [TW_CALL_LIST_CANCELLED_JOBS] = {on_cluster_response, false, "cancelled"},
    [TW_CALL_WRITE_DELEGATE_KEY] = {on_cluster_response, false},
    [TW_CALL_LIST_MACHINE_TYPES] = {tw_autoscaler_response, false},
    [TW_CALL_LIST_MACHINES] = {tw_autoscaler_response, true},
    [TW_CALL_RENT_MACHINES] = {tw_autoscaler_response, true},
    [TW_CALL_RETURN_MACHINES] = {tw_autoscaler_response, true},
    [TW_CALL_WRITE_RECORDS] = {on_store_response, true},
    [TW_CALL_READ_RECORD] = {on_store_response, true, "job"},
    [TW_CALL_WRITE_CHUNKS] = {on_store_response, true},
    [TW_CALL_REMOVE_CHUNKS] = {on_store_response, true},
    [TW_CALL_READ_DELEGATE_KEYS] = {on_cluster_response, true, "delegates"},
    [TW_CALL_LIST_PEER_ADMISSIONS] = {tw_peer_admissions_response, true, "peer_admission_list"},
    [TW_CALL_WATCH_PEER_ADMISSIONS] = {tw_peer_admissions_response, true, "peer_admissions"},
    [TW_CALL_REMOVE_PEER_ADMISSION] = {tw_peer_admissions_response, true},
    [TW_CALL_LOAD_RECORDS] = {on_records, true, "records"},
    [TW_CALL_SEND_COMMANDS] = {tw_commands_handle_response, true},
};

/* Returns the store revision in a response of the state service, or 0 if it contains none. */
static uint64_t response_revision(int status, const char *body, size_t length) {
    tw_wire_entry entry;
    uint64_t revision = 0;
    if (status != TW_HTTP_OK) return 0;
    if (!tw_wire_revision_parse(&revision, body, length)) return revision;
    if (tw_wire_entry_parse(&entry, body, length)) return 0;
    free(entry.value);
    return entry.mod_revision;
}

static void log_read(const tw_core *core, const tw_call *sent, int status, const char *body,
                     size_t length) {
    const char *what = responses[sent->kind].read_target;
    if (!what || !tw_log_is_enabled(TW_LOG_DEBUG)) return;
    tw_log_debug("event=state_read what=%s status=%d revision=%llu took_s=%.3f token=%llu stale=%d",
                 what, status, (unsigned long long)response_revision(status, body, length),
                 core->context.now - sent->sent_at,
                 (unsigned long long)tw_cluster_token(core->cluster),
                 responses[sent->kind].term_scoped && sent->term != core->context.term);
}

void tw_core_response(tw_core *core, double now, double wall, uint64_t id, int status,
                      const char *body, size_t length) {
    tw_context_set_time(&core->context, now, wall);
    tw_call *sent = tw_call_match_response(&core->context, id, status);
    if (!sent) return;
    log_read(core, sent, status, body, length);
    if (!responses[sent->kind].term_scoped || sent->term == core->context.term)
        responses[sent->kind].handle(core, sent, status, body, length);
    tw_call_free(sent);
    run_pending_work(core);
}

/* ---- effects ---- */

tw_effect *tw_core_next_effect(tw_core *core) { return tw_context_next_effect(&core->context); }

void tw_core_effect_free(tw_effect *effect) { tw_effect_free(effect); }

/* ---- ticks ---- */

uint64_t tw_core_pass_steps(const tw_core *core) { return core->pass_steps; }

double tw_core_tick_s(const tw_core *core) {
    const double interval_s = core->context.config->report_s / TICKS_PER_HEARTBEAT;
    return fmin(LONGEST_TICK_S, fmax(SHORTEST_TICK_S, interval_s));
}

/* Does the timed work of a leader that may write. */
static void tick_authorized_leader(tw_core *core) {
    tw_cluster_registry_tick(core->cluster);
    tw_peer_admissions_tick(core);
    tw_machines_tick(core);
    if (core->context.now < core->next_recheck_at) return;
    core->next_recheck_at = core->context.now + core->context.config->tune.recheck_ratio *
                                                    core->context.config->report_s;
    tw_scheduler_recheck_deadlines(core);
}

void tw_core_tick(tw_core *core, double now, double wall) {
    tw_context_set_time(&core->context, now, wall);
    tw_calls_log_counts(&core->context);
    tw_cluster_tick(core->cluster);
    tw_jobs_tick(core);
    tw_held_heartbeats_tick(core);
    tw_cluster_delegate_tick(core->cluster);
    if (tw_cluster_is_loading(core->cluster)) tw_failover_tick(core);
    if (is_authorized_leader(core)) tick_authorized_leader(core);
    tw_autoscaler_tick(core);
    run_pending_work(core);
}
