/* How long the text of a job's record can become, so that no more tasks are placed at once than one
 * value of the state service has room for.
 *
 * Beside the job as submitted, the text names every live task (index, attempt, machine) and the
 * ranges of tasks that are done. Free tasks are placed lowest first, so below the highest task that
 * was ever placed at most as many are not done as may be live: of `live` tasks the ranges have at
 * most live + 1 parts. */
#include "core/core_int.h"

#define KB 1024
/* Part of a value that is kept free: white space, if the state service counts some of its own. */
#define SPARE_PART 16
/* Everything but the job, the done ranges and the live tasks, with all numbers at their longest:
 * {"s":0,"j":,"c":100000,"t":1764665749.1234567,"n":18446744073709551615,"f":"","l":""} */
#define FRAME_BYTES 96
/* "index:attempt:machine," beside the three of them; "first-last," beside the two of them. */
#define TASK_SIGNS 3
#define RANGE_SIGNS 2
/* The largest value that leaves room for its transaction's frame, of 64 KiB. */
#define MOST_VALUE_BYTES (56.0 * KB)
#define LEAST_LIVE 2
#define DECIMAL 10

size_t tw_record_value_size(const tw_core *core) {
    const double bytes = core->context.config->state_value_kb * KB;
    return (size_t)fmin(MOST_VALUE_BYTES, bytes - bytes / SPARE_PART);
}

static int digits(uint64_t number) {
    int count = 1;
    while (number >= DECIMAL) {
        number /= DECIMAL;
        count++;
    }
    return count;
}

/* Length of the job as it stands in its record. */
static size_t spec_bytes(tw_job *job) {
    if (job->spec_bytes || !job->has_spec) return job->spec_bytes;
    if (!job->spec_text)
        job->spec_text = tw_wire_job_text(&job->spec); /* its record needs it, too */
    job->spec_bytes = strlen(job->spec_text);
    return job->spec_bytes;
}

int tw_record_max_running(const tw_core *core, tw_job *job) {
    /* A gang runs whole: its record is divided where it must be. */
    if (job->spec.gang && tw_cluster_all_read_chunks(core->cluster)) return job->task_count;
    const int index = digits((uint64_t)job->task_count);
    const int attempt = digits(job->next_attempt + (uint64_t)job->task_count);
    const double task = index + attempt + (double)core->longest_machine_name + TASK_SIGNS;
    const double range = 2 * index + RANGE_SIGNS;
    const double single = index + 1; /* a range of one task */
    const double room = (double)tw_record_value_size(core) - FRAME_BYTES - (double)spec_bytes(job);
    /* Bytes of n live tasks: n * task, and of the others, all done, either n + 1 ranges or, where
     * that is less, one for each. Both grow with n. */
    const double by_ranges = (room - range) / (task + range);
    const double by_tasks = (room - job->task_count * single) / (task - single);
    const double most = floor(fmax(by_ranges, by_tasks));
    if (most < LEAST_LIVE) return LEAST_LIVE;
    return (int)fmin(most, job->task_count);
}
