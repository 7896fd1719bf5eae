/* Tests the gangs of the simulated workers: how the tasks of an attempt start, complete, fail and
 * save a checkpoint together. No controller runs; the tests send the commands. */
#include "world.h"
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP_S 0.05
#define MACHINES 4
#define TASKS 3
#define LEASE_S 1000.0
#define GANG_WAIT_S 30.0
#define GANG_PEER_S 5.0
#define RUN_S 50.0
#define CHECKPOINT_S 20.0
#define SAVE_S 2.0
#define JOB_ID "run-000001"

static int failures;

static void check(bool holds, const char *what) {
    if (holds) return;
    printf("FAIL sim gang: %s\n", what);
    failures++;
}

/* ---- fixture: four machines, two in each zone, and a gang of three tasks ---- */

typedef struct {
    tw_simulator_world world;
    tw_simulator_job *job;
} gang_fixture;

static void init_fixture(gang_fixture *fixture) {
    tw_simulator_world *world = &fixture->world;
    tw_simulator_world_init(world);
    world->node_count = 1;
    world->lease_s = LEASE_S;
    world->gang_wait_s = GANG_WAIT_S;
    world->gang_peer_s = GANG_PEER_S;
    world->type_count = 1;
    world->types[0] =
        (tw_wire_machine_type){.name = "cpu", .cores = 4, .memory_gb = 16, .fetch_gb_s = 1};
    world->team_count = 1;
    strcpy(world->teams[0].name, "crew");
    for (int i = 0; i < MACHINES; i++) {
        tw_simulator_worker *worker =
            tw_simulator_add_machine(world, 0, i < MACHINES / 2 ? "a" : "b", 0, 0);
        worker->up = 1;
        worker->incarnation = 1;
        worker->slowdown = 1;
    }
    world->now = 1;
    fixture->job = tw_simulator_job_new(world, JOB_ID);
    tw_wire_job *spec = &fixture->job->spec;
    strcpy(spec->job_class, "lane");
    strcpy(spec->team, "crew");
    strcpy(spec->image, "image");
    spec->gang = 1;
    spec->task_count = TASKS;
    spec->cores = 1;
    spec->memory_gb = 1;
    spec->checkpoint_s = CHECKPOINT_S;
    spec->save_s = SAVE_S;
    fixture->job->run_s = RUN_S;
    fixture->job->submitted = fixture->job->accepted = 1;
    fixture->job->done = tw_simulator_allocate(TASKS);
}

/* Checks that the judge found the violation of `rule` ("": none) and frees the world. */
static void finish_fixture(gang_fixture *fixture, const char *rule, const char *what) {
    if (strcmp(fixture->world.rule, rule) != 0) printf("%s\n", fixture->world.detail);
    check(!strcmp(fixture->world.rule, rule), what);
    tw_simulator_world_free(&fixture->world);
}

static void advance(gang_fixture *fixture, double seconds) {
    int steps = (int)lround(seconds / STEP_S);
    for (int step = 0; step < steps; step++) {
        fixture->world.now += STEP_S;
        tw_simulator_gangs_advance(&fixture->world);
        for (int i = 0; i < MACHINES; i++)
            tw_simulator_worker_advance(&fixture->world, fixture->world.workers[i]);
        tw_simulator_judge_cancelled_tasks(&fixture->world);
    }
}

static void send_command(gang_fixture *fixture, int machine, const char *verb, int index,
                         int attempt, double grace_s) {
    char body[256], *answer = NULL;
    snprintf(body, sizeof body,
             "{\"baton\":1,\"shift\":%d,\"orders\":[{\"verb\":\"%s\",\"piece\":\"" JOB_ID
             "/%d\",\"try\":%d,\"mercyS\":%g}]}",
             (int)fixture->world.workers[machine]->incarnation, verb, index, attempt, grace_s);
    int status = tw_simulator_worker_handle_request(
        &fixture->world, fixture->world.workers[machine], "POST", "/orders", body, &answer);
    check(status == TW_SIMULATOR_OK, "a command is refused");
    free(answer);
}

static void launch(gang_fixture *fixture, int machine, int index, int attempt) {
    send_command(fixture, machine, "launch", index, attempt, 0);
}

static void stop(gang_fixture *fixture, int machine, int index, int attempt, double grace_s) {
    send_command(fixture, machine, "kill", index, attempt, grace_s);
}

/* Launches task i of an attempt on machine i, for all tasks. */
static void launch_all(gang_fixture *fixture, int attempt) {
    for (int i = 0; i < TASKS; i++) launch(fixture, i, i, attempt);
}

static void launch_and_run(gang_fixture *fixture, double seconds) {
    launch_all(fixture, 1);
    advance(fixture, STEP_S); /* the tasks begin to wait for each other */
    advance(fixture, STEP_S); /* the gang starts */
    advance(fixture, seconds);
}

static const tw_simulator_task *find_task(const gang_fixture *fixture, int machine, int attempt) {
    const tw_simulator_worker *worker = fixture->world.workers[machine];
    for (int i = 0; i < worker->task_count; i++)
        if (worker->tasks[i].attempt == (uint64_t)attempt) return &worker->tasks[i];
    return NULL;
}

static bool task_is_in(const gang_fixture *fixture, int machine, int attempt, int stage) {
    const tw_simulator_task *task = find_task(fixture, machine, attempt);
    return task && task->stage == stage;
}

static bool has_exited(const gang_fixture *fixture, int machine, int attempt, int cause,
                       bool saved) {
    const tw_simulator_task *task = find_task(fixture, machine, attempt);
    return task && task->stage == TW_TASK_EXITED && task->cause == cause && task->saved == saved;
}

static bool all_tasks_in(const gang_fixture *fixture, int attempt, int stage) {
    int n = 0;
    for (int i = 0; i < TASKS; i++) n += task_is_in(fixture, i, attempt, stage);
    return n == TASKS;
}

static bool all_tasks_exited(const gang_fixture *fixture, int attempt, int cause, int saved) {
    int n = 0;
    for (int i = 0; i < TASKS; i++) n += has_exited(fixture, i, attempt, cause, saved);
    return n == TASKS;
}

static bool reports(gang_fixture *fixture, int machine, const char *text) {
    char *heartbeat =
        tw_simulator_worker_next_heartbeat(&fixture->world, fixture->world.workers[machine]);
    bool found = strstr(heartbeat, text) != NULL;
    free(heartbeat);
    return found;
}

static bool is_about(double value, double wanted) { return fabs(value - wanted) < 4 * STEP_S; }

/* ---- tasks that wait for their gang ---- */

static void test_start_together(void) {
    gang_fixture fixture;
    init_fixture(&fixture);
    fixture.job->spec.image_gb = 4; /* fetched in 4 s */
    launch(&fixture, 0, 0, 1);
    launch(&fixture, 1, 1, 1);
    advance(&fixture, 3);
    check(task_is_in(&fixture, 0, 1, TW_TASK_FETCHING), "a task's image is fetched too early");
    advance(&fixture, 10);
    check(task_is_in(&fixture, 0, 1, TW_TASK_WAITING), "a task doesn't wait for the others");
    check(reports(&fixture, 0, "\"stage\":\"waiting\""), "a waiting task isn't reported");
    launch(&fixture, 2, 2, 2);
    advance(&fixture, 5);
    check(task_is_in(&fixture, 0, 1, TW_TASK_WAITING),
          "a task of another attempt completes the gang");
    send_command(&fixture, 2, "kill", 2, 2, 0);
    launch(&fixture, 3, 2, 1);
    advance(&fixture, 3.9);
    check(task_is_in(&fixture, 0, 1, TW_TASK_WAITING),
          "the gang starts before its last image is fetched");
    advance(&fixture, 0.2);
    check(task_is_in(&fixture, 0, 1, TW_TASK_RUNNING) &&
              task_is_in(&fixture, 3, 1, TW_TASK_RUNNING),
          "the gang doesn't start");
    check(fixture.job->gang_starts == 1 && fixture.job->started == TASKS,
          "starts are counted wrongly");
    finish_fixture(&fixture, "", "a gang that starts");
}

static void test_incomplete_gang(void) {
    gang_fixture fixture;
    init_fixture(&fixture);
    launch(&fixture, 0, 0, 1);
    advance(&fixture, 10);
    launch(&fixture, 1, 1, 1);
    advance(&fixture, GANG_WAIT_S - 10);
    check(task_is_in(&fixture, 0, 1, TW_TASK_WAITING),
          "a task of an incomplete gang exits too early");
    advance(&fixture, 1);
    check(has_exited(&fixture, 0, 1, TW_CAUSE_GANG_INCOMPLETE, false),
          "a task of an incomplete gang doesn't exit");
    check(task_is_in(&fixture, 1, 1, TW_TASK_WAITING),
          "a later task exits before its own waiting time is over");
    check(reports(&fixture, 0, "\"cause\":\"alone\""), "the cause `alone` isn't reported");
    check(fixture.job->gang_starts == 0, "an incomplete gang starts");
    finish_fixture(&fixture, "", "an incomplete gang");
}

static void test_replaced_before_start(void) {
    gang_fixture fixture;
    init_fixture(&fixture);
    launch(&fixture, 0, 0, 1);
    launch(&fixture, 1, 1, 1);
    advance(&fixture, 2);
    fixture.world.workers[1]->removed = 1;
    advance(&fixture, 10);
    check(task_is_in(&fixture, 0, 1, TW_TASK_WAITING),
          "a task stops waiting when another one is lost");
    launch(&fixture, 2, 1, 1);
    launch(&fixture, 3, 2, 1);
    advance(&fixture, 1);
    check(task_is_in(&fixture, 0, 1, TW_TASK_RUNNING) &&
              task_is_in(&fixture, 2, 1, TW_TASK_RUNNING),
          "a replacement doesn't complete the gang");
    finish_fixture(&fixture, "", "a replacement before the start");
}

static void test_hung_before_start(void) {
    gang_fixture fixture;
    init_fixture(&fixture);
    launch(&fixture, 0, 0, 1);
    launch(&fixture, 1, 1, 1);
    advance(&fixture, 1);
    fixture.world.workers[1]->hung_until = fixture.world.now + 10;
    launch(&fixture, 2, 2, 1);
    advance(&fixture, 9);
    check(task_is_in(&fixture, 0, 1, TW_TASK_WAITING), "a gang starts while a machine hangs");
    advance(&fixture, 2);
    check(all_tasks_in(&fixture, 1, TW_TASK_RUNNING),
          "a gang doesn't start when the machine recovers");
    finish_fixture(&fixture, "", "a machine that hangs before the start");
}

static void test_waiting_is_stopped(void) {
    gang_fixture fixture;
    init_fixture(&fixture);
    launch(&fixture, 0, 0, 1);
    launch(&fixture, 1, 1, 1);
    advance(&fixture, 2);
    stop(&fixture, 0, 0, 1, SAVE_S);
    check(has_exited(&fixture, 0, 1, TW_CAUSE_STOPPED, false),
          "a stopped waiting task doesn't exit immediately");
    advance(&fixture, GANG_PEER_S + 1);
    check(task_is_in(&fixture, 1, 1, TW_TASK_WAITING), "the other tasks stop waiting");
    finish_fixture(&fixture, "", "a waiting task that is stopped");
}

/* ---- running gangs ---- */

static void test_slowest_machine_and_completion(void) {
    gang_fixture fixture;
    init_fixture(&fixture);
    fixture.world.workers[1]->slowdown = 2;
    fixture.world.workers[2]->heartbeats_lost_until = 1e9; /* its heartbeats are lost */
    launch_and_run(&fixture, 2 * RUN_S - 1);
    check(all_tasks_in(&fixture, 1, TW_TASK_RUNNING), "a gang is faster than its slowest machine");
    check(is_about(fixture.job->gang_saved_s, 2 * CHECKPOINT_S), "checkpoints aren't taken");
    advance(&fixture, 1.2);
    check(all_tasks_exited(&fixture, 1, TW_CAUSE_DONE, 0), "a gang isn't done together");
    check(fixture.job->done_count == TASKS && fixture.job->done[0] && fixture.job->done[2],
          "a completed gang isn't recorded as done");
    launch(&fixture, 3, 1, 2);
    advance(&fixture, 0.2);
    check(has_exited(&fixture, 3, 2, TW_CAUSE_DONE, false),
          "a new attempt of a done task doesn't exit as done");
    finish_fixture(&fixture, "", "a gang that completes");
}

/* Runs a gang for 45 s and calls `break_task`, which breaks task 1. The other tasks must exit
 * within the time that peers take to notice. */
static void broken_gang_case(gang_fixture *fixture, void (*break_task)(gang_fixture *f)) {
    init_fixture(fixture);
    launch_and_run(fixture, 45);
    break_task(fixture);
    advance(fixture, STEP_S);
    check(task_is_in(fixture, 0, 1, TW_TASK_RUNNING) || task_is_in(fixture, 2, 1, TW_TASK_RUNNING),
          "no other task stays running until the loss is noticed");
    advance(fixture, GANG_PEER_S);
    check(has_exited(fixture, 0, 1, TW_CAUSE_GANG_BROKEN, false) &&
              has_exited(fixture, 2, 1, TW_CAUSE_GANG_BROKEN, false),
          "the other tasks don't notice the loss in time");
    check(is_about(fixture->job->gang_saved_s, 2 * CHECKPOINT_S),
          "the saved progress isn't that of the last checkpoint");
    check(!fixture->job->done_count, "a broken gang is counted as done");
}

static void remove_machine(gang_fixture *fixture) { fixture->world.workers[1]->removed = 1; }
static void hang_machine(gang_fixture *fixture) {
    fixture->world.workers[1]->hung_until = fixture->world.now + 20;
}
static void expire_lease(gang_fixture *fixture) {
    fixture->world.workers[1]->lease_started_at = -1e9;
}
static void stop_without_grace(gang_fixture *fixture) { stop(fixture, 1, 1, 1, SAVE_S / 2); }

static void test_task_lost(void) {
    gang_fixture fixture;
    broken_gang_case(&fixture, remove_machine);
    finish_fixture(&fixture, "", "a machine of a running gang is removed");
    broken_gang_case(&fixture, expire_lease);
    check(fixture.world.workers[1]->incarnation == 2, "a lease doesn't expire");
    finish_fixture(&fixture, "", "a worker's lease expires while a gang runs");
    broken_gang_case(&fixture, stop_without_grace);
    check(has_exited(&fixture, 1, 1, TW_CAUSE_STOPPED, false),
          "a task without enough grace period doesn't exit immediately");
    finish_fixture(&fixture, "", "a task of a running gang is stopped with too little grace");
}

static void test_hang(void) {
    gang_fixture fixture;
    broken_gang_case(&fixture, hang_machine);
    check(task_is_in(&fixture, 1, 1, TW_TASK_RUNNING), "a machine that hangs executes its task");
    advance(&fixture, 15.1 + GANG_PEER_S);
    check(has_exited(&fixture, 1, 1, TW_CAUSE_GANG_BROKEN, false),
          "a task runs on alone after its machine recovers");
    finish_fixture(&fixture, "", "a machine hangs while a gang runs");
}

/* The next attempt resumes from the checkpoint and takes its first own checkpoint at the next
 * multiple of the interval. */
static void test_checkpoints_by_multiples(void) {
    gang_fixture fixture;
    broken_gang_case(&fixture, remove_machine);
    /* A checkpoint between two multiples, as an orderly stop saves it. */
    fixture.job->gang_saved_s = 25;
    fixture.job->run_s = 100;
    launch(&fixture, 0, 0, 2);
    launch(&fixture, 2, 1, 2);
    launch(&fixture, 3, 2, 2);
    advance(&fixture, 2 * STEP_S + 14.5);
    check(task_is_in(&fixture, 0, 2, TW_TASK_RUNNING), "the next attempt doesn't start");
    check(is_about(fixture.job->gang_saved_s, 25), "a checkpoint is taken too early");
    advance(&fixture, 1);
    check(is_about(fixture.job->gang_saved_s, 40),
          "a checkpoint isn't at a multiple of the interval");
    advance(&fixture, 59);
    check(has_exited(&fixture, 0, 2, TW_CAUSE_DONE, false) == 0, "the attempt is done too early");
    advance(&fixture, 1);
    check(has_exited(&fixture, 0, 2, TW_CAUSE_DONE, false),
          "the attempt doesn't resume from its checkpoint");
    finish_fixture(&fixture, "", "a gang that resumes from a checkpoint");
}

static void test_faulty_machine_and_failing_job(void) {
    gang_fixture fixture;
    init_fixture(&fixture);
    fixture.world.workers[1]->faulty = true;
    launch_and_run(&fixture, 1);
    check(has_exited(&fixture, 1, 1, TW_CAUSE_ERROR, false),
          "a faulty machine's task doesn't fail");
    advance(&fixture, GANG_PEER_S);
    check(has_exited(&fixture, 0, 1, TW_CAUSE_GANG_BROKEN, false) &&
              has_exited(&fixture, 2, 1, TW_CAUSE_GANG_BROKEN, false),
          "the other tasks don't exit because of a broken gang");
    check(reports(&fixture, 0, "\"cause\":\"peers\""), "the cause `peers` isn't reported");
    finish_fixture(&fixture, "", "a faulty machine");
    init_fixture(&fixture);
    fixture.job->fails = 1;
    launch_and_run(&fixture, 1 + GANG_PEER_S);
    check(all_tasks_exited(&fixture, 1, TW_CAUSE_ERROR, 0),
          "a job with a failing program doesn't fail on all machines");
    finish_fixture(&fixture, "", "a job with a failing program");
}

/* ---- orderly stops: all tasks save a checkpoint before they exit ---- */

static void test_orderly_stop(void) {
    gang_fixture fixture;
    init_fixture(&fixture);
    launch_and_run(&fixture, 30);
    stop(&fixture, 0, 0, 1, SAVE_S);
    advance(&fixture, 3);
    check(task_is_in(&fixture, 0, 1, TW_TASK_SAVING),
          "a task that has saved doesn't wait for the others");
    stop(&fixture, 1, 1, 1, SAVE_S);
    advance(&fixture, 1.5);
    stop(&fixture, 2, 2, 1, SAVE_S);
    check(is_about(fixture.job->gang_saved_s, CHECKPOINT_S),
          "progress is saved before a task has exited");
    advance(&fixture, 2 * STEP_S);
    check(has_exited(&fixture, 0, 1, TW_CAUSE_STOPPED, true), "the first task doesn't exit");
    check(task_is_in(&fixture, 2, 1, TW_TASK_SAVING),
          "the last task doesn't take the full time to save");
    check(is_about(fixture.job->gang_saved_s, 30),
          "the saved progress isn't that at the first stop");
    fixture.world.workers[2]->removed = 1;
    advance(&fixture, GANG_PEER_S);
    check(has_exited(&fixture, 1, 1, TW_CAUSE_STOPPED, true),
          "a saving task doesn't exit as saved");
    check(is_about(fixture.job->gang_saved_s, 30), "saved progress is lost");
    finish_fixture(&fixture, "", "an orderly stop");
}

static void test_partial_stop(void) {
    gang_fixture fixture;
    init_fixture(&fixture);
    launch_and_run(&fixture, 30);
    stop(&fixture, 0, 0, 1, SAVE_S);
    stop(&fixture, 1, 1, 1, SAVE_S);
    advance(&fixture, GANG_PEER_S - 0.2);
    check(task_is_in(&fixture, 2, 1, TW_TASK_RUNNING),
          "a task that got no stop command exits too early");
    advance(&fixture, 0.4);
    check(has_exited(&fixture, 2, 1, TW_CAUSE_GANG_BROKEN, false),
          "a task that got no stop command runs on");
    check(has_exited(&fixture, 0, 1, TW_CAUSE_STOPPED, false),
          "a task exits as saved though not all tasks were stopped");
    check(is_about(fixture.job->gang_saved_s, CHECKPOINT_S),
          "a save by some tasks only counts as a checkpoint");
    finish_fixture(&fixture, "", "a stop that doesn't reach all");
}

/* Stops all tasks in order and calls `break_task`, which breaks task 1 while they save. The
 * stop must not count as saved. */
static void broken_stop_case(void (*break_task)(gang_fixture *f), const char *what) {
    gang_fixture fixture;
    init_fixture(&fixture);
    fixture.job->spec.save_s = 4;
    launch_and_run(&fixture, 30);
    for (int i = 0; i < TASKS; i++) stop(&fixture, i, i, 1, fixture.job->spec.save_s);
    advance(&fixture, 1);
    break_task(&fixture);
    advance(&fixture, GANG_PEER_S + STEP_S);
    const tw_simulator_task *task = find_task(&fixture, 0, 1);
    check(task && task->stage == TW_TASK_EXITED && !task->saved, what);
    check(is_about(fixture.job->gang_saved_s, CHECKPOINT_S), what);
    finish_fixture(&fixture, "", what);
}

static void stop_again(gang_fixture *fixture) { stop(fixture, 1, 1, 1, 0); }

static void test_broken_stop(void) {
    broken_stop_case(remove_machine, "a machine is removed before the first task has saved");
    broken_stop_case(hang_machine, "a machine hangs before the first task has saved");
    broken_stop_case(stop_again,
                     "a task is stopped without a grace period before the first task has saved");
}

static void test_stop_without_checkpoints(void) {
    gang_fixture fixture;
    init_fixture(&fixture);
    fixture.job->spec.checkpoint_s = 0;
    launch_and_run(&fixture, 30);
    stop(&fixture, 0, 0, 1, SAVE_S);
    check(has_exited(&fixture, 0, 1, TW_CAUSE_STOPPED, false),
          "a task without checkpoints takes time to save");
    advance(&fixture, GANG_PEER_S + STEP_S);
    check(has_exited(&fixture, 1, 1, TW_CAUSE_GANG_BROKEN, false),
          "the other tasks don't notice the stop");
    check(is_about(fixture.job->gang_saved_s, 0), "a job without checkpoints has saved progress");
    finish_fixture(&fixture, "", "a gang without checkpoints");
}

/* ---- rules of the judge ---- */

static void test_judge(void) {
    gang_fixture fixture;
    init_fixture(&fixture);
    launch(&fixture, 0, 0, 1);
    advance(&fixture, 1);
    launch(&fixture, 1, 0, 2);
    advance(&fixture, 1);
    finish_fixture(&fixture, "ran_twice", "a waiting task doesn't count as an attempt of its task");

    init_fixture(&fixture);
    launch_and_run(&fixture, 10);
    fixture.world.workers[2]->removed = 1;
    advance(&fixture, STEP_S);
    launch(&fixture, 3, 0, 2);
    advance(&fixture, STEP_S);
    finish_fixture(&fixture, "ran_twice",
                   "a running task of a broken gang doesn't count as an attempt");

    init_fixture(&fixture);
    fixture.job->spec.single_zone = 1;
    launch(&fixture, 0, 0, 1);
    advance(&fixture, 1);
    launch(&fixture, 2, 1, 2);
    advance(&fixture, 1);
    finish_fixture(&fixture, "wrong_place",
                   "a waiting task doesn't count for its job's single zone");

    init_fixture(&fixture);
    fixture.world.teams[0].cpus_max = 2;
    launch_all(&fixture, 1);
    advance(&fixture, 1);
    finish_fixture(&fixture, "quota", "waiting tasks don't count against the limit");

    init_fixture(&fixture);
    fixture.job->reported_cancel_at = 0.5;
    fixture.world.cancel_s = 5;
    launch(&fixture, 0, 0, 1);
    advance(&fixture, 8);
    finish_fixture(&fixture, "ran_cancelled", "a waiting task of a cancelled job");
}

int main(void) {
    test_start_together();
    test_incomplete_gang();
    test_replaced_before_start();
    test_hung_before_start();
    test_waiting_is_stopped();
    test_slowest_machine_and_completion();
    test_task_lost();
    test_hang();
    test_checkpoints_by_multiples();
    test_faulty_machine_and_failing_job();
    test_orderly_stop();
    test_partial_stop();
    test_broken_stop();
    test_stop_without_checkpoints();
    test_judge();
    if (!failures) printf("ok simulator_gang\n");
    return failures != 0;
}
