/* The stand-in's gangs: what the tasks of an attempt do together, without any controller. */
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
#define WAIT_S 30.0
#define PEER_S 5.0
#define RUN_S 50.0
#define SNAPSHOT_S 20.0
#define FLUSH_S 2.0
#define ID "run-000001"

static int failures;

static void check(bool holds, const char *what) {
    if (holds) return;
    printf("FAIL sim gang: %s\n", what);
    failures++;
}

/* ---- a world of four machines, two in each zone, and a gang of three tasks ---- */

typedef struct {
    tw_simulator_world world;
    tw_simulator_job *job;
} gang_fixture;

static void begin(gang_fixture *fixture) {
    tw_simulator_world *world = &fixture->world;
    tw_simulator_world_init(world);
    world->node_count = 1;
    world->lease_s = LEASE_S;
    world->gang_wait_s = WAIT_S;
    world->gang_peer_s = PEER_S;
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
    fixture->job = tw_simulator_job_new(world, ID);
    tw_wire_job *spec = &fixture->job->spec;
    strcpy(spec->job_class, "lane");
    strcpy(spec->team, "crew");
    strcpy(spec->image, "image");
    spec->gang = 1;
    spec->task_count = TASKS;
    spec->cores = 1;
    spec->memory_gb = 1;
    spec->checkpoint_s = SNAPSHOT_S;
    spec->save_s = FLUSH_S;
    fixture->job->run_s = RUN_S;
    fixture->job->submitted = fixture->job->accepted = 1;
    fixture->job->done = tw_simulator_allocate(TASKS);
}

/* Ends the world; rule: the one that must be broken, "" for none. */
static void end(gang_fixture *fixture, const char *rule, const char *what) {
    if (strcmp(fixture->world.rule, rule) != 0) printf("%s\n", fixture->world.detail);
    check(!strcmp(fixture->world.rule, rule), what);
    tw_simulator_world_free(&fixture->world);
}

static void pass(gang_fixture *fixture, double seconds) {
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
             "{\"baton\":1,\"shift\":%d,\"orders\":[{\"verb\":\"%s\",\"piece\":\"" ID
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

/* Task i on machine i. */
static void launch_all(gang_fixture *fixture, int attempt) {
    for (int i = 0; i < TASKS; i++) launch(fixture, i, i, attempt);
}

static void run_for(gang_fixture *fixture, double seconds) {
    launch_all(fixture, 1);
    pass(fixture, STEP_S); /* they wait */
    pass(fixture, STEP_S); /* they start */
    pass(fixture, seconds);
}

static const tw_simulator_task *find_task(const gang_fixture *fixture, int machine, int attempt) {
    const tw_simulator_worker *worker = fixture->world.workers[machine];
    for (int i = 0; i < worker->task_count; i++)
        if (worker->tasks[i].attempt == (uint64_t)attempt) return &worker->tasks[i];
    return NULL;
}

static bool is_in(const gang_fixture *fixture, int machine, int attempt, int stage) {
    const tw_simulator_task *task = find_task(fixture, machine, attempt);
    return task && task->stage == stage;
}

static bool has_exited(const gang_fixture *fixture, int machine, int attempt, int cause,
                       bool saved) {
    const tw_simulator_task *task = find_task(fixture, machine, attempt);
    return task && task->stage == TW_TASK_EXITED && task->cause == cause && task->saved == saved;
}

static bool all_in(const gang_fixture *fixture, int attempt, int stage) {
    int n = 0;
    for (int i = 0; i < TASKS; i++) n += is_in(fixture, i, attempt, stage);
    return n == TASKS;
}

static bool all_exited(const gang_fixture *fixture, int attempt, int cause, int saved) {
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

/* ---- waiting ---- */

static void test_start_together(void) {
    gang_fixture fixture;
    begin(&fixture);
    fixture.job->spec.image_gb = 4; /* fetched in 4 s */
    launch(&fixture, 0, 0, 1);
    launch(&fixture, 1, 1, 1);
    pass(&fixture, 3);
    check(is_in(&fixture, 0, 1, TW_TASK_FETCHING), "a task has its image too early");
    pass(&fixture, 10);
    check(is_in(&fixture, 0, 1, TW_TASK_WAITING), "a task doesn't wait for the others");
    check(reports(&fixture, 0, "\"stage\":\"waiting\""), "a waiting task isn't reported");
    launch(&fixture, 2, 2, 2);
    pass(&fixture, 5);
    check(is_in(&fixture, 0, 1, TW_TASK_WAITING), "a task of another attempt completes the gang");
    send_command(&fixture, 2, "kill", 2, 2, 0);
    launch(&fixture, 3, 2, 1);
    pass(&fixture, 3.9);
    check(is_in(&fixture, 0, 1, TW_TASK_WAITING), "the gang starts before the last image is there");
    pass(&fixture, 0.2);
    check(is_in(&fixture, 0, 1, TW_TASK_RUNNING) && is_in(&fixture, 3, 1, TW_TASK_RUNNING),
          "the gang doesn't start");
    check(fixture.job->gang_starts == 1 && fixture.job->started == TASKS,
          "starts are counted wrongly");
    end(&fixture, "", "a gang that starts");
}

static void test_alone(void) {
    gang_fixture fixture;
    begin(&fixture);
    launch(&fixture, 0, 0, 1);
    pass(&fixture, 10);
    launch(&fixture, 1, 1, 1);
    pass(&fixture, WAIT_S - 10);
    check(is_in(&fixture, 0, 1, TW_TASK_WAITING), "a task gives up too early");
    pass(&fixture, 1);
    check(has_exited(&fixture, 0, 1, TW_CAUSE_GANG_INCOMPLETE, false), "a task doesn't give up");
    check(is_in(&fixture, 1, 1, TW_TASK_WAITING), "a later task gives up with it");
    check(reports(&fixture, 0, "\"cause\":\"alone\""), "alone isn't reported");
    check(fixture.job->gang_starts == 0, "a gang that isn't whole starts");
    end(&fixture, "", "a gang that isn't whole");
}

static void test_replaced_before_start(void) {
    gang_fixture fixture;
    begin(&fixture);
    launch(&fixture, 0, 0, 1);
    launch(&fixture, 1, 1, 1);
    pass(&fixture, 2);
    fixture.world.workers[1]->gone = 1;
    pass(&fixture, 10);
    check(is_in(&fixture, 0, 1, TW_TASK_WAITING), "a task doesn't go on waiting");
    launch(&fixture, 2, 1, 1);
    launch(&fixture, 3, 2, 1);
    pass(&fixture, 1);
    check(is_in(&fixture, 0, 1, TW_TASK_RUNNING) && is_in(&fixture, 2, 1, TW_TASK_RUNNING),
          "a replacement doesn't complete the gang");
    end(&fixture, "", "a replacement");
}

static void test_hung_before_start(void) {
    gang_fixture fixture;
    begin(&fixture);
    launch(&fixture, 0, 0, 1);
    launch(&fixture, 1, 1, 1);
    pass(&fixture, 1);
    fixture.world.workers[1]->hung_until = fixture.world.now + 10;
    launch(&fixture, 2, 2, 1);
    pass(&fixture, 9);
    check(is_in(&fixture, 0, 1, TW_TASK_WAITING), "a gang starts while a machine hangs");
    pass(&fixture, 2);
    check(all_in(&fixture, 1, TW_TASK_RUNNING), "a gang doesn't start when the machine goes on");
    end(&fixture, "", "a machine that hangs before the start");
}

static void test_waiting_is_stopped(void) {
    gang_fixture fixture;
    begin(&fixture);
    launch(&fixture, 0, 0, 1);
    launch(&fixture, 1, 1, 1);
    pass(&fixture, 2);
    stop(&fixture, 0, 0, 1, FLUSH_S);
    check(has_exited(&fixture, 0, 1, TW_CAUSE_STOPPED, false),
          "a waiting task doesn't exit at once");
    pass(&fixture, PEER_S + 1);
    check(is_in(&fixture, 1, 1, TW_TASK_WAITING), "the others don't go on waiting");
    end(&fixture, "", "a waiting task that is stopped");
}

/* ---- running ---- */

static void test_slowest_and_done(void) {
    gang_fixture fixture;
    begin(&fixture);
    fixture.world.workers[1]->slowdown = 2;
    fixture.world.workers[2]->heartbeats_lost_until = 1e9; /* its heartbeats reach nobody */
    run_for(&fixture, 2 * RUN_S - 1);
    check(all_in(&fixture, 1, TW_TASK_RUNNING), "a gang is faster than its slowest machine");
    check(is_about(fixture.job->gang_saved_s, 2 * SNAPSHOT_S), "checkpoints aren't taken");
    pass(&fixture, 1.2);
    check(all_exited(&fixture, 1, TW_CAUSE_DONE, 0), "a gang isn't done together");
    check(fixture.job->done_count == TASKS && fixture.job->done[0] && fixture.job->done[2],
          "a done gang isn't noted");
    launch(&fixture, 3, 1, 2);
    pass(&fixture, 0.2);
    check(has_exited(&fixture, 3, 2, TW_CAUSE_DONE, false),
          "a done task doesn't exit with done again");
    end(&fixture, "", "a gang that completes");
}

/* how: what becomes of task 1 after 45 s; the others must notice. */
static void lost_case(gang_fixture *fixture, void (*how)(gang_fixture *f)) {
    begin(fixture);
    run_for(fixture, 45);
    how(fixture);
    pass(fixture, STEP_S);
    check(is_in(fixture, 0, 1, TW_TASK_RUNNING) || is_in(fixture, 2, 1, TW_TASK_RUNNING),
          "running isn't told until the others notice");
    pass(fixture, PEER_S);
    check(has_exited(fixture, 0, 1, TW_CAUSE_GANG_BROKEN, false) &&
              has_exited(fixture, 2, 1, TW_CAUSE_GANG_BROKEN, false),
          "the others don't notice in time");
    check(is_about(fixture->job->gang_saved_s, 2 * SNAPSHOT_S),
          "progress isn't that of a checkpoint");
    check(!fixture->job->done_count, "a broken gang is done");
}

static void take(gang_fixture *fixture) { fixture->world.workers[1]->gone = 1; }
static void hang(gang_fixture *fixture) {
    fixture->world.workers[1]->hung_until = fixture->world.now + 20;
}
static void forget_lease(gang_fixture *fixture) {
    fixture->world.workers[1]->lease_started_at = -1e9;
}
static void stop_without_grace(gang_fixture *fixture) { stop(fixture, 1, 1, 1, FLUSH_S / 2); }

static void test_lost(void) {
    gang_fixture fixture;
    lost_case(&fixture, take);
    end(&fixture, "", "a machine of a running gang is taken");
    lost_case(&fixture, forget_lease);
    check(fixture.world.workers[1]->incarnation == 2, "a lease doesn't end");
    end(&fixture, "", "a lease ends under a running gang");
    lost_case(&fixture, stop_without_grace);
    check(has_exited(&fixture, 1, 1, TW_CAUSE_STOPPED, false),
          "a task without grace doesn't exit at once");
    end(&fixture, "", "a task of a running gang is stopped with too little grace");
}

static void test_hang(void) {
    gang_fixture fixture;
    lost_case(&fixture, hang);
    check(is_in(&fixture, 1, 1, TW_TASK_RUNNING), "a machine that hangs executes its task");
    pass(&fixture, 15.1 + PEER_S);
    check(has_exited(&fixture, 1, 1, TW_CAUSE_GANG_BROKEN, false),
          "a machine that goes on runs its task alone");
    end(&fixture, "", "a machine hangs under a running gang");
}

/* The next attempt goes on from the checkpoint, and its next one is at the next multiple. */
static void test_checkpoints_by_multiples(void) {
    gang_fixture fixture;
    lost_case(&fixture, take);
    fixture.job->gang_saved_s = 25; /* as an orderly stop leaves it */
    fixture.job->run_s = 100;
    launch(&fixture, 0, 0, 2);
    launch(&fixture, 2, 1, 2);
    launch(&fixture, 3, 2, 2);
    pass(&fixture, 2 * STEP_S + 14.5);
    check(is_in(&fixture, 0, 2, TW_TASK_RUNNING), "the next attempt doesn't start");
    check(is_about(fixture.job->gang_saved_s, 25), "a checkpoint is taken too early");
    pass(&fixture, 1);
    check(is_about(fixture.job->gang_saved_s, 40),
          "a checkpoint isn't at a multiple of the interval");
    pass(&fixture, 59);
    check(has_exited(&fixture, 0, 2, TW_CAUSE_DONE, false) == 0, "the attempt is done too early");
    pass(&fixture, 1);
    check(has_exited(&fixture, 0, 2, TW_CAUSE_DONE, false),
          "the attempt doesn't go on from its checkpoint");
    end(&fixture, "", "a gang that goes on");
}

static void test_faulty(void) {
    gang_fixture fixture;
    begin(&fixture);
    fixture.world.workers[1]->faulty = true;
    run_for(&fixture, 1);
    check(has_exited(&fixture, 1, 1, TW_CAUSE_ERROR, false),
          "a faulty machine's task doesn't fail");
    pass(&fixture, PEER_S);
    check(has_exited(&fixture, 0, 1, TW_CAUSE_GANG_BROKEN, false) &&
              has_exited(&fixture, 2, 1, TW_CAUSE_GANG_BROKEN, false),
          "the others blame their machines");
    check(reports(&fixture, 0, "\"cause\":\"peers\""), "peers isn't reported");
    end(&fixture, "", "a faulty machine");
    begin(&fixture);
    fixture.job->fails = 1;
    run_for(&fixture, 1 + PEER_S);
    check(all_exited(&fixture, 1, TW_CAUSE_ERROR, 0),
          "a job with a mistake doesn't fail everywhere");
    end(&fixture, "", "a job with a mistake");
}

/* ---- orderly stop ---- */

static void test_orderly_stop(void) {
    gang_fixture fixture;
    begin(&fixture);
    run_for(&fixture, 30);
    stop(&fixture, 0, 0, 1, FLUSH_S);
    pass(&fixture, 3);
    check(is_in(&fixture, 0, 1, TW_TASK_SAVING),
          "a task that has saved doesn't wait for the others");
    stop(&fixture, 1, 1, 1, FLUSH_S);
    pass(&fixture, 1.5);
    stop(&fixture, 2, 2, 1, FLUSH_S);
    check(is_about(fixture.job->gang_saved_s, SNAPSHOT_S), "progress is safe before a task exits");
    pass(&fixture, 2 * STEP_S);
    check(has_exited(&fixture, 0, 1, TW_CAUSE_STOPPED, true), "the first task doesn't exit");
    check(is_in(&fixture, 2, 1, TW_TASK_SAVING), "the last task doesn't take its time to save");
    check(is_about(fixture.job->gang_saved_s, 30),
          "progress doesn't stand still from the first stop");
    fixture.world.workers[2]->gone = 1;
    pass(&fixture, PEER_S);
    check(has_exited(&fixture, 1, 1, TW_CAUSE_STOPPED, true), "a task that saves is broken off");
    check(is_about(fixture.job->gang_saved_s, 30), "progress that was safe is lost");
    end(&fixture, "", "an orderly stop");
}

static void test_stop_of_some(void) {
    gang_fixture fixture;
    begin(&fixture);
    run_for(&fixture, 30);
    stop(&fixture, 0, 0, 1, FLUSH_S);
    stop(&fixture, 1, 1, 1, FLUSH_S);
    pass(&fixture, PEER_S - 0.2);
    check(is_in(&fixture, 2, 1, TW_TASK_RUNNING), "a task that isn't told exits too early");
    pass(&fixture, 0.4);
    check(has_exited(&fixture, 2, 1, TW_CAUSE_GANG_BROKEN, false),
          "a task that isn't told goes on");
    check(has_exited(&fixture, 0, 1, TW_CAUSE_STOPPED, false), "a save of some is called saved");
    check(is_about(fixture.job->gang_saved_s, SNAPSHOT_S), "a save of some is one");
    end(&fixture, "", "a stop that doesn't reach all");
}

/* how: what becomes of task 1 a second after all were told to save. */
static void broken_stop_case(void (*how)(gang_fixture *f), const char *what) {
    gang_fixture fixture;
    begin(&fixture);
    fixture.job->spec.save_s = 4;
    run_for(&fixture, 30);
    for (int i = 0; i < TASKS; i++) stop(&fixture, i, i, 1, fixture.job->spec.save_s);
    pass(&fixture, 1);
    how(&fixture);
    pass(&fixture, PEER_S + STEP_S);
    const tw_simulator_task *task = find_task(&fixture, 0, 1);
    check(task && task->stage == TW_TASK_EXITED && !task->saved, what);
    check(is_about(fixture.job->gang_saved_s, SNAPSHOT_S), what);
    end(&fixture, "", what);
}

static void stop_again(gang_fixture *fixture) { stop(fixture, 1, 1, 1, 0); }

static void test_broken_stop(void) {
    broken_stop_case(take, "a machine is taken before the first has saved");
    broken_stop_case(hang, "a machine hangs before the first has saved");
    broken_stop_case(stop_again, "a task is ended before the first has saved");
}

static void test_stop_without_checkpoints(void) {
    gang_fixture fixture;
    begin(&fixture);
    fixture.job->spec.checkpoint_s = 0;
    run_for(&fixture, 30);
    stop(&fixture, 0, 0, 1, FLUSH_S);
    check(has_exited(&fixture, 0, 1, TW_CAUSE_STOPPED, false),
          "a task that never saves takes time for it");
    pass(&fixture, PEER_S + STEP_S);
    check(has_exited(&fixture, 1, 1, TW_CAUSE_GANG_BROKEN, false), "the others don't notice");
    check(is_about(fixture.job->gang_saved_s, 0), "a job without checkpoints has one");
    end(&fixture, "", "a gang that never saves");
}

/* ---- the judge ---- */

static void test_judge(void) {
    gang_fixture fixture;
    begin(&fixture);
    launch(&fixture, 0, 0, 1);
    pass(&fixture, 1);
    launch(&fixture, 1, 0, 2);
    pass(&fixture, 1);
    end(&fixture, "ran_twice", "a waiting task isn't on its machine");

    begin(&fixture);
    run_for(&fixture, 10);
    fixture.world.workers[2]->gone = 1;
    pass(&fixture, STEP_S);
    launch(&fixture, 3, 0, 2);
    pass(&fixture, STEP_S);
    end(&fixture, "ran_twice", "a task of a broken gang isn't on its machine");

    begin(&fixture);
    fixture.job->spec.single_zone = 1;
    launch(&fixture, 0, 0, 1);
    pass(&fixture, 1);
    launch(&fixture, 2, 1, 2);
    pass(&fixture, 1);
    end(&fixture, "wrong_place", "a waiting task isn't in its zone");

    begin(&fixture);
    fixture.world.teams[0].cpus_max = 2;
    launch_all(&fixture, 1);
    pass(&fixture, 1);
    end(&fixture, "quota", "waiting tasks don't count against the limit");

    begin(&fixture);
    fixture.job->reported_cancel_at = 0.5;
    fixture.world.cancel_s = 5;
    launch(&fixture, 0, 0, 1);
    pass(&fixture, 8);
    end(&fixture, "ran_cancelled", "a waiting task of a cancelled job");
}

int main(void) {
    test_start_together();
    test_alone();
    test_replaced_before_start();
    test_hung_before_start();
    test_waiting_is_stopped();
    test_slowest_and_done();
    test_lost();
    test_hang();
    test_checkpoints_by_multiples();
    test_faulty();
    test_orderly_stop();
    test_stop_of_some();
    test_broken_stop();
    test_stop_without_checkpoints();
    test_judge();
    if (!failures) printf("ok simulator_gang\n");
    return failures != 0;
}
