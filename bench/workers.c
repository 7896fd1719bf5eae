/* The workers of a simulated fleet: their heartbeats and the execution of commands. */
#include "fleet_int.h"
#include <cjson/cJSON.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* A slot for each core of a machine and some to spare, so that task lists don't grow while the heap
 * is measured. */
#define INITIAL_TASK_CAPACITY (TW_BENCH_MACHINE_CORES + 8)
#define DECIMAL 10

void tw_bench_workers_init(tw_bench_fleet *fleet) {
    const tw_bench_load *load = &fleet->load;
    fleet->workers = tw_bench_alloc((size_t)load->machines * sizeof *fleet->workers);
    for (int i = 0; i < load->machines; i++) {
        tw_bench_worker *worker = &fleet->workers[i];
        worker->zone = load->follower || i % 2 == 0 ? 'a' : 'b';
        worker->task_count = load->tasks;
        worker->task_capacity =
            load->tasks > INITIAL_TASK_CAPACITY ? load->tasks : INITIAL_TASK_CAPACITY;
        worker->tasks = tw_bench_alloc((size_t)worker->task_capacity * sizeof *worker->tasks);
        for (int k = 0; k < load->tasks; k++) tw_bench_initial_task(load, i, k, &worker->tasks[k]);
    }
}

void tw_bench_workers_free(tw_bench_fleet *fleet) {
    for (int i = 0; i < fleet->load.machines; i++) free(fleet->workers[i].tasks);
    free(fleet->workers);
}

static void print_task(FILE *out, const tw_bench_task *task) {
    fprintf(out, "{\"piece\":\"%s/%d\",\"try\":%llu,\"stage\":\"%s\"%s}", task->job, task->index,
            (unsigned long long)task->attempt, task->done ? "exited" : "running",
            task->done ? ",\"cause\":\"done\"" : "");
}

char *tw_bench_worker_heartbeat(tw_bench_fleet *fleet, int machine) {
    tw_bench_worker *worker = &fleet->workers[machine];
    char name[TW_WIRE_NAME_SIZE];
    char *text = NULL;
    size_t size = 0;
    FILE *out = open_memstream(&text, &size);
    if (!out) abort();
    tw_bench_machine_name(name, sizeof name, machine);
    fprintf(out,
            "{\"tray\":\"%s\",\"endpoint\":\"%s:9000\",\"rack\":\"c96\",\"yard\":\"%c\","
            "\"loaner\":false,\"shift\":1,\"tick\":%llu,\"baton\":%llu,\"warningS\":null,"
            "\"pieces\":[",
            name, name, worker->zone, (unsigned long long)++worker->sequence,
            (unsigned long long)worker->fencing_token);
    for (int k = 0; k < worker->task_count; k++) {
        if (k) fputc(',', out);
        print_task(out, &worker->tasks[k]);
    }
    fputs("]}", out);
    fclose(out);
    return text;
}

/* ---- commands ---- */

static const char *string_field(const cJSON *object, const char *field) {
    const cJSON *value = cJSON_GetObjectItemCaseSensitive(object, field);
    return cJSON_IsString(value) ? value->valuestring : "";
}

static uint64_t number_field(const cJSON *object, const char *field) {
    const cJSON *value = cJSON_GetObjectItemCaseSensitive(object, field);
    return cJSON_IsNumber(value) ? (uint64_t)value->valuedouble : 0;
}

static int find_task(const tw_bench_worker *worker, const tw_bench_task *wanted) {
    int k = 0;
    while (k < worker->task_count && (worker->tasks[k].attempt != wanted->attempt ||
                                      worker->tasks[k].index != wanted->index ||
                                      strcmp(worker->tasks[k].job, wanted->job) != 0))
        k++;
    return k;
}

static void add_task(tw_bench_worker *worker, const tw_bench_task *task) {
    if (worker->task_count == worker->task_capacity) {
        worker->task_capacity *= 2;
        worker->tasks =
            realloc(worker->tasks, (size_t)worker->task_capacity * sizeof *worker->tasks);
        if (!worker->tasks) abort();
    }
    worker->tasks[worker->task_count++] = *task;
}

/* Executes a command without delay: a launched task runs, a stopped or forgotten one is removed. */
static void execute_command(tw_bench_worker *worker, const cJSON *command) {
    const char *name = string_field(command, "piece");
    const char *slash = strchr(name, '/');
    tw_bench_task wanted = {.attempt = number_field(command, "try")};
    if (!slash || (size_t)(slash - name) >= sizeof wanted.job) return;
    memcpy(wanted.job, name, (size_t)(slash - name));
    wanted.index = (int)strtol(slash + 1, NULL, DECIMAL);
    int k = find_task(worker, &wanted);
    if (!strcmp(string_field(command, "verb"), "launch")) {
        if (k == worker->task_count) add_task(worker, &wanted);
    } else if (k < worker->task_count) {
        worker->tasks[k] = worker->tasks[--worker->task_count];
    }
}

void tw_bench_worker_execute(tw_bench_fleet *fleet, int machine, const char *body) {
    tw_bench_worker *worker = &fleet->workers[machine];
    cJSON *answer = cJSON_Parse(body);
    const cJSON *command;
    uint64_t fencing_token = number_field(answer, "baton");
    if (fencing_token > worker->fencing_token) worker->fencing_token = fencing_token;
    cJSON_ArrayForEach(command, cJSON_GetObjectItemCaseSensitive(answer, "orders")) {
        execute_command(worker, command);
    }
    cJSON_Delete(answer);
}

void tw_bench_fleet_complete_task(tw_bench_fleet *fleet, int machine) {
    tw_bench_worker *worker = &fleet->workers[machine];
    int k = 0;
    while (k < worker->task_count && worker->tasks[k].done) k++;
    if (k < worker->task_count) worker->tasks[k].done = true;
}

int tw_bench_fleet_running_tasks(const tw_bench_fleet *fleet) {
    int running = 0;
    for (int i = 0; i < fleet->load.machines; i++)
        for (int k = 0; k < fleet->workers[i].task_count; k++)
            running += !fleet->workers[i].tasks[k].done;
    return running;
}
