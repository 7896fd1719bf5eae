/* Submissions that are turned away since their records could not be written in time. They are
 * expected again: machines are rented for them meanwhile. */
#include "core/jobs.h"

/* Most memory that they take, as a share of all. */
#define MEMORY_SHARE 0.05
/* Of each, beside its struct: hash entry, allocations. */
#define OVERHEAD_BYTES 100
#define BYTES_PER_MIB (1024 * 1024)

void tw_turn_away(tw_core *core, uint64_t conn, const char *id, double retry_s, const char *why) {
    tw_log_debug("event=turned_away id=%s why=\"%s\"", id, why);
    tw_reply_error(core, conn, TW_HTTP_UNAVAILABLE, retry_s, why);
}

double tw_write_backlog_s(tw_core *core) {
    int queued = 0;
    job *job;
    DL_FOREACH2(core->dirty, job, wnext) queued += job->urgent || !job->created;
    double have = tw_peek(core, &core->writes);
    return queued > have ? (queued - have) / core->writes.rate : 0;
}

static unsigned most_turned_away(const tw_core *core) {
    return (unsigned)(MEMORY_SHARE * core->cf->mem_mb * BYTES_PER_MIB /
                      (sizeof(turned_away_job) + OVERHEAD_BYTES));
}

void tw_turned_away_drop(tw_core *core, turned_away_job *turned_away_job) {
    HASH_DEL(core->turned_away, turned_away_job);
    tw_wire_job_free(&turned_away_job->j.s);
    free(turned_away_job->j.spec_text);
    free(turned_away_job);
}

void tw_turned_away_note(tw_core *core, tw_wire_job *spec, double retry_s) {
    turned_away_job *turned_away_job;
    HASH_FIND_STR(core->turned_away, spec->id, turned_away_job);
    if (!turned_away_job) {
        if (HASH_COUNT(core->turned_away) >= most_turned_away(core)) {
            tw_log_debug("event=wish_dropped id=%s of=%u", spec->id, HASH_COUNT(core->turned_away));
            return;
        }
        turned_away_job = tw_zalloc(sizeof *turned_away_job);
        snprintf(turned_away_job->id, sizeof turned_away_job->id, "%s", spec->id);
        snprintf(turned_away_job->j.id, sizeof turned_away_job->j.id, "%s", spec->id);
        turned_away_job->j.submitted = turned_away_job->j.pending_since = core->now;
        tw_job_spec(core, &turned_away_job->j, spec);
        HASH_ADD_STR(core->turned_away, id, turned_away_job);
    }
    turned_away_job->until = core->now + retry_s + core->cf->lease_s;
}
