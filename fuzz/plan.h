/* What the parts of a draw share.
 *
 * Invariants: all times are whole hundredths of a second, so that no number of a day depends on how
 * a machine rounds; each part draws from the plan's dice in a fixed order, and parts that came
 * later draw last, so that the days of a seed stay as they were. */
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
    int lease, heartbeat, cancel;
    int election_time; /* the leader's lease, about: how long an election takes */
    int node_count, zone_count;
    int type_count;
    tw_fuzz_machine_type types[TW_FUZZ_TYPES_MAX];
    int machine_count; /* up at the start */
    int boot_time;     /* until a rented machine is up */
    int team_count;
    int anchor_count; /* what happens is drawn close to these moments */
    int anchors[TW_FUZZ_ANCHORS_MAX];
    int last_moment; /* the last moment at which something begins or ends */
    int job_count;   /* ids given so far */
} tw_fuzz_plan;

typedef struct {
    char text[16];
} tw_fuzz_word;

/* Hundredths as seconds. */
tw_fuzz_word tw_fuzz_format_seconds(int hundredths);
/* Adds a line at a moment (rounded up to zero). */
void tw_fuzz_add_event(tw_fuzz_plan *plan, int when, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
/* Something goes on until then. */
void tw_fuzz_extend_day(tw_fuzz_plan *plan, int when);
/* An anchor, and moments around it: at once, within an election, within a lease. */
int tw_fuzz_draw_anchor(tw_fuzz_plan *plan);
int tw_fuzz_draw_moment_near(tw_fuzz_plan *plan, int moment);
const char *tw_fuzz_zone_name(int zone);
const char *tw_fuzz_draw_zone(tw_fuzz_plan *plan);

/* The parts of a draw. */
/* Adds the lines that set the lease and the times of heartbeats and cancellations. */
void tw_fuzz_add_settings(tw_fuzz_plan *plan);
void tw_fuzz_draw_leases(tw_fuzz_plan *plan);
void tw_fuzz_draw_fleet(tw_fuzz_plan *plan);
void tw_fuzz_draw_guarantee_day(tw_fuzz_plan *plan);
void tw_fuzz_draw_jobs(tw_fuzz_plan *plan);
void tw_fuzz_draw_user_behavior(tw_fuzz_plan *plan);
/* Drawn last, so that days without gangs stay as they were. */
void tw_fuzz_draw_gangs(tw_fuzz_plan *plan);
void tw_fuzz_draw_flood(tw_fuzz_plan *plan);
void tw_fuzz_draw_stale_messages(tw_fuzz_plan *plan);
void tw_fuzz_draw_repeated_commands(tw_fuzz_plan *plan);
void tw_fuzz_draw_faults(tw_fuzz_plan *plan, int count);

#endif
