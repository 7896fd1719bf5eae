/* Creates and stops placements, and accounts for the resources that they use of their machines and
 * of their teams' limits. See placement.h for the invariants. */
#include "core/workers.h"
#include <stdbool.h>

void tw_placement_account(tw_core *core, tw_placement *placed, double sign) {
    const tw_wire_job *spec = &placed->job->spec;
    tw_machine *machine = placed->machine;
    machine->used_cores += sign * spec->cores;
    machine->used_gpus += sign * spec->gpus;
    machine->used_memory_gb += sign * spec->memory_gb;
    if (placed->preempted) {
        machine->vacating_cores += sign * spec->cores;
        machine->vacating_gpus += sign * spec->gpus;
        machine->vacating_memory_gb += sign * spec->memory_gb;
    } else if (placed->job->has_spec) {
        machine->used_by_priority[spec->priority].cores += sign * spec->cores;
        machine->used_by_priority[spec->priority].gpus += sign * spec->gpus;
        machine->used_by_priority[spec->priority].memory_gb += sign * spec->memory_gb;
    }
    if (placed->job->team >= 0) {
        core->team_cores_used[placed->job->team] += sign * spec->cores;
        core->team_gpus_used[placed->job->team] += sign * spec->gpus;
    }
}

tw_placement *tw_placement_new(tw_core *core, tw_job *job, int index, tw_machine *machine,
                               uint64_t attempt) {
    if (job->task_states[index] != TW_ASSIGNMENT_NONE) {
        tw_invariant_broken(core, TW_INVARIANT_PLACED_TWICE, "task=%s/%d attempt=%llu worker=%s",
                            job->id, index, (unsigned long long)attempt, machine->name);
        return NULL;
    }
    tw_placement *placed = tw_alloc(sizeof *placed);
    placed->job = job;
    placed->machine = machine;
    placed->index = index;
    placed->attempt = attempt;
    placed->version = tw_store_next_version(job->record);
    placed->placed_at = core->context.now;
    const tw_image *image = tw_image_find(machine, job);
    placed->concurrent_fetches = tw_image_count_fetches(core, machine, image);
    if (image) placed->image_state = image->ready_at <= 0 ? TW_IMAGE_CACHED : TW_IMAGE_FETCHING;
    placed->counted = true;
    DL_APPEND2(job->placements, placed, job_prev, job_next);
    job->placed_in_zone[tw_machine_zone_class(machine)]++;
    DL_APPEND(machine->placements, placed);
    job->task_states[index] = TW_ASSIGNMENT_PLACED;
    job->placed_count++;
    core->machine_reach_version++;
    job->placement_refs++;
    if (attempt >= job->next_attempt) job->next_attempt = attempt + 1;
    tw_placement_account(core, placed, 1);
    machine->idle_since = 0;
    return placed;
}

void tw_placement_stop(tw_core *core, tw_placement *placed, double grace_s, bool preempted) {
    if (!placed->counted) return;
    if (placed->job->spec.gang) {
        /* A gang saves a checkpoint only if all its machines can be sent the stop now. */
        if (grace_s > 0 && !tw_gang_can_save(core, placed->job)) grace_s = 0;
        tw_gang_stop(core, placed->job, grace_s);
    }
    if (!placed->launch_sent && !placed->direct_launches) {
        tw_attempt_terminate_on(core, placed, TW_EVIDENCE_NOT_LAUNCHED);
        return;
    }
    if (!placed->stopping) placed->stopped_at = core->context.now;
    placed->stopping = true;
    placed->grace_s = grace_s;
    if (preempted && !placed->preempted) {
        tw_placement_account(core, placed, -1);
        placed->preempted = true;
        tw_placement_account(core, placed, 1);
    }
    tw_machine_request_commands(core, placed->machine);
}
