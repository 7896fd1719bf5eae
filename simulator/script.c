/* The scenario language (tests/scenarios/README.md): settings are applied when their line is added,
 * `at` lines become events. */
#include "simulator_int.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_SERVED_AGE_S 240.0
#define DEFAULT_CAPACITY 20
#define CACHE_GB 200
#define COUNT(array) (sizeof(array) / sizeof(array)[0])
#define SPACE " \t\r\n"

static void split_words(char *line, tw_simulator_words *words) {
    char *rest = NULL;
    words->count = 0;
    for (char *word = strtok_r(line, SPACE, &rest); word && words->count < TW_SIMULATOR_MAX_WORDS;
         word = strtok_r(NULL, SPACE, &rest))
        words->words[words->count++] = word;
}

const char *tw_simulator_option(const tw_simulator_words *words, const char *key) {
    for (int i = 0; i < words->count; i++) {
        const char *word = words->words[i], *equals = strchr(word, '=');
        if (!equals) continue;
        if (tw_simulator_is_word(TW_SIMULATOR_WORD_OPTION, word, (size_t)(equals - word), key))
            return equals + 1;
    }
    return NULL;
}

double tw_simulator_option_number(const tw_simulator_words *words, const char *key,
                                  double otherwise) {
    const char *value = tw_simulator_option(words, key);
    return value ? tw_simulator_parse_number(value) : otherwise;
}

static int set_error(char *error, size_t size, const char *what, const char *line) {
    snprintf(error, size, "%s: %.*s", what, (int)strcspn(line, "\r\n"), line);
    return -1;
}

static void append_to_text(char **text, const char *more) {
    size_t size = (*text ? strlen(*text) : 0) + strlen(more) + 1;
    char *longer = realloc(*text, size);
    if (!longer) abort();
    if (!*text) *longer = 0;
    strcat(longer, more);
    *text = longer;
}

/* ---- settings: the functions return 0, or -1 if the line is invalid ---- */

static int add_node(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_world *world = &sim->world;
    if (world->node_count == TW_SIMULATOR_MAX_NODES) return -1;
    snprintf(world->nodes[world->node_count], TW_SIMULATOR_NAME_SIZE, "%s", words->words[1]);
    snprintf(world->node_zone[world->node_count++], TW_SIMULATOR_NAME_SIZE, "%s", words->words[2]);
    if (words->count == 3) return 0;
    return strcmp(words->words[3], "old") != 0
               ? -1
               : tw_simulator_use_earlier_version(sim, words->words[1]);
}

/* Applies `old NODE...`, `old even` or `old odd`: the named nodes, or those with an even or odd
 * index, start with the earlier version. */
static int set_earlier_version_nodes(tw_simulator *sim, const tw_simulator_words *words) {
    const bool even = !strcmp(words->words[1], "even"), odd = !strcmp(words->words[1], "odd");
    if (even || odd) {
        for (int i = odd; i < sim->world.node_count; i += 2)
            tw_simulator_use_earlier_version(sim, sim->world.nodes[i]);
        return 0;
    }
    for (int i = 1; i < words->count; i++)
        if (tw_simulator_use_earlier_version(sim, words->words[i])) return -1;
    return 0;
}

static int add_team(tw_simulator *sim, const tw_simulator_words *words) {
    if (sim->world.team_count == TW_SIMULATOR_MAX_TEAMS) return -1;
    tw_simulator_team *team = &sim->world.teams[sim->world.team_count++];
    char text[TW_SIMULATOR_MESSAGE_SIZE];
    snprintf(team->name, sizeof team->name, "%s", words->words[1]);
    team->gpus_max = tw_simulator_option_number(words, "gpus_max", 0);
    team->cpus_max = tw_simulator_option_number(words, "cpus_max", 0);
    snprintf(text, sizeof text,
             "[[settings.teams]]\nname = \"%s\"\ncpus = %g\ncpus_max = %g\ngpus = %g\n"
             "gpus_max = %g\n",
             team->name, tw_simulator_option_number(words, "cpus", 0), team->cpus_max,
             tw_simulator_option_number(words, "gpus", 0), team->gpus_max);
    append_to_text(&sim->teams, text);
    return 0;
}

static int add_type(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_world *world = &sim->world;
    if (world->type_count == TW_SIMULATOR_MAX_TYPES) return -1;
    tw_wire_machine_type *type = &world->types[world->type_count];
    snprintf(type->name, sizeof type->name, "%s", words->words[1]);
    type->cores = tw_simulator_option_number(words, "cores", 16);
    type->gpus = tw_simulator_option_number(words, "gpus", 0);
    type->memory_gb = tw_simulator_option_number(words, "mem", 64);
    type->cache_gb = CACHE_GB;
    type->fetch_gb_s = tw_simulator_option_number(words, "fetch", 1);
    type->on_demand_price = tw_simulator_option_number(words, "price", 1);
    type->spot_price = type->on_demand_price / 3;
    type->startup_s = tw_simulator_option_number(words, "boot", 5);
    world->capacity[world->type_count++] =
        (int)tw_simulator_option_number(words, "cap", DEFAULT_CAPACITY);
    for (int i = 0; i < world->node_count; i++) {
        bool known = false;
        for (int zone = 0; zone < type->zone_count; zone++)
            known |= !strcmp(type->zones[zone], world->node_zone[i]);
        if (!known)
            snprintf(type->zones[type->zone_count++], TW_WIRE_NAME_SIZE, "%s", world->node_zone[i]);
    }
    return 0;
}

static int add_machines(tw_simulator *sim, int count, const char *type, const char *zone,
                        bool spot) {
    int type_index = 0;
    while (type_index < sim->world.type_count &&
           strcmp(sim->world.types[type_index].name, type) != 0)
        type_index++;
    if (type_index == sim->world.type_count) return -1;
    for (int i = 0; i < count; i++)
        tw_simulator_add_machine(&sim->world, type_index, zone, spot, 0);
    return 0;
}

static int add_machine(tw_simulator *sim, const tw_simulator_words *words) {
    bool spot = words->count > 3 && !strcmp(words->words[3], "spot");
    return add_machines(sim, 1, words->words[1], words->words[2], spot);
}

static int add_many_machines(tw_simulator *sim, const tw_simulator_words *words) {
    return add_machines(sim, tw_simulator_parse_int(words->words[1]), words->words[2],
                        words->words[3], false);
}

static int add_objective(tw_simulator *sim, const tw_simulator_words *words) {
    char text[TW_SIMULATOR_MESSAGE_SIZE];
    snprintf(text, sizeof text,
             "[[settings.objectives]]\nkind = \"%s\"\nclass = \"%s\"\nwithin_s = %g\n"
             "share = 0.9\n",
             words->words[1], words->words[2],
             words->count > 3 ? tw_simulator_parse_number(words->words[3]) : 0);
    append_to_text(&sim->objectives, text);
    return 0;
}

void tw_simulator_set_next_limits(tw_simulator *sim, const tw_simulator_words *words) {
    static const struct {
        const char *option, *setting, *format;
    } limits[] = {{"value", "value_kb", "%s = %.1f\n"},
                  {"ops", "txn_ops", "%s = %.0f\n"},
                  {"write_rps", "write_rps", "%s = %.1f\n"},
                  {"rps", "rps", "%s = %.1f\n"}};
    free(sim->next_limits);
    sim->next_limits = NULL;
    append_to_text(&sim->next_limits, "[settings.state.next]\n");
    for (size_t i = 0; i < COUNT(limits); i++) {
        const double value = tw_simulator_option_number(words, limits[i].option, 0);
        char text[TW_SIMULATOR_MESSAGE_SIZE];
        if (value <= 0) continue;
        snprintf(text, sizeof text, limits[i].format, limits[i].setting, value);
        append_to_text(&sim->next_limits, text);
    }
}

static int set_value(tw_simulator *sim, const tw_simulator_words *words) {
    tw_simulator_world *world = &sim->world;
    tw_simulator_limits *limits = &world->state.announced_limits;
    const struct {
        const char *name;
        double *value;
    } values[] = {{"lease", &world->lease_s},
                  {"heartbeat", &world->heartbeat_s},
                  {"cancel", &world->cancel_s},
                  {"gang_wait", &world->gang_wait_s},
                  {"gang_peer", &world->gang_peer_s},
                  {"boot", &world->boot_s},
                  {"mem", &world->mem_mb},
                  {"rps", &sim->rps},
                  {"write_rps", &limits->write_rps},
                  {"value", &limits->value_kb},
                  {"ops", &limits->txn_ops}};
    if (!strcmp(words->words[1], "next")) {
        tw_simulator_set_next_limits(sim, words);
        return 0;
    }
    double value = tw_simulator_parse_number(words->words[2]);
    if (!strcmp(words->words[1], "seed")) {
        sim->world.seed = (unsigned)value;
        return 0;
    }
    for (size_t i = 0; i < COUNT(values); i++)
        if (tw_simulator_is_value(words->words[1], values[i].name)) {
            *values[i].value = value;
            world->state.limits = *limits;
            return 0;
        }
    return -1;
}

static int set_end(tw_simulator *sim, const tw_simulator_words *words) {
    sim->end_s = tw_simulator_parse_number(words->words[1]);
    return 0;
}

/* Applies `judge served [SECONDS]`: sets the age from which a job must be served at the end. */
static int set_judge(tw_simulator *sim, const tw_simulator_words *words) {
    if (strcmp(words->words[1], "served") != 0) return -1;
    sim->world.served_age_s =
        words->count > 2 ? tw_simulator_parse_number(words->words[2]) : DEFAULT_SERVED_AGE_S;
    return 0;
}

static const struct {
    const char *name;
    int min_words;
    int (*apply)(tw_simulator *sim, const tw_simulator_words *words);
} settings[] = {{"node", 3, add_node},           {"old", 2, set_earlier_version_nodes},
                {"team", 2, add_team},           {"machine_type", 2, add_type},
                {"machine", 3, add_machine},     {"machines", 4, add_many_machines},
                {"objective", 3, add_objective}, {"set", 3, set_value},
                {"judge", 2, set_judge},         {"end", 2, set_end}};

/* ---- commands ---- */

static const tw_simulator_command *find_command(const char *name) {
    const tw_simulator_command *const tables[] = {
        tw_simulator_commands, tw_simulator_trouble_commands, tw_simulator_habit_commands,
        tw_simulator_upgrade_commands};
    for (size_t i = 0; i < COUNT(tables); i++)
        for (const tw_simulator_command *command = tables[i]; command->name; command++)
            if (tw_simulator_is_command(name, command->name)) return command;
    return NULL;
}

static void run_command(tw_simulator *sim, tw_simulator_event *event) {
    tw_simulator_words words = {.line = event->path};
    char *copy = tw_simulator_copy_text(event->path);
    split_words(copy, &words);
    const tw_simulator_command *command = find_command(words.words[0]);
    double seconds = command->duration_word > 0 && command->duration_word < words.count
                         ? tw_simulator_parse_number(words.words[command->duration_word])
                         : 0;
    if (command->duration_word != TW_SIMULATOR_NO_FAULT) tw_simulator_extend_faults(sim, seconds);
    command->run(sim, &words);
    free(copy);
}

/* Schedules the command of `at SECONDS COMMAND ...`. */
static int schedule_command(tw_simulator *sim, const tw_simulator_words *words, char *error,
                            size_t error_size) {
    const tw_simulator_command *command = words->count > 2 ? find_command(words->words[2]) : NULL;
    if (!command) return set_error(error, error_size, "unknown command", words->line);
    if (words->count - 2 < command->min_words)
        return set_error(error, error_size, "too few words", words->line);
    if (!strcmp(command->name, "downgrade")) sim->needs_earlier_version = true;
    const char *rest = words->line;
    for (int i = 0; i < 2; i++) { /* skips `at` and the time */
        rest += strspn(rest, SPACE);
        rest += strcspn(rest, SPACE);
    }
    rest += strspn(rest, SPACE);
    tw_simulator_event *event =
        tw_simulator_schedule_after(sim, tw_simulator_parse_number(words->words[1]), run_command);
    event->path = tw_simulator_copy_text(rest);
    return 0;
}

int tw_simulator_add_line(tw_simulator *sim, const char *line, char *error, size_t error_size) {
    if (*line == '#') return 0;
    tw_simulator_words words = {.line = line};
    char *copy = tw_simulator_copy_text(line);
    int result = 0;
    split_words(copy, &words);
    if (words.count && !strcmp(words.words[0], "at")) {
        result = schedule_command(sim, &words, error, error_size);
    } else if (words.count) {
        size_t i = 0, setting_count = sizeof settings / sizeof *settings;
        while (i < setting_count && !tw_simulator_is_command(words.words[0], settings[i].name)) i++;
        if (i == setting_count)
            result = set_error(error, error_size, "unknown setting", line);
        else if (words.count < settings[i].min_words)
            result = set_error(error, error_size, "too few words", line);
        else if (settings[i].apply(sim, &words))
            result =
                set_error(error, error_size, "invalid value, unknown name or limit exceeded", line);
    }
    free(copy);
    return result;
}
