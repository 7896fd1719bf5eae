/* Forwarding of user requests from a node that does not lead to the leader, and handling of
 * the leader's responses. If the leader does not respond in time, the node answers the request
 * itself where possible. */
#include "core/jobs.h"

/* Requests are not forwarded to a leader that has answered no heartbeat of this node for this long
 * plus half its lease. */
#define LEADER_SILENT_S 0.6

bool tw_request_forward(tw_core *core, uint64_t connection, tw_user_operation operation,
                        const char *method, const char *path, const char *id, char *body,
                        double timeout_s) {
    const char *leader = tw_cluster_leader_addr(core->cluster);
    if (!leader || !tw_cluster_leader_answers(core->cluster, LEADER_SILENT_S)) {
        free(body);
        return false;
    }
    tw_call *call = tw_call_send(&core->context, TW_CALL_FORWARD_REQUEST, TW_TO_PEER, leader,
                                 method, path, body ? strdup(body) : NULL, timeout_s);
    call->connection = connection;
    call->operation = operation;
    call->text = body;
    snprintf(call->name, sizeof call->name, "%s", id);
    return true;
}

void tw_request_forward_response(tw_core *core, tw_call *call, int status, const char *body,
                                 size_t length) {
    if (status >= TW_HTTP_OK && status != TW_HTTP_UNAVAILABLE) {
        tw_reply(&core->context, call->connection, status, 0, strndup(body, length));
        return;
    }
    if (!call->connection) return;
    if (call->operation == TW_OPERATION_QUERY ||
        (call->operation == TW_OPERATION_CANCEL && status == TW_HTTP_NO_RESPONSE)) {
        tw_job_look_up(core, call->connection, call->name, call->operation);
        return;
    }
    /* A submission may be written directly to the state service even if the leader is still
     * writing it, because only the first write of its key succeeds. */
    tw_wire_job spec;
    const char *why;
    if (call->operation == TW_OPERATION_SUBMIT && status == TW_HTTP_NO_RESPONSE && call->text &&
        !tw_wire_job_parse(&spec, call->text, strlen(call->text), &why)) {
        tw_peer_admission_create(core, call->connection, &spec);
        tw_wire_job_free(&spec);
        return;
    }
    if (call->operation == TW_OPERATION_CANCEL)
        tw_cancellation_reject(core, call->connection, call->name, 1, "leader does not answer");
    else
        tw_admission_reject(core, call->connection, call->name, 1, "leader does not answer");
}
