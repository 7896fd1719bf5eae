/* The list of cases, and the choice of their sizes. */
#include "bench.h"
#include <stdbool.h>
#include <stddef.h>

const tw_bench_case tw_bench_cases[] = {
    {"report", "an unchanged heartbeat at the leader", false, tw_bench_case_heartbeat},
    {"relay", "an unchanged heartbeat at a follower, which forwards it to the leader", false,
     tw_bench_case_forwarding},
    {"change", "a heartbeat that reports a completed task", false, tw_bench_case_change},
    {"placement", "a submission that is placed without waiting", false, tw_bench_case_placement},
    {"pass", "a heartbeat that frees capacity, with its scheduling pass", false,
     tw_bench_case_pass},
    {"plan", "a tick that runs the autoscaler's plan, due every half second", false,
     tw_bench_case_plan},
    {"leader", "ticks and messages of an idle leader, without heartbeats", false,
     tw_bench_case_leader},
    {"follower", "ticks and messages of an idle follower, without heartbeats", true,
     tw_bench_case_follower},
    {"takeover", "reading the records after an election", false, tw_bench_case_takeover},
    {"opening", "a burst of submissions, until all their tasks run", false,
     tw_bench_case_submission_burst},
    {"memory", "heap bytes of a machine, a task, a job and a whole node", false,
     tw_bench_case_memory},
    {NULL, NULL, false, NULL}};

int tw_bench_size_or_default(int requested, int default_size) {
    return requested < 0 ? default_size : requested;
}

int tw_bench_size_at(int requested, const int *default_sizes, int count, int i) {
    if (requested < 0) return i < count ? default_sizes[i] : -1;
    return i ? -1 : requested;
}
