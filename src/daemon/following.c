/* This node as a standby: opens the feed of the active controller and applies its messages. */
#include "daemon/daemon_int.h"
#include <math.h>
#include <stdio.h>
#include <string.h>

/* Delays before a feed is reopened, as fractions of the lease. */
#define INITIAL_BACKOFF_RATIO 0.02
#define MAX_BACKOFF_RATIO 0.2
#define JITTER_RATIO 0.5 /* maximum, as a fraction of the backoff */
#define MS_PER_S 1000.0

/* Returns a number from 0 to 1 that differs between nodes and attempts: the part of the monotonic
 * time below a millisecond. */
static double jitter_fraction(void) {
    double whole;
    return modf(tw_daemon_steady_s() * MS_PER_S, &whole);
}

/* Opens the feed of the daemon at feed_address, from this node's position. */
static void open_feed(tw_daemon_node *node) {
    const tw_standby_position position = tw_standby_position_of(node->standby);
    tw_subscriber_open(node->subscriber, node->feed_address, &position);
}

/* Reopens a feed that has ended, with exponential backoff. */
static void reopen_feed(tw_daemon_node *node, double now) {
    const double lease_s = node->settings->lease_s;
    if (now < node->reopen_at) return;
    node->backoff_s = fmin(2 * node->backoff_s, MAX_BACKOFF_RATIO * lease_s);
    node->reopen_at = now + node->backoff_s * (1 + JITTER_RATIO * jitter_fraction());
    open_feed(node);
}

void tw_daemon_update_feed(tw_daemon_node *node) {
    const double now = tw_daemon_steady_s();
    const char *active = tw_standby_active_address(node->standby);
    const char *address = strcmp(active, node->settings->control) != 0 ? active : "";
    if (strcmp(address, node->feed_address) != 0) {
        node->backoff_s = INITIAL_BACKOFF_RATIO * node->settings->lease_s;
        node->reopen_at = now + node->backoff_s;
        snprintf(node->feed_address, sizeof node->feed_address, "%s", address);
        open_feed(node);
    } else if (address[0] && !tw_subscriber_is_open(node->subscriber)) {
        reopen_feed(node, now);
    }
}

void tw_daemon_process_feed(tw_daemon_node *node) {
    tw_standby_message message;
    while (tw_subscriber_next(node->subscriber, &message)) {
        const int follows = tw_standby_apply_message(node->standby, tw_daemon_steady_s(), &message);
        if (message.kind != TW_STANDBY_DENIED)
            node->backoff_s = INITIAL_BACKOFF_RATIO * node->settings->lease_s;
        tw_standby_message_free(&message);
        if (!follows) open_feed(node);
    }
    tw_daemon_process_effects(node);
}
