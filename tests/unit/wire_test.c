/* Prints the results of formatting and parsing messages, for comparison with wire_golden.txt. Each
 * kind of message is formatted; and it is parsed unchanged, malformed, and with each field removed
 * or replaced by values that the protocol allows, almost allows or forbids. */
#include "outcome.h"
#include "wire_test.h"
#include "wire/wire.h"
#include <cjson/cJSON.h>
#include <stdlib.h>
#include <string.h>

#define LABEL_SIZE 300
#define X20 "xxxxxxxxxxxxxxxxxxxx"
#define X60 X20 X20 X20

/* Replacements of a field, as JSON text. NULL removes the field. */
static const char *const replacements[] = {
    NULL,
    "null",
    "true",
    "false",
    "\"\"",
    "\"x\"",
    "\"done\"",
    "\"run-\"",
    "\"run-1/9\"",
    "\"a/1/100000\"",
    "\"" X60 "xxx\"",
    "\"" X60 "xxxx\"",
    "\"" X60 X60 X60 X60 X20 "\"",
    "-1",
    "0",
    "1",
    "0.5",
    "2",
    "3",
    "100000",
    "100001",
    "1e15",
    "2e15",
    "9007199254740993",
    "1e400",
    "[]",
    "[1]",
    "[\"x\",\"\"]",
    "[{}]",
    "[null]",
    /* enumerated values of some fields, then task names and lists of running tasks */
    "\"prod\"",
    "\"service\"",
    "\"group\"",
    "\"booting\"",
    "\"no_such\"",
    "\"waiting\"",
    "\"exited\"",
    "\"run-1/007\"",
    "\"run-1/\"",
    "\"run-1/-2\"",
    "\"run-1/99999\"",
    "\"0:1:a\"",
    "\"0:1:a,15:18446744073709551615:b,\"",
    "\"16:1:a\"",
    "\"-1:1:a\"",
    "\"0:1\"",
    "\"0:1:\"",
    "\"0:1:a,,1:2:b\"",
    "\"0:1:" X60 "x,1:2:b\"",
    "\"0:1:" X60 "xxxx,1:2:b\"",
    "\"0:x:a\"",
    "{}",
};
static const size_t replacement_count = sizeof replacements / sizeof *replacements;

/* Texts that a parser must refuse or read as an empty message. */
static const char *const malformed[] = {
    "", "{", "[]", "null", "{} x", " {} \r\n\t ", "{}\x0b", "{\"a\"", "{\"a\":}", "\"{}\"", "{}{}"};
static const size_t malformed_count = sizeof malformed / sizeof *malformed;

/* Returns the line that the parser of the kind writes for text. Free it. */
static char *parse_to_line(const tw_test_message_kind *kind, const char *text) {
    char *line = NULL;
    size_t size = 0;
    FILE *out = open_memstream(&line, &size);
    if (!out) abort();
    kind->parse(out, text, strlen(text));
    if (fclose(out)) abort();
    return line;
}

static void show_outcome(const tw_test_message_kind *kind, const char *label, const char *text) {
    char *baseline = parse_to_line(kind, kind->text);
    char prefix[LABEL_SIZE];
    snprintf(prefix, sizeof prefix, "%s ", kind->name);
    tw_test_outcome_add(prefix, label, parse_to_line(kind, text), baseline);
    free(baseline);
}

static void finish_outcomes(const tw_test_message_kind *kind) {
    char *baseline = parse_to_line(kind, kind->text);
    tw_test_outcome_finish(baseline);
    free(baseline);
}

static void show_json_outcome(const tw_test_message_kind *kind, const char *label,
                              const cJSON *root) {
    char *text = cJSON_PrintUnformatted(root);
    if (!text) abort();
    show_outcome(kind, label, text);
    free(text);
}

/* Replaces the value of a field of object, or removes the field if replacement is NULL. */
static void replace_field(cJSON *object, const char *field, const char *replacement) {
    if (replacement)
        cJSON_ReplaceItemInObjectCaseSensitive(object, field, cJSON_Parse(replacement));
    else
        cJSON_DeleteItemFromObjectCaseSensitive(object, field);
}

/* Parses the message root with each replacement of one field of object. object is root or an object
 * inside it. */
static void vary_field(const tw_test_message_kind *kind, const cJSON *root, cJSON *object,
                       const char *field) {
    printf("field %s\n", field);
    cJSON *original = cJSON_Duplicate(cJSON_GetObjectItemCaseSensitive(object, field), 1);
    char label[LABEL_SIZE];
    for (size_t i = 0; i < replacement_count; i++) {
        cJSON_ReplaceItemInObjectCaseSensitive(object, field, cJSON_Duplicate(original, 1));
        replace_field(object, field, replacements[i]);
        snprintf(label, sizeof label, "%.40s", replacements[i] ? replacements[i] : "(out)");
        show_json_outcome(kind, label, root);
        if (!replacements[i]) cJSON_AddItemToObject(object, field, cJSON_Duplicate(original, 1));
    }
    finish_outcomes(kind);
    cJSON_ReplaceItemInObjectCaseSensitive(object, field, original);
}

/* Varies each field of object and of the objects inside it. object is root or an object inside it.
 */
static void vary_fields(const tw_test_message_kind *kind, const char *prefix, const cJSON *root,
                        cJSON *object) {
    char names[32][TW_WIRE_NAME_SIZE];
    int count = 0;
    for (const cJSON *item = object->child; item; item = item->next)
        snprintf(names[count++], TW_WIRE_NAME_SIZE, "%s", item->string);
    printf("fields of %s %s\n", kind->name, prefix);
    for (int i = 0; i < count; i++) {
        vary_field(kind, root, object, names[i]);
        cJSON *item = cJSON_GetObjectItemCaseSensitive(object, names[i]);
        if (cJSON_IsArray(item)) item = item->child;
        if (cJSON_IsObject(item)) vary_fields(kind, names[i], root, item);
    }
}

/* Parses the message with each pair of fields invalid. The reported field shows the order of the
 * checks. */
static void vary_pairs(const tw_test_message_kind *kind) {
    cJSON *root = cJSON_Parse(kind->text);
    int count = cJSON_GetArraySize(root);
    char label[LABEL_SIZE];
    for (int i = 0; i < count; i++) {
        for (int k = i + 1; k < count; k++) {
            cJSON *wrong = cJSON_Duplicate(root, 1);
            cJSON *first = cJSON_GetArrayItem(wrong, i);
            cJSON *second = cJSON_GetArrayItem(wrong, k);
            snprintf(label, sizeof label, "%s,%s={}", first->string, second->string);
            replace_field(wrong, cJSON_GetArrayItem(root, i)->string, "{}");
            replace_field(wrong, cJSON_GetArrayItem(root, k)->string, "{}");
            show_json_outcome(kind, label, wrong);
            cJSON_Delete(wrong);
        }
    }
    finish_outcomes(kind);
    cJSON_Delete(root);
}

static void show_message_kind(const tw_test_message_kind *kind) {
    char label[LABEL_SIZE];
    printf("parse %s\n", kind->name);
    show_outcome(kind, "whole", kind->text);
    tw_test_outcome_finish("");
    for (size_t i = 0; i < malformed_count; i++) {
        snprintf(label, sizeof label, "text %zu", i);
        show_outcome(kind, label, malformed[i]);
    }
    finish_outcomes(kind);
    cJSON *root = cJSON_Parse(kind->text);
    if (!root) abort();
    vary_fields(kind, "message", root, root);
    cJSON_Delete(root);
    if (kind->reports_reason) vary_pairs(kind);
}

static void show_ids(void) {
    static const char *const ids[] = {
        "run-000412", "run-1",      "run-",      "run-1234567890123456", "run-12345678901234567",
        "run",        "run-00041x", "job-000412"};
    for (size_t i = 0; i < sizeof ids / sizeof *ids; i++)
        printf("id %s: %d\n", ids[i], tw_wire_is_valid_job_id(ids[i], strlen(ids[i])));
}

int main(void) {
    show_ids();
    tw_test_print_messages(stdout);
    for (size_t i = 0; i < tw_test_message_kind_count; i++)
        show_message_kind(&tw_test_message_kinds[i]);
    return 0;
}
