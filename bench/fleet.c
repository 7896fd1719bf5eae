/* Drives the measured node: simulated time, the core's inputs and its effects. */
#include "log/log.h"
#include "fleet_int.h"
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define SEED 1
#define MONOTONIC_START_S 1000.0
#define WALL_START_S 1e9
#define PEER_HEARTBEAT_S 1.0
#define ANSWER_WINDOW_S 0.05         /* longer than a chain of calls and responses takes */
#define MAX_START_S 1e4              /* enough for the largest number of records */
#define TOKEN_CONFIRMED_HEARTBEATS 3 /* by then each machine has reported the leader's token */
#define DEFAULT_RETRY_S 1.0 /* before a rejected submission is repeated, without a Retry-After */

/* An input to the core. */
typedef struct {
    unsigned kind;
    int port;
    uint64_t id; /* id of the request, or of the answered call */
    const char *method;
    const char *path;
    const char *body;
    int status;
} core_input;

/* ---- settings and construction of a fleet ---- */

static const char settings_text[] =
    "host_name = \"tray-0\"\nlocation = \"a\"\napi_addr = \"10.0.0.1:8080\"\n"
    "peer_bind = \"10.0.0.1:8081\"\n"
    "[[known]]\nhost_name = \"tray-1\"\nlocation = \"b\"\nendpoint = \"10.0.0.2:8081\"\n"
    "[[known]]\nhost_name = \"tray-2\"\nlocation = \"a\"\nendpoint = \"10.0.0.3:8081\"\n"
    "[external]\ncloud = \"10.2.0.2:1\"\nstate = \"10.2.0.1:1\"\n"
    "[settings]\nzones = [\"a\", \"b\"]\n"
    "[[settings.teams]]\nname = \"team-0\"\n[[settings.teams]]\nname = \"team-1\"\n"
    "[[settings.teams]]\nname = \"team-2\"\n[[settings.teams]]\nname = \"team-3\"\n"
    "[settings.workers]\nreport_s = 4.0\nlease_s = 22.0\ncancel_s = 42.0\n"
    "[settings.state]\nrps = 250.0\nwrite_rps = 70.0\nvalue_kb = 8.0\ntxn_ops = 12\n"
    "[settings.cloud]\nrps = 5.0\nlist_lag_s = 4.0\n"
    "[settings.limits]\ncpu_share = 0.1\nmem_mb = 56.0\nsockets = 600\n";

tw_bench_fleet *tw_bench_fleet_new(const tw_bench_load *load) {
    char error[256];
    tw_bench_fleet *fleet = tw_bench_alloc(sizeof *fleet);
    tw_log_init("error", "bench");
    fleet->load = *load;
    if (tw_config_parse(&fleet->conf, settings_text, error, sizeof error)) {
        fprintf(stderr, "tw_bench: cannot parse the simulated fleet's settings: %s\n", error);
        abort();
    }
    fleet->conf.tune.idle_ratio = 100; /* no scale-in of idle machines */
    fleet->now = fleet->next_tick = fleet->next_heartbeat = fleet->next_peer_heartbeats =
        MONOTONIC_START_S;
    fleet->revision = (uint64_t)tw_bench_recorded_jobs(load) + 1;
    if (load->follower) fleet->fencing_token = fleet->revision;
    fleet->submitted = tw_bench_recorded_jobs(load);
    tw_bench_workers_init(fleet);
    return fleet;
}

void tw_bench_fleet_free(tw_bench_fleet *fleet) {
    tw_bench_pending *answer;
    tw_bench_pending *next;
    tw_bench_submission *submission;
    tw_bench_submission *next_submission;
    if (fleet->core) tw_core_free(fleet->core);
    DL_FOREACH_SAFE(fleet->pending, answer, next) {
        free(answer->body);
        free(answer);
    }
    HASH_ITER(hh, fleet->submissions, submission, next_submission) {
        HASH_DEL(fleet->submissions, submission);
        free(submission);
    }
    tw_bench_workers_free(fleet);
    tw_config_free(&fleet->conf);
    free(fleet);
}

void tw_bench_fleet_measure(tw_bench_fleet *fleet, tw_bench_meter *meter) { fleet->meter = meter; }

/* ---- inputs of the core ---- */

/* Passes an input to the core. Returns the list of its effects in order, owned by the caller. */
static tw_effect *process_input(tw_bench_fleet *fleet, const core_input *input) {
    const double wall = WALL_START_S + fleet->now;
    const size_t length = input->body ? strlen(input->body) : 0;
    tw_effect *effects = NULL;
    tw_effect **end = &effects;
    if (input->kind == TW_BENCH_TICK)
        tw_core_tick(fleet->core, fleet->now, wall);
    else if (input->kind & (TW_BENCH_ANSWER | TW_BENCH_RECORDS))
        tw_core_response(fleet->core, fleet->now, wall, input->id, input->status, input->body,
                         length);
    else
        tw_core_request(fleet->core, fleet->now, wall, input->port, input->id, input->method,
                        input->path, input->body, length);
    while ((*end = tw_core_next_effect(fleet->core))) end = &(*end)->next;
    return effects;
}

/* Processes an input whose cost is measured. Not inlined and not static: bench/instructions names
 * this function to callgrind, which counts its instructions only. */
tw_effect *tw_bench_measured(tw_bench_fleet *fleet, const core_input *input);
__attribute__((noinline)) tw_effect *tw_bench_measured(tw_bench_fleet *fleet,
                                                       const core_input *input) {
    return process_input(fleet, input);
}

static tw_effect *process_measured_input(tw_bench_fleet *fleet, const core_input *input) {
    tw_bench_meter *meter = fleet->meter;
    const uint64_t steps = tw_core_pass_steps(fleet->core);
    const tw_bench_counters before = tw_bench_counters_now();
    tw_effect *effects = tw_bench_measured(fleet, input);
    const tw_bench_counters after = tw_bench_counters_now();
    meter->inputs++;
    meter->steps += tw_core_pass_steps(fleet->core) - steps;
    meter->allocations += after.allocations - before.allocations;
    meter->instructions += after.instructions - before.instructions;
    meter->seconds += after.seconds - before.seconds;
    return effects;
}

/* ---- effects of the core ---- */

static void on_submission_reply(tw_bench_fleet *fleet, const tw_effect *reply) {
    tw_bench_submission *submission;
    HASH_FIND(hh, fleet->submissions, &reply->id, sizeof reply->id, submission);
    if (!submission) return;
    if (reply->status == TW_BENCH_OK || reply->status == TW_BENCH_CREATED) {
        fleet->accepted++;
        HASH_DEL(fleet->submissions, submission);
        free(submission);
        return;
    }
    submission->resubmit_at =
        fleet->now + (reply->retry_after > 0 ? reply->retry_after : DEFAULT_RETRY_S);
}

static void handle_effect(tw_bench_fleet *fleet, const tw_effect *effect) {
    if (effect->kind == TW_EFFECT_CALL) {
        tw_bench_pending *answer = tw_bench_alloc(sizeof *answer);
        answer->call = effect->id;
        tw_bench_answer_call(fleet, effect, answer);
        DL_APPEND(fleet->pending, answer);
    } else if (effect->id == fleet->heartbeat_request) {
        if (effect->status == TW_BENCH_OK)
            tw_bench_worker_execute(fleet, fleet->heartbeat_worker, effect->body);
    } else {
        on_submission_reply(fleet, effect);
    }
}

static void run_input(tw_bench_fleet *fleet, const core_input *input) {
    const bool measured = fleet->meter && (fleet->meter->kinds & input->kind);
    tw_effect *effects =
        measured ? process_measured_input(fleet, input) : process_input(fleet, input);
    while (effects) {
        tw_effect *next = effects->next;
        handle_effect(fleet, effects);
        tw_core_effect_free(effects);
        effects = next;
    }
}

/* ---- ticks, responses, heartbeats and submissions ---- */

static void tick(tw_bench_fleet *fleet) {
    const core_input input = {.kind = TW_BENCH_TICK};
    run_input(fleet, &input);
}

static void answer_call(tw_bench_fleet *fleet, tw_bench_pending *answer) {
    const core_input input = {
        .kind = answer->kind, .id = answer->call, .body = answer->body, .status = answer->status};
    DL_DELETE(fleet->pending, answer);
    if (answer->due_at > fleet->now) fleet->now = answer->due_at;
    run_input(fleet, &input);
    free(answer->body);
    free(answer);
}

void tw_bench_fleet_send_heartbeat(tw_bench_fleet *fleet, int machine) {
    const bool own_zone = fleet->workers[machine].zone == 'a';
    char *text = tw_bench_worker_heartbeat(fleet, machine);
    const core_input input = {.kind = TW_BENCH_HEARTBEAT,
                              .port = own_zone ? TW_PORT_API : TW_PORT_PEER,
                              .id = ++fleet->requests,
                              .method = "POST",
                              .path = own_zone ? "/hello" : "/peer/hello",
                              .body = text};
    fleet->heartbeat_request = input.id;
    fleet->heartbeat_worker = machine;
    run_input(fleet, &input);
    free(text);
}

static void send_peer_heartbeats(tw_bench_fleet *fleet) {
    for (size_t i = 0; i < fleet->conf.peer_count; i++) {
        char *text = tw_bench_peer_text(fleet, fleet->conf.peers[i].name);
        const core_input input = {.kind = TW_BENCH_PEER,
                                  .port = TW_PORT_PEER,
                                  .id = ++fleet->requests,
                                  .method = "POST",
                                  .path = "/peer/ping",
                                  .body = text};
        run_input(fleet, &input);
        free(text);
    }
}

static void submit(tw_bench_fleet *fleet, tw_bench_submission *submission) {
    char *text = tw_bench_submission_text(submission->job);
    submission->request = ++fleet->requests;
    submission->resubmit_at = 0;
    HASH_ADD(hh, fleet->submissions, request, sizeof submission->request, submission);
    const core_input input = {.kind = TW_BENCH_USER,
                              .port = TW_PORT_API,
                              .id = submission->request,
                              .method = "POST",
                              .path = "/v1/jobs",
                              .body = text};
    run_input(fleet, &input);
    free(text);
}

int tw_bench_fleet_submit(tw_bench_fleet *fleet) {
    tw_bench_submission *submission = tw_bench_alloc(sizeof *submission);
    const int job = submission->job = fleet->submitted++;
    submit(fleet, submission);
    return job;
}

static void resubmit_due(tw_bench_fleet *fleet) {
    tw_bench_submission *submission;
    tw_bench_submission *next;
    HASH_ITER(hh, fleet->submissions, submission, next) {
        if (submission->resubmit_at <= 0 || submission->resubmit_at > fleet->now) continue;
        HASH_DEL(fleet->submissions, submission);
        submit(fleet, submission);
    }
}

/* ---- simulated time ---- */

/* Returns the earliest response that is due by `until`, or NULL if there is none. */
static tw_bench_pending *next_answer(const tw_bench_fleet *fleet, double until) {
    tw_bench_pending *answer;
    tw_bench_pending *first = NULL;
    DL_FOREACH(fleet->pending, answer) {
        if (answer->due_at <= until && (!first || answer->due_at < first->due_at)) first = answer;
    }
    return first;
}

static void answer_until(tw_bench_fleet *fleet, double until) {
    tw_bench_pending *answer;
    while ((answer = next_answer(fleet, until))) answer_call(fleet, answer);
}

void tw_bench_fleet_deliver_answers(tw_bench_fleet *fleet) {
    const double until = fleet->now + ANSWER_WINDOW_S;
    answer_until(fleet, until);
}

static void send_heartbeats_until(tw_bench_fleet *fleet, double until) {
    while (fleet->load.machines && fleet->next_heartbeat <= until) {
        if (fleet->next_heartbeat > fleet->now) fleet->now = fleet->next_heartbeat;
        answer_until(fleet, fleet->now);
        tw_bench_fleet_send_heartbeat(fleet, fleet->next_worker);
        fleet->next_worker = (fleet->next_worker + 1) % fleet->load.machines;
        fleet->next_heartbeat += TW_BENCH_HEARTBEAT_S / fleet->load.machines;
    }
}

/* Advances to `until` and processes all inputs but ticks. */
static void advance_until(tw_bench_fleet *fleet, double until) {
    send_heartbeats_until(fleet, until);
    answer_until(fleet, until);
    fleet->now = fmax(fleet->now, until);
    if (fleet->now >= fleet->next_peer_heartbeats) {
        fleet->next_peer_heartbeats = fleet->now + PEER_HEARTBEAT_S;
        send_peer_heartbeats(fleet);
    }
    resubmit_due(fleet);
}

void tw_bench_fleet_advance(tw_bench_fleet *fleet, double seconds) {
    const double end = fleet->now + seconds;
    while (fleet->next_tick <= end) {
        advance_until(fleet, fleet->next_tick);
        tick(fleet);
        fleet->next_tick += tw_core_tick_s(fleet->core);
    }
    advance_until(fleet, end);
}

void tw_bench_fleet_tick_after(tw_bench_fleet *fleet, double seconds) {
    advance_until(fleet, fleet->now + seconds);
    tick(fleet);
    fleet->next_tick = fleet->now + tw_core_tick_s(fleet->core);
}

/* ---- start of the node ---- */

int tw_bench_fleet_start(tw_bench_fleet *fleet) {
    const tw_bench_load *load = &fleet->load;
    const double latest = fleet->now + MAX_START_S;
    fleet->core = tw_core_new(&fleet->conf, SEED, fleet->now, WALL_START_S + fleet->now);
    while (!load->follower && !fleet->all_records_read && fleet->now < latest)
        tw_bench_fleet_advance(fleet, tw_core_tick_s(fleet->core));
    tw_bench_fleet_advance(fleet, TOKEN_CONFIRMED_HEARTBEATS * TW_BENCH_HEARTBEAT_S);
    if (load->follower) return 0;
    if (fleet->records != tw_bench_recorded_jobs(load) || fleet->returned) return -1;
    return tw_bench_fleet_running_tasks(fleet) == load->machines * load->tasks ? 0 : -1;
}

tw_bench_fleet *tw_bench_fleet_new_started(const tw_bench_load *load) {
    tw_bench_fleet *fleet = tw_bench_fleet_new(load);
    if (!tw_bench_fleet_start(fleet)) return fleet;
    tw_bench_fleet_free(fleet);
    return NULL;
}

int tw_bench_fleet_accepted_submissions(const tw_bench_fleet *fleet) { return fleet->accepted; }
int tw_bench_fleet_records_read(const tw_bench_fleet *fleet) { return fleet->records; }
int tw_bench_fleet_returned_machines(const tw_bench_fleet *fleet) { return fleet->returned; }
