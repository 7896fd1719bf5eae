/* Placements: what may run on a machine, and the amounts that this takes of it and of its team's
 * limit. A task that may run somewhere counts as running there until a newer report, its machine's
 * return or a lapsed lease says otherwise. */
#include "core/fleet.h"

/* Adds (sign 1) or takes off (-1) what the task holds. */
void tw_placement_account(tw_core *core, placement *placed, double sign) {
    const tw_wire_job *s = &placed->job->s;
    machine *machine = placed->m;
    machine->used_c += sign * s->cores;
    machine->used_g += sign * s->gpus;
    machine->used_m += sign * s->memory_gb;
    if (placed->preempted) {
        machine->kill_c += sign * s->cores;
        machine->kill_g += sign * s->gpus;
        machine->kill_m += sign * s->memory_gb;
    } else if (placed->job->has_spec) {
        machine->held[s->priority].c += sign * s->cores;
        machine->held[s->priority].g += sign * s->gpus;
        machine->held[s->priority].m += sign * s->memory_gb;
    }
    if (placed->job->team >= 0) {
        core->team_c[placed->job->team] += sign * s->cores;
        core->team_g[placed->job->team] += sign * s->gpus;
    }
}

/* The caller marks the job changed. */
placement *tw_place(tw_core *core, job *job, int index, machine *machine, uint64_t attempt) {
    if (job->st[index] != T_FREE) {
        tw_invariant_broken(core, INVARIANT_PLACED_TWICE, "piece=%s/%d try=%llu tray=%s", job->id,
                            index, (unsigned long long)attempt, machine->name);
        return NULL;
    }
    placement *placed = tw_zalloc(sizeof *placed);
    placed->job = job;
    placed->m = machine;
    placed->index = index;
    placed->attempt = attempt;
    placed->ver = job->ver + 1;
    placed->made_at = core->now;
    const image *image = tw_image(machine, job);
    placed->sharing = tw_images_fetching(core, machine, image);
    if (image) placed->warmth = image->ready_at <= 0 ? 1 : -1;
    placed->on_job = 1;
    DL_APPEND2(job->live, placed, jprev, jnext);
    DL_APPEND(machine->pls, placed);
    job->st[index] = T_LIVE;
    job->nlive++;
    job->nplacements++;
    if (attempt >= job->next_try) job->next_try = attempt + 1;
    tw_placement_account(core, placed, 1);
    machine->idle_since = 0;
    return placed;
}

void tw_placement_kill(tw_core *core, placement *placed, double grace_s, int preempted) {
    if (!placed->on_job) return;
    if (placed->job->s.gang) {
        /* Before anything changes: whether all of it can be told. */
        if (grace_s > 0 && !tw_gang_can_save(core, placed->job)) grace_s = 0;
        tw_gang_stop(core, placed->job, grace_s);
    }
    if (!placed->sent && !placed->direct) {
        tw_attempt_end_on(core, placed, END_NOT_LAUNCHED);
        return;
    }
    if (!placed->kill) placed->kill_at = core->now;
    placed->kill = 1;
    placed->mercy_s = grace_s;
    if (preempted && !placed->preempted) {
        tw_placement_account(core, placed, -1);
        placed->preempted = 1;
        tw_placement_account(core, placed, 1);
    }
    tw_want_direct(core, placed->m);
}
