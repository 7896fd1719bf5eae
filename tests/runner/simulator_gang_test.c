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
    tw_simulator_world w;
    tw_simulator_job *job;
} fixture;

static void begin(fixture *f) {
    tw_simulator_world *w = &f->w;
    tw_simulator_world_init(w);
    w->node_count = 1;
    w->lease_s = LEASE_S;
    w->gang_wait_s = WAIT_S;
    w->gang_peer_s = PEER_S;
    w->type_count = 1;
    w->types[0] =
        (tw_wire_machine_type){.name = "cpu", .cores = 4, .memory_gb = 16, .fetch_gb_s = 1};
    w->team_count = 1;
    strcpy(w->teams[0].name, "crew");
    for (int i = 0; i < MACHINES; i++) {
        tw_simulator_worker *x = tw_simulator_add_machine(w, 0, i < MACHINES / 2 ? "a" : "b", 0, 0);
        x->up = 1;
        x->incarnation = 1;
        x->slowdown = 1;
    }
    w->now = 1;
    f->job = tw_simulator_job_new(w, ID);
    tw_wire_job *spec = &f->job->spec;
    strcpy(spec->job_class, "lane");
    strcpy(spec->team, "crew");
    strcpy(spec->image, "image");
    spec->gang = 1;
    spec->task_count = TASKS;
    spec->cores = 1;
    spec->memory_gb = 1;
    spec->checkpoint_s = SNAPSHOT_S;
    spec->save_s = FLUSH_S;
    f->job->run_s = RUN_S;
    f->job->submitted = f->job->accepted = 1;
    f->job->done = tw_simulator_allocate(TASKS);
}

/* Ends the world; rule: the one that must be broken, "" for none. */
static void end(fixture *f, const char *rule, const char *what) {
    if (strcmp(f->w.rule, rule) != 0) printf("%s\n", f->w.detail);
    check(!strcmp(f->w.rule, rule), what);
    tw_simulator_world_free(&f->w);
}

static void pass(fixture *f, double seconds) {
    int steps = (int)lround(seconds / STEP_S);
    for (int step = 0; step < steps; step++) {
        f->w.now += STEP_S;
        tw_simulator_gangs_advance(&f->w);
        for (int i = 0; i < MACHINES; i++) tw_simulator_worker_advance(&f->w, f->w.workers[i]);
        tw_simulator_judge_now(&f->w);
    }
}

static void order(fixture *f, int machine, const char *verb, int index, int attempt,
                  double grace_s) {
    char body[256], *answer = NULL;
    snprintf(body, sizeof body,
             "{\"baton\":1,\"shift\":%d,\"orders\":[{\"verb\":\"%s\",\"piece\":\"" ID
             "/%d\",\"try\":%d,\"mercyS\":%g}]}",
             (int)f->w.workers[machine]->incarnation, verb, index, attempt, grace_s);
    int status =
        tw_simulator_worker_request(&f->w, f->w.workers[machine], "POST", "/orders", body, &answer);
    check(status == TW_SIMULATOR_OK, "an order is refused");
    free(answer);
}

static void launch(fixture *f, int machine, int index, int attempt) {
    order(f, machine, "launch", index, attempt, 0);
}

static void stop(fixture *f, int machine, int index, int attempt, double grace_s) {
    order(f, machine, "kill", index, attempt, grace_s);
}

/* Task i on machine i. */
static void launch_all(fixture *f, int attempt) {
    for (int i = 0; i < TASKS; i++) launch(f, i, i, attempt);
}

static void run_for(fixture *f, double seconds) {
    launch_all(f, 1);
    pass(f, STEP_S); /* they wait */
    pass(f, STEP_S); /* they start */
    pass(f, seconds);
}

static const tw_simulator_task *task(const fixture *f, int machine, int attempt) {
    const tw_simulator_worker *x = f->w.workers[machine];
    for (int i = 0; i < x->task_count; i++)
        if (x->tasks[i].attempt == (uint64_t)attempt) return &x->tasks[i];
    return NULL;
}

static bool is_in(const fixture *f, int machine, int attempt, int stage) {
    const tw_simulator_task *t = task(f, machine, attempt);
    return t && t->stage == stage;
}

static bool has_exited(const fixture *f, int machine, int attempt, int cause, bool saved) {
    const tw_simulator_task *t = task(f, machine, attempt);
    return t && t->stage == TW_TASK_EXITED && t->cause == cause && t->saved == saved;
}

static bool all_in(const fixture *f, int attempt, int stage) {
    int n = 0;
    for (int i = 0; i < TASKS; i++) n += is_in(f, i, attempt, stage);
    return n == TASKS;
}

static bool all_exited(const fixture *f, int attempt, int cause, int saved) {
    int n = 0;
    for (int i = 0; i < TASKS; i++) n += has_exited(f, i, attempt, cause, saved);
    return n == TASKS;
}

static bool reports(fixture *f, int machine, const char *text) {
    char *report = tw_simulator_worker_heartbeat(&f->w, f->w.workers[machine]);
    bool found = strstr(report, text) != NULL;
    free(report);
    return found;
}

static bool is_about(double value, double wanted) { return fabs(value - wanted) < 4 * STEP_S; }

/* ---- waiting ---- */

static void test_start_together(void) {
    fixture f;
    begin(&f);
    f.job->spec.image_gb = 4; /* fetched in 4 s */
    launch(&f, 0, 0, 1);
    launch(&f, 1, 1, 1);
    pass(&f, 3);
    check(is_in(&f, 0, 1, TW_TASK_FETCHING), "a task has its image too early");
    pass(&f, 10);
    check(is_in(&f, 0, 1, TW_TASK_WAITING), "a task doesn't wait for the others");
    check(reports(&f, 0, "\"stage\":\"waiting\""), "a waiting task isn't reported");
    launch(&f, 2, 2, 2);
    pass(&f, 5);
    check(is_in(&f, 0, 1, TW_TASK_WAITING), "a task of another attempt completes the gang");
    order(&f, 2, "kill", 2, 2, 0);
    launch(&f, 3, 2, 1);
    pass(&f, 3.9);
    check(is_in(&f, 0, 1, TW_TASK_WAITING), "the gang starts before the last image is there");
    pass(&f, 0.2);
    check(is_in(&f, 0, 1, TW_TASK_RUNNING) && is_in(&f, 3, 1, TW_TASK_RUNNING),
          "the gang doesn't start");
    check(f.job->gang_starts == 1 && f.job->started == TASKS, "starts are counted wrongly");
    end(&f, "", "a gang that starts");
}

static void test_alone(void) {
    fixture f;
    begin(&f);
    launch(&f, 0, 0, 1);
    pass(&f, 10);
    launch(&f, 1, 1, 1);
    pass(&f, WAIT_S - 10);
    check(is_in(&f, 0, 1, TW_TASK_WAITING), "a task gives up too early");
    pass(&f, 1);
    check(has_exited(&f, 0, 1, TW_CAUSE_GANG_INCOMPLETE, false), "a task doesn't give up");
    check(is_in(&f, 1, 1, TW_TASK_WAITING), "a later task gives up with it");
    check(reports(&f, 0, "\"cause\":\"alone\""), "alone isn't reported");
    check(f.job->gang_starts == 0, "a gang that isn't whole starts");
    end(&f, "", "a gang that isn't whole");
}

static void test_replaced_before_start(void) {
    fixture f;
    begin(&f);
    launch(&f, 0, 0, 1);
    launch(&f, 1, 1, 1);
    pass(&f, 2);
    f.w.workers[1]->gone = 1;
    pass(&f, 10);
    check(is_in(&f, 0, 1, TW_TASK_WAITING), "a task doesn't go on waiting");
    launch(&f, 2, 1, 1);
    launch(&f, 3, 2, 1);
    pass(&f, 1);
    check(is_in(&f, 0, 1, TW_TASK_RUNNING) && is_in(&f, 2, 1, TW_TASK_RUNNING),
          "a replacement doesn't complete the gang");
    end(&f, "", "a replacement");
}

static void test_hung_before_start(void) {
    fixture f;
    begin(&f);
    launch(&f, 0, 0, 1);
    launch(&f, 1, 1, 1);
    pass(&f, 1);
    f.w.workers[1]->hung_until = f.w.now + 10;
    launch(&f, 2, 2, 1);
    pass(&f, 9);
    check(is_in(&f, 0, 1, TW_TASK_WAITING), "a gang starts while a machine hangs");
    pass(&f, 2);
    check(all_in(&f, 1, TW_TASK_RUNNING), "a gang doesn't start when the machine goes on");
    end(&f, "", "a machine that hangs before the start");
}

static void test_waiting_is_stopped(void) {
    fixture f;
    begin(&f);
    launch(&f, 0, 0, 1);
    launch(&f, 1, 1, 1);
    pass(&f, 2);
    stop(&f, 0, 0, 1, FLUSH_S);
    check(has_exited(&f, 0, 1, TW_CAUSE_STOPPED, false), "a waiting task doesn't exit at once");
    pass(&f, PEER_S + 1);
    check(is_in(&f, 1, 1, TW_TASK_WAITING), "the others don't go on waiting");
    end(&f, "", "a waiting task that is stopped");
}

/* ---- running ---- */

static void test_slowest_and_done(void) {
    fixture f;
    begin(&f);
    f.w.workers[1]->slowdown = 2;
    f.w.workers[2]->mute_until = 1e9; /* its reports reach nobody */
    run_for(&f, 2 * RUN_S - 1);
    check(all_in(&f, 1, TW_TASK_RUNNING), "a gang is faster than its slowest machine");
    check(is_about(f.job->gang_saved_s, 2 * SNAPSHOT_S), "checkpoints aren't taken");
    pass(&f, 1.2);
    check(all_exited(&f, 1, TW_CAUSE_DONE, 0), "a gang isn't done together");
    check(f.job->done_count == TASKS && f.job->done[0] && f.job->done[2],
          "a done gang isn't noted");
    launch(&f, 3, 1, 2);
    pass(&f, 0.2);
    check(has_exited(&f, 3, 2, TW_CAUSE_DONE, false), "a done task doesn't exit with done again");
    end(&f, "", "a gang that completes");
}

/* how: what becomes of task 1 after 45 s; the others must notice. */
static void lost_case(fixture *f, void (*how)(fixture *f)) {
    begin(f);
    run_for(f, 45);
    how(f);
    pass(f, STEP_S);
    check(is_in(f, 0, 1, TW_TASK_RUNNING) || is_in(f, 2, 1, TW_TASK_RUNNING),
          "running isn't told until the others notice");
    pass(f, PEER_S);
    check(has_exited(f, 0, 1, TW_CAUSE_GANG_BROKEN, false) &&
              has_exited(f, 2, 1, TW_CAUSE_GANG_BROKEN, false),
          "the others don't notice in time");
    check(is_about(f->job->gang_saved_s, 2 * SNAPSHOT_S), "progress isn't that of a checkpoint");
    check(!f->job->done_count, "a broken gang is done");
}

static void take(fixture *f) { f->w.workers[1]->gone = 1; }
static void hang(fixture *f) { f->w.workers[1]->hung_until = f->w.now + 20; }
static void forget_lease(fixture *f) { f->w.workers[1]->lease_from = -1e9; }
static void stop_without_grace(fixture *f) { stop(f, 1, 1, 1, FLUSH_S / 2); }

static void test_lost(void) {
    fixture f;
    lost_case(&f, take);
    end(&f, "", "a machine of a running gang is taken");
    lost_case(&f, forget_lease);
    check(f.w.workers[1]->incarnation == 2, "a lease doesn't end");
    end(&f, "", "a lease ends under a running gang");
    lost_case(&f, stop_without_grace);
    check(has_exited(&f, 1, 1, TW_CAUSE_STOPPED, false),
          "a task without grace doesn't exit at once");
    end(&f, "", "a task of a running gang is stopped with too little grace");
}

static void test_hang(void) {
    fixture f;
    lost_case(&f, hang);
    check(is_in(&f, 1, 1, TW_TASK_RUNNING), "a machine that hangs executes its task");
    pass(&f, 15.1 + PEER_S);
    check(has_exited(&f, 1, 1, TW_CAUSE_GANG_BROKEN, false),
          "a machine that goes on runs its task alone");
    end(&f, "", "a machine hangs under a running gang");
}

/* The next attempt goes on from the checkpoint, and its next one is at the next multiple. */
static void test_checkpoints_by_multiples(void) {
    fixture f;
    lost_case(&f, take);
    f.job->gang_saved_s = 25; /* as an orderly stop leaves it */
    f.job->run_s = 100;
    launch(&f, 0, 0, 2);
    launch(&f, 2, 1, 2);
    launch(&f, 3, 2, 2);
    pass(&f, 2 * STEP_S + 14.5);
    check(is_in(&f, 0, 2, TW_TASK_RUNNING), "the next attempt doesn't start");
    check(is_about(f.job->gang_saved_s, 25), "a checkpoint is taken too early");
    pass(&f, 1);
    check(is_about(f.job->gang_saved_s, 40), "a checkpoint isn't at a multiple of the interval");
    pass(&f, 59);
    check(has_exited(&f, 0, 2, TW_CAUSE_DONE, false) == 0, "the attempt is done too early");
    pass(&f, 1);
    check(has_exited(&f, 0, 2, TW_CAUSE_DONE, false),
          "the attempt doesn't go on from its checkpoint");
    end(&f, "", "a gang that goes on");
}

static void test_faulty(void) {
    fixture f;
    begin(&f);
    f.w.workers[1]->faulty = true;
    run_for(&f, 1);
    check(has_exited(&f, 1, 1, TW_CAUSE_ERROR, false), "a faulty machine's task doesn't fail");
    pass(&f, PEER_S);
    check(has_exited(&f, 0, 1, TW_CAUSE_GANG_BROKEN, false) &&
              has_exited(&f, 2, 1, TW_CAUSE_GANG_BROKEN, false),
          "the others blame their machines");
    check(reports(&f, 0, "\"cause\":\"peers\""), "peers isn't reported");
    end(&f, "", "a faulty machine");
    begin(&f);
    f.job->fails = 1;
    run_for(&f, 1 + PEER_S);
    check(all_exited(&f, 1, TW_CAUSE_ERROR, 0), "a job with a mistake doesn't fail everywhere");
    end(&f, "", "a job with a mistake");
}

/* ---- orderly stop ---- */

static void test_orderly_stop(void) {
    fixture f;
    begin(&f);
    run_for(&f, 30);
    stop(&f, 0, 0, 1, FLUSH_S);
    pass(&f, 3);
    check(is_in(&f, 0, 1, TW_TASK_SAVING), "a task that has saved doesn't wait for the others");
    stop(&f, 1, 1, 1, FLUSH_S);
    pass(&f, 1.5);
    stop(&f, 2, 2, 1, FLUSH_S);
    check(is_about(f.job->gang_saved_s, SNAPSHOT_S), "progress is safe before a task exits");
    pass(&f, 2 * STEP_S);
    check(has_exited(&f, 0, 1, TW_CAUSE_STOPPED, true), "the first task doesn't exit");
    check(is_in(&f, 2, 1, TW_TASK_SAVING), "the last task doesn't take its time to save");
    check(is_about(f.job->gang_saved_s, 30), "progress doesn't stand still from the first stop");
    f.w.workers[2]->gone = 1;
    pass(&f, PEER_S);
    check(has_exited(&f, 1, 1, TW_CAUSE_STOPPED, true), "a task that saves is broken off");
    check(is_about(f.job->gang_saved_s, 30), "progress that was safe is lost");
    end(&f, "", "an orderly stop");
}

static void test_stop_of_some(void) {
    fixture f;
    begin(&f);
    run_for(&f, 30);
    stop(&f, 0, 0, 1, FLUSH_S);
    stop(&f, 1, 1, 1, FLUSH_S);
    pass(&f, PEER_S - 0.2);
    check(is_in(&f, 2, 1, TW_TASK_RUNNING), "a task that isn't told exits too early");
    pass(&f, 0.4);
    check(has_exited(&f, 2, 1, TW_CAUSE_GANG_BROKEN, false), "a task that isn't told goes on");
    check(has_exited(&f, 0, 1, TW_CAUSE_STOPPED, false), "a save of some is called saved");
    check(is_about(f.job->gang_saved_s, SNAPSHOT_S), "a save of some is one");
    end(&f, "", "a stop that doesn't reach all");
}

/* how: what becomes of task 1 a second after all were told to save. */
static void broken_stop_case(void (*how)(fixture *f), const char *what) {
    fixture f;
    begin(&f);
    f.job->spec.save_s = 4;
    run_for(&f, 30);
    for (int i = 0; i < TASKS; i++) stop(&f, i, i, 1, f.job->spec.save_s);
    pass(&f, 1);
    how(&f);
    pass(&f, PEER_S + STEP_S);
    const tw_simulator_task *t = task(&f, 0, 1);
    check(t && t->stage == TW_TASK_EXITED && !t->saved, what);
    check(is_about(f.job->gang_saved_s, SNAPSHOT_S), what);
    end(&f, "", what);
}

static void stop_again(fixture *f) { stop(f, 1, 1, 1, 0); }

static void test_broken_stop(void) {
    broken_stop_case(take, "a machine is taken before the first has saved");
    broken_stop_case(hang, "a machine hangs before the first has saved");
    broken_stop_case(stop_again, "a task is ended before the first has saved");
}

static void test_stop_without_checkpoints(void) {
    fixture f;
    begin(&f);
    f.job->spec.checkpoint_s = 0;
    run_for(&f, 30);
    stop(&f, 0, 0, 1, FLUSH_S);
    check(has_exited(&f, 0, 1, TW_CAUSE_STOPPED, false),
          "a task that never saves takes time for it");
    pass(&f, PEER_S + STEP_S);
    check(has_exited(&f, 1, 1, TW_CAUSE_GANG_BROKEN, false), "the others don't notice");
    check(is_about(f.job->gang_saved_s, 0), "a job without checkpoints has one");
    end(&f, "", "a gang that never saves");
}

/* ---- the judge ---- */

static void test_judge(void) {
    fixture f;
    begin(&f);
    launch(&f, 0, 0, 1);
    pass(&f, 1);
    launch(&f, 1, 0, 2);
    pass(&f, 1);
    end(&f, "ran_twice", "a waiting task isn't on its machine");

    begin(&f);
    run_for(&f, 10);
    f.w.workers[2]->gone = 1;
    pass(&f, STEP_S);
    launch(&f, 3, 0, 2);
    pass(&f, STEP_S);
    end(&f, "ran_twice", "a task of a broken gang isn't on its machine");

    begin(&f);
    f.job->spec.single_zone = 1;
    launch(&f, 0, 0, 1);
    pass(&f, 1);
    launch(&f, 2, 1, 2);
    pass(&f, 1);
    end(&f, "wrong_place", "a waiting task isn't in its zone");

    begin(&f);
    f.w.teams[0].cpus_max = 2;
    launch_all(&f, 1);
    pass(&f, 1);
    end(&f, "quota", "waiting tasks don't count against the limit");

    begin(&f);
    f.job->told_cancel_at = 0.5;
    f.w.cancel_s = 5;
    launch(&f, 0, 0, 1);
    pass(&f, 8);
    end(&f, "ran_cancelled", "a waiting task of a cancelled job");
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
    if (!failures) printf("ok sim gang\n");
    return failures != 0;
}
