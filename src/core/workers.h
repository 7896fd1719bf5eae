/* Interface between the modules that track machines and process their workers' heartbeats. The
 * interface for the rest of the core is in machine.h, placement.h and attempt_termination.h.
 *
 * machine.c              index of machines by name, type and zone
 * image.c                images cached or being fetched on a machine
 * placement.c            tasks on machines, and the resources that they use
 * placement_index.c      placements of a machine by task, for long heartbeats
 * attempt_termination.c  decision that an attempt can no longer run
 * worker_heartbeat.c     processing of a heartbeat and the answer to it
 * task_reconciliation.c  reconciliation of one task with a heartbeat
 * worker_commands.c      selection of the commands that are due
 * direct_commands.c      sending of direct commands and probes
 * command_messages.c     messages with commands, and the permission check for them
 * lease_expiry.c         silent machines, expired leases, unreachable zones
 * machine_upkeep.c       periodic work over all machines
 * machine_statistics.c   moving averages of starts, runs and boots
 * quarantine.c           quarantine of machines on which tasks fail
 * boot_record.c          failed boots of a machine type or a capacity offer
 * heartbeat_forwarder.c  forwarding of heartbeats by a node that is not the leader
 * delegate_reply.c       answers of a lease delegate to heartbeats */
#ifndef TW_CORE_WORKERS_H
#define TW_CORE_WORKERS_H
#include "core/core_int.h"
#include <stdbool.h>

/* Maximum age of a machine's last heartbeat, in heartbeat intervals, at which the machine may still
 * be sent commands: a machine with an older heartbeat might execute a command late. */
#define TW_RECENT_CONTACT_HEARTBEATS 2.5
/* Age of a heartbeat, in seconds, from which its worker discards the answer to it. */
#define TW_ANSWER_LIFETIME_S 4.0
/* Size of a heartbeat, in bytes, from which its worker reports to the leader itself: forwarding
 * would cost a second node as much time and memory as the leader. */
#define TW_LONG_HEARTBEAT_BYTES 65536
/* Timeout of a request with direct commands, in seconds. */
#define TW_DIRECT_TIMEOUT_S 1.5
/* Number of consecutive lost launches from which a machine counts as unresponsive. */
#define TW_MAX_LOST_LAUNCHES 3

/* Commands for one machine. The list is stored in a scratch buffer of the core, so only one message
 * can be composed at a time. */
typedef struct {
    tw_wire_command *list;
    int count;
    int max_count;
} tw_command_list;

/* ---- image.c ---- */

/* Returns the number of images that the machine is fetching, without the excluded image. If
 * excluded is NULL, all fetches are counted. */
int tw_image_count_fetches(const tw_core *core, const tw_machine *machine,
                           const tw_image *excluded);
/* Records that a task of the job uses its image on the machine, or that the machine fetches the
 * image for the task. If ready is true, the image is recorded as cached. */
void tw_image_note_use(tw_core *core, tw_machine *machine, const tw_job *job, bool ready);

/* ---- lease_expiry.c ---- */

/* Returns the maximum duration of a worker's lease by this node's clock, in seconds from the answer
 * to a heartbeat. */
double tw_lease_max_s(const tw_core *core);
/* The time at which a worker's lease has certainly expired if no node renews it any more
 * (expires_at), and the times that it is computed from. Each of the other members is the latest
 * time at which one source may have renewed the lease. All are steady seconds; 0 stands for
 * "never". */
typedef struct {
    double answered_at;       /* last answer of this node to the machine's heartbeat */
    double delegates_until;   /* last possible renewal by a lease delegate of the zone */
    double incarnation_at;    /* start of the incarnation, which begins with a full lease */
    double loading_at;        /* last renewal for any machine while this node loaded the records */
    double predecessor_until; /* last possible renewal by an earlier leader */
    double expires_at; /* lease expiry; includes lease duration and delegations of the zone */
} tw_lease_expiry;
/* Computes the lease expiry of the machine's worker. */
tw_lease_expiry tw_lease_expiry_compute(const tw_core *core, const tw_machine *machine);
/* Returns only the expires_at of tw_lease_expiry_compute. */
double tw_lease_expires_at(const tw_core *core, const tw_machine *machine);
/* Returns whether missing heartbeats of the machine are probably caused by the network and not by
 * the machine. */
bool tw_zone_is_unreachable(tw_core *core, const tw_machine *machine);
/* Updates the list of zones in which most machines are silent. */
void tw_zone_silence_update(tw_core *core);

/* ---- placement.c ---- */

/* Adds the task's resources to those used on its machine and by its team (sign 1), or subtracts
 * them (sign -1). */
void tw_placement_account(tw_core *core, tw_placement *placed, double sign);

/* ---- placement_index.c ---- */

typedef struct {
    struct tw_placement **slots; /* NULL: the index was not built */
    size_t mask;                 /* number of slots minus 1 */
} tw_placement_index;

/* Returns whether the placement stands for the reported task and attempt. */
bool tw_placement_is_of(const tw_placement *placed, const tw_wire_task *reported);
/* Builds an index of the machine's placements. The caller frees it. */
tw_placement_index tw_placement_index_new(const tw_machine *machine);
/* Returns the placement of the reported task, or NULL if the index has none. */
tw_placement *tw_placement_index_find(const tw_placement_index *index,
                                      const tw_wire_task *reported);
void tw_placement_index_free(tw_placement_index *index);

/* ---- machine_statistics.c ---- */

/* Updates the average queue delay or fetch rate of the machine from a task that a heartbeat has
 * just reported as started. */
void tw_statistics_note_start(tw_core *core, tw_placement *placed);
/* Updates the average slowness of the machine and the run time of the job class from a task that
 * has completed. */
void tw_statistics_note_run(tw_core *core, const tw_placement *placed);
/* Updates the share of overdue boots of the machine's type from a machine that has booted in time
 * or has become overdue. */
void tw_statistics_note_boot(tw_core *core, const tw_machine *machine);

/* ---- boot_record.c ---- */

/* Records that the machine did not boot in time, or failed to boot. The machine's type must be
 * known. */
void tw_boot_records_note_failure(tw_core *core, const tw_machine *machine);
/* Records that the machine has booted, in time or late. The machine's type must be known. */
void tw_boot_records_note_up(tw_core *core, const tw_machine *machine);

/* ---- task_reconciliation.c ---- */

/* Applies what a heartbeat reports about a task to the task's placement. */
void tw_reconcile_task(tw_core *core, tw_placement *placed, const tw_wire_heartbeat *heartbeat,
                       const tw_wire_task *reported);
/* Processes a task that a heartbeat reports and that has no placement. A command to stop or forget
 * the task is added to commands, which is NULL if the heartbeat is the response to direct commands.
 */
void tw_reconcile_unknown_task(tw_core *core, tw_machine *machine,
                               const tw_wire_heartbeat *heartbeat, const tw_wire_task *reported,
                               tw_command_list *commands);

/* ---- worker_heartbeat.c ---- */

/* Applies a heartbeat of the machine's worker to the machine and its placements. Commands for tasks
 * without a placement are added to commands. commands is NULL if the heartbeat is the response to
 * direct commands, which may have overtaken the answer to an ordinary heartbeat. Returns false and
 * changes nothing if the heartbeat is not newer than the last one, or if its lease has expired. */
bool tw_worker_heartbeat_apply(tw_core *core, tw_machine *machine,
                               const tw_wire_heartbeat *heartbeat, tw_command_list *commands);

/* ---- direct_commands.c ---- */

/* Returns whether direct commands for the machine are sent as soon as they are due. */
bool tw_machine_takes_commands(const tw_core *core, const tw_machine *machine);

/* ---- command_messages.c ---- */

/* Each of these functions returns the text of a message with commands and the fencing token; the
 * caller frees it. They return NULL if this node has no permission for the commands. That is an
 * error of the caller, who must send nothing. */

/* Composes the answer to a heartbeat. An answer without commands only renews the lease. */
char *tw_commands_reply_text(tw_core *core, const tw_command_list *commands);
/* Composes a message with direct commands, which is sent to the machine's own address. */
char *tw_commands_direct_text(tw_core *core, const tw_machine *machine,
                              const tw_command_list *commands);
/* Composes a lease delegate's answer to a heartbeat, which may contain only stop commands. */
char *tw_commands_delegate_text(tw_core *core, const tw_wire_heartbeat *heartbeat,
                                const tw_command_list *commands);

/* ---- worker_commands.c ---- */

/* Return an empty list that uses the core's scratch buffer, for the answer to a heartbeat or for a
 * direct message. The list that an earlier call returned becomes invalid. */
tw_command_list tw_command_list_for_answer(tw_core *core);
tw_command_list tw_command_list_for_direct_message(tw_core *core);
/* Returns whether no more commands fit into the message. */
bool tw_command_list_is_full(const tw_command_list *commands);
/* Adds a stop or forget command for a task that a heartbeat reports. If the list is full, the
 * command is dropped: it is due again with the next heartbeat. */
void tw_command_list_add(tw_command_list *commands, tw_wire_command_kind kind,
                         const tw_wire_task *task);
/* Adds the commands that are due for the machine. sequence is that of the heartbeat that is
 * answered, or 0 for direct commands. */
void tw_commands_add_due(tw_core *core, tw_machine *machine, tw_command_list *commands,
                         uint64_t sequence);

#endif
