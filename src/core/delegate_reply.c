/* Answers workers' heartbeats as a lease delegate: the answers renew the worker's lease and stop
 * its tasks of cancelled jobs. */
#include "core/heartbeat_forwarder.h"
#include "core/workers.h"

static void answer_worker(tw_core *core, uint64_t connection, const tw_wire_heartbeat *heartbeat) {
    tw_command_list commands = tw_command_list_for_answer(core);
    for (int i = 0; i < heartbeat->task_count; i++) {
        const tw_wire_task *task = &heartbeat->tasks[i];
        if (task->state == TW_TASK_EXITED) continue;
        if (!tw_cluster_delegate_must_stop_job(core->cluster, task->job)) continue;
        tw_command_list_add(&commands, TW_COMMAND_STOP, task);
    }
    char *text = tw_commands_delegate_text(core, heartbeat, &commands);
    if (text)
        tw_reply(&core->context, connection, TW_HTTP_OK, 0, text);
    else
        tw_reply_error(&core->context, connection, TW_HTTP_UNAVAILABLE, 1, "no right to answer");
}

bool tw_delegate_answer_heartbeat(tw_core *core, uint64_t connection,
                                  const tw_wire_heartbeat *heartbeat) {
    if (!tw_cluster_delegate_may_answer(core->cluster, heartbeat->worker, heartbeat->zone)) {
        if (!strcmp(heartbeat->zone, core->context.config->location))
            tw_cluster_request_delegation(core->cluster);
        return false;
    }
    tw_cluster_note_delegate_answer(core->cluster);
    answer_worker(core, connection, heartbeat);
    return true;
}
