/* Simulates users that submit, poll and cancel jobs through a load balancer and retry failed
 * requests. Requests and answers take up to a few milliseconds to arrive, and every request has a
 * timeout. */
#include "simulator_int.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_INTERVAL_S 1.0
#define SUBMIT_RETRY_LIMIT_S 60.0
#define POLL_TIMEOUT_S 2.0
#define ANSWER_TIMEOUT_S 5.0
#define MIN_TRAVEL_S 0.0005
#define MAX_TRAVEL_S 0.004
#define UNHEALTHY_AFTER_S 2.0 /* a node paused for this long gets no new connections */

static double draw_travel_s(tw_simulator *sim) {
    return tw_simulator_draw(&sim->world, TW_SIMULATOR_DRAW_TRAVEL, MIN_TRAVEL_S, MAX_TRAVEL_S);
}

static bool accepts_connections(const tw_simulator *sim, int node) {
    const tw_simulator_node *node_state = &sim->nodes[node];
    if (!node_state->alive || tw_simulator_zone_is_isolated(sim, sim->world.node_zone[node]))
        return false;
    return sim->world.now >= node_state->paused_until ||
           sim->world.now < node_state->paused_from + UNHEALTHY_AFTER_S;
}

int tw_simulator_pick_node(tw_simulator *sim) {
    for (int i = 0; i < sim->world.node_count; i++) {
        int node = sim->next_node++ % sim->world.node_count;
        if (accepts_connections(sim, node)) return node;
    }
    return -1;
}

/* ---- handling of answers ---- */

static void poll_job(tw_simulator *sim, tw_simulator_event *event) {
    if (sim->world.jobs[event->target]->accepted)
        tw_simulator_user_send(sim, event->target, TW_SIMULATOR_POLL);
    tw_simulator_reschedule_after(sim, event, TW_SIMULATOR_POLL_S);
}

static void retry_request(tw_simulator *sim, tw_simulator_event *event) {
    if (event->kind == TW_SIMULATOR_CANCEL)
        tw_simulator_user_cancel(sim, event->target);
    else
        tw_simulator_user_send(sim, event->target, event->kind);
}

static void retry_later(tw_simulator *sim, const tw_simulator_job *job, int kind) {
    if (kind == TW_SIMULATOR_SUBMIT &&
        sim->world.now - job->first_submitted_at >= SUBMIT_RETRY_LIMIT_S)
        return;
    tw_simulator_event *event = tw_simulator_schedule_after(sim, RETRY_INTERVAL_S, retry_request);
    event->target = job->index;
    event->kind = kind;
}

/* Checks that an invalid request is rejected with the expected status on its first attempt. */
static void check_invalid_request_answer(tw_simulator *sim,
                                         const tw_simulator_connection *connection, int status) {
    char text[TW_SIMULATOR_MESSAGE_SIZE];
    if (connection->user_kind == TW_SIMULATOR_POLL)
        tw_simulator_judge_answer(&sim->world, NULL, connection->what, TW_SIMULATOR_POLL,
                                  connection->sent_at, status, "");
    else
        tw_simulator_judge_invalid_job(&sim->world, connection->what, status);
    const tw_simulator_node *node_state = &sim->nodes[connection->node];
    bool is_unreachable =
        !status && (!node_state->alive || connection->sent_at < node_state->paused_until ||
                    connection->sent_at < node_state->effects_delayed_until ||
                    tw_simulator_zone_is_isolated(sim, sim->world.node_zone[connection->node]));
    /* Answers that depend on the machine types or the state service may not be available yet. */
    bool is_undecided =
        connection->expected_status != TW_SIMULATOR_MALFORMED &&
        (!status || status == TW_SIMULATOR_TOO_MANY_REQUESTS || status == TW_SIMULATOR_UNAVAILABLE);
    if (status == connection->expected_status || is_unreachable || is_undecided) return;
    snprintf(text, sizeof text, "%s got status %d, expected %d", connection->what, status,
             connection->expected_status);
    tw_simulator_report_failure(sim, "invalid request", text);
}

/* Returns whether the answer is final, so that the request is not retried. A cancellation is
 * retried until the answer is `aborted` or `done`, also after status 404, unless the job's
 * submission was rejected. */
static bool answer_is_final(const tw_simulator_job *job, int kind, int status) {
    if (status == TW_SIMULATOR_NOT_FOUND && kind == TW_SIMULATOR_CANCEL)
        return job->last_status == TW_SIMULATOR_MALFORMED ||
               job->last_status == TW_SIMULATOR_UNPROCESSABLE;
    return kind == TW_SIMULATOR_POLL || status == TW_SIMULATOR_OK ||
           status == TW_SIMULATOR_CREATED || status == TW_SIMULATOR_MALFORMED ||
           status == TW_SIMULATOR_UNPROCESSABLE || status == TW_SIMULATOR_NOT_FOUND;
}

/* Hands an answer to the user and frees the connection. Status 0 means that no answer arrived. */
static void deliver_answer(tw_simulator *sim, tw_simulator_connection *connection, int status,
                           const char *body) {
    HASH_DEL(sim->connections, connection);
    tw_simulator_add_to_digest(sim, connection->user_kind, connection->target, status, body);
    if (connection->target < 0) {
        check_invalid_request_answer(sim, connection, status);
        free(connection);
        return;
    }
    tw_simulator_job *job = sim->world.jobs[connection->target];
    int kind = connection->user_kind, is_single = connection->is_single_attempt;
    int was_accepted = job->accepted, previous_end = job->reported_end;
    if (kind == TW_SIMULATOR_SUBMIT && !is_single) job->last_status = status;
    if (kind == TW_SIMULATOR_CANCEL && !is_single) job->cancel_status = status;
    tw_simulator_judge_answer(&sim->world, job, job->spec.id, kind, connection->sent_at, status,
                              body);
    free(connection);
    if (job->accepted && !was_accepted) /* the answer may be to any kind of request */
        tw_simulator_schedule_after(sim, TW_SIMULATOR_POLL_S, poll_job)->target = job->index;
    if (job->accepted != was_accepted || job->reported_end != previous_end)
        tw_simulator_schedule_close_polls(sim, job->index, !job->reported_end);
    if (!is_single && !answer_is_final(job, kind, status)) retry_later(sim, job, kind);
}

/* ---- connections ---- */

static tw_simulator_connection *find_connection(tw_simulator *sim,
                                                const tw_simulator_event *event) {
    tw_simulator_connection *connection;
    HASH_FIND(hh, sim->connections, &event->id, sizeof event->id, connection);
    return connection;
}

static void time_out_request(tw_simulator *sim, tw_simulator_event *event) {
    tw_simulator_connection *connection = find_connection(sim, event);
    if (connection) deliver_answer(sim, connection, 0, "");
}

static void receive_answer(tw_simulator *sim, tw_simulator_event *event) {
    tw_simulator_connection *connection = find_connection(sim, event);
    if (connection) deliver_answer(sim, connection, event->status, event->body ? event->body : "");
}

void tw_simulator_user_receive_answer(tw_simulator *sim, tw_simulator_connection *connection,
                                      tw_effect *effect) {
    connection->replied = true;
    if (tw_simulator_zone_is_isolated(sim, sim->world.node_zone[connection->node])) return;
    tw_simulator_event *event =
        tw_simulator_schedule_after(sim, draw_travel_s(sim), receive_answer);
    event->id = connection->id;
    event->status = effect->status;
    event->body = effect->body;
    effect->body = NULL;
}

void tw_simulator_user_fail_request(tw_simulator *sim, tw_simulator_connection *connection) {
    connection->replied = true;
    tw_simulator_schedule_after(sim, TW_SIMULATOR_LATENCY_S, time_out_request)->id = connection->id;
}

static void deliver_request(tw_simulator *sim, tw_simulator_event *event) {
    tw_simulator_connection *connection = find_connection(sim, event);
    if (!connection || tw_simulator_zone_is_isolated(sim, sim->world.node_zone[connection->node]))
        return;
    if (!sim->nodes[connection->node]
             .alive) { /* connection refused: the load balancer tries another node */
        int node = connection->is_single_attempt ? -1 : tw_simulator_pick_node(sim);
        if (node < 0) {
            deliver_answer(sim, connection, 0, "");
            return;
        }
        connection->node = node;
    }
    connection->arrived = true;
    tw_simulator_node_request(sim, connection->node, TW_PORT_API, connection->id, event->method,
                              event->path, event->body ? event->body : "");
}

char *tw_simulator_job_text(const tw_wire_job *spec) {
    tw_wire_record record = {.has_job = 1, .job = *spec, .task_count = spec->task_count};
    char *text = tw_wire_record_text(&record);
    cJSON *object = cJSON_Parse(text);
    char *job = cJSON_PrintUnformatted(cJSON_GetObjectItemCaseSensitive(object, "j"));
    cJSON_Delete(object);
    free(text);
    return job;
}

/* Sends a request and starts its timeout. `job` is the job's index, or -1 for a job that nobody
 * submitted. Takes ownership of the body. */
static tw_simulator_connection *send_request(tw_simulator *sim, int job, const char *id, int kind,
                                             int node, char *body) {
    char path[100];
    tw_simulator_connection *connection =
        tw_simulator_connection_new(sim, node, TW_SIMULATOR_CONNECTION_USER);
    connection->sent_at = sim->world.now;
    connection->target = job;
    connection->user_kind = kind;
    snprintf(connection->what, sizeof connection->what, "%s", id);
    if (kind == TW_SIMULATOR_SUBMIT)
        snprintf(path, sizeof path, "/v1/jobs");
    else
        snprintf(path, sizeof path, "/v1/jobs/%s%s", id,
                 kind == TW_SIMULATOR_CANCEL ? "/abort" : "");
    tw_simulator_event *event =
        tw_simulator_schedule_after(sim, draw_travel_s(sim), deliver_request);
    event->id = connection->id;
    event->method = kind == TW_SIMULATOR_POLL ? "GET" : "POST";
    event->path = tw_simulator_copy_text(path);
    event->body = body;
    double timeout_s = kind == TW_SIMULATOR_POLL ? POLL_TIMEOUT_S : ANSWER_TIMEOUT_S;
    tw_simulator_schedule_after(sim, timeout_s, time_out_request)->id = connection->id;
    return connection;
}

static tw_simulator_connection *send_job(tw_simulator *sim, int index, int kind, int node) {
    const tw_simulator_job *job = sim->world.jobs[index];
    char *body = kind == TW_SIMULATOR_SUBMIT ? tw_simulator_job_text(&job->spec) : NULL;
    return send_request(sim, index, job->spec.id, kind, node, body);
}

void tw_simulator_user_send(tw_simulator *sim, int index, int kind) {
    int node = tw_simulator_pick_node(sim);
    tw_simulator_connection *connection = send_job(sim, index, kind, node < 0 ? 0 : node);
    if (node < 0) deliver_answer(sim, connection, 0, "");
}

void tw_simulator_user_send_to(tw_simulator *sim, int index, int kind, int node) {
    if (node < 0) node = tw_simulator_pick_node(sim);
    if (node >= 0) send_job(sim, index, kind, node)->is_single_attempt = true;
}

void tw_simulator_user_cancel(tw_simulator *sim, int index) {
    sim->world.jobs[index]->cancel_requested_at = sim->world.now;
    tw_simulator_user_send(sim, index, TW_SIMULATOR_CANCEL);
}

void tw_simulator_user_submit_changed(tw_simulator *sim, int index, const tw_wire_job *spec) {
    int node = tw_simulator_pick_node(sim);
    if (node < 0) return;
    send_request(sim, index, spec->id, TW_SIMULATOR_SUBMIT, node, tw_simulator_job_text(spec))
        ->is_single_attempt = true;
}

void tw_simulator_user_send_invalid(tw_simulator *sim, const char *id, int kind, char *body,
                                    int wanted) {
    int node = tw_simulator_pick_node(sim);
    if (node < 0) {
        free(body);
        return;
    }
    tw_simulator_connection *connection = send_request(sim, -1, id, kind, node, body);
    connection->is_single_attempt = true;
    connection->expected_status = wanted;
}
