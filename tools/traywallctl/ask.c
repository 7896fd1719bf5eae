/* Finds the daemon that leads. A daemon that doesn't lead names the one that does; one that
 * suspects it names nobody, and says when to ask again. A daemon that stands still costs one try.
 */
#include "ask.h"
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

/* Where several daemons are known, one try takes so much of the whole time. */
#define TRY_RATIO 0.2
#define SHORTEST_PAUSE_S 0.05
#define NS_PER_S 1e9

int tw_ctl_add_servers(tw_ctl_servers *servers, const char *text) {
    while (*text) {
        const size_t length = strcspn(text, ",");
        if (!length || length >= TW_RPC_ADDRESS_SIZE || servers->count == MOST_SERVERS) return -1;
        snprintf(servers->addresses[servers->count++], TW_RPC_ADDRESS_SIZE, "%.*s", (int)length,
                 text);
        text += length + (text[length] != 0);
    }
    return 0;
}

static double now_s(void) {
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / NS_PER_S;
}

static void pause_s(double seconds) {
    const struct timespec span = {.tv_sec = (time_t)seconds,
                                  .tv_nsec = (long)((seconds - floor(seconds)) * NS_PER_S)};
    nanosleep(&span, NULL);
}

static tw_rpc_status try_one(const char *address, const tw_rpc_call *call, double timeout_s,
                             tw_rpc_answer *answer) {
    tw_rpc_client *client = tw_rpc_client_new(address);
    const tw_rpc_status status = tw_rpc_client_call(client, call, timeout_s, answer);
    tw_rpc_client_free(client);
    return status;
}

tw_rpc_status tw_ctl_ask_one(const tw_ctl_servers *servers, const char *address,
                             const tw_rpc_call *call, tw_rpc_answer *answer) {
    return try_one(address, call, servers->timeout_s, answer);
}

/* How the search for the leader stands. */
typedef struct {
    int next;        /* server to ask, where nobody was named */
    int in_round;    /* servers asked since the last pause */
    int unreachable; /* of those, how many are not there */
    bool redirected; /* the last answer named the leader */
} search;

static double try_timeout_s(const tw_ctl_servers *servers, double left_s) {
    const double most_s = servers->count > 1 ? servers->timeout_s * TRY_RATIO : servers->timeout_s;
    return fmin(left_s, most_s);
}

/* Whether the answer, or that there is none, is what the client gets. */
static bool is_final(const tw_ctl_servers *servers, const search *at, tw_rpc_status status,
                     const tw_rpc_answer *answer, double left_s) {
    if (status == TW_RPC_OK && answer->verdict != TW_SHARDS_NOT_LEADER) return true;
    const bool nobody_there = at->in_round >= servers->count && at->unreachable == at->in_round;
    return left_s <= SHORTEST_PAUSE_S || nobody_there;
}

/* Chooses whom to ask next; returns how long to wait before it. */
static double choose_next(const tw_ctl_servers *servers, search *at, tw_rpc_status status,
                          const tw_rpc_answer *answer, char *asked) {
    const bool named =
        status == TW_RPC_OK && answer->leader[0] && strcmp(answer->leader, asked) != 0;
    const double wait_s = status == TW_RPC_OK ? answer->retry_after_s : 0;
    if (named && !at->redirected) {
        at->redirected = true;
        snprintf(asked, TW_RPC_ADDRESS_SIZE, "%s", answer->leader);
        return 0;
    }
    at->redirected = false;
    at->next = (at->next + 1) % servers->count;
    snprintf(asked, TW_RPC_ADDRESS_SIZE, "%s", servers->addresses[at->next]);
    if (at->in_round < servers->count) return 0;
    at->in_round = at->unreachable = 0;
    return fmax(SHORTEST_PAUSE_S, wait_s);
}

tw_rpc_status tw_ctl_ask_leader(const tw_ctl_servers *servers, const tw_rpc_call *call,
                                tw_rpc_answer *answer, char asked[TW_RPC_ADDRESS_SIZE]) {
    const double until = now_s() + servers->timeout_s;
    search at = {0};
    snprintf(asked, TW_RPC_ADDRESS_SIZE, "%s", servers->addresses[0]);
    for (;;) {
        const double timeout_s = try_timeout_s(servers, until - now_s());
        const tw_rpc_status status = try_one(asked, call, timeout_s, answer);
        at.in_round++;
        at.unreachable += status == TW_RPC_UNREACHABLE;
        if (is_final(servers, &at, status, answer, until - now_s())) return status;
        const double wait_s = choose_next(servers, &at, status, answer, asked);
        tw_rpc_answer_free(answer);
        pause_s(fmin(wait_s, fmax(0, until - now_s())));
    }
}
