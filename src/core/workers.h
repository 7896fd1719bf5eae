/* What the modules that follow machines and their workers' heartbeats share among themselves. What
 * the rest of the core may call is in machine.h, placement.h and attempt_termination.h.
 *
 * machine.c              machines by name, type and zone
 * image.c                images on a machine
 * placement.c            tasks on machines, and the amounts that they take
 * attempt_termination.c  when an attempt can no longer run
 * worker_heartbeat.c     takes a heartbeat in and answers it
 * task_reconciliation.c  what a heartbeat says of one task
 * worker_commands.c      commands that are due
 * direct_commands.c      direct commands and probes
 * command_messages.c     messages with commands, and the permission for them
 * lease_expiry.c         silent machines, expired leases, unreachable zones
 * machine_upkeep.c       timed work over all machines
 * machine_statistics.c   moving averages, from starts, runs and boots
 * quarantine.c           machines that fail what they start
 * heartbeat_forwarder.c, delegate_reply.c  heartbeats at a node that does not lead */
#ifndef TW_CORE_WORKERS_H
#define TW_CORE_WORKERS_H
#include "core/core_int.h"
#include <stdbool.h>

/* A machine whose last heartbeat is at most so many intervals old is in touch; another one might
 * carry out a command late. */
#define TW_RECENT_CONTACT_HEARTBEATS 2.5
/* A worker drops an answer that comes so long after it sent the heartbeat. */
#define TW_ANSWER_LIFETIME_S 4.0
/* How long the response to direct commands is waited for. */
#define TW_DIRECT_TIMEOUT_S 1.5
/* A machine on which so many launches in a row were lost is unresponsive. */
#define TW_MAX_LOST_LAUNCHES 3

/* Commands for one machine, in the core's scratch: one message is put together at a time. */
typedef struct {
    tw_wire_command *list;
    int count;
} tw_command_list;

/* ---- image.c ---- */

/* How many images the machine fetches now. but: one that isn't counted; NULL: all are. */
int tw_image_count_fetches(const tw_core *core, const tw_machine *machine,
                           const tw_image *excluded);
/* A task of the job uses its image on the machine, or has it fetched. ready: it is cached by now.
 */
void tw_image_note_use(tw_core *core, tw_machine *machine, const tw_job *job, bool ready);

/* ---- lease_expiry.c ---- */

/* The longest that a worker's lease lasts by this node's clock, in seconds from when a heartbeat
 * was answered. */
double tw_lease_max_s(const tw_core *core);
/* When a worker's lease has surely expired if no node renews it from now on, and what that rests
 * on: each of the other members is a time up to which the lease may have been renewed, in steady
 * seconds; 0: never. */
typedef struct {
    double answered_at;       /* by this node's answers to its heartbeats */
    double delegates_until;   /* by a delegate of its zone */
    double incarnation_at;    /* by the beginning of its incarnation, which has a lease */
    double loading_at;        /* by this node while it read the records, for any machine */
    double predecessor_until; /* by an earlier leader */
    double expires_at;        /* the end, with the lease's length and the zone's delegations */
} tw_lease_expiry;
tw_lease_expiry tw_lease_expiry_compute(const tw_core *core, const tw_machine *machine);
/* The expires_at of that alone. */
double tw_lease_expires_at(const tw_core *core, const tw_machine *machine);
/* Whether the network, rather than the machine, is likely to be the cause of its silence. */
bool tw_zone_is_unreachable(tw_core *core, const tw_machine *machine);
/* Finds the zones of which most machines are silent. */
void tw_zone_silence_update(tw_core *core);

/* ---- placement.c ---- */

/* Adds (sign 1) or subtracts (-1) the task's amounts at its machine and its team. */
void tw_placement_account(tw_core *core, tw_placement *placed, double sign);

/* ---- machine_statistics.c ---- */

/* The task's start was seen just now: learns the machine's queue delay or its fetch rate. */
void tw_statistics_note_start(tw_core *core, tw_placement *placed);
/* The task has run to its end: learns the machine's slowness and the class's run time. */
void tw_statistics_note_run(tw_core *core, const tw_placement *placed);
/* The machine has booted in time, or is overdue: learns how often its type is late. */
void tw_statistics_note_boot(tw_core *core, const tw_machine *machine);

/* ---- boot_record.c ---- */

/* The machine, whose type is known, did not come up in time, or never will. */
void tw_boot_records_note_failure(tw_core *core, const tw_machine *machine);
/* The machine, whose type is known, came up, in time or late. */
void tw_boot_records_note_up(tw_core *core, const tw_machine *machine);

/* ---- task_reconciliation.c ---- */

/* Takes in what a heartbeat says of a task that has a placement. */
void tw_reconcile_task(tw_core *core, tw_placement *placed, const tw_wire_heartbeat *heartbeat,
                       const tw_wire_task *reported);
/* Takes in what a heartbeat says of a task that has no placement. commands: where a command to stop
 * or forget it is added; NULL: the heartbeat came in an answer to direct commands. */
void tw_reconcile_unknown_task(tw_core *core, tw_machine *machine,
                               const tw_wire_heartbeat *heartbeat, const tw_wire_task *reported,
                               tw_command_list *commands);

/* ---- worker_heartbeat.c ---- */

/* Takes in a heartbeat of the machine's worker. commands: where commands for tasks without a
 * placement are added; NULL: the heartbeat came in an answer to direct commands, which may have
 * overtaken the answer to an ordinary heartbeat. false: it is older than what is known, or its
 * lease has expired, and nothing was changed. */
bool tw_worker_heartbeat_apply(tw_core *core, tw_machine *machine,
                               const tw_wire_heartbeat *heartbeat, tw_command_list *commands);

/* ---- command_messages.c ---- */

/* Messages with commands, under the fencing token; the caller frees them. NULL: this node has no
 * permission for the commands, which is a fault of the caller; nothing may be sent then. */

/* The answer to a heartbeat; without commands it only renews the lease. */
char *tw_commands_reply_text(tw_core *core, const tw_command_list *commands);
/* Direct commands to the machine's own address. */
char *tw_commands_direct_text(tw_core *core, const tw_machine *machine,
                              const tw_command_list *commands);
/* A lease delegate's answer to a heartbeat: it may stop tasks, nothing else. */
char *tw_commands_delegate_text(tw_core *core, const tw_wire_heartbeat *heartbeat,
                                const tw_command_list *commands);

/* ---- worker_commands.c ---- */

/* An empty list, in the core's scratch: the list made before is no longer valid. */
tw_command_list tw_command_list_new(tw_core *core);
/* Adds a stop or a forget for a task that a heartbeat names. If the list is full, the command is
 * left out: it is due again with the next heartbeat. */
void tw_command_list_add(tw_command_list *commands, tw_wire_command_kind kind,
                         const tw_wire_task *task);
/* Adds the commands that are due for the machine. sequence: of the heartbeat that is answered; 0:
 * direct commands. */
void tw_commands_add_due(tw_core *core, tw_machine *machine, tw_command_list *commands,
                         uint64_t sequence);

#endif
