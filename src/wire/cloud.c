/* Messages between nodes and the cloud: machine types, rented machines, rental requests. */
#include "wire/json.h"
#include "wire/wire.h"
#include <stdlib.h>
#include <string.h>

/* ---- machine types ---- */

#define MIN_FETCH_GB_S 1e-6
#define DEFAULT_STARTUP_S 60
#define NO_SPOT_PRICE (-1)

/* Reads the zones where a machine type can be rented; zones beyond the size of the array are
 * ignored. */
static tw_wire_error read_zones(const cJSON *value, void *message) {
    tw_wire_machine_type *type = message;
    const int max_zones = (int)(sizeof type->zones / sizeof *type->zones);
    const cJSON *item;
    if (!cJSON_IsArray(value)) return TW_WIRE_MALFORMED;
    cJSON_ArrayForEach(item, value) {
        if (type->zone_count >= max_zones) break;
        if (tw_json_read_string_item(item, type->zones[type->zone_count], TW_WIRE_NAME_SIZE))
            return TW_WIRE_MALFORMED;
        type->zone_count++;
    }
    return TW_WIRE_OK;
}

static tw_wire_error read_machine_type(const cJSON *value, void *item, size_t size) {
    static const tw_json_field fields[] = {
        {TW_JSON_NAME("label"), TW_JSON_TEXT_AT(tw_wire_machine_type, name)},
        {TW_JSON_NAME("cores"), TW_JSON_NUMBER_AT(tw_wire_machine_type, cores)},
        {TW_JSON_NAME("memoryGb"), TW_JSON_NUMBER_AT(tw_wire_machine_type, memory_gb)},
        {TW_JSON_NAME("hourly"), TW_JSON_NUMBER_AT(tw_wire_machine_type, on_demand_price)},
        {TW_JSON_NAME("gpus"), TW_JSON_NUMBER_AT(tw_wire_machine_type, gpus),
         .rules = TW_JSON_LENIENT},
        {TW_JSON_NAME("cacheGb"), TW_JSON_NUMBER_AT(tw_wire_machine_type, cache_gb),
         .rules = TW_JSON_LENIENT},
        {TW_JSON_NAME("fetchGbPerS"), TW_JSON_NUMBER_AT(tw_wire_machine_type, fetch_gb_s),
         .min = MIN_FETCH_GB_S, .rules = TW_JSON_LENIENT, .fallback = 1},
        {TW_JSON_NAME("lowPrice"), TW_JSON_NUMBER_AT(tw_wire_machine_type, spot_price),
         .rules = TW_JSON_LENIENT, .fallback = NO_SPOT_PRICE},
        {TW_JSON_NAME("startupS"), TW_JSON_NUMBER_AT(tw_wire_machine_type, startup_s),
         .rules = TW_JSON_LENIENT, .fallback = DEFAULT_STARTUP_S},
        {TW_JSON_NAME("yards"), .type = TW_JSON_CUSTOM, .read = read_zones},
    };
    (void)size;
    tw_wire_machine_type *type = item;
    if (tw_json_read_fields(value, fields, TW_JSON_FIELD_COUNT(fields), type, NULL))
        return TW_WIRE_MALFORMED;
    if (type->spot_price == NO_SPOT_PRICE) type->spot_price = type->on_demand_price;
    return TW_WIRE_OK;
}

tw_wire_error tw_wire_machine_types_parse(tw_wire_machine_type **types, int *n, const char *text,
                                          size_t len) {
    static const tw_json_list list = {"racks", sizeof(tw_wire_machine_type), read_machine_type,
                                      NULL};
    void *items;
    tw_wire_error result = tw_json_parse_list(&list, text, len, &items, n, NULL);
    *types = items;
    return result;
}

/* ---- rented machines ---- */

static tw_wire_error read_rented_machine(const cJSON *value, void *item, size_t size) {
    static const char *const stage_words[] = {"booting", "running", "failed", NULL};
    static const tw_json_field fields[] = {
        {TW_JSON_NAME("id"), TW_JSON_TEXT_AT(tw_wire_rented_machine, id)},
        {TW_JSON_NAME("rack"), TW_JSON_TEXT_AT(tw_wire_rented_machine, machine_type)},
        {TW_JSON_NAME("yard"), TW_JSON_TEXT_AT(tw_wire_rented_machine, zone)},
        {TW_JSON_NAME("loaner"), TW_JSON_FLAG_AT(tw_wire_rented_machine, spot)},
        {TW_JSON_NAME("stage"), TW_JSON_ENUM_AT(tw_wire_rented_machine, state, stage_words)},
        {TW_JSON_NAME("endpoint"), TW_JSON_TEXT_AT(tw_wire_rented_machine, endpoint),
         .rules = TW_JSON_LENIENT},
        {TW_JSON_NAME("heldS"), TW_JSON_NUMBER_AT(tw_wire_rented_machine, rented_s),
         .rules = TW_JSON_LENIENT},
    };
    (void)size;
    return tw_json_read_fields(value, fields, TW_JSON_FIELD_COUNT(fields), item, NULL);
}

tw_wire_error tw_wire_rented_machines_parse(tw_wire_rented_machine **machines, int *n, int *more,
                                            const char *text, size_t len) {
    static const tw_json_list list = {"trays", sizeof(tw_wire_rented_machine), read_rented_machine,
                                      NULL};
    void *items;
    tw_wire_error result = tw_json_parse_list(&list, text, len, &items, n, more);
    *machines = items;
    return result;
}

/* ---- requests to rent and to return machines ---- */

char *tw_wire_rental_request_text(const char *name, const char *type, const char *zone, bool spot,
                                  int n) {
    cJSON *object = cJSON_CreateObject();
    cJSON_AddStringToObject(object, "ask", name);
    cJSON_AddStringToObject(object, "rack", type);
    cJSON_AddStringToObject(object, "yard", zone);
    cJSON_AddBoolToObject(object, "loaner", spot);
    cJSON_AddNumberToObject(object, "number", n);
    return tw_json_print_and_delete(object);
}

tw_wire_error tw_wire_machine_names_parse(char (**names)[TW_WIRE_NAME_SIZE], int *n,
                                          const char *text, size_t len) {
    void *texts;
    tw_wire_error result = tw_json_parse_strings("trays", TW_WIRE_NAME_SIZE, text, len, &texts, n);
    *names = texts;
    return result;
}

char *tw_wire_machine_names_text(char (*names)[TW_WIRE_NAME_SIZE], int n) {
    cJSON *object = cJSON_CreateObject();
    cJSON *array = cJSON_AddArrayToObject(object, "trays");
    for (int i = 0; i < n; i++) cJSON_AddItemToArray(array, cJSON_CreateString(names[i]));
    return tw_json_print_and_delete(object);
}
