/* Headroom: free capacity that the plan keeps for job classes whose start objective is shorter than
 * the boot of a machine, to serve the arrivals that are expected during the boot. The plan calls
 * this module for each class after it has packed all pending jobs. The arrival rate is
 * class->task_rate (job_class.c).
 *
 * Tasks to keep capacity for = tune.headroom * (EXPECTED_SHARE * e + sqrt(e * b)), where e is the
 * number of arrivals expected during the boot and b the number of tasks that arrive together; the
 * square root is the standard deviation of the arrivals. */
#include "core/autoscaler_int.h"
#include <stdbool.h>

#define NEGLIGIBLE_PRICE_SHARE 0.02 /* share of the fleet's price */
/* Time without arrivals after which the rate decays, and time constant of the decay. */
#define RATE_DECAY_S 60
#define EXPECTED_SHARE 0.5   /* share of the expected arrivals, to which the deviation is added */
#define ROUND_DOWN_SHARE 0.3 /* a fraction of a task up to this value is rounded down */

/* Returns the lowest on-demand price per task of the class over its allowed machine types. */
static double lowest_task_price(const tw_core *core, const tw_job_class *class) {
    double price = INFINITY;
    for (int i = 0; i < core->machine_type_count; i++) {
        const tw_wire_machine_type *type = &core->machine_types[i].listed;
        if (class->sample_type_mask & (1U << i))
            price = fmin(price, type->on_demand_price / tw_offer_task_count(type, &class->sample));
    }
    return price;
}

/* Returns for how many tasks of the class to keep capacity. 0: no sample of the class is known, it
 * has no start objective, or it consists of batch jobs that are not gangs. */
static int count_headroom_tasks(const tw_core *core, const tw_job_class *class,
                                double fleet_price) {
    const tw_wire_job *sample = &class->sample;
    if (!class->has_sample || class->start_within_s <= 0 || !(sample->service || sample->gang))
        return 0;
    const double lead_s =
        fmax(0, tw_autoscaler_rental_to_start_s(core, class->sample_type_mask, sample->image_gb) -
                    class->start_within_s);
    const double since_arrival_s = core->context.now - class->last_arrival_at;
    double rate = class->task_rate;
    if (since_arrival_s > RATE_DECAY_S)
        rate *= exp(-(since_arrival_s - RATE_DECAY_S) / RATE_DECAY_S);
    const double expected = rate * lead_s;
    const double batch_tasks = fmax(1, class->batch_tasks);
    double tasks = core->context.config->tune.headroom *
                   (EXPECTED_SHARE * expected + sqrt(expected * batch_tasks));
    /* A missed start objective counts the same for every task, so twice the capacity is kept where
     * its price is negligible compared with the fleet's. */
    if (2 * tasks * lowest_task_price(core, class) < NEGLIGIBLE_PRICE_SHARE * fleet_price)
        tasks *= 2;
    if (sample->gang) tasks = fmax(tasks, class->largest_gang);
    return (int)ceil(tasks - ROUND_DOWN_SHARE);
}

/* State of a bin's machine, in the order in which bins are searched for headroom. */
typedef enum { BIN_IN_USE, BIN_IDLE, BIN_PENDING, BIN_STATES } bin_state;

/* Returns the state of the bin's machine. */
static bin_state bin_state_of(const tw_bin *bin) {
    if (!bin->machine || bin->machine->state == TW_MACHINE_BOOTING) return BIN_PENDING;
    return bin->occupied ? BIN_IN_USE : BIN_IDLE;
}

/* Packs up to max_tasks of the class's tasks into the bin, and marks its machine as needed by the
 * plan. Returns how many were packed. zone: the required zone; NULL: any zone. */
static int reserve_in_bin(const tw_core *core, tw_bin *bin, const tw_job_class *class,
                          int max_tasks, const char *zone) {
    const tw_wire_job *sample = &class->sample;
    int reserved = 0;
    if (!tw_bin_is_allowed(bin, sample, class->sample_type_mask)) return 0;
    if (zone && strcmp(zone, bin->zone) != 0) return 0;
    /* Placement passes do not use idle GPU machines for tasks without GPUs, so such machines
     * provide no headroom. */
    if (sample->gpus <= 0 && core->machine_types[bin->type_index].listed.gpus > 0 && !bin->occupied)
        return 0;
    while (reserved < max_tasks && tw_bin_fits(bin, sample) &&
           tw_bin_leaves_gpus(core, bin, sample, false)) {
        tw_bin_add_task(bin, sample);
        if (bin->machine) bin->machine->needed_by_plan = true;
        reserved++;
    }
    return reserved;
}

/* Returns the zone in which to keep headroom for gangs that require a single zone: the one with the
 * most free capacity for the class. NULL: any zone. */
static const char *choose_headroom_zone(tw_core *core, const tw_bins *bins,
                                        const tw_job_class *class, int max_tasks) {
    const char *best = NULL;
    int most = 0;
    if (!class->sample.gang || !class->sample.single_zone) return NULL;
    for (int zone = 0; zone < core->zone_count; zone++) {
        int count = 0;
        for (int i = 0; i < bins->count && count < max_tasks; i++) {
            tw_bin bin = bins->items[i];
            bin.machine = NULL; /* keeps the real machine from being marked as needed */
            count += reserve_in_bin(core, &bin, class, max_tasks - count, core->zone_names[zone]);
        }
        if (count <= most) continue;
        most = count;
        best = core->zone_names[zone];
    }
    return best;
}

void tw_autoscaler_reserve_headroom(tw_core *core, tw_bins *bins, const tw_job_class *class,
                                    double fleet_price) {
    int missing = count_headroom_tasks(core, class, fleet_price);
    const char *zone = choose_headroom_zone(core, bins, class, missing);
    for (bin_state state = BIN_IN_USE; state < BIN_STATES && missing > 0; state++)
        for (int i = 0; i < bins->count && missing > 0; i++)
            if (bin_state_of(&bins->items[i]) == state)
                missing -= reserve_in_bin(core, &bins->items[i], class, missing, zone);
    const tw_offer_filter filter = {.for_headroom = true, .required_zone = zone};
    while (missing > 0) {
        tw_capacity_offer *offer =
            tw_offer_find_cheapest(core, &class->sample, class->sample_type_mask, &filter);
        if (!offer) return;
        tw_bin *bin = tw_offer_add_bin(core, bins, offer);
        offer->wanted_count++;
        for (; missing > 0 && tw_bin_fits(bin, &class->sample); missing--)
            tw_bin_add_task(bin, &class->sample);
    }
}
