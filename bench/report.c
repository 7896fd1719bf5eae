/* Prints results as a table, and writes and reads them as lines of JSON. */
#include "bench.h"
#include <cjson/cJSON.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define WIDTH 12

/* ---- table ---- */

static void print_figure(FILE *out, double figure) {
    if (isnan(figure))
        fprintf(out, " %*s", WIDTH, "-");
    else
        fprintf(out, " %*.2f", WIDTH, figure);
}

void tw_bench_print_table(FILE *out, const tw_bench_results *results) {
    fprintf(out, "%-10s %8s %5s %8s %-18s %12s %12s %12s %12s %12s\n", "case", "machines", "tasks",
            "jobs", "per", "time us", "steps", "allocations", "instructions", "bytes");
    for (int i = 0; i < results->count; i++) {
        const tw_bench_result *result = &results->items[i];
        fprintf(out, "%-10s %8d %5d %8d %-18s", result->name, result->machines, result->tasks,
                result->jobs, result->per);
        print_figure(out, result->time_us);
        print_figure(out, result->steps);
        print_figure(out, result->allocations);
        print_figure(out, result->instructions);
        print_figure(out, result->bytes);
        fputc('\n', out);
    }
}

/* ---- JSON lines ---- */

static void add_figure(cJSON *line, const char *name, double figure) {
    if (!isnan(figure)) cJSON_AddNumberToObject(line, name, figure);
}

void tw_bench_write_lines(FILE *out, const tw_bench_results *results) {
    for (int i = 0; i < results->count; i++) {
        const tw_bench_result *result = &results->items[i];
        cJSON *line = cJSON_CreateObject();
        cJSON_AddStringToObject(line, "case", result->name);
        cJSON_AddNumberToObject(line, "machines", result->machines);
        cJSON_AddNumberToObject(line, "tasks", result->tasks);
        cJSON_AddNumberToObject(line, "jobs", result->jobs);
        cJSON_AddStringToObject(line, "per", result->per);
        cJSON_AddNumberToObject(line, "count", result->count);
        add_figure(line, "time_us", result->time_us);
        add_figure(line, "steps", result->steps);
        add_figure(line, "allocations", result->allocations);
        add_figure(line, "instructions", result->instructions);
        add_figure(line, "bytes", result->bytes);
        char *text = cJSON_PrintUnformatted(line);
        if (!text) abort();
        fprintf(out, "%s\n", text);
        free(text);
        cJSON_Delete(line);
    }
}

/* Returns the number in a field, or NAN if it is missing. */
static double read_figure(const cJSON *line, const char *name) {
    const cJSON *value = cJSON_GetObjectItemCaseSensitive(line, name);
    return cJSON_IsNumber(value) ? value->valuedouble : NAN;
}

static int read_integer(const cJSON *line, const char *name, int *value_out) {
    const cJSON *value = cJSON_GetObjectItemCaseSensitive(line, name);
    if (!cJSON_IsNumber(value)) return -1;
    *value_out = value->valueint;
    return 0;
}

static int parse_line(const cJSON *line, tw_bench_result *result) {
    const cJSON *name = cJSON_GetObjectItemCaseSensitive(line, "case");
    const cJSON *per = cJSON_GetObjectItemCaseSensitive(line, "per");
    if (!cJSON_IsString(name) || !cJSON_IsString(per)) return -1;
    *result = tw_bench_result_init(name->valuestring, per->valuestring);
    if (read_integer(line, "machines", &result->machines) ||
        read_integer(line, "tasks", &result->tasks) || read_integer(line, "jobs", &result->jobs))
        return -1;
    result->count = read_figure(line, "count");
    result->time_us = read_figure(line, "time_us");
    result->steps = read_figure(line, "steps");
    result->allocations = read_figure(line, "allocations");
    result->instructions = read_figure(line, "instructions");
    result->bytes = read_figure(line, "bytes");
    return 0;
}

int tw_bench_read_lines(FILE *in, tw_bench_results *results, int *bad_line) {
    char *text = NULL;
    size_t size = 0;
    int failed = 0;
    for (*bad_line = 1; !failed && getline(&text, &size, in) >= 0; ++*bad_line) {
        tw_bench_result result;
        cJSON *line = cJSON_Parse(text);
        failed = parse_line(line, &result);
        cJSON_Delete(line);
        if (failed) break;
        tw_bench_results_add(results, &result);
    }
    free(text);
    return failed;
}
