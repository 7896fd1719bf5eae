/* Messages between workers and nodes: heartbeats, commands, redirects. */
#define _GNU_SOURCE /* memmem */
#include "wire/json.h"
#include "wire/wire.h"
#include <ctype.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NO_COMMANDS_TEXT_SIZE 64
/* Heartbeats from this size on are parsed task by task. */
#define MIN_LONG_HEARTBEAT_BYTES 65536
#define INITIAL_TASK_CAPACITY 1024
/* The protocol limits a line of a response to 64 KiB. */
#define MAX_COMMANDS_PER_LINE 500

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

/* Returns the position after `"pieces":[`, which begins the list of tasks, or NULL if the list
 * can't be found without parsing the text. No object begins between the first brace and that
 * position, so the name is that of a field of the heartbeat. */
static const char *find_task_list(const char *text, size_t length) {
    static const char name[] = "\"pieces\":[";
    const char *found = length ? memmem(text, length, name, sizeof name - 1) : NULL;
    if (!found || *text != '{' || memchr(text + 1, '{', (size_t)(found - text) - 1)) return NULL;
    return found + sizeof name - 1;
}

static const char *skip_spaces(const char *at, const char *end) {
    while (at < end && isspace((unsigned char)*at)) at++;
    return at;
}

/* Reads the tasks of the list that begins at text, one by one, since the parsed list would use many
 * times the memory of its text. Returns the end of the list, or NULL if it is malformed. */
static const char *read_tasks(tw_wire_heartbeat *heartbeat, const char *text, const char *end) {
    int capacity = 0;
    const char *at = skip_spaces(text, end);
    if (at < end && *at == ']') return at;
    while (at < end) {
        if (heartbeat->task_count == capacity) {
            capacity = capacity ? 2 * capacity : INITIAL_TASK_CAPACITY;
            heartbeat->tasks = realloc(heartbeat->tasks, (size_t)capacity * sizeof(tw_wire_task));
            if (!heartbeat->tasks) abort();
        }
        tw_wire_task *task = &heartbeat->tasks[heartbeat->task_count++];
        memset(task, 0, sizeof *task);
        cJSON *item = cJSON_ParseWithLengthOpts(at, (size_t)(end - at), &at, 0);
        const tw_wire_error result = item ? read_task(item, task, 0) : TW_WIRE_MALFORMED;
        cJSON_Delete(item);
        if (result) return NULL;
        at = skip_spaces(at, end);
        if (at == end || (*at != ',' && *at != ']')) return NULL;
        if (*at == ']') return at;
        at++;
    }
    return NULL;
}

/* Parses the text without the tasks from list_start to list_end. */
static tw_wire_error read_without_tasks(tw_wire_heartbeat *heartbeat, const char *text,
                                        size_t length, const char *list_start,
                                        const char *list_end) {
    const size_t head_length = (size_t)(list_start - text);
    const size_t tail_length = length - (size_t)(list_end - text);
    char *shortened = tw_json_alloc(head_length + tail_length + 1);
    memcpy(shortened, text, head_length);
    memcpy(shortened + head_length, list_end, tail_length);
    cJSON *object = tw_json_parse(shortened, head_length + tail_length);
    free(shortened);
    const tw_wire_error result =
        object ? tw_json_read_fields(object, heartbeat_fields,
                                     TW_JSON_FIELD_COUNT(heartbeat_fields), heartbeat, NULL)
               : TW_WIRE_MALFORMED;
    cJSON_Delete(object);
    return result;
}

static tw_wire_error parse_long_heartbeat(tw_wire_heartbeat *heartbeat, const char *text,
                                          size_t length, const char *list_start) {
    const char *list_end = read_tasks(heartbeat, list_start, text + length);
    const tw_wire_error result =
        list_end ? read_without_tasks(heartbeat, text, length, list_start, list_end)
                 : TW_WIRE_MALFORMED;
    if (result) tw_wire_heartbeat_free(heartbeat);
    return result;
}

tw_wire_error tw_wire_heartbeat_parse(tw_wire_heartbeat *heartbeat, const char *text, size_t len) {
    memset(heartbeat, 0, sizeof *heartbeat);
    const char *list_start = len > MIN_LONG_HEARTBEAT_BYTES ? find_task_list(text, len) : NULL;
    if (list_start) return parse_long_heartbeat(heartbeat, text, len, list_start);
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

static cJSON *commands_json(const tw_wire_command *commands, size_t count) {
    cJSON *array = cJSON_CreateArray();
    for (size_t i = 0; i < count; i++) {
        cJSON *item = cJSON_CreateObject();
        tw_json_write_fields(item, command_fields, TW_JSON_FIELD_COUNT(command_fields),
                             &commands[i]);
        cJSON_AddItemToArray(array, item);
    }
    return array;
}

/* Returns the message with the commands as one line. */
static char *line_of_commands(uint64_t fencing_token, uint64_t incarnation,
                              const tw_wire_command *commands, size_t count) {
    cJSON *object = cJSON_CreateObject();
    cJSON_AddItemToObjectCS(object, "baton", cJSON_CreateNumber((double)fencing_token));
    if (incarnation)
        cJSON_AddItemToObjectCS(object, "shift", cJSON_CreateNumber((double)incarnation));
    cJSON_AddItemToObjectCS(object, "orders", commands_json(commands, count));
    return tw_json_print_and_delete(object);
}

/* Appends the commands as a line of their own to the text, which is the message up to the last
 * command and ends with the brackets of the list and the message. */
static char *append_line(char *text, const tw_wire_command *commands, size_t count) {
    static const char end[] = "]}";
    char *line = tw_json_print_and_delete(commands_json(commands, count));
    const size_t length = strlen(text) - (sizeof end - 1);
    char *result = realloc(text, length + strlen(line) + sizeof ",\n}");
    if (!result) abort();
    /* The line's own brackets are left out in front, and close the list at its end. */
    sprintf(result + length, ",\n%s}", line + 1);
    free(line);
    return result;
}

char *tw_wire_commands_text(uint64_t fencing_token, uint64_t incarnation,
                            const tw_wire_command *commands, size_t n) {
    if (!n && !incarnation) return no_commands_text(fencing_token);
    const size_t first_count = n < MAX_COMMANDS_PER_LINE ? n : MAX_COMMANDS_PER_LINE;
    char *text = line_of_commands(fencing_token, incarnation, commands, first_count);
    for (size_t i = first_count; i < n; i += MAX_COMMANDS_PER_LINE) {
        const size_t count = n - i < MAX_COMMANDS_PER_LINE ? n - i : MAX_COMMANDS_PER_LINE;
        text = append_line(text, commands + i, count);
    }
    return text;
}

char *tw_wire_redirect_text(const char *name) {
    cJSON *object = cJSON_CreateObject();
    if (name && *name) cJSON_AddItemToObjectCS(object, "foreman", cJSON_CreateString(name));
    return tw_json_print_and_delete(object);
}
