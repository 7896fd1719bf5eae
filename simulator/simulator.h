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
typedef struct {
    char rule[32];      /* name of the first broken rule ("ran_twice", ...), or "" */
    char detail[512];   /* time and what happened */
    int failed;         /* `expect`/`raw` lines that did not hold, refusals without Retry-After */
    unsigned crossings; /* answers that contradicted a newer one but whose request was sent before
                           it was told */
    double end_s;       /* simulated time reached */
    /* Only nodes of the earlier version had led when the rule broke. Leaders alone decide, so this
     * version has decided nothing on that day. */
    bool only_earlier_led;
    uint64_t digest; /* of all that users and workers were told: equal for equal runs */
} tw_simulator_verdict;

/* name: for messages about lines that did not hold, on standard output; NULL: no messages. */
tw_simulator *tw_simulator_new(const char *name);
/* Which program plays nodes of the earlier version: a tw_core_server (tools/core_server) that was
 * built with it; the text must outlive the simulation. Without the call it is what the
 * environment's TW_EARLIER_CORE names. */
void tw_simulator_earlier_version(tw_simulator *sim, const char *program);
/* Whether the lines taken so far ask for the earlier version, and there is no program for it. */
bool tw_simulator_lacks_earlier_version(const tw_simulator *sim);
/* Takes one line of the scenario language; 0, or -1 with a text. */
int tw_simulator_take_line(tw_simulator *sim, const char *line, char *error, size_t error_size);
/* Plays the lines taken so far to their end or to the first broken rule. Once only. Without any
 * node nothing happens. */
void tw_simulator_run(tw_simulator *sim, tw_simulator_verdict *verdict);
void tw_simulator_free(tw_simulator *sim);

#endif
