/* What the core gives out: replies to requests, and calls to others until their responses come. */
#include "core/core_int.h"

#define ERROR_SIZE 160

static void push(tw_core *core, tw_fx *effect) {
    effect->next = NULL;
    if (core->effects_tail)
        core->effects_tail->next = effect;
    else
        core->effects_head = effect;
    core->effects_tail = effect;
}

tw_fx *tw_core_next(tw_core *core) {
    tw_fx *effect = core->effects_head;
    if (!effect) return NULL;
    core->effects_head = effect->next;
    if (!core->effects_head) core->effects_tail = NULL;
    return effect;
}

void tw_core_fx_free(tw_fx *effect) {
    free(effect->path);
    free(effect->body);
    free(effect);
}

void tw_reply(tw_core *core, uint64_t conn, int status, double retry_after, char *body) {
    if (!conn) {
        free(body);
        return;
    }
    tw_fx *effect = tw_zalloc(sizeof *effect);
    effect->kind = TW_FX_REPLY;
    effect->id = conn;
    effect->status = status;
    effect->retry_after = retry_after;
    effect->body = body;
    push(core, effect);
}

void tw_reply_error(tw_core *core, uint64_t conn, int status, double retry_after,
                    const char *what) {
    char text[ERROR_SIZE];
    snprintf(text, sizeof text, "{\"error\":\"%s\"}", what);
    tw_reply(core, conn, status, retry_after, strdup(text));
}

call *tw_call(tw_core *core, call_kind kind, tw_fx_target to, const char *addr, const char *method,
              const char *path, char *body, double timeout_s) {
    call *sent = tw_zalloc(sizeof *sent);
    if (to == TW_TO_STATE) core->calls_made[kind]++;
    sent->id = ++core->last_call_id;
    sent->kind = kind;
    sent->sent_at = core->now;
    sent->term = core->term;
    HASH_ADD(hh, core->calls, id, sizeof sent->id, sent);
    tw_fx *effect = tw_zalloc(sizeof *effect);
    effect->kind = TW_FX_CALL;
    effect->id = sent->id;
    effect->to = to;
    snprintf(effect->addr, sizeof effect->addr, "%s", addr);
    effect->method = method;
    effect->path = strdup(path);
    effect->body = body;
    effect->timeout_s = timeout_s;
    push(core, effect);
    return sent;
}

call *tw_call_answered(tw_core *core, uint64_t id, int status) {
    call *sent;
    HASH_FIND(hh, core->calls, &id, sizeof id, sent);
    if (!sent) return NULL;
    HASH_DEL(core->calls, sent);
    if (status == TW_HTTP_TOO_MANY) core->calls_refused++;
    return sent;
}

void tw_call_free(call *sent) {
    free(sent->text);
    free(sent->names);
    free(sent->records);
    free(sent->tokens);
    free(sent);
}

void tw_effects_free(tw_core *core) {
    call *sent, *next;
    HASH_ITER(hh, core->calls, sent, next) {
        HASH_DEL(core->calls, sent);
        tw_call_free(sent);
    }
    tw_fx *effect;
    while ((effect = tw_core_next(core))) tw_core_fx_free(effect);
}

void tw_calls_log(tw_core *core) {
    if (core->now < core->next_calls_log_at) return;
    core->next_calls_log_at = core->now + core->config->lease_s;
    const unsigned *made = core->calls_made;
    tw_log_debug(
        "event=state_calls s=%.0f key=%u watch=%u elect=%u renew=%u txn=%u read=%u load=%u "
        "deputy=%u deputies=%u list=%u news=%u refused=%u",
        core->config->lease_s, made[K_LEADER_GET], made[K_LEADER_WATCH],
        made[K_GRANT] + made[K_ACQUIRE] + made[K_GRANT_DEL], made[K_RENEW],
        made[K_TXN] + made[K_CREATE] + made[K_PARTS] + made[K_PARTS_REMOVE],
        made[K_JOB_READ] + made[K_LOOKUP], made[K_LOAD], made[K_DEPUTY], made[K_DEPUTIES],
        made[K_DEP_JOBS], made[K_ACCEPTED_LIST] + made[K_ACCEPTED] + made[K_ACCEPTED_REMOVE],
        core->calls_refused);
    memset(core->calls_made, 0, sizeof core->calls_made);
    core->calls_refused = 0;
}
