/* Generates the jobs of a day and the requests of their users: submissions, repeated submissions,
 * cancellations, and polls that go to all nodes in turn. */
#include "plan.h"
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

/* Percentages of jobs with these properties, except UNKNOWN_JOB_POLLED, a percentage of days. */
enum {
    SERVICES = 30,
    GANGS = 15,
    ON_GPUS = 35,
    ON_SPOT = 30,
    BOUND_TO_TYPE = 10,
    BOUND_TO_ZONE = 20
};
enum {
    CHECKPOINTING = 30,
    WITH_DEADLINE = 25,
    FAILING = 3,
    ENDING_NEAR_ANCHOR = 45,
    CANCELLED = 45,
    RESUBMITTED = 25
};
enum {
    POLLED_CLOSELY = 45,
    UNKNOWN_JOB_POLLED = 15,
    POLLED_BEFORE_SUBMISSION = 10,
    CANCELLED_IN_FLOOD = 25
};
/* Percentages of days with these kinds of user requests. */
enum { CLOSE_POLLING = 25, CANCELLATION_AT_END = 15, INVALID_REQUESTS = 10 };
/* Numbers of jobs of a day, and hundredths of a second between the jobs of a flood. */
enum { JOBS_MIN = 3, JOBS_MAX = 10, FLOOD_MIN = 20, FLOOD_MAX = 80, FLOOD_INTERVAL = 25 };
/* Percentages of jobs or gangs with these properties. */
enum { SINGLE_ZONE_GANGS = 60, SINGLE_ZONE = 15, SPREAD = 25, LARGE_IMAGES = 30, LATE_JOBS = 30 };
/* Days with gangs: number of gangs, and percentages of days or gangs. */
enum {
    GANGS_MIN = 1,
    GANGS_MAX = 4,
    GANG_TIMEOUTS = 60,
    GANGS_CHECKPOINTING = 75,
    COMPETING_SERVICES = 60
};
enum { OPTIONS_SIZE = 300 };
/* Times and durations in hundredths of a second. */
enum {
    FIRST_SUBMISSION = 300,
    IMAGE_FETCH = 100,
    RUN_TIME_MIN = 20,
    CANCELLED_SOON_MAX = 20,
    CANCELLED_AROUND_END = 50
};
enum { POLLED_BEFORE_MAX = 300 };

typedef struct {
    char id[16], options[OPTIONS_SIZE];
    int submitted_at, run_time, ends_at; /* ends_at is approximate, and 0 for a service */
    int service, gang, task_count;
    int checkpoint_percent; /* probability that the job saves checkpoints */
} drawn_job;

static void add_option(drawn_job *job, const char *format, int value) {
    const size_t length = strlen(job->options);
    snprintf(job->options + length, sizeof job->options - length, format, value);
}

static void init_job(tw_fuzz_plan *plan, drawn_job *job) {
    memset(job, 0, sizeof *job);
    snprintf(job->id, sizeof job->id, "run-%06d", ++plan->job_count);
    job->checkpoint_percent = CHECKPOINTING;
}

/* Adds polls that go to one node after the other, 0.01 to 0.3 s apart. */
static void draw_polls(tw_fuzz_plan *plan, const char *id, int moment) {
    const int interval = TW_FUZZ_ONE_OF(&plan->rng, 1, 2, 5, 10, 10, 30);
    const int count = tw_fuzz_rng_range(&plan->rng, 4, 16);
    for (int i = 0; i < count; i++) tw_fuzz_add_event(plan, moment + i * interval, "poll %s", id);
}

static void draw_job_shape(tw_fuzz_plan *plan, drawn_job *job) {
    tw_fuzz_rng *rng = &plan->rng;
    const int shape_percentile = tw_fuzz_rng_range(rng, 1, 100);
    job->service = shape_percentile <= SERVICES;
    job->gang = !job->service && shape_percentile <= SERVICES + GANGS;
    job->task_count = job->gang      ? TW_FUZZ_ONE_OF(rng, 2, 2, 3, 4)
                      : job->service ? TW_FUZZ_ONE_OF(rng, 1, 2, 3, 4)
                                     : TW_FUZZ_ONE_OF(rng, 1, 1, 2, 3, 4, 6, 12);
    if (job->service) snprintf(job->options, sizeof job->options, " shape=service");
    if (job->gang) snprintf(job->options, sizeof job->options, " shape=gang");
    add_option(job, " tasks=%d", job->task_count);
}

static void draw_resources(tw_fuzz_plan *plan, drawn_job *job) {
    tw_fuzz_rng *rng = &plan->rng;
    const bool on_gpus = plan->type_count > 1 && tw_fuzz_rng_percent(rng, ON_GPUS);
    add_option(job, " cores=%d",
               on_gpus ? TW_FUZZ_ONE_OF(rng, 1, 4) : TW_FUZZ_ONE_OF(rng, 1, 2, 4, 8));
    if (on_gpus) add_option(job, " gpus=%d", TW_FUZZ_ONE_OF(rng, 1, 1, 2, 4));
    if (tw_fuzz_rng_percent(rng, LARGE_IMAGES))
        add_option(job, " image_gb=%d", TW_FUZZ_ONE_OF(rng, 2, 4));
    add_option(job, " image_name=img-%d", tw_fuzz_rng_range(rng, 1, 3));
    if (!on_gpus && tw_fuzz_rng_percent(rng, BOUND_TO_TYPE)) {
        const size_t length = strlen(job->options);
        const int type = tw_fuzz_rng_range(rng, 0, plan->type_count - 1);
        snprintf(job->options + length, sizeof job->options - length, " machine_type=%s",
                 plan->types[type].name);
    }
}

static void draw_placement_constraints(tw_fuzz_plan *plan, drawn_job *job) {
    tw_fuzz_rng *rng = &plan->rng;
    const size_t length = strlen(job->options);
    if (tw_fuzz_rng_percent(rng, BOUND_TO_ZONE))
        snprintf(job->options + length, sizeof job->options - length, " zone=%s",
                 tw_fuzz_draw_zone(plan));
    else if (plan->zone_count > 1 && tw_fuzz_rng_percent(rng, SPREAD))
        add_option(job, " spread=%d", 1);
    else if (tw_fuzz_rng_percent(rng, job->gang ? SINGLE_ZONE_GANGS : SINGLE_ZONE))
        add_option(job, " single_zone=%d", 1);
    if (tw_fuzz_rng_percent(rng, ON_SPOT)) add_option(job, " spot=%d", 1);
}

/* Draws how long the tasks of the job run, often until a time near an anchor. */
static void draw_run_time(tw_fuzz_plan *plan, drawn_job *job) {
    tw_fuzz_rng *rng = &plan->rng;
    job->run_time = TW_FUZZ_ONE_OF(rng, 30, 100, 200, 500, 1000, 2000, 6000);
    const int start = job->submitted_at + IMAGE_FETCH;
    if (tw_fuzz_rng_percent(rng, ENDING_NEAR_ANCHOR)) {
        const int until = tw_fuzz_draw_anchor(plan) - start +
                          tw_fuzz_rng_range(rng, -TW_FUZZ_SECOND, TW_FUZZ_SECOND);
        if (until > RUN_TIME_MIN) job->run_time = until;
    }
    job->ends_at = start + job->run_time;
    if (job->service) job->ends_at = 0;
}

static void draw_scheduling_options(tw_fuzz_plan *plan, drawn_job *job) {
    static const char *const priorities[] = {"prod", "high", "normal", "idle"};
    tw_fuzz_rng *rng = &plan->rng;
    size_t length = strlen(job->options);
    length += (size_t)snprintf(
        job->options + length, sizeof job->options - length,
        " priority=%s team=crew-%d class=lane-%d", priorities[tw_fuzz_rng_range(rng, 0, 3)],
        tw_fuzz_rng_range(rng, 0, plan->team_count - 1), tw_fuzz_rng_range(rng, 0, 2));
    if (!job->service) {
        const int expected = job->run_time * TW_FUZZ_ONE_OF(rng, 50, 100, 100, 150) / 100;
        snprintf(job->options + length, sizeof job->options - length, " expect=%s run=%s",
                 tw_fuzz_format_seconds(expected).text, tw_fuzz_format_seconds(job->run_time).text);
        if (tw_fuzz_rng_percent(rng, WITH_DEADLINE))
            add_option(job, " deadline=%d",
                       1 + job->run_time * TW_FUZZ_ONE_OF(rng, 150, 300, 600) / 100 /
                               TW_FUZZ_SECOND);
    }
    if (tw_fuzz_rng_percent(rng, job->checkpoint_percent)) {
        add_option(job, " checkpoint=%d", TW_FUZZ_ONE_OF(rng, 1, 5));
        add_option(job, " save=%d", TW_FUZZ_ONE_OF(rng, 1, 3));
    }
    if (tw_fuzz_rng_percent(rng, FAILING)) add_option(job, " fails=%d", 1);
}

/* Draws a time for the cancellation: right after the submission, near an anchor, near the end of
 * the job, or within a lease of the submission. */
static int draw_cancel_moment(tw_fuzz_plan *plan, const drawn_job *job) {
    tw_fuzz_rng *rng = &plan->rng;
    static const int weights[] = {2, 5, 2, 1};
    int moment = job->submitted_at;
    switch (tw_fuzz_rng_weighted(rng, weights, sizeof weights / sizeof *weights)) {
    case 0:
        moment += tw_fuzz_rng_range(rng, 0, CANCELLED_SOON_MAX);
        break;
    case 1:
        moment = tw_fuzz_draw_moment_near(plan, tw_fuzz_draw_anchor(plan));
        break;
    case 2:
        moment = (job->ends_at ? job->ends_at : tw_fuzz_draw_anchor(plan)) +
                 tw_fuzz_rng_range(rng, -CANCELLED_AROUND_END, CANCELLED_AROUND_END);
        break;
    default:
        moment += tw_fuzz_rng_range(rng, 0, plan->lease);
        break;
    }
    return moment < job->submitted_at ? job->submitted_at : moment;
}

static void draw_user_requests(tw_fuzz_plan *plan, const drawn_job *job) {
    tw_fuzz_rng *rng = &plan->rng;
    if (tw_fuzz_rng_percent(rng, POLLED_BEFORE_SUBMISSION))
        tw_fuzz_add_event(plan, job->submitted_at - tw_fuzz_rng_range(rng, 0, POLLED_BEFORE_MAX),
                          "poll %s", job->id);
    if (tw_fuzz_rng_percent(rng, POLLED_CLOSELY / 2)) draw_polls(plan, job->id, job->submitted_at);
    if (job->ends_at && tw_fuzz_rng_percent(rng, POLLED_CLOSELY))
        draw_polls(plan, job->id, job->ends_at);
    if (tw_fuzz_rng_percent(rng, POLLED_CLOSELY / 2))
        draw_polls(plan, job->id, tw_fuzz_draw_moment_near(plan, tw_fuzz_draw_anchor(plan)));
    if (tw_fuzz_rng_percent(rng, RESUBMITTED)) {
        const int count = tw_fuzz_rng_range(rng, 1, 4);
        const int moment = tw_fuzz_draw_moment_near(
            plan, tw_fuzz_rng_half(rng) ? job->submitted_at : tw_fuzz_draw_anchor(plan));
        for (int i = 0; i < count && moment > job->submitted_at; i++)
            tw_fuzz_add_event(plan, moment + 2 * i, "submit %s", job->id);
    }
    if (!tw_fuzz_rng_percent(rng, CANCELLED)) return;
    const int moment = draw_cancel_moment(plan, job);
    const int count = TW_FUZZ_ONE_OF(rng, 1, 1, 1, 2, 4);
    for (int i = 0; i < count; i++) tw_fuzz_add_event(plan, moment + i, "cancel %s", job->id);
    if (tw_fuzz_rng_percent(rng, POLLED_CLOSELY)) draw_polls(plan, job->id, moment);
    if (tw_fuzz_rng_percent(rng, RESUBMITTED))
        tw_fuzz_add_event(plan, moment + tw_fuzz_rng_range(rng, 0, 100), "submit %s", job->id);
}

/* Draws the remaining options of a job whose shape and submission time are set, and adds the lines
 * that submit it and the requests of its user. */
static void complete_and_submit(tw_fuzz_plan *plan, drawn_job *job) {
    draw_resources(plan, job);
    draw_placement_constraints(plan, job);
    draw_run_time(plan, job);
    draw_scheduling_options(plan, job);
    tw_fuzz_add_event(plan, job->submitted_at, "submit %s%s", job->id, job->options);
    draw_user_requests(plan, job);
}

static void draw_job(tw_fuzz_plan *plan) {
    tw_fuzz_rng *rng = &plan->rng;
    drawn_job job;
    init_job(plan, &job);
    job.submitted_at = tw_fuzz_rng_percent(rng, LATE_JOBS)
                           ? tw_fuzz_draw_moment_near(plan, tw_fuzz_draw_anchor(plan))
                           : tw_fuzz_rng_range(rng, FIRST_SUBMISSION, plan->anchors[0]);
    if (job.submitted_at < FIRST_SUBMISSION) job.submitted_at = FIRST_SUBMISSION;
    draw_job_shape(plan, &job);
    complete_and_submit(plan, &job);
}

/* Adds a gang that is submitted up to a lease before an anchor, or near it, so that its tasks are
 * placed or waiting when the faults occur. */
static void draw_gang(tw_fuzz_plan *plan) {
    tw_fuzz_rng *rng = &plan->rng;
    const int anchor = tw_fuzz_draw_anchor(plan);
    drawn_job job;
    init_job(plan, &job);
    job.gang = 1;
    job.checkpoint_percent = GANGS_CHECKPOINTING;
    job.task_count = TW_FUZZ_ONE_OF(rng, 2, 2, 3, 3, 4, 6, 8, 12);
    job.submitted_at = tw_fuzz_rng_half(rng) ? anchor - tw_fuzz_rng_range(rng, 0, plan->lease)
                                             : tw_fuzz_draw_moment_near(plan, anchor);
    if (job.submitted_at < FIRST_SUBMISSION) job.submitted_at = FIRST_SUBMISSION;
    add_option(&job, " shape=gang tasks=%d", job.task_count);
    complete_and_submit(plan, &job);
}

/* Adds a service of high priority whose replicas may preempt gangs. */
static void draw_competing_service(tw_fuzz_plan *plan) {
    tw_fuzz_rng *rng = &plan->rng;
    drawn_job job;
    init_job(plan, &job);
    job.submitted_at = tw_fuzz_draw_moment_near(plan, tw_fuzz_draw_anchor(plan));
    if (job.submitted_at < FIRST_SUBMISSION) job.submitted_at = FIRST_SUBMISSION;
    tw_fuzz_add_event(plan, job.submitted_at,
                      "submit %s shape=service priority=prod tasks=%d cores=%d team=crew-%d",
                      job.id, TW_FUZZ_ONE_OF(rng, 1, 2, 4), TW_FUZZ_ONE_OF(rng, 4, 8),
                      tw_fuzz_rng_range(rng, 0, plan->team_count - 1));
}

void tw_fuzz_draw_gangs(tw_fuzz_plan *plan) {
    tw_fuzz_rng *rng = &plan->rng;
    if (tw_fuzz_rng_percent(rng, GANG_TIMEOUTS)) {
        const int wait_timeout = plan->lease * TW_FUZZ_ONE_OF(rng, 40, 100, 150, 350) / 100;
        const int peer_timeout = plan->lease * TW_FUZZ_ONE_OF(rng, 5, 10, 25, 50) / 100;
        tw_fuzz_day_add(plan->day, "set gang_wait %s", tw_fuzz_format_seconds(wait_timeout).text);
        tw_fuzz_day_add(plan->day, "set gang_peer %s", tw_fuzz_format_seconds(peer_timeout).text);
    }
    const int count = tw_fuzz_rng_range(rng, GANGS_MIN, GANGS_MAX);
    for (int i = 0; i < count; i++) draw_gang(plan);
    if (tw_fuzz_rng_percent(rng, COMPETING_SERVICES)) draw_competing_service(plan);
}

/* Adds lines that change the requests of all users for a period that starts before the first
 * anchor and ends after the last. */
void tw_fuzz_draw_user_behavior(tw_fuzz_plan *plan) {
    tw_fuzz_rng *rng = &plan->rng;
    const int from = tw_fuzz_rng_range(rng, FIRST_SUBMISSION, plan->anchors[0]);
    const int length = plan->anchors[plan->anchor_count - 1] - from + plan->cancel;
    const tw_fuzz_word duration = tw_fuzz_format_seconds(length);
    if (tw_fuzz_rng_percent(rng, CLOSE_POLLING))
        tw_fuzz_add_event(plan, from, "closelooks %s", duration.text);
    if (tw_fuzz_rng_percent(rng, CANCELLATION_AT_END))
        tw_fuzz_add_event(plan, from, "cancelatend %s %s",
                          tw_fuzz_format_seconds(TW_FUZZ_ONE_OF(rng, 20, 50, 100)).text,
                          duration.text);
    if (tw_fuzz_rng_percent(rng, INVALID_REQUESTS))
        tw_fuzz_add_event(plan, from, "oddrequests %s", duration.text);
}

void tw_fuzz_draw_jobs(tw_fuzz_plan *plan) {
    const int count = tw_fuzz_rng_range(&plan->rng, JOBS_MIN, JOBS_MAX);
    for (int i = 0; i < count; i++) draw_job(plan);
    if (!tw_fuzz_rng_percent(&plan->rng, UNKNOWN_JOB_POLLED)) return;
    drawn_job unknown_job;
    init_job(plan, &unknown_job);
    draw_polls(plan, unknown_job.id, tw_fuzz_draw_moment_near(plan, tw_fuzz_draw_anchor(plan)));
}

/* Adds jobs of one task each, four per second, a quarter of which are cancelled soon. */
void tw_fuzz_draw_flood(tw_fuzz_plan *plan) {
    tw_fuzz_rng *rng = &plan->rng;
    const int count = tw_fuzz_rng_range(rng, FLOOD_MIN, FLOOD_MAX);
    const int first = tw_fuzz_rng_range(rng, FIRST_SUBMISSION, plan->anchors[0]);
    for (int i = 0; i < count; i++) {
        drawn_job job;
        init_job(plan, &job);
        job.submitted_at = first + i * FLOOD_INTERVAL;
        const int run = TW_FUZZ_ONE_OF(rng, 20, 50, 100, 300);
        tw_fuzz_add_event(plan, job.submitted_at,
                          "submit %s cores=1 image_gb=0.2 team=crew-%d expect=%s run=%s", job.id,
                          tw_fuzz_rng_range(rng, 0, plan->team_count - 1),
                          tw_fuzz_format_seconds(run).text, tw_fuzz_format_seconds(run).text);
        if (!tw_fuzz_rng_percent(rng, CANCELLED_IN_FLOOD)) continue;
        const int moment = job.submitted_at + tw_fuzz_rng_range(rng, 0, run + TW_FUZZ_SECOND);
        tw_fuzz_add_event(plan, moment, "cancel %s", job.id);
        if (tw_fuzz_rng_percent(rng, POLLED_CLOSELY)) draw_polls(plan, job.id, moment);
    }
}
