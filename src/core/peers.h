/* The nodes of the cluster and what the whole core may ask of the modules that know who leads, who
 * may answer workers, and until when; what these share among themselves stands in cluster.h and
 * relay.h. Invariants: a leader's authority ends before its lease can, and at once when it learns
 * of a higher token; what a peer is entitled to is noted as ending no earlier than the peer itself
 * takes it to end. Not for other packages. */
#ifndef TW_CORE_PEERS_H
#define TW_CORE_PEERS_H
#include "conf/conf.h"
#include "core/call.h"
#include "core/job.h"
#include "wire/wire.h"
#include <uthash.h>

#define TW_LEADER_KEY "leader"
/* Key of a deputy: this and the node's name; and room for one. */
#define TW_DEPUTY_KEY "dep/"
#define TW_DEPUTY_KEY_SIZE (TW_NAME_SIZE + sizeof TW_DEPUTY_KEY)

/* Roles of a node; phases of a leader's term. */
typedef enum { R_FOLLOWER, R_LEADER } node_role;
/* A leader reads the records before it decides anything. */
typedef enum { PH_LOADING, PH_ACTIVE } leader_phase;

/* Another node. */
typedef struct peer {
    tw_conf_peer config;
    int failover_in_time;   /* see tw_core */
    uint64_t highest_token; /* what it said it had seen */
    double answered_at;     /* when a ping was last answered (send time) */
    double back_at;         /* when it answered again after a silence */
    double vouched_at;      /* the same, and it can't have led since the time before */
    double next_heartbeat_at;
    int heartbeats_in_flight, store_reachable;
    int record_format;          /* TW_RECORD_* by its last heartbeat; 0: none was heard */
    uint64_t delegate_revision; /* of its key as a deputy, 0: none */
    double delegate_until;      /* it may answer workers until then, by its key */
    uint64_t cancellations_known,
        cancellations_told;      /* it knows of the cancellations up to, was told of */
    double delegation_until;     /* and by our answer to its ping, as long as it can't reach us */
    double delegate_answered_at; /* when it last did, as it said in answer to a ping sent at
                                    dep_asof */
    double delegate_answered_as_of;
    double avoid_counted_from, avoided_until; /* workers sent to it come back, see redirect.c */
    int returned_workers;
} peer;

/* A worker, the node that we told it to report to, and when. */
typedef struct redirect {
    char name[TW_NAME_SIZE];
    const peer *target;
    double at;
    int came_back; /* and it came back */
    UT_hash_handle hh;
} redirect;

/* A worker's report that waits for a leader, see relay.c. */
typedef struct held_report {
    uint64_t connection;
    char worker[TW_NAME_SIZE];
    char *body;
    double until;
    struct held_report *prev, *next;
} held_report;

/* election.c */
void tw_election_init(tw_core *core); /* needs the settings and the time */
void tw_election_tick(tw_core *core);
/* The state service answered a call of the election. */
void tw_election_response(tw_core *core, call *sent, int status, const char *body, size_t length);
/* Any sign of a leader: from the state service, a peer or a worker. */
void tw_saw_token(tw_core *core, uint64_t token, const char *leader);
/* A leader's term ends; why: for the log. */
void tw_step_down(tw_core *core, const char *why);
/* How long a leader leaves the state service's limit to others after an answer with this status. */
double tw_refused_wait_s(tw_core *core, int status);

/* What a leader may do now; every path asks tw_may. */
typedef enum {
    RIGHT_COMMAND, /* launch, stop and forget tasks */
    RIGHT_WRITE,   /* decide, and write records */
    RIGHT_TELL,    /* answer users from memory */
    RIGHT_RENEW    /* answer workers, which renews their leases, and stop tasks in the answer */
} node_right;

/* authority.c */
int tw_may(const tw_core *core, node_right right);
int tw_authority(const tw_core *core); /* may command, write and tell */
int tw_holding(const tw_core *core);   /* may renew workers' leases, no more */
/* Logs when authority, and the right to renew leases, begin and end. */
void tw_rights_log(tw_core *core);
/* Until when some earlier leader may have answered a worker that has not seen our token. */
double tw_predecessor_end(const tw_core *core);
/* How long a node may answer workers that can't exclude that another one leads. */
double tw_blind_s(const tw_core *core);
/* How long a node may answer workers by its last authority or grant, without hearing more. */
double tw_alone_s(const tw_core *core);

/* heartbeat.c */
/* Whether all that may answer the job's machines without us know that it is cancelled. 0 asks
 * them, if ask is set; -1: some can't be asked now. */
int tw_abort_safe(tw_core *core, const job *job, int rental_request);
/* Another node's heartbeat. */
void tw_ping_request(tw_core *core, uint64_t conn, const char *body, size_t length);
/* The node of that name; NULL: none. */
peer *tw_peer_of(tw_core *core, const char *name);
/* Whether neither the state service nor any node answers. */
int tw_isolated(const tw_core *core);
/* Whether every other node has said that it reads divided records; and whether one says that it
 * doesn't. */
int tw_all_read_divided(const tw_core *core);
int tw_heard_old_peer(const tw_core *core);

/* failover.c */
/* Works out failover_in_time of this node and its peers, from their names and zones alone. */
void tw_failover_init(tw_core *core);

/* redirect.c: which node a worker is told to report to */
/* A live node of that zone, for workers to report to, rather one whose end they survive; NULL: none
 * known. */
peer *tw_home_of(tw_core *core, const char *zone);
/* Whether some node of that zone answers us. */
int tw_zone_reached(const tw_core *core, const char *zone);
/* A worker of another zone: redirected to a node of its own; 0: none, or none that answers it. */
int tw_redirect_home(tw_core *core, uint64_t conn, const tw_wire_heartbeat *report);
/* A worker of this node's zone, at a node whose end would cost it its lease if the zone is cut off:
 * redirected to another one of the zone where that is not so; 0: there is none, or it is answered
 * here. */
int tw_redirect_safer(tw_core *core, uint64_t conn, const tw_wire_heartbeat *report);
void tw_redirect_end(tw_core *core);

/* deputy.c: renews leases for a leader that can't be reached */
/* How long a deputy's entitlement lasts from the sending of its write. */
double tw_deputy_s(const tw_core *core);
/* Cancelled jobs, as the leader says: their tasks are stopped by whoever answers their machines. */
void tw_aborted_note(tw_core *core, uint64_t token, const char *body, size_t length);
/* The leader's answer to a heartbeat: should we lose it, we may answer our zone's workers for a
 * while. With it come the cancelled jobs that may still run. */
void tw_deputy_granted(tw_core *core, double sent, uint64_t token, const char *body, size_t length);
/* The state service answered the write of this node's key. */
void tw_deputy_response(tw_core *core, call *sent, int status);
/* The state service answered with a page of jobs. */
void tw_deputy_jobs(tw_core *core, int status, const char *body, size_t length);
void tw_deputy_tick(tw_core *core);
void tw_deputy_end(tw_core *core);

/* relay.c: reports handed to the leader and its answers back, held reports */
/* A report at a node that does not lead. */
void tw_relay_hello(tw_core *core, uint64_t conn, const tw_wire_heartbeat *report, const char *body,
                    size_t length);
/* The leader answered a report that was handed to it. */
void tw_relay_response(tw_core *core, call *sent, int status, const char *body, size_t length);
void tw_relay_tick(tw_core *core);
void tw_relay_end(tw_core *core);

/* deputies_seen.c: deputies, at the leader */
/* Until when some deputy of the zone (empty: of any) may have answered workers. */
double tw_deputies_until(const tw_core *core, const char *zone);
/* Conditions that the deputies' keys are as they are known; returns how many. */
int tw_deputy_conds(const tw_core *core, tw_wire_compare *conds, char (*keys)[TW_DEPUTY_KEY_SIZE]);
/* Reads the deputies' keys, unless that is under way. */
void tw_deputies_read(tw_core *core);
/* The state service answered with the keys. */
void tw_deputies_page(tw_core *core, call *sent, int status, const char *body, size_t length);
void tw_deputies_tick(tw_core *core);

#endif
