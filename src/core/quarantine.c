/* Machines that fail what they start. Two errors of different jobs in a row make one suspect: it
 * gets nothing new, and goes back once it is empty. But jobs may be at fault, a fault may pass, and
 * services never end, so a suspect that is not empty is tried again, with one task at a time, after
 * pauses that grow. */
#include "core/core_int.h"
#include <stdbool.h>

#define BLAME_FIRST 2     /* an error of a job that has not failed elsewhere */
#define BLAME_AGAIN 1     /* one that has failed on another machine: it may be the job's fault */
#define BLAME_MOST 4      /* suspect from here on */
#define LONGEST_PAUSE 8.0 /* between trials, in leases */

static void quarantine_machine(tw_core *core, tw_machine *machine) {
    machine->quarantine_s =
        machine->on_probation ? 2 * machine->quarantine_s : core->context.config->lease_s;
    machine->quarantine_s =
        fmin(machine->quarantine_s, LONGEST_PAUSE * core->context.config->lease_s);
    machine->probation_at = core->context.now + machine->quarantine_s;
    machine->cordoned = true;
    machine->on_probation = false;
    tw_log_info("event=machine_quarantined worker=%s quarantine_s=%.1f", machine->name,
                machine->quarantine_s);
}

/* A task of p's job failed; elsewhere: machines on which the job has failed before. */
void tw_quarantine_note_failure(tw_core *core, const tw_placement *placed, int elsewhere) {
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
        machine->failure_score += elsewhere ? BLAME_AGAIN : BLAME_FIRST;
        if (machine->failure_score >= BLAME_MOST) quarantine_machine(core, machine);
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

/* A task that was started after the last error and has run for longer than those that failed shows
 * that the machine works. Services never end, so an end is not waited for. */
void tw_quarantine_note_running(tw_core *core, const tw_placement *placed) {
    tw_machine *machine = placed->machine;
    if (!machine->failure_score || machine->cordoned || placed->running_since <= machine->failed_at)
        return;
    if (core->context.now - placed->running_since >
        core->context.config->report_s + 2 * machine->longest_failed_run_s)
        tw_quarantine_clear(core, machine);
}

/* Lets a suspect be tried again when its pause is over. */
void tw_quarantine_tick(tw_core *core, tw_machine *machine) {
    if (!machine->cordoned || machine->probation_at <= 0 ||
        core->context.now < machine->probation_at)
        return;
    machine->cordoned = false;
    machine->on_probation = true;
    core->scheduling_due = true;
    tw_log_info("event=machine_probation_started worker=%s", machine->name);
}

/* A machine on trial gets one task, and no other until that one has run for a while. */
bool tw_quarantine_allows(const tw_machine *machine) {
    const tw_placement *placed;
    if (!machine->on_probation) return true;
    DL_FOREACH(machine->placements, placed) {
        if (placed->counted && placed->placed_at >= machine->probation_at) return false;
    }
    return true;
}
