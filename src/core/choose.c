/* Which machine a task takes: of those with room that meet the deadline the slowest, else the one
 * with the least overshoot (GoodServe, section 3.4). Among machines alike, spot ones come before
 * others, then the image counts, then the fullest. */
#include "core/scheduler_int.h"

#define SLOWNESS_STEP 1.4   /* machines within a step count as equally slow */
#define LEAST_SLOWNESS 0.05 /* what is below counts as that */
#define OF_SLOWNESS 1000    /* points: for each step of slowness of a batch task's machine */
#define OF_FETCH 1500       /* for each step that a fetch adds to its run */
#define OF_SPOT 100
#define OF_IMAGE 20        /* cached; for a batch task also on its way */
#define OF_IMAGE_COMING 10 /* for a service */
#define OF_FREE_ZONE 30    /* a service, for all of the zone free */
#define OF_LONG_FETCH 30   /* a service, for a fetch as long as its start objective */
#define OF_FULLNESS 10

/* In steps, rounded. */
static double slowness_step(const tw_core *core, const machine *machine) {
    const double slowness = fmax(tw_slowness(core, machine), LEAST_SLOWNESS);
    return floor(log(slowness) / log(SLOWNESS_STEP) + 0.5);
}

void tw_choose_begin(tw_core *core) {
    machine *machine;
    struct machine *next;
    core->nzones = 0;
    HASH_ITER(hh, core->machines, machine, next) {
        if (!tw_machine_usable(core, machine) || machine->loaner) continue;
        int zone = 0;
        while (zone < core->nzones && strcmp(core->zones[zone].yard, machine->yard) != 0) zone++;
        if (zone == TW_MAX_ZONES) continue;
        if (zone == core->nzones) {
            memset(&core->zones[zone], 0, sizeof core->zones[zone]);
            snprintf(core->zones[core->nzones++].yard, TW_NAME, "%s", machine->yard);
        }
        core->zones[zone].cores += core->flavors[machine->rack].f.cores;
        core->zones[zone].gpus += core->flavors[machine->rack].f.gpus;
        core->zones[zone].used_c += machine->used_c;
        core->zones[zone].used_g += machine->used_g;
    }
}

/* The free share of a zone: what may go anywhere leaves the fuller zone to what must go there. */
static double zone_free(const tw_core *core, const job *job, const machine *machine) {
    for (int zone = 0; zone < core->nzones; zone++) {
        if (strcmp(core->zones[zone].yard, machine->yard) != 0) continue;
        if (job->s.gpus > 0)
            return core->zones[zone].gpus > 0
                       ? 1 - core->zones[zone].used_g / core->zones[zone].gpus
                       : 0;
        return core->zones[zone].cores > 0 ? 1 - core->zones[zone].used_c / core->zones[zone].cores
                                           : 0;
    }
    return 0;
}

/* How full the machine would be, of what is scarce for the task. */
static double fullness(const tw_core *core, const job *job, const machine *machine) {
    const tw_wire_flavor *type = &core->flavors[machine->rack].f;
    if (job->s.gpus > 0) return (machine->used_g + job->s.gpus) / type->gpus;
    return type->gpus > 0 ? 1 : (machine->used_c + job->s.cores) / type->cores;
}

static double service_preference(const tw_core *core, const job *job, const machine *machine,
                                 const tw_prediction *prediction) {
    double points = 0;
    if (prediction->image) points += prediction->image->ready_at <= 0 ? OF_IMAGE : OF_IMAGE_COMING;
    points += OF_FREE_ZONE * zone_free(core, job, machine);
    /* In time or not, a replica is down while its image comes: no zone is worth a long fetch. */
    if (job->lane && job->lane->within_s > 0)
        points -= OF_LONG_FETCH * fmin(1, prediction->fetch_s / job->lane->within_s);
    return points + OF_FULLNESS * fullness(core, job, machine);
}

static double batch_preference(const tw_core *core, const tw_demand *demand, const machine *machine,
                               const tw_prediction *prediction) {
    /* The slowest that is just enough. A slow machine leaves the fast ones to others; a fetch
     * leaves nobody anything: what it adds to the run counts against the machine, in the same
     * steps. */
    double points = OF_SLOWNESS * slowness_step(core, machine);
    points -=
        OF_FETCH * log(1 + prediction->fetch_s / fmax(demand->estimate_s, 1)) / log(SLOWNESS_STEP);
    if (machine->loaner) points += OF_SPOT;
    if (prediction->image) points += OF_IMAGE;
    return points + OF_FULLNESS * fullness(core, demand->job, machine);
}

/* Among machines that meet the deadline, larger is taken. */
static double preference(const tw_core *core, const tw_demand *demand, const machine *machine,
                         const tw_prediction *prediction) {
    if (demand->job->s.service) return service_preference(core, demand->job, machine, prediction);
    return batch_preference(core, demand, machine, prediction);
}

tw_choice tw_choose(tw_core *core, const tw_demand *demand) {
    const job *job = demand->job;
    tw_choice choice = {0};
    double best = -INFINITY;
    machine *machine;
    struct machine *next;
    HASH_ITER(hh, core->machines, machine, next) {
        core->steps++;
        if (machine->rack < 0 || !tw_fits(machine, &core->flavors[machine->rack], &job->s) ||
            !tw_machine_usable(core, machine) || !tw_constraints_allow(core, demand, machine) ||
            !tw_leaves_gpus(core, machine, job))
            continue;
        if (!tw_reserve_allows(core, machine, job)) {
            choice.kept = 1;
            continue;
        }
        const tw_prediction prediction = tw_predict(core, demand, machine);
        const int meets = tw_predict_in_time(core, demand, &prediction);
        const double points =
            meets ? preference(core, demand, machine, &prediction) : -prediction.total_s;
        if (meets > choice.meets || (meets == choice.meets && points > best)) {
            choice.machine = machine;
            choice.meets = meets;
            best = points;
        }
    }
    return choice;
}
