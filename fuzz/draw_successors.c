/* Troubles with messages that are old or come twice: those in which a leader has old news from
 * before a predecessor's last deeds: copies of heartbeats of several incarnations that are held for
 * it, while the machines themselves are silent; and a node that stands still between deciding and
 * sending, so that what it sends is old. */
#include "plan.h"

/* Hundredths of a second. */
enum {
    LAST_COPIES_MIN = 50, /* how long copies are made in the new incarnation */
    LAST_COPIES_MAX = 300,
    LAUNCHED_MIN = 100, /* from a job's submission to the end of its leader */
    LAUNCHED_MAX = 400,
    BACK_MIN = 100,
    BACK_MAX = 800
};
enum { TASKS_MAX = 6 };
enum { STANDS_STILL = 30 }; /* percent of days */

static tw_fuzz_seconds draw_seconds(tw_fuzz_plan *plan, int least, int most) {
    return tw_fuzz_seconds_of(tw_fuzz_dice_range(&plan->dice, least, most));
}

/* All incarnations end, and copies from before and after reach the leader after the next one: it
 * has the machines' news only through them, for they hang. */
static void draw_incarnations(tw_fuzz_plan *plan) {
    tw_fuzz_dice *dice = &plan->dice;
    int when = tw_fuzz_draw_moment_near(plan, tw_fuzz_draw_anchor(plan));
    if (when < 3 * TW_FUZZ_SECOND) when = 3 * TW_FUZZ_SECOND;
    tw_fuzz_add_at(plan, when, "lateheartbeats 1 %s next 2",
                   tw_fuzz_seconds_of(plan->heartbeat * 3).text);
    when += plan->heartbeat * 3;
    const int away = plan->lease * tw_fuzz_dice_range(dice, 105, 150) / 100;
    tw_fuzz_add_at(plan, when, "kill all %s", tw_fuzz_seconds_of(away).text);
    when += away + 2 * plan->term + plan->heartbeat;
    tw_fuzz_add_at(plan, when, "lateheartbeats 1 %s next",
                   draw_seconds(plan, LAST_COPIES_MIN, LAST_COPIES_MAX).text);
    when += LAST_COPIES_MAX;
    tw_fuzz_add_at(plan, when, "submit run-%06d tasks=%d expect=30", ++plan->job_count,
                   tw_fuzz_dice_range(dice, 1, TASKS_MAX));
    when += tw_fuzz_dice_range(dice, LAUNCHED_MIN, LAUNCHED_MAX);
    const int hangs = plan->lease * tw_fuzz_dice_range(dice, 40, 90) / 100;
    for (int machine = 0; machine < plan->machine_count; machine++)
        if (tw_fuzz_dice_half(dice))
            tw_fuzz_add_at(plan, when, "hang %d %s", machine, tw_fuzz_seconds_of(hangs).text);
    tw_fuzz_add_at(plan, when + tw_fuzz_dice_range(dice, 0, TW_FUZZ_SECOND), "kill leader %s",
                   draw_seconds(plan, BACK_MIN, BACK_MAX).text);
    tw_fuzz_extend_until(plan, when + hangs);
}

void tw_fuzz_draw_late_news(tw_fuzz_plan *plan) {
    tw_fuzz_dice *dice = &plan->dice;
    draw_incarnations(plan);
    if (!tw_fuzz_dice_percent(dice, STANDS_STILL)) return;
    const int when = tw_fuzz_draw_moment_near(plan, tw_fuzz_draw_anchor(plan));
    const int length = tw_fuzz_dice_range(dice, plan->term / 2, plan->lease * 3 / 2);
    tw_fuzz_add_at(plan, when < TW_FUZZ_SECOND ? TW_FUZZ_SECOND : when, "latesends leader %s",
                   tw_fuzz_seconds_of(length).text);
    tw_fuzz_extend_until(plan, when + length);
}

void tw_fuzz_draw_repeats(tw_fuzz_plan *plan) {
    tw_fuzz_dice *dice = &plan->dice;
    const int from = tw_fuzz_dice_range(dice, TW_FUZZ_SECOND, plan->anchors[0]);
    const int length = tw_fuzz_dice_range(dice, plan->lease, 4 * plan->lease);
    const tw_fuzz_seconds share = tw_fuzz_seconds_of(TW_FUZZ_ONE_OF(dice, 10, 30, 60, 100));
    tw_fuzz_add_at(plan, from, "repeatcommands %s %s", share.text, tw_fuzz_seconds_of(length).text);
    tw_fuzz_extend_until(plan, from + length);
}
