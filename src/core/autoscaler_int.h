/* What the files of provisioning share: the room that a plan packs, and the offers it rents from.
 * Not for the other files of the core. */
#ifndef TW_CORE_AUTOSCALER_INT_H
#define TW_CORE_AUTOSCALER_INT_H
#include "core/core_int.h"
#include <stdbool.h>

/* bin_packing.c */
/* An empty bin at the end; it is valid until the next one is added. */
tw_bin *tw_bins_add(tw_bins *bins);
/* The first bin that may be of use to a job: those before it are too full or not allowed. */
int tw_bins_first_useful(tw_bins *bins, const struct tw_job *job);
/* The same for room that is given back, for tw_expected_releases_take. */
int *tw_bins_first_release(tw_bins *bins, const struct tw_job *job);
void tw_bins_free(tw_bins *bins);

/* Which offers a task may be rented from. */
typedef struct tw_offer_filter {
    const char *excluded_zone; /* NULL: any */
    const char *required_zone; /* NULL: any */
    bool for_headroom; /* room without a task yet: none on GPU machines unless it needs GPUs */
} tw_offer_filter;

/* capacity_offers.c */
/* How many of these a machine of the type holds. */
double tw_offer_task_count(const tw_wire_machine_type *type, const tw_wire_job *spec);
/* The offer at which a task costs least, NULL: none. */
tw_capacity_offer *tw_offer_best(tw_core *core, const tw_wire_job *spec, uint32_t types,
                                 const tw_offer_filter *filter);
/* A bin for a machine that is to be rented. */
tw_bin *tw_offer_add_bin(tw_core *core, tw_bins *bins, tw_capacity_offer *offer);
/* Turns what the plan wants of each offer into what is asked of the cloud. */
void tw_offers_update_wanted(tw_core *core);

/* autoscaler_plan.c */
/* When a machine rented now would run a task, at the soonest, from now. */
double tw_autoscaler_rental_start_s(const tw_core *core, uint32_t types, double image_gb);
/* Work without GPUs for which nothing but GPU machines can be rented may use those that are there,
 * and the cores that are kept for their GPUs. Returns whether it may only now. */
bool tw_autoscaler_open_gpu_machines(tw_core *core, tw_job *job, const tw_capacity_offer *best);

/* autoscaler_gang.c */
/* When a gang would start on room that is given back: with the last of so many tasks. */
double tw_autoscaler_gang_start(tw_core *core, tw_bins *bins, const tw_job *job,
                                tw_expected_releases *releases, int count);
/* A gang that would start late on room that is given back takes what there is. */
void tw_autoscaler_gang_avoid_late_start(tw_core *core, tw_job *job, double start_at);
/* The zone for a gang that must stand in one: with room for all of it, else the one with the most
 * of those where the rest can be rented. NULL: none. */
const char *tw_autoscaler_gang_zone(tw_core *core, tw_bins *bins, const tw_job *job,
                                    int task_count);

/* autoscaler_headroom.c */
/* Keeps spare room for the class, and wants machines for what is missing. fleet_price: of all the
 * room there is or will be. */
void tw_autoscaler_keep_headroom(tw_core *core, tw_bins *bins, const tw_job_class *class,
                                 double fleet_price);

/* machine_types.c */
void tw_machine_types_response(tw_core *core, const char *body, size_t length);

/* machine_list.c */
void tw_machine_list_page(tw_core *core, int status, const char *body, size_t length);
void tw_machine_list_tick(tw_core *core);

#endif
