/* Messages between workers and nodes: heartbeats, commands, redirects. */
#include "wire/json.h"
#include "wire/wire.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NO_COMMANDS_TEXT_SIZE 64

/* ---- heartbeats ---- */

/* Reads a task name "JOB/INDEX" into the job id and the task's index. */
static tw_wire_error read_task_name(const cJSON *value, void *message) {
    tw_wire_task *task = message;
    char name[TW_WIRE_NAME_SIZE];
    if (tw_json_read_string(value, name, sizeof name)) return TW_WIRE_MALFORMED;
    char *slash = strrchr(name, '/');
    if (!slash || slash == name || slash - name >= TW_WIRE_ID_SIZE || !slash[1])
        return TW_WIRE_MALFORMED;
    long index = 0;
    for (const char *digit = slash + 1; *digit; digit++) {
        if (*digit < '0' || *digit > '9') return TW_WIRE_MALFORMED;
        index = index * 10 + (*digit - '0');
        if (index >= TW_WIRE_MAX_TASKS) return TW_WIRE_MALFORMED;
    }
    *slash = 0;
    memcpy(task->job, name, (size_t)(slash - name) + 1);
    task->index = (int)index;
    return TW_WIRE_OK;
}

/* Reads the exit cause of a task. It is ignored unless the task has exited; a missing or unknown
 * cause is then read as TW_CAUSE_OTHER. */
static tw_wire_error read_cause(const cJSON *value, void *message) {
    static const char *const words[] = {"",     "done",    "stopped", "error", "no_room",
                                        "busy", "no_such", "peers",   "alone", NULL};
    tw_wire_task *task = message;
    char word[TW_WIRE_NAME_SIZE];
    if (task->state != TW_TASK_EXITED) return TW_WIRE_OK;
    task->cause = TW_CAUSE_OTHER;
    if (!tw_json_read_string(value, word, sizeof word))
        task->cause = tw_json_find_word(words, word, TW_CAUSE_OTHER);
    return TW_WIRE_OK;
}

static tw_wire_error read_task(const cJSON *value, void *item, size_t size) {
    static const char *const stage_words[] = {"pulling", "running", "flushing",
                                              "exited",  "waiting", NULL};
    static const tw_json_field fields[] = {
        {TW_JSON_NAME("piece"), .type = TW_JSON_CUSTOM, .read = read_task_name},
        {TW_JSON_NAME("try"), TW_JSON_UINT64_AT(tw_wire_task, attempt)},
        {TW_JSON_NAME("stage"), TW_JSON_ENUM_AT(tw_wire_task, state, stage_words),
         .unknown = TW_TASK_RUNNING},
        {TW_JSON_NAME("cause"), .type = TW_JSON_CUSTOM, .read = read_cause},
        {TW_JSON_NAME("saved"), TW_JSON_FLAG_AT(tw_wire_task, saved), .rules = TW_JSON_LENIENT},
    };
    (void)size;
    return tw_json_read_fields(value, fields, TW_JSON_FIELD_COUNT(fields), item, NULL);
}

/* Reads the preemption notice. If its time is invalid, the time until the preemption is 0. */
static tw_wire_error read_preemption_notice(const cJSON *value, void *message) {
    tw_wire_heartbeat *heartbeat = message;
    heartbeat->preemption_notice_s = -1;
    if (!value) return TW_WIRE_OK;
    heartbeat->preemption_notice_s = 0;
    if (cJSON_IsNumber(value) && value->valuedouble >= 0 &&
        value->valuedouble <= TW_JSON_MAX_NUMBER)
        heartbeat->preemption_notice_s = value->valuedouble;
    return TW_WIRE_OK;
}

static const tw_json_field heartbeat_fields[] = {
    {TW_JSON_NAME("tray"), TW_JSON_TEXT_AT(tw_wire_heartbeat, worker)},
    {TW_JSON_NAME("endpoint"), TW_JSON_TEXT_AT(tw_wire_heartbeat, endpoint)},
    {TW_JSON_NAME("rack"), TW_JSON_TEXT_AT(tw_wire_heartbeat, machine_type)},
    {TW_JSON_NAME("yard"), TW_JSON_TEXT_AT(tw_wire_heartbeat, zone)},
    {TW_JSON_NAME("loaner"), TW_JSON_FLAG_AT(tw_wire_heartbeat, spot)},
    {TW_JSON_NAME("shift"), TW_JSON_UINT64_AT(tw_wire_heartbeat, incarnation)},
    {TW_JSON_NAME("tick"), TW_JSON_UINT64_AT(tw_wire_heartbeat, sequence)},
    {TW_JSON_NAME("baton"), TW_JSON_UINT64_AT(tw_wire_heartbeat, fencing_token)},
    {TW_JSON_NAME("warningS"), .type = TW_JSON_CUSTOM, .read = read_preemption_notice},
};

static tw_wire_error read_heartbeat(tw_wire_heartbeat *heartbeat, const cJSON *object) {
    static const tw_json_list tasks = {"pieces", sizeof(tw_wire_task), read_task, NULL};
    if (tw_json_read_fields(object, heartbeat_fields, TW_JSON_FIELD_COUNT(heartbeat_fields),
                            heartbeat, NULL))
        return TW_WIRE_MALFORMED;
    if (!tw_json_get(object, tasks.name)) return TW_WIRE_OK;
    void *items;
    tw_wire_error result = tw_json_read_list(&tasks, object, &items, &heartbeat->task_count);
    heartbeat->tasks = items;
    return result;
}

tw_wire_error tw_wire_heartbeat_parse(tw_wire_heartbeat *heartbeat, const char *text, size_t len) {
    memset(heartbeat, 0, sizeof *heartbeat);
    cJSON *object = tw_json_parse(text, len);
    tw_wire_error result = object ? read_heartbeat(heartbeat, object) : TW_WIRE_MALFORMED;
    cJSON_Delete(object);
    return result;
}

void tw_wire_heartbeat_free(tw_wire_heartbeat *heartbeat) {
    free(heartbeat->tasks);
    heartbeat->tasks = NULL;
    heartbeat->task_count = 0;
}

/* ---- commands ---- */

static void write_task_name(cJSON *object, const void *message) {
    const tw_wire_command *command = message;
    char name[TW_WIRE_NAME_SIZE];
    snprintf(name, sizeof name, "%s/%d", command->job, command->index);
    cJSON_AddItemToObjectCS(object, "piece", cJSON_CreateString(name));
}

static void write_grace(cJSON *object, const void *message) {
    const tw_wire_command *command = message;
    if (command->kind == TW_COMMAND_STOP)
        cJSON_AddItemToObjectCS(object, "mercyS", cJSON_CreateNumber(command->grace_s));
}

static const char *const verb_words[] = {"launch", "kill", "forget", NULL};

static const tw_json_field command_fields[] = {
    {TW_JSON_NAME("verb"), TW_JSON_ENUM_AT(tw_wire_command, kind, verb_words)},
    {TW_JSON_NAME("piece"), .type = TW_JSON_CUSTOM, .write = write_task_name},
    {TW_JSON_NAME("try"), TW_JSON_UINT64_AT(tw_wire_command, attempt)},
    {TW_JSON_NAME("mercyS"), .type = TW_JSON_CUSTOM, .write = write_grace},
};

/* Returns a heartbeat response without commands, the most frequent one. For speed the text is
 * printed directly; it equals the one that the JSON library would print. */
static char *no_commands_text(uint64_t fencing_token) {
    char text[NO_COMMANDS_TEXT_SIZE];
    snprintf(text, sizeof text, "{\"baton\":%" PRIu64 ",\"orders\":[]}", fencing_token);
    char *copy = strdup(text);
    if (!copy) abort();
    return copy;
}

char *tw_wire_commands_text(uint64_t fencing_token, uint64_t incarnation,
                            const tw_wire_command *commands, size_t n) {
    if (!n && !incarnation) return no_commands_text(fencing_token);
    cJSON *object = cJSON_CreateObject();
    cJSON_AddItemToObjectCS(object, "baton", cJSON_CreateNumber((double)fencing_token));
    if (incarnation)
        cJSON_AddItemToObjectCS(object, "shift", cJSON_CreateNumber((double)incarnation));
    cJSON *array = cJSON_AddArrayToObject(object, "orders");
    for (size_t i = 0; i < n; i++) {
        cJSON *item = cJSON_CreateObject();
        tw_json_write_fields(item, command_fields, TW_JSON_FIELD_COUNT(command_fields),
                             &commands[i]);
        cJSON_AddItemToArray(array, item);
    }
    return tw_json_print_and_delete(object);
}

char *tw_wire_redirect_text(const char *name) {
    cJSON *object = cJSON_CreateObject();
    if (name && *name) cJSON_AddItemToObjectCS(object, "foreman", cJSON_CreateString(name));
    return tw_json_print_and_delete(object);
}
