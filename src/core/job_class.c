/* Classes of jobs: what was learned of each, for estimates and for the room to hold. */
#include "core/jobs.h"

/* Until something was learned: deviation of a run time's ratio to its estimate. */
#define PRIOR_DEVIATION 0.3
/* Taken for the time since a class's first job's predecessor. */
#define FIRST_GAP_S 30
/* A job's weight in the rate of arrivals grows with the time since the one before. */
#define RATE_TIME_S 60
#define SHORTEST_GAP_S 0.05
/* Weight of a job's number of tasks in the mean. */
#define SIZE_WEIGHT 0.2
/* Jobs that stood waiting for the service to come up arrive within so many leases. */
#define OPENING_LEASES 4

lane *tw_lane(tw_core *core, const char *name) {
    lane *lane;
    HASH_FIND_STR(core->lanes, name, lane);
    if (lane) return lane;
    lane = tw_zalloc(sizeof *lane);
    snprintf(lane->name, sizeof lane->name, "%s", name);
    lane->ratio = 1;
    lane->dev = PRIOR_DEVIATION;
    HASH_ADD_STR(core->lanes, name, lane);
    return lane;
}

void tw_lane_arrival(tw_core *core, lane *lane, const job *job) {
    /* Jobs that stood waiting for the service to come up say nothing of the rate they come at. */
    int opening = core->fresh && core->now - core->opened_at < OPENING_LEASES * core->cf->lease_s;
    double gap_s = lane->last_arrival > 0 ? core->now - lane->last_arrival : FIRST_GAP_S;
    double weight = opening ? 0 : 1 - exp(-gap_s / RATE_TIME_S);
    double tasks = job->pieces;
    if (gap_s < SHORTEST_GAP_S) gap_s = SHORTEST_GAP_S;
    lane->rate += weight * (tasks / gap_s - lane->rate);
    lane->batch_tasks += SIZE_WEIGHT * (tasks - lane->batch_tasks);
    if (job->s.gang) lane->largest_gang = fmax(lane->largest_gang, tasks);
    lane->last_arrival = core->now;
    lane->sample = job->s;
    lane->sample.machine_types = NULL;
    lane->sample_racks = job->rackmask;
    lane->has_sample = 1;
    tw_per_gpu_note(core);
}
