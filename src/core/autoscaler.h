/* Interface of the autoscaler for the other modules of the core. The autoscaler rents machines,
 * decommissions and returns them. This header declares the capacity offers of the cloud, the rental
 * requests, and the bins into which a plan packs tasks; autoscaler_int.h declares what only the
 * autoscaler's own modules use. Not for other packages.
 *
 * Invariants: the name of a rental request is never reused; while a plan packs tasks, a bin's free
 * capacity only decreases, except in tw_bin_remove_task; an offer keeps its index.
 *
 * All times are seconds of the monotonic clock (core->context.now); names that end in _at are
 * points in time, names that end in _s are durations in seconds. */
#ifndef TW_CORE_AUTOSCALER_H
#define TW_CORE_AUTOSCALER_H
#include "core/capacity.h"
#include "core/job.h"
#include "core/machine.h"
#include <stdbool.h>

#define TW_MAX_RENTAL 50 /* the protocol's limit of machines per rental request */

/* A capacity offer of the cloud: a machine type in one zone, either as spot or as on-demand
 * machines. */
typedef struct tw_capacity_offer {
    int type_index; /* index in core->machine_types */
    int zone_index; /* index in the machine type's list of zones, not in core->zone_names */
    bool spot;
    double refused_until; /* no machine is requested from the offer before this time */
    int refusal_count;    /* consecutive requests that were refused or only partly granted */
    int machine_count;   /* scratch of a plan: number of existing, requested and planned machines */
    int wanted_count;    /* machines that the latest plan needs and that are not requested yet */
    double wanted_since; /* when wanted_count became positive; 0: wanted_count is 0 */
    tw_boot_record boots;
} tw_capacity_offer;

/* A bin of the plan: the free capacity of an existing, a requested or a planned machine. */
typedef struct tw_bin {
    tw_machine *machine;      /* NULL: the machine does not exist yet */
    tw_capacity_offer *offer; /* offer of a planned machine; NULL for other machines */
    int type_index;           /* index in core->machine_types */
    bool spot;
    bool occupied;                         /* a task runs on the machine or may run on it */
    bool considered_by_passes;             /* earlier placement passes could use the machine */
    const char *zone;                      /* owned by the machine or by its type */
    tw_capacity free_capacity;             /* not used by any task */
    tw_capacity held_for_incomplete_gangs; /* reserved for gangs whose tasks do not all fit */
    bool blocked_by_probation; /* the machine is on probation and accepts no further task */
    int packed_count;          /* how many tasks in this bin belong to the job packed last */
} tw_bin;

/* The bins of a plan. They own no machines or offers. The caller frees them with tw_bins_free. */
typedef struct tw_bins {
    tw_bin *items;
    int count, capacity;
    struct tw_search_position
        *positions; /* where searches begin, by task shape; see bin_packing.c */
    int position_count, position_capacity;
} tw_bins;

/* Capacity that a running batch task is expected to release when it ends. */
typedef struct tw_expected_release {
    double available_at;
    tw_bin bin; /* the released capacity plus what is already free on the machine */
} tw_expected_release;

typedef struct tw_expected_releases {
    tw_expected_release *items; /* ordered by available_at; NULL: not computed yet */
    int count;
} tw_expected_releases;

/* A rental request whose result is not known yet. It is repeated under the same name until the
 * cloud answers it, because the cloud gives the same answer to a repeated name. */
typedef struct tw_rental_request {
    char name[TW_NAME_SIZE];
    int type_index, zone_index, machine_count;
    bool spot, in_flight;
    double next_attempt_at;
    struct tw_rental_request *prev, *next;
} tw_rental_request;

/* A rejected submission that the client is expected to repeat. The plan rents machines for it in
 * the meantime. */
typedef struct tw_rejected_admission {
    char id[TW_WIRE_ID_SIZE];
    tw_job job; /* not one of the core's jobs: the submission has not been accepted */
    double expires_at;
    UT_hash_handle hh;
} tw_rejected_admission;

/* autoscaler_plan.c */
/* Computes which machines to rent, to decommission and to return. */
void tw_autoscaler_plan(tw_core *core);

/* reserve.c */
/* Computes, at the start of a placement pass, how many task slots to reserve for each job class and
 * how many are free. */
void tw_reserve_update(tw_core *core);
/* Returns whether a task of the job can be placed on the machine without using the capacity that is
 * reserved for other classes. True for batch jobs and for jobs for which machines can be rented
 * (no_capacity_offered is false). */
bool tw_reserve_allows(const tw_core *core, const tw_machine *machine, const tw_job *job);
/* Subtracts the slots that a task of the job uses up from those that are free for each class. The
 * caller calls this before it places the task on the machine. */
void tw_reserve_record_placement(tw_core *core, const tw_machine *machine, const tw_job *job);

/* bin_packing.c */
/* Returns whether a task fits into the bin's free capacity and the bin's machine accepts another
 * task. */
bool tw_bin_fits(const tw_bin *bin, const tw_wire_job *spec);
/* Returns whether the job may use the bin's machine: the machine's type is in types (a bit mask),
 * the job accepts spot machines if the machine is one, and the machine is in the zone that the job
 * requires, if any. */
bool tw_bin_is_allowed(const tw_bin *bin, const tw_wire_job *spec, uint32_t types);
/* Returns whether the bin's free GPUs keep enough cores and memory after a task is added; see
 * tw_constraints_leave_gpus_usable. may_use_gpu_machines: the job may use the cores and memory that
 * are kept for GPUs, so the result is true. */
bool tw_bin_leaves_gpus(const tw_core *core, const tw_bin *bin, const tw_wire_job *spec,
                        bool may_use_gpu_machines);
/* Returns how many tasks of the specification fit into the bin, at most limit. */
int tw_bin_count_tasks(const tw_core *core, const tw_bin *bin, const tw_wire_job *spec,
                       bool may_use_gpu_machines, int limit);
/* Subtracts a task's resources from the bin's free capacity. */
void tw_bin_add_task(tw_bin *bin, const tw_wire_job *spec);
/* Adds a task's resources back to the bin's free capacity. */
void tw_bin_remove_task(tw_bin *bin, const tw_wire_job *spec);

/* expected_releases.c */
/* Lists the capacity that running batch tasks are expected to release, ordered by time. The caller
 * frees the list with tw_expected_releases_free. */
void tw_expected_releases_init(tw_core *core, tw_expected_releases *releases);
/* Reserves the earliest expected release that a task of the job can use, and returns when the task
 * would start there, or INFINITY if no release suffices. *first is the index at which the search
 * begins. The function advances it past releases that no task of this shape can use; jobs of the
 * same shape share it, since the capacity of the releases only decreases. */
double tw_expected_releases_take(tw_core *core, tw_expected_releases *releases, const tw_job *job,
                                 int *first);
void tw_expected_releases_free(tw_expected_releases *releases);

/* scale_in.c */
/* Updates the time since which each machine has been idle, and marks for return the machines that
 * have been idle for too long. */
void tw_scale_in_return_idle_machines(tw_core *core);
/* Cancels the decommissioning of machines that a pending job may use. */
void tw_scale_in_cancel_decommissions(tw_core *core);
/* Cancels the decommissioning of the machine if a gang needs it for its next attempt. Returns
 * whether it was cancelled. */
bool tw_scale_in_keep_for_gang(tw_core *core, tw_machine *machine);
/* Decommissions machines, one at a time (a few in a large fleet), whose replicas fit on other
 * machines. bins: the bins of all machines; the function subtracts the capacity for the moved tasks
 * from them. */
void tw_scale_in_consolidate(tw_core *core, tw_bins *bins);

/* capacity_offers.c */
/* Returns the offer with the machine's type, zone and pricing, or NULL if there is none. */
tw_capacity_offer *tw_offer_of_machine(const tw_core *core, const tw_machine *machine);
/* Returns the name of the offer's zone. The machine type owns the string. */
const char *tw_offer_zone(const tw_core *core, const tw_capacity_offer *offer);

/* autoscaler.c */
/* Runs the plan when it is due, and sends the requests to the cloud that are due. */
void tw_autoscaler_tick(tw_core *core);
/* Handles the cloud's response to a call of the autoscaler. status: the HTTP status, or 0 if there
 * was no response. */
void tw_autoscaler_response(tw_core *core, tw_call *sent, int status, const char *body,
                            size_t length);

#endif
