/* The jobs of a simulated fleet and their records in the state service. */
#include "fleet_int.h"
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define DECIMAL 10
#define MAX_PAGE_RECORDS 1000 /* number per page, whatever limit is requested */
#define SUBMITTED_AT 1e9      /* wall-clock seconds */
#define LONG_RUN_S 36000
#define IMAGE_GB 0.1
#define WAITING_CORE_COUNTS 7 /* distinct sizes of waiting jobs; none fits beside 8 tasks */

void *tw_bench_alloc(size_t size) {
    void *memory = calloc(1, size ? size : 1);
    if (!memory) abort();
    return memory;
}

void tw_bench_job_id(char *id, size_t size, int job) { snprintf(id, size, "run-%08d", job); }

void tw_bench_machine_name(char *name, size_t size, int machine) {
    snprintf(name, size, "n-%06d", machine + 1);
}

/* ---- jobs and the placement of their tasks ---- */

static int running_tasks(const tw_bench_load *load) { return load->machines * load->tasks; }

/* Returns the number of tasks of a running job: limited by the number of machines, so that no two
 * tasks of a job run on the same machine. */
static int tasks_per_job(const tw_bench_load *load) {
    return load->machines < TW_BENCH_TASKS_PER_JOB ? load->machines : TW_BENCH_TASKS_PER_JOB;
}

static int running_jobs(const tw_bench_load *load) {
    if (!running_tasks(load)) return 0;
    return (running_tasks(load) + tasks_per_job(load) - 1) / tasks_per_job(load);
}

int tw_bench_recorded_jobs(const tw_bench_load *load) {
    return load->completed + running_jobs(load) + load->waiting;
}

void tw_bench_initial_task(const tw_bench_load *load, int machine, int k, tw_bench_task *task) {
    int slot = k * load->machines + machine;
    tw_bench_job_id(task->job, sizeof task->job, load->completed + slot / tasks_per_job(load));
    task->index = slot % tasks_per_job(load);
    task->attempt = 1;
    task->done = false;
}

/* ---- records ---- */

static tw_wire_job make_job(int job, int task_count, double cores) {
    tw_wire_job spec = {.priority = TW_PRIORITY_NORMAL,
                        .task_count = task_count,
                        .cores = cores,
                        .memory_gb = 1,
                        .image_gb = IMAGE_GB,
                        .machine_type_count = -1,
                        .expected_run_s = LONG_RUN_S,
                        .deadline_s = -1};
    tw_bench_job_id(spec.id, sizeof spec.id, job);
    snprintf(spec.job_class, sizeof spec.job_class, "batch");
    snprintf(spec.team, sizeof spec.team, "team-%d", job % 4);
    snprintf(spec.image, sizeof spec.image, "image-%02d", job % 8);
    return spec;
}

static char *completed_record(void) {
    tw_wire_record record = {.state = TW_JOB_DONE,
                             .task_count = TW_BENCH_TASKS_PER_JOB,
                             .done_count = TW_BENCH_TASKS_PER_JOB,
                             .submitted_at = SUBMITTED_AT,
                             .next_attempt = 2};
    return tw_wire_record_text(&record);
}

static char *running_record(const tw_bench_load *load, int job) {
    const int first = (job - load->completed) * tasks_per_job(load);
    int task_count = running_tasks(load) - first;
    if (task_count > tasks_per_job(load)) task_count = tasks_per_job(load);
    tw_wire_assignment *assignments = tw_bench_alloc((size_t)task_count * sizeof *assignments);
    for (int i = 0; i < task_count; i++) {
        assignments[i].index = i;
        assignments[i].attempt = 1;
        tw_bench_machine_name(assignments[i].worker, sizeof assignments[i].worker,
                              (first + i) % load->machines);
    }
    tw_wire_record record = {.has_job = 1,
                             .job = make_job(job, task_count, 1),
                             .task_count = task_count,
                             .submitted_at = SUBMITTED_AT,
                             .next_attempt = 2,
                             .assignment_count = task_count,
                             .assignments = assignments};
    char *text = tw_wire_record_text(&record);
    free(assignments);
    return text;
}

static char *waiting_record(int job) {
    const double cores = TW_BENCH_MACHINE_CORES - job % WAITING_CORE_COUNTS;
    tw_wire_record record = {.has_job = 1,
                             .job = make_job(job, 1, cores),
                             .task_count = 1,
                             .submitted_at = SUBMITTED_AT,
                             .next_attempt = 1};
    return tw_wire_record_text(&record);
}

static char *make_record(const tw_bench_load *load, int job) {
    if (job < load->completed) return completed_record();
    if (job < load->completed + running_jobs(load)) return running_record(load, job);
    return waiting_record(job);
}

/* Returns the integer that follows `text` in a path, or the fallback if the path lacks the text. */
static int parse_number_after(const char *path, const char *text, int fallback) {
    const char *at = strstr(path, text);
    return at ? (int)strtol(at + strlen(text), NULL, DECIMAL) : fallback;
}

char *tw_bench_records_page(const tw_bench_load *load, const char *path, int *records, int *more) {
    int job = parse_number_after(path, "since=job/run-", -1) + 1;
    int limit = parse_number_after(path, "most=", MAX_PAGE_RECORDS);
    char *text = NULL;
    size_t size = 0;
    FILE *page = open_memstream(&text, &size);
    if (!page) abort();
    if (limit > MAX_PAGE_RECORDS) limit = MAX_PAGE_RECORDS;
    fputs("{\"entries\":[", page);
    for (*records = 0; *records < limit && job < tw_bench_recorded_jobs(load); job++) {
        char id[TW_WIRE_ID_SIZE];
        char *record = make_record(load, job);
        tw_bench_job_id(id, sizeof id, job);
        fprintf(page, "%s{\"k\":\"job/%s\",\"data\":%s,\"stamp\":%d}", *records ? "," : "", id,
                record, job + 1);
        free(record);
        ++*records;
    }
    *more = job < tw_bench_recorded_jobs(load);
    fprintf(page, "],\"more\":%s,\"ledger\":%d}", *more ? "true" : "false",
            tw_bench_recorded_jobs(load) + 1);
    fclose(page);
    return text;
}

char *tw_bench_submission_text(int job) {
    const tw_wire_job spec = make_job(job, 1, 1);
    char *text = NULL;
    size_t size = 0;
    FILE *body = open_memstream(&text, &size);
    if (!body) abort();
    fprintf(
        body,
        "{\"id\":\"%s\",\"lane\":\"%s\",\"crew\":\"%s\",\"shape\":\"batch\",\"rank\":\"normal\","
        "\"pieces\":1,\"cores\":1.0,\"gpus\":0.0,\"memoryGb\":1.0,\"bundle\":\"%s\","
        "\"imageGb\":%g,\"racks\":null,\"yard\":null,\"samePlace\":false,\"apart\":false,"
        "\"loaner\":false,\"expectS\":%d.0,\"snapshotS\":0.0,\"flushS\":0.0,\"dueS\":null}",
        spec.id, spec.job_class, spec.team, spec.image, IMAGE_GB, LONG_RUN_S);
    fclose(body);
    return text;
}
