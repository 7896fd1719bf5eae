/* Provisioning: offers of the cloud, requests for machines, the room that a plan packs, and what
 * the whole core may ask of it; what its modules share among themselves stands in autoscaler_int.h.
 * Invariants: a request's name is never used twice; a bin's free amounts only get less while a plan
 * packs, but by tw_bin_give; room kept for a class that needs scarce room is not given to services
 * that need less. Not for other packages. */
#ifndef TW_CORE_AUTOSCALER_H
#define TW_CORE_AUTOSCALER_H
#include "core/job.h"
#include "core/machine.h"
#include <stdbool.h>

#define TW_MAX_RENTAL 50 /* machines a request to the cloud, by the protocol */

/* A kind of machine in a zone, as the cloud has treated us. */
typedef struct tw_capacity_offer {
    int type_index, zone_index;
    bool spot;
    double refused_until;
    int refusal_count;
    int machine_count;   /* scratch: machines of the type in the zone */
    int wanted_count;    /* to be asked for, as of the last plan */
    double wanted_since; /* 0: not wanted */
} tw_capacity_offer;

/* Room as the plan sees it: of a machine, or of one that is to come. */
typedef struct tw_bin {
    tw_machine *machine;      /* NULL: to come */
    tw_capacity_offer *offer; /* of one to be rented */
    int type_index;
    bool spot;
    bool occupied; /* a task runs on the machine, or may */
    bool tried;    /* a placement pass has had the chance to use it */
    const char *zone;
    double cores, gpus, memory_gb;
} tw_bin;

typedef struct tw_bins {
    tw_bin *items;
    int count, capacity;
    struct tw_bin_start *starts; /* where to begin for a kind of task: see bin_packing.c */
    int start_count, start_capacity;
} tw_bins;

/* Room that a running batch task is expected to give back. */
typedef struct tw_expected_release {
    double available_at;
    tw_bin room;
} tw_expected_release;

typedef struct tw_expected_releases {
    tw_expected_release *items;
    int count;
} tw_expected_releases;

/* A rental request under way, by its name. */
typedef struct tw_rental_request {
    char name[TW_NAME_SIZE];
    int type_index, zone_index, machine_count;
    bool spot, in_flight;
    double next_attempt_at;
    struct tw_rental_request *prev, *next;
} tw_rental_request;

/* A submission that was turned away and will come again: machines are rented for it meanwhile. */
typedef struct tw_rejected_admission {
    char id[TW_WIRE_ID_SIZE];
    tw_job job; /* not among the jobs: nothing of it is accepted */
    double until;
    UT_hash_handle hh;
} tw_rejected_admission;

/* autoscaler_plan.c */
/* Works out what to rent, to empty and to return. */
void tw_autoscaler_plan(tw_core *core);

/* reserve.c */
/* Works out, as a pass begins, the room to keep and the room that there is. */
void tw_reserve_update(tw_core *core);
/* Whether a task of the job leaves the room that is kept for other classes. */
bool tw_reserve_allows(const tw_core *core, const tw_machine *machine, const tw_job *job);
/* Before a task of the job is placed on the machine. */
void tw_reserve_take(tw_core *core, const tw_machine *machine, const tw_job *job);

/* bin_packing.c */
/* Whether a task fits into what is free. */
bool tw_bin_fits(const tw_bin *bin, const tw_wire_job *spec);
/* Whether the bin's type, kind and zone are such that the job allows. */
bool tw_bin_is_allowed(const tw_bin *bin, const tw_wire_job *spec, uint32_t types);
/* Whether a task without GPUs leaves the bin's GPUs their cores. */
bool tw_bin_leaves_gpus(const tw_core *core, const tw_bin *bin, const tw_wire_job *spec,
                        bool any_machine);
/* Takes a task's room, or gives it back. */
void tw_bin_take(tw_bin *bin, const tw_wire_job *spec);
void tw_bin_give(tw_bin *bin, const tw_wire_job *spec);

/* expected_releases.c */
/* Lists the room that running batch tasks are expected to give back, the earliest first. Free it
 * with tw_expected_releases_free. */
void tw_expected_releases_init(tw_core *core, tw_expected_releases *releases);
/* When a task of the job would start if it waits its turn for room that is given back, which is
 * taken; INFINITY: there is none that it can use. from: where to begin, the same for all jobs
 * alike, for room only gets less. */
double tw_expected_releases_take(tw_core *core, tw_expected_releases *releases, const tw_job *job,
                                 int *first);
void tw_expected_releases_free(tw_expected_releases *releases);

/* scale_in.c */
/* Notes which machines are idle, and has those returned that were for too long. */
void tw_scale_in_idle(tw_core *core);
/* Machines that are being emptied are used again as soon as somebody waits for them. */
void tw_scale_in_reopen(tw_core *core);
/* Machines whose replicas fit elsewhere are emptied, one by one, and returned. The bins are all the
 * machines there are; room in them is taken for what moves. */
void tw_scale_in_consolidate(tw_core *core, tw_bins *bins);

/* capacity_offers.c */
/* The name of the offer's zone. */
const char *tw_offer_zone(const tw_core *core, const tw_capacity_offer *offer);

/* scale_out.c */
/* Plans and sends requests for machines when they are due. */
void tw_autoscaler_tick(tw_core *core);
/* The cloud answered. */
void tw_autoscaler_response(tw_core *core, tw_call *sent, int status, const char *body,
                            size_t length);

#endif
