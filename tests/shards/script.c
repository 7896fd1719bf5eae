/* Parses scenarios and runs their commands (README.md). */
#include "script_int.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_SEED 1
#define DEFAULT_VALUE_BYTES 8192
#define FIRST_LEADER_S 0.01

static tw_script_words split_words(const char *line) {
    tw_script_words read = {.count = 0};
    while (read.count < MAX_WORDS) {
        line += strspn(line, " \n");
        const size_t length = strcspn(line, " \n");
        if (!length) break;
        snprintf(read.words[read.count++], SCRIPT_WORD_SIZE, "%.*s", (int)length, line);
        line += length;
    }
    return read;
}

static void copy_name(char *to, const char *from) { snprintf(to, TW_SHARDS_NAME, "%s", from); }

int tw_script_node(const tw_world *world, const char *name) {
    for (int i = 0; !strcmp(name, "leader") && world->lease_s > 0 && i < world->node_count; i++) {
        const tw_world_node *each = &world->nodes[i];
        if (each->incarnation &&
            tw_standby_decides(each->standby, tw_elections_steady_clock(world, i)))
            return i;
    }
    return !strcmp(name, "leader") ? world->leader_index : tw_world_node_index(world, name);
}

/* ---- client requests ---- */

tw_world_client *tw_script_client(tw_world *world, const char *key) {
    for (int i = 0; i < world->client_count; i++)
        if (!strcmp(world->clients[i].request.key, key)) return &world->clients[i];
    return NULL;
}

/* move KEY FROM TO COUNT|MACHINE,... [image=NAME] [revision=N] */
static int do_move(tw_world *world, const tw_script_words *read) {
    tw_shards_request request = {.kind = TW_SHARDS_MOVE};
    if (read->count < 5) return -1;
    copy_name(request.key, read->words[1]);
    copy_name(request.shard, read->words[2]);
    copy_name(request.to, read->words[3]);
    request.count = (int)word_number(read, 4);
    for (int i = 5; i < read->count; i++) {
        const char *value = strchr(read->words[i], '=');
        if (!value) return -1;
        if (!strncmp(read->words[i], "image=", 6)) copy_name(request.image, value + 1);
        if (!strncmp(read->words[i], "revision=", 9)) request.revision = strtoull(value + 1, 0, 10);
    }
    tw_world_client *added = tw_world_add_client(world, &request);
    added->follow = 1;
    if (read->words[4][0] >= '0' && read->words[4][0] <= '9') return 0;
    char list[SCRIPT_WORD_SIZE];
    snprintf(list, sizeof list, "%s", read->words[4]);
    added->machine_names = calloc(MAX_WORDS, sizeof *added->machine_names);
    if (!added->machine_names) abort();
    for (char *name = strtok(list, ","); name; name = strtok(NULL, ","))
        copy_name(added->machine_names[added->request.machine_count++], name);
    added->request.machines = added->machine_names;
    return 0;
}

static int do_cancel(tw_world *world, const tw_script_words *read) {
    tw_shards_request request = {.kind = TW_SHARDS_CANCEL};
    if (read->count != 2) return -1;
    copy_name(request.key, read->words[1]);
    tw_world_add_client(world, &request);
    return 0;
}

/* share NAME OWNER LEAST [spread] */
static int do_share(tw_world *world, const tw_script_words *read) {
    tw_shards_request request = {.kind = TW_SHARDS_DEFINE, .spread = read->count > 4};
    if (read->count < 4) return -1;
    copy_name(request.shard, read->words[1]);
    copy_name(request.owner, read->words[2]);
    request.least = (int)word_number(read, 3);
    tw_world_add_client(world, &request);
    return 0;
}

/* ---- machines ---- */

static void register_machine(tw_world *world, int machine_index, double after) {
    tw_world_event *due = tw_world_add_event(world, after, TW_WORLD_MACHINE_REGISTRATION);
    due->machine = machine_index;
    due->incarnation = world->machines[machine_index].boot_id;
}

/* machines N SHARE ZONE */
static int do_machines(tw_world *world, const tw_script_words *read) {
    if (read->count != 4) return -1;
    for (int i = 0; i < (int)word_number(read, 1) && world->machine_count < TW_WORLD_MAX_MACHINES;
         i++) {
        const int machine_index = world->machine_count++;
        tw_world_machine *added = &world->machines[machine_index];
        snprintf(added->name, sizeof added->name, "m%d", machine_index);
        copy_name(added->shard, read->words[2]);
        copy_name(added->zone, read->words[3]);
        added->alive = true;
        tw_shards_guard_boot(&added->guard, added->boot_id + 1);
        register_machine(world, machine_index, 0.1);
    }
    return 0;
}

/* take MACHINE: removes it. restart MACHINE: restarts it, and it registers again. reboot MACHINE:
 * restarts it without a new registration. */
static int do_machine(tw_world *world, const tw_script_words *read) {
    const int machine_index = read->count == 2 ? tw_world_machine_index(world, read->words[1]) : -1;
    if (machine_index < 0) return -1;
    tw_world_machine *machine = &world->machines[machine_index];
    tw_world_end_running(world, machine_index, 0);
    machine->boot_id++;
    machine->registered = machine->accepted = false;
    machine->judged_term = 0; /* a machine does not keep its term across a restart */
    tw_shards_guard_boot(&machine->guard, machine->boot_id + 1);
    machine->alive = strcmp(read->words[0], "take") != 0;
    if (strcmp(read->words[0], "reboot") != 0) register_machine(world, machine_index, 0.1);
    return 0;
}

/* ---- faults ---- */

static int do_node(tw_world *world, const tw_script_words *read) {
    const int node_index = read->count > 1 ? tw_script_node(world, read->words[1]) : -1;
    const double seconds = read->count > 2 ? word_number(read, 2) : -1;
    if (node_index < 0) return -1;
    if (!strcmp(read->words[0], "kill"))
        tw_world_end_node(world, node_index, seconds);
    else if (!strcmp(read->words[0], "hang"))
        world->nodes[node_index].hung_until = world->now + seconds;
    else if (!strcmp(read->words[0], "lead"))
        tw_world_schedule_election(world, node_index);
    else if (!strcmp(read->words[0], "elected"))
        tw_world_elect_leader(world, node_index);
    else if (!world->nodes[node_index].incarnation)
        tw_world_start_node(world, node_index);
    return 0;
}

/* killlead NODE S, hanglead NODE S: the leader ends or hangs for S, and NODE is elected. */
static int do_leader_fault(tw_world *world, const tw_script_words *read) {
    const int node_index = read->count == 3 ? tw_script_node(world, read->words[1]) : -1;
    if (node_index < 0) return -1;
    if (!strcmp(read->words[0], "killlead"))
        tw_world_end_node(world, world->leader_index, word_number(read, 2));
    else
        world->nodes[world->leader_index].hung_until = world->now + word_number(read, 2);
    tw_world_schedule_election(world, node_index);
    return 0;
}

/* losewrites N TEXT, dropwrites N TEXT, latewrites N TEXT S */
static int do_writes(tw_world *world, const tw_script_words *read) {
    if (read->count < 3) return -1;
    copy_name(world->fault_text, read->words[2]);
    const int count = (int)word_number(read, 1);
    if (!strcmp(read->words[0], "losewrites")) world->lose_answers = count;
    if (!strcmp(read->words[0], "dropwrites")) world->drop_writes = count;
    if (!strcmp(read->words[0], "latewrites")) world->late_writes = count;
    if (read->count > 3) world->late_write_s = word_number(read, 3);
    return 0;
}

/* loss SHARE; late SHARE S; slow S */
static int do_network(tw_world *world, const tw_script_words *read) {
    if (read->count < 2) return -1;
    if (!strcmp(read->words[0], "loss")) world->loss = word_number(read, 1);
    if (!strcmp(read->words[0], "slow")) world->slow_s = word_number(read, 1);
    if (!strcmp(read->words[0], "late")) {
        world->late_fraction = word_number(read, 1);
        world->late_s = read->count > 2 ? word_number(read, 2) : 1;
    }
    return 0;
}

static int do_outage(tw_world *world, const tw_script_words *read) {
    const bool on = read->count > 1 && word_number(read, 1) > 0;
    tw_simulator_state_outage(&world->state, world->now, on);
    if (!on) return 0;
    tw_world_event *end = tw_world_add_event(world, word_number(read, 1), TW_WORLD_COMMAND);
    end->text = strdup("outage 0");
    return end->text ? 0 : -1;
}

/* load SHARE RATE SERVICE_S FOR_S */
static int do_load(tw_world *world, const tw_script_words *read) {
    if (read->count != 5 || world->load_count == TW_WORLD_MAX_NODES) return -1;
    tw_world_load *added = &world->loads[world->load_count];
    copy_name(added->shard, read->words[1]);
    added->rate = word_number(read, 2);
    added->service_s = word_number(read, 3);
    added->until = world->now + word_number(read, 4);
    tw_world_add_event(world, 0, TW_WORLD_LOAD_ARRIVAL)->number = world->load_count++;
    return 0;
}

/* when TEXT COMMAND...: runs COMMAND once, after the next transaction that contains TEXT is applied
 * and before its answer arrives. */
static int do_when(tw_world *world, const char *line) {
    if (world->trigger_count == TW_WORLD_MAX_TRIGGERS) return -1;
    tw_world_trigger *added = &world->triggers[world->trigger_count++];
    const tw_script_words read = split_words(line);
    if (read.count < 3) return -1;
    copy_name(added->text, read.words[1]);
    added->from = world->now;
    const char *rest = strstr(line, read.words[1]) + strlen(read.words[1]);
    snprintf(added->command, sizeof added->command, "%s", rest + strspn(rest, " "));
    return 0;
}

/* cut NODE NODE|state|machines S */
static int do_cut(tw_world *world, const tw_script_words *read) {
    if (read->count != 4 || world->cut_count == TW_WORLD_MAX_CUTS) return -1;
    const int one = tw_script_node(world, read->words[1]);
    const char *other = read->words[2];
    int end = tw_script_node(world, other);
    if (!strcmp(other, "state")) end = TW_WORLD_END_STATE;
    if (!strcmp(other, "machines")) end = TW_WORLD_END_MACHINES;
    if (one < 0 || (end < 0 && strcmp(other, "state") != 0 && strcmp(other, "machines") != 0))
        return -1;
    world->cuts[world->cut_count++] = (tw_world_cut){one, end, world->now + word_number(read, 3)};
    return 0;
}

/* spoil N: each of the next N changes of the feed loses a record in transit. */
static int do_spoil(tw_world *world, const tw_script_words *read) {
    if (read->count != 2) return -1;
    world->spoiled_changes_left = (int)word_number(read, 1);
    return 0;
}

/* clock NODE RATE STEP_S: sets the rate of the node's clocks and steps its wall clock. */
static int do_clock(tw_world *world, const tw_script_words *read) {
    const int node_index = read->count == 4 ? tw_script_node(world, read->words[1]) : -1;
    if (node_index < 0) return -1;
    world->nodes[node_index].rate = word_number(read, 2);
    world->nodes[node_index].wall_step_s = word_number(read, 3);
    return 0;
}

/* promote NODE: a client requests that the leader hands leadership over to NODE. */
static int do_promote(tw_world *world, const tw_script_words *read) {
    if (read->count != 2) return -1;
    tw_world_event *request = tw_world_add_event(world, 0, TW_WORLD_PROMOTE);
    request->node = tw_script_node(world, "leader");
    request->text = strdup(read->words[1]);
    if (!request->text) abort();
    return 0;
}

/* holds MACHINE IMAGE: reports to the leader that the machine holds the image. */
static int do_holds(tw_world *world, const tw_script_words *read) {
    tw_shards *leader = world->nodes[world->leader_index].leader;
    if (read->count != 3 || !leader) return -1;
    tw_shards_set_image_held(leader, read->words[1], read->words[2], 1);
    return 0;
}

/* plant drop|double|old|term|fence|check: injects a fault that the judge must detect. */
static int do_plant(tw_world *world, const tw_script_words *read) {
    if (read->count != 2) return -1;
    if (!strcmp(read->words[1], "drop")) world->plant_drop = 1;
    if (!strcmp(read->words[1], "double")) world->plant_double = 1;
    if (!strcmp(read->words[1], "old")) world->plant_old = 1;
    if (!strcmp(read->words[1], "term")) world->plant_term = 1;
    if (!strcmp(read->words[1], "fence")) world->plant_fence = 1;
    if (!strcmp(read->words[1], "check")) world->plant_check = 1;
    return 0;
}

/* print takeover; print feed: prints the figures since the last `count`. */
static int print_standby(const tw_world *world, const char *what) {
    if (!strcmp(what, "takeover"))
        printf("takeover: seconds=%.2f from_term_to_decision=%.3f state_calls=%ld "
               "state_bytes=%ld\n",
               world->longest_gap_s, world->decided_after_s, world->state_calls,
               world->state_bytes);
    else
        printf("feed: changes=%ld bytes_a_change=%.0f cpu_us_a_change=%.1f\n", world->feed_messages,
               (double)world->feed_bytes / (double)world->feed_messages,
               1e6 * world->feed_cpu_s / (double)world->feed_messages);
    return 0;
}

/* print KEY: prints the duration of the move and the counters since the last `count`. */
static int do_print(tw_world *world, const tw_script_words *read) {
    const tw_world_client *client =
        read->count == 2 ? tw_script_client(world, read->words[1]) : NULL;
    if (!client && read->count == 2) return print_standby(world, read->words[1]);
    if (!client) return -1;
    printf("%s: machines=%d seconds=%.2f transactions=%d changes=%d completed=%ld ended=%ld "
           "refused=%ld failed=%ld\n",
           client->request.key, client->progress.moved, client->done_at - client->requested_at,
           world->transactions, world->changes, world->completed, world->ended_early,
           world->refused, world->failed);
    return 0;
}

/* count: resets the counters. */
static int do_count(tw_world *world, const tw_script_words *read) {
    (void)read;
    world->changes = world->transactions = 0;
    world->completed = world->ended_early = world->refused = world->failed = 0;
    world->terms = 0;
    world->longest_gap_s = 0;
    world->state_calls = world->state_bytes = world->feed_messages = world->feed_bytes = 0;
    world->feed_cpu_s = 0;
    world->no_decider_since = world->now;
    return 0;
}

/* ---- parsing and running a scenario ---- */

static const struct command {
    const char *name;
    int (*carry_out)(tw_world *, const tw_script_words *);
} commands[] = {
    {"move", do_move},
    {"cancel", do_cancel},
    {"share", do_share},
    {"machines", do_machines},
    {"take", do_machine},
    {"restart", do_machine},
    {"kill", do_node},
    {"hang", do_node},
    {"lead", do_node},
    {"start", do_node},
    {"elected", do_node},
    {"killlead", do_leader_fault},
    {"hanglead", do_leader_fault},
    {"losewrites", do_writes},
    {"dropwrites", do_writes},
    {"latewrites", do_writes},
    {"loss", do_network},
    {"late", do_network},
    {"slow", do_network},
    {"outage", do_outage},
    {"load", do_load},
    {"expect", tw_script_expect},
    {"count", do_count},
    {"print", do_print},
    {"plant", do_plant},
    {"holds", do_holds},
    {"cut", do_cut},
    {"reboot", do_machine},
    {"spoil", do_spoil},
    {"clock", do_clock},
    {"promote", do_promote},
};

int tw_script_command(tw_world *world, char *line) {
    const tw_script_words read = split_words(line);
    if (read.count && !strcmp(read.words[0], "when")) return do_when(world, line);
    for (size_t i = 0; i < sizeof commands / sizeof *commands; i++) {
        if (!read.count || strcmp(read.words[0], commands[i].name) != 0) continue;
        if (!commands[i].carry_out(world, &read)) return 0;
        break;
    }
    tw_world_fail(world, "unknown or malformed command: %.100s", line);
    return -1;
}

static int do_set(tw_world *world, const tw_script_words *read) {
    const double value = read->count == 3 ? word_number(read, 2) : -1;
    const char *name = read->words[1];
    if (value < 0) return -1;
    if (!strcmp(name, "drain")) world->settings.drain_s = value;
    if (!strcmp(name, "grace")) world->settings.grace_s = value;
    if (!strcmp(name, "write_rps")) world->settings.write_rps = value;
    if (!strcmp(name, "seed")) gsl_rng_set(world->rng, (unsigned long)value);
    if (!strcmp(name, "lease")) world->lease_s = value;
    if (!strcmp(name, "ops")) world->settings.txn_ops = (int)value;
    if (!strcmp(name, "value_kb")) world->settings.value_bytes = (size_t)(value * 1024);
    world->state.limits.txn_ops = world->settings.txn_ops;
    world->state.limits.value_kb = (double)world->settings.value_bytes / 1024;
    return 0;
}

static void read_line(tw_world *world, const char *line) {
    const tw_script_words read = split_words(line);
    const char *first = read.words[0];
    if (!read.count || first[0] == '#') return;
    if (!strcmp(first, "set")) {
        if (do_set(world, &read)) tw_world_fail(world, "malformed setting: %.100s", line);
    } else if (!strcmp(first, "node") && world->node_count < TW_WORLD_MAX_NODES &&
               read.count == 2) {
        copy_name(world->nodes[world->node_count++].name, read.words[1]);
    } else if (!strcmp(first, "end")) {
        world->end = word_number(&read, 1);
    } else if (!strcmp(first, "at") && read.count > 2) {
        tw_world_event *due = tw_world_add_event(world, word_number(&read, 1), TW_WORLD_COMMAND);
        const char *rest = strstr(line, read.words[1]) + strlen(read.words[1]);
        due->text = strdup(rest + strspn(rest, " "));
        if (!due->text) abort();
    } else {
        tw_world_fail(world, "unknown or malformed line: %.100s", line);
    }
}

static void read_text(tw_world *world, const char *text) {
    while (*text) {
        char line[TEXT_SIZE];
        const size_t length = strcspn(text, "\n");
        snprintf(line, sizeof line, "%.*s", (int)length, text);
        read_line(world, line);
        text += length + (text[length] != 0);
    }
}

static void free_world(tw_world *world) {
    tw_world_event *first;
    while ((first = world->events)) {
        world->events = first->next;
        tw_world_free_event(first);
    }
    for (int i = 0; i < world->node_count; i++) tw_world_end_node(world, i, -1);
    for (int i = 0; i < world->client_count; i++) free(world->clients[i].machine_names);
    tw_simulator_state_free(&world->state);
    gsl_rng_free(world->rng);
    for (int i = 0; i < world->machine_count; i++) free(world->machines[i].running);
    free(world->requests);
    free(world->machines);
    free(world->uses);
    free(world);
}

static void run_scenario(tw_world *world) {
    tw_world_event *first;
    for (int i = 0; i < world->node_count; i++) tw_world_start_node(world, i);
    world->now = FIRST_LEADER_S;
    world->no_decider_since = -1; /* gaps are measured from the first leader on */
    if (world->node_count && world->lease_s <= 0) tw_world_elect_leader(world, 0);
    while (!world->failure[0] && (first = world->events) && first->at <= world->end) {
        world->events = first->next;
        world->now = first->at;
        tw_world_handle(world, first);
        tw_world_free_event(first);
    }
    if (!world->failure[0]) {
        world->now = world->end;
        tw_judge_end(world);
    }
}

int tw_shards_play(const char *text, char *reason, size_t size) {
    tw_world *played = calloc(1, sizeof *played);
    if (!played) abort();
    played->machines = calloc(TW_WORLD_MAX_MACHINES, sizeof *played->machines);
    if (!played->machines) abort();
    played->settings = (tw_shards_settings){.drain_s = 3,
                                            .grace_s = 2,
                                            .retry_s = 1,
                                            .value_bytes = DEFAULT_VALUE_BYTES,
                                            .txn_ops = 12,
                                            .write_rps = 100};
    played->rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(played->rng, DEFAULT_SEED);
    tw_simulator_state_init(&played->state);
    read_text(played, text);
    run_scenario(played);
    snprintf(reason, size, "%s", played->failure);
    const bool failed = played->failure[0] != 0;
    free_world(played);
    return failed ? -1 : 0;
}
