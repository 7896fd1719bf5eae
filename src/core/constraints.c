/* What a task may use: machine types, zones and kinds of machines that its job allows, its team's
 * limit, and what work without GPUs leaves to that with GPUs. */
#include "core/scheduler_int.h"

int tw_zone_allows(const tw_core *core, const job *job, const char *zone) {
    (void)core;
    if (*job->s.zone && strcmp(job->s.zone, zone) != 0) return 0;
    if (!job->s.single_zone && !job->s.spread) return 1;
    const int max = (job->pieces + 1) / 2;
    int here = 0;
    const placement *placed;
    DL_FOREACH2(job->live, placed, jnext) {
        const int unknown = !*placed->m->yard; /* may be any zone */
        const int same = unknown || !strcmp(placed->m->yard, zone);
        if (job->s.single_zone && (unknown || !same)) return 0;
        here += same;
    }
    return !job->s.spread || here < max;
}

int tw_quota_allows(const tw_core *core, const job *job, int tasks) {
    if (job->team < 0) return 0;
    const tw_conf_team *team = &core->cf->teams[job->team];
    return (team->cpus_max <= 0 ||
            core->team_c[job->team] + tasks * job->s.cores <= team->cpus_max + TW_ROUNDING) &&
           (team->gpus_max <= 0 ||
            core->team_g[job->team] + tasks * job->s.gpus <= team->gpus_max + TW_ROUNDING);
}

/* Cores that a GPU's user takes along with it, at the most; the same for memory. */
void tw_per_gpu_note(tw_core *core) {
    core->gpu_cores = core->gpu_mem = 0;
    for (const lane *class = core->lanes; class; class = class->hh.next) {
        const tw_wire_job *sample = &class->sample;
        if (!class->has_sample || sample->gpus <= 0) continue;
        core->gpu_cores = fmax(core->gpu_cores, sample->cores / sample->gpus);
        core->gpu_mem = fmax(core->gpu_mem, sample->memory_gb / sample->gpus);
    }
}

int tw_leaves_gpus(const tw_core *core, const machine *machine, const job *job, int tasks) {
    const tw_wire_job *spec = &job->s;
    const tw_wire_machine_type *type = &core->flavors[machine->rack].f;
    if (spec->gpus > 0 || type->gpus <= 0 || job->any_machine) return 1;
    const double free_gpus = type->gpus - machine->used_g;
    double cores = core->gpu_cores;
    double memory_gb = core->gpu_mem;
    if (cores <= 0) {
        cores = type->cores / type->gpus;
        memory_gb = type->memory_gb / type->gpus;
    }
    return type->cores - machine->used_c - tasks * spec->cores + TW_ROUNDING >= free_gpus * cores &&
           type->memory_gb - machine->used_m - tasks * spec->memory_gb + TW_ROUNDING >=
               free_gpus * memory_gb;
}

/* Zones that the job's next task may go to, as bits: the same for all machines. */
static uint32_t zones_of(const tw_core *core, const job *job) {
    uint32_t zones = 0;
    for (int zone = 0; zone < core->nyards; zone++)
        if (tw_zone_allows(core, job, core->yards[zone])) zones |= 1U << zone;
    return zones;
}

tw_demand tw_demand_of(const tw_core *core, job *job) {
    return (tw_demand){.job = job,
                       .due = tw_job_due(core, job),
                       .start_due = tw_job_start_due(job),
                       .estimate_s = tw_estimate(job),
                       .zones = zones_of(core, job)};
}

int tw_constraints_zone(const tw_core *core, const tw_demand *demand, const machine *machine) {
    if (machine->zone >= 0) return !!(demand->zones & (1U << machine->zone));
    return tw_zone_allows(core, demand->job, machine->yard);
}

int tw_constraints_machine(const tw_core *core, const job *job, const machine *machine) {
    if (!(job->rackmask & (1U << machine->rack)) || (machine->loaner && !job->s.spot)) return 0;
    if (!tw_sick_allows(machine) || tw_gang_has_left(job, machine)) return 0;
    if (!tw_gang_hold_allows(core, job, machine)) return 0;
    for (int i = 0; i < job->nbad; i++)
        if (job->bad[i] == machine && core->now < job->bad_until) return 0;
    return 1;
}
