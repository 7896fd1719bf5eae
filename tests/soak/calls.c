/* Sends requests of the harness to controllers and passes the answers to their callbacks. */
#include "soak.h"
#include <stdlib.h>

#define CONNECTIONS_PER_ADDRESS 1000

typedef struct tw_soak_call {
    uint64_t id;
    tw_soak_answer_callback *answered;
    void *data;
    UT_hash_handle hh;
} tw_soak_call;

void tw_soak_call_node(tw_soak *run, int node, int port, const char *method, const char *path,
                       const char *body, double timeout_s, tw_soak_answer_callback *answered,
                       void *data) {
    char address[TW_SOAK_TEXT_SIZE];
    tw_soak_call *call = tw_simulator_allocate(sizeof *call);
    call->id = ++run->last_call_id;
    call->answered = answered;
    call->data = data;
    HASH_ADD(hh, run->calls, id, sizeof call->id, call);
    tw_soak_format_address(run, address, TW_SOAK_NODE_HOST + node, port);
    tw_net_call(run->net, call->id, address, CONNECTIONS_PER_ADDRESS, method, path, body,
                timeout_s);
}

void tw_soak_handle_response(void *context, uint64_t id, int status, const char *body,
                             size_t length) {
    tw_soak *run = context;
    tw_soak_call *call;
    (void)length;
    run->world.now = tw_soak_now() - run->started_at;
    HASH_FIND(hh, run->calls, &id, sizeof id, call);
    if (!call) return;
    HASH_DEL(run->calls, call);
    call->answered(run, call->data, status, body);
    free(call);
}
