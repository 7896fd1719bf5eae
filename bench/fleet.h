/* A made-up fleet around one node: stand-ins that answer for the state service, the cloud, the
 * other nodes and the workers, as simply as possible, in made-up time. The node finds its jobs in
 * the state service, as any new leader does: that makes a fleet of any size without placing it.
 *
 * Job numbers: completed ones first, then those that run, then those that wait, then what is
 * submitted later. A running job has up to TW_BENCH_TASKS_PER_JOB tasks, each on another machine.
 * Machines stand in zones a and b in turn; at a follower, all in its own. */
#ifndef TW_BENCH_FLEET_H
#define TW_BENCH_FLEET_H
#include "bench.h"
#include "wire/wire.h"

#define TW_BENCH_TASKS_PER_JOB 16
#define TW_BENCH_MACHINE_CORES 96
#define TW_BENCH_HEARTBEAT_S 4.0

/* What the fleet holds at the start. */
typedef struct {
    int machines;
    int tasks;     /* running on each machine, of one core each */
    int completed; /* jobs that are done */
    int waiting;   /* jobs that find no room on machines with 8 tasks */
    int follower;  /* another node leads */
} tw_bench_load;

typedef struct tw_bench_fleet tw_bench_fleet;

/* The stand-ins alone, without the node. */
tw_bench_fleet *tw_bench_fleet_new(const tw_bench_load *load);
void tw_bench_fleet_free(tw_bench_fleet *fleet);
/* Inputs of the meter's kinds are measured from now on; NULL: none. */
void tw_bench_fleet_measure(tw_bench_fleet *fleet, tw_bench_meter *meter);
/* Starts the node and plays until it knows the whole fleet. 0, or -1: it doesn't. */
int tw_bench_fleet_start(tw_bench_fleet *fleet);
/* A fleet with the node, started; NULL: it doesn't come to that state. */
tw_bench_fleet *tw_bench_fleet_ready(const tw_bench_load *load);

/* Plays so many seconds: ticks, answers, heartbeats, messages of the other nodes. */
void tw_bench_fleet_advance(tw_bench_fleet *fleet, double seconds);
/* The same, but with a single tick at the end. */
void tw_bench_fleet_tick_after(tw_bench_fleet *fleet, double seconds);
/* Answers what the node has asked so far, and what it asks then. */
void tw_bench_fleet_settle(tw_bench_fleet *fleet);

/* The machine sends a heartbeat now. */
void tw_bench_fleet_send_heartbeat(tw_bench_fleet *fleet, int machine);
/* From now on its heartbeats say that its first task that runs is done. */
void tw_bench_fleet_end_task(tw_bench_fleet *fleet, int machine);
/* A user submits a batch job of one task with one core; its number. */
int tw_bench_fleet_submit(tw_bench_fleet *fleet);

/* Submissions accepted so far; rejected ones are submitted again when that is due. */
int tw_bench_fleet_accepted(const tw_bench_fleet *fleet);
/* Records that the node has read; machines that got an answer to a heartbeat. */
int tw_bench_fleet_records(const tw_bench_fleet *fleet);
/* Tasks that are on machines. */
int tw_bench_fleet_running(const tw_bench_fleet *fleet);
/* Machines that the node has returned: none, as the fleet is made. */
int tw_bench_fleet_returned(const tw_bench_fleet *fleet);

#endif
