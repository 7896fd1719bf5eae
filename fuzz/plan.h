/* State and helpers shared by the functions that generate parts of a day.
 *
 * Invariants: all times are integers in hundredths of a second, so that no number of a day depends
 * on floating-point rounding. Each part takes its random numbers from the plan's generator in a
 * fixed order, and parts added later to the source take theirs last, so that the random choices of
 * the older parts stay the same for each seed. */
#ifndef TW_FUZZ_PLAN_H
#define TW_FUZZ_PLAN_H
#include "rng.h"
#include "fuzz.h"

enum { TW_FUZZ_SECOND = 100, TW_FUZZ_ZONES_MAX = 3, TW_FUZZ_NODES_MAX = 5 };
enum { TW_FUZZ_TYPES_MAX = 3, TW_FUZZ_TEAMS_MAX = 3, TW_FUZZ_ANCHORS_MAX = 3 };

typedef struct {
    const char *name;
    int cores, gpus;
} tw_fuzz_machine_type;

typedef struct {
    tw_fuzz_rng rng;
    tw_fuzz_day *day;
    int lease, heartbeat, cancel; /* the settings of these names */
    int election_time;            /* approximate duration of an election: the leader's lease */
    int node_count, zone_count;
    int type_count;
    tw_fuzz_machine_type types[TW_FUZZ_TYPES_MAX];
    int machine_count; /* machines that are up at the start */
    int boot_time;     /* from a rental until the machine is up */
    int team_count;
    int anchor_count;
    int anchors[TW_FUZZ_ANCHORS_MAX]; /* times near which faults and requests are placed, so that
                                         they coincide */
    int last_moment;                  /* the latest time at which an event begins or ends */
    int job_count;                    /* job ids assigned so far */
} tw_fuzz_plan;

/* A word of a line: a time in seconds or the name of a node. */
typedef struct {
    char text[16];
} tw_fuzz_word;

/* Formats hundredths of a second as seconds. */
tw_fuzz_word tw_fuzz_format_seconds(int hundredths);
/* Adds an `at` line for the time `when`, or for 0 if that is negative, and extends the day to it.
 */
void tw_fuzz_add_event(tw_fuzz_plan *plan, int when, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
/* Extends the day to at least `when`, the end of an event. */
void tw_fuzz_extend_day(tw_fuzz_plan *plan, int when);
/* Returns a random anchor; all have equal probability. */
int tw_fuzz_draw_anchor(tw_fuzz_plan *plan);
/* Returns `moment` or a random time near it: within a second of it, up to four election times or
 * one and a half leases after it, or from half a lease before it to the cancellation limit after
 * it. */
int tw_fuzz_draw_moment_near(tw_fuzz_plan *plan, int moment);
const char *tw_fuzz_zone_name(int zone);
const char *tw_fuzz_draw_zone(tw_fuzz_plan *plan);

/* ---- functions that generate parts of a day ---- */

/* Adds the lines that set the lease, the heartbeat interval and the time limit of cancellations. */
void tw_fuzz_add_settings(tw_fuzz_plan *plan);
void tw_fuzz_draw_leases(tw_fuzz_plan *plan);
void tw_fuzz_draw_fleet(tw_fuzz_plan *plan);
void tw_fuzz_draw_guarantee_day(tw_fuzz_plan *plan);
void tw_fuzz_draw_jobs(tw_fuzz_plan *plan);
void tw_fuzz_draw_user_behavior(tw_fuzz_plan *plan);
/* Adds the gangs of the day. Call it after the fleet, the other jobs and the faults are generated,
 * so that days without gangs do not change. */
void tw_fuzz_draw_gangs(tw_fuzz_plan *plan);
void tw_fuzz_draw_flood(tw_fuzz_plan *plan);
void tw_fuzz_draw_stale_messages(tw_fuzz_plan *plan);
void tw_fuzz_draw_repeated_commands(tw_fuzz_plan *plan);
void tw_fuzz_draw_faults(tw_fuzz_plan *plan, int count);

#endif
