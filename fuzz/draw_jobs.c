/* The jobs of a day and what their users do: submissions, repeats, cancellations, questions at all
 * nodes. */
#include "plan.h"
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

/* Shares in percent. */
enum {
    SERVICES = 30,
    GANGS = 15,
    ON_GPUS = 35,
    ON_SPOT = 30,
    BOUND_TO_TYPE = 10,
    BOUND_TO_ZONE = 20
};
enum {
    SAVING = 30,
    WITH_DEADLINE = 25,
    FAILING = 3,
    ENDS_AT_ANCHOR = 45,
    CANCELLED = 45,
    REPEATED = 25
};
enum { ASKED_CLOSELY = 45, ASKED_UNKNOWN = 15, ASKED_BEFORE = 10, CANCELLED_IN_FLOOD = 25 };
enum { LOOKING_CLOSELY = 25, CANCELLING_AT_END = 15, ASKING_ODDLY = 10 };
enum { JOBS_MIN = 3, JOBS_MAX = 10, FLOOD_MIN = 20, FLOOD_MAX = 80, FLOOD_STEP = 25 };
enum { SINGLE_ZONE_GANGS = 60, SINGLE_ZONE = 15, SPREAD = 25, BIG_IMAGES = 30, LATE_JOBS = 30 };
/* Of days with gangs. */
enum { GANGS_MIN = 1, GANGS_MAX = 4, GANG_TIMES = 60, GANGS_SAVING = 75, COMPETING_SERVICES = 60 };
enum { OPTIONS_SIZE = 300 };
/* Hundredths of a second. */
enum { FIRST_SUBMISSION = 300, FETCH = 100, SHORTEST_RUN = 20, AT_ONCE = 20, AT_THE_END = 50 };
enum { ASKED_BEFORE_BY = 300 };

typedef struct {
    char id[16], options[OPTIONS_SIZE];
    int submitted, run_time, end; /* end: when it ends, about; 0 for a service */
    int service, gang, task_count;
    int saving_percent; /* percent */
} drawn_job;

static void add_option(drawn_job *job, const char *format, int value) {
    const size_t length = strlen(job->options);
    snprintf(job->options + length, sizeof job->options - length, format, value);
}

static void init_job(tw_fuzz_plan *plan, drawn_job *job) {
    memset(job, 0, sizeof *job);
    snprintf(job->id, sizeof job->id, "run-%06d", ++plan->job_count);
    job->saving_percent = SAVING;
}

/* Questions at one node after the other, a hundredth to some tenths of a second apart. */
static void draw_questions(tw_fuzz_plan *plan, const char *id, int moment) {
    const int step = TW_FUZZ_ONE_OF(&plan->dice, 1, 2, 5, 10, 10, 30);
    const int count = tw_fuzz_dice_range(&plan->dice, 4, 16);
    for (int i = 0; i < count; i++) tw_fuzz_add_at(plan, moment + i * step, "poll %s", id);
}

static void draw_shape(tw_fuzz_plan *plan, drawn_job *job) {
    tw_fuzz_dice *dice = &plan->dice;
    const int roll = tw_fuzz_dice_range(dice, 1, 100);
    job->service = roll <= SERVICES;
    job->gang = !job->service && roll <= SERVICES + GANGS;
    job->task_count = job->gang      ? TW_FUZZ_ONE_OF(dice, 2, 2, 3, 4)
                      : job->service ? TW_FUZZ_ONE_OF(dice, 1, 2, 3, 4)
                                     : TW_FUZZ_ONE_OF(dice, 1, 1, 2, 3, 4, 6, 12);
    if (job->service) snprintf(job->options, sizeof job->options, " shape=service");
    if (job->gang) snprintf(job->options, sizeof job->options, " shape=gang");
    add_option(job, " tasks=%d", job->task_count);
}

static void draw_amounts(tw_fuzz_plan *plan, drawn_job *job) {
    tw_fuzz_dice *dice = &plan->dice;
    const bool on_gpus = plan->type_count > 1 && tw_fuzz_dice_percent(dice, ON_GPUS);
    add_option(job, " cores=%d",
               on_gpus ? TW_FUZZ_ONE_OF(dice, 1, 4) : TW_FUZZ_ONE_OF(dice, 1, 2, 4, 8));
    if (on_gpus) add_option(job, " gpus=%d", TW_FUZZ_ONE_OF(dice, 1, 1, 2, 4));
    if (tw_fuzz_dice_percent(dice, BIG_IMAGES))
        add_option(job, " image_gb=%d", TW_FUZZ_ONE_OF(dice, 2, 4));
    add_option(job, " image_name=img-%d", tw_fuzz_dice_range(dice, 1, 3));
    if (!on_gpus && tw_fuzz_dice_percent(dice, BOUND_TO_TYPE)) {
        const size_t length = strlen(job->options);
        const int type = tw_fuzz_dice_range(dice, 0, plan->type_count - 1);
        snprintf(job->options + length, sizeof job->options - length, " machine_type=%s",
                 plan->types[type].name);
    }
}

static void draw_place(tw_fuzz_plan *plan, drawn_job *job) {
    tw_fuzz_dice *dice = &plan->dice;
    const size_t length = strlen(job->options);
    if (tw_fuzz_dice_percent(dice, BOUND_TO_ZONE))
        snprintf(job->options + length, sizeof job->options - length, " zone=%s",
                 tw_fuzz_draw_zone(plan));
    else if (plan->zone_count > 1 && tw_fuzz_dice_percent(dice, SPREAD))
        add_option(job, " spread=%d", 1);
    else if (tw_fuzz_dice_percent(dice, job->gang ? SINGLE_ZONE_GANGS : SINGLE_ZONE))
        add_option(job, " single_zone=%d", 1);
    if (tw_fuzz_dice_percent(dice, ON_SPOT)) add_option(job, " spot=%d", 1);
}

/* How long its tasks run: often until about an anchor. */
static void draw_run(tw_fuzz_plan *plan, drawn_job *job) {
    tw_fuzz_dice *dice = &plan->dice;
    job->run_time = TW_FUZZ_ONE_OF(dice, 30, 100, 200, 500, 1000, 2000, 6000);
    const int start = job->submitted + FETCH;
    if (tw_fuzz_dice_percent(dice, ENDS_AT_ANCHOR)) {
        const int until = tw_fuzz_draw_anchor(plan) - start +
                          tw_fuzz_dice_range(dice, -TW_FUZZ_SECOND, TW_FUZZ_SECOND);
        if (until > SHORTEST_RUN) job->run_time = until;
    }
    job->end = start + job->run_time;
    if (job->service) job->end = 0;
}

static void draw_terms(tw_fuzz_plan *plan, drawn_job *job) {
    static const char *const priorities[] = {"prod", "high", "normal", "idle"};
    tw_fuzz_dice *dice = &plan->dice;
    size_t length = strlen(job->options);
    length += (size_t)snprintf(
        job->options + length, sizeof job->options - length,
        " priority=%s team=crew-%d class=lane-%d", priorities[tw_fuzz_dice_range(dice, 0, 3)],
        tw_fuzz_dice_range(dice, 0, plan->team_count - 1), tw_fuzz_dice_range(dice, 0, 2));
    if (!job->service) {
        const int expected = job->run_time * TW_FUZZ_ONE_OF(dice, 50, 100, 100, 150) / 100;
        snprintf(job->options + length, sizeof job->options - length, " expect=%s run=%s",
                 tw_fuzz_seconds_of(expected).text, tw_fuzz_seconds_of(job->run_time).text);
        if (tw_fuzz_dice_percent(dice, WITH_DEADLINE))
            add_option(job, " deadline=%d",
                       1 + job->run_time * TW_FUZZ_ONE_OF(dice, 150, 300, 600) / 100 /
                               TW_FUZZ_SECOND);
    }
    if (tw_fuzz_dice_percent(dice, job->saving_percent)) {
        add_option(job, " checkpoint=%d", TW_FUZZ_ONE_OF(dice, 1, 5));
        add_option(job, " save=%d", TW_FUZZ_ONE_OF(dice, 1, 3));
    }
    if (tw_fuzz_dice_percent(dice, FAILING)) add_option(job, " fails=%d", 1);
}

/* At once, near an anchor, as it ends, or just then. */
static int draw_cancel_moment(tw_fuzz_plan *plan, const drawn_job *job) {
    tw_fuzz_dice *dice = &plan->dice;
    static const int weights[] = {2, 5, 2, 1};
    int moment = job->submitted;
    switch (tw_fuzz_dice_weighted(dice, weights, sizeof weights / sizeof *weights)) {
    case 0:
        moment += tw_fuzz_dice_range(dice, 0, AT_ONCE);
        break;
    case 1:
        moment = tw_fuzz_draw_moment_near(plan, tw_fuzz_draw_anchor(plan));
        break;
    case 2:
        moment = (job->end ? job->end : tw_fuzz_draw_anchor(plan)) +
                 tw_fuzz_dice_range(dice, -AT_THE_END, AT_THE_END);
        break;
    default:
        moment += tw_fuzz_dice_range(dice, 0, plan->lease);
        break;
    }
    return moment < job->submitted ? job->submitted : moment;
}

static void draw_users(tw_fuzz_plan *plan, const drawn_job *job) {
    tw_fuzz_dice *dice = &plan->dice;
    if (tw_fuzz_dice_percent(dice, ASKED_BEFORE))
        tw_fuzz_add_at(plan, job->submitted - tw_fuzz_dice_range(dice, 0, ASKED_BEFORE_BY),
                       "poll %s", job->id);
    if (tw_fuzz_dice_percent(dice, ASKED_CLOSELY / 2))
        draw_questions(plan, job->id, job->submitted);
    if (job->end && tw_fuzz_dice_percent(dice, ASKED_CLOSELY))
        draw_questions(plan, job->id, job->end);
    if (tw_fuzz_dice_percent(dice, ASKED_CLOSELY / 2))
        draw_questions(plan, job->id, tw_fuzz_draw_moment_near(plan, tw_fuzz_draw_anchor(plan)));
    if (tw_fuzz_dice_percent(dice, REPEATED)) {
        const int count = tw_fuzz_dice_range(dice, 1, 4);
        const int moment = tw_fuzz_draw_moment_near(
            plan, tw_fuzz_dice_half(dice) ? job->submitted : tw_fuzz_draw_anchor(plan));
        for (int i = 0; i < count && moment > job->submitted; i++)
            tw_fuzz_add_at(plan, moment + 2 * i, "submit %s", job->id);
    }
    if (!tw_fuzz_dice_percent(dice, CANCELLED)) return;
    const int moment = draw_cancel_moment(plan, job);
    const int count = TW_FUZZ_ONE_OF(dice, 1, 1, 1, 2, 4);
    for (int i = 0; i < count; i++) tw_fuzz_add_at(plan, moment + i, "cancel %s", job->id);
    if (tw_fuzz_dice_percent(dice, ASKED_CLOSELY)) draw_questions(plan, job->id, moment);
    if (tw_fuzz_dice_percent(dice, REPEATED))
        tw_fuzz_add_at(plan, moment + tw_fuzz_dice_range(dice, 0, 100), "submit %s", job->id);
}

/* Draws what is left of a job whose shape and submission are known, and submits it. */
static void submit_job(tw_fuzz_plan *plan, drawn_job *job) {
    draw_amounts(plan, job);
    draw_place(plan, job);
    draw_run(plan, job);
    draw_terms(plan, job);
    tw_fuzz_add_at(plan, job->submitted, "submit %s%s", job->id, job->options);
    draw_users(plan, job);
}

static void draw_job(tw_fuzz_plan *plan) {
    tw_fuzz_dice *dice = &plan->dice;
    drawn_job job;
    init_job(plan, &job);
    job.submitted = tw_fuzz_dice_percent(dice, LATE_JOBS)
                        ? tw_fuzz_draw_moment_near(plan, tw_fuzz_draw_anchor(plan))
                        : tw_fuzz_dice_range(dice, FIRST_SUBMISSION, plan->anchors[0]);
    if (job.submitted < FIRST_SUBMISSION) job.submitted = FIRST_SUBMISSION;
    draw_shape(plan, &job);
    submit_job(plan, &job);
}

/* Its tasks are there, or come, when an anchor does. */
static void draw_gang(tw_fuzz_plan *plan) {
    tw_fuzz_dice *dice = &plan->dice;
    const int anchor = tw_fuzz_draw_anchor(plan);
    drawn_job job;
    init_job(plan, &job);
    job.gang = 1;
    job.saving_percent = GANGS_SAVING;
    job.task_count = TW_FUZZ_ONE_OF(dice, 2, 2, 3, 3, 4, 6, 8, 12);
    job.submitted = tw_fuzz_dice_half(dice) ? anchor - tw_fuzz_dice_range(dice, 0, plan->lease)
                                            : tw_fuzz_draw_moment_near(plan, anchor);
    if (job.submitted < FIRST_SUBMISSION) job.submitted = FIRST_SUBMISSION;
    add_option(&job, " shape=gang tasks=%d", job.task_count);
    submit_job(plan, &job);
}

/* Replicas for which gangs may have to make room. */
static void draw_competing_service(tw_fuzz_plan *plan) {
    tw_fuzz_dice *dice = &plan->dice;
    drawn_job job;
    init_job(plan, &job);
    job.submitted = tw_fuzz_draw_moment_near(plan, tw_fuzz_draw_anchor(plan));
    if (job.submitted < FIRST_SUBMISSION) job.submitted = FIRST_SUBMISSION;
    tw_fuzz_add_at(plan, job.submitted,
                   "submit %s shape=service priority=prod tasks=%d cores=%d team=crew-%d", job.id,
                   TW_FUZZ_ONE_OF(dice, 1, 2, 4), TW_FUZZ_ONE_OF(dice, 4, 8),
                   tw_fuzz_dice_range(dice, 0, plan->team_count - 1));
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
    if (tw_fuzz_dice_percent(dice, COMPETING_SERVICES)) draw_competing_service(plan);
}

/* What all users do for a while, from before an anchor on. */
void tw_fuzz_draw_habits(tw_fuzz_plan *plan) {
    tw_fuzz_dice *dice = &plan->dice;
    const int from = tw_fuzz_dice_range(dice, FIRST_SUBMISSION, plan->anchors[0]);
    const int length = plan->anchors[plan->anchor_count - 1] - from + plan->cancel;
    const tw_fuzz_seconds lasting = tw_fuzz_seconds_of(length);
    if (tw_fuzz_dice_percent(dice, LOOKING_CLOSELY))
        tw_fuzz_add_at(plan, from, "closelooks %s", lasting.text);
    if (tw_fuzz_dice_percent(dice, CANCELLING_AT_END))
        tw_fuzz_add_at(plan, from, "cancelatend %s %s",
                       tw_fuzz_seconds_of(TW_FUZZ_ONE_OF(dice, 20, 50, 100)).text, lasting.text);
    if (tw_fuzz_dice_percent(dice, ASKING_ODDLY))
        tw_fuzz_add_at(plan, from, "oddrequests %s", lasting.text);
}

void tw_fuzz_draw_jobs(tw_fuzz_plan *plan) {
    const int count = tw_fuzz_dice_range(&plan->dice, JOBS_MIN, JOBS_MAX);
    for (int i = 0; i < count; i++) draw_job(plan);
    if (!tw_fuzz_dice_percent(&plan->dice, ASKED_UNKNOWN)) return;
    drawn_job unknown_job;
    init_job(plan, &unknown_job);
    draw_questions(plan, unknown_job.id, tw_fuzz_draw_moment_near(plan, tw_fuzz_draw_anchor(plan)));
}

/* One-task jobs, four a second; a quarter is cancelled soon. */
void tw_fuzz_draw_flood(tw_fuzz_plan *plan) {
    tw_fuzz_dice *dice = &plan->dice;
    const int count = tw_fuzz_dice_range(dice, FLOOD_MIN, FLOOD_MAX);
    const int first = tw_fuzz_dice_range(dice, FIRST_SUBMISSION, plan->anchors[0]);
    for (int i = 0; i < count; i++) {
        drawn_job job;
        init_job(plan, &job);
        job.submitted = first + i * FLOOD_STEP;
        const int run = TW_FUZZ_ONE_OF(dice, 20, 50, 100, 300);
        tw_fuzz_add_at(plan, job.submitted,
                       "submit %s cores=1 image_gb=0.2 team=crew-%d expect=%s run=%s", job.id,
                       tw_fuzz_dice_range(dice, 0, plan->team_count - 1),
                       tw_fuzz_seconds_of(run).text, tw_fuzz_seconds_of(run).text);
        if (!tw_fuzz_dice_percent(dice, CANCELLED_IN_FLOOD)) continue;
        const int moment = job.submitted + tw_fuzz_dice_range(dice, 0, run + TW_FUZZ_SECOND);
        tw_fuzz_add_at(plan, moment, "cancel %s", job.id);
        if (tw_fuzz_dice_percent(dice, ASKED_CLOSELY)) draw_questions(plan, job.id, moment);
    }
}
