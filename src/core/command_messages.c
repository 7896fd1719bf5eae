/* Composes messages with commands and checks that this node has the permission for them.
 *
 * Every message with commands is composed here, so that no code path can send one with a wrong
 * token or after the permission has ended. A delegate's messages contain only stop commands. */
#include "core/workers.h"
#include "core/heartbeat_forwarder.h"
#include <stdbool.h>

/* Returns whether a later command of the same message stops the task that the command at index
 * launch starts. Such a launch does not make the task run: it only settles an earlier launch whose
 * outcome is unknown. */
static bool is_stopped_by_later_command(const tw_command_list *commands, int launch) {
    const tw_wire_command *launched = &commands->list[launch];
    for (int i = launch + 1; i < commands->count; i++) {
        const tw_wire_command *command = &commands->list[i];
        if (command->kind == TW_COMMAND_STOP && command->index == launched->index &&
            command->attempt == launched->attempt && !strcmp(command->job, launched->job))
            return true;
    }
    return false;
}

/* Returns the permission that the commands require in an answer to a heartbeat. */
static tw_permission needed_permission(const tw_command_list *commands) {
    for (int i = 0; i < commands->count; i++) {
        const tw_wire_command_kind kind = commands->list[i].kind;
        if (kind == TW_COMMAND_FORGET) return TW_PERMISSION_COMMAND;
        if (kind == TW_COMMAND_LAUNCH && !is_stopped_by_later_command(commands, i))
            return TW_PERMISSION_COMMAND;
    }
    return TW_PERMISSION_RENEW;
}

char *tw_commands_reply_text(tw_core *core, const tw_command_list *commands) {
    const tw_permission permission = needed_permission(commands);
    if (!tw_cluster_may(core->cluster, permission)) {
        tw_invariant_broken(core, TW_INVARIANT_PERMISSION, "commands=%d permission=%d",
                            commands->count, permission);
        return NULL;
    }
    return tw_wire_commands_text(tw_cluster_token(core->cluster), 0, commands->list,
                                 (size_t)commands->count);
}

char *tw_commands_direct_text(tw_core *core, const tw_machine *machine,
                              const tw_command_list *commands) {
    if (!tw_cluster_may(core->cluster, TW_PERMISSION_COMMAND)) {
        tw_invariant_broken(core, TW_INVARIANT_PERMISSION, "worker=%s commands=%d", machine->name,
                            commands->count);
        return NULL;
    }
    return tw_wire_commands_text(tw_cluster_token(core->cluster), machine->incarnation,
                                 commands->list, (size_t)commands->count);
}

char *tw_commands_delegate_text(tw_core *core, const tw_wire_heartbeat *heartbeat,
                                const tw_command_list *commands) {
    bool stops_only = true;
    for (int i = 0; i < commands->count; i++)
        stops_only &= commands->list[i].kind == TW_COMMAND_STOP;
    if (!stops_only ||
        !tw_cluster_delegate_may_answer(core->cluster, heartbeat->worker, heartbeat->zone)) {
        tw_invariant_broken(core, TW_INVARIANT_PERMISSION, "worker=%s delegate=1 commands=%d",
                            heartbeat->worker, commands->count);
        return NULL;
    }
    return tw_wire_commands_text(tw_cluster_highest_token(core->cluster), 0, commands->list,
                                 (size_t)commands->count);
}
