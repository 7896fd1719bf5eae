/* traywalld: parses the command line and runs the daemon. */
#include "daemon/daemon.h"
#include "log/log.h"
#include <argp.h>
#include <stdlib.h>

enum { EXIT_LISTEN = 3 };
enum { OPT_NAME = 'n', OPT_STATE = 's', OPT_CONTROL = 'c', OPT_LEASE = 'l' };
enum { OPT_DRAIN = 'd', OPT_GRACE = 'g', OPT_RATE = 'w', OPT_VALUE = 'v', OPT_OPS = 'o' };

#define KB 1024
#define MIN_TXN_OPS 4
#define MIN_LEASE_S 0.5
#define MIN_GRACE_S 0.1
#define DEFAULT_LEASE_S 3
#define DEFAULT_DRAIN_S 30
#define DEFAULT_GRACE_S 4
#define DEFAULT_VALUE_KB 8
#define DEFAULT_TXN_OPS 12
#define DEFAULT_WRITE_RPS 10
#define RETRIES_PER_GRACE 4.0 /* repetitions of an unanswered command or message within grace_s */

const char *argp_program_version = "traywalld " TW_VERSION;

static const struct argp_option options[] = {
    {"name", OPT_NAME, "NAME", 0, "name of this node, by which shares refer to their owner", 0},
    {"state", OPT_STATE, "IP:PORT", 0, "address of the state service", 0},
    {"control", OPT_CONTROL, "IP:PORT", 0, "address on which the control interface listens", 0},
    {"lease", OPT_LEASE, "SECONDS", 0, "time to live of the leader's lease (default 3)", 0},
    {"drain", OPT_DRAIN, "SECONDS", 0, "time limit of a drain (default 30)", 0},
    {"grace", OPT_GRACE, "SECONDS", 0,
     "time after which a silent owner is no longer waited for (default 4)", 0},
    {"write-rps", OPT_RATE, "N", 0, "maximum changes written per second (default 10)", 0},
    {"value-kb", OPT_VALUE, "N", 0, "maximum value size of the state service, in KB (default 8)",
     0},
    {"txn-ops", OPT_OPS, "N", 0, "maximum changes per transaction (default 12)", 0},
    {NULL, 0, NULL, 0, NULL, 0}};

static double parse_number(struct argp_state *state, const char *text, double minimum) {
    char *rest;
    const double value = strtod(text, &rest);
    if (rest == text || *rest || !(value >= minimum))
        argp_error(state, "not a number, or below the minimum of the option: %s", text);
    return value;
}

static error_t parse_option(int key, char *text, struct argp_state *state) {
    tw_daemon_settings *settings = state->input;
    switch (key) {
    case OPT_NAME:
        settings->name = text;
        break;
    case OPT_STATE:
        settings->state = text;
        break;
    case OPT_CONTROL:
        settings->control = text;
        break;
    case OPT_LEASE:
        settings->lease_s = parse_number(state, text, MIN_LEASE_S);
        break;
    case OPT_DRAIN:
        settings->shards.drain_s = parse_number(state, text, 0);
        break;
    case OPT_GRACE:
        settings->shards.grace_s = parse_number(state, text, MIN_GRACE_S);
        break;
    case OPT_RATE:
        settings->shards.write_rps = parse_number(state, text, 1);
        break;
    case OPT_VALUE:
        settings->shards.value_bytes = (size_t)parse_number(state, text, 1) * KB;
        break;
    case OPT_OPS:
        settings->shards.txn_ops = (int)parse_number(state, text, MIN_TXN_OPS);
        break;
    case ARGP_KEY_END:
        if (!settings->name || !settings->state || !settings->control)
            argp_error(state, "--name, --state and --control are required");
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

int main(int count, char **arguments) {
    static const struct argp argp = {.options = options,
                                     .parser = parse_option,
                                     .doc = "Manages the shares of a fleet. LOG_LEVEL: error, info "
                                            "or debug."};
    tw_daemon_settings settings = {.lease_s = DEFAULT_LEASE_S,
                                   .shards = {.drain_s = DEFAULT_DRAIN_S,
                                              .grace_s = DEFAULT_GRACE_S,
                                              .value_bytes = DEFAULT_VALUE_KB * (size_t)KB,
                                              .txn_ops = DEFAULT_TXN_OPS,
                                              .write_rps = DEFAULT_WRITE_RPS}};
    argp_parse(&argp, count, arguments, 0, NULL, &settings);
    settings.shards.retry_s = settings.shards.grace_s / RETRIES_PER_GRACE;
    const char *level = getenv("LOG_LEVEL");
    tw_log_init(level ? level : "info", settings.name);
    if (!tw_daemon_run(&settings)) return 0;
    tw_log_error("event=listen_failed control=%s", settings.control);
    return EXIT_LISTEN;
}
