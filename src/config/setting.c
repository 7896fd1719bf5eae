#include "config/setting.h"
#include "config/config.h"
#include <math.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define MAX_PORT 65535
#define DECIMAL 10

void tw_setting_set_error(tw_setting_error *error, const char *format, ...) {
    if (error->failed) return;
    error->failed = true;
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(error->text, error->size, format, arguments);
    va_end(arguments);
}

/* ---- reading sections and values ---- */

bool tw_setting_is_valid_name(const cJSON *value) {
    return cJSON_IsString(value) && *value->valuestring &&
           strlen(value->valuestring) < TW_NAME_SIZE;
}

bool tw_setting_in_range(const tw_setting *setting, double number) {
    return isfinite(number) && number >= setting->min && number <= setting->max;
}

static bool is_address(const char *text) {
    const char *colon = strrchr(text, ':');
    if (!colon || colon == text) return false;
    const long port = strtol(colon + 1, NULL, DECIMAL);
    return port >= 1 && port <= MAX_PORT;
}

static void read_name(tw_setting_error *error, const char *prefix, const tw_setting *setting,
                      const cJSON *value, char *to) {
    if (!tw_setting_is_valid_name(value)) {
        tw_setting_set_error(error, "setting %s%s must be a string of 1 to %d characters", prefix,
                             setting->name, TW_NAME_SIZE - 1);
        return;
    }
    strcpy(to, value->valuestring);
    if (setting->type == TW_SETTING_ADDRESS && !is_address(to))
        tw_setting_set_error(error, "setting %s%s must be an address like 10.0.0.1:8080", prefix,
                             setting->name);
}

static void set_number(const tw_setting *setting, double number, void *to) {
    if (setting->type == TW_SETTING_INTEGER)
        *(int *)to = (int)number;
    else
        *(double *)to = number;
}

static void read_number(tw_setting_error *error, const char *prefix, const tw_setting *setting,
                        const cJSON *value, void *to) {
    if (!cJSON_IsNumber(value) || !tw_setting_in_range(setting, value->valuedouble)) {
        tw_setting_set_error(error, "setting %s%s must be a number from %g to %g", prefix,
                             setting->name, setting->min, setting->max);
        return;
    }
    set_number(setting, value->valuedouble, to);
}

static void set_default(const tw_setting *setting, void *to) {
    if (setting->type == TW_SETTING_NUMBER || setting->type == TW_SETTING_INTEGER)
        set_number(setting, setting->fallback, to);
    else
        *(char *)to = 0;
}

static void read_setting(tw_setting_error *error, const char *prefix, const tw_setting *setting,
                         const cJSON *table, char *to) {
    const cJSON *value = cJSON_GetObjectItemCaseSensitive(table, setting->name);
    to += setting->offset;
    if (!value && setting->required) {
        tw_setting_set_error(error, "setting %s%s is missing", prefix, setting->name);
        return;
    }
    if (!value) {
        set_default(setting, to);
        return;
    }
    switch (setting->type) {
    case TW_SETTING_NAME:
    case TW_SETTING_ADDRESS:
        read_name(error, prefix, setting, value, to);
        break;
    case TW_SETTING_LABEL:
        snprintf(to, setting->size, "%s", cJSON_IsString(value) ? value->valuestring : "");
        break;
    case TW_SETTING_NUMBER:
    case TW_SETTING_INTEGER:
        read_number(error, prefix, setting, value, to);
        break;
    }
}

void tw_section_read(tw_setting_error *error, const tw_section *section, const cJSON *table,
                     void *to) {
    for (size_t i = 0; i < section->count; i++)
        read_setting(error, section->prefix, &section->rows[i], table, to);
}

void tw_section_set_defaults(const tw_section *section, void *to) {
    for (size_t i = 0; i < section->count; i++)
        if (!section->rows[i].required)
            set_default(&section->rows[i], (char *)to + section->rows[i].offset);
}

const tw_setting *tw_section_find(const tw_section *section, const char *name) {
    for (size_t i = 0; i < section->count; i++)
        if (!strcmp(section->rows[i].name, name)) return &section->rows[i];
    return NULL;
}

const cJSON *tw_setting_get_table(tw_setting_error *error, const cJSON *object, const char *prefix,
                                  const char *key) {
    const cJSON *value = cJSON_GetObjectItemCaseSensitive(object, key);
    if (!value)
        tw_setting_set_error(error, "setting %s%s is missing", prefix, key);
    else if (!cJSON_IsObject(value))
        tw_setting_set_error(error, "setting %s%s must be a table", prefix, key);
    return cJSON_IsObject(value) ? value : NULL;
}

const cJSON *tw_setting_get_list(tw_setting_error *error, const cJSON *object, const char *prefix,
                                 const char *key) {
    const cJSON *value = cJSON_GetObjectItemCaseSensitive(object, key);
    if (value && !cJSON_IsArray(value))
        tw_setting_set_error(error, "setting %s%s must be a list", prefix, key);
    return cJSON_IsArray(value) ? value : NULL;
}

/* ---- describing sections ---- */

static void describe_default(const tw_setting *setting, FILE *out) {
    if (setting->required)
        fputs("needed", out);
    else if (setting->type == TW_SETTING_LABEL)
        fputs("none", out);
    else
        fprintf(out, "%g", setting->fallback);
}

static void describe_range(const tw_setting *setting, FILE *out) {
    switch (setting->type) {
    case TW_SETTING_NAME:
        fprintf(out, "1 to %d characters", TW_NAME_SIZE - 1);
        break;
    case TW_SETTING_ADDRESS:
        fputs("IP:port", out);
        break;
    case TW_SETTING_LABEL:
        fputs("text", out);
        break;
    case TW_SETTING_NUMBER:
    case TW_SETTING_INTEGER:
        fprintf(out, "%g to %g", setting->min, setting->max);
        break;
    }
}

void tw_section_describe(const tw_section *section, FILE *out) {
    for (size_t i = 0; i < section->count; i++) {
        const tw_setting *setting = &section->rows[i];
        fprintf(out, "| `%s%s` | ", section->prefix, setting->name);
        describe_default(setting, out);
        fputs(" | ", out);
        describe_range(setting, out);
        fprintf(out, " | %s |\n", setting->meaning);
    }
}

void *tw_setting_alloc(size_t count, size_t size) {
    void *memory = calloc(count ? count : 1, size);
    if (!memory) abort();
    return memory;
}
