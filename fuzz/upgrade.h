/* Functions shared by the generators of days with nodes of two versions: the base day without the
 * lines that two versions do not support, and the steps of an upgrade.
 *
 * Invariant: each kind of such days has its own stream of random numbers, so that changing one kind
 * does not change the days of another. */
#ifndef TW_FUZZ_UPGRADE_H
#define TW_FUZZ_UPGRADE_H
#include "plan.h"
#include <stdbool.h>
#include <stdint.h>

/* Constants that are xored into the seed to give each kind of days its own random numbers. */
enum {
    TW_FUZZ_UPGRADE_STREAM = 0x5bd1e995,
    TW_FUZZ_MIXED_STREAM = 0x2c1b3c6d,
    TW_FUZZ_ROLL_STREAM = 0x297a2d39
};

/* The state of generating a day with two versions. Times are in hundredths of a second. */
typedef struct {
    tw_fuzz_plan plan;            /* only rng, day, node_count and last_moment are used */
    int end;                      /* time of the `end` line */
    int order[TW_FUZZ_NODES_MAX]; /* random order in which nodes are upgraded by name */
} tw_fuzz_upgrade;

/* How the node of a step is chosen. */
typedef struct {
    bool by_leadership; /* the leader is upgraded last; otherwise nodes follow the random order */
    bool leader_first;  /* with by_leadership: the first step upgrades the leader */
} tw_fuzz_upgrade_choice;

/* Generates the base day of the seed into an empty day, without the lines that two versions do not
 * support, and a random order of its nodes. tw_fuzz_upgrade_end must follow. */
void tw_fuzz_upgrade_begin(tw_fuzz_upgrade *upgrade, uint32_t seed, uint32_t stream,
                           tw_fuzz_day *day);
/* Adds the line of step number `step` (from 0), in which one node executes `command` (upgrade or
 * downgrade) at `when`. */
void tw_fuzz_upgrade_draw_step(tw_fuzz_upgrade *upgrade, const char *command, int when, int step,
                               const tw_fuzz_upgrade_choice *choice);
/* Sorts the lines and frees the random number generator; the caller owns the day. */
void tw_fuzz_upgrade_end(tw_fuzz_upgrade *upgrade);

#endif
