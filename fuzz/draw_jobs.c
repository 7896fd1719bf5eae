/* The jobs of a day and what their users do: submissions, repeats, cancellations, questions at all
 * nodes. */
#include "plan.h"
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

/* Shares in percent. */
enum {
    SERVICES = 30,
    GROUPS = 15,
    ON_GPUS = 35,
    LOANERS = 30,
    BOUND_TO_RACK = 10,
    BOUND_TO_ZONE = 20
};
enum {
    SAVING = 30,
    WITH_DUE = 25,
    FAILING = 3,
    ENDS_AT_ANCHOR = 45,
    CANCELLED = 45,
    REPEATED = 25
};
enum { ASKED_CLOSELY = 45, ASKED_UNKNOWN = 15, ASKED_BEFORE = 10, CANCELLED_IN_FLOOD = 25 };
enum { LOOKING_CLOSELY = 25, CANCELLING_AT_END = 15, ASKING_ODDLY = 10 };
enum { JOBS_MIN = 3, JOBS_MAX = 10, FLOOD_MIN = 20, FLOOD_MAX = 80, FLOOD_STEP = 25 };
enum { SAME_PLACE_GROUPS = 60, SAME_PLACE = 15, APART = 25, BIG_IMAGES = 30, LATE_JOBS = 30 };
/* Of days with gangs. */
enum { GANGS_MIN = 1, GANGS_MAX = 4, GANG_TIMES = 60, GANGS_SAVING = 75, RIVALS = 60 };
enum { OPTIONS_SIZE = 300 };
/* Hundredths of a second. */
enum { FIRST_SUBMISSION = 300, FETCH = 100, SHORTEST_RUN = 20, AT_ONCE = 20, AT_THE_END = 50 };
enum { ASKED_BEFORE_BY = 300 };

typedef struct {
    char id[16], options[OPTIONS_SIZE];
    int submitted, run, end; /* end: when it ends, about; 0 for a service */
    int service, group, pieces;
    int saving; /* percent */
} job;

static void option(job *made, const char *format, int value) {
    const size_t length = strlen(made->options);
    snprintf(made->options + length, sizeof made->options - length, format, value);
}

static void new_id(tw_fuzz_plan *plan, job *made) {
    memset(made, 0, sizeof *made);
    snprintf(made->id, sizeof made->id, "run-%06d", ++plan->jobs);
    made->saving = SAVING;
}

/* Questions at one node after the other, a hundredth to some tenths of a second apart. */
static void ask_closely(tw_fuzz_plan *plan, const char *id, int moment) {
    const int step = TW_FUZZ_ONE_OF(&plan->dice, 1, 2, 5, 10, 10, 30);
    const int count = tw_fuzz_dice_range(&plan->dice, 4, 16);
    for (int i = 0; i < count; i++) tw_fuzz_at(plan, moment + i * step, "poll %s", id);
}

static void draw_shape(tw_fuzz_plan *plan, job *made) {
    tw_fuzz_dice *dice = &plan->dice;
    const int roll = tw_fuzz_dice_range(dice, 1, 100);
    made->service = roll <= SERVICES;
    made->group = !made->service && roll <= SERVICES + GROUPS;
    made->pieces = made->group     ? TW_FUZZ_ONE_OF(dice, 2, 2, 3, 4)
                   : made->service ? TW_FUZZ_ONE_OF(dice, 1, 2, 3, 4)
                                   : TW_FUZZ_ONE_OF(dice, 1, 1, 2, 3, 4, 6, 12);
    if (made->service) snprintf(made->options, sizeof made->options, " shape=service");
    if (made->group) snprintf(made->options, sizeof made->options, " shape=gang");
    option(made, " tasks=%d", made->pieces);
}

static void draw_amounts(tw_fuzz_plan *plan, job *made) {
    tw_fuzz_dice *dice = &plan->dice;
    const bool on_gpus = plan->racks > 1 && tw_fuzz_dice_percent(dice, ON_GPUS);
    option(made, " cores=%d",
           on_gpus ? TW_FUZZ_ONE_OF(dice, 1, 4) : TW_FUZZ_ONE_OF(dice, 1, 2, 4, 8));
    if (on_gpus) option(made, " gpus=%d", TW_FUZZ_ONE_OF(dice, 1, 1, 2, 4));
    if (tw_fuzz_dice_percent(dice, BIG_IMAGES))
        option(made, " image_gb=%d", TW_FUZZ_ONE_OF(dice, 2, 4));
    option(made, " image_name=img-%d", tw_fuzz_dice_range(dice, 1, 3));
    if (!on_gpus && tw_fuzz_dice_percent(dice, BOUND_TO_RACK)) {
        const size_t length = strlen(made->options);
        const int rack = tw_fuzz_dice_range(dice, 0, plan->racks - 1);
        snprintf(made->options + length, sizeof made->options - length, " machine_type=%s",
                 plan->rack[rack].label);
    }
}

static void draw_place(tw_fuzz_plan *plan, job *made) {
    tw_fuzz_dice *dice = &plan->dice;
    const size_t length = strlen(made->options);
    if (tw_fuzz_dice_percent(dice, BOUND_TO_ZONE))
        snprintf(made->options + length, sizeof made->options - length, " zone=%s",
                 tw_fuzz_any_zone(plan));
    else if (plan->zones > 1 && tw_fuzz_dice_percent(dice, APART))
        option(made, " spread=%d", 1);
    else if (tw_fuzz_dice_percent(dice, made->group ? SAME_PLACE_GROUPS : SAME_PLACE))
        option(made, " single_zone=%d", 1);
    if (tw_fuzz_dice_percent(dice, LOANERS)) option(made, " spot=%d", 1);
}

/* How long its tasks run: often until about an anchor. */
static void draw_run(tw_fuzz_plan *plan, job *made) {
    tw_fuzz_dice *dice = &plan->dice;
    made->run = TW_FUZZ_ONE_OF(dice, 30, 100, 200, 500, 1000, 2000, 6000);
    const int start = made->submitted + FETCH;
    if (tw_fuzz_dice_percent(dice, ENDS_AT_ANCHOR)) {
        const int until = tw_fuzz_anchor(plan) - start +
                          tw_fuzz_dice_range(dice, -TW_FUZZ_SECOND, TW_FUZZ_SECOND);
        if (until > SHORTEST_RUN) made->run = until;
    }
    made->end = start + made->run;
    if (made->service) made->end = 0;
}

static void draw_rest(tw_fuzz_plan *plan, job *made) {
    static const char *const ranks[] = {"prod", "high", "normal", "idle"};
    tw_fuzz_dice *dice = &plan->dice;
    size_t length = strlen(made->options);
    length += (size_t)snprintf(
        made->options + length, sizeof made->options - length,
        " priority=%s team=crew-%d class=lane-%d", ranks[tw_fuzz_dice_range(dice, 0, 3)],
        tw_fuzz_dice_range(dice, 0, plan->teams - 1), tw_fuzz_dice_range(dice, 0, 2));
    if (!made->service) {
        const int expected = made->run * TW_FUZZ_ONE_OF(dice, 50, 100, 100, 150) / 100;
        snprintf(made->options + length, sizeof made->options - length, " expect=%s run=%s",
                 tw_fuzz_seconds_of(expected).text, tw_fuzz_seconds_of(made->run).text);
        if (tw_fuzz_dice_percent(dice, WITH_DUE))
            option(made, " deadline=%d",
                   1 + made->run * TW_FUZZ_ONE_OF(dice, 150, 300, 600) / 100 / TW_FUZZ_SECOND);
    }
    if (tw_fuzz_dice_percent(dice, made->saving)) {
        option(made, " checkpoint=%d", TW_FUZZ_ONE_OF(dice, 1, 5));
        option(made, " save=%d", TW_FUZZ_ONE_OF(dice, 1, 3));
    }
    if (tw_fuzz_dice_percent(dice, FAILING)) option(made, " fails=%d", 1);
}

/* At once, near an anchor, as it ends, or just then. */
static int cancel_moment(tw_fuzz_plan *plan, const job *made) {
    tw_fuzz_dice *dice = &plan->dice;
    static const int weights[] = {2, 5, 2, 1};
    int moment = made->submitted;
    switch (tw_fuzz_dice_weighted(dice, weights, sizeof weights / sizeof *weights)) {
    case 0:
        moment += tw_fuzz_dice_range(dice, 0, AT_ONCE);
        break;
    case 1:
        moment = tw_fuzz_near(plan, tw_fuzz_anchor(plan));
        break;
    case 2:
        moment = (made->end ? made->end : tw_fuzz_anchor(plan)) +
                 tw_fuzz_dice_range(dice, -AT_THE_END, AT_THE_END);
        break;
    default:
        moment += tw_fuzz_dice_range(dice, 0, plan->lease);
        break;
    }
    return moment < made->submitted ? made->submitted : moment;
}

static void draw_users(tw_fuzz_plan *plan, const job *made) {
    tw_fuzz_dice *dice = &plan->dice;
    if (tw_fuzz_dice_percent(dice, ASKED_BEFORE))
        tw_fuzz_at(plan, made->submitted - tw_fuzz_dice_range(dice, 0, ASKED_BEFORE_BY), "poll %s",
                   made->id);
    if (tw_fuzz_dice_percent(dice, ASKED_CLOSELY / 2)) ask_closely(plan, made->id, made->submitted);
    if (made->end && tw_fuzz_dice_percent(dice, ASKED_CLOSELY))
        ask_closely(plan, made->id, made->end);
    if (tw_fuzz_dice_percent(dice, ASKED_CLOSELY / 2))
        ask_closely(plan, made->id, tw_fuzz_near(plan, tw_fuzz_anchor(plan)));
    if (tw_fuzz_dice_percent(dice, REPEATED)) {
        const int count = tw_fuzz_dice_range(dice, 1, 4);
        const int moment =
            tw_fuzz_near(plan, tw_fuzz_dice_half(dice) ? made->submitted : tw_fuzz_anchor(plan));
        for (int i = 0; i < count && moment > made->submitted; i++)
            tw_fuzz_at(plan, moment + 2 * i, "submit %s", made->id);
    }
    if (!tw_fuzz_dice_percent(dice, CANCELLED)) return;
    const int moment = cancel_moment(plan, made);
    const int count = TW_FUZZ_ONE_OF(dice, 1, 1, 1, 2, 4);
    for (int i = 0; i < count; i++) tw_fuzz_at(plan, moment + i, "cancel %s", made->id);
    if (tw_fuzz_dice_percent(dice, ASKED_CLOSELY)) ask_closely(plan, made->id, moment);
    if (tw_fuzz_dice_percent(dice, REPEATED))
        tw_fuzz_at(plan, moment + tw_fuzz_dice_range(dice, 0, 100), "submit %s", made->id);
}

static void draw_job(tw_fuzz_plan *plan) {
    tw_fuzz_dice *dice = &plan->dice;
    job made;
    new_id(plan, &made);
    made.submitted = tw_fuzz_dice_percent(dice, LATE_JOBS)
                         ? tw_fuzz_near(plan, tw_fuzz_anchor(plan))
                         : tw_fuzz_dice_range(dice, FIRST_SUBMISSION, plan->anchor[0]);
    if (made.submitted < FIRST_SUBMISSION) made.submitted = FIRST_SUBMISSION;
    draw_shape(plan, &made);
    draw_amounts(plan, &made);
    draw_place(plan, &made);
    draw_run(plan, &made);
    draw_rest(plan, &made);
    tw_fuzz_at(plan, made.submitted, "submit %s%s", made.id, made.options);
    draw_users(plan, &made);
}

/* Its tasks are there, or come, when an anchor does. */
static void draw_gang(tw_fuzz_plan *plan) {
    tw_fuzz_dice *dice = &plan->dice;
    const int anchor = tw_fuzz_anchor(plan);
    job made;
    new_id(plan, &made);
    made.group = 1;
    made.saving = GANGS_SAVING;
    made.pieces = TW_FUZZ_ONE_OF(dice, 2, 2, 3, 3, 4, 6, 8, 12);
    made.submitted = tw_fuzz_dice_half(dice) ? anchor - tw_fuzz_dice_range(dice, 0, plan->lease)
                                             : tw_fuzz_near(plan, anchor);
    if (made.submitted < FIRST_SUBMISSION) made.submitted = FIRST_SUBMISSION;
    option(&made, " shape=gang tasks=%d", made.pieces);
    draw_amounts(plan, &made);
    draw_place(plan, &made);
    draw_run(plan, &made);
    draw_rest(plan, &made);
    tw_fuzz_at(plan, made.submitted, "submit %s%s", made.id, made.options);
    draw_users(plan, &made);
}

/* Replicas for which gangs may have to make room. */
static void draw_rival(tw_fuzz_plan *plan) {
    tw_fuzz_dice *dice = &plan->dice;
    job made;
    new_id(plan, &made);
    made.submitted = tw_fuzz_near(plan, tw_fuzz_anchor(plan));
    if (made.submitted < FIRST_SUBMISSION) made.submitted = FIRST_SUBMISSION;
    tw_fuzz_at(plan, made.submitted,
               "submit %s shape=service priority=prod tasks=%d cores=%d team=crew-%d", made.id,
               TW_FUZZ_ONE_OF(dice, 1, 2, 4), TW_FUZZ_ONE_OF(dice, 4, 8),
               tw_fuzz_dice_range(dice, 0, plan->teams - 1));
}

void tw_fuzz_draw_gangs(tw_fuzz_plan *plan) {
    tw_fuzz_dice *dice = &plan->dice;
    if (tw_fuzz_dice_percent(dice, GANG_TIMES)) {
        const int wait = plan->lease * TW_FUZZ_ONE_OF(dice, 40, 100, 150, 350) / 100;
        const int peer = plan->lease * TW_FUZZ_ONE_OF(dice, 5, 10, 25, 50) / 100;
        tw_fuzz_day_add(plan->day, "set gang_wait %s", tw_fuzz_seconds_of(wait).text);
        tw_fuzz_day_add(plan->day, "set gang_peer %s", tw_fuzz_seconds_of(peer).text);
    }
    const int count = tw_fuzz_dice_range(dice, GANGS_MIN, GANGS_MAX);
    for (int i = 0; i < count; i++) draw_gang(plan);
    if (tw_fuzz_dice_percent(dice, RIVALS)) draw_rival(plan);
}

/* What all users do for a while, from before an anchor on. */
void tw_fuzz_draw_habits(tw_fuzz_plan *plan) {
    tw_fuzz_dice *dice = &plan->dice;
    const int from = tw_fuzz_dice_range(dice, FIRST_SUBMISSION, plan->anchor[0]);
    const int length = plan->anchor[plan->anchors - 1] - from + plan->cancel;
    const tw_fuzz_seconds lasting = tw_fuzz_seconds_of(length);
    if (tw_fuzz_dice_percent(dice, LOOKING_CLOSELY))
        tw_fuzz_at(plan, from, "closelooks %s", lasting.text);
    if (tw_fuzz_dice_percent(dice, CANCELLING_AT_END))
        tw_fuzz_at(plan, from, "cancelatend %s %s",
                   tw_fuzz_seconds_of(TW_FUZZ_ONE_OF(dice, 20, 50, 100)).text, lasting.text);
    if (tw_fuzz_dice_percent(dice, ASKING_ODDLY))
        tw_fuzz_at(plan, from, "oddrequests %s", lasting.text);
}

void tw_fuzz_draw_jobs(tw_fuzz_plan *plan) {
    const int count = tw_fuzz_dice_range(&plan->dice, JOBS_MIN, JOBS_MAX);
    for (int i = 0; i < count; i++) draw_job(plan);
    if (!tw_fuzz_dice_percent(&plan->dice, ASKED_UNKNOWN)) return;
    job nobodys;
    new_id(plan, &nobodys);
    ask_closely(plan, nobodys.id, tw_fuzz_near(plan, tw_fuzz_anchor(plan)));
}

/* One-task jobs, four a second; a quarter is cancelled soon. */
void tw_fuzz_draw_flood(tw_fuzz_plan *plan) {
    tw_fuzz_dice *dice = &plan->dice;
    const int count = tw_fuzz_dice_range(dice, FLOOD_MIN, FLOOD_MAX);
    const int first = tw_fuzz_dice_range(dice, FIRST_SUBMISSION, plan->anchor[0]);
    for (int i = 0; i < count; i++) {
        job made;
        new_id(plan, &made);
        made.submitted = first + i * FLOOD_STEP;
        const int run = TW_FUZZ_ONE_OF(dice, 20, 50, 100, 300);
        tw_fuzz_at(plan, made.submitted,
                   "submit %s cores=1 image_gb=0.2 team=crew-%d expect=%s run=%s", made.id,
                   tw_fuzz_dice_range(dice, 0, plan->teams - 1), tw_fuzz_seconds_of(run).text,
                   tw_fuzz_seconds_of(run).text);
        if (!tw_fuzz_dice_percent(dice, CANCELLED_IN_FLOOD)) continue;
        const int moment = made.submitted + tw_fuzz_dice_range(dice, 0, run + TW_FUZZ_SECOND);
        tw_fuzz_at(plan, moment, "cancel %s", made.id);
        if (tw_fuzz_dice_percent(dice, ASKED_CLOSELY)) ask_closely(plan, made.id, moment);
    }
}
