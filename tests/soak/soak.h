/* The soak: controllers as real processes over loopback, against the stand-ins and the judge of
 * simulator/. Every message between controllers, state service, cloud and workers passes links.c,
 * where it can be lost, held or answered with 503. Internal to tests/soak.
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

/* The parties of a message: controllers from 0, workers from TW_SOAK_WORKERS. */
enum { TW_SOAK_STATE_SERVICE = 100, TW_SOAK_CLOUD, TW_SOAK_USERS, TW_SOAK_WORKERS = 1000 };

/* ---- plan.c ---- */

/* What a fault waits for once its time has come, so that it strikes where it counts. */
typedef enum {
    TW_SOAK_TRIGGER_TIME,
    TW_SOAK_TRIGGER_LAUNCH,
    TW_SOAK_TRIGGER_LEADER,
    TW_SOAK_TRIGGER_CANCEL
} tw_soak_trigger;

typedef enum {
    TW_SOAK_FAULT_KILL,            /* a controller ends and is started again */
    TW_SOAK_FAULT_KILL_ALL,        /* all of them */
    TW_SOAK_FAULT_FREEZE,          /* SIGSTOP, then SIGCONT */
    TW_SOAK_FAULT_KILL_LEADERS,    /* leaders end one after the other */
    TW_SOAK_FAULT_CUT_PEERS,       /* between two controllers */
    TW_SOAK_FAULT_CUT_STATE,       /* between a controller and the state service */
    TW_SOAK_FAULT_CUT_WORKERS,     /* between a controller and all workers of a zone */
    TW_SOAK_FAULT_ISOLATE_ZONE,    /* a zone is cut off from everything */
    TW_SOAK_FAULT_REFUSE_STATE,    /* the state service gives 503 to one controller */
    TW_SOAK_FAULT_OUTAGE,          /* and to all */
    TW_SOAK_FAULT_LATE_HEARTBEATS, /* copies of heartbeats arrive again later */
    TW_SOAK_FAULT_HELD_HEARTBEATS, /* copies of heartbeats arrive again when a new leader begins */
    TW_SOAK_FAULT_LATE_COMMANDS,   /* direct commands are carried out late, unanswered */
    TW_SOAK_FAULT_REPEATED_COMMANDS, /* direct commands are carried out, and once more later */
    TW_SOAK_FAULT_LATE_WRITES,       /* transactions are carried out late, unanswered */
    TW_SOAK_FAULT_LOST_ANSWERS,      /* transactions are carried out, unanswered */
    TW_SOAK_FAULT_UNRESPONSIVE,      /* some machines get no answers and commands */
    TW_SOAK_FAULT_LOST_HEARTBEATS,   /* heartbeats of some machines get lost */
    TW_SOAK_FAULT_HANG,              /* some machines hang */
    TW_SOAK_FAULT_END_INCARNATIONS,  /* all workers' leases end: no controller for over a lease */
    TW_SOAK_FAULT_FAST_BOOTS,
    TW_SOAK_FAULT_KIND_COUNT
} tw_soak_fault_kind;

typedef struct {
    double at_s, duration_s;
    tw_soak_fault_kind kind;
    tw_soak_trigger trigger;
    int node;      /* -1: whoever leads */
    int other;     /* another node, a zone, or a direction: 0 both, 1 to, 2 from */
    int direction; /* of a cut: 0 both, 1 from the node, 2 to the node */
    int held;      /* a cut delivers at its end */
    double share;  /* of messages or machines */
    int begun;
} tw_soak_fault;

#define TW_SOAK_MAX_FAULTS 64

typedef struct {
    int nodes, zones, machines;
    tw_soak_fault faults[TW_SOAK_MAX_FAULTS];
    int fault_count;
} tw_soak_plan;

/* The plan of a seed. */
void tw_soak_plan_draw(tw_soak_plan *plan, unsigned seed, double fault_phase_s, double lease_s);
void tw_soak_plan_print(const tw_soak_plan *plan, FILE *to);
const char *tw_soak_fault_name(tw_soak_fault_kind kind);

/* ---- links.c ---- */

typedef struct {
    int node;  /* a controller; -1: every party of the zone */
    int other; /* the other party; TW_SOAK_WORKERS: all workers (of the zone, if one is given) */
    int zone;  /* -1: any */
    bool from, to; /* whether messages from the node, and to it, are struck */
    int held;
    double until;
} tw_soak_cut;

#define TW_SOAK_MAX_CUTS 32

/* A share of messages is struck until some time. */
typedef struct {
    double share, until;
} tw_soak_message_share;

/* ---- the run ---- */

/* A copy of a heartbeat, held for the next leader or a later one. */
typedef struct {
    int machine;
    int leaders_until_delivery; /* that begin until it arrives */
    char *body;
} tw_soak_held_heartbeat;

typedef struct {
    unsigned seed;
    double fault_phase_s;  /* how long faults and load last */
    const char *directory; /* of this run */
    struct ev_loop *loop;
    tw_net *net;
    tw_simulator_world world;
    tw_loopback_nodes nodes;
    tw_soak_plan plan;
    gsl_rng *generator;
    FILE *trace;
    double started_at;
    double max_lateness_s, last_tick_at; /* how late the harness itself was at most */
    /* Of that tick the processor time of the harness: with little of it the machine was at fault,
     * which let the harness wait. And the processor time up to the last tick. */
    double max_lateness_cpu_s, last_cpu_s;
    double next_submission_at, next_snapshot_at;
    double restart_at[TW_LOOPBACK_MAX_NODES], resume_at[TW_LOOPBACK_MAX_NODES]; /* 0: not planned */
    double state_refused_until[TW_LOOPBACK_MAX_NODES]; /* by the state service */
    double outage_until;
    tw_soak_cut cuts[TW_SOAK_MAX_CUTS];
    int cut_count;
    tw_soak_message_share late_heartbeats, held_heartbeat_share, late_commands, repeated_commands,
        late_writes, lost_answers;
    tw_soak_held_heartbeat *held_heartbeats;
    int held_heartbeat_count, held_heartbeat_capacity;
    int leaders_to_kill;
    uint64_t leader_version; /* of the leader's key, when last looked at */
    int leader_count;
    int listening_machine_count; /* machines that have their listeners */
    struct tw_soak_call *calls;
    uint64_t last_call_id, last_heartbeat_id;
    struct tw_soak_watch *watches;
    struct tw_soak_user_job *user_jobs;
    char *rental_lists[64]; /* the cloud's lists of the last seconds, the newest at
                               rental_list_count - 1 */
    int rental_list_count;
    int fault_counts[TW_SOAK_FAULT_KIND_COUNT];
    int finished;
} tw_soak;

/* main.c */
double tw_soak_now(void);
/* Ends the run. verdict: "ok", "FAIL" or "invalid". */
void tw_soak_finish(tw_soak *run, const char *verdict, const char *why);
/* Does something after a while; data is passed on. */
void tw_soak_schedule_action(tw_soak *run, double seconds, void (*action)(tw_soak *run, void *data),
                             void *data);
double tw_soak_draw(tw_soak *run, double from, double to);
int tw_soak_draw_index(tw_soak *run, int count);
bool tw_soak_is_message_affected(tw_soak *run, const tw_soak_message_share *share);
void tw_soak_trace_message(tw_soak *run, const char *from, int from_number, const char *to,
                           int to_number, const char *what, const char *body);
void tw_soak_format_address(const tw_soak *run, char *text, int host, int port);
/* Hosts of the run's network: of a controller, and of the stand-ins as that controller sees them.
 */
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
/* The controller that holds the leader's key; -1: none. */
int tw_soak_find_leader(tw_soak *run);
int tw_soak_zone_index(const tw_soak *run, const char *zone);

/* links.c: seconds until a message arrives; below 0: never. */
double tw_soak_message_delay_s(const tw_soak *run, int from, int to);
void tw_soak_add_cut(tw_soak *run, const tw_soak_cut *cut);
void tw_soak_cuts_tick(tw_soak *run);

/* faults.c */
void tw_soak_faults_tick(tw_soak *run);
void tw_soak_handle_trigger(tw_soak *run, tw_soak_trigger trigger);

/* stand_ins.c: what controllers ask */
void tw_soak_handle_request(void *context, int port, uint64_t conn, const char *method,
                            const char *path, const char *body, size_t length);
bool tw_soak_listen_stand_ins(tw_soak *run);
void tw_soak_stand_ins_tick(tw_soak *run);

/* calls.c: what the harness asks of controllers */
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
/* Whether all that was accepted is over or runs; says what isn't. */
int tw_soak_all_jobs_served(tw_soak *run, char *what, size_t size);
void tw_soak_handle_job_end(void *context, tw_simulator_job *job);

#endif
