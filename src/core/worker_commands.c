/* Which commands are due for a machine, in the answer to its heartbeat or directly
 * (direct_commands.c).
 *
 * Commands in an answer to a heartbeat are never carried out late. Direct ones may be, as long as
 * fencing token and incarnation match:
 *   - a launch is of a durable placement, which counts as running until its fate is known;
 *   - a stop names one attempt, which is never launched again;
 *   - a forget is not sent directly, nor for an attempt whose direct launch is under way, or was
 *     sent so lately that it may be carried out once more. */
#include "core/workers.h"
#include <stdbool.h>

/* Commands in one answer, which stays under the protocol's 64 KiB; the rest come in the next one.
 */
#define MAX_COMMANDS 500
/* Attempts on one machine whose direct launch may still be carried out. The machine has to list
 * them all, and its heartbeat is to stay far under the 64 KiB: beyond that its launches go with
 * answers to heartbeats only, which are never carried out late. */
#define MAX_REPEATABLE_LAUNCHES 200

static void subtract_capacity(tw_capacity *from, const tw_wire_job *spec) {
    from->cores -= spec->cores;
    from->gpus -= spec->gpus;
    from->memory_gb -= spec->memory_gb;
}

tw_command_list tw_command_list_new(tw_core *core) {
    if (!core->command_scratch)
        core->command_scratch = tw_alloc(MAX_COMMANDS * sizeof *core->command_scratch);
    return (tw_command_list){core->command_scratch, 0};
}

static void append_command(tw_command_list *commands, tw_wire_command command, const char *job) {
    if (commands->count >= MAX_COMMANDS) return;
    snprintf(command.job, sizeof command.job, "%s", job);
    commands->list[commands->count++] = command;
}

void tw_command_list_add(tw_command_list *commands, tw_wire_command_kind kind,
                         const tw_wire_task *task) {
    append_command(commands,
                   (tw_wire_command){.kind = kind, .index = task->index, .attempt = task->attempt},
                   task->job);
}

static void add_command(tw_command_list *commands, tw_wire_command_kind kind,
                        const tw_placement *placed) {
    append_command(commands,
                   (tw_wire_command){.kind = kind,
                                     .index = placed->index,
                                     .attempt = placed->attempt,
                                     .grace_s = kind == TW_COMMAND_STOP ? placed->grace_s : 0},
                   placed->job->id);
}

static bool may_launch(const tw_placement *placed) {
    /* An attempt of an earlier leader is never launched again: first it is settled whether it may
     * still start, and then the task gets a new attempt. */
    return !placed->inherited && !placed->reported && !placed->stopping && placed->counted &&
           placed->job->state == TW_JOB_PENDING && !placed->job->cancelling &&
           tw_store_is_durable(placed->job->record, placed->version);
}

/* A gang's task whose image is there long before the others' is launched later. */
static bool must_wait_for_gang(const tw_core *core, const tw_placement *placed) {
    return core->context.now < placed->launch_after;
}

/* Whether the answer to the heartbeat of that sequence must launch the stopped task again, to be
 * stopped at once. A direct launch got no response, and may still arrive: the machine that launches
 * and stops the task now refuses it then. A stop alone would not settle whether the launch was
 * lost: of a task that the machine doesn't have it tells nothing. */
static bool must_settle_launch(const tw_machine *machine, const tw_placement *placed,
                               uint64_t sequence) {
    if (!sequence || placed->reported || !placed->direct_launches) return false;
    if (placed->launch_sequence) return placed->launch_sequence < sequence;
    return !machine->command_in_flight;
}

/* Whether the stopped task has the time to save a checkpoint. */
static bool may_save(const tw_placement *placed) {
    return placed->grace_s > 0 && placed->job->spec.checkpoint_s > 0 &&
           placed->state != TW_TASK_FETCHING;
}

/* Adds stops. Subtracts from the amounts what preempted tasks hold that still save a checkpoint:
 * their room is promised to others, but it is not free yet. */
static void add_stops(const tw_machine *machine, tw_command_list *commands, uint64_t sequence,
                      tw_capacity *available) {
    const tw_placement *placed;
    DL_FOREACH(machine->placements, placed) {
        if (!placed->counted || !placed->stopping) continue;
        if (must_settle_launch(machine, placed, sequence))
            add_command(commands, TW_COMMAND_LAUNCH, placed);
        if (placed->state != TW_TASK_SAVING || placed->grace_s <= 0)
            add_command(commands, TW_COMMAND_STOP, placed);
        if (may_save(placed) && placed->preempted) subtract_capacity(available, &placed->job->spec);
    }
}

/* Whether the attempt is the task's only one. Placing it required that; it is checked again where
 * it is launched, since a task that runs twice would start here. */
static bool is_only_attempt(tw_core *core, const tw_placement *placed) {
    const tw_job *job = placed->job;
    if (placed->counted && !placed->inherited &&
        job->task_states[placed->index] == TW_ASSIGNMENT_PLACED)
        return true;
    tw_invariant_broken(core, TW_INVARIANT_LAUNCH, "task=%s/%d attempt=%llu worker=%s", job->id,
                        placed->index, (unsigned long long)placed->attempt, placed->machine->name);
    return false;
}

/* Whether the task fits into the amounts. */
static bool task_fits(const tw_capacity *available, const tw_wire_job *spec) {
    return available->cores + TW_CAPACITY_ROUNDING >= spec->cores &&
           available->gpus + TW_CAPACITY_ROUNDING >= spec->gpus &&
           available->memory_gb + TW_CAPACITY_ROUNDING >= spec->memory_gb;
}

static void log_launch(const tw_placement *placed, uint64_t sequence) {
    tw_log_debug("event=task_launched task=%s/%d attempt=%llu worker=%s incarnation=%llu "
                 "sequence=%llu direct=%d",
                 placed->job->id, placed->index, (unsigned long long)placed->attempt,
                 placed->machine->name, (unsigned long long)placed->machine->incarnation,
                 (unsigned long long)sequence, !sequence);
}

/* sequence: of the heartbeat that is answered with the launch; 0: it is direct. */
static void note_launch(const tw_core *core, tw_placement *placed, uint64_t sequence) {
    placed->launch_sent = true;
    placed->launch_incarnation = placed->machine->incarnation;
    if (sequence) {
        placed->launch_sequence = sequence;
    } else {
        placed->direct_launches++;
        placed->direct_launch_at = core->context.now;
    }
}

/* Subtracts what the machine's tasks hold that are, or may be, there already. */
static void subtract_launched(const tw_machine *machine, tw_capacity *available) {
    const tw_placement *placed;
    DL_FOREACH(machine->placements, placed) {
        if (!placed->counted || placed->preempted) continue;
        if (may_launch(placed) && !placed->launch_sent) continue;
        subtract_capacity(available, &placed->job->spec);
    }
}

/* How many more tasks may be launched on the machine by direct commands. */
static int count_direct_launches_left(const tw_core *core, const tw_machine *machine) {
    const tw_placement *placed;
    int remaining = MAX_REPEATABLE_LAUNCHES;
    DL_FOREACH(machine->placements, placed) { remaining -= tw_launch_may_repeat(core, placed); }
    return remaining;
}

/* Adds launches. available: the machine's amounts, less what still saves a checkpoint. */
static void add_launches(tw_core *core, tw_machine *machine, tw_command_list *commands,
                         uint64_t sequence, tw_capacity available) {
    tw_placement *placed;
    int launches_left = sequence ? MAX_COMMANDS : count_direct_launches_left(core, machine);
    subtract_launched(machine, &available);
    DL_FOREACH(machine->placements, placed) {
        if (launches_left <= 0) break;
        if (!may_launch(placed) || must_wait_for_gang(core, placed)) continue;
        if (placed->launch_sent && !sequence) continue; /* its first launch is on its way */
        if (!placed->launch_sent) {
            if (!task_fits(&available, &placed->job->spec)) continue;
            subtract_capacity(&available, &placed->job->spec);
        }
        if (commands->count >= MAX_COMMANDS) break;
        if (!is_only_attempt(core, placed)) continue;
        add_command(commands, TW_COMMAND_LAUNCH, placed);
        log_launch(placed, sequence);
        note_launch(core, placed, sequence);
        launches_left--;
    }
}

static void add_forgets(const tw_core *core, const tw_machine *machine, tw_command_list *commands) {
    const tw_placement *placed;
    DL_FOREACH(machine->placements, placed) {
        if (placed->state != TW_TASK_EXITED || !placed->reported) continue;
        /* A launch that is carried out once more starts a task that the machine has forgotten. */
        if (tw_launch_may_repeat(core, placed)) continue;
        if (placed->cause == TW_CAUSE_DONE && !tw_store_is_settled(placed->job->record) &&
            placed->job->durable_state == TW_JOB_PENDING)
            continue; /* the record doesn't say yet that the task is done */
        add_command(commands, TW_COMMAND_FORGET, placed);
    }
}

void tw_commands_add_due(tw_core *core, tw_machine *machine, tw_command_list *commands,
                         uint64_t sequence) {
    tw_capacity available = {0, 0, 0};
    if (machine->type_index >= 0) {
        const tw_wire_machine_type *type = &core->machine_types[machine->type_index].listed;
        available = (tw_capacity){type->cores, type->gpus, type->memory_gb};
    }
    add_stops(machine, commands, sequence, &available);
    if (!tw_cluster_may(core->cluster, TW_PERMISSION_COMMAND)) {
        core->counters.rejected[TW_REJECTED_COMMANDS]++;
        return;
    }
    if (machine->type_index < 0) return;
    add_launches(core, machine, commands, sequence, available);
    if (sequence) add_forgets(core, machine, commands);
}
