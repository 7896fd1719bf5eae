/* What the days with nodes of two versions share: the day of the seed without what doesn't fit two
 * versions, draws apart from the seed's own, and the steps of an upgrade.
 *
 * Invariant: each kind of such days has a stream of its own, so that the days of one stay as they
 * were when another one is drawn otherwise. */
#ifndef TW_FUZZ_UPGRADE_H
#define TW_FUZZ_UPGRADE_H
#include "plan.h"
#include <stdbool.h>
#include <stdint.h>

/* What is xored into the seed for the draws of each kind of days. */
enum {
    TW_FUZZ_UPGRADE_STREAM = 0x5bd1e995,
    TW_FUZZ_MIXED_STREAM = 0x2c1b3c6d,
    TW_FUZZ_ROLL_STREAM = 0x297a2d39
};

/* A day with two versions while it is drawn. Times are hundredths of a second. */
typedef struct {
    tw_fuzz_plan plan;            /* of it: dice, day, node_count, last_moment */
    int end;                      /* of the day */
    int order[TW_FUZZ_NODES_MAX]; /* in which nodes are upgraded by name */
} tw_fuzz_upgrade;

/* How nodes are chosen for a step. */
typedef struct {
    bool by_leadership; /* the leader last; otherwise by name, in the drawn order */
    bool leader_first;  /* with by_leadership: the first step is the leader's */
} tw_fuzz_upgrade_choice;

/* Draws the day of the seed into an empty day, without the lines that don't fit two versions, and
 * an order of its nodes. Ended by tw_fuzz_upgrade_end. */
void tw_fuzz_upgrade_begin(tw_fuzz_upgrade *upgrade, uint32_t seed, uint32_t stream,
                           tw_fuzz_day *day);
/* Adds one step, from 0: `command` (upgrade, downgrade) of one node at that moment. */
void tw_fuzz_upgrade_draw_step(tw_fuzz_upgrade *upgrade, const char *command, int when, int step,
                               const tw_fuzz_upgrade_choice *choice);
/* Orders the lines; the day is the caller's. */
void tw_fuzz_upgrade_end(tw_fuzz_upgrade *upgrade);

#endif
