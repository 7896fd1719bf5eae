/* What the modules of the cluster share. Not for other packages.
 *
 * election.c               the leader's key, elections, terms
 * leader_lease.c           the leader's lease, and the authority that follows from it
 * authority.c              what this node may do, and until when others may answer workers
 * peer_heartbeat.c         heartbeats between nodes, and what the peers know
 * peer_versions.c          peers of an earlier version, during a rolling upgrade
 * lease_delegate.c         this node as a delegate of a leader that can't be reached
 * delegate_registry.c      the delegates, as the leader knows them
 * worker_routing.c         which node a worker is told to send heartbeats to
 * worker_failover_paths.c  where a worker goes when its node ends
 * cluster.c                the cluster's life, and questions about its state */
#ifndef TW_CLUSTER_INT_H
#define TW_CLUSTER_INT_H
#include "cluster/cluster.h"
#include "log/log.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* Room for the path of a request to the state service that holds a few numbers. */
#define TW_PATH_SIZE 160

typedef enum { TW_ROLE_FOLLOWER, TW_ROLE_LEADER } tw_role;
/* A leader reads the records before it decides anything. */
typedef enum { TW_PHASE_LOADING, TW_PHASE_ACTIVE } tw_leader_phase;

/* Another node. Times are steady seconds of this node's clock. */
typedef struct tw_peer {
    tw_config_peer config;
    /* A worker that sends it heartbeats finds another node of its zone within its lease when this
     * one ends, also where no other zone can be reached; see worker_failover_paths.c. */
    bool failover_in_time;

    double next_heartbeat_at;
    int heartbeats_in_flight;
    double answered_at; /* when the last heartbeat was sent that it answered */
    double back_at;     /* when it answered again after a silence */
    double
        vouched_at; /* when the last heartbeat was sent whose answer shows that it did not lead */
    uint64_t highest_token; /* that it said it had seen */
    bool store_reachable;   /* its calls to the state service succeed */
    int record_format;      /* TW_RECORD_FORMAT_* that it can read; 0: none was heard */

    uint64_t cancellations_known; /* it knows of the cancellations up to this number, */
    uint64_t cancellations_told;  /* and was told of those up to this one */

    uint64_t delegate_revision; /* of its key as a delegate; 0: none */
    double delegate_until;      /* it may answer workers until then, by its key, */
    double delegation_until;    /* and by this node's answer to its heartbeat */
    /* When it last answered a worker as a delegate, as it said in its answer to a heartbeat that
     * was sent at the second of these times. */
    double delegate_answered_at, delegate_answered_as_of;

    /* Workers that came back from it since the first time; none is sent there until the second. */
    double avoid_counted_from, avoided_until;
    int returned_workers;
} tw_peer;

/* A worker, and the node that it was last told to send heartbeats to. */
typedef struct tw_worker_redirect {
    char name[TW_NAME_SIZE];
    const tw_peer *target;
    double at;
    bool came_back; /* it sent a heartbeat here again */
    UT_hash_handle hh;
} tw_worker_redirect;

struct tw_cluster {
    tw_context *context;
    tw_cluster_owner owner;

    /* The term (election.c, authority.c). */
    tw_role role;
    tw_leader_phase phase;
    uint64_t lease_id; /* of the leader's lease in the state service; 0: none */
    uint64_t token;    /* of this node's last term */
    uint64_t highest_token;
    double lease_s; /* length of the leader's lease */
    double authority_until, term_began_at;
    double peers_confirmed_at; /* when all peers had said that they know the token; 0: not yet */
    bool could_command, could_renew; /* permissions when last looked at, for the log */
    double next_renewal_at, renewal_sent_at;
    int renewals_in_flight;

    /* Following the leader's key, and elections (election.c). */
    char leader_name[TW_NAME_SIZE]; /* "": not known */
    uint64_t leader_token;
    double next_leader_read_at;
    bool leader_read_in_flight, election_in_flight;
    uint64_t watch_from_revision; /* to watch the leader's key from; 0: read it first */
    double lease_requested_at;
    uint64_t replaced_revision; /* of this node's own key, which an election replaces; 0: none */
    uint64_t replaced_lease_id; /* which that key hung on: it must end before the term begins */
    tw_rate_limiter election_limiter; /* this node's part of the requests that elections may take */
    int election_refusals;            /* of those, in a row */

    /* Peers (peer_heartbeat.c). */
    tw_peer *peers;
    size_t peer_count;
    double started_at, store_answered_at;
    bool failover_in_time;          /* of this node, as of a peer */
    uint64_t cancellation_sequence; /* numbers the cancellations */
    double mixed_versions_since;    /* when this node first heard of a peer of an earlier version */

    /* This node as a delegate (lease_delegate.c). */
    uint64_t delegate_token, delegate_sequence; /* of the key that this node wrote */
    double delegate_until;                      /* by that key */
    bool delegate_write_in_flight;
    double next_delegate_attempt_at;
    uint64_t delegation_token; /* of the leader that delegated in answer to a heartbeat, */
    double delegation_until;   /* and until when */
    double delegate_answered_at;
    tw_expiring_name *forwarded_workers; /* and when the leader last answered them through us */
    double next_forwarded_sweep_at;
    tw_expiring_name *listed_cancelled_jobs;    /* read from the state service */
    tw_expiring_name *announced_cancelled_jobs; /* said by the leader */
    double cancelled_read_at;                   /* when the last whole reading began */
    bool cancelled_list_in_flight;
    double cancelled_list_began_at, next_cancelled_list_at;
    char cancelled_list_cursor[TW_WIRE_KEY_SIZE]; /* "": from the beginning */

    /* The delegates, at the leader (delegate_registry.c). */
    bool delegates_read_in_flight, delegates_known;
    double delegates_checked_at, next_delegates_read_at, expiry_decided_at;

    /* Redirected workers (worker_routing.c). */
    tw_worker_redirect *worker_redirects;
    double next_redirect_sweep_at;
};

/* ---- election.c ---- */
/* Sets the rate at which this node may send requests for elections. */
void tw_cluster_init_election(tw_cluster *cluster);
/* The state service answered a call about the leader's key or lease. */
void tw_cluster_election_response(tw_cluster *cluster, const tw_call *sent, int status,
                                  const char *body, size_t len);
/* Renews the leader's lease, or follows the leader's key. */
void tw_cluster_election_tick(tw_cluster *cluster);

/* ---- leader_lease.c ---- */
/* Until when a lease that was granted or renewed by a request sent then gives authority. */
double tw_cluster_authority_end(const tw_cluster *cluster, double sent_at);
/* The state service answered a renewal. */
void tw_cluster_renewal_response(tw_cluster *cluster, const tw_call *sent, int status);
/* Renews the lease when that is due; ends a term without authority. */
void tw_cluster_leader_lease_tick(tw_cluster *cluster);

/* ---- authority.c ---- */
bool tw_cluster_has_authority(const tw_cluster *cluster); /* may command, write and answer */
/* Whether this node may renew workers' leases although its authority has ended. */
bool tw_cluster_renews_without_authority(const tw_cluster *cluster);
/* For how long at most a leader renews workers' leases after the end of its authority. */
double tw_cluster_renewal_without_authority_s(const tw_cluster *cluster);
/* For how long a node may answer workers by its last authority or delegation, without hearing more.
 */
double tw_cluster_renewal_without_contact_s(const tw_cluster *cluster);
/* Logs when authority, and the permission to renew leases, begin and end. */
void tw_cluster_log_permissions(tw_cluster *cluster);

/* ---- peer_heartbeat.c ---- */
/* The peer of that name; NULL: none. */
tw_peer *tw_cluster_find_peer(const tw_cluster *cluster, const char *name);
void tw_cluster_heartbeat_response(tw_cluster *cluster, const tw_call *sent, int status,
                                   const char *body, size_t len);
/* Whether the peer answered a heartbeat lately. */
bool tw_cluster_peer_answers(const tw_cluster *cluster, const tw_peer *peer);
/* Sends the heartbeats that are due. */
void tw_cluster_heartbeat_tick(tw_cluster *cluster);

/* ---- peer_versions.c ---- */
/* The peer says which records it reads, which shows whether it is of an earlier version. */
void tw_cluster_note_peer_format(tw_cluster *cluster, tw_peer *from, int record_format);
/* Whether this node is one of the two followers of this version, by name, that campaign before any
 * peer of an earlier version does. A peer that was never heard counts as such a one. */
bool tw_cluster_campaigns_first(const tw_cluster *cluster);

/* ---- lease_delegate.c ---- */
/* How long a delegate's entitlement lasts from the sending of its write. */
double tw_cluster_delegate_lease_s(const tw_cluster *cluster);
/* Writes the key of that node as a delegate; room for TW_DELEGATE_KEY_SIZE. */
void tw_cluster_delegate_key(char *key, const char *node);
/* Cancelled jobs, as the leader of that token says in a heartbeat. */
void tw_cluster_note_cancelled(tw_cluster *cluster, uint64_t token, const char *body, size_t len);
/* The leader's answer to a heartbeat that was sent then: this node may answer its zone's workers
 * for a while. The cancelled jobs that may still run come with it. */
void tw_cluster_delegation_granted(tw_cluster *cluster, double sent_at, uint64_t token,
                                   const char *body, size_t len);
/* The state service answered the write of this node's key. */
void tw_cluster_delegate_key_response(tw_cluster *cluster, const tw_call *sent, int status);
/* The state service answered with a page of jobs. */
void tw_cluster_cancelled_page(tw_cluster *cluster, int status, const char *body, size_t len);
void tw_cluster_free_delegate(tw_cluster *cluster);

/* ---- delegate_registry.c ---- */
/* A term begins: nothing is known of the delegates' keys; they are read. */
void tw_cluster_reset_registry(tw_cluster *cluster);
/* The state service answered with the keys. */
void tw_cluster_registry_page(tw_cluster *cluster, const tw_call *sent, int status,
                              const char *body, size_t len);

/* ---- worker_routing.c ---- */
void tw_cluster_free_redirects(tw_cluster *cluster);

/* ---- worker_failover_paths.c ---- */
/* Works out failover_in_time of this node and its peers, from their names and zones alone. */
void tw_cluster_init_failover_paths(tw_cluster *cluster);

#endif
