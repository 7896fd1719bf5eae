/* What the files of placement share: which machines a task may go to, how soon it would end there,
 * and which of them it takes. Not for the other files of the core. */
#ifndef TW_SCHEDULER_INT_H
#define TW_SCHEDULER_INT_H
#include "core/core_int.h"
#include <stdbool.h>

/* A task to be placed. What doesn't depend on the machine is worked out once for all of them. */
typedef struct tw_demand {
    struct tw_job *job;
    double deadline_at; /* steady time, INFINITY: none */
    double
        start_deadline_at; /* of a gang: when it should have started; INFINITY: no such objective */
    double estimate_s;     /* run time on a machine of slowness 1 */
    uint32_t zone_mask;    /* that it may go to, as bits over the core's zones */
} tw_demand;

/* GoodServe's T = q + p * missing GB + slowness * expected run time, for a task on a machine. */
typedef struct tw_prediction {
    const struct tw_image *image; /* its image there, cached or on its way; NULL: absent */
    double fetch_s;               /* for what is missing of the image, by itself on the machine */
    double run_s;
    double total_s;  /* T */
    double margin_s; /* to spare before the deadline, since fetches vary */
} tw_prediction;

/* run_estimate.c */
tw_prediction tw_predict(const tw_core *core, const tw_demand *demand,
                         const struct tw_machine *machine);
/* T and its margin from now: the deadline is met if it is not before that. */
double tw_predict_end(const tw_core *core, const tw_demand *demand,
                      const tw_prediction *prediction);
double tw_machine_slowness(const tw_core *core, const struct tw_machine *machine);

/* constraints.c */
tw_demand tw_demand_of(const tw_core *core, struct tw_job *job);
/* Whether the machine's zone is one that the demand allows. */
bool tw_constraints_allow_machine_zone(const tw_core *core, const tw_demand *demand,
                                       const struct tw_machine *machine);
/* Whether the job's tasks may go to a machine that is usable, whatever its zone and room. */
bool tw_constraints_allow_machine(const tw_core *core, const struct tw_job *job,
                                  const struct tw_machine *machine);
/* Whether so many tasks without GPUs leave the machine's GPUs their cores and memory. */
bool tw_constraints_leave_gpus(const tw_core *core, const struct tw_machine *machine,
                               const struct tw_job *job, int tasks);

/* placement_failures.c: kinds of tasks for which a pass has found no room. */
tw_placement_failure tw_placement_failure_of(const tw_demand *demand);
bool tw_placement_failures_has(const tw_core *core, const tw_placement_failure *kind);
void tw_placement_failures_add(tw_core *core, const tw_placement_failure *kind);
void tw_placement_failures_forget_cpu(tw_core *core);
void tw_placement_failures_forget(tw_core *core);

/* candidates.c: the machines that a pass may use, in the order of the fleet, and how full the zones
 * are as it begins. */
typedef struct tw_candidate {
    struct tw_machine *machine;
    int changes; /* tasks placed there in this pass */
} tw_candidate;
void tw_candidates_begin(tw_core *core);
/* The free share of the machine's zone, of GPUs or of cores. */
double tw_candidates_zone_free(const tw_core *core, const struct tw_machine *machine, bool gpus);

/* preference.c */
/* Points among machines that meet the deadline; the most is taken. */
double tw_preference(const tw_core *core, const tw_demand *demand, struct tw_machine *machine,
                     const tw_prediction *prediction);

/* scores.c: what each candidate is worth to a kind of task. */
typedef struct tw_score {
    int candidate;
    int changes;    /* of the candidate, when this was worked out */
    bool fits;      /* it has room and is allowed, its zone apart */
    bool possible;  /* and the task leaves its GPUs what they need */
    double end_at;  /* as tw_predict_end has it */
    double total_s; /* T */
    double points;  /* where the deadline is met */
} tw_score;
typedef struct tw_score_table tw_score_table;
/* The scores for the demand's kind of task, valid until the next table is begun; NULL: none yet. */
tw_score_table *tw_scores_find(tw_core *core, const tw_demand *demand);
/* A table without scores, to which those of all candidates are added, in their order. */
tw_score_table *tw_scores_begin(tw_core *core, const tw_demand *demand);
/* Scores a candidate; NULL: no such task can go there. Valid until the next one is added. */
tw_score *tw_scores_add(tw_core *core, tw_score_table *table, const tw_demand *demand,
                        int candidate);
int tw_scores_count(const tw_score_table *table);
/* A score, worked out again if a task was placed there; NULL: no more can go there. */
tw_score *tw_scores_get(tw_core *core, tw_score_table *table, const tw_demand *demand, int index);
/* Room was given back, or a pass begins. */
void tw_scores_forget(tw_core *core);
void tw_scores_free(tw_core *core);

/* What was found for a task. */
typedef struct tw_choice {
    struct tw_machine *machine; /* NULL: none */
    double points;              /* the most, or where no deadline is met the least overshoot */
    int candidate;              /* its number */
    bool meets_deadline;        /* it is expected to meet the deadline there */
    int room_is_reserved;       /* none, and some room was not given, since it is kept for others */
} tw_choice;

/* machine_choice.c */
tw_choice tw_scheduler_choose(tw_core *core, const tw_demand *demand);

/* gang_zones.c */
/* The zones, as bits, in which so many tasks of a gang may be placed: free room is enough, or else
 * room with what work of lower rank holds. Where its tasks may stand in different zones, all that
 * together have the room. 0: none. */
uint32_t tw_gang_candidate_zones(tw_core *core, struct tw_job *job, int tasks);

/* gang_reservation.c */
/* A pass begins, its candidates are known: which machines are held for a gang that waits. */
void tw_gang_reservation_update(tw_core *core);
/* Whether the job may use the machine although it may be held for another. */
bool tw_gang_reservation_allows(const tw_core *core, const struct tw_job *job,
                                const struct tw_machine *machine);

/* Whether a task of the job leaves the gang that waits its part of their team's limit. */
bool tw_gang_reservation_allows_team(const tw_core *core, const struct tw_job *job);

/* preemption.c */
/* A machine where stopping work of lower rank makes room, at the least loss; the work is told to
 * stop. in_time: only one where the deadline is met. *kept is set as in tw_choice. */
/* Whether the task may be stopped to make room for the job. */
bool tw_preemption_allowed(const tw_core *core, const struct tw_job *job,
                           const tw_placement *placed);
struct tw_machine *tw_scheduler_preempt(tw_core *core, const tw_demand *demand, bool in_time,
                                        int *room_is_reserved);

#endif
