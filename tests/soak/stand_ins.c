/* What controllers ask of the state service, the cloud, machines and each other: it passes a link,
 * is carried out by the stand-ins of simulator/ or handed to the other controller, and its answer
 * passes the link back. */
#include "soak.h"
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define PEER_TIMEOUT_S 6.0
#define LEAST_HELD_S 1.0
#define MOST_HELD_S 7.0
#define MOST_REPEATED_S 14.0 /* a direct command that comes once more */
#define KNOWN_PORTS 100000   /* ports of listeners are caller * this + target */
#define SNAPSHOT_S 0.25
#define LIST_LAG_S 1.5
#define MOST_MACHINES 900
#define FIRST_HOST_DIGIT 3 /* stand-ins' hosts have three digits, see soak_address */

/* A request of a controller on its way. */
typedef struct {
    uint64_t conn;
    int caller, target;
    bool unanswered; /* its answer gets lost */
    char method[8];
    char *path, *body;
    int status; /* of the answer on its way */
    char *answer;
} passed_request;

typedef struct tw_soak_watch {
    passed_request *request;
    double until;
    uint64_t looked_at;
    struct tw_soak_watch *next;
} tw_soak_watch;

static void free_request(passed_request *request) {
    free(request->path);
    free(request->body);
    free(request->answer);
    free(request);
}

/* ---- answers ---- */

static void send_answer(tw_soak *run, void *data) {
    passed_request *request = data;
    tw_net_reply(run->net, request->conn, request->status, 0, request->answer,
                 strlen(request->answer));
    free_request(request);
}

/* Takes the body. */
static void answer(tw_soak *run, passed_request *request, int status, char *body) {
    request->status = status;
    request->answer = body;
    const double seconds = tw_soak_travel(run, request->target, request->caller);
    tw_soak_note(run, "party", request->target, "node", request->caller,
                 seconds < 0 || request->unanswered ? "answer lost" : "answer", body);
    if (seconds < 0 || request->unanswered)
        free_request(request);
    else if (seconds > 0)
        tw_soak_after(run, seconds, send_answer, request);
    else
        send_answer(run, request);
}

/* ---- the state service ---- */

static bool is_refused(const tw_soak *run, int node) {
    return run->world.now < run->refused_until[node];
}

static void look_for_leader(tw_soak *run) {
    const uint64_t version = tw_simulator_state_version(&run->world.state, "leader");
    if (!version || version == run->leader_version) return;
    run->leader_version = version;
    run->leaders++;
    tw_soak_new_leader(run);
    tw_soak_moment_came(run, TW_SOAK_MOMENT_LEADER);
}

static void begin_watch(tw_soak *run, passed_request *request) {
    const char *hold = strstr(request->path, "holdMs=");
    tw_soak_watch *added = tw_simulator_allocate(sizeof *added);
    added->request = request;
    added->until =
        run->world.now + (hold ? tw_simulator_parse_number(hold + strlen("holdMs=")) / 1000 : 0);
    added->next = run->watches;
    run->watches = added;
}

/* Whether the watch has ended, and was answered. */
static int end_watch(tw_soak *run, tw_soak_watch *watched) {
    passed_request *request = watched->request;
    tw_simulator_state *state = &run->world.state;
    const bool open = run->world.now < watched->until;
    if (is_refused(run, request->caller) || state->down_since >= 0) return 0;
    tw_simulator_state_expire(state, run->world.now);
    if (open && state->revision == watched->looked_at) return 0;
    char *body;
    const int status =
        tw_simulator_state_request(state, run->world.now, "GET", request->path, "", &body);
    if (open && strstr(body, "\"log\":[]")) {
        watched->looked_at = state->revision;
        free(body);
        return 0;
    }
    answer(run, request, status, body);
    return 1;
}

static void watches_tick(tw_soak *run) {
    for (tw_soak_watch **at = &run->watches; *at;) {
        tw_soak_watch *watched = *at;
        if (!end_watch(run, watched)) {
            at = &watched->next;
            continue;
        }
        *at = watched->next;
        free(watched);
    }
}

static void carry_out_state(tw_soak *run, void *data) {
    passed_request *request = data;
    char *body;
    const int status = tw_simulator_state_request(
        &run->world.state, run->world.now, request->method, request->path, request->body, &body);
    look_for_leader(run);
    answer(run, request, status, body);
}

static void ask_state(tw_soak *run, passed_request *request) {
    const bool changes = !strcmp(request->path, "/txn");
    if (!strncmp(request->path, "/follow?", strlen("/follow?"))) {
        begin_watch(run, request);
    } else if (is_refused(run, request->caller)) {
        answer(run, request, TW_SIMULATOR_UNAVAILABLE, tw_simulator_copy_text("{}"));
    } else if (changes && tw_soak_strikes(run, &run->late_writes)) {
        request->unanswered = true;
        tw_soak_after(run, tw_soak_draw(run, LEAST_HELD_S, MOST_HELD_S), carry_out_state, request);
    } else {
        request->unanswered = changes && tw_soak_strikes(run, &run->lost_answers);
        carry_out_state(run, request);
    }
}

/* ---- endpoints ---- */

/* Each controller reaches the stand-ins under a host of its own, which has as many digits as the
 * others', so a text with endpoints can be told to another controller by writing that host. */
static void endpoints_for(const tw_soak *run, char *text, int node) {
    char host[TW_SOAK_TEXT], prefix[TW_SOAK_TEXT];
    tw_soak_address(run, host, TW_SOAK_STAND_IN_HOST, 0);
    char *last_dot = strrchr(host, '.');
    snprintf(prefix, sizeof prefix, "\"%.*s", (int)(last_dot - host + 1), host);
    for (char *at = text; (at = strstr(at, prefix));) {
        at += strlen(prefix);
        char digits[TW_SOAK_TEXT];
        snprintf(digits, sizeof digits, "%d", TW_SOAK_STAND_IN_HOST + node);
        memcpy(at, digits, FIRST_HOST_DIGIT);
    }
}

/* ---- the cloud ---- */

/* The list lags: an older one is given. */
static char *lagging_list(tw_soak *run) {
    const int most = (int)(2 * LIST_LAG_S / SNAPSHOT_S);
    int age = tw_soak_draw_index(run, most);
    if (age >= run->list_count) age = run->list_count - 1;
    return tw_simulator_copy_text(run->list_count ? run->lists[run->list_count - 1 - age]
                                                  : "{\"trays\":[],\"more\":false}");
}

static void take_snapshot(tw_soak *run) {
    const int most = (int)(sizeof run->lists / sizeof *run->lists);
    char *body;
    if (run->world.now < run->next_snapshot) return;
    run->next_snapshot = run->world.now + SNAPSHOT_S;
    tw_simulator_cloud_request(&run->world, "GET", "/rentals", "", &body);
    if (run->list_count == most) {
        free(run->lists[0]);
        memmove(run->lists, run->lists + 1, (size_t)--run->list_count * sizeof *run->lists);
    }
    run->lists[run->list_count++] = body;
}

static void ask_cloud(tw_soak *run, passed_request *request) {
    char *body;
    int status = TW_SIMULATOR_OK;
    run->world.is_out_of_capacity = run->world.worker_count >= MOST_MACHINES;
    if (!strcmp(request->method, "GET") &&
        strncmp(request->path, "/flavors", strlen("/flavors")) != 0)
        body = lagging_list(run);
    else
        status = tw_simulator_cloud_request(&run->world, request->method, request->path,
                                            request->body, &body);
    tw_soak_listen(run);
    endpoints_for(run, body, request->caller);
    answer(run, request, status, body);
}

/* ---- machines ---- */

static void ask_machine(tw_soak *run, void *data) {
    passed_request *request = data;
    tw_simulator_worker *worker = run->world.workers[request->target - TW_SOAK_WORKERS];
    if (worker->gone || !worker->up || run->world.now < worker->unresponsive_until) {
        free_request(request);
        return;
    }
    if (run->world.now < worker->hung_until) { /* carried out when it goes on */
        tw_soak_after(run, worker->hung_until - run->world.now, ask_machine, request);
        return;
    }
    char *body;
    tw_simulator_worker_advance(&run->world, worker); /* a lease that has ended ends first */
    const int status = tw_simulator_worker_handle_request(&run->world, worker, request->method,
                                                          request->path, request->body, &body);
    if (strstr(request->body, "\"launch\"")) tw_soak_moment_came(run, TW_SOAK_MOMENT_LAUNCH);
    endpoints_for(run, body, request->caller);
    answer(run, request, status, body);
}

/* The same once more, for whose answer nobody waits. */
static void repeat_later(tw_soak *run, const passed_request *request) {
    passed_request *copy = tw_simulator_allocate(sizeof *copy);
    *copy = *request;
    copy->path = tw_simulator_copy_text(request->path);
    copy->body = tw_simulator_copy_text(request->body);
    copy->unanswered = true;
    tw_soak_after(run, tw_soak_draw(run, LEAST_HELD_S, MOST_REPEATED_S), ask_machine, copy);
}

static void ask_machine_late(tw_soak *run, passed_request *request) {
    if (!strcmp(request->path, "/orders") && tw_soak_strikes(run, &run->repeated_commands))
        repeat_later(run, request);
    if (strcmp(request->path, "/orders") != 0 || !tw_soak_strikes(run, &run->late_commands)) {
        ask_machine(run, request);
        return;
    }
    request->unanswered = true;
    tw_soak_after(run, tw_soak_draw(run, LEAST_HELD_S, MOST_HELD_S), ask_machine, request);
}

/* ---- other controllers ---- */

static void peer_answered(tw_soak *run, void *data, int status, const char *body) {
    passed_request *request = data;
    if (status)
        answer(run, request, status, tw_simulator_copy_text(body));
    else
        free_request(request); /* it is gone, or stands still */
}

static void ask_peer(tw_soak *run, passed_request *request) {
    endpoints_for(run, request->body, request->target);
    tw_soak_call_node(run, request->target, TW_SOAK_PEER_PORT, request->method, request->path,
                      request->body, PEER_TIMEOUT_S, peer_answered, request);
}

/* ---- requests ---- */

static void deliver_request(tw_soak *run, void *data) {
    passed_request *request = data;
    if (request->target == TW_SOAK_STATE)
        ask_state(run, request);
    else if (request->target == TW_SOAK_CLOUD)
        ask_cloud(run, request);
    else if (request->target >= TW_SOAK_WORKERS)
        ask_machine_late(run, request);
    else
        ask_peer(run, request);
}

void tw_soak_request(void *context, int port, uint64_t conn, const char *method, const char *path,
                     const char *body, size_t length) {
    tw_soak *run = context;
    (void)length;
    run->world.now = tw_soak_now() - run->started_at;
    passed_request *request = tw_simulator_allocate(sizeof *request);
    request->conn = conn;
    request->caller = port / KNOWN_PORTS;
    request->target = port % KNOWN_PORTS;
    snprintf(request->method, sizeof request->method, "%s", method);
    request->path = tw_simulator_copy_text(path);
    request->body = tw_simulator_copy_text(body);
    const double seconds = tw_soak_travel(run, request->caller, request->target);
    tw_soak_note(run, "node", request->caller, "party", request->target,
                 seconds < 0 ? "lost" : path, body);
    if (seconds < 0)
        free_request(request);
    else if (seconds > 0)
        tw_soak_after(run, seconds, deliver_request, request);
    else
        deliver_request(run, request);
}

/* ---- listeners ---- */

static bool listen_for(tw_soak *run, int caller, int target, int port) {
    char address[TW_SOAK_TEXT];
    tw_soak_address(run, address, TW_SOAK_STAND_IN_HOST + caller, port);
    return !tw_net_listen(run->net, address, caller * KNOWN_PORTS + target);
}

/* The ports of the machines that have none yet; the first time those of all others, too. */
bool tw_soak_listen(tw_soak *run) {
    bool well = true;
    for (int node = 0; node < run->plan.nodes; node++) {
        if (!run->next_snapshot) {
            well &= listen_for(run, node, TW_SOAK_STATE, TW_SOAK_STATE_PORT);
            well &= listen_for(run, node, TW_SOAK_CLOUD, TW_SOAK_CLOUD_PORT);
            for (int peer = 0; peer < run->plan.nodes; peer++)
                well &= listen_for(run, node, peer, TW_SOAK_PEERS_PORT + peer);
        }
        for (int i = run->listening; i < run->world.worker_count; i++)
            well &= listen_for(run, node, TW_SOAK_WORKERS + i, TW_SOAK_MACHINE_PORT + i);
    }
    for (; run->listening < run->world.worker_count; run->listening++) {
        tw_simulator_worker *worker = run->world.workers[run->listening];
        tw_soak_address(run, worker->endpoint, TW_SOAK_STAND_IN_HOST,
                        TW_SOAK_MACHINE_PORT + run->listening);
    }
    if (!run->next_snapshot) take_snapshot(run);
    return well;
}

void tw_soak_stand_ins_tick(tw_soak *run) {
    tw_simulator_state_expire(&run->world.state, run->world.now);
    watches_tick(run);
    take_snapshot(run);
}
