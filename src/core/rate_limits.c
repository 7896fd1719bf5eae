/* Initializes this node's shares of the rate limits of the state service and the cloud from
 * the settings. The limits apply to all nodes together. The leader gets most of the state
 * service's limits, through the store's own rate limiters. Without a reachable leader, all
 * nodes read jobs for users and write admissions simultaneously; their shares leave the
 * greater part of the limits to the leader's renewals and writes. */
#include "core/core_int.h"

/* Share of the state service's limits for all followers together. */
#define FOLLOWERS_SHARE 0.25
/* Write burst of a follower, in seconds' worth of its write rate. */
#define FOLLOWER_WRITE_BURST_S 8
/* Minimum bursts of a follower, in requests. */
#define FOLLOWER_MIN_READ_BURST 2
#define FOLLOWER_MIN_WRITE_BURST 4
/* Burst of the leader's calls to the cloud, in seconds' worth of its rate. */
#define CLOUD_BURST_S 2

/* Initializes the limit that applies while the node leads. */
static void init_leader_limits(tw_core *core) {
    const tw_config *config = core->context.config;
    const double share = config->tune.write_share;
    const double cloud = share * config->cloud_rps;
    core->cloud_limiter =
        tw_rate_limiter_make(cloud, fmax(1, cloud * CLOUD_BURST_S), core->context.now);
}

/* Initializes the limits that apply while the node does not lead. */
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
