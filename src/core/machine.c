/* Machines, by name: where each stands and of which type it is. */
#include "core/fleet.h"

int tw_rack_index(const tw_core *core, const char *label) {
    for (int i = 0; i < core->nflavors; i++)
        if (!strcmp(core->flavors[i].f.name, label)) return i;
    return -1;
}

machine *tw_machine(tw_core *core, const char *name) {
    machine *found;
    HASH_FIND_STR(core->machines, name, found);
    return found;
}

machine *tw_machine_new(tw_core *core, const char *name) {
    machine *added = tw_zalloc(sizeof *added);
    snprintf(added->name, sizeof added->name, "%s", name);
    added->rack = -1;
    added->born = core->now;
    added->slowness = added->q = added->p = -1; /* the type's prior */
    added->zone = -1;
    const size_t length = strlen(added->name);
    if (length > core->longest_name) core->longest_name = length;
    HASH_ADD_STR(core->machines, name, added);
    return added;
}

/* Zones by number, so that a pass over the fleet compares no names. */
void tw_machine_at(tw_core *core, machine *machine, const char *zone) {
    if (machine->zone >= 0 && !strcmp(machine->yard, zone)) return;
    snprintf(machine->yard, sizeof machine->yard, "%s", zone);
    machine->zone = -1;
    if (!*zone) return;
    int index = 0;
    while (index < core->nyards && strcmp(core->yards[index], machine->yard) != 0) index++;
    if (index == TW_MAX_ZONES) return;
    if (index == core->nyards)
        snprintf(core->yards[core->nyards++], TW_NAME_SIZE, "%s", machine->yard);
    machine->zone = index;
}

int tw_machine_works(const machine *machine) {
    const placement *placed;
    DL_FOREACH(machine->pls, placed) if (placed->on_job) return 1;
    return 0;
}

static void forget_failures(tw_core *core, const machine *dropped) {
    job *each;
    DL_FOREACH(core->active, each) {
        for (int i = 0; i < each->nbad; i++)
            if (each->bad[i] == dropped) each->bad[i] = NULL;
        for (int i = 0; i < each->gang.nleft; i++)
            if (each->gang.left[i] == dropped) each->gang.left[i] = NULL;
    }
}

void tw_machine_drop(tw_core *core, machine *machine, const char *why) {
    placement *placed, *next_placed;
    image *image, *next_image;
    if (machine->in_direct) DL_DELETE2(core->direct, machine, dprev, dnext);
    core->ndirect -= machine->direct_busy;
    machine->in_direct = machine->direct_busy = 0;
    if (why) tw_log_info("event=machine_gone tray=%s why=%s", machine->name, why);
    DL_FOREACH_SAFE(machine->pls, placed, next_placed)
    tw_attempt_end_on(core, placed, why ? END_RETURNED : END_TERM);
    DL_FOREACH_SAFE(machine->images, image, next_image) {
        DL_DELETE(machine->images, image);
        free(image);
    }
    forget_failures(core, machine);
    HASH_DEL(core->machines, machine);
    free(machine);
}
