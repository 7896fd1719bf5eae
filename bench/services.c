/* Stubs that answer the node's calls to the state service, the cloud, other nodes and workers. */
#include "fleet_int.h"
#include <stdlib.h>
#include <string.h>

#define ANSWER_S 0.001
#define LEASE_ID 7 /* id of the only lease that is granted */
#define DECIMAL 10
#define MAX_PAGE_MACHINES 500 /* number per page */
#define TEXT_SIZE 512

static char *copy_text(const char *text) {
    char *copy = strdup(text);
    if (!copy) abort();
    return copy;
}

static char *empty_page(uint64_t revision) {
    char text[TEXT_SIZE];
    snprintf(text, sizeof text, "{\"ledger\":%llu,\"entries\":[],\"log\":[],\"more\":false}",
             (unsigned long long)revision);
    return copy_text(text);
}

static void answer_with(tw_bench_pending *answer, int status, char *body) {
    answer->status = status;
    answer->body = body;
}

/* ---- state service ---- */

/* Answers a read of one key. Only a follower finds a key, that of the leader; records of jobs are
 * served by range reads only. */
static void serve_key(const tw_bench_fleet *fleet, const char *path, tw_bench_pending *answer) {
    char text[TEXT_SIZE];
    if (!fleet->load.follower || !strncmp(path, "/kv/job/", strlen("/kv/job/"))) {
        answer_with(answer, TW_BENCH_UNKNOWN, empty_page(fleet->revision));
        return;
    }
    snprintf(text, sizeof text, "{\"k\":\"%s\",\"data\":{\"node\":\"tray-1\"},\"stamp\":%llu}",
             path + strlen("/kv/"), (unsigned long long)fleet->fencing_token);
    answer_with(answer, TW_BENCH_OK, copy_text(text));
}

static void serve_keys(tw_bench_fleet *fleet, const char *path, tw_bench_pending *answer) {
    int records;
    int more;
    if (!strstr(path, "starts=job/")) {
        answer_with(answer, TW_BENCH_OK, empty_page(fleet->revision));
        return;
    }
    answer_with(answer, TW_BENCH_OK, tw_bench_records_page(&fleet->load, path, &records, &more));
    answer->kind = TW_BENCH_RECORDS;
    fleet->records += records;
    fleet->all_records_read = !more;
}

/* Answers a watch without changes, after its hold time. */
static void serve_watch(const tw_bench_fleet *fleet, const char *path, tw_bench_pending *answer) {
    const char *hold = strstr(path, "holdMs=");
    if (hold) answer->due_at += strtod(hold + strlen("holdMs="), NULL) / 1000;
    answer_with(answer, TW_BENCH_OK, empty_page(fleet->revision));
}

static void serve_state(tw_bench_fleet *fleet, const tw_effect *call, tw_bench_pending *answer) {
    char text[TEXT_SIZE];
    if (!strncmp(call->path, "/kv?", strlen("/kv?"))) {
        serve_keys(fleet, call->path, answer);
    } else if (!strncmp(call->path, "/kv/", strlen("/kv/"))) {
        serve_key(fleet, call->path, answer);
    } else if (!strncmp(call->path, "/follow", strlen("/follow"))) {
        serve_watch(fleet, call->path, answer);
    } else if (!strncmp(call->path, "/grants", strlen("/grants"))) {
        snprintf(text, sizeof text, "{\"hold\":%d}", LEASE_ID);
        answer_with(answer, TW_BENCH_OK, copy_text(text));
    } else { /* a transaction, which always succeeds */
        answer_with(answer, TW_BENCH_OK, empty_page(++fleet->revision));
        if (!fleet->fencing_token) fleet->fencing_token = fleet->revision;
    }
}

/* ---- cloud ---- */

static char *machine_types(void) {
    char text[TEXT_SIZE];
    snprintf(text, sizeof text,
             "{\"racks\":[{\"label\":\"c96\",\"cores\":%d,\"gpus\":0,\"memoryGb\":768,"
             "\"cacheGb\":200,\"fetchGbPerS\":1.0,\"hourly\":4.0,\"lowPrice\":2.0,"
             "\"startupS\":45,\"yards\":[\"a\",\"b\"]}]}",
             TW_BENCH_MACHINE_CORES);
    return copy_text(text);
}

static char *machine_list(const tw_bench_fleet *fleet, const char *path) {
    const char *since = strstr(path, "since=n-");
    int machine = since ? (int)strtol(since + strlen("since=n-"), NULL, DECIMAL) : 0;
    const int end = machine + MAX_PAGE_MACHINES < fleet->load.machines ? machine + MAX_PAGE_MACHINES
                                                                       : fleet->load.machines;
    char *text = NULL;
    size_t size = 0;
    FILE *out = open_memstream(&text, &size);
    if (!out) abort();
    fputs("{\"trays\":[", out);
    for (int first = machine; machine < end; machine++) {
        char name[TW_WIRE_NAME_SIZE];
        tw_bench_machine_name(name, sizeof name, machine);
        fprintf(out,
                "%s{\"id\":\"%s\",\"endpoint\":\"%s:9000\",\"rack\":\"c96\",\"yard\":\"%c\","
                "\"loaner\":false,\"stage\":\"running\",\"heldS\":%.1f}",
                machine > first ? "," : "", name, name, fleet->workers[machine].zone, fleet->now);
    }
    fprintf(out, "],\"more\":%s}", machine < fleet->load.machines ? "true" : "false");
    fclose(out);
    return text;
}

static void serve_cloud(tw_bench_fleet *fleet, const tw_effect *call, tw_bench_pending *answer) {
    if (!strcmp(call->path, "/flavors")) {
        answer_with(answer, TW_BENCH_OK, machine_types());
    } else if (!strcmp(call->method, "GET")) {
        answer_with(answer, TW_BENCH_OK, machine_list(fleet, call->path));
    } else if (!strcmp(call->path, "/rentals/release")) {
        fleet->returned++;
        answer_with(answer, TW_BENCH_OK, copy_text("{}"));
    } else {
        answer_with(answer, TW_BENCH_UNAVAILABLE, copy_text("{\"error\":\"no capacity\"}"));
    }
}

/* ---- other nodes and workers ---- */

char *tw_bench_peer_text(const tw_bench_fleet *fleet, const char *name) {
    tw_wire_peer_heartbeat heartbeat = {.highest_token = fleet->fencing_token,
                                        .store_reachable = 1,
                                        .uptime_s = fleet->now,
                                        .since_delegate_answer_s = fleet->now};
    snprintf(heartbeat.name, sizeof heartbeat.name, "%s", name);
    heartbeat.is_leader = fleet->load.follower && !strcmp(name, "tray-1");
    if (heartbeat.is_leader) snprintf(heartbeat.leader, sizeof heartbeat.leader, "%s", name);
    return tw_wire_peer_heartbeat_text(&heartbeat, NULL, 0);
}

static const char *peer_name_at(const tw_bench_fleet *fleet, const char *address) {
    for (size_t i = 0; i < fleet->conf.peer_count; i++)
        if (!strcmp(fleet->conf.peers[i].addr, address)) return fleet->conf.peers[i].name;
    return "";
}

static void serve_peer(const tw_bench_fleet *fleet, const tw_effect *call,
                       tw_bench_pending *answer) {
    if (!strcmp(call->path, "/peer/ping"))
        answer_with(answer, TW_BENCH_OK,
                    tw_bench_peer_text(fleet, peer_name_at(fleet, call->addr)));
    else if (!strcmp(call->path, "/peer/hello"))
        answer_with(answer, TW_BENCH_OK, tw_wire_commands_text(fleet->fencing_token, 0, NULL, 0));
    else
        answer_with(answer, TW_BENCH_UNAVAILABLE, copy_text("{}"));
}

static void serve_worker(tw_bench_fleet *fleet, const tw_effect *call, tw_bench_pending *answer) {
    int machine = (int)strtol(call->addr + strlen("n-"), NULL, DECIMAL) - 1;
    if (machine < 0 || machine >= fleet->load.machines) {
        answer_with(answer, TW_BENCH_UNKNOWN, copy_text("{}"));
        return;
    }
    if (call->body) tw_bench_worker_execute(fleet, machine, call->body);
    answer_with(answer, TW_BENCH_OK, tw_bench_worker_heartbeat(fleet, machine));
}

void tw_bench_answer_call(tw_bench_fleet *fleet, const tw_effect *call, tw_bench_pending *answer) {
    answer->due_at = fleet->now + ANSWER_S;
    answer->kind = TW_BENCH_ANSWER;
    switch (call->to) {
    case TW_TO_STATE:
        serve_state(fleet, call, answer);
        break;
    case TW_TO_CLOUD:
        serve_cloud(fleet, call, answer);
        break;
    case TW_TO_PEER:
        serve_peer(fleet, call, answer);
        break;
    default:
        serve_worker(fleet, call, answer);
        break;
    }
}
