/* Soak test. Runs controllers as processes on loopback against the simulated state service, cloud
 * and workers of simulator/, which also checks the outcome. Every message between these parties
 * passes through the harness, which can drop it, delay it or answer it with 503. Internal to
 * tests/soak.
 *
 * Invariant: one tw_soak holds all state of a run, in one thread with one event loop. */
#ifndef TW_SOAK_H
#define TW_SOAK_H
#include "net/net.h"
#include "processes.h"
#include "world.h"
#include <ev.h>
#include <stdbool.h>
#include <stdio.h>

#define TW_SOAK_TEXT_SIZE 64
#define TW_SOAK_PATH_SIZE 300

/* Ids of the parties of a message. Controllers are numbered from 0, workers from TW_SOAK_WORKERS.
 */
enum { TW_SOAK_STATE_SERVICE = 100, TW_SOAK_CLOUD, TW_SOAK_USERS, TW_SOAK_WORKERS = 1000 };

/* ---- plan.c ---- */

/* Event that injects a fault whose time has been reached. Injection right after a launch, an
 * election or a cancellation makes races at that point likely. */
typedef enum {
    TW_SOAK_TRIGGER_TIME,
    TW_SOAK_TRIGGER_LAUNCH,
    TW_SOAK_TRIGGER_LEADER,
    TW_SOAK_TRIGGER_CANCEL
} tw_soak_trigger;

typedef enum {
    TW_SOAK_FAULT_KILL,              /* kills a controller and restarts it later */
    TW_SOAK_FAULT_KILL_ALL,          /* kills all controllers and restarts them later */
    TW_SOAK_FAULT_FREEZE,            /* stops a controller by SIGSTOP, resumes it by SIGCONT */
    TW_SOAK_FAULT_KILL_LEADERS,      /* kills several leaders in succession */
    TW_SOAK_FAULT_CUT_PEERS,         /* cuts the link between two controllers */
    TW_SOAK_FAULT_CUT_STATE,         /* cuts a controller off from the state service */
    TW_SOAK_FAULT_CUT_WORKERS,       /* cuts a controller off from all workers of a zone */
    TW_SOAK_FAULT_ISOLATE_ZONE,      /* cuts all links between a zone and the rest */
    TW_SOAK_FAULT_REFUSE_STATE,      /* the state service answers one controller with 503 */
    TW_SOAK_FAULT_OUTAGE,            /* the state service answers every controller with 503 */
    TW_SOAK_FAULT_LATE_HEARTBEATS,   /* delivers copies of heartbeats again after a delay */
    TW_SOAK_FAULT_HELD_HEARTBEATS,   /* delivers copies of heartbeats after an election */
    TW_SOAK_FAULT_LATE_COMMANDS,     /* delays direct commands and drops their answers */
    TW_SOAK_FAULT_REPEATED_COMMANDS, /* executes direct commands a second time later */
    TW_SOAK_FAULT_LATE_WRITES,       /* delays transactions and drops their answers */
    TW_SOAK_FAULT_LOST_ANSWERS,      /* executes transactions and drops their answers */
    TW_SOAK_FAULT_UNRESPONSIVE,      /* some machines receive no answers and no commands */
    TW_SOAK_FAULT_LOST_HEARTBEATS,   /* drops the heartbeats of some machines */
    TW_SOAK_FAULT_HANG,              /* some machines process nothing until the end of the fault */
    TW_SOAK_FAULT_END_INCARNATIONS,  /* kills all controllers for longer than a lease, so that all
                                        workers' leases expire */
    TW_SOAK_FAULT_FAST_BOOTS,
    TW_SOAK_FAULT_KIND_COUNT
} tw_soak_fault_kind;

typedef struct {
    double at_s, duration_s;
    tw_soak_fault_kind kind;
    tw_soak_trigger trigger;
    int node;      /* the affected controller; -1: the leader at the time of injection */
    int other;     /* the other controller, or a number that gives the zone (modulo the zones) */
    int direction; /* messages that a cut affects: 0 both ways, 1 from the node, 2 to the node */
    int held;      /* cut: delivers messages at its end, else drops them; kill: restarts quickly */
    double share;  /* fraction of the messages affected; each machine is affected with half of it */
    int begun;     /* set when the fault has been injected */
} tw_soak_fault;

#define TW_SOAK_MAX_FAULTS 64

typedef struct {
    int nodes, zones, machines;
    tw_soak_fault faults[TW_SOAK_MAX_FAULTS];
    int fault_count;
} tw_soak_plan;

/* Draws the plan from the seed alone. fault_phase_s bounds the times of most faults. */
void tw_soak_plan_draw(tw_soak_plan *plan, unsigned seed, double fault_phase_s, double lease_s);
void tw_soak_plan_print(const tw_soak_plan *plan, FILE *to);
const char *tw_soak_fault_name(tw_soak_fault_kind kind);

/* ---- links.c ---- */

typedef struct {
    int node;  /* a controller; -1: every party of the zone */
    int other; /* the other party; TW_SOAK_WORKERS: all workers (of the zone, if one is given) */
    int zone;  /* -1: any */
    bool from, to; /* whether the cut affects messages from the node, and messages to it */
    int held;      /* delivers messages when the cut ends, else drops them */
    double until;  /* time in the run at which the cut ends */
} tw_soak_cut;

#define TW_SOAK_MAX_CUTS 32

/* Fraction of the messages of a kind that a fault affects, until a time in the run. */
typedef struct {
    double share, until;
} tw_soak_message_share;

/* ---- state of a run ---- */

/* Copy of a heartbeat that is delivered after the election of a later leader. */
typedef struct {
    int machine;
    int leaders_until_delivery; /* elections left until the copy is delivered */
    char *body;
} tw_soak_held_heartbeat;

typedef struct {
    unsigned seed;
    double fault_phase_s;  /* how long faults are injected and jobs submitted */
    const char *directory; /* holds the files of this run */
    struct ev_loop *loop;
    tw_net *net;
    tw_simulator_world world;
    tw_loopback_nodes nodes;
    tw_soak_plan plan;
    gsl_rng *generator;
    FILE *trace;
    double started_at;
    double max_lateness_s; /* largest delay of a tick of the harness */
    double last_tick_at;
    /* Processor time that the harness used in the tick with the largest delay. A small value means
     * that the machine did not schedule the harness in time. */
    double max_lateness_cpu_s;
    double last_cpu_s; /* processor time of the harness up to the last tick */
    double next_submission_at, next_snapshot_at;
    double restart_at[TW_LOOPBACK_MAX_NODES], resume_at[TW_LOOPBACK_MAX_NODES]; /* 0: none */
    double state_refused_until[TW_LOOPBACK_MAX_NODES]; /* end of 503 answers */
    double outage_until;
    tw_soak_cut cuts[TW_SOAK_MAX_CUTS];
    int cut_count;
    tw_soak_message_share late_heartbeats, held_heartbeat_share, late_commands, repeated_commands,
        late_writes, lost_answers;
    tw_soak_held_heartbeat *held_heartbeats;
    int held_heartbeat_count, held_heartbeat_capacity;
    int leaders_to_kill;
    uint64_t leader_version; /* mod revision of the leader key, as last read */
    int leader_count;
    int listening_machine_count; /* machines whose listeners are open */
    struct tw_soak_call *calls;
    uint64_t last_call_id, last_heartbeat_id;
    struct tw_soak_watch *watches;
    struct tw_soak_user_job *user_jobs;
    char *rental_lists[64]; /* recent lists of rented machines, oldest first */
    int rental_list_count;
    int fault_counts[TW_SOAK_FAULT_KIND_COUNT];
    int finished;
} tw_soak;

/* main.c */
double tw_soak_now(void);
/* Stops the controllers, writes and prints the verdict ("ok", "FAIL" or "invalid") with its reason,
 * and exits the process. */
void tw_soak_finish(tw_soak *run, const char *verdict, const char *why);
/* Calls the function with data after the given seconds. */
void tw_soak_schedule_action(tw_soak *run, double seconds, void (*action)(tw_soak *run, void *data),
                             void *data);
double tw_soak_draw(tw_soak *run, double from, double to);
int tw_soak_draw_index(tw_soak *run, int count);
/* Draws whether the fault affects a message sent now. */
bool tw_soak_is_message_affected(tw_soak *run, const tw_soak_message_share *share);
void tw_soak_trace_message(tw_soak *run, const char *from, int from_number, const char *to,
                           int to_number, const char *what, const char *body);
/* Writes `IP:PORT` of a host of the run's network to text, which holds TW_SOAK_TEXT_SIZE bytes. */
void tw_soak_format_address(const tw_soak *run, char *text, int host, int port);
/* Numbers of the first host in the run's network: of the controllers, and of the simulated services
 * and workers. Controller N reaches the latter at host TW_SOAK_STAND_IN_HOST + N. */
enum { TW_SOAK_NODE_HOST = 1, TW_SOAK_STAND_IN_HOST = 101 };
enum {
    TW_SOAK_API_PORT = 8080,
    TW_SOAK_PEER_PORT,
    TW_SOAK_STATE_PORT,
    TW_SOAK_CLOUD_PORT,
    TW_SOAK_PEERS_PORT = 8200,
    TW_SOAK_MACHINE_PORT = 10000
};
bool tw_soak_start_node(tw_soak *run, int node);
/* Returns the controller that holds the leader key, or -1 if there is none. */
int tw_soak_find_leader(tw_soak *run);
int tw_soak_zone_index(const tw_soak *run, const char *zone);

/* links.c */
/* Returns the seconds until a message between the parties is delivered, or a negative value if it
 * is dropped. */
double tw_soak_message_delay_s(const tw_soak *run, int from, int to);
void tw_soak_add_cut(tw_soak *run, const tw_soak_cut *cut);
void tw_soak_cuts_tick(tw_soak *run);

/* faults.c */
void tw_soak_faults_tick(tw_soak *run);
void tw_soak_handle_trigger(tw_soak *run, tw_soak_trigger trigger);

/* stand_ins.c: handles requests of controllers */
void tw_soak_handle_request(void *context, int port, uint64_t conn, const char *method,
                            const char *path, const char *body, size_t length);
bool tw_soak_listen_stand_ins(tw_soak *run);
void tw_soak_stand_ins_tick(tw_soak *run);

/* calls.c: sends requests to controllers */
typedef void tw_soak_answer_callback(tw_soak *run, void *data, int status, const char *body);
void tw_soak_call_node(tw_soak *run, int node, int port, const char *method, const char *path,
                       const char *body, double timeout_s, tw_soak_answer_callback *answered,
                       void *data);
void tw_soak_handle_response(void *context, uint64_t call, int status, const char *body,
                             size_t length);

/* workers.c */
void tw_soak_workers_tick(tw_soak *run);
void tw_soak_deliver_held_heartbeats(tw_soak *run);

/* users.c */
void tw_soak_users_tick(tw_soak *run);
/* Returns 1 if every job has ended, or is a service that runs completely. Otherwise returns 0 and
 * describes the first other job in `what`. */
int tw_soak_all_jobs_served(tw_soak *run, char *what, size_t size);
void tw_soak_handle_job_end(void *context, tw_simulator_job *job);

#endif
