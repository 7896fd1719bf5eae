/* traywallctl: a command-line client that shows and changes the shards of a fleet.
 *
 * Exit codes: 0 done; 1 refused (the verdict is printed); 2 no daemon is reachable; 3 no daemon
 * answered in time, and the command can be repeated with the same key; 64 usage. */
#include "client.h"
#include "print.h"
#include <argp.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_ARGUMENTS 8
#define MAX_MACHINES 1000
#define TIMEOUT_S 10.0
#define WATCH_TIMEOUT_S 3600.0
#define DECIMAL 10
enum { EXIT_REFUSED = 1, EXIT_UNREACHABLE, EXIT_UNAVAILABLE, EXIT_USAGE = 64 };
enum { OPT_SERVER = 's', OPT_OUTPUT = 'o', OPT_MACHINE = 'm', OPT_IMAGE = 'i' };
enum { OPT_REVISION = 'r', OPT_SPREAD = 'p', OPT_WAIT = 'w', OPT_TIMEOUT = 't' };

const char *argp_program_version = "traywallctl " TW_VERSION;

typedef struct {
    tw_ctl_servers servers;
    int json, spread, wait;
    const char *image;
    uint64_t revision;
    char machines[MAX_MACHINES][TW_SHARDS_NAME];
    int machine_count;
    const char *arguments[MAX_ARGUMENTS];
    int argument_count;
} tw_ctl_options;

static const struct argp_option argp_options[] = {
    {"server", OPT_SERVER, "IP:PORT", 0,
     "control address of a daemon (default 127.0.0.1:7070); may be repeated, or separated by "
     "commas",
     0},
    {"timeout", OPT_TIMEOUT, "SECONDS", 0, "time limit of a command (default 10)", 0},
    {"output", OPT_OUTPUT, "text|json", 0, "output format", 0},
    {"machine", OPT_MACHINE, "NAME", 0, "move: move this machine (may be repeated)", 0},
    {"image", OPT_IMAGE, "NAME", 0, "move: prefer machines that hold this image", 0},
    {"revision", OPT_REVISION, "N", 0,
     "move: refuse if the shares have changed since this revision", 0},
    {"spread", OPT_SPREAD, NULL, 0, "define: keep a machine in each zone", 0},
    {"wait", OPT_WAIT, NULL, 0, "move, cancel: wait until the move is complete", 0},
    {NULL, 0, NULL, 0, NULL, 0}};

static void add_machine(struct argp_state *state, tw_ctl_options *options, const char *name) {
    if (options->machine_count == MAX_MACHINES) argp_error(state, "too many machines");
    if (strlen(name) >= TW_SHARDS_NAME) argp_error(state, "name too long: %s", name);
    snprintf(options->machines[options->machine_count++], TW_SHARDS_NAME, "%s", name);
}

static error_t parse_option(int key, char *text, struct argp_state *state) {
    tw_ctl_options *options = state->input;
    switch (key) {
    case OPT_SERVER:
        if (tw_ctl_add_servers(&options->servers, text))
            argp_error(state, "invalid server addresses: %s", text);
        break;
    case OPT_TIMEOUT:
        options->servers.timeout_s = strtod(text, NULL);
        if (!(options->servers.timeout_s > 0)) argp_error(state, "invalid timeout: %s", text);
        break;
    case OPT_OUTPUT:
        options->json = !strcmp(text, "json");
        if (!options->json && strcmp(text, "text") != 0)
            argp_error(state, "unknown output format: %s", text);
        break;
    case OPT_MACHINE:
        add_machine(state, options, text);
        break;
    case OPT_IMAGE:
        options->image = text;
        break;
    case OPT_REVISION:
        options->revision = strtoull(text, NULL, DECIMAL);
        break;
    case OPT_SPREAD:
        options->spread = 1;
        break;
    case OPT_WAIT:
        options->wait = 1;
        break;
    case ARGP_KEY_ARG:
        if (options->argument_count == MAX_ARGUMENTS) argp_error(state, "too many arguments");
        if (strlen(text) >= TW_SHARDS_NAME) argp_error(state, "name too long: %s", text);
        options->arguments[options->argument_count++] = text;
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

/* ---- calls ---- */

static int exit_code(tw_rpc_status status, const tw_rpc_answer *answer) {
    if (status == TW_RPC_UNREACHABLE) fprintf(stderr, "daemon not reachable\n");
    if (status == TW_RPC_UNAVAILABLE) fprintf(stderr, "no answer in time: try again\n");
    if (status == TW_RPC_UNREACHABLE) return EXIT_UNREACHABLE;
    if (status == TW_RPC_UNAVAILABLE) return EXIT_UNAVAILABLE;
    return answer->verdict == TW_SHARDS_OK ? EXIT_SUCCESS : EXIT_REFUSED;
}

static int show_shards(const tw_ctl_options *options, bool machines) {
    const tw_rpc_call call = {.method = TW_RPC_SHOW, .show_machines = machines};
    tw_rpc_answer answer = {0};
    char server[TW_RPC_ADDRESS_SIZE];
    const tw_rpc_status status = tw_ctl_call_leader(&options->servers, &call, &answer, server);
    if (status == TW_RPC_OK && answer.verdict != TW_SHARDS_OK)
        tw_ctl_print_change(options->json, &answer);
    else if (status == TW_RPC_OK && options->json)
        tw_ctl_print_shards_json(&answer);
    else if (status == TW_RPC_OK)
        tw_ctl_print_shards_text(&answer);
    const int code = exit_code(status, &answer);
    tw_rpc_answer_free(&answer);
    return code;
}

typedef struct {
    const tw_ctl_options *options;
    tw_rpc_answer last;
} watch_context;

static int on_watch_answer(void *context, const tw_rpc_answer *answer) {
    watch_context *watch = context;
    watch->last = *answer;
    if (answer->verdict != TW_SHARDS_NOT_LEADER) tw_ctl_print_change(watch->options->json, answer);
    return 0;
}

/* Returns true if the watch ended because the daemon failed or is no longer the leader, rather than
 * because the move is complete. */
static bool is_watch_interrupted(tw_rpc_status status, const tw_rpc_answer *last) {
    return status != TW_RPC_OK || last->verdict == TW_SHARDS_NOT_LEADER;
}

/* Prints the progress of a move until it is complete. If the watch is interrupted, continues at the
 * current leader. Returns an exit code. */
static int watch_move(const tw_ctl_options *options, const char *first_server, const char *key) {
    tw_rpc_call call = {.method = TW_RPC_CHANGE, .request.kind = TW_SHARDS_WATCH};
    char server[TW_RPC_ADDRESS_SIZE];
    snprintf(call.request.key, sizeof call.request.key, "%s", key);
    snprintf(server, sizeof server, "%s", first_server);
    for (;;) {
        watch_context watch = {.options = options};
        tw_rpc_client *client = tw_rpc_client_new(server);
        tw_rpc_status status =
            tw_rpc_client_watch(client, key, WATCH_TIMEOUT_S, on_watch_answer, &watch);
        tw_rpc_client_free(client);
        if (!is_watch_interrupted(status, &watch.last)) return exit_code(status, &watch.last);
        status = tw_ctl_call_leader(&options->servers, &call, &watch.last, server);
        if (status == TW_RPC_OK && watch.last.verdict == TW_SHARDS_OK) continue;
        if (status == TW_RPC_OK) tw_ctl_print_change(options->json, &watch.last);
        return exit_code(status, &watch.last);
    }
}

static int send_change(const tw_ctl_options *options, const tw_shards_request *request) {
    const tw_rpc_call call = {.method = TW_RPC_CHANGE, .request = *request};
    tw_rpc_answer answer = {0};
    char server[TW_RPC_ADDRESS_SIZE];
    const tw_rpc_status status = tw_ctl_call_leader(&options->servers, &call, &answer, server);
    const bool accepted = status == TW_RPC_OK && answer.verdict == TW_SHARDS_OK;
    const bool waits = request->kind == TW_SHARDS_WATCH || (options->wait && request->key[0]);
    if (accepted && waits) return watch_move(options, server, request->key);
    if (status == TW_RPC_OK) tw_ctl_print_change(options->json, &answer);
    return exit_code(status, &answer);
}

/* ---- standbys ---- */

/* Prints the status of each server given on the command line. */
static int do_standby(tw_ctl_options *options, const char *const *arguments) {
    const tw_rpc_call call = {.method = TW_RPC_STANDBY};
    int code = EXIT_SUCCESS;
    (void)arguments;
    for (int i = 0; i < options->servers.count; i++) {
        const char *address = options->servers.addresses[i];
        tw_rpc_answer answer = {0};
        const tw_rpc_status status = tw_ctl_call_server(&options->servers, address, &call, &answer);
        if (status == TW_RPC_OK && options->json)
            tw_ctl_print_standby_json(&answer, address);
        else if (status == TW_RPC_OK)
            tw_ctl_print_standby_text(&answer, address);
        else
            code = exit_code(status, &answer);
        tw_rpc_answer_free(&answer);
    }
    return code;
}

static int do_promote(tw_ctl_options *options, const char *const *arguments) {
    tw_rpc_call call = {.method = TW_RPC_PROMOTE};
    tw_rpc_answer answer = {0};
    char server[TW_RPC_ADDRESS_SIZE];
    snprintf(call.owner, sizeof call.owner, "%s", arguments[1]);
    const tw_rpc_status status = tw_ctl_call_leader(&options->servers, &call, &answer, server);
    if (status == TW_RPC_OK) tw_ctl_print_change(options->json, &answer);
    return exit_code(status, &answer);
}

/* ---- commands ---- */

static void copy_name(char *to, const char *from) { snprintf(to, TW_SHARDS_NAME, "%s", from); }

static int do_move(tw_ctl_options *options, const char *const *arguments) {
    tw_shards_request request = {.kind = TW_SHARDS_MOVE, .revision = options->revision};
    copy_name(request.key, arguments[1]);
    copy_name(request.shard, arguments[2]);
    copy_name(request.to, arguments[3]);
    if (options->image) copy_name(request.image, options->image);
    request.count = (int)strtol(arguments[4], NULL, DECIMAL);
    request.machines = options->machines;
    request.machine_count = options->machine_count;
    return send_change(options, &request);
}

static int do_watch_or_cancel(tw_ctl_options *options, const char *const *arguments) {
    const bool cancels = !strcmp(arguments[0], "cancel");
    tw_shards_request request = {.kind = cancels ? TW_SHARDS_CANCEL : TW_SHARDS_WATCH};
    copy_name(request.key, arguments[1]);
    return send_change(options, &request);
}

static int do_define(tw_ctl_options *options, const char *const *arguments) {
    tw_shards_request request = {.kind = TW_SHARDS_DEFINE, .spread = options->spread};
    copy_name(request.shard, arguments[1]);
    copy_name(request.owner, arguments[2]);
    request.least = (int)strtol(arguments[3], NULL, DECIMAL);
    return send_change(options, &request);
}

static int do_add(tw_ctl_options *options, const char *const *arguments) {
    tw_shards_request request = {.kind = TW_SHARDS_ADD};
    copy_name(request.machine, arguments[1]);
    copy_name(request.shard, arguments[2]);
    copy_name(request.zone, arguments[3]);
    return send_change(options, &request);
}

static int do_remove(tw_ctl_options *options, const char *const *arguments) {
    tw_shards_request request = {.kind = TW_SHARDS_REMOVE};
    copy_name(request.machine, arguments[1]);
    return send_change(options, &request);
}

static int do_show(tw_ctl_options *options, const char *const *arguments) {
    return show_shards(options, !strcmp(arguments[0], "machines"));
}

static const struct command {
    const char *name;
    int argument_count; /* number of arguments, including the command's name */
    int (*run)(tw_ctl_options *options, const char *const *arguments);
} commands[] = {{"shares", 1, do_show},
                {"machines", 1, do_show},
                {"move", 5, do_move},
                {"watch", 2, do_watch_or_cancel},
                {"cancel", 2, do_watch_or_cancel},
                {"define", 4, do_define},
                {"add", 4, do_add},
                {"remove", 2, do_remove},
                {"standby", 1, do_standby},
                {"promote", 2, do_promote}};

static const char doc[] =
    "Shows and changes the shares of a fleet.\v"
    "  shares                          prints each share, its owner and its machines by state\n"
    "  machines                        prints the shares and each machine\n"
    "  define SHARE OWNER LEAST        creates a share, or changes its owner or minimum size\n"
    "  add MACHINE SHARE ZONE          adds a machine (IP:PORT) to a share\n"
    "  remove MACHINE                  removes a machine\n"
    "  move KEY FROM TO COUNT          moves machines; KEY is any name not used for another move\n"
    "  watch KEY                       prints the progress of a move until it is complete\n"
    "  cancel KEY                      cancels a move: machines not yet taken are returned\n"
    "  standby                         prints whether each --server is active, and its lag\n"
    "  promote NODE                    hands leadership over to a standby\n\n"
    "Exit codes: 0 done, 1 refused, 2 no daemon reachable, 3 no answer in time, 64 usage error.";

int main(int count, char **arguments) {
    static const struct argp argp = {
        .options = argp_options, .parser = parse_option, .args_doc = "COMMAND ...", .doc = doc};
    static tw_ctl_options chosen = {.servers = {.timeout_s = TIMEOUT_S}};
    argp_parse(&argp, count, arguments, 0, NULL, &chosen);
    if (!chosen.servers.count) tw_ctl_add_servers(&chosen.servers, "127.0.0.1:7070");
    for (size_t i = 0; i < sizeof commands / sizeof *commands; i++) {
        const struct command *command = &commands[i];
        if (!chosen.argument_count || strcmp(chosen.arguments[0], command->name) != 0) continue;
        if (chosen.argument_count != command->argument_count) break;
        return command->run(&chosen, chosen.arguments);
    }
    fprintf(stderr, "traywallctl: unknown command, or wrong number of arguments; see --help\n");
    return EXIT_USAGE;
}
