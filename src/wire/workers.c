/* Messages between workers and nodes: reports, commands, redirects. */
#include "wire/json.h"
#include "wire/wire.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LONGEST_NO_ORDERS 64

/* ---- reports ---- */

/* Of "JOB/INDEX": the job's id and the task's number. */
static int read_piece_name(const cJSON *value, void *message) {
    tw_wire_piece *piece = message;
    char name[TW_WIRE_NAME];
    if (tw_json_text(value, name, sizeof name)) return -1;
    char *slash = strrchr(name, '/');
    if (!slash || slash == name || slash - name >= TW_WIRE_ID || !slash[1]) return -1;
    long index = 0;
    for (const char *digit = slash + 1; *digit; digit++) {
        if (*digit < '0' || *digit > '9') return -1;
        index = index * 10 + (*digit - '0');
        if (index >= TW_WIRE_MAX_PIECES) return -1;
    }
    *slash = 0;
    memcpy(piece->job, name, (size_t)(slash - name) + 1);
    piece->index = (int)index;
    return 0;
}

/* Why a task ended: read once it has, where a cause that is missing or unknown is still one. */
static int read_cause(const cJSON *value, void *message) {
    static const char *const words[] = {"",     "done",    "stopped", "error", "no_room",
                                        "busy", "no_such", "peers",   "alone", NULL};
    tw_wire_piece *piece = message;
    char word[TW_WIRE_NAME];
    if (piece->stage != TW_PIECE_EXITED) return 0;
    piece->cause = TW_CAUSE_OTHER;
    if (!tw_json_text(value, word, sizeof word))
        piece->cause = tw_json_word(words, word, TW_CAUSE_OTHER);
    return 0;
}

static int read_piece(const cJSON *value, void *item, size_t size) {
    static const char *const stage_words[] = {"pulling", "running", "flushing",
                                              "exited",  "waiting", NULL};
    static const tw_json_field fields[] = {
        {TW_JSON_NAME("piece"), .type = TW_JSON_CUSTOM, .read = read_piece_name},
        {TW_JSON_NAME("try"), TW_JSON_COUNT_AT(tw_wire_piece, attempt)},
        {TW_JSON_NAME("stage"), TW_JSON_WORD_AT(tw_wire_piece, stage, stage_words),
         .unknown = TW_PIECE_RUNNING},
        {TW_JSON_NAME("cause"), .type = TW_JSON_CUSTOM, .read = read_cause},
        {TW_JSON_NAME("saved"), TW_JSON_FLAG_AT(tw_wire_piece, saved), .rules = TW_JSON_LENIENT},
    };
    (void)size;
    return tw_json_read(value, fields, TW_JSON_ROWS(fields), item, NULL);
}

/* A notice whose time can't be read is one all the same: without any time left. */
static int read_warning(const cJSON *value, void *message) {
    tw_wire_report *report = message;
    report->warning_s = -1;
    if (!value) return 0;
    report->warning_s = 0;
    if (cJSON_IsNumber(value) && value->valuedouble >= 0 && value->valuedouble <= TW_JSON_LARGEST)
        report->warning_s = value->valuedouble;
    return 0;
}

static const tw_json_field report_fields[] = {
    {TW_JSON_NAME("tray"), TW_JSON_TEXT_AT(tw_wire_report, tray)},
    {TW_JSON_NAME("endpoint"), TW_JSON_TEXT_AT(tw_wire_report, endpoint)},
    {TW_JSON_NAME("rack"), TW_JSON_TEXT_AT(tw_wire_report, rack)},
    {TW_JSON_NAME("yard"), TW_JSON_TEXT_AT(tw_wire_report, yard)},
    {TW_JSON_NAME("loaner"), TW_JSON_FLAG_AT(tw_wire_report, loaner)},
    {TW_JSON_NAME("shift"), TW_JSON_COUNT_AT(tw_wire_report, shift)},
    {TW_JSON_NAME("tick"), TW_JSON_COUNT_AT(tw_wire_report, tick)},
    {TW_JSON_NAME("baton"), TW_JSON_COUNT_AT(tw_wire_report, baton)},
    {TW_JSON_NAME("warningS"), .type = TW_JSON_CUSTOM, .read = read_warning},
};

static int read_report(tw_wire_report *report, const cJSON *object) {
    static const tw_json_list pieces = {"pieces", sizeof(tw_wire_piece), read_piece, NULL};
    if (tw_json_read(object, report_fields, TW_JSON_ROWS(report_fields), report, NULL)) return -1;
    if (!tw_json_get(object, pieces.name)) return 0;
    void *items;
    int result = tw_json_read_list(&pieces, object, &items, &report->npieces);
    report->pieces = items;
    return result;
}

int tw_wire_report_parse(tw_wire_report *report, const char *text, size_t len) {
    memset(report, 0, sizeof *report);
    cJSON *object = tw_json_parse(text, len);
    int result = object ? read_report(report, object) : -1;
    cJSON_Delete(object);
    return result;
}

void tw_wire_report_free(tw_wire_report *report) {
    free(report->pieces);
    report->pieces = NULL;
    report->npieces = 0;
}

/* ---- commands ---- */

static void write_piece_name(cJSON *object, const void *message) {
    const tw_wire_order *order = message;
    char name[TW_WIRE_NAME];
    snprintf(name, sizeof name, "%s/%d", order->job, order->index);
    cJSON_AddItemToObjectCS(object, "piece", cJSON_CreateString(name));
}

static void write_mercy(cJSON *object, const void *message) {
    const tw_wire_order *order = message;
    if (order->verb == TW_VERB_KILL)
        cJSON_AddItemToObjectCS(object, "mercyS", cJSON_CreateNumber(order->mercy_s));
}

static const char *const verb_words[] = {"launch", "kill", "forget", NULL};

static const tw_json_field order_fields[] = {
    {TW_JSON_NAME("verb"), TW_JSON_WORD_AT(tw_wire_order, verb, verb_words)},
    {TW_JSON_NAME("piece"), .type = TW_JSON_CUSTOM, .write = write_piece_name},
    {TW_JSON_NAME("try"), TW_JSON_COUNT_AT(tw_wire_order, attempt)},
    {TW_JSON_NAME("mercyS"), .type = TW_JSON_CUSTOM, .write = write_mercy},
};

/* The commonest answer, without commands: printed at once, as the tree would be. */
static char *no_orders_text(uint64_t baton) {
    char text[LONGEST_NO_ORDERS];
    snprintf(text, sizeof text, "{\"baton\":%" PRIu64 ",\"orders\":[]}", baton);
    char *copy = strdup(text);
    if (!copy) abort();
    return copy;
}

char *tw_wire_orders_text(uint64_t baton, uint64_t shift, const tw_wire_order *orders, size_t n) {
    if (!n && !shift) return no_orders_text(baton);
    cJSON *object = cJSON_CreateObject();
    cJSON_AddItemToObjectCS(object, "baton", cJSON_CreateNumber((double)baton));
    if (shift) cJSON_AddItemToObjectCS(object, "shift", cJSON_CreateNumber((double)shift));
    cJSON *array = cJSON_AddArrayToObject(object, "orders");
    for (size_t i = 0; i < n; i++) {
        cJSON *item = cJSON_CreateObject();
        tw_json_write(item, order_fields, TW_JSON_ROWS(order_fields), &orders[i]);
        cJSON_AddItemToArray(array, item);
    }
    return tw_json_finish(object);
}

char *tw_wire_foreman_text(const char *name) {
    cJSON *object = cJSON_CreateObject();
    if (name && *name) cJSON_AddItemToObjectCS(object, "foreman", cJSON_CreateString(name));
    return tw_json_finish(object);
}
