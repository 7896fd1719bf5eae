/* Reads a case file: one item a line, `#` begins a comment. Lines that begin with `trouble` are
 * left out when TROUBLE is 0.
 *
 *   machine TYPE ZONE                       a machine that is up from the start
 *   type NAME CORES GPUS MEMORY COUNT       a machine type, and how many of it can be rented
 *   end SECONDS                             length of the run
 *   kept ID                                 running work of this job must not be lost
 *   submit AT RUN_S VARIES ID BODY          a submission; BODY is its JSON
 *   cancel AT ID
 *   hold AT SECONDS                         what controllers send to machines is held that long
 *   hang AT SECONDS MACHINE                 a machine hangs, counted from 0
 *   copies AT SESSION                       kept copies of that session's reports arrive
 * (held_heartbeats) old NODE                                this controller is of the version in
 * production fault AT KIND SECONDS NODE OTHER DIRECTION HELD SHARE    as in tests/soak */
#include "review.h"
#include <stdlib.h>
#include <string.h>

#define LINE_SIZE 4096
#define MAX_WORDS 9
#define SUBMIT_WORDS 6
#define TYPE_WORDS 6
/* Places of two words of a fault. */
enum { DIRECTION = 6, HELD };
#define STARTUP_S 50

/* Splits the line at its spaces into at most `max` words, the last of which is the rest of the
 * line. Returns their number. */
static int split(char *line, char **words, int max) {
    int count = 0;
    line[strcspn(line, "\n")] = 0;
    while (*line && count < max) {
        words[count++] = line;
        if (count == max) break;
        line += strcspn(line, " ");
        while (*line == ' ') *line++ = 0;
    }
    return count;
}

static double number(const char *word) { return tw_simulator_parse_number(word); }

static int integer(const char *word) { return tw_simulator_parse_int(word); }

static bool read_type(char *const *words) {
    tw_simulator_world *world = &review.soak.world;
    tw_wire_machine_type *type = &world->types[world->type_count];
    *type = (tw_wire_machine_type){.cores = number(words[2]),
                                   .gpus = number(words[3]),
                                   .memory_gb = number(words[4]),
                                   .cache_gb = 60,
                                   .fetch_gb_s = 1,
                                   .on_demand_price = 2,
                                   .spot_price = 1,
                                   .startup_s = STARTUP_S,
                                   .zone_count = 2};
    snprintf(type->name, sizeof type->name, "%s", words[1]);
    strcpy(type->zones[0], "a");
    strcpy(type->zones[1], "b");
    world->capacity[world->type_count++] = integer(words[5]);
    return true;
}

static bool read_action(char *const *words, int kind) {
    if (review.action_count == TW_REVIEW_MAX_ACTIONS) return false;
    tw_review_action *action = &review.actions[review.action_count++];
    const bool submits = kind == TW_SIMULATOR_SUBMIT;
    action->kind = kind;
    action->at_s = number(words[1]);
    snprintf(action->id, sizeof action->id, "%s", words[submits ? 4 : 2]);
    if (kind == TW_REVIEW_HOLD || kind == TW_REVIEW_HANG) action->run_s = number(words[2]);
    if (kind == TW_REVIEW_HANG || kind == TW_REVIEW_COPIES)
        action->number = integer(words[kind == TW_REVIEW_HANG ? 3 : 2]);
    if (!submits) return true;
    action->run_s = number(words[2]);
    action->varies = integer(words[3]) != 0;
    action->body = tw_simulator_copy_text(words[5]);
    return true;
}

static bool read_fault(char *const *words) {
    tw_soak_plan *plan = &review.soak.plan;
    tw_soak_fault *fault = &plan->faults[plan->fault_count];
    for (int i = 0; i < TW_SOAK_FAULT_KIND_COUNT; i++) {
        if (strcmp(words[2], tw_soak_fault_name((tw_soak_fault_kind)i)) != 0) continue;
        *fault = (tw_soak_fault){.at_s = number(words[1]),
                                 .kind = (tw_soak_fault_kind)i,
                                 .duration_s = number(words[3]),
                                 .node = integer(words[4]),
                                 .other = integer(words[5]),
                                 .direction = integer(words[DIRECTION]),
                                 .held = integer(words[HELD]),
                                 .share = number(words[8])};
        plan->fault_count++;
        return true;
    }
    return false;
}

/* Reads an item of that many words. */
static bool read_item(char *const *words, int count) {
    if (!strcmp(words[0], "type") && count == TYPE_WORDS) return read_type(words);
    if (!strcmp(words[0], "submit") && count == SUBMIT_WORDS)
        return read_action(words, TW_SIMULATOR_SUBMIT);
    if (!strcmp(words[0], "cancel") && count == 3) return read_action(words, TW_SIMULATOR_CANCEL);
    if (!strcmp(words[0], "hold") && count == 3) return read_action(words, TW_REVIEW_HOLD);
    if (!strcmp(words[0], "hang") && count == 4) return read_action(words, TW_REVIEW_HANG);
    if (!strcmp(words[0], "copies") && count == 3) return read_action(words, TW_REVIEW_COPIES);
    if (!strcmp(words[0], "fault") && count == MAX_WORDS) return read_fault(words);
    if (!strcmp(words[0], "machine") && count == 3) {
        tw_simulator_add_machine(&review.soak.world, integer(words[1]), words[2], 0, 0);
        return true;
    }
    if (!strcmp(words[0], "old") && count == 2)
        review.old_node[integer(words[1]) % TW_LOOPBACK_MAX_NODES] = true;
    if (!strcmp(words[0], "end") && count == 2) review.end_s = number(words[1]);
    if (!strcmp(words[0], "kept") && count == 2)
        snprintf(review.kept, sizeof review.kept, "%s", words[1]);
    return count == 2;
}

static bool read_line(char *line) {
    static const char trouble[] = "trouble ";
    char *words[MAX_WORDS] = {NULL};
    if (!strncmp(line, trouble, sizeof trouble - 1)) {
        if (!review.with_trouble) return true;
        line += sizeof trouble - 1;
    }
    if (*line == '#' || *line == '\n' || !*line) return true;
    const bool submits = !strncmp(line, "submit ", strlen("submit "));
    const int count = split(line, words, submits ? SUBMIT_WORDS : MAX_WORDS);
    return count && read_item(words, count);
}

bool tw_review_read_case(const char *path) {
    char line[LINE_SIZE];
    bool good = true;
    FILE *file = fopen(path, "r");
    if (!file) return false;
    while (good && fgets(line, sizeof line, file)) good = read_line(line);
    if (!good) printf("can't read: %s", line);
    fclose(file);
    return good;
}
