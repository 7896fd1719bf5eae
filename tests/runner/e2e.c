/* End to end over loopback: three real processes against the stand-ins; a job is accepted, run and
 * told done; the leader is killed; what ran goes on; a cancel holds. The order of events is waited
 * for, no time is asserted; a generous limit ends a run that hangs. */
#include "net/net.h"
#include "world.h"
#include <cjson/cJSON.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum { P_STATE, P_CLOUD, P_WORKER };
enum {
    STEP_ACCEPT,
    STEP_DONE,
    STEP_RUNS,
    STEP_FAILOVER,
    STEP_KNOWN,
    STEP_CANCEL,
    STEP_GONE,
    STEP_END
};

static tw_sim_world W;
static tw_net *net;
static struct ev_loop *loop;
static pid_t pid[3];
static int base, step, waiting;
static double t0, limit_s = 120;
static char last_leader[32];
static struct {
    int worker, user; /* worker + 1; or what a user asked */
    double sent;
    uint64_t shift;
} calls[100000];
static uint64_t ncalls;

static double now(void) {
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return (double)t.tv_sec + (double)t.tv_nsec / 1e9 - t0;
}

static void finish(int rc, const char *why) {
    printf(rc ? "FAIL end_to_end: step %d: %s\n" : "ok end_to_end\n", step, why);
    for (int i = 0; i < 3; i++)
        if (pid[i] > 0) kill(pid[i], SIGTERM);
    for (int i = 0; i < 3; i++) {
        int st = 0;
        if (pid[i] <= 0) continue;
        waitpid(pid[i], &st, 0);
        if (!rc && (!WIFEXITED(st) || WEXITSTATUS(st))) {
            printf("FAIL end_to_end: node %d ended with status %d\n", i, st);
            rc = 1;
        }
    }
    exit(rc);
}

static void start_node(int i) {
    char path[64];
    snprintf(path, sizeof path, "/tmp/tw_e2e_%d_%d.toml", (int)getpid(), i);
    FILE *f = fopen(path, "w");
    if (!f) finish(1, "can't write settings");
    fprintf(f,
            "host_name = \"tray-%d\"\nlocation = \"%s\"\napi_addr = \"127.0.0.1:%d\"\n"
            "peer_bind = \"127.0.0.1:%d\"\n",
            i, i == 1 ? "b" : "a", base + i, base + 10 + i);
    for (int k = 0; k < 3; k++)
        if (k != i)
            fprintf(f,
                    "[[known]]\nhost_name = \"tray-%d\"\nlocation = \"%s\"\nendpoint = "
                    "\"127.0.0.1:%d\"\n",
                    k, k == 1 ? "b" : "a", base + 10 + k);
    fprintf(f,
            "[external]\ncloud = \"127.0.0.1:%d\"\nstate = \"127.0.0.1:%d\"\n[settings]\n"
            "[[settings.teams]]\nname = \"crew\"\n"
            "[settings.workers]\nreport_s = 0.4\nlease_s = 8.0\ncancel_s = 20.0\n"
            "[settings.state]\nrps = 200.0\nwrite_rps = 100.0\nvalue_kb = 8.0\ntxn_ops = 12\n"
            "[settings.cloud]\nrps = 20.0\nlist_lag_s = 0.5\n"
            "[settings.limits]\ncpu_share = 1.0\nmem_mb = 512.0\nsockets = 200\n",
            base + 21, base + 20);
    fclose(f);
    pid[i] = fork();
    if (pid[i] == 0) {
        extern char *program;
        execl(program, program, "--config", path, (char *)NULL);
        _exit(127);
    }
}
char *program;

static void on_request(void *ctx, int port, uint64_t conn, const char *method, const char *path,
                       const char *body, size_t len) {
    char *out = NULL;
    int status;
    (void)ctx;
    (void)len;
    W.now = now();
    if (port == P_STATE)
        status = tw_sim_state_request(&W.state, W.now, method, path, body, &out);
    else if (port == P_CLOUD)
        status = tw_sim_cloud_request(&W, method, path, body, &out);
    else
        status = tw_sim_worker_request(&W, W.workers[port - P_WORKER], method, path, body, &out);
    tw_net_reply(net, conn, status, 0, out, strlen(out));
    free(out);
}

static uint64_t call_id(void) {
    if (++ncalls >= 100000) finish(1, "too many calls");
    return ncalls;
}

static void user(int node, const char *method, const char *path, const char *body) {
    char addr[64];
    uint64_t id = call_id();
    calls[id].user = 1;
    waiting = 1;
    snprintf(addr, sizeof addr, "127.0.0.1:%d", base + node);
    tw_net_call(net, id, addr, 4, method, path, body, 5);
}

#define JOB(id, shape, pieces)                                                                     \
    "{\"id\":\"" id "\",\"lane\":\"l\",\"crew\":\"crew\",\"shape\":\"" shape                       \
    "\",\"rank\":\"prod\",\"pieces\":" pieces ",\"cores\":1,\"gpus\":0,\"memoryGb\":1,"            \
    "\"bundle\":\"img\",\"imageGb\":0.1,\"samePlace\":false,\"apart\":false,\"loaner\":false,"     \
    "\"expectS\":1,\"snapshotS\":0,\"flushS\":0}"

static void leader_name(char *to) {
    char *out;
    *to = 0;
    if (tw_sim_state_request(&W.state, W.now, "GET", "/kv/leader", "", &out) == 200) {
        cJSON *o = cJSON_Parse(out);
        const cJSON *d = cJSON_GetObjectItem(cJSON_GetObjectItem(o, "data"), "node");
        if (cJSON_IsString(d)) snprintf(to, 32, "%s", d->valuestring);
        cJSON_Delete(o);
    }
    free(out);
}

static void on_response(void *ctx, uint64_t id, int status, const char *body, size_t len) {
    (void)ctx;
    (void)len;
    W.now = now();
    if (!calls[id].user) {
        tw_sim_worker *x = W.workers[calls[id].worker];
        x->in_flight = 0;
        tw_sim_worker_answer(&W, x, calls[id].sent, calls[id].shift, status, body);
        return;
    }
    waiting = 0;
    int ok = status == 200 || status == 201;
    if (step == STEP_ACCEPT && ok) step++;
    if (step == STEP_DONE && ok && strstr(body, "\"done\"") && strstr(body, "run-000001")) step++;
    if (step == STEP_KNOWN && ok && strstr(body, "run-000002")) step++;
    if (step == STEP_CANCEL && ok && strstr(body, "\"aborted\"")) step++;
}

static void act(void) {
    static int turn, submitted;
    char name[32];
    turn = (turn + 1) % 3;
    if (pid[turn] <= 0) turn = (turn + 1) % 3;
    switch (step) {
    case STEP_ACCEPT:
        user(turn, "POST", "/v1/jobs", JOB("run-000001", "batch", "3"));
        break;
    case STEP_DONE:
        user(turn, "GET", "/v1/jobs/run-000001", "");
        break;
    case STEP_RUNS:
        if (submitted++ < 3) user(turn, "POST", "/v1/jobs", JOB("run-000002", "service", "2"));
        if (tw_sim_job_running(&W, "run-000002") == 2) {
            leader_name(last_leader);
            int i = atoi(last_leader + 5);
            if (!*last_leader || pid[i] <= 0) break;
            kill(pid[i], SIGKILL);
            waitpid(pid[i], NULL, 0);
            pid[i] = 0;
            step++;
        }
        break;
    case STEP_FAILOVER:
        leader_name(name);
        if (*name && strcmp(name, last_leader)) step++;
        break;
    case STEP_KNOWN:
        user(turn, "GET", "/v1/jobs/run-000002", "");
        break;
    case STEP_CANCEL:
        user(turn, "POST", "/v1/jobs/run-000002/abort", "{}");
        break;
    case STEP_GONE:
        if (tw_sim_job_running(&W, "run-000002") == 0) step++;
        break;
    default: {
        const tw_sim_job *j = tw_sim_job_find(&W, "run-000002");
        finish(j->started != 2, j->started != 2 ? "a replica was started again" : "");
    }
    }
}

static void on_tick(struct ev_loop *l, ev_timer *t, int ev) {
    static double next_act;
    (void)l;
    (void)t;
    (void)ev;
    W.now = now();
    if (W.now > limit_s) finish(1, "no progress");
    tw_sim_gangs_tick(&W);
    for (int i = 0; i < W.nworkers; i++) {
        tw_sim_worker *x = W.workers[i];
        tw_sim_worker_tick(&W, x);
        if (!tw_sim_worker_due(&W, x)) continue;
        char addr[64], *body = tw_sim_worker_report(&W, x);
        uint64_t id = call_id();
        calls[id].worker = i;
        calls[id].sent = W.now;
        calls[id].shift = x->session;
        x->in_flight = 1;
        x->changed = 0;
        x->last_report = W.now;
        x->next_report = W.now + W.report_s;
        snprintf(addr, sizeof addr, "127.0.0.1:%d", base + x->node);
        tw_net_call(net, id, addr, 4, "POST", "/hello", body, 4);
        free(body);
    }
    if (*W.rule) finish(1, W.detail);
    if (!waiting && W.now >= next_act) {
        next_act = W.now + 0.2;
        act();
    }
}

static void job(const char *id, int service, int pieces) {
    const char *why;
    tw_sim_job *j = tw_sim_job_new(&W, id);
    const char *text =
        service ? JOB("run-000002", "service", "2") : JOB("run-000001", "batch", "3");
    if (tw_wire_job_parse(&j->spec, text, strlen(text), &why)) finish(1, why);
    j->run_s = 0.5;
    j->submitted = 1;
    j->done = tw_sim_zeroed((size_t)pieces);
}

int main(int argc, char **argv) {
    if (argc != 2) {
        fprintf(stderr, "usage: tw_e2e PROGRAM\n");
        return 2;
    }
    program = argv[1];
    signal(SIGPIPE, SIG_IGN);
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    t0 = (double)t.tv_sec + (double)t.tv_nsec / 1e9;
    loop = ev_default_loop(0);
    const tw_net_limits lim = {
        .max_server = 200, .max_client = 200, .idle_s = 60, .max_response = 1 << 20};
    const tw_net_handler h = {on_request, on_response};
    net = tw_net_new(loop, &lim, &h, NULL);
    tw_sim_world_init(&W);
    W.report_s = 0.4;
    W.lease_s = 8;
    W.nnodes = 3;
    for (int i = 0; i < 3; i++) snprintf(W.nodes[i], TW_SIM_NAME, "tray-%d", i);
    W.ntypes = 1;
    W.types[0] = (tw_wire_flavor){.label = "cpu",
                                  .cores = 4,
                                  .memory_gb = 16,
                                  .cache_gb = 50,
                                  .fetch_gb_s = 1,
                                  .hourly = 1,
                                  .low_price = 0.5,
                                  .startup_s = 60,
                                  .nyards = 2,
                                  .yards = {"a", "b"}};
    W.capacity[0] = 2;
    for (base = 21000 + (int)(getpid() % 300) * 100;; base += 100) {
        char addr[64];
        int bad = 0;
        for (int i = 0; i < 4 && !bad; i++) {
            snprintf(addr, sizeof addr, "127.0.0.1:%d", base + 20 + i);
            bad = tw_net_listen(net, addr, i);
        }
        if (!bad) break;
        if (base > 60000) finish(1, "no free ports");
    }
    job("run-000001", 0, 3);
    job("run-000002", 1, 2);
    for (int i = 0; i < 2; i++) {
        tw_sim_worker *x = tw_sim_rent(&W, 0, i ? "b" : "a", 0, 0);
        snprintf(x->endpoint, sizeof x->endpoint, "127.0.0.1:%d", base + 20 + P_WORKER + i);
    }
    for (int i = 0; i < 3; i++) start_node(i);
    ev_timer tick;
    ev_timer_init(&tick, on_tick, 0.05, 0.05);
    ev_timer_start(loop, &tick);
    ev_run(loop, 0);
    return 1;
}
