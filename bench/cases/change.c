/* Heartbeats that say that a task is done: alone, and with the scheduling pass that the room it
 * frees brings about, with jobs waiting that still find none. */
#include "cases/waiting.h"
#include "fleet.h"

#define ROUNDS 5
#define HEARTBEATS 20 /* in a round */
#define TASKS 8
#define PAUSE_S 0.2 /* longer than the shortest time between passes */

/* The machine's next heartbeat says that a task is done. */
static void send_done(tw_bench_fleet *fleet, int machine, tw_bench_meter *meter) {
    tw_bench_fleet_end_task(fleet, machine);
    tw_bench_fleet_measure(fleet, meter);
    tw_bench_fleet_send_heartbeat(fleet, machine);
    tw_bench_fleet_measure(fleet, NULL);
}

static void pause(tw_bench_fleet *fleet) {
    tw_bench_fleet_advance(fleet, PAUSE_S);
    tw_bench_fleet_settle(fleet);
}

/* Two machines with tasks of different jobs: the first one's heartbeat brings the pass about, so
 * that none is due with the second's. */
static void change(tw_bench_fleet *fleet, int number, int machines, tw_bench_meter *meter) {
    pause(fleet);
    send_done(fleet, number % machines, NULL);
    send_done(fleet, (number + machines / 2) % machines, meter);
}

int tw_bench_case_change(const tw_bench_sizes *sizes, tw_bench_results *results) {
    const tw_bench_load load = {.machines = sizes->machines,
                                .tasks = tw_bench_size(sizes->tasks, TASKS)};
    tw_bench_result result = tw_bench_result_of("change", "report");
    tw_bench_fleet *fleet = tw_bench_fleet_ready(&load);
    if (!fleet) return -1;
    result.machines = load.machines;
    result.tasks = load.tasks;
    for (int i = 0; i < ROUNDS; i++) {
        tw_bench_meter meter = {.kinds = TW_BENCH_HEARTBEAT};
        for (int k = 0; k < HEARTBEATS; k++)
            change(fleet, i * HEARTBEATS + k, load.machines, &meter);
        tw_bench_result_round(&result, &meter, HEARTBEATS);
    }
    tw_bench_results_add(results, &result);
    tw_bench_fleet_free(fleet);
    return 0;
}

static int run_pass(const tw_bench_load *load, tw_bench_results *results) {
    tw_bench_result result = tw_bench_result_of("pass", "pass");
    tw_bench_fleet *fleet = tw_bench_fleet_ready(load);
    if (!fleet) return -1;
    result.machines = load->machines;
    result.tasks = load->tasks;
    result.jobs = load->waiting;
    for (int i = 0; i < ROUNDS; i++) {
        tw_bench_meter meter = {.kinds = TW_BENCH_HEARTBEAT};
        for (int k = 0; k < HEARTBEATS; k++) {
            pause(fleet);
            send_done(fleet, (i * HEARTBEATS + k) % load->machines, &meter);
        }
        tw_bench_result_round(&result, &meter, HEARTBEATS);
    }
    tw_bench_results_add(results, &result);
    tw_bench_fleet_free(fleet);
    return 0;
}

int tw_bench_case_pass(const tw_bench_sizes *sizes, tw_bench_results *results) {
    return tw_bench_run_waiting(sizes, run_pass, results);
}
