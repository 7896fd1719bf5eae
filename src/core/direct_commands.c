/* Sends direct commands, which go to a machine's own address, and probes, which only request its
 * state, and processes their responses. worker_commands.c selects the commands.
 *
 * Invariants: a machine has at most one such request in flight. If there is no response, the
 * outcome of the launches in the request stays unknown, and requests to the machine pause for a
 * time. */
#include "core/workers.h"
#include <stdbool.h>

/* Number of requests in flight from which no further silent machines are probed, as a share of the
 * node's sockets. */
#define MAX_PROBES_PER_SOCKET 0.06
/* Minimum share of the leader's lease that must remain, so that a direct launch arrives before the
 * lease expires. */
#define MIN_AUTHORITY_SHARE 0.1
/* Number of intervals without a heartbeat after which a machine is probed. */
#define PROBE_AFTER_HEARTBEATS 1.5
/* Maximum pause between direct commands to a machine that doesn't respond, in heartbeat intervals.
 */
#define MAX_PAUSE_HEARTBEATS 8
/* Maximum number of probes of a machine that doesn't respond or whose responses don't confirm it.
 */
#define MAX_PROBES 4
#define DECIMAL 10

static void queue_machine(tw_core *core, tw_machine *machine) {
    if (machine->in_command_queue) return;
    machine->in_command_queue = true;
    DL_APPEND2(core->command_queue, machine, queue_prev, queue_next);
}

void tw_machine_request_commands(tw_core *core, tw_machine *machine) {
    machine->commands_requested = true;
    queue_machine(core, machine);
}

void tw_machine_request_probe(tw_core *core, tw_machine *machine) {
    machine->probe_requested = true;
    queue_machine(core, machine);
}

static tw_call *send_to_machine(tw_core *core, tw_machine *machine, const char *method,
                                const char *path, char *body) {
    tw_call *call = tw_call_send(&core->context, TW_CALL_SEND_COMMANDS, TW_TO_WORKER,
                                 machine->endpoint, method, path, body, TW_DIRECT_TIMEOUT_S);
    snprintf(call->name, sizeof call->name, "%s", machine->name);
    machine->command_in_flight = true;
    core->commands_in_flight++;
    return call;
}

/* Records in the call which tasks its commands launch; the outcome of these launches is unknown
 * until the response. */
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

bool tw_machine_takes_commands(const tw_core *core, const tw_machine *machine) {
    const double recent_contact_s = TW_RECENT_CONTACT_HEARTBEATS * core->context.config->report_s;
    return machine->state == TW_MACHINE_UP && machine->confirmed && *machine->endpoint &&
           !machine->return_wanted && core->context.now >= machine->commands_paused_until &&
           core->context.now - machine->last_contact_at < recent_contact_s;
}

/* Sends the machine its direct commands or a probe. A probe is an empty list of commands: it
 * presents this term's token to the machine, whose response lists its tasks. Commands are sent only
 * to a machine with a recent heartbeat; another machine might execute them late. */
static void send_direct_commands(tw_core *core, tw_machine *machine) {
    if (machine->command_in_flight || core->context.now < machine->commands_paused_until ||
        (!machine->commands_requested && !machine->probe_requested))
        return;
    const bool is_probe = machine->probe_requested;
    const bool takes_commands = tw_machine_takes_commands(core, machine);
    machine->commands_requested = machine->probe_requested = false;
    if (machine->return_wanted || !*machine->endpoint || (!is_probe && !takes_commands)) return;
    if (!machine->incarnation) { /* commands require the incarnation, which is not known yet */
        send_to_machine(core, machine, "GET", "/inspect", NULL);
        return;
    }
    tw_command_list commands = tw_command_list_for_direct_message(core);
    if (takes_commands) tw_commands_add_due(core, machine, &commands, 0);
    if (!commands.count && !is_probe) return;
    char *body = tw_commands_direct_text(core, machine, &commands);
    if (!body) return;
    note_launches(send_to_machine(core, machine, "POST", "/orders", body), &commands);
}

/* Queues the machines for which direct commands or a probe are requested, and requests probes of
 * silent machines. */
static void queue_due_machines(tw_core *core) {
    const int max_in_flight = (int)(MAX_PROBES_PER_SOCKET * core->context.config->sockets);
    int in_flight = core->commands_in_flight;
    tw_machine *machine, *next;
    HASH_ITER(hh, core->machines, machine, next) {
        if (machine->command_in_flight || core->context.now < machine->commands_paused_until)
            continue;
        /* This node may reach the machine even if the machine's heartbeats reach only a node that
         * can't forward them to this one. */
        if (machine->state == TW_MACHINE_UP &&
            core->context.now - machine->last_contact_at >
                PROBE_AFTER_HEARTBEATS * core->context.config->report_s &&
            in_flight < max_in_flight) {
            machine->probe_requested = true;
            in_flight++;
        }
        if (machine->commands_requested || machine->probe_requested) queue_machine(core, machine);
    }
}

/* Runs after every input, so it handles only the queued machines, and scans all machines only once
 * per tick. */
void tw_commands_send_direct(tw_core *core) {
    tw_machine *machine;
    if (!tw_cluster_authority_lasts(core->cluster,
                                    MIN_AUTHORITY_SHARE * tw_cluster_lease_s(core->cluster)))
        return;
    if (core->context.now >= core->next_command_scan_at) {
        core->next_command_scan_at = core->context.now + tw_core_tick_s(core);
        queue_due_machines(core);
    }
    while ((machine = core->command_queue)) {
        DL_DELETE2(core->command_queue, machine, queue_prev, queue_next);
        machine->in_command_queue = false;
        send_direct_commands(core, machine);
    }
}

/* Records that the machine has responded to the direct launches of the call. refused: the machine
 * did not execute them. */
static void settle_launches(const tw_machine *machine, const tw_call *call, bool refused) {
    tw_placement_index index = tw_placement_index_new(machine);
    for (int i = 0; i < call->count; i++) {
        const char *slash = strrchr(call->names[i], '/');
        tw_wire_task launched = {.attempt = call->tokens[i]};
        if (!slash) continue;
        launched.index = (int)strtol(slash + 1, NULL, DECIMAL);
        snprintf(launched.job, sizeof launched.job, "%.*s", (int)(slash - call->names[i]),
                 call->names[i]);
        tw_placement *placed = tw_placement_index_find(&index, &launched);
        if (placed) tw_launch_note_response(placed, refused);
    }
    tw_placement_index_free(&index);
}

/* Handles a missing response to direct commands or a probe: pauses requests to the machine, and
 * requests another probe up to MAX_PROBES times if the machine has never sent a heartbeat. */
static void note_failed_send(tw_core *core, tw_machine *machine) {
    machine->failed_sends++;
    core->machine_reach_version++;
    const double pause_heartbeats =
        machine->last_contact_at ? fmin(1 + machine->failed_sends, MAX_PAUSE_HEARTBEATS) : 1;
    machine->commands_paused_until =
        core->context.now + pause_heartbeats * core->context.config->report_s;
    if (!machine->last_contact_at && ++machine->failed_probes < MAX_PROBES)
        tw_machine_request_probe(core, machine);
}

void tw_commands_handle_response(tw_core *core, tw_call *call, int status, const char *body,
                                 size_t length) {
    tw_machine *machine = tw_machine_find(core, call->name);
    if (!machine) return;
    core->commands_in_flight -= machine->command_in_flight;
    machine->command_in_flight = false;
    if (machine->commands_requested || machine->probe_requested) queue_machine(core, machine);
    if (status == TW_HTTP_NO_RESPONSE) {
        note_failed_send(core, machine);
        return; /* the commands may still arrive: the outcome of their launches stays unknown */
    }
    if (call->count) settle_launches(machine, call, status != TW_HTTP_OK);
    tw_wire_heartbeat heartbeat;
    if ((status != TW_HTTP_OK && status != TW_HTTP_CONFLICT) ||
        tw_wire_heartbeat_parse(&heartbeat, body, length))
        return;
    if (heartbeat.fencing_token > tw_cluster_token(core->cluster)) {
        tw_cluster_observe_token(core->cluster, heartbeat.fencing_token, NULL);
    } else if (!strcmp(heartbeat.worker, machine->name)) {
        tw_worker_heartbeat_apply(core, machine, &heartbeat, NULL);
        if (!machine->confirmed && machine->unconfirmed_probes++ < MAX_PROBES)
            tw_machine_request_probe(core, machine);
    }
    tw_wire_heartbeat_free(&heartbeat);
}
