/* The index of machines by name, their zones and types, and the removal of a machine. */
#include "core/workers.h"
#include <stdbool.h>

int tw_machine_type_index(const tw_core *core, const char *name) {
    for (int i = 0; i < core->machine_type_count; i++)
        if (!strcmp(core->machine_types[i].listed.name, name)) return i;
    return -1;
}

tw_machine *tw_machine_find(tw_core *core, const char *name) {
    tw_machine *machine;
    HASH_FIND_STR(core->machines, name, machine);
    return machine;
}

tw_machine *tw_machine_new(tw_core *core, const char *name) {
    tw_machine *machine = tw_alloc(sizeof *machine);
    snprintf(machine->name, sizeof machine->name, "%s", name);
    machine->type_index = -1;
    machine->known_since = core->context.now;
    machine->slowness = machine->queue_delay_s = machine->fetch_s_per_gb =
        -1; /* no sample yet: the type's average is used */
    machine->zone_index = -1;
    const size_t length = strlen(machine->name);
    if (length > core->longest_machine_name_length) core->longest_machine_name_length = length;
    HASH_ADD_STR(core->machines, name, machine);
    return machine;
}

int tw_machine_zone_class(const tw_machine *machine) {
    if (machine->zone_index >= 0) return machine->zone_index;
    return *machine->zone ? TW_ZONE_UNINDEXED : TW_ZONE_UNKNOWN;
}

/* Returns the index of the zone, which gets one if there are indices left; otherwise -1. */
static int zone_index_of(tw_core *core, const char *zone) {
    int index = 0;
    if (!*zone) return -1;
    while (index < core->zone_count && strcmp(core->zone_names[index], zone) != 0) index++;
    if (index == TW_MAX_ZONES) return -1;
    if (index == core->zone_count)
        snprintf(core->zone_names[core->zone_count++], TW_NAME_SIZE, "%s", zone);
    return index;
}

/* Adds change to the jobs' counts of the tasks in the machine's zone. */
static void count_in_zone(const tw_machine *machine, int change) {
    const int zone = tw_machine_zone_class(machine);
    const tw_placement *placed;
    DL_FOREACH(machine->placements, placed) {
        if (placed->counted) placed->job->placed_in_zone[zone] += change;
    }
}

/* Zones have an index so that passes over all machines need not compare names. */
void tw_machine_set_zone(tw_core *core, tw_machine *machine, const char *zone) {
    if (machine->zone_index >= 0 && !strcmp(machine->zone, zone)) return;
    count_in_zone(machine, -1);
    snprintf(machine->zone, sizeof machine->zone, "%s", zone);
    machine->zone_index = zone_index_of(core, machine->zone);
    count_in_zone(machine, 1);
}

bool tw_machine_is_occupied(const tw_machine *machine) {
    const tw_placement *placed;
    DL_FOREACH(machine->placements, placed) {
        if (placed->counted) return true;
    }
    return false;
}

/* Removes the machine from the jobs' lists of failed machines and the gangs' lists of vacated
 * machines. */
static void remove_machine_from_jobs(tw_core *core, const tw_machine *machine) {
    tw_job *job;
    DL_FOREACH(core->active_jobs, job) {
        for (int i = 0; i < job->failed_machine_count; i++)
            if (job->failed_machines[i] == machine) job->failed_machines[i] = NULL;
        for (int i = 0; i < job->gang.vacated_machine_count; i++)
            if (job->gang.vacated_machines[i] == machine) job->gang.vacated_machines[i] = NULL;
    }
}

void tw_machine_forget(tw_core *core, tw_machine *machine, const char *why) {
    tw_placement *placed, *next_placed;
    tw_image *image, *next_image;
    if (machine->in_command_queue) DL_DELETE2(core->command_queue, machine, queue_prev, queue_next);
    core->commands_in_flight -= machine->command_in_flight;
    machine->in_command_queue = machine->command_in_flight = false;
    if (why) tw_log_info("event=machine_removed worker=%s why=%s", machine->name, why);
    DL_FOREACH_SAFE(machine->placements, placed, next_placed) {
        tw_attempt_terminate_on(core, placed,
                                why ? TW_EVIDENCE_MACHINE_RETURNED : TW_EVIDENCE_TERM_ENDED);
    }
    DL_FOREACH_SAFE(machine->images, image, next_image) {
        DL_DELETE(machine->images, image);
        free(image);
    }
    remove_machine_from_jobs(core, machine);
    HASH_DEL(core->machines, machine);
    free(machine);
}
