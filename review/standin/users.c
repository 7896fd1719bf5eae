/* Users of a review case: they submit and cancel at the times of the case file, repeat what was not
 * answered, and poll. Every request and answer goes to the record. */
#include "review.h"
#include <stdlib.h>
#include <string.h>

#define SUBMIT_TIMEOUT_S 5.0
#define POLL_TIMEOUT_S 2.0
#define RETRY_S 1.0
#define GIVES_UP_S 60.0 /* after which a submission is not repeated */
#define POLL_S 5.0
#define SHORTEST_RUN 0.25
#define LONGEST_RUN 1.75
#define PATH_SIZE 128

typedef struct {
    int index;   /* of the job in the world */
    bool varies; /* see tw_review_action */
    bool cancels;
    bool busy; /* a request is in flight */
    int submissions;
    double next_at;
} review_user;

typedef struct {
    review_user *user;
    int kind;
    double sent_at;
} user_request;

static review_user users[TW_REVIEW_MAX_ACTIONS];
static int user_count;

static tw_simulator_job *job_of(const review_user *user) {
    return review.soak.world.jobs[user->index];
}

static void handle_answer(tw_soak *soak, void *data, int status, const char *body) {
    user_request *request = data;
    review_user *user = request->user;
    tw_simulator_job *job = job_of(user);
    tw_review_note("user %s %c sent=%.2f -> %d %s", job->spec.id, request->kind, request->sent_at,
                   status, body);
    if (status)
        tw_simulator_judge_answer(&soak->world, job, job->spec.id, request->kind, request->sent_at,
                                  status, body);
    user->busy = false;
    if (job->accepted && request->kind == TW_SIMULATOR_SUBMIT)
        user->next_at = soak->world.now + POLL_S;
    free(request);
}

/* Returns the controller for a request. Submissions go to those that don't lead first, as most of
 * them do behind a load balancer. */
static int choose_node(review_user *user, int kind) {
    tw_soak *soak = &review.soak;
    if (kind != TW_SIMULATOR_SUBMIT) return tw_soak_draw_index(soak, soak->plan.nodes);
    return (tw_soak_find_leader(soak) + 1 + user->submissions++) % soak->plan.nodes;
}

static void send_request(review_user *user, int kind) {
    tw_soak *soak = &review.soak;
    const tw_simulator_job *job = job_of(user);
    const bool submits = kind == TW_SIMULATOR_SUBMIT;
    const bool polls = kind == TW_SIMULATOR_POLL;
    char path[PATH_SIZE];
    snprintf(path, sizeof path, "/v1/jobs%s%s%s", submits ? "" : "/", submits ? "" : job->spec.id,
             kind == TW_SIMULATOR_CANCEL ? "/abort" : "");
    user_request *request = tw_simulator_allocate(sizeof *request);
    *request = (user_request){user, kind, soak->world.now};
    user->busy = true;
    user->next_at = soak->world.now + (polls ? POLL_S : RETRY_S);
    char *text = submits ? tw_wire_job_text(&job->spec) : NULL;
    tw_soak_call_node(soak, choose_node(user, kind), TW_SOAK_API_PORT, polls ? "GET" : "POST", path,
                      text ? text : "", polls ? POLL_TIMEOUT_S : SUBMIT_TIMEOUT_S, handle_answer,
                      request);
    free(text);
}

static void begin_submission(const tw_review_action *action) {
    tw_simulator_job *job = tw_simulator_job_new(&review.soak.world, action->id);
    const char *why = "";
    if (tw_wire_job_parse(&job->spec, action->body, strlen(action->body), &why))
        tw_soak_finish(&review.soak, "invalid", why);
    job->run_s = action->run_s;
    job->submitted = 1;
    job->first_submitted_at = review.soak.world.now;
    job->done = tw_simulator_allocate((size_t)job->spec.task_count);
    users[user_count] = (review_user){.index = job->index, .varies = action->varies};
    send_request(&users[user_count++], TW_SIMULATOR_SUBMIT);
}

static void begin_cancellation(const tw_review_action *action) {
    for (int i = 0; i < user_count; i++) {
        tw_simulator_job *job = job_of(&users[i]);
        if (strcmp(job->spec.id, action->id) != 0) continue;
        users[i].cancels = true;
        users[i].next_at = 0;
        job->cancel_requested_at = review.soak.world.now;
    }
}

static void advance_user(review_user *user) {
    const tw_simulator_job *job = job_of(user);
    if (user->busy || review.soak.world.now < user->next_at) return;
    if (!job->accepted && review.soak.world.now > job->first_submitted_at + GIVES_UP_S) return;
    if (!job->accepted)
        send_request(user, TW_SIMULATOR_SUBMIT);
    else if (user->cancels && !job->reported_end)
        send_request(user, TW_SIMULATOR_CANCEL);
    else
        send_request(user, TW_SIMULATOR_POLL);
}

void tw_review_users_tick(void) {
    for (int i = 0; i < review.action_count; i++) {
        tw_review_action *action = &review.actions[i];
        if (action->begun || review.soak.world.now < action->at_s) continue;
        action->begun = true;
        if (action->kind == TW_SIMULATOR_SUBMIT)
            begin_submission(action);
        else if (action->kind == TW_SIMULATOR_CANCEL)
            begin_cancellation(action);
        else
            tw_review_disrupt(action);
    }
    for (int i = 0; i < user_count; i++) advance_user(&users[i]);
}

static bool job_varies(const tw_simulator_job *job) {
    for (int i = 0; i < user_count; i++)
        if (users[i].index == job->index) return users[i].varies;
    return false;
}

void tw_review_vary_run_times(void) {
    tw_simulator_world *world = &review.soak.world;
    for (int i = 0; i < world->worker_count; i++) {
        const tw_simulator_worker *worker = world->workers[i];
        for (int k = 0; k < worker->task_count; k++) {
            tw_simulator_task *task = &worker->tasks[k];
            const bool starts = task->stage == TW_TASK_RUNNING && task->started_at == world->now;
            if (!starts || !task->job || !job_varies(task->job)) continue;
            task->end_at = world->now +
                           task->job->run_s * tw_soak_draw(&review.soak, SHORTEST_RUN, LONGEST_RUN);
        }
    }
}
