/* What the scheduler's modules share: which machines a task may go to, how soon it would end there,
 * and which of them it takes. Not for the other modules of the core. Times are as in scheduler.h.
 *
 * A pass begins with tw_candidates_update, tw_gang_reservation_update and tw_reserve_update, in
 * this order; the scores and placement failures of the pass before are forgotten then. */
#ifndef TW_CORE_SCHEDULER_INT_H
#define TW_CORE_SCHEDULER_INT_H
#include "core/core_int.h"
#include <stdbool.h>

/* A task to be placed: what doesn't depend on the machine is worked out once for all machines. */
typedef struct tw_demand {
    struct tw_job *job;
    double deadline_at;                 /* INFINITY: none */
    double start_deadline_at;           /* of a gang: its start objective; INFINITY: none */
    double estimate_s;                  /* run time on a machine of slowness 1 */
    uint32_t zone_mask;                 /* zones that it may go to, as bits over core->zone_names */
    tw_machine_restriction restriction; /* those that it may go to while versions are mixed, */
    bool prefers_first_incarnation; /* and whether those in their first one come before others */
} tw_demand;

/* GoodServe's T = q + p * missing GB + slowness * estimate, for a task on a machine, where q is the
 * machine's queue delay and p its fetch time for a GB (docs/design.md). */
typedef struct tw_prediction {
    const struct tw_image *image; /* the task's image there, cached or on its way; NULL: absent */
    double fetch_s;  /* to fetch what is missing of the image, if nothing else is fetched */
    double run_s;    /* slowness * estimate */
    double total_s;  /* T, with the fetch slowed down by the fetches beside it */
    double margin_s; /* to spare before the deadline, since fetch times vary */
} tw_prediction;

/* run_estimate.c */
/* Predicts the time that the demand's task takes on the machine if it is placed there now. */
tw_prediction tw_predict_duration(const tw_core *core, const tw_demand *demand,
                                  const struct tw_machine *machine);
/* The point in time to compare with demand->deadline_at: T and its margin from now. For a gang that
 * would miss its start objective it is as late for the deadline as the start is. */
double tw_predict_end(const tw_core *core, const tw_demand *demand,
                      const tw_prediction *prediction);
/* How many times as long a run takes on the machine as estimated: its own moving average, or its
 * type's until it has one. */
double tw_machine_slowness(const tw_core *core, const struct tw_machine *machine);

/* constraints.c */
/* The demand of the job's next task. */
tw_demand tw_demand_of(const tw_core *core, struct tw_job *job);
/* Whether the demand allows the machine's zone, and the machine while versions are mixed. */
bool tw_demand_allows_machine(const tw_demand *demand, const struct tw_machine *machine);
/* Whether the job's tasks may go to a usable machine, whatever its zone and its free room. */
bool tw_constraints_allow_machine(const tw_core *core, const struct tw_job *job,
                                  const struct tw_machine *machine);
/* Whether so many tasks of the job leave the machine's free GPUs the cores and memory that tasks
 * with GPUs need. Always true for a job with GPUs and where the job may use any machine. */
bool tw_constraints_leave_gpus_usable(const tw_core *core, const struct tw_machine *machine,
                                      const struct tw_job *job, int tasks);

/* placement_failures.c */
/* The kind of the demand's task. */
tw_placement_failure tw_placement_failure_of(const tw_demand *demand);
/* Whether this pass has already found no room for this kind of task. */
bool tw_placement_failures_has(const tw_core *core, const tw_placement_failure *kind);
/* Notes that this pass found no room for this kind of task. */
void tw_placement_failures_add(tw_core *core, const tw_placement_failure *kind);
/* Forgets the kinds without GPUs: a task with GPUs was placed, which may free the cores that were
 * kept for its GPUs. */
void tw_placement_failures_clear_cpu_only(tw_core *core);
/* Forgets all kinds: room was given back, or a pass begins. */
void tw_placement_failures_clear(tw_core *core);

/* candidates.c */
/* A machine that the pass may use. */
typedef struct tw_candidate {
    struct tw_machine *machine;
    int placement_count; /* tasks placed there in this pass: a score from before is worked out again
                          */
} tw_candidate;
/* Lists the usable machines in core->candidates, in the order of the fleet, and notes how full the
 * zones are as the pass begins. */
void tw_candidates_update(tw_core *core);
/* The free share, 0 to 1, of the GPUs or the cores in the machine's zone as the pass began. */
double tw_candidates_zone_free_share(const tw_core *core, const struct tw_machine *machine,
                                     bool gpus);

/* preference.c */
/* The points of a machine among those that meet the deadline: the task takes the one with most. */
double tw_preference_points(const tw_core *core, const tw_demand *demand,
                            struct tw_machine *machine, const tw_prediction *prediction);

/* scores.c */
/* What a candidate is worth to a kind of task. */
typedef struct tw_score {
    int candidate;       /* its index in core->candidates */
    int placement_count; /* the candidate's, when this score was worked out */
    bool fits;           /* the machine has room and the job may use it, zones apart */
    bool feasible;       /* it fits and leaves the machine's GPUs what they need */
    double end_at;       /* as tw_predict_end has it */
    double total_s;      /* T */
    double points;       /* as tw_preference_points has them */
} tw_score;
/* The scores of the candidates for one kind of task. The core owns all tables. */
typedef struct tw_score_table tw_score_table;
/* The table for the demand's kind of task. NULL: there is none yet. Valid until
 * tw_scores_add_table or tw_scores_clear. */
tw_score_table *tw_scores_find(tw_core *core, const tw_demand *demand);
/* Begins an empty table, to which the caller adds all candidates in their order. */
tw_score_table *tw_scores_add_table(tw_core *core, const tw_demand *demand);
/* Scores a candidate and adds it to the table. NULL: no such task can go there now. The result is
 * valid until the next one is added. */
tw_score *tw_scores_add(tw_core *core, tw_score_table *table, const tw_demand *demand,
                        int candidate);
/* The number of scores in the table. */
int tw_scores_count(const tw_score_table *table);
/* A score of the table, worked out again if a task was placed there since. NULL: no such task can
 * go there now. */
tw_score *tw_scores_get(tw_core *core, tw_score_table *table, const tw_demand *demand, int index);
/* Forgets all scores: room was given back, or a pass begins. */
void tw_scores_clear(tw_core *core);
/* Frees all tables, as the core ends. */
void tw_scores_free(tw_core *core);

/* machine_choice.c */
/* The machine that was chosen for a task. */
typedef struct tw_choice {
    struct tw_machine *machine; /* NULL: none */
    double points;     /* tw_preference_points's; or where no machine meets the deadline, minus T */
    int candidate;     /* the machine's index in core->candidates */
    bool is_preferred; /* as far as the demand prefers a machine in its first incarnation */
    bool meets_deadline; /* the task is expected to meet its deadline there */
    bool
        capacity_is_reserved; /* some machine was passed over because its room is kept for others */
} tw_choice;
/* Chooses among the machines with free room for the demand's task. */
tw_choice tw_scheduler_choose_machine(tw_core *core, const tw_demand *demand);

/* gang_zones.c */
/* The zones, as bits, in which so many tasks of a gang may be placed, all in one zone if the job
 * says so: those with enough free room, else those with enough room if work of lower priority is
 * stopped. Where the tasks may go to different zones, UINT32_MAX if all zones together have the
 * room. 0: there is no room. */
uint32_t tw_gang_candidate_zones(tw_core *core, struct tw_job *job, int tasks);

/* gang_reservation.c */
/* Decides, as a pass begins and its candidates are known, which machines are reserved for a gang
 * that has waited for long (core->reserving_gang; NULL: none). */
void tw_gang_reservation_update(tw_core *core);
/* Whether the job may use the machine, which may be reserved for another job. */
bool tw_gang_reservation_allows(const tw_core *core, const struct tw_job *job,
                                const struct tw_machine *machine);
/* Whether one more task of the job leaves the reserving gang its part of their team's limit. */
bool tw_gang_reservation_allows_team(const tw_core *core, const struct tw_job *job);

/* preemption.c */
/* Whether the placed task may be stopped to make room for the job. */
bool tw_preemption_allowed(const tw_core *core, const struct tw_job *job,
                           const tw_placement *placed);
/* Finds the machine where stopping tasks of lower priority makes room for the demand's task at the
 * least loss, tells those tasks to stop, and returns the machine. NULL: there is none, and no task
 * was told to stop. in_time: consider only machines where the deadline is met.
 * *capacity_is_reserved is set to true, and else left alone, as in tw_choice. */
struct tw_machine *tw_scheduler_preempt(tw_core *core, const tw_demand *demand, bool in_time,
                                        bool *capacity_is_reserved);

#endif
