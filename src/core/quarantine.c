/* Quarantine of machines on which tasks fail.
 *
 * Two consecutive errors of different jobs put a machine into quarantine: it gets no new tasks and
 * is returned once it is empty. However, the jobs may be the cause, a fault may be temporary, and
 * services never end. A machine that is not empty at the end of the quarantine is therefore put on
 * probation and gets one task at a time; the duration of the quarantine doubles each time. Called
 * by the reconciliation of tasks and the upkeep of machines. */
#include "core/core_int.h"
#include <stdbool.h>

/* Failure score of an error of a job that has not failed on other machines, and of a job that has
 * failed on other machines, so that the job itself may be the cause. */
#define FIRST_ERROR_SCORE 2
#define REPEATED_ERROR_SCORE 1
/* Failure score from which a machine is quarantined. */
#define QUARANTINE_SCORE 4
/* Maximum duration of a quarantine, in leases. */
#define MAX_QUARANTINE_LEASES 8.0

static void quarantine_machine(tw_core *core, tw_machine *machine) {
    machine->quarantine_s =
        machine->on_probation ? 2 * machine->quarantine_s : core->context.config->lease_s;
    machine->quarantine_s =
        fmin(machine->quarantine_s, MAX_QUARANTINE_LEASES * core->context.config->lease_s);
    machine->probation_at = core->context.now + machine->quarantine_s;
    machine->cordoned = true;
    machine->on_probation = false;
    tw_log_info("event=machine_quarantined worker=%s quarantine_s=%.1f", machine->name,
                machine->quarantine_s);
}

void tw_quarantine_note_failure(tw_core *core, const tw_placement *placed, int failed_elsewhere) {
    tw_machine *machine = placed->machine;
    if (placed->running_since > 0)
        machine->longest_failed_run_s =
            fmax(machine->longest_failed_run_s, core->context.now - placed->running_since);
    machine->failed_at = core->context.now;
    if (machine->cordoned) return;
    if (machine->on_probation) {
        quarantine_machine(core, machine);
    } else if (strcmp(machine->last_failed_job, placed->job->id) != 0) {
        snprintf(machine->last_failed_job, sizeof machine->last_failed_job, "%s", placed->job->id);
        machine->failure_score += failed_elsewhere ? REPEATED_ERROR_SCORE : FIRST_ERROR_SCORE;
        if (machine->failure_score >= QUARANTINE_SCORE) quarantine_machine(core, machine);
    }
}

void tw_quarantine_clear(tw_core *core, tw_machine *machine) {
    machine->failure_score = 0;
    *machine->last_failed_job = 0;
    machine->longest_failed_run_s = 0;
    if (machine->on_probation) {
        tw_log_info("event=machine_recovered worker=%s", machine->name);
        machine->on_probation = false;
        core->scheduling_due = true;
    }
}

/* Only a task that started after the last error and has run for longer than the tasks that failed
 * shows that the machine works. The machine is cleared before the task ends, since services never
 * end. */
void tw_quarantine_note_running(tw_core *core, const tw_placement *placed) {
    tw_machine *machine = placed->machine;
    if (!machine->failure_score || machine->cordoned || placed->running_since <= machine->failed_at)
        return;
    if (core->context.now - placed->running_since >
        core->context.config->report_s + 2 * machine->longest_failed_run_s)
        tw_quarantine_clear(core, machine);
}

void tw_quarantine_tick(tw_core *core, tw_machine *machine) {
    if (!machine->cordoned || machine->probation_at <= 0 ||
        core->context.now < machine->probation_at)
        return;
    machine->cordoned = false;
    machine->on_probation = true;
    core->scheduling_due = true;
    tw_log_info("event=machine_probation_started worker=%s", machine->name);
}

/* A machine on probation gets one task, and no other until that task has run long enough to clear
 * the machine. */
bool tw_quarantine_allows(const tw_machine *machine) {
    const tw_placement *placed;
    if (!machine->on_probation) return true;
    DL_FOREACH(machine->placements, placed) {
        if (placed->counted && placed->placed_at >= machine->probation_at) return false;
    }
    return true;
}
