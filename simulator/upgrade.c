/* Commands of the scenario language for nodes that change their version. */
#include "simulator_int.h"
#include <stdbool.h>
#include <string.h>

#define RESTART_S 4.0

int tw_simulator_node_old(tw_simulator *sim, const char *name) {
    int i = tw_simulator_node_find(sim, name);
    if (i < 0) return -1;
    sim->nodes[i].old = true;
    sim->needs_earlier = 1;
    return 0;
}

/* Ends without a word, and comes back as the version that it has been given. */
static void restart(tw_simulator *sim, int node, bool old, double back_s) {
    sim->nodes[node].old = old;
    tw_simulator_node_kill(sim, node);
    tw_simulator_node_start_after(sim, node, back_s);
}

/* `next`: the first node of the other version that doesn't lead; the leader when it is the last.
 * -1: there is none. */
static int next_node(tw_simulator *sim, bool old) {
    const int leader = tw_simulator_leader(sim);
    for (int i = 0; i < sim->world.nnodes; i++)
        if (i != leader && sim->nodes[i].old != old) return i;
    return leader >= 0 && sim->nodes[leader].old != old ? leader : -1;
}

static void change(tw_simulator *sim, const tw_simulator_words *w, bool old) {
    const char *name = w->word[1];
    const double back_s = w->n > 2 ? tw_simulator_number(w->word[2]) : RESTART_S;
    const bool all = !strcmp(name, "all");
    const int one = !strcmp(name, "next") ? next_node(sim, old) : tw_simulator_node_find(sim, name);
    tw_simulator_trouble_for(sim, back_s);
    for (int i = 0; i < sim->world.nnodes; i++)
        if (all || i == one) restart(sim, i, old, back_s);
}

static void upgrade(tw_simulator *sim, const tw_simulator_words *w) { change(sim, w, false); }
static void downgrade(tw_simulator *sim, const tw_simulator_words *w) { change(sim, w, true); }

const tw_simulator_command tw_simulator_upgrade_commands[] = {
    {"upgrade", 2, 2, upgrade}, {"downgrade", 2, 2, downgrade}, {NULL, 0, 0, NULL}};
