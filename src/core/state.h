/* The core's state: all that a node knows, by the part that owns it. Not for other packages.
 *
 * Times are in seconds of the steady clock; 0, if nothing else is said: not yet, or at once. What
 * the members point to is owned by the core.
 *
 * Invariants:
 *   - nothing here is read or changed outside the core's entry points (core.h), which set the time
 * first;
 *   - each group of members is owned by the modules named above it; others set only what tells of
 * work to do (scheduling_due, next_job_sweep_at, returns_due);
 *   - what belongs to a term is forgotten by tw_term_clear. */
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

struct tw_core {
    /* ---- context ----
     * Settings, time, random numbers, effects and calls under way; what the log counts. */
    tw_context context;
    tw_counters counters;

    /* ---- cluster ----
     * Which node leads and what this one may do: asked of the package at each use, never kept. */
    tw_cluster *cluster;

    /* ---- store (src/store, job_persistence.c) ----
     * The records of jobs on their way to the state service. */
    tw_store *store;

    /* ---- rate limits (rate_limits.c) ----
     * Parts of the limits of the cloud and the state service. Each call that is limited takes its
     * part first. */
    tw_rate_limiter cloud_limiter;           /* of the leader: calls to the cloud */
    tw_rate_limiter follower_read_limiter;   /* of a follower: jobs read for users */
    tw_rate_limiter follower_create_limiter; /* of a follower: jobs admitted without the leader */

    /* ---- jobs (job.c, job_class.c, user_requests.c, rejected_admissions.c) ----
     * A job is in `jobs` while anything points to it, and in no other list without being in `jobs`.
     * Once it has ended and left, only completed_jobs has it. */
    tw_job *jobs;                             /* by id */
    tw_job *active_jobs;                      /* in the order in which they were taken in */
    struct tw_completed_jobs *completed_jobs; /* NULL: none yet in this term */
    tw_job *cancelled_jobs; /* jobs being cancelled, and cancelled ones that may still run */
    tw_rejected_admission *rejected_admissions; /* by id */
    tw_job_class *job_classes;                  /* by name; kept over terms */
    double next_job_sweep_at;
    bool term_began_without_jobs; /* the state service had no job when this term began */
    double first_admission_at;    /* when the first job of such a term was admitted; 0: none was */

    /* ---- reading the records (leader_failover.c) ----
     * Chunks are read before records; the next page is asked for when the last one came. */
    char load_cursor[256]; /* last key of the last page; "": none came */
    double next_load_at;
    bool load_in_flight;
    bool loading_chunks;
    double answered_while_loading_at; /* last heartbeat answered meanwhile (worker_heartbeat.c) */

    /* ---- jobs that other nodes admitted (peer_admissions.c) ----
     * A job stays among the untaken until it is known here and its key was asked to be removed. */
    tw_expiring_name *unprocessed_admissions; /* ids, and when each is read again */
    uint64_t admission_watch_revision;        /* revision to watch from; 0: list the keys first */
    double next_admission_watch_at;
    bool admission_watch_in_flight;

    /* ---- machines (machine.c, worker_heartbeat.c, direct_commands.c, lease_expiry.c) ----
     * Every placement of a job is on one of them. */
    tw_machine *machines;               /* by name */
    size_t longest_machine_name_length; /* of all machines that were known in this process */
    char zone_names[TW_MAX_ZONES][TW_NAME_SIZE];
    int zone_count;
    tw_machine *command_queue;                /* machines that may be due for direct commands */
    int commands_in_flight;                   /* direct commands that were not answered yet */
    double next_command_scan_at;              /* not all machines are looked at before it */
    tw_wire_command *command_scratch;         /* scratch: the commands in hand */
    tw_wire_heartbeat_cache *heartbeat_cache; /* heartbeats as they came last */
    double next_heartbeat_sweep_at;
    uint64_t heartbeat_mark; /* scratch: mark of the placements that the heartbeat in hand names */
    double next_machine_scan_at;
    double unresponsive_since; /* since when unresponsive machines are counted */
    int unresponsive_count;
    struct {
        char zone[TW_NAME_SIZE];
        int all, silent; /* machines of the zone, and the silent ones of these */
        double until;    /* the zone is taken for cut off until then */
    } silent_zones[TW_MAX_ZONES];
    int silent_zone_count;

    /* ---- heartbeats at a node that does not lead (heartbeat_forwarder.c) ----
     * A heartbeat is answered once, and a held one before its worker gives up. */
    tw_held_heartbeat *held_heartbeats; /* those that wait for a leader */
    int held_count;
    double next_held_retry_at;
    double forwarding_paused_until;

    /* ---- scheduling (scheduler.h and its modules) ----
     * What is of one placement pass is worked out anew as the pass begins. */
    bool scheduling_due; /* something changed that a pass may act on */
    double next_pass_at, next_recheck_at;
    uint64_t pass_steps; /* machines looked at in passes over the fleet: what such a pass costs */
    double *team_cores_used, *team_gpus_used; /* per team: in use, or may be */
    int overdue_credit[TW_PRIORITY_PROD + 1]; /* per priority: above 0, the next room may go to the
                                                 job that has waited longest */
    tw_placement_failure *placement_failures; /* of this pass: kinds of tasks without room */
    int placement_failure_count, placement_failure_capacity;
    struct tw_job
        *reserving_gang; /* of this pass: the gang that machines are kept for; NULL: none */
    struct tw_candidate *candidates; /* of this pass: machines that it may use */
    int candidate_count, candidate_capacity;
    struct tw_score_table *score_tables; /* of this pass, see scores.c */
    int score_table_count, next_score_table;
    struct {
        double free_cores, free_gpus; /* shares, 0 to 1 */
    } zones[TW_MAX_ZONES + 1]; /* of the last pass; the last one: machines of no known zone */
    double cores_per_gpu;     /* most that a user of a GPU takes along, by the samples of classes */
    double memory_gb_per_gpu; /* the same of memory */

    /* ---- scaling (autoscaler.h and its modules) ----
     * Lists and returns are asked for one at a time. */
    tw_machine_type *machine_types; /* as the cloud lists them */
    int machine_type_count;
    double next_machine_types_at;
    bool machine_types_in_flight;
    bool machine_list_in_flight;
    int machine_list_has_more, machine_lists_read;
    char machine_list_cursor[TW_NAME_SIZE];
    double next_machine_list_at;
    tw_expiring_name *returned_machines; /* names of machines that this node returned */
    bool return_in_flight;
    bool returns_due; /* a machine is to be returned and may not have been asked for yet */
    double next_return_at;
    tw_capacity_offer *capacity_offers;
    int capacity_offer_count;
    tw_rental_request *rental_requests; /* requests whose machines are not all listed yet */
    uint64_t next_rental_request;
    double next_plan_at;
    double no_scale_out_until; /* nothing is rented before */
    double next_consolidation_at;
    double next_fleet_log_at;
};

#endif
