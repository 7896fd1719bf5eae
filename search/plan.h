/* What the parts of a draw share. All times are whole hundredths of a second, so that no number of
 * a day depends on how a machine rounds. */
#ifndef TW_SEARCH_PLAN_H
#define TW_SEARCH_PLAN_H
#include "dice.h"
#include "search.h"

enum { TW_SEARCH_SECOND = 100, TW_SEARCH_ZONES_MAX = 3, TW_SEARCH_NODES_MAX = 5 };
enum { TW_SEARCH_RACKS_MAX = 3, TW_SEARCH_TEAMS_MAX = 3, TW_SEARCH_ANCHORS_MAX = 3 };

typedef struct {
    const char *label;
    int cores, gpus;
} tw_search_rack;

typedef struct {
    tw_search_dice dice;
    tw_search_day *day;
    int lease, report, cancel;
    int term; /* the leader's lease, about: how long an election takes */
    int nodes, zones;
    int racks;
    tw_search_rack rack[TW_SEARCH_RACKS_MAX];
    int machines; /* up at the start */
    int boot;     /* until a rented machine is up */
    int teams;
    int anchors; /* what happens is drawn close to these moments */
    int anchor[TW_SEARCH_ANCHORS_MAX];
    int last; /* the last moment at which something begins or ends */
    int jobs; /* ids given so far */
} tw_search_plan;

typedef struct {
    char text[16];
} tw_search_seconds;

/* Hundredths as seconds. */
tw_search_seconds tw_search_seconds_of(int hundredths);
/* Adds a line at a moment (rounded up to zero). */
void tw_search_at(tw_search_plan *plan, int when, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
/* Something goes on until then. */
void tw_search_until(tw_search_plan *plan, int when);
/* An anchor, and moments around it: at once, within an election, within a lease. */
int tw_search_anchor(tw_search_plan *plan);
int tw_search_near(tw_search_plan *plan, int moment);
const char *tw_search_zone(int zone);
const char *tw_search_any_zone(tw_search_plan *plan);

/* The parts of a draw. */
/* Adds the lines that set lease, report and cancellation. */
void tw_search_settings(tw_search_plan *plan);
void tw_search_draw_leases(tw_search_plan *plan);
void tw_search_draw_fleet(tw_search_plan *plan);
void tw_search_draw_promise(tw_search_plan *plan);
void tw_search_draw_jobs(tw_search_plan *plan);
void tw_search_draw_habits(tw_search_plan *plan);
/* Drawn last, so that days without gangs stay as they were. */
void tw_search_draw_gangs(tw_search_plan *plan);
void tw_search_draw_flood(tw_search_plan *plan);
void tw_search_draw_successors(tw_search_plan *plan);
void tw_search_draw_repeats(tw_search_plan *plan);
void tw_search_draw_troubles(tw_search_plan *plan, int count);

#endif
