/* Machines that fail what they start. Two errors of different jobs in a row make one suspect: it
 * gets nothing new, and goes back once it is empty. But jobs may be at fault, a fault may pass, and
 * services never end, so a suspect that is not empty is tried again, with one task at a time, after
 * pauses that grow. */
#include "core/core_int.h"

#define BLAME_FIRST 2     /* an error of a job that has not failed elsewhere */
#define BLAME_AGAIN 1     /* one that has failed on another machine: it may be the job's fault */
#define BLAME_MOST 4      /* suspect from here on */
#define LONGEST_PAUSE 8.0 /* between trials, in leases */

static void suspect(tw_core *c, tw_machine *m) {
    m->quarantine_s = m->on_probation ? 2 * m->quarantine_s : c->config->lease_s;
    m->quarantine_s = fmin(m->quarantine_s, LONGEST_PAUSE * c->config->lease_s);
    m->probation_at = c->now + m->quarantine_s;
    m->cordoned = 1;
    m->on_probation = 0;
    tw_log_info("event=machine_quarantined worker=%s quarantine_s=%.1f", m->name, m->quarantine_s);
}

/* A task of p's job failed; elsewhere: machines on which the job has failed before. */
void tw_quarantine_note_failure(tw_core *c, const tw_placement *p, int elsewhere) {
    tw_machine *m = p->machine;
    if (p->running_since > 0)
        m->longest_failed_run_s = fmax(m->longest_failed_run_s, c->now - p->running_since);
    m->failed_at = c->now;
    if (m->cordoned) return;
    if (m->on_probation) {
        suspect(c, m);
    } else if (strcmp(m->last_failed_job, p->job->id) != 0) {
        snprintf(m->last_failed_job, sizeof m->last_failed_job, "%s", p->job->id);
        m->failure_score += elsewhere ? BLAME_AGAIN : BLAME_FIRST;
        if (m->failure_score >= BLAME_MOST) suspect(c, m);
    }
}

void tw_quarantine_clear(tw_core *c, tw_machine *m) {
    m->failure_score = 0;
    *m->last_failed_job = 0;
    m->longest_failed_run_s = 0;
    if (m->on_probation) {
        tw_log_info("event=machine_recovered worker=%s", m->name);
        m->on_probation = 0;
        c->scheduling_due = 1;
    }
}

/* A task that was started after the last error and has run for longer than those that failed shows
 * that the machine works. Services never end, so an end is not waited for. */
void tw_quarantine_note_running(tw_core *c, const tw_placement *p) {
    tw_machine *m = p->machine;
    if (!m->failure_score || m->cordoned || p->running_since <= m->failed_at) return;
    if (c->now - p->running_since > c->config->report_s + 2 * m->longest_failed_run_s)
        tw_quarantine_clear(c, m);
}

/* Lets a suspect be tried again when its pause is over. */
void tw_quarantine_tick(tw_core *c, tw_machine *m) {
    if (!m->cordoned || m->probation_at <= 0 || c->now < m->probation_at) return;
    m->cordoned = 0;
    m->on_probation = 1;
    c->scheduling_due = 1;
    tw_log_info("event=machine_probation_started worker=%s", m->name);
}

/* A machine on trial gets one task, and no other until that one has run for a while. */
int tw_quarantine_allows(const tw_machine *m) {
    const tw_placement *p;
    if (!m->on_probation) return 1;
    DL_FOREACH(m->placements, p) if (p->counted && p->placed_at >= m->probation_at) return 0;
    return 1;
}
