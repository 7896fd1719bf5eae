#include "wire/json.h"
#include <inttypes.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Size limit of a TW_JSON_ENUM text, including the terminating null. */
#define MAX_WORD_SIZE 64
#define MAX_DURATION_S 1e9
#define DURATION_TEXT_SIZE 32

static bool is_space(char character) {
    return character == ' ' || character == '\t' || character == '\n' || character == '\r';
}

cJSON *tw_json_parse(const char *text, size_t length) {
    const char *end = NULL;
    cJSON *object = cJSON_ParseWithLengthOpts(text, length, &end, 0);
    if (!object) return NULL;
    while (end < text + length && is_space(*end)) end++;
    if (end == text + length && cJSON_IsObject(object)) return object;
    cJSON_Delete(object);
    return NULL;
}

const cJSON *tw_json_get(const cJSON *object, const char *name) {
    const cJSON *value = cJSON_GetObjectItemCaseSensitive(object, name);
    return value && cJSON_IsNull(value) ? NULL : value;
}

tw_wire_error tw_json_read_string(const cJSON *value, char *to, size_t size) {
    if (!cJSON_IsString(value) || !*value->valuestring) return TW_WIRE_MALFORMED;
    size_t length = strlen(value->valuestring);
    if (length >= size) return TW_WIRE_MALFORMED;
    memcpy(to, value->valuestring, length + 1);
    return TW_WIRE_OK;
}

int tw_json_find_word(const char *const *words, const char *text, int unknown) {
    for (int i = 0; words[i]; i++)
        if (!strcmp(words[i], text)) return i;
    return unknown;
}

/* ---- reading the fields of a table ---- */

static tw_wire_error read_text(const tw_json_field *field, const cJSON *value, char *to) {
    if (tw_json_read_string(value, to, field->size)) return TW_WIRE_MALFORMED;
    return field->is_valid && !field->is_valid(to, strlen(to)) ? TW_WIRE_MALFORMED : TW_WIRE_OK;
}

static tw_wire_error read_number(const tw_json_field *field, const cJSON *value, double *to) {
    if (!cJSON_IsNumber(value) || !isfinite(value->valuedouble)) return TW_WIRE_MALFORMED;
    if (value->valuedouble < field->min || value->valuedouble > field->max)
        return TW_WIRE_MALFORMED;
    *to = value->valuedouble;
    return TW_WIRE_OK;
}

static tw_wire_error read_integer(const tw_json_field *field, const cJSON *value, double *to) {
    return read_number(field, value, to) || *to != floor(*to) ? TW_WIRE_MALFORMED : TW_WIRE_OK;
}

static tw_wire_error read_word(const tw_json_field *field, const cJSON *value, int *to) {
    if (!cJSON_IsString(value) || !*value->valuestring) return TW_WIRE_MALFORMED;
    if (strlen(value->valuestring) >= MAX_WORD_SIZE) return TW_WIRE_MALFORMED;
    *to = tw_json_find_word(field->words, value->valuestring, field->unknown);
    return *to == TW_JSON_REFUSED ? TW_WIRE_MALFORMED : TW_WIRE_OK;
}

tw_wire_error tw_json_read_value(const tw_json_field *field, const cJSON *value, void *to) {
    double number;
    switch (field->type) {
    case TW_JSON_TEXT:
        return read_text(field, value, to);
    case TW_JSON_NUMBER:
    case TW_JSON_DURATION:
        return read_number(field, value, to);
    case TW_JSON_INTEGER:
        if (read_integer(field, value, &number)) return TW_WIRE_MALFORMED;
        *(int *)to = (int)number;
        return TW_WIRE_OK;
    case TW_JSON_UINT64:
        if (read_integer(field, value, &number)) return TW_WIRE_MALFORMED;
        *(uint64_t *)to = (uint64_t)number;
        return TW_WIRE_OK;
    case TW_JSON_FLAG:
        if (!cJSON_IsBool(value)) return TW_WIRE_MALFORMED;
        *(bool *)to = cJSON_IsTrue(value);
        return TW_WIRE_OK;
    case TW_JSON_ENUM:
        return read_word(field, value, to);
    case TW_JSON_CUSTOM:
        break;
    }
    return TW_WIRE_MALFORMED;
}

static void set_fallback(const tw_json_field *field, void *to) {
    switch (field->type) {
    case TW_JSON_TEXT:
        *(char *)to = 0;
        break;
    case TW_JSON_NUMBER:
    case TW_JSON_DURATION:
        *(double *)to = field->fallback;
        break;
    case TW_JSON_UINT64:
        *(uint64_t *)to = (uint64_t)field->fallback;
        break;
    case TW_JSON_FLAG:
        *(bool *)to = field->fallback != 0;
        break;
    case TW_JSON_INTEGER:
    case TW_JSON_ENUM:
        *(int *)to = (int)field->fallback;
        break;
    case TW_JSON_CUSTOM:
        break;
    }
}

static tw_wire_error read_field(const tw_json_field *field, const cJSON *object, char *message) {
    const cJSON *value = tw_json_get(object, field->name);
    if (field->type == TW_JSON_CUSTOM)
        return field->read ? field->read(value, message) : TW_WIRE_OK;
    void *to = message + field->offset;
    if (value && !tw_json_read_value(field, value, to)) return TW_WIRE_OK;
    if (!(field->rules & TW_JSON_LENIENT) && (value || !(field->rules & TW_JSON_OPTIONAL)))
        return TW_WIRE_MALFORMED;
    set_fallback(field, to);
    return TW_WIRE_OK;
}

tw_wire_error tw_json_read_fields(const cJSON *object, const tw_json_field *fields, size_t count,
                                  void *message, const char **error_text) {
    for (size_t i = 0; i < count; i++) {
        if (!read_field(&fields[i], object, message)) continue;
        if (error_text) *error_text = fields[i].error_text;
        return TW_WIRE_MALFORMED;
    }
    return TW_WIRE_OK;
}

/* ---- writing the fields of a table ---- */

static void write_number(cJSON *object, const tw_json_field *field, double value) {
    if ((field->rules & TW_JSON_OMIT) && value <= field->fallback) return;
    cJSON_AddItemToObjectCS(object, field->name, cJSON_CreateNumber(value));
}

/* Writes a duration rounded down to whole milliseconds. It is rounded down so that the receiver
 * never reads a longer time than has passed, and to milliseconds because printing and parsing all
 * digits of a double costs more than the rest of a message. */
static void write_duration(cJSON *object, const tw_json_field *field, double seconds) {
    char text[DURATION_TEXT_SIZE];
    const uint64_t milliseconds = (uint64_t)(fmin(fmax(seconds, 0), MAX_DURATION_S) * 1000);
    snprintf(text, sizeof text, "%" PRIu64 ".%03u", milliseconds / 1000,
             (unsigned)(milliseconds % 1000));
    cJSON_AddItemToObjectCS(object, field->name, cJSON_CreateRaw(text));
}

static void write_text(cJSON *object, const tw_json_field *field, const char *value) {
    if ((field->rules & TW_JSON_OMIT) && !*value) return;
    cJSON_AddItemToObjectCS(object, field->name, cJSON_CreateString(value));
}

static void write_field(cJSON *object, const tw_json_field *field, const char *message) {
    const void *from = message + field->offset;
    switch (field->type) {
    case TW_JSON_TEXT:
        write_text(object, field, from);
        break;
    case TW_JSON_NUMBER:
        write_number(object, field, *(const double *)from);
        break;
    case TW_JSON_DURATION:
        write_duration(object, field, *(const double *)from);
        break;
    case TW_JSON_INTEGER:
        write_number(object, field, *(const int *)from);
        break;
    case TW_JSON_UINT64:
        write_number(object, field, (double)*(const uint64_t *)from);
        break;
    case TW_JSON_FLAG:
        cJSON_AddItemToObjectCS(object, field->name, cJSON_CreateBool(*(const bool *)from));
        break;
    case TW_JSON_ENUM:
        write_text(object, field, field->words[*(const int *)from]);
        break;
    case TW_JSON_CUSTOM:
        if (field->write) field->write(object, message);
        break;
    }
}

void tw_json_write_fields(cJSON *object, const tw_json_field *fields, size_t count,
                          const void *message) {
    for (size_t i = 0; i < count; i++) write_field(object, &fields[i], message);
}

/* ---- arrays ---- */

/* Reads the array's items into a buffer that is large enough for all of them. Increments *count for
 * each item that was read; stops at the first invalid item. */
static tw_wire_error read_items(const tw_json_list *list, const cJSON *array, char *items,
                                int *count) {
    const cJSON *value;
    cJSON_ArrayForEach(value, array) {
        if (list->read(value, items + list->item_size * (size_t)*count, list->item_size))
            return TW_WIRE_MALFORMED;
        ++*count;
    }
    return TW_WIRE_OK;
}

tw_wire_error tw_json_read_list(const tw_json_list *list, const cJSON *object, void **items,
                                int *count) {
    const cJSON *array = tw_json_get(object, list->name);
    *count = 0;
    *items = NULL;
    if (!cJSON_IsArray(array)) return TW_WIRE_MALFORMED;
    char *array_items = tw_json_alloc((size_t)cJSON_GetArraySize(array) * list->item_size);
    if (!read_items(list, array, array_items, count)) {
        *items = array_items;
        return TW_WIRE_OK;
    }
    if (list->release)
        for (int i = 0; i < *count; i++) list->release(array_items + list->item_size * (size_t)i);
    free(array_items);
    *count = 0;
    return TW_WIRE_MALFORMED;
}

tw_wire_error tw_json_parse_list(const tw_json_list *list, const char *text, size_t length,
                                 void **items, int *count, int *more) {
    cJSON *object = tw_json_parse(text, length);
    tw_wire_error result = tw_json_read_list(list, object, items, count);
    if (more) *more = !result && cJSON_IsTrue(tw_json_get(object, "more"));
    cJSON_Delete(object);
    return result;
}

tw_wire_error tw_json_read_string_item(const cJSON *value, void *item, size_t size) {
    if (!cJSON_IsString(value)) return TW_WIRE_MALFORMED;
    size_t length = strlen(value->valuestring);
    if (length >= size) return TW_WIRE_MALFORMED;
    memcpy(item, value->valuestring, length + 1);
    return TW_WIRE_OK;
}

tw_wire_error tw_json_parse_strings(const char *name, size_t size, const char *text, size_t length,
                                    void **texts, int *count) {
    const tw_json_list list = {name, size, tw_json_read_string_item, NULL};
    return tw_json_parse_list(&list, text, length, texts, count, NULL);
}

/* ---- printing and memory allocation ---- */

char *tw_json_print_and_delete(cJSON *object) {
    char *text = cJSON_PrintUnformatted(object);
    cJSON_Delete(object);
    if (!text) abort();
    return text;
}

void *tw_json_alloc(size_t size) {
    void *memory = calloc(1, size ? size : 1);
    if (!memory) abort();
    return memory;
}
