/* The text of a job's record, as it is now. */
#include "core/core_int.h"

/* The tasks that may run; the caller frees them. */
static tw_wire_assignment *live_tasks(const tw_job *job, int *count) {
    const tw_placement *task;
    *count = 0;
    DL_FOREACH2(job->placements, task, job_next) { ++*count; }
    tw_wire_assignment *tasks = tw_alloc((size_t)*count * sizeof *tasks);
    tw_wire_assignment *at = tasks;
    DL_FOREACH2(job->placements, task, job_next) {
        at->index = task->index;
        at->attempt = task->attempt;
        snprintf(at->worker, sizeof at->worker, "%s", task->machine->name);
        at++;
    }
    return tasks;
}

char *tw_job_record_text(tw_job *job) {
    tw_wire_record record = {.state = job->state,
                             .task_count = job->task_count,
                             .done_count = job->done_count,
                             .submitted_at = job->submitted_wall_s,
                             .next_attempt = job->next_attempt};
    record.assignments = live_tasks(job, &record.assignment_count);
    /* While something may run, a successor needs the job's amounts for the team's limit. */
    if (job->has_spec && (job->state == TW_JOB_PENDING || record.assignment_count)) {
        if (!job->spec_text) job->spec_text = tw_wire_job_text(&job->spec);
        record.has_job = 1;
        record.job_text = job->spec_text;
    }
    if (job->state == TW_JOB_PENDING)
        record.done_ranges =
            tw_task_ranges_text(job->task_states, job->task_count, TW_ASSIGNMENT_DONE);
    char *text = tw_wire_record_text(&record);
    free(record.assignments);
    free(record.done_ranges);
    return text;
}
