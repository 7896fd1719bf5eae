/* Generates the fleet of a day: nodes and zones, settings, machine types, teams and machines. */
#include "plan.h"

/* Percentages of days, teams or machines with these properties. */
enum {
    DEFAULT_SETTINGS = 40,
    LIMITED_TEAMS = 50,
    WRITE_LIMITS = 12,
    OBJECTIVES = 20,
    SPOT_MACHINES = 25
};
/* Percentages of the worker lease: the lifetime of the leader's key, and the interval between
 * heartbeats by default. */
enum { ELECTION_PERCENT = 12, HEARTBEAT_PERCENT = 15 };

static void draw_nodes(tw_fuzz_plan *plan) {
    tw_fuzz_rng *rng = &plan->rng;
    static const int zone_weights[] = {3, 11, 6};
    plan->node_count = TW_FUZZ_ONE_OF(rng, 3, 3, 3, 3, 3, 3, 4, 4, 4, 5);
    plan->zone_count = 1 + (int)tw_fuzz_rng_weighted(rng, zone_weights, TW_FUZZ_ZONES_MAX);
    for (int i = 0; i < plan->node_count; i++) {
        const int zone = i < plan->zone_count ? i : tw_fuzz_rng_range(rng, 0, plan->zone_count - 1);
        tw_fuzz_day_add(plan->day, "node tray-%d %s", i, tw_fuzz_zone_name(zone));
    }
}

void tw_fuzz_add_settings(tw_fuzz_plan *plan) {
    plan->election_time = plan->lease * ELECTION_PERCENT / 100;
    tw_fuzz_day_add(plan->day, "set lease %s", tw_fuzz_format_seconds(plan->lease).text);
    tw_fuzz_day_add(plan->day, "set heartbeat %s", tw_fuzz_format_seconds(plan->heartbeat).text);
    tw_fuzz_day_add(plan->day, "set cancel %s", tw_fuzz_format_seconds(plan->cancel).text);
}

/* Leases are short, so that a day on which one expires is short. The heartbeat interval and the
 * cancellation limit are multiples of the lease. */
void tw_fuzz_draw_leases(tw_fuzz_plan *plan) {
    tw_fuzz_rng *rng = &plan->rng;
    plan->lease = 10 * TW_FUZZ_SECOND;
    plan->heartbeat = plan->lease * HEARTBEAT_PERCENT / 100;
    plan->cancel = plan->lease * 3;
    if (!tw_fuzz_rng_percent(rng, DEFAULT_SETTINGS)) {
        plan->lease = TW_FUZZ_ONE_OF(rng, 7, 8, 10, 12) * TW_FUZZ_SECOND;
        plan->heartbeat = plan->lease * TW_FUZZ_ONE_OF(rng, 10, 15, 20, 20) / 100;
        plan->cancel = plan->lease * TW_FUZZ_ONE_OF(rng, 140, 180, 200, 300) / 100;
    }
    tw_fuzz_add_settings(plan);
}

static void draw_limits(tw_fuzz_plan *plan) {
    tw_fuzz_rng *rng = &plan->rng;
    plan->boot_time = TW_FUZZ_ONE_OF(rng, 1, 2, 5, 20) * TW_FUZZ_SECOND;
    tw_fuzz_day_add(plan->day, "set boot %s", tw_fuzz_format_seconds(plan->boot_time).text);
    if (tw_fuzz_rng_percent(rng, WRITE_LIMITS))
        tw_fuzz_day_add(plan->day, "set write_rps %d", TW_FUZZ_ONE_OF(rng, 8, 15, 30));
}

static void draw_machine_types(tw_fuzz_plan *plan) {
    static const char *const names[TW_FUZZ_TYPES_MAX] = {"cpu", "g8", "g4"};
    static const int gpus[TW_FUZZ_TYPES_MAX] = {0, 8, 4}, prices[TW_FUZZ_TYPES_MAX] = {1, 10, 6};
    tw_fuzz_rng *rng = &plan->rng;
    plan->type_count = TW_FUZZ_ONE_OF(rng, 1, 2, 2, 2, 3);
    for (int i = 0; i < plan->type_count; i++) {
        tw_fuzz_machine_type *type = &plan->types[i];
        type->name = names[i];
        type->gpus = gpus[i];
        type->cores = i ? 32 : TW_FUZZ_ONE_OF(rng, 8, 16, 16);
        const int capacity = tw_fuzz_rng_range(rng, i ? 2 : 3, i ? 4 : 10);
        /* The boot time given in the line may exceed the actual boot time, but must not be less:
         * otherwise every machine would be up later than announced. */
        const int announced_boot_s = TW_FUZZ_ONE_OF(rng, 2, 5, 20, 20);
        const int actual_boot_s = plan->boot_time / TW_FUZZ_SECOND;
        const int nominal_boot_s =
            announced_boot_s > actual_boot_s ? announced_boot_s : actual_boot_s;
        tw_fuzz_day_add(plan->day,
                        "machine_type %s cores=%d gpus=%d mem=%d cap=%d price=%d boot=%d fetch=%d",
                        type->name, type->cores, type->gpus, 4 * type->cores, capacity, prices[i],
                        nominal_boot_s, TW_FUZZ_ONE_OF(rng, 1, 1, 4));
    }
}

static void draw_teams(tw_fuzz_plan *plan) {
    tw_fuzz_rng *rng = &plan->rng;
    plan->team_count = TW_FUZZ_ONE_OF(rng, 1, 1, 2, 3);
    for (int i = 0; i < plan->team_count; i++) {
        if (!tw_fuzz_rng_percent(rng, LIMITED_TEAMS)) {
            tw_fuzz_day_add(plan->day, "team crew-%d", i);
            continue;
        }
        const int cpus_max = TW_FUZZ_ONE_OF(rng, 8, 12, 24, 40);
        const int gpus_max = TW_FUZZ_ONE_OF(rng, 2, 4, 6, 10);
        const int share = TW_FUZZ_ONE_OF(rng, 0, 2, 4);
        tw_fuzz_day_add(plan->day, "team crew-%d cpus=%d cpus_max=%d gpus=%d gpus_max=%d", i,
                        cpus_max * share / 4, cpus_max, gpus_max * share / 4, gpus_max);
    }
}

static void draw_machines(tw_fuzz_plan *plan) {
    tw_fuzz_rng *rng = &plan->rng;
    plan->machine_count = TW_FUZZ_ONE_OF(rng, 0, 1, 2, 2, 3, 4, 6);
    for (int i = 0; i < plan->machine_count; i++) {
        const tw_fuzz_machine_type *type =
            &plan->types[tw_fuzz_rng_range(rng, 0, plan->type_count - 1)];
        tw_fuzz_day_add(plan->day, "machine %s %s%s", type->name, tw_fuzz_draw_zone(plan),
                        tw_fuzz_rng_percent(rng, SPOT_MACHINES) ? " spot" : "");
    }
}

void tw_fuzz_draw_fleet(tw_fuzz_plan *plan) {
    draw_nodes(plan);
    draw_teams(plan);
    tw_fuzz_draw_leases(plan);
    draw_limits(plan);
    draw_machine_types(plan);
    if (tw_fuzz_rng_percent(&plan->rng, OBJECTIVES))
        tw_fuzz_day_add(plan->day, "objective wait lane-0 %d", TW_FUZZ_ONE_OF(&plan->rng, 5, 12));
    draw_machines(plan);
}
