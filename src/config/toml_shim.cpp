#include "config/toml_shim.h"
#include <cmath>
#include <cstdio>
#include <sstream>
#include <string>
#include <string_view>
#include <toml++/toml.h>

/* Converts a date or time to a string in TOML notation. */
static cJSON *to_json_string(const toml::node &node) {
    std::ostringstream text;
    node.visit([&text](const auto &value) { text << value; });
    return cJSON_CreateString(text.str().c_str());
}

/* Converts a number. JSON has no notation for numbers that are not finite; these become strings,
 * which are invalid for every numeric setting. */
static cJSON *to_json_number(double value) {
    if (std::isnan(value)) return cJSON_CreateString("NaN");
    if (std::isinf(value)) return cJSON_CreateString(value > 0 ? "Infinity" : "-Infinity");
    return cJSON_CreateNumber(value);
}

static cJSON *to_json(const toml::node &node) {
    switch (node.type()) {
    case toml::node_type::table: {
        cJSON *object = cJSON_CreateObject();
        for (auto &&[key, value] : *node.as_table())
            cJSON_AddItemToObject(object, std::string(key.str()).c_str(), to_json(value));
        return object;
    }
    case toml::node_type::array: {
        cJSON *array = cJSON_CreateArray();
        for (auto &&value : *node.as_array()) cJSON_AddItemToArray(array, to_json(value));
        return array;
    }
    case toml::node_type::string:
        return cJSON_CreateString(node.as_string()->get().c_str());
    case toml::node_type::integer:
        return cJSON_CreateNumber(static_cast<double>(node.as_integer()->get()));
    case toml::node_type::floating_point:
        return to_json_number(node.as_floating_point()->get());
    case toml::node_type::boolean:
        return cJSON_CreateBool(node.as_boolean()->get());
    default:
        return to_json_string(node);
    }
}

extern "C" cJSON *tw_config_toml_parse(const char *text, char *err, size_t errlen) {
    try {
        return to_json(toml::parse(std::string_view(text)));
    } catch (const toml::parse_error &e) {
        std::snprintf(err, errlen, "line %u: %s", static_cast<unsigned>(e.source().begin.line),
                      std::string(e.description()).c_str());
    } catch (const std::exception &e) {
        std::snprintf(err, errlen, "%s", e.what());
    }
    return nullptr;
}
