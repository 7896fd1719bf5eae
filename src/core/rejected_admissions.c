/* Rejected admissions: submissions whose records could not be written in time. Since their users
 * retry them, machines are rented for them in the meantime (autoscaler_plan.c). Their memory is
 * bounded; at the limit, further submissions are rejected without being stored. */
#include "core/jobs.h"

/* Maximum share of the configured memory that rejected admissions may use. */
#define MEMORY_SHARE 0.05
/* Memory, in bytes, that a rejected admission needs in addition to its struct, for the hash entry
 * and for allocations. */
#define OVERHEAD_BYTES 100
#define BYTES_PER_MIB (1024 * 1024)

void tw_admission_reject(tw_core *core, uint64_t connection, const char *id, double retry_s,
                         const char *why) {
    tw_log_debug("event=submission_rejected id=%s why=\"%s\"", id, why);
    tw_reply_error(&core->context, connection, TW_HTTP_UNAVAILABLE, retry_s, why);
}

static unsigned max_rejected_admissions(const tw_core *core) {
    return (unsigned)(MEMORY_SHARE * core->context.config->mem_mb * BYTES_PER_MIB /
                      (sizeof(tw_rejected_admission) + OVERHEAD_BYTES));
}

void tw_rejected_admission_drop(tw_core *core, tw_rejected_admission *rejected) {
    HASH_DEL(core->rejected_admissions, rejected);
    tw_wire_job_free(&rejected->job.spec);
    free(rejected->job.spec_text);
    free(rejected);
}

void tw_rejected_admission_note(tw_core *core, tw_wire_job *spec, double retry_s) {
    tw_rejected_admission *rejected;
    HASH_FIND_STR(core->rejected_admissions, spec->id, rejected);
    if (!rejected) {
        if (HASH_COUNT(core->rejected_admissions) >= max_rejected_admissions(core)) {
            tw_log_debug("event=rejected_submission_dropped id=%s capacity=%u", spec->id,
                         HASH_COUNT(core->rejected_admissions));
            return;
        }
        rejected = tw_alloc(sizeof *rejected);
        snprintf(rejected->id, sizeof rejected->id, "%s", spec->id);
        snprintf(rejected->job.id, sizeof rejected->job.id, "%s", spec->id);
        rejected->job.submitted_at = rejected->job.pending_since = core->context.now;
        tw_job_set_spec(core, &rejected->job, spec);
        HASH_ADD_STR(core->rejected_admissions, id, rejected);
    }
    rejected->expires_at = core->context.now + retry_s + core->context.config->lease_s;
}
