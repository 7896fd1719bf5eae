/* Which machine a task takes: of those with room that meet the deadline the one it prefers, else
 * the one with the least overshoot (GoodServe, section 3.4). */
#include "core/scheduler_int.h"
#include <stdbool.h>

/* Takes the machine instead of the one chosen so far, if it is better. */
static void update_choice(const tw_core *core, const tw_demand *demand, const tw_score *score,
                          tw_choice *choice) {
    tw_machine *machine = core->candidates[score->candidate].machine;
    if (!tw_constraints_allow_machine_zone(core, demand, machine)) return;
    const bool meets_deadline = score->end_at <= demand->deadline_at;
    const double points = meets_deadline ? score->points : -score->total_s;
    if (meets_deadline < choice->meets_deadline ||
        (meets_deadline == choice->meets_deadline && points <= choice->points))
        return;
    if (!tw_reserve_allows(core, machine, demand->job)) {
        choice->room_is_reserved = 1;
        return;
    }
    choice->machine = machine;
    choice->candidate = score->candidate;
    choice->meets_deadline = meets_deadline;
    choice->points = points;
}

/* Scores the whole fleet for a kind of task that was not yet looked at in this pass. */
static void choose_among_unscored(tw_core *core, const tw_demand *demand, tw_choice *choice) {
    tw_score_table *table = tw_scores_begin(core, demand);
    for (int i = 0; i < core->candidate_count; i++) {
        const tw_score *score = tw_scores_add(core, table, demand, i);
        core->pass_steps++;
        if (score) update_choice(core, demand, score, choice);
    }
}

tw_choice tw_scheduler_choose(tw_core *core, const tw_demand *demand) {
    tw_choice choice = {.points = -INFINITY};
    tw_score_table *table = tw_scores_find(core, demand);
    if (!table) {
        choose_among_unscored(core, demand, &choice);
        return choice;
    }
    for (int i = 0; i < tw_scores_count(table); i++) {
        const tw_score *score = tw_scores_get(core, table, demand, i);
        core->pass_steps++;
        if (score) update_choice(core, demand, score, &choice);
    }
    return choice;
}
