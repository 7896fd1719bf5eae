/* Capacity offers: a machine type in one zone, either as spot or as on-demand machines. Chooses the
 * offer from which machines are rented for a task, and determines how many of the machines that a
 * plan wants are requested from the cloud. */
#include "core/autoscaler_int.h"
#include <stdbool.h>

/* Share of the price that each machine of the type in the zone adds to the cost. */
#define ZONE_CONCENTRATION_COST_SHARE 0.001

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

double tw_offer_boot_cost_factor(const tw_core *core, const tw_capacity_offer *offer) {
    const tw_machine_type *type = &core->machine_types[offer->type_index];
    const double startup_s = type->listed.startup_s;
    return tw_boot_record_cost_factor(&type->boots, core->context.now, startup_s) *
           tw_boot_record_cost_factor(&offer->boots, core->context.now, startup_s);
}

/* Returns the cost of a task on a machine of the offer that holds task_count such tasks. If the
 * costs are almost equal, ZONE_CONCENTRATION_COST_SHARE favors the zone with the fewest machines of
 * the type. The boot factor makes machines whose boots fail more expensive. */
static double offer_cost(const tw_core *core, const tw_capacity_offer *offer, double task_count) {
    const tw_wire_machine_type *type = &core->machine_types[offer->type_index].listed;
    const double price = offer->spot ? type->spot_price : type->on_demand_price;
    return price / task_count * (1 + ZONE_CONCENTRATION_COST_SHARE * offer->machine_count) *
           tw_offer_boot_cost_factor(core, offer);
}

/* Returns how many machines of one offer a plan may want. Further machines wait for the next plan,
 * which knows how many of them were granted. */
static int max_wanted_per_offer(const tw_core *core) {
    return (int)(TW_MAX_RENTAL * fmax(1, core->context.config->cloud_rps));
}

double tw_offer_task_count(const tw_wire_machine_type *type, const tw_wire_job *spec) {
    const tw_capacity capacity = {type->cores, type->gpus, type->memory_gb};
    return tw_capacity_task_count(&capacity, spec);
}

/* Returns whether the offer may be used for the task, apart from its machine type. */
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

tw_capacity_offer *tw_offer_find_cheapest(tw_core *core, const tw_wire_job *spec, uint32_t types,
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
                           .free_capacity = {type->cores, type->gpus, type->memory_gb}};
    offer->machine_count++;
    offer->boots.expected_machine_count++;
    core->machine_types[offer->type_index].boots.expected_machine_count++;
    return bin;
}

/* Cancels the decommissioning of machines of the offer's type and pricing instead of renting new
 * ones. */
static void reuse_decommissioning_machines(tw_core *core, tw_capacity_offer *offer) {
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
        if (offer->wanted_count > 0) reuse_decommissioning_machines(core, offer);
        if (core->context.now < core->no_scale_out_until) offer->wanted_count = 0;
        if (offer->wanted_count <= 0)
            offer->wanted_since = 0;
        else if (offer->wanted_since <= 0)
            offer->wanted_since = core->context.now;
    }
}
