/* The plan's faults, carried out. */
#include "soak.h"
#include <math.h>
#include <signal.h>
#include <stdbool.h>

#define QUICK_RESTART_S 0.6
#define SERIES_OF_LEADERS 3
#define MOMENT_WAIT_S 3.0 /* a fault whose moment doesn't come strikes all the same */
#define HELD_MOST_S 8.0

static void extend(soak *run, double until) {
    run->world.troubles_end = fmax(run->world.troubles_end, until);
}

static void kill_node(soak *run, int node, double back_s) {
    if (node < 0 || !tw_loopback_kill(&run->nodes, node)) return;
    run->thaw_at[node] = 0;
    run->restart_at[node] = run->world.now + back_s;
    extend(run, run->restart_at[node]);
}

static void freeze(soak *run, int node, double seconds) {
    if (node < 0) return;
    tw_loopback_signal(&run->nodes, node, SIGSTOP);
    run->thaw_at[node] = run->world.now + seconds;
}

static void cut(soak *run, const soak_fault *fault, int node, int other, int zone) {
    const soak_cut added = {.node = node,
                            .other = other,
                            .zone = zone,
                            .from = fault->direction != 2,
                            .to = fault->direction != 1,
                            .held = fault->held,
                            .until = run->world.now + fault->lasts_s};
    soak_cut_add(run, &added);
}

/* A share of the machines that are up, until some time. */
static void strike_machines(soak *run, const soak_fault *fault) {
    const double until = run->world.now + fault->lasts_s;
    for (int i = 0; i < run->world.worker_count; i++) {
        tw_simulator_worker *worker = run->world.workers[i];
        if (worker->gone || !worker->up || soak_draw(run, 0, 1) > fault->share / 2) continue;
        if (fault->kind == FAULT_DEAF) worker->unresponsive_until = until;
        if (fault->kind == FAULT_MUTE) worker->mute_until = until;
        if (fault->kind == FAULT_HANG) worker->hung_until = until;
    }
}

/* The node that a fault strikes; -1: nobody leads now. */
static int struck_node(soak *run, const soak_fault *fault) {
    return fault->node >= 0 ? fault->node : soak_leader(run);
}

static double end_of(const soak *run, const soak_fault *fault) {
    return run->world.now + fault->lasts_s;
}

static void strike_kill(soak *run, const soak_fault *fault) {
    const double back_s = fault->held ? fmin(fault->lasts_s, QUICK_RESTART_S) : fault->lasts_s;
    kill_node(run, struck_node(run, fault), back_s);
}

static void strike_all(soak *run, const soak_fault *fault) {
    for (int node = 0; node < run->plan.nodes; node++) kill_node(run, node, fault->lasts_s);
}

static void strike_freeze(soak *run, const soak_fault *fault) {
    freeze(run, struck_node(run, fault), fault->lasts_s);
}

static void strike_leaders(soak *run, const soak_fault *fault) {
    (void)fault;
    run->leaders_to_kill = SERIES_OF_LEADERS;
}

static void strike_peers(soak *run, const soak_fault *fault) {
    const int node = struck_node(run, fault);
    if (node >= 0 && fault->other != node) cut(run, fault, node, fault->other, -1);
}

static void strike_state(soak *run, const soak_fault *fault) {
    const int node = struck_node(run, fault);
    if (node >= 0) cut(run, fault, node, SOAK_STATE, -1);
}

static void strike_workers(soak *run, const soak_fault *fault) {
    const int node = struck_node(run, fault);
    if (node >= 0) cut(run, fault, node, SOAK_WORKERS, fault->other % run->plan.zones);
}

static void strike_island(soak *run, const soak_fault *fault) {
    cut(run, fault, -1, 0, fault->other % run->plan.zones);
}

static void strike_refused(soak *run, const soak_fault *fault) {
    const int node = struck_node(run, fault);
    if (node >= 0) run->refused_until[node] = end_of(run, fault);
}

static void strike_outage(soak *run, const soak_fault *fault) {
    tw_simulator_state_outage(&run->world.state, run->world.now, true);
    run->outage_until = end_of(run, fault);
}

/* A share of the messages of a kind. */
static void strike_share(soak *run, const soak_fault *fault) {
    soak_share *const shares[FAULT_KINDS] = {[FAULT_LATE_REPORTS] = &run->late_reports,
                                             [FAULT_KEPT_REPORTS] = &run->kept_reports,
                                             [FAULT_LATE_COMMANDS] = &run->late_commands,
                                             [FAULT_REPEATED_COMMANDS] = &run->repeated_commands,
                                             [FAULT_LATE_WRITES] = &run->late_writes,
                                             [FAULT_LOST_ANSWERS] = &run->lost_answers};
    *shares[fault->kind] = (soak_share){fault->share, end_of(run, fault)};
}

static void strike_boots(soak *run, const soak_fault *fault) {
    run->world.fast_until = end_of(run, fault);
}

static void strike(soak *run, const soak_fault *fault) {
    static void (*const strikes[FAULT_KINDS])(soak *, const soak_fault *) = {
        [FAULT_KILL] = strike_kill,
        [FAULT_KILL_ALL] = strike_all,
        [FAULT_FREEZE] = strike_freeze,
        [FAULT_LEADERS] = strike_leaders,
        [FAULT_CUT_PEERS] = strike_peers,
        [FAULT_CUT_STATE] = strike_state,
        [FAULT_CUT_WORKERS] = strike_workers,
        [FAULT_ISLAND] = strike_island,
        [FAULT_REFUSE_STATE] = strike_refused,
        [FAULT_OUTAGE] = strike_outage,
        [FAULT_LATE_REPORTS] = strike_share,
        [FAULT_KEPT_REPORTS] = strike_share,
        [FAULT_LATE_COMMANDS] = strike_share,
        [FAULT_REPEATED_COMMANDS] = strike_share,
        [FAULT_LATE_WRITES] = strike_share,
        [FAULT_LOST_ANSWERS] = strike_share,
        [FAULT_DEAF] = strike_machines,
        [FAULT_MUTE] = strike_machines,
        [FAULT_HANG] = strike_machines,
        [FAULT_SESSIONS] = strike_all,
        [FAULT_FAST_BOOTS] = strike_boots};
    run->struck[fault->kind]++;
    extend(run, end_of(run, fault) + HELD_MOST_S);
    soak_note(run, "fault", 0, "", 0, soak_fault_name(fault->kind), "");
    strikes[fault->kind](run, fault);
}

static void strike_first(soak *run, soak_moment moment) {
    for (int i = 0; i < run->plan.fault_count; i++) {
        soak_fault *fault = &run->plan.faults[i];
        if (fault->begun || run->world.now < fault->at_s) continue;
        const bool overdue = run->world.now >= fault->at_s + MOMENT_WAIT_S;
        if (fault->moment != moment && !(moment == MOMENT_NOW && overdue)) continue;
        fault->begun = 1;
        strike(run, fault);
        return;
    }
}

static void moment_over(soak *run, void *data) {
    const soak_moment *moment = data;
    strike_first(run, *moment);
}

void soak_moment_came(soak *run, soak_moment moment) {
    static soak_moment moments[] = {MOMENT_NOW, MOMENT_LAUNCH, MOMENT_LEADER, MOMENT_CANCEL};
    static const double soon_s = 0.3;
    bool wanted = false;
    for (int i = 0; i < run->plan.fault_count; i++) {
        const soak_fault *fault = &run->plan.faults[i];
        wanted |= !fault->begun && fault->moment == moment && run->world.now >= fault->at_s;
    }
    if (!wanted) return;
    soak_after(run, soak_draw(run, 0, soon_s), moment_over, &moments[moment]);
}

void soak_faults_tick(soak *run) {
    strike_first(run, MOMENT_NOW);
    for (int node = 0; node < run->plan.nodes; node++) {
        if (run->thaw_at[node] > 0 && run->world.now >= run->thaw_at[node]) {
            run->thaw_at[node] = 0;
            tw_loopback_signal(&run->nodes, node, SIGCONT);
        }
        if (run->restart_at[node] > 0 && run->world.now >= run->restart_at[node]) {
            run->restart_at[node] = 0;
            if (!soak_start_node(run, node))
                soak_finish(run, "FAIL", "a controller can't be started");
        }
    }
    if (run->outage_until > 0 && run->world.now >= run->outage_until) {
        run->outage_until = 0;
        tw_simulator_state_outage(&run->world.state, run->world.now, false);
    }
    soak_cuts_tick(run);
}
