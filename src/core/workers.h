/* What the files about machines and their reports share. Not for the rest of the core.
 *
 * image.c      images on a machine
 * machine.c    machines by name, type and zone
 * lease_expiry.c      silence, leases that have ended, zones that are cut off
 * placement.c  what may run where, and the amounts that this takes
 * attempt_termination.c  when an attempt can no longer run (attempt_termination.h)
 * machine_statistics.c      moving averages, from starts, runs and boots
 * task_reconciliation.c       what a report says of one task
 * worker_heartbeat.c     taking a report in and answering it
 * worker_commands.c     commands, in answers and direct
 * machine_upkeep.c      timed work over all machines */
#ifndef TW_CORE_FLEET_H
#define TW_CORE_FLEET_H
#include "core/core_int.h"
#include <stdbool.h>

/* A machine that reported within so many intervals hears us; another may act late on a command. */
#define TW_IN_TOUCH_HEARTBEATS 2.5
/* Launches in a row that did not take, from which on a machine counts as unresponsive. */
#define TW_UNRESPONSIVE_AT 3

/* Commands under way to one machine. */
typedef struct {
    tw_wire_command *list; /* the core's scratch: one answer is put together at a time */
    int count;
} tw_command_list;

/* image.c */
int tw_image_count_fetches(const tw_core *core, const tw_machine *machine, const tw_image *but);
/* The job's image is used there, or fetched; ready: it is cached by now. */
void tw_image_note_use(tw_core *core, tw_machine *machine, const tw_job *job, bool ready);

/* lease_expiry.c */
/* What a worker's lease may last by our clock, from a report that we answered. */
double tw_lease_max_s(const tw_core *core);
/* When a worker has surely ended its session, if we answer it no more, and the moments up to which
 * its lease may have been renewed, which this rests on (steady time; 0: never). */
typedef struct {
    double answered_at;       /* we answered a report of it */
    double delegates_until;   /* a deputy of its zone may have, by its key */
    double incarnation_at;    /* we learned of its session */
    double loading_at;        /* we answered any machine while the records were read */
    double predecessor_until; /* a predecessor may have, or it was first known to refuse that */
    double expires_at; /* the end, with the lease's length and the grants of its zone's nodes */
} tw_lease_expiry;
tw_lease_expiry tw_lease_expiry_of(const tw_core *core, const tw_machine *machine);
double tw_lease_expires_at(const tw_core *core, const tw_machine *machine);
bool tw_zone_is_unreachable(tw_core *core, const tw_machine *machine);
void tw_zone_silence_update(tw_core *core);

/* placement.c */
/* Adds (sign 1) or takes off (-1) what the task holds. */
void tw_placement_account(tw_core *core, tw_placement *placed, double sign);

/* machine_statistics.c */
void tw_statistics_note_start(tw_core *core, tw_placement *placed);
void tw_statistics_note_run(tw_core *core, const tw_placement *placed);
void tw_statistics_note_boot(tw_core *core, const tw_machine *machine);

/* task_reconciliation.c */
/* What the report says of a task that we have a placement for. */
void tw_reconcile_task(tw_core *core, tw_placement *placed, const tw_wire_heartbeat *heartbeat,
                       const tw_wire_task *reported);
/* A task that we have no placement for. orders: NULL in an answer to direct orders. */
void tw_reconcile_unknown_task(tw_core *core, tw_machine *machine,
                               const tw_wire_heartbeat *heartbeat, const tw_wire_task *reported,
                               tw_command_list *commands);

/* worker_heartbeat.c */
/* Takes a report in; 0: it is older than what we know. orders: NULL for an answer to direct orders,
 * which may have overtaken the answer to a report. */
bool tw_worker_heartbeat_apply(tw_core *core, tw_machine *machine,
                               const tw_wire_heartbeat *heartbeat, tw_command_list *commands);

/* command_messages.c: messages with orders, under our token. NULL: this node has not the right to
 * give them, which is a fault of the caller; nothing may be sent then. */
/* In an answer to a report; none renew the lease alone. */
char *tw_commands_reply_text(tw_core *core, const tw_command_list *commands);
/* To the machine's own address. */
char *tw_commands_direct_text(tw_core *core, const tw_machine *machine,
                              const tw_command_list *commands);
/* In a deputy's answer to a report. */
char *tw_commands_delegate_text(tw_core *core, const tw_wire_heartbeat *heartbeat,
                                const tw_command_list *commands);

/* worker_commands.c */
tw_command_list tw_command_list_new(tw_core *core);
/* A command on the task, without effect when the answer is full: it is due again next time. */
void tw_command_list_add(tw_command_list *commands, tw_wire_command command, const char *job);
/* What a machine is to be told. tick: the report that is answered, or 0 for direct orders. */
void tw_commands_due(tw_core *core, tw_machine *machine, tw_command_list *commands,
                     uint64_t sequence);

#endif
