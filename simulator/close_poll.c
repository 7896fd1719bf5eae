/* Simulates users that poll and resubmit at every node within milliseconds after a job changed, and
 * users that cancel jobs while they run or when they end. */
#include "simulator_int.h"
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define CANCEL_SHARE                                                                               \
    0.2 /* share of close polls of unfinished jobs that are followed by a cancellation */
#define MAX_CANCEL_DELAY_S 0.03
#define MAX_RUNNING_CANCEL_DELAY_S 0.2
#define MIN_REMAINING_S 5.0
#define MAX_HUNG_MACHINES 8

static const double close_request_delays_s[] = {0, 0.001, 0.003, 0.01, 0.03};
#define CLOSE_REQUESTS_PER_NODE                                                                    \
    (int)(sizeof close_request_delays_s / sizeof *close_request_delays_s)

static void send_close_request(tw_simulator *sim, tw_simulator_event *event) {
    if (!sim->nodes[event->node].alive) return;
    tw_simulator_user_send_to(sim, event->target, event->kind, event->node);
}

static void schedule_close_request(tw_simulator *sim, int job, int node, int kind, double seconds) {
    tw_simulator_event *event = tw_simulator_schedule_after(sim, seconds, send_close_request);
    event->target = job;
    event->node = node;
    event->kind = kind;
}

static void cancel_job(tw_simulator *sim, tw_simulator_event *event) {
    tw_simulator_user_cancel(sim, event->target);
}

static void schedule_cancellation(tw_simulator *sim, int job, int draw, double seconds) {
    tw_simulator_schedule_after(sim, tw_simulator_draw(&sim->world, draw, 0, seconds), cancel_job)
        ->target = job;
}

void tw_simulator_schedule_close_polls(tw_simulator *sim, int job, bool may_cancel) {
    tw_simulator_world *world = &sim->world;
    if (world->now >= sim->faults.close_polls_until) return;
    sim->fault_counts[TW_SIMULATOR_CLOSE_POLLS]++;
    for (int i = 0; i < CLOSE_REQUESTS_PER_NODE; i++)
        for (int node = 0; node < world->node_count; node++)
            schedule_close_request(sim, job, node, TW_SIMULATOR_POLL, close_request_delays_s[i]);
    for (int node = 0; node < world->node_count; node++) {
        int i =
            tw_simulator_draw_index(world, TW_SIMULATOR_DRAW_CLOSE_POLLS, CLOSE_REQUESTS_PER_NODE);
        schedule_close_request(sim, job, node, TW_SIMULATOR_SUBMIT, close_request_delays_s[i]);
    }
    if (may_cancel && tw_simulator_draw(world, TW_SIMULATOR_DRAW_CLOSE_POLLS, 0, 1) < CANCEL_SHARE)
        schedule_cancellation(sim, job, TW_SIMULATOR_DRAW_CLOSE_POLLS, MAX_CANCEL_DELAY_S);
}

void tw_simulator_handle_job_end(void *context, tw_simulator_job *job) {
    tw_simulator *sim = context;
    if (!job->accepted || job->reported_end) return;
    if (tw_simulator_fault_applies(sim, &sim->faults.cancel_at_end, TW_SIMULATOR_CANCEL_AT_END,
                                   TW_SIMULATOR_DRAW_CANCELS))
        tw_simulator_user_cancel(sim, job->index);
    tw_simulator_schedule_close_polls(sim, job->index, true);
}

/* ---- cancellation of running jobs ---- */

/* Returns the index of a machine that runs a task of the job with more than MIN_REMAINING_S of run
 * time left, or -1 if there is none. */
static int find_long_running(const tw_simulator_world *world, const tw_simulator_job *job) {
    for (int i = 0; i < world->worker_count; i++) {
        const tw_simulator_worker *worker = world->workers[i];
        for (int k = 0; k < worker->task_count && !worker->removed; k++) {
            const tw_simulator_task *task = &worker->tasks[k];
            if (task->job == job && task->stage == TW_TASK_RUNNING &&
                task->end_at > world->now + MIN_REMAINING_S)
                return i;
        }
    }
    return -1;
}

/* Executes `cancelnow N [HANG_S]`: cancels up to N jobs with long-running tasks, and hangs some of
 * their machines for HANG_S seconds. */
static void cancel_running_jobs(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_world *world = &sim->world;
    int wanted = tw_simulator_parse_int(words->words[1]), hung_count = 0;
    double hang_s = words->count > 2 ? tw_simulator_parse_number(words->words[2]) : 0;
    int first = world->job_count
                    ? tw_simulator_draw_index(world, TW_SIMULATOR_DRAW_CANCELS, world->job_count)
                    : 0;
    for (int i = 0; i < world->job_count && wanted > 0; i++) {
        tw_simulator_job *job = world->jobs[(first + i) % world->job_count];
        int machine = find_long_running(world, job);
        if (!job->accepted || job->cancel_requested_at > 0 || machine < 0) continue;
        wanted--;
        sim->fault_counts[TW_SIMULATOR_CANCEL_NOW]++;
        schedule_cancellation(sim, job->index, TW_SIMULATOR_DRAW_CANCELS,
                              MAX_RUNNING_CANCEL_DELAY_S);
        if (hang_s > 0 && hung_count++ < MAX_HUNG_MACHINES)
            world->workers[machine]->hung_until =
                fmax(world->workers[machine]->hung_until, world->now + hang_s);
    }
}

static void start_close_polls(tw_simulator *sim, const tw_simulator_words *words) {
    sim->faults.close_polls_until = sim->world.now + tw_simulator_parse_number(words->words[1]);
}

static void start_cancel_at_end(tw_simulator *sim, const tw_simulator_words *words) {
    sim->faults.cancel_at_end.share = tw_simulator_parse_number(words->words[1]);
    sim->faults.cancel_at_end.until = sim->world.now + tw_simulator_parse_number(words->words[2]);
}

static void start_invalid_requests(tw_simulator *sim, const tw_simulator_words *words) {
    bool on = sim->world.now < sim->faults.invalid_requests_until;
    sim->faults.invalid_requests_until =
        sim->world.now + tw_simulator_parse_number(words->words[1]);
    if (!on) tw_simulator_start_invalid_requests(sim);
}

const tw_simulator_command tw_simulator_habit_commands[] = {
    {"closelooks", 2, 1, start_close_polls},
    {"cancelatend", 3, 2, start_cancel_at_end},
    {"cancelnow", 2, 2, cancel_running_jobs},
    {"oddrequests", 2, 1, start_invalid_requests},
    {NULL, 0, 0, NULL}};
