/* The workers of a made-up fleet: what they report and how they carry out commands. */
#include "fleet_int.h"
#include <cjson/cJSON.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* Room for as many tasks as a machine has cores: not to grow while the heap is measured. */
#define CAPACITY (TW_BENCH_MACHINE_CORES + 8)
#define DECIMAL 10

void tw_bench_workers_init(tw_bench_fleet *fleet) {
    const tw_bench_load *load = &fleet->load;
    fleet->workers = tw_bench_alloc((size_t)load->machines * sizeof *fleet->workers);
    for (int i = 0; i < load->machines; i++) {
        tw_bench_worker *w = &fleet->workers[i];
        w->zone = load->follower || i % 2 == 0 ? 'a' : 'b';
        w->count = load->tasks;
        w->capacity = load->tasks > CAPACITY ? load->tasks : CAPACITY;
        w->tasks = tw_bench_alloc((size_t)w->capacity * sizeof *w->tasks);
        for (int k = 0; k < load->tasks; k++) tw_bench_task_at(load, i, k, &w->tasks[k]);
    }
}

void tw_bench_workers_free(tw_bench_fleet *fleet) {
    for (int i = 0; i < fleet->load.machines; i++) free(fleet->workers[i].tasks);
    free(fleet->workers);
}

static void print_task(FILE *out, const tw_bench_task *t) {
    fprintf(out, "{\"piece\":\"%s/%d\",\"try\":%llu,\"stage\":\"%s\"%s}", t->job, t->index,
            (unsigned long long)t->attempt, t->done ? "exited" : "running",
            t->done ? ",\"cause\":\"done\"" : "");
}

char *tw_bench_worker_report(tw_bench_fleet *fleet, int machine) {
    tw_bench_worker *w = &fleet->workers[machine];
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
            name, name, w->zone, (unsigned long long)++w->tick, (unsigned long long)w->token);
    for (int k = 0; k < w->count; k++) {
        if (k) fputc(',', out);
        print_task(out, &w->tasks[k]);
    }
    fputs("]}", out);
    fclose(out);
    return text;
}

/* ---- commands ---- */

static const char *text_of(const cJSON *object, const char *field) {
    const cJSON *value = cJSON_GetObjectItemCaseSensitive(object, field);
    return cJSON_IsString(value) ? value->valuestring : "";
}

static uint64_t number_of(const cJSON *object, const char *field) {
    const cJSON *value = cJSON_GetObjectItemCaseSensitive(object, field);
    return cJSON_IsNumber(value) ? (uint64_t)value->valuedouble : 0;
}

static int find(const tw_bench_worker *w, const tw_bench_task *wanted) {
    int k = 0;
    while (k < w->count &&
           (w->tasks[k].attempt != wanted->attempt || w->tasks[k].index != wanted->index ||
            strcmp(w->tasks[k].job, wanted->job) != 0))
        k++;
    return k;
}

static void add(tw_bench_worker *w, const tw_bench_task *t) {
    if (w->count == w->capacity) {
        w->capacity *= 2;
        w->tasks = realloc(w->tasks, (size_t)w->capacity * sizeof *w->tasks);
        if (!w->tasks) abort();
    }
    w->tasks[w->count++] = *t;
}

/* Tasks run as soon as they are launched, and are gone as soon as they are stopped. */
static void execute(tw_bench_worker *w, const cJSON *order) {
    const char *name = text_of(order, "piece");
    const char *slash = strchr(name, '/');
    tw_bench_task wanted = {.attempt = number_of(order, "try")};
    if (!slash || (size_t)(slash - name) >= sizeof wanted.job) return;
    memcpy(wanted.job, name, (size_t)(slash - name));
    wanted.index = (int)strtol(slash + 1, NULL, DECIMAL);
    int k = find(w, &wanted);
    if (!strcmp(text_of(order, "verb"), "launch")) {
        if (k == w->count) add(w, &wanted);
    } else if (k < w->count) {
        w->tasks[k] = w->tasks[--w->count];
    }
}

void tw_bench_worker_orders(tw_bench_fleet *fleet, int machine, const char *body) {
    tw_bench_worker *w = &fleet->workers[machine];
    cJSON *answer = cJSON_Parse(body);
    const cJSON *order;
    uint64_t token = number_of(answer, "baton");
    if (token > w->token) w->token = token;
    cJSON_ArrayForEach(order, cJSON_GetObjectItemCaseSensitive(answer, "orders")) {
        execute(w, order);
    }
    cJSON_Delete(answer);
}

void tw_bench_fleet_end_task(tw_bench_fleet *fleet, int machine) {
    tw_bench_worker *w = &fleet->workers[machine];
    int k = 0;
    while (k < w->count && w->tasks[k].done) k++;
    if (k < w->count) w->tasks[k].done = true;
}

int tw_bench_fleet_running(const tw_bench_fleet *fleet) {
    int running = 0;
    for (int i = 0; i < fleet->load.machines; i++)
        for (int k = 0; k < fleet->workers[i].count; k++)
            running += !fleet->workers[i].tasks[k].done;
    return running;
}
