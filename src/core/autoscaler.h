/* What the whole core may ask of the autoscaler, which rents machines, empties them and returns
 * them: the cloud's offers, the requests for machines, and the bins that a plan packs. What only
 * the autoscaler's own modules share stands in autoscaler_int.h. Not for other packages.
 *
 * Invariants: the name of a rental request is never used twice; while a plan packs, a bin's free
 * amounts only get less, apart from tw_bin_remove_task; an offer, once made, stays at its index.
 *
 * All times are seconds of the steady clock (core->context.now); names that end in _at are points
 * in time, names that end in _s are durations in seconds. */
#ifndef TW_CORE_AUTOSCALER_H
#define TW_CORE_AUTOSCALER_H
#include "core/capacity.h"
#include "core/job.h"
#include "core/machine.h"
#include <stdbool.h>

#define TW_MAX_RENTAL 50 /* machines in one request to the cloud, by the protocol */

/* An offer of the cloud: a machine type in a zone, as spot or on-demand machines. */
typedef struct tw_capacity_offer {
    int type_index; /* in core->machine_types */
    int zone_index; /* in the type's own list of zones, not in core->zone_names */
    bool spot;
    double refused_until; /* nothing is asked of the offer before this */
    int refusal_count;    /* requests in a row that were refused or granted in part */
    int machine_count;    /* scratch of a plan: machines of the type in the zone, there or coming */
    int wanted_count;     /* machines that the last plan wants and that aren't asked for yet */
    double wanted_since;  /* 0: none is wanted */
    tw_boot_record boots;
} tw_capacity_offer;

/* A bin of the plan: the free room of a machine, or of one that is to come. */
typedef struct tw_bin {
    tw_machine *machine;      /* NULL: it is to come */
    tw_capacity_offer *offer; /* from which this plan rents it; NULL: it is there or asked for */
    int type_index;           /* in core->machine_types */
    bool spot;
    bool occupied;                         /* a task runs on the machine, or may */
    bool considered_by_passes;             /* placement passes have had the chance to use it */
    const char *zone;                      /* belongs to the machine or to its type */
    tw_capacity free_capacity;             /* what is free */
    tw_capacity held_for_incomplete_gangs; /* taken from room for gangs that don't have room for all
                                              tasks */
    bool is_full;                          /* on probation: its machine takes no other task now */
    int packed_count;                      /* tasks of the job that was packed last */
} tw_bin;

/* The bins of a plan, which own no machines or offers. Freed with tw_bins_free. */
typedef struct tw_bins {
    tw_bin *items;
    int count, capacity;
    struct tw_bin_start *starts; /* where packing begins for a shape of task, see bin_packing.c */
    int start_count, start_capacity;
} tw_bins;

/* Room that a running batch task is expected to give back when it ends. */
typedef struct tw_expected_release {
    double available_at;
    tw_bin bin; /* with what is free on the machine already */
} tw_expected_release;

typedef struct tw_expected_releases {
    tw_expected_release *items; /* the earliest first; NULL: not listed yet */
    int count;
} tw_expected_releases;

/* A rental request that the cloud has not answered conclusively. It is sent again under the same
 * name until it has, since the cloud gives the same answer to the same name. */
typedef struct tw_rental_request {
    char name[TW_NAME_SIZE];
    int type_index, zone_index, machine_count;
    bool spot, in_flight;
    double next_attempt_at;
    struct tw_rental_request *prev, *next;
} tw_rental_request;

/* A rejected submission that is expected to come again: machines are rented for it meanwhile. */
typedef struct tw_rejected_admission {
    char id[TW_WIRE_ID_SIZE];
    tw_job job; /* not one of the core's jobs: nothing of it is accepted */
    double expires_at;
    UT_hash_handle hh;
} tw_rejected_admission;

/* autoscaler_plan.c */
/* Works out which machines to rent, to empty and to return. */
void tw_autoscaler_plan(tw_core *core);

/* reserve.c */
/* Works out, as a pass begins, how much room to keep for each class and how much there is. */
void tw_reserve_update(tw_core *core);
/* Whether a task of the job on the machine leaves the room that is kept for other classes. */
bool tw_reserve_allows(const tw_core *core, const tw_machine *machine, const tw_job *job);
/* Notes the room that a task of the job takes; called before it is placed on the machine. */
void tw_reserve_record_placement(tw_core *core, const tw_machine *machine, const tw_job *job);

/* bin_packing.c */
/* Whether a task fits into what is free in the bin, and its machine takes another one. */
bool tw_bin_fits(const tw_bin *bin, const tw_wire_job *spec);
/* Whether a job may use the bin's machine: its type is one of types (bits), it is no spot machine
 * if the job takes none, and it is in the job's zone if it names one. */
bool tw_bin_is_allowed(const tw_bin *bin, const tw_wire_job *spec, uint32_t types);
/* Whether a task leaves the bin's free GPUs their cores and memory, as tw_constraints_leave_gpus.
 * any_machine: the job may use what is kept for GPUs. */
bool tw_bin_leaves_gpus(const tw_core *core, const tw_bin *bin, const tw_wire_job *spec,
                        bool any_machine);
/* Takes a task's amounts from what is free in the bin. */
void tw_bin_add_task(tw_bin *bin, const tw_wire_job *spec);
/* Gives a task's amounts back to the bin. */
void tw_bin_remove_task(tw_bin *bin, const tw_wire_job *spec);

/* expected_releases.c */
/* Lists the room that running batch tasks are expected to give back, the earliest first. The caller
 * frees the list with tw_expected_releases_free. */
void tw_expected_releases_init(tw_core *core, tw_expected_releases *releases);
/* Takes the earliest room that a task of the job can use, and returns when the task would start in
 * it. INFINITY: there is none. *first: the index to begin at, advanced past room that no task of
 * this shape can use; jobs of the same shape share it, as room only gets less. */
double tw_expected_releases_take(tw_core *core, tw_expected_releases *releases, const tw_job *job,
                                 int *first);
void tw_expected_releases_free(tw_expected_releases *releases);

/* scale_in.c */
/* Notes which machines are idle, and wants those returned that have been idle for too long. */
void tw_scale_in_return_idle_machines(tw_core *core);
/* Puts machines that are being emptied back into use if a job waits that may use them. */
void tw_scale_in_cancel_decommissions(tw_core *core);
/* Puts a machine that was emptied back into use if a gang needs it for its next attempt. Returns
 * whether it did. */
bool tw_scale_in_keep_for_gang(tw_core *core, tw_machine *machine);
/* Empties machines whose replicas fit on others, one after the other, so that they are returned.
 * bins: of all the machines there are; room in them is taken for the tasks that move. */
void tw_scale_in_consolidate(tw_core *core, tw_bins *bins);

/* capacity_offers.c */
/* The offer that the machine was, or would have been, rented from. NULL: there is none. */
tw_capacity_offer *tw_offer_of_machine(const tw_core *core, const tw_machine *machine);
/* The name of the offer's zone. It belongs to the machine type. */
const char *tw_offer_zone(const tw_core *core, const tw_capacity_offer *offer);

/* autoscaler.c */
/* Plans when it is due, and sends the requests to the cloud that are due. */
void tw_autoscaler_tick(tw_core *core);
/* Takes the cloud's response to a call of the autoscaler. status: of HTTP, or 0 if there was none.
 */
void tw_autoscaler_response(tw_core *core, tw_call *sent, int status, const char *body,
                            size_t length);

#endif
