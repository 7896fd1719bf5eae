/* Messages between users and nodes: job specifications and states of jobs. */
#include "wire/job.h"
#include "wire/json.h"
#include "wire/wire.h"
#include <stdlib.h>
#include <string.h>

#define ID_PREFIX "run-"
#define ID_PREFIX_LENGTH (sizeof ID_PREFIX - 1)
#define MAX_ID_LENGTH 20

bool tw_wire_is_valid_job_id(const char *id, size_t len) {
    if (len <= ID_PREFIX_LENGTH || len > MAX_ID_LENGTH) return 0;
    if (memcmp(id, ID_PREFIX, ID_PREFIX_LENGTH) != 0) return 0;
    for (size_t i = ID_PREFIX_LENGTH; i < len; i++)
        if (id[i] < '0' || id[i] > '9') return 0;
    return 1;
}

/* ---- jobs ---- */

static const char *const shape_words[] = {"batch", "service", "group", NULL};
enum { SHAPE_BATCH, SHAPE_SERVICE, SHAPE_GROUP };

static tw_wire_error read_shape(const cJSON *value, void *message) {
    tw_wire_job *job = message;
    char word[TW_WIRE_NAME_SIZE];
    if (tw_json_read_string(value, word, sizeof word)) return TW_WIRE_MALFORMED;
    int shape = tw_json_find_word(shape_words, word, TW_JSON_REFUSED);
    job->service = shape == SHAPE_SERVICE;
    job->gang = shape == SHAPE_GROUP;
    return shape == TW_JSON_REFUSED ? TW_WIRE_MALFORMED : TW_WIRE_OK;
}

static void write_shape(cJSON *object, const void *message) {
    const tw_wire_job *job = message;
    int shape = job->service ? SHAPE_SERVICE : job->gang ? SHAPE_GROUP : SHAPE_BATCH;
    cJSON_AddItemToObjectCS(object, "shape", cJSON_CreateString(shape_words[shape]));
}

static const char *const priority_words[] = {"idle", "normal", "high", "prod", NULL};

/* The two tables list the fields that are written before and after the list of machine types
 * (`racks`). That list is read after the fields of both tables: the order of reading determines
 * which field the error names if several are invalid, and must not change. */
static const tw_json_field fields_before_types[] = {
    {TW_JSON_NAME("id"), TW_JSON_TEXT_AT(tw_wire_job, id), .is_valid = tw_wire_is_valid_job_id},
    {TW_JSON_NAME("lane"), TW_JSON_TEXT_AT(tw_wire_job, job_class)},
    {TW_JSON_NAME("crew"), TW_JSON_TEXT_AT(tw_wire_job, team)},
    {TW_JSON_NAME("shape"), .type = TW_JSON_CUSTOM, .read = read_shape, .write = write_shape},
    {TW_JSON_NAME("rank"), TW_JSON_ENUM_AT(tw_wire_job, priority, priority_words),
     .unknown = TW_JSON_REFUSED},
    {TW_JSON_NAME("pieces"), TW_JSON_INTEGER_AT(tw_wire_job, task_count, 1, TW_WIRE_MAX_TASKS)},
    {TW_JSON_NAME("cores"), TW_JSON_NUMBER_AT(tw_wire_job, cores)},
    {TW_JSON_NAME("gpus"), TW_JSON_NUMBER_AT(tw_wire_job, gpus)},
    {TW_JSON_NAME("memoryGb"), TW_JSON_NUMBER_AT(tw_wire_job, memory_gb)},
    {TW_JSON_NAME("bundle"), TW_JSON_TEXT_AT(tw_wire_job, image)},
    {TW_JSON_NAME("imageGb"), TW_JSON_NUMBER_AT(tw_wire_job, image_gb)},
};

static const tw_json_field fields_after_types[] = {
    {TW_JSON_NAME("yard"), TW_JSON_TEXT_AT(tw_wire_job, zone),
     .rules = TW_JSON_OPTIONAL | TW_JSON_OMIT},
    {TW_JSON_NAME("samePlace"), TW_JSON_FLAG_AT(tw_wire_job, single_zone)},
    {TW_JSON_NAME("apart"), TW_JSON_FLAG_AT(tw_wire_job, spread)},
    {TW_JSON_NAME("loaner"), TW_JSON_FLAG_AT(tw_wire_job, spot)},
    {TW_JSON_NAME("expectS"), TW_JSON_NUMBER_AT(tw_wire_job, expected_run_s)},
    {TW_JSON_NAME("snapshotS"), TW_JSON_NUMBER_AT(tw_wire_job, checkpoint_s)},
    {TW_JSON_NAME("flushS"), TW_JSON_NUMBER_AT(tw_wire_job, save_s)},
    {TW_JSON_NAME("dueS"), TW_JSON_NUMBER_AT(tw_wire_job, deadline_s),
     .rules = TW_JSON_OPTIONAL | TW_JSON_OMIT, .fallback = -1},
};

static tw_wire_error read_machine_type_name(const cJSON *value, void *item, size_t size) {
    return tw_json_read_string(value, item, size);
}

/* Reads the allowed machine types; any type is allowed if the field is missing or null. */
static tw_wire_error read_allowed_types(tw_wire_job *job, const cJSON *object) {
    static const tw_json_list list = {"racks", TW_WIRE_NAME_SIZE, read_machine_type_name, NULL};
    const cJSON *value = tw_json_get(object, list.name);
    job->machine_type_count = -1;
    if (!value) return TW_WIRE_OK;
    if (cJSON_GetArraySize(value) > TW_WIRE_MAX_MACHINE_TYPES) return TW_WIRE_MALFORMED;
    void *items;
    int count;
    if (tw_json_read_list(&list, object, &items, &count)) return TW_WIRE_MALFORMED;
    job->machine_types = items;
    job->machine_type_count = count;
    return TW_WIRE_OK;
}

static void write_allowed_types(cJSON *object, const tw_wire_job *job) {
    if (job->machine_type_count < 0) return;
    cJSON *array = cJSON_AddArrayToObject(object, "racks");
    for (int i = 0; i < job->machine_type_count; i++)
        cJSON_AddItemToArray(array, cJSON_CreateString(job->machine_types[i]));
}

tw_wire_error tw_wire_job_read(tw_wire_job *job, const cJSON *object, const char **reason) {
    if (tw_json_read_fields(object, fields_before_types, TW_JSON_FIELD_COUNT(fields_before_types),
                            job, reason))
        return TW_WIRE_MALFORMED;
    if (tw_json_read_fields(object, fields_after_types, TW_JSON_FIELD_COUNT(fields_after_types),
                            job, reason))
        return TW_WIRE_MALFORMED;
    if (!read_allowed_types(job, object)) return TW_WIRE_OK;
    *reason = "bad racks";
    return TW_WIRE_MALFORMED;
}

cJSON *tw_wire_job_write(const tw_wire_job *job) {
    cJSON *object = cJSON_CreateObject();
    tw_json_write_fields(object, fields_before_types, TW_JSON_FIELD_COUNT(fields_before_types),
                         job);
    write_allowed_types(object, job);
    tw_json_write_fields(object, fields_after_types, TW_JSON_FIELD_COUNT(fields_after_types), job);
    return object;
}

tw_wire_error tw_wire_job_parse(tw_wire_job *job, const char *text, size_t len,
                                const char **reason) {
    memset(job, 0, sizeof *job);
    cJSON *object = tw_json_parse(text, len);
    if (!object) {
        *reason = "not a JSON object";
        return TW_WIRE_MALFORMED;
    }
    tw_wire_error result = tw_wire_job_read(job, object, reason);
    cJSON_Delete(object);
    if (result) tw_wire_job_free(job);
    return result;
}

char *tw_wire_job_text(const tw_wire_job *job) {
    return tw_json_print_and_delete(tw_wire_job_write(job));
}

void tw_wire_job_free(tw_wire_job *job) {
    free(job->machine_types);
    job->machine_types = NULL;
    job->machine_type_count = -1;
}

/* ---- states of jobs ---- */

char *tw_wire_job_status_text(const char *id, tw_wire_job_state state, long done, long running) {
    static const char *const words[] = {"pending", "running", "done", "aborted"};
    cJSON *object = cJSON_CreateObject();
    cJSON_AddItemToObjectCS(object, "id", cJSON_CreateString(id));
    cJSON_AddItemToObjectCS(object, "stage", cJSON_CreateString(words[state]));
    if (done >= 0) cJSON_AddItemToObjectCS(object, "done", cJSON_CreateNumber((double)done));
    if (running >= 0)
        cJSON_AddItemToObjectCS(object, "running", cJSON_CreateNumber((double)running));
    return tw_json_print_and_delete(object);
}
