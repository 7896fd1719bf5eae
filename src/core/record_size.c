/* How long the text of a job's record can become, so that no more tasks are placed at once than one
 * value of the state service has room for.
 *
 * Beside the job as submitted, the text names each task that may run (index, attempt, machine) and
 * the ranges of tasks that are done. Tasks are placed in the order of their indices. Below the
 * highest task that was ever placed, therefore, no more tasks are not done than may run at once:
 * with n running tasks there are at most n + 1 ranges. */
#include "core/core_int.h"

/* Everything but the job, the done ranges and the running tasks, with all numbers at their longest:
 * {"s":0,"j":,"c":100000,"t":1764665749.1234567,"n":18446744073709551615,"f":"","l":""} */
#define FRAME_BYTES 96
/* Separators in the text of a running task, "index:attempt:machine,", and of a range of done ones,
 * "first-last,". */
#define TASK_SEPARATORS 3
#define RANGE_SEPARATORS 2
/* A job may always run so many tasks. */
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

/* Length of the job's contents as they stand in its record. */
static size_t spec_bytes(tw_job *job) {
    if (job->spec_bytes || !job->has_spec) return job->spec_bytes;
    if (!job->spec_text)
        job->spec_text = tw_wire_job_text(&job->spec); /* the record's text needs it, too */
    job->spec_bytes = strlen(job->spec_text);
    return job->spec_bytes;
}

int tw_record_max_running(const tw_core *core, tw_job *job) {
    /* A gang runs as a whole: its record is chunked where it is too long for one value. */
    if (job->spec.gang && tw_cluster_all_peers_support_chunks(core->cluster))
        return job->task_count;
    const int index = count_digits((uint64_t)job->task_count);
    const int attempt = count_digits(job->next_attempt + (uint64_t)job->task_count);
    const double task = index + attempt + (double)core->longest_machine_name + TASK_SEPARATORS;
    const double range = 2 * index + RANGE_SEPARATORS;
    const double single = index + 1; /* a range of one task */
    const double room =
        (double)tw_store_value_size(core->store) - FRAME_BYTES - (double)spec_bytes(job);
    /* n running tasks take n * task bytes. The others, if all are done, take n + 1 ranges or, where
     * that is less, a range of one task each. Both sums grow with n. */
    const double by_ranges = (room - range) / (task + range);
    const double by_tasks = (room - job->task_count * single) / (task - single);
    const double most = floor(fmax(by_ranges, by_tasks));
    if (most < MIN_RUNNING) return MIN_RUNNING;
    return (int)fmin(most, job->task_count);
}
