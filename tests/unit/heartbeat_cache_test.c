/* Checks that the heartbeat cache, which recognises heartbeats by their text, returns what the
 * parser returns. For every pair of the texts below, it reads the second text after the first, and
 * again, and compares the results with the parser's. The texts differ little, so that a cache that
 * compares them carelessly confuses them. */
#include "wire/wire.h"
#include <cjson/cJSON.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BEGIN                                                                                      \
    "{\"tray\":\"n-1\",\"endpoint\":\"h:1\",\"rack\":\"g8\",\"yard\":\"a\",\"loaner\":true,"
#define SHIFT "\"shift\":1,"
#define END ",\"baton\":41,\"pieces\":[]}"

static const char *const texts[] = {
    BEGIN SHIFT "\"tick\":88" END,
    BEGIN SHIFT "\"tick\":89" END,
    BEGIN SHIFT "\"tick\":1e2" END,
    BEGIN SHIFT "\"tick\":88.0" END,
    BEGIN SHIFT "\"tick\":88.5" END,
    BEGIN SHIFT "\"tick\":2e15" END,
    BEGIN SHIFT "\"tick\":1e400" END,
    BEGIN SHIFT "\"tick\":-1" END,
    BEGIN SHIFT "\"tick\": 88" END,
    BEGIN SHIFT "\"tick\" :88" END,
    BEGIN SHIFT "\"tick\":\xef\xbb\xbf"
                "88" END,
    BEGIN SHIFT "\"tick\":\"88\"" END,
    BEGIN SHIFT "\"tick\":null" END,
    BEGIN SHIFT "\"tick\":[88]" END,
    BEGIN SHIFT "\"tick\":88x" END,
    BEGIN SHIFT "\"tick\":" END,
    BEGIN SHIFT "\"tick\":88",
    BEGIN SHIFT "\"tick\":88}",
    BEGIN SHIFT "\"tick\":88" END " ",
    BEGIN SHIFT "\"tick\":88" END "x",
    BEGIN SHIFT "\"tick\":88,\"tick\":90" END,
    BEGIN SHIFT "\"tick\":88,\"tick\":91" END,
    BEGIN "\"tick\":88," SHIFT "\"baton\":41,\"pieces\":[]}",
    BEGIN "\"shift\":2,\"tick\":88" END,
    BEGIN "\"other\":{\"tick\":88}," SHIFT "\"tick\":90" END,
    BEGIN "\"other\":{\"tick\":91}," SHIFT "\"tick\":90" END,
    BEGIN "\"other\":[{\"tick\":92}]," SHIFT "\"tick\":90" END,
    BEGIN "\"other\\\"tick\":88," SHIFT "\"tick\":90" END,
    BEGIN "\"other\\\"tick\":89," SHIFT "\"tick\":90" END,
    BEGIN "\"\\u0074ick\":7," SHIFT "\"tick\":88" END,
    BEGIN "\"\\u0074ick\":7," SHIFT "\"tick\":89" END,
    BEGIN "\"other\":\"tick\"," SHIFT "\"tick\":88" END,
    "[" BEGIN SHIFT "\"tick\":88" END "]",
    "[" BEGIN SHIFT "\"tick\":89" END "]",
    " " BEGIN SHIFT "\"tick\":88" END,
    "",
    "{",
    "\"tick\":88",
    BEGIN SHIFT "\"tick\":88,\"baton\":42,\"pieces\":[]}",
    BEGIN SHIFT "\"tick\":88,\"baton\":41,\"warningS\":3,\"pieces\":[]}",
    BEGIN SHIFT "\"tick\":88,\"baton\":41,\"pieces\":[{\"piece\":\"run-1/3\",\"try\":2,"
                "\"stage\":\"running\"}]}",
    BEGIN SHIFT "\"tick\":89,\"baton\":41,\"pieces\":[{\"piece\":\"run-1/3\",\"try\":2,"
                "\"stage\":\"running\"}]}",
    BEGIN SHIFT "\"tick\":89,\"baton\":41,\"pieces\":[{\"piece\":\"run-1/3\",\"try\":3,"
                "\"stage\":\"running\"}]}",
    BEGIN SHIFT "\"tick\":90,\"baton\":41,\"pieces\":[{\"piece\":\"run-1/3\",\"try\":2,"
                "\"stage\":\"exited\",\"cause\":\"done\"}]}",
    BEGIN SHIFT "\"tick\":90,\"baton\":41,\"pieces\":[{\"piece\":\"run-1/3\",\"try\":2,"
                "\"stage\":\"exited\",\"cause\":\"stopped\",\"saved\":true}]}",
};
static const size_t text_count = sizeof texts / sizeof *texts;

static bool is_same_task(const tw_wire_task *one, const tw_wire_task *other) {
    return !strcmp(one->job, other->job) && one->index == other->index &&
           one->state == other->state && one->cause == other->cause && one->saved == other->saved &&
           one->attempt == other->attempt;
}

static bool is_same_heartbeat(const tw_wire_heartbeat *one, const tw_wire_heartbeat *other) {
    if (strcmp(one->worker, other->worker) != 0 || strcmp(one->endpoint, other->endpoint) != 0 ||
        strcmp(one->machine_type, other->machine_type) != 0 ||
        strcmp(one->zone, other->zone) != 0 || one->spot != other->spot ||
        one->incarnation != other->incarnation || one->sequence != other->sequence ||
        one->fencing_token != other->fencing_token ||
        one->preemption_notice_s != other->preemption_notice_s ||
        one->task_count != other->task_count)
        return false;
    for (int i = 0; i < one->task_count; i++)
        if (!is_same_task(&one->tasks[i], &other->tasks[i])) return false;
    return true;
}

/* Returns whether the cache reads the text as the parser does. */
static bool reads_as_parser(tw_wire_heartbeat_cache *cache, const char *text) {
    tw_wire_heartbeat parsed;
    const int refused = tw_wire_heartbeat_parse(&parsed, text, strlen(text));
    const tw_wire_heartbeat *read = tw_wire_heartbeat_cache_read(cache, text, strlen(text));
    const bool same = refused ? !read : read && is_same_heartbeat(read, &parsed);
    if (!refused) tw_wire_heartbeat_free(&parsed);
    return same;
}

enum { MAX_LONG_BYTES = 8 * 1024 * 1024 };
enum { WORKERS = 500, ROUNDS = 20, CHANGE_ROUNDS = 5 };

/* Reads a heartbeat of the worker. Its sequence is the number of the round, and its fencing token
 * changes every CHANGE_ROUNDS rounds. */
static const tw_wire_heartbeat *read_round(tw_wire_heartbeat_cache *cache, int worker, int round) {
    char text[400];
    snprintf(text, sizeof text,
             "{\"tray\":\"n-%d\",\"endpoint\":\"h:1\",\"rack\":\"g8\",\"yard\":\"a\","
             "\"loaner\":true,\"shift\":1,\"tick\":%d,\"baton\":%d,\"pieces\":[]}",
             worker, round, round / CHANGE_ROUNDS);
    return tw_wire_heartbeat_cache_read(cache, text, strlen(text));
}

/* Reads heartbeats of many workers over several rounds; one worker sends only one. The sweep must
 * evict that worker's heartbeat and keep the others. An unchanged heartbeat must return the cached
 * entry with the new sequence. Returns the number of failures. */
static int check_many_workers(void) {
    const tw_wire_heartbeat *last[WORKERS] = {NULL};
    int wrong = 0;
    tw_wire_heartbeat_cache *cache = tw_wire_heartbeat_cache_new(MAX_LONG_BYTES);
    for (int round = 0; round < ROUNDS; round++) {
        for (int worker = round > 0; worker < WORKERS; worker++) {
            const tw_wire_heartbeat *read = read_round(cache, worker, round);
            const bool kept = round % CHANGE_ROUNDS == 0 || read == last[worker];
            wrong += !read || !kept || read->sequence != (uint64_t)round;
            last[worker] = read;
        }
        tw_wire_heartbeat_cache_sweep(cache);
    }
    if (wrong)
        printf("FAIL heartbeat_cache: %d heartbeats were not read, not cached or had the wrong "
               "sequence\n",
               wrong);
    const size_t count = tw_wire_heartbeat_cache_count(cache);
    if (count != WORKERS - 1) {
        printf("FAIL heartbeat_cache: %zu heartbeats cached for %d workers\n", count, WORKERS - 1);
        wrong++;
    }
    tw_wire_heartbeat_cache_free(cache);
    return wrong;
}

enum { LONG_TASKS = 200, LONG_WORKERS = 1000, TASK_TEXT = 80 };

/* Reads a heartbeat with LONG_TASKS tasks. */
static const tw_wire_heartbeat *read_long(tw_wire_heartbeat_cache *cache, int worker, int round) {
    static char text[400 + LONG_TASKS * TASK_TEXT];
    int length = snprintf(text, sizeof text,
                          "{\"tray\":\"n-%d\",\"endpoint\":\"h:1\",\"rack\":\"g8\",\"yard\":\"a\","
                          "\"loaner\":true,\"shift\":1,\"tick\":%d,\"baton\":1,\"pieces\":[",
                          worker, round);
    for (int task = 0; task < LONG_TASKS; task++)
        length += snprintf(text + length, sizeof text - (size_t)length,
                           "%s{\"piece\":\"run-%06d/0\",\"try\":1,\"stage\":\"exited\","
                           "\"cause\":\"done\"}",
                           task ? "," : "", task);
    length += snprintf(text + length, sizeof text - (size_t)length, "]}");
    return tw_wire_heartbeat_cache_read(cache, text, (size_t)length);
}

/* Checks that an unchanged heartbeat with 200 attempts is returned from the cache. When long texts
 * were parsed each time, it cost 71 times as much as one with 50 attempts. With very many such
 * machines, all heartbeats must be read, but only some cached. Returns the number of failures. */
static int check_long_heartbeats(void) {
    tw_wire_heartbeat_cache *cache = tw_wire_heartbeat_cache_new(MAX_LONG_BYTES);
    int wrong = 0;
    const tw_wire_heartbeat *first = read_long(cache, 0, 1);
    const tw_wire_heartbeat *second = read_long(cache, 0, 2);
    if (!first || first != second || second->sequence != 2 || second->task_count != LONG_TASKS ||
        tw_wire_heartbeat_cache_count(cache) != 1) {
        printf(
            "FAIL heartbeat_cache: an unchanged long heartbeat was not returned from the cache\n");
        wrong++;
    }
    for (int worker = 1; worker < LONG_WORKERS; worker++) {
        const tw_wire_heartbeat *read = read_long(cache, worker, 1);
        wrong += !read || read->task_count != LONG_TASKS;
    }
    const size_t count = tw_wire_heartbeat_cache_count(cache);
    if (count < 2 || count >= LONG_WORKERS) {
        printf("FAIL heartbeat_cache: %zu long heartbeats cached for %d workers\n", count,
               LONG_WORKERS);
        wrong++;
    }
    tw_wire_heartbeat_cache_free(cache);
    return wrong;
}

enum { HUGE_TASKS = 5000, MAX_LINE = 65536, COMMANDS = 8000 };

/* Checks that a heartbeat of more than 64 KiB, which is parsed task by task, is read like a short
 * one: all tasks, the fields behind them, and no malformed list. Returns the number of failures. */
static int check_huge_heartbeat(void) {
    static char text[400 + HUGE_TASKS * TASK_TEXT];
    tw_wire_heartbeat heartbeat;
    int wrong = 0;
    int length = snprintf(text, sizeof text,
                          "{\"tray\":\"n-1\",\"endpoint\":\"h:1\",\"rack\":\"g8\",\"yard\":\"a\","
                          "\"loaner\":true,\"shift\":1,\"tick\":2,\"pieces\":[");
    for (int task = 0; task < HUGE_TASKS; task++)
        length += snprintf(text + length, sizeof text - (size_t)length,
                           "%s{\"piece\":\"run-000001/%d\",\"try\":7,\"stage\":\"running\"}",
                           task ? " , " : "", task);
    length += snprintf(text + length, sizeof text - (size_t)length, "],\"baton\":9}");
    wrong += tw_wire_heartbeat_parse(&heartbeat, text, (size_t)length) != TW_WIRE_OK;
    wrong += heartbeat.task_count != HUGE_TASKS || heartbeat.fencing_token != 9;
    for (int task = 0; !wrong && task < HUGE_TASKS; task++)
        wrong += heartbeat.tasks[task].index != task || heartbeat.tasks[task].attempt != 7 ||
                 heartbeat.tasks[task].state != TW_TASK_RUNNING;
    tw_wire_heartbeat_free(&heartbeat);
    char *end = strstr(text, "],\"baton\"");
    for (int cut = 1; cut < length; cut += length / 7) /* truncated */
        wrong += tw_wire_heartbeat_parse(&heartbeat, text, (size_t)cut) == TW_WIRE_OK;
    *(end - 1) = ','; /* the last task lacks its brace */
    wrong += tw_wire_heartbeat_parse(&heartbeat, text, (size_t)length) == TW_WIRE_OK;
    if (wrong) printf("FAIL heartbeat_cache: %d errors in a huge heartbeat\n", wrong);
    return wrong;
}

/* Checks that an answer with many commands contains all of them and has no line over 64 KiB.
 * Returns the number of failures. */
static int check_many_commands(void) {
    static tw_wire_command commands[COMMANDS];
    for (int i = 0; i < COMMANDS; i++) {
        commands[i] = (tw_wire_command){.kind = TW_COMMAND_LAUNCH, .index = i, .attempt = 1};
        snprintf(commands[i].job, sizeof commands[i].job, "run-000001");
    }
    char *text = tw_wire_commands_text(3, 0, commands, COMMANDS);
    int wrong = 0;
    for (const char *line = text; *line; line += strcspn(line, "\n"), line += *line == '\n')
        wrong += strcspn(line, "\n") > MAX_LINE;
    cJSON *object = cJSON_Parse(text);
    const cJSON *list = cJSON_GetObjectItem(object, "orders");
    wrong += cJSON_GetArraySize(list) != COMMANDS || !cJSON_GetObjectItem(object, "baton");
    if (wrong) printf("FAIL heartbeat_cache: %d errors in an answer with many commands\n", wrong);
    cJSON_Delete(object);
    free(text);
    return wrong;
}

int main(void) {
    int wrong = check_many_workers() + check_long_heartbeats() + check_huge_heartbeat() +
                check_many_commands();
    for (size_t i = 0; i < text_count; i++) {
        for (size_t j = 0; j < text_count; j++) {
            tw_wire_heartbeat_cache *cache = tw_wire_heartbeat_cache_new(MAX_LONG_BYTES);
            if (!reads_as_parser(cache, texts[i]) || !reads_as_parser(cache, texts[j]) ||
                !reads_as_parser(cache, texts[j]) || !reads_as_parser(cache, texts[i])) {
                printf("FAIL heartbeat_cache: read differently from the parser: %s after %s\n",
                       texts[j], texts[i]);
                wrong++;
            }
            tw_wire_heartbeat_cache_free(cache);
        }
    }
    if (!wrong) printf("ok heartbeat_cache: %zu pairs\n", text_count * text_count);
    return wrong != 0;
}
