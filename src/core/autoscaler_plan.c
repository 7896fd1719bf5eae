/* The plan: how many machines to rent. Each round packs the tasks that wait, and the headroom for
 * the arrivals that are expected while a machine boots (autoscaler_headroom.c), into the room of
 * machines that are there or coming. What does not fit is to be rented where a task costs least
 * (capacity_offers.c). What differs for gangs stands in autoscaler_gang.c.
 *
 * A plan decides nothing about single tasks: its bins are scratch, and only offers' wanted counts,
 * a job's any_machine and capacity_bound, and machines' needed_by_plan outlive it. Room is taken
 * bin by bin, so that a round costs jobs times bins, not tasks times bins. */
#include "core/autoscaler_int.h"
#include <stdbool.h>

#define BOOT_TIME_FACTOR 1.2 /* of a type's boot time: by then most machines are up */
#define RUN_TIME_FACTOR 1.1  /* of an estimated run time: by then most tasks have ended */

/* ---- packing ---- */

double tw_autoscaler_rental_start_s(const tw_core *core, uint32_t types, double image_gb) {
    double soonest = INFINITY;
    for (int i = 0; i < core->machine_type_count; i++) {
        const tw_machine_type *type = &core->machine_types[i];
        if (types & (1U << i))
            soonest = fmin(soonest, BOOT_TIME_FACTOR * type->listed.startup_s +
                                        type->fetch_s_per_gb * image_gb);
    }
    return soonest;
}

/* Whether to rent for a batch task rather than let it wait for room until start_at. INFINITY: no
 * room will be given back. */
static bool is_worth_renting(const tw_core *core, const tw_job *job, double start_at) {
    if (!isfinite(start_at)) return true;
    if (start_at <=
        core->context.now + tw_autoscaler_rental_start_s(core, job->type_mask, job->spec.image_gb))
        return false;
    return !(start_at + tw_job_run_estimate_s(job) * RUN_TIME_FACTOR <= tw_job_deadline(job));
}

/* A job's tasks by zone, both placed and planned ones. */
typedef struct {
    const char *zone_names[TW_MAX_ZONES];
    int task_counts[TW_MAX_ZONES];
    int zone_count;
    int max_per_zone; /* tasks that the job may have in a zone */
} zone_spread;

/* The index of the zone in the spread, to which it is added if need be. -1: the spread is full. */
static int find_or_add_zone(zone_spread *spread, const char *zone) {
    int slot = 0;
    while (slot < spread->zone_count && strcmp(spread->zone_names[slot], zone) != 0) slot++;
    if (slot == TW_MAX_ZONES) return -1;
    if (slot == spread->zone_count) {
        spread->zone_names[slot] = zone;
        spread->task_counts[slot] = 0;
        spread->zone_count++;
    }
    return slot;
}

/* The spread of the job's placed tasks. */
static zone_spread spread_of_job(const tw_job *job) {
    zone_spread spread = {.max_per_zone = job->spec.spread ? (job->task_count + 1) / 2 : INT32_MAX};
    const tw_placement *placed;
    DL_FOREACH2(job->placements, placed, job_next) {
        const int slot = find_or_add_zone(&spread, placed->machine->zone);
        if (slot >= 0) spread.task_counts[slot]++;
    }
    return spread;
}

/* Takes room in the bin for up to wanted tasks of the job. Returns for how many. */
static int pack_into_bin(const tw_core *core, tw_bin *bin, const tw_job *job, zone_spread *spread,
                         int wanted) {
    int taken = 0;
    bin->packed_count = 0;
    if (!tw_bin_is_allowed(bin, &job->spec, job->type_mask)) return 0;
    if (job->spec.single_zone && spread->zone_count &&
        strcmp(spread->zone_names[0], bin->zone) != 0)
        return 0;
    while (taken < wanted && tw_bin_fits(bin, &job->spec) &&
           tw_bin_leaves_gpus(core, bin, &job->spec, job->any_machine)) {
        const int slot = find_or_add_zone(spread, bin->zone);
        if (slot < 0 || spread->task_counts[slot] >= spread->max_per_zone) break;
        tw_bin_take(bin, &job->spec);
        spread->task_counts[slot]++;
        taken++;
    }
    bin->packed_count = taken;
    /* The gang starts when it has the rest, and needs this machine then. */
    if (taken && job->spec.gang && bin->machine) bin->machine->needed_by_plan = true;
    return taken;
}

/* Whether a machine that is rented for the job could take a task of it: a new one is in its first
 * incarnation. */
static bool may_use_new_machine(const tw_core *core, const tw_job *job) {
    const tw_machine_restriction restriction = tw_mixed_version_restriction(core, job);
    return restriction == TW_MACHINES_ANY || restriction == TW_MACHINES_IN_FIRST_INCARNATION;
}

/* How many tasks of the job its team's limit and its record would allow to be placed now. */
static int count_placeable_tasks(const tw_core *core, tw_job *job) {
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
    const int max_count = tw_record_max_running(core, job) - job->placed_count;
    return count > max_count ? max_count : count;
}

/* Whether a machine like the offered one was rented while the job waited, and its boot is overdue:
 * the next one may not come up either. */
static bool has_waited_in_vain(const tw_core *core, const tw_job *job,
                               const tw_capacity_offer *offer) {
    const double rented_at = core->machine_types[offer->type_index].overdue_rental_at;
    return rented_at > 0 && rented_at >= job->pending_since;
}

bool tw_autoscaler_open_gpu_machines(tw_core *core, tw_job *job, const tw_capacity_offer *best) {
    if (job->spec.gpus > 0 || job->any_machine) return false;
    if (best && core->machine_types[best->type_index].listed.gpus <= 0 &&
        !has_waited_in_vain(core, job, best))
        return false;
    job->any_machine = 1;
    core->scheduling_due = true;
    return true;
}

/* How many tasks of the job to find or rent room for: of a service all, of a batch job those for
 * which renting is better than waiting for room that is given back, of a gang all or none. */
static int count_tasks_to_provide(tw_core *core, tw_bins *bins, tw_job *job,
                                  tw_expected_releases *releases) {
    if (!may_use_new_machine(core, job)) return 0;
    const int count = count_placeable_tasks(core, job);
    int needed = 0;
    if (job->spec.service) return count;
    if (count > 0 && !releases->items)
        tw_expected_releases_init(core, releases); /* only now: mostly no batch job waits */
    if (job->spec.gang) {
        if (count < job->task_count - job->done_count - job->placed_count)
            return 0; /* its team's limit */
        const double start_at = tw_autoscaler_gang_start(core, bins, job, releases, count);
        tw_autoscaler_gang_avoid_late_start(core, job, start_at);
        return is_worth_renting(core, job, start_at) ? count : 0;
    }
    int *first_release = tw_bins_first_release(bins, job);
    for (int i = 0; i < count; i++)
        needed += is_worth_renting(core, job,
                                   tw_expected_releases_take(core, releases, job, first_release));
    return needed;
}

/* Wants machines for so many tasks of the job, as far as there are offers. Returns for how many
 * there are none. */
static int rent_for_tasks(tw_core *core, tw_bins *bins, tw_job *job, zone_spread *spread,
                          int needed) {
    while (needed > 0) {
        tw_offer_filter filter = {.required_zone = job->spec.single_zone && spread->zone_count
                                                       ? spread->zone_names[0]
                                                       : NULL};
        for (int i = 0; i < spread->zone_count; i++)
            if (spread->task_counts[i] >= spread->max_per_zone)
                filter.excluded_zone = spread->zone_names[i];
        tw_capacity_offer *offer = tw_offer_best(core, &job->spec, job->type_mask, &filter);
        /* An offer that was refused lately may be granted again: until then the job is bound. */
        job->capacity_bound = !offer || offer->refusal_count > 0;
        /* GPU machines that are there come before renting one for a job without GPUs. */
        if (tw_autoscaler_open_gpu_machines(core, job, offer)) return needed;
        if (!offer) return needed;
        const int taken =
            pack_into_bin(core, tw_offer_add_bin(core, bins, offer), job, spread, needed);
        if (!taken) return needed;
        offer->wanted_count++;
        needed -= taken;
    }
    return needed;
}

/* Finds room in the bins for the tasks of a job that waits, and wants machines for the others. */
static void plan_job(tw_core *core, tw_bins *bins, tw_job *job, tw_expected_releases *releases) {
    int needed = count_tasks_to_provide(core, bins, job, releases);
    if (needed <= 0) return;
    zone_spread spread = spread_of_job(job);
    if (job->spec.gang && job->spec.single_zone && !spread.zone_count) {
        const char *zone = tw_autoscaler_gang_zone(core, bins, job, needed);
        if (zone) find_or_add_zone(&spread, zone);
    }
    /* A bin that placement passes have tried is of no use to a single task, but may hold a part of
     * a gang. */
    const int first = job->spec.gang ? 0 : tw_bins_first_useful(bins, job);
    for (int i = first; i < bins->count && needed > 0; i++) {
        core->pass_steps++;
        if (!bins->items[i].tried || job->spec.gang)
            needed -= pack_into_bin(core, &bins->items[i], job, &spread, needed);
    }
    needed = rent_for_tasks(core, bins, job, &spread, needed);
    if (job->spec.gang && needed > 0) tw_bins_note_incomplete_gang(bins, &job->spec);
}

/* ---- the round ---- */

/* Whether the plan counts on the machine's room. */
static bool counts_as_capacity(tw_core *core, const tw_machine *machine) {
    if (machine->type_index < 0 || machine->return_wanted || machine->cordoned || machine->failed ||
        machine->decommissioning)
        return false;
    if (machine->state == TW_MACHINE_UP)
        return machine->preempted_at <= 0 && !machine->lease_expired;
    if (machine->overdue) { /* it may never come */
        double *rental_at = &core->machine_types[machine->type_index].overdue_rental_at;
        *rental_at = fmax(*rental_at, machine->known_since);
        return false;
    }
    /* Some of the machines that boot will be late: of each type that share is not counted on. */
    double *late = &core->machine_types[machine->type_index].overdue_share_sum;
    *late += core->machine_types[machine->type_index].overdue_share;
    if (*late >= 1) {
        *late -= 1;
        return false;
    }
    return true;
}

/* Adds a bin for a machine that is there or boots. */
static void add_machine_bin(tw_core *core, tw_bins *bins, tw_machine *machine) {
    const tw_wire_machine_type *type = &core->machine_types[machine->type_index].listed;
    *tw_bins_add(bins) = (tw_bin){.machine = machine,
                                  .type_index = machine->type_index,
                                  .spot = machine->spot,
                                  .zone = machine->zone,
                                  .occupied = tw_machine_is_occupied(machine),
                                  /* by now a pass has had the chance to use it */
                                  .tried = machine->state == TW_MACHINE_UP &&
                                           core->context.now - machine->first_answered_at >
                                               core->context.config->report_s,
                                  .is_full = !tw_quarantine_allows(machine),
                                  .room = tw_machine_free_capacity(machine, type)};
}

/* Adds bins for the machines of a request that isn't answered yet: they count as coming. */
static void add_requested_bins(tw_core *core, tw_bins *bins, const tw_rental_request *request) {
    tw_capacity_offer *offer = tw_offer_of_request(core, request);
    for (int i = 0; offer && i < request->machine_count; i++)
        tw_offer_add_bin(core, bins, offer)->offer = NULL;
}

/* Machines of a type by zone index; the last count is for machines whose zone has no index. */
typedef int zone_counts[TW_MAX_ZONES + 1];

/* How many machines of the offer's type are in its zone. */
static int count_machines_of_offer(const tw_core *core, const tw_capacity_offer *offer,
                                   const tw_bins *bins, const zone_counts *counts) {
    const char *name = tw_offer_zone(core, offer);
    for (int zone = 0; zone < core->zone_count; zone++)
        if (!strcmp(core->zone_names[zone], name)) return counts[offer->type_index][zone];
    /* The zone has no index, since there are too many: its machines are counted by name. */
    int count = 0;
    if (!counts[offer->type_index][TW_MAX_ZONES]) return 0;
    for (int i = 0; i < bins->count; i++)
        count +=
            bins->items[i].type_index == offer->type_index && !strcmp(bins->items[i].zone, name);
    return count;
}

/* Resets what the last plan noted on types and offers. */
static void reset_scratch(tw_core *core) {
    for (int i = 0; i < core->machine_type_count; i++) {
        core->machine_types[i].overdue_share_sum = core->machine_types[i].overdue_rental_at = 0;
        core->machine_types[i].boots.expected_machine_count = 0;
    }
    for (int i = 0; i < core->capacity_offer_count; i++) {
        core->capacity_offers[i].wanted_count = 0;
        core->capacity_offers[i].boots.expected_machine_count = 0;
    }
}

/* Counts a machine that boots, and is not overdue, at its type and its offer. */
static void count_coming_machine(tw_core *core, const tw_machine *machine) {
    if (machine->type_index < 0 || machine->overdue || machine->failed) return;
    core->machine_types[machine->type_index].boots.expected_machine_count++;
    tw_capacity_offer *offer = tw_offer_of_machine(core, machine);
    if (offer) offer->boots.expected_machine_count++;
}

/* Fills the bins with the machines that the plan counts on, and resets what the last plan noted on
 * machines, types and offers. */
static void collect_bins(tw_core *core, tw_bins *bins) {
    zone_counts *counts = tw_alloc((size_t)core->machine_type_count * sizeof *counts);
    reset_scratch(core);
    tw_machine *machine;
    struct tw_machine *next;
    HASH_ITER(hh, core->machines, machine, next) {
        machine->needed_by_plan = false;
        if (machine->state == TW_MACHINE_BOOTING) count_coming_machine(core, machine);
        if (!counts_as_capacity(core, machine)) continue;
        add_machine_bin(core, bins, machine);
        counts[machine->type_index][machine->zone_index < 0 ? TW_MAX_ZONES : machine->zone_index]++;
    }
    for (int i = 0; i < core->capacity_offer_count; i++) {
        tw_capacity_offer *offer = &core->capacity_offers[i];
        offer->machine_count = count_machines_of_offer(core, offer, bins, counts);
    }
    free(counts);
    const tw_rental_request *request;
    DL_FOREACH(core->rental_requests, request) { add_requested_bins(core, bins, request); }
}

/* What all machines of the bins cost together, as the cloud lists prices. */
static double price_of_bins(const tw_core *core, const tw_bins *bins) {
    double price = 0;
    for (int i = 0; i < bins->count; i++) {
        const tw_wire_machine_type *type = &core->machine_types[bins->items[i].type_index].listed;
        price += bins->items[i].spot ? type->spot_price : type->on_demand_price;
    }
    return price;
}

/* Plans for rejected submissions, and drops those that have not come again for long. */
static void plan_rejected_admissions(tw_core *core, tw_bins *bins, tw_expected_releases *releases) {
    tw_rejected_admission *admission;
    tw_rejected_admission *next;
    HASH_ITER(hh, core->rejected_admissions, admission, next) {
        if (core->context.now < admission->until)
            plan_job(core, bins, &admission->job, releases);
        else
            tw_rejected_admission_drop(core, admission);
    }
}

void tw_autoscaler_plan(tw_core *core) {
    tw_bins bins = {0};
    tw_expected_releases releases = {0}; /* listed when the first batch job waits */
    collect_bins(core, &bins);
    const int existing_count = bins.count;
    tw_job_queue *queue = tw_job_queue_new(core, false);
    tw_job *job;
    while ((job = tw_job_queue_next(core, queue))) plan_job(core, &bins, job, &releases);
    tw_job_queue_free(queue);
    plan_rejected_admissions(core, &bins, &releases);
    const double price = price_of_bins(core, &bins);
    for (const tw_job_class *class = core->job_classes; class; class = class->hh.next)
        tw_autoscaler_keep_headroom(core, &bins, class, price);
    const bool needs_more = bins.count > existing_count;
    tw_offers_update_wanted(core);
    tw_scale_in_idle(core);
    tw_scale_in_reopen(core);
    if (!needs_more) tw_scale_in_consolidate(core, &bins);
    tw_expected_releases_free(&releases);
    tw_bins_free(&bins);
}
