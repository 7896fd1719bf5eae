/* Table-driven reading and writing of JSON objects. Private to this package.
 *
 * A table lists the fields of a message in the order in which they are written: name, type, offset
 * of the value in the message's struct, range, and the handling of missing and invalid values.
 * Reading stops at the first invalid field; unknown fields are ignored. */
#ifndef TW_WIRE_JSON_H
#define TW_WIRE_JSON_H
#include "wire/wire.h"
#include <cjson/cJSON.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Numbers above this limit are invalid. Integers up to it are exact in a JSON number. */
#define TW_JSON_MAX_NUMBER 1e15

/* Types of fields, with the type of the struct member that holds the value. */
typedef enum {
    TW_JSON_TEXT,     /* char[]: a text of 1 to size - 1 bytes; an empty text is invalid */
    TW_JSON_NUMBER,   /* double, from min to max */
    TW_JSON_DURATION, /* double, seconds from min to max, written rounded down to milliseconds */
    TW_JSON_INTEGER,  /* int, an integer from min to max */
    TW_JSON_UINT64,   /* uint64_t, an integer from 0 to TW_JSON_MAX_NUMBER */
    TW_JSON_FLAG,     /* bool */
    TW_JSON_ENUM,     /* int or an enum: index of the text in the list words */
    TW_JSON_CUSTOM    /* any type: the field's functions read and write convert the value */
} tw_json_type;

/* Rules of a field, as bits. A field without rules is required and always written. */
enum {
    TW_JSON_OPTIONAL = 1, /* a missing or null value is replaced by the fallback ("" for a text) */
    TW_JSON_LENIENT = 2,  /* a missing, null or invalid value is replaced by the fallback */
    /* A number that does not exceed the fallback, or an empty text, is not written. */
    TW_JSON_OMIT = 4
};

/* Value of tw_json_field.unknown that makes words outside the list invalid. */
#define TW_JSON_REFUSED (-1)

/* A field of a message: a row of a table. */
typedef struct {
    const char *name;
    const char *error_text; /* "bad NAME", reported if the field is invalid */
    tw_json_type type;
    unsigned rules; /* TW_JSON_OPTIONAL, TW_JSON_LENIENT, TW_JSON_OMIT */
    size_t offset;  /* offset of the value in the message's struct */
    size_t size;    /* TW_JSON_TEXT: size of the buffer */
    double min;
    double max;
    double fallback;
    const char *const *words; /* TW_JSON_ENUM: texts of the enumerators, terminated by NULL */
    int unknown;              /* TW_JSON_ENUM: value of a text that is not in the list */
    bool (*is_valid)(const char *text, size_t length); /* TW_JSON_TEXT: extra check, or NULL */
    /* TW_JSON_CUSTOM: convert the value from and to JSON. value is NULL if the field is missing or
     * null; message is the whole struct. A field whose read (or write) is NULL is not read (or not
     * written). */
    tw_wire_error (*read)(const cJSON *value, void *message);
    void (*write)(cJSON *object, const void *message);
} tw_json_field;

/* Initializers of a table's row, as in {TW_JSON_NAME("dueS"), TW_JSON_NUMBER_AT(job, due_s)}. */
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

/* Parses a JSON object. Returns NULL if the text is not a JSON object followed by nothing but white
 * space. The caller deletes the object. */
cJSON *tw_json_parse(const char *text, size_t length);
/* Returns the value of a field, or NULL if it is missing or null, or if object is NULL. */
const cJSON *tw_json_get(const cJSON *object, const char *name);
/* Copies a JSON string of 1 to size - 1 bytes into `to`. Any other value is malformed and leaves
 * `to` unchanged. */
tw_wire_error tw_json_read_string(const cJSON *value, char *to, size_t size);
/* Returns the index of a text in a list terminated by NULL, or `unknown` if the list lacks it. */
int tw_json_find_word(const char *const *words, const char *text, int unknown);

/* Reads the value of one field into `to`; rules and fallback of the field are not applied. */
tw_wire_error tw_json_read_value(const tw_json_field *field, const cJSON *value, void *to);
/* Reads the fields of an object into the message's struct. On an error, sets *error_text (unless
 * error_text is NULL) to that of the first invalid field. */
tw_wire_error tw_json_read_fields(const cJSON *object, const tw_json_field *fields, size_t count,
                                  void *message, const char **error_text);
/* Adds the fields of the message to the object. */
void tw_json_write_fields(cJSON *object, const tw_json_field *fields, size_t count,
                          const void *message);

/* A field that holds an array of items of one type. */
typedef struct {
    const char *name; /* name of the field */
    size_t item_size;
    /* Reads one item into a zeroed buffer of size bytes. On an error, leaves nothing allocated. */
    tw_wire_error (*read)(const cJSON *value, void *item, size_t size);
    void (*release)(void *item); /* frees the memory that an item owns; NULL: it owns none */
} tw_json_list;

/* Reads an array of items, which the caller frees. A missing field, a value that is not an array
 * and an invalid item are errors; *items is then NULL. */
tw_wire_error tw_json_read_list(const tw_json_list *list, const cJSON *object, void **items,
                                int *count);
/* Parses a message and reads an array of items from it, as tw_json_read_list does. *more (unless
 * more is NULL): value of the message's field "more". */
tw_wire_error tw_json_parse_list(const tw_json_list *list, const char *text, size_t length,
                                 void **items, int *count, int *more);
/* Parses a message and reads an array of strings from it: an array of char[size], which the caller
 * frees. Each string has at most size - 1 bytes. */
tw_wire_error tw_json_parse_strings(const char *name, size_t size, const char *text, size_t length,
                                    void **texts, int *count);
/* Reads an array item that is a string of 0 to size - 1 bytes. */
tw_wire_error tw_json_read_string_item(const cJSON *value, void *item, size_t size);

/* Returns the object as JSON text, which the caller frees, and deletes the object. */
char *tw_json_print_and_delete(cJSON *object);
/* Allocates zeroed memory; aborts the program if the allocation fails. */
void *tw_json_alloc(size_t size);

#endif
