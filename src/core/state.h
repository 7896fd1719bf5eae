/* The core's state, grouped by the module that owns it. Not for other packages.
 *
 * Times are seconds of the steady clock. Unless stated otherwise, 0 means that the event has
 * not happened or that the work is due immediately. The core owns what the members point to.
 *
 * Invariants:
 *   - Only the core's entry points (core.h), which set the time first, and code called by them
 *     read or change this state.
 *   - Each group of members is changed only by the modules named above it. Other modules only
 *     set the members that request work: scheduling_due, next_job_sweep_at, returns_due.
 *   - tw_term_clear clears what belongs to a term. */
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

struct tw_core {
    /* ---- context ----
     * Settings, time, random numbers, effects and calls in flight; counters for the log. */
    tw_context context;
    tw_counters counters;

    /* ---- cluster ----
     * The leader and the permissions of this node. The core asks the cluster package each time and
     * caches neither. */
    tw_cluster *cluster;

    /* ---- store (src/store, job_persistence.c) ----
     * The job records that are being written to the state service. */
    tw_store *store;

    /* ---- rate limits (rate_limits.c) ----
     * This node's shares of the rate limits of the cloud and the state service. A limited call
     * must first acquire a token from its limiter. */
    tw_rate_limiter cloud_limiter;         /* leader: calls to the cloud */
    tw_rate_limiter follower_read_limiter; /* follower: reads of jobs for users */
    /* follower: jobs admitted without the leader */
    tw_rate_limiter follower_create_limiter;

    /* ---- jobs (job.c, job_class.c, user_requests.c, rejected_admissions.c) ----
     * A job is in `jobs` while anything points to it, and in another list only while it is in
     * `jobs`. After a job has ended and was removed, only completed_jobs contains it. */
    tw_job *jobs;        /* by id */
    tw_job *active_jobs; /* in order of admission */
    /* NULL: no job has completed in this term */
    struct tw_completed_jobs *completed_jobs;
    /* jobs being cancelled, and cancelled jobs that may still run */
    tw_job *cancelled_jobs;
    tw_rejected_admission *rejected_admissions; /* by id */
    tw_job_class *job_classes;                  /* by name; kept across terms */
    double next_job_sweep_at;
    /* the state service held no jobs when this term began */
    bool term_began_without_jobs;
    /* when the first job was admitted in a term that began without jobs; 0: none yet */
    double first_admission_at;

    /* ---- loading of records (leader_failover.c) ----
     * Chunks are read before records. The next page is requested after the previous one has
     * arrived. */
    char load_cursor[256]; /* last key of the last page; "": no page read yet */
    double next_load_at;
    bool load_in_flight;
    bool loading_chunks;
    /* last heartbeat answered while records were loading (worker_heartbeat.c) */
    double answered_while_loading_at;

    /* ---- jobs that other nodes admitted (peer_admissions.c) ----
     * A job stays unprocessed until this node has its record and has requested the removal of its
     * peer admission key. */
    /* ids, each with the time of its next read */
    tw_expiring_name *unprocessed_admissions;
    /* revision to watch from; 0: the keys must be listed first */
    uint64_t admission_watch_revision;
    double next_admission_watch_at;
    bool admission_watch_in_flight;

    /* ---- machines (machine.c, worker_heartbeat.c, direct_commands.c, lease_expiry.c) ----
     * Every placement of a job is on one of these machines. */
    tw_machine *machines; /* by name */
    /* over all machines known to this process so far */
    size_t longest_machine_name_length;
    char zone_names[TW_MAX_ZONES][TW_NAME_SIZE];
    int zone_count;
    tw_machine *command_queue; /* machines that may be due direct commands */
    int commands_in_flight;    /* direct commands without a response yet */
    /* earliest time of the next scan of all machines */
    double next_command_scan_at;
    /* scratch: commands of the message being built */
    tw_wire_command *command_scratch;
    tw_wire_heartbeat_cache *heartbeat_cache; /* the last heartbeat of each worker, parsed */
    double next_heartbeat_sweep_at;
    /* scratch: mark of the placements that the heartbeat being processed lists */
    uint64_t heartbeat_mark;
    /* counts changes of what decides whether a gang's machines can be sent commands */
    uint64_t machine_reach_version;
    /* number of terminations logged by the input at that time */
    int terminations_logged;
    double terminations_logged_at;
    uint64_t freed_placement_count; /* over the life of this process */
    double next_machine_scan_at;
    /* start of the period over which unresponsive machines are counted */
    double unresponsive_counted_since;
    int unresponsive_count;
    struct {
        char zone[TW_NAME_SIZE];
        /* machines of the zone, and how many of them are silent */
        int all, silent;
        double until; /* the zone is considered partitioned until then */
    } silent_zones[TW_MAX_ZONES];
    int silent_zone_count;

    /* ---- heartbeats received by a node that does not lead (heartbeat_forwarder.c) ----
     * Each heartbeat is answered exactly once, and a held one before its worker times out. */
    tw_held_heartbeat *held_heartbeats; /* heartbeats waiting for a leader */
    int held_count;
    double next_held_retry_at;
    double forwarding_paused_until;

    /* ---- scheduling (scheduler.h and its modules) ----
     * Members marked "of this pass" are recomputed when a pass starts. */
    bool scheduling_due; /* a change occurred that a pass may act on */
    double next_pass_at, next_recheck_at;
    /* machines and bins examined in passes over the fleet: a measure of the cost of the passes */
    uint64_t pass_steps;
    /* per team: amounts in use or possibly in use */
    double *team_cores_used, *team_gpus_used;
    /* per priority: if above 0, the next placement may go to the job that has waited longest */
    int overdue_credit[TW_PRIORITY_PROD + 1];
    /* of this pass: kinds of tasks that no machine has capacity for */
    tw_placement_failure *placement_failures;
    int placement_failure_count, placement_failure_capacity;
    /* of this pass: the gang for which machines are reserved; NULL: none */
    struct tw_job *reserving_gang;
    /* of this pass: machines that may get tasks */
    struct tw_candidate *candidates;
    int candidate_count, candidate_capacity;
    /* of this pass, see scores.c */
    struct tw_score_table *score_tables;
    int score_table_count, next_score_table;
    /* Free shares, 0 to 1, as of the start of the last pass, by zone index; the last element is for
     * machines whose zone has no index. */
    struct {
        double free_cores, free_gpus;
    } zones[TW_MAX_ZONES + 1];
    /* largest number of cores per GPU in the job classes' samples */
    double cores_per_gpu;
    /* largest memory per GPU in the job classes' samples */
    double memory_gb_per_gpu;

    /* ---- scaling (autoscaler.h and its modules) ----
     * At most one list request and one return request are in flight. */
    tw_machine_type *machine_types; /* from the cloud's list */
    int machine_type_count;
    double next_machine_types_at;
    bool machine_types_in_flight;
    bool machine_list_in_flight;
    int machine_list_has_more, machine_lists_read;
    char machine_list_cursor[TW_NAME_SIZE];
    double next_machine_list_at;
    /* names of machines that this node returned */
    tw_expiring_name *returned_machines;
    bool return_in_flight;
    /* a machine is to be returned whose return may not have been requested yet */
    bool returns_due;
    double next_return_at;
    tw_capacity_offer *capacity_offers;
    int capacity_offer_count;
    /* requests whose machines are not all in the cloud's list yet */
    tw_rental_request *rental_requests;
    uint64_t next_rental_request;
    double next_plan_at;
    double no_scale_out_until; /* no machine is rented before this time */
    double next_consolidation_at;
    double next_fleet_log_at;
};

#endif
