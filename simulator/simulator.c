/* Creation, run and verdict of a simulation. */
#include "simulator_int.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_END_S 60.0
#define HASH_START 14695981039346656037u
#define HASH_PRIME 1099511628211u

tw_simulator *tw_simulator_new(const char *name) {
    tw_simulator *sim = tw_simulator_allocate(sizeof *sim);
    snprintf(sim->name, sizeof sim->name, "%s", name ? name : "");
    sim->quiet = !name;
    sim->trace = name && getenv("TW_TRACE");
    tw_simulator_set_earlier_version(sim, getenv("TW_EARLIER_CORE"));
    tw_simulator_set_target_version(sim, getenv("TW_TARGET_CORE"));
    tw_simulator_world_init(&sim->world);
    sim->world.job_ended = tw_simulator_handle_job_end;
    sim->world.context = sim;
    sim->faults.delayed_command_machine = -1;
    sim->faults.duplicated_heartbeat_machine = -1;
    sim->rps = 1e9;
    sim->request_tokens = 1e9;
    sim->end_s = DEFAULT_END_S;
    sim->digest = HASH_START;
    return sim;
}

void tw_simulator_set_earlier_version(tw_simulator *sim, const char *program) {
    sim->earlier_program = program && *program ? program : NULL;
}

void tw_simulator_set_target_version(tw_simulator *sim, const char *program) {
    sim->target_program = program && *program ? program : NULL;
}

bool tw_simulator_lacks_earlier_version(const tw_simulator *sim) {
    return sim->needs_earlier_version && !sim->earlier_program;
}

void tw_simulator_report_failure(tw_simulator *sim, const char *what, const char *detail) {
    tw_simulator_world *world = &sim->world;
    if (!sim->failed++ && !*world->rule)
        snprintf(world->detail, sizeof world->detail, "t=%.2f %s %s", world->now, what, detail);
    if (*world->earlier_version_violation.rule && !world->attributes_to_earlier_version &&
        !*sim->later_failure)
        snprintf(sim->later_failure, sizeof sim->later_failure, "t=%.2f %s %s", world->now, what,
                 detail);
    if (!sim->quiet) printf("FAIL %s: t=%.2f %s %s\n", sim->name, world->now, what, detail);
}

static void add_to_digest(tw_simulator *sim, const void *bytes, size_t size) {
    const unsigned char *byte = bytes;
    for (size_t i = 0; i < size; i++) sim->digest = (sim->digest ^ byte[i]) * HASH_PRIME;
}

void tw_simulator_add_to_digest(tw_simulator *sim, int kind, int who, int status,
                                const char *body) {
    const int numbers[] = {kind, who, status};
    add_to_digest(sim, &sim->world.now, sizeof sim->world.now);
    add_to_digest(sim, numbers, sizeof numbers);
    if (body) add_to_digest(sim, body, strlen(body));
}

/* Records the version of the current leader. */
static void record_leader_version(tw_simulator *sim) {
    tw_simulator_world *world = &sim->world;
    const uint64_t version = tw_simulator_state_version(&world->state, "leader");
    if (sim->earlier_version_leads) world->earlier_version_led_at = world->now;
    if (version == sim->leader_key_version || !version) return;
    sim->leader_key_version = version;
    const int leader = tw_simulator_find_leader(sim);
    sim->earlier_version_leads = leader >= 0 && sim->nodes[leader].earlier_version;
    if (leader >= 0 && !sim->nodes[leader].earlier_version) sim->new_version_led = true;
    world->attributes_to_earlier_version = sim->judges_to_end && !sim->new_version_led;
    /* The fencing token of a leader is the mod revision of its key. */
    if (world->attributes_to_earlier_version) world->earlier_token = version;
}

void tw_simulator_judge_to_end(tw_simulator *sim) { sim->judges_to_end = true; }

static void fill_verdict(const tw_simulator *sim, tw_simulator_verdict *verdict) {
    const tw_simulator_world *world = &sim->world;
    const tw_simulator_violation *first = &world->earlier_version_violation;
    memset(verdict, 0, sizeof *verdict);
    memcpy(verdict->rule, world->rule, sizeof verdict->rule);
    memcpy(verdict->detail, world->detail, sizeof verdict->detail);
    verdict->violated_at = *world->rule ? world->violated_at : world->now;
    verdict->failed = sim->failed;
    verdict->overlapping_answers = world->overlapping_answers;
    verdict->end_s = world->now;
    verdict->digest = sim->digest;
    verdict->only_earlier_version_led =
        sim->leader_key_version && !sim->new_version_led && !(sim->judges_to_end && *world->rule);
    if (!*first->rule) return;
    verdict->only_earlier_version_led = true;
    memcpy(verdict->later_violation.rule, world->rule, sizeof verdict->later_violation.rule);
    snprintf(verdict->later_violation.detail, sizeof verdict->later_violation.detail, "%s",
             *world->rule ? world->detail : sim->later_failure);
    verdict->later_violation.at = verdict->violated_at;
    memcpy(verdict->rule, first->rule, sizeof verdict->rule);
    memcpy(verdict->detail, first->detail, sizeof verdict->detail);
    verdict->violated_at = first->at;
    verdict->inherited_violation = world->inherited_violation;
    verdict->inherited_violation_count = world->inherited_violation_count;
}

void tw_simulator_run(tw_simulator *sim, tw_simulator_verdict *verdict) {
    tw_simulator_world *world = &sim->world;
    tw_simulator_event *event;
    for (int i = 0; i < world->node_count; i++) tw_simulator_node_start_after(sim, i, 0);
    tw_simulator_workers_start(sim);
    while (world->node_count && !*world->rule && (event = tw_simulator_pop_event(sim))) {
        bool over = event->at > sim->end_s;
        if (!over) {
            world->now = event->at;
            event->handler(sim, event);
            record_leader_version(sim);
        }
        if (!event->queued) tw_simulator_event_free(event);
        if (over) break;
    }
    if (world->served_age_s > 0 && !*world->rule) tw_simulator_judge_served_jobs(world);
    fill_verdict(sim, verdict);
}

void tw_simulator_free(tw_simulator *sim) {
    if (!sim) return;
    /* Killing a node may schedule events, so that the events are freed afterwards. */
    for (int i = 0; i < sim->world.node_count; i++) tw_simulator_node_kill(sim, i);
    for (size_t i = 0; i < sim->event_count; i++) tw_simulator_event_free(sim->events[i]);
    free(sim->events);
    tw_simulator_connection *connection, *next;
    HASH_ITER(hh, sim->connections, connection, next) {
        HASH_DEL(sim->connections, connection);
        free(connection);
    }
    for (int i = 0; i < sim->faults.held_heartbeat_count; i++)
        free(sim->faults.held_heartbeats[i].body);
    free(sim->faults.held_heartbeats);
    free(sim->teams);
    free(sim->objectives);
    free(sim->next_limits);
    tw_simulator_world_free(&sim->world);
    free(sim);
}
