/* Checks the conditions of `expect` lines at the time at which the scenario runs them. */
#include "simulator_int.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct {
    tw_simulator *sim;
    tw_simulator_job *job; /* the job that the first argument names, or NULL */
    const char *arguments[4];
    char actual[64];
} expectation;

static bool in_range(expectation *expected, double value, const char *least, const char *most) {
    snprintf(expected->actual, sizeof expected->actual, "%.0f", value);
    return value >= tw_simulator_parse_number(least) &&
           (!*most || value <= tw_simulator_parse_number(most));
}

static bool is_done(expectation *expected) {
    return expected->job && expected->job->reported_end == TW_JOB_DONE;
}
static bool is_cancelled(expectation *expected) {
    return expected->job && expected->job->reported_end == TW_JOB_CANCELLED;
}
static bool is_accepted(expectation *expected) { return expected->job && expected->job->accepted; }

static bool is_refused(expectation *expected) {
    int status = expected->job ? expected->job->last_status : -1;
    snprintf(expected->actual, sizeof expected->actual, "status %d", status);
    return expected->job && !expected->job->accepted &&
           status == tw_simulator_parse_int(expected->arguments[1]);
}

/* Compares the HTTP status of the last answer to a cancellation of the job. */
static bool cancel_status_matches(expectation *expected) {
    int status = expected->job ? expected->job->cancel_status : -1;
    snprintf(expected->actual, sizeof expected->actual, "status %d", status);
    return status == tw_simulator_parse_int(expected->arguments[1]);
}

static bool started_tasks_match(expectation *expected) {
    return in_range(expected, expected->job ? expected->job->started : -1, expected->arguments[1],
                    expected->arguments[2]);
}

static bool running_tasks_match(expectation *expected) {
    return in_range(expected,
                    tw_simulator_job_tasks_running(&expected->sim->world, expected->arguments[0]),
                    expected->arguments[1], expected->arguments[2]);
}

/* Checks the number of the job's tasks that wait for the rest of their gang. */
static bool waiting_tasks_match(expectation *expected) {
    return in_range(expected,
                    tw_simulator_job_tasks_in_stage(&expected->sim->world, expected->arguments[0],
                                                    TW_TASK_WAITING),
                    expected->arguments[1], expected->arguments[2]);
}

/* Checks how many times all tasks of the gang started together. */
static bool gang_starts_match(expectation *expected) {
    return in_range(expected, expected->job ? expected->job->gang_starts : -1,
                    expected->arguments[1], expected->arguments[2]);
}
/* Checks under how many attempts tasks of the gang have been launched. */
static bool gang_attempts_match(expectation *expected) {
    return in_range(expected, expected->job ? expected->job->gang_count : -1,
                    expected->arguments[1], expected->arguments[2]);
}

/* Checks the run time, in seconds, that the gang has saved in checkpoints. */
static bool saved_progress_matches(expectation *expected) {
    return in_range(expected, expected->job ? expected->job->gang_saved_s : -1,
                    expected->arguments[1], expected->arguments[2]);
}

/* Checks how many tasks of the job have exited with the given cause. */
static bool exit_count_matches(expectation *expected) {
    int cause = TW_CAUSE_DONE;
    while (cause < TW_CAUSE_OTHER &&
           strcmp(tw_simulator_causes[cause], expected->arguments[1]) != 0)
        cause++;
    if (!expected->job || cause == TW_CAUSE_OTHER) return false;
    return in_range(expected, expected->job->exits[cause], expected->arguments[2],
                    expected->arguments[3]);
}

static bool machine_count_matches(expectation *expected) {
    int count = 0;
    for (int i = 0; i < expected->sim->world.worker_count; i++)
        count += !expected->sim->world.workers[i]->removed;
    return in_range(expected, count, expected->arguments[0], expected->arguments[1]);
}

/* Checks how many machines of a type have existed since the scenario began. */
static bool rented_machines_match(expectation *expected) {
    const tw_simulator_world *world = &expected->sim->world;
    int count = 0;
    for (int i = 0; i < world->worker_count; i++)
        count += !strcmp(world->types[world->workers[i]->type_index].name, expected->arguments[0]);
    return in_range(expected, count, expected->arguments[1], expected->arguments[2]);
}

static tw_simulator_worker *find_machine(expectation *expected) {
    int i = tw_simulator_parse_int(expected->arguments[0]);
    return i >= 0 && i < expected->sim->world.worker_count ? expected->sim->world.workers[i] : NULL;
}

static bool is_removed(expectation *expected) {
    return find_machine(expected) && find_machine(expected)->removed;
}

static bool is_in_incarnation(expectation *expected) {
    return in_range(expected,
                    find_machine(expected) ? (double)find_machine(expected)->incarnation : -1,
                    expected->arguments[1], expected->arguments[1]);
}

static bool has_leader(expectation *expected) {
    return tw_simulator_find_leader(expected->sim) >= 0;
}

/* Checks how many steps the leader's process has taken since it started. */
static bool leader_steps_match(expectation *expected) {
    int leader = tw_simulator_find_leader(expected->sim);
    tw_simulator_controller *controller =
        leader < 0 ? NULL : expected->sim->nodes[leader].controller;
    double taken = controller ? (double)controller->methods->steps(controller) : 0;
    return in_range(expected, taken, "1", expected->arguments[0]);
}

/* Checks how many nodes are set to start with the earlier version. */
static bool earlier_version_nodes_match(expectation *expected) {
    int count = 0;
    for (int i = 0; i < expected->sim->world.node_count; i++)
        count += expected->sim->nodes[i].earlier_version;
    return in_range(expected, count, expected->arguments[0], expected->arguments[1]);
}

/* Checks whether the leader runs the earlier (`old`) or this (`new`) version. */
static bool leader_version_matches(expectation *expected) {
    int leader = tw_simulator_find_leader(expected->sim);
    if (leader < 0) return false;
    snprintf(expected->actual, sizeof expected->actual, "%s",
             expected->sim->nodes[leader].earlier_version ? "old" : "new");
    return !strcmp(expected->actual, expected->arguments[0]);
}

/* Checks how many times a fault has occurred or a kind of user request has been made. */
static bool fault_count_matches(expectation *expected) {
    static const char *const names[TW_SIMULATOR_FAULT_KINDS] = {
        "latewrites",   "lostwrites",  "lateheartbeats", "mute",       "unresponsive",
        "latecommands", "cutstate",    "slownode",       "latesends",  "repeatcommands",
        "closelooks",   "cancelatend", "cancelnow",      "oddrequests"};
    for (int i = 0; i < TW_SIMULATOR_FAULT_KINDS; i++)
        if (tw_simulator_is_command(expected->arguments[0], names[i]))
            return in_range(expected, expected->sim->fault_counts[i], expected->arguments[1],
                            expected->arguments[2]);
    return false;
}

/* Checks how many transactions the state service has refused because of their size. */
static bool oversized_txns_match(expectation *expected) {
    return in_range(expected, expected->sim->world.state.too_large_count, expected->arguments[0],
                    expected->arguments[1]);
}

/* Checks how many keys with a prefix the state service holds. */
static bool key_count_matches(expectation *expected) {
    const tw_simulator_state *state = &expected->sim->world.state;
    int count = 0;
    for (size_t i = 0; i < state->key_count; i++)
        count +=
            !strncmp(state->keys[i].key, expected->arguments[0], strlen(expected->arguments[0]));
    return in_range(expected, count, expected->arguments[1], expected->arguments[2]);
}

static const struct {
    const char *name;
    bool (*holds)(expectation *x);
} kinds[] = {{"done", is_done},
             {"cancelled", is_cancelled},
             {"accepted", is_accepted},
             {"refused", is_refused},
             {"starts", started_tasks_match},
             {"running", running_tasks_match},
             {"machines", machine_count_matches},
             {"rented", rented_machines_match},
             {"gone", is_removed},
             {"incarnation", is_in_incarnation},
             {"leader", has_leader},
             {"steps", leader_steps_match},
             {"struck", fault_count_matches},
             {"cancel", cancel_status_matches},
             {"toolarge", oversized_txns_match},
             {"keys", key_count_matches},
             {"waiting", waiting_tasks_match},
             {"gang_starts", gang_starts_match},
             {"attempts", gang_attempts_match},
             {"saved", saved_progress_matches},
             {"exits", exit_count_matches},
             {"old", earlier_version_nodes_match},
             {"led", leader_version_matches}};

void tw_simulator_check_expectation(tw_simulator *sim, const tw_simulator_words *words) {
    expectation expected = {.sim = sim, .arguments = {"", "", "", ""}};
    char text[TW_SIMULATOR_MESSAGE_SIZE];
    bool holds = false;
    for (int i = 0; i < 4 && i + 2 < words->count; i++) expected.arguments[i] = words->words[i + 2];
    expected.job = tw_simulator_job_find(&sim->world, expected.arguments[0]);
    for (size_t i = 0; i < sizeof kinds / sizeof *kinds; i++)
        if (tw_simulator_is_expectation(words->words[1], kinds[i].name))
            holds = kinds[i].holds(&expected);
    if (holds) return;
    snprintf(text, sizeof text, "%s %s %s %s %s got %s", words->words[1], expected.arguments[0],
             expected.arguments[1], expected.arguments[2], expected.arguments[3], expected.actual);
    tw_simulator_report_failure(sim, "expected", text);
}
