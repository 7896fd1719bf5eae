/* Plans how many machines to rent. Each plan packs the pending tasks, and the headroom for arrivals
 * expected during the boot of a machine (autoscaler_headroom.c), into the free capacity of existing
 * and requested machines. For tasks that do not fit, it rents machines of the offer with the lowest
 * cost per task (capacity_offers.c). autoscaler_gang.c contains what is specific to gangs.
 *
 * A plan does not place tasks: its bins are scratch data, and only the offers' wanted counts, a
 * job's may_use_gpu_machines and no_capacity_offered, and the machines' needed_by_plan outlive it.
 * Tasks are packed bin by bin, so the cost of a plan is proportional to jobs times bins, not to
 * tasks times bins. */
#include "core/autoscaler_int.h"
#include <stdbool.h>

#define BOOT_TIME_FACTOR 1.2 /* most machines boot within this multiple of the type's boot time */
#define RUN_TIME_FACTOR 1.1  /* most tasks end within this multiple of their estimated run time */

/* ---- packing tasks and renting machines ---- */

double tw_autoscaler_rental_to_start_s(const tw_core *core, uint32_t types, double image_gb) {
    double soonest = INFINITY;
    for (int i = 0; i < core->machine_type_count; i++) {
        const tw_machine_type *type = &core->machine_types[i];
        if (types & (1U << i))
            soonest = fmin(soonest, BOOT_TIME_FACTOR * type->listed.startup_s +
                                        type->fetch_s_per_gb * image_gb);
    }
    return soonest;
}

/* Returns whether to rent a machine for a batch task that could otherwise start at start_at on
 * released capacity. start_at is INFINITY if no capacity will be released. */
static bool is_worth_renting(const tw_core *core, const tw_job *job, double start_at) {
    if (!isfinite(start_at)) return true;
    if (start_at <= core->context.now +
                        tw_autoscaler_rental_to_start_s(core, job->type_mask, job->spec.image_gb))
        return false;
    return !(start_at + tw_job_run_estimate_s(job) * RUN_TIME_FACTOR <= tw_job_deadline(job));
}

/* Number of a job's tasks in each zone, both placed and planned ones. */
typedef struct {
    const char *zone_names[TW_MAX_ZONES];
    int task_counts[TW_MAX_ZONES];
    int zone_count;
    int max_per_zone; /* limit of the job's tasks in one zone */
} zone_spread;

/* Returns the zone's index in the spread, and adds the zone if it is missing. -1: the spread is
 * full. */
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

/* Returns the number of placed tasks of the job in each zone. */
static zone_spread spread_of_job(const tw_job *job) {
    zone_spread spread = {.max_per_zone = job->spec.spread ? (job->task_count + 1) / 2 : INT32_MAX};
    const tw_placement *placed;
    DL_FOREACH2(job->placements, placed, job_next) {
        const int slot = find_or_add_zone(&spread, placed->machine->zone);
        if (slot >= 0) spread.task_counts[slot]++;
    }
    return spread;
}

/* Packs up to max_tasks of the job's tasks into the bin, and adds them to the spread. Returns how
 * many were packed. */
static int pack_into_bin(const tw_core *core, tw_bin *bin, const tw_job *job, zone_spread *spread,
                         int max_tasks) {
    int packed = 0;
    bin->packed_count = 0;
    if (!tw_bin_is_allowed(bin, &job->spec, job->type_mask)) return 0;
    if (job->spec.single_zone && spread->zone_count &&
        strcmp(spread->zone_names[0], bin->zone) != 0)
        return 0;
    while (packed < max_tasks && tw_bin_fits(bin, &job->spec) &&
           tw_bin_leaves_gpus(core, bin, &job->spec, job->may_use_gpu_machines)) {
        const int slot = find_or_add_zone(spread, bin->zone);
        if (slot < 0 || spread->task_counts[slot] >= spread->max_per_zone) break;
        tw_bin_add_task(bin, &job->spec);
        spread->task_counts[slot]++;
        packed++;
    }
    bin->packed_count = packed;
    /* Keeps the machine until the rest of the gang fits. */
    if (packed && job->spec.gang && bin->machine) bin->machine->needed_by_plan = true;
    return packed;
}

/* Returns whether a newly rented machine, which is in its first incarnation, may run a task of the
 * job. */
static bool may_use_new_machine(const tw_core *core, const tw_job *job) {
    const tw_machine_restriction restriction = tw_mixed_version_restriction(core, job);
    return restriction == TW_MACHINES_ANY || restriction == TW_MACHINES_IN_FIRST_INCARNATION;
}

/* Returns how many more tasks of the job its team's limit and its record allow to be placed now. */
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

/* Returns whether the boot of a machine of the offer's type, rented while the job was waiting, is
 * overdue. The next such machine may fail to boot, too. */
static bool is_similar_rental_overdue(const tw_core *core, const tw_job *job,
                                      const tw_capacity_offer *offer) {
    const double rented_at = core->machine_types[offer->type_index].overdue_rental_at;
    return rented_at > 0 && rented_at >= job->pending_since;
}

bool tw_autoscaler_allow_gpu_machines(tw_core *core, tw_job *job, const tw_capacity_offer *best) {
    if (job->spec.gpus > 0 || job->may_use_gpu_machines) return false;
    if (best && core->machine_types[best->type_index].listed.gpus <= 0 &&
        !is_similar_rental_overdue(core, job, best))
        return false;
    job->may_use_gpu_machines = 1;
    core->scheduling_due = true;
    return true;
}

/* Returns for how many tasks of the job the plan must provide capacity: for a service all of them,
 * for a batch job those for which renting is better than waiting for released capacity, for a gang
 * all or none. */
static int count_tasks_to_provide(tw_core *core, tw_bins *bins, tw_job *job,
                                  tw_expected_releases *releases) {
    if (!may_use_new_machine(core, job)) return 0;
    const int count = count_placeable_tasks(core, job);
    int needed = 0;
    if (job->spec.service) return count;
    /* The releases are not computed earlier, since usually no batch job is pending. */
    if (count > 0 && !releases->items) tw_expected_releases_init(core, releases);
    if (job->spec.gang) {
        if (count < job->task_count - job->done_count - job->placed_count)
            return 0; /* the team's limit does not allow the whole gang */
        const double start_at = tw_autoscaler_estimate_gang_start(core, bins, job, releases, count);
        tw_autoscaler_allow_gpu_machines_for_late_gang(core, job, start_at);
        return is_worth_renting(core, job, start_at) ? count : 0;
    }
    int *first_release = tw_bins_release_cursor(bins, job);
    for (int i = 0; i < count; i++)
        needed += is_worth_renting(core, job,
                                   tw_expected_releases_take(core, releases, job, first_release));
    return needed;
}

/* Adds machines to the plan for needed tasks of the job, as far as offers allow. Returns the number
 * of tasks for which no machine can be rented. */
static int rent_for_tasks(tw_core *core, tw_bins *bins, tw_job *job, zone_spread *spread,
                          int needed) {
    while (needed > 0) {
        tw_offer_filter filter = {.required_zone = job->spec.single_zone && spread->zone_count
                                                       ? spread->zone_names[0]
                                                       : NULL};
        for (int i = 0; i < spread->zone_count; i++)
            if (spread->task_counts[i] >= spread->max_per_zone)
                filter.excluded_zone = spread->zone_names[i];
        tw_capacity_offer *offer =
            tw_offer_find_cheapest(core, &job->spec, job->type_mask, &filter);
        /* If the cloud has recently refused a request to the offer, the job counts as one for which
         * no machine can be rented, until the cloud grants a request. */
        job->no_capacity_offered = !offer || offer->refusal_count > 0;
        /* A job without GPUs uses existing GPU machines before a GPU machine is rented for it. */
        if (tw_autoscaler_allow_gpu_machines(core, job, offer)) return needed;
        if (!offer) return needed;
        const int packed =
            pack_into_bin(core, tw_offer_add_bin(core, bins, offer), job, spread, needed);
        if (!packed) return needed;
        offer->wanted_count++;
        needed -= packed;
    }
    return needed;
}

/* Packs the tasks of a pending job into the bins, and plans machines for those that do not fit. */
static void plan_job(tw_core *core, tw_bins *bins, tw_job *job, tw_expected_releases *releases) {
    int needed = count_tasks_to_provide(core, bins, job, releases);
    if (needed <= 0) return;
    zone_spread spread = spread_of_job(job);
    if (job->spec.gang && job->spec.single_zone && !spread.zone_count) {
        const char *zone = tw_autoscaler_choose_gang_zone(core, bins, job, needed);
        if (zone) find_or_add_zone(&spread, zone);
    }
    /* Placement passes have found no capacity for a single task in the bins that they considered,
     * but such a bin may have capacity for a part of a gang. */
    const int first = job->spec.gang ? 0 : tw_bins_first_useful(bins, job);
    for (int i = first; i < bins->count && needed > 0; i++) {
        core->pass_steps++;
        if (!bins->items[i].considered_by_passes || job->spec.gang)
            needed -= pack_into_bin(core, &bins->items[i], job, &spread, needed);
    }
    needed = rent_for_tasks(core, bins, job, &spread, needed);
    if (job->spec.gang && needed > 0) tw_bins_mark_incomplete_gang(bins, &job->spec);
}

/* ---- collecting the bins and running the plan ---- */

/* Returns whether the plan uses the machine's capacity. */
static bool counts_as_capacity(tw_core *core, const tw_machine *machine) {
    if (machine->type_index < 0 || machine->return_wanted || machine->cordoned || machine->failed ||
        machine->decommissioning)
        return false;
    if (machine->state == TW_MACHINE_UP)
        return machine->preempted_at <= 0 && !machine->lease_expired;
    if (machine->overdue) { /* the machine may never finish booting */
        double *rental_at = &core->machine_types[machine->type_index].overdue_rental_at;
        *rental_at = fmax(*rental_at, machine->known_since);
        return false;
    }
    /* Of the booting machines of each type, the share that is usually overdue is not counted. */
    double *sum = &core->machine_types[machine->type_index].overdue_share_sum;
    *sum += core->machine_types[machine->type_index].overdue_share;
    if (*sum >= 1) {
        *sum -= 1;
        return false;
    }
    return true;
}

/* Adds a bin for an existing machine, which is up or booting. */
static void add_machine_bin(tw_core *core, tw_bins *bins, tw_machine *machine) {
    const tw_wire_machine_type *type = &core->machine_types[machine->type_index].listed;
    *tw_bins_add(bins) =
        (tw_bin){.machine = machine,
                 .type_index = machine->type_index,
                 .spot = machine->spot,
                 .zone = machine->zone,
                 .occupied = tw_machine_is_occupied(machine),
                 /* earlier placement passes could use the machine */
                 .considered_by_passes = machine->state == TW_MACHINE_UP &&
                                         core->context.now - machine->first_answered_at >
                                             core->context.config->report_s,
                 .blocked_by_probation = !tw_quarantine_allows(machine),
                 .free_capacity = tw_machine_free_capacity(machine, type)};
}

/* Adds bins for the machines of an unanswered rental request, which is expected to be granted. */
static void add_requested_bins(tw_core *core, tw_bins *bins, const tw_rental_request *request) {
    tw_capacity_offer *offer = tw_offer_of_request(core, request);
    for (int i = 0; offer && i < request->machine_count; i++)
        tw_offer_add_bin(core, bins, offer)->offer = NULL;
}

/* Number of machines of a type by zone index; the last entry counts machines without an index. */
typedef int zone_counts[TW_MAX_ZONES + 1];

/* Returns the number of bins whose machines have the offer's type and zone. */
static int count_machines_of_offer(const tw_core *core, const tw_capacity_offer *offer,
                                   const tw_bins *bins, const zone_counts *counts) {
    const char *name = tw_offer_zone(core, offer);
    for (int zone = 0; zone < core->zone_count; zone++)
        if (!strcmp(core->zone_names[zone], name)) return counts[offer->type_index][zone];
    /* There are more than TW_MAX_ZONES zones and this one has no index: count by zone name. */
    int count = 0;
    if (!counts[offer->type_index][TW_MAX_ZONES]) return 0;
    for (int i = 0; i < bins->count; i++)
        count +=
            bins->items[i].type_index == offer->type_index && !strcmp(bins->items[i].zone, name);
    return count;
}

/* Resets the counters that the previous plan left in types and offers. */
static void reset_plan_results(tw_core *core) {
    for (int i = 0; i < core->machine_type_count; i++) {
        core->machine_types[i].overdue_share_sum = core->machine_types[i].overdue_rental_at = 0;
        core->machine_types[i].boots.expected_machine_count = 0;
    }
    for (int i = 0; i < core->capacity_offer_count; i++) {
        core->capacity_offers[i].wanted_count = 0;
        core->capacity_offers[i].boots.expected_machine_count = 0;
    }
}

/* Adds a booting machine that is not overdue to the counters of its type and its offer. */
static void count_booting_machine(tw_core *core, const tw_machine *machine) {
    if (machine->type_index < 0 || machine->overdue || machine->failed) return;
    core->machine_types[machine->type_index].boots.expected_machine_count++;
    tw_capacity_offer *offer = tw_offer_of_machine(core, machine);
    if (offer) offer->boots.expected_machine_count++;
}

/* Adds bins for all machines whose capacity the plan uses, and resets the counters and marks that
 * the previous plan left in machines, types and offers. */
static void collect_bins(tw_core *core, tw_bins *bins) {
    zone_counts *counts = tw_alloc((size_t)core->machine_type_count * sizeof *counts);
    reset_plan_results(core);
    tw_machine *machine;
    struct tw_machine *next;
    HASH_ITER(hh, core->machines, machine, next) {
        machine->needed_by_plan = false;
        if (machine->state == TW_MACHINE_BOOTING) count_booting_machine(core, machine);
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

/* Returns the total price of the bins' machines, in the unit of the cloud's price list. */
static double price_of_bins(const tw_core *core, const tw_bins *bins) {
    double price = 0;
    for (int i = 0; i < bins->count; i++) {
        const tw_wire_machine_type *type = &core->machine_types[bins->items[i].type_index].listed;
        price += bins->items[i].spot ? type->spot_price : type->on_demand_price;
    }
    return price;
}

/* Plans for rejected submissions, and drops those that the client has not repeated in time. */
static void plan_rejected_admissions(tw_core *core, tw_bins *bins, tw_expected_releases *releases) {
    tw_rejected_admission *admission;
    tw_rejected_admission *next;
    HASH_ITER(hh, core->rejected_admissions, admission, next) {
        if (core->context.now < admission->expires_at)
            plan_job(core, bins, &admission->job, releases);
        else
            tw_rejected_admission_drop(core, admission);
    }
}

void tw_autoscaler_plan(tw_core *core) {
    tw_bins bins = {0};
    tw_expected_releases releases = {0}; /* computed when the first batch job is planned */
    collect_bins(core, &bins);
    const int existing_count = bins.count;
    tw_job_queue *queue = tw_job_queue_new(core, false);
    tw_job *job;
    while ((job = tw_job_queue_next(core, queue))) plan_job(core, &bins, job, &releases);
    tw_job_queue_free(queue);
    plan_rejected_admissions(core, &bins, &releases);
    const double price = price_of_bins(core, &bins);
    for (const tw_job_class *class = core->job_classes; class; class = class->hh.next)
        tw_autoscaler_reserve_headroom(core, &bins, class, price);
    const bool needs_more = bins.count > existing_count;
    tw_offers_update_wanted(core);
    tw_scale_in_return_idle_machines(core);
    tw_scale_in_cancel_decommissions(core);
    if (!needs_more) tw_scale_in_consolidate(core, &bins);
    tw_expected_releases_free(&releases);
    tw_bins_free(&bins);
}
