/* End-to-end test over loopback: three real node processes, and stubs of the state service, the
 * cloud and the workers. A batch job is accepted, run and reported done; the leader is killed while
 * a service runs; the new leader keeps the service's tasks running; a cancellation takes effect.
 * The test waits for each event in order and asserts no times; LIMIT_S ends a run that hangs. */
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
/* Ports on the run's own address: the first node's API port, its peer port, and the port of the
 * first stub. */
#define API_PORT 8080
#define PEER_PORT 8090
#define STUB_PORT 8100
/* The stubs that nodes call, as offsets from the first stub's port. Worker i has the offset
 * PORT_WORKER + i. */
enum { PORT_STATE, PORT_CLOUD, PORT_WORKER };

#define WORKERS 2
#define MAX_CALLS 100000
#define ADDRESS_SIZE 64
#define HEARTBEAT_S 0.4
#define LEASE_S 8
#define CANCEL_S 20
#define LIST_LAG_S 0.5
#define SOCKETS 200 /* socket limit of a node */
#define LIMIT_S 120 /* time limit of the whole run */
#define TICK_S 0.05
#define STEP_INTERVAL_S 0.2
#define USER_TIMEOUT_S 5
#define HEARTBEAT_TIMEOUT_S 4
#define CONNECTIONS_PER_ADDRESS 4

#define BATCH_ID "run-000001"
#define SERVICE_ID "run-000002"
#define BATCH_TASKS 3
#define SERVICE_REPLICAS 2
#define SERVICE_SUBMISSIONS 3 /* repeated submissions of the one job, which must create it once */

#define JOB(id, shape, tasks)                                                                      \
    "{\"id\":\"" id "\",\"lane\":\"l\",\"crew\":\"crew\",\"shape\":\"" shape                       \
    "\",\"rank\":\"prod\",\"pieces\":" tasks ",\"cores\":1,\"gpus\":0,\"memoryGb\":1,"             \
    "\"bundle\":\"img\",\"imageGb\":0.1,\"samePlace\":false,\"apart\":false,\"loaner\":false,"     \
    "\"expectS\":1,\"snapshotS\":0,\"flushS\":0}"

static const char batch_text[] = JOB(BATCH_ID, "batch", "3");
static const char service_text[] = JOB(SERVICE_ID, "service", "2");

/* The events that the test waits for, in order. */
enum step {
    STEP_ACCEPT,   /* the batch job is accepted */
    STEP_DONE,     /* the batch job is reported done */
    STEP_RUNS,     /* all replicas of the service run; then the leader is killed */
    STEP_FAILOVER, /* another node leads */
    STEP_KNOWN,    /* a node answers with the service */
    STEP_CANCEL,   /* the service is reported cancelled */
    STEP_STOPPED,  /* no replica of the service runs */
    STEP_END
};

/* A request sent to a node; its call number is its index in `calls`. */
struct sent_call {
    int is_user;    /* nonzero: sent by a user; the other members are set for workers only */
    int worker;     /* index in the world */
    double sent_at; /* seconds since the start */
    uint64_t incarnation;
};

static tw_simulator_world world;
static tw_net *net;
static tw_loopback_nodes nodes;
static enum step step;
static bool user_request_open; /* a user's request is outstanding */
static double started_at;
static char killed_leader[TW_SIMULATOR_NAME_SIZE];
static struct sent_call calls[MAX_CALLS];
static uint64_t call_count;

static double clock_s(void) {
    struct timespec time;
    clock_gettime(CLOCK_MONOTONIC, &time);
    return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

static double seconds_since_start(void) { return clock_s() - started_at; }

/* Stops the nodes and exits. The test also fails if a node exits with an error. */
static _Noreturn void finish(const char *failure) {
    const bool ended_well = tw_loopback_stop_nodes(&nodes);
    if (failure) printf("FAIL end_to_end: step %d: %s\n", (int)step, failure);
    if (failure || !ended_well) exit(EXIT_FAILURE);
    printf("ok end_to_end\n");
    exit(EXIT_SUCCESS);
}

/* Answers a node's request to a stub. */
static void on_request(void *ctx, int port, uint64_t conn, const char *method, const char *path,
                       const char *body, size_t len) {
    char *answer = NULL;
    int status;
    (void)ctx;
    (void)len;
    world.now = seconds_since_start();
    if (port == PORT_STATE)
        status = tw_simulator_state_request(&world.state, world.now, method, path, body, &answer);
    else if (port == PORT_CLOUD)
        status = tw_simulator_cloud_request(&world, method, path, body, &answer);
    else
        status = tw_simulator_worker_handle_request(&world, world.workers[port - PORT_WORKER],
                                                    method, path, body, &answer);
    tw_net_reply(net, conn, status, 0, answer, strlen(answer));
    free(answer);
}

/* Writes a port on this run's own address as IP:PORT. */
static void own_address(char *text, size_t size, int port) {
    char host[TW_LOOPBACK_HOST_SIZE];
    tw_loopback_own_host_text(host);
    snprintf(text, size, "%s:%d", host, port);
}

/* Sends a request to a node. Returns its entry in `calls`, which the caller fills in. */
static struct sent_call *call_node(int node, const char *method, const char *path, const char *body,
                                   double timeout_s) {
    char address[ADDRESS_SIZE];
    if (++call_count >= MAX_CALLS) finish("more than MAX_CALLS requests to nodes");
    own_address(address, sizeof address, API_PORT + node);
    tw_net_call(net, call_count, address, CONNECTIONS_PER_ADDRESS, method, path, body, timeout_s);
    return &calls[call_count];
}

static void send_user_request(int node, const char *method, const char *path, const char *body) {
    user_request_open = true;
    call_node(node, method, path, body, USER_TIMEOUT_S)->is_user = 1;
}

/* Reads the leader's name from its key in the state service; empty if there is no leader. */
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

/* Returns whether a response to a user's request completes the current step. */
static bool completes_step(int status, const char *body) {
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

/* Processes a node's response to a user or a worker. */
static void on_response(void *ctx, uint64_t id, int status, const char *body, size_t len) {
    const struct sent_call *call = &calls[id];
    (void)ctx;
    (void)len;
    world.now = seconds_since_start();
    if (call->is_user) {
        user_request_open = false;
        if (completes_step(status, body)) step++;
        return;
    }
    tw_simulator_worker *worker = world.workers[call->worker];
    worker->in_flight = 0;
    tw_simulator_worker_apply_answer(&world, worker, call->sent_at, call->incarnation, status,
                                     body);
}

/* Returns the index of the node with that name, or -1 if there is none. */
static int find_node(const char *name) {
    for (int node = 0; node < NODES; node++)
        if (strcmp(world.nodes[node], name) == 0) return node;
    return -1;
}

static void kill_leader(void) {
    read_leader(killed_leader);
    const int node = find_node(killed_leader);
    if (node < 0 || !tw_loopback_kill_node(&nodes, node)) return;
    step++;
}

/* Submits the service to several nodes, and kills the leader once all its replicas run. */
static void submit_service(int node) {
    static int submissions;
    if (submissions++ < SERVICE_SUBMISSIONS)
        send_user_request(node, "POST", "/v1/jobs", service_text);
    if (tw_simulator_job_tasks_running(&world, SERVICE_ID) == SERVICE_REPLICAS) kill_leader();
}

static void await_new_leader(void) {
    char name[TW_SIMULATOR_NAME_SIZE];
    read_leader(name);
    if (*name && strcmp(name, killed_leader) != 0) step++;
}

/* Returns the node for the next request: the live nodes take turns. */
static int next_node(void) {
    static int node;
    node = (node + 1) % NODES;
    if (!nodes.pid[node]) node = (node + 1) % NODES;
    return node;
}

static void advance_step(void) {
    const int node = next_node();
    switch (step) {
    case STEP_ACCEPT:
        send_user_request(node, "POST", "/v1/jobs", batch_text);
        break;
    case STEP_DONE:
        send_user_request(node, "GET", "/v1/jobs/" BATCH_ID, "");
        break;
    case STEP_RUNS:
        submit_service(node);
        break;
    case STEP_FAILOVER:
        await_new_leader();
        break;
    case STEP_KNOWN:
        send_user_request(node, "GET", "/v1/jobs/" SERVICE_ID, "");
        break;
    case STEP_CANCEL:
        send_user_request(node, "POST", "/v1/jobs/" SERVICE_ID "/abort", "{}");
        break;
    case STEP_STOPPED:
        if (tw_simulator_job_tasks_running(&world, SERVICE_ID) == 0) step++;
        break;
    case STEP_END: {
        const tw_simulator_job *service = tw_simulator_job_find(&world, SERVICE_ID);
        finish(service->started == SERVICE_REPLICAS
                   ? NULL
                   : "a replica of the service was started more than once");
    }
    }
}

static void send_heartbeat(int index) {
    tw_simulator_worker *worker = world.workers[index];
    char *body = tw_simulator_worker_next_heartbeat(&world, worker);
    struct sent_call *call = call_node(worker->node, "POST", "/hello", body, HEARTBEAT_TIMEOUT_S);
    free(body);
    call->worker = index;
    call->sent_at = world.now;
    call->incarnation = worker->incarnation;
    worker->in_flight = 1;
    worker->has_unreported_change = false;
    worker->last_heartbeat = world.now;
    worker->next_heartbeat = world.now + world.heartbeat_s;
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events) {
    static double next_step_at;
    int status;
    (void)loop;
    (void)timer;
    (void)events;
    world.now = seconds_since_start();
    if (world.now > LIMIT_S) finish("the time limit was exceeded");
    if (tw_loopback_reap_node(&nodes, &status) >= 0) finish("a node ended by itself");
    tw_simulator_gangs_advance(&world);
    for (int i = 0; i < world.worker_count; i++) {
        tw_simulator_worker_advance(&world, world.workers[i]);
        if (tw_simulator_worker_heartbeat_is_due(&world, world.workers[i])) send_heartbeat(i);
    }
    if (*world.rule) finish(world.detail);
    if (!user_request_open && world.now >= next_step_at) {
        next_step_at = world.now + STEP_INTERVAL_S;
        advance_step();
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

static void listen_as_stubs(void) {
    for (int i = 0; i < PORT_WORKER + WORKERS; i++) {
        char address[ADDRESS_SIZE];
        own_address(address, sizeof address, STUB_PORT + i);
        if (tw_net_listen(net, address, i)) finish("a stub cannot listen on its port");
    }
}

static void rent_workers(void) {
    for (int i = 0; i < WORKERS; i++) {
        tw_simulator_worker *worker = tw_simulator_add_machine(&world, 0, i ? "b" : "a", 0, 0);
        own_address(worker->endpoint, sizeof worker->endpoint, STUB_PORT + PORT_WORKER + i);
    }
}

static const char *zone_of(int node) { return node == 1 ? "b" : "a"; }

static void fill_peer(tw_loopback_peer *peer, int node) {
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
    own_address(settings.cloud, sizeof settings.cloud, STUB_PORT + PORT_CLOUD);
    own_address(settings.state, sizeof settings.state, STUB_PORT + PORT_STATE);
    for (int peer = 0; peer < NODES; peer++)
        if (peer != node) fill_peer(&settings.peers[settings.peer_count++], peer);
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
    /* Not the default loop, which reaps child processes and would take the nodes' exit statuses
     * from the code that waits for them. */
    struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
    const tw_net_limits limits = {
        .max_server = 200, .max_client = 200, .idle_s = 60, .max_response = 1 << 20};
    const tw_net_handler handler = {on_request, on_response};
    net = tw_net_new(loop, &limits, &handler, NULL);
    init_world();
    listen_as_stubs();
    rent_workers();
    for (int node = 0; node < NODES; node++)
        if (!start_node(node)) finish("a node cannot be started");
    ev_timer tick;
    ev_timer_init(&tick, on_tick, TICK_S, TICK_S);
    ev_timer_start(loop, &tick);
    ev_run(loop, 0);
    return EXIT_FAILURE;
}
