/* Bytes that the node holds on the heap: differences between fleets that differ in one number. */
#include "fleet.h"
#include <math.h>
#include <stdbool.h>

#define TASKS 8
#define TASKS_OF_FULL 10 /* 40,000 tasks on 4,000 machines */
#define WAITING 1000
#define FINISHED 10000
#define ENDED_HERE 1000
#define LONGEST_S 120.0
#define STEP_S 1.0

/* Of a started node with that load; NAN: not known. */
static double heap_of(const tw_bench_load *load) {
    tw_bench_fleet *fleet = tw_bench_fleet_new(load);
    const double before = tw_bench_heap_bytes();
    const int failed = tw_bench_fleet_start(fleet);
    const double bytes = failed ? NAN : tw_bench_heap_bytes() - before;
    tw_bench_fleet_free(fleet);
    return bytes;
}

static void add(tw_bench_results *results, const char *per, const tw_bench_load *load, int jobs,
                double bytes) {
    tw_bench_result result = tw_bench_result_of("memory", per);
    result.machines = load->machines;
    result.tasks = load->tasks;
    result.jobs = jobs;
    result.bytes = bytes;
    tw_bench_results_add(results, &result);
}

static void play_until_running(tw_bench_fleet *fleet, int tasks) {
    double passed = 0;
    while (tw_bench_fleet_running(fleet) != tasks && passed < LONGEST_S) {
        tw_bench_fleet_advance(fleet, STEP_S);
        passed += STEP_S;
    }
}

/* Of a job that was submitted to this leader, ran and is done. */
static double bytes_of_ended(const tw_bench_load *load) {
    tw_bench_fleet *fleet = tw_bench_fleet_ready(load);
    if (!fleet) return NAN;
    const double before = tw_bench_heap_bytes();
    for (int i = 0; i < ENDED_HERE; i++) tw_bench_fleet_submit(fleet);
    play_until_running(fleet, ENDED_HERE);
    bool failed = tw_bench_fleet_running(fleet) != ENDED_HERE;
    for (int machine = 0; machine < load->machines; machine++)
        for (int i = 0; i < ENDED_HERE && tw_bench_fleet_running(fleet); i++)
            tw_bench_fleet_end_task(fleet, machine);
    tw_bench_fleet_advance(fleet, LONGEST_S);
    failed |= tw_bench_fleet_running(fleet) != 0;
    const double bytes = (tw_bench_heap_bytes() - before) / ENDED_HERE;
    tw_bench_fleet_free(fleet);
    return failed ? NAN : bytes;
}

int tw_bench_case_memory(const tw_bench_sizes *sizes, tw_bench_results *results) {
    const int machines = sizes->machines;
    const int finished = tw_bench_size(sizes->jobs, FINISHED);
    const tw_bench_load one = {.machines = 1};
    const tw_bench_load idle = {.machines = machines};
    const tw_bench_load busy = {.machines = machines, .tasks = TASKS};
    const tw_bench_load full = {.machines = machines, .tasks = TASKS, .waiting = WAITING};
    const tw_bench_load old = {.machines = 1, .completed = finished};
    if (machines < 2 || finished < 1) return -1;
    const double of_one = heap_of(&one);
    const double of_idle = heap_of(&idle);
    const double of_busy = heap_of(&busy);
    add(results, "machine", &idle, 0, (of_idle - of_one) / (machines - 1));
    add(results, "running task", &busy, 0, (of_busy - of_idle) / (machines * TASKS));
    add(results, "waiting job", &full, WAITING, (heap_of(&full) - of_busy) / WAITING);
    add(results, "finished job, read", &old, finished, (heap_of(&old) - of_one) / finished);
    const tw_bench_load whole = {.machines = machines, .tasks = TASKS_OF_FULL};
    add(results, "whole node", &whole, 0, heap_of(&whole));
    add(results, "finished job, own", &idle, ENDED_HERE, bytes_of_ended(&idle));
    return 0;
}
