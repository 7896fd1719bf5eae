/* Plays one case of the review: starts three controllers as processes with settings like those of
 * blodtime-oslo, and the stand-ins of tests/soak around them, and judges what users and workers
 * see. Exit codes: 0 the rules held, 1 one was broken, 2 the case could not run. */
#include "review.h"
#include <gsl/gsl_rng.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <time.h>
#include <unistd.h>

#define NODES 3
#define REPORT_S 1.5
#define LEASE_S 10.0
#define CANCEL_S 30.0
#define GANG_WAIT_S 35.0
#define GANG_PEER_S 5.0
#define BOOT_S 3.0
#define SNAPSHOT_S 2.0
#define WRITE_RPS 20.0
#define VALUE_KB 32.0
#define TXN_OPS 16.0
#define GPUS_MAX 100.0
#define MAX_CONNECTIONS 4000
#define IDLE_S 60
#define SEED 7
#define OCTETS 250
#define FIRST_OCTET 121
#define MAX_LATENESS_S 1.0
#define MAX_NOTED_BODY 160
#define EXIT_NOT_RUN 2

static const double tick_s = 0.02;

tw_review review;

double tw_soak_now(void) {
    struct timespec time;
    clock_gettime(CLOCK_MONOTONIC, &time);
    return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

/* ---- what the stand-ins of tests/soak ask of their main program ---- */

double tw_soak_draw(tw_soak *soak, double from, double to) {
    return from + (to - from) * gsl_rng_uniform(soak->generator);
}

int tw_soak_draw_index(tw_soak *soak, int count) {
    return (int)gsl_rng_uniform_int(soak->generator, (unsigned long)count);
}

bool tw_soak_is_message_affected(tw_soak *soak, const tw_soak_message_share *share) {
    return soak->world.now < share->until && tw_soak_draw(soak, 0, 1) < share->share;
}

void tw_soak_format_address(const tw_soak *soak, char *text, int host, int port) {
    (void)soak;
    const int process = (int)getpid();
    snprintf(text, TW_SOAK_TEXT_SIZE, "127.%d.%d.%d:%d", FIRST_OCTET + process / OCTETS % 100,
             1 + process % OCTETS, host, port);
}

void tw_review_note(const char *format, ...) {
    va_list arguments;
    fprintf(review.record, "%.3f ", review.soak.world.now);
    va_start(arguments, format);
    vfprintf(review.record, format, arguments);
    va_end(arguments);
    fputc('\n', review.record);
}

/* Only messages of workers and faults go to the record, with the size of their body. */
void tw_soak_trace_message(tw_soak *soak, const char *from, int from_number, const char *to,
                           int to_number, const char *what, const char *body) {
    (void)soak;
    if (strcmp(from, "worker") != 0 && strcmp(to, "worker") != 0 && strcmp(from, "fault") != 0)
        return;
    tw_review_note("%s %d -> %s %d %s bytes=%zu %.*s", from, from_number, to, to_number, what,
                   strlen(body), MAX_NOTED_BODY, body);
}

typedef struct {
    ev_timer timer;
    void (*action)(tw_soak *soak, void *data);
    void *data;
} delayed_action;

static void run_delayed_action(struct ev_loop *loop, ev_timer *timer, int events) {
    delayed_action *delayed = timer->data;
    (void)loop;
    (void)events;
    review.soak.world.now = tw_soak_now() - review.soak.started_at;
    delayed->action(&review.soak, delayed->data);
    free(delayed);
}

void tw_soak_schedule_action(tw_soak *soak, double seconds,
                             void (*action)(tw_soak *soak, void *data), void *data) {
    delayed_action *delayed = tw_simulator_allocate(sizeof *delayed);
    delayed->action = action;
    delayed->data = data;
    ev_timer_init(&delayed->timer, run_delayed_action, seconds, 0.);
    delayed->timer.data = delayed;
    ev_timer_start(soak->loop, &delayed->timer);
}

int tw_soak_find_leader(tw_soak *soak) {
    const char *value = tw_simulator_state_value(&soak->world.state, "leader");
    for (int node = 0; value && node < soak->plan.nodes; node++) {
        char text[2 * TW_SOAK_TEXT_SIZE];
        snprintf(text, sizeof text, "\"node\":\"%s\"", soak->world.nodes[node]);
        if (strstr(value, text)) return node;
    }
    return -1;
}

void tw_soak_finish(tw_soak *soak, const char *verdict, const char *why) {
    tw_review_note("verdict %s: %s", verdict, why);
    printf("%s: %s\n", verdict, why);
    fclose(review.record);
    tw_loopback_stop_nodes(&soak->nodes);
    exit(!strcmp(verdict, "ok")     ? EXIT_SUCCESS
         : !strcmp(verdict, "FAIL") ? EXIT_FAILURE
                                    : EXIT_NOT_RUN);
}

/* ---- controllers ---- */

static void write_addresses(FILE *file, int node) {
    const tw_soak *soak = &review.soak;
    char text[TW_SOAK_TEXT_SIZE];
    fprintf(file, "host_name = \"%s\"\nlocation = \"%s\"\n", soak->world.nodes[node],
            soak->world.node_zone[node]);
    tw_soak_format_address(soak, text, TW_SOAK_NODE_HOST + node, TW_SOAK_API_PORT);
    fprintf(file, "api_addr = \"%s\"\n", text);
    tw_soak_format_address(soak, text, TW_SOAK_NODE_HOST + node, TW_SOAK_PEER_PORT);
    fprintf(file, "peer_bind = \"%s\"\n", text);
    for (int other = 0; other < soak->plan.nodes; other++) {
        if (other == node) continue;
        tw_soak_format_address(soak, text, TW_SOAK_STAND_IN_HOST + node,
                               TW_SOAK_PEERS_PORT + other);
        fprintf(file, "[[known]]\nhost_name = \"%s\"\nlocation = \"%s\"\nendpoint = \"%s\"\n",
                soak->world.nodes[other], soak->world.node_zone[other], text);
    }
    tw_soak_format_address(soak, text, TW_SOAK_STAND_IN_HOST + node, TW_SOAK_CLOUD_PORT);
    fprintf(file, "[external]\ncloud = \"%s\"\n", text);
    tw_soak_format_address(soak, text, TW_SOAK_STAND_IN_HOST + node, TW_SOAK_STATE_PORT);
    fprintf(file, "state = \"%s\"\n", text);
}

bool tw_soak_start_node(tw_soak *soak, int node) {
    char path[TW_SOAK_PATH_SIZE];
    snprintf(path, sizeof path, "%s/node-%d.toml", soak->directory, node);
    FILE *file = fopen(path, "w");
    if (!file) return false;
    write_addresses(file, node);
    fprintf(file, "[settings]\ncount = %d\nzones = [\"a\", \"b\"]\ntime_bound_ms = 5.0\n", NODES);
    for (int i = 0; i < soak->world.team_count; i++)
        fprintf(file,
                "[[settings.teams]]\nname = \"%s\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\n"
                "gpus_max = %g\n",
                soak->world.teams[i].name, soak->world.teams[i].gpus_max);
    fprintf(file,
            "[settings.workers]\nreport_s = %g\nlease_s = %g\ngang_wait_s = %g\n"
            "gang_peer_s = %g\ncancel_s = %g\n",
            REPORT_S, LEASE_S, GANG_WAIT_S, GANG_PEER_S, CANCEL_S);
    fprintf(file,
            "[settings.state]\nrps = 60.0\nwrite_rps = %g\nvalue_kb = %g\ntxn_ops = %g\n"
            "[settings.cloud]\nrps = 2.0\nlist_lag_s = 6.0\n"
            "[settings.limits]\ncpu_share = 0.16\nmem_mb = 56.0\nsockets = 800\n",
            WRITE_RPS, VALUE_KB, TXN_OPS);
    soak->nodes.program = review.programs[review.old_node[node]];
    return fclose(file) == 0 && tw_loopback_start_node(&soak->nodes, node, path);
}

/* ---- ticks ---- */

static void note_fleet(void) {
    static double next_at;
    const tw_simulator_world *world = &review.soak.world;
    if (world->now < next_at) return;
    next_at = world->now + SNAPSHOT_S;
    for (int i = 0; i < world->worker_count; i++) {
        const tw_simulator_worker *worker = world->workers[i];
        int exited = 0;
        for (int k = 0; k < worker->task_count; k++)
            exited += worker->tasks[k].stage == TW_TASK_EXITED;
        tw_review_note("machine %s session=%lu removed=%d listed=%d exited=%d", worker->id,
                       (unsigned long)worker->incarnation, worker->removed, worker->task_count,
                       exited);
    }
    for (int i = 0; i < world->job_count; i++)
        tw_review_note("job %s done=%d of %d starts=%d", world->jobs[i]->spec.id,
                       world->jobs[i]->done_count, world->jobs[i]->spec.task_count,
                       world->jobs[i]->started);
}

/* Returns the machine on which a task of the job runs, or NULL. */
static const tw_simulator_worker *machine_running(const char *id) {
    const tw_simulator_world *world = &review.soak.world;
    for (int i = 0; i < world->worker_count; i++) {
        const tw_simulator_worker *worker = world->workers[i];
        for (int k = 0; k < worker->task_count && !worker->removed; k++)
            if (worker->tasks[k].stage == TW_TASK_RUNNING && !strcmp(worker->tasks[k].job_id, id))
                return worker;
    }
    return NULL;
}

/* Notes whether work of the job that must be kept was lost: its machine had to begin a new session,
 * or is gone. A task that ends by itself or by a command is no loss here. */
static void check_kept(void) {
    const tw_simulator_worker *last = review.kept_machine;
    if (last && (last->removed || last->incarnation != review.kept_session)) {
        review.lost = true;
        tw_review_note("the running task of %s is gone with the session of %s, its work is lost",
                       review.kept, last->id);
    }
    review.kept_machine = machine_running(review.kept);
    if (review.kept_machine) review.kept_session = review.kept_machine->incarnation;
}

/* Checks the rules of kit/more/hunt/LATER.md for jobs that wait or get no answers. */
static void check_liveness(void) {
    static double next_at;
    if (review.soak.world.now < next_at) return;
    next_at = review.soak.world.now + 1;
    tw_simulator_judge_liveness(&review.soak.world);
}

/* Returns whether a task of a job starts after its user was told that the job is cancelled, and
 * notes it. */
static bool starts_after_cancellation(const tw_simulator_worker *worker) {
    for (int i = 0; i < worker->task_count && !worker->removed; i++) {
        const tw_simulator_task *task = &worker->tasks[i];
        if (!task->job || task->job->reported_cancel_at <= 0) continue;
        if (task->started_at <= task->job->reported_cancel_at) continue;
        tw_review_note(
            "%s/%d attempt %lu started on %s at %.3f, after its user was told aborted at "
            "%.3f",
            task->job_id, task->index, (unsigned long)task->attempt, worker->id, task->started_at,
            task->job->reported_cancel_at);
        return true;
    }
    return false;
}

static void check_cancelled(void) {
    const tw_simulator_world *world = &review.soak.world;
    for (int i = 0; i < world->worker_count; i++)
        if (starts_after_cancellation(world->workers[i]))
            tw_soak_finish(&review.soak, "FAIL", "a task started after a confirmed cancellation");
}

static void finish_if_over(void) {
    tw_soak *soak = &review.soak;
    const tw_simulator_world *world = &soak->world;
    if (*world->rule) {
        tw_review_note("rule %s: %s", world->rule, world->detail);
        tw_soak_finish(soak, "FAIL", world->detail);
    }
    if (world->now < review.end_s) return;
    if (review.lost) tw_soak_finish(soak, "FAIL", "running work of an accepted job was lost");
    tw_soak_finish(soak, "ok", "no rule was broken");
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events) {
    tw_soak *soak = &review.soak;
    int status;
    (void)loop;
    (void)timer;
    (void)events;
    const double now = tw_soak_now() - soak->started_at;
    if (soak->last_tick_at > 0 && now > soak->last_tick_at + MAX_LATENESS_S)
        tw_soak_finish(soak, "invalid", "the stand-ins were late");
    soak->last_tick_at = soak->world.now = now;
    tw_soak_faults_tick(soak);
    tw_soak_workers_tick(soak);
    tw_review_keep_copies();
    tw_review_vary_run_times();
    tw_soak_stand_ins_tick(soak);
    tw_review_users_tick();
    note_fleet();
    check_kept();
    check_liveness();
    check_cancelled();
    if (tw_loopback_reap_node(&soak->nodes, &status) >= 0)
        tw_soak_finish(soak, "FAIL", "a controller ended by itself");
    finish_if_over();
}

/* ---- start ---- */

static void init_world(void) {
    tw_simulator_world *world = &review.soak.world;
    tw_simulator_world_init(world);
    world->seed = SEED;
    world->heartbeat_s = REPORT_S;
    world->lease_s = LEASE_S;
    world->cancel_s = CANCEL_S;
    world->gang_wait_s = GANG_WAIT_S;
    world->gang_peer_s = GANG_PEER_S;
    world->boot_s = BOOT_S;
    world->state.limits = (tw_simulator_limits){WRITE_RPS, VALUE_KB, TXN_OPS};
    world->state.announced_limits = world->state.limits;
    world->team_count = 2;
    world->teams[0] = (tw_simulator_team){"tappelaget-00", GPUS_MAX, 0};
    world->teams[1] = (tw_simulator_team){"gjestelaget", 0, 0};
    world->node_count = review.soak.plan.nodes = NODES;
    review.soak.plan.zones = 2;
    for (int node = 0; node < NODES; node++) {
        snprintf(world->nodes[node], TW_SIMULATOR_NAME_SIZE, "tray-%d", node);
        strcpy(world->node_zone[node], node == 1 ? "b" : "a");
    }
}

static void init_loop(void) {
    static const tw_net_handler handler = {tw_soak_handle_request, tw_soak_handle_response};
    const tw_net_limits limits = {.max_server = MAX_CONNECTIONS,
                                  .max_client = MAX_CONNECTIONS,
                                  .idle_s = IDLE_S,
                                  .max_response = 4 << 20};
    tw_soak *soak = &review.soak;
    soak->generator = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(soak->generator, SEED);
    soak->loop = ev_loop_new(EVFLAG_AUTO);
    soak->net = tw_net_new(soak->loop, &limits, &handler, soak);
    soak->started_at = tw_soak_now();
}

int main(int argc, char **argv) {
    tw_soak *soak = &review.soak;
    const char *trouble = getenv("TROUBLE");
    ev_timer tick;
    if (argc != 5) {
        printf("usage: review_case PROGRAM CASE_FILE DIRECTORY RECORD\n");
        return EXIT_NOT_RUN;
    }
    prctl(PR_SET_PDEATHSIG, SIGTERM);
    signal(SIGPIPE, SIG_IGN);
    review.with_trouble = !trouble || strcmp(trouble, "0") != 0;
    review.programs[0] = argv[1];
    review.programs[1] = getenv("PRODUCTION");
    soak->directory = soak->nodes.log_directory = argv[3];
    review.record = fopen(argv[4], "w");
    init_world();
    if (!review.record || !tw_review_read_case(argv[2])) return EXIT_NOT_RUN;
    for (int node = 0; node < NODES; node++)
        if (review.old_node[node] && !review.programs[1]) return EXIT_NOT_RUN;
    init_loop();
    if (!tw_soak_listen_stand_ins(soak)) tw_soak_finish(soak, "invalid", "can't listen");
    for (int node = 0; node < NODES; node++)
        if (!tw_soak_start_node(soak, node)) tw_soak_finish(soak, "invalid", "can't start");
    ev_timer_init(&tick, on_tick, tick_s, tick_s);
    ev_timer_start(soak->loop, &tick);
    ev_run(soak->loop, 0);
    return EXIT_NOT_RUN;
}
