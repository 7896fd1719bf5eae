/* The workers' reports on their way to controllers, and the answers; copies that come late. */
#include "soak.h"
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define ANSWER_TIMEOUT_S 4.0
#define NEXT_NODE_S 1.0
#define LEAST_HELD_S 1.0
#define HELD_LEASES 2.5
#define HELD_SPREAD_S 0.3
#define KEPT_MOST_LEADERS 3
#define FIRST_HOST_DIGIT 3

/* A report on its way to a controller. */
typedef struct {
    int machine, node;
    uint64_t flight, session; /* flight 0: a copy, for whose answer nobody waits */
    double sent;
    char *body;
    int status;
    char *answer;
} report;

static void end(report *sent) {
    free(sent->body);
    free(sent->answer);
    free(sent);
}

/* ---- the answer ---- */

static void answer_arrives(soak *run, void *data) {
    report *sent = data;
    tw_simulator_worker *worker = run->world.workers[sent->machine];
    const bool awaited = sent->flight && worker->in_flight == sent->flight;
    if (awaited && run->world.now >= worker->hung_until) {
        worker->in_flight = 0;
        tw_simulator_worker_advance(&run->world, worker); /* a lease that has ended ends first */
        if (strstr(sent->answer, "\"launch\"")) soak_moment_came(run, MOMENT_LAUNCH);
        tw_simulator_worker_answer(&run->world, worker, sent->sent, sent->session, sent->status,
                                   sent->answer);
    }
    end(sent);
}

static void answered(soak *run, void *data, int status, const char *body) {
    report *sent = data;
    const tw_simulator_worker *worker = run->world.workers[sent->machine];
    const double seconds = soak_travel(run, sent->node, SOAK_WORKERS + sent->machine);
    const bool deaf = status && run->world.now < worker->unresponsive_until;
    const bool late = run->world.now + seconds >= sent->sent + ANSWER_TIMEOUT_S;
    soak_note(run, "node", sent->node, "worker", sent->machine,
              seconds < 0 || deaf || late ? "report's answer lost" : "report's answer", body);
    if (seconds < 0 || deaf || late) {
        end(sent);
        return;
    }
    sent->status = status;
    sent->answer = tw_simulator_copy_text(body);
    if (seconds > 0)
        soak_after(run, seconds, answer_arrives, sent);
    else
        answer_arrives(run, sent);
}

static void given_up(soak *run, void *data) {
    report *sent = data;
    tw_simulator_worker *worker = run->world.workers[sent->machine];
    if (worker->in_flight == sent->flight) {
        worker->in_flight = 0;
        worker->node = (worker->node + 1) % run->world.node_count;
        worker->next_heartbeat = run->world.now + NEXT_NODE_S;
    }
    end(sent);
}

/* ---- the report ---- */

static void arrives(soak *run, void *data) {
    report *sent = data;
    soak_note(run, "worker", sent->machine, "node", sent->node,
              sent->flight ? "report" : "copy of a report", sent->body);
    soak_call_node(run, sent->node, SOAK_API_PORT, "POST", "/hello", sent->body, ANSWER_TIMEOUT_S,
                   answered, sent);
}

static report *make(const soak *run, int machine, int node, const char *body, uint64_t flight) {
    report *made = tw_simulator_allocate(sizeof *made);
    made->machine = machine;
    made->node = node;
    made->flight = flight;
    made->session = run->world.workers[machine]->incarnation;
    made->sent = run->world.now;
    made->body = tw_simulator_copy_text(body);
    /* The endpoint as this controller sees it. */
    char host[SOAK_TEXT], digits[SOAK_TEXT];
    soak_address(run, host, SOAK_STAND_IN_HOST, 0);
    *(strrchr(host, '.') + 1) = 0;
    char *at = strstr(made->body, host);
    snprintf(digits, sizeof digits, "%d", SOAK_STAND_IN_HOST + node);
    if (at) memcpy(at + strlen(host), digits, FIRST_HOST_DIGIT);
    return made;
}

static void copies(soak *run, int machine, const char *body) {
    if (soak_strikes(run, &run->late_reports)) {
        report *copy = make(run, machine, soak_draw_index(run, run->plan.nodes), body, 0);
        soak_after(run, soak_draw(run, LEAST_HELD_S, HELD_LEASES * run->world.lease_s), arrives,
                   copy);
    }
    if (soak_strikes(run, &run->kept_reports)) {
        run->kept =
            tw_simulator_grow(run->kept, run->kept_count, &run->kept_cap, sizeof *run->kept);
        const int leaders = 1 + soak_draw_index(run, KEPT_MOST_LEADERS);
        run->kept[run->kept_count++] = (soak_kept){machine, leaders, tw_simulator_copy_text(body)};
    }
}

void soak_new_leader(soak *run) {
    int still_kept = 0;
    for (int i = 0; i < run->kept_count; i++) {
        if (--run->kept[i].leaders > 0) {
            run->kept[still_kept++] = run->kept[i];
            continue;
        }
        for (int node = 0; node < run->plan.nodes; node++) {
            report *copy = make(run, run->kept[i].machine, node, run->kept[i].body, 0);
            soak_after(run, soak_draw(run, 0, HELD_SPREAD_S), arrives, copy);
        }
        free(run->kept[i].body);
    }
    run->kept_count = still_kept;
}

static void send_report(soak *run, int machine) {
    tw_simulator_world *world = &run->world;
    tw_simulator_worker *worker = world->workers[machine];
    char *body = tw_simulator_worker_heartbeat(world, worker);
    worker->changed = false;
    worker->in_flight = ++run->last_flight;
    worker->last_heartbeat = world->now;
    worker->next_heartbeat = world->now + world->heartbeat_s * soak_draw(run, 0.75, 1.25);
    copies(run, machine, body);
    double seconds = soak_travel(run, SOAK_WORKERS + machine, worker->node);
    if (world->now < worker->mute_until) seconds = -1;
    soak_after(run, ANSWER_TIMEOUT_S, given_up,
               make(run, machine, worker->node, "", worker->in_flight));
    if (seconds >= 0) {
        report *sent = make(run, machine, worker->node, body, worker->in_flight);
        if (seconds > 0)
            soak_after(run, seconds, arrives, sent);
        else
            arrives(run, sent);
    }
    free(body);
}

void soak_workers_tick(soak *run) {
    tw_simulator_gangs_advance(&run->world);
    for (int i = 0; i < run->world.worker_count; i++) {
        tw_simulator_worker_advance(&run->world, run->world.workers[i]);
        if (tw_simulator_worker_heartbeat_due(&run->world, run->world.workers[i]))
            send_report(run, i);
    }
    tw_simulator_judge_now(&run->world);
}
