/* Selects the commands that are due for a machine, for the answer to its heartbeat or for a direct
 * message (direct_commands.c).
 *
 * A worker never executes commands in an answer to a heartbeat late. It may execute direct commands
 * late, as long as fencing token and incarnation match. These rules make late commands harmless:
 *   - a launch belongs to a durable placement, which counts as running until the outcome of the
 *     launch is known;
 *   - a stop names one attempt, which is never launched again;
 *   - a forget is not sent directly, nor for an attempt whose direct launch is in flight or was
 *     sent so recently that the worker may execute it a second time. */
#include "core/workers.h"
#include <stdbool.h>

/* Maximum number of direct commands in one message, which keeps it under the protocol's limit of 64
 * KiB for requests. */
#define MAX_DIRECT_COMMANDS 500
/* Maximum number of commands in one answer to a heartbeat. It is so large because a machine sends
 * at most two heartbeats a second, and all tasks of a gang must be launched within gang_wait_s. */
#define MAX_ANSWER_COMMANDS 8000
/* Maximum number of attempts on one machine whose direct launch may still be executed. The machine
 * has to list all of them, and its heartbeat must stay far under 64 KiB. Further launches are sent
 * only in answers to heartbeats, which are never executed late. */
#define MAX_REPEATABLE_LAUNCHES 200

static void subtract_capacity(tw_capacity *from, const tw_wire_job *spec) {
    from->cores -= spec->cores;
    from->gpus -= spec->gpus;
    from->memory_gb -= spec->memory_gb;
}

static tw_command_list new_list(tw_core *core, int max_count) {
    if (!core->command_scratch)
        core->command_scratch = tw_alloc(MAX_ANSWER_COMMANDS * sizeof *core->command_scratch);
    return (tw_command_list){core->command_scratch, 0, max_count};
}

tw_command_list tw_command_list_for_answer(tw_core *core) {
    return new_list(core, MAX_ANSWER_COMMANDS);
}

tw_command_list tw_command_list_for_direct_message(tw_core *core) {
    return new_list(core, MAX_DIRECT_COMMANDS);
}

bool tw_command_list_is_full(const tw_command_list *commands) {
    return commands->count >= commands->max_count;
}

static void append_command(tw_command_list *commands, tw_wire_command command, const char *job) {
    if (tw_command_list_is_full(commands)) return;
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
    /* An attempt of an earlier leader is never launched again: once it is certain that the attempt
     * can no longer start, the task gets a new attempt. */
    return !placed->inherited && !placed->reported && !placed->stopping && placed->counted &&
           placed->job->state == TW_JOB_PENDING && !placed->job->cancelling &&
           tw_store_is_durable(placed->job->record, placed->version);
}

/* Returns whether the launch of a gang's task is delayed because its image will be available long
 * before those of the other tasks. */
static bool must_wait_for_gang(const tw_core *core, const tw_placement *placed) {
    return core->context.now < placed->launch_after;
}

/* Returns whether the answer to the heartbeat with that sequence must contain another launch of the
 * task, followed by its stop. A direct launch of the task got no response and may still arrive; a
 * machine that has launched and stopped the task refuses it. A stop alone would not show whether
 * the direct launch was lost, because a machine doesn't report on a stop of a task that it doesn't
 * know. */
static bool must_settle_launch(const tw_machine *machine, const tw_placement *placed,
                               uint64_t sequence) {
    if (!sequence || placed->reported || !placed->direct_launches) return false;
    if (placed->launch_sequence) return placed->launch_sequence < sequence;
    return !machine->command_in_flight;
}

/* Returns whether the task being stopped may save a checkpoint in its grace period. */
static bool may_save(const tw_placement *placed) {
    return placed->grace_s > 0 && placed->job->spec.checkpoint_s > 0 &&
           placed->state != TW_TASK_FETCHING;
}

/* Adds the stop commands that are due. Subtracts from the available amounts the resources of
 * preempted tasks that may still save a checkpoint: they are promised to other tasks, but not free
 * yet. */
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

/* Returns whether the attempt is the task's only one. The placement already requires this. It is
 * checked again at the launch, because an undetected error would make the task run twice. */
static bool is_only_attempt(tw_core *core, const tw_placement *placed) {
    const tw_job *job = placed->job;
    if (placed->counted && !placed->inherited &&
        job->task_states[placed->index] == TW_ASSIGNMENT_PLACED)
        return true;
    tw_invariant_broken(core, TW_INVARIANT_LAUNCH, "task=%s/%d attempt=%llu worker=%s", job->id,
                        placed->index, (unsigned long long)placed->attempt, placed->machine->name);
    return false;
}

/* Returns whether the available amounts suffice for the task. */
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

/* Records that the task was launched. sequence is that of the heartbeat that is answered with the
 * launch, or 0 for a direct launch. */
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

/* Subtracts the resources of the machine's tasks that run, or may run, on it already. */
static void subtract_launched(const tw_machine *machine, tw_capacity *available) {
    const tw_placement *placed;
    DL_FOREACH(machine->placements, placed) {
        if (!placed->counted || placed->preempted) continue;
        if (may_launch(placed) && !placed->launch_sent) continue;
        subtract_capacity(available, &placed->job->spec);
    }
}

/* Returns how many more tasks may be launched on the machine by direct commands. */
static int count_direct_launches_left(const tw_core *core, const tw_machine *machine) {
    const tw_placement *placed;
    int remaining = MAX_REPEATABLE_LAUNCHES;
    DL_FOREACH(machine->placements, placed) { remaining -= tw_launch_may_repeat(core, placed); }
    return remaining;
}

/* Adds the launch commands that are due. available holds the resources of the machine without those
 * of preempted tasks that may still save a checkpoint. */
static void add_launches(tw_core *core, tw_machine *machine, tw_command_list *commands,
                         uint64_t sequence, tw_capacity available) {
    tw_placement *placed;
    int launches_left = sequence ? commands->max_count : count_direct_launches_left(core, machine);
    subtract_launched(machine, &available);
    DL_FOREACH(machine->placements, placed) {
        if (launches_left <= 0) break;
        if (!may_launch(placed) || must_wait_for_gang(core, placed)) continue;
        if (placed->launch_sent && !sequence) continue; /* an earlier launch is in flight */
        if (!placed->launch_sent) {
            if (!task_fits(&available, &placed->job->spec)) continue;
            subtract_capacity(&available, &placed->job->spec);
        }
        if (tw_command_list_is_full(commands)) break;
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
        /* If the worker executes a launch a second time, it starts a task that it has forgotten. */
        if (tw_launch_may_repeat(core, placed)) continue;
        if (placed->cause == TW_CAUSE_DONE &&
            !tw_store_is_durable(placed->job->record, placed->version) &&
            placed->job->durable_state == TW_JOB_PENDING)
            continue; /* the stored record doesn't contain the completion of the task yet */
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
