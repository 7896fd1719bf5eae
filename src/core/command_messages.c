/* The text of orders, with the check that this node may give them. Every message with orders is
 * made here, so that no path can give one under another token, or when its right has lapsed. */
#include "core/workers.h"
#include "core/heartbeat_forwarder.h"

/* A launch that is stopped by a later order of the same message settles one whose fate is unknown;
 * it starts nothing. */
static int is_stopped_at_once(const tw_command_list *orders, int launch) {
    const tw_wire_command *launched = &orders->list[launch];
    for (int i = launch + 1; i < orders->count; i++) {
        const tw_wire_command *order = &orders->list[i];
        if (order->kind == TW_COMMAND_STOP && order->index == launched->index &&
            order->attempt == launched->attempt && !strcmp(order->job, launched->job))
            return 1;
    }
    return 0;
}

/* The right that the orders need in an answer to a report. */
static tw_permission needed(const tw_command_list *orders) {
    for (int i = 0; i < orders->count; i++) {
        const int verb = orders->list[i].kind;
        if (verb == TW_COMMAND_FORGET) return TW_PERMISSION_COMMAND;
        if (verb == TW_COMMAND_LAUNCH && !is_stopped_at_once(orders, i))
            return TW_PERMISSION_COMMAND;
    }
    return TW_PERMISSION_RENEW;
}

char *tw_commands_reply_text(tw_core *core, const tw_command_list *orders) {
    const tw_permission right = needed(orders);
    if (!tw_leader_may(core, right)) {
        tw_invariant_broken(core, TW_INVARIANT_PERMISSION, "commands=%d permission=%d",
                            orders->count, right);
        return NULL;
    }
    return tw_wire_commands_text(core->fencing_token, 0, orders->list, (size_t)orders->count);
}

char *tw_commands_direct_text(tw_core *core, const tw_machine *machine,
                              const tw_command_list *orders) {
    if (!tw_leader_may(core, TW_PERMISSION_COMMAND)) {
        tw_invariant_broken(core, TW_INVARIANT_PERMISSION, "worker=%s commands=%d", machine->name,
                            orders->count);
        return NULL;
    }
    return tw_wire_commands_text(core->fencing_token, machine->incarnation, orders->list,
                                 (size_t)orders->count);
}

char *tw_commands_delegate_text(tw_core *core, const tw_wire_heartbeat *report,
                                const tw_command_list *orders) {
    int stops_only = 1;
    for (int i = 0; i < orders->count; i++) stops_only &= orders->list[i].kind == TW_COMMAND_STOP;
    if (!stops_only || !tw_delegate_is_entitled(core, report->worker, report->zone)) {
        tw_invariant_broken(core, TW_INVARIANT_PERMISSION, "worker=%s delegate=1 commands=%d",
                            report->worker, orders->count);
        return NULL;
    }
    return tw_wire_commands_text(core->highest_token_seen, 0, orders->list, (size_t)orders->count);
}
