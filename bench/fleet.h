/* A simulated fleet around one real node: minimal stubs of the state service, the cloud, the other
 * nodes and the workers, in simulated time. The node reads its jobs from the state service, as any
 * new leader does, so that a fleet of any size is set up without placing its tasks.
 *
 * Jobs are numbered in this order: completed, running, waiting, submitted after the start. A
 * running job has up to TW_BENCH_TASKS_PER_JOB tasks, each on another machine. Machines alternate
 * between the zones a and b if the node leads, and are all in the node's own zone if it follows. */
#ifndef TW_BENCH_FLEET_H
#define TW_BENCH_FLEET_H
#include "bench.h"
#include "wire/wire.h"

#define TW_BENCH_TASKS_PER_JOB 16
#define TW_BENCH_MACHINE_CORES 96
#define TW_BENCH_HEARTBEAT_S 4.0

/* The initial state of a fleet. */
typedef struct {
    int machines;
    int tasks;     /* running tasks on each machine, of one core each */
    int completed; /* completed jobs */
    int waiting;   /* waiting jobs, too large for machines with 8 tasks */
    int follower;  /* nonzero: another node leads and the measured node follows */
} tw_bench_load;

typedef struct tw_bench_fleet tw_bench_fleet;

/* Returns a new fleet whose node is not started. Freed with tw_bench_fleet_free. */
tw_bench_fleet *tw_bench_fleet_new(const tw_bench_load *load);
void tw_bench_fleet_free(tw_bench_fleet *fleet);
/* From now on adds the cost of inputs of the meter's kinds to the meter; NULL stops measuring. The
 * meter is not owned. */
void tw_bench_fleet_measure(tw_bench_fleet *fleet, tw_bench_meter *meter);
/* Starts the node and runs the fleet until the node has read all records and all workers know its
 * fencing token. Returns 0, or -1 if the node does not reach that state. */
int tw_bench_fleet_start(tw_bench_fleet *fleet);
/* Returns a new fleet with its node started, or NULL if tw_bench_fleet_start fails. */
tw_bench_fleet *tw_bench_fleet_new_started(const tw_bench_load *load);

/* Advances the simulated time and gives the node all ticks, responses, heartbeats and peer
 * heartbeats that fall due. */
void tw_bench_fleet_advance(tw_bench_fleet *fleet, double seconds);
/* Advances the simulated time like tw_bench_fleet_advance, but with a single tick, at the end. */
void tw_bench_fleet_tick_after(tw_bench_fleet *fleet, double seconds);
/* Delivers the responses to the node's open calls and to the calls that these cause, without a
 * tick. */
void tw_bench_fleet_deliver_answers(tw_bench_fleet *fleet);

/* Sends a heartbeat of the machine to the node. */
void tw_bench_fleet_send_heartbeat(tw_bench_fleet *fleet, int machine);
/* Marks the first running task of the machine as done in all later heartbeats. */
void tw_bench_fleet_complete_task(tw_bench_fleet *fleet, int machine);
/* Submits a batch job of one task with one core and returns the job's number. A rejected submission
 * is repeated after the time that the node asks for. */
int tw_bench_fleet_submit(tw_bench_fleet *fleet);

/* Returns the number of submissions that the node has accepted. */
int tw_bench_fleet_accepted_submissions(const tw_bench_fleet *fleet);
/* Returns the number of records that the node has read. */
int tw_bench_fleet_records_read(const tw_bench_fleet *fleet);
/* Returns the number of tasks that are on machines and not done. */
int tw_bench_fleet_running_tasks(const tw_bench_fleet *fleet);
/* Returns the number of requests to return machines; 0 unless the fleet is misconfigured. */
int tw_bench_fleet_returned_machines(const tw_bench_fleet *fleet);

#endif
