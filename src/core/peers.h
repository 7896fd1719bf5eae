/* The nodes of the cluster and what the whole core may ask of the modules that know who leads, who
 * may answer workers, and until when; what these share among themselves stands in cluster.h and
 * heartbeat_forwarder.h. Invariants: a leader's authority ends before its lease can, and at once
 * when it learns of a higher token; what a peer is entitled to is noted as ending no earlier than
 * the peer itself takes it to end. Not for other packages. */
#ifndef TW_CORE_PEERS_H
#define TW_CORE_PEERS_H
#include "config/config.h"
#include "context/context.h"
#include "core/job.h"
#include "wire/wire.h"
#include <stdbool.h>
#include <uthash.h>

#define TW_LEADER_KEY "leader"
/* Key of a deputy: this and the node's name; and room for one. */
#define TW_DELEGATE_KEY "dep/"
#define TW_DELEGATE_KEY_SIZE (TW_NAME_SIZE + sizeof TW_DELEGATE_KEY)

/* Roles of a node; phases of a leader's term. */
typedef enum { TW_ROLE_FOLLOWER, TW_ROLE_LEADER } tw_role;
/* A leader reads the records before it decides anything. */
typedef enum { TW_PHASE_LOADING, TW_PHASE_ACTIVE } tw_leader_phase;

/* Another node. */
typedef struct tw_peer {
    tw_config_peer config;
    int failover_in_time;   /* see tw_core */
    uint64_t highest_token; /* what it said it had seen */
    double answered_at;     /* when a ping was last answered (send time) */
    double back_at;         /* when it answered again after a silence */
    double vouched_at;      /* the same, and it can't have led since the time before */
    double next_heartbeat_at;
    int heartbeats_in_flight;
    bool store_reachable;
    int record_format;          /* TW_RECORD_* by its last heartbeat; 0: none was heard */
    uint64_t delegate_revision; /* of its key as a deputy, 0: none */
    double delegate_until;      /* it may answer workers until then, by its key */
    uint64_t cancellations_known,
        cancellations_told;      /* it knows of the cancellations up to, was told of */
    double delegation_until;     /* and by our answer to its ping, as long as it can't reach us */
    double delegate_answered_at; /* when it last did, as it said in answer to a ping sent at
                                    dep_asof */
    double delegate_answered_as_of;
    double avoid_counted_from,
        avoided_until; /* workers sent to it come back, see worker_routing.c */
    int returned_workers;
} tw_peer;

/* A worker, the node that we told it to report to, and when. */
typedef struct tw_worker_redirect {
    char name[TW_NAME_SIZE];
    const tw_peer *target;
    double at;
    bool came_back; /* and it came back */
    UT_hash_handle hh;
} tw_worker_redirect;

/* A worker's report that waits for a leader, see heartbeat_forwarder.c. */
typedef struct tw_held_heartbeat {
    uint64_t connection;
    char worker[TW_NAME_SIZE];
    char *body;
    double until;
    struct tw_held_heartbeat *prev, *next;
} tw_held_heartbeat;

/* election.c */
void tw_election_init(tw_core *core); /* needs the settings and the time */
void tw_election_tick(tw_core *core);
/* The state service answered a call of the election. */
void tw_election_response(tw_core *core, tw_call *sent, int status, const char *body,
                          size_t length);
/* Any sign of a leader: from the state service, a peer or a worker. */
void tw_leader_observe_token(tw_core *core, uint64_t token, const char *leader);
/* A leader's term ends; why: for the log. */
void tw_leader_step_down(tw_core *core, const char *why);
/* How long a leader leaves the state service's limit to others after an answer with this status. */
double tw_rate_limited_wait_s(tw_core *core, int status);

/* What a leader may do now; every path asks tw_leader_may. */
typedef enum {
    TW_PERMISSION_COMMAND, /* launch, stop and forget tasks */
    TW_PERMISSION_WRITE,   /* decide, and write records */
    TW_PERMISSION_ANSWER,  /* answer users from memory */
    TW_PERMISSION_RENEW /* answer workers, which renews their leases, and stop tasks in the answer
                         */
} tw_permission;

/* authority.c */
bool tw_leader_may(const tw_core *core, tw_permission right);
bool tw_leader_has_authority(const tw_core *core); /* may command, write and tell */
bool tw_leader_renews_without_authority(
    const tw_core *core); /* may renew workers' leases, no more */
/* Logs when authority, and the right to renew leases, begin and end. */
void tw_permissions_log(tw_core *core);
/* Until when some earlier leader may have answered a worker that has not seen our token. */
double tw_predecessor_renewals_end(const tw_core *core);
/* How long a node may answer workers that can't exclude that another one leads. */
double tw_renewal_if_superseded_s(const tw_core *core);
/* How long a node may answer workers by its last authority or grant, without hearing more. */
double tw_renewal_without_contact_s(const tw_core *core);

/* peer_heartbeat.c */
/* Whether all that may answer the job's machines without us know that it is cancelled. 0 asks
 * them, if ask is set; -1: some can't be asked now. */
int tw_cancellation_safety(tw_core *core, const tw_job *job, int rental_request);
/* Another node's heartbeat. */
void tw_peer_heartbeat_receive(tw_core *core, uint64_t connection, const char *body, size_t length);
/* The node of that name; NULL: none. */
tw_peer *tw_peer_find(tw_core *core, const char *name);
/* Whether neither the state service nor any node answers. */
bool tw_node_is_isolated(const tw_core *core);
/* Whether every other node has said that it reads divided records; and whether one says that it
 * doesn't. */
bool tw_peers_all_read_chunks(const tw_core *core);
bool tw_peers_any_lacks_chunks(const tw_core *core);

/* worker_failover_paths.c */
/* Works out failover_in_time of this node and its peers, from their names and zones alone. */
void tw_worker_failover_init(tw_core *core);

/* worker_routing.c: which node a worker is told to report to */
/* A live node of that zone, for workers to report to, rather one whose end they survive; NULL: none
 * known. */
tw_peer *tw_worker_home_find(tw_core *core, const char *zone);
/* Whether some node of that zone answers us. */
bool tw_zone_has_live_peer(const tw_core *core, const char *zone);
/* A worker of another zone: redirected to a node of its own; 0: none, or none that answers it. */
bool tw_worker_redirect_home(tw_core *core, uint64_t connection,
                             const tw_wire_heartbeat *heartbeat);
/* A worker of this node's zone, at a node whose end would cost it its lease if the zone is cut off:
 * redirected to another one of the zone where that is not so; 0: there is none, or it is answered
 * here. */
bool tw_worker_redirect_safer(tw_core *core, uint64_t connection,
                              const tw_wire_heartbeat *heartbeat);
void tw_worker_redirects_free(tw_core *core);

/* lease_delegate.c: renews leases for a leader that can't be reached */
/* How long a deputy's entitlement lasts from the sending of its write. */
double tw_delegate_lease_s(const tw_core *core);
/* Cancelled jobs, as the leader says: their tasks are stopped by whoever answers their machines. */
void tw_delegate_note_cancelled(tw_core *core, uint64_t token, const char *body, size_t length);
/* The leader's answer to a heartbeat: should we lose it, we may answer our zone's workers for a
 * while. With it come the cancelled jobs that may still run. */
void tw_delegate_granted(tw_core *core, double sent, uint64_t token, const char *body,
                         size_t length);
/* The state service answered the write of this node's key. */
void tw_delegate_key_response(tw_core *core, tw_call *sent, int status);
/* The state service answered with a page of jobs. */
void tw_delegate_cancelled_page(tw_core *core, int status, const char *body, size_t length);
void tw_delegate_tick(tw_core *core);
void tw_delegate_free(tw_core *core);

/* heartbeat_forwarder.c: reports handed to the leader and its answers back, held reports */
/* A report at a node that does not lead. */
void tw_heartbeat_forward(tw_core *core, uint64_t connection, const tw_wire_heartbeat *heartbeat,
                          const char *body, size_t length);
/* The leader answered a report that was handed to it. */
void tw_heartbeat_forward_response(tw_core *core, tw_call *sent, int status, const char *body,
                                   size_t length);
void tw_held_heartbeats_tick(tw_core *core);
void tw_held_heartbeats_free(tw_core *core);

/* delegate_registry.c: deputies, at the leader */
/* Until when some deputy of the zone (empty: of any) may have answered workers. */
double tw_delegates_until(const tw_core *core, const char *zone);
/* Conditions that the deputies' keys are as they are known; returns how many. */
int tw_delegates_compares(const tw_core *core, tw_wire_compare *compares,
                          char (*keys)[TW_DELEGATE_KEY_SIZE]);
/* Reads the deputies' keys, unless that is under way. */
void tw_delegates_read(tw_core *core);
/* The state service answered with the keys. */
void tw_delegates_page(tw_core *core, tw_call *sent, int status, const char *body, size_t length);
void tw_delegates_tick(tw_core *core);

#endif
