/* Commands of the scenario language that change the version of nodes. */
#include "simulator_int.h"
#include <stdbool.h>
#include <string.h>

#define RESTART_S 4.0

int tw_simulator_use_earlier_version(tw_simulator *sim, const char *name) {
    int i = tw_simulator_node_find(sim, name);
    if (i < 0) return -1;
    sim->nodes[i].earlier_version = true;
    sim->needs_earlier_version = true;
    return 0;
}

/* Kills a node, so that it sends nothing more, and starts it after back_s seconds with the given
 * version. */
static void restart_node(tw_simulator *sim, int node, bool earlier_version, double back_s) {
    sim->nodes[node].earlier_version = earlier_version;
    tw_simulator_node_kill(sim, node);
    tw_simulator_node_start_after(sim, node, back_s);
}

/* Returns the node that `next` stands for: the first node of the other version that is not leader,
 * otherwise the leader if it has the other version, or -1. */
static int find_next_node(tw_simulator *sim, bool earlier_version) {
    const int leader = tw_simulator_find_leader(sim);
    for (int i = 0; i < sim->world.node_count; i++)
        if (i != leader && sim->nodes[i].earlier_version != earlier_version) return i;
    return leader >= 0 && sim->nodes[leader].earlier_version != earlier_version ? leader : -1;
}

static void change_version(tw_simulator *sim, const tw_simulator_words *words,
                           bool earlier_version) {
    const char *name = words->words[1];
    const double back_s = words->count > 2 ? tw_simulator_parse_number(words->words[2]) : RESTART_S;
    const bool all = !strcmp(name, "all");
    const int one = !strcmp(name, "next") ? find_next_node(sim, earlier_version)
                                          : tw_simulator_node_find(sim, name);
    tw_simulator_extend_faults(sim, back_s);
    for (int i = 0; i < sim->world.node_count; i++)
        if (all || i == one) restart_node(sim, i, earlier_version, back_s);
}

static void upgrade(tw_simulator *sim, const tw_simulator_words *words) {
    change_version(sim, words, false);
}
static void downgrade(tw_simulator *sim, const tw_simulator_words *words) {
    change_version(sim, words, true);
}

const tw_simulator_command tw_simulator_upgrade_commands[] = {
    {"upgrade", 2, 2, upgrade}, {"downgrade", 2, 2, downgrade}, {NULL, 0, 0, NULL}};
