/* The core's state: all that a node knows, by the part that owns it. Invariants: nothing here is
 * read or changed outside the core's entry points, which set the time first; what belongs to a term
 * is forgotten by tw_term_clear. Not for other packages. */
#ifndef TW_CORE_STATE_H
#define TW_CORE_STATE_H
#include "core/budget.h"
#include "core/call.h"
#include "core/core.h"
#include "core/counters.h"
#include "core/expiring.h"
#include "core/job.h"
#include "core/machine.h"
#include "core/peers.h"
#include "core/provision.h"
#include "core/scheduler.h"
#include <gsl/gsl_rng.h>

/* Zones with a number of their own; those beyond are known by name. */
#define TW_MAX_ZONES 16
#define TW_MAX_TXNS 3 /* transactions in flight, over disjoint jobs */

struct tw_core {
    const tw_conf *cf;
    double now, wall;
    gsl_rng *rng;
    tw_fx *fx_head, *fx_tail;
    call *calls;
    unsigned calls_made[K_KINDS], calls_refused; /* to the state service, since the last log line */
    double next_calls_log;
    tw_counters counters;
    uint64_t next_call;

    /* election */
    node_role role;
    leader_phase phase;
    int commanded, renewed_leases; /* rights when last looked at, for the log */
    double load_answered;          /* last report answered while the records were read */
    uint64_t term;                 /* changes with each term: calls of another term are ignored */
    uint64_t hold, token, seen_token;
    double ttl, auth_until, acquired_at, next_renew, next_poll;
    int renew_busy, poll_busy, electing;
    uint64_t watch_since; /* revision to watch the leader key from; 0: read it first */
    double grant_sent, renew_sent;
    tw_budget follows;   /* this node's part of the requests that elections may take */
    int follows_refused; /* of those, in a row */
    char leader[TW_NAME_SIZE];
    uint64_t leader_token;
    double leader_seen, state_ok_at, started_at;
    int fresh;               /* this term began without any job */
    double opened_at;        /* first acceptance in a state service without jobs */
    double all_confirmed_at; /* 0: not all peers have said that they know our token */
    peer *peers;
    size_t npeers;
    /* A worker of this node's zone that reports to it finds another node within its lease when it
     * ends, also where no other zone can be reached; see failover.c. */
    int failover_in_time;

    /* as a deputy, see deputy.c; reports handed on, see relay.c; redirects, see redirect.c */
    uint64_t deputy_token, deputy_sequence;
    double deputy_until, deputy_read_at, relay_bad_until;
    uint64_t grant_token; /* by the leader's answer to a ping */
    double grant_until;
    double deputy_last;       /* when we last answered a worker as a deputy */
    struct expiring *relayed; /* workers, and when the leader last answered them through us */
    double relayed_tidy;
    redirect *redirects; /* workers that were told of another node */
    double redirects_tidy;
    int deputy_busy, nheld;
    double deputy_try; /* no earlier attempt to become one */
    held_report *held; /* reports that wait for a leader */
    double held_next;
    uint64_t abort_seq; /* numbers the cancellations of a term */
    expiring
        *deputy_aborted; /* cancelled jobs, whose tasks a deputy stops: read as one by its key */
    expiring *grant_aborted; /* and named with the leader's last grant */
    int deputy_listing;
    double deputy_list_from, deputy_list_next;
    char deputy_list_after[256];
    /* deputies, at the leader, see deputies_seen.c */
    int deputies_reading, deputies_known;
    double deputies_checked_at, deputies_next, lapse_decided_at;

    /* jobs */
    job *jobs, *active, *dirty;
    struct tw_finished
        *finished;  /* jobs that are over and of which nothing may run; see finished.h */
    job *cancelled; /* those being cancelled, and cancelled ones that may still run */
    turned_away_job *turned_away;
    lane *lanes;
    int ntxns, ndirty_new;
    uint64_t last_set;            /* numbers the sets of slices that this process writes */
    struct stale_set *stale_sets; /* that no record names: to be removed */
    int stale_busy;
    double stale_next;
    int divides, heard_old;         /* as of the last look at the peers */
    struct loaded_set *loaded_sets; /* of divided records, while they are read */
    int load_parts;                 /* those are being read, before the records */
    tw_budget writes, reqs, cloud;
    int old_credit[TW_PRIORITY_PROD + 1]; /* by rank: the next room may go to the longest wait */
    tw_budget reads, creates;             /* of a node that does not lead */
    double *team_c, *team_g;              /* in use, or may be */
    char load_after[256];
    double load_retry;
    int load_busy;
    int elsewhere_busy; /* jobs that other nodes accepted, see accepted_elsewhere.c */
    expiring
        *untaken; /* those that we heard of and that aren't among ours yet, and their next read */
    uint64_t elsewhere_since;
    double elsewhere_next;

    /* fleet */
    flavor *flavors;
    int nflavors;
    double next_flavors;
    int flavors_busy;
    machine *machines;
    size_t longest_name;              /* of a machine that was known in this process */
    machine *direct;                  /* those that may be due for direct orders */
    int ndirect;                      /* direct orders on their way */
    double next_direct;               /* no look at all machines before it */
    tw_wire_heartbeat_cache *reports; /* as they came last */
    double reports_tidy;
    tw_wire_command *order; /* scratch: the orders in hand */
    char yards[TW_MAX_ZONES][TW_NAME_SIZE];
    int nyards;
    uint64_t steps;    /* machines looked at in passes over the fleet: what such a pass costs */
    tw_futile *futile; /* kinds of tasks that found no room in this pass, see futile.c */
    int nfutile, futile_cap;
    struct job *holder;              /* gang that machines are held for in this pass; NULL: none */
    struct tw_candidate *candidates; /* machines that this pass may use, see candidates.c */
    int ncandidates, candidates_cap;
    struct tw_score_table *score_tables; /* of this pass, see scores.c */
    int nscore_tables, next_score_table;
    double gpu_cores, gpu_mem; /* what a GPU's user takes along at most, by the lanes' samples */
    expiring *released;
    int list_busy, list_more, lists;
    char list_after[TW_NAME_SIZE];
    double next_list;
    int release_busy;
    int returns_due; /* some machine is to be returned and may not have been asked for */
    double release_retry;
    offer *offers;
    int noffers;
    rental_request *rental_requests;
    uint64_t next_rental_request;
    double next_rent, rent_from, next_fleet_log;

    double next_move;
    struct {
        double free_cores, free_gpus; /* shares */
    } zones[TW_MAX_ZONES + 1]; /* as of the last pass; the last one: machines of no known zone */
    struct {
        char yard[TW_NAME_SIZE];
        int all, silent;
        double until; /* taken for cut off until then */
    } quiet[TW_MAX_ZONES];
    int nquiet;
    int sched_dirty;
    double next_sched, next_recheck;
    double next_tidy, next_fleet;
    double unresponsive_since;
    int unresponsive_count;
    uint64_t mark;
};

#endif
