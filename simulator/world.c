/* Creation and removal of the simulated environment, and helper functions of its parts. */
#include "world.h"
#include <stdlib.h>
#include <string.h>

#define DEFAULT_HEARTBEAT_S 1.5
#define DEFAULT_LEASE_S 10
#define DEFAULT_CANCEL_S 30
#define DEFAULT_BOOT_S 5
#define DECIMAL 10

int tw_simulator_parse_int(const char *text) { return (int)strtol(text, NULL, DECIMAL); }
double tw_simulator_parse_number(const char *text) { return strtod(text, NULL); }

char *tw_simulator_copy_text(const char *text) {
    char *copy = strdup(text);
    if (!copy) abort();
    return copy;
}

void *tw_simulator_allocate(size_t size) {
    void *memory = calloc(1, size);
    if (!memory) abort();
    return memory;
}

void *tw_simulator_grow(void *items, int count, int *capacity, size_t size) {
    if (count < *capacity) return items;
    *capacity = *capacity ? 2 * *capacity : 8;
    items = realloc(items, (size_t)*capacity * size);
    if (!items) abort();
    return items;
}

const char *tw_simulator_json_text(const cJSON *object, const char *field) {
    const cJSON *value = cJSON_GetObjectItemCaseSensitive(object, field);
    return cJSON_IsString(value) ? value->valuestring : "";
}

double tw_simulator_json_number(const cJSON *object, const char *field) {
    const cJSON *value = cJSON_GetObjectItemCaseSensitive(object, field);
    return cJSON_IsNumber(value) ? value->valuedouble : 0;
}

char *tw_simulator_json_print(cJSON *object) {
    char *text = cJSON_PrintUnformatted(object);
    if (!text) abort();
    cJSON_Delete(object);
    return text;
}

void tw_simulator_world_init(tw_simulator_world *world) {
    memset(world, 0, sizeof *world);
    tw_simulator_state_init(&world->state);
    world->seed = 1;
    world->heartbeat_s = DEFAULT_HEARTBEAT_S;
    world->lease_s = DEFAULT_LEASE_S;
    world->cancel_s = DEFAULT_CANCEL_S;
    world->boot_s = DEFAULT_BOOT_S;
}

void tw_simulator_world_free(tw_simulator_world *world) {
    tw_simulator_state_free(&world->state);
    tw_simulator_draws_free(world);
    for (int i = 0; i < world->rental_count; i++) free(world->rentals[i].answer);
    free(world->rentals);
    for (int i = 0; i < world->worker_count; i++) {
        free(world->workers[i]->tasks);
        free(world->workers[i]->launches);
        free(world->workers[i]);
    }
    free(world->workers);
    HASH_CLEAR(hh, world->jobs_by_id);
    for (int i = 0; i < world->job_count; i++) {
        tw_wire_job_free(&world->jobs[i]->spec);
        free(world->jobs[i]->done);
        free(world->jobs[i]->saved);
        free(world->jobs[i]->earlier_attempts);
        free(world->jobs[i]->gangs);
        free(world->jobs[i]->listed_counts);
        free(world->jobs[i]->positions);
        free(world->jobs[i]);
    }
    free(world->jobs);
}

tw_simulator_job *tw_simulator_job_find(const tw_simulator_world *world, const char *id) {
    tw_simulator_job *job;
    HASH_FIND_STR(world->jobs_by_id, id, job);
    return job;
}

tw_simulator_job *tw_simulator_job_new(tw_simulator_world *world, const char *id) {
    tw_simulator_job *job = tw_simulator_allocate(sizeof *job);
    strncpy(job->spec.id, id, sizeof job->spec.id - 1);
    job->spec.machine_type_count = -1;
    job->index = world->job_count;
    world->jobs = tw_simulator_grow(world->jobs, world->job_count, &world->job_capacity,
                                    sizeof(tw_simulator_job *));
    world->jobs[world->job_count++] = job;
    HASH_ADD_STR(world->jobs_by_id, spec.id, job);
    return job;
}

int tw_simulator_job_tasks_running(const tw_simulator_world *world, const char *id) {
    return tw_simulator_job_tasks_in_stage(world, id, TW_TASK_RUNNING);
}

int tw_simulator_job_tasks_in_stage(const tw_simulator_world *world, const char *id, int stage) {
    int count = 0;
    for (int i = 0; i < world->worker_count; i++) {
        const tw_simulator_worker *worker = world->workers[i];
        for (int k = 0; k < worker->task_count && !worker->removed; k++)
            count += !strcmp(worker->tasks[k].job_id, id) && worker->tasks[k].stage == stage;
    }
    return count;
}
