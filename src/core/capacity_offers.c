/* Offers: a machine type in a zone, as spot or on-demand machines. Decides from which of them a
 * task is rented for, and how much of what a plan wants is asked of the cloud. */
#include "core/autoscaler_int.h"
#include <stdbool.h>

#define CROWDING_COST_SHARE 0.001 /* of the price, for each machine of the type in the zone */

const char *tw_offer_zone(const tw_core *core, const tw_capacity_offer *offer) {
    return core->machine_types[offer->type_index].listed.zones[offer->zone_index];
}

tw_capacity_offer *tw_offer_of_request(const tw_core *core, const tw_rental_request *request) {
    for (int i = 0; i < core->capacity_offer_count; i++) {
        tw_capacity_offer *offer = &core->capacity_offers[i];
        if (offer->type_index == request->type_index && offer->zone_index == request->zone_index &&
            offer->spot == request->spot)
            return offer;
    }
    return NULL;
}

tw_capacity_offer *tw_offer_of_machine(const tw_core *core, const tw_machine *machine) {
    for (int i = 0; i < core->capacity_offer_count; i++) {
        tw_capacity_offer *offer = &core->capacity_offers[i];
        if (offer->type_index == machine->type_index && offer->spot == machine->spot &&
            !strcmp(tw_offer_zone(core, offer), machine->zone))
            return offer;
    }
    return NULL;
}

double tw_offer_boot_factor(const tw_core *core, const tw_capacity_offer *offer) {
    const tw_machine_type *type = &core->machine_types[offer->type_index];
    const double startup_s = type->listed.startup_s;
    return tw_boot_record_cost_factor(&type->boots, core->context.now, startup_s) *
           tw_boot_record_cost_factor(&offer->boots, core->context.now, startup_s);
}

/* What a task costs on a machine of the offer, of which one holds so many tasks. At almost equal
 * cost the zone with the fewest machines of the type wins, by CROWDING_COST_SHARE. Machines that
 * may not come up cost more. */
static double offer_cost(const tw_core *core, const tw_capacity_offer *offer, double task_count) {
    const tw_wire_machine_type *type = &core->machine_types[offer->type_index].listed;
    const double price = offer->spot ? type->spot_price : type->on_demand_price;
    return price / task_count * (1 + CROWDING_COST_SHARE * offer->machine_count) *
           tw_offer_boot_factor(core, offer);
}

/* How many machines of an offer a plan may want: the next plan sees what was granted of them. */
static int max_wanted_per_offer(const tw_core *core) {
    return (int)(TW_MAX_RENTAL * fmax(1, core->context.config->cloud_rps));
}

double tw_offer_task_count(const tw_wire_machine_type *type, const tw_wire_job *spec) {
    const tw_capacity room = {type->cores, type->gpus, type->memory_gb};
    return tw_capacity_task_count(&room, spec);
}

/* Whether the task may be rented for from the offer, types apart. */
static bool offer_is_allowed(const tw_core *core, const tw_capacity_offer *offer,
                             const tw_wire_job *spec, const tw_offer_filter *filter) {
    if ((offer->spot && !spec->spot) || core->context.now < offer->refused_until ||
        offer->wanted_count >= max_wanted_per_offer(core))
        return false;
    if (filter->for_headroom && spec->gpus <= 0 &&
        core->machine_types[offer->type_index].listed.gpus > 0)
        return false;
    const char *zone = tw_offer_zone(core, offer);
    return (!*spec->zone || !strcmp(spec->zone, zone)) &&
           (!filter->excluded_zone || strcmp(filter->excluded_zone, zone) != 0) &&
           (!filter->required_zone || !strcmp(filter->required_zone, zone));
}

tw_capacity_offer *tw_offer_best(tw_core *core, const tw_wire_job *spec, uint32_t types,
                                 const tw_offer_filter *filter) {
    tw_capacity_offer *best = NULL;
    double least_cost = INFINITY;
    for (int i = 0; i < core->capacity_offer_count; i++) {
        tw_capacity_offer *offer = &core->capacity_offers[i];
        const tw_wire_machine_type *type = &core->machine_types[offer->type_index].listed;
        if (!(types & (1U << offer->type_index)) || !offer_is_allowed(core, offer, spec, filter))
            continue;
        const double task_count = tw_offer_task_count(type, spec);
        if (task_count < 1) continue;
        const double cost = offer_cost(core, offer, task_count);
        if (cost < least_cost) {
            least_cost = cost;
            best = offer;
        }
    }
    return best;
}

tw_bin *tw_offer_add_bin(tw_core *core, tw_bins *bins, tw_capacity_offer *offer) {
    const tw_wire_machine_type *type = &core->machine_types[offer->type_index].listed;
    tw_bin *bin = tw_bins_add(bins);
    *bin = (struct tw_bin){.offer = offer,
                           .type_index = offer->type_index,
                           .spot = offer->spot,
                           .zone = tw_offer_zone(core, offer),
                           .room = {type->cores, type->gpus, type->memory_gb}};
    offer->machine_count++;
    offer->boots.expected_machine_count++;
    core->machine_types[offer->type_index].boots.expected_machine_count++;
    return bin;
}

/* Puts machines of the offer's type that are being emptied back into use instead of asking for new
 * ones. */
static void reopen_machines(tw_core *core, tw_capacity_offer *offer) {
    tw_machine *machine;
    struct tw_machine *next;
    HASH_ITER(hh, core->machines, machine, next) {
        if (offer->wanted_count <= 0) break;
        if (!machine->decommissioning || machine->return_wanted ||
            machine->type_index != offer->type_index || machine->spot != offer->spot)
            continue;
        machine->decommissioning = false;
        core->scheduling_due = true;
        offer->wanted_count--;
    }
}

void tw_offers_update_wanted(tw_core *core) {
    for (int i = 0; i < core->capacity_offer_count; i++) {
        tw_capacity_offer *offer = &core->capacity_offers[i];
        if (offer->wanted_count > 0) reopen_machines(core, offer);
        if (core->context.now < core->scale_out_from) offer->wanted_count = 0;
        if (offer->wanted_count <= 0)
            offer->wanted_since = 0;
        else if (offer->wanted_since <= 0)
            offer->wanted_since = core->context.now;
    }
}
