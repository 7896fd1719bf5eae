/* Taking a worker's report in, and answering it. */
#include "core/workers.h"
#include <stdbool.h>

/* Among so many machines, one that seems not to hear us is believed to. */
#define MACHINES_PER_DEAF 15
/* A lease that lapsed although we answered less than this ago, in leases. */
#define HEARD_LATELY_LEASES 0.5

static tw_placement *find_placement(const tw_machine *machine, const tw_wire_task *reported) {
    tw_placement *each;
    DL_FOREACH(machine->placements, each) {
        if (each->attempt == reported->attempt && each->index == reported->index &&
            !strcmp(each->job->id, reported->job))
            return each;
    }
    return NULL;
}

/* Many machines that seem not to hear us: then it is us, or the network. */
static bool silence_is_credible(tw_core *core) {
    if (core->context.now - core->unresponsive_since > core->context.config->lease_s) {
        core->unresponsive_since = core->context.now;
        core->unresponsive_count = 0;
    }
    return ++core->unresponsive_count <= 1 + (int)HASH_COUNT(core->machines) / MACHINES_PER_DEAF;
}

/* The session is over: the worker has killed and forgotten all. */
static void on_new_incarnation(tw_core *core, tw_machine *machine,
                               const tw_wire_heartbeat *heartbeat) {
    const tw_attempt_termination end = {.evidence = TW_EVIDENCE_NEW_INCARNATION,
                                        .heartbeat = heartbeat};
    tw_placement *each, *next;
    int lost = 0;
    DL_FOREACH_SAFE(machine->placements, each, next) {
        const bool was_on_job = each->counted;
        if (tw_attempt_terminate(core, each, &end)) lost += was_on_job;
    }
    /* It reported, we answered, and still its lease lapsed: it does not hear us. */
    if (machine->confirmed &&
        core->context.now - machine->answered_at <
            HEARD_LATELY_LEASES * core->context.config->lease_s &&
        !machine->lease_expired && silence_is_credible(core)) {
        machine->lost_launches += TW_UNRESPONSIVE_AT;
        tw_log_info("event=machine_unresponsive worker=%s incarnation=%llu lost_tasks=%d",
                    machine->name, (unsigned long long)heartbeat->incarnation, lost);
    }
}

/* Nearly always it says what is known: to compare costs a tenth of printing it anew. */
static void copy_if_changed(char *known, size_t size, const char *told) {
    if (strcmp(known, told) != 0) snprintf(known, size, "%s", told);
}

/* What it says of the machine itself. */
static void note_machine(tw_core *core, tw_machine *machine, const tw_wire_heartbeat *heartbeat) {
    if (heartbeat->incarnation != machine->incarnation)
        machine->incarnation_learned_at = core->context.now;
    machine->incarnation = heartbeat->incarnation;
    machine->sequence = heartbeat->sequence;
    machine->state = TW_MACHINE_UP;
    machine->last_contact_at = core->context.now;
    machine->failed_sends = 0;
    machine->lease_expired = false;
    machine->spot = heartbeat->spot;
    copy_if_changed(machine->endpoint, sizeof machine->endpoint, heartbeat->endpoint);
    tw_machine_set_zone(core, machine, heartbeat->zone);
    copy_if_changed(machine->type_name, sizeof machine->type_name, heartbeat->machine_type);
    if (machine->type_index < 0)
        machine->type_index = tw_machine_type_index(core, heartbeat->machine_type);
    if (!machine->confirmed && heartbeat->fencing_token >= tw_cluster_token(core->cluster)) {
        machine->confirmed = 1;
        machine->confirmed_at = core->context.now;
        core->scheduling_due = true;
    }
    if (heartbeat->preemption_notice_s >= 0 && machine->preempted_at <= 0) {
        machine->preempted_at = core->context.now + heartbeat->preemption_notice_s;
        tw_log_info("event=preemption_notified worker=%s s=%.1f", machine->name,
                    heartbeat->preemption_notice_s);
    }
}

/* The answer that held the launch was lost, and is not executed late. */
static void handle_lost_launch(tw_core *core, tw_placement *placed,
                               const tw_wire_heartbeat *heartbeat) {
    tw_machine *machine = placed->machine;
    if (placed->stopping) {
        const tw_attempt_termination end = {.evidence = TW_EVIDENCE_LAUNCH_LOST,
                                            .heartbeat = heartbeat};
        tw_attempt_terminate(core, placed, &end);
        return;
    }
    placed->launch_sent = false;
    if (++placed->lost_launches >= TW_UNRESPONSIVE_AT &&
        machine->lost_launches < TW_UNRESPONSIVE_AT && silence_is_credible(core)) {
        machine->lost_launches = TW_UNRESPONSIVE_AT;
        tw_log_info("event=machine_unresponsive worker=%s lost_launches=%d", machine->name,
                    placed->lost_launches);
    }
}

/* A task that the report doesn't name. answers_order: the report answers direct orders. */
static void reconcile_missing_task(tw_core *core, tw_placement *placed,
                                   const tw_wire_heartbeat *heartbeat, bool answers_order) {
    const bool not_launched = tw_launch_was_lost(placed, heartbeat, answers_order);
    const bool forgotten = placed->state == TW_TASK_EXITED && placed->reported;
    const bool done_unseen = not_launched && !placed->counted; /* with its gang */
    if (forgotten || done_unseen) {
        tw_attempt_forget(core, placed);
    } else if (placed->inherited || placed->reported) {
        const tw_attempt_termination end = {.evidence = TW_EVIDENCE_ABSENT,
                                            .heartbeat = heartbeat,
                                            .answers_command = answers_order};
        tw_attempt_terminate(core, placed, &end);
    } else if (not_launched) {
        handle_lost_launch(core, placed, heartbeat);
    }
}

bool tw_worker_heartbeat_apply(tw_core *core, tw_machine *machine,
                               const tw_wire_heartbeat *heartbeat, tw_command_list *commands) {
    const bool same_session = heartbeat->incarnation == machine->incarnation;
    if (heartbeat->incarnation < machine->incarnation ||
        (same_session && heartbeat->sequence <= machine->sequence)) {
        core->counters.rejected[TW_REJECTED_OLDER_HEARTBEAT]++;
        return false;
    }
    /* Its lease has surely lapsed: of that session only late reports can come, held by a cut or
     * sent by a machine that goes on after it hung. Whatever they name runs no more. */
    if (machine->lease_expired && same_session) {
        core->counters.rejected[TW_REJECTED_EXPIRED_HEARTBEAT]++;
        return false;
    }
    if (machine->incarnation && heartbeat->incarnation > machine->incarnation)
        on_new_incarnation(core, machine, heartbeat);
    note_machine(core, machine, heartbeat);
    core->heartbeat_mark++;
    for (int i = 0; i < heartbeat->task_count; i++) {
        tw_placement *placed = find_placement(machine, &heartbeat->tasks[i]);
        if (placed) {
            placed->mark = core->heartbeat_mark;
            tw_reconcile_task(core, placed, heartbeat, &heartbeat->tasks[i]);
        } else {
            tw_reconcile_unknown_task(core, machine, heartbeat, &heartbeat->tasks[i], commands);
        }
    }
    tw_placement *each, *next;
    DL_FOREACH_SAFE(machine->placements, each, next) {
        if (each->mark == core->heartbeat_mark || (!each->launch_sent && !each->inherited))
            continue;
        reconcile_missing_task(core, each, heartbeat, commands == NULL);
    }
    return true;
}

static const tw_command_list no_commands = {NULL, 0};

static void reply_commands(tw_core *core, uint64_t connection, const tw_command_list *commands) {
    char *text = tw_commands_reply_text(core, commands);
    if (text)
        tw_reply(&core->context, connection, TW_HTTP_OK, 0, text);
    else
        tw_reply_error(&core->context, connection, TW_HTTP_UNAVAILABLE, 1, "no right to answer");
}

/* Overtaken by the answer to direct orders, or a late copy. The worker of the former must not be
 * turned away; the latter must not make a dead machine look alive. */
static void answer_older_heartbeat(tw_core *core, uint64_t connection, tw_machine *machine,
                                   const tw_wire_heartbeat *heartbeat) {
    if (heartbeat->incarnation != machine->incarnation || machine->lease_expired) {
        tw_reply_error(&core->context, connection, TW_HTTP_UNAVAILABLE, 1, "older than known");
        return;
    }
    machine->answered_older_at = core->context.now;
    reply_commands(core, connection, &no_commands);
}

static void answer_heartbeat(tw_core *core, uint64_t connection, tw_machine *machine,
                             const tw_wire_heartbeat *heartbeat) {
    tw_command_list commands = tw_command_list_new(core);
    if (!tw_worker_heartbeat_apply(core, machine, heartbeat, &commands)) {
        answer_older_heartbeat(core, connection, machine, heartbeat);
        return;
    }
    machine->answered_at = core->context.now;
    if (machine->first_answered_at <= 0) {
        machine->first_answered_at = core->context.now;
        if (machine->type_index >= 0 && !machine->overdue) tw_statistics_note_boot(core, machine);
        tw_log_info("event=machine_started worker=%s machine_type=%s zone=%s spot=%d after=%.1f",
                    machine->name, heartbeat->machine_type, heartbeat->zone, heartbeat->spot,
                    core->context.now - machine->known_since);
    }
    tw_commands_due(core, machine, &commands, heartbeat->sequence);
    machine->probe_wanted = machine->commands_wanted = false;
    if (!machine->confirmed) tw_machine_want_probe(core, machine);
    reply_commands(core, connection, &commands);
}

/* A late report of a machine that we returned. */
static bool is_returned(tw_core *core, const tw_machine *machine, const char *name) {
    if (tw_expiring_names_find(core->returned_machines, name)) return true;
    return machine && machine->return_in_flight;
}

/* At a node that may answer workers. */
static void receive_as_leader(tw_core *core, uint64_t connection,
                              const tw_wire_heartbeat *heartbeat, bool from_peer) {
    /* Sent to its own zone, where it is answered even if that is cut off from ours. */
    const bool is_ours = !strcmp(heartbeat->zone, core->context.config->location);
    if (!from_peer && (is_ours ? tw_cluster_redirect_safer(core->cluster, connection,
                                                           heartbeat->worker, heartbeat->zone)
                               : tw_cluster_redirect_home(core->cluster, connection,
                                                          heartbeat->worker, heartbeat->zone)))
        return;
    if (tw_cluster_is_loading(core->cluster)) {
        /* Renewed, nothing more: what should run there is not known yet. */
        core->answered_while_loading_at = core->context.now;
        reply_commands(core, connection, &no_commands);
        return;
    }
    tw_machine *machine = tw_machine_find(core, heartbeat->worker);
    if (is_returned(core, machine, heartbeat->worker)) {
        core->counters.rejected[TW_REJECTED_RETURNED_MACHINE]++;
        tw_reply_error(&core->context, connection, TW_HTTP_UNAVAILABLE, 1, "returned");
        return;
    }
    if (!machine) {
        machine = tw_machine_new(core, heartbeat->worker);
        tw_log_info("event=machine_discovered worker=%s machine_type=%s zone=%s", heartbeat->worker,
                    heartbeat->machine_type, heartbeat->zone);
    }
    answer_heartbeat(core, connection, machine, heartbeat);
}

void tw_worker_heartbeat_receive(tw_core *core, uint64_t connection, const char *body,
                                 size_t length, bool from_peer) {
    if (core->context.now >= core->next_heartbeat_sweep_at) {
        core->next_heartbeat_sweep_at = core->context.now + core->context.config->lease_s;
        tw_wire_heartbeat_cache_sweep(core->heartbeat_cache);
    }
    const tw_wire_heartbeat *heartbeat =
        tw_wire_heartbeat_cache_read(core->heartbeat_cache, body, length);
    if (!heartbeat) {
        tw_reply_error(&core->context, connection, TW_HTTP_BAD_REQUEST, 0, "malformed report");
        return;
    }
    if (heartbeat->fencing_token > tw_cluster_highest_token(core->cluster))
        tw_cluster_observe_token(core->cluster, heartbeat->fencing_token, NULL);
    if (tw_cluster_is_leader(core->cluster) &&
        heartbeat->fencing_token > tw_cluster_token(core->cluster))
        tw_cluster_step_down(core->cluster, "a worker saw a later token");
    if (tw_cluster_may(core->cluster, TW_PERMISSION_RENEW))
        receive_as_leader(core, connection, heartbeat, from_peer);
    else if (from_peer) {
        core->counters.rejected[TW_REJECTED_NO_PERMISSION]++;
        tw_reply_error(&core->context, connection, TW_HTTP_UNAVAILABLE, 1, "not the leader");
    } else if (heartbeat->fencing_token >
               tw_cluster_leader_token(core->cluster)) /* somebody we don't know leads by now */
        tw_reply(&core->context, connection, TW_HTTP_MISDIRECTED, 0, tw_wire_redirect_text(NULL));
    else
        tw_heartbeat_forward(core, connection, heartbeat, body, length);
}
