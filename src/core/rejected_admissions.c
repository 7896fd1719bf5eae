/* Submissions that are turned away since their records could not be written in time. They are
 * expected again: machines are rented for them meanwhile. */
#include "core/jobs.h"

/* Most memory that they take, as a share of all. */
#define MEMORY_SHARE 0.05
/* Of each, beside its struct: hash entry, allocations. */
#define OVERHEAD_BYTES 100
#define BYTES_PER_MIB (1024 * 1024)

void tw_admission_reject(tw_core *core, uint64_t conn, const char *id, double retry_s,
                         const char *why) {
    tw_log_debug("event=submission_rejected id=%s why=\"%s\"", id, why);
    tw_reply_error(core, conn, TW_HTTP_UNAVAILABLE, retry_s, why);
}

double tw_write_backlog_s(tw_core *core) {
    int queued = 0;
    tw_job *job;
    DL_FOREACH2(core->pending_writes, job, write_next)
    queued += job->write_urgent || !job->record_exists;
    double have = tw_rate_limiter_available(core, &core->write_limiter);
    return queued > have ? (queued - have) / core->write_limiter.rate : 0;
}

static unsigned most_turned_away(const tw_core *core) {
    return (unsigned)(MEMORY_SHARE * core->config->mem_mb * BYTES_PER_MIB /
                      (sizeof(tw_rejected_admission) + OVERHEAD_BYTES));
}

void tw_rejected_admission_drop(tw_core *core, tw_rejected_admission *turned_away_job) {
    HASH_DEL(core->rejected_admissions, turned_away_job);
    tw_wire_job_free(&turned_away_job->job.spec);
    free(turned_away_job->job.spec_text);
    free(turned_away_job);
}

void tw_rejected_admission_note(tw_core *core, tw_wire_job *spec, double retry_s) {
    tw_rejected_admission *turned_away_job;
    HASH_FIND_STR(core->rejected_admissions, spec->id, turned_away_job);
    if (!turned_away_job) {
        if (HASH_COUNT(core->rejected_admissions) >= most_turned_away(core)) {
            tw_log_debug("event=rejected_submission_dropped id=%s capacity=%u", spec->id,
                         HASH_COUNT(core->rejected_admissions));
            return;
        }
        turned_away_job = tw_alloc(sizeof *turned_away_job);
        snprintf(turned_away_job->id, sizeof turned_away_job->id, "%s", spec->id);
        snprintf(turned_away_job->job.id, sizeof turned_away_job->job.id, "%s", spec->id);
        turned_away_job->job.submitted_at = turned_away_job->job.pending_since = core->now;
        tw_job_set_spec(core, &turned_away_job->job, spec);
        HASH_ADD_STR(core->rejected_admissions, id, turned_away_job);
    }
    turned_away_job->until = core->now + retry_s + core->config->lease_s;
}
