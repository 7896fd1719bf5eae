/* Offers: a machine type in a zone, as spot or on-demand. Which of them a task is rented from, and
 * what is asked of the cloud. */
#include "core/provision_int.h"

#define COST_OF_ONE_MORE 0.001 /* of a price, for each machine of the type that the zone has */

const char *tw_offer_yard(const tw_core *core, const offer *offer) {
    return core->flavors[offer->rack].f.zones[offer->zone];
}

/* More of an offer than this are not asked for in a round: the next one sees what was granted. */
static int want_limit(const tw_core *core) {
    return (int)(TW_RENT_NUMBER * fmax(1, core->cf->cloud_rps));
}

double tw_offer_holds(const tw_wire_machine_type *type, const tw_wire_job *spec) {
    const tw_room room = {type->cores, type->gpus, type->memory_gb};
    return tw_room_holds(&room, spec);
}

static int may_rent(const tw_core *core, const offer *offer, const tw_wire_job *spec,
                    const tw_offer_filter *filter) {
    if ((offer->loaner && !spec->spot) || core->now < offer->refused_until ||
        offer->want >= want_limit(core))
        return 0;
    if (filter->spare && spec->gpus <= 0 && core->flavors[offer->rack].f.gpus > 0) return 0;
    const char *zone = tw_offer_yard(core, offer);
    return (!*spec->zone || !strcmp(spec->zone, zone)) &&
           (!filter->not_zone || strcmp(filter->not_zone, zone) != 0) &&
           (!filter->only_zone || !strcmp(filter->only_zone, zone));
}

/* Least cost a task, then the zone that has fewest of the type. */
offer *tw_offer_best(tw_core *core, const tw_wire_job *spec, uint32_t types,
                     const tw_offer_filter *filter) {
    offer *best = NULL;
    double least = INFINITY;
    for (int i = 0; i < core->noffers; i++) {
        offer *offer = &core->offers[i];
        const tw_wire_machine_type *type = &core->flavors[offer->rack].f;
        if (!(types & (1U << offer->rack)) || !may_rent(core, offer, spec, filter)) continue;
        const double number = tw_offer_holds(type, spec);
        if (number < 1) continue;
        double cost = (offer->loaner ? type->spot_price : type->on_demand_price) / number;
        cost *= 1 + COST_OF_ONE_MORE * offer->have;
        if (cost < least) {
            least = cost;
            best = offer;
        }
    }
    return best;
}

bin *tw_offer_bin(tw_core *core, bins *bins, offer *offer) {
    const tw_wire_machine_type *type = &core->flavors[offer->rack].f;
    bin *bin = tw_bins_add(bins);
    *bin = (struct bin){.o = offer,
                        .rack = offer->rack,
                        .loaner = offer->loaner,
                        .yard = tw_offer_yard(core, offer),
                        .c = type->cores,
                        .g = type->gpus,
                        .mem = type->memory_gb};
    offer->have++;
    return bin;
}

/* Takes machines that were about to be returned before new ones are asked for. */
static void reopen(tw_core *core, offer *offer) {
    machine *machine;
    struct machine *next;
    HASH_ITER(hh, core->machines, machine, next) {
        if (offer->want <= 0) break;
        if (!machine->closing || machine->release || machine->rack != offer->rack ||
            machine->loaner != offer->loaner)
            continue;
        machine->closing = 0;
        core->sched_dirty = 1;
        offer->want--;
    }
}

void tw_offers_settle(tw_core *core) {
    for (int i = 0; i < core->noffers; i++) {
        offer *offer = &core->offers[i];
        if (offer->want > 0) reopen(core, offer);
        if (core->now < core->rent_from) offer->want = 0;
        if (offer->want <= 0)
            offer->wanted_since = 0;
        else if (offer->wanted_since <= 0)
            offer->wanted_since = core->now;
    }
}
