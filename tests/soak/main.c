/* One run of the soak: starts the controllers, lets the plan's faults strike while users go on, and
 * judges by what users and workers saw. The run's directory holds the plan, the controllers' logs,
 * the messages and the verdict. */
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
/* As the cloud says: idle machines are kept for half of it. */
#define STARTUP_S 16.0
#define TICK_S 0.02
#define SOCKETS 900
/* The harness itself late by more than this part of a lease: its leases can't be trusted. */
#define LATE_LEASES 0.05
/* After the troubles all that was accepted must be over, or run, within this. */
#define RECOVERY_S 120.0
#define MOST_CONNECTIONS 8000
#define IDLE_S 60
#define DEFAULT_TROUBLES_S 35.0
#define LONGEST_NOTE 600
#define NETWORKS 100 /* the run's addresses: 127.(20 + seed part).(process part).host */
#define FIRST_NETWORK 20
#define OCTETS 250
#define MACHINE_TYPES 2
#define EXIT_INVALID 3
#define DECIMAL 10

static const char team_text[] = "[[settings.teams]]\nname = \"crew-0\"\ncpus = 8.0\ngpus = "
                                "2.0\ngpus_max = 16.0\ncpus_max = 150.0\n"
                                "[[settings.teams]]\nname = \"crew-1\"\ncpus = 8.0\ngpus = "
                                "2.0\ngpus_max = 24.0\ncpus_max = 250.0\n";

static tw_soak run;
static int machines; /* instead of the plan's; 0: the plan's */

double tw_soak_now(void) {
    struct timespec time;
    clock_gettime(CLOCK_MONOTONIC, &time);
    return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

double tw_soak_draw(tw_soak *of, double from, double to) {
    return from + (to - from) * gsl_rng_uniform(of->generator);
}

int tw_soak_draw_index(tw_soak *of, int count) {
    return (int)gsl_rng_uniform_int(of->generator, (unsigned long)count);
}

bool tw_soak_strikes(tw_soak *of, const tw_soak_share *share) {
    return of->world.now < share->until && tw_soak_draw(of, 0, 1) < share->share;
}

void tw_soak_address(const tw_soak *of, char *text, int host, int port) {
    snprintf(text, TW_SOAK_TEXT, "127.%u.%d.%d:%d", FIRST_NETWORK + of->seed % NETWORKS,
             1 + (int)(getpid() % OCTETS), host, port);
}

void tw_soak_note(tw_soak *of, const char *from, int from_number, const char *to, int to_number,
                  const char *what, const char *body) {
    if (of->trace)
        fprintf(of->trace, "%.3f %s %d -> %s %d %s %.*s\n", of->world.now, from, from_number, to,
                to_number, what, LONGEST_NOTE, body);
}

/* ---- delayed actions ---- */

typedef struct {
    ev_timer timer;
    tw_soak *of;
    void (*act)(tw_soak *of, void *data);
    void *data;
} delayed_action;

static void on_delayed(struct ev_loop *loop, ev_timer *timer, int events) {
    delayed_action *due = timer->data;
    (void)loop;
    (void)events;
    due->of->world.now = tw_soak_now() - due->of->started_at;
    due->act(due->of, due->data);
    free(due);
}

void tw_soak_after(tw_soak *of, double seconds, void (*act)(tw_soak *of, void *data), void *data) {
    delayed_action *due = tw_simulator_allocate(sizeof *due);
    due->of = of;
    due->act = act;
    due->data = data;
    ev_timer_init(&due->timer, on_delayed, seconds, 0.);
    due->timer.data = due;
    ev_timer_start(of->loop, &due->timer);
}

/* ---- controllers ---- */

static void name_node(char *name, int node) { snprintf(name, TW_SOAK_TEXT, "tray-%d", node); }

bool tw_soak_start_node(tw_soak *of, int node) {
    tw_loopback_settings settings = {.teams = team_text,
                                     .report_s = HEARTBEAT_S,
                                     .lease_s = LEASE_S,
                                     .cancel_s = CANCEL_S,
                                     .gang_wait_s = GANG_WAIT_S,
                                     .gang_peer_s = GANG_PEER_S,
                                     .list_lag_s = LIST_LAG_S,
                                     .sockets = SOCKETS};
    char path[TW_SOAK_PATH];
    name_node(settings.name, node);
    snprintf(settings.zone, sizeof settings.zone, "%s", of->world.node_zone[node]);
    tw_soak_address(of, settings.api_address, TW_SOAK_NODE_HOST + node, TW_SOAK_API_PORT);
    tw_soak_address(of, settings.peer_address, TW_SOAK_NODE_HOST + node, TW_SOAK_PEER_PORT);
    tw_soak_address(of, settings.cloud, TW_SOAK_STAND_IN_HOST + node, TW_SOAK_CLOUD_PORT);
    tw_soak_address(of, settings.state, TW_SOAK_STAND_IN_HOST + node, TW_SOAK_STATE_PORT);
    for (int other = 0; other < of->plan.nodes; other++) {
        if (other == node) continue;
        tw_loopback_peer *peer = &settings.peers[settings.peer_count++];
        name_node(peer->name, other);
        snprintf(peer->zone, sizeof peer->zone, "%s", of->world.node_zone[other]);
        tw_soak_address(of, peer->endpoint, TW_SOAK_STAND_IN_HOST + node,
                        TW_SOAK_PEERS_PORT + other);
    }
    snprintf(path, sizeof path, "%s/node-%d.toml", of->directory, node);
    return tw_loopback_write(path, &settings) && tw_loopback_start(&of->nodes, node, path);
}

int tw_soak_leader(tw_soak *of) {
    const char *value = tw_simulator_state_value(&of->world.state, "leader");
    for (int node = 0; value && node < of->plan.nodes; node++) {
        char text[TW_SOAK_TEXT + 16];
        snprintf(text, sizeof text, "\"node\":\"%s\"", of->world.nodes[node]);
        if (strstr(value, text)) return node;
    }
    return -1;
}

/* ---- verdict ---- */

/* How many lines of the controllers' logs hold the text; the first of them is kept. */
static int log_lines(const tw_soak *of, const char *text, char *first, size_t size) {
    char path[TW_SOAK_PATH], line[4096];
    int count = 0;
    for (int node = 0; node < of->plan.nodes; node++) {
        snprintf(path, sizeof path, "%s/node-%d.log", of->directory, node);
        FILE *log = fopen(path, "r");
        while (log && fgets(line, sizeof line, log)) {
            if (!strstr(line, text)) continue;
            if (!count++) snprintf(first, size, "%.*s", (int)strcspn(line, "\n"), line);
        }
        if (log) fclose(log);
    }
    return count;
}

void tw_soak_finish(tw_soak *of, const char *verdict, const char *why) {
    if (of->finished) return;
    of->finished = 1;
    char said[TW_SOAK_PATH + 400], first[400] = "";
    const bool ended_well = tw_loopback_stop(&of->nodes);
    if (!strcmp(verdict, "ok") && !ended_well) {
        verdict = "FAIL";
        why = "a controller ended badly";
    }
    if (log_lines(of, "event=invariant_broken", first, sizeof first) &&
        strcmp(verdict, "FAIL") != 0) {
        verdict = "FAIL";
        why = first;
    }
    int struck = 0;
    for (int kind = 0; kind < TW_SOAK_FAULT_KINDS; kind++) struck += of->struck[kind];
    snprintf(said, sizeof said,
             "%s seed %u: %d nodes, %d machines (%d in all), %d jobs, %d leaders, %d faults, "
             "harness late by "
             "%.3f s (%.3f s of processor time in it), %.0f s; %s",
             verdict, of->seed, of->plan.nodes, of->plan.machines, of->world.worker_count,
             of->world.job_count, of->leaders, struck, of->latest_s, of->latest_cpu_s,
             of->world.now, why);
    char path[TW_SOAK_PATH];
    snprintf(path, sizeof path, "%s/verdict.txt", of->directory);
    FILE *file = fopen(path, "w");
    if (file) {
        fprintf(file, "%s\n", said);
        fclose(file);
    }
    printf("%s\n", said);
    if (of->trace) fclose(of->trace);
    exit(!strcmp(verdict, "ok")     ? EXIT_SUCCESS
         : !strcmp(verdict, "FAIL") ? EXIT_FAILURE
                                    : EXIT_INVALID);
}

/* ---- time ---- */

/* A controller that ended by itself, however: each end is a failure. */
static void check_ends(tw_soak *of) {
    int status;
    char why[TW_SOAK_PATH];
    const int node = tw_loopback_ended(&of->nodes, &status);
    if (node < 0) return;
    snprintf(why, sizeof why, "controller %d ended by itself with status %d", node, status);
    tw_soak_finish(of, "FAIL", why);
}

static void check_recovered(tw_soak *of) {
    char waiting[400] = "";
    const double over = fmax(of->troubles_s, of->world.faults_end_at);
    if (of->world.now < over) return;
    if (tw_soak_users_served(of, waiting, sizeof waiting))
        tw_soak_finish(of, "ok", "all served");
    else if (of->world.now > over + RECOVERY_S)
        tw_soak_finish(of, "FAIL", waiting);
}

static void kill_series(tw_soak *of) {
    static uint64_t killed;
    const uint64_t version = tw_simulator_state_version(&of->world.state, "leader");
    const int leader = tw_soak_leader(of);
    if (!of->leaders_to_kill || leader < 0 || version == killed || !of->nodes.pid[leader]) return;
    killed = version;
    of->leaders_to_kill--;
    tw_loopback_kill(&of->nodes, leader);
    of->thaw_at[leader] = 0;
    of->restart_at[leader] = of->world.now + tw_soak_draw(of, 0.1, 2);
}

/* Notes how much later than due this tick is, and what of that the harness itself computed. */
static void note_lateness(tw_soak *of) {
    struct timespec used;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    const double cpu_s = (double)used.tv_sec + (double)used.tv_nsec / 1e9;
    const double late_s = of->last_tick > 0 ? of->world.now - of->last_tick - TICK_S : 0;
    if (late_s > of->latest_s) {
        of->latest_s = late_s;
        of->latest_cpu_s = cpu_s - of->last_cpu_s;
    }
    of->last_tick = of->world.now;
    of->last_cpu_s = cpu_s;
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events) {
    (void)loop;
    (void)timer;
    (void)events;
    run.world.now = tw_soak_now() - run.started_at;
    note_lateness(&run);
    tw_soak_faults_tick(&run);
    kill_series(&run);
    tw_soak_workers_tick(&run);
    tw_soak_stand_ins_tick(&run);
    tw_soak_users_tick(&run);
    check_ends(&run);
    if (run.latest_s > LATE_LEASES * LEASE_S)
        tw_soak_finish(&run, "invalid", "the harness itself was late");
    else if (*run.world.rule)
        tw_soak_finish(&run, "FAIL", run.world.detail);
    check_recovered(&run);
}

/* ---- set-up ---- */

static void init_types(tw_simulator_world *world, int zones, int machines) {
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

static void init_world(tw_soak *of) {
    tw_simulator_world *world = &of->world;
    tw_simulator_world_init(world);
    world->seed = of->seed;
    world->heartbeat_s = HEARTBEAT_S;
    world->lease_s = LEASE_S;
    world->cancel_s = CANCEL_S;
    world->gang_wait_s = GANG_WAIT_S;
    world->gang_peer_s = GANG_PEER_S;
    world->boot_s = BOOT_S;
    world->job_ended = tw_soak_job_ended;
    world->context = of;
    world->team_count = 2;
    world->teams[0] = (tw_simulator_team){"crew-0", 16, 150};
    world->teams[1] = (tw_simulator_team){"crew-1", 24, 250};
    world->node_count = of->plan.nodes;
    for (int node = 0; node < of->plan.nodes; node++) {
        name_node(world->nodes[node], node);
        snprintf(world->node_zone[node], TW_SIMULATOR_NAME_SIZE, "%c", 'a' + node % of->plan.zones);
    }
    init_types(world, of->plan.zones, of->plan.machines);
    /* Half of the machines are there at the start. */
    for (int i = 0; i < of->plan.machines / 2; i++) {
        char zone[2] = {(char)('a' + i % of->plan.zones), 0};
        tw_simulator_add_machine(world, i % 3 == 2, zone, 0, 0);
    }
}

static void write_plan(const tw_soak *of) {
    char path[TW_SOAK_PATH];
    snprintf(path, sizeof path, "%s/plan.txt", of->directory);
    FILE *file = fopen(path, "w");
    if (!file) return;
    tw_soak_plan_print(&of->plan, file);
    fclose(file);
}

static error_t take_argument(int key, char *value, struct argp_state *state) {
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
        run.troubles_s = strtod(value, NULL);
        return 0;
    case 'm':
        machines = (int)strtol(value, NULL, DECIMAL);
        return 0;
    case ARGP_KEY_END:
        if (!run.nodes.program || !run.directory || !run.seed)
            argp_error(state, "--program, --directory and --seed are needed");
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static void parse_arguments(int argc, char **argv) {
    static const struct argp_option options[] = {
        {"seed", 's', "N", 0, "Of the plan and of the load, from 1", 0},
        {"program", 'p', "FILE", 0, "The controllers' program", 0},
        {"directory", 'd', "DIR", 0, "Where the run's files go; it exists", 0},
        {"troubles", 't', "SECONDS", 0, "How long faults strike", 0},
        {"machines", 'm', "N", 0, "Machines instead of the plan's; half of them from the start", 0},
        {0}};
    static const char text[] =
        "One run of the soak.\vExit codes: 0 passed, 1 failed, 3 invalid (the "
        "harness itself was late), 64 usage.";
    const struct argp parser = {.options = options, .parser = take_argument, .doc = text};
    run.troubles_s = DEFAULT_TROUBLES_S;
    argp_parse(&parser, argc, argv, 0, NULL, NULL);
}

int main(int argc, char **argv) {
    char path[TW_SOAK_PATH];
    parse_arguments(argc, argv);
    prctl(PR_SET_PDEATHSIG, SIGTERM);
    signal(SIGPIPE, SIG_IGN);
    setvbuf(stdout, NULL, _IOLBF, 0);
    run.generator = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(run.generator, run.seed + 1000003UL);
    tw_soak_plan_make(&run.plan, run.seed, run.troubles_s, LEASE_S);
    if (machines > 0) run.plan.machines = machines;
    write_plan(&run);
    snprintf(path, sizeof path, "%s/messages.txt", run.directory);
    run.trace = fopen(path, "w");
    run.nodes.log_directory = run.directory;
    run.started_at = tw_soak_now();
    /* Not the default loop, which would take the controllers' ends from check_ends. */
    run.loop = ev_loop_new(EVFLAG_AUTO);
    const tw_net_limits limits = {.max_server = MOST_CONNECTIONS,
                                  .max_client = MOST_CONNECTIONS,
                                  .idle_s = IDLE_S,
                                  .max_response = 4 << 20};
    const tw_net_handler handler = {tw_soak_request, tw_soak_response};
    run.net = tw_net_new(run.loop, &limits, &handler, &run);
    init_world(&run);
    if (!tw_soak_listen(&run)) tw_soak_finish(&run, "invalid", "no free addresses");
    for (int node = 0; node < run.plan.nodes; node++)
        if (!tw_soak_start_node(&run, node))
            tw_soak_finish(&run, "FAIL", "a controller can't be started");
    ev_timer tick;
    ev_timer_init(&tick, on_tick, TICK_S, TICK_S);
    ev_timer_start(run.loop, &tick);
    ev_run(run.loop, 0);
    return EXIT_FAILURE;
}
