/* The daemon: one node, which manages the shard table while it leads, and owns shards itself. It
 * connects the state machines of src/shards and src/standby with the state service, the machines
 * and the control interface, on one libev loop. Times are in seconds. */
#ifndef TW_DAEMON_H
#define TW_DAEMON_H
#include "shards/shards.h"

typedef struct {
    const char *name;    /* name of this node, by which shards refer to their owner */
    const char *state;   /* address of the state service, IP:port */
    const char *control; /* address on which the control interface listens, IP:port */
    double lease_s;      /* time to live of the leader's lease */
    tw_shards_settings shards;
} tw_daemon_settings;

/* Runs the daemon until SIGTERM or SIGINT and returns 0. Returns -1 without running if the control
 * address can't be listened on. The settings must outlive the call. */
int tw_daemon_run(const tw_daemon_settings *settings);

#endif
