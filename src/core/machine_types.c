/* Machine types and their prices, as listed by the cloud. The first list creates
 * core->machine_types and the capacity offers. A type keeps its index from then on; later lists
 * only update prices. Called by autoscaler.c. */
#include "core/autoscaler_int.h"

#define MAX_MACHINE_TYPES 31 /* a job's machine types are a bit mask of type uint32_t */
/* Initial values of a type's moving averages; run_estimate.c defines q and p. */
#define INITIAL_QUEUE_DELAY_HEARTBEATS 0.05 /* q, in heartbeat intervals */
#define INITIAL_FETCH_SLOWDOWN 1.1          /* p, relative to the type's listed fetch rate */
#define INITIAL_FETCH_DEVIATION 0.1
#define INITIAL_OVERDUE_SHARE 0.06
#define INITIAL_FETCH_INTERFERENCE 0.5
#define PRICING_KINDS 2 /* on-demand and spot */

/* Returns a type with its listed properties and the initial averages. */
static tw_machine_type new_machine_type(const tw_core *core, const tw_wire_machine_type *listed) {
    return (tw_machine_type){.listed = *listed,
                             .slowness = 1,
                             .queue_delay_s =
                                 INITIAL_QUEUE_DELAY_HEARTBEATS * core->context.config->report_s,
                             .fetch_s_per_gb = INITIAL_FETCH_SLOWDOWN / listed->fetch_gb_s,
                             .fetch_deviation = INITIAL_FETCH_DEVIATION,
                             .overdue_share = INITIAL_OVERDUE_SHARE,
                             .fetch_interference = INITIAL_FETCH_INTERFERENCE};
}

/* Creates an offer for each type, zone and kind of pricing. */
static void create_offers(tw_core *core) {
    int count = 0;
    for (int i = 0; i < core->machine_type_count; i++)
        count += PRICING_KINDS * core->machine_types[i].listed.zone_count;
    core->capacity_offers = tw_alloc((size_t)count * sizeof *core->capacity_offers);
    core->capacity_offer_count = 0;
    for (int i = 0; i < core->machine_type_count; i++)
        for (int zone = 0; zone < core->machine_types[i].listed.zone_count; zone++)
            for (int spot = 0; spot < PRICING_KINDS; spot++)
                core->capacity_offers[core->capacity_offer_count++] =
                    (tw_capacity_offer){.type_index = i, .zone_index = zone, .spot = spot};
}

/* Creates the types and offers from the first list. */
static void set_machine_types(tw_core *core, const tw_wire_machine_type *listed, int count) {
    core->machine_types = tw_alloc((size_t)count * sizeof *core->machine_types);
    core->machine_type_count = count;
    for (int i = 0; i < count; i++) core->machine_types[i] = new_machine_type(core, &listed[i]);
    create_offers(core);
    /* Jobs that were loaded before the types were known have no type mask yet. */
    tw_job *job;
    DL_FOREACH(core->active_jobs, job) {
        if (job->has_spec) job->type_mask = tw_machine_type_mask(core, &job->spec);
    }
    tw_log_info("event=machine_types_listed n=%d", count);
}

/* Updates the prices from a later list. Unknown types are ignored. */
static void update_prices(tw_core *core, const tw_wire_machine_type *listed, int count) {
    for (int i = 0; i < count; i++) {
        const int type = tw_machine_type_index(core, listed[i].name);
        if (type < 0) continue;
        core->machine_types[type].listed.on_demand_price = listed[i].on_demand_price;
        core->machine_types[type].listed.spot_price = listed[i].spot_price;
    }
}

void tw_machine_types_response(tw_core *core, const char *body, size_t length) {
    tw_wire_machine_type *listed;
    int count;
    if (tw_wire_machine_types_parse(&listed, &count, body, length) || !count) return;
    if (count > MAX_MACHINE_TYPES) {
        tw_log_error("event=machine_types_ignored used=%d listed=%d", MAX_MACHINE_TYPES, count);
        count = MAX_MACHINE_TYPES;
    }
    if (core->machine_type_count)
        update_prices(core, listed, count);
    else
        set_machine_types(core, listed, count);
    free(listed);
}
