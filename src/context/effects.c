/* The queue of effects (replies and calls), and the table of outstanding calls. */
#include "context/context.h"
#include "log/log.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ERROR_SIZE 160

static void append_effect(tw_context *context, tw_effect *effect) {
    effect->next = NULL;
    if (context->last_effect)
        context->last_effect->next = effect;
    else
        context->first_effect = effect;
    context->last_effect = effect;
}

tw_effect *tw_context_next_effect(tw_context *context) {
    tw_effect *effect = context->first_effect;
    if (!effect) return NULL;
    context->first_effect = effect->next;
    if (!context->first_effect) context->last_effect = NULL;
    return effect;
}

void tw_effect_free(tw_effect *effect) {
    free(effect->path);
    free(effect->body);
    free(effect);
}

void tw_reply(tw_context *context, uint64_t connection, int status, double retry_after,
              char *body) {
    if (!connection) {
        free(body);
        return;
    }
    tw_effect *effect = tw_alloc(sizeof *effect);
    effect->kind = TW_EFFECT_REPLY;
    effect->id = connection;
    effect->status = status;
    effect->retry_after = retry_after;
    effect->body = body;
    append_effect(context, effect);
}

void tw_reply_error(tw_context *context, uint64_t connection, int status, double retry_after,
                    const char *what) {
    char text[ERROR_SIZE];
    snprintf(text, sizeof text, "{\"error\":\"%s\"}", what);
    tw_reply(context, connection, status, retry_after, strdup(text));
}

tw_call *tw_call_send(tw_context *context, tw_call_kind kind, tw_call_target to, const char *addr,
                      const char *method, const char *path, char *body, double timeout_s) {
    tw_call *sent = tw_alloc(sizeof *sent);
    if (to == TW_TO_STATE) context->calls_made[kind]++;
    sent->id = ++context->last_call_id;
    sent->kind = kind;
    sent->sent_at = context->now;
    sent->term = context->term;
    HASH_ADD(hh, context->calls, id, sizeof sent->id, sent);
    tw_effect *effect = tw_alloc(sizeof *effect);
    effect->kind = TW_EFFECT_CALL;
    effect->id = sent->id;
    effect->to = to;
    snprintf(effect->addr, sizeof effect->addr, "%s", addr);
    effect->method = method;
    effect->path = strdup(path);
    effect->body = body;
    effect->timeout_s = timeout_s;
    append_effect(context, effect);
    return sent;
}

tw_call *tw_call_match_response(tw_context *context, uint64_t id, int status) {
    tw_call *sent;
    HASH_FIND(hh, context->calls, &id, sizeof id, sent);
    if (!sent) return NULL;
    HASH_DEL(context->calls, sent);
    if (status == TW_HTTP_TOO_MANY) context->calls_rate_limited++;
    return sent;
}

void tw_call_free(tw_call *sent) {
    free(sent->text);
    free(sent->names);
    free(sent->data);
    free(sent->tokens);
    free(sent);
}

void tw_calls_log_counts(tw_context *context) {
    if (context->now < context->next_calls_log_at) return;
    context->next_calls_log_at = context->now + context->config->lease_s;
    const unsigned *made = context->calls_made;
    tw_log_debug(
        "event=store_calls_counted s=%.0f key=%u watch=%u elect=%u renew=%u txn=%u read=%u load=%u "
        "delegate=%u delegates=%u list=%u peer_admissions=%u refused=%u",
        context->config->lease_s, made[TW_CALL_READ_LEADER], made[TW_CALL_WATCH_LEADER],
        made[TW_CALL_GRANT_LEASE] + made[TW_CALL_ACQUIRE_LEADERSHIP] + made[TW_CALL_REVOKE_LEASE],
        made[TW_CALL_RENEW_LEASE],
        made[TW_CALL_WRITE_RECORDS] + made[TW_CALL_CREATE_RECORD] + made[TW_CALL_WRITE_CHUNKS] +
            made[TW_CALL_REMOVE_CHUNKS],
        made[TW_CALL_READ_RECORD] + made[TW_CALL_LOOK_UP_JOB], made[TW_CALL_LOAD_RECORDS],
        made[TW_CALL_WRITE_DELEGATE_KEY], made[TW_CALL_READ_DELEGATE_KEYS],
        made[TW_CALL_LIST_CANCELLED_JOBS],
        made[TW_CALL_LIST_PEER_ADMISSIONS] + made[TW_CALL_WATCH_PEER_ADMISSIONS] +
            made[TW_CALL_REMOVE_PEER_ADMISSION],
        context->calls_rate_limited);
    memset(context->calls_made, 0, sizeof context->calls_made);
    context->calls_rate_limited = 0;
}
