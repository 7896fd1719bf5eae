/* Prints each kind of message and record that the program sends or stores. */
#include "wire_test.h"
#include "wire/wire.h"
#include <stdlib.h>
#include <string.h>

#define MAX_EXACT_INTEGER 9007199254740992u /* 2^53: larger integers lose precision in JSON */

static void print_text(FILE *out, const char *name, char *text) {
    fprintf(out, "print %s: %s\n", name, text);
    free(text);
}

static void print_job_statuses(FILE *out) {
    print_text(out, "stage pending", tw_wire_job_status_text("run-000412", TW_JOB_PENDING, -1, -1));
    print_text(out, "stage running",
               tw_wire_job_status_text("run-000412", TW_JOB_RUNNING, 0, 100000));
    print_text(out, "stage done", tw_wire_job_status_text("run-000412", TW_JOB_DONE, 16, -1));
    print_text(out, "stage aborted",
               tw_wire_job_status_text("run-000412", TW_JOB_CANCELLED, -1, 2));
}

static void print_commands(FILE *out) {
    const tw_wire_command commands[] = {
        {.kind = TW_COMMAND_LAUNCH, .job = "run-000412", .index = 4, .attempt = 2, .grace_s = 9},
        {.kind = TW_COMMAND_STOP,
         .job = "run-000377",
         .index = 99999,
         .attempt = 1,
         .grace_s = 10.25},
        {.kind = TW_COMMAND_STOP, .job = "run-000377", .attempt = MAX_EXACT_INTEGER, .grace_s = 0},
        {.kind = TW_COMMAND_FORGET, .job = "run-000398", .attempt = 1},
    };
    print_text(out, "orders none", tw_wire_commands_text(41, 0, NULL, 0));
    print_text(out, "orders answer", tw_wire_commands_text(41, 0, commands, 4));
    print_text(out, "orders direct", tw_wire_commands_text(MAX_EXACT_INTEGER, 3, commands, 2));
    print_text(out, "foreman", tw_wire_redirect_text("tray-2"));
    print_text(out, "foreman empty", tw_wire_redirect_text(""));
    print_text(out, "foreman none", tw_wire_redirect_text(NULL));
}

static void print_cloud(FILE *out) {
    char names[2][TW_WIRE_NAME_SIZE] = {"n-000231", "n-\"quoted\"\\\n\x01\xc3\xa5"};
    print_text(out, "rent spot", tw_wire_rental_request_text("r-17", "g8", "a", 1, 50));
    print_text(out, "rent", tw_wire_rental_request_text("r-41-1", "c", "b", 0, 1));
    print_text(out, "names", tw_wire_machine_names_text(names, 2));
    print_text(out, "names none", tw_wire_machine_names_text(names, 0));
}

static void print_transactions(FILE *out) {
    const tw_wire_compare conditions[] = {{"leader", MAX_EXACT_INTEGER}, {"job/run-000412", 0}};
    const tw_wire_write writes[] = {
        {.key = "job/run-000412", .value = "{\"s\":0,\"x\":[1.50]}"},
        {.key = "leader", .value = "{}", .lease_id = 7},
        {.key = "new/run-000412", .value = NULL, .lease_id = 7},
    };
    print_text(out, "txn", tw_wire_txn_text(conditions, 2, writes, 3));
    print_text(out, "txn compare", tw_wire_txn_text(conditions, 1, NULL, 0));
    print_text(out, "txn write", tw_wire_txn_text(NULL, 0, writes, 1));
}

static void print_records(FILE *out) {
    char machine_types[2][TW_WIRE_NAME_SIZE] = {"g8", "c16"};
    tw_wire_assignment live[] = {{3, 17, "n-000231"}, {4, MAX_EXACT_INTEGER, "n-000232"}};
    tw_wire_record record = {
        .has_job = 1,
        .job = {.id = "run-000412",
                .job_class = "train",
                .team = "vis\"ion",
                .image = "img-07",
                .zone = "a",
                .priority = TW_PRIORITY_PROD,
                .service = 1,
                .task_count = 16,
                .cores = 0.1,
                .gpus = 1e21,
                .memory_gb = 1.0 / 3,
                .image_gb = 123456789012.5,
                .machine_type_count = 2,
                .machine_types = machine_types,
                .single_zone = 1,
                .spot = 1,
                .expected_run_s = 240.25,
                .checkpoint_s = 30,
                .save_s = 4,
                .deadline_s = 0},
        .task_count = 16,
        .done_count = 3,
        .submitted_at = 1700000000.25,
        .next_attempt = 19,
        .done_ranges = "0-1,7",
        .assignment_count = 2,
        .assignments = live,
    };
    print_text(out, "record full", tw_wire_record_text(&record));
    record.job.service = 0;
    record.job.gang = 1;
    record.job.priority = TW_PRIORITY_IDLE;
    record.job.zone[0] = 0;
    record.job.deadline_s = -1;
    record.job.machine_type_count = 0;
    record.job.spread = 1;
    record.assignment_count = 1;
    record.done_ranges = "";
    print_text(out, "record gang", tw_wire_record_text(&record));
    record.job.gang = 0;
    record.job.priority = TW_PRIORITY_NORMAL;
    record.job.machine_type_count = -1;
    record.assignment_count = 0;
    record.done_ranges = NULL;
    record.done_count = 0;
    record.submitted_at = 0;
    record.next_attempt = 1;
    print_text(out, "record batch", tw_wire_record_text(&record));
    const tw_wire_record over = {
        .state = TW_JOB_DONE, .task_count = 16, .done_count = 16, .next_attempt = 2};
    print_text(out, "record over", tw_wire_record_text(&over));
    const tw_wire_record cancelled = {
        .state = TW_JOB_CANCELLED, .task_count = 1, .submitted_at = -1};
    print_text(out, "record aborted", tw_wire_record_text(&cancelled));
}

/* Prints the chunks of a text, each with at most max_bytes of JSON, and the text that they form
 * when joined. */
static void print_chunks(FILE *out, const char *text, size_t max_bytes) {
    char joined[128] = "";
    while (*text) {
        size_t taken;
        char *chunk = tw_wire_chunk_text(text, max_bytes, &taken);
        char *content = tw_wire_chunk_parse(chunk);
        if (!content || !taken) {
            fprintf(out, "no slice of %zu bytes\n", max_bytes);
            free(chunk);
            free(content);
            return;
        }
        strcat(joined, content);
        free(content);
        print_text(out, "slice", chunk);
        text += taken;
    }
    fprintf(out, "joined: %s\n", joined);
}

static void print_chunked_records(FILE *out) {
    const tw_wire_record chunked = {.task_count = 400,
                                    .done_count = 3,
                                    .chunk_set = "41-7",
                                    .chunk_count = 5,
                                    .running_count = 397};
    print_text(out, "record divided", tw_wire_chunked_record_text(&chunked));
    print_chunks(out, "{\"l\":\"0:1:n-0001\",\"x\":\"\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80\"}", 14);
    print_chunks(out, "\xe2\x82\xac", 10);
    char *none = tw_wire_chunk_parse("{\"no\":1}");
    fprintf(out, "slice of an object: %s\n", none ? none : "(none)");
    free(none);
}

static void print_peer_heartbeats(FILE *out) {
    const char *const aborted[] = {"run-000412", "run-000413"};
    const tw_wire_peer_heartbeat leader = {.name = "tray-0",
                                           .leader = "tray-0",
                                           .highest_token = MAX_EXACT_INTEGER,
                                           .store_reachable = 1,
                                           .is_leader = 1,
                                           .uptime_s = 0.1,
                                           .since_delegate_answer_s = 1e-7};
    const tw_wire_peer_heartbeat follower = {.name = "tray-1"};
    print_text(out, "ping leader", tw_wire_peer_heartbeat_text(&leader, aborted, 2));
    print_text(out, "ping follower", tw_wire_peer_heartbeat_text(&follower, NULL, 0));
    const tw_wire_peer_heartbeat writes_chunks = {.name = "tray-2",
                                                  .record_format = TW_RECORD_FORMAT_CHUNKED};
    print_text(out, "ping divided", tw_wire_peer_heartbeat_text(&writes_chunks, NULL, 0));
}

void tw_test_print_messages(FILE *out) {
    print_job_statuses(out);
    print_commands(out);
    print_cloud(out);
    print_transactions(out);
    print_records(out);
    print_peer_heartbeats(out);
    print_chunked_records(out);
}
