/* The cluster: which node leads, what this node may do now, and what the other nodes may do without
 * it. A state machine over the context: inputs are requests of peers, responses and ticks; effects
 * are calls and replies.
 *
 * It owns the leader's lease and key in the state service, the fencing token of the term, the peers
 * and what each of them is known to know, the delegates that renew workers' leases for a leader
 * they can't reach, and which node a worker is told to send heartbeats to. Nothing outside the
 * package reads its members. Called by the core, the store and the modules of workers and jobs.
 *
 * Invariants:
 *   - fencing tokens grow strictly: a token is the revision of the transaction that wrote the key;
 *   - authority to command ends before the leader's lease can, and at once when the leader learns
 * of a higher token;
 *   - what a peer is entitled to is noted as ending no earlier than the peer itself takes it to
 * end;
 *   - a leader acts on an expired worker's lease only if it knows the delegates' keys as they are.
 * docs/design.md, "Authority", has the argument. */
#ifndef TW_CLUSTER_H
#define TW_CLUSTER_H
#include "context/context.h"
#include "wire/wire.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Key of the leader in the state service. */
#define TW_LEADER_KEY "leader"
/* Key of a delegate: this and the node's name; and room for one. */
#define TW_DELEGATE_KEY "dep/"
#define TW_DELEGATE_KEY_SIZE (TW_NAME_SIZE + sizeof TW_DELEGATE_KEY)
/* Prefix of the keys of jobs' records, which a delegate lists. */
#define TW_JOB_KEY "job/"

typedef struct tw_cluster tw_cluster;

/* What the cluster tells its owner. The functions are called from within the package's own, at the
 * moment of the change. */
typedef struct {
    void *owner; /* first argument of each */
    /* This node leads: it decides nothing before tw_cluster_activate. */
    void (*term_began)(void *owner);
    /* This node leads no more: everything that belongs to the term is to be forgotten. */
    void (*term_ended)(void *owner);
    /* The leader's lease was renewed: what waited for authority may go on. */
    void (*lease_renewed)(void *owner);
    /* A peer knows of more cancellations: those that waited for it may be confirmed. */
    void (*cancellations_known)(void *owner);
    /* This node may answer workers as a delegate: held heartbeats may be tried again. */
    void (*delegate_ready)(void *owner);
    /* Fills in the ids of at most `most` cancelled jobs that may still run; returns how many there
     * are. */
    int (*list_cancelled)(void *owner, const char **ids, int most);
} tw_cluster_owner;

/* What a node may do now. Every path asks tw_cluster_may. */
typedef enum {
    TW_PERMISSION_COMMAND, /* launch, stop and forget tasks */
    TW_PERMISSION_WRITE,   /* decide, and write records */
    TW_PERMISSION_ANSWER,  /* answer users from memory */
    TW_PERMISSION_RENEW    /* answer workers, which renews their leases, and stop tasks with that */
} tw_permission;

/* context: not owned; its settings and time must be set. */
tw_cluster *tw_cluster_new(tw_context *context, const tw_cluster_owner *owner);
void tw_cluster_free(tw_cluster *cluster);
/* The process ends: this node leads no more, and nobody is told. */
void tw_cluster_stop(tw_cluster *cluster);

/* ---- inputs ---- */

/* Timed work: the election, the leader's lease, heartbeats to peers. */
void tw_cluster_tick(tw_cluster *cluster);
/* Timed work of a delegate: keeps the list of cancelled jobs fresh. */
void tw_cluster_delegate_tick(tw_cluster *cluster);
/* Timed work of a leader that may command: keeps what it knows of the delegates' keys fresh. */
void tw_cluster_registry_tick(tw_cluster *cluster);
/* The response to a call of this package. */
void tw_cluster_response(tw_cluster *cluster, tw_call *sent, int status, const char *body,
                         size_t len);
/* A heartbeat of a peer, to be answered at that connection. */
void tw_cluster_receive_heartbeat(tw_cluster *cluster, uint64_t connection, const char *body,
                                  size_t len);
/* Any sign of a leader: from the state service, a peer or a worker. leader: its name; NULL: not
 * known. A leader that learns of a higher token steps down. */
void tw_cluster_observe_token(tw_cluster *cluster, uint64_t token, const char *leader);
/* The term of a leader ends. why: for the log. */
void tw_cluster_step_down(tw_cluster *cluster, const char *why);
/* The records are read: the leader may decide. */
void tw_cluster_activate(tw_cluster *cluster);
/* The state service answered a call of another package. */
void tw_cluster_note_store_answer(tw_cluster *cluster);

/* ---- who leads, and what this node may do ---- */

bool tw_cluster_may(const tw_cluster *cluster, tw_permission permission);
bool tw_cluster_is_leader(const tw_cluster *cluster);
/* Whether this node leads and still reads the records; and whether it leads and has read them. */
bool tw_cluster_is_loading(const tw_cluster *cluster);
bool tw_cluster_is_active(const tw_cluster *cluster);
/* Whether authority lasts for so many seconds more, if it isn't renewed. */
bool tw_cluster_authority_lasts(const tw_cluster *cluster, double seconds);
/* Fencing token of this node's last term, the highest one seen, and that of the last leader whose
 * name is known; 0: none. */
uint64_t tw_cluster_token(const tw_cluster *cluster);
uint64_t tw_cluster_highest_token(const tw_cluster *cluster);
uint64_t tw_cluster_leader_token(const tw_cluster *cluster);
/* When this node's last term began; steady seconds. */
double tw_cluster_term_began_at(const tw_cluster *cluster);
/* Length of the leader's lease in seconds. */
double tw_cluster_lease_s(const tw_cluster *cluster);
/* Address of the node that leads; NULL: none is known, or it is this node. */
const char *tw_cluster_leader_addr(const tw_cluster *cluster);
/* Whether that node answered a heartbeat sent within so many seconds and half a lease. */
bool tw_cluster_leader_answers(const tw_cluster *cluster, double within_s);
/* Whether neither the state service nor any peer answers. */
bool tw_cluster_is_isolated(const tw_cluster *cluster);
/* Seconds since the state service last answered. */
double tw_cluster_store_silent_s(const tw_cluster *cluster);
/* How long a leader leaves the state service's limit to others after an answer with this status;
 * 0: no longer. */
double tw_cluster_rate_limited_wait_s(tw_cluster *cluster, int status);

/* ---- the fence: compares under which a leader writes ---- */

/* The compare of the leader's key with this node's token. */
tw_wire_compare tw_cluster_leader_compare(const tw_cluster *cluster);
/* How many compares tw_cluster_fence fills in at most. */
size_t tw_cluster_fence_size(const tw_cluster *cluster);
/* The compares of every write that may follow from an expired lease: the leader's key, and each
 * delegate's key as it is known. keys: room for the keys' names. Returns how many there are. */
size_t tw_cluster_fence(const tw_cluster *cluster, tw_wire_compare *compares,
                        char (*keys)[TW_DELEGATE_KEY_SIZE]);

/* ---- delegates, as the leader knows them (delegate_registry.c) ---- */

/* Whether the delegates' keys were read in this term, and when that was last asked for. */
bool tw_cluster_delegates_known(const tw_cluster *cluster);
double tw_cluster_delegates_checked_at(const tw_cluster *cluster);
/* A write under tw_cluster_fence went through that was sent then: the keys are as they are known.
 */
void tw_cluster_delegates_confirmed(tw_cluster *cluster, double sent_at);
/* Reads the delegates' keys, unless that is under way. */
void tw_cluster_read_delegates(tw_cluster *cluster);
/* A worker's lease is taken for expired now. If a delegate turns out to have had its key unknown to
 * this node, the term ends. */
void tw_cluster_note_expiry(tw_cluster *cluster);
/* Until when some delegate of the zone ("": of any) may have answered workers. */
double tw_cluster_delegates_until(const tw_cluster *cluster, const char *zone);
/* When a worker's lease has surely expired that was last renewed at `renewed_at` as far as this
 * node can know: peers of the zone ("": of any) may have renewed it since. lease_s: length by any
 * clock.
 */
double tw_cluster_lease_expires_at(const tw_cluster *cluster, const char *zone, double renewed_at,
                                   double lease_s);

/* ---- bounds on renewing workers' leases without authority (authority.c) ---- */

/* Until when an earlier leader may have answered a worker that has not seen this node's token. */
double tw_cluster_predecessor_renewals_end(const tw_cluster *cluster);
/* How long a node may answer workers if it can't exclude that another one leads. */
double tw_cluster_renewal_if_superseded_s(const tw_cluster *cluster);

/* ---- cancellations, which delegates must know of (peer_heartbeat.c) ---- */

/* Whether all nodes that may answer a machine without the leader know that a job is cancelled. */
typedef enum {
    TW_CANCELLATION_UNREACHABLE = -1, /* some can't be asked now */
    TW_CANCELLATION_PENDING,          /* some don't know it yet */
    TW_CANCELLATION_SAFE
} tw_cancellation_safety;
/* A number for a new cancellation: peers confirm all cancellations up to a number. */
uint64_t tw_cluster_next_cancellation(tw_cluster *cluster);
/* For one machine of the zone ("": not known) and the cancellation of that number. tell: peers that
 * don't know it get a heartbeat at once. */
tw_cancellation_safety tw_cluster_cancellation_safety(tw_cluster *cluster, const char *zone,
                                                      uint64_t number, bool tell);

/* ---- this node as a delegate (lease_delegate.c) ---- */

/* Whether this node may answer the worker in the leader's place. */
bool tw_cluster_delegate_may_answer(const tw_cluster *cluster, const char *worker,
                                    const char *zone);
/* Asks to be a delegate: writes this node's key, unless that is under way or was tried just now. */
void tw_cluster_request_delegation(tw_cluster *cluster);
/* This node answers a worker as a delegate; asks for a longer entitlement when it is half over. */
void tw_cluster_note_delegate_answer(tw_cluster *cluster);
/* Whether a delegate has to stop the job's tasks: it is cancelled. */
bool tw_cluster_delegate_stops(const tw_cluster *cluster, const char *job);
/* The leader answered the worker through this node, to a heartbeat sent to it at that time. */
void tw_cluster_note_forwarded(tw_cluster *cluster, const char *worker, double sent_at);

/* ---- peers ---- */

/* Whether every peer has said that it reads chunked records; and whether one says that it doesn't.
 */
bool tw_cluster_all_read_chunks(const tw_cluster *cluster);
bool tw_cluster_any_lacks_chunks(const tw_cluster *cluster);
/* Whether a peer is known to be of an earlier version, and no other one answers: should this node
 * end now, a node of an earlier version leads next. */
bool tw_cluster_only_earlier_may_succeed(const tw_cluster *cluster);
/* Whether some node of that zone answers this one. */
bool tw_cluster_zone_has_live_peer(const tw_cluster *cluster, const char *zone);
/* Whether a zone that has nodes is another one than this node's, and none of its nodes answers, or
 * one does so for less than back_s. */
bool tw_cluster_zone_is_cut(const tw_cluster *cluster, const char *zone, double back_s);

/* ---- which node a worker sends heartbeats to (worker_routing.c) ---- */

/* Whether some node of that zone can be named to its workers. */
bool tw_cluster_zone_has_home(const tw_cluster *cluster, const char *zone);
/* Redirects a worker of another zone to a node of its own. false: it was not, since there is none,
 * or the worker came back from there. */
bool tw_cluster_redirect_home(tw_cluster *cluster, uint64_t connection, const char *worker,
                              const char *zone);
/* Redirects a worker of this node's zone whose lease would not survive this node's end in a cut of
 * the zone, to another node of the zone where it would. false: it was not. */
bool tw_cluster_redirect_safer(tw_cluster *cluster, uint64_t connection, const char *worker,
                               const char *zone);
/* Redirects a worker to the node that leads. false: it was not. */
bool tw_cluster_redirect_to_leader(tw_cluster *cluster, uint64_t connection, const char *worker);

#endif
