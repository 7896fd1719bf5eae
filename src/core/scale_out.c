/* Dealing with the cloud: what is asked of it and when, rental requests, and returns. */
#include "core/autoscaler_int.h"
#include <stdbool.h>

#define TIMEOUT_S 5
#define TYPES_TIMEOUT_S 3
#define TYPES_EVERY_S 60
#define TYPES_RETRY_S 0.5 /* until they are known */
#define PLAN_EVERY_S 0.5
#define RETRY_S 1
#define RETURNED_AT_ONCE 100
#define FLEET_LOG_LEASES 2 /* between two log lines on the fleet */
/* How long an offer is left alone after a refusal, in lags of the list. */
#define AFTER_PART_LAGS 2
#define AFTER_REFUSAL_MOST_LAGS 6
#define AFTER_MALFORMED_S 60

/* ---- returning ---- */

static void send_returns(tw_core *core) {
    char names[RETURNED_AT_ONCE][TW_NAME_SIZE];
    int count = 0;
    if (!core->returns_due) return;
    tw_machine *machine;
    struct tw_machine *next;
    HASH_ITER(hh, core->machines, machine, next) {
        if (!machine->return_wanted || machine->return_in_flight || count >= RETURNED_AT_ONCE)
            continue;
        snprintf(names[count++], TW_NAME_SIZE, "%s", machine->name);
    }
    core->returns_due = count > 0; /* until none is left */
    if (!count || !tw_rate_limiter_try_acquire(&core->cloud_limiter, core->context.now, 1)) return;
    for (int i = 0; i < count; i++) tw_machine_find(core, names[i])->return_in_flight = 1;
    tw_call *call = tw_call_send(&core->context, TW_CALL_RETURN_MACHINES, TW_TO_CLOUD,
                                 core->context.config->cloud, "POST", "/rentals/release",
                                 tw_wire_machine_names_text(names, count), TIMEOUT_S);
    call->count = count;
    call->names = tw_alloc((size_t)count * TW_NAME_SIZE);
    memcpy(call->names, names, (size_t)count * TW_NAME_SIZE);
    core->return_in_flight = true;
}

static void returns_done(tw_core *core, const tw_call *call, int status) {
    core->return_in_flight = false;
    for (int i = 0; i < call->count; i++) {
        tw_machine *machine = tw_machine_find(core, call->names[i]);
        if (!machine) continue;
        if (status != TW_HTTP_OK) {
            machine->return_in_flight = 0; /* asked again: releasing twice is harmless */
            core->returns_due = true;
            core->next_return_at = core->context.now + RETRY_S;
            continue;
        }
        tw_expiring_names_add(&core->returned_machines, machine->name, core->context.now);
        tw_machine_forget(core, machine, "released");
    }
}

/* ---- rental requests ---- */

/* The offer that a request is for: offers stay, so there is one. */
static tw_capacity_offer *offer_of(const tw_core *core, const tw_rental_request *request) {
    for (int i = 0; i < core->capacity_offer_count; i++) {
        tw_capacity_offer *offer = &core->capacity_offers[i];
        if (offer->type_index == request->type_index && offer->zone_index == request->zone_index &&
            offer->spot == request->spot)
            return offer;
    }
    return NULL;
}

static void send_request(tw_core *core, tw_rental_request *request) {
    const tw_capacity_offer *offer = offer_of(core, request);
    request->in_flight = 1;
    tw_call *call =
        tw_call_send(&core->context, TW_CALL_RENT_MACHINES, TW_TO_CLOUD,
                     core->context.config->cloud, "POST", "/rentals",
                     tw_wire_rental_request_text(
                         request->name, core->machine_types[request->type_index].listed.name,
                         tw_offer_zone(core, offer), request->spot, request->machine_count),
                     TIMEOUT_S);
    snprintf(call->name, sizeof call->name, "%s", request->name);
}

/* The offer that most machines have been wanted of for longest. */
static tw_capacity_offer *most_wanted(const tw_core *core) {
    tw_capacity_offer *best = NULL;
    double most = 0;
    for (int i = 0; i < core->capacity_offer_count; i++) {
        tw_capacity_offer *offer = &core->capacity_offers[i];
        if (offer->wanted <= 0 || core->context.now < offer->refused_until) continue;
        const double wanted = offer->wanted * (core->context.now - offer->wanted_since + 0.5);
        if (wanted <= most) continue;
        most = wanted;
        best = offer;
    }
    return best;
}

static void request_of(tw_core *core, tw_capacity_offer *offer) {
    tw_rental_request *request = tw_alloc(sizeof *request);
    /* The token makes the name unlike any of another leader's. */
    snprintf(request->name, sizeof request->name, "r-%llu-%llu",
             (unsigned long long)tw_cluster_token(core->cluster),
             (unsigned long long)++core->next_rental_request);
    request->type_index = offer->type_index;
    request->zone_index = offer->zone_index;
    request->spot = offer->spot;
    request->machine_count = offer->wanted > TW_MAX_RENTAL ? TW_MAX_RENTAL : offer->wanted;
    offer->wanted -= request->machine_count;
    offer->wanted_since = offer->wanted ? core->context.now : 0;
    DL_APPEND(core->rental_requests, request);
    send_request(core, request);
}

static void take_rented(tw_core *core, const tw_rental_request *request, const char *name,
                        double sent) {
    if (tw_expiring_names_find(core->returned_machines, name)) return;
    if (tw_machine_find(core, name)) return;
    tw_machine *machine = tw_machine_new(core, name);
    machine->type_index = request->type_index;
    machine->spot = request->spot;
    machine->known_since = sent;
    tw_machine_set_zone(core, machine, tw_offer_zone(core, offer_of(core, request)));
    snprintf(machine->type_name, sizeof machine->type_name, "%s",
             core->machine_types[request->type_index].listed.name);
}

static void granted(tw_core *core, const tw_rental_request *request,
                    char (*names)[TW_WIRE_NAME_SIZE], int count, double sent) {
    tw_capacity_offer *offer = offer_of(core, request);
    for (int i = 0; i < count; i++) take_rented(core, request, names[i], sent);
    tw_log_info("event=machines_rented request=%s machine_type=%s zone=%s spot=%d asked=%d got=%d",
                request->name, core->machine_types[request->type_index].listed.name,
                tw_offer_zone(core, offer), request->spot, request->machine_count, count);
    const bool partly = count < request->machine_count;
    offer->refused = partly ? offer->refused + 1 : 0;
    if (partly)
        offer->refused_until =
            core->context.now + core->context.config->list_lag_s * AFTER_PART_LAGS;
}

static void refused(tw_core *core, const tw_rental_request *request) {
    tw_capacity_offer *offer = offer_of(core, request);
    offer->refused++;
    offer->refused_until =
        core->context.now +
        core->context.config->list_lag_s * fmin(AFTER_REFUSAL_MOST_LAGS, 1 + offer->refused);
    tw_log_info("event=rental_refused machine_type=%s zone=%s spot=%d",
                core->machine_types[request->type_index].listed.name, tw_offer_zone(core, offer),
                request->spot);
}

static void request_done(tw_core *core, const tw_call *call, int status, const char *body,
                         size_t length) {
    tw_rental_request *request;
    char(*names)[TW_WIRE_NAME_SIZE];
    int count;
    DL_FOREACH(core->rental_requests, request) {
        if (!strcmp(request->name, call->name)) break;
    }
    if (!request) return;
    request->in_flight = 0;
    if (status == TW_HTTP_OK && !tw_wire_machine_names_parse(&names, &count, body, length)) {
        granted(core, request, names, count, call->sent_at);
        free(names);
    } else if (status == TW_HTTP_UNAVAILABLE && strstr(body, "no capacity")) {
        refused(core, request);
    } else if (status == TW_HTTP_BAD_REQUEST) {
        tw_log_error("event=rental_answer_malformed request=%s", request->name);
        offer_of(core, request)->refused_until = core->context.now + AFTER_MALFORMED_S;
    } else { /* unknown: the same name again gets the same answer */
        request->next_try = core->context.now + RETRY_S;
        return;
    }
    DL_DELETE(core->rental_requests, request);
    free(request);
    core->scheduling_due = true;
}

/* ---- time ---- */

/* What there is of a machine type, as spot or on-demand. */
typedef struct {
    int up, idle, coming;
    double cores, gpus, batch_gpus;
} fleet_part;

static void count_machine(fleet_part *part, const tw_machine *machine) {
    if (machine->state == TW_MACHINE_BOOTING) {
        part->coming++;
        return;
    }
    part->up++;
    part->idle += !tw_machine_is_occupied(machine);
    part->cores += machine->used_cores;
    part->gpus += machine->used_gpus;
    const tw_placement *placed;
    DL_FOREACH(machine->placements, placed) {
        if (placed->counted && !placed->job->spec.service)
            part->batch_gpus += placed->job->spec.gpus;
    }
}

/* What there is and how full it is, for the operators' eyes. */
static void log_fleet(const tw_core *core) {
    if (!tw_log_on(TW_LOG_INFO)) return;
    fleet_part(*parts)[2] = tw_alloc((size_t)core->machine_type_count * sizeof *parts);
    const tw_machine *machine;
    const struct tw_machine *next;
    HASH_ITER(hh, core->machines, machine, next) {
        if (machine->type_index >= 0)
            count_machine(&parts[machine->type_index][!!machine->spot], machine);
    }
    for (int i = 0; i < core->machine_type_count; i++)
        for (int spot = 0; spot < 2; spot++) {
            const tw_wire_machine_type *type = &core->machine_types[i].listed;
            const fleet_part *part = &parts[i][spot];
            if (!part->up && !part->coming) continue;
            tw_log_info(
                "event=fleet_counted machine_type=%s spot=%d up=%d idle=%d coming=%d cores=%.2f "
                "gpus=%.2f batch_gpus=%.0f",
                type->name, spot, part->up, part->idle, part->coming,
                part->up ? part->cores / (part->up * type->cores) : 0,
                part->up && type->gpus > 0 ? part->gpus / (part->up * type->gpus) : 0,
                part->batch_gpus);
        }
    free(parts);
}

static void ask_types(tw_core *core) {
    if (core->machine_types_in_flight || core->context.now < core->next_machine_types_at ||
        !tw_rate_limiter_try_acquire(&core->cloud_limiter, core->context.now, 1))
        return;
    core->machine_types_in_flight = true;
    tw_call_send(&core->context, TW_CALL_LIST_MACHINE_TYPES, TW_TO_CLOUD,
                 core->context.config->cloud, "GET", "/flavors", NULL, TYPES_TIMEOUT_S);
}

/* Little may be asked of the cloud: what is wanted gathers until a request may go. */
static void ask_machines(tw_core *core) {
    tw_rental_request *request;
    DL_FOREACH(core->rental_requests, request) {
        if (!request->in_flight && core->context.now >= request->next_try &&
            tw_rate_limiter_try_acquire(&core->cloud_limiter, core->context.now, 1))
            send_request(core, request);
    }
    for (tw_capacity_offer *offer;
         (offer = most_wanted(core)) &&
         tw_rate_limiter_try_acquire(&core->cloud_limiter, core->context.now, 1);)
        request_of(core, offer);
}

void tw_autoscaler_tick(tw_core *core) {
    ask_types(core);
    if (!tw_cluster_is_active(core->cluster) ||
        !tw_cluster_may(core->cluster, TW_PERMISSION_COMMAND) || !core->machine_type_count)
        return;
    if (core->context.now >= core->next_plan_at) {
        core->next_plan_at = core->context.now + PLAN_EVERY_S;
        tw_autoscaler_plan(core);
    }
    if (core->context.now >= core->next_fleet_log_at) {
        core->next_fleet_log_at =
            core->context.now + FLEET_LOG_LEASES * core->context.config->lease_s;
        log_fleet(core);
    }
    ask_machines(core);
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
            core->context.now + (core->machine_type_count ? TYPES_EVERY_S : TYPES_RETRY_S);
        break;
    case TW_CALL_LIST_MACHINES:
        tw_machine_list_page(core, status, body, length);
        break;
    case TW_CALL_RENT_MACHINES:
        request_done(core, call, status, body, length);
        break;
    case TW_CALL_RETURN_MACHINES:
        returns_done(core, call, status);
        break;
    default:
        break;
    }
}
