/* The simulated world: real controllers (src/core) among stand-ins for state service, cloud,
 * machines and users, in simulated time, driven by lines of the scenario language
 * (tests/scenarios/README.md). A simulation has no state outside its handle: equal lines give
 * equal runs, one after the other as well as in several processes. */
#ifndef TW_SIMULATOR_H
#define TW_SIMULATOR_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct tw_simulator tw_simulator;
/* A broken rule. */
typedef struct {
    char rule[32];    /* its name ("ran_twice", ...); "": none is broken */
    char detail[512]; /* time and what happened */
    double at;        /* simulated time */
} tw_simulator_violation;

typedef struct {
    char rule[32];    /* name of the first broken rule ("ran_twice", ...), or "" */
    char detail[512]; /* time and what happened */
    double broken_at; /* simulated time of it; without a broken rule that of the end */
    int failed;       /* `expect`/`raw` lines that did not hold, refusals without Retry-After */
    unsigned overlapping_answers; /* answers that contradicted a newer one but whose request was
                           sent before it was told */
    double end_s;                 /* simulated time reached */
    /* Only nodes of the earlier version had led when the rule broke. Leaders alone decide, so this
     * version had decided nothing on that day by then. */
    bool only_earlier_version_led;
    /* Of a run that is judged to its end, if only the earlier version had led at the first break:
     * the first break after it in which this version had a part, which means that a node of it had
     * led by then. A detail without a rule is of a line that did not hold. */
    tw_simulator_violation again;
    /* The first one of those that only go on from a break by the earlier version alone, and how
     * many there were (judge.c has what counts as one). */
    tw_simulator_violation inherited_violation;
    unsigned inherited_violation_count;
    uint64_t digest; /* of all that users and workers were told: equal for equal runs */
} tw_simulator_verdict;

/* name: for messages about lines that did not hold, on standard output; NULL: no messages. */
tw_simulator *tw_simulator_new(const char *name);
/* Which program plays nodes of the earlier version: a tw_core_server (tools/core_server) that was
 * built with it; the text must outlive the simulation. Without the call it is what the
 * environment's TW_EARLIER_CORE names. */
void tw_simulator_set_earlier_version(tw_simulator *sim, const char *program);
/* Which program plays all other nodes, those that an upgrade leads to; NULL: they are of this
 * version, in this process. Without the call it is what the environment's TW_TARGET_CORE names.
 * What a verdict says of this version is then meant of that one. */
void tw_simulator_set_target_version(tw_simulator *sim, const char *program);
/* Whether the lines taken so far ask for the earlier version, and there is no program for it. */
bool tw_simulator_lacks_earlier_version(const tw_simulator *sim);
/* Takes one line of the scenario language; 0, or -1 with a text. */
int tw_simulator_add_line(tw_simulator *sim, const char *line, char *error, size_t error_size);
/* A rule that breaks while only nodes of the earlier version have led is noted, and the run goes on
 * to its end or to the first broken rule in which this version has a part. */
void tw_simulator_judge_to_end(tw_simulator *sim);
/* Plays the lines taken so far to their end or to the first broken rule. Once only. Without any
 * node nothing happens. */
void tw_simulator_run(tw_simulator *sim, tw_simulator_verdict *verdict);
void tw_simulator_free(tw_simulator *sim);

#endif
