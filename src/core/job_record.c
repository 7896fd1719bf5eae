/* The text of a job's record, as it is now. */
#include "core/core_int.h"

/* The tasks that may run; the caller frees them. */
static tw_wire_live *live_tasks(const job *job, int *count) {
    const placement *task;
    *count = 0;
    DL_FOREACH2(job->live, task, jnext)++ *count;
    tw_wire_live *tasks = tw_zalloc((size_t)*count * sizeof *tasks);
    tw_wire_live *at = tasks;
    DL_FOREACH2(job->live, task, jnext) {
        at->index = task->index;
        at->attempt = task->attempt;
        snprintf(at->tray, sizeof at->tray, "%s", task->m->name);
        at++;
    }
    return tasks;
}

char *tw_job_record(job *job) {
    tw_wire_record record = {.stage = job->stage,
                             .pieces = job->pieces,
                             .ndone = job->ndone,
                             .submitted = job->submitted_wall,
                             .next_try = job->next_try};
    record.live = live_tasks(job, &record.nlive);
    /* While something may run, a successor needs the job's amounts for the team's limit. */
    if (job->has_spec && (job->stage == TW_STAGE_PENDING || record.nlive)) {
        if (!job->spec_text) job->spec_text = tw_wire_job_text(&job->s);
        record.has_job = 1;
        record.job_text = job->spec_text;
    }
    if (job->stage == TW_STAGE_PENDING)
        record.done_ranges = tw_ranges_text(job->st, job->pieces, T_DONE);
    char *text = tw_wire_record_text(&record);
    free(record.live);
    free(record.done_ranges);
    return text;
}
