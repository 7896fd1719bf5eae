/* The fleet of a day: nodes and zones, settings, racks, teams and the machines that are up. */
#include "plan.h"

/* Shares in percent. */
enum { USUAL_SETTINGS = 40, TIGHT_TEAMS = 50, WRITE_LIMITS = 12, OBJECTIVES = 20, SPOT = 25 };
/* Percent of a worker's lease: how long the leader's key lives by the settings; the time between
 * reports. */
enum { ELECTION_PERCENT = 12, USUAL_REPORT = 15 };

static void draw_nodes(tw_fuzz_plan *plan) {
    tw_fuzz_dice *dice = &plan->dice;
    static const int zone_weights[] = {3, 11, 6};
    plan->nodes = TW_FUZZ_ONE_OF(dice, 3, 3, 3, 3, 3, 3, 4, 4, 4, 5);
    plan->zones = 1 + (int)tw_fuzz_dice_weighted(dice, zone_weights, TW_FUZZ_ZONES_MAX);
    for (int i = 0; i < plan->nodes; i++) {
        const int zone = i < plan->zones ? i : tw_fuzz_dice_range(dice, 0, plan->zones - 1);
        tw_fuzz_day_add(plan->day, "node tray-%d %s", i, tw_fuzz_zone(zone));
    }
}

void tw_fuzz_settings(tw_fuzz_plan *plan) {
    plan->term = plan->lease * ELECTION_PERCENT / 100;
    tw_fuzz_day_add(plan->day, "set lease %s", tw_fuzz_seconds_of(plan->lease).text);
    tw_fuzz_day_add(plan->day, "set heartbeat %s", tw_fuzz_seconds_of(plan->report).text);
    tw_fuzz_day_add(plan->day, "set cancel %s", tw_fuzz_seconds_of(plan->cancel).text);
}

/* Leases are short, so that a day in which one lapses is short; the rest are ratios of them. */
void tw_fuzz_draw_leases(tw_fuzz_plan *plan) {
    tw_fuzz_dice *dice = &plan->dice;
    plan->lease = 10 * TW_FUZZ_SECOND;
    plan->report = plan->lease * USUAL_REPORT / 100;
    plan->cancel = plan->lease * 3;
    if (!tw_fuzz_dice_percent(dice, USUAL_SETTINGS)) {
        plan->lease = TW_FUZZ_ONE_OF(dice, 7, 8, 10, 12) * TW_FUZZ_SECOND;
        plan->report = plan->lease * TW_FUZZ_ONE_OF(dice, 10, 15, 20, 20) / 100;
        plan->cancel = plan->lease * TW_FUZZ_ONE_OF(dice, 140, 180, 200, 300) / 100;
    }
    tw_fuzz_settings(plan);
}

static void draw_limits(tw_fuzz_plan *plan) {
    tw_fuzz_dice *dice = &plan->dice;
    plan->boot = TW_FUZZ_ONE_OF(dice, 1, 2, 5, 20) * TW_FUZZ_SECOND;
    tw_fuzz_day_add(plan->day, "set boot %s", tw_fuzz_seconds_of(plan->boot).text);
    if (tw_fuzz_dice_percent(dice, WRITE_LIMITS))
        tw_fuzz_day_add(plan->day, "set write_rps %d", TW_FUZZ_ONE_OF(dice, 8, 15, 30));
}

static void draw_racks(tw_fuzz_plan *plan) {
    static const char *const labels[TW_FUZZ_RACKS_MAX] = {"cpu", "g8", "g4"};
    static const int gpus[TW_FUZZ_RACKS_MAX] = {0, 8, 4}, prices[TW_FUZZ_RACKS_MAX] = {1, 10, 6};
    tw_fuzz_dice *dice = &plan->dice;
    plan->racks = TW_FUZZ_ONE_OF(dice, 1, 2, 2, 2, 3);
    for (int i = 0; i < plan->racks; i++) {
        tw_fuzz_rack *rack = &plan->rack[i];
        rack->label = labels[i];
        rack->gpus = gpus[i];
        rack->cores = i ? 32 : TW_FUZZ_ONE_OF(dice, 8, 16, 16);
        const int capacity = tw_fuzz_dice_range(dice, i ? 2 : 3, i ? 4 : 10);
        /* Machines may be up sooner than told, but not all of them much later. */
        const int told_boot_s = TW_FUZZ_ONE_OF(dice, 2, 5, 20, 20);
        const int real_boot_s = plan->boot / TW_FUZZ_SECOND;
        const int nominal_boot_s = told_boot_s > real_boot_s ? told_boot_s : real_boot_s;
        tw_fuzz_day_add(plan->day,
                        "machine_type %s cores=%d gpus=%d mem=%d cap=%d price=%d boot=%d fetch=%d",
                        rack->label, rack->cores, rack->gpus, 4 * rack->cores, capacity, prices[i],
                        nominal_boot_s, TW_FUZZ_ONE_OF(dice, 1, 1, 4));
    }
}

static void draw_teams(tw_fuzz_plan *plan) {
    tw_fuzz_dice *dice = &plan->dice;
    plan->teams = TW_FUZZ_ONE_OF(dice, 1, 1, 2, 3);
    for (int i = 0; i < plan->teams; i++) {
        if (!tw_fuzz_dice_percent(dice, TIGHT_TEAMS)) {
            tw_fuzz_day_add(plan->day, "team crew-%d", i);
            continue;
        }
        const int cpus_max = TW_FUZZ_ONE_OF(dice, 8, 12, 24, 40);
        const int gpus_max = TW_FUZZ_ONE_OF(dice, 2, 4, 6, 10);
        const int share = TW_FUZZ_ONE_OF(dice, 0, 2, 4);
        tw_fuzz_day_add(plan->day, "team crew-%d cpus=%d cpus_max=%d gpus=%d gpus_max=%d", i,
                        cpus_max * share / 4, cpus_max, gpus_max * share / 4, gpus_max);
    }
}

static void draw_machines(tw_fuzz_plan *plan) {
    tw_fuzz_dice *dice = &plan->dice;
    plan->machines = TW_FUZZ_ONE_OF(dice, 0, 1, 2, 2, 3, 4, 6);
    for (int i = 0; i < plan->machines; i++) {
        const tw_fuzz_rack *rack = &plan->rack[tw_fuzz_dice_range(dice, 0, plan->racks - 1)];
        tw_fuzz_day_add(plan->day, "machine %s %s%s", rack->label, tw_fuzz_any_zone(plan),
                        tw_fuzz_dice_percent(dice, SPOT) ? " spot" : "");
    }
}

void tw_fuzz_draw_fleet(tw_fuzz_plan *plan) {
    draw_nodes(plan);
    draw_teams(plan);
    tw_fuzz_draw_leases(plan);
    draw_limits(plan);
    draw_racks(plan);
    if (tw_fuzz_dice_percent(&plan->dice, OBJECTIVES))
        tw_fuzz_day_add(plan->day, "objective wait lane-0 %d", TW_FUZZ_ONE_OF(&plan->dice, 5, 12));
    draw_machines(plan);
}
