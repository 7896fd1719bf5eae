/* What the files of provisioning share: the room that a plan packs, and the offers it rents from.
 * Not for the other files of the core. */
#ifndef TW_PROVISION_INT_H
#define TW_PROVISION_INT_H
#include "core/core_int.h"

/* bins.c */
/* An empty bin at the end; it is valid until the next one is added. */
bin *tw_bins_add(bins *bins);
/* The first bin that may be of use to a job: those before it are too full or not allowed. */
int tw_bins_first(bins *bins, const struct job *job);
/* The same for room that is given back, for tw_drain_start. */
int *tw_bins_first_drained(bins *bins, const struct job *job);
void tw_bins_free(bins *bins);

/* Which offers a task may be rented from. */
typedef struct tw_offer_filter {
    const char *not_zone;  /* NULL: any */
    const char *only_zone; /* NULL: any */
    int spare;             /* room without a task yet: none on GPU machines unless it needs GPUs */
} tw_offer_filter;

/* offers.c */
/* How many of these a machine of the type holds. */
double tw_offer_holds(const tw_wire_flavor *type, const tw_wire_job *spec);
/* The offer at which a task costs least, NULL: none. */
offer *tw_offer_best(tw_core *core, const tw_wire_job *spec, uint32_t types,
                     const tw_offer_filter *filter);
/* A bin for a machine that is to be rented. */
bin *tw_offer_bin(tw_core *core, bins *bins, offer *offer);
/* Turns what the plan wants of each offer into what is asked of the cloud. */
void tw_offers_settle(tw_core *core);

/* types.c */
void tw_types_listed(tw_core *core, const char *body, size_t length);

/* list.c */
void tw_list_page(tw_core *core, int status, const char *body, size_t length);
void tw_list_tick(tw_core *core);

#endif
