/* The core's state: all that a node knows, by the part that owns it. Invariants: nothing here is
 * read or changed outside the core's entry points, which set the time first; what belongs to a term
 * is forgotten by tw_term_clear. Not for other packages. */
#ifndef TW_CORE_STATE_H
#define TW_CORE_STATE_H
#include "cluster/cluster.h"
#include "context/context.h"
#include "core/core.h"
#include "core/counters.h"
#include "core/job.h"
#include "core/machine.h"
#include "core/heartbeat_forwarder.h"
#include "core/autoscaler.h"
#include "core/scheduler.h"
#include <gsl/gsl_rng.h>
#include <stdbool.h>

/* Zones with a number of their own; those beyond are known by name. */
#define TW_MAX_ZONES 16
#define TW_MAX_TRANSACTIONS 3 /* transactions in flight, over disjoint jobs */

struct tw_core {
    tw_context context;
    tw_counters counters;

    tw_cluster *cluster;
    double answered_while_loading_at; /* last heartbeat answered while the records were read */
    bool began_without_jobs;          /* the state service had no job when this term began */
    double first_admission_at;        /* first job admitted in such a term; 0: none */

    /* Heartbeats at a node that does not lead, see heartbeat_forwarder.c. */
    tw_held_heartbeat *held_heartbeats; /* that wait for a leader */
    int held_count;
    double next_held_retry_at, forwarding_paused_until;

    /* jobs */
    tw_job *jobs, *active_jobs, *pending_writes;
    struct tw_completed_jobs
        *completed_jobs; /* jobs that are over and of which nothing may run; see completed_jobs.h */
    tw_job *cancelled_jobs; /* those being cancelled, and cancelled ones that may still run */
    tw_rejected_admission *rejected_admissions;
    tw_job_class *job_classes;
    int transactions_in_flight, pending_admissions;
    uint64_t last_chunk_set; /* numbers the sets of slices that this process writes */
    struct tw_stale_chunk_set *stale_chunk_sets; /* that no record names: to be removed */
    bool chunk_removal_in_flight;
    double next_chunk_removal_at;
    bool peers_read_chunks, a_peer_lacks_chunks;   /* as of the last look at the peers */
    struct tw_loaded_chunk_set *loaded_chunk_sets; /* of divided records, while they are read */
    bool loading_chunks;                           /* those are being read, before the records */
    tw_rate_limiter write_limiter, request_limiter, cloud_limiter;
    int overdue_credit[TW_PRIORITY_PROD +
                       1]; /* by rank: the next room may go to the longest wait */
    tw_rate_limiter follower_read_limiter,
        follower_create_limiter;              /* of a node that does not lead */
    double *team_cores_used, *team_gpus_used; /* in use, or may be */
    char load_cursor[256];
    double next_load_at;
    bool load_in_flight;
    bool admission_watch_in_flight; /* jobs that other nodes accepted, see peer_admissions.c */
    tw_expiring_name *untaken_admissions; /* those that we heard of and that aren't among ours yet,
                                     and their next read */
    uint64_t admission_watch_revision;
    double next_admission_watch_at;

    /* fleet */
    tw_machine_type *machine_types;
    int machine_type_count;
    double next_machine_types_at;
    bool machine_types_in_flight;
    tw_machine *machines;
    size_t longest_machine_name;              /* of a machine that was known in this process */
    tw_machine *command_queue;                /* those that may be due for direct orders */
    int commands_in_flight;                   /* direct orders on their way */
    double next_command_scan_at;              /* no look at all machines before it */
    tw_wire_heartbeat_cache *heartbeat_cache; /* as they came last */
    double next_heartbeat_sweep_at;
    tw_wire_command *command_scratch; /* scratch: the orders in hand */
    char zone_names[TW_MAX_ZONES][TW_NAME_SIZE];
    int zone_count;
    uint64_t pass_steps; /* machines looked at in passes over the fleet: what such a pass costs */
    tw_placement_failure *placement_failures; /* kinds of tasks that found no room in this pass, see
                                                 placement_failures.c */
    int placement_failure_count, placement_failure_capacity;
    struct tw_job *reserving_gang;   /* gang that machines are held for in this pass; NULL: none */
    struct tw_candidate *candidates; /* machines that this pass may use, see candidates.c */
    int candidate_count, candidate_capacity;
    struct tw_score_table *score_tables; /* of this pass, see scores.c */
    int score_table_count, next_score_table;
    double cores_per_gpu,
        memory_gb_per_gpu; /* what a GPU's user takes along at most, by the lanes' samples */
    tw_expiring_name *returned_machines;
    bool machine_list_in_flight;
    int machine_list_has_more, machine_lists_read;
    char machine_list_cursor[TW_NAME_SIZE];
    double next_machine_list_at;
    bool return_in_flight;
    bool returns_due; /* some machine is to be returned and may not have been asked for */
    double next_return_at;
    tw_capacity_offer *capacity_offers;
    int capacity_offer_count;
    tw_rental_request *rental_requests;
    uint64_t next_rental_request;
    double next_plan_at, scale_out_from, next_fleet_log_at;

    double next_consolidation_at;
    struct {
        double free_cores, free_gpus; /* shares */
    } zones[TW_MAX_ZONES + 1]; /* as of the last pass; the last one: machines of no known zone */
    struct {
        char zone[TW_NAME_SIZE];
        int all, silent;
        double until; /* taken for cut off until then */
    } silent_zones[TW_MAX_ZONES];
    int silent_zone_count;
    bool scheduling_due;
    double next_pass_at, next_recheck_at;
    double next_job_sweep_at, next_machine_scan_at;
    double unresponsive_since;
    int unresponsive_count;
    uint64_t heartbeat_mark;
};

#endif
