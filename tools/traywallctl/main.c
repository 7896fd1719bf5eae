/* traywallctl: asks a daemon for its shards, and changes them.
 *
 * Exit codes: 0 done, 1 refused (the verdict is printed), 2 nobody answers, 3 no daemon could
 * answer in time: ask again with the same key; 64 usage. */
#include "ask.h"
#include "print.h"
#include <argp.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MOST_ARGUMENTS 8
#define TW_WORLD_MOST_MACHINES 1000
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
    char machines[TW_WORLD_MOST_MACHINES][TW_SHARDS_NAME];
    int machine_count;
    const char *arguments[MOST_ARGUMENTS];
    int argument_count;
} tw_ctl_options;

static const struct argp_option argp_options[] = {
    {"server", OPT_SERVER, "IP:PORT", 0,
     "control address of a daemon (default 127.0.0.1:7070); may be repeated, or several with "
     "commas",
     0},
    {"timeout", OPT_TIMEOUT, "SECONDS", 0, "until an answer must be there (default 10)", 0},
    {"output", OPT_OUTPUT, "text|json", 0, "form of the answer", 0},
    {"machine", OPT_MACHINE, "NAME", 0, "move: this machine (may be repeated)", 0},
    {"image", OPT_IMAGE, "NAME", 0, "move: machines that hold it first", 0},
    {"revision", OPT_REVISION, "N", 0, "move: only if the shares are still as of this revision", 0},
    {"spread", OPT_SPREAD, NULL, 0, "define: keep a machine in each zone", 0},
    {"wait", OPT_WAIT, NULL, 0, "move, cancel: until the move is over", 0},
    {NULL, 0, NULL, 0, NULL, 0}};

static void add_machine(struct argp_state *state, tw_ctl_options *chosen, const char *name) {
    if (chosen->machine_count == TW_WORLD_MOST_MACHINES) argp_error(state, "too many machines");
    if (strlen(name) >= TW_SHARDS_NAME) argp_error(state, "name too long: %s", name);
    snprintf(chosen->machines[chosen->machine_count++], TW_SHARDS_NAME, "%s", name);
}

static error_t parse(int key, char *text, struct argp_state *state) {
    tw_ctl_options *chosen = state->input;
    switch (key) {
    case OPT_SERVER:
        if (tw_ctl_add_servers(&chosen->servers, text))
            argp_error(state, "no such servers: %s", text);
        break;
    case OPT_TIMEOUT:
        chosen->servers.timeout_s = strtod(text, NULL);
        if (!(chosen->servers.timeout_s > 0)) argp_error(state, "not a time: %s", text);
        break;
    case OPT_OUTPUT:
        chosen->json = !strcmp(text, "json");
        if (!chosen->json && strcmp(text, "text") != 0) argp_error(state, "no such form: %s", text);
        break;
    case OPT_MACHINE:
        add_machine(state, chosen, text);
        break;
    case OPT_IMAGE:
        chosen->image = text;
        break;
    case OPT_REVISION:
        chosen->revision = strtoull(text, NULL, DECIMAL);
        break;
    case OPT_SPREAD:
        chosen->spread = 1;
        break;
    case OPT_WAIT:
        chosen->wait = 1;
        break;
    case ARGP_KEY_ARG:
        if (chosen->argument_count == MOST_ARGUMENTS) argp_error(state, "too many arguments");
        if (strlen(text) >= TW_SHARDS_NAME) argp_error(state, "name too long: %s", text);
        chosen->arguments[chosen->argument_count++] = text;
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

/* ---- calls ---- */

static int exit_code(tw_rpc_status status, const tw_rpc_answer *answer) {
    if (status == TW_RPC_UNREACHABLE) fprintf(stderr, "nobody answers there\n");
    if (status == TW_RPC_UNAVAILABLE) fprintf(stderr, "no answer in time: ask again\n");
    if (status == TW_RPC_UNREACHABLE) return EXIT_UNREACHABLE;
    if (status == TW_RPC_UNAVAILABLE) return EXIT_UNAVAILABLE;
    return answer->verdict == TW_SHARDS_OK ? EXIT_SUCCESS : EXIT_REFUSED;
}

static int show(const tw_ctl_options *chosen, bool machines) {
    const tw_rpc_call call = {.method = TW_RPC_SHOW, .show_machines = machines};
    tw_rpc_answer answer = {0};
    char asked[TW_RPC_ADDRESS_SIZE];
    const tw_rpc_status status = tw_ctl_ask_leader(&chosen->servers, &call, &answer, asked);
    if (status == TW_RPC_OK && answer.verdict != TW_SHARDS_OK)
        tw_ctl_print_change(chosen->json, &answer);
    else if (status == TW_RPC_OK && chosen->json)
        tw_ctl_print_shards_json(&answer);
    else if (status == TW_RPC_OK)
        tw_ctl_print_shards_text(&answer);
    const int code = exit_code(status, &answer);
    tw_rpc_answer_free(&answer);
    return code;
}

typedef struct {
    const tw_ctl_options *chosen;
    tw_rpc_answer last;
} watching;

static int watched(void *context, const tw_rpc_answer *answer) {
    watching *watch = context;
    watch->last = *answer;
    if (answer->verdict != TW_SHARDS_NOT_LEADER) tw_ctl_print_change(watch->chosen->json, answer);
    return 0;
}

/* Whether the watch ended because its daemon did, or gave way, and not because the move is over. */
static bool interrupted(tw_rpc_status status, const tw_rpc_answer *last) {
    return status != TW_RPC_OK || last->verdict == TW_SHARDS_NOT_LEADER;
}

/* Goes on at the daemon that leads now, as long as one is found within the time limit. */
static int follow_move(const tw_ctl_options *chosen, const char *server, const char *key) {
    tw_rpc_call call = {.method = TW_RPC_CHANGE, .request.kind = TW_SHARDS_WATCH};
    char asked[TW_RPC_ADDRESS_SIZE];
    snprintf(call.request.key, sizeof call.request.key, "%s", key);
    snprintf(asked, sizeof asked, "%s", server);
    for (;;) {
        watching watch = {.chosen = chosen};
        tw_rpc_client *client = tw_rpc_client_new(asked);
        tw_rpc_status status = tw_rpc_client_watch(client, key, WATCH_TIMEOUT_S, watched, &watch);
        tw_rpc_client_free(client);
        if (!interrupted(status, &watch.last)) return exit_code(status, &watch.last);
        status = tw_ctl_ask_leader(&chosen->servers, &call, &watch.last, asked);
        if (status == TW_RPC_OK && watch.last.verdict == TW_SHARDS_OK) continue;
        if (status == TW_RPC_OK) tw_ctl_print_change(chosen->json, &watch.last);
        return exit_code(status, &watch.last);
    }
}

static int change(const tw_ctl_options *chosen, const tw_shards_request *request) {
    const tw_rpc_call call = {.method = TW_RPC_CHANGE, .request = *request};
    tw_rpc_answer answer = {0};
    char asked[TW_RPC_ADDRESS_SIZE];
    const tw_rpc_status status = tw_ctl_ask_leader(&chosen->servers, &call, &answer, asked);
    const bool accepted = status == TW_RPC_OK && answer.verdict == TW_SHARDS_OK;
    const bool waits = request->kind == TW_SHARDS_WATCH || (chosen->wait && request->key[0]);
    if (accepted && waits) return follow_move(chosen, asked, request->key);
    if (status == TW_RPC_OK) tw_ctl_print_change(chosen->json, &answer);
    return exit_code(status, &answer);
}

/* ---- standbys ---- */

/* Each server that was named, for itself. */
static int do_standby(tw_ctl_options *chosen, const char *const *words) {
    const tw_rpc_call call = {.method = TW_RPC_STANDBY};
    int code = EXIT_SUCCESS;
    (void)words;
    for (int i = 0; i < chosen->servers.count; i++) {
        const char *address = chosen->servers.addresses[i];
        tw_rpc_answer answer = {0};
        const tw_rpc_status status = tw_ctl_ask_one(&chosen->servers, address, &call, &answer);
        if (status == TW_RPC_OK && chosen->json)
            tw_ctl_print_standby_json(&answer, address);
        else if (status == TW_RPC_OK)
            tw_ctl_print_standby_text(&answer, address);
        else
            code = exit_code(status, &answer);
        tw_rpc_answer_free(&answer);
    }
    return code;
}

static int do_promote(tw_ctl_options *chosen, const char *const *words) {
    tw_rpc_call call = {.method = TW_RPC_PROMOTE};
    tw_rpc_answer answer = {0};
    char asked[TW_RPC_ADDRESS_SIZE];
    snprintf(call.owner, sizeof call.owner, "%s", words[1]);
    const tw_rpc_status status = tw_ctl_ask_leader(&chosen->servers, &call, &answer, asked);
    if (status == TW_RPC_OK) tw_ctl_print_change(chosen->json, &answer);
    return exit_code(status, &answer);
}

/* ---- commands ---- */

static void copy(char *to, const char *from) { snprintf(to, TW_SHARDS_NAME, "%s", from); }

static int do_move(tw_ctl_options *chosen, const char *const *words) {
    tw_shards_request request = {.kind = TW_SHARDS_MOVE, .revision = chosen->revision};
    copy(request.key, words[1]);
    copy(request.shard, words[2]);
    copy(request.to, words[3]);
    if (chosen->image) copy(request.image, chosen->image);
    request.count = (int)strtol(words[4], NULL, DECIMAL);
    request.machines = chosen->machines;
    request.machine_count = chosen->machine_count;
    return change(chosen, &request);
}

static int do_key(tw_ctl_options *chosen, const char *const *words) {
    const bool cancels = !strcmp(words[0], "cancel");
    tw_shards_request request = {.kind = cancels ? TW_SHARDS_CANCEL : TW_SHARDS_WATCH};
    copy(request.key, words[1]);
    return change(chosen, &request);
}

static int do_define(tw_ctl_options *chosen, const char *const *words) {
    tw_shards_request request = {.kind = TW_SHARDS_DEFINE, .spread = chosen->spread};
    copy(request.shard, words[1]);
    copy(request.owner, words[2]);
    request.least = (int)strtol(words[3], NULL, DECIMAL);
    return change(chosen, &request);
}

static int do_add(tw_ctl_options *chosen, const char *const *words) {
    tw_shards_request request = {.kind = TW_SHARDS_ADD};
    copy(request.machine, words[1]);
    copy(request.shard, words[2]);
    copy(request.zone, words[3]);
    return change(chosen, &request);
}

static int do_remove(tw_ctl_options *chosen, const char *const *words) {
    tw_shards_request request = {.kind = TW_SHARDS_REMOVE};
    copy(request.machine, words[1]);
    return change(chosen, &request);
}

static int do_show(tw_ctl_options *chosen, const char *const *words) {
    return show(chosen, !strcmp(words[0], "machines"));
}

static const struct command {
    const char *name;
    int words; /* with its own name */
    int (*carry_out)(tw_ctl_options *chosen, const char *const *words);
} commands[] = {{"shares", 1, do_show},    {"machines", 1, do_show}, {"move", 5, do_move},
                {"watch", 2, do_key},      {"cancel", 2, do_key},    {"define", 4, do_define},
                {"add", 4, do_add},        {"remove", 2, do_remove}, {"standby", 1, do_standby},
                {"promote", 2, do_promote}};

static const char doc[] =
    "Asks a daemon for its shares, and changes them.\v"
    "  shares                          who owns which share, and its machines by state\n"
    "  machines                        the same with every machine\n"
    "  define SHARE OWNER LEAST        makes a share, or changes its owner or least size\n"
    "  add MACHINE SHARE ZONE          a machine, IP:PORT, comes into a share\n"
    "  remove MACHINE                  it is gone\n"
    "  move KEY FROM TO COUNT          moves machines; KEY is yours and used for one move alone\n"
    "  watch KEY                       how far a move is, until it is over\n"
    "  cancel KEY                      machines that aren't taken yet go back\n"
    "  standby                         what each --server is: active, standby, how far behind\n"
    "  promote NODE                    hands over to a standby\n\n"
    "Exit codes: 0 done, 1 refused, 2 nobody answers, 3 no answer in time, 64 usage.";

int main(int count, char **arguments) {
    static const struct argp argp = {
        .options = argp_options, .parser = parse, .args_doc = "COMMAND ...", .doc = doc};
    static tw_ctl_options chosen = {.servers = {.timeout_s = TIMEOUT_S}};
    argp_parse(&argp, count, arguments, 0, NULL, &chosen);
    if (!chosen.servers.count) tw_ctl_add_servers(&chosen.servers, "127.0.0.1:7070");
    for (size_t i = 0; i < sizeof commands / sizeof *commands; i++) {
        const struct command *each = &commands[i];
        if (!chosen.argument_count || strcmp(chosen.arguments[0], each->name) != 0) continue;
        if (chosen.argument_count != each->words) break;
        return each->carry_out(&chosen, chosen.arguments);
    }
    fprintf(stderr, "traywallctl: no such command, or other arguments than it takes: --help\n");
    return EXIT_USAGE;
}
