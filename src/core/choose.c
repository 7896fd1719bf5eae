/* Which machine a task takes: of those with room that meet the deadline the one it prefers, else
 * the one with the least overshoot (GoodServe, section 3.4). */
#include "core/scheduler_int.h"

tw_choice tw_choose(tw_core *core, const tw_demand *demand) {
    const tw_scores scores = tw_scores_for(core, demand);
    tw_choice choice = {0};
    double best = -INFINITY;
    for (int i = 0; i < scores.count; i++) {
        tw_score *score = &scores.items[i];
        const tw_candidate *candidate = &core->candidates[score->candidate];
        core->steps++;
        if (score->changes != candidate->changes) tw_scores_renew(core, demand, score);
        if (!score->possible || !tw_constraints_zone(core, demand, candidate->machine)) continue;
        const int meets = score->end <= demand->due;
        const double points = meets ? score->points : -score->total_s;
        if (meets < choice.meets || (meets == choice.meets && points <= best)) continue;
        if (!tw_reserve_allows(core, candidate->machine, demand->job)) {
            choice.kept = 1;
            continue;
        }
        choice.machine = candidate->machine;
        choice.candidate = score->candidate;
        choice.meets = meets;
        best = points;
    }
    return choice;
}
