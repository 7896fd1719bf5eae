/* Implements the scenario commands that inject faults. */
#include "simulator_int.h"
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_RESTART_S 4.0

static double number_at(const tw_simulator_words *words, int i) {
    return i < words->count ? tw_simulator_parse_number(words->words[i]) : 0;
}

/* Returns the machine that the first argument names by its index, or NULL if it does not exist
 * yet. */
static tw_simulator_worker *find_machine(tw_simulator *sim, const tw_simulator_words *words) {
    int i = tw_simulator_parse_int(words->words[1]);
    return i >= 0 && i < sim->world.worker_count ? sim->world.workers[i] : NULL;
}

static tw_simulator_node *find_node(tw_simulator *sim, const tw_simulator_words *words) {
    int i = tw_simulator_node_find(sim, words->words[1]);
    return i >= 0 ? &sim->nodes[i] : NULL;
}

void tw_simulator_extend_faults(tw_simulator *sim, double seconds) {
    tw_simulator_world *world = &sim->world;
    world->faults_end_at = fmax(world->faults_end_at, world->now + seconds);
}

bool tw_simulator_fault_applies(tw_simulator *sim, const tw_simulator_message_share *share,
                                int fault, int draw) {
    if (sim->world.now >= share->until) return false;
    if (tw_simulator_draw(&sim->world, draw, 0, 1) >= share->share) return false;
    sim->fault_counts[fault]++;
    return true;
}

/* Applies `NAME SHARE SECONDS`. Messages delayed by the fault arrive up to `max_delay_s` after it
 * ends. */
static void set_message_share(tw_simulator *sim, const tw_simulator_words *words,
                              tw_simulator_message_share *share, double max_delay_s) {
    share->share = number_at(words, 1);
    share->until = sim->world.now + number_at(words, 2);
    if (max_delay_s > 0) tw_simulator_extend_faults(sim, number_at(words, 2) + max_delay_s);
}

/* ---- nodes ---- */

static void kill_node(tw_simulator *sim, const tw_simulator_words *words) {
    double restart_after_s = words->count > 2 ? number_at(words, 2) : DEFAULT_RESTART_S;
    tw_simulator_extend_faults(sim, restart_after_s);
    int all = !strcmp(words->words[1], "all"),
        one = all ? -1 : tw_simulator_node_find(sim, words->words[1]);
    for (int i = 0; i < sim->world.node_count; i++) {
        if (!all && i != one) continue;
        tw_simulator_node_kill(sim, i);
        tw_simulator_node_start_after(sim, i, restart_after_s);
    }
}

static void make_state_unavailable(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_node *node_state = find_node(sim, words);
    if (node_state) node_state->state_unavailable_until = sim->world.now + number_at(words, 2);
}

static void isolate_node(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_node *node_state = find_node(sim, words);
    if (node_state) node_state->isolated_until = sim->world.now + number_at(words, 2);
}

/* Executes `cutstate NODE SECONDS hang|refuse`. */
static void cut_off_state(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_node *node_state = find_node(sim, words);
    if (!node_state) return;
    node_state->state_unreachable_until = sim->world.now + number_at(words, 2);
    node_state->state_refuses_connections = !strcmp(words->words[3], "refuse");
}

static void hide_record_format(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_node *node_state = find_node(sim, words);
    if (node_state) node_state->old_format_until = sim->world.now + number_at(words, 2);
}

static void pause_node(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_node *node_state = find_node(sim, words);
    if (!node_state || !node_state->alive) return;
    node_state->paused_from = sim->world.now;
    node_state->paused_until = sim->world.now + number_at(words, 2);
    sim->fault_counts[TW_SIMULATOR_SLOW_NODE]++;
}

static void delay_node_messages(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_node *node_state = find_node(sim, words);
    if (!node_state || !node_state->alive) return;
    node_state->effects_delayed_until = sim->world.now + number_at(words, 2);
    tw_simulator_node_delay_messages(sim, (int)(node_state - sim->nodes));
}

static void lose_worker_messages(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_node *node_state = find_node(sim, words);
    if (node_state) node_state->workers_unreachable_until = sim->world.now + number_at(words, 2);
}

static void refuse_peers(tw_simulator *sim, const tw_simulator_words *words) {
    sim->faults.peers_refused_until = sim->world.now + number_at(words, 1);
}

/* ---- zones ---- */

static void isolate_zone(tw_simulator *sim, const tw_simulator_words *words) {
    snprintf(sim->faults.isolated_zone, TW_SIMULATOR_NAME_SIZE, "%s", words->words[1]);
    sim->faults.zone_isolated_until = sim->world.now + number_at(words, 2);
}

static void cut_zones(tw_simulator *sim, const tw_simulator_words *words) {
    snprintf(sim->faults.cut_from, TW_SIMULATOR_NAME_SIZE, "%s", words->words[1]);
    snprintf(sim->faults.cut_to, TW_SIMULATOR_NAME_SIZE, "%s", words->words[2]);
    sim->faults.cut_until = sim->world.now + number_at(words, 3);
    sim->faults.cut_delays_messages = words->count > 4 && !strcmp(words->words[4], "hold");
}

/* ---- state service ---- */

static void end_state_outage(tw_simulator *sim, tw_simulator_event *event) {
    (void)event;
    tw_simulator_state_outage(&sim->world.state, sim->world.now, false);
}

static void begin_state_outage(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_state_outage(&sim->world.state, sim->world.now, true);
    tw_simulator_schedule_after(sim, number_at(words, 1), end_state_outage);
}

static void slow_state_service(tw_simulator *sim, const tw_simulator_words *words) {
    sim->faults.state_latency_s = number_at(words, 1);
    sim->faults.slow_state_until = sim->world.now + number_at(words, 2);
}

/* Executes `statelimits [value=KB] [ops=N] [write_rps=N]`: changes the state service's limits
 * without notifying the nodes. */
static void change_state_limits(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_limits *limits = &sim->world.state.limits;
    limits->value_kb = tw_simulator_option_number(words, "value", limits->value_kb);
    limits->txn_ops = tw_simulator_option_number(words, "ops", limits->txn_ops);
    limits->write_rps = tw_simulator_option_number(words, "write_rps", limits->write_rps);
}

/* Executes `nextlimits [value=KB] [ops=N]...`: nodes that start from now on have the announced
 * limits in their settings. */
static void announce_next_limits(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_set_next_limits(sim, words);
}

static void lose_transactions(tw_simulator *sim, const tw_simulator_words *words) {
    sim->faults.lost_txn_answers = (int)number_at(words, 1);
}

static void delay_next_transaction(tw_simulator *sim, const tw_simulator_words *words) {
    sim->faults.txn_delay_s = number_at(words, 1);
}

static void delay_writes(tw_simulator *sim, const tw_simulator_words *words) {
    set_message_share(sim, words, &sim->faults.late_writes, TW_SIMULATOR_MAX_WRITE_DELAY_S);
}

static void lose_write_answers(tw_simulator *sim, const tw_simulator_words *words) {
    set_message_share(sim, words, &sim->faults.lost_writes, 0);
}

/* ---- machines ---- */

static void hang_machine(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_worker *worker = find_machine(sim, words);
    if (worker) worker->hung_until = sim->world.now + number_at(words, 2);
}

static void make_unresponsive(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_worker *worker = find_machine(sim, words);
    if (worker) worker->unresponsive_until = sim->world.now + number_at(words, 2);
}

static void hold_messages(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_worker *worker = find_machine(sim, words);
    if (worker) worker->messages_held_until = sim->world.now + number_at(words, 2);
}

static void refuse_commands(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_worker *worker = find_machine(sim, words);
    if (worker) worker->refuses_commands_until = sim->world.now + number_at(words, 2);
}

static void lose_heartbeats(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_worker *worker = find_machine(sim, words);
    if (worker) worker->heartbeats_lost_until = sim->world.now + number_at(words, 2);
}

static void remove_machine(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_worker *worker = find_machine(sim, words);
    if (worker) worker->removed = true;
}

static void announce_preemption(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_worker *worker = find_machine(sim, words);
    if (!worker) return;
    worker->preempted_at = sim->world.now + number_at(words, 2);
    worker->has_unreported_change = true;
}

static void end_machine_fault(tw_simulator *sim, tw_simulator_event *event) {
    sim->world.workers[event->target]->faulty = false;
}

static void make_machine_faulty(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_worker *worker = find_machine(sim, words);
    if (!worker) return;
    worker->faulty = true;
    if (words->count > 2)
        tw_simulator_schedule_after(sim, number_at(words, 2), end_machine_fault)->target =
            tw_simulator_parse_int(words->words[1]);
}

static void slow_machine(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_worker *worker = find_machine(sim, words);
    if (worker) worker->slowdown = number_at(words, 2);
}

static void delay_next_command(tw_simulator *sim, const tw_simulator_words *words) {
    sim->faults.delayed_command_machine = tw_simulator_parse_int(words->words[1]);
    sim->faults.command_delay_s = number_at(words, 2);
}

static void duplicate_next_heartbeat(tw_simulator *sim, const tw_simulator_words *words) {
    sim->faults.duplicated_heartbeat_machine = tw_simulator_parse_int(words->words[1]);
    sim->faults.duplicate_heartbeat_delay_s = number_at(words, 2);
}

static void delay_next_heartbeat(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_worker *worker = find_machine(sim, words);
    if (worker) worker->delay_next_heartbeat_s = number_at(words, 2);
}

static void delay_commands(tw_simulator *sim, const tw_simulator_words *words) {
    set_message_share(sim, words, &sim->faults.late_commands, TW_SIMULATOR_MAX_COMMAND_DELAY_S);
}

static void repeat_commands(tw_simulator *sim, const tw_simulator_words *words) {
    set_message_share(sim, words, &sim->faults.repeated_commands, TW_SIMULATOR_MAX_COMMAND_DELAY_S);
}

static void duplicate_heartbeats(tw_simulator *sim, const tw_simulator_words *words) {
    double max_delay_s = TW_SIMULATOR_MAX_HEARTBEAT_DELAY_LEASES * sim->world.lease_s;
    const bool until_new_leader = words->count > 3 && !strcmp(words->words[3], "next");
    sim->faults.held_heartbeat_leaders = until_new_leader ? (int)fmax(1, number_at(words, 4)) : 0;
    set_message_share(sim, words, &sim->faults.late_heartbeats,
                      sim->faults.held_heartbeat_leaders ? 0 : max_delay_s);
}

/* ---- cloud ---- */

static void begin_cloud_outage(tw_simulator *sim, const tw_simulator_words *words) {
    sim->faults.cloud_unavailable_until = sim->world.now + number_at(words, 1);
}

static void refuse_rentals(tw_simulator *sim, const tw_simulator_words *words) {
    sim->world.is_out_of_capacity = (int)number_at(words, 1);
}
static void shorten_boots(tw_simulator *sim, const tw_simulator_words *words) {
    sim->world.fast_boot_until = sim->world.now + number_at(words, 1);
}
static void fail_boots(tw_simulator *sim, const tw_simulator_words *words) {
    sim->world.failing_boot_count = (int)number_at(words, 1);
}
static void fail_boots_of_type(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_world *world = &sim->world;
    for (int i = 0; i < world->type_count; i++) {
        if (strcmp(world->types[i].name, words->words[1]) != 0) continue;
        world->failing_share[i] = number_at(words, 2);
        world->failing_until[i] = world->now + number_at(words, 3);
        snprintf(world->failing_zone[i], sizeof world->failing_zone[i], "%s",
                 words->count > 4 ? words->words[4] : "");
    }
}

const tw_simulator_command tw_simulator_trouble_commands[] = {
    {"kill", 2, 2, kill_node},
    {"nostate", 3, 2, make_state_unavailable},
    {"isolate", 3, 2, isolate_node},
    {"noworkers", 3, 2, lose_worker_messages},
    {"refusepeers", 2, 1, refuse_peers},
    {"isolatezone", 3, 2, isolate_zone},
    {"cut", 4, 3, cut_zones},
    {"outage", 2, 1, begin_state_outage},
    {"slowstate", 3, 2, slow_state_service},
    {"statelimits", 2, 0, change_state_limits},
    {"nextlimits", 2, 0, announce_next_limits},
    {"oldformat", 3, 2, hide_record_format},
    {"losetxn", 2, 0, lose_transactions},
    {"latetxn", 2, 1, delay_next_transaction},
    {"hang", 3, 2, hang_machine},
    {"unresponsive", 3, 2, make_unresponsive},
    {"holdmessages", 3, 2, hold_messages},
    {"refusecommands", 3, 2, refuse_commands},
    {"take", 2, 0, remove_machine},
    {"notice", 3, 2, announce_preemption},
    {"faulty", 2, 0, make_machine_faulty},
    {"slow", 3, 0, slow_machine},
    {"latecommand", 3, 2, delay_next_command},
    {"dupheartbeat", 3, 2, duplicate_next_heartbeat},
    {"holdheartbeat", 3, 2, delay_next_heartbeat},
    {"nocloud", 2, 1, begin_cloud_outage},
    {"refuse", 2, 0, refuse_rentals},
    {"neverup", 2, 0, fail_boots},
    {"failboots", 4, 3, fail_boots_of_type},
    {"latewrites", 3, 2, delay_writes},
    {"lostwrites", 3, 2, lose_write_answers},
    {"lateheartbeats", 3, 2, duplicate_heartbeats},
    {"latecommands", 3, 2, delay_commands},
    {"repeatcommands", 3, 2, repeat_commands},
    {"mute", 3, 2, lose_heartbeats},
    {"cutstate", 4, 2, cut_off_state},
    {"slownode", 3, 2, pause_node},
    {"latesends", 3, 2, delay_node_messages},
    {"bootfast", 2, 1, shorten_boots},
    {NULL, 0, 0, NULL}};
