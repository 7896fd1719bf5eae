/* Commands to machines: those in the answers to their reports, and those sent to their own
 * address. */
#include "core/workers.h"
#include <stdbool.h>

#define MAX_ORDERS 500  /* keeps an answer under the protocol's 64 KiB; the rest in the next one */
#define MOST_EXITED 200 /* on a machine: keeps its report far under the protocol's 64 KiB */
#define MAX_ASKED 0.06  /* silent machines asked at once, as a share of the sockets */
#define DIRECT_S 1.5    /* a direct order's answer is waited for */
#define SPARE_TTL 0.1   /* a launch should arrive under our authority: of its length, left then */
#define SILENT_REPORTS 1.5   /* without a report for so long, a machine is asked itself */
#define PAUSE_MOST_REPORTS 8 /* between direct orders to one that doesn't answer */
#define MOST_PROBES 4

static void subtract_capacity(tw_capacity *from, const tw_wire_job *spec) {
    from->cores -= spec->cores;
    from->gpus -= spec->gpus;
    from->memory_gb -= spec->memory_gb;
}

tw_command_list tw_command_list_new(tw_core *core) {
    if (!core->command_scratch)
        core->command_scratch = tw_alloc(MAX_ORDERS * sizeof *core->command_scratch);
    return (tw_command_list){core->command_scratch, 0};
}

void tw_command_list_add(tw_command_list *commands, tw_wire_command command, const char *job) {
    if (commands->count >= MAX_ORDERS) return;
    snprintf(command.job, sizeof command.job, "%s", job);
    commands->list[commands->count++] = command;
}

static void add_command(tw_command_list *commands, int verb, const tw_placement *placed) {
    tw_command_list_add(commands,
                        (tw_wire_command){.kind = verb,
                                          .index = placed->index,
                                          .attempt = placed->attempt,
                                          .grace_s = verb == TW_COMMAND_STOP ? placed->grace_s : 0},
                        placed->job->id);
}

static bool may_launch(const tw_placement *placed) {
    /* A predecessor's is never launched again: whether it still comes is settled first, and then
     * the task gets a new attempt. */
    return !placed->inherited && !placed->reported && !placed->stopping && placed->counted &&
           placed->job->state == TW_JOB_PENDING && !placed->job->cancelling &&
           placed->version <= placed->job->durable_version;
}

/* A gang's task whose image is there long before the last one's is launched later. */
static bool is_early(const tw_core *core, const tw_placement *placed) {
    return core->context.now < placed->launch_after;
}

/* Takes off `room` what tasks that still save hold, though they count as gone. */
static void add_stops(const tw_machine *machine, tw_command_list *commands, uint64_t sequence,
                      tw_capacity *room) {
    const tw_placement *each;
    DL_FOREACH(machine->placements, each) {
        if (!each->counted || !each->stopping) continue;
        if (!each->reported && each->direct_launches && sequence &&
            (each->launch_sequence ? each->launch_sequence < sequence
                                   : !machine->command_in_flight))
            /* A direct launch got no answer and may still come: started and stopped here, it
             * can't start then. Without that a lost one would leave the task in between for
             * ever: a kill of what the machine doesn't have tells nothing. */
            add_command(commands, TW_COMMAND_LAUNCH, each);
        if (each->state != TW_TASK_SAVING || each->grace_s <= 0)
            add_command(commands, TW_COMMAND_STOP, each);
        const bool saves = each->grace_s > 0 && each->job->spec.checkpoint_s > 0 &&
                           each->state != TW_TASK_FETCHING;
        if (saves && each->preempted) subtract_capacity(room, &each->job->spec);
    }
}

/* An earlier attempt of the task has ended, or this one would not be placed: checked again where it
 * is launched, since a task that runs twice starts here. */
static bool is_only_attempt(tw_core *core, const tw_placement *placed) {
    const tw_job *job = placed->job;
    if (placed->counted && !placed->inherited &&
        job->task_states[placed->index] == TW_ASSIGNMENT_PLACED)
        return true;
    tw_invariant_broken(core, TW_INVARIANT_LAUNCH, "task=%s/%d attempt=%llu worker=%s", job->id,
                        placed->index, (unsigned long long)placed->attempt, placed->machine->name);
    return false;
}

static void log_launch(const tw_placement *placed, uint64_t sequence) {
    tw_log_debug("event=task_launched task=%s/%d attempt=%llu worker=%s incarnation=%llu "
                 "sequence=%llu direct=%d",
                 placed->job->id, placed->index, (unsigned long long)placed->attempt,
                 placed->machine->name, (unsigned long long)placed->machine->incarnation,
                 (unsigned long long)sequence, !sequence);
}

static void note_direct_launch(const tw_core *core, tw_placement *placed) {
    placed->direct_launches++;
    placed->direct_launch_at = core->context.now;
}

/* room: all of the machine's, less what still saves. */
static void add_launches(tw_core *core, tw_machine *machine, tw_command_list *commands,
                         uint64_t sequence, tw_capacity room) {
    tw_placement *each;
    DL_FOREACH(machine->placements, each) {
        if (!each->counted || each->preempted) continue;
        if (may_launch(each) && !each->launch_sent) continue;
        subtract_capacity(&room, &each->job->spec);
    }
    DL_FOREACH(machine->placements, each) {
        if (!may_launch(each) || is_early(core, each)) continue;
        const tw_wire_job *spec = &each->job->spec;
        if (each->launch_sent && !sequence) continue; /* its first launch is on the way */
        if (!each->launch_sent) {
            if (room.cores + TW_CAPACITY_ROUNDING < spec->cores ||
                room.gpus + TW_CAPACITY_ROUNDING < spec->gpus ||
                room.memory_gb + TW_CAPACITY_ROUNDING < spec->memory_gb)
                continue;
            subtract_capacity(&room, spec);
        }
        if (commands->count >= MAX_ORDERS) break;
        if (!is_only_attempt(core, each)) continue;
        add_command(commands, TW_COMMAND_LAUNCH, each);
        log_launch(each, sequence);
        each->launch_sent = true;
        each->launch_incarnation = machine->incarnation;
        if (sequence)
            each->launch_sequence = sequence;
        else
            note_direct_launch(core, each);
    }
}

static int count_exited(const tw_machine *machine) {
    const tw_placement *each;
    int count = 0;
    DL_FOREACH(machine->placements, each) { count += each->state == TW_TASK_EXITED; }
    return count;
}

static void add_forgets(const tw_core *core, const tw_machine *machine, tw_command_list *commands) {
    int too_many = count_exited(machine) - MOST_EXITED; /* the oldest stand first */
    const tw_placement *each;
    DL_FOREACH(machine->placements, each) {
        if (each->state != TW_TASK_EXITED || !each->reported || each->direct_launches) continue;
        /* A repeated launch starts what the machine has forgotten. */
        if (tw_launch_may_repeat(core, each) && too_many-- <= 0) continue;
        if (each->cause == TW_CAUSE_DONE && each->job->durable_version != each->job->version &&
            each->job->durable_state == TW_JOB_PENDING)
            continue; /* not durable yet */
        add_command(commands, TW_COMMAND_FORGET, each);
    }
}

/* From a report's answer (tick > 0) they are never executed late; direct ones may be, as long as
 * token and session match:
 * - a launch is of a durable placement, which counts as running until its fate is known;
 * - a kill names one attempt, which is never started again;
 * - a forget is not sent directly, nor for an attempt whose direct launch is still under way, or
 * was sent so lately that it may come once more. */
void tw_commands_due(tw_core *core, tw_machine *machine, tw_command_list *commands,
                     uint64_t sequence) {
    tw_capacity room = {0, 0, 0};
    if (machine->type_index >= 0) {
        const tw_wire_machine_type *type = &core->machine_types[machine->type_index].listed;
        room = (tw_capacity){type->cores, type->gpus, type->memory_gb};
    }
    add_stops(machine, commands, sequence, &room);
    if (!tw_cluster_may(core->cluster, TW_PERMISSION_COMMAND)) {
        core->counters.rejected[TW_REJECTED_COMMANDS]++;
        return;
    }
    if (machine->type_index < 0) return;
    add_launches(core, machine, commands, sequence, room);
    if (sequence) add_forgets(core, machine, commands);
}

/* ---- direct orders ---- */

static void queue_machine(tw_core *core, tw_machine *machine) {
    if (machine->in_command_queue) return;
    machine->in_command_queue = true;
    DL_APPEND2(core->command_queue, machine, queue_prev, queue_next);
}

void tw_machine_want_commands(tw_core *core, tw_machine *machine) {
    machine->commands_wanted = true;
    queue_machine(core, machine);
}

void tw_machine_want_probe(tw_core *core, tw_machine *machine) {
    machine->probe_wanted = true;
    queue_machine(core, machine);
}

static tw_call *send_to_machine(tw_core *core, tw_machine *machine, const char *method,
                                const char *path, char *body) {
    tw_call *call = tw_call_send(&core->context, TW_CALL_SEND_COMMANDS, TW_TO_WORKER,
                                 machine->endpoint, method, path, body, DIRECT_S);
    snprintf(call->name, sizeof call->name, "%s", machine->name);
    machine->command_in_flight = true;
    core->commands_in_flight++;
    return call;
}

/* Which tasks are launched by these orders: their fate is unknown until the answer. */
static void note_launches(tw_call *call, const tw_command_list *commands) {
    call->names = tw_alloc((size_t)commands->count * TW_NAME_SIZE);
    call->tokens = tw_alloc((size_t)commands->count * sizeof *call->tokens);
    for (int i = 0; i < commands->count; i++) {
        const tw_wire_command *command = &commands->list[i];
        if (command->kind != TW_COMMAND_LAUNCH) continue;
        snprintf(call->names[call->count], TW_NAME_SIZE, "%s/%d", command->job, command->index);
        call->tokens[call->count++] = command->attempt;
    }
}

/* Orders that order nothing make a machine know our token, and tell what is on it. Commands go only
 * to one that answered lately: others might carry them out late. */
static void send_direct_commands(tw_core *core, tw_machine *machine) {
    if (machine->command_in_flight || core->context.now < machine->no_commands_before ||
        (!machine->commands_wanted && !machine->probe_wanted))
        return;
    const bool probe = machine->probe_wanted;
    const double silent_s = core->context.now - machine->last_contact_at;
    const double in_touch_s = TW_IN_TOUCH_HEARTBEATS * core->context.config->report_s;
    machine->commands_wanted = machine->probe_wanted = false;
    if (machine->return_wanted || !*machine->endpoint) return;
    if (!probe && (machine->state != TW_MACHINE_UP || !machine->confirmed || silent_s > in_touch_s))
        return;
    if (!machine->incarnation) { /* its session is not known yet */
        send_to_machine(core, machine, "GET", "/inspect", NULL);
        return;
    }
    tw_command_list commands = tw_command_list_new(core);
    if (machine->confirmed && silent_s < in_touch_s) tw_commands_due(core, machine, &commands, 0);
    if (!commands.count && !probe) return;
    char *body = tw_commands_direct_text(core, machine, &commands);
    if (!body) return;
    note_launches(send_to_machine(core, machine, "POST", "/orders", body), &commands);
}

static void scan_machines(tw_core *core) {
    const int most = (int)(MAX_ASKED * core->context.config->sockets);
    int asked = core->commands_in_flight;
    tw_machine *each, *next;
    HASH_ITER(hh, core->machines, each, next) {
        if (each->command_in_flight || core->context.now < each->no_commands_before) continue;
        /* Its reports may reach a node that can't reach us, while we reach the machine. */
        if (each->state == TW_MACHINE_UP &&
            core->context.now - each->last_contact_at >
                SILENT_REPORTS * core->context.config->report_s &&
            asked < most) {
            each->probe_wanted = true;
            asked++;
        }
        if (each->commands_wanted || each->probe_wanted) queue_machine(core, each);
    }
}

/* Runs after every input, so it looks only at machines that something was wanted of; at all of them
 * once a tick. */
void tw_commands_send_direct(tw_core *core) {
    tw_machine *due;
    if (!tw_cluster_authority_lasts(core->cluster, SPARE_TTL * tw_cluster_lease_s(core->cluster)))
        return;
    if (core->context.now >= core->next_command_scan_at) {
        core->next_command_scan_at = core->context.now + tw_core_tick_s(core);
        scan_machines(core);
    }
    while ((due = core->command_queue)) {
        DL_DELETE2(core->command_queue, due, queue_prev, queue_next);
        due->in_command_queue = false;
        send_direct_commands(core, due);
    }
}

/* A launch that was sent so is no longer under way; refused: it won't start. */
static void settle_launch(const tw_machine *machine, const char *task, uint64_t attempt,
                          bool refused) {
    tw_placement *each;
    char name[TW_NAME_SIZE];
    DL_FOREACH(machine->placements, each) {
        snprintf(name, sizeof name, "%s/%d", each->job->id, each->index);
        if (each->attempt != attempt || strcmp(name, task) != 0) continue;
        tw_launch_answered(each, refused);
        return;
    }
}

void tw_commands_response(tw_core *core, tw_call *call, int status, const char *body,
                          size_t length) {
    tw_machine *machine = tw_machine_find(core, call->name);
    if (!machine) return;
    core->commands_in_flight -= machine->command_in_flight;
    machine->command_in_flight = false;
    if (machine->commands_wanted || machine->probe_wanted) queue_machine(core, machine);
    if (status == 0) {
        machine->failed_sends++;
        const double pause =
            machine->last_contact_at ? fmin(1 + machine->failed_sends, PAUSE_MOST_REPORTS) : 1;
        machine->no_commands_before = core->context.now + pause * core->context.config->report_s;
        if (!machine->last_contact_at && ++machine->failed_probes < MOST_PROBES)
            tw_machine_want_probe(core, machine);
        return; /* may still arrive: the placements keep their mark */
    }
    for (int i = 0; i < call->count; i++)
        settle_launch(machine, call->names[i], call->tokens[i], status != TW_HTTP_OK);
    tw_wire_heartbeat heartbeat;
    if ((status != TW_HTTP_OK && status != TW_HTTP_CONFLICT) ||
        tw_wire_heartbeat_parse(&heartbeat, body, length))
        return;
    if (heartbeat.fencing_token > tw_cluster_token(core->cluster)) {
        tw_cluster_observe_token(core->cluster, heartbeat.fencing_token, NULL);
    } else if (!strcmp(heartbeat.worker, machine->name)) {
        tw_worker_heartbeat_apply(core, machine, &heartbeat, NULL);
        if (!machine->confirmed && machine->probed++ < MOST_PROBES)
            tw_machine_want_probe(core, machine);
    }
    tw_wire_heartbeat_free(&heartbeat);
}
