/* Machines, their types and the images on them, and what the core may ask of the modules that
 * follow their workers' heartbeats. What these modules share among themselves is in workers.h.
 *
 * The core owns the machines, by name; a machine owns its images and its placements. A machine is
 * known from the cloud's list, from a rental or from its worker's first heartbeat, until the cloud
 * has confirmed its return (tw_machine_forget). Called by the jobs, the scheduler and the
 * autoscaler.
 *
 * Invariants:
 *   - the used amounts of a machine are the sums over the placements in its list that count;
 *   - what may run on a machine counts until a newer heartbeat, the machine's return or the expiry
 *     of its lease says otherwise.
 * All times are steady seconds; 0 stands for "never" unless a member says otherwise. Not for other
 * packages. */
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
    uint32_t name_hash; /* tw_image_hash of the name, compared before it */
    double size_gb;
    double used_at;               /* a task with this image was last seen there */
    double ready_at;              /* when the fetch is expected to end; 0: cached */
    struct tw_image *prev, *next; /* the machine's images, most recently used first */
} tw_image;

typedef enum {
    TW_MACHINE_BOOTING, /* nothing was heard from its worker yet */
    TW_MACHINE_UP
} tw_machine_state;

typedef struct tw_machine {
    char name[TW_NAME_SIZE];     /* of its worker too */
    char endpoint[TW_NAME_SIZE]; /* where it takes direct commands; "": not known */
    char zone[TW_NAME_SIZE];     /* "": not known */
    int zone_index;              /* in core->zone_names; -1: not known, or too many zones */
    char type_name[TW_NAME_SIZE];
    int type_index; /* in core->machine_types; -1: not known */
    bool spot;
    tw_machine_state state;

    /* The worker's heartbeats. Of two, the one with the larger (incarnation, sequence) is newer. */
    uint64_t incarnation, sequence; /* of the newest heartbeat; 0: there was none */
    double incarnation_learned_at;  /* the incarnation began no later than that */
    bool confirmed;                 /* the worker has seen this term's fencing token */
    double confirmed_at;            /* when this node learned that */
    double known_since;             /* since the rental, or the first sight */
    double answered_at;             /* last heartbeat that was, or is being, answered */
    double last_contact_at;         /* last heartbeat, in an answer to direct commands too */
    double first_answered_at;       /* first heartbeat that was answered */
    double answered_older_at;       /* a heartbeat older than the newest was last answered */
    double preempted_at;            /* when the spot machine is taken away; 0: no notice */
    bool lease_expired;             /* its lease has surely expired since the last heartbeat */
    bool overdue;                   /* it has been booting for longer than is usual */

    /* Direct commands, and probes, which ask for the machine's state alone. */
    bool command_in_flight, commands_requested, probe_requested;
    int failed_probes;      /* without a response, as long as no heartbeat has come */
    int failed_sends;       /* without a response, in a row, since the last heartbeat */
    int unconfirmed_probes; /* probes on sight in the cloud's list, and after answers that didn't
                               confirm it */
    double commands_paused_until; /* a pause after a failure: no direct commands until then */
    bool in_command_queue;        /* it stands in core->command_queue */
    double gang_forgets_until;    /* a gang's exited task may be told to be forgotten until then */
    struct tw_machine *queue_prev, *queue_next;

    /* The cloud's list, and the machine's return. */
    bool listed;                   /* it was in the list once */
    int consecutive_lists_missing; /* lists in a row that it was missing from */
    bool failed;                   /* the list says that it failed */
    bool return_wanted;            /* it is to be returned */
    bool return_in_flight;
    bool decommissioning; /* its replicas are evicted in order to return it */
    double no_decommission_until;
    double idle_since;   /* 0: it is not idle */
    bool needed_by_plan; /* scratch of a plan: as headroom, or for a gang that waits for more */

    /* Whether the machine works, see quarantine.c. */
    bool cordoned;     /* it gets nothing new: quarantined, or to be returned */
    int lost_launches; /* TW_MAX_LOST_LAUNCHES or more: it is unresponsive; else 0 */
    int failure_score; /* weighted errors in a row, of different jobs */
    char last_failed_job[TW_WIRE_ID_SIZE];
    double failed_at;            /* last error of a task there */
    double longest_failed_run_s; /* the longest that a failed task had run */
    bool on_probation;           /* tried again with one task at a time */
    double probation_at;         /* when the quarantine ends, or ended */
    double quarantine_s;         /* length of the last quarantine */

    /* Moving averages, see machine_statistics.c; below 0: the type's average stands for it. */
    double slowness, queue_delay_s, fetch_s_per_gb;
    double slowness_step;       /* cached logarithm, see preference.c */
    double slowness_step_input; /* the slowness that slowness_step belongs to */

    /* Amounts that placements take. */
    double used_cores, used_gpus, used_memory_gb; /* by all that may run */
    /* By those of them that are preempted: their room is promised to others. */
    double vacating_cores, vacating_gpus, vacating_memory_gb;
    tw_capacity used_by_priority[TW_PRIORITY_PROD + 1]; /* by the rest, by priority */
    bool reserved_for_gang; /* scratch of a pass: for core->reserving_gang */

    tw_image *images;         /* owned, most recently used first */
    tw_placement *placements; /* owned */
    UT_hash_handle hh;        /* core->machines, by name */
} tw_machine;

/* How the latest boots of machines went, see boot_record.c. */
typedef struct tw_boot_record {
    int failed_rounds;          /* rounds of rentals in a row of which no machine came up in time */
    double failed_at;           /* when the last of these rounds was noted */
    int expected_machine_count; /* scratch of a plan: machines that boot, are asked for or are
                                   wanted */
} tw_boot_record;

/* A machine type as the cloud lists it, and what was learned of its machines. */
typedef struct tw_machine_type {
    tw_wire_machine_type listed;
    double slowness, queue_delay_s, fetch_s_per_gb; /* averages over the type's machines */
    /* Average of how far a fetch's seconds per GB are off the type's, as a share of them: the rate
     * differs from fetch to fetch. */
    double fetch_deviation;
    double overdue_share;     /* average share of machines that boot late or never */
    double overdue_share_sum; /* scratch of a plan */
    /* Scratch of a plan: when the last of those machines was rented whose boot is overdue; 0: there
     * is none. */
    double overdue_rental_at;
    /* Average, 0 to 1: how much each fetch at the same time slows another one on a machine. */
    double fetch_interference;
    tw_boot_record boots;
} tw_machine_type;

/* ---- machine.c, lease_expiry.c ---- */

/* The machine of that name; NULL: none is known. Owned by the core. */
tw_machine *tw_machine_find(tw_core *core, const char *name);
/* Adds a machine of which nothing but the name is known, which must be new. Owned by the core. */
tw_machine *tw_machine_new(tw_core *core, const char *name);
/* Frees the machine with its images and terminates the attempts there. why: the machine was
 * returned, in a word for the log; NULL: only this node's term has ended. */
void tw_machine_forget(tw_core *core, tw_machine *machine, const char *why);
/* Sets the machine's zone and its zone_index. "": the zone is not known. */
void tw_machine_set_zone(tw_core *core, tw_machine *machine, const char *zone);
/* Index of the machine type of that name in core->machine_types; -1: not known. */
int tw_machine_type_index(const tw_core *core, const char *name);
/* Whether no heartbeat of the machine has come to this node, or may have come to a delegate, for so
 * long that the machine may be returned. */
bool tw_machine_is_silent(const tw_core *core, const tw_machine *machine);
/* Whether a task runs there, or may run. Attempts that are known to have ended don't count. */
bool tw_machine_is_occupied(const tw_machine *machine);
/* Whether new tasks may be placed there. */
bool tw_machine_is_usable(const tw_core *core, const tw_machine *machine);

/* ---- image.c ---- */

/* Hash of an image's name, for tw_image.name_hash and tw_job.image_hash. */
uint32_t tw_image_hash(const char *name);
/* The job's image on the machine, cached or being fetched; NULL: absent. Owned by the machine. */
tw_image *tw_image_find(const tw_machine *machine, const tw_job *job);
/* How many times as long a fetch takes on the machine as it would alone, because of the fetches
 * under way there. but: a fetch that isn't counted; NULL: all are. */
double tw_image_fetch_slowdown(const tw_core *core, const tw_machine *machine,
                               const tw_image *excluded);

/* ---- worker_heartbeat.c, direct_commands.c, machine_upkeep.c ---- */

/* Takes in a worker's heartbeat and answers it on that connection, or forwards, redirects or holds
 * it. body: not owned, without a terminating 0. from_peer: another node forwarded it. */
void tw_worker_heartbeat_receive(tw_core *core, uint64_t connection, const char *body,
                                 size_t length, bool from_peer);
/* Asks for direct commands, or a probe, to be sent by the next tw_commands_send_direct. */
void tw_machine_request_commands(tw_core *core, tw_machine *machine);
void tw_machine_request_probe(tw_core *core, tw_machine *machine);
/* Sends the direct commands and probes that are due. Runs after every input. */
void tw_commands_send_direct(tw_core *core);
/* The response of a machine to direct commands or a probe. status: of HTTP; 0: none came. body: not
 * owned. */
void tw_commands_response(tw_core *core, tw_call *sent, int status, const char *body,
                          size_t length);
/* Timed work over all machines. */
void tw_machines_tick(tw_core *core);

/* ---- quarantine.c ---- */

/* A task failed on its machine. failed_elsewhere: number of other machines on which the job has
 * failed lately. */
void tw_quarantine_note_failure(tw_core *core, const tw_placement *placed, int failed_elsewhere);
/* The machine has shown that it works. */
void tw_quarantine_clear(tw_core *core, tw_machine *machine);
/* A task runs, which clears the machine once the task has run for longer than those that failed. */
void tw_quarantine_note_running(tw_core *core, const tw_placement *placed);
/* Begins the machine's probation when its quarantine is over. */
void tw_quarantine_tick(tw_core *core, tw_machine *machine);
/* Whether the machine may get another task: on probation it gets one at a time. */
bool tw_quarantine_allows(const tw_machine *machine);

/* Whether a task fits into what is free on the machine, which is of this type. */
static inline bool tw_machine_has_capacity(const tw_machine *machine, const tw_machine_type *type,
                                           const tw_wire_job *spec) {
    return type->listed.cores - machine->used_cores + TW_CAPACITY_ROUNDING >= spec->cores &&
           type->listed.gpus - machine->used_gpus + TW_CAPACITY_ROUNDING >= spec->gpus &&
           type->listed.memory_gb - machine->used_memory_gb + TW_CAPACITY_ROUNDING >=
               spec->memory_gb;
}

#endif
