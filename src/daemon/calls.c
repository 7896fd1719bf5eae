/* HTTP calls to the state service and to machines, and the handling of their responses. */
#include "daemon/daemon_int.h"
#include <cjson/cJSON.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALLS_PER_LEASE 3.0 /* the time limit of a call is the lease divided by this */
#define MAX_CONNECTIONS_PER_HOST 8
#define BODY_SIZE 160
enum { OK = 200, CONFLICT = 409 };

static tw_daemon_call *begin_call(tw_daemon_node *node, tw_daemon_call_kind kind,
                                  const char *address, const char *method, const char *path,
                                  const char *body) {
    const double timeout_s = node->settings->lease_s / CALLS_PER_LEASE;
    tw_daemon_call *call = tw_daemon_alloc(sizeof *call);
    call->id = ++node->last_call;
    call->kind = kind;
    HASH_ADD(hh, node->calls, id, sizeof call->id, call);
    tw_net_call(node->net, call->id, address, MAX_CONNECTIONS_PER_HOST, method, path, body,
                timeout_s);
    return call;
}

void tw_daemon_call_state(tw_daemon_node *node, const tw_standby_effect *effect) {
    begin_call(node, TW_DAEMON_CALL_STATE, node->settings->state, effect->method, effect->path,
               effect->body)
        ->tag = effect->id;
}

static void call_machine(tw_daemon_node *node, tw_daemon_call_kind kind, const char *machine,
                         const char *path, const char *body, uint64_t tag) {
    tw_daemon_call *call = begin_call(node, kind, machine, "POST", path, body);
    call->tag = tag;
    snprintf(call->machine, sizeof call->machine, "%s", machine);
}

void tw_daemon_check_machine(tw_daemon_node *node, const tw_standby_effect *effect) {
    char body[BODY_SIZE];
    snprintf(body, sizeof body, "{\"term\":%lu}", (unsigned long)effect->term);
    call_machine(node, TW_DAEMON_CALL_MACHINE, effect->machine, "/check", body, effect->term);
}

void tw_daemon_start_machine(tw_daemon_node *node, const tw_standby_effect *effect) {
    char body[BODY_SIZE];
    snprintf(body, sizeof body, "{\"term\":%lu,\"life\":%lu,\"floor\":%lu}",
             (unsigned long)effect->term, (unsigned long)effect->boot_id,
             (unsigned long)effect->minimum_epoch);
    call_machine(node, TW_DAEMON_CALL_MACHINE, effect->machine, "/start", body, effect->term);
}

void tw_daemon_send_command(tw_daemon_node *node, tw_daemon_call_kind kind, const char *path,
                            const tw_shards_owner_effect *effect) {
    char body[BODY_SIZE];
    snprintf(body, sizeof body, "{\"term\":%lu,\"epoch\":%lu}", (unsigned long)effect->term,
             (unsigned long)effect->epoch);
    call_machine(node, kind, effect->machine, path, body, effect->epoch);
}

/* ---- responses ---- */

static int parse_number(const cJSON *object, const char *name, uint64_t *to) {
    const cJSON *item = cJSON_GetObjectItemCaseSensitive(object, name);
    if (!cJSON_IsNumber(item) || item->valuedouble < 0) return -1;
    *to = (uint64_t)item->valuedouble;
    return 0;
}

/* Parses a machine's response to /check or /start. Returns -1 if the response is malformed or its
 * status is neither 200 nor 409. */
static int parse_machine_status(tw_standby_machine_status *to, int status, const char *body,
                                size_t length) {
    uint64_t running = 0;
    cJSON *object = cJSON_ParseWithLength(body, length);
    *to = (tw_standby_machine_status){0};
    const bool failed = (status != OK && status != CONFLICT) ||
                        parse_number(object, "term", &to->term) ||
                        parse_number(object, "life", &to->boot_id) ||
                        parse_number(object, "floor", &to->minimum_epoch) ||
                        parse_number(object, "open", &to->newest_epoch) ||
                        parse_number(object, "running", &running);
    to->started = cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(object, "started"));
    to->running = (int)running;
    cJSON_Delete(object);
    return failed ? -1 : 0;
}

static void dispatch_response(tw_daemon_node *node, const tw_daemon_call *call, int status,
                              const char *body, size_t length) {
    const double now = tw_daemon_steady_s();
    tw_standby_machine_status machine;
    switch (call->kind) {
    case TW_DAEMON_CALL_STATE:
        tw_standby_handle_response(node->standby, now, call->tag, status, body, length);
        break;
    case TW_DAEMON_CALL_MACHINE: {
        const int failed = parse_machine_status(&machine, status, body, length);
        tw_standby_handle_machine_status(node->standby, now, call->machine, call->tag,
                                         failed ? NULL : &machine);
        break;
    }
    case TW_DAEMON_CALL_OPEN:
        if (status == OK) tw_shards_owner_confirm_open(node->owner, call->machine, call->tag);
        break;
    case TW_DAEMON_CALL_OTHER:
        break;
    }
}

void tw_daemon_on_response(void *context, uint64_t id, int status, const char *body,
                           size_t length) {
    tw_daemon_node *node = context;
    tw_daemon_call *call;
    HASH_FIND(hh, node->calls, &id, sizeof id, call);
    if (!call) return;
    HASH_DEL(node->calls, call);
    dispatch_response(node, call, status, body ? body : "", length);
    free(call);
    tw_daemon_process_effects(node);
}
