/* Internal interface of the cluster, shared by its modules. Not for other packages.
 *
 * election.c               the leader's key, elections, terms
 * leader_lease.c           the leader's lease, and the authority that follows from it
 * authority.c              permissions of this node, and bounds on those of other nodes
 * peer_heartbeat.c         heartbeats between nodes, acknowledgement of cancellations
 * peer_versions.c          peers of an earlier version, during a rolling upgrade
 * lease_delegate.c         this node as a delegate of a leader that can't be reached
 * delegate_registry.c      the delegates, as known to the leader
 * worker_routing.c         redirection of workers to the node that should get their heartbeats
 * worker_failover_paths.c  whether workers of a node reach another one in time when it fails
 * cluster.c                creation and freeing of the cluster, inputs, queries about its state */
#ifndef TW_CLUSTER_INT_H
#define TW_CLUSTER_INT_H
#include "cluster/cluster.h"
#include "log/log.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* Size of a buffer for the path of a request to the state service that holds a few numbers. */
#define TW_PATH_SIZE 160

typedef enum { TW_ROLE_FOLLOWER, TW_ROLE_LEADER } tw_role;
/* Phase of a term. The leader makes no decisions while it reads the records (loading). */
typedef enum { TW_PHASE_LOADING, TW_PHASE_ACTIVE } tw_leader_phase;

/* Another node. Times are monotonic seconds of this node's clock. */
typedef struct tw_peer {
    tw_config_peer config;
    /* A worker that sends heartbeats to the peer reaches another node of its zone before its lease
     * expires if the peer fails, even if other zones are unreachable (worker_failover_paths.c). */
    bool failover_in_time;

    double next_heartbeat_at;
    int heartbeats_in_flight;
    double answered_at;       /* send time of the last heartbeat that the peer answered */
    double reachable_since;   /* when the peer answered again after it had not answered */
    double not_leading_until; /* the peer had certainly not led until then */
    uint64_t highest_token;   /* highest token that the peer has reported */
    bool store_reachable;     /* the peer reports that the state service answers it */
    int record_format;        /* TW_RECORD_FORMAT_* that the peer can read; 0: not reported yet */

    /* The peer has acknowledged the cancellations up to the first number. Cancellations up to the
     * second number were sent to it in an immediate heartbeat. */
    uint64_t cancellations_acknowledged, cancellations_sent;

    uint64_t delegate_revision; /* mod revision of the peer's delegate key; 0: none */
    double delegate_until;      /* the peer may answer workers until then by its delegate key */
    double delegation_until; /* the peer may answer workers until then by this node's delegation */
    /* When the peer last answered a worker as a delegate, by its own report; and the send time of
     * the heartbeat whose answer contained this report. */
    double delegate_answered_at, delegate_answered_as_of;

    /* Number of workers that have come back from the peer since returns_counted_from. No worker is
     * redirected to the peer before avoided_until. */
    double returns_counted_from, avoided_until;
    int returned_workers;
} tw_peer;

/* The last redirect of a worker. */
typedef struct tw_worker_redirect {
    char name[TW_NAME_SIZE]; /* name of the worker */
    const tw_peer *target;
    double at;          /* time of the redirect */
    bool has_come_back; /* the worker sent a heartbeat to this node again */
    UT_hash_handle hh;
} tw_worker_redirect;

struct tw_cluster {
    tw_context *context;
    tw_cluster_owner owner;

    /* The term (election.c, authority.c). */
    tw_role role;
    tw_leader_phase phase;
    uint64_t lease_id; /* id of the leader's lease in the state service; 0: none */
    uint64_t token;    /* fencing token of this node's last term */
    uint64_t highest_token;
    double lease_s; /* length of the leader's lease */
    double authority_until, term_began_at;
    double peers_confirmed_at; /* when all peers had reported the token; 0: not yet */
    /* Permissions at the last tw_cluster_log_permissions. */
    bool logged_may_command, logged_may_renew;
    double next_renewal_at, renewal_sent_at;
    int renewals_in_flight;

    /* Reads and watches of the leader's key, and elections (election.c). */
    char leader_name[TW_NAME_SIZE]; /* "": unknown */
    uint64_t leader_token;
    double next_leader_read_at;
    bool leader_read_in_flight, election_in_flight;
    uint64_t watch_from_revision; /* revision for the next watch; 0: the key must be read first */
    double lease_requested_at;
    uint64_t replaced_revision; /* mod revision of this node's old key to replace; 0: none */
    uint64_t replaced_lease_id; /* lease of that old key, revoked before the new term; 0: none */
    tw_rate_limiter election_limiter; /* limits this node's requests for watches and elections */
    int rate_limited_elections; /* consecutive rate-limited requests, up to MAX_BACKOFF_DOUBLINGS */

    /* Peers (peer_heartbeat.c). */
    tw_peer *peers;
    size_t peer_count;
    double started_at, store_answered_at;
    bool failover_in_time;          /* like tw_peer.failover_in_time, for this node */
    uint64_t cancellation_sequence; /* number of the last cancellation */
    double mixed_versions_since;    /* when the first peer of an earlier version was noticed */

    /* This node as a delegate (lease_delegate.c). */
    uint64_t delegate_token, delegate_sequence; /* token and number in this node's delegate key */
    double delegate_until;                      /* end of the permission by that key */
    bool delegate_write_in_flight;
    double next_delegate_attempt_at;
    uint64_t delegation_token;   /* token of the leader that delegated in a heartbeat answer */
    double delegation_until;     /* end of the permission by that delegation */
    double delegate_answered_at; /* when this node last answered a worker as a delegate */
    /* Workers whose heartbeats this node forwarded, with the send time of the last heartbeat that
     * the leader answered. */
    tw_expiring_name *forwarded_workers;
    double next_forwarded_sweep_at;
    tw_expiring_name *listed_cancelled_jobs;    /* jobs found cancelled in the state service */
    tw_expiring_name *announced_cancelled_jobs; /* cancelled jobs that the leader named */
    double cancelled_read_at; /* when the last complete read of the cancelled jobs began */
    bool cancelled_list_in_flight;
    double cancelled_list_began_at, next_cancelled_list_at;
    char cancelled_list_cursor[TW_WIRE_KEY_SIZE]; /* last key read; "": the read starts over */

    /* The delegates as known to the leader (delegate_registry.c). */
    bool delegates_read_in_flight, delegates_known;
    double delegates_checked_at, next_delegates_read_at, expiry_decided_at;

    /* Redirected workers (worker_routing.c). */
    tw_worker_redirect *worker_redirects;
    double next_redirect_sweep_at;
};

/* ---- election.c ---- */
/* Initializes the limiter of this node's requests for watches and elections. */
void tw_cluster_init_election(tw_cluster *cluster);
/* Processes the response of the state service to a call about the leader's key or lease. */
void tw_cluster_election_response(tw_cluster *cluster, const tw_call *sent, int status,
                                  const char *body, size_t len);
/* Renews the leader's lease, or watches or reads the leader's key, when that is due. */
void tw_cluster_election_tick(tw_cluster *cluster);

/* ---- leader_lease.c ---- */
/* Returns the end of the authority that a grant or renewal of the lease gives; sent_at: time of the
 * request. */
double tw_cluster_authority_end(const tw_cluster *cluster, double sent_at);
/* Processes the response of the state service to a renewal. */
void tw_cluster_renewal_response(tw_cluster *cluster, const tw_call *sent, int status);
/* Renews the lease when that is due. Ends the term if it has lost its authority for too long. */
void tw_cluster_leader_lease_tick(tw_cluster *cluster);

/* ---- authority.c ---- */
/* Returns whether this node leads and has authority, which includes all permissions. */
bool tw_cluster_has_authority(const tw_cluster *cluster);
/* Returns whether this node may renew workers' leases although its authority has ended. */
bool tw_cluster_renews_without_authority(const tw_cluster *cluster);
/* Returns the maximum time in seconds for which a leader renews workers' leases after the end of
 * its authority. */
double tw_cluster_renewal_without_authority_s(const tw_cluster *cluster);
/* Returns the time in seconds for which a node may answer workers after its last proof of authority
 * or delegation, without further contact to the other nodes. */
double tw_cluster_renewal_without_contact_s(const tw_cluster *cluster);
/* Logs the end of the authority to command and of the permission to renew leases. */
void tw_cluster_log_permissions(tw_cluster *cluster);

/* ---- peer_heartbeat.c ---- */
/* Returns the peer with this name; NULL if there is none. */
tw_peer *tw_cluster_find_peer(const tw_cluster *cluster, const char *name);
/* Processes the response of a peer to a heartbeat. */
void tw_cluster_heartbeat_response(tw_cluster *cluster, const tw_call *sent, int status,
                                   const char *body, size_t len);
/* Returns whether the peer has answered a recent heartbeat. */
bool tw_cluster_peer_answers(const tw_cluster *cluster, const tw_peer *peer);
/* Sends the heartbeats that are due. */
void tw_cluster_heartbeat_tick(tw_cluster *cluster);

/* ---- peer_versions.c ---- */
/* Records which record format the peer reports to read, which shows whether it is of an earlier
 * version. */
void tw_cluster_note_peer_format(tw_cluster *cluster, tw_peer *from, int record_format);
/* Returns whether a peer may be of an earlier version and this node is one of the two followers of
 * this version, first by name, that campaign before such a peer does. A peer that has not reported
 * its record format counts as one of an earlier version. */
bool tw_cluster_campaigns_first(const tw_cluster *cluster);

/* ---- lease_delegate.c ---- */
/* Returns the time in seconds for which a delegate key permits its node to answer workers, counted
 * from the sending of the write. */
double tw_cluster_delegate_lease_s(const tw_cluster *cluster);
/* Formats the delegate key of the node. key: buffer of TW_DELEGATE_KEY_SIZE bytes. */
void tw_cluster_delegate_key(char *key, const char *node);
/* Records the cancelled jobs that the leader with this token names in a heartbeat or an answer. */
void tw_cluster_note_cancelled(tw_cluster *cluster, uint64_t token, const char *body, size_t len);
/* Records a delegation: the leader answered a heartbeat sent at sent_at, so this node may answer
 * the workers of its zone for a limited time. body: the answer, which names the cancelled jobs that
 * may still run. */
void tw_cluster_delegation_granted(tw_cluster *cluster, double sent_at, uint64_t token,
                                   const char *body, size_t len);
/* Processes the response of the state service to the write of this node's delegate key. */
void tw_cluster_delegate_key_response(tw_cluster *cluster, const tw_call *sent, int status);
/* Processes a response of the state service with a page of job records. */
void tw_cluster_cancelled_page(tw_cluster *cluster, int status, const char *body, size_t len);
/* Frees this node's state as a delegate. */
void tw_cluster_free_delegate(tw_cluster *cluster);

/* ---- delegate_registry.c ---- */
/* Discards what is known of the delegates' keys when a term begins, and reads them. */
void tw_cluster_reset_registry(tw_cluster *cluster);
/* Processes a response of the state service with the delegates' keys. */
void tw_cluster_registry_page(tw_cluster *cluster, const tw_call *sent, int status,
                              const char *body, size_t len);

/* ---- worker_routing.c ---- */
/* Frees the table of redirects. */
void tw_cluster_free_redirects(tw_cluster *cluster);

/* ---- worker_failover_paths.c ---- */
/* Computes failover_in_time of this node and of its peers from their names and zones. */
void tw_cluster_init_failover_paths(tw_cluster *cluster);

#endif
