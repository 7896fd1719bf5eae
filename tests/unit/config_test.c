/* Prints the result of parsing valid and invalid settings, for comparison with config_golden.txt:
 * the platform's settings file unchanged, with each line removed, and with each value replaced; and
 * the operators' file with each key at values inside and outside its range. With --describe, prints
 * the rows of the tables in docs/operations.md. */
#include "outcome.h"
#include "config/config.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TEXT_SIZE 4096
#define X20 "xxxxxxxxxxxxxxxxxxxx"

static const char *const good[] = {
    "host_name = \"node-0\"",
    "location = \"a\"",
    "api_addr = \"127.0.0.1:18080\"",
    "peer_bind = \"127.0.0.1:18081\"",
    "[[known]]",
    "host_name = \"node-1\"",
    "location = \"b\"",
    "endpoint = \"127.0.0.1:18082\"",
    "[[known]]",
    "host_name = \"node-2\"",
    "location = \"a\"",
    "endpoint = \"127.0.0.1:18083\"",
    "[external]",
    "cloud = \"127.0.0.1:18090\"",
    "state = \"127.0.0.1:18091\"",
    "[settings]",
    "zones = [\"a\", \"b\"]",
    "time_bound_ms = 5.0",
    "[[settings.teams]]",
    "name = \"vision\"",
    "cpus = 1.0",
    "cpus_max = 16.0",
    "gpus = 2.5",
    "gpus_max = 8.0",
    "[[settings.teams]]",
    "name = \"speech\"",
    "[[settings.objectives]]",
    "kind = \"wait\"",
    "class = \"train\"",
    "within_s = 35.0",
    "share = 0.82",
    "times = 1.5",
    "[[settings.objectives]]",
    "kind = \"guarantee\"",
    "[settings.workers]",
    "report_s = 1.0",
    "lease_s = 8.0",
    "cancel_s = 20.0",
    "gang_wait_s = 30.0",
    "gang_peer_s = 3.0",
    "[settings.state]",
    "rps = 60.0",
    "write_rps = 20.0",
    "value_kb = 8.0",
    "txn_ops = 12",
    "[settings.state.next]",
    "rps = 50.0",
    "write_rps = 15.0",
    "value_kb = 2.0",
    "txn_ops = 4",
    "[settings.cloud]",
    "rps = 5.0",
    "list_lag_s = 2.0",
    "[settings.limits]",
    "cpu_share = 0.1",
    "mem_mb = 56.0",
    "sockets = 600",
};
static const size_t good_count = sizeof good / sizeof *good;

static const char *const values[] = {
    "-1",
    "0",
    "0.001",
    "0.5",
    "1",
    "1.5",
    "7.9",
    "11",
    "32",
    "5000",
    "1e6",
    "2e6",
    "1e10",
    "inf",
    "nan",
    "true",
    "\"\"",
    "\"x\"",
    "\"speech\"",
    "\"node-0\"",
    "\"10.0.0.1:0\"",
    "\"10.0.0.1:65535\"",
    "\"10.0.0.1:65536\"",
    "\":80\"",
    "\"" X20 X20 X20 "xxx\"",
    "\"" X20 X20 X20 "xxxx\"",
    "[]",
    "[1]",
    "[\"x\", \"\"]",
    "{}",
    "{ rps = 5.0 }",
    "[{}]",
    "=",
};
static const size_t value_count = sizeof values / sizeof *values;

static const char *const operators_keys[] = {
    "election_ratio", "hold_ratio", "margin_ratio", "drift",       "ema",         "recheck_ratio",
    "headroom",       "idle_ratio", "silent_ratio", "write_share", "unknown_key", "shares",
};
static const size_t operators_key_count = sizeof operators_keys / sizeof *operators_keys;

static const char *const operators_values[] = {
    "-1",
    "0",
    "0.0001",
    "0.0005",
    "0.01",
    "0.05",
    "0.1",
    "0.3",
    "0.5",
    "1",
    "2",
    "100",
    "1000",
    "1001",
    "inf",
    "x",
    "1x",
    "",
    "[1]",
    "{vision: 2, speech: 0.5}",
    "{vision: 0}",
    "{vision: x}",
    "{nobody: 1}",
    "{[1]: 2}",
    "{vision: 1001}",
};
static const size_t operators_value_count = sizeof operators_values / sizeof *operators_values;

static void dump_lists(FILE *out, const tw_config *conf) {
    for (size_t i = 0; i < conf->peer_count; i++)
        fprintf(out, " peer=%s,%s,%s", conf->peers[i].name, conf->peers[i].zone,
                conf->peers[i].addr);
    for (size_t i = 0; i < conf->zone_count; i++) fprintf(out, " zone=%s", conf->zones[i]);
    for (size_t i = 0; i < conf->team_count; i++) {
        const tw_config_team *team = &conf->teams[i];
        fprintf(out, " team=%s,%g,%g,%g,%g,%g", team->name, team->cpus, team->cpus_max, team->gpus,
                team->gpus_max, team->share);
    }
    for (size_t i = 0; i < conf->objective_count; i++) {
        const tw_config_objective *objective = &conf->objectives[i];
        fprintf(out, " objective=%s,%s,%g,%g,%g", objective->kind, objective->cls,
                objective->within_s, objective->share, objective->times);
    }
}

static void dump_limits(FILE *out, const char *name, const tw_config_state_limits *limits) {
    fprintf(out, " %s=%g,%g,%g,%d", name, limits->rps, limits->write_rps, limits->value_kb,
            limits->txn_ops);
}

static void dump_config(FILE *out, const tw_config *conf) {
    const tw_config_tuning *tune = &conf->tune;
    fprintf(out, "%s %s %s %s %s %s", conf->host_name, conf->location, conf->api_addr,
            conf->peer_bind, conf->cloud, conf->state);
    dump_lists(out, conf);
    fprintf(out, " bound=%g report=%g lease=%g cancel=%g gang=%g,%g", conf->time_bound_ms,
            conf->report_s, conf->lease_s, conf->cancel_s, conf->gang_wait_s, conf->gang_peer_s);
    dump_limits(out, "now", &conf->state_now);
    dump_limits(out, "next", &conf->state_next);
    fprintf(out, " state=%g,%g,%g,%d cloud=%g,%g limits=%g,%g,%d", conf->state_rps,
            conf->state_write_rps, conf->state_value_kb, conf->state_txn_ops, conf->cloud_rps,
            conf->list_lag_s, conf->cpu_share, conf->mem_mb, conf->sockets);
    fprintf(out, " tune=%g,%g,%g,%g,%g,%g,%g,%g,%g,%g", tune->election_ratio, tune->hold_ratio,
            tune->margin_ratio, tune->drift, tune->ema, tune->recheck_ratio, tune->headroom,
            tune->idle_ratio, tune->silent_ratio, tune->write_share);
}

/* Joins the valid lines. The line with the index skipped_line is replaced, or left out if
 * replacement is NULL. */
static void join_lines(char *text, size_t skipped_line, const char *replacement) {
    size_t length = 0;
    for (size_t i = 0; i < good_count; i++) {
        const char *line = i == skipped_line ? replacement : good[i];
        if (line) length += (size_t)snprintf(text + length, TEXT_SIZE - length, "%s\n", line);
    }
}

static char *platform_outcome(const char *text) {
    char *outcome = NULL;
    size_t size = 0;
    FILE *out = open_memstream(&outcome, &size);
    char why[400] = "";
    tw_config conf;
    if (!out) abort();
    if (tw_config_parse(&conf, text, why, sizeof why)) {
        fprintf(out, "%s", why);
    } else {
        dump_config(out, &conf);
        tw_config_free(&conf);
    }
    fclose(out);
    return outcome;
}

static void vary_line(size_t line, const char *baseline) {
    char text[TEXT_SIZE];
    char changed[TEXT_SIZE];
    const char *equals = strstr(good[line], " = ");
    join_lines(text, line, NULL);
    tw_test_outcome_add("", "(out)", platform_outcome(text), baseline);
    for (size_t i = 0; equals && i < value_count; i++) {
        snprintf(changed, sizeof changed, "%.*s = %s", (int)(equals - good[line]), good[line],
                 values[i]);
        join_lines(text, line, changed);
        tw_test_outcome_add("", values[i], platform_outcome(text), baseline);
    }
    tw_test_outcome_finish(baseline);
}

/* Returns the outcome of loading an operators' file with this text on top of the valid settings.
 * Free it. */
static char *operators_outcome(const char *path, const char *text) {
    char *outcome = NULL;
    size_t size = 0;
    FILE *out = open_memstream(&outcome, &size);
    char platform[TEXT_SIZE];
    char why[400] = "";
    tw_config conf;
    FILE *file = fopen(path, "w");
    if (!out || !file) abort();
    fputs(text, file);
    fclose(file);
    join_lines(platform, good_count, NULL);
    if (tw_config_parse(&conf, platform, why, sizeof why)) abort();
    if (tw_config_load_yaml(&conf, path, why, sizeof why)) {
        const char *name = strstr(why, path); /* the path differs between runs */
        fprintf(out, "%s", name ? name + strlen(path) : why);
    } else {
        dump_config(out, &conf);
    }
    tw_config_free(&conf);
    fclose(out);
    return outcome;
}

static void vary_operators(const char *path, const char *baseline) {
    char text[TEXT_SIZE];
    for (size_t i = 0; i < operators_key_count; i++) {
        printf("operators %s\n", operators_keys[i]);
        for (size_t k = 0; k < operators_value_count; k++) {
            snprintf(text, sizeof text, "%s: %s\n", operators_keys[i], operators_values[k]);
            tw_test_outcome_add("", operators_values[k], operators_outcome(path, text), baseline);
        }
        tw_test_outcome_finish(baseline);
    }
    tw_test_outcome_add("", "(empty)", operators_outcome(path, ""), baseline);
    tw_test_outcome_add("", "[1]", operators_outcome(path, "[1]\n"), baseline);
    tw_test_outcome_add("", "headroom: {", operators_outcome(path, "headroom: {\n"), baseline);
    tw_test_outcome_add("", "two keys", operators_outcome(path, "headroom: 3\nema: 0.5\n"),
                        baseline);
    tw_test_outcome_add("", "two keys, the first is bad",
                        operators_outcome(path, "headroom: -3\nema: 7\n"), baseline);
    tw_test_outcome_finish(baseline);
}

int main(int argc, char **argv) {
    if (argc > 1 && !strcmp(argv[1], "--describe")) {
        tw_config_describe(stdout);
        tw_config_describe_tuning(stdout);
        return 0;
    }
    char text[TEXT_SIZE];
    char path[] = "/tmp/tw_config_test_XXXXXX";
    join_lines(text, good_count, NULL);
    char *baseline = platform_outcome(text);
    tw_test_outcome_add("", "good", platform_outcome(text), "");
    tw_test_outcome_finish("");
    for (size_t i = 0; i < good_count; i++) {
        printf("line %zu %s\n", i, good[i]);
        vary_line(i, baseline);
    }
    int file = mkstemp(path);
    if (file < 0) return 2;
    close(file);
    vary_operators(path, baseline);
    unlink(path);
    free(baseline);
    return 0;
}
