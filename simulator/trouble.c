/* Commands of the scenario language for troubles. */
#include "simulator_int.h"
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RESTART_S 4.0

static double number(const tw_simulator_words *w, int i) {
    return i < w->n ? tw_simulator_number(w->word[i]) : 0;
}

/* NULL: there is no such machine (yet). */
static tw_simulator_worker *machine(tw_simulator *sim, const tw_simulator_words *w) {
    int i = tw_simulator_int(w->word[1]);
    return i >= 0 && i < sim->world.nworkers ? sim->world.workers[i] : NULL;
}

static tw_simulator_node *node(tw_simulator *sim, const tw_simulator_words *w) {
    int i = tw_simulator_node_find(sim, w->word[1]);
    return i >= 0 ? &sim->nodes[i] : NULL;
}

void tw_simulator_trouble_for(tw_simulator *sim, double seconds) {
    tw_simulator_world *w = &sim->world;
    w->troubles_end = fmax(w->troubles_end, w->now + seconds);
}

int tw_simulator_strikes(tw_simulator *sim, const tw_simulator_share *share, int stroke, int draw) {
    if (sim->world.now >= share->until) return 0;
    if (tw_simulator_draw(&sim->world, draw, 0, 1) >= share->share) return 0;
    sim->strokes[stroke]++;
    return 1;
}

/* `NAME SHARE SECONDS`; what is held up arrives after that time still. */
static void set_share(tw_simulator *sim, const tw_simulator_words *w, tw_simulator_share *share,
                      double held_s) {
    share->share = number(w, 1);
    share->until = sim->world.now + number(w, 2);
    if (held_s > 0) tw_simulator_trouble_for(sim, number(w, 2) + held_s);
}

/* ---- nodes ---- */

static void kill_node(tw_simulator *sim, const tw_simulator_words *w) {
    double back_s = w->n > 2 ? number(w, 2) : RESTART_S;
    tw_simulator_trouble_for(sim, back_s);
    int all = !strcmp(w->word[1], "all"), one = all ? -1 : tw_simulator_node_find(sim, w->word[1]);
    for (int i = 0; i < sim->world.nnodes; i++) {
        if (!all && i != one) continue;
        tw_simulator_node_kill(sim, i);
        tw_simulator_node_start_after(sim, i, back_s);
    }
}

static void no_state(tw_simulator *sim, const tw_simulator_words *w) {
    tw_simulator_node *n = node(sim, w);
    if (n) n->no_state_until = sim->world.now + number(w, 2);
}

static void alone(tw_simulator *sim, const tw_simulator_words *w) {
    tw_simulator_node *n = node(sim, w);
    if (n) n->alone_until = sim->world.now + number(w, 2);
}

/* `cutstate NODE SECONDS hang|refuse` */
static void cut_state(tw_simulator *sim, const tw_simulator_words *w) {
    tw_simulator_node *n = node(sim, w);
    if (!n) return;
    n->cut_state_until = sim->world.now + number(w, 2);
    n->cut_state_refuses = !strcmp(w->word[3], "refuse");
}

static void old_format(tw_simulator *sim, const tw_simulator_words *w) {
    tw_simulator_node *n = node(sim, w);
    if (n) n->old_format_until = sim->world.now + number(w, 2);
}

static void slow_node(tw_simulator *sim, const tw_simulator_words *w) {
    tw_simulator_node *n = node(sim, w);
    if (!n || !n->alive) return;
    n->still_from = sim->world.now;
    n->still_until = sim->world.now + number(w, 2);
    sim->strokes[TW_SIMULATOR_SLOW_NODE]++;
}

static void late_sends(tw_simulator *sim, const tw_simulator_words *w) {
    tw_simulator_node *n = node(sim, w);
    if (!n || !n->alive) return;
    n->sends_late_until = sim->world.now + number(w, 2);
    tw_simulator_node_sends_late(sim, (int)(n - sim->nodes));
}

static void no_workers(tw_simulator *sim, const tw_simulator_words *w) {
    tw_simulator_node *n = node(sim, w);
    if (n) n->no_workers_until = sim->world.now + number(w, 2);
}

static void refuse_peers(tw_simulator *sim, const tw_simulator_words *w) {
    sim->trouble.refuse_peers_until = sim->world.now + number(w, 1);
}

/* ---- zones ---- */

static void island(tw_simulator *sim, const tw_simulator_words *w) {
    snprintf(sim->trouble.island, TW_SIMULATOR_NAME, "%s", w->word[1]);
    sim->trouble.island_until = sim->world.now + number(w, 2);
}

static void cut(tw_simulator *sim, const tw_simulator_words *w) {
    snprintf(sim->trouble.cut_from, TW_SIMULATOR_NAME, "%s", w->word[1]);
    snprintf(sim->trouble.cut_to, TW_SIMULATOR_NAME, "%s", w->word[2]);
    sim->trouble.cut_until = sim->world.now + number(w, 3);
    sim->trouble.cut_holds = w->n > 4 && !strcmp(w->word[4], "hold");
}

/* ---- state service ---- */

static void outage_ends(tw_simulator *sim, tw_simulator_event *e) {
    (void)e;
    tw_simulator_state_outage(&sim->world.state, sim->world.now, false);
}

static void outage(tw_simulator *sim, const tw_simulator_words *w) {
    tw_simulator_state_outage(&sim->world.state, sim->world.now, true);
    tw_simulator_after(sim, number(w, 1), outage_ends);
}

static void slow_state(tw_simulator *sim, const tw_simulator_words *w) {
    sim->trouble.slow_state_s = number(w, 1);
    sim->trouble.slow_state_until = sim->world.now + number(w, 2);
}

/* `statelimits [value=KB] [ops=N] [write_rps=N]`: they fall, or rise. The nodes aren't told. */
static void state_limits(tw_simulator *sim, const tw_simulator_words *w) {
    tw_simulator_limits *limits = &sim->world.state.limits;
    limits->value_kb = tw_simulator_option_number(w, "value", limits->value_kb);
    limits->txn_ops = tw_simulator_option_number(w, "ops", limits->txn_ops);
    limits->write_rps = tw_simulator_option_number(w, "write_rps", limits->write_rps);
}

/* `nextlimits [value=KB] [ops=N]...`: nodes that start from now on are told of limits to come. */
static void next_limits(tw_simulator *sim, const tw_simulator_words *w) {
    tw_simulator_set_next(sim, w);
}

static void lose_txns(tw_simulator *sim, const tw_simulator_words *w) {
    sim->trouble.lose_txns = (int)number(w, 1);
}

static void late_txn(tw_simulator *sim, const tw_simulator_words *w) {
    sim->trouble.late_txn_s = number(w, 1);
}

static void late_writes(tw_simulator *sim, const tw_simulator_words *w) {
    set_share(sim, w, &sim->trouble.late_writes, TW_SIMULATOR_WRITE_HELD_MOST_S);
}

static void lost_writes(tw_simulator *sim, const tw_simulator_words *w) {
    set_share(sim, w, &sim->trouble.lost_writes, 0);
}

/* ---- machines ---- */

static void hang(tw_simulator *sim, const tw_simulator_words *w) {
    tw_simulator_worker *x = machine(sim, w);
    if (x) x->hung_until = sim->world.now + number(w, 2);
}

static void deaf(tw_simulator *sim, const tw_simulator_words *w) {
    tw_simulator_worker *x = machine(sim, w);
    if (x) x->deaf_until = sim->world.now + number(w, 2);
}

static void mute(tw_simulator *sim, const tw_simulator_words *w) {
    tw_simulator_worker *x = machine(sim, w);
    if (x) x->mute_until = sim->world.now + number(w, 2);
}

static void take(tw_simulator *sim, const tw_simulator_words *w) {
    tw_simulator_worker *x = machine(sim, w);
    if (x) x->gone = 1;
}

static void warn(tw_simulator *sim, const tw_simulator_words *w) {
    tw_simulator_worker *x = machine(sim, w);
    if (!x) return;
    x->warned_at = sim->world.now + number(w, 2);
    x->changed = true;
}

static void faulty_ends(tw_simulator *sim, tw_simulator_event *e) {
    sim->world.workers[e->target]->faulty = false;
}

static void faulty(tw_simulator *sim, const tw_simulator_words *w) {
    tw_simulator_worker *x = machine(sim, w);
    if (!x) return;
    x->faulty = true;
    if (w->n > 2)
        tw_simulator_after(sim, number(w, 2), faulty_ends)->target = tw_simulator_int(w->word[1]);
}

static void slow(tw_simulator *sim, const tw_simulator_words *w) {
    tw_simulator_worker *x = machine(sim, w);
    if (x) x->slow = number(w, 2);
}

static void late_commands(tw_simulator *sim, const tw_simulator_words *w) {
    sim->trouble.late_commands_to = tw_simulator_int(w->word[1]);
    sim->trouble.late_commands_s = number(w, 2);
}

static void copy_report(tw_simulator *sim, const tw_simulator_words *w) {
    sim->trouble.copy_report_of = tw_simulator_int(w->word[1]);
    sim->trouble.copy_report_s = number(w, 2);
}

static void hold_report(tw_simulator *sim, const tw_simulator_words *w) {
    tw_simulator_worker *x = machine(sim, w);
    if (x) x->hold_next_s = number(w, 2);
}

static void late_commands_share(tw_simulator *sim, const tw_simulator_words *w) {
    set_share(sim, w, &sim->trouble.late_commands, TW_SIMULATOR_COMMAND_HELD_MOST_S);
}

static void repeated_commands(tw_simulator *sim, const tw_simulator_words *w) {
    set_share(sim, w, &sim->trouble.repeated_commands, TW_SIMULATOR_COMMAND_HELD_MOST_S);
}

static void late_reports(tw_simulator *sim, const tw_simulator_words *w) {
    double held_s = TW_SIMULATOR_REPORT_HELD_MOST_LEASES * sim->world.lease_s;
    const bool kept = w->n > 3 && !strcmp(w->word[3], "next");
    sim->trouble.late_reports_kept = kept ? (int)fmax(1, number(w, 4)) : 0;
    set_share(sim, w, &sim->trouble.late_reports, sim->trouble.late_reports_kept ? 0 : held_s);
}

/* ---- cloud ---- */

static void no_cloud(tw_simulator *sim, const tw_simulator_words *w) {
    sim->trouble.no_cloud_until = sim->world.now + number(w, 1);
}

static void refuse(tw_simulator *sim, const tw_simulator_words *w) {
    sim->world.refuse = (int)number(w, 1);
}
static void fast_boots(tw_simulator *sim, const tw_simulator_words *w) {
    sim->world.fast_until = sim->world.now + number(w, 1);
}
static void never_up(tw_simulator *sim, const tw_simulator_words *w) {
    sim->world.never_up = (int)number(w, 1);
}

const tw_simulator_command tw_simulator_trouble_commands[] = {
    {"kill", 2, 2, kill_node},
    {"nostate", 3, 2, no_state},
    {"alone", 3, 2, alone},
    {"noworkers", 3, 2, no_workers},
    {"refusepeers", 2, 1, refuse_peers},
    {"island", 3, 2, island},
    {"cut", 4, 3, cut},
    {"outage", 2, 1, outage},
    {"slowstate", 3, 2, slow_state},
    {"statelimits", 2, 0, state_limits},
    {"nextlimits", 2, 0, next_limits},
    {"oldformat", 3, 2, old_format},
    {"losetxn", 2, 0, lose_txns},
    {"latetxn", 2, 1, late_txn},
    {"hang", 3, 2, hang},
    {"deaf", 3, 2, deaf},
    {"take", 2, 0, take},
    {"warn", 3, 2, warn},
    {"sick", 2, 0, faulty},
    {"slow", 3, 0, slow},
    {"lateorders", 3, 2, late_commands},
    {"dupreport", 3, 2, copy_report},
    {"holdreport", 3, 2, hold_report},
    {"nocloud", 2, 1, no_cloud},
    {"refuse", 2, 0, refuse},
    {"neverup", 2, 0, never_up},
    {"latewrites", 3, 2, late_writes},
    {"lostwrites", 3, 2, lost_writes},
    {"latereports", 3, 2, late_reports},
    {"latecommands", 3, 2, late_commands_share},
    {"repeatcommands", 3, 2, repeated_commands},
    {"mute", 3, 2, mute},
    {"cutstate", 4, 2, cut_state},
    {"slownode", 3, 2, slow_node},
    {"latesends", 3, 2, late_sends},
    {"bootfast", 2, 1, fast_boots},
    {NULL, 0, 0, NULL}};
