/* The plan's faults, carried out. */
#include "soak.h"
#include <math.h>
#include <signal.h>
#include <stdbool.h>

#define QUICK_RESTART_S 0.6
#define SERIES_OF_LEADERS 3
#define MOMENT_WAIT_S 3.0 /* a fault whose moment doesn't come strikes all the same */
#define HELD_MOST_S 8.0

static void extend(tw_soak *run, double until) {
    run->world.faults_end_at = fmax(run->world.faults_end_at, until);
}

static void kill_node(tw_soak *run, int node, double back_s) {
    if (node < 0 || !tw_loopback_kill(&run->nodes, node)) return;
    run->thaw_at[node] = 0;
    run->restart_at[node] = run->world.now + back_s;
    extend(run, run->restart_at[node]);
}

static void freeze(tw_soak *run, int node, double seconds) {
    if (node < 0) return;
    tw_loopback_signal(&run->nodes, node, SIGSTOP);
    run->thaw_at[node] = run->world.now + seconds;
}

static void cut_links(tw_soak *run, const tw_soak_fault *fault, int node, int other, int zone) {
    const tw_soak_cut added = {.node = node,
                               .other = other,
                               .zone = zone,
                               .from = fault->direction != 2,
                               .to = fault->direction != 1,
                               .held = fault->held,
                               .until = run->world.now + fault->lasts_s};
    tw_soak_cut_add(run, &added);
}

/* A share of the machines that are up, until some time. */
static void strike_machines(tw_soak *run, const tw_soak_fault *fault) {
    const double until = run->world.now + fault->lasts_s;
    for (int i = 0; i < run->world.worker_count; i++) {
        tw_simulator_worker *worker = run->world.workers[i];
        if (worker->gone || !worker->up || tw_soak_draw(run, 0, 1) > fault->share / 2) continue;
        if (fault->kind == TW_SOAK_FAULT_UNRESPONSIVE) worker->unresponsive_until = until;
        if (fault->kind == TW_SOAK_FAULT_MUTE) worker->heartbeats_lost_until = until;
        if (fault->kind == TW_SOAK_FAULT_HANG) worker->hung_until = until;
    }
}

/* The node that a fault strikes; -1: nobody leads now. */
static int struck_node(tw_soak *run, const tw_soak_fault *fault) {
    return fault->node >= 0 ? fault->node : tw_soak_leader(run);
}

static double end_of(const tw_soak *run, const tw_soak_fault *fault) {
    return run->world.now + fault->lasts_s;
}

static void strike_kill(tw_soak *run, const tw_soak_fault *fault) {
    const double back_s = fault->held ? fmin(fault->lasts_s, QUICK_RESTART_S) : fault->lasts_s;
    kill_node(run, struck_node(run, fault), back_s);
}

static void strike_all(tw_soak *run, const tw_soak_fault *fault) {
    for (int node = 0; node < run->plan.nodes; node++) kill_node(run, node, fault->lasts_s);
}

static void strike_freeze(tw_soak *run, const tw_soak_fault *fault) {
    freeze(run, struck_node(run, fault), fault->lasts_s);
}

static void strike_leaders(tw_soak *run, const tw_soak_fault *fault) {
    (void)fault;
    run->leaders_to_kill = SERIES_OF_LEADERS;
}

static void strike_peers(tw_soak *run, const tw_soak_fault *fault) {
    const int node = struck_node(run, fault);
    if (node >= 0 && fault->other != node) cut_links(run, fault, node, fault->other, -1);
}

static void strike_state(tw_soak *run, const tw_soak_fault *fault) {
    const int node = struck_node(run, fault);
    if (node >= 0) cut_links(run, fault, node, TW_SOAK_STATE, -1);
}

static void strike_workers(tw_soak *run, const tw_soak_fault *fault) {
    const int node = struck_node(run, fault);
    if (node >= 0) cut_links(run, fault, node, TW_SOAK_WORKERS, fault->other % run->plan.zones);
}

static void strike_zone(tw_soak *run, const tw_soak_fault *fault) {
    cut_links(run, fault, -1, 0, fault->other % run->plan.zones);
}

static void strike_refused(tw_soak *run, const tw_soak_fault *fault) {
    const int node = struck_node(run, fault);
    if (node >= 0) run->refused_until[node] = end_of(run, fault);
}

static void strike_outage(tw_soak *run, const tw_soak_fault *fault) {
    tw_simulator_state_outage(&run->world.state, run->world.now, true);
    run->outage_until = end_of(run, fault);
}

/* A share of the messages of a kind. */
static void strike_share(tw_soak *run, const tw_soak_fault *fault) {
    tw_soak_share *const shares[TW_SOAK_FAULT_KINDS] = {
        [TW_SOAK_FAULT_LATE_HEARTBEATS] = &run->late_heartbeats,
        [TW_SOAK_FAULT_HELD_HEARTBEATS] = &run->held_heartbeat_share,
        [TW_SOAK_FAULT_LATE_COMMANDS] = &run->late_commands,
        [TW_SOAK_FAULT_REPEATED_COMMANDS] = &run->repeated_commands,
        [TW_SOAK_FAULT_LATE_WRITES] = &run->late_writes,
        [TW_SOAK_FAULT_LOST_ANSWERS] = &run->lost_answers};
    *shares[fault->kind] = (tw_soak_share){fault->share, end_of(run, fault)};
}

static void strike_boots(tw_soak *run, const tw_soak_fault *fault) {
    run->world.fast_boot_until = end_of(run, fault);
}

static void strike(tw_soak *run, const tw_soak_fault *fault) {
    static void (*const strikes[TW_SOAK_FAULT_KINDS])(tw_soak *, const tw_soak_fault *) = {
        [TW_SOAK_FAULT_KILL] = strike_kill,
        [TW_SOAK_FAULT_KILL_ALL] = strike_all,
        [TW_SOAK_FAULT_FREEZE] = strike_freeze,
        [TW_SOAK_FAULT_LEADERS] = strike_leaders,
        [TW_SOAK_FAULT_CUT_PEERS] = strike_peers,
        [TW_SOAK_FAULT_CUT_STATE] = strike_state,
        [TW_SOAK_FAULT_CUT_WORKERS] = strike_workers,
        [TW_SOAK_FAULT_ISOLATE_ZONE] = strike_zone,
        [TW_SOAK_FAULT_REFUSE_STATE] = strike_refused,
        [TW_SOAK_FAULT_OUTAGE] = strike_outage,
        [TW_SOAK_FAULT_LATE_HEARTBEATS] = strike_share,
        [TW_SOAK_FAULT_HELD_HEARTBEATS] = strike_share,
        [TW_SOAK_FAULT_LATE_COMMANDS] = strike_share,
        [TW_SOAK_FAULT_REPEATED_COMMANDS] = strike_share,
        [TW_SOAK_FAULT_LATE_WRITES] = strike_share,
        [TW_SOAK_FAULT_LOST_ANSWERS] = strike_share,
        [TW_SOAK_FAULT_UNRESPONSIVE] = strike_machines,
        [TW_SOAK_FAULT_MUTE] = strike_machines,
        [TW_SOAK_FAULT_HANG] = strike_machines,
        [TW_SOAK_FAULT_INCARNATIONS] = strike_all,
        [TW_SOAK_FAULT_FAST_BOOTS] = strike_boots};
    run->struck[fault->kind]++;
    extend(run, end_of(run, fault) + HELD_MOST_S);
    tw_soak_note(run, "fault", 0, "", 0, tw_soak_fault_name(fault->kind), "");
    strikes[fault->kind](run, fault);
}

static void strike_first(tw_soak *run, tw_soak_moment moment) {
    for (int i = 0; i < run->plan.fault_count; i++) {
        tw_soak_fault *fault = &run->plan.faults[i];
        if (fault->begun || run->world.now < fault->at_s) continue;
        const bool overdue = run->world.now >= fault->at_s + MOMENT_WAIT_S;
        if (fault->moment != moment && !(moment == TW_SOAK_MOMENT_NOW && overdue)) continue;
        fault->begun = 1;
        strike(run, fault);
        return;
    }
}

static void moment_over(tw_soak *run, void *data) {
    const tw_soak_moment *moment = data;
    strike_first(run, *moment);
}

void tw_soak_moment_came(tw_soak *run, tw_soak_moment moment) {
    static tw_soak_moment moments[] = {TW_SOAK_MOMENT_NOW, TW_SOAK_MOMENT_LAUNCH,
                                       TW_SOAK_MOMENT_LEADER, TW_SOAK_MOMENT_CANCEL};
    static const double soon_s = 0.3;
    bool wanted = false;
    for (int i = 0; i < run->plan.fault_count; i++) {
        const tw_soak_fault *fault = &run->plan.faults[i];
        wanted |= !fault->begun && fault->moment == moment && run->world.now >= fault->at_s;
    }
    if (!wanted) return;
    tw_soak_after(run, tw_soak_draw(run, 0, soon_s), moment_over, &moments[moment]);
}

void tw_soak_faults_tick(tw_soak *run) {
    strike_first(run, TW_SOAK_MOMENT_NOW);
    for (int node = 0; node < run->plan.nodes; node++) {
        if (run->thaw_at[node] > 0 && run->world.now >= run->thaw_at[node]) {
            run->thaw_at[node] = 0;
            tw_loopback_signal(&run->nodes, node, SIGCONT);
        }
        if (run->restart_at[node] > 0 && run->world.now >= run->restart_at[node]) {
            run->restart_at[node] = 0;
            if (!tw_soak_start_node(run, node))
                tw_soak_finish(run, "FAIL", "a controller can't be started");
        }
    }
    if (run->outage_until > 0 && run->world.now >= run->outage_until) {
        run->outage_until = 0;
        tw_simulator_state_outage(&run->world.state, run->world.now, false);
    }
    tw_soak_cuts_tick(run);
}
