/* Spare room that the plan keeps for classes of jobs whose tasks must start sooner than a machine
 * boots: as much as the arrivals that are expected meanwhile need. */
#include "core/autoscaler_int.h"
#include <stdbool.h>

#define NEARLY_FREE 0.02 /* share of the fleet's price */
#define RATE_FADES_S 60  /* without arrivals, before their rate is taken to fall, and how fast */
#define HALF_SHARE 0.5   /* of expected arrivals that spare room is kept for, beside their root */
#define ROUND_DOWN_SHARE 0.3 /* of a task of spare room: as little is not rounded up */

/* How many tasks to keep room for, of a class whose tasks must start sooner than a machine boots.
 */
static int spare_tasks(const tw_core *core, const tw_job_class *class, double fleet_price) {
    const tw_wire_job *sample = &class->sample;
    if (!class->has_sample || class->start_within_s <= 0 || !(sample->service || sample->gang))
        return 0;
    const double lead_s =
        fmax(0, tw_autoscaler_soonest_s(core, class->sample_type_mask, sample->image_gb) -
                    class->start_within_s);
    const double quiet_s = core->context.now - class->last_arrival_at;
    double rate = class->task_rate;
    if (quiet_s > RATE_FADES_S) rate *= exp(-(quiet_s - RATE_FADES_S) / RATE_FADES_S);
    const double expected = rate * lead_s;
    const double group = fmax(1, class->batch_tasks);
    double tasks =
        core->context.config->tune.headroom * (HALF_SHARE * expected + sqrt(expected * group));
    /* A late start costs the same whatever the task: where twice the room is nearly free beside
     * what the fleet costs, twice the room. */
    double price = INFINITY;
    for (int i = 0; i < core->machine_type_count; i++) {
        const tw_wire_machine_type *type = &core->machine_types[i].listed;
        if (class->sample_type_mask & (1U << i))
            price = fmin(price, type->on_demand_price / tw_offer_task_count(type, sample));
    }
    if (2 * tasks * price < NEARLY_FREE * fleet_price) tasks *= 2;
    if (sample->gang) tasks = fmax(tasks, class->largest_gang);
    return (int)ceil(tasks - ROUND_DOWN_SHARE);
}

/* The order in which spare room is looked for. */
typedef enum { BIN_IN_USE, BIN_IDLE, BIN_COMING, BIN_STATES } bin_state;

static bin_state state_of(const tw_bin *bin) {
    if (!bin->machine || bin->machine->state == TW_MACHINE_BOOTING) return BIN_COMING;
    return bin->busy ? BIN_IN_USE : BIN_IDLE;
}

/* How many of `want` tasks of the class the bin has spare room for. zone: NULL: any. */
static int keep(const tw_core *core, tw_bin *bin, const tw_job_class *class, int want,
                const char *zone) {
    const tw_wire_job *sample = &class->sample;
    int kept = 0;
    if (!tw_bin_is_allowed(bin, sample, class->sample_type_mask)) return 0;
    if (zone && strcmp(zone, bin->zone) != 0) return 0;
    /* Room that placing would not give is no spare room. */
    if (sample->gpus <= 0 && core->machine_types[bin->type_index].listed.gpus > 0 && !bin->busy)
        return 0;
    while (kept < want && tw_bin_fits(bin, sample) && tw_bin_leaves_gpus(core, bin, sample, 0)) {
        tw_bin_take(bin, sample);
        if (bin->machine) bin->machine->kept_as_headroom = true;
        kept++;
    }
    return kept;
}

/* Where to keep room for gangs that stand in one zone: where most of it is. NULL: anywhere. */
static const char *spare_zone(tw_core *core, const tw_bins *bins, const tw_job_class *class,
                              int want) {
    const char *best = NULL;
    int most = 0;
    if (!class->sample.gang || !class->sample.single_zone) return NULL;
    for (int zone = 0; zone < core->zone_count; zone++) {
        int count = 0;
        for (int i = 0; i < bins->count && count < want; i++) {
            tw_bin room = bins->items[i];
            room.machine = NULL; /* nothing is kept there yet */
            count += keep(core, &room, class, want - count, core->zone_names[zone]);
        }
        if (count <= most) continue;
        most = count;
        best = core->zone_names[zone];
    }
    return best;
}

void tw_autoscaler_keep_headroom(tw_core *core, tw_bins *bins, const tw_job_class *class,
                                 double fleet_price) {
    int want = spare_tasks(core, class, fleet_price);
    const char *zone = spare_zone(core, bins, class, want);
    for (bin_state state = BIN_IN_USE; state < BIN_STATES && want > 0; state++)
        for (int i = 0; i < bins->count && want > 0; i++)
            if (state_of(&bins->items[i]) == state)
                want -= keep(core, &bins->items[i], class, want, zone);
    const tw_offer_filter filter = {.spare = 1, .only_zone = zone};
    while (want > 0) {
        tw_capacity_offer *offer =
            tw_offer_best(core, &class->sample, class->sample_type_mask, &filter);
        if (!offer) return;
        tw_bin *bin = tw_offer_bin(core, bins, offer);
        offer->wanted++;
        for (; want > 0 && tw_bin_fits(bin, &class->sample); want--)
            tw_bin_take(bin, &class->sample);
    }
}
