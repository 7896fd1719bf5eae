/* Simulated users. They submit, poll and cancel jobs. When the answer for a job changes, they poll
 * it at all controllers simultaneously; some cancel a job just as it ends. */
#include "soak.h"
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define SUBMIT_TIMEOUT_S 5.0
#define POLL_TIMEOUT_S 2.0
#define POLL_INTERVAL_S 1.0
#define RETRY_S 1.0
#define MIN_PAUSE_S 0.05
#define MAX_PAUSE_S 0.6
#define POLL_BURSTS 3
#define POLL_BURST_SPREAD_S 0.03
#define CANCEL_SHARE 0.2
#define CANCEL_AT_END_SHARE 0.15
#define MAX_SERVICES 10
#define TEAMS 2

static const struct {
    const char *shape;
    int weight, min_tasks, max_tasks;
    double min_run_s, max_run_s;
} kinds[] = {{"batch", 5, 1, 1, 0.5, 10},
             {"batch", 4, 2, 12, 1, 10},
             {"service", 2, 1, 4, 0, 0},
             {"group", 2, 2, 4, 2, 8}};

typedef struct tw_soak_user_job {
    int index;                      /* of the job in tw_simulator_world */
    double next_poll_at, cancel_at; /* cancel_at is 0 without a planned cancellation */
    bool submitting, polling, cancelling;
    struct tw_soak_user_job *next;
} tw_soak_user_job;

/* Request of a user in flight. */
typedef struct {
    tw_soak_user_job *user;
    int kind, is_extra;
    double sent_at;
} user_request;

/* ---- requests ---- */

static void schedule_poll_bursts(tw_soak *run, tw_soak_user_job *user);

static void handle_answer(tw_soak *run, void *data, int status, const char *body) {
    user_request *request = data;
    tw_soak_user_job *user = request->user;
    tw_simulator_job *job = run->world.jobs[user->index];
    const int was_accepted = job->accepted, was_over = job->reported_end;
    tw_soak_trace_message(run, "user", request->kind, "job", user->index, job->spec.id, body);
    if (status)
        tw_simulator_judge_answer(&run->world, job, job->spec.id, request->kind, request->sent_at,
                                  status, body);
    if (!request->is_extra && request->kind == TW_SIMULATOR_SUBMIT) user->submitting = false;
    if (!request->is_extra && request->kind == TW_SIMULATOR_POLL) user->polling = false;
    if (!request->is_extra && request->kind == TW_SIMULATOR_CANCEL) user->cancelling = false;
    if (request->kind == TW_SIMULATOR_CANCEL && job->reported_end != was_over)
        tw_soak_handle_trigger(run, TW_SOAK_TRIGGER_CANCEL);
    free(request);
    if (was_accepted != job->accepted || was_over != job->reported_end)
        schedule_poll_bursts(run, user);
}

static void send_request(tw_soak *run, tw_soak_user_job *user, int kind, int node, bool is_extra) {
    const tw_simulator_job *job = run->world.jobs[user->index];
    char path[TW_SOAK_PATH_SIZE];
    user_request *request = tw_simulator_allocate(sizeof *request);
    *request = (user_request){user, kind, is_extra, run->world.now};
    snprintf(path, sizeof path, "/v1/jobs%s%s%s", kind == TW_SIMULATOR_SUBMIT ? "" : "/",
             kind == TW_SIMULATOR_SUBMIT ? "" : job->spec.id,
             kind == TW_SIMULATOR_CANCEL ? "/abort" : "");
    tw_wire_record record = {.has_job = 1, .job = job->spec, .task_count = job->spec.task_count};
    char *text = kind == TW_SIMULATOR_SUBMIT ? tw_wire_record_text(&record) : NULL;
    cJSON *record_json = text ? cJSON_Parse(text) : NULL;
    char *body = record_json
                     ? cJSON_PrintUnformatted(cJSON_GetObjectItemCaseSensitive(record_json, "j"))
                     : NULL;
    tw_soak_call_node(run, node, TW_SOAK_API_PORT, kind == TW_SIMULATOR_POLL ? "GET" : "POST", path,
                      body ? body : "",
                      kind == TW_SIMULATOR_POLL ? POLL_TIMEOUT_S : SUBMIT_TIMEOUT_S, handle_answer,
                      request);
    cJSON_Delete(record_json);
    free(text);
    free(body);
}

static int draw_node(tw_soak *run) { return tw_soak_draw_index(run, run->plan.nodes); }

static void poll_all_nodes(tw_soak *run, void *data) {
    tw_soak_user_job *user = data;
    for (int node = 0; node < run->plan.nodes; node++) {
        send_request(run, user, TW_SIMULATOR_POLL, node, true);
        if (tw_soak_draw(run, 0, 1) < 0.2) send_request(run, user, TW_SIMULATOR_SUBMIT, node, true);
    }
}

static void schedule_poll_bursts(tw_soak *run, tw_soak_user_job *user) {
    for (int i = 0; i < POLL_BURSTS; i++)
        tw_soak_schedule_action(run, tw_soak_draw(run, 0, POLL_BURST_SPREAD_S), poll_all_nodes,
                                user);
}

static void cancel_job(tw_soak *run, tw_soak_user_job *user) {
    tw_simulator_job *job = run->world.jobs[user->index];
    if (job->cancel_requested_at <= 0) job->cancel_requested_at = run->world.now;
    user->cancelling = true;
    send_request(run, user, TW_SIMULATOR_CANCEL, draw_node(run), false);
}

void tw_soak_handle_job_end(void *context, tw_simulator_job *job) {
    tw_soak *run = context;
    if (!job->accepted || job->reported_end || tw_soak_draw(run, 0, 1) > CANCEL_AT_END_SHARE)
        return;
    for (tw_soak_user_job *user = run->user_jobs; user; user = user->next)
        if (user->index == job->index) cancel_job(run, user);
}

/* ---- job submission ---- */

static int draw_job_kind(tw_soak *run) {
    int total_weight = 0, kind = 0;
    for (size_t i = 0; i < sizeof kinds / sizeof *kinds; i++) total_weight += kinds[i].weight;
    int remainder = tw_soak_draw_index(run, total_weight);
    while (remainder >= kinds[kind].weight) remainder -= kinds[kind++].weight;
    return kind;
}

static int count_running_services(const tw_soak *run) {
    int count = 0;
    for (int i = 0; i < run->world.job_count; i++)
        count += run->world.jobs[i]->spec.service && run->world.jobs[i]->cancel_requested_at <= 0;
    return count;
}

static void submit_job(tw_soak *run) {
    static const char *const priorities[] = {"prod", "high", "normal", "idle"};
    int kind = draw_job_kind(run);
    if (!strcmp(kinds[kind].shape, "service") && count_running_services(run) >= MAX_SERVICES)
        kind = 0;
    const double run_s = tw_soak_draw(run, kinds[kind].min_run_s, kinds[kind].max_run_s);
    char text[1024], id[TW_SOAK_TEXT_SIZE];
    snprintf(id, sizeof id, "run-%06d", run->world.job_count + 1);
    snprintf(
        text, sizeof text,
        "{\"id\":\"%s\",\"lane\":\"lane\",\"crew\":\"crew-%d\",\"shape\":\"%s\",\"rank\":\"%s\","
        "\"pieces\":%d,\"cores\":%d,\"gpus\":%d,\"memoryGb\":4,\"bundle\":\"img-%d\","
        "\"imageGb\":0.2,\"samePlace\":%s,\"apart\":false,\"loaner\":false,\"expectS\":%.1f,"
        "\"snapshotS\":%d,\"flushS\":0.3}",
        id, tw_soak_draw_index(run, TEAMS), kinds[kind].shape,
        priorities[tw_soak_draw_index(run, 4)],
        kinds[kind].min_tasks +
            tw_soak_draw_index(run, kinds[kind].max_tasks - kinds[kind].min_tasks + 1),
        1 + tw_soak_draw_index(run, 4), tw_soak_draw_index(run, 3) ? 0 : 1,
        tw_soak_draw_index(run, 5), tw_soak_draw_index(run, 4) ? "false" : "true", run_s,
        tw_soak_draw_index(run, 2));
    tw_simulator_job *job = tw_simulator_job_new(&run->world, id);
    const char *why;
    if (tw_wire_job_parse(&job->spec, text, strlen(text), &why)) {
        tw_soak_finish(run, "FAIL", why);
        return;
    }
    job->run_s = run_s;
    job->submitted = 1;
    job->first_submitted_at = run->world.now;
    job->done = tw_simulator_allocate((size_t)job->spec.task_count);
    tw_soak_user_job *user = tw_simulator_allocate(sizeof *user);
    user->index = job->index;
    const bool cancels = job->spec.service || tw_soak_draw(run, 0, 1) < CANCEL_SHARE;
    if (cancels) user->cancel_at = run->world.now + tw_soak_draw(run, 1, 15);
    user->next = run->user_jobs;
    run->user_jobs = user;
    user->submitting = true;
    send_request(run, user, TW_SIMULATOR_SUBMIT, draw_node(run), false);
}

/* ---- periodic requests ---- */

static void advance_user(tw_soak *run, tw_soak_user_job *user) {
    const tw_simulator_job *job = run->world.jobs[user->index];
    if (run->world.now < user->next_poll_at ||
        (job->reported_end && tw_soak_draw(run, 0, 1) > 0.05))
        return;
    user->next_poll_at = run->world.now + POLL_INTERVAL_S;
    if (!job->accepted && !user->submitting) {
        user->submitting = true;
        send_request(run, user, TW_SIMULATOR_SUBMIT, draw_node(run), false);
    } else if (job->accepted && !user->polling) {
        user->polling = true;
        send_request(run, user, TW_SIMULATOR_POLL, draw_node(run), false);
    }
    const bool cancel_due =
        (user->cancel_at > 0 && run->world.now >= user->cancel_at) || job->cancel_requested_at > 0;
    if (job->accepted && cancel_due && !job->reported_end && !user->cancelling)
        cancel_job(run, user);
}

void tw_soak_users_tick(tw_soak *run) {
    if (run->world.now >= run->next_submission_at && run->world.now < run->fault_phase_s) {
        run->next_submission_at = run->world.now + tw_soak_draw(run, MIN_PAUSE_S, MAX_PAUSE_S);
        submit_job(run);
    }
    for (tw_soak_user_job *user = run->user_jobs; user; user = user->next) advance_user(run, user);
}

int tw_soak_all_jobs_served(tw_soak *run, char *unserved, size_t size) {
    for (int i = 0; i < run->world.job_count; i++) {
        const tw_simulator_job *job = run->world.jobs[i];
        const int is_over = job->reported_end;
        const bool runs =
            job->accepted && job->spec.service && job->cancel_requested_at <= 0 &&
            tw_simulator_job_tasks_running(&run->world, job->spec.id) == job->spec.task_count;
        if (is_over || runs) continue;
        snprintf(unserved, size, "%s: accepted=%d done=%d of %d cancelled=%d running=%d",
                 job->spec.id, job->accepted, job->done_count, job->spec.task_count,
                 job->cancel_requested_at > 0,
                 tw_simulator_job_tasks_running(&run->world, job->spec.id));
        return 0;
    }
    return 1;
}
