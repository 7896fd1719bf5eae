/* The platform's settings: a TOML file whose tables are described by rows of settings (setting.h).
 * Only the first error is reported. */
#include "config/config.h"
#include "config/setting.h"
#include "config/toml_shim.h"
#include <errno.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define MAX_FILE_BYTES (1 << 20)
#define PARSER_ERROR_SIZE 200
#define MIN_HEARTBEATS_PER_LEASE 2
/* Defaults of gang_wait_s and gang_peer_s, as multiples of the workers' lease_s. */
#define GANG_WAIT_LEASES 1.5
#define GANG_PEER_LEASES 0.25

/* Initializers of rows of settings. NAME, ADDRESS and REQUIRED rows are required; LABEL and
 * OPTIONAL rows have a default. */
#define NAME(key, struct_name, member, text)                                                       \
    {                                                                                              \
        .name = (key), .type = TW_SETTING_NAME, .required = true,                                  \
        .offset = offsetof(struct_name, member), .meaning = (text)                                 \
    }
#define ADDRESS(key, struct_name, member, text)                                                    \
    {                                                                                              \
        .name = (key), .type = TW_SETTING_ADDRESS, .required = true,                               \
        .offset = offsetof(struct_name, member), .meaning = (text)                                 \
    }
#define LABEL(key, struct_name, member, text)                                                      \
    {                                                                                              \
        .name = (key), .type = TW_SETTING_LABEL, .offset = offsetof(struct_name, member),          \
        .size = sizeof(((struct_name *)NULL)->member), .meaning = (text)                           \
    }
#define REQUIRED(kind, key, struct_name, member, min_value, max_value, text)                       \
    {                                                                                              \
        .name = (key), .type = (kind), .required = true, .offset = offsetof(struct_name, member),  \
        .min = (min_value), .max = (max_value), .meaning = (text)                                  \
    }
#define OPTIONAL(key, struct_name, member, min_value, max_value, default_value, text)              \
    {                                                                                              \
        .name = (key), .type = TW_SETTING_NUMBER, .offset = offsetof(struct_name, member),         \
        .min = (min_value), .max = (max_value), .fallback = (default_value), .meaning = (text)     \
    }

static const tw_setting node_rows[] = {
    NAME("host_name", tw_config, host_name, "name of this node"),
    NAME("location", tw_config, location, "its zone"),
    ADDRESS("api_addr", tw_config, api_addr, "where users, workers and health checks reach it"),
    ADDRESS("peer_bind", tw_config, peer_bind, "where the other nodes reach it"),
};
static const tw_setting peer_rows[] = {
    NAME("host_name", tw_config_peer, name, "another node"),
    NAME("location", tw_config_peer, zone, "its zone"),
    ADDRESS("endpoint", tw_config_peer, addr, "its `peer_bind`"),
};
static const tw_setting external_rows[] = {
    ADDRESS("cloud", tw_config, cloud, "the cloud"),
    ADDRESS("state", tw_config, state, "the state service"),
};
static const tw_setting clock_rows[] = {
    OPTIONAL("time_bound_ms", tw_config, time_bound_ms, 0, 3.6e6, 1000,
             "how far the time of day may be from true time"),
};
static const tw_setting team_rows[] = {
    NAME("name", tw_config_team, name, "a team"),
    OPTIONAL("cpus", tw_config_team, cpus, 0, 1e9, 0, "cores that it is guaranteed"),
    OPTIONAL("cpus_max", tw_config_team, cpus_max, 0, 1e9, 0, "most cores at a time; 0: no limit"),
    OPTIONAL("gpus", tw_config_team, gpus, 0, 1e9, 0, "GPUs that it is guaranteed"),
    OPTIONAL("gpus_max", tw_config_team, gpus_max, 0, 1e9, 0, "most GPUs at a time; 0: no limit"),
};
static const tw_setting objective_rows[] = {
    LABEL("kind", tw_config_objective, kind, "`wait`, `deadline`, `finished` or `guarantee`"),
    LABEL("class", tw_config_objective, cls, "class of jobs that it is for"),
    OPTIONAL("within_s", tw_config_objective, within_s, 0, 1e9, 0,
             "tasks should start within it, or jobs be finished (`finished`)"),
    OPTIONAL("share", tw_config_objective, share, 0, 1, 0.9, "share of jobs that should meet it"),
    OPTIONAL("times", tw_config_objective, times, 0, 1e9, 1, "scales the deadline"),
};
static const tw_setting worker_rows[] = {
    REQUIRED(TW_SETTING_NUMBER, "report_s", tw_config, report_s, 0.01, 3600,
             "time between reports"),
    REQUIRED(TW_SETTING_NUMBER, "lease_s", tw_config, lease_s, 0.1, 86400,
             "lease of a worker; at least twice `report_s`"),
    REQUIRED(TW_SETTING_NUMBER, "cancel_s", tw_config, cancel_s, 0.1, 86400,
             "time in which a cancelled job's tasks must be gone"),
    OPTIONAL("gang_wait_s", tw_config, gang_wait_s, 0.01, 86400, 0,
             "a gang's task waits so long for the others; 0: 1.5 times `lease_s`"),
    OPTIONAL("gang_peer_s", tw_config, gang_peer_s, 0.01, 86400, 0,
             "a gang's tasks notice within this that one is gone; 0: a quarter of `lease_s`"),
};
static const tw_setting state_rows[] = {
    REQUIRED(TW_SETTING_NUMBER, "rps", tw_config_state_limits, rps, 1, 1e6, "requests per second"),
    REQUIRED(TW_SETTING_NUMBER, "write_rps", tw_config_state_limits, write_rps, 1, 1e6,
             "puts and deletes per second"),
    REQUIRED(TW_SETTING_NUMBER, "value_kb", tw_config_state_limits, value_kb, 1, 1e6,
             "largest value, in KiB"),
    REQUIRED(TW_SETTING_INTEGER, "txn_ops", tw_config_state_limits, txn_ops, 1, 10000,
             "puts and deletes in a transaction"),
};
static const tw_setting state_next_rows[] = {
    OPTIONAL("rps", tw_config_state_limits, rps, 1, 1e6, 0,
             "the limit that will hold from some moment on; 0: as it is"),
    OPTIONAL("write_rps", tw_config_state_limits, write_rps, 1, 1e6, 0, "the same"),
    OPTIONAL("value_kb", tw_config_state_limits, value_kb, 1, 1e6, 0, "the same"),
    {
        .name = "txn_ops",
        .type = TW_SETTING_INTEGER,
        .offset = offsetof(tw_config_state_limits, txn_ops),
        .min = 1,
        .max = 10000,
        .meaning = "the same",
    },
};
static const tw_setting cloud_rows[] = {
    REQUIRED(TW_SETTING_NUMBER, "rps", tw_config, cloud_rps, 0.01, 1e6, "requests per second"),
    REQUIRED(TW_SETTING_NUMBER, "list_lag_s", tw_config, list_lag_s, 0, 86400,
             "age of the list of machines"),
};
static const tw_setting limit_rows[] = {
    REQUIRED(TW_SETTING_NUMBER, "cpu_share", tw_config, cpu_share, 0.001, 1024,
             "share of a core that the process gets"),
    REQUIRED(TW_SETTING_NUMBER, "mem_mb", tw_config, mem_mb, 8, 1e7, "memory that it gets, in MiB"),
    REQUIRED(TW_SETTING_INTEGER, "sockets", tw_config, sockets, 32, 1e6, "sockets that it gets"),
};

static const tw_section node_section = TW_SECTION("", node_rows);
static const tw_section peer_section = TW_SECTION("known.", peer_rows);
static const tw_section external_section = TW_SECTION("external.", external_rows);
static const tw_section clock_section = TW_SECTION("settings.", clock_rows);
static const tw_section team_section = TW_SECTION("settings.teams.", team_rows);
static const tw_section objective_section = TW_SECTION("settings.objectives.", objective_rows);
static const tw_section worker_section = TW_SECTION("settings.workers.", worker_rows);
static const tw_section state_section = TW_SECTION("settings.state.", state_rows);
static const tw_section state_next_section = TW_SECTION("settings.state.next.", state_next_rows);
static const tw_section cloud_section = TW_SECTION("settings.cloud.", cloud_rows);
static const tw_section limit_section = TW_SECTION("settings.limits.", limit_rows);

void tw_config_describe(FILE *out) {
    const tw_section *const sections[] = {
        &node_section,       &peer_section,      &external_section, &clock_section,
        &team_section,       &objective_section, &worker_section,   &state_section,
        &state_next_section, &cloud_section,     &limit_section,    NULL,
    };
    for (size_t i = 0; sections[i]; i++) tw_section_describe(sections[i], out);
}

/* ---- lists ---- */

/* Returns the list item after the previous one, or the first item if previous is NULL. Returns NULL
 * at the end of the list and after an error. */
static const cJSON *next_item(const tw_setting_error *error, const cJSON *list,
                              const cJSON *previous) {
    if (!list || error->failed) return NULL;
    return previous ? previous->next : list->child;
}

static size_t list_length(const cJSON *list) { return list ? (size_t)cJSON_GetArraySize(list) : 0; }

static void read_peers(tw_setting_error *error, tw_config *config, const cJSON *root) {
    const cJSON *list = tw_setting_get_list(error, root, "", "known");
    const cJSON *item = NULL;
    config->peers = tw_setting_alloc(list_length(list), sizeof *config->peers);
    while ((item = next_item(error, list, item))) {
        tw_config_peer *peer = &config->peers[config->peer_count++];
        tw_section_read(error, &peer_section, item, peer);
        if (!strcmp(peer->name, config->host_name))
            tw_setting_set_error(error, "setting known names this host itself");
    }
}

static void read_zones(tw_setting_error *error, tw_config *config, const cJSON *settings) {
    const cJSON *list = tw_setting_get_list(error, settings, "settings.", "zones");
    const cJSON *item = NULL;
    config->zones = tw_setting_alloc(list_length(list), sizeof *config->zones);
    while ((item = next_item(error, list, item))) {
        if (tw_setting_is_valid_name(item))
            strcpy(config->zones[config->zone_count++], item->valuestring);
        else
            tw_setting_set_error(error, "setting settings.zones must hold names");
    }
}

static void check_team(tw_setting_error *error, const tw_config *config,
                       const tw_config_team *team) {
    if ((team->cpus_max > 0 && team->cpus > team->cpus_max) ||
        (team->gpus_max > 0 && team->gpus > team->gpus_max))
        tw_setting_set_error(
            error, "setting settings.teams: %s is guaranteed more than its maximum", team->name);
    for (const tw_config_team *other = config->teams; other < team; other++)
        if (!strcmp(other->name, team->name))
            tw_setting_set_error(error, "setting settings.teams names %s twice", team->name);
}

static void read_teams(tw_setting_error *error, tw_config *config, const cJSON *settings) {
    const cJSON *list = tw_setting_get_list(error, settings, "settings.", "teams");
    const cJSON *item = NULL;
    config->teams = tw_setting_alloc(list_length(list), sizeof *config->teams);
    while ((item = next_item(error, list, item))) {
        tw_config_team *team = &config->teams[config->team_count++];
        tw_section_read(error, &team_section, item, team);
        team->share = 1;
        check_team(error, config, team);
    }
}

static void read_objectives(tw_setting_error *error, tw_config *config, const cJSON *settings) {
    const cJSON *list = tw_setting_get_list(error, settings, "settings.", "objectives");
    const cJSON *item = NULL;
    config->objectives = tw_setting_alloc(list_length(list), sizeof *config->objectives);
    while ((item = next_item(error, list, item)))
        tw_section_read(error, &objective_section, item,
                        &config->objectives[config->objective_count++]);
}

/* ---- the settings file ---- */

static void read_table(tw_setting_error *error, const tw_section *section, tw_config *config,
                       const cJSON *settings, const char *key) {
    const cJSON *table = tw_setting_get_table(error, settings, "settings.", key);
    tw_section_read(error, section, table, config);
}

static double smaller_limit(double now, double next) { return next > 0 && next < now ? next : now; }

/* Reads the current and the announced limits of the state service, and sets each limit that the
 * program observes to the smaller of the two. Any announced limit may be missing. */
static void read_state(tw_setting_error *error, tw_config *config, const cJSON *settings) {
    const cJSON *table = tw_setting_get_table(error, settings, "settings.", "state");
    const cJSON *announced = cJSON_GetObjectItemCaseSensitive(table, "next");
    tw_section_read(error, &state_section, table, &config->state_now);
    tw_section_set_defaults(&state_next_section, &config->state_next);
    if (announced) {
        const cJSON *next = tw_setting_get_table(error, table, "settings.state.", "next");
        tw_section_read(error, &state_next_section, next, &config->state_next);
    }
    const tw_config_state_limits *now = &config->state_now;
    const tw_config_state_limits *next = &config->state_next;
    config->state_rps = smaller_limit(now->rps, next->rps);
    config->state_write_rps = smaller_limit(now->write_rps, next->write_rps);
    config->state_value_kb = smaller_limit(now->value_kb, next->value_kb);
    config->state_txn_ops = (int)smaller_limit(now->txn_ops, next->txn_ops);
}

/* Sets gang_wait_s and gang_peer_s to their defaults if the settings file does not set them. */
static void derive_gang_times(tw_config *config) {
    if (config->gang_wait_s <= 0) config->gang_wait_s = GANG_WAIT_LEASES * config->lease_s;
    if (config->gang_peer_s <= 0) config->gang_peer_s = GANG_PEER_LEASES * config->lease_s;
}

static void read_settings(tw_setting_error *error, tw_config *config, const cJSON *settings) {
    read_zones(error, config, settings);
    tw_section_read(error, &clock_section, settings, config);
    read_teams(error, config, settings);
    read_objectives(error, config, settings);
    read_table(error, &worker_section, config, settings, "workers");
    if (config->lease_s < MIN_HEARTBEATS_PER_LEASE * config->report_s)
        tw_setting_set_error(error,
                             "setting settings.workers.lease_s must be at least twice report_s");
    derive_gang_times(config);
    read_state(error, config, settings);
    read_table(error, &cloud_section, config, settings, "cloud");
    read_table(error, &limit_section, config, settings, "limits");
}

static void read_config(tw_setting_error *error, tw_config *config, const cJSON *root) {
    tw_section_read(error, &node_section, root, config);
    read_peers(error, config, root);
    const cJSON *external = tw_setting_get_table(error, root, "", "external");
    tw_section_read(error, &external_section, external, config);
    const cJSON *settings = tw_setting_get_table(error, root, "", "settings");
    if (!error->failed) read_settings(error, config, settings);
}

/* Parses the text into a tree, which the caller deletes. Returns NULL and sets the error if the
 * text is not valid TOML. */
static cJSON *parse_toml(tw_setting_error *error, const char *text) {
    char parser_error[PARSER_ERROR_SIZE] = "";
    cJSON *root = tw_config_toml_parse(text, parser_error, sizeof parser_error);
    if (!root) tw_setting_set_error(error, "settings file is not valid TOML: %s", parser_error);
    return root;
}

tw_config_error tw_config_parse(tw_config *config, const char *text, char *message,
                                size_t message_size) {
    tw_setting_error error = {message, message_size, false};
    memset(config, 0, sizeof *config);
    tw_config_set_default_tuning(&config->tune);
    cJSON *root = parse_toml(&error, text);
    if (!root) return TW_CONFIG_INVALID;
    read_config(&error, config, root);
    cJSON_Delete(root);
    if (error.failed) tw_config_free(config);
    return error.failed ? TW_CONFIG_INVALID : TW_CONFIG_OK;
}

/* Returns the file's text, which the caller frees. Returns NULL and writes an error message if the
 * file can't be read. */
static char *read_file(const char *path, char *message, size_t message_size) {
    FILE *file = fopen(path, "rb");
    if (!file) {
        snprintf(message, message_size, "can't read settings file %s: %s", path, strerror(errno));
        return NULL;
    }
    char *text = tw_setting_alloc(MAX_FILE_BYTES + 1, 1);
    const size_t length = fread(text, 1, MAX_FILE_BYTES, file);
    const bool complete = !ferror(file) && feof(file);
    fclose(file);
    text[length] = 0;
    if (complete) return text;
    snprintf(message, message_size, "can't read settings file %s (or it is over 1 MiB)", path);
    free(text);
    return NULL;
}

tw_config_error tw_config_load(tw_config *config, const char *path, char *message,
                               size_t message_size) {
    char *text = read_file(path, message, message_size);
    if (!text) return TW_CONFIG_UNREADABLE;
    const tw_config_error result = tw_config_parse(config, text, message, message_size);
    free(text);
    return result;
}

void tw_config_free(tw_config *config) {
    free(config->peers);
    free(config->zones);
    free(config->teams);
    free(config->objectives);
    memset(config, 0, sizeof *config);
}
