/* The simulation runs real controllers (src/core) in simulated time against models of the state
 * service, the cloud, the machines and the users. Lines of the scenario language
 * (tests/scenarios/README.md) drive it. A simulation keeps no state outside its handle, so equal
 * lines give equal runs, both within one process and across processes. */
#ifndef TW_SIMULATOR_H
#define TW_SIMULATOR_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct tw_simulator tw_simulator;
/* A violation of a rule of the protocol. */
typedef struct {
    char rule[32]; /* name of the violated rule ("ran_twice", ...); "" if there is no violation */
    char detail[512]; /* simulated time and description of the violation */
    double at;        /* simulated time of the violation, in seconds */
} tw_simulator_violation;

typedef struct {
    char rule[32];    /* name of the first violated rule ("ran_twice", ...); "" if there is none */
    char detail[512]; /* simulated time and description of the violation */
    /* simulated time of the violation; without a violation, the time of the end */
    double violated_at;
    /* number of failed `expect` and `raw` lines and of error responses without Retry-After */
    int failed;
    /* number of responses that contradicted a newer response but whose request was sent before the
     * user received the newer one */
    unsigned overlapping_answers;
    double end_s; /* simulated time at the end of the run */
    /* Whether only nodes of the earlier version had been leader when the rule was violated. Only
     * leaders make decisions, so this version had made none in that run. */
    bool only_earlier_version_led;
    /* The first later violation to which this version contributed, that is, before which a node of
     * this version had been leader. Set only for a run that continues after violations
     * (tw_simulator_judge_to_end) and whose first violation occurred under leaders of the earlier
     * version alone. A detail without a rule describes a failed `expect` or `raw` line. */
    tw_simulator_violation later_violation;
    /* The first violation that is only a consequence of one by the earlier version alone, and the
     * number of such violations. judge.c defines what counts as a consequence. */
    tw_simulator_violation inherited_violation;
    unsigned inherited_violation_count;
    uint64_t digest; /* hash of all messages to users and workers; equal for equal runs */
} tw_simulator_verdict;

/* Creates a simulation. `name` prefixes the messages about failed lines on standard output; NULL
 * suppresses these messages. Free the simulation with tw_simulator_free. */
tw_simulator *tw_simulator_new(const char *name);
/* Sets the program that runs nodes of the earlier version: a tw_core_server (tools/core_server)
 * built from that version. The text must outlive the simulation. The default is the environment
 * variable TW_EARLIER_CORE. */
void tw_simulator_set_earlier_version(tw_simulator *sim, const char *program);
/* Sets the program that runs all other nodes, which have the version that an upgrade leads to; NULL
 * runs them in this process, with this version. The default is the environment variable
 * TW_TARGET_CORE. If a program is set, statements of a verdict about this version refer to the
 * version of the program. */
void tw_simulator_set_target_version(tw_simulator *sim, const char *program);
/* Returns whether the lines added so far use the earlier version although no program for it is set.
 */
bool tw_simulator_lacks_earlier_version(const tw_simulator *sim);
/* Adds one line of the scenario language. Returns 0, or -1 with a message in `error`. */
int tw_simulator_add_line(tw_simulator *sim, const char *line, char *error, size_t error_size);
/* Lets the run continue after violations that occur while only nodes of the earlier version have
 * been leader. The verdict reports the first of them; the run stops at its end time or at the first
 * violation to which this version contributes. */
void tw_simulator_judge_to_end(tw_simulator *sim);
/* Runs the added lines until the end time or the first violation, and fills `verdict`. Call it at
 * most once for each simulation. Without any node, the run ends immediately. */
void tw_simulator_run(tw_simulator *sim, tw_simulator_verdict *verdict);
void tw_simulator_free(tw_simulator *sim);

#endif
