/* Rental requests: sends them to the cloud and handles the responses.
 *
 * Invariants: a request stays in core->rental_requests until its result is known, and is repeated
 * under the same name until then; the cloud gives the same answer to a repeated name. No leader
 * reuses the name of a request. */
#include "core/autoscaler_int.h"
#include <stdbool.h>

#define TIMEOUT_S 5
#define RETRY_S 1
/* Pauses before the next request to an offer. Those in LAGS are multiples of list_lag_s, the lag of
 * the cloud's list of machines. */
#define PAUSE_AFTER_PARTIAL_GRANT_LAGS 2
#define MAX_PAUSE_AFTER_REFUSAL_LAGS 6
#define PAUSE_AFTER_MALFORMED_S 60
#define INITIAL_WANTED_S 0.5 /* added to the wanted time, so that a new need is positive */

/* Sends a new request, or repeats one under the same name. */
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

/* Returns the offer with the largest need: the number of wanted machines times the time for which
 * they have been wanted. NULL: no machine is wanted. */
static tw_capacity_offer *find_most_wanted_offer(const tw_core *core) {
    tw_capacity_offer *best = NULL;
    double largest_need = 0;
    for (int i = 0; i < core->capacity_offer_count; i++) {
        tw_capacity_offer *offer = &core->capacity_offers[i];
        if (offer->wanted_count <= 0 || core->context.now < offer->refused_until) continue;
        const double need =
            offer->wanted_count * (core->context.now - offer->wanted_since + INITIAL_WANTED_S);
        if (need <= largest_need) continue;
        largest_need = need;
        best = offer;
    }
    return best;
}

/* Requests the wanted machines of the offer, up to the limit per request. */
static void request_from_offer(tw_core *core, tw_capacity_offer *offer) {
    tw_rental_request *request = tw_alloc(sizeof *request);
    /* The fencing token distinguishes the name from those of all other leaders. */
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

/* Adds a machine that the cloud has granted. sent_at: when the request was sent. */
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

/* Handles a request that the cloud has granted in full or in part. */
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

/* Handles a refusal for lack of capacity: pauses requests to the offer, for longer after each
 * consecutive refusal. */
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

void tw_rental_requests_response(tw_core *core, const tw_call *call, int status, const char *body,
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
    } else { /* the result is unknown: the request is repeated under the same name */
        request->next_attempt_at = core->context.now + RETRY_S;
        return;
    }
    DL_DELETE(core->rental_requests, request);
    free(request);
    core->scheduling_due = true;
}

void tw_rental_requests_send(tw_core *core) {
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
