/* Commands of the scenario language for what users do. */
#include "simulator_int.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void text_option(const tw_simulator_words *w, const char *key, char *to, size_t size,
                        const char *otherwise) {
    const char *value = tw_simulator_option(w, key);
    snprintf(to, size, "%s", value ? value : otherwise);
}

static int rank_of(const char *name) {
    static const char *const ranks[] = {"idle", "normal", "high", "prod"};
    for (int i = 0; i < 4; i++)
        if (!strcmp(name, ranks[i])) return i;
    return TW_PRIORITY_NORMAL;
}

static int job_index(tw_simulator *sim, const char *id) {
    tw_simulator_job *job = tw_simulator_job_find(&sim->world, id);
    if (!job) job = tw_simulator_job_new(&sim->world, id);
    return job->index;
}

static void job_spec(tw_wire_job *s, const tw_simulator_words *w) {
    char text[TW_SIMULATOR_NAME];
    text_option(w, "lane", s->job_class, sizeof s->job_class, "lane");
    text_option(w, "crew", s->team, sizeof s->team, "crew");
    text_option(w, "bundle", s->image, sizeof s->image, "img-1");
    text_option(w, "yard", s->zone, sizeof s->zone, "");
    text_option(w, "shape", text, sizeof text, "batch");
    s->service = !strcmp(text, "service");
    s->gang = !strcmp(text, "group");
    text_option(w, "rank", text, sizeof text, "normal");
    s->priority = rank_of(text);
    s->task_count = (int)tw_simulator_option_number(w, "pieces", 1);
    s->cores = tw_simulator_option_number(w, "cores", 2);
    s->gpus = tw_simulator_option_number(w, "gpus", 0);
    s->memory_gb = tw_simulator_option_number(w, "mem", 4);
    s->image_gb = tw_simulator_option_number(w, "image", 1);
    s->single_zone = (int)tw_simulator_option_number(w, "same", 0);
    s->spread = (int)tw_simulator_option_number(w, "apart", 0);
    s->spot = (int)tw_simulator_option_number(w, "loaner", 0);
    s->expected_run_s = s->service ? 0 : tw_simulator_option_number(w, "expect", 10);
    s->checkpoint_s = tw_simulator_option_number(w, "snapshot", 0);
    s->save_s = tw_simulator_option_number(w, "flush", 0);
    s->deadline_s = tw_simulator_option_number(w, "due", -1);
    const char *type = tw_simulator_option(w, "rack");
    if (!type) return;
    s->machine_types = tw_simulator_zeroed(TW_WIRE_NAME_SIZE);
    snprintf(s->machine_types[0], TW_WIRE_NAME_SIZE, "%s", type);
    s->machine_type_count = 1;
}

static int submitted_job(tw_simulator *sim, const char *id, const tw_simulator_words *w) {
    int index = job_index(sim, id);
    tw_simulator_job *job = sim->world.jobs[index];
    if (job->submitted) return index;
    job_spec(&job->spec, w);
    job->run_s = tw_simulator_option_number(w, "run", job->spec.expected_run_s);
    job->fails = (int)tw_simulator_option_number(w, "fails", 0);
    job->submitted = 1;
    job->done = tw_simulator_zeroed((size_t)(job->spec.task_count > 0 ? job->spec.task_count : 1));
    job->first_try = sim->world.now;
    return index;
}

static void submit(tw_simulator *sim, const tw_simulator_words *w) {
    tw_simulator_user_send(sim, submitted_job(sim, w->word[1], w), TW_SIMULATOR_SUBMIT);
}

static void cancel(tw_simulator *sim, const tw_simulator_words *w) {
    tw_simulator_user_cancel(sim, job_index(sim, w->word[1]));
}

static void poll(tw_simulator *sim, const tw_simulator_words *w) {
    tw_simulator_user_send(sim, job_index(sim, w->word[1]), TW_SIMULATOR_POLL);
}

/* For jobs with ids in a row. */
static void many(tw_simulator *sim, const tw_simulator_words *w, bool cancels) {
    const char *first = w->word[1];
    int from = strlen(first) > 4 ? tw_simulator_int(first + 4) : 0,
        n = tw_simulator_int(w->word[2]);
    for (int k = 0; k < n; k++) {
        char id[TW_WIRE_ID_SIZE];
        snprintf(id, sizeof id, "run-%06d", from + k);
        if (cancels)
            tw_simulator_user_cancel(sim, job_index(sim, id));
        else
            tw_simulator_user_send(sim, submitted_job(sim, id, w), TW_SIMULATOR_SUBMIT);
    }
}

static void submit_many(tw_simulator *sim, const tw_simulator_words *w) { many(sim, w, false); }
static void cancel_many(tw_simulator *sim, const tw_simulator_words *w) { many(sim, w, true); }

/* `raw METHOD PATH STATUS BODY` */
static void raw(tw_simulator *sim, const tw_simulator_words *w) {
    int node = tw_simulator_pick_node(sim);
    if (node < 0) return;
    const char *rest = w->line;
    for (int i = 0; i < 4; i++) {
        rest += strspn(rest, " \t");
        rest += strcspn(rest, " \t\r\n");
    }
    rest += strspn(rest, " \t");
    char *body = tw_simulator_text(rest);
    body[strcspn(body, "\r\n")] = 0;
    tw_simulator_conn *c = tw_simulator_conn_new(sim, node, TW_SIMULATOR_CONN_RAW);
    c->wanted = tw_simulator_int(w->word[3]);
    snprintf(c->what, sizeof c->what, "%.20s %.30s %.100s", w->word[1], w->word[2], body);
    tw_simulator_node_request(sim, node, TW_PORT_API, c->id, w->word[1], w->word[2], body);
    free(body);
}

const tw_simulator_command tw_simulator_commands[] = {
    {"submit", 2, TW_SIMULATOR_NO_TROUBLE, submit},
    {"submits", 3, TW_SIMULATOR_NO_TROUBLE, submit_many},
    {"abort", 2, TW_SIMULATOR_NO_TROUBLE, cancel},
    {"aborts", 3, TW_SIMULATOR_NO_TROUBLE, cancel_many},
    {"poll", 2, TW_SIMULATOR_NO_TROUBLE, poll},
    {"raw", 4, TW_SIMULATOR_NO_TROUBLE, raw},
    {"expect", 2, TW_SIMULATOR_NO_TROUBLE, tw_simulator_expect},
    {NULL, 0, 0, NULL}};
