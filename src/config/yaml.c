/* The operators' settings: a YAML file with entries `key: number` and one entry `shares: {team:
 * number}`. Settings that the file does not contain keep their defaults. */
#include "config/config.h"
#include "config/setting.h"
#include <errno.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <yaml.h>

#define TUNING(member, min_value, max_value, default_value, text)                                  \
    {                                                                                              \
        .name = #member, .type = TW_SETTING_NUMBER, .offset = offsetof(tw_config_tuning, member),  \
        .min = (min_value), .max = (max_value), .fallback = (default_value), .meaning = (text)     \
    }
static const tw_setting tuning_rows[] = {
    TUNING(election_ratio, 0.05, 0.5, 0.12, "leader's lease, as a share of `lease_s`"),
    TUNING(hold_ratio, 0, 100, 6,
           "how long at most, in `lease_s`, a leader may renew workers' leases without the state "
           "service"),
    TUNING(margin_ratio, 0.01, 2, 0.1, "safety margin on lapsed leases, as a share of `lease_s`"),
    TUNING(drift, 0.0005, 0.1, 0.001, "clock drift allowed for"),
    TUNING(ema, 0.01, 1, 0.25, "weight of a new sample in the moving averages"),
    TUNING(recheck_ratio, 0.5, 1000, 2, "time between rechecks of running tasks, in `report_s`"),
    TUNING(headroom, 0, 100, 2, "scales the spare room rented ahead of arrivals"),
    TUNING(idle_ratio, 0, 100, 0.5, "an idle machine goes back after this share of its boot time"),
    TUNING(silent_ratio, 0.3, 1, 0.5,
           "a machine silent for this share of `lease_s` is given up and returned"),
    TUNING(write_share, 0.1, 1, 0.9,
           "share of the state service's and the cloud's limits that is used"),
};
static const tw_section tuning_section = TW_SECTION("", tuning_rows);

static const char shares_key[] = "shares";
static const tw_setting share_setting = {
    .name = "{team: number}",
    .type = TW_SETTING_NUMBER,
    .min = 0.001,
    .max = 1000,
    .fallback = 1,
    .meaning = "weights in the teams' turns",
};
static const tw_section share_section = {"shares: ", &share_setting, 1};

void tw_config_set_default_tuning(tw_config_tuning *tuning) {
    tw_section_set_defaults(&tuning_section, tuning);
}

void tw_config_describe_tuning(FILE *out) {
    tw_section_describe(&tuning_section, out);
    tw_section_describe(&share_section, out);
}

/* Parses a number. Returns false if the text is not a number in the setting's range. */
static bool parse_number(const tw_setting *setting, const char *text, double *number) {
    char *end;
    if (!text || !*text) return false;
    errno = 0;
    *number = strtod(text, &end);
    return !*end && !errno && tw_setting_in_range(setting, *number);
}

/* Returns the text of a scalar node, owned by the document, or NULL if the node is not a scalar. */
static const char *scalar_text(yaml_document_t *document, int id) {
    const yaml_node_t *node = yaml_document_get_node(document, id);
    if (!node || node->type != YAML_SCALAR_NODE) return NULL;
    return (const char *)node->data.scalar.value;
}

static tw_config_team *find_team(tw_config *config, const char *name) {
    for (size_t i = 0; i < config->team_count; i++)
        if (!strcmp(config->teams[i].name, name)) return &config->teams[i];
    return NULL;
}

static void read_share(tw_setting_error *error, tw_config *config, const char *name,
                       const char *text) {
    double share;
    if (!name || !parse_number(&share_setting, text, &share)) {
        tw_setting_set_error(error, "operators' setting shares.%s must be a number from %g to %g",
                             name ? name : "?", share_setting.min, share_setting.max);
        return;
    }
    tw_config_team *team = find_team(config, name);
    if (team)
        team->share = share;
    else
        tw_setting_set_error(error, "operators' setting shares names an unknown team: %s", name);
}

static void read_shares(tw_setting_error *error, tw_config *config, yaml_document_t *document,
                        const yaml_node_t *node) {
    if (node->type != YAML_MAPPING_NODE) {
        tw_setting_set_error(error, "operators' setting shares must map teams to numbers");
        return;
    }
    const yaml_node_pair_t *pair = node->data.mapping.pairs.start;
    for (; pair < node->data.mapping.pairs.top && !error->failed; pair++)
        read_share(error, config, scalar_text(document, pair->key),
                   scalar_text(document, pair->value));
}

static void read_tuning(tw_setting_error *error, tw_config *config, const char *name,
                        const char *text) {
    const tw_setting *setting = tw_section_find(&tuning_section, name);
    double number;
    if (!setting) {
        tw_setting_set_error(error, "operators' setting %s is unknown", name);
        return;
    }
    if (!parse_number(setting, text, &number)) {
        tw_setting_set_error(error, "operators' setting %s must be a number from %g to %g", name,
                             setting->min, setting->max);
        return;
    }
    memcpy((char *)&config->tune + setting->offset, &number, sizeof number);
}

static void read_document(tw_setting_error *error, tw_config *config, yaml_document_t *document,
                          const char *path) {
    const yaml_node_t *root = yaml_document_get_root_node(document);
    if (!root) return;
    if (root->type != YAML_MAPPING_NODE) {
        tw_setting_set_error(error, "operators' settings %s must be a mapping", path);
        return;
    }
    const yaml_node_pair_t *pair = root->data.mapping.pairs.start;
    for (; pair < root->data.mapping.pairs.top && !error->failed; pair++) {
        const char *name = scalar_text(document, pair->key);
        const yaml_node_t *value = yaml_document_get_node(document, pair->value);
        if (name && value && !strcmp(name, shares_key))
            read_shares(error, config, document, value);
        else
            read_tuning(error, config, name ? name : "?", scalar_text(document, pair->value));
    }
}

static void read_yaml(tw_setting_error *error, tw_config *config, FILE *file, const char *path) {
    yaml_parser_t parser;
    yaml_document_t document;
    if (!yaml_parser_initialize(&parser)) abort();
    yaml_parser_set_input_file(&parser, file);
    if (yaml_parser_load(&parser, &document)) {
        read_document(error, config, &document, path);
        yaml_document_delete(&document);
    } else {
        tw_setting_set_error(error, "operators' settings %s, line %zu: %s", path,
                             parser.problem_mark.line + 1,
                             parser.problem ? parser.problem : "not valid YAML");
    }
    yaml_parser_delete(&parser);
}

tw_config_error tw_config_load_yaml(tw_config *config, const char *path, char *message,
                                    size_t message_size) {
    tw_setting_error error = {message, message_size, false};
    FILE *file = fopen(path, "rb");
    if (!file) {
        tw_setting_set_error(&error, "can't read operators' settings %s: %s", path,
                             strerror(errno));
        return TW_CONFIG_UNREADABLE;
    }
    read_yaml(&error, config, file, path);
    fclose(file);
    return error.failed ? TW_CONFIG_INVALID : TW_CONFIG_OK;
}
