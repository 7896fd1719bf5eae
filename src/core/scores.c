/* Scores of the candidates for a kind of task. Many tasks of a pass are alike, and each
 * placement changes only one machine. So the candidates are scored once per kind of task, and
 * a score is recomputed only if a task was placed on its machine since.
 *
 * Invariants:
 *   - A table is correct only while free capacity decreases. Code that releases capacity
 *     during a pass calls tw_scores_clear.
 *   - A candidate on which the task does not fit is not in the table.
 *
 * Later passes reuse the memory of the tables; tw_scores_free frees it. */
#include "core/scheduler_int.h"
#include <stdbool.h>

#define INITIAL_CAPACITY 64
/* Maximum number of kinds of tasks with scores at the same time. Several are needed because the
 * teams are served in turn, so that the kinds alternate. */
#define TABLES_MAX 8

/* Everything that a score depends on besides the machine. */
typedef struct {
    tw_task_shape shape;
    double image_gb, estimate_s;
    uint32_t image_hash; /* compared before the names */
    char image[TW_WIRE_NAME_SIZE];
    tw_wire_priority priority;
    bool service;
    const tw_job_class *job_class;
    /* a job that shares its scores with no other job; NULL: the scores are valid for all jobs */
    const tw_job *exclusive_job;
} task_kind;

struct tw_score_table {
    task_kind kind; /* the kind of task that the scores are for */
    tw_score *items;
    int count, capacity;
};

/* Returns the job if it cannot share scores with similar jobs, otherwise NULL. It cannot if it
 * avoids machines on which it failed or from which its gang was removed, or if machines are
 * reserved for it. */
static const tw_job *job_with_own_scores(const tw_core *core, const tw_job *job) {
    return job->failed_machine_count || job->gang.vacated_machine_count ||
                   job == core->reserving_gang
               ? job
               : NULL;
}

/* Returns whether the demand's task is of the known kind. */
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

/* Returns the kind of the demand's task. */
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

/* Computes a score for the candidate's current state. Sets end_at, total_s and points only if
 * the task can be placed on the candidate. */
static void update_score(tw_core *core, const tw_demand *demand, tw_score *score) {
    const tw_candidate *candidate = &core->candidates[score->candidate_index];
    tw_machine *machine = candidate->machine;
    const tw_job *job = demand->job;
    score->placement_count = candidate->placement_count;
    score->fits =
        tw_machine_has_capacity(machine, &core->machine_types[machine->type_index], &job->spec) &&
        tw_constraints_allow_machine(core, job, machine);
    score->feasible = score->fits && tw_constraints_leave_gpus_usable(core, machine, job, 1);
    if (!score->feasible) return;
    const tw_prediction prediction = tw_predict_duration(core, demand, machine);
    score->end_at = tw_predict_end(core, demand, &prediction);
    score->total_s = prediction.total_s;
    score->points = tw_preference_points(core, demand, machine, &prediction);
}

tw_score *tw_scores_add_candidate(tw_core *core, tw_score_table *table, const tw_demand *demand,
                                  int candidate) {
    table->items = tw_grow(table->items, table->count, &table->capacity, INITIAL_CAPACITY,
                           sizeof *table->items);
    tw_score *score = &table->items[table->count];
    *score = (tw_score){.candidate_index = candidate};
    update_score(core, demand, score);
    /* A machine on which the task does not fit will not have capacity for it later in this pass.
     * However, a machine that keeps cores for its free GPUs may accept a task without GPUs once
     * these GPUs are in use, so it stays in the table. */
    if (!score->fits) return NULL;
    table->count++;
    return score->feasible ? score : NULL;
}

/* Returns a table to fill: an unused one, or the least recently created one if all are in use. */
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

tw_score_table *tw_scores_add_table(tw_core *core, const tw_demand *demand) {
    tw_score_table *table = acquire_table(core);
    table->kind = kind_of_demand(core, demand);
    table->count = 0;
    return table;
}

int tw_scores_count(const tw_score_table *table) { return table->count; }

tw_score *tw_scores_get(tw_core *core, tw_score_table *table, const tw_demand *demand, int index) {
    tw_score *score = &table->items[index];
    if (score->placement_count != core->candidates[score->candidate_index].placement_count)
        update_score(core, demand, score);
    return score->feasible ? score : NULL;
}

void tw_scores_clear(tw_core *core) {
    core->score_table_count = 0;
    core->next_score_table = 0;
}

void tw_scores_free(tw_core *core) {
    for (int i = 0; core->score_tables && i < TABLES_MAX; i++) free(core->score_tables[i].items);
    free(core->score_tables);
}
