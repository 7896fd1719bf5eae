/* Room that running batch tasks are expected to give back: whether it is worth waiting for, or a
 * machine is to be rented. Only room counts that the job may use: of a machine's type, zone and
 * kind that it allows, and as much on one machine as its task takes. */
#include "core/core_int.h"

#define LEAST_REST 0.1 /* of its run time: a task that is past its estimate ends soon */
#define START_S 1      /* until a task that does not run yet does */

static int by_time(const void *left, const void *right) {
    const tw_release *a = left, *b = right;
    return a->at < b->at ? -1 : a->at > b->at;
}

/* When a task is expected to end. */
static double end_of(const tw_core *core, const placement *placed) {
    const double slowness = placed->m->slowness > 0 ? placed->m->slowness : 1;
    const double run_s = tw_estimate(placed->job) * slowness;
    const double runs_from = placed->run_at > 0 ? placed->run_at : core->now + START_S;
    return fmax(runs_from + run_s, core->now + LEAST_REST * run_s);
}

/* What a task's end is expected to leave on its machine, beside what is free there already. */
static tw_release release_of(const tw_core *core, const placement *placed) {
    const machine *machine = placed->m;
    const tw_wire_job *spec = &placed->job->s;
    const tw_wire_machine_type *type = &core->flavors[machine->rack].f;
    return (tw_release){
        .at = end_of(core, placed),
        .room = {.rack = machine->rack,
                 .loaner = machine->loaner,
                 .yard = machine->yard,
                 .c = spec->cores + fmax(0, type->cores - machine->used_c),
                 .g = spec->gpus + fmax(0, type->gpus - machine->used_g),
                 .mem = spec->memory_gb + fmax(0, type->memory_gb - machine->used_m)}};
}

static int gives_back(const job *job) { return job->has_spec && !job->s.service; }

void tw_drain_init(tw_core *core, tw_drain *drain) {
    job *job;
    int capacity = 0;
    DL_FOREACH(core->active, job) if (gives_back(job)) capacity += job->nlive;
    drain->v = tw_zalloc((size_t)capacity * sizeof *drain->v);
    drain->n = 0;
    DL_FOREACH(core->active, job) {
        if (!gives_back(job)) continue;
        const placement *placed;
        DL_FOREACH2(job->live, placed, jnext) {
            if (!tw_machine_usable(core, placed->m)) continue;
            drain->v[drain->n++] = release_of(core, placed);
        }
    }
    qsort(drain->v, (size_t)drain->n, sizeof *drain->v, by_time);
}

double tw_drain_start(tw_core *core, tw_drain *drain, const job *job, int *from) {
    for (; *from < drain->n; ++*from) {
        tw_release *release = &drain->v[*from];
        core->steps++;
        if (!tw_bin_allowed(&release->room, &job->s, job->rackmask)) continue;
        if (!tw_bin_fits(&release->room, &job->s)) continue;
        /* What is given back beside GPUs that stay free is kept for them. */
        if (!tw_bin_leaves_gpus(core, &release->room, &job->s, job->any_machine)) continue;
        tw_bin_take(&release->room, &job->s);
        return fmax(core->now, release->at);
    }
    return INFINITY;
}

void tw_drain_free(tw_drain *drain) { free(drain->v); }
