/* Draws the faults of a run and their times from the seed alone. A seed always gives the same plan,
 * but not the same interleaving of messages. */
#include "soak.h"
#include <gsl/gsl_rng.h>

#define FIRST_FAULT_S 4.0
#define MIN_PAUSE_S 0.4
#define MAX_PAUSE_S 4.0
#define MAX_DURATION_LEASES 1.6
/* Share of the plans in which a new leader receives outdated heartbeats; see add_stale_successor.
 */
#define STALE_SUCCESSOR_SHARE 0.4
#define MIN_ABSENCE_LEASES 1.05 /* leases */
#define MAX_ABSENCE_LEASES 1.3
#define MIN_COPIES_S 1.5
#define MAX_COPIES_S 4.0

static const char *const names[TW_SOAK_FAULT_KIND_COUNT] = {
    "kill",          "kill_all",          "freeze",
    "kill_leaders",  "cut_peers",         "cut_state",
    "cut_workers",   "isolate_zone",      "refuse_state",
    "outage",        "late_heartbeats",   "held_heartbeats",
    "late_commands", "repeated_commands", "late_writes",
    "lost_answers",  "unresponsive",      "lost_heartbeats",
    "hang",          "end_incarnations",  "fast_boots"};

/* Relative frequency of each kind of fault. */
static const int fault_weights[TW_SOAK_FAULT_KIND_COUNT] = {[TW_SOAK_FAULT_KILL] = 6,
                                                            [TW_SOAK_FAULT_KILL_ALL] = 1,
                                                            [TW_SOAK_FAULT_FREEZE] = 6,
                                                            [TW_SOAK_FAULT_KILL_LEADERS] = 3,
                                                            [TW_SOAK_FAULT_CUT_PEERS] = 4,
                                                            [TW_SOAK_FAULT_CUT_STATE] = 5,
                                                            [TW_SOAK_FAULT_CUT_WORKERS] = 4,
                                                            [TW_SOAK_FAULT_ISOLATE_ZONE] = 2,
                                                            [TW_SOAK_FAULT_REFUSE_STATE] = 4,
                                                            [TW_SOAK_FAULT_OUTAGE] = 2,
                                                            [TW_SOAK_FAULT_LATE_HEARTBEATS] = 3,
                                                            [TW_SOAK_FAULT_HELD_HEARTBEATS] = 4,
                                                            [TW_SOAK_FAULT_LATE_COMMANDS] = 3,
                                                            [TW_SOAK_FAULT_REPEATED_COMMANDS] = 4,
                                                            [TW_SOAK_FAULT_LATE_WRITES] = 3,
                                                            [TW_SOAK_FAULT_LOST_ANSWERS] = 2,
                                                            [TW_SOAK_FAULT_UNRESPONSIVE] = 2,
                                                            [TW_SOAK_FAULT_LOST_HEARTBEATS] = 2,
                                                            [TW_SOAK_FAULT_HANG] = 4,
                                                            [TW_SOAK_FAULT_END_INCARNATIONS] = 2,
                                                            [TW_SOAK_FAULT_FAST_BOOTS] = 1};

const char *tw_soak_fault_name(tw_soak_fault_kind kind) { return names[kind]; }

static double draw_number(gsl_rng *rng, double from, double to) {
    return from + (to - from) * gsl_rng_uniform(rng);
}

static int draw_index(gsl_rng *rng, int count) {
    return (int)gsl_rng_uniform_int(rng, (unsigned long)count);
}

static tw_soak_fault_kind draw_kind(gsl_rng *rng) {
    int total_weight = 0;
    for (int kind = 0; kind < TW_SOAK_FAULT_KIND_COUNT; kind++) total_weight += fault_weights[kind];
    int remainder = draw_index(rng, total_weight);
    int kind = 0;
    while (remainder >= fault_weights[kind]) remainder -= fault_weights[kind++];
    return (tw_soak_fault_kind)kind;
}

/* Draws how long a fault lasts. TW_SOAK_FAULT_END_INCARNATIONS always lasts longer than a lease, so
 * that the workers' leases expire. */
static double draw_duration_s(gsl_rng *rng, tw_soak_fault_kind kind, double lease_s) {
    switch (kind) {
    case TW_SOAK_FAULT_KILL:
    case TW_SOAK_FAULT_KILL_ALL:
        return draw_number(rng, 0.1, 0.6 * lease_s);
    case TW_SOAK_FAULT_END_INCARNATIONS:
        return draw_number(rng, 1.05, 1.3) * lease_s;
    case TW_SOAK_FAULT_LATE_HEARTBEATS:
    case TW_SOAK_FAULT_HELD_HEARTBEATS:
    case TW_SOAK_FAULT_LATE_COMMANDS:
    case TW_SOAK_FAULT_REPEATED_COMMANDS:
        return draw_number(rng, 1, 3) * lease_s;
    default:
        return draw_number(rng, 0.1, MAX_DURATION_LEASES) * lease_s;
    }
}

static tw_soak_fault draw_fault(gsl_rng *rng, const tw_soak_plan *plan, double at_s,
                                double lease_s) {
    tw_soak_fault fault = {.at_s = at_s, .kind = draw_kind(rng)};
    fault.duration_s = draw_duration_s(rng, fault.kind, lease_s);
    fault.trigger = (tw_soak_trigger)draw_index(rng, TW_SOAK_TRIGGER_CANCEL + 1);
    fault.node = gsl_rng_uniform(rng) < 0.6 ? -1 : draw_index(rng, plan->nodes);
    fault.other = draw_index(rng, plan->nodes);
    fault.direction = draw_index(rng, 3);
    fault.held = draw_index(rng, 2);
    fault.share = draw_number(rng, 0.1, 0.9);
    return fault;
}

static void add_fault(tw_soak_plan *plan, const tw_soak_fault *fault) {
    if (plan->fault_count < TW_SOAK_MAX_FAULTS) plan->faults[plan->fault_count++] = *fault;
}

/* Adds faults that give a new leader heartbeats older than the last launches: all incarnations end
 * while copies of heartbeats are held, and later, right after a launch, machines hang and the
 * leader is killed. */
static void add_stale_successor(gsl_rng *rng, tw_soak_plan *plan, double at_s, double lease_s) {
    const double absence_s = draw_number(rng, MIN_ABSENCE_LEASES, MAX_ABSENCE_LEASES) * lease_s;
    const double copies_s = absence_s + draw_number(rng, MIN_COPIES_S, MAX_COPIES_S);
    const double end_s = at_s + copies_s + draw_number(rng, 0, MAX_COPIES_S);
    const tw_soak_fault chain[] = {
        {.at_s = at_s, .kind = TW_SOAK_FAULT_HELD_HEARTBEATS, .duration_s = copies_s, .share = 1},
        {.at_s = at_s + 1,
         .kind = TW_SOAK_FAULT_END_INCARNATIONS,
         .duration_s = absence_s,
         .node = -1},
        {.at_s = end_s, .kind = TW_SOAK_FAULT_HANG, .duration_s = 0.8 * lease_s, .share = 1},
        {.at_s = end_s,
         .kind = TW_SOAK_FAULT_KILL,
         .duration_s = 0.6 * lease_s,
         .node = -1,
         .trigger = TW_SOAK_TRIGGER_LAUNCH},
    };
    for (size_t i = 0; i < sizeof chain / sizeof *chain; i++) add_fault(plan, &chain[i]);
}

void tw_soak_plan_draw(tw_soak_plan *plan, unsigned seed, double fault_phase_s, double lease_s) {
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(rng, seed);
    static const int node_counts[] = {3, 3, 3, 5, 5, 7};
    plan->nodes = node_counts[draw_index(rng, (int)(sizeof node_counts / sizeof *node_counts))];
    plan->zones = 2 + draw_index(rng, 2);
    plan->machines = draw_index(rng, 10) ? 10 + draw_index(rng, 40) : 120;
    double at_s = FIRST_FAULT_S;
    while (at_s < fault_phase_s && plan->fault_count < TW_SOAK_MAX_FAULTS) {
        const tw_soak_fault fault = draw_fault(rng, plan, at_s, lease_s);
        add_fault(plan, &fault);
        at_s += draw_number(rng, MIN_PAUSE_S, MAX_PAUSE_S);
    }
    if (gsl_rng_uniform(rng) < STALE_SUCCESSOR_SHARE)
        add_stale_successor(rng, plan, draw_number(rng, FIRST_FAULT_S, 0.5 * fault_phase_s),
                            lease_s);
    gsl_rng_free(rng);
}

void tw_soak_plan_print(const tw_soak_plan *plan, FILE *to) {
    static const char *const moments[] = {"time", "launch", "leader", "cancel"};
    static const char *const directions[] = {"both", "from", "to"};
    fprintf(to, "nodes %d zones %d machines %d\n", plan->nodes, plan->zones, plan->machines);
    for (int i = 0; i < plan->fault_count; i++) {
        const tw_soak_fault *fault = &plan->faults[i];
        fprintf(to,
                "at %.2f %s duration=%.2f trigger=%s node=%d other=%d direction=%s held=%d "
                "share=%.2f\n",
                fault->at_s, names[fault->kind], fault->duration_s, moments[fault->trigger],
                fault->node, fault->other, directions[fault->direction], fault->held, fault->share);
    }
}
