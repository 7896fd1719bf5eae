/* Receives workers' heartbeats, applies them to the machines' state and answers them.
 *
 * Invariants: a heartbeat is applied only if it is newer than all earlier ones of its worker and
 * its incarnation's lease has not certainly expired; a heartbeat is answered only by a node that
 * may renew leases. */
#include "core/workers.h"
#include <stdbool.h>

/* Fleet size, in machines, for each machine beyond the first that may be declared unresponsive
 * within the duration of a lease. */
#define MACHINES_PER_UNRESPONSIVE 15
/* Maximum age of the last answer, in leases, at which a new incarnation shows that answers don't
 * reach the worker: its lease expired although a heartbeat was answered so recently. */
#define RECENT_ANSWER_LEASES 0.5
/* Number of placements that may be examined for each task of a heartbeat before they are indexed.
 */
#define MAX_SEARCH_STEPS_PER_TASK 8

/* Search for the placements of the tasks that a heartbeat lists. */
typedef struct {
    const tw_machine *machine;
    tw_placement *last_found; /* placement of the task before; NULL: none */
    tw_placement_index index; /* built when the orders of the lists differ by much */
    uint64_t freed_count;     /* core->freed_placement_count when the index was built */
    int steps;                /* placements examined before the index was built */
} placement_search;

/* Returns the machine's placement of the reported task, or NULL if there is none. A heartbeat lists
 * tasks in nearly the same order as the machine's list, so the search begins after the task before.
 */
static tw_placement *find_placement(placement_search *search, const tw_wire_task *reported) {
    tw_placement *placed;
    if (search->index.slots) return tw_placement_index_find(&search->index, reported);
    for (placed = search->last_found; placed; placed = placed->next, search->steps++)
        if (tw_placement_is_of(placed, reported)) return placed;
    for (placed = search->machine->placements; placed != search->last_found;
         placed = placed->next, search->steps++)
        if (tw_placement_is_of(placed, reported)) return placed;
    return NULL;
}

/* Builds the index if the search takes many steps, and builds it anew if a placement was freed. */
static void limit_search_steps(const tw_core *core, placement_search *search, int task_count) {
    if (search->index.slots && search->freed_count == core->freed_placement_count) return;
    if (search->steps <= MAX_SEARCH_STEPS_PER_TASK * task_count) return;
    tw_placement_index_free(&search->index);
    search->index = tw_placement_index_new(search->machine);
    search->freed_count = core->freed_placement_count;
}

/* Counts a machine that this node's answers don't seem to reach, and returns whether the machine is
 * likely to be the cause. If there are many such machines, the cause is this node or the network.
 */
static bool is_unresponsiveness_credible(tw_core *core) {
    if (core->context.now - core->unresponsive_counted_since > core->context.config->lease_s) {
        core->unresponsive_counted_since = core->context.now;
        core->unresponsive_count = 0;
    }
    return ++core->unresponsive_count <=
           1 + (int)HASH_COUNT(core->machines) / MACHINES_PER_UNRESPONSIVE;
}

/* Returns whether this node's answers don't reach the machine: it has begun a new incarnation, so
 * its lease expired, although its heartbeats were answered recently. A machine that has never
 * reported this term's token may be known only from a delayed copy of a heartbeat; for such a
 * machine, the result is true only if its incarnation has been known for longer than
 * RECENT_ANSWER_LEASES. */
static bool answers_are_lost(const tw_core *core, const tw_machine *machine) {
    const double now = core->context.now;
    const double recent_answer_s = RECENT_ANSWER_LEASES * core->context.config->lease_s;
    if (machine->lease_expired || now - machine->answered_at >= recent_answer_s) return false;
    return machine->confirmed || now - machine->incarnation_learned_at > recent_answer_s;
}

/* Terminates the attempts of the worker's earlier incarnation, at whose end the worker has killed
 * and forgotten all its tasks. */
static void handle_new_incarnation(tw_core *core, tw_machine *machine,
                                   const tw_wire_heartbeat *heartbeat) {
    const tw_attempt_termination termination = {.evidence = TW_EVIDENCE_NEW_INCARNATION,
                                                .heartbeat = heartbeat};
    tw_placement *placed, *next;
    int lost_tasks = 0;
    DL_FOREACH_SAFE(machine->placements, placed, next) {
        const bool was_counted = placed->counted;
        if (tw_attempt_terminate(core, placed, &termination)) lost_tasks += was_counted;
    }
    if (answers_are_lost(core, machine) && is_unresponsiveness_credible(core)) {
        machine->lost_launches += TW_MAX_LOST_LAUNCHES;
        tw_log_info("event=machine_unresponsive worker=%s incarnation=%llu lost_tasks=%d",
                    machine->name, (unsigned long long)heartbeat->incarnation, lost_tasks);
    }
}

/* Copies the value if it differs from the known one. A heartbeat nearly always repeats the known
 * value, and a comparison takes a tenth of the time of formatting the value again. */
static void copy_if_changed(char *known, size_t size, const char *value) {
    if (strcmp(known, value) != 0) snprintf(known, size, "%s", value);
}

/* Applies the heartbeat's fields about the machine itself. */
static void update_machine(tw_core *core, tw_machine *machine, const tw_wire_heartbeat *heartbeat) {
    if (heartbeat->incarnation != machine->incarnation)
        machine->incarnation_learned_at = core->context.now;
    machine->incarnation = heartbeat->incarnation;
    machine->sequence = heartbeat->sequence;
    machine->state = TW_MACHINE_UP;
    core->machine_reach_version++;
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
        machine->confirmed = true;
        machine->confirmed_at = core->context.now;
        core->scheduling_due = true;
    }
    if (heartbeat->preemption_notice_s >= 0 && machine->preempted_at <= 0) {
        machine->preempted_at = core->context.now + heartbeat->preemption_notice_s;
        tw_log_info("event=preemption_notified worker=%s s=%.1f", machine->name,
                    heartbeat->preemption_notice_s);
    }
}

/* Handles a lost answer with a launch, which the worker can no longer execute: the task is launched
 * again, or its attempt is terminated if the task is to be stopped. */
static void handle_lost_launch(tw_core *core, tw_placement *placed,
                               const tw_wire_heartbeat *heartbeat) {
    tw_machine *machine = placed->machine;
    if (placed->stopping) {
        const tw_attempt_termination termination = {.evidence = TW_EVIDENCE_LAUNCH_LOST,
                                                    .heartbeat = heartbeat};
        tw_attempt_terminate(core, placed, &termination);
        return;
    }
    placed->launch_sent = false;
    if (++placed->lost_launches >= TW_MAX_LOST_LAUNCHES &&
        machine->lost_launches < TW_MAX_LOST_LAUNCHES && is_unresponsiveness_credible(core)) {
        machine->lost_launches = TW_MAX_LOST_LAUNCHES;
        tw_log_info("event=machine_unresponsive worker=%s lost_launches=%d", machine->name,
                    placed->lost_launches);
    }
}

/* Reconciles a placement whose task the heartbeat doesn't list. answers_command: the heartbeat is
 * the response to direct commands. */
static void reconcile_missing_task(tw_core *core, tw_placement *placed,
                                   const tw_wire_heartbeat *heartbeat, bool answers_command) {
    const bool launch_lost = tw_launch_was_lost(placed, heartbeat, answers_command);
    const bool forgotten = placed->state == TW_TASK_EXITED && placed->reported;
    if (forgotten) {
        tw_attempt_forget(core, placed);
    } else if (placed->inherited || placed->reported) {
        const tw_attempt_termination termination = {.evidence = TW_EVIDENCE_ABSENT,
                                                    .heartbeat = heartbeat,
                                                    .answers_command = answers_command};
        tw_attempt_terminate(core, placed, &termination);
    } else if (launch_lost) {
        handle_lost_launch(core, placed, heartbeat);
    }
}

/* Reconciles the tasks that the heartbeat lists, and then the machine's other placements. */
static void reconcile_tasks(tw_core *core, tw_machine *machine, const tw_wire_heartbeat *heartbeat,
                            tw_command_list *commands) {
    tw_placement *placed, *next;
    placement_search search = {.machine = machine};
    core->heartbeat_mark++;
    for (int i = 0; i < heartbeat->task_count; i++) {
        limit_search_steps(core, &search, heartbeat->task_count);
        placed = find_placement(&search, &heartbeat->tasks[i]);
        if (placed) {
            placed->mark = core->heartbeat_mark;
            search.last_found = placed;
            tw_reconcile_task(core, placed, heartbeat, &heartbeat->tasks[i]);
        } else {
            tw_reconcile_unknown_task(core, machine, heartbeat, &heartbeat->tasks[i], commands);
        }
    }
    tw_placement_index_free(&search.index);
    DL_FOREACH_SAFE(machine->placements, placed, next) {
        if (placed->mark == core->heartbeat_mark) continue;
        if (!placed->launch_sent && !placed->inherited) continue;
        reconcile_missing_task(core, placed, heartbeat, commands == NULL);
    }
}

bool tw_worker_heartbeat_apply(tw_core *core, tw_machine *machine,
                               const tw_wire_heartbeat *heartbeat, tw_command_list *commands) {
    const bool same_incarnation = heartbeat->incarnation == machine->incarnation;
    if (heartbeat->incarnation < machine->incarnation ||
        (same_incarnation && heartbeat->sequence <= machine->sequence)) {
        core->counters.rejected[TW_REJECTED_OLDER_HEARTBEAT]++;
        return false;
    }
    /* The lease of this incarnation has certainly expired, so the tasks in the heartbeat no longer
     * run. The heartbeat was delayed by a network partition or sent by a machine that hung and has
     * resumed. */
    if (machine->lease_expired && same_incarnation) {
        core->counters.rejected[TW_REJECTED_EXPIRED_HEARTBEAT]++;
        return false;
    }
    if (machine->incarnation && heartbeat->incarnation > machine->incarnation)
        handle_new_incarnation(core, machine, heartbeat);
    update_machine(core, machine, heartbeat);
    reconcile_tasks(core, machine, heartbeat, commands);
    return true;
}

/* An answer without commands only renews the worker's lease. */
static const tw_command_list empty_command_list = {NULL, 0, 0};

static void reply_commands(tw_core *core, uint64_t connection, const tw_command_list *commands) {
    char *text = tw_commands_reply_text(core, commands);
    if (text)
        tw_reply(&core->context, connection, TW_HTTP_OK, 0, text);
    else
        tw_reply_error(&core->context, connection, TW_HTTP_UNAVAILABLE, 1, "no right to answer");
}

/* Answers a heartbeat that is not newer than the last one: the response to direct commands has
 * overtaken it, or it is a delayed copy. In the first case the heartbeat must not be rejected, or
 * the worker would try another node. In the second case the answer must not be taken as a sign that
 * the machine is up. */
static void answer_older_heartbeat(tw_core *core, uint64_t connection, tw_machine *machine,
                                   const tw_wire_heartbeat *heartbeat) {
    if (heartbeat->incarnation != machine->incarnation || machine->lease_expired) {
        tw_reply_error(&core->context, connection, TW_HTTP_UNAVAILABLE, 1, "older than known");
        return;
    }
    machine->answered_older_at = core->context.now;
    reply_commands(core, connection, &empty_command_list);
}

/* Records the first answer to the machine, which has booted or was unknown to this leader. */
static void note_first_answer(tw_core *core, tw_machine *machine,
                              const tw_wire_heartbeat *heartbeat) {
    machine->first_answered_at = core->context.now;
    if (machine->type_index >= 0 && !machine->overdue) tw_statistics_note_boot(core, machine);
    /* If the machine was unknown until this heartbeat, its boot time is not known. */
    if (machine->type_index >= 0 && machine->known_since < core->context.now)
        tw_boot_records_note_up(core, machine);
    tw_log_info("event=machine_started worker=%s machine_type=%s zone=%s spot=%d after=%.1f",
                machine->name, heartbeat->machine_type, heartbeat->zone, heartbeat->spot,
                core->context.now - machine->known_since);
}

static void answer_heartbeat(tw_core *core, uint64_t connection, tw_machine *machine,
                             const tw_wire_heartbeat *heartbeat) {
    tw_command_list commands = tw_command_list_for_answer(core);
    if (!tw_worker_heartbeat_apply(core, machine, heartbeat, &commands)) {
        answer_older_heartbeat(core, connection, machine, heartbeat);
        return;
    }
    machine->answered_at = core->context.now;
    if (machine->first_answered_at <= 0) note_first_answer(core, machine, heartbeat);
    tw_commands_add_due(core, machine, &commands, heartbeat->sequence);
    machine->probe_requested = machine->commands_requested = false;
    if (!machine->confirmed) tw_machine_request_probe(core, machine);
    reply_commands(core, connection, &commands);
}

/* Returns whether the machine has been returned, or is being returned, so that the heartbeat must
 * be ignored. */
static bool was_returned(tw_core *core, const tw_machine *machine, const char *name) {
    if (tw_expiring_names_find(core->returned_machines, name)) return true;
    return machine && machine->return_in_flight;
}

/* Answers a heartbeat at a node that may renew leases, or, if may_redirect is set, redirects its
 * worker. */
static void receive_as_leader(tw_core *core, uint64_t connection,
                              const tw_wire_heartbeat *heartbeat, bool may_redirect) {
    /* A worker of another zone is redirected to a node in its own zone, which can answer it even
     * while that zone is cut off from this node's zone. */
    const bool is_of_own_zone = !strcmp(heartbeat->zone, core->context.config->location);
    if (may_redirect &&
        (is_of_own_zone ? tw_cluster_redirect_for_failover(core->cluster, connection,
                                                           heartbeat->worker, heartbeat->zone)
                        : tw_cluster_redirect_home(core->cluster, connection, heartbeat->worker,
                                                   heartbeat->zone)))
        return;
    if (tw_cluster_is_loading(core->cluster)) {
        /* Only the lease is renewed: the tasks of the machine are not loaded yet. */
        core->answered_while_loading_at = core->context.now;
        reply_commands(core, connection, &empty_command_list);
        return;
    }
    tw_machine *machine = tw_machine_find(core, heartbeat->worker);
    if (was_returned(core, machine, heartbeat->worker)) {
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
    if (tw_cluster_may(core->cluster, TW_PERMISSION_RENEW)) {
        receive_as_leader(core, connection, heartbeat,
                          !from_peer && length <= TW_LONG_HEARTBEAT_BYTES);
    } else if (from_peer) {
        core->counters.rejected[TW_REJECTED_NO_PERMISSION]++;
        tw_reply_error(&core->context, connection, TW_HTTP_UNAVAILABLE, 1, "not the leader");
    } else if (heartbeat->fencing_token > tw_cluster_leader_token(core->cluster)) {
        /* The worker has seen the token of a later leader, whose name this node doesn't know. */
        tw_reply(&core->context, connection, TW_HTTP_MISDIRECTED, 0, tw_wire_redirect_text(NULL));
    } else {
        tw_heartbeat_forward(core, connection, heartbeat, body, length);
    }
}
