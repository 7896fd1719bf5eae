/* The calls to the cloud: what is asked of it and when, rental requests, returns, and what becomes
 * of its responses. The cloud takes few calls a second, so each one is counted by
 * core->cloud_limiter.
 *
 * Invariants: a rental request stays in core->rental_requests until the cloud's answer is known,
 * and until then it is sent again under the same name, to which the cloud gives the same answer; a
 * machine that we return is forgotten only after the cloud has confirmed it. */
#include "core/autoscaler_int.h"
#include <stdbool.h>

#define TIMEOUT_S 5
#define TYPES_TIMEOUT_S 3
#define TYPES_INTERVAL_S 60
#define TYPES_RETRY_S 0.5 /* between two attempts until the types are known */
#define PLAN_INTERVAL_S 0.5
#define RETRY_S 1
#define MAX_RETURNS_PER_REQUEST 100
#define FLEET_LOG_INTERVAL_LEASES 2 /* between two counts of the fleet in the log */
/* How long nothing is asked of an offer; in lags of the cloud's list of machines where it says so.
 */
#define PAUSE_AFTER_PARTIAL_GRANT_LAGS 2
#define MAX_PAUSE_AFTER_REFUSAL_LAGS 6
#define PAUSE_AFTER_MALFORMED_S 60

/* ---- returning ---- */

/* Asks the cloud to take back the machines that are wanted back. */
static void send_returns(tw_core *core) {
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
    core->returns_due = count > 0; /* until none is left */
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

/* Forgets the machines that were returned, or has their return asked for again. */
static void handle_return_response(tw_core *core, const tw_call *call, int status) {
    core->return_in_flight = false;
    for (int i = 0; i < call->count; i++) {
        tw_machine *machine = tw_machine_find(core, call->names[i]);
        if (!machine) continue;
        if (status != TW_HTTP_OK) {
            machine->return_in_flight = false; /* asked for again: returning twice is harmless */
            core->returns_due = true;
            core->next_return_at = core->context.now + RETRY_S;
            continue;
        }
        tw_expiring_names_add(&core->returned_machines, machine->name, core->context.now);
        tw_machine_forget(core, machine, "released");
    }
}

/* ---- rental requests ---- */

/* Sends a request, for the first time or again. */
static void send_rental_request(tw_core *core, tw_rental_request *request) {
    const tw_capacity_offer *offer = tw_offer_of_request(core, request);
    request->in_flight = true;
    tw_call *call =
        tw_call_send(&core->context, TW_CALL_RENT_MACHINES, TW_TO_CLOUD,
                     core->context.config->cloud, "POST", "/rentals",
                     tw_wire_rental_request_text(
                         request->name, core->machine_types[request->type_index].listed.name,
                         tw_offer_zone(core, offer), request->spot, request->machine_count),
                     TIMEOUT_S);
    snprintf(call->name, sizeof call->name, "%s", request->name);
}

/* The offer with the largest need: machines wanted times the time for which they have been. NULL:
 * nothing is wanted. */
static tw_capacity_offer *find_most_wanted_offer(const tw_core *core) {
    tw_capacity_offer *best = NULL;
    double largest_need = 0;
    for (int i = 0; i < core->capacity_offer_count; i++) {
        tw_capacity_offer *offer = &core->capacity_offers[i];
        if (offer->wanted_count <= 0 || core->context.now < offer->refused_until) continue;
        const double need = offer->wanted_count * (core->context.now - offer->wanted_since + 0.5);
        if (need <= largest_need) continue;
        largest_need = need;
        best = offer;
    }
    return best;
}

/* Asks the cloud for the machines that are wanted of the offer, as many as a request may name. */
static void request_from_offer(tw_core *core, tw_capacity_offer *offer) {
    tw_rental_request *request = tw_alloc(sizeof *request);
    /* The fencing token makes the name different from those of all other leaders. */
    snprintf(request->name, sizeof request->name, "r-%llu-%llu",
             (unsigned long long)tw_cluster_token(core->cluster),
             (unsigned long long)++core->next_rental_request);
    request->type_index = offer->type_index;
    request->zone_index = offer->zone_index;
    request->spot = offer->spot;
    request->machine_count =
        offer->wanted_count > TW_MAX_RENTAL ? TW_MAX_RENTAL : offer->wanted_count;
    offer->wanted_count -= request->machine_count;
    offer->wanted_since = offer->wanted_count ? core->context.now : 0;
    DL_APPEND(core->rental_requests, request);
    send_rental_request(core, request);
}

/* Notes a machine that the cloud has rented to us. sent_at: when it was asked for. */
static void add_rented_machine(tw_core *core, const tw_rental_request *request, const char *name,
                               double sent_at) {
    if (tw_expiring_names_find(core->returned_machines, name)) return;
    if (tw_machine_find(core, name)) return;
    tw_machine *machine = tw_machine_new(core, name);
    machine->type_index = request->type_index;
    machine->spot = request->spot;
    machine->known_since = sent_at;
    tw_machine_set_zone(core, machine, tw_offer_zone(core, tw_offer_of_request(core, request)));
    snprintf(machine->type_name, sizeof machine->type_name, "%s",
             core->machine_types[request->type_index].listed.name);
}

/* The cloud granted the request, in full or in part. */
static void handle_grant(tw_core *core, const tw_rental_request *request,
                         char (*names)[TW_WIRE_NAME_SIZE], int count, double sent_at) {
    tw_capacity_offer *offer = tw_offer_of_request(core, request);
    for (int i = 0; i < count; i++) add_rented_machine(core, request, names[i], sent_at);
    tw_log_info("event=machines_rented request=%s machine_type=%s zone=%s spot=%d asked=%d got=%d",
                request->name, core->machine_types[request->type_index].listed.name,
                tw_offer_zone(core, offer), request->spot, request->machine_count, count);
    const bool is_partial = count < request->machine_count;
    offer->refusal_count = is_partial ? offer->refusal_count + 1 : 0;
    if (is_partial)
        offer->refused_until =
            core->context.now + core->context.config->list_lag_s * PAUSE_AFTER_PARTIAL_GRANT_LAGS;
}

/* The cloud has no such machines: the offer is left alone, for longer after each refusal in a row.
 */
static void handle_refusal(tw_core *core, const tw_rental_request *request) {
    tw_capacity_offer *offer = tw_offer_of_request(core, request);
    offer->refusal_count++;
    offer->refused_until =
        core->context.now + core->context.config->list_lag_s *
                                fmin(MAX_PAUSE_AFTER_REFUSAL_LAGS, 1 + offer->refusal_count);
    tw_log_info("event=rental_refused machine_type=%s zone=%s spot=%d",
                core->machine_types[request->type_index].listed.name, tw_offer_zone(core, offer),
                request->spot);
}

/* Takes the response to a rental request, which ends unless the answer is unknown. */
static void handle_rental_response(tw_core *core, const tw_call *call, int status, const char *body,
                                   size_t length) {
    tw_rental_request *request;
    char(*names)[TW_WIRE_NAME_SIZE];
    int count;
    DL_FOREACH(core->rental_requests, request) {
        if (!strcmp(request->name, call->name)) break;
    }
    if (!request) return;
    request->in_flight = false;
    if (status == TW_HTTP_OK && !tw_wire_machine_names_parse(&names, &count, body, length)) {
        handle_grant(core, request, names, count, call->sent_at);
        free(names);
    } else if (status == TW_HTTP_UNAVAILABLE && strstr(body, "no capacity")) {
        handle_refusal(core, request);
    } else if (status == TW_HTTP_BAD_REQUEST) {
        tw_log_error("event=rental_answer_malformed request=%s", request->name);
        tw_offer_of_request(core, request)->refused_until =
            core->context.now + PAUSE_AFTER_MALFORMED_S;
    } else { /* unknown: asked again, the same name gets the same answer */
        request->next_attempt_at = core->context.now + RETRY_S;
        return;
    }
    DL_DELETE(core->rental_requests, request);
    free(request);
    core->scheduling_due = true;
}

/* ---- time ---- */

/* The machines of a type, either spot or on-demand ones, and what is in use of them. */
typedef struct {
    int up, idle, coming;
    double cores, gpus, batch_gpus;
} fleet_count;

/* Counts a machine. */
static void count_machine(fleet_count *count, const tw_machine *machine) {
    if (machine->state == TW_MACHINE_BOOTING) {
        count->coming++;
        return;
    }
    count->up++;
    count->idle += !tw_machine_is_occupied(machine);
    count->cores += machine->used_cores;
    count->gpus += machine->used_gpus;
    const tw_placement *placed;
    DL_FOREACH(machine->placements, placed) {
        if (placed->counted && !placed->job->spec.service)
            count->batch_gpus += placed->job->spec.gpus;
    }
}

/* Logs for the operators how many machines there are of each type, and how full they are. */
static void log_fleet(const tw_core *core) {
    if (!tw_log_on(TW_LOG_INFO)) return;
    fleet_count(*counts)[2] = tw_alloc((size_t)core->machine_type_count * sizeof *counts);
    const tw_machine *machine;
    const struct tw_machine *next;
    HASH_ITER(hh, core->machines, machine, next) {
        if (machine->type_index >= 0)
            count_machine(&counts[machine->type_index][!!machine->spot], machine);
    }
    for (int i = 0; i < core->machine_type_count; i++)
        for (int spot = 0; spot < 2; spot++) {
            const tw_wire_machine_type *type = &core->machine_types[i].listed;
            const fleet_count *count = &counts[i][spot];
            if (!count->up && !count->coming) continue;
            tw_log_info(
                "event=fleet_counted machine_type=%s spot=%d up=%d idle=%d coming=%d cores=%.2f "
                "gpus=%.2f batch_gpus=%.0f",
                type->name, spot, count->up, count->idle, count->coming,
                count->up ? count->cores / (count->up * type->cores) : 0,
                count->up && type->gpus > 0 ? count->gpus / (count->up * type->gpus) : 0,
                count->batch_gpus);
        }
    free(counts);
}

/* Asks for the list of machine types when it is due. */
static void request_machine_types(tw_core *core) {
    if (core->machine_types_in_flight || core->context.now < core->next_machine_types_at ||
        !tw_rate_limiter_try_acquire(&core->cloud_limiter, core->context.now, 1))
        return;
    core->machine_types_in_flight = true;
    tw_call_send(&core->context, TW_CALL_LIST_MACHINE_TYPES, TW_TO_CLOUD,
                 core->context.config->cloud, "GET", "/flavors", NULL, TYPES_TIMEOUT_S);
}

/* Sends the rental requests that are due, first the unanswered ones again. The cloud takes few
 * calls: what is wanted gathers until a request may be sent. */
static void send_due_rental_requests(tw_core *core) {
    tw_rental_request *request;
    DL_FOREACH(core->rental_requests, request) {
        if (!request->in_flight && core->context.now >= request->next_attempt_at &&
            tw_rate_limiter_try_acquire(&core->cloud_limiter, core->context.now, 1))
            send_rental_request(core, request);
    }
    for (tw_capacity_offer *offer;
         (offer = find_most_wanted_offer(core)) &&
         tw_rate_limiter_try_acquire(&core->cloud_limiter, core->context.now, 1);)
        request_from_offer(core, offer);
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
        log_fleet(core);
    }
    send_due_rental_requests(core);
    if (!core->return_in_flight && core->context.now >= core->next_return_at) send_returns(core);
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
        handle_rental_response(core, call, status, body, length);
        break;
    case TW_CALL_RETURN_MACHINES:
        handle_return_response(core, call, status);
        break;
    default:
        break;
    }
}
