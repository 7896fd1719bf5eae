/* What a pass need not try again. Within a pass room only gets less, but for what is said below. So
 * a kind of task that found none, by itself or by stopping others, is not tried on the whole fleet
 * again for the next of many jobs alike: while hundreds wait, this is most of a pass. */
#include "core/scheduler_int.h"

#define FIRST_CAPACITY 16

tw_futile tw_futile_kind(const tw_demand *demand) {
    const job *job = demand->job;
    return (tw_futile){.cores = job->s.cores,
                       .gpus = job->s.gpus,
                       .mem = job->s.memory_gb,
                       .racks = job->rackmask,
                       .zones = demand->zones,
                       .loaner = job->s.spot,
                       .rank = job->s.priority,
                       .service = job->s.service,
                       .any_machine = job->any_machine,
                       .whole = job->s.gang};
}

static int same_amounts(const tw_futile *one, const tw_futile *other) {
    return one->cores == other->cores && one->gpus == other->gpus && one->mem == other->mem;
}

static int same_machines(const tw_futile *one, const tw_futile *other) {
    return one->racks == other->racks && one->zones == other->zones &&
           one->loaner == other->loaner && one->any_machine == other->any_machine;
}

int tw_futile_known(const tw_core *core, const tw_futile *kind) {
    for (int i = 0; i < core->nfutile; i++) {
        const tw_futile *known = &core->futile[i];
        if (same_amounts(known, kind) && same_machines(known, kind) && known->rank == kind->rank &&
            known->service == kind->service && known->whole == kind->whole)
            return 1;
    }
    return 0;
}

void tw_futile_note(tw_core *core, const tw_futile *kind) {
    core->futile = tw_grow(core->futile, core->nfutile, &core->futile_cap, FIRST_CAPACITY,
                           sizeof *core->futile);
    core->futile[core->nfutile++] = *kind;
}

/* A task with GPUs was placed: what may be taken beside them need not be less now. */
void tw_futile_forget_without_gpus(tw_core *core) {
    int kept = 0;
    for (int i = 0; i < core->nfutile; i++)
        if (core->futile[i].gpus > 0) core->futile[kept++] = core->futile[i];
    core->nfutile = kept;
}

/* Room was given back. */
void tw_futile_forget(tw_core *core) { core->nfutile = 0; }
