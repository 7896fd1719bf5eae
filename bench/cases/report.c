/* Cost of an unchanged heartbeat, at the leader and at a follower that forwards it. */
#include "fleet.h"

#define ROUNDS 10
#define HEARTBEATS                                                                                 \
    100 /* number per round: few enough that forwarding them fits between two ticks */
#define ROUND_GAP_S 1.0

static const int default_tasks[] = {0, 8, 40};
#define DEFAULT_TASK_COUNTS ((int)(sizeof default_tasks / sizeof *default_tasks))

/* Measures a round of heartbeats of successive machines, without a tick between them. */
static void run_round(tw_bench_fleet *fleet, int first, int machines, unsigned kinds,
                      tw_bench_result *result) {
    tw_bench_meter meter = {.kinds = kinds};
    tw_bench_fleet_advance(fleet, ROUND_GAP_S);
    tw_bench_fleet_deliver_answers(fleet);
    for (int i = 0; i < HEARTBEATS; i++) {
        tw_bench_fleet_measure(fleet, &meter);
        tw_bench_fleet_send_heartbeat(fleet, (first + i) % machines);
        tw_bench_fleet_deliver_answers(fleet);
        tw_bench_fleet_measure(fleet, NULL);
    }
    tw_bench_result_add_round(result, &meter, HEARTBEATS);
}

static int run_heartbeats(const char *name, const tw_bench_load *load, unsigned kinds,
                          tw_bench_results *results) {
    tw_bench_result result = tw_bench_result_init(name, "report");
    tw_bench_fleet *fleet = tw_bench_fleet_new_started(load);
    if (!fleet) return -1;
    result.machines = load->machines;
    result.tasks = load->tasks;
    for (int i = 0; i < ROUNDS; i++)
        run_round(fleet, i * HEARTBEATS, load->machines, kinds, &result);
    tw_bench_results_add(results, &result);
    tw_bench_fleet_free(fleet);
    return 0;
}

int tw_bench_case_heartbeat(const tw_bench_sizes *sizes, tw_bench_results *results) {
    int tasks;
    for (int i = 0;
         (tasks = tw_bench_size_at(sizes->tasks, default_tasks, DEFAULT_TASK_COUNTS, i)) >= 0;
         i++) {
        const tw_bench_load load = {.machines = sizes->machines, .tasks = tasks};
        if (run_heartbeats("report", &load, TW_BENCH_HEARTBEAT, results)) return -1;
    }
    return 0;
}

int tw_bench_case_forwarding(const tw_bench_sizes *sizes, tw_bench_results *results) {
    int tasks;
    for (int i = 0;
         (tasks = tw_bench_size_at(sizes->tasks, default_tasks, DEFAULT_TASK_COUNTS, i)) >= 0;
         i++) {
        const tw_bench_load load = {.machines = sizes->machines, .tasks = tasks, .follower = 1};
        if (run_heartbeats("relay", &load, TW_BENCH_HEARTBEAT | TW_BENCH_ANSWER, results))
            return -1;
    }
    return 0;
}
