/* Interfaces that the scheduler's modules share: which machines a task may use, when it would
 * end there, and which machine it is placed on. Not for the other modules of the core. For
 * times see scheduler.h.
 *
 * A pass starts by calling tw_candidates_update, tw_gang_reservation_update and
 * tw_reserve_update, in this order, and by clearing the scores and placement failures of the
 * previous pass. */
#ifndef TW_CORE_SCHEDULER_INT_H
#define TW_CORE_SCHEDULER_INT_H
#include "core/core_int.h"
#include <stdbool.h>

/* A task to be placed, with everything that does not depend on the machine and is therefore
 * computed once for all machines. */
typedef struct tw_demand {
    struct tw_job *job;
    double deadline_at; /* INFINITY: none */
    /* For a gang, the time after which it misses its start objective. INFINITY: none, or not a
     * gang. */
    double start_deadline_at;
    double estimate_s;  /* run time on a machine of slowness 1 */
    uint32_t zone_mask; /* allowed zones, as bits over core->zone_names */
    /* limits the machines while nodes of different versions run */
    tw_machine_restriction restriction;
    /* Prefer machines in their first incarnation over all others. */
    bool prefers_first_incarnation;
} tw_demand;

/* Prediction for a task on a machine, after GoodServe: T = q + p * missing GB + slowness *
 * estimate, where q is the machine's queue delay and p its fetch time per GB (docs/design.md). */
typedef struct tw_prediction {
    /* the task's image on the machine, cached or being fetched; NULL: absent */
    const struct tw_image *image;
    /* time to fetch the missing part of the image if no other fetch runs */
    double fetch_s;
    double run_s; /* slowness * estimate */
    /* T, including the slowdown of the fetch by concurrent fetches */
    double total_s;
    /* safety margin before the deadline, because fetch times vary */
    double margin_s;
} tw_prediction;

/* ---- run_estimate.c ---- */
/* Predicts how long the demand's task takes, from its placement on the machine to its end, if
 * it is placed there now. */
tw_prediction tw_predict_duration(const tw_core *core, const tw_demand *demand,
                                  const struct tw_machine *machine);
/* Returns the predicted end time, to be compared with demand->deadline_at: now plus T plus the
 * margin. For a gang that would miss its start objective, the returned time exceeds the
 * deadline by at least as much as the start misses its objective. */
double tw_predict_end(const tw_core *core, const tw_demand *demand,
                      const tw_prediction *prediction);
/* Returns the ratio of actual to estimated run times on the machine: its own moving average,
 * or the average of its type while the machine has none. */
double tw_machine_slowness(const tw_core *core, const struct tw_machine *machine);

/* ---- constraints.c ---- */
/* Returns the demand of the job's next task. */
tw_demand tw_demand_of(tw_core *core, struct tw_job *job);
/* Returns whether the demand's zones and its mixed-version restriction allow the machine. */
bool tw_demand_allows_machine(tw_core *core, const tw_demand *demand,
                              const struct tw_machine *machine);
/* Returns whether the job's tasks may run on a usable machine, regardless of its zone and its
 * free capacity. */
bool tw_constraints_allow_machine(const tw_core *core, const struct tw_job *job,
                                  const struct tw_machine *machine);
/* Returns whether placing this number of tasks of the job leaves the machine's free GPUs the
 * cores and memory that GPU tasks need. Always true for jobs that use GPUs and jobs that may
 * use any machine. */
bool tw_constraints_leave_gpus_usable(const tw_core *core, const struct tw_machine *machine,
                                      const struct tw_job *job, int tasks);

/* ---- placement_failures.c ---- */
/* Returns the kind of the demand's task. */
tw_placement_failure tw_placement_failure_of(const tw_demand *demand);
/* Returns whether this pass has already failed to place this kind of task. */
bool tw_placement_failures_has(const tw_core *core, const tw_placement_failure *kind);
/* Records that no machine has capacity for this kind of task in this pass. */
void tw_placement_failures_add(tw_core *core, const tw_placement_failure *kind);
/* Clears the failures of tasks without GPUs, because the placement of a GPU task may release
 * cores that were kept for the GPUs it uses. */
void tw_placement_failures_clear_cpu_only(tw_core *core);
/* Clears all failures, because capacity was released or a pass starts. */
void tw_placement_failures_clear(tw_core *core);

/* ---- candidates.c ---- */
/* A machine that may get tasks in this pass. */
typedef struct tw_candidate {
    struct tw_machine *machine;
    /* Number of times that this pass has chosen the machine for a task. A score with a lower count
     * is stale. */
    int placement_count;
} tw_candidate;
/* Lists the usable machines in core->candidates, in fleet order, and computes the free share
 * of each zone. */
void tw_candidates_update(tw_core *core);
/* Returns the share, 0 to 1, of the GPUs (gpus) or of the cores (!gpus) in the machine's zone
 * that was free when the pass started. */
double tw_candidates_zone_free_share(const tw_core *core, const struct tw_machine *machine,
                                     bool gpus);

/* ---- preference.c ---- */
/* Returns the preference points of a machine on which the demand's task meets its deadline.
 * Among such machines the task takes the one with most points. */
double tw_preference_points(const tw_core *core, const tw_demand *demand,
                            struct tw_machine *machine, const tw_prediction *prediction);

/* ---- scores.c ---- */
/* The evaluation of a candidate for a kind of task. */
typedef struct tw_score {
    int candidate_index; /* index in core->candidates */
    /* the candidate's placement_count when this score was computed */
    int placement_count;
    /* the machine has capacity for the task and the job may use it, zones disregarded */
    bool fits;
    /* the task fits and leaves the machine's free GPUs enough cores and memory */
    bool feasible;
    double end_at;  /* result of tw_predict_end */
    double total_s; /* T */
    double points;  /* result of tw_preference_points */
} tw_score;
/* The scores of the candidates for one kind of task. All tables are owned by the core. */
typedef struct tw_score_table tw_score_table;
/* Returns the score table for the demand's kind of task, valid until tw_scores_add_table or
 * tw_scores_clear. NULL: there is none yet. */
tw_score_table *tw_scores_find(tw_core *core, const tw_demand *demand);
/* Creates an empty table for the demand's kind of task. The caller adds all candidates in
 * order. */
tw_score_table *tw_scores_add_table(tw_core *core, const tw_demand *demand);
/* Scores a candidate and adds it to the table. The returned score is valid until the next
 * call. NULL: the task cannot be placed on the candidate now. */
tw_score *tw_scores_add_candidate(tw_core *core, tw_score_table *table, const tw_demand *demand,
                                  int candidate);
/* Returns the number of scores in the table. */
int tw_scores_count(const tw_score_table *table);
/* Returns a score of the table, recomputed if a task was placed on the machine since. NULL:
 * the task cannot be placed there now. */
tw_score *tw_scores_get(tw_core *core, tw_score_table *table, const tw_demand *demand, int index);
/* Clears all scores, because capacity was released or a pass starts. */
void tw_scores_clear(tw_core *core);
/* Frees all tables when the core is destroyed. */
void tw_scores_free(tw_core *core);

/* ---- machine_choice.c ---- */
/* The machine chosen for a task. */
typedef struct tw_choice {
    struct tw_machine *machine; /* NULL: none */
    /* result of tw_preference_points, or -T if no machine meets the deadline */
    double points;
    int candidate_index; /* the machine's index in core->candidates */
    /* the machine is in its first incarnation, or the demand does not prefer such machines */
    bool is_preferred;
    /* the task is expected to meet its deadline on the machine */
    bool meets_deadline;
    /* A better machine was rejected because its capacity is reserved for other jobs. */
    bool capacity_is_reserved;
} tw_choice;
/* Chooses among the machines that have free capacity for the demand's task. */
tw_choice tw_scheduler_choose_machine(tw_core *core, const tw_demand *demand);

/* ---- gang_zones.c ---- */
/* Returns the zones, as a bit mask, in which this number of tasks of a gang may be placed (all
 * in one zone for a single-zone gang): the zones with enough free capacity or, if there are
 * none, those with enough capacity once work of lower priority is preempted. If the tasks may
 * use several zones, returns UINT32_MAX if all zones together have the capacity. 0: there is
 * not enough capacity. */
uint32_t tw_gang_candidate_zones(tw_core *core, struct tw_job *job, int tasks);

/* ---- gang_reservation.c ---- */
/* Selects the machines to reserve for a gang that has waited for long, and sets
 * core->reserving_gang to the gang, or to NULL if no machines are reserved. Called at the start of
 * each pass after tw_candidates_update. */
void tw_gang_reservation_update(tw_core *core);
/* Returns whether reservations allow the job on the machine. */
bool tw_gang_reservation_allows(const tw_core *core, const struct tw_job *job,
                                const struct tw_machine *machine);
/* Returns whether one more task of the job leaves the reserving gang its part of their team's
 * limit. */
bool tw_gang_reservation_allows_team(const tw_core *core, const struct tw_job *job);

/* ---- preemption.c ---- */
/* Returns whether the placed task may be preempted for the job. */
bool tw_preemption_allowed(const tw_core *core, const struct tw_job *job,
                           const tw_placement *placed);
/* Finds the machine where preempting tasks of lower priority for the demand's task costs
 * least, stops those tasks and returns the machine. NULL: there is no such machine, and no
 * task was stopped. in_time: consider only machines on which the task meets its deadline. Sets
 * *capacity_is_reserved to true if a machine was rejected because its capacity is reserved,
 * and otherwise leaves it unchanged. */
struct tw_machine *tw_scheduler_preempt(tw_core *core, const tw_demand *demand, bool in_time,
                                        bool *capacity_is_reserved);

#endif
