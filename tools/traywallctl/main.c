/* traywallctl: asks a daemon for its shares, and changes them.
 *
 * Exit codes: 0 done, 1 refused (the verdict is printed), 2 nobody answers, 3 no daemon could
 * answer in time: ask again with the same key; 64 usage. */
#include "ask.h"
#include <argp.h>
#include <cjson/cJSON.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MOST_ARGUMENTS 8
#define MOST_MACHINES 1000
#define TIMEOUT_S 10.0
#define WATCH_TIMEOUT_S 3600.0
#define DECIMAL 10
enum { EXIT_REFUSED = 1, EXIT_UNREACHABLE, EXIT_UNAVAILABLE, EXIT_USAGE = 64 };
enum { OPT_SERVER = 's', OPT_OUTPUT = 'o', OPT_MACHINE = 'm', OPT_IMAGE = 'i' };
enum { OPT_REVISION = 'r', OPT_SPREAD = 'p', OPT_WAIT = 'w', OPT_TIMEOUT = 't' };

const char *argp_program_version = "traywallctl " TW_VERSION;

typedef struct {
    servers servers;
    int json, spread, wait;
    const char *image;
    uint64_t revision;
    char machines[MOST_MACHINES][TW_SHARES_NAME];
    int nmachines;
    const char *arguments[MOST_ARGUMENTS];
    int narguments;
} options;

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

static void add_machine(struct argp_state *state, options *chosen, const char *name) {
    if (chosen->nmachines == MOST_MACHINES) argp_error(state, "too many machines");
    if (strlen(name) >= TW_SHARES_NAME) argp_error(state, "name too long: %s", name);
    snprintf(chosen->machines[chosen->nmachines++], TW_SHARES_NAME, "%s", name);
}

static error_t parse(int key, char *text, struct argp_state *state) {
    options *chosen = state->input;
    switch (key) {
    case OPT_SERVER:
        if (add_servers(&chosen->servers, text)) argp_error(state, "no such servers: %s", text);
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
        if (chosen->narguments == MOST_ARGUMENTS) argp_error(state, "too many arguments");
        if (strlen(text) >= TW_SHARES_NAME) argp_error(state, "name too long: %s", text);
        chosen->arguments[chosen->narguments++] = text;
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

/* ---- answers ---- */

static void print_json(cJSON *object) {
    char *text = cJSON_PrintUnformatted(object);
    if (text) puts(text);
    free(text);
    cJSON_Delete(object);
}

static void print_shares_text(const tw_rpc_answer *answer) {
    printf("revision %lu\n", (unsigned long)answer->revision);
    printf("%-20s %-20s %6s %6s %6s %8s\n", "SHARE", "OWNER", "LEAST", "OPEN", "TAKEN", "DRAINING");
    for (int i = 0; i < answer->nshares; i++) {
        const tw_shares_view *each = &answer->shares[i];
        printf("%-20s %-20s %6d %6d %6d %8d%s\n", each->name, each->owner, each->least, each->open,
               each->taken, each->draining, each->spread ? " spread" : "");
    }
    if (answer->ntells)
        printf("%-24s %-20s %-20s %-9s %s\n", "MACHINE", "SHARE", "OWNER", "STATE", "EPOCH");
    for (int i = 0; i < answer->ntells; i++) {
        const tw_shares_tell *each = &answer->tells[i];
        printf("%-24s %-20s %-20s %-9s %lu\n", each->machine, each->share, each->owner,
               tw_shares_state_name(each->state), (unsigned long)each->epoch);
    }
}

static cJSON *share_json(const tw_shares_view *share) {
    cJSON *object = cJSON_CreateObject();
    cJSON_AddStringToObject(object, "name", share->name);
    cJSON_AddStringToObject(object, "owner", share->owner);
    cJSON_AddNumberToObject(object, "least", share->least);
    cJSON_AddBoolToObject(object, "spread", share->spread);
    cJSON_AddNumberToObject(object, "open", share->open);
    cJSON_AddNumberToObject(object, "taken", share->taken);
    cJSON_AddNumberToObject(object, "draining", share->draining);
    return object;
}

static cJSON *machine_json(const tw_shares_tell *machine) {
    cJSON *object = cJSON_CreateObject();
    cJSON_AddStringToObject(object, "name", machine->machine);
    cJSON_AddStringToObject(object, "share", machine->share);
    cJSON_AddStringToObject(object, "owner", machine->owner);
    cJSON_AddStringToObject(object, "state", tw_shares_state_name(machine->state));
    cJSON_AddNumberToObject(object, "epoch", (double)machine->epoch);
    return object;
}

static void print_shares_json(const tw_rpc_answer *answer) {
    cJSON *object = cJSON_CreateObject();
    cJSON_AddNumberToObject(object, "revision", (double)answer->revision);
    cJSON *shares = cJSON_AddArrayToObject(object, "shares");
    for (int i = 0; i < answer->nshares; i++)
        cJSON_AddItemToArray(shares, share_json(&answer->shares[i]));
    cJSON *machines = cJSON_AddArrayToObject(object, "machines");
    for (int i = 0; i < answer->ntells; i++)
        cJSON_AddItemToArray(machines, machine_json(&answer->tells[i]));
    print_json(object);
}

static void print_change_json(const tw_rpc_answer *answer) {
    const tw_shares_progress *progress = &answer->progress;
    cJSON *object = cJSON_CreateObject();
    cJSON_AddStringToObject(object, "verdict", tw_shares_verdict_name(answer->verdict));
    if (answer->verdict == TW_SHARES_NOT_LEADER)
        cJSON_AddStringToObject(object, "leader", answer->leader);
    cJSON_AddNumberToObject(object, "revision", (double)answer->revision);
    cJSON_AddBoolToObject(object, "done", progress->done);
    cJSON_AddNumberToObject(object, "wanted", progress->wanted);
    cJSON_AddNumberToObject(object, "draining", progress->draining);
    cJSON_AddNumberToObject(object, "released", progress->released);
    cJSON_AddNumberToObject(object, "taken", progress->taken);
    cJSON_AddNumberToObject(object, "moved", progress->moved);
    cJSON_AddNumberToObject(object, "returned", progress->returned);
    cJSON_AddNumberToObject(object, "lost", progress->lost);
    print_json(object);
}

static void print_change(const options *chosen, const tw_rpc_answer *answer) {
    const tw_shares_progress *progress = &answer->progress;
    if (chosen->json) {
        print_change_json(answer);
    } else if (answer->verdict != TW_SHARES_OK) {
        printf("refused: %s%s%s\n", tw_shares_verdict_name(answer->verdict),
               answer->leader[0] ? ", leader " : "", answer->leader);
    } else if (progress->wanted) {
        printf("%s: %d of %d moved, %d draining, %d released, %d taken, %d returned, %d lost\n",
               progress->done ? "done" : "under way", progress->moved, progress->wanted,
               progress->draining, progress->released, progress->taken, progress->returned,
               progress->lost);
    } else {
        printf("ok, revision %lu\n", (unsigned long)answer->revision);
    }
    fflush(stdout);
}

static int exit_code(tw_rpc_status status, const tw_rpc_answer *answer) {
    if (status == TW_RPC_UNREACHABLE) fprintf(stderr, "nobody answers there\n");
    if (status == TW_RPC_UNAVAILABLE) fprintf(stderr, "no answer in time: ask again\n");
    if (status == TW_RPC_UNREACHABLE) return EXIT_UNREACHABLE;
    if (status == TW_RPC_UNAVAILABLE) return EXIT_UNAVAILABLE;
    return answer->verdict == TW_SHARES_OK ? EXIT_SUCCESS : EXIT_REFUSED;
}

/* ---- calls ---- */

static int show(const options *chosen, int machines) {
    const tw_rpc_call call = {.method = TW_RPC_SHOW, .show_machines = machines};
    tw_rpc_answer answer = {0};
    char asked[TW_RPC_ADDRESS];
    const tw_rpc_status status = ask_leader(&chosen->servers, &call, &answer, asked);
    if (status == TW_RPC_OK && answer.verdict != TW_SHARES_OK)
        print_change(chosen, &answer);
    else if (status == TW_RPC_OK && chosen->json)
        print_shares_json(&answer);
    else if (status == TW_RPC_OK)
        print_shares_text(&answer);
    const int code = exit_code(status, &answer);
    tw_rpc_answer_free(&answer);
    return code;
}

typedef struct {
    const options *chosen;
    tw_rpc_answer last;
} watching;

static int watched(void *context, const tw_rpc_answer *answer) {
    watching *watch = context;
    watch->last = *answer;
    print_change(watch->chosen, answer);
    return 0;
}

static int follow_move(const options *chosen, const char *server, const char *key) {
    watching watch = {.chosen = chosen};
    tw_rpc_client *client = tw_rpc_client_new(server);
    const tw_rpc_status status = tw_rpc_client_watch(client, key, WATCH_TIMEOUT_S, watched, &watch);
    tw_rpc_client_free(client);
    return exit_code(status, &watch.last);
}

static int change(const options *chosen, const tw_shares_request *request) {
    const tw_rpc_call call = {.method = TW_RPC_CHANGE, .request = *request};
    tw_rpc_answer answer = {0};
    char asked[TW_RPC_ADDRESS];
    const tw_rpc_status status = ask_leader(&chosen->servers, &call, &answer, asked);
    const int accepted = status == TW_RPC_OK && answer.verdict == TW_SHARES_OK;
    const int waits = request->kind == TW_SHARES_WATCH || (chosen->wait && request->key[0]);
    if (accepted && waits) return follow_move(chosen, asked, request->key);
    if (status == TW_RPC_OK) print_change(chosen, &answer);
    return exit_code(status, &answer);
}

/* ---- standbys ---- */

static void print_standby_text(const tw_rpc_answer *answer, const char *address) {
    const tw_standby_status *status = &answer->status;
    printf("%-22s %-12s %-10s term %lu, change %lu, lag %lu, revision %lu, digest %016lx, "
           "%d records, %d held back\n",
           address, answer->node, tw_standby_state_name(status->state), (unsigned long)status->term,
           (unsigned long)status->number, (unsigned long)status->lag, (unsigned long)status->ledger,
           (unsigned long)status->digest, status->records, status->held_back);
    for (int i = 0; i < answer->nfollowers; i++)
        printf("    followed by %-12s lag %lu, heard %.1f s ago\n", answer->followers[i].name,
               (unsigned long)answer->followers[i].lag, answer->followers[i].silent_s);
}

static void print_standby_json(const tw_rpc_answer *answer, const char *address) {
    const tw_standby_status *status = &answer->status;
    char digest[TW_SHARES_NAME];
    cJSON *object = cJSON_CreateObject();
    snprintf(digest, sizeof digest, "%016lx", (unsigned long)status->digest);
    cJSON_AddStringToObject(object, "server", address);
    cJSON_AddStringToObject(object, "node", answer->node);
    cJSON_AddStringToObject(object, "state", tw_standby_state_name(status->state));
    cJSON_AddStringToObject(object, "leader", answer->leader);
    cJSON_AddNumberToObject(object, "term", (double)status->term);
    cJSON_AddNumberToObject(object, "number", (double)status->number);
    cJSON_AddNumberToObject(object, "lag", (double)status->lag);
    cJSON_AddNumberToObject(object, "revision", (double)status->ledger);
    cJSON_AddStringToObject(object, "digest", digest);
    cJSON_AddNumberToObject(object, "records", status->records);
    cJSON_AddNumberToObject(object, "held_back", status->held_back);
    cJSON_AddNumberToObject(object, "differences", (double)status->differences);
    cJSON_AddNumberToObject(object, "snapshots", (double)status->snapshots);
    cJSON_AddNumberToObject(object, "gaps", (double)status->gaps);
    cJSON *followers = cJSON_AddArrayToObject(object, "followers");
    for (int i = 0; i < answer->nfollowers; i++) {
        cJSON *each = cJSON_CreateObject();
        cJSON_AddStringToObject(each, "name", answer->followers[i].name);
        cJSON_AddNumberToObject(each, "lag", (double)answer->followers[i].lag);
        cJSON_AddItemToArray(followers, each);
    }
    print_json(object);
}

/* Each server that was named, for itself. */
static int do_standby(options *chosen, const char *const *words) {
    const tw_rpc_call call = {.method = TW_RPC_STANDBY};
    int code = EXIT_SUCCESS;
    (void)words;
    for (int i = 0; i < chosen->servers.count; i++) {
        const char *address = chosen->servers.addresses[i];
        tw_rpc_answer answer = {0};
        const tw_rpc_status status = ask_one(&chosen->servers, address, &call, &answer);
        if (status == TW_RPC_OK && chosen->json)
            print_standby_json(&answer, address);
        else if (status == TW_RPC_OK)
            print_standby_text(&answer, address);
        else
            code = exit_code(status, &answer);
        tw_rpc_answer_free(&answer);
    }
    return code;
}

static int do_promote(options *chosen, const char *const *words) {
    tw_rpc_call call = {.method = TW_RPC_PROMOTE};
    tw_rpc_answer answer = {0};
    char asked[TW_RPC_ADDRESS];
    snprintf(call.owner, sizeof call.owner, "%s", words[1]);
    const tw_rpc_status status = ask_leader(&chosen->servers, &call, &answer, asked);
    if (status == TW_RPC_OK) print_change(chosen, &answer);
    return exit_code(status, &answer);
}

/* ---- commands ---- */

static void copy(char *to, const char *from) { snprintf(to, TW_SHARES_NAME, "%s", from); }

static int do_move(options *chosen, const char *const *words) {
    tw_shares_request request = {.kind = TW_SHARES_MOVE, .revision = chosen->revision};
    copy(request.key, words[1]);
    copy(request.share, words[2]);
    copy(request.to, words[3]);
    if (chosen->image) copy(request.image, chosen->image);
    request.count = (int)strtol(words[4], NULL, DECIMAL);
    request.machines = chosen->machines;
    request.nmachines = chosen->nmachines;
    return change(chosen, &request);
}

static int do_key(options *chosen, const char *const *words) {
    const int cancels = !strcmp(words[0], "cancel");
    tw_shares_request request = {.kind = cancels ? TW_SHARES_CANCEL : TW_SHARES_WATCH};
    copy(request.key, words[1]);
    return change(chosen, &request);
}

static int do_define(options *chosen, const char *const *words) {
    tw_shares_request request = {.kind = TW_SHARES_DEFINE, .spread = chosen->spread};
    copy(request.share, words[1]);
    copy(request.owner, words[2]);
    request.least = (int)strtol(words[3], NULL, DECIMAL);
    return change(chosen, &request);
}

static int do_add(options *chosen, const char *const *words) {
    tw_shares_request request = {.kind = TW_SHARES_ADD};
    copy(request.machine, words[1]);
    copy(request.share, words[2]);
    copy(request.zone, words[3]);
    return change(chosen, &request);
}

static int do_remove(options *chosen, const char *const *words) {
    tw_shares_request request = {.kind = TW_SHARES_REMOVE};
    copy(request.machine, words[1]);
    return change(chosen, &request);
}

static int do_show(options *chosen, const char *const *words) {
    return show(chosen, !strcmp(words[0], "machines"));
}

static const struct command {
    const char *name;
    int words; /* with its own name */
    int (*carry_out)(options *chosen, const char *const *words);
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
    static options chosen = {.servers = {.timeout_s = TIMEOUT_S}};
    argp_parse(&argp, count, arguments, 0, NULL, &chosen);
    if (!chosen.servers.count) add_servers(&chosen.servers, "127.0.0.1:7070");
    for (size_t i = 0; i < sizeof commands / sizeof *commands; i++) {
        const struct command *each = &commands[i];
        if (!chosen.narguments || strcmp(chosen.arguments[0], each->name) != 0) continue;
        if (chosen.narguments != each->words) break;
        return each->carry_out(&chosen, chosen.arguments);
    }
    fprintf(stderr, "traywallctl: no such command, or other arguments than it takes: --help\n");
    return EXIT_USAGE;
}
