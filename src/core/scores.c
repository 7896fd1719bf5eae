/* What each candidate is worth to a kind of task. In a pass many tasks are alike, and each
 * placement changes one machine only. So the candidates are scored once for a kind of task, and a
 * score is worked out again only if a task was placed on its machine since.
 *
 * Invariants: a table is right as long as room only gets less; whoever gives room back within a
 * pass calls tw_scores_forget. The tables' memory is used again by later passes, and tw_scores_free
 * frees it. A candidate on which the task doesn't fit is not in its table. */
#include "core/scheduler_int.h"
#include <stdbool.h>

#define INITIAL_CAPACITY 64
#define TABLES_MAX 8 /* kinds of tasks at once, since the teams are served in turn */

/* All that a score depends on, apart from the machine. */
typedef struct {
    tw_task_shape shape;
    double image_gb, estimate_s;
    uint32_t image_hash; /* compared before the names are */
    char image[TW_WIRE_NAME_SIZE];
    tw_wire_priority priority;
    bool service;
    const tw_job_class *job_class;
    const tw_job *exclusive_job; /* a job that shares its scores with no other; NULL: any job */
} task_kind;

struct tw_score_table {
    task_kind kind; /* that the scores are for */
    tw_score *items;
    int count, capacity;
};

/* The job itself if it can't share scores with others alike: it passes over machines on which it
 * has failed or was vacated, or machines are reserved for it. Else NULL. */
static const tw_job *job_with_own_scores(const tw_core *core, const tw_job *job) {
    return job->failed_machine_count || job->gang.vacated_count || job == core->reserving_gang
               ? job
               : NULL;
}

/* Whether the demand's task is of this kind. */
static bool kind_matches(const tw_core *core, const task_kind *known, const tw_demand *demand) {
    const tw_job *job = demand->job;
    const tw_wire_job *spec = &job->spec;
    const tw_task_shape shape = tw_task_shape_of(job);
    if (!tw_task_shapes_are_equal(&known->shape, &shape) || known->image_gb != spec->image_gb ||
        known->estimate_s != demand->estimate_s)
        return false;
    if (known->service != spec->service || known->job_class != job->job_class ||
        known->priority != job->spec.priority ||
        known->exclusive_job != job_with_own_scores(core, job))
        return false;
    return known->image_hash == job->image_hash && !strcmp(known->image, spec->image);
}

/* The kind of the demand's task. */
static task_kind kind_of_demand(const tw_core *core, const tw_demand *demand) {
    const tw_job *job = demand->job;
    task_kind result = {.shape = tw_task_shape_of(job),
                        .image_gb = job->spec.image_gb,
                        .estimate_s = demand->estimate_s,
                        .image_hash = job->image_hash,
                        .service = job->spec.service,
                        .priority = job->spec.priority,
                        .job_class = job->job_class,
                        .exclusive_job = job_with_own_scores(core, job)};
    snprintf(result.image, sizeof result.image, "%s", job->spec.image);
    return result;
}

/* Works out a score for the candidate as it is now. end_at, total_s and points are set only where
 * the task can go there. */
static void update_score(tw_core *core, const tw_demand *demand, tw_score *score) {
    const tw_candidate *candidate = &core->candidates[score->candidate];
    tw_machine *machine = candidate->machine;
    const tw_job *job = demand->job;
    score->changes = candidate->changes;
    score->fits =
        tw_machine_has_capacity(machine, &core->machine_types[machine->type_index], &job->spec) &&
        tw_constraints_allow_machine(core, job, machine);
    score->possible = score->fits && tw_constraints_leave_gpus(core, machine, job, 1);
    if (!score->possible) return;
    const tw_prediction prediction = tw_predict(core, demand, machine);
    score->end_at = tw_predict_end(core, demand, &prediction);
    score->total_s = prediction.total_s;
    score->points = tw_preference(core, demand, machine, &prediction);
}

tw_score *tw_scores_add(tw_core *core, tw_score_table *table, const tw_demand *demand,
                        int candidate) {
    table->items = tw_grow(table->items, table->count, &table->capacity, INITIAL_CAPACITY,
                           sizeof *table->items);
    tw_score *score = &table->items[table->count];
    *score = (tw_score){.candidate = candidate};
    update_score(core, demand, score);
    /* A machine on which the task doesn't fit won't have room for it later in this pass. But a
     * machine that keeps cores for its GPUs may take a task without GPUs once they are in use: it
     * stays. */
    if (!score->fits) return NULL;
    table->count++;
    return score->possible ? score : NULL;
}

/* A table to fill: an unused one, else the one that was begun longest ago. */
static tw_score_table *acquire_table(tw_core *core) {
    if (!core->score_tables) core->score_tables = tw_alloc(TABLES_MAX * sizeof *core->score_tables);
    if (core->score_table_count < TABLES_MAX) return &core->score_tables[core->score_table_count++];
    tw_score_table *table = &core->score_tables[core->next_score_table];
    core->next_score_table = (core->next_score_table + 1) % TABLES_MAX;
    return table;
}

tw_score_table *tw_scores_find(tw_core *core, const tw_demand *demand) {
    for (int i = 0; i < core->score_table_count; i++)
        if (kind_matches(core, &core->score_tables[i].kind, demand)) return &core->score_tables[i];
    return NULL;
}

tw_score_table *tw_scores_begin(tw_core *core, const tw_demand *demand) {
    tw_score_table *table = acquire_table(core);
    table->kind = kind_of_demand(core, demand);
    table->count = 0;
    return table;
}

int tw_scores_count(const tw_score_table *table) { return table->count; }

tw_score *tw_scores_get(tw_core *core, tw_score_table *table, const tw_demand *demand, int index) {
    tw_score *score = &table->items[index];
    if (score->changes != core->candidates[score->candidate].changes)
        update_score(core, demand, score);
    return score->possible ? score : NULL;
}

void tw_scores_forget(tw_core *core) {
    core->score_table_count = 0;
    core->next_score_table = 0;
}

void tw_scores_free(tw_core *core) {
    for (int i = 0; core->score_tables && i < TABLES_MAX; i++) free(core->score_tables[i].items);
    free(core->score_tables);
}
