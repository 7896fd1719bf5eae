/* Provisioning: offers of the cloud, requests for machines, the room that a plan packs, and what
 * the whole core may ask of it; what its modules share among themselves stands in provision_int.h.
 * Invariants: a request's name is never used twice; a bin's free amounts only get less while a plan
 * packs, but by tw_bin_give; room kept for a class that needs scarce room is not given to services
 * that need less. Not for other packages. */
#ifndef TW_CORE_PROVISION_H
#define TW_CORE_PROVISION_H
#include "core/job.h"
#include "core/machine.h"

#define TW_RENT_NUMBER 50 /* machines a request to the cloud, by the protocol */

/* A kind of machine in a zone, as the cloud has treated us. */
typedef struct offer {
    int type_index, zone_index, spot;
    double refused_until;
    int refused;
    int machine_count;   /* scratch: machines of the type in the zone */
    int wanted;          /* to be asked for, as of the last plan */
    double wanted_since; /* 0: not wanted */
} offer;

/* Room as the plan sees it: of a machine, or of one that is to come. */
typedef struct bin {
    machine *machine; /* NULL: to come */
    offer *offer;     /* of one to be rented */
    int type_index, spot, busy, tried;
    const char *zone;
    double cores, gpus, memory_gb;
} bin;

typedef struct bins {
    bin *items;
    int count, capacity;
    struct bin_start *starts; /* where to begin for a kind of task: see bins.c */
    int nstarts, starts_cap;
} bins;

/* Room that a running batch task is expected to give back. */
typedef struct tw_release {
    double at;
    bin room;
} tw_release;

typedef struct tw_drain {
    tw_release *items;
    int count;
} tw_drain;

/* A rental request under way, by its name. */
typedef struct rental_request {
    char name[TW_NAME_SIZE];
    int type_index, zone_index, spot, machine_count, in_flight;
    double next_try;
    struct rental_request *prev, *next;
} rental_request;

/* A submission that was turned away and will come again: machines are rented for it meanwhile. */
typedef struct turned_away_job {
    char id[TW_WIRE_ID_SIZE];
    job job; /* not among the jobs: nothing of it is accepted */
    double until;
    UT_hash_handle hh;
} turned_away_job;

/* plan.c */
/* Works out what to rent, to empty and to return. */
void tw_plan(tw_core *core);

/* reserve.c */
/* Works out, as a pass begins, the room to keep and the room that there is. */
void tw_reserve_note(tw_core *core);
/* Whether a task of the job leaves the room that is kept for other classes. */
int tw_reserve_allows(const tw_core *core, const machine *machine, const job *job);
/* Before a task of the job is placed on the machine. */
void tw_reserve_take(tw_core *core, const machine *machine, const job *job);

/* bins.c */
/* Whether a task fits into what is free. */
int tw_bin_fits(const bin *bin, const tw_wire_job *spec);
/* Whether the bin's type, kind and zone are such that the job allows. */
int tw_bin_allowed(const bin *bin, const tw_wire_job *spec, uint32_t types);
/* Whether a task without GPUs leaves the bin's GPUs their cores. */
int tw_bin_leaves_gpus(const tw_core *core, const bin *bin, const tw_wire_job *spec,
                       int any_machine);
/* Takes a task's room, or gives it back. */
void tw_bin_take(bin *bin, const tw_wire_job *spec);
void tw_bin_give(bin *bin, const tw_wire_job *spec);

/* drain.c */
/* Lists the room that running batch tasks are expected to give back, the earliest first. Free it
 * with tw_drain_free. */
void tw_drain_init(tw_core *core, tw_drain *drain);
/* When a task of the job would start if it waits its turn for room that is given back, which is
 * taken; INFINITY: there is none that it can use. from: where to begin, the same for all jobs
 * alike, for room only gets less. */
double tw_drain_start(tw_core *core, tw_drain *drain, const job *job, int *from);
void tw_drain_free(tw_drain *drain);

/* move.c */
/* Notes which machines are idle, and has those returned that were for too long. */
void tw_return_idle(tw_core *core);
/* Machines that are being emptied are used again as soon as somebody waits for them. */
void tw_reopen(tw_core *core);
/* Machines whose replicas fit elsewhere are emptied, one by one, and returned. The bins are all the
 * machines there are; room in them is taken for what moves. */
void tw_consolidate(tw_core *core, bins *bins);

/* offers.c */
/* The name of the offer's zone. */
const char *tw_offer_yard(const tw_core *core, const offer *offer);

/* rent.c */
/* Plans and sends requests for machines when they are due. */
void tw_rent_tick(tw_core *core);
/* The cloud answered. */
void tw_rent_response(tw_core *core, call *sent, int status, const char *body, size_t length);

#endif
