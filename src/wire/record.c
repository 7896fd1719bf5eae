/* A job's record in the state service: the job as submitted, its state and its progress. The field
 * names are single letters, since the size of a record is limited. */
#include "wire/job.h"
#include "wire/json.h"
#include "wire/wire.h"
#include <errno.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Maximum size of an assignment's text "index:attempt:worker,", excluding the worker's name. */
#define ASSIGNMENT_NUMBERS_SIZE 32
/* Maximum number of chunks of a chunked record. */
#define MAX_RECORD_CHUNKS 10000
/* Maximum size in a JSON text of a character that is escaped by a letter (\n), of one that is
 * escaped by its code (\u000a), and, per UTF-8 byte, of a non-ASCII character (\u00e9 has two bytes
 * in UTF-8). */
#define LETTER_ESCAPE_BYTES 2
#define UNICODE_ESCAPE_BYTES 6
#define NON_ASCII_ESCAPE_BYTES 3
#define FIRST_NON_ASCII 0x80
/* Bits that identify the second and later bytes of a UTF-8 character. */
#define CONTINUATION_MASK 0xc0
#define CONTINUATION_BITS 0x80

static const tw_json_field stage_field[] = {
    {TW_JSON_NAME("s"), TW_JSON_INTEGER_AT(tw_wire_record, state, 0, TW_JOB_CANCELLED)},
};
static const tw_json_field tasks_field[] = {
    {TW_JSON_NAME("p"), TW_JSON_INTEGER_AT(tw_wire_record, task_count, 1, TW_WIRE_MAX_TASKS)},
};
static const tw_json_field progress_fields[] = {
    {TW_JSON_NAME("c"), TW_JSON_INTEGER_AT(tw_wire_record, done_count, 0, TW_WIRE_MAX_TASKS),
     .rules = TW_JSON_LENIENT | TW_JSON_OMIT},
    {TW_JSON_NAME("t"), TW_JSON_NUMBER_AT(tw_wire_record, submitted_at),
     .rules = TW_JSON_LENIENT | TW_JSON_OMIT},
    {TW_JSON_NAME("n"), TW_JSON_UINT64_AT(tw_wire_record, next_attempt),
     .rules = TW_JSON_LENIENT | TW_JSON_OMIT, .fallback = 1},
};

/* Fields of the object "parts", which only a chunked record has. */
static const tw_json_field parts_fields[] = {
    {TW_JSON_NAME("set"), TW_JSON_TEXT_AT(tw_wire_record, chunk_set)},
    {TW_JSON_NAME("n"), TW_JSON_INTEGER_AT(tw_wire_record, chunk_count, 1, MAX_RECORD_CHUNKS)},
    {TW_JSON_NAME("l"), TW_JSON_INTEGER_AT(tw_wire_record, running_count, 0, TW_WIRE_MAX_TASKS),
     .rules = TW_JSON_LENIENT},
};

/* ---- reading records ---- */

/* Parses "INDEX:ATTEMPT:WORKER" up to a comma or the end of the text. Returns the end of the
 * assignment, or NULL if it is malformed. */
static const char *read_assignment(const char *text, int task_count,
                                   tw_wire_assignment *assignment) {
    char *end;
    errno = 0;
    long index = strtol(text, &end, 10);
    if (end == text || *end != ':' || index < 0 || index >= task_count) return NULL;
    text = end + 1;
    unsigned long long attempt = strtoull(text, &end, 10);
    if (end == text || *end != ':' || errno) return NULL;
    text = end + 1;
    size_t length = strcspn(text, ",");
    if (!length || length >= sizeof assignment->worker) return NULL;
    memcpy(assignment->worker, text, length);
    assignment->worker[length] = 0;
    assignment->index = (int)index;
    assignment->attempt = attempt;
    return text + length;
}

/* Parses the comma-separated list of the tasks that may be running. */
static tw_wire_error read_assignments(tw_wire_record *record, const char *text) {
    size_t max_count = 1;
    for (const char *c = text; *c; c++) max_count += *c == ',';
    record->assignments = tw_json_alloc(max_count * sizeof *record->assignments);
    while (*text) {
        text = read_assignment(text, record->task_count,
                               &record->assignments[record->assignment_count]);
        if (!text) return TW_WIRE_MALFORMED;
        record->assignment_count++;
        if (*text == ',') text++;
    }
    return TW_WIRE_OK;
}

/* Reads the job specification. The record of an ended job may contain only the number of tasks
 * instead. */
static tw_wire_error read_job(tw_wire_record *record, const char *id, const cJSON *object) {
    const cJSON *job = tw_json_get(object, "j");
    const char *reason;
    if (!job) return tw_json_read_fields(object, tasks_field, 1, record, NULL);
    if (tw_wire_job_read(&record->job, job, &reason)) return TW_WIRE_MALFORMED;
    if (strcmp(record->job.id, id) != 0) return TW_WIRE_MALFORMED;
    record->has_job = 1;
    record->task_count = record->job.task_count;
    return TW_WIRE_OK;
}

/* Reads a chunked record, without its chunks. */
static tw_wire_error read_chunked_record(tw_wire_record *record, const cJSON *object,
                                         const cJSON *parts) {
    if (tw_json_read_fields(object, tasks_field, 1, record, NULL)) return TW_WIRE_MALFORMED;
    if (tw_json_read_fields(object, progress_fields, 1, record, NULL)) return TW_WIRE_MALFORMED;
    return tw_json_read_fields(parts, parts_fields, TW_JSON_FIELD_COUNT(parts_fields), record,
                               NULL);
}

static tw_wire_error read_record(tw_wire_record *record, const char *id, const cJSON *object) {
    if (tw_json_read_fields(object, stage_field, 1, record, NULL)) return TW_WIRE_MALFORMED;
    const cJSON *parts = tw_json_get(object, "parts");
    if (parts) return read_chunked_record(record, object, parts);
    if (read_job(record, id, object)) return TW_WIRE_MALFORMED;
    if (record->state == TW_JOB_PENDING && !record->has_job) return TW_WIRE_MALFORMED;
    if (tw_json_read_fields(object, progress_fields, TW_JSON_FIELD_COUNT(progress_fields), record,
                            NULL))
        return TW_WIRE_MALFORMED;
    if (record->done_count > record->task_count) record->done_count = 0;
    const cJSON *done = tw_json_get(object, "f");
    const cJSON *assignments = tw_json_get(object, "l");
    if (cJSON_IsString(done)) record->done_ranges = strdup(done->valuestring);
    return cJSON_IsString(assignments) ? read_assignments(record, assignments->valuestring)
                                       : TW_WIRE_OK;
}

tw_wire_error tw_wire_record_parse(tw_wire_record *record, const char *id, const char *text,
                                   size_t len) {
    memset(record, 0, sizeof *record);
    record->job.machine_type_count = -1;
    cJSON *object = tw_json_parse(text, len);
    tw_wire_error result = object ? read_record(record, id, object) : TW_WIRE_MALFORMED;
    cJSON_Delete(object);
    if (result) tw_wire_record_free(record);
    return result;
}

/* ---- reading pages of records ---- */

static tw_wire_error read_listed_key(const cJSON *value, void *item, size_t size) {
    static const tw_json_field fields[] = {
        {TW_JSON_NAME("k"), TW_JSON_TEXT_AT(tw_wire_listed_record, key)},
        {TW_JSON_NAME("stamp"), TW_JSON_UINT64_AT(tw_wire_listed_record, mod_revision)},
    };
    (void)size;
    return tw_json_read_fields(value, fields, TW_JSON_FIELD_COUNT(fields), item, NULL);
}

static void read_listed_record(tw_wire_listed_record *listed, const char *prefix,
                               const cJSON *value) {
    const size_t length = strlen(prefix);
    const char *id = listed->key + length;
    const cJSON *data = cJSON_GetObjectItemCaseSensitive(value, "data");
    listed->record.job.machine_type_count = -1;
    listed->readable = !strncmp(listed->key, prefix, length) &&
                       tw_wire_is_valid_job_id(id, strlen(id)) && cJSON_IsObject(data) &&
                       !read_record(&listed->record, id, data);
    if (!listed->readable) tw_wire_record_free(&listed->record);
}

tw_wire_error tw_wire_records_parse(tw_wire_listed_record **records, int *n, int *more,
                                    const char *prefix, const char *text, size_t len) {
    static const tw_json_list list = {"entries", sizeof(tw_wire_listed_record), read_listed_key,
                                      NULL};
    void *items;
    cJSON *object = tw_json_parse(text, len);
    tw_wire_error result = tw_json_read_list(&list, object, &items, n);
    *records = items;
    *more = !result && cJSON_IsTrue(tw_json_get(object, "more"));
    const cJSON *value;
    int i = 0;
    if (!result) cJSON_ArrayForEach(value, tw_json_get(object, list.name)) {
            read_listed_record(&(*records)[i++], prefix, value);
        }
    cJSON_Delete(object);
    return result;
}

void tw_wire_records_free(tw_wire_listed_record *records, int n) {
    for (int i = 0; i < n; i++) tw_wire_record_free(&records[i].record);
    free(records);
}

tw_wire_job_state tw_wire_record_state(const char *text, size_t len) {
    tw_wire_record record;
    cJSON *object = tw_json_parse(text, len);
    int result = tw_json_read_fields(object, stage_field, 1, &record, NULL);
    cJSON_Delete(object);
    return result ? TW_JOB_UNKNOWN : record.state;
}

void tw_wire_record_free(tw_wire_record *record) {
    tw_wire_job_free(&record->job);
    free(record->done_ranges);
    free(record->assignments);
    record->done_ranges = NULL;
    record->assignments = NULL;
    record->assignment_count = 0;
}

/* ---- writing records ---- */

static void write_assignments(cJSON *object, const tw_wire_record *record) {
    if (!record->assignment_count) return;
    size_t size =
        (size_t)record->assignment_count * (TW_WIRE_NAME_SIZE + ASSIGNMENT_NUMBERS_SIZE) + 1;
    size_t length = 0;
    char *text = tw_json_alloc(size);
    for (int i = 0; i < record->assignment_count; i++) {
        const tw_wire_assignment *assignment = &record->assignments[i];
        length += (size_t)snprintf(text + length, size - length, "%s%d:%llu:%s", i ? "," : "",
                                   assignment->index, (unsigned long long)assignment->attempt,
                                   assignment->worker);
    }
    cJSON_AddStringToObject(object, "l", text);
    free(text);
}

char *tw_wire_record_text(const tw_wire_record *record) {
    cJSON *object = cJSON_CreateObject();
    tw_json_write_fields(object, stage_field, 1, record);
    if (record->has_job && record->job_text)
        cJSON_AddRawToObject(object, "j", record->job_text);
    else if (record->has_job)
        cJSON_AddItemToObject(object, "j", tw_wire_job_write(&record->job));
    else
        tw_json_write_fields(object, tasks_field, 1, record);
    tw_json_write_fields(object, progress_fields, TW_JSON_FIELD_COUNT(progress_fields), record);
    if (record->done_ranges && *record->done_ranges)
        cJSON_AddStringToObject(object, "f", record->done_ranges);
    write_assignments(object, record);
    return tw_json_print_and_delete(object);
}

char *tw_wire_chunked_record_text(const tw_wire_record *record) {
    cJSON *object = cJSON_CreateObject();
    tw_json_write_fields(object, stage_field, 1, record);
    tw_json_write_fields(object, tasks_field, 1, record);
    tw_json_write_fields(object, progress_fields, 1, record);
    cJSON *parts = cJSON_AddObjectToObject(object, "parts");
    tw_json_write_fields(parts, parts_fields, TW_JSON_FIELD_COUNT(parts_fields), record);
    return tw_json_print_and_delete(object);
}

/* ---- chunks ---- */

/* Returns the maximum number of bytes that a byte of a text takes in a JSON string. */
static size_t max_json_bytes(unsigned char byte) {
    if (byte == '"' || byte == '\\') return LETTER_ESCAPE_BYTES;
    if (byte < ' ') return UNICODE_ESCAPE_BYTES;
    return byte < FIRST_NON_ASCII ? 1 : NON_ASCII_ESCAPE_BYTES;
}

static bool is_continuation_byte(unsigned char byte) {
    return (byte & CONTINUATION_MASK) == CONTINUATION_BITS;
}

char *tw_wire_chunk_text(const char *text, size_t max_bytes, size_t *consumed) {
    size_t used = sizeof "\"\"" - 1;
    size_t end = 0;
    *consumed = 0;
    while (text[end] && used + max_json_bytes((unsigned char)text[end]) <= max_bytes) {
        used += max_json_bytes((unsigned char)text[end++]);
        if (!is_continuation_byte((unsigned char)text[end])) *consumed = end;
    }
    char *chunk = tw_json_alloc(*consumed + 1);
    memcpy(chunk, text, *consumed);
    cJSON *value = cJSON_CreateString(chunk);
    free(chunk);
    return tw_json_print_and_delete(value);
}

char *tw_wire_chunk_parse(const char *json) {
    cJSON *value = cJSON_Parse(json);
    char *text = cJSON_IsString(value) ? strdup(value->valuestring) : NULL;
    cJSON_Delete(value);
    return text;
}
