/* The scenario language (tests/scenarios/README.md): settings at once, `at` lines as events. */
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

static void split(char *line, tw_simulator_words *w) {
    char *rest = NULL;
    w->n = 0;
    for (char *p = strtok_r(line, SPACE, &rest); p && w->n < TW_SIMULATOR_MAX_WORDS;
         p = strtok_r(NULL, SPACE, &rest))
        w->word[w->n++] = p;
}

const char *tw_simulator_option(const tw_simulator_words *w, const char *key) {
    size_t size = strlen(key);
    for (int i = 0; i < w->n; i++)
        if (!strncmp(w->word[i], key, size) && w->word[i][size] == '=')
            return w->word[i] + size + 1;
    return NULL;
}

double tw_simulator_option_number(const tw_simulator_words *w, const char *key, double otherwise) {
    const char *value = tw_simulator_option(w, key);
    return value ? tw_simulator_number(value) : otherwise;
}

static int fail(char *error, size_t size, const char *what, const char *line) {
    snprintf(error, size, "%s: %.*s", what, (int)strcspn(line, "\r\n"), line);
    return -1;
}

static void append(char **text, const char *more) {
    size_t size = (*text ? strlen(*text) : 0) + strlen(more) + 1;
    char *longer = realloc(*text, size);
    if (!longer) abort();
    if (!*text) *longer = 0;
    strcat(longer, more);
    *text = longer;
}

/* ---- settings; -1: the line can't be taken ---- */

static int add_node(tw_simulator *sim, const tw_simulator_words *w) {
    tw_simulator_world *world = &sim->world;
    if (world->nnodes == TW_SIMULATOR_MAX_NODES) return -1;
    snprintf(world->nodes[world->nnodes], TW_SIMULATOR_NAME, "%s", w->word[1]);
    snprintf(world->node_zone[world->nnodes++], TW_SIMULATOR_NAME, "%s", w->word[2]);
    if (w->n == 3) return 0;
    return strcmp(w->word[3], "old") != 0 ? -1 : tw_simulator_node_old(sim, w->word[1]);
}

/* `old NODE...`; `old even` and `old odd`: every other node, from the first or the second. */
static int set_old(tw_simulator *sim, const tw_simulator_words *w) {
    const bool even = !strcmp(w->word[1], "even"), odd = !strcmp(w->word[1], "odd");
    if (even || odd) {
        for (int i = odd; i < sim->world.nnodes; i += 2)
            tw_simulator_node_old(sim, sim->world.nodes[i]);
        return 0;
    }
    for (int i = 1; i < w->n; i++)
        if (tw_simulator_node_old(sim, w->word[i])) return -1;
    return 0;
}

static int add_team(tw_simulator *sim, const tw_simulator_words *w) {
    if (sim->world.nteams == TW_SIMULATOR_MAX_TEAMS) return -1;
    tw_simulator_team *team = &sim->world.teams[sim->world.nteams++];
    char text[TW_SIMULATOR_MESSAGE];
    snprintf(team->name, sizeof team->name, "%s", w->word[1]);
    team->gpus_max = tw_simulator_option_number(w, "gpus_max", 0);
    team->cpus_max = tw_simulator_option_number(w, "cpus_max", 0);
    snprintf(text, sizeof text,
             "[[settings.teams]]\nname = \"%s\"\ncpus = %g\ncpus_max = %g\ngpus = %g\n"
             "gpus_max = %g\n",
             team->name, tw_simulator_option_number(w, "cpus", 0), team->cpus_max,
             tw_simulator_option_number(w, "gpus", 0), team->gpus_max);
    append(&sim->teams, text);
    return 0;
}

static int add_type(tw_simulator *sim, const tw_simulator_words *w) {
    tw_simulator_world *world = &sim->world;
    if (world->ntypes == TW_SIMULATOR_MAX_TYPES) return -1;
    tw_wire_machine_type *f = &world->types[world->ntypes];
    snprintf(f->name, sizeof f->name, "%s", w->word[1]);
    f->cores = tw_simulator_option_number(w, "cores", 16);
    f->gpus = tw_simulator_option_number(w, "gpus", 0);
    f->memory_gb = tw_simulator_option_number(w, "mem", 64);
    f->cache_gb = CACHE_GB;
    f->fetch_gb_s = tw_simulator_option_number(w, "fetch", 1);
    f->on_demand_price = tw_simulator_option_number(w, "price", 1);
    f->spot_price = f->on_demand_price / 3;
    f->startup_s = tw_simulator_option_number(w, "boot", 5);
    world->capacity[world->ntypes++] = (int)tw_simulator_option_number(w, "cap", DEFAULT_CAPACITY);
    for (int i = 0; i < world->nnodes; i++) {
        bool known = false;
        for (int z = 0; z < f->zone_count; z++) known |= !strcmp(f->zones[z], world->node_zone[i]);
        if (!known)
            snprintf(f->zones[f->zone_count++], TW_WIRE_NAME_SIZE, "%s", world->node_zone[i]);
    }
    return 0;
}

static int add_machines(tw_simulator *sim, int n, const char *type, const char *zone, bool spot) {
    int t = 0;
    while (t < sim->world.ntypes && strcmp(sim->world.types[t].name, type) != 0) t++;
    if (t == sim->world.ntypes) return -1;
    for (int i = 0; i < n; i++) tw_simulator_rent(&sim->world, t, zone, spot, 0);
    return 0;
}

static int add_machine(tw_simulator *sim, const tw_simulator_words *w) {
    bool spot = w->n > 3 && !strcmp(w->word[3], "spot");
    return add_machines(sim, 1, w->word[1], w->word[2], spot);
}

static int add_many_machines(tw_simulator *sim, const tw_simulator_words *w) {
    return add_machines(sim, tw_simulator_int(w->word[1]), w->word[2], w->word[3], false);
}

static int add_objective(tw_simulator *sim, const tw_simulator_words *w) {
    char text[TW_SIMULATOR_MESSAGE];
    snprintf(text, sizeof text,
             "[[settings.objectives]]\nkind = \"%s\"\nclass = \"%s\"\nwithin_s = %g\n"
             "share = 0.9\n",
             w->word[1], w->word[2], w->n > 3 ? tw_simulator_number(w->word[3]) : 0);
    append(&sim->objectives, text);
    return 0;
}

void tw_simulator_set_next(tw_simulator *sim, const tw_simulator_words *w) {
    static const struct {
        const char *option, *setting, *format;
    } limits[] = {{"value", "value_kb", "%s = %.1f\n"},
                  {"ops", "txn_ops", "%s = %.0f\n"},
                  {"write_rps", "write_rps", "%s = %.1f\n"},
                  {"rps", "rps", "%s = %.1f\n"}};
    free(sim->next_limits);
    sim->next_limits = NULL;
    append(&sim->next_limits, "[settings.state.next]\n");
    for (size_t i = 0; i < COUNT(limits); i++) {
        const double value = tw_simulator_option_number(w, limits[i].option, 0);
        char text[TW_SIMULATOR_MESSAGE];
        if (value <= 0) continue;
        snprintf(text, sizeof text, limits[i].format, limits[i].setting, value);
        append(&sim->next_limits, text);
    }
}

static int set(tw_simulator *sim, const tw_simulator_words *w) {
    tw_simulator_world *world = &sim->world;
    tw_simulator_limits *limits = &world->state.told;
    const struct {
        const char *name;
        double *value;
    } values[] = {{"lease", &world->lease_s},
                  {"report", &world->report_s},
                  {"cancel", &world->cancel_s},
                  {"gang_wait", &world->gang_wait_s},
                  {"gang_peer", &world->gang_peer_s},
                  {"boot", &world->boot_s},
                  {"mem", &world->mem_mb},
                  {"rps", &sim->rps},
                  {"write_rps", &limits->write_rps},
                  {"value", &limits->value_kb},
                  {"ops", &limits->txn_ops}};
    if (!strcmp(w->word[1], "next")) {
        tw_simulator_set_next(sim, w);
        return 0;
    }
    double value = tw_simulator_number(w->word[2]);
    if (!strcmp(w->word[1], "seed")) {
        sim->world.seed = (unsigned)value;
        return 0;
    }
    for (size_t i = 0; i < COUNT(values); i++)
        if (!strcmp(w->word[1], values[i].name)) {
            *values[i].value = value;
            world->state.limits = *limits;
            return 0;
        }
    return -1;
}

static int set_end(tw_simulator *sim, const tw_simulator_words *w) {
    sim->end_s = tw_simulator_number(w->word[1]);
    return 0;
}

/* `judge served [SECONDS]` */
static int set_judge(tw_simulator *sim, const tw_simulator_words *w) {
    if (strcmp(w->word[1], "served") != 0) return -1;
    sim->world.served_age_s = w->n > 2 ? tw_simulator_number(w->word[2]) : DEFAULT_SERVED_AGE_S;
    return 0;
}

static const struct {
    const char *name;
    int min_words;
    int (*take)(tw_simulator *sim, const tw_simulator_words *w);
} settings[] = {{"node", 3, add_node},           {"old", 2, set_old},
                {"team", 2, add_team},           {"rack", 2, add_type},
                {"machine", 3, add_machine},     {"machines", 4, add_many_machines},
                {"objective", 3, add_objective}, {"set", 3, set},
                {"judge", 2, set_judge},         {"end", 2, set_end}};

/* ---- what happens ---- */

static const tw_simulator_command *find_command(const char *name) {
    const tw_simulator_command *const tables[] = {
        tw_simulator_commands, tw_simulator_trouble_commands, tw_simulator_habit_commands,
        tw_simulator_upgrade_commands};
    for (size_t i = 0; i < COUNT(tables); i++)
        for (const tw_simulator_command *c = tables[i]; c->name; c++)
            if (!strcmp(c->name, name)) return c;
    return NULL;
}

static void line_event(tw_simulator *sim, tw_simulator_event *e) {
    tw_simulator_words w = {.line = e->path};
    char *copy = tw_simulator_text(e->path);
    split(copy, &w);
    const tw_simulator_command *c = find_command(w.word[0]);
    double seconds =
        c->seconds > 0 && c->seconds < w.n ? tw_simulator_number(w.word[c->seconds]) : 0;
    if (c->seconds != TW_SIMULATOR_NO_TROUBLE) tw_simulator_trouble_for(sim, seconds);
    c->run(sim, &w);
    free(copy);
}

/* `at SECONDS COMMAND ...` */
static int take_command(tw_simulator *sim, const tw_simulator_words *w, char *error,
                        size_t error_size) {
    const tw_simulator_command *c = w->n > 2 ? find_command(w->word[2]) : NULL;
    if (!c) return fail(error, error_size, "unknown command", w->line);
    if (w->n - 2 < c->min_words) return fail(error, error_size, "too few words", w->line);
    if (!strcmp(c->name, "downgrade")) sim->needs_earlier = 1;
    const char *rest = w->line;
    for (int i = 0; i < 2; i++) { /* after `at` and the time */
        rest += strspn(rest, SPACE);
        rest += strcspn(rest, SPACE);
    }
    rest += strspn(rest, SPACE);
    tw_simulator_event *e = tw_simulator_after(sim, tw_simulator_number(w->word[1]), line_event);
    e->path = tw_simulator_text(rest);
    return 0;
}

int tw_simulator_line(tw_simulator *sim, const char *line, char *error, size_t error_size) {
    if (*line == '#') return 0;
    tw_simulator_words w = {.line = line};
    char *copy = tw_simulator_text(line);
    int result = 0;
    split(copy, &w);
    if (w.n && !strcmp(w.word[0], "at")) {
        result = take_command(sim, &w, error, error_size);
    } else if (w.n) {
        size_t i = 0, n = sizeof settings / sizeof *settings;
        while (i < n && strcmp(settings[i].name, w.word[0]) != 0) i++;
        if (i == n)
            result = fail(error, error_size, "unknown line", line);
        else if (w.n < settings[i].min_words)
            result = fail(error, error_size, "too few words", line);
        else if (settings[i].take(sim, &w))
            result = fail(error, error_size, "can't be taken", line);
    }
    free(copy);
    return result;
}
