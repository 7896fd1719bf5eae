/* Prints all messages of a controller to the state service, peers, workers and users in a few
 * deterministic conversations. Two versions that serve at the same time must read and write the
 * same formats, so their transcripts must be equal.
 *
 *   tw_versions_test CONVERSATION           prints the transcript of this version
 *   tw_versions_test CONVERSATION PROGRAM   prints the transcript of the version of PROGRAM, a
 *                                           tw_core_server
 *   tw_versions_test --records < TRANSCRIPT parses and formats each record of a transcript, and
 *                                           fails if a text differs
 *
 * tests/fixtures holds the transcripts of the version in production. */
#include "conversation.h"
#include "wire/wire.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_LINE 70000
#define JOB_PREFIX "record job/"

/* ---- conversations ---- */

#define JOB(id, shape, rest)                                                                       \
    "{\"id\":\"" id "\",\"lane\":\"lane\",\"crew\":\"crew\",\"shape\":\"" shape                    \
    "\",\"rank\":\"normal\"," rest "}"
#define TASKS(n)                                                                                   \
    "\"pieces\":" n ",\"cores\":2,\"gpus\":0,\"memoryGb\":4,\"bundle\":\"img-1\",\"imageGb\":1,"   \
    "\"samePlace\":false,\"apart\":false,\"loaner\":false,\"expectS\":40,\"snapshotS\":0,"         \
    "\"flushS\":0"
#define HEARTBEAT(sequence, token, tasks)                                                          \
    "{\"tray\":\"n-000001\",\"endpoint\":\"10.1.0.1:9000\",\"rack\":\"cpu\",\"yard\":\"a\","       \
    "\"loaner\":false,\"shift\":1,\"tick\":" sequence ",\"baton\":" token ",\"pieces\":[" tasks    \
    "]}"
#define TASK(of, attempt, rest) "{\"piece\":\"" of "\",\"try\":" attempt "," rest "}"
#define RUNS "\"stage\":\"running\""
#define DONE "\"stage\":\"exited\",\"cause\":\"done\""

static void submit_job(tw_test_conversation *conversation, const char *body) {
    tw_test_conversation_request(conversation, TW_PORT_API, "POST", "/v1/jobs", body);
}
static void send_heartbeat(tw_test_conversation *conversation, const char *body) {
    tw_test_conversation_request(conversation, TW_PORT_API, "POST", "/hello", body);
}
static void poll_job(tw_test_conversation *conversation, const char *path) {
    tw_test_conversation_request(conversation, TW_PORT_API, "GET", path, "");
}
static void send_peer_heartbeat(tw_test_conversation *conversation, const char *body) {
    tw_test_conversation_request(conversation, TW_PORT_PEER, "POST", "/peer/ping", body);
}

/* The controller is the leader: it accepts, runs, completes and cancels jobs and writes records. */
static void play_leader(tw_test_conversation *conversation, const char *program) {
    tw_test_conversation_init(conversation);
    tw_test_conversation_start_node(conversation, program);
    tw_test_conversation_advance_to(conversation, 3);
    send_heartbeat(conversation, HEARTBEAT("1", "0", ""));
    tw_test_conversation_advance_to(conversation, 3.2);
    send_heartbeat(conversation, HEARTBEAT("2", "101", ""));
    submit_job(conversation, JOB("run-000001", "batch", TASKS("2")));
    tw_test_conversation_advance_to(conversation, 3.5);
    submit_job(conversation, JOB("run-000002", "service", TASKS("1")));
    tw_test_conversation_advance_to(conversation, 4);
    send_peer_heartbeat(conversation,
                        "{\"name\":\"tray-1\",\"token\":0,\"stateOk\":true,\"leading\":false,"
                        "\"upS\":503,\"deputyS\":503}");
    send_heartbeat(conversation,
                   HEARTBEAT("3", "101",
                             TASK("run-000001/0", "1", RUNS) "," TASK(
                                 "run-000001/1", "1", RUNS) "," TASK("run-000002/0", "1", RUNS)));
    tw_test_conversation_advance_to(conversation, 5);
    send_heartbeat(conversation,
                   HEARTBEAT("4", "101",
                             TASK("run-000001/0", "1", DONE) "," TASK(
                                 "run-000001/1", "1", RUNS) "," TASK("run-000002/0", "1", RUNS)));
    tw_test_conversation_advance_to(conversation, 6);
    tw_test_conversation_print_record(conversation, "job/run-000001");
    tw_test_conversation_print_record(conversation, "job/run-000002");
    tw_test_conversation_request(conversation, TW_PORT_API, "POST", "/v1/jobs/run-000002/abort",
                                 "");
    tw_test_conversation_advance_to(conversation, 6.5);
    tw_test_conversation_print_record(conversation, "job/run-000002");
    send_heartbeat(
        conversation,
        HEARTBEAT("5", "101", TASK("run-000001/1", "2", DONE) "," TASK("run-000002/0", "1", RUNS)));
    tw_test_conversation_advance_to(conversation, 7.5);
    send_peer_heartbeat(conversation,
                        "{\"name\":\"tray-1\",\"token\":101,\"stateOk\":true,\"leading\":false,"
                        "\"upS\":506,\"deputyS\":506}");
    send_heartbeat(conversation,
                   HEARTBEAT("6", "101",
                             TASK("run-000002/0", "1",
                                  "\"stage\":\"exited\",\"cause\":\"stopped\",\"saved\":true")));
    tw_test_conversation_advance_to(conversation, 9);
    poll_job(conversation, "/v1/jobs/run-000001");
    poll_job(conversation, "/v1/jobs/run-000002");
    tw_test_conversation_advance_to(conversation, 9.5);
    tw_test_conversation_print_record(conversation, "job/run-000001");
    tw_test_conversation_print_record(conversation, "job/run-000002");
    tw_test_conversation_print_record(conversation, "leader");
}

#define OLD_JOB(id, tasks) "\"j\":" JOB(id, "batch", tasks)
/* The controller becomes leader and reads a predecessor's records of running, partly done,
 * cancelled and completed jobs. It must not launch tasks again that may run, and completed tasks
 * stay completed. */
static void play_failover(tw_test_conversation *conversation, const char *program) {
    tw_test_conversation_init(conversation);
    tw_test_conversation_write_key(
        conversation, "job/run-000001",
        "{\"s\":0," OLD_JOB("run-000001",
                            TASKS("3")) ",\"c\":1,\"t\":999999990,\"n\":6,"
                                        "\"f\":\"1\",\"l\":\"0:4:n-000001,2:5:n-000001\"}");
    tw_test_conversation_write_key(
        conversation, "job/run-000002",
        "{\"s\":3," OLD_JOB("run-000002", TASKS("2")) ",\"t\":999999991,\"n\":2,"
                                                      "\"l\":\"0:1:n-000001\"}");
    tw_test_conversation_write_key(conversation, "job/run-000003", "{\"s\":2,\"p\":4,\"c\":4}");
    tw_test_conversation_write_key(conversation, "job/run-000004", "{\"s\":3,\"p\":4,\"c\":1}");
    tw_test_conversation_write_key(conversation, "new/run-000005", "1");
    tw_test_conversation_start_node(conversation, program);
    tw_test_conversation_advance_to(conversation, 4);
    send_heartbeat(conversation,
                   HEARTBEAT("71", "90",
                             TASK("run-000001/0", "4", RUNS) "," TASK(
                                 "run-000001/2", "5", RUNS) "," TASK("run-000002/0", "1", RUNS)));
    tw_test_conversation_advance_to(conversation, 5);
    send_heartbeat(
        conversation,
        HEARTBEAT("72", "106",
                  TASK("run-000001/0", "4", DONE) "," TASK("run-000001/2", "5", RUNS) "," TASK(
                      "run-000002/0", "1", "\"stage\":\"exited\",\"cause\":\"stopped\"")));
    tw_test_conversation_advance_to(conversation, 6);
    for (int i = 1; i <= 5; i++) {
        char path[TW_SIMULATOR_NAME_SIZE];
        snprintf(path, sizeof path, "/v1/jobs/run-%06d", i);
        poll_job(conversation, path);
    }
    tw_test_conversation_advance_to(conversation, 7);
    for (int i = 1; i <= 4; i++) {
        char key[TW_SIMULATOR_NAME_SIZE];
        snprintf(key, sizeof key, "job/run-%06d", i);
        tw_test_conversation_print_record(conversation, key);
    }
    tw_test_conversation_print_record(conversation, "new/run-000005");
    tw_test_conversation_print_record(conversation, "leader");
}

/* The controller is a follower: it gets peer heartbeats, worker heartbeats that it forwards, and
 * users' requests. */
static void play_follower(tw_test_conversation *conversation, const char *program) {
    tw_test_conversation_init(conversation);
    tw_test_conversation_write_key(conversation, "leader", "{\"node\":\"tray-1\"}");
    tw_test_conversation_write_key(
        conversation, "job/run-000001",
        "{\"s\":0," OLD_JOB("run-000001", TASKS("1")) ",\"t\":999999990,\"n\":2,"
                                                      "\"l\":\"0:1:n-000001\"}");
    tw_test_conversation_start_node(conversation, program);
    tw_test_conversation_advance_to(conversation, 2);
    send_peer_heartbeat(
        conversation, "{\"name\":\"tray-1\",\"leader\":\"tray-1\",\"token\":101,\"stateOk\":true,"
                      "\"leading\":true,\"upS\":500,\"deputyS\":500,\"aborted\":[\"run-000009\"]}");
    send_heartbeat(conversation, HEARTBEAT("71", "101", TASK("run-000001/0", "1", RUNS)));
    tw_test_conversation_advance_to(conversation, 3);
    poll_job(conversation, "/v1/jobs/run-000001");
    submit_job(conversation, JOB("run-000002", "batch", TASKS("1")));
    tw_test_conversation_advance_to(conversation, 3.5);
    tw_test_conversation_request(conversation, TW_PORT_API, "POST", "/v1/jobs/run-000002/abort",
                                 "");
    tw_test_conversation_request(conversation, TW_PORT_PEER, "POST", "/peer/hello",
                                 HEARTBEAT("72", "101", ""));
    tw_test_conversation_advance_to(conversation, 4);
    send_peer_heartbeat(conversation, "{\"name\":\"tray-1\",\"token\":90}");
    tw_test_conversation_print_record(conversation, "job/run-000002");
    tw_test_conversation_print_record(conversation, "new/run-000002");
}

/* The controller reads heartbeats and records with unknown fields, and chunked records. */
static void play_unknown_fields(tw_test_conversation *conversation, const char *program) {
    tw_test_conversation_init(conversation);
    tw_test_conversation_write_key(
        conversation, "job/run-000001",
        "{\"s\":0," OLD_JOB("run-000001", TASKS("2")) ",\"t\":999999990,\"n\":2,"
                                                      "\"l\":\"0:1:n-000001\",\"zz\":7}");
    tw_test_conversation_write_key(
        conversation, "job/run-000002",
        "{\"s\":0,\"p\":2,\"c\":0,\"parts\":{\"set\":\"90-1\",\"n\":2}}");
    tw_test_conversation_write_key(
        conversation, "job/run-000003",
        "{\"s\":2,\"p\":2,\"c\":2,\"parts\":{\"set\":\"90-2\",\"n\":2}}");
    tw_test_conversation_write_key(conversation, "part/run-000002/90-1/0", "\"{}\"");
    tw_test_conversation_start_node(conversation, program);
    tw_test_conversation_advance_to(conversation, 4);
    send_peer_heartbeat(conversation,
                        "{\"name\":\"tray-1\",\"token\":0,\"stateOk\":true,\"leading\":false,"
                        "\"upS\":503,\"deputyS\":503,\"recordFormat\":2}");
    send_heartbeat(conversation, HEARTBEAT("71", "90", TASK("run-000001/0", "1", DONE)));
    tw_test_conversation_advance_to(conversation, 6);
    poll_job(conversation, "/v1/jobs/run-000001");
    poll_job(conversation, "/v1/jobs/run-000002");
    poll_job(conversation, "/v1/jobs/run-000003");
    tw_test_conversation_advance_to(conversation, 7);
    tw_test_conversation_print_record(conversation, "job/run-000001");
    tw_test_conversation_print_record(conversation, "job/run-000002");
    tw_test_conversation_print_record(conversation, "job/run-000003");
    tw_test_conversation_print_record(conversation, "part/run-000002/90-1/0");
}

static const struct {
    const char *name;
    void (*play)(tw_test_conversation *conversation, const char *program);
} conversations[] = {{"leads", play_leader},
                     {"takes_over", play_failover},
                     {"follows", play_follower},
                     {"unknown_fields", play_unknown_fields}};

/* ---- records ---- */

/* Returns whether the record of a transcript line can be parsed and is formatted as the same text.
 */
static bool does_record_round_trip(const char *line) {
    char id[TW_WIRE_ID_SIZE];
    tw_wire_record record;
    line += strlen(JOB_PREFIX);
    const size_t length = strcspn(line, " ");
    snprintf(id, sizeof id, "%.*s", (int)length, line);
    const char *text = line + length + 1;
    if (tw_wire_record_parse(&record, id, text, strlen(text))) {
        printf("FAIL versions: cannot parse record: %s\n", text);
        return false;
    }
    char *again = tw_wire_record_text(&record);
    const bool same = !strcmp(text, again);
    if (!same) printf("FAIL versions: record %s is formatted as %s\n", text, again);
    free(again);
    tw_wire_record_free(&record);
    return same;
}

static bool check_records_round_trip(void) {
    char line[MAX_LINE];
    int records = 0, wrong = 0;
    while (fgets(line, sizeof line, stdin)) {
        line[strcspn(line, "\n")] = 0;
        if (strncmp(line, JOB_PREFIX, strlen(JOB_PREFIX)) != 0) continue;
        records++;
        wrong += !does_record_round_trip(line);
    }
    if (!records) printf("FAIL versions: the transcript has no records\n");
    return wrong || !records;
}

int main(int argc, char **argv) {
    if (argc == 2 && !strcmp(argv[1], "--records")) return check_records_round_trip();
    for (size_t i = 0; argc > 1 && i < sizeof conversations / sizeof *conversations; i++) {
        if (strcmp(argv[1], conversations[i].name) != 0) continue;
        tw_test_conversation conversation = {0};
        conversations[i].play(&conversation, argc > 2 ? argv[2] : NULL);
        tw_test_conversation_free(&conversation);
        return 0;
    }
    fprintf(stderr, "usage: tw_versions_test CONVERSATION [TW_CORE_SERVER] | --records\n");
    return 2;
}
