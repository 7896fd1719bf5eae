/* Invariants checked while a scenario runs and at its end:
 *   - An epoch of a machine is used by one controller only. The epochs of a machine never decrease,
 *     neither in the records nor on the machine.
 *   - Within one epoch a recorded state never returns to an earlier state.
 *   - A machine runs requests of only one controller at a time.
 *   - A machine accepts no order of a term lower than one it has accepted, none of an unrecorded
 *     term, and no minimum epoch that was set for another boot.
 *   - At most one controller decides. Its view equals the records when it starts to decide, and it
 *     changes no machine that does not know its term.
 *   - At the end every move is finished, every machine is open in exactly one shard, and every
 *     client request is answered.
 */
#include "shards_world.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PATH_SIZE 512
#define FULL_CHECK_MACHINES                                                                        \
    300 /* above this number of machines, only some transactions are checked */
#define CHECK_INTERVAL_TRANSACTIONS 40
#define ANSWER_SLACK_S 2.0 /* time after its deadline within which a request is answered */

/* ---- checks while the scenario runs ---- */

void tw_judge_epoch_use(tw_world *world, int node, int machine_index, uint64_t epoch) {
    for (int i = 0; i < world->use_count; i++) {
        const tw_world_epoch_use *each = &world->uses[i];
        if (each->machine != machine_index || each->epoch != epoch) continue;
        if (each->node != node)
            tw_world_fail(world, "two_owners: nodes %s and %s use epoch %lu of machine %s",
                          world->nodes[each->node].name, world->nodes[node].name,
                          (unsigned long)epoch, world->machines[machine_index].name);
        return;
    }
    if (world->use_count == world->use_capacity) {
        world->use_capacity = world->use_capacity ? 2 * world->use_capacity : TEXT_SIZE;
        world->uses = realloc(world->uses, sizeof *world->uses * (size_t)world->use_capacity);
        if (!world->uses) abort();
    }
    world->uses[world->use_count++] = (tw_world_epoch_use){machine_index, node, epoch};
}

/* Checks a request that the machine is about to run. */
void tw_judge_request_start(tw_world *world, int node, int machine_index, uint64_t epoch) {
    const tw_world_machine *machine = &world->machines[machine_index];
    if (epoch < machine->judged_epoch)
        tw_world_fail(world, "old_epoch: machine %s runs a request of epoch %lu after epoch %lu",
                      machine->name, (unsigned long)epoch, (unsigned long)machine->judged_epoch);
    for (int i = 0; i < machine->running_count; i++)
        if (machine->running[i].node != node)
            tw_world_fail(world, "two_owners: machine %s runs requests of nodes %s and %s",
                          machine->name, world->nodes[machine->running[i].node].name,
                          world->nodes[node].name);
}

void tw_judge_order(tw_world *world, int machine_index, uint64_t term) {
    const tw_world_machine *machine = &world->machines[machine_index];
    if (term < machine->judged_term)
        tw_world_fail(world, "old_term: machine %s accepts an order of term %lu after term %lu",
                      machine->name, (unsigned long)term, (unsigned long)machine->judged_term);
    if (world->lease_s > 0 && term > world->newest_term)
        tw_world_fail(world,
                      "unrecorded_term: machine %s accepts an order of term %lu, recorded is %lu",
                      machine->name, (unsigned long)term, (unsigned long)world->newest_term);
}

/* Checks that a leader changes the state of a machine only if the machine knows the leader's term.
 * Changes that open a new epoch are exempt, since the machine then accepts no other epoch. */
static void judge_term_known(tw_world *world, const tw_world_machine *simulated,
                             const tw_shards_notification *machine) {
    const bool decided =
        machine->state == TW_SHARDS_DRAINING || machine->state == TW_SHARDS_RELEASED ||
        (machine->state == TW_SHARDS_OPEN && machine->epoch == simulated->recorded_epoch);
    if (world->lease_s <= 0 || machine->state == simulated->recorded_state || !decided) return;
    if (!simulated->alive || !simulated->guard.started ||
        simulated->guard.term >= world->newest_term)
        return;
    tw_world_fail(world, "unchecked: machine %s becomes %s under term %lu, but knows only term %lu",
                  simulated->name, tw_shards_state_name(machine->state),
                  (unsigned long)world->newest_term, (unsigned long)simulated->guard.term);
}

/* Checks that at most one controller decides, and measures the time without one. */
void tw_judge_deciders(tw_world *world) {
    int deciders = 0;
    for (int i = 0; i < world->node_count; i++) {
        const tw_world_node *each = &world->nodes[i];
        if (!each->incarnation || !each->standby || each->hung_until > world->now) continue;
        deciders += tw_standby_decides(each->standby, tw_elections_steady_clock(world, i));
    }
    if (deciders > 1) tw_world_fail(world, "two_deciders: %d controllers decide", deciders);
    if (deciders || world->no_decider_since < 0) {
        if (deciders) world->no_decider_since = world->now;
        return;
    }
    const double gap = world->now - world->no_decider_since;
    if (gap > world->longest_gap_s) world->longest_gap_s = gap;
}

tw_shards *tw_judge_read_records(tw_world *world) {
    tw_shards *reader = tw_shards_new(&world->settings);
    char after[TEXT_SIZE] = "";
    tw_shards_effect *effect;
    tw_shards_begin_term(reader, world->now, "leader", 1);
    tw_shards_set_authority(reader, world->end + 1);
    while ((effect = tw_shards_next_effect(reader))) {
        if (effect->kind == TW_SHARDS_READ) {
            char path[PATH_SIZE];
            char *answer = NULL;
            snprintf(path, sizeof path, "/kv?starts=%s%s%s&most=%d", TW_SHARDS_PREFIX,
                     effect->text[0] ? "&since=" : "", effect->text, TW_SHARDS_PAGE);
            const double down = world->state.down_since;
            world->state.down_since = -1;
            const int status =
                tw_simulator_state_request(&world->state, world->now, "GET", path, "", &answer);
            world->state.down_since = down;
            if (status != HTTP_OK)
                tw_world_fail(world, "the judge cannot read the records after \"%s\"", after);
            tw_shards_handle_page(reader, world->now, effect->id, answer, strlen(answer));
            free(answer);
        }
        tw_shards_effect_free(effect);
    }
    if (!tw_shards_is_ready(reader)) tw_world_fail(world, "the judge cannot load the records");
    tw_shards_tick(reader, world->now, world->now);
    tw_shards_allow_decisions(reader, world->now);
    return reader;
}

/* Checks that a request with an open connection to a node that does not hang is answered soon after
 * its deadline. */
void tw_judge_unanswered(tw_world *world, int number) {
    const tw_world_user_request *request = &world->requests[number];
    if (world->now > request->sent_at + USER_DEADLINE_S + ANSWER_SLACK_S &&
        world->nodes[request->node].hung_until < request->sent_at)
        tw_world_fail(world, "request %d was dropped", number);
}

/* Checks the user requests only by the answers received and the completions on machines. */
void tw_judge_requests(tw_world *world) {
    for (int i = 0; i < world->request_count; i++) {
        const tw_world_user_request *each = &world->requests[i];
        if (each->answers != 1)
            tw_world_fail(world, "request %d got %d final answers", i, each->answers);
        if (each->answers && each->status == HTTP_OK && !each->completions)
            tw_world_fail(world, "request %d was answered, but no machine completed it", i);
    }
}

static tw_world_machine *find_simulated_machine(tw_world *world, const char *name) {
    for (int i = 0; i < world->machine_count; i++)
        if (!strcmp(world->machines[i].name, name)) return &world->machines[i];
    return NULL;
}

/* Checks that neither the epoch nor the state in a machine's record has gone back. */
static void judge_machine_record(tw_world *world, const tw_shards_notification *machine) {
    tw_world_machine *simulated = find_simulated_machine(world, machine->machine);
    if (!simulated) return;
    if (machine->epoch < simulated->recorded_epoch ||
        (machine->epoch == simulated->recorded_epoch && machine->state < simulated->recorded_state))
        tw_world_fail(world, "went_back: machine %s is %s in epoch %lu, was %s in epoch %lu",
                      simulated->name, tw_shards_state_name(machine->state),
                      (unsigned long)machine->epoch,
                      tw_shards_state_name(simulated->recorded_state),
                      (unsigned long)simulated->recorded_epoch);
    judge_term_known(world, simulated, machine);
    simulated->recorded_epoch = machine->epoch;
    simulated->recorded_state = machine->state;
}

void tw_judge_records(tw_world *world) {
    if (world->machine_count > FULL_CHECK_MACHINES &&
        world->transactions % CHECK_INTERVAL_TRANSACTIONS)
        return;
    tw_shards *reader = tw_judge_read_records(world);
    for (int i = 0; i < tw_shards_machine_count(reader); i++) {
        const tw_shards_notification machine = tw_shards_machine_at(reader, i);
        if (machine.state != TW_SHARDS_ABSENT) judge_machine_record(world, &machine);
    }
    tw_shards_free(reader);
}

void tw_judge_view(tw_world *world, int node_index) {
    const tw_shards *table = world->nodes[node_index].leader;
    tw_shards *reader = tw_judge_read_records(world);
    if (tw_shards_revision(table) != tw_shards_revision(reader) ||
        tw_shards_machine_count(table) != tw_shards_machine_count(reader))
        tw_world_fail(world, "stale_view: node %s decides at revision %lu, recorded is %lu",
                      world->nodes[node_index].name, (unsigned long)tw_shards_revision(table),
                      (unsigned long)tw_shards_revision(reader));
    for (int i = 0; i < tw_shards_machine_count(reader) && !world->failure[0]; i++) {
        const tw_shards_notification has = tw_shards_machine_at(table, i);
        const tw_shards_notification recorded = tw_shards_machine_at(reader, i);
        if (has.state != recorded.state || has.epoch != recorded.epoch)
            tw_world_fail(world, "stale_view: node %s has machine %s as %s",
                          world->nodes[node_index].name, recorded.machine,
                          tw_shards_state_name(has.state));
    }
    tw_shards_free(reader);
}

/* ---- checks at the end ---- */

/* Checks that each machine that is not removed has exactly one record, and that each record is
 * open. */
static void judge_machines(tw_world *world, const tw_shards *reader) {
    int *seen = calloc((size_t)world->machine_count + 1, sizeof *seen);
    if (!seen) abort();
    for (int i = 0; i < tw_shards_machine_count(reader); i++) {
        const tw_shards_notification machine = tw_shards_machine_at(reader, i);
        const tw_world_machine *simulated = find_simulated_machine(world, machine.machine);
        if (machine.state == TW_SHARDS_ABSENT || !simulated) continue;
        seen[simulated - world->machines]++;
        if (world->lease_s > 0 && simulated->alive &&
            simulated->guard.newest_epoch != machine.epoch)
            tw_world_fail(world, "stuck: machine %s has epoch %lu open, recorded is %lu",
                          simulated->name, (unsigned long)simulated->guard.newest_epoch,
                          (unsigned long)machine.epoch);
        if (machine.state != TW_SHARDS_OPEN)
            tw_world_fail(world, "stuck: machine %s is still %s with owner %s", simulated->name,
                          tw_shards_state_name(machine.state), machine.owner);
    }
    for (int i = 0; i < world->machine_count; i++)
        if (seen[i] != world->machines[i].alive)
            tw_world_fail(world, "machine %s has %d records", world->machines[i].name, seen[i]);
    free(seen);
}

/* Returns the progress of the move with the key, according to the records. */
static tw_shards_progress watch_move(const tw_world *world, tw_shards *reader, const char *key,
                                     tw_shards_verdict *verdict) {
    tw_shards_request request = {.kind = TW_SHARDS_WATCH, .id = 1};
    tw_shards_progress progress = {0};
    tw_shards_effect *effect;
    *verdict = TW_SHARDS_NOT_LEADER;
    snprintf(request.key, sizeof request.key, "%s", key);
    tw_shards_add_request(reader, world->now, &request);
    while ((effect = tw_shards_next_effect(reader))) {
        if (effect->kind == TW_SHARDS_ANSWER) {
            progress = effect->progress;
            *verdict = effect->verdict;
        }
        tw_shards_effect_free(effect);
    }
    return progress;
}

static bool is_shard_defined(const tw_shards *reader, const char *shard) {
    for (int i = 0; i < tw_shards_shard_count(reader); i++)
        if (!strcmp(tw_shards_shard_at(reader, i).name, shard)) return true;
    return false;
}

static void judge_client(tw_world *world, tw_shards *reader, const tw_world_client *client) {
    tw_shards_verdict verdict;
    if (!client->answered) {
        tw_world_fail(world, "unanswered: request with key \"%s\" for share \"%s\"",
                      client->request.key, client->request.shard);
        return;
    }
    if (client->request.kind == TW_SHARDS_DEFINE && client->verdict == TW_SHARDS_OK &&
        !is_shard_defined(reader, client->request.shard))
        tw_world_fail(world, "lost: share %s was accepted but has no record",
                      client->request.shard);
    if (client->request.kind != TW_SHARDS_MOVE || client->verdict != TW_SHARDS_OK) return;
    const tw_shards_progress progress = watch_move(world, reader, client->request.key, &verdict);
    if (verdict == TW_SHARDS_UNKNOWN_MOVE) return; /* only the newest finished moves are kept */
    if (!progress.done) tw_world_fail(world, "stuck: move %s is not finished", client->request.key);
    if (progress.moved + progress.returned + progress.lost != progress.wanted && !progress.returned)
        tw_world_fail(world, "move %s: %d moved, %d returned and %d lost of %d wanted",
                      client->request.key, progress.moved, progress.returned, progress.lost,
                      progress.wanted);
}

void tw_judge_end(tw_world *world) {
    tw_judge_requests(world);
    tw_shards *reader = tw_judge_read_records(world);
    judge_machines(world, reader);
    for (int i = 0; i < world->client_count; i++) judge_client(world, reader, &world->clients[i]);
    tw_shards_free(reader);
}
