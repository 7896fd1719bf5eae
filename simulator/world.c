/* The world around the controllers as a whole, and small helpers of its parts. */
#include "world.h"
#include <stdlib.h>
#include <string.h>

#define DEFAULT_REPORT_S 1.5
#define DEFAULT_LEASE_S 10
#define DEFAULT_CANCEL_S 30
#define DEFAULT_BOOT_S 5
#define DECIMAL 10

int tw_simulator_int(const char *text) { return (int)strtol(text, NULL, DECIMAL); }
double tw_simulator_number(const char *text) { return strtod(text, NULL); }

char *tw_simulator_text(const char *text) {
    char *copy = strdup(text);
    if (!copy) abort();
    return copy;
}

void *tw_simulator_zeroed(size_t size) {
    void *p = calloc(1, size);
    if (!p) abort();
    return p;
}

void *tw_simulator_grow(void *items, int n, int *cap, size_t size) {
    if (n < *cap) return items;
    *cap = *cap ? 2 * *cap : 8;
    items = realloc(items, (size_t)*cap * size);
    if (!items) abort();
    return items;
}

const char *tw_simulator_json_text(const cJSON *object, const char *field) {
    const cJSON *v = cJSON_GetObjectItemCaseSensitive(object, field);
    return cJSON_IsString(v) ? v->valuestring : "";
}

double tw_simulator_json_number(const cJSON *object, const char *field) {
    const cJSON *v = cJSON_GetObjectItemCaseSensitive(object, field);
    return cJSON_IsNumber(v) ? v->valuedouble : 0;
}

char *tw_simulator_json_print(cJSON *object) {
    char *text = cJSON_PrintUnformatted(object);
    if (!text) abort();
    cJSON_Delete(object);
    return text;
}

void tw_simulator_world_init(tw_simulator_world *w) {
    memset(w, 0, sizeof *w);
    tw_simulator_state_init(&w->state);
    w->seed = 1;
    w->report_s = DEFAULT_REPORT_S;
    w->lease_s = DEFAULT_LEASE_S;
    w->cancel_s = DEFAULT_CANCEL_S;
    w->boot_s = DEFAULT_BOOT_S;
}

void tw_simulator_world_free(tw_simulator_world *w) {
    tw_simulator_state_free(&w->state);
    tw_simulator_draws_free(w);
    for (int i = 0; i < w->nrentals; i++) free(w->rentals[i].answer);
    free(w->rentals);
    for (int i = 0; i < w->nworkers; i++) {
        free(w->workers[i]->tasks);
        free(w->workers[i]);
    }
    free(w->workers);
    HASH_CLEAR(hh, w->jobs_by_id);
    for (int i = 0; i < w->njobs; i++) {
        tw_wire_job_free(&w->jobs[i]->spec);
        free(w->jobs[i]->done);
        free(w->jobs[i]->saved);
        free(w->jobs[i]->gangs);
        free(w->jobs[i]);
    }
    free(w->jobs);
}

tw_simulator_job *tw_simulator_job_find(const tw_simulator_world *w, const char *id) {
    tw_simulator_job *job;
    HASH_FIND_STR(w->jobs_by_id, id, job);
    return job;
}

tw_simulator_job *tw_simulator_job_new(tw_simulator_world *w, const char *id) {
    tw_simulator_job *job = tw_simulator_zeroed(sizeof *job);
    strncpy(job->spec.id, id, sizeof job->spec.id - 1);
    job->spec.machine_type_count = -1;
    job->index = w->njobs;
    w->jobs = tw_simulator_grow(w->jobs, w->njobs, &w->jobs_cap, sizeof(tw_simulator_job *));
    w->jobs[w->njobs++] = job;
    HASH_ADD_STR(w->jobs_by_id, spec.id, job);
    return job;
}

int tw_simulator_job_running(const tw_simulator_world *w, const char *id) {
    return tw_simulator_job_in(w, id, TW_TASK_RUNNING);
}

int tw_simulator_job_in(const tw_simulator_world *w, const char *id, int stage) {
    int n = 0;
    for (int i = 0; i < w->nworkers; i++) {
        const tw_simulator_worker *x = w->workers[i];
        for (int k = 0; k < x->ntasks && !x->gone; k++)
            n += !strcmp(x->tasks[k].job_id, id) && x->tasks[k].stage == stage;
    }
    return n;
}
