/* Finds the leader among the daemons. A daemon that is not the leader answers with the leader's
 * address; if it suspects the leader of having failed, it answers with a retry delay and no
 * address. The timeout of an attempt is shorter than the whole time limit, so that other daemons
 * can be called if one does not respond. */
#include "client.h"
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

/* Timeout of one attempt as a fraction of the whole time limit, if there are several daemons. */
#define ATTEMPT_TIMEOUT_RATIO 0.2
#define MIN_PAUSE_S 0.05
#define NS_PER_S 1e9

int tw_ctl_add_servers(tw_ctl_servers *servers, const char *text) {
    while (*text) {
        const size_t length = strcspn(text, ",");
        if (!length || length >= TW_RPC_ADDRESS_SIZE || servers->count == MAX_SERVERS) return -1;
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

static void sleep_s(double seconds) {
    const struct timespec span = {.tv_sec = (time_t)seconds,
                                  .tv_nsec = (long)((seconds - floor(seconds)) * NS_PER_S)};
    nanosleep(&span, NULL);
}

static tw_rpc_status call_server(const char *address, const tw_rpc_call *call, double timeout_s,
                                 tw_rpc_answer *answer) {
    tw_rpc_client *client = tw_rpc_client_new(address);
    const tw_rpc_status status = tw_rpc_client_call(client, call, timeout_s, answer);
    tw_rpc_client_free(client);
    return status;
}

tw_rpc_status tw_ctl_call_server(const tw_ctl_servers *servers, const char *address,
                                 const tw_rpc_call *call, tw_rpc_answer *answer) {
    return call_server(address, call, servers->timeout_s, answer);
}

/* State of the search for the leader. */
typedef struct {
    int next_server;          /* index of the server to call if no leader is known */
    int called_in_round;      /* servers called since the last pause */
    int unreachable_in_round; /* number of those that were unreachable */
    bool redirected; /* true if the last answer named the current address as the leader's */
} leader_search;

static double attempt_timeout_s(const tw_ctl_servers *servers, double left_s) {
    const double max_s =
        servers->count > 1 ? servers->timeout_s * ATTEMPT_TIMEOUT_RATIO : servers->timeout_s;
    return fmin(left_s, max_s);
}

/* Returns true if the search is over: the leader answered, all servers are unreachable, or the time
 * limit has passed. */
static bool is_final(const tw_ctl_servers *servers, const leader_search *search,
                     tw_rpc_status status, const tw_rpc_answer *answer, double left_s) {
    if (status == TW_RPC_OK && answer->verdict != TW_SHARDS_NOT_LEADER) return true;
    const bool all_unreachable = search->called_in_round >= servers->count &&
                                 search->unreachable_in_round == search->called_in_round;
    return left_s <= MIN_PAUSE_S || all_unreachable;
}

/* Sets `server` to the next address to call. Returns the time to wait before the call, in seconds.
 */
static double choose_next_server(const tw_ctl_servers *servers, leader_search *search,
                                 tw_rpc_status status, const tw_rpc_answer *answer, char *server) {
    const bool names_other =
        status == TW_RPC_OK && answer->leader[0] && strcmp(answer->leader, server) != 0;
    const double wait_s = status == TW_RPC_OK ? answer->retry_after_s : 0;
    if (names_other && !search->redirected) {
        search->redirected = true;
        snprintf(server, TW_RPC_ADDRESS_SIZE, "%s", answer->leader);
        return 0;
    }
    search->redirected = false;
    search->next_server = (search->next_server + 1) % servers->count;
    snprintf(server, TW_RPC_ADDRESS_SIZE, "%s", servers->addresses[search->next_server]);
    if (search->called_in_round < servers->count) return 0;
    search->called_in_round = search->unreachable_in_round = 0;
    return fmax(MIN_PAUSE_S, wait_s);
}

tw_rpc_status tw_ctl_call_leader(const tw_ctl_servers *servers, const tw_rpc_call *call,
                                 tw_rpc_answer *answer, char server[TW_RPC_ADDRESS_SIZE]) {
    const double deadline = now_s() + servers->timeout_s;
    leader_search search = {0};
    snprintf(server, TW_RPC_ADDRESS_SIZE, "%s", servers->addresses[0]);
    for (;;) {
        const double timeout_s = attempt_timeout_s(servers, deadline - now_s());
        const tw_rpc_status status = call_server(server, call, timeout_s, answer);
        search.called_in_round++;
        search.unreachable_in_round += status == TW_RPC_UNREACHABLE;
        if (is_final(servers, &search, status, answer, deadline - now_s())) return status;
        const double wait_s = choose_next_server(servers, &search, status, answer, server);
        tw_rpc_answer_free(answer);
        sleep_s(fmin(wait_s, fmax(0, deadline - now_s())));
    }
}
