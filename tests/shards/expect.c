/* The scenario command `expect`, which checks a condition at its simulated time (README.md). */
#include "script_int.h"
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

/* Returns the standby of the named node, or NULL if the node is not running. */
static const tw_standby *running_standby(const tw_world *world, const char *name) {
    const int node_index = tw_script_node(world, name);
    return node_index < 0 || !world->nodes[node_index].incarnation
               ? NULL
               : world->nodes[node_index].standby;
}

/* expect leader NODE NAME|nobody: checks the controller to which the node redirects clients. */
static void expect_leader(tw_world *world, const tw_script_words *read) {
    const int node_index = tw_script_node(world, read->words[2]);
    char leader[TW_STANDBY_ADDRESS_SIZE] = "";
    double retry_after_s = 0;
    if (node_index >= 0 && world->nodes[node_index].incarnation)
        tw_standby_leader(world->nodes[node_index].standby,
                          tw_elections_steady_clock(world, node_index), leader, &retry_after_s);
    if (strcmp(leader[0] ? leader : "nobody", read->words[3]) != 0)
        tw_world_fail(world, "%s redirects clients to \"%s\"", read->words[2], leader);
    if (!leader[0] && retry_after_s <= 0)
        tw_world_fail(world, "%s names no leader and no retry time", read->words[2]);
}

/* expect state NODE NAME; expect gaps|snapshots|held_back NODE LEAST: checks a standby's status. */
static int expect_standby(tw_world *world, const tw_script_words *read) {
    tw_standby *standby = (tw_standby *)running_standby(world, read->words[2]);
    if (!standby || read->count != 4) return -1;
    const int node_index = tw_script_node(world, read->words[2]);
    const tw_standby_status status =
        tw_standby_status_of(standby, tw_elections_steady_clock(world, node_index));
    if (!strcmp(read->words[1], "state")) {
        if (strcmp(tw_standby_state_name(status.state), read->words[3]) != 0)
            tw_world_fail(world, "standby %s is in state %s", read->words[2],
                          tw_standby_state_name(status.state));
        return 0;
    }
    const long got = !strcmp(read->words[1], "gaps")        ? status.gaps
                     : !strcmp(read->words[1], "snapshots") ? status.snapshots
                                                            : status.quarantined;
    if ((double)got < word_number(read, 3))
        tw_world_fail(world, "standby %s counts only %ld %s", read->words[2], got, read->words[1]);
    return 0;
}

static void expect_range(tw_world *world, const char *what, double got, double least, double most) {
    if (got < least || got > most)
        tw_world_fail(world, "expected %s from %g to %g, got %g", what, least, most, got);
}

static void expect_size(tw_world *world, const tw_script_words *read) {
    tw_shards *reader = tw_judge_read_records(world);
    int size = -1;
    for (int i = 0; i < tw_shards_shard_count(reader); i++) {
        const tw_shards_shard_view view = tw_shards_shard_at(reader, i);
        if (!strcmp(view.name, read->words[2])) size = view.open + view.taken + view.draining;
    }
    tw_shards_free(reader);
    expect_range(world, read->words[2], size, word_number(read, 3), word_number(read, 4));
}

static void expect_owner(tw_world *world, const tw_script_words *read) {
    tw_shards *reader = tw_judge_read_records(world);
    bool found = false;
    for (int i = 0; i < tw_shards_machine_count(reader); i++) {
        const tw_shards_notification machine = tw_shards_machine_at(reader, i);
        if (strcmp(machine.machine, read->words[2]) != 0) continue;
        found = true;
        if (strcmp(machine.shard, read->words[3]) != 0)
            tw_world_fail(world, "machine %s is in share %s", machine.machine, machine.shard);
    }
    tw_shards_free(reader);
    if (!found) tw_world_fail(world, "machine %s is in no share", read->words[2]);
}

static void expect_answer(tw_world *world, const tw_script_words *read) {
    const tw_world_client *client = tw_script_client(world, read->words[2]);
    const char *got = "none";
    if (client && client->answered) got = tw_shards_verdict_name(client->verdict);
    if (strcmp(got, read->words[3]) != 0)
        tw_world_fail(world, "request %s was answered %s", read->words[2], got);
}

/* expect again KEY VERDICT: checks the answer to the last request that used the key. */
static void expect_again(tw_world *world, const tw_script_words *read) {
    const char *got = "none";
    for (int i = 0; i < world->client_count; i++) {
        const tw_world_client *each = &world->clients[i];
        if (!strcmp(each->request.key, read->words[2]) && each->answered)
            got = tw_shards_verdict_name(each->verdict);
    }
    if (strcmp(got, read->words[3]) != 0)
        tw_world_fail(world, "the last request %s was answered %s", read->words[2], got);
}

static int expect_move(tw_world *world, const tw_script_words *read) {
    const tw_world_client *client = tw_script_client(world, read->words[2]);
    const char *what = read->words[1];
    double got = -1;
    if (client && !strcmp(what, "moved")) got = client->progress.moved;
    if (client && !strcmp(what, "returned")) got = client->progress.returned;
    if (client && !strcmp(what, "lost")) got = client->progress.lost;
    if (client && !strcmp(what, "within")) {
        got = client->done_at ? client->done_at - client->requested_at : world->end;
        expect_range(world, "seconds of a move", got, 0, word_number(read, 3));
        return 0;
    }
    expect_range(world, what, got, word_number(read, 3),
                 read->count > 4 ? word_number(read, 4) : word_number(read, 3));
    return 0;
}

int tw_script_expect(tw_world *world, const tw_script_words *read) {
    if (read->count < 3) return -1;
    const char *what = read->words[1];
    if (!strcmp(what, "size") && read->count == 5)
        expect_size(world, read);
    else if (!strcmp(what, "in"))
        expect_owner(world, read);
    else if (!strcmp(what, "answer"))
        expect_answer(world, read);
    else if (!strcmp(what, "again"))
        expect_again(world, read);
    else if (!strcmp(what, "state") || !strcmp(what, "gaps") || !strcmp(what, "snapshots") ||
             !strcmp(what, "held_back"))
        return expect_standby(world, read);
    else if (!strcmp(what, "leader") && read->count == 4)
        expect_leader(world, read);
    else if (!strcmp(what, "takeover"))
        expect_range(world, "seconds without a decider", world->longest_gap_s, 0,
                     word_number(read, 2));
    else if (!strcmp(what, "terms"))
        expect_range(world, "terms", world->terms, word_number(read, 2), word_number(read, 2));
    else if (!strcmp(what, "promoted")) {
        const char *got =
            world->promotions ? tw_shards_verdict_name(world->promotion_verdict) : "none";
        if (strcmp(got, read->words[2]) != 0)
            tw_world_fail(world, "the promotion was answered %s", got);
    } else if (!strcmp(what, "changes"))
        expect_range(world, "changes written", world->changes, 0, word_number(read, 2));
    else if (!strcmp(what, "refused"))
        expect_range(world, "requests refused", (double)world->refused, word_number(read, 2), 1e9);
    else if (!strcmp(what, "ended"))
        expect_range(world, "requests ended early", (double)world->ended_early, 0,
                     word_number(read, 2));
    else if (!strcmp(what, "failed"))
        expect_range(world, "requests answered 5xx", (double)world->failed, 0,
                     word_number(read, 2));
    else
        return expect_move(world, read);
    return 0;
}
