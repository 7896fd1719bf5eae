/* Heap bytes of a node. The bytes of a machine, a task or a job are the difference between two
 * fleets that differ only in the number of these. */
#include "fleet.h"
#include <math.h>
#include <stdbool.h>

#define TASKS 8
#define FULL_FLEET_TASKS 10 /* 40,000 tasks on 4,000 machines */
#define WAITING_JOBS 1000
#define RECORDED_JOBS 10000
#define COMPLETED_JOBS 1000
#define MAX_WAIT_S 120.0
#define STEP_S 1.0

/* Returns the heap bytes of a started node with the load, or NAN if they are unknown. */
static double started_node_bytes(const tw_bench_load *load) {
    tw_bench_fleet *fleet = tw_bench_fleet_new(load);
    const double before = tw_bench_heap_bytes();
    const int failed = tw_bench_fleet_start(fleet);
    const double bytes = failed ? NAN : tw_bench_heap_bytes() - before;
    tw_bench_fleet_free(fleet);
    return bytes;
}

static void add_result(tw_bench_results *results, const char *per, const tw_bench_load *load,
                       int jobs, double bytes) {
    tw_bench_result result = tw_bench_result_init("memory", per);
    result.machines = load->machines;
    result.tasks = load->tasks;
    result.jobs = jobs;
    result.bytes = bytes;
    tw_bench_results_add(results, &result);
}

static void advance_until_running(tw_bench_fleet *fleet, int tasks) {
    double waited_s = 0;
    while (tw_bench_fleet_running_tasks(fleet) != tasks && waited_s < MAX_WAIT_S) {
        tw_bench_fleet_advance(fleet, STEP_S);
        waited_s += STEP_S;
    }
}

/* Returns the heap bytes of a completed job that was submitted to this leader and run under it,
 * in contrast to one that a new leader reads as completed from its record. */
static double completed_job_bytes(const tw_bench_load *load) {
    tw_bench_fleet *fleet = tw_bench_fleet_new_started(load);
    if (!fleet) return NAN;
    const double before = tw_bench_heap_bytes();
    for (int i = 0; i < COMPLETED_JOBS; i++) tw_bench_fleet_submit(fleet);
    advance_until_running(fleet, COMPLETED_JOBS);
    bool failed = tw_bench_fleet_running_tasks(fleet) != COMPLETED_JOBS;
    for (int machine = 0; machine < load->machines; machine++)
        for (int i = 0; i < COMPLETED_JOBS && tw_bench_fleet_running_tasks(fleet); i++)
            tw_bench_fleet_complete_task(fleet, machine);
    tw_bench_fleet_advance(fleet, MAX_WAIT_S);
    failed |= tw_bench_fleet_running_tasks(fleet) != 0;
    const double bytes = (tw_bench_heap_bytes() - before) / COMPLETED_JOBS;
    tw_bench_fleet_free(fleet);
    return failed ? NAN : bytes;
}

int tw_bench_case_memory(const tw_bench_sizes *sizes, tw_bench_results *results) {
    const int machines = sizes->machines;
    const int recorded = tw_bench_size_or_default(sizes->jobs, RECORDED_JOBS);
    const tw_bench_load one = {.machines = 1};
    const tw_bench_load idle = {.machines = machines};
    const tw_bench_load busy = {.machines = machines, .tasks = TASKS};
    const tw_bench_load with_waiting = {
        .machines = machines, .tasks = TASKS, .waiting = WAITING_JOBS};
    const tw_bench_load with_completed = {.machines = 1, .completed = recorded};
    if (machines < 2 || recorded < 1) return -1;
    const double one_bytes = started_node_bytes(&one);
    const double idle_bytes = started_node_bytes(&idle);
    const double busy_bytes = started_node_bytes(&busy);
    add_result(results, "machine", &idle, 0, (idle_bytes - one_bytes) / (machines - 1));
    add_result(results, "running task", &busy, 0, (busy_bytes - idle_bytes) / (machines * TASKS));
    add_result(results, "waiting job", &with_waiting, WAITING_JOBS,
               (started_node_bytes(&with_waiting) - busy_bytes) / WAITING_JOBS);
    add_result(results, "finished job, read", &with_completed, recorded,
               (started_node_bytes(&with_completed) - one_bytes) / recorded);
    const tw_bench_load full_fleet = {.machines = machines, .tasks = FULL_FLEET_TASKS};
    add_result(results, "whole node", &full_fleet, 0, started_node_bytes(&full_fleet));
    add_result(results, "finished job, own", &idle, COMPLETED_JOBS, completed_job_bytes(&idle));
    return 0;
}
