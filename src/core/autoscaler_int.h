/* What the autoscaler's modules share: the bins that a plan packs, and the offers that it rents
 * from. Not for the other modules of the core. Times are as in autoscaler.h. */
#ifndef TW_CORE_AUTOSCALER_INT_H
#define TW_CORE_AUTOSCALER_INT_H
#include "core/core_int.h"
#include <stdbool.h>

/* bin_packing.c */
/* Notes that the tasks of the gang that was packed last are not placed before there is room for all
 * of it: what they take of the bins stays taken, but GPUs that they would use still count as free
 * for tw_bin_leaves_gpus. */
void tw_bins_mark_incomplete_gang(tw_bins *bins, const tw_wire_job *spec);
/* Adds a bin at the end for the caller to fill. It is valid until the next one is added. */
tw_bin *tw_bins_add(tw_bins *bins);
/* The index of the first bin that may be of use to a task of the job. Those before it are too full,
 * not allowed, or were tried by placement passes. bins->count: none. */
int tw_bins_first_useful(tw_bins *bins, const struct tw_job *job);
/* Where to begin for the job in tw_expected_releases_take. Valid until tw_bins_first_useful or this
 * function is called for another job. */
int *tw_bins_release_cursor(tw_bins *bins, const struct tw_job *job);
/* Frees the bins' items and starts. */
void tw_bins_free(tw_bins *bins);

/* capacity_offers.c */
/* From which offers a task may be rented for. */
typedef struct tw_offer_filter {
    const char *excluded_zone; /* NULL: none */
    const char *required_zone; /* NULL: any zone will do */
    bool for_headroom;         /* room without a task yet: on GPU machines only if it needs GPUs */
} tw_offer_filter;
/* The offer that a request is for. Offers stay, so a request always has one; NULL: none. */
tw_capacity_offer *tw_offer_of_request(const tw_core *core, const tw_rental_request *request);
/* How many of the job's tasks an empty machine of the type holds, a whole number. */
double tw_offer_task_count(const tw_wire_machine_type *type, const tw_wire_job *spec);
/* How many times as much as its price a machine of the offer counts: the factors of its type's
 * machines in all zones and of the offer's own, multiplied. */
double tw_offer_boot_cost_factor(const tw_core *core, const tw_capacity_offer *offer);
/* The offer at which a task costs least. types: machine types, as bits. NULL: there is none. */
tw_capacity_offer *tw_offer_find_cheapest(tw_core *core, const tw_wire_job *spec, uint32_t types,
                                          const tw_offer_filter *filter);
/* Adds a bin for a machine that is to be rented from the offer. Valid as tw_bins_add says. */
tw_bin *tw_offer_add_bin(tw_core *core, tw_bins *bins, tw_capacity_offer *offer);
/* Turns what the plan wants of each offer into what is to be asked of the cloud: machines that were
 * about to be returned are taken first. */
void tw_offers_update_wanted(tw_core *core);

/* boot_record.c */
/* How many times as much as its price a machine counts in the choice of an offer, since such
 * machines did not come up lately; 1 or more. startup_s: of its type. */
double tw_boot_record_cost_factor(const tw_boot_record *record, double now, double startup_s);

/* autoscaler_plan.c */
/* How long it takes at least until a machine that is rented now runs a task: to boot and to fetch
 * the image. types: that the task may use, as bits. INFINITY: there are none. */
double tw_autoscaler_rental_to_start_s(const tw_core *core, uint32_t types, double image_gb);
/* Lets a job without GPUs use GPU machines that are there, and the cores that are kept for their
 * GPUs, if best is an offer of a GPU machine, or NULL: no other machine can be rented for it; or if
 * a machine like best was rented while the job waited, and its boot is overdue. Returns whether
 * this changed what the job may use. */
bool tw_autoscaler_allow_gpu_machines(tw_core *core, tw_job *job, const tw_capacity_offer *best);

/* autoscaler_gang.c */
/* When a gang would start on room that is given back: when the last of its count tasks has room.
 * That room is taken. INFINITY: there is not enough. */
double tw_autoscaler_estimate_gang_start(tw_core *core, tw_bins *bins, const tw_job *job,
                                         tw_expected_releases *releases, int count);
/* Lets a gang that would start late, at start_at, on room that is given back use GPU machines, as
 * tw_autoscaler_allow_gpu_machines. */
void tw_autoscaler_allow_gpu_machines_for_late_gang(tw_core *core, tw_job *job, double start_at);
/* The name of the zone for a gang that must stand in a single one: of those in which the rest can
 * be rented, or all task_count tasks have room, the one where the rest is most likely to boot, then
 * the one with room for most tasks. NULL: there is none. */
const char *tw_autoscaler_choose_gang_zone(tw_core *core, tw_bins *bins, const tw_job *job,
                                           int task_count);

/* autoscaler_headroom.c */
/* Takes room in the bins for the arrivals that are expected of the class, and wants machines for
 * what is missing.  fleet_price: of all the machines there are or will be, as the cloud lists
 * prices.
 */
void tw_autoscaler_reserve_headroom(tw_core *core, tw_bins *bins, const tw_job_class *class,
                                    double fleet_price);

/* rental_requests.c */
/* Sends the rental requests that are due: first the unanswered ones again, then new ones for what
 * is wanted of the offers. The cloud takes few calls: what is wanted gathers until a request may be
 * sent. */
void tw_rental_requests_send(tw_core *core);
/* Takes the response to a rental request, which ends unless its answer is still unknown. */
void tw_rental_requests_response(tw_core *core, const tw_call *call, int status, const char *body,
                                 size_t length);

/* machine_returns.c */
/* Asks the cloud to take back machines that are wanted back. */
void tw_machine_returns_send(tw_core *core);
/* Takes the response: forgets the machines, or has their return asked for again. */
void tw_machine_returns_response(tw_core *core, const tw_call *call, int status);

/* fleet_log.c */
/* Logs for the operators how many machines there are of each type, and how full they are. */
void tw_fleet_log(const tw_core *core);

/* machine_types.c */
/* Takes the cloud's list of machine types: the first one makes types and offers, later ones change
 * prices only. */
void tw_machine_types_response(tw_core *core, const char *body, size_t length);

/* machine_list.c */
/* Takes a page of the cloud's list of the machines that we hold. status: of HTTP, or 0 if there was
 * none. */
void tw_machine_list_page(tw_core *core, int status, const char *body, size_t length);
/* Asks for the next page when it is due. */
void tw_machine_list_tick(tw_core *core);

#endif
