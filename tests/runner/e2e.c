/* End to end over loopback: three real processes against the stand-ins; a job is accepted, run and
 * told done; the leader is killed; what ran goes on; a cancel holds. The order of events is waited
 * for, no time is asserted; a generous limit ends a run that hangs. */
#include "net/net.h"
#include "own_host.h"
#include "processes.h"
#include "world.h"
#include <cjson/cJSON.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define NODES 3
/* Ports of the run's own address: of the first node, of its peers' requests, of the first stand-in.
 */
#define API_PORT 8080
#define PEER_PORT 8090
#define STAND_IN_PORT 8100
/* The stand-ins that nodes call, by the number of their port; each worker has one of its own. */
enum { PORT_STATE, PORT_CLOUD, PORT_WORKER };

#define WORKERS 2
#define MAX_CALLS 100000
#define ADDRESS_SIZE 64
#define HEARTBEAT_S 0.4
#define LEASE_S 8
#define CANCEL_S 20
#define LIST_LAG_S 0.5
#define SOCKETS 200 /* of a node */
#define LIMIT_S 120 /* of the whole run */
#define TICK_S 0.05
#define ACT_EVERY_S 0.2
#define USER_TIMEOUT_S 5
#define HEARTBEAT_TIMEOUT_S 4
#define CONNECTIONS_PER_ADDRESS 4

#define BATCH_ID "run-000001"
#define SERVICE_ID "run-000002"
#define BATCH_TASKS 3
#define SERVICE_REPLICAS 2
#define SERVICE_SUBMISSIONS 3 /* times that it is sent: the same job once, told again */

#define JOB(id, shape, tasks)                                                                      \
    "{\"id\":\"" id "\",\"lane\":\"l\",\"crew\":\"crew\",\"shape\":\"" shape                       \
    "\",\"rank\":\"prod\",\"pieces\":" tasks ",\"cores\":1,\"gpus\":0,\"memoryGb\":1,"             \
    "\"bundle\":\"img\",\"imageGb\":0.1,\"samePlace\":false,\"apart\":false,\"loaner\":false,"     \
    "\"expectS\":1,\"snapshotS\":0,\"flushS\":0}"

static const char batch_text[] = JOB(BATCH_ID, "batch", "3");
static const char service_text[] = JOB(SERVICE_ID, "service", "2");

/* What is waited for, in this order. */
enum step {
    STEP_ACCEPT,   /* the batch job is accepted */
    STEP_DONE,     /* and told done */
    STEP_RUNS,     /* all replicas of the service run; then the leader is killed */
    STEP_FAILOVER, /* another node leads */
    STEP_KNOWN,    /* and knows the service */
    STEP_CANCEL,   /* its cancellation is told */
    STEP_GONE,     /* none of its replicas run */
    STEP_END
};

/* A request that was sent to a node, by its number. */
struct sent_call {
    int is_user; /* by a user; else by a worker, and the rest is set */
    int worker;  /* index in the world */
    double sent; /* seconds since the start */
    uint64_t incarnation;
};

static tw_simulator_world world;
static tw_net *net;
static tw_loopback_nodes nodes;
static enum step step;
static bool user_waits; /* a user's request has no answer yet */
static double started_at;
static char killed_leader[TW_SIMULATOR_NAME_SIZE];
static struct sent_call calls[MAX_CALLS];
static uint64_t call_count;

static double clock_s(void) {
    struct timespec time;
    clock_gettime(CLOCK_MONOTONIC, &time);
    return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

static double now(void) { return clock_s() - started_at; }

/* Stops the nodes and ends the program. A run without a failure fails if a node ends badly. */
static _Noreturn void finish(const char *failure) {
    const bool ended_well = tw_loopback_stop_nodes(&nodes);
    if (failure) printf("FAIL end_to_end: step %d: %s\n", (int)step, failure);
    if (failure || !ended_well) exit(EXIT_FAILURE);
    printf("ok end_to_end\n");
    exit(EXIT_SUCCESS);
}

/* A node asks a stand-in. */
static void on_request(void *ctx, int port, uint64_t conn, const char *method, const char *path,
                       const char *body, size_t len) {
    char *answer = NULL;
    int status;
    (void)ctx;
    (void)len;
    world.now = now();
    if (port == PORT_STATE)
        status = tw_simulator_state_request(&world.state, world.now, method, path, body, &answer);
    else if (port == PORT_CLOUD)
        status = tw_simulator_cloud_request(&world, method, path, body, &answer);
    else
        status = tw_simulator_worker_request(&world, world.workers[port - PORT_WORKER], method,
                                             path, body, &answer);
    tw_net_reply(net, conn, status, 0, answer, strlen(answer));
    free(answer);
}

/* IP:PORT of a listener of this run. */
static void own_address(char *text, size_t size, int port) {
    char host[TW_LOOPBACK_HOST_SIZE];
    tw_loopback_own_host_text(host);
    snprintf(text, size, "%s:%d", host, port);
}

/* Sends a request to a node; returns what is known of it, to be filled in. */
static struct sent_call *call_node(int node, const char *method, const char *path, const char *body,
                                   double timeout_s) {
    char address[ADDRESS_SIZE];
    if (++call_count >= MAX_CALLS) finish("too many calls");
    own_address(address, sizeof address, API_PORT + node);
    tw_net_call(net, call_count, address, CONNECTIONS_PER_ADDRESS, method, path, body, timeout_s);
    return &calls[call_count];
}

static void ask_as_user(int node, const char *method, const char *path, const char *body) {
    user_waits = true;
    call_node(node, method, path, body, USER_TIMEOUT_S)->is_user = 1;
}

/* The leader by its key in the state service; empty: there is none. */
static void read_leader(char name[TW_SIMULATOR_NAME_SIZE]) {
    char *answer = NULL;
    *name = 0;
    if (tw_simulator_state_request(&world.state, world.now, "GET", "/kv/leader", "", &answer) ==
        200) {
        cJSON *key = cJSON_Parse(answer);
        const cJSON *node = cJSON_GetObjectItem(cJSON_GetObjectItem(key, "data"), "node");
        if (cJSON_IsString(node)) snprintf(name, TW_SIMULATOR_NAME_SIZE, "%s", node->valuestring);
        cJSON_Delete(key);
    }
    free(answer);
}

/* Whether a user's answer is what the step waits for. */
static bool is_awaited(int status, const char *body) {
    if (status != 200 && status != 201) return false;
    switch (step) {
    case STEP_ACCEPT:
        return true;
    case STEP_DONE:
        return strstr(body, "\"done\"") && strstr(body, BATCH_ID);
    case STEP_KNOWN:
        return strstr(body, SERVICE_ID) != NULL;
    case STEP_CANCEL:
        return strstr(body, "\"aborted\"") != NULL;
    default:
        return false;
    }
}

/* A node answers a user or a worker. */
static void on_response(void *ctx, uint64_t id, int status, const char *body, size_t len) {
    const struct sent_call *call = &calls[id];
    (void)ctx;
    (void)len;
    world.now = now();
    if (call->is_user) {
        user_waits = false;
        if (is_awaited(status, body)) step++;
        return;
    }
    tw_simulator_worker *worker = world.workers[call->worker];
    worker->in_flight = 0;
    tw_simulator_worker_answer(&world, worker, call->sent, call->incarnation, status, body);
}

/* The index of a node by its name; -1: none of them. */
static int node_of(const char *name) {
    for (int node = 0; node < NODES; node++)
        if (strcmp(world.nodes[node], name) == 0) return node;
    return -1;
}

static void kill_leader(void) {
    read_leader(killed_leader);
    const int node = node_of(killed_leader);
    if (node < 0 || !tw_loopback_kill_node(&nodes, node)) return;
    step++;
}

/* Submits the service to several nodes; once all its replicas run, the leader is killed. */
static void run_service(int node) {
    static int submissions;
    if (submissions++ < SERVICE_SUBMISSIONS) ask_as_user(node, "POST", "/v1/jobs", service_text);
    if (tw_simulator_job_tasks_running(&world, SERVICE_ID) == SERVICE_REPLICAS) kill_leader();
}

static void await_new_leader(void) {
    char name[TW_SIMULATOR_NAME_SIZE];
    read_leader(name);
    if (*name && strcmp(name, killed_leader) != 0) step++;
}

/* The node that is asked next: each one that runs in turn. */
static int next_node(void) {
    static int node;
    node = (node + 1) % NODES;
    if (!nodes.pid[node]) node = (node + 1) % NODES;
    return node;
}

static void act(void) {
    const int node = next_node();
    switch (step) {
    case STEP_ACCEPT:
        ask_as_user(node, "POST", "/v1/jobs", batch_text);
        break;
    case STEP_DONE:
        ask_as_user(node, "GET", "/v1/jobs/" BATCH_ID, "");
        break;
    case STEP_RUNS:
        run_service(node);
        break;
    case STEP_FAILOVER:
        await_new_leader();
        break;
    case STEP_KNOWN:
        ask_as_user(node, "GET", "/v1/jobs/" SERVICE_ID, "");
        break;
    case STEP_CANCEL:
        ask_as_user(node, "POST", "/v1/jobs/" SERVICE_ID "/abort", "{}");
        break;
    case STEP_GONE:
        if (tw_simulator_job_tasks_running(&world, SERVICE_ID) == 0) step++;
        break;
    case STEP_END: {
        const tw_simulator_job *service = tw_simulator_job_find(&world, SERVICE_ID);
        finish(service->started == SERVICE_REPLICAS ? NULL : "a replica was started again");
    }
    }
}

static void send_heartbeat(int index) {
    tw_simulator_worker *worker = world.workers[index];
    char *body = tw_simulator_worker_heartbeat(&world, worker);
    struct sent_call *call = call_node(worker->node, "POST", "/hello", body, HEARTBEAT_TIMEOUT_S);
    free(body);
    call->worker = index;
    call->sent = world.now;
    call->incarnation = worker->incarnation;
    worker->in_flight = 1;
    worker->changed = false;
    worker->last_heartbeat = world.now;
    worker->next_heartbeat = world.now + world.heartbeat_s;
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events) {
    static double next_act;
    int status;
    (void)loop;
    (void)timer;
    (void)events;
    world.now = now();
    if (world.now > LIMIT_S) finish("no progress");
    if (tw_loopback_reap_node(&nodes, &status) >= 0) finish("a node ended by itself");
    tw_simulator_gangs_advance(&world);
    for (int i = 0; i < world.worker_count; i++) {
        tw_simulator_worker_advance(&world, world.workers[i]);
        if (tw_simulator_worker_heartbeat_due(&world, world.workers[i])) send_heartbeat(i);
    }
    if (*world.rule) finish(world.detail);
    if (!user_waits && world.now >= next_act) {
        next_act = world.now + ACT_EVERY_S;
        act();
    }
}

static void add_job(const char *id, const char *text, int tasks) {
    const char *why;
    tw_simulator_job *job = tw_simulator_job_new(&world, id);
    if (tw_wire_job_parse(&job->spec, text, strlen(text), &why)) finish(why);
    job->run_s = 0.5;
    job->submitted = 1;
    job->done = tw_simulator_allocate((size_t)tasks);
}

static void init_world(void) {
    tw_simulator_world_init(&world);
    world.heartbeat_s = HEARTBEAT_S;
    world.lease_s = LEASE_S;
    world.node_count = NODES;
    for (int node = 0; node < NODES; node++)
        snprintf(world.nodes[node], TW_SIMULATOR_NAME_SIZE, "tray-%d", node);
    world.type_count = 1;
    world.types[0] = (tw_wire_machine_type){.name = "cpu",
                                            .cores = 4,
                                            .memory_gb = 16,
                                            .cache_gb = 50,
                                            .fetch_gb_s = 1,
                                            .on_demand_price = 1,
                                            .spot_price = 0.5,
                                            .startup_s = 60,
                                            .zone_count = 2,
                                            .zones = {"a", "b"}};
    world.capacity[0] = WORKERS;
    add_job(BATCH_ID, batch_text, BATCH_TASKS);
    add_job(SERVICE_ID, service_text, SERVICE_REPLICAS);
}

static void listen_as_stand_ins(void) {
    for (int i = 0; i < PORT_WORKER + WORKERS; i++) {
        char address[ADDRESS_SIZE];
        own_address(address, sizeof address, STAND_IN_PORT + i);
        if (tw_net_listen(net, address, i)) finish("a stand-in can't listen");
    }
}

static void rent_workers(void) {
    for (int i = 0; i < WORKERS; i++) {
        tw_simulator_worker *worker = tw_simulator_add_machine(&world, 0, i ? "b" : "a", 0, 0);
        own_address(worker->endpoint, sizeof worker->endpoint, STAND_IN_PORT + PORT_WORKER + i);
    }
}

static const char *zone_of(int node) { return node == 1 ? "b" : "a"; }

static void name_peer(tw_loopback_peer *peer, int node) {
    snprintf(peer->name, sizeof peer->name, "tray-%d", node);
    snprintf(peer->zone, sizeof peer->zone, "%s", zone_of(node));
    own_address(peer->endpoint, sizeof peer->endpoint, PEER_PORT + node);
}

static bool start_node(int node) {
    tw_loopback_settings settings = {.teams = "[[settings.teams]]\nname = \"crew\"\n",
                                     .report_s = HEARTBEAT_S,
                                     .lease_s = LEASE_S,
                                     .cancel_s = CANCEL_S,
                                     .list_lag_s = LIST_LAG_S,
                                     .sockets = SOCKETS};
    char path[ADDRESS_SIZE];
    snprintf(settings.name, sizeof settings.name, "tray-%d", node);
    snprintf(settings.zone, sizeof settings.zone, "%s", zone_of(node));
    own_address(settings.api_address, sizeof settings.api_address, API_PORT + node);
    own_address(settings.peer_address, sizeof settings.peer_address, PEER_PORT + node);
    own_address(settings.cloud, sizeof settings.cloud, STAND_IN_PORT + PORT_CLOUD);
    own_address(settings.state, sizeof settings.state, STAND_IN_PORT + PORT_STATE);
    for (int peer = 0; peer < NODES; peer++)
        if (peer != node) name_peer(&settings.peers[settings.peer_count++], peer);
    snprintf(path, sizeof path, "/tmp/tw_e2e_%d_%d.toml", (int)getpid(), node);
    return tw_loopback_write_settings(path, &settings) &&
           tw_loopback_start_node(&nodes, node, path);
}

int main(int argc, char **argv) {
    if (argc != 2) {
        fprintf(stderr, "usage: tw_e2e PROGRAM\n");
        return 2;
    }
    nodes.program = argv[1];
    signal(SIGPIPE, SIG_IGN);
    started_at = clock_s();
    /* Not the default loop, which would take the ends of the nodes from whoever waits for them. */
    struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
    const tw_net_limits limits = {
        .max_server = 200, .max_client = 200, .idle_s = 60, .max_response = 1 << 20};
    const tw_net_handler handler = {on_request, on_response};
    net = tw_net_new(loop, &limits, &handler, NULL);
    init_world();
    listen_as_stand_ins();
    rent_workers();
    for (int node = 0; node < NODES; node++)
        if (!start_node(node)) finish("can't start a node");
    ev_timer tick;
    ev_timer_init(&tick, on_tick, TICK_S, TICK_S);
    ev_timer_start(loop, &tick);
    ev_run(loop, 0);
    return EXIT_FAILURE;
}
