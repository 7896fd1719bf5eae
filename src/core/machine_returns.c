/* Returns machines to the cloud: one call returns many of the machines that are marked with
 * return_wanted. A machine is removed only after the cloud has confirmed its return;
 * core->returned_machines then keeps its name, since the cloud's list may still contain the
 * machine. */
#include "core/autoscaler_int.h"
#include <stdbool.h>

#define TIMEOUT_S 5
#define RETRY_S 1
#define MAX_RETURNS_PER_REQUEST 100

void tw_machine_returns_send(tw_core *core) {
    char names[MAX_RETURNS_PER_REQUEST][TW_NAME_SIZE];
    int count = 0;
    if (!core->returns_due) return;
    tw_machine *machine;
    struct tw_machine *next;
    HASH_ITER(hh, core->machines, machine, next) {
        if (!machine->return_wanted || machine->return_in_flight ||
            count >= MAX_RETURNS_PER_REQUEST)
            continue;
        snprintf(names[count++], TW_NAME_SIZE, "%s", machine->name);
    }
    core->returns_due = count > 0; /* stays true until no machine is left to return */
    if (!count || !tw_rate_limiter_try_acquire(&core->cloud_limiter, core->context.now, 1)) return;
    for (int i = 0; i < count; i++) tw_machine_find(core, names[i])->return_in_flight = true;
    tw_call *call = tw_call_send(&core->context, TW_CALL_RETURN_MACHINES, TW_TO_CLOUD,
                                 core->context.config->cloud, "POST", "/rentals/release",
                                 tw_wire_machine_names_text(names, count), TIMEOUT_S);
    call->count = count;
    call->names = tw_alloc((size_t)count * TW_NAME_SIZE);
    memcpy(call->names, names, (size_t)count * TW_NAME_SIZE);
    core->return_in_flight = true;
}

void tw_machine_returns_response(tw_core *core, const tw_call *call, int status) {
    core->return_in_flight = false;
    for (int i = 0; i < call->count; i++) {
        tw_machine *machine = tw_machine_find(core, call->names[i]);
        if (!machine) continue;
        if (status != TW_HTTP_OK) {
            machine->return_in_flight = false; /* repeating a return is harmless */
            core->returns_due = true;
            core->next_return_at = core->context.now + RETRY_S;
            continue;
        }
        tw_expiring_names_add(&core->returned_machines, machine->name, core->context.now);
        tw_machine_forget(core, machine, "released");
    }
}
