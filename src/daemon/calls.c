/* Calls over HTTP, to the state service and to machines, and what their answers mean. */
#include "daemon/daemon_int.h"
#include <cjson/cJSON.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALLS_IN_LEASE 3.0 /* a call may last so much of the lease */
#define PER_HOST 8
#define BODY_SIZE 160
enum { OK = 200, CONFLICT = 409 };

static tw_daemon_call *begin_call(tw_daemon_node *node, tw_daemon_call_kind kind,
                                  const char *address, const char *method, const char *path,
                                  const char *body) {
    const double timeout_s = node->settings->lease_s / CALLS_IN_LEASE;
    tw_daemon_call *begun = tw_daemon_alloc(sizeof *begun);
    begun->id = ++node->last_call;
    begun->kind = kind;
    HASH_ADD(hh, node->calls, id, sizeof begun->id, begun);
    tw_net_call(node->net, begun->id, address, PER_HOST, method, path, body, timeout_s);
    return begun;
}

void tw_daemon_call_state(tw_daemon_node *node, const tw_standby_effect *effect) {
    begin_call(node, TW_DAEMON_CALL_STATE, node->settings->state, effect->method, effect->path,
               effect->body)
        ->about = effect->id;
}

static void call_machine(tw_daemon_node *node, tw_daemon_call_kind kind, const char *machine,
                         const char *path, const char *body, uint64_t about) {
    tw_daemon_call *begun = begin_call(node, kind, machine, "POST", path, body);
    begun->about = about;
    snprintf(begun->machine, sizeof begun->machine, "%s", machine);
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

/* ---- answers ---- */

static int read_number(const cJSON *object, const char *name, uint64_t *to) {
    const cJSON *item = cJSON_GetObjectItemCaseSensitive(object, name);
    if (!cJSON_IsNumber(item) || item->valuedouble < 0) return -1;
    *to = (uint64_t)item->valuedouble;
    return 0;
}

/* What the machine has, by its answer to /check or /start; -1: it can't be read. */
static int read_machine(tw_standby_machine_status *to, int status, const char *body,
                        size_t length) {
    uint64_t running = 0;
    cJSON *object = cJSON_ParseWithLength(body, length);
    *to = (tw_standby_machine_status){0};
    const bool failed =
        (status != OK && status != CONFLICT) || read_number(object, "term", &to->term) ||
        read_number(object, "life", &to->boot_id) ||
        read_number(object, "floor", &to->minimum_epoch) ||
        read_number(object, "open", &to->newest) || read_number(object, "running", &running);
    to->started = cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(object, "started"));
    to->running = (int)running;
    cJSON_Delete(object);
    return failed ? -1 : 0;
}

static void take_response(tw_daemon_node *node, const tw_daemon_call *ended, int status,
                          const char *body, size_t length) {
    const double now = tw_daemon_steady_s();
    tw_standby_machine_status machine;
    switch (ended->kind) {
    case TW_DAEMON_CALL_STATE:
        tw_standby_answered(node->standby, now, ended->about, status, body, length);
        break;
    case TW_DAEMON_CALL_MACHINE: {
        const int failed = read_machine(&machine, status, body, length);
        tw_standby_machine_answered(node->standby, now, ended->machine, ended->about,
                                    failed ? NULL : &machine);
        break;
    }
    case TW_DAEMON_CALL_OPEN:
        if (status == OK) tw_shards_owner_confirm_open(node->owner, ended->machine, ended->about);
        break;
    case TW_DAEMON_CALL_OTHER:
        break;
    }
}

void tw_daemon_on_response(void *context, uint64_t id, int status, const char *body,
                           size_t length) {
    tw_daemon_node *node = context;
    tw_daemon_call *ended;
    HASH_FIND(hh, node->calls, &id, sizeof id, ended);
    if (!ended) return;
    HASH_DEL(node->calls, ended);
    take_response(node, ended, status, body ? body : "", length);
    free(ended);
    tw_daemon_settle(node);
}
