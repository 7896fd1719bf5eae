/* Declarations that the autoscaler's modules share: bins, capacity offers and the calls to the
 * cloud. Not for the other modules of the core. autoscaler.h explains the units of time. */
#ifndef TW_CORE_AUTOSCALER_INT_H
#define TW_CORE_AUTOSCALER_INT_H
#include "core/core_int.h"
#include <stdbool.h>

/* bin_packing.c */
/* Records that the gang that was packed last cannot start, because not all of its tasks fit. The
 * capacity of its packed tasks stays reserved, but tw_bin_leaves_gpus counts their GPUs as free. */
void tw_bins_mark_incomplete_gang(tw_bins *bins, const tw_wire_job *spec);
/* Appends a bin, which the caller fills in. The pointer is valid until the next bin is added. */
tw_bin *tw_bins_add(tw_bins *bins);
/* Returns the index of the first bin that may hold a task of the job, or bins->count if there is
 * none. The bins before it are too full, not allowed for the job, or have been considered by
 * placement passes. */
int tw_bins_first_useful(tw_bins *bins, const struct tw_job *job);
/* Returns the index at which tw_expected_releases_take begins its search for the job. The pointer
 * is valid until this function or tw_bins_first_useful is called for another job. */
int *tw_bins_release_cursor(tw_bins *bins, const struct tw_job *job);
/* Frees the arrays that the bins own. */
void tw_bins_free(tw_bins *bins);

/* capacity_offers.c */
/* Restricts the offers from which machines are rented for a task. */
typedef struct tw_offer_filter {
    const char *excluded_zone; /* NULL: no zone is excluded */
    const char *required_zone; /* NULL: any zone is allowed */
    bool for_headroom;         /* GPU machines are rented only for classes that need GPUs */
} tw_offer_filter;
/* Returns the offer from which the request asks for machines. NULL does not occur for requests in
 * core->rental_requests, since offers are never removed. */
tw_capacity_offer *tw_offer_of_request(const tw_core *core, const tw_rental_request *request);
/* Returns how many of the job's tasks fit on an empty machine of the type, as a whole number. */
double tw_offer_task_count(const tw_wire_machine_type *type, const tw_wire_job *spec);
/* Returns the factor by which the price of a machine of the offer is multiplied to account for
 * failed boots: the factor of the machine type in all zones times the factor of the offer. */
double tw_offer_boot_cost_factor(const tw_core *core, const tw_capacity_offer *offer);
/* Returns the offer with the lowest cost per task, or NULL if no offer is allowed. types: the
 * allowed machine types, as a bit mask. */
tw_capacity_offer *tw_offer_find_cheapest(tw_core *core, const tw_wire_job *spec, uint32_t types,
                                          const tw_offer_filter *filter);
/* Adds a bin for a machine that is to be rented from the offer. The pointer is valid as for
 * tw_bins_add. */
tw_bin *tw_offer_add_bin(tw_core *core, tw_bins *bins, tw_capacity_offer *offer);
/* Converts the number of machines that the plan needs of each offer into the number to request from
 * the cloud. Machines that are being decommissioned are reused first. */
void tw_offers_update_wanted(tw_core *core);

/* boot_record.c */
/* Returns the factor, at least 1, by which a machine's price is multiplied in the choice of an
 * offer because recent boots of such machines failed. startup_s: the startup time of the machine
 * type. */
double tw_boot_record_cost_factor(const tw_boot_record *record, double now, double startup_s);

/* autoscaler_plan.c */
/* Returns the estimated time from renting a machine until it runs a task, that is for the boot and
 * the image fetch, on the fastest of the allowed types. types: the allowed machine types, as a bit
 * mask. INFINITY: no type is allowed. */
double tw_autoscaler_rental_to_start_s(const tw_core *core, uint32_t types, double image_gb);
/* Allows a job without GPUs to use existing GPU machines and the cores that are kept for their
 * GPUs. This happens if best is NULL or an offer of a GPU machine, that is if no other machine can
 * be rented for the job; or if the boot of a machine like best, rented while the job was waiting,
 * is overdue. Returns whether the job's permission changed. */
bool tw_autoscaler_allow_gpu_machines(tw_core *core, tw_job *job, const tw_capacity_offer *best);

/* autoscaler_gang.c */
/* Returns when a gang would start on capacity that is expected to be released, that is when the
 * last of its count tasks would start, and reserves that capacity. INFINITY: the releases do not
 * suffice. */
double tw_autoscaler_estimate_gang_start(tw_core *core, tw_bins *bins, const tw_job *job,
                                         tw_expected_releases *releases, int count);
/* Allows a gang to use GPU machines, as tw_autoscaler_allow_gpu_machines does, if start_at, its
 * estimated start on released capacity, is too late for its start deadline. */
void tw_autoscaler_allow_gpu_machines_for_late_gang(tw_core *core, tw_job *job, double start_at);
/* Returns the name of the zone for a gang that requires a single zone, or NULL if there is none. A
 * zone qualifies if all task_count tasks fit there or machines for the others can be rented there.
 * Preferred is the zone whose offers have the lowest boot cost factor, then the one with capacity
 * for most tasks. */
const char *tw_autoscaler_choose_gang_zone(tw_core *core, tw_bins *bins, const tw_job *job,
                                           int task_count);

/* autoscaler_headroom.c */
/* Reserves capacity in the bins for the expected arrivals of the class, and plans machines for the
 * tasks that do not fit. fleet_price: the price of all existing and planned machines, in the unit
 * of the cloud's price list. */
void tw_autoscaler_reserve_headroom(tw_core *core, tw_bins *bins, const tw_job_class *class,
                                    double fleet_price);

/* rental_requests.c */
/* Sends the rental requests that are due: first repeats of unanswered requests, then new requests
 * for the machines that the plan wants. The cloud limits the rate of calls, so wanted machines
 * accumulate until a request may be sent. */
void tw_rental_requests_send(tw_core *core);
/* Handles the response to a rental request. The request is removed unless its result is still
 * unknown. */
void tw_rental_requests_response(tw_core *core, const tw_call *call, int status, const char *body,
                                 size_t length);

/* machine_returns.c */
/* Sends one request to the cloud that returns the machines marked with return_wanted. */
void tw_machine_returns_send(tw_core *core);
/* Handles the response to a return request: removes the returned machines, or schedules another
 * request if the return failed. */
void tw_machine_returns_response(tw_core *core, const tw_call *call, int status);

/* fleet_log.c */
/* Logs, for operators, the number of machines of each type and their utilization. */
void tw_fleet_log(const tw_core *core);

/* machine_types.c */
/* Handles the cloud's list of machine types. The first list creates the types and offers; later
 * lists only update prices. */
void tw_machine_types_response(tw_core *core, const char *body, size_t length);

/* machine_list.c */
/* Handles a page of the cloud's list of rented machines. status: the HTTP status, or 0 if there was
 * no response. */
void tw_machine_list_page(tw_core *core, int status, const char *body, size_t length);
/* Requests the next page of the list of rented machines when it is due. */
void tw_machine_list_tick(tw_core *core);

#endif
