/* The daemon: one node that keeps the table of shares while it leads, and owns shares itself. It
 * joins the state machines of src/shards and lease.h with the state service, the machines and the
 * control interface, on one libev loop. */
#ifndef TW_DAEMON_H
#define TW_DAEMON_H
#include "shards/shards.h"

typedef struct {
    const char *name;    /* of this node, as shares name their owner */
    const char *state;   /* the state service, IP:port */
    const char *control; /* where the control interface listens, IP:port */
    double lease_s;
    tw_shards_settings shards;
} tw_daemon_settings;

/* Runs until SIGTERM or SIGINT; 0, or -1: the control address can't be listened on. */
int tw_daemon_run(const tw_daemon_settings *settings);

#endif
