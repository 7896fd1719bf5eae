/* Machines, their types and their images, and the interface of the modules that process workers'
 * heartbeats. The interface between these modules is in workers.h.
 *
 * The core owns the machines and indexes them by name; a machine owns its images and its
 * placements. A machine is added when the cloud lists it, when it is rented or when its worker
 * sends the first heartbeat. It is removed when the cloud has confirmed its return
 * (tw_machine_forget). Called by the jobs, the scheduler and the autoscaler.
 *
 * Invariants:
 *   - the used amounts of a machine are the sums over the counted placements in its list;
 *   - a task that may run on a machine is counted until a newer heartbeat, the machine's return or
 *     the expiry of its lease proves that it does not run.
 * All times are steady seconds; 0 stands for "never" unless a member's comment says otherwise.
 * Private to this package. */
#ifndef TW_CORE_MACHINE_H
#define TW_CORE_MACHINE_H
#include "core/job.h"
#include "core/placement.h"
#include "core/capacity.h"
#include "wire/wire.h"
#include <stdbool.h>
#include <uthash.h>

typedef struct tw_call tw_call;

/* An image on a machine: cached, or being fetched. */
typedef struct tw_image {
    char name[TW_WIRE_NAME_SIZE];
    uint32_t name_hash; /* tw_image_hash of the name; compared first, since it is faster */
    double size_gb;
    double used_at;               /* when a task with this image was last reported on the machine */
    double ready_at;              /* expected end of the fetch; 0: the image is cached */
    struct tw_image *prev, *next; /* the machine's images, most recently used first */
} tw_image;

typedef enum {
    TW_MACHINE_BOOTING, /* its worker has not sent a heartbeat yet */
    TW_MACHINE_UP
} tw_machine_state;

typedef struct tw_machine {
    char name[TW_NAME_SIZE];     /* name of the machine and of its worker */
    char endpoint[TW_NAME_SIZE]; /* address for direct commands; "": unknown */
    char zone[TW_NAME_SIZE];     /* name of its zone; "": unknown */
    int zone_index;              /* index in core->zone_names; -1: unknown, or too many zones */
    char type_name[TW_NAME_SIZE];
    int type_index; /* index in core->machine_types; -1: unknown */
    bool spot;
    tw_machine_state state;

    /* The worker's heartbeats. Of two, the one with the larger (incarnation, sequence) is newer. */
    uint64_t incarnation, sequence; /* of the newest heartbeat; 0: no heartbeat yet */
    double incarnation_learned_at;  /* latest possible start of the incarnation */
    bool confirmed;                 /* the worker has seen this term's fencing token */
    double confirmed_at;            /* when this node learned that the worker has seen the token */
    double known_since;             /* when the machine was rented, or first listed or reported */
    double answered_at;             /* when a heartbeat was last answered */
    double last_contact_at;         /* last heartbeat, or response with the machine's state */
    double first_answered_at;       /* when a heartbeat was answered for the first time */
    double answered_older_at;       /* last answer to a heartbeat older than the newest one */
    double preempted_at;            /* when the cloud takes the spot machine back; 0: no notice */
    bool lease_expired;             /* the lease has certainly expired since the last heartbeat */
    bool overdue;                   /* it has been booting for longer than is usual for its type */

    /* Direct commands, and probes, which only request the machine's state. */
    bool command_in_flight, commands_requested, probe_requested;
    int failed_probes; /* probes without a response, before the first heartbeat */
    int failed_sends;  /* consecutive requests without a response since the last heartbeat */
    /* Probes sent to a machine that has not confirmed the token yet: one when the cloud's list
     * shows the machine, and one after each response that doesn't confirm it. */
    int unconfirmed_probes;
    double commands_paused_until; /* end of the pause in direct commands after a failed request */
    bool in_command_queue;        /* the machine is in core->command_queue */
    /* Time until which a command to forget an exited task of a gang may still be executed. */
    double gang_forgets_until;
    struct tw_machine *queue_prev, *queue_next;

    /* The cloud's list, and the machine's return. */
    bool listed;                   /* the machine has been in the list at least once */
    int consecutive_lists_missing; /* number of consecutive lists without the machine */
    bool failed;                   /* the list reports the machine as failed */
    bool return_wanted;            /* the machine is to be returned to the cloud */
    bool return_in_flight;
    bool decommissioning; /* its replicas are being evicted so that it can be returned */
    double no_decommission_until;
    double idle_since;   /* 0: the machine is not idle */
    bool needed_by_plan; /* scratch of a plan: needed as headroom or by a gang that waits */

    /* State of the quarantine, see quarantine.c. */
    bool cordoned;     /* gets no new tasks: it is quarantined or to be returned */
    int lost_launches; /* 0, or TW_MAX_LOST_LAUNCHES and more if the machine is unresponsive */
    int failure_score; /* weighted sum of consecutive errors of different jobs */
    char last_failed_job[TW_WIRE_ID_SIZE];
    double failed_at;            /* when a task on the machine last failed */
    double longest_failed_run_s; /* longest run time of a task that failed on the machine */
    bool on_probation;           /* gets one task at a time until a task has run */
    double probation_at;         /* end of the last quarantine, and start of the probation */
    double quarantine_s;         /* duration of the last quarantine */

    /* Moving averages, see machine_statistics.c. Below 0, the average of the type is used. */
    double slowness, queue_delay_s, fetch_s_per_gb;
    double slowness_step;       /* cached logarithm of the slowness, see preference.c */
    double slowness_step_input; /* the slowness from which slowness_step was computed */

    /* Resources used by placements that are counted (tw_placement.counted). */
    double used_cores, used_gpus, used_memory_gb; /* sum over all counted placements */
    /* Sum over the preempted placements, whose resources are promised to other tasks. */
    double vacating_cores, vacating_gpus, vacating_memory_gb;
    tw_capacity used_by_priority[TW_PRIORITY_PROD + 1]; /* sums over all others, by priority */
    bool reserved_for_gang; /* scratch of a pass: reserved for core->reserving_gang */

    tw_image *images;         /* owned, most recently used first */
    tw_placement *placements; /* owned */
    UT_hash_handle hh;        /* entry in core->machines, keyed by name */
} tw_machine;

/* Record of the latest failed boots of a machine type or a capacity offer, see boot_record.c. */
typedef struct tw_boot_record {
    int failed_rounds; /* consecutive rounds of rentals in which no machine booted in time */
    double failed_at;  /* when the last of these rounds was recorded */
    /* Scratch of a plan: machines that boot, are requested or are to be requested. */
    int expected_machine_count;
} tw_boot_record;

/* A machine type as the cloud lists it, and statistics of its machines. */
typedef struct tw_machine_type {
    tw_wire_machine_type listed;
    double slowness, queue_delay_s, fetch_s_per_gb; /* averages over the type's machines */
    /* Average relative deviation of a single fetch's seconds per GB from fetch_s_per_gb: the rate
     * varies from fetch to fetch. */
    double fetch_deviation;
    double overdue_share; /* average share of machines that boot late or never */
    /* Scratch of a plan: sum of overdue_share over booting machines. Each time it reaches 1, the
     * plan ignores the capacity of one machine and subtracts 1. */
    double overdue_share_sum;
    /* Scratch of a plan: latest rental time of a machine whose boot is overdue; 0: no boot is
     * overdue. */
    double overdue_rental_at;
    /* Average slowdown of a fetch by each concurrent fetch on the same machine, from 0 to 1. */
    double fetch_interference;
    tw_boot_record boots;
} tw_machine_type;

/* ---- machine.c, lease_expiry.c ---- */

/* Returns the machine with that name, or NULL if no such machine is known. The core owns the
 * machine. */
tw_machine *tw_machine_find(tw_core *core, const char *name);
/* Adds a machine whose name is not in use yet; all its other attributes are unknown. The core owns
 * the machine. */
tw_machine *tw_machine_new(tw_core *core, const char *name);
/* Terminates the attempts on the machine and frees it with its images. why is the reason for the
 * log if the machine was returned, and NULL if only this node's term has ended. */
void tw_machine_forget(tw_core *core, tw_machine *machine, const char *why);
/* Sets the machine's zone and its zone_index. An empty name stands for an unknown zone. */
void tw_machine_set_zone(tw_core *core, tw_machine *machine, const char *zone);
/* Returns the index of the machine's zone, TW_ZONE_UNKNOWN or TW_ZONE_UNINDEXED. */
int tw_machine_zone_class(const tw_machine *machine);
/* Returns the index of the named machine type in core->machine_types, or -1 if it is unknown. */
int tw_machine_type_index(const tw_core *core, const char *name);
/* Returns whether this node has received no heartbeat of the machine, and no delegate can have
 * received one, for so long that the machine may be returned. */
bool tw_machine_is_silent(const tw_core *core, const tw_machine *machine);
/* Returns whether a task runs or may run on the machine. Terminated attempts don't count. */
bool tw_machine_is_occupied(const tw_machine *machine);
/* Returns whether new tasks may be placed on the machine. */
bool tw_machine_is_usable(const tw_core *core, const tw_machine *machine);

/* ---- image.c ---- */

/* Returns the hash of an image's name, for tw_image.name_hash and tw_job.image_hash. */
uint32_t tw_image_hash(const char *name);
/* Returns the job's image on the machine, cached or being fetched, or NULL if it is absent. The
 * machine owns the image. */
tw_image *tw_image_find(const tw_machine *machine, const tw_job *job);
/* Returns the factor by which the fetches in progress on the machine slow down another fetch. The
 * fetch of the excluded image isn't counted; if excluded is NULL, all are counted. */
double tw_image_fetch_slowdown(const tw_core *core, const tw_machine *machine,
                               const tw_image *excluded);

/* ---- worker_heartbeat.c, direct_commands.c, machine_upkeep.c ---- */

/* Processes a worker's heartbeat: answers it on the connection, or forwards, redirects or holds it.
 * body is not owned and not terminated by 0. from_peer: another node has forwarded the heartbeat.
 */
void tw_worker_heartbeat_receive(tw_core *core, uint64_t connection, const char *body,
                                 size_t length, bool from_peer);
/* Requests that the next tw_commands_send_direct sends the machine the direct commands that are
 * due, or a probe. */
void tw_machine_request_commands(tw_core *core, tw_machine *machine);
void tw_machine_request_probe(tw_core *core, tw_machine *machine);
/* Sends the direct commands and probes that are due. Runs after every input. */
void tw_commands_send_direct(tw_core *core);
/* Processes a machine's response to direct commands or a probe. status is the HTTP status, or 0 if
 * the machine did not respond. body is not owned. */
void tw_commands_handle_response(tw_core *core, tw_call *call, int status, const char *body,
                                 size_t length);
/* Runs the periodic work over all machines, once per interval: expires leases and requests the
 * return of machines. */
void tw_machines_tick(tw_core *core);

/* ---- quarantine.c ---- */

/* Records that a task failed on its machine. failed_elsewhere is the number of other machines on
 * which the job has failed recently. */
void tw_quarantine_note_failure(tw_core *core, const tw_placement *placed, int failed_elsewhere);
/* Resets the machine's failure score and ends its probation, after a task has shown that the
 * machine works. */
void tw_quarantine_clear(tw_core *core, tw_machine *machine);
/* Records that a task is running. Clears the machine's failure score once the task has run for
 * longer than those that failed. */
void tw_quarantine_note_running(tw_core *core, const tw_placement *placed);
/* Starts the machine's probation when its quarantine is over. */
void tw_quarantine_tick(tw_core *core, tw_machine *machine);
/* Returns whether the machine may get another task. On probation it gets one task at a time. */
bool tw_quarantine_allows(const tw_machine *machine);

/* Returns whether the unused resources of the machine, which is of the given type, suffice for a
 * task. */
static inline bool tw_machine_has_capacity(const tw_machine *machine, const tw_machine_type *type,
                                           const tw_wire_job *spec) {
    return type->listed.cores - machine->used_cores + TW_CAPACITY_ROUNDING >= spec->cores &&
           type->listed.gpus - machine->used_gpus + TW_CAPACITY_ROUNDING >= spec->gpus &&
           type->listed.memory_gb - machine->used_memory_gb + TW_CAPACITY_ROUNDING >=
               spec->memory_gb;
}

#endif
