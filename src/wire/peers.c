/* Messages between nodes. */
#include "wire/json.h"
#include "wire/wire.h"
#include <string.h>

/* Versions to come may read more formats. */
#define HIGHEST_FORMAT 1000

static const tw_json_field ping_fields[] = {
    {TW_JSON_NAME("name"), TW_JSON_TEXT_AT(tw_wire_ping, name)},
    {TW_JSON_NAME("leader"), TW_JSON_TEXT_AT(tw_wire_ping, leader),
     .rules = TW_JSON_OPTIONAL | TW_JSON_OMIT},
    {TW_JSON_NAME("token"), TW_JSON_COUNT_AT(tw_wire_ping, token)},
    {TW_JSON_NAME("stateOk"), TW_JSON_FLAG_AT(tw_wire_ping, state_ok)},
    {TW_JSON_NAME("leading"), TW_JSON_FLAG_AT(tw_wire_ping, leading)},
    {TW_JSON_NAME("upS"), TW_JSON_SPAN_AT(tw_wire_ping, up_s), .rules = TW_JSON_LENIENT},
    {TW_JSON_NAME("deputyS"), TW_JSON_SPAN_AT(tw_wire_ping, deputy_s), .rules = TW_JSON_LENIENT},
    {TW_JSON_NAME("recordFormat"),
     TW_JSON_INTEGER_AT(tw_wire_ping, record_format, TW_RECORD_WHOLE, HIGHEST_FORMAT),
     .rules = TW_JSON_LENIENT | TW_JSON_OMIT, .fallback = TW_RECORD_WHOLE},
};

int tw_wire_ping_parse(tw_wire_ping *ping, const char *text, size_t len) {
    memset(ping, 0, sizeof *ping);
    cJSON *object = tw_json_parse(text, len);
    int result = tw_json_read(object, ping_fields, TW_JSON_ROWS(ping_fields), ping, NULL);
    cJSON_Delete(object);
    return result;
}

char *tw_wire_ping_text(const tw_wire_ping *ping, const char *const *aborted, int naborted) {
    cJSON *object = cJSON_CreateObject();
    tw_json_write(object, ping_fields, TW_JSON_ROWS(ping_fields), ping);
    if (naborted)
        cJSON_AddItemToObject(object, "aborted", cJSON_CreateStringArray(aborted, naborted));
    return tw_json_finish(object);
}

int tw_wire_aborted_parse(char (**ids)[TW_WIRE_ID], int *n, const char *text, size_t len) {
    void *texts;
    int result = tw_json_parse_texts("aborted", TW_WIRE_ID, text, len, &texts, n);
    *ids = texts;
    return result;
}
