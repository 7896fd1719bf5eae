/* Table-driven reading, checking and description of settings. Private to this package.
 *
 * A section is a table of the settings that belong to one table of the settings file and fill one
 * struct. The checks, the error messages and the tables of the operators' documentation are all
 * derived from the same rows. */
#ifndef TW_CONFIG_SETTING_H
#define TW_CONFIG_SETTING_H
#include <cjson/cJSON.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

/* Types of settings, with the type of the struct member that holds the value. */
typedef enum {
    TW_SETTING_NAME,    /* char[TW_NAME_SIZE]: 1 to TW_NAME_SIZE - 1 bytes */
    TW_SETTING_ADDRESS, /* char[TW_NAME_SIZE]: an address with a port, such as 10.0.0.1:8080 */
    TW_SETTING_LABEL,   /* char[]: any text, truncated to fit; "" if missing or not a text */
    TW_SETTING_NUMBER,  /* double, from min to max */
    TW_SETTING_INTEGER  /* int, from min to max; a fraction is truncated */
} tw_setting_type;

/* A setting: a row of a section. */
typedef struct {
    const char *name;
    tw_setting_type type;
    bool required;
    size_t offset; /* offset of the value in the section's struct */
    size_t size;   /* TW_SETTING_LABEL: size of the buffer */
    double min;
    double max;
    double fallback;     /* default of a number that is not required */
    const char *meaning; /* description for the operators' documentation */
} tw_setting;

/* The settings of one table of the settings file. */
typedef struct {
    const char *prefix; /* path of the table, such as "settings.workers." */
    const tw_setting *rows;
    size_t count;
} tw_section;

#define TW_SECTION(prefix_text, table)                                                             \
    { .prefix = (prefix_text), .rows = (table), .count = sizeof(table) / sizeof *(table) }

/* The first error found in the settings: a message of one line, in a buffer of the caller. */
typedef struct {
    char *text;
    size_t size;
    bool failed;
} tw_setting_error;

/* Sets the error message, unless an error was set before. */
void tw_setting_set_error(tw_setting_error *error, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Reads a section's settings from a table of the settings file into the struct `to`. A table that
 * is NULL is treated as empty. */
void tw_section_read(tw_setting_error *error, const tw_section *section, const cJSON *table,
                     void *to);
/* Sets the settings that are not required to their defaults. */
void tw_section_set_defaults(const tw_section *section, void *to);
/* Returns the setting of this name, or NULL if the section has none. */
const tw_setting *tw_section_find(const tw_section *section, const char *name);
/* Writes a Markdown table row for each setting: key, default, range, meaning. */
void tw_section_describe(const tw_section *section, FILE *out);

/* Returns whether the number is finite and in the setting's range. */
bool tw_setting_in_range(const tw_setting *setting, double number);

/* Returns the table under a key. Returns NULL and sets the error if the key is missing or its value
 * is not a table. */
const cJSON *tw_setting_get_table(tw_setting_error *error, const cJSON *object, const char *prefix,
                                  const char *key);
/* Returns the list under a key, or NULL if the key is missing. If its value is not a list, returns
 * NULL and sets the error. */
const cJSON *tw_setting_get_list(tw_setting_error *error, const cJSON *object, const char *prefix,
                                 const char *key);
/* Returns whether a value is a text of 1 to TW_NAME_SIZE - 1 bytes. */
bool tw_setting_is_valid_name(const cJSON *value);

/* Allocates zeroed memory, which the caller frees; aborts the program if the allocation fails. */
void *tw_setting_alloc(size_t count, size_t size);

#endif
