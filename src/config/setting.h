/* Settings read and described by tables. Not for other packages.
 *
 * A section is a table of settings that stand side by side in a file and fill one struct. From the
 * same rows come the checks, the messages about what is wrong, and the tables of the operators'
 * page. */
#ifndef TW_CONFIG_SETTING_H
#define TW_CONFIG_SETTING_H
#include <cjson/cJSON.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

typedef enum {
    TW_SETTING_NAME,    /* char[TW_NAME_SIZE]: 1 to TW_NAME_SIZE - 1 characters */
    TW_SETTING_ADDRESS, /* the same, an address with a port */
    TW_SETTING_LABEL,   /* char[]: any text, cut to fit; missing or no text: "" */
    TW_SETTING_NUMBER,  /* double, from min to max */
    TW_SETTING_INTEGER  /* int, from min to max; a fraction is cut */
} tw_setting_type;

typedef struct {
    const char *name;
    tw_setting_type type;
    bool required;
    size_t offset; /* in the section's struct */
    size_t size;   /* LABEL */
    double min;
    double max;
    double fallback; /* of a number that is not required */
    const char *meaning;
} tw_setting;

typedef struct {
    const char *prefix; /* "settings.workers." */
    const tw_setting *rows;
    size_t count;
} tw_section;

#define TW_SECTION(prefix_text, table)                                                             \
    { .prefix = (prefix_text), .rows = (table), .count = sizeof(table) / sizeof *(table) }

/* The first thing that was found wrong, as one line. */
typedef struct {
    char *text;
    size_t size;
    bool failed;
} tw_setting_error;

/* Notes a message, unless there is one already. */
void tw_setting_set_error(tw_setting_error *error, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Fills the struct from a table of the file. table: NULL stands for one without any setting. */
void tw_section_read(tw_setting_error *error, const tw_section *section, const cJSON *table,
                     void *to);
/* Gives the settings that are not required their fallbacks. */
void tw_section_set_defaults(const tw_section *section, void *to);
/* The row of this name; NULL: there is none. */
const tw_setting *tw_section_find(const tw_section *section, const char *name);
/* Writes a row of a Markdown table for each setting: key, default, range, meaning. */
void tw_section_describe(const tw_section *section, FILE *out);

/* Whether the number is in the setting's range. */
bool tw_setting_in_range(const tw_setting *setting, double number);

/* The table under a key; NULL: it is missing, or something else, which is a error. */
const cJSON *tw_setting_get_table(tw_setting_error *error, const cJSON *object, const char *prefix,
                                  const char *key);
/* The list under a key; NULL: it is missing or, which is a error, something else. */
const cJSON *tw_setting_get_list(tw_setting_error *error, const cJSON *object, const char *prefix,
                                 const char *key);
/* Whether a value is a text that fits a name. */
bool tw_setting_is_valid_name(const cJSON *value);

/* Zeroed memory, which the caller frees; ends the program if there is none. */
void *tw_setting_alloc(size_t count, size_t size);

#endif
