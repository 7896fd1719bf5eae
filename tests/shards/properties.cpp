// Property tests of shards. Under random sequences of moves, node failures, hangs, machine restarts
// and message losses, a machine never has two owners, its epochs never decrease and every client is
// answered; after the last fault every move finishes and every machine is open in one shard. With
// elected leaders, network partitions, clock drift and promotions are added; then at most one
// controller decides at any time, and no machine accepts an order of a term lower than one that it
// has accepted. RapidCheck shrinks a failing sequence and prints it as a scenario. RC_PARAMS sets
// the seed.
#include <rapidcheck.h>

#include <cstdio>
#include <sstream>
#include <string>
#include <vector>

extern "C" {
#include "shards_play.h"
}

namespace {

constexpr int machine_count = 9;
constexpr int node_count = 3;
constexpr int last_fault_s = 30; // seconds
constexpr int end_s = 75;
constexpr std::size_t reason_size = 256;

struct action {
    int kind;
    int tenths; // time of the action in tenths of a second
    int first;
    int second;
};

std::string node_name(int number) { return "c" + std::to_string(number % node_count); }

std::string machine_name(int number) { return "m" + std::to_string(number % machine_count); }

std::string shard_name(int number) {
    static const char *const names[] = {"batch", "chat", "spare"};
    return names[number % 3];
}

std::string seconds(int tenths) {
    return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10);
}

/// Returns the scenario command of a fault that needs elected leaders, or "" for other kinds.
std::string election_command(const action &drawn) {
    static const char *const ends[] = {"state", "machines", "c0", "c1", "c2"};
    const std::string span = seconds(2 + 3 * drawn.second);
    switch (drawn.kind) {
    case 6:
        return "kill leader " + span;
    case 7:
        return "hang leader " + span;
    case 11:
        return "when \"traywalld/leader\" kill " + node_name(drawn.first) + " " + span;
    case 12:
        return "when \"traywalld/leader\" hang " + node_name(drawn.first) + " " + span;
    case 16:
    case 17:
        return "cut " + node_name(drawn.first) + " " + ends[drawn.second % 5] + " " + span;
    case 18:
        return "promote " + node_name(drawn.first);
    case 19:
        return "latewrites 1 \"traywalld/leader\" " + span;
    default:
        return "";
    }
}

/// Returns the scenario command for an action; key makes the name of a move unique.
std::string command_of(const action &drawn, int key, bool elects) {
    const std::string of_election = elects ? election_command(drawn) : "";
    if (!of_election.empty()) return of_election;
    static const char *const states[] = {"draining", "released", "taken", "open"};
    const std::string state = states[drawn.second % 4];
    const std::string span = seconds(2 + drawn.second);
    const std::string move = "move k" + std::to_string(key) + " " + shard_name(drawn.first) + " " +
                             shard_name(drawn.first + 1 + drawn.second % 2) + " ";
    switch (drawn.kind) {
    case 0:
    case 1:
    case 2:
        return move + std::to_string(1 + drawn.second % 3);
    case 3:
        return move + machine_name(drawn.first) + "," + machine_name(drawn.second);
    case 4:
        return "kill " + node_name(drawn.first) + " " + span;
    case 5:
        return "hang " + node_name(drawn.first) + " " + span;
    case 6:
        return "killlead " + node_name(drawn.first) + " " + span;
    case 7:
        return "hanglead " + node_name(drawn.first) + " " + span;
    case 8:
        return "restart " + machine_name(drawn.first);
    case 9:
        return "losewrites 1 \"" + state + "\"";
    case 10:
        return "latewrites 1 \"" + state + "\" " + span;
    case 11:
        return "when \"" + state + "\" killlead " + node_name(drawn.first) + " " + span;
    case 12:
        return "when \"" + state + "\" hanglead " + node_name(drawn.first) + " " + span;
    case 13:
        return "outage " + span;
    case 14:
        return "share " + shard_name(drawn.first) + " " + node_name(drawn.second) + " 1";
    default:
        return "late 0.3 " + span;
    }
}

std::string scenario_of(const std::vector<action> &actions, int seed, bool elects) {
    std::ostringstream text;
    if (elects) text << "set lease 3\nat 0 clock c1 1.03 0\nat 0 clock c2 0.97 20\n";
    text << "node c0\nnode c1\nnode c2\nset drain 1\nset grace 0.5\nset seed " << 1 + seed << "\n"
         << "at 0.1 share batch c1 1\nat 0.1 share chat c2 1\nat 0.1 share spare c0 0\n"
         << "at 0.2 machines 6 batch a\nat 0.2 machines 3 chat b\n"
         << "at 3 load batch 15 0.4 60\nat 3 load chat 8 0.4 60\n";
    int key = 0;
    for (const action &drawn : actions)
        text << "at " << seconds(40 + drawn.tenths % (10 * last_fault_s - 40)) << " "
             << command_of(drawn, ++key, elects) << "\n";
    text << "at " << last_fault_s << " late 0\nend " << end_s << "\n";
    return text.str();
}

rc::Gen<action> draw_action() {
    return rc::gen::construct<action>(rc::gen::inRange(0, 20), rc::gen::inRange(0, 260),
                                      rc::gen::inRange(0, machine_count),
                                      rc::gen::inRange(0, 2 * machine_count));
}

} // namespace

namespace rc {
template <> struct Arbitrary<action> {
    static Gen<action> arbitrary() { return draw_action(); }
};
} // namespace rc

namespace {

bool holds(const std::string &claim, bool elects) {
    return rc::check(claim, [elects](const std::vector<action> &actions) {
        const int seed = *rc::gen::inRange(0, 1000);
        const std::string scenario = scenario_of(actions, seed, elects);
        char reason[reason_size];
        if (tw_shards_play(scenario.c_str(), reason, sizeof reason) != 0) {
            RC_LOG() << scenario;
            RC_FAIL(reason);
        }
    });
}

} // namespace

int main() {
    const bool scenario_held = holds("no machine has two owners, and all moves terminate", false);
    std::printf("%s shares properties\n", scenario_held ? "ok" : "FAIL");
    const bool election_held = holds("these properties hold with elected leadership", true);
    std::printf("%s standby properties\n", election_held ? "ok" : "FAIL");
    return scenario_held && election_held ? 0 : 1;
}
