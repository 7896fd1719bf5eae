/* Sends redundant and invalid requests: repeated submissions of unfinished jobs with the same or
 * with changed fields, cancellations of jobs that are done, submissions of jobs that fit no machine
 * or lack a field, and polls of jobs that nobody submitted. */
#include "simulator_int.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MIN_INTERVAL_S 0.2
#define MAX_INTERVAL_S 0.8
#define FIRST_INVALID_JOB_NUMBER 900000
#define IMPOSSIBLE_AMOUNT 1e6

static int draw_index(tw_simulator *sim, int count) {
    return tw_simulator_draw_index(&sim->world, TW_SIMULATOR_DRAW_INVALID_REQUESTS, count);
}

/* Returns a random accepted job whose reported state is `final_state` (0: no final state was
 * reported), or NULL if there is none. */
static tw_simulator_job *pick_job(tw_simulator *sim, int final_state) {
    tw_simulator_world *world = &sim->world;
    int first = world->job_count ? draw_index(sim, world->job_count) : 0;
    for (int i = 0; i < world->job_count; i++) {
        tw_simulator_job *job = world->jobs[(first + i) % world->job_count];
        if (job->submitted && job->accepted && job->reported_end == final_state) return job;
    }
    return NULL;
}

static void repeat_submission(tw_simulator *sim) {
    const tw_simulator_job *job = pick_job(sim, 0);
    if (job) tw_simulator_user_send_to(sim, job->index, TW_SIMULATOR_SUBMIT, -1);
}

static void repeat_with_other_fields(tw_simulator *sim) {
    const tw_simulator_job *job = pick_job(sim, 0);
    if (!job) return;
    tw_wire_job spec = job->spec;
    switch (draw_index(sim, 4)) {
    case 0:
        spec.task_count++;
        break;
    case 1:
        spec.priority = (spec.priority + 1) % (TW_PRIORITY_PROD + 1);
        break;
    case 2:
        spec.service = !spec.service;
        spec.expected_run_s = spec.service ? 0 : 1;
        break;
    default:
        spec.cores /= 2;
    }
    tw_simulator_user_submit_changed(sim, job->index, &spec);
}

static void cancel_done_job(tw_simulator *sim) {
    const tw_simulator_job *job = pick_job(sim, TW_JOB_DONE);
    if (job) tw_simulator_user_send_to(sim, job->index, TW_SIMULATOR_CANCEL, -1);
}

static tw_wire_job make_unsubmitted_job(tw_simulator *sim) {
    tw_wire_job spec = {.job_class = "lane",
                        .image = "img-1",
                        .priority = TW_PRIORITY_HIGH,
                        .task_count = 1,
                        .cores = 1,
                        .memory_gb = 1,
                        .image_gb = 1,
                        .machine_type_count = -1,
                        .expected_run_s = 10,
                        .deadline_s = -1};
    snprintf(spec.id, sizeof spec.id, "run-%06d",
             FIRST_INVALID_JOB_NUMBER + sim->next_invalid_job++);
    if (sim->world.team_count)
        snprintf(spec.team, sizeof spec.team, "%s", sim->world.teams[0].name);
    return spec;
}

static void submit_impossible(tw_simulator *sim) {
    tw_wire_job spec = make_unsubmitted_job(sim);
    switch (draw_index(sim, 3)) {
    case 0:
        spec.cores = IMPOSSIBLE_AMOUNT;
        break;
    case 1:
        spec.memory_gb = IMPOSSIBLE_AMOUNT;
        break;
    default:
        snprintf(spec.team, sizeof spec.team, "nobody");
    }
    tw_simulator_user_send_invalid(sim, spec.id, TW_SIMULATOR_SUBMIT, tw_simulator_job_text(&spec),
                                   TW_SIMULATOR_UNPROCESSABLE);
}

static void submit_without_field(tw_simulator *sim) {
    static const char *const needed[] = {"lane",   "crew",  "shape",    "rank",
                                         "pieces", "cores", "memoryGb", "bundle"};
    tw_wire_job spec = make_unsubmitted_job(sim);
    char *text = tw_simulator_job_text(&spec);
    cJSON *object = cJSON_Parse(text);
    cJSON_DeleteItemFromObjectCaseSensitive(
        object, needed[draw_index(sim, sizeof needed / sizeof *needed)]);
    free(text);
    tw_simulator_user_send_invalid(sim, spec.id, TW_SIMULATOR_SUBMIT,
                                   tw_simulator_json_print(object), TW_SIMULATOR_MALFORMED);
}

static void poll_unknown_job(tw_simulator *sim) {
    tw_wire_job spec = make_unsubmitted_job(sim);
    tw_simulator_user_send_invalid(sim, spec.id, TW_SIMULATOR_POLL, NULL, TW_SIMULATOR_NOT_FOUND);
}

static void send_invalid_request(tw_simulator *sim, tw_simulator_event *event) {
    static void (*const kinds[])(tw_simulator *) = {repeat_submission,    repeat_with_other_fields,
                                                    cancel_done_job,      submit_impossible,
                                                    submit_without_field, poll_unknown_job};
    if (sim->world.now >= sim->faults.invalid_requests_until) return;
    sim->fault_counts[TW_SIMULATOR_INVALID_REQUESTS]++;
    kinds[draw_index(sim, sizeof kinds / sizeof *kinds)](sim);
    tw_simulator_reschedule_after(sim, event,
                                  tw_simulator_draw(&sim->world, TW_SIMULATOR_DRAW_INVALID_REQUESTS,
                                                    MIN_INTERVAL_S, MAX_INTERVAL_S));
}

void tw_simulator_start_invalid_requests(tw_simulator *sim) {
    tw_simulator_schedule_after(sim, 0, send_invalid_request);
}
