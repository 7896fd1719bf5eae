/* Until when this node, or another one, may command and answer workers. Authority to command ends
 * before the leader's lease in the state service can; renewing workers' leases without it goes on
 * for a bounded time, which a successor waits out. The argument is in docs/design.md. */
#include "core/cluster.h"
#include <stdbool.h>

/* Share of `margin_ratio` that is kept back where a cancellation must be over by `cancel_s`. */
#define CANCEL_MARGIN 0.4

bool tw_leader_has_authority(const tw_core *core) {
    return core->role == TW_ROLE_LEADER && core->context.now < core->authority_until;
}

bool tw_leader_may(const tw_core *core, tw_permission right) {
    return tw_leader_has_authority(core) ||
           (right == TW_PERMISSION_RENEW && tw_leader_renews_without_authority(core));
}

double tw_renewal_without_authority_s(const tw_core *core) {
    return core->context.config->tune.hold_ratio * core->context.config->lease_s;
}

/* A job cancelled at another node must be gone cancel_s later, even where nobody can say so: by its
 * machine's lease. So whoever cannot exclude that another leads answers for this long at most. */
double tw_renewal_if_superseded_s(const tw_core *core) {
    const tw_config *settings = core->context.config;
    const double lease_by_any_clock =
        settings->lease_s *
        (1 + CANCEL_MARGIN * settings->tune.margin_ratio + 2 * settings->tune.drift);
    return fmax(
        0, fmin(settings->cancel_s - lease_by_any_clock, tw_renewal_without_authority_s(core)));
}

/* How long a node may answer workers, by its own last authority or the leader's last grant, without
 * hearing more. Longer than tw_renewal_if_superseded_s: a cancellation is told only once all who
 * may answer without us for longer know of it (tw_cancellation_safety). */
double tw_renewal_without_contact_s(const tw_core *core) {
    return fmin(tw_renewal_without_authority_s(core),
                tw_renewal_if_superseded_s(core) + core->context.config->lease_s);
}

/* Until when surely no other node had led: when all of them last said that they know of no token
 * later than ours (see vouch). */
static double sole_leader_until(const tw_core *core) {
    double until = INFINITY;
    for (size_t i = 0; i < core->peer_count; i++) until = fmin(until, core->peers[i].vouched_at);
    return until;
}

/* Without the state service nobody can tell an outage from being cut off alone. Renewing the
 * workers' leases under the old token goes on for a bounded time; a successor waits that time out
 * before it takes a silent machine's tasks for ended (tw_predecessor_renewals_end). */
bool tw_leader_renews_without_authority(const tw_core *core) {
    if (core->role != TW_ROLE_LEADER || core->phase != TW_PHASE_ACTIVE ||
        core->context.now < core->authority_until)
        return false;
    return core->context.now < core->authority_until + tw_renewal_without_authority_s(core) &&
           core->context.now < fmax(core->authority_until, sole_leader_until(core)) +
                                   tw_renewal_without_contact_s(core);
}

/* Until when some earlier leader may have answered a worker that has not seen our token. */
double tw_predecessor_renewals_end(const tw_core *core) {
    if (core->peers_confirmed_at > 0) return core->peers_confirmed_at;
    /* From our acquisition on it can't hear from all nodes that none leads. */
    return core->acquired_at +
           tw_renewal_without_contact_s(core) * (1 + 2 * core->context.config->tune.drift);
}

void tw_permissions_log(tw_core *core) {
    const bool commands = tw_leader_may(core, TW_PERMISSION_COMMAND);
    const bool renews = tw_leader_may(core, TW_PERMISSION_RENEW);
    const unsigned long long token = core->fencing_token;
    if (core->role == TW_ROLE_LEADER && core->could_command && !commands)
        tw_log_info("event=authority_expired token=%llu led_s=%.2f over_since_s=%.3f renews=%d",
                    token, core->context.now - core->acquired_at,
                    core->context.now - core->authority_until, renews);
    if (core->role == TW_ROLE_LEADER && core->could_renew && !renews)
        tw_log_info("event=lease_renewals_ended token=%llu without_authority_s=%.2f", token,
                    core->context.now - core->authority_until);
    core->could_command = commands;
    core->could_renew = renews;
}
