/* The autoscaler's clock and its calls to the cloud: when to plan, to ask for machines and types,
 * to return machines and to read the list of machines, and which module takes a response. Only the
 * leader plans and asks; the cloud takes few calls a second, so each one is counted by
 * core->cloud_limiter. */
#include "core/autoscaler_int.h"
#include <stdbool.h>

#define TYPES_TIMEOUT_S 3
#define TYPES_INTERVAL_S 60
#define TYPES_RETRY_S 0.5 /* between two attempts until the types are known */
#define PLAN_INTERVAL_S 0.5
#define FLEET_LOG_INTERVAL_LEASES 2 /* between two counts of the fleet in the log */

/* Asks for the list of machine types when it is due. */
static void request_machine_types(tw_core *core) {
    if (core->machine_types_in_flight || core->context.now < core->next_machine_types_at ||
        !tw_rate_limiter_try_acquire(&core->cloud_limiter, core->context.now, 1))
        return;
    core->machine_types_in_flight = true;
    tw_call_send(&core->context, TW_CALL_LIST_MACHINE_TYPES, TW_TO_CLOUD,
                 core->context.config->cloud, "GET", "/flavors", NULL, TYPES_TIMEOUT_S);
}

void tw_autoscaler_tick(tw_core *core) {
    request_machine_types(core);
    if (!tw_cluster_is_active(core->cluster) ||
        !tw_cluster_may(core->cluster, TW_PERMISSION_COMMAND) || !core->machine_type_count)
        return;
    if (core->context.now >= core->next_plan_at) {
        core->next_plan_at = core->context.now + PLAN_INTERVAL_S;
        tw_autoscaler_plan(core);
    }
    if (core->context.now >= core->next_fleet_log_at) {
        core->next_fleet_log_at =
            core->context.now + FLEET_LOG_INTERVAL_LEASES * core->context.config->lease_s;
        tw_fleet_log(core);
    }
    tw_rental_requests_send(core);
    if (!core->return_in_flight && core->context.now >= core->next_return_at)
        tw_machine_returns_send(core);
    tw_machine_list_tick(core);
}

void tw_autoscaler_response(tw_core *core, tw_call *call, int status, const char *body,
                            size_t length) {
    switch (call->kind) {
    case TW_CALL_LIST_MACHINE_TYPES:
        core->machine_types_in_flight = false;
        if (status == TW_HTTP_OK) tw_machine_types_response(core, body, length);
        core->next_machine_types_at =
            core->context.now + (core->machine_type_count ? TYPES_INTERVAL_S : TYPES_RETRY_S);
        break;
    case TW_CALL_LIST_MACHINES:
        tw_machine_list_page(core, status, body, length);
        break;
    case TW_CALL_RENT_MACHINES:
        tw_rental_requests_response(core, call, status, body, length);
        break;
    case TW_CALL_RETURN_MACHINES:
        tw_machine_returns_response(core, call, status);
        break;
    default:
        break;
    }
}
