/* This node's parts of the rate limits of the state service and the cloud, by the settings. Both
 * hold for all nodes together. The leader gets most of the state service's limits, by the store's
 * own rate limiters; without a leader to ask, all nodes at once read jobs for users and write
 * admissions, and leave the greater part to the leader's renewals and writes. */
#include "core/core_int.h"

/* The followers' part of the state service's limits, for all of them. */
#define FOLLOWERS_SHARE 0.25
/* Writes of how many seconds a follower may make at once. */
#define FOLLOWER_WRITE_BURST_S 8
/* Requests that a follower may make at once in any case. */
#define FOLLOWER_MIN_READ_BURST 2
#define FOLLOWER_MIN_WRITE_BURST 4
/* Requests of how many seconds the leader may send to the cloud at once. */
#define CLOUD_BURST_S 2

/* The limit that a leader keeps to. */
static void init_leader_limits(tw_core *core) {
    const tw_config *config = core->context.config;
    const double share = config->tune.write_share;
    const double cloud = share * config->cloud_rps;
    core->cloud_limiter =
        tw_rate_limiter_make(cloud, fmax(1, cloud * CLOUD_BURST_S), core->context.now);
}

/* The limits that a node keeps to while it doesn't lead. */
static void init_follower_limits(tw_core *core) {
    const tw_config *config = core->context.config;
    const double share =
        config->tune.write_share * FOLLOWERS_SHARE / (double)(config->peer_count + 1);
    const double reads = share * config->state_rps;
    core->follower_read_limiter =
        tw_rate_limiter_make(reads, fmax(FOLLOWER_MIN_READ_BURST, reads), core->context.now);
    const double writes = share * config->state_write_rps;
    core->follower_create_limiter = tw_rate_limiter_make(
        writes, fmax(FOLLOWER_MIN_WRITE_BURST, writes * FOLLOWER_WRITE_BURST_S), core->context.now);
}

void tw_rate_limiters_init(tw_core *core) {
    init_leader_limits(core);
    init_follower_limits(core);
}
