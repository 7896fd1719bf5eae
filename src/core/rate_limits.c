/* This node's parts of what the state service and the cloud take, by the settings. */
#include "core/core_int.h"

/* The state service's limits hold for all nodes together: the leader gets most of them. */
/* Without a leader to ask, all nodes at once read jobs for users and write acceptances: together
 * they leave the greater part to the leader's renewals and writes. */
#define OTHERS 0.25
#define OTHERS_WRITES_BURST_S 8
#define OTHERS_LEAST_READS 2
#define OTHERS_LEAST_WRITES 4
#define CLOUD_BURST_S 2

/* The parts that a leader uses. */
static void init_of_leader(tw_core *core) {
    const tw_config *config = core->context.config;
    const double share = config->tune.write_share;
    const double cloud = share * config->cloud_rps;
    core->cloud_limiter =
        tw_rate_limiter_make(cloud, fmax(1, cloud * CLOUD_BURST_S), core->context.now);
}

/* The parts that a node uses while it does not lead. */
static void init_of_others(tw_core *core) {
    const tw_config *config = core->context.config;
    const double share = config->tune.write_share * OTHERS / (double)(config->npeers + 1);
    const double reads = share * config->state_rps;
    core->follower_read_limiter =
        tw_rate_limiter_make(reads, fmax(OTHERS_LEAST_READS, reads), core->context.now);
    const double writes = share * config->state_write_rps;
    core->follower_create_limiter = tw_rate_limiter_make(
        writes, fmax(OTHERS_LEAST_WRITES, writes * OTHERS_WRITES_BURST_S), core->context.now);
}

void tw_rate_limiters_init(tw_core *core) {
    init_of_leader(core);
    init_of_others(core);
}
