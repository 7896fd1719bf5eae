/* What the plan does for gangs, whose tasks are rented for all together or not at all: when one
 * would start on room that is given back, and the zone for one that must stand in a single one. */
#include "core/autoscaler_int.h"

#define LATE_SHARE 0.5 /* of a start objective: what a gang that has to wait leaves of it */

double tw_autoscaler_gang_start(tw_core *core, tw_bins *bins, const tw_job *job,
                                tw_expected_releases *drain, int count) {
    int *from = tw_bins_first_released(bins, job);
    double start = core->context.now;
    for (int i = 0; i < count && isfinite(start); i++)
        start = fmax(start, tw_expected_releases_start(core, drain, job, from));
    return start;
}

void tw_autoscaler_gang_hurry(tw_core *core, tw_job *job, double start) {
    const tw_offer_filter filter = {0};
    const double due = tw_job_start_deadline(job);
    const double early = LATE_SHARE * (job->job_class ? job->job_class->start_within_s : 0);
    if (start <= due - early && core->context.now <= due - early) return;
    tw_autoscaler_open_gpu_machines(core, job,
                                    tw_offer_best(core, &job->spec, job->type_mask, &filter));
}

/* How many tasks of the job the zone's bins hold, at most `most`. */
static int zone_holds(tw_core *core, tw_bins *bins, const tw_job *job, const char *zone, int most) {
    int count = 0;
    for (int i = 0; i < bins->count && count < most; i++) {
        tw_bin room = bins->items[i];
        core->pass_steps++;
        if (strcmp(room.zone, zone) != 0 || !tw_bin_is_allowed(&room, &job->spec, job->type_mask))
            continue;
        while (count < most && tw_bin_fits(&room, &job->spec) &&
               tw_bin_leaves_gpus(core, &room, &job->spec, job->any_machine)) {
            tw_bin_take(&room, &job->spec);
            count++;
        }
    }
    return count;
}

const char *tw_autoscaler_gang_zone(tw_core *core, tw_bins *bins, const tw_job *job, int need) {
    const char *best = NULL;
    int most = -1;
    for (int zone = 0; zone < core->zone_count; zone++) {
        const char *name = core->zone_names[zone];
        const tw_offer_filter filter = {.only_zone = name};
        if (!tw_constraints_allow_zone(core, job, name)) continue;
        const int count = zone_holds(core, bins, job, name, need);
        if (count <= most) continue;
        if (count < need && !tw_offer_best(core, &job->spec, job->type_mask, &filter)) continue;
        most = count;
        best = name;
    }
    return best;
}
