/* The cluster determines which node leads, what this node is permitted to do, and what other nodes
 * may do without contact to this node. It is a state machine over the context: inputs are requests
 * of peers, responses and ticks; effects are calls and replies.
 *
 * It manages the leader's lease and key in the state service, the fencing token of the term, the
 * peers and the cancellations that each of them has acknowledged, the lease delegates, which renew
 * workers' leases on behalf of a leader that they can't reach, and the redirection of workers to
 * the node that should get their heartbeats. Only this package reads the members of its types. The
 * core, the store and the modules for workers and jobs call it.
 *
 * Invariants:
 *   - fencing tokens increase strictly: a token is the store revision of the transaction that wrote
 *     the leader's key;
 *   - the authority to command ends before the leader's lease can expire, and immediately when the
 *     leader learns of a higher token;
 *   - a permission of a peer to renew leases is recorded as ending no earlier than the peer itself
 *     considers it to end;
 *   - a leader acts on the expiry of a worker's lease only if the delegates' keys that it knows are
 *     up to date.
 * docs/design.md, "Authority", has the argument. */
#ifndef TW_CLUSTER_H
#define TW_CLUSTER_H
#include "context/context.h"
#include "wire/wire.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Key in the state service that names the leader. */
#define TW_LEADER_KEY "leader"
/* Prefix of the key of a delegate, which the node's name follows; and size of a buffer for it. */
#define TW_DELEGATE_KEY "dep/"
#define TW_DELEGATE_KEY_SIZE (TW_NAME_SIZE + sizeof TW_DELEGATE_KEY)
/* Prefix of the keys of job records. A delegate lists these to find cancelled jobs. */
#define TW_JOB_KEY "job/"

typedef struct tw_cluster tw_cluster;

/* Callbacks of the cluster. They are invoked from within functions of this package, when the change
 * happens. */
typedef struct {
    void *owner; /* first argument of each callback */
    /* Called when this node starts to lead. It makes no decisions before tw_cluster_activate. */
    void (*term_began)(void *owner);
    /* Called when this node stops leading. The owner discards all state of the term. */
    void (*term_ended)(void *owner);
    /* Called when the leader's lease was renewed. Work that waited for authority may proceed. */
    void (*lease_renewed)(void *owner);
    /* Called when a peer has acknowledged further cancellations. Cancellations that waited for the
     * peer may be confirmed to their users. */
    void (*cancellations_acknowledged)(void *owner);
    /* Called when this node may answer workers as a delegate. Held heartbeats may be retried. */
    void (*delegate_ready)(void *owner);
    /* Fills in the ids of at most `max_ids` cancelled jobs that may still run. Returns the number
     * of such jobs, which may be greater than `max_ids`. */
    int (*list_cancelled)(void *owner, const char **ids, int max_ids);
} tw_cluster_owner;

/* Permissions of a node, checked by tw_cluster_may before each such action. */
typedef enum {
    TW_PERMISSION_COMMAND, /* launch, stop and forget tasks */
    TW_PERMISSION_WRITE,   /* make scheduling decisions and write records */
    TW_PERMISSION_ANSWER,  /* answer users from memory */
    TW_PERMISSION_RENEW /* answer heartbeats, which renews leases; the answer may also stop tasks */
} tw_permission;

/* Creates a cluster. context: not owned; its settings and time must be set. *owner is copied. */
tw_cluster *tw_cluster_new(tw_context *context, const tw_cluster_owner *owner);
void tw_cluster_free(tw_cluster *cluster);
/* Makes this node a follower when the process ends, without calling term_ended. */
void tw_cluster_stop(tw_cluster *cluster);

/* ---- inputs ---- */

/* Does the periodic work: elections, renewal of the leader's lease, heartbeats to peers. */
void tw_cluster_tick(tw_cluster *cluster);
/* Does the periodic work of a delegate: refreshes the list of cancelled jobs. */
void tw_cluster_delegate_tick(tw_cluster *cluster);
/* Does the periodic work of a leader that may command: refreshes the delegates' keys. */
void tw_cluster_registry_tick(tw_cluster *cluster);
/* Processes the response to a call of this package. */
void tw_cluster_response(tw_cluster *cluster, tw_call *sent, int status, const char *body,
                         size_t len);
/* Processes a peer heartbeat and replies to it on the connection. */
void tw_cluster_receive_heartbeat(tw_cluster *cluster, uint64_t connection, const char *body,
                                  size_t len);
/* Records a token from a message of the state service, a peer or a worker. leader: name of the
 * leader with this token; NULL: unknown. If this node leads with a lower token, it steps down. */
void tw_cluster_observe_token(tw_cluster *cluster, uint64_t token, const char *leader);
/* Ends the term if this node leads. why: reason for the log. */
void tw_cluster_step_down(tw_cluster *cluster, const char *why);
/* Marks the records as read, which lets the leader make decisions. */
void tw_cluster_activate(tw_cluster *cluster);
/* Records that the state service answered a call of another package. */
void tw_cluster_note_store_answer(tw_cluster *cluster);

/* ---- leadership and permissions ---- */

bool tw_cluster_may(const tw_cluster *cluster, tw_permission permission);
bool tw_cluster_is_leader(const tw_cluster *cluster);
/* Return whether this node leads and is still reading the records; and whether it leads and has
 * read them. */
bool tw_cluster_is_loading(const tw_cluster *cluster);
bool tw_cluster_is_active(const tw_cluster *cluster);
/* Returns whether authority lasts for this many more seconds without a renewal. */
bool tw_cluster_authority_lasts(const tw_cluster *cluster, double seconds);
/* Return the fencing token of this node's last term, the highest token seen, and the token of the
 * last leader whose name is known; 0: none. */
uint64_t tw_cluster_token(const tw_cluster *cluster);
uint64_t tw_cluster_highest_token(const tw_cluster *cluster);
uint64_t tw_cluster_leader_token(const tw_cluster *cluster);
/* Returns when this node's last term began, in monotonic seconds. */
double tw_cluster_term_began_at(const tw_cluster *cluster);
/* Returns the length of the leader's lease in seconds. */
double tw_cluster_lease_s(const tw_cluster *cluster);
/* Returns the address of the leader; NULL if no leader is known or this node is the leader. */
const char *tw_cluster_leader_addr(const tw_cluster *cluster);
/* Returns whether another node leads and has answered a heartbeat that was sent at most within_s
 * seconds plus half of the leader's lease ago. */
bool tw_cluster_leader_answers(const tw_cluster *cluster, double within_s);
/* Returns whether neither the state service nor any peer answers. */
bool tw_cluster_is_isolated(const tw_cluster *cluster);
/* Returns the number of seconds since the state service last answered. */
double tw_cluster_since_store_answer_s(const tw_cluster *cluster);
/* Returns the time in seconds for which a leader sends no further request after a response with
 * this status, so that other nodes get their share of the state service's rate limit; 0: not
 * rate-limited. */
double tw_cluster_rate_limited_wait_s(tw_cluster *cluster, int status);

/* ---- the fence: the compares that a leader's writes include ---- */

/* Returns the compare of the leader's key with this node's token. */
tw_wire_compare tw_cluster_leader_compare(const tw_cluster *cluster);
/* Returns the maximum number of compares that tw_cluster_fence fills in. */
size_t tw_cluster_fence_size(const tw_cluster *cluster);
/* Fills in the compares of each write that may depend on an expired lease: one of the leader's key,
 * and one of each delegate's key at its known revision. keys: buffer for the names of the
 * delegates' keys, which must live as long as compares. Returns the number of compares. */
size_t tw_cluster_fence(const tw_cluster *cluster, tw_wire_compare *compares,
                        char (*keys)[TW_DELEGATE_KEY_SIZE]);

/* ---- delegates, as known to the leader (delegate_registry.c) ---- */

/* Return whether the delegates' keys were read in this term; and the send time of the last read, or
 * write, whose response confirmed the known keys. */
bool tw_cluster_delegates_known(const tw_cluster *cluster);
double tw_cluster_delegates_checked_at(const tw_cluster *cluster);
/* Records that a write with tw_cluster_fence, sent at sent_at, succeeded, which confirms the known
 * revisions of the delegates' keys. */
void tw_cluster_delegates_confirmed(tw_cluster *cluster, double sent_at);
/* Reads the delegates' keys, unless a read is in flight. */
void tw_cluster_read_delegates(tw_cluster *cluster);
/* Records that this node considers a worker's lease expired now. The term ends if a read of the
 * delegates' keys shows later that a delegate was unknown at that time. */
void tw_cluster_note_lease_expiry(tw_cluster *cluster);
/* Returns the time until which a delegate of the zone ("": of any zone) may answer workers by its
 * key. */
double tw_cluster_delegates_may_answer_until(const tw_cluster *cluster, const char *zone);
/* Returns when a worker's lease, last renewed by this node at renewed_at, has certainly expired,
 * given that peers of the zone ("": of any zone) may have renewed it since by delegation. lease_s:
 * length of the lease by the slowest permitted clock. */
double tw_cluster_lease_expires_at(const tw_cluster *cluster, const char *zone, double renewed_at,
                                   double lease_s);

/* ---- bounds on renewal without authority (authority.c) ---- */

/* Returns the time until which an earlier leader may have answered a worker that has not seen this
 * node's token. */
double tw_cluster_predecessor_renewals_end(const tw_cluster *cluster);
/* Returns the time in seconds for which a node may answer workers while it can't exclude that
 * another node leads. */
double tw_cluster_renewal_if_superseded_s(const tw_cluster *cluster);

/* ---- acknowledgement of cancellations by delegates (peer_heartbeat.c) ---- */

/* State of a cancellation. It is safe when all nodes that may answer a machine without the leader
 * know of it. */
typedef enum {
    TW_CANCELLATION_UNREACHABLE = -1, /* a node that doesn't know of it can't be reached */
    TW_CANCELLATION_PENDING,          /* a node doesn't know of it yet */
    TW_CANCELLATION_SAFE
} tw_cancellation_safety;
/* Returns the number of a new cancellation. Peers acknowledge all cancellations up to a number. */
uint64_t tw_cluster_next_cancellation(tw_cluster *cluster);
/* Returns the safety of the cancellation with this number for a machine of the zone ("": unknown
 * zone). send_now: sends a heartbeat immediately to peers that don't know of the cancellation. */
tw_cancellation_safety tw_cluster_cancellation_safety(tw_cluster *cluster, const char *zone,
                                                      uint64_t number, bool send_now);

/* ---- this node as a delegate (lease_delegate.c) ---- */

/* Returns whether this node may answer the worker on behalf of the leader. */
bool tw_cluster_delegate_may_answer(const tw_cluster *cluster, const char *worker,
                                    const char *zone);
/* Writes this node's delegate key to become a delegate, unless a write is in flight or the last
 * attempt was too recent. */
void tw_cluster_request_delegation(tw_cluster *cluster);
/* Records that this node answers a worker as a delegate. Renews this node's delegate key when half
 * of its validity has passed. */
void tw_cluster_note_delegate_answer(tw_cluster *cluster);
/* Returns whether a delegate must stop the tasks of the job because it is cancelled. */
bool tw_cluster_delegate_must_stop_job(const tw_cluster *cluster, const char *job);
/* Records that the leader answered the worker's heartbeat that this node forwarded at sent_at. */
void tw_cluster_note_forwarded(tw_cluster *cluster, const char *worker, double sent_at);

/* ---- peers ---- */

/* Return whether every peer has reported that it reads chunked records; and whether any peer has
 * reported that it doesn't. */
bool tw_cluster_all_peers_support_chunks(const tw_cluster *cluster);
bool tw_cluster_any_peer_lacks_chunk_support(const tw_cluster *cluster);
/* Returns whether a peer is known to be of an earlier version and no peer of this version answers.
 * If this node stopped now, a node of the earlier version would lead next. */
bool tw_cluster_only_earlier_version_may_take_over(const tw_cluster *cluster);
/* Returns whether any peer in the zone answers this node's heartbeats. */
bool tw_cluster_zone_has_live_peer(const tw_cluster *cluster, const char *zone);
/* Returns whether the zone, which is not this node's, is partitioned from this node: it has nodes,
 * but none of them answers, or one of them has answered again for less than min_reachable_s
 * seconds. */
bool tw_cluster_zone_is_partitioned(const tw_cluster *cluster, const char *zone,
                                    double min_reachable_s);

/* ---- redirection of workers (worker_routing.c) ---- */

/* Returns whether workers of the zone can be redirected to a node of their zone. */
bool tw_cluster_zone_has_home(const tw_cluster *cluster, const char *zone);
/* Redirects a worker of another zone to a node of its own zone. Returns false, without a reply, if
 * there is no such node or the worker has come back from it. */
bool tw_cluster_redirect_home(tw_cluster *cluster, uint64_t connection, const char *worker,
                              const char *zone);
/* Redirects a worker of this node's zone to another node of the zone. Does so only if the failure
 * of this node during a partition of the zone would expire the worker's lease, and the failure of
 * the other node would not. Returns false, without a reply, if the worker was not redirected. */
bool tw_cluster_redirect_for_failover(tw_cluster *cluster, uint64_t connection, const char *worker,
                                      const char *zone);
/* Redirects a worker to the leader. Returns false, without a reply, if it was not redirected. */
bool tw_cluster_redirect_to_leader(tw_cluster *cluster, uint64_t connection, const char *worker);

#endif
