/* Messages between nodes: peer heartbeats. */
#include "wire/json.h"
#include "wire/wire.h"
#include <string.h>

/* Maximum record format accepted in a peer heartbeat. It exceeds the formats of this version, since
 * a peer of a later version may announce a later format. */
#define MAX_RECORD_FORMAT 1000

static const tw_json_field peer_heartbeat_fields[] = {
    {TW_JSON_NAME("name"), TW_JSON_TEXT_AT(tw_wire_peer_heartbeat, name)},
    {TW_JSON_NAME("leader"), TW_JSON_TEXT_AT(tw_wire_peer_heartbeat, leader),
     .rules = TW_JSON_OPTIONAL | TW_JSON_OMIT},
    {TW_JSON_NAME("token"), TW_JSON_UINT64_AT(tw_wire_peer_heartbeat, highest_token)},
    {TW_JSON_NAME("stateOk"), TW_JSON_FLAG_AT(tw_wire_peer_heartbeat, store_reachable)},
    {TW_JSON_NAME("leading"), TW_JSON_FLAG_AT(tw_wire_peer_heartbeat, is_leader)},
    {TW_JSON_NAME("upS"), TW_JSON_DURATION_AT(tw_wire_peer_heartbeat, uptime_s),
     .rules = TW_JSON_LENIENT},
    {TW_JSON_NAME("deputyS"), TW_JSON_DURATION_AT(tw_wire_peer_heartbeat, since_delegate_answer_s),
     .rules = TW_JSON_LENIENT},
    {TW_JSON_NAME("recordFormat"),
     TW_JSON_INTEGER_AT(tw_wire_peer_heartbeat, record_format, TW_RECORD_FORMAT_WHOLE,
                        MAX_RECORD_FORMAT),
     .rules = TW_JSON_LENIENT | TW_JSON_OMIT, .fallback = TW_RECORD_FORMAT_WHOLE},
};

tw_wire_error tw_wire_peer_heartbeat_parse(tw_wire_peer_heartbeat *heartbeat, const char *text,
                                           size_t len) {
    memset(heartbeat, 0, sizeof *heartbeat);
    cJSON *object = tw_json_parse(text, len);
    tw_wire_error result = tw_json_read_fields(
        object, peer_heartbeat_fields, TW_JSON_FIELD_COUNT(peer_heartbeat_fields), heartbeat, NULL);
    cJSON_Delete(object);
    return result;
}

char *tw_wire_peer_heartbeat_text(const tw_wire_peer_heartbeat *heartbeat,
                                  const char *const *cancelled, int cancelled_count) {
    cJSON *object = cJSON_CreateObject();
    tw_json_write_fields(object, peer_heartbeat_fields, TW_JSON_FIELD_COUNT(peer_heartbeat_fields),
                         heartbeat);
    if (cancelled_count)
        cJSON_AddItemToObject(object, "aborted",
                              cJSON_CreateStringArray(cancelled, cancelled_count));
    return tw_json_print_and_delete(object);
}

tw_wire_error tw_wire_cancelled_jobs_parse(char (**ids)[TW_WIRE_ID_SIZE], int *n, const char *text,
                                           size_t len) {
    void *texts;
    tw_wire_error result = tw_json_parse_strings("aborted", TW_WIRE_ID_SIZE, text, len, &texts, n);
    *ids = texts;
    return result;
}
