/* The soak: controllers as real processes over loopback, against the stand-ins and the judge of
 * simulator/. Every message between controllers, state service, cloud and workers passes links.c,
 * where it can be lost, held or answered with 503. Internal. */
#ifndef TW_SOAK_H
#define TW_SOAK_H
#include "net/net.h"
#include "processes.h"
#include "world.h"
#include <ev.h>
#include <stdbool.h>
#include <stdio.h>

#define SOAK_TEXT 64
#define SOAK_PATH 300

/* The parties of a message: controllers from 0, workers from SOAK_WORKERS. */
enum { SOAK_STATE = 100, SOAK_CLOUD, SOAK_USERS, SOAK_WORKERS = 1000 };

/* ---- plan.c ---- */

/* What a fault waits for once its time has come, so that it strikes where it counts. */
typedef enum { MOMENT_NOW, MOMENT_LAUNCH, MOMENT_LEADER, MOMENT_CANCEL } soak_moment;

typedef enum {
    FAULT_KILL,              /* a controller ends and is started again */
    FAULT_KILL_ALL,          /* all of them */
    FAULT_FREEZE,            /* SIGSTOP, then SIGCONT */
    FAULT_LEADERS,           /* leaders end one after the other */
    FAULT_CUT_PEERS,         /* between two controllers */
    FAULT_CUT_STATE,         /* between a controller and the state service */
    FAULT_CUT_WORKERS,       /* between a controller and all workers of a zone */
    FAULT_ISLAND,            /* a zone is cut off from everything */
    FAULT_REFUSE_STATE,      /* the state service gives 503 to one controller */
    FAULT_OUTAGE,            /* and to all */
    FAULT_LATE_REPORTS,      /* copies of reports come again later */
    FAULT_KEPT_REPORTS,      /* copies of reports come again when a new leader begins */
    FAULT_LATE_COMMANDS,     /* direct commands are carried out late, unanswered */
    FAULT_REPEATED_COMMANDS, /* direct commands are carried out, and once more later */
    FAULT_LATE_WRITES,       /* transactions are carried out late, unanswered */
    FAULT_LOST_ANSWERS,      /* transactions are carried out, unanswered */
    FAULT_DEAF,              /* some machines get no answers and commands */
    FAULT_MUTE,              /* reports of some machines get lost */
    FAULT_HANG,              /* some machines hang */
    FAULT_SESSIONS,          /* all workers' leases end: no controller for over a lease */
    FAULT_FAST_BOOTS,
    FAULT_KINDS
} soak_fault_kind;

typedef struct {
    double at_s, lasts_s;
    soak_fault_kind kind;
    soak_moment moment;
    int node;      /* -1: whoever leads */
    int other;     /* another node, a zone, or a direction: 0 both, 1 to, 2 from */
    int direction; /* of a cut: 0 both, 1 from the node, 2 to the node */
    int held;      /* a cut delivers at its end */
    double share;  /* of messages or machines */
    int begun;
} soak_fault;

#define SOAK_MOST_FAULTS 64

typedef struct {
    int nodes, zones, machines;
    soak_fault faults[SOAK_MOST_FAULTS];
    int fault_count;
} soak_plan;

/* The plan of a seed. */
void soak_plan_make(soak_plan *plan, unsigned seed, double troubles_s, double lease_s);
void soak_plan_print(const soak_plan *plan, FILE *to);
const char *soak_fault_name(soak_fault_kind kind);

/* ---- links.c ---- */

typedef struct {
    int node;      /* a controller; -1: every party of the zone */
    int other;     /* the other party; SOAK_WORKERS: all workers (of the zone, if one is given) */
    int zone;      /* -1: any */
    bool from, to; /* whether messages from the node, and to it, are struck */
    int held;
    double until;
} soak_cut;

#define SOAK_MOST_CUTS 32

/* A share of messages is struck until some time. */
typedef struct {
    double share, until;
} soak_share;

/* ---- the run ---- */

/* A copy of a report, kept for the next leader or a later one. */
typedef struct {
    int machine;
    int leaders; /* that begin until it arrives */
    char *body;
} soak_kept;

typedef struct {
    unsigned seed;
    double troubles_s;     /* how long faults and load last */
    const char *directory; /* of this run */
    struct ev_loop *loop;
    tw_net *net;
    tw_simulator_world world;
    tw_loopback_nodes nodes;
    soak_plan plan;
    gsl_rng *rng;
    FILE *trace;
    double started_at;
    double latest_s, last_tick; /* how late the harness itself was at most */
    double next_submission, next_snapshot;
    double restart_at[TW_LOOPBACK_NODES], thaw_at[TW_LOOPBACK_NODES]; /* 0: not planned */
    double refused_until[TW_LOOPBACK_NODES];                          /* by the state service */
    double outage_until;
    soak_cut cuts[SOAK_MOST_CUTS];
    int cut_count;
    soak_share late_reports, kept_reports, late_commands, repeated_commands, late_writes,
        lost_answers;
    soak_kept *kept;
    int kept_count, kept_cap;
    int leaders_to_kill;
    uint64_t leader_version; /* of the leader's key, when last looked at */
    int leaders;
    int listening; /* machines that have their listeners */
    struct soak_call *calls;
    uint64_t last_call, last_flight;
    struct soak_watch *watches;
    struct soak_user_job *user_jobs;
    char *lists[64]; /* the cloud's lists of the last seconds, the newest at list_count - 1 */
    int list_count;
    int struck[FAULT_KINDS];
    int finished;
} soak;

/* main.c */
double soak_now(void);
/* Ends the run. verdict: "ok", "FAIL" or "invalid". */
void soak_finish(soak *run, const char *verdict, const char *why);
/* Does something after a while; data is passed on. */
void soak_after(soak *run, double seconds, void (*act)(soak *run, void *data), void *data);
double soak_draw(soak *run, double from, double to);
int soak_draw_index(soak *run, int count);
bool soak_strikes(soak *run, const soak_share *share);
void soak_note(soak *run, const char *from, int from_number, const char *to, int to_number,
               const char *what, const char *body);
void soak_address(const soak *run, char *text, int host, int port);
/* Hosts of the run's network: of a controller, and of the stand-ins as that controller sees them.
 */
enum { SOAK_NODE_HOST = 1, SOAK_STAND_IN_HOST = 101 };
enum {
    SOAK_API_PORT = 8080,
    SOAK_PEER_PORT,
    SOAK_STATE_PORT,
    SOAK_CLOUD_PORT,
    SOAK_PEERS_PORT = 8200,
    SOAK_MACHINE_PORT = 10000
};
bool soak_start_node(soak *run, int node);
/* The controller that holds the leader's key; -1: none. */
int soak_leader(soak *run);
int soak_zone_of(const soak *run, const char *zone);

/* links.c: seconds until a message arrives; below 0: never. */
double soak_travel(const soak *run, int from, int to);
void soak_cut_add(soak *run, const soak_cut *cut);
void soak_cuts_tick(soak *run);

/* faults.c */
void soak_faults_tick(soak *run);
void soak_moment_came(soak *run, soak_moment moment);

/* stand_ins.c: what controllers ask */
void soak_request(void *context, int port, uint64_t conn, const char *method, const char *path,
                  const char *body, size_t length);
bool soak_listen(soak *run);
void soak_stand_ins_tick(soak *run);

/* calls.c: what the harness asks of controllers */
typedef void soak_answered(soak *run, void *data, int status, const char *body);
void soak_call_node(soak *run, int node, int port, const char *method, const char *path,
                    const char *body, double timeout_s, soak_answered *answered, void *data);
void soak_response(void *context, uint64_t call, int status, const char *body, size_t length);

/* workers.c */
void soak_workers_tick(soak *run);
void soak_new_leader(soak *run);

/* users.c */
void soak_users_tick(soak *run);
/* Whether all that was accepted is over or runs; says what isn't. */
int soak_users_served(soak *run, char *what, size_t size);
void soak_job_ended(void *context, tw_simulator_job *job);

#endif
