/* Runs the soak test once: starts the controllers, injects the faults of the plan while simulated
 * users submit, poll and cancel jobs, and checks what users and workers observed. The directory of
 * the run holds the plan, the controllers' logs, the messages and the verdict. */
#include "soak.h"
#include <argp.h>
#include <errno.h>
#include <math.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <time.h>
#include <unistd.h>

#define HEARTBEAT_S 0.5
#define LEASE_S 5.0
#define CANCEL_S 13.0
#define GANG_WAIT_S 10.0
#define GANG_PEER_S 2.0
#define LIST_LAG_S 1.5
#define BOOT_S 2.0
/* Startup time in the cloud's list of machine types. Controllers return a machine that has been
 * idle for half of this time. */
#define STARTUP_S 16.0
#define TICK_S 0.02
#define SOCKETS 900
/* A run is invalid if a tick of the harness is delayed by more than this fraction of a lease: the
 * lease times of the simulated workers are not reliable then. */
#define MAX_LATENESS_LEASES 0.05
/* Within this time after the faults, every job must end, or run if it is a service. */
#define RECOVERY_S 120.0
#define MAX_CONNECTIONS 8000
#define IDLE_S 60
#define DEFAULT_FAULT_PHASE_S 35.0
#define MAX_TRACED_BODY 600
/* Addresses of the run: 127.(FIRST_SEED_OCTET + part of the seed).(part of the process id).host */
#define SEED_OCTETS 100
#define FIRST_SEED_OCTET 20
#define PROCESS_OCTETS 250
#define MACHINE_TYPES 2
#define EXIT_INVALID 3
#define DECIMAL 10

static const char team_text[] = "[[settings.teams]]\nname = \"crew-0\"\ncpus = 8.0\ngpus = "
                                "2.0\ngpus_max = 16.0\ncpus_max = 150.0\n"
                                "[[settings.teams]]\nname = \"crew-1\"\ncpus = 8.0\ngpus = "
                                "2.0\ngpus_max = 24.0\ncpus_max = 250.0\n";

static tw_soak run;
static int machine_count_override; /* 0: as many machines as the plan has */

double tw_soak_now(void) {
    struct timespec time;
    clock_gettime(CLOCK_MONOTONIC, &time);
    return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

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
    snprintf(text, TW_SOAK_TEXT_SIZE, "127.%u.%d.%d:%d",
             FIRST_SEED_OCTET + soak->seed % SEED_OCTETS, 1 + (int)(getpid() % PROCESS_OCTETS),
             host, port);
}

void tw_soak_trace_message(tw_soak *soak, const char *from, int from_number, const char *to,
                           int to_number, const char *what, const char *body) {
    if (soak->trace)
        fprintf(soak->trace, "%.3f %s %d -> %s %d %s %.*s\n", soak->world.now, from, from_number,
                to, to_number, what, MAX_TRACED_BODY, body);
}

/* ---- delayed actions ---- */

typedef struct {
    ev_timer timer;
    tw_soak *soak;
    void (*action)(tw_soak *soak, void *data);
    void *data;
} delayed_action;

static void run_delayed_action(struct ev_loop *loop, ev_timer *timer, int events) {
    delayed_action *delayed = timer->data;
    (void)loop;
    (void)events;
    delayed->soak->world.now = tw_soak_now() - delayed->soak->started_at;
    delayed->action(delayed->soak, delayed->data);
    free(delayed);
}

void tw_soak_schedule_action(tw_soak *soak, double seconds,
                             void (*action)(tw_soak *soak, void *data), void *data) {
    delayed_action *delayed = tw_simulator_allocate(sizeof *delayed);
    delayed->soak = soak;
    delayed->action = action;
    delayed->data = data;
    ev_timer_init(&delayed->timer, run_delayed_action, seconds, 0.);
    delayed->timer.data = delayed;
    ev_timer_start(soak->loop, &delayed->timer);
}

/* ---- controllers ---- */

static void format_node_name(char *name, int node) {
    snprintf(name, TW_SOAK_TEXT_SIZE, "tray-%d", node);
}

bool tw_soak_start_node(tw_soak *soak, int node) {
    tw_loopback_settings settings = {.teams = team_text,
                                     .report_s = HEARTBEAT_S,
                                     .lease_s = LEASE_S,
                                     .cancel_s = CANCEL_S,
                                     .gang_wait_s = GANG_WAIT_S,
                                     .gang_peer_s = GANG_PEER_S,
                                     .list_lag_s = LIST_LAG_S,
                                     .sockets = SOCKETS};
    char path[TW_SOAK_PATH_SIZE];
    format_node_name(settings.name, node);
    snprintf(settings.zone, sizeof settings.zone, "%s", soak->world.node_zone[node]);
    tw_soak_format_address(soak, settings.api_address, TW_SOAK_NODE_HOST + node, TW_SOAK_API_PORT);
    tw_soak_format_address(soak, settings.peer_address, TW_SOAK_NODE_HOST + node,
                           TW_SOAK_PEER_PORT);
    tw_soak_format_address(soak, settings.cloud, TW_SOAK_STAND_IN_HOST + node, TW_SOAK_CLOUD_PORT);
    tw_soak_format_address(soak, settings.state, TW_SOAK_STAND_IN_HOST + node, TW_SOAK_STATE_PORT);
    for (int other = 0; other < soak->plan.nodes; other++) {
        if (other == node) continue;
        tw_loopback_peer *peer = &settings.peers[settings.peer_count++];
        format_node_name(peer->name, other);
        snprintf(peer->zone, sizeof peer->zone, "%s", soak->world.node_zone[other]);
        tw_soak_format_address(soak, peer->endpoint, TW_SOAK_STAND_IN_HOST + node,
                               TW_SOAK_PEERS_PORT + other);
    }
    snprintf(path, sizeof path, "%s/node-%d.toml", soak->directory, node);
    return tw_loopback_write_settings(path, &settings) &&
           tw_loopback_start_node(&soak->nodes, node, path);
}

int tw_soak_find_leader(tw_soak *soak) {
    const char *value = tw_simulator_state_value(&soak->world.state, "leader");
    for (int node = 0; value && node < soak->plan.nodes; node++) {
        char text[TW_SOAK_TEXT_SIZE + 16];
        snprintf(text, sizeof text, "\"node\":\"%s\"", soak->world.nodes[node]);
        if (strstr(value, text)) return node;
    }
    return -1;
}

/* ---- verdict ---- */

/* Returns the number of lines with the text in the controllers' logs, and copies the first of these
 * lines to `first`. */
static int count_log_lines(const tw_soak *soak, const char *text, char *first, size_t size) {
    char path[TW_SOAK_PATH_SIZE], line[4096];
    int count = 0;
    for (int node = 0; node < soak->plan.nodes; node++) {
        snprintf(path, sizeof path, "%s/node-%d.log", soak->directory, node);
        FILE *log = fopen(path, "r");
        while (log && fgets(line, sizeof line, log)) {
            if (!strstr(line, text)) continue;
            if (!count++) snprintf(first, size, "%.*s", (int)strcspn(line, "\n"), line);
        }
        if (log) fclose(log);
    }
    return count;
}

void tw_soak_finish(tw_soak *soak, const char *verdict, const char *why) {
    if (soak->finished) return;
    soak->finished = 1;
    char summary[TW_SOAK_PATH_SIZE + 400], first[400] = "";
    const bool exited_cleanly = tw_loopback_stop_nodes(&soak->nodes);
    if (!strcmp(verdict, "ok") && !exited_cleanly) {
        verdict = "FAIL";
        why = "a controller did not exit cleanly on SIGTERM";
    }
    if (count_log_lines(soak, "event=invariant_broken", first, sizeof first) &&
        strcmp(verdict, "FAIL") != 0) {
        verdict = "FAIL";
        why = first;
    }
    int fault_count_total = 0;
    for (int kind = 0; kind < TW_SOAK_FAULT_KIND_COUNT; kind++)
        fault_count_total += soak->fault_counts[kind];
    snprintf(summary, sizeof summary,
             "%s seed %u: %d nodes, %d machines (%d in all), %d jobs, %d leaders, %d faults, "
             "harness tick "
             "delayed by up to %.3f s (%.3f s of it processor time), %.0f s; %s",
             verdict, soak->seed, soak->plan.nodes, soak->plan.machines, soak->world.worker_count,
             soak->world.job_count, soak->leader_count, fault_count_total, soak->max_lateness_s,
             soak->max_lateness_cpu_s, soak->world.now, why);
    char path[TW_SOAK_PATH_SIZE];
    snprintf(path, sizeof path, "%s/verdict.txt", soak->directory);
    FILE *file = fopen(path, "w");
    if (file) {
        fprintf(file, "%s\n", summary);
        fclose(file);
    }
    printf("%s\n", summary);
    if (soak->trace) fclose(soak->trace);
    exit(!strcmp(verdict, "ok")     ? EXIT_SUCCESS
         : !strcmp(verdict, "FAIL") ? EXIT_FAILURE
                                    : EXIT_INVALID);
}

/* ---- periodic checks ---- */

/* Fails the run if a controller process has exited without being killed by the harness. */
static void check_exited_nodes(tw_soak *soak) {
    int status;
    char why[TW_SOAK_PATH_SIZE];
    const int node = tw_loopback_reap_node(&soak->nodes, &status);
    if (node < 0) return;
    snprintf(why, sizeof why, "controller %d ended by itself with status %d", node, status);
    tw_soak_finish(soak, "FAIL", why);
}

static void check_recovered(tw_soak *soak) {
    char unserved[400] = "";
    const double faults_over_at = fmax(soak->fault_phase_s, soak->world.faults_end_at);
    if (soak->world.now < faults_over_at) return;
    if (tw_soak_all_jobs_served(soak, unserved, sizeof unserved))
        tw_soak_finish(soak, "ok", "every job has ended or is a running service");
    else if (soak->world.now > faults_over_at + RECOVERY_S)
        tw_soak_finish(soak, "FAIL", unserved);
}

static void kill_next_leader(tw_soak *soak) {
    static uint64_t killed_version;
    const uint64_t version = tw_simulator_state_version(&soak->world.state, "leader");
    const int leader = tw_soak_find_leader(soak);
    if (!soak->leaders_to_kill || leader < 0 || version == killed_version ||
        !soak->nodes.pid[leader])
        return;
    killed_version = version;
    soak->leaders_to_kill--;
    tw_loopback_kill_node(&soak->nodes, leader);
    soak->resume_at[leader] = 0;
    soak->restart_at[leader] = soak->world.now + tw_soak_draw(soak, 0.1, 2);
}

/* Records the delay of this tick if it is the largest of the run, and the processor time that the
 * harness used since the tick before. */
static void measure_lateness(tw_soak *soak) {
    struct timespec used;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    const double cpu_s = (double)used.tv_sec + (double)used.tv_nsec / 1e9;
    const double late_s =
        soak->last_tick_at > 0 ? soak->world.now - soak->last_tick_at - TICK_S : 0;
    if (late_s > soak->max_lateness_s) {
        soak->max_lateness_s = late_s;
        soak->max_lateness_cpu_s = cpu_s - soak->last_cpu_s;
    }
    soak->last_tick_at = soak->world.now;
    soak->last_cpu_s = cpu_s;
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events) {
    (void)loop;
    (void)timer;
    (void)events;
    run.world.now = tw_soak_now() - run.started_at;
    measure_lateness(&run);
    tw_soak_faults_tick(&run);
    kill_next_leader(&run);
    tw_soak_workers_tick(&run);
    tw_soak_stand_ins_tick(&run);
    tw_soak_users_tick(&run);
    check_exited_nodes(&run);
    if (run.max_lateness_s > MAX_LATENESS_LEASES * LEASE_S)
        tw_soak_finish(&run, "invalid", "a tick of the harness was delayed too long");
    else if (*run.world.rule)
        tw_soak_finish(&run, "FAIL", run.world.detail);
    check_recovered(&run);
}

/* ---- initialization ---- */

static void init_machine_types(tw_simulator_world *world, int zones, int machines) {
    static const tw_wire_machine_type types[MACHINE_TYPES] = {{.name = "cpu",
                                                               .cores = 16,
                                                               .memory_gb = 64,
                                                               .cache_gb = 50,
                                                               .fetch_gb_s = 1,
                                                               .on_demand_price = 1,
                                                               .spot_price = 0.5,
                                                               .startup_s = STARTUP_S},
                                                              {.name = "g8",
                                                               .cores = 32,
                                                               .gpus = 8,
                                                               .memory_gb = 128,
                                                               .cache_gb = 50,
                                                               .fetch_gb_s = 1,
                                                               .on_demand_price = 8,
                                                               .spot_price = 4,
                                                               .startup_s = STARTUP_S}};
    world->type_count = MACHINE_TYPES;
    for (int type = 0; type < MACHINE_TYPES; type++) {
        world->types[type] = types[type];
        world->types[type].zone_count = zones;
        for (int zone = 0; zone < zones; zone++)
            snprintf(world->types[type].zones[zone], sizeof world->types[type].zones[zone], "%c",
                     'a' + zone);
    }
    world->capacity[0] = machines * 2 / 3;
    world->capacity[1] = machines - world->capacity[0];
}

static void init_world(tw_soak *soak) {
    tw_simulator_world *world = &soak->world;
    tw_simulator_world_init(world);
    world->seed = soak->seed;
    world->heartbeat_s = HEARTBEAT_S;
    world->lease_s = LEASE_S;
    world->cancel_s = CANCEL_S;
    world->gang_wait_s = GANG_WAIT_S;
    world->gang_peer_s = GANG_PEER_S;
    world->boot_s = BOOT_S;
    world->job_ended = tw_soak_handle_job_end;
    world->context = soak;
    world->team_count = 2;
    world->teams[0] = (tw_simulator_team){"crew-0", 16, 150};
    world->teams[1] = (tw_simulator_team){"crew-1", 24, 250};
    world->node_count = soak->plan.nodes;
    for (int node = 0; node < soak->plan.nodes; node++) {
        format_node_name(world->nodes[node], node);
        snprintf(world->node_zone[node], TW_SIMULATOR_NAME_SIZE, "%c",
                 'a' + node % soak->plan.zones);
    }
    init_machine_types(world, soak->plan.zones, soak->plan.machines);
    /* Half of the machines are rented at the start. */
    for (int i = 0; i < soak->plan.machines / 2; i++) {
        char zone[2] = {(char)('a' + i % soak->plan.zones), 0};
        tw_simulator_add_machine(world, i % 3 == 2, zone, 0, 0);
    }
}

static void write_plan(const tw_soak *soak) {
    char path[TW_SOAK_PATH_SIZE];
    snprintf(path, sizeof path, "%s/plan.txt", soak->directory);
    FILE *file = fopen(path, "w");
    if (!file) return;
    tw_soak_plan_print(&soak->plan, file);
    fclose(file);
}

static error_t parse_argument(int key, char *value, struct argp_state *state) {
    switch (key) {
    case 's':
        run.seed = (unsigned)strtoul(value, NULL, DECIMAL);
        return 0;
    case 'p':
        run.nodes.program = value;
        return 0;
    case 'd':
        run.directory = value;
        return 0;
    case 't':
        run.fault_phase_s = strtod(value, NULL);
        return 0;
    case 'm':
        machine_count_override = (int)strtol(value, NULL, DECIMAL);
        return 0;
    case ARGP_KEY_END:
        if (!run.nodes.program || !run.directory || !run.seed)
            argp_error(state, "--program, --directory and --seed (from 1) are required");
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static void parse_arguments(int argc, char **argv) {
    static const struct argp_option options[] = {
        {"seed", 's', "N", 0, "Seed of the plan and of the load, from 1", 0},
        {"program", 'p', "FILE", 0, "Program of the controllers", 0},
        {"directory", 'd', "DIR", 0, "Existing directory for the files of the run", 0},
        {"troubles", 't', "SECONDS", 0, "How long faults are injected", 0},
        {"machines", 'm', "N", 0,
         "Number of machines, in place of the plan's; half of them are rented at the start", 0},
        {0}};
    static const char text[] =
        "Runs the soak test once.\vExit codes: 0 passed, 1 failed, 3 invalid (a tick of "
        "the harness was delayed too long), 64 usage.";
    const struct argp parser = {.options = options, .parser = parse_argument, .doc = text};
    run.fault_phase_s = DEFAULT_FAULT_PHASE_S;
    argp_parse(&parser, argc, argv, 0, NULL, NULL);
}

int main(int argc, char **argv) {
    char path[TW_SOAK_PATH_SIZE];
    parse_arguments(argc, argv);
    prctl(PR_SET_PDEATHSIG, SIGTERM);
    signal(SIGPIPE, SIG_IGN);
    setvbuf(stdout, NULL, _IOLBF, 0);
    run.generator = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(run.generator, run.seed + 1000003UL);
    tw_soak_plan_draw(&run.plan, run.seed, run.fault_phase_s, LEASE_S);
    if (machine_count_override > 0) run.plan.machines = machine_count_override;
    write_plan(&run);
    snprintf(path, sizeof path, "%s/messages.txt", run.directory);
    run.trace = fopen(path, "w");
    run.nodes.log_directory = run.directory;
    run.started_at = tw_soak_now();
    /* libev's default loop reaps child processes, which check_exited_nodes must do. */
    run.loop = ev_loop_new(EVFLAG_AUTO);
    const tw_net_limits limits = {.max_server = MAX_CONNECTIONS,
                                  .max_client = MAX_CONNECTIONS,
                                  .idle_s = IDLE_S,
                                  .max_response = 4 << 20};
    const tw_net_handler handler = {tw_soak_handle_request, tw_soak_handle_response};
    run.net = tw_net_new(run.loop, &limits, &handler, &run);
    init_world(&run);
    if (!tw_soak_listen_stand_ins(&run))
        tw_soak_finish(&run, "invalid",
                       "cannot listen on the addresses of the simulated services and workers");
    for (int node = 0; node < run.plan.nodes; node++)
        if (!tw_soak_start_node(&run, node))
            tw_soak_finish(&run, "FAIL", "cannot start a controller process");
    ev_timer tick;
    ev_timer_init(&tick, on_tick, TICK_S, TICK_S);
    ev_timer_start(run.loop, &tick);
    ev_run(run.loop, 0);
    return EXIT_FAILURE;
}
