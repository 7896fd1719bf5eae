/* Schedules the autoscaler's work and its calls to the cloud: the plan, rental requests, returns,
 * and the lists of machine types and of rented machines. Dispatches each response to the module
 * that handles it. Only the leader plans and sends requests, apart from the request for the machine
 * types. The cloud accepts few calls per second, so core->cloud_limiter counts every call. */
#include "core/autoscaler_int.h"
#include <stdbool.h>

#define TYPES_TIMEOUT_S 3
#define TYPES_INTERVAL_S 60
#define TYPES_RETRY_S 0.5 /* between attempts until the first list has been received */
#define PLAN_INTERVAL_S 0.5
#define FLEET_LOG_INTERVAL_LEASES 2 /* leases between two fleet counts in the log */

/* Requests the list of machine types when it is due. */
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
