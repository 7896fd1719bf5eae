/* What the calls of the node are answered: state service, cloud, other nodes, workers. */
#include "fleet_int.h"
#include <stdlib.h>
#include <string.h>

#define ANSWER_S 0.001
#define LEASE 7 /* the one lease that is ever granted */
#define DECIMAL 10
#define MOST_MACHINES 500 /* in a page */
#define TEXT 512

static char *copy_of(const char *text) {
    char *copy = strdup(text);
    if (!copy) abort();
    return copy;
}

static char *revision_text(uint64_t revision) {
    char text[TEXT];
    snprintf(text, sizeof text, "{\"ledger\":%llu,\"entries\":[],\"log\":[],\"more\":false}",
             (unsigned long long)revision);
    return copy_of(text);
}

static void answer_with(tw_bench_pending *answer, int status, char *body) {
    answer->status = status;
    answer->body = body;
}

/* ---- state service ---- */

/* The leader's key, or a job's: of jobs, only the pages are asked for. */
static void serve_key(const tw_bench_fleet *fleet, const char *path, tw_bench_pending *answer) {
    char text[TEXT];
    if (!fleet->load.follower || !strncmp(path, "/kv/job/", strlen("/kv/job/"))) {
        answer_with(answer, TW_BENCH_UNKNOWN, revision_text(fleet->revision));
        return;
    }
    snprintf(text, sizeof text, "{\"k\":\"%s\",\"data\":{\"node\":\"tray-1\"},\"stamp\":%llu}",
             path + strlen("/kv/"), (unsigned long long)fleet->fencing_token);
    answer_with(answer, TW_BENCH_OK, copy_of(text));
}

static void serve_keys(tw_bench_fleet *fleet, const char *path, tw_bench_pending *answer) {
    int records;
    int more;
    if (!strstr(path, "starts=job/")) {
        answer_with(answer, TW_BENCH_OK, revision_text(fleet->revision));
        return;
    }
    answer_with(answer, TW_BENCH_OK, tw_bench_records_page(&fleet->load, path, &records, &more));
    answer->kind = TW_BENCH_RECORDS;
    fleet->records += records;
    fleet->all_read = !more;
}

/* Nothing that is watched ever changes: held until its time is over. */
static void serve_watch(const tw_bench_fleet *fleet, const char *path, tw_bench_pending *answer) {
    const char *hold = strstr(path, "holdMs=");
    if (hold) answer->at += strtod(hold + strlen("holdMs="), NULL) / 1000;
    answer_with(answer, TW_BENCH_OK, revision_text(fleet->revision));
}

static void serve_state(tw_bench_fleet *fleet, const tw_effect *call, tw_bench_pending *answer) {
    char text[TEXT];
    if (!strncmp(call->path, "/kv?", strlen("/kv?"))) {
        serve_keys(fleet, call->path, answer);
    } else if (!strncmp(call->path, "/kv/", strlen("/kv/"))) {
        serve_key(fleet, call->path, answer);
    } else if (!strncmp(call->path, "/follow", strlen("/follow"))) {
        serve_watch(fleet, call->path, answer);
    } else if (!strncmp(call->path, "/grants", strlen("/grants"))) {
        snprintf(text, sizeof text, "{\"hold\":%d}", LEASE);
        answer_with(answer, TW_BENCH_OK, copy_of(text));
    } else { /* a transaction: always carried out */
        answer_with(answer, TW_BENCH_OK, revision_text(++fleet->revision));
        if (!fleet->fencing_token) fleet->fencing_token = fleet->revision;
    }
}

/* ---- cloud ---- */

static char *machine_types(void) {
    char text[TEXT];
    snprintf(text, sizeof text,
             "{\"racks\":[{\"label\":\"c96\",\"cores\":%d,\"gpus\":0,\"memoryGb\":768,"
             "\"cacheGb\":200,\"fetchGbPerS\":1.0,\"hourly\":4.0,\"lowPrice\":2.0,"
             "\"startupS\":45,\"yards\":[\"a\",\"b\"]}]}",
             TW_BENCH_MACHINE_CORES);
    return copy_of(text);
}

static char *machine_list(const tw_bench_fleet *fleet, const char *path) {
    const char *since = strstr(path, "since=n-");
    int machine = since ? (int)strtol(since + strlen("since=n-"), NULL, DECIMAL) : 0;
    const int end = machine + MOST_MACHINES < fleet->load.machines ? machine + MOST_MACHINES
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
        answer_with(answer, TW_BENCH_OK, copy_of("{}"));
    } else {
        answer_with(answer, TW_BENCH_UNAVAILABLE, copy_of("{\"error\":\"no capacity\"}"));
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

static const char *peer_at(const tw_bench_fleet *fleet, const char *address) {
    for (size_t i = 0; i < fleet->conf.peer_count; i++)
        if (!strcmp(fleet->conf.peers[i].addr, address)) return fleet->conf.peers[i].name;
    return "";
}

static void serve_peer(const tw_bench_fleet *fleet, const tw_effect *call,
                       tw_bench_pending *answer) {
    if (!strcmp(call->path, "/peer/ping"))
        answer_with(answer, TW_BENCH_OK, tw_bench_peer_text(fleet, peer_at(fleet, call->addr)));
    else if (!strcmp(call->path, "/peer/hello"))
        answer_with(answer, TW_BENCH_OK, tw_wire_commands_text(fleet->fencing_token, 0, NULL, 0));
    else
        answer_with(answer, TW_BENCH_UNAVAILABLE, copy_of("{}"));
}

static void serve_worker(tw_bench_fleet *fleet, const tw_effect *call, tw_bench_pending *answer) {
    int machine = (int)strtol(call->addr + strlen("n-"), NULL, DECIMAL) - 1;
    if (machine < 0 || machine >= fleet->load.machines) {
        answer_with(answer, TW_BENCH_UNKNOWN, copy_of("{}"));
        return;
    }
    if (call->body) tw_bench_worker_execute(fleet, machine, call->body);
    answer_with(answer, TW_BENCH_OK, tw_bench_worker_heartbeat(fleet, machine));
}

void tw_bench_serve(tw_bench_fleet *fleet, const tw_effect *call, tw_bench_pending *answer) {
    answer->at = fleet->now + ANSWER_S;
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
