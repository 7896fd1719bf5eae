/* How many machines to rent. Each round packs what waits, and the spare room that arrivals are
 * expected to need while a machine boots (autoscaler_headroom.c), into the room that is there or
 * coming; what does not fit is to be rented where a task costs least. What differs for gangs stands
 * in autoscaler_gang.c. Room is taken bin by bin, so that a round costs jobs times bins, not tasks
 * times bins. */
#include "core/autoscaler_int.h"
#include <stdbool.h>

#define BOOT_SPREAD 1.2 /* of a type's boot time: most machines are up by then */
#define RUN_SPREAD 1.1  /* of an estimated run time */

/* ---- packing ---- */

double tw_autoscaler_soonest_s(const tw_core *core, uint32_t types, double image_gb) {
    double soonest = INFINITY;
    for (int i = 0; i < core->machine_type_count; i++) {
        const tw_machine_type *type = &core->machine_types[i];
        if (types & (1U << i))
            soonest = fmin(soonest,
                           BOOT_SPREAD * type->listed.startup_s + type->fetch_s_per_gb * image_gb);
    }
    return soonest;
}

/* Whether to rent for a batch task rather than let it wait until `start`. */
static bool worth_renting(const tw_core *core, const tw_job *job, double start) {
    if (!isfinite(start)) return true; /* nothing will be given back */
    if (start <=
        core->context.now + tw_autoscaler_soonest_s(core, job->type_mask, job->spec.image_gb))
        return false;
    return !(start + tw_job_run_estimate_s(job) * RUN_SPREAD <= tw_job_deadline(core, job));
}

/* Tasks of a job by zone, placed and planned. */
typedef struct {
    const char *zone[TW_MAX_ZONES];
    int count[TW_MAX_ZONES];
    int used;
    int most; /* in a zone */
} spread;

/* The zone's place in the spread; -1: there are too many. */
static int spread_slot(spread *spread, const char *zone) {
    int slot = 0;
    while (slot < spread->used && strcmp(spread->zone[slot], zone) != 0) slot++;
    if (slot == TW_MAX_ZONES) return -1;
    if (slot == spread->used) {
        spread->zone[slot] = zone;
        spread->count[slot] = 0;
        spread->used++;
    }
    return slot;
}

static spread spread_of(const tw_job *job) {
    spread tasks = {.most = job->spec.spread ? (job->task_count + 1) / 2 : INT32_MAX};
    const tw_placement *placed;
    DL_FOREACH2(job->placements, placed, job_next) {
        const int slot = spread_slot(&tasks, placed->machine->zone);
        if (slot >= 0) tasks.count[slot]++;
    }
    return tasks;
}

/* How many of `want` tasks the bin takes. */
static int fill(const tw_core *core, tw_bin *bin, const tw_job *job, spread *tasks, int want) {
    int taken = 0;
    if (!tw_bin_is_allowed(bin, &job->spec, job->type_mask)) return 0;
    if (job->spec.single_zone && tasks->used && strcmp(tasks->zone[0], bin->zone) != 0) return 0;
    while (taken < want && tw_bin_fits(bin, &job->spec) &&
           tw_bin_leaves_gpus(core, bin, &job->spec, job->any_machine)) {
        const int slot = spread_slot(tasks, bin->zone);
        if (slot < 0 || tasks->count[slot] >= tasks->most) break;
        tw_bin_take(bin, &job->spec);
        tasks->count[slot]++;
        taken++;
    }
    return taken;
}

/* How many tasks of the job could be placed if there were room. */
static int placeable(const tw_core *core, tw_job *job) {
    const tw_config_team *team = &core->context.config->teams[job->team];
    int count = job->task_count - job->done_count - job->placed_count;
    if (team->gpus_max > 0 && job->spec.gpus > 0)
        count = (int)fmin(
            count, floor((team->gpus_max - core->team_gpus_used[job->team]) / job->spec.gpus +
                         TW_CAPACITY_ROUNDING));
    if (team->cpus_max > 0 && job->spec.cores > 0)
        count = (int)fmin(
            count, floor((team->cpus_max - core->team_cores_used[job->team]) / job->spec.cores +
                         TW_CAPACITY_ROUNDING));
    const int most = tw_record_max_running(core, job) - job->placed_count;
    return count > most ? most : count;
}

bool tw_autoscaler_open_gpu_machines(tw_core *core, tw_job *job, const tw_capacity_offer *best) {
    if (job->spec.gpus > 0 || job->any_machine) return false;
    if (best && core->machine_types[best->type_index].listed.gpus <= 0) return false;
    job->any_machine = 1;
    core->scheduling_due = true;
    return true;
}

/* How many of them to find or rent room for: of a batch, those that had better not wait; of a gang,
 * all or none. */
static int needed(tw_core *core, tw_bins *bins, tw_job *job, tw_expected_releases *drain) {
    const int count = placeable(core, job);
    int need = 0;
    if (job->spec.service) return count;
    if (count > 0 && !drain->items)
        tw_expected_releases_init(core, drain); /* mostly no batch waits */
    if (job->spec.gang) {
        if (count < job->task_count - job->done_count - job->placed_count)
            return 0; /* its team's limit */
        const double start = tw_autoscaler_gang_start(core, bins, job, drain, count);
        tw_autoscaler_gang_hurry(core, job, start);
        return worth_renting(core, job, start) ? count : 0;
    }
    int *from = tw_bins_first_released(bins, job);
    for (int i = 0; i < count; i++)
        need += worth_renting(core, job, tw_expected_releases_start(core, drain, job, from));
    return need;
}

/* Rents for `need` tasks of the job. */
static void rent_for(tw_core *core, tw_bins *bins, tw_job *job, spread *tasks, int need) {
    while (need > 0) {
        tw_offer_filter filter = {.only_zone =
                                      job->spec.single_zone && tasks->used ? tasks->zone[0] : NULL};
        for (int i = 0; i < tasks->used; i++)
            if (tasks->count[i] >= tasks->most) filter.not_zone = tasks->zone[i];
        tw_capacity_offer *offer = tw_offer_best(core, &job->spec, job->type_mask, &filter);
        job->capacity_bound =
            !offer || offer->refused > 0; /* refused lately: it may be granted again */
        /* Before renting. */
        if (tw_autoscaler_open_gpu_machines(core, job, offer)) return;
        if (!offer) return;
        const int taken = fill(core, tw_offer_bin(core, bins, offer), job, tasks, need);
        if (!taken) return;
        offer->wanted++;
        need -= taken;
    }
}

static void plan_job(tw_core *core, tw_bins *bins, tw_job *job, tw_expected_releases *drain) {
    int need = needed(core, bins, job, drain);
    if (need <= 0) return;
    spread tasks = spread_of(job);
    if (job->spec.gang && job->spec.single_zone && !tasks.used) {
        const char *zone = tw_autoscaler_gang_zone(core, bins, job, need);
        if (zone) spread_slot(&tasks, zone);
    }
    /* Room that placing has tried is of no use to a task, but may be a part of a gang's. */
    const int first = job->spec.gang ? 0 : tw_bins_first(bins, job);
    for (int i = first; i < bins->count && need > 0; i++) {
        core->pass_steps++;
        if (!bins->items[i].tried || job->spec.gang)
            need -= fill(core, &bins->items[i], job, &tasks, need);
    }
    rent_for(core, bins, job, &tasks, need);
}

/* ---- the round ---- */

/* Whether a machine's room can be counted on. */
static bool can_count_on(tw_core *core, const tw_machine *machine) {
    if (machine->type_index < 0 || machine->return_wanted || machine->cordoned || machine->failed ||
        machine->decommissioning)
        return false;
    if (machine->state == TW_MACHINE_UP)
        return machine->preempted_at <= 0 && !machine->lease_expired;
    if (machine->overdue) return false; /* may never come */
    /* Some of those that boot will be late: as many are not counted on. */
    double *late = &core->machine_types[machine->type_index].late_sum;
    *late += core->machine_types[machine->type_index].overdue_share;
    if (*late >= 1) {
        *late -= 1;
        return false;
    }
    return true;
}

static void add_machine(tw_core *core, tw_bins *bins, tw_machine *machine) {
    const tw_wire_machine_type *type = &core->machine_types[machine->type_index].listed;
    *tw_bins_add(bins) = (tw_bin){.machine = machine,
                                  .type_index = machine->type_index,
                                  .spot = machine->spot,
                                  .zone = machine->zone,
                                  .busy = tw_machine_is_occupied(machine),
                                  /* placing has tried it already */
                                  .tried = machine->state == TW_MACHINE_UP &&
                                           core->context.now - machine->first_answered_at >
                                               core->context.config->report_s,
                                  .cores = type->cores - machine->used_cores,
                                  .gpus = type->gpus - machine->used_gpus,
                                  .memory_gb = type->memory_gb - machine->used_memory_gb};
}

/* What was asked for and isn't answered yet counts as coming. */
static void add_asked(tw_core *core, tw_bins *bins, const tw_rental_request *rental_request) {
    for (int i = 0; i < core->capacity_offer_count; i++) {
        tw_capacity_offer *offer = &core->capacity_offers[i];
        if (offer->type_index != rental_request->type_index ||
            offer->zone_index != rental_request->zone_index || offer->spot != rental_request->spot)
            continue;
        for (int k = 0; k < rental_request->machine_count; k++)
            tw_offer_bin(core, bins, offer)->offer = NULL;
    }
}

/* Machines by type and zone; the last zone is for those of no zone known by number. */
typedef int zone_counts[TW_MAX_ZONES + 1];

/* How many machines of the offer's type its zone has. */
static int have(const tw_core *core, const tw_capacity_offer *offer, const tw_bins *bins,
                const zone_counts *counts) {
    const char *name = tw_offer_zone(core, offer);
    for (int zone = 0; zone < core->zone_count; zone++)
        if (!strcmp(core->zone_names[zone], name)) return counts[offer->type_index][zone];
    /* More zones than have numbers: by name. */
    int count = 0;
    if (!counts[offer->type_index][TW_MAX_ZONES]) return 0;
    for (int i = 0; i < bins->count; i++)
        count +=
            bins->items[i].type_index == offer->type_index && !strcmp(bins->items[i].zone, name);
    return count;
}

static void collect(tw_core *core, tw_bins *bins) {
    zone_counts *counts = tw_alloc((size_t)core->machine_type_count * sizeof *counts);
    for (int i = 0; i < core->machine_type_count; i++) core->machine_types[i].late_sum = 0;
    tw_machine *machine;
    struct tw_machine *next;
    HASH_ITER(hh, core->machines, machine, next) {
        machine->kept_as_headroom = false;
        if (!can_count_on(core, machine)) continue;
        add_machine(core, bins, machine);
        counts[machine->type_index][machine->zone_index < 0 ? TW_MAX_ZONES : machine->zone_index]++;
    }
    for (int i = 0; i < core->capacity_offer_count; i++) {
        tw_capacity_offer *offer = &core->capacity_offers[i];
        offer->wanted = 0;
        offer->machine_count = have(core, offer, bins, counts);
    }
    free(counts);
    const tw_rental_request *rental_request;
    DL_FOREACH(core->rental_requests, rental_request) { add_asked(core, bins, rental_request); }
}

static double price_of(const tw_core *core, const tw_bins *bins) {
    double price = 0;
    for (int i = 0; i < bins->count; i++) {
        const tw_wire_machine_type *type = &core->machine_types[bins->items[i].type_index].listed;
        price += bins->items[i].spot ? type->spot_price : type->on_demand_price;
    }
    return price;
}

/* Turned-away submissions are planned for until they have not come again for long. */
static void plan_turned_away(tw_core *core, tw_bins *bins, tw_expected_releases *drain) {
    tw_rejected_admission *expected;
    tw_rejected_admission *next;
    HASH_ITER(hh, core->rejected_admissions, expected, next) {
        if (core->context.now < expected->until)
            plan_job(core, bins, &expected->job, drain);
        else
            tw_rejected_admission_drop(core, expected);
    }
}

void tw_autoscaler_plan(tw_core *core) {
    tw_bins bins = {0};
    tw_expected_releases drain = {0}; /* filled when a batch waits */
    collect(core, &bins);
    const int there = bins.count;
    tw_job_queue *queue = tw_job_queue_new(core, false);
    tw_job *job;
    while ((job = tw_job_queue_next(core, queue))) plan_job(core, &bins, job, &drain);
    tw_job_queue_free(queue);
    plan_turned_away(core, &bins, &drain);
    const double price = price_of(core, &bins);
    for (const tw_job_class *class = core->job_classes; class; class = class->hh.next)
        tw_autoscaler_keep_headroom(core, &bins, class, price);
    const bool more = bins.count > there;
    tw_offers_update_wanted(core);
    tw_scale_in_idle(core);
    tw_scale_in_reopen(core);
    if (!more) tw_scale_in_consolidate(core, &bins); /* else more room is needed, not less */
    tw_expected_releases_free(&drain);
    tw_bins_free(&bins);
}
