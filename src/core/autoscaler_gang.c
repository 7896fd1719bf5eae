/* The parts of the plan that are specific to gangs, for which machines are rented either for all
 * tasks or for none: the estimated start on released capacity, and the choice of a zone for gangs
 * that require a single one. Called by autoscaler_plan.c. */
#include "core/autoscaler_int.h"

/* Share of the start objective that must be left when a pending gang starts. */
#define LATE_START_MARGIN_SHARE 0.5

double tw_autoscaler_estimate_gang_start(tw_core *core, tw_bins *bins, const tw_job *job,
                                         tw_expected_releases *releases, int count) {
    int *first_release = tw_bins_release_cursor(bins, job);
    double start_at = core->context.now;
    for (int i = 0; i < count && isfinite(start_at); i++)
        start_at = fmax(start_at, tw_expected_releases_take(core, releases, job, first_release));
    return start_at;
}

void tw_autoscaler_allow_gpu_machines_for_late_gang(tw_core *core, tw_job *job, double start_at) {
    const tw_offer_filter filter = {0};
    const double deadline_at = tw_job_start_deadline(job);
    const double margin_s =
        LATE_START_MARGIN_SHARE * (job->job_class ? job->job_class->start_within_s : 0);
    if (start_at <= deadline_at - margin_s && core->context.now <= deadline_at - margin_s) return;
    tw_autoscaler_allow_gpu_machines(
        core, job, tw_offer_find_cheapest(core, &job->spec, job->type_mask, &filter));
}

/* Returns how many tasks of the job fit into the zone's bins, at most max_count. The bins are not
 * modified. */
static int count_tasks_in_zone(tw_core *core, tw_bins *bins, const tw_job *job, const char *zone,
                               int max_count) {
    int count = 0;
    for (int i = 0; i < bins->count && count < max_count; i++) {
        const tw_bin *bin = &bins->items[i];
        core->pass_steps++;
        if (strcmp(bin->zone, zone) != 0 || !tw_bin_is_allowed(bin, &job->spec, job->type_mask))
            continue;
        count +=
            tw_bin_count_tasks(core, bin, &job->spec, job->may_use_gpu_machines, max_count - count);
    }
    return count;
}

const char *tw_autoscaler_choose_gang_zone(tw_core *core, tw_bins *bins, const tw_job *job,
                                           int task_count) {
    const char *best = NULL;
    int max_count = -1;
    double least_factor = INFINITY;
    for (int zone = 0; zone < core->zone_count; zone++) {
        const char *name = core->zone_names[zone];
        const tw_offer_filter filter = {.required_zone = name};
        if (!tw_constraints_allow_zone(core, job, name)) continue;
        const int count = count_tasks_in_zone(core, bins, job, name, task_count);
        const tw_capacity_offer *offer =
            tw_offer_find_cheapest(core, &job->spec, job->type_mask, &filter);
        if (count < task_count && !offer) continue;
        const double factor = count < task_count ? tw_offer_boot_cost_factor(core, offer) : 1;
        if (factor > least_factor || (factor == least_factor && count <= max_count)) continue;
        least_factor = factor;
        max_count = count;
        best = name;
    }
    return best;
}
