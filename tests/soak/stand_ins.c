/* Handles requests of controllers to the state service, the cloud, machines and other controllers.
 * A request passes through a link, is executed by the simulated party of simulator/ or forwarded to
 * the other controller, and its answer passes through the link back. */
#include "soak.h"
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define PEER_TIMEOUT_S 6.0
#define MIN_DELAY_S 1.0
#define MAX_DELAY_S 7.0
#define MAX_REPEAT_DELAY_S 14.0 /* for the second execution of a direct command */
#define PARTY_ID_RANGE 100000   /* a listener's number is caller * this + target */
#define SNAPSHOT_S 0.25
#define LIST_LAG_S 1.5
#define MAX_MACHINES 900
#define HOST_DIGITS 3 /* digits of the host in addresses of simulated services and workers */

/* Request of a controller in flight. Owns its texts. */
typedef struct {
    uint64_t conn;
    int caller, target;
    bool answer_dropped; /* the caller gets no answer */
    char method[8];
    char *path, *body;
    int status; /* of the answer in flight */
    char *answer;
} relayed_request;

typedef struct tw_soak_watch {
    relayed_request *request;
    double until;
    uint64_t checked_revision;
    struct tw_soak_watch *next;
} tw_soak_watch;

static void free_request(relayed_request *request) {
    free(request->path);
    free(request->body);
    free(request->answer);
    free(request);
}

/* ---- answers ---- */

static void send_answer(tw_soak *run, void *data) {
    relayed_request *request = data;
    tw_net_reply(run->net, request->conn, request->status, 0, request->answer,
                 strlen(request->answer));
    free_request(request);
}

/* Sends the answer through the link back to the caller. Takes ownership of request and body. */
static void answer_request(tw_soak *run, relayed_request *request, int status, char *body) {
    request->status = status;
    request->answer = body;
    const double seconds = tw_soak_message_delay_s(run, request->target, request->caller);
    tw_soak_trace_message(run, "party", request->target, "node", request->caller,
                          seconds < 0 || request->answer_dropped ? "answer lost" : "answer", body);
    if (seconds < 0 || request->answer_dropped)
        free_request(request);
    else if (seconds > 0)
        tw_soak_schedule_action(run, seconds, send_answer, request);
    else
        send_answer(run, request);
}

/* ---- the state service ---- */

static bool is_state_refused(const tw_soak *run, int node) {
    return run->world.now < run->state_refused_until[node];
}

static void detect_new_leader(tw_soak *run) {
    const uint64_t version = tw_simulator_state_version(&run->world.state, "leader");
    if (!version || version == run->leader_version) return;
    run->leader_version = version;
    run->leader_count++;
    tw_soak_deliver_held_heartbeats(run);
    tw_soak_handle_trigger(run, TW_SOAK_TRIGGER_LEADER);
}

static void add_watch(tw_soak *run, relayed_request *request) {
    const char *hold = strstr(request->path, "holdMs=");
    tw_soak_watch *added = tw_simulator_allocate(sizeof *added);
    added->request = request;
    added->until =
        run->world.now + (hold ? tw_simulator_parse_number(hold + strlen("holdMs=")) / 1000 : 0);
    added->next = run->watches;
    run->watches = added;
}

/* Answers the watch if it has changes or has timed out. Returns 1 if it was answered, 0 if it stays
 * open. */
static int answer_due_watch(tw_soak *run, tw_soak_watch *watch) {
    relayed_request *request = watch->request;
    tw_simulator_state *state = &run->world.state;
    const bool open = run->world.now < watch->until;
    if (is_state_refused(run, request->caller) || state->down_since >= 0) return 0;
    tw_simulator_state_expire(state, run->world.now);
    if (open && state->revision == watch->checked_revision) return 0;
    char *body;
    const int status =
        tw_simulator_state_request(state, run->world.now, "GET", request->path, "", &body);
    if (open && strstr(body, "\"log\":[]")) {
        watch->checked_revision = state->revision;
        free(body);
        return 0;
    }
    answer_request(run, request, status, body);
    return 1;
}

static void watches_tick(tw_soak *run) {
    for (tw_soak_watch **at = &run->watches; *at;) {
        tw_soak_watch *watch = *at;
        if (!answer_due_watch(run, watch)) {
            at = &watch->next;
            continue;
        }
        *at = watch->next;
        free(watch);
    }
}

static void execute_state_request(tw_soak *run, void *data) {
    relayed_request *request = data;
    char *body;
    const int status = tw_simulator_state_request(
        &run->world.state, run->world.now, request->method, request->path, request->body, &body);
    detect_new_leader(run);
    answer_request(run, request, status, body);
}

static void handle_state_request(tw_soak *run, relayed_request *request) {
    const bool changes = !strcmp(request->path, "/txn");
    if (!strncmp(request->path, "/follow?", strlen("/follow?"))) {
        add_watch(run, request);
    } else if (is_state_refused(run, request->caller)) {
        answer_request(run, request, TW_SIMULATOR_UNAVAILABLE, tw_simulator_copy_text("{}"));
    } else if (changes && tw_soak_is_message_affected(run, &run->late_writes)) {
        request->answer_dropped = true;
        tw_soak_schedule_action(run, tw_soak_draw(run, MIN_DELAY_S, MAX_DELAY_S),
                                execute_state_request, request);
    } else {
        request->answer_dropped = changes && tw_soak_is_message_affected(run, &run->lost_answers);
        execute_state_request(run, request);
    }
}

/* ---- endpoints ---- */

/* Replaces the host in the endpoints of the text by the one at which controller `node` reaches the
 * simulated workers. All these hosts have the same number of digits, so the text keeps its length.
 */
static void rewrite_endpoints(const tw_soak *run, char *text, int node) {
    char host[TW_SOAK_TEXT_SIZE], prefix[TW_SOAK_TEXT_SIZE];
    tw_soak_format_address(run, host, TW_SOAK_STAND_IN_HOST, 0);
    char *last_dot = strrchr(host, '.');
    snprintf(prefix, sizeof prefix, "\"%.*s", (int)(last_dot - host + 1), host);
    for (char *at = text; (at = strstr(at, prefix));) {
        at += strlen(prefix);
        char digits[TW_SOAK_TEXT_SIZE];
        snprintf(digits, sizeof digits, "%d", TW_SOAK_STAND_IN_HOST + node);
        memcpy(at, digits, HOST_DIGITS);
    }
}

/* ---- the cloud ---- */

/* Returns a copy of a recent list of rented machines, because the cloud's list lags. Free it. */
static char *copy_lagging_list(tw_soak *run) {
    const int max_count = (int)(2 * LIST_LAG_S / SNAPSHOT_S);
    int age = tw_soak_draw_index(run, max_count);
    if (age >= run->rental_list_count) age = run->rental_list_count - 1;
    return tw_simulator_copy_text(run->rental_list_count
                                      ? run->rental_lists[run->rental_list_count - 1 - age]
                                      : "{\"trays\":[],\"more\":false}");
}

static void snapshot_rentals(tw_soak *run) {
    const int max_count = (int)(sizeof run->rental_lists / sizeof *run->rental_lists);
    char *body;
    if (run->world.now < run->next_snapshot_at) return;
    run->next_snapshot_at = run->world.now + SNAPSHOT_S;
    tw_simulator_cloud_request(&run->world, "GET", "/rentals", "", &body);
    if (run->rental_list_count == max_count) {
        free(run->rental_lists[0]);
        memmove(run->rental_lists, run->rental_lists + 1,
                (size_t)--run->rental_list_count * sizeof *run->rental_lists);
    }
    run->rental_lists[run->rental_list_count++] = body;
}

static void handle_cloud_request(tw_soak *run, relayed_request *request) {
    char *body;
    int status = TW_SIMULATOR_OK;
    run->world.is_out_of_capacity = run->world.worker_count >= MAX_MACHINES;
    if (!strcmp(request->method, "GET") &&
        strncmp(request->path, "/flavors", strlen("/flavors")) != 0)
        body = copy_lagging_list(run);
    else
        status = tw_simulator_cloud_request(&run->world, request->method, request->path,
                                            request->body, &body);
    tw_soak_listen_stand_ins(run);
    rewrite_endpoints(run, body, request->caller);
    answer_request(run, request, status, body);
}

/* ---- machines ---- */

static void execute_machine_request(tw_soak *run, void *data) {
    relayed_request *request = data;
    tw_simulator_worker *worker = run->world.workers[request->target - TW_SOAK_WORKERS];
    if (worker->removed || !worker->up || run->world.now < worker->unresponsive_until) {
        free_request(request);
        return;
    }
    if (run->world.now < worker->hung_until) { /* executed when the machine resumes */
        tw_soak_schedule_action(run, worker->hung_until - run->world.now, execute_machine_request,
                                request);
        return;
    }
    char *body;
    tw_simulator_worker_advance(&run->world, worker); /* processes lease expiry first */
    const int status = tw_simulator_worker_handle_request(&run->world, worker, request->method,
                                                          request->path, request->body, &body);
    if (strstr(request->body, "\"launch\"")) tw_soak_handle_trigger(run, TW_SOAK_TRIGGER_LAUNCH);
    rewrite_endpoints(run, body, request->caller);
    answer_request(run, request, status, body);
}

/* Schedules a second execution of the request, whose answer is dropped. */
static void schedule_repeat(tw_soak *run, const relayed_request *request) {
    relayed_request *copy = tw_simulator_allocate(sizeof *copy);
    *copy = *request;
    copy->path = tw_simulator_copy_text(request->path);
    copy->body = tw_simulator_copy_text(request->body);
    copy->answer_dropped = true;
    tw_soak_schedule_action(run, tw_soak_draw(run, MIN_DELAY_S, MAX_REPEAT_DELAY_S),
                            execute_machine_request, copy);
}

static void handle_machine_request(tw_soak *run, relayed_request *request) {
    if (!strcmp(request->path, "/orders") &&
        tw_soak_is_message_affected(run, &run->repeated_commands))
        schedule_repeat(run, request);
    if (strcmp(request->path, "/orders") != 0 ||
        !tw_soak_is_message_affected(run, &run->late_commands)) {
        execute_machine_request(run, request);
        return;
    }
    request->answer_dropped = true;
    tw_soak_schedule_action(run, tw_soak_draw(run, MIN_DELAY_S, MAX_DELAY_S),
                            execute_machine_request, request);
}

/* ---- other controllers ---- */

static void handle_peer_answer(tw_soak *run, void *data, int status, const char *body) {
    relayed_request *request = data;
    if (status)
        answer_request(run, request, status, tw_simulator_copy_text(body));
    else
        free_request(request); /* the controller is down or stopped */
}

static void forward_to_peer(tw_soak *run, relayed_request *request) {
    rewrite_endpoints(run, request->body, request->target);
    tw_soak_call_node(run, request->target, TW_SOAK_PEER_PORT, request->method, request->path,
                      request->body, PEER_TIMEOUT_S, handle_peer_answer, request);
}

/* ---- dispatch of requests ---- */

static void deliver_request(tw_soak *run, void *data) {
    relayed_request *request = data;
    if (request->target == TW_SOAK_STATE_SERVICE)
        handle_state_request(run, request);
    else if (request->target == TW_SOAK_CLOUD)
        handle_cloud_request(run, request);
    else if (request->target >= TW_SOAK_WORKERS)
        handle_machine_request(run, request);
    else
        forward_to_peer(run, request);
}

void tw_soak_handle_request(void *context, int port, uint64_t conn, const char *method,
                            const char *path, const char *body, size_t length) {
    tw_soak *run = context;
    (void)length;
    run->world.now = tw_soak_now() - run->started_at;
    relayed_request *request = tw_simulator_allocate(sizeof *request);
    request->conn = conn;
    request->caller = port / PARTY_ID_RANGE;
    request->target = port % PARTY_ID_RANGE;
    snprintf(request->method, sizeof request->method, "%s", method);
    request->path = tw_simulator_copy_text(path);
    request->body = tw_simulator_copy_text(body);
    const double seconds = tw_soak_message_delay_s(run, request->caller, request->target);
    tw_soak_trace_message(run, "node", request->caller, "party", request->target,
                          seconds < 0 ? "lost" : path, body);
    if (seconds < 0)
        free_request(request);
    else if (seconds > 0)
        tw_soak_schedule_action(run, seconds, deliver_request, request);
    else
        deliver_request(run, request);
}

/* ---- listeners ---- */

static bool listen_for(tw_soak *run, int caller, int target, int port) {
    char address[TW_SOAK_TEXT_SIZE];
    tw_soak_format_address(run, address, TW_SOAK_STAND_IN_HOST + caller, port);
    return !tw_net_listen(run->net, address, caller * PARTY_ID_RANGE + target);
}

/* Opens listeners for machines without one. The first call also opens those of the state service,
 * the cloud and the controllers. Returns false if a listener cannot be opened. */
bool tw_soak_listen_stand_ins(tw_soak *run) {
    bool all_listening = true;
    for (int node = 0; node < run->plan.nodes; node++) {
        if (!run->next_snapshot_at) {
            all_listening &= listen_for(run, node, TW_SOAK_STATE_SERVICE, TW_SOAK_STATE_PORT);
            all_listening &= listen_for(run, node, TW_SOAK_CLOUD, TW_SOAK_CLOUD_PORT);
            for (int peer = 0; peer < run->plan.nodes; peer++)
                all_listening &= listen_for(run, node, peer, TW_SOAK_PEERS_PORT + peer);
        }
        for (int i = run->listening_machine_count; i < run->world.worker_count; i++)
            all_listening &= listen_for(run, node, TW_SOAK_WORKERS + i, TW_SOAK_MACHINE_PORT + i);
    }
    for (; run->listening_machine_count < run->world.worker_count; run->listening_machine_count++) {
        tw_simulator_worker *worker = run->world.workers[run->listening_machine_count];
        tw_soak_format_address(run, worker->endpoint, TW_SOAK_STAND_IN_HOST,
                               TW_SOAK_MACHINE_PORT + run->listening_machine_count);
    }
    if (!run->next_snapshot_at) snapshot_rentals(run);
    return all_listening;
}

void tw_soak_stand_ins_tick(tw_soak *run) {
    tw_simulator_state_expire(&run->world.state, run->world.now);
    watches_tick(run);
    snapshot_rentals(run);
}
