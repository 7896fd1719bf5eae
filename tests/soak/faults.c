/* Injects the faults of the plan. */
#include "soak.h"
#include <math.h>
#include <signal.h>
#include <stdbool.h>

#define QUICK_RESTART_S 0.6
#define SERIES_LEADER_COUNT 3
#define TRIGGER_TIMEOUT_S 3.0 /* a fault is injected without its trigger after this time */
#define MAX_MESSAGE_DELAY_S 8.0

static void extend_faults_end(tw_soak *run, double until) {
    run->world.faults_end_at = fmax(run->world.faults_end_at, until);
}

static void kill_node(tw_soak *run, int node, double restart_after_s) {
    if (node < 0 || !tw_loopback_kill_node(&run->nodes, node)) return;
    run->resume_at[node] = 0;
    run->restart_at[node] = run->world.now + restart_after_s;
    extend_faults_end(run, run->restart_at[node]);
}

static void freeze_node(tw_soak *run, int node, double seconds) {
    if (node < 0) return;
    tw_loopback_signal_node(&run->nodes, node, SIGSTOP);
    run->resume_at[node] = run->world.now + seconds;
}

static void cut_links(tw_soak *run, const tw_soak_fault *fault, int node, int other, int zone) {
    const tw_soak_cut cut = {.node = node,
                             .other = other,
                             .zone = zone,
                             .from = fault->direction != 2,
                             .to = fault->direction != 1,
                             .held = fault->held,
                             .until = run->world.now + fault->duration_s};
    tw_soak_add_cut(run, &cut);
}

/* Applies the fault to a random part of the machines that are up. */
static void inject_machine_faults(tw_soak *run, const tw_soak_fault *fault) {
    const double until = run->world.now + fault->duration_s;
    for (int i = 0; i < run->world.worker_count; i++) {
        tw_simulator_worker *worker = run->world.workers[i];
        if (worker->removed || !worker->up || tw_soak_draw(run, 0, 1) > fault->share / 2) continue;
        if (fault->kind == TW_SOAK_FAULT_UNRESPONSIVE) worker->unresponsive_until = until;
        if (fault->kind == TW_SOAK_FAULT_LOST_HEARTBEATS) worker->heartbeats_lost_until = until;
        if (fault->kind == TW_SOAK_FAULT_HANG) worker->hung_until = until;
    }
}

/* Returns the controller that the fault affects, or -1 if that is the leader and there is none. */
static int target_node(tw_soak *run, const tw_soak_fault *fault) {
    return fault->node >= 0 ? fault->node : tw_soak_find_leader(run);
}

static double fault_end_at(const tw_soak *run, const tw_soak_fault *fault) {
    return run->world.now + fault->duration_s;
}

static void inject_kill(tw_soak *run, const tw_soak_fault *fault) {
    const double restart_after_s =
        fault->held ? fmin(fault->duration_s, QUICK_RESTART_S) : fault->duration_s;
    kill_node(run, target_node(run, fault), restart_after_s);
}

static void inject_kill_all(tw_soak *run, const tw_soak_fault *fault) {
    for (int node = 0; node < run->plan.nodes; node++) kill_node(run, node, fault->duration_s);
}

static void inject_freeze(tw_soak *run, const tw_soak_fault *fault) {
    freeze_node(run, target_node(run, fault), fault->duration_s);
}

static void inject_leader_kills(tw_soak *run, const tw_soak_fault *fault) {
    (void)fault;
    run->leaders_to_kill = SERIES_LEADER_COUNT;
}

static void inject_peer_cut(tw_soak *run, const tw_soak_fault *fault) {
    const int node = target_node(run, fault);
    if (node >= 0 && fault->other != node) cut_links(run, fault, node, fault->other, -1);
}

static void inject_state_cut(tw_soak *run, const tw_soak_fault *fault) {
    const int node = target_node(run, fault);
    if (node >= 0) cut_links(run, fault, node, TW_SOAK_STATE_SERVICE, -1);
}

static void inject_worker_cut(tw_soak *run, const tw_soak_fault *fault) {
    const int node = target_node(run, fault);
    if (node >= 0) cut_links(run, fault, node, TW_SOAK_WORKERS, fault->other % run->plan.zones);
}

static void inject_zone_isolation(tw_soak *run, const tw_soak_fault *fault) {
    cut_links(run, fault, -1, 0, fault->other % run->plan.zones);
}

static void inject_state_refusal(tw_soak *run, const tw_soak_fault *fault) {
    const int node = target_node(run, fault);
    if (node >= 0) run->state_refused_until[node] = fault_end_at(run, fault);
}

static void inject_outage(tw_soak *run, const tw_soak_fault *fault) {
    tw_simulator_state_outage(&run->world.state, run->world.now, true);
    run->outage_until = fault_end_at(run, fault);
}

/* Sets the fraction of the messages of the fault's kind that are affected. */
static void inject_message_share(tw_soak *run, const tw_soak_fault *fault) {
    tw_soak_message_share *const shares[TW_SOAK_FAULT_KIND_COUNT] = {
        [TW_SOAK_FAULT_LATE_HEARTBEATS] = &run->late_heartbeats,
        [TW_SOAK_FAULT_HELD_HEARTBEATS] = &run->held_heartbeat_share,
        [TW_SOAK_FAULT_LATE_COMMANDS] = &run->late_commands,
        [TW_SOAK_FAULT_REPEATED_COMMANDS] = &run->repeated_commands,
        [TW_SOAK_FAULT_LATE_WRITES] = &run->late_writes,
        [TW_SOAK_FAULT_LOST_ANSWERS] = &run->lost_answers};
    *shares[fault->kind] = (tw_soak_message_share){fault->share, fault_end_at(run, fault)};
}

static void inject_fast_boots(tw_soak *run, const tw_soak_fault *fault) {
    run->world.fast_boot_until = fault_end_at(run, fault);
}

static void inject_fault(tw_soak *run, const tw_soak_fault *fault) {
    static void (*const strikes[TW_SOAK_FAULT_KIND_COUNT])(tw_soak *, const tw_soak_fault *) = {
        [TW_SOAK_FAULT_KILL] = inject_kill,
        [TW_SOAK_FAULT_KILL_ALL] = inject_kill_all,
        [TW_SOAK_FAULT_FREEZE] = inject_freeze,
        [TW_SOAK_FAULT_KILL_LEADERS] = inject_leader_kills,
        [TW_SOAK_FAULT_CUT_PEERS] = inject_peer_cut,
        [TW_SOAK_FAULT_CUT_STATE] = inject_state_cut,
        [TW_SOAK_FAULT_CUT_WORKERS] = inject_worker_cut,
        [TW_SOAK_FAULT_ISOLATE_ZONE] = inject_zone_isolation,
        [TW_SOAK_FAULT_REFUSE_STATE] = inject_state_refusal,
        [TW_SOAK_FAULT_OUTAGE] = inject_outage,
        [TW_SOAK_FAULT_LATE_HEARTBEATS] = inject_message_share,
        [TW_SOAK_FAULT_HELD_HEARTBEATS] = inject_message_share,
        [TW_SOAK_FAULT_LATE_COMMANDS] = inject_message_share,
        [TW_SOAK_FAULT_REPEATED_COMMANDS] = inject_message_share,
        [TW_SOAK_FAULT_LATE_WRITES] = inject_message_share,
        [TW_SOAK_FAULT_LOST_ANSWERS] = inject_message_share,
        [TW_SOAK_FAULT_UNRESPONSIVE] = inject_machine_faults,
        [TW_SOAK_FAULT_LOST_HEARTBEATS] = inject_machine_faults,
        [TW_SOAK_FAULT_HANG] = inject_machine_faults,
        [TW_SOAK_FAULT_END_INCARNATIONS] = inject_kill_all,
        [TW_SOAK_FAULT_FAST_BOOTS] = inject_fast_boots};
    run->fault_counts[fault->kind]++;
    extend_faults_end(run, fault_end_at(run, fault) + MAX_MESSAGE_DELAY_S);
    tw_soak_trace_message(run, "fault", 0, "", 0, tw_soak_fault_name(fault->kind), "");
    strikes[fault->kind](run, fault);
}

static void inject_first_due(tw_soak *run, tw_soak_trigger trigger) {
    for (int i = 0; i < run->plan.fault_count; i++) {
        tw_soak_fault *fault = &run->plan.faults[i];
        if (fault->begun || run->world.now < fault->at_s) continue;
        const bool overdue = run->world.now >= fault->at_s + TRIGGER_TIMEOUT_S;
        if (fault->trigger != trigger && !(trigger == TW_SOAK_TRIGGER_TIME && overdue)) continue;
        fault->begun = 1;
        inject_fault(run, fault);
        return;
    }
}

static void inject_triggered_fault(tw_soak *run, void *data) {
    const tw_soak_trigger *trigger = data;
    inject_first_due(run, *trigger);
}

void tw_soak_handle_trigger(tw_soak *run, tw_soak_trigger trigger) {
    static tw_soak_trigger moments[] = {TW_SOAK_TRIGGER_TIME, TW_SOAK_TRIGGER_LAUNCH,
                                        TW_SOAK_TRIGGER_LEADER, TW_SOAK_TRIGGER_CANCEL};
    static const double max_delay_s = 0.3;
    bool has_waiting_fault = false;
    for (int i = 0; i < run->plan.fault_count; i++) {
        const tw_soak_fault *fault = &run->plan.faults[i];
        has_waiting_fault |=
            !fault->begun && fault->trigger == trigger && run->world.now >= fault->at_s;
    }
    if (!has_waiting_fault) return;
    tw_soak_schedule_action(run, tw_soak_draw(run, 0, max_delay_s), inject_triggered_fault,
                            &moments[trigger]);
}

void tw_soak_faults_tick(tw_soak *run) {
    inject_first_due(run, TW_SOAK_TRIGGER_TIME);
    for (int node = 0; node < run->plan.nodes; node++) {
        if (run->resume_at[node] > 0 && run->world.now >= run->resume_at[node]) {
            run->resume_at[node] = 0;
            tw_loopback_signal_node(&run->nodes, node, SIGCONT);
        }
        if (run->restart_at[node] > 0 && run->world.now >= run->restart_at[node]) {
            run->restart_at[node] = 0;
            if (!tw_soak_start_node(run, node))
                tw_soak_finish(run, "FAIL", "cannot start a controller process");
        }
    }
    if (run->outage_until > 0 && run->world.now >= run->outage_until) {
        run->outage_until = 0;
        tw_simulator_state_outage(&run->world.state, run->world.now, false);
    }
    tw_soak_cuts_tick(run);
}
