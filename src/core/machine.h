/* Machines, their types and the images on them, and what the whole core may ask of the modules that
 * follow their reports; what these share among themselves stands in workers.h. Invariants: a
 * machine's sums of used amounts are those of the placements in its list; what may run on it counts
 * until a newer report, its return or the end of its lease says otherwise. Not for other packages.
 */
#ifndef TW_CORE_MACHINE_H
#define TW_CORE_MACHINE_H
#include "core/job.h"
#include "core/placement.h"
#include "core/capacity.h"
#include "wire/wire.h"
#include <stdbool.h>
#include <uthash.h>

typedef struct tw_call tw_call;

/* An image on a machine, cached or on its way. */
typedef struct tw_image {
    char name[TW_WIRE_NAME_SIZE];
    uint32_t name_hash;                /* of the name, compared first */
    double size_gb, used_at, ready_at; /* ready_at 0: cached; else expected */
    struct tw_image *prev, *next;
} tw_image;

typedef enum { TW_MACHINE_BOOTING, TW_MACHINE_UP } tw_machine_state;
typedef struct tw_machine {
    char name[TW_NAME_SIZE], endpoint[TW_NAME_SIZE], zone[TW_NAME_SIZE];
    int type_index; /* index in core->flavors, -1 unknown */
    char type_name[TW_NAME_SIZE];
    int spot;
    tw_machine_state state;
    uint64_t incarnation, sequence;
    double incarnation_learned_at; /* when we learned of its session: it began no later than that */
    int confirmed;                 /* has seen our token */
    double confirmed_at;           /* when we learned that */
    double known_since;            /* known since (rental, or first sight) */
    double answered_at;            /* last report that we answered or will answer; 0 never */
    double last_contact_at;        /* last report, also in answer to direct orders */
    double first_answered_at;
    double answered_older_at; /* an older report was answered then */
    double preempted_at;      /* 0: no notice; else when it is taken */
    int overdue;              /* booting for longer than is usual */
    int failed_probes;        /* asked in vain, in a row */
    int failed_sends;         /* direct orders without an answer, in a row, since the last report */
    int probed;               /* asked once, since it stood in the list */
    int listed, lists_without; /* seen in a list; lists in a row without it */
    int failed;
    bool cordoned;                       /* nothing new: sick, deaf, returning */
    int return_wanted, return_in_flight; /* to be returned; call in flight */
    bool lease_expired;
    double no_decommission_until;
    bool decommissioning;  /* its replicas are being moved, to return it */
    double idle_since;     /* 0: not idle */
    bool kept_as_headroom; /* scratch: needed as headroom */
    int lost_launches;     /* launches in a row that did not take */
    int failure_score;     /* errors in a row, of different jobs, weighed: see quarantine.c */
    char last_failed_job[TW_WIRE_ID_SIZE];
    double failed_at,
        longest_failed_run_s; /* the last error; the longest that a failed task had run */
    bool on_probation;        /* suspect, and tried with one task at a time */
    double probation_at, quarantine_s;
    double slowness, queue_delay_s, fetch_s_per_gb; /* EMAs; p in seconds a GB */
    double slowness_step,
        slowness_step_of; /* what slowness step_of is in steps, see preference.c */
    double used_cores, used_gpus, used_memory_gb; /* by all that may run */
    double vacating_cores, vacating_gpus,
        vacating_memory_gb; /* part of it that was told to stop for others */
    tw_capacity used_by_priority[TW_PRIORITY_PROD + 1]; /* the rest of it, by rank */
    bool reserved_for_gang; /* scratch of a pass: for core->holder, see gang_reservation.c */
    int zone_index;         /* index in core->yards, -1: not known, or too many */
    bool command_in_flight, commands_wanted, probe_wanted;
    double no_commands_before;                  /* no direct orders before this */
    bool in_command_queue;                      /* in core->direct, to be looked at */
    struct tw_machine *queue_prev, *queue_next; /* there */
    tw_image *images;
    tw_placement *placements;
    UT_hash_handle hh;
} tw_machine;

/* A machine type, as the cloud lists it, and what was learned of its machines. */
typedef struct tw_machine_type {
    tw_wire_machine_type listed;
    double slowness, queue_delay_s, fetch_s_per_gb; /* priors pooled by type */
    double fetch_deviation; /* EMA of |p of a fetch / p - 1|: a rate differs from fetch to fetch */
    double overdue_share;   /* EMA of the share of machines that come up late or never */
    double late_sum;        /* scratch of a plan */
    double fetch_interference; /* EMA, 0 to 1: how much a fetch is slowed by each other one beside
                                  it */
} tw_machine_type;

/* machine.c, lease_expiry.c */
/* The machine of that name; NULL: none is known. */
tw_machine *tw_machine_find(tw_core *core, const char *name);
/* A machine of which nothing but the name is known. */
tw_machine *tw_machine_new(tw_core *core, const char *name);
/* Forgets the machine and all on it; why: for the log, NULL: none. */
void tw_machine_forget(tw_core *core, tw_machine *machine, const char *why);
/* Notes the machine's zone. */
void tw_machine_set_zone(tw_core *core, tw_machine *machine, const char *zone);
/* The number of a machine type; -1: unknown. */
int tw_machine_type_index(const tw_core *core, const char *label);
/* Whether it has not been heard from for so long that its tasks may be given up. */
bool tw_machine_is_silent(const tw_core *core, const tw_machine *machine);
/* Whether a task runs there, or may: not one that only is to be forgotten. */
bool tw_machine_is_occupied(const tw_machine *machine);
/* Whether new tasks may go to it. */
bool tw_machine_is_usable(const tw_core *core, const tw_machine *machine);

/* image.c */
/* Sum of an image's name, compared before the names are. */
uint32_t tw_image_hash(const char *name);
/* The job's image on the machine, cached or on its way; NULL: absent. */
tw_image *tw_image_find(const tw_machine *machine, const tw_job *job);
/* How many times as long a fetch takes there beside the others, this one apart. */
double tw_image_fetch_slowdown(const tw_core *core, const tw_machine *machine, const tw_image *but);

/* worker_heartbeat.c, worker_commands.c, machine_upkeep.c */
/* A worker's report. from_peer: handed on by another node. */
void tw_worker_heartbeat_receive(tw_core *core, uint64_t connection, const char *body,
                                 size_t length, bool from_peer);
/* Commands for the machine are to be sent to its own address; a probe asks for its state alone. */
void tw_machine_want_commands(tw_core *core, tw_machine *machine);
void tw_machine_want_probe(tw_core *core, tw_machine *machine);
/* Sends the direct commands that are due. */
void tw_commands_send_direct(tw_core *core);
/* A machine answered direct commands or a probe. */
void tw_commands_response(tw_core *core, tw_call *sent, int status, const char *body,
                          size_t length);
/* Timed work over all machines. */
void tw_machines_tick(tw_core *core);

/* quarantine.c */
/* A task failed there; elsewhere: machines on which its job has failed before. */
void tw_quarantine_note_failure(tw_core *core, const tw_placement *placed, int elsewhere);
/* The machine has shown that it works. */
void tw_quarantine_clear(tw_core *core, tw_machine *machine);
/* A task runs: for longer than those that failed, it shows that the machine works. */
void tw_quarantine_note_running(tw_core *core, const tw_placement *placed);
/* Lets a suspect be tried again when its pause is over. */
void tw_quarantine_tick(tw_core *core, tw_machine *machine);
/* Whether it may get a task: on trial it gets one at a time. */
bool tw_quarantine_allows(const tw_machine *machine);

/* Whether a task fits into what is free on the machine, which is of this type. */
static inline bool tw_machine_has_room(const tw_machine *machine, const tw_machine_type *type,
                                       const tw_wire_job *spec) {
    return type->listed.cores - machine->used_cores + TW_CAPACITY_ROUNDING >= spec->cores &&
           type->listed.gpus - machine->used_gpus + TW_CAPACITY_ROUNDING >= spec->gpus &&
           type->listed.memory_gb - machine->used_memory_gb + TW_CAPACITY_ROUNDING >=
               spec->memory_gb;
}

#endif
