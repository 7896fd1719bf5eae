/* Commands of the scenario language for requests of users. */
#include "simulator_int.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void copy_option(const tw_simulator_words *words, const char *key, char *to, size_t size,
                        const char *otherwise) {
    const char *value = tw_simulator_option(words, key);
    snprintf(to, size, "%s", value ? value : otherwise);
}

static int parse_priority(const char *name) {
    static const char *const priorities[] = {"idle", "normal", "high", "prod"};
    for (int i = 0; i < 4; i++)
        if (!strcmp(name, priorities[i])) return i;
    return TW_PRIORITY_NORMAL;
}

static int find_or_create_job(tw_simulator *sim, const char *id) {
    tw_simulator_job *job = tw_simulator_job_find(&sim->world, id);
    if (!job) job = tw_simulator_job_new(&sim->world, id);
    return job->index;
}

static void read_job_spec(tw_wire_job *spec, const tw_simulator_words *words) {
    char text[TW_SIMULATOR_NAME_SIZE];
    copy_option(words, "class", spec->job_class, sizeof spec->job_class, "lane");
    copy_option(words, "team", spec->team, sizeof spec->team, "crew");
    copy_option(words, "image_name", spec->image, sizeof spec->image, "img-1");
    copy_option(words, "zone", spec->zone, sizeof spec->zone, "");
    copy_option(words, "shape", text, sizeof text, "batch");
    spec->service = !strcmp(text, "service");
    spec->gang = tw_simulator_is_value(text, "gang");
    copy_option(words, "priority", text, sizeof text, "normal");
    spec->priority = parse_priority(text);
    spec->task_count = (int)tw_simulator_option_number(words, "tasks", 1);
    spec->cores = tw_simulator_option_number(words, "cores", 2);
    spec->gpus = tw_simulator_option_number(words, "gpus", 0);
    spec->memory_gb = tw_simulator_option_number(words, "mem", 4);
    spec->image_gb = tw_simulator_option_number(words, "image_gb", 1);
    spec->single_zone = (int)tw_simulator_option_number(words, "single_zone", 0);
    spec->spread = (int)tw_simulator_option_number(words, "spread", 0);
    spec->spot = (int)tw_simulator_option_number(words, "spot", 0);
    spec->expected_run_s = spec->service ? 0 : tw_simulator_option_number(words, "expect", 10);
    spec->checkpoint_s = tw_simulator_option_number(words, "checkpoint", 0);
    spec->save_s = tw_simulator_option_number(words, "save", 0);
    spec->deadline_s = tw_simulator_option_number(words, "deadline", -1);
    const char *type = tw_simulator_option(words, "machine_type");
    if (!type) return;
    spec->machine_types = tw_simulator_allocate(TW_WIRE_NAME_SIZE);
    snprintf(spec->machine_types[0], TW_WIRE_NAME_SIZE, "%s", type);
    spec->machine_type_count = 1;
}

static int prepare_submission(tw_simulator *sim, const char *id, const tw_simulator_words *words) {
    int index = find_or_create_job(sim, id);
    tw_simulator_job *job = sim->world.jobs[index];
    if (job->submitted) return index;
    read_job_spec(&job->spec, words);
    job->run_s = tw_simulator_option_number(words, "run", job->spec.expected_run_s);
    job->fails = (int)tw_simulator_option_number(words, "fails", 0);
    job->submitted = true;
    job->done =
        tw_simulator_allocate((size_t)(job->spec.task_count > 0 ? job->spec.task_count : 1));
    job->first_submitted_at = sim->world.now;
    return index;
}

static void submit_job(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_user_send(sim, prepare_submission(sim, words->words[1], words),
                           TW_SIMULATOR_SUBMIT);
}

static void cancel_job(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_user_cancel(sim, find_or_create_job(sim, words->words[1]));
}

static void poll_job(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_user_send(sim, find_or_create_job(sim, words->words[1]), TW_SIMULATOR_POLL);
}

/* Submits or cancels jobs with consecutive ids. */
static void submit_or_cancel_jobs(tw_simulator *sim, const tw_simulator_words *words,
                                  bool cancels) {
    const char *first = words->words[1];
    int from = strlen(first) > 4 ? tw_simulator_parse_int(first + 4) : 0,
        count = tw_simulator_parse_int(words->words[2]);
    for (int k = 0; k < count; k++) {
        char id[TW_WIRE_ID_SIZE];
        snprintf(id, sizeof id, "run-%06d", from + k);
        if (cancels)
            tw_simulator_user_cancel(sim, find_or_create_job(sim, id));
        else
            tw_simulator_user_send(sim, prepare_submission(sim, id, words), TW_SIMULATOR_SUBMIT);
    }
}

static void submit_jobs(tw_simulator *sim, const tw_simulator_words *words) {
    submit_or_cancel_jobs(sim, words, false);
}
static void cancel_jobs(tw_simulator *sim, const tw_simulator_words *words) {
    submit_or_cancel_jobs(sim, words, true);
}

/* Executes `raw METHOD PATH STATUS BODY`: sends a request whose answer must have the status. */
static void send_raw(tw_simulator *sim, const tw_simulator_words *words) {
    int node = tw_simulator_pick_node(sim);
    if (node < 0) return;
    const char *rest = words->line;
    for (int i = 0; i < 4; i++) {
        rest += strspn(rest, " \t");
        rest += strcspn(rest, " \t\r\n");
    }
    rest += strspn(rest, " \t");
    char *body = tw_simulator_copy_text(rest);
    body[strcspn(body, "\r\n")] = 0;
    tw_simulator_connection *connection =
        tw_simulator_connection_new(sim, node, TW_SIMULATOR_CONNECTION_RAW);
    connection->expected_status = tw_simulator_parse_int(words->words[3]);
    snprintf(connection->what, sizeof connection->what, "%.20s %.30s %.100s", words->words[1],
             words->words[2], body);
    tw_simulator_node_request(sim, node, TW_PORT_API, connection->id, words->words[1],
                              words->words[2], body);
    free(body);
}

const tw_simulator_command tw_simulator_commands[] = {
    {"submit", 2, TW_SIMULATOR_NO_FAULT, submit_job},
    {"submits", 3, TW_SIMULATOR_NO_FAULT, submit_jobs},
    {"cancel", 2, TW_SIMULATOR_NO_FAULT, cancel_job},
    {"cancels", 3, TW_SIMULATOR_NO_FAULT, cancel_jobs},
    {"poll", 2, TW_SIMULATOR_NO_FAULT, poll_job},
    {"raw", 4, TW_SIMULATOR_NO_FAULT, send_raw},
    {"expect", 2, TW_SIMULATOR_NO_FAULT, tw_simulator_check_expectation},
    {NULL, 0, 0, NULL}};
