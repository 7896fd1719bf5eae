/* Bounds the length of a job's record: limits the number of tasks that run at the same time so that
 * the record fits into one value of the state service.
 *
 * Besides the job as submitted, the text lists each task that may run (index, attempt, machine) and
 * the ranges of done tasks. Tasks are placed in the order of their indices. Therefore, below the
 * highest index that was ever placed, the number of tasks that are not done is at most the
 * number of tasks that may run: with n running tasks there are at most n + 1 ranges. */
#include "core/core_int.h"

/* Length of the record without the job, the done ranges and the running tasks, with all numbers at
 * their maximum length:
 * {"s":0,"j":,"c":100000,"t":1764665749.1234567,"n":18446744073709551615,"f":"","l":""} */
#define FRAME_BYTES 96
/* Number of separators in the text of a running task, "index:attempt:machine,", and of a range of
 * done tasks, "first-last,". */
#define TASK_SEPARATORS 3
#define RANGE_SEPARATORS 2
/* Minimum number of tasks that a job may run at the same time, whatever its record's length. */
#define MIN_RUNNING 2
#define DECIMAL 10

static int count_digits(uint64_t number) {
    int count = 1;
    while (number >= DECIMAL) {
        number /= DECIMAL;
        count++;
    }
    return count;
}

/* Returns the length of the job's specification as it is in its record. */
static size_t spec_bytes(tw_job *job) {
    if (job->spec_bytes || !job->has_spec) return job->spec_bytes;
    if (!job->spec_text)
        job->spec_text =
            tw_wire_job_text(&job->spec); /* kept, because the record's text needs it, too */
    job->spec_bytes = strlen(job->spec_text);
    return job->spec_bytes;
}

int tw_record_max_running(const tw_core *core, tw_job *job) {
    /* All tasks of a gang run at the same time: its record is chunked if it is too long for one
     * value. */
    if (job->spec.gang && tw_cluster_all_peers_support_chunks(core->cluster))
        return job->task_count;
    const int index_digits = count_digits((uint64_t)job->task_count);
    const int attempt_digits = count_digits(job->next_attempt + (uint64_t)job->task_count);
    const double task_bytes =
        index_digits + attempt_digits + (double)core->longest_machine_name_length + TASK_SEPARATORS;
    const double range_bytes = 2 * index_digits + RANGE_SEPARATORS;
    const double single_range_bytes = index_digits + 1; /* length of a done range with one task */
    const double available_bytes =
        (double)tw_store_value_size(core->store) - FRAME_BYTES - (double)spec_bytes(job);
    /* n running tasks need n * task bytes. If all other tasks are done, they need n + 1 ranges or,
     * if that is shorter, one range for each task. Both sums grow with n. */
    const double by_ranges = (available_bytes - range_bytes) / (task_bytes + range_bytes);
    const double by_tasks = (available_bytes - job->task_count * single_range_bytes) /
                            (task_bytes - single_range_bytes);
    const double max_running = floor(fmax(by_ranges, by_tasks));
    if (max_running < MIN_RUNNING) return MIN_RUNNING;
    return (int)fmin(max_running, job->task_count);
}
