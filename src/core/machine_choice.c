/* Chooses among the machines with free capacity for a task: of those on which the task is
 * expected to meet its deadline, the one with most points (preference.c); if there is none,
 * the one with the smallest T, where the task is least late (GoodServe, section 3.4). Called
 * by placement_pass.c for each task. */
#include "core/scheduler_int.h"
#include <stdbool.h>

static bool is_better(const tw_choice *one, const tw_choice *other) {
    if (one->is_preferred != other->is_preferred) return one->is_preferred;
    if (one->meets_deadline != other->meets_deadline) return one->meets_deadline;
    return one->points > other->points;
}

/* Replaces the current choice by the scored machine if that machine is better and its capacity
 * is not reserved for other jobs. */
static void update_choice(tw_core *core, const tw_demand *demand, const tw_score *score,
                          tw_choice *choice) {
    tw_machine *machine = core->candidates[score->candidate_index].machine;
    if (!tw_demand_allows_machine(core, demand, machine)) return;
    const bool meets_deadline = score->end_at <= demand->deadline_at;
    const tw_choice considered = {.machine = machine,
                                  .candidate_index = score->candidate_index,
                                  .is_preferred = !demand->prefers_first_incarnation ||
                                                  tw_machine_is_in_first_incarnation(machine),
                                  .meets_deadline = meets_deadline,
                                  .points = meets_deadline ? score->points : -score->total_s,
                                  .capacity_is_reserved = choice->capacity_is_reserved};
    if (!is_better(&considered, choice)) return;
    if (!tw_reserve_allows(core, machine, demand->job)) {
        choice->capacity_is_reserved = true;
        return;
    }
    *choice = considered;
}

/* Scores all candidates for a kind of task that has no score table in this pass, and chooses
 * among them. */
static void score_and_choose(tw_core *core, const tw_demand *demand, tw_choice *choice) {
    tw_score_table *table = tw_scores_add_table(core, demand);
    for (int i = 0; i < core->candidate_count; i++) {
        const tw_score *score = tw_scores_add_candidate(core, table, demand, i);
        core->pass_steps++;
        if (score) update_choice(core, demand, score, choice);
    }
}

tw_choice tw_scheduler_choose_machine(tw_core *core, const tw_demand *demand) {
    tw_choice choice = {.points = -INFINITY, .is_preferred = !demand->prefers_first_incarnation};
    tw_score_table *table = tw_scores_find(core, demand);
    if (!table) {
        score_and_choose(core, demand, &choice);
        return choice;
    }
    for (int i = 0; i < tw_scores_count(table); i++) {
        const tw_score *score = tw_scores_get(core, table, demand, i);
        core->pass_steps++;
        if (score) update_choice(core, demand, score, &choice);
    }
    return choice;
}
