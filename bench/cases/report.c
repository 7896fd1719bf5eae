/* A report that says nothing new: at the leader, and at a follower that relays it. */
#include "fleet.h"

#define ROUNDS 10
#define REPORTS 100 /* in a round: relays take no longer than the time between ticks */
#define BETWEEN_S 1.0

static const int usual_tasks[] = {0, 8, 40};
#define TASK_SIZES ((int)(sizeof usual_tasks / sizeof *usual_tasks))

/* A round: machines report one after the other, without a tick between them. */
static void report_some(tw_bench_fleet *fleet, int first, int machines, unsigned kinds,
                        tw_bench_result *result) {
    tw_bench_meter meter = {.kinds = kinds};
    tw_bench_fleet_advance(fleet, BETWEEN_S);
    tw_bench_fleet_settle(fleet);
    for (int i = 0; i < REPORTS; i++) {
        tw_bench_fleet_measure(fleet, &meter);
        tw_bench_fleet_send_heartbeat(fleet, (first + i) % machines);
        tw_bench_fleet_settle(fleet);
        tw_bench_fleet_measure(fleet, NULL);
    }
    tw_bench_result_round(result, &meter, REPORTS);
}

static int run(const char *name, const tw_bench_load *load, unsigned kinds,
               tw_bench_results *results) {
    tw_bench_result result = tw_bench_result_of(name, "report");
    tw_bench_fleet *fleet = tw_bench_fleet_ready(load);
    if (!fleet) return -1;
    result.machines = load->machines;
    result.tasks = load->tasks;
    for (int i = 0; i < ROUNDS; i++)
        report_some(fleet, i * REPORTS, load->machines, kinds, &result);
    tw_bench_results_add(results, &result);
    tw_bench_fleet_free(fleet);
    return 0;
}

int tw_bench_case_heartbeat(const tw_bench_sizes *sizes, tw_bench_results *results) {
    int tasks;
    for (int i = 0; (tasks = tw_bench_size_of(sizes->tasks, usual_tasks, TASK_SIZES, i)) >= 0;
         i++) {
        const tw_bench_load load = {.machines = sizes->machines, .tasks = tasks};
        if (run("report", &load, TW_BENCH_HEARTBEAT, results)) return -1;
    }
    return 0;
}

int tw_bench_case_forwarding(const tw_bench_sizes *sizes, tw_bench_results *results) {
    int tasks;
    for (int i = 0; (tasks = tw_bench_size_of(sizes->tasks, usual_tasks, TASK_SIZES, i)) >= 0;
         i++) {
        const tw_bench_load load = {.machines = sizes->machines, .tasks = tasks, .follower = 1};
        if (run("relay", &load, TW_BENCH_HEARTBEAT | TW_BENCH_ANSWER, results)) return -1;
    }
    return 0;
}
