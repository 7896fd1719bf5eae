/* The thread that sends reports to the leading daemon. */
#include "daemon/reporter.h"
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef enum { TW_REPORTER_IDLE, TW_REPORTER_BUSY, TW_REPORTER_ANSWERED } tw_reporter_state;

struct tw_reporter {
    pthread_t thread;
    pthread_mutex_t mutex;
    pthread_cond_t changed;
    void (*on_done)(void *context);
    void *context;
    tw_reporter_state state;
    bool stopping, failed;
    double timeout_s;
    char owner[TW_SHARDS_NAME], address[TW_RPC_ADDRESS_SIZE];
    tw_standby_position position;
    tw_rpc_message *messages;
    int message_count;
    tw_rpc_answer answer;
    tw_rpc_client *client;
    char client_address[TW_RPC_ADDRESS_SIZE];
};

/* Sends the report and waits for the answer. The client is replaced only when the leader's address
 * has changed, so that its connection is reused. */
static tw_rpc_status send_report(tw_reporter *reporter, const tw_rpc_call *call,
                                 const char *address, tw_rpc_answer *answer) {
    if (strcmp(reporter->client_address, address) != 0) {
        if (reporter->client) tw_rpc_client_free(reporter->client);
        reporter->client = tw_rpc_client_new(address);
        snprintf(reporter->client_address, TW_RPC_ADDRESS_SIZE, "%s", address);
    }
    return tw_rpc_client_call(reporter->client, call, reporter->timeout_s, answer);
}

static void report_once(tw_reporter *reporter) {
    tw_rpc_call call = {.method = TW_RPC_REPORT,
                        .position = reporter->position,
                        .messages = reporter->messages,
                        .message_count = reporter->message_count};
    tw_rpc_answer answer = {0};
    char address[TW_RPC_ADDRESS_SIZE];
    snprintf(call.owner, sizeof call.owner, "%s", reporter->owner);
    snprintf(address, sizeof address, "%s", reporter->address);
    reporter->messages = NULL;
    pthread_mutex_unlock(&reporter->mutex);
    const tw_rpc_status status = send_report(reporter, &call, address, &answer);
    tw_rpc_call_free(&call);
    pthread_mutex_lock(&reporter->mutex);
    reporter->failed = status != TW_RPC_OK;
    reporter->answer = answer;
    reporter->state = TW_REPORTER_ANSWERED;
    reporter->on_done(reporter->context);
}

static void *run_thread(void *context) {
    tw_reporter *reporter = context;
    pthread_mutex_lock(&reporter->mutex);
    while (!reporter->stopping) {
        if (reporter->state == TW_REPORTER_BUSY && reporter->messages)
            report_once(reporter);
        else
            pthread_cond_wait(&reporter->changed, &reporter->mutex);
    }
    pthread_mutex_unlock(&reporter->mutex);
    return NULL;
}

tw_reporter *tw_reporter_start(const char *owner, double timeout_s, void (*on_done)(void *context),
                               void *context) {
    tw_reporter *reporter = calloc(1, sizeof *reporter);
    if (!reporter) abort();
    snprintf(reporter->owner, sizeof reporter->owner, "%s", owner);
    reporter->timeout_s = timeout_s;
    reporter->on_done = on_done;
    reporter->context = context;
    pthread_mutex_init(&reporter->mutex, NULL);
    pthread_cond_init(&reporter->changed, NULL);
    if (pthread_create(&reporter->thread, NULL, run_thread, reporter)) abort();
    return reporter;
}

bool tw_reporter_is_idle(tw_reporter *reporter) {
    pthread_mutex_lock(&reporter->mutex);
    const bool idle = reporter->state == TW_REPORTER_IDLE;
    pthread_mutex_unlock(&reporter->mutex);
    return idle;
}

void tw_reporter_send(tw_reporter *reporter, const char *address,
                      const tw_standby_position *position, tw_rpc_message *messages, int count) {
    pthread_mutex_lock(&reporter->mutex);
    snprintf(reporter->address, sizeof reporter->address, "%s", address);
    reporter->position = *position;
    reporter->messages = messages;
    reporter->message_count = count;
    reporter->state = TW_REPORTER_BUSY;
    pthread_cond_signal(&reporter->changed);
    pthread_mutex_unlock(&reporter->mutex);
}

bool tw_reporter_take_answer(tw_reporter *reporter, tw_rpc_answer *answer) {
    pthread_mutex_lock(&reporter->mutex);
    const bool answered = reporter->state == TW_REPORTER_ANSWERED;
    if (answered) {
        *answer = reporter->answer;
        if (reporter->failed) answer->verdict = TW_SHARDS_NOT_LEADER;
        reporter->state = TW_REPORTER_IDLE;
    }
    pthread_mutex_unlock(&reporter->mutex);
    return answered;
}

void tw_reporter_stop(tw_reporter *reporter) {
    if (!reporter) return;
    pthread_mutex_lock(&reporter->mutex);
    reporter->stopping = true;
    pthread_cond_signal(&reporter->changed);
    pthread_mutex_unlock(&reporter->mutex);
    pthread_join(reporter->thread, NULL);
    if (reporter->state == TW_REPORTER_ANSWERED) tw_rpc_answer_free(&reporter->answer);
    if (reporter->client) tw_rpc_client_free(reporter->client);
    free(reporter->messages);
    pthread_cond_destroy(&reporter->changed);
    pthread_mutex_destroy(&reporter->mutex);
    free(reporter);
}
