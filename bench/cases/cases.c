/* The list of cases. */
#include "bench.h"
#include <stdbool.h>
#include <stddef.h>

const tw_bench_case tw_bench_cases[] = {
    {"report", "a report that says nothing new, at the leader", false, tw_bench_case_heartbeat},
    {"relay", "the same at a follower, which hands it to the leader", false,
     tw_bench_case_forwarding},
    {"change", "a report that says that a task is done", false, tw_bench_case_change},
    {"placement", "a submission that is placed at once", false, tw_bench_case_placement},
    {"pass", "a report that frees room, and the scheduling pass", false, tw_bench_case_pass},
    {"plan", "a tick half a second after the last, with the plan", false, tw_bench_case_plan},
    {"leader", "ticks and messages of a leader with nothing to do", false, tw_bench_case_leader},
    {"follower", "the same of a follower, without reports", true, tw_bench_case_follower},
    {"takeover", "reading the records", false, tw_bench_case_takeover},
    {"opening", "many submissions at once, until all run", false, tw_bench_case_opening},
    {"memory", "bytes on the heap", false, tw_bench_case_memory},
    {NULL, NULL, false, NULL}};

int tw_bench_size(int asked, int own) { return asked < 0 ? own : asked; }

int tw_bench_size_of(int asked, const int *own, int count, int i) {
    if (asked < 0) return i < count ? own[i] : -1;
    return i ? -1 : asked;
}
