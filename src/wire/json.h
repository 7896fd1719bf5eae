/* JSON objects, read and written by tables of fields. Not for other packages.
 *
 * A table lists the fields of a message in the order in which they are written: name, type, where
 * the value stands in the message's struct, range, and what to do where it is missing or wrong.
 * Reading stops at the first field that is refused; unknown fields are ignored. */
#ifndef TW_WIRE_JSON_H
#define TW_WIRE_JSON_H
#include "wire/wire.h"
#include <cjson/cJSON.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Numbers above this are refused: integers up to it are exact in a JSON number. */
#define TW_JSON_MAX_NUMBER 1e15

typedef enum {
    TW_JSON_TEXT,     /* char[]: 1 to size - 1 characters; an empty one counts as missing */
    TW_JSON_NUMBER,   /* double, from min to max */
    TW_JSON_DURATION, /* the same, a time in seconds, written rounded down to milliseconds */
    TW_JSON_INTEGER,  /* int, from min to max */
    TW_JSON_UINT64,   /* uint64_t, up to TW_JSON_MAX_NUMBER */
    TW_JSON_FLAG,     /* bool */
    TW_JSON_ENUM,     /* int or an enum, the index of a text among words */
    TW_JSON_CUSTOM    /* what read and write make of it */
} tw_json_type;

/* Rules of a field; none: it is required and always written. */
enum {
    TW_JSON_OPTIONAL = 1, /* missing or null: takes its fallback ("" for a text) */
    TW_JSON_LENIENT = 2,  /* missing, null or wrong: takes its fallback */
    TW_JSON_OMIT = 4      /* not written unless above its fallback (a text: not empty) */
};

/* TW_JSON_ENUM: words that are not in the list are refused. */
#define TW_JSON_REFUSED (-1)

typedef struct {
    const char *name;
    const char *error_text; /* "bad NAME" */
    tw_json_type type;
    unsigned rules;
    size_t offset; /* in the struct */
    size_t size;   /* TEXT */
    double min;
    double max;
    double fallback;
    const char *const *words; /* WORD: ends with NULL */
    int unknown;              /* WORD: value of a word that is not in the list */
    bool (*is_valid)(const char *text, size_t length); /* TEXT: a further check, or NULL */
    /* CUSTOM. value: NULL where missing or null; message: the struct. read: 0, or -1 refused.
     * Either may be NULL: nothing to read, nothing to write. */
    tw_wire_error (*read)(const cJSON *value, void *message);
    void (*write)(cJSON *object, const void *message);
} tw_json_field;

/* Beginnings of a table's row: {TW_JSON_NAME("dueS"), TW_JSON_NUMBER_AT(job, due_s)}. */
#define TW_JSON_NAME(json_name) .name = (json_name), .error_text = "bad " json_name
#define TW_JSON_TEXT_AT(struct_name, member)                                                       \
    .type = TW_JSON_TEXT, .offset = offsetof(struct_name, member),                                 \
    .size = sizeof(((struct_name *)NULL)->member)
#define TW_JSON_NUMBER_AT(struct_name, member)                                                     \
    .type = TW_JSON_NUMBER, .offset = offsetof(struct_name, member), .max = TW_JSON_MAX_NUMBER
#define TW_JSON_DURATION_AT(struct_name, member)                                                   \
    .type = TW_JSON_DURATION, .offset = offsetof(struct_name, member), .max = TW_JSON_MAX_NUMBER
#define TW_JSON_INTEGER_AT(struct_name, member, min_value, max_value)                              \
    .type = TW_JSON_INTEGER, .offset = offsetof(struct_name, member), .min = (min_value),          \
    .max = (max_value)
#define TW_JSON_UINT64_AT(struct_name, member)                                                     \
    .type = TW_JSON_UINT64, .offset = offsetof(struct_name, member), .max = TW_JSON_MAX_NUMBER
#define TW_JSON_FLAG_AT(struct_name, member)                                                       \
    .type = TW_JSON_FLAG, .offset = offsetof(struct_name, member)
#define TW_JSON_ENUM_AT(struct_name, member, list)                                                 \
    .type = TW_JSON_ENUM, .offset = offsetof(struct_name, member), .words = (list)
#define TW_JSON_FIELD_COUNT(table) (sizeof(table) / sizeof *(table))

/* The object that the text holds, with nothing but white space after it; else NULL. */
cJSON *tw_json_parse(const char *text, size_t length);
/* A field's value; NULL where it is missing or null. object may be NULL. */
const cJSON *tw_json_get(const cJSON *object, const char *name);
/* A text of 1 to size - 1 characters. 0, or -1: something else, and `to` is left as it was. */
tw_wire_error tw_json_read_string(const cJSON *value, char *to, size_t size);
/* The index of a text in a list that ends with NULL, or unknown. */
int tw_json_find_word(const char *const *words, const char *text, int unknown);

/* One field's value, into `to`. 0, or -1: it is not what the field takes. */
tw_wire_error tw_json_read_value(const tw_json_field *field, const cJSON *value, void *to);
/* 0; or -1, and the error_text of the field in *error_text unless that is NULL. */
tw_wire_error tw_json_read_fields(const cJSON *object, const tw_json_field *fields, size_t count,
                                  void *message, const char **error_text);
void tw_json_write_fields(cJSON *object, const tw_json_field *fields, size_t count,
                          const void *message);

/* An array of items of one kind. */
typedef struct {
    const char *name; /* of the field that holds it */
    size_t item_size;
    /* Reads one item into zeroed room of size bytes. 0, or -1 and nothing allocated in it. */
    tw_wire_error (*read)(const cJSON *value, void *item, size_t size);
    void (*release)(void *item); /* frees what an item holds, or NULL */
} tw_json_list;

/* 0 and the items (free them), or -1 and none: no such array, or an item is refused. */
tw_wire_error tw_json_read_list(const tw_json_list *list, const cJSON *object, void **items,
                                int *count);
/* The same from a message's text; *more, unless NULL: its flag "more". */
tw_wire_error tw_json_parse_list(const tw_json_list *list, const char *text, size_t length,
                                 void **items, int *count, int *more);
/* The texts of a message's array: each of up to size - 1 characters, in room of size bytes. */
tw_wire_error tw_json_parse_strings(const char *name, size_t size, const char *text, size_t length,
                                    void **texts, int *count);
/* A list's item that is a text, also an empty one, of up to size - 1 characters. */
tw_wire_error tw_json_read_string_item(const cJSON *value, void *item, size_t size);

/* The object as text; frees the object. Free the result. */
char *tw_json_print_and_delete(cJSON *object);
/* Zeroed room; ends the program where there is none. */
void *tw_json_alloc(size_t size);

#endif
