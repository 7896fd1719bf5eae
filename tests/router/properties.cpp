// Property tests of the router. A random sequence of steps has replicas answer, refuse, break, get
// lost, stream parts, drain and return, and has answers of earlier attempts arrive late. Each
// request gets exactly one final answer, and nothing is sent to the client after it. Once a part
// of an attempt was forwarded, only that attempt is forwarded. A draining replica gets no new
// requests. Slot and queue limits hold. RC_PARAMS sets the seed.
#include <rapidcheck.h>

#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "router/router.h"
}

namespace {

constexpr int replica_count = 4;
constexpr int slots = 2;
constexpr int max_waiting = 3;
constexpr int max_attempts = 3;
constexpr double deadline_s = 5;
constexpr double step_s = 0.25;

struct step {
    int kind;
    int target;
    int argument;
};

struct attempt {
    uint64_t request;
    int number;
    std::string replica;
    bool cancelled;
};

/// The effects that the gateway's clients and replicas have received so far.
struct history {
    std::map<uint64_t, int> answers;
    std::map<uint64_t, int> parts_of; // request -> attempt whose parts were forwarded
    std::vector<attempt> sent;        // attempts whose results may still arrive
    std::map<uint64_t, int> latest;   // request -> last attempt
    uint64_t stale_request = 0; // request whose superseded attempt sent the last message; 0: none
    std::map<std::string, uint64_t> epochs;
    uint64_t last_request = 0;
    double now = 0;
};

std::string replica_name(int number) { return "r" + std::to_string(number % replica_count); }

void check_send(history &seen, const tw_router_effect *effect) {
    RC_ASSERT(seen.answers[effect->request] == 0);
    RC_ASSERT(seen.parts_of.count(effect->request) == 0U);
    RC_ASSERT(effect->epoch != 0);
    RC_ASSERT(effect->epoch == seen.epochs[effect->replica]);
    RC_ASSERT(effect->attempt >= 1 && effect->attempt <= max_attempts);
    seen.latest[effect->request] = effect->attempt;
    seen.sent.push_back({effect->request, effect->attempt, effect->replica, false});
}

void check_answer(history &seen, const tw_router_effect *effect) {
    seen.answers[effect->request]++;
    RC_ASSERT(seen.answers[effect->request] == 1);
    RC_ASSERT(effect->status == TW_ROUTER_OK || effect->retry_after_s >= 1);
}

void check_effects(history &seen, tw_router *router) {
    while (tw_router_effect *effect = tw_router_next_effect(router)) {
        const tw_router_effect current = *effect;
        std::free(effect);
        RC_ASSERT(current.kind == TW_ROUTER_SEND || current.request != seen.stale_request);
        switch (current.kind) {
        case TW_ROUTER_SEND:
            check_send(seen, &current);
            break;
        case TW_ROUTER_PART:
            RC_ASSERT(seen.answers[current.request] == 0);
            RC_ASSERT(seen.parts_of.count(current.request) == 0U ||
                      seen.parts_of[current.request] == current.attempt);
            seen.parts_of[current.request] = current.attempt;
            break;
        case TW_ROUTER_ANSWER:
            check_answer(seen, &current);
            break;
        case TW_ROUTER_CANCEL:
            break;
        }
    }
}

/// Reports the end of an attempt, which may already have ended before (a late answer).
void end_attempt(history &seen, tw_router *router, const step &drawn, tw_router_result result) {
    if (seen.sent.empty()) return;
    const attempt ended = seen.sent[static_cast<std::size_t>(drawn.target) % seen.sent.size()];
    if (ended.number != seen.latest[ended.request]) seen.stale_request = ended.request;
    tw_router_attempt_ended(router, seen.now, ended.request, ended.number, result);
}

void send_part(history &seen, tw_router *router, const step &drawn) {
    if (seen.sent.empty()) return;
    const attempt sender = seen.sent[static_cast<std::size_t>(drawn.target) % seen.sent.size()];
    if (sender.number != seen.latest[sender.request]) seen.stale_request = sender.request;
    tw_router_part_received(router, seen.now, sender.request, sender.number);
}

void change_replica(history &seen, tw_router *router, const step &drawn) {
    const std::string name = replica_name(drawn.target);
    seen.epochs[name] = drawn.argument % 3 == 0 ? 0 : static_cast<uint64_t>(drawn.argument);
    tw_router_set_replica(router, seen.now, name.c_str(), seen.epochs[name], slots, 1);
}

void make_request(history &seen, tw_router *router, const step &drawn) {
    seen.answers[++seen.last_request] = 0;
    const char *team = drawn.target % 2 == 0 ? "front" : "letters";
    tw_router_add_request(router, seen.now, seen.last_request, team, seen.now + deadline_s);
}

void apply_step(history &seen, tw_router *router, const step &drawn) {
    static const tw_router_result ends[] = {TW_ROUTER_DONE, TW_ROUTER_REFUSED, TW_ROUTER_BROKEN,
                                            TW_ROUTER_LOST};
    switch (drawn.kind) {
    case 0:
    case 1:
    case 2:
        make_request(seen, router, drawn);
        break;
    case 3:
        change_replica(seen, router, drawn);
        break;
    case 4:
        send_part(seen, router, drawn);
        break;
    case 5:
        seen.now += step_s;
        tw_router_tick(router, seen.now);
        break;
    default:
        end_attempt(seen, router, drawn, ends[drawn.argument % 4]);
    }
    check_effects(seen, router);
    seen.stale_request = 0;
    RC_ASSERT(tw_router_waiting_count(router) <= 2 * (max_waiting + replica_count * slots));
}

tw_router *new_router() {
    const tw_router_settings settings = {max_waiting, max_attempts, 0.5, 4, 0.25};
    return tw_router_new(&settings);
}

void check_history(const std::vector<step> &steps) {
    history seen;
    tw_router *router = new_router();
    for (int i = 0; i < replica_count; i++) {
        seen.epochs[replica_name(i)] = 1;
        tw_router_set_replica(router, 0, replica_name(i).c_str(), 1, slots, 1);
    }
    for (const step &drawn : steps) apply_step(seen, router, drawn);
    seen.now += 2 * deadline_s;
    tw_router_tick(router, seen.now);
    check_effects(seen, router);
    for (const auto &each : seen.answers) RC_ASSERT(each.second == 1);
    RC_ASSERT(tw_router_open_count(router) == 0);
    tw_router_free(router);
}

/// Checks that with one slot and two waiting teams, a team with three times the weight gets three
/// times as many requests sent.
void check_shares() {
    constexpr unsigned share = 3;
    constexpr unsigned rounds = 8;
    const tw_router_settings settings = {static_cast<int>(rounds * (share + 1)), 1, 0, 0, 0.25};
    tw_router *router = tw_router_new(&settings);
    const uint64_t most = uint64_t{2} * rounds * (share + 1);
    unsigned front = 0;
    tw_router_set_team_weight(router, "front", share);
    for (uint64_t number = 1; number <= most; number++)
        tw_router_add_request(router, 0, number, number % 2 == 0 ? "front" : "letters", deadline_s);
    tw_router_set_replica(router, 0, "r0", 1, 1, 1);
    for (unsigned i = 0; i < rounds * (share + 1); i++) {
        tw_router_effect *effect = tw_router_next_effect(router);
        while (effect != nullptr && effect->kind != TW_ROUTER_SEND) {
            std::free(effect);
            effect = tw_router_next_effect(router);
        }
        RC_ASSERT(effect != nullptr);
        front += effect->request % 2 == 0;
        tw_router_attempt_ended(router, 0, effect->request, effect->attempt, TW_ROUTER_DONE);
        std::free(effect);
    }
    RC_ASSERT(front >= rounds * share - 1 && front <= rounds * share + 1);
    tw_router_free(router);
}

/// Checks that a request above the team's queue limit is refused immediately with a retry time, and
/// that a retried request precedes the requests added after it.
void check_queue() {
    tw_router *router = new_router();
    for (uint64_t number = 1; number <= max_waiting + 1U; number++)
        tw_router_add_request(router, 0, number, "front", deadline_s);
    tw_router_effect *refused = tw_router_next_effect(router);
    RC_ASSERT(refused != nullptr && refused->kind == TW_ROUTER_ANSWER);
    RC_ASSERT(refused->request == max_waiting + 1U);
    RC_ASSERT(refused->status == TW_ROUTER_FULL && refused->retry_after_s >= 1);
    std::free(refused);
    tw_router_set_replica(router, 0, "r0", 1, 1, 1);
    std::free(tw_router_next_effect(router));
    tw_router_attempt_ended(router, 0, 1, 1, TW_ROUTER_REFUSED);
    tw_router_effect *again = tw_router_next_effect(router);
    RC_ASSERT(again != nullptr && again->kind == TW_ROUTER_SEND);
    RC_ASSERT(again->request == 1 && again->attempt == 2);
    std::free(again);
    tw_router_free(router);
}

/// Checks the choice of the slowest replica that meets the deadline, or else of the fastest one.
void check_replica_choice() {
    tw_router *router = new_router();
    tw_router_set_replica(router, 0, "fast", 1, 1, 1);
    tw_router_set_replica(router, 0, "slow", 1, 1, 3);
    tw_router_set_replica(router, 0, "slowest", 1, 1, 9);
    tw_router_add_request(router, 0, 1, "front", 4);
    tw_router_add_request(router, 0, 2, "front", 0.5);
    const char *const expected[] = {"slow", "fast"};
    for (const char *name : expected) {
        tw_router_effect *effect = tw_router_next_effect(router);
        RC_ASSERT(effect != nullptr);
        RC_ASSERT(std::string(effect->replica) == name);
        std::free(effect);
    }
    tw_router_free(router);
}

} // namespace

namespace rc {
template <> struct Arbitrary<step> {
    static Gen<step> arbitrary() {
        return gen::construct<step>(gen::inRange(0, 12), gen::inRange(0, 64), gen::inRange(0, 64));
    }
};
} // namespace rc

int main() {
    bool held = rc::check("each request gets exactly one final answer", check_history);
    held = rc::check("teams are served by their shares", check_shares) && held;
    held = rc::check("a full queue and a retried request", check_queue) && held;
    held = rc::check("the slowest that meets the deadline", check_replica_choice) && held;
    std::printf("%s route properties\n", held ? "ok" : "FAIL");
    return held ? 0 : 1;
}
