/* Generates faults with stale and duplicate messages. A new leader receives only heartbeats from
 * before the last commands of its predecessor: copies from several incarnations that were held
 * back, while the machines themselves hang. A node pauses between a decision and its sending, so
 * that its messages are stale. Direct commands are delivered twice. */
#include "plan.h"

/* Durations in hundredths of a second. */
enum {
    SECOND_COPIES_MIN = 50, /* how long heartbeats of the new incarnations are copied */
    SECOND_COPIES_MAX = 300,
    LEADER_KILL_DELAY_MIN = 100, /* from the submission of a job to the crash of the leader */
    LEADER_KILL_DELAY_MAX = 400,
    RESTART_MIN = 100,
    RESTART_MAX = 800
};
enum { TASKS_MAX = 6 };
enum { DELAYED_SENDS_PERCENT = 30 }; /* percentage of days */

static tw_fuzz_word draw_duration(tw_fuzz_plan *plan, int min, int max) {
    return tw_fuzz_format_seconds(tw_fuzz_rng_range(&plan->rng, min, max));
}

/* Adds a crash of all nodes for longer than a lease, so that all machines begin new incarnations.
 * The next leader is killed, too, and its successor receives copies of heartbeats from before and
 * after the crash. From machines that hang it receives no other heartbeats. */
static void draw_stale_incarnations(tw_fuzz_plan *plan) {
    tw_fuzz_rng *rng = &plan->rng;
    int when = tw_fuzz_draw_moment_near(plan, tw_fuzz_draw_anchor(plan));
    if (when < 3 * TW_FUZZ_SECOND) when = 3 * TW_FUZZ_SECOND;
    tw_fuzz_add_event(plan, when, "lateheartbeats 1 %s next 2",
                      tw_fuzz_format_seconds(plan->heartbeat * 3).text);
    when += plan->heartbeat * 3;
    const int downtime = plan->lease * tw_fuzz_rng_range(rng, 105, 150) / 100;
    tw_fuzz_add_event(plan, when, "kill all %s", tw_fuzz_format_seconds(downtime).text);
    when += downtime + 2 * plan->election_time + plan->heartbeat;
    tw_fuzz_add_event(plan, when, "lateheartbeats 1 %s next",
                      draw_duration(plan, SECOND_COPIES_MIN, SECOND_COPIES_MAX).text);
    when += SECOND_COPIES_MAX;
    tw_fuzz_add_event(plan, when, "submit run-%06d tasks=%d expect=30", ++plan->job_count,
                      tw_fuzz_rng_range(rng, 1, TASKS_MAX));
    when += tw_fuzz_rng_range(rng, LEADER_KILL_DELAY_MIN, LEADER_KILL_DELAY_MAX);
    const int hang_time = plan->lease * tw_fuzz_rng_range(rng, 40, 90) / 100;
    for (int machine = 0; machine < plan->machine_count; machine++)
        if (tw_fuzz_rng_half(rng))
            tw_fuzz_add_event(plan, when, "hang %d %s", machine,
                              tw_fuzz_format_seconds(hang_time).text);
    tw_fuzz_add_event(plan, when + tw_fuzz_rng_range(rng, 0, TW_FUZZ_SECOND), "kill leader %s",
                      draw_duration(plan, RESTART_MIN, RESTART_MAX).text);
    tw_fuzz_extend_day(plan, when + hang_time);
}

void tw_fuzz_draw_stale_messages(tw_fuzz_plan *plan) {
    tw_fuzz_rng *rng = &plan->rng;
    draw_stale_incarnations(plan);
    if (!tw_fuzz_rng_percent(rng, DELAYED_SENDS_PERCENT)) return;
    const int when = tw_fuzz_draw_moment_near(plan, tw_fuzz_draw_anchor(plan));
    const int length = tw_fuzz_rng_range(rng, plan->election_time / 2, plan->lease * 3 / 2);
    tw_fuzz_add_event(plan, when < TW_FUZZ_SECOND ? TW_FUZZ_SECOND : when, "latesends leader %s",
                      tw_fuzz_format_seconds(length).text);
    tw_fuzz_extend_day(plan, when + length);
}

void tw_fuzz_draw_repeated_commands(tw_fuzz_plan *plan) {
    tw_fuzz_rng *rng = &plan->rng;
    const int from = tw_fuzz_rng_range(rng, TW_FUZZ_SECOND, plan->anchors[0]);
    const int length = tw_fuzz_rng_range(rng, plan->lease, 4 * plan->lease);
    const tw_fuzz_word share = tw_fuzz_format_seconds(TW_FUZZ_ONE_OF(rng, 10, 30, 60, 100));
    tw_fuzz_add_event(plan, from, "repeatcommands %s %s", share.text,
                      tw_fuzz_format_seconds(length).text);
    tw_fuzz_extend_day(plan, from + length);
}
